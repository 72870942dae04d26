//! A simulated network in one thread. Connections are byte streams; cuts, delays and losses are set by the scenario.
//! As with TCP, data sent during a cut arrives after the cut has ended.

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

/// The pause before a connection attempt is repeated while the peer cannot be reached.
const CONNECT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The longest delay, in milliseconds, until lost data or data held up by a cut is sent again.
const MAX_RETRANSMIT_MS: u64 = 400;

/// The longest one-way delay on a network without injected faults, in milliseconds.
const DEFAULT_MAX_DELAY_MS: u64 = 4;

/// The one-way delay between programs on one machine.
const LOOPBACK_DELAY: Duration = Duration::from_micros(100);
/// Client ports are counted up from here.
const FIRST_PORT: u16 = 1024;
/// Closed connections are dropped from the list of pipes once it is longer than this.
const PIPE_CLEANUP_LENGTH: usize = 4_096;

type Accepted = (Stream, SocketAddr);

/// All links, listeners and connections.
pub struct SimulatedNetwork {
    state: RefCell<NetworkState>,
}

struct NetworkState {
    rng: fastrand::Rng,
    /// Directed pairs of machines between which nothing passes.
    blocked: BTreeSet<(IpAddr, IpAddr)>,
    powered_off: BTreeSet<IpAddr>,
    /// The longest one-way delay in milliseconds, and how many packets in a thousand are lost.
    max_delay_ms: u64,
    lost_per_thousand: u64,
    /// Additional one-way delays of data between directed pairs of machines. Opening a connection is not delayed.
    extra_delays: BTreeMap<(IpAddr, IpAddr), Duration>,
    listeners: BTreeMap<SocketAddr, mpsc::UnboundedSender<Accepted>>,
    pipes: Vec<Weak<RefCell<Pipe>>>,
    last_port: u16,
}

/// One direction of a connection.
struct Pipe {
    from: IpAddr,
    to: IpAddr,
    chunks: VecDeque<(Instant, Vec<u8>)>,
    /// When the last byte sent so far arrives. Later data never overtakes it.
    last_due: Instant,
    closed_at: Option<Instant>,
    is_reset: bool,
    reader: Option<Waker>,
}

impl Pipe {
    fn wake(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

impl SimulatedNetwork {
    /// Creates a network whose delays and losses are derived from the seed.
    pub fn new(seed: u64) -> Rc<SimulatedNetwork> {
        let state = NetworkState {
            rng: fastrand::Rng::with_seed(seed),
            blocked: BTreeSet::new(),
            powered_off: BTreeSet::new(),
            max_delay_ms: DEFAULT_MAX_DELAY_MS,
            lost_per_thousand: 0,
            extra_delays: BTreeMap::new(),
            listeners: BTreeMap::new(),
            pipes: Vec::new(),
            last_port: FIRST_PORT,
        };
        Rc::new(SimulatedNetwork { state: RefCell::new(state) })
    }

    /// The network as seen from one machine.
    pub fn handle_for(self: &Rc<Self>, ip: IpAddr) -> NetworkHandle {
        Rc::new(MachineNetwork { network: self.clone(), ip })
    }

    /// Whether data passes in this direction.
    pub fn can_reach(&self, from: IpAddr, to: IpAddr) -> bool {
        let state = self.state.borrow();
        !state.blocked.contains(&(from, to))
            && !state.powered_off.contains(&from)
            && !state.powered_off.contains(&to)
    }

    /// Blocks one direction between two machines.
    pub fn block(&self, from: IpAddr, to: IpAddr) {
        self.state.borrow_mut().blocked.insert((from, to));
    }

    /// Ends all cuts. Data held up by them arrives after a random retransmission delay.
    pub fn unblock_all(&self) {
        self.state.borrow_mut().blocked.clear();
        for pipe in self.pipes() {
            let ms = self.state.borrow_mut().rng.u64(1..=MAX_RETRANSMIT_MS);
            let resumed = Instant::now() + Duration::from_millis(ms);
            let mut pipe = pipe.borrow_mut();
            if pipe
                .chunks
                .front()
                .map(|(due, _)| *due)
                .or(pipe.closed_at)
                .is_some_and(|due| due < Instant::now())
            {
                pipe.chunks.iter_mut().for_each(|(due, _)| *due = resumed.max(*due));
                pipe.closed_at = pipe.closed_at.map(|due| due.max(resumed));
                pipe.last_due = pipe.last_due.max(resumed);
            }
            pipe.wake();
        }
    }

    /// Sets the longest delay in milliseconds and the packets lost in a thousand; `None` restores the defaults.
    pub fn set_link_quality(&self, delay_and_loss: Option<(u64, u64)>) {
        let mut state = self.state.borrow_mut();
        (state.max_delay_ms, state.lost_per_thousand) = delay_and_loss.unwrap_or((DEFAULT_MAX_DELAY_MS, 0));
    }

    /// Makes data sent in one direction wait in addition to the usual delay; `None` ends that for data sent from now on.
    pub fn set_extra_delay(&self, from: IpAddr, to: IpAddr, delay: Option<Duration>) {
        let extra_delays = &mut self.state.borrow_mut().extra_delays;
        match delay {
            Some(delay) => drop(extra_delays.insert((from, to), delay)),
            None => drop(extra_delays.remove(&(from, to))),
        }
    }

    /// Whether data sent in one direction waits in addition to the usual delay.
    pub fn has_extra_delay(&self, from: IpAddr, to: IpAddr) -> bool {
        self.state.borrow().extra_delays.contains_key(&(from, to))
    }

    /// Whether no delay or loss is set for all links.
    pub fn has_default_quality(&self) -> bool {
        let state = self.state.borrow();
        state.max_delay_ms <= DEFAULT_MAX_DELAY_MS && state.lost_per_thousand == 0
    }

    /// Cuts the power of a machine. Its peers get no notice.
    pub fn power_off(&self, ip: IpAddr) {
        self.state.borrow_mut().powered_off.insert(ip);
    }

    /// Restores the power. Connections from before are reset.
    pub fn power_on(&self, ip: IpAddr) {
        self.state.borrow_mut().powered_off.remove(&ip);
        self.reset(|pipe| pipe.from == ip || pipe.to == ip);
    }

    /// Resets all connections between two machines.
    pub fn reset_between(&self, a: IpAddr, b: IpAddr) {
        self.reset(|pipe| (pipe.from, pipe.to) == (a, b) || (pipe.from, pipe.to) == (b, a));
    }

    fn reset(&self, matches: impl Fn(&Pipe) -> bool) {
        for pipe in self.pipes() {
            let mut pipe = pipe.borrow_mut();
            if matches(&pipe) {
                pipe.is_reset = true;
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
            return LOOPBACK_DELAY;
        }
        let lost = state.rng.u64(0..1000) < state.lost_per_thousand;
        let ms = state.rng.u64(1..=state.max_delay_ms)
            + if lost { state.rng.u64(1..=MAX_RETRANSMIT_MS) } else { 0 };
        Duration::from_millis(ms)
    }

    /// The delay of data on an open connection.
    fn data_delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        let extra = self.state.borrow().extra_delays.get(&(from, to)).copied();
        self.delay(from, to) + extra.unwrap_or_default()
    }

    fn pipe(&self, from: IpAddr, to: IpAddr) -> Rc<RefCell<Pipe>> {
        let (chunks, last_due) = (VecDeque::new(), Instant::now());
        let pipe = Pipe { from, to, chunks, last_due, closed_at: None, is_reset: false, reader: None };
        let pipe = Rc::new(RefCell::new(pipe));
        let mut state = self.state.borrow_mut();
        if state.pipes.len() > PIPE_CLEANUP_LENGTH {
            state.pipes.retain(|pipe| pipe.strong_count() > 0);
        }
        state.pipes.push(Rc::downgrade(&pipe));
        pipe
    }
}

struct MachineNetwork {
    network: Rc<SimulatedNetwork>,
    ip: IpAddr,
}

impl Network for MachineNetwork {
    fn connect(&self, to: SocketAddr) -> IoFuture<'_, Stream> {
        Box::pin(async move {
            let network = &self.network;
            let (here, there) = (self.ip, to.ip());
            loop {
                if network.can_reach(here, there) && network.can_reach(there, here) {
                    sleep(network.delay(here, there) + network.delay(there, here)).await;
                    break;
                }
                sleep(CONNECT_RETRY_DELAY).await;
            }
            let listener = network.state.borrow().listeners.get(&to).cloned();
            let listener = listener.ok_or(io::ErrorKind::ConnectionRefused)?;
            let (out, back) = (network.pipe(here, there), network.pipe(there, here));
            let from = {
                let mut state = network.state.borrow_mut();
                state.last_port = state.last_port.checked_add(1).unwrap_or(FIRST_PORT);
                SocketAddr::new(here, state.last_port)
            };
            let stream_end = |input: &Rc<RefCell<Pipe>>, output: &Rc<RefCell<Pipe>>| -> Stream {
                let (network, input, output) = (network.clone(), input.clone(), output.clone());
                Box::new(StreamEnd { network, input, output, read_timer: None })
            };
            listener.send((stream_end(&out, &back), from)).map_err(|_| io::ErrorKind::ConnectionRefused)?;
            Ok(stream_end(&back, &out))
        })
    }

    fn listen(&self, at: SocketAddr) -> IoFuture<'_, Box<dyn Listener>> {
        Box::pin(async move {
            let (sender, incoming) = mpsc::unbounded_channel();
            if self.network.state.borrow_mut().listeners.insert(at, sender).is_some() {
                return Err(io::ErrorKind::AddrInUse.into());
            }
            let listener =
                PortListener { network: self.network.clone(), at, incoming: RefCell::new(incoming) };
            Ok(Box::new(listener) as Box<dyn Listener>)
        })
    }
}

struct PortListener {
    network: Rc<SimulatedNetwork>,
    at: SocketAddr,
    incoming: RefCell<mpsc::UnboundedReceiver<Accepted>>,
}

impl Listener for PortListener {
    fn accept(&self) -> IoFuture<'_, Accepted> {
        Box::pin(async move {
            let next = std::future::poll_fn(|cx| self.incoming.borrow_mut().poll_recv(cx)).await;
            next.ok_or(io::ErrorKind::NotConnected.into())
        })
    }
}

impl Drop for PortListener {
    fn drop(&mut self) {
        let sender = self.network.state.borrow_mut().listeners.remove(&self.at);
        // Dropped only here, after the borrow has ended: connections that were never accepted close now and borrow
        // the state.
        drop(sender);
    }
}

/// One end of a connection.
struct StreamEnd {
    network: Rc<SimulatedNetwork>,
    input: Rc<RefCell<Pipe>>,
    output: Rc<RefCell<Pipe>>,
    read_timer: Option<Pin<Box<Sleep>>>,
}

impl StreamEnd {
    fn close(&self) {
        let (from, to) = (self.output.borrow().from, self.output.borrow().to);
        if self.network.state.borrow().powered_off.contains(&from) {
            return;
        }
        let due = Instant::now() + self.network.data_delay(from, to);
        let mut output = self.output.borrow_mut();
        let due = due.max(output.last_due);
        output.closed_at.get_or_insert(due);
        output.wake();
    }
}

impl Drop for StreamEnd {
    fn drop(&mut self) {
        self.close();
    }
}

impl Connection for StreamEnd {
    fn tune(&self) {}
}

impl AsyncRead for StreamEnd {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let mut pipe = this.input.borrow_mut();
        if pipe.is_reset {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        pipe.reader = Some(cx.waker().clone());
        let Some(due) = pipe.chunks.front().map(|(due, _)| *due).or(pipe.closed_at) else {
            return Poll::Pending;
        };
        // Ending a cut wakes all readers.
        if !this.network.can_reach(pipe.from, pipe.to) {
            return Poll::Pending;
        }
        if due > Instant::now() {
            let mut timer = Box::pin(sleep_until(due));
            if timer.as_mut().poll(cx).is_pending() {
                this.read_timer = Some(timer);
                return Poll::Pending;
            }
        }
        if let Some((_, mut chunk)) = pipe.chunks.pop_front() {
            let count = chunk.len().min(buf.remaining());
            buf.put_slice(&chunk[..count]);
            if count < chunk.len() {
                chunk.drain(..count);
                pipe.chunks.push_front((due, chunk));
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for StreamEnd {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let (from, to) = (self.output.borrow().from, self.output.borrow().to);
        let due = Instant::now() + self.network.data_delay(from, to);
        let mut output = self.output.borrow_mut();
        if output.is_reset {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let due = due.max(output.last_due);
        output.last_due = due;
        output.chunks.push_back((due, bytes.to_vec()));
        output.wake();
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.close();
        Poll::Ready(Ok(()))
    }
}
