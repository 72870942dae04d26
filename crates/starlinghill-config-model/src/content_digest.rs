//! What stands for a content, however it was written.

use simd_json::prelude::*;
use simd_json::{OwnedValue, StaticNode};
use xxhash_rust::xxh3::xxh3_64;

/// A digest of what an operator sent for a number. Two contents are the same where their digests are: keys may stand in
/// any order, spaces anywhere, and a number in any way of writing that gives its value; of lists the order counts. The
/// version itself is no part of it, and `None` is the content "dropped". Only contents of one name and one number are ever
/// compared, so 64 bits mistake one for another once in 2^64 such pairs.
pub fn digest(host: &str, value: Option<&OwnedValue>) -> u64 {
    let mut bytes = Vec::new();
    match value {
        None => bytes.push(b'-'),
        Some(value) => {
            bytes.push(b'+');
            text(&mut bytes, host);
            canonical(&mut bytes, value, true);
        }
    }
    xxh3_64(&bytes)
}

/// Texts carry their lengths, so that no two values have the same bytes.
fn text(to: &mut Vec<u8>, text: &str) {
    to.push(b'"');
    to.extend((text.len() as u64).to_le_bytes());
    to.extend(text.as_bytes());
}

fn canonical(to: &mut Vec<u8>, value: &OwnedValue, is_item: bool) {
    match value {
        OwnedValue::Static(StaticNode::Null) => to.push(b'n'),
        OwnedValue::Static(StaticNode::Bool(is)) => to.push(if *is { b't' } else { b'f' }),
        OwnedValue::Static(StaticNode::I64(number)) => whole(to, i128::from(*number)),
        OwnedValue::Static(StaticNode::U64(number)) => whole(to, i128::from(*number)),
        OwnedValue::Static(StaticNode::F64(number)) => {
            // Below 2^64 a whole number is the same as if it had been written without a point.
            if number.fract() == 0.0 && number.abs() < 18_446_744_073_709_551_616.0 {
                whole(to, *number as i128);
            } else {
                to.push(b'd');
                to.extend(number.to_bits().to_le_bytes());
            }
        }
        OwnedValue::String(string) => text(to, string),
        OwnedValue::Array(list) => {
            to.push(b'[');
            list.iter().for_each(|value| canonical(to, value, false));
            to.push(b']');
        }
        OwnedValue::Object(object) => {
            let mut keys: Vec<_> = object.iter().filter(|(key, _)| !is_item || *key != "version").collect();
            keys.sort_unstable_by(|a, b| a.0.cmp(b.0));
            to.push(b'{');
            for (key, value) in keys {
                text(to, key);
                canonical(to, value, false);
            }
            to.push(b'}');
        }
    }
}

fn whole(to: &mut Vec<u8>, number: i128) {
    to.push(b'i');
    to.extend(number.to_le_bytes());
}
