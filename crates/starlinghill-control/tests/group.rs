//! Groups of real member processes: they are killed, stopped, cut from each other and lose their disks.

use starlinghill_failover::follower::{Mode, View};
use starlinghill_failover_client::client::look;
use starlinghill_failover_client::subscription::{follow, Evidence};
use starlinghill_testkit::group::{Group, LIMIT};
use starlinghill_testkit::processes::Process;
use starlinghill_zone_health::attempt_counts::AttemptCounts;
use starlinghill_zone_health::report::Report;
use std::path::Path;
use std::process::Output;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_starlinghill-control");

async fn group(zones: &[&str]) -> Group {
    let mut group = Group::new(Path::new(PROGRAM), zones, 1).await;
    tokio::task::block_in_place(|| group.begin());
    group
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).to_string() + &String::from_utf8_lossy(&output.stderr)
}

#[track_caller]
fn ends(output: &Output, code: i32, text: &str) {
    assert_eq!(output.status.code(), Some(code), "{}", said(output));
    assert!(said(output).contains(text), "{text}: {}", said(output));
}

/// Whether a member says that it has not known the newest for a second, or never has.
fn unsure(member: &serde_json::Value) -> bool {
    let report = &member["report"];
    report.is_object() && report["age_ms"].as_u64().is_none_or(|ms| ms > 1_000)
}

fn epoch(zones: &serde_json::Value) -> u64 {
    zones["position"]["epoch"].as_u64().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_counts_once_whatever_leader_dies_and_a_refusal_says_why() {
    let mut group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        let drain = ["a", "--reason", "a drill", "--id", "o1", "--by", "eve", "--step", "100"];
        ends(&group.command(&["zone", "drain"], &drain), 0, "accepted at 1.2");
        let leader = group.wait_for_leader();
        group.members[leader].kill();
        // Sent again after the leader's death, as by one who never heard.
        ends(&group.command(&["zone", "drain"], &drain), 0, "accepted at 1.2");
        let zones = group.wait_until("it is out", |z| z["zones"]["a"]["phase"] == "out");
        assert_eq!((epoch(&zones), zones["zones"]["a"]["by"].as_str()), (2, Some("eve")));
        // Another order of the same id, and one that would leave too little.
        let other = ["b", "--reason", "a drill", "--id", "o1"];
        ends(&group.command(&["zone", "out"], &other), 3, "another order had this id");
        let second = group.command(&["zone", "out"], &["b", "--reason", "a drill"]);
        ends(&second, 3, "refused: not in full service already: a");
        ends(&second, 3, "refused: it is the last zone of region 'east'");
        group.members[leader].start();
        group.wait_until("the one that was killed knows it too", |_| {
            let all = group.show();
            all.iter().all(|m| m["report"]["state"]["position"]["epoch"] == 2)
        });
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_minority_takes_no_order_and_says_why_and_what_it_took_in_never_counts() {
    let group = group(&["a", "a", "b", "b", "b"]).await;
    tokio::task::block_in_place(|| {
        group.wait_for_leader();
        group.net.cut("a", "b");
        group.net.cut("b", "a");
        // Within the first second an order may have gone into the cut: it may count or not, and the command says so.
        group.wait_until("the minority knows that it is one", |_| {
            let all = group.show();
            all[..2].iter().all(unsure)
        });
        // The operators' own file would reach both sides; this one knows the minority alone.
        let minority = group.folder().join("minority.toml");
        let text = group.text(1, &group.listen[..1]);
        std::fs::write(&minority, text).expect("a file");
        let order = ["c", "--reason", "a drill", "--next", "east"];
        let refused = group.command_by(&minority, &["zone", "out"], &order);
        ends(&refused, 4, "not reached");
        assert!(
            said(&refused).contains("knows no leader") || said(&refused).contains("majority"),
            "{}",
            said(&refused)
        );
        ends(&group.command(&["zone", "out"], &order), 0, "accepted at 1.2");
        group.net.heal();
        group.wait_until("all agree", |_| {
            group.show().iter().all(|m| m["report"]["state"]["position"]["epoch"] == 2)
        });
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_member_that_wakes_after_its_term_knows_that_it_is_old_and_catches_up() {
    let mut group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        let leader = group.wait_for_leader();
        group.members[leader].stop();
        ends(&group.command(&["zone", "out"], &["a", "--reason", "a drill"]), 0, "accepted at 1.2");
        group.members[leader].resume();
        group.wait_until("it caught up", |_| {
            let all = group.show();
            all[leader]["report"]["state"]["position"]["epoch"] == 2
                && all[leader]["report"]["age_ms"].as_u64().is_some_and(|ms| ms < 1_000)
        });
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_disk_that_is_not_as_it_was_written_keeps_its_member_out_and_names_the_file() {
    let mut group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        ends(&group.command(&["zone", "out"], &["a", "--reason", "a drill"]), 0, "accepted at 1.2");
        ends(&group.command(&["group", "snapshot"], &[]), 0, "kept");
        group.members[0].wait_for_log("snapshot kept", LIMIT);
        for member in &mut group.members {
            member.kill();
        }
        // A bit of the state in the newest snapshot, wherever the store has put it.
        let disk = group.disk(0);
        let mut bytes = std::fs::read(&disk).expect("a disk");
        let places: Vec<usize> =
            bytes.windows(8).enumerate().filter(|(_, w)| w == b"\"a drill").map(|(i, _)| i).collect();
        assert!(!places.is_empty(), "the reason stands in the file");
        for at in places {
            bytes[at + 3] ^= 4;
        }
        std::fs::write(&disk, bytes).expect("a disk");
        // Another one is cut off.
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
        // The group goes on without the first; nothing that was committed is lost.
        std::fs::write(&disk_of_other, whole).expect("a disk");
        group.members[1].start();
        group.members[2].start();
        let zones =
            group.wait_until("two of three serve", |z| z["age_ms"].as_u64().is_some_and(|ms| ms < 1_000));
        assert_eq!((epoch(&zones), zones["zones"]["a"]["phase"].as_str()), (2, Some("out")));
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_member_whose_disk_was_replaced_has_no_vote_until_it_is_taken_in_again() {
    let mut group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        ends(&group.command(&["zone", "out"], &["a", "--reason", "a drill"]), 0, "accepted at 1.2");
        let away = (group.wait_for_leader() + 1) % 3;
        group.members[away].kill();
        std::fs::remove_file(group.disk(away)).expect("removed");
        group.members[away].start();
        group.members[away].wait_for_log("blank", LIMIT);
        let id = (away + 1).to_string();
        ends(&group.command(&["group", "add"], &[&id]), 3, "is a member already");
        ends(&group.command(&["group", "remove"], &[&id]), 0, "");
        ends(&group.command(&["group", "add"], &[&id]), 0, "");
        group.wait_until("it has all again", |_| {
            let all = group.show();
            all[away]["report"]["state"]["position"]["epoch"] == 2
                && all[away]["report"]["members"][&id][1] == true
        });
        // With it there is a majority again without another.
        let other = (away + 1) % 3;
        group.members[other].kill();
        ends(
            &group.command(&["zone", "return"], &["a", "--reason", "over", "--step", "100"]),
            0,
            "accepted at 1.3",
        );
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_majority_is_restored_in_the_next_generation_and_the_old_one_stays_out() {
    let mut group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        ends(
            &group.command(&["zone", "out"], &["a", "--reason", "a drill", "--id", "o1"]),
            0,
            "accepted at 1.2",
        );
        for member in &mut group.members {
            member.kill();
        }
        // One disk is left; the others come back later, from a machine that was taken for dead.
        let left = group.folder().join("left.redb");
        std::fs::copy(group.disk(0), &left).expect("copied");
        let old: Vec<Vec<u8>> = (0..3).map(|i| std::fs::read(group.disk(i)).expect("a disk")).collect();
        for i in 0..3 {
            std::fs::remove_file(group.disk(i)).expect("removed");
        }
        for member in &mut group.members {
            member.start();
        }
        let from = ["--from", left.to_str().expect("text")];
        ends(&group.command(&["group", "restore"], &from), 1, "group.generation: expected 2");
        for member in &mut group.members {
            member.kill();
        }
        tokio::runtime::Handle::current().block_on(group.raise(2));
        for member in &mut group.members {
            member.start();
        }
        group.members[0].wait_for_log("blank", LIMIT);
        let until = std::time::Instant::now() + LIMIT;
        while !group.command(&["group", "restore"], &from).status.success() {
            assert!(std::time::Instant::now() < until, "{:?}", group.command(&["group", "restore"], &from));
            std::thread::sleep(Duration::from_millis(100));
        }
        let zones = group.wait_until("it is there again", |z| z["zones"]["a"]["phase"] == "out");
        assert_eq!(zones["position"]["generation"], 2);
        // What counted before counts still.
        ends(
            &group.command(&["zone", "out"], &["a", "--reason", "a drill", "--id", "o1"]),
            0,
            "accepted at 1.2",
        );
        // A member of the old life is refused by the file, and by the others.
        group.members[2].kill();
        std::fs::write(group.disk(2), &old[2]).expect("a disk");
        group.members[2].start();
        assert_eq!(group.members[2].wait_for_exit_code(LIMIT), Some(7));
        assert!(group.members[2].log().join("\n").contains("generation 1"), "{:?}", group.members[2].log());
        ends(
            &group.command(&["zone", "return"], &["a", "--reason", "over", "--step", "100"]),
            0,
            "accepted at 2.3",
        );
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn what_was_accepted_outlives_sigkill_of_all_members_at_once_in_any_order() {
    let mut group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        let (mut last, mut ordered) = (1, 0);
        for seed in 0..50u64 {
            let mut rng = fastrand::Rng::with_seed(seed);
            // One is killed while an order is on its way, the others at once after its answer, or before.
            let id = format!("o{seed}");
            let zone = ["a", "b"][rng.usize(..2)];
            let word = ["out", "return", "hold"][rng.usize(..3)];
            let before = rng.bool();
            let order = std::thread::scope(|scope| {
                let group = &mut group;
                let (program, file) = (Path::new(PROGRAM), group.operators());
                let given = scope.spawn(move || {
                    let words = ["zone", word];
                    let more = [zone, "--reason", "a drill", "--force", "--id", &id];
                    std::process::Command::new(program)
                        .args(words)
                        .arg(file)
                        .args(more)
                        .output()
                        .expect("it runs")
                });
                if before {
                    std::thread::sleep(Duration::from_millis(rng.u64(..60)));
                } else {
                    while !given.is_finished() {
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
                given.join().expect("no panic")
            });
            ordered += usize::from(order.status.success());
            let said = said(&order);
            let accepted =
                said.strip_prefix("accepted at 1.").and_then(|s| s.split(' ').next()?.parse::<u64>().ok());
            let zones =
                group.wait_until("they lead again", |z| z["age_ms"].as_u64().is_some_and(|ms| ms < 1_000));
            let now = epoch(&zones);
            assert!(
                now >= accepted.unwrap_or(0).max(last),
                "seed {seed}: {accepted:?}, {last} before, {now} now"
            );
            // Refused or accepted, it counted once at the most.
            assert!(now <= last + 1, "seed {seed}: from {last} to {now}, {said}");
            last = now;
        }
        println!("{ordered} of 50 orders accepted at once, epoch {last}");
        assert!(last > 5, "orders counted");
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_member_whose_disk_takes_no_more_stays_out_and_names_the_file_while_the_group_goes_on() {
    let mut group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        let full = (group.wait_for_leader() + 1) % 3;
        group.members[full].kill();
        // No file may be longer than half of what its own is now: in blocks of 512 bytes, as POSIX has it.
        let blocks = std::fs::metadata(group.disk(full)).expect("a disk").len() / 1_024;
        let (file, id) = (group.file(full), (full + 1).to_string());
        let script = format!("ulimit -f {blocks}; trap '' XFSZ; exec \"$0\" \"$@\"");
        group.members[full] = Process::new("the full one", move || {
            let mut command = std::process::Command::new("sh");
            command.args(["-c", &script, PROGRAM, "group"]).arg(&file).args(["--member", &id]);
            command
        });
        group.members[full].start();
        for i in 0..50 {
            let word = if i % 2 == 0 { "out" } else { "return" };
            let more = ["a", "--reason", "a drill", "--force"];
            assert!(group.command(&["zone", word], &more).status.success(), "the group goes on");
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
async fn when_a_leader_dies_its_followers_come_to_the_others_spread_out_and_miss_nothing() {
    const FOLLOWERS: usize = 1_000;
    let mut group = group(&["a", "b", "c"]).await;
    let file =
        starlinghill_operator_config::read(&group.operators()).expect("a file").group.expect("a group");
    let mut views = Vec::new();
    for i in 0..FOLLOWERS {
        let (tx, rx) = tokio::sync::watch::channel(View::of_own_sight());
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
                let there = view.wait_for(|v| v.mode == Mode::Following && v.position.epoch >= epoch);
                let there = tokio::time::timeout(LIMIT, there).await;
                assert!(there.is_ok_and(|v| v.is_ok()), "a follower of epoch {epoch}");
            }
        }
    };
    all_at(1, &views).await;
    // More than one page of a member's report: none is left out, none is told twice.
    let mut told = Vec::new();
    for member in &group.listen {
        let report = look(*member, LIMIT).await.expect("a report");
        assert!(!report.more);
        told.extend(report.subscribers.into_iter().map(|s| s.name));
    }
    let distinct: std::collections::BTreeSet<&String> = told.iter().collect();
    assert_eq!((told.len(), distinct.len()), (FOLLOWERS, FOLLOWERS));
    let leader = tokio::task::block_in_place(|| {
        let leader = group.wait_for_leader();
        group.members[leader].kill();
        leader
    });
    let died = std::time::Instant::now();
    tokio::task::block_in_place(|| {
        ends(&group.command(&["zone", "out"], &["a", "--reason", "a drill"]), 0, "accepted at 1.2");
    });
    all_at(2, &views).await;
    let others = group.members.iter().enumerate().filter(|(i, _)| *i != leader);
    let lines: Vec<_> = others.flat_map(|(_, m)| m.lines()).collect();
    let mut came: Vec<_> = lines
        .iter()
        .filter(|l| l.at > died && l.text.contains(" follows gateway="))
        .map(|l| (l.at - died).as_millis())
        .collect();
    came.sort_unstable();
    assert!(came.len() >= FOLLOWERS / 6, "{} came from the one that died", came.len());
    // Drawn from 200 ms: half of them don't come within less than a quarter of that.
    let half = came[came.len() * 3 / 4] - came[came.len() / 4];
    assert!(half >= 50, "the middle half of {} within {half} ms: {came:?}", came.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_three_cut_off_takes_no_order_and_where_each_sees_some_one_order_at_a_time_counts() {
    let group = group(&["a", "b", "c"]).await;
    tokio::task::block_in_place(|| {
        let mut last = 1;
        // One alone, whichever leads; then two that don't see each other, while the third sees both.
        for (cut, alone) in [([("a", "b"), ("a", "c")], true), ([("b", "c"), ("b", "c")], false)] {
            group.wait_for_leader();
            for (one, other) in cut {
                group.net.cut(one, other);
                group.net.cut(other, one);
            }
            if alone {
                group.wait_until("it knows that it is alone", |_| unsure(&group.show()[0]));
                let file = group.folder().join("alone.toml");
                std::fs::write(&file, group.text(1, &group.listen[..1])).expect("a file");
                ends(
                    &group.command_by(&file, &["zone", "hold"], &["c", "--reason", "a drill"]),
                    4,
                    "not reached",
                );
            }
            for word in ["out", "return"] {
                let until = std::time::Instant::now() + LIMIT;
                let id = format!("{word}-{alone}");
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
                    // Not reached, or unknown; anything else is an answer that this order has not earned.
                    assert!(matches!(output.status.code(), Some(4 | 5)), "{}", said(&output));
                    assert!(std::time::Instant::now() < until, "{:?}", group.show());
                }
                last += 1;
                let zones = group.wait_until("it counts", |z| epoch(z) >= last);
                assert_eq!(epoch(&zones), last, "once");
            }
            group.net.heal();
            group.wait_until("all agree", |_| {
                group.show().iter().all(|m| m["report"]["state"]["position"]["epoch"] == last)
            });
        }
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn what_a_gateway_says_of_zones_is_kept_within_bounds_and_nonsense_ends_no_stream() {
    let group = group(&["a"]).await;
    let file =
        starlinghill_operator_config::read(&group.operators()).expect("a file").group.expect("a group");
    let good = AttemptCounts { answered: 90, late: 2, ..AttemptCounts::default() };
    let absurd = AttemptCounts { answered: 1, late: 2, ..AttemptCounts::default() };
    let said = [
        ("wide", vec![("a", good), ("nowhere", good)]),
        ("absurd", vec![("a", good), ("b", absurd)]),
        ("silent", vec![]),
    ];
    let mut views = Vec::new();
    for (name, zones) in said {
        let (tx, rx) = tokio::sync::watch::channel(View::of_own_sight());
        let settings = starlinghill_control::group_follower::settings(&file, name, "c", 1).expect("a name");
        let (_fixed, changes) = tokio::sync::watch::channel(settings);
        let report = Report { zones: zones.into_iter().map(|(zone, sums)| (zone.into(), sums)).collect() };
        let evidence: Option<Evidence> = match name {
            "silent" => None,
            _ => Some(std::sync::Arc::new(move || report.clone())),
        };
        tokio::spawn(follow(changes, tx, evidence));
        views.push(rx);
    }
    for view in &mut views {
        let there = view.wait_for(|v| v.mode == Mode::Following);
        assert!(tokio::time::timeout(LIMIT, there).await.is_ok_and(|v| v.is_ok()));
    }
    let until = std::time::Instant::now() + LIMIT;
    let kept = loop {
        let report = look(group.listen[0], LIMIT).await.expect("a report");
        let of =
            |name: &str| report.subscribers.iter().find(|s| s.name == name).cloned().expect("it follows");
        if let Some((_, evidence)) = of("wide").evidence {
            assert_eq!(
                (of("wide").zone.as_str(), of("absurd").evidence, of("silent").evidence),
                ("c", None, None)
            );
            break evidence;
        }
        assert!(std::time::Instant::now() < until, "{report:?}");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    };
    assert_eq!(kept.zones.into_iter().collect::<Vec<_>>(), [("a".to_string(), good)]);
    // It tells once a second. Nonsense three times later it follows still, by the same stream, and was named once.
    let (mut tellings, mut last) = (0, 0);
    while tellings < 3 {
        let report = look(group.listen[0], LIMIT).await.expect("a report");
        let wide = report.subscribers.iter().find(|s| s.name == "wide").and_then(|s| s.evidence.as_ref());
        let age = wide.map_or(0, |(age, _)| *age);
        tellings += usize::from(age < last);
        last = age;
        assert!(std::time::Instant::now() < until, "{report:?}");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    assert!(views.iter().all(|view| view.borrow().mode == Mode::Following));
    let named = |line: &&String| line.contains("absurd") && line.contains("can't be used");
    assert_eq!(group.members[0].log().iter().filter(named).count(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_member_that_is_killed_while_it_makes_its_file_is_blank_at_its_next_start() {
    let mut group = Group::new(Path::new(PROGRAM), &["a", "b", "c"], 1).await;
    tokio::task::block_in_place(|| {
        for round in 0..60 {
            group.members[0].start();
            std::thread::sleep(Duration::from_micros(500 * round));
            group.members[0].kill();
            group.members[0].start();
            group.members[0].wait_for_log("blank", LIMIT);
            group.members[0].kill();
            // The next round begins with an empty disk.
            std::fs::remove_dir_all(group.disk(0).parent().expect("a folder")).expect("removed");
        }
    });
}
