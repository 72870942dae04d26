//! Applies an operator's configuration change to the current items.

use crate::wire::{ChangeOutcome, Value};
use starlinghill_config_model::{ChangeError, ConfigChange, ItemSet};

/// Applies a change to `base`. Returns the new value, or `None` if nothing changes, and the outcome to report. The outcome
/// may be reported only once the new value, or without one `base` itself, is known to be chosen.
///
/// A change that contradicts the current items is recorded in the new value as refused: the items may fit a copy of it
/// that arrives later, at this store or another one.
pub fn apply(base: &Value, change: &ConfigChange) -> (Option<Value>, ChangeOutcome) {
    let current = ItemSet::from_items(base.iter().cloned());
    match current.with_change(change) {
        Ok(next) => {
            let changed = !next.differing_items(&current).is_empty();
            (changed.then(|| to_value(&next)), ChangeOutcome::Taken)
        }
        Err(refusal @ ChangeError::Invalid { .. }) if !current.has_refused(change) => {
            (Some(to_value(&current.with_refusal(change))), refused(refusal))
        }
        Err(refusal) => (None, refused(refusal)),
    }
}

fn to_value(items: &ItemSet) -> Value {
    items.items().map(|parsed| parsed.item.clone()).collect()
}

/// The outcome to report for a refused change. `Invalid` and `Conflict` become a 4xx status, so they stand only for changes
/// that every store refuses at any time. That can't be said of a version older than the version history reaches: it may
/// have been confirmed.
pub fn refused(refusal: ChangeError) -> ChangeOutcome {
    match &refusal {
        ChangeError::Invalid { problem } => ChangeOutcome::Invalid(problem.clone()),
        ChangeError::RefusedBefore => ChangeOutcome::Invalid(refusal.to_string()),
        ChangeError::VersionConflict { .. } => ChangeOutcome::Conflict(refusal.to_string()),
        ChangeError::VersionForgotten { .. } => {
            log::warn!("event=number_beyond_horizon said=\"{refusal}\"");
            ChangeOutcome::Unclear
        }
    }
}
