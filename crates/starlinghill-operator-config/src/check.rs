//! What the sections of the file share: values with bounds, and what is said where one is out of them.

use crate::problem::{Problem, Source};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use toml::Spanned;

/// Collects what is wrong while values are read.
pub(crate) struct Check<'a, 'b> {
    pub(crate) source: &'a Source<'a>,
    pub(crate) problems: &'b mut Vec<Problem>,
}

impl Check<'_, '_> {
    pub(crate) fn fail(&mut self, span: std::ops::Range<usize>, key: &str, what: String) {
        self.problems.push(self.source.at(span, key, what));
    }

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
            self.fail(
                raw.span(),
                key,
                format!("expected a whole number from {least} to {most}, found {found}"),
            );
            return default;
        }
        found
    }

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
            let what =
                format!("expected an address and a port such as 127.0.0.1:18000, found '{}'", raw.get_ref());
            self.fail(raw.span(), key, what);
        }
        parsed.ok()
    }

    pub(crate) fn header(&mut self, key: &str, raw: Option<Spanned<String>>, default: &str) -> String {
        let Some(raw) = raw else { return default.into() };
        let name = raw.get_ref();
        let fits = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        if name.is_empty() || name.len() > 64 || !name.bytes().all(fits) {
            let what = format!("expected a header's name in lower case, found '{name}'");
            self.fail(raw.span(), key, what);
        }
        raw.into_inner()
    }

    pub(crate) fn missing(&mut self, section: &std::ops::Range<usize>, key: &str, wanted: &str) {
        self.fail(section.clone(), key, format!("expected {wanted}, found nothing"));
    }
}
