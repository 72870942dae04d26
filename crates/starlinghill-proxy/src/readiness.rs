//! Where the platform asks whether this gateway is ready.

use crate::registry_client::Shared;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use starlinghill_gateway::server::text_response;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// One that asks and does not go on is not waited for.
const SLOW: Duration = Duration::from_secs(5);

/// Answers for ever.
pub async fn serve(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let shared = shared.clone();
        spawn_local(async move {
            let service = service_fn(|request: Request<_>| {
                let ready = *shared.ready.borrow() && !*shared.stopping.borrow();
                let status = match request.uri().path() {
                    "/api/ready" if ready => StatusCode::OK,
                    "/api/ready" => StatusCode::SERVICE_UNAVAILABLE,
                    _ => StatusCode::NOT_FOUND,
                };
                async move { Ok::<_, Infallible>(text_response(status, "")) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(SLOW)
                .serve_connection(TokioIo::new(stream), service);
            // How the one who asked ends is its own affair.
            let _ = connection.await;
        });
    }
}
