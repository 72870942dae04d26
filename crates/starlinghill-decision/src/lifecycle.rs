//! A gateway's start, changes while it runs, uploads, and its end.

use crate::admission::Admission;
use crate::api::*;
use crate::attempts::Gateway;
use crate::context::{Context, Timer};
use crate::customer::FORGET;
use crate::roster::Fleet;
use crate::services::Fleets;

impl Context {
    /// Limits a request's deadline to the gateway's end.
    pub(crate) fn cap_deadline(&self, a: Arrival) -> Arrival {
        Arrival { deadline: a.deadline.min(self.shut_down_at.unwrap_or(a.deadline)), ..a }
    }
}

impl Fleet {
    /// Changes the number of attempts in flight at a server.
    fn adjust_in_flight(&mut self, server: ServerId, change: f64) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.in_flight = (s.in_flight + change).max(0.0);
            self.in_flight = (self.in_flight + change).max(0.0);
        }
    }
}

impl Gateway {
    /// A gateway that knows nothing but its settings.
    pub fn new(seed: u64, set: Settings) -> Result<Gateway, SettingsError> {
        set.check()?;
        let cx = Context::new(seed, set);
        let (admission, fleets) = (Admission::new(cx.settings.gateways), Fleets::default());
        let mut new = Gateway { cx, admission, fleets, ..Gateway::default() };
        // These actions are returned with the first event.
        new.cx.timer(Timer::Sweep, FORGET);
        new.cx.actions.extend(new.cx.settings.must_subscribe.then_some(Action::Subscribe));
        Ok(new)
    }

    /// Number of entries that are kept; falls again when traffic does.
    pub fn tracked_items(&self) -> usize {
        let sizes = self.fleets.tracked_items() + self.requests.len() + self.admission.tracked_items();
        sizes + self.cx.timers.len() + self.held.len()
    }

    /// Applies new rules to requests that arrive from now on. Classes of open requests are kept whatever the
    /// new rules contain, as a request that has run must not get another effect. Invalid rules change
    /// nothing.
    pub(crate) fn on_rules(&mut self, rules: Rules) {
        let mut set =
            Settings { classes: rules.classes, max_attempts: rules.max_attempts, ..self.cx.settings.clone() };
        if let Some(common) = rules.common {
            let SharedSettings { plans, gateways, me, retries, clock_offset } = common;
            set = Settings { plans, gateways, me, retries, clock_offset, ..set };
        }
        let open = self.requests.values().map(|r| r.arrival.class.0);
        let unchanged = open.max().map_or(0, |highest| highest + 1).min(self.cx.settings.classes.len());
        for (index, class) in self.cx.settings.classes[..unchanged].iter().enumerate() {
            match set.classes.get_mut(index) {
                Some(new) => *new = class.clone(),
                None => set.classes.push(class.clone()),
            }
        }
        if set.check().is_ok() {
            self.cx.settings = set;
        }
    }

    /// An attempt whose body is streamed counts as in flight at its server only from its last byte on. Guards
    /// against a few clients that send slowly and use up the servers' limits.
    pub(crate) fn upload_started(&mut self, id: RequestId, server: ServerId) {
        if let Some(r) = self.requests.get_mut(&id).filter(|r| r.arrival.once) {
            r.uploading = true;
            self.fleets.of_server(server).adjust_in_flight(server, -1.0);
        }
    }

    /// The last byte of a streamed body arrived, or its attempt ended.
    pub(crate) fn upload_complete(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let out = r.attempts.iter().find(|a| a.in_flight).map(|a| a.server);
        if let (true, Some(server)) = (std::mem::take(&mut r.uploading), out) {
            self.fleets.of_server(server).adjust_in_flight(server, 1.0);
        }
    }

    /// Sets the time by which every open and new request must be answered. Without it the end of the process
    /// would leave requests without an answer.
    pub(crate) fn on_shut_down(&mut self, by: Micros) {
        if self.cx.shut_down_at.is_none() {
            self.cx.shut_down_at = Some(by);
            self.cx.timer(Timer::Closing, by - self.cx.now);
        }
    }

    /// Answers all requests that are still open.
    pub(crate) fn refuse_open(&mut self) {
        let open: Vec<RequestId> =
            self.requests.iter().filter(|(_, r)| !r.done && !r.streaming).map(|(&id, _)| id).collect();
        open.into_iter().for_each(|id| self.refuse(id));
    }
}
