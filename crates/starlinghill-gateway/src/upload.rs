//! A client's body that is too large to hold: passed on as it comes. What ends a body before its time, and how long any
//! may be, stands here as well.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// The longest body of any message that is held whole.
pub const MAX_BODY: usize = 64 * 1024;
/// The longest body that is passed on, either way: 32 MiB, and what is held at first. Guards against bodies that never end.
pub const MAX_PASSING: u64 = 32 * 1024 * 1024 + MAX_BODY as u64;
/// What is read of a body that nobody wants must go on coming, and at so many bytes a second on the whole.
const READ_ON_STALL: Duration = Duration::from_secs(2);
const READ_ON_RATE: u64 = 40_000;

/// What ends a body before its time.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Who has to know how a client's body comes along.
pub trait Follower {
    /// So many bytes came.
    fn came(&self, bytes: usize);
    /// The client is waited for; else what came waits for the backend.
    fn waits(&self, for_client: bool);
    /// The last byte came.
    fn whole(&self);
}

/// When a body that is passed on was whole, which is when the request's time begins.
#[derive(Default)]
pub struct Whole {
    at: Cell<Option<Instant>>,
    told: Notify,
}

impl Whole {
    /// It is, now.
    pub fn tell(&self) {
        self.at.set(Some(Instant::now()));
        self.told.notify_waiters();
    }
    /// When it was.
    pub fn at(&self) -> Option<Instant> {
        self.at.get()
    }
    /// Waits until it is.
    pub async fn wait(&self) -> Instant {
        loop {
            // Made before the look, so that what is told in between is not missed.
            let told = self.told.notified();
            match self.at.get() {
                Some(at) => return at,
                None => told.await,
            }
        }
    }
}

/// A client's body on its way to a backend: what was held, then what still comes.
pub struct Upload {
    held: VecDeque<Bytes>,
    rest: Option<Incoming>,
    length: Option<u64>,
    passed: u64,
    ended: bool,
    follower: Rc<dyn Follower>,
    whole: Rc<Whole>,
}

impl Upload {
    /// `length` is that of all, where it is known.
    pub fn new(
        held: VecDeque<Bytes>,
        rest: Incoming,
        length: Option<u64>,
        follower: Rc<dyn Follower>,
        whole: Rc<Whole>,
    ) -> Upload {
        Upload { held, rest: Some(rest), length, passed: 0, ended: false, follower, whole }
    }

    fn passes(&mut self, bytes: Bytes) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.passed += bytes.len() as u64;
        if self.passed > MAX_PASSING {
            return Poll::Ready(Some(Err("the body is longer than 32 MiB".into())));
        }
        if self.length == Some(self.passed) {
            self.end();
        }
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }

    fn end(&mut self) {
        if !std::mem::replace(&mut self.ended, true) {
            self.follower.whole();
            self.whole.tell();
        }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(bytes) = self.held.pop_front() {
            return self.passes(bytes);
        }
        loop {
            let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
            match Pin::new(rest).poll_frame(cx) {
                Poll::Pending => {
                    self.follower.waits(true);
                    return Poll::Pending;
                }
                Poll::Ready(None) => {
                    self.end();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(error.into()))),
                // Trailers hold for the client's connection.
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    self.follower.came(bytes.len());
                    self.follower.waits(false);
                    return self.passes(bytes);
                }
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, |all| SizeHint::with_exact(all - self.passed))
    }
}

impl Drop for Upload {
    /// Reads on what nobody wants any more. Guards an answer that comes before the last byte, such as a refusal: a
    /// connection that is closed with bytes unread is reset, and the client loses the answer with it.
    fn drop(&mut self) {
        if let Some(rest) = self.rest.take().filter(|_| !self.ended) {
            tokio::task::spawn_local(read_on(rest, MAX_PASSING.saturating_sub(self.passed)));
        }
    }
}

async fn read_on(mut rest: Incoming, most: u64) {
    let begun = Instant::now();
    let mut read = 0;
    while read <= most {
        let Ok(Some(Ok(frame))) = timeout(READ_ON_STALL, rest.frame()).await else { return };
        read += frame.into_data().map_or(0, |bytes| bytes.len() as u64);
        // Guards against one that sends a byte now and then for ever.
        let allowed = READ_ON_STALL + Duration::from_millis(read.saturating_mul(1000) / READ_ON_RATE);
        if begun.elapsed() > allowed {
            return;
        }
    }
}
