//! How a seed is played, and what may befall its processes.

use super::LONG_CUT;
use crate::partitions::Direction;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// How a seed is played.
#[derive(Debug, Clone, Copy)]
pub(super) struct Play {
    /// How many proxies there are.
    pub(super) edges: usize,
    /// How long troubles go on.
    pub(super) span: Duration,
    /// A core machine is cut off from the others from the beginning on.
    pub(super) long_cut: bool,
}

impl Play {
    /// Of ten seeds one has a long cut, and one many processes.
    pub(super) fn of(seed: u64) -> Play {
        match seed % 10 {
            4 => Play { edges: 5, span: LONG_CUT + Duration::from_secs(5), long_cut: true },
            9 => Play { edges: 100, span: Duration::from_secs(20), long_cut: false },
            _ => Play { edges: 5, span: Duration::from_secs(12), long_cut: false },
        }
    }
}

/// Fault is ended later, and when.
pub(super) struct ActiveFault {
    pub(super) ends: Instant,
    pub(super) what: Fault,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Fault {
    EdgeKilled(usize),
    EdgeStopped(usize),
    /// It is told to end, and started again once it has.
    EdgeEnds(usize),
    EdgeReloads(usize),
    CoreKilled(usize),
    CoreEnds(usize),
    CoreReloads(usize),
    RegistryStopped(usize),
    AnswersLost(usize),
    Cut(BTreeSet<Direction>),
}

impl Fault {
    fn edge(&self) -> Option<usize> {
        match self {
            Fault::EdgeKilled(at) | Fault::EdgeStopped(at) | Fault::EdgeEnds(at) | Fault::EdgeReloads(at) => {
                Some(*at)
            }
            _ => None,
        }
    }

    fn core(&self) -> Option<usize> {
        match self {
            Fault::CoreKilled(at)
            | Fault::CoreEnds(at)
            | Fault::CoreReloads(at)
            | Fault::RegistryStopped(at) => Some(*at),
            _ => None,
        }
    }

    fn takes_a_disk_away(&self) -> bool {
        matches!(self, Fault::CoreKilled(_) | Fault::CoreEnds(_))
    }
}

/// Two troubles that can't be told apart, or that would leave no majority of disks.
pub(super) fn meets(one: &Fault, other: &Fault) -> bool {
    let same = |one: Option<usize>, other: Option<usize>| one.is_some() && one == other;
    same(one.edge(), other.edge())
        || same(one.core(), other.core())
        || one.takes_a_disk_away() && other.takes_a_disk_away()
        || one == other
}
