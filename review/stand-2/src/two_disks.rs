//! A deployment that has to bear the loss of two core machines at once has five of them. Right after a change was
//! acknowledged, two lose their disks and start again with empty ones.

use crate::system::{ask, change, customer, route, Backend, Deployment, Machine, Record, System};
use crate::Verdict;
use std::thread;
use std::time::{Duration, Instant};

/// How long the operator reads back. `sync_time` is 6 s, `recovery` 15 s, `stretch_max` 12 s.
const READ_FOR: Duration = Duration::from_secs(45);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let mut system = System::start(record, Deployment::Large, 2, 0);
    system.controls();
    let work = Duration::from_millis(20);
    let _backends: Vec<Backend> = (1..=2).map(|i| Backend::start(&system, i, "prizepay", work)).collect();
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
    // Longer than `sync_time`, so that no machine counts as lost.
    thread::sleep(Duration::from_secs(10));
    let second = change(&[customer("studio", 9, &["key-studio", "key-second"])], &[], &[], "");
    if system.order("studio gets a second key, r9", &second).map(|(status, _)| status) != Some(200) {
        return Verdict::CouldNotRun;
    }
    if trouble {
        // The machines whose stores vote, by their own logs.
        let votes = |core: &Machine| {
            core.log_lines("patternbook", &["event=start"]).iter().any(|l| l.contains("votes=true"))
        };
        let voters: Vec<usize> = (0..system.cores.len()).filter(|i| votes(&system.cores[*i])).collect();
        record.line(format!("{} of {} stores vote", voters.len(), system.cores.len()));
        let lost: Vec<usize> = voters.into_iter().take(2).collect();
        lost.iter().for_each(|i| system.cores[*i].kill());
        for i in &lost {
            let core = &mut system.cores[*i];
            core.wipe_disk();
            core.edit_settings(|text| text.replace("first_start = true", "first_start = false"));
            record.line(format!("{} has lost its disk", core.name));
        }
        thread::sleep(Duration::from_secs(1));
        lost.iter().for_each(|i| system.cores[*i].start());
        record.line("both start again at their old addresses, with empty disks");
    }
    let (until, mut number, mut newest_read, mut older) = (Instant::now() + READ_FOR, 0, 0, 0);
    let mut statuses = std::collections::BTreeMap::new();
    while Instant::now() < until {
        number += 1;
        // One core machine after the other, so that the first that answers does not hide the rest.
        for core in &system.cores {
            let answer =
                crate::net::call(core.control(), "GET", "/api/config", &[], "", Duration::from_secs(1));
            let (status, text) = answer.map_or((0, String::new()), |answer| (answer.status(), answer.text()));
            *statuses.entry(status).or_insert(0) += 1;
            let is_newest = status == 200 && text.contains("key-second");
            newest_read += usize::from(is_newest);
            older += usize::from(status == 200 && !is_newest);
            if number == 1 || number % 10 == 0 {
                record.line(format!(
                    "read {number} at {}: {status}, holds the acknowledged change: {is_newest}",
                    core.name
                ));
            }
        }
        if newest_read >= 25 {
            break;
        }
        thread::sleep(Duration::from_millis(500));
    }
    record.line(format!("all reads by status, 0 for none within a second: {statuses:?}"));
    record.line(format!(
        "{number} rounds of reads: {newest_read} hold the acknowledged change, {older} an older one"
    ));
    let third = change(&[customer("studio", 11, &["key-studio", "key-third"])], &[], &[], "");
    let order = system.order("studio gets a third key, r11", &third);
    for edge in &system.edges {
        let (_, answer) =
            ask(&system, edge, ("POST", "/pay/out"), Some("key-second"), &format!("{}-after", edge.name));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(format!("{}, which was not touched, answers {status} to key-second", edge.name));
    }
    for core in &system.cores {
        for line in core.log_lines("patternbook", &["event=start", "event=join", "event=members"]) {
            record.line(format!("{}: {line}", core.name));
        }
    }
    if newest_read > 0 && older == 0 && order.is_some() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
