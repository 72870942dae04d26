//! Applies an operator's configuration change to the current items.

use crate::wire::{ChangeOutcome, Value};
use starlinghill_config_model::{ChangeError, ConfigChange, ItemSet};

/// Applies a change to `base`. Returns the new value, or `None` if nothing changes, and the outcome to report. The outcome
/// may be reported only once the new value, or without one `base` itself, is known to be chosen.
pub fn apply(base: &Value, change: &ConfigChange) -> (Option<Value>, ChangeOutcome) {
    let current = ItemSet::from_items(base.iter().cloned());
    match current.with_change(change) {
        Err(refusal) => (None, refused(refusal)),
        Ok(next) => {
            let changed = !next.differing_items(&current).is_empty();
            let items = || next.items().map(|held| held.item.clone()).collect();
            (changed.then(items), ChangeOutcome::Taken)
        }
    }
}

/// The outcome to report for a refused change. `Invalid` and `Conflict` become a 4xx status, so they stand only for changes
/// that every store refuses at any time. That can't be said of a version older than the version history reaches: it may
/// have been confirmed.
pub fn refused(refusal: ChangeError) -> ChangeOutcome {
    match &refusal {
        ChangeError::Invalid { problem } => ChangeOutcome::Invalid(problem.clone()),
        ChangeError::VersionConflict { .. } => ChangeOutcome::Conflict(refusal.to_string()),
        ChangeError::VersionForgotten { .. } => {
            log::warn!("event=number_beyond_horizon said=\"{refusal}\"");
            ChangeOutcome::Unclear
        }
    }
}
