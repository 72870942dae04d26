//! Heartbeats that arrive late and out of order at several registries, late reports of drains, and registries that restart
//! with an empty catalog.

use starlinghill_catalog::{
    BackendState, Catalog, Gateway, Instance, Liveness, MergedView, Observation, UnknownBackends,
};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

const BEAT_INTERVAL: Duration = Duration::from_millis(1_500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn instance(id: &str, beat_count: u64, state: BackendState) -> Instance {
    Instance {
        id: id.into(),
        service: "tally".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: "a".into(),
        version: "v1".into(),
        capacity: 2,
        state,
        beat_count,
        warm_at_us: 0,
    }
}

fn gateway(ip: u8, incarnation: u64) -> Gateway {
    Gateway { ip: IpAddr::from([10, 0, 1, ip]), incarnation, zone: "a".into(), node: format!("edge-{ip}") }
}

fn observe(instance: Instance) -> Vec<Observation> {
    vec![Observation { instance, liveness: Liveness::Alive }]
}

#[test]
fn a_backend_that_drains_never_serves_again_in_whatever_order_reports_arrive() {
    for seed in 0..1_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut catalogs: Vec<Catalog> = (0..3).map(|_| Catalog::new(BEAT_INTERVAL)).collect();
        let mut merged = MergedView::default();
        let mut last_seqs = [0; 3];
        // One incarnation of a backend: heartbeats and then a drain, sent to any registry, late or repeatedly.
        let mut heartbeats: Vec<Instance> =
            (1..8).map(|beat_count| instance("i-1", beat_count, BackendState::Ready)).collect();
        heartbeats.push(instance("i-1", 8, BackendState::Draining));
        heartbeats.push(instance("i-1", 9, BackendState::Draining));
        let mut drained_at = None;
        for step in 0..60 {
            let now = ms(step * 100);
            let at = rng.usize(0..3);
            let heartbeat = heartbeats[rng.usize(0..heartbeats.len())].clone();
            if heartbeat.state == BackendState::Draining && drained_at.is_none() {
                drained_at = Some(step);
            }
            catalogs[at].record_backend(now, heartbeat, Duration::ZERO);
            let (from, to) = (rng.usize(0..3), rng.usize(0..3));
            for (heard, ago) in catalogs[from].backends_heard_within(now, ms(2_000)) {
                catalogs[to].record_backend(now, heard, ms(ago));
            }
            let registry = rng.usize(0..3);
            let changes = catalogs[registry].changes_since(last_seqs[registry]);
            last_seqs[registry] = catalogs[registry].seq();
            let drained =
                catalogs[registry].get("i-1").is_some_and(|known| known.state != BackendState::Ready);
            merged.apply_observations(now, registry, 1, changes.backends);
            // Once a registry that knows of the drain has answered, the gateway must not use the backend again.
            assert!(!drained || !merged.available_services().contains("tally"), "seed {seed} step {step}");
        }
        let changes = catalogs.iter().map(|catalog| catalog.changes_since(0).backends).collect::<Vec<_>>();
        for (registry, backends) in changes.into_iter().enumerate() {
            merged.apply_observations(ms(6_000), registry, 1, backends);
        }
        assert_eq!(merged.available_services().contains("tally"), drained_at.is_none(), "seed {seed}");
    }
}

#[test]
fn an_address_that_returns_under_another_service_is_another_backend() {
    let mut catalog = Catalog::new(BEAT_INTERVAL);
    catalog.record_backend(ms(0), instance("i-1", 1, BackendState::Ready), Duration::ZERO);
    catalog.mark_gone(ms(10), "i-1");
    let seq = catalog.seq();
    catalog.record_backend(
        ms(2_100),
        Instance { service: "other".into(), ..instance("i-2", 1, BackendState::Ready) },
        Duration::ZERO,
    );
    let changes = catalog.changes_since(seq).backends;
    assert!(
        changes.len() == 1 && changes[0].instance.id == "i-2" && changes[0].instance.service == "other",
        "{changes:?}"
    );
    // A late heartbeat of the first one changes nothing.
    assert!(!catalog.record_backend(ms(2_200), instance("i-1", 5, BackendState::Ready), Duration::ZERO));
    assert_eq!(catalog.get("i-1").map(|known| known.state), Some(BackendState::Gone));
}

#[test]
fn a_registry_that_restarts_empty_does_not_empty_a_gateways_view() {
    let mut merged = MergedView::default();
    merged.apply_observations(ms(0), 0, 1, observe(instance("i-1", 1, BackendState::Ready)));
    // The registry is back as another incarnation and knows no backend.
    merged.apply_observations(ms(500), 0, 2, Vec::new());
    assert!(merged.tick(ms(1_000)).is_empty() && merged.available_services().contains("tally"));
    // A backend that no registry reports again is dropped in the end.
    assert_eq!(merged.tick(ms(30_000)).len(), 1);
    assert!(merged.available_services().is_empty());
}

#[test]
fn backends_known_for_long_survive_a_restart_of_all_registries() {
    let mut merged = MergedView::default();
    for registry in 0..3 {
        merged.apply_observations(
            ms(0),
            registry,
            1,
            vec![Observation {
                instance: instance("i-1", 1, BackendState::Ready),
                liveness: Liveness::Alive,
            }],
        );
    }
    // Nothing changes for an hour. Then all registries restart, and no heartbeat has arrived yet.
    let hour = ms(3_600_000);
    (0..7_200).for_each(|step| assert!(merged.tick(ms(500 * step)).is_empty()));
    (0..3).for_each(|registry| drop(merged.apply_observations(hour, registry, 2, Vec::new())));
    for step in 0..12 {
        assert_eq!(merged.tick(hour + ms(500 * step)), Vec::new());
        assert!(merged.available_services().contains("tally"), "after {step} ticks");
    }
    assert_eq!(merged.tick(hour + ms(30_000)).len(), 1);
}

#[test]
fn a_backend_that_no_registry_knows_yields_to_known_backends_of_its_service() {
    let mut merged = MergedView::default();
    merged.apply_observations(ms(0), 0, 1, observe(instance("i-1", 1, BackendState::Ready)));
    merged.apply_observations(ms(0), 0, 1, observe(instance("i-2", 1, BackendState::Ready)));
    // The registry is back and hears one of them.
    merged.apply_observations(ms(1_000), 0, 2, observe(instance("i-2", 2, BackendState::Ready)));
    (2..12).for_each(|step| assert_eq!(merged.tick(ms(500 * step)), Vec::new()));
    assert_eq!(merged.tick(ms(6_000)), Vec::new());
    let changes = merged.tick(ms(6_100));
    assert!(
        changes.len() == 1 && changes[0].instance.id == "i-1" && changes[0].liveness == Liveness::Silent,
        "{changes:?}"
    );
    assert_eq!(merged.tick(ms(6_600)), Vec::new());
    // The other one was only slow to find the registry.
    let changes =
        merged.apply_observations(ms(7_000), 0, 2, observe(instance("i-1", 2, BackendState::Ready)));
    assert!(changes.len() == 1 && changes[0].liveness == Liveness::Alive, "{changes:?}");
}

#[test]
fn the_reports_of_a_registry_that_stopped_answering_lapse_while_others_answer() {
    let mut merged = MergedView::default();
    let ready = |id| observe(instance(id, 1, BackendState::Ready));
    merged.apply_observations(ms(0), 0, 1, ready("i-1"));
    merged.apply_observations(ms(0), 1, 1, ready("i-2"));
    let unknown = |merged: &mut MergedView, from: u64, to: u64, answers: bool| {
        let mut changes = Vec::new();
        for step in from..to {
            if answers {
                merged.apply_observations(ms(500 * step), 1, 1, Vec::new());
            }
            changes.extend(merged.tick(ms(500 * step)));
        }
        changes.into_iter().map(|change| (change.instance.id, change.liveness)).collect::<Vec<_>>()
    };
    // No registry answers: this gateway may be the one that is cut off, and keeps all backends.
    assert_eq!(unknown(&mut merged, 1, 100, false), []);
    // Only one answers: the backend that only the other one knew yields in the end.
    assert_eq!(unknown(&mut merged, 100, 110, true), []);
    assert_eq!(unknown(&mut merged, 110, 125, true), [("i-1".to_string(), Liveness::Silent)]);
    // The other one answers again, without any change to report.
    assert_eq!(merged.apply_observations(ms(62_500), 0, 1, Vec::new()), []);
    assert_eq!(unknown(&mut merged, 125, 126, true), [("i-1".to_string(), Liveness::Alive)]);
    // The next time the grace period starts anew.
    assert_eq!(unknown(&mut merged, 126, 136, true), []);
}

#[test]
fn after_a_freeze_the_grace_period_counts_from_the_start_of_the_freeze() {
    let mut merged = MergedView::default();
    merged.apply_observations(ms(0), 0, 1, observe(instance("i-1", 1, BackendState::Ready)));
    merged.apply_observations(ms(0), 0, 1, observe(instance("i-2", 1, BackendState::Ready)));
    (0..4).for_each(|step| assert_eq!(merged.tick(ms(500 * step)), Vec::new()));
    // The gateway is frozen for six seconds. In that time i-1 leaves, and the registry that noted it is killed.
    merged.apply_observations(ms(7_500), 0, 2, observe(instance("i-2", 2, BackendState::Ready)));
    let changes = merged.tick(ms(7_500));
    assert!(
        changes.len() == 1 && changes[0].instance.id == "i-1" && changes[0].liveness == Liveness::Silent,
        "{changes:?}"
    );
}

#[test]
fn the_backends_that_a_registry_does_not_know_are_listed_by_service() {
    let mut merged = MergedView::default();
    let ready = |id| observe(instance(id, 1, BackendState::Ready));
    let other = vec![Observation {
        instance: Instance { service: "other".into(), ..instance("o-1", 1, BackendState::Ready) },
        liveness: Liveness::Alive,
    }];
    (0..2).for_each(|registry| drop(merged.apply_observations(ms(0), registry, 1, ready("i-1"))));
    merged.apply_observations(ms(0), 0, 1, ready("i-2"));
    merged.apply_observations(ms(0), 1, 1, other);
    // Nothing is listed for a registry that has not answered yet.
    assert!(merged.unknown_to_registry(2).is_empty());
    let unknown = merged.unknown_to_registry(1);
    let i_2 = UnknownBackends {
        capacity_fraction: 0.5,
        backends: vec![instance("i-2", 1, BackendState::Ready).id_hash()],
    };
    assert_eq!(unknown, [("tally", i_2)].into());
    // After a restart it knows none of its backends.
    merged.apply_observations(ms(100), 1, 2, Vec::new());
    let fractions: Vec<f64> =
        merged.unknown_to_registry(1).values().map(|unknown| unknown.capacity_fraction).collect();
    assert_eq!(fractions, [1.0, 1.0]);
    merged.apply_observations(
        ms(200),
        0,
        1,
        vec![Observation { instance: instance("i-2", 2, BackendState::Draining), liveness: Liveness::Alive }],
    );
    assert_eq!(merged.unknown_to_registry(1)["tally"].backends.len(), 1);
}

#[test]
fn a_backend_that_another_registry_heard_long_ago_is_silent_from_its_first_report() {
    let mut catalog = Catalog::new(BEAT_INTERVAL);
    catalog.record_backend(ms(60_000), instance("i-1", 1, BackendState::Ready), BEAT_INTERVAL * 4);
    catalog.record_backend(ms(60_000), instance("i-2", 1, BackendState::Ready), BEAT_INTERVAL);
    let heard: Vec<Liveness> =
        catalog.changes_since(0).backends.iter().map(|observation| observation.liveness).collect();
    assert_eq!(heard, [Liveness::Silent, Liveness::Alive]);
}

#[test]
fn a_leave_is_recorded_by_a_registry_that_does_not_know_the_backend() {
    let (mut before, mut merged) = (Catalog::new(BEAT_INTERVAL), MergedView::default());
    before.record_backend(ms(0), instance("i-1", 1, BackendState::Ready), Duration::ZERO);
    merged.apply_observations(ms(0), 0, 1, before.changes_since(0).backends);
    // The registry was restarted and knows no backend when this one leaves.
    let mut catalog = Catalog::new(BEAT_INTERVAL);
    assert!(!catalog.mark_gone(ms(100), "i-1"));
    let changes = merged.apply_observations(ms(100), 0, 2, catalog.changes_since(0).backends);
    assert!(changes.len() == 1 && changes[0].instance.state == BackendState::Gone, "{changes:?}");
    assert!(merged.available_services().is_empty());
    // A late heartbeat does not bring it back, neither at the registry nor at the gateway.
    assert!(!catalog.record_backend(ms(200), instance("i-1", 9, BackendState::Ready), Duration::ZERO));
    assert!(
        merged.apply_observations(ms(200), 0, 2, catalog.changes_since(0).backends).is_empty()
            && merged.available_services().is_empty()
    );
}

#[test]
fn a_backend_is_silent_after_three_missed_heartbeats_and_only_if_all_registries_agree() {
    let mut catalog = Catalog::new(BEAT_INTERVAL);
    catalog.record_backend(ms(0), instance("i-1", 1, BackendState::Ready), Duration::ZERO);
    let seq = catalog.seq();
    catalog.tick(BEAT_INTERVAL * 2);
    assert_eq!(catalog.seq(), seq);
    catalog.tick(BEAT_INTERVAL * 3);
    let changes = catalog.changes_since(seq).backends;
    assert!(changes.len() == 1 && changes[0].liveness == Liveness::Silent);
    let mut merged = MergedView::default();
    let observe =
        |liveness| vec![Observation { instance: instance("i-1", 1, BackendState::Ready), liveness }];
    assert_eq!(merged.apply_observations(ms(0), 0, 1, observe(Liveness::Alive))[0].liveness, Liveness::Alive);
    assert!(merged.apply_observations(ms(1), 1, 1, observe(Liveness::Silent)).is_empty());
    assert_eq!(
        merged.apply_observations(ms(2), 0, 1, observe(Liveness::Silent))[0].liveness,
        Liveness::Silent
    );
}

#[test]
fn a_gateway_counts_until_half_a_minute_after_its_last_request() {
    let mut catalog = Catalog::new(BEAT_INTERVAL);
    (0..11).for_each(|i| catalog.record_gateway(ms(0), gateway(i, 1), Duration::ZERO));
    // All but one are killed, and that one restarts as another incarnation.
    catalog.record_gateway(ms(3_000), gateway(0, 2), Duration::ZERO);
    // A late report of its first incarnation by another registry does not bring that back.
    catalog.record_gateway(ms(3_100), gateway(0, 1), ms(2_000));
    catalog.tick(ms(20_000));
    assert_eq!(catalog.gateways().count(), 11);
    assert_eq!(catalog.gateways().next().map(|g| g.incarnation), Some(2));
    catalog.tick(ms(31_000));
    assert_eq!(catalog.gateways().count(), 1);
}

#[test]
fn a_leaving_gateway_counts_until_it_sends_no_more_requests() {
    let mut catalog = Catalog::new(BEAT_INTERVAL);
    catalog.record_gateway(ms(0), gateway(1, 5), Duration::ZERO);
    catalog.mark_gateway_leaving(ms(100), &gateway(1, 4));
    // It still takes client requests for some seconds, and draws from the quota counter.
    for now in [100, 600, 1_100, 1_600, 2_100] {
        catalog.mark_gateway_leaving(ms(now), &gateway(1, 5));
        catalog.tick(ms(now + 400));
        assert_eq!(catalog.gateways().count(), 1);
    }
    catalog.tick(ms(3_400));
    assert_eq!(catalog.gateways().count(), 0);
    // Another registry reports that it heard the gateway before.
    catalog.record_gateway(ms(3_450), gateway(1, 5), ms(1_500));
    assert_eq!(catalog.gateways().count(), 0);
    catalog.record_gateway(ms(5_000), gateway(1, 6), Duration::ZERO);
    assert_eq!(catalog.gateways().count(), 1);
}

#[test]
fn changes_of_gateways_are_reported_one_by_one_and_are_never_urgent() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut catalog = Catalog::new(BEAT_INTERVAL);
        (0..85).for_each(|i| catalog.record_gateway(ms(0), gateway(i, 1), Duration::ZERO));
        // An observer that now and then takes in the changes since its last call.
        let mut known: BTreeMap<IpAddr, u64> = BTreeMap::new();
        let (mut seq, mut total_changes, mut steps) = (0, 0, 0);
        let urgent = catalog.urgent_seq();
        for step in 1..=100u64 {
            let (now, i) = (ms(step * 100), rng.u8(0..85));
            match rng.u8(0..3) {
                0 => catalog.record_gateway(now, gateway(i, step + 1), Duration::ZERO),
                1 => {
                    let incarnation =
                        catalog.gateways().find(|g| g.ip == gateway(i, 0).ip).map_or(0, |g| g.incarnation);
                    catalog.mark_gateway_leaving(now, &gateway(i, incarnation));
                    catalog.tick(now + ms(1_200));
                }
                _ => {}
            }
            steps += 1;
            if rng.u8(0..5) == 0 {
                let changes = catalog.changes_since(seq).gateways;
                assert!(
                    seq == 0 || changes.len() <= steps,
                    "seed {seed}: {} in {steps} steps",
                    changes.len()
                );
                total_changes += changes.len();
                for (gateway, is_present) in changes {
                    match is_present {
                        true => known.insert(gateway.ip, gateway.incarnation),
                        false => known.remove(&gateway.ip),
                    };
                }
                (seq, steps) = (catalog.seq(), 0);
                let all: BTreeMap<IpAddr, u64> = catalog.gateways().map(|g| (g.ip, g.incarnation)).collect();
                assert_eq!(known, all, "seed {seed}");
            }
        }
        assert_eq!(catalog.urgent_seq(), urgent);
        assert!(total_changes <= 85 + 100, "{total_changes}");
    }
}

/// A gateway that takes in the changes of two registries.
#[derive(Default)]
struct TestGateway {
    merged: MergedView,
    last_seqs: [u64; 2],
}

impl TestGateway {
    fn follow(&mut self, now: Duration, catalogs: &[Catalog; 2]) {
        for (registry, catalog) in catalogs.iter().enumerate() {
            let changes = catalog.changes_since(self.last_seqs[registry]);
            self.last_seqs[registry] = catalog.seq();
            self.merged.apply_observations(now, registry, 1, changes.backends);
        }
        self.merged.tick(now);
    }

    fn available(&self) -> usize {
        self.merged.ready_counts(["tally"])["tally"]
    }
}

/// Two registries are cut off from each other for this long, each with heartbeats from a backend of its own, and are then
/// connected again. Returns the fewest available backends at any moment, and those at the end.
fn simulate_network_cut(cut: Duration) -> (usize, usize) {
    let mut catalogs = [Catalog::new(BEAT_INTERVAL), Catalog::new(BEAT_INTERVAL)];
    let mut gateway = TestGateway::default();
    let (mut fewest, mut beat_count) = (usize::MAX, 0);
    let end = cut + BEAT_INTERVAL * 8;
    for step in 0..end.as_millis() as u64 / 500 {
        let now = ms(step * 500);
        if step % 3 == 0 {
            beat_count += 1;
            for (side, id) in ["i-1", "i-2"].into_iter().enumerate() {
                catalogs[side].record_backend(
                    now,
                    instance(id, beat_count, BackendState::Ready),
                    Duration::ZERO,
                );
            }
        }
        let is_joined = step < 6 || now > cut;
        if is_joined {
            for (from, to) in [(0, 1), (1, 0)] {
                for (heard, ago) in catalogs[from].backends_heard_within(now, Duration::MAX) {
                    catalogs[to].record_backend(now, heard, ms(ago));
                }
            }
        }
        catalogs.iter_mut().for_each(|catalog| drop(catalog.tick(now)));
        gateway.follow(now, &catalogs);
        fewest = fewest.min(gateway.available());
    }
    (fewest, gateway.available())
}

#[test]
fn backends_on_either_side_of_a_network_cut_stay_available_however_long_it_lasts() {
    for cut in [6, 20, 26, 40, 170, 400] {
        assert_eq!(simulate_network_cut(Duration::from_secs(cut)), (2, 2), "cut for {cut} s");
    }
}

#[test]
fn a_backend_that_was_not_heard_for_long_is_available_again_after_its_next_heartbeat() {
    for silent_s in [10, 24, 30, 100, 200] {
        let mut catalogs = [Catalog::new(BEAT_INTERVAL), Catalog::new(BEAT_INTERVAL)];
        let mut gateway = TestGateway::default();
        catalogs[0].record_backend(ms(0), instance("i-1", 1, BackendState::Ready), Duration::ZERO);
        gateway.follow(ms(0), &catalogs);
        for step in 1..silent_s * 2 {
            catalogs.iter_mut().for_each(|catalog| drop(catalog.tick(ms(step * 500))));
            gateway.follow(ms(step * 500), &catalogs);
        }
        assert_eq!(gateway.available(), 0, "silent for {silent_s} s");
        let back = ms(silent_s * 1_000);
        catalogs[1].record_backend(back, instance("i-1", 2, BackendState::Ready), Duration::ZERO);
        gateway.follow(back, &catalogs);
        assert_eq!(gateway.available(), 1, "silent for {silent_s} s");
    }
}

/// A registry is cut off from the other one and from this gateway, but not from a backend, which sends its heartbeats to
/// that registry only.
#[test]
fn a_backend_heard_only_by_a_cut_off_registry_is_available_again_once_that_registry_answers() {
    for cut_off_s in [8, 24, 30, 100, 300] {
        let (mut near, mut far) = (Catalog::new(BEAT_INTERVAL), Catalog::new(BEAT_INTERVAL));
        let mut gateway = TestGateway::default();
        for catalog in [&mut near, &mut far] {
            catalog.record_backend(ms(0), instance("i-1", 1, BackendState::Ready), Duration::ZERO);
        }
        let both = [near, far];
        gateway.follow(ms(0), &both);
        assert_eq!(gateway.available(), 1);
        let [mut near, mut far] = both;
        let mut changes = Vec::new();
        for step in 1..cut_off_s * 2 {
            let now = ms(step * 500);
            if step % 3 == 0 {
                far.record_backend(now, instance("i-1", 1 + step, BackendState::Ready), Duration::ZERO);
            }
            drop((near.tick(now), far.tick(now)));
            let near_changes = near.changes_since(gateway.last_seqs[0]);
            gateway.last_seqs[0] = near.seq();
            changes.extend(gateway.merged.apply_observations(now, 0, 1, near_changes.backends));
            changes.extend(gateway.merged.tick(now));
        }
        // The far registry answers again. Then the near one learns of the heartbeats, too.
        let back = ms(cut_off_s * 1_000);
        changes.extend(gateway.merged.apply_observations(
            back,
            1,
            1,
            far.changes_since(gateway.last_seqs[1]).backends,
        ));
        changes.extend(gateway.merged.tick(back));
        for (heard, ago) in far.backends_heard_within(back, Duration::MAX) {
            near.record_backend(back, heard, ms(ago));
        }
        changes.extend(gateway.merged.apply_observations(
            back,
            0,
            1,
            near.changes_since(gateway.last_seqs[0]).backends,
        ));
        changes.extend(gateway.merged.tick(back + ms(500)));
        // The last announced change is what the gateway sends requests by.
        let last = changes.last().map_or(Liveness::Alive, |change| change.liveness);
        assert_eq!(last, Liveness::Alive, "cut off for {cut_off_s} s: {changes:?}");
        assert_eq!(gateway.available(), 1, "cut off for {cut_off_s} s");
    }
}

#[test]
fn a_backend_known_only_to_an_absent_registry_is_available_again_once_that_registry_answers() {
    let mut gateway = MergedView::default();
    gateway.apply_observations(ms(0), 0, 1, observe(instance("i-1", 1, BackendState::Ready)));
    gateway.apply_observations(ms(0), 1, 1, Vec::new());
    let available = |gateway: &MergedView| gateway.ready_counts(["tally"])["tally"];
    let mut last = None;
    for step in 1..800 {
        gateway.apply_observations(ms(500 * step), 1, 1, Vec::new());
        last = gateway.tick(ms(500 * step)).pop().or(last);
    }
    assert_eq!((last.map(|change| change.liveness), available(&gateway)), (Some(Liveness::Lost), 0));
    // The absent registry answers again, without any change to report.
    let changes = gateway.apply_observations(ms(400_000), 0, 1, Vec::new());
    assert_eq!(changes.into_iter().map(|change| change.liveness).collect::<Vec<_>>(), []);
    let changes = gateway.tick(ms(400_500));
    assert_eq!(changes.into_iter().map(|change| change.liveness).collect::<Vec<_>>(), [Liveness::Alive]);
    assert_eq!(available(&gateway), 1);
}

#[test]
fn a_lost_backend_does_not_become_alive_when_all_registries_restart() {
    let mut gateway = MergedView::default();
    let lost = Observation { instance: instance("i-1", 1, BackendState::Ready), liveness: Liveness::Lost };
    let mut changes =
        gateway.apply_observations(ms(0), 0, 1, observe(instance("i-1", 1, BackendState::Ready)));
    (0..50).for_each(|step| assert_eq!(gateway.tick(ms(500 * step)), []));
    changes.extend(gateway.apply_observations(ms(25_000), 0, 1, vec![lost]));
    (50..60).for_each(|step| assert_eq!(gateway.tick(ms(500 * step)), []));
    assert_eq!(changes.last().map(|change| change.liveness), Some(Liveness::Lost));
    // After the restart no registry knows the backend, and none has heard it.
    let mut later = gateway.apply_observations(ms(30_000), 0, 2, Vec::new());
    for step in 60..120 {
        later.extend(gateway.tick(ms(500 * step)));
        assert_eq!(gateway.ready_counts(["tally"])["tally"], 0, "in step {step}");
    }
    assert_eq!(later, []);
}

/// The addresses of the gateways that carry traffic.
fn present(catalog: &Catalog) -> Vec<IpAddr> {
    catalog.gateways().map(|gateway| gateway.ip).collect()
}

// Guards against a gateway whose share of the quotas is granted to others because it is cut off from all registries for
// long, though other gateways hear it (QUOTA, issue 58).
#[test]
fn a_gateway_that_is_cut_off_counts_for_as_long_as_other_gateways_hear_it() {
    let mut catalog = Catalog::new(BEAT_INTERVAL);
    let (cut_off, silent) = (gateway(1, 7), gateway(2, 8));
    catalog.record_gateway(ms(0), cut_off.clone(), ms(0));
    catalog.record_gateway(ms(0), silent, ms(0));
    for second in 1..=400 {
        catalog.record_reported_gateway(ms(1_000 * second), cut_off.ip, 7, ms(300));
        if second < 60 {
            // A report on an earlier process of the other one.
            catalog.record_reported_gateway(ms(1_000 * second), IpAddr::from([10, 0, 1, 2]), 6, ms(300));
        }
        catalog.tick(ms(1_000 * second));
        let expected = if second < 30 { 2 } else { 1 };
        assert_eq!(present(&catalog).len(), expected, "after {second} s");
    }
    assert_eq!(present(&catalog), [cut_off.ip]);
    // It was not heard by the registry itself, so that a new counter does not wait for it.
    assert!(catalog.gateways_heard_within(ms(400_000), ms(1_500)).is_empty());
    let seq = catalog.seq();
    for second in 401..=440 {
        catalog.tick(ms(1_000 * second));
    }
    assert!(present(&catalog).is_empty());
    assert_eq!(catalog.changes_since(seq).gateways, [(cut_off, false)], "its end is told");
}

#[test]
fn a_reported_gateway_counts_until_its_time_is_over_and_none_returns_after_it_has_left() {
    let mut catalog = Catalog::new(BEAT_INTERVAL);
    let (unknown, left) = (gateway(1, 7), gateway(2, 8));
    catalog.record_reported_gateway(ms(100_000), unknown.ip, 7, ms(29_000));
    catalog.record_reported_gateway(ms(100_000), IpAddr::from([10, 0, 1, 9]), 9, ms(30_000));
    assert_eq!(present(&catalog), [unknown.ip], "one was heard of too long ago");
    catalog.record_gateway(ms(100_000), left.clone(), ms(0));
    catalog.mark_gateway_leaving(ms(100_000), &left);
    for second in 101..=160 {
        catalog.record_reported_gateway(ms(1_000 * second), left.ip, 8, ms(0));
        catalog.tick(ms(1_000 * second));
        assert_eq!(
            present(&catalog),
            if second < 102 { vec![left.ip] } else { vec![] },
            "in second {second}"
        );
    }
    // A request of its own makes it known in full.
    catalog.record_gateway(ms(161_000), unknown.clone(), ms(0));
    assert_eq!(catalog.gateways().collect::<Vec<_>>(), [&unknown]);
}
