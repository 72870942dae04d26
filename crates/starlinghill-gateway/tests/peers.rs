//! Messages between gateways, over loopback sockets.

use starlinghill_gateway::inbox::{Input, PeerSender};
use starlinghill_gateway::peers::{PeerSocket, Peers};
use starlinghill_testkit::stubs::on_runtime;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Two sockets of gateways, and one of a stranger. The first is closed again, so that the gateway under test
/// can use its address.
fn sockets() -> ([SocketAddr; 2], UdpSocket, UdpSocket) {
    let bind = || UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (own, peer, stranger) = (bind(), bind(), bind());
    let address = |socket: &UdpSocket| socket.local_addr().expect("bound");
    ([address(&own), address(&peer)], peer, stranger)
}

async fn next(inputs: &mut mpsc::Receiver<Input>) -> Option<(u32, Vec<u8>)> {
    match timeout(Duration::from_secs(5), inputs.recv()).await {
        Ok(Some(Input::PeerMessage(from, message))) => Some((from, message)),
        _ => None,
    }
}

#[test]
fn only_messages_from_peers_are_accepted_and_at_most_at_the_configured_rate() {
    let ([own, other], peer, stranger) = sockets();
    on_runtime(async {
        let peers = Peers { listen: own, all: vec![own, other], own_number: 0, per_s: 3.0 };
        let gateway = Rc::new(PeerSocket::open(&peers).await.expect("it opens"));
        let (inbox, mut inputs) = mpsc::channel(64);
        let receive = gateway.clone().receive(inbox);
        let check = async {
            stranger.send_to(b"forged", own).expect("sent");
            peer.send_to(&[7; 257], own).expect("sent");
            for n in 1..=20 {
                peer.send_to(&[n], own).expect("sent");
            }
            // On loopback datagrams arrive in order: the stranger's and the one that is too long were
            // dropped.
            let first = next(&mut inputs).await;
            assert_eq!(first, Some((1, vec![1])));
            assert_eq!(next(&mut inputs).await, Some((1, vec![2])));
            assert_eq!(next(&mut inputs).await, Some((1, vec![3])));
            // The others within the same second are dropped; a message after that is received.
            let mut later = None;
            for _ in 0..200 {
                peer.send_to(b"later", own).expect("sent");
                if let Ok(Some(Input::PeerMessage(_, message))) =
                    timeout(Duration::from_millis(50), inputs.recv()).await
                {
                    later = Some(message);
                    break;
                }
            }
            assert_eq!(later.as_deref(), Some(&b"later"[..]));
        };
        tokio::select! {
            () = receive => panic!("it runs forever"),
            () = check => {}
        }
    });
}

#[test]
fn a_message_is_sent_to_the_peer_with_that_number_and_longer_ones_are_dropped() {
    let ([own, other], peer, _) = sockets();
    peer.set_read_timeout(Some(Duration::from_secs(5))).expect("a socket");
    on_runtime(async {
        let gateway =
            PeerSocket::open(&Peers { listen: own, all: vec![own, other], own_number: 0, per_s: 60.0 }).await;
        let gateway = gateway.expect("it opens");
        gateway.send(1, &[1; 257]);
        gateway.send(9, b"nobody");
        gateway.send(1, b"whole");
        let mut buffer = [0; 300];
        let (length, from) = peer.recv_from(&mut buffer).expect("a message");
        assert_eq!((&buffer[..length], from), (&b"whole"[..], own));
    });
}
