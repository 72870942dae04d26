//! The stand-in counter does what the faults say, so that tests which lean on it mean something.

use starlinghill_testkit::counter::{Counter, Mode, Totals};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const SOON: Duration = Duration::from_secs(10);
const INSTANT: Duration = Duration::from_millis(1);

/// One call on a connection of its own: status and body, or nothing where it was not answered in time.
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
    let (status, body) = add(counter, name, amount, SOON).await.expect("answered");
    assert_eq!(status, 200);
    body.parse().expect("a number")
}

#[tokio::test]
async fn it_adds_by_name_and_knows_no_other_call() {
    let counter = Counter::start(2, INSTANT).await;
    assert_eq!(total(&counter, "a", 2.5).await, 2.5);
    assert_eq!(total(&counter, "b", 1.0).await, 1.0);
    assert_eq!(total(&counter, "a", -0.5).await, 2.0);
    assert_eq!(add(&counter, "", 1.0, SOON).await.map(|a| a.0), Some(404));
    assert_eq!(counter.counted_calls().len(), 3);
}

#[tokio::test]
async fn it_refuses_and_comes_back_with_its_counts() {
    let counter = Counter::start(1, INSTANT).await;
    total(&counter, "a", 1.0).await;
    counter.set_mode(Mode::Refuse);
    let end = Instant::now() + SOON;
    while add(&counter, "a", 1.0, SOON).await.is_some() {
        assert!(Instant::now() < end, "it never refuses");
    }
    counter.set_mode(Mode::Normal);
    let mut back = None;
    while back.is_none() {
        assert!(Instant::now() < end, "it never comes back");
        back = add(&counter, "a", 0.0, SOON).await;
    }
    let counted: f64 = counter.counted_calls().iter().map(|c| c.amount).sum();
    assert_eq!(back, Some((200, counted.to_string())), "all that was counted, and nothing else");
}

#[tokio::test]
async fn a_stalled_call_is_counted_and_answered_late() {
    let counter = Counter::start(1, INSTANT).await;
    counter.set_mode(Mode::Stall);
    assert_eq!(add(&counter, "a", 3.0, Duration::from_millis(100)).await, None);
    assert_eq!(counter.snapshot().total("a"), 3.0);
    counter.set_mode(Mode::Normal);
    assert_eq!(total(&counter, "a", 1.0).await, 4.0);
}

#[tokio::test]
async fn turned_away_adds_nothing_and_spoilt_adds_all_the_same() {
    let counter = Counter::start(1, INSTANT).await;
    counter.set_mode(Mode::Unavailable);
    assert_eq!(add(&counter, "a", 3.0, SOON).await.map(|a| a.0), Some(503));
    assert_eq!(counter.snapshot().total("a"), 0.0);
    counter.set_mode(Mode::CorruptAnswers(3));
    let mut spoilt = 0;
    for _ in 0..6 {
        let (status, body) = add(&counter, "a", 1.0, SOON).await.expect("answered");
        assert_eq!(status, 200);
        spoilt += u32::from(body.parse::<f64>().is_err());
    }
    assert_eq!((spoilt, counter.snapshot().total("a")), (2, 6.0));
}

#[tokio::test]
async fn one_hot_name_jams_its_part_alone() {
    let counter = Counter::start(2, Duration::from_millis(30)).await;
    let hot = async {
        let calls = (0..20).map(|_| add(&counter, "a", 1.0, SOON));
        for call in calls.collect::<Vec<_>>() {
            call.await;
        }
        Instant::now()
    };
    let cool = async {
        // "b" falls to the other part.
        total(&counter, "b", 1.0).await;
        Instant::now()
    };
    let (hot, cool) = tokio::join!(hot, cool);
    assert!(cool < hot, "the other part was not held up");
}

#[tokio::test]
async fn it_is_replaced_by_nothing_by_an_older_copy_and_merged_from_two_halves() {
    let (one, two) = (Counter::start(1, INSTANT).await, Counter::start(1, INSTANT).await);
    total(&one, "a", 5.0).await;
    let before = one.snapshot();
    two.replace(before.clone());
    total(&one, "a", 2.0).await;
    total(&two, "a", 4.0).await;
    total(&two, "b", 1.0).await;
    one.replace(one.snapshot().merged(&two.snapshot(), &before));
    assert_eq!((one.snapshot().total("a"), one.snapshot().total("b")), (11.0, 1.0));
    one.replace(before);
    assert_eq!(total(&one, "a", 0.0).await, 5.0, "an older copy");
    one.replace(Totals::default());
    assert_eq!(total(&one, "a", 1.0).await, 1.0, "an empty one");
    assert_eq!(one.counted_calls().iter().map(|c| c.amount).sum::<f64>(), 8.0, "what was counted is known");
}
