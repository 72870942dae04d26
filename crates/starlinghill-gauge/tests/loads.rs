//! What gateways tell of what they have out: words that are lost, come twice, or from gateways that die.

use starlinghill_gauge::Loads;
use std::collections::{BTreeMap, BTreeSet, HashMap};

#[test]
fn each_hears_what_the_others_have_out_however_its_words_come() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut loads = Loads::default();
        let mut out: BTreeMap<u64, HashMap<u64, u16>> = (1..=5).map(|g| (g, HashMap::new())).collect();
        let mut heard: BTreeMap<u64, HashMap<u64, u16>> = BTreeMap::new();
        let mut untold: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
        let mut living: BTreeSet<u64> = (1..=5).collect();
        for _ in 0..400 {
            let gateway = rng.u64(1..=5);
            if !living.contains(&gateway) {
                continue;
            }
            if rng.u8(0..200) == 0 && living.len() > 2 {
                // It dies: what it had out is out no more, as far as anybody knows.
                living.remove(&gateway);
                out.remove(&gateway);
                heard.remove(&gateway);
                loads.keep(&living);
                continue;
            }
            let backend = rng.u64(0..6);
            let own = out.entry(gateway).or_default();
            own.insert(backend, rng.u16(0..4));
            untold.entry(gateway).or_default().insert(backend);
            let words: Vec<(u64, u16)> =
                untold[&gateway].iter().map(|b| (*b, out[&gateway].get(b).copied().unwrap_or(0))).collect();
            if rng.u8(0..4) > 0 {
                loads.tell(gateway, &words);
                untold.remove(&gateway);
                if rng.bool() {
                    loads.tell(gateway, &words);
                }
                heard.entry(gateway).or_default().extend(loads.hear(gateway));
            }
        }
        for (gateway, backends) in &untold {
            let words: Vec<(u64, u16)> =
                backends.iter().filter_map(|b| Some((*b, *out.get(gateway)?.get(b)?))).collect();
            if living.contains(gateway) {
                loads.tell(*gateway, &words);
            }
        }
        for gateway in &living {
            loads.tell(*gateway, &[]);
            heard.entry(*gateway).or_default().extend(loads.hear(*gateway));
            for backend in 0..6 {
                let others: u16 =
                    out.iter().filter(|(g, _)| *g != gateway).filter_map(|(_, own)| own.get(&backend)).sum();
                let known = heard[gateway].get(&backend).copied().unwrap_or(0);
                assert_eq!(known, others, "seed {seed}: backend {backend} at gateway {gateway}");
            }
        }
    }
}

#[test]
fn one_that_told_nothing_hears_nothing_and_nothing_new_is_said_twice() {
    let mut loads = Loads::default();
    loads.tell(1, &[(7, 3)]);
    assert!(loads.hear(2).is_empty());
    loads.tell(2, &[]);
    assert_eq!(loads.hear(2), [(7, 3)]);
    assert!(loads.hear(2).is_empty());
    loads.tell(1, &[(7, 3)]);
    assert!(loads.hear(2).is_empty());
}
