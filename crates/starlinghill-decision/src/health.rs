//! Health: what the end of an attempt says of its server, outlier ejection, and cold starts.

use crate::api::*;
use crate::bucket::TokenBucket;
use crate::context::{Context, SMOOTH};
use crate::roster::Fleet;
use crate::server::{warm_part, Server};

/// PolicyConstants on attempts out at one server: the least, what a late answer leaves of it, what an early one adds.
/// All but the cut are scaled to the gateway's part (`scale`).
const LIMIT_LEAST: f64 = 0.1;
const LIMIT_CUT: f64 = 0.7;
const LIMIT_GROW: f64 = 0.03;
/// An answer that takes, with twice the server's usual time, more than this part of the aim says that it
/// holds too much; one earlier than the second, while the bound was in use, that it could hold more.
const LATE_PART: f64 = 0.85;
const GROW_PART: f64 = 0.25;
/// Outlier ejection: smoothed share of failures (four in a row pass it), first time out, its doublings.
pub(crate) const EJECT_SHARE: f64 = 0.3;
pub(crate) const EJECT_FIRST: Micros = Micros(1_000_000);
pub(crate) const EJECT_DOUBLINGS: u32 = 3;
/// What one failure counts for where traffic is thin: four in a row would take ten seconds to come.
const THIN_SMOOTH: f64 = 0.35;
/// A server that turned a request away is left alone for this long.
const REST: Micros = Micros(100_000);

/// What a gateway gives a cold server beyond that part, within half of what it falls over at. Fleets run at
/// half of what they can: with most servers cold, the rest must not be refused. Proxies get the plain part.
const COLD_PUSH: f64 = 1.5;

impl Fleet {
    pub(crate) fn judge(
        &mut self,
        cx: &mut Context,
        server: ServerId,
        outcome: Outcome,
        took: Micros,
        target: Micros,
    ) {
        let now = cx.now;
        let (jitter, scale) = (0.75 + 0.5 * cx.rng.f64(), self.scale(cx));
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.out = (s.out - 1.0).max(0.0);
        self.out_now = (self.out_now - 1.0).max(0.0);
        // Guards against servers that hold too much and work worse for it, by overload or by a trouble of
        // their own: the bound gives way fast and comes back slowly. May hurt just after short stalls.
        let held = took + Micros(2 * s.latency as u64);
        let late = matches!(outcome, Outcome::Ok | Outcome::Cancelled) && held > target.times(LATE_PART);
        let jammed = late || matches!(outcome, Outcome::Rejected | Outcome::Timeout);
        // Only what tells of load counts: a server that can't be reached, breaks off or answers with an error
        // does so whatever the others bear, and what was called off was no server's fault.
        match outcome {
            Outcome::Ok => self.throttle.record(now, took <= target),
            Outcome::Rejected | Outcome::Timeout => self.throttle.record(now, false),
            _ => {}
        }
        if jammed {
            s.limit = (s.limit * LIMIT_CUT).max(LIMIT_LEAST);
        } else if outcome == Outcome::Ok
            && s.out + 1.0 >= (s.limit * scale).floor()
            && took < target.times(GROW_PART)
        {
            s.limit += LIMIT_GROW;
        }
        let bad = !matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::NotSent) || took > target;
        self.fail_share += SMOOTH / 3.0 * (f64::from(u8::from(bad)) - self.fail_share);
        if outcome == Outcome::Ok {
            let sample = took.0 as f64;
            for smooth in [&mut s.latency, &mut self.latency] {
                *smooth = if *smooth == 0.0 { sample } else { *smooth + SMOOTH * (sample - *smooth) };
            }
            s.fail_share *= 1.0 - SMOOTH;
            if std::mem::take(&mut s.trial) {
                s.fail_share = 0.0; // The trial is passed.
            } else {
                s.ejections = 0;
            }
            // Guards against a restart that the list has not told yet: connects failed for a while and now it
            // answers, so it is taken to be cold.
            let unreached = s.unreached_since.take().is_some_and(|at| now - at > EJECT_FIRST);
            if unreached && s.cold_since.is_none() {
                s.cold_since = Some(now);
                s.cold_room = TokenBucket { level: 0.0, depth: 1.0, rate: 0.0, at: now };
            }
        }
        if matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::NotSent) {
            return;
        }
        if outcome == Outcome::Rejected {
            s.ejected_until = s.ejected_until.max(now + REST);
            return;
        }
        if outcome == Outcome::ConnectFailed {
            s.unreached_since.get_or_insert(now);
        }
        self.failed(cx, server, outcome == Outcome::ConnectFailed, jitter);
    }

    /// An answer broke off after its attempt had ended well.
    pub(crate) fn broke(&mut self, cx: &Context, server: ServerId) {
        self.failed(cx, server, false, 1.0);
    }

    /// Outlier ejection. Guards against servers that fail fast, hang or are unreachable; a server is out of
    /// line only against the others, or overload would eject them one by one.
    fn failed(&mut self, cx: &Context, server: ServerId, unreached: bool, jitter: f64) {
        let (now, all) = (cx.now, self.fail_share);
        let weight = if self.sparse(cx) { THIN_SMOOTH } else { SMOOTH };
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.fail_share += weight * (1.0 - s.fail_share);
        let out_of_line = unreached || s.fail_share > EJECT_SHARE.max(2.0 * all);
        if now >= s.ejected_until && (out_of_line || s.trial) {
            s.ejected_until = now + EJECT_FIRST.times(f64::from(1 << s.ejections) * jitter);
            s.ejections = (s.ejections + 1).min(EJECT_DOUBLINGS);
            s.trial = true;
        }
    }

    /// Guards against pushing over a cold server: it is given the work that a warm one of its size gets from
    /// this gateway, times the part of its capacity that it must have by now. Warm servers bear that load,
    /// and each gateway scales its own, so the sum stays in proportion.
    pub(crate) fn warm_up(&mut self, cx: &Context) {
        let (now, set) = (cx.now, &cx.set);
        let usable = |s: &&Server| s.listed && now >= s.ejected_until;
        let warm: f64 =
            self.servers.values().filter(usable).filter(|s| s.cold_since.is_none()).map(|s| s.weight).sum();
        let all: f64 = self.servers.values().filter(|s| s.listed).map(|s| s.weight).sum();
        // All gateways together: the largest request, once a second.
        let push = (set.fall_multiple / 2.0).clamp(1.0, COLD_PUSH);
        let least = set.most_units / f64::from(set.gateways);
        let per_weight = self.borne.per_weight(now, self.flow_rate(cx), (warm, all), least);
        for s in self.servers.values_mut() {
            s.warms(now, set.cold);
            let Some(since) = s.cold_since else { continue };
            s.cold_room.rate = per_weight * push * s.weight * warm_part(set, now - since);
            s.cold_room.fill(now);
        }
    }
}
