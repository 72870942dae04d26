//! The gRPC services: aggregated discovery (`envoy.service.discovery.v3`), load reports
//! (`envoy.service.load_stats.v3`) and quota assignments (`envoy.service.rate_limit_quota.v3`). They translate
//! messages and make no decisions of their own.

use crate::ads::{self, Acknowledgement, Names, Protocol, Stream as AdsStream};
use crate::hub::{Hub, PublishedState, Update};
use crate::resources::{ResourceKind, QUOTA_DOMAIN, QUOTA_NODE_HEADER, SAVE_NODES};
use envoy_types::pb::envoy::config::core::v3::address::Address;
use envoy_types::pb::envoy::config::core::v3::socket_address::PortSpecifier;
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::config::endpoint::v3::UpstreamEndpointStats;
use envoy_types::pb::envoy::r#type::v3 as envoy_type;
use envoy_types::pb::envoy::service::discovery::v3 as discovery;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_server::{
    AggregatedDiscoveryService, AggregatedDiscoveryServiceServer,
};
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_server::{
    LoadReportingService, LoadReportingServiceServer,
};
use envoy_types::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use envoy_types::pb::envoy::service::rate_limit_quota::v3 as rlqs;
use envoy_types::pb::google::protobuf::{Duration as ProtoDuration, UInt32Value};
use rlqs::rate_limit_quota_service_server::{RateLimitQuotaService, RateLimitQuotaServiceServer};
use starlinghill_control_state::fleet::EndpointReport;
use starlinghill_control_state::ledger::{Assignment, BucketKey, HolderId, Usage};
use starlinghill_decision::api::{CustomerId, Micros, PlanId};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit, Semaphore};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::transport::server::{Connected, TcpConnectInfo};
use tonic::transport::{Server, ServerTlsConfig};
use tonic::{Request, Response, Status, Streaming};
use tracing::{debug, info, warn};

/// Time limit for the first message of a stream. It is also the time that a new proxy has for subscribing to
/// everything it uses, and that a client has for reading the final status.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// A proxy that has not answered a response for this long is logged. Draining servers rely on proxies learning of
/// the drain within this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval at which proxies report load.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Concurrent streams per connection: discovery, load and quotas, with spare ones for client libraries.
const MAX_STREAMS_PER_CONNECTION: u32 = 16;
/// Pause after a failed accept. While file descriptors are short it fails at once, and retrying would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Interval of HTTP/2 keepalive pings, and the time after which an unanswered ping closes the connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Customer numbers are below this bound; others are rejected.
const CUSTOMER_NUMBER_END: u64 = 1 << 33;

/// Bounds on the resources that clients may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Open connections; further ones are closed at once.
    pub connections: usize,
    /// Open streams of all services together.
    pub streams: usize,
    /// Resource names that one stream may subscribe to, for each resource kind.
    pub names_per_kind: usize,
    /// Size of one message from a client, in bytes.
    pub message_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { connections: 2_048, streams: 4_096, names_per_kind: 1_024, message_bytes: 1 << 20 }
    }
}

/// The state that the three services share.
#[derive(Clone)]
pub struct Service {
    hub: Hub,
    limits: Limits,
    streams: Arc<Semaphore>,
    stopping: watch::Receiver<bool>,
    /// The number of the next stream.
    serial: Arc<AtomicU64>,
    /// A random number of this process, so that no nonce equals one from before a restart.
    instance: u64,
}

impl Service {
    /// The services end when `stopping` turns true. `seed` and the time set the random part of nonces.
    pub fn new(hub: Hub, limits: Limits, seed: u64, stopping: watch::Receiver<bool>) -> Service {
        let streams = Arc::new(Semaphore::new(limits.streams));
        let instance = fastrand::Rng::with_seed(seed ^ hub.clock.now().0).u64(..);
        Service { hub, limits, streams, stopping, serial: Arc::default(), instance }
    }

    /// Serves until the service stops. Streams then end with UNAVAILABLE, and proxies keep their configuration.
    pub async fn serve(
        self,
        listener: TcpListener,
        tls: Option<ServerTlsConfig>,
    ) -> Result<(), tonic::transport::Error> {
        let (max_message_bytes, mut stopping) = (self.limits.message_bytes, self.stopping.clone());
        let incoming = Incoming {
            listener,
            permits: Arc::new(Semaphore::new(self.limits.connections)),
            allowance: Duration::from_micros(self.hub.ledger_settings.allowance.0),
            waiting: None,
            pause: None,
        };
        let mut server = Server::builder()
            .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
            .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEPALIVE_INTERVAL));
        if let Some(tls) = tls {
            server = server.tls_config(tls)?;
        }
        server
            .add_service(
                AggregatedDiscoveryServiceServer::new(self.clone())
                    .max_decoding_message_size(max_message_bytes),
            )
            .add_service(
                LoadReportingServiceServer::new(self.clone()).max_decoding_message_size(max_message_bytes),
            )
            .add_service(RateLimitQuotaServiceServer::new(self).max_decoding_message_size(max_message_bytes))
            .serve_with_incoming_shutdown(incoming, async move {
                // An error means that the sender was dropped, which stops the service too.
                let _ = stopping.wait_for(|stop| *stop).await;
            })
            .await
    }

    fn stream_permit(&self) -> Result<OwnedSemaphorePermit, Status> {
        if *self.stopping.borrow() {
            return Err(Status::unavailable("this service is stopping"));
        }
        let full =
            |_| Status::resource_exhausted(format!("{} streams are open, which is all", self.limits.streams));
        self.streams.clone().try_acquire_owned().map_err(full)
    }

    fn check_node(&self, node: &str) -> Result<(), Status> {
        let short: String = node.chars().take(120).collect();
        match self.hub.is_allowed(node) {
            true => Ok(()),
            false if node.is_empty() => {
                Err(Status::invalid_argument("node.id: expected an id, found nothing"))
            }
            false => {
                Err(Status::permission_denied(format!("node.id: '{short}' is not on the operators' list")))
            }
        }
    }

    /// Resolves when the service stops.
    async fn stopped(&self) {
        let _ = self.stopping.clone().wait_for(|stop| *stop).await;
    }
}

/// Reads the first message of a stream within the time limit.
async fn first_message<T>(inbound: &mut Streaming<T>) -> Result<T, Status> {
    match tokio::time::timeout(FIRST_MESSAGE_TIMEOUT, inbound.message()).await {
        Ok(Ok(Some(message))) => Ok(message),
        Ok(Ok(None)) => Err(Status::invalid_argument("the stream ended before its first message")),
        Ok(Err(status)) => Err(status),
        Err(_) => Err(Status::deadline_exceeded("no first message in time")),
    }
}

/// Converts the messages of one discovery protocol.
trait DiscoveryProtocol: Send + 'static {
    type In: Send + 'static;
    type Out: Send + 'static;
    const PROTOCOL: Protocol;
    fn read(message: Self::In) -> (Option<Node>, ads::Request);
    fn write(response: ads::Response) -> Self::Out;
}

struct StateOfTheWorld;
struct Incremental;

impl DiscoveryProtocol for StateOfTheWorld {
    type In = discovery::DiscoveryRequest;
    type Out = discovery::DiscoveryResponse;
    const PROTOCOL: Protocol = Protocol::StateOfTheWorld;
    fn read(message: Self::In) -> (Option<Node>, ads::Request) {
        let request = ads::Request {
            type_url: message.type_url,
            nonce: message.response_nonce,
            rejected: message.error_detail.map(|status| status.message),
            names: Names::StateOfTheWorld { names: message.resource_names, version: message.version_info },
        };
        (message.node, request)
    }
    fn write(response: ads::Response) -> Self::Out {
        discovery::DiscoveryResponse {
            version_info: response.version,
            resources: response.resources.iter().map(|r| r.body.clone()).collect(),
            type_url: response.kind.type_url(),
            nonce: response.nonce,
            ..Default::default()
        }
    }
}

impl DiscoveryProtocol for Incremental {
    type In = discovery::DeltaDiscoveryRequest;
    type Out = discovery::DeltaDiscoveryResponse;
    const PROTOCOL: Protocol = Protocol::Incremental;
    fn read(message: Self::In) -> (Option<Node>, ads::Request) {
        let request = ads::Request {
            type_url: message.type_url,
            nonce: message.response_nonce,
            rejected: message.error_detail.map(|status| status.message),
            names: Names::Incremental {
                subscribe: message.resource_names_subscribe,
                unsubscribe: message.resource_names_unsubscribe,
                initial: message.initial_resource_versions.into_iter().collect(),
            },
        };
        (message.node, request)
    }
    fn write(response: ads::Response) -> Self::Out {
        let resources = response.resources.iter().map(|r| discovery::Resource {
            name: r.name.to_string(),
            version: r.version.clone(),
            resource: Some(r.body.clone()),
            ..Default::default()
        });
        discovery::DeltaDiscoveryResponse {
            system_version_info: response.version,
            resources: resources.collect(),
            type_url: response.kind.type_url(),
            removed_resources: response.removed,
            nonce: response.nonce,
            ..Default::default()
        }
    }
}

impl Service {
    fn start_discovery<W: DiscoveryProtocol>(
        &self,
        mut inbound: Streaming<W::In>,
    ) -> Result<ReceiverStream<Result<W::Out, Status>>, Status> {
        let permit = self.stream_permit()?;
        // At most one response waits for the client; the next is built only when it can be queued.
        let (tx, rx) = mpsc::channel(1);
        let service = self.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let problem = tokio::select! {
                done = service.run_discovery::<W>(&mut inbound, &tx) => done.err(),
                () = service.stopped() => Some(Status::unavailable("this service is stopping")),
            };
            if let Some(status) = problem {
                debug!(%status, "a discovery stream ended");
                // A proxy that does not read sees only the end of the stream.
                let _ = tokio::time::timeout(FIRST_MESSAGE_TIMEOUT, tx.send(Err(status))).await;
            }
        });
        Ok(ReceiverStream::new(rx))
    }

    async fn run_discovery<W: DiscoveryProtocol>(
        &self,
        inbound: &mut Streaming<W::In>,
        tx: &mpsc::Sender<Result<W::Out, Status>>,
    ) -> Result<(), Status> {
        let (node, request) = W::read(first_message(inbound).await?);
        let node = node.map(|node| node.id).unwrap_or_default();
        self.check_node(&node)?;
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        let limits = ads::Limits { names_per_kind: self.limits.names_per_kind, name_bytes: 512 };
        let mut stream = AdsStream::new(W::PROTOCOL, format!("{:x}-{serial:x}", self.instance), limits);
        let mut published = self.hub.published.clone();
        let set = |published: &mut watch::Receiver<Option<Arc<PublishedState>>>| {
            let newest = published.borrow_and_update().clone();
            newest.and_then(|newest| newest.sets.get(&node).cloned())
        };
        set(&mut published).into_iter().for_each(|set| stream.update(set));
        info!(node, serial, flavour = %W::PROTOCOL, "a proxy opened a discovery stream");
        self.handle_request(&node, &mut stream, request)?;
        let mut may_have_response = true;
        let initial_period = tokio::time::sleep(FIRST_MESSAGE_TIMEOUT);
        tokio::pin!(initial_period);
        let mut is_new = true;
        let mut answer_deadline: Option<tokio::time::Instant> = None;
        loop {
            let next_deadline = answer_deadline.unwrap_or_else(tokio::time::Instant::now);
            tokio::select! {
                biased;
                permit = tx.reserve(), if may_have_response => match (permit, stream.next_response()) {
                    (Err(_), _) => return Ok(()),
                    (Ok(permit), Some(response)) => {
                        answer_deadline.get_or_insert_with(|| tokio::time::Instant::now() + ANSWER_TIMEOUT);
                        permit.send(Ok(W::write(response)));
                    }
                    (Ok(_), None) => may_have_response = false,
                },
                changed = published.changed() => {
                    if changed.is_err() {
                        return Err(Status::unavailable("this service is stopping"));
                    }
                    match set(&mut published) {
                        Some(set) => stream.update(set),
                        // The node may have been removed from the operators' list.
                        None => self.check_node(&node)?,
                    }
                    may_have_response = true;
                }
                message = inbound.message() => match message {
                    Ok(Some(message)) => {
                        self.handle_request(&node, &mut stream, W::read(message).1)?;
                        may_have_response = true;
                        answer_deadline = answer_deadline.filter(|_| stream.is_unanswered());
                    }
                    Ok(None) => return Ok(()),
                    Err(status) => return Err(status),
                },
                () = tokio::time::sleep_until(next_deadline), if answer_deadline.is_some() => {
                    warn!(node, serial, "a proxy has not answered in time; it may still use draining servers");
                    answer_deadline = None;
                }
                () = &mut initial_period, if is_new => {
                    stream.end_initial_period();
                    (is_new, may_have_response) = (false, true);
                }
                () = tx.closed() => return Ok(()),
            }
        }
    }

    fn handle_request(
        &self,
        node: &str,
        stream: &mut AdsStream,
        request: ads::Request,
    ) -> Result<(), Status> {
        match stream.request(request) {
            Ok(Acknowledgement::Rejected(kind, version, problem)) => {
                let problem: String = problem.chars().take(500).collect();
                warn!(node, %kind, version, problem, "a proxy rejected a response and keeps its last accepted state");
                Ok(())
            }
            Ok(Acknowledgement::None | Acknowledgement::Accepted(_)) => Ok(()),
            Err(problem) => Err(Status::invalid_argument(problem.to_string())),
        }
    }
}

type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

#[tonic::async_trait]
impl AggregatedDiscoveryService for Service {
    type StreamAggregatedResourcesStream = ReceiverStream<Result<discovery::DiscoveryResponse, Status>>;
    async fn stream_aggregated_resources(
        &self,
        request: Request<Streaming<discovery::DiscoveryRequest>>,
    ) -> Result<Response<Self::StreamAggregatedResourcesStream>, Status> {
        self.start_discovery::<StateOfTheWorld>(request.into_inner()).map(Response::new)
    }

    type DeltaAggregatedResourcesStream = ReceiverStream<Result<discovery::DeltaDiscoveryResponse, Status>>;
    async fn delta_aggregated_resources(
        &self,
        request: Request<Streaming<discovery::DeltaDiscoveryRequest>>,
    ) -> Result<Response<Self::DeltaAggregatedResourcesStream>, Status> {
        self.start_discovery::<Incremental>(request.into_inner()).map(Response::new)
    }
}

fn proto_duration(span: Duration) -> Option<ProtoDuration> {
    Some(ProtoDuration { seconds: span.as_secs() as i64, nanos: span.subsec_nanos() as i32 })
}

fn micros(span: Option<ProtoDuration>) -> Micros {
    let span = span.unwrap_or_default();
    let (seconds, nanos) = (span.seconds.clamp(0, 86_400) as u64, span.nanos.clamp(0, 999_999_999) as u64);
    Micros(seconds * 1_000_000 + nanos / 1000)
}

fn endpoint_report(stats: &UpstreamEndpointStats) -> Option<EndpointReport> {
    let Address::SocketAddress(socket) = stats.address.as_ref()?.address.as_ref()? else { return None };
    let Some(PortSpecifier::PortValue(port)) = socket.port_specifier else { return None };
    let address = SocketAddr::new(socket.address.parse().ok()?, u16::try_from(port).ok()?);
    let (succeeded, failed) = (stats.total_successful_requests, stats.total_error_requests);
    Some(EndpointReport { address, succeeded, failed })
}

#[tonic::async_trait]
impl LoadReportingService for Service {
    type StreamLoadStatsStream = ReceiverStream<Result<LoadStatsResponse, Status>>;
    async fn stream_load_stats(
        &self,
        request: Request<Streaming<LoadStatsRequest>>,
    ) -> Result<Response<Self::StreamLoadStatsStream>, Status> {
        let permit = self.stream_permit()?;
        let (tx, rx) = mpsc::channel(1);
        let (service, mut inbound) = (self.clone(), request.into_inner());
        tokio::spawn(async move {
            let _permit = permit;
            let work = async {
                let mut message = first_message(&mut inbound).await?;
                let node = message.node.take().map(|node| node.id).unwrap_or_default();
                service.check_node(&node)?;
                let report_request = LoadStatsResponse {
                    clusters: vec![SAVE_NODES.into()],
                    load_reporting_interval: proto_duration(LOAD_INTERVAL),
                    report_endpoint_granularity: true,
                    ..Default::default()
                };
                let _ = tx.send(Ok(report_request)).await;
                loop {
                    let stats = message.cluster_stats.iter().filter(|c| c.cluster_name == SAVE_NODES);
                    let localities = stats.flat_map(|c| &c.upstream_locality_stats);
                    let reports: Vec<EndpointReport> = localities
                        .flat_map(|l| &l.upstream_endpoint_stats)
                        .filter_map(endpoint_report)
                        .collect();
                    if !reports.is_empty()
                        && service.hub.updates.send(Update::EndpointReports(reports)).await.is_err()
                    {
                        return Ok(());
                    }
                    match inbound.message().await? {
                        Some(next) => message = next,
                        None => return Ok(()),
                    }
                    // The node may have been removed from the operators' list meanwhile.
                    service.check_node(&node)?;
                }
            };
            let problem: Option<Status> = tokio::select! {
                done = work => done.err(),
                () = service.stopped() => Some(Status::unavailable("this service is stopping")),
            };
            if let Some(status) = problem {
                let _ = tokio::time::timeout(FIRST_MESSAGE_TIMEOUT, tx.send(Err(status))).await;
            }
        });
        Ok(Response::new(ReceiverStream::new(rx)))
    }
}

/// Parses a bucket id as the proxies' quota filter builds it. `None` if a part is missing or not valid.
fn parse_bucket_id(hub: &Hub, id: &rlqs::BucketId) -> Option<BucketKey> {
    let customer = id.bucket.get("customer").filter(|c| c.len() == 16)?;
    let customer = u64::from_str_radix(customer, 16).ok().filter(|c| *c < CUSTOMER_NUMBER_END)?;
    let plan = hub.settings.plans.get(id.bucket.get("plan")?).map(|&i| PlanId(i));
    let plan = plan.filter(|plan| hub.quota_plans.contains(plan))?;
    let units = id.bucket.get("units")?.parse().ok()?;
    Some(BucketKey { customer: CustomerId(customer), plan, units })
}

fn bucket_action(
    id: rlqs::BucketId,
    assignment: Assignment,
) -> Option<rlqs::rate_limit_quota_response::BucketAction> {
    use envoy_type::rate_limit_strategy::{BlanketRule, Strategy};
    use rlqs::rate_limit_quota_response::{bucket_action as pb_action, BucketAction};
    let assign = |strategy, lifetime: Micros| {
        pb_action::BucketAction::QuotaAssignmentAction(pb_action::QuotaAssignmentAction {
            assignment_time_to_live: proto_duration(Duration::from_micros(lifetime.0)),
            rate_limit_strategy: Some(envoy_type::RateLimitStrategy { strategy: Some(strategy) }),
        })
    };
    let action = match assignment {
        Assignment::Tokens { capacity, interval, lifetime } => {
            // Envoy requires a fill interval; a bucket without refill gets one token a day.
            let fill_interval =
                proto_duration(Duration::from_micros(interval.map_or(86_400_000_000, |interval| interval.0)));
            let tokens_per_fill = Some(UInt32Value { value: 1 });
            assign(
                Strategy::TokenBucket(envoy_type::TokenBucket {
                    max_tokens: capacity,
                    tokens_per_fill,
                    fill_interval,
                }),
                lifetime,
            )
        }
        Assignment::Deny { lifetime } => assign(Strategy::BlanketRule(BlanketRule::DenyAll as i32), lifetime),
        Assignment::Abandon => pb_action::BucketAction::AbandonAction(pb_action::AbandonAction {}),
        Assignment::Keep => return None,
    };
    Some(BucketAction { bucket_id: Some(id), bucket_action: Some(action) })
}

/// Removes the stream's holder from the ledger on drop, however the stream ends.
struct Holder {
    hub: Hub,
    id: HolderId,
}

impl Drop for Holder {
    fn drop(&mut self) {
        self.hub.ledger().holder_gone(self.hub.clock.now(), self.id);
    }
}

impl Service {
    async fn run_quotas(
        &self,
        node: &str,
        inbound: &mut Streaming<rlqs::RateLimitQuotaUsageReports>,
        tx: &mpsc::Sender<(Instant, rlqs::RateLimitQuotaResponse)>,
    ) -> Result<(), Status> {
        let id = HolderId(self.serial.fetch_add(1, Ordering::Relaxed));
        let holder = Holder { hub: self.hub.clone(), id };
        let mut has_first_message = false;
        loop {
            // Space for the answer comes first, so that assignments are computed only when they can be sent at once.
            let Ok(permit) = tx.reserve().await else { return Ok(()) };
            let message = match has_first_message {
                true => inbound.message().await?,
                false => Some(first_message(inbound).await?),
            };
            let Some(message) = message else { return Ok(()) };
            if !has_first_message && message.domain != QUOTA_DOMAIN {
                let short: String = message.domain.chars().take(120).collect();
                return Err(Status::invalid_argument(format!(
                    "domain: expected '{QUOTA_DOMAIN}', found '{short}'"
                )));
            }
            has_first_message = true;
            // The node may have been removed from the operators' list meanwhile.
            self.check_node(node)?;
            let now = self.hub.clock.now();
            let mut actions = Vec::with_capacity(message.bucket_quota_usages.len());
            let mut denied_buckets = 0_u32;
            for usage in message.bucket_quota_usages {
                let Some(id) = usage.bucket_id else { continue };
                let assignment = parse_bucket_id(&self.hub, &id).map(|key| {
                    let usage = Usage {
                        allowed: usage.num_requests_allowed,
                        denied: usage.num_requests_denied,
                        elapsed: micros(usage.time_elapsed),
                    };
                    self.hub.ledger().report(now, holder.id, key, usage)
                });
                let assignment = match assignment {
                    Some(Ok(assignment)) => assignment,
                    // The id comes from a client's headers, which may hold anything. Only this bucket is denied.
                    Some(Err(_)) | None => {
                        denied_buckets += 1;
                        Assignment::Deny { lifetime: self.hub.ledger_settings.lease }
                    }
                };
                actions.extend(bucket_action(id, assignment));
            }
            if denied_buckets > 0 {
                debug!(
                    node,
                    bad = denied_buckets,
                    "denied buckets with an invalid id or beyond the limit on buckets"
                );
            }
            if !actions.is_empty() {
                permit.send((Instant::now(), rlqs::RateLimitQuotaResponse { bucket_action: actions }));
            }
        }
    }
}

#[tonic::async_trait]
impl RateLimitQuotaService for Service {
    type StreamRateLimitQuotasStream = ResponseStream<rlqs::RateLimitQuotaResponse>;
    async fn stream_rate_limit_quotas(
        &self,
        request: Request<Streaming<rlqs::RateLimitQuotaUsageReports>>,
    ) -> Result<Response<Self::StreamRateLimitQuotasStream>, Status> {
        let permit = self.stream_permit()?;
        let node = request
            .metadata()
            .get(QUOTA_NODE_HEADER)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_string();
        self.check_node(&node)?;
        let (tx, rx) = mpsc::channel(1);
        let (status_tx, status_rx) = mpsc::channel(1);
        let (service, mut inbound) = (self.clone(), request.into_inner());
        let allowance = Duration::from_micros(self.hub.ledger_settings.allowance.0);
        tokio::spawn(async move {
            let _permit = permit;
            let problem = tokio::select! {
                done = service.run_quotas(&node, &mut inbound, &tx) => done.err(),
                () = service.stopped() => Some(Status::unavailable("this service is stopping")),
            };
            if let Some(status) = problem {
                let _ = status_tx.try_send(status);
            }
        });
        // An assignment that waited too long for the client must not be delivered: the proxy would use it for its
        // whole lifetime from now on, past the time at which the ledger takes it as expired.
        let fresh =
            ReceiverStream::new(rx).map(move |(computed_at, response): (Instant, _)| {
                match computed_at.elapsed() {
                    waited if waited > allowance / 2 => {
                        Err(Status::aborted("an assignment was not read in time"))
                    }
                    _ => Ok(response),
                }
            });
        let last = ReceiverStream::new(status_rx).map(Err);
        Ok(Response::new(Box::pin(fresh.chain(last))))
    }
}

/// Accepts a bounded number of connections. TCP closes one whose written data stays unacknowledged for
/// `allowance`.
struct Incoming {
    listener: TcpListener,
    permits: Arc<Semaphore>,
    allowance: Duration,
    waiting: Option<TcpStream>,
    pause: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl Stream for Incoming {
    type Item = io::Result<Connection>;
    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            if let Some(pause) = &mut self.pause {
                if pause.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                self.pause = None;
            }
            if let Some(stream) = self.waiting.take() {
                match self.permits.clone().try_acquire_owned() {
                    Ok(permit) => return Poll::Ready(Some(Ok(Connection { stream, _permit: permit }))),
                    // Closes the connection at once, so that the client notices and retries.
                    Err(_) => drop(stream),
                }
            }
            match self.listener.poll_accept(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(error)) => {
                    warn!(%error, "accept failed");
                    self.pause = Some(Box::pin(tokio::time::sleep(ACCEPT_PAUSE)));
                }
                Poll::Ready(Ok((stream, _))) => {
                    let socket = socket2::SockRef::from(&stream);
                    let set = stream
                        .set_nodelay(true)
                        .and_then(|()| socket.set_tcp_user_timeout(Some(self.allowance)));
                    if set.is_ok() {
                        self.waiting = Some(stream);
                    }
                }
            }
        }
    }
}

/// A connection and the permit that counts it.
struct Connection {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
}

impl Connected for Connection {
    type ConnectInfo = TcpConnectInfo;
    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Lists a node's resources for operators: kind, name, version and size in bytes.
pub fn resource_summaries(set: &crate::resources::ResourceSet) -> Vec<(ResourceKind, String, String, usize)> {
    let kinds = crate::resources::RESOURCE_KINDS.into_iter();
    let all = kinds.flat_map(|kind| set.all(kind).map(move |r| (kind, r)));
    all.map(|(kind, r)| (kind, r.name.to_string(), r.version.clone(), r.body.value.len())).collect()
}
