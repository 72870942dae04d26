//! The readiness endpoint, which the platform polls to decide whether this gateway gets connections.

use crate::registry_client::ProxyState;
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

/// Timeout for a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves readiness checks until the process ends.
pub async fn serve(listener: TcpListener, shared: Rc<ProxyState>) {
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
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // An error here concerns only this caller.
            let _ = connection.await;
        });
    }
}
