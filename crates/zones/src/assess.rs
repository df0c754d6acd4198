//! What the pool says of each zone.

use crate::evacuation::{EvacuationState, ProbeResult};
use crate::ids::{DestinationHash, SenderId, ZoneId};
use crate::note::Observation;
use crate::pool::ReportView;
use std::collections::{BTreeMap, BTreeSet};

/// How a zone stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Nothing says otherwise.
    #[default]
    Serving,
    /// Something fails there, and it is not enough to say that the zone does.
    Doubted,
    /// It fails.
    Failing,
}

/// When a zone counts as failing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureThresholds {
    /// A destination fails in a zone where this share of its calls does, at least.
    pub failed_share: f64,
    /// So many destinations fail there, or all that are seen there if those are at least two.
    pub destinations: usize,
    /// Seen by so many senders,
    pub senders: usize,
    /// that stand in so many zones.
    pub zones: usize,
}

impl Default for FailureThresholds {
    fn default() -> Self {
        Self { failed_share: 0.5, destinations: 2, senders: 3, zones: 2 }
    }
}

/// One sender's calls to one destination in one zone weigh as much as this many at most: who sees most is not
/// believed most.
const MAX_CALL_WEIGHT: u32 = 8;
/// A zone serves, as far as others may be said to fail beside it, where less than this share fails: while
/// all of them begin to, one must not be taken for the one that does.
const MAX_SERVING_FAILED_SHARE: f64 = 0.2;
/// So many senders' words are enough for a few of those that stand elsewhere to try: asking costs few calls.
const MIN_SENDERS_FOR_PROBES: usize = 2;
/// Fewer calls than these say nothing.
const MIN_CALLS: u32 = 2;

/// What is found of a zone, and on whose evidence.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Finding {
    /// How it stands.
    pub health: Health,
    /// Calls that failed, and all, weighed.
    pub failed_calls: f64,
    /// See `failed`.
    pub calls: f64,
    /// Destinations that fail there, of those that are seen there.
    pub destinations: (usize, usize),
    /// Senders that see it fail.
    pub senders: BTreeSet<SenderId>,
    /// Zones in which those stand.
    pub sender_zones: BTreeSet<ZoneId>,
    /// Zones whose senders see it serve.
    pub opposing_zones: BTreeSet<ZoneId>,
}

/// Calls that failed and all of them, weighed.
#[derive(Clone, Copy, Default)]
struct WeightedCalls {
    failed: f64,
    calls: f64,
}

impl WeightedCalls {
    fn add(&mut self, s: &Observation) {
        let all = u32::from(s.answered) + u32::from(s.failed);
        let weight = f64::from(all.min(MAX_CALL_WEIGHT)) / f64::from(all.max(1));
        self.failed += weight * f64::from(s.failed);
        self.calls += weight * f64::from(all);
    }

    fn fails(&self, share: f64) -> bool {
        self.calls >= f64::from(MIN_CALLS) && self.failed >= share * self.calls
    }
}

/// What one sender, or those of one zone, see of a zone: by destination, since of those that fail fewer calls
/// are made than of those that serve.
#[derive(Clone, Default)]
struct CallsByDestination {
    by_destination: BTreeMap<DestinationHash, WeightedCalls>,
}

impl CallsByDestination {
    fn add(&mut self, s: &Observation) {
        self.by_destination.entry(s.destination).or_default().add(s);
    }

    /// Whether most of its destinations fail; nothing where too little was seen.
    fn fails(&self, share: f64) -> Option<bool> {
        let calls: f64 = self.by_destination.values().map(|s| s.calls).sum();
        let failing = self.by_destination.values().filter(|s| s.failed > 0.0 && s.failed >= share * s.calls);
        (calls >= f64::from(MIN_CALLS)).then(|| 2 * failing.count() > self.by_destination.len())
    }
}

/// Whether a sender's own word counts: one to which everything fails, and not in one zone alone, has more
/// likely lost its own link. One with little traffic may have called nothing else of late.
pub(crate) fn is_unreliable(seen: &[Observation]) -> bool {
    let zones: BTreeSet<ZoneId> = seen.iter().map(|s| s.zone).collect();
    zones.len() > 1 && seen.iter().all(|s| s.answered == 0)
}

/// Judges each zone that anything is known of, by what senders say that do not doubt themselves.
pub(crate) fn assess_zones(words: &[ReportView<'_>], rules: &FailureThresholds) -> BTreeMap<ZoneId, Finding> {
    let mut by_dest: BTreeMap<(ZoneId, DestinationHash), WeightedCalls> = BTreeMap::new();
    let mut by_place: BTreeMap<(ZoneId, ZoneId), CallsByDestination> = BTreeMap::new();
    let mut by_sender: BTreeMap<(ZoneId, SenderId), (ZoneId, CallsByDestination)> = BTreeMap::new();
    for &ReportView { from, sender_zone: stands, observations: seen, .. } in words {
        for s in seen {
            by_dest.entry((s.zone, s.destination)).or_default().add(s);
            by_place.entry((s.zone, stands)).or_default().add(s);
            by_sender
                .entry((s.zone, from))
                .or_insert_with(|| (stands, CallsByDestination::default()))
                .1
                .add(s);
        }
    }
    let mut found: BTreeMap<ZoneId, Finding> = BTreeMap::new();
    for (&(zone, _), sum) in &by_dest {
        let f = found.entry(zone).or_default();
        (f.failed_calls, f.calls) = (f.failed_calls + sum.failed, f.calls + sum.calls);
        f.destinations.0 += usize::from(sum.fails(rules.failed_share));
        f.destinations.1 += 1;
    }
    for (&(zone, from), (stands, view)) in &by_sender {
        if view.fails(rules.failed_share) == Some(true) {
            let f = found.entry(zone).or_default();
            f.senders.insert(from);
            f.sender_zones.insert(*stands);
        }
    }
    for (&(zone, stands), view) in &by_place {
        // Where those of one zone see it serve, what others see may be the way there.
        if view.fails(rules.failed_share) == Some(false) {
            found.entry(zone).or_default().opposing_zones.insert(stands);
        }
    }
    let serves =
        |f: &Finding| f.calls >= f64::from(MIN_CALLS) && f.failed_calls < MAX_SERVING_FAILED_SHARE * f.calls;
    let elsewhere = found.values().any(serves);
    for f in found.values_mut() {
        f.sender_zones.retain(|z| !f.opposing_zones.contains(z));
        let enough = f.destinations.0 >= rules.destinations
            && 2 * f.destinations.0 > f.destinations.1
            && f.senders.len() >= rules.senders
            && f.sender_zones.len() >= rules.zones
            && f.opposing_zones.is_empty();
        let some = f.destinations.0 > 0 || !f.senders.is_empty();
        f.health = match (enough && elsewhere, some) {
            (true, _) => Health::Failing,
            (false, true) => Health::Doubted,
            (false, false) => Health::Serving,
        };
    }
    found
}

/// Where senders of one zone alone see a zone fail: it may be their way there, or nobody else calls it. It is
/// asked about by a few that stand elsewhere.
pub(crate) fn needs_probes(f: &Finding, rules: &FailureThresholds) -> bool {
    f.health == Health::Doubted
        && f.destinations.0 >= rules.destinations
        && 2 * f.destinations.0 > f.destinations.1
        && f.senders.len() >= MIN_SENDERS_FOR_PROBES.min(rules.senders)
        && f.opposing_zones.is_empty()
        && f.sender_zones.len() < rules.zones
}

/// Destinations that are seen to serve in a zone, by two senders where there are two, and those that are seen
/// to fail there: what a zone that fails for some is spared, and what it is not.
pub(crate) fn split_destinations(
    zone: ZoneId,
    words: &[ReportView<'_>],
    rules: &FailureThresholds,
    fleet: usize,
) -> (BTreeSet<DestinationHash>, BTreeSet<DestinationHash>) {
    let mut by_dest: BTreeMap<DestinationHash, (WeightedCalls, usize)> = BTreeMap::new();
    for s in words.iter().flat_map(|w| w.observations).filter(|s| s.zone == zone) {
        let (sum, senders) = by_dest.entry(s.destination).or_default();
        sum.add(s);
        *senders += 1;
    }
    let enough =
        |senders: usize, sum: &WeightedCalls| senders >= fleet.min(2) && sum.calls >= f64::from(MIN_CALLS);
    let serves = |(sum, senders): &(WeightedCalls, usize)| {
        enough(*senders, sum) && sum.failed < MAX_SERVING_FAILED_SHARE * sum.calls
    };
    let fails = |(sum, _): &(WeightedCalls, usize)| sum.fails(rules.failed_share);
    let of = |what: &dyn Fn(&(WeightedCalls, usize)) -> bool| {
        by_dest.iter().filter(|(_, s)| what(s)).map(|(&d, _)| d).collect()
    };
    (of(&serves), of(&fails))
}

/// What the calls since a zone was left say of it: two senders' are wanted either way, where there are two.
/// Only those count that have come as far or further, so that nobody's old failures or answers do; who gives
/// the zone its whole share, in whatever term, counts where it is served. So senders that are all in
/// different terms still agree: the first in its term hears what those after it have tried.
///
/// Destinations that are spared there say nothing of the rest.
pub(crate) fn probe_result(
    zone: ZoneId,
    (course, spared): (EvacuationState, &BTreeSet<DestinationHash>),
    words: &[ReportView<'_>],
    rules: &FailureThresholds,
    fleet: usize,
) -> ProbeResult {
    let mut by_dest: BTreeMap<DestinationHash, WeightedCalls> = BTreeMap::new();
    let mut all = WeightedCalls::default();
    let (mut fail, mut serve) = (0, 0);
    for word in words {
        let theirs = word.evacuation(zone).state;
        let mut own = WeightedCalls::default();
        for s in word.observations.iter().filter(|s| s.zone == zone && !spared.contains(&s.destination)) {
            if theirs >= course || theirs.has_full_share() && s.failed == 0 {
                by_dest.entry(s.destination).or_default().add(s);
                own.add(s);
                all.add(s);
            }
        }
        fail += usize::from(own.failed > 0.0 && own.failed >= rules.failed_share * own.calls);
        serve += usize::from(own.calls > 0.0 && own.failed < MAX_SERVING_FAILED_SHARE * own.calls);
    }
    let two = fleet.min(2);
    let failing =
        by_dest.values().filter(|s| s.failed > 0.0 && s.failed >= rules.failed_share * s.calls).count();
    let serving = by_dest.values().filter(|s| s.failed < MAX_SERVING_FAILED_SHARE * s.calls).count();
    if fail >= two && all.failed >= rules.failed_share * all.calls && 2 * failing > by_dest.len() {
        ProbeResult::Failed
    } else if serve >= two
        && all.calls >= f64::from(MIN_CALLS)
        && all.failed < MAX_SERVING_FAILED_SHARE * all.calls
        && serving >= rules.destinations.min(by_dest.len())
    {
        ProbeResult::Passed
    } else {
        ProbeResult::Inconclusive
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Where senders stand and endpoints do; `X` is the one that is judged.
    const A: ZoneId = ZoneId(1);
    const B: ZoneId = ZoneId(2);
    const C: ZoneId = ZoneId(3);
    const X: ZoneId = ZoneId(9);

    fn seen(zone: ZoneId, dest: u32, answered: u8, failed: u8) -> Observation {
        Observation { zone, destination: DestinationHash(dest), answered, failed }
    }

    /// What is found of X where these senders, one after another, stand there and saw that.
    fn found(words: &[(ZoneId, Vec<Observation>)]) -> Health {
        let word = |(n, (stands, seen)): (usize, &'static (ZoneId, Vec<Observation>))| ReportView {
            from: SenderId(n as u32),
            sender_zone: *stands,
            evacuations: &[],
            observations: seen,
        };
        let words: &'static [(ZoneId, Vec<Observation>)] = words.to_vec().leak();
        let words: Vec<ReportView<'_>> = words.iter().enumerate().map(word).collect();
        let words: Vec<ReportView<'_>> =
            words.into_iter().filter(|w| !is_unreliable(w.observations)).collect();
        assess_zones(&words, &FailureThresholds::default()).get(&X).map_or(Health::Serving, |f| f.health)
    }

    /// Two destinations fail in X, and one serves in A.
    fn fails() -> Vec<Observation> {
        vec![seen(X, 1, 0, 5), seen(X, 2, 0, 5), seen(A, 1, 5, 0)]
    }

    /// The same two serve.
    fn serves() -> Vec<Observation> {
        vec![seen(X, 1, 5, 0), seen(X, 2, 5, 0), seen(A, 1, 5, 0)]
    }

    #[test]
    fn three_senders_in_two_zones_that_see_two_destinations_fail_are_enough_and_two_or_one_zone_are_not() {
        assert_eq!(found(&[(A, fails()), (A, fails()), (B, fails())]), Health::Failing);
        assert_eq!(found(&[(A, fails()), (B, fails())]), Health::Doubted, "two senders");
        assert_eq!(found(&[(A, fails()), (A, fails()), (A, fails())]), Health::Doubted, "one zone's way");
        assert_eq!(found(&[(A, serves()), (B, serves())]), Health::Serving);
    }

    #[test]
    fn one_destination_or_a_few_of_many_are_their_own_matter() {
        let one = || vec![seen(X, 1, 0, 9), seen(A, 1, 5, 0)];
        assert_eq!(found(&[(A, one()), (A, one()), (B, one())]), Health::Doubted);
        let few = || {
            let mut all = vec![seen(A, 1, 5, 0), seen(X, 1, 0, 20), seen(X, 2, 0, 20)];
            all.extend((3..6).map(|d| seen(X, d, 2, 0)));
            all
        };
        assert_eq!(found(&[(A, few()), (A, few()), (B, few())]), Health::Doubted);
    }

    #[test]
    fn most_destinations_that_fail_are_not_outvoted_by_the_calls_of_one_that_serves() {
        // Of those that fail each sender makes a call now and then, of the other one many.
        let most = || vec![seen(X, 1, 0, 1), seen(X, 2, 0, 1), seen(X, 3, 200, 0), seen(A, 1, 5, 0)];
        assert_eq!(found(&[(A, most()), (A, most()), (B, most())]), Health::Failing);
    }

    #[test]
    fn two_senders_that_have_come_as_far_say_what_a_trial_came_to_and_one_or_older_words_do_not() {
        use crate::note::ZoneEvacuation;
        let course = EvacuationState { term: 2, level: 1 };
        let at = |term, level| {
            vec![ZoneEvacuation { zone: X, state: EvacuationState { term, level }, consecutive_failures: 1 }]
        };
        let (answered, failed) =
            (vec![seen(X, 1, 3, 0), seen(X, 2, 3, 0)], vec![seen(X, 1, 0, 3), seen(X, 2, 0, 3)]);
        let came = |words: &[(&[ZoneEvacuation], &[Observation])], spared: &[DestinationHash]| {
            let word = |(n, &(courses, seen)): (usize, &(&[ZoneEvacuation], &[Observation]))| {
                let seen: &'static [Observation] = seen.to_vec().leak();
                let courses: &'static [ZoneEvacuation] = courses.to_vec().leak();
                ReportView {
                    from: SenderId(n as u32),
                    sender_zone: A,
                    evacuations: courses,
                    observations: seen,
                }
            };
            let words: Vec<ReportView<'_>> = words.iter().enumerate().map(word).collect();
            probe_result(
                X,
                (course, &spared.iter().copied().collect()),
                &words,
                &FailureThresholds::default(),
                9,
            )
        };
        let (same, older, later, whole) = (at(2, 1), at(2, 0), at(3, 0), at(1, EvacuationState::FULL_SHARE));
        assert_eq!(came(&[(&same, &answered)], &[]), ProbeResult::Inconclusive, "one sender");
        assert_eq!(came(&[(&same, &failed)], &[]), ProbeResult::Inconclusive, "one sender");
        assert_eq!(came(&[(&same, &answered), (&same, &answered)], &[]), ProbeResult::Passed);
        assert_eq!(came(&[(&same, &failed), (&later, &failed)], &[]), ProbeResult::Failed);
        assert_eq!(
            came(&[(&same, &failed), (&older, &failed)], &[]),
            ProbeResult::Inconclusive,
            "of the step before"
        );
        assert_eq!(
            came(&[(&same, &answered), (&whole, &answered)], &[]),
            ProbeResult::Passed,
            "where it was never left"
        );
        assert_eq!(
            came(&[(&same, &failed), (&whole, &failed)], &[]),
            ProbeResult::Inconclusive,
            "old failures"
        );
        let spared = [DestinationHash(1), DestinationHash(2)];
        assert_eq!(
            came(&[(&same, &answered), (&same, &answered)], &spared),
            ProbeResult::Inconclusive,
            "spared ones say nothing"
        );
    }

    #[test]
    fn where_those_of_one_zone_see_it_serve_it_may_be_the_way_there() {
        let all = [(A, fails()), (A, fails()), (B, fails()), (B, fails()), (C, serves())];
        assert_eq!(found(&all), Health::Doubted);
        assert_eq!(found(&all[..4]), Health::Failing);
    }

    #[test]
    fn senders_to_which_everything_fails_say_nothing_of_a_zone() {
        let lost = || vec![seen(X, 1, 0, 9), seen(X, 2, 0, 9), seen(A, 1, 0, 9)];
        let calm = vec![seen(A, 1, 9, 0)];
        assert_eq!(found(&[(A, lost()), (B, lost()), (B, lost()), (C, calm)]), Health::Serving);
    }

    #[test]
    fn who_is_loudest_is_not_believed_most() {
        let loud = vec![seen(X, 1, 0, 255), seen(X, 2, 0, 255), seen(A, 1, 5, 0)];
        let quiet = || vec![seen(X, 1, 0, 2), seen(X, 2, 0, 2), seen(A, 1, 5, 0)];
        let mut all = vec![(A, loud.clone()), (B, loud), (B, quiet())];
        for _ in 0..4 {
            all.extend([(A, serves()), (B, serves())]);
        }
        assert_eq!(found(&all), Health::Doubted);
    }

    #[test]
    fn where_nothing_serves_no_zone_is_the_one_that_fails() {
        let all = || vec![seen(X, 1, 1, 5), seen(X, 2, 1, 5), seen(A, 1, 1, 5), seen(B, 1, 1, 5)];
        assert_eq!(found(&[(A, all()), (A, all()), (B, all())]), Health::Doubted);
    }
}
