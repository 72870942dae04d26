//! The operators' door: whether this process can serve, and backends taken out and called back.

use crate::inbox::{DriverSender, Input, Ordered};
use crate::server::text_response;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use tracing::{debug, info, warn};

/// The most callers at once. One more takes the place of the one that came first: usual ones are done in a moment.
const PLACES: usize = 16;
/// A call that has not come whole and been answered by then is given up.
const CALL_TIME: Duration = Duration::from_secs(3);
/// The longest body of a call: an id.
const MAX_BODY: usize = 1024;
/// The pause after an accept that failed.
const PAUSE: Duration = Duration::from_millis(20);

/// What a call at the door needs.
pub struct Door {
    /// The way to the driver.
    pub inbox: DriverSender,
    /// The list of backends is in hand.
    pub ready: watch::Receiver<bool>,
    /// Set by SIGTERM.
    pub stopping: watch::Receiver<bool>,
}

/// Answers callers for ever.
pub async fn serve(listener: TcpListener, door: Rc<Door>) {
    // Those that came first in front; the handles of those that ended go when they are looked at.
    let callers: RefCell<VecDeque<AbortHandle>> = RefCell::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let mut callers = callers.borrow_mut();
                callers.retain(|caller| !caller.is_finished());
                // Guards the door against callers who connect and say nothing.
                if callers.len() >= PLACES {
                    callers.pop_front().into_iter().for_each(|first| first.abort());
                }
                callers.push_back(tokio::task::spawn_local(call(stream, door.clone())).abort_handle());
            }
            Err(error) => {
                warn!(%error, "accept failed at the operators' door");
                sleep(PAUSE).await;
            }
        }
    }
}

async fn call(stream: TcpStream, door: Rc<Door>) {
    let service = service_fn(|request| {
        let door = door.clone();
        async move { Ok::<_, Infallible>(answer(request, &door).await) }
    });
    let serving = http1::Builder::new().keep_alive(false).serve_connection(TokioIo::new(stream), service);
    match timeout(CALL_TIME, serving).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!(%error, "a call at the door ended"),
        Err(_) => debug!("a call at the door took too long"),
    }
}

async fn answer(request: Request<Incoming>, door: &Door) -> Response<Full<Bytes>> {
    let out = match (request.method(), request.uri().path()) {
        (&Method::GET, "/status") => {
            return match *door.ready.borrow() && !*door.stopping.borrow() {
                true => text_response(StatusCode::OK, "ready\n"),
                false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            }
        }
        (&Method::POST, "/maintenance/enter") => true,
        (&Method::POST, "/maintenance/exit") => false,
        (_, "/status" | "/maintenance/enter" | "/maintenance/exit") => {
            return text_response(StatusCode::METHOD_NOT_ALLOWED, "expected GET /status or POST\n")
        }
        _ => {
            return text_response(
                StatusCode::NOT_FOUND,
                "expected /status, /maintenance/enter or /maintenance/exit\n",
            )
        }
    };
    let Ok(body) = Limited::new(request.into_body(), MAX_BODY).collect().await else {
        return text_response(StatusCode::BAD_REQUEST, "body: expected the id of a backend\n");
    };
    let body = body.to_bytes();
    let Some(id) = std::str::from_utf8(&body).ok().map(str::trim).filter(|id| !id.is_empty()) else {
        return text_response(StatusCode::BAD_REQUEST, "body: expected the id of a backend\n");
    };
    let (reply, ordered) = oneshot::channel();
    let told = door.inbox.send(Input::Order { id: id.to_string(), out, reply }).await.is_ok();
    let ordered = if told { ordered.await.ok() } else { None };
    info!(id, out, ?ordered, "ordered");
    match ordered {
        Some(Ordered::Done) => text_response(StatusCode::OK, if out { "out\n" } else { "back\n" }),
        Some(Ordered::Unknown) => text_response(StatusCode::NOT_FOUND, "no backend of that id\n"),
        Some(Ordered::NotReady) | None => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        Some(Ordered::NotKept(why)) => {
            let mut response = text_response(StatusCode::INSUFFICIENT_STORAGE, "");
            *response.body_mut() = Full::new(Bytes::from(format!("not kept, so not in force: {why}\n")));
            response
        }
    }
}
