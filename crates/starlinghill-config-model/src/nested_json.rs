//! Parses JSON from outside. Values are built, compared, written and dropped by recursion, so that the depth of a document
//! decides how much stack it takes. It is therefore checked before anything is built from the text.

use simd_json::OwnedValue;
use snafu::Snafu;

/// How deep lists and objects may be nested in a document. An order of an operator needs nine levels.
pub const MAX_NESTING: usize = 64;

/// How deep a document is read that was accepted before there was a limit. What was accepted since is not nested deeper: an
/// order has its items inside an object of its own.
const MAX_PRUNED_NESTING: usize = MAX_NESTING - 1;

/// Why a text can't be parsed.
#[derive(Debug, Snafu)]
pub enum JsonError {
    /// Lists and objects are nested too deep.
    #[snafu(display(
        "found lists and objects nested deeper than {MAX_NESTING}, allowed: at most {MAX_NESTING}"
    ))]
    TooDeep,
    /// The text is not JSON.
    #[snafu(display("not JSON: {source}"))]
    Malformed {
        /// The parser's error.
        source: simd_json::Error,
    },
}

/// Parses a document.
pub fn parse(text: &[u8]) -> Result<OwnedValue, JsonError> {
    let mut nesting = Nesting::default();
    for byte in text {
        nesting.advance(*byte);
        if nesting.depth > MAX_NESTING {
            return Err(JsonError::TooDeep);
        }
    }
    build(text.to_vec())
}

/// Parses a document that was accepted earlier, possibly by a version without a limit. Lists and objects that are nested
/// too deep are read as null.
pub fn parse_pruned(text: &[u8]) -> Result<OwnedValue, JsonError> {
    let (mut nesting, mut pruned) = (Nesting::default(), Vec::with_capacity(text.len()));
    for byte in text {
        let was_within = nesting.depth <= MAX_PRUNED_NESTING;
        nesting.advance(*byte);
        match (was_within, nesting.depth <= MAX_PRUNED_NESTING) {
            (true, true) => pruned.push(*byte),
            (true, false) => pruned.extend(b"null"),
            (false, _) => {}
        }
    }
    build(pruned)
}

fn build(mut text: Vec<u8>) -> Result<OwnedValue, JsonError> {
    simd_json::to_owned_value(&mut text).map_err(|source| JsonError::Malformed { source })
}

/// How deep the bytes of a text so far are nested. It is exact for JSON. The parser refuses any other text before it builds
/// a value.
#[derive(Default)]
struct Nesting {
    depth: usize,
    in_string: bool,
    is_escaped: bool,
}

impl Nesting {
    fn advance(&mut self, byte: u8) {
        if self.in_string {
            match byte {
                _ if self.is_escaped => self.is_escaped = false,
                b'\\' => self.is_escaped = true,
                b'"' => self.in_string = false,
                _ => {}
            }
            return;
        }
        match byte {
            b'"' => self.in_string = true,
            b'[' | b'{' => self.depth += 1,
            b']' | b'}' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}
