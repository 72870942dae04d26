//! Guards of the rules: what a request still allows. Every send and every refusal passes here.

use crate::api::*;
use crate::context::Context;
use crate::request::Request;
use crate::server::Server;
use std::collections::BTreeMap;

/// A request goes on if the server that answers soonest does so within this part of the aim, as far as is
/// known: the rest is for the way there and back. Its client has asked before if it waits for less than that
/// part of what its class may take: such a one goes first, since refused again it is lost.
const SOON_PART: f64 = 0.65;
const BACK_PART: f64 = 0.8;
const WHOLE_PART: f64 = 0.9;

impl Context {
    /// Within what time a server must answer a request that has just come.
    pub(crate) fn within(&self, a: &Arrival) -> Micros {
        let class = &self.set.classes[a.class.0];
        let came_back = a.deadline - self.now < class.deadline.times(WHOLE_PART);
        class.target.times(if came_back { BACK_PART } else { SOON_PART })
    }
}

impl Request {
    /// Whether this request may go to this server now: lists, drains, effect, copies. For cold ones see
    /// `pick`.
    pub(crate) fn may_go(&self, cx: &Context, servers: &BTreeMap<ServerId, Server>, s: &Server) -> bool {
        let class = &cx.set.classes[self.a.class.0];
        let over =
            self.done || self.streaming || cx.now >= self.a.deadline || self.attempts.len() >= self.most;
        let second = self.is_out() && !cx.set.second_copies;
        if over || second || !s.listed {
            return false;
        }
        let mut ran = self.attempts.iter().filter(|a| a.out || a.may_have_run);
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            // The window counts from the first send that may have run, less a tick on the way.
            Effect::Keyed => ran.all(|a| {
                cx.now + cx.set.tick + cx.set.tick < a.sent + class.window
                    && match (class.group, servers.get(&a.server)) {
                        (Group::All, _) => true,
                        (Group::Zone, first) => first.is_some_and(|first| first.zone == s.zone),
                        (Group::Cell, first) => first.is_some_and(|first| first.cell == s.cell),
                    }
            }),
        }
    }

    /// Whether trying again is harmless for the client.
    pub(crate) fn may_refuse(&self, cx: &Context) -> bool {
        let class = &cx.set.classes[self.a.class.0];
        let ran = self.attempts.iter().any(|a| a.out || a.may_have_run);
        !self.streaming
            && match class.effect {
                Effect::Safe => true,
                Effect::Keyed => !ran || class.group == Group::All,
                Effect::Unsafe => !ran,
            }
    }
}
