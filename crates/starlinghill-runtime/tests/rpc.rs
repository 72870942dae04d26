//! The limit of connections to a port, which protects a process's file descriptors.

use starlinghill_runtime::net::{tcp, Listener};
use starlinghill_runtime::rpc::{serve, RpcClient};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, yield_now, LocalSet};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_PEERS: usize = 3;

#[tokio::test(flavor = "current_thread")]
async fn a_port_accepts_callers_up_to_its_limit_and_one_more_when_one_has_disconnected() {
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("an address");
        let listener: Box<dyn Listener> = Box::new(listener);
        spawn_local(serve(listener, MAX_PEERS, |_| false, |request: u32, _| async move { request + 1 }));
        let mut connected = Vec::new();
        for i in 0..MAX_PEERS as u32 {
            let caller = RpcClient::new(&tcp(), at);
            assert_eq!(caller.call::<_, u32>(&i, CALL_TIMEOUT).await.ok(), Some(i + 1));
            connected.push(caller);
        }
        let extra = RpcClient::new(&tcp(), at);
        assert!(extra.call::<_, u32>(&7, CALL_TIMEOUT).await.is_err());
        drop(connected.pop());
        // The server may not have noticed the closed connection yet.
        for _ in 0..1_000 {
            if extra.call::<_, u32>(&7, CALL_TIMEOUT).await.is_ok() {
                return;
            }
            yield_now().await;
        }
        panic!("the extra caller was never accepted");
    };
    LocalSet::new().run_until(run).await;
}
