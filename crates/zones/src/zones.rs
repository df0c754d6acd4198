//! The machine as a whole: evidence in, notes and findings out.

use crate::evidence::{Came, Evidence, WINDOW};
use crate::judge::{Finding, Rules, Standing, doubts_itself, judge};
use crate::names::{Dest, Micros, Peer, Zone};
use crate::note::{Report, read, write};
use crate::pool::{Merged, Pool};
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;

/// It is looked at, and written of, so often.
pub const BEAT: Micros = 500_000;
/// While anything fails, a beat's note goes to so many others, drawn anew each time: with each passing on the
/// newest that it knows, all of hundreds have heard within a few beats, and each writes as much in a fleet of
/// ten as of a thousand.
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

/// What is set.
#[derive(Clone, Debug)]
pub struct Set {
    /// This sender.
    pub me: Peer,
    /// Where it stands.
    pub stands: Zone,
    /// Other senders that can be written to.
    pub others: usize,
    /// When a zone counts as failing.
    pub rules: Rules,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write this to one of the others, by its place among them.
    Send(usize, Vec<u8>),
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
        term: u64,
    },
    /// A sender contradicts itself; said once for each.
    Odd(Peer),
    /// Nothing was heard of any other sender for long, or everything fails from here: what is found is kept.
    Alone(bool),
}

/// How a zone stands, as found here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stand {
    /// How.
    pub standing: Standing,
    /// How often that has changed.
    pub term: u64,
    /// What was found last.
    pub finding: Finding,
    /// What it may be next, and at how many beats in a row that was found.
    next: Option<(Standing, u32)>,
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
    begun: Micros,
    /// When a note of another sender last came.
    heard: Micros,
    alone: bool,
    beats: u64,
    due: Micros,
    odd: Vec<Peer>,
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
            begun: now,
            heard: now,
            alone: false,
            beats: 0,
            due,
            odd: Vec::new(),
            rng,
        }
    }

    /// A call came to something.
    pub fn observe(&mut self, now: Micros, zone: Zone, dest: Dest, came: Came) {
        self.evidence.observe(now, zone, dest, came);
    }

    /// Another sender wrote. Whether it was a note.
    pub fn heard(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<Output>) -> bool {
        let Some(note) = read(bytes) else { return false };
        for report in note.reports.into_iter().filter(|r| r.aged() <= WINDOW) {
            let from = report.from;
            // What others pass on of this sender it knows better.
            if from == self.set.me {
                continue;
            }
            self.heard = self.heard.max(now);
            if self.pool.merge(now, report) == Merged::Odd
                && !self.odd.contains(&from)
                && self.odd.len() < ZONES
            {
                self.odd.push(from);
                out.push(Output::Say(Event::Odd(from)));
            }
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
        let seen = self.evidence.seen(now);
        self.number += 1;
        let (from, stands) = (self.set.me, self.set.stands);
        let own = Report { from, stands, life: self.life, number: self.number, age: 0, seen };
        let found = judge(now, &self.pool, (from, stands, &own.seen), &self.set.rules);
        self.write(now, own.clone(), &found, out);
        // To a sender to which everything fails, or that hears nobody, nothing that it sees says much.
        let cut_off = doubts_itself(&own.seen);
        let unheard = self.set.others > 0 && now.saturating_sub(self.heard) > ALONE;
        let alone = cut_off || unheard;
        if std::mem::replace(&mut self.alone, alone) != alone {
            out.push(Output::Say(Event::Alone(alone)));
        }
        if !alone && now.saturating_sub(self.begun) >= WINDOW {
            self.settle(found, out);
        }
    }

    fn write(&mut self, now: Micros, own: Report, found: &BTreeMap<Zone, Finding>, out: &mut Vec<Output>) {
        let trouble = found.values().any(|f| f.failed > 0.0)
            || self.stands.values().any(|s| s.standing != Standing::Serving);
        if self.set.others == 0 || !trouble && !self.beats.is_multiple_of(QUIET) {
            return;
        }
        let mut reports = vec![own];
        reports.extend(self.pool.reports(now));
        let body = write(&reports);
        let most = if trouble { FANOUT } else { 1 };
        for to in sample(&mut self.rng, self.set.others, most.min(self.set.others)) {
            out.push(Output::Send(to, body.clone()));
        }
    }

    /// Takes a standing on that was found long enough.
    fn settle(&mut self, found: BTreeMap<Zone, Finding>, out: &mut Vec<Output>) {
        let known: Vec<Zone> = self.stands.keys().copied().collect();
        for zone in found.keys().copied().chain(known).collect::<std::collections::BTreeSet<_>>() {
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
            (stand.next, stand.term) = (None, stand.term + 1);
            let finding = Finding { standing: next, ..stand.finding.clone() };
            let term = stand.term;
            out.push(Output::Say(Event::Stands { zone, before, finding, term }));
        }
        // What nothing is known of any more stands as it did at first.
        self.stands.retain(|_, s| s.standing != Standing::Serving || s.finding.calls > 0.0);
    }
}
