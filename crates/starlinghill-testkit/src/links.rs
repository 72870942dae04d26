//! Proxies for the network links between real processes, one for each directed pair of zones, on loopback
//! addresses. A process is given the address of a link instead of the address of its peer. Each direction can
//! be cut, delayed, limited in rate, reset, or made to lose or duplicate datagrams, and healed again.
//!
//! TCP bytes that a cut holds back arrive after it heals, as with a network that retransmits; sockets stay open
//! meanwhile.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Bytes per read from a socket.
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks that one direction of a connection buffers. Reading pauses when the buffer is full, so the sender
/// sees back pressure.
const CHUNK_QUEUE_LEN: usize = 64;
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// The faults of one directed link.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Condition {
    /// Nothing passes: TCP bytes wait, datagrams are dropped.
    pub cut: bool,
    /// Added latency in milliseconds.
    pub delay_ms: u64,
    /// Limit on TCP throughput in bytes per second.
    pub bytes_per_s: Option<u64>,
    /// Probability from 0 to 1 that a datagram is lost.
    pub loss: f64,
    /// Probability from 0 to 1 that a datagram is delivered twice.
    pub doubled: f64,
}

impl Default for Condition {
    fn default() -> Condition {
        Condition { cut: false, delay_ms: 0, bytes_per_s: None, loss: 0.0, doubled: 0.0 }
    }
}

/// The condition of a link, and how often its connections were reset.
type LinkState = (Condition, u64);
/// Source and destination zone.
type ZonePair = (String, String);

/// All links of a test. Dropping this closes them.
pub struct Links {
    links: Arc<Mutex<BTreeMap<ZonePair, watch::Sender<LinkState>>>>,
    rng: Mutex<fastrand::Rng>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Links {
    /// Creates links without faults. The seed decides which datagrams are lost or duplicated.
    pub fn new(seed: u64) -> Links {
        let rng = Mutex::new(fastrand::Rng::with_seed(seed));
        Links { links: Arc::default(), rng, tasks: Mutex::default() }
    }

    fn with_link<T>(&self, from: &str, to: &str, work: impl FnOnce(&watch::Sender<LinkState>) -> T) -> T {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry((from.into(), to.into()));
        work(link.or_insert_with(|| watch::channel((Condition::default(), 0)).0))
    }

    fn watch(&self, from: &str, to: &str) -> watch::Receiver<LinkState> {
        self.with_link(from, to, watch::Sender::subscribe)
    }

    /// Changes the condition of a link from now on.
    pub fn change(&self, from: &str, to: &str, change: impl FnOnce(&mut Condition)) {
        self.with_link(from, to, |link| link.send_modify(|(condition, _)| change(condition)));
    }

    /// Stops all traffic from one zone to the other; the opposite direction is not affected.
    pub fn cut(&self, from: &str, to: &str) {
        self.change(from, to, |c| c.cut = true);
    }

    /// Resets all TCP connections that use the link in either direction of their traffic.
    pub fn reset(&self, from: &str, to: &str) {
        self.with_link(from, to, |link| link.send_modify(|(_, resets)| *resets += 1));
    }

    /// Removes all faults from all links.
    pub fn heal(&self) {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        for link in links.values() {
            link.send_modify(|(condition, _)| *condition = Condition::default());
        }
    }

    fn abort_on_drop(&self, task: JoinHandle<()>) {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner).push(task);
    }

    /// Opens a TCP link to `target`, an address in zone `to`. Returns the address that processes of zone `from`
    /// connect to.
    pub async fn tcp(&self, from: &str, to: &str, target: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let at = listener.local_addr().expect("bound");
        let (forward, backward) = (self.watch(from, to), self.watch(to, from));
        self.abort_on_drop(tokio::spawn(async move {
            // Aborting this task aborts its connections as well.
            let mut connections = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((client, _)) = accepted else { continue };
                        connections.spawn(forward_connection(client, target, forward.clone(), backward.clone()));
                    }
                    Some(_) = connections.join_next(), if !connections.is_empty() => {}
                }
            }
        }));
        at
    }

    /// Opens a UDP link to `target`, an address in zone `to`. Returns the address that processes of zone `from`
    /// send to. Replies do not come back through it: each gateway sends over its own links.
    pub async fn udp(&self, from: &str, to: &str, target: SocketAddr) -> SocketAddr {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let at = socket.local_addr().expect("bound");
        let link = self.watch(from, to);
        let seed = self.rng.lock().unwrap_or_else(PoisonError::into_inner).u64(..);
        self.abort_on_drop(tokio::spawn(async move {
            let socket = Arc::new(socket);
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            while let Ok((n, _)) = socket.recv_from(&mut buffer).await {
                let (condition, _) = *link.borrow();
                if condition.cut || rng.f64() < condition.loss {
                    continue;
                }
                let copies = if rng.f64() < condition.doubled { 2 } else { 1 };
                let (socket, datagram) = (socket.clone(), buffer[..n].to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(condition.delay_ms)).await;
                    for _ in 0..copies {
                        // A datagram to a closed socket counts as lost.
                        let _ = socket.send_to(&datagram, target).await;
                    }
                });
            }
        }));
        at
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        for task in self.tasks.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            task.abort();
        }
    }
}

/// Resolves when the connections of a link are reset.
async fn wait_for_reset(mut link: watch::Receiver<LinkState>) {
    let before = link.borrow().1;
    if link.wait_for(|(_, resets)| *resets != before).await.is_err() {
        // `Links` was dropped, which aborts the tasks of this link.
        std::future::pending::<()>().await;
    }
}

async fn wait_until_healed(link: &mut watch::Receiver<LinkState>) {
    let _ = link.wait_for(|(condition, _)| !condition.cut).await;
}

async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    forward: watch::Receiver<LinkState>,
    backward: watch::Receiver<LinkState>,
) {
    // A TCP handshake needs packets in both directions.
    let (mut to, mut from) = (forward.clone(), backward.clone());
    wait_until_healed(&mut to).await;
    wait_until_healed(&mut from).await;
    let Ok(server) = TcpStream::connect(target).await else {
        reset_on_drop(&client);
        return;
    };
    for stream in [&client, &server] {
        let _ = stream.set_nodelay(true);
    }
    let sockets: Vec<_> =
        [&client, &server].iter().filter_map(|s| s.as_fd().try_clone_to_owned().ok()).collect();
    // Tokio's own halves shut the connection down in order when dropped, which would hide the reset from the
    // peers.
    let (client_in, client_out) = tokio::io::split(client);
    let (server_in, server_out) = tokio::io::split(server);
    let both = async {
        tokio::join!(
            pump(client_in, server_out, forward.clone()),
            pump(server_in, client_out, backward.clone())
        )
    };
    tokio::select! {
        // Both directions ended in order, and bytes may still be in flight: closing normally delivers them.
        _ = both => return,
        () = wait_for_reset(forward.clone()) => {}
        () = wait_for_reset(backward.clone()) => {}
    }
    sockets.iter().for_each(reset_on_drop);
}

fn reset_on_drop(socket: &impl AsFd) {
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// Copies one direction of a connection and applies the link's condition.
async fn pump(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    mut link: watch::Receiver<LinkState>,
) {
    let (tx, mut rx) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNK_QUEUE_LEN);
    let reading = {
        let link = link.clone();
        async move {
            let mut buffer = vec![0; CHUNK_BYTES];
            while let Ok(n) = from.read(&mut buffer).await {
                let delay = Duration::from_millis(link.borrow().0.delay_ms);
                if n == 0 || tx.send((Instant::now() + delay, buffer[..n].to_vec())).await.is_err() {
                    break;
                }
            }
            from
        }
    };
    let writing = async move {
        while let Some((due, bytes)) = rx.recv().await {
            tokio::time::sleep_until(due).await;
            wait_until_healed(&mut link).await;
            let rate = link.borrow().0.bytes_per_s;
            // A twentieth of the rate per write spreads the bytes evenly over each second.
            for chunk in bytes.chunks(rate.map_or(CHUNK_BYTES, |r| (r as usize / 20).max(1))) {
                wait_until_healed(&mut link).await;
                if to.write_all(chunk).await.is_err() {
                    return;
                }
                if let Some(rate) = rate {
                    tokio::time::sleep(Duration::from_secs_f64(chunk.len() as f64 / rate as f64)).await;
                }
            }
        }
        wait_until_healed(&mut link).await;
        let _ = to.shutdown().await;
    };
    // The halves stay open until both futures are done.
    let _halves = tokio::join!(reading, writing);
}
