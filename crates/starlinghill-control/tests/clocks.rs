//! Tests a group whose members' wall clocks are a minute apart and one of which is set back while it runs. Ramps, ages and
//! staleness must depend on monotonic clocks only. The test starts its own binary as child processes; called with a command
//! of the operators' program, the binary runs that program with a false wall clock.

use starlinghill_failover::bounds::Timing;
use starlinghill_failover::Micros;
use starlinghill_failover_client::wall_clock;
use starlinghill_testkit::audit::violations;
use starlinghill_testkit::failover::{Fault, Fleet};
use starlinghill_testkit::group::LIMIT;
use std::process::ExitCode;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The offset of each member's wall clock from the true time in milliseconds; member 1 is the first.
const CLOCK_OFFSETS_MS: [i64; 3] = [60_000, -60_000, 0];
/// The clock of member 1 is set back by this many milliseconds, `SET_BACK_AFTER` its process started.
const SET_BACK_MS: i64 = 120_000;
const SET_BACK_AFTER: Duration = Duration::from_secs(4);
/// The number of steps of the drain, and the time between two of them as in the order's `--every-ms`.
const DRAIN_STEPS: u32 = 8;
const STEP_INTERVAL: Duration = Duration::from_millis(500);
/// `fresh_ms` in the operators' files that the testkit writes.
const FRESH: Duration = Duration::from_millis(1_000);
/// The time allowed for a process to write a log line and for the test to read it, on a busy machine.
const LOG_DELAY: Duration = Duration::from_millis(1_500);

/// When this process started as a child process.
static STARTED: OnceLock<Instant> = OnceLock::new();
/// The member that this process runs, counted from 0; unset for other commands.
static MEMBER: OnceLock<usize> = OnceLock::new();

/// The false wall clock of this process, in milliseconds.
fn false_clock() -> u64 {
    let member = MEMBER.get().copied();
    let offset = member.and_then(|m| CLOCK_OFFSETS_MS.get(m)).copied().unwrap_or(30_000);
    let is_late = STARTED.get().is_some_and(|started| started.elapsed() > SET_BACK_AFTER);
    let set_back = if is_late && member == Some(0) { SET_BACK_MS } else { 0 };
    wall_clock::system().saturating_add_signed(offset - set_back)
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.first().is_some_and(|word| ["gateway", "group", "why", "zone", "zones"].contains(&word.as_str()))
    {
        STARTED.get_or_init(Instant::now);
        let member = words.iter().position(|word| word == "--member").and_then(|i| words.get(i + 1));
        if let Some(number) = member.and_then(|number| number.parse::<usize>().ok()) {
            MEMBER.get_or_init(|| number.saturating_sub(1));
        }
        assert!(wall_clock::set(false_clock), "the clock is set before its first use");
        return starlinghill_control::program::main();
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let runtime = runtime.expect("a runtime");
    // Spawned because `block_in_place` needs a worker thread of the runtime.
    runtime
        .block_on(async { tokio::spawn(ramps_and_ages_do_not_depend_on_wall_clocks()).await })
        .expect("the test passes");
    println!("test ramps_and_ages_do_not_depend_on_wall_clocks ... ok");
    ExitCode::SUCCESS
}

async fn ramps_and_ages_do_not_depend_on_wall_clocks() {
    let program = std::env::current_exe().expect("this program");
    let mut fleet = Fleet::start(&program, &["a", "b", "c"], 3, 8, true).await;
    tokio::task::block_in_place(|| {
        let drain = ["b", "--reason", "a drill", "--step", "12", "--every-ms", "500"];
        let mut orders = vec![fleet.order(&["zone", "drain"], &drain)];
        // Each step carries the leader's wall clock time. The leader changes twice, so that at least two clocks are used.
        let (mut leader_changes, mut stamps) = (0, Vec::new());
        let started = Instant::now();
        let mut seen = orders[0].position.map_or(0, |(_, epoch)| epoch);
        loop {
            let zones = fleet.group.zones();
            let b = &zones["zones"]["b"];
            let number = |key: &str| b[key].as_u64().unwrap_or(0);
            if number("epoch") > seen {
                seen = number("epoch");
                stamps.push(number("at_ms") as i64 - wall_clock::system() as i64);
                if leader_changes < 2 {
                    leader_changes += 1;
                    let leader = fleet.group.wait_for_leader();
                    fleet.inject(&Fault::StopMember(leader));
                    fleet.group.wait_for_leader();
                    fleet.inject(&Fault::ResumeMembers);
                }
            }
            if b["phase"] == "out" {
                break;
            }
            assert!(started.elapsed() < LIMIT, "{zones}");
            std::thread::sleep(Duration::from_millis(20));
        }
        let took = started.elapsed();
        // Each step waits for its interval on the leader's monotonic clock; a new leader waits the full interval again.
        assert!(took >= STEP_INTERVAL * (DRAIN_STEPS - 1), "{took:?}: steps were made too early; {stamps:?}");
        let apart = stamps.iter().max().zip(stamps.iter().min()).map_or(0, |(most, least)| most - least);
        assert!(apart > 30_000, "the steps were not made by different clocks: {stamps:?}");
        assert!(took < STEP_INTERVAL * DRAIN_STEPS + Duration::from_secs(8), "{took:?}, {stamps:?}");
        let back = ["b", "--reason", "over", "--step", "50", "--every-ms", "500", "--wait", "20"];
        orders.push(fleet.order(&["zone", "return"], &back));
        let zones = fleet.wait_until_all_follow();
        let number = |key: &str| zones["position"][key].as_u64().unwrap_or(0);
        let last = (number("generation"), number("epoch"));
        let found = violations(&orders, &fleet.followed(), last, FRESH, LOG_DELAY);
        assert!(found.is_empty(), "{found:#?}");
        assert!(zones["age_ms"].as_u64().is_some_and(|ms| ms < 1_000), "{}", zones["age_ms"]);
        // Gateways give up on the lost group after the same time, whatever their wall clocks say.
        fleet.inject(&Fault::KillGroup);
        let killed = Instant::now();
        let timing =
            Timing { stale_limit: Micros(3_000_000), fresh_limit: Micros(1_000_000), ..Timing::default() };
        for gateway in &fleet.gateways {
            let given_up = gateway.wait_for_log("mode=own sight", LIMIT).at - killed;
            let bound = Duration::from_micros(timing.max_acted_on_age().0) + LOG_DELAY;
            assert!(
                given_up > Duration::from_millis(1_900) && given_up < bound,
                "{given_up:?}, the bound is {bound:?}"
            );
        }
    });
}
