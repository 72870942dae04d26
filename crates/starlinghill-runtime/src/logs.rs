//! Log output: one line per event with `key=value` pairs, on standard error.

use logforth::append::Stderr;
use logforth::record::{Level, LevelFilter, Record};
use logforth::{Diagnostic, Error, Layout};
use std::time::UNIX_EPOCH;

/// Writes time, level, crate and the message.
#[derive(Debug)]
struct KeyValueLayout;

impl Layout for KeyValueLayout {
    fn format(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        // Wall-clock time is only for readers; nothing in the system relies on it.
        let time = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
        let crate_name = record.target().split("::").next().unwrap_or_default();
        let level = record.level().name().to_ascii_lowercase();
        let message = record.payload().to_string();
        // Libraries log free text, which is wrapped so that every line has an event.
        let message = match message.starts_with("event=") {
            true => message,
            false => format!("event=said text={message:?}"),
        };
        Ok(format!("time={:.3} level={level} by={crate_name} {message}", time.as_secs_f64()).into_bytes())
    }
}

/// Starts logging. `verbose` includes debug messages.
pub fn start(verbose: bool) {
    let min_level = if verbose { Level::Debug } else { Level::Info };
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(LevelFilter::MoreSevereEqual(min_level))
                .append(Stderr::default().with_layout(KeyValueLayout))
        })
        .apply();
}
