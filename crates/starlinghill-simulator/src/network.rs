//! Links between machines that are played in one thread: streams stay streams, and what a link does is decided by whoever
//! plays. What is cut is sent again once the link is back, as TCP does it.

use starlinghill_runtime::net::{Connection, IoFuture, Listener, Network, NetworkHandle, Stream};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, Instant, Sleep};

/// An opening packet that found no way is sent again after this.
const AGAIN: Duration = Duration::from_secs(1);
/// What is sent again after a cut comes within this, and a lost packet after it.
const RESENT_MS: u64 = 400;

/// A network of one site takes no longer, in milliseconds.
const CALM_MS: u64 = 4;

type Accepted = (Stream, SocketAddr);

/// All links and ports.
pub struct Fabric {
    state: RefCell<State>,
}

struct State {
    rng: fastrand::Rng,
    /// Directed pairs between which nothing passes.
    cut: BTreeSet<(IpAddr, IpAddr)>,
    /// Machines without power.
    off: BTreeSet<IpAddr>,
    /// The longest time on the way, in milliseconds, and of how many packets in a thousand one is lost.
    slow_ms: u64,
    lossy: u64,
    ports: BTreeMap<SocketAddr, mpsc::UnboundedSender<Accepted>>,
    pipes: Vec<Weak<RefCell<Pipe>>>,
    opened: u16,
}

/// One direction of a connection.
struct Pipe {
    from: IpAddr,
    to: IpAddr,
    chunks: VecDeque<(Instant, Vec<u8>)>,
    /// The last that was sent comes then.
    last: Instant,
    ended: Option<Instant>,
    broken: bool,
    reader: Option<Waker>,
}

impl Pipe {
    fn wake(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

impl Fabric {
    /// Whose chances a seed decides.
    pub fn new(seed: u64) -> Rc<Fabric> {
        let state = State {
            rng: fastrand::Rng::with_seed(seed),
            cut: BTreeSet::new(),
            off: BTreeSet::new(),
            slow_ms: CALM_MS,
            lossy: 0,
            ports: BTreeMap::new(),
            pipes: Vec::new(),
            opened: 1024,
        };
        Rc::new(Fabric { state: RefCell::new(state) })
    }

    /// The network as a machine sees it.
    pub fn at(self: &Rc<Self>, ip: IpAddr) -> NetworkHandle {
        Rc::new(Machine { fabric: self.clone(), ip })
    }

    /// Whether anything passes that way.
    pub fn is_up(&self, from: IpAddr, to: IpAddr) -> bool {
        let state = self.state.borrow();
        !state.cut.contains(&(from, to)) && !state.off.contains(&from) && !state.off.contains(&to)
    }

    /// Nothing passes that way from now on.
    pub fn cut(&self, from: IpAddr, to: IpAddr) {
        self.state.borrow_mut().cut.insert((from, to));
    }

    /// All cuts are mended: what was held up is sent again.
    pub fn mend(&self) {
        self.state.borrow_mut().cut.clear();
        for pipe in self.pipes() {
            let ms = self.state.borrow_mut().rng.u64(1..=RESENT_MS);
            let resumed = Instant::now() + Duration::from_millis(ms);
            let mut pipe = pipe.borrow_mut();
            if pipe.chunks.front().map(|(due, _)| *due).or(pipe.ended).is_some_and(|due| due < Instant::now())
            {
                pipe.chunks.iter_mut().for_each(|(due, _)| *due = resumed.max(*due));
                pipe.ended = pipe.ended.map(|due| due.max(resumed));
                pipe.last = pipe.last.max(resumed);
            }
            pipe.wake();
        }
    }

    /// How slow links are, in milliseconds at most, and of how many packets in a thousand they lose one; or as ever.
    pub fn weather(&self, slow_and_lossy: Option<(u64, u64)>) {
        let mut state = self.state.borrow_mut();
        (state.slow_ms, state.lossy) = slow_and_lossy.unwrap_or((CALM_MS, 0));
    }

    /// Links are as quick and as sure as they are meant to be.
    pub fn is_calm(&self) -> bool {
        let state = self.state.borrow();
        state.slow_ms <= CALM_MS && state.lossy == 0
    }

    /// The power of a machine goes: nobody hears of it.
    pub fn power_off(&self, ip: IpAddr) {
        self.state.borrow_mut().off.insert(ip);
    }

    /// It is back, and knows none of the connections that it had.
    pub fn power_on(&self, ip: IpAddr) {
        self.state.borrow_mut().off.remove(&ip);
        self.reset(|pipe| pipe.from == ip || pipe.to == ip);
    }

    /// Ends all connections between two machines.
    pub fn reset_between(&self, a: IpAddr, b: IpAddr) {
        self.reset(|pipe| (pipe.from, pipe.to) == (a, b) || (pipe.from, pipe.to) == (b, a));
    }

    fn reset(&self, which: impl Fn(&Pipe) -> bool) {
        for pipe in self.pipes() {
            let mut pipe = pipe.borrow_mut();
            if which(&pipe) {
                pipe.broken = true;
                pipe.wake();
            }
        }
    }

    fn pipes(&self) -> Vec<Rc<RefCell<Pipe>>> {
        let mut state = self.state.borrow_mut();
        state.pipes.retain(|pipe| pipe.strong_count() > 0);
        state.pipes.iter().filter_map(Weak::upgrade).collect()
    }

    fn delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        let state = &mut *self.state.borrow_mut();
        if from == to {
            return Duration::from_micros(100);
        }
        let lost = state.rng.u64(0..1000) < state.lossy;
        let ms = state.rng.u64(1..=state.slow_ms) + if lost { state.rng.u64(1..=RESENT_MS) } else { 0 };
        Duration::from_millis(ms)
    }

    fn pipe(&self, from: IpAddr, to: IpAddr) -> Rc<RefCell<Pipe>> {
        let (chunks, last) = (VecDeque::new(), Instant::now());
        let pipe = Pipe { from, to, chunks, last, ended: None, broken: false, reader: None };
        let pipe = Rc::new(RefCell::new(pipe));
        let mut state = self.state.borrow_mut();
        if state.pipes.len() > 4_096 {
            state.pipes.retain(|pipe| pipe.strong_count() > 0);
        }
        state.pipes.push(Rc::downgrade(&pipe));
        pipe
    }
}

struct Machine {
    fabric: Rc<Fabric>,
    ip: IpAddr,
}

impl Network for Machine {
    fn connect(&self, to: SocketAddr) -> IoFuture<'_, Stream> {
        Box::pin(async move {
            let fabric = &self.fabric;
            let (here, there) = (self.ip, to.ip());
            loop {
                if fabric.is_up(here, there) && fabric.is_up(there, here) {
                    sleep(fabric.delay(here, there) + fabric.delay(there, here)).await;
                    break;
                }
                sleep(AGAIN).await;
            }
            let port = fabric.state.borrow().ports.get(&to).cloned();
            let port = port.ok_or(io::ErrorKind::ConnectionRefused)?;
            let (out, back) = (fabric.pipe(here, there), fabric.pipe(there, here));
            let from = {
                let mut state = fabric.state.borrow_mut();
                state.opened = state.opened.checked_add(1).unwrap_or(1024);
                SocketAddr::new(here, state.opened)
            };
            let end = |input: &Rc<RefCell<Pipe>>, output: &Rc<RefCell<Pipe>>| -> Stream {
                let (fabric, input, output) = (fabric.clone(), input.clone(), output.clone());
                Box::new(End { fabric, input, output, due: None })
            };
            port.send((end(&out, &back), from)).map_err(|_| io::ErrorKind::ConnectionRefused)?;
            Ok(end(&back, &out))
        })
    }

    fn listen(&self, at: SocketAddr) -> IoFuture<'_, Box<dyn Listener>> {
        Box::pin(async move {
            let (tell, told) = mpsc::unbounded_channel();
            if self.fabric.state.borrow_mut().ports.insert(at, tell).is_some() {
                return Err(io::ErrorKind::AddrInUse.into());
            }
            let port = Port { fabric: self.fabric.clone(), at, told: RefCell::new(told) };
            Ok(Box::new(port) as Box<dyn Listener>)
        })
    }
}

struct Port {
    fabric: Rc<Fabric>,
    at: SocketAddr,
    told: RefCell<mpsc::UnboundedReceiver<Accepted>>,
}

impl Listener for Port {
    fn accept(&self) -> IoFuture<'_, Accepted> {
        Box::pin(async move {
            let next = std::future::poll_fn(|cx| self.told.borrow_mut().poll_recv(cx)).await;
            next.ok_or(io::ErrorKind::NotConnected.into())
        })
    }
}

impl Drop for Port {
    fn drop(&mut self) {
        let port = self.fabric.state.borrow_mut().ports.remove(&self.at);
        // Connections that nobody took end here, and look at the fabric.
        drop(port);
    }
}

/// One end of a connection.
struct End {
    fabric: Rc<Fabric>,
    input: Rc<RefCell<Pipe>>,
    output: Rc<RefCell<Pipe>>,
    due: Option<Pin<Box<Sleep>>>,
}

impl End {
    fn finish(&self) {
        let (from, to) = (self.output.borrow().from, self.output.borrow().to);
        if self.fabric.state.borrow().off.contains(&from) {
            return;
        }
        let due = Instant::now() + self.fabric.delay(from, to);
        let mut output = self.output.borrow_mut();
        let due = due.max(output.last);
        output.ended.get_or_insert(due);
        output.wake();
    }
}

impl Drop for End {
    fn drop(&mut self) {
        self.finish();
    }
}

impl Connection for End {
    fn tune(&self) {}
}

impl AsyncRead for End {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let mut pipe = this.input.borrow_mut();
        if pipe.broken {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        pipe.reader = Some(cx.waker().clone());
        let Some(due) = pipe.chunks.front().map(|(due, _)| *due).or(pipe.ended) else {
            return Poll::Pending;
        };
        // Whoever mends a cut wakes all readers.
        if !this.fabric.is_up(pipe.from, pipe.to) {
            return Poll::Pending;
        }
        if due > Instant::now() {
            let mut timer = Box::pin(sleep_until(due));
            if timer.as_mut().poll(cx).is_pending() {
                this.due = Some(timer);
                return Poll::Pending;
            }
        }
        if let Some((_, mut chunk)) = pipe.chunks.pop_front() {
            let most = chunk.len().min(buf.remaining());
            buf.put_slice(&chunk[..most]);
            if most < chunk.len() {
                chunk.drain(..most);
                pipe.chunks.push_front((due, chunk));
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for End {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let (from, to) = (self.output.borrow().from, self.output.borrow().to);
        let due = Instant::now() + self.fabric.delay(from, to);
        let mut output = self.output.borrow_mut();
        if output.broken {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let due = due.max(output.last);
        output.last = due;
        output.chunks.push_back((due, bytes.to_vec()));
        output.wake();
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.finish();
        Poll::Ready(Ok(()))
    }
}
