//! Client of the registries: their internal RPC port for status and drains, their HTTP API for configuration items.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use snafu::Snafu;
use starlinghill_config_model::nested_json;
use starlinghill_registry::wire::{RegistryRequest, RegistryResponse, RegistryStatus};
use starlinghill_runtime::net;
use starlinghill_runtime::rpc::RpcClient;
use starlinghill_runtime::settings::NodeSettings;
use starlinghill_runtime::{CONFIG_STORE_PORT_OFFSET, REGISTRY_PORT_OFFSET};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long one registry or store may take to answer.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest HTTP response body that is read, in bytes. Guards memory.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a request of the console failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// No registry answered.
    #[snafu(display("no registry answered: asked {asked}"))]
    Silent {
        /// The addresses that were tried.
        asked: String,
    },
    /// A registry answered with an HTTP error.
    #[snafu(display("refused with {status}: {reason}"))]
    Refused {
        /// The HTTP status code.
        status: u16,
        /// The error text of the response.
        reason: String,
    },
    /// A registry or a store closed the connection instead of answering an order.
    #[snafu(display(
        "{address} closed the connection under the order and may have ended because of it: the order may have taken effect, and was sent to no other one"
    ))]
    ConnectionLost {
        /// The address that was called.
        address: SocketAddr,
    },
    /// No store carried out an order, and one that received it gave no answer.
    #[snafu(display("{problem}; {address} gave no answer and may still carry the order out"))]
    Unclear {
        /// What another store answered.
        problem: String,
        /// The address without an answer.
        address: SocketAddr,
    },
    /// Anything else: wrong arguments, an unreadable file, or an answer that can't be used.
    #[snafu(display("{problem}"))]
    Other {
        /// The message for the operator.
        problem: String,
    },
}

/// The addresses of the registries and of the stores on the same machines.
#[derive(Debug, Clone)]
pub struct RegistryClient {
    /// The registries' internal RPC addresses.
    pub registries: Vec<SocketAddr>,
    /// The RPC addresses of the configuration stores.
    pub stores: Vec<SocketAddr>,
    /// The addresses of the registries' HTTP API.
    pub http_addresses: Vec<SocketAddr>,
}

impl RegistryClient {
    /// Takes the addresses from the seeds in a machine's settings.
    pub fn of(node: &NodeSettings) -> RegistryClient {
        let ports = |offset| node.seeds.iter().map(|seed| node.internal_address(seed.ip(), offset)).collect();
        RegistryClient {
            registries: ports(REGISTRY_PORT_OFFSET),
            stores: ports(CONFIG_STORE_PORT_OFFSET),
            http_addresses: node.seeds.clone(),
        }
    }

    /// The status of each registry, in the order of the settings; `None` for one that does not answer.
    pub async fn statuses(&self) -> Vec<(SocketAddr, Option<RegistryStatus>)> {
        let mut all = Vec::new();
        for registry in &self.registries {
            let client = RpcClient::new(&net::tcp(), *registry);
            let status = match client.call(&RegistryRequest::Status, REQUEST_TIMEOUT).await {
                Ok(RegistryResponse::Status(status)) => Some(*status),
                _ => None,
            };
            all.push((*registry, status));
        }
        all
    }

    /// Tells all registries that a backend takes no new work. Succeeds once a majority has noted it, and returns how many
    /// did.
    pub async fn drain(&self, id: &str) -> Result<usize, ClientError> {
        let (mut noted, mut unknown) = (0, 0);
        for registry in &self.registries {
            let client = RpcClient::new(&net::tcp(), *registry);
            match client.call(&RegistryRequest::DrainBackend(id.into()), REQUEST_TIMEOUT).await {
                Ok(RegistryResponse::Acknowledged) => noted += 1,
                Ok(RegistryResponse::UnknownBackend) => unknown += 1,
                _ => {}
            }
        }
        if noted > self.registries.len() / 2 {
            return Ok(noted);
        }
        let all = self.registries.len();
        let problem = format!(
            "{noted} of {all} registries noted the drain, {unknown} know no backend {id}: it may not take effect"
        );
        Err(ClientError::Other { problem })
    }

    /// The current configuration items.
    pub async fn items(&self) -> Result<OwnedValue, ClientError> {
        let body = self.call_http(Method::GET, Bytes::new()).await?;
        nested_json::parse_pruned(&body)
            .map_err(|error| ClientError::Other { problem: format!("the items: {error}") })
    }

    /// Sends a configuration change unaltered.
    pub async fn apply(&self, change: Vec<u8>) -> Result<(), ClientError> {
        self.call_http(Method::PATCH, change.into()).await.map(drop)
    }

    /// Calls the registries in turn until one answers with success or with a 4xx status. A 5xx status is returned only if
    /// no other registry gives a definite answer. A change whose receiver closes the connection instead of answering is
    /// not sent to another one: the receiver may have ended because of it.
    async fn call_http(&self, method: Method, body: Bytes) -> Result<Bytes, ClientError> {
        let mut last = None;
        for address in &self.http_addresses {
            let called = timeout(REQUEST_TIMEOUT, call(*address, method.clone(), body.clone()));
            let (status, body) = match called.await {
                Ok(Ok(answer)) => answer,
                Ok(Err(CallFailure::ConnectionLost)) if method == Method::PATCH => {
                    return ConnectionLostSnafu { address: *address }.fail();
                }
                Ok(Err(_)) | Err(_) => continue,
            };
            if status.is_success() {
                return Ok(body);
            }
            let reason = nested_json::parse(&body).ok();
            let reason = reason.and_then(|v| v.get("error").and_then(|v| v.as_str()).map(str::to_string));
            let reason = reason.unwrap_or_else(|| String::from_utf8_lossy(&body).into_owned());
            let refused = ClientError::Refused { status: status.as_u16(), reason };
            if status.is_client_error() {
                return Err(refused);
            }
            last = Some(refused);
        }
        let asked = self.http_addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
        Err(last.unwrap_or(ClientError::Silent { asked }))
    }
}

/// Why an HTTP call got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallFailure {
    /// Nothing was sent.
    NotSent,
    /// The connection ended before the answer was complete.
    ConnectionLost,
}

async fn call(to: SocketAddr, method: Method, body: Bytes) -> Result<(StatusCode, Bytes), CallFailure> {
    let stream = TcpStream::connect(to).await.map_err(|_| CallFailure::NotSent)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| CallFailure::NotSent)?;
    let request = Request::builder()
        .method(method)
        .uri("/api/config")
        .header("host", to.to_string())
        .header("content-type", "application/json")
        .body(Full::new(body))
        .map_err(|_| CallFailure::NotSent)?;
    let answered = async {
        let response = sender.send_request(request).await.map_err(|_| CallFailure::ConnectionLost)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        Ok((head.status, body.map_err(|_| CallFailure::ConnectionLost)?.to_bytes()))
    };
    tokio::select! {
        answer = answered => answer,
        // The connection may close right after the response: never treat that as a failure while the body is being read.
        () = async { let _ = connection.await; std::future::pending::<()>().await } => {
            Err(CallFailure::ConnectionLost)
        }
    }
}
