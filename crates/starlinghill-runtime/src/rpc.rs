//! Remote calls between processes of the system: a request, a response and a time limit. Every request must be safe
//! to repeat, because a call may be retried.

use crate::frame::{self, Reader};
use crate::net::{Listener, NetworkHandle, Stream};
use bitcode::{DecodeOwned, Encode};
use snafu::Snafu;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The server closes a connection that was idle for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for connecting. A SYN that is lost is repeated only after a second or more, so waiting longer is of little
/// use.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay after a failed accept, so that a lack of file descriptors causes no busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum RpcError {
    /// No answer within the time limit.
    #[snafu(display("no answer in time"))]
    Timeout,
    /// The connection could not be opened, or broke.
    #[snafu(display("{source}"))]
    Broken {
        /// The underlying error.
        source: io::Error,
    },
}

impl RpcError {
    /// The request was certainly not sent, because no connection was opened.
    pub fn is_not_sent(&self) -> bool {
        use io::ErrorKind::{ConnectionRefused, TimedOut};
        matches!(self, RpcError::Broken { source } if matches!(source.kind(), ConnectionRefused | TimedOut))
    }
}

/// A client of one port of another process. Calls are made one after the other on one connection.
pub struct RpcClient {
    net: NetworkHandle,
    address: SocketAddr,
    connection: Mutex<Option<(Stream, Reader)>>,
}

impl RpcClient {
    /// Creates a client; the connection is opened by the first call.
    pub fn new(net: &NetworkHandle, address: SocketAddr) -> RpcClient {
        RpcClient { net: net.clone(), address, connection: Mutex::new(None) }
    }

    /// The address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the response, up to `within`. If a reused connection turns out to be dead, the
    /// call is retried once on a new one.
    pub async fn call<Q: Encode, A: DecodeOwned>(
        &self,
        request: &Q,
        within: Duration,
    ) -> Result<A, RpcError> {
        let exchange = async {
            let mut connection = self.connection.lock().await;
            loop {
                // The connection is taken out during the call. A cancelled call thereby closes it, so that a late
                // response can't be taken for that of a later request.
                let (mut current, reused) = match connection.take() {
                    Some(current) => (current, true),
                    None => {
                        let connecting = timeout(CONNECT_TIMEOUT, self.net.connect(self.address));
                        let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
                        stream.tune();
                        ((stream, Reader::default()), false)
                    }
                };
                let answer = match frame::write(&mut current.0, request).await {
                    Ok(()) => current.1.read(&mut current.0).await,
                    Err(error) => Err(error),
                };
                match answer {
                    Ok(Some(answer)) => {
                        *connection = Some(current);
                        return Ok(answer);
                    }
                    Ok(None) | Err(_) if reused => {}
                    Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
                    Err(error) => return Err(error),
                }
            }
        };
        match timeout(within, exchange).await {
            Ok(answer) => answer.map_err(|source| RpcError::Broken { source }),
            Err(_) => Err(RpcError::Timeout),
        }
    }
}

/// Serves calls until the process ends; calls on one connection are handled one after the other. At most `max_peers`
/// connections are open.
///
/// If `cancel_on_disconnect` is true for a request, its handling is cancelled once the caller disconnects. The caller
/// may then have been rejected elsewhere, and the request must not take effect after that.
pub async fn serve<Q, A, F, W>(
    listener: Box<dyn Listener>,
    max_peers: usize,
    cancel_on_disconnect: impl Fn(&Q) -> bool + 'static,
    answer: F,
) where
    Q: DecodeOwned + 'static,
    A: Encode + 'static,
    F: Fn(Q, SocketAddr) -> W + 'static,
    W: Future<Output = A> + 'static,
{
    let (answer, cancel_on_disconnect, peers) =
        (Rc::new(answer), Rc::new(cancel_on_disconnect), Rc::new(Cell::new(0usize)));
    loop {
        let (mut stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // Protects the file descriptors: further peers are disconnected and try again.
        if peers.get() >= max_peers {
            continue;
        }
        stream.tune();
        peers.set(peers.get() + 1);
        let (answer, cancel_on_disconnect, peers) =
            (answer.clone(), cancel_on_disconnect.clone(), peers.clone());
        spawn_local(async move {
            let mut reader = Reader::default();
            loop {
                let request = match timeout(IDLE_TIMEOUT, reader.read(&mut stream)).await {
                    Ok(Ok(Some(request))) => request,
                    Ok(Err(error)) if error.kind() == io::ErrorKind::InvalidData => {
                        log::warn!("event=nonsense from={from} error=\"{error}\"");
                        break;
                    }
                    _ => break,
                };
                let cancellable = cancel_on_disconnect(&request);
                let answer = answer(request, from);
                let answer = match cancellable {
                    true => reader.run_while_connected(&mut stream, answer).await,
                    false => Some(answer.await),
                };
                let Some(answer) = answer else { break };
                if frame::write(&mut stream, &answer).await.is_err() {
                    break;
                }
            }
            peers.set(peers.get() - 1);
        });
    }
}
