//! Network partitions between real processes. Calls between the system's own processes go through a network
//! whose links can be cut, one direction at a time, by a file that all processes of a test read. This needs no
//! rights over the machine's network.
//!
//! Bytes that a cut holds back arrive after it ends, as with a kernel that retransmits. The connecting side
//! applies the cuts of both directions, as only it knows both addresses. Datagrams are not cut.

use starlinghill_runtime::net::{tcp, Connection, IoFuture, Listener, Network, NetworkHandle, Stream};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How often a process reads the file.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A directed link: the addresses of the sending and of the receiving machine.
pub type Direction = (IpAddr, IpAddr);

/// Replaces the set of links that are cut.
pub fn write(file: &Path, cuts: &BTreeSet<Direction>) -> io::Result<()> {
    let lines: String = cuts.iter().map(|(from, to)| format!("{from} {to}\n")).collect();
    // Renamed into place, as processes may read the file at any moment.
    let next = file.with_extension("next");
    std::fs::write(&next, lines)?;
    std::fs::rename(next, file)
}

fn read(file: &Path) -> BTreeSet<Direction> {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let direction = |line: &str| {
        let (from, to) = line.split_once(' ')?;
        Some((from.parse().ok()?, to.parse().ok()?))
    };
    text.lines().filter_map(direction).collect()
}

/// The cuts as last read by this process, and the tasks that wait for their end.
#[derive(Default)]
struct Cuts {
    directions: RefCell<BTreeSet<Direction>>,
    waiting: RefCell<Vec<Waker>>,
}

impl Cuts {
    fn is_cut(&self, direction: Direction) -> bool {
        self.directions.borrow().contains(&direction)
    }

    /// Returns whether the link is cut. If it is, the task is woken at the next change of the cuts.
    fn poll_is_cut(&self, direction: Direction, context: &Context) -> bool {
        let is_cut = self.is_cut(direction);
        if is_cut {
            self.waiting.borrow_mut().push(context.waker().clone());
        }
        is_cut
    }

    fn update(&self, directions: BTreeSet<Direction>) {
        if *self.directions.borrow() != directions {
            *self.directions.borrow_mut() = directions;
            self.waiting.take().into_iter().for_each(Waker::wake);
        }
    }
}

/// Creates the network of the machine `me` with the cuts that `file` lists. Must be called inside a `LocalSet`.
pub fn net(me: IpAddr, file: PathBuf) -> NetworkHandle {
    let cuts = Rc::new(Cuts::default());
    let polled = cuts.clone();
    spawn_local(async move {
        loop {
            polled.update(read(&file));
            sleep(POLL_INTERVAL).await;
        }
    });
    Rc::new(CutNetwork { me, cuts, inner: tcp() })
}

struct CutNetwork {
    me: IpAddr,
    cuts: Rc<Cuts>,
    inner: NetworkHandle,
}

impl Network for CutNetwork {
    fn connect(&self, to: SocketAddr) -> IoFuture<'_, Stream> {
        Box::pin(async move {
            let (outbound, inbound) = ((self.me, to.ip()), (to.ip(), self.me));
            while self.cuts.is_cut(outbound) || self.cuts.is_cut(inbound) {
                sleep(POLL_INTERVAL).await;
            }
            let inner = self.inner.connect(to).await?;
            Ok(Box::new(CutStream { inner, outbound, inbound, cuts: self.cuts.clone() }) as Stream)
        })
    }

    fn listen(&self, at: SocketAddr) -> IoFuture<'_, Box<dyn Listener>> {
        self.inner.listen(at)
    }
}

struct CutStream {
    inner: Stream,
    outbound: Direction,
    inbound: Direction,
    cuts: Rc<Cuts>,
}

impl Connection for CutStream {
    fn tune(&self) {
        self.inner.tune();
    }
}

impl AsyncRead for CutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        if self.cuts.poll_is_cut(self.inbound, context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for CutStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.cuts.poll_is_cut(self.outbound, context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
