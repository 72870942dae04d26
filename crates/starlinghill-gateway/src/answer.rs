//! What goes back to a client: held whole, or passed on as it comes.

use crate::passing::{BodyError, Download};
use crate::server::Line;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The body of an answer.
pub enum AnswerBody {
    /// Held whole.
    Whole(Full<Bytes>),
    /// Passed on.
    Passing(Passing),
}

/// An answer that is passed on keeps its connection busy until its last byte.
pub struct Passing {
    download: Box<Download>,
    line: Rc<Line>,
}

impl Passing {
    /// On that client's connection.
    pub fn new(download: Box<Download>, line: Rc<Line>) -> Passing {
        line.passes();
        Passing { download, line }
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        self.line.is_between();
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            AnswerBody::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            AnswerBody::Passing(passing) => {
                // Whoever is asked for more has a client that reads.
                passing.line.passes();
                Pin::new(&mut *passing.download).poll_frame(cx)
            }
        }
    }
    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(body) => body.is_end_stream(),
            AnswerBody::Passing(passing) => passing.download.is_end_stream(),
        }
    }
    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(body) => body.size_hint(),
            AnswerBody::Passing(passing) => passing.download.size_hint(),
        }
    }
}
