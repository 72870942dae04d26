//! Tests the control service with an independent client: the unmodified crate tonic-xds resolves `xds:///starlinghill` and
//! follows a drain. The save nodes are gRPC servers of an arbitrary service.

mod common;

use common::{member, service, until};
use envoy_types::pb::envoy::service::auth::v3::authorization_client::AuthorizationClient;
use envoy_types::pb::envoy::service::auth::v3::authorization_server::{Authorization, AuthorizationServer};
use envoy_types::pb::envoy::service::auth::v3::{CheckRequest, CheckResponse};
use starlinghill_testkit::stubs::{list, Discovery, LIMIT};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};
use tonic_xds::{BootstrapConfig, XdsChannelBuilder, XdsChannelConfig, XdsChannelGrpc, XdsUri};

/// A server that counts its calls.
struct CountingServer(Arc<AtomicU64>);

#[tonic::async_trait]
impl Authorization for CountingServer {
    async fn check(&self, _: Request<CheckRequest>) -> Result<Response<CheckResponse>, Status> {
        self.0.fetch_add(1, Relaxed);
        Ok(Response::new(CheckResponse::default()))
    }
}

async fn start_server() -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let calls = Arc::<AtomicU64>::default();
    let service = AuthorizationServer::new(CountingServer(calls.clone()));
    let server = tonic::transport::Server::builder().add_service(service);
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    (address, calls)
}

async fn call(client: &mut AuthorizationClient<XdsChannelGrpc>, class: &'static str) -> Result<(), Status> {
    let mut request = Request::new(CheckRequest::default());
    request.metadata_mut().insert("x-call-class", class.parse().expect("a class"));
    request.set_timeout(Duration::from_secs(5));
    client.check(request).await.map(|_| ())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_independent_grpc_client_reaches_all_servers_and_stops_calling_one_that_drains() {
    let (first, second) = (start_server().await, start_server().await);
    let members = [member("s-0", first.0, "ready", 0), member("s-1", second.0, "ready", 0)].join(",");
    let discovery = Discovery::start(&members);
    let running = service(&discovery).await;
    let bootstrap = format!(
        r#"{{"xds_servers":[{{"server_uri":"http://{}","channel_creds":[{{"type":"insecure"}}]}}],"node":{{"id":"third"}}}}"#,
        running.address
    );
    let bootstrap = BootstrapConfig::from_json(&bootstrap).expect("a sound bootstrap");
    let target = XdsUri::parse("xds:///starlinghill").expect("a target");
    let config = XdsChannelConfig::new(target).with_bootstrap(bootstrap);
    let channel = XdsChannelBuilder::new(config).build_grpc_channel().expect("a channel");
    let mut client = AuthorizationClient::new(channel);
    let deadline = Instant::now() + LIMIT;
    while call(&mut client, "look").await.is_err()
        || first.1.load(Relaxed) == 0
        || second.1.load(Relaxed) == 0
    {
        assert!(Instant::now() < deadline, "the client did not reach both servers in time");
    }
    // Routes are by class, so a call of an unknown class has none.
    assert!(call(&mut client, "nothing").await.is_err());
    let drained_at = Instant::now();
    discovery.set_answer(42, &list(42, false, &member("s-1", second.0, "draining", 0)));
    let mut last_call = drained_at;
    while drained_at.elapsed() < Duration::from_millis(1_500) {
        let before = second.1.load(Relaxed);
        call(&mut client, "look").await.expect("the other server answers");
        if second.1.load(Relaxed) > before {
            last_call = Instant::now();
        }
    }
    assert!(
        last_call - drained_at < Duration::from_secs(1),
        "the draining server was called {:?} after the drain was announced",
        last_call - drained_at
    );
    let before = first.1.load(Relaxed);
    call(&mut client, "buy").await.expect("other classes have routes too");
    until("a call at the other server", || first.1.load(Relaxed) > before).await;
}
