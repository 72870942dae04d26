//! Findings for simulated fleets with one trouble each. The counts that each gateway reports are random.

use starlinghill_failover::Micros;
use starlinghill_zone_health::attempt_counts::{AttemptCounts, AttemptResult};
use starlinghill_zone_health::findings::{
    evaluate_reports, Finding, Findings, GatewayReport, MAX_REPORT_AGE,
};
use starlinghill_zone_health::report::Report;
use std::collections::{BTreeMap, BTreeSet};

/// The parts of attempts with each result, in the order of [`RESULTS`].
type ResultMix = [f64; 7];
const RESULTS: [AttemptResult; 7] = [
    AttemptResult::Answered,
    AttemptResult::Late,
    AttemptResult::Failed,
    AttemptResult::Rejected,
    AttemptResult::ConnectionRefused,
    AttemptResult::ConnectFailed,
    AttemptResult::Unanswered,
];
const HEALTHY: ResultMix = [0.97, 0.02, 0.01, 0.0, 0.0, 0.0, 0.0];
const UNREACHABLE: ResultMix = [0.0, 0.0, 0.0, 0.0, 0.0, 0.7, 0.3];
const SLOW: ResultMix = [0.2, 0.6, 0.02, 0.0, 0.0, 0.0, 0.18];
const LOSSY: ResultMix = [0.6, 0.02, 0.0, 0.0, 0.0, 0.03, 0.35];
const FAILING: ResultMix = [0.55, 0.02, 0.43, 0.0, 0.0, 0.0, 0.0];
const OVERLOADED: ResultMix = [0.4, 0.2, 0.0, 0.4, 0.0, 0.0, 0.0];
/// The zone gets twice the requests that it can handle. It does its full work, but late, and the other requests time out.
const TWICE_THE_DEMAND: ResultMix = [0.05, 0.55, 0.0, 0.05, 0.0, 0.0, 0.35];
const NOT_LISTENING: ResultMix = [0.0, 0.0, 0.0, 0.0, 0.97, 0.0, 0.03];

/// A simulated fleet.
struct Fleet {
    zones: Vec<String>,
    /// The number of gateways in each zone.
    gateways: usize,
    rng: fastrand::Rng,
    /// The results of attempts from one zone to another; [`HEALTHY`] if not set.
    results: BTreeMap<(usize, usize), ResultMix>,
    /// The number of requests to a zone as a multiple of its usual answers; 1 if not set.
    demand: BTreeMap<usize, f64>,
}

impl Fleet {
    fn new(seed: u64, min_zones: usize) -> Fleet {
        let mut rng = fastrand::Rng::with_seed(seed);
        let zones = (0..rng.usize(min_zones..=12)).map(|i| format!("z{i}")).collect();
        let gateways = rng.usize(2..=12);
        Fleet { zones, gateways, rng, results: BTreeMap::new(), demand: BTreeMap::new() }
    }

    /// Sets the results of attempts to a zone from all others, and with `from_inside` also from its own gateways.
    fn set_results(&mut self, zone: usize, mix: ResultMix, from_inside: bool) {
        for from in 0..self.zones.len() {
            if from_inside || from != zone {
                self.results.insert((from, zone), mix);
            }
        }
    }

    fn counts(&mut self, from: usize, to: usize) -> AttemptCounts {
        let mix = self.results.get(&(from, to)).copied().unwrap_or(HEALTHY);
        let usual = self.rng.u32(30..120);
        let attempts = (f64::from(usual) * self.demand.get(&to).copied().unwrap_or(1.0)) as u32;
        let mut counts = AttemptCounts { usual_answers: usual, ..AttemptCounts::default() };
        for _ in 0..attempts {
            let mut draw = self.rng.f64() * mix.iter().sum::<f64>();
            let result = mix.iter().position(|part| {
                draw -= part;
                draw < 0.0
            });
            counts.record(RESULTS[result.unwrap_or(0)]);
        }
        counts
    }

    fn reports(&mut self) -> BTreeMap<String, GatewayReport> {
        let mut all = BTreeMap::new();
        for from in 0..self.zones.len() {
            for gateway in 0..self.gateways {
                let zones =
                    (0..self.zones.len()).map(|to| (self.zones[to].clone(), self.counts(from, to))).collect();
                let age = Micros(self.rng.u64(..1_500_000));
                let report = GatewayReport { zone: self.zones[from].clone(), age, report: Report { zones } };
                all.insert(format!("g{from}-{gateway}"), report);
            }
        }
        all
    }

    fn findings(&mut self) -> Findings {
        let reports = self.reports();
        self.findings_from(&reports)
    }

    fn findings_from(&self, reports: &BTreeMap<String, GatewayReport>) -> Findings {
        evaluate_reports(&self.zones.iter().cloned().collect(), reports)
    }

    fn random_zone(&mut self) -> usize {
        let n = self.zones.len();
        self.rng.usize(..n)
    }
}

const SEEDS: u64 = 150;

/// Checks the finding for one zone, and that no other zone is found in trouble.
#[track_caller]
fn assert_only_finding(seed: u64, found: &Findings, zone: &str, wanted: &Finding) {
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
fn the_zone_in_trouble_is_found_with_the_kind_of_trouble_and_no_other_zone_is() {
    let cases = [
        (SLOW, true, Finding::Degraded),
        (LOSSY, true, Finding::Degraded),
        (FAILING, true, Finding::Degraded),
        (OVERLOADED, true, Finding::Overloaded),
        (NOT_LISTENING, true, Finding::ServerListWrong),
        (UNREACHABLE, false, Finding::Isolated),
        (UNREACHABLE, true, Finding::Isolated),
    ];
    for seed in 0..SEEDS {
        for (mix, from_inside, wanted) in &cases {
            let mut fleet = Fleet::new(seed, 3);
            let zone = fleet.random_zone();
            fleet.set_results(zone, *mix, *from_inside);
            let found = fleet.findings();
            assert_only_finding(seed, &found, &fleet.zones[zone], wanted);
        }
        let mut fleet = Fleet::new(seed, 3);
        let zone = fleet.random_zone();
        fleet.set_results(zone, TWICE_THE_DEMAND, true);
        fleet.demand.insert(zone, 2.0);
        let found = fleet.findings();
        assert_only_finding(seed, &found, &fleet.zones[zone], &Finding::Overloaded);
        let mut fleet = Fleet::new(seed, 2);
        assert!(fleet.findings().zones.values().all(|f| f.finding == Finding::Healthy), "seed {seed}");
    }
}

#[test]
fn an_isolated_zone_is_found_without_reports_from_its_own_gateways() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, 3);
        let zone = fleet.random_zone();
        fleet.set_results(zone, UNREACHABLE, false);
        let name = fleet.zones[zone].clone();
        let mut reports = fleet.reports();
        reports.retain(|_, o| o.zone != name);
        assert_only_finding(seed, &fleet.findings_from(&reports), &name, &Finding::Isolated);
    }
}

#[test]
fn if_two_zones_cannot_reach_each_other_but_others_reach_both_only_the_link_between_them_is_found() {
    for seed in 0..SEEDS {
        for both in [true, false] {
            let mut fleet = Fleet::new(seed, 3);
            let (a, b) = (0, 1 + fleet.rng.usize(..fleet.zones.len() - 1));
            fleet.results.insert((a, b), UNREACHABLE);
            if both {
                fleet.results.insert((b, a), UNREACHABLE);
            }
            let found = fleet.findings();
            let finding_of = |zone: usize| found.zones[&fleet.zones[zone]].finding.clone();
            let from = |zone: usize| Finding::UnreachableFrom { from: [fleet.zones[zone].clone()].into() };
            assert_eq!(finding_of(b), from(a), "seed {seed}");
            assert_eq!(finding_of(a), if both { from(b) } else { Finding::Healthy }, "seed {seed}");
            assert!(found.isolated_gateways.is_empty());
        }
    }
}

#[test]
fn with_only_two_zones_that_cannot_reach_each_other_no_zone_is_singled_out() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, 2);
        fleet.zones.truncate(2);
        fleet.results.insert((0, 1), UNREACHABLE);
        fleet.results.insert((1, 0), UNREACHABLE);
        let found = fleet.findings();
        assert!(
            found.zones.values().all(|f| f.finding == Finding::TroubleEverywhere),
            "seed {seed}: {found:?}"
        );
    }
}

#[test]
fn trouble_in_all_zones_is_not_attributed_to_any_one() {
    for seed in 0..SEEDS {
        for (mix, demand) in [(OVERLOADED, 1.5), (SLOW, 1.0), (FAILING, 1.0), (TWICE_THE_DEMAND, 2.0)] {
            let mut fleet = Fleet::new(seed, 2);
            for zone in 0..fleet.zones.len() {
                fleet.set_results(zone, mix, true);
                fleet.demand.insert(zone, demand);
            }
            let found = fleet.findings();
            assert!(
                found.zones.values().all(|f| f.finding == Finding::TroubleEverywhere),
                "seed {seed}: {found:?}"
            );
        }
    }
}

#[test]
fn an_isolated_gateway_is_listed_and_its_report_counts_for_no_zone() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, 2);
        let mut reports = fleet.reports();
        let isolated = fleet.rng.usize(..fleet.gateways);
        let name = format!("g0-{isolated}");
        for (to, counts) in
            reports.get_mut(&name).expect("the gateway has a report").report.zones.values_mut().enumerate()
        {
            fleet.results.insert((99, to), UNREACHABLE);
            *counts = fleet.counts(99, to);
        }
        let found = fleet.findings_from(&reports);
        assert_eq!(found.isolated_gateways, [name], "seed {seed}");
        assert!(found.zones.values().all(|f| f.finding == Finding::Healthy), "seed {seed}: {found:?}");
    }
}

#[test]
fn three_lying_gateways_cannot_cause_a_finding_against_a_healthy_zone() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, 3);
        // With at least three gateways per zone, three liars are the majority in at most one zone.
        fleet.gateways = fleet.gateways.max(3);
        let victim = fleet.random_zone();
        let mut reports = fleet.reports();
        let names: Vec<String> = reports.keys().cloned().collect();
        let mut liars = BTreeSet::new();
        while liars.len() < 3 {
            liars.insert(fleet.rng.usize(..names.len()));
        }
        let zone = fleet.zones[victim].clone();
        for liar in liars {
            let report = &mut reports.get_mut(&names[liar]).expect("the gateway has a report").report;
            report.zones.insert(
                zone.clone(),
                AttemptCounts { connect_failed: 1_000_000, ..AttemptCounts::default() },
            );
        }
        let found = fleet.findings_from(&reports);
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
fn old_invalid_and_unknown_zone_reports_are_ignored_and_without_reports_findings_are_inconclusive() {
    let mut fleet = Fleet::new(1, 4);
    fleet.set_results(1, UNREACHABLE, false);
    let valid = fleet.reports();
    let findings_after = |spoil: &dyn Fn(&mut GatewayReport)| {
        let mut all = valid.clone();
        all.values_mut().for_each(spoil);
        fleet.findings_from(&all)
    };
    let old = findings_after(&|o| o.age = Micros(MAX_REPORT_AGE.0 + 1));
    let invalid = findings_after(&|o| {
        let counts = AttemptCounts { answered: 5, late: 6, ..AttemptCounts::default() };
        o.report.zones.insert("z0".into(), counts);
    });
    let elsewhere = findings_after(&|o| o.zone = "nowhere".into());
    let none = fleet.findings_from(&BTreeMap::new());
    for found in [old, invalid, elsewhere, none] {
        assert!(found.zones.values().all(|f| f.finding == Finding::Inconclusive), "{found:?}");
        assert!(found.ignored_gateways.len() <= 8);
    }
    // Seven attempts are too few, whatever their results.
    let few = findings_after(&|o| {
        o.report.zones.insert("z1".into(), AttemptCounts { unanswered: 7, ..AttemptCounts::default() });
    });
    assert_eq!(few.zones["z1"].finding, Finding::Inconclusive);
}

#[test]
fn a_finding_lists_the_votes_behind_it() {
    let mut fleet = Fleet::new(3, 3);
    fleet.zones.truncate(3);
    fleet.gateways = 4;
    fleet.set_results(2, UNREACHABLE, false);
    let found = fleet.findings();
    let why = found.zones["z2"].to_string();
    assert_eq!(
        why,
        "cut off: z0 sees it dark (4 of 4); z1 sees it dark (4 of 4); inside it is well (4 of 4); 2 zones must agree"
    );
}
