//! Messages that are not at home with this sender, or in an epoch of which a witness has forgotten something,
//! are moved to where all witnesses know of them from the first word on.

use super::*;

impl Copies {
    /// What is taken on from now on is at home in another epoch: a witness has lost its memory of this one,
    /// or given it up. Nothing that any of them forgot concerns the new one.
    pub(super) fn next_epoch(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        let Some(epoch) = self.view.next_epoch(self.home(), |peer| self.stands(peer)) else {
            return;
        };
        let holder = self.me.holder;
        let witnesses = self.view.witnesses(Home { holder, epoch });
        let me = Me { holder, epoch, registered: BTreeMap::new(), witnesses, known: BTreeSet::new() };
        // Those of the epoch before are told apart from now on.
        let mut rows = vec![put(Row::Me, &me)];
        let mut places = Vec::new();
        for (&id, own) in self.owner.own.iter().filter(|(id, _)| !self.places.contains_key(id)) {
            let place = Place { home: own.home, term: own.term };
            rows.push(put(Row::Own(id), &place));
            places.push((id, place));
        }
        if !ledger.write(&rows) {
            out.push(Output::Say(Event::Unwritten));
            return;
        }
        self.places.extend(places);
        self.me = me;
        // What is not promised yet would be at home where nobody may know of it.
        for (&id, own) in self.owner.own.iter_mut().filter(|(_, o)| !o.promised && !o.short) {
            own.short = true;
            out.push(Output::Short(id));
        }
        let up: Vec<(Peer, Reign)> = self.links.iter().filter_map(|(&p, l)| l.up.map(|u| (p, u.0))).collect();
        for (peer, reign) in up {
            self.register(peer, reign, ledger, out);
        }
    }

    /// Whether a sender can be asked now.
    pub(super) fn stands(&self, peer: Peer) -> bool {
        self.links.get(&peer).is_some_and(|l| l.up.is_some())
    }

    /// Whether a sender has been away for longer than a link takes to come up again, or to come up at all.
    fn is_away(&self, peer: Peer) -> bool {
        let Some(link) = self.links.get(&peer) else { return false };
        let (since, patience) =
            if link.life.is_some() { (link.down, AWAY) } else { (self.begun, self.set.silence) };
        link.up.is_none() && self.at.now.saturating_sub(since) > patience
    }

    /// An epoch stands once enough of its witnesses know of it. One that goes before it does is replaced: a
    /// new epoch begins, whose witnesses are chosen among the senders that stand. Nothing was promised in the
    /// one that never stood, and what is open from before moves from where it is at home, by the witnesses
    /// there.
    pub(super) fn replace_witnesses(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        let home = self.home();
        let witnesses = self.view.witnesses(home);
        let known = witnesses.iter().filter(|w| self.me.known.contains(w)).count();
        if known >= self.view.grants(home) {
            return;
        }
        let gone = witnesses.iter().copied().find(|&w| !self.me.known.contains(&w) && self.is_away(w));
        let Some(gone) = gone else { return };
        let Some(epoch) = self.view.next_epoch(home, |peer| self.stands(peer)) else { return };
        let next = Home { epoch, ..home };
        let others = self.view.witnesses(next);
        let standing = others.iter().filter(|w| self.stands(**w)).count();
        // Else it would stand no sooner.
        if others != witnesses && standing >= self.view.grants(next) {
            out.push(Output::Say(Event::Replaced(gone)));
            self.next_epoch(ledger, out);
        }
    }

    pub(super) fn move_home(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        let (now, home) = (self.at.now, self.home());
        if !self.may_promise(home) {
            return;
        }
        let due = |own: &Own| {
            let asked = own.moving.as_ref().is_none_or(|m| m.1 + AGAIN <= now);
            own.promised && own.home != home && asked
        };
        let due = self.owner.own.iter().filter(|(_, o)| due(o));
        let mut due: Vec<(Micros, Id)> = due.map(|(&id, o)| (o.record.deadline, id)).collect();
        due.sort_unstable();
        for (_, id) in due.into_iter().take(BATCH) {
            self.ask_to_move(id, home, ledger, out);
        }
    }

    pub(super) fn ask_to_move(&mut self, id: Id, home: Home, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        let now = self.at.now;
        let Some(own) = self.owner.own.get_mut(&id) else { return };
        // What was begun is gone on with: a witness may have recorded it.
        let to = own.moving.get_or_insert_with(|| (home, now, BTreeSet::new()));
        to.1 = now;
        let to = to.0;
        let (key, term, tried) = (own.key(id), own.term, own.record.tried.clone());
        // Consents that are still waited for would come from the old home.
        let open = self.owner.consents.iter().filter(|((i, _), c)| *i == id && !c.granted);
        let open: Vec<u32> = open.map(|((_, n), _)| *n).collect();
        for number in open {
            self.owner.consents.remove(&(id, number));
            out.push(Output::Refused(id, number));
        }
        if let Some(peer) = self.tell_move((key, term), to, &tried, out) {
            match self.witness.move_on(key, (term, self.me.holder), to, &tried, ledger) {
                Ok(()) => self.moved(key, term, to, peer, ledger, out),
                Err(why) => self.begun_before(id, why),
            }
        }
    }

    /// Asks the witnesses of a message's old home to record its new one. Gives this sender, if it is one.
    pub(super) fn tell_move(
        &self,
        (key, term): (Key, Term),
        to: Home,
        tried: &[Tried],
        out: &mut Vec<Output>,
    ) -> Option<Peer> {
        let unix = self.at.unix;
        let told: Vec<Tried> = tried.iter().map(|&t| ago(t, unix)).take(MOST).collect();
        let witnesses = self.view.witnesses(key.home);
        for &peer in witnesses.iter().filter(|&&p| p != self.view.me()) {
            self.ask(peer, Frame::Move { key, term, to, tried: told.clone() }, out);
        }
        witnesses.into_iter().find(|&p| p == self.view.me())
    }

    /// A claim stands on a message whose owner had begun to move it: that is brought to its end.
    pub(super) fn end_move(
        &mut self,
        (key, term): (Key, Term),
        to: Home,
        tried: &[Tried],
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        if let Some(me) = self.tell_move((key, term), to, tried, out)
            && self.witness.move_on(key, (term, self.me.holder), to, tried, ledger).is_ok()
        {
            self.keeper.moved(&self.view, (key, term, to), me, tried, ledger);
        }
    }

    /// An earlier process of this sender began to move it, and may have told others: that is gone on with.
    pub(super) fn begun_before(&mut self, id: Id, why: Why) {
        let Why::Moved(to) = why else { return };
        if let Some(own) = self.owner.own.get_mut(&id).filter(|_| to.holder == self.me.holder)
            && own.moving.as_ref().is_none_or(|m| m.0 != to)
        {
            own.moving = Some((to, 0, BTreeSet::new()));
        }
    }

    /// A witness of the old home has recorded a move. Once enough have, it is done.
    pub(super) fn moved(
        &mut self,
        key: Key,
        term: Term,
        to: Home,
        by: Peer,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        let Some(own) = self.owner.own.get_mut(&key.id).filter(|o| (o.home, o.term) == (key.home, term))
        else {
            return;
        };
        let Some(moving) = own.moving.as_mut().filter(|m| m.0 == to) else { return };
        moving.2.insert(by);
        if moving.2.len() < Consent::needed(&self.view, own) {
            return;
        }
        let place = Place { home: to, term: FIRST };
        if !ledger.write(&[put(Row::Own(key.id), &place)]) {
            out.push(Output::Say(Event::Unwritten));
            return;
        }
        self.places.insert(key.id, place);
        let left: BTreeSet<Peer> = std::mem::take(&mut own.asked).into_keys().collect();
        (own.home, own.term, own.moving, own.intended) = (to, FIRST, None, false);
        own.told.clear();
        // Whoever still has a copy of the old home may ask here one day: this is not forgotten.
        own.recovered = true;
        // Copies in the old home stand until there are as many in the new one: whoever claims by one of them
        // is led there.
        own.before.push((key, term, left));
        self.place(key.id, out);
    }

    /// Copies in a message's old homes are not needed any more.
    pub(super) fn let_old_copies_go(&mut self, id: Id) {
        let Some(own) = self.owner.own.get_mut(&id) else { return };
        for (key, term, left) in std::mem::take(&mut own.before) {
            for &peer in &left {
                self.ends.entry(peer).or_default().push((key, term));
            }
            if !left.is_empty() {
                self.owner.owe(key, Owed { term, left, forget: false });
                self.flush.get_or_insert(self.at.now + FLUSH);
            }
        }
    }
}
