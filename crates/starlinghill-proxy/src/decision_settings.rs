//! Translates the configuration into classes and plans of the decision module. Each keeps its index as long as the
//! process lives, because open requests refer to it.

use starlinghill_config_model::routing::{Route, Tenant};
use starlinghill_config_model::RoutingTable;
use starlinghill_decision::api::*;
use starlinghill_runtime::settings::Bounds;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of attempts for one request. Routes set lower limits of their own.
pub const MAX_ATTEMPTS: usize = 16;
/// Worth of a response after the latency target, relative to one in time. The configuration names only the target.
const LATE_WORTH_RATIO: f64 = 0.5;
/// Fractions of the retry budget (ratio and extra) that gateways use. The rest covers gateways that restart, and
/// measurement windows that begin between those of the gateways.
const RETRY_RATIO_USED: f64 = 0.8;
const RETRY_EXTRA_USED: f64 = 0.5;
/// Length of a backend's warm-up, and the fraction of its capacity at the beginning. Backends report only the
/// remaining time of the warm-up.
pub const WARMUP: Micros = Micros(3_000_000);
const WARMUP_START_CAPACITY: f64 = 0.5;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ClassKey {
    aim: Duration,
    timeout: Duration,
    priority: u64,
    safe: bool,
}

/// Indexes of the classes and plans that were passed to the decision module.
#[derive(Debug)]
pub struct DecisionIndex {
    class_ids: HashMap<ClassKey, usize>,
    classes: Vec<Class>,
    plan_ids: HashMap<String, usize>,
    plans: Vec<Plan>,
}

/// The plan of requests without a tenant.
pub const NO_TENANT_PLAN: PlanId = PlanId(0);

impl Default for DecisionIndex {
    fn default() -> DecisionIndex {
        let (class_ids, classes, plan_ids) = Default::default();
        DecisionIndex { class_ids, classes, plan_ids, plans: vec![plan(0.0, 0.0)] }
    }
}

fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        rate,
        // The burst must allow at least one request.
        burst: if rate > 0.0 { burst.max(1.0) } else { 0.0 },
        open: 0.0,
        price: 1.0,
        over_worth: 0.0,
        over_cost: 0.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    }
}

fn class_key(route: &Route, tenant: Option<&Tenant>) -> ClassKey {
    let priority = tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority);
    ClassKey { aim: route.target_time, timeout: route.timeout, priority, safe: route.idempotent }
}

fn micros(duration: Duration) -> Micros {
    Micros(duration.as_micros() as u64)
}

impl DecisionIndex {
    /// Applies a configuration: every class and plan that a request may need gets an index.
    pub fn follow(&mut self, table: &RoutingTable) {
        for route in table.routes() {
            let tenants = table.tenants.iter().map(|tenant| Some(tenant.as_ref()));
            for tenant in tenants.chain([None]) {
                let class_key = class_key(route, tenant);
                if self.class_ids.contains_key(&class_key) {
                    continue;
                }
                self.class_ids.insert(class_key, self.classes.len());
                let effect = if class_key.safe { Effect::Safe } else { Effect::Unsafe };
                // The configuration has only ranks. Each rank is worth less than the one above it.
                let worth = 3.0 / (1.0 + class_key.priority as f64);
                self.classes.push(Class {
                    target: micros(class_key.aim),
                    deadline: micros(class_key.timeout),
                    worth,
                    late_worth: worth * LATE_WORTH_RATIO,
                    effect,
                    group: Group::All,
                    window: Micros(0),
                    stream: false,
                });
            }
        }
        for tenant in &table.tenants {
            let new_plan = plan(tenant.rate, tenant.burst);
            match self.plan_ids.get(&tenant.name) {
                Some(index) => self.plans[*index] = new_plan,
                None => {
                    self.plan_ids.insert(tenant.name.clone(), self.plans.len());
                    self.plans.push(new_plan);
                }
            }
        }
    }

    /// The class of a request.
    pub fn class(&self, route: &Route, tenant: Option<&Tenant>) -> Option<ClassId> {
        self.class_ids.get(&class_key(route, tenant)).copied().map(ClassId)
    }

    /// The plan of a tenant.
    pub fn plan(&self, tenant: &str) -> Option<PlanId> {
        self.plan_ids.get(tenant).copied().map(PlanId)
    }

    /// The rules for the decision module.
    pub fn rules(&self, position: &FleetPosition, bounds: &Bounds) -> Rules {
        let (gateways, index) = (position.gateways.max(1), position.index);
        let retries = Some(retry_budget(bounds, gateways));
        let common = SharedSettings {
            plans: self.plans.clone(),
            gateways,
            me: index.min(gateways - 1),
            retries,
            clock_offset: position.skew,
        };
        Rules { classes: self.classes.clone(), max_attempts: MAX_ATTEMPTS, common: Some(common) }
    }
}

/// This gateway's place among all gateways.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetPosition {
    /// Number of gateways.
    pub gateways: u32,
    /// Index of this gateway among them.
    pub index: u32,
    /// How far the system's time is ahead of the module's clock.
    pub skew: Micros,
}

/// One gateway's part of the retry budget. The sum over all gateways stays within the budget: each earns the ratio
/// for its own requests only, and saves no more than its part of the extra.
pub fn retry_budget(bounds: &Bounds, gateways: u32) -> RetryBudget {
    let saved = bounds.retry_extra * RETRY_EXTRA_USED / f64::from(gateways.max(1));
    RetryBudget { share: bounds.retry_ratio * RETRY_RATIO_USED, saved }
}

/// How long the module waits before it tries an unreachable counter again. Another registry takes over within about a
/// second, and a probe costs only one call.
const COUNTER_RETRY_DELAY: Micros = Micros(250_000);

/// The module's initial settings, before any configuration is known.
pub fn settings(zone: ZoneId, bounds: &Bounds) -> Settings {
    Settings {
        gateways: 1,
        me: 0,
        zone,
        classes: Vec::new(),
        plans: vec![plan(0.0, 0.0)],
        max_attempts: MAX_ATTEMPTS,
        second_copies: false,
        may_cancel: true,
        probes: false,
        retry_after: true,
        max_retry_after: Micros(10_000_000),
        counter: true,
        count_timeout: micros(crate::quota_client::DRAW_TIMEOUT),
        peers_per_s: 0.0,
        most_units: 1.0,
        must_subscribe: false,
        answer_slack: Micros(0),
        cold_from: WARMUP_START_CAPACITY,
        cold: WARMUP,
        fall_multiple: 4.0,
        tip_after: Micros(1_000_000),
        tick: Micros(1_000),
        retries: Some(retry_budget(bounds, 16)),
        counter_buckets: true,
        allowance: bounds.allowance(),
        cooldown: Some(COUNTER_RETRY_DELAY),
        // Cancelling an attempt that a backend already works on wastes that work.
        wait_to_deadline: true,
        clock_offset: Micros(0),
    }
}
