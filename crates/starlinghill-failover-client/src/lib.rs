//! The group's protocol and its clients: [`subscription`] is how a gateway follows, [`client`] how operators give orders.
//! Whoever links this needs nothing of the replicated log.

pub mod client;
pub mod report;
pub mod subscription;
pub mod wall_clock;

/// The types of `proto/group.proto`.
#[allow(missing_docs, clippy::doc_markdown)]
pub mod proto {
    tonic::include_proto!("starlinghill.group.v1");
}

use starlinghill_failover::Position;

impl From<Position> for proto::At {
    fn from(p: Position) -> proto::At {
        proto::At { generation: p.generation, epoch: p.epoch }
    }
}

impl From<proto::At> for Position {
    fn from(at: proto::At) -> Position {
        Position { generation: at.generation, epoch: at.epoch }
    }
}
