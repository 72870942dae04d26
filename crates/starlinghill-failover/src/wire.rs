//! The form on the wire and on disk: JSON, so that a log can be read by people, in an envelope that says its version
//! and kind. A member that meets a version, a kind, a field or a variant that it doesn't know refuses the whole;
//! to guess what an order of a later version means would be to decide otherwise than the others.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// The version that this program writes, and the only one that it reads.
pub const VERSION: u32 = 1;
/// The most bytes of one message: a state with all outcomes that it keeps, each a refusal of many words.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// The most bytes of an order: a map of the most zones with the longest names takes half.
pub const MAX_ORDER_BYTES: usize = 128 << 10;

/// What may stand in an envelope.
pub trait Message: Serialize + DeserializeOwned {
    /// Its kind.
    const KIND: &'static str;
}

impl Message for crate::order::Order {
    const KIND: &'static str = "order";
}
impl Message for crate::state::State {
    const KIND: &'static str = "state";
}
impl Message for crate::state::Outcome {
    const KIND: &'static str = "outcome";
}
impl Message for crate::directive::DirectiveUpdate {
    const KIND: &'static str = "told";
}

/// A message that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireError {
    /// It is longer than [`MAX_MESSAGE_BYTES`].
    TooLong(usize),
    /// It is of another version.
    Version(u32),
    /// It is of another kind.
    Kind(String),
    /// It can't be read, or holds what this version doesn't know.
    Malformed(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::TooLong(n) => write!(f, "a message of {n} bytes, {MAX_MESSAGE_BYTES} at most"),
            WireError::Version(found) => {
                write!(f, "a message of version {found}; this program knows version {VERSION} alone")
            }
            WireError::Kind(found) => {
                write!(f, "a message of kind '{}'", found.chars().take(40).collect::<String>().escape_debug())
            }
            WireError::Malformed(what) => write!(f, "a message that can't be read: {what}"),
        }
    }
}
impl std::error::Error for WireError {}

#[derive(Serialize)]
struct Envelope<'a, T> {
    v: u32,
    kind: &'a str,
    body: &'a T,
}

/// The head is read first: what a later version's body looks like is not for this one to judge.
#[derive(Deserialize)]
struct Head {
    v: u32,
    kind: String,
    body: serde_json::Value,
}

/// The bytes of a message.
pub fn encode<T: Message>(message: &T) -> Vec<u8> {
    text(&Envelope { v: VERSION, kind: T::KIND, body: message })
}

/// The message of these bytes.
pub fn decode<T: Message>(bytes: &[u8]) -> Result<T, WireError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(WireError::TooLong(bytes.len()));
    }
    serde_json::from_slice::<Head>(bytes).map_err(malformed)?.open()
}

/// An envelope as a value, for what is kept inside something else: an entry of a log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JsonEnvelope(serde_json::Value);

impl JsonEnvelope {
    /// A message in its envelope.
    pub fn encode<T: Message>(message: &T) -> JsonEnvelope {
        let envelope = Envelope { v: VERSION, kind: T::KIND, body: message };
        JsonEnvelope(serde_json::to_value(envelope).unwrap_or_default())
    }

    /// The message in it.
    pub fn decode<T: Message>(self) -> Result<T, WireError> {
        serde_json::from_value::<Head>(self.0).map_err(malformed)?.open()
    }
}

fn malformed(e: serde_json::Error) -> WireError {
    WireError::Malformed(e.to_string())
}

impl Head {
    fn open<T: Message>(self) -> Result<T, WireError> {
        if self.v != VERSION {
            return Err(WireError::Version(self.v));
        }
        if self.kind != T::KIND {
            return Err(WireError::Kind(self.kind));
        }
        serde_json::from_value(self.body).map_err(malformed)
    }
}

/// A number that differs where messages differ, the same in every process and version of the library.
pub fn digest<T: Serialize>(value: &T) -> u64 {
    xxh3_64(&text(value))
}

/// Plain structs with names as keys always have a text; an empty one would be refused by any reader.
fn text<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
