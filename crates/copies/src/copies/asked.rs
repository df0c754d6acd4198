//! What others ask.

use super::*;

impl Copies {
    pub(super) fn asked(
        &mut self,
        from: Holder,
        link: u64,
        frame: Frame,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        let now = self.at.now;
        // A link that a later one of the same peer has taken the place of says nothing any more: what it
        // still holds may have been undone since.
        let Some(heard) = self.heard.get_mut(&from.peer).filter(|h| h.link == link) else { return };
        if self.lives.get(&from.peer).is_none_or(|l| l.current != from.reign) {
            return;
        }
        heard.silence.heard(now);
        if std::mem::replace(&mut heard.gone, false) {
            out.push(Output::Say(Event::Back(from)));
        }
        let peer = from.peer;
        let mut answer = |frame| out.push(Output::Answer(peer, frame));
        match frame {
            Frame::Beat { number } => answer(Frame::Here { number, room: self.room() }),
            Frame::Register { home }
                if home.holder == from && self.witness.register(home, ledger).is_ok() =>
            {
                answer(Frame::Registered { home });
            }
            Frame::Keep { key, term, record } => {
                let mut record = record.unpacked(self.at.unix);
                // What is left is told as it was when this was sent: it runs while it waits here.
                if now.saturating_sub(self.stall.0) < READ_AFTER {
                    record.deadline = record.deadline.saturating_sub(self.stall.1);
                }
                let own = self.owner.own.get(&key.id).filter(|o| o.home == key.home && o.term >= term);
                let done = match own {
                    Some(own) => Err(Why::Held { holder: self.me.holder, term: own.term }),
                    None => self.keeper.keep(key, from, term, record, ledger),
                };
                answer(match done {
                    Ok(()) => Frame::Kept { key, term, room: self.room() },
                    Err(why) => Frame::NotKept { key, term, why },
                });
            }
            Frame::Progress { key, term, tried, verdict, left } => {
                let unix = self.at.unix;
                let tried: Vec<Tried> = tried.into_iter().map(|t| ago(t, unix)).collect();
                self.witness.never_ran((key, term, from), &tried, ledger);
                let deadline = unix.saturating_add(left);
                self.keeper.progress((key, term, from), &tried, verdict, deadline, ledger);
            }
            Frame::Sure { keys } => {
                keys.into_iter().for_each(|(key, term)| self.keeper.sure(key, term, from, ledger));
            }
            Frame::Over { keys } => {
                let mut heard = Vec::new();
                for (key, term) in keys {
                    // An owner before this one delivered it after all, or told its end.
                    let own = self.owner.own.get(&key.id).filter(|o| o.home == key.home && o.term > term);
                    if own.is_some() {
                        out.push(Output::Lost(key.id));
                    }
                    let witnessed = self.witness.over(key, term, from, ledger);
                    if self.keeper.over(key, term, ledger) && witnessed {
                        heard.push(key);
                    }
                }
                out.push(Output::Answer(peer, Frame::Heard { keys: heard }));
            }
            Frame::Forget { keys } => keys.into_iter().for_each(|k| self.witness.forget(k, from, ledger)),
            Frame::Intend { key, term, tried } => {
                let (number, tried) = (tried.number, ago(tried, self.at.unix));
                answer(match self.witness.intend(key, term, from, tried, ledger) {
                    Ok(()) => Frame::Consent { key, term, number },
                    Err(why) => Frame::Refuse { key, term, number, why },
                });
            }
            Frame::Move { key, term, to, tried } => {
                let unix = self.at.unix;
                let tried: Vec<Tried> = tried.into_iter().map(|t| ago(t, unix)).collect();
                answer(match self.witness.move_on(key, (term, from), to, &tried, ledger) {
                    Ok(()) => Frame::Moved { key, term, to },
                    Err(why) => Frame::NotMoved { key, term, why },
                });
            }
            Frame::Claim { round, claims } => self.claimed(from, round, claims, ledger, out),
            Frame::Release { round, claims } => {
                for (key, term) in claims {
                    self.witness.release((key, term, round), from, ledger);
                }
            }
            Frame::Taken { claims } => {
                let all: Vec<Key> = claims.iter().map(|c| c.0).collect();
                for (key, term) in claims {
                    let own = self.owner.own.get(&key.id);
                    if own.is_some_and(|o| o.home == key.home && o.term < term) {
                        self.lose(key.id, from, term, ledger, out);
                    }
                }
                let mine = |k: &Key| self.owner.own.get(&k.id).is_some_and(|o| o.home == k.home);
                let keys = all.into_iter().filter(|k| !mine(k)).collect();
                out.push(Output::Answer(peer, Frame::NotMine { keys }));
            }
            Frame::Check { keys } => {
                // Taken over from who asks, and over since: nothing of it is here any more, but it was a
                // claim that was gone on with. Who asks before it has heard `Taken` must not take it for
                // its own.
                let taken = |k: &Key| self.taken.get(&from)?.get(k).copied();
                let owned = |k: &Key| match self.owner.own.get(&k.id) {
                    Some(own) if own.home == k.home => Some(own.term),
                    _ => taken(k),
                };
                let (mut claims, mut other) = (Vec::new(), Vec::new());
                for key in keys {
                    match owned(&key) {
                        Some(term) => claims.push((key, term)),
                        None if !self.keeper.is_claiming(&key) => other.push(key),
                        None => {}
                    }
                }
                if !claims.is_empty() {
                    answer(Frame::Mine { claims });
                }
                answer(Frame::NotMine { keys: other.clone() });
                // Grants that an earlier process of this sender asked for, or that it could not give back. It
                // owned nothing in a term after that of its copy: else it would have no copy, or one that is
                // its next owner's.
                for key in other {
                    if let Some(term) = self.keeper.get(&key).map(|h| h.term) {
                        self.release(key, term, ANY, ledger, out);
                    }
                }
            }
            Frame::Return { home } => {
                let all = self.witness.claimed(home);
                let parts = all.chunks(MOST).count();
                for (n, claims) in all.chunks(MOST).enumerate() {
                    let more = n + 1 < parts;
                    answer(Frame::Claimed { home, claims: claims.to_vec(), more });
                }
                if parts == 0 {
                    answer(Frame::Claimed { home, claims: Vec::new(), more: false });
                }
            }
            // Nobody who dialed answers.
            _ => {}
        }
    }

    pub(super) fn claimed(
        &mut self,
        from: Holder,
        round: u64,
        claims: Vec<(Key, Term)>,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) {
        let (mut granted, mut denied) = (Vec::new(), Vec::new());
        for (key, term) in claims {
            match self.grant(key, (term, round), from, ledger) {
                Ok((tried, moved)) => {
                    let unix = self.at.unix;
                    granted.push((key, term, tried.into_iter().map(|t| ago(t, unix)).collect(), moved));
                }
                Err(why) => denied.push((key, term, why)),
            }
        }
        if !granted.is_empty() {
            out.push(Output::Answer(from.peer, Frame::Grant { round, claims: granted }));
        }
        if !denied.is_empty() {
            out.push(Output::Answer(from.peer, Frame::Deny { round, claims: denied }));
        }
    }

    pub(super) fn grant(
        &mut self,
        key: Key,
        (term, round): (Term, u64),
        by: Holder,
        ledger: &mut dyn Ledger,
    ) -> Result<Shown, Why> {
        // Lent for the call: who is heard is asked of the rest.
        let mut witness = std::mem::take(&mut self.witness);
        let granted = witness.claim((key, term, round), by, |h| !self.is_gone(h), ledger);
        self.witness = witness;
        granted
    }

    pub(super) fn room(&self) -> u32 {
        u32::try_from(self.keeper.room() / 1_024).unwrap_or(u32::MAX)
    }
}
