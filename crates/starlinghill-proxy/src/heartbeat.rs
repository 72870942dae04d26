//! Heartbeats between gateways over UDP. Each gateway sends to those that monitor it, as `PeerMonitor` arranges them in
//! a ring.

use starlinghill_failure_detector::{Heartbeat, PeerMonitor, PeerSighting, HEARTBEAT_INTERVAL};
use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Maximum length of a heartbeat datagram, in bytes, and the version in its first byte.
const MAX_DATAGRAM_BYTES: usize = 64;
const HEARTBEAT_VERSION: u8 = 1;

/// Sends this gateway's heartbeats and receives those of the gateways that it watches.
pub struct HeartbeatRing {
    start: Instant,
    monitor: RefCell<PeerMonitor>,
    port: u16,
    heartbeat: Heartbeat,
}

impl HeartbeatRing {
    /// `at` is the address that this gateway listens on; its port is also that of all others. `incarnation` is a
    /// random number drawn at process start.
    pub fn new(at: SocketAddr, incarnation: u64) -> HeartbeatRing {
        let monitor = RefCell::new(PeerMonitor::new(at.ip(), std::time::Duration::ZERO));
        HeartbeatRing {
            start: Instant::now(),
            monitor,
            port: at.port(),
            heartbeat: Heartbeat { incarnation },
        }
    }

    /// Sets the addresses of all gateways.
    pub fn follow(&self, gateways: impl IntoIterator<Item = IpAddr>) {
        self.monitor.borrow_mut().set_peers(gateways);
    }

    /// The gateways that it received heartbeats of, and how long ago.
    pub fn sightings(&self) -> Vec<PeerSighting> {
        self.monitor.borrow().recent_sightings(self.start.elapsed())
    }

    /// True if there are other gateways but none of them is heard.
    pub fn is_isolated(&self) -> bool {
        self.monitor.borrow().is_isolated(self.start.elapsed())
    }

    /// Sends and receives heartbeats until the process ends.
    pub async fn run(self: Rc<Self>, socket: UdpSocket) {
        let mut datagram = vec![HEARTBEAT_VERSION];
        datagram.extend(bitcode::encode(&self.heartbeat));
        let mut ticks = interval(HEARTBEAT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    let watchers = self.monitor.borrow().heartbeat_targets();
                    for ip in watchers {
                        // A lost heartbeat is made up for by the next.
                        let _ = socket.try_send_to(&datagram, SocketAddr::new(ip, self.port));
                    }
                }
                received = socket.recv_from(&mut buffer) => {
                    let Ok((length, from)) = received else { continue };
                    let Some((HEARTBEAT_VERSION, body)) = buffer[..length].split_first().map(|(v, b)| (*v, b)) else {
                        continue;
                    };
                    if let Ok(heartbeat) = bitcode::decode::<Heartbeat>(body) {
                        self.monitor.borrow_mut().record_heartbeat(self.start.elapsed(), from.ip(), heartbeat);
                    }
                }
            }
        }
    }
}
