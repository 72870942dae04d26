//! The list of backends: a watch on discovery that never stops.

use crate::config::Upstreams;
use crate::http::Connection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{header, Request, StatusCode};
use starlinghill_discovery::{DiscoveryCall, Verdict};
pub use starlinghill_discovery::{Follower, Source};
use starlinghill_settings::members::MemberList;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// How long a watch waits for news.
const HOLD: Duration = Duration::from_secs(20);
/// How long an answer may take beyond what it was asked to wait.
const PATIENCE: Duration = Duration::from_secs(2);

/// Watches the list for ever, telling whoever owns the inbox what is new.
pub async fn watch<T: From<MemberList>>(
    mut upstreams: watch::Receiver<Upstreams>,
    mut follower: Follower,
    inbox: mpsc::Sender<T>,
) {
    let mut address = upstreams.borrow_and_update().discovery;
    let mut connection = None;
    let mut silent = false;
    let mut confused = false;
    loop {
        let call = follower.next_call();
        let told = tokio::select! {
            biased;
            // Moves at once, though the old address may hold a watch for long. The new one may number its
            // versions anew: its whole list is asked for.
            Ok(()) = upstreams.changed() => {
                let moved = upstreams.borrow_and_update().discovery;
                if moved != address {
                    (address, connection) = (moved, None);
                    follower.reset();
                }
                continue;
            }
            told = make(call, address, &mut connection) => told,
        };
        match told {
            Ok(list) => {
                if std::mem::take(&mut silent) {
                    info!("discovery answers again");
                }
                if follower.answered(list.revision, list.complete) == Verdict::Discard {
                    if !std::mem::replace(&mut confused, true) {
                        warn!(
                            revision = list.revision,
                            "discovery told what does not follow; asking for all"
                        );
                    }
                    continue;
                }
                confused = false;
                if inbox.send(list.into()).await.is_err() {
                    return;
                }
            }
            Err(problem) => {
                connection = None;
                follower.failed();
                if !std::mem::replace(&mut silent, true) {
                    warn!(problem, "discovery failed; the list stays as it is");
                }
            }
        }
    }
}

async fn make(
    call: DiscoveryCall,
    address: SocketAddr,
    connection: &mut Option<Connection>,
) -> Result<MemberList, &'static str> {
    // A watch that goes on is not put off: it is over 200 ms after its last answer.
    if !call.after.is_zero() {
        sleep(call.after).await;
    }
    let path = match call.since {
        None => "/catalog/members".to_string(),
        Some(revision) => format!("/catalog/members?from={revision}&hold_ms={}", HOLD.as_millis()),
    };
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().map_err(|_| "no such path")?;
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    if connection.as_mut().is_none_or(|c| !c.is_usable()) {
        let opened = timeout(PATIENCE, Connection::open(address)).await;
        *connection = Some(opened.map_err(|_| "no connection in time")?.map_err(|_| "no connection")?);
    }
    let Some(line) = connection.as_mut() else { return Err("no connection") };
    let hold = if call.since.is_some() { HOLD } else { Duration::ZERO };
    let answer = timeout(hold + PATIENCE, line.call(request)).await;
    let answer = answer.map_err(|_| "no answer in time")?.map_err(|_| "the connection broke")?;
    if answer.status() != StatusCode::OK {
        return Err("not answered with 200");
    }
    serde_json::from_slice(answer.body()).map_err(|_| "not a list of members")
}
