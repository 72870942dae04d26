//! A client's request as it goes on to backends, and what comes of an attempt.

use crate::download::Download;
use crate::http::Outgoing;
use crate::upload::{Upload, Whole};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use starlinghill_decision::api::Outcome;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// How long the client waits; to a backend: how long this gateway does.
pub const BUDGET: HeaderName = HeaderName::from_static("x-budget-ms");

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
    pub(crate) fn request(&self, until: Instant) -> Option<Request<Outgoing>> {
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
        request.headers_mut().insert(BUDGET, HeaderValue::from(left.as_millis() as u64));
        Some(request)
    }
}

/// A 200's body.
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
    /// A 200's body.
    pub body: Option<Served>,
    /// The connection was refused: nothing listens there.
    pub refused: bool,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Ended {
        Ended { outcome, body: None, refused: false }
    }
}
