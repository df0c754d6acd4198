//! Copies of what others hold, and this sender's claims on them.

use crate::ledger::{Attempts, Ledger, Row, gone, put};
use crate::names::{FIRST, Holder, Home, Key, Micros, Peer, Term};
use crate::record::{DOUBT, Record, Tried, Verdict};
use crate::view::View;
use crate::witness::{Shown, Why};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a deadline may be off by.
const SLACK: Micros = 20_000;
/// A claim that was not decided is made again so much later.
const AGAIN: Micros = 250_000;
/// One that a witness denied since it hears the owner.
const HEARD: Micros = 1_000_000;

/// A copy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Held {
    pub owner: Holder,
    pub term: Term,
    pub record: Record,
}

/// A claim on its way.
#[derive(Clone, Debug)]
struct Claim {
    from: Holder,
    term: Term,
    /// The try that counts. What was granted in an earlier one may have been released.
    round: u64,
    granted: BTreeMap<Peer, Shown>,
    /// Where it is at home, and which witnesses of the old home have recorded that.
    moved: Option<(Home, BTreeSet<Peer>)>,
    /// Witnesses that gave their home up.
    closed: BTreeSet<Peer>,
    /// When it is made again.
    again: Micros,
}

/// What came of a word on a claim.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Came {
    /// It waits for more.
    Waits,
    /// It stands: these attempts are known, and whether there may be others.
    Stands { term: Term, tried: Attempts, doubt: bool },
    /// It stands, and its message is, or may be, at home elsewhere: that is made certain first.
    Moves { term: Term, to: Home, tried: Attempts },
    /// A witness granted it to this one, which is to give way.
    Blocked(Holder),
    /// It is not gone on with; witnesses that granted it are to be told.
    Released(Term, u64),
    /// The message is over, and so is the copy.
    Over,
}

#[derive(Debug, Default)]
pub(crate) struct Keeper {
    held: BTreeMap<Key, Held>,
    claims: BTreeMap<Key, Claim>,
    /// Who claims a copy's message, as witnesses say, and in which term. It may yet be released, so it says
    /// only whose silence counts: the copy is its owner's until a new one sends its own.
    claimed: BTreeMap<Key, (Holder, Term)>,
    bytes: usize,
    most: usize,
}

impl Keeper {
    /// Copies may take so many bytes.
    pub fn new(most: usize) -> Self {
        Self { most, ..Self::default() }
    }

    pub fn restore(&mut self, key: Key, held: Held) {
        self.bytes += held.record.weight();
        self.held.insert(key, held);
    }

    pub fn restore_sure(&mut self, key: &Key) {
        if let Some(h) = self.held.get_mut(key) {
            h.record.sure = true;
        }
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Bytes that are left.
    pub fn room(&self) -> usize {
        self.most.saturating_sub(self.bytes)
    }

    pub fn get(&self, key: &Key) -> Option<&Held> {
        self.held.get(key)
    }

    /// Whose silence counts for copies here.
    pub fn owners(&self) -> BTreeSet<Holder> {
        self.held.values().map(|h| h.owner).chain(self.claimed.values().map(|c| c.0)).collect()
    }

    /// Who a message belongs to, as far as is known, and in which term.
    fn last(&self, key: &Key, held: &Held) -> (Holder, Term) {
        self.claimed.get(key).copied().unwrap_or((held.owner, held.term))
    }

    /// Copies whose messages belong to somebody like this.
    pub fn owned_by(&self, like: impl Fn(Holder) -> bool) -> impl Iterator<Item = &Held> {
        self.held.iter().filter(move |(k, h)| like(self.last(k, h).0)).map(|(_, h)| h)
    }

    pub fn homes(&self) -> BTreeSet<Home> {
        self.held.keys().map(|k| k.home).collect()
    }

    /// Keeps a copy for `owner`. One of an earlier owner gives way.
    pub fn keep(
        &mut self,
        key: Key,
        owner: Holder,
        term: Term,
        record: Record,
        ledger: &mut dyn Ledger,
    ) -> Result<(), Why> {
        let old = match self.held.get(&key) {
            Some(h) if (h.term, h.owner) != (term, owner) && h.term >= term => {
                return Err(Why::Held { holder: h.owner, term: h.term });
            }
            Some(h) => h.record.weight(),
            None => 0,
        };
        let bytes = self.bytes - old + record.weight();
        let held = Held { owner, term, record };
        if bytes > self.most || !ledger.write(&[put(Row::Copy(key), &held)]) {
            return Err(Why::Room);
        }
        self.bytes = bytes;
        self.held.insert(key, held);
        self.claims.remove(&key);
        self.claimed.remove(&key);
        Ok(())
    }

    /// Its owner has promised it.
    pub fn sure(&mut self, key: Key, term: Term, owner: Holder, ledger: &mut dyn Ledger) {
        let same = |h: &&mut Held| (h.term, h.owner) == (term, owner) && !h.record.sure;
        if let Some(h) = self.held.get_mut(&key).filter(same) {
            // A row of its own: the copy's holds the body.
            h.record.sure = ledger.write(&[put(Row::Sure(key), &())]);
        }
    }

    /// What its owner tells of attempts, and of what it decided.
    pub fn progress(
        &mut self,
        (key, term, owner): (Key, Term, Holder),
        tried: &[Tried],
        verdict: Option<Verdict>,
        deadline: Micros,
        ledger: &mut dyn Ledger,
    ) {
        let Some(h) = self.held.get_mut(&key).filter(|h| (h.term, h.owner) == (term, owner)) else { return };
        let mut news = h.clone();
        tried.iter().for_each(|t| news.record.enter(*t));
        news.record.verdict = verdict.or(news.record.verdict);
        // Each way takes time, and the shortest one says best when it is up. A little is not worth a row.
        if deadline + SLACK < news.record.deadline {
            news.record.deadline = deadline;
        }
        // Unwritten, it is an attempt more for who takes over, or a notice told again.
        if news != *h && ledger.write(&[put(Row::Copy(key), &news)]) {
            *h = news;
        }
    }

    /// The owner, or one after it, says that it is over.
    pub fn over(&mut self, key: Key, term: Term, ledger: &mut dyn Ledger) -> bool {
        match self.held.get(&key) {
            // An owner before the one that is known here: what that one does with it counts.
            Some(h) if h.term > term => true,
            Some(_) => self.drop_copy(key, ledger),
            None => true,
        }
    }

    pub fn drop_copy(&mut self, key: Key, ledger: &mut dyn Ledger) -> bool {
        if self.held.contains_key(&key) && !ledger.write(&[gone(Row::Copy(key)), gone(Row::Sure(key))]) {
            return false;
        }
        self.let_go(key);
        true
    }

    /// The copy became this sender's own; its row went with that.
    pub fn let_go(&mut self, key: Key) -> Option<Held> {
        self.claims.remove(&key);
        self.claimed.remove(&key);
        let held = self.held.remove(&key)?;
        self.bytes -= held.record.weight();
        Some(held)
    }

    /// Claims that are due on copies whose owner is gone: at most `most` of them, those with the least time
    /// first.
    pub fn due(
        &mut self,
        now: Micros,
        round: u64,
        is_gone: impl Fn(Holder) -> bool,
        most: usize,
    ) -> Vec<(Key, Term, u64)> {
        let mut due: Vec<(Micros, Key)> = Vec::new();
        for (key, h) in self.held.iter().filter(|(k, h)| is_gone(self.last(k, h).0)) {
            if self.claims.get(key).is_none_or(|c| c.again <= now) {
                due.push((h.record.deadline, *key));
            }
        }
        due.sort_unstable();
        due.truncate(most);
        due.iter()
            .map(|&(_, key)| {
                let (from, last) = self.last(&key, &self.held[&key]);
                let term = last + 1;
                let claim = self.claims.entry(key).or_insert_with(|| Claim {
                    from,
                    term,
                    round,
                    granted: BTreeMap::new(),
                    moved: None,
                    closed: BTreeSet::new(),
                    again: 0,
                });
                claim.again = now + AGAIN;
                if claim.round == 0 {
                    // Released before: what was granted then is gone.
                    claim.granted.clear();
                    claim.closed.clear();
                    claim.round = round;
                }
                (key, claim.term, claim.round)
            })
            .collect()
    }

    /// Whether a witness has granted a claim already: it has written that.
    pub fn has(&self, key: &Key, by: Peer) -> bool {
        self.claims.get(key).is_some_and(|c| c.granted.contains_key(&by) || c.closed.contains(&by))
    }

    /// What came of a claim so far: where it stands it is carried out, again if need be.
    pub fn standing(&self, view: &View, key: Key) -> Came {
        self.decided(view, key)
    }

    /// Claims whose owner turned up again, and is not gone after all.
    pub fn idle_claims(&self, is_gone: impl Fn(Holder) -> bool) -> Vec<(Key, Term, u64)> {
        let idle = self.claims.iter().filter(|(_, c)| !is_gone(c.from));
        idle.map(|(&key, c)| (key, c.term, c.round)).collect()
    }

    /// Whether a claim is on its way.
    pub fn is_claiming(&self, key: &Key) -> bool {
        self.claims.contains_key(key)
    }

    /// A claim is not gone on with.
    pub fn release(&mut self, key: Key) {
        self.claims.remove(&key);
    }

    /// A witness granted a claim.
    pub fn granted(
        &mut self,
        view: &View,
        (key, term, round): (Key, Term, u64),
        by: Peer,
        shown: Shown,
    ) -> Came {
        let same = |c: &&mut Claim| (c.term, c.round) == (term, round);
        let Some(claim) = self.claims.get_mut(&key).filter(same) else { return Came::Waits };
        claim.granted.insert(by, shown);
        self.decided(view, key)
    }

    fn decided(&self, view: &View, key: Key) -> Came {
        let Some(claim) = self.claims.get(&key) else { return Came::Waits };
        if claim.granted.len() + claim.closed.len() < view.grants(key.home) {
            return Came::Waits;
        }
        let mut all = Attempts::new();
        for t in claim.granted.values().flat_map(|g| &g.0) {
            match all.iter_mut().find(|k| k.number == t.number) {
                Some(known) => known.never_ran |= t.never_ran,
                None => all.push(*t),
            }
        }
        // A move that was done is known to one of them; one that was begun may have been done. The last
        // term's word counts.
        match claim.granted.values().filter_map(|g| g.1).max_by_key(|m| m.0) {
            Some((_, to)) => Came::Moves { term: claim.term, to, tried: all },
            None => Came::Stands { term: claim.term, tried: all, doubt: !claim.closed.is_empty() },
        }
    }

    /// A witness has recorded where a claimed message is at home. Once as many have as a claim needs, nobody
    /// can own it in the old home any more, and the copy goes over to the new one.
    pub fn moved(
        &mut self,
        view: &View,
        (key, term, to): (Key, Term, Home),
        by: Peer,
        tried: &[Tried],
        ledger: &mut dyn Ledger,
    ) {
        let Some(claim) = self.claims.get_mut(&key).filter(|c| c.term == term) else { return };
        let known = claim.moved.get_or_insert_with(|| (to, BTreeSet::new()));
        if known.0 != to {
            *known = (to, BTreeSet::new());
        }
        known.1.insert(by);
        if known.1.len() < view.grants(key.home) {
            return;
        }
        let Some(held) = self.held.get(&key) else { return };
        let there = Key { home: to, ..key };
        let mut rows = vec![gone(Row::Copy(key)), gone(Row::Sure(key))];
        let mut news = None;
        if !self.held.contains_key(&there) {
            let mut moved = Held { owner: to.holder, term: FIRST, record: held.record.clone() };
            claim.granted.values().flat_map(|g| &g.0).chain(tried).for_each(|t| moved.record.enter(*t));
            if !claim.closed.is_empty() {
                moved.record.enter(DOUBT);
            }
            rows.push(put(Row::Copy(there), &moved));
            news = Some(moved);
        }
        if !ledger.write(&rows) {
            return;
        }
        self.let_go(key);
        if let Some(moved) = news {
            self.restore(there, moved);
        }
    }

    /// A witness did not grant a claim.
    pub fn denied(
        &mut self,
        view: &View,
        now: Micros,
        (key, term, round): (Key, Term, u64),
        by: Peer,
        why: Why,
        is_gone: impl Fn(Holder) -> bool,
    ) -> Came {
        let same = |c: &&mut Claim| (c.term, c.round) == (term, round);
        let Some(claim) = self.claims.get_mut(&key).filter(same) else { return Came::Waits };
        match why {
            Why::Over => Came::Over,
            Why::Closed => {
                claim.closed.insert(by);
                self.decided(view, key)
            }
            Why::Held { holder, term: theirs } => {
                let rival = theirs == term && !view.before(key.id, holder.peer, view.me());
                // It gives way to this sender, and what it was granted comes back; unless nobody is there to.
                if rival && !is_gone(holder) {
                    return Came::Blocked(holder);
                }
                // From now on it is that one's silence that counts.
                if self.held.get(&key).is_some_and(|h| self.last(&key, h).1 < theirs) {
                    self.claimed.insert(key, (holder, theirs));
                }
                self.claims.remove(&key);
                Came::Released(term, round)
            }
            Why::Hears => {
                // What others granted, or grant yet, must not keep the owner from its attempts meanwhile: it
                // is released, and no word on this try counts from here on.
                claim.again = now + HEARD;
                claim.round = 0;
                claim.granted.clear();
                Came::Released(term, round)
            }
            Why::Unknown | Why::Room | Why::Moved(_) => Came::Waits,
        }
    }

    /// Copies whose time was up before `unix` and whose owner is gone: nobody was there to grant a claim.
    pub fn forlorn(&self, unix: Micros, is_gone: impl Fn(Holder) -> bool) -> Vec<Key> {
        let old = self.held.iter().filter(|(_, h)| h.record.deadline < unix && is_gone(h.owner));
        old.map(|(&k, _)| k).collect()
    }

    /// Claims of others that copies here wait for: whether they are gone on with is to be asked. Two that
    /// each take the other for the one that does would wait for ever.
    pub fn awaited(&self, most: usize) -> Vec<(Holder, Key)> {
        self.claimed.iter().map(|(&k, c)| (c.0, k)).take(most).collect()
    }

    /// One does not go on with its claim.
    pub fn not_claimed(&mut self, key: &Key, by: Holder) {
        if self.claimed.get(key).is_some_and(|c| c.0 == by) {
            self.claimed.remove(key);
        }
    }

    /// Copies whose time was up before `unix`, of owners that are there: whether they still own them is to
    /// be asked.
    pub fn overdue(&self, unix: Micros, most: usize) -> Vec<(Holder, Key)> {
        let old = self.held.iter().filter(|(_, h)| h.record.deadline < unix);
        old.map(|(&k, h)| (h.owner, k)).take(most).collect()
    }
}
