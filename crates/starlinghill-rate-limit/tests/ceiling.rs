//! A hard ceiling over many gateways that use their own parts and turns, with answers that are late or lost.

use starlinghill_rate_limit::ceiling::{CeilingSplit, TurnUnits};
use starlinghill_rate_limit::{Micros, Quota};
use std::collections::BTreeMap;

/// The longest time that a call takes.
const CALL_TIME: Micros = Micros(80_000);
/// The time of the last request, in microseconds.
const END_US: u64 = 12_000_000;

struct Gateway {
    /// The level of the gateway's own part in units, and its time in microseconds.
    level: f64,
    at: u64,
    turns: TurnUnits,
}

/// A call in transit: its gateway, turn, amount, the request's units, and the counter's total (`None`: the
/// answer is lost).
type Call = (usize, u64, f64, f64, Option<f64>);

/// A request: its time in microseconds, gateway and units.
type Request = (u64, usize, f64);

/// Random requests, unevenly distributed over gateways, sometimes many at once.
fn random_requests(rate: f64, largest: f64, gateways: usize, rng: &mut fastrand::Rng) -> Vec<Request> {
    let skew = rng.f64() * 3.0;
    let mean_gap = 1e6 * largest / (rate * (0.5 + 4.0 * rng.f64()));
    let (mut now, mut all) = (0, Vec::new());
    loop {
        now += (-(1.0 - rng.f64()).ln() * mean_gap) as u64 + 1;
        if now >= END_US {
            return all;
        }
        for _ in 0..if rng.u32(..200) == 0 { rng.usize(1..200) } else { 1 } {
            let gateway = (rng.f64().powf(1.0 + skew) * gateways as f64) as usize;
            all.push((now, gateway, (rng.f64() * largest).ceil().max(1.0).min(largest)));
        }
    }
}

/// The worst case: after a pause in which every part fills up, each gateway gets far more requests than the
/// ceiling allows, from just before the end of a turn until just after it.
fn flood(split: &CeilingSplit, largest: f64, gateways: usize) -> Vec<Request> {
    let edge = (END_US / 2 / split.turn.0 + 1) * split.turn.0;
    let per_gateway = (2.0 * split.units / largest / gateways as f64 + split.depth / largest) as usize + 2;
    let waves = [edge - 90_000, edge - 5_000, edge + 1_000, edge + 90_000];
    let at_all_gateways =
        |at| (0..gateways).flat_map(move |g| (0..per_gateway).map(move |_| (at, g, largest)));
    waves.into_iter().flat_map(at_all_gateways).collect()
}

/// Simulates the requests. Returns the time and units of each admitted one.
fn admitted(
    ceiling: Quota,
    split: &CeilingSplit,
    requests: Vec<Request>,
    gateways: usize,
    seed: u64,
) -> Vec<(u64, f64)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let new = || Gateway { level: split.depth, at: 0, turns: TurnUnits::default() };
    let mut all: Vec<Gateway> = (0..gateways).map(|_| new()).collect();
    let mut counter: BTreeMap<u64, f64> = BTreeMap::new();
    let mut calls: BTreeMap<(u64, u64), Call> = BTreeMap::new();
    let mut admitted = Vec::new();
    let mut serial = 0;
    let end = requests.last().map_or(0, |(at, ..)| at + CALL_TIME.0);
    for (now, i, units) in requests.into_iter().chain([(end, 0, 0.0)]) {
        while let Some(entry) = calls.first_entry().filter(|e| e.key().0 <= now) {
            let ((at, _), (i, turn, amount, units, total)) = entry.remove_entry();
            match total {
                Some(total)
                    if all[i].turns.call_answered(split, Micros(at), turn, (amount, units), total)
                        >= units =>
                {
                    admitted.push((at, units));
                }
                Some(_) => {}
                None => all[i].turns.mark_spent(turn),
            }
        }
        let g = &mut all[i];
        g.level = (g.level + split.rate * (now - g.at) as f64 / 1e6).min(split.depth);
        g.at = now;
        if g.level >= units {
            g.level -= units;
            admitted.push((now, units));
            continue;
        }
        let (turn, left) = split.turn_at(Micros(now));
        if g.turns.take(turn, units) {
            admitted.push((now, units));
            continue;
        }
        if g.turns.is_spent(turn) || units > split.units {
            continue;
        }
        let amount = split.call_amount(units, ceiling.rate / gateways as f64, left);
        let total = counter.entry(turn).or_default();
        *total += amount;
        let answer = (rng.u32(..20) > 0).then_some(*total);
        serial += 1;
        calls.insert((now + rng.u64(..CALL_TIME.0), serial), (i, turn, amount, units, answer));
    }
    admitted.sort_by_key(|(at, _)| *at);
    admitted
}

/// By how many units the admitted requests exceeded the ceiling at most, over any time span.
fn excess(admitted: &[(u64, f64)], ceiling: Quota) -> f64 {
    // A token bucket that starts full and may go below zero: the ceiling is kept if it never does.
    let (mut level, mut at, mut worst) = (ceiling.burst, 0, 0.0_f64);
    for &(when, units) in admitted {
        level = (level + ceiling.rate * (when - at) as f64 / 1e6).min(ceiling.burst) - units;
        at = when;
        worst = worst.max(-level);
    }
    worst
}

#[test]
fn own_parts_and_turns_together_stay_within_the_ceiling_whatever_the_requests() {
    let mut used = (0.0, 0.0);
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let largest = f64::from(rng.u32(1..=6));
        let rate = 10.0 + 190.0 * rng.f64();
        let ceiling = Quota { rate, burst: rate * (0.5 + 3.0 * rng.f64()) + largest };
        let gateways = rng.usize(1..=100);
        let split = CeilingSplit::of(ceiling, largest, CALL_TIME, gateways as f64);
        let requests = random_requests(rate, largest, gateways, &mut rng);
        let random = admitted(ceiling, &split, requests, gateways, seed);
        let flood = admitted(ceiling, &split, flood(&split, largest, gateways), gateways, seed);
        for (load, admitted) in [("random requests", &random), ("a flood", &flood)] {
            let over = excess(admitted, ceiling);
            let setup = format!("{ceiling:?}, {gateways} gateways, requests of at most {largest} units");
            assert!(over <= 1e-6, "seed {seed}, {load}: {over} units beyond the ceiling; {setup}");
        }
        used.0 += random.iter().map(|(_, units)| units).sum::<f64>();
        used.1 += ceiling.rate * END_US as f64 / 1e6;
    }
    println!("{:.2} of the ceilings' rates were used", used.0 / used.1);
    assert!(used.0 > 0.4 * used.1, "the check means little if hardly anything is admitted: {used:?}");
}

#[test]
fn a_turn_never_gives_more_units_than_it_has() {
    let ceiling = Quota { rate: 25.0, burst: 59.0 };
    let split = CeilingSplit::of(ceiling, 2.0, CALL_TIME, 10.0);
    assert!(split.units > 0.0);
    let (mut total, mut received) = (0.0, 0.0);
    for _ in 0..20 {
        total += 3.0;
        received += TurnUnits::default().call_answered(&split, Micros(0), 0, (3.0, 2.0), total);
    }
    assert!((received - split.units).abs() < 1e-9, "{received} of {}", split.units);
    let mut turns = TurnUnits::default();
    turns.call_answered(&split, Micros(0), 0, (3.0, 2.0), 3.0);
    assert!(turns.take(0, 1.0) && !turns.take(0, 1.0), "what the request left can be used once");
    turns.call_answered(&split, Micros(0), 0, (3.0, 2.0), 3.0);
    assert!(!turns.take(1, 1.0), "units of a turn can't be used in the next one");
}
