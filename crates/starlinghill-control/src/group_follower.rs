//! What follows the group inside this program: gateways, and the control service for other proxies. Both are told the
//! parts of their work that zones get.

use starlinghill_decision::api::ZoneShare;
use starlinghill_failover::follower::View;
use starlinghill_failover::topology::{is_name, TopologyProblem};
use starlinghill_failover::FULL_WEIGHT;
use starlinghill_failover_client::subscription::{follow, Evidence, Settings};
use starlinghill_gateway::ZoneParts;
use starlinghill_operator_config::Group;
use tokio::sync::watch;
use tracing::{info, warn};

/// What is told of a view: zones with their whole part need no word.
fn parts(view: &View) -> ZoneParts {
    let less = view.zones.iter().filter(|(_, z)| z.weight < FULL_WEIGHT);
    less.map(|(name, z)| {
        (name.clone(), ZoneShare { weight: f64::from(z.weight) / f64::from(FULL_WEIGHT), yields: z.yields })
    })
    .collect()
}

/// Whom to follow by the operators' file, under this name, from this zone; empty: from none of them.
pub fn settings(group: &Group, name: &str, zone: &str, seed: u64) -> Result<Settings, TopologyProblem> {
    if !is_name(name) {
        return Err(TopologyProblem::Name(name.chars().take(64).collect()));
    }
    Ok(Settings {
        members: group.members.iter().map(|m| m.listen).collect(),
        name: name.into(),
        zones: group.map.zones.keys().cloned().collect(),
        zone: zone.into(),
        timing: group.timing,
        generation: group.generation,
        seed,
    })
}

/// One who follows.
pub struct Following {
    /// The parts of zones.
    pub parts: watch::Receiver<ZoneParts>,
    /// Told when the operators' file was read again.
    pub renew: Renew,
}

/// Takes on the group's section, read again.
pub struct Renew(watch::Sender<Settings>);

impl Renew {
    /// From now on the group is followed by this. Without a section it is followed as before: zones that are out by
    /// order would come back by an edit of a file.
    pub fn renew(&self, group: Option<&Group>) {
        let Some(group) = group else {
            warn!(key = "group", "gone, and waits for the next start; the group is followed as before");
            return;
        };
        let old = self.0.borrow().clone();
        match settings(group, &old.name, &old.zone, old.seed) {
            Ok(new) => drop(self.0.send_replace(new)),
            Err(problem) => warn!(%problem, "not usable; the group is followed as before"),
        }
    }
}

/// Begins to follow on the present runtime, under this name, until the receiver is dropped.
pub fn begin(
    group: &Group,
    name: &str,
    zone: &str,
    evidence: Option<Evidence>,
) -> Result<Following, TopologyProblem> {
    let settings = settings(group, name, zone, fastrand::u64(..))?;
    info!(members = settings.members.len(), "follows the group");
    let (renew, changes) = watch::channel(settings);
    let (views, mut seen) = watch::channel(View::of_own_sight());
    let (tell, told) = watch::channel(ZoneParts::new());
    tokio::spawn(follow(changes, views, evidence));
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
    Ok(Following { parts: told, renew: Renew(renew) })
}
