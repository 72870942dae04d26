//! What a gateway costs, of several builds side by side: all are started at once, several times, each as a process before save
//! nodes and a counter of this one's, under the same load. Prints bytes of the program, threads, descriptors, memory, and CPU a request.
//!
//! `cost [--per-s N] [--seconds N] [--rounds N] PROGRAM...`

use clap::Parser;
use starlinghill_testkit::group::{free_address, LIMIT};
use starlinghill_testkit::load::Load;
use starlinghill_testkit::nodes;
use starlinghill_testkit::processes::{resource_usage, Process, ResourceUsage};
use starlinghill_testkit::stubs::{self, told_by};
use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Parser)]
struct Cli {
    /// Requests a second.
    #[arg(long, default_value_t = 400)]
    per_s: u64,
    /// For so long each time, after two seconds that don't count.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// How often each is measured.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Builds of the gateway.
    #[arg(required = true)]
    programs: Vec<PathBuf>,
}

/// One measurement.
struct Measured {
    at_end: ResourceUsage,
    us_a_request: f64,
    served: f64,
}

async fn measure(program: PathBuf, per_s: u64, seconds: u64) -> Result<Measured, String> {
    let (_nodes, discovery) = nodes::listed(6).await;
    let counter = stubs::counter();
    let at = free_address();
    let config = stubs::config(discovery.stub.address, counter.address)
        .replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{at}\""));
    let (program, file) = (program.display().to_string(), stubs::file(&config));
    let mut gateway = Process::new("gateway", move || told_by(&program, &file));
    gateway.start();
    tokio::task::block_in_place(|| gateway.wait_for_log("ready", LIMIT));
    let pid = gateway.pid().ok_or("it ended")?;
    let now = || resource_usage(pid).ok_or_else(|| String::from("it ended"));
    let mut load = Load::start(&[at], per_s);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let begun = std::time::Instant::now();
    let before = now()?;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let at_end = now()?;
    let ended = std::time::Instant::now();
    let sent = load.rest().await;
    let counted: Vec<_> = sent.iter().filter(|s| s.at >= begun && s.at < ended).collect();
    let served = counted.iter().filter(|s| matches!(s.answer, Some((200, _)))).count();
    let n = counted.len().max(1) as f64;
    Ok(Measured { at_end, us_a_request: (at_end.cpu_s - before.cpu_s) * 1e6 / n, served: served as f64 / n })
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> Result<(), Box<dyn Error>> {
    let cli = Cli::parse();
    let mut all: Vec<Vec<Measured>> = cli.programs.iter().map(|_| Vec::new()).collect();
    for _ in 0..cli.rounds {
        // All at once: what else the machine does then hits them alike.
        let started = cli.programs.iter().map(|p| tokio::spawn(measure(p.clone(), cli.per_s, cli.seconds)));
        let started: Vec<_> = started.collect();
        for (one, measured) in started.into_iter().zip(&mut all) {
            measured.push(one.await??);
        }
    }
    let first: Vec<f64> = all[0].iter().map(|m| m.us_a_request).collect();
    for (program, measured) in cli.programs.iter().zip(&all).skip(1) {
        let mut ratios: Vec<f64> =
            measured.iter().zip(&first).map(|(m, first)| m.us_a_request / first).collect();
        ratios.sort_by(f64::total_cmp);
        println!(
            "CPU against the first, by round: {:.3} (median), {:.3} to {:.3}  {}",
            ratios[ratios.len() / 2],
            ratios[0],
            ratios[ratios.len() - 1],
            program.display()
        );
    }
    println!(
        "{:>10} {:>8} {:>12} {:>10} {:>22} {:>7}  program",
        "bytes", "threads", "descriptors", "memory kB", "CPU us a request", "served"
    );
    for (program, measured) in cli.programs.iter().zip(&mut all) {
        measured.sort_by(|a, b| a.us_a_request.total_cmp(&b.us_a_request));
        let (least, most) = (&measured[0], &measured[measured.len() - 1]);
        let middle = &measured[measured.len() / 2];
        let spread =
            format!("{:.0} ({:.0} to {:.0})", middle.us_a_request, least.us_a_request, most.us_a_request);
        println!(
            "{:>10} {:>8} {:>12} {:>10} {:>22} {:>7.4}  {}",
            std::fs::metadata(program)?.len(),
            middle.at_end.threads,
            middle.at_end.descriptors,
            middle.at_end.memory_bytes / 1_024,
            spread,
            middle.served,
            program.display()
        );
    }
    Ok(())
}
