//! The listening socket for clients, where the platform holds it: every process of this gateway inherits it.

use std::io;
use std::net::TcpListener;

/// Takes the socket that was inherited under this number. To be called once, before anything else is opened.
pub fn listener(number: u32) -> io::Result<TcpListener> {
    // `listenfd` reads the usual form, of which this platform names one number only.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    std::env::remove_var("LISTEN_PID");
    let listener = listenfd::ListenFd::from_env().take_tcp_listener(0)?;
    let listener = listener.ok_or_else(|| io::Error::other("no such descriptor"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
