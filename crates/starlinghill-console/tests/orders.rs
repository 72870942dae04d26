//! Orders that one process receives and does not answer: what the console tells the operator, and whom it asks next.

use starlinghill_config_store::wire::{
    MembershipDelay, MembershipOrder, MembershipOutcome, MembershipStatus, StoreRequest, StoreResponse,
};
use starlinghill_consensus::{Ballot, Members};
use starlinghill_console::client::{ClientError, RegistryClient};
use starlinghill_runtime::frame;
use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

/// What a stand-in does with an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behavior {
    Refuses,
    Accepts,
    Silent,
    ClosesConnection,
}
use Behavior::*;

/// The outcome for the operator.
#[derive(Debug, PartialEq, Eq)]
enum Told {
    Done,
    Refused,
    Unclear,
    ConnectionLost,
}

fn told<T>(result: Result<T, ClientError>) -> Told {
    match result {
        Ok(_) => Told::Done,
        Err(ClientError::Unclear { .. }) => Told::Unclear,
        Err(ClientError::ConnectionLost { .. }) => Told::ConnectionLost,
        Err(_) => Told::Refused,
    }
}

/// Stand-ins on loopback addresses of their own that share one port, as stores do, and the count of orders received.
async fn stand_ins<F, W>(behaviors: [Behavior; 3], serve: F) -> (Vec<SocketAddr>, Rc<Cell<usize>>)
where
    F: Fn(TcpStream, Behavior, Rc<Cell<usize>>) -> W + Copy + 'static,
    W: std::future::Future<Output = ()> + 'static,
{
    let orders = Rc::new(Cell::new(0));
    let (mut addresses, mut port) = (Vec::new(), 0);
    for (i, behavior) in behaviors.into_iter().enumerate() {
        let ip = IpAddr::from([127, 60, 1, i as u8 + 1]);
        let listener = TcpListener::bind((ip, port)).await.expect("a free address");
        let address = listener.local_addr().expect("bound");
        port = address.port();
        addresses.push(address);
        let orders = orders.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve(stream, behavior, orders.clone()));
            }
        });
    }
    (addresses, orders)
}

fn members() -> Members {
    Members::founding((1..=3).map(|i| IpAddr::from([127, 60, 1, i])))
}

async fn serve_store(mut stream: TcpStream, behavior: Behavior, orders: Rc<Cell<usize>>) {
    let own_ip = stream.local_addr().expect("connected").ip();
    let mut reader = frame::Reader::default();
    while let Ok(Some(request)) = reader.read::<StoreRequest>(&mut stream).await {
        let response = match request {
            StoreRequest::Status => StoreResponse::Status(MembershipStatus {
                me: members().member_at(own_ip).expect("a member"),
                members: members(),
                fresh: true,
                chosen: Ballot::default(),
                unchanged_for_ms: 0,
                last_heard_ms: Vec::new(),
                candidates: Vec::new(),
            }),
            StoreRequest::ChangeMembers(_) => {
                orders.set(orders.get() + 1);
                match behavior {
                    Refuses => StoreResponse::Membership(MembershipOutcome::Waits(MembershipDelay::Refused)),
                    Accepts => StoreResponse::Membership(MembershipOutcome::Stands),
                    Silent => std::future::pending().await,
                    ClosesConnection => return,
                }
            }
            _ => StoreResponse::Unavailable,
        };
        frame::write(&mut stream, &response).await.expect("the console listens");
    }
}

// Guards against an order to change members that is told as refused and carried out later, and against one that ends one
// store after the other (CONFIG and FAULT, issue 64).
#[test_case([Refuses, Refuses, Refuses], Told::Refused, 3; "all refuse")]
#[test_case([Silent, Accepts, Refuses], Told::Done, 2; "the second one accepts")]
#[test_case([Silent, Refuses, Refuses], Told::Unclear, 3; "one is silent and the others refuse")]
#[test_case([ClosesConnection, Accepts, Accepts], Told::ConnectionLost, 1; "one closes the connection")]
#[test_case([Refuses, ClosesConnection, Accepts], Told::ConnectionLost, 2; "the second one closes the connection")]
fn an_order_to_change_members_that_is_not_answered_is_not_told_as_refused(
    behaviors: [Behavior; 3],
    expected: Told,
    asked: usize,
) {
    with_stand_ins(async move {
        let (stores, orders) = stand_ins(behaviors, serve_store).await;
        let client = RegistryClient { registries: Vec::new(), stores, http_addresses: Vec::new() };
        let order = MembershipOrder::Remove(IpAddr::from([127, 60, 1, 3]));
        assert_eq!(told(client.change_members(order).await), expected);
        assert_eq!(orders.get(), asked);
    });
}

async fn serve_registry(mut stream: TcpStream, behavior: Behavior, orders: Rc<Cell<usize>>) {
    let mut request = vec![0; 4_096];
    let _ = stream.read(&mut request).await;
    orders.set(orders.get() + 1);
    let answer = match behavior {
        Refuses => "HTTP/1.1 400 Bad Request\r\ncontent-length: 2\r\n\r\n{}",
        Accepts => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        Silent => std::future::pending().await,
        ClosesConnection => return,
    };
    stream.write_all(answer.as_bytes()).await.expect("the console listens");
}

// Guards against an order that ends one registry after the other (FAULT, issue 64).
#[test_case([Refuses, Accepts, Accepts], Told::Refused, 1; "the first one refuses")]
#[test_case([Silent, Accepts, Accepts], Told::Done, 2; "the first one is silent")]
#[test_case([ClosesConnection, Accepts, Accepts], Told::ConnectionLost, 1; "the first one closes the connection")]
#[test_case([Silent, ClosesConnection, Accepts], Told::ConnectionLost, 2; "the second one closes the connection")]
fn a_change_goes_to_no_other_registry_after_one_has_closed_the_connection(
    behaviors: [Behavior; 3],
    expected: Told,
    asked: usize,
) {
    with_stand_ins(async move {
        let (http_addresses, orders) = stand_ins(behaviors, serve_registry).await;
        let client = RegistryClient { registries: Vec::new(), stores: Vec::new(), http_addresses };
        assert_eq!(told(client.apply(b"{}".to_vec()).await), expected);
        assert_eq!(orders.get(), asked);
    });
}

fn with_stand_ins(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}
