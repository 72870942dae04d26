//! Runs every scenario of `starlinghill_testkit::outage` against fleets of real gateways. Prints for each scenario what was
//! sent, the worst overshoot of a customer's allowance and what was wrongly refused; `--studios` adds a line for each
//! customer, `--messages` lets gateways exchange messages about quotas.
//!
//! `cargo run --release -p starlinghill-testkit --example outage [PROGRAM [SEEDS [AT_ONCE]]] [--messages] [--studios]`

use starlinghill_testkit::outage::{run_scenario, scenarios, Outcome};
use std::sync::Arc;
use tokio::sync::Semaphore;

/// Customers of each scenario.
const CUSTOMERS: usize = 8;

#[tokio::main(flavor = "multi_thread")]
async fn main() {
    let arguments: Vec<String> =
        std::env::args().skip(1).filter(|argument| !argument.starts_with("--")).collect();
    let program = arguments.first().cloned().unwrap_or("target/release/starlinghill".into());
    let number =
        |index: usize, default: usize| arguments.get(index).map_or(default, |w| w.parse().expect("a number"));
    let (seeds, at_once) = (number(1, 1), number(2, 4));
    let flag = |name: &str| std::env::args().any(|argument| argument == name);
    let (by_customer, messages) = (flag("--studios"), flag("--messages"));
    let permits = Arc::new(Semaphore::new(at_once));
    let mut running = tokio::task::JoinSet::new();
    for (n, scenario) in scenarios(seeds as u64).into_iter().enumerate() {
        let (permits, program) = (permits.clone(), program.clone());
        running.spawn(async move {
            let _permit = permits.acquire_owned().await;
            let outcomes = run_scenario(&program, &scenario, CUSTOMERS, messages).await;
            (n, scenario, outcomes)
        });
    }
    let mut all = Vec::new();
    while let Some(one) = running.join_next().await {
        all.push(one.expect("the scenario runs to its end"));
    }
    all.sort_by_key(|(n, ..)| *n);
    println!("| scenario | seed | sent of oracle % | worst overshoot % | beyond quota % | refused with room % | past the ceiling |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let percent = |part: f64, of: f64| 100.0 * part / of.max(1e-9);
    let (mut sums, mut worst_overshoot, mut worst_excess) = ([0.0; 5], 0.0f64, 0.0f64);
    for (_, scenario, outcomes) in &all {
        let sum = |amount: fn(&Outcome) -> f64| outcomes.iter().map(amount).sum::<f64>();
        let overshoot = outcomes.iter().map(Outcome::overshoot).fold(0.0, f64::max);
        let excess = outcomes.iter().map(|o| o.ceiling_excess).fold(0.0, f64::max);
        let row = [
            sum(|o| o.sent),
            sum(|o| o.ideal),
            sum(|o| o.over_quota),
            sum(|o| o.wrongly_refused),
            sum(|o| o.requested),
        ];
        sums.iter_mut().zip(row).for_each(|(sum, x)| *sum += x);
        (worst_overshoot, worst_excess) = (worst_overshoot.max(overshoot), worst_excess.max(excess));
        println!(
            "| {} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {excess:.1} |",
            scenario.name,
            scenario.seed,
            percent(row[0], row[1]),
            100.0 * overshoot,
            percent(row[2], row[0]),
            percent(row[3], row[4])
        );
        for o in outcomes.iter().filter(|_| by_customer) {
            println!(
                "|   studio {} ({}, asks {:.1} x) | allowance {:.0} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} |",
                o.customer,
                o.plan.name,
                o.demand,
                o.allowance,
                percent(o.sent, o.ideal),
                100.0 * o.overshoot(),
                percent(o.over_quota, o.sent),
                percent(o.wrongly_refused, o.requested),
                o.ceiling_excess
            );
        }
    }
    println!(
        "together: {:.1}% of what an oracle sends, {:.2}% beyond quota, {:.2}% refused with room; worst overshoot {:.1}%, past the ceiling {worst_excess:.1}",
        percent(sums[0], sums[1]),
        percent(sums[2], sums[0]),
        percent(sums[3], sums[4]),
        100.0 * worst_overshoot
    );
}
