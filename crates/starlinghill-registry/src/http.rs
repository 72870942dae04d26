//! Calls from outside: backends and the operator, over HTTP.

use crate::peers::{ask_store, Peers};
use crate::router::{Call, Found, Place};
use crate::state::{is_last_word, Command, Owner};
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
use starlinghill_config_model::ItemSet;
use starlinghill_config_store::wire::{ChangeOutcome, StoreRequest as Ask, StoreResponse};
use starlinghill_lease::contact::ORDER_RESPONSE_TIMEOUT;
use starlinghill_runtime::net::{Listener, NetworkHandle};
use starlinghill_runtime::validation::{At, Faults};
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// The longest body of a beat and of a change, in bytes.
const BEAT_BYTES: usize = 4 << 10;
const CHANGE_BYTES: usize = 4 << 20;
/// Callers that may be connected at once. Guards descriptors.
const MOST_CALLERS: usize = 1_500;
/// How long a caller may take to send, and be idle.
const SLOW: Duration = Duration::from_secs(5);

/// What calls need.
pub struct Desk {
    /// Where the stores are reached.
    pub net: NetworkHandle,
    /// The tables.
    pub owner: Owner,
    /// The other registries.
    pub peers: Rc<Peers>,
    /// The store on this machine, and the port of the others.
    pub store: SocketAddr,
    /// All calls.
    pub tree: Place,
    /// The process is to end.
    pub stopping: watch::Receiver<bool>,
}

/// Serves for ever.
pub async fn serve(listener: Box<dyn Listener>, desk: Rc<Desk>) {
    let callers = Rc::new(Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        if callers.get() >= MOST_CALLERS {
            continue;
        }
        callers.set(callers.get() + 1);
        let (desk, callers) = (desk.clone(), callers.clone());
        spawn_local(async move {
            let service = service_fn(move |request| {
                let desk = desk.clone();
                async move { Ok::<_, Infallible>(desk.answer(request).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(SLOW)
                .serve_connection(TokioIo::new(stream), service);
            // How a caller ends is its own affair.
            let _ = connection.await;
            callers.set(callers.get() - 1);
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

fn problem(status: StatusCode, problem: &str) -> Reply {
    let mut body = OwnedValue::object();
    let _ = body.insert("error", problem);
    let mut response = reply(status, body.encode().into_bytes());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("0.2"));
    }
    response
}

impl Desk {
    async fn answer(&self, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let (call, taken) = match self.tree.find(&head.method, head.uri.path()) {
            Found::Call(call, taken) => (call, taken),
            Found::Method => return problem(StatusCode::METHOD_NOT_ALLOWED, "no such call here"),
            Found::Nothing => return problem(StatusCode::NOT_FOUND, "nothing is here"),
        };
        let most = if call == Call::Change { CHANGE_BYTES } else { BEAT_BYTES };
        let body = match timeout(SLOW, Limited::new(body, most).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return problem(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long or broke off"),
            Err(_) => return problem(StatusCode::REQUEST_TIMEOUT, "the body did not come"),
        };
        let mut response = match call {
            Call::Beat => self.beat(taken.first().copied().unwrap_or_default(), &body).await,
            Call::Leave => self.leave(taken.first().copied().unwrap_or_default()).await,
            Call::Change => self.change(body).await,
            Call::Read => self.read().await,
        };
        if *self.stopping.borrow() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn beat(&self, id: &str, body: &[u8]) -> Reply {
        let (instance, warmup) = match read_beat(id, body) {
            Ok(read) => read,
            Err(wrong) => return problem(StatusCode::BAD_REQUEST, &wrong),
        };
        let (told, noted) = oneshot::channel();
        if self.owner.send(Command::Beat(instance, warmup, told)).await.is_err() {
            return problem(StatusCode::SERVICE_UNAVAILABLE, "ending");
        }
        let Ok(instance) = noted.await else { return problem(StatusCode::SERVICE_UNAVAILABLE, "ending") };
        if is_last_word(&instance) {
            // Said to be known only once it would be known without this registry as well.
            if !self.peers.tell_instance(instance).await {
                return problem(StatusCode::SERVICE_UNAVAILABLE, "no majority of registries has noted it");
            }
        }
        reply(StatusCode::OK, b"{}".to_vec())
    }

    async fn leave(&self, id: &str) -> Reply {
        let (told, noted) = oneshot::channel();
        if self.owner.send(Command::Leave(id.into(), told)).await.is_err() || noted.await.is_err() {
            return problem(StatusCode::SERVICE_UNAVAILABLE, "ending");
        }
        match self.peers.tell_left(id).await {
            true => reply(StatusCode::OK, b"{}".to_vec()),
            false => problem(StatusCode::SERVICE_UNAVAILABLE, "no majority of registries has noted it"),
        }
    }

    /// The one on this machine first.
    fn stores(&self) -> Vec<SocketAddr> {
        let others = self.peers.others().into_iter().map(|ip| SocketAddr::new(ip, self.store.port()));
        std::iter::once(self.store).chain(others).collect()
    }

    async fn change(&self, body: Bytes) -> Reply {
        let begun = Instant::now();
        let asked = ask_store(&self.net, self.stores(), Ask::Apply(body.to_vec()), ORDER_RESPONSE_TIMEOUT);
        let outcome = match asked.await {
            Some(StoreResponse::Applied(outcome)) => outcome,
            _ => ChangeOutcome::Unclear,
        };
        let took = begun.elapsed().as_millis();
        log::info!("event=change bytes={} took_ms={took} outcome=\"{outcome:?}\"", body.len());
        match outcome {
            ChangeOutcome::Taken => reply(StatusCode::OK, b"{}".to_vec()),
            ChangeOutcome::Invalid(wrong) => problem(StatusCode::BAD_REQUEST, &wrong),
            ChangeOutcome::Conflict(wrong) => problem(StatusCode::CONFLICT, &wrong),
            ChangeOutcome::Unclear => problem(
                StatusCode::SERVICE_UNAVAILABLE,
                "no majority of stores in time, or a number that is not remembered any more",
            ),
        }
    }

    async fn read(&self) -> Reply {
        match ask_store(&self.net, self.stores(), Ask::Read, ORDER_RESPONSE_TIMEOUT).await {
            Some(StoreResponse::Items(items)) => {
                reply(StatusCode::OK, ItemSet::from_items(items).to_upsert().encode().into_bytes())
            }
            _ => problem(StatusCode::SERVICE_UNAVAILABLE, "no majority of stores in time"),
        }
    }
}

/// Reads a beat, and how much longer its backend is slow, in microseconds.
fn read_beat(id: &str, body: &[u8]) -> Result<(Instance, u64), String> {
    let value =
        simd_json::to_owned_value(&mut body.to_vec()).map_err(|error| format!("not JSON: {error}"))?;
    let (root, mut faults) = (At::root(&value), Faults::default());
    let f = &mut faults;
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
    let warm = observed.at("warmup_left");
    let warmup = if warm.is_there() { warm.time(f).as_micros() as u64 } else { 0 };
    let version = details.at("version");
    let zone = details.at("zone");
    let instance = Instance {
        id: id.into(),
        service: details.at("service").text(f),
        address: address.unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0))),
        zone: if zone.is_there() { zone.text(f) } else { String::new() },
        version: if version.is_there() { version.text(f) } else { String::new() },
        capacity: details.at("capacity").count(f).clamp(1, 100_000) as u32,
        state,
        beat_count: observed.at("call_count").count(f),
        warm_at_us: 0,
    };
    let whole = faults.settle((instance, warmup));
    whole.map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
}
