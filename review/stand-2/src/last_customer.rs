//! The tenants of a deployment are dropped one after the other. The keys that they held, keys that nobody ever held and
//! requests without a key must not be run after that.

use crate::system::{ask, change, customer, route, Backend, Deployment, Record, System};
use crate::Verdict;
use std::thread;
use std::time::Duration;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let system = System::start(record, Deployment::Small, 2, 0);
    let work = Duration::from_millis(20);
    let backends: Vec<Backend> = (1..=2).map(|i| Backend::start(&system, i, "prizepay", work)).collect();
    let first = change(
        &[customer("hall", 7, &["key-hall"]), customer("studio", 7, &["key-studio"])],
        &[route("r-pay", 7, "mutating", "/pay/", "prizepay")],
        &["prizepay"],
        "",
    );
    if system.order("the first configuration", &first).map(|(status, _)| status) != Some(200)
        || !system.wait_until_ready()
    {
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let mut dropped = Vec::new();
    let mut broken = 0;
    // Without the disruption no tenant is dropped.
    let drops: &[&str] = if trouble { &["", "hall", "studio"] } else { &["", "", ""] };
    for (step, name) in drops.iter().enumerate() {
        if !name.is_empty() {
            let remove = format!(r#""customers":[{{"name":"{name}","version":"r{}"}}]"#, 9 + step);
            let order = change(&[], &[], &[], &remove);
            if system.order(&format!("tenant {name} is dropped"), &order).map(|(status, _)| status)
                != Some(200)
            {
                return Verdict::CouldNotRun;
            }
            dropped.push(*name);
            // `apply` is 2.5 s.
            thread::sleep(Duration::from_secs(3));
        }
        for edge in &system.edges {
            let keys = [Some("key-hall"), Some("key-studio"), Some("key-of-nobody"), None];
            for key in keys {
                let what = key.unwrap_or("no-key");
                let attempt = format!("{}-{step}-{what}", edge.name);
                let (_, answer) = ask(&system, edge, ("POST", "/pay/out"), key, &attempt);
                let status = answer.map_or(0, |answer| answer.status());
                let runs: Vec<_> =
                    backends.iter().flat_map(Backend::runs).filter(|run| run.attempt == attempt).collect();
                let ran = runs.len();
                let customer = runs.first().map_or("-", |run| run.customer.as_str());
                let holds = key.and_then(|key| key.strip_prefix("key-"));
                let allowed =
                    holds.is_some_and(|name| ["hall", "studio"].contains(&name) && !dropped.contains(&name));
                let wrong = ran > 0 && !allowed;
                broken += usize::from(wrong);
                record.line(format!(
                    "dropped {dropped:?}: {} with {what}: answered {status}, ran {ran}, Customer {customer:?}{}",
                    edge.name,
                    if wrong { " AGAINST THE RULE" } else { "" }
                ));
            }
        }
    }
    let read = system.read_back().unwrap_or_default();
    record.line(format!("read back: {}", read.chars().take(60).collect::<String>()));
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
