//! Calls between the system's own processes: a question, an answer, a time limit. Every call may be made again.

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

/// A connection on which nothing is asked for so long is ended by who serves it.
const IDLE: Duration = Duration::from_secs(60);
/// A machine that does not take a connection for so long is away: its opening packet is sent again only after seconds.
const CONNECT: Duration = Duration::from_millis(300);
/// The pause after an accept that failed.
const PAUSE: Duration = Duration::from_millis(20);

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum RpcError {
    /// Nothing came in time.
    #[snafu(display("no answer in time"))]
    Timeout,
    /// The connection could not be made, or broke.
    #[snafu(display("{source}"))]
    Broken {
        /// How.
        source: io::Error,
    },
}

impl RpcError {
    /// There was no connection, so that nothing was asked.
    pub fn is_not_sent(&self) -> bool {
        use io::ErrorKind::{ConnectionRefused, TimedOut};
        matches!(self, RpcError::Broken { source } if matches!(source.kind(), ConnectionRefused | TimedOut))
    }
}

/// The way to one port of another process; calls go one after the other.
pub struct RpcClient {
    net: NetworkHandle,
    address: SocketAddr,
    line: Mutex<Option<(Stream, Reader)>>,
}

impl RpcClient {
    /// To that address over a network; nothing is connected yet.
    pub fn new(net: &NetworkHandle, address: SocketAddr) -> RpcClient {
        RpcClient { net: net.clone(), address, line: Mutex::new(None) }
    }

    /// Where it leads.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks, and waits so long for the answer. A kept connection that turns out to be dead is replaced once.
    pub async fn call<Q: Encode, A: DecodeOwned>(
        &self,
        question: &Q,
        within: Duration,
    ) -> Result<A, RpcError> {
        let asked = async {
            let mut line = self.line.lock().await;
            loop {
                // Taken out for the time of the call: one that is given up ends its connection, so that its late answer
                // meets no later question.
                let (mut kept, reused) = match line.take() {
                    Some(kept) => (kept, true),
                    None => {
                        let connecting = timeout(CONNECT, self.net.connect(self.address));
                        let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
                        stream.tune();
                        ((stream, Reader::default()), false)
                    }
                };
                let answer = match frame::write(&mut kept.0, question).await {
                    Ok(()) => kept.1.read(&mut kept.0).await,
                    Err(error) => Err(error),
                };
                match answer {
                    Ok(Some(answer)) => {
                        *line = Some(kept);
                        return Ok(answer);
                    }
                    Ok(None) | Err(_) if reused => {}
                    Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
                    Err(error) => return Err(error),
                }
            }
        };
        match timeout(within, asked).await {
            Ok(answer) => answer.map_err(|source| RpcError::Broken { source }),
            Err(_) => Err(RpcError::Timeout),
        }
    }
}

/// Serves calls for ever, those of one connection one after the other. So many peers may be connected. What `gives_up` names
/// is given up where it stands once its caller has hung up: it may have been refused elsewhere since, and must not be done
/// after that.
pub async fn serve<Q, A, F, W>(
    listener: Box<dyn Listener>,
    max_peers: usize,
    gives_up: impl Fn(&Q) -> bool + 'static,
    answer: F,
) where
    Q: DecodeOwned + 'static,
    A: Encode + 'static,
    F: Fn(Q, SocketAddr) -> W + 'static,
    W: Future<Output = A> + 'static,
{
    let (answer, gives_up, peers) = (Rc::new(answer), Rc::new(gives_up), Rc::new(Cell::new(0usize)));
    loop {
        let (mut stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        // Guards descriptors: whoever comes beyond this is told so by the end of the connection, and is back in a moment.
        if peers.get() >= max_peers {
            continue;
        }
        stream.tune();
        peers.set(peers.get() + 1);
        let (answer, gives_up, peers) = (answer.clone(), gives_up.clone(), peers.clone());
        spawn_local(async move {
            let mut reader = Reader::default();
            loop {
                let question = match timeout(IDLE, reader.read(&mut stream)).await {
                    Ok(Ok(Some(question))) => question,
                    Ok(Err(error)) if error.kind() == io::ErrorKind::InvalidData => {
                        log::warn!("event=nonsense from={from} error=\"{error}\"");
                        break;
                    }
                    _ => break,
                };
                let given_up = gives_up(&question);
                let answer = answer(question, from);
                let answer = match given_up {
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
