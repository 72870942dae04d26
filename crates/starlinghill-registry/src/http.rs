//! The HTTP API for backends and for the operator.

use crate::peers::Peers;
use crate::router::{Endpoint, RouteMatch, RouteNode};
use crate::state::{refuses_new_work, Command, StateHandle};
use crate::store_calls::ask_stores;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use starlinghill_catalog::{BackendState, Instance};
use starlinghill_config_model::{nested_json, ItemSet};
use starlinghill_config_store::wire::{ChangeOutcome, StoreRequest, StoreResponse};
use starlinghill_lease::contact::ORDER_RESPONSE_TIMEOUT;
use starlinghill_runtime::net::{Listener, NetworkHandle};
use starlinghill_runtime::validation::{DocumentValue, ValidationErrors};
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// Limits of request bodies, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 4 << 10;
const MAX_CHANGE_BYTES: usize = 4 << 20;
/// Connections that may be open at once, so that connections can't use up the file descriptors.
const MAX_CONNECTIONS: usize = 1_500;
/// Timeout for a request's headers and for its body.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// What the handlers need.
pub struct HttpApi {
    /// The network on which the stores are called.
    pub net: NetworkHandle,
    /// The state of this registry.
    pub state: StateHandle,
    /// The other registries.
    pub peers: Rc<Peers>,
    /// The configuration store on this machine. The stores of other machines listen on the same port.
    pub store: SocketAddr,
    /// The routes of the API.
    pub routes: RouteNode,
    /// Becomes true when the process shuts down; connections are closed after their current response then.
    pub stopping: watch::Receiver<bool>,
}

/// Accepts and serves connections until the process ends.
pub async fn serve(listener: Box<dyn Listener>, api: Rc<HttpApi>) {
    let connections = Rc::new(Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        if connections.get() >= MAX_CONNECTIONS {
            continue;
        }
        connections.set(connections.get() + 1);
        let (api, connections) = (api.clone(), connections.clone());
        spawn_local(async move {
            let service = service_fn(move |request| {
                let api = api.clone();
                async move { Ok::<_, Infallible>(api.handle(request).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(CALLER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // An error here concerns only this caller, who sees it too.
            let _ = connection.await;
            connections.set(connections.get() - 1);
        });
    }
}

type Reply = Response<Full<Bytes>>;

fn reply(status: StatusCode, body: Vec<u8>) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn error_reply(status: StatusCode, message: &str) -> Reply {
    let mut body = OwnedValue::object();
    let _ = body.insert("error", message);
    let mut response = reply(status, body.encode().into_bytes());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("0.2"));
    }
    response
}

impl HttpApi {
    async fn handle(&self, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let (call, params) = match self.routes.lookup(&head.method, head.uri.path()) {
            RouteMatch::Endpoint(call, params) => (call, params),
            RouteMatch::MethodNotAllowed => {
                return error_reply(StatusCode::METHOD_NOT_ALLOWED, "no such call here")
            }
            RouteMatch::NotFound => return error_reply(StatusCode::NOT_FOUND, "nothing is here"),
        };
        let max_bytes = if call == Endpoint::Change { MAX_CHANGE_BYTES } else { MAX_HEARTBEAT_BYTES };
        let body = match timeout(CALLER_TIMEOUT, Limited::new(body, max_bytes).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => {
                return error_reply(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long or broke off")
            }
            Err(_) => return error_reply(StatusCode::REQUEST_TIMEOUT, "the body did not come"),
        };
        let mut response = match call {
            Endpoint::Heartbeat => self.heartbeat(params.first().copied().unwrap_or_default(), &body).await,
            Endpoint::Leave => self.leave(params.first().copied().unwrap_or_default()).await,
            Endpoint::Change => self.change(body).await,
            Endpoint::Read => self.read().await,
        };
        if *self.stopping.borrow() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn heartbeat(&self, id: &str, body: &[u8]) -> Reply {
        let (instance, warmup) = match read_heartbeat(id, body) {
            Ok(read) => read,
            Err(message) => return error_reply(StatusCode::BAD_REQUEST, &message),
        };
        let (reply_to, recorded) = oneshot::channel();
        if self.state.send(Command::Heartbeat(instance, warmup, reply_to)).await.is_err() {
            return error_reply(StatusCode::SERVICE_UNAVAILABLE, "ending");
        }
        let Ok(instance) = recorded.await else {
            return error_reply(StatusCode::SERVICE_UNAVAILABLE, "ending");
        };
        if refuses_new_work(&instance) {
            // The heartbeat is acknowledged only once the state would survive the loss of this registry.
            if !self.peers.replicate_instance(instance).await {
                return error_reply(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "no majority of registries has noted it",
                );
            }
        }
        reply(StatusCode::OK, b"{}".to_vec())
    }

    async fn leave(&self, id: &str) -> Reply {
        let (reply_to, recorded) = oneshot::channel();
        if self.state.send(Command::Leave(id.into(), reply_to)).await.is_err() || recorded.await.is_err() {
            return error_reply(StatusCode::SERVICE_UNAVAILABLE, "ending");
        }
        match self.peers.replicate_departure(id).await {
            true => reply(StatusCode::OK, b"{}".to_vec()),
            false => error_reply(StatusCode::SERVICE_UNAVAILABLE, "no majority of registries has noted it"),
        }
    }

    /// Addresses of all stores, the one on this machine first.
    fn stores(&self) -> Vec<SocketAddr> {
        let others = self.peers.others().into_iter().map(|ip| SocketAddr::new(ip, self.store.port()));
        std::iter::once(self.store).chain(others).collect()
    }

    async fn change(&self, body: Bytes) -> Reply {
        let started = Instant::now();
        let asked =
            ask_stores(&self.net, self.stores(), StoreRequest::Apply(body.to_vec()), ORDER_RESPONSE_TIMEOUT);
        let outcome = match asked.await {
            Some(StoreResponse::Applied(outcome)) => outcome,
            _ => ChangeOutcome::Unclear,
        };
        let took = started.elapsed().as_millis();
        log::info!("event=change bytes={} took_ms={took} outcome=\"{outcome:?}\"", body.len());
        match outcome {
            ChangeOutcome::Taken => reply(StatusCode::OK, b"{}".to_vec()),
            ChangeOutcome::Invalid(message) => error_reply(StatusCode::BAD_REQUEST, &message),
            ChangeOutcome::Conflict(message) => error_reply(StatusCode::CONFLICT, &message),
            ChangeOutcome::Unclear => error_reply(
                StatusCode::SERVICE_UNAVAILABLE,
                "no majority of stores in time, or a number that is not remembered any more",
            ),
        }
    }

    async fn read(&self) -> Reply {
        match ask_stores(&self.net, self.stores(), StoreRequest::Read, ORDER_RESPONSE_TIMEOUT).await {
            Some(StoreResponse::Items(items)) => {
                reply(StatusCode::OK, ItemSet::from_items(items).upsert_json().into_bytes())
            }
            _ => error_reply(StatusCode::SERVICE_UNAVAILABLE, "no majority of stores in time"),
        }
    }
}

/// Parses a heartbeat; returns the instance and the remaining time of its warm-up in microseconds.
fn read_heartbeat(id: &str, body: &[u8]) -> Result<(Instance, u64), String> {
    let value = nested_json::parse(body).map_err(|error| error.to_string())?;
    let (root, mut errors) = (DocumentValue::root(&value), ValidationErrors::default());
    let f = &mut errors;
    let (details, observed) = (root.at("details"), root.at("observed"));
    let state = observed.at("state");
    let state = match state.text(f).as_str() {
        "ready" => BackendState::Ready,
        "draining" => BackendState::Draining,
        _ => {
            f.add("observed.state", state.value, "ready or draining");
            BackendState::Ready
        }
    };
    let address = root.at("address").address(f);
    let warmup_left = observed.at("warmup_left");
    let warmup = if warmup_left.exists() { warmup_left.time(f).as_micros() as u64 } else { 0 };
    let version = details.at("version");
    let zone = details.at("zone");
    let instance = Instance {
        id: id.into(),
        service: details.at("service").text(f),
        address: address.unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0))),
        zone: if zone.exists() { zone.text(f) } else { String::new() },
        version: if version.exists() { version.text(f) } else { String::new() },
        capacity: details.at("capacity").count(f).clamp(1, 100_000) as u32,
        state,
        beat_count: observed.at("call_count").count(f),
        warm_at_us: 0,
    };
    let checked = errors.into_result((instance, warmup));
    checked.map_err(|errors| errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
}
