//! What a witness grants and refuses. It remembers each word that it gave for as long as somebody may act
//! on it, and never answers from what it does not know.

use crate::ledger::{Attempts, Change, Ledger, Row, gone, put};
use crate::names::{FIRST, Holder, Home, Id, Key, Term};
use crate::record::Tried;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Messages that a witness remembers something of. Beyond, the oldest is forgotten and its home closed:
/// nobody owns anything there any more on this witness's word. One takes some 150 bytes.
pub const SEATS: usize = 65_536;
/// Homes that a witness remembers: each life and epoch of the few senders that it witnesses for.
const HOMES: usize = 4_096;
/// A release of whatever was granted in terms after the one that stands beside it.
pub(crate) const ANY: u64 = u64::MAX;
/// Claims on one message that were granted and not released.
const CLAIMS: usize = 16;
/// Attempts of one message; the settings' limit is far below.
const ATTEMPTS: usize = 256;

/// Why something was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// The home was never made known here, or in a life that is over.
    Unknown,
    /// The owner is heard here.
    Hears,
    /// Somebody else owns it, in this term.
    Held {
        /// Who.
        holder: Holder,
        /// In which term.
        term: Term,
    },
    /// It is at home elsewhere by now.
    Moved(Home),
    /// It is over.
    Over,
    /// What was known of that home was given up: nothing of it may be attempted on this word.
    Closed,
    /// No room, or a disk that takes nothing.
    Room,
}

/// What is known of one message: nothing is, until an attempt or a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Seat {
    pub term: Term,
    pub holder: Holder,
    /// Who held it before, and in which try, the last one last: claims that may yet be released, and who
    /// owns it if all of them are.
    pub prior: Vec<(Term, Holder, u64)>,
    /// The claimant's try that it was granted in.
    pub round: u64,
    pub tried: Attempts,
    /// Its owner has moved it to another home, or began to, and in which term.
    pub moved: Option<(Term, Home)>,
    pub over: bool,
}

/// What a claimant is shown: attempts, and where the message may be at home by now.
pub(crate) type Shown = (Attempts, Option<(Term, Home)>);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Witness {
    seats: BTreeMap<Key, Seat>,
    /// In the order in which they are forgotten.
    order: VecDeque<Key>,
    /// Homes made known here, and whether each is closed.
    homes: BTreeMap<Home, bool>,
    most: usize,
}

impl Witness {
    pub fn new(most: usize) -> Self {
        Self { most, ..Self::default() }
    }

    pub fn restore_home(&mut self, home: Home, closed: bool) {
        self.homes.insert(home, closed);
    }

    pub fn restore_seat(&mut self, key: Key, seat: Seat) {
        if self.seats.insert(key, seat).is_none() {
            self.order.push_back(key);
        }
    }

    pub fn seats(&self) -> usize {
        self.seats.len()
    }

    /// A home's first word. It comes once for each life of this witness, or never again.
    pub fn register(&mut self, home: Home, ledger: &mut dyn Ledger) -> Result<(), Why> {
        if !self.homes.contains_key(&home) {
            if self.homes.len() >= HOMES || !ledger.write(&[put(Row::Home(home), &false)]) {
                return Err(Why::Room);
            }
            self.homes.insert(home, false);
        }
        Ok(())
    }

    fn closed(&self, home: &Home) -> Result<bool, Why> {
        self.homes.get(home).copied().ok_or(Why::Unknown)
    }

    /// Makes room for one more, where there is none: the oldest is forgotten, and its home is closed, so
    /// that what is not known of a message is never taken for nothing to be known.
    fn make_room(&mut self, changes: &mut Vec<Change>) -> Option<Key> {
        if self.seats.len() < self.most {
            return None;
        }
        // What was forgotten earlier by its owner's word is in the order still.
        let oldest = self.order.iter().find(|&k| self.seats.contains_key(k)).copied()?;
        changes.push(gone(Row::Seat(oldest)));
        changes.push(put(Row::Home(oldest.home), &true));
        Some(oldest)
    }

    fn enter(&mut self, key: Key, seat: Seat, ledger: &mut dyn Ledger) -> Result<(), Why> {
        let mut changes = vec![put(Row::Seat(key), &seat)];
        let known = self.seats.contains_key(&key);
        let oldest = if known { None } else { self.make_room(&mut changes) };
        if !ledger.write(&changes) {
            return Err(Why::Room);
        }
        if let Some(oldest) = oldest {
            self.seats.remove(&oldest);
            self.homes.insert(oldest.home, true);
            while self.order.front().is_some_and(|k| !self.seats.contains_key(k)) {
                self.order.pop_front();
            }
        }
        if !known {
            // The order names few that are gone: each is passed once.
            if self.order.len() >= 2 * self.most {
                self.order.retain(|k| self.seats.contains_key(k));
            }
            self.order.push_back(key);
        }
        self.seats.insert(key, seat);
        Ok(())
    }

    /// Records that `by`, the owner in this term, is about to attempt a message.
    pub fn intend(
        &mut self,
        key: Key,
        term: Term,
        by: Holder,
        tried: Tried,
        ledger: &mut dyn Ledger,
    ) -> Result<(), Why> {
        let mut seat = self.owned(key, term, by)?;
        if let Some((_, to)) = seat.moved {
            return Err(Why::Moved(to));
        }
        let full = seat.tried.len() >= ATTEMPTS;
        match seat.tried.iter_mut().find(|t| t.number == tried.number) {
            Some(known) if !known.never_ran => return Ok(()),
            // It was given up before its first byte, and is made after all.
            Some(known) => known.never_ran = false,
            None if full => return Err(Why::Room),
            None => seat.tried.push(tried),
        }
        self.enter(key, seat, ledger)
    }

    /// What is known of a message, for a word of its owner in this term.
    fn owned(&self, key: Key, term: Term, by: Holder) -> Result<Seat, Why> {
        let closed = self.closed(&key.home)?;
        match self.seats.get(&key) {
            Some(seat) if seat.over => Err(Why::Over),
            Some(seat) if (seat.term, seat.holder) != (term, by) => {
                Err(Why::Held { holder: seat.holder, term: seat.term })
            }
            Some(seat) => Ok(seat.clone()),
            None => Self::first(key, term, by, closed),
        }
    }

    /// What a first word on a message begins with.
    fn first(key: Key, term: Term, by: Holder, closed: bool) -> Result<Seat, Why> {
        // What was forgotten may have been claimed.
        if closed {
            return Err(Why::Closed);
        }
        // Of a claim in a later term this witness has not heard: it is not the one to add to it.
        if term != FIRST || by != key.home.holder {
            return Err(Why::Unknown);
        }
        Ok(Seat {
            term,
            holder: by,
            prior: Vec::new(),
            round: 0,
            tried: Vec::new(),
            moved: None,
            over: false,
        })
    }

    /// Records that `by`, the owner in this term, moves a message to another home, with all attempts that it
    /// knows of. From then on nothing of it is attempted here.
    pub fn move_on(
        &mut self,
        key: Key,
        (term, by): (Term, Holder),
        to: Home,
        tried: &[Tried],
        ledger: &mut dyn Ledger,
    ) -> Result<(), Why> {
        let mut seat = self.owned(key, term, by)?;
        if let Some((_, known)) = seat.moved.filter(|m| m.0 == term && m.1 != to) {
            return Err(Why::Moved(known));
        }
        for t in tried.iter().take(ATTEMPTS) {
            match seat.tried.iter_mut().find(|k| k.number == t.number) {
                Some(known) => *known = *t,
                None => seat.tried.push(*t),
            }
        }
        seat.moved = Some((term, to));
        self.enter(key, seat, ledger)
    }

    /// Grants a message to `by`, unless `hears` says that its owner is there. Gives the attempts known of.
    pub fn claim(
        &mut self,
        (key, term, round): (Key, Term, u64),
        by: Holder,
        hears: impl Fn(Holder) -> bool,
        ledger: &mut dyn Ledger,
    ) -> Result<Shown, Why> {
        let closed = self.closed(&key.home)?;
        let mut prior = self.seats.get(&key).map_or_else(Vec::new, |s| s.prior.clone());
        if prior.len() >= CLAIMS {
            return Err(Why::Room);
        }
        let (now, holder, (tried, moved)) = match self.seats.get(&key) {
            Some(seat) if seat.over => return Err(Why::Over),
            Some(seat) if (seat.term, seat.holder) == (term, by) => {
                let seat = Seat { round, ..seat.clone() };
                let shown = (seat.tried.clone(), seat.moved);
                return self.enter(key, seat, ledger).map(|()| shown);
            }
            Some(seat) => (seat.term, seat.holder, (seat.tried.clone(), seat.moved)),
            None if closed => return Err(Why::Closed),
            None => (FIRST, key.home.holder, (Vec::new(), None)),
        };
        if term <= now {
            return Err(Why::Held { holder, term: now });
        }
        if holder != by && hears(holder) {
            return Err(Why::Hears);
        }
        prior.push((now, holder, self.seats.get(&key).map_or(0, |s| s.round)));
        let seat = Seat { term, holder: by, prior, round, tried: tried.clone(), moved, over: false };
        self.enter(key, seat, ledger)?;
        Ok((tried, moved))
    }

    /// A claim that its claimant does not go on with is as if it had not been.
    pub fn release(&mut self, (key, term, round): (Key, Term, u64), by: Holder, ledger: &mut dyn Ledger) {
        let which = |(t, holder, r): (Term, Holder, u64)| {
            let of_try = match round {
                ANY => t > term,
                _ => (t, r) == (term, round),
            };
            holder == by && of_try
        };
        let Some(seat) = self.seats.get(&key).filter(|s| !s.over) else { return };
        let mut seat = seat.clone();
        // The first is its owner, who claimed nothing here.
        let keep = seat.prior.len().min(1);
        let mut later = seat.prior.split_off(keep);
        later.retain(|&p| !which(p));
        seat.prior.append(&mut later);
        if which((seat.term, seat.holder, seat.round)) {
            let Some((term, holder, round)) = seat.prior.pop() else { return };
            (seat.term, seat.holder, seat.round) = (term, holder, round);
        }
        if self.seats.get(&key) == Some(&seat) {
            return;
        }
        // Unwritten, the claim stands: that costs time, and no safety.
        let _ = self.enter(key, seat, ledger);
    }

    /// Its owner says that it is over. Whether that is recorded, where there was anything.
    pub fn over(&mut self, key: Key, term: Term, by: Holder, ledger: &mut dyn Ledger) -> bool {
        let Some(seat) = self.seats.get(&key).filter(|s| (s.term, s.holder) == (term, by) && !s.over) else {
            return true;
        };
        let seat = Seat { over: true, ..seat.clone() };
        self.enter(key, seat, ledger).is_ok()
    }

    /// An outcome proved that an attempt never ran, says its owner. Of one that owns it no more, a number may
    /// mean another attempt by now.
    pub fn never_ran(
        &mut self,
        (key, term, by): (Key, Term, Holder),
        tried: &[Tried],
        ledger: &mut dyn Ledger,
    ) {
        let Some(seat) = self.seats.get(&key).filter(|s| (s.term, s.holder) == (term, by)) else { return };
        let mut seat = seat.clone();
        let mut news = false;
        for t in tried.iter().filter(|t| t.never_ran) {
            for known in seat.tried.iter_mut().filter(|k| k.number == t.number && !k.never_ran) {
                (known.never_ran, news) = (true, true);
            }
        }
        if news {
            let _ = self.enter(key, seat, ledger);
        }
    }

    /// All who had a copy have let it go, says who took it on. What was claimed stays known: others may have
    /// copies that it does not know of.
    pub fn forget(&mut self, key: Key, by: Holder, ledger: &mut dyn Ledger) {
        let own = |s: &&Seat| s.over && s.term == FIRST && s.holder == by && by == key.home.holder;
        if self.seats.get(&key).filter(own).is_some() && ledger.write(&[gone(Row::Seat(key))]) {
            self.seats.remove(&key);
        }
    }

    /// What of a home was claimed.
    pub fn claimed(&self, home: Home) -> Vec<(Id, Holder, Term)> {
        let (from, to) = (Key { home, id: Id(0) }, Key { home, id: Id(u64::MAX) });
        let claimed = self.seats.range(from..=to).filter(|(_, s)| s.term > FIRST);
        claimed.map(|(k, s)| (k.id, s.holder, s.term)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::names::{Epoch, Peer, Reign};
    use crate::record::Record;

    #[derive(Default)]
    struct Paper {
        full: bool,
    }

    impl Ledger for Paper {
        fn write(&mut self, _: &[Change]) -> bool {
            !self.full
        }

        fn adopt(&mut self, _: Id, _: &Record, _: &[Change]) -> bool {
            !self.full
        }
    }

    fn holder(n: u64) -> Holder {
        Holder { peer: Peer(n), reign: Reign(n) }
    }

    fn key(id: u64) -> Key {
        Key { home: Home { holder: holder(1), epoch: Epoch(0) }, id: Id(id) }
    }

    fn attempt(number: u32) -> Tried {
        Tried { number, endpoint: 1, at: 0, never_ran: false }
    }

    fn witness(most: usize) -> (Witness, Paper) {
        let (mut witness, mut paper) = (Witness::new(most), Paper::default());
        witness.register(key(0).home, &mut paper).expect("room");
        (witness, paper)
    }

    #[test]
    fn who_was_claimed_from_is_refused_and_who_claims_is_shown_what_was_tried() {
        let (mut w, mut paper) = witness(10);
        w.intend(key(1), FIRST, holder(1), attempt(0), &mut paper).expect("the owner's");
        let known = w.claim((key(1), 2, 1), holder(2), |_| false, &mut paper).expect("nobody is heard");
        assert_eq!(known, (vec![attempt(0)], None));
        let held = Why::Held { holder: holder(2), term: 2 };
        assert_eq!(w.intend(key(1), FIRST, holder(1), attempt(1), &mut paper), Err(held));
        assert_eq!(w.claim((key(1), 2, 1), holder(3), |_| false, &mut paper), Err(held));
        w.intend(key(1), 2, holder(2), attempt(1), &mut paper).expect("the new owner's");
        let known = w.claim((key(1), 3, 1), holder(3), |_| false, &mut paper).expect("a later term");
        assert_eq!(known.0.len(), 2);
        assert_eq!(w.claimed(key(0).home), [(Id(1), holder(3), 3)]);
    }

    #[test]
    fn a_single_accusing_link_is_not_enough_where_the_owner_is_heard() {
        let (mut w, mut paper) = witness(10);
        assert_eq!(w.claim((key(1), 2, 1), holder(2), |h| h == holder(1), &mut paper), Err(Why::Hears));
        w.intend(key(1), FIRST, holder(1), attempt(0), &mut paper).expect("it still owns it");
    }

    #[test]
    fn a_claim_that_is_released_leaves_the_owner_where_it_was() {
        let (mut w, mut paper) = witness(10);
        w.claim((key(1), 2, 1), holder(2), |_| false, &mut paper).expect("granted");
        w.release((key(1), 2, 1), holder(3), &mut paper);
        w.release((key(1), 2, 0), holder(2), &mut paper);
        assert!(
            w.intend(key(1), FIRST, holder(1), attempt(0), &mut paper).is_err(),
            "not its claim, not that try"
        );
        w.release((key(1), 2, 1), holder(2), &mut paper);
        w.intend(key(1), FIRST, holder(1), attempt(0), &mut paper).expect("it owns it again");
    }

    #[test]
    fn only_its_owner_says_that_an_attempt_never_ran() {
        let (mut w, mut paper) = witness(10);
        w.claim((key(1), 2, 1), holder(2), |_| false, &mut paper).expect("granted");
        w.intend(key(1), 2, holder(2), attempt(0), &mut paper).expect("the new owner's");
        let never = [Tried { never_ran: true, ..attempt(0) }];
        w.never_ran((key(1), FIRST, holder(1)), &never, &mut paper);
        let known = w.claim((key(1), 3, 1), holder(3), |_| false, &mut paper).expect("granted");
        assert_eq!(known.0, [attempt(0)], "the old owner's number is another attempt");
        w.never_ran((key(1), 3, holder(3)), &never, &mut paper);
        let known = w.claim((key(1), 4, 1), holder(4), |_| false, &mut paper).expect("granted");
        assert_eq!(known.0, never);
    }

    #[test]
    fn what_was_moved_is_attempted_there_no_more_and_who_claims_is_shown_where_it_went() {
        let (mut w, mut paper) = witness(10);
        let (to, other) =
            (Home { holder: holder(1), epoch: Epoch(1) }, Home { holder: holder(1), epoch: Epoch(2) });
        let own = (FIRST, holder(1));
        w.move_on(key(1), own, to, &[attempt(0)], &mut paper).expect("the owner's");
        assert_eq!(w.intend(key(1), FIRST, holder(1), attempt(1), &mut paper), Err(Why::Moved(to)));
        assert_eq!(w.move_on(key(1), own, other, &[], &mut paper), Err(Why::Moved(to)), "once begun");
        let shown = w.claim((key(1), 2, 1), holder(2), |_| false, &mut paper).expect("granted");
        assert_eq!(shown, (vec![attempt(0)], Some((FIRST, to))));
        assert!(w.move_on(key(1), own, to, &[], &mut paper).is_err(), "it is another's");
        w.move_on(key(1), (2, holder(2)), to, &[], &mut paper).expect("it ends what was begun");
    }

    #[test]
    fn a_witness_that_lost_its_memory_says_so_and_grants_nothing() {
        let (mut w, mut paper) = (Witness::new(10), Paper::default());
        assert_eq!(w.claim((key(1), 2, 1), holder(2), |_| false, &mut paper), Err(Why::Unknown));
        assert_eq!(w.intend(key(1), FIRST, holder(1), attempt(0), &mut paper), Err(Why::Unknown));
    }

    #[test]
    fn what_gives_way_closes_its_home_and_nothing_is_granted_there_from_ignorance() {
        let (mut w, mut paper) = witness(3);
        for id in 0..4 {
            w.intend(key(id), FIRST, holder(1), attempt(0), &mut paper).expect("room is made");
        }
        assert_eq!(w.seats(), 3);
        assert_eq!(w.claim((key(0), 2, 1), holder(2), |_| false, &mut paper), Err(Why::Closed));
        assert_eq!(w.intend(key(9), FIRST, holder(1), attempt(0), &mut paper), Err(Why::Closed));
        assert!(w.claim((key(3), 2, 1), holder(2), |_| false, &mut paper).is_ok(), "what is known goes on");
    }

    #[test]
    fn what_is_over_is_forgotten_by_its_owners_word_and_only_unless_it_was_claimed() {
        let (mut w, mut paper) = witness(10);
        for id in 1..=2 {
            w.intend(key(id), FIRST, holder(1), attempt(0), &mut paper).expect("the owner's");
        }
        w.claim((key(2), 2, 1), holder(2), |_| false, &mut paper).expect("granted");
        w.forget(key(1), holder(1), &mut paper);
        assert_eq!(w.seats(), 2, "not over");
        assert!(w.over(key(1), FIRST, holder(1), &mut paper) && w.over(key(2), 2, holder(2), &mut paper));
        assert_eq!(w.claim((key(1), 2, 1), holder(2), |_| false, &mut paper), Err(Why::Over));
        (1..=2).for_each(|id| w.forget(key(id), holder(1), &mut paper));
        assert_eq!(w.seats(), 1);
        assert_eq!(w.claim((key(2), 3, 1), holder(3), |_| false, &mut paper), Err(Why::Over));
    }

    #[test]
    fn what_the_disk_does_not_take_was_not_granted() {
        let (mut w, mut paper) = witness(10);
        paper.full = true;
        assert_eq!(w.intend(key(1), FIRST, holder(1), attempt(0), &mut paper), Err(Why::Room));
        assert_eq!(w.claim((key(1), 2, 1), holder(2), |_| false, &mut paper), Err(Why::Room));
        paper.full = false;
        assert_eq!(
            w.claim((key(1), 2, 1), holder(2), |_| false, &mut paper),
            Ok((vec![], None)),
            "nothing was kept"
        );
    }
}
