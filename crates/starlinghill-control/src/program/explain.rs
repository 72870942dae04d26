//! `why`: what is found of zones, by what all gateways see, and who sees what.

use super::group::{addresses, read};
use super::zones::{newest, print_json, runtime, usage, Exit};
use serde_json::json;
use starlinghill_failover::Micros;
use starlinghill_zone_health::findings::{evaluate_reports, GatewayReport, ZoneFinding};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::process::ExitCode;

/// `why`.
#[derive(clap::Args)]
pub struct Args {
    /// The operators' file.
    file: PathBuf,
    /// This zone alone.
    zone: Option<String>,
    /// As JSON.
    #[arg(long)]
    json: bool,
}

/// Carries the command out.
pub fn main(args: &Args) -> ExitCode {
    show(args).map_or_else(Exit::tell, |()| ExitCode::SUCCESS)
}

fn show(args: &Args) -> Result<(), Exit> {
    let group = read(&args.file).map_err(usage)?;
    let (report, followers) = runtime()?.block_on(newest(&addresses(&group)))?;
    let zones: BTreeSet<String> = report.state.zones.keys().cloned().collect();
    if let Some(zone) = args.zone.as_ref().filter(|zone| !zones.contains(*zone)) {
        let known: Vec<&str> = zones.iter().map(String::as_str).collect();
        return Err(usage(format!("expected one of the zones {}, found '{zone}'", known.join(", "))));
    }
    let observers: BTreeMap<String, GatewayReport> = followers
        .values()
        .filter_map(|s| {
            let (age_ms, seen) = s.zone_report.clone()?;
            let age = Micros(age_ms.saturating_mul(1_000));
            Some((s.name.clone(), GatewayReport { zone: s.zone.clone(), age, report: seen }))
        })
        .collect();
    let found = evaluate_reports(&zones, &observers);
    let wanted = |zone: &String| args.zone.as_ref().is_none_or(|wanted| wanted == zone);
    let shown: Vec<(&String, &ZoneFinding)> = found.zones.iter().filter(|(zone, _)| wanted(zone)).collect();
    if args.json {
        let zones: BTreeMap<&String, serde_json::Value> = shown
            .into_iter()
            .map(|(zone, found)| {
                let seen: BTreeMap<&String, _> = observers
                    .iter()
                    .filter_map(|(name, o)| Some((name, o.report.zones.get(zone)?)))
                    .collect();
                (zone, json!({"finding": found.finding.to_string(), "why": found.to_string(), "seen": seen}))
            })
            .collect();
        return print_json(
            &json!({"zones": zones, "blind": found.isolated_gateways, "left_out": found.ignored_gateways}),
        );
    }
    for (zone, found) in shown {
        println!("{zone}: {found}");
    }
    if !found.isolated_gateways.is_empty() {
        println!("cut off themselves, and not counted: {}", found.isolated_gateways.join(", "));
    }
    if !found.ignored_gateways.is_empty() {
        println!(
            "not counted, as too old, beyond bounds, or of a zone that is not on the map: {}",
            found.ignored_gateways.join(", ")
        );
    }
    println!("{} of {} gateways say what they see", observers.len(), followers.len());
    Ok(())
}
