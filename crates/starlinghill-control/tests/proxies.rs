//! The control service on loopback sockets, before proxies of both flavours that forward to save nodes.

mod common;

use common::{file, member, nodes, service, until};
use starlinghill_control::{prepare, Running};
use starlinghill_testkit::nodes::SaveNode;
use starlinghill_testkit::proxy::{Proxy, Settings, XdsVariant};
use starlinghill_testkit::stubs::{list, Discovery};
use std::time::{Duration, Instant};

const BOTH: [XdsVariant; 2] = [XdsVariant::StateOfTheWorld, XdsVariant::Incremental];
/// The cutoff of the rule on drains.
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

fn has(mirror: &starlinghill_testkit::proxy::ProxyState, id: &str) -> Option<bool> {
    mirror.targets.iter().find(|t| t.id == id).map(|t| t.healthy)
}

/// Once the proxies know, and a while has passed under load, nothing new has come to that node.
async fn quiet(node: &SaveNode, told: Instant) {
    tokio::time::sleep((told + CUTOFF).saturating_duration_since(Instant::now())).await;
    let before = node.requests();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(node.requests(), before, "new work later than the cutoff");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proxies_of_both_flavours_follow_the_list_and_keep_off_what_drains() {
    let (nodes, discovery) = nodes(3).await;
    let running = service(&discovery).await;
    let proxies = BOTH.map(|f| proxy(&running, f).with_traffic(300.0, 1));
    until("work at all nodes", || nodes.iter().all(|n| n.by_sender().len() == 2)).await;
    let told = Instant::now();
    discovery.set_answer(42, &list(42, false, &member("s-1", nodes[1].address, "draining", 0)));
    for p in &proxies {
        p.wait_for("the drain", |m| has(m, "s-1") == Some(false)).await;
        assert!(p.state().updated_at.expect("told") - told < CUTOFF);
    }
    quiet(&nodes[1], told).await;
    discovery.set_answer(43, &list(43, false, &member("s-1", nodes[1].address, "gone", 0)));
    for p in &proxies {
        p.wait_for("its end", |m| has(m, "s-1").is_none()).await;
    }
    let before = nodes[0].requests();
    until("work at the others", || nodes[0].requests() > before + 20).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_newcomer_at_an_old_address_is_told_as_itself_and_the_old_one_gets_nothing() {
    let (nodes, discovery) = nodes(2).await;
    let running = service(&discovery).await;
    let proxies = BOTH.map(|f| proxy(&running, f));
    for p in &proxies {
        p.wait_for("both", |m| m.targets.len() == 2).await;
    }
    let now_ms = starlinghill_failover_client::wall_clock::system();
    let told = Instant::now();
    let news =
        [member("s-9", nodes[1].address, "ready", now_ms), member("s-1", nodes[1].address, "draining", 0)];
    discovery.set_answer(42, &list(42, false, &news.join(",")));
    for p in &proxies {
        p.wait_for("the newcomer", |m| has(m, "s-9") == Some(true) && has(m, "s-1").is_none()).await;
        assert!(told.elapsed() < CUTOFF + Duration::from_secs(1));
        let mirror = p.state();
        let weight = |id: &str| mirror.targets.iter().find(|t| t.id == id).expect("there").weight;
        assert!(weight("s-9") * 3 < weight("s-0"), "it is cold: {:?}", mirror.targets);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_reaches_the_others_while_one_is_stuck_one_reconnects_and_slices_change() {
    let (nodes, discovery) = nodes(3).await;
    let running = service(&discovery).await;
    let stuck = Proxy::start(Settings {
        read_delay: Duration::from_secs(3600),
        ..Settings::new(running.address, "third", XdsVariant::Incremental)
    });
    let proxies = BOTH.map(|f| proxy(&running, f).with_quotas().with_traffic(200.0, 2));
    for p in &proxies {
        p.wait_for("all", |m| m.targets.len() == 3).await;
    }
    until("work", || nodes[2].by_sender().len() == 2).await;
    // A thousand customers' slices come and change.
    for customer in 0..1000 {
        proxies[0].admit(&(customer, "team".into(), 1));
    }
    let told = Instant::now();
    discovery.set_answer(42, &list(42, false, &member("s-2", nodes[2].address, "draining", 0)));
    proxies[1].reset_streams();
    for p in &proxies {
        p.wait_for("the drain", |m| has(m, "s-2") == Some(false)).await;
    }
    quiet(&nodes[2], told).await;
    assert!(stuck.state().targets.is_empty(), "it has read nothing");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_leaves_the_last_good_state_is_not_repeated_and_holds_nobody_up() {
    let (nodes, discovery) = nodes(2).await;
    let running = service(&discovery).await;
    let proxies = BOTH.map(|f| proxy(&running, f));
    let sound = Proxy::start(Settings::new(running.address, "third", XdsVariant::Incremental));
    for p in proxies.iter().chain([&sound]) {
        p.wait_for("both", |m| m.targets.len() == 2).await;
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
        assert_eq!((mirror.rejected, mirror.targets.len()), (1, 2), "said once, and the old state stays");
        assert!(mirror.stream_errors.is_empty());
    }
    discovery.set_answer(43, &list(43, false, &member("s-7", third.address, "gone", 0)));
    discovery.wait_for_watch(43);
    discovery.set_answer(44, &list(44, false, &member("s-0", nodes[0].address, "draining", 0)));
    for p in proxies.iter().chain([&sound]) {
        p.wait_for("the next state", |m| has(m, "s-0") == Some(false) && has(m, "s-7").is_none()).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_discovery_and_broken_lists_change_nothing_and_an_empty_whole_list_does() {
    let (nodes, discovery) = nodes(2).await;
    let running = service(&discovery).await;
    let proxies = BOTH.map(|f| proxy(&running, f));
    for p in &proxies {
        p.wait_for("both", |m| m.targets.len() == 2).await;
    }
    // No list at all, then a list of changes that is empty: no news.
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
async fn a_service_that_is_killed_and_comes_back_takes_nothing_away() {
    let (nodes, discovery) = nodes(2).await;
    let running = service(&discovery).await;
    let proxies = BOTH.map(|f| proxy(&running, f).with_quotas().with_traffic(200.0, 3));
    for p in &proxies {
        p.wait_for("both", |m| m.targets.len() == 2).await;
    }
    let key = (7, "team".to_string(), 1);
    // A new service gives nothing out at first: what an earlier one gave might still be used.
    until("a slice", || proxies[0].admit(&key)).await;
    running.kill();
    let before = nodes[0].requests();
    until("work without the service", || nodes[0].requests() > before + 50).await;
    // It comes back, empty, at another address, and discovery answers it late.
    let silent = Discovery::start("");
    silent.set_answer(41, "no list yet");
    let again = service(&silent).await;
    proxies.iter().for_each(|p| p.move_to(again.address));
    let counts: Vec<u64> = proxies.iter().map(|p| p.state().responses).collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    for (p, before) in proxies.iter().zip(&counts) {
        let mirror = p.state();
        assert_eq!(
            (mirror.targets.len(), mirror.responses),
            (2, *before),
            "nothing is known, nothing is said"
        );
    }
    let members: Vec<String> = nodes
        .iter()
        .enumerate()
        .map(|(i, node)| member(&format!("s-{i}"), node.address, "ready", 0))
        .collect();
    silent.set_answer(42, &list(42, true, &members.join(",")));
    until("the list", || again.hub.published.borrow().is_some()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    for (p, before) in proxies.iter().zip(&counts) {
        let mirror = p.state();
        assert_eq!((mirror.targets.len(), mirror.responses), (2, *before), "they have just that: no storm");
    }
    silent.set_answer(43, &list(43, false, &member("s-1", nodes[1].address, "draining", 0)));
    for p in &proxies {
        p.wait_for("news from the new one", |m| has(m, "s-1") == Some(false)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_fails_at_the_proxies_is_ejected_for_all() {
    let (nodes, discovery) = nodes(3).await;
    let running = service(&discovery).await;
    let sending = proxy(&running, XdsVariant::StateOfTheWorld).with_load_reports().with_traffic(300.0, 4);
    let idle = proxy(&running, XdsVariant::Incremental);
    idle.wait_for("all", |m| m.targets.iter().filter(|t| t.healthy).count() == 3).await;
    nodes[1].set_failing(true);
    idle.wait_for("the ejection", |m| has(m, "s-1") == Some(false)).await;
    assert_eq!(has(&idle.state(), "s-0"), Some(true));
    nodes[1].set_failing(false);
    let whole = |m: &starlinghill_testkit::proxy::ProxyState| {
        let weights: Vec<u32> = m.targets.iter().filter(|t| t.healthy).map(|t| t.weight).collect();
        weights.len() == 3 && weights.iter().all(|w| *w == weights[0])
    };
    idle.wait_for("its return", whole).await;
    sending.wait_for("its return", whole).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn who_is_not_on_the_list_is_refused_with_a_clear_status() {
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
async fn a_new_file_takes_a_proxy_off_the_list_and_leaves_the_others() {
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
    running.reload(prepare(&path).expect("sound")).await;
    proxies[0]
        .wait_for("its refusal", |m| {
            m.stream_errors.iter().any(|s| s.code() == tonic::Code::PermissionDenied)
        })
        .await;
    assert_eq!(proxies[0].state().targets.len(), 1, "it keeps what it has");
    // Its quota stream ends too: once its slices have lapsed, nothing is let through for longer than any lives.
    let mut last = Instant::now();
    until("the lapse", || {
        if proxies[0].admit(&(1, "team".into(), 1)) {
            last = Instant::now();
        }
        last.elapsed() > Duration::from_millis(1_500)
    })
    .await;
    assert!(proxies[1].state().stream_errors.is_empty(), "the other is left alone");
    running.stop().await;
    proxies[1]
        .wait_for("the end", |m| m.stream_errors.iter().any(|s| s.code() == tonic::Code::Unavailable))
        .await;
    assert_eq!(proxies[1].state().targets.len(), 1, "it keeps what it has");
}
