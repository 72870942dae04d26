//! Streams a client's request body that is too large to buffer. The limits on the lengths of all bodies are
//! defined here too.

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

/// Longest body that is buffered, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Longest body that is streamed in either direction, in bytes: 32 MiB and the buffered start. It ends bodies
/// that would never end.
pub const MAX_STREAMED_BYTES: u64 = 32 * 1024 * 1024 + MAX_BUFFERED_BYTES as u64;
/// Longest pause in a body that is read only to be discarded.
const DISCARD_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Lowest average rate of such a body, in bytes per second.
const MIN_DISCARD_BYTES_PER_S: u64 = 40_000;

/// Why a body ended early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Observes the progress of a client's body.
pub trait UploadObserver {
    /// This many bytes arrived.
    fn received(&self, bytes: usize);
    /// Whether the gateway waits for the client to send; otherwise the backend is slow to take what arrived.
    fn waiting_for_client(&self, waiting: bool);
    /// The last byte arrived.
    fn complete(&self);
}

/// The time when a streamed body was complete, which is when the client's time limit starts.
#[derive(Default)]
pub struct UploadCompletion {
    at: Cell<Option<Instant>>,
    notify: Notify,
}

impl UploadCompletion {
    /// Marks the body as complete now.
    pub fn complete(&self) {
        self.at.set(Some(Instant::now()));
        self.notify.notify_waiters();
    }
    /// When the body was complete.
    pub fn at(&self) -> Option<Instant> {
        self.at.get()
    }
    /// Waits until the body is complete.
    pub async fn wait(&self) -> Instant {
        loop {
            // Created before the check, so that a notification in between is not missed.
            let notified = self.notify.notified();
            match self.at.get() {
                Some(at) => return at,
                None => notified.await,
            }
        }
    }
}

/// A client's body on its way to a backend: the buffered start, then the rest as it arrives.
pub struct Upload {
    buffered: VecDeque<Bytes>,
    rest: Option<Incoming>,
    /// The length of the whole body in bytes, where it is known.
    length: Option<u64>,
    /// Bytes passed on so far.
    sent: u64,
    ended: bool,
    observer: Rc<dyn UploadObserver>,
    completion: Rc<UploadCompletion>,
}

impl Upload {
    /// `length` is the length of the whole body in bytes, where it is known.
    pub fn new(
        buffered: VecDeque<Bytes>,
        rest: Incoming,
        length: Option<u64>,
        observer: Rc<dyn UploadObserver>,
        completion: Rc<UploadCompletion>,
    ) -> Upload {
        Upload { buffered, rest: Some(rest), length, sent: 0, ended: false, observer, completion }
    }

    fn send(&mut self, bytes: Bytes) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.sent += bytes.len() as u64;
        if self.sent > MAX_STREAMED_BYTES {
            return Poll::Ready(Some(Err("the request body is longer than 32 MiB".into())));
        }
        if self.length == Some(self.sent) {
            self.end();
        }
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }

    fn end(&mut self) {
        if !std::mem::replace(&mut self.ended, true) {
            self.observer.complete();
            self.completion.complete();
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
        if let Some(bytes) = self.buffered.pop_front() {
            return self.send(bytes);
        }
        loop {
            let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
            match Pin::new(rest).poll_frame(cx) {
                Poll::Pending => {
                    self.observer.waiting_for_client(true);
                    return Poll::Pending;
                }
                Poll::Ready(None) => {
                    self.end();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(error.into()))),
                // Trailers apply to the client's connection only.
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    self.observer.received(bytes.len());
                    self.observer.waiting_for_client(false);
                    return self.send(bytes);
                }
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, |length| SizeHint::with_exact(length - self.sent))
    }
}

impl Drop for Upload {
    /// Reads and discards the rest of a body that was not sent in full, as when the request is refused early.
    /// Closing a connection with unread bytes resets it, and the client would lose the answer.
    fn drop(&mut self) {
        if let Some(rest) = self.rest.take().filter(|_| !self.ended) {
            tokio::task::spawn_local(discard(rest, MAX_STREAMED_BYTES.saturating_sub(self.sent)));
        }
    }
}

async fn discard(mut rest: Incoming, limit: u64) {
    let start = Instant::now();
    let mut read = 0;
    while read <= limit {
        let Ok(Some(Ok(frame))) = timeout(DISCARD_STALL_TIMEOUT, rest.frame()).await else { return };
        read += frame.into_data().map_or(0, |bytes| bytes.len() as u64);
        // Ends the connection of a client that sends a byte now and then forever.
        let allowed = DISCARD_STALL_TIMEOUT
            + Duration::from_millis(read.saturating_mul(1000) / MIN_DISCARD_BYTES_PER_S);
        if start.elapsed() > allowed {
            return;
        }
    }
}
