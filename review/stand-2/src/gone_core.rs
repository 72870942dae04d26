//! An edge machine is cut off from the core for less than 10 s. Meanwhile the three core machines are replaced one after the
//! other, each once the machine before it is back and synced. Later, in calm times, the configuration changes.

use crate::net::wait_for;
use crate::system::{ask, change, customer, names, route, Backend, Deployment, Record, System};
use crate::Verdict;
use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

const SYNC_TIME: f64 = 4.0;
const CONTACT: f64 = 3.0;
const APPLY: f64 = 2.5;
/// The longest `node_cut` in the site file, in seconds.
const LONGEST_CUT: f64 = 10.0;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let mut system = System::start(record, Deployment::Small, 4, 6);
    system.controls();
    let work = Duration::from_millis(40);
    let backends: Vec<Backend> = (1..=3)
        .map(|i| Backend::start(&system, i, "tablebook", work))
        .chain((4..=6).map(|i| Backend::start(&system, i, "prizepay", work)))
        .collect();
    let first = change(
        &[customer("hall", 7, &["key-old"]), customer("studio", 7, &["key-kept"])],
        &[
            route("r-read", 7, "safe", "/read/", "tablebook"),
            route("r-moved", 7, "mutating", "/moved/", "tablebook"),
            route("r-dropped", 7, "mutating", "/dropped/", "tablebook"),
        ],
        &["tablebook", "prizepay"],
        "",
    );
    if system.order("the first configuration", &first).map(|(status, _)| status) != Some(200) {
        return Verdict::CouldNotRun;
    }
    if !system.wait_until_ready() {
        record.line("not all edge machines became ready");
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(4));
    for edge in &system.edges {
        let (_, answer) =
            ask(&system, edge, ("GET", "/read/before"), Some("key-old"), &format!("before-{}", edge.name));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(format!("before: {} answers {status}", edge.name));
        if status != 200 {
            return Verdict::CouldNotRun;
        }
    }
    let cut_at = record.seconds();
    if trouble {
        if !replace_core(&mut system, record) {
            return Verdict::CouldNotRun;
        }
    } else {
        thread::sleep(Duration::from_secs(10));
    }
    // In touch: `contact` after the cut has healed and after the last start of a core machine. Twice that is waited.
    thread::sleep(Duration::from_secs_f64(2.0 * CONTACT));
    if trouble {
        // The platform tells the machine the seeds of today, which lag 3 s at most, and says so by SIGHUP.
        let seeds: Vec<String> = system.cores.iter().map(|core| core.ip.clone()).collect();
        let cut_one = system.edges.last().expect("an edge machine");
        cut_one.set_seeds(&seeds);
        cut_one.hang_up();
        record.line(format!("{}: settings file names the present core, SIGHUP", cut_one.name));
        thread::sleep(Duration::from_secs(3));
    }
    record.line(format!("calm for {:.1} s since the cut", record.seconds() - cut_at));
    let second = change(
        &[customer("hall", 9, &["key-new"])],
        &[route("r-moved", 9, "mutating", "/moved/", "prizepay")],
        &[],
        r#""routes":[{"name":"r-dropped","version":"r9"}]"#,
    );
    let Some((200, acknowledged)) =
        system.order("key-old and r-dropped are dropped, r-moved goes to prizepay", &second)
    else {
        return Verdict::CouldNotRun;
    };
    // Requests sent later than `apply` past the acknowledgement; half a second more is given.
    thread::sleep(Duration::from_secs_f64(APPLY + 0.5));
    let (mut broken, until, mut number) = (0, Instant::now() + Duration::from_secs(10), 0);
    let mut by_edge = vec![(0, 0); system.edges.len()];
    let mut answers = vec![BTreeMap::new(); system.edges.len()];
    while Instant::now() < until {
        number += 1;
        for (i, edge) in system.edges.iter().enumerate() {
            let tries = [
                ("GET", "/read/after", "key-old", "key dropped"),
                ("POST", "/dropped/after", "key-kept", "route dropped"),
                ("POST", "/moved/after", "key-kept", "route moved"),
            ];
            for (method, path, key, what) in tries {
                let attempt =
                    format!("{}-{number}-{}", edge.name, path.split('/').nth(1).unwrap_or_default());
                let (sent, answer) = ask(&system, edge, (method, path), Some(key), &attempt);
                let status = answer.as_ref().map_or(0, |answer| answer.status());
                let ran: Vec<&Backend> = backends
                    .iter()
                    .filter(|backend| backend.runs().iter().any(|run| run.attempt == attempt))
                    .collect();
                let services = names(ran.iter().map(|backend| backend.service.as_str()));
                // Only an older version allows these: any run for a dropped key or route, the old service for a moved one.
                let is_old = match what {
                    "route moved" => services.contains("tablebook"),
                    _ => !ran.is_empty(),
                };
                by_edge[i].0 += 1;
                *answers[i].entry((what, status, services.clone())).or_insert(0) += 1;
                if is_old {
                    by_edge[i].1 += 1;
                    broken += 1;
                    if by_edge[i].1 <= 6 {
                        record.line(format!(
                            "{what}: {attempt} sent {:.1} s past the acknowledgement, answered {status}, run by {services}",
                            sent - acknowledged
                        ));
                    }
                }
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    for (edge, (asked, old)) in system.edges.iter().zip(&by_edge) {
        record
            .line(format!("{}: {asked} requests, {old} handled as only an older version allows", edge.name));
    }
    for (edge, answers) in system.edges.iter().zip(&answers) {
        for ((what, status, services), count) in answers {
            record.line(format!("{}, {what}: answered {status}, run by [{services}]: {count}", edge.name));
        }
    }
    let cut_one = system.edges.last().expect("an edge machine");
    record.line(format!("{} still answers 200 at /api/ready: {}", cut_one.name, cut_one.is_ready()));
    for line in cut_one.log_lines("workbench", &["event=members", "event=rack_silent", "event=settings_read"])
    {
        record.line(format!("{}: {line}", cut_one.name));
    }
    if system.cores.iter_mut().chain(&mut system.edges).any(|machine| machine.has_ended()) {
        record.line("a process of the system has ended by itself");
    }
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Cuts the last edge machine off, replaces all three core machines one after the other, and heals the cut.
fn replace_core(system: &mut System, record: &Record) -> bool {
    let cut_at = record.seconds();
    system.links.set_cut(true);
    record.line("edge-4 is cut off from all core machines");
    thread::sleep(Duration::from_millis(300));
    let mut back_at = f64::MIN;
    for old in 1..=3 {
        // A machine counts as lost until `sync_time` after it is back, and one loss is to be borne at a time.
        let wait = back_at + SYNC_TIME - record.seconds();
        if wait > 0.0 {
            thread::sleep(Duration::from_secs_f64(wait));
        }
        let position =
            system.cores.iter().position(|core| core.name == format!("core-{old}")).expect("it stands");
        let mut gone = system.cores.remove(position);
        gone.kill();
        record.line(format!("{} is gone for good", gone.name));
        // The seeds lag: they still name the machine that has just gone.
        let seeds: Vec<usize> = match old {
            1 => vec![1, 2, 3],
            2 => vec![2, 3, 4],
            _ => vec![3, 4, 5],
        };
        thread::sleep(Duration::from_millis(300));
        let mut new = system.core(old + 3, &seeds, false);
        new.start();
        back_at = record.seconds();
        record.line(format!("{} starts at another address with an empty disk", new.name));
        system.cores.push(new);
        if old == 3 {
            // No longer than the pages have it.
            system.links.set_cut(false);
            let lasted = record.seconds() - cut_at;
            record.line(format!("the cut heals after {lasted:.1} s"));
            if lasted > LONGEST_CUT {
                return false;
            }
        }
        system.update_controls();
        let voter = system.cores.last().expect("it was pushed");
        if !wait_for(Duration::from_secs(8), || voter.log_has("patternbook", "event=voter_back")) {
            record.line(format!("{} did not become a voter", voter.name));
            return false;
        }
        record.line(format!(
            "{} is a voter, {:.1} s after its start",
            voter.name,
            record.seconds() - back_at
        ));
    }
    true
}
