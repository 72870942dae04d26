//! How sends end, over real processes: what clients are told of it, and on how many backends a try runs.

use starlinghill_testkit::system::{initial_config, program, Backend, BackendBehavior, Client, System};
use test_case::test_case;

async fn serving(backends: usize) -> (System, Vec<Backend>) {
    let system = System::start(&program(), 1);
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
    assert_eq!(system.send_change(&initial_config(0)).await.status, 200);
    system.wait_until_ready().await;
    (system, all)
}

#[test_case("GET", "/read/1"; "may be repeated")]
#[test_case("POST", "/buy/1"; "may run once")]
#[tokio::test]
async fn what_no_backend_was_offered_ends_with_a_promise(method: &str, path: &str) {
    let (system, backends) = serving(2).await;
    let (client, front) = (Client::new("key-1"), system.edges[0].front_address());
    // Connections are kept to both.
    for _ in 0..6 {
        client.send_attempt(front, method, path).await;
    }
    // Nothing listens any more, and what was kept is closed; the list still has them.
    drop(backends);
    for _ in 0..6 {
        let (_, answer) = client.send_attempt(front, method, path).await;
        let answer = answer.expect("answered");
        assert!(
            [429, 503].contains(&answer.status) && answer.headers.contains_key("retry-after"),
            "{answer:?}"
        );
    }
}

#[tokio::test]
async fn a_try_runs_on_no_more_backends_than_its_route_allows() {
    let (system, backends) = serving(6).await;
    backends.iter().for_each(|backend| backend.set_behavior(BackendBehavior::DropResponse));
    let client = Client::new("key-1");
    let mut most = 0;
    for _ in 0..60 {
        let (id, _) = client.send_attempt(system.edges[0].front_address(), "GET", "/read/1").await;
        let ran =
            backends.iter().filter_map(|b| b.runs_by_attempt.lock().expect("whole").get(&id).copied()).sum();
        most = most.max(ran);
    }
    // The route has 3 tries.
    assert!((1..=3).contains(&most), "{most}");
}

/// The statuses under which a client may see a seal: those that its backend gave with it.
#[test_case(BackendBehavior::Serve, &[200]; "a success")]
#[test_case(BackendBehavior::DropResponse, &[]; "the answer is lost")]
#[test_case(BackendBehavior::OmitSeal, &[]; "a success without its seal")]
#[test_case(BackendBehavior::WrongAttemptId, &[]; "the answer to another request")]
#[test_case(BackendBehavior::InternalError, &[500]; "its own 500")]
#[test_case(BackendBehavior::Reject, &[]; "turned away")]
#[test_case(BackendBehavior::Misdirected, &[]; "another one has its address")]
#[tokio::test]
async fn a_seal_comes_with_the_status_that_its_backend_gave(does: BackendBehavior, sealed: &[u16]) {
    let (system, backends) = serving(2).await;
    backends.iter().for_each(|backend| backend.set_behavior(does));
    let client = Client::new("key-1");
    for (method, path) in [("GET", "/read/1"), ("POST", "/buy/1")].repeat(4) {
        let (_, answer) = client.send_attempt(system.edges[0].front_address(), method, path).await;
        let answer = answer.expect("answered");
        assert_eq!(
            answer.headers.contains_key("backend-seal"),
            sealed.contains(&answer.status),
            "{answer:?}"
        );
    }
}
