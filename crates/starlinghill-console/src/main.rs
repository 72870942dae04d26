//! The operators' console: parses the command line and runs one command, or the screen.

use ratatui::crossterm::event::{self, Event, KeyCode};
use simd_json::prelude::*;
use starlinghill_config_model::{ConfigChange, RoutingTable};
use starlinghill_console::client::{ClientError, RegistryClient};
use starlinghill_console::explain::{differences, explain, item_set, RequestQuery};
use starlinghill_console::membership;
use starlinghill_console::screen::{draw, ScreenState};
use starlinghill_console::status::{EventLog, Overview};
use starlinghill_decision::api::CustomerId;
use starlinghill_decision::bucket_name;
use starlinghill_runtime::settings::NodeSettings;
use std::collections::HashMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

const HELP: &str = "starlinghill-console: shows the state of the system, and sends orders

    starlinghill-console [--settings FILE]             shows the state on a terminal, and keeps it current
    starlinghill-console get items|status              prints it as text, for scripts
    starlinghill-console diff FILE                     shows what FILE would change in the current items
    starlinghill-console apply FILE                    sends FILE; says why if it is refused
    starlinghill-console drain ID                      has a backend take no new work
    starlinghill-console core list|why                 lists the core's members; shows why they are not changed
    starlinghill-console core add|remove IP            adds or removes a member
    starlinghill-console core replace IP BY            replaces a member by another store
    starlinghill-console explain HOST PATH [--key KEY] shows route, tenant and services, or why it is refused

FILE of diff and apply is what PATCH /api/config takes. --settings names any machine's settings file, which lists
the registries' addresses; without it, STARLINGHILL_CONFIG names the file.
";
/// The time between two updates of the screen.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let settings = match args.opt_value_from_str::<_, PathBuf>("--settings") {
        Ok(settings) => settings,
        Err(error) => return usage_error(&error.to_string()),
    };
    let key = match args.opt_value_from_str::<_, String>("--key") {
        Ok(key) => key,
        Err(error) => return usage_error(&error.to_string()),
    };
    let words: Vec<String> = match args.finish().into_iter().map(|word| word.into_string()).collect() {
        Ok(words) => words,
        Err(_) => return usage_error("an argument is not valid UTF-8"),
    };
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let node = match settings {
        Some(path) => NodeSettings::from_file(&path),
        None => NodeSettings::from_environment(),
    };
    let client = match node {
        Ok(node) => RegistryClient::of(&node),
        Err(error) => return failure(&error),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return failure(&error),
    };
    let done = runtime.block_on(async {
        match words.as_slice() {
            [] => run_screen(&client).await,
            ["get", "items"] => client.items().await.map(|items| println!("{}", items.encode_pp())),
            ["get", "status"] => print_status(&client).await,
            ["diff", file] => print_diff(&client, file).await,
            ["apply", file] => match std::fs::read(file) {
                Ok(change) => client.apply(change).await.map(|()| println!("taken")),
                Err(error) => Err(ClientError::Other { problem: format!("{file}: {error}") }),
            },
            ["drain", id] => client.drain(id).await.map(|noted| println!("noted by {noted} registries")),
            ["core", "list"] => {
                let statuses = client.membership_statuses().await;
                membership::member_lines(&statuses).iter().for_each(|line| println!("{line}"));
                Ok(())
            }
            ["core", "why"] => {
                let statuses = client.membership_statuses().await;
                membership::status_lines(&statuses).iter().for_each(|line| println!("{line}"));
                Ok(())
            }
            ["core", words @ ..] if membership::parse_order(words).is_some() => {
                match membership::parse_order(words) {
                    Some(order) => client.change_members(order).await.map(|result| println!("{result}")),
                    None => Ok(()),
                }
            }
            ["explain", host, path] => print_explanation(&client, host, path, key.as_deref()).await,
            _ => Err(ClientError::Other { problem: format!("unknown command {words:?}\n\n{HELP}") }),
        }
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failure(&error),
    }
}

fn usage_error(problem: &str) -> ExitCode {
    eprint!("{problem}\n\n{HELP}");
    ExitCode::from(2)
}

fn failure(error: &impl std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}

async fn print_status(client: &RegistryClient) -> Result<(), ClientError> {
    let overview = Overview::of(&client.statuses().await);
    for (at, fresh) in &overview.registries {
        let state = match fresh {
            Some(true) => "fresh",
            Some(false) => "stale",
            None => "silent",
        };
        println!("registry at={at} state={state}");
    }
    for (ip, g) in &overview.gateways {
        println!("gateway node={} zone={} ip={ip} ago_ms={} current={}", g.node, g.zone, g.ago_ms, g.current);
    }
    for (name, s) in &overview.services {
        let (ready, draining, silent) = (s.ready.len(), s.draining.len(), s.silent.len());
        let (out, places, slow, ill) = (s.outstanding, s.capacity, s.slow.len(), s.failing.len());
        println!(
            "service name={name} ready={ready} draining={draining} silent={silent} out={out} places={places} \
             slow={slow} ill={ill}"
        );
    }
    if let Some((ip, term, silent)) = overview.counter {
        println!("count at={ip} term={term} silent={silent} stores={}", overview.buckets.len());
    }
    let answered = overview.registries.iter().any(|(_, fresh)| fresh.is_some());
    match answered {
        true => Ok(()),
        false => Err(ClientError::Silent { asked: format!("{:?}", client.registries) }),
    }
}

async fn print_diff(client: &RegistryClient, file: &str) -> Result<(), ClientError> {
    let failed = |problem: String| ClientError::Other { problem };
    let text = std::fs::read(file).map_err(|error| failed(format!("{file}: {error}")))?;
    let change = ConfigChange::parse(&text).map_err(|refusal| failed(format!("{file}: {refusal}")))?;
    let current = item_set(&client.items().await?).map_err(|refusal| failed(refusal.to_string()))?;
    let next = current.with_change(&change).map_err(|refusal| failed(format!("{file}: {refusal}")))?;
    differences(&current, &next).iter().for_each(|line| println!("{line}"));
    Ok(())
}

async fn print_explanation(
    client: &RegistryClient,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Result<(), ClientError> {
    let items = client.items().await?;
    let statuses: Vec<_> = client.statuses().await.into_iter().filter_map(|(_, status)| status).collect();
    let lines = explain(&items, &statuses, RequestQuery { host, path, key });
    let lines = lines.map_err(|refusal| ClientError::Other { problem: refusal.to_string() })?;
    lines.iter().for_each(|line| println!("{line}"));
    Ok(())
}

async fn run_screen(client: &RegistryClient) -> Result<(), ClientError> {
    let mut terminal = ratatui::init();
    let (mut events, mut previous, mut scroll) = (EventLog::default(), None::<Overview>, 0usize);
    let mut tenants = HashMap::new();
    let started = Instant::now();
    let ended = loop {
        let overview = Overview::of(&client.statuses().await);
        let items_changed = previous.as_ref().is_none_or(|before| before.items != overview.items);
        if let Some(before) = &previous {
            events.add(started.elapsed().as_secs(), overview.changes(before));
        }
        // Token buckets are named by a hash of the tenant's name; the items give the names to hash.
        if items_changed {
            let items = client.items().await.map_err(drop).and_then(|items| item_set(&items).map_err(drop));
            if let Ok(items) = items {
                let bucket = |name: &str| bucket_name(CustomerId(xxh3_64(name.as_bytes()))).0;
                let table = RoutingTable::from_items(&items);
                tenants = table.tenants.iter().map(|t| (bucket(&t.name), t.name.clone())).collect();
            }
        }
        let until = Instant::now() + REFRESH_INTERVAL;
        let mut goes_on = Ok(true);
        while Instant::now() < until {
            let state = ScreenState { events: &events, tenants: &tenants, scroll };
            if let Err(error) = terminal.draw(|frame| draw(frame, &overview, &state)) {
                goes_on = Err(error);
                break;
            }
            match next_key(until) {
                Ok(Some(KeyCode::Char('q') | KeyCode::Esc)) => {
                    goes_on = Ok(false);
                    break;
                }
                Ok(Some(KeyCode::Down)) => scroll += 1,
                Ok(Some(KeyCode::Up)) => scroll = scroll.saturating_sub(1),
                Ok(_) => {}
                Err(error) => {
                    goes_on = Err(error);
                    break;
                }
            }
        }
        previous = Some(overview);
        match goes_on {
            Ok(true) => {}
            Ok(false) => break Ok(()),
            Err(error) => break Err(ClientError::Other { problem: format!("the terminal: {error}") }),
        }
    };
    ratatui::restore();
    ended
}

/// Waits for a terminal event until `until`, and returns the key if it is a key press.
fn next_key(until: Instant) -> std::io::Result<Option<KeyCode>> {
    if !event::poll(until.saturating_duration_since(Instant::now()))? {
        return Ok(None);
    }
    Ok(match event::read()? {
        Event::Key(key) => Some(key.code),
        _ => None,
    })
}
