//! Health of servers: what the end of an attempt says about its server, outlier ejection, cold starts.

use crate::api::*;
use crate::bucket::TokenBucket;
use crate::context::{Context, SMOOTHING};
use crate::roster::Fleet;
use crate::server::{warm_part, Server};

/// The least limit, the factor for a late answer, the step for an early one; `limit_scale` scales limits.
const LIMIT_MIN: f64 = 0.1;
const LIMIT_CUT: f64 = 0.7;
const LIMIT_STEP: f64 = 0.03;
/// A server has too much to do if an answer's time plus twice its usual time is above the first fraction of
/// the target. It could take more if an answer within the second fraction came while the limit was in use.
const OVERLOAD_PART: f64 = 0.85;
const GROW_PART: f64 = 0.25;
/// Outlier ejection: smoothed share of failures that ejects a server (four in a row exceed it), duration of
/// the first ejection, and how often that doubles.
pub(crate) const EJECT_SHARE: f64 = 0.3;
pub(crate) const EJECT_FIRST: Micros = Micros(1_000_000);
pub(crate) const EJECT_DOUBLINGS: u32 = 3;
/// Weight of one failure with sparse traffic: four in a row would take ten seconds to come.
const SPARSE_SMOOTHING: f64 = 0.35;
/// A server that rejected a request gets none for this long.
const REJECTED_PAUSE: Micros = Micros(100_000);

/// Factor above its part for a cold server from a gateway; proxies get the plain part. At most half of what
/// overloads it (`fall_multiple`). Fleets run at half of their capacity, so with most servers cold the
/// remaining load must not be refused.
const COLD_MARGIN: f64 = 1.5;

impl Fleet {
    pub(crate) fn record_outcome(
        &mut self,
        cx: &mut Context,
        server: ServerId,
        outcome: Outcome,
        took: Micros,
        target: Micros,
    ) {
        let now = cx.now;
        let (jitter, scale) = (0.75 + 0.5 * cx.rng.f64(), self.limit_scale(cx));
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.in_flight = (s.in_flight - 1.0).max(0.0);
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        // Guards against servers that slow down from too much work, or for a reason of their own: the limit
        // falls fast and rises slowly. May cost throughput just after short stalls.
        let with_margin = took + Micros(2 * s.latency as u64);
        let late =
            matches!(outcome, Outcome::Ok | Outcome::Cancelled) && with_margin > target.times(OVERLOAD_PART);
        let overloaded = late || matches!(outcome, Outcome::Rejected | Outcome::Timeout);
        // Counts only what tells of load: a server that is unreachable, resets or answers an error does so
        // whatever the others' load, and a cancelled attempt is no server's fault.
        match outcome {
            Outcome::Ok => self.throttle.record(now, took <= target),
            Outcome::Rejected | Outcome::Timeout => self.throttle.record(now, false),
            _ => {}
        }
        if overloaded {
            s.limit = (s.limit * LIMIT_CUT).max(LIMIT_MIN);
        } else if outcome == Outcome::Ok
            && s.in_flight + 1.0 >= (s.limit * scale).floor()
            && took < target.times(GROW_PART)
        {
            s.limit += LIMIT_STEP;
        }
        let bad = !matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::NotSent) || took > target;
        self.fail_share += SMOOTHING / 3.0 * (f64::from(u8::from(bad)) - self.fail_share);
        if outcome == Outcome::Ok {
            let sample = took.0 as f64;
            for smooth in [&mut s.latency, &mut self.latency] {
                *smooth = if *smooth == 0.0 { sample } else { *smooth + SMOOTHING * (sample - *smooth) };
            }
            s.fail_share *= 1.0 - SMOOTHING;
            if std::mem::take(&mut s.trial) {
                s.fail_share = 0.0;
            } else {
                s.ejections = 0;
            }
            // Guards against a restart that the list has not reported yet: after failed connects for a while
            // an answer comes, so the server is taken for cold.
            let restarted = s.unreached_since.take().is_some_and(|at| now - at > EJECT_FIRST);
            if restarted && s.cold_since.is_none() {
                s.cold_since = Some(now);
                s.cold_bucket = TokenBucket { level: 0.0, depth: 1.0, rate: 0.0, at: now };
            }
        }
        if matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::NotSent) {
            return;
        }
        if outcome == Outcome::Rejected {
            s.ejected_until = s.ejected_until.max(now + REJECTED_PAUSE);
            return;
        }
        if outcome == Outcome::ConnectFailed {
            s.unreached_since.get_or_insert(now);
        }
        self.record_failure(cx, server, outcome == Outcome::ConnectFailed, jitter);
    }

    /// A response broke off after its attempt had ended well.
    pub(crate) fn response_broke(&mut self, cx: &Context, server: ServerId) {
        self.record_failure(cx, server, false, 1.0);
    }

    /// Outlier ejection. Guards against servers that fail fast, hang or are unreachable. A server's share of
    /// failures counts only against that of all servers, or overload would eject one after the other.
    fn record_failure(&mut self, cx: &Context, server: ServerId, unreached: bool, jitter: f64) {
        let (now, all) = (cx.now, self.fail_share);
        let weight = if self.is_sparse(cx) { SPARSE_SMOOTHING } else { SMOOTHING };
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.fail_share += weight * (1.0 - s.fail_share);
        let outlier = unreached || s.fail_share > EJECT_SHARE.max(2.0 * all);
        if now >= s.ejected_until && (outlier || s.trial) {
            s.ejected_until = now + EJECT_FIRST.times(f64::from(1 << s.ejections) * jitter);
            s.ejections = (s.ejections + 1).min(EJECT_DOUBLINGS);
            s.trial = true;
        }
    }

    /// Fills the budgets of cold servers. Guards against overloading them: each gets the work that this
    /// gateway sends to a warm server of its size, times the fraction of its capacity that it has by now.
    /// Warm servers handle that load, and each gateway scales its own, so the sum stays in proportion.
    pub(crate) fn warm_up(&mut self, cx: &Context) {
        let (now, set) = (cx.now, &cx.settings);
        let usable = |s: &&Server| s.listed && now >= s.ejected_until;
        let warm: f64 =
            self.servers.values().filter(usable).filter(|s| s.cold_since.is_none()).map(|s| s.weight).sum();
        let all: f64 = self.servers.values().filter(|s| s.listed).map(|s| s.weight).sum();
        // All gateways together send at least the largest request once a second.
        let margin = (set.fall_multiple / 2.0).clamp(1.0, COLD_MARGIN);
        let least = set.most_units / f64::from(set.gateways);
        let per_weight = self.capacity.per_weight(now, self.flow_rate(cx), (warm, all), least);
        for s in self.servers.values_mut() {
            s.end_cold_start(now, set.cold);
            let Some(since) = s.cold_since else { continue };
            s.cold_bucket.rate = per_weight * margin * s.weight * warm_part(set, now - since);
            s.cold_bucket.fill(now);
        }
    }
}
