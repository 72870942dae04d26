//! Records the head of a client's request as it came over the socket. Of `Content-Length` and
//! `Transfer-Encoding` hyper keeps only one and does not report the other, but a request with both must be
//! rejected.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio_util::io::InspectReader;

/// The most bytes of a head that are recorded.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The recorded head of a connection's current request.
#[derive(Default)]
pub struct RequestHead {
    bytes: RefCell<Vec<u8>>,
    complete: Cell<bool>,
}

impl RequestHead {
    /// Starts the record of the next head.
    pub fn begin(&self) {
        self.bytes.borrow_mut().clear();
        self.complete.set(false);
    }

    /// Whether the head has a `Content-Length`, or its end was not recorded. A body that is chunked and has a
    /// length can hide a second request, which software that goes by the other of the two would see.
    pub fn may_have_length(&self) -> bool {
        const NAME: &[u8] = b"content-length";
        let bytes = self.bytes.borrow();
        let is_length =
            |line: &[u8]| line.len() >= NAME.len() && line[..NAME.len()].eq_ignore_ascii_case(NAME);
        !self.complete.get()
            || bytes.split(|byte| *byte == b'\n').any(|line| is_length(line.trim_ascii_start()))
    }

    fn record(&self, new: &[u8]) {
        if self.complete.get() || new.is_empty() {
            return;
        }
        let mut bytes = self.bytes.borrow_mut();
        let from = bytes.len().saturating_sub(3);
        let room = MAX_HEAD_BYTES.saturating_sub(bytes.len());
        bytes.extend_from_slice(&new[..new.len().min(room)]);
        if let Some(end) = bytes[from..].windows(4).position(|four| four == b"\r\n\r\n") {
            bytes.truncate(from + end + 4);
            self.complete.set(true);
        }
    }
}

/// Wraps a client's socket so that the bytes read from it are added to `head`.
pub fn record_head(stream: TcpStream, head: Rc<RequestHead>) -> InspectReader<TcpStream, impl FnMut(&[u8])> {
    InspectReader::new(stream, move |bytes| head.record(bytes))
}
