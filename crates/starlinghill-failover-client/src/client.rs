//! Sends orders and queries to a group of which some members may be down. Any member accepts an order. If the answer is
//! lost, the order is sent again to another member with the same id, so that it counts once.

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

/// The longest time for the connection to one member.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest time that one member gets for an order before the next one is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// The most gateways of one member that are fetched. This is also the most that a member can be configured to serve.
const MAX_SUBSCRIBERS: usize = 100_000;
/// The pause before all members are tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why the outcome of an order is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderError {
    /// No member accepted the order, so it was certainly not applied.
    NotAccepted(String),
    /// A member may have accepted the order but gave no answer. Sent again with the same id, it counts once.
    Unknown(String),
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderError::NotAccepted(why) => write!(f, "no member accepted it: {why}"),
            OrderError::Unknown(why) => {
                write!(
                    f,
                    "it may or may not have been applied: {why}; sent again with the same id, it counts once"
                )
            }
        }
    }
}
impl std::error::Error for OrderError {}

/// A channel to a member. It connects when it is first used.
pub fn channel(member: SocketAddr, connect: Duration) -> Result<Channel, tonic::transport::Error> {
    Ok(Endpoint::from_shared(format!("http://{member}"))?
        .connect_timeout(connect)
        .tcp_nodelay(true)
        .connect_lazy())
}

fn group_client(member: SocketAddr) -> Result<GroupClient<Channel>, tonic::transport::Error> {
    let channel = channel(member, CONNECT_TIMEOUT)?;
    Ok(GroupClient::new(channel).max_decoding_message_size(2 * MAX_MESSAGE_BYTES))
}

/// Whether a call that failed with this code may still have had an effect.
fn may_have_applied(code: Code) -> bool {
    // Members return these codes only before they submit the order to the log. Any other failure may come later.
    !matches!(
        code,
        Code::FailedPrecondition | Code::ResourceExhausted | Code::InvalidArgument | Code::Unimplemented
    )
}

enum Call {
    SubmitOrder,
    ChangeMembership,
}

/// Tries one member after the other until one answers or `patience` is over.
async fn call_any_member<I: Message, O: Message>(
    members: &[SocketAddr],
    call: Call,
    message: &I,
    patience: Duration,
) -> Result<O, OrderError> {
    let until = Instant::now() + patience;
    let (mut maybe_applied, mut why) = (false, String::from("the group has no members"));
    let attempt_timeout = match call {
        Call::SubmitOrder => ATTEMPT_TIMEOUT.min(patience / 2),
        // A member that joins must catch up first, which can take all the time.
        Call::ChangeMembership => patience,
    };
    loop {
        for member in members {
            // An attempt that is cut short would leave it open whether the order was applied.
            if Instant::now() + ATTEMPT_TIMEOUT.min(patience / 2) > until {
                break;
            }
            let mut client = match group_client(*member) {
                Ok(client) => client,
                Err(e) => {
                    why = format!("{member}: {e}");
                    continue;
                }
            };
            let sealed = Sealed { bytes: encode(message) };
            let request = async {
                match call {
                    Call::SubmitOrder => client.give(sealed).await,
                    Call::ChangeMembership => client.manage(sealed).await,
                }
            };
            match tokio::time::timeout(attempt_timeout, request).await {
                Ok(Ok(reply)) => match decode(&reply.into_inner().bytes) {
                    Ok(outcome) => return Ok(outcome),
                    Err(e) => (maybe_applied, why) = (true, format!("{member}: {e}")),
                },
                Ok(Err(status)) => {
                    let connection_refused = status.code() == Code::Unavailable && never_sent(&status);
                    maybe_applied |= may_have_applied(status.code()) && !connection_refused;
                    why = format!("{member}: {}", status.message());
                }
                Err(_) => (maybe_applied, why) = (true, format!("{member}: no answer in time")),
            }
        }
        if Instant::now() + RETRY_PAUSE + ATTEMPT_TIMEOUT.min(patience / 2) >= until {
            return Err(if maybe_applied { OrderError::Unknown(why) } else { OrderError::NotAccepted(why) });
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Whether the connection was refused, so that nothing was sent. After any later failure the message may have arrived.
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

/// Submits an order to one member after the other until one returns the outcome.
pub async fn submit_order(
    members: &[SocketAddr],
    order: &Order,
    patience: Duration,
) -> Result<Outcome, OrderError> {
    call_any_member(members, Call::SubmitOrder, order, patience).await
}

/// Changes the group's membership, through the first member that answers.
pub async fn change_membership(
    members: &[SocketAddr],
    change: &MembershipChange,
    patience: Duration,
) -> Result<MembershipResult, OrderError> {
    call_any_member(members, Call::ChangeMembership, change, patience).await
}

/// The report of one member. The gateways are fetched in pages; the other fields are those of the last page.
pub async fn fetch_report(member: SocketAddr, patience: Duration) -> Result<Report, String> {
    let describe = |e: &dyn fmt::Display| format!("{member}: {e}");
    let mut client = group_client(member).map_err(|e| describe(&e))?;
    let until = Instant::now() + patience;
    let (mut all_subscribers, mut after) = (Vec::new(), String::new());
    loop {
        let page = match tokio::time::timeout_at(until, client.look(LookRequest { after })).await {
            Ok(Ok(reply)) => decode::<Report>(&reply.into_inner().bytes).map_err(|e| describe(&e))?,
            Ok(Err(status)) => return Err(describe(&status.message())),
            Err(_) => return Err(describe(&"no answer in time")),
        };
        let (more, Report { subscribers, .. }) = (page.more, &page);
        // An empty page ends the loop even if the member claims that there are more; otherwise it would never end.
        let last = subscribers
            .last()
            .map(|s| s.name.clone())
            .filter(|_| more && all_subscribers.len() < MAX_SUBSCRIBERS);
        all_subscribers.extend(subscribers.iter().cloned());
        match last {
            Some(last) => after = last,
            None => return Ok(Report { subscribers: all_subscribers, more, ..page }),
        }
    }
}

/// The reports of all members, fetched at the same time. An error for each member that does not answer.
pub async fn fetch_all_reports(members: &[SocketAddr], patience: Duration) -> Vec<Result<Report, String>> {
    let tasks: Vec<_> = members.iter().map(|m| tokio::spawn(fetch_report(*m, patience))).collect();
    let mut reports = Vec::new();
    for task in tasks {
        reports.push(task.await.unwrap_or_else(|e| Err(e.to_string())));
    }
    reports
}
