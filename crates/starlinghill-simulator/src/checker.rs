//! The record of a simulated run, and the rules that every record must satisfy.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::time::Duration;

/// The time limit within which a confirmed configuration takes effect at connected gateways.
pub const APPLY_LIMIT: Duration = Duration::from_millis(2_500);

/// How long after an acknowledged drain or removal requests may still go to the backend.
pub const DRAIN_LIMIT: Duration = Duration::from_millis(2_500);
/// How often a backend sends a heartbeat.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The tenant whose quota the gateways draw from. Its settings do not change during a run.
pub const QUOTA_TENANT: &str = "rationed";
/// The rate per second of [`QUOTA_TENANT`], which is also its burst, version and content.
pub const QUOTA_RATE: u64 = 10;
/// The window over which the quota rules count requests.
pub const QUOTA_WINDOW: Duration = Duration::from_secs(5);
/// The tolerated excess over a quota, as a share of it.
pub const QUOTA_EXCESS_RATIO: f64 = 0.1;
/// The tolerated excess over a quota, in requests on top of the share. It is small so that a few wrong grants are
/// noticed.
pub const QUOTA_EXTRA_REQUESTS: f64 = 2.0;

/// An operator's change to one configuration item. No two changes have the same content, except that content 0
/// removes the item.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConfigChange {
    /// The item's name.
    pub item: String,
    /// The item's version. Sent also as the tenant's burst, so that replies show it.
    pub version: u64,
    /// Sent as the tenant's rate per second, which makes the change recognizable in replies.
    pub content: u64,
    /// The tenant's API key. No two tenants may have the same one.
    pub api_key: String,
}

/// One request that submits a change to a member.
#[derive(Debug, Clone, Hash)]
pub struct Attempt {
    /// The index into [`History::changes`].
    pub change: usize,
    /// The member that was called.
    pub member: IpAddr,
    /// When the request was sent.
    pub started: Duration,
    /// When the reply came or the caller gave up.
    pub finished: Duration,
    /// The HTTP status; `None` without a reply.
    pub status: Option<u16>,
    /// During the whole attempt the member ran, and the caller could reach it. Its links to other members don't
    /// matter.
    pub was_reachable: bool,
}

/// Configuration items by name, each with its version and content.
pub type Items = BTreeMap<String, (u64, u64)>;

/// An answered read of all items.
#[derive(Debug, Clone, Hash)]
pub struct Read {
    /// The member that was read.
    pub member: IpAddr,
    /// When the request was sent.
    pub started: Duration,
    /// When the reply came.
    pub finished: Duration,
    /// The items in the reply.
    pub items: Items,
}

/// The state of a gateway at one moment.
#[derive(Debug, Clone, Hash)]
pub struct GatewaySample {
    /// The gateway's index.
    pub gateway: usize,
    /// Identifies the process. A restarted gateway has another one.
    pub incarnation: u64,
    /// When the sample was taken.
    pub time: Duration,
    /// Whether the gateway reports itself ready for traffic.
    pub ready: bool,
    /// The longest unbroken time for which it has been linked to one particular member that reaches a majority.
    pub linked_to_one_for: Duration,
    /// How long it has been linked, without a break, to every member that reaches a majority.
    pub linked_to_all_for: Duration,
    /// The configuration in effect.
    pub items: Items,
    /// The ids of the backends that it may route requests to.
    pub backends: BTreeSet<String>,
}

/// An answer of a registry that it holds the quota counter.
#[derive(Debug, Clone, Hash)]
pub struct HolderSample {
    /// The address of the registry.
    pub member: IpAddr,
    /// The term under which it holds the counter.
    pub term: u64,
    /// The registry held the counter at some time from `started` to `finished`.
    pub started: Duration,
    /// See `started`.
    pub finished: Duration,
}

/// Everything recorded in one run. Times count from the start of the run.
#[derive(Debug, Default, Hash)]
pub struct History {
    /// All requested changes.
    pub changes: Vec<ConfigChange>,
    /// All submissions of changes.
    pub attempts: Vec<Attempt>,
    /// All answered reads.
    pub reads: Vec<Read>,
    /// The observed states of gateways, in the order of time.
    pub gateway_samples: Vec<GatewaySample>,
    /// The observed counter holders.
    pub holder_samples: Vec<HolderSample>,
    /// When the counter granted a draw from the quota of [`QUOTA_TENANT`].
    pub quota_grants: Vec<Duration>,
    /// The epoch of the members at the end of the run: how many membership changes were made.
    pub membership_epoch: u64,
    /// When the drain or removal of a backend was first acknowledged, by the backend's id.
    pub drained_at: BTreeMap<String, Duration>,
    /// The faults that were injected, and when.
    pub injected_faults: Vec<(Duration, String)>,
    /// Violations that were detected during the run.
    pub run_violations: Vec<String>,
}

/// The requests for one item.
#[derive(Default)]
struct ItemRecord {
    /// Confirmed changes: time, version and content.
    confirmed: Vec<(Duration, u64, u64)>,
    /// Requested changes by version and content: the time of the first request, and whether any request was rejected
    /// with a 4xx status.
    requested: BTreeMap<(u64, u64), (Duration, bool)>,
}

impl ItemRecord {
    /// The highest version that was confirmed by the given time. Anything older is a lost update.
    fn min_version(&self, by: Duration) -> u64 {
        let earlier = self.confirmed.iter().filter(|(at, ..)| *at <= by);
        earlier.map(|(_, version, _)| *version).max().unwrap_or_default()
    }

    /// Checks that an observed change had been requested by the given time and was never rejected.
    fn check_requested(&self, observed: (u64, u64), by: Duration) -> Result<(), &'static str> {
        match self.requested.get(&observed) {
            Some((_, true)) => Err("rejected"),
            Some((started, _)) if *started <= by => Ok(()),
            _ => Err("never requested"),
        }
    }

    /// The version of a removal that explains why an item is absent, if one was requested with at least
    /// `min_version`.
    fn removed_version(&self, min_version: u64, by: Duration) -> Option<u64> {
        let removals =
            self.requested.iter().filter(|((_, content), (started, _))| *content == 0 && *started <= by);
        removals.map(|((version, _), _)| *version).find(|version| *version >= min_version)
    }

    /// Checks an observed item, `None` if absent, against the lowest version allowed. Returns the observed version,
    /// or what is wrong.
    fn check_observed(
        &self,
        observed: Option<(u64, u64)>,
        min_version: u64,
        by: Duration,
    ) -> Result<u64, String> {
        match observed {
            None if min_version == 0 => Ok(0),
            None => self
                .removed_version(min_version, by)
                .ok_or(format!("is absent, expected at least r{min_version}")),
            Some((version, _)) if version < min_version => {
                Err(format!("is r{version}, expected at least r{min_version}"))
            }
            Some(observed) => match self.check_requested(observed, by) {
                Ok(()) => Ok(observed.0),
                Err(reason) => Err(format!("is {observed:?}, which was {reason}")),
            },
        }
    }
}

impl History {
    /// A hash of the whole history. Two runs of one seed must have the same.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }

    /// Describes each violated rule; empty for a correct run.
    pub fn violations(&self) -> Vec<String> {
        let records = self.records();
        let mut violations = self.run_violations.clone();
        self.check_answers(&records, &mut violations);
        self.check_contents(&records, &mut violations);
        self.check_reads(&records, &mut violations);
        self.check_gateways(&records, &mut violations);
        self.check_holders(&mut violations);
        self.check_quota(&mut violations);
        self.check_drains(&mut violations);
        violations
    }

    /// The number of distinct changes that were confirmed.
    pub fn confirmed_changes(&self) -> usize {
        let confirmed = self.attempts.iter().filter(|attempt| attempt.status == Some(200));
        confirmed.map(|attempt| attempt.change).collect::<BTreeSet<_>>().len()
    }

    fn records(&self) -> BTreeMap<&str, ItemRecord> {
        let mut records: BTreeMap<&str, ItemRecord> = BTreeMap::new();
        for attempt in &self.attempts {
            let ConfigChange { item, version, content, .. } = &self.changes[attempt.change];
            let record = records.entry(item).or_default();
            if attempt.status == Some(200) {
                record.confirmed.push((attempt.finished, *version, *content));
            }
            let requested = record.requested.entry((*version, *content)).or_insert((attempt.started, false));
            requested.0 = requested.0.min(attempt.started);
            requested.1 |= attempt.status.is_some_and(|status| (400..500).contains(&status));
        }
        records
    }

    fn check_answers(&self, records: &BTreeMap<&str, ItemRecord>, violations: &mut Vec<String>) {
        for attempt in &self.attempts {
            let change = &self.changes[attempt.change];
            let record = &records[change.item.as_str()];
            let describe = |problem: &str| {
                format!("{problem}: {change:?} at {}, sent at {:?}", attempt.member, attempt.started)
            };
            match attempt.status {
                Some(200 | 503) => {}
                None if attempt.was_reachable => violations.push(describe("no reply in time")),
                None => {}
                Some(409) => {
                    let same_version =
                        record.requested.range((change.version, 0)..=(change.version, u64::MAX));
                    let mut rivals = same_version.filter(|((_, content), _)| *content != change.content);
                    if !rivals.any(|(_, (started, _))| *started < attempt.finished) {
                        violations.push(describe("conflict without a rival"));
                    }
                    let is_same = |(_, version, content): &(Duration, u64, u64)| {
                        (*version, *content) == (change.version, change.content)
                    };
                    if record.confirmed.iter().any(is_same) {
                        violations.push(describe("confirmed and rejected"));
                    }
                }
                // The key may have belonged to another tenant at that time.
                Some(400) if self.has_rival_for_key(change, attempt.finished) => {}
                Some(status) => violations.push(describe(&format!("unexpected status {status}"))),
            }
        }
    }

    /// Whether another tenant's request for the same key had been sent by the given time.
    fn has_rival_for_key(&self, change: &ConfigChange, by: Duration) -> bool {
        let rival = |other: &ConfigChange| {
            other.api_key == change.api_key && other.item != change.item && other.content != 0
        };
        self.attempts.iter().any(|attempt| attempt.started < by && rival(&self.changes[attempt.change]))
    }

    /// One version of an item has one content, in confirmations, reads and gateways alike.
    fn check_contents(&self, records: &BTreeMap<&str, ItemRecord>, violations: &mut Vec<String>) {
        let mut known: BTreeMap<(&str, u64), u64> = BTreeMap::new();
        let mut check = |item, version, content, source: &str| {
            let first = *known.entry((item, version)).or_insert(content);
            if first != content {
                violations.push(format!(
                    "two contents of one version: {item} r{version}: {first}, then {source} {content}"
                ));
            }
        };
        for (item, record) in records {
            record
                .confirmed
                .iter()
                .for_each(|(_, version, content)| check(*item, *version, *content, "confirmed"));
        }
        for (item, (version, content)) in self.reads.iter().flat_map(|read| &read.items) {
            check(item, *version, *content, "read");
        }
        for (item, (version, content)) in self.gateway_samples.iter().flat_map(|sample| &sample.items) {
            check(item, *version, *content, "in effect");
        }
    }

    /// A read returns at least what had been confirmed or read before it started.
    fn check_reads(&self, records: &BTreeMap<&str, ItemRecord>, violations: &mut Vec<String>) {
        for (item, record) in records {
            let mut earlier_reads: Vec<(Duration, u64)> = Vec::new();
            for read in &self.reads {
                let earlier = earlier_reads.iter().filter(|(at, _)| *at <= read.started);
                let last_read = earlier.map(|(_, version)| *version).max().unwrap_or_default();
                let min_version = last_read.max(record.min_version(read.started));
                match record.check_observed(read.items.get(*item).copied(), min_version, read.finished) {
                    Ok(version) => earlier_reads.push((read.finished, version)),
                    Err(problem) => violations.push(format!(
                        "read at {}, sent at {:?}: {item} {problem}",
                        read.member, read.started
                    )),
                }
            }
        }
    }

    /// In one process of a gateway no item goes back to an older version. A gateway that is linked long enough, or
    /// becomes ready, has every change confirmed at least [`APPLY_LIMIT`] earlier.
    fn check_gateways(&self, records: &BTreeMap<&str, ItemRecord>, violations: &mut Vec<String>) {
        for (item, record) in records {
            let mut known: BTreeMap<(usize, u64), (u64, bool)> = BTreeMap::new();
            for sample in &self.gateway_samples {
                let (version, ready) = known.entry((sample.gateway, sample.incarnation)).or_default();
                let becomes_ready = sample.ready && !std::mem::replace(ready, sample.ready);
                let must_be_current = becomes_ready || sample.linked_to_one_for >= APPLY_LIMIT;
                let confirmed_by = sample.time.checked_sub(APPLY_LIMIT).filter(|_| must_be_current);
                let min_version = confirmed_by.map_or(0, |by| record.min_version(by));
                // `rule` names the violated rule; "back" stands for a version older than one seen before.
                let describe = |rule, problem| {
                    format!("{rule}: gateway {} at {:?}: {item} {problem}", sample.gateway, sample.time)
                };
                let observed = sample.items.get(*item).copied();
                match record.check_observed(observed, *version, sample.time) {
                    Ok(newer) => *version = newer,
                    Err(problem) => violations.push(describe("back", problem)),
                }
                if let Err(problem) = record.check_observed(observed, min_version, sample.time) {
                    let rule = if becomes_ready { "became ready with old state" } else { "applied too late" };
                    violations.push(describe(rule, problem));
                }
            }
        }
    }

    /// Only one registry holds the counter at a time: after a later term was reported, no earlier one is.
    fn check_holders(&self, violations: &mut Vec<String>) {
        for sample in &self.holder_samples {
            let later = |later: &&HolderSample| later.term > sample.term && later.finished <= sample.started;
            if let Some(later) = self.holder_samples.iter().find(later) {
                violations.push(format!("two holders of the quota counter: {sample:?} after {later:?}"));
            }
        }
    }

    /// In no window does the number of grants exceed what the rules allow, whichever registries granted them.
    fn check_quota(&self, violations: &mut Vec<String>) {
        let rate = QUOTA_RATE as f64;
        let quota = rate * QUOTA_WINDOW.as_secs_f64() + rate;
        let allowed = quota * (1.0 + QUOTA_EXCESS_RATIO) + QUOTA_EXTRA_REQUESTS;
        let mut grants = self.quota_grants.clone();
        grants.sort_unstable();
        for (i, last) in grants.iter().enumerate() {
            let first = grants.partition_point(|at| *at + QUOTA_WINDOW < *last);
            let count = i + 1 - first;
            if count as f64 > allowed {
                violations.push(format!(
                    "quota exceeded: {count} grants in the window until {last:?}, allowed {allowed}"
                ));
                return;
            }
        }
    }

    /// A gateway linked to every member that reaches a majority stops routing to a draining backend within
    /// [`DRAIN_LIMIT`]. No gateway becomes ready while it still routes to one that drained before.
    fn check_drains(&self, violations: &mut Vec<String>) {
        let mut ready: BTreeMap<(usize, u64), bool> = BTreeMap::new();
        for sample in &self.gateway_samples {
            let was_ready = ready.entry((sample.gateway, sample.incarnation)).or_default();
            let becomes_ready = !std::mem::replace(was_ready, sample.ready) && sample.ready;
            if !becomes_ready && sample.linked_to_all_for < DRAIN_LIMIT {
                continue;
            }
            for id in &sample.backends {
                let drained_at = self.drained_at.get(id).filter(|at| **at + DRAIN_LIMIT < sample.time);
                if let Some(drained_at) = drained_at {
                    let problem = if becomes_ready { "becomes ready and sends" } else { "sends" };
                    let (gateway, now) = (sample.gateway, sample.time);
                    violations.push(format!(
                        "gateway {gateway} {problem} to {id} at {now:?}, drained at {drained_at:?}"
                    ));
                }
            }
        }
    }
}
