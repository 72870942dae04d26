//! Tests the outcomes of requests over real processes: what clients are answered, and on how many backends an
//! attempt runs.

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
async fn a_request_that_no_backend_received_gets_a_refusal_with_retry_after(method: &str, path: &str) {
    let (system, backends) = serving(2).await;
    let (client, front) = (Client::new("key-1"), system.edges[0].front_address());
    // Opens connections to both backends.
    for _ in 0..6 {
        client.send_attempt(front, method, path).await;
    }
    // The backends are gone and their connections closed, but they are still on the proxy's list.
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
async fn an_attempt_runs_on_no_more_backends_than_its_route_allows() {
    let (system, backends) = serving(6).await;
    backends.iter().for_each(|backend| backend.set_behavior(BackendBehavior::DropResponse));
    let client = Client::new("key-1");
    let mut most = 0;
    for _ in 0..60 {
        let (id, _) = client.send_attempt(system.edges[0].front_address(), "GET", "/read/1").await;
        let ran = backends
            .iter()
            .filter_map(|b| b.runs_by_attempt.lock().expect("the lock is not poisoned").get(&id).copied())
            .sum();
        most = most.max(ran);
    }
    // The route has `tries` set to 3.
    assert!((1..=3).contains(&most), "{most}");
}

/// `sealed` lists the statuses with which a client may see `Backend-Seal`: those that the backend sent with it.
#[test_case(BackendBehavior::Serve, &[200]; "a success")]
#[test_case(BackendBehavior::DropResponse, &[]; "the answer is lost")]
#[test_case(BackendBehavior::OmitSeal, &[]; "a success without its seal")]
#[test_case(BackendBehavior::WrongAttemptId, &[]; "the answer to another request")]
#[test_case(BackendBehavior::InternalError, &[500]; "its own 500")]
#[test_case(BackendBehavior::Reject, &[]; "rejected")]
#[test_case(BackendBehavior::Misdirected, &[]; "another backend has its address")]
#[tokio::test]
async fn a_backend_seal_is_only_returned_with_the_status_of_its_backend(
    behavior: BackendBehavior,
    sealed: &[u16],
) {
    let (system, backends) = serving(2).await;
    backends.iter().for_each(|backend| backend.set_behavior(behavior));
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
