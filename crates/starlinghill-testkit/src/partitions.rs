//! Cuts between real processes: a network of the system's own calls whose links can be cut, one direction at a time, by a file
//! that all processes of a test look at. No rights over the machine's network are needed.
//!
//! Bytes that a cut holds up come through once it is mended, as a sender's kernel would send them again. The side that
//! connects plays both directions, as it knows who both are; datagrams are not cut.

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

/// How often a process looks at the file.
const LOOK: Duration = Duration::from_millis(20);

/// A direction of a link: from one machine to another.
pub type Direction = (IpAddr, IpAddr);

/// Writes which directions are cut from now on.
pub fn write(file: &Path, cuts: &BTreeSet<Direction>) -> io::Result<()> {
    let lines: String = cuts.iter().map(|(from, to)| format!("{from} {to}\n")).collect();
    // Whole or not at all: it is read at any moment.
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

/// The cuts as a process knows them, and who waits for their end.
#[derive(Default)]
struct Cuts {
    directions: RefCell<BTreeSet<Direction>>,
    waiting: RefCell<Vec<Waker>>,
}

impl Cuts {
    fn is_cut(&self, direction: Direction) -> bool {
        self.directions.borrow().contains(&direction)
    }

    /// Whether that is cut; if so, the task is woken once that may have changed.
    fn holds(&self, direction: Direction, context: &Context) -> bool {
        let is_cut = self.is_cut(direction);
        if is_cut {
            self.waiting.borrow_mut().push(context.waker().clone());
        }
        is_cut
    }

    fn follow(&self, directions: BTreeSet<Direction>) {
        if *self.directions.borrow() != directions {
            *self.directions.borrow_mut() = directions;
            self.waiting.take().into_iter().for_each(Waker::wake);
        }
    }
}

/// A network of the machine at that address, cut as the file says. Must be called inside a `LocalSet`.
pub fn net(me: IpAddr, file: PathBuf) -> NetworkHandle {
    let cuts = Rc::new(Cuts::default());
    let followed = cuts.clone();
    spawn_local(async move {
        loop {
            followed.follow(read(&file));
            sleep(LOOK).await;
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
            let (there, back) = ((self.me, to.ip()), (to.ip(), self.me));
            while self.cuts.is_cut(there) || self.cuts.is_cut(back) {
                sleep(LOOK).await;
            }
            let inner = self.inner.connect(to).await?;
            Ok(Box::new(CutStream { inner, there, back, cuts: self.cuts.clone() }) as Stream)
        })
    }

    fn listen(&self, at: SocketAddr) -> IoFuture<'_, Box<dyn Listener>> {
        self.inner.listen(at)
    }
}

struct CutStream {
    inner: Stream,
    there: Direction,
    back: Direction,
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
        if self.cuts.holds(self.back, context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for CutStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.cuts.holds(self.there, context) {
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
