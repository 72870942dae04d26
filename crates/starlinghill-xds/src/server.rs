//! The services on sockets: aggregated discovery (`envoy.service.discovery.v3`), load reports
//! (`envoy.service.load_stats.v3`) and quota assignments (`envoy.service.rate_limit_quota.v3`). They translate
//! and never choose.

use crate::ads::{self, Flavour, Heard, Names, Stream as AdsStream};
use crate::hub::{Hub, News, Published};
use crate::resources::{Kind, DOMAIN, NODE_KEY, SAVE_NODES};
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

/// A stream must name its node within this time.
const INTRODUCTION: Duration = Duration::from_secs(5);
/// A proxy that has not answered what it was told for so long is named in the log; the cutoff for drains.
const PATIENCE: Duration = Duration::from_secs(1);
/// How often proxies are to report load.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Streams of one connection: discovery, load, quotas, and room for what a library opens beside.
const STREAMS_OF_CONNECTION: u32 = 16;
/// The pause after an accept that failed, which it does at once while descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections that show no sign of life are asked for one this often, and cut after this time.
const KEEPALIVE: Duration = Duration::from_secs(5);
/// Customers have numbers below this.
const CUSTOMERS: u64 = 1 << 33;

/// Bounds on what clients may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Connections.
    pub connections: usize,
    /// Streams of all kinds together.
    pub streams: usize,
    /// Names subscribed to on one stream, for each type.
    pub names: usize,
    /// Bytes of one message from a client.
    pub message: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { connections: 2_048, streams: 4_096, names: 1_024, message: 1 << 20 }
    }
}

/// What the services share.
#[derive(Clone)]
pub struct Service {
    hub: Hub,
    limits: Limits,
    streams: Arc<Semaphore>,
    stopping: watch::Receiver<bool>,
    /// Numbers streams; begins at random, so that no nonce is like one of an earlier life of this service.
    serial: Arc<AtomicU64>,
    life: u64,
}

impl Service {
    /// Services round this hub; they end when `stopping` turns true.
    pub fn new(hub: Hub, limits: Limits, seed: u64, stopping: watch::Receiver<bool>) -> Service {
        let streams = Arc::new(Semaphore::new(limits.streams));
        let life = fastrand::Rng::with_seed(seed ^ hub.clock.now().0).u64(..);
        Service { hub, limits, streams, stopping, serial: Arc::default(), life }
    }

    /// Serves until stopping. Streams then end with UNAVAILABLE, at which proxies keep what they have.
    pub async fn serve(
        self,
        listener: TcpListener,
        tls: Option<ServerTlsConfig>,
    ) -> Result<(), tonic::transport::Error> {
        let (most, mut stopping) = (self.limits.message, self.stopping.clone());
        let incoming = Incoming {
            listener,
            places: Arc::new(Semaphore::new(self.limits.connections)),
            allowance: Duration::from_micros(self.hub.lease.allowance.0),
            waiting: None,
            pause: None,
        };
        let mut server = Server::builder()
            .max_concurrent_streams(STREAMS_OF_CONNECTION)
            .http2_keepalive_interval(Some(KEEPALIVE))
            .http2_keepalive_timeout(Some(KEEPALIVE));
        if let Some(tls) = tls {
            server = server.tls_config(tls)?;
        }
        server
            .add_service(AggregatedDiscoveryServiceServer::new(self.clone()).max_decoding_message_size(most))
            .add_service(LoadReportingServiceServer::new(self.clone()).max_decoding_message_size(most))
            .add_service(RateLimitQuotaServiceServer::new(self).max_decoding_message_size(most))
            .serve_with_incoming_shutdown(incoming, async move {
                // An error: whoever could stop it is gone, which stops it too.
                let _ = stopping.wait_for(|stop| *stop).await;
            })
            .await
    }

    fn place(&self) -> Result<OwnedSemaphorePermit, Status> {
        if *self.stopping.borrow() {
            return Err(Status::unavailable("this service is stopping"));
        }
        let full =
            |_| Status::resource_exhausted(format!("{} streams are open, which is all", self.limits.streams));
        self.streams.clone().try_acquire_owned().map_err(full)
    }

    fn admit(&self, node: &str) -> Result<(), Status> {
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

/// The first message of a stream, which must come soon.
async fn first<T>(inbound: &mut Streaming<T>) -> Result<T, Status> {
    match tokio::time::timeout(INTRODUCTION, inbound.message()).await {
        Ok(Ok(Some(message))) => Ok(message),
        Ok(Ok(None)) => Err(Status::invalid_argument("the stream ended before its first message")),
        Ok(Err(status)) => Err(status),
        Err(_) => Err(Status::deadline_exceeded("no first message in time")),
    }
}

/// The two flavours of discovery on the wire.
trait Wire: Send + 'static {
    type In: Send + 'static;
    type Out: Send + 'static;
    const FLAVOUR: Flavour;
    fn read(message: Self::In) -> (Option<Node>, ads::Request);
    fn write(response: ads::Response) -> Self::Out;
}

struct Whole;
struct Delta;

impl Wire for Whole {
    type In = discovery::DiscoveryRequest;
    type Out = discovery::DiscoveryResponse;
    const FLAVOUR: Flavour = Flavour::Whole;
    fn read(message: Self::In) -> (Option<Node>, ads::Request) {
        let request = ads::Request {
            type_url: message.type_url,
            nonce: message.response_nonce,
            refused: message.error_detail.map(|status| status.message),
            names: Names::Whole { names: message.resource_names, version: message.version_info },
        };
        (message.node, request)
    }
    fn write(response: ads::Response) -> Self::Out {
        discovery::DiscoveryResponse {
            version_info: response.version,
            resources: response.resources.iter().map(|r| r.body.clone()).collect(),
            type_url: response.kind.url(),
            nonce: response.nonce,
            ..Default::default()
        }
    }
}

impl Wire for Delta {
    type In = discovery::DeltaDiscoveryRequest;
    type Out = discovery::DeltaDiscoveryResponse;
    const FLAVOUR: Flavour = Flavour::Delta;
    fn read(message: Self::In) -> (Option<Node>, ads::Request) {
        let request = ads::Request {
            type_url: message.type_url,
            nonce: message.response_nonce,
            refused: message.error_detail.map(|status| status.message),
            names: Names::Delta {
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
            type_url: response.kind.url(),
            removed_resources: response.removed,
            nonce: response.nonce,
            ..Default::default()
        }
    }
}

impl Service {
    fn discover<W: Wire>(
        &self,
        mut inbound: Streaming<W::In>,
    ) -> Result<ReceiverStream<Result<W::Out, Status>>, Status> {
        let place = self.place()?;
        // One response waits to be read; whatever comes next is made when there is room.
        let (tx, rx) = mpsc::channel(1);
        let service = self.clone();
        tokio::spawn(async move {
            let _place = place;
            let problem = tokio::select! {
                done = service.discovery::<W>(&mut inbound, &tx) => done.err(),
                () = service.stopped() => Some(Status::unavailable("this service is stopping")),
            };
            if let Some(status) = problem {
                debug!(%status, "a discovery stream ends");
                // A proxy that reads nothing learns it from the end of the stream.
                let _ = tokio::time::timeout(INTRODUCTION, tx.send(Err(status))).await;
            }
        });
        Ok(ReceiverStream::new(rx))
    }

    async fn discovery<W: Wire>(
        &self,
        inbound: &mut Streaming<W::In>,
        tx: &mpsc::Sender<Result<W::Out, Status>>,
    ) -> Result<(), Status> {
        let (node, request) = W::read(first(inbound).await?);
        let node = node.map(|node| node.id).unwrap_or_default();
        self.admit(&node)?;
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        let limits = ads::Limits { names: self.limits.names, name: 512 };
        let mut stream = AdsStream::new(W::FLAVOUR, format!("{:x}-{serial:x}", self.life), limits);
        let mut published = self.hub.published.clone();
        let set = |published: &mut watch::Receiver<Option<Arc<Published>>>| {
            let newest = published.borrow_and_update().clone();
            newest.and_then(|newest| newest.sets.get(&node).cloned())
        };
        set(&mut published).into_iter().for_each(|set| stream.update(set));
        info!(node, serial, flavour = ?W::FLAVOUR, "a proxy came");
        self.heard(&node, &mut stream, request)?;
        let mut due = true;
        let introduced = tokio::time::sleep(INTRODUCTION);
        tokio::pin!(introduced);
        let mut waits = true;
        let mut late: Option<tokio::time::Instant> = None;
        loop {
            let answer_due = late.unwrap_or_else(tokio::time::Instant::now);
            tokio::select! {
                biased;
                permit = tx.reserve(), if due => match (permit, stream.next_response()) {
                    (Err(_), _) => return Ok(()),
                    (Ok(permit), Some(response)) => {
                        late.get_or_insert_with(|| tokio::time::Instant::now() + PATIENCE);
                        permit.send(Ok(W::write(response)));
                    }
                    (Ok(_), None) => due = false,
                },
                changed = published.changed() => {
                    if changed.is_err() {
                        return Err(Status::unavailable("this service is stopping"));
                    }
                    match set(&mut published) {
                        Some(set) => stream.update(set),
                        // It was taken off the operators' list.
                        None => self.admit(&node)?,
                    }
                    due = true;
                }
                message = inbound.message() => match message {
                    Ok(Some(message)) => {
                        self.heard(&node, &mut stream, W::read(message).1)?;
                        due = true;
                        late = late.filter(|_| stream.is_unanswered());
                    }
                    Ok(None) => return Ok(()),
                    Err(status) => return Err(status),
                },
                () = tokio::time::sleep_until(answer_due), if late.is_some() => {
                    warn!(node, serial, "a proxy has not answered in time: it may not know what drains");
                    late = None;
                }
                () = &mut introduced, if waits => {
                    stream.introduced();
                    (waits, due) = (false, true);
                }
                () = tx.closed() => return Ok(()),
            }
        }
    }

    fn heard(&self, node: &str, stream: &mut AdsStream, request: ads::Request) -> Result<(), Status> {
        match stream.request(request) {
            Ok(Heard::Refused(kind, version, problem)) => {
                let problem: String = problem.chars().take(500).collect();
                warn!(node, %kind, version, problem, "a proxy refused what it was told, and keeps what it had");
                Ok(())
            }
            Ok(Heard::Nothing | Heard::Accepted(_)) => Ok(()),
            Err(problem) => Err(Status::invalid_argument(problem.to_string())),
        }
    }
}

type Answers<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

#[tonic::async_trait]
impl AggregatedDiscoveryService for Service {
    type StreamAggregatedResourcesStream = ReceiverStream<Result<discovery::DiscoveryResponse, Status>>;
    async fn stream_aggregated_resources(
        &self,
        request: Request<Streaming<discovery::DiscoveryRequest>>,
    ) -> Result<Response<Self::StreamAggregatedResourcesStream>, Status> {
        self.discover::<Whole>(request.into_inner()).map(Response::new)
    }

    type DeltaAggregatedResourcesStream = ReceiverStream<Result<discovery::DeltaDiscoveryResponse, Status>>;
    async fn delta_aggregated_resources(
        &self,
        request: Request<Streaming<discovery::DeltaDiscoveryRequest>>,
    ) -> Result<Response<Self::DeltaAggregatedResourcesStream>, Status> {
        self.discover::<Delta>(request.into_inner()).map(Response::new)
    }
}

fn proto(span: Duration) -> Option<ProtoDuration> {
    Some(ProtoDuration { seconds: span.as_secs() as i64, nanos: span.subsec_nanos() as i32 })
}

fn micros(span: Option<ProtoDuration>) -> Micros {
    let span = span.unwrap_or_default();
    let (seconds, nanos) = (span.seconds.clamp(0, 86_400) as u64, span.nanos.clamp(0, 999_999_999) as u64);
    Micros(seconds * 1_000_000 + nanos / 1000)
}

fn observed(stats: &UpstreamEndpointStats) -> Option<EndpointReport> {
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
        let place = self.place()?;
        let (tx, rx) = mpsc::channel(1);
        let (service, mut inbound) = (self.clone(), request.into_inner());
        tokio::spawn(async move {
            let _place = place;
            let work = async {
                let mut message = first(&mut inbound).await?;
                let node = message.node.take().map(|node| node.id).unwrap_or_default();
                service.admit(&node)?;
                let wanted = LoadStatsResponse {
                    clusters: vec![SAVE_NODES.into()],
                    load_reporting_interval: proto(LOAD_INTERVAL),
                    report_endpoint_granularity: true,
                    ..Default::default()
                };
                let _ = tx.send(Ok(wanted)).await;
                loop {
                    let stats = message.cluster_stats.iter().filter(|c| c.cluster_name == SAVE_NODES);
                    let localities = stats.flat_map(|c| &c.upstream_locality_stats);
                    let seen: Vec<EndpointReport> =
                        localities.flat_map(|l| &l.upstream_endpoint_stats).filter_map(observed).collect();
                    if !seen.is_empty() && service.hub.news.send(News::Observed(seen)).await.is_err() {
                        return Ok(());
                    }
                    match inbound.message().await? {
                        Some(next) => message = next,
                        None => return Ok(()),
                    }
                    // It may have been taken off the operators' list meanwhile.
                    service.admit(&node)?;
                }
            };
            let problem: Option<Status> = tokio::select! {
                done = work => done.err(),
                () = service.stopped() => Some(Status::unavailable("this service is stopping")),
            };
            if let Some(status) = problem {
                let _ = tokio::time::timeout(INTRODUCTION, tx.send(Err(status))).await;
            }
        });
        Ok(Response::new(ReceiverStream::new(rx)))
    }
}

/// A bucket's id, as the proxies' filter builds it.
fn bucket(hub: &Hub, id: &rlqs::BucketId) -> Option<BucketKey> {
    let customer = id.bucket.get("customer").filter(|c| c.len() == 16)?;
    let customer = u64::from_str_radix(customer, 16).ok().filter(|c| *c < CUSTOMERS)?;
    let plan = hub.site.plans.get(id.bucket.get("plan")?).map(|&i| PlanId(i));
    let plan = plan.filter(|plan| hub.plans.contains(plan))?;
    let units = id.bucket.get("units")?.parse().ok()?;
    Some(BucketKey { customer: CustomerId(customer), plan, units })
}

fn action(id: rlqs::BucketId, told: Assignment) -> Option<rlqs::rate_limit_quota_response::BucketAction> {
    use envoy_type::rate_limit_strategy::{BlanketRule, Strategy};
    use rlqs::rate_limit_quota_response::{bucket_action, BucketAction};
    let assign = |strategy, life: Micros| {
        bucket_action::BucketAction::QuotaAssignmentAction(bucket_action::QuotaAssignmentAction {
            assignment_time_to_live: proto(Duration::from_micros(life.0)),
            rate_limit_strategy: Some(envoy_type::RateLimitStrategy { strategy: Some(strategy) }),
        })
    };
    let action = match told {
        Assignment::Tokens { capacity, interval, lifetime } => {
            // A bucket must have a filling; one that has none here fills once in a day.
            let fill_interval =
                proto(Duration::from_micros(interval.map_or(86_400_000_000, |interval| interval.0)));
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
        Assignment::Abandon => bucket_action::BucketAction::AbandonAction(bucket_action::AbandonAction {}),
        Assignment::Keep => return None,
    };
    Some(BucketAction { bucket_id: Some(id), bucket_action: Some(action) })
}

/// Ends what a stream holds in the ledger, however the stream ends.
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
    async fn quotas(
        &self,
        node: &str,
        inbound: &mut Streaming<rlqs::RateLimitQuotaUsageReports>,
        tx: &mpsc::Sender<(Instant, rlqs::RateLimitQuotaResponse)>,
    ) -> Result<(), Status> {
        let id = HolderId(self.serial.fetch_add(1, Ordering::Relaxed));
        let holder = Holder { hub: self.hub.clone(), id };
        let mut named = false;
        loop {
            // Room first: what a report brings is reckoned when it can be told at once.
            let Ok(permit) = tx.reserve().await else { return Ok(()) };
            let message = match named {
                true => inbound.message().await?,
                false => Some(first(inbound).await?),
            };
            let Some(message) = message else { return Ok(()) };
            if !named && message.domain != DOMAIN {
                let short: String = message.domain.chars().take(120).collect();
                return Err(Status::invalid_argument(format!(
                    "domain: expected '{DOMAIN}', found '{short}'"
                )));
            }
            named = true;
            // It may have been taken off the operators' list meanwhile.
            self.admit(node)?;
            let now = self.hub.clock.now();
            let mut actions = Vec::with_capacity(message.bucket_quota_usages.len());
            let mut bad = 0_u32;
            for usage in message.bucket_quota_usages {
                let Some(id) = usage.bucket_id else { continue };
                let told = bucket(&self.hub, &id).map(|key| {
                    let usage = Usage {
                        allowed: usage.num_requests_allowed,
                        denied: usage.num_requests_denied,
                        elapsed: micros(usage.time_elapsed),
                    };
                    self.hub.ledger().report(now, holder.id, key, usage)
                });
                let told = match told {
                    Some(Ok(told)) => told,
                    // A client's headers may say anything; its requests are turned away, others go on.
                    Some(Err(_)) | None => {
                        bad += 1;
                        Assignment::Deny { lifetime: self.hub.lease.lease }
                    }
                };
                actions.extend(action(id, told));
            }
            if bad > 0 {
                debug!(node, bad, "buckets of no customer, plan or units, or more than there may be");
            }
            if !actions.is_empty() {
                permit.send((Instant::now(), rlqs::RateLimitQuotaResponse { bucket_action: actions }));
            }
        }
    }
}

#[tonic::async_trait]
impl RateLimitQuotaService for Service {
    type StreamRateLimitQuotasStream = Answers<rlqs::RateLimitQuotaResponse>;
    async fn stream_rate_limit_quotas(
        &self,
        request: Request<Streaming<rlqs::RateLimitQuotaUsageReports>>,
    ) -> Result<Response<Self::StreamRateLimitQuotasStream>, Status> {
        let place = self.place()?;
        let node =
            request.metadata().get(NODE_KEY).and_then(|v| v.to_str().ok()).unwrap_or_default().to_string();
        self.admit(&node)?;
        let (tx, rx) = mpsc::channel(1);
        let (end, ended) = mpsc::channel(1);
        let (service, mut inbound) = (self.clone(), request.into_inner());
        let allowance = Duration::from_micros(self.hub.lease.allowance.0);
        tokio::spawn(async move {
            let _place = place;
            let problem = tokio::select! {
                done = service.quotas(&node, &mut inbound, &tx) => done.err(),
                () = service.stopped() => Some(Status::unavailable("this service is stopping")),
            };
            if let Some(status) = problem {
                let _ = end.try_send(status);
            }
        });
        // Guards against an assignment that waited for its reader: it would be used for its whole life from
        // now on, when the ledger takes it for lapsed.
        let fresh = ReceiverStream::new(rx).map(move |(made, response): (Instant, _)| match made.elapsed() {
            waited if waited > allowance / 2 => Err(Status::aborted("an assignment was not read in time")),
            _ => Ok(response),
        });
        let last = ReceiverStream::new(ended).map(Err);
        Ok(Response::new(Box::pin(fresh.chain(last))))
    }
}

/// Connections, a bounded number, each cut when what was written stays unacknowledged for the allowance.
struct Incoming {
    listener: TcpListener,
    places: Arc<Semaphore>,
    allowance: Duration,
    waiting: Option<TcpStream>,
    pause: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl Stream for Incoming {
    type Item = io::Result<Line>;
    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            if let Some(pause) = &mut self.pause {
                if pause.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                self.pause = None;
            }
            if let Some(stream) = self.waiting.take() {
                match self.places.clone().try_acquire_owned() {
                    Ok(place) => return Poll::Ready(Some(Ok(Line { stream, _place: place }))),
                    // Closed at once: the client learns it and comes back.
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

/// One connection and its place.
struct Line {
    stream: TcpStream,
    _place: OwnedSemaphorePermit,
}

impl Connected for Line {
    type ConnectInfo = TcpConnectInfo;
    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for Line {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Line {
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

/// The kinds that a node's set holds, for people to read: type, name, version and size in bytes.
pub fn contents(set: &crate::resources::ResourceSet) -> Vec<(Kind, String, String, usize)> {
    let kinds = crate::resources::KINDS.into_iter();
    let all = kinds.flat_map(|kind| set.all(kind).map(move |r| (kind, r)));
    all.map(|(kind, r)| (kind, r.name.to_string(), r.version.clone(), r.body.value.len())).collect()
}
