//! Links between real processes, one for each directed pair of zones, on loopback addresses. A process that is to
//! reach another gets the address of a link in its place; what goes through can be cut, delayed, slowed to a trickle,
//! reset, lost or doubled, either way by itself, and healed again. What a cut holds back comes late after it heals, as
//! with any network that sends again; sockets stay open meanwhile.

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

/// Bytes read at once.
const PIECE: usize = 16 * 1024;
/// Pieces that one direction of a connection holds; then its sender waits.
const PIECES: usize = 64;
/// Bytes of a datagram.
const DATAGRAM: usize = 64 * 1024;

/// How a link is.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Condition {
    /// Nothing comes through.
    pub cut: bool,
    /// All comes so much later, in milliseconds.
    pub delay_ms: u64,
    /// No more bytes a second than these come through.
    pub bytes_per_s: Option<u64>,
    /// The part of datagrams that are lost.
    pub loss: f64,
    /// The part of datagrams that come twice.
    pub doubled: f64,
}

impl Default for Condition {
    fn default() -> Condition {
        Condition { cut: false, delay_ms: 0, bytes_per_s: None, loss: 0.0, doubled: 0.0 }
    }
}

/// The state of a link: its condition, and how often its connections were reset.
type State = (Condition, u64);
type Ends = (String, String);

/// All links. They end when this is dropped.
pub struct Links {
    links: Arc<Mutex<BTreeMap<Ends, watch::Sender<State>>>>,
    rng: Mutex<fastrand::Rng>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Links {
    /// Links that are all whole. Which datagrams are lost follows from the seed.
    pub fn new(seed: u64) -> Links {
        let rng = Mutex::new(fastrand::Rng::with_seed(seed));
        Links { links: Arc::default(), rng, tasks: Mutex::default() }
    }

    fn with<T>(&self, from: &str, to: &str, work: impl FnOnce(&watch::Sender<State>) -> T) -> T {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry((from.into(), to.into()));
        work(link.or_insert_with(|| watch::channel((Condition::default(), 0)).0))
    }

    fn watch(&self, from: &str, to: &str) -> watch::Receiver<State> {
        self.with(from, to, watch::Sender::subscribe)
    }

    /// Changes a link.
    pub fn change(&self, from: &str, to: &str, change: impl FnOnce(&mut Condition)) {
        self.with(from, to, |link| link.send_modify(|(condition, _)| change(condition)));
    }

    /// Nothing goes from one zone to the other any more.
    pub fn cut(&self, from: &str, to: &str) {
        self.change(from, to, |c| c.cut = true);
    }

    /// Ends the connections that go over a link.
    pub fn reset(&self, from: &str, to: &str) {
        self.with(from, to, |link| link.send_modify(|(_, resets)| *resets += 1));
    }

    /// All links are whole again.
    pub fn heal(&self) {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        for link in links.values() {
            link.send_modify(|(condition, _)| *condition = Condition::default());
        }
    }

    fn keep(&self, task: JoinHandle<()>) {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner).push(task);
    }

    /// Where a process of zone `from` reaches the TCP address of one of zone `to`.
    pub async fn tcp(&self, from: &str, to: &str, target: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("bound");
        let (there, back) = (self.watch(from, to), self.watch(to, from));
        self.keep(tokio::spawn(async move {
            // What it carries ends with it.
            let mut carried = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((client, _)) = accepted else { continue };
                        carried.spawn(carry(client, target, there.clone(), back.clone()));
                    }
                    Some(_) = carried.join_next(), if !carried.is_empty() => {}
                }
            }
        }));
        at
    }

    /// Where a process of zone `from` sends datagrams to the UDP address of one of zone `to`. Answers don't come back
    /// this way: each gateway writes to the others' own links.
    pub async fn udp(&self, from: &str, to: &str, target: SocketAddr) -> SocketAddr {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let at = socket.local_addr().expect("bound");
        let link = self.watch(from, to);
        let seed = self.rng.lock().unwrap_or_else(PoisonError::into_inner).u64(..);
        self.keep(tokio::spawn(async move {
            let socket = Arc::new(socket);
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut buffer = vec![0; DATAGRAM];
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
                        // Nobody there is as good as lost.
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
async fn is_reset(mut link: watch::Receiver<State>) {
    let before = link.borrow().1;
    if link.wait_for(|(_, resets)| *resets != before).await.is_err() {
        // The links are gone; their tasks end by themselves.
        std::future::pending::<()>().await;
    }
}

async fn is_whole(link: &mut watch::Receiver<State>) {
    let _ = link.wait_for(|(condition, _)| !condition.cut).await;
}

async fn carry(
    client: TcpStream,
    target: SocketAddr,
    there: watch::Receiver<State>,
    back: watch::Receiver<State>,
) {
    // A connection is made by packets that go both ways.
    let (mut to, mut from) = (there.clone(), back.clone());
    is_whole(&mut to).await;
    is_whole(&mut from).await;
    let Ok(server) = TcpStream::connect(target).await else {
        reset_on_drop(&client);
        return;
    };
    for stream in [&client, &server] {
        let _ = stream.set_nodelay(true);
    }
    let own: Vec<_> = [&client, &server].iter().filter_map(|s| s.as_fd().try_clone_to_owned().ok()).collect();
    // Halves that say nothing when they are dropped; the stream's own would end it in order, and not reset it.
    let (client_in, client_out) = tokio::io::split(client);
    let (server_in, server_out) = tokio::io::split(server);
    let both = async {
        tokio::join!(pump(client_in, server_out, there.clone()), pump(server_in, client_out, back.clone()))
    };
    tokio::select! {
        // In order: what was written last is still on its way.
        _ = both => return,
        () = is_reset(there.clone()) => {}
        () = is_reset(back.clone()) => {}
    }
    own.iter().for_each(reset_on_drop);
}

fn reset_on_drop(socket: &impl AsFd) {
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// One direction of a connection.
async fn pump(mut from: ReadHalf<TcpStream>, mut to: WriteHalf<TcpStream>, mut link: watch::Receiver<State>) {
    let (tx, mut rx) = mpsc::channel::<(Instant, Vec<u8>)>(PIECES);
    let reading = {
        let link = link.clone();
        async move {
            let mut buffer = vec![0; PIECE];
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
            is_whole(&mut link).await;
            let rate = link.borrow().0.bytes_per_s;
            for piece in bytes.chunks(rate.map_or(PIECE, |r| (r as usize / 20).max(1))) {
                is_whole(&mut link).await;
                if to.write_all(piece).await.is_err() {
                    return;
                }
                if let Some(rate) = rate {
                    tokio::time::sleep(Duration::from_secs_f64(piece.len() as f64 / rate as f64)).await;
                }
            }
        }
        is_whole(&mut link).await;
        let _ = to.shutdown().await;
    };
    let _ends = tokio::join!(reading, writing);
}
