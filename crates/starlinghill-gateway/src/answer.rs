//! What goes back to a client: held whole, or passed on as it comes.

use crate::connections::ConnectionHandle;
use crate::download::Download;
use crate::upload::BodyError;
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The body of an answer.
pub type AnswerBody = Either<Full<Bytes>, Passing>;

/// An answer that is passed on keeps its connection busy until its last byte.
pub struct Passing {
    download: Box<Download>,
    line: Rc<ConnectionHandle>,
}

impl Passing {
    /// On that client's connection.
    pub fn new(download: Box<Download>, line: Rc<ConnectionHandle>) -> Passing {
        line.passes();
        Passing { download, line }
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        self.line.is_between();
    }
}

impl Body for Passing {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        // Whoever is asked for more has a client that reads.
        self.line.passes();
        Pin::new(&mut *self.download).poll_frame(cx)
    }
    fn is_end_stream(&self) -> bool {
        self.download.is_end_stream()
    }
    fn size_hint(&self) -> SizeHint {
        self.download.size_hint()
    }
}
