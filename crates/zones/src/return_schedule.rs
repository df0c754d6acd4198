//! How fast a zone is returned to: steps of share under what its endpoints bear while they are cold, how long
//! each is held at least, and who tries.

use crate::ids::{Micros, SenderId};

/// A cold endpoint is sent this part of what would push it over.
const HEADROOM: f64 = 0.4;
/// Each step's share is so many times the one before.
const STEP_FACTOR: f64 = 2.0;
/// Steps at the most, so that a start of almost nothing ends.
const MAX_STEPS: usize = 12;
/// A step is held for so long at least: others' words of it have to come.
const MIN_STEP: Micros = 1_500_000;
/// A zone that was left is left alone for so long, doubling with each time that it fails again.
const MIN_EVACUATION: Micros = 5_000_000;
const MAX_DOUBLINGS: u32 = 4;
/// Its failures are forgotten when it has had its whole share for so long.
pub(crate) const FORGET_FAILURES_AFTER: Micros = 60_000_000;
/// Of the whole fleet so many senders try at once, each for so long; then the next ones do. One that has died
/// is passed over by that.
pub(crate) const PROBING_SENDERS: u32 = 3;
const PROBE_ROUND: Micros = 1_000_000;

/// What endpoints bear, by the platform's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// The share of its capacity that a returning endpoint has,
    pub initial_share: f64,
    /// until so long after it has all of it.
    pub warm_up: Micros,
    /// More than this multiple pushes it over.
    pub overload_factor: f64,
}

/// The steps of a return.
#[derive(Clone, Debug, PartialEq)]
pub struct ReturnSchedule {
    steps: Vec<(f64, Micros)>,
}

impl ReturnSchedule {
    /// Steps under what these endpoints bear.
    pub fn new(cold: ColdStart) -> Self {
        let room = (HEADROOM * cold.overload_factor).clamp(0.05, 1.0);
        let start = cold.initial_share.clamp(0.01, 1.0);
        // When what they bear has grown to a share.
        let ripe = |share: f64| {
            let grown = (share / room - start) / (1.0 - start).max(1e-9);
            (grown.clamp(0.0, 1.0) * cold.warm_up as f64) as Micros
        };
        let mut steps = Vec::new();
        let mut share = room * start;
        while share < 1.0 && steps.len() < MAX_STEPS {
            let next = share * STEP_FACTOR;
            let until = if next < room { ripe(next) } else { cold.warm_up };
            let held = until.saturating_sub(ripe(share)).max(MIN_STEP);
            steps.push((share, held));
            if next >= room {
                break;
            }
            share = next;
        }
        Self { steps }
    }

    /// Steps before the whole share.
    pub fn step_count(&self) -> u8 {
        self.steps.len() as u8
    }

    /// Whether the whole share is given at once.
    pub fn is_immediate(&self) -> bool {
        self.steps.is_empty()
    }

    /// The share of a level.
    pub fn share(&self, level: u8) -> f64 {
        match level {
            0 => 0.0,
            n => self.steps.get(usize::from(n) - 1).map_or(1.0, |s| s.0),
        }
    }

    /// How long a level is held at least: what is left, by how often it failed.
    pub fn min_duration(&self, level: u8, failed: u8) -> Micros {
        match level {
            0 => MIN_EVACUATION << u32::from(failed.saturating_sub(1)).min(MAX_DOUBLINGS),
            n => self.steps.get(usize::from(n) - 1).map_or(0, |s| s.1),
        }
    }
}

/// Whether it is this sender's turn to try, so long after trying began, in a fleet of so many: the turn goes
/// round, and at no moment have more than [`PROBING_SENDERS`] of those that began together theirs. Those that
/// began at other moments do not add up either: each has its turn for the same small part of the time.
pub(crate) fn probe_round(place: SenderId, fleet: u32, since: Micros) -> Option<u64> {
    let round = since / PROBE_ROUND;
    let fleet = u64::from(fleet.max(1));
    let first = round.wrapping_mul(u64::from(PROBING_SENDERS)) % fleet;
    let after = (u64::from(place.0) + fleet - first) % fleet;
    (after < u64::from(PROBING_SENDERS)).then_some(round)
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    #[test]
    fn steps_stay_under_what_cold_endpoints_bear_and_end() {
        for (start, span, over) in
            [(0.17, 9_200_000, 2.0), (0.5, 3 * S, 1.2), (0.01, 60 * S, 1.0), (1.0, 0, 2.0), (0.0, 0, 0.0)]
        {
            let cold = ColdStart { initial_share: start, warm_up: span, overload_factor: over };
            let pace = ReturnSchedule::new(cold);
            assert!(pace.step_count() <= MAX_STEPS as u8);
            let mut at = 0;
            for level in 1..=pace.step_count() {
                let warm = (at as f64 / span.max(1) as f64).min(1.0);
                let bears = over * (start.max(0.01) + (1.0 - start) * warm);
                let share = pace.share(level);
                assert!(share <= bears.max(0.05) && share <= 1.0, "{cold:?} level {level}: {share} {bears}");
                assert!(level == 1 || share > pace.share(level - 1));
                at += pace.min_duration(level, 0);
            }
            assert!(pace.is_immediate() || at >= span, "whole only when warm: {at} of {span}");
            assert_eq!((pace.share(0), pace.share(crate::EvacuationState::FULL_SHARE)), (0.0, 1.0));
        }
    }

    #[test]
    fn who_fails_again_and_again_is_left_alone_for_longer_up_to_a_bound() {
        let pace = ReturnSchedule::new(ColdStart { initial_share: 0.2, warm_up: S, overload_factor: 2.0 });
        let waits: Vec<Micros> = (0..8).map(|n| pace.min_duration(0, n) / S).collect();
        assert_eq!(waits, [5, 5, 10, 20, 40, 80, 80, 80]);
    }

    #[test]
    fn turns_go_round_and_are_as_many_in_a_fleet_of_any_size() {
        for fleet in [1, 2, 3, 10, 300, 1_000] {
            let mut had = vec![false; fleet as usize];
            for t in (0..u64::from(fleet) * S).step_by(S as usize / 2) {
                let triers: Vec<u32> =
                    (0..fleet).filter(|&p| probe_round(SenderId(p), fleet, t).is_some()).collect();
                assert_eq!(triers.len() as u32, PROBING_SENDERS.min(fleet));
                triers.iter().for_each(|&p| had[p as usize] = true);
            }
            assert!(had.iter().all(|h| *h), "each has a turn in a fleet of {fleet}");
            // Spread over any moments of beginning, as many on the whole.
            let spread: usize = (0..fleet)
                .filter(|&p| probe_round(SenderId(p), fleet, u64::from(p) * 7_777_777).is_some())
                .count();
            assert!(spread as u32 <= 4 * PROBING_SENDERS, "{spread} of {fleet}");
        }
    }
}
