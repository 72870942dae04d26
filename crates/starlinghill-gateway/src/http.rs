//! One HTTP/1.1 connection to a backend, the counter or discovery. A call is written once and never repeated
//! here; the caller learns whether any of it was written.

use crate::upload::{BodyError, Upload, MAX_BUFFERED_BYTES};
use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1;
use hyper::{header, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::io::InspectWriter;

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was written, so the call never reached the server.
    NotSent,
    /// The connection broke after at least a part was written, so the call may have had its effect.
    Broken,
}

/// A socket with a callback for the bytes written.
type InspectedSocket = InspectWriter<ProbedSocket, WriteCallback>;
type WriteCallback = Box<dyn FnMut(&[u8])>;

/// A request body: buffered or streamed.
pub type Outgoing = Either<Full<Bytes>, Upload>;

/// A socket that can be checked for unread bytes at this moment. The runtime only knows what it saw at its
/// last poll, which may be long ago in a process that was busy or not scheduled.
struct ProbedSocket {
    stream: TcpStream,
    check_socket: Rc<Cell<bool>>,
}

impl ProbedSocket {
    /// Whether the connection is open with nothing to read at this moment.
    fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for ProbedSocket {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        // The check happens only between two calls, when anything readable is the end of the connection or
        // belongs to no call.
        if self.check_socket.replace(false) && !self.is_quiet() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for ProbedSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// A connection with the protocol state machine that drives it. Dropping it closes the socket at once, also
/// during a call.
pub struct Connection {
    sender: http1::SendRequest<Outgoing>,
    machine: Pin<Box<http1::Connection<TokioIo<InspectedSocket>, Outgoing>>>,
    wrote: Rc<Cell<bool>>,
    check_socket: Rc<Cell<bool>>,
    closed: bool,
    /// When it last became idle.
    pub idle_since: Instant,
    /// How long the server keeps it open while idle, from the last response's `Keep-Alive` header.
    pub keep_alive: Option<Duration>,
}

impl Connection {
    /// Connects. The caller limits the time.
    pub async fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        // Without the option a call may only take longer.
        let _ = stream.set_nodelay(true);
        let wrote = Rc::new(Cell::new(false));
        let wrote_flag = wrote.clone();
        let on_write: WriteCallback =
            Box::new(move |bytes| wrote_flag.set(wrote_flag.get() || !bytes.is_empty()));
        let check_socket = Rc::new(Cell::new(false));
        let inspected = TokioIo::new(InspectedSocket::new(
            ProbedSocket { stream, check_socket: check_socket.clone() },
            on_write,
        ));
        let (sender, machine) = http1::Builder::new()
            .max_buf_size(MAX_BUFFERED_BYTES)
            .handshake(inspected)
            .await
            .map_err(io::Error::other)?;
        Ok(Connection {
            sender,
            machine: Box::pin(machine),
            wrote,
            check_socket,
            closed: false,
            idle_since: Instant::now(),
            keep_alive: None,
        })
    }

    /// Whether it can carry another call, by what the runtime knows of the socket.
    pub fn is_usable(&mut self) -> bool {
        self.is_idle(&mut Context::from_waker(Waker::noop()))
    }

    /// Like `is_usable`, but asks the socket itself.
    pub fn is_usable_now(&mut self) -> bool {
        self.check_socket.set(true);
        let usable = self.is_usable();
        self.check_socket.set(false);
        usable
    }

    /// Like `is_usable`, and wakes the task of `cx` when something arrives or the connection ends.
    pub fn is_idle(&mut self, cx: &mut Context) -> bool {
        self.poll_machine(cx);
        !self.closed && self.sender.is_ready()
    }

    /// Whether any of the current call was written.
    pub fn wrote(&self) -> bool {
        self.wrote.get()
    }

    fn poll_machine(&mut self, cx: &mut Context) {
        // A finished future must not be polled again.
        self.closed = self.closed || self.machine.as_mut().poll(cx).is_ready();
    }

    /// Polls a future together with the state machine that it depends on. Returns `None` if the machine ends
    /// first.
    async fn drive<T>(&mut self, future: impl Future<Output = T>) -> Option<T> {
        let mut future = pin!(future);
        std::future::poll_fn(|cx| {
            self.poll_machine(cx);
            match future.as_mut().poll(cx) {
                Poll::Ready(value) => Poll::Ready(Some(value)),
                Poll::Pending if self.closed => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    /// Makes one call and reads the whole response. After an error the connection can't be used again.
    pub async fn call(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, CallError> {
        let (head, body) =
            self.begin(request.map(Outgoing::Left), MAX_BUFFERED_BYTES as u64).await?.into_parts();
        let body = self.drive(Limited::new(body, MAX_BUFFERED_BYTES).collect()).await;
        let body = body.and_then(Result::ok).ok_or(CallError::Broken)?.to_bytes();
        Ok(Response::from_parts(head, body))
    }

    /// Reads the next frame of a response body; `None` at its end.
    pub async fn frame(&mut self, body: &mut Incoming) -> Option<Result<Frame<Bytes>, BodyError>> {
        std::future::poll_fn(|cx| self.poll_frame(cx, body)).await
    }

    /// Like `frame`, for callers that poll.
    pub fn poll_frame(
        &mut self,
        cx: &mut Context,
        body: &mut Incoming,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.poll_machine(cx);
        match Pin::new(body).poll_frame(cx) {
            Poll::Pending if self.closed => Poll::Ready(Some(Err("the connection ended".into()))),
            polled => polled.map_err(Into::into),
        }
    }

    /// Makes one call and reads the head of the response, whose body may have at most `max_bytes`. The
    /// connection can't be used again after an error, or before the body was read.
    pub async fn begin(
        &mut self,
        request: Request<Outgoing>,
        max_bytes: u64,
    ) -> Result<Response<Incoming>, CallError> {
        self.wrote.set(false);
        let sending = self.sender.try_send_request(request);
        let head = self.drive(sending).await;
        let failed = if self.wrote.get() { CallError::Broken } else { CallError::NotSent };
        let (head, body) = head.and_then(Result::ok).ok_or(failed)?.into_parts();
        self.keep_alive = head.headers.get("keep-alive").and_then(|v| keep_alive(v.to_str().ok()?));
        // Rejects responses whose end can't be told, so that a part would pass for the whole: two framing
        // headers, none (any end of the connection would look like the end of the body), or a length above
        // the limit.
        let (length, chunked) = (header::CONTENT_LENGTH, header::TRANSFER_ENCODING);
        let framings =
            usize::from(head.headers.contains_key(length)) + usize::from(head.headers.contains_key(chunked));
        let has_body = head.status != StatusCode::NO_CONTENT && head.status != StatusCode::NOT_MODIFIED;
        // A body that ends with its connection needs `Connection: close`.
        let closes =
            head.headers.get(header::CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        if has_body && framings != 1 && !(framings == 0 && closes) || body.size_hint().lower() > max_bytes {
            return Err(CallError::Broken);
        }
        Ok(Response::from_parts(head, body))
    }
}

/// Parses `Keep-Alive`, such as `timeout=5, max=100`.
fn keep_alive(text: &str) -> Option<Duration> {
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
