//! Decides which directives a gateway applies. A gateway never goes back to an older position, whichever member it asks.
//! What it applies depends on the age of its newest directives:
//!
//! - *Following*, up to `fresh_limit`: it applies the newest directives.
//! - *Retaining*, up to `stale_limit`: it goes on with the directives that it applied last (static stability). It
//!   stores newer ones from a member that can't tell their age, but does not apply them: they may be a step of a ramp
//!   that was canceled since.
//! - *Local only*, past that age, and before the first directives are confirmed: it reports that it is on its own. The
//!   weights that it applied last stay as upper limits: the full weight for `serving`, the last weight for `draining`,
//!   `returning` and `held`, 0 for `out`. It may exceed them if its own server list and health checks leave no other
//!   zone, because nobody can cancel an order for this gateway any more.
//!
//! Ages count from before a question was sent. A member asks the leader and a gateway asks its member. Each notes on its
//! own clock when it asked and adds the age in the answer. If a process is paused or an answer is delayed, the age
//! comes out larger, never smaller. No clocks of two processes are compared.

use crate::bounds::Timing;
use crate::directive::{DirectiveUpdate, Directives, InvalidUpdate, ZoneDirective};
use crate::state::Phase;
use crate::{Micros, Permille, Position, FULL_WEIGHT};
use std::collections::BTreeMap;
use std::fmt;

/// An input of the follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Directives from the member.
    Update(DirectiveUpdate),
    /// The member's answer to a question for the age of its state.
    Answer {
        /// When the question was sent, on this process's clock.
        asked_at: Micros,
        /// The age of the member's state when it answered; `None` if the member does not know it.
        age: Option<Micros>,
        /// The position of the member's state.
        position: Position,
    },
    /// Time has passed.
    Tick,
}

/// Which directives a gateway applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mode {
    /// The ones that it applied last, as upper limits that can be exceeded: past `stale_limit`, or never confirmed.
    LocalOnly,
    /// The ones that it applied last: past `fresh_limit`.
    Retaining,
    /// The newest: up to `fresh_limit`.
    Following,
}

impl fmt::Display for Mode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Mode::LocalOnly => "own sight",
            Mode::Retaining => "keeping",
            Mode::Following => "following",
        })
    }
}

/// The limit on one zone for the choice of servers. A zone without one takes its full share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ZoneView {
    /// The most that the zone gets of its full share.
    pub weight: Permille,
    /// Whether the zone may get more if no other zone can serve.
    pub overridable: bool,
}

/// The directives that a gateway applies.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct View {
    /// Why these directives apply.
    pub mode: Mode,
    /// The position of the applied directives.
    pub position: Position,
    /// The zones of the applied directives by name.
    pub zones: BTreeMap<String, ZoneView>,
}

impl View {
    /// The view of a gateway that never got directives: no zone is limited.
    pub fn without_group() -> View {
        View { mode: Mode::LocalOnly, position: Position::default(), zones: BTreeMap::new() }
    }
}

/// Why the gateway switches to another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwitchReason {
    /// The member belongs to the group before a restore, or has not caught up within `answer_timeout`.
    Behind {
        /// The member's position.
        member: Position,
        /// The newest position that this gateway got.
        held: Position,
    },
    /// The member sent other directives for this position than another member did.
    Contradicts(Position),
    /// The member sent an invalid update.
    InvalidUpdate(InvalidUpdate),
    /// For `fresh_limit` the member has not confirmed that its state is current.
    AgeUnknown,
}

impl fmt::Display for SwitchReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SwitchReason::Behind { member, held } => {
                write!(f, "it is at position {member}, but {held} is known")
            }
            SwitchReason::Contradicts(position) => {
                write!(f, "its directives for position {position} differ from those of another member")
            }
            SwitchReason::InvalidUpdate(problem) => write!(f, "it sent an invalid update: {problem}"),
            SwitchReason::AgeUnknown => f.write_str("it can't tell the age of its state"),
        }
    }
}

/// What the owner of the connection must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Apply this view from now on.
    Follow(View),
    /// Ask the member for all directives, because a change was lost.
    RequestFull,
    /// Connect to another member.
    SwitchMember(SwitchReason),
}

/// The follower of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Follower {
    timing: Timing,
    /// The newest directives that the gateway got.
    held: Option<Directives>,
    /// The applied directives: `held` or those of an earlier position.
    followed: Option<Directives>,
    /// The newest time at which `held` is known to have been current.
    confirmed_at: Option<Micros>,
    /// When the present member was connected, or last confirmed an age within `fresh_limit`.
    member_confirmed_at: Micros,
    /// Since when the present member is behind `held`, and its position.
    behind: Option<(Micros, Position)>,
    /// The lowest generation that is accepted.
    generation: u64,
    view: View,
}

impl Follower {
    /// A follower without directives, which accepts no generation below `generation`.
    pub fn new(timing: Timing, generation: u64) -> Follower {
        Follower {
            timing,
            held: None,
            followed: None,
            confirmed_at: None,
            member_confirmed_at: Micros(0),
            behind: None,
            generation,
            view: View::without_group(),
        }
    }

    /// Takes on new time settings, and accepts no generation below `generation` any more. Directives of an older
    /// generation count as unconfirmed, so the follower becomes local only with their weights as limits.
    pub fn update_settings(&mut self, timing: Timing, generation: u64) {
        self.timing = timing;
        self.generation = self.generation.max(generation);
        if self.held.as_ref().is_some_and(|held| held.position.generation < self.generation) {
            self.held = None;
            self.confirmed_at = None;
        }
    }

    /// The view that applies now.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The newest position that the gateway got.
    pub fn held(&self) -> Position {
        self.held.as_ref().map_or(Position { generation: self.generation, epoch: 0 }, |h| h.position)
    }

    /// An upper bound on the age of the newest directives; `None` if they were never confirmed.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.confirmed_at.map(|at| self.timing.max_true_span(Micros(now.0.saturating_sub(at.0))))
    }

    /// Records that the gateway has connected to a member.
    pub fn connected(&mut self, now: Micros) {
        self.member_confirmed_at = now;
        self.behind = None;
    }

    /// Handles one event and returns what the owner must do.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Update(update) => self.handle_update(now, &update, &mut actions),
            Event::Answer { asked_at, age, position } => {
                self.handle_answer(now, asked_at, age, position, &mut actions)
            }
            Event::Tick => {}
        }
        if actions.is_empty() {
            self.check_member(now, &mut actions);
        }
        if self.refresh_view(now) {
            actions.push(Action::Follow(self.view.clone()));
        }
        actions
    }

    fn handle_update(&mut self, now: Micros, update: &DirectiveUpdate, actions: &mut Vec<Action>) {
        if let Err(problem) = update.check() {
            actions.push(Action::SwitchMember(SwitchReason::InvalidUpdate(problem)));
            return;
        }
        let position = update.position();
        // `held()` has epoch 0 before the first update, so the first one of this generation may equal it.
        if position < self.held() || position.generation < self.generation {
            self.note_behind(now, position);
            return;
        }
        let new = match &self.held {
            Some(held) => held.updated_by(update),
            None => Directives::default().updated_by(update),
        };
        match new {
            None => actions.push(Action::RequestFull),
            Some(new) => {
                if self.held.as_ref().is_some_and(|h| h.position == new.position && *h != new) {
                    actions.push(Action::SwitchMember(SwitchReason::Contradicts(new.position)));
                    return;
                }
                // A restored group may have lost what the group before it had confirmed, so a new confirmation is needed.
                if self.held.as_ref().is_some_and(|h| h.position.generation < new.position.generation) {
                    self.confirmed_at = None;
                }
                self.generation = self.generation.max(new.position.generation);
                self.held = Some(new);
                self.behind = None;
            }
        }
    }

    fn handle_answer(
        &mut self,
        now: Micros,
        asked_at: Micros,
        age: Option<Micros>,
        position: Position,
        actions: &mut Vec<Action>,
    ) {
        match position.cmp(&self.held()) {
            std::cmp::Ordering::Less => self.note_behind(now, position),
            std::cmp::Ordering::Greater => actions.push(Action::RequestFull),
            std::cmp::Ordering::Equal if self.held.is_none() => actions.push(Action::RequestFull),
            std::cmp::Ordering::Equal => {
                self.behind = None;
                let Some(age) = age else { return };
                // The time would be before the start of this process's clock, so it can't be represented.
                let Some(confirmed_at) = asked_at.0.checked_sub(age.0) else { return };
                if asked_at > now {
                    return;
                }
                if self.confirmed_at.is_none_or(|c| c.0 < confirmed_at) {
                    self.confirmed_at = Some(Micros(confirmed_at));
                }
                if self.age(now).is_some_and(|age| age <= self.timing.fresh_limit) {
                    self.member_confirmed_at = now;
                }
            }
        }
    }

    fn note_behind(&mut self, now: Micros, member: Position) {
        let since = self.behind.map_or(now, |(since, _)| since);
        self.behind = Some((since, member));
    }

    /// Switches away from a member that stays behind or can't tell the age of its state. A member that was just connected
    /// gets some time to catch up.
    fn check_member(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let held = self.held();
        if let Some((since, member)) = self.behind {
            let timed_out = now.0.saturating_sub(since.0) > self.timing.answer_timeout.0;
            if timed_out || member.generation < held.generation {
                self.behind = None;
                actions.push(Action::SwitchMember(SwitchReason::Behind { member, held }));
            }
        } else if now.0.saturating_sub(self.member_confirmed_at.0) > self.timing.fresh_limit.0 {
            self.member_confirmed_at = now;
            actions.push(Action::SwitchMember(SwitchReason::AgeUnknown));
        }
    }

    /// Recomputes the view for the present age. Returns whether it has changed.
    fn refresh_view(&mut self, now: Micros) -> bool {
        let mode = match self.age(now) {
            Some(age) if age <= self.timing.fresh_limit => Mode::Following,
            Some(age) if age <= self.timing.stale_limit && self.followed.is_some() => Mode::Retaining,
            _ => Mode::LocalOnly,
        };
        if mode == Mode::Following && self.followed != self.held {
            self.followed.clone_from(&self.held);
        }
        let view = match &self.followed {
            None => View::without_group(),
            Some(directives) => {
                let overridable = mode == Mode::LocalOnly;
                let zone_view = |(name, z): (&String, &ZoneDirective)| {
                    let weight = if z.phase == Phase::Serving { FULL_WEIGHT } else { z.weight };
                    (name.clone(), ZoneView { weight, overridable })
                };
                View {
                    mode,
                    position: directives.position,
                    zones: directives.zones.iter().map(zone_view).collect(),
                }
            }
        };
        let changed = view != self.view;
        self.view = view;
        changed
    }
}
