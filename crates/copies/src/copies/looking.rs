//! What is looked at from time to time.

use super::*;

impl Copies {
    pub(super) fn tick(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        let now = self.at.now;
        // Stopped, or starved: what was not heard meanwhile was not listened for.
        if now.saturating_sub(self.looked) > self.set.silence / 2 {
            self.heard.values_mut().for_each(|h| h.silence.excuse(now));
            self.begun = self.begun.max(now);
        }
        self.looked = now;
        if self.flush.is_some_and(|at| at <= now) {
            self.flush = None;
            for (peer, keys) in std::mem::take(&mut self.ends) {
                for keys in keys.chunks(MOST) {
                    self.ask(peer, Frame::Over { keys: keys.to_vec() }, out);
                }
            }
        }
        while let Some(&(at, id)) = self.owner.dues.first().filter(|d| d.0 <= now) {
            self.owner.dues.remove(&(at, id));
            let mut late = false;
            if let Some(own) = self.owner.own.get_mut(&id) {
                for (_, asked) in own.asked.values_mut() {
                    if matches!(asked, Asked::Waits(since) if now.saturating_sub(*since) >= *USUAL.start()) {
                        (*asked, late) = (Asked::Late, true);
                    }
                }
            }
            if late {
                self.place(id, out);
            }
        }
        if self.beat <= now {
            self.beat = now + BEAT;
            self.look(ledger, out);
        }
    }

    /// At each beat.
    pub(super) fn look(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        let me = self.view.me();
        let mut wanted: BTreeSet<Peer> = self.view.partners(me).into_iter().collect();
        wanted.extend(self.keeper.owners().iter().map(|o| o.peer));
        for home in self.keeper.homes().into_iter().chain(self.owner.own.values().map(|o| o.home)) {
            wanted.extend(self.view.witnesses(home));
        }
        wanted.into_iter().for_each(|peer| self.dial(peer, out));
        let mute =
            |l: &Link| l.up.is_some() && l.since.is_some_and(|s| self.at.now.saturating_sub(s.1) > MUTE);
        out.extend(self.links.iter().filter(|(_, l)| mute(l)).map(|(&p, _)| Output::Hang(p)));
        let up: Vec<Peer> = self.links.iter().filter(|(_, l)| l.up.is_some()).map(|(&p, _)| p).collect();
        up.into_iter().for_each(|peer| self.send_beat(peer, out));
        // A witness whose disk took nothing, or which was away when the epoch began.
        for peer in self.view.witnesses(self.home()) {
            let link = self.links.get(&peer).filter(|_| !self.me.known.contains(&peer));
            if let Some((reign, _)) = link.and_then(|l| l.up) {
                self.register(peer, reign, ledger, out);
            }
        }
        let (now, silence) = (self.at.now, self.set.silence);
        for (&peer, heard) in &mut self.heard {
            if !heard.gone && heard.silence.is_gone(now, silence) {
                heard.gone = true;
                if let Some(lives) = self.lives.get(&peer) {
                    out.push(Output::Say(Event::Gone(Holder { peer, reign: lives.current })));
                }
            }
        }
        if !self.swept {
            self.swept = true;
            self.sweep(ledger);
        }
        // The operators' files name other senders than before: counts of one set of witnesses say nothing of
        // another. What is open moves.
        if self.me.witnesses != self.view.witnesses(self.home()) {
            self.next_epoch(ledger, out);
        }
        self.replace_witnesses(ledger, out);
        self.claim(ledger, out);
        self.move_home(ledger, out);
        self.place_anew(out);
        self.check(out);
        for (from, count) in std::mem::take(&mut self.took) {
            out.push(Output::Say(Event::TookOver { from, count }));
        }
        for (to, count) in std::mem::take(&mut self.gave) {
            out.push(Output::Say(Event::GaveUp { to, count }));
        }
    }

    /// Rows of messages that ended in the moment in which an earlier process did.
    pub(super) fn sweep(&mut self, ledger: &mut dyn Ledger) {
        let left: Vec<Id> =
            self.places.keys().copied().filter(|id| !self.owner.own.contains_key(id)).collect();
        let rows: Vec<Change> = left.iter().map(|&id| gone(Row::Own(id))).collect();
        if !rows.is_empty() && ledger.write(&rows) {
            self.places.retain(|id, _| !left.contains(id));
        }
    }

    pub(super) fn check(&mut self, out: &mut Vec<Output>) {
        let old = self.keeper.overdue(self.at.unix.saturating_sub(OVERDUE), BATCH);
        let mut by_owner: BTreeMap<Peer, Vec<Key>> = BTreeMap::new();
        let awaited = self.keeper.awaited(BATCH);
        for (owner, key) in old.into_iter().chain(awaited).filter(|(owner, _)| !self.is_gone(*owner)) {
            by_owner.entry(owner.peer).or_default().push(key);
        }
        for (peer, keys) in by_owner {
            self.ask(peer, Frame::Check { keys }, out);
        }
    }
}
