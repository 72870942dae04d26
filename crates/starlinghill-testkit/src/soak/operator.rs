//! An operator whose changes come in series while troubles last, and the look at what is in force afterwards.

use crate::system::{call, patch_config, rule_change, rule_item, System};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// A configuration is in force within this everywhere, as the settings of the system under test say, and the time to ask.
const APPLY: Duration = Duration::from_millis(2_500 + 500);
/// How often a change is sent again, to another registry.
const TRIES: usize = 6;
/// The numbers of the first items end below this.
const FIRST: u64 = 100;

/// A second tenant, without a limit, with a service and a route of its own.
pub(super) fn second_tenant() -> String {
    let route = rule_item("r-kept", 8, "safe", "/kept/", "2000ms").replace("ledger", "lobby");
    format!(
        r#"{{"upsert":{{"customers":[{{"name":"press","api_keys":["key-2"],"priority":0,"rate_per_s":0,"burst":0,
        "version":"r8"}}],"ports":[{{"hostname":"a.example","policy":[{route}]}}],"groups":[{{"name":"lobby",
        "health_path":"/health","max_conns":130,"protocol":"h1","tls":false,"version":"r8"}}]}},"remove":{{}}}}"#
    )
}

/// The route of a number: each number moves it to another prefix. It leads to the second service: what the first one runs
/// is held against the quota of the first tenant.
fn moved(number: u64) -> String {
    rule_change(
        &rule_item("r-moved", number, "safe", &format!("/moved-{number}/"), "2000ms")
            .replace("ledger", "lobby"),
    )
}

/// Counts the changes that were sent.
#[derive(Debug, Default)]
pub(super) struct Operator {
    sent: AtomicU64,
    confirmed: AtomicU64,
}

impl Operator {
    /// How many changes were confirmed.
    pub(super) fn confirmed(&self) -> u64 {
        self.confirmed.load(Ordering::Relaxed)
    }

    /// Sends one change after the other until it is over.
    pub(super) async fn change(self: Arc<Self>, controls: Vec<SocketAddr>, over: Arc<AtomicBool>) {
        while !over.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(fastrand::u64(20..400))).await;
            let number = FIRST + self.sent.fetch_add(1, Ordering::Relaxed);
            for _ in 0..TRIES {
                let control = controls[fastrand::usize(..controls.len())];
                if patch_config(control, &moved(number)).await.is_some_and(|answer| answer.status == 200) {
                    self.confirmed.fetch_add(1, Ordering::Relaxed);
                    break;
                }
            }
        }
    }

    /// One more change, when all is well: it must be in force everywhere in time, and nothing older. Returns what is wrong.
    pub(super) async fn last_change(&self, system: &System) -> Vec<String> {
        let number = FIRST + self.sent.load(Ordering::Relaxed) + 1;
        let answer = system.send_change(&moved(number)).await;
        if answer.status != 200 {
            return vec![format!("the last change is answered {}: {}", answer.status, answer.body)];
        }
        let until = Instant::now() + APPLY;
        let mut faults = Vec::new();
        for (edge, machine) in system.edges.iter().enumerate() {
            while status(machine.front_address(), number).await == Some(404) && Instant::now() < until {
                sleep(Duration::from_millis(50)).await;
            }
            let (newest, older) = (
                status(machine.front_address(), number).await,
                status(machine.front_address(), number - 2).await,
            );
            if newest.is_none_or(|status| status == 404) || older != Some(404) {
                faults.push(format!(
                    "proxy {edge} answers {newest:?} on the last route, {older:?} on the one before"
                ));
            }
        }
        faults
    }
}

/// Fault a proxy answers on the route of a number, to the tenant without a limit.
async fn status(front: SocketAddr, number: u64) -> Option<u16> {
    let id = format!("moved-{}", fastrand::u64(..));
    let headers = [("attempt-id", id.as_str()), ("authorization", "Bearer key-2")];
    call(front, "GET", &format!("/moved-{number}/1"), &headers, "").await.map(|answer| answer.status)
}
