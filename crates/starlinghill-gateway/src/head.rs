//! The head of a client's request as it came over the socket. hyper keeps one of two lengths and does not tell of the other.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

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

/// A client's socket, and the head that came over it.
pub struct Seen {
    stream: TcpStream,
    head: Rc<Head>,
}

impl Seen {
    /// What comes over this socket goes into that head.
    pub fn new(stream: TcpStream, head: Rc<Head>) -> Seen {
        Seen { stream, head }
    }
}

impl AsyncRead for Seen {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let from = buf.filled().len();
        let done = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.head.saw(&buf.filled()[from..]);
        done
    }
}

impl AsyncWrite for Seen {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
