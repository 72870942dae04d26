//! A backend's answer that is too large to hold, or comes slowly: passed on as it comes, with what stands around it (the
//! place at the backend, the time, the end) kept for as long as it takes.

use crate::http::Connection;
use crate::upload::{BodyError, MAX_PASSING};
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

/// A backend that has begun an answer and then says nothing for so long has broken off.
const STALL: Duration = Duration::from_secs(10);

/// Takes a connection back that can be used again.
pub type GiveBack = Box<dyn FnOnce(Connection)>;

/// A backend's answer on its way to a client. While it lasts the attempt is out; its end is told once.
pub struct Download {
    held: VecDeque<Bytes>,
    body: Incoming,
    /// Gone once the answer is whole, or broke off.
    connection: Option<Connection>,
    length: Option<u64>,
    passed: u64,
    stall: Pin<Box<Sleep>>,
    /// Takes the connection back once the answer is whole.
    give_back: Option<GiveBack>,
    _place: OwnedSemaphorePermit,
    ended: Option<Box<dyn FnOnce(Outcome)>>,
}

impl Download {
    /// What was held of it goes first. `length` is that of all, where the head tells.
    pub fn new(
        held: VecDeque<Bytes>,
        body: Incoming,
        connection: Connection,
        length: Option<u64>,
        give_back: GiveBack,
        place: OwnedSemaphorePermit,
    ) -> Download {
        let (connection, stall) = (Some(connection), Box::pin(sleep(STALL)));
        Download {
            held,
            body,
            connection,
            length,
            passed: 0,
            stall,
            give_back: Some(give_back),
            _place: place,
            ended: None,
        }
    }

    /// Who is told of the attempt's end.
    pub fn when_ended(&mut self, tell: impl FnOnce(Outcome) + 'static) {
        self.ended = Some(Box::new(tell));
    }

    fn end(&mut self, outcome: Outcome) {
        let connection = self.connection.take();
        let give_back = self.give_back.take();
        if let (Outcome::Ok, Some(connection), Some(give_back)) = (outcome, connection, give_back) {
            give_back(connection);
        }
        if let Some(tell) = self.ended.take() {
            tell(outcome);
        }
    }

    fn fail(&mut self, outcome: Outcome, why: &str) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.end(outcome);
        Poll::Ready(Some(Err(why.into())))
    }

    fn passes(&mut self, bytes: Bytes) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.passed += bytes.len() as u64;
        if self.passed > MAX_PASSING {
            return self.fail(Outcome::Error, "the answer is longer than 32 MiB");
        }
        // With its length told, nobody asks for more than that.
        if self.length == Some(self.passed) {
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
        if let Some(bytes) = this.held.pop_front() {
            return this.passes(bytes);
        }
        loop {
            let Some(connection) = &mut this.connection else { return Poll::Ready(None) };
            match connection.poll_frame(cx, &mut this.body) {
                Poll::Pending if this.stall.as_mut().poll(cx).is_ready() => {
                    return this.fail(Outcome::Timeout, "the backend stopped in the middle of its answer")
                }
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    this.end(Outcome::Ok);
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => return this.fail(Outcome::Reset, "the answer broke off"),
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    this.stall.as_mut().reset(Instant::now() + STALL);
                    return this.passes(bytes);
                }
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, |all| SizeHint::with_exact(all - self.passed))
    }
}

impl Drop for Download {
    fn drop(&mut self) {
        // The client went before the end.
        self.end(Outcome::Cancelled);
    }
}
