//! Real processes under troubles by seed. `SOAK_SEEDS=20` plays more seeds than CI does, `SOAK_FROM=100` others; with
//! `SOAK_STORY=1` each tells what befell.

use starlinghill_testkit::soak::{soak, SoakResult};

/// In CI: two of some seconds, and one with a cut that outlasts what registries wait for.
const IN_CI: [u64; 3] = [0, 1, 4];

#[tokio::test]
async fn a_tenant_keeps_its_quota_while_real_processes_are_killed_and_stopped() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let from = number("SOAK_FROM").unwrap_or_default();
    let seeds = match number("SOAK_SEEDS") {
        Some(count) => (from..from + count).collect(),
        None => IN_CI.to_vec(),
    };
    for seed in seeds {
        let SoakResult { runs, busiest, allowed, least, kept, confirmed, faults, story } = soak(seed).await;
        println!("soak seed={seed} runs={runs} busiest={busiest} allowed={allowed} kept={kept} confirmed={confirmed}");
        if number("SOAK_STORY").is_some() {
            story.iter().for_each(|line| println!("    {line}"));
        }
        assert!(busiest as f64 <= allowed, "seed {seed}: {busiest} of {allowed}: {story:#?}");
        assert!(runs as f64 > least, "seed {seed}: {runs} runs");
        assert!(faults.is_empty(), "seed {seed}: {faults:#?} {story:#?}");
        assert!(
            kept > 100 && confirmed > 5,
            "seed {seed}: {kept} served on kept connections, {confirmed} changes"
        );
    }
}
