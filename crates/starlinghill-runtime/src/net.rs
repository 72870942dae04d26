//! What the system's processes call each other over: TCP where they are programs, links of its own where somebody plays
//! many of them in one thread. A process is handed its network and knows no other.

use socket2::SockRef;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

/// Guards against peers that vanish without a word: what they don't take for so long ends the connection.
const SILENCE: Duration = Duration::from_millis(1500);

/// A connection, both ways.
pub trait Connection: AsyncRead + AsyncWrite + Unpin {
    /// Sets it up for the system's own calls. Where the machine can't, calls merely take longer to fail.
    fn tune(&self);
}

/// Any connection.
pub type Stream = Box<dyn Connection>;

/// What may take a while and fail.
pub type IoFuture<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + 'a>>;

/// A network, as one machine sees it.
pub trait Network {
    /// Connects to an address.
    fn connect(&self, to: SocketAddr) -> IoFuture<'_, Stream>;
    /// Listens on an address.
    fn listen(&self, at: SocketAddr) -> IoFuture<'_, Box<dyn Listener>>;
}

/// The way to a network.
pub type NetworkHandle = Rc<dyn Network>;

/// A port that is listened on.
pub trait Listener {
    /// The next connection, and where it comes from.
    fn accept(&self) -> IoFuture<'_, (Stream, SocketAddr)>;
}

/// The machine's own network.
pub struct Tcp;

/// The way to the machine's own network.
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
        let _ = SockRef::from(self).set_tcp_user_timeout(Some(SILENCE));
    }
}
