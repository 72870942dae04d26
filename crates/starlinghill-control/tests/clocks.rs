//! A group whose members' wall clocks are a minute apart, one of which is set back while it runs. The processes that
//! this test starts are itself again, which runs the operators' program on a clock of its own when it is called
//! like that.

use starlinghill_failover::bounds::Timing;
use starlinghill_failover::Micros;
use starlinghill_failover_client::wall_clock;
use starlinghill_testkit::audit::violations;
use starlinghill_testkit::failover::{Fault, Fleet};
use starlinghill_testkit::group::LIMIT;
use std::process::ExitCode;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// How far members' clocks are from the true one, by number less one, in milliseconds.
const OFF: [i64; 3] = [60_000, -60_000, 0];
/// Set back by this, so long after the process began.
const BACK: i64 = 120_000;
const BACK_AFTER: Duration = Duration::from_secs(4);
/// The steps of the drain.
const STEPS: u32 = 8;
const EVERY: Duration = Duration::from_millis(500);
/// As in the files of the rig's groups.
const FRESH: Duration = Duration::from_millis(1_000);
const SLACK: Duration = Duration::from_millis(1_500);

static BEGUN: OnceLock<Instant> = OnceLock::new();
static MEMBER: OnceLock<usize> = OnceLock::new();

/// The clock of this process.
fn wrong() -> u64 {
    let member = MEMBER.get().copied();
    let off = member.and_then(|m| OFF.get(m)).copied().unwrap_or(30_000);
    let aged = BEGUN.get().is_some_and(|begun| begun.elapsed() > BACK_AFTER);
    let back = if aged && member == Some(0) { BACK } else { 0 };
    wall_clock::system().saturating_add_signed(off - back)
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.first().is_some_and(|word| ["gateway", "group", "why", "zone", "zones"].contains(&word.as_str()))
    {
        BEGUN.get_or_init(Instant::now);
        let member = words.iter().position(|word| word == "--member").and_then(|i| words.get(i + 1));
        if let Some(number) = member.and_then(|number| number.parse::<usize>().ok()) {
            MEMBER.get_or_init(|| number.saturating_sub(1));
        }
        assert!(wall_clock::set(wrong), "before anybody asks");
        return starlinghill_control::program::main();
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let runtime = runtime.expect("a runtime");
    // On a thread of the runtime, where blocking work may be announced.
    runtime.block_on(async { tokio::spawn(ramps_and_ages_go_by_no_wall_clock()).await }).expect("it holds");
    println!("test ramps_and_ages_go_by_no_wall_clock ... ok");
    ExitCode::SUCCESS
}

async fn ramps_and_ages_go_by_no_wall_clock() {
    let program = std::env::current_exe().expect("this program");
    let mut fleet = Fleet::start(&program, &["a", "b", "c"], 3, 8, true).await;
    tokio::task::block_in_place(|| {
        let drain = ["b", "--reason", "a drill", "--step", "12", "--every-ms", "500"];
        let mut orders = vec![fleet.order(&["zone", "drain"], &drain)];
        // Steps are stamped by whoever leads. Leaders change twice, so that two clocks at the least make some.
        let (mut changes, mut stamps) = (0, Vec::new());
        let begun = Instant::now();
        let mut seen = orders[0].position.map_or(0, |(_, epoch)| epoch);
        loop {
            let zones = fleet.group.zones();
            let b = &zones["zones"]["b"];
            let number = |key: &str| b[key].as_u64().unwrap_or(0);
            if number("epoch") > seen {
                seen = number("epoch");
                stamps.push(number("at_ms") as i64 - wall_clock::system() as i64);
                if changes < 2 {
                    changes += 1;
                    let leader = fleet.group.wait_for_leader();
                    fleet.inject(&Fault::StopMember(leader));
                    fleet.group.wait_for_leader();
                    fleet.inject(&Fault::ResumeMembers);
                }
            }
            if b["phase"] == "out" {
                break;
            }
            assert!(begun.elapsed() < LIMIT, "{zones}");
            std::thread::sleep(Duration::from_millis(20));
        }
        let took = begun.elapsed();
        // Each step waits for its time on its leader's own clock; a new leader begins to wait anew.
        assert!(took >= EVERY * (STEPS - 1), "{took:?}: steps came early; {stamps:?}");
        let apart = stamps.iter().max().zip(stamps.iter().min()).map_or(0, |(most, least)| most - least);
        assert!(apart > 30_000, "the clocks that made steps were not apart: {stamps:?}");
        assert!(took < EVERY * STEPS + Duration::from_secs(8), "{took:?}, {stamps:?}");
        let back = ["b", "--reason", "over", "--step", "50", "--every-ms", "500", "--wait", "20"];
        orders.push(fleet.order(&["zone", "return"], &back));
        let zones = fleet.wait_until_all_follow();
        let number = |key: &str| zones["position"][key].as_u64().unwrap_or(0);
        let last = (number("generation"), number("epoch"));
        let found = violations(&orders, &fleet.followed(), last, FRESH, SLACK);
        assert!(found.is_empty(), "{found:#?}");
        assert!(zones["age_ms"].as_u64().is_some_and(|ms| ms < 1_000), "{}", zones["age_ms"]);
        // A group that is gone is gone for as long on every clock.
        fleet.inject(&Fault::KillGroup);
        let away = Instant::now();
        let timing = Timing { stale: Micros(3_000_000), fresh: Micros(1_000_000), ..Timing::default() };
        for gateway in &fleet.gateways {
            let own = gateway.wait_for_log("mode=own sight", LIMIT).at - away;
            let bound = Duration::from_micros(timing.never_older_than().0) + SLACK;
            assert!(own > Duration::from_millis(1_900) && own < bound, "{own:?} of {bound:?}");
        }
    });
}
