//! The operators' terminal.

use ratatui::crossterm::event::{self, Event, KeyCode};
use simd_json::prelude::*;
use starlinghill_config_model::{ConfigChange, RoutingTable};
use starlinghill_console::client::{AskError, Places};
use starlinghill_console::explain::{book, differences, explain, Asked};
use starlinghill_console::membership;
use starlinghill_console::screen::{draw, Beside};
use starlinghill_console::status::{Events, Picture};
use starlinghill_decision::api::CustomerId;
use starlinghill_decision::bucket_name;
use starlinghill_runtime::settings::NodeSettings;
use std::collections::HashMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

const HELP: &str = "starlinghill-console: how the system stands, and orders

    starlinghill-console [--settings FILE]             the picture, on a terminal
    starlinghill-console get items|status              as text, for scripts
    starlinghill-console diff FILE                     what differs between FILE and the items that stand
    starlinghill-console apply FILE                    sends FILE; says why it is not taken
    starlinghill-console drain ID                      has a backend take no new work
    starlinghill-console core list|why                 who belongs to the core; what is known of each, why nothing changes
    starlinghill-console core add|remove IP            one member more, or less
    starlinghill-console core replace IP BY            one in the place of another
    starlinghill-console explain HOST PATH [--key KEY] which route, tenant, services; why refused

FILE of diff and apply is what PATCH /api/config takes. --settings names any machine's settings file, which tells
where registries are; without it STARLINGHILL_CONFIG does.
";
const LOOK: Duration = Duration::from_millis(500);

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let settings = match args.opt_value_from_str::<_, PathBuf>("--settings") {
        Ok(settings) => settings,
        Err(error) => return wrong(&error.to_string()),
    };
    let key = match args.opt_value_from_str::<_, String>("--key") {
        Ok(key) => key,
        Err(error) => return wrong(&error.to_string()),
    };
    let words: Vec<String> = match args.finish().into_iter().map(|word| word.into_string()).collect() {
        Ok(words) => words,
        Err(_) => return wrong("an argument is no text"),
    };
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let node = match settings {
        Some(path) => NodeSettings::from_file(&path),
        None => NodeSettings::from_environment(),
    };
    let places = match node {
        Ok(node) => Places::of(&node),
        Err(error) => return failed(&error),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return failed(&error),
    };
    let done = runtime.block_on(async {
        match words.as_slice() {
            [] => show(&places).await,
            ["get", "items"] => places.items().await.map(|items| println!("{}", items.encode_pp())),
            ["get", "status"] => status(&places).await,
            ["diff", file] => diff(&places, file).await,
            ["apply", file] => match std::fs::read(file) {
                Ok(change) => places.apply(change).await.map(|()| println!("taken")),
                Err(error) => Err(AskError::Nonsense { what: format!("{file}: {error}") }),
            },
            ["drain", id] => places.drain(id).await.map(|noted| println!("noted by {noted} registries")),
            ["core", "list"] => {
                membership::list(&places.standings().await).iter().for_each(|line| println!("{line}"));
                Ok(())
            }
            ["core", "why"] => {
                membership::why(&places.standings().await).iter().for_each(|line| println!("{line}"));
                Ok(())
            }
            ["core", words @ ..] if membership::order(words).is_some() => match membership::order(words) {
                Some(order) => places.core(order).await.map(|came| println!("{came}")),
                None => Ok(()),
            },
            ["explain", host, path] => tell_why(&places, host, path, key.as_deref()).await,
            _ => Err(AskError::Nonsense { what: format!("found {words:?}\n\n{HELP}") }),
        }
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(&error),
    }
}

fn wrong(problem: &str) -> ExitCode {
    eprint!("{problem}\n\n{HELP}");
    ExitCode::from(2)
}

fn failed(error: &impl std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}

async fn status(places: &Places) -> Result<(), AskError> {
    let picture = Picture::of(&places.statuses().await);
    for (at, fresh) in &picture.racks {
        let state = match fresh {
            Some(true) => "fresh",
            Some(false) => "stale",
            None => "silent",
        };
        println!("registry at={at} state={state}");
    }
    for (ip, g) in &picture.gateways {
        println!("gateway node={} zone={} ip={ip} ago_ms={} current={}", g.node, g.zone, g.ago_ms, g.current);
    }
    for (name, s) in &picture.services {
        let (ready, draining, silent) = (s.ready.len(), s.draining.len(), s.silent.len());
        let (out, places, slow, ill) = (s.out, s.places, s.slow.len(), s.ill.len());
        println!(
            "service name={name} ready={ready} draining={draining} silent={silent} out={out} places={places} \
             slow={slow} ill={ill}"
        );
    }
    if let Some((ip, term, silent)) = picture.holder {
        println!("count at={ip} term={term} silent={silent} stores={}", picture.stores.len());
    }
    let answered = picture.racks.iter().any(|(_, fresh)| fresh.is_some());
    match answered {
        true => Ok(()),
        false => Err(AskError::Silent { asked: format!("{:?}", places.racks) }),
    }
}

async fn diff(places: &Places, file: &str) -> Result<(), AskError> {
    let nonsense = |what: String| AskError::Nonsense { what };
    let text = std::fs::read(file).map_err(|error| nonsense(format!("{file}: {error}")))?;
    let change = ConfigChange::read(&text).map_err(|refusal| nonsense(format!("{file}: {refusal}")))?;
    let stand = book(&places.items().await?).map_err(|refusal| nonsense(refusal.to_string()))?;
    let next = stand.with(&change).map_err(|refusal| nonsense(format!("{file}: {refusal}")))?;
    differences(&stand, &next).iter().for_each(|line| println!("{line}"));
    Ok(())
}

async fn tell_why(places: &Places, host: &str, path: &str, key: Option<&str>) -> Result<(), AskError> {
    let items = places.items().await?;
    let statuses: Vec<_> = places.statuses().await.into_iter().filter_map(|(_, status)| status).collect();
    let said = explain(&items, &statuses, Asked { host, path, key });
    let said = said.map_err(|refusal| AskError::Nonsense { what: refusal.to_string() })?;
    said.iter().for_each(|line| println!("{line}"));
    Ok(())
}

async fn show(places: &Places) -> Result<(), AskError> {
    let mut terminal = ratatui::init();
    let (mut events, mut picture, mut from) = (Events::default(), None::<Picture>, 0usize);
    let mut tenants = HashMap::new();
    let begun = Instant::now();
    let ended = loop {
        let now = Picture::of(&places.statuses().await);
        let moved = picture.as_ref().is_none_or(|before| before.items != now.items);
        if let Some(before) = &picture {
            events.add(begun.elapsed().as_secs(), now.changes(before));
        }
        // Whose a store is, the items tell.
        if moved {
            if let Ok(book) = places.items().await.map_err(drop).and_then(|items| book(&items).map_err(drop))
            {
                let name = |name: &str| bucket_name(CustomerId(xxh3_64(name.as_bytes()))).0;
                tenants =
                    RoutingTable::of(&book).tenants.iter().map(|t| (name(&t.name), t.name.clone())).collect();
            }
        }
        let until = Instant::now() + LOOK;
        let mut asked = Ok(true);
        while Instant::now() < until {
            let beside = Beside { events: &events, tenants: &tenants, from };
            if let Err(error) = terminal.draw(|frame| draw(frame, &now, &beside)) {
                asked = Err(error);
                break;
            }
            match key(until) {
                Ok(Some(KeyCode::Char('q') | KeyCode::Esc)) => {
                    asked = Ok(false);
                    break;
                }
                Ok(Some(KeyCode::Down)) => from += 1,
                Ok(Some(KeyCode::Up)) => from = from.saturating_sub(1),
                Ok(_) => {}
                Err(error) => {
                    asked = Err(error);
                    break;
                }
            }
        }
        picture = Some(now);
        match asked {
            Ok(true) => {}
            Ok(false) => break Ok(()),
            Err(error) => break Err(AskError::Nonsense { what: format!("the terminal: {error}") }),
        }
    };
    ratatui::restore();
    ended
}

/// The next key, until that moment.
fn key(until: Instant) -> std::io::Result<Option<KeyCode>> {
    if !event::poll(until.saturating_duration_since(Instant::now()))? {
        return Ok(None);
    }
    Ok(match event::read()? {
        Event::Key(key) => Some(key.code),
        _ => None,
    })
}
