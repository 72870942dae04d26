//! Zones by order: each gets its part, and one that is out nothing new, whatever else fails.
mod common;
use common::*;
use starlinghill_decision::api::*;

/// Servers with an even number are in zone 0, this gateway's own, the others in zone 1.
fn entries(servers: u32) -> Vec<ServerEntry> {
    let zoned = |i| ServerEntry { zone: ZoneId(i % 2), ..entry(i, Listed::InService, None) };
    (0..servers).map(zoned).collect()
}

fn rig(seed: u64, gateways: u32, servers: u32) -> Rig {
    let mut rig = Rig::seeded(seed, Settings { gateways, ..settings() }, servers);
    rig.tell(Event::Servers(ListScope::Complete, entries(servers)));
    rig
}

fn order(rig: &mut Rig, zone: u32, weight: f64, yields: bool) -> Vec<Action> {
    rig.tell(Event::ZoneShares(vec![(ZoneId(zone), ZoneShare { weight, yields })]))
}

/// The part of so many requests that went to zone 1.
fn part(rig: &mut Rig, requests: u32) -> f64 {
    let mut there = 0;
    for _ in 0..requests {
        rig.pass(20 * MS);
        let (id, server) = rig.sent(0);
        there += u32::from(server.0 % 2 == 1);
        rig.pass(5 * MS);
        rig.ended(id, 0, server, Outcome::Ok);
    }
    f64::from(there) / f64::from(requests)
}

#[test]
fn a_zone_gets_the_part_of_its_work_that_was_ordered_few_gateways_or_many() {
    for (gateways, servers) in [(2, 8), (100, 60)] {
        let mut rig = rig(3, gateways, servers);
        let whole = part(&mut rig, 2_000);
        for weight in [0.7, 0.3, 0.1] {
            order(&mut rig, 1, weight, false);
            let less = part(&mut rig, 2_000);
            // Of what it had, its part; what is left goes to the other zone.
            assert!((less - whole * weight).abs() < 0.06, "{gateways} gateways: {weight} of {whole}: {less}");
        }
        order(&mut rig, 1, 0.0, false);
        assert_eq!(part(&mut rig, 500), 0.0);
        rig.tell(Event::ZoneShares(Vec::new()));
        let again = part(&mut rig, 2_000);
        assert!((again - whole).abs() < 0.06, "{gateways} gateways: {whole}, and again {again}");
    }
}

#[test]
fn nothing_new_goes_to_a_zone_that_is_out_though_all_others_fail() {
    for gateways in [2, 100] {
        let mut rig = rig(5, gateways, 8);
        order(&mut rig, 1, 0.0, false);
        for _ in 0..200 {
            rig.pass(20 * MS);
            let (id, out) = rig.request(0, 3, 1, 1.0);
            let (mut out, mut attempt) = (sends(&out), 0);
            while let Some((_, server)) = out.first().copied() {
                assert_eq!(server.0 % 2, 0, "{gateways} gateways");
                rig.pass(2 * MS);
                out = sends(&rig.ended(id, attempt, server, Outcome::ConnectFailed));
                attempt += 1;
            }
        }
    }
}

#[test]
fn a_part_that_yields_opens_where_no_other_zone_can_serve_and_only_there() {
    for gateways in [2, 100] {
        let mut rig = rig(5, gateways, 8);
        order(&mut rig, 1, 0.0, true);
        assert_eq!(part(&mut rig, 200), 0.0, "{gateways} gateways");
        let gone = |i| ServerEntry { listed: Listed::Gone, ..entries(8).remove(i) };
        rig.tell(Event::Servers(ListScope::Changes, [0, 2, 4, 6].map(gone).to_vec()));
        assert_eq!(part(&mut rig, 200), 1.0, "{gateways} gateways");
        // The same without yielding: nobody may be asked, and the client hears so.
        order(&mut rig, 1, 0.0, false);
        let (_, out) = rig.request(0, 3, 1, 1.0);
        assert!(sends(&out).is_empty());
        let later = (0..40).flat_map(|_| rig.pass(20 * MS)).collect::<Vec<_>>();
        let refused = rig.done.iter().chain(&later).any(|a| matches!(a, Action::Refuse(..)));
        assert!(refused, "{gateways} gateways: {later:?}");
    }
}

#[test]
fn a_keyed_repeat_stays_with_its_group_while_its_zone_is_drained_and_is_answered_at_once_when_it_is_out() {
    // Class 1 is keyed by cell; each zone is a cell here.
    let zoned = |e: ServerEntry| ServerEntry { cell: CellId(u64::from(e.zone.0)), ..e };
    let keyed = |weight: f64| {
        let (mut repeats, mut answers) = (0, 0);
        for seed in 0..100 {
            // The zone that is ordered about is this gateway's own, where its first attempts go.
            let mut rig = Rig::seeded(seed, Settings { zone: ZoneId(1), ..settings() }, 8);
            rig.tell(Event::Servers(ListScope::Complete, entries(8).into_iter().map(zoned).collect()));
            rig.pass(100 * MS);
            let (id, server) = rig.sent(1);
            if server.0 % 2 == 0 {
                continue;
            }
            order(&mut rig, 1, weight, false);
            rig.pass(5 * MS);
            let out = rig.ended(id, 0, server, Outcome::Reset);
            repeats += sends(&out).iter().inspect(|(_, s)| assert_eq!(s.0 % 2, 1, "its group")).count();
            answers += usize::from(failed(&out, id));
        }
        (repeats, answers)
    };
    let (repeats, _) = keyed(0.05);
    assert!(repeats >= 20, "{repeats} repeats while it drains");
    let (repeats, answers) = keyed(0.0);
    assert!(repeats == 0 && answers >= 20, "{repeats} repeats, {answers} answered at once while it is out");
}

#[test]
fn a_weight_that_is_no_number_changes_nothing() {
    let mut rig = rig(3, 2, 8);
    let whole = part(&mut rig, 1_000);
    order(&mut rig, 1, f64::NAN, false);
    let same = part(&mut rig, 1_000);
    assert!((whole - same).abs() < 0.08, "{whole}, {same}");
}
