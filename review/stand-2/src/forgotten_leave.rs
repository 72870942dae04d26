//! A backend says that it leaves (`DELETE`) and is acknowledged while one edge machine is cut off from the core. Then all
//! processes of the core are killed at the same moment and come back within a second, and the cut heals.

use crate::net::call;
use crate::system::{change, customer, route, Backend, Deployment, Machine, Record, System};
use crate::Verdict;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CONTACT: f64 = 3.0;
const DRAIN: f64 = 2.5;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let mut system = System::start(record, Deployment::Small, 4, 3);
    system.controls();
    let work = Duration::from_millis(100);
    let backends: Vec<Backend> = (1..=4).map(|i| Backend::start(&system, i, "prizepay", work)).collect();
    let first = change(
        &[customer("studio", 7, &["key-studio"])],
        &[route("r-pay", 7, "mutating", "/pay/", "prizepay")],
        &["prizepay"],
        "",
    );
    if system.order("the first configuration", &first).map(|(status, _)| status) != Some(200)
        || !system.wait_until_ready()
    {
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(5));
    let fronts: Vec<_> = system.edges.iter().map(Machine::front).collect();
    // Clients: four at each edge machine, one request after the other.
    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let mut clients = Vec::new();
    for (i, front) in fronts.into_iter().enumerate() {
        for n in 0..4 {
            let (stop, answers, record) = (stop.clone(), answers.clone(), record.clone());
            clients.push(thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let attempt = format!("edge-{}-{n}-{number}", i + 1);
                    let headers = [
                        ("Host", "play.example"),
                        ("Attempt-Id", attempt.as_str()),
                        ("Time-Left", "2000"),
                        ("Authorization", "Bearer key-studio"),
                    ];
                    let sent = record.seconds();
                    let answer = call(front, "POST", "/pay/out", &headers, "", Duration::from_millis(2300));
                    let status = answer.map_or(0, |answer| answer.status());
                    answers.lock().expect("no panic").push((attempt, sent, status));
                    thread::sleep(Duration::from_millis(30));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(2));
    let leaving = &backends[0];
    let cut_at = record.seconds();
    if trouble {
        system.links.set_cut(true);
        record.line("edge-4 is cut off from all core machines");
    }
    thread::sleep(Duration::from_millis(300));
    // It beats no more, says that it leaves, and serves on.
    leaving.beats.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(200));
    let mut acknowledged = None;
    let until = Instant::now() + Duration::from_secs(5);
    while acknowledged.is_none() && Instant::now() < until {
        for core in &system.cores {
            let answer = call(core.control(), "DELETE", &leaving.path(), &[], "", Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.status() == 200) {
                acknowledged = Some(record.seconds());
                record.line(format!("{} says DELETE and {} acknowledges it", leaving.id, core.name));
                break;
            }
        }
    }
    let Some(acknowledged) = acknowledged else { return Verdict::CouldNotRun };
    thread::sleep(Duration::from_millis(700));
    if trouble {
        system.cores.iter_mut().for_each(Machine::kill);
        record.line("all processes of the core are killed");
        thread::sleep(Duration::from_millis(500));
        for core in &mut system.cores {
            core.edit_settings(|text| text.replace("first_start = true", "first_start = false"));
            core.start();
        }
        record.line("they are started again, their disks remain");
    } else {
        thread::sleep(Duration::from_millis(500));
    }
    let core_back = record.seconds();
    thread::sleep(Duration::from_millis(1000));
    if trouble {
        system.links.set_cut(false);
        record.line(format!("the cut heals after {:.1} s", record.seconds() - cut_at));
    }
    let healed = record.seconds();
    // All machines are in touch `contact` after the last of these, and 0.1 s more is given.
    let in_touch = core_back.max(healed) + CONTACT + 0.1;
    let after_drain = acknowledged + DRAIN + 0.1;
    let from = in_touch.max(after_drain);
    thread::sleep(Duration::from_secs_f64(healed + 9.0 - record.seconds()));
    leaving.end();
    record.line(format!("{} ends, {:.1} s after its DELETE", leaving.id, record.seconds() - acknowledged));
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().expect("no panic").clone();
    let mut broken = 0;
    for run in leaving.runs() {
        // Sent and run while all machines are in touch, and past `drain`.
        let Some((_, sent, status)) = answers.iter().find(|(attempt, ..)| *attempt == run.attempt) else {
            continue;
        };
        if *sent < from || run.at < from {
            continue;
        }
        broken += 1;
        if broken <= 8 {
            record.line(format!(
                "{}: sent {:.2} s after the heal, reaches {} {:.2} s after its DELETE was acknowledged, answered {status}",
                run.attempt,
                sent - healed,
                leaving.id,
                run.at - acknowledged
            ));
        }
    }
    let last = leaving.runs().iter().map(|run| run.at).fold(0.0, f64::max);
    record.line(format!(
        "the last request reached {} {:.2} s after the acknowledgement",
        leaving.id,
        last - acknowledged
    ));
    let all = answers.len();
    let served = answers.iter().filter(|(_, _, status)| *status == 200).count();
    record.line(format!("{all} requests, {served} served, {broken} reached {} too late", leaving.id));
    match (served, broken) {
        (0, _) => Verdict::CouldNotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
