//! Tests the effect of each signal on each program: whether it exits and how, continues, or reloads its
//! settings.

use starlinghill_testkit::processes::{state_and_handled_signals, Process};
use starlinghill_testkit::system::{
    call, eventually, initial_config, patch_config, program, rule_change, rule_item, Backend, Client, System,
};
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};
use test_case::test_case;

const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Limit of a clean exit without requests in progress; a proxy accepts connections for 2.8 s more.
const EXIT_LIMIT: Duration = Duration::from_secs(6);
/// SIGHUP in the mask of handled signals.
const HUP: u64 = 1;

/// The effect of a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    Continues,
    Reloads,
    /// The process stops until SIGCONT, or continues where the signal has no effect without a terminal.
    Stops,
    /// The process exits with code 0.
    ExitsCleanly,
    /// The signal with this number ends the process at once.
    Killed(i32),
}

/// The signals to test, in the order of sending. All others keep the kernel's default action.
const EXPECTED_EFFECTS: [(&str, Effect); 18] = [
    ("HUP", Effect::Reloads),
    ("USR1", Effect::Continues),
    ("USR2", Effect::Continues),
    ("ALRM", Effect::Continues),
    ("PIPE", Effect::Continues),
    ("WINCH", Effect::Continues),
    ("CHLD", Effect::Continues),
    ("URG", Effect::Continues),
    ("CONT", Effect::Continues),
    ("STOP", Effect::Stops),
    ("TSTP", Effect::Stops),
    ("TTIN", Effect::Stops),
    ("TTOU", Effect::Stops),
    ("HUP", Effect::Reloads),
    ("TERM", Effect::ExitsCleanly),
    ("INT", Effect::ExitsCleanly),
    ("QUIT", Effect::Killed(3)),
    ("KILL", Effect::Killed(9)),
];

/// Returns the process of the first machine that runs this program.
fn process_of<'a>(system: &'a mut System, name: &str) -> &'a mut Process {
    match name {
        "toolrack" => &mut system.cores[0].processes[0],
        "patternbook" => &mut system.cores[0].processes[1],
        _ => &mut system.edges[0].processes[0],
    }
}

fn wait_for_start(process: &Process) {
    process.wait_for_log("event=start", WAIT_LIMIT);
}

/// How often the process has reloaded its settings.
fn reload_count(process: &Process) -> usize {
    process.log().iter().filter(|line| line.contains("event=settings_read")).count()
}

/// Keeps a process that a signal ends from writing a core dump.
fn disable_core_dump(process: &Process) {
    let pid = process.pid().expect("it runs").to_string();
    let _ = Command::new("prlimit").args(["--core=0", "--pid", &pid]).status();
}

#[test_case("workbench")]
#[test_case("toolrack")]
#[test_case("patternbook")]
fn each_signal_has_the_expected_effect(name: &str) {
    let mut system = System::start(&program(), 1);
    let process = process_of(&mut system, name);
    wait_for_start(process);
    for (signal, effect) in EXPECTED_EFFECTS {
        let before = reload_count(process);
        disable_core_dump(process);
        process.signal(signal);
        match effect {
            Effect::ExitsCleanly => {
                let status = process.wait_for_exit(EXIT_LIMIT);
                assert_eq!(status.code(), Some(0), "{name} SIG{signal}: {status}");
            }
            Effect::Killed(number) => {
                let status = process.wait_for_exit(EXIT_LIMIT);
                assert_eq!(status.signal(), Some(number), "{name} SIG{signal}: {status}");
            }
            Effect::Reloads => {
                let until = Instant::now() + WAIT_LIMIT;
                while reload_count(process) == before {
                    assert!(
                        process.is_running(),
                        "{name} SIG{signal}: {}",
                        process.wait_for_exit(WAIT_LIMIT)
                    );
                    assert!(Instant::now() < until, "{name} SIG{signal}: not read again");
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
            Effect::Stops | Effect::Continues => {
                let pid = process.pid().expect("it runs");
                if signal == "STOP" {
                    let until = Instant::now() + WAIT_LIMIT;
                    while state_and_handled_signals(pid).expect("it is there").0 != 'T' {
                        assert!(Instant::now() < until, "{name} is not stopped");
                    }
                }
                // Stop signals of a terminal have no effect on a process without one.
                process.signal("CONT");
                // Once SIGHUP was handled, the signal before it was handled as well.
                process.signal("HUP");
                let until = Instant::now() + WAIT_LIMIT;
                while reload_count(process) == before {
                    assert!(
                        process.is_running(),
                        "{name} SIG{signal}: {}",
                        process.wait_for_exit(WAIT_LIMIT)
                    );
                    assert!(Instant::now() < until, "{name} SIG{signal}: the process does not continue");
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
        }
        if matches!(effect, Effect::ExitsCleanly | Effect::Killed(_)) {
            process.start();
            wait_for_start(process);
        }
    }
}

/// Starts a process that blocks on reading its settings file, as `path` is a named pipe.
fn start_blocked_on_settings(name: &str, path: &Path) -> Process {
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

/// The text of the settings file of the machine that runs this program.
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
fn sighup_is_handled_before_the_settings_are_read(name: &str) {
    let mut system = System::start(&program(), 1);
    let text = settings_of(&system, name);
    process_of(&mut system, name).kill();
    let folder = tempfile::tempdir().expect("a folder");
    let (path, pipe) = (folder.path().join("node.toml"), folder.path().join("pipe"));
    let mut process = start_blocked_on_settings(name, &path);
    let pid = process.pid().expect("it runs");
    let until = Instant::now() + WAIT_LIMIT;
    while state_and_handled_signals(pid).is_none_or(|(_, caught)| caught & HUP == 0) {
        assert!(
            Instant::now() < until && process.is_running(),
            "{name} reads its settings before it handles SIGHUP"
        );
    }
    for _ in 0..3 {
        process.hang_up();
    }
    std::thread::sleep(Duration::from_millis(50));
    assert!(process.is_running(), "{name}: {}", process.wait_for_exit(WAIT_LIMIT));
    // The pipe delivers the settings, and later reads find a regular file.
    std::fs::rename(&path, &pipe).expect("renamed");
    std::fs::write(&path, &text).expect("written");
    std::fs::write(&pipe, &text).expect("written");
    wait_for_start(&process);
    process.wait_for_log("event=settings_read", WAIT_LIMIT);
    process.terminate();
    assert_eq!(process.wait_for_exit(EXIT_LIMIT).code(), Some(0));
}

#[test_case("workbench")]
#[test_case("toolrack")]
#[test_case("patternbook")]
fn signals_after_sigterm_do_not_change_the_clean_exit(name: &str) {
    let mut system = System::start(&program(), 1);
    let process = process_of(&mut system, name);
    wait_for_start(process);
    for round in 0..20 {
        process.terminate();
        for late in ["HUP", "TERM", "USR1", "HUP", "INT"].iter().take(1 + round % 5) {
            // The process may have exited by then, and `kill` fails.
            let pid = process.pid().expect("started").to_string();
            let _ = Command::new("kill").args([&format!("-{late}"), &pid]).output();
        }
        let status = process.wait_for_exit(EXIT_LIMIT);
        assert_eq!(status.code(), Some(0), "{name} round {round}: {status}");
        if name == "workbench" && round == 4 {
            break;
        }
        process.start();
        wait_for_start(process);
    }
}

#[tokio::test]
async fn a_store_ignores_an_invalid_settings_file_and_uses_seeds_that_a_reload_adds() {
    let mut system = System::start(&program(), 0);
    assert_eq!(system.send_change(&initial_config(0)).await.status, 200);
    let store = &mut system.cores[2].processes[1];
    store.hang_up();
    store.wait_for_log("event=settings_read", WAIT_LIMIT);
    system.cores[2].edit_settings(|text| text.replace("grace = ", "grace == "));
    system.cores[2].processes[1].hang_up();
    system.cores[2].processes[1].wait_for_log("event=settings_unusable", WAIT_LIMIT);
    system.cores[2].edit_settings(|text| text.replace("grace == ", "grace = "));
    // The store loses its disk, and its only seed does not answer, so it can't learn who the members are.
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
    system.cores[2].processes[1].wait_for_log("event=voter_back", WAIT_LIMIT);
}

/// The platform may rewrite all settings files and send SIGHUP to all processes at once, more than once.
#[tokio::test]
async fn the_system_keeps_serving_while_all_processes_reload_their_settings() {
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
        let taken =
            eventually("the change is accepted", || async { patch_config(control, &body).await }).await;
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
            assert!(reload_count(process) > 0, "{}", process.name);
        }
    }
}
