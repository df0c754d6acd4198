//! What the pool says of each zone.

use crate::course::{Course, Trial};
use crate::names::{Dest, Place, Zone};
use crate::note::Seen;
use crate::pool::Word;
use std::collections::{BTreeMap, BTreeSet};

/// How a zone stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
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
pub struct Rules {
    /// A destination fails in a zone where this share of its calls does, at least.
    pub share: f64,
    /// So many destinations fail there, or all that are seen there if those are at least two.
    pub dests: usize,
    /// Seen by so many senders,
    pub senders: usize,
    /// that stand in so many zones.
    pub zones: usize,
}

impl Default for Rules {
    fn default() -> Self {
        Self { share: 0.5, dests: 2, senders: 3, zones: 2 }
    }
}

/// One sender's calls to one destination in one zone weigh as much as this many at most: who sees most is not
/// believed most.
const LOUDEST: u32 = 8;
/// A zone serves, as far as others may be said to fail beside it, where less than this share fails: while
/// all of them begin to, one must not be taken for the one that does.
const SERVES: f64 = 0.2;
/// So many senders' words are enough for a few of those that stand elsewhere to try: asking costs few calls.
const ASKERS: usize = 2;
/// Fewer calls than these say nothing.
const LEAST: u32 = 2;

/// What is found of a zone, and on whose evidence.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Finding {
    /// How it stands.
    pub standing: Standing,
    /// Calls that failed, and all, weighed.
    pub failed: f64,
    /// See `failed`.
    pub calls: f64,
    /// Destinations that fail there, of those that are seen there.
    pub dests: (usize, usize),
    /// Senders that see it fail.
    pub senders: BTreeSet<Place>,
    /// Zones in which those stand.
    pub from: BTreeSet<Zone>,
    /// Zones whose senders see it serve.
    pub against: BTreeSet<Zone>,
}

/// Calls that failed and all of them, weighed.
#[derive(Clone, Copy, Default)]
struct Sum {
    failed: f64,
    calls: f64,
}

impl Sum {
    fn add(&mut self, s: &Seen) {
        let all = u32::from(s.answered) + u32::from(s.failed);
        let weight = f64::from(all.min(LOUDEST)) / f64::from(all.max(1));
        self.failed += weight * f64::from(s.failed);
        self.calls += weight * f64::from(all);
    }

    fn fails(&self, share: f64) -> bool {
        self.calls >= f64::from(LEAST) && self.failed >= share * self.calls
    }
}

/// What one sender, or those of one zone, see of a zone: by destination, since of those that fail fewer calls
/// are made than of those that serve.
#[derive(Clone, Default)]
struct View {
    dests: BTreeMap<Dest, Sum>,
}

impl View {
    fn add(&mut self, s: &Seen) {
        self.dests.entry(s.dest).or_default().add(s);
    }

    /// Whether most of its destinations fail; nothing where too little was seen.
    fn fails(&self, share: f64) -> Option<bool> {
        let calls: f64 = self.dests.values().map(|s| s.calls).sum();
        let failing = self.dests.values().filter(|s| s.failed > 0.0 && s.failed >= share * s.calls);
        (calls >= f64::from(LEAST)).then(|| 2 * failing.count() > self.dests.len())
    }
}

/// Whether a sender's own word counts: one to which everything fails, and not in one zone alone, has more
/// likely lost its own link. One with little traffic may have called nothing else of late.
pub(crate) fn doubts_itself(seen: &[Seen]) -> bool {
    let zones: BTreeSet<Zone> = seen.iter().map(|s| s.zone).collect();
    zones.len() > 1 && seen.iter().all(|s| s.answered == 0)
}

/// Judges each zone that anything is known of, by what senders say that do not doubt themselves.
pub(crate) fn judge(words: &[Word<'_>], rules: &Rules) -> BTreeMap<Zone, Finding> {
    let mut by_dest: BTreeMap<(Zone, Dest), Sum> = BTreeMap::new();
    let mut by_place: BTreeMap<(Zone, Zone), View> = BTreeMap::new();
    let mut by_sender: BTreeMap<(Zone, Place), (Zone, View)> = BTreeMap::new();
    for &Word { from, stands, seen, .. } in words {
        for s in seen {
            by_dest.entry((s.zone, s.dest)).or_default().add(s);
            by_place.entry((s.zone, stands)).or_default().add(s);
            by_sender.entry((s.zone, from)).or_insert_with(|| (stands, View::default())).1.add(s);
        }
    }
    let mut found: BTreeMap<Zone, Finding> = BTreeMap::new();
    for (&(zone, _), sum) in &by_dest {
        let f = found.entry(zone).or_default();
        (f.failed, f.calls) = (f.failed + sum.failed, f.calls + sum.calls);
        f.dests.0 += usize::from(sum.fails(rules.share));
        f.dests.1 += 1;
    }
    for (&(zone, from), (stands, view)) in &by_sender {
        if view.fails(rules.share) == Some(true) {
            let f = found.entry(zone).or_default();
            f.senders.insert(from);
            f.from.insert(*stands);
        }
    }
    for (&(zone, stands), view) in &by_place {
        // Where those of one zone see it serve, what others see may be the way there.
        if view.fails(rules.share) == Some(false) {
            found.entry(zone).or_default().against.insert(stands);
        }
    }
    let serves = |f: &Finding| f.calls >= f64::from(LEAST) && f.failed < SERVES * f.calls;
    let elsewhere = found.values().any(serves);
    for f in found.values_mut() {
        f.from.retain(|z| !f.against.contains(z));
        let enough = f.dests.0 >= rules.dests
            && 2 * f.dests.0 > f.dests.1
            && f.senders.len() >= rules.senders
            && f.from.len() >= rules.zones
            && f.against.is_empty();
        let some = f.dests.0 > 0 || !f.senders.is_empty();
        f.standing = match (enough && elsewhere, some) {
            (true, _) => Standing::Failing,
            (false, true) => Standing::Doubted,
            (false, false) => Standing::Serving,
        };
    }
    found
}

/// Where senders of one zone alone see a zone fail: it may be their way there, or nobody else calls it. It is
/// asked about by a few that stand elsewhere.
pub(crate) fn asks(f: &Finding, rules: &Rules) -> bool {
    f.standing == Standing::Doubted
        && f.dests.0 >= rules.dests
        && 2 * f.dests.0 > f.dests.1
        && f.senders.len() >= ASKERS.min(rules.senders)
        && f.against.is_empty()
        && f.from.len() < rules.zones
}

/// Destinations that are seen to serve in a zone, by two senders where there are two, and those that are seen
/// to fail there: what a zone that fails for some is spared, and what it is not.
pub(crate) fn parted(
    zone: Zone,
    words: &[Word<'_>],
    rules: &Rules,
    fleet: usize,
) -> (BTreeSet<Dest>, BTreeSet<Dest>) {
    let mut by_dest: BTreeMap<Dest, (Sum, usize)> = BTreeMap::new();
    for s in words.iter().flat_map(|w| w.seen).filter(|s| s.zone == zone) {
        let (sum, senders) = by_dest.entry(s.dest).or_default();
        sum.add(s);
        *senders += 1;
    }
    let enough = |senders: usize, sum: &Sum| senders >= fleet.min(2) && sum.calls >= f64::from(LEAST);
    let serves = |(sum, senders): &(Sum, usize)| enough(*senders, sum) && sum.failed < SERVES * sum.calls;
    let fails = |(sum, _): &(Sum, usize)| sum.fails(rules.share);
    let of = |what: &dyn Fn(&(Sum, usize)) -> bool| {
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
pub(crate) fn trial(
    zone: Zone,
    (course, spared): (Course, &BTreeSet<Dest>),
    words: &[Word<'_>],
    rules: &Rules,
    fleet: usize,
) -> Trial {
    let mut by_dest: BTreeMap<Dest, Sum> = BTreeMap::new();
    let mut all = Sum::default();
    let (mut fail, mut serve) = (0, 0);
    for word in words {
        let theirs = word.taken(zone).course;
        let mut own = Sum::default();
        for s in word.seen.iter().filter(|s| s.zone == zone && !spared.contains(&s.dest)) {
            if theirs >= course || theirs.is_full() && s.failed == 0 {
                by_dest.entry(s.dest).or_default().add(s);
                own.add(s);
                all.add(s);
            }
        }
        fail += usize::from(own.failed > 0.0 && own.failed >= rules.share * own.calls);
        serve += usize::from(own.calls > 0.0 && own.failed < SERVES * own.calls);
    }
    let two = fleet.min(2);
    let failing = by_dest.values().filter(|s| s.failed > 0.0 && s.failed >= rules.share * s.calls).count();
    let serving = by_dest.values().filter(|s| s.failed < SERVES * s.calls).count();
    if fail >= two && all.failed >= rules.share * all.calls && 2 * failing > by_dest.len() {
        Trial::Fails
    } else if serve >= two
        && all.calls >= f64::from(LEAST)
        && all.failed < SERVES * all.calls
        && serving >= rules.dests.min(by_dest.len())
    {
        Trial::Serves
    } else {
        Trial::Open
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Where senders stand and endpoints do; `X` is the one that is judged.
    const A: Zone = Zone(1);
    const B: Zone = Zone(2);
    const C: Zone = Zone(3);
    const X: Zone = Zone(9);

    fn seen(zone: Zone, dest: u32, answered: u8, failed: u8) -> Seen {
        Seen { zone, dest: Dest(dest), answered, failed }
    }

    /// What is found of X where these senders, one after another, stand there and saw that.
    fn found(words: &[(Zone, Vec<Seen>)]) -> Standing {
        let word = |(n, (stands, seen)): (usize, &'static (Zone, Vec<Seen>))| Word {
            from: Place(n as u32),
            stands: *stands,
            courses: &[],
            seen,
        };
        let words: &'static [(Zone, Vec<Seen>)] = words.to_vec().leak();
        let words: Vec<Word<'_>> = words.iter().enumerate().map(word).collect();
        let words: Vec<Word<'_>> = words.into_iter().filter(|w| !doubts_itself(w.seen)).collect();
        judge(&words, &Rules::default()).get(&X).map_or(Standing::Serving, |f| f.standing)
    }

    /// Two destinations fail in X, and one serves in A.
    fn fails() -> Vec<Seen> {
        vec![seen(X, 1, 0, 5), seen(X, 2, 0, 5), seen(A, 1, 5, 0)]
    }

    /// The same two serve.
    fn serves() -> Vec<Seen> {
        vec![seen(X, 1, 5, 0), seen(X, 2, 5, 0), seen(A, 1, 5, 0)]
    }

    #[test]
    fn three_senders_in_two_zones_that_see_two_destinations_fail_are_enough_and_two_or_one_zone_are_not() {
        assert_eq!(found(&[(A, fails()), (A, fails()), (B, fails())]), Standing::Failing);
        assert_eq!(found(&[(A, fails()), (B, fails())]), Standing::Doubted, "two senders");
        assert_eq!(found(&[(A, fails()), (A, fails()), (A, fails())]), Standing::Doubted, "one zone's way");
        assert_eq!(found(&[(A, serves()), (B, serves())]), Standing::Serving);
    }

    #[test]
    fn one_destination_or_a_few_of_many_are_their_own_matter() {
        let one = || vec![seen(X, 1, 0, 9), seen(A, 1, 5, 0)];
        assert_eq!(found(&[(A, one()), (A, one()), (B, one())]), Standing::Doubted);
        let few = || {
            let mut all = vec![seen(A, 1, 5, 0), seen(X, 1, 0, 20), seen(X, 2, 0, 20)];
            all.extend((3..6).map(|d| seen(X, d, 2, 0)));
            all
        };
        assert_eq!(found(&[(A, few()), (A, few()), (B, few())]), Standing::Doubted);
    }

    #[test]
    fn most_destinations_that_fail_are_not_outvoted_by_the_calls_of_one_that_serves() {
        // Of those that fail each sender makes a call now and then, of the other one many.
        let most = || vec![seen(X, 1, 0, 1), seen(X, 2, 0, 1), seen(X, 3, 200, 0), seen(A, 1, 5, 0)];
        assert_eq!(found(&[(A, most()), (A, most()), (B, most())]), Standing::Failing);
    }

    #[test]
    fn two_senders_that_have_come_as_far_say_what_a_trial_came_to_and_one_or_older_words_do_not() {
        use crate::note::Taken;
        let course = Course { term: 2, level: 1 };
        let at = |term, level| vec![Taken { zone: X, course: Course { term, level }, failed: 1 }];
        let (answered, failed) =
            (vec![seen(X, 1, 3, 0), seen(X, 2, 3, 0)], vec![seen(X, 1, 0, 3), seen(X, 2, 0, 3)]);
        let came = |words: &[(&[Taken], &[Seen])], spared: &[Dest]| {
            let word = |(n, &(courses, seen)): (usize, &(&[Taken], &[Seen]))| {
                let seen: &'static [Seen] = seen.to_vec().leak();
                let courses: &'static [Taken] = courses.to_vec().leak();
                Word { from: Place(n as u32), stands: A, courses, seen }
            };
            let words: Vec<Word<'_>> = words.iter().enumerate().map(word).collect();
            trial(X, (course, &spared.iter().copied().collect()), &words, &Rules::default(), 9)
        };
        let (same, older, later, whole) = (at(2, 1), at(2, 0), at(3, 0), at(1, Course::FULL));
        assert_eq!(came(&[(&same, &answered)], &[]), Trial::Open, "one sender");
        assert_eq!(came(&[(&same, &failed)], &[]), Trial::Open, "one sender");
        assert_eq!(came(&[(&same, &answered), (&same, &answered)], &[]), Trial::Serves);
        assert_eq!(came(&[(&same, &failed), (&later, &failed)], &[]), Trial::Fails);
        assert_eq!(came(&[(&same, &failed), (&older, &failed)], &[]), Trial::Open, "of the step before");
        assert_eq!(
            came(&[(&same, &answered), (&whole, &answered)], &[]),
            Trial::Serves,
            "where it was never left"
        );
        assert_eq!(came(&[(&same, &failed), (&whole, &failed)], &[]), Trial::Open, "old failures");
        let spared = [Dest(1), Dest(2)];
        assert_eq!(
            came(&[(&same, &answered), (&same, &answered)], &spared),
            Trial::Open,
            "spared ones say nothing"
        );
    }

    #[test]
    fn where_those_of_one_zone_see_it_serve_it_may_be_the_way_there() {
        let all = [(A, fails()), (A, fails()), (B, fails()), (B, fails()), (C, serves())];
        assert_eq!(found(&all), Standing::Doubted);
        assert_eq!(found(&all[..4]), Standing::Failing);
    }

    #[test]
    fn senders_to_which_everything_fails_say_nothing_of_a_zone() {
        let lost = || vec![seen(X, 1, 0, 9), seen(X, 2, 0, 9), seen(A, 1, 0, 9)];
        let calm = vec![seen(A, 1, 9, 0)];
        assert_eq!(found(&[(A, lost()), (B, lost()), (B, lost()), (C, calm)]), Standing::Serving);
    }

    #[test]
    fn who_is_loudest_is_not_believed_most() {
        let loud = vec![seen(X, 1, 0, 255), seen(X, 2, 0, 255), seen(A, 1, 5, 0)];
        let quiet = || vec![seen(X, 1, 0, 2), seen(X, 2, 0, 2), seen(A, 1, 5, 0)];
        let mut all = vec![(A, loud.clone()), (B, loud), (B, quiet())];
        for _ in 0..4 {
            all.extend([(A, serves()), (B, serves())]);
        }
        assert_eq!(found(&all), Standing::Doubted);
    }

    #[test]
    fn where_nothing_serves_no_zone_is_the_one_that_fails() {
        let all = || vec![seen(X, 1, 1, 5), seen(X, 2, 1, 5), seen(A, 1, 1, 5), seen(B, 1, 1, 5)];
        assert_eq!(found(&[(A, all()), (A, all()), (B, all())]), Standing::Doubted);
    }
}
