//! The listening sockets of a gateway.

use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use tokio::net::TcpListener;
use tracing::info;

/// Listens on an address, with `TCP_NODELAY` for the connections accepted there.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    set_nodelay(&listener);
    Ok(listener)
}

/// Sets `TCP_NODELAY` on a listener. On Linux the sockets that it accepts inherit the option (tcp(7)), which
/// saves a system call per connection.
///
/// The option only makes answers faster, so a platform that does not allow it is no reason to reject clients.
pub fn set_nodelay(listener: &impl AsFd) {
    if let Err(error) = SockRef::from(listener).set_tcp_nodelay(true) {
        info!(%error, "TCP_NODELAY can't be set here; clients are served without it");
    }
}
