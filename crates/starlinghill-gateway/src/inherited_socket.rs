//! The listening socket for clients where the platform opens it and every process of this gateway inherits
//! it.

use std::io;
use std::net::TcpListener;

/// Takes the inherited socket with this descriptor number. Must be called once, before anything else is
/// opened.
pub fn listener(number: u32) -> io::Result<TcpListener> {
    // `listenfd` expects the usual `LISTEN_*` variables; this platform sets only `NODE_ACCEPT_FD`.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    std::env::remove_var("LISTEN_PID");
    let listener = listenfd::ListenFd::from_env().take_tcp_listener(0)?;
    let listener = listener.ok_or_else(|| io::Error::other("no such descriptor"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
