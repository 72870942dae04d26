//! Soak test of real processes with random faults, by seed. `SOAK_SEEDS=20` runs that many seeds instead of those of
//! CI, `SOAK_FROM=100` sets the first of them, and `SOAK_STORY=1` prints the injected faults of each seed.

use starlinghill_testkit::soak::{soak, SoakResult};

/// Two seeds with 12 s of faults, and one with a cut that outlasts the time after which registries take a backend as
/// lost.
const CI_SEEDS: [u64; 3] = [0, 1, 4];

#[tokio::test]
async fn a_tenant_stays_within_its_quota_while_real_processes_are_killed_and_stopped() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let from = number("SOAK_FROM").unwrap_or_default();
    let seeds = match number("SOAK_SEEDS") {
        Some(count) => (from..from + count).collect(),
        None => CI_SEEDS.to_vec(),
    };
    for seed in seeds {
        let result = soak(seed).await;
        let SoakResult { runs, max_in_window: busiest, allowed_in_window: allowed, min_runs, .. } = result;
        let (kept, confirmed) = (result.keep_alive_served, result.confirmed_changes);
        let (violations, events) = (result.violations, result.events);
        println!("soak seed={seed} runs={runs} busiest={busiest} allowed={allowed} kept={kept} confirmed={confirmed}");
        if number("SOAK_STORY").is_some() {
            events.iter().for_each(|line| println!("    {line}"));
        }
        assert!(
            busiest as f64 <= allowed,
            "seed {seed}: {busiest} runs in one window, {allowed} allowed: {events:#?}"
        );
        assert!(runs as f64 > min_runs, "seed {seed}: {runs} runs, more than {min_runs} expected");
        assert!(violations.is_empty(), "seed {seed}: {violations:#?} {events:#?}");
        assert!(
            kept > 100 && confirmed > 5,
            "seed {seed}: {kept} served on keep-alive connections, {confirmed} changes"
        );
    }
}
