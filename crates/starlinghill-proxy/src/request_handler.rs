//! Clients' requests: the route by host and path, the tenant by key, then the module's decision.

use crate::backend_protocol::{ATTEMPT, CUSTOMER, TARGET, TIME_LEFT};
use crate::decision_settings::NOBODY;
use crate::registry_client::{service, Shared};
use crate::rejections::{Cause, Refusals};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use starlinghill_catalog::number;
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

/// What the way to the client and back takes: an answer that leaves at the deadline itself comes too late.
const ON_THE_WAY: Micros = Micros(12_000);
/// When to come back where no backend has room.
const SOON: Micros = Micros(200_000);
/// When to come back to a process that has just started: it takes some half a second to be told of all.
const STARTED: Micros = Micros(500_000);
/// The platform asks once a second whether a gateway is ready, and gives up on it after two misses: until then new
/// connections come.
const LAST_CALL: Duration = Duration::from_millis(2_800);
/// So long before the process is killed the last answer is written.
const WRITING: Duration = Duration::from_millis(600);

/// The clients' side of a proxy.
pub struct Front {
    /// What takes requests.
    pub intake: RequestIntake,
    /// What they are decided by.
    pub shared: Rc<Shared>,
    /// How long after SIGTERM the process is killed.
    pub grace: Duration,
    /// Draws among the services of a route.
    pub draw: RefCell<fastrand::Rng>,
    /// What was refused, and why.
    pub refusals: Rc<Refusals>,
}

struct Taken {
    wanted: ValidatedRequest,
}

impl Front {
    fn read(
        &self,
        head: &hyper::http::request::Parts,
        line: &Rc<ConnectionHandle>,
    ) -> Result<Taken, RequestError> {
        let bad = |problem| Err((StatusCode::BAD_REQUEST, problem));
        // Guards against a 404 or 401 of a process that knows no routes yet: clients come to one that is not ready, too, and
        // go nowhere else after that.
        if !*self.shared.ready.borrow() {
            self.refusals.note(Cause::NotReady);
            return Err((StatusCode::SERVICE_UNAVAILABLE, "not ready\n"));
        }
        let headers = &head.headers;
        if headers.contains_key(header::TRANSFER_ENCODING) && line.head.may_have_length() {
            return bad("Transfer-Encoding: expected no Content-Length beside it\n");
        }
        // Guards against two readings of one request: which of two values counts, nobody says.
        let twice = |name: HeaderName| headers.get_all(name).iter().nth(1).is_some();
        if headers.keys_len() < headers.len()
            && (twice(header::HOST) || twice(header::AUTHORIZATION) || twice(ATTEMPT) || twice(TIME_LEFT))
        {
            return bad("a header stands twice\n");
        }
        if headers.get(ATTEMPT).is_none_or(|id| id.is_empty()) {
            return bad("Attempt-Id: expected an id\n");
        }
        let left = headers.get(TIME_LEFT).and_then(|v| v.to_str().ok()).map(str::parse::<u64>);
        let Ok(left) = left.transpose() else { return bad("Time-Left: expected whole milliseconds\n") };
        let host = headers.get(header::HOST).and_then(|v| v.to_str().ok());
        let host = host.or(head.uri.host()).unwrap_or_default();
        let view = self.shared.view.borrow();
        let Some(route) = view.table.route(host, head.uri.path()) else {
            return Err((StatusCode::NOT_FOUND, "no such route\n"));
        };
        let key = headers.get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
        let key = key.and_then(|v| v.strip_prefix("Bearer ")).map(str::trim);
        let tenant = key.and_then(|key| view.table.tenant(key));
        if view.table.keyed && !route.public && tenant.is_none() {
            return Err((StatusCode::UNAUTHORIZED, "Authorization: expected the key of a customer\n"));
        }
        let class = view.places.class(route, tenant.map(Rc::as_ref));
        let Some(class) = class else {
            self.refusals.note(Cause::NoClass);
            return Err((StatusCode::SERVICE_UNAVAILABLE, "not ready\n"));
        };
        let plan = tenant.and_then(|tenant| view.places.plan(&tenant.name));
        let customer = tenant.map_or(CustomerId(0), |tenant| CustomerId(number(&tenant.name)));
        let timeout = Micros(route.timeout.as_micros() as u64);
        let left = left.map_or(timeout, |ms| Micros(ms.saturating_mul(1_000)));
        let arrival = Arrival {
            class,
            service: service(self.choose(route)),
            tries: route.tries as usize,
            plan: plan.unwrap_or(NOBODY),
            customer,
            spread: view.gateways,
            units: 1.0,
            ..Arrival::default()
        };
        let mut headers = headers.clone();
        // The key is the client's own, and who it is nobody but this gateway says.
        headers.remove(header::AUTHORIZATION);
        headers.remove(TARGET);
        headers.remove(CUSTOMER);
        if let Some(name) = tenant.and_then(|tenant| HeaderValue::from_str(&tenant.name).ok()) {
            headers.insert(CUSTOMER, name);
        }
        let reuse = if route.safe { Reuse::Repeatable } else { Reuse::Once };
        Ok(Taken {
            wanted: ValidatedRequest { arrival, budget: left.min(timeout) - ON_THE_WAY, headers, reuse },
        })
    }

    /// One of a route's services, by their weights.
    fn choose<'a>(&self, route: &'a Route) -> &'a str {
        let all: f64 = route.to.iter().map(|(_, weight)| weight).sum();
        let mut drawn = self.draw.borrow_mut().f64() * all;
        for (name, weight) in &route.to {
            drawn -= weight;
            if drawn < 0.0 {
                return name;
            }
        }
        route.to.iter().rev().find(|(_, weight)| *weight > 0.0).map_or("", |(name, _)| name)
    }
}

impl RequestHandler for Front {
    async fn respond(&self, request: Request<Incoming>, line: &Rc<ConnectionHandle>) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        let taken = match self.read(&head, line) {
            Ok(taken) => taken,
            Err((status, problem)) => {
                let mut response = text_response(status, problem).map(AnswerBody::Left);
                if status == StatusCode::SERVICE_UNAVAILABLE {
                    set_retry_after(response.headers_mut(), Some(STARTED));
                }
                // What stands in its body is nobody's.
                return if hyper::body::Body::is_end_stream(&body) {
                    response
                } else {
                    close_after(response)
                };
            }
        };
        let answer = self.intake.handle((head.method, head.uri), body, taken.wanted, line, || Ok(())).await;
        let response = match answer {
            Ok(Answer::Served(served, Some(head))) => {
                let mut response = Response::new(response_body(served, line));
                *response.status_mut() = head.status;
                *response.headers_mut() = own(head.headers);
                response
            }
            Ok(Answer::Refused(wait)) => {
                let (status, cause) = match wait {
                    Some(_) => (StatusCode::TOO_MANY_REQUESTS, Cause::Limited),
                    None => (StatusCode::SERVICE_UNAVAILABLE, Cause::NoRoom),
                };
                self.refusals.note(cause);
                let mut response = text_response(status, "refused\n").map(AnswerBody::Left);
                set_retry_after(response.headers_mut(), wait.or(Some(SOON)));
                response
            }
            Ok(Answer::Served(_, None) | Answer::Failed) => {
                self.refusals.note(Cause::Failed);
                text_response(StatusCode::BAD_GATEWAY, "failed\n").map(AnswerBody::Left)
            }
            Err((status, problem)) => {
                return close_after(text_response(status, problem).map(AnswerBody::Left))
            }
        };
        close_if_unread(response, line)
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
        LAST_CALL
    }
    fn shutdown_limit(&self) -> Duration {
        self.grace.saturating_sub(WRITING)
    }
}

/// A backend's headers as the client gets them.
fn own(mut headers: HeaderMap) -> HeaderMap {
    headers.remove(TARGET);
    headers
}
