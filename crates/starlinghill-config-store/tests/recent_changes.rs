//! A registry that gets only the changed items ends up with all current items.

use starlinghill_config_model::{Item, ItemKind, ItemSet, VersionHistory};
use starlinghill_config_store::recent_changes::RecentChanges;
use starlinghill_config_store::wire::Value;
use starlinghill_consensus::Ballot;
use std::collections::BTreeMap;

fn item(name: u64, version: u64) -> Item {
    let (kind, name, host) = (ItemKind::Limits, format!("n-{name:03}"), String::new());
    Item { kind, name, version, host, body: None, history: VersionHistory::default() }
}

/// A registry: the ballot of the value that it has, and its items.
#[derive(Default)]
struct Follower {
    have: Ballot,
    items: ItemSet,
}

#[test]
fn followers_that_merge_only_the_changes_have_all_current_items() {
    let (mut sent, mut full) = (0, 0);
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let (mut recent, mut now) = (RecentChanges::default(), (Ballot::default(), Value::new()));
        let mut items = BTreeMap::new();
        let mut followers: Vec<Follower> = (0..3).map(|_| Follower::default()).collect();
        for round in 1..=600 {
            // A ballot changes some items, or none, as when it completes an unfinished round.
            for _ in 0..random.usize(0..4) {
                let name = random.u64(0..30);
                items.insert(name, item(name, round));
            }
            let ballot = Ballot { round: now.0.round + random.u64(1..4), proposer: random.u32(..) };
            let next = (ballot, items.values().cloned().collect::<Value>());
            recent.learn((now.0, &now.1), (next.0, &next.1));
            now = next;
            assert!(
                recent.item_count() <= now.1.len(),
                "seed {seed}: {} items are kept",
                recent.item_count()
            );
            for (i, follower) in followers.iter_mut().enumerate() {
                // Follower 0 polls every second time, follower 1 rarely; follower 2 always, but sometimes restarts.
                if !random.bool() && i == 0 || i == 1 && random.u8(0..40) > 0 {
                    continue;
                }
                if i == 2 && random.u8(0..50) == 0 {
                    *follower = Follower::default();
                }
                let changes = recent.between(follower.have, now.0).unwrap_or_else(|| now.1.clone());
                (sent, full) = (sent + changes.len(), full + now.1.len());
                follower.items.merge(changes);
                follower.have = now.0;
                let has: Value = follower.items.items().map(|held| held.item.clone()).collect();
                assert_eq!(has, now.1, "seed {seed}, round {round}, follower {i}");
            }
        }
    }
    assert!(sent * 4 < full, "{sent} items were sent, {full} without differences");
}

#[test]
fn there_are_no_changes_since_a_ballot_that_is_not_kept() {
    let ballot = |round| Ballot { round, proposer: 1 };
    let mut recent = RecentChanges::default();
    let values: Vec<Value> = (1..5).map(|version| vec![item(1, version), item(2, 1)]).collect();
    for (i, pair) in values.windows(2).enumerate() {
        let round = i as u64 + 1;
        recent.learn((ballot(round), &pair[0]), (ballot(round + 1), &pair[1]));
    }
    assert_eq!(recent.between(ballot(3), ballot(4)), Some(vec![item(1, 4)]));
    // In turn: no longer kept, never known, and newer than the ballot asked for.
    assert_eq!(recent.between(ballot(1), ballot(4)), None);
    assert_eq!(recent.between(Ballot { round: 3, proposer: 2 }, ballot(4)), None);
    assert_eq!(recent.between(ballot(4), ballot(3)), None);
}
