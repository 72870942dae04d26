//! The head of a client's request as it came over the socket. hyper keeps one of two lengths and does not tell of the other.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio_util::io::InspectReader;

/// The longest head that is looked at.
const LONGEST: usize = 16 * 1024;

/// What a connection's present head said of its body's length.
#[derive(Default)]
pub struct Head {
    bytes: RefCell<Vec<u8>>,
    whole: Cell<bool>,
}

impl Head {
    /// The next byte is the first of another head.
    pub fn begin(&self) {
        self.bytes.borrow_mut().clear();
        self.whole.set(false);
    }

    /// The head names a length, or can't be told from what follows it. Guards against a second request hidden in a body that is
    /// chunked and has a length as well, which is there for who goes by the other of the two.
    pub fn may_have_length(&self) -> bool {
        const NAME: &[u8] = b"content-length";
        let bytes = self.bytes.borrow();
        let names = |line: &[u8]| line.len() >= NAME.len() && line[..NAME.len()].eq_ignore_ascii_case(NAME);
        !self.whole.get() || bytes.split(|byte| *byte == b'\n').any(|line| names(line.trim_ascii_start()))
    }

    fn saw(&self, new: &[u8]) {
        if self.whole.get() || new.is_empty() {
            return;
        }
        let mut bytes = self.bytes.borrow_mut();
        let from = bytes.len().saturating_sub(3);
        let room = LONGEST.saturating_sub(bytes.len());
        bytes.extend_from_slice(&new[..new.len().min(room)]);
        if let Some(end) = bytes[from..].windows(4).position(|four| four == b"\r\n\r\n") {
            bytes.truncate(from + end + 4);
            self.whole.set(true);
        }
    }
}

/// A client's socket; what comes over it goes into that head.
pub fn seen(stream: TcpStream, head: Rc<Head>) -> InspectReader<TcpStream, impl FnMut(&[u8])> {
    InspectReader::new(stream, move |bytes| head.saw(bytes))
}
