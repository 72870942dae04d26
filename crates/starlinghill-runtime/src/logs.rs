//! Log lines: one for each event, `key=value` pairs, on standard error.

use logforth::append::Stderr;
use logforth::record::{Level, LevelFilter, Record};
use logforth::{Diagnostic, Error, Layout};
use std::time::UNIX_EPOCH;

/// Time, level, the package that speaks, and what it says.
#[derive(Debug)]
struct Pairs;

impl Layout for Pairs {
    fn format(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        // For people alone.
        let time = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
        let by = record.target().split("::").next().unwrap_or_default();
        let level = record.level().name().to_ascii_lowercase();
        let said = record.payload().to_string();
        // Libraries say what they like.
        let said = match said.starts_with("event=") {
            true => said,
            false => format!("event=said text={said:?}"),
        };
        Ok(format!("time={:.3} level={level} by={by} {said}", time.as_secs_f64()).into_bytes())
    }
}

/// Switches them on. `chatty` adds the small events.
pub fn start(chatty: bool) {
    let least = if chatty { Level::Debug } else { Level::Info };
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(LevelFilter::MoreSevereEqual(least)).append(Stderr::default().with_layout(Pairs))
        })
        .apply();
}
