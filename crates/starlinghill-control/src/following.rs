//! What follows the group inside this program: gateways, and the control service for other proxies. Both are told the
//! parts of their work that zones get.

use starlinghill_accord::follower::View;
use starlinghill_accord::map::{is_name, MapProblem};
use starlinghill_accord::WHOLE;
use starlinghill_decision::api::ZonePart;
use starlinghill_follow::link::{follow, Settings};
use starlinghill_gateway::Parts;
use starlinghill_operators::Group;
use std::error::Error;
use tokio::sync::watch;
use tracing::info;

/// What is told of a view: zones with their whole part need no word.
fn parts(view: &View) -> Parts {
    let less = view.zones.iter().filter(|(_, z)| z.weight < WHOLE);
    less.map(|(name, z)| {
        (name.clone(), ZonePart { weight: f64::from(z.weight) / f64::from(WHOLE), yields: z.yields })
    })
    .collect()
}

/// Begins to follow on the present runtime, under this name, until the receiver is dropped.
pub fn begin(group: &Group, name: &str) -> Result<watch::Receiver<Parts>, Box<dyn Error>> {
    if !is_name(name) {
        let problem = MapProblem::Name(name.chars().take(64).collect());
        return Err(format!("NODE_NAME: {problem}").into());
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
        loop {
            tokio::select! {
                changed = seen.changed() => if changed.is_err() { return },
                () = tell.closed() => return,
            }
            let new = parts(&seen.borrow_and_update());
            tell.send_if_modified(|old| std::mem::replace(old, new.clone()) != new);
        }
    });
    Ok(told)
}
