//! Zone shares: each zone gets its share of work, and a zone with a share of zero nothing new, whatever else
//! fails.
mod common;
use common::*;
use starlinghill_decision::api::*;

/// Servers with an even number are in zone 0, which is this gateway's own; the others are in zone 1.
fn entries(servers: u32) -> Vec<ServerEntry> {
    let zoned = |i| ServerEntry { zone: ZoneId(i % 2), ..entry(i, Listed::InService, None) };
    (0..servers).map(zoned).collect()
}

fn rig(seed: u64, gateways: u32, servers: u32) -> Rig {
    let mut rig = Rig::seeded(seed, Settings { gateways, ..settings() }, servers);
    rig.handle(Event::Servers(ListScope::Complete, entries(servers)));
    rig
}

fn set_share(rig: &mut Rig, zone: u32, weight: f64, yields: bool) -> Vec<Action> {
    rig.handle(Event::ZoneShares(vec![(ZoneId(zone), ZoneShare { weight, yields })]))
}

/// The fraction of this many requests that went to zone 1.
fn zone_1_part(rig: &mut Rig, requests: u32) -> f64 {
    let mut in_zone_1 = 0;
    for _ in 0..requests {
        rig.advance(20 * MS);
        let (id, server) = rig.sent(0);
        in_zone_1 += u32::from(server.0 % 2 == 1);
        rig.advance(5 * MS);
        rig.attempt_ended(id, 0, server, Outcome::Ok);
    }
    f64::from(in_zone_1) / f64::from(requests)
}

#[test]
fn a_zone_gets_its_ordered_share_of_work_from_few_or_many_gateways() {
    for (gateways, servers) in [(2, 8), (100, 60)] {
        let mut rig = rig(3, gateways, servers);
        let whole = zone_1_part(&mut rig, 2_000);
        for weight in [0.7, 0.3, 0.1] {
            set_share(&mut rig, 1, weight, false);
            let less = zone_1_part(&mut rig, 2_000);
            // Its share of its former work; the rest goes to the other zone.
            assert!((less - whole * weight).abs() < 0.06, "{gateways} gateways: {weight} of {whole}: {less}");
        }
        set_share(&mut rig, 1, 0.0, false);
        assert_eq!(zone_1_part(&mut rig, 500), 0.0);
        rig.handle(Event::ZoneShares(Vec::new()));
        let again = zone_1_part(&mut rig, 2_000);
        assert!((again - whole).abs() < 0.06, "{gateways} gateways: {whole}, and again {again}");
    }
}

#[test]
fn nothing_is_sent_to_a_zone_with_a_share_of_zero_though_all_others_fail() {
    for gateways in [2, 100] {
        let mut rig = rig(5, gateways, 8);
        set_share(&mut rig, 1, 0.0, false);
        for _ in 0..200 {
            rig.advance(20 * MS);
            let (id, out) = rig.request(0, 3, 1, 1.0);
            let (mut out, mut attempt) = (sends(&out), 0);
            while let Some((_, server)) = out.first().copied() {
                assert_eq!(server.0 % 2, 0, "{gateways} gateways");
                rig.advance(2 * MS);
                out = sends(&rig.attempt_ended(id, attempt, server, Outcome::ConnectFailed));
                attempt += 1;
            }
        }
    }
}

#[test]
fn a_share_that_yields_is_exceeded_only_where_no_other_zone_can_serve() {
    for gateways in [2, 100] {
        let mut rig = rig(5, gateways, 8);
        set_share(&mut rig, 1, 0.0, true);
        assert_eq!(zone_1_part(&mut rig, 200), 0.0, "{gateways} gateways");
        let gone = |i| ServerEntry { listed: Listed::Gone, ..entries(8).remove(i) };
        rig.handle(Event::Servers(ListScope::Changes, [0, 2, 4, 6].map(gone).to_vec()));
        assert_eq!(zone_1_part(&mut rig, 200), 1.0, "{gateways} gateways");
        // Without `yields` no server may be used, and the client is refused.
        set_share(&mut rig, 1, 0.0, false);
        let (_, out) = rig.request(0, 3, 1, 1.0);
        assert!(sends(&out).is_empty());
        let later = (0..40).flat_map(|_| rig.advance(20 * MS)).collect::<Vec<_>>();
        let refused = rig.actions.iter().chain(&later).any(|a| matches!(a, Action::Refuse(..)));
        assert!(refused, "{gateways} gateways: {later:?}");
    }
}

#[test]
fn a_keyed_retry_stays_in_its_group_while_its_zone_drains_and_fails_at_once_when_the_zone_has_no_share() {
    // Class 1 is keyed by cell; here each zone is a cell.
    let zoned = |e: ServerEntry| ServerEntry { cell: CellId(u64::from(e.zone.0)), ..e };
    let keyed = |weight: f64| {
        let (mut retries, mut answers) = (0, 0);
        for seed in 0..100 {
            // Shares are set for this gateway's own zone, where its first attempts go.
            let mut rig = Rig::seeded(seed, Settings { zone: ZoneId(1), ..settings() }, 8);
            rig.handle(Event::Servers(ListScope::Complete, entries(8).into_iter().map(zoned).collect()));
            rig.advance(100 * MS);
            let (id, server) = rig.sent(1);
            if server.0 % 2 == 0 {
                continue;
            }
            set_share(&mut rig, 1, weight, false);
            rig.advance(5 * MS);
            let out = rig.attempt_ended(id, 0, server, Outcome::Reset);
            retries +=
                sends(&out).iter().inspect(|(_, s)| assert_eq!(s.0 % 2, 1, "a server of its group")).count();
            answers += usize::from(failed(&out, id));
        }
        (retries, answers)
    };
    let (retries, _) = keyed(0.05);
    assert!(retries >= 20, "{retries} retries while it drains");
    let (retries, answers) = keyed(0.0);
    assert!(
        retries == 0 && answers >= 20,
        "{retries} retries, {answers} answered at once with a share of zero"
    );
}

#[test]
fn a_share_that_is_not_a_number_changes_nothing() {
    let mut rig = rig(3, 2, 8);
    let whole = zone_1_part(&mut rig, 1_000);
    set_share(&mut rig, 1, f64::NAN, false);
    let same = zone_1_part(&mut rig, 1_000);
    assert!((whole - same).abs() < 0.08, "{whole}, {same}");
}
