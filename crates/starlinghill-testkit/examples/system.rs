//! Runs a small complete system on loopback addresses to try out: three core machines with a registry and a store each, two
//! proxies, four backends, a configuration, and a client that sends requests all the time. The processes that it starts are
//! this program again, with the part's name as argument; tests start their processes the same way.
//!
//! `cargo run --profile demo -p starlinghill-testkit --example system`

use starlinghill_runtime::program;
use starlinghill_testkit::system::{initial_config, partitioned_network, Backend, Client, System};
use std::process::ExitCode;
use std::time::Duration;

const BACKENDS: usize = 4;
/// The time between two requests of the client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

async fn demo() {
    let program = std::env::current_exe().expect("the path of this program");
    let system = System::start(&program, 2);
    let mut backends = Vec::new();
    for i in 0..BACKENDS {
        let id = format!("i-{i}");
        backends
            .push(Backend::start(&id, "ledger", system.backend_address(i), system.control_addresses()).await);
    }
    let answer = system.send_change(&initial_config(50)).await;
    println!("configuration {}", answer.status);
    system.wait_until_ready().await;
    let fronts: Vec<_> = system.edges.iter().map(|edge| edge.front_address()).collect();
    println!("proxies       {}", fronts.iter().map(ToString::to_string).collect::<Vec<_>>().join(" "));
    println!(
        "registries    {}\n",
        system.control_addresses().iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
    );
    println!(
        "curl -H 'Host: a.example' -H 'Attempt-Id: 1' -H 'Authorization: Bearer key-1' http://{}/read/1",
        fronts[0]
    );
    println!("curl http://{}/api/config", system.control_addresses()[0]);
    println!("\nCtrl-C ends all.\n");
    let client = Client::new("key-1");
    let mut ticks = tokio::time::interval(REQUEST_INTERVAL);
    let (mut sent, mut served) = (0u64, 0u64);
    loop {
        tokio::select! {
            _ = tokio::signal::ctrl_c() => return,
            _ = ticks.tick() => {
                let front = fronts[sent as usize % fronts.len()];
                let (_, answer) = client.send_attempt(front, "GET", "/read/1").await;
                sent += 1;
                served += u64::from(answer.is_some_and(|answer| answer.status == 200));
                if sent.is_multiple_of(100) {
                    let runs: Vec<String> = backends.iter().map(|b| format!("{} {}", b.id, b.run_count())).collect();
                    println!("asked {sent}, served {served}; {}", runs.join(", "));
                }
            }
        }
    }
}

fn main() -> ExitCode {
    // A part parses the arguments after its name itself.
    match std::env::args().nth(1).as_deref() {
        Some("workbench") => program::start(false, async |signals| {
            starlinghill_proxy::program::run_on(partitioned_network(), signals).await
        }),
        Some("toolrack") => program::start(false, async |signals| {
            starlinghill_registry::program::run_on(partitioned_network(), signals).await
        }),
        Some("patternbook") => program::start(false, async |signals| {
            starlinghill_config_store::program::run_on(partitioned_network(), signals).await
        }),
        _ => {
            let runtime =
                tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
            runtime.block_on(demo());
            ExitCode::SUCCESS
        }
    }
}
