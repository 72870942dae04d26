//! Compares the cost of several builds of the gateway under the same load: size of the program, threads, descriptors, memory
//! and CPU time per request. In each round all builds run at the same time, each as a process with save nodes and a
//! quota counter of its own in this process.
//!
//! `cost [--per-s N] [--seconds N] [--rounds N] PROGRAM...`

use clap::Parser;
use starlinghill_testkit::group::{free_address, LIMIT};
use starlinghill_testkit::load::Load;
use starlinghill_testkit::nodes;
use starlinghill_testkit::processes::{resource_usage, Process, ResourceUsage};
use starlinghill_testkit::stubs::{self, program_with_file};
use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Parser)]
struct Cli {
    /// Requests per second to each build.
    #[arg(long, default_value_t = 400)]
    per_s: u64,
    /// Seconds measured in each round, after a warm-up of two seconds.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Rounds.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Gateway programs; the first one is the base of the comparison.
    #[arg(required = true)]
    programs: Vec<PathBuf>,
}

/// The measurement of one build in one round.
struct Measurement {
    at_end: ResourceUsage,
    /// CPU time per request, in microseconds.
    cpu_us_per_request: f64,
    /// The share of requests answered 200.
    served: f64,
}

async fn measure(program: PathBuf, per_s: u64, seconds: u64) -> Result<Measurement, String> {
    let (_nodes, discovery) = nodes::start_nodes(6).await;
    let counter = stubs::counter();
    let at = free_address();
    let config = stubs::config(discovery.stub.address, counter.address)
        .replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{at}\""));
    let (program, file) = (program.display().to_string(), stubs::file(&config));
    let mut gateway = Process::new("gateway", move || program_with_file(&program, &file));
    gateway.start();
    tokio::task::block_in_place(|| gateway.wait_for_log("ready", LIMIT));
    let pid = gateway.pid().ok_or("the gateway ended")?;
    let usage = || resource_usage(pid).ok_or_else(|| String::from("the gateway ended"));
    let mut load = Load::start(&[at], per_s);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let started = std::time::Instant::now();
    let before = usage()?;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let at_end = usage()?;
    let ended = std::time::Instant::now();
    let sent = load.finish().await;
    let counted: Vec<_> = sent.iter().filter(|s| s.sent_at >= started && s.sent_at < ended).collect();
    let served = counted.iter().filter(|s| matches!(s.answer, Some((200, _)))).count();
    let n = counted.len().max(1) as f64;
    Ok(Measurement {
        at_end,
        cpu_us_per_request: (at_end.cpu_s - before.cpu_s) * 1e6 / n,
        served: served as f64 / n,
    })
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> Result<(), Box<dyn Error>> {
    let cli = Cli::parse();
    let mut all: Vec<Vec<Measurement>> = cli.programs.iter().map(|_| Vec::new()).collect();
    for _ in 0..cli.rounds {
        // All at the same time, so that other work on the machine affects them alike.
        let runs = cli.programs.iter().map(|p| tokio::spawn(measure(p.clone(), cli.per_s, cli.seconds)));
        let runs: Vec<_> = runs.collect();
        for (one, measured) in runs.into_iter().zip(&mut all) {
            measured.push(one.await??);
        }
    }
    let first: Vec<f64> = all[0].iter().map(|m| m.cpu_us_per_request).collect();
    for (program, measured) in cli.programs.iter().zip(&all).skip(1) {
        let mut ratios: Vec<f64> =
            measured.iter().zip(&first).map(|(m, first)| m.cpu_us_per_request / first).collect();
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
        measured.sort_by(|a, b| a.cpu_us_per_request.total_cmp(&b.cpu_us_per_request));
        let (least, most) = (&measured[0], &measured[measured.len() - 1]);
        let median = &measured[measured.len() / 2];
        let spread = format!(
            "{:.0} ({:.0} to {:.0})",
            median.cpu_us_per_request, least.cpu_us_per_request, most.cpu_us_per_request
        );
        println!(
            "{:>10} {:>8} {:>12} {:>10} {:>22} {:>7.4}  {}",
            std::fs::metadata(program)?.len(),
            median.at_end.threads,
            median.at_end.descriptors,
            median.at_end.memory_bytes / 1_024,
            spread,
            median.served,
            program.display()
        );
    }
    Ok(())
}
