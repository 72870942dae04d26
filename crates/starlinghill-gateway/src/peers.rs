//! Messages between gateways over UDP, one datagram each. They may be lost or late.

use crate::inbox::{DriverSender, Input, PeerSender};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tracing::warn;

/// Longest message in bytes. The platform does not allow longer ones.
const MAX_MESSAGE_BYTES: usize = 256;
/// Interval between attempts to open the socket while another process holds it.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The addresses of all gateways, including this one, indexed by their numbers.
#[derive(Debug, Clone, PartialEq)]
pub struct Peers {
    /// The address on which this gateway receives messages.
    pub listen: SocketAddr,
    /// The address to which each gateway is sent messages, and from which its messages come.
    pub all: Vec<SocketAddr>,
    /// This gateway's own number.
    pub own_number: usize,
    /// How many messages per second are accepted from all gateways together. Further ones are dropped.
    pub per_s: f64,
}

impl Peers {
    /// The number of the gateway that sends from this address, if it is another gateway. Others could give
    /// away shares of quotas with forged messages.
    pub fn number(&self, from: SocketAddr) -> Option<u32> {
        let at = self.all.iter().position(|peer| *peer == from)?;
        u32::try_from(at).ok().filter(|_| at != self.own_number)
    }
}

/// The UDP socket for messages.
pub struct PeerSocket {
    socket: UdpSocket,
    peers: Peers,
}

impl PeerSocket {
    /// Opens the socket; fails if another process holds it.
    pub async fn open(peers: &Peers) -> std::io::Result<PeerSocket> {
        let (socket, peers) = (UdpSocket::bind(peers.listen).await?, peers.clone());
        // `try_send_to` fails until readiness was awaited once.
        socket.writable().await?;
        Ok(PeerSocket { socket, peers })
    }

    /// Opens the socket once it is free: the process that this one replaces holds it until it ends. Until
    /// then no messages are sent or received, as if all were lost.
    pub async fn open_later(peers: &Peers) -> PeerSocket {
        loop {
            match PeerSocket::open(peers).await {
                Ok(socket) => return socket,
                Err(_) => tokio::time::sleep(OPEN_RETRY_INTERVAL).await,
            }
        }
    }

    /// The address on which this gateway receives messages.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Passes the messages received to the driver, forever.
    pub async fn receive(self: Rc<PeerSocket>, driver: DriverSender) {
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        let mut accepted: VecDeque<Instant> = VecDeque::new();
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(problem) => {
                    // ConnectionRefused means that an earlier message was sent to a closed port. Other errors
                    // may persist, so the loop pauses.
                    if problem.kind() != std::io::ErrorKind::ConnectionRefused {
                        warn!(%problem, "could not receive a message from another gateway");
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                    continue;
                }
            };
            let Some(from) = self.peers.number(from).filter(|_| length <= MAX_MESSAGE_BYTES) else {
                continue;
            };
            // Limits the rate for a peer that sends without end.
            let now = Instant::now();
            while accepted.front().is_some_and(|at| now - *at > Duration::from_secs(1)) {
                accepted.pop_front();
            }
            if accepted.len() as f64 >= self.peers.per_s {
                continue;
            }
            accepted.push_back(now);
            if driver.send(Input::PeerMessage(from, buffer[..length].to_vec())).await.is_err() {
                return;
            }
        }
    }
}

impl PeerSender for PeerSocket {
    fn send(&self, to: u32, message: &[u8]) {
        let to = usize::try_from(to).ok().and_then(|to| self.peers.all.get(to));
        if let (Some(to), true) = (to, message.len() <= MAX_MESSAGE_BYTES) {
            let _ = self.socket.try_send_to(message, *to);
        }
    }
}
