//! The client of the quota counter, against a simulated counter behind a socket.

use starlinghill_catalog::UnknownBackends;
use starlinghill_decision::api::{CountName, Micros, Outcome, ServerId, ServiceId};
use starlinghill_gateway::counter::CounterTransport;
use starlinghill_gateway::inbox::CounterResult;
use starlinghill_proxy::quota_client::{CounterClient, DrawCounts, DRAW_TIMEOUT};
use starlinghill_proxy::registry_client::no_holder;
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

/// Returns the simulated counter's answer to the `nth` message with draws after `recalls` recalls.
type AnswerDraws = fn(draws: &[Draw], recalls: u32, nth: u32) -> RegistryResponse;

fn levels(draws: &[Draw], level: f64) -> RegistryResponse {
    RegistryResponse::Levels(
        draws.iter().map(|_| QuotaLevel { level, share: 1.0, offers: Vec::new() }).collect(),
        1,
    )
}

/// Draws repeatedly for the given time; returns the outcomes and the number of connections.
fn draw_repeatedly(answer_draws: AnswerDraws, duration: Duration) -> (Vec<Outcome>, u32) {
    let observed = run_counter(answer_draws, duration, Duration::ZERO, None);
    (observed.results.into_iter().map(|result| result.outcome).collect(), observed.connections)
}

/// What was seen with a simulated counter.
struct Observed {
    results: Vec<CounterResult>,
    connections: u32,
    counts: DrawCounts,
}

/// Draws repeatedly for the given time. Each answer takes `delay`. `unknown` are the backends of the service that the
/// counter doesn't know.
fn run_counter(
    answer_draws: AnswerDraws,
    duration: Duration,
    delay: Duration,
    unknown: Option<UnknownBackends>,
) -> Observed {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let connections = Rc::new(Cell::new(0));
        let connection_count = connections.clone();
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                connection_count.set(connection_count.get() + 1);
                let (mut reader, mut recalls, mut nth) = (Reader::default(), 0, 0);
                while let Ok(Some(message)) = reader.read::<RegistryRequest>(&mut stream).await {
                    let answer = match message {
                        RegistryRequest::Recall { .. } => {
                            recalls += 1;
                            RegistryResponse::Acknowledged
                        }
                        RegistryRequest::Draw { draws, .. } if draws.is_empty() => levels(&draws, 0.0),
                        RegistryRequest::Draw { draws, .. } => {
                            sleep(delay).await;
                            nth += 1;
                            answer_draws(&draws, recalls, nth)
                        }
                        _ => break,
                    };
                    if frame::write(&mut stream, &answer).await.is_err() {
                        break;
                    }
                }
            }
        });
        let (holder, holder_updates) = no_holder();
        let counter = CounterClient::start(tcp(), 7, holder_updates, &EssentialTasks::default());
        counter.quotas.borrow_mut().insert(NAME.0, (10.0, 10.0));
        counter.unknown.borrow_mut().extend(unknown.map(|unknown| (SERVICE.0, unknown)));
        holder.send_replace(Some((TERM, address)));
        let (until, mut results) = (Instant::now() + duration, Vec::new());
        while Instant::now() < until {
            if counter.is_available() {
                let draw = counter.clone().draw(NAME, 1.0, (SERVICE, Micros(0)));
                results.push(draw.await);
            }
            sleep(Duration::from_millis(20)).await;
        }
        sleep(delay).await;
        Observed { results, connections: connections.get(), counts: counter.draw_counts() }
    })
}

#[test]
fn a_counter_that_forgot_this_gateway_gets_a_recall_on_the_same_connection() {
    let forgets: AnswerDraws = |draws, recalls, _| match recalls {
        0 | 1 => RegistryResponse::NotHolder(TERM),
        _ => levels(draws, 5.0),
    };
    let (results, connections) = draw_repeatedly(forgets, Duration::from_millis(700));
    assert_eq!(
        (results.first(), results.last()),
        (Some(&Outcome::Rejected), Some(&Outcome::Ok)),
        "{results:?}"
    );
    assert_eq!(connections, 1);
}

#[test]
fn an_answer_that_does_not_fit_its_message_closes_the_connection_and_is_passed_to_no_draw() {
    for bad_answers in [
        (|_, _, nth| if nth == 2 { levels(&[], 9.0) } else { RegistryResponse::NotHolder(TERM) })
            as AnswerDraws,
        |_, _, nth| if nth == 2 { RegistryResponse::Acknowledged } else { RegistryResponse::NotHolder(TERM) },
        |_, _, nth| {
            if nth == 2 {
                RegistryResponse::UnknownBackend
            } else {
                RegistryResponse::NotHolder(TERM)
            }
        },
    ] {
        let (results, connections) = draw_repeatedly(bad_answers, Duration::from_millis(900));
        assert!(results.contains(&Outcome::Reset) && !results.contains(&Outcome::Ok), "{results:?}");
        assert!(connections > 1, "{connections}");
    }
}

#[test]
fn late_answers_are_counted_by_whether_the_counter_granted_the_draw() {
    let alternating: AnswerDraws = |draws, _, nth| levels(draws, if nth % 2 == 0 { 5.0 } else { -0.5 });
    let observed = run_counter(alternating, Duration::from_millis(600), DRAW_TIMEOUT * 2, None);
    assert!(
        observed.results.iter().all(|result| result.outcome == Outcome::Timeout),
        "{:?}",
        observed.results
    );
    let DrawCounts { asked, granted, refused, late_granted, late_refused, failed, .. } = observed.counts;
    assert_eq!((granted, refused, failed), (0, 0, 0));
    assert!(
        late_granted > 0 && late_refused > 0 && late_granted + late_refused <= asked,
        "{:?}",
        observed.counts
    );
}

#[test]
fn backends_that_the_counter_does_not_know_get_their_part_of_the_requests() {
    let offers_one: AnswerDraws = |draws, _, _| {
        let offers = vec![BackendOffer { backend: 1, expected_response_ms: 900 }];
        RegistryResponse::Levels(
            draws.iter().map(|_| QuotaLevel { level: 5.0, share: 1.0, offers: offers.clone() }).collect(),
            1,
        )
    };
    let part_of_unknown = |part| {
        let unknown = UnknownBackends { capacity_fraction: part, backends: vec![7, 8, 9, 10] };
        let observed = run_counter(offers_one, Duration::from_millis(1_500), Duration::ZERO, Some(unknown));
        let first: Vec<_> =
            observed.results.iter().filter_map(|result| result.fastest_servers.first().copied()).collect();
        assert!(first.len() > 20, "{}", first.len());
        let to_unknown = first.iter().filter(|(id, takes)| *id != ServerId(1) && *takes == Micros(0)).count();
        to_unknown as f64 / first.len() as f64
    };
    assert_eq!((part_of_unknown(0.0), part_of_unknown(1.0)), (0.0, 1.0));
    let half = part_of_unknown(0.5);
    assert!((0.2..0.8).contains(&half), "{half}");
}

/// A registry that doesn't hold the counter yet is called ten times without success, then holds it. Meanwhile the
/// gateway's share of the quota pays off its debt, and must do so only once: a client that result that time at each
/// attempt would lose debts.
#[tokio::test(flavor = "current_thread")]
async fn time_spent_on_failed_calls_to_a_counter_pays_off_debts_once() {
    const FAILED_CALLS: u32 = 10;
    let (rate, charged) = (40.0, 30.0);
    let scenario = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (holder, holder_updates) = no_holder();
        let counter = CounterClient::start(tcp(), 7, holder_updates, &EssentialTasks::default());
        counter.quotas.borrow_mut().insert(NAME.0, (rate, rate));
        let started = Instant::now();
        counter.charge(NAME, charged);
        holder.send_replace(Some((TERM, listener.local_addr().expect("bound"))));
        for _ in 0..FAILED_CALLS {
            let (mut stream, _) = listener.accept().await.expect("a call");
            let asked = Reader::default().read::<RegistryRequest>(&mut stream).await;
            assert!(matches!(asked, Ok(Some(RegistryRequest::Recall { .. }))));
            frame::write(&mut stream, &RegistryResponse::NotHolder(TERM)).await.expect("answered");
        }
        let (mut stream, _) = listener.accept().await.expect("a call");
        let reached = Instant::now();
        let mut reader = Reader::default();
        let asked = reader.read::<RegistryRequest>(&mut stream).await;
        assert!(matches!(asked, Ok(Some(RegistryRequest::Recall { .. }))));
        frame::write(&mut stream, &RegistryResponse::Acknowledged).await.expect("answered");
        let Ok(Some(RegistryRequest::Draw { draws, .. })) = reader.read::<RegistryRequest>(&mut stream).await
        else {
            panic!("debts are reported first");
        };
        let owed: f64 = draws.iter().map(|draw| draw.unreported).sum();
        // A gateway that doesn't know its share of a tenant's quota yet uses a quarter of an even part; here it is
        // the only gateway.
        let paid = rate / 4.0 * (reached - started).as_secs_f64();
        assert!((owed - (charged - paid)).abs() < 1.0, "owed: {owed}, paid off: {paid}");
    };
    tokio::task::LocalSet::new().run_until(scenario).await;
}
