//! How far a zone is evacuated: the state machine that each sender of a fleet runs for each zone.
//!
//! An [`EvacuationState`] only increases: its term with each evacuation and each failed return, its level
//! with each step of one return. Of two states the higher one is the newer, whichever sender took it first,
//! so senders that were partitioned agree once they receive each other's notes. The state machine reads no
//! clock: the caller passes in whether a wait has elapsed, and a wait that is cut short or extended changes
//! how long an evacuation takes, but not whether the senders agree.

use crate::ids::ZoneId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How far a zone is evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EvacuationState {
    /// The number of times the zone was evacuated, including each time a return to it failed.
    pub term: u32,
    /// 0 while the zone is evacuated, 1 and more in the steps of a return, and
    /// [`EvacuationState::FULL_SHARE`] once it receives its full share.
    pub level: u8,
}

impl Default for EvacuationState {
    fn default() -> Self {
        Self { term: 0, level: Self::FULL_SHARE }
    }
}

/// The result of the calls made to a zone in the current term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ProbeResult {
    /// There is not enough evidence.
    #[default]
    Inconclusive,
    /// The zone serves the calls that it receives.
    Passed,
    /// The zone fails them.
    Failed,
}

/// What a sender knows about a zone when it decides on a transition.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecisionInput {
    /// Whether the zone is found failing on the evidence of enough senders.
    pub is_failing: bool,
    /// The newest state that a quorum of other senders has reached.
    pub quorum_state: Option<EvacuationState>,
    /// The result of the calls made in this term.
    pub probe_result: ProbeResult,
    /// Whether the minimum duration of this level has elapsed.
    pub wait_elapsed: bool,
    /// Whether some other zone receives its full share.
    pub has_other_zone: bool,
    /// The number of steps of a return before the full share.
    pub return_steps: u8,
}

/// Why a transition was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TransitionReason {
    /// The pooled evidence requires it.
    Evidence,
    /// A quorum of other senders had made it.
    Quorum,
    /// The probes failed, or the calls in a step of a return.
    ProbeFailed,
    /// The previous step succeeded.
    StepHeld,
}

/// The smallest quorum: a single sender is never followed, however small the fleet is.
const MIN_QUORUM: usize = 2;

/// Returns how many of these states, given newest first, form a quorum, so that the last of them may be
/// adopted: at least `senders` states, from senders in at least `zones` zones. Thereby neither a single
/// faulty or lying sender is followed, nor the senders of a single zone.
pub fn quorum_len(states: &[(EvacuationState, ZoneId)], senders: usize, zones: usize) -> Option<usize> {
    (senders.max(MIN_QUORUM)..=states.len())
        .find(|&n| states[..n].iter().map(|state| state.1).collect::<BTreeSet<_>>().len() >= zones)
}

impl EvacuationState {
    /// The level of a zone that receives its full share.
    pub const FULL_SHARE: u8 = u8::MAX;

    /// Returns whether the zone receives its full share.
    pub fn has_full_share(self) -> bool {
        self.level == Self::FULL_SHARE
    }

    /// Returns whether the zone receives nothing but probes.
    pub fn is_evacuated(self) -> bool {
        self.level == 0
    }

    /// Returns the state after an evacuation: the next term, at level 0.
    fn evacuate(self) -> Self {
        Self { term: self.term.saturating_add(1), level: 0 }
    }

    /// Returns the next state and the reason for it, or `None` if the state does not change.
    pub fn next(self, input: &DecisionInput) -> Option<(Self, TransitionReason)> {
        // The last zone with its full share is never evacuated, even if a quorum has done so.
        let is_allowed = |to: &Self| input.has_other_zone || !self.has_full_share() || to.has_full_share();
        if let Some(quorum_state) = input.quorum_state.filter(|s| *s > self && is_allowed(s)) {
            return Some((quorum_state, TransitionReason::Quorum));
        }
        if self.has_full_share() {
            return (input.is_failing && input.has_other_zone)
                .then(|| (self.evacuate(), TransitionReason::Evidence));
        }
        match input.probe_result {
            // A failure at any step goes back to level 0, and the wait there grows.
            ProbeResult::Failed => Some((self.evacuate(), TransitionReason::ProbeFailed)),
            ProbeResult::Passed if input.wait_elapsed => {
                let level = if self.level >= input.return_steps { Self::FULL_SHARE } else { self.level + 1 };
                Some((Self { level, ..self }, TransitionReason::StepHeld))
            }
            ProbeResult::Passed | ProbeResult::Inconclusive => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FULL: EvacuationState = EvacuationState { term: 3, level: EvacuationState::FULL_SHARE };

    fn at(level: u8) -> EvacuationState {
        EvacuationState { term: 4, level }
    }

    #[test]
    fn evidence_evacuates_a_zone_the_return_goes_step_by_step_and_a_failed_step_goes_back_to_level_0() {
        let failing = DecisionInput {
            is_failing: true,
            has_other_zone: true,
            return_steps: 2,
            ..DecisionInput::default()
        };
        assert_eq!(FULL.next(&failing), Some((at(0), TransitionReason::Evidence)));
        assert_eq!(at(0).next(&failing), None, "evidence of a failure does not change an evacuated zone");
        let passed = DecisionInput {
            probe_result: ProbeResult::Passed,
            wait_elapsed: true,
            has_other_zone: true,
            return_steps: 2,
            ..DecisionInput::default()
        };
        assert_eq!(at(0).next(&passed), Some((at(1), TransitionReason::StepHeld)));
        assert_eq!(at(1).next(&passed), Some((at(2), TransitionReason::StepHeld)));
        assert_eq!(at(2).next(&passed), Some((at(EvacuationState::FULL_SHARE), TransitionReason::StepHeld)));
        assert_eq!(at(2).next(&DecisionInput { wait_elapsed: false, ..passed }), None);
        assert_eq!(
            at(2).next(&DecisionInput { probe_result: ProbeResult::Inconclusive, ..passed }),
            None,
            "no step without evidence"
        );
        let failed = DecisionInput { probe_result: ProbeResult::Failed, ..passed };
        assert_eq!(
            at(2).next(&failed),
            Some((EvacuationState { term: 5, level: 0 }, TransitionReason::ProbeFailed))
        );
    }

    #[test]
    fn a_newer_quorum_state_is_adopted_an_older_one_is_not_and_the_last_zone_is_never_evacuated() {
        let quorum = |state, has_other_zone| DecisionInput {
            quorum_state: Some(state),
            has_other_zone,
            return_steps: 3,
            ..DecisionInput::default()
        };
        assert_eq!(FULL.next(&quorum(at(0), true)), Some((at(0), TransitionReason::Quorum)));
        assert_eq!(FULL.next(&quorum(at(0), false)), None);
        assert_eq!(
            FULL.next(&quorum(at(EvacuationState::FULL_SHARE), false)),
            Some((at(EvacuationState::FULL_SHARE), TransitionReason::Quorum))
        );
        assert_eq!(at(1).next(&quorum(FULL, true)), None);
        assert_eq!(at(1).next(&quorum(at(3), false)), Some((at(3), TransitionReason::Quorum)));
        assert_eq!(
            at(1).next(&quorum(EvacuationState { term: 5, level: 0 }, false)).map(|n| n.1),
            Some(TransitionReason::Quorum)
        );
        let last_zone = DecisionInput { is_failing: true, return_steps: 2, ..DecisionInput::default() };
        assert_eq!(FULL.next(&last_zone), None, "the last zone is never evacuated");
    }
}
