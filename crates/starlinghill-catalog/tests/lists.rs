//! Beats out of order at three registries, drains that are told late, registries that begin with nothing.

use starlinghill_catalog::{
    BackendState, Catalog, Gateway, Instance, Liveness, MergedView, Observation, UnknownBackends,
};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(1_500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn instance(id: &str, calls: u64, state: BackendState) -> Instance {
    Instance {
        id: id.into(),
        service: "tally".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: "a".into(),
        version: "v1".into(),
        capacity: 2,
        state,
        beat_count: calls,
        warm_at_us: 0,
    }
}

fn gateway(ip: u8, life: u64) -> Gateway {
    Gateway {
        ip: IpAddr::from([10, 0, 1, ip]),
        incarnation: life,
        zone: "a".into(),
        node: format!("edge-{ip}"),
    }
}

fn told(instance: Instance) -> Vec<Observation> {
    vec![Observation { instance, liveness: Liveness::Alive }]
}

#[test]
fn what_drains_never_serves_again_in_whatever_order_it_is_told() {
    for seed in 0..1_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut catalogs: Vec<Catalog> = (0..3).map(|_| Catalog::new(BEAT)).collect();
        let mut merged = MergedView::default();
        let mut seqs = [0; 3];
        // A life of a backend: beats, then a drain, then the end, told at any registry, late, or again.
        let mut words: Vec<Instance> =
            (1..8).map(|calls| instance("i-1", calls, BackendState::Ready)).collect();
        words.push(instance("i-1", 8, BackendState::Draining));
        words.push(instance("i-1", 9, BackendState::Draining));
        let mut drained_at = None;
        for step in 0..60 {
            let now = ms(step * 100);
            let at = rng.usize(0..3);
            let word = words[rng.usize(0..words.len())].clone();
            if word.state == BackendState::Draining && drained_at.is_none() {
                drained_at = Some(step);
            }
            catalogs[at].record_backend(now, word, Duration::ZERO);
            let (from, to) = (rng.usize(0..3), rng.usize(0..3));
            for (heard, ago) in catalogs[from].backends_heard_within(now, ms(2_000)) {
                catalogs[to].record_backend(now, heard, ms(ago));
            }
            let rack = rng.usize(0..3);
            let news = catalogs[rack].changes_since(seqs[rack]);
            seqs[rack] = catalogs[rack].seq();
            let drained = catalogs[rack].get("i-1").is_some_and(|known| known.state != BackendState::Ready);
            merged.apply_observations(now, rack, 1, news.backends);
            // From a registry that knows of the drain the gateway has it, and keeps it.
            assert!(!drained || !merged.available_services().contains("tally"), "seed {seed} step {step}");
        }
        let news = catalogs.iter().map(|catalog| catalog.changes_since(0).backends).collect::<Vec<_>>();
        for (rack, backends) in news.into_iter().enumerate() {
            merged.apply_observations(ms(6_000), rack, 1, backends);
        }
        assert_eq!(merged.available_services().contains("tally"), drained_at.is_none(), "seed {seed}");
    }
}

#[test]
fn an_address_that_comes_back_under_another_service_is_another_backend() {
    let mut catalog = Catalog::new(BEAT);
    catalog.record_backend(ms(0), instance("i-1", 1, BackendState::Ready), Duration::ZERO);
    catalog.mark_gone(ms(10), "i-1");
    let seq = catalog.seq();
    catalog.record_backend(
        ms(2_100),
        Instance { service: "other".into(), ..instance("i-2", 1, BackendState::Ready) },
        Duration::ZERO,
    );
    let news = catalog.changes_since(seq).backends;
    assert!(
        news.len() == 1 && news[0].instance.id == "i-2" && news[0].instance.service == "other",
        "{news:?}"
    );
    // A late beat of the first changes nothing.
    assert!(!catalog.record_backend(ms(2_200), instance("i-1", 5, BackendState::Ready), Duration::ZERO));
    assert_eq!(catalog.get("i-1").map(|known| known.state), Some(BackendState::Gone));
}

#[test]
fn a_registry_that_begins_with_nothing_empties_nobodys_list() {
    let mut merged = MergedView::default();
    merged.apply_observations(ms(0), 0, 1, told(instance("i-1", 1, BackendState::Ready)));
    // The registry is back in another life and knows none.
    merged.apply_observations(ms(500), 0, 2, Vec::new());
    assert!(merged.tick(ms(1_000)).is_empty() && merged.available_services().contains("tally"));
    // One that nobody tells of any more is forgotten in the end.
    assert_eq!(merged.tick(ms(30_000)).len(), 1);
    assert!(merged.available_services().is_empty());
}

#[test]
fn backends_that_were_known_for_long_outlive_a_restart_of_all_registries() {
    let mut merged = MergedView::default();
    for rack in 0..3 {
        merged.apply_observations(
            ms(0),
            rack,
            1,
            vec![Observation {
                instance: instance("i-1", 1, BackendState::Ready),
                liveness: Liveness::Alive,
            }],
        );
    }
    // Nothing changed for an hour; then all registries are back in other lives, before any beat has come.
    let hour = ms(3_600_000);
    (0..7_200).for_each(|step| assert!(merged.tick(ms(500 * step)).is_empty()));
    (0..3).for_each(|rack| drop(merged.apply_observations(hour, rack, 2, Vec::new())));
    for step in 0..12 {
        assert_eq!(merged.tick(hour + ms(500 * step)), Vec::new());
        assert!(merged.available_services().contains("tally"), "after {step} ticks");
    }
    assert_eq!(merged.tick(hour + ms(30_000)).len(), 1);
}

#[test]
fn what_nobody_tells_of_yields_to_others_of_its_service_that_are_known() {
    let mut merged = MergedView::default();
    merged.apply_observations(ms(0), 0, 1, told(instance("i-1", 1, BackendState::Ready)));
    merged.apply_observations(ms(0), 0, 1, told(instance("i-2", 1, BackendState::Ready)));
    // The registry is back, and hears of one of them.
    merged.apply_observations(ms(1_000), 0, 2, told(instance("i-2", 2, BackendState::Ready)));
    (2..12).for_each(|step| assert_eq!(merged.tick(ms(500 * step)), Vec::new()));
    assert_eq!(merged.tick(ms(6_000)), Vec::new());
    let changes = merged.tick(ms(6_100));
    assert!(
        changes.len() == 1 && changes[0].instance.id == "i-1" && changes[0].liveness == Liveness::Silent,
        "{changes:?}"
    );
    assert_eq!(merged.tick(ms(6_600)), Vec::new());
    // It was only slow to find the registry.
    let changes = merged.apply_observations(ms(7_000), 0, 2, told(instance("i-1", 2, BackendState::Ready)));
    assert!(changes.len() == 1 && changes[0].liveness == Liveness::Alive, "{changes:?}");
}

#[test]
fn what_a_registry_said_that_has_not_answered_for_long_counts_no_more_where_others_answer() {
    let mut merged = MergedView::default();
    let ready = |id| told(instance(id, 1, BackendState::Ready));
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
    // Neither answers: this gateway may be the one that is cut off.
    assert_eq!(unknown(&mut merged, 1, 100, false), []);
    // One does, and the other one does not: what only that one knew yields in the end, until it is told again.
    assert_eq!(unknown(&mut merged, 100, 110, true), []);
    assert_eq!(unknown(&mut merged, 110, 125, true), [("i-1".to_string(), Liveness::Silent)]);
    // It answers again, and has nothing new to tell.
    assert_eq!(merged.apply_observations(ms(62_500), 0, 1, Vec::new()), []);
    assert_eq!(unknown(&mut merged, 125, 126, true), [("i-1".to_string(), Liveness::Alive)]);
    // As long ago as that was does not count the next time.
    assert_eq!(unknown(&mut merged, 126, 136, true), []);
}

#[test]
fn a_gateway_that_stood_still_does_not_wait_for_what_all_forgot_meanwhile() {
    let mut merged = MergedView::default();
    merged.apply_observations(ms(0), 0, 1, told(instance("i-1", 1, BackendState::Ready)));
    merged.apply_observations(ms(0), 0, 1, told(instance("i-2", 1, BackendState::Ready)));
    (0..4).for_each(|step| assert_eq!(merged.tick(ms(500 * step)), Vec::new()));
    // It stands still for six seconds: i-1 leaves, and the registry that noted it is killed.
    merged.apply_observations(ms(7_500), 0, 2, told(instance("i-2", 2, BackendState::Ready)));
    let changes = merged.tick(ms(7_500));
    assert!(
        changes.len() == 1 && changes[0].instance.id == "i-1" && changes[0].liveness == Liveness::Silent,
        "{changes:?}"
    );
}

#[test]
fn what_a_registry_that_began_while_it_was_cut_off_does_not_know_is_told_by_service() {
    let mut merged = MergedView::default();
    let ready = |id| told(instance(id, 1, BackendState::Ready));
    let other = vec![Observation {
        instance: Instance { service: "other".into(), ..instance("o-1", 1, BackendState::Ready) },
        liveness: Liveness::Alive,
    }];
    (0..2).for_each(|rack| drop(merged.apply_observations(ms(0), rack, 1, ready("i-1"))));
    merged.apply_observations(ms(0), 0, 1, ready("i-2"));
    merged.apply_observations(ms(0), 1, 1, other);
    // Of one that has told of nothing yet nothing is said.
    assert!(merged.unknown_to_registry(2).is_empty());
    let unknown = merged.unknown_to_registry(1);
    let i_2 = UnknownBackends {
        capacity_fraction: 0.5,
        backends: vec![instance("i-2", 1, BackendState::Ready).id_hash()],
    };
    assert_eq!(unknown, [("tally", i_2)].into());
    // Started again, it knows none of what it knew.
    merged.apply_observations(ms(100), 1, 2, Vec::new());
    let parts: Vec<f64> =
        merged.unknown_to_registry(1).values().map(|unknown| unknown.capacity_fraction).collect();
    assert_eq!(parts, [1.0, 1.0]);
    merged.apply_observations(
        ms(200),
        0,
        1,
        vec![Observation { instance: instance("i-2", 2, BackendState::Draining), liveness: Liveness::Alive }],
    );
    assert_eq!(merged.unknown_to_registry(1)["tally"].backends.len(), 1);
}

#[test]
fn one_that_another_registry_has_not_heard_of_for_long_is_silent_from_the_first_word() {
    let mut catalog = Catalog::new(BEAT);
    catalog.record_backend(ms(60_000), instance("i-1", 1, BackendState::Ready), BEAT * 4);
    catalog.record_backend(ms(60_000), instance("i-2", 1, BackendState::Ready), BEAT);
    let heard: Vec<Liveness> = catalog.changes_since(0).backends.iter().map(|told| told.liveness).collect();
    assert_eq!(heard, [Liveness::Silent, Liveness::Alive]);
}

#[test]
fn one_that_leaves_is_noted_where_nobody_knows_it_any_more() {
    let (mut before, mut merged) = (Catalog::new(BEAT), MergedView::default());
    before.record_backend(ms(0), instance("i-1", 1, BackendState::Ready), Duration::ZERO);
    merged.apply_observations(ms(0), 0, 1, before.changes_since(0).backends);
    // The registry is killed and knows nobody when the backend leaves.
    let mut catalog = Catalog::new(BEAT);
    assert!(!catalog.mark_gone(ms(100), "i-1"));
    let changes = merged.apply_observations(ms(100), 0, 2, catalog.changes_since(0).backends);
    assert!(changes.len() == 1 && changes[0].instance.state == BackendState::Gone, "{changes:?}");
    assert!(merged.available_services().is_empty());
    // A beat that was on its way brings it back nowhere.
    assert!(!catalog.record_backend(ms(200), instance("i-1", 9, BackendState::Ready), Duration::ZERO));
    assert!(
        merged.apply_observations(ms(200), 0, 2, catalog.changes_since(0).backends).is_empty()
            && merged.available_services().is_empty()
    );
}

#[test]
fn a_missed_beat_is_no_death_and_silence_counts_only_where_all_agree() {
    let mut catalog = Catalog::new(BEAT);
    catalog.record_backend(ms(0), instance("i-1", 1, BackendState::Ready), Duration::ZERO);
    let seq = catalog.seq();
    catalog.tick(BEAT * 2);
    assert_eq!(catalog.seq(), seq);
    catalog.tick(BEAT * 3);
    let news = catalog.changes_since(seq).backends;
    assert!(news.len() == 1 && news[0].liveness == Liveness::Silent);
    let mut merged = MergedView::default();
    let told = |liveness| vec![Observation { instance: instance("i-1", 1, BackendState::Ready), liveness }];
    assert_eq!(merged.apply_observations(ms(0), 0, 1, told(Liveness::Alive))[0].liveness, Liveness::Alive);
    assert!(merged.apply_observations(ms(1), 1, 1, told(Liveness::Silent)).is_empty());
    assert_eq!(merged.apply_observations(ms(2), 0, 1, told(Liveness::Silent))[0].liveness, Liveness::Silent);
}

#[test]
fn gateways_count_for_half_a_minute_after_their_last_word() {
    let mut catalog = Catalog::new(BEAT);
    (0..11).for_each(|i| catalog.record_gateway(ms(0), gateway(i, 1), Duration::ZERO));
    // Half of them are killed; one is back in another life.
    catalog.record_gateway(ms(3_000), gateway(0, 2), Duration::ZERO);
    // What another registry heard of its first life before does not bring that back.
    catalog.record_gateway(ms(3_100), gateway(0, 1), ms(2_000));
    catalog.tick(ms(20_000));
    assert_eq!(catalog.gateways().count(), 11);
    assert_eq!(catalog.gateways().next().map(|g| g.incarnation), Some(2));
    catalog.tick(ms(31_000));
    assert_eq!(catalog.gateways().count(), 1);
}

#[test]
fn a_gateway_that_leaves_is_one_until_it_asks_no_more() {
    let mut catalog = Catalog::new(BEAT);
    catalog.record_gateway(ms(0), gateway(1, 5), Duration::ZERO);
    catalog.mark_gateway_leaving(ms(100), &gateway(1, 4));
    // It takes clients for some seconds yet, and draws from the count.
    for now in [100, 600, 1_100, 1_600, 2_100] {
        catalog.mark_gateway_leaving(ms(now), &gateway(1, 5));
        catalog.tick(ms(now + 400));
        assert_eq!(catalog.gateways().count(), 1);
    }
    catalog.tick(ms(3_400));
    assert_eq!(catalog.gateways().count(), 0);
    // Another registry heard of it before.
    catalog.record_gateway(ms(3_450), gateway(1, 5), ms(1_500));
    assert_eq!(catalog.gateways().count(), 0);
    catalog.record_gateway(ms(5_000), gateway(1, 6), Duration::ZERO);
    assert_eq!(catalog.gateways().count(), 1);
}

#[test]
fn of_gateways_that_come_and_go_only_these_are_told_and_nobody_is_woken_for_them() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut catalog = Catalog::new(BEAT);
        (0..85).for_each(|i| catalog.record_gateway(ms(0), gateway(i, 1), Duration::ZERO));
        // One that follows by differences, now and then, and what each difference held.
        let mut known: BTreeMap<IpAddr, u64> = BTreeMap::new();
        let (mut seq, mut told, mut changes) = (0, 0, 0);
        let urgent = catalog.urgent_seq();
        for step in 1..=100u64 {
            let (now, i) = (ms(step * 100), rng.u8(0..85));
            match rng.u8(0..3) {
                0 => catalog.record_gateway(now, gateway(i, step + 1), Duration::ZERO),
                1 => {
                    let life =
                        catalog.gateways().find(|g| g.ip == gateway(i, 0).ip).map_or(0, |g| g.incarnation);
                    catalog.mark_gateway_leaving(now, &gateway(i, life));
                    catalog.tick(now + ms(1_200));
                }
                _ => {}
            }
            changes += 1;
            if rng.u8(0..5) == 0 {
                let news = catalog.changes_since(seq).gateways;
                assert!(seq == 0 || news.len() <= changes, "seed {seed}: {} of {changes}", news.len());
                told += news.len();
                for (gateway, here) in news {
                    match here {
                        true => known.insert(gateway.ip, gateway.incarnation),
                        false => known.remove(&gateway.ip),
                    };
                }
                (seq, changes) = (catalog.seq(), 0);
                let all: BTreeMap<IpAddr, u64> = catalog.gateways().map(|g| (g.ip, g.incarnation)).collect();
                assert_eq!(known, all, "seed {seed}");
            }
        }
        assert_eq!(catalog.urgent_seq(), urgent);
        assert!(told <= 85 + 100, "{told}");
    }
}

/// What each of two registries told the gateway of its changes so far.
#[derive(Default)]
struct Followed {
    merged: MergedView,
    seqs: [u64; 2],
}

impl Followed {
    fn follow(&mut self, now: Duration, catalogs: &[Catalog; 2]) {
        for (rack, catalog) in catalogs.iter().enumerate() {
            let news = catalog.changes_since(self.seqs[rack]);
            self.seqs[rack] = catalog.seq();
            self.merged.apply_observations(now, rack, 1, news.backends);
        }
        self.merged.tick(now);
    }

    fn serving(&self) -> usize {
        self.merged.ready_counts(["tally"])["tally"]
    }
}

/// Two registries that are cut off from each other for so long, each called by a backend of its own, then joined.
fn two_sides_of_a_cut(cut: Duration) -> (usize, usize) {
    let mut catalogs = [Catalog::new(BEAT), Catalog::new(BEAT)];
    let mut gateway = Followed::default();
    let (mut fewest, mut calls) = (usize::MAX, 0);
    let end = cut + BEAT * 8;
    for step in 0..end.as_millis() as u64 / 500 {
        let now = ms(step * 500);
        if step % 3 == 0 {
            calls += 1;
            for (side, id) in ["i-1", "i-2"].into_iter().enumerate() {
                catalogs[side].record_backend(now, instance(id, calls, BackendState::Ready), Duration::ZERO);
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
        fewest = fewest.min(gateway.serving());
    }
    (fewest, gateway.serving())
}

#[test]
fn backends_that_one_side_of_a_cut_does_not_hear_keep_their_work_however_long_it_lasts() {
    for cut in [6, 20, 26, 40, 170, 400] {
        assert_eq!(two_sides_of_a_cut(Duration::from_secs(cut)), (2, 2), "cut for {cut} s");
    }
}

#[test]
fn a_backend_that_was_not_heard_of_for_long_serves_again_once_it_is() {
    for away in [10, 24, 30, 100, 200] {
        let mut catalogs = [Catalog::new(BEAT), Catalog::new(BEAT)];
        let mut gateway = Followed::default();
        catalogs[0].record_backend(ms(0), instance("i-1", 1, BackendState::Ready), Duration::ZERO);
        gateway.follow(ms(0), &catalogs);
        for step in 1..away * 2 {
            catalogs.iter_mut().for_each(|catalog| drop(catalog.tick(ms(step * 500))));
            gateway.follow(ms(step * 500), &catalogs);
        }
        assert_eq!(gateway.serving(), 0, "away for {away} s");
        let back = ms(away * 1_000);
        catalogs[1].record_backend(back, instance("i-1", 2, BackendState::Ready), Duration::ZERO);
        gateway.follow(back, &catalogs);
        assert_eq!(gateway.serving(), 1, "away for {away} s");
    }
}

/// A registry is cut off from the others and from this gateway, but not from a backend, which goes on calling it alone.
#[test]
fn a_backend_that_a_registry_heard_which_was_away_serves_again_once_that_one_answers() {
    for away in [8, 24, 30, 100, 300] {
        let (mut near, mut far) = (Catalog::new(BEAT), Catalog::new(BEAT));
        let mut gateway = Followed::default();
        for catalog in [&mut near, &mut far] {
            catalog.record_backend(ms(0), instance("i-1", 1, BackendState::Ready), Duration::ZERO);
        }
        let both = [near, far];
        gateway.follow(ms(0), &both);
        assert_eq!(gateway.serving(), 1);
        let [mut near, mut far] = both;
        let mut changes = Vec::new();
        for step in 1..away * 2 {
            let now = ms(step * 500);
            if step % 3 == 0 {
                far.record_backend(now, instance("i-1", 1 + step, BackendState::Ready), Duration::ZERO);
            }
            drop((near.tick(now), far.tick(now)));
            let news = near.changes_since(gateway.seqs[0]);
            gateway.seqs[0] = near.seq();
            changes.extend(gateway.merged.apply_observations(now, 0, 1, news.backends));
            changes.extend(gateway.merged.tick(now));
        }
        // It answers again, with nothing new; then the others hear the backend, too.
        let back = ms(away * 1_000);
        changes.extend(gateway.merged.apply_observations(
            back,
            1,
            1,
            far.changes_since(gateway.seqs[1]).backends,
        ));
        changes.extend(gateway.merged.tick(back));
        for (heard, ago) in far.backends_heard_within(back, Duration::MAX) {
            near.record_backend(back, heard, ms(ago));
        }
        changes.extend(gateway.merged.apply_observations(
            back,
            0,
            1,
            near.changes_since(gateway.seqs[0]).backends,
        ));
        changes.extend(gateway.merged.tick(back + ms(500)));
        // What whoever sends requests was told last.
        let last = changes.last().map_or(Liveness::Alive, |change| change.liveness);
        assert_eq!(last, Liveness::Alive, "away for {away} s: {changes:?}");
        assert_eq!(gateway.serving(), 1, "away for {away} s");
    }
}

#[test]
fn a_backend_that_only_an_absent_registry_knows_serves_again_once_that_one_answers() {
    let mut gateway = MergedView::default();
    gateway.apply_observations(ms(0), 0, 1, told(instance("i-1", 1, BackendState::Ready)));
    gateway.apply_observations(ms(0), 1, 1, Vec::new());
    let serving = |gateway: &MergedView| gateway.ready_counts(["tally"])["tally"];
    let mut last = None;
    for step in 1..800 {
        gateway.apply_observations(ms(500 * step), 1, 1, Vec::new());
        last = gateway.tick(ms(500 * step)).pop().or(last);
    }
    assert_eq!((last.map(|change| change.liveness), serving(&gateway)), (Some(Liveness::Lost), 0));
    // It has nothing new to tell.
    let changes = gateway.apply_observations(ms(400_000), 0, 1, Vec::new());
    assert_eq!(changes.into_iter().map(|change| change.liveness).collect::<Vec<_>>(), []);
    let changes = gateway.tick(ms(400_500));
    assert_eq!(changes.into_iter().map(|change| change.liveness).collect::<Vec<_>>(), [Liveness::Alive]);
    assert_eq!(serving(&gateway), 1);
}

#[test]
fn a_backend_that_all_had_lost_is_not_taken_for_alive_where_all_registries_begin_anew() {
    let mut gateway = MergedView::default();
    let lost = Observation { instance: instance("i-1", 1, BackendState::Ready), liveness: Liveness::Lost };
    let mut changes = gateway.apply_observations(ms(0), 0, 1, told(instance("i-1", 1, BackendState::Ready)));
    (0..50).for_each(|step| assert_eq!(gateway.tick(ms(500 * step)), []));
    changes.extend(gateway.apply_observations(ms(25_000), 0, 1, vec![lost]));
    (50..60).for_each(|step| assert_eq!(gateway.tick(ms(500 * step)), []));
    assert_eq!(changes.last().map(|change| change.liveness), Some(Liveness::Lost));
    // Nobody knows it any more, and nobody has heard it.
    let mut later = gateway.apply_observations(ms(30_000), 0, 2, Vec::new());
    for step in 60..120 {
        later.extend(gateway.tick(ms(500 * step)));
        assert_eq!(gateway.ready_counts(["tally"])["tally"], 0, "in step {step}");
    }
    assert_eq!(later, []);
}
