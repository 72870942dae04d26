//! `gateway`: a gateway that follows the group. It is told the rest by its environment, as the platform's own is.

use starlinghill_accord::follower::View;
use starlinghill_accord::map::{is_name, MapProblem};
use starlinghill_accord::WHOLE;
use starlinghill_decision::api::ZonePart;
use starlinghill_follow::link::{follow, Settings};
use starlinghill_gateway::{process, Parts};
use starlinghill_operators::Group;
use std::error::Error;
use std::path::Path;
use std::process::ExitCode;
use tokio::sync::watch;
use tracing::info;

/// What the decision module is told of a view: zones with their whole part need no word.
fn parts(view: &View) -> Parts {
    let less = view.zones.iter().filter(|(_, z)| z.weight < WHOLE);
    less.map(|(name, z)| {
        (name.clone(), ZonePart { weight: f64::from(z.weight) / f64::from(WHOLE), yields: z.yields })
    })
    .collect()
}

/// Follows on the gateway's own runtime, beside its requests.
fn beside(group: &Group, name: &str) -> Result<watch::Receiver<Parts>, Box<dyn Error>> {
    if !is_name(name) {
        return Err(format!("NODE_NAME: {}", MapProblem::Name(name.chars().take(64).collect())).into());
    }
    let settings = Settings {
        members: group.members.iter().map(|m| m.listen).collect(),
        name: name.into(),
        zones: group.map.zones.keys().cloned().collect(),
        timing: group.timing,
        generation: group.generation,
        seed: fastrand::u64(..),
    };
    info!(members = settings.members.len(), "follows the group");
    let (views, mut seen) = watch::channel(View::of_own_sight());
    let (tell, told) = watch::channel(Parts::new());
    tokio::spawn(follow(settings, views));
    tokio::spawn(async move {
        while seen.changed().await.is_ok() {
            let new = parts(&seen.borrow_and_update());
            tell.send_if_modified(|old| std::mem::replace(old, new.clone()) != new);
        }
    });
    Ok(told)
}

/// Runs the gateway until SIGTERM.
pub fn run(file: &Path) -> ExitCode {
    let operators = match starlinghill_operators::read(file) {
        Ok(operators) => operators,
        Err(problems) => {
            problems.iter().for_each(|problem| eprintln!("{problem}"));
            return ExitCode::FAILURE;
        }
    };
    let done = process::run(|name| operators.group.as_ref().map(|group| beside(group, name)).transpose());
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("starlinghill: {e}");
            ExitCode::FAILURE
        }
    }
}
