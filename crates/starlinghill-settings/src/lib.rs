//! Settings by their dotted names, and the names of the classes, plans, zones and servers that they list. The
//! simulator's adapter reads them from a line of text; the real gateway flattens its JSON to the same form.

pub mod classes;
pub mod members;

use starlinghill_decision::api::*;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Display;
use std::str::FromStr;

/// Describes a wrong value, with its place and name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError(pub String);

impl Display for FieldError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for FieldError {}

/// The result of reading a value.
pub type Result<T> = std::result::Result<T, FieldError>;

/// Named values, and the place where they were found, for errors.
pub struct Fields<'a> {
    /// For example 'line 3: START'.
    pub place: String,
    /// The first word of the line.
    pub message: &'a str,
    /// The values by name.
    pub pairs: HashMap<&'a str, &'a str>,
}

impl<'a> Fields<'a> {
    /// Parses a line of a word and `name=value` pairs.
    pub fn parse(at: u64, line: &'a str) -> Result<Fields<'a>> {
        let mut parts = line.split(' ');
        let message = parts.next().unwrap_or("");
        let place = format!("line {at}: {message}");
        let mut pairs = HashMap::new();
        for part in parts {
            let Some((name, value)) = part.split_once('=') else {
                return Err(FieldError(format!("{place}: expected name=value, found '{part}'")));
            };
            pairs.insert(name, value);
        }
        Ok(Fields { place, message, pairs })
    }
    /// Returns an error that names the value, what was expected and what was found.
    pub fn fail<T>(&self, name: &str, wanted: &str) -> Result<T> {
        let found = self.pairs.get(name).map_or("nothing".to_string(), |v| format!("'{v}'"));
        Err(FieldError(format!("{}: {name}: expected {wanted}, found {found}", self.place)))
    }
    /// A value, if it is present. `wanted` describes it in errors.
    pub fn optional<T: FromStr>(&self, name: &str, wanted: &str) -> Result<Option<T>> {
        match self.pairs.get(name) {
            None => Ok(None),
            Some(text) => text.parse().map(Some).or_else(|_| self.fail(name, wanted)),
        }
    }
    /// A required whole number.
    pub fn required_u64(&self, name: &str) -> Result<u64> {
        self.optional(name, "a whole number")?.map_or_else(|| self.fail(name, "a whole number"), Ok)
    }
    /// A whole number, or the default if it is absent.
    pub fn u64_or(&self, name: &str, default: u64) -> Result<u64> {
        Ok(self.optional(name, "a whole number")?.unwrap_or(default))
    }
    /// A required whole number of 32 bits.
    pub fn required_u32(&self, name: &str) -> Result<u32> {
        self.optional(name, "a small whole number")?
            .map_or_else(|| self.fail(name, "a small whole number"), Ok)
    }
    /// A finite number, or the default if it is absent.
    pub fn f64_or(&self, name: &str, default: f64) -> Result<f64> {
        match self.optional::<f64>(name, "a number")? {
            Some(v) if !v.is_finite() => self.fail(name, "a finite number"),
            v => Ok(v.unwrap_or(default)),
        }
    }
    /// A time in microseconds, or the default if it is absent.
    pub fn micros_or(&self, name: &str, default: u64) -> Result<Micros> {
        self.u64_or(name, default).map(Micros)
    }
    /// A flag (1, 0, true or false), or the default if it is absent.
    pub fn bool_or(&self, name: &str, default: bool) -> Result<bool> {
        match self.pairs.get(name) {
            None => Ok(default),
            Some(&"1") | Some(&"true") => Ok(true),
            Some(&"0") | Some(&"false") => Ok(false),
            Some(_) => self.fail(name, "1 or 0"),
        }
    }
    /// A required text.
    pub fn required_text(&self, name: &str) -> Result<&'a str> {
        self.pairs.get(name).copied().map_or_else(|| self.fail(name, "a text"), Ok)
    }
}

/// Settings, with the outside names of classes, plans, zones and servers.
#[derive(Clone)]
pub struct NamedSettings {
    /// The settings for the decision module.
    pub settings: Settings,
    /// Indices of classes by name.
    pub classes: HashMap<String, usize>,
    /// Indices of plans by name.
    pub plans: HashMap<String, usize>,
    zones: HashMap<String, u32>,
    /// Names of the known servers by id.
    pub servers: HashMap<ServerId, String>,
}

impl NamedSettings {
    /// Settings without names, for callers that use ids only.
    pub fn unnamed(settings: Settings) -> NamedSettings {
        let (classes, plans, zones, servers) = Default::default();
        NamedSettings { settings, classes, plans, zones, servers }
    }
    /// Reads settings from nested JSON.
    pub fn from_json(settings: &serde_json::Value) -> Result<NamedSettings> {
        let mut names = BTreeMap::new();
        flatten("", settings, &mut names);
        let pairs = names.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        NamedSettings::from_fields(&Fields { place: "settings".into(), message: "settings", pairs })
    }
    /// Reads settings from named values.
    pub fn from_fields(f: &Fields) -> Result<NamedSettings> {
        let list = |prefix: &str| -> Result<usize> {
            let count = f.u64_or(&format!("{prefix}.count"), 0)?;
            if count > 10_000 {
                return f.fail(&format!("{prefix}.count"), "at most 10000");
            }
            Ok(count as usize)
        };
        let (mut classes, mut class_list) = (HashMap::new(), Vec::new());
        for i in 0..list("classes")? {
            let key = |k: &str| format!("classes.{i}.{k}");
            classes.insert(f.required_text(&key("name"))?.to_string(), i);
            let deadline = Micros(f.required_u64(&key("deadline"))?);
            class_list.push(Class {
                target: f.micros_or(&key("on_time"), deadline.0)?,
                deadline,
                worth: f.f64_or(&key("credit"), 1.0)?,
                late_worth: f.f64_or(&key("late_share"), 0.0)?,
                effect: match f.pairs.get(key("effect").as_str()) {
                    Some(&"pure") => Effect::Safe,
                    Some(&"token") => Effect::Keyed,
                    Some(&"side_effect") | None => Effect::Unsafe,
                    Some(_) => return f.fail(&key("effect"), "pure, token or side_effect"),
                },
                group: match f.pairs.get(key("key_scope").as_str()) {
                    Some(&"all") => Group::All,
                    Some(&"zone") => Group::Zone,
                    Some(&"cell") | None => Group::Cell,
                    Some(_) => return f.fail(&key("key_scope"), "all, zone or cell"),
                },
                window: f.micros_or(&key("window"), 0)?,
                stream: f.bool_or(&key("streaming"), false)?,
            });
        }
        let (mut plans, mut plan_list) = (HashMap::new(), Vec::new());
        for i in 0..list("plans")? {
            let key = |k: &str| format!("plans.{i}.{k}");
            let real = |k: &str, default| f.f64_or(&key(k), default);
            plans.insert(f.required_text(&key("name"))?.to_string(), i);
            plan_list.push(Plan {
                rate: real("per_second", 0.0)?,
                burst: real("peak_units", 0.0)?,
                open: real("open", 0.0)?,
                price: real("price", 1.0)?,
                over_worth: real("extra_worth", 0.0)?,
                over_cost: real("excess_cost", 0.0)?,
                ceiling_rate: real("ceiling_rate", 0.0)?,
                ceiling_burst: real("cap_depth", 0.0)?,
                ceiling_slack: real("tolerance", 0.0)?,
            });
        }
        let mut zones = HashMap::new();
        for name in f.pairs.get("zones").into_iter().flat_map(|z| z.split(',')) {
            let next = zones.len() as u32;
            zones.entry(name.to_string()).or_insert(next);
        }
        let zone = zone_id(&mut zones, f.pairs.get("zone").copied().unwrap_or(""));
        let settings = Settings {
            gateways: f.u64_or("balancers", 1)?.min(u32::MAX.into()) as u32,
            me: f.u64_or("my_number", 0)?.min(u32::MAX.into()) as u32,
            zone,
            classes: class_list,
            plans: plan_list,
            max_attempts: f.u64_or("bounds.max_attempts", 1)? as usize,
            second_copies: f.bool_or("bounds.second_copies", false)?,
            may_cancel: f.bool_or("bounds.may_cancel", false)?,
            probes: f.bool_or("bounds.probing", false)?,
            retry_after: f.bool_or("bounds.retry_after", false)?,
            max_retry_after: f.micros_or("bounds.max_retry_after", 0)?,
            counter: f.bool_or("specifics.counter", false)?,
            count_timeout: f.micros_or("specifics.count_limit", 0)?,
            peers_per_s: match f.bool_or("bounds.peer_messages", false)? {
                true => f.f64_or("specifics.peer_in_per_s", 0.0)?,
                false => 0.0,
            },
            most_units: f.f64_or("specifics.units_top", 1.0)?,
            must_subscribe: f.pairs.get("membership_mode") == Some(&"subscribe"),
            answer_slack: f.micros_or("rules.answer_slack", 0)?,
            cold_from: f.f64_or("rules.cold_from", 1.0)?,
            cold: f.micros_or("rules.cold", 0)?,
            fall_multiple: f.f64_or("rules.fall_multiple", 1.0)?,
            tip_after: f.micros_or("rules.tip_after", 0)?,
            retries: None,
            wait_to_deadline: false,
            counter_buckets: false,
            allowance: Allowance::default(),
            cooldown: None,
            clock_offset: Micros(0),
            tick: f.micros_or("tick", 0)?,
        };
        Ok(NamedSettings { settings, classes, plans, zones, servers: HashMap::new() })
    }
    /// The id of a server's name.
    pub fn server(&mut self, name: &str) -> ServerId {
        // The FNV-1a hash gives the same id at every gateway; a collision takes the next free id.
        let hash = name
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3));
        let mut id = ServerId(hash);
        while self.servers.get(&id).is_some_and(|known| known != name) {
            id = ServerId(id.0.wrapping_add(1));
        }
        self.servers.entry(id).or_insert_with(|| name.to_string());
        id
    }
    /// The name of a zone's id.
    pub fn zone_name(&self, zone: ZoneId) -> Option<&str> {
        self.zones.iter().find(|(_, number)| **number == zone.0).map(|(name, _)| name.as_str())
    }
    /// The id of a zone's name.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        zone_id(&mut self.zones, name)
    }
}

fn zone_id(zones: &mut HashMap<String, u32>, name: &str) -> ZoneId {
    let next = zones.len() as u32;
    ZoneId(*zones.entry(name.to_string()).or_insert(next))
}

/// Flattens nested JSON to dotted names. A list of plain values becomes one text, joined by commas; a list of
/// objects becomes its `.count` and its numbered items.
pub fn flatten(prefix: &str, value: &serde_json::Value, into: &mut BTreeMap<String, String>) {
    use serde_json::Value;
    let below = |name: &str| if prefix.is_empty() { name.to_string() } else { format!("{prefix}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(&below(name), v, into)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            into.insert(below("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(i, v)| flatten(&below(&i.to_string()), v, into));
        }
        Value::Array(items) => {
            let plain: Vec<String> = items.iter().map(plain_text).collect();
            into.insert(prefix.to_string(), plain.join(","));
        }
        Value::Null => {}
        _ => drop(into.insert(prefix.to_string(), plain_text(value))),
    }
}

fn plain_text(value: &serde_json::Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}
