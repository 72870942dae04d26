//! Gateways that die, are cut off from the registries or are cut off from everybody, while one heartbeat in twenty is
//! lost: which gateways are taken for dead, and which take themselves for isolated.

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
enum Condition {
    Healthy,
    Dead,
    /// Still exchanges heartbeats with other gateways.
    CutFromRegistries,
    CutFromAll,
}

struct World {
    rng: fastrand::Rng,
    now: Duration,
    all: BTreeSet<IpAddr>,
    monitors: BTreeMap<IpAddr, PeerMonitor>,
    liveness: GatewayLiveness,
    conditions: BTreeMap<IpAddr, Condition>,
}

impl World {
    fn new(seed: u64, gateways: usize) -> World {
        let all: BTreeSet<IpAddr> = (0..gateways).map(ip).collect();
        let mut monitors: BTreeMap<IpAddr, PeerMonitor> =
            all.iter().map(|ip| (*ip, PeerMonitor::new(*ip, Duration::ZERO))).collect();
        monitors.values_mut().for_each(|monitor| monitor.set_peers(all.iter().copied()));
        let (rng, conditions) = (fastrand::Rng::with_seed(seed), BTreeMap::new());
        World { rng, now: Duration::ZERO, all, monitors, liveness: GatewayLiveness::default(), conditions }
    }

    fn condition(&self, ip: &IpAddr) -> Condition {
        self.conditions.get(ip).copied().unwrap_or(Condition::Healthy)
    }

    fn run(&mut self, span: Duration, mut check: impl FnMut(&mut World)) {
        let until = self.now + span;
        while self.now < until {
            self.now += ms(100);
            let all: Vec<IpAddr> = self.all.iter().copied().collect();
            for from in &all {
                let condition = self.condition(from);
                if condition == Condition::Dead {
                    continue;
                }
                if self.now.as_millis().is_multiple_of(HEARTBEAT_INTERVAL.as_millis())
                    && condition != Condition::CutFromAll
                {
                    for to in self.monitors[from].heartbeat_targets() {
                        let lost = self.rng.u8(0..20) == 0;
                        if !lost && !matches!(self.condition(&to), Condition::Dead | Condition::CutFromAll) {
                            let now = self.now;
                            self.monitors.get_mut(&to).into_iter().for_each(|monitor| {
                                monitor.record_heartbeat(now, *from, Heartbeat { incarnation: 1 })
                            });
                        }
                    }
                }
                if condition == Condition::Healthy && self.now.as_millis().is_multiple_of(500) {
                    let seen = self.monitors[from].recent_sightings(self.now);
                    self.liveness.record_report(self.now, *from, 1, &seen);
                }
            }
            check(self);
        }
    }
}

#[test_case(11; "11 gateways")]
#[test_case(85; "85 gateways")]
fn only_dead_gateways_are_taken_for_dead_and_not_those_cut_off_from_the_registries(gateways: usize) {
    for seed in 0..30 {
        let mut world = World::new(seed, gateways);
        world.run(ms(3_000), |world| {
            let all = world.all.clone();
            assert!(world.liveness.dead_gateways(world.now, &all).is_empty(), "seed {seed}");
        });
        let affected: Vec<IpAddr> = world.all.iter().copied().filter(|_| world.rng.u8(0..4) == 0).collect();
        for ip in &affected {
            let condition = [Condition::Dead, Condition::CutFromRegistries][world.rng.usize(0..2)];
            world.conditions.insert(*ip, condition);
        }
        world.run(ms(6_000), |world| {
            let all = world.all.clone();
            for ip in world.liveness.dead_gateways(world.now, &all) {
                assert_eq!(world.condition(&ip), Condition::Dead, "seed {seed}: {ip}");
            }
        });
        let dead = world.liveness.dead_gateways(world.now, &world.all.clone());
        for ip in affected.iter().filter(|ip| world.condition(ip) == Condition::Dead) {
            let reporting: Vec<IpAddr> = watchers(*ip, &world.all)
                .into_iter()
                .filter(|w| world.condition(w) == Condition::Healthy)
                .collect();
            assert!(reporting.len() < 2 || dead.contains(ip), "seed {seed}: {ip} of {reporting:?}");
        }
    }
}

#[test]
fn a_live_gateway_that_is_taken_for_dead_knows_that_it_is_isolated() {
    for seed in 0..200 {
        let mut world = World::new(seed, 11);
        world.run(ms(3_000), |_| {});
        let cut = ip(world.rng.usize(0..11));
        world.conditions.insert(cut, Condition::CutFromAll);
        world.run(ms(6_000), |world| {
            let all = world.all.clone();
            if world.liveness.dead_gateways(world.now, &all).contains(&cut) {
                assert!(world.monitors[&cut].is_isolated(world.now), "seed {seed}");
            }
        });
    }
    assert!(ISOLATION_TIMEOUT + HEARTBEAT_INTERVAL < DEAD_TIMEOUT);
}

#[test]
fn every_gateway_has_three_watchers_or_all_others_and_none_watches_too_many() {
    for gateways in [1, 2, 3, 4, 11, 85] {
        let all: BTreeSet<IpAddr> = (0..gateways).map(ip).collect();
        for gateway in &all {
            let watched = watchers(*gateway, &all);
            assert_eq!(watched.len(), WATCHERS.min(gateways - 1));
            assert!(!watched.contains(gateway));
        }
        // No gateway has to watch many others.
        let mut watched_counts: BTreeMap<IpAddr, usize> = BTreeMap::new();
        all.iter()
            .flat_map(|gateway| watchers(*gateway, &all))
            .for_each(|w| *watched_counts.entry(w).or_default() += 1);
        assert!(watched_counts.values().all(|n| *n <= WATCHERS.max(gateways.min(WATCHERS))));
    }
}

#[test]
fn heartbeats_of_unknown_gateways_are_dropped_and_removed_gateways_are_forgotten() {
    let mut monitor = PeerMonitor::new(ip(0), Duration::ZERO);
    monitor.set_peers([ip(0), ip(1)]);
    monitor.record_heartbeat(ms(10), ip(9), Heartbeat { incarnation: 1 });
    monitor.record_heartbeat(ms(10), ip(1), Heartbeat { incarnation: 1 });
    assert_eq!(monitor.recent_sightings(ms(20)).len(), 1);
    monitor.set_peers([ip(0)]);
    assert!(monitor.recent_sightings(ms(20)).is_empty() && !monitor.is_isolated(ms(9_000)));
}
