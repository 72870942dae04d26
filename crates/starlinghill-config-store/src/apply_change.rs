//! What becomes of an operator's order on top of what was agreed on.

use crate::wire::{ChangeOutcome, Value};
use starlinghill_config_model::{ChangeError, ConfigChange, ItemSet};

/// The next value, where the order makes a new one, and what the operator is told once the value that this was decided on,
/// or the next, is known to be agreed on.
pub fn take(base: &Value, change: &ConfigChange) -> (Option<Value>, ChangeOutcome) {
    let book = ItemSet::from_items(base.iter().cloned());
    match book.with_change(change) {
        Err(refusal) => (None, refused(refusal)),
        Ok(next) => {
            let new = !next.differing_items(&book).is_empty();
            let items = || next.items().map(|held| held.item.clone()).collect();
            (new.then(items), ChangeOutcome::Taken)
        }
    }
}

/// What the operator is told of an order that was not taken. A 4xx is for what is refused whoever looks, and whenever: of
/// a number beyond the horizon that can't be said.
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
