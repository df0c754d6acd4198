//! What this sender holds itself: where copies of it are, what is promised, and the consents to attempts.

use crate::names::{FIRST, Holder, Home, Id, Key, Micros, Peer, Reign, Term};
use crate::record::Record;
use crate::view::View;
use std::collections::{BTreeMap, BTreeSet};

/// Ends that keepers have not heard of yet. Beyond, the oldest is not told again: its copies go when their
/// time is up.
const OWED: usize = 65_536;

/// How a keeper that was asked fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Asked {
    /// Since then.
    Waits(Micros),
    /// Another one was asked as well, since it took longer than usual.
    Late,
    Kept,
    /// It may have a copy, or not, and can be asked again.
    Unsure,
}

/// A message of this sender's own.
#[derive(Debug)]
pub(crate) struct Own {
    pub home: Home,
    pub term: Term,
    pub record: Record,
    /// All that may have a copy, and in which of their lives.
    pub asked: BTreeMap<Peer, (Reign, Asked)>,
    /// Its client waits: until then it may be withdrawn, and nothing of it is sent.
    pub promised: bool,
    /// That there are too few keepers was said.
    pub short: bool,
    /// Copies may exist that are not known of: of an earlier process's keepers, or of an earlier home.
    pub recovered: bool,
    /// Some witness was asked for a consent.
    pub intended: bool,
    /// Who, as witnesses say, owns it now.
    pub told: BTreeMap<Peer, (Holder, Term)>,
    /// Where it is moved to, since when it was last asked, and which witnesses have recorded that.
    pub moving: Option<(Home, Micros, BTreeSet<Peer>)>,
    /// Copies in homes that it had before.
    pub before: Vec<(Key, Term, BTreeSet<Peer>)>,
    /// The last time that it was given to keepers anew.
    pub placed: Micros,
}

impl Own {
    pub fn new(home: Home, term: Term, record: Record) -> Self {
        Self {
            home,
            term,
            record,
            asked: BTreeMap::new(),
            promised: false,
            short: false,
            recovered: false,
            intended: false,
            told: BTreeMap::new(),
            moving: None,
            before: Vec::new(),
            placed: 0,
        }
    }

    pub fn key(&self, id: Id) -> Key {
        Key { home: self.home, id }
    }

    pub fn waiting(&self) -> usize {
        self.asked.values().filter(|a| matches!(a.1, Asked::Waits(_))).count()
    }

    /// Whether an attempt with this number may only be made once witnesses have recorded it. Those of a
    /// message that may be repeated go on without, up to half of the attempts: the other half is for who
    /// takes over, so that together they stay under the limit.
    pub fn needs_consent(&self, number: u32, attempts: u32) -> bool {
        self.record.careful || self.term > FIRST || number >= free_attempts(attempts)
    }
}

/// Attempts that a first owner may make without a word to anyone.
pub(crate) fn free_attempts(attempts: u32) -> u32 {
    attempts.div_ceil(2)
}

/// A consent that is waited for.
#[derive(Debug, Default)]
pub(crate) struct Consent {
    pub by: BTreeSet<Peer>,
    pub refused: BTreeSet<Peer>,
    pub granted: bool,
}

impl Consent {
    /// How many it takes.
    /// The same count closes a home: whoever claims there meets one of them.
    pub fn needed(view: &View, own: &Own) -> usize {
        if own.term == FIRST { view.consents() } else { view.grants(own.home) }
    }
}

/// The end of a message, as far as it is not known everywhere.
#[derive(Debug)]
pub(crate) struct Owed {
    pub term: Term,
    /// Keepers and witnesses that have not heard.
    pub left: BTreeSet<Peer>,
    /// Once all have heard, witnesses may forget it.
    pub forget: bool,
}

/// All that is this sender's own.
#[derive(Debug, Default)]
pub(crate) struct Owner {
    pub own: BTreeMap<Id, Own>,
    pub consents: BTreeMap<(Id, u32), Consent>,
    pub owed: BTreeMap<Key, Owed>,
    /// The order in which ends came.
    order: std::collections::VecDeque<Key>,
    /// When keepers that were asked are late.
    pub dues: BTreeSet<(Micros, Id)>,
}

impl Owner {
    /// Lets a message go. Gives what is owed for it.
    pub fn end(&mut self, id: Id, witnesses: &[Peer]) -> Option<(Key, Vec<Peer>)> {
        let own = self.own.remove(&id)?;
        self.consents.retain(|(i, _), _| *i != id);
        let key = own.key(id);
        let mut left: BTreeSet<Peer> = own.asked.keys().copied().collect();
        if own.intended || own.term > FIRST {
            left.extend(witnesses);
        }
        if left.is_empty() {
            return None;
        }
        let forget = own.intended && own.term == FIRST && !own.recovered;
        let told = left.iter().copied().collect();
        self.owe(key, Owed { term: own.term, left, forget });
        Some((key, told))
    }

    /// An end that is to be told.
    pub fn owe(&mut self, key: Key, owed: Owed) {
        self.owed.insert(key, owed);
        self.order.push_back(key);
        while self.order.len() > OWED {
            if let Some(oldest) = self.order.pop_front() {
                self.owed.remove(&oldest);
            }
        }
    }

    /// A keeper or witness has heard of an end. Whether all have, and witnesses may forget it.
    pub fn heard(&mut self, key: Key, by: Peer) -> bool {
        let Some(owed) = self.owed.get_mut(&key) else { return false };
        owed.left.remove(&by);
        if !owed.left.is_empty() {
            return false;
        }
        let forget = owed.forget;
        self.owed.remove(&key);
        while self.order.front().is_some_and(|k| !self.owed.contains_key(k)) {
            self.order.pop_front();
        }
        forget
    }

    /// What one has not heard of.
    pub fn owed_to(&self, peer: Peer) -> Vec<(Key, Term)> {
        let owed = self.owed.iter().filter(|(_, o)| o.left.contains(&peer));
        owed.map(|(&k, o)| (k, o.term)).collect()
    }
}
