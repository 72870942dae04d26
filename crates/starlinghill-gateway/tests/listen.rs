//! The listening sockets: what they hand on to what they accept, and what they do where they can't.

use starlinghill_gateway::listen;
use std::os::unix::net::UnixDatagram;
use tokio::net::TcpStream;

#[tokio::test]
async fn what_is_accepted_sends_small_answers_at_once() {
    let listener = listen::bind("127.0.0.1:0".parse().expect("an address")).await.expect("free");
    let address = listener.local_addr().expect("bound");
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    client.expect("connected");
    assert!(accepted.expect("accepted").0.nodelay().expect("a TCP socket"));
}

#[test]
fn a_socket_that_takes_no_such_option_is_used_as_it_is() {
    let (socket, _other) = UnixDatagram::pair().expect("a pair");
    listen::send_at_once(&socket);
    assert!(socket.send(b"still open").is_ok());
}
