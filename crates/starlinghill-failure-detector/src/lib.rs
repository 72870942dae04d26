//! Workshop: a grindstone turns, and every tool comes past it. Here it is the ring of gateways: each tells the few that come
//! next on it that it lives, and they tell the registries whom they heard.
//!
//! Registries hear gateways themselves, by their questions. What the watchers add is the difference between one that is
//! cut off from the core, which serves on by its shares of the quotas, and one that is dead, which needs none. The one
//! must not be taken for the other: a gateway that hears neither a registry nor any of those that it should hear knows
//! that others may take it for dead, and uses no share.
//!
//! No I/O and no clock.

use bitcode::{Decode, Encode};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

/// How many watch each gateway. Two may be lost with it.
pub const WATCHERS: usize = 3;
/// How often a gateway says that it lives.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// One of whom nobody heard for so long is dead: some six words in a row were lost.
pub const DEAD_TIMEOUT: Duration = Duration::from_millis(2_200);
/// One that heard nobody for so long takes itself for cut off from all: sooner than others take it for dead, by what a
/// word may be on its way.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The most gateways that are followed. Guards memory.
const MOST: usize = 20_000;

/// What a gateway says to its watchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// The life of its process.
    pub incarnation: u64,
}

/// Of whom a watcher heard.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct PeerSighting {
    /// The gateway.
    pub ip: IpAddr,
    /// Its life.
    pub incarnation: u64,
    /// How long ago, in milliseconds.
    pub ago_ms: u64,
}

/// The place of a gateway on the ring: spread evenly, and the same wherever it is reckoned.
fn place(ip: &IpAddr) -> u64 {
    let mut x = match ip {
        IpAddr::V4(ip) => u64::from(u32::from(*ip)),
        IpAddr::V6(ip) => u128::from(*ip) as u64 ^ (u128::from(*ip) >> 64) as u64,
    };
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The ring: all gateways in the order of their places.
fn ring(all: &BTreeSet<IpAddr>) -> Vec<(u64, IpAddr)> {
    let mut ring: Vec<(u64, IpAddr)> = all.iter().map(|ip| (place(ip), *ip)).collect();
    ring.sort_unstable();
    ring
}

/// The next on the ring behind a gateway.
fn next(of: IpAddr, ring: &[(u64, IpAddr)]) -> impl Iterator<Item = IpAddr> + '_ {
    let own = (place(&of), of);
    let from = ring.partition_point(|at| *at <= own);
    let (before, behind) = ring.split_at(from);
    behind.iter().chain(before).map(|(_, ip)| *ip).filter(move |ip| *ip != of).take(WATCHERS)
}

/// Those who watch a gateway: the next on the ring.
pub fn watchers(of: IpAddr, all: &BTreeSet<IpAddr>) -> Vec<IpAddr> {
    next(of, &ring(all)).collect()
}

/// A gateway's part in the ring.
#[derive(Debug)]
pub struct PeerMonitor {
    me: IpAddr,
    ring: BTreeSet<IpAddr>,
    heard: BTreeMap<IpAddr, (u64, Duration)>,
    began: Duration,
}

impl PeerMonitor {
    /// Of a gateway that starts now and knows nobody.
    pub fn new(me: IpAddr, now: Duration) -> PeerMonitor {
        PeerMonitor { me, ring: BTreeSet::from([me]), heard: BTreeMap::new(), began: now }
    }

    /// These gateways there are, as registries tell.
    pub fn set_peers(&mut self, gateways: impl IntoIterator<Item = IpAddr>) {
        self.ring = gateways.into_iter().take(MOST).chain([self.me]).collect();
        let ring = &self.ring;
        self.heard.retain(|ip, _| ring.contains(ip));
    }

    /// Whom to tell that this one lives.
    pub fn heartbeat_targets(&self) -> Vec<IpAddr> {
        watchers(self.me, &self.ring)
    }

    /// Another one has said that it lives. Strangers are no gateways yet, and forgotten.
    pub fn record_heartbeat(&mut self, now: Duration, from: IpAddr, beat: Heartbeat) {
        if self.ring.contains(&from) && from != self.me {
            self.heard.insert(from, (beat.incarnation, now));
        }
    }

    /// Of whom it heard, for registries.
    pub fn recent_sightings(&self, now: Duration) -> Vec<PeerSighting> {
        let lately = self.heard.iter().filter(|(_, (_, at))| now.saturating_sub(*at) < DEAD_TIMEOUT);
        let ago = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        lately
            .map(|(ip, (life, at))| PeerSighting { ip: *ip, incarnation: *life, ago_ms: ago(*at) })
            .collect()
    }

    /// It has heard nobody for a while, where there are some to be heard.
    pub fn is_isolated(&self, now: Duration) -> bool {
        let last = self.heard.values().map(|(_, at)| *at).max().unwrap_or(self.began);
        self.ring.len() > 1 && now.saturating_sub(last) > ISOLATION_TIMEOUT
    }
}

/// What a registry makes of its watchers' words.
#[derive(Debug, Default)]
pub struct GatewayLiveness {
    /// When each gateway was last heard of, by anybody, and in which life.
    heard: BTreeMap<IpAddr, (u64, Duration)>,
    /// When each gateway last told of others.
    told: BTreeMap<IpAddr, Duration>,
}

impl GatewayLiveness {
    /// A gateway asks, and tells of whom it heard.
    pub fn record_report(&mut self, now: Duration, by: IpAddr, life: u64, seen: &[PeerSighting]) {
        if self.heard.len() >= MOST {
            return;
        }
        self.told.insert(by, now);
        let own = PeerSighting { ip: by, incarnation: life, ago_ms: 0 };
        for PeerSighting { ip, incarnation: life, ago_ms } in seen.iter().chain([&own]).take(MOST) {
            let at = now.saturating_sub(Duration::from_millis(*ago_ms));
            let known = self.heard.entry(*ip).or_insert((*life, at));
            if known.1 <= at {
                *known = (*life, at);
            }
        }
    }

    /// Which of these gateways are dead: nobody heard them, though two of their watchers could tell.
    pub fn dead_gateways(&mut self, now: Duration, gateways: &BTreeSet<IpAddr>) -> BTreeSet<IpAddr> {
        self.heard.retain(|ip, _| gateways.contains(ip));
        self.told.retain(|ip, _| gateways.contains(ip));
        let lately = |at: Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) < DEAD_TIMEOUT);
        // Put in order once for all: for each gateway anew it takes longer than the pause between two looks at a thousand of them.
        let ring = ring(gateways);
        let is_dead = |ip: &IpAddr| {
            let could = next(*ip, &ring);
            let could = could.filter(|watcher| lately(self.told.get(watcher).copied())).count();
            let heard = self.heard.get(ip).is_some_and(|(_, at)| lately(Some(*at)));
            !heard && could >= 2
        };
        gateways.iter().copied().filter(is_dead).collect()
    }
}
