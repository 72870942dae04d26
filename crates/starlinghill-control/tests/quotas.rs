//! Tests of quotas that are divided among proxies, over real connections: under overload, with proxies killed and
//! disconnected, and with the service restarted.

mod common;

use common::{nodes, until};
use starlinghill_control::{prepare, start, Running};
use starlinghill_testkit::proxy::{Proxy, Settings, XdsVariant};
use starlinghill_testkit::quota::BucketKey;
use starlinghill_testkit::stubs::{self, Discovery};
use std::time::{Duration, Instant};

/// The quota of the test plan: units per second and the size of its token bucket, as in `PLAN`.
const RATE: f64 = 20.0;
const BURST: f64 = 30.0;
/// The quota's plan in the platform's settings.
const PLAN: &str = r#"{"name":"publisher","per_second":20.0,"peak_units":30.0,"ceiling_rate":36.0,"cap_depth":54.0,"tolerance":4.0},"#;
/// The quota section of the operators' file: short times, so that slices expire during the test.
const QUOTAS: &str = "[control.quotas]\nlease_ms = 1000\nallowance_ms = 250\ninterval_ms = 200\n";

async fn service(discovery: &Discovery) -> Running {
    let path = stubs::control_file(discovery.stub.address, &["p-0", "p-1", "p-2"], PLAN, QUOTAS);
    start(prepare(&path).expect("it is valid")).await.expect("the service starts")
}

fn proxies(running: &Running) -> Vec<Proxy> {
    let settings = |i: usize| Settings {
        report_interval: Duration::from_millis(200),
        ..Settings::new(running.address, &format!("p-{i}"), XdsVariant::Incremental)
    };
    (0..3).map(|i| Proxy::start(settings(i)).with_quotas()).collect()
}

/// A token bucket of the whole quota, charged with every request that any proxy admits. A level below zero shows that
/// the proxies together exceeded the quota.
struct ReferenceBucket {
    level: f64,
    updated: Instant,
    lowest: f64,
    admitted: u64,
}

impl ReferenceBucket {
    fn new() -> ReferenceBucket {
        ReferenceBucket { level: BURST, updated: Instant::now(), lowest: BURST, admitted: 0 }
    }
    fn charge(&mut self) {
        let now = Instant::now();
        self.level = (self.level + RATE * (now - self.updated).as_secs_f64()).min(BURST) - 1.0;
        (self.updated, self.lowest, self.admitted) = (now, self.lowest.min(self.level), self.admitted + 1);
    }
}

/// Requests admission from every proxy every 5 ms, for the given number of seconds.
async fn overload(proxies: &[&Proxy], key: &BucketKey, seconds: f64, quota: &mut ReferenceBucket) {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < end {
        for p in proxies {
            if p.admit(key) {
                quota.charge();
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_quota_is_not_exceeded_while_proxies_are_killed_and_cut_off_and_the_service_restarts() {
    let (_nodes, discovery) = nodes(1).await;
    let running = service(&discovery).await;
    let mut proxies = proxies(&running);
    let key: BucketKey = (0xb4d6_5521, "publisher".into(), 1);
    let mut quota = ReferenceBucket::new();
    until("the first slice", || proxies.iter().any(|p| p.admit(&key))).await;
    quota.charge();
    overload(&[&proxies[0], &proxies[1], &proxies[2]], &key, 2.0, &mut quota).await;
    let before = quota.admitted;
    // One proxy is disconnected and continues with the slice it has; another is killed.
    proxies[0].set_isolated(true);
    drop(proxies.remove(2));
    overload(&[&proxies[0], &proxies[1]], &key, 3.0, &mut quota).await;
    assert!(
        quota.admitted - before > 25,
        "the remaining proxies must still admit requests: {}",
        quota.admitted - before
    );
    proxies[0].set_isolated(false);
    overload(&[&proxies[0], &proxies[1]], &key, 1.0, &mut quota).await;
    // The service is killed while slices are assigned, and a new one starts without knowing them.
    running.kill();
    let again = service(&discovery).await;
    proxies.iter().for_each(|p| p.move_to(again.address));
    overload(&[&proxies[0], &proxies[1]], &key, 4.0, &mut quota).await;
    // The reference is charged a moment after a proxy admits a request, which is worth less than one request.
    assert!(quota.lowest > -1.0, "the quota was exceeded by {}", -quota.lowest);
    let before = quota.admitted;
    overload(&[&proxies[0], &proxies[1]], &key, 1.0, &mut quota).await;
    assert!(quota.admitted > before, "the new service must assign slices");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_buckets_and_plans_without_slices_are_denied_without_affecting_other_buckets() {
    let (_nodes, discovery) = nodes(1).await;
    let more = format!("{QUOTAS}plans = [\"publisher\"]\n");
    let path = stubs::control_file(discovery.stub.address, &["p-0", "p-1", "p-2"], PLAN, &more);
    let running = start(prepare(&path).expect("it is valid")).await.expect("the service starts");
    let proxies = proxies(&running);
    let invalid: [BucketKey; 4] = [
        (1, "team".into(), 1),
        (1, "no-such-plan".into(), 1),
        (1 << 40, "publisher".into(), 1),
        (1, "publisher".into(), 77),
    ];
    let valid: BucketKey = (2, "publisher".into(), 1);
    until("a slice of the valid bucket", || {
        invalid.iter().for_each(|key| assert!(!proxies[0].admit(key), "{key:?}"));
        proxies[0].admit(&valid)
    })
    .await;
    assert!(proxies[0].state().stream_errors.is_empty(), "the stream must stay open");
}
