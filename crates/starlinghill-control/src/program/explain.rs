//! The command `why`: the health of zones as found from the reports of all gateways, and these reports.

use super::group::{addresses, read};
use super::zones::{newest_report, print_json, runtime, usage_error, CommandError};
use serde_json::json;
use starlinghill_failover::Micros;
use starlinghill_zone_health::findings::{evaluate_reports, GatewayReport, ZoneFinding};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::process::ExitCode;

/// Arguments of `why`.
#[derive(clap::Args)]
pub struct Args {
    /// The operators' file.
    file: PathBuf,
    /// Show only this zone.
    zone: Option<String>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// Runs the command.
pub fn main(args: &Args) -> ExitCode {
    show(args).map_or_else(CommandError::report_and_exit, |()| ExitCode::SUCCESS)
}

fn show(args: &Args) -> Result<(), CommandError> {
    let group = read(&args.file).map_err(usage_error)?;
    let (report, followers) = runtime()?.block_on(newest_report(&addresses(&group)))?;
    let zones: BTreeSet<String> = report.state.zones.keys().cloned().collect();
    if let Some(zone) = args.zone.as_ref().filter(|zone| !zones.contains(*zone)) {
        let known: Vec<&str> = zones.iter().map(String::as_str).collect();
        return Err(usage_error(format!("expected one of the zones {}, found '{zone}'", known.join(", "))));
    }
    let observers: BTreeMap<String, GatewayReport> = followers
        .values()
        .filter_map(|s| {
            let (age_ms, evidence) = s.zone_report.clone()?;
            let age = Micros(age_ms.saturating_mul(1_000));
            Some((s.name.clone(), GatewayReport { zone: s.zone.clone(), age, report: evidence }))
        })
        .collect();
    let found = evaluate_reports(&zones, &observers);
    let is_selected = |zone: &String| args.zone.as_ref().is_none_or(|selected| selected == zone);
    let shown: Vec<(&String, &ZoneFinding)> =
        found.zones.iter().filter(|(zone, _)| is_selected(zone)).collect();
    if args.json {
        let zones: BTreeMap<&String, serde_json::Value> = shown
            .into_iter()
            .map(|(zone, found)| {
                let reports: BTreeMap<&String, _> = observers
                    .iter()
                    .filter_map(|(name, o)| Some((name, o.report.zones.get(zone)?)))
                    .collect();
                (
                    zone,
                    json!({"finding": found.finding.to_string(), "why": found.to_string(), "seen": reports}),
                )
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
