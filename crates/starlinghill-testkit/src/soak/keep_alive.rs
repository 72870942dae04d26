//! Clients that reuse one connection until the proxy closes it, and the outcome of each of their requests.

use super::Window;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Timeout of a request, after which the client drops its connection. The route's own timeout is 2 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a failed connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

type Connection = SendRequest<Empty<bytes::Bytes>>;

/// A request without an answer: its connection ended, or it timed out.
#[derive(Debug, Clone)]
pub(super) struct Unanswered {
    pub(super) id: String,
    pub(super) edge: usize,
    /// From sending the request until its failure.
    pub(super) during: Window,
    /// The request timed out while its connection stayed open.
    timed_out: bool,
}

/// The outcomes of all requests of these clients.
#[derive(Debug, Default)]
pub(super) struct KeepAliveClients {
    served: Mutex<u64>,
    unanswered: Mutex<Vec<Unanswered>>,
}

impl KeepAliveClients {
    /// Number of requests that were answered with 200.
    pub(super) fn served(&self) -> u64 {
        *self.served.lock().expect("the lock is not poisoned")
    }

    /// Describes the requests that a proxy passed to a backend, or kept open until the timeout, without an
    /// answer, while the proxy itself was not disturbed.
    pub(super) fn lost(
        &self,
        ran: &HashSet<String>,
        is_disturbed: impl Fn(&Unanswered) -> bool,
    ) -> Vec<String> {
        let unanswered = self.unanswered.lock().expect("the lock is not poisoned");
        let lost =
            unanswered.iter().filter(|one| (one.timed_out || ran.contains(&one.id)) && !is_disturbed(one));
        let describe = |one: &Unanswered| {
            let how = if one.timed_out { "kept open" } else { "passed to a backend" };
            format!("{} was {how} by proxy {} and not answered", one.id, one.edge)
        };
        lost.map(describe).collect()
    }

    /// Sends one request after the other to one proxy until `stop` is set, on one connection for as long as it
    /// lasts.
    pub(super) async fn send_requests(
        self: Arc<Self>,
        edge: usize,
        front: SocketAddr,
        pause: Duration,
        stop: Arc<AtomicBool>,
    ) {
        let mut connection: Option<Connection> = None;
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            sleep(pause).await;
            let usable = match connection.take() {
                Some(mut open) => open.ready().await.is_ok().then_some(open),
                None => connect(front).await,
            };
            let Some(mut usable) = usable else {
                sleep(RECONNECT_PAUSE).await;
                continue;
            };
            number += 1;
            let id = format!("kept-{edge}-{number}");
            let sent = Instant::now();
            match timeout(REQUEST_TIMEOUT, get(&mut usable, &id)).await {
                Ok(Ok(status)) => {
                    *self.served.lock().expect("the lock is not poisoned") += u64::from(status == 200);
                    connection = Some(usable);
                }
                ended => {
                    let during = Window { from: sent, to: Instant::now() };
                    let unanswered = Unanswered { id, edge, during, timed_out: ended.is_err() };
                    self.unanswered.lock().expect("the lock is not poisoned").push(unanswered);
                }
            }
        }
    }
}

async fn connect(front: SocketAddr) -> Option<Connection> {
    let stream = timeout(REQUEST_TIMEOUT, TcpStream::connect(front)).await.ok()?.ok()?;
    let (sender, driving) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(driving);
    Some(sender)
}

async fn get(connection: &mut Connection, id: &str) -> Result<u16, hyper::Error> {
    let request = Request::builder()
        .uri("/kept/1")
        .header("host", "a.example")
        .header("attempt-id", id)
        .header("authorization", "Bearer key-2")
        .body(Empty::new())
        .expect("a request");
    let answer = connection.send_request(request).await?;
    let status = answer.status().as_u16();
    answer.into_body().collect().await?;
    Ok(status)
}
