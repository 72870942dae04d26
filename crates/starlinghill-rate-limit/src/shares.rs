//! Shares of a quota that move between gateways while the counter is away, escrow-style.
//!
//! At the start of an epoch (a span of the customer's counter name, which all gateways tell by one clock) each of the `n`
//! gateways of a customer holds `ALL_PARTS / n` parts. A gateway that has more than it needs gives some away: it first lowers
//! what it holds, then says to one receiver how much it gave it *in this epoch, all together*. What is said is a running
//! sum, so a message that comes twice, late or out of order says nothing new, and one that is lost is made up for by the
//! next. Until then the share is nobody's: the sum of what all hold can only be too small,
//!
//! ```text
//! held(i) = ALL_PARTS / n + sum over j of got(j -> i) - given(i -> j),   got(j -> i) <= given(j -> i)
//! ```
//!
//! A gateway that starts in the middle of an epoch may have given away what it had in an earlier life, so it holds nothing
//! until the epoch ends or others give. With the parts go units of the local bucket, in the same way.
//!
//! This is the transfer matrix of a bounded counter (Balegas et al., "Extending Eventually Consistent Cloud Databases for
//! Enforcing Numeric Invariants", 2015), of which each gateway keeps its own row and column.

use crate::time::Micros;
use std::collections::BTreeMap;

/// The parts of a quota. Whole for any set of up to ten gateways.
pub const ALL_PARTS: u32 = 5_040;
/// The most gateways with which one customer's parts are exchanged.
const MOST_PEERS: usize = 32;
/// Units in one epoch beyond this are not believed, nor given.
const MOST_UNITS: f64 = 1e6;
/// What a gateway keeps above what it was lately asked for, and at least of its even share.
const KEEP_ABOVE: f64 = 1.25;
const KEEP_EVEN: f64 = 0.1;
/// What is given at the least, in parts: less is not worth a message.
const LEAST_GIVEN: u32 = ALL_PARTS / 50;

/// A running sum of what one gateway gave another in an epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Transfer {
    /// Parts of the quota, of [`ALL_PARTS`].
    pub parts: u32,
    /// Units out of the local bucket.
    pub units: f64,
}

/// One customer's parts at one gateway.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Shares {
    epoch: Option<u64>,
    /// What it held when the epoch began here.
    even: u32,
    /// Parts given to lives that ended.
    lost: u64,
    given: BTreeMap<u32, Transfer>,
    got: BTreeMap<u32, Transfer>,
}

impl Shares {
    /// Brings the parts to an epoch, of a customer that comes through so many gateways. `sure`: no earlier life of this
    /// gateway can have given anything away in it.
    pub fn begin_epoch(&mut self, epoch: u64, gateways: u32, sure: bool) {
        if self.epoch.is_none_or(|known| known < epoch) {
            *self = Shares { epoch: Some(epoch), ..Shares::default() };
        }
        if sure {
            self.even = ALL_PARTS / gateways.max(1);
        }
    }

    /// Whether this is the epoch that the parts are of.
    pub fn is_in(&self, epoch: u64) -> bool {
        self.epoch == Some(epoch)
    }

    /// Parts held now, of [`ALL_PARTS`].
    pub fn held(&self) -> u32 {
        let sum = |given: &BTreeMap<u32, Transfer>| given.values().map(|g| u64::from(g.parts)).sum::<u64>();
        let held = (u64::from(self.even) + sum(&self.got)).saturating_sub(sum(&self.given) + self.lost);
        // No more than all there is, whatever others claim.
        u32::try_from(held).unwrap_or(ALL_PARTS).min(ALL_PARTS)
    }

    /// What is held beyond an even share (or short of it), as a part of the whole.
    pub fn moved(&self, gateways: u32) -> f64 {
        match self.epoch {
            None => 0.0,
            Some(_) => {
                (f64::from(self.held()) - f64::from(ALL_PARTS / gateways.max(1))) / f64::from(ALL_PARTS)
            }
        }
    }

    /// Gives to a gateway; returns the sum to say, also where nothing can be given.
    pub fn give(&mut self, to: u32, parts: u32, units: f64) -> Transfer {
        let parts = parts.min(self.held());
        if !self.given.contains_key(&to) && self.given.len() >= MOST_PEERS {
            return Transfer::default();
        }
        let given = self.given.entry(to).or_default();
        given.parts = given.parts.saturating_add(parts);
        given.units = (given.units + units.max(0.0)).min(MOST_UNITS);
        *given
    }

    /// What was said to a gateway so far, if anything.
    pub fn given_to(&self, to: u32) -> Option<Transfer> {
        self.given.get(&to).copied()
    }

    /// A gateway began a new life: what the one before gave is not held any more, as the new one may hold it, and what the
    /// one before got is nobody's.
    pub fn peer_restarted(&mut self, from: u32) {
        self.got.remove(&from);
        self.lost += self.given.remove(&from).map_or(0, |given| u64::from(given.parts));
    }

    /// Takes in what a gateway says that it gave in an epoch; returns the units that are new. What is said of another epoch,
    /// or makes no sense, changes nothing.
    pub fn receive(&mut self, epoch: u64, from: u32, said: Transfer) -> f64 {
        let sound = said.units.is_finite() && (0.0..=MOST_UNITS).contains(&said.units);
        let room = self.got.contains_key(&from) || self.got.len() < MOST_PEERS;
        if self.epoch != Some(epoch) || !sound || !room {
            return 0.0;
        }
        let got = self.got.entry(from).or_default();
        let new = (said.units - got.units).max(0.0);
        *got = Transfer { parts: got.parts.max(said.parts), units: got.units.max(said.units) };
        new
    }
}

/// What to give to one that is asked for so much (units a second), as a part of the whole quota, by one that has `share` of
/// it and is asked for `own`.
pub fn spare_share(rate: f64, share: f64, own: f64, theirs: f64, gateways: u32) -> f64 {
    let even = 1.0 / f64::from(gateways.max(1));
    let keep = (own * KEEP_ABOVE / rate.max(1e-9)).max(KEEP_EVEN * even);
    let spare = (share - keep).min(theirs * KEEP_ABOVE / rate.max(1e-9));
    if spare * f64::from(ALL_PARTS) < f64::from(LEAST_GIVEN) {
        0.0
    } else {
        spare
    }
}

/// What one gateway says to another of one customer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MessageEntry {
    /// The customer.
    pub customer: u64,
    /// The epoch.
    pub epoch: u64,
    /// The plan's place in the settings.
    pub plan: u16,
    /// How many gateways the customer comes through.
    pub spread: u16,
    /// The first of them; the others follow, counted round.
    pub first: u16,
    /// What the sender is asked for and can't send on, in units a second; 0: it is not short.
    pub wanted_rate: f32,
    /// What the sender gave the receiver in this epoch.
    pub given: Transfer,
}

/// Bytes of a message's head and of each entry, and the most of a message.
const HEADER_BYTES: usize = 16;
const ENTRY_BYTES: usize = 30;
/// The largest datagram.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// The most entries of one message.
pub const MAX_ENTRIES: usize = (MAX_MESSAGE_BYTES - HEADER_BYTES) / ENTRY_BYTES;
const MAGIC: [u8; 3] = *b"sh\x01";

/// Writes a message of up to [`MAX_ENTRIES`] entries, from one life of a gateway to one of another. A life is known by
/// when it began, and 0 is any. The sender promises to go by no total that it hears before `quiet` (milliseconds on the
/// common clock, their last 32 bits).
pub fn encode(life: u32, to_life: u32, quiet: u32, entries: &[MessageEntry]) -> Vec<u8> {
    let entries = &entries[..entries.len().min(MAX_ENTRIES)];
    let mut out = Vec::with_capacity(HEADER_BYTES + ENTRY_BYTES * entries.len());
    out.extend(MAGIC);
    out.push(entries.len() as u8);
    out.extend(life.to_be_bytes());
    out.extend(to_life.to_be_bytes());
    out.extend(quiet.to_be_bytes());
    for e in entries {
        out.extend(e.customer.to_be_bytes());
        out.extend((e.epoch as u32).to_be_bytes());
        [e.plan, e.spread, e.first].into_iter().for_each(|figure| out.extend(figure.to_be_bytes()));
        out.extend(e.wanted_rate.to_be_bytes());
        out.extend(e.given.parts.to_be_bytes());
        out.extend((e.given.units as f32).to_be_bytes());
    }
    out
}

/// Why a message was not taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageError {
    /// It does not begin as one of ours of this version.
    UnknownFormat,
    /// It is longer or shorter than its entries.
    Length(usize),
    /// A figure is negative or no number.
    InvalidNumber,
}

impl std::fmt::Display for MessageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            MessageError::UnknownFormat => f.write_str("no message of this version"),
            MessageError::Length(n) => write!(f, "{n} bytes do not fit the entries"),
            MessageError::InvalidNumber => f.write_str("a figure is negative or no number"),
        }
    }
}
impl std::error::Error for MessageError {}

/// Reads a message to this life: the life of its sender, its promise, and its entries. What was given to an earlier
/// life is not told, as that may have given it on. `epoch` is a customer's present one; entries hold the last 32 bits of
/// theirs.
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
    let word = |e: &[u8], at: usize| u32::from_be_bytes([e[at], e[at + 1], e[at + 2], e[at + 3]]);
    let real = |e: &[u8], at: usize| {
        let value = f32::from_bits(word(e, at));
        (value.is_finite() && value >= 0.0).then_some(value).ok_or(MessageError::InvalidNumber)
    };
    let mine = word(bytes, 8) == me;
    let half = |e: &[u8], at: usize| u16::from_be_bytes([e[at], e[at + 1]]);
    let entry = |e: &[u8]| {
        let customer = u64::from(word(e, 0)) << 32 | u64::from(word(e, 4));
        let present = epoch(customer);
        // The epoch near the present one that ends in these bits.
        let epoch = present.wrapping_add((word(e, 8).wrapping_sub(present as u32)) as i32 as u64);
        let given = Transfer { parts: word(e, 22), units: f64::from(real(e, 26)?) };
        let given = if mine { given } else { Transfer::default() };
        let (plan, spread, first, wanted_rate) = (half(e, 12), half(e, 14), half(e, 16), real(e, 18)?);
        Ok(MessageEntry { customer, epoch, plan, spread, first, wanted_rate, given })
    };
    Ok((
        word(bytes, 4),
        word(bytes, 12),
        body.chunks_exact(ENTRY_BYTES).map(entry).collect::<Result<_, _>>()?,
    ))
}

/// What waits to be said to the other gateways, within what they take in.
#[derive(Debug, Clone, Default)]
pub struct Exchange {
    waiting: BTreeMap<u32, BTreeMap<u64, MessageEntry>>,
    /// When each was last told something.
    told: BTreeMap<u32, Micros>,
    /// The last life of each that was heard of.
    lives: BTreeMap<u32, u32>,
    /// Until when each promised to go by no total.
    quiet: BTreeMap<u32, Micros>,
}

/// The longest promise that is believed.
const LONGEST_PROMISE_MS: u32 = 5_000;
/// The most customers that wait to be told of to one gateway.
const MOST_WAITING: usize = 4 * MAX_ENTRIES;

impl Exchange {
    /// Says this to a gateway with the next message; what it was to be told of the customer before is replaced.
    pub fn enqueue(&mut self, to: u32, said: MessageEntry) {
        let waiting = self.waiting.entry(to).or_default();
        if waiting.contains_key(&said.customer) || waiting.len() < MOST_WAITING {
            waiting.insert(said.customer, said);
        }
    }

    /// A message of this life came from a gateway. `Some(true)`: a new life, which knows nothing of what the one before gave,
    /// and takes it for its own; `None`: an old one, whose messages are void.
    pub fn update_incarnation(&mut self, from: u32, life: u32) -> Option<bool> {
        let known = self.lives.insert(from, life);
        match known {
            Some(known) if known > life => {
                self.lives.insert(from, known);
                None
            }
            known => Some(known.is_some_and(|known| known < life)),
        }
    }

    /// A gateway promised to go by no total until then, of which the last 32 bits of its milliseconds were told.
    pub fn set_quiet(&mut self, from: u32, now: Micros, quiet: u32) {
        let present = now.0 / 1_000;
        // What lies in the past, or further ahead than anyone promises, is no promise.
        let ahead = Some(quiet.wrapping_sub(present as u32)).filter(|ahead| *ahead <= LONGEST_PROMISE_MS);
        self.quiet.insert(from, Micros((present + u64::from(ahead.unwrap_or(0))) * 1_000));
    }

    /// Until when a gateway goes by no total, as far as it was told.
    pub fn quiet_until(&self, gateway: u32) -> Micros {
        self.quiet.get(&gateway).copied().unwrap_or_default()
    }

    /// Whether anything waits.
    pub fn is_idle(&self) -> bool {
        self.waiting.values().all(BTreeMap::is_empty)
    }

    /// The messages that may go out now, at most one to each gateway in every `pause`.
    pub fn take_due(&mut self, now: Micros, pause: Micros, life: u32, quiet: Micros) -> Vec<(u32, Vec<u8>)> {
        // One that promises nothing says the present: any other number might be read as a time to come.
        let quiet = quiet.max(now);
        let mut out = Vec::new();
        for (to, waiting) in &mut self.waiting {
            if waiting.is_empty() || self.told.get(to).is_some_and(|at| now < *at + pause) {
                continue;
            }
            self.told.insert(*to, now);
            let mut entries = Vec::new();
            while let Some((_, said)) = (entries.len() < MAX_ENTRIES).then(|| waiting.pop_first()).flatten() {
                entries.push(said);
            }
            let to_life = self.lives.get(to).copied().unwrap_or(0);
            out.push((*to, encode(life, to_life, (quiet.0 / 1_000) as u32, &entries)));
        }
        out
    }
}

/// The part of a quota that is this gateway's while the counter says nothing, without what moved. Half by the gateways it
/// can come through, half by what this one was seen to carry: sums to one. What the others were not seen to need can be
/// had too, `leave` times that being left to them; before anything was seen they are taken to need `unknown` of the quota.
pub fn by_flows(flows: Option<(f64, f64)>, rate: f64, gateways: f64, unknown: f64, leave: f64) -> f64 {
    let flows = flows.filter(|(own, others)| own + others > 0.0);
    let carried = flows.map_or(1.0 / gateways, |(own, others)| own / (own + others));
    let used = flows.map_or(unknown, |(own, others)| (own + others) / rate);
    ((carried + 1.0 / gateways) / 2.0).max(1.0 - leave * (1.0 - carried) * used)
}
