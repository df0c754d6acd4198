//! How far a zone is left, and what takes it further: the machine that all senders of a fleet run alike.
//!
//! A [`EvacuationState`] only grows: its term with each leaving and each fall back, its level with each step
//! of one return. Of two courses the higher one is the newer, whoever says it first, so senders that were
//! apart agree once they hear one another. There is no clock here: callers say whether a wait is over, and a
//! wait that is cut short or drawn out costs time, never agreement.

use crate::ids::ZoneId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How far a zone is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EvacuationState {
    /// How often the zone was left, or left anew in the middle of a return.
    pub term: u32,
    /// 0 while it is left, 1 and on in the steps of a return, [`EvacuationState::FULL_SHARE`] once it
    /// has its whole share.
    pub level: u8,
}

impl Default for EvacuationState {
    fn default() -> Self {
        Self { term: 0, level: Self::FULL_SHARE }
    }
}

/// What the calls of this term say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ProbeResult {
    /// Not enough.
    #[default]
    Inconclusive,
    /// The zone serves what it is sent.
    Passed,
    /// It does not.
    Failed,
}

/// What a sender knows when it decides.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecisionInput {
    /// The zone is found failing, by enough of the fleet.
    pub is_failing: bool,
    /// The newest course that enough other senders have taken.
    pub quorum_state: Option<EvacuationState>,
    /// What the calls of this term say.
    pub probe_result: ProbeResult,
    /// The wait that belongs to this level is over.
    pub wait_elapsed: bool,
    /// Some other zone keeps its whole share.
    pub has_other_zone: bool,
    /// Steps of a return before the whole share.
    pub return_steps: u8,
}

/// Why a course was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TransitionReason {
    /// The pooled evidence says so, here as elsewhere.
    Evidence,
    /// Enough other senders had taken it.
    Quorum,
    /// What was tried did not hold.
    ProbeFailed,
    /// The step before held.
    StepHeld,
}

/// One sender is never followed, however few there are.
const MIN_FOLLOWED_SENDERS: usize = 2;

/// How many of these words, newest course first, are enough to follow the last of them: so many senders',
/// that stand in so many zones. One sender that is wrong or lies is not followed, nor are those of one zone.
pub fn quorum_len(words: &[(EvacuationState, ZoneId)], senders: usize, zones: usize) -> Option<usize> {
    (senders.max(MIN_FOLLOWED_SENDERS)..=words.len())
        .find(|&n| words[..n].iter().map(|w| w.1).collect::<BTreeSet<_>>().len() >= zones)
}

impl EvacuationState {
    /// The level of a zone that has its whole share.
    pub const FULL_SHARE: u8 = u8::MAX;

    /// Whether the zone has its whole share.
    pub fn has_full_share(self) -> bool {
        self.level == Self::FULL_SHARE
    }

    /// Whether the zone gets nothing but what is tried.
    pub fn is_evacuated(self) -> bool {
        self.level == 0
    }

    /// Left, from now on.
    fn evacuated_again(self) -> Self {
        Self { term: self.term.saturating_add(1), level: 0 }
    }

    /// What is to be done next, and why; nothing while it stays as it is.
    pub fn next(self, look: &DecisionInput) -> Option<(Self, TransitionReason)> {
        // Never the last zone, on whoever's word.
        let may = |to: &Self| look.has_other_zone || !self.has_full_share() || to.has_full_share();
        if let Some(told) = look.quorum_state.filter(|t| *t > self && may(t)) {
            return Some((told, TransitionReason::Quorum));
        }
        if self.has_full_share() {
            return (look.is_failing && look.has_other_zone)
                .then(|| (self.evacuated_again(), TransitionReason::Evidence));
        }
        match look.probe_result {
            // Further than it climbed: to nothing, and the wait grows.
            ProbeResult::Failed => Some((self.evacuated_again(), TransitionReason::ProbeFailed)),
            ProbeResult::Passed if look.wait_elapsed => {
                let level = if self.level >= look.return_steps { Self::FULL_SHARE } else { self.level + 1 };
                Some((Self { level, ..self }, TransitionReason::StepHeld))
            }
            ProbeResult::Passed | ProbeResult::Inconclusive => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const IN: EvacuationState = EvacuationState { term: 3, level: EvacuationState::FULL_SHARE };

    fn at(level: u8) -> EvacuationState {
        EvacuationState { term: 4, level }
    }

    #[test]
    fn a_zone_is_left_on_pooled_evidence_climbs_step_by_step_and_falls_to_nothing() {
        let look = DecisionInput {
            is_failing: true,
            has_other_zone: true,
            return_steps: 2,
            ..DecisionInput::default()
        };
        assert_eq!(IN.next(&look), Some((at(0), TransitionReason::Evidence)));
        assert_eq!(at(0).next(&look), None, "that it failed is no news to who has left");
        let serves = DecisionInput {
            probe_result: ProbeResult::Passed,
            wait_elapsed: true,
            has_other_zone: true,
            return_steps: 2,
            ..DecisionInput::default()
        };
        assert_eq!(at(0).next(&serves), Some((at(1), TransitionReason::StepHeld)));
        assert_eq!(at(1).next(&serves), Some((at(2), TransitionReason::StepHeld)));
        assert_eq!(at(2).next(&serves), Some((at(EvacuationState::FULL_SHARE), TransitionReason::StepHeld)));
        assert_eq!(at(2).next(&DecisionInput { wait_elapsed: false, ..serves }), None);
        assert_eq!(
            at(2).next(&DecisionInput { probe_result: ProbeResult::Inconclusive, ..serves }),
            None,
            "no step without evidence"
        );
        let fails = DecisionInput { probe_result: ProbeResult::Failed, ..serves };
        assert_eq!(
            at(2).next(&fails),
            Some((EvacuationState { term: 5, level: 0 }, TransitionReason::ProbeFailed))
        );
    }

    #[test]
    fn what_is_newer_is_followed_what_is_older_is_not_and_never_out_of_the_last_zone() {
        let told = |c, other| DecisionInput {
            quorum_state: Some(c),
            has_other_zone: other,
            return_steps: 3,
            ..DecisionInput::default()
        };
        assert_eq!(IN.next(&told(at(0), true)), Some((at(0), TransitionReason::Quorum)));
        assert_eq!(IN.next(&told(at(0), false)), None);
        assert_eq!(
            IN.next(&told(at(EvacuationState::FULL_SHARE), false)),
            Some((at(EvacuationState::FULL_SHARE), TransitionReason::Quorum))
        );
        assert_eq!(at(1).next(&told(IN, true)), None);
        assert_eq!(at(1).next(&told(at(3), false)), Some((at(3), TransitionReason::Quorum)));
        assert_eq!(
            at(1).next(&told(EvacuationState { term: 5, level: 0 }, false)).map(|n| n.1),
            Some(TransitionReason::Quorum)
        );
        let alone = DecisionInput { is_failing: true, return_steps: 2, ..DecisionInput::default() };
        assert_eq!(IN.next(&alone), None, "the last zone is never left");
    }
}
