//! Measures how a drain spreads to many xDS streams with 500 endpoints: the latency from the announcement by discovery,
//! and bytes, memory and CPU time, for state-of-the-world and incremental xDS.
//!
//! `cargo run --release -p starlinghill-testkit --example propagation [DRAINS [STREAMS...]]`

mod common;

use common::{argument, cores, ms};
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use hdrhistogram::Histogram;
use prost::Message;
use starlinghill_testkit::stubs::{self, Discovery};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};

const ENDPOINTS: usize = 500;
/// The first argument with which this program runs the control service alone.
const SERVER: &str = "serve";
const TYPE: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";

fn node() -> Option<Node> {
    Some(Node { id: "edge".into(), ..Default::default() })
}

/// Runs a stream that subscribes to endpoints. Reports when each response arrived and adds up the responses' bytes.
async fn stream(
    channel: Channel,
    incremental: bool,
    arrivals: mpsc::UnboundedSender<Instant>,
    bytes: Arc<AtomicU64>,
) {
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let names = vec!["save-nodes".to_string()];
    if incremental {
        let (tx, rx) = mpsc::channel(4);
        let first = DeltaDiscoveryRequest {
            node: node(),
            type_url: TYPE.into(),
            resource_names_subscribe: names,
            ..Default::default()
        };
        tx.send(first).await.expect("an open channel");
        let stream = client.delta_aggregated_resources(ReceiverStream::new(rx)).await;
        let mut stream = stream.expect("an open stream").into_inner();
        while let Ok(Some(response)) = stream.message().await {
            let _ = arrivals.send(Instant::now());
            bytes.fetch_add(response.encoded_len() as u64, Relaxed);
            let nonce = response.nonce;
            let answer =
                DeltaDiscoveryRequest { type_url: TYPE.into(), response_nonce: nonce, ..Default::default() };
            let _ = tx.send(answer).await;
        }
    } else {
        let (tx, rx) = mpsc::channel(4);
        let first = DiscoveryRequest {
            node: node(),
            type_url: TYPE.into(),
            resource_names: names.clone(),
            ..Default::default()
        };
        tx.send(first).await.expect("an open channel");
        let stream = client.stream_aggregated_resources(ReceiverStream::new(rx)).await;
        let mut stream = stream.expect("an open stream").into_inner();
        while let Ok(Some(response)) = stream.message().await {
            let _ = arrivals.send(Instant::now());
            bytes.fetch_add(response.encoded_len() as u64, Relaxed);
            let answer = DiscoveryRequest {
                type_url: TYPE.into(),
                resource_names: names.clone(),
                response_nonce: response.nonce,
                version_info: response.version_info,
                ..Default::default()
            };
            let _ = tx.send(answer).await;
        }
    }
}

/// The address of an endpoint; nothing listens there.
fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (i / 250) as u8, (i % 250 + 1) as u8], 8081))
}

/// Resident memory in KiB and CPU time in milliseconds of a process.
fn process_usage(pid: u32) -> (u64, u64) {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("0");
    let kib = resident.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0);
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<u64> =
        stat.rsplit(')').next().unwrap_or("").split(' ').map(|f| f.parse().unwrap_or(0)).collect();
    // utime and stime, in clock ticks of 10 ms.
    let ticks = fields.get(12).unwrap_or(&0) + fields.get(13).unwrap_or(&0);
    (kib, ticks * 10)
}

/// Runs the control service in a process of its own, so that its usage can be measured. Prints its address and serves
/// until it is killed.
async fn serve(discovery: &str) {
    let path = stubs::control_file(discovery.parse().expect("an address"), &["edge"], "", "");
    let running =
        starlinghill_control::start(starlinghill_control::prepare(&path).expect("a valid file")).await;
    println!("{}", running.as_ref().map(|r| r.address).expect("the control service starts"));
    std::future::pending::<()>().await;
}

async fn measure(streams: usize, incremental: bool, drains: usize) {
    let member = |i: usize, phase: &str| stubs::member(&format!("s-{i:03}"), address(i), phase);
    let members: Vec<String> = (0..ENDPOINTS).map(|i| member(i, "ready")).collect();
    let discovery = Discovery::start(&members.join(","));
    let program = std::env::current_exe().expect("a program");
    let mut child = std::process::Command::new(program)
        .args([SERVER, &discovery.stub.address.to_string()])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("the program can be run");
    let mut line = String::new();
    let mut out = std::io::BufReader::new(child.stdout.take().expect("piped"));
    std::io::BufRead::read_line(&mut out, &mut line).expect("a line");
    let at = line.trim().to_string();
    let (before, _) = process_usage(child.id());
    let (sender, mut arrivals) = mpsc::unbounded_channel();
    let bytes = Arc::<AtomicU64>::default();
    let mut tasks = Vec::new();
    for _ in 0..streams {
        let channel = Endpoint::from_shared(format!("http://{at}"))
            .expect("an address")
            .connect()
            .await
            .expect("the service accepts connections");
        tasks.push(tokio::spawn(stream(channel, incremental, sender.clone(), bytes.clone())));
    }
    for _ in 0..streams {
        arrivals.recv().await.expect("the first state");
    }
    let (resident, cpu) = process_usage(child.id());
    bytes.store(0, Relaxed);
    let mut latency: Histogram<u64> = Histogram::new(3).expect("bounds");
    for drain in 0..drains {
        let revision = 42 + drain as u64;
        let start = Instant::now();
        discovery.set_answer(revision, &stubs::list(revision, false, &member(drain, "draining")));
        for _ in 0..streams {
            let arrived = arrivals.recv().await.expect("the drain");
            latency
                .record(arrived.saturating_duration_since(start).as_micros() as u64 + 1)
                .expect("in range");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let (_, cpu_after) = process_usage(child.id());
    let messages = (streams * drains) as f64;
    let quantile = |q: f64| ms(Duration::from_micros(latency.value_at_quantile(q)));
    println!(
        "| {streams} | {} | {} | {} | {} | {:.1} | {:.1} | {:.3} |",
        if incremental { "incremental" } else { "state-of-the-world" },
        quantile(0.5),
        quantile(0.99),
        ms(Duration::from_micros(latency.max())),
        bytes.load(Relaxed) as f64 / messages / 1024.0,
        (resident.saturating_sub(before)) as f64 / streams as f64,
        (cpu_after - cpu) as f64 / messages,
    );
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    let _ = child.kill();
    let _ = child.wait();
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|a| a == SERVER) {
        return serve(&arguments[2]).await;
    }
    let drains = argument(1, 20);
    let counts: Vec<usize> = arguments.iter().skip(2).map(|a| a.parse().expect("a number")).collect();
    let counts = if counts.is_empty() { vec![10, 100, 1000] } else { counts };
    println!("one drain to many streams, {ENDPOINTS} endpoints, {drains} drains each, {} cores", cores());
    println!("| streams | flavour | median ms | p99 ms | worst ms | KiB a message | KiB a stream | CPU ms a message |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for streams in counts {
        for incremental in [false, true] {
            measure(streams, incremental, drains).await;
        }
    }
}
