//! What is this sender's own: where it is kept, what is promised, and what may be attempted.

use super::*;

impl Copies {
    pub(super) fn take(&mut self, id: Id, record: Record, out: &mut Vec<Output>) {
        let mut own = Own::new(self.home(), FIRST, record);
        own.placed = self.at.now;
        self.owner.own.insert(id, own);
        self.place(id, out);
    }

    /// Keepers that have a copy, as far as can be told: one that is away for a moment keeps what it has.
    pub(super) fn kept(&self, own: &Own) -> usize {
        let stands = |(peer, asked): &(&Peer, &(Reign, Asked))| {
            let there = |l: &Link| match l.up {
                Some((reign, _)) => reign == asked.0,
                None => self.at.now.saturating_sub(l.down) < AWAY,
            };
            asked.1 == Asked::Kept && self.links.get(peer).is_some_and(there)
        };
        own.asked.iter().filter(stands).count()
    }

    /// Asks as many further keepers as are lacking.
    pub(super) fn place(&mut self, id: Id, out: &mut Vec<Output>) {
        let Some(own) = self.owner.own.get(&id) else { return };
        let wanted = self.view.count().saturating_sub(self.kept(own) + own.waiting());
        if wanted == 0 {
            return;
        }
        let (now, me) = (self.at.now, self.view.me());
        let mut free: Vec<(bool, bool, f64, Peer, Reign)> = Vec::new();
        for peer in self.view.partners(me) {
            let Some(link) = self.links.get(&peer) else { continue };
            let Some((reign, _)) = link.up else { continue };
            if own.asked.get(&peer).is_some_and(|a| a.0 == reign && a.1 != Asked::Unsure) {
                continue;
            }
            let room = f64::from(link.room.max(1));
            let rank = self.view.rank(id, peer, room);
            free.push((link.is_slow(now), self.view.together(me, peer), rank, peer, reign));
        }
        free.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3)));
        let frame = Frame::Keep {
            key: own.key(id),
            term: own.term,
            record: Box::new(own.record.packed(self.at.unix)),
        };
        let chosen: Vec<(Peer, Reign)> = free.iter().take(wanted).map(|f| (f.3, f.4)).collect();
        for &(peer, reign) in &chosen {
            let usual = self.links.get(&peer).map_or(0.0, |l| l.answers.usual(*USUAL.start()));
            let due = now + (usual as Micros).clamp(*USUAL.start(), *USUAL.end());
            self.owner.dues.insert((due, id));
            if let Some(own) = self.owner.own.get_mut(&id) {
                own.asked.insert(peer, (reign, Asked::Waits(now)));
            }
            out.push(Output::Ask(peer, frame.clone()));
        }
        if let Some(own) = self.owner.own.get_mut(&id)
            && chosen.len() < wanted
            && own.waiting() == 0
            && !own.promised
            && !std::mem::replace(&mut own.short, true)
        {
            out.push(Output::Short(id));
        }
    }

    /// Enough witnesses know the epoch for a claim to be granted, so that somebody can go on with a message.
    /// One that is there and was not told yet is waited for: else there would be fewer losses to bear than
    /// are promised. One that is away is a loss already.
    pub(super) fn may_promise(&self, home: Home) -> bool {
        let there = |w: &Peer| self.links.get(w).is_some_and(|l| l.up.is_some());
        let known = |w: &Peer| self.me.known.contains(w);
        let witnesses = self.view.witnesses(home);
        let enough = witnesses.iter().filter(|w| known(w)).count() >= self.view.grants(home);
        home == self.home() && enough && witnesses.iter().all(|w| known(w) || !there(w))
    }

    pub(super) fn promise(&mut self, id: Id, out: &mut Vec<Output>) {
        let Some(own) = self.owner.own.get(&id).filter(|o| !o.promised) else { return };
        if self.kept(own) < self.view.count() || !self.may_promise(own.home) {
            return;
        }
        if let Some(own) = self.owner.own.get_mut(&id) {
            (own.promised, own.record.sure) = (true, true);
            out.push(Output::Promised(id));
            if own.record.careful {
                // At once: one that is lost before they hear of it is ended, and not sent.
                let (key, term) = (own.key(id), own.term);
                let keepers: Vec<Peer> = own.asked.keys().copied().collect();
                for peer in keepers {
                    self.ask(peer, Frame::Sure { keys: vec![(key, term)] }, out);
                }
            }
        }
    }

    /// What an earlier process of this sender had: its keepers are not known any more, and it may have been
    /// claimed meanwhile.
    pub(super) fn resume(&mut self, id: Id, record: Record) {
        // Each that was there when an epoch began has a row that says where it is at home.
        let here = Place { home: self.home(), term: FIRST };
        let place = self.places.get(&id).copied().unwrap_or(here);
        let mut own = Own::new(place.home, place.term, record);
        (own.promised, own.recovered) = (true, true);
        own.intended = own.record.tried.iter().any(|t| own.needs_consent(t.number, self.set.attempts));
        self.returns.extend(self.view.witnesses(place.home));
        self.returns.remove(&self.view.me());
        self.owner.own.insert(id, own);
    }

    pub(super) fn intend(&mut self, id: Id, tried: Tried, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        let number = tried.number;
        let Some(own) = self.owner.own.get_mut(&id) else {
            out.push(Output::Refused(id, number));
            return;
        };
        if tried.number != CLOSED {
            own.record.enter(tried);
        }
        if tried.number != CLOSED && !own.needs_consent(number, self.set.attempts) {
            out.push(Output::Granted(id, number));
            return;
        }
        // Its home changes in this moment: witnesses of the old one have been told of all attempts so far.
        if own.moving.is_some() {
            out.push(Output::Refused(id, number));
            return;
        }
        own.intended = true;
        let (key, term, needed) = (own.key(id), own.term, Consent::needed(&self.view, own));
        let consent = self.owner.consents.entry((id, number)).or_default();
        if consent.granted {
            out.push(Output::Granted(id, number));
            return;
        }
        consent.refused.clear();
        let (witnesses, home) = (self.view.witnesses(key.home), self.home());
        let mut able = 0;
        for peer in witnesses {
            if peer == self.view.me() {
                match self.witness.intend(key, term, self.me.holder, tried, ledger) {
                    Ok(()) => {
                        able += 1;
                        if let Some(c) = self.owner.consents.get_mut(&(id, number)) {
                            c.by.insert(peer);
                        }
                    }
                    Err(why) => self.evidence(id, peer, why, out),
                }
                continue;
            }
            let known = self.links.get(&peer).is_some_and(|l| l.up.is_some());
            let knows = key.home != home || self.me.known.contains(&peer);
            if known && knows {
                able += 1;
                let frame = Frame::Intend { key, term, tried: ago(tried, self.at.unix) };
                out.push(Output::Ask(peer, frame));
            }
        }
        if able < needed {
            self.owner.consents.remove(&(id, number));
            out.push(Output::Refused(id, number));
            return;
        }
        self.consented(id, number, out);
    }

    pub(super) fn consented(&mut self, id: Id, number: u32, out: &mut Vec<Output>) {
        let Some(own) = self.owner.own.get(&id) else { return };
        let (needed, all) = (Consent::needed(&self.view, own), self.view.witnesses(own.home).len());
        let Some(consent) = self.owner.consents.get_mut(&(id, number)).filter(|c| !c.granted) else { return };
        if consent.by.len() >= needed {
            consent.granted = true;
            out.push(Output::Granted(id, number));
        } else if all - consent.refused.len() < needed {
            self.owner.consents.remove(&(id, number));
            out.push(Output::Refused(id, number));
        }
    }

    /// A witness says that a message is another's. That one is asked: it alone knows whether it goes on with
    /// its claim, and gives back what it does not need.
    pub(super) fn evidence(&mut self, id: Id, by: Peer, why: Why, out: &mut Vec<Output>) {
        let Why::Held { holder, term } = why else { return };
        let Some(own) = self.owner.own.get_mut(&id) else { return };
        if term > own.term && holder != self.me.holder {
            own.told.insert(by, (holder, term));
            let key = own.key(id);
            self.dial(holder.peer, out);
            self.ask(holder.peer, Frame::Check { keys: vec![key] }, out);
        }
    }

    /// Another sender owns it: nothing is owed for it here, and what was its own is a copy from now on. Let
    /// go at once, a message could be gone with its new owner before that has copied it.
    pub(super) fn lose(
        &mut self,
        id: Id,
        to: Holder,
        term: Term,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        let Some(own) = self.owner.own.get(&id) else { return };
        let key = own.key(id);
        if self.keeper.keep(key, to, term, own.record.clone(), ledger).is_err() {
            // No room just now: it is told of again.
            return;
        }
        self.owner.own.remove(&id);
        self.owner.consents.retain(|(i, _), _| *i != id);
        *self.gave.entry(to).or_default() += 1;
        out.push(Output::Lost(id));
    }

    /// What there is to tell of a message.
    pub(super) fn progress(&self, id: Id, own: &Own) -> Frame {
        let unix = self.at.unix;
        Frame::Progress {
            key: own.key(id),
            term: own.term,
            tried: own.record.tried.iter().take(MOST).map(|&t| ago(t, unix)).collect(),
            verdict: own.record.verdict,
            left: own.record.deadline.saturating_sub(unix),
        }
    }

    pub(super) fn tell_progress(&mut self, id: Id, out: &mut Vec<Output>) {
        let Some(own) = self.owner.own.get(&id) else { return };
        let frame = self.progress(id, own);
        let mut to: BTreeSet<Peer> = own.asked.keys().copied().collect();
        if own.intended {
            to.extend(self.view.witnesses(own.home));
        }
        to.remove(&self.view.me());
        to.into_iter().for_each(|peer| self.ask(peer, frame.clone(), out));
    }

    pub(super) fn over(&mut self, id: Id, ledger: &mut dyn Ledger) {
        if self.places.remove(&id).is_some() {
            // Left behind, the row says nothing of another message: ids are new each time.
            let _ = ledger.write(&[gone(Row::Own(id))]);
        }
        self.let_old_copies_go(id);
        let Some(own) = self.owner.own.get(&id) else { return };
        let (key, term, me) = (own.key(id), own.term, self.view.me());
        let witnesses = self.view.witnesses(key.home);
        let told = self.owner.end(id, &witnesses);
        self.witness.over(key, term, self.me.holder, ledger);
        let Some((key, told)) = told else { return };
        for peer in told {
            if peer == me {
                self.owner.heard(key, me);
            } else {
                self.ends.entry(peer).or_default().push((key, term));
            }
        }
        self.flush.get_or_insert(self.at.now + FLUSH);
    }

    /// Whether this sender owns a message in this term.
    pub(super) fn owns_in(&self, key: Key, term: Term) -> bool {
        self.owner.own.get(&key.id).is_some_and(|o| (o.home, o.term) == (key.home, term))
    }

    pub(super) fn forget(&self, keys: Vec<Key>, out: &mut Vec<Output>) {
        let mut by_home: BTreeMap<Home, Vec<Key>> = BTreeMap::new();
        keys.into_iter().for_each(|key| by_home.entry(key.home).or_default().push(key));
        for (home, keys) in by_home {
            for peer in self.view.witnesses(home) {
                self.ask(peer, Frame::Forget { keys: keys.clone() }, out);
            }
        }
    }

    /// Messages that lost a keeper get another one, those with the least time first.
    pub(super) fn place_anew(&mut self, out: &mut Vec<Output>) {
        let (now, count) = (self.at.now, self.view.count());
        let due = |own: &Own| own.promised && own.placed + ANEW <= now && self.kept(own) < count;
        let due = self.owner.own.iter().filter(|(_, o)| due(o));
        let mut due: Vec<(Micros, Id)> = due.map(|(&id, o)| (o.record.deadline, id)).collect();
        due.sort_unstable();
        for (_, id) in due.into_iter().take(BATCH) {
            if let Some(own) = self.owner.own.get_mut(&id) {
                own.placed = now;
                // Who was late has had the time; who had no room may have some.
                for asked in own.asked.values_mut().filter(|a| matches!(a.1, Asked::Late | Asked::Waits(_))) {
                    asked.1 = Asked::Unsure;
                }
            }
            self.place(id, out);
        }
    }
}
