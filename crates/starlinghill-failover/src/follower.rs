//! What a gateway makes of what it is told. It never goes back to an older position, whatever member it asks, and
//! what it follows has an age:
//!
//! - *following*, up to `fresh`: it does what it was told last.
//! - *keeping*, up to `stale`: it goes on with what it followed last (static stability). What it is told meanwhile
//!   by a member that can't say how old that is, it holds and does not follow: it may be a step of a ramp that
//!   was called off since.
//! - *own sight*, beyond, and before it was ever told: it says so. A zone's weight that it followed last goes on as
//!   the most that the zone gets (`serving` the whole; `draining`, `returning` and `held` what they had reached;
//!   `out` nothing), and yields where the gateway's own list and health leave no other zone: nobody can call an order
//!   off any more for this gateway.
//!
//! The age counts from before the question was asked: a member asks the leader, a gateway asks its member, each notes
//! on its own clock when it asked, and adds the age that the answer names. A process that was stopped, or an answer
//! that lay in a buffer, makes the age larger, never smaller; no two processes' clocks are compared.

use crate::bounds::Timing;
use crate::directive::{DirectiveUpdate, Directives, InvalidUpdate};
use crate::state::Phase;
use crate::{Micros, Permille, Position, FULL_WEIGHT};
use std::collections::BTreeMap;
use std::fmt;

/// What comes to a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A message from the member.
    Update(DirectiveUpdate),
    /// The member's answer to a question.
    Answer {
        /// When the question was sent, by this process's clock.
        asked_at: Micros,
        /// How old the member's own certainty was; `None`: it has none.
        age: Option<Micros>,
        /// Where the member stood.
        position: Position,
    },
    /// Nothing but time.
    Tick,
}

/// How a gateway goes by what it was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mode {
    /// By its own sight.
    LocalOnly,
    /// By what it followed last.
    Retaining,
    /// By what it is told.
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

/// What the choice of servers is told of a zone. A zone that is not named takes its whole part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ZoneView {
    /// The most of its work that it gets.
    pub weight: Permille,
    /// It gets more all the same where no other zone can serve.
    pub overridable: bool,
}

/// What a gateway does.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct View {
    /// How it goes by what it was told.
    pub mode: Mode,
    /// The position that it follows, or followed last.
    pub position: Position,
    /// The zones that don't take their whole part, or do so by order.
    pub zones: BTreeMap<String, ZoneView>,
}

impl View {
    /// What a gateway does that was never told anything.
    pub fn without_group() -> View {
        View { mode: Mode::LocalOnly, position: Position::default(), zones: BTreeMap::new() }
    }
}

/// SwitchReason another member is to be asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwitchReason {
    /// This one is of a group that was restored since, or has not caught up in time.
    Behind {
        /// Where it stands.
        member: Position,
        /// Where this follower stands.
        held: Position,
    },
    /// It tells something else of the same position.
    Contradicts(Position),
    /// What it tells is out of bounds.
    InvalidUpdate(InvalidUpdate),
    /// It has not said for `fresh` that it knows the newest.
    AgeUnknown,
}

impl fmt::Display for SwitchReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SwitchReason::Behind { member, held } => write!(f, "it stands at {member}, {held} is known"),
            SwitchReason::Contradicts(position) => {
                write!(f, "it tells something else of {position} than another member")
            }
            SwitchReason::InvalidUpdate(what) => write!(f, "what it tells can't be used: {what}"),
            SwitchReason::AgeUnknown => f.write_str("it can't say how old what it knows is"),
        }
    }
}

/// What the owner of the connection has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Go by this from now on.
    Follow(View),
    /// Ask the member for the whole picture.
    RequestFull,
    /// Ask another member.
    SwitchMember(SwitchReason),
}

/// One gateway's follower.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Follower {
    timing: Timing,
    /// The newest that was told.
    held: Option<Directives>,
    /// What is followed, of `held` or of an earlier position.
    followed: Option<Directives>,
    /// When `held` was certainly the newest.
    confirmed: Option<Micros>,
    /// When the present member was met, or last said that it knew the newest.
    sure: Micros,
    /// Since when the present member is behind.
    behind: Option<(Micros, Position)>,
    /// The least generation that is believed.
    generation: u64,
    view: View,
}

impl Follower {
    /// A follower that was never told anything, and believes no generation below this.
    pub fn new(timing: Timing, generation: u64) -> Follower {
        Follower {
            timing,
            held: None,
            followed: None,
            confirmed: None,
            sure: Micros(0),
            behind: None,
            generation,
            view: View::without_group(),
        }
    }

    /// Other times hold from now on, and no generation below this is believed any more. What was told by an older one
    /// counts as never told: its zones' weights go on as the most that they get, by own sight.
    pub fn update_settings(&mut self, timing: Timing, generation: u64) {
        self.timing = timing;
        self.generation = self.generation.max(generation);
        if self.held.as_ref().is_some_and(|held| held.position.generation < self.generation) {
            self.held = None;
            self.confirmed = None;
        }
    }

    /// What it does now.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The newest position that it was told.
    pub fn held(&self) -> Position {
        self.held.as_ref().map_or(Position { generation: self.generation, epoch: 0 }, |h| h.position)
    }

    /// How old what it was told is at the most; `None`: it was never told for sure.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.confirmed.map(|at| self.timing.stretched(Micros(now.0.saturating_sub(at.0))))
    }

    /// A member was connected to.
    pub fn connected(&mut self, now: Micros) {
        self.sure = now;
        self.behind = None;
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Update(told) => self.told(now, &told, &mut actions),
            Event::Answer { asked_at: asked, age, position } => {
                self.answer(now, asked, age, position, &mut actions)
            }
            Event::Tick => {}
        }
        if actions.is_empty() {
            self.patience(now, &mut actions);
        }
        if self.look(now) {
            actions.push(Action::Follow(self.view.clone()));
        }
        actions
    }

    fn told(&mut self, now: Micros, told: &DirectiveUpdate, actions: &mut Vec<Action>) {
        if let Err(what) = told.check() {
            actions.push(Action::SwitchMember(SwitchReason::InvalidUpdate(what)));
            return;
        }
        let position = told.position();
        // The first picture of this very generation may stand at its beginning.
        if position < self.held() || position.generation < self.generation {
            self.is_behind(now, position);
            return;
        }
        let new = match &self.held {
            Some(held) => held.updated_by(told),
            None => Directives::default().updated_by(told),
        };
        match new {
            None => actions.push(Action::RequestFull),
            Some(new) => {
                if self.held.as_ref().is_some_and(|h| h.position == new.position && *h != new) {
                    actions.push(Action::SwitchMember(SwitchReason::Contradicts(new.position)));
                    return;
                }
                // A restored group may have lost what was confirmed of the one before: its age begins anew.
                if self.held.as_ref().is_some_and(|h| h.position.generation < new.position.generation) {
                    self.confirmed = None;
                }
                self.generation = self.generation.max(new.position.generation);
                self.held = Some(new);
                self.behind = None;
            }
        }
    }

    fn answer(
        &mut self,
        now: Micros,
        asked: Micros,
        age: Option<Micros>,
        position: Position,
        actions: &mut Vec<Action>,
    ) {
        match position.cmp(&self.held()) {
            std::cmp::Ordering::Less => self.is_behind(now, position),
            std::cmp::Ordering::Greater => actions.push(Action::RequestFull),
            std::cmp::Ordering::Equal if self.held.is_none() => actions.push(Action::RequestFull),
            std::cmp::Ordering::Equal => {
                self.behind = None;
                let Some(age) = age else { return };
                // Before this process's clock began: older than can be told.
                let Some(at) = asked.0.checked_sub(age.0) else { return };
                if asked > now {
                    return;
                }
                if self.confirmed.is_none_or(|c| c.0 < at) {
                    self.confirmed = Some(Micros(at));
                }
                if self.age(now).is_some_and(|age| age <= self.timing.fresh_limit) {
                    self.sure = now;
                }
            }
        }
    }

    fn is_behind(&mut self, now: Micros, member: Position) {
        let since = self.behind.map_or(now, |(since, _)| since);
        self.behind = Some((since, member));
    }

    /// A member that stays behind or unsure is left; one that was just met may need a moment to catch up.
    fn patience(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let held = self.held();
        if let Some((since, member)) = self.behind {
            let late = now.0.saturating_sub(since.0) > self.timing.answer_timeout.0;
            if late || member.generation < held.generation {
                self.behind = None;
                actions.push(Action::SwitchMember(SwitchReason::Behind { member, held }));
            }
        } else if now.0.saturating_sub(self.sure.0) > self.timing.fresh_limit.0 {
            self.sure = now;
            actions.push(Action::SwitchMember(SwitchReason::AgeUnknown));
        }
    }

    /// Whether what is done has changed.
    fn look(&mut self, now: Micros) -> bool {
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
            Some(d) => {
                let yields = mode == Mode::LocalOnly;
                let zone = |(name, z): (&String, &crate::directive::ZoneDirective)| {
                    let weight = if z.phase == Phase::Serving { FULL_WEIGHT } else { z.weight };
                    (name.clone(), ZoneView { weight, overridable: yields })
                };
                View { mode, position: d.position, zones: d.zones.iter().map(zone).collect() }
            }
        };
        let changed = view != self.view;
        self.view = view;
        changed
    }
}
