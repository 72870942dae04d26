//! Plays every kind of counter trouble against fleets of real gateways and prints, for each scenario, what the worst
//! studio was sent on beyond its allowance and what was refused with room; each studio with `--studios`. With
//! `--messages` gateways may tell each other something.
//! `cargo run --release -p starlinghill-testkit --example outage PROGRAM [seeds] [at once] [--messages] [--studios]`.

use starlinghill_testkit::outage::{play, scenarios, Outcome};
use std::sync::Arc;
use tokio::sync::Semaphore;

const STUDIOS: usize = 8;

#[tokio::main(flavor = "multi_thread")]
async fn main() {
    let words: Vec<String> = std::env::args().skip(1).filter(|word| !word.starts_with("--")).collect();
    let program = words.first().cloned().unwrap_or("target/release/starlinghill".into());
    let number =
        |place: usize, default: usize| words.get(place).map_or(default, |w| w.parse().expect("a number"));
    let (seeds, at_once) = (number(1, 1), number(2, 4));
    let flag = |name: &str| std::env::args().any(|word| word == name);
    let (studios, messages) = (flag("--studios"), flag("--messages"));
    let places = Arc::new(Semaphore::new(at_once));
    let mut running = tokio::task::JoinSet::new();
    for (n, scenario) in scenarios(seeds as u64).into_iter().enumerate() {
        let (places, program) = (places.clone(), program.clone());
        running.spawn(async move {
            let _place = places.acquire_owned().await;
            let outcomes = play(&program, &scenario, STUDIOS, messages).await;
            (n, scenario, outcomes)
        });
    }
    let mut all = Vec::new();
    while let Some(one) = running.join_next().await {
        all.push(one.expect("it is played"));
    }
    all.sort_by_key(|(n, ..)| *n);
    println!("| scenario | seed | sent of oracle % | worst overshoot % | beyond quota % | refused with room % | past the ceiling |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let percent = |part: f64, of: f64| 100.0 * part / of.max(1e-9);
    let (mut sums, mut worst, mut past) = ([0.0; 5], 0.0f64, 0.0f64);
    for (_, scenario, outcomes) in &all {
        let sum = |what: fn(&Outcome) -> f64| outcomes.iter().map(what).sum::<f64>();
        let over = outcomes.iter().map(Outcome::overshoot).fold(0.0, f64::max);
        let ceiling = outcomes.iter().map(|o| o.past_ceiling).fold(0.0, f64::max);
        let row =
            [sum(|o| o.sent), sum(|o| o.oracle), sum(|o| o.beyond), sum(|o| o.refused), sum(|o| o.asked)];
        sums.iter_mut().zip(row).for_each(|(sum, x)| *sum += x);
        (worst, past) = (worst.max(over), past.max(ceiling));
        println!(
            "| {} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {ceiling:.1} |",
            scenario.name,
            scenario.seed,
            percent(row[0], row[1]),
            100.0 * over,
            percent(row[2], row[0]),
            percent(row[3], row[4])
        );
        for o in outcomes.iter().filter(|_| studios) {
            println!(
                "|   studio {} ({}, asks {:.1} x) | allowance {:.0} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} |",
                o.studio,
                o.plan.name,
                o.demand,
                o.allowance,
                percent(o.sent, o.oracle),
                100.0 * o.overshoot(),
                percent(o.beyond, o.sent),
                percent(o.refused, o.asked),
                o.past_ceiling
            );
        }
    }
    println!(
        "together: {:.1}% of what an oracle sends, {:.2}% beyond quota, {:.2}% refused with room; worst overshoot {:.1}%, past the ceiling {past:.1}",
        percent(sums[0], sums[1]),
        percent(sums[2], sums[0]),
        percent(sums[3], sums[4]),
        100.0 * worst
    );
}
