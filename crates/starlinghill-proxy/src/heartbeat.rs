//! The ring of gateways on a socket: each says that it lives to those that watch it.

use starlinghill_failure_detector::{Heartbeat, PeerMonitor, PeerSighting, HEARTBEAT_INTERVAL};
use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::{interval, Instant, MissedTickBehavior};

/// The longest word on the ring, and the version of all of them.
const LONGEST: usize = 64;
const VERSION: u8 = 1;

/// This gateway's part in the ring.
pub struct Ring {
    start: Instant,
    watch: RefCell<PeerMonitor>,
    port: u16,
    beat: Heartbeat,
}

impl Ring {
    /// Of a gateway at that address, in that life of its process.
    pub fn new(at: SocketAddr, life: u64) -> Ring {
        let watch = RefCell::new(PeerMonitor::new(at.ip(), std::time::Duration::ZERO));
        Ring { start: Instant::now(), watch, port: at.port(), beat: Heartbeat { incarnation: life } }
    }

    /// These gateways there are.
    pub fn follow(&self, gateways: impl IntoIterator<Item = IpAddr>) {
        self.watch.borrow_mut().set_peers(gateways);
    }

    /// Of whom it heard.
    pub fn seen(&self) -> Vec<PeerSighting> {
        self.watch.borrow().recent_sightings(self.start.elapsed())
    }

    /// It hears nobody, where there are some to be heard.
    pub fn is_alone(&self) -> bool {
        self.watch.borrow().is_isolated(self.start.elapsed())
    }

    /// Tells and listens for ever.
    pub async fn run(self: Rc<Self>, socket: UdpSocket) {
        let mut word = vec![VERSION];
        word.extend(bitcode::encode(&self.beat));
        let mut pace = interval(HEARTBEAT_INTERVAL);
        pace.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = [0; LONGEST];
        loop {
            tokio::select! {
                _ = pace.tick() => {
                    let to = self.watch.borrow().heartbeat_targets();
                    for ip in to {
                        // What gets lost is said again.
                        let _ = socket.try_send_to(&word, SocketAddr::new(ip, self.port));
                    }
                }
                came = socket.recv_from(&mut buffer) => {
                    let Ok((length, from)) = came else { continue };
                    let Some((VERSION, body)) = buffer[..length].split_first().map(|(v, b)| (*v, b)) else {
                        continue;
                    };
                    if let Ok(beat) = bitcode::decode::<Heartbeat>(body) {
                        self.watch.borrow_mut().record_heartbeat(self.start.elapsed(), from.ip(), beat);
                    }
                }
            }
        }
    }
}
