//! Tests of the whole system as real processes on loopback: which changes are acknowledged, which requests run
//! and what a tenant's quota grants while processes are killed, disks are lost and backends misbehave.

use starlinghill_quota_counter::{max_granted_in_window, Allowance, Disruptions, Quota};
use starlinghill_testkit::system::{
    call, eventually, initial_config, patch_config, program, rule_change, rule_item, Backend,
    BackendBehavior, Client, System,
};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn serving(edges: usize, backends: usize, rate: u64) -> (System, Vec<Backend>) {
    let system = System::start(&program(), edges);
    let mut all = Vec::new();
    for i in 0..backends {
        all.push(
            Backend::start(
                &format!("i-{i}"),
                "ledger",
                system.backend_address(i),
                system.control_addresses(),
            )
            .await,
        );
    }
    // Waits until each store has started. One that is killed before it has written its files has lost its
    // disk, which together with the disk that a test deletes would be two losses.
    for core in &system.cores {
        core.processes[1].wait_for_log("event=start program=patternbook", Duration::from_secs(10));
    }
    assert_eq!(system.send_change(&initial_config(rate)).await.status, 200);
    system.wait_until_ready().await;
    (system, all)
}

#[tokio::test]
async fn requests_are_routed_by_path_api_key_and_backend() {
    let (system, backends) = serving(2, 3, 0).await;
    let (client, stranger) = (Client::new("key-1"), Client::new("key-9"));
    for edge in &system.edges {
        let (_, answer) = client.send_attempt(edge.front_address(), "GET", "/read/1").await;
        let answer = answer.expect("answered");
        assert_eq!(answer.status, 200);
        // The API key decides the tenant, whatever the client's `Customer` header says. The seal is the
        // backend's own.
        assert!(answer.body.ends_with(" for studio"), "{}", answer.body);
        assert!(answer.headers["backend-seal"].starts_with("seal-i-"));
        let unknown = stranger.send_attempt(edge.front_address(), "GET", "/read/1").await.1.map(|a| a.status);
        let nowhere = client.send_attempt(edge.front_address(), "GET", "/write/1").await.1.map(|a| a.status);
        assert_eq!((unknown, nowhere), (Some(401), Some(404)));
    }
    assert_eq!(backends.iter().map(Backend::run_count).sum::<u32>(), 2);
}

#[tokio::test]
async fn a_proxy_without_a_configuration_answers_503_and_not_404() {
    let mut system = System::start(&program(), 1);
    system.cores.iter_mut().for_each(|core| core.kill());
    let client = Client::new("key-1");
    let front = system.edges[0].front_address();
    let answer =
        eventually("the proxy answers", || async { client.send_attempt(front, "GET", "/read/1").await.1 })
            .await;
    let answer = answer.expect("answered");
    assert!(answer.status == 503 && answer.headers.contains_key("retry-after"), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_proxy_logs_why_it_refuses_requests_and_which_services_have_no_backend() {
    let system = System::start(&program(), 1);
    let (client, front, proxy) =
        (Client::new("key-1"), system.edges[0].front_address(), &system.edges[0].processes[0]);
    let status =
        || async { client.send_attempt(front, "GET", "/read/1").await.1.map(|answer| answer.status) };
    eventually("the proxy answers that it is not ready", || async { status().await == Some(503) }).await;
    let limit = Duration::from_secs(12);
    let wait_for_line = |text: &str| tokio::task::block_in_place(|| proxy.wait_for_log(text, limit).text);
    let refusals = wait_for_line("event=refusals not_ready=");
    assert!(refusals.contains(" no_class=0 limited=0 no_room=0 failed=0 "), "{refusals}");
    assert_eq!(system.send_change(&initial_config(50)).await.status, 200);
    system.wait_until_ready().await;
    // The quota allows the request, but there is no backend.
    assert_eq!(status().await, Some(429));
    let refusals = wait_for_line("limited=1");
    assert!(
        refusals.contains("event=refusals not_ready=0 no_class=0 limited=1 no_room=0 failed=0 "),
        "{refusals}"
    );
    assert!(refusals.ends_with("draws_refused=0 attempts=0"), "{refusals}");
    let backend =
        Backend::start("i-0", "ledger", system.backend_address(0), system.control_addresses()).await;
    wait_for_line("event=backends service=ledger serving=1");
    drop(backend);
    wait_for_line("event=no_backend service=ledger");
}

#[tokio::test]
async fn no_request_goes_to_a_backend_whose_drain_was_acknowledged() {
    let (mut system, backends) = serving(2, 2, 0).await;
    // The registry is killed right after its answer.
    assert!(backends[0].drain(system.cores[1].control_address()).await);
    system.cores[1].kill();
    let client = Client::new("key-1");
    let edges: Vec<_> = system.edges.iter().map(|edge| edge.front_address()).collect();
    let settled = Instant::now() + Duration::from_millis(500);
    while Instant::now() < settled {
        client.send_attempt(edges[0], "GET", "/read/1").await;
    }
    let before = backends[0].run_count();
    for i in 0..60 {
        let (_, answer) = client.send_attempt(edges[i % 2], "GET", "/read/1").await;
        assert_eq!(answer.map(|a| a.status), Some(200));
    }
    assert_eq!(backends[0].run_count(), before);
}

/// Each attempt has run `runs` times on all backends together, and the client gets one of `statuses`.
#[test_case(BackendBehavior::DropResponse, 1, &[502, 504]; "the answer is lost after the run")]
#[test_case(BackendBehavior::OmitSeal, 1, &[502, 504]; "a success without its seal")]
#[test_case(BackendBehavior::WrongAttemptId, 1, &[502, 504]; "the answer to another request")]
#[test_case(BackendBehavior::InternalError, 1, &[500]; "the backend's own 500, unchanged")]
#[test_case(BackendBehavior::Reject, 0, &[429, 503]; "rejected by all backends")]
#[tokio::test]
async fn a_request_that_may_run_once_runs_once_and_is_refused_only_if_it_never_runs(
    behavior: BackendBehavior,
    runs: u32,
    statuses: &[u16],
) {
    let (system, backends) = serving(1, 3, 0).await;
    backends.iter().for_each(|backend| backend.set_behavior(behavior));
    let client = Client::new("key-1");
    let mut ids = Vec::new();
    for _ in 0..5 {
        let (id, answer) = client.send_attempt(system.edges[0].front_address(), "POST", "/buy/1").await;
        let status = answer.expect("answered").status;
        assert!(statuses.contains(&status), "{status}");
        ids.push(id);
    }
    for id in ids {
        let ran: u32 = backends
            .iter()
            .filter_map(|b| b.runs_by_attempt.lock().expect("the lock is not poisoned").get(&id).copied())
            .sum();
        assert_eq!(ran, runs, "{id}");
    }
}

#[test_case(BackendBehavior::Reject; "the backend rejects it")]
#[test_case(BackendBehavior::Misdirected; "another backend has its address")]
#[tokio::test]
async fn a_rejected_request_goes_to_another_backend(behavior: BackendBehavior) {
    let (system, backends) = serving(1, 2, 0).await;
    backends[0].set_behavior(behavior);
    let client = Client::new("key-1");
    // The retry budget starts empty and grows with each request.
    let mut served = 0;
    for _ in 0..60 {
        let (_, answer) = client.send_attempt(system.edges[0].front_address(), "POST", "/buy/1").await;
        served += u32::from(answer.expect("answered").status == 200);
    }
    assert!(served >= 50 && backends[1].run_count() == served, "{served}");
}

#[tokio::test]
async fn a_request_that_was_read_is_answered_after_sigterm() {
    let (mut system, backends) = serving(1, 1, 0).await;
    backends[0].set_delay_ms(900);
    let (client, front) = (Client::new("key-1"), system.edges[0].front_address());
    let asked = tokio::spawn(async move { client.send_attempt(front, "POST", "/buy/1").await.1 });
    eventually("the request runs", || async { backends[0].run_count() == 1 }).await;
    system.edges[0].processes[0].terminate();
    assert_eq!(asked.await.expect("the task does not panic").map(|answer| answer.status), Some(200));
    let ready = system.edges[0].readiness_address();
    let unready = call(ready, "GET", "/api/ready", &[], "").await.is_none_or(|answer| answer.status == 503);
    assert!(unready && system.edges[0].processes[0].wait_for_exit_code(Duration::from_secs(8)) == Some(0));
}

/// SIGTERM arrives between the two parts of a request.
#[test_case("GET /read/1 HTTP/1.1\r\nHost: a.exa", "mple\r\n\r\n"; "half of the head was read")]
#[test_case("POST /buy/1 HTTP/1.1\r\nContent-Length: 8\r\nHost: a.example\r\n\r\nhalf", "half"; "half of the body was read")]
#[tokio::test]
async fn a_request_that_was_half_read_at_sigterm_is_answered(first: &str, rest: &str) {
    let (mut system, backends) = serving(1, 1, 0).await;
    let mut stream = TcpStream::connect(system.edges[0].front_address()).await.expect("connected");
    let first = first.replacen(
        "\r\n",
        "\r\nAttempt-Id: t-1\r\nTime-Left: 2000\r\nAuthorization: Bearer key-1\r\n",
        1,
    );
    stream.write_all(first.as_bytes()).await.expect("sent");
    system.edges[0].processes[0].terminate();
    eventually("the proxy is no longer ready", || async {
        let asked = call(system.edges[0].readiness_address(), "GET", "/api/ready", &[], "").await;
        asked.is_none_or(|answer| answer.status == 503)
    })
    .await;
    stream.write_all(rest.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    // The request ran once, its answer is complete, and then the connection is closed.
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with(" for studio"), "{answer}");
    assert_eq!(backends[0].run_count(), 1);
    assert_eq!(system.edges[0].processes[0].wait_for_exit_code(Duration::from_secs(8)), Some(0));
}

#[tokio::test]
async fn an_answer_that_was_half_sent_at_sigterm_is_completed() {
    let (mut system, backends) = serving(1, 1, 0).await;
    backends[0].set_behavior(BackendBehavior::SplitResponse);
    backends[0].set_delay_ms(700);
    let (client, front) = (Client::new("key-1"), system.edges[0].front_address());
    let asked = tokio::spawn(async move { client.send_attempt(front, "POST", "/buy/1").await });
    eventually("the request runs", || async { backends[0].run_count() == 1 }).await;
    system.edges[0].processes[0].terminate();
    let (id, answer) = asked.await.expect("the task does not panic");
    let answer = answer.expect("answered");
    assert_eq!((answer.status, answer.body), (200, format!("made for {id}")));
    assert_eq!(system.edges[0].processes[0].wait_for_exit_code(Duration::from_secs(8)), Some(0));
}

#[tokio::test]
async fn a_second_answer_on_a_connection_is_not_taken_for_the_next_request() {
    let (system, backends) = serving(1, 1, 0).await;
    backends[0].set_behavior(BackendBehavior::DuplicateResponse);
    let (client, mut served) = (Client::new("key-1"), 0);
    for _ in 0..30 {
        let (id, answer) = client.send_attempt(system.edges[0].front_address(), "POST", "/buy/1").await;
        let answer = answer.expect("answered");
        // Either its own answer, or 502 as its outcome is unknown; never the answer to the request before.
        match answer.status {
            200 => assert_eq!(answer.body, format!("made for {id}")),
            status => assert_eq!(status, 502),
        }
        served += u32::from(answer.status == 200);
    }
    assert!(served > 10, "{served}");
    assert!(backends[0]
        .runs_by_attempt
        .lock()
        .expect("the lock is not poisoned")
        .values()
        .all(|runs| *runs == 1));
}

#[tokio::test]
async fn an_invalid_settings_file_is_ignored() {
    let (mut system, _backends) = serving(1, 1, 0).await;
    let (client, front) = (Client::new("key-1"), system.edges[0].front_address());
    system.edges[0].edit_settings(|text| text.replace("grace = ", "grace == "));
    system.edges[0].processes[0].hang_up();
    system.edges[0].processes[0].wait_for_log("event=settings_unusable", Duration::from_secs(5));
    let (_, answer) = client.send_attempt(front, "GET", "/read/1").await;
    assert_eq!(answer.map(|answer| answer.status), Some(200));
    system.edges[0].edit_settings(|text| text.replace("grace == ", "grace = "));
    system.edges[0].processes[0].hang_up();
    system.edges[0].processes[0].wait_for_log("event=settings_read", Duration::from_secs(5));
}

#[tokio::test]
async fn two_changes_with_the_same_version_and_different_content_are_not_both_confirmed() {
    let (system, _backends) = serving(1, 1, 0).await;
    for version in 8..28 {
        let body = |ms: u64| rule_change(&rule_item("r-read", version, "safe", "/read/", &format!("{ms}ms")));
        let (one, two) = (body(1_000 + version), body(2_000 + version));
        let (at, other) = (version as usize % 3, (version as usize + 1) % 3);
        let (a, b) = tokio::join!(
            patch_config(system.cores[at].control_address(), &one),
            patch_config(system.cores[other].control_address(), &two)
        );
        let (a, b) = (a.map(|a| a.status), b.map(|b| b.status));
        let confirmed = [a, b].iter().filter(|status| **status == Some(200)).count();
        assert!(confirmed <= 1, "r{version}: {a:?} {b:?}");
        let read = system.read_config().await;
        let is_in_force = |ms: u64| read.contains(&format!("\"{ms}ms\""));
        assert!(a != Some(200) || is_in_force(1_000 + version), "r{version}: {read}");
        assert!(b != Some(200) || is_in_force(2_000 + version), "r{version}: {read}");
    }
}

#[tokio::test]
async fn two_conflicting_items_are_not_both_accepted() {
    let (system, _backends) = serving(1, 1, 0).await;
    for version in 8..18 {
        let body =
            |name: &str| rule_change(&rule_item(name, version, "safe", &format!("/{version}/"), "1000ms"));
        let (one, two) = (body(&format!("r-a{version}")), body(&format!("r-b{version}")));
        let (a, b) = tokio::join!(
            patch_config(system.cores[0].control_address(), &one),
            patch_config(system.cores[1].control_address(), &two)
        );
        let confirmed = [&a, &b].iter().filter(|a| a.as_ref().is_some_and(|a| a.status == 200)).count();
        assert!(confirmed <= 1, "/{version}/: {a:?} {b:?}");
    }
}

#[tokio::test]
async fn acknowledged_changes_survive_a_kill_of_all_processes_during_a_call() {
    let (mut system, _backends) = serving(0, 0, 0).await;
    let mut acknowledged = 7;
    for round in 0..50u64 {
        let version = 8 + round;
        let body =
            rule_change(&rule_item("r-read", version, "safe", "/read/", &format!("{}ms", 1_000 + version)));
        let control = system.cores[round as usize % 3].control_address();
        let asked = tokio::spawn(async move { patch_config(control, &body).await });
        // At this time the call has not begun, is in progress, or is done.
        let until = Instant::now() + Duration::from_micros(700 * (round % 25));
        tokio::time::sleep_until(until.into()).await;
        system.cores.iter_mut().for_each(|core| core.kill());
        let answer = asked.await.expect("the task does not panic");
        acknowledged = if answer.is_some_and(|answer| answer.status == 200) { version } else { acknowledged };
        system.cores.iter_mut().for_each(|core| core.start());
        let read = system.read_config().await;
        let is_in_force = (acknowledged..=version).any(|v| read.contains(&format!("\"version\":\"r{v}\"")));
        assert!(is_in_force, "round {round}: r{acknowledged} was acknowledged, read: {read}");
    }
    assert!(acknowledged > 7, "nothing was acknowledged");
}

#[tokio::test]
async fn an_acknowledged_change_survives_the_loss_of_one_disk_and_a_kill_of_all_processes() {
    let (mut system, _backends) = serving(0, 0, 0).await;
    for round in 0..6u64 {
        let version = 8 + round;
        let body = rule_change(&rule_item("r-read", version, "safe", "/read/", "1500ms"));
        let lost = round as usize % 3;
        assert_eq!(
            patch_config(system.cores[lost].control_address(), &body).await.map(|a| a.status),
            Some(200)
        );
        system.cores.iter_mut().for_each(|core| core.kill());
        system.cores[lost].wipe_disk();
        system.cores.iter_mut().for_each(|core| core.start());
        // The machine without its data must not answer from it.
        let read = system.read_config().await;
        assert!(read.contains(&format!("\"version\":\"r{version}\"")), "round {round}: {read}");
        system.cores[lost].processes[1].wait_for_log("event=voter_back", Duration::from_secs(10));
    }
}

/// The first core machine is lost for good, unplanned or by a clean exit.
#[test_case(true; "killed, and its successor starts later")]
#[test_case(false; "terminated after its successor has started")]
#[tokio::test]
async fn a_core_machine_is_replaced_automatically_and_then_a_second_one_is_lost(unplanned: bool) {
    let (mut system, _backends) = serving(1, 2, 0).await;
    let route = |version: u64| {
        rule_change(&rule_item("r-more", version, "safe", &format!("/more{version}/"), "1500ms"))
    };
    assert_eq!(system.send_change(&route(8)).await.status, 200);
    let patience = Duration::from_secs(15);
    if unplanned {
        system.cores[0].kill();
        system.add_core(&program());
    } else {
        system.add_core(&program());
        system.cores[3].processes[1].wait_for_log("event=join", patience);
        system.cores[0].processes[1].terminate();
        assert_eq!(system.cores[0].processes[1].wait_for_exit_code(patience), Some(0));
        system.cores[0].kill();
    }
    system.cores[3].processes[1].wait_for_log("event=voter_back", patience);
    assert_eq!(system.send_change(&route(9)).await.status, 200);
    // A second one of the first three machines loses its disk: one of them is left, and the successor.
    system.cores[1].kill();
    system.cores[1].wipe_disk();
    let read = system.read_config().await;
    assert!(read.contains("/more9/"), "{read}");
    assert_eq!(system.send_change(&route(10)).await.status, 200);
    // The gateway that ran all the time gets the new route.
    let (client, front) = (Client::new("key-1"), system.edges[0].front_address());
    eventually("the new route is in force", || async {
        let (_, answer) = client.send_attempt(front, "GET", "/more10/1").await;
        answer.is_some_and(|answer| answer.status == 200)
    })
    .await;
}

#[tokio::test]
async fn a_tenant_gets_its_quota_over_all_gateways_while_the_count_changes_its_holder() {
    const RATE: u64 = 40;
    let (mut system, backends) = serving(3, 3, RATE).await;
    let fronts: Vec<_> = system.edges.iter().map(|edge| edge.front_address()).collect();
    let mut granted: Vec<Instant> = Vec::new();
    let client = Client::new("key-1");
    let started = Instant::now();
    let mut killed = false;
    let mut statuses: HashMap<u16, u32> = HashMap::new();
    while started.elapsed() < Duration::from_secs(7) {
        if !killed && started.elapsed() > Duration::from_secs(3) {
            killed = true;
            let holds = |process: &starlinghill_testkit::processes::Process| {
                process.log().iter().any(|line| line.contains("event=count_held"))
            };
            let holder = system.cores.iter().position(|core| holds(&core.processes[0]));
            system.cores[holder.expect("one holds the count")].kill();
        }
        let tries = fronts.iter().map(|front| client.send_attempt(*front, "GET", "/read/1"));
        let answers = join_attempts(tries.collect()).await;
        for status in answers.into_iter().flatten() {
            *statuses.entry(status).or_default() += 1;
            if status == 200 {
                granted.push(Instant::now());
            }
        }
    }
    let busiest = granted.iter().map(|from| {
        granted.iter().filter(|at| **at >= *from && **at <= *from + Duration::from_secs(5)).count()
    });
    let (most, rate) = (busiest.max().unwrap_or(0) as f64, RATE as f64);
    // The count moves once, which is noticed within 0.7 s: the lease and the wait of a gateway. Each of the
    // three gateways may have one more request in progress.
    let quota = Quota { rate, burst: rate };
    let allowance = Allowance { window_s: 5.0, excess: 0.1, extra: 20.0 };
    let disruptions = Disruptions { counter_moves: 1, detection_delay_s: 0.7, cut_off_fraction: 1.0 };
    let bound = (max_granted_in_window(quota, allowance, disruptions) + 3.0).min(allowance.max_units(quota));
    assert!(most <= bound, "{most} runs in one window, {bound} allowed: {statuses:?}");
    assert!(granted.len() as f64 > rate * 4.0, "{} were granted: {statuses:?}", granted.len());
    assert_eq!(backends.iter().map(Backend::run_count).sum::<u32>() as usize, granted.len());
}

/// Sends attempts at the same time and returns their statuses.
async fn join_attempts<F>(attempts: Vec<F>) -> Vec<Option<u16>>
where
    F: std::future::Future<Output = (String, Option<starlinghill_testkit::system::Answer>)>,
{
    let mut pending_attempts: Vec<_> = attempts.into_iter().map(|one| (Box::pin(one), None)).collect();
    std::future::poll_fn(|cx| {
        let mut pending = false;
        for (one, done) in &mut pending_attempts {
            if done.is_none() {
                match one.as_mut().poll(cx) {
                    std::task::Poll::Ready((_, answer)) => *done = Some(answer.map(|a| a.status)),
                    std::task::Poll::Pending => pending = true,
                }
            }
        }
        if pending {
            std::task::Poll::Pending
        } else {
            std::task::Poll::Ready(())
        }
    })
    .await;
    pending_attempts.into_iter().map(|(_, done)| done.flatten()).collect()
}
