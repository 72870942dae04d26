//! Slices of quotas over sockets: proxies that surge, one killed, one cut off, and the service itself killed.

mod common;

use common::{nodes, until};
use starlinghill_control::{prepare, start, Running};
use starlinghill_testkit::proxy::{Flavour, Proxy, Settings};
use starlinghill_testkit::quota::BucketKey;
use starlinghill_testkit::stubs::{self, Discovery};
use std::time::{Duration, Instant};

const RATE: f64 = 20.0;
const BURST: f64 = 30.0;
const PLAN: &str = r#"{"name":"publisher","per_second":20.0,"peak_units":30.0,"ceiling_rate":36.0,"cap_depth":54.0,"tolerance":4.0},"#;
const QUOTAS: &str = "[control.quotas]\nlease_ms = 1000\nallowance_ms = 250\ninterval_ms = 200\n";

async fn service(discovery: &Discovery) -> Running {
    let path = stubs::control_file(discovery.stub.address, &["p-0", "p-1", "p-2"], PLAN, QUOTAS);
    start(prepare(&path).expect("sound")).await.expect("it starts")
}

fn proxies(running: &Running) -> Vec<Proxy> {
    let settings = |i: usize| Settings {
        interval: Duration::from_millis(200),
        ..Settings::new(running.address, &format!("p-{i}"), Flavour::Delta)
    };
    (0..3).map(|i| Proxy::start(settings(i)).counting()).collect()
}

/// The quota's own bucket, fed with all that goes on.
struct Reference {
    level: f64,
    at: Instant,
    lowest: f64,
    passed: u64,
}

impl Reference {
    fn new() -> Reference {
        Reference { level: BURST, at: Instant::now(), lowest: BURST, passed: 0 }
    }
    fn pass(&mut self) {
        let now = Instant::now();
        self.level = (self.level + RATE * (now - self.at).as_secs_f64()).min(BURST) - 1.0;
        (self.at, self.lowest, self.passed) = (now, self.lowest.min(self.level), self.passed + 1);
    }
}

/// All ask as fast as they can for so long.
async fn surge(proxies: &[&Proxy], key: &BucketKey, seconds: f64, quota: &mut Reference) {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < end {
        for p in proxies {
            if p.admit(key) {
                quota.pass();
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_quota_is_passed_while_proxies_are_killed_and_cut_off_and_the_service_restarts() {
    let (_nodes, discovery) = nodes(1).await;
    let running = service(&discovery).await;
    let mut proxies = proxies(&running);
    let key: BucketKey = (0xb4d6_5521, "publisher".into(), 1);
    let mut quota = Reference::new();
    until("a first slice", || proxies.iter().any(|p| p.admit(&key))).await;
    quota.pass();
    surge(&[&proxies[0], &proxies[1], &proxies[2]], &key, 2.0, &mut quota).await;
    let before = quota.passed;
    // One is cut off and goes on with what it has; one is killed.
    proxies[0].apart(true);
    drop(proxies.remove(2));
    surge(&[&proxies[0], &proxies[1]], &key, 3.0, &mut quota).await;
    assert!(quota.passed - before > 25, "the third still serves: {}", quota.passed - before);
    proxies[0].apart(false);
    surge(&[&proxies[0], &proxies[1]], &key, 1.0, &mut quota).await;
    // The service dies with slices out and comes back empty.
    running.kill();
    let again = service(&discovery).await;
    proxies.iter().for_each(|p| p.move_to(again.address));
    surge(&[&proxies[0], &proxies[1]], &key, 4.0, &mut quota).await;
    // What was in flight between a bucket and this measure is less than a request.
    assert!(quota.lowest > -1.0, "{} beyond the quota", -quota.lowest);
    let before = quota.passed;
    surge(&[&proxies[0], &proxies[1]], &key, 1.0, &mut quota).await;
    assert!(quota.passed > before, "the new one gives slices out");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_buckets_are_denied_alone_and_a_plan_left_out_gets_nothing() {
    let (_nodes, discovery) = nodes(1).await;
    let more = format!("{QUOTAS}plans = [\"publisher\"]\n");
    let path = stubs::control_file(discovery.stub.address, &["p-0", "p-1", "p-2"], PLAN, &more);
    let running = start(prepare(&path).expect("sound")).await.expect("it starts");
    let proxies = proxies(&running);
    let bad: [BucketKey; 4] = [
        (1, "team".into(), 1),
        (1, "no-such-plan".into(), 1),
        (1 << 40, "publisher".into(), 1),
        (1, "publisher".into(), 77),
    ];
    let good: BucketKey = (2, "publisher".into(), 1);
    until("the good one's slice", || {
        bad.iter().for_each(|key| assert!(!proxies[0].admit(key), "{key:?}"));
        proxies[0].admit(&good)
    })
    .await;
    assert!(proxies[0].mirror().ends.is_empty(), "the stream goes on");
}
