//! What is no traffic: a gateway's start, what changes while it runs, and its end.

use crate::admission::Admission;
use crate::api::*;
use crate::attempts::Gateway;
use crate::context::{Context, Timer};
use crate::customer::FORGET;
use crate::roster::Fleet;
use crate::services::Fleets;

impl Context {
    /// A request as it stands under the rules of the moment: none waits beyond the gateway's end.
    pub(crate) fn under_rules(&self, a: Arrival) -> Arrival {
        Arrival { deadline: a.deadline.min(self.closing.unwrap_or(a.deadline)), ..a }
    }
}

impl Fleet {
    /// Changes what is out at a server.
    fn bears(&mut self, server: ServerId, change: f64) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.out = (s.out + change).max(0.0);
            self.out_now = (self.out_now + change).max(0.0);
        }
    }
}

impl Gateway {
    /// A gateway as it starts, knowing nothing but its settings.
    pub fn new(seed: u64, set: Settings) -> Result<Gateway, SettingsError> {
        set.check()?;
        let cx = Context::new(seed, set);
        let (admission, fleet) = (Admission::new(cx.set.gateways), Fleets::default());
        let mut new = Gateway { cx, admission, fleet, ..Gateway::default() };
        // Goes out with the first event, whichever that is.
        new.cx.timer(Timer::Sweep, FORGET);
        new.cx.out.extend(new.cx.set.must_subscribe.then_some(Action::Subscribe));
        Ok(new)
    }

    /// How many things it keeps in mind. Comes back down when traffic does.
    pub fn tracked_items(&self) -> usize {
        let told = self.fleet.tracked_items() + self.requests.len() + self.admission.tracked_items();
        told + self.cx.timers.len() + self.held.len()
    }

    /// Takes new rules for what comes from now on. Rules under which an open request came are kept, whatever was
    /// handed in: guards against another effect for one that has run. Rules that make no sense change nothing.
    pub(crate) fn on_rules(&mut self, rules: Rules) {
        let mut set =
            Settings { classes: rules.classes, max_attempts: rules.max_attempts, ..self.cx.set.clone() };
        if let Some(common) = rules.common {
            let SharedSettings { plans, gateways, me, retries, clock_offset } = common;
            set = Settings { plans, gateways, me, retries, clock_offset, ..set };
        }
        let open = self.requests.values().map(|r| r.a.class.0);
        let kept = open.max().map_or(0, |highest| highest + 1).min(self.cx.set.classes.len());
        for (place, class) in self.cx.set.classes[..kept].iter().enumerate() {
            match set.classes.get_mut(place) {
                Some(new) => *new = class.clone(),
                None => set.classes.push(class.clone()),
            }
        }
        if set.check().is_ok() {
            self.cx.set = set;
        }
    }

    /// An attempt whose body is passed on loads its server from its last byte on. Guards against a few clients that send
    /// slowly holding all that may be out at the servers.
    pub(crate) fn still_comes(&mut self, id: RequestId, server: ServerId) {
        if let Some(r) = self.requests.get_mut(&id).filter(|r| r.a.once) {
            r.coming = true;
            self.fleet.with(server).bears(server, -1.0);
        }
    }

    /// Its last byte came, or its attempt ended.
    pub(crate) fn came_whole(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let out = r.attempts.iter().find(|a| a.out).map(|a| a.server);
        if let (true, Some(server)) = (std::mem::take(&mut r.coming), out) {
            self.fleet.with(server).bears(server, 1.0);
        }
    }

    /// All that is open, or still comes, must have its answer by then. Guards against what the end of the process
    /// would leave without one.
    pub(crate) fn on_closing(&mut self, by: Micros) {
        if self.cx.closing.is_none() {
            self.cx.closing = Some(by);
            self.cx.timer(Timer::Closing, by - self.cx.now);
        }
    }

    /// Gives up what is still open.
    pub(crate) fn close(&mut self) {
        let open: Vec<RequestId> =
            self.requests.iter().filter(|(_, r)| !r.done && !r.streaming).map(|(&id, _)| id).collect();
        open.into_iter().for_each(|id| self.refuse(id));
    }
}
