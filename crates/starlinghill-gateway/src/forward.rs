//! A client's request as it goes on to backends, and what comes of an attempt.

use crate::backend::Backend;
use crate::backend_protocol::BackendProtocol;
use crate::download::Download;
use crate::http::Outgoing;
use crate::idle::Reuse;
use crate::upload::{Upload, Whole};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode, Uri};
use starlinghill_decision::api::Outcome;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// A client's body as it goes on to backends.
pub enum Payload {
    /// Held whole, so that it can go out again.
    Whole(Bytes),
    /// Passed on as it comes, which it can be once. Its time is `budget` from its last byte on.
    Passing {
        /// Taken by the attempt that sends it.
        upload: RefCell<Option<Upload>>,
        /// When its last byte came.
        whole: Rc<Whole>,
        /// How long the client waits from then on.
        budget: Duration,
    },
}

/// A client's request as it goes on to backends.
pub struct Forward {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Its headers, without those that hold for the client's connection alone.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Payload,
    /// Which kept connections it may go out on.
    pub reuse: Reuse,
}

impl Forward {
    /// Where its body is passed on: when that is whole.
    pub fn whole(&self) -> Option<&Whole> {
        match &self.body {
            Payload::Whole(_) => None,
            Payload::Passing { whole, .. } => Some(whole),
        }
    }

    /// When its time began, where that was after the attempt went out.
    pub fn whole_at(&self) -> Option<Instant> {
        self.whole().and_then(Whole::at)
    }

    /// Waits until the attempt's time is over.
    pub(crate) async fn over(&self, until: Instant) {
        match &self.body {
            Payload::Whole(_) => sleep_until(until).await,
            Payload::Passing { whole, budget, .. } => {
                tokio::select! {
                    at = whole.wait() => sleep_until(until.min(at + *budget)).await,
                    () = sleep_until(until) => {}
                }
            }
        }
    }

    /// `None` where its body went out before.
    pub(crate) fn request(
        &self,
        until: Instant,
        dialect: &dyn BackendProtocol,
        backend: &Backend,
    ) -> Option<Request<Outgoing>> {
        let body = match &self.body {
            Payload::Whole(body) => Outgoing::Left(Full::new(body.clone())),
            Payload::Passing { upload, .. } => Outgoing::Right(upload.take()?),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = match &self.body {
            Payload::Whole(_) => until.saturating_duration_since(Instant::now()),
            Payload::Passing { budget, .. } => *budget,
        };
        dialect.set_headers(request.headers_mut(), backend, left.as_millis() as u64);
        Some(request)
    }
}

/// The head of a backend's answer, where that is the client's as well.
#[derive(Debug, Clone)]
pub struct Head {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those that hold for the backend's connection alone.
    pub headers: HeaderMap,
}

/// The body of an answer that is the client's.
pub enum Served {
    /// Whole.
    Whole(Bytes),
    /// It is too large to hold, or comes slowly: the attempt ends with it.
    Passing(Box<Download>),
}

/// How an attempt ended, with the body where it was served.
pub struct Ended {
    /// The outcome.
    pub outcome: Outcome,
    /// The body, where it may be the client's.
    pub body: Option<Served>,
    /// The answer's head, likewise.
    pub head: Option<Box<Head>>,
    /// The connection was refused: nothing listens there.
    pub refused: bool,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Ended {
        Ended { outcome, body: None, head: None, refused: false }
    }
}
