//! Token buckets of a proxy's rate limit quota filter. Assignments from the control service set their size and
//! rate; requests take tokens.

use envoy_types::pb::envoy::r#type::v3::rate_limit_strategy::Strategy;
use envoy_types::pb::envoy::service::rate_limit_quota::v3::rate_limit_quota_response::bucket_action::BucketAction;
use envoy_types::pb::envoy::service::rate_limit_quota::v3::rate_limit_quota_usage_reports::BucketQuotaUsage;
use envoy_types::pb::envoy::service::rate_limit_quota::v3::{
    BucketId, RateLimitQuotaResponse, RateLimitQuotaUsageReports,
};
use envoy_types::pb::google::protobuf::Duration as ProtoDuration;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Identifies a bucket: customer id, plan name, and units per request.
pub type BucketKey = (u64, String, u32);

/// Fill interval of a bucket that gets no tokens.
const NO_FILL_INTERVAL: Duration = Duration::from_secs(86_400);

#[derive(Debug, Clone)]
struct Bucket {
    /// Capacity in tokens.
    capacity: f64,
    /// Time in which one token is added.
    fill_interval: Duration,
    /// Tokens at `filled_at`.
    level: f64,
    filled_at: Instant,
    /// End of the assignment; after it every request is denied.
    expires: Instant,
    /// Requests since the last report.
    allowed: u64,
    denied: u64,
    reported_at: Instant,
}

impl Bucket {
    /// Creates a bucket without an assignment: it denies all requests.
    fn new(now: Instant) -> Bucket {
        let fill_interval = NO_FILL_INTERVAL;
        Bucket {
            capacity: 0.0,
            fill_interval,
            level: 0.0,
            filled_at: now,
            expires: now,
            allowed: 0,
            denied: 0,
            reported_at: now,
        }
    }
    fn fill(&mut self, now: Instant) {
        let added = (now - self.filled_at).as_secs_f64() / self.fill_interval.as_secs_f64().max(1e-9);
        (self.level, self.filled_at) = ((self.level + added).min(self.capacity), now);
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
    /// Takes one token for a request. Returns whether the request is allowed, and whether its bucket is new and
    /// must be reported at once.
    pub fn admit(&mut self, now: Instant, key: &BucketKey) -> (bool, bool) {
        let new = !self.buckets.contains_key(key);
        let bucket = self.buckets.entry(key.clone()).or_insert_with(|| Bucket::new(now));
        bucket.fill(now);
        let ok = now < bucket.expires && bucket.level >= 1.0;
        bucket.level -= if ok { 1.0 } else { 0.0 };
        (bucket.allowed, bucket.denied) = (bucket.allowed + u64::from(ok), bucket.denied + u64::from(!ok));
        (ok, new)
    }

    /// Reports and resets the request counts of all buckets.
    pub fn report(&mut self, now: Instant) -> RateLimitQuotaUsageReports {
        let usages = self.buckets.iter_mut().map(|((customer, plan, units), bucket)| {
            let elapsed = now - std::mem::replace(&mut bucket.reported_at, now);
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

    /// Applies assignments to existing buckets, and removes abandoned buckets.
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
                    let time_to_live = duration(assigned.assignment_time_to_live);
                    let (capacity, fill_interval) =
                        match assigned.rate_limit_strategy.and_then(|s| s.strategy) {
                            Some(Strategy::TokenBucket(b)) => {
                                (f64::from(b.max_tokens), duration(b.fill_interval))
                            }
                            _ => (0.0, NO_FILL_INTERVAL),
                        };
                    // A renewed assignment with the same figures keeps its tokens; any other starts with a
                    // full bucket.
                    if now >= bucket.expires
                        || capacity != bucket.capacity
                        || fill_interval != bucket.fill_interval
                    {
                        (bucket.capacity, bucket.fill_interval, bucket.level) =
                            (capacity, fill_interval, capacity);
                    }
                    bucket.expires = now + time_to_live;
                }
                Some(BucketAction::AbandonAction(_)) => drop(self.buckets.remove(&key)),
                None => {}
            }
        }
    }
}
