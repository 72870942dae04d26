//! Watches the list of backends at discovery.

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

/// How long discovery may hold a call while there is no news.
const HOLD_TIME: Duration = Duration::from_secs(20);
/// How long a response may take beyond the time that discovery may hold the call.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);

/// Watches the list forever and sends what is new to `inbox`.
pub async fn watch<T: From<MemberList>>(
    mut upstreams: watch::Receiver<Upstreams>,
    mut follower: Follower,
    inbox: mpsc::Sender<T>,
) {
    let mut address = upstreams.borrow_and_update().discovery;
    let mut connection = None;
    let mut silent = false;
    let mut out_of_order = false;
    loop {
        let call = follower.next_call();
        let result = tokio::select! {
            biased;
            // Switches to a new address at once, though the old one may hold a call for long. The new one may
            // number its revisions differently, so its whole list is requested.
            Ok(()) = upstreams.changed() => {
                let new_address = upstreams.borrow_and_update().discovery;
                if new_address != address {
                    (address, connection) = (new_address, None);
                    follower.reset();
                }
                continue;
            }
            result = fetch(call, address, &mut connection) => result,
        };
        match result {
            Ok(list) => {
                if std::mem::take(&mut silent) {
                    info!("discovery answers again");
                }
                if follower.answered(list.revision, list.complete) == Verdict::Discard {
                    if !std::mem::replace(&mut out_of_order, true) {
                        warn!(
                            revision = list.revision,
                            "discovery told what does not follow; asking for all"
                        );
                    }
                    continue;
                }
                out_of_order = false;
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

async fn fetch(
    call: DiscoveryCall,
    address: SocketAddr,
    connection: &mut Option<Connection>,
) -> Result<MemberList, &'static str> {
    // A call that continues a watch has no delay: discovery ends a watch 200 ms after its last response.
    if !call.after.is_zero() {
        sleep(call.after).await;
    }
    let path = match call.since {
        None => "/catalog/members".to_string(),
        Some(revision) => format!("/catalog/members?from={revision}&hold_ms={}", HOLD_TIME.as_millis()),
    };
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().map_err(|_| "invalid path")?;
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    if connection.as_mut().is_none_or(|c| !c.is_usable()) {
        let opened = timeout(RESPONSE_MARGIN, Connection::open(address)).await;
        *connection = Some(opened.map_err(|_| "the connection timed out")?.map_err(|_| "could not connect")?);
    }
    let Some(connection) = connection.as_mut() else { return Err("could not connect") };
    let hold = if call.since.is_some() { HOLD_TIME } else { Duration::ZERO };
    let answer = timeout(hold + RESPONSE_MARGIN, connection.call(request)).await;
    let answer = answer.map_err(|_| "the response timed out")?.map_err(|_| "the connection broke")?;
    if answer.status() != StatusCode::OK {
        return Err("the status is not 200");
    }
    serde_json::from_slice(answer.body()).map_err(|_| "the response is not a list of members")
}
