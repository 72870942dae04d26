//! One voter: what it promised and accepted.

use crate::{Ask, Ballot, Lives, Tell};
use bitcode::{Decode, Encode};
use std::collections::BTreeMap;

/// What a voter keeps on disk beside its value.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Kept {
    /// It accepts nothing below this.
    pub promised: Ballot,
    /// The ballot of its value.
    pub accepted: Ballot,
    /// The highest ballot that it knows to be agreed on; may lag.
    pub chosen: Ballot,
    /// The lives of all voters.
    pub lives: Lives,
}

/// A voter.
#[derive(Debug, Clone)]
pub struct Voter<V> {
    me: usize,
    kept: Kept,
    value: V,
    /// Others that have noted its new life, while it does not know what it promised.
    lost: Option<BTreeMap<usize, Kept>>,
}

/// What must be on disk before the answer goes out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Save {
    /// Nothing has to wait.
    Nothing,
    /// All but the value.
    Kept,
    /// The value too.
    Value,
}

impl<V: Clone + Default> Voter<V> {
    /// One of so many voters at the first start of the system.
    pub fn first(me: usize, voters: usize) -> Voter<V> {
        let (none, lives) = (Ballot::default(), vec![0; voters]);
        let kept = Kept { promised: none, accepted: none, chosen: none, lives };
        Voter { me, kept, value: V::default(), lost: None }
    }

    /// As it stood on disk.
    pub fn again(me: usize, kept: Kept, value: V) -> Voter<V> {
        Voter { me, kept, value, lost: None }
    }

    /// One that has lost its disk.
    pub fn lost(me: usize, voters: usize) -> Voter<V> {
        Voter { lost: Some(BTreeMap::new()), ..Voter::first(me, voters) }
    }

    /// It does not know what it promised.
    pub fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// What it has to keep.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// Its value, agreed on or not.
    pub fn value(&self) -> &V {
        &self.value
    }

    /// Its value was agreed on, as far as it knows.
    pub fn is_settled(&self) -> bool {
        self.kept.accepted == self.kept.chosen
    }

    /// Answers a question, and says what must be on disk before the answer goes out.
    pub fn handle(&mut self, ask: Ask<V>) -> (Tell<V>, Save) {
        if self.lost.is_some() {
            return (Tell::Lost { life: self.kept.lives[self.me] }, Save::Nothing);
        }
        match ask {
            Ask::Prepare { ballot, lives, have } => match self.stands_back(ballot, &lives) {
                Some(later) => (later, Save::Nothing),
                None => {
                    let noted = self.note(&lives);
                    let new = std::mem::replace(&mut self.kept.promised, ballot) != ballot;
                    (self.has(have), if new || noted { Save::Kept } else { Save::Nothing })
                }
            },
            Ask::Accept { ballot, lives, value } => match self.stands_back(ballot, &lives) {
                Some(later) => (later, Save::Nothing),
                None => {
                    self.note(&lives);
                    (self.kept.promised, self.kept.accepted) = (ballot, ballot);
                    self.value = value;
                    (Tell::Accepted, Save::Value)
                }
            },
            Ask::Chosen(ballot) => {
                // Only of the value that it has: what lies between is settled by whoever looks.
                if ballot == self.kept.accepted {
                    self.kept.chosen = self.kept.chosen.max(ballot);
                }
                (self.has(self.kept.accepted), Save::Nothing)
            }
            Ask::Look(have) => (self.has(have), Save::Nothing),
            Ask::Enrol { voter, life } => {
                let mut save = Save::Nothing;
                if self.kept.lives.get(voter).is_some_and(|known| *known < life) {
                    self.kept.lives[voter] = life;
                    save = Save::Kept;
                }
                (self.has(Ballot::default()), save)
            }
        }
    }

    /// Refuses what is below its promise, or counts on promises of a life that has ended.
    fn stands_back(&self, ballot: Ballot, lives: &Lives) -> Option<Tell<V>> {
        let older = self.kept.lives.iter().zip(lives).any(|(known, told)| known > told);
        let refuses = ballot < self.kept.promised || older || lives.len() != self.kept.lives.len();
        refuses.then(|| Tell::Later { promised: self.kept.promised, lives: self.kept.lives.clone() })
    }

    fn note(&mut self, lives: &Lives) -> bool {
        let before = self.kept.lives.clone();
        self.kept.lives.iter_mut().zip(lives).for_each(|(known, told)| *known = (*known).max(*told));
        before != self.kept.lives
    }

    fn has(&self, have: Ballot) -> Tell<V> {
        let Kept { promised, accepted, chosen, lives } = self.kept.clone();
        let value = (accepted > have).then(|| self.value.clone());
        Tell::Has { promised, accepted, chosen, lives, value }
    }

    /// The life that the others are to note, where it lost its disk and has heard from all which one is new.
    pub fn life(&self) -> u64 {
        self.kept.lives[self.me]
    }

    /// It has lost its disk, and looked at another voter.
    pub fn looked(&mut self, lives: &Lives) {
        if self.lost.is_some() {
            self.note(lives);
        }
    }

    /// Begins a new life: all others were looked at. From here on they are asked to note it.
    pub fn begin(&mut self) {
        self.kept.lives[self.me] += 1;
    }

    /// Another voter has noted its life. True once all have, and it votes again: what it has must be on disk first.
    pub fn enrolled(&mut self, by: usize, told: Tell<V>) -> bool {
        let (me, voters) = (self.me, self.kept.lives.len());
        let Some(noted) = &mut self.lost else { return false };
        let Tell::Has { promised, accepted, chosen, lives, value } = told else { return false };
        if lives.get(me) != Some(&self.kept.lives[me]) || by == me || by >= voters {
            return false;
        }
        noted.insert(by, Kept { promised, accepted, chosen, lives: lives.clone() });
        let whole = noted.len() + 1 == voters;
        self.note(&lives);
        self.kept.promised = self.kept.promised.max(promised);
        if let Some(value) = value.filter(|_| accepted > self.kept.accepted) {
            (self.kept.accepted, self.value) = (accepted, value);
        }
        if chosen == self.kept.accepted {
            self.kept.chosen = chosen;
        }
        if whole {
            self.lost = None;
        }
        whole
    }
}
