//! Orders and questions to a group of which some members may be away. Any member takes an order. One whose answer
//! got lost is sent again, to another member, with the same id: it counts once.

use crate::proto::group_client::GroupClient;
use crate::proto::{LookRequest, Sealed};
use crate::report::{MembershipChange, MembershipResult, Report};
use starlinghill_failover::order::Order;
use starlinghill_failover::state::Outcome;
use starlinghill_failover::wire::{decode, encode, Message, MAX_MESSAGE_BYTES};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tonic::transport::{Channel, Endpoint};
use tonic::Code;

/// How long one member may take to connect.
const CONNECT: Duration = Duration::from_millis(500);
/// How long one member may take over an order before another is asked.
const ONE_TRY: Duration = Duration::from_secs(2);
/// The most followers of one member that are asked for: what a member may be set to take.
const MOST_SHOWN: usize = 100_000;
/// The pause before all members are asked again.
const PAUSE: Duration = Duration::from_millis(100);

/// Why an order has no outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderError {
    /// No member took it, and it certainly does not count.
    NotAccepted(String),
    /// A member took it and did not answer. It may count or not; sent again with its id, it counts once.
    Unknown(String),
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderError::NotAccepted(why) => write!(f, "no member took it: {why}"),
            OrderError::Unknown(why) => {
                write!(f, "it may count or not: {why}; sent again with the same id, it counts once")
            }
        }
    }
}
impl std::error::Error for OrderError {}

/// A channel to a member, made when it is first used.
pub fn channel(member: SocketAddr, connect: Duration) -> Result<Channel, tonic::transport::Error> {
    Ok(Endpoint::from_shared(format!("http://{member}"))?
        .connect_timeout(connect)
        .tcp_nodelay(true)
        .connect_lazy())
}

fn group(member: SocketAddr) -> Result<GroupClient<Channel>, tonic::transport::Error> {
    let channel = channel(member, CONNECT)?;
    Ok(GroupClient::new(channel).max_decoding_message_size(2 * MAX_MESSAGE_BYTES))
}

/// Whether a call may have had an effect though it failed so.
fn may_count(code: Code) -> bool {
    // What a member refuses by these it has not proposed; all else may have happened after it did.
    !matches!(
        code,
        Code::FailedPrecondition | Code::ResourceExhausted | Code::InvalidArgument | Code::Unimplemented
    )
}

enum Kind {
    Give,
    Manage,
}

async fn ask<I: Message, O: Message>(
    members: &[SocketAddr],
    kind: Kind,
    message: &I,
    patience: Duration,
) -> Result<O, OrderError> {
    let until = Instant::now() + patience;
    let (mut counts, mut why) = (false, String::from("there is no member"));
    let one_try = match kind {
        Kind::Give => ONE_TRY.min(patience / 2),
        // A member that joins has to catch up first.
        Kind::Manage => patience,
    };
    loop {
        for member in members {
            // A try that is cut short would leave open whether it counts.
            if Instant::now() + ONE_TRY.min(patience / 2) > until {
                break;
            }
            let mut client = match group(*member) {
                Ok(client) => client,
                Err(e) => {
                    why = format!("{member}: {e}");
                    continue;
                }
            };
            let sealed = Sealed { bytes: encode(message) };
            let call = async {
                match kind {
                    Kind::Give => client.give(sealed).await,
                    Kind::Manage => client.manage(sealed).await,
                }
            };
            match tokio::time::timeout(one_try, call).await {
                Ok(Ok(reply)) => match decode(&reply.into_inner().bytes) {
                    Ok(outcome) => return Ok(outcome),
                    Err(e) => (counts, why) = (true, format!("{member}: {e}")),
                },
                Ok(Err(status)) => {
                    let refused = status.code() == Code::Unavailable && never_sent(&status);
                    counts |= may_count(status.code()) && !refused;
                    why = format!("{member}: {}", status.message());
                }
                Err(_) => (counts, why) = (true, format!("{member}: no answer in time")),
            }
        }
        if Instant::now() + PAUSE + ONE_TRY.min(patience / 2) >= until {
            return Err(if counts { OrderError::Unknown(why) } else { OrderError::NotAccepted(why) });
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Whether no connection was made at all. What broke later may have arrived.
fn never_sent(status: &tonic::Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if let Some(io) = error.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        source = error.source();
    }
    false
}

/// Gives an order, to one member after the other, until one tells its outcome.
pub async fn submit_order(
    members: &[SocketAddr],
    order: &Order,
    patience: Duration,
) -> Result<Outcome, OrderError> {
    ask(members, Kind::Give, order, patience).await
}

/// Changes the group itself.
pub async fn change_membership(
    members: &[SocketAddr],
    change: &MembershipChange,
    patience: Duration,
) -> Result<MembershipResult, OrderError> {
    ask(members, Kind::Manage, change, patience).await
}

/// What one member knows. Followers come by pages, the rest is of the last page.
pub async fn fetch_report(member: SocketAddr, patience: Duration) -> Result<Report, String> {
    let told = |e: &dyn fmt::Display| format!("{member}: {e}");
    let mut client = group(member).map_err(|e| told(&e))?;
    let until = Instant::now() + patience;
    let (mut known, mut after) = (Vec::new(), String::new());
    loop {
        let page = match tokio::time::timeout_at(until, client.look(LookRequest { after })).await {
            Ok(Ok(reply)) => decode::<Report>(&reply.into_inner().bytes).map_err(|e| told(&e))?,
            Ok(Err(status)) => return Err(told(&status.message())),
            Err(_) => return Err(told(&"no answer in time")),
        };
        let (more, Report { subscribers, .. }) = (page.more, &page);
        // One that says there is more and tells nothing would be asked for ever.
        let last = subscribers.last().map(|s| s.name.clone()).filter(|_| more && known.len() < MOST_SHOWN);
        known.extend(subscribers.iter().cloned());
        match last {
            Some(last) => after = last,
            None => return Ok(Report { subscribers: known, more, ..page }),
        }
    }
}

/// What every member knows that answers, all asked at once.
pub async fn fetch_all_reports(members: &[SocketAddr], patience: Duration) -> Vec<Result<Report, String>> {
    let asked: Vec<_> = members.iter().map(|m| tokio::spawn(fetch_report(*m, patience))).collect();
    let mut all = Vec::new();
    for one in asked {
        all.push(one.await.unwrap_or_else(|e| Err(e.to_string())));
    }
    all
}
