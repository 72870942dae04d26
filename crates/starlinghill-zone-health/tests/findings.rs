//! Findings in worlds with one trouble each, as many gateways see them by chance.

use starlinghill_failover::Micros;
use starlinghill_zone_health::attempt_counts::{AttemptCounts, AttemptResult};
use starlinghill_zone_health::findings::{evaluate_reports, Finding, Findings, GatewayReport, OLDEST};
use starlinghill_zone_health::report::Report;
use std::collections::{BTreeMap, BTreeSet};

/// What becomes of attempts: parts of the whole, in the order of [`KINDS`].
type Way = [f64; 7];
const KINDS: [AttemptResult; 7] = [
    AttemptResult::Answered,
    AttemptResult::Late,
    AttemptResult::Failed,
    AttemptResult::Rejected,
    AttemptResult::ConnectionRefused,
    AttemptResult::ConnectFailed,
    AttemptResult::Unanswered,
];
const WELL: Way = [0.97, 0.02, 0.01, 0.0, 0.0, 0.0, 0.0];
const CUT: Way = [0.0, 0.0, 0.0, 0.0, 0.0, 0.7, 0.3];
const SLOW: Way = [0.2, 0.6, 0.02, 0.0, 0.0, 0.0, 0.18];
const LOSSY: Way = [0.6, 0.02, 0.0, 0.0, 0.0, 0.03, 0.35];
const FAILING: Way = [0.55, 0.02, 0.43, 0.0, 0.0, 0.0, 0.0];
const FULL: Way = [0.4, 0.2, 0.0, 0.4, 0.0, 0.0, 0.0];
/// Twice what it can do is asked of it: it does its whole work, late, and the rest waits in vain.
const ASKED_TWICE: Way = [0.05, 0.55, 0.0, 0.05, 0.0, 0.0, 0.35];
const EMPTY: Way = [0.0, 0.0, 0.0, 0.0, 0.97, 0.0, 0.03];

/// A fleet: zones, gateways in each, and how attempts from one zone to another go.
struct World {
    zones: Vec<String>,
    gateways: usize,
    rng: fastrand::Rng,
    ways: BTreeMap<(usize, usize), Way>,
    /// How many times the usual is asked of a zone.
    asked: BTreeMap<usize, f64>,
}

impl World {
    fn new(seed: u64, least: usize) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let zones = (0..rng.usize(least..=12)).map(|i| format!("z{i}")).collect();
        let gateways = rng.usize(2..=12);
        World { zones, gateways, rng, ways: BTreeMap::new(), asked: BTreeMap::new() }
    }

    fn to(&mut self, zone: usize, way: Way, inside: bool) {
        for from in 0..self.zones.len() {
            if inside || from != zone {
                self.ways.insert((from, zone), way);
            }
        }
    }

    fn sums(&mut self, from: usize, to: usize) -> AttemptCounts {
        let way = self.ways.get(&(from, to)).copied().unwrap_or(WELL);
        let usual = self.rng.u32(30..120);
        let asked = (f64::from(usual) * self.asked.get(&to).copied().unwrap_or(1.0)) as u32;
        let mut sums = AttemptCounts { usual_answers: usual, ..AttemptCounts::default() };
        for _ in 0..asked {
            let mut draw = self.rng.f64() * way.iter().sum::<f64>();
            let kind = way.iter().position(|part| {
                draw -= part;
                draw < 0.0
            });
            sums.record(KINDS[kind.unwrap_or(0)]);
        }
        sums
    }

    fn observers(&mut self) -> BTreeMap<String, GatewayReport> {
        let mut all = BTreeMap::new();
        for from in 0..self.zones.len() {
            for gateway in 0..self.gateways {
                let zones =
                    (0..self.zones.len()).map(|to| (self.zones[to].clone(), self.sums(from, to))).collect();
                let age = Micros(self.rng.u64(..1_500_000));
                let observer =
                    GatewayReport { zone: self.zones[from].clone(), age, report: Report { zones } };
                all.insert(format!("g{from}-{gateway}"), observer);
            }
        }
        all
    }

    fn find(&mut self) -> Findings {
        let observers = self.observers();
        self.find_by(&observers)
    }

    fn find_by(&self, observers: &BTreeMap<String, GatewayReport>) -> Findings {
        evaluate_reports(&self.zones.iter().cloned().collect(), observers)
    }

    fn any(&mut self) -> usize {
        let n = self.zones.len();
        self.rng.usize(..n)
    }
}

const SEEDS: u64 = 150;

/// The finding on that zone, and that nothing else is found in trouble.
#[track_caller]
fn only(seed: u64, found: &Findings, zone: &str, wanted: &Finding) {
    for (name, f) in &found.zones {
        match name == zone {
            true => assert_eq!(f.finding, *wanted, "seed {seed}, {name}: {f}"),
            false => assert!(
                matches!(
                    f.finding,
                    Finding::Healthy | Finding::Inconclusive | Finding::UnreachableFrom { .. }
                ),
                "seed {seed}, {name}: {f}"
            ),
        }
    }
}

#[test]
fn a_zone_in_trouble_is_found_with_its_kind_and_no_other_zone_is() {
    let kinds = [
        (SLOW, true, Finding::Degraded),
        (LOSSY, true, Finding::Degraded),
        (FAILING, true, Finding::Degraded),
        (FULL, true, Finding::Overloaded),
        (EMPTY, true, Finding::ServerListWrong),
        (CUT, false, Finding::Isolated),
        (CUT, true, Finding::Isolated),
    ];
    for seed in 0..SEEDS {
        for (way, inside, wanted) in &kinds {
            let mut world = World::new(seed, 3);
            let zone = world.any();
            world.to(zone, *way, *inside);
            let found = world.find();
            only(seed, &found, &world.zones[zone], wanted);
        }
        let mut world = World::new(seed, 3);
        let zone = world.any();
        world.to(zone, ASKED_TWICE, true);
        world.asked.insert(zone, 2.0);
        let found = world.find();
        only(seed, &found, &world.zones[zone], &Finding::Overloaded);
        let mut world = World::new(seed, 2);
        assert!(world.find().zones.values().all(|f| f.finding == Finding::Healthy), "seed {seed}");
    }
}

#[test]
fn a_cut_zone_that_nobody_hears_of_any_more_is_found_by_the_others_alone() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 3);
        let zone = world.any();
        world.to(zone, CUT, false);
        let name = world.zones[zone].clone();
        let mut observers = world.observers();
        observers.retain(|_, o| o.zone != name);
        only(seed, &world.find_by(&observers), &name, &Finding::Isolated);
    }
}

#[test]
fn two_zones_that_do_not_see_each_other_while_others_see_both_are_cut_from_each_other_alone() {
    for seed in 0..SEEDS {
        for both in [true, false] {
            let mut world = World::new(seed, 3);
            let (a, b) = (0, 1 + world.rng.usize(..world.zones.len() - 1));
            world.ways.insert((a, b), CUT);
            if both {
                world.ways.insert((b, a), CUT);
            }
            let found = world.find();
            let cut = |zone: usize| found.zones[&world.zones[zone]].finding.clone();
            let from = |zone: usize| Finding::UnreachableFrom { from: [world.zones[zone].clone()].into() };
            assert_eq!(cut(b), from(a), "seed {seed}");
            assert_eq!(cut(a), if both { from(b) } else { Finding::Healthy }, "seed {seed}");
            assert!(found.isolated_gateways.is_empty());
        }
    }
}

#[test]
fn of_two_zones_that_do_not_see_each_other_nobody_can_say_which_is_cut_off() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 2);
        world.zones.truncate(2);
        world.ways.insert((0, 1), CUT);
        world.ways.insert((1, 0), CUT);
        let found = world.find();
        assert!(
            found.zones.values().all(|f| f.finding == Finding::TroubleEverywhere),
            "seed {seed}: {found:?}"
        );
    }
}

#[test]
fn trouble_that_all_zones_share_is_no_zones() {
    for seed in 0..SEEDS {
        for (way, asked) in [(FULL, 1.5), (SLOW, 1.0), (FAILING, 1.0), (ASKED_TWICE, 2.0)] {
            let mut world = World::new(seed, 2);
            for zone in 0..world.zones.len() {
                world.to(zone, way, true);
                world.asked.insert(zone, asked);
            }
            let found = world.find();
            assert!(
                found.zones.values().all(|f| f.finding == Finding::TroubleEverywhere),
                "seed {seed}: {found:?}"
            );
        }
    }
}

#[test]
fn a_gateway_that_is_cut_off_itself_says_so_and_nothing_of_any_zone() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 2);
        let mut observers = world.observers();
        let alone = world.rng.usize(..world.gateways);
        let name = format!("g0-{alone}");
        for (to, sums) in observers.get_mut(&name).expect("it").report.zones.values_mut().enumerate() {
            world.ways.insert((99, to), CUT);
            *sums = world.sums(99, to);
        }
        let found = world.find_by(&observers);
        assert_eq!(found.isolated_gateways, [name], "seed {seed}");
        assert!(found.zones.values().all(|f| f.finding == Finding::Healthy), "seed {seed}: {found:?}");
    }
}

#[test]
fn three_gateways_that_lie_change_nothing_wherever_they_are() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 3);
        // One zone has but the liars' majority, where gateways are few.
        world.gateways = world.gateways.max(3);
        let victim = world.any();
        let mut observers = world.observers();
        let names: Vec<String> = observers.keys().cloned().collect();
        let mut liars = BTreeSet::new();
        while liars.len() < 3 {
            liars.insert(world.rng.usize(..names.len()));
        }
        let zone = world.zones[victim].clone();
        for liar in liars {
            let report = &mut observers.get_mut(&names[liar]).expect("it").report;
            report.zones.insert(
                zone.clone(),
                AttemptCounts { connect_failed: 1_000_000, ..AttemptCounts::default() },
            );
        }
        let found = world.find_by(&observers);
        assert!(
            matches!(
                found.zones[&zone].finding,
                Finding::Healthy | Finding::Inconclusive | Finding::UnreachableFrom { .. }
            ),
            "seed {seed}: {}",
            found.zones[&zone]
        );
    }
}

#[test]
fn what_is_old_absurd_or_of_no_zone_is_left_out_and_without_evidence_nothing_is_found() {
    let mut world = World::new(1, 4);
    world.to(1, CUT, false);
    let fresh = world.observers();
    let spoilt = |spoil: &dyn Fn(&mut GatewayReport)| {
        let mut all = fresh.clone();
        all.values_mut().for_each(spoil);
        world.find_by(&all)
    };
    let old = spoilt(&|o| o.age = Micros(OLDEST.0 + 1));
    let absurd = spoilt(&|o| {
        let sums = AttemptCounts { answered: 5, late: 6, ..AttemptCounts::default() };
        o.report.zones.insert("z0".into(), sums);
    });
    let elsewhere = spoilt(&|o| o.zone = "nowhere".into());
    let none = world.find_by(&BTreeMap::new());
    for found in [old, absurd, elsewhere, none] {
        assert!(found.zones.values().all(|f| f.finding == Finding::Inconclusive), "{found:?}");
        assert!(found.ignored_gateways.len() <= 8);
    }
    // Seven attempts say nothing, whatever became of them.
    let few = spoilt(&|o| {
        o.report.zones.insert("z1".into(), AttemptCounts { unanswered: 7, ..AttemptCounts::default() });
    });
    assert_eq!(few.zones["z1"].finding, Finding::Inconclusive);
}

#[test]
fn a_finding_says_who_sees_what() {
    let mut world = World::new(3, 3);
    world.zones.truncate(3);
    world.gateways = 4;
    world.to(2, CUT, false);
    let found = world.find();
    let why = found.zones["z2"].to_string();
    assert_eq!(
        why,
        "cut off: z0 sees it dark (4 of 4); z1 sees it dark (4 of 4); inside it is well (4 of 4); 2 zones must agree"
    );
}
