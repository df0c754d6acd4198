//! Links: who stands at their other ends, in which life, and who counts as gone.

use super::*;

impl Copies {
    /// Whether this life of a peer is the one that counts. A life that was never seen takes the place of the
    /// one before, which is over for good: no clock says which is older, and none is asked.
    pub(super) fn is_current(
        &mut self,
        from: Holder,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) -> bool {
        let lives = match self.lives.get(&from.peer) {
            Some(lives) if lives.current == from.reign => return true,
            Some(lives) if lives.retired.contains(&from.reign) => {
                if self.said.insert(from) {
                    out.push(Output::Say(Event::Old(from)));
                }
                return false;
            }
            Some(lives) => {
                let mut lives = lives.clone();
                lives.retired.push(std::mem::replace(&mut lives.current, from.reign));
                let more = lives.retired.len().saturating_sub(LIVES);
                lives.retired.drain(..more);
                lives
            }
            None => Lives { current: from.reign, retired: Vec::new() },
        };
        // Unwritten, the next process learns it again from whoever greets it first: what may be attempted
        // rests on witnesses alone.
        if !ledger.write(&[put(Row::Peer(from.peer), &lives)]) {
            out.push(Output::Say(Event::Unwritten));
        }
        if let Some(&before) = lives.retired.last() {
            let before = Holder { peer: from.peer, reign: before };
            self.taken.remove(&before);
            out.push(Output::Say(Event::Gone(before)));
        }
        self.lives.insert(from.peer, lives);
        true
    }

    /// Whether an owner counts as gone: its life is over, or it has been silent for longer than is usual.
    pub(super) fn is_gone(&self, holder: Holder) -> bool {
        if holder == self.me.holder {
            return false;
        }
        if holder.peer == self.me.holder.peer
            || self.lives.get(&holder.peer).is_some_and(|l| l.current != holder.reign)
        {
            return true;
        }
        match self.heard.get(&holder.peer) {
            Some(heard) => heard.silence.is_gone(self.at.now, self.set.silence),
            // Not heard by this process yet: it is given the time to say something.
            None => self.at.now.saturating_sub(self.begun) > self.set.silence,
        }
    }

    pub(super) fn linked(
        &mut self,
        holder: Holder,
        link: u64,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        let Holder { peer, reign } = holder;
        if !self.is_current(holder, ledger, out) {
            return;
        }
        let Some(known) = self.links.get_mut(&peer) else { return };
        (known.up, known.since) = (Some((reign, link)), None);
        if known.life.replace(reign).is_some_and(|before| before != reign) {
            // What it said in an earlier life it does not know of.
            self.me.known.remove(&peer);
        }
        // What it kept in an earlier life is gone.
        for own in self.owner.own.values_mut() {
            if own.asked.get(&peer).is_some_and(|a| a.0 != reign) {
                own.asked.remove(&peer);
            }
            // What was asked on the link before may never have come, or its answer not.
            if let Some(asked) = own.asked.get_mut(&peer).filter(|a| a.1 != Asked::Kept) {
                asked.1 = Asked::Unsure;
            }
        }
        self.register(peer, reign, ledger, out);
        if self.returns.contains(&peer) {
            let homes: BTreeSet<Home> = self.owner.own.values().map(|o| o.home).collect();
            for home in homes.into_iter().filter(|h| self.view.witnesses(*h).contains(&peer)) {
                out.push(Output::Ask(peer, Frame::Return { home }));
            }
        }
        for keys in self.owner.owed_to(peer).chunks(MOST) {
            out.push(Output::Ask(peer, Frame::Over { keys: keys.to_vec() }));
        }
        let taken = self.taken.get(&holder).into_iter().flatten();
        let taken: Vec<(Key, Term)> = taken.map(|(&k, &t)| (k, t)).collect();
        for claims in taken.chunks(MOST) {
            out.push(Output::Ask(peer, Frame::Taken { claims: claims.to_vec() }));
        }
        let doubted = self.owner.own.iter().filter(|(_, o)| o.told.values().any(|t| t.0 == holder));
        let doubted: Vec<Key> = doubted.map(|(&id, o)| o.key(id)).collect();
        for keys in doubted.chunks(MOST) {
            out.push(Output::Ask(peer, Frame::Check { keys: keys.to_vec() }));
        }
        self.send_beat(peer, out);
        let unpromised: Vec<Id> =
            self.owner.own.iter().filter(|(_, o)| !o.promised).map(|(&id, _)| id).collect();
        unpromised.into_iter().for_each(|id| self.place(id, out));
    }

    /// Makes this sender's home known to a witness, once for each of its lives. One that was told in an
    /// earlier life has forgotten what it granted, and must never be told again: a new epoch begins, of which
    /// no witness can have forgotten anything.
    pub(super) fn register(
        &mut self,
        peer: Peer,
        reign: Reign,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        if !self.view.witnesses(self.home()).contains(&peer) {
            return;
        }
        match self.me.registered.get(&peer) {
            Some(known) if *known == reign => {}
            Some(_) => {
                // Whatever comes of the new epoch's row: it does not know this one.
                self.me.known.remove(&peer);
                out.push(Output::Say(Event::Forgot(peer)));
                // All are told of the new epoch, this one among them.
                return self.next_epoch(ledger, out);
            }
            None => {
                let mut me = self.me.clone();
                me.registered.insert(peer, reign);
                if !ledger.write(&[put(Row::Me, &me)]) {
                    out.push(Output::Say(Event::Unwritten));
                    return;
                }
                self.me = me;
            }
        }
        let home = self.home();
        out.push(Output::Ask(peer, Frame::Register { home }));
    }

    /// A witness knows of an epoch.
    pub(super) fn registered(
        &mut self,
        peer: Peer,
        home: Home,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        if home != self.home() || self.me.known.contains(&peer) {
            return;
        }
        self.me.known.insert(peer);
        // Unwritten, the next process asks it again.
        let _ = ledger.write(&[put(Row::Me, &self.me)]);
        let waits = self.owner.own.iter().filter(|(_, o)| !o.promised);
        let waits: Vec<Id> = waits.map(|(&id, _)| id).collect();
        waits.into_iter().for_each(|id| self.promise(id, out));
    }

    pub(super) fn unlinked(&mut self, peer: Peer, link: u64, out: &mut Vec<Output>) {
        let Some(known) = self.links.get_mut(&peer).filter(|l| l.up.is_some_and(|u| u.1 == link)) else {
            return;
        };
        (known.up, known.since, known.down) = (None, None, self.at.now);
        let mut lacking = Vec::new();
        for (&id, own) in &mut self.owner.own {
            if let Some(asked) = own.asked.get_mut(&peer).filter(|a| matches!(a.1, Asked::Waits(_))) {
                asked.1 = Asked::Unsure;
                lacking.push(id);
            }
        }
        lacking.into_iter().for_each(|id| self.place(id, out));
    }

    pub(super) fn send_beat(&mut self, peer: Peer, out: &mut Vec<Output>) {
        self.beats += 1;
        let (number, now) = (self.beats, self.at.now);
        if let Some(link) = self.links.get_mut(&peer).filter(|l| l.up.is_some()) {
            link.since.get_or_insert((number, now));
            out.push(Output::Ask(peer, Frame::Beat { number }));
        }
    }
}
