//! A proxy's buckets: what a rate limit quota filter keeps, filled by assignments and emptied by requests.

use envoy_types::pb::envoy::r#type::v3::rate_limit_strategy::Strategy;
use envoy_types::pb::envoy::service::rate_limit_quota::v3::rate_limit_quota_response::bucket_action::BucketAction;
use envoy_types::pb::envoy::service::rate_limit_quota::v3::rate_limit_quota_usage_reports::BucketQuotaUsage;
use envoy_types::pb::envoy::service::rate_limit_quota::v3::{
    BucketId, RateLimitQuotaResponse, RateLimitQuotaUsageReports,
};
use envoy_types::pb::google::protobuf::Duration as ProtoDuration;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// What a bucket counts: customer, plan, units.
pub type BucketKey = (u64, String, u32);

#[derive(Debug, Clone)]
struct Bucket {
    most: f64,
    every: Duration,
    level: f64,
    at: Instant,
    until: Instant,
    allowed: u64,
    denied: u64,
    reported: Instant,
}

impl Bucket {
    /// Without an assignment nothing is let through.
    fn new(now: Instant) -> Bucket {
        let every = Duration::from_secs(86_400);
        Bucket { most: 0.0, every, level: 0.0, at: now, until: now, allowed: 0, denied: 0, reported: now }
    }
    fn fill(&mut self, now: Instant) {
        let more = (now - self.at).as_secs_f64() / self.every.as_secs_f64().max(1e-9);
        (self.level, self.at) = ((self.level + more).min(self.most), now);
    }
}

/// The buckets of one proxy.
#[derive(Debug, Default, Clone)]
pub struct Buckets {
    buckets: BTreeMap<BucketKey, Bucket>,
}

fn duration(span: Option<ProtoDuration>) -> Duration {
    let span = span.unwrap_or_default();
    Duration::new(span.seconds.max(0) as u64, span.nanos.max(0) as u32)
}

impl Buckets {
    /// Whether a request may go on, and whether its bucket is new, so that it is to be reported at once.
    pub fn admit(&mut self, now: Instant, key: &BucketKey) -> (bool, bool) {
        let new = !self.buckets.contains_key(key);
        let bucket = self.buckets.entry(key.clone()).or_insert_with(|| Bucket::new(now));
        bucket.fill(now);
        let ok = now < bucket.until && bucket.level >= 1.0;
        bucket.level -= if ok { 1.0 } else { 0.0 };
        (bucket.allowed, bucket.denied) = (bucket.allowed + u64::from(ok), bucket.denied + u64::from(!ok));
        (ok, new)
    }

    /// What was used since the last report, of all buckets.
    pub fn report(&mut self, now: Instant) -> RateLimitQuotaUsageReports {
        let usages = self.buckets.iter_mut().map(|((customer, plan, units), bucket)| {
            let elapsed = now - std::mem::replace(&mut bucket.reported, now);
            let id = HashMap::from([
                ("customer".to_string(), format!("{customer:016x}")),
                ("plan".to_string(), plan.clone()),
                ("units".to_string(), units.to_string()),
            ]);
            BucketQuotaUsage {
                bucket_id: Some(BucketId { bucket: id }),
                time_elapsed: Some(ProtoDuration {
                    seconds: elapsed.as_secs() as i64,
                    nanos: elapsed.subsec_nanos() as i32,
                }),
                num_requests_allowed: std::mem::take(&mut bucket.allowed),
                num_requests_denied: std::mem::take(&mut bucket.denied),
            }
        });
        RateLimitQuotaUsageReports { domain: "starlinghill".into(), bucket_quota_usages: usages.collect() }
    }

    /// Takes assignments in.
    pub fn apply_assignments(&mut self, now: Instant, response: RateLimitQuotaResponse) {
        for action in response.bucket_action {
            let Some(id) = action.bucket_id.map(|id| id.bucket) else { continue };
            let customer = id.get("customer").and_then(|c| u64::from_str_radix(c, 16).ok());
            let units = id.get("units").and_then(|u| u.parse().ok());
            let (Some(customer), Some(plan), Some(units)) = (customer, id.get("plan"), units) else {
                continue;
            };
            let key = (customer, plan.clone(), units);
            match action.bucket_action {
                Some(BucketAction::QuotaAssignmentAction(assigned)) => {
                    let Some(bucket) = self.buckets.get_mut(&key) else { continue };
                    bucket.fill(now);
                    let life = duration(assigned.assignment_time_to_live);
                    let (most, every) = match assigned.rate_limit_strategy.and_then(|s| s.strategy) {
                        Some(Strategy::TokenBucket(b)) => {
                            (f64::from(b.max_tokens), duration(b.fill_interval))
                        }
                        _ => (0.0, Duration::from_secs(86_400)),
                    };
                    // The same figures go on as they are; others begin full.
                    if now >= bucket.until || most != bucket.most || every != bucket.every {
                        (bucket.most, bucket.every, bucket.level) = (most, every, most);
                    }
                    bucket.until = now + life;
                }
                Some(BucketAction::AbandonAction(_)) => drop(self.buckets.remove(&key)),
                None => {}
            }
        }
    }
}
