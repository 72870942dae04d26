//! Messages between gateways: one datagram each, lost or late as it happens.

use crate::inbox::{DriverSender, Input, PeerSender};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tracing::warn;

/// The longest message; more voids the run.
const LONGEST: usize = 256;
/// How often the socket is tried for while another process holds it.
const OPEN_AGAIN: Duration = Duration::from_millis(100);

/// Where the other gateways are, by their numbers, this one among them.
#[derive(Debug, Clone, PartialEq)]
pub struct Peers {
    /// Where messages for this gateway arrive.
    pub listen: SocketAddr,
    /// Where each gateway is told something, and where what it says comes from.
    pub all: Vec<SocketAddr>,
    /// This gateway's number.
    pub me: usize,
    /// Messages a second that are taken in, from all together; more are dropped unread.
    pub per_s: f64,
}

impl Peers {
    /// The gateway at this address. Guards against shares that a stranger gives away: one who is no peer is nobody.
    pub fn number(&self, from: SocketAddr) -> Option<u32> {
        let at = self.all.iter().position(|peer| *peer == from)?;
        u32::try_from(at).ok().filter(|_| at != self.me)
    }
}

/// The socket over which messages go.
pub struct Socket {
    socket: UdpSocket,
    peers: Peers,
}

impl Socket {
    /// Opens it.
    pub async fn open(peers: &Peers) -> std::io::Result<Socket> {
        let (socket, peers) = (UdpSocket::bind(peers.listen).await?, peers.clone());
        // Until this was awaited once, `try_send_to` would not know that it may send.
        socket.writable().await?;
        Ok(Socket { socket, peers })
    }

    /// Opens it once it is free: the process that this one takes over from has it until it ends. Until then this one says
    /// and hears nothing, as if all messages were lost.
    pub async fn open_later(peers: &Peers) -> Socket {
        loop {
            match Socket::open(peers).await {
                Ok(socket) => return socket,
                Err(_) => tokio::time::sleep(OPEN_AGAIN).await,
            }
        }
    }

    /// Where messages for this gateway arrive.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Tells the driver of what comes, for ever.
    pub async fn receive(self: Rc<Socket>, inbox: DriverSender) {
        let mut buffer = [0; LONGEST + 1];
        let mut taken: VecDeque<Instant> = VecDeque::new();
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(problem) => {
                    // An earlier message met a closed port; on other trouble there must be no spinning.
                    if problem.kind() != std::io::ErrorKind::ConnectionRefused {
                        warn!(%problem, "a message was not received");
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                    continue;
                }
            };
            let Some(from) = self.peers.number(from).filter(|_| length <= LONGEST) else { continue };
            // Guards against a peer that sends without end.
            let now = Instant::now();
            while taken.front().is_some_and(|at| now - *at > Duration::from_secs(1)) {
                taken.pop_front();
            }
            if taken.len() as f64 >= self.peers.per_s {
                continue;
            }
            taken.push_back(now);
            if inbox.send(Input::Peer(from, buffer[..length].to_vec())).await.is_err() {
                return;
            }
        }
    }
}

impl PeerSender for Socket {
    fn send(&self, to: u32, message: &[u8]) {
        let to = usize::try_from(to).ok().and_then(|to| self.peers.all.get(to));
        if let (Some(to), true) = (to, message.len() <= LONGEST) {
            let _ = self.socket.try_send_to(message, *to);
        }
    }
}
