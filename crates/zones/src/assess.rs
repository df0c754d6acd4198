//! Assesses the health of each zone from the pooled reports of the fleet.

use crate::evacuation::{EvacuationState, ProbeResult};
use crate::ids::{DestinationHash, SenderId, ZoneId};
use crate::note::Observation;
use crate::pool::ReportView;
use std::collections::{BTreeMap, BTreeSet};

/// The health of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// No evidence of a failure.
    #[default]
    Serving,
    /// Some calls fail there, but the evidence does not suffice to find the zone failing.
    Doubted,
    /// The zone is found failing.
    Failing,
}

/// The thresholds at which a zone is found failing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureThresholds {
    /// A destination counts as failing in a zone if at least this share of its calls there fails.
    pub failed_share: f64,
    /// The number of destinations that must fail in the zone.
    pub destinations: usize,
    /// The number of senders that must see the zone fail.
    pub senders: usize,
    /// The number of zones in which those senders must run.
    pub zones: usize,
}

impl Default for FailureThresholds {
    fn default() -> Self {
        Self { failed_share: 0.5, destinations: 2, senders: 3, zones: 2 }
    }
}

/// The most calls that one sender's observation of one destination in one zone counts for, so that a sender
/// with much traffic does not outweigh the others.
const MAX_CALL_WEIGHT: u32 = 8;
/// A zone counts as serving if less than this share of its calls fails. A zone is found failing only while
/// some other zone serves: when all zones begin to fail, the first one must not be singled out.
const MAX_SERVING_FAILED_SHARE: f64 = 0.2;
/// The number of senders that must see a zone fail before a few senders in other zones probe it. A probe
/// costs few calls, so this number is small.
const MIN_SENDERS_FOR_PROBES: usize = 2;
/// Fewer calls than this are no evidence.
const MIN_CALLS: u32 = 2;

/// The health found for a zone, and the evidence for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Finding {
    /// The health of the zone.
    pub health: Health,
    /// The weighted number of calls that failed.
    pub failed_calls: f64,
    /// The weighted number of all calls.
    pub calls: f64,
    /// The number of destinations that fail in the zone, and of all that were observed there.
    pub destinations: (usize, usize),
    /// The senders that see the zone fail.
    pub senders: BTreeSet<SenderId>,
    /// The zones in which those senders run.
    pub sender_zones: BTreeSet<ZoneId>,
    /// The zones whose senders see the zone serve.
    pub opposing_zones: BTreeSet<ZoneId>,
}

/// The weighted number of calls, and of those that failed.
#[derive(Clone, Copy, Default)]
struct WeightedCalls {
    failed: f64,
    calls: f64,
}

impl WeightedCalls {
    fn add(&mut self, observation: &Observation) {
        let all = u32::from(observation.answered) + u32::from(observation.failed);
        let weight = f64::from(all.min(MAX_CALL_WEIGHT)) / f64::from(all.max(1));
        self.failed += weight * f64::from(observation.failed);
        self.calls += weight * f64::from(all);
    }

    fn is_failing(&self, failed_share: f64) -> bool {
        self.calls >= f64::from(MIN_CALLS) && self.failed >= failed_share * self.calls
    }
}

/// What one sender, or all senders of one zone, observe of a zone. The calls are kept by destination, since
/// senders make fewer calls to failing destinations than to serving ones.
#[derive(Clone, Default)]
struct CallsByDestination {
    by_destination: BTreeMap<DestinationHash, WeightedCalls>,
}

impl CallsByDestination {
    fn add(&mut self, observation: &Observation) {
        self.by_destination.entry(observation.destination).or_default().add(observation);
    }

    /// Returns whether most of the destinations fail, or `None` if too few calls were observed.
    fn is_failing(&self, failed_share: f64) -> Option<bool> {
        let calls: f64 = self.by_destination.values().map(|c| c.calls).sum();
        let failing =
            self.by_destination.values().filter(|c| c.failed > 0.0 && c.failed >= failed_share * c.calls);
        (calls >= f64::from(MIN_CALLS)).then(|| 2 * failing.count() > self.by_destination.len())
    }
}

/// Returns whether a sender's observations are to be ignored: if all its calls fail, in more than one zone,
/// it has more likely lost its own link. If they fail in a single zone they still count, since a sender with
/// little traffic may have called no other zone recently.
pub(crate) fn is_unreliable(observations: &[Observation]) -> bool {
    let zones: BTreeSet<ZoneId> = observations.iter().map(|o| o.zone).collect();
    zones.len() > 1 && observations.iter().all(|o| o.answered == 0)
}

/// Assesses each zone for which there is any observation. The caller has removed the reports of senders that
/// are unreliable (see [`is_unreliable`]).
pub(crate) fn assess_zones(
    reports: &[ReportView<'_>],
    thresholds: &FailureThresholds,
) -> BTreeMap<ZoneId, Finding> {
    let mut by_destination: BTreeMap<(ZoneId, DestinationHash), WeightedCalls> = BTreeMap::new();
    let mut by_sender_zone: BTreeMap<(ZoneId, ZoneId), CallsByDestination> = BTreeMap::new();
    let mut by_sender: BTreeMap<(ZoneId, SenderId), (ZoneId, CallsByDestination)> = BTreeMap::new();
    for &ReportView { from, sender_zone, observations, .. } in reports {
        for o in observations {
            by_destination.entry((o.zone, o.destination)).or_default().add(o);
            by_sender_zone.entry((o.zone, sender_zone)).or_default().add(o);
            by_sender
                .entry((o.zone, from))
                .or_insert_with(|| (sender_zone, CallsByDestination::default()))
                .1
                .add(o);
        }
    }
    let mut findings: BTreeMap<ZoneId, Finding> = BTreeMap::new();
    for (&(zone, _), calls) in &by_destination {
        let finding = findings.entry(zone).or_default();
        (finding.failed_calls, finding.calls) =
            (finding.failed_calls + calls.failed, finding.calls + calls.calls);
        finding.destinations.0 += usize::from(calls.is_failing(thresholds.failed_share));
        finding.destinations.1 += 1;
    }
    for (&(zone, from), (sender_zone, calls)) in &by_sender {
        if calls.is_failing(thresholds.failed_share) == Some(true) {
            let finding = findings.entry(zone).or_default();
            finding.senders.insert(from);
            finding.sender_zones.insert(*sender_zone);
        }
    }
    for (&(zone, sender_zone), calls) in &by_sender_zone {
        // If the senders of one zone see it serve, the failures that others see may be on the network path.
        if calls.is_failing(thresholds.failed_share) == Some(false) {
            findings.entry(zone).or_default().opposing_zones.insert(sender_zone);
        }
    }
    let is_serving =
        |f: &Finding| f.calls >= f64::from(MIN_CALLS) && f.failed_calls < MAX_SERVING_FAILED_SHARE * f.calls;
    let another_zone_serves = findings.values().any(is_serving);
    for finding in findings.values_mut() {
        finding.sender_zones.retain(|z| !finding.opposing_zones.contains(z));
        let enough_evidence = finding.destinations.0 >= thresholds.destinations
            && 2 * finding.destinations.0 > finding.destinations.1
            && finding.senders.len() >= thresholds.senders
            && finding.sender_zones.len() >= thresholds.zones
            && finding.opposing_zones.is_empty();
        let some_evidence = finding.destinations.0 > 0 || !finding.senders.is_empty();
        finding.health = match (enough_evidence && another_zone_serves, some_evidence) {
            (true, _) => Health::Failing,
            (false, true) => Health::Doubted,
            (false, false) => Health::Serving,
        };
    }
    findings
}

/// Returns whether a few senders in other zones are to probe a zone: only senders of one zone see it fail, so
/// either their network path has failed, or no other sender calls that zone.
pub(crate) fn needs_probes(finding: &Finding, thresholds: &FailureThresholds) -> bool {
    finding.health == Health::Doubted
        && finding.destinations.0 >= thresholds.destinations
        && 2 * finding.destinations.0 > finding.destinations.1
        && finding.senders.len() >= MIN_SENDERS_FOR_PROBES.min(thresholds.senders)
        && finding.opposing_zones.is_empty()
        && finding.sender_zones.len() < thresholds.zones
}

/// Returns the destinations that serve in a zone, and those that fail there. A destination counts as serving
/// if two senders (or one in a fleet of one) have called it. Serving destinations are exempt from an
/// evacuation of the zone; failing ones are not.
pub(crate) fn split_destinations(
    zone: ZoneId,
    reports: &[ReportView<'_>],
    thresholds: &FailureThresholds,
    fleet_size: usize,
) -> (BTreeSet<DestinationHash>, BTreeSet<DestinationHash>) {
    let mut by_destination: BTreeMap<DestinationHash, (WeightedCalls, usize)> = BTreeMap::new();
    for o in reports.iter().flat_map(|r| r.observations).filter(|o| o.zone == zone) {
        let (calls, senders) = by_destination.entry(o.destination).or_default();
        calls.add(o);
        *senders += 1;
    }
    let has_enough = |senders: usize, calls: &WeightedCalls| {
        senders >= fleet_size.min(2) && calls.calls >= f64::from(MIN_CALLS)
    };
    let is_serving = |(calls, senders): &(WeightedCalls, usize)| {
        has_enough(*senders, calls) && calls.failed < MAX_SERVING_FAILED_SHARE * calls.calls
    };
    let is_failing = |(calls, _): &(WeightedCalls, usize)| calls.is_failing(thresholds.failed_share);
    let matching = |condition: &dyn Fn(&(WeightedCalls, usize)) -> bool| {
        by_destination.iter().filter(|(_, c)| condition(c)).map(|(&d, _)| d).collect()
    };
    (matching(&is_serving), matching(&is_failing))
}

/// Returns the result of the probes and calls made to a zone since its last transition. Either result needs
/// two senders, or one in a fleet of one.
///
/// Only reports of senders whose evacuation state is at least as new count, so that failures and answers from
/// an earlier step are ignored. Observations without failures also count if their sender gives the zone its
/// full share, in any term. Thereby senders that are all in different terms still agree: the sender with the
/// oldest term uses the results of those with newer ones.
///
/// Observations of exempt destinations are ignored, since they are no evidence for the rest of the zone.
pub(crate) fn probe_result(
    zone: ZoneId,
    (state, exempt): (EvacuationState, &BTreeSet<DestinationHash>),
    reports: &[ReportView<'_>],
    thresholds: &FailureThresholds,
    fleet_size: usize,
) -> ProbeResult {
    let mut by_destination: BTreeMap<DestinationHash, WeightedCalls> = BTreeMap::new();
    let mut all = WeightedCalls::default();
    let (mut failing_senders, mut serving_senders) = (0, 0);
    for report in reports {
        let sender_state = report.evacuation(zone).state;
        let mut own = WeightedCalls::default();
        for o in report.observations.iter().filter(|o| o.zone == zone && !exempt.contains(&o.destination)) {
            if sender_state >= state || sender_state.has_full_share() && o.failed == 0 {
                by_destination.entry(o.destination).or_default().add(o);
                own.add(o);
                all.add(o);
            }
        }
        failing_senders += usize::from(own.failed > 0.0 && own.failed >= thresholds.failed_share * own.calls);
        serving_senders += usize::from(own.calls > 0.0 && own.failed < MAX_SERVING_FAILED_SHARE * own.calls);
    }
    let min_senders = fleet_size.min(2);
    let failing = by_destination
        .values()
        .filter(|c| c.failed > 0.0 && c.failed >= thresholds.failed_share * c.calls)
        .count();
    let serving = by_destination.values().filter(|c| c.failed < MAX_SERVING_FAILED_SHARE * c.calls).count();
    if failing_senders >= min_senders
        && all.failed >= thresholds.failed_share * all.calls
        && 2 * failing > by_destination.len()
    {
        ProbeResult::Failed
    } else if serving_senders >= min_senders
        && all.calls >= f64::from(MIN_CALLS)
        && all.failed < MAX_SERVING_FAILED_SHARE * all.calls
        && serving >= thresholds.destinations.min(by_destination.len())
    {
        ProbeResult::Passed
    } else {
        ProbeResult::Inconclusive
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Zones in which senders run and endpoints are; `X` is the zone that is assessed.
    const A: ZoneId = ZoneId(1);
    const B: ZoneId = ZoneId(2);
    const C: ZoneId = ZoneId(3);
    const X: ZoneId = ZoneId(9);

    fn observation(zone: ZoneId, destination: u32, answered: u8, failed: u8) -> Observation {
        Observation { zone, destination: DestinationHash(destination), answered, failed }
    }

    /// Returns the health found for X by senders in these zones that made these observations.
    fn health(reports: &[(ZoneId, Vec<Observation>)]) -> Health {
        let view = |(n, (sender_zone, observations)): (usize, &'static (ZoneId, Vec<Observation>))| {
            ReportView { from: SenderId(n as u32), sender_zone: *sender_zone, evacuations: &[], observations }
        };
        let reports: &'static [(ZoneId, Vec<Observation>)] = reports.to_vec().leak();
        let reports: Vec<ReportView<'_>> = reports.iter().enumerate().map(view).collect();
        let reports: Vec<ReportView<'_>> =
            reports.into_iter().filter(|r| !is_unreliable(r.observations)).collect();
        assess_zones(&reports, &FailureThresholds::default()).get(&X).map_or(Health::Serving, |f| f.health)
    }

    /// Two destinations fail in X, and one serves in A.
    fn failing() -> Vec<Observation> {
        vec![observation(X, 1, 0, 5), observation(X, 2, 0, 5), observation(A, 1, 5, 0)]
    }

    /// The same two destinations serve.
    fn serving() -> Vec<Observation> {
        vec![observation(X, 1, 5, 0), observation(X, 2, 5, 0), observation(A, 1, 5, 0)]
    }

    #[test]
    fn a_zone_fails_if_three_senders_in_two_zones_see_two_destinations_fail_and_not_with_fewer() {
        assert_eq!(health(&[(A, failing()), (A, failing()), (B, failing())]), Health::Failing);
        assert_eq!(health(&[(A, failing()), (B, failing())]), Health::Doubted, "two senders");
        assert_eq!(
            health(&[(A, failing()), (A, failing()), (A, failing())]),
            Health::Doubted,
            "the network path of one zone"
        );
        assert_eq!(health(&[(A, serving()), (B, serving())]), Health::Serving);
    }

    #[test]
    fn a_zone_does_not_fail_if_one_destination_or_a_minority_of_them_fails() {
        let one = || vec![observation(X, 1, 0, 9), observation(A, 1, 5, 0)];
        assert_eq!(health(&[(A, one()), (A, one()), (B, one())]), Health::Doubted);
        let minority = || {
            let mut all = vec![observation(A, 1, 5, 0), observation(X, 1, 0, 20), observation(X, 2, 0, 20)];
            all.extend((3..6).map(|d| observation(X, d, 2, 0)));
            all
        };
        assert_eq!(health(&[(A, minority()), (A, minority()), (B, minority())]), Health::Doubted);
    }

    #[test]
    fn many_calls_to_one_serving_destination_do_not_outvote_a_majority_of_failing_ones() {
        // Each sender makes few calls to the destinations that fail, and many to the other one.
        let majority = || {
            vec![
                observation(X, 1, 0, 1),
                observation(X, 2, 0, 1),
                observation(X, 3, 200, 0),
                observation(A, 1, 5, 0),
            ]
        };
        assert_eq!(health(&[(A, majority()), (A, majority()), (B, majority())]), Health::Failing);
    }

    #[test]
    fn a_probe_result_needs_two_senders_in_the_same_step_or_a_newer_one() {
        use crate::note::ZoneEvacuation;
        let state = EvacuationState { term: 2, level: 1 };
        let at = |term, level| {
            vec![ZoneEvacuation { zone: X, state: EvacuationState { term, level }, consecutive_failures: 1 }]
        };
        let (answered, failed) = (
            vec![observation(X, 1, 3, 0), observation(X, 2, 3, 0)],
            vec![observation(X, 1, 0, 3), observation(X, 2, 0, 3)],
        );
        let result = |reports: &[(&[ZoneEvacuation], &[Observation])], exempt: &[DestinationHash]| {
            let view = |(n, &(evacuations, observations)): (usize, &(&[ZoneEvacuation], &[Observation]))| {
                let observations: &'static [Observation] = observations.to_vec().leak();
                let evacuations: &'static [ZoneEvacuation] = evacuations.to_vec().leak();
                ReportView { from: SenderId(n as u32), sender_zone: A, evacuations, observations }
            };
            let reports: Vec<ReportView<'_>> = reports.iter().enumerate().map(view).collect();
            probe_result(
                X,
                (state, &exempt.iter().copied().collect()),
                &reports,
                &FailureThresholds::default(),
                9,
            )
        };
        let (same, older, newer, full) = (at(2, 1), at(2, 0), at(3, 0), at(1, EvacuationState::FULL_SHARE));
        assert_eq!(result(&[(&same, &answered)], &[]), ProbeResult::Inconclusive, "one sender");
        assert_eq!(result(&[(&same, &failed)], &[]), ProbeResult::Inconclusive, "one sender");
        assert_eq!(result(&[(&same, &answered), (&same, &answered)], &[]), ProbeResult::Passed);
        assert_eq!(result(&[(&same, &failed), (&newer, &failed)], &[]), ProbeResult::Failed);
        assert_eq!(
            result(&[(&same, &failed), (&older, &failed)], &[]),
            ProbeResult::Inconclusive,
            "one of them in the previous step"
        );
        assert_eq!(
            result(&[(&same, &answered), (&full, &answered)], &[]),
            ProbeResult::Passed,
            "the other sender never evacuated the zone"
        );
        assert_eq!(
            result(&[(&same, &failed), (&full, &failed)], &[]),
            ProbeResult::Inconclusive,
            "failures from an older term"
        );
        let exempt = [DestinationHash(1), DestinationHash(2)];
        assert_eq!(
            result(&[(&same, &answered), (&same, &answered)], &exempt),
            ProbeResult::Inconclusive,
            "exempt destinations are no evidence"
        );
    }

    #[test]
    fn a_zone_that_the_senders_of_one_zone_see_serve_is_not_failing() {
        let all = [(A, failing()), (A, failing()), (B, failing()), (B, failing()), (C, serving())];
        assert_eq!(health(&all), Health::Doubted);
        assert_eq!(health(&all[..4]), Health::Failing);
    }

    #[test]
    fn reports_of_senders_whose_calls_all_fail_are_ignored() {
        let cut_off = || vec![observation(X, 1, 0, 9), observation(X, 2, 0, 9), observation(A, 1, 0, 9)];
        let connected = vec![observation(A, 1, 9, 0)];
        assert_eq!(
            health(&[(A, cut_off()), (B, cut_off()), (B, cut_off()), (C, connected)]),
            Health::Serving
        );
    }

    #[test]
    fn a_sender_with_many_calls_does_not_outweigh_the_others() {
        let many = vec![observation(X, 1, 0, 255), observation(X, 2, 0, 255), observation(A, 1, 5, 0)];
        let few = || vec![observation(X, 1, 0, 2), observation(X, 2, 0, 2), observation(A, 1, 5, 0)];
        let mut all = vec![(A, many.clone()), (B, many), (B, few())];
        for _ in 0..4 {
            all.extend([(A, serving()), (B, serving())]);
        }
        assert_eq!(health(&all), Health::Doubted);
    }

    #[test]
    fn no_zone_is_failing_if_no_other_zone_serves() {
        let all = || {
            vec![
                observation(X, 1, 1, 5),
                observation(X, 2, 1, 5),
                observation(A, 1, 1, 5),
                observation(B, 1, 1, 5),
            ]
        };
        assert_eq!(health(&[(A, all()), (A, all()), (B, all())]), Health::Doubted);
    }
}
