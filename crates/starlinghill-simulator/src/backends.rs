//! Backends that beat, drain, leave or crash: their calls alone.

use crate::checker::{BEAT, DRAIN};
use crate::cluster::ip;
use crate::scenario::{call, Run};
use hyper::Method;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// So often one says that it drains, or that it leaves, where nobody acknowledges it.
const SAID: usize = 8;

/// What the backend at the address of that number says of itself.
pub fn beat(slot: usize, state: &str, calls: u64) -> String {
    format!(
        r#"{{"address":"10.0.3.{}:9000","details":{{"service":"ledger","version":"v1","zone":"a","capacity":4}},"observed":{{"state":"{state}","call_count":{calls},"warmup_left":"0ms"}}}}"#,
        slot + 1
    )
}

/// One life after the other at an address.
pub async fn lives(run: Rc<Run>, slot: usize) {
    let mut life = 0;
    while !run.over.get() {
        let mut backend = Backend { run: run.clone(), slot, id: format!("b-{slot}-{life}"), calls: 0, at: 0 };
        backend.live().await;
        sleep(run.ms(10, 1_500)).await;
        life += 1;
    }
}

struct Backend {
    run: Rc<Run>,
    slot: usize,
    id: String,
    calls: u64,
    /// The core machine that took its last call.
    at: usize,
}

impl Backend {
    async fn live(&mut self) {
        let until = Instant::now() + self.run.ms(2_000, 9_000 * self.run.stretch);
        self.at = self.run.any_core();
        while Instant::now() < until && !self.run.over.get() {
            let begun = self.run.now();
            match self.say("ready").await {
                true => drop(self.run.beating.borrow_mut().entry(self.id.clone()).or_insert(begun)),
                false => {
                    // It may be forgotten until the next one is acknowledged.
                    self.run.beating.borrow_mut().remove(&self.id);
                    self.at = self.run.any_core();
                    continue;
                }
            }
            sleep(BEAT).await;
        }
        self.run.beating.borrow_mut().remove(&self.id);
        match self.run.draw(8) {
            // It crashes, and says nothing.
            0 => {}
            // It never says that it drains.
            1 => drop(self.leave().await),
            _ => {
                self.last_word(false).await;
                let serves = Instant::now() + DRAIN + self.run.ms(0, 2_000);
                while Instant::now() < serves && !self.run.over.get() {
                    sleep(BEAT).await;
                    if !self.say("draining").await {
                        self.at = self.run.any_core();
                    }
                }
                self.leave().await;
            }
        }
    }

    async fn leave(&mut self) -> bool {
        self.last_word(true).await
    }

    /// Says it to one member after the other until it is acknowledged; from then on the rules count.
    async fn last_word(&mut self, gone: bool) -> bool {
        for _ in 0..SAID {
            let said = match gone {
                true => self.go().await,
                false => self.say("draining").await,
            };
            if said {
                let now = self.run.now();
                self.run.seen.borrow_mut().drained.entry(self.id.clone()).or_insert(now);
                return true;
            }
            self.at = self.run.any_core();
            sleep(Duration::from_millis(50)).await;
        }
        false
    }

    async fn say(&mut self, state: &str) -> bool {
        self.calls += 1;
        let body = beat(self.slot, state, self.calls);
        self.call(Method::PUT, body).await
    }

    async fn go(&mut self) -> bool {
        self.call(Method::DELETE, String::new()).await
    }

    async fn call(&self, method: Method, body: String) -> bool {
        let net = self.run.world.fabric.at(ip(3, self.slot));
        let (to, path) = (self.run.world.control(self.at), format!("/api/backends/{}", self.id));
        let answer = call(&net, to, method, &path, body.into_bytes()).await;
        answer.is_some_and(|(status, _)| status == 200)
    }
}
