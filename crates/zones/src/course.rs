//! How far a zone is left, and what takes it further: the machine that all senders of a fleet run alike.
//!
//! A [`Course`] only grows: its term with each leaving and each fall back, its level with each step of one
//! return. Of two courses the higher one is the newer, whoever says it first, so senders that were apart
//! agree once they hear one another. There is no clock here: callers say whether a wait is over, and a wait
//! that is cut short or drawn out costs time, never agreement.

use crate::names::Zone;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How far a zone is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Course {
    /// How often the zone was left, or left anew in the middle of a return.
    pub term: u32,
    /// 0 while it is left, 1 and on in the steps of a return, [`Course::FULL`] once it has its whole share.
    pub level: u8,
}

impl Default for Course {
    fn default() -> Self {
        Self { term: 0, level: Self::FULL }
    }
}

/// What the calls of this term say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Trial {
    /// Not enough.
    #[default]
    Open,
    /// The zone serves what it is sent.
    Serves,
    /// It does not.
    Fails,
}

/// What a sender knows when it decides.
#[derive(Clone, Copy, Debug, Default)]
pub struct Look {
    /// The zone is found failing, by enough of the fleet.
    pub failing: bool,
    /// The newest course that enough other senders have taken.
    pub told: Option<Course>,
    /// What the calls of this term say.
    pub trial: Trial,
    /// The wait that belongs to this level is over.
    pub waited: bool,
    /// Some other zone keeps its whole share.
    pub other: bool,
    /// Steps of a return before the whole share.
    pub steps: u8,
}

/// Why a course was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// The pooled evidence says so, here as elsewhere.
    Found,
    /// Enough other senders had taken it.
    Told,
    /// What was tried did not hold.
    FellBack,
    /// The step before held.
    Held,
}

/// One sender is never followed, however few there are.
const FEWEST: usize = 2;

/// How many of these words, newest course first, are enough to follow the last of them: so many senders',
/// that stand in so many zones. One sender that is wrong or lies is not followed, nor are those of one zone.
pub fn followed(words: &[(Course, Zone)], senders: usize, zones: usize) -> Option<usize> {
    (senders.max(FEWEST)..=words.len())
        .find(|&n| words[..n].iter().map(|w| w.1).collect::<BTreeSet<_>>().len() >= zones)
}

impl Course {
    /// The level of a zone that has its whole share.
    pub const FULL: u8 = u8::MAX;

    /// Whether the zone has its whole share.
    pub fn is_full(self) -> bool {
        self.level == Self::FULL
    }

    /// Whether the zone gets nothing but what is tried.
    pub fn is_out(self) -> bool {
        self.level == 0
    }

    /// Left, from now on.
    fn leave(self) -> Self {
        Self { term: self.term.saturating_add(1), level: 0 }
    }

    /// What is to be done next, and why; nothing while it stays as it is.
    pub fn next(self, look: &Look) -> Option<(Self, Why)> {
        // Never the last zone, on whoever's word.
        let may = |to: &Self| look.other || !self.is_full() || to.is_full();
        if let Some(told) = look.told.filter(|t| *t > self && may(t)) {
            return Some((told, Why::Told));
        }
        if self.is_full() {
            return (look.failing && look.other).then(|| (self.leave(), Why::Found));
        }
        match look.trial {
            // Further than it climbed: to nothing, and the wait grows.
            Trial::Fails => Some((self.leave(), Why::FellBack)),
            Trial::Serves if look.waited => {
                let level = if self.level >= look.steps { Self::FULL } else { self.level + 1 };
                Some((Self { level, ..self }, Why::Held))
            }
            Trial::Serves | Trial::Open => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const IN: Course = Course { term: 3, level: Course::FULL };

    fn at(level: u8) -> Course {
        Course { term: 4, level }
    }

    #[test]
    fn a_zone_is_left_on_pooled_evidence_climbs_step_by_step_and_falls_to_nothing() {
        let look = Look { failing: true, other: true, steps: 2, ..Look::default() };
        assert_eq!(IN.next(&look), Some((at(0), Why::Found)));
        assert_eq!(at(0).next(&look), None, "that it failed is no news to who has left");
        let serves = Look { trial: Trial::Serves, waited: true, other: true, steps: 2, ..Look::default() };
        assert_eq!(at(0).next(&serves), Some((at(1), Why::Held)));
        assert_eq!(at(1).next(&serves), Some((at(2), Why::Held)));
        assert_eq!(at(2).next(&serves), Some((at(Course::FULL), Why::Held)));
        assert_eq!(at(2).next(&Look { waited: false, ..serves }), None);
        assert_eq!(at(2).next(&Look { trial: Trial::Open, ..serves }), None, "no step without evidence");
        let fails = Look { trial: Trial::Fails, ..serves };
        assert_eq!(at(2).next(&fails), Some((Course { term: 5, level: 0 }, Why::FellBack)));
    }

    #[test]
    fn what_is_newer_is_followed_what_is_older_is_not_and_never_out_of_the_last_zone() {
        let told = |c, other| Look { told: Some(c), other, steps: 3, ..Look::default() };
        assert_eq!(IN.next(&told(at(0), true)), Some((at(0), Why::Told)));
        assert_eq!(IN.next(&told(at(0), false)), None);
        assert_eq!(IN.next(&told(at(Course::FULL), false)), Some((at(Course::FULL), Why::Told)));
        assert_eq!(at(1).next(&told(IN, true)), None);
        assert_eq!(at(1).next(&told(at(3), false)), Some((at(3), Why::Told)));
        assert_eq!(at(1).next(&told(Course { term: 5, level: 0 }, false)).map(|n| n.1), Some(Why::Told));
        let alone = Look { failing: true, steps: 2, ..Look::default() };
        assert_eq!(IN.next(&alone), None, "the last zone is never left");
    }
}
