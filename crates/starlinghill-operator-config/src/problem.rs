//! Errors in the operators' file, with the place where each was found.

use std::fmt;
use std::ops::Range;

/// One error in the operators' file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The path of the file.
    pub file: String,
    /// The line number, counted from 1. It is 0 if the error belongs to no line, for example an unreadable file.
    pub line: usize,
    /// The dotted path of the key, empty if the error belongs to none.
    pub key: String,
    /// What was expected and what was found.
    pub message: String,
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
        write!(f, " {}", self.message)
    }
}
impl std::error::Error for Problem {}

/// The path and text of the file, to turn byte offsets into line numbers.
pub(crate) struct Source<'a> {
    pub(crate) file: &'a str,
    pub(crate) text: &'a str,
}

impl Source<'_> {
    /// The line number of a byte offset, counted from 1.
    pub(crate) fn line(&self, offset: usize) -> usize {
        let before = self.text.as_bytes().get(..offset).unwrap_or(self.text.as_bytes());
        before.iter().filter(|b| **b == b'\n').count() + 1
    }

    /// An error on the line where `span` starts.
    pub(crate) fn problem_at(&self, span: Range<usize>, key: &str, message: String) -> Problem {
        Problem { file: self.file.into(), line: self.line(span.start), key: key.into(), message }
    }

    /// Converts an error of the TOML parser, which doesn't name the key. The text before `=` on the line is used as the
    /// key.
    pub(crate) fn syntax_problem(&self, error: &toml::de::Error) -> Problem {
        let offset = error.span().map_or(0, |span| span.start);
        let line = self.line(offset);
        let text = self.text.lines().nth(line - 1).unwrap_or("");
        let key = text.split_once('=').map_or(text, |(key, _)| key).trim();
        // The parser's message may span several lines; a problem is printed on one.
        let message = error.message().split_whitespace().collect::<Vec<_>>().join(" ");
        Problem { file: self.file.into(), line, key: key.into(), message }
    }
}
