//! The text protocol of the simulator, to and from the types of `api.rs`. Nothing here decides.

use starlinghill_decision::api::*;
use starlinghill_decision::Gateway;
use starlinghill_settings::{FieldError, Fields, NamedSettings, Result};
use std::collections::BTreeMap;
use std::fmt::Write;

/// How something ended, by its code.
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

/// The load report that came with an answer, where one did.
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

/// One gateway with the names by which the wire knows what it is told of.
struct Instance {
    gateway: Gateway,
    site: NamedSettings,
}

impl Instance {
    fn start(f: &Fields) -> Result<Instance> {
        let (seed, site) = (f.required_u64("rng_seed")?, NamedSettings::from_fields(f)?);
        let gateway = Gateway::new(seed, site.settings.clone())
            .map_err(|e| FieldError(format!("{}: settings: {e}", f.place)))?;
        Ok(Instance { gateway, site })
    }
    fn entry(&mut self, f: &Fields) -> Result<ServerEntry> {
        Ok(ServerEntry {
            server: self.site.server(f.required_text("backend")?),
            service: ServiceId::default(),
            zone: self.site.zone(f.pairs.get("rack_zone").copied().unwrap_or("")),
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
    fn event(&mut self, f: &Fields, now: Micros) -> Result<Option<Event>> {
        Ok(Some(match f.message {
            "KNOCK" => {
                let class = *self
                    .site
                    .classes
                    .get(f.required_text("kind")?)
                    .map_or_else(|| f.fail("kind", "a known class"), Ok)?;
                let plan = *self
                    .site
                    .plans
                    .get(f.required_text("plan")?)
                    .map_or_else(|| f.fail("plan", "a known plan"), Ok)?;
                let Ok(customer) = u64::from_str_radix(f.required_text("user_key")?, 16) else {
                    return f.fail("user_key", "16 hex digits");
                };
                let longest = self.site.settings.classes[class].deadline;
                let units = f.f64_or("price_units", 1.0)?;
                if units < 0.0 {
                    return f.fail("price_units", "a number of 0 or more");
                }
                Event::Request(Arrival {
                    id: RequestId(f.required_u64("ref")?),
                    class: ClassId(class),
                    plan: PlanId(plan),
                    customer: CustomerId(customer),
                    spread: f.f64_or("doors", 1.0)?.clamp(1.0, 1e6) as u32,
                    first: f.f64_or("set_from", 0.0)?.clamp(0.0, 1e6) as u32,
                    deadline: f.optional("drop_dead", "a clock time")?.map_or(now + longest, Micros),
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
            "PONG" => Event::Probed(self.site.server(f.required_text("backend")?), outcome(f)?, report(f)?),
            "COUNT_RESULT" => Event::Counted(
                CountName(f.required_u64("book")?),
                0,
                outcome(f)?,
                f.f64_or("result_value", 0.0)?,
            ),
            "OUTCOME" => Event::AttemptEnded(AttemptEnd {
                id: RequestId(f.required_u64("ref")?),
                attempt: f.u64_or("trial", 0)? as usize,
                server: self.site.server(f.required_text("backend")?),
                outcome: outcome(f)?,
                took: f.micros_or("took", 0)?,
                ended: f.bool_or("ended", false)?,
                actual_units: Some(f.f64_or("settled", 0.0)?).filter(|s| *s > 0.0),
                report: report(f)?,
            }),
            _ => return Ok(None),
        }))
    }
    fn write(&self, action: &Action, out: &mut String) {
        let name = |s: &ServerId| self.site.servers.get(s).map_or("", String::as_str);
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
            // No counter of the simulator's keeps stores.
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

/// A list event whose entry lines are still coming.
struct OpenList {
    scope: ListScope,
    entries: Vec<ServerEntry>,
    left: u64,
}

/// The gateways of one process, by number, and the batch being read.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    current: Option<u32>,
    now: Micros,
    line: u64,
    in_batch: bool,
    list: Option<OpenList>,
    replies: BTreeMap<u32, String>,
    actions: Vec<Action>,
}

impl Host {
    /// Takes one line of input; at the end of a batch, returns the reply.
    pub fn line(&mut self, text: &str) -> Result<Option<String>> {
        self.line += 1;
        if text.is_empty() {
            return Ok(None);
        }
        let f = Fields::parse(self.line, text)?;
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
                (self.now, self.in_batch, self.current) = (now, true, None);
            }
            "FOR" => self.current = Some(f.required_u32("who")?),
            "START" => {
                let Some(who) = self.current else { return self.nobody(&f) };
                self.instances.insert(who, Instance::start(&f)?);
            }
            "DOWN" => {
                let Some(who) = self.current else { return self.nobody(&f) };
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
                let left = f.u64_or("items", 0)?;
                if self.current.is_none() {
                    return self.nobody(&f);
                }
                self.list = Some(OpenList { scope, entries: Vec::new(), left });
                self.close_list();
            }
            "ITEM" => {
                let Some(list) = self.list.as_mut() else {
                    return Err(FieldError(format!("{}: expected only inside a FLEET list", f.place)));
                };
                let instance = self.current.and_then(|who| self.instances.get_mut(&who));
                if let Some(instance) = instance {
                    list.entries.push(instance.entry(&f)?);
                }
                list.left -= 1;
                self.close_list();
            }
            _ => {
                let Some(who) = self.current else { return self.nobody(&f) };
                if let Some(instance) = self.instances.get_mut(&who) {
                    if let Some(event) = instance.event(&f, self.now)? {
                        self.tell(who, event);
                    }
                }
            }
        }
        Ok(None)
    }
    fn nobody(&self, f: &Fields) -> Result<Option<String>> {
        Err(FieldError(format!("{}: expected a FOR line before it", f.place)))
    }
    fn close_list(&mut self) {
        if let (Some(list), Some(who)) = (self.list.take_if(|l| l.left == 0), self.current) {
            self.tell(who, Event::Servers(list.scope, list.entries));
        }
    }
    fn tell(&mut self, who: u32, event: Event) {
        if let Some(instance) = self.instances.get_mut(&who) {
            self.actions.clear();
            instance.gateway.handle(self.now, event, &mut self.actions);
            let reply = self.replies.entry(who).or_default();
            for action in &self.actions {
                instance.write(action, reply);
            }
        }
    }
    /// What is wrong when the input ends now.
    pub fn finish(&self) -> Result<()> {
        if self.in_batch {
            return Err(FieldError(format!("line {}: expected FLUSH before the input's end", self.line)));
        }
        Ok(())
    }
}
