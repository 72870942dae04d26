//! What members say to each other: frames that name the group and its generation, so that members of another group,
//! or of the life before a restore, are refused and never counted in a majority.

use crate::{Raft, Types};
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

/// The version of frames.
pub const VERSION: u32 = 1;
/// The most bytes of a frame: an append of many entries, or a piece of a snapshot.
pub const LONGEST_FRAME: usize = 4 * MAX_MESSAGE_BYTES;
/// How long a connection to another member may take.
const CONNECT: Duration = Duration::from_millis(500);

/// Of which group, and who speaks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Speaker {
    /// The group's name.
    pub group: String,
    /// The group's life.
    pub generation: u64,
    /// The member's number.
    pub id: u64,
}

impl Speaker {
    /// A frame of this speaker's.
    pub fn frame(&self, kind: &str, body: Vec<u8>) -> Frame {
        Frame {
            version: VERSION,
            generation: self.generation,
            group: self.group.clone(),
            from: self.id,
            kind: kind.into(),
            body,
        }
    }

    /// Whether a frame is of this speaker's group and life.
    pub fn check(&self, frame: &Frame) -> Result<(), Status> {
        let refused = |what: String| Err(Status::failed_precondition(what));
        if frame.version != VERSION {
            return refused(format!(
                "frames of version {VERSION} alone are known here, found {}",
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

/// A channel to a member.
pub type Client = MembersClient<Channel>;

/// A channel to a member, made when first used; it connects again by itself.
pub fn member(address: &str) -> Result<Client, String> {
    let address: SocketAddr = address.parse().map_err(|e| format!("{address}: {e}"))?;
    let channel = channel(address, CONNECT).map_err(|e| e.to_string())?;
    Ok(MembersClient::new(channel)
        .max_decoding_message_size(LONGEST_FRAME)
        .max_encoding_message_size(LONGEST_FRAME))
}

/// Makes the links to other members.
#[derive(Debug, Clone)]
pub struct Links {
    /// Who speaks.
    pub speaker: Speaker,
    /// Where members listen as seen from here; the others are where the group says.
    pub seen: BTreeMap<u64, SocketAddr>,
}

impl RaftNetworkFactory<Types> for Links {
    type Network = Link;

    async fn new_client(&mut self, target: u64, node: &BasicNode) -> Link {
        let at = self.seen.get(&target).map_or_else(|| node.addr.clone(), SocketAddr::to_string);
        Link { speaker: self.speaker.clone(), target, client: member(&at) }
    }
}

/// A link to one other member.
pub struct Link {
    speaker: Speaker,
    target: u64,
    client: Result<Client, String>,
}

type Failed<E> = RPCError<u64, BasicNode, E>;

impl Link {
    async fn call<I, O, E>(
        &mut self,
        action: RPCTypes,
        kind: &str,
        message: &I,
        patience: Duration,
    ) -> Result<O, Failed<E>>
    where
        I: Serialize,
        O: DeserializeOwned,
        E: std::error::Error + DeserializeOwned,
    {
        let broken = |what: String| RPCError::Network(NetworkError::new(&std::io::Error::other(what)));
        let gone = |what: String| RPCError::Unreachable(Unreachable::new(&std::io::Error::other(what)));
        let client = self.client.as_mut().map_err(|e| gone(e.clone()))?;
        let body = serde_json::to_vec(message).map_err(|e| broken(e.to_string()))?;
        let frame = self.speaker.frame(kind, body);
        let reply = match tokio::time::timeout(patience, client.send(frame)).await {
            Ok(Ok(reply)) => reply.into_inner(),
            // Backed off from: a member that is away, blank, too old or of another life is not called at once again.
            Ok(Err(status)) if matches!(status.code(), Code::Unavailable | Code::FailedPrecondition) => {
                return Err(gone(status.message().into()));
            }
            Ok(Err(status)) => return Err(broken(status.message().into())),
            Err(_) => {
                let timeout = Timeout { action, id: self.speaker.id, target: self.target, timeout: patience };
                return Err(RPCError::Timeout(timeout));
            }
        };
        let result: Result<O, E> = serde_json::from_slice(&reply.body).map_err(|e| broken(e.to_string()))?;
        result.map_err(|e| RPCError::RemoteError(RemoteError::new(self.target, e)))
    }
}

impl RaftNetwork<Types> for Link {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, Failed<RaftError<u64>>> {
        self.call(RPCTypes::AppendEntries, "append", &rpc, option.hard_ttl()).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, Failed<RaftError<u64, InstallSnapshotError>>> {
        self.call(RPCTypes::InstallSnapshot, "snapshot", &rpc, option.hard_ttl()).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, Failed<RaftError<u64>>> {
        self.call(RPCTypes::Vote, "vote", &rpc, option.hard_ttl()).await
    }

    fn backoff(&self) -> openraft::network::Backoff {
        // The library's own half second would let a member that is back wait longer than an election takes.
        openraft::network::Backoff::new(std::iter::repeat(Duration::from_millis(100)))
    }
}

fn read<T: DeserializeOwned>(kind: &str, body: &[u8]) -> Result<T, Status> {
    serde_json::from_slice(body).map_err(|e| {
        // A record of a later version stops here: this member has none of it, and says so.
        tracing::error!(kind, error = %e, "refused: this program doesn't know what another member sent");
        Status::failed_precondition(format!("{kind}: {e}"))
    })
}

fn written<T: Serialize>(value: &T) -> Result<Vec<u8>, Status> {
    serde_json::to_vec(value).map_err(|e| Status::internal(e.to_string()))
}

/// Hands a frame of the log's own protocol to the log; `None`: it is of another kind.
pub async fn deliver(raft: &Raft, kind: &str, body: &[u8]) -> Option<Result<Vec<u8>, Status>> {
    Some(match kind {
        "append" => match read::<AppendEntriesRequest<Types>>(kind, body) {
            Ok(rpc) => written(&raft.append_entries(rpc).await),
            Err(e) => Err(e),
        },
        "vote" => match read::<VoteRequest<u64>>(kind, body) {
            Ok(rpc) => written(&raft.vote(rpc).await),
            Err(e) => Err(e),
        },
        "snapshot" => match read::<InstallSnapshotRequest<Types>>(kind, body) {
            Ok(rpc) => written(&raft.install_snapshot(rpc).await),
            Err(e) => Err(e),
        },
        _ => return None,
    })
}
