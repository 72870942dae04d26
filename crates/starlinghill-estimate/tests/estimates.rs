//! Estimates in small simulations: a counter of limited capacity, servers in and out of overload.

use starlinghill_estimate::counter_sampling::CounterSampling;
use starlinghill_estimate::server_capacity::ServerCapacity;
use starlinghill_estimate::throttle::Throttle;
use starlinghill_estimate::MIN_SHARE;
use starlinghill_rate_limit::Micros;

fn ms(n: u64) -> Micros {
    Micros(n * 1_000)
}

/// The time limit of a call.
const LIMIT: Micros = Micros(80_000);

/// Simulates gateways that call a counter, which answers `capacity` calls a second and queues the rest.
/// Returns the mean share of requests that call at the end, and the share of calls that failed in the last
/// second.
fn simulate_counter(gateways: u32, per_gateway: u32, capacity: f64, seconds: u64, seed: u64) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut all: Vec<CounterSampling> = (0..gateways).map(|_| CounterSampling::new(gateways)).collect();
    let (mut queue, mut last) = (0.0_f64, (0, 0));
    for tick in 0..seconds * 100 {
        let now = ms(tick * 10);
        queue = (queue - capacity * 0.01).max(0.0);
        for asking in &mut all {
            let asks = rng.f64() < f64::from(per_gateway) / 100.0 && rng.f64() < asking.call_probability(1.0);
            if !asks {
                continue;
            }
            queue += 1.0;
            let took = Micros(2_000 + (queue / capacity * 1e6) as u64);
            let fails = took > LIMIT;
            match fails {
                true => asking.call_overloaded(now, now + LIMIT),
                false => asking.call_answered(took, LIMIT, false),
            }
            if tick + 100 > seconds * 100 {
                last = (last.0 + 1, last.1 + u32::from(fails));
            }
        }
    }
    let share = all.iter().map(|a| a.call_probability(1.0)).sum::<f64>() / f64::from(gateways);
    (share, f64::from(last.1) / f64::from(last.0.max(1)))
}

#[test]
fn gateways_converge_to_the_call_rate_that_the_counter_can_answer() {
    for seed in 0..10 {
        // 100 gateways, 3,000 requests a second, a counter of 600 calls.
        let (share, failed) = simulate_counter(100, 30, 600.0, 40, seed);
        println!("seed {seed}: share {share:.3}, failed {failed:.3}");
        assert!((0.1..0.3).contains(&share), "seed {seed}: {share}");
        assert!(failed < 0.2, "seed {seed}: {failed}");
        // A counter that can answer all calls gets nearly all.
        let (share, failed) = simulate_counter(100, 30, 30_000.0, 40, seed);
        assert!(share > 0.9 && failed == 0.0, "seed {seed}: {share}, {failed}");
    }
}

#[test]
fn one_cut_covers_all_pending_calls_and_the_share_never_falls_below_the_minimum() {
    let mut asking = CounterSampling::default();
    for _ in 0..50 {
        asking.call_overloaded(ms(0), ms(80));
    }
    // The first cut comes after all of these calls were made.
    let once = asking.call_probability(1.0);
    assert!((0.7..0.9).contains(&once), "{once}");
    for i in 1..200 {
        asking.call_overloaded(ms(100 * i), ms(100 * i + 80));
    }
    assert!((asking.call_probability(1.0) - MIN_SHARE).abs() < 1e-9);
    assert!(!asking.has_spare_capacity());
    asking.call_answered(ms(2), LIMIT, true);
    assert!(asking.call_probability(1.0) >= 0.5, "an answered probe raises the share");
}

#[test]
fn a_counter_that_is_always_slow_gets_all_calls() {
    let mut asking = CounterSampling::default();
    for _ in 0..500 {
        asking.call_answered(ms(60), LIMIT, false);
    }
    assert!(asking.has_spare_capacity());
    // The same time is queueing where the least is far below it.
    let mut queued = CounterSampling::default();
    for i in 0..500 {
        queued.call_answered(ms(if i % 10 == 0 { 2 } else { 60 }), LIMIT, false);
    }
    assert!(!queued.has_spare_capacity(), "{}", queued.call_probability(1.0));
}

/// The share of 1,000 requests a second that is admitted before servers that answer `capacity` of them in
/// time.
fn admitted_share(throttle: &mut Throttle, from: u64, seconds: u64, capacity: f64, seed: u64) -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut admitted = 0;
    for i in 0..seconds * 1_000 {
        let load = 1_000.0 * throttle.pass_share();
        if rng.f64() < throttle.pass_share() {
            admitted += 1;
            throttle.record(ms(from * 1_000 + i), load <= capacity || rng.f64() < capacity / load);
        }
    }
    f64::from(admitted) / (seconds * 1_000) as f64
}

#[test]
fn in_overload_little_more_is_admitted_than_comes_back_and_all_is_admitted_afterwards() {
    for seed in 0..20 {
        let mut throttle = Throttle::default();
        assert_eq!(admitted_share(&mut throttle, 0, 10, 1e9, seed), 1.0, "all is admitted without overload");
        admitted_share(&mut throttle, 10, 20, 400.0, seed);
        let part = admitted_share(&mut throttle, 30, 10, 400.0, seed);
        assert!((0.4..0.75).contains(&part), "seed {seed}: {part}");
        admitted_share(&mut throttle, 40, 20, 1e9, seed);
        let after = admitted_share(&mut throttle, 60, 5, 1e9, seed);
        assert!(after > 0.99, "seed {seed}: {after}");
        // With no answer in time a few requests are still sent, or the end of the overload would not be seen.
        admitted_share(&mut throttle, 65, 60, 0.0, seed);
        assert!(
            throttle.pass_share() >= MIN_SHARE && throttle.pass_share() < 0.1,
            "seed {seed}: {}",
            throttle.pass_share()
        );
    }
}

#[test]
fn the_measured_capacity_is_kept_while_nearly_all_servers_are_cold_and_is_never_zero() {
    let mut borne = ServerCapacity::default();
    for i in 0..100 {
        borne.per_weight(ms(500 * i), 120.0, (12.0, 12.0), 0.1);
    }
    assert!((borne.rate() - 10.0).abs() < 0.5, "{}", borne.rate());
    // With all but one server cold, the falling load says nothing about their capacity.
    let cold = borne.per_weight(ms(60_000), 12.0, (1.0, 12.0), 0.1);
    assert!(cold > 9.0, "{cold}");
    assert_eq!(ServerCapacity::from_previous(7.0).per_weight(ms(0), 0.0, (0.0, 12.0), 0.1), 7.0);
    assert_eq!(ServerCapacity::default().per_weight(ms(0), 0.0, (0.0, 12.0), 0.1), 0.1);
}
