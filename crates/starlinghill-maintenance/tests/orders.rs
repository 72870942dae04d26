//! The book of orders and the list under it, by seeded histories.

use starlinghill_maintenance::{BookError, DiscoveredList, OrderBook, MAX_ID_BYTES, MAX_ORDERS};
use starlinghill_rate_limit::Micros;
use starlinghill_settings::members::{Member, MemberList, Phase};

fn member(id: &str, phase: Phase, up_since_ms: u64) -> Member {
    let host_port = "127.0.0.1:9".parse().expect("an address");
    Member { id: id.into(), host_port, locality: "a".into(), cell: 0, phase, size: 1.0, up_since_ms }
}

fn list(complete: bool, members: Vec<Member>) -> MemberList {
    MemberList { revision: 1, complete, members }
}

#[test]
fn two_calls_out_need_one_call_back() {
    let mut book = OrderBook::default();
    assert_eq!(book.set_order("a", false, Micros(1)), Ok(false), "it is not out");
    assert_eq!(book.set_order("a", true, Micros(2)), Ok(true));
    assert_eq!(book.set_order("a", true, Micros(3)), Ok(false));
    assert!(book.is_out("a") && !book.is_out("b"));
    assert_eq!(book.set_order("a", false, Micros(4)), Ok(true));
    assert!(!book.is_out("a"));
    assert_eq!(book.called_back("a"), Some(Micros(4)));
}

#[test]
fn an_order_counts_also_where_the_clock_went_back() {
    let mut book = OrderBook::default();
    book.set_order("a", true, Micros(1_000)).expect("room");
    let mut other = book.clone();
    other.set_order("a", false, Micros(10)).expect("room");
    assert_eq!(book.merge(&other), ["a"]);
    assert!(!book.is_out("a"));
}

#[test]
fn books_that_meet_in_any_order_become_the_same() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut books = vec![OrderBook::default(); 3];
        for step in 0..40u64 {
            let (at, id) = (rng.usize(0..3), format!("s-{}", rng.u8(0..4)));
            // Clocks that differ by a few steps, and orders at the same moment.
            let now = Micros(step / 2 + rng.u64(0..3));
            books[at].set_order(&id, rng.bool(), now).expect("room");
            if rng.u8(0..4) == 0 {
                let (from, to) = (rng.usize(0..3), rng.usize(0..3));
                let other = books[from].clone();
                books[to].merge(&other);
            }
        }
        let fold = |order: [usize; 3]| {
            let mut all = OrderBook::default();
            order.iter().for_each(|&i| drop(all.merge(&books[i])));
            all
        };
        let one = fold([0, 1, 2]);
        for order in [[0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
            assert_eq!(fold(order), one, "seed {seed}, order {order:?}");
        }
        let mut again = one.clone();
        assert!(again.merge(&one).is_empty(), "seed {seed}: merging twice changes nothing");
        assert_eq!(OrderBook::from_json(&one.to_json()).as_ref(), Ok(&one), "seed {seed}");
    }
}

#[test]
fn a_book_is_bounded_and_forgets_none_that_is_out() {
    let mut book = OrderBook::default();
    for i in 0..MAX_ORDERS {
        book.set_order(&format!("s-{i}"), true, Micros(i as u64)).expect("room");
    }
    assert_eq!(book.set_order("one more", true, Micros(9_999)), Err(BookError::Full));
    book.set_order("s-7", false, Micros(10_000)).expect("held");
    assert_eq!(book.set_order("one more", true, Micros(10_001)), Ok(true), "one called back gives way");
    assert_eq!(book.len(), MAX_ORDERS);
    assert_eq!(book.out().count(), MAX_ORDERS);
    assert_eq!(book.set_order("", true, Micros(1)), Err(BookError::InvalidId(0)));
    let long = "x".repeat(MAX_ID_BYTES + 1);
    assert_eq!(book.set_order(&long, true, Micros(1)), Err(BookError::InvalidId(MAX_ID_BYTES + 1)));
}

#[test]
fn what_is_no_whole_book_is_refused() {
    let mut book = OrderBook::default();
    book.set_order("a", true, Micros(5)).expect("room");
    let text = book.to_json();
    for cut in 0..text.len() {
        assert!(OrderBook::from_json(&text[..cut]).is_err(), "cut at {cut}");
    }
    for bad in [
        "{}",
        "[]",
        "null",
        r#"{"version":2,"orders":{}}"#,
        r#"{"version":1,"orders":{"":{"out":true,"at_us":1}}}"#,
    ] {
        let problem = OrderBook::from_json(bad).expect_err(bad).to_string();
        assert!(!problem.is_empty());
    }
}

#[test]
fn whatever_the_list_says_one_that_is_out_drains() {
    let (mut book, mut roster) = (OrderBook::default(), DiscoveredList::default());
    roster.apply(list(true, vec![member("a", Phase::Ready, 0), member("b", Phase::Ready, 0)]), &book);
    book.set_order("a", true, Micros(7_000_000)).expect("room");
    let told = roster.changes_for(&["a".into()], &book);
    assert_eq!((told.complete, told.members[0].phase), (false, Phase::Draining));
    // Told as ready anew, whole or as a change, with a new start: it stays out.
    for complete in [true, false] {
        let told = roster.apply(list(complete, vec![member("a", Phase::Ready, 8_000)]), &book);
        assert_eq!(told.members[0].phase, Phase::Draining);
    }
    // Gone and back again: still out, as nobody called it back.
    let told = roster.apply(list(false, vec![member("a", Phase::Gone, 0)]), &book);
    assert_eq!(told.members[0].phase, Phase::Gone);
    assert!(!roster.contains("a"));
    let told = roster.apply(list(false, vec![member("a", Phase::Ready, 8_000)]), &book);
    assert_eq!(told.members[0].phase, Phase::Draining);
    book.set_order("a", false, Micros(9_000_000)).expect("held");
    let told = roster.changes_for(&["a".into(), "unknown".into()], &book);
    assert_eq!(told.members.len(), 1);
    assert_eq!(
        (told.members[0].phase, told.members[0].up_since_ms),
        (Phase::Ready, 9_000),
        "it counts as cold"
    );
    // A later start, as the list tells it, counts.
    let told = roster.apply(list(false, vec![member("a", Phase::Ready, 9_500)]), &book);
    assert_eq!(told.members[0].up_since_ms, 9_500);
    // One that drains by the list goes on draining when it is called back.
    let told = roster.apply(list(false, vec![member("a", Phase::Draining, 9_500)]), &book);
    assert_eq!(told.members[0].phase, Phase::Draining);
}
