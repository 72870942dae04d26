//! Raft messages between members. Each frame names the group and its generation, so that a member of another group,
//! or one left over from before a restore, is refused and never counted in a majority.

use crate::{Raft, TypeConfig};
use openraft::error::{
    InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Timeout, Unreachable,
};
use openraft::network::RPCOption;
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{BasicNode, RPCTypes, RaftNetwork, RaftNetworkFactory};
use serde::de::DeserializeOwned;
use serde::Serialize;
use starlinghill_failover::wire::MAX_MESSAGE_BYTES;
use starlinghill_failover_client::client::channel;
use starlinghill_failover_client::proto::members_client::MembersClient;
use starlinghill_failover_client::proto::Frame;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::transport::Channel;
use tonic::{Code, Status};

/// The only frame version that this program accepts.
pub const FRAME_VERSION: u32 = 1;
/// The largest frame in bytes. It has to hold an append of many entries or a chunk of a snapshot.
pub const MAX_FRAME_BYTES: usize = 4 * MAX_MESSAGE_BYTES;
/// The time limit for connecting to another member.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The group, generation and member that a frame is sent from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrameSender {
    /// The group's name.
    pub group: String,
    /// The group's generation; it goes up by one at each restore.
    pub generation: u64,
    /// The member's number.
    pub id: u64,
}

impl FrameSender {
    /// Builds a frame sent by this member.
    pub fn frame(&self, kind: &str, body: Vec<u8>) -> Frame {
        Frame {
            version: FRAME_VERSION,
            generation: self.generation,
            group: self.group.clone(),
            from: self.id,
            kind: kind.into(),
            body,
        }
    }

    /// Refuses a frame of another version, group or generation.
    pub fn check(&self, frame: &Frame) -> Result<(), Status> {
        let refused = |reason: String| Err(Status::failed_precondition(reason));
        if frame.version != FRAME_VERSION {
            return refused(format!(
                "frames of version {FRAME_VERSION} alone are known here, found {}",
                frame.version
            ));
        }
        if frame.group != self.group {
            let found: String = frame.group.chars().take(80).collect();
            return refused(format!("this is group '{}', found '{}'", self.group, found.escape_debug()));
        }
        if frame.generation != self.generation {
            return refused(format!(
                "this is generation {} of the group, found {}",
                self.generation, frame.generation
            ));
        }
        Ok(())
    }
}

/// A gRPC client of another member.
pub type Client = MembersClient<Channel>;

/// Creates a client for the member at `address`. It connects on first use and reconnects by itself.
pub fn member_client(address: &str) -> Result<Client, String> {
    let address: SocketAddr = address.parse().map_err(|e| format!("{address}: {e}"))?;
    let channel = channel(address, CONNECT_TIMEOUT).map_err(|e| e.to_string())?;
    Ok(MembersClient::new(channel)
        .max_decoding_message_size(MAX_FRAME_BYTES)
        .max_encoding_message_size(MAX_FRAME_BYTES))
}

/// Creates the connections to other members for `openraft`.
#[derive(Debug, Clone)]
pub struct MemberNetwork {
    /// This member, as named in each frame that it sends.
    pub sender: FrameSender,
    /// Addresses of members as reached from this process. A member that is not listed is called at the address in
    /// the group's membership.
    pub addresses: BTreeMap<u64, SocketAddr>,
}

impl RaftNetworkFactory<TypeConfig> for MemberNetwork {
    type Network = MemberConnection;

    async fn new_client(&mut self, target: u64, node: &BasicNode) -> MemberConnection {
        let address = self.addresses.get(&target).map_or_else(|| node.addr.clone(), SocketAddr::to_string);
        MemberConnection { sender: self.sender.clone(), target, client: member_client(&address) }
    }
}

/// A connection to one other member. `client` holds the error if the member's address can't be parsed.
pub struct MemberConnection {
    sender: FrameSender,
    target: u64,
    client: Result<Client, String>,
}

type CallError<E> = RPCError<u64, BasicNode, E>;

impl MemberConnection {
    /// Sends a Raft message and decodes the answer, with the errors that `openraft` expects.
    async fn call<I, O, E>(
        &mut self,
        action: RPCTypes,
        kind: &str,
        message: &I,
        time_limit: Duration,
    ) -> Result<O, CallError<E>>
    where
        I: Serialize,
        O: DeserializeOwned,
        E: std::error::Error + DeserializeOwned,
    {
        let network_error =
            |reason: String| RPCError::Network(NetworkError::new(&std::io::Error::other(reason)));
        let unreachable =
            |reason: String| RPCError::Unreachable(Unreachable::new(&std::io::Error::other(reason)));
        let client = self.client.as_mut().map_err(|e| unreachable(e.clone()))?;
        let body = serde_json::to_vec(message).map_err(|e| network_error(e.to_string()))?;
        let frame = self.sender.frame(kind, body);
        let reply = match tokio::time::timeout(time_limit, client.send(frame)).await {
            Ok(Ok(reply)) => reply.into_inner(),
            // `Unreachable` makes openraft back off before it calls a member again that is down, blank, of an older
            // version or of another generation.
            Ok(Err(status)) if matches!(status.code(), Code::Unavailable | Code::FailedPrecondition) => {
                return Err(unreachable(status.message().into()));
            }
            Ok(Err(status)) => return Err(network_error(status.message().into())),
            Err(_) => {
                let timeout =
                    Timeout { action, id: self.sender.id, target: self.target, timeout: time_limit };
                return Err(RPCError::Timeout(timeout));
            }
        };
        let result: Result<O, E> =
            serde_json::from_slice(&reply.body).map_err(|e| network_error(e.to_string()))?;
        result.map_err(|e| RPCError::RemoteError(RemoteError::new(self.target, e)))
    }
}

impl RaftNetwork<TypeConfig> for MemberConnection {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, CallError<RaftError<u64>>> {
        self.call(RPCTypes::AppendEntries, "append", &rpc, option.hard_ttl()).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, CallError<RaftError<u64, InstallSnapshotError>>> {
        self.call(RPCTypes::InstallSnapshot, "snapshot", &rpc, option.hard_ttl()).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, CallError<RaftError<u64>>> {
        self.call(RPCTypes::Vote, "vote", &rpc, option.hard_ttl()).await
    }

    fn backoff(&self) -> openraft::network::Backoff {
        // With openraft's default of 500 ms, a member that is reachable again could wait longer than an election
        // takes.
        openraft::network::Backoff::new(std::iter::repeat(Duration::from_millis(100)))
    }
}

fn decode_body<T: DeserializeOwned>(kind: &str, body: &[u8]) -> Result<T, Status> {
    serde_json::from_slice(body).map_err(|e| {
        // A record of a later format version fails here, before any of the message is applied.
        tracing::error!(kind, error = %e, "refused a message from another member that this version can't decode");
        Status::failed_precondition(format!("{kind}: {e}"))
    })
}

fn encode_body<T: Serialize>(value: &T) -> Result<Vec<u8>, Status> {
    serde_json::to_vec(value).map_err(|e| Status::internal(e.to_string()))
}

/// Passes a Raft frame to the local node and returns the encoded response, or `None` if the frame is of another kind.
pub async fn handle_raft_frame(raft: &Raft, kind: &str, body: &[u8]) -> Option<Result<Vec<u8>, Status>> {
    Some(match kind {
        "append" => match decode_body::<AppendEntriesRequest<TypeConfig>>(kind, body) {
            Ok(rpc) => encode_body(&raft.append_entries(rpc).await),
            Err(e) => Err(e),
        },
        "vote" => match decode_body::<VoteRequest<u64>>(kind, body) {
            Ok(rpc) => encode_body(&raft.vote(rpc).await),
            Err(e) => Err(e),
        },
        "snapshot" => match decode_body::<InstallSnapshotRequest<TypeConfig>>(kind, body) {
            Ok(rpc) => encode_body(&raft.install_snapshot(rpc).await),
            Err(e) => Err(e),
        },
        _ => return None,
    })
}
