//! Clients: taking their requests, answering them, and `/_health`.

use super::backend::{strip_hop_by_hop, Forward, BUDGET};
use super::driver::{Answer, Clock, Inbox, Input, Taken};
use super::http::MAX_BODY;
use crate::api::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Semaphore};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tracing::{debug, warn};

/// A connection on which no request's head comes for so long is closed.
const LONGEST_IDLE: Duration = Duration::from_secs(120);
/// A body must come within this.
const BODY_TIME: Duration = Duration::from_secs(5);
/// The pause after an accept that failed, which it does at once while descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long after SIGTERM new connections are taken; they go on coming for 0.4 s.
const LAST_CALL: Duration = Duration::from_millis(600);
/// After SIGTERM all must be answered by then; SIGKILL comes 3.7 s on at the earliest.
const LAST_ANSWER: Duration = Duration::from_millis(3500);

/// What all connections of clients share.
pub struct Front {
    /// The way to the driver.
    pub inbox: Inbox,
    /// The module's clock.
    pub clock: Clock,
    /// The list of backends is in hand.
    pub ready: Rc<Cell<bool>>,
    /// The names of classes, with what they may do and the longest wait.
    pub classes: HashMap<String, (ClassId, Effect, Micros)>,
    /// The names of plans.
    pub plans: HashMap<String, PlanId>,
    /// The number of the last request.
    pub last: Cell<u64>,
    /// Set by SIGTERM.
    pub stopping: watch::Receiver<bool>,
}

impl Front {
    fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
}

/// Which idle connections are to be closed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Closing {
    None,
    /// Those from before SIGTERM. New ones are still taken, so a client whose request crosses the closing
    /// comes back on one of them.
    Old,
    /// All: the last call is over.
    All,
}

/// Takes clients until SIGTERM, answers what was taken, and returns.
pub async fn serve(listener: TcpListener, front: Rc<Front>, connections: usize) {
    let places = Arc::new(Semaphore::new(connections));
    let mut stopping = front.stopping.clone();
    let mut last_call: Option<Instant> = None;
    let (close, closing) = watch::channel(Closing::None);
    loop {
        tokio::select! {
            biased;
            // The semaphore is never closed.
            Ok((stream, place)) = accept(&listener, &places) => {
                let (front, closing) = (front.clone(), closing.clone());
                tokio::task::spawn_local(async move {
                    connection(stream, front, closing).await;
                    drop(place);
                });
            }
            Ok(_) = stopping.wait_for(|stop| *stop), if last_call.is_none() => {
                last_call = Some(Instant::now());
                close.send_replace(Closing::Old);
            }
            () = sleep_until(last_call.unwrap_or_else(Instant::now) + LAST_CALL), if last_call.is_some() => break,
        }
    }
    drop(listener);
    close.send_replace(Closing::All);
    let left = LAST_ANSWER.saturating_sub(last_call.map_or(Duration::ZERO, |at| at.elapsed()));
    let all = u32::try_from(connections).unwrap_or(u32::MAX);
    if timeout(left, places.acquire_many(all)).await.is_err() {
        warn!("some connections were still open at the end");
    }
}

/// Guards the limit on descriptors: accepts only with a place free, and waits where accepting fails.
async fn accept(
    listener: &TcpListener,
    places: &Arc<Semaphore>,
) -> Result<(TcpStream, tokio::sync::OwnedSemaphorePermit), tokio::sync::AcquireError> {
    let place = places.clone().acquire_owned().await?;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return Ok((stream, place)),
            Err(error) => {
                warn!(%error, "accept failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, front: Rc<Front>, mut closing: watch::Receiver<Closing>) {
    let since = *closing.borrow();
    if let Err(error) = stream.set_nodelay(true) {
        debug!(%error, "a client went at once");
        return;
    }
    let service = service_fn(|request| {
        let front = front.clone();
        async move { Ok::<_, Infallible>(respond(request, &front).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(LONGEST_IDLE)
        .max_buf_size(2 * MAX_BODY)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let done = tokio::select! {
        biased;
        done = connection.as_mut() => done,
        // It carries on with what it is at.
        _ = closing.wait_for(|closing| *closing > since) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = done {
        debug!(%error, "a client's connection ended");
    }
}

async fn respond(request: Request<Incoming>, front: &Front) -> Response<Full<Bytes>> {
    let mut response = match request.uri().path() {
        "/_health" => match front.ready.get() && !front.is_stopping() {
            true => plain(StatusCode::OK, "ready\n"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        "/api" => match take(request, front).await {
            Ok(answer) => answer,
            Err((status, problem)) => plain(status, problem),
        },
        _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
    };
    if front.is_stopping() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

type Malformed = (StatusCode, &'static str);

/// Tells the driver that the client is gone, unless it was answered.
struct Watch<'a> {
    inbox: &'a Inbox,
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

async fn take(request: Request<Incoming>, front: &Front) -> Result<Response<Full<Bytes>>, Malformed> {
    let (head, body) = request.into_parts();
    let asked = Asked::read(&head.method, head.uri.query(), &head.headers, front)?;
    let body = timeout(BODY_TIME, Limited::new(body, MAX_BODY).collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than 64 KiB\n"))
        }
        Ok(Err(_)) => return Err((StatusCode::BAD_REQUEST, "the body broke off\n")),
        Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n")),
    };
    // The request's time runs from its last byte.
    let deadline = front.clock.now() + asked.budget;
    let id = RequestId(front.last.replace(front.last.get() + 1) + 1);
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    let forward = Forward { method: head.method, uri: head.uri, headers, body };
    let (reply, answer) = oneshot::channel();
    let taken = Taken { arrival: Arrival { id, deadline, ..asked.arrival }, forward, reply };
    let mut watch = Watch { inbox: &front.inbox, id, answered: false };
    let told = front.inbox.send(Input::Taken(Box::new(taken))).await.is_ok();
    let answer = if told { answer.await.unwrap_or(Answer::Failed) } else { Answer::Failed };
    watch.answered = true;
    Ok(match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Refused(wait) => {
            let mut response = plain(StatusCode::TOO_MANY_REQUESTS, "refused\n");
            let wait = wait.and_then(|w| HeaderValue::from_str(&format!("{:.3}", w.secs())).ok());
            wait.into_iter().for_each(|w| drop(response.headers_mut().insert(header::RETRY_AFTER, w)));
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n"),
    })
}

/// What a request's head says of it.
struct Asked {
    arrival: Arrival,
    budget: Micros,
}

impl Asked {
    fn read(
        method: &Method,
        query: Option<&str>,
        headers: &HeaderMap,
        front: &Front,
    ) -> Result<Asked, Malformed> {
        let bad = |problem| (StatusCode::BAD_REQUEST, problem);
        let text = |name: HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        let named = |name| text(HeaderName::from_static(name));
        let (class, effect, longest) = named("x-call-class")
            .and_then(|class| front.classes.get(class))
            .ok_or_else(|| bad("X-Call-Class: expected a known class\n"))?;
        let plan = named("x-plan").and_then(|plan| front.plans.get(plan));
        let plan = plan.ok_or_else(|| bad("X-Plan: expected a known plan\n"))?;
        let customer = query.and_then(customer).ok_or_else(|| bad("customer: expected 16 hex digits\n"))?;
        let budget = text(BUDGET).and_then(|v| v.parse::<u64>().ok());
        let budget = budget.ok_or_else(|| bad("X-Budget-Ms: expected whole milliseconds\n"))?;
        let (units, spread) = named("x-quota")
            .and_then(quota)
            .ok_or_else(|| bad("X-Quota: expected units, spread and first\n"))?;
        if headers.get("x-call-id").is_none_or(|id| id.is_empty()) {
            return Err(bad("X-Call-Id: expected an id\n"));
        }
        let (wanted, keyed) = match effect {
            Effect::Safe => (Method::GET, false),
            Effect::Keyed => (Method::POST, true),
            Effect::Unsafe => (Method::POST, false),
        };
        if *method != wanted {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not this class's method\n"));
        }
        if keyed && headers.get("idempotency-key").is_none_or(|key| key.is_empty()) {
            return Err(bad("Idempotency-Key: expected a key\n"));
        }
        let arrival = Arrival {
            class: *class,
            plan: *plan,
            customer,
            spread,
            units,
            resent: named("x-again") == Some("1"),
            ..Arrival::default()
        };
        // No client waits longer than its class says.
        let budget = Micros(budget.saturating_mul(1000)).min(*longest);
        Ok(Asked { arrival, budget })
    }
}

fn customer(query: &str) -> Option<CustomerId> {
    let digits = query.split('&').find_map(|pair| pair.strip_prefix("customer="))?;
    let hex = digits.len() == 16 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(digits, 16).ok().filter(|_| hex).map(CustomerId)
}

/// Units and spread.
fn quota(value: &str) -> Option<(f64, u32)> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for part in value.split(',') {
        match part.trim().split_once('=')? {
            ("units", v) => units = v.parse::<f64>().ok().filter(|u| u.is_finite() && *u >= 0.0),
            ("spread", v) => spread = v.parse::<u32>().ok().filter(|s| *s > 0),
            ("first", v) => first = v.parse::<u32>().ok(),
            _ => {}
        }
    }
    first.and(units).zip(spread)
}
