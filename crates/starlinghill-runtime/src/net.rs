//! The network that processes of the system use among themselves: TCP in real processes, simulated links where a
//! simulator runs many processes in one thread. A process gets its network passed in and uses no other.

use socket2::SockRef;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

/// Unacknowledged data for this long ends a TCP connection. Without it, a peer that vanished without closing would be
/// noticed only after many minutes.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// A bidirectional connection.
pub trait Connection: AsyncRead + AsyncWrite + Unpin {
    /// Sets the options for short request-response calls. Failures are ignored: without the options, calls only take
    /// longer to fail.
    fn tune(&self);
}

/// A connection of any network.
pub type Stream = Box<dyn Connection>;

/// The future of an I/O operation.
pub type IoFuture<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + 'a>>;

/// A network as seen from one machine.
pub trait Network {
    /// Opens a connection to an address.
    fn connect(&self, to: SocketAddr) -> IoFuture<'_, Stream>;
    /// Listens on an address.
    fn listen(&self, at: SocketAddr) -> IoFuture<'_, Box<dyn Listener>>;
}

/// A shared network.
pub type NetworkHandle = Rc<dyn Network>;

/// A listening socket.
pub trait Listener {
    /// Waits for the next connection; returns it with the peer's address.
    fn accept(&self) -> IoFuture<'_, (Stream, SocketAddr)>;
}

/// TCP on this machine.
pub struct Tcp;

/// A handle to the TCP network of this machine.
pub fn tcp() -> NetworkHandle {
    Rc::new(Tcp)
}

impl Network for Tcp {
    fn connect(&self, to: SocketAddr) -> IoFuture<'_, Stream> {
        Box::pin(async move { Ok(Box::new(TcpStream::connect(to).await?) as Stream) })
    }

    fn listen(&self, at: SocketAddr) -> IoFuture<'_, Box<dyn Listener>> {
        Box::pin(async move { Ok(Box::new(TcpListener::bind(at).await?) as Box<dyn Listener>) })
    }
}

impl Listener for TcpListener {
    fn accept(&self) -> IoFuture<'_, (Stream, SocketAddr)> {
        Box::pin(async move {
            let (stream, from) = TcpListener::accept(self).await?;
            Ok((Box::new(stream) as Stream, from))
        })
    }
}

impl Connection for TcpStream {
    fn tune(&self) {
        let _ = self.set_nodelay(true);
        let _ = SockRef::from(self).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    }
}
