//! Adapter between the simulator's line-based text protocol and the decision module: parses input lines into events, hands
//! them to the gateway instance they are addressed to, and prints the resulting actions. It takes no decisions itself.
//!
//! Input comes in batches from `TICK` to `FLUSH`. Within a batch, `FOR` selects the instance that the following lines are
//! for. At `FLUSH`, the reply lists the actions of every instance that has any, and ends with `EOR`. Times are in
//! microseconds of the simulator's clock.

use starlinghill_decision::api::*;
use starlinghill_decision::Gateway;
use starlinghill_settings::{FieldError, Fields, NamedSettings, Result};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The upper bound of a count that the wire writes as a real number.
const MAX_COUNT: f64 = 1e6;

/// Reads the outcome of an attempt, a probe or a counter call: the simulator writes it as an HTTP-like status code.
fn outcome(f: &Fields) -> Result<Outcome> {
    Ok(match f.required_text("how")? {
        "200" => Outcome::Ok,
        "500" => Outcome::Error,
        "503" => Outcome::Rejected,
        "504" => Outcome::Timeout,
        "502" => Outcome::ConnectFailed,
        "598" => Outcome::Reset,
        "499" => Outcome::Cancelled,
        "410" => Outcome::NotSent,
        _ => return f.fail("how", "one of 200 410 499 500 502 503 504 598"),
    })
}

/// Reads the load report of a response, as `name:number` pairs. All values stay `None` if the response had no report;
/// unknown names are ignored.
fn report(f: &Fields) -> Result<Report> {
    let mut report = Report::default();
    for pair in f.pairs.get("report").into_iter().flat_map(|r| r.split(',')) {
        let value = pair.split_once(':').and_then(|(k, v)| Some((k, v.parse::<f64>().ok()?)));
        match value {
            Some(("concurrent", v)) => report.inflight = Some(v),
            Some(("depth", v)) => report.queue = Some(v),
            Some(("load_share", v)) => report.busy = Some(v),
            Some(_) => {}
            None if pair.is_empty() => {}
            None => return f.fail("report", "name:number pairs"),
        }
    }
    Ok(report)
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digit = |byte: u8| char::from(byte).to_digit(16).map(|digit| digit as u8);
    text.as_bytes().chunks(2).map(|pair| Some(digit(pair[0])? << 4 | digit(*pair.get(1)?)?)).collect()
}

/// A gateway instance, and the mapping between its numeric ids and the names on the wire.
struct Instance {
    gateway: Gateway,
    names: NamedSettings,
}

impl Instance {
    fn start(f: &Fields) -> Result<Instance> {
        let (seed, names) = (f.required_u64("rng_seed")?, NamedSettings::from_fields(f)?);
        let gateway = Gateway::new(seed, names.settings.clone())
            .map_err(|e| FieldError(format!("{}: settings: {e}", f.place)))?;
        Ok(Instance { gateway, names })
    }
    /// Reads one entry of a backend list.
    fn server_entry(&mut self, f: &Fields) -> Result<ServerEntry> {
        Ok(ServerEntry {
            server: self.names.server(f.required_text("backend")?),
            service: ServiceId::default(),
            zone: self.names.zone(f.pairs.get("rack_zone").copied().unwrap_or("")),
            cell: CellId(f.u64_or("pod", 0)?),
            listed: match f.required_text("status")? {
                "in_service" => Listed::InService,
                "terminating" => Listed::Draining,
                "terminated" => Listed::Gone,
                _ => return f.fail("status", "in_service, terminating or terminated"),
            },
            weight: f.f64_or("heft", 1.0)?,
            started: Some(f.micros_or("last_start", 0)?).filter(|s| s.0 > 0),
        })
    }

    /// Reads an event; `None` for a message that is unknown here, which is ignored.
    fn event(&mut self, f: &Fields, now: Micros) -> Result<Option<Event>> {
        Ok(Some(match f.message {
            "KNOCK" => {
                let class = *self
                    .names
                    .classes
                    .get(f.required_text("kind")?)
                    .map_or_else(|| f.fail("kind", "a known class"), Ok)?;
                let plan = *self
                    .names
                    .plans
                    .get(f.required_text("plan")?)
                    .map_or_else(|| f.fail("plan", "a known plan"), Ok)?;
                let Ok(customer) = u64::from_str_radix(f.required_text("user_key")?, 16) else {
                    return f.fail("user_key", "16 hex digits");
                };
                let max_deadline = self.names.settings.classes[class].deadline;
                let units = f.f64_or("price_units", 1.0)?;
                if units < 0.0 {
                    return f.fail("price_units", "a number of 0 or more");
                }
                Event::Request(Arrival {
                    id: RequestId(f.required_u64("ref")?),
                    class: ClassId(class),
                    plan: PlanId(plan),
                    customer: CustomerId(customer),
                    spread: f.f64_or("doors", 1.0)?.clamp(1.0, MAX_COUNT) as u32,
                    first: f.f64_or("set_from", 0.0)?.clamp(0.0, MAX_COUNT) as u32,
                    deadline: f.optional("drop_dead", "a clock time")?.map_or(now + max_deadline, Micros),
                    units,
                    resent: f.bool_or("resent", false)?,
                    ..Arrival::default()
                })
            }
            "RING" => Event::Timer(TimerId(f.required_u64("ref")?)),
            "FIRST_BYTE" => Event::StreamStarted(RequestId(f.required_u64("ref")?)),
            "TIMED_OUT_CLIENT" => Event::ClientGone(RequestId(f.required_u64("ref")?)),
            "MEMO" => {
                let Some(message) = from_hex(f.required_text("blob")?) else {
                    return f.fail("blob", "bytes in hex");
                };
                Event::Peer(f.required_u32("neighbour")?, message)
            }
            "PONG" => Event::Probed(self.names.server(f.required_text("backend")?), outcome(f)?, report(f)?),
            "COUNT_RESULT" => Event::Counted(
                CountName(f.required_u64("book")?),
                0,
                outcome(f)?,
                f.f64_or("result_value", 0.0)?,
            ),
            "OUTCOME" => Event::AttemptEnded(AttemptEnd {
                id: RequestId(f.required_u64("ref")?),
                attempt: f.u64_or("trial", 0)? as usize,
                server: self.names.server(f.required_text("backend")?),
                outcome: outcome(f)?,
                took: f.micros_or("took", 0)?,
                ended: f.bool_or("ended", false)?,
                actual_units: Some(f.f64_or("settled", 0.0)?).filter(|s| *s > 0.0),
                report: report(f)?,
            }),
            _ => return Ok(None),
        }))
    }

    /// Prints an action as a line of the reply.
    fn write(&self, action: &Action, out: &mut String) {
        let name = |s: &ServerId| self.names.servers.get(s).map_or("", String::as_str);
        // Writing to a String cannot fail.
        let _ = match action {
            Action::Send(r, s, until) => {
                writeln!(out, "ROUTE ref={} backend={} abandon_at={}", r.0, name(s), until.0)
            }
            Action::Refuse(r, None) => writeln!(out, "REJECT ref={}", r.0),
            Action::Refuse(r, Some(b)) => writeln!(out, "REJECT ref={} backoff={}", r.0, b.0),
            Action::Fail(r) => writeln!(out, "FINISH_ERROR ref={}", r.0),
            Action::Cancel(r, a) => writeln!(out, "ABANDON ref={} trial={a}", r.0),
            Action::Probe(s) => writeln!(out, "PROBE backend={}", name(s)),
            Action::Count(n, amount, life) => {
                writeln!(out, "ADD_AND_GET book={} amount={amount} lifetime={}", n.0, life.0)
            }
            // The simulator has no token buckets.
            Action::Draw(..) | Action::Charge(..) => Ok(()),
            Action::Tell(peer, message) => {
                let hex: String = message.iter().map(|byte| format!("{byte:02x}")).collect();
                writeln!(out, "ANNOUNCE peer={peer} blob={hex}")
            }
            Action::SetTimer(t, after) => writeln!(out, "WAKE_ME ref={} in={}", t.0, after.0),
            Action::Subscribe => writeln!(out, "LISTEN active=1"),
            Action::FetchList => writeln!(out, "RELOAD"),
        };
    }
}

/// A backend list of which not all `ITEM` lines have been read.
struct PartialList {
    scope: ListScope,
    entries: Vec<ServerEntry>,
    /// The number of `ITEM` lines still to come.
    missing: u64,
}

/// The gateway instances of this process, and the state of the batch that is being read.
#[derive(Default)]
pub struct Host {
    /// Instances by their number on the wire.
    instances: BTreeMap<u32, Instance>,
    /// The instance that the last `FOR` line of this batch selected.
    selected: Option<u32>,
    /// The simulator's clock, from the last `TICK`.
    now: Micros,
    /// The number of lines read, for error messages.
    line_number: u64,
    in_batch: bool,
    list: Option<PartialList>,
    /// The reply lines of this batch, by instance.
    replies: BTreeMap<u32, String>,
    /// Reused for the actions of each event, to save allocations.
    actions: Vec<Action>,
}

impl Host {
    /// Handles one line of input. At the end of a batch, returns the reply; an error names the line and the field.
    pub fn handle_line(&mut self, text: &str) -> Result<Option<String>> {
        self.line_number += 1;
        if text.is_empty() {
            return Ok(None);
        }
        let f = Fields::parse(self.line_number, text)?;
        if f.message != "TICK" && !self.in_batch {
            return Err(FieldError(format!("{}: expected TICK to begin a batch", f.place)));
        }
        if self.list.is_some() && f.message != "ITEM" {
            return Err(FieldError(format!("{}: expected ITEM, the list is short", f.place)));
        }
        match f.message {
            "TICK" => {
                let now = Micros(f.required_u64("now")?);
                if self.in_batch || now < self.now {
                    return f.fail("now", "a batch's end first, and a clock that moves forward");
                }
                (self.now, self.in_batch, self.selected) = (now, true, None);
            }
            "FOR" => self.selected = Some(f.required_u32("who")?),
            "START" => {
                let Some(who) = self.selected else { return self.missing_for(&f) };
                self.instances.insert(who, Instance::start(&f)?);
            }
            "DOWN" => {
                let Some(who) = self.selected else { return self.missing_for(&f) };
                self.instances.remove(&who);
                self.replies.remove(&who);
            }
            "FLUSH" => {
                self.in_batch = false;
                let mut reply = String::new();
                for (who, text) in std::mem::take(&mut self.replies) {
                    if !text.is_empty() {
                        let _ = write!(reply, "AS who={who}\n{text}");
                    }
                }
                reply.push_str("EOR\n");
                return Ok(Some(reply));
            }
            "FLEET" => {
                let scope = match f.required_text("scope")? {
                    "incr" => ListScope::Changes,
                    "total" | "warm_copy" => ListScope::Complete,
                    "lost" => ListScope::Failed,
                    _ => return f.fail("scope", "incr, total, warm_copy or lost"),
                };
                let missing = f.u64_or("items", 0)?;
                if self.selected.is_none() {
                    return self.missing_for(&f);
                }
                self.list = Some(PartialList { scope, entries: Vec::new(), missing });
                self.deliver_complete_list();
            }
            "ITEM" => {
                let Some(list) = self.list.as_mut() else {
                    return Err(FieldError(format!("{}: expected only inside a FLEET list", f.place)));
                };
                let instance = self.selected.and_then(|who| self.instances.get_mut(&who));
                if let Some(instance) = instance {
                    list.entries.push(instance.server_entry(&f)?);
                }
                list.missing -= 1;
                self.deliver_complete_list();
            }
            _ => {
                let Some(who) = self.selected else { return self.missing_for(&f) };
                if let Some(instance) = self.instances.get_mut(&who) {
                    if let Some(event) = instance.event(&f, self.now)? {
                        self.deliver(who, event);
                    }
                }
            }
        }
        Ok(None)
    }

    /// The error for a line that needs a `FOR` line before it.
    fn missing_for(&self, f: &Fields) -> Result<Option<String>> {
        Err(FieldError(format!("{}: expected a FOR line before it", f.place)))
    }

    /// Delivers the backend list to the selected instance if all its entries have been read.
    fn deliver_complete_list(&mut self) {
        if let (Some(list), Some(who)) = (self.list.take_if(|list| list.missing == 0), self.selected) {
            self.deliver(who, Event::Servers(list.scope, list.entries));
        }
    }

    /// Hands an event to an instance, and appends its actions to the reply. Ignored if the instance is not running.
    fn deliver(&mut self, who: u32, event: Event) {
        if let Some(instance) = self.instances.get_mut(&who) {
            self.actions.clear();
            instance.gateway.handle(self.now, event, &mut self.actions);
            let reply = self.replies.entry(who).or_default();
            for action in &self.actions {
                instance.write(action, reply);
            }
        }
    }

    /// Checks that the input may end here: an error if a batch is incomplete.
    pub fn finish(&self) -> Result<()> {
        if self.in_batch {
            return Err(FieldError(format!(
                "line {}: expected FLUSH before the input's end",
                self.line_number
            )));
        }
        Ok(())
    }
}
