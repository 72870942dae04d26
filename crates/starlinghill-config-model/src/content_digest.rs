//! A digest of an item's content that does not depend on how the JSON is written.

use simd_json::prelude::*;
use simd_json::{OwnedValue, StaticNode};
use xxhash_rust::xxh3::xxh3_64;

/// The digest of a content that an operator sent under a version. `None` is the content of a removal.
///
/// Two contents are the same if their digests are. The order of keys, white space, and the notation of a number make no
/// difference; the order of a list does. The version itself is left out. Only contents of one name and one version are
/// ever compared, so that with 64 bits one in 2^64 such pairs is mistaken for the same.
pub fn digest(host: &str, value: Option<&OwnedValue>) -> u64 {
    let mut bytes = Vec::new();
    match value {
        None => bytes.push(b'-'),
        Some(value) => {
            bytes.push(b'+');
            push_text(&mut bytes, host);
            push_canonical(&mut bytes, value, true);
        }
    }
    xxh3_64(&bytes)
}

/// Appends a text after its length, so that no two different values give the same bytes.
fn push_text(bytes: &mut Vec<u8>, text: &str) {
    bytes.push(b'"');
    bytes.extend((text.len() as u64).to_le_bytes());
    bytes.extend(text.as_bytes());
}

/// Appends a value in a form that equal values share. `is_item` is set for the whole item, whose version is left out.
fn push_canonical(bytes: &mut Vec<u8>, value: &OwnedValue, is_item: bool) {
    match value {
        OwnedValue::Static(StaticNode::Null) => bytes.push(b'n'),
        OwnedValue::Static(StaticNode::Bool(is)) => bytes.push(if *is { b't' } else { b'f' }),
        OwnedValue::Static(StaticNode::I64(number)) => push_integer(bytes, i128::from(*number)),
        OwnedValue::Static(StaticNode::U64(number)) => push_integer(bytes, i128::from(*number)),
        OwnedValue::Static(StaticNode::F64(number)) => {
            // A whole number below 2^64 is the same as one that was written without a decimal point.
            if number.fract() == 0.0 && number.abs() < 18_446_744_073_709_551_616.0 {
                push_integer(bytes, *number as i128);
            } else {
                bytes.push(b'd');
                bytes.extend(number.to_bits().to_le_bytes());
            }
        }
        OwnedValue::String(string) => push_text(bytes, string),
        OwnedValue::Array(list) => {
            bytes.push(b'[');
            list.iter().for_each(|value| push_canonical(bytes, value, false));
            bytes.push(b']');
        }
        OwnedValue::Object(object) => {
            let mut keys: Vec<_> = object.iter().filter(|(key, _)| !is_item || *key != "version").collect();
            keys.sort_unstable_by(|a, b| a.0.cmp(b.0));
            bytes.push(b'{');
            for (key, value) in keys {
                push_text(bytes, key);
                push_canonical(bytes, value, false);
            }
            bytes.push(b'}');
        }
    }
}

fn push_integer(bytes: &mut Vec<u8>, number: i128) {
    bytes.push(b'i');
    bytes.extend(number.to_le_bytes());
}
