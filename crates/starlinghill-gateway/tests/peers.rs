//! Datagrams between gateways, on loopback sockets.

use starlinghill_gateway::inbox::{Input, PeerSender};
use starlinghill_gateway::peers::{Peers, Socket};
use starlinghill_testkit::stubs::on_runtime;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Two sockets of peers, and one of a stranger; the first is let go, for the gateway under test.
fn sockets() -> ([SocketAddr; 2], UdpSocket, UdpSocket) {
    let bind = || UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (own, peer, stranger) = (bind(), bind(), bind());
    let address = |socket: &UdpSocket| socket.local_addr().expect("bound");
    ([address(&own), address(&peer)], peer, stranger)
}

async fn next(told: &mut mpsc::Receiver<Input>) -> Option<(u32, Vec<u8>)> {
    match timeout(Duration::from_secs(5), told.recv()).await {
        Ok(Some(Input::Peer(from, message))) => Some((from, message)),
        _ => None,
    }
}

#[test]
fn only_what_a_peer_sends_is_taken_in_and_no_more_than_the_settings_say() {
    let ([own, other], peer, stranger) = sockets();
    on_runtime(async {
        let peers = Peers { listen: own, all: vec![own, other], me: 0, per_s: 3.0 };
        let post = Rc::new(Socket::open(&peers).await.expect("it opens"));
        let (inbox, mut told) = mpsc::channel(64);
        let receive = post.clone().receive(inbox);
        let check = async {
            stranger.send_to(b"forged", own).expect("sent");
            peer.send_to(&[7; 257], own).expect("sent");
            for n in 1..=20 {
                peer.send_to(&[n], own).expect("sent");
            }
            // On loopback they come in order: the stranger's and the long one were passed over.
            let first = next(&mut told).await;
            assert_eq!(first, Some((1, vec![1])));
            assert_eq!(next(&mut told).await, Some((1, vec![2])));
            assert_eq!(next(&mut told).await, Some((1, vec![3])));
            // Whatever of the rest was within the second is gone; a later one is told.
            let mut later = None;
            for _ in 0..200 {
                peer.send_to(b"later", own).expect("sent");
                if let Ok(Some(Input::Peer(_, message))) =
                    timeout(Duration::from_millis(50), told.recv()).await
                {
                    later = Some(message);
                    break;
                }
            }
            assert_eq!(later.as_deref(), Some(&b"later"[..]));
        };
        tokio::select! {
            () = receive => panic!("it goes on for ever"),
            () = check => {}
        }
    });
}

#[test]
fn a_message_goes_to_the_peer_of_that_number_and_none_is_too_long() {
    let ([own, other], peer, _) = sockets();
    peer.set_read_timeout(Some(Duration::from_secs(5))).expect("a socket");
    on_runtime(async {
        let post = Socket::open(&Peers { listen: own, all: vec![own, other], me: 0, per_s: 60.0 }).await;
        let post = post.expect("it opens");
        post.send(1, &[1; 257]);
        post.send(9, b"nobody");
        post.send(1, b"whole");
        let mut buffer = [0; 300];
        let (length, from) = peer.recv_from(&mut buffer).expect("it comes");
        assert_eq!((&buffer[..length], from), (&b"whole"[..], own));
    });
}
