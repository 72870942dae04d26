//! What one gateway keeps of a shared count. Nothing here decides.

/// This gateway's side of a customer's shared count in one window (or epoch).
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) span: u64,
    /// Own adds known to have been counted.
    pub(crate) posted: f64,
    /// Own spend not yet on the counter.
    pub(crate) owed: f64,
    /// The part of it that the local bucket let in.
    pub(crate) unheard: f64,
    /// Own earlier spend that calls under way carry.
    pub(crate) posting: f64,
    /// The last total heard.
    pub(crate) seen: f64,
    /// What the window before left of its allowance, as far as is known.
    pub(crate) left: f64,
    /// That window was followed here, so `left` is more than a guess.
    pub(crate) followed: bool,
}

impl Tally {
    /// The total as far as it is known here, with what of ours it does not hold yet.
    pub(crate) fn known(&self) -> f64 {
        self.seen + self.owed + self.posting
    }
}
