//! Tests of the control service with proxies of both xDS flavours (state of the world and delta) that forward to save nodes.

mod common;

use common::{file, member, nodes, service, until};
use starlinghill_control::{prepare, Running};
use starlinghill_testkit::nodes::SaveNode;
use starlinghill_testkit::proxy::{Proxy, Settings, XdsVariant};
use starlinghill_testkit::stubs::{list, Discovery};
use std::time::{Duration, Instant};

const BOTH: [XdsVariant; 2] = [XdsVariant::StateOfTheWorld, XdsVariant::Incremental];
/// How long after a drain is announced new requests may still reach the draining server.
const CUTOFF: Duration = Duration::from_secs(1);

fn name(flavour: XdsVariant) -> &'static str {
    match flavour {
        XdsVariant::StateOfTheWorld => "whole",
        XdsVariant::Incremental => "delta",
    }
}

fn proxy(running: &Running, flavour: XdsVariant) -> Proxy {
    Proxy::start(Settings::new(running.address, name(flavour), flavour))
}

/// Whether the proxy's copy of the list marks this server healthy; `None` if it isn't on the list.
fn is_healthy(mirror: &starlinghill_testkit::proxy::ProxyState, id: &str) -> Option<bool> {
    mirror.targets.iter().find(|t| t.id == id).map(|t| t.healthy)
}

/// Asserts that no new request reaches the server after the cutoff.
async fn assert_no_new_requests(node: &SaveNode, drained_at: Instant) {
    tokio::time::sleep((drained_at + CUTOFF).saturating_duration_since(Instant::now())).await;
    let before = node.requests();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(node.requests(), before, "a request arrived after the cutoff");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proxies_of_both_flavours_follow_the_list_and_send_nothing_to_a_draining_server() {
    let (nodes, discovery) = nodes(3).await;
    let running = service(&discovery).await;
    let proxies = BOTH.map(|f| proxy(&running, f).with_traffic(300.0, 1));
    until("requests at all servers", || nodes.iter().all(|n| n.by_sender().len() == 2)).await;
    let drained_at = Instant::now();
    discovery.set_answer(42, &list(42, false, &member("s-1", nodes[1].address, "draining", 0)));
    for p in &proxies {
        p.wait_for("the drain", |m| is_healthy(m, "s-1") == Some(false)).await;
        assert!(p.state().updated_at.expect("a list was received") - drained_at < CUTOFF);
    }
    assert_no_new_requests(&nodes[1], drained_at).await;
    discovery.set_answer(43, &list(43, false, &member("s-1", nodes[1].address, "gone", 0)));
    for p in &proxies {
        p.wait_for("its end", |m| is_healthy(m, "s-1").is_none()).await;
    }
    let before = nodes[0].requests();
    until("requests at another server", || nodes[0].requests() > before + 20).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_server_at_the_address_of_a_draining_one_replaces_it_and_starts_with_a_low_weight() {
    let (nodes, discovery) = nodes(2).await;
    let running = service(&discovery).await;
    let proxies = BOTH.map(|f| proxy(&running, f));
    for p in &proxies {
        p.wait_for("both servers", |m| m.targets.len() == 2).await;
    }
    let now_ms = starlinghill_failover_client::wall_clock::system();
    let announced_at = Instant::now();
    let news =
        [member("s-9", nodes[1].address, "ready", now_ms), member("s-1", nodes[1].address, "draining", 0)];
    discovery.set_answer(42, &list(42, false, &news.join(",")));
    for p in &proxies {
        p.wait_for("the newcomer", |m| is_healthy(m, "s-9") == Some(true) && is_healthy(m, "s-1").is_none())
            .await;
        assert!(announced_at.elapsed() < CUTOFF + Duration::from_secs(1));
        let mirror = p.state();
        let weight = |id: &str| mirror.targets.iter().find(|t| t.id == id).expect("there").weight;
        assert!(
            weight("s-9") * 3 < weight("s-0"),
            "the new server is cold and must have a low weight: {:?}",
            mirror.targets
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_reaches_other_proxies_while_one_reads_nothing_one_reconnects_and_quota_slices_change() {
    let (nodes, discovery) = nodes(3).await;
    let running = service(&discovery).await;
    let stuck = Proxy::start(Settings {
        read_delay: Duration::from_secs(3600),
        ..Settings::new(running.address, "third", XdsVariant::Incremental)
    });
    let proxies = BOTH.map(|f| proxy(&running, f).with_quotas().with_traffic(200.0, 2));
    for p in &proxies {
        p.wait_for("all servers", |m| m.targets.len() == 3).await;
    }
    until("requests from both proxies", || nodes[2].by_sender().len() == 2).await;
    // The slices of a thousand customers are assigned and changed.
    for customer in 0..1000 {
        proxies[0].admit(&(customer, "team".into(), 1));
    }
    let drained_at = Instant::now();
    discovery.set_answer(42, &list(42, false, &member("s-2", nodes[2].address, "draining", 0)));
    proxies[1].reset_streams();
    for p in &proxies {
        p.wait_for("the drain", |m| is_healthy(m, "s-2") == Some(false)).await;
    }
    assert_no_new_requests(&nodes[2], drained_at).await;
    assert!(stuck.state().targets.is_empty(), "the stuck proxy must not have read the list");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_update_keeps_the_last_good_state_is_not_resent_and_does_not_delay_other_proxies() {
    let (nodes, discovery) = nodes(2).await;
    let running = service(&discovery).await;
    let proxies = BOTH.map(|f| proxy(&running, f));
    let sound = Proxy::start(Settings::new(running.address, "third", XdsVariant::Incremental));
    for p in proxies.iter().chain([&sound]) {
        p.wait_for("both servers", |m| m.targets.len() == 2).await;
    }
    proxies.iter().for_each(|p| p.reject_endpoint(Some("s-7")));
    let third = SaveNode::start().await;
    discovery.set_answer(42, &list(42, false, &member("s-7", third.address, "ready", 0)));
    sound.wait_for("the newcomer", |m| m.targets.len() == 3).await;
    for p in &proxies {
        p.wait_for("its refusal", |m| m.rejected == 1).await;
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    for p in &proxies {
        let mirror = p.state();
        assert_eq!(
            (mirror.rejected, mirror.targets.len()),
            (1, 2),
            "the update must be sent once and the old state stay"
        );
        assert!(mirror.stream_errors.is_empty());
    }
    discovery.set_answer(43, &list(43, false, &member("s-7", third.address, "gone", 0)));
    discovery.wait_for_watch(43);
    discovery.set_answer(44, &list(44, false, &member("s-0", nodes[0].address, "draining", 0)));
    for p in proxies.iter().chain([&sound]) {
        p.wait_for("the next state", |m| {
            is_healthy(m, "s-0") == Some(false) && is_healthy(m, "s-7").is_none()
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_discovery_and_invalid_lists_change_nothing_but_an_empty_complete_list_does() {
    let (nodes, discovery) = nodes(2).await;
    let running = service(&discovery).await;
    let proxies = BOTH.map(|f| proxy(&running, f));
    for p in &proxies {
        p.wait_for("both servers", |m| m.targets.len() == 2).await;
    }
    // An answer that is not a list, then an empty list of changes: neither changes anything.
    discovery.set_answer(42, "no list");
    discovery.set_answer(42, &list(42, false, ""));
    discovery.wait_for_watch(42);
    proxies.iter().for_each(|p| assert_eq!(p.state().targets.len(), 2));
    discovery.set_answer(43, &list(43, true, ""));
    for p in &proxies {
        p.wait_for("the empty fleet", |m| m.targets.is_empty()).await;
    }
    discovery.wait_for_watch(43);
    discovery.set_answer(44, &list(44, true, &member("s-0", nodes[0].address, "ready", 0)));
    for p in &proxies {
        p.wait_for("its return", |m| m.targets.len() == 1).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_that_is_killed_and_restarted_removes_nothing_from_proxies() {
    let (nodes, discovery) = nodes(2).await;
    let running = service(&discovery).await;
    let proxies = BOTH.map(|f| proxy(&running, f).with_quotas().with_traffic(200.0, 3));
    for p in &proxies {
        p.wait_for("both servers", |m| m.targets.len() == 2).await;
    }
    let key = (7, "team".to_string(), 1);
    // A new service assigns no slices at first, because those of an earlier one may still be in use.
    until("a slice", || proxies[0].admit(&key)).await;
    running.kill();
    let before = nodes[0].requests();
    until("requests without the service", || nodes[0].requests() > before + 50).await;
    // A new service starts without state at another address, and its discovery answers late.
    let late_discovery = Discovery::start("");
    late_discovery.set_answer(41, "no list yet");
    let again = service(&late_discovery).await;
    proxies.iter().for_each(|p| p.move_to(again.address));
    let counts: Vec<u64> = proxies.iter().map(|p| p.state().responses).collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    for (p, before) in proxies.iter().zip(&counts) {
        let mirror = p.state();
        assert_eq!(
            (mirror.targets.len(), mirror.responses),
            (2, *before),
            "the service must send nothing before it has a list"
        );
    }
    let members: Vec<String> = nodes
        .iter()
        .enumerate()
        .map(|(i, node)| member(&format!("s-{i}"), node.address, "ready", 0))
        .collect();
    late_discovery.set_answer(42, &list(42, true, &members.join(",")));
    until("the list", || again.hub.published.borrow().is_some()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    for (p, before) in proxies.iter().zip(&counts) {
        let mirror = p.state();
        assert_eq!(
            (mirror.targets.len(), mirror.responses),
            (2, *before),
            "the list is unchanged and must not be sent again"
        );
    }
    late_discovery.set_answer(43, &list(43, false, &member("s-1", nodes[1].address, "draining", 0)));
    for p in &proxies {
        p.wait_for("the drain from the new service", |m| is_healthy(m, "s-1") == Some(false)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_fails_for_one_proxy_is_ejected_for_all_proxies() {
    let (nodes, discovery) = nodes(3).await;
    let running = service(&discovery).await;
    let active = proxy(&running, XdsVariant::StateOfTheWorld).with_load_reports().with_traffic(300.0, 4);
    let idle = proxy(&running, XdsVariant::Incremental);
    idle.wait_for("all servers", |m| m.targets.iter().filter(|t| t.healthy).count() == 3).await;
    nodes[1].set_failing(true);
    idle.wait_for("the ejection", |m| is_healthy(m, "s-1") == Some(false)).await;
    assert_eq!(is_healthy(&idle.state(), "s-0"), Some(true));
    nodes[1].set_failing(false);
    let whole = |m: &starlinghill_testkit::proxy::ProxyState| {
        let weights: Vec<u32> = m.targets.iter().filter(|t| t.healthy).map(|t| t.weight).collect();
        weights.len() == 3 && weights.iter().all(|w| *w == weights[0])
    };
    idle.wait_for("its return", whole).await;
    active.wait_for("its return", whole).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_proxy_that_is_not_in_the_operators_file_is_refused_with_a_clear_status() {
    let (_nodes, discovery) = nodes(1).await;
    let running = service(&discovery).await;
    for (flavour, id) in [(XdsVariant::StateOfTheWorld, "stranger"), (XdsVariant::Incremental, "other")] {
        let p = Proxy::start(Settings::new(running.address, id, flavour)).with_load_reports().with_quotas();
        p.admit(&(1, "team".into(), 1));
        p.wait_for("refusals", |m| m.stream_errors.len() >= 6).await;
        for status in p.state().stream_errors {
            assert_eq!(status.code(), tonic::Code::PermissionDenied, "{status}");
            assert_eq!(status.message(), format!("node.id: '{id}' is not on the operators' list"));
        }
        assert!(p.state().targets.is_empty());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reloading_a_file_without_a_proxy_ends_its_streams_and_leaves_other_proxies_alone() {
    let (_nodes, discovery) = nodes(1).await;
    let mut running = service(&discovery).await;
    let proxies = BOTH.map(|f| proxy(&running, f).with_load_reports().with_quotas().with_traffic(100.0, 5));
    for p in &proxies {
        p.wait_for("one", |m| m.targets.len() == 1).await;
        until("a slice", || p.admit(&(1, "team".into(), 1))).await;
    }
    let path = file(&discovery, "[control.quotas]\nlease_ms = 1000\n");
    let text = std::fs::read_to_string(&path).expect("text").replace("\"whole\"", "\"else\"");
    std::fs::write(&path, text).expect("written");
    running.reload(prepare(&path).expect("it is valid")).await;
    proxies[0]
        .wait_for("its refusal", |m| {
            m.stream_errors.iter().any(|s| s.code() == tonic::Code::PermissionDenied)
        })
        .await;
    assert_eq!(proxies[0].state().targets.len(), 1, "it must keep its last configuration");
    // Its quota stream ends too: after its slices have expired, nothing is admitted for longer than a slice is valid.
    let mut last_admitted = Instant::now();
    until("the expiry of its slices", || {
        if proxies[0].admit(&(1, "team".into(), 1)) {
            last_admitted = Instant::now();
        }
        last_admitted.elapsed() > Duration::from_millis(1_500)
    })
    .await;
    assert!(proxies[1].state().stream_errors.is_empty(), "the other proxy's streams must stay open");
    running.stop().await;
    proxies[1]
        .wait_for("the end", |m| m.stream_errors.iter().any(|s| s.code() == tonic::Code::Unavailable))
        .await;
    assert_eq!(proxies[1].state().targets.len(), 1, "it must keep its last configuration");
}
