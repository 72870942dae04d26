//! What a request still allows. Every send and every refusal is checked here.

use crate::api::*;
use crate::context::Context;
use crate::request::Request;
use crate::server::Server;
use std::collections::BTreeMap;

/// A request is sent only if the server that answers soonest is known to do so within this fraction of the
/// target; the rest is for the way there and back. The larger fraction is for repeats, which have less than
/// `REPEAT_DEADLINE_PART` of the class's deadline left and are lost if refused again.
const FIRST_TRY_PART: f64 = 0.65;
const REPEAT_PART: f64 = 0.8;
const REPEAT_DEADLINE_PART: f64 = 0.9;

impl Context {
    /// The time within which a server must answer a request that has just arrived.
    pub(crate) fn within(&self, a: &Arrival) -> Micros {
        let class = &self.settings.classes[a.class.0];
        let repeat = a.deadline - self.now < class.deadline.times(REPEAT_DEADLINE_PART);
        class.target.times(if repeat { REPEAT_PART } else { FIRST_TRY_PART })
    }
}

impl Request {
    /// Whether an attempt may go to this server now, by its listing and by the request's effect, deadline and
    /// attempts so far. `pick` checks cold servers.
    pub(crate) fn may_use(&self, cx: &Context, servers: &BTreeMap<ServerId, Server>, s: &Server) -> bool {
        let class = &cx.settings.classes[self.arrival.class.0];
        let over = self.done
            || self.streaming
            || cx.now >= self.arrival.deadline
            || self.attempts.len() >= self.max_attempts;
        let second = self.any_in_flight() && !cx.settings.second_copies;
        if over || second || !s.listed {
            return false;
        }
        let mut ran = self.attempts.iter().filter(|a| a.in_flight || a.may_have_run);
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            // Counted from the first send that may have run, less two ticks for the way.
            Effect::Keyed => ran.all(|a| {
                cx.now + cx.settings.tick + cx.settings.tick < a.sent + class.window
                    && match (class.group, servers.get(&a.server)) {
                        (Group::All, _) => true,
                        (Group::Zone, first) => first.is_some_and(|first| first.zone == s.zone),
                        (Group::Cell, first) => first.is_some_and(|first| first.cell == s.cell),
                    }
            }),
        }
    }

    /// Whether a client may safely send this request again.
    pub(crate) fn may_refuse(&self, cx: &Context) -> bool {
        let class = &cx.settings.classes[self.arrival.class.0];
        let ran = self.attempts.iter().any(|a| a.in_flight || a.may_have_run);
        !self.streaming
            && match class.effect {
                Effect::Safe => true,
                Effect::Keyed => !ran || class.group == Group::All,
                Effect::Unsafe => !ran,
            }
    }
}
