//! One attempt to agree on a value.

use crate::{Ask, Ballot, Lives, Tell};
use std::collections::BTreeSet;

/// What is to be done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step<V> {
    /// Nothing yet.
    Wait,
    /// A majority has promised. This is the value that the next one must be made from, and whether it is known to be
    /// agreed on.
    Base(V, bool),
    /// A majority has accepted.
    Chosen,
    /// Another round is in the way: try again above that ballot, with these lives.
    Lost(Ballot, Lives),
}

/// One attempt.
#[derive(Debug)]
pub struct Round<V> {
    ballot: Ballot,
    lives: Lives,
    majority: usize,
    promised: BTreeSet<usize>,
    accepted: BTreeSet<usize>,
    base: (Ballot, V),
    chosen: Ballot,
    proposed: bool,
    over: bool,
}

impl<V: Clone> Round<V> {
    /// Under that ballot, by one who has the value of `have`.
    pub fn new(ballot: Ballot, lives: Lives, have: (Ballot, V)) -> Round<V> {
        let (majority, chosen) = (lives.len() / 2 + 1, have.0);
        let (promised, accepted) = (BTreeSet::new(), BTreeSet::new());
        Round {
            ballot,
            lives,
            majority,
            promised,
            accepted,
            base: have,
            chosen,
            proposed: false,
            over: false,
        }
    }

    /// Its ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// What every voter is asked first.
    pub fn ask(&self) -> Ask<V> {
        Ask::Prepare { ballot: self.ballot, lives: self.lives.clone(), have: self.base.0 }
    }

    /// What every voter is asked once the next value is made.
    pub fn propose(&mut self, value: V) -> Ask<V> {
        self.proposed = true;
        Ask::Accept { ballot: self.ballot, lives: self.lives.clone(), value }
    }

    /// A voter has answered.
    pub fn told(&mut self, by: usize, tell: Tell<V>) -> Step<V> {
        if self.over {
            return Step::Wait;
        }
        match tell {
            Tell::Has { promised, accepted, chosen, value, .. } => {
                if self.proposed || promised != self.ballot {
                    return Step::Wait;
                }
                self.promised.insert(by);
                self.chosen = self.chosen.max(chosen);
                if let Some(value) = value.filter(|_| accepted > self.base.0) {
                    self.base = (accepted, value);
                }
                if self.promised.len() == self.majority {
                    return Step::Base(self.base.1.clone(), self.chosen >= self.base.0);
                }
                Step::Wait
            }
            Tell::Accepted => {
                self.accepted.insert(by);
                self.over = self.accepted.len() >= self.majority;
                if self.over {
                    Step::Chosen
                } else {
                    Step::Wait
                }
            }
            Tell::Later { promised, lives } => {
                self.over = true;
                let newest = self.lives.iter().zip(&lives).map(|(a, b)| *a.max(b)).collect();
                Step::Lost(promised, newest)
            }
            Tell::Lost { .. } => Step::Wait,
        }
    }
}
