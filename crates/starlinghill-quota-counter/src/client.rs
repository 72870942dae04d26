//! A gateway's side of the count: what it last heard of stores, what it owes, and when it and a counter last spoke. Whoever
//! owns the connection tells it what was sent and what came back. No I/O and no clock: times are since any one moment.

use crate::bounds::unassigned_share;
use crate::{Draw, DrawOutcome, LevelReading, LevelReadings, QuotaLevel, UnreportedUsage};
use std::time::Duration;

/// A gateway as the counter's client.
#[derive(Debug)]
pub struct QuotaClient {
    readings: LevelReadings,
    debts: UnreportedUsage,
    /// Something was said to any counter, or the gateway began.
    said: Duration,
    /// What stores hold was heard, or the gateway began, and from the counter of that term.
    heard: Duration,
    term: u64,
    /// Debts were paid by this gateway's shares for the time until then.
    paid: Duration,
}

impl QuotaClient {
    /// A gateway that begins.
    pub fn new(now: Duration) -> QuotaClient {
        let (readings, debts) = Default::default();
        QuotaClient { readings, debts, said: now, heard: now, term: 0, paid: now }
    }

    /// So many units of a store that fills at that rate were used without a word of the counter's; fewer than none where
    /// some that it gave were not used. `gateways` is how many there are.
    pub fn add_unreported(&mut self, name: u64, units: f64, rate: f64, gateways: usize) {
        let share = self.readings.share(name).unwrap_or_else(|| unassigned_share(gateways));
        self.debts.add(name, units, rate * share);
    }

    /// There is something to be told.
    pub fn has_unreported(&self) -> bool {
        !self.debts.is_empty()
    }

    /// The counter of that term is called: what this gateway's shares came to since nobody else had them pays its debts. The
    /// same counter that was heard last kept them free from the last word that it may have heard; another one begins with
    /// what was heard of the one before. No time counts twice, however often a counter is called in vain.
    pub fn on_connect(&mut self, now: Duration, term: u64) {
        let last = if self.term == term { self.said } else { self.heard };
        self.debts.deduct_own_share(now.saturating_sub(last.max(self.paid)));
        (self.paid, self.said) = (now, now);
    }

    /// What a counter that begins, or that has forgotten this gateway, must know, at that moment of the system's time.
    pub fn readings_for_recovery(&mut self, now: Duration, time: u64) -> Vec<LevelReading> {
        self.said = now;
        self.readings.current(time)
    }

    /// A message goes to the counter: what is owed of the stores that it draws from goes along, and what is owed of others
    /// is returned, of so many stores at most.
    pub fn on_send<'a>(
        &mut self,
        now: Duration,
        draws: impl Iterator<Item = &'a mut Draw>,
        most: usize,
    ) -> Vec<(u64, f64)> {
        self.said = now;
        draws.for_each(|draw| draw.unreported += self.debts.take(draw.bucket));
        self.debts.take_up_to(most)
    }

    /// The counter of that term has answered a message, whether that drew from stores or only kept in touch.
    pub fn on_reply(&mut self, now: Duration, term: u64) {
        (self.heard, self.term) = (now, term);
    }

    /// What became of a draw, by an answer of that moment of the system's time. `waited`: its request was decided by that.
    pub fn on_draw_answered(&mut self, time: u64, draw: &Draw, level: &QuotaLevel, waited: bool) {
        let granted = level.level >= 0.0;
        let unused = if granted { 0.0 } else { draw.units };
        self.readings.record(draw.bucket, level.level + unused, level.share, time);
        let end = if granted { DrawOutcome::Granted } else { DrawOutcome::Refused };
        self.debts.settle_draw(draw.bucket, (draw.unreported, draw.units), end, waited);
    }

    /// A draw was not taken in, or nobody knows.
    pub fn on_draw_failed(&mut self, draw: &Draw) {
        self.debts.settle_draw(draw.bucket, (draw.unreported, draw.units), DrawOutcome::Unknown, false);
    }
}
