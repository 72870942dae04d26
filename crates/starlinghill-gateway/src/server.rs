//! Clients: taking their requests, answering them, and `/_health`.

use crate::answer::{AnswerBody, Passing};
use crate::backend::{joined, strip_hop_by_hop};
use crate::backend_protocol::BUDGET;
use crate::class_names::Names;
use crate::connections::{ConnectionHandle, Lines, Phase, ACCEPT_PAUSE, BODY_RATE, RECEIVE_TIME};
use crate::forward::{Forward, Payload, Served};
use crate::idle::Reuse;
use crate::inbox::{Answer, Clock, DriverSender, Input, Taken};
use crate::request_head::{seen, Head};
use crate::upload::{Follower, Upload, Whole, MAX_BODY, MAX_PASSING};
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

/// How often connections are looked at for these limits.
const SWEEP_EVERY: Duration = Duration::from_millis(250);
/// The longest head. Guards memory against heads without end.
const MAX_HEAD: usize = 16 * 1024;
/// Customers have numbers below this.
const CUSTOMERS: u64 = 1 << 33;
/// Headers that a request has once.
const ONCE: [&str; 9] = [
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
/// How long after SIGTERM new connections are taken; they go on coming for 0.4 s.
const LAST_CALL: Duration = Duration::from_millis(600);
/// Where other processes accept, a connection that was not used since SIGTERM is closed so long before the end.
const LAST_USE: Duration = Duration::from_millis(800);

/// Who answers clients: what differs between the platform's protocol and that of the whole system.
pub trait RequestHandler {
    /// Answers one request.
    fn respond(
        &self,
        request: Request<Incoming>,
        line: &Rc<ConnectionHandle>,
    ) -> impl Future<Output = Response<AnswerBody>>;
    /// Set by SIGTERM.
    fn stopping(&self) -> watch::Receiver<bool>;
    /// It is set.
    fn is_stopping(&self) -> bool;
    /// Other processes accept from the same socket.
    fn is_shared(&self) -> bool;
    /// So long after SIGTERM new connections are taken, where no other process does.
    fn accept_grace(&self) -> Duration;
    /// So long after SIGTERM all must be answered.
    fn shutdown_limit(&self) -> Duration;
}

/// What takes a request from its head to its answer.
pub struct RequestIntake {
    /// The way to the driver.
    pub driver: DriverSender,
    /// The module's clock.
    pub clock: Clock,
    /// Room for bodies, in bytes.
    pub body_memory: Semaphore,
    /// The number of the last request.
    pub last_request_id: Cell<u64>,
}

/// What all connections of the platform's clients share.
pub struct Front {
    /// What takes their requests.
    pub intake: RequestIntake,
    /// The list of backends is in hand.
    pub ready: watch::Receiver<bool>,
    /// The names of classes.
    pub names: RefCell<Names>,
    /// The names of plans.
    pub plans: HashMap<String, PlanId>,
    /// The most units that a request may take.
    pub most_units: f64,
    /// How many gateways there are.
    pub gateways: u32,
    /// What the clients call the requests that are open here.
    pub open: RefCell<HashSet<HeaderValue>>,
    /// Set by SIGTERM.
    pub stopping: watch::Receiver<bool>,
    /// Other processes accept from the same socket.
    pub shared: bool,
}

impl RequestHandler for Front {
    async fn respond(&self, request: Request<Incoming>, line: &Rc<ConnectionHandle>) -> Response<AnswerBody> {
        match request.uri().path() {
            "/_health" => match *self.ready.borrow() && !self.is_stopping() {
                true => text_response(StatusCode::OK, "ready\n").map(AnswerBody::Left),
                false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n").map(AnswerBody::Left),
            },
            "/api" => match take(request, self, line).await {
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
        LAST_CALL
    }
    fn shutdown_limit(&self) -> Duration {
        self.names.borrow().shutdown_limit()
    }
}

/// Takes clients until SIGTERM, answers what was taken, and returns.
pub async fn serve<D: RequestHandler + 'static>(listener: TcpListener, front: Rc<D>, connections: usize) {
    let lines = Rc::new(Lines { open: RefCell::default(), most: connections, ended: Notify::new() });
    let (mut stopping, shared) = (front.stopping(), front.is_shared());
    let mut accept_grace: Option<Instant> = None;
    let mut sweep = interval(SWEEP_EVERY);
    let mut waiting = None;
    let mut serial = 0;
    let shutdown_limit = front.shutdown_limit();
    let last_use = if shared { shutdown_limit.saturating_sub(LAST_USE) } else { front.accept_grace() };
    loop {
        tokio::select! {
            biased;
            // Guards the limit on descriptors: one at a time is accepted and then waits for its place.
            () = lines.place(), if waiting.is_some() => {
                let line = Rc::new(ConnectionHandle::new());
                serial += 1;
                lines.open.borrow_mut().insert(serial, line.clone());
                let (stream, front, lines) = (waiting.take(), front.clone(), lines.clone());
                tokio::task::spawn_local(async move {
                    if let Some(stream) = stream {
                        connection(stream, &line, front).await;
                    }
                    lines.open.borrow_mut().remove(&serial);
                    lines.ended.notify_one();
                });
            }
            stream = accept(&listener), if waiting.is_none() && accept_grace.is_none_or(|_| !shared) => {
                waiting = Some(stream);
            }
            _ = sweep.tick() => lines.sweep(),
            Ok(_) = stopping.wait_for(|stop| *stop), if accept_grace.is_none() => {
                accept_grace = Some(Instant::now());
                // New connections are still taken, so a client whose request crosses the closing comes back
                // on one of them. What is being received is answered and then closed.
                // Where other processes accept, each ends with the next answer on it instead: guards against a request
                // that crosses the closing, which then nobody reads.
                let past = |line: &Rc<ConnectionHandle>| line.phase.get() != Phase::Receiving && !shared;
                lines.all().into_iter().filter(past).for_each(|line| line.close());
            }
            () = sleep_until(accept_grace.unwrap_or_else(Instant::now) + last_use), if accept_grace.is_some() => break,
            () = lines.ended.notified(), if accept_grace.is_some() && shared && lines.open.borrow().is_empty() => break,
        }
    }
    drop(listener);
    lines.all().into_iter().for_each(|line| line.close());
    let left = shutdown_limit.saturating_sub(accept_grace.map_or(Duration::ZERO, |at| at.elapsed()));
    let all_ended = async {
        while !lines.open.borrow().is_empty() {
            tokio::select! {
                () = lines.ended.notified() => {}
                _ = sweep.tick() => lines.sweep(),
            }
        }
    };
    if timeout(left, all_ended).await.is_err() {
        warn!("some connections were still open at the end");
    }
}

/// The next connection; waits where accepting fails, as it does while descriptors are short.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                warn!(%error, "accept failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection to its end.
async fn connection<D: RequestHandler>(stream: TcpStream, line: &Rc<ConnectionHandle>, front: Rc<D>) {
    let service = service_fn(|request| {
        let (front, line) = (front.clone(), line.clone());
        async move { Ok::<_, Infallible>(respond(request, &*front, &line).await) }
    });
    let seen = seen(stream, line.head.clone());
    let connection =
        http1::Builder::new().max_buf_size(MAX_HEAD).serve_connection(TokioIo::new(seen), service);
    let mut connection = std::pin::pin!(connection);
    let done = loop {
        tokio::select! {
            biased;
            done = connection.as_mut() => break done,
            () = line.told.notified() => {
                if line.cut.get() {
                    return;
                }
                // It carries on with what it is at.
                connection.as_mut().graceful_shutdown();
            }
        }
    };
    if let Err(error) = done {
        debug!(%error, "a client's connection ended");
    }
}

async fn respond<D: RequestHandler>(
    request: Request<Incoming>,
    front: &D,
    line: &Rc<ConnectionHandle>,
) -> Response<AnswerBody> {
    line.turn(Phase::Receiving);
    line.came.set(0);
    line.waits_since.set(None);
    // Guards against what stands behind a body of which there may be two readings.
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut response = front.respond(request, line).await;
    if front.is_stopping() || chunked {
        response = close_after(response);
    }
    if line.phase.get() != Phase::Passing {
        line.turn(Phase::Idle);
    }
    line.head.begin();
    response
}

/// Ends the connection with this answer. Guards against what follows a request that can't be believed, such as
/// a body of 60 MB, which then is not read.
pub fn close_after(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A short answer of our own.
pub fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Why a request is not taken.
pub type RequestError = (StatusCode, &'static str);

/// Tells the driver that the client is gone, unless it was answered.
struct Watch<'a> {
    inbox: &'a DriverSender,
    id: RequestId,
    answered: bool,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        if let Err(tokio::sync::mpsc::error::TrySendError::Full(input)) =
            self.inbox.try_send(Input::Gone(self.id))
        {
            let inbox = self.inbox.clone();
            tokio::task::spawn_local(async move { inbox.send(input).await });
        }
    }
}

/// A client's name for a request that is open. Guards against two requests of one name at the backends, which
/// take the second for a copy of the first.
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

/// The longest that a body of this length, or of any, may take to come.
fn longest_upload(length: Option<u64>) -> Duration {
    RECEIVE_TIME + Duration::from_millis(length.unwrap_or(MAX_PASSING).saturating_mul(1000) / BODY_RATE)
}

/// A client's body: whole where it is short, else its first part, with the rest to come.
enum Received {
    Whole(Bytes),
    Passing(VecDeque<Bytes>, Incoming),
}

async fn receive(mut body: Incoming, line: &Rc<ConnectionHandle>) -> Result<Received, RequestError> {
    let (mut held, mut size) = (VecDeque::new(), 0);
    while size <= MAX_BODY {
        line.waits(true);
        let Some(frame) = body.frame().await else {
            return Ok(Received::Whole(joined(held, size)));
        };
        line.waits(false);
        let frame = frame.map_err(|_| (StatusCode::BAD_REQUEST, "the body broke off\n"))?;
        // Trailers hold for this connection alone.
        let Ok(bytes) = frame.into_data() else { continue };
        line.came(bytes.len());
        size += bytes.len();
        held.push_back(bytes);
    }
    Ok(Received::Passing(held, body))
}

/// What a request's head has come to.
pub struct ValidatedRequest {
    /// What the module is told of it.
    pub arrival: Arrival,
    /// How long the client waits.
    pub budget: Micros,
    /// Its headers, as they go on.
    pub headers: HeaderMap,
    /// Which kept connections it may go out on.
    pub reuse: Reuse,
}

impl RequestIntake {
    /// Reads a body to its end, or its first part, and has the request decided and made. `read` is called once the body is
    /// there: what it returns lives as long as the request.
    pub async fn take<T>(
        &self,
        (method, uri): (Method, Uri),
        body: Incoming,
        wanted: ValidatedRequest,
        line: &Rc<ConnectionHandle>,
        read: impl FnOnce() -> Result<T, RequestError>,
    ) -> Result<Answer, RequestError> {
        // Guards memory: where its length is known, that is before any of it is read.
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > MAX_PASSING) {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than 32 MiB\n"));
        }
        let most = length.map_or(MAX_BODY, |length| length.min(MAX_BODY as u64) as usize);
        let Ok(_room) = self.body_memory.try_acquire_many(most as u32) else {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "no room for the body\n"));
        };
        let received = receive(body, line).await?;
        let _open = read()?;
        let mut headers = wanted.headers;
        strip_hop_by_hop(&mut headers);
        let budget = Duration::from_micros(wanted.budget.0);
        let (body, once, upload) = match received {
            Received::Whole(body) => {
                line.turn(Phase::Busy);
                (Payload::Whole(body), false, Duration::ZERO)
            }
            Received::Passing(held, rest) => {
                let whole = Rc::new(Whole::default());
                let upload = RefCell::new(Some(Upload::new(held, rest, length, line.clone(), whole.clone())));
                (Payload::Passing { upload, whole, budget }, true, longest_upload(length))
            }
        };
        // The request's time runs from its last byte.
        let deadline = self.clock.now() + Micros(upload.as_micros() as u64) + wanted.budget;
        let id = RequestId(self.last_request_id.replace(self.last_request_id.get() + 1) + 1);
        // Only path and query are the request's own; the rest of an absolute form names this gateway.
        let uri = uri.path_and_query().cloned().map(Uri::from).unwrap_or(uri);
        let forward = Forward { method, uri, headers, body, reuse: wanted.reuse };
        let (reply, answer) = oneshot::channel();
        let taken = Taken { arrival: Arrival { id, deadline, once, ..wanted.arrival }, forward, reply };
        let mut watch = Watch { inbox: &self.driver, id, answered: false };
        let told = self.driver.send(Input::Taken(Box::new(taken))).await.is_ok();
        let answer = if told { answer.await.unwrap_or(Answer::Failed) } else { Answer::Failed };
        watch.answered = true;
        Ok(answer)
    }
}

/// Says when to come back.
pub fn set_retry_after(headers: &mut HeaderMap, wait: Option<Micros>) {
    let wait = wait.and_then(|w| HeaderValue::from_str(&format!("{:.3}", w.secs())).ok());
    wait.into_iter().for_each(|w| drop(headers.insert(header::RETRY_AFTER, w)));
}

/// Answered before its body was read to the end: what still comes of it is nobody's.
pub fn close_if_unread(response: Response<AnswerBody>, line: &Rc<ConnectionHandle>) -> Response<AnswerBody> {
    if line.phase.get() == Phase::Receiving {
        return close_after(response);
    }
    response
}

/// The body that a client gets.
pub fn response_body(served: Served, line: &Rc<ConnectionHandle>) -> AnswerBody {
    match served {
        Served::Whole(body) => AnswerBody::Left(Full::new(body)),
        Served::Passing(download) => AnswerBody::Right(Passing::new(download, line.clone())),
    }
}

async fn take(
    request: Request<Incoming>,
    front: &Front,
    line: &Rc<ConnectionHandle>,
) -> Result<Response<AnswerBody>, RequestError> {
    let (head, body) = request.into_parts();
    let asked = Asked::read(&head.method, head.uri.query(), &head.headers, front, &line.head)?;
    let (arrival, budget, headers) = (asked.arrival, asked.budget, head.headers);
    let wanted = ValidatedRequest { arrival, budget, headers, reuse: Reuse::Any };
    let open = || OpenCall::new(&front.open, asked.call);
    let response = match front.intake.take((head.method, head.uri), body, wanted, line, open).await? {
        Answer::Served(served, _) => Response::new(response_body(served, line)),
        Answer::Refused(wait) => {
            let mut response =
                text_response(StatusCode::TOO_MANY_REQUESTS, "refused\n").map(AnswerBody::Left);
            set_retry_after(response.headers_mut(), wait);
            response
        }
        Answer::Failed => text_response(StatusCode::BAD_GATEWAY, "failed\n").map(AnswerBody::Left),
    };
    Ok(close_if_unread(response, line))
}

/// What a request's head says of it.
struct Asked {
    arrival: Arrival,
    /// What the client calls it.
    call: HeaderValue,
    budget: Micros,
}

impl Asked {
    fn read(
        method: &Method,
        query: Option<&str>,
        headers: &HeaderMap,
        front: &Front,
        seen: &Head,
    ) -> Result<Asked, RequestError> {
        let bad = |problem| (StatusCode::BAD_REQUEST, problem);
        if headers.contains_key(header::TRANSFER_ENCODING) && seen.may_have_length() {
            return Err(bad("Transfer-Encoding: expected no Content-Length beside it\n"));
        }
        // Guards against two readings of one request: which of two values counts, nobody says.
        let twice = |name: &HeaderName| headers.get_all(name).iter().nth(1).is_some();
        if headers.keys_len() < headers.len()
            && headers.keys().any(|name| ONCE.contains(&name.as_str()) && twice(name))
        {
            return Err(bad("a header stands twice\n"));
        }
        let text = |name: HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        let named = |name| text(HeaderName::from_static(name));
        let names = front.names.borrow();
        let class = named("x-call-class").and_then(|class| names.get(class, method));
        let class = class.ok_or_else(|| bad("X-Call-Class: expected a known class\n"))?;
        let plan = named("x-plan").and_then(|plan| front.plans.get(plan));
        let plan = plan.ok_or_else(|| bad("X-Plan: expected a known plan\n"))?;
        let customer = query.and_then(customer).ok_or_else(|| bad("customer: expected 16 hex digits\n"))?;
        let budget = text(BUDGET).and_then(|v| v.parse::<u64>().ok());
        let budget = budget.ok_or_else(|| bad("X-Budget-Ms: expected whole milliseconds\n"))?;
        let (units, spread, first) = named("x-quota")
            .and_then(|value| quota(value, front.most_units, front.gateways))
            .ok_or_else(|| bad("X-Quota: expected units, spread and first in their ranges\n"))?;
        let call = headers.get("x-call-id").filter(|id| !id.is_empty()).cloned();
        let call = call.ok_or_else(|| bad("X-Call-Id: expected an id\n"))?;
        let keyed = class.effect == Effect::Keyed;
        if !class.fits(method) {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not this class's method\n"));
        }
        if keyed && headers.get("idempotency-key").is_none_or(|key| key.is_empty()) {
            return Err(bad("Idempotency-Key: expected a key\n"));
        }
        let arrival = Arrival {
            class: class.id,
            plan: *plan,
            customer,
            spread,
            first,
            units,
            resent: named("x-again") == Some("1"),
            ..Arrival::default()
        };
        // No client waits longer than its class says.
        let budget = Micros(budget.saturating_mul(1000)).min(class.deadline);
        Ok(Asked { arrival, call, budget })
    }
}

fn customer(query: &str) -> Option<CustomerId> {
    let mut named = query.split('&').filter_map(|pair| pair.strip_prefix("customer="));
    let digits = named.next()?;
    let hex = digits.len() == 16 && digits.bytes().all(|b| b.is_ascii_hexdigit()) && named.next().is_none();
    u64::from_str_radix(digits, 16).ok().filter(|id| hex && *id < CUSTOMERS).map(CustomerId)
}

/// Units, spread and first. Guards against what no class asks for and no tier has, which would be charged to a
/// customer by whoever writes its name.
fn quota(value: &str, most_units: f64, gateways: u32) -> Option<(f64, u32, u32)> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for part in value.split(',') {
        let unset = match part.trim().split_once('=')? {
            ("units", v) => {
                units.replace(v.parse::<f64>().ok().filter(|u| *u > 0.0 && *u <= most_units)?).is_none()
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
