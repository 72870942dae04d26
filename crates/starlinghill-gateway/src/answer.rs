//! The body of a response to a client: buffered or streamed.

use crate::connections::ConnectionHandle;
use crate::download::Download;
use crate::upload::BodyError;
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The body of a response to a client.
pub type AnswerBody = Either<Full<Bytes>, StreamingBody>;

/// A streamed response body. It keeps the client's connection in the streaming state until the last byte.
pub struct StreamingBody {
    download: Box<Download>,
    connection: Rc<ConnectionHandle>,
}

impl StreamingBody {
    /// Starts to stream on this client's connection.
    pub fn new(download: Box<Download>, connection: Rc<ConnectionHandle>) -> StreamingBody {
        connection.mark_streaming();
        StreamingBody { download, connection }
    }
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        self.connection.mark_idle();
    }
}

impl Body for StreamingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        // A poll means that the client reads.
        self.connection.mark_streaming();
        Pin::new(&mut *self.download).poll_frame(cx)
    }
    fn is_end_stream(&self) -> bool {
        self.download.is_end_stream()
    }
    fn size_hint(&self) -> SizeHint {
        self.download.size_hint()
    }
}
