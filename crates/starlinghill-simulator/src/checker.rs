//! What was asked and answered while a control side was played, and what must hold of it.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::time::Duration;

/// A configuration takes hold within this.
pub const APPLY: Duration = Duration::from_millis(2_500);

/// Nothing goes to a backend so long after it was acknowledged that it drains or leaves.
pub const DRAIN: Duration = Duration::from_millis(2_500);
/// How often a backend says how it is.
pub const BEAT: Duration = Duration::from_millis(500);

/// The tenant whose quota gateways draw from. It never changes: its rate a second and its burst are its number.
pub const RATIONED: &str = "rationed";
/// That number.
pub const RATION: u64 = 10;
/// The rules' window for quotas.
pub const QUOTA_WINDOW: Duration = Duration::from_secs(5);
/// What the rules allow beyond quotas: a part, and so many requests. Few, so that few which should not go on are seen.
pub const QUOTA_EXCESS: f64 = 0.1;
/// The same.
pub const QUOTA_EXTRA: f64 = 2.0;

/// An operator's order for one item; its content is its own. Content 0 drops the item.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Order {
    /// The item.
    pub item: String,
    /// Under that number.
    pub version: u64,
    /// The same.
    pub content: u64,
    /// The key of the tenant: no two may hold one.
    pub key: String,
}

/// One try to have an order taken.
#[derive(Debug, Clone, Hash)]
pub struct Attempt {
    /// Which order.
    pub order: usize,
    /// Where.
    pub at: IpAddr,
    /// From when.
    pub asked: Duration,
    /// Until when.
    pub answered: Duration,
    /// The answer, if one came.
    pub status: Option<u16>,
    /// All that time the member ran and could be reached, whomever else it could reach.
    pub reachable: bool,
}

/// Items as they stand: version and content.
pub type Items = BTreeMap<String, (u64, u64)>;

/// A read of all items that was answered.
#[derive(Debug, Clone, Hash)]
pub struct Read {
    /// Where.
    pub at: IpAddr,
    /// From when.
    pub asked: Duration,
    /// Until when.
    pub answered: Duration,
    /// What it told.
    pub items: Items,
}

/// What was in force at a gateway.
#[derive(Debug, Clone, Hash)]
pub struct InForce {
    /// Which.
    pub gateway: usize,
    /// In which life of its process.
    pub life: u64,
    /// When.
    pub at: Duration,
    /// It serves.
    pub ready: bool,
    /// For how long it has been in touch, without a break, with one and the same member of a majority that runs.
    pub in_touch: Duration,
    /// For how long it has been in touch with all members of a majority at once, without a break.
    pub in_full_touch: Duration,
    /// What.
    pub items: Items,
    /// The backends that it may send work to.
    pub backends: BTreeSet<String>,
}

/// A registry said that it holds the count.
#[derive(Debug, Clone, Hash)]
pub struct Held {
    /// Which.
    pub rack: IpAddr,
    /// In which term.
    pub term: u64,
    /// At some time between these.
    pub asked: Duration,
    /// The same.
    pub answered: Duration,
}

/// All that was seen.
#[derive(Debug, Default, Hash)]
pub struct History {
    /// Orders, by their numbers.
    pub orders: Vec<Order>,
    /// Tries.
    pub attempts: Vec<Attempt>,
    /// Reads.
    pub reads: Vec<Read>,
    /// What gateways went by.
    pub in_force: Vec<InForce>,
    /// Who held the count.
    pub held: Vec<Held>,
    /// When whoever held it granted a draw from the quota of [`RATIONED`].
    pub granted: Vec<Duration>,
    /// How often members changed.
    pub epoch: u64,
    /// When it was first acknowledged of a backend that it drains or leaves.
    pub drained: BTreeMap<String, Duration>,
    /// What was done to the system, and when.
    pub troubles: Vec<(Duration, String)>,
    /// Faults that showed at once.
    pub at_once: Vec<String>,
}

/// What became of the orders for one item.
#[derive(Default)]
struct Record {
    /// Confirmed: when, under which number, with what.
    confirmed: Vec<(Duration, u64, u64)>,
    /// Ordered: by number and content since when, and whether it was ever refused.
    ordered: BTreeMap<(u64, u64), (Duration, bool)>,
}

impl Record {
    /// The number that stands at least, as confirmed by then.
    fn least(&self, by: Duration) -> u64 {
        let before = self.confirmed.iter().filter(|(at, ..)| *at <= by);
        before.map(|(_, version, _)| *version).max().unwrap_or_default()
    }

    /// What is seen was ordered before, and was not refused.
    fn is_known(&self, seen: (u64, u64), by: Duration) -> Result<(), &'static str> {
        match self.ordered.get(&seen) {
            Some((_, true)) => Err("refused"),
            Some((asked, _)) if *asked <= by => Ok(()),
            _ => Err("never ordered"),
        }
    }

    /// The number that an absent item has at least, if it may be absent: it was dropped.
    fn dropped(&self, least: u64, by: Duration) -> Option<u64> {
        let drops = self.ordered.iter().filter(|((_, content), (asked, _))| *content == 0 && *asked <= by);
        drops.map(|((version, _), _)| *version).find(|version| *version >= least)
    }

    /// The number that stands at least, judged by what is seen; or what is wrong.
    fn stands(&self, seen: Option<(u64, u64)>, least: u64, by: Duration) -> Result<u64, String> {
        match seen {
            None if least == 0 => Ok(0),
            None => self.dropped(least, by).ok_or(format!("is gone, r{least} stood")),
            Some((version, _)) if version < least => Err(format!("is r{version}, r{least} stood")),
            Some(seen) => match self.is_known(seen, by) {
                Ok(()) => Ok(seen.0),
                Err(why) => Err(format!("is {seen:?}, which was {why}")),
            },
        }
    }
}

impl History {
    /// A number that stands for all of it.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }

    /// All that should not be.
    pub fn faults(&self) -> Vec<String> {
        let records = self.records();
        let mut faults = self.at_once.clone();
        self.check_answers(&records, &mut faults);
        self.check_contents(&records, &mut faults);
        self.check_reads(&records, &mut faults);
        self.check_gateways(&records, &mut faults);
        self.check_holders(&mut faults);
        self.check_quota(&mut faults);
        self.check_drains(&mut faults);
        faults
    }

    /// How many orders were confirmed.
    pub fn confirmed_orders(&self) -> usize {
        let sure = self.attempts.iter().filter(|attempt| attempt.status == Some(200));
        sure.map(|attempt| attempt.order).collect::<BTreeSet<_>>().len()
    }

    fn records(&self) -> BTreeMap<&str, Record> {
        let mut all: BTreeMap<&str, Record> = BTreeMap::new();
        for attempt in &self.attempts {
            let Order { item, version, content, .. } = &self.orders[attempt.order];
            let record = all.entry(item).or_default();
            if attempt.status == Some(200) {
                record.confirmed.push((attempt.answered, *version, *content));
            }
            let ordered = record.ordered.entry((*version, *content)).or_insert((attempt.asked, false));
            ordered.0 = ordered.0.min(attempt.asked);
            ordered.1 |= attempt.status.is_some_and(|status| (400..500).contains(&status));
        }
        all
    }

    fn check_answers(&self, records: &BTreeMap<&str, Record>, faults: &mut Vec<String>) {
        for attempt in &self.attempts {
            let order = &self.orders[attempt.order];
            let record = &records[order.item.as_str()];
            let told = |what: &str| format!("{what}: {order:?} at {} in {:?}", attempt.at, attempt.asked);
            match attempt.status {
                Some(200 | 503) => {}
                None if attempt.reachable => faults.push(told("no answer in time")),
                None => {}
                Some(409) => {
                    let same_number = record.ordered.range((order.version, 0)..=(order.version, u64::MAX));
                    let mut rivals = same_number.filter(|((_, content), _)| *content != order.content);
                    if !rivals.any(|(_, (asked, _))| *asked < attempt.answered) {
                        faults.push(told("refused without a rival"));
                    }
                    let same = |(_, version, content): &(Duration, u64, u64)| {
                        (*version, *content) == (order.version, order.content)
                    };
                    if record.confirmed.iter().any(same) {
                        faults.push(told("confirmed and refused"));
                    }
                }
                // Somebody else's key: whoever has it may have had it then.
                Some(400) if self.has_rival_for_key(order, attempt.answered) => {}
                Some(status) => faults.push(told(&format!("answered {status}"))),
            }
        }
    }

    /// Another tenant's order for the same key was under way, or had come, by then.
    fn has_rival_for_key(&self, order: &Order, by: Duration) -> bool {
        let rival = |other: &Order| other.key == order.key && other.item != order.item && other.content != 0;
        self.attempts.iter().any(|attempt| attempt.asked < by && rival(&self.orders[attempt.order]))
    }

    /// Under one number of an item there is one content, wherever it is seen.
    fn check_contents(&self, records: &BTreeMap<&str, Record>, faults: &mut Vec<String>) {
        let mut known: BTreeMap<(&str, u64), u64> = BTreeMap::new();
        let mut see = |item, version, content, how: &str| {
            let first = *known.entry((item, version)).or_insert(content);
            if first != content {
                let what = format!("{item} r{version}: {first}, then {how} {content}");
                faults.push(format!("two contents under one number: {what}"));
            }
        };
        for (item, record) in records {
            record.confirmed.iter().for_each(|(_, v, content)| see(*item, *v, *content, "confirmed"));
        }
        for (item, (version, content)) in self.reads.iter().flat_map(|read| &read.items) {
            see(item, *version, *content, "read");
        }
        for (item, (version, content)) in self.in_force.iter().flat_map(|seen| &seen.items) {
            see(item, *version, *content, "in force");
        }
    }

    /// A read tells all that was confirmed, and all that was read, before it was asked.
    fn check_reads(&self, records: &BTreeMap<&str, Record>, faults: &mut Vec<String>) {
        for (item, record) in records {
            let mut told: Vec<(Duration, u64)> = Vec::new();
            for read in &self.reads {
                let before = told.iter().filter(|(at, _)| *at <= read.asked).map(|(_, version)| *version);
                let least = before.max().unwrap_or_default().max(record.least(read.asked));
                match record.stands(read.items.get(*item).copied(), least, read.answered) {
                    Ok(version) => told.push((read.answered, version)),
                    Err(why) => faults.push(format!("read at {} in {:?}: {item} {why}", read.at, read.asked)),
                }
            }
        }
    }

    /// At a gateway nothing older comes into force in one life, nothing later than agreed on while it is in touch, and it
    /// does not begin to serve with what is older.
    fn check_gateways(&self, records: &BTreeMap<&str, Record>, faults: &mut Vec<String>) {
        for (item, record) in records {
            let mut known: BTreeMap<(usize, u64), (u64, bool)> = BTreeMap::new();
            for seen in &self.in_force {
                let (version, ready) = known.entry((seen.gateway, seen.life)).or_default();
                let begins = seen.ready && !std::mem::replace(ready, seen.ready);
                let owed = begins || seen.in_touch >= APPLY;
                let before = seen.at.checked_sub(APPLY).filter(|_| owed);
                let owed = before.map_or(0, |before| record.least(before));
                let at =
                    |what, why| format!("{what} at gateway {} in {:?}: {item} {why}", seen.gateway, seen.at);
                let there = seen.items.get(*item).copied();
                match record.stands(there, *version, seen.at) {
                    Ok(now) => *version = now,
                    Err(why) => faults.push(at("back", why)),
                }
                if let Err(why) = record.stands(there, owed, seen.at) {
                    faults.push(at(if begins { "begins with old state" } else { "late" }, why));
                }
            }
        }
    }

    /// One holder at a time: once a later term was held, an earlier one is over.
    fn check_holders(&self, faults: &mut Vec<String>) {
        for early in &self.held {
            let later = |later: &&Held| later.term > early.term && later.answered <= early.asked;
            if let Some(later) = self.held.iter().find(later) {
                faults.push(format!("two holders of the count: {early:?} after {later:?}"));
            }
        }
    }

    /// In no window more was granted than the rules allow, whoever held the count.
    fn check_quota(&self, faults: &mut Vec<String>) {
        let ration = RATION as f64;
        let quota = ration * QUOTA_WINDOW.as_secs_f64() + ration;
        let allowed = quota * (1.0 + QUOTA_EXCESS) + QUOTA_EXTRA;
        let mut granted = self.granted.clone();
        granted.sort_unstable();
        for (i, last) in granted.iter().enumerate() {
            let first = granted.partition_point(|at| *at + QUOTA_WINDOW < *last);
            let count = i + 1 - first;
            if count as f64 > allowed {
                faults.push(format!("quota passed: {count} granted until {last:?}, allowed {allowed}"));
                return;
            }
        }
    }

    /// A gateway in touch sends nothing to a backend that drains, and none begins to.
    fn check_drains(&self, faults: &mut Vec<String>) {
        let mut ready: BTreeMap<(usize, u64), bool> = BTreeMap::new();
        for seen in &self.in_force {
            let was = std::mem::replace(ready.entry((seen.gateway, seen.life)).or_default(), seen.ready);
            let begins = seen.ready && !was;
            if !begins && seen.in_full_touch < DRAIN {
                continue;
            }
            for id in &seen.backends {
                let drained = self.drained.get(id).filter(|at| **at + DRAIN < seen.at);
                if let Some(at) = drained {
                    let how = if begins { "begins to send" } else { "sends" };
                    let (gateway, now) = (seen.gateway, seen.at);
                    faults.push(format!("gateway {gateway} {how} to {id} in {now:?}, drained in {at:?}"));
                }
            }
        }
    }
}
