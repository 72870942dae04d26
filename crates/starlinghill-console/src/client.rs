//! Questions to registries: their own port for how things stand, the outside calls for items.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use snafu::Snafu;
use starlinghill_registry::wire::{RegistryRequest, RegistryResponse, RegistryStatus};
use starlinghill_runtime::net;
use starlinghill_runtime::rpc::RpcClient;
use starlinghill_runtime::settings::NodeSettings;
use starlinghill_runtime::{CONFIG_STORE_PORT_OFFSET, REGISTRY_PORT_OFFSET};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long one process may take.
pub const PATIENCE: Duration = Duration::from_secs(2);
/// The longest list of items that is read.
const LONGEST: usize = 16 << 20;

/// Why something can't be had.
#[derive(Debug, Snafu)]
pub enum AskError {
    /// No registry answered.
    #[snafu(display("no registry answered: asked {asked}"))]
    Silent {
        /// Which.
        asked: String,
    },
    /// A registry refused it.
    #[snafu(display("refused with {status}: {reason}"))]
    Refused {
        /// The status.
        status: u16,
        /// What it said.
        reason: String,
    },
    /// What came makes no sense.
    #[snafu(display("{what}"))]
    Nonsense {
        /// What.
        what: String,
    },
}

/// Where registries are.
#[derive(Debug, Clone)]
pub struct Places {
    /// Their own ports.
    pub racks: Vec<SocketAddr>,
    /// The stores beside them.
    pub stores: Vec<SocketAddr>,
    /// Where they are called from outside.
    pub controls: Vec<SocketAddr>,
}

impl Places {
    /// As a machine's settings tell.
    pub fn of(node: &NodeSettings) -> Places {
        let racks =
            node.seeds.iter().map(|seed| node.internal_address(seed.ip(), REGISTRY_PORT_OFFSET)).collect();
        let stores = node
            .seeds
            .iter()
            .map(|seed| node.internal_address(seed.ip(), CONFIG_STORE_PORT_OFFSET))
            .collect();
        Places { racks, stores, controls: node.seeds.clone() }
    }

    /// How things stand at each registry, in their order; `None` where one does not answer.
    pub async fn statuses(&self) -> Vec<(SocketAddr, Option<RegistryStatus>)> {
        let mut all = Vec::new();
        for rack in &self.racks {
            let status =
                match RpcClient::new(&net::tcp(), *rack).call(&RegistryRequest::Status, PATIENCE).await {
                    Ok(RegistryResponse::Status(status)) => Some(*status),
                    _ => None,
                };
            all.push((*rack, status));
        }
        all
    }

    /// Has a backend take no new work: said once a majority of registries knows. Returns how many do.
    pub async fn drain(&self, id: &str) -> Result<usize, AskError> {
        let (mut noted, mut unknown) = (0, 0);
        for rack in &self.racks {
            match RpcClient::new(&net::tcp(), *rack)
                .call(&RegistryRequest::DrainBackend(id.into()), PATIENCE)
                .await
            {
                Ok(RegistryResponse::Acknowledged) => noted += 1,
                Ok(RegistryResponse::UnknownBackend) => unknown += 1,
                _ => {}
            }
        }
        if noted > self.racks.len() / 2 {
            return Ok(noted);
        }
        let all = self.racks.len();
        let what =
            format!("{noted} of {all} registries noted it, {unknown} know no backend {id}: not certain");
        Err(AskError::Nonsense { what })
    }

    /// All items that stand.
    pub async fn items(&self) -> Result<OwnedValue, AskError> {
        let body = self.outside(Method::GET, Bytes::new()).await?;
        simd_json::to_owned_value(&mut body.to_vec())
            .map_err(|error| AskError::Nonsense { what: format!("the items: {error}") })
    }

    /// Sends a change as it is.
    pub async fn apply(&self, change: Vec<u8>) -> Result<(), AskError> {
        self.outside(Method::PATCH, change.into()).await.map(drop)
    }

    /// Calls registries in turn until one answers clearly.
    async fn outside(&self, method: Method, body: Bytes) -> Result<Bytes, AskError> {
        let mut last = None;
        for control in &self.controls {
            let called = timeout(PATIENCE, call(*control, method.clone(), body.clone()));
            let Ok(Some((status, body))) = called.await else { continue };
            if status.is_success() {
                return Ok(body);
            }
            let reason = simd_json::to_owned_value(&mut body.to_vec()).ok();
            let reason = reason.and_then(|v| v.get("error").and_then(|v| v.as_str()).map(str::to_string));
            let reason = reason.unwrap_or_else(|| String::from_utf8_lossy(&body).into_owned());
            let refused = AskError::Refused { status: status.as_u16(), reason };
            if status.is_client_error() {
                return Err(refused);
            }
            last = Some(refused);
        }
        let asked = self.controls.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
        Err(last.unwrap_or(AskError::Silent { asked }))
    }
}

async fn call(to: SocketAddr, method: Method, body: Bytes) -> Option<(StatusCode, Bytes)> {
    let stream = TcpStream::connect(to).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let request = Request::builder()
        .method(method)
        .uri("/api/config")
        .header("host", to.to_string())
        .header("content-type", "application/json")
        .body(Full::new(body))
        .ok()?;
    let answered = async {
        let (head, body) = sender.send_request(request).await.ok()?.into_parts();
        let body = Limited::new(body, LONGEST).collect().await.ok()?.to_bytes();
        Some((head.status, body))
    };
    tokio::select! {
        answer = answered => answer,
        // It may end right behind its answer.
        _ = async { let _ = connection.await; std::future::pending::<()>().await } => None,
    }
}
