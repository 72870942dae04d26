//! Every program against every signal that may come: who ends and how, who goes on, who reads its settings again.

use starlinghill_testkit::processes::{state_and_handled_signals, Process};
use starlinghill_testkit::system::{
    call, eventually, initial_config, patch_config, program, rule_change, rule_item, Backend, Client, System,
};
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};
use test_case::test_case;

const PATIENCE: Duration = Duration::from_secs(10);
/// What a proxy takes to its end while nothing is under way: it takes new connections for 2.8 s.
const ORDERLY: Duration = Duration::from_secs(6);
const HUP: u64 = 1;

/// What becomes of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Then {
    /// Nothing.
    GoesOn,
    /// It reads its settings again.
    Reads,
    /// It stops, at most until SIGCONT.
    Stops,
    /// It ends in its own order, with code 0.
    Ends,
    /// The signal ends it at once.
    Dies(i32),
}

/// Signals that are sent here; the rest does what the system has it do.
const TABLE: [(&str, Then); 18] = [
    ("HUP", Then::Reads),
    ("USR1", Then::GoesOn),
    ("USR2", Then::GoesOn),
    ("ALRM", Then::GoesOn),
    ("PIPE", Then::GoesOn),
    ("WINCH", Then::GoesOn),
    ("CHLD", Then::GoesOn),
    ("URG", Then::GoesOn),
    ("CONT", Then::GoesOn),
    ("STOP", Then::Stops),
    ("TSTP", Then::Stops),
    ("TTIN", Then::Stops),
    ("TTOU", Then::Stops),
    ("HUP", Then::Reads),
    ("TERM", Then::Ends),
    ("INT", Then::Ends),
    ("QUIT", Then::Dies(3)),
    ("KILL", Then::Dies(9)),
];

/// A part of a system, by its name.
fn part<'a>(system: &'a mut System, name: &str) -> &'a mut Process {
    match name {
        "toolrack" => &mut system.cores[0].processes[0],
        "patternbook" => &mut system.cores[0].processes[1],
        _ => &mut system.edges[0].processes[0],
    }
}

fn start_of(process: &Process) {
    process.wait_for_log("event=start", PATIENCE);
}

/// How often it has read its settings again.
fn reads(process: &Process) -> usize {
    process.log().iter().filter(|line| line.contains("event=settings_read")).count()
}

/// One that a signal ends leaves no file of its memory behind.
fn without_core(process: &Process) {
    let pid = process.pid().expect("it runs").to_string();
    let _ = Command::new("prlimit").args(["--core=0", "--pid", &pid]).status();
}

#[test_case("workbench")]
#[test_case("toolrack")]
#[test_case("patternbook")]
fn each_signal_does_what_the_table_says(name: &str) {
    let mut system = System::start(&program(), 1);
    let process = part(&mut system, name);
    start_of(process);
    for (signal, then) in TABLE {
        let before = reads(process);
        without_core(process);
        process.signal(signal);
        match then {
            Then::Ends => {
                let status = process.wait_for_exit(ORDERLY);
                assert_eq!(status.code(), Some(0), "{name} SIG{signal}: {status}");
            }
            Then::Dies(number) => {
                let status = process.wait_for_exit(ORDERLY);
                assert_eq!(status.signal(), Some(number), "{name} SIG{signal}: {status}");
            }
            Then::Reads => {
                let until = Instant::now() + PATIENCE;
                while reads(process) == before {
                    assert!(process.is_running(), "{name} SIG{signal}: {}", process.wait_for_exit(PATIENCE));
                    assert!(Instant::now() < until, "{name} SIG{signal}: not read again");
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
            Then::Stops | Then::GoesOn => {
                let pid = process.pid().expect("it runs");
                if signal == "STOP" {
                    let until = Instant::now() + PATIENCE;
                    while state_and_handled_signals(pid).expect("it is there").0 != 'T' {
                        assert!(Instant::now() < until, "{name} is not stopped");
                    }
                }
                // Those from a terminal stop nobody who has none.
                process.signal("CONT");
                // It has dealt with the one before when it has dealt with this one.
                process.signal("HUP");
                let until = Instant::now() + PATIENCE;
                while reads(process) == before {
                    assert!(process.is_running(), "{name} SIG{signal}: {}", process.wait_for_exit(PATIENCE));
                    assert!(Instant::now() < until, "{name} SIG{signal}: it does not go on");
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
        }
        if matches!(then, Then::Ends | Then::Dies(_)) {
            process.start();
            start_of(process);
        }
    }
}

/// A process whose settings file can't be read yet: `path` is a pipe.
fn held_at_its_settings(name: &str, path: &Path) -> Process {
    assert!(Command::new("mkfifo").arg(path).status().expect("mkfifo runs").success());
    let (program, name, file) = (program(), name.to_string(), path.to_path_buf());
    let mut process = Process::new(&name.clone(), move || {
        let mut command = Command::new(&program);
        command.arg(&name).env("STARLINGHILL_CONFIG", &file);
        command
    });
    process.start();
    process
}

/// The settings file of one that stands elsewhere.
fn settings_of(system: &System, name: &str) -> String {
    let machine = if name == "workbench" { &system.edges[0] } else { &system.cores[0] };
    let mut text = String::new();
    machine.edit_settings(|now| {
        text.clone_from(&now);
        now
    });
    text
}

#[test_case("workbench")]
#[test_case("toolrack")]
#[test_case("patternbook")]
fn sighup_is_heard_before_the_settings_are_read(name: &str) {
    let mut system = System::start(&program(), 1);
    let text = settings_of(&system, name);
    part(&mut system, name).kill();
    let folder = tempfile::tempdir().expect("a folder");
    let (path, pipe) = (folder.path().join("node.toml"), folder.path().join("pipe"));
    let mut process = held_at_its_settings(name, &path);
    let pid = process.pid().expect("it runs");
    let until = Instant::now() + PATIENCE;
    while state_and_handled_signals(pid).is_none_or(|(_, caught)| caught & HUP == 0) {
        assert!(Instant::now() < until && process.is_running(), "{name} reads before it hears");
    }
    for _ in 0..3 {
        process.hang_up();
    }
    std::thread::sleep(Duration::from_millis(50));
    assert!(process.is_running(), "{name}: {}", process.wait_for_exit(PATIENCE));
    // The file comes, and later readings find it whole.
    std::fs::rename(&path, &pipe).expect("renamed");
    std::fs::write(&path, &text).expect("written");
    std::fs::write(&pipe, &text).expect("written");
    start_of(&process);
    process.wait_for_log("event=settings_read", PATIENCE);
    process.terminate();
    assert_eq!(process.wait_for_exit(ORDERLY).code(), Some(0));
}

#[test_case("workbench")]
#[test_case("toolrack")]
#[test_case("patternbook")]
fn what_comes_after_sigterm_changes_nothing(name: &str) {
    let mut system = System::start(&program(), 1);
    let process = part(&mut system, name);
    start_of(process);
    for round in 0..20 {
        process.terminate();
        for late in ["HUP", "TERM", "USR1", "HUP", "INT"].iter().take(1 + round % 5) {
            // It may be gone by then: `kill` says so.
            let pid = process.pid().expect("started").to_string();
            let _ = Command::new("kill").args([&format!("-{late}"), &pid]).output();
        }
        let status = process.wait_for_exit(ORDERLY);
        assert_eq!(status.code(), Some(0), "{name} round {round}: {status}");
        if name == "workbench" && round == 4 {
            break;
        }
        process.start();
        start_of(process);
    }
}

#[tokio::test]
async fn a_store_takes_a_broken_file_for_nothing_and_asks_seeds_that_came_later() {
    let mut system = System::start(&program(), 0);
    assert_eq!(system.send_change(&initial_config(0)).await.status, 200);
    let store = &mut system.cores[2].processes[1];
    store.hang_up();
    store.wait_for_log("event=settings_read", PATIENCE);
    system.cores[2].edit_settings(|text| text.replace("grace = ", "grace == "));
    system.cores[2].processes[1].hang_up();
    system.cores[2].processes[1].wait_for_log("event=settings_unusable", PATIENCE);
    system.cores[2].edit_settings(|text| text.replace("grace == ", "grace = "));
    // Its disk is lost, and its file names nobody who knows who votes.
    system.cores[2].kill();
    system.cores[2].wipe_disk();
    let mut seeds = String::new();
    system.cores[2].edit_settings(|text| {
        seeds = text.lines().find(|line| line.starts_with("seeds")).expect("a line").to_string();
        text.replace(&seeds, "seeds = [\"127.0.0.9:9\"]")
    });
    system.cores[2].start();
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert!(!system.cores[2].processes[1].log().iter().any(|line| line.contains("event=voter_back")));
    system.cores[2].edit_settings(|text| text.replace("seeds = [\"127.0.0.9:9\"]", &seeds));
    system.cores[2].processes[1].hang_up();
    system.cores[2].processes[1].wait_for_log("event=voter_back", PATIENCE);
}

/// As on a day when the platform writes all settings files anew and says so to all at once, more than once.
#[tokio::test]
async fn the_system_serves_on_while_all_read_their_settings_again() {
    let mut system = System::start(&program(), 2);
    let mut backends = Vec::new();
    for i in 0..2 {
        backends.push(
            Backend::start(
                &format!("i-{i}"),
                "ledger",
                system.backend_address(i),
                system.control_addresses(),
            )
            .await,
        );
    }
    assert_eq!(system.send_change(&initial_config(0)).await.status, 200);
    system.wait_until_ready().await;
    let client = Client::new("key-1");
    for round in 0..10u64 {
        let machines = system.cores.iter_mut().chain(&mut system.edges);
        machines.flat_map(|machine| &mut machine.processes).for_each(Process::hang_up);
        let body =
            rule_change(&rule_item("r-read", 8 + round, "safe", "/read/", &format!("{}ms", 1_000 + round)));
        let control = system.cores[round as usize % 3].control_address();
        let taken = eventually("the change is taken", || async { patch_config(control, &body).await }).await;
        assert_eq!(taken.map(|answer| answer.status), Some(200));
        for edge in &system.edges {
            let (_, answer) = client.send_attempt(edge.front_address(), "GET", "/read/1").await;
            assert_eq!(answer.map(|answer| answer.status), Some(200));
        }
    }
    let read = call(system.cores[0].control_address(), "GET", "/api/config", &[], "").await.expect("read");
    assert!(read.body.contains("\"r17\""), "{}", read.body);
    for machine in system.cores.iter_mut().chain(&mut system.edges) {
        for process in &mut machine.processes {
            assert!(process.is_running(), "{}", process.name);
            assert!(reads(process) > 0, "{}", process.name);
        }
    }
}
