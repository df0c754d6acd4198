//! The machine as a whole: evidence in; notes, findings, and what each zone is sent, out.

use crate::course::{Course, Look, Trial, Why, followed};
use crate::evidence::{Came, Evidence, WINDOW};
use crate::judge::{Finding, Rules, Standing, asks, doubts_itself, judge, parted, trial};
use crate::names::{Dest, Micros, Place, Zone};
use crate::note::{Report, Taken, read, write};
use crate::pace::{CALM, Pace, turn};
use crate::pool::{Merged, Pool, Word};
use rand::seq::{IteratorRandom, index::sample};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};

/// It is looked at, and written of, so often.
pub const BEAT: Micros = 500_000;
/// While anything fails, a beat's note goes to so many others, drawn anew each time: so each hears some
/// eighteen senders within the window, in a fleet of twenty as of a thousand, and writes as much in both.
const FANOUT: usize = 3;
/// Else to one, each fourth beat: that others are heard tells a sender that it is not alone.
const QUIET: u64 = 4;
/// A standing is taken on once it was found at so many beats in a row; a better one at more of them.
const WORSE: u32 = 2;
const BETTER: u32 = 6;
/// No note of others for so long, and a sender doubts itself.
const ALONE: Micros = 4 * QUIET * BEAT + WINDOW;
/// Zones whose standing is kept: the platform names few.
const ZONES: usize = 64;
/// Waits are drawn out by up to this share, by each sender for itself.
const SPREAD: f64 = 0.25;

/// What is set.
#[derive(Clone, Debug)]
pub struct Set {
    /// This sender's number, of so many in the fleet.
    pub place: Place,
    /// See `place`.
    pub fleet: u32,
    /// Where it stands.
    pub stands: Zone,
    /// Whether notes can be written at all.
    pub writes: bool,
    /// When a zone counts as failing.
    pub rules: Rules,
    /// How fast it is returned to; nothing where zones are watched and never left.
    pub pace: Option<Pace>,
    /// Zones that operators keep out, and those that they keep in, whatever is found.
    pub pinned: BTreeMap<Zone, bool>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write this to one of the others.
    Send(Place, Vec<u8>),
    /// A zone is to be sent this share of what it would be sent from now on; and, if it is this sender's turn
    /// to try, one call to each destination there.
    Lean {
        /// Which.
        zone: Zone,
        /// From 0 to 1.
        share: f64,
        /// One call to each of its destinations, whatever the share.
        tries: bool,
        /// Destinations that are seen to serve there: they are sent as if nothing had been said.
        spared: BTreeSet<Dest>,
    },
    /// The zone in which this sender stands is left, and others that stand elsewhere are heard: clients had
    /// better go there. Or no more.
    GiveWay(bool),
    /// To be said in the log.
    Say(Event),
}

/// What operators read.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A zone is found to stand otherwise than before.
    Stands {
        /// Which.
        zone: Zone,
        /// How it stood.
        before: Standing,
        /// Why it stands as it does.
        finding: Finding,
        /// Which change of its standing it is here.
        changes: u64,
    },
    /// A zone is left further, or returned to.
    Takes {
        /// Which.
        zone: Zone,
        /// How far before.
        before: Course,
        /// How far now.
        course: Course,
        /// The share that it is sent from now on.
        share: f64,
        /// Why.
        why: Why,
        /// How often in a row it has failed by now.
        failed: u8,
        /// Senders whose words it rests on.
        on: Vec<Place>,
    },
    /// A sender contradicts itself; said once for each.
    Odd(Place),
    /// Nothing was heard of any other sender for long, or everything fails from here: what is found is kept.
    Alone(bool),
}

/// How a zone stands, as found here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stand {
    /// How.
    pub standing: Standing,
    /// How often that has changed.
    pub changes: u64,
    /// What was found last.
    pub finding: Finding,
    /// How far it is left.
    pub course: Course,
    /// How often in a row it has failed.
    pub failed: u8,
    /// Senders heard within the window that have come as far, of all that were.
    pub with: (usize, usize),
    /// What it may be next, and at how many beats in a row that was found.
    next: Option<(Standing, u32)>,
    /// Since when the course is what it is, and how much its wait is drawn out here.
    since: Micros,
    spread: f64,
    /// Since when it is tried.
    tried: Option<Micros>,
    /// The last turn in which this sender tried.
    turn: Option<u64>,
    /// Destinations that serve there all the same.
    pub spared: BTreeSet<Dest>,
    /// What was said of it to the caller last.
    leans: Option<(f64, BTreeSet<Dest>)>,
}

/// What a zone is at, by the name that operators know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Its whole share, and nothing says otherwise.
    Serving,
    /// Its whole share; something fails there.
    Doubted,
    /// Its whole share, although it is found failing: zones are only watched, or it is the last one.
    Failing,
    /// Nothing is sent there any more; not all that were heard have followed.
    Leaving,
    /// Nothing is sent there.
    Left,
    /// A few senders try.
    Trying,
    /// It is sent a part of its share.
    Returning,
}

impl Stand {
    /// What it is at.
    pub fn state(&self) -> State {
        match (self.course.level, self.standing) {
            (Course::FULL, Standing::Serving) => State::Serving,
            (Course::FULL, Standing::Doubted) => State::Doubted,
            (Course::FULL, Standing::Failing) => State::Failing,
            (0, _) if self.tried.is_some() => State::Trying,
            (0, _) if self.with.0 < self.with.1 => State::Leaving,
            (0, _) => State::Left,
            _ => State::Returning,
        }
    }
}

/// What is known of a zone that is left, or that others leave.
struct Seen {
    look: Look,
    /// Whose course `told` is, and how often the zone has failed by their words.
    by: Vec<Place>,
    failed: u8,
    with: (usize, usize),
    /// Destinations that serve there, and that fail there.
    parted: (BTreeSet<Dest>, BTreeSet<Dest>),
}

/// See the crate's page.
#[derive(Debug)]
pub struct Zones {
    set: Set,
    life: u32,
    number: u32,
    evidence: Evidence,
    pool: Pool,
    stands: BTreeMap<Zone, Stand>,
    /// Zones that the list names.
    listed: BTreeSet<Zone>,
    begun: Micros,
    /// When a note of another sender last came.
    heard: Micros,
    alone: bool,
    beats: u64,
    due: Micros,
    odd: Vec<Place>,
    gives_way: bool,
    rng: Pcg64,
}

impl Zones {
    /// A sender that has seen nothing yet.
    pub fn new(set: Set, seed: u64, now: Micros) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let life = rng.random();
        // Not all at once.
        let due = now + rng.random_range(0..BEAT);
        Self {
            set,
            life,
            number: 0,
            evidence: Evidence::default(),
            pool: Pool::default(),
            stands: BTreeMap::new(),
            listed: BTreeSet::new(),
            begun: now,
            heard: now,
            alone: false,
            beats: 0,
            due,
            odd: Vec::new(),
            gives_way: false,
            rng,
        }
    }

    /// A call that began at some moment came to something.
    pub fn observe(&mut self, now: Micros, began: Micros, zone: Zone, dest: Dest, came: Came) {
        self.evidence.observe(now, began, zone, dest, came);
    }

    /// The list names endpoints in these zones.
    pub fn list(&mut self, zones: BTreeSet<Zone>) {
        self.listed = zones;
    }

    /// Other rules, pace and pins, from the next beat on; who and where this sender is stays.
    pub fn retune(&mut self, rules: Rules, pace: Option<Pace>, pinned: BTreeMap<Zone, bool>) {
        (self.set.rules, self.set.pace, self.set.pinned) = (rules, pace, pinned);
    }

    /// Another sender wrote. Whether it was a note.
    pub fn heard(&mut self, now: Micros, from: Place, bytes: &[u8], out: &mut Vec<Output>) -> bool {
        let Some(report) = read(bytes) else { return false };
        if from == self.set.place || from.0 >= self.set.fleet {
            return true;
        }
        self.heard = self.heard.max(now);
        let odd = self.pool.merge(now, from, report) == Merged::Odd;
        if odd && !self.odd.contains(&from) && self.odd.len() < ZONES {
            self.odd.push(from);
            out.push(Output::Say(Event::Odd(from)));
        }
        true
    }

    /// When it wants to be called next.
    pub fn wake(&self) -> Micros {
        self.due
    }

    /// How zones stand.
    pub fn stands(&self) -> &BTreeMap<Zone, Stand> {
        &self.stands
    }

    /// The share that a zone is sent.
    pub fn share(&self, zone: Zone) -> f64 {
        let course = self.stands.get(&zone).map_or(Course::default(), |s| s.course);
        match (self.set.pinned.get(&zone), &self.set.pace) {
            (Some(true), _) | (None, None) => 1.0,
            (Some(false), _) => 0.0,
            (None, Some(pace)) => pace.share(course.level),
        }
    }

    /// Whether clients had better go to senders elsewhere.
    pub fn gives_way(&self) -> bool {
        self.gives_way
    }

    /// Whether this sender doubts itself, and keeps what it had found.
    pub fn is_alone(&self) -> bool {
        self.alone
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now < self.due {
            return;
        }
        self.due = now + BEAT;
        self.beats += 1;
        self.number += 1;
        let seen = self.evidence.seen(now);
        let own = Report {
            stands: self.set.stands,
            life: self.life,
            number: self.number,
            courses: self.courses(),
            seen,
        };
        let cut_off = doubts_itself(&own.seen);
        let word = Word { from: self.set.place, stands: own.stands, courses: &own.courses, seen: &own.seen };
        // To a sender to which everything fails nothing that it sees says much.
        let words: Vec<Word<'_>> =
            self.pool.fresh(now).chain([word]).filter(|w| !doubts_itself(w.seen)).collect();
        let found = judge(&words, &self.set.rules);
        let unheard = self.set.fleet > 1 && now.saturating_sub(self.heard) > ALONE;
        let alone = cut_off || unheard;
        let looks = if self.set.pace.is_some() { self.looks(now, &words) } else { BTreeMap::new() };
        // A call that failed elsewhere, and no more, is no reason to write.
        let doubted = found.values().any(|f| f.standing != Standing::Serving);
        let trouble = doubted || own.seen.iter().any(|s| s.failed > 0);
        if std::mem::replace(&mut self.alone, alone) != alone {
            out.push(Output::Say(Event::Alone(alone)));
        }
        if !alone {
            // What others have taken is followed at once, also by one that has only just begun.
            if now.saturating_sub(self.begun) >= WINDOW {
                self.settle(found, out);
            }
            self.advance(now, looks, out);
            self.ask(now, out);
        }
        self.lean(out);
        self.give_way(now, out);
        // Last, so that a course that was just taken is heard of a beat earlier.
        let courses = self.courses();
        let apart = if self.set.pace.is_some() { self.apart(now, &courses) } else { Vec::new() };
        self.write(now, &Report { courses, ..own }, trouble || !apart.is_empty(), apart, out);
    }

    /// How far zones are left, those that are not at their whole share first.
    fn courses(&self) -> Vec<Taken> {
        let known = self.stands.iter().filter(|(_, s)| s.course != Course::default());
        let mut all: Vec<Taken> =
            known.map(|(&zone, s)| Taken { zone, course: s.course, failed: s.failed }).collect();
        all.sort_by_key(|t| (t.course.is_full(), std::cmp::Reverse(t.course.term)));
        all
    }

    fn write(&mut self, now: Micros, own: &Report, trouble: bool, apart: Vec<Place>, out: &mut Vec<Output>) {
        // While a zone that all have left is left alone there is nothing to be told of it.
        let moves = |s: &Stand| {
            let rests = s.course.is_out() && s.tried.is_none() && now.saturating_sub(s.since) > WINDOW;
            s.standing != Standing::Serving || !s.course.is_full() && !rests
        };
        let trouble = trouble || self.stands.values().any(moves);
        let others = self.set.fleet.saturating_sub(1) as usize;
        if others == 0 || !self.set.writes || !trouble && !self.beats.is_multiple_of(QUIET) {
            return;
        }
        let body = write(own);
        let most = if trouble { FANOUT } else { 1 };
        let to = apart.into_iter().choose_multiple(&mut self.rng, most);
        let anybody = sample(&mut self.rng, others, most.saturating_sub(to.len()).min(others));
        let anybody = anybody.into_iter().map(|n| Place(n as u32 + u32::from(n as u32 >= self.set.place.0)));
        let to: BTreeSet<Place> = to.into_iter().chain(anybody).collect();
        out.extend(to.into_iter().map(|to| Output::Send(to, body.clone())));
    }

    /// Others that were heard and have left some zone less far, or further: these are told first of all. One
    /// that is behind in a fleet that is at rest would else hear too few to follow.
    fn apart(&self, now: Micros, own: &[Taken]) -> Vec<Place> {
        let mine = |zone| own.iter().find(|t| t.zone == zone).map_or(Course::default(), |t| t.course);
        let differs = |w: &Word<'_>| {
            let zones = own.iter().chain(w.courses).map(|t| t.zone);
            zones.into_iter().any(|z| w.taken(z).course != mine(z))
        };
        self.pool.fresh(now).filter(differs).map(|w| w.from).collect()
    }

    /// Takes a standing on that was found long enough.
    fn settle(&mut self, found: BTreeMap<Zone, Finding>, out: &mut Vec<Output>) {
        let known: Vec<Zone> = self.stands.keys().copied().collect();
        for zone in found.keys().copied().chain(known).collect::<BTreeSet<_>>() {
            let full = self.stands.len() >= ZONES && !self.stands.contains_key(&zone);
            if full {
                continue;
            }
            let finding = found.get(&zone).cloned().unwrap_or_default();
            let stand = self.stands.entry(zone).or_default();
            let standing = finding.standing;
            stand.finding = finding;
            if standing == stand.standing {
                stand.next = None;
                continue;
            }
            // Of what was found on one side of how it stands, what is nearest to that counts.
            let worse = standing > stand.standing;
            let (next, times) = match stand.next.filter(|n| (n.0 > stand.standing) == worse) {
                Some((before, times)) if worse => (before.min(standing), times),
                Some((before, times)) => (before.max(standing), times),
                None => (standing, 0),
            };
            let wanted = if next > stand.standing { WORSE } else { BETTER };
            if times + 1 < wanted {
                stand.next = Some((next, times + 1));
                continue;
            }
            let before = std::mem::replace(&mut stand.standing, next);
            (stand.next, stand.changes) = (None, stand.changes + 1);
            let finding = Finding { standing: next, ..stand.finding.clone() };
            let changes = stand.changes;
            out.push(Output::Say(Event::Stands { zone, before, finding, changes }));
        }
        // What nothing is known of any more stands as it did at first. A course is kept: its term may not
        // begin anew while others remember it.
        // And one that is sent less than its whole share, since operators had pinned it, has to be told of.
        self.stands.retain(|_, s| {
            let less = s.leans.as_ref().is_some_and(|l| l.0 < 1.0);
            s.standing != Standing::Serving || s.finding.calls > 0.0 || s.course != Course::default() || less
        });
    }

    /// What is known of each zone that is left, or that others leave.
    fn looks(&self, now: Micros, words: &[Word<'_>]) -> BTreeMap<Zone, Seen> {
        let others = || words.iter().filter(|w| w.from != self.set.place);
        let told = others().flat_map(|w| w.courses.iter().map(|t| t.zone));
        let zones: BTreeSet<Zone> = self.stands.keys().copied().chain(told).collect();
        let fleet = self.set.fleet as usize;
        let look = |zone: Zone| {
            let stand = self.stands.get(&zone).cloned().unwrap_or_default();
            let (told, failed, by) = self.told(zone, stand.course, words);
            let waited = match &self.set.pace {
                Some(pace) => {
                    let wait = pace.wait(stand.course.level, stand.failed) as f64 * (1.0 + stand.spread);
                    now.saturating_sub(stand.since) >= wait as Micros
                }
                None => false,
            };
            // Before it is tried, what comes in is of calls that began before it was left.
            let tried = !stand.course.is_out() || stand.tried.is_some();
            let trial = match tried && !stand.course.is_full() {
                true => trial(zone, (stand.course, &stand.spared), words, &self.set.rules, fleet),
                false => Trial::Open,
            };
            let look = Look { told, trial, waited, ..Look::default() };
            let as_far = others().filter(|w| w.taken(zone).course >= stand.course).count();
            let parted = parted(zone, words, &self.set.rules, fleet);
            (zone, Seen { look, by, failed, with: (as_far, others().count()), parted })
        };
        zones.into_iter().take(ZONES).map(look).collect()
    }

    /// The newest course that enough others have taken, which stand in as many zones as a finding wants, and
    /// who they are. One sender that is wrong or lies is not followed.
    /// Last, how often in a row it has failed, as the most hopeful of them says.
    fn told(&self, zone: Zone, own: Course, words: &[Word<'_>]) -> (Option<Course>, u8, Vec<Place>) {
        let others = words.iter().filter(|w| w.from != self.set.place);
        let mut ahead: Vec<(Taken, Place, Zone)> = others
            .map(|w| (w.taken(zone), w.from, w.stands))
            .filter(|(taken, ..)| taken.course > own)
            .collect();
        ahead.sort_by_key(|a| std::cmp::Reverse(a.0.course));
        let words: Vec<(Course, Zone)> = ahead.iter().map(|a| (a.0.course, a.2)).collect();
        let others = self.set.fleet.saturating_sub(1) as usize;
        let Some(n) = followed(&words, self.set.rules.senders.min(others), self.set.rules.zones) else {
            return (None, 0, Vec::new());
        };
        let failed = ahead[..n].iter().map(|a| a.0.failed).min().unwrap_or(0);
        (Some(ahead[n - 1].0.course), failed, ahead[..n].iter().map(|a| a.1).collect())
    }

    /// Takes courses further.
    fn advance(&mut self, now: Micros, looks: BTreeMap<Zone, Seen>, out: &mut Vec<Output>) {
        let Some(pace) = self.set.pace.clone() else { return };
        for (zone, Seen { look, by, failed, with, parted: (serve, fail) }) in looks {
            if !self.stands.contains_key(&zone) && (look.told.is_none() || self.stands.len() >= ZONES) {
                continue;
            }
            let other = self.listed.iter().any(|z| *z != zone && self.share(*z) >= 1.0);
            let spread = self.rng.random_range(0.0..SPREAD);
            let stand = self.stands.entry(zone).or_default();
            stand.with = with;
            if stand.course.is_full() && stand.failed > 0 && now.saturating_sub(stand.since) >= CALM {
                stand.failed = 0;
            }
            stand.spared.retain(|d| !fail.contains(d));
            let failing = stand.standing == Standing::Failing;
            let look = Look { failing, other, steps: pace.len(), ..look };
            let Some((course, why)) = stand.course.next(&look) else {
                if stand.course.is_out() && look.waited && stand.tried.is_none() {
                    stand.tried = Some(now);
                    self.evidence.forget(now, zone);
                }
                continue;
            };
            let before = std::mem::replace(&mut stand.course, course);
            match (before.is_full(), course.is_full()) {
                (true, false) => stand.spared = serve,
                (_, true) => stand.spared.clear(),
                _ => {}
            }
            stand.failed = match why {
                Why::Told => failed,
                _ => stand.failed.saturating_add(u8::from(course.term > before.term)),
            };
            (stand.since, stand.spread, stand.tried, stand.turn) = (now, spread, None, None);
            // What was found of it before belongs to the step before.
            (stand.standing, stand.next) = (Standing::Serving, None);
            self.evidence.forget(now, zone);
            let on = match why {
                Why::Told => by,
                _ => stand.finding.senders.iter().copied().collect(),
            };
            let (share, failed) = (pace.share(course.level), stand.failed);
            out.push(Output::Say(Event::Takes { zone, before, course, share, why, failed, on }));
        }
    }

    /// Whether it is this sender's turn to call a zone that it would not call: one that is left and may be
    /// back, or one that only its own senders see fail.
    fn ask(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.set.pace.is_none() {
            return;
        }
        let (place, fleet) = (self.set.place, self.set.fleet);
        for (&zone, stand) in &mut self.stands {
            let since = match stand.tried {
                Some(since) if stand.course.is_out() => Some(since),
                _ if stand.course.is_full()
                    && asks(&stand.finding, &self.set.rules)
                    && !stand.finding.from.contains(&self.set.stands) =>
                {
                    Some(self.begun)
                }
                _ => None,
            };
            let turn = since.and_then(|since| turn(place, fleet, now.saturating_sub(since)));
            // What was not tried in a turn is not tried after it: else turns would add up.
            if turn != stand.turn && !self.set.pinned.contains_key(&zone) {
                let share = self.set.pace.as_ref().map_or(1.0, |p| p.share(stand.course.level));
                out.push(Output::Lean { zone, share, tries: turn.is_some(), spared: stand.spared.clone() });
            }
            stand.turn = turn;
        }
    }

    /// Says whether clients had better go elsewhere. Who hears nobody keeps to what it had said.
    fn give_way(&mut self, now: Micros, out: &mut Vec<Output>) {
        let own = self.set.stands;
        let elsewhere = |w: Word<'_>| w.stands != own && self.share(w.stands) >= 1.0;
        let gives_way = self.share(own) < 1.0 && (self.gives_way || self.pool.fresh(now).any(elsewhere));
        if !self.alone && std::mem::replace(&mut self.gives_way, gives_way) != gives_way {
            out.push(Output::GiveWay(gives_way));
        }
    }

    /// Says what zones are to be sent, where that has changed.
    fn lean(&mut self, out: &mut Vec<Output>) {
        let pinned = self.set.pinned.keys().copied();
        for zone in self.stands.keys().copied().chain(pinned).collect::<BTreeSet<_>>() {
            let share = self.share(zone);
            let kept = self.stands.len() < ZONES || self.stands.contains_key(&zone);
            let pinned = self.set.pinned.contains_key(&zone);
            let spared = self.stands.get(&zone).filter(|_| share < 1.0 && !pinned).map(|s| s.spared.clone());
            let now = (share, spared.unwrap_or_default());
            let said = self.stands.get(&zone).and_then(|s| s.leans.as_ref());
            if kept && said.map_or(now.0 != 1.0, |said| *said != now) {
                self.stands.entry(zone).or_default().leans = Some(now.clone());
                out.push(Output::Lean { zone, share, tries: false, spared: now.1 });
            }
        }
    }
}
