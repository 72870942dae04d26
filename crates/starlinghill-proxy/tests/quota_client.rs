//! A gateway's line to the counter, against one that a test plays over a socket.

use starlinghill_catalog::UnknownBackends;
use starlinghill_decision::api::{CountName, Micros, Outcome, ServerId, ServiceId};
use starlinghill_gateway::counter::CounterTransport;
use starlinghill_gateway::inbox::CounterResult;
use starlinghill_proxy::quota_client::{Counter, DrawCounts, PATIENCE};
use starlinghill_proxy::registry_client::nowhere;
use starlinghill_quota_counter::{BackendOffer, Draw, QuotaLevel};
use starlinghill_registry::wire::{RegistryRequest, RegistryResponse};
use starlinghill_runtime::essential_tasks::EssentialTasks;
use starlinghill_runtime::frame::{self, Reader};
use starlinghill_runtime::net::tcp;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, Instant};

const NAME: CountName = CountName(5);
const TERM: u64 = 3;
const SERVICE: ServiceId = ServiceId(9);

/// A counter's answer to the so many-th draw after so many recalls.
type Plays = fn(draws: &[Draw], recalls: u32, nth: u32) -> RegistryResponse;

fn levels(draws: &[Draw], level: f64) -> RegistryResponse {
    RegistryResponse::Levels(
        draws.iter().map(|_| QuotaLevel { level, share: 1.0, rooms: Vec::new() }).collect(),
        1,
    )
}

/// How draws end for so long, and over how many connections.
fn drawn(plays: Plays, long: Duration) -> (Vec<Outcome>, u32) {
    let played = counted(plays, long, Duration::ZERO, None);
    (played.ends.into_iter().map(|counted| counted.outcome).collect(), played.connections)
}

/// What came of a played counter.
struct Played {
    ends: Vec<CounterResult>,
    connections: u32,
    counts: DrawCounts,
}

/// The same with all that came, where each answer takes `delay`, for requests of a service of which the counter does not
/// know those.
fn counted(plays: Plays, long: Duration, delay: Duration, unknown: Option<UnknownBackends>) -> Played {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let connections = Rc::new(Cell::new(0));
        let opened = connections.clone();
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                opened.set(opened.get() + 1);
                let (mut reader, mut recalls, mut nth) = (Reader::default(), 0, 0);
                while let Ok(Some(question)) = reader.read::<RegistryRequest>(&mut stream).await {
                    let answer = match question {
                        RegistryRequest::Recall { .. } => {
                            recalls += 1;
                            RegistryResponse::Noted
                        }
                        RegistryRequest::Count { draws, .. } if draws.is_empty() => levels(&draws, 0.0),
                        RegistryRequest::Count { draws, .. } => {
                            sleep(delay).await;
                            nth += 1;
                            plays(&draws, recalls, nth)
                        }
                        _ => break,
                    };
                    if frame::write(&mut stream, &answer).await.is_err() {
                        break;
                    }
                }
            }
        });
        let (holder, held) = nowhere();
        let counter = Counter::start(tcp(), 7, held, &EssentialTasks::default());
        counter.quotas.borrow_mut().insert(NAME.0, (10.0, 10.0));
        counter.unknown.borrow_mut().extend(unknown.map(|unknown| (SERVICE.0, unknown)));
        holder.send_replace(Some((TERM, address)));
        let (until, mut ends) = (Instant::now() + long, Vec::new());
        while Instant::now() < until {
            if counter.is_reached() {
                let draw = counter.clone().draw(NAME, 1.0, (SERVICE, Micros(0)));
                ends.push(draw.await);
            }
            sleep(Duration::from_millis(20)).await;
        }
        sleep(delay).await;
        Played { ends, connections: connections.get(), counts: counter.draw_counts() }
    })
}

#[test]
fn a_counter_that_forgot_this_gateway_is_told_again_on_the_same_connection() {
    let forgets: Plays = |draws, recalls, _| match recalls {
        0 | 1 => RegistryResponse::NotMine(TERM),
        _ => levels(draws, 5.0),
    };
    let (ends, connections) = drawn(forgets, Duration::from_millis(700));
    assert_eq!((ends.first(), ends.last()), (Some(&Outcome::Full), Some(&Outcome::Ok)), "{ends:?}");
    assert_eq!(connections, 1);
}

#[test]
fn an_answer_that_does_not_fit_its_question_ends_the_connection_and_tells_nobody_anything() {
    for wrong in [
        (|_, _, nth| if nth == 2 { levels(&[], 9.0) } else { RegistryResponse::NotMine(TERM) }) as Plays,
        |_, _, nth| if nth == 2 { RegistryResponse::Noted } else { RegistryResponse::NotMine(TERM) },
        |_, _, nth| if nth == 2 { RegistryResponse::Unknown } else { RegistryResponse::NotMine(TERM) },
    ] {
        let (ends, connections) = drawn(wrong, Duration::from_millis(900));
        assert!(ends.contains(&Outcome::Reset) && !ends.contains(&Outcome::Ok), "{ends:?}");
        assert!(connections > 1, "{connections}");
    }
}

#[test]
fn answers_that_come_after_the_request_was_decided_are_counted_by_what_the_store_gave() {
    let by_turns: Plays = |draws, _, nth| levels(draws, if nth % 2 == 0 { 5.0 } else { -0.5 });
    let played = counted(by_turns, Duration::from_millis(600), PATIENCE * 2, None);
    assert!(played.ends.iter().all(|counted| counted.outcome == Outcome::Timeout), "{:?}", played.ends);
    let DrawCounts { asked, granted, refused, late_granted, late_refused, failed, .. } = played.counts;
    assert_eq!((granted, refused, failed), (0, 0, 0));
    assert!(
        late_granted > 0 && late_refused > 0 && late_granted + late_refused <= asked,
        "{:?}",
        played.counts
    );
}

#[test]
fn backends_that_the_counter_does_not_know_get_their_part() {
    let names_one: Plays = |draws, _, _| {
        let rooms = vec![BackendOffer { backend: 1, takes_ms: 900 }];
        RegistryResponse::Levels(
            draws.iter().map(|_| QuotaLevel { level: 5.0, share: 1.0, rooms: rooms.clone() }).collect(),
            1,
        )
    };
    let named = |part| {
        let unknown = UnknownBackends { part, backends: vec![7, 8, 9, 10] };
        let played = counted(names_one, Duration::from_millis(1_500), Duration::ZERO, Some(unknown));
        let first: Vec<_> =
            played.ends.iter().filter_map(|counted| counted.fastest_servers.first().copied()).collect();
        assert!(first.len() > 20, "{}", first.len());
        let beside = first.iter().filter(|(id, takes)| *id != ServerId(1) && *takes == Micros(0)).count();
        beside as f64 / first.len() as f64
    };
    assert_eq!((named(0.0), named(1.0)), (0.0, 1.0));
    let half = named(0.5);
    assert!((0.2..0.8).contains(&half), "{half}");
}

/// A registry that does not hold the count yet, called in vain ten times, and then does: what a gateway used meanwhile is paid
/// by its share for the time that passed, and for that once.
#[tokio::test(flavor = "current_thread")]
async fn time_in_which_a_counter_was_called_in_vain_pays_debts_once() {
    const IN_VAIN: u32 = 10;
    let (rate, charged) = (40.0, 30.0);
    let play = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (holder, held) = nowhere();
        let counter = Counter::start(tcp(), 7, held, &EssentialTasks::default());
        counter.quotas.borrow_mut().insert(NAME.0, (rate, rate));
        let begun = Instant::now();
        counter.charge(NAME, charged);
        holder.send_replace(Some((TERM, listener.local_addr().expect("bound"))));
        for _ in 0..IN_VAIN {
            let (mut stream, _) = listener.accept().await.expect("a call");
            let asked = Reader::default().read::<RegistryRequest>(&mut stream).await;
            assert!(matches!(asked, Ok(Some(RegistryRequest::Recall { .. }))));
            frame::write(&mut stream, &RegistryResponse::NotMine(TERM)).await.expect("answered");
        }
        let (mut stream, _) = listener.accept().await.expect("a call");
        let reached = Instant::now();
        let mut reader = Reader::default();
        let asked = reader.read::<RegistryRequest>(&mut stream).await;
        assert!(matches!(asked, Ok(Some(RegistryRequest::Recall { .. }))));
        frame::write(&mut stream, &RegistryResponse::Noted).await.expect("answered");
        let Ok(Some(RegistryRequest::Count { draws, .. })) =
            reader.read::<RegistryRequest>(&mut stream).await
        else {
            panic!("debts are told first");
        };
        let owed: f64 = draws.iter().map(|draw| draw.owed).sum();
        // Of a tenant of which it was told nothing it uses a quarter of its even part: all gateways are this one.
        let paid = rate / 4.0 * (reached - begun).as_secs_f64();
        assert!((owed - (charged - paid)).abs() < 1.0, "{owed} is owed, {paid} was paid");
    };
    tokio::task::LocalSet::new().run_until(play).await;
}
