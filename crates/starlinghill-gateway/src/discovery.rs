//! The list of backends: a watch on discovery that never stops.

use crate::config::Upstreams;
use crate::http::Connection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{header, Request, StatusCode};
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
/// The pause before a failed call is made again; a watch goes on if its next call comes within 200 ms.
const PAUSE: Duration = Duration::from_millis(100);

/// Fetches the whole list, then watches it for ever, telling whoever owns the inbox what is new.
pub async fn watch<T: From<MemberList>>(mut upstreams: watch::Receiver<Upstreams>, inbox: mpsc::Sender<T>) {
    let mut address = upstreams.borrow_and_update().discovery;
    let mut revision = None;
    let mut connection = None;
    let mut silent = false;
    loop {
        let told = tokio::select! {
            biased;
            // Moves at once, though the old address may hold a watch for long. The new one may number its
            // versions anew: its whole list is asked for.
            Ok(()) = upstreams.changed() => {
                let moved = upstreams.borrow_and_update().discovery;
                if moved != address {
                    (address, connection, revision) = (moved, None, None);
                }
                continue;
            }
            told = next(address, &mut connection, revision) => told,
        };
        match told {
            Ok(list) => {
                if std::mem::take(&mut silent) {
                    info!("discovery answers again");
                }
                // Guards against a stale answer that would undo a drain already told, and against changes to
                // a list that is not held. The whole list, asked for anew, is what discovery has.
                let older = revision.is_some_and(|held| list.revision < held);
                if older || revision.is_none() && !list.complete {
                    warn!(revision = list.revision, "discovery told what does not follow; asking for all");
                    revision = None;
                    sleep(PAUSE).await;
                    continue;
                }
                revision = Some(list.revision);
                if inbox.send(list.into()).await.is_err() {
                    return;
                }
            }
            Err(problem) => {
                connection = None;
                if !std::mem::replace(&mut silent, true) {
                    warn!(problem, "discovery failed; the list stays as it is");
                }
                sleep(PAUSE).await;
            }
        }
    }
}

async fn next(
    address: SocketAddr,
    connection: &mut Option<Connection>,
    revision: Option<u64>,
) -> Result<MemberList, &'static str> {
    let path = match revision {
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
    let hold = if revision.is_some() { HOLD } else { Duration::ZERO };
    let answer = timeout(hold + PATIENCE, line.call(request)).await;
    let answer = answer.map_err(|_| "no answer in time")?.map_err(|_| "the connection broke")?;
    if answer.status() != StatusCode::OK {
        return Err("not answered with 200");
    }
    serde_json::from_slice(answer.body()).map_err(|_| "not a list of members")
}
