//! Clients that hold on to their connection until the proxy's end of it is gone, and what became of each request.

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

/// A client gives up on a request after this, and on its connection with it: its route has 2 s.
const PATIENCE: Duration = Duration::from_secs(3);
/// The pause after a connection that could not be made.
const PAUSE: Duration = Duration::from_millis(50);

type Connection = SendRequest<Empty<bytes::Bytes>>;

/// A request without an answer: its connection ended, or its client waited in vain.
#[derive(Debug, Clone)]
pub(super) struct Unanswered {
    /// Its try's id.
    pub(super) id: String,
    /// At which proxy.
    pub(super) edge: usize,
    /// From its sending until then.
    pub(super) during: Window,
    /// The connection stands, and nothing came for far longer than the route allows.
    held: bool,
}

/// Fault such clients saw.
#[derive(Debug, Default)]
pub(super) struct Kept {
    answered: Mutex<u64>,
    unanswered: Mutex<Vec<Unanswered>>,
}

impl Kept {
    /// How many requests were served.
    pub(super) fn served(&self) -> u64 {
        *self.answered.lock().expect("whole")
    }

    /// Requests that a proxy which was not disturbed at the time passed on or held, and did not answer.
    pub(super) fn lost(
        &self,
        ran: &HashSet<String>,
        is_disturbed: impl Fn(&Unanswered) -> bool,
    ) -> Vec<String> {
        let unanswered = self.unanswered.lock().expect("whole");
        let lost = unanswered.iter().filter(|one| (one.held || ran.contains(&one.id)) && !is_disturbed(one));
        let told = |one: &Unanswered| {
            let how = if one.held { "held" } else { "passed on" };
            format!("{} was {how} by proxy {} and not answered", one.id, one.edge)
        };
        lost.map(told).collect()
    }

    /// Asks at one proxy, one request after the other, on one connection for as long as it lasts.
    pub(super) async fn ask(
        self: Arc<Self>,
        edge: usize,
        front: SocketAddr,
        pause: Duration,
        over: Arc<AtomicBool>,
    ) {
        let mut connection: Option<Connection> = None;
        let mut number = 0;
        while !over.load(Ordering::Relaxed) {
            sleep(pause).await;
            let usable = match connection.take() {
                Some(mut kept) => kept.ready().await.is_ok().then_some(kept),
                None => connect(front).await,
            };
            let Some(mut usable) = usable else {
                sleep(PAUSE).await;
                continue;
            };
            number += 1;
            let id = format!("kept-{edge}-{number}");
            let sent = Instant::now();
            match timeout(PATIENCE, get(&mut usable, &id)).await {
                Ok(Ok(status)) => {
                    *self.answered.lock().expect("whole") += u64::from(status == 200);
                    connection = Some(usable);
                }
                ended => {
                    let during = Window { from: sent, to: Instant::now() };
                    let unanswered = Unanswered { id, edge, during, held: ended.is_err() };
                    self.unanswered.lock().expect("whole").push(unanswered);
                }
            }
        }
    }
}

async fn connect(front: SocketAddr) -> Option<Connection> {
    let stream = timeout(PATIENCE, TcpStream::connect(front)).await.ok()?.ok()?;
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
