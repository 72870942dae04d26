//! Streams a backend's response that is too large or too slow to buffer, and holds its connection until it
//! ends.

use crate::http::Connection;
use crate::upload::{BodyError, MAX_STREAMED_BYTES};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use starlinghill_decision::api::Outcome;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep, Instant, Sleep};

/// A backend that sends nothing for this long in the middle of a response has failed.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Takes back a connection that can be used again.
pub type GiveBack = Box<dyn FnOnce(Connection)>;

/// A backend's response on its way to a client. Its end is reported once.
pub struct Download {
    buffered: VecDeque<Bytes>,
    body: Incoming,
    /// `None` once the response is complete or broke off.
    connection: Option<Connection>,
    /// The length of the whole body in bytes, where the head states it.
    length: Option<u64>,
    /// Bytes passed on so far.
    sent: u64,
    stall: Pin<Box<Sleep>>,
    /// Called with the connection once the response is complete.
    give_back: Option<GiveBack>,
    _permit: OwnedSemaphorePermit,
    on_end: Option<Box<dyn FnOnce(Outcome)>>,
}

impl Download {
    /// `buffered` is sent first. `length` is the length of the whole body in bytes, where the head states it.
    pub fn new(
        buffered: VecDeque<Bytes>,
        body: Incoming,
        connection: Connection,
        length: Option<u64>,
        give_back: GiveBack,
        permit: OwnedSemaphorePermit,
    ) -> Download {
        let (connection, stall) = (Some(connection), Box::pin(sleep(STALL_TIMEOUT)));
        Download {
            buffered,
            body,
            connection,
            length,
            sent: 0,
            stall,
            give_back: Some(give_back),
            _permit: permit,
            on_end: None,
        }
    }

    /// Sets the function that is called when the response ends.
    pub fn when_ended(&mut self, callback: impl FnOnce(Outcome) + 'static) {
        self.on_end = Some(Box::new(callback));
    }

    fn end(&mut self, outcome: Outcome) {
        let connection = self.connection.take();
        let give_back = self.give_back.take();
        if let (Outcome::Ok, Some(connection), Some(give_back)) = (outcome, connection, give_back) {
            give_back(connection);
        }
        if let Some(on_end) = self.on_end.take() {
            on_end(outcome);
        }
    }

    fn fail(&mut self, outcome: Outcome, reason: &str) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.end(outcome);
        Poll::Ready(Some(Err(reason.into())))
    }

    fn send(&mut self, bytes: Bytes) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.sent += bytes.len() as u64;
        if self.sent > MAX_STREAMED_BYTES {
            return self.fail(Outcome::Error, "the response is longer than 32 MiB");
        }
        // A reader that knows the length does not ask for the end.
        if self.length == Some(self.sent) {
            self.end(Outcome::Ok);
        }
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }
}

impl Body for Download {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        if let Some(bytes) = this.buffered.pop_front() {
            return this.send(bytes);
        }
        loop {
            let Some(connection) = &mut this.connection else { return Poll::Ready(None) };
            match connection.poll_frame(cx, &mut this.body) {
                Poll::Pending if this.stall.as_mut().poll(cx).is_ready() => {
                    return this.fail(Outcome::Timeout, "the backend stalled in the middle of its response")
                }
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    this.end(Outcome::Ok);
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => {
                    return this.fail(Outcome::Reset, "the connection broke in the middle of the response")
                }
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    this.stall.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                    return this.send(bytes);
                }
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, |length| SizeHint::with_exact(length - self.sent))
    }
}

impl Drop for Download {
    fn drop(&mut self) {
        // The client left before the end.
        self.end(Outcome::Cancelled);
    }
}
