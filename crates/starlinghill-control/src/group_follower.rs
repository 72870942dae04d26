//! Subscribes to the failover group on behalf of a gateway or the control service, which both need each zone's share of
//! their work.

use starlinghill_decision::api::ZoneShare;
use starlinghill_failover::follower::View;
use starlinghill_failover::topology::{is_name, TopologyProblem};
use starlinghill_failover::FULL_WEIGHT;
use starlinghill_failover_client::subscription::{follow, ReportSource, Settings};
use starlinghill_gateway::ZoneParts;
use starlinghill_operator_config::Group;
use tokio::sync::watch;
use tracing::{info, warn};

/// The shares of the zones with less than their full weight. Zones that are not listed have their full share.
fn reduced_parts(view: &View) -> ZoneParts {
    let reduced = view.zones.iter().filter(|(_, z)| z.weight < FULL_WEIGHT);
    reduced
        .map(|(name, z)| {
            (
                name.clone(),
                ZoneShare { weight: f64::from(z.weight) / f64::from(FULL_WEIGHT), yields: z.overridable },
            )
        })
        .collect()
}

/// Subscription settings from the operators' file, for a follower of this name in this zone. `zone` is empty for a
/// follower outside all zones. Fails if the name is invalid.
pub fn settings(group: &Group, name: &str, zone: &str, seed: u64) -> Result<Settings, TopologyProblem> {
    if !is_name(name) {
        return Err(TopologyProblem::BadName(name.chars().take(64).collect()));
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

/// A running subscription to the group.
pub struct GroupSubscription {
    /// The shares of zones with less than their full weight; updated when they change.
    pub parts: watch::Receiver<ZoneParts>,
    /// Passes a reloaded `[group]` section to the subscription.
    pub updater: SettingsUpdater,
}

/// Changes the settings of a running subscription.
pub struct SettingsUpdater(watch::Sender<Settings>);

impl SettingsUpdater {
    /// Continues with the settings of this section. If the section is absent or unusable, the subscription goes on
    /// unchanged; otherwise zones that are ordered out of service would return because a file was edited.
    pub fn update(&self, group: Option<&Group>) {
        let Some(group) = group else {
            warn!(key = "group", "removed; takes effect at the next start, the group is followed as before");
            return;
        };
        let old = self.0.borrow().clone();
        match settings(group, &old.name, &old.zone, old.seed) {
            Ok(new) => drop(self.0.send_replace(new)),
            Err(problem) => {
                warn!(%problem, "the new group settings are not usable; the group is followed as before")
            }
        }
    }
}

/// Subscribes to the group on the current Tokio runtime, until the receiver of `parts` is dropped. `evidence` supplies
/// what this follower observes of the zones' health, if it observes any.
pub fn subscribe(
    group: &Group,
    name: &str,
    zone: &str,
    evidence: Option<ReportSource>,
) -> Result<GroupSubscription, TopologyProblem> {
    let settings = settings(group, name, zone, fastrand::u64(..))?;
    info!(members = settings.members.len(), "follows the group");
    let (settings_sender, settings_changes) = watch::channel(settings);
    let (view_sender, mut views) = watch::channel(View::without_group());
    let (parts_sender, parts) = watch::channel(ZoneParts::new());
    tokio::spawn(follow(settings_changes, view_sender, evidence));
    tokio::spawn(async move {
        loop {
            tokio::select! {
                changed = views.changed() => if changed.is_err() { return },
                () = parts_sender.closed() => return,
            }
            let new = reduced_parts(&views.borrow_and_update());
            parts_sender.send_if_modified(|old| std::mem::replace(old, new.clone()) != new);
        }
    });
    Ok(GroupSubscription { parts, updater: SettingsUpdater(settings_sender) })
}
