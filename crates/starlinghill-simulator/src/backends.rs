//! Simulated backends that send heartbeats, drain, leave or crash. Only their calls to the control plane are
//! simulated.

use crate::checker::{DRAIN_LIMIT, HEARTBEAT_INTERVAL};
use crate::cluster::machine_ip;
use crate::scenario::{call, Run};
use hyper::Method;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How often a backend reports that it drains or leaves while no reply comes.
const REPORT_ATTEMPTS: usize = 8;

/// The body of a heartbeat from the backend with this index.
pub fn heartbeat_body(slot: usize, state: &str, call_count: u64) -> String {
    format!(
        r#"{{"address":"10.0.3.{}:9000","details":{{"service":"ledger","version":"v1","zone":"a","capacity":4}},"observed":{{"state":"{state}","call_count":{call_count},"warmup_left":"0ms"}}}}"#,
        slot + 1
    )
}

/// Runs backends one after the other at one address until the run ends.
pub async fn run_lifetimes(run: Rc<Run>, slot: usize) {
    let mut lifetime = 0;
    while !run.is_over.get() {
        let mut backend =
            Backend { run: run.clone(), slot, id: format!("b-{slot}-{lifetime}"), calls: 0, core: 0 };
        backend.run_once().await;
        sleep(run.random_ms(10, 1_500)).await;
        lifetime += 1;
    }
}

struct Backend {
    run: Rc<Run>,
    slot: usize,
    id: String,
    calls: u64,
    /// The core machine that answers its calls at present.
    core: usize,
}

impl Backend {
    async fn run_once(&mut self) {
        let until = Instant::now() + self.run.random_ms(2_000, 9_000 * self.run.duration_factor);
        self.core = self.run.random_core();
        while Instant::now() < until && !self.run.is_over.get() {
            let started = self.run.now();
            match self.send_heartbeat("ready").await {
                true => drop(self.run.heartbeating.borrow_mut().entry(self.id.clone()).or_insert(started)),
                false => {
                    // The registries may drop the backend until its next acknowledged heartbeat.
                    self.run.heartbeating.borrow_mut().remove(&self.id);
                    self.core = self.run.random_core();
                    continue;
                }
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
        self.run.heartbeating.borrow_mut().remove(&self.id);
        match self.run.random_below(8) {
            // A crash: nothing is reported.
            0 => {}
            // The backend leaves without draining first.
            1 => drop(self.leave().await),
            _ => {
                self.report_until_acknowledged(false).await;
                let drain_ends = Instant::now() + DRAIN_LIMIT + self.run.random_ms(0, 2_000);
                while Instant::now() < drain_ends && !self.run.is_over.get() {
                    sleep(HEARTBEAT_INTERVAL).await;
                    if !self.send_heartbeat("draining").await {
                        self.core = self.run.random_core();
                    }
                }
                self.leave().await;
            }
        }
    }

    async fn leave(&mut self) -> bool {
        self.report_until_acknowledged(true).await
    }

    /// Reports to random members that the backend drains or leaves, until one acknowledges it. The drain limit counts
    /// from then on.
    async fn report_until_acknowledged(&mut self, leaves: bool) -> bool {
        for _ in 0..REPORT_ATTEMPTS {
            let acknowledged = match leaves {
                true => self.deregister().await,
                false => self.send_heartbeat("draining").await,
            };
            if acknowledged {
                let now = self.run.now();
                self.run.history.borrow_mut().drained_at.entry(self.id.clone()).or_insert(now);
                return true;
            }
            self.core = self.run.random_core();
            sleep(Duration::from_millis(50)).await;
        }
        false
    }

    async fn send_heartbeat(&mut self, state: &str) -> bool {
        self.calls += 1;
        let body = heartbeat_body(self.slot, state, self.calls);
        self.call(Method::PUT, body).await
    }

    async fn deregister(&mut self) -> bool {
        self.call(Method::DELETE, String::new()).await
    }

    async fn call(&self, method: Method, body: String) -> bool {
        let net = self.run.cluster.network.handle_for(machine_ip(3, self.slot));
        let (address, path) =
            (self.run.cluster.control_address(self.core), format!("/api/backends/{}", self.id));
        let reply = call(&net, address, method, &path, body.into_bytes()).await;
        reply.is_some_and(|(status, _)| status == 200)
    }
}
