//! Calls to the configuration stores on behalf of an operator, who must get an answer before he gives up.

use starlinghill_config_store::wire::{ChangeOutcome, StoreRequest, StoreResponse};
use starlinghill_lease::contact::ORDER_HEDGE_DELAY;
use starlinghill_runtime::net::NetworkHandle;
use starlinghill_runtime::rpc::{RpcClient, RpcError};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{timeout_at, Instant};

/// How a call to one store ended.
#[derive(Debug)]
pub enum StoreReply {
    /// The store answered.
    Answer(StoreResponse),
    /// The store certainly did not receive the request.
    NotReached,
    /// No answer came in time. The store may still act on the request.
    Silent,
    /// The store closed the connection instead of answering. It may have ended because of the request.
    ConnectionLost,
}

/// Asks the stores in order, the one on this machine first. One that can't be reached is skipped; one that is silent
/// doesn't delay the others. Two stores may try the same change at once, which is harmless because a change that was
/// already accepted counts as accepted.
pub async fn ask_stores(
    net: &NetworkHandle,
    stores: Vec<SocketAddr>,
    request: StoreRequest,
    within: Duration,
) -> Option<StoreResponse> {
    let net = net.clone();
    let request = Rc::new(request);
    first_conclusive_answer(stores.len(), within, move |i, left| {
        let (client, request) = (RpcClient::new(&net, stores[i]), request.clone());
        async move {
            match client.call(request.as_ref(), left).await {
                Ok(answer) => StoreReply::Answer(answer),
                Err(error) => {
                    log::warn!("event=store_failed address={} error=\"{error}\"", client.address());
                    reply_of(&error)
                }
            }
        }
    })
    .await
}

fn reply_of(error: &RpcError) -> StoreReply {
    match error {
        RpcError::Timeout => StoreReply::Silent,
        error if error.is_not_sent() => StoreReply::NotReached,
        RpcError::Broken { .. } => StoreReply::ConnectionLost,
    }
}

/// Returns the first conclusive answer of `stores` stores, or else an inconclusive one, if any came within the time
/// limit.
///
/// `ask` gets the index of the store and the remaining time. The next store is asked after `ORDER_HEDGE_DELAY` or as soon
/// as one has answered inconclusively. It is not asked if a store closed the connection under the request: a request that
/// ends the process that reads it would be passed to one store after the other. A rejection counts only once no other
/// store may still accept the request: otherwise the caller could be told of a rejection for a change that takes effect.
/// Calls that are still running when this returns or is dropped are cancelled.
pub async fn first_conclusive_answer<W>(
    stores: usize,
    within: Duration,
    ask: impl Fn(usize, Duration) -> W,
) -> Option<StoreResponse>
where
    W: Future<Output = StoreReply> + 'static,
{
    let deadline = Instant::now() + within;
    let (mut asked, mut next, mut may_ask_next) = (JoinSet::new(), 0, true);
    let (mut inconclusive, mut refused) = (None, None);
    loop {
        if may_ask_next && next < stores {
            asked.spawn_local(ask(next, deadline.saturating_duration_since(Instant::now())));
            next += 1;
        }
        let has_next = may_ask_next && next < stores;
        let next_action_at =
            if has_next { deadline.min(Instant::now() + ORDER_HEDGE_DELAY) } else { deadline };
        match timeout_at(next_action_at, asked.join_next()).await {
            Ok(Some(reply)) => match reply.unwrap_or(StoreReply::Silent) {
                StoreReply::Answer(answer) if is_refusal(&answer) => {
                    (refused, may_ask_next) = (Some(answer), false);
                }
                StoreReply::Answer(answer) if is_conclusive(&answer) => return Some(answer),
                StoreReply::Answer(answer) => inconclusive = Some(answer),
                StoreReply::NotReached => {}
                StoreReply::Silent => inconclusive = Some(StoreResponse::Unavailable),
                StoreReply::ConnectionLost => {
                    (inconclusive, may_ask_next) = (Some(StoreResponse::Unavailable), false);
                }
            },
            Ok(None) => {}
            Err(_) if Instant::now() >= deadline => return inconclusive,
            Err(_) => {}
        }
        if asked.is_empty() && !(may_ask_next && next < stores) {
            return refused.filter(|_| inconclusive.is_none()).or(inconclusive);
        }
    }
}

/// The change was rejected by the current items, so another store may still accept it later.
fn is_refusal(answer: &StoreResponse) -> bool {
    matches!(answer, StoreResponse::Applied(ChangeOutcome::Invalid(_)))
}

fn is_conclusive(answer: &StoreResponse) -> bool {
    !matches!(answer, StoreResponse::Unavailable | StoreResponse::Applied(ChangeOutcome::Unclear))
}
