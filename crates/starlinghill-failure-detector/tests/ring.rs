//! Gateways that die, are cut off from the core, or from all, with words that get lost: who is taken for dead, and who takes
//! itself for alone.

use starlinghill_failure_detector::{
    watchers, GatewayLiveness, Heartbeat, PeerMonitor, DEAD_TIMEOUT, HEARTBEAT_INTERVAL, ISOLATION_TIMEOUT,
    WATCHERS,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;
use test_case::test_case;

fn ip(i: usize) -> IpAddr {
    IpAddr::from([10, (i / 200) as u8, 0, (i % 200) as u8])
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Lives,
    Dies,
    CutFromCore,
    CutFromAll,
}

struct World {
    rng: fastrand::Rng,
    now: Duration,
    all: BTreeSet<IpAddr>,
    watch: BTreeMap<IpAddr, PeerMonitor>,
    sight: GatewayLiveness,
    fates: BTreeMap<IpAddr, Fate>,
}

impl World {
    fn new(seed: u64, gateways: usize) -> World {
        let all: BTreeSet<IpAddr> = (0..gateways).map(ip).collect();
        let mut watch: BTreeMap<IpAddr, PeerMonitor> =
            all.iter().map(|ip| (*ip, PeerMonitor::new(*ip, Duration::ZERO))).collect();
        watch.values_mut().for_each(|w| w.set_peers(all.iter().copied()));
        let (rng, fates) = (fastrand::Rng::with_seed(seed), BTreeMap::new());
        World { rng, now: Duration::ZERO, all, watch, sight: GatewayLiveness::default(), fates }
    }

    fn fate(&self, ip: &IpAddr) -> Fate {
        self.fates.get(ip).copied().unwrap_or(Fate::Lives)
    }

    fn run(&mut self, span: Duration, mut look: impl FnMut(&mut World)) {
        let until = self.now + span;
        while self.now < until {
            self.now += ms(100);
            let all: Vec<IpAddr> = self.all.iter().copied().collect();
            for from in &all {
                let fate = self.fate(from);
                if fate == Fate::Dies {
                    continue;
                }
                if self.now.as_millis().is_multiple_of(HEARTBEAT_INTERVAL.as_millis())
                    && fate != Fate::CutFromAll
                {
                    for to in self.watch[from].heartbeat_targets() {
                        let lost = self.rng.u8(0..20) == 0;
                        if !lost && !matches!(self.fate(&to), Fate::Dies | Fate::CutFromAll) {
                            let now = self.now;
                            self.watch
                                .get_mut(&to)
                                .into_iter()
                                .for_each(|w| w.record_heartbeat(now, *from, Heartbeat { incarnation: 1 }));
                        }
                    }
                }
                if fate == Fate::Lives && self.now.as_millis().is_multiple_of(500) {
                    let seen = self.watch[from].recent_sightings(self.now);
                    self.sight.record_report(self.now, *from, 1, &seen);
                }
            }
            look(self);
        }
    }
}

#[test_case(11; "small")]
#[test_case(85; "grown")]
fn the_dead_are_told_from_those_that_are_cut_off_from_the_core(gateways: usize) {
    for seed in 0..30 {
        let mut world = World::new(seed, gateways);
        world.run(ms(3_000), |world| {
            let all = world.all.clone();
            assert!(world.sight.dead_gateways(world.now, &all).is_empty(), "seed {seed}");
        });
        let hit: Vec<IpAddr> = world.all.iter().copied().filter(|_| world.rng.u8(0..4) == 0).collect();
        for ip in &hit {
            let fate = [Fate::Dies, Fate::CutFromCore][world.rng.usize(0..2)];
            world.fates.insert(*ip, fate);
        }
        world.run(ms(6_000), |world| {
            let all = world.all.clone();
            for ip in world.sight.dead_gateways(world.now, &all) {
                assert_eq!(world.fate(&ip), Fate::Dies, "seed {seed}: {ip}");
            }
        });
        let dead = world.sight.dead_gateways(world.now, &world.all.clone());
        for ip in hit.iter().filter(|ip| world.fate(ip) == Fate::Dies) {
            let could: Vec<IpAddr> =
                watchers(*ip, &world.all).into_iter().filter(|w| world.fate(w) == Fate::Lives).collect();
            assert!(could.len() < 2 || dead.contains(ip), "seed {seed}: {ip} of {could:?}");
        }
    }
}

#[test]
fn one_that_is_taken_for_dead_and_lives_has_known_that_it_may_be() {
    for seed in 0..200 {
        let mut world = World::new(seed, 11);
        world.run(ms(3_000), |_| {});
        let cut = ip(world.rng.usize(0..11));
        world.fates.insert(cut, Fate::CutFromAll);
        world.run(ms(6_000), |world| {
            let all = world.all.clone();
            if world.sight.dead_gateways(world.now, &all).contains(&cut) {
                assert!(world.watch[&cut].is_isolated(world.now), "seed {seed}");
            }
        });
    }
    assert!(ISOLATION_TIMEOUT + HEARTBEAT_INTERVAL < DEAD_TIMEOUT);
}

#[test]
fn each_has_as_many_watchers_as_there_can_be_and_all_reckon_the_same() {
    for gateways in [1, 2, 3, 4, 11, 85] {
        let all: BTreeSet<IpAddr> = (0..gateways).map(ip).collect();
        for of in &all {
            let watched = watchers(*of, &all);
            assert_eq!(watched.len(), WATCHERS.min(gateways - 1));
            assert!(!watched.contains(of));
        }
        // Nobody has to watch all.
        let mut load: BTreeMap<IpAddr, usize> = BTreeMap::new();
        all.iter().flat_map(|of| watchers(*of, &all)).for_each(|w| *load.entry(w).or_default() += 1);
        assert!(load.values().all(|n| *n <= WATCHERS.max(gateways.min(WATCHERS))));
    }
}

#[test]
fn a_stranger_is_not_followed_and_one_that_is_gone_is_forgotten() {
    let mut watch = PeerMonitor::new(ip(0), Duration::ZERO);
    watch.set_peers([ip(0), ip(1)]);
    watch.record_heartbeat(ms(10), ip(9), Heartbeat { incarnation: 1 });
    watch.record_heartbeat(ms(10), ip(1), Heartbeat { incarnation: 1 });
    assert_eq!(watch.recent_sightings(ms(20)).len(), 1);
    watch.set_peers([ip(0)]);
    assert!(watch.recent_sightings(ms(20)).is_empty() && !watch.is_isolated(ms(9_000)));
}
