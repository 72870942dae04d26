//! Tests that the stub counter has the failures that other tests rely on.

use starlinghill_testkit::counter::{Counter, Mode, Totals};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const CALL_TIME: Duration = Duration::from_millis(1);

/// Makes one call on a new connection. Returns status and body, or `None` if there is no answer within the
/// time.
async fn add(counter: &Counter, name: &str, amount: f64, within: Duration) -> Option<(u16, String)> {
    timeout(within, async {
        let mut stream = TcpStream::connect(counter.address).await.ok()?;
        let text = format!("POST /v1/count/{name}?add={amount}&ttl_ms=30000 HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        let (head, body) = answer.split_once("\r\n\r\n")?;
        Some((head.split(' ').nth(1)?.parse().ok()?, body.to_string()))
    })
    .await
    .ok()
    .flatten()
}

async fn total(counter: &Counter, name: &str, amount: f64) -> f64 {
    let (status, body) = add(counter, name, amount, CALL_TIMEOUT).await.expect("answered");
    assert_eq!(status, 200);
    body.parse().expect("a number")
}

#[tokio::test]
async fn it_adds_by_name_and_answers_404_without_a_name() {
    let counter = Counter::start(2, CALL_TIME).await;
    assert_eq!(total(&counter, "a", 2.5).await, 2.5);
    assert_eq!(total(&counter, "b", 1.0).await, 1.0);
    assert_eq!(total(&counter, "a", -0.5).await, 2.0);
    assert_eq!(add(&counter, "", 1.0, CALL_TIMEOUT).await.map(|a| a.0), Some(404));
    assert_eq!(counter.counted_calls().len(), 3);
}

#[tokio::test]
async fn it_refuses_connections_and_keeps_its_counts() {
    let counter = Counter::start(1, CALL_TIME).await;
    total(&counter, "a", 1.0).await;
    counter.set_mode(Mode::Refuse);
    let end = Instant::now() + CALL_TIMEOUT;
    while add(&counter, "a", 1.0, CALL_TIMEOUT).await.is_some() {
        assert!(Instant::now() < end, "the counter never refuses");
    }
    counter.set_mode(Mode::Normal);
    let mut back = None;
    while back.is_none() {
        assert!(Instant::now() < end, "the counter never accepts calls again");
        back = add(&counter, "a", 0.0, CALL_TIMEOUT).await;
    }
    let counted: f64 = counter.counted_calls().iter().map(|c| c.amount).sum();
    assert_eq!(back, Some((200, counted.to_string())), "the total is what was counted");
}

#[tokio::test]
async fn a_stalled_call_is_counted_and_answered_late() {
    let counter = Counter::start(1, CALL_TIME).await;
    counter.set_mode(Mode::Stall);
    assert_eq!(add(&counter, "a", 3.0, Duration::from_millis(100)).await, None);
    assert_eq!(counter.snapshot().total("a"), 3.0);
    counter.set_mode(Mode::Normal);
    assert_eq!(total(&counter, "a", 1.0).await, 4.0);
}

#[tokio::test]
async fn a_rejected_call_adds_nothing_and_a_call_with_a_broken_answer_is_counted() {
    let counter = Counter::start(1, CALL_TIME).await;
    counter.set_mode(Mode::Unavailable);
    assert_eq!(add(&counter, "a", 3.0, CALL_TIMEOUT).await.map(|a| a.0), Some(503));
    assert_eq!(counter.snapshot().total("a"), 0.0);
    counter.set_mode(Mode::CorruptAnswers(3));
    let mut spoilt = 0;
    for _ in 0..6 {
        let (status, body) = add(&counter, "a", 1.0, CALL_TIMEOUT).await.expect("answered");
        assert_eq!(status, 200);
        spoilt += u32::from(body.parse::<f64>().is_err());
    }
    assert_eq!((spoilt, counter.snapshot().total("a")), (2, 6.0));
}

#[tokio::test]
async fn load_on_one_name_delays_only_names_of_the_same_partition() {
    let counter = Counter::start(2, Duration::from_millis(30)).await;
    let hot = async {
        let calls = (0..20).map(|_| add(&counter, "a", 1.0, CALL_TIMEOUT));
        for call in calls.collect::<Vec<_>>() {
            call.await;
        }
        Instant::now()
    };
    let cool = async {
        // "b" belongs to the other partition.
        total(&counter, "b", 1.0).await;
        Instant::now()
    };
    let (hot, cool) = tokio::join!(hot, cool);
    assert!(cool < hot, "the other partition was delayed");
}

#[tokio::test]
async fn its_totals_can_be_merged_replaced_by_an_older_copy_or_emptied() {
    let (one, two) = (Counter::start(1, CALL_TIME).await, Counter::start(1, CALL_TIME).await);
    total(&one, "a", 5.0).await;
    let before = one.snapshot();
    two.replace(before.clone());
    total(&one, "a", 2.0).await;
    total(&two, "a", 4.0).await;
    total(&two, "b", 1.0).await;
    one.replace(one.snapshot().merged(&two.snapshot(), &before));
    assert_eq!((one.snapshot().total("a"), one.snapshot().total("b")), (11.0, 1.0));
    one.replace(before);
    assert_eq!(total(&one, "a", 0.0).await, 5.0, "the older copy is not in force");
    one.replace(Totals::default());
    assert_eq!(total(&one, "a", 1.0).await, 1.0, "the counter was not emptied");
    assert_eq!(
        one.counted_calls().iter().map(|c| c.amount).sum::<f64>(),
        8.0,
        "the record of counted calls is not complete"
    );
}
