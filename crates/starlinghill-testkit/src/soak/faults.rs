//! The parameters of a seed's run, and the faults that are injected.

use super::LONG_CUT;
use crate::partitions::Direction;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// The parameters of one run.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunParameters {
    pub(super) edges: usize,
    /// How long faults are injected.
    pub(super) fault_duration: Duration,
    /// Whether one core machine is cut off from the other two for [`LONG_CUT`] near the start.
    pub(super) long_cut: bool,
}

impl RunParameters {
    /// Of ten seeds, one has a long cut and one has 100 proxies.
    pub(super) fn for_seed(seed: u64) -> RunParameters {
        match seed % 10 {
            4 => {
                RunParameters { edges: 5, fault_duration: LONG_CUT + Duration::from_secs(5), long_cut: true }
            }
            9 => RunParameters { edges: 100, fault_duration: Duration::from_secs(20), long_cut: false },
            _ => RunParameters { edges: 5, fault_duration: Duration::from_secs(12), long_cut: false },
        }
    }
}

/// A fault that is in effect.
pub(super) struct ActiveFault {
    pub(super) ends_at: Instant,
    pub(super) fault: Fault,
}

/// The numbers are indexes of proxies, core machines or backends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Fault {
    EdgeKilled(usize),
    EdgeStopped(usize),
    /// SIGTERM, and a restart after the process has exited.
    EdgeEnds(usize),
    /// SIGHUP: the process reads its settings again.
    EdgeReloads(usize),
    CoreKilled(usize),
    CoreEnds(usize),
    CoreReloads(usize),
    RegistryStopped(usize),
    /// A backend runs requests and closes their connections without an answer.
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

    fn stops_a_store(&self) -> bool {
        matches!(self, Fault::CoreKilled(_) | Fault::CoreEnds(_))
    }
}

/// Whether two faults must not be in effect at the same time: they hit the same machine, are equal, or would
/// stop two of the three stores, which leaves no majority.
pub(super) fn conflicts(one: &Fault, other: &Fault) -> bool {
    let same = |one: Option<usize>, other: Option<usize>| one.is_some() && one == other;
    same(one.edge(), other.edge())
        || same(one.core(), other.core())
        || one.stops_a_store() && other.stops_a_store()
        || one == other
}
