//! Shares of a quota that gateways transfer to each other while the counter is unreachable (escrow).
//!
//! Each quota is divided into [`ALL_PARTS`] parts. When an epoch begins (a span of the customer's counter
//! name, which all gateways derive from one clock), each of the customer's `n` gateways holds `ALL_PARTS /
//! n` of them. A gateway that has more than it needs gives parts away: it first reduces its own holding,
//! then tells one receiver how much it has given it *in this epoch in total*. Because messages carry
//! running sums, a duplicate, late or reordered message changes nothing, and the next message makes up for
//! a lost one. Until then nobody holds the parts, so the sum of all holdings can only be too small:
//!
//! ```text
//! held(i) = ALL_PARTS / n + sum over j of got(j -> i) - given(i -> j),   got(j -> i) <= given(j -> i)
//! ```
//!
//! A gateway that starts during an epoch may have given parts away before it restarted. So it holds nothing
//! until the epoch ends or others give it parts. Units of the local token bucket are transferred in the
//! same way.
//!
//! This is the transfer matrix of a bounded counter (Balegas et al., "Extending Eventually Consistent Cloud
//! Databases for Enforcing Numeric Invariants", 2015). Each gateway keeps its own row and column.

use crate::time::Micros;
use std::collections::BTreeMap;

/// The number of parts of a quota. Divisible by every number of gateways up to ten.
pub const ALL_PARTS: u32 = 5_040;
/// The most gateways with which one customer's parts are exchanged.
const MAX_PEERS: usize = 32;
/// The most units that a gateway may give another one in an epoch. Messages that claim more are ignored.
const MAX_UNITS: f64 = 1e6;
/// What a gateway keeps for itself: this multiple of its recent demand, and at least this fraction of an
/// even share.
const DEMAND_HEADROOM: f64 = 1.25;
const MIN_KEPT: f64 = 0.1;
/// The fewest parts worth a message.
const MIN_GIVEN: u32 = ALL_PARTS / 50;

/// What one gateway has given another one in an epoch, in total.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Transfer {
    /// Parts of the quota, out of [`ALL_PARTS`].
    pub parts: u32,
    /// Units out of the local token bucket.
    pub units: f64,
}

/// One customer's parts at one gateway.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Shares {
    epoch: Option<u64>,
    /// Parts held at the start of the epoch.
    initial: u32,
    /// Parts given to gateways that have restarted since.
    lost: u64,
    given: BTreeMap<u32, Transfer>,
    got: BTreeMap<u32, Transfer>,
}

impl Shares {
    /// Starts an epoch unless a later one has begun. `nothing_given`: this gateway can't have given away
    /// anything in this epoch before a restart, so it holds its even share.
    pub fn begin_epoch(&mut self, epoch: u64, gateways: u32, nothing_given: bool) {
        if self.epoch.is_none_or(|known| known < epoch) {
            *self = Shares { epoch: Some(epoch), ..Shares::default() };
        }
        if nothing_given {
            self.initial = ALL_PARTS / gateways.max(1);
        }
    }

    /// Whether this is the current epoch.
    pub fn is_in(&self, epoch: u64) -> bool {
        self.epoch == Some(epoch)
    }

    /// Parts held now, out of [`ALL_PARTS`].
    pub fn held(&self) -> u32 {
        let sum =
            |transfers: &BTreeMap<u32, Transfer>| transfers.values().map(|t| u64::from(t.parts)).sum::<u64>();
        let held = (u64::from(self.initial) + sum(&self.got)).saturating_sub(sum(&self.given) + self.lost);
        // Never more than there are, whatever other gateways claim to have given.
        u32::try_from(held).unwrap_or(ALL_PARTS).min(ALL_PARTS)
    }

    /// How far the held share lies above an even share (below it if negative), as a fraction of the quota.
    pub fn moved(&self, gateways: u32) -> f64 {
        match self.epoch {
            None => 0.0,
            Some(_) => {
                (f64::from(self.held()) - f64::from(ALL_PARTS / gateways.max(1))) / f64::from(ALL_PARTS)
            }
        }
    }

    /// Gives parts and units to a gateway. Returns the total to send it, even if there was nothing to give.
    pub fn give(&mut self, to: u32, parts: u32, units: f64) -> Transfer {
        let parts = parts.min(self.held());
        if !self.given.contains_key(&to) && self.given.len() >= MAX_PEERS {
            return Transfer::default();
        }
        let given = self.given.entry(to).or_default();
        given.parts = given.parts.saturating_add(parts);
        given.units = (given.units + units.max(0.0)).min(MAX_UNITS);
        *given
    }

    /// What a gateway has been given in this epoch in total, if anything.
    pub fn given_to(&self, to: u32) -> Option<Transfer> {
        self.given.get(&to).copied()
    }

    /// A gateway restarted. Parts that it gave before are dropped here, because after its restart it may
    /// hold them itself. Parts that were given to it are lost.
    pub fn peer_restarted(&mut self, from: u32) {
        self.got.remove(&from);
        self.lost += self.given.remove(&from).map_or(0, |given| u64::from(given.parts));
    }

    /// Processes what a gateway claims to have given in an epoch in total; returns the units that are new.
    /// Claims for other epochs and invalid ones change nothing.
    pub fn receive(&mut self, epoch: u64, from: u32, claimed: Transfer) -> f64 {
        let valid = claimed.units.is_finite() && (0.0..=MAX_UNITS).contains(&claimed.units);
        let room = self.got.contains_key(&from) || self.got.len() < MAX_PEERS;
        if self.epoch != Some(epoch) || !valid || !room {
            return 0.0;
        }
        let got = self.got.entry(from).or_default();
        let new = (claimed.units - got.units).max(0.0);
        *got = Transfer { parts: got.parts.max(claimed.parts), units: got.units.max(claimed.units) };
        new
    }
}

/// The fraction of a quota of `rate` units a second that a gateway can give to another one. The giver holds
/// `share` of the quota and has a demand of `own` units a second; the receiver's demand is `theirs`.
pub fn spare_share(rate: f64, share: f64, own: f64, theirs: f64, gateways: u32) -> f64 {
    let even = 1.0 / f64::from(gateways.max(1));
    let keep = (own * DEMAND_HEADROOM / rate.max(1e-9)).max(MIN_KEPT * even);
    let spare = (share - keep).min(theirs * DEMAND_HEADROOM / rate.max(1e-9));
    if spare * f64::from(ALL_PARTS) < f64::from(MIN_GIVEN) {
        0.0
    } else {
        spare
    }
}

/// What one gateway tells another one about a customer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MessageEntry {
    /// The customer's number.
    pub customer: u64,
    /// The epoch of `given`.
    pub epoch: u64,
    /// The plan's index in the settings.
    pub plan: u16,
    /// The number of gateways that the customer's requests come through.
    pub spread: u16,
    /// The number of the first of them. The others have the following numbers, starting over at 0 after the
    /// last one.
    pub first: u16,
    /// The sender's demand in units a second if it can't serve all of it; 0 if it needs nothing.
    pub wanted_rate: f32,
    /// What the sender has given the receiver in this epoch, in total.
    pub given: Transfer,
}

/// Sizes of a message's header and of each entry, in bytes.
const HEADER_BYTES: usize = 16;
const ENTRY_BYTES: usize = 30;
/// The largest message, sent as one datagram.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// The most entries of one message.
pub const MAX_ENTRIES: usize = (MAX_MESSAGE_BYTES - HEADER_BYTES) / ENTRY_BYTES;
/// The first bytes of each message; the last one is the version.
const MAGIC: [u8; 3] = *b"sh\x01";

/// Encodes a message of up to [`MAX_ENTRIES`] entries; further entries are left out.
///
/// An incarnation identifies one process of a gateway by its start time. If `to_incarnation` is 0, the
/// receiver's one is unknown. `quiet`: the sender promises not to use any counter total that it receives
/// before this time (milliseconds on the shared clock, the last 32 bits).
pub fn encode(incarnation: u32, to_incarnation: u32, quiet: u32, entries: &[MessageEntry]) -> Vec<u8> {
    let entries = &entries[..entries.len().min(MAX_ENTRIES)];
    let mut out = Vec::with_capacity(HEADER_BYTES + ENTRY_BYTES * entries.len());
    out.extend(MAGIC);
    out.push(entries.len() as u8);
    out.extend(incarnation.to_be_bytes());
    out.extend(to_incarnation.to_be_bytes());
    out.extend(quiet.to_be_bytes());
    for e in entries {
        out.extend(e.customer.to_be_bytes());
        out.extend((e.epoch as u32).to_be_bytes());
        [e.plan, e.spread, e.first].into_iter().for_each(|number| out.extend(number.to_be_bytes()));
        out.extend(e.wanted_rate.to_be_bytes());
        out.extend(e.given.parts.to_be_bytes());
        out.extend((e.given.units as f32).to_be_bytes());
    }
    out
}

/// Why a message was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageError {
    /// It does not start with this version's magic bytes.
    UnknownFormat,
    /// Its length in bytes does not match the number of its entries.
    Length(usize),
    /// A number is negative or not finite.
    InvalidNumber,
}

impl std::fmt::Display for MessageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            MessageError::UnknownFormat => f.write_str("not a message of this version"),
            MessageError::Length(n) => {
                write!(f, "a length of {n} bytes does not match the number of entries")
            }
            MessageError::InvalidNumber => f.write_str("a number is negative or not finite"),
        }
    }
}
impl std::error::Error for MessageError {}

/// Decodes a message that incarnation `me` of this gateway received. Returns the sender's incarnation, the
/// time before which it uses no totals, and the entries. What was given to an earlier incarnation of this
/// gateway is left out, because that one may have passed it on. `epoch` returns a customer's current epoch;
/// entries hold only the last 32 bits of theirs.
pub fn decode(
    bytes: &[u8],
    me: u32,
    epoch: impl Fn(u64) -> u64,
) -> Result<(u32, u32, Vec<MessageEntry>), MessageError> {
    if bytes.len() < HEADER_BYTES || bytes[..3] != MAGIC {
        return Err(MessageError::UnknownFormat);
    }
    let (n, body) = (usize::from(bytes[3]), &bytes[HEADER_BYTES..]);
    if n > MAX_ENTRIES || body.len() != n * ENTRY_BYTES {
        return Err(MessageError::Length(bytes.len()));
    }
    let read_u32 = |e: &[u8], at: usize| u32::from_be_bytes([e[at], e[at + 1], e[at + 2], e[at + 3]]);
    let read_f32 = |e: &[u8], at: usize| {
        let value = f32::from_bits(read_u32(e, at));
        (value.is_finite() && value >= 0.0).then_some(value).ok_or(MessageError::InvalidNumber)
    };
    let for_me = read_u32(bytes, 8) == me;
    let read_u16 = |e: &[u8], at: usize| u16::from_be_bytes([e[at], e[at + 1]]);
    let entry = |e: &[u8]| {
        let customer = u64::from(read_u32(e, 0)) << 32 | u64::from(read_u32(e, 4));
        let current = epoch(customer);
        // The epoch closest to the current one that ends in these bits.
        let epoch = current.wrapping_add((read_u32(e, 8).wrapping_sub(current as u32)) as i32 as u64);
        let given = Transfer { parts: read_u32(e, 22), units: f64::from(read_f32(e, 26)?) };
        let given = if for_me { given } else { Transfer::default() };
        let (plan, spread, first) = (read_u16(e, 12), read_u16(e, 14), read_u16(e, 16));
        let wanted_rate = read_f32(e, 18)?;
        Ok(MessageEntry { customer, epoch, plan, spread, first, wanted_rate, given })
    };
    let entries = body.chunks_exact(ENTRY_BYTES).map(entry).collect::<Result<_, _>>()?;
    Ok((read_u32(bytes, 4), read_u32(bytes, 12), entries))
}

/// Entries that wait to be sent to other gateways, and what is known of those gateways.
#[derive(Debug, Clone, Default)]
pub struct Exchange {
    /// Entries to send, by receiver and customer.
    waiting: BTreeMap<u32, BTreeMap<u64, MessageEntry>>,
    /// When each gateway was last sent a message.
    sent_at: BTreeMap<u32, Micros>,
    /// The latest known incarnation of each gateway.
    incarnations: BTreeMap<u32, u32>,
    /// The time before which each gateway promised not to use totals.
    quiet_until: BTreeMap<u32, Micros>,
}

/// A promise for longer than this is ignored.
const MAX_PROMISE_MS: u32 = 5_000;
/// The most customers for which entries wait for one gateway.
const MAX_WAITING: usize = 4 * MAX_ENTRIES;

impl Exchange {
    /// Queues an entry for a gateway's next message. It replaces one that is queued for the same customer.
    pub fn enqueue(&mut self, to: u32, entry: MessageEntry) {
        let waiting = self.waiting.entry(to).or_default();
        if waiting.contains_key(&entry.customer) || waiting.len() < MAX_WAITING {
            waiting.insert(entry.customer, entry);
        }
    }

    /// Records the incarnation that sent a message. Returns `Some(true)` if the gateway has restarted: it
    /// does not know what it gave before, and assumes that it still holds it. Returns `None` if the message
    /// is from an earlier incarnation and must be ignored.
    pub fn update_incarnation(&mut self, from: u32, incarnation: u32) -> Option<bool> {
        let known = self.incarnations.insert(from, incarnation);
        match known {
            Some(known) if known > incarnation => {
                self.incarnations.insert(from, known);
                None
            }
            known => Some(known.is_some_and(|known| known < incarnation)),
        }
    }

    /// Records a gateway's promise not to use totals until a time, given as the last 32 bits of its
    /// milliseconds.
    pub fn set_quiet(&mut self, from: u32, now: Micros, quiet: u32) {
        let now_ms = now.0 / 1_000;
        // A time in the past, or further ahead than any gateway promises, is no promise.
        let ahead = Some(quiet.wrapping_sub(now_ms as u32)).filter(|ahead| *ahead <= MAX_PROMISE_MS);
        self.quiet_until.insert(from, Micros((now_ms + u64::from(ahead.unwrap_or(0))) * 1_000));
    }

    /// The time before which a gateway promised not to use totals; zero if it promised nothing.
    pub fn quiet_until(&self, gateway: u32) -> Micros {
        self.quiet_until.get(&gateway).copied().unwrap_or_default()
    }

    /// Whether no entries wait.
    pub fn is_idle(&self) -> bool {
        self.waiting.values().all(BTreeMap::is_empty)
    }

    /// Removes and returns the messages to send now with their receivers, at most one per gateway in each
    /// `pause`.
    pub fn take_due(
        &mut self,
        now: Micros,
        pause: Micros,
        incarnation: u32,
        quiet: Micros,
    ) -> Vec<(u32, Vec<u8>)> {
        // Without a promise, send the current time: any other number might be read as a time in the future.
        let quiet = quiet.max(now);
        let mut out = Vec::new();
        for (to, waiting) in &mut self.waiting {
            if waiting.is_empty() || self.sent_at.get(to).is_some_and(|at| now < *at + pause) {
                continue;
            }
            self.sent_at.insert(*to, now);
            let mut entries = Vec::new();
            while let Some((_, entry)) = (entries.len() < MAX_ENTRIES).then(|| waiting.pop_first()).flatten()
            {
                entries.push(entry);
            }
            let to_incarnation = self.incarnations.get(to).copied().unwrap_or(0);
            out.push((*to, encode(incarnation, to_incarnation, (quiet.0 / 1_000) as u32, &entries)));
        }
        out
    }
}

/// This gateway's share of a quota while the counter is unreachable, without transferred parts.
///
/// `flows` are the rates in units a second that this gateway and the others were last known to use. Half of
/// the share follows from the number of gateways, the other half from this gateway's part of the flows;
/// these shares of all gateways add up to one. On top of that, a gateway may use what the others don't
/// need: all but `headroom` times the others' use. Before any flows are known, `assumed_use` is the
/// fraction of the quota that is taken to be in use.
pub fn by_flows(flows: Option<(f64, f64)>, rate: f64, gateways: f64, assumed_use: f64, headroom: f64) -> f64 {
    let flows = flows.filter(|(own, others)| own + others > 0.0);
    let own_part = flows.map_or(1.0 / gateways, |(own, others)| own / (own + others));
    let used = flows.map_or(assumed_use, |(own, others)| (own + others) / rate);
    ((own_part + 1.0 / gateways) / 2.0).max(1.0 - headroom * (1.0 - own_part) * used)
}
