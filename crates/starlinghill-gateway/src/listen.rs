//! The listening sockets of a gateway.

use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use tokio::net::TcpListener;
use tracing::info;

/// Listens on an address; what is accepted there sends small answers at once.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    send_at_once(&listener);
    Ok(listener)
}

/// Sets `TCP_NODELAY` for all that this listener accepts: on Linux an accepted socket takes it over (tcp(7)).
///
/// Guards against a platform on which the option can't be set: it makes answers faster and is no ground to turn a client away.
/// Set for each accepted socket, it was a system call a connection besides.
pub fn send_at_once(listener: &impl AsFd) {
    if let Err(error) = SockRef::from(listener).set_tcp_nodelay(true) {
        info!(%error, "TCP_NODELAY can't be set here; clients are served without it");
    }
}
