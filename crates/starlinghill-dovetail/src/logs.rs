//! Log lines: one for each event, `key=value` pairs, on standard error.

use logforth::append::Stderr;
use logforth::record::{Level, LevelFilter};

/// Switches them on. `chatty` adds the small events.
pub fn start(chatty: bool) {
    let least = if chatty { Level::Debug } else { Level::Info };
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(LevelFilter::MoreSevereEqual(least)).append(Stderr::default()))
        .apply();
}
