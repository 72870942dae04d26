//! Tests with groups of real member processes that are killed, paused, disconnected from each other and lose their disks.

use starlinghill_failover::follower::{Mode, View};
use starlinghill_failover_client::client::fetch_report;
use starlinghill_failover_client::subscription::{follow, ReportSource};
use starlinghill_testkit::group::{Group, LIMIT};
use starlinghill_testkit::processes::Process;
use starlinghill_zone_health::attempt_counts::AttemptCounts;
use starlinghill_zone_health::report::Report;
use std::path::Path;
use std::process::Output;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_starlinghill-control");

/// Starts a group with one member in each of these zones of the test network.
async fn group(zones: &[&str]) -> Group {
    let mut group = Group::new(Path::new(PROGRAM), zones, 1).await;
    tokio::task::block_in_place(|| group.start());
    group
}

/// The command's stdout and stderr.
fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).to_string() + &String::from_utf8_lossy(&output.stderr)
}

#[track_caller]
fn assert_exit(output: &Output, code: i32, text: &str) {
    assert_eq!(output.status.code(), Some(code), "{}", output_text(output));
    assert!(output_text(output).contains(text), "{text}: {}", output_text(output));
}

/// Whether a member reports that its state was not confirmed within the last second, or never.
fn is_stale(member: &serde_json::Value) -> bool {
    let report = &member["report"];
    report.is_object() && report["age_ms"].as_u64().is_none_or(|ms| ms > 1_000)
}

fn epoch(zones: &serde_json::Value) -> u64 {
    zones["position"]["epoch"].as_u64().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_takes_effect_once_although_the_leader_dies_and_a_refusal_gives_its_causes() {
    let mut group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        let drain = ["a", "--reason", "a drill", "--id", "o1", "--by", "eve", "--step", "100"];
        assert_exit(&group.command(&["zone", "drain"], &drain), 0, "accepted at 1.2");
        let leader = group.wait_for_leader();
        group.members[leader].kill();
        // The same order is repeated after the leader was killed, as if its answer had been lost.
        assert_exit(&group.command(&["zone", "drain"], &drain), 0, "accepted at 1.2");
        let zones = group.wait_until("zone a is out", |z| z["zones"]["a"]["phase"] == "out");
        assert_eq!((epoch(&zones), zones["zones"]["a"]["by"].as_str()), (2, Some("eve")));
        // A different order with the same id, and one that would leave too little capacity.
        let other = ["b", "--reason", "a drill", "--id", "o1"];
        assert_exit(&group.command(&["zone", "out"], &other), 3, "another order had this id");
        let second = group.command(&["zone", "out"], &["b", "--reason", "a drill"]);
        assert_exit(&second, 3, "refused: not in full service already: a");
        assert_exit(&second, 3, "refused: it is the last zone of region 'east'");
        group.members[leader].start();
        group.wait_until("the restarted member has the order", |_| {
            let all = group.show();
            all.iter().all(|m| m["report"]["state"]["position"]["epoch"] == 2)
        });
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_minority_refuses_orders_with_the_reason_and_its_refused_orders_never_take_effect() {
    let group = group(&["a", "a", "b", "b", "b"]).await;
    tokio::task::block_in_place(|| {
        group.wait_for_leader();
        group.net.cut("a", "b");
        group.net.cut("b", "a");
        // In the first second after the cut, an order may be forwarded into the broken connection and its result be unknown.
        group.wait_until("the members of the minority report stale states", |_| {
            let all = group.show();
            all[..2].iter().all(is_stale)
        });
        // The operators' file names members of both sides; this one names only the minority.
        let minority = group.folder().join("minority.toml");
        let text = group.text(1, &group.listen[..1]);
        std::fs::write(&minority, text).expect("a file");
        let order = ["c", "--reason", "a drill", "--next", "east"];
        let refused = group.command_with_file(&minority, &["zone", "out"], &order);
        assert_exit(&refused, 4, "not reached");
        assert!(
            output_text(&refused).contains("knows no leader") || output_text(&refused).contains("majority"),
            "{}",
            output_text(&refused)
        );
        assert_exit(&group.command(&["zone", "out"], &order), 0, "accepted at 1.2");
        group.net.heal();
        group.wait_until("all members have the same state", |_| {
            group.show().iter().all(|m| m["report"]["state"]["position"]["epoch"] == 2)
        });
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leader_paused_past_its_term_catches_up_when_it_resumes() {
    let mut group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        let leader = group.wait_for_leader();
        group.members[leader].stop();
        assert_exit(&group.command(&["zone", "out"], &["a", "--reason", "a drill"]), 0, "accepted at 1.2");
        group.members[leader].resume();
        group.wait_until("the resumed member has caught up", |_| {
            let all = group.show();
            all[leader]["report"]["state"]["position"]["epoch"] == 2
                && all[leader]["report"]["age_ms"].as_u64().is_some_and(|ms| ms < 1_000)
        });
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_member_with_a_damaged_file_names_the_file_and_does_not_start() {
    let mut group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        assert_exit(&group.command(&["zone", "out"], &["a", "--reason", "a drill"]), 0, "accepted at 1.2");
        assert_exit(&group.command(&["group", "snapshot"], &[]), 0, "kept");
        group.members[0].wait_for_log("snapshot kept", LIMIT);
        for member in &mut group.members {
            member.kill();
        }
        // Flips a bit of the state in the newest snapshot, at every place where the file holds it.
        let disk = group.disk(0);
        let mut bytes = std::fs::read(&disk).expect("a disk");
        let places: Vec<usize> =
            bytes.windows(8).enumerate().filter(|(_, w)| w == b"\"a drill").map(|(i, _)| i).collect();
        assert!(!places.is_empty(), "the file contains the order's reason");
        for at in places {
            bytes[at + 3] ^= 4;
        }
        std::fs::write(&disk, bytes).expect("a disk");
        // Truncates another member's file to half its length.
        let torn = std::fs::read(group.disk(1)).expect("a disk");
        let (torn, disk_of_other) = (torn[..torn.len() / 2].to_vec(), group.disk(1));
        let whole = std::fs::read(&disk_of_other).expect("a disk");
        std::fs::write(&disk_of_other, torn).expect("a disk");
        for i in [0, 1] {
            group.members[i].start();
            assert_eq!(
                group.members[i].wait_for_exit_code(LIMIT),
                Some(7),
                "{}",
                group.members[i].log().join("\n")
            );
            let log = group.members[i].log().join("\n");
            let file = group.disk(i).display().to_string();
            assert!(log.contains(&file) && log.contains("stays out"), "{log}");
        }
        // The other two members form a majority, and nothing committed is lost.
        std::fs::write(&disk_of_other, whole).expect("a disk");
        group.members[1].start();
        group.members[2].start();
        let zones = group.wait_until("two of three members confirm their state", |z| {
            z["age_ms"].as_u64().is_some_and(|ms| ms < 1_000)
        });
        assert_eq!((epoch(&zones), zones["zones"]["a"]["phase"].as_str()), (2, Some("out")));
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_member_whose_disk_was_replaced_has_no_vote_until_it_is_added_again() {
    let mut group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        assert_exit(&group.command(&["zone", "out"], &["a", "--reason", "a drill"]), 0, "accepted at 1.2");
        let replaced = (group.wait_for_leader() + 1) % 3;
        group.members[replaced].kill();
        std::fs::remove_file(group.disk(replaced)).expect("removed");
        group.members[replaced].start();
        group.members[replaced].wait_for_log("blank", LIMIT);
        let id = (replaced + 1).to_string();
        assert_exit(&group.command(&["group", "add"], &[&id]), 3, "is a member already");
        assert_exit(&group.command(&["group", "remove"], &[&id]), 0, "");
        assert_exit(&group.command(&["group", "add"], &[&id]), 0, "");
        group.wait_until("the new disk has all entries", |_| {
            let all = group.show();
            all[replaced]["report"]["state"]["position"]["epoch"] == 2
                && all[replaced]["report"]["members"][&id][1] == true
        });
        // It counts towards the majority again: the group still decides without a third member.
        let other = (replaced + 1) % 3;
        group.members[other].kill();
        assert_exit(
            &group.command(&["zone", "return"], &["a", "--reason", "over", "--step", "100"]),
            0,
            "accepted at 1.3",
        );
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_group_that_lost_its_majority_is_restored_in_the_next_generation_and_refuses_disks_of_the_old_one()
{
    let mut group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        assert_exit(
            &group.command(&["zone", "out"], &["a", "--reason", "a drill", "--id", "o1"]),
            0,
            "accepted at 1.2",
        );
        for member in &mut group.members {
            member.kill();
        }
        // Only one disk remains. An old disk comes back later, as from a machine that was believed lost.
        let remaining = group.folder().join("left.redb");
        std::fs::copy(group.disk(0), &remaining).expect("copied");
        let old_disks: Vec<Vec<u8>> = (0..3).map(|i| std::fs::read(group.disk(i)).expect("a disk")).collect();
        for i in 0..3 {
            std::fs::remove_file(group.disk(i)).expect("removed");
        }
        for member in &mut group.members {
            member.start();
        }
        let from = ["--from", remaining.to_str().expect("text")];
        assert_exit(&group.command(&["group", "restore"], &from), 1, "group.generation: expected 2");
        for member in &mut group.members {
            member.kill();
        }
        tokio::runtime::Handle::current().block_on(group.set_generation(2));
        for member in &mut group.members {
            member.start();
        }
        group.members[0].wait_for_log("blank", LIMIT);
        let deadline = std::time::Instant::now() + LIMIT;
        while !group.command(&["group", "restore"], &from).status.success() {
            assert!(
                std::time::Instant::now() < deadline,
                "{:?}",
                group.command(&["group", "restore"], &from)
            );
            std::thread::sleep(Duration::from_millis(100));
        }
        let zones =
            group.wait_until("the restored group has the state", |z| z["zones"]["a"]["phase"] == "out");
        assert_eq!(zones["position"]["generation"], 2);
        // An order accepted before the restore is still known by its id.
        assert_exit(
            &group.command(&["zone", "out"], &["a", "--reason", "a drill", "--id", "o1"]),
            0,
            "accepted at 1.2",
        );
        // A disk of the old generation is refused at the start.
        group.members[2].kill();
        std::fs::write(group.disk(2), &old_disks[2]).expect("a disk");
        group.members[2].start();
        assert_eq!(group.members[2].wait_for_exit_code(LIMIT), Some(7));
        assert!(group.members[2].log().join("\n").contains("generation 1"), "{:?}", group.members[2].log());
        assert_exit(
            &group.command(&["zone", "return"], &["a", "--reason", "over", "--step", "100"]),
            0,
            "accepted at 2.3",
        );
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn accepted_orders_survive_sigkill_of_all_members_in_any_order() {
    let mut group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        let (mut last, mut accepted_count) = (1, 0);
        for seed in 0..50u64 {
            let mut rng = fastrand::Rng::with_seed(seed);
            // All members are killed in random order, while the order is in progress or right after its answer.
            let id = format!("o{seed}");
            let zone = ["a", "b"][rng.usize(..2)];
            let word = ["out", "return", "hold"][rng.usize(..3)];
            let kill_before_answer = rng.bool();
            let order = std::thread::scope(|scope| {
                let group = &mut group;
                let (program, file) = (Path::new(PROGRAM), group.operators_file());
                let command = scope.spawn(move || {
                    let words = ["zone", word];
                    let more = [zone, "--reason", "a drill", "--force", "--id", &id];
                    std::process::Command::new(program)
                        .args(words)
                        .arg(file)
                        .args(more)
                        .output()
                        .expect("it runs")
                });
                if kill_before_answer {
                    std::thread::sleep(Duration::from_millis(rng.u64(..60)));
                } else {
                    while !command.is_finished() {
                        std::thread::sleep(Duration::from_millis(1));
                    }
                }
                let mut order: Vec<usize> = (0..3).collect();
                rng.shuffle(&mut order);
                for i in &order {
                    group.members[*i].kill();
                }
                rng.shuffle(&mut order);
                for i in &order {
                    group.members[*i].start();
                }
                command.join().expect("no panic")
            });
            accepted_count += usize::from(order.status.success());
            let text = output_text(&order);
            let accepted =
                text.strip_prefix("accepted at 1.").and_then(|s| s.split(' ').next()?.parse::<u64>().ok());
            let zones = group.wait_until("a leader confirms the state", |z| {
                z["age_ms"].as_u64().is_some_and(|ms| ms < 1_000)
            });
            let now = epoch(&zones);
            assert!(
                now >= accepted.unwrap_or(0).max(last),
                "seed {seed}: {accepted:?}, {last} before, {now} now"
            );
            // Whatever the answer was, the order took effect at most once.
            assert!(now <= last + 1, "seed {seed}: from {last} to {now}, {text}");
            last = now;
        }
        println!("{accepted_count} of 50 orders accepted at the first attempt, epoch {last}");
        assert!(last > 5, "too few orders took effect");
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_member_whose_disk_is_full_stops_and_names_the_file_while_the_group_continues() {
    let mut group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        let full = (group.wait_for_leader() + 1) % 3;
        group.members[full].kill();
        // Limits file sizes to half of the member's file. `ulimit -f` counts in blocks of 512 bytes.
        let blocks = std::fs::metadata(group.disk(full)).expect("a disk").len() / 1_024;
        let (file, id) = (group.file(full), (full + 1).to_string());
        let script = format!("ulimit -f {blocks}; trap '' XFSZ; exec \"$0\" \"$@\"");
        group.members[full] = Process::new("member with a full disk", move || {
            let mut command = std::process::Command::new("sh");
            command.args(["-c", &script, PROGRAM, "group"]).arg(&file).args(["--member", &id]);
            command
        });
        group.members[full].start();
        for i in 0..50 {
            let word = if i % 2 == 0 { "out" } else { "return" };
            let more = ["a", "--reason", "a drill", "--force"];
            assert!(
                group.command(&["zone", word], &more).status.success(),
                "the group must accept the order"
            );
            if !group.members[full].is_running() {
                break;
            }
        }
        assert_eq!(group.members[full].wait_for_exit_code(LIMIT), Some(7), "{:?}", group.members[full].log());
        let log = group.members[full].log().join("\n");
        assert!(log.contains(&group.disk(full).display().to_string()) && log.contains("stays out"), "{log}");
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn followers_of_a_dead_leader_reconnect_to_other_members_spread_over_time_and_miss_no_change() {
    const FOLLOWERS: usize = 1_000;
    let mut group = group(&["a", "b", "c"]).await;
    let file =
        starlinghill_operator_config::read(&group.operators_file()).expect("a file").group.expect("a group");
    let mut views = Vec::new();
    for i in 0..FOLLOWERS {
        let (tx, rx) = tokio::sync::watch::channel(View::without_group());
        let (_fixed, changes) = tokio::sync::watch::channel(
            starlinghill_control::group_follower::settings(&file, &format!("f{i}"), "", i as u64)
                .expect("a name"),
        );
        tokio::spawn(follow(changes, tx, None));
        views.push(rx);
    }
    let all_at = |epoch: u64, views: &[tokio::sync::watch::Receiver<View>]| {
        let mut views = views.to_vec();
        async move {
            for view in &mut views {
                let reached = view.wait_for(|v| v.mode == Mode::Following && v.position.epoch >= epoch);
                let reached = tokio::time::timeout(LIMIT, reached).await;
                assert!(reached.is_ok_and(|v| v.is_ok()), "a follower did not reach epoch {epoch}");
            }
        }
    };
    all_at(1, &views).await;
    // The report spans several pages, and lists each follower exactly once.
    let mut names = Vec::new();
    for member in &group.listen {
        let report = fetch_report(*member, LIMIT).await.expect("a report");
        assert!(!report.more);
        names.extend(report.subscribers.into_iter().map(|s| s.name));
    }
    let distinct: std::collections::BTreeSet<&String> = names.iter().collect();
    assert_eq!((names.len(), distinct.len()), (FOLLOWERS, FOLLOWERS));
    // The time is taken before the kill: on a busy machine most followers have reconnected before a moment behind it.
    let (leader, died) = tokio::task::block_in_place(|| {
        let leader = group.wait_for_leader();
        let died = std::time::Instant::now();
        group.members[leader].kill();
        (leader, died)
    });
    tokio::task::block_in_place(|| {
        assert_exit(&group.command(&["zone", "out"], &["a", "--reason", "a drill"]), 0, "accepted at 1.2");
    });
    all_at(2, &views).await;
    let others = group.members.iter().enumerate().filter(|(i, _)| *i != leader);
    let lines: Vec<_> = others.flat_map(|(_, m)| m.lines()).collect();
    let mut reconnect_ms: Vec<_> = lines
        .iter()
        .filter(|l| l.at > died && l.text.contains(" follows gateway="))
        .map(|l| (l.at - died).as_millis())
        .collect();
    reconnect_ms.sort_unstable();
    assert!(reconnect_ms.len() >= FOLLOWERS / 6, "only {} followers reconnected", reconnect_ms.len());
    // Delays are drawn from 200 ms, so the middle half of the followers must spread over a quarter of that at least.
    let middle_half_ms = reconnect_ms[reconnect_ms.len() * 3 / 4] - reconnect_ms[reconnect_ms.len() / 4];
    assert!(
        middle_half_ms >= 50,
        "the middle half of {} within {middle_half_ms} ms: {reconnect_ms:?}",
        reconnect_ms.len()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_isolated_member_refuses_orders_and_a_partly_connected_group_applies_each_order_once() {
    let group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        let mut last = 1;
        // First member a is isolated; then b and c are disconnected from each other while a reaches both.
        for (cuts, isolated) in [([("a", "b"), ("a", "c")], true), ([("b", "c"), ("b", "c")], false)] {
            group.wait_for_leader();
            for (one, other) in cuts {
                group.net.cut(one, other);
                group.net.cut(other, one);
            }
            if isolated {
                group.wait_until("the isolated member reports a stale state", |_| is_stale(&group.show()[0]));
                let file = group.folder().join("isolated.toml");
                std::fs::write(&file, group.text(1, &group.listen[..1])).expect("a file");
                assert_exit(
                    &group.command_with_file(&file, &["zone", "hold"], &["c", "--reason", "a drill"]),
                    4,
                    "not reached",
                );
            }
            for word in ["out", "return"] {
                let deadline = std::time::Instant::now() + LIMIT;
                let id = format!("{word}-{isolated}");
                let more = ["b", "--reason", "a drill", "--id", &id];
                let more: Vec<&str> = more
                    .into_iter()
                    .chain((word == "return").then_some(["--step", "100"]).into_iter().flatten())
                    .collect();
                loop {
                    let output = group.command(&["zone", word], &more);
                    if output.status.success() {
                        break;
                    }
                    // Only "not reached" and "unknown" are valid failures; the order must not be refused.
                    assert!(matches!(output.status.code(), Some(4 | 5)), "{}", output_text(&output));
                    assert!(std::time::Instant::now() < deadline, "{:?}", group.show());
                }
                last += 1;
                let zones = group.wait_until("the order has taken effect", |z| epoch(z) >= last);
                assert_eq!(epoch(&zones), last, "the order must take effect exactly once");
            }
            group.net.heal();
            group.wait_until("all members have the same state", |_| {
                group.show().iter().all(|m| m["report"]["state"]["position"]["epoch"] == last)
            });
        }
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn evidence_on_unknown_zones_is_dropped_and_invalid_evidence_does_not_end_the_stream() {
    let group = group(&["a"]).await;
    let file =
        starlinghill_operator_config::read(&group.operators_file()).expect("a file").group.expect("a group");
    let good = AttemptCounts { answered: 90, late: 2, ..AttemptCounts::default() };
    let invalid = AttemptCounts { answered: 1, late: 2, ..AttemptCounts::default() };
    let followers = [
        ("wide", vec![("a", good), ("nowhere", good)]),
        ("absurd", vec![("a", good), ("b", invalid)]),
        ("silent", vec![]),
    ];
    let mut views = Vec::new();
    for (name, zones) in followers {
        let (tx, rx) = tokio::sync::watch::channel(View::without_group());
        let settings = starlinghill_control::group_follower::settings(&file, name, "c", 1).expect("a name");
        let (_fixed, changes) = tokio::sync::watch::channel(settings);
        let report = Report { zones: zones.into_iter().map(|(zone, sums)| (zone.into(), sums)).collect() };
        let evidence: Option<ReportSource> = match name {
            "silent" => None,
            _ => Some(std::sync::Arc::new(move || report.clone())),
        };
        tokio::spawn(follow(changes, tx, evidence));
        views.push(rx);
    }
    for view in &mut views {
        let following = view.wait_for(|v| v.mode == Mode::Following);
        assert!(tokio::time::timeout(LIMIT, following).await.is_ok_and(|v| v.is_ok()));
    }
    let deadline = std::time::Instant::now() + LIMIT;
    let evidence = loop {
        let report = fetch_report(group.listen[0], LIMIT).await.expect("a report");
        let subscriber =
            |name: &str| report.subscribers.iter().find(|s| s.name == name).cloned().expect("it follows");
        if let Some((_, evidence)) = subscriber("wide").zone_report {
            assert_eq!(
                (
                    subscriber("wide").zone.as_str(),
                    subscriber("absurd").zone_report,
                    subscriber("silent").zone_report
                ),
                ("c", None, None)
            );
            break evidence;
        }
        assert!(std::time::Instant::now() < deadline, "{report:?}");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    };
    assert_eq!(evidence.zones.into_iter().collect::<Vec<_>>(), [("a".to_string(), good)]);
    // Evidence is sent once a second. After three more reports the gateway with invalid evidence still follows by the same
    // stream, and the fault was logged once.
    let (mut reports, mut last_age) = (0, 0);
    while reports < 3 {
        let report = fetch_report(group.listen[0], LIMIT).await.expect("a report");
        let wide = report.subscribers.iter().find(|s| s.name == "wide").and_then(|s| s.zone_report.as_ref());
        let age = wide.map_or(0, |(age, _)| *age);
        reports += usize::from(age < last_age);
        last_age = age;
        assert!(std::time::Instant::now() < deadline, "{report:?}");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    assert!(views.iter().all(|view| view.borrow().mode == Mode::Following));
    let is_warning = |line: &&String| line.contains("absurd") && line.contains("can't be used");
    assert_eq!(group.members[0].log().iter().filter(is_warning).count(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_member_killed_while_it_creates_its_file_starts_blank_the_next_time() {
    let mut group = Group::new(Path::new(PROGRAM), &["a", "b", "c"], 1).await;
    tokio::task::block_in_place(|| {
        for round in 0..60 {
            group.members[0].start();
            std::thread::sleep(Duration::from_micros(500 * round));
            group.members[0].kill();
            group.members[0].start();
            group.members[0].wait_for_log("blank", LIMIT);
            group.members[0].kill();
            // The next round starts with an empty disk.
            std::fs::remove_dir_all(group.disk(0).parent().expect("a folder")).expect("removed");
        }
    });
}
