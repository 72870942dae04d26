//! What the configuration comes to in the decision module's terms: classes of requests and plans, each of which keeps its
//! place for as long as the process lives, since requests that are open go by it.

use starlinghill_config_model::routing::{Route, Tenant};
use starlinghill_config_model::RoutingTable;
use starlinghill_decision::api::*;
use starlinghill_runtime::settings::Bounds;
use std::collections::HashMap;
use std::time::Duration;

/// The most attempts for one request: routes have bounds of their own below it.
pub const MOST_ATTEMPTS: usize = 16;
/// What an answer after the aim is worth. The configuration does not say; it says that there is an aim.
const LATE_WORTH: f64 = 0.5;
/// Part of the budget of further tries that gateways spend: the rest is for those that restart, and for windows that
/// begin in the middle of what each of them counts.
const RATIO_USED: f64 = 0.8;
const EXTRA_USED: f64 = 0.5;
/// How long a backend is slow after its start, and the part of its capacity that it has at first. Backends say how much
/// longer they are, not how slow.
pub const COLD: Micros = Micros(3_000_000);
const COLD_FROM: f64 = 0.5;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Shape {
    aim: Duration,
    timeout: Duration,
    priority: u64,
    safe: bool,
}

/// Places of classes and plans.
#[derive(Debug)]
pub struct Places {
    shapes: HashMap<Shape, usize>,
    classes: Vec<Class>,
    tenants: HashMap<String, usize>,
    plans: Vec<Plan>,
}

/// The plan of requests that have no tenant.
pub const NOBODY: PlanId = PlanId(0);

impl Default for Places {
    fn default() -> Places {
        let (shapes, classes, tenants) = Default::default();
        Places { shapes, classes, tenants, plans: vec![plan(0.0, 0.0)] }
    }
}

fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        rate,
        // A quota must have room for one request.
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

fn shape(route: &Route, tenant: Option<&Tenant>) -> Shape {
    let priority = tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority);
    Shape { aim: route.target_time, timeout: route.timeout, priority, safe: route.idempotent }
}

fn micros(span: Duration) -> Micros {
    Micros(span.as_micros() as u64)
}

impl Places {
    /// Takes in a configuration: every class and plan that a request may have from now on gets its place.
    pub fn follow(&mut self, table: &RoutingTable) {
        for route in table.routes() {
            let tenants = table.tenants.iter().map(|tenant| Some(tenant.as_ref()));
            for tenant in tenants.chain([None]) {
                let shape = shape(route, tenant);
                if self.shapes.contains_key(&shape) {
                    continue;
                }
                self.shapes.insert(shape, self.classes.len());
                let effect = if shape.safe { Effect::Safe } else { Effect::Unsafe };
                // Ranks are told, and no worth: each is worth less than the one above it.
                let worth = 3.0 / (1.0 + shape.priority as f64);
                self.classes.push(Class {
                    target: micros(shape.aim),
                    deadline: micros(shape.timeout),
                    worth,
                    late_worth: worth * LATE_WORTH,
                    effect,
                    group: Group::All,
                    window: Micros(0),
                    stream: false,
                });
            }
        }
        for tenant in &table.tenants {
            let new = plan(tenant.rate, tenant.burst);
            match self.tenants.get(&tenant.name) {
                Some(place) => self.plans[*place] = new,
                None => {
                    self.tenants.insert(tenant.name.clone(), self.plans.len());
                    self.plans.push(new);
                }
            }
        }
    }

    /// The class of a request.
    pub fn class(&self, route: &Route, tenant: Option<&Tenant>) -> Option<ClassId> {
        self.shapes.get(&shape(route, tenant)).copied().map(ClassId)
    }

    /// The plan of a tenant.
    pub fn plan(&self, tenant: &str) -> Option<PlanId> {
        self.tenants.get(tenant).copied().map(PlanId)
    }

    /// What the module is told.
    pub fn rules(&self, fleet: &Fleet, bounds: &Bounds) -> Rules {
        let (gateways, me) = (fleet.gateways.max(1), fleet.me);
        let retries = Some(retries(bounds, gateways));
        let common = SharedSettings {
            plans: self.plans.clone(),
            gateways,
            me: me.min(gateways - 1),
            retries,
            clock_offset: fleet.skew,
        };
        Rules { classes: self.classes.clone(), max_attempts: MOST_ATTEMPTS, common: Some(common) }
    }
}

/// What gateways have in common.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Fleet {
    /// How many there are.
    pub gateways: u32,
    /// This one's number.
    pub me: u32,
    /// What the system's time is ahead of the module's.
    pub skew: Micros,
}

/// A gateway's part of the budget of further tries. Summed over all gateways it stays within the budget: each adds its part
/// of the ratio for its own requests, and saves up no more than its part of what may come on top.
pub fn retries(bounds: &Bounds, gateways: u32) -> RetryBudget {
    let saved = bounds.retry_extra * EXTRA_USED / f64::from(gateways.max(1));
    RetryBudget { share: bounds.retry_ratio * RATIO_USED, saved }
}

/// The count of the system is back within a second or so, elsewhere; a probe costs one call.
const COOLDOWN: Micros = Micros(250_000);

/// The module's settings, before anything is known.
pub fn settings(zone: ZoneId, bounds: &Bounds) -> Settings {
    Settings {
        gateways: 1,
        me: 0,
        zone,
        classes: Vec::new(),
        plans: vec![plan(0.0, 0.0)],
        max_attempts: MOST_ATTEMPTS,
        second_copies: false,
        may_cancel: true,
        probes: false,
        retry_after: true,
        max_retry_after: Micros(10_000_000),
        counter: true,
        count_timeout: micros(crate::quota_client::PATIENCE),
        peers_per_s: 0.0,
        most_units: 1.0,
        must_subscribe: false,
        answer_slack: Micros(0),
        cold_from: COLD_FROM,
        cold: COLD,
        fall_multiple: 4.0,
        tip_after: Micros(1_000_000),
        tick: Micros(1_000),
        retries: Some(retries(bounds, 16)),
        counter_buckets: true,
        allowance: bounds.allowance(),
        cooldown: Some(COOLDOWN),
        // A backend that is at work and is broken off has worked for nothing, and costs.
        wait_to_deadline: true,
        clock_offset: Micros(0),
    }
}
