//! A client's request on its way to backends, and the result of an attempt.

use crate::backend::Backend;
use crate::backend_protocol::BackendProtocol;
use crate::download::Download;
use crate::http::Outgoing;
use crate::idle::Reuse;
use crate::upload::{Upload, UploadCompletion};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode, Uri};
use starlinghill_decision::api::Outcome;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// The body of a client's request.
pub enum Payload {
    /// Complete, so that it can be sent again.
    Buffered(Bytes),
    /// Streamed, so that it can be sent only once. The client's time limit, `budget`, starts at its last
    /// byte.
    Streaming {
        /// Taken by the attempt that sends it.
        upload: RefCell<Option<Upload>>,
        /// Completed at the last byte.
        completion: Rc<UploadCompletion>,
        /// How long the client waits after the last byte.
        budget: Duration,
    },
}

/// A client's request as it goes to backends.
pub struct ForwardedRequest {
    /// The HTTP method.
    pub method: Method,
    /// Path and query; no scheme or host.
    pub uri: Uri,
    /// The headers, without those that apply to the client's connection only.
    pub headers: HeaderMap,
    /// The body, buffered or streamed.
    pub body: Payload,
    /// Which pooled connections the request may use.
    pub reuse: Reuse,
}

impl ForwardedRequest {
    /// The completion of the body, if that is streamed.
    pub fn upload_completion(&self) -> Option<&UploadCompletion> {
        match &self.body {
            Payload::Buffered(_) => None,
            Payload::Streaming { completion, .. } => Some(completion),
        }
    }

    /// When the client's time limit started, if the body is streamed and complete.
    pub fn upload_completed_at(&self) -> Option<Instant> {
        self.upload_completion().and_then(UploadCompletion::at)
    }

    /// Waits until the time of an attempt is over.
    pub(crate) async fn wait_deadline(&self, until: Instant) {
        match &self.body {
            Payload::Buffered(_) => sleep_until(until).await,
            Payload::Streaming { completion, budget, .. } => {
                tokio::select! {
                    at = completion.wait() => sleep_until(until.min(at + *budget)).await,
                    () = sleep_until(until) => {}
                }
            }
        }
    }

    /// Builds the request for one attempt; `None` if the body was sent already.
    pub(crate) fn request(
        &self,
        until: Instant,
        protocol: &dyn BackendProtocol,
        backend: &Backend,
    ) -> Option<Request<Outgoing>> {
        let body = match &self.body {
            Payload::Buffered(body) => Outgoing::Left(Full::new(body.clone())),
            Payload::Streaming { upload, .. } => Outgoing::Right(upload.take()?),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let remaining = match &self.body {
            Payload::Buffered(_) => until.saturating_duration_since(Instant::now()),
            Payload::Streaming { budget, .. } => *budget,
        };
        protocol.set_headers(request.headers_mut(), backend, remaining.as_millis() as u64);
        Some(request)
    }
}

/// The head of a backend's response, kept where the client gets it.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers, without those that apply to the backend's connection only.
    pub headers: HeaderMap,
}

/// The body of a response for the client.
pub enum ServedBody {
    /// Complete.
    Buffered(Bytes),
    /// Streamed, because it is long or slow. The attempt ends with it.
    Streaming(Box<Download>),
}

/// How an attempt ended, and its response where there is one for the client.
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The body, if the client may get it.
    pub body: Option<ServedBody>,
    /// The head, if the client may get it.
    pub head: Option<Box<ResponseHead>>,
    /// The connection was refused: no process listens at the address.
    pub refused: bool,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, body: None, head: None, refused: false }
    }
}
