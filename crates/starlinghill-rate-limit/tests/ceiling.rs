//! A hard ceiling over many gateways, by parts and turns, with calls that come late or get lost.

use starlinghill_rate_limit::ceiling::{CeilingSplit, TurnUnits};
use starlinghill_rate_limit::{Micros, Quota};
use std::collections::BTreeMap;

/// How long a call may take.
const LATE: Micros = Micros(80_000);
/// When requests end.
const END: u64 = 12_000_000;

struct Gateway {
    /// The own part: its level, and when that was.
    level: f64,
    at: u64,
    turns: TurnUnits,
}

/// A call under way: its gateway, turn, amount, units, the counter's total; `None`: the answer got lost.
type Call = (usize, u64, f64, f64, Option<f64>);

/// A request: when it comes, to which gateway, of how many units.
type Request = (u64, usize, f64);

/// What comes at random: unevenly over gateways, sometimes much at once.
fn strewn(rate: f64, most: f64, gateways: usize, rng: &mut fastrand::Rng) -> Vec<Request> {
    let skew = rng.f64() * 3.0;
    let mean_gap = 1e6 * most / (rate * (0.5 + 4.0 * rng.f64()));
    let (mut now, mut all) = (0, Vec::new());
    loop {
        now += (-(1.0 - rng.f64()).ln() * mean_gap) as u64 + 1;
        if now >= END {
            return all;
        }
        for _ in 0..if rng.u32(..200) == 0 { rng.usize(1..200) } else { 1 } {
            let gateway = (rng.f64().powf(1.0 + skew) * gateways as f64) as usize;
            all.push((now, gateway, (rng.f64() * most).ceil().max(1.0).min(most)));
        }
    }
}

/// The worst that can come: after a pause in which every part fills up, far more than the ceiling everywhere, from just
/// before the end of a turn on until just after.
fn flooded(split: &CeilingSplit, most: f64, gateways: usize) -> Vec<Request> {
    let edge = (END / 2 / split.turn.0 + 1) * split.turn.0;
    let many = (2.0 * split.units / most / gateways as f64 + split.depth / most) as usize + 2;
    let waves = [edge - 90_000, edge - 5_000, edge + 1_000, edge + 90_000];
    let at_all = |at| (0..gateways).flat_map(move |g| (0..many).map(move |_| (at, g, most)));
    waves.into_iter().flat_map(at_all).collect()
}

/// What gateways let through of what comes: when, and how many units.
fn played(
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
    let mut through = Vec::new();
    let mut serial = 0;
    let end = requests.last().map_or(0, |(at, ..)| at + LATE.0);
    for (now, i, units) in requests.into_iter().chain([(end, 0, 0.0)]) {
        while let Some(entry) = calls.first_entry().filter(|e| e.key().0 <= now) {
            let ((at, _), (i, turn, amount, units, total)) = entry.remove_entry();
            match total {
                Some(total)
                    if all[i].turns.call_answered(split, Micros(at), turn, (amount, units), total)
                        >= units =>
                {
                    through.push((at, units));
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
            through.push((now, units));
            continue;
        }
        let (turn, left) = split.turn_at(Micros(now));
        if g.turns.take(turn, units) {
            through.push((now, units));
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
        calls.insert((now + rng.u64(..LATE.0), serial), (i, turn, amount, units, answer));
    }
    through.sort_by_key(|(at, _)| *at);
    through
}

/// The most by which any span held more than the ceiling lets through.
fn beyond(through: &[(u64, f64)], ceiling: Quota) -> f64 {
    // A bucket that starts full, filled at the rate: the ceiling holds just where it never runs below nothing.
    let (mut level, mut at, mut worst) = (ceiling.burst, 0, 0.0_f64);
    for &(when, units) in through {
        level = (level + ceiling.rate * (when - at) as f64 / 1e6).min(ceiling.burst) - units;
        at = when;
        worst = worst.max(-level);
    }
    worst
}

#[test]
fn parts_and_turns_together_stay_within_the_ceiling_whatever_comes_where_and_when() {
    let mut used = (0.0, 0.0);
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let most = f64::from(rng.u32(1..=6));
        let rate = 10.0 + 190.0 * rng.f64();
        let ceiling = Quota { rate, burst: rate * (0.5 + 3.0 * rng.f64()) + most };
        let gateways = rng.usize(1..=100);
        let split = CeilingSplit::of(ceiling, most, LATE, gateways as f64);
        let requests = strewn(rate, most, gateways, &mut rng);
        let through = played(ceiling, &split, requests, gateways, seed);
        let flood = played(ceiling, &split, flooded(&split, most, gateways), gateways, seed);
        for (what, through) in [("strewn", &through), ("a flood", &flood)] {
            let over = beyond(through, ceiling);
            let all = format!("{ceiling:?}, {gateways} gateways, {most} at most");
            assert!(over <= 1e-6, "seed {seed}, {what}: {over} units beyond {all}");
        }
        used.0 += through.iter().map(|(_, units)| units).sum::<f64>();
        used.1 += ceiling.rate * END as f64 / 1e6;
    }
    println!("{:.2} of the ceilings' rates were used", used.0 / used.1);
    assert!(used.0 > 0.4 * used.1, "ceilings that let nothing through hold as well: {used:?}");
}

#[test]
fn a_turn_gives_no_more_than_it_has_however_many_ask_of_it() {
    let ceiling = Quota { rate: 25.0, burst: 59.0 };
    let split = CeilingSplit::of(ceiling, 2.0, LATE, 10.0);
    assert!(split.units > 0.0);
    let (mut total, mut got) = (0.0, 0.0);
    for _ in 0..20 {
        total += 3.0;
        got += TurnUnits::default().call_answered(&split, Micros(0), 0, (3.0, 2.0), total);
    }
    assert!((got - split.units).abs() < 1e-9, "{got} of {}", split.units);
    let mut turns = TurnUnits::default();
    turns.call_answered(&split, Micros(0), 0, (3.0, 2.0), 3.0);
    assert!(turns.take(0, 1.0) && !turns.take(0, 1.0), "what the request left, once");
    turns.call_answered(&split, Micros(0), 0, (3.0, 2.0), 3.0);
    assert!(!turns.take(1, 1.0), "nothing of a turn goes on into the next");
}
