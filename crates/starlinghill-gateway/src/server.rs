//! Accepts clients' connections, reads and validates their requests, answers them, and serves `/_health`.

use crate::answer::{AnswerBody, StreamingBody};
use crate::backend::{joined, strip_hop_by_hop};
use crate::backend_protocol::BUDGET;
use crate::class_names::ClassNames;
use crate::connections::{
    ClientConnections, ConnectionHandle, Phase, ACCEPT_PAUSE, MIN_BODY_BYTES_PER_S, REQUEST_TIMEOUT,
};
use crate::forward::{ForwardedRequest, Payload, ServedBody};
use crate::idle::Reuse;
use crate::inbox::{Answer, Clock, DriverSender, Input, NewRequest};
use crate::request_head::{record_head, RequestHead};
use crate::upload::{Upload, UploadCompletion, UploadObserver, MAX_BUFFERED_BYTES, MAX_STREAMED_BYTES};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use starlinghill_decision::api::*;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify, Semaphore};
use tokio::time::{interval, sleep, sleep_until, timeout, Instant};
use tracing::{debug, warn};

/// Interval between checks of the connections' time limits.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Longest head of a request, in bytes. It bounds the memory that a client can take up.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Customer numbers are below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Headers that may appear only once in a request.
const SINGLE_HEADERS: [&str; 9] = [
    "content-length",
    "host",
    "idempotency-key",
    "x-again",
    "x-budget-ms",
    "x-call-class",
    "x-call-id",
    "x-plan",
    "x-quota",
];
/// How long new connections are accepted after SIGTERM. The platform sends new ones for another 0.4 s.
const ACCEPT_GRACE: Duration = Duration::from_millis(600);
/// Where other processes accept from the same socket, connections unused since SIGTERM are closed this long
/// before the shutdown limit.
const UNUSED_CLOSE_MARGIN: Duration = Duration::from_millis(800);

/// What differs between the platform's protocol and that of the whole system in serving clients.
pub trait RequestHandler {
    /// Answers one request.
    fn respond(
        &self,
        request: Request<Incoming>,
        connection: &Rc<ConnectionHandle>,
    ) -> impl Future<Output = Response<AnswerBody>>;
    /// Becomes true at SIGTERM.
    fn stopping(&self) -> watch::Receiver<bool>;
    /// Whether SIGTERM was received.
    fn is_stopping(&self) -> bool;
    /// Whether other processes accept from the same socket.
    fn is_shared(&self) -> bool;
    /// How long new connections are accepted after SIGTERM, where no other process accepts.
    fn accept_grace(&self) -> Duration;
    /// How long after SIGTERM all requests must be answered.
    fn shutdown_limit(&self) -> Duration;
}

/// Reads the bodies of requests and passes the requests to the driver.
pub struct RequestIntake {
    /// Sends requests to the driver.
    pub driver: DriverSender,
    /// The clock of the decision module.
    pub clock: Clock,
    /// Memory for request bodies; one permit is one byte.
    pub body_memory: Semaphore,
    /// The id given to the latest request.
    pub last_request_id: Cell<u64>,
}

/// The platform's protocol for clients, shared by all their connections.
pub struct PlatformHandler {
    /// Passes requests to the driver.
    pub intake: RequestIntake,
    /// True once there is a list of backends.
    pub ready: watch::Receiver<bool>,
    /// The classes of requests, by name.
    pub classes: RefCell<ClassNames>,
    /// The plans of customers, by name.
    pub plans: HashMap<String, PlanId>,
    /// The largest number of quota units that one request may take.
    pub max_units: f64,
    /// The number of gateways.
    pub gateways: u32,
    /// The clients' own ids of the requests that are open in this process.
    pub open_calls: RefCell<HashSet<HeaderValue>>,
    /// Becomes true at SIGTERM.
    pub stopping: watch::Receiver<bool>,
    /// Whether other processes accept from the same socket.
    pub shared: bool,
}

impl RequestHandler for PlatformHandler {
    async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &Rc<ConnectionHandle>,
    ) -> Response<AnswerBody> {
        match request.uri().path() {
            "/_health" => match *self.ready.borrow() && !self.is_stopping() {
                true => text_response(StatusCode::OK, "ready\n").map(AnswerBody::Left),
                false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n").map(AnswerBody::Left),
            },
            "/api" => match handle_api(request, self, connection).await {
                Ok(answer) => answer,
                Err((status, problem)) => close_after(text_response(status, problem).map(AnswerBody::Left)),
            },
            _ => close_after(text_response(StatusCode::NOT_FOUND, "no such path\n").map(AnswerBody::Left)),
        }
    }
    fn stopping(&self) -> watch::Receiver<bool> {
        self.stopping.clone()
    }
    fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
    fn is_shared(&self) -> bool {
        self.shared
    }
    fn accept_grace(&self) -> Duration {
        ACCEPT_GRACE
    }
    fn shutdown_limit(&self) -> Duration {
        self.classes.borrow().shutdown_limit()
    }
}

/// Accepts clients until SIGTERM, answers the requests received, and returns. `max_connections` limits the
/// open connections.
pub async fn serve<H: RequestHandler + 'static>(
    listener: TcpListener,
    handler: Rc<H>,
    max_connections: usize,
) {
    let connections =
        Rc::new(ClientConnections { open: RefCell::default(), limit: max_connections, ended: Notify::new() });
    let (mut stopping, shared) = (handler.stopping(), handler.is_shared());
    let mut stopped_at: Option<Instant> = None;
    let mut sweep = interval(SWEEP_INTERVAL);
    let mut accepted = None;
    let mut serial = 0;
    let shutdown_limit = handler.shutdown_limit();
    let accept_until =
        if shared { shutdown_limit.saturating_sub(UNUSED_CLOSE_MARGIN) } else { handler.accept_grace() };
    loop {
        tokio::select! {
            biased;
            // One connection at a time is accepted and then waits for its place. More would exceed the limit
            // on file descriptors.
            () = connections.wait_for_place(), if accepted.is_some() => {
                let connection = Rc::new(ConnectionHandle::new());
                serial += 1;
                connections.open.borrow_mut().insert(serial, connection.clone());
                let (stream, handler, connections) = (accepted.take(), handler.clone(), connections.clone());
                tokio::task::spawn_local(async move {
                    if let Some(stream) = stream {
                        serve_connection(stream, &connection, handler).await;
                    }
                    connections.open.borrow_mut().remove(&serial);
                    connections.ended.notify_one();
                });
            }
            stream = accept(&listener), if accepted.is_none() && stopped_at.is_none_or(|_| !shared) => {
                accepted = Some(stream);
            }
            _ = sweep.tick() => connections.sweep(),
            Ok(_) = stopping.wait_for(|stop| *stop), if stopped_at.is_none() => {
                stopped_at = Some(Instant::now());
                // New connections are still accepted, so that a client whose request arrives just as its
                // connection closes can send it again. Requests that are being received are answered before
                // their connections close. Where other processes accept from the same socket, an open
                // connection closes only after its next answer: closing it now would lose a request that is
                // on its way.
                let not_receiving = |connection: &Rc<ConnectionHandle>| connection.phase.get() != Phase::Receiving && !shared;
                connections.all().into_iter().filter(not_receiving).for_each(|connection| connection.close());
            }
            () = sleep_until(stopped_at.unwrap_or_else(Instant::now) + accept_until), if stopped_at.is_some() => break,
            () = connections.ended.notified(), if stopped_at.is_some() && shared && connections.open.borrow().is_empty() => break,
        }
    }
    drop(listener);
    connections.all().into_iter().for_each(|connection| connection.close());
    let remaining = shutdown_limit.saturating_sub(stopped_at.map_or(Duration::ZERO, |at| at.elapsed()));
    let all_ended = async {
        while !connections.open.borrow().is_empty() {
            tokio::select! {
                () = connections.ended.notified() => {}
                _ = sweep.tick() => connections.sweep(),
            }
        }
    };
    if timeout(remaining, all_ended).await.is_err() {
        warn!("some connections were still open at the shutdown limit");
    }
}

/// Accepts the next connection. Retries after a pause while accepting fails, as it does while file
/// descriptors are short.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                warn!(%error, "could not accept a client's connection; retrying");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<H: RequestHandler>(
    stream: TcpStream,
    connection: &Rc<ConnectionHandle>,
    handler: Rc<H>,
) {
    let service = service_fn(|request| {
        let (handler, connection) = (handler.clone(), connection.clone());
        async move { Ok::<_, Infallible>(respond(request, &*handler, &connection).await) }
    });
    let stream = record_head(stream, connection.head.clone());
    let serving =
        http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let done = loop {
        tokio::select! {
            biased;
            done = serving.as_mut() => break done,
            () = connection.notify.notified() => {
                if connection.aborted.get() {
                    return;
                }
                // hyper finishes the current request before it closes.
                serving.as_mut().graceful_shutdown();
            }
        }
    };
    if let Err(error) = done {
        debug!(%error, "a client's connection ended with an error");
    }
}

async fn respond<H: RequestHandler>(
    request: Request<Incoming>,
    handler: &H,
    connection: &Rc<ConnectionHandle>,
) -> Response<AnswerBody> {
    connection.set_phase(Phase::Receiving);
    connection.body_bytes.set(0);
    connection.waiting_since.set(None);
    // Never reads on after a chunked body: other software may see the body's end elsewhere, and a second
    // request could hide behind it.
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut response = handler.respond(request, connection).await;
    if handler.is_stopping() || chunked {
        response = close_after(response);
    }
    if connection.phase.get() != Phase::Streaming {
        connection.set_phase(Phase::Idle);
    }
    connection.head.begin();
    response
}

/// Closes the connection after this answer. The bytes that follow an invalid request, such as a body of 60
/// MB, are then not read.
pub fn close_after(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A response of the gateway's own with a text body.
pub fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The status and text of the answer to a request that is not accepted.
pub type RequestError = (StatusCode, &'static str);

/// Tells the driver when it is dropped before the request was answered, which happens when the client is
/// gone.
struct ClientWatch<'a> {
    driver: &'a DriverSender,
    id: RequestId,
    answered: bool,
}

impl Drop for ClientWatch<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        if let Err(tokio::sync::mpsc::error::TrySendError::Full(input)) =
            self.driver.try_send(Input::ClientGone(self.id))
        {
            let driver = self.driver.clone();
            tokio::task::spawn_local(async move { driver.send(input).await });
        }
    }
}

/// Reserves a client's id while its request is open. Backends would take a second request with the same id
/// for a copy of the first.
struct OpenCall<'a> {
    calls: &'a RefCell<HashSet<HeaderValue>>,
    call: HeaderValue,
}

impl OpenCall<'_> {
    fn new(calls: &RefCell<HashSet<HeaderValue>>, call: HeaderValue) -> Result<OpenCall<'_>, RequestError> {
        match calls.borrow_mut().insert(call.clone()) {
            true => Ok(OpenCall { calls, call }),
            false => Err((StatusCode::CONFLICT, "X-Call-Id: a request of that name is open\n")),
        }
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.calls.borrow_mut().remove(&self.call);
    }
}

/// How long a request body of this length, or of unknown length, may take to arrive.
fn upload_timeout(length: Option<u64>) -> Duration {
    REQUEST_TIMEOUT
        + Duration::from_millis(
            length.unwrap_or(MAX_STREAMED_BYTES).saturating_mul(1000) / MIN_BODY_BYTES_PER_S,
        )
}

/// A request body: complete if it is short, otherwise its first part and the rest to come.
enum Received {
    Complete(Bytes),
    Streaming(VecDeque<Bytes>, Incoming),
}

async fn receive(mut body: Incoming, connection: &Rc<ConnectionHandle>) -> Result<Received, RequestError> {
    let (mut parts, mut size) = (VecDeque::new(), 0);
    while size <= MAX_BUFFERED_BYTES {
        connection.waiting_for_client(true);
        let Some(frame) = body.frame().await else {
            return Ok(Received::Complete(joined(parts, size)));
        };
        connection.waiting_for_client(false);
        let frame = frame.map_err(|_| (StatusCode::BAD_REQUEST, "the body broke off\n"))?;
        // Trailers apply to this connection only.
        let Ok(bytes) = frame.into_data() else { continue };
        connection.received(bytes.len());
        size += bytes.len();
        parts.push_back(bytes);
    }
    Ok(Received::Streaming(parts, body))
}

/// A request whose head was accepted.
pub struct ValidatedRequest {
    /// The request as the decision module sees it.
    pub arrival: Arrival,
    /// How long the client waits.
    pub budget: Micros,
    /// The headers to send to backends.
    pub headers: HeaderMap,
    /// Which pooled connections the request may use.
    pub reuse: Reuse,
}

impl RequestIntake {
    /// Reads the body, or its first part if it is long, passes the request to the driver, and waits for the
    /// answer. `reserve` is called once the body is there; what it returns is dropped when the request is
    /// answered.
    pub async fn handle<T>(
        &self,
        (method, uri): (Method, Uri),
        body: Incoming,
        request: ValidatedRequest,
        connection: &Rc<ConnectionHandle>,
        reserve: impl FnOnce() -> Result<T, RequestError>,
    ) -> Result<Answer, RequestError> {
        // The memory for the body is reserved before any of it is read if its length is known.
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > MAX_STREAMED_BYTES) {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than 32 MiB\n"));
        }
        let reserved_bytes =
            length.map_or(MAX_BUFFERED_BYTES, |length| length.min(MAX_BUFFERED_BYTES as u64) as usize);
        let Ok(_memory) = self.body_memory.try_acquire_many(reserved_bytes as u32) else {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "no room for the body\n"));
        };
        let received = receive(body, connection).await?;
        let _reserved = reserve()?;
        let mut headers = request.headers;
        strip_hop_by_hop(&mut headers);
        let budget = Duration::from_micros(request.budget.0);
        let (body, single_use, upload_time) = match received {
            Received::Complete(body) => {
                connection.set_phase(Phase::Busy);
                (Payload::Buffered(body), false, Duration::ZERO)
            }
            Received::Streaming(parts, rest) => {
                let completion = Rc::new(UploadCompletion::default());
                let upload = RefCell::new(Some(Upload::new(
                    parts,
                    rest,
                    length,
                    connection.clone(),
                    completion.clone(),
                )));
                (Payload::Streaming { upload, completion, budget }, true, upload_timeout(length))
            }
        };
        // The client's time limit starts at the last byte of its request.
        let deadline = self.clock.now() + Micros(upload_time.as_micros() as u64) + request.budget;
        let id = RequestId(self.last_request_id.replace(self.last_request_id.get() + 1) + 1);
        // Of a URI in absolute form, only path and query go on; the rest names this gateway.
        let uri = uri.path_and_query().cloned().map(Uri::from).unwrap_or(uri);
        let forward = ForwardedRequest { method, uri, headers, body, reuse: request.reuse };
        let (reply, answer) = oneshot::channel();
        let new_request = NewRequest {
            arrival: Arrival { id, deadline, once: single_use, ..request.arrival },
            forward,
            reply,
        };
        let mut client_watch = ClientWatch { driver: &self.driver, id, answered: false };
        let sent = self.driver.send(Input::Request(Box::new(new_request))).await.is_ok();
        let answer = if sent { answer.await.unwrap_or(Answer::Failed) } else { Answer::Failed };
        client_watch.answered = true;
        Ok(answer)
    }
}

/// Sets `Retry-After`, in seconds, if there is a time to wait.
pub fn set_retry_after(headers: &mut HeaderMap, wait: Option<Micros>) {
    let wait = wait.and_then(|w| HeaderValue::from_str(&format!("{:.3}", w.secs())).ok());
    wait.into_iter().for_each(|w| drop(headers.insert(header::RETRY_AFTER, w)));
}

/// Closes the connection after this answer if the request's body was not read to its end.
pub fn close_if_unread(
    response: Response<AnswerBody>,
    connection: &Rc<ConnectionHandle>,
) -> Response<AnswerBody> {
    if connection.phase.get() == Phase::Receiving {
        return close_after(response);
    }
    response
}

/// The body of the client's response, which marks the connection as streaming while it lasts.
pub fn response_body(served: ServedBody, connection: &Rc<ConnectionHandle>) -> AnswerBody {
    match served {
        ServedBody::Buffered(body) => AnswerBody::Left(Full::new(body)),
        ServedBody::Streaming(download) => {
            AnswerBody::Right(StreamingBody::new(download, connection.clone()))
        }
    }
}

async fn handle_api(
    request: Request<Incoming>,
    handler: &PlatformHandler,
    connection: &Rc<ConnectionHandle>,
) -> Result<Response<AnswerBody>, RequestError> {
    let (head, body) = request.into_parts();
    let parsed =
        PlatformRequest::read(&head.method, head.uri.query(), &head.headers, handler, &connection.head)?;
    let (arrival, budget, headers) = (parsed.arrival, parsed.budget, head.headers);
    let request = ValidatedRequest { arrival, budget, headers, reuse: Reuse::Any };
    let reserve = || OpenCall::new(&handler.open_calls, parsed.call);
    let response =
        match handler.intake.handle((head.method, head.uri), body, request, connection, reserve).await? {
            Answer::Served(served, _) => Response::new(response_body(served, connection)),
            Answer::Refused(wait) => {
                let mut response =
                    text_response(StatusCode::TOO_MANY_REQUESTS, "refused\n").map(AnswerBody::Left);
                set_retry_after(response.headers_mut(), wait);
                response
            }
            Answer::Failed => text_response(StatusCode::BAD_GATEWAY, "failed\n").map(AnswerBody::Left),
        };
    Ok(close_if_unread(response, connection))
}

/// What the platform's headers say about a request.
struct PlatformRequest {
    arrival: Arrival,
    /// The client's own id of the request.
    call: HeaderValue,
    budget: Micros,
}

impl PlatformRequest {
    fn read(
        method: &Method,
        query: Option<&str>,
        headers: &HeaderMap,
        handler: &PlatformHandler,
        recorded_head: &RequestHead,
    ) -> Result<PlatformRequest, RequestError> {
        let bad_request = |problem| (StatusCode::BAD_REQUEST, problem);
        if headers.contains_key(header::TRANSFER_ENCODING) && recorded_head.may_have_length() {
            return Err(bad_request("Transfer-Encoding: expected no Content-Length beside it\n"));
        }
        // A header that appears twice could be read differently by other software.
        let repeated = |name: &HeaderName| headers.get_all(name).iter().nth(1).is_some();
        if headers.keys_len() < headers.len()
            && headers.keys().any(|name| SINGLE_HEADERS.contains(&name.as_str()) && repeated(name))
        {
            return Err(bad_request("a header stands twice\n"));
        }
        let text = |name: HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        let header_text = |name| text(HeaderName::from_static(name));
        let classes = handler.classes.borrow();
        let class = header_text("x-call-class").and_then(|class| classes.get(class, method));
        let class = class.ok_or_else(|| bad_request("X-Call-Class: expected a known class\n"))?;
        let plan = header_text("x-plan").and_then(|plan| handler.plans.get(plan));
        let plan = plan.ok_or_else(|| bad_request("X-Plan: expected a known plan\n"))?;
        let customer =
            query.and_then(customer).ok_or_else(|| bad_request("customer: expected 16 hex digits\n"))?;
        let budget = text(BUDGET).and_then(|v| v.parse::<u64>().ok());
        let budget = budget.ok_or_else(|| bad_request("X-Budget-Ms: expected whole milliseconds\n"))?;
        let (units, spread, first) = header_text("x-quota")
            .and_then(|value| quota(value, handler.max_units, handler.gateways))
            .ok_or_else(|| bad_request("X-Quota: expected units, spread and first in their ranges\n"))?;
        let call = headers.get("x-call-id").filter(|id| !id.is_empty()).cloned();
        let call = call.ok_or_else(|| bad_request("X-Call-Id: expected an id\n"))?;
        let keyed = class.effect == Effect::Keyed;
        if !class.matches(method) {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not this class's method\n"));
        }
        if keyed && headers.get("idempotency-key").is_none_or(|key| key.is_empty()) {
            return Err(bad_request("Idempotency-Key: expected a key\n"));
        }
        let arrival = Arrival {
            class: class.id,
            plan: *plan,
            customer,
            spread,
            first,
            units,
            resent: header_text("x-again") == Some("1"),
            ..Arrival::default()
        };
        // The wait is at most the deadline of its class.
        let budget = Micros(budget.saturating_mul(1000)).min(class.deadline);
        Ok(PlatformRequest { arrival, call, budget })
    }
}

fn customer(query: &str) -> Option<CustomerId> {
    let mut values = query.split('&').filter_map(|pair| pair.strip_prefix("customer="));
    let digits = values.next()?;
    let hex = digits.len() == 16 && digits.bytes().all(|b| b.is_ascii_hexdigit()) && values.next().is_none();
    u64::from_str_radix(digits, 16).ok().filter(|id| hex && *id < CUSTOMER_LIMIT).map(CustomerId)
}

/// Parses `X-Quota`: units, spread and first gateway. Values outside the configured ranges are rejected,
/// since anyone can write a customer's name and have them charged to that customer.
fn quota(value: &str, max_units: f64, gateways: u32) -> Option<(f64, u32, u32)> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for part in value.split(',') {
        let unset = match part.trim().split_once('=')? {
            ("units", v) => {
                units.replace(v.parse::<f64>().ok().filter(|u| *u > 0.0 && *u <= max_units)?).is_none()
            }
            ("spread", v) => {
                spread.replace(v.parse::<u32>().ok().filter(|s| (1..=gateways).contains(s))?).is_none()
            }
            ("first", v) => first.replace(v.parse::<u32>().ok().filter(|f| *f < gateways)?).is_none(),
            _ => true,
        };
        unset.then_some(())?;
    }
    Some((units?, spread?, first?))
}
