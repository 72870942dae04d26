//! The view of the fleet against what a gateway does with the same news.
mod common;
use common::*;
use starlinghill_decision::api::*;
use starlinghill_decision::{FleetView, Health};

fn view(servers: u32) -> FleetView {
    let mut view = FleetView::new(7, settings()).expect("valid settings");
    let entries = (0..servers).map(|i| entry(i, Listed::InService, None)).collect();
    view.update_list(Micros(1_000 * S), ListScope::Complete, entries);
    view
}

fn health(view: &mut FleetView, now: u64, server: u64) -> Health {
    let statuses = view.statuses(Micros(now));
    statuses.iter().find(|f| f.server == ServerId(server)).expect("listed").health
}

#[test]
fn failures_eject_a_server_as_at_a_gateway_and_a_success_ends_the_trial() {
    let (mut view, mut now) = (view(3), 1_000 * S);
    let target = Micros(800 * MS);
    for _ in 0..4 {
        now += 10 * MS;
        view.attempt_ended(Micros(now), ServerId(1), Outcome::Error, Micros(MS), target);
        (0..8).for_each(|_| view.attempt_ended(Micros(now), ServerId(2), Outcome::Ok, Micros(MS), target));
    }
    let Health::Ejected(until) = health(&mut view, now, 1) else { panic!("four failures in a row eject") };
    assert!(until.0 > now && until.0 < now + 2 * S, "about a second at first");
    assert_eq!(health(&mut view, until.0, 1), Health::OnTrial);
    view.attempt_ended(until, ServerId(1), Outcome::Ok, Micros(MS), target);
    assert_eq!(health(&mut view, until.0, 1), Health::Healthy);
    assert_eq!(health(&mut view, now, 2), Health::Healthy);
}

#[test]
fn a_failed_list_changes_nothing_and_a_complete_list_may_be_empty() {
    let mut view = view(3);
    view.update_list(Micros(1_001 * S), ListScope::Failed, Vec::new());
    assert_eq!(view.statuses(Micros(1_001 * S)).len(), 3);
    view.update_list(Micros(1_002 * S), ListScope::Changes, vec![entry(1, Listed::Draining, None)]);
    assert_eq!(view.statuses(Micros(1_002 * S)).len(), 2);
    view.update_list(Micros(1_003 * S), ListScope::Complete, Vec::new());
    assert!(view.statuses(Micros(1_003 * S)).is_empty());
}

#[test]
fn a_cold_server_warms_up_as_the_settings_say() {
    let mut view = view(1);
    view.update_list(
        Micros(1_000 * S),
        ListScope::Changes,
        vec![entry(5, Listed::InService, Some(1_000 * S))],
    );
    let cold = |view: &mut FleetView, now| {
        view.statuses(Micros(now)).iter().find(|f| f.server == ServerId(5)).expect("listed").cold_since
    };
    assert_eq!(cold(&mut view, 1_001 * S), Some(Micros(1_000 * S)));
    assert_eq!(cold(&mut view, 1_011 * S), None, "warm after ten seconds");
    assert!((view.warm_part(Micros(0)) - 0.2).abs() < 1e-9);
    assert!((view.warm_part(Micros(5 * S)) - 0.6).abs() < 1e-9);
    assert_eq!(view.warm_part(Micros(10 * S)), 1.0);
}
