//! The group's protocol and its clients. A gateway follows the group through [`subscription`], and operators submit orders
//! through [`client`]. This package does not depend on the replicated log.

pub mod client;
pub mod report;
pub mod subscription;
pub mod wall_clock;

/// The types generated from `proto/group.proto`.
#[allow(missing_docs, clippy::doc_markdown)]
pub mod proto {
    tonic::include_proto!("starlinghill.group.v1");
}

use starlinghill_failover::Position;

impl From<Position> for proto::At {
    fn from(position: Position) -> proto::At {
        proto::At { generation: position.generation, epoch: position.epoch }
    }
}

impl From<proto::At> for Position {
    fn from(at: proto::At) -> Position {
        Position { generation: at.generation, epoch: at.epoch }
    }
}
