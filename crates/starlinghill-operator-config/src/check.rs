//! Validation of single values, shared by the sections of the operators' file.

use crate::problem::{Problem, Source};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use toml::Spanned;

/// Reads values and collects the errors found in them. An invalid value is replaced by its default, so that all errors
/// can be reported at once.
pub(crate) struct Validator<'a, 'b> {
    pub(crate) source: &'a Source<'a>,
    pub(crate) problems: &'b mut Vec<Problem>,
}

impl Validator<'_, '_> {
    pub(crate) fn report(&mut self, span: std::ops::Range<usize>, key: &str, message: String) {
        self.problems.push(self.source.problem_at(span, key, message));
    }

    /// A whole number within `allowed`, or `default` if the key is absent.
    pub(crate) fn number(
        &mut self,
        key: &str,
        raw: Option<Spanned<i64>>,
        default: i64,
        allowed: RangeInclusive<i64>,
    ) -> i64 {
        let Some(raw) = raw else { return default };
        let found = *raw.get_ref();
        if !allowed.contains(&found) {
            let (least, most) = (allowed.start(), allowed.end());
            self.report(
                raw.span(),
                key,
                format!("expected a whole number from {least} to {most}, found {found}"),
            );
            return default;
        }
        found
    }

    /// A duration in milliseconds within `allowed`, or `default` if the key is absent.
    pub(crate) fn millis(
        &mut self,
        key: &str,
        raw: Option<Spanned<i64>>,
        default: i64,
        allowed: RangeInclusive<i64>,
    ) -> Duration {
        Duration::from_millis(self.number(key, raw, default, allowed) as u64)
    }

    pub(crate) fn address(&mut self, key: &str, raw: &Spanned<String>) -> Option<SocketAddr> {
        let parsed = raw.get_ref().parse();
        if parsed.is_err() {
            let message =
                format!("expected an address and a port such as 127.0.0.1:18000, found '{}'", raw.get_ref());
            self.report(raw.span(), key, message);
        }
        parsed.ok()
    }

    /// The name of an HTTP header in lower case, of 64 bytes at most.
    pub(crate) fn header(&mut self, key: &str, raw: Option<Spanned<String>>, default: &str) -> String {
        let Some(raw) = raw else { return default.into() };
        let name = raw.get_ref();
        let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        if name.is_empty() || name.len() > 64 || !name.bytes().all(is_allowed) {
            let message = format!("expected a header's name in lower case, found '{name}'");
            self.report(raw.span(), key, message);
        }
        raw.into_inner()
    }

    /// Reports that a required key is absent; `expected` describes its value.
    pub(crate) fn report_missing(&mut self, section: &std::ops::Range<usize>, key: &str, expected: &str) {
        self.report(section.clone(), key, format!("expected {expected}, found nothing"));
    }
}
