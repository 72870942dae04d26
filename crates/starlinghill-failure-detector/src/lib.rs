//! Failure detection among gateways. Each gateway sends heartbeats to the few gateways that follow it on a hash ring,
//! its watchers, and every gateway reports to the registries whom it heard.
//!
//! Registries also hear gateways directly, by their requests. The watchers' reports add the difference between a gateway
//! that is cut off from the registries and one that is dead. A gateway that is cut off goes on serving with its share of
//! the quotas, so that share stays reserved; a dead one needs none. To keep the two apart, a gateway that hears neither
//! a registry nor any gateway that it watches must assume that others take it for dead, and must not use its share.
//!
//! The crate does no I/O and reads no clock.

use bitcode::{Decode, Encode};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

/// The watchers of each gateway. Two of them may fail together with it.
pub const WATCHERS: usize = 3;
/// How often a gateway sends heartbeats to its watchers.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// A gateway that nobody heard for this long is dead: about six heartbeats in a row were lost.
pub const DEAD_TIMEOUT: Duration = Duration::from_millis(2_200);
/// A gateway that heard nobody for this long takes itself for isolated. Shorter than [`DEAD_TIMEOUT`] by more than the
/// delay of a heartbeat, so that a gateway knows of its isolation before others take it for dead.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The most gateways that are tracked. Bounds memory.
const MAX_GATEWAYS: usize = 20_000;

/// The message of a gateway to its watchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// The incarnation of the sending process.
    pub incarnation: u64,
}

/// A watcher's report on a gateway that it heard.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct PeerSighting {
    /// The address of the gateway.
    pub ip: IpAddr,
    /// The incarnation of the gateway's process.
    pub incarnation: u64,
    /// How long ago its last heartbeat arrived, in ms.
    pub ago_ms: u64,
}

/// The position of a gateway on the ring: an evenly spread hash that is the same on every machine.
fn ring_position(ip: &IpAddr) -> u64 {
    let mut x = match ip {
        IpAddr::V4(ip) => u64::from(u32::from(*ip)),
        IpAddr::V6(ip) => u128::from(*ip) as u64 ^ (u128::from(*ip) >> 64) as u64,
    };
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// All gateways in the order of their positions.
fn sorted_ring(gateways: &BTreeSet<IpAddr>) -> Vec<(u64, IpAddr)> {
    let mut ring: Vec<(u64, IpAddr)> = gateways.iter().map(|ip| (ring_position(ip), *ip)).collect();
    ring.sort_unstable();
    ring
}

/// The gateways that follow `gateway` on the ring.
fn successors(gateway: IpAddr, ring: &[(u64, IpAddr)]) -> impl Iterator<Item = IpAddr> + '_ {
    let own = (ring_position(&gateway), gateway);
    let next = ring.partition_point(|entry| *entry <= own);
    let (before, behind) = ring.split_at(next);
    behind.iter().chain(before).map(|(_, ip)| *ip).filter(move |ip| *ip != gateway).take(WATCHERS)
}

/// The watchers of a gateway: the next [`WATCHERS`] gateways on the ring.
pub fn watchers(gateway: IpAddr, all: &BTreeSet<IpAddr>) -> Vec<IpAddr> {
    successors(gateway, &sorted_ring(all)).collect()
}

/// A gateway's side: whom it sends heartbeats to, and whom it heard.
#[derive(Debug)]
pub struct PeerMonitor {
    me: IpAddr,
    peers: BTreeSet<IpAddr>,
    /// The incarnation in each gateway's last heartbeat, and when that arrived.
    heard: BTreeMap<IpAddr, (u64, Duration)>,
    started_at: Duration,
}

impl PeerMonitor {
    /// The monitor of a gateway that starts now and knows no other gateway.
    pub fn new(me: IpAddr, now: Duration) -> PeerMonitor {
        PeerMonitor { me, peers: BTreeSet::from([me]), heard: BTreeMap::new(), started_at: now }
    }

    /// Sets the gateways that exist, as the registries report them.
    pub fn set_peers(&mut self, gateways: impl IntoIterator<Item = IpAddr>) {
        self.peers = gateways.into_iter().take(MAX_GATEWAYS).chain([self.me]).collect();
        let peers = &self.peers;
        self.heard.retain(|ip, _| peers.contains(ip));
    }

    /// The gateways to send heartbeats to.
    pub fn heartbeat_targets(&self) -> Vec<IpAddr> {
        watchers(self.me, &self.peers)
    }

    /// Takes in a heartbeat. One from a gateway that the registries have not reported yet is dropped.
    pub fn record_heartbeat(&mut self, now: Duration, from: IpAddr, beat: Heartbeat) {
        if self.peers.contains(&from) && from != self.me {
            self.heard.insert(from, (beat.incarnation, now));
        }
    }

    /// The gateways heard within [`DEAD_TIMEOUT`], to be reported to the registries.
    pub fn recent_sightings(&self, now: Duration) -> Vec<PeerSighting> {
        let recent = self.heard.iter().filter(|(_, (_, at))| now.saturating_sub(*at) < DEAD_TIMEOUT);
        let ago_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        let sighting = |(ip, (incarnation, at)): (&IpAddr, &(u64, Duration))| PeerSighting {
            ip: *ip,
            incarnation: *incarnation,
            ago_ms: ago_ms(*at),
        };
        recent.map(sighting).collect()
    }

    /// Whether this gateway has heard no other one for [`ISOLATION_TIMEOUT`], although there are others.
    pub fn is_isolated(&self, now: Duration) -> bool {
        let last = self.heard.values().map(|(_, at)| *at).max().unwrap_or(self.started_at);
        self.peers.len() > 1 && now.saturating_sub(last) > ISOLATION_TIMEOUT
    }
}

/// A registry's side: which gateways are dead, by the reports of their watchers.
#[derive(Debug, Default)]
pub struct GatewayLiveness {
    /// The incarnation in which each gateway was last heard by anybody, and when.
    heard: BTreeMap<IpAddr, (u64, Duration)>,
    /// When each gateway last sent a report.
    reported_at: BTreeMap<IpAddr, Duration>,
}

impl GatewayLiveness {
    /// Takes in a gateway's report of the gateways that it heard. The report shows that its sender is alive, too.
    pub fn record_report(&mut self, now: Duration, by: IpAddr, incarnation: u64, seen: &[PeerSighting]) {
        if self.heard.len() >= MAX_GATEWAYS {
            return;
        }
        self.reported_at.insert(by, now);
        let own = PeerSighting { ip: by, incarnation, ago_ms: 0 };
        for PeerSighting { ip, incarnation, ago_ms } in seen.iter().chain([&own]).take(MAX_GATEWAYS) {
            let at = now.saturating_sub(Duration::from_millis(*ago_ms));
            let known = self.heard.entry(*ip).or_insert((*incarnation, at));
            if known.1 <= at {
                *known = (*incarnation, at);
            }
        }
    }

    /// The dead ones among these gateways: nobody heard them for [`DEAD_TIMEOUT`], although at least two of their
    /// watchers sent reports within that time.
    pub fn dead_gateways(&mut self, now: Duration, gateways: &BTreeSet<IpAddr>) -> BTreeSet<IpAddr> {
        self.heard.retain(|ip, _| gateways.contains(ip));
        self.reported_at.retain(|ip, _| gateways.contains(ip));
        let is_recent = |at: Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) < DEAD_TIMEOUT);
        // Sorted once for all gateways. With a thousand gateways, sorting anew for each one takes longer than the pause
        // between two calls.
        let ring = sorted_ring(gateways);
        let is_dead = |ip: &IpAddr| {
            let reporting = successors(*ip, &ring)
                .filter(|watcher| is_recent(self.reported_at.get(watcher).copied()))
                .count();
            let is_heard = self.heard.get(ip).is_some_and(|(_, at)| is_recent(Some(*at)));
            !is_heard && reporting >= 2
        };
        gateways.iter().copied().filter(is_dead).collect()
    }
}
