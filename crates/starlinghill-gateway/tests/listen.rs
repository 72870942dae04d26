//! The options of the listening sockets, inherited by accepted sockets, and sockets that do not support them.

use starlinghill_gateway::listen;
use std::os::unix::net::UnixDatagram;
use tokio::net::TcpStream;

#[tokio::test]
async fn accepted_sockets_inherit_tcp_nodelay() {
    let listener = listen::bind("127.0.0.1:0".parse().expect("an address")).await.expect("free");
    let address = listener.local_addr().expect("bound");
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    client.expect("connected");
    assert!(accepted.expect("accepted").0.nodelay().expect("a TCP socket"));
}

#[test]
fn a_socket_without_tcp_nodelay_still_works() {
    let (socket, _other) = UnixDatagram::pair().expect("a pair");
    listen::set_nodelay(&socket);
    assert!(socket.send(b"still open").is_ok());
}
