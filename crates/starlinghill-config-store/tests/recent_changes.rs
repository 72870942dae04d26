//! Whoever is told only what changed has all that stands.

use starlinghill_config_model::{Item, ItemKind, ItemSet, VersionHistory};
use starlinghill_config_store::recent_changes::RecentChanges;
use starlinghill_config_store::wire::Value;
use starlinghill_consensus::Ballot;
use std::collections::BTreeMap;

fn item(name: u64, version: u64) -> Item {
    let (kind, name, host) = (ItemKind::Limits, format!("n-{name:03}"), String::new());
    Item { kind, name, version, host, body: None, history: VersionHistory::default() }
}

/// A registry: the ballot that it has, and its items.
#[derive(Default)]
struct Follower {
    have: Ballot,
    book: ItemSet,
}

#[test]
fn followers_that_are_told_differences_have_all_that_stands() {
    let (mut sent, mut whole) = (0, 0);
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let (mut recent, mut now) = (RecentChanges::default(), (Ballot::default(), Value::new()));
        let mut items = BTreeMap::new();
        let mut followers: Vec<Follower> = (0..3).map(|_| Follower::default()).collect();
        for round in 1..=600 {
            // A ballot brings a change of some items, or nothing, as when what was half done is settled.
            for _ in 0..random.usize(0..4) {
                let name = random.u64(0..30);
                items.insert(name, item(name, round));
            }
            let ballot = Ballot { round: now.0.round + random.u64(1..4), by: random.u32(..) };
            let next = (ballot, items.values().cloned().collect::<Value>());
            recent.learn((now.0, &now.1), (next.0, &next.1));
            now = next;
            assert!(recent.held() <= now.1.len(), "seed {seed}: {} items are held", recent.held());
            for (i, follower) in followers.iter_mut().enumerate() {
                // One is nearly always there, one now and then, one begins anew at times.
                if !random.bool() && i == 0 || i == 1 && random.u8(0..40) > 0 {
                    continue;
                }
                if i == 2 && random.u8(0..50) == 0 {
                    *follower = Follower::default();
                }
                let news = recent.between(follower.have, now.0).unwrap_or_else(|| now.1.clone());
                (sent, whole) = (sent + news.len(), whole + now.1.len());
                follower.book.merge(news);
                follower.have = now.0;
                let has: Value = follower.book.items().map(|held| held.item.clone()).collect();
                assert_eq!(has, now.1, "seed {seed}, round {round}, follower {i}");
            }
        }
    }
    assert!(sent * 4 < whole, "{sent} items of {whole} were told");
}

#[test]
fn a_ballot_that_is_not_remembered_gets_no_difference() {
    let ballot = |round| Ballot { round, by: 1 };
    let mut recent = RecentChanges::default();
    let values: Vec<Value> = (1..5).map(|version| vec![item(1, version), item(2, 1)]).collect();
    for (i, pair) in values.windows(2).enumerate() {
        let round = i as u64 + 1;
        recent.learn((ballot(round), &pair[0]), (ballot(round + 1), &pair[1]));
    }
    assert_eq!(recent.between(ballot(3), ballot(4)), Some(vec![item(1, 4)]));
    // Forgotten; never known; newer than what is asked for.
    assert_eq!(recent.between(ballot(1), ballot(4)), None);
    assert_eq!(recent.between(Ballot { round: 3, by: 2 }, ballot(4)), None);
    assert_eq!(recent.between(ballot(4), ballot(3)), None);
}
