//! Handles client requests: finds the route by host and path and the tenant by its key, then lets the decision module
//! choose backends.

use crate::backend_protocol::{ATTEMPT_ID, TARGET_BACKEND, TENANT, TIME_LEFT};
use crate::decision_settings::NO_TENANT_PLAN;
use crate::registry_client::{service_id, ProxyState};
use crate::rejections::{RejectionCause, RejectionCounters};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use starlinghill_catalog::name_hash;
use starlinghill_config_model::routing::Route;
use starlinghill_decision::api::*;
use starlinghill_gateway::answer::AnswerBody;
use starlinghill_gateway::connections::ConnectionHandle;
use starlinghill_gateway::idle::Reuse;
use starlinghill_gateway::inbox::Answer;
use starlinghill_gateway::server::{
    close_after, close_if_unread, response_body, set_retry_after, text_response, RequestError,
    RequestHandler, RequestIntake, ValidatedRequest,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Time reserved for transport to and from the client. Without it, a response sent right at the deadline arrives too
/// late.
const TRANSPORT_TIME: Micros = Micros(12_000);
/// `Retry-After` where no backend has capacity.
const NO_CAPACITY_RETRY_AFTER: Micros = Micros(200_000);
/// `Retry-After` of a process that has just started. It takes about half a second until it has its configuration.
const STARTUP_RETRY_AFTER: Micros = Micros(500_000);
/// How long new connections are still accepted during shutdown. The platform checks readiness once a second and
/// removes the gateway only after two failures, so new connections arrive until then.
const ACCEPT_AFTER_SHUTDOWN: Duration = Duration::from_millis(2_800);
/// The last response is written this long before the process is killed.
const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(600);

/// Handles the client requests of a proxy.
pub struct ProxyRequestHandler {
    /// Passes requests to the decision module's driver.
    pub intake: RequestIntake,
    /// Routes, tenants and the readiness of this proxy.
    pub shared: Rc<ProxyState>,
    /// Time between SIGTERM and the kill of the process.
    pub grace: Duration,
    /// Random choice among the services of a route.
    pub rng: RefCell<fastrand::Rng>,
    /// Counts rejected requests by cause.
    pub rejections: Rc<RejectionCounters>,
}

struct ParsedRequest {
    wanted: ValidatedRequest,
}

impl ProxyRequestHandler {
    fn read(
        &self,
        head: &hyper::http::request::Parts,
        connection: &Rc<ConnectionHandle>,
    ) -> Result<ParsedRequest, RequestError> {
        let bad = |message| Err((StatusCode::BAD_REQUEST, message));
        // A process without configuration would answer 404 or 401 to valid requests. Clients also connect to a
        // gateway that isn't ready, and stay connected to it.
        if !*self.shared.ready.borrow() {
            self.rejections.record(RejectionCause::NotReady);
            return Err((StatusCode::SERVICE_UNAVAILABLE, "not ready\n"));
        }
        let headers = &head.headers;
        if headers.contains_key(header::TRANSFER_ENCODING) && connection.head.may_have_length() {
            return bad("Transfer-Encoding: expected no Content-Length beside it\n");
        }
        // With a duplicate header, client, gateway and backend could each use a different value.
        let is_duplicate = |name: HeaderName| headers.get_all(name).iter().nth(1).is_some();
        if headers.keys_len() < headers.len()
            && (is_duplicate(header::HOST)
                || is_duplicate(header::AUTHORIZATION)
                || is_duplicate(ATTEMPT_ID)
                || is_duplicate(TIME_LEFT))
        {
            return bad("a header stands twice\n");
        }
        if headers.get(ATTEMPT_ID).is_none_or(|id| id.is_empty()) {
            return bad("Attempt-Id: expected an id\n");
        }
        let time_left = headers.get(TIME_LEFT).and_then(|v| v.to_str().ok()).map(str::parse::<u64>);
        let Ok(time_left) = time_left.transpose() else {
            return bad("Time-Left: expected whole milliseconds\n");
        };
        let host = headers.get(header::HOST).and_then(|v| v.to_str().ok());
        let host = host.or(head.uri.host()).unwrap_or_default();
        let view = self.shared.view.borrow();
        let Some(route) = view.table.route(host, head.uri.path()) else {
            return Err((StatusCode::NOT_FOUND, "no such route\n"));
        };
        let key = headers.get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
        let key = key.and_then(|v| v.strip_prefix("Bearer ")).map(str::trim);
        let tenant = key.and_then(|key| view.table.tenant(key));
        if view.table.requires_key && !route.public && tenant.is_none() {
            return Err((StatusCode::UNAUTHORIZED, "Authorization: expected the key of a customer\n"));
        }
        let class = view.index.class(route, tenant.map(Rc::as_ref));
        let Some(class) = class else {
            self.rejections.record(RejectionCause::NoClass);
            return Err((StatusCode::SERVICE_UNAVAILABLE, "not ready\n"));
        };
        let plan = tenant.and_then(|tenant| view.index.plan(&tenant.name));
        let customer = tenant.map_or(CustomerId(0), |tenant| CustomerId(name_hash(&tenant.name)));
        let timeout = Micros(route.timeout.as_micros() as u64);
        let time_left = time_left.map_or(timeout, |ms| Micros(ms.saturating_mul(1_000)));
        let arrival = Arrival {
            class,
            service: service_id(self.choose_service(route)),
            max_attempts: route.max_tries as usize,
            plan: plan.unwrap_or(NO_TENANT_PLAN),
            customer,
            spread: view.gateways,
            units: 1.0,
            ..Arrival::default()
        };
        let mut headers = headers.clone();
        // The key is secret, and only the gateway may say who the tenant is.
        headers.remove(header::AUTHORIZATION);
        headers.remove(TARGET_BACKEND);
        headers.remove(TENANT);
        if let Some(name) = tenant.and_then(|tenant| HeaderValue::from_str(&tenant.name).ok()) {
            headers.insert(TENANT, name);
        }
        let reuse = if route.idempotent { Reuse::Repeatable } else { Reuse::Once };
        Ok(ParsedRequest {
            wanted: ValidatedRequest {
                arrival,
                budget: time_left.min(timeout) - TRANSPORT_TIME,
                headers,
                reuse,
            },
        })
    }

    /// Chooses one of a route's services at random, by their weights.
    fn choose_service<'a>(&self, route: &'a Route) -> &'a str {
        let total: f64 = route.targets.iter().map(|(_, weight)| weight).sum();
        let mut remaining = self.rng.borrow_mut().f64() * total;
        for (name, weight) in &route.targets {
            remaining -= weight;
            if remaining < 0.0 {
                return name;
            }
        }
        route.targets.iter().rev().find(|(_, weight)| *weight > 0.0).map_or("", |(name, _)| name)
    }
}

impl RequestHandler for ProxyRequestHandler {
    async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &Rc<ConnectionHandle>,
    ) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        let parsed = match self.read(&head, connection) {
            Ok(parsed) => parsed,
            Err((status, message)) => {
                let mut response = text_response(status, message).map(AnswerBody::Left);
                if status == StatusCode::SERVICE_UNAVAILABLE {
                    set_retry_after(response.headers_mut(), Some(STARTUP_RETRY_AFTER));
                }
                // The body was not read, so the connection can't be reused.
                return if hyper::body::Body::is_end_stream(&body) {
                    response
                } else {
                    close_after(response)
                };
            }
        };
        let answer =
            self.intake.handle((head.method, head.uri), body, parsed.wanted, connection, || Ok(())).await;
        let response = match answer {
            Ok(Answer::Served(served, Some(head))) => {
                let mut response = Response::new(response_body(served, connection));
                *response.status_mut() = head.status;
                *response.headers_mut() = client_headers(head.headers);
                response
            }
            Ok(Answer::Refused(wait)) => {
                let (status, cause) = match wait {
                    Some(_) => (StatusCode::TOO_MANY_REQUESTS, RejectionCause::Limited),
                    None => (StatusCode::SERVICE_UNAVAILABLE, RejectionCause::NoCapacity),
                };
                self.rejections.record(cause);
                let mut response = text_response(status, "refused\n").map(AnswerBody::Left);
                set_retry_after(response.headers_mut(), wait.or(Some(NO_CAPACITY_RETRY_AFTER)));
                response
            }
            Ok(Answer::Served(_, None) | Answer::Failed) => {
                self.rejections.record(RejectionCause::Failed);
                text_response(StatusCode::BAD_GATEWAY, "failed\n").map(AnswerBody::Left)
            }
            Err((status, message)) => {
                return close_after(text_response(status, message).map(AnswerBody::Left))
            }
        };
        close_if_unread(response, connection)
    }
    fn stopping(&self) -> watch::Receiver<bool> {
        self.shared.stopping.clone()
    }
    fn is_stopping(&self) -> bool {
        *self.shared.stopping.borrow()
    }
    fn is_shared(&self) -> bool {
        false
    }
    fn accept_grace(&self) -> Duration {
        ACCEPT_AFTER_SHUTDOWN
    }
    fn shutdown_limit(&self) -> Duration {
        self.grace.saturating_sub(LAST_RESPONSE_MARGIN)
    }
}

/// Removes the headers that are only for the gateway from a backend's response.
fn client_headers(mut headers: HeaderMap) -> HeaderMap {
    headers.remove(TARGET_BACKEND);
    headers
}
