//! The encoding on the wire and on disk: JSON, so that people can read a log, in an envelope with a version and a kind.
//! A member refuses a message with an unknown version, kind, field or variant. If it guessed what an order of a later
//! version means, its state could differ from that of the other members.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// The format version that this program writes, and the only one that it reads.
pub const VERSION: u32 = 1;
/// The most bytes of one message. A state with all its recorded outcomes fits, even if each is a long refusal.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// The most bytes of an order. A topology of the most zones with the longest names takes half of it.
pub const MAX_ORDER_BYTES: usize = 128 << 10;

/// A type that can be sent or stored in an envelope.
pub trait Message: Serialize + DeserializeOwned {
    /// The envelope's `kind`, which tells the message types apart.
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

/// Why a message can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireError {
    /// It is longer than [`MAX_MESSAGE_BYTES`]; holds its length in bytes.
    TooLong(usize),
    /// It has another format version.
    Version(u32),
    /// It has another kind than expected.
    Kind(String),
    /// It is not valid JSON for its type, or has a field or variant that this version doesn't know.
    Malformed(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::TooLong(n) => {
                write!(f, "a message of {n} bytes, at most {MAX_MESSAGE_BYTES} are allowed")
            }
            WireError::Version(found) => {
                write!(f, "a message of version {found}; this program knows version {VERSION} alone")
            }
            WireError::Kind(found) => {
                write!(
                    f,
                    "a message of the unexpected kind '{}'",
                    found.chars().take(40).collect::<String>().escape_debug()
                )
            }
            WireError::Malformed(problem) => write!(f, "a message that can't be read: {problem}"),
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

/// An envelope with an undecoded body. The version is checked first, because the body of a later version may look
/// different.
#[derive(Deserialize)]
struct ReceivedEnvelope {
    v: u32,
    kind: String,
    body: serde_json::Value,
}

/// Encodes a message in its envelope.
pub fn encode<T: Message>(message: &T) -> Vec<u8> {
    json_bytes(&Envelope { v: VERSION, kind: T::KIND, body: message })
}

/// Decodes a message and checks its length, version and kind.
pub fn decode<T: Message>(bytes: &[u8]) -> Result<T, WireError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(WireError::TooLong(bytes.len()));
    }
    serde_json::from_slice::<ReceivedEnvelope>(bytes).map_err(malformed)?.decode()
}

/// An envelope as a JSON value, to be stored inside another JSON document such as a log entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JsonEnvelope(serde_json::Value);

impl JsonEnvelope {
    /// Wraps a message in its envelope.
    pub fn encode<T: Message>(message: &T) -> JsonEnvelope {
        let envelope = Envelope { v: VERSION, kind: T::KIND, body: message };
        JsonEnvelope(serde_json::to_value(envelope).unwrap_or_default())
    }

    /// Decodes the message and checks its version and kind.
    pub fn decode<T: Message>(self) -> Result<T, WireError> {
        serde_json::from_value::<ReceivedEnvelope>(self.0).map_err(malformed)?.decode()
    }
}

fn malformed(e: serde_json::Error) -> WireError {
    WireError::Malformed(e.to_string())
}

impl ReceivedEnvelope {
    fn decode<T: Message>(self) -> Result<T, WireError> {
        if self.v != VERSION {
            return Err(WireError::Version(self.v));
        }
        if self.kind != T::KIND {
            return Err(WireError::Kind(self.kind));
        }
        serde_json::from_value(self.body).map_err(malformed)
    }
}

/// A hash of a value's JSON. It is stored in the replicated state, so every process and version must compute the same.
pub fn digest<T: Serialize>(value: &T) -> u64 {
    xxh3_64(&json_bytes(value))
}

/// The types here always serialize. If one did not, the empty result would be refused by every decoder.
fn json_bytes<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
