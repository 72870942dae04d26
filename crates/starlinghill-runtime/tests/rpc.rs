//! How many callers a port takes.

use starlinghill_runtime::net::{tcp, Listener};
use starlinghill_runtime::rpc::{serve, RpcClient};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, yield_now, LocalSet};

const PATIENCE: Duration = Duration::from_secs(5);
const MOST: usize = 3;

#[tokio::test(flavor = "current_thread")]
async fn a_port_takes_as_many_callers_as_it_was_told_and_one_more_when_one_has_gone() {
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("an address");
        let listener: Box<dyn Listener> = Box::new(listener);
        spawn_local(serve(listener, MOST, |_| false, |question: u32, _| async move { question + 1 }));
        let mut kept = Vec::new();
        for i in 0..MOST as u32 {
            let caller = RpcClient::new(&tcp(), at);
            assert_eq!(caller.call::<_, u32>(&i, PATIENCE).await.ok(), Some(i + 1));
            kept.push(caller);
        }
        let late = RpcClient::new(&tcp(), at);
        assert!(late.call::<_, u32>(&7, PATIENCE).await.is_err());
        drop(kept.pop());
        // The end of its connection is on its way.
        for _ in 0..1_000 {
            if late.call::<_, u32>(&7, PATIENCE).await.is_ok() {
                return;
            }
            yield_now().await;
        }
        panic!("it was never let in");
    };
    LocalSet::new().run_until(run).await;
}
