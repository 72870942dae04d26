//! The operators' HTTP port: reports whether this process serves, and takes backends out of service and puts
//! them back.

use crate::inbox::{DriverSender, Input, MaintenanceResult};
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

/// The most calls at once. A further one replaces the oldest, as normal calls end in a moment.
const MAX_CALLS: usize = 16;
/// Time limit for receiving and answering a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest body of a call, in bytes. It holds the id of a backend.
const MAX_BODY_BYTES: usize = 1024;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What calls need access to.
pub struct OperatorApi {
    /// Sends orders to the driver.
    pub driver: DriverSender,
    /// True once there is a list of backends.
    pub ready: watch::Receiver<bool>,
    /// Becomes true at SIGTERM.
    pub stopping: watch::Receiver<bool>,
}

/// Serves calls forever.
pub async fn serve(listener: TcpListener, api: Rc<OperatorApi>) {
    // The calls in progress, oldest first.
    let calls: RefCell<VecDeque<AbortHandle>> = RefCell::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let mut calls = calls.borrow_mut();
                calls.retain(|call| !call.is_finished());
                // Callers that connect and send nothing must not keep others out.
                if calls.len() >= MAX_CALLS {
                    calls.pop_front().into_iter().for_each(|oldest| oldest.abort());
                }
                calls.push_back(tokio::task::spawn_local(serve_call(stream, api.clone())).abort_handle());
            }
            Err(error) => {
                warn!(%error, "could not accept an operator's connection; retrying");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_call(stream: TcpStream, api: Rc<OperatorApi>) {
    let service = service_fn(|request| {
        let api = api.clone();
        async move { Ok::<_, Infallible>(answer(request, &api).await) }
    });
    let serving = http1::Builder::new().keep_alive(false).serve_connection(TokioIo::new(stream), service);
    match timeout(CALL_TIMEOUT, serving).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!(%error, "an operator's call ended with an error"),
        Err(_) => debug!("an operator's call exceeded its time limit"),
    }
}

async fn answer(request: Request<Incoming>, api: &OperatorApi) -> Response<Full<Bytes>> {
    let out = match (request.method(), request.uri().path()) {
        (&Method::GET, "/status") => {
            return match *api.ready.borrow() && !*api.stopping.borrow() {
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
    let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await else {
        return text_response(StatusCode::BAD_REQUEST, "body: expected the id of a backend\n");
    };
    let body = body.to_bytes();
    let Some(id) = std::str::from_utf8(&body).ok().map(str::trim).filter(|id| !id.is_empty()) else {
        return text_response(StatusCode::BAD_REQUEST, "body: expected the id of a backend\n");
    };
    let (reply, ordered) = oneshot::channel();
    let sent = api.driver.send(Input::Maintenance { id: id.to_string(), out, reply }).await.is_ok();
    let ordered = if sent { ordered.await.ok() } else { None };
    info!(id, out, ?ordered, "ordered");
    match ordered {
        Some(MaintenanceResult::Done) => text_response(StatusCode::OK, if out { "out\n" } else { "back\n" }),
        Some(MaintenanceResult::Unknown) => text_response(StatusCode::NOT_FOUND, "no backend of that id\n"),
        Some(MaintenanceResult::NotReady) | None => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
        Some(MaintenanceResult::NotKept(reason)) => {
            let mut response = text_response(StatusCode::INSUFFICIENT_STORAGE, "");
            *response.body_mut() = Full::new(Bytes::from(format!("not kept, so not in force: {reason}\n")));
            response
        }
    }
}
