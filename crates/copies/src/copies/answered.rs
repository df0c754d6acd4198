//! What others answer.

use super::*;

impl Copies {
    pub(super) fn answered(
        &mut self,
        from: Holder,
        frame: Frame,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        let (peer, now) = (from.peer, self.at.now);
        match frame {
            Frame::Here { number, room } => {
                if let Some(link) = self.links.get_mut(&peer) {
                    link.room = room;
                    if let Some((_, at)) = link.since.filter(|s| number >= s.0) {
                        link.answers.observe(now.saturating_sub(at).max(1));
                        link.since = None;
                    }
                }
            }
            Frame::Registered { home } => self.registered(peer, home, ledger, out),
            Frame::Kept { key, term, room } => {
                if let Some(link) = self.links.get_mut(&peer) {
                    link.room = room;
                }
                let own = self.owner.own.get_mut(&key.id).filter(|o| (o.home, o.term) == (key.home, term));
                if let Some(asked) = own.and_then(|o| o.asked.get_mut(&peer)).filter(|a| a.0 == from.reign) {
                    if let Asked::Waits(since) = asked.1
                        && let Some(link) = self.links.get_mut(&peer)
                    {
                        link.answers.observe(now.saturating_sub(since).max(1));
                    }
                    let long = matches!(asked.1, Asked::Waits(since) if now.saturating_sub(since) > LONG_WAY);
                    let late = long || asked.1 == Asked::Late;
                    asked.1 = Asked::Kept;
                    if late && let Some(own) = self.owner.own.get(&key.id) {
                        out.push(Output::Ask(peer, self.progress(key.id, own)));
                    }
                    self.promise(key.id, out);
                    let own = self.owner.own.get(&key.id).filter(|o| !o.before.is_empty());
                    if own.is_some_and(|o| self.kept(o) >= self.view.count()) {
                        self.let_old_copies_go(key.id);
                    }
                }
            }
            Frame::NotKept { key, term, .. } => {
                let own = self.owner.own.get_mut(&key.id).filter(|o| (o.home, o.term) == (key.home, term));
                if let Some(asked) = own.and_then(|o| o.asked.get_mut(&peer)).filter(|a| a.0 == from.reign) {
                    // Asked again at once it would say the same.
                    asked.1 = Asked::Late;
                    self.place(key.id, out);
                }
            }
            Frame::Heard { keys } => {
                let forget: Vec<Key> =
                    keys.into_iter().take(MOST).filter(|&k| self.owner.heard(k, peer)).collect();
                self.forget(forget, out);
            }
            Frame::Consent { key, term, number } if self.owns_in(key, term) => {
                if let Some(c) = self.owner.consents.get_mut(&(key.id, number)) {
                    c.by.insert(peer);
                }
                self.consented(key.id, number, out);
            }
            Frame::Moved { key, term, to } => {
                self.keeper.moved(&self.view, (key, term, to), peer, &[], ledger);
                self.moved(key, term, to, peer, ledger, out);
            }
            Frame::NotMoved { key, term, why } if self.owns_in(key, term) => {
                self.begun_before(key.id, why);
                self.evidence(key.id, peer, why, out);
            }
            Frame::Refuse { key, term, number, why } if self.owns_in(key, term) => {
                if let Some(c) = self.owner.consents.get_mut(&(key.id, number)) {
                    c.refused.insert(peer);
                }
                self.consented(key.id, number, out);
                self.begun_before(key.id, why);
                self.evidence(key.id, peer, why, out);
                if why == Why::Closed && key.home == self.home() {
                    self.next_epoch(ledger, out);
                }
            }
            Frame::Grant { round, claims } => {
                for (key, term, tried, moved) in claims {
                    let unix = self.at.unix;
                    let shown = (tried.into_iter().map(|t| ago(t, unix)).collect(), moved);
                    let came = self.keeper.granted(&self.view, (key, term, round), peer, shown);
                    self.came(key, came, ledger, out);
                }
            }
            Frame::Deny { round, claims } => {
                for (key, term, why) in claims {
                    let came = self.denied((key, term, round), peer, why);
                    self.came(key, came, ledger, out);
                }
            }
            Frame::Mine { claims } => {
                for (key, term) in claims {
                    let own = self.owner.own.get(&key.id);
                    if own.is_some_and(|o| o.home == key.home && o.term < term) {
                        self.lose(key.id, from, term, ledger, out);
                    }
                }
            }
            Frame::NotMine { keys } => {
                for key in &keys {
                    // What witnesses said of it was a claim that it did not go on with.
                    if let Some(own) = self.owner.own.get_mut(&key.id).filter(|o| o.home == key.home) {
                        own.told.retain(|_, t| t.0 != from);
                    }
                }
                if let Some(claims) = self.taken.get_mut(&from) {
                    claims.retain(|k, _| !keys.contains(k));
                    if claims.is_empty() {
                        self.taken.remove(&from);
                    }
                }
                for key in keys {
                    self.keeper.not_claimed(&key, from);
                    let its = |h: &Held| h.owner == from && h.record.deadline < self.at.unix;
                    if self.keeper.get(&key).is_some_and(its) {
                        self.keeper.drop_copy(key, ledger);
                    }
                }
            }
            Frame::Claimed { home, claims, more } => {
                for (id, holder, term) in claims {
                    if self.owner.own.get(&id).is_some_and(|o| o.home == home) {
                        self.evidence(id, peer, Why::Held { holder, term }, out);
                    }
                }
                if !more {
                    self.returns.remove(&peer);
                }
            }
            // Nobody who was dialed asks.
            _ => {}
        }
    }
}
