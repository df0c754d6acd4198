//! The schedule of a return to a zone: the share of its traffic in each step, which stays below what its
//! endpoints sustain while they are cold, the minimum duration of each step, and which senders send probes.

use crate::ids::{Micros, SenderId};

/// Of the load that would overload a cold endpoint, the part that a step may send to it.
const HEADROOM: f64 = 0.4;
/// The share of each step is the previous one times this factor.
const STEP_FACTOR: f64 = 2.0;
/// The maximum number of steps, so that a return from a very small initial share ends.
const MAX_STEPS: usize = 12;
/// The minimum duration of a step. Within it, reports of other senders about the step have to arrive.
const MIN_STEP: Micros = 1_500_000;
/// The minimum duration of an evacuation. It doubles each time the zone fails again.
const MIN_EVACUATION: Micros = 5_000_000;
const MAX_DOUBLINGS: u32 = 4;
/// The number of failures in a row is reset once a zone has had its full share for this long.
pub(crate) const FORGET_FAILURES_AFTER: Micros = 60_000_000;
/// The number of senders in the whole fleet that send probes at a time. Each does so for one round, then the
/// next senders take over; a sender that has died therefore delays the probes by one round at most.
pub(crate) const PROBING_SENDERS: u32 = 3;
const PROBE_ROUND: Micros = 1_000_000;

/// What cold endpoints sustain, from the platform's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// The share of its capacity that a returning endpoint has at first.
    pub initial_share: f64,
    /// The time after which it has its full capacity.
    pub warm_up: Micros,
    /// The multiple of its current capacity above which an endpoint is overloaded.
    pub overload_factor: f64,
}

/// The steps of a return: the share and the minimum duration of each.
#[derive(Clone, Debug, PartialEq)]
pub struct ReturnSchedule {
    steps: Vec<(f64, Micros)>,
}

impl ReturnSchedule {
    /// Computes steps that stay below what such endpoints sustain.
    pub fn new(cold_start: ColdStart) -> Self {
        let headroom = (HEADROOM * cold_start.overload_factor).clamp(0.05, 1.0);
        let initial_share = cold_start.initial_share.clamp(0.01, 1.0);
        // Returns the time at which the capacity has grown enough for this share.
        let warm_at = |share: f64| {
            let progress = (share / headroom - initial_share) / (1.0 - initial_share).max(1e-9);
            (progress.clamp(0.0, 1.0) * cold_start.warm_up as f64) as Micros
        };
        let mut steps = Vec::new();
        let mut share = headroom * initial_share;
        while share < 1.0 && steps.len() < MAX_STEPS {
            let next = share * STEP_FACTOR;
            let until = if next < headroom { warm_at(next) } else { cold_start.warm_up };
            let min_duration = until.saturating_sub(warm_at(share)).max(MIN_STEP);
            steps.push((share, min_duration));
            if next >= headroom {
                break;
            }
            share = next;
        }
        Self { steps }
    }

    /// Returns the number of steps before the full share.
    pub fn step_count(&self) -> u8 {
        self.steps.len() as u8
    }

    /// Returns whether a zone receives its full share at once, without steps.
    pub fn is_immediate(&self) -> bool {
        self.steps.is_empty()
    }

    /// Returns the share of its traffic that a zone receives at a level.
    pub fn share(&self, level: u8) -> f64 {
        match level {
            0 => 0.0,
            n => self.steps.get(usize::from(n) - 1).map_or(1.0, |step| step.0),
        }
    }

    /// Returns the minimum duration of a level. At level 0 it grows with the number of failures in a row.
    pub fn min_duration(&self, level: u8, consecutive_failures: u8) -> Micros {
        match level {
            0 => MIN_EVACUATION << u32::from(consecutive_failures.saturating_sub(1)).min(MAX_DOUBLINGS),
            n => self.steps.get(usize::from(n) - 1).map_or(0, |step| step.1),
        }
    }
}

/// Returns the round in which this sender probes now, or `None` if it is not its turn. `since` is the time
/// since probing began. The turns rotate through the fleet, so that of the senders that began together at
/// most [`PROBING_SENDERS`] probe at any time. Senders that began at different times do not add up either:
/// each has its turn for the same small part of the time.
pub(crate) fn probe_round(sender: SenderId, fleet_size: u32, since: Micros) -> Option<u64> {
    let round = since / PROBE_ROUND;
    let fleet_size = u64::from(fleet_size.max(1));
    let first = round.wrapping_mul(u64::from(PROBING_SENDERS)) % fleet_size;
    let offset = (u64::from(sender.0) + fleet_size - first) % fleet_size;
    (offset < u64::from(PROBING_SENDERS)).then_some(round)
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    #[test]
    fn steps_stay_below_what_cold_endpoints_sustain_and_are_bounded() {
        for (initial_share, warm_up, overload_factor) in
            [(0.17, 9_200_000, 2.0), (0.5, 3 * S, 1.2), (0.01, 60 * S, 1.0), (1.0, 0, 2.0), (0.0, 0, 0.0)]
        {
            let cold_start = ColdStart { initial_share, warm_up, overload_factor };
            let schedule = ReturnSchedule::new(cold_start);
            assert!(schedule.step_count() <= MAX_STEPS as u8);
            let mut elapsed = 0;
            for level in 1..=schedule.step_count() {
                let warmth = (elapsed as f64 / warm_up.max(1) as f64).min(1.0);
                let sustained = overload_factor * (initial_share.max(0.01) + (1.0 - initial_share) * warmth);
                let share = schedule.share(level);
                assert!(
                    share <= sustained.max(0.05) && share <= 1.0,
                    "{cold_start:?} level {level}: {share} {sustained}"
                );
                assert!(level == 1 || share > schedule.share(level - 1));
                elapsed += schedule.min_duration(level, 0);
            }
            assert!(
                schedule.is_immediate() || elapsed >= warm_up,
                "full share only when warm: {elapsed} of {warm_up}"
            );
            assert_eq!((schedule.share(0), schedule.share(crate::EvacuationState::FULL_SHARE)), (0.0, 1.0));
        }
    }

    #[test]
    fn a_zone_that_fails_repeatedly_stays_evacuated_for_longer_up_to_a_bound() {
        let schedule =
            ReturnSchedule::new(ColdStart { initial_share: 0.2, warm_up: S, overload_factor: 2.0 });
        let waits: Vec<Micros> = (0..8).map(|n| schedule.min_duration(0, n) / S).collect();
        assert_eq!(waits, [5, 5, 10, 20, 40, 80, 80, 80]);
    }

    #[test]
    fn turns_rotate_and_the_number_of_probing_senders_is_the_same_in_a_fleet_of_any_size() {
        for fleet_size in [1, 2, 3, 10, 300, 1_000] {
            let mut had_turn = vec![false; fleet_size as usize];
            for t in (0..u64::from(fleet_size) * S).step_by(S as usize / 2) {
                let probing: Vec<u32> =
                    (0..fleet_size).filter(|&n| probe_round(SenderId(n), fleet_size, t).is_some()).collect();
                assert_eq!(probing.len() as u32, PROBING_SENDERS.min(fleet_size));
                probing.iter().for_each(|&n| had_turn[n as usize] = true);
            }
            assert!(had_turn.iter().all(|h| *h), "each sender has a turn in a fleet of {fleet_size}");
            // If the senders began at different times, about as many probe on average.
            let staggered: usize = (0..fleet_size)
                .filter(|&n| probe_round(SenderId(n), fleet_size, u64::from(n) * 7_777_777).is_some())
                .count();
            assert!(staggered as u32 <= 4 * PROBING_SENDERS, "{staggered} of {fleet_size}");
        }
    }
}
