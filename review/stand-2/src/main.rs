//! Scripted cases of the second review. `stand-2 CASE RECORD` runs one of them. Exits with 1 if the rule was broken, with 0
//! if it held, and with 2 if the case could not run. With `TROUBLE=0` in the environment there is no disruption.

mod forgotten_leave;
mod gone_core;
mod last_customer;
mod net;
mod system;
mod tiny_timeout;
mod two_disks;

use std::process::exit;
use std::thread;
use std::time::Duration;
use system::Record;

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun,
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = words.as_slice() else {
        eprintln!("stand-2 CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(path);
    record.line(format!("case {case}, disruption: {}", if trouble { "yes" } else { "no" }));
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        system::kill_all();
        exit(2);
    });
    let run = match case.as_str() {
        "forgotten-leave" => forgotten_leave::run,
        "gone-core" => gone_core::run,
        "last-customer" => last_customer::run,
        "tiny-timeout" => tiny_timeout::run,
        "two-disks" => two_disks::run,
        _ => exit(2),
    };
    let own = record.clone();
    let verdict = std::panic::catch_unwind(move || run(&own, trouble)).unwrap_or(Verdict::CouldNotRun);
    system::kill_all();
    match verdict {
        Verdict::Broken => {
            record.line("the rule was broken");
            exit(1);
        }
        Verdict::Held => {
            record.line("the rule held");
            exit(0);
        }
        Verdict::CouldNotRun => {
            record.line("the case could not run");
            exit(2);
        }
    }
}
