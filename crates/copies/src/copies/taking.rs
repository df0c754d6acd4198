//! Taking over what a sender held that is gone.

use super::*;

impl Copies {
    /// What came of a word on a claim.
    pub(super) fn came(&mut self, key: Key, came: Came, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        match came {
            Came::Waits => {}
            Came::Released(term, round) => self.release(key, term, round, ledger, out),
            Came::Blocked(rival) => {
                self.dial(rival.peer, out);
                self.ask(rival.peer, Frame::Check { keys: vec![key] }, out);
            }
            Came::Over => drop(self.keeper.drop_copy(key, ledger)),
            Came::Moves { term, to, tried } => self.end_move((key, term), to, &tried, ledger, out),
            Came::Stands { term, tried, doubt } => self.adopt(key, term, tried, doubt, ledger, out),
        }
    }

    pub(super) fn denied(&mut self, claim: (Key, Term, u64), by: Peer, why: Why) -> Came {
        // Lent for the call: who is gone is asked of the rest.
        let mut keeper = std::mem::take(&mut self.keeper);
        let came = keeper.denied(&self.view, self.at.now, claim, by, why, |h| self.is_gone(h));
        self.keeper = keeper;
        came
    }

    pub(super) fn release(
        &mut self,
        key: Key,
        term: Term,
        round: u64,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        for peer in self.view.witnesses(key.home) {
            if peer == self.view.me() {
                self.witness.release((key, term, round), self.me.holder, ledger);
            } else {
                self.ask(peer, Frame::Release { round, claims: vec![(key, term)] }, out);
            }
        }
    }

    /// A claim stands: the message is this sender's, with all that is known of its attempts.
    pub(super) fn adopt(
        &mut self,
        key: Key,
        term: Term,
        tried: Vec<Tried>,
        doubt: bool,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        if self.owner.own.contains_key(&key.id) {
            // A copy in an earlier home of what this sender owns already.
            self.keeper.drop_copy(key, ledger);
            return;
        }
        let Some(held) = self.keeper.get(&key) else { return };
        let (from, mut record) = (held.owner, held.record.clone());
        tried.into_iter().for_each(|t| record.enter(t));
        // Whoever handed it in may not have heard 202, and may have handed it in again: it is ended, which
        // harms neither.
        if doubt || record.careful && !record.sure {
            record.enter(DOUBT);
        }
        // Its first owner may have made these without a word.
        let free = free_attempts(self.set.attempts);
        if !record.careful && free > 0 && record.tried.iter().all(|t| t.number + 1 < free) {
            record.enter(Tried { number: free - 1, endpoint: 0, at: self.at.unix, never_ran: true });
        }
        let place = Place { home: key.home, term };
        let rows = [put(Row::Own(key.id), &place), gone(Row::Copy(key)), gone(Row::Sure(key))];
        if !ledger.adopt(key.id, &record, &rows) {
            out.push(Output::Say(Event::Unwritten));
            return;
        }
        self.keeper.let_go(key);
        record.sure = true;
        self.places.insert(key.id, place);
        let mut own = Own::new(key.home, term, record);
        own.promised = true;
        // Should it be there after all, it has a copy of what was its own.
        own.asked.insert(from.peer, (from.reign, Asked::Unsure));
        self.owner.own.insert(key.id, own);
        *self.took.entry(from).or_default() += 1;
        out.push(Output::Adopted(key.id));
        self.place(key.id, out);
        if self.lives.get(&from.peer).is_none_or(|l| l.current == from.reign) && from != self.me.holder {
            self.taken.entry(from).or_default().insert(key, term);
            self.dial(from.peer, out);
            self.ask(from.peer, Frame::Taken { claims: vec![(key, term)] }, out);
        }
    }

    pub(super) fn claim(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        self.round += 1;
        let (round, now) = (self.round, self.at.now);
        // Lent for the call: who is gone is asked of the rest.
        let mut keeper = std::mem::take(&mut self.keeper);
        let idle = keeper.idle_claims(|h| self.is_gone(h));
        let due = keeper.due(now, round, |h| self.is_gone(h), BATCH);
        let forlorn = keeper.forlorn(self.at.unix.saturating_sub(FORLORN), |h| self.is_gone(h));
        self.keeper = keeper;
        for key in forlorn {
            self.keeper.drop_copy(key, ledger);
        }
        for (key, term, round) in idle {
            self.keeper.release(key);
            self.release(key, term, round, ledger, out);
        }
        let mut by_peer: BTreeMap<(Peer, u64), Vec<(Key, Term)>> = BTreeMap::new();
        for (key, term, round) in due {
            let came = self.keeper.standing(&self.view, key);
            self.came(key, came, ledger, out);
            for peer in self.view.witnesses(key.home) {
                if self.keeper.has(&key, peer) {
                    continue;
                }
                if peer != self.view.me() {
                    by_peer.entry((peer, round)).or_default().push((key, term));
                    continue;
                }
                let came = match self.grant(key, (term, round), self.me.holder, ledger) {
                    Ok(shown) => self.keeper.granted(&self.view, (key, term, round), peer, shown),
                    Err(why) => self.denied((key, term, round), peer, why),
                };
                self.came(key, came, ledger, out);
            }
        }
        for ((peer, round), claims) in by_peer {
            self.ask(peer, Frame::Claim { round, claims }, out);
        }
    }
}
