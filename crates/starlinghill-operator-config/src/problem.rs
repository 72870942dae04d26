//! What is wrong in a file, for the person who reads it.

use std::fmt;
use std::ops::Range;

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 where the file could not be read at all.
    pub line: usize,
    /// The key.
    pub key: String,
    /// What was found and what is allowed.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if self.line > 0 {
            write!(f, "{}:", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}:", self.key)?;
        }
        write!(f, " {}", self.what)
    }
}
impl std::error::Error for Problem {}

/// The file's text, to find lines in.
pub(crate) struct Source<'a> {
    pub(crate) file: &'a str,
    pub(crate) text: &'a str,
}

impl Source<'_> {
    pub(crate) fn line(&self, at: usize) -> usize {
        let until = self.text.as_bytes().get(..at).unwrap_or(self.text.as_bytes());
        until.iter().filter(|b| **b == b'\n').count() + 1
    }

    /// A problem at a place.
    pub(crate) fn at(&self, span: Range<usize>, key: &str, what: String) -> Problem {
        Problem { file: self.file.into(), line: self.line(span.start), key: key.into(), what }
    }

    /// What the parser says. It names what it expected; the key is what stands before it on the line.
    pub(crate) fn syntax(&self, error: &toml::de::Error) -> Problem {
        let at = error.span().map_or(0, |span| span.start);
        let line = self.line(at);
        let text = self.text.lines().nth(line - 1).unwrap_or("");
        let key = text.split_once('=').map_or(text, |(key, _)| key).trim();
        // The parser's own words may run over several lines.
        let what = error.message().split_whitespace().collect::<Vec<_>>().join(" ");
        Problem { file: self.file.into(), line, key: key.into(), what }
    }
}
