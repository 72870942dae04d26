//! Tests with hostile and faulty clients: each costs a bounded amount of memory, gets a clear status, and doesn't disturb
//! other clients.

mod common;

use common::{file, member, nodes, service, until};
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DeltaDiscoveryResponse};
use envoy_types::pb::envoy::service::rate_limit_quota::v3::rate_limit_quota_service_client::RateLimitQuotaServiceClient;
use envoy_types::pb::envoy::service::rate_limit_quota::v3::RateLimitQuotaUsageReports;
use starlinghill_control::{prepare, start};
use starlinghill_testkit::proxy::{Proxy, Settings, XdsVariant};
use starlinghill_testkit::stubs::list;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Endpoint;
use tonic::{Code, Status, Streaming};

const CLUSTER_TYPE: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";

fn request(names: Vec<String>) -> DeltaDiscoveryRequest {
    DeltaDiscoveryRequest {
        node: Some(Node { id: "third".into(), ..Default::default() }),
        type_url: CLUSTER_TYPE.into(),
        resource_names_subscribe: names,
        ..Default::default()
    }
}

type OpenStream = (mpsc::Sender<DeltaDiscoveryRequest>, Result<Streaming<DeltaDiscoveryResponse>, Status>);

async fn open(at: SocketAddr, first: Option<DeltaDiscoveryRequest>) -> OpenStream {
    let channel =
        Endpoint::from_shared(format!("http://{at}")).expect("an address").connect().await.expect("up");
    let (tx, rx) = mpsc::channel(8);
    if let Some(first) = first {
        tx.send(first).await.expect("room");
    }
    let client = AggregatedDiscoveryServiceClient::new(channel);
    let stream =
        client.max_decoding_message_size(1 << 26).delta_aggregated_resources(ReceiverStream::new(rx)).await;
    (tx, stream.map(tonic::Response::into_inner))
}

/// Reads a stream to its end and returns its final status.
async fn final_status(stream: Result<Streaming<DeltaDiscoveryResponse>, Status>) -> Status {
    let mut stream = match stream {
        Ok(stream) => stream,
        Err(status) => return status,
    };
    loop {
        match stream.message().await {
            Ok(Some(_)) => {}
            Ok(None) => return Status::ok("the stream ended"),
            Err(status) => return status,
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_invalid_request_gets_its_own_status_and_does_not_disturb_another_proxy() {
    let (nodes, discovery) = nodes(2).await;
    let running = service(&discovery).await;
    let good = Proxy::start(Settings::new(running.address, "whole", XdsVariant::StateOfTheWorld));
    good.wait_for("both servers", |m| m.targets.len() == 2).await;
    let at = running.address;

    let many = (0..2_000).map(|i| i.to_string()).collect();
    let status = final_status(open(at, Some(request(many))).await.1).await;
    assert_eq!(
        (status.code(), status.message()),
        (Code::InvalidArgument, "clusters: more than 1024 names subscribed to")
    );

    let long = vec!["x".repeat(2_000)];
    let status = final_status(open(at, Some(request(long))).await.1).await;
    assert_eq!(
        (status.code(), status.message()),
        (Code::InvalidArgument, "clusters: a name of more than 512 bytes")
    );

    let huge = vec!["x".repeat(2 << 20)];
    let status = final_status(open(at, Some(request(huge))).await.1).await;
    assert_eq!(status.code(), Code::OutOfRange, "{status}");

    let unknown = DeltaDiscoveryRequest { type_url: "type.googleapis.com/no.Such".into(), ..request(vec![]) };
    let status = final_status(open(at, Some(unknown)).await.1).await;
    assert!(
        status.code() == Code::InvalidArgument && status.message().contains("'type.googleapis.com/no.Such'")
    );

    let without_node = DeltaDiscoveryRequest { node: None, ..request(vec![]) };
    let status = final_status(open(at, Some(without_node)).await.1).await;
    assert_eq!(
        (status.code(), status.message()),
        (Code::InvalidArgument, "node.id: expected an id, found nothing")
    );

    // Many subscriptions with one name each add up to more than the limit.
    let (tx, stream) = open(at, Some(request(vec!["n".into()]))).await;
    tokio::spawn(async move {
        for i in 0..5_000 {
            if tx.send(request(vec![i.to_string()])).await.is_err() {
                return;
            }
        }
    });
    assert_eq!(final_status(stream).await.code(), Code::InvalidArgument);

    // Bytes that are not HTTP.
    let mut raw = TcpStream::connect(at).expect("it listens");
    raw.write_all(&[0xff; 4096]).expect("written");
    let mut answer = Vec::new();
    raw.set_read_timeout(Some(starlinghill_testkit::stubs::LIMIT)).expect("a socket");
    let _ = raw.read_to_end(&mut answer);

    discovery.set_answer(42, &list(42, false, &member("s-1", nodes[1].address, "gone", 0)));
    good.wait_for("the removal of s-1", |m| m.targets.len() == 1).await;
    assert!(good.state().stream_errors.is_empty(), "the other proxy's streams must stay open");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_number_of_streams_is_limited_and_closed_streams_free_their_places() {
    let (_nodes, discovery) = nodes(1).await;
    let path = file(&discovery, "[control.limits]\nstreams = 40\n");
    let running = start(prepare(&path).expect("it is valid")).await.expect("the service starts");
    let mut held = Vec::new();
    let mut refused = 0;
    for _ in 0..60 {
        let (tx, stream) = open(running.address, Some(request(vec![]))).await;
        match stream {
            Ok(stream) => held.push((tx, stream)),
            Err(status) => {
                assert_eq!(status.code(), Code::ResourceExhausted, "{status}");
                refused += 1;
            }
        }
    }
    assert_eq!((held.len(), refused), (40, 20));
    drop(held);
    let good = Proxy::start(Settings::new(running.address, "whole", XdsVariant::StateOfTheWorld));
    good.wait_for("a free place", |m| m.targets.len() == 1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_number_of_connections_is_limited_and_closed_connections_free_their_places() {
    let (_nodes, discovery) = nodes(1).await;
    let path = file(&discovery, "[control.limits]\nconnections = 10\n");
    let running = start(prepare(&path).expect("it is valid")).await.expect("the service starts");
    let idle: Vec<TcpStream> =
        (0..30).map(|_| TcpStream::connect(running.address).expect("accepted")).collect();
    let good = Proxy::start(Settings::new(running.address, "whole", XdsVariant::StateOfTheWorld));
    good.wait_for("its connection to be refused", |m| !m.stream_errors.is_empty()).await;
    drop(idle);
    good.wait_for("a free place", |m| m.targets.len() == 1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn updates_for_a_proxy_that_reads_nothing_are_not_queued_and_it_gets_the_newest_state_later() {
    let (nodes, discovery) = nodes(1).await;
    let running = service(&discovery).await;
    let (tx, stream) = open(running.address, Some(request(vec![]))).await;
    let mut stream = stream.expect("open");
    let first = stream.message().await.expect("it is valid").expect("clusters");
    assert_eq!(first.type_url, CLUSTER_TYPE);
    let endpoints = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
    let more = DeltaDiscoveryRequest { type_url: endpoints.into(), ..request(vec!["save-nodes".into()]) };
    tx.send(more).await.expect("room");
    // Hundreds of states are published while the proxy reads nothing.
    for revision in 42..342 {
        let up = 1_000 + revision;
        discovery.announce(revision, false, &member("s-0", nodes[0].address, "ready", up));
    }
    discovery.announce(342, false, &member("s-0", nodes[0].address, "draining", 0));
    let published = || running.hub.published.borrow().clone();
    until("the last state", || {
        published().is_some_and(|p| {
            p.snapshot.endpoints[0].usage != starlinghill_control_state::fleet::EndpointUse::Healthy
        })
    })
    .await;
    let newest = published().expect("there");
    let version = newest.sets["third"]
        .get(starlinghill_xds::resources::ResourceKind::Endpoints, "save-nodes")
        .expect("there")
        .version
        .clone();
    let mut read = 0;
    loop {
        let response = stream.message().await.expect("it is valid").expect("endpoints");
        read += 1;
        if response.resources.first().is_some_and(|r| r.version == version) {
            break;
        }
    }
    // It gets the responses that the transport had buffered, but not one for each state.
    assert!(read < 100, "{read} responses of 301 states");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quota_streams_of_another_domain_an_unknown_node_or_no_node_are_refused() {
    let (_nodes, discovery) = nodes(1).await;
    let running = service(&discovery).await;
    for (node, domain, code) in [
        (Some("third"), "elsewhere", Code::InvalidArgument),
        (Some("stranger"), "starlinghill", Code::PermissionDenied),
        (None, "starlinghill", Code::InvalidArgument),
    ] {
        let endpoint = Endpoint::from_shared(format!("http://{}", running.address)).expect("an address");
        let mut client = RateLimitQuotaServiceClient::new(endpoint.connect().await.expect("up"));
        let report = RateLimitQuotaUsageReports { domain: domain.into(), bucket_quota_usages: Vec::new() };
        let mut request = tonic::Request::new(tokio_stream::iter([report]));
        if let Some(node) = node {
            request.metadata_mut().insert("x-starlinghill-node", node.parse().expect("an id"));
        }
        let status = match client.stream_rate_limit_quotas(request).await {
            Ok(stream) => stream.into_inner().message().await.expect_err("refused"),
            Err(status) => status,
        };
        assert_eq!(status.code(), code, "{status}");
    }
}
