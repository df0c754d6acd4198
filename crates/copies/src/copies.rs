//! The machine as a whole: what comes in, what goes out, and what is looked at from time to time.

use crate::frame::{Frame, MOST, ago};
use crate::keeper::{Came, Held, Keeper};
use crate::ledger::{Change, Ledger, Lives, Me, Place, Row, gone, put, read};
use crate::names::{FIRST, Holder, Home, Id, Key, Micros, Peer, Reign, Term};
use crate::owner::{Asked, Consent, Owed, Own, Owner, free_attempts};
use crate::record::{CLOSED, DOUBT, Record, Tried, Verdict};
use crate::silence::Silence;
use crate::view::View;
use crate::witness::{ANY, SEATS, Shown, Why, Witness};
use notchpoint_limits::Latency;
use std::collections::{BTreeMap, BTreeSet};

/// Senders speak at least this often.
const BEAT: Micros = 100_000;
/// So many beats without an answer, and a keeper is asked last.
const SLOW: Micros = 2 * BEAT;
/// A keeper is given this long at least, and at most, before the next one is asked as well.
const USUAL: std::ops::RangeInclusive<Micros> = 20_000..=100_000;
/// Ends are told together, so much later at most.
const FLUSH: Micros = 5_000;
/// Copies whose owner is there are asked after so long behind their time.
const OVERDUE: Micros = 2_000_000;
/// Claims, copies anew and questions that one beat makes: what a link carries beside the usual.
const BATCH: usize = 256;
/// Lives of a peer that are remembered as over.
const LIVES: usize = 16;
/// A message of one's own is given to keepers anew so much later at the earliest.
const ANEW: Micros = 100_000;
/// A move that was not recorded by enough is asked for again.
const AGAIN: Micros = 250_000;
/// A keeper whose link is down for longer does not count as one any more.
const AWAY: Micros = 300_000;
/// Copies that nobody could be granted are let go so long behind their time: by then it is the operators'
/// matter.
const FORLORN: Micros = 600_000_000;

/// The moment of an input, by two clocks: one that only goes forward, and the wall's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct At {
    /// Since whenever.
    pub now: Micros,
    /// Unix time.
    pub unix: Micros,
}

/// What is set.
#[derive(Clone, Debug)]
pub struct Set {
    /// The shortest silence that counts.
    pub silence: Micros,
    /// Bytes for copies.
    pub keep: usize,
    /// Attempts that a message may have over all owners.
    pub attempts: u32,
    /// Messages that a witness remembers, [`SEATS`] as a rule.
    pub seats: usize,
}

impl Default for Set {
    fn default() -> Self {
        Self { silence: 1_500_000, keep: 64 << 20, attempts: 8, seats: SEATS }
    }
}

/// What happened.
#[derive(Debug)]
pub enum Input {
    /// A link to a peer stands, and this is who answered.
    Linked {
        /// Who.
        holder: Holder,
        /// Which link it is: answers of others mean nothing any more.
        link: u64,
    },
    /// It does not stand any more.
    Unlinked {
        /// Whose.
        peer: Peer,
        /// Which.
        link: u64,
    },
    /// A peer that dialed asks.
    Asked {
        /// Who.
        from: Holder,
        /// On which link.
        link: u64,
        /// What.
        frame: Frame,
    },
    /// A peer that was dialed answers.
    Answered {
        /// Who.
        from: Peer,
        /// On which link.
        link: u64,
        /// What.
        frame: Frame,
    },
    /// A client hands a message in: it waits for copies.
    Take {
        /// Its name.
        id: Id,
        /// What is to be kept of it.
        record: Record,
    },
    /// A message that lacks keepers is promised all the same, as operators have set it.
    Accept {
        /// Which.
        id: Id,
    },
    /// The folder held this message, from an earlier process.
    Resume {
        /// Its name.
        id: Id,
        /// What is known of it.
        record: Record,
    },
    /// An attempt is about to be made.
    Intend {
        /// Of this message.
        id: Id,
        /// Which one.
        tried: Tried,
    },
    /// An attempt's outcome proved that it never ran.
    NeverRan {
        /// Of this message.
        id: Id,
        /// Its number.
        number: u32,
    },
    /// A verdict was recorded, and is told.
    Judged {
        /// On this message.
        id: Id,
        /// Which.
        verdict: Verdict,
    },
    /// A message is over here: delivered, told of, or withdrawn before it was promised.
    Over {
        /// Which.
        id: Id,
    },
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A link to this peer is wanted from now on.
    Dial(Peer),
    /// Ask, on the link to a peer.
    Ask(Peer, Frame),
    /// Answer, on the link from a peer.
    Answer(Peer, Frame),
    /// As many copies as are wanted are kept.
    Promised(Id),
    /// There are not enough keepers just now.
    Short(Id),
    /// An attempt may be made.
    Granted(Id, u32),
    /// An attempt must not be made now.
    Refused(Id, u32),
    /// A message is this sender's from now on, and stands in its folder.
    Adopted(Id),
    /// A message is another's: nothing is owed for it here.
    Lost(Id),
    /// To be said in the log.
    Say(Event),
}

/// What operators read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// So many messages were taken over from a sender that is gone.
    TookOver {
        /// Whose they were.
        from: Holder,
        /// How many.
        count: usize,
    },
    /// So many messages are another's by now.
    GaveUp {
        /// Whose they are.
        to: Holder,
        /// How many.
        count: usize,
    },
    /// A sender is gone, as far as can be told from here.
    Gone(Holder),
    /// It is there again, or another life of it.
    Back(Holder),
    /// Frames of a life that is over were turned down.
    Old(Holder),
    /// A witness has lost its memory: a new epoch begins.
    Forgot(Peer),
    /// What was to be written could not be.
    Unwritten,
}

/// A link that this sender dialed.
#[derive(Debug, Default)]
struct Link {
    up: Option<(Reign, u64)>,
    /// Who answered last.
    life: Option<Reign>,
    /// Since when it is down.
    down: Micros,
    /// The oldest beat that was not answered.
    since: Option<(u64, Micros)>,
    answers: Latency,
    room: u32,
}

impl Link {
    fn is_slow(&self, now: Micros) -> bool {
        self.since.is_some_and(|(_, at)| now.saturating_sub(at) > SLOW)
    }
}

/// A peer that dialed this sender.
#[derive(Debug)]
struct Heard {
    link: u64,
    silence: Silence,
    gone: bool,
}

/// See the crate's page.
#[derive(Debug)]
pub struct Copies {
    set: Set,
    view: View,
    me: Me,
    at: At,
    begun: Micros,
    /// Who has been heard of in this process, and who is only known from the folder.
    heard: BTreeMap<Peer, Heard>,
    lives: BTreeMap<Peer, Lives>,
    links: BTreeMap<Peer, Link>,
    /// The lives whose late words were spoken of.
    said: BTreeSet<Holder>,
    owner: Owner,
    keeper: Keeper,
    witness: Witness,
    /// Ends to be told, by peer.
    ends: BTreeMap<Peer, Vec<(Key, Term)>>,
    /// What former owners are to be told.
    taken: BTreeMap<Holder, Vec<(Key, Term)>>,
    /// Messages of which it is not known yet whether they were claimed, by witness: not asked after a return.
    returns: BTreeSet<Peer>,
    places: BTreeMap<Id, Place>,
    round: u64,
    beat: Micros,
    beats: u64,
    flush: Option<Micros>,
    looked: Micros,
    /// Rows of messages that the folder does not hold were looked for.
    swept: bool,
    took: BTreeMap<Holder, usize>,
    gave: BTreeMap<Holder, usize>,
}

impl Copies {
    /// A sender with what its folder held. `reign` is the life that begins where that held none.
    ///
    /// # Errors
    /// A row that cannot be read.
    pub fn new(
        view: View,
        set: Set,
        reign: Reign,
        rows: impl Iterator<Item = (Vec<u8>, Vec<u8>)>,
        at: At,
        ledger: &mut dyn Ledger,
    ) -> Result<Self, String> {
        let holder = Holder { peer: view.me(), reign };
        let me = Me { holder, epoch: 0, registered: BTreeMap::new(), known: BTreeSet::new() };
        let (keep, seats) = (set.keep, set.seats);
        let mut all = Self {
            set,
            view,
            me,
            at,
            begun: at.now,
            heard: BTreeMap::new(),
            lives: BTreeMap::new(),
            links: BTreeMap::new(),
            said: BTreeSet::new(),
            owner: Owner::default(),
            keeper: Keeper::new(keep),
            witness: Witness::new(seats),
            ends: BTreeMap::new(),
            taken: BTreeMap::new(),
            returns: BTreeSet::new(),
            places: BTreeMap::new(),
            round: 0,
            beat: at.now,
            beats: 0,
            flush: None,
            looked: at.now,
            swept: false,
            took: BTreeMap::new(),
            gave: BTreeMap::new(),
        };
        let mut known = false;
        for (key, value) in rows {
            known |=
                all.restore(&key, &value).ok_or_else(|| format!("copies: row {key:02x?} cannot be read"))?;
        }
        if known && all.me.holder.peer != all.view.me() {
            return Err("copies: the folder belongs to a sender of another name".into());
        }
        if !known && !ledger.write(&[put(Row::Me, &all.me)]) {
            return Err("copies: the folder takes nothing".into());
        }
        Ok(all)
    }

    /// Whether it was the row of this sender's life.
    fn restore(&mut self, key: &[u8], value: &[u8]) -> Option<bool> {
        match read::<Row>(key)? {
            Row::Me => {
                self.me = read(value)?;
                return Some(true);
            }
            Row::Peer(peer) => drop(self.lives.insert(peer, read(value)?)),
            Row::Own(id) => drop(self.places.insert(id, read(value)?)),
            Row::Copy(key) => self.keeper.restore(key, read(value)?),
            Row::Home(home) => self.witness.restore_home(home, read(value)?),
            Row::Seat(key) => self.witness.restore_seat(key, read(value)?),
        }
        Some(false)
    }

    /// Who this sender is.
    pub fn holder(&self) -> Holder {
        self.me.holder
    }

    /// The senders there are.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Links to others that stand, of those that are wanted.
    pub fn links(&self) -> (usize, usize) {
        (self.links.values().filter(|l| l.up.is_some()).count(), self.links.len())
    }

    /// Messages of this sender's own that are promised and lack copies.
    pub fn lacking(&self) -> usize {
        let lacks = |o: &&Own| o.promised && self.kept(o) < self.view.count();
        self.owner.own.values().filter(lacks).count()
    }

    /// Copies that are kept here for others.
    pub fn held(&self) -> usize {
        self.keeper.len()
    }

    /// Messages that this sender owns, by id, with where they are at home and in which term.
    pub fn owns(&self) -> impl Iterator<Item = (Id, Home, Term)> {
        self.owner.own.iter().map(|(&id, o)| (id, o.home, o.term))
    }

    /// What a witness here remembers.
    pub fn seats(&self) -> usize {
        self.witness.seats()
    }

    /// Whether each witness has said what of this sender's was claimed while it was away.
    pub fn is_back(&self) -> bool {
        let grants = |own: &Own| self.view.grants(own.home.holder.peer);
        self.owner.own.is_empty()
            || self.returns.is_empty() && self.owner.own.values().all(|o| o.told.len() < grants(o))
    }

    /// Whether all witnesses know of this sender, and as many keepers as are wanted can be asked.
    pub fn may_begin(&self) -> bool {
        let up = self.links.values().filter(|l| l.up.is_some()).count();
        let witnesses = self.view.witnesses(self.view.me());
        up >= self.view.count() && witnesses.iter().all(|w| self.me.known.contains(w))
    }

    /// When it wants to be called next, at the latest.
    pub fn wake(&self) -> Micros {
        let due = self.owner.dues.first().map(|d| d.0);
        [Some(self.beat), self.flush, due].into_iter().flatten().min().unwrap_or(self.beat)
    }

    fn home(&self) -> Home {
        Home { holder: self.me.holder, epoch: self.me.epoch }
    }

    /// A peer that dialed has said who it is. From now on frames of that life and link count; gives whether.
    pub fn greet(
        &mut self,
        at: At,
        from: Holder,
        link: u64,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) -> bool {
        self.at = at;
        if !self.view.knows(from.peer) || from.peer == self.view.me() || !self.is_current(from, ledger, out) {
            return false;
        }
        let now = at.now;
        let heard = self.heard.entry(from.peer).or_insert_with(|| Heard {
            link,
            silence: Silence::begin(now),
            gone: false,
        });
        heard.link = link;
        heard.silence.excuse(now);
        if std::mem::replace(&mut heard.gone, false) {
            out.push(Output::Say(Event::Back(from)));
        }
        // It may have to be told what was taken from it.
        if self.taken.keys().any(|h| h.peer == from.peer) {
            self.dial(from.peer, out);
        }
        true
    }

    /// Whether this life of a peer is the one that counts. A life that was never seen takes the place of the
    /// one before, which is over for good: no clock says which is older, and none is asked.
    fn is_current(&mut self, from: Holder, ledger: &mut dyn Ledger, out: &mut Vec<Output>) -> bool {
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
        // Unwritten, the next process learns it again from whoever greets it first: what may be attempted rests
        // on witnesses alone.
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
    fn is_gone(&self, holder: Holder) -> bool {
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

    fn dial(&mut self, peer: Peer, out: &mut Vec<Output>) {
        if peer != self.view.me() && self.view.knows(peer) && !self.links.contains_key(&peer) {
            self.links.insert(peer, Link::default());
            out.push(Output::Dial(peer));
        }
    }

    fn ask(&self, peer: Peer, frame: Frame, out: &mut Vec<Output>) {
        let up = self.links.get(&peer).is_some_and(|l| l.up.is_some());
        if up {
            out.push(Output::Ask(peer, frame));
        }
    }

    /// Tells what happened.
    pub fn handle(&mut self, at: At, input: Input, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        self.at = at;
        match input {
            Input::Linked { holder, link } => self.linked(holder, link, ledger, out),
            Input::Unlinked { peer, link } => self.unlinked(peer, link, out),
            Input::Asked { from, link, frame } => self.asked(from, link, frame, ledger, out),
            Input::Answered { from, link, frame } => {
                let stands = self.links.get(&from).and_then(|l| l.up).filter(|u| u.1 == link);
                if let Some((reign, _)) = stands {
                    self.answered(Holder { peer: from, reign }, frame, ledger, out);
                }
            }
            Input::Take { id, record } => self.take(id, record, out),
            Input::Accept { id } => {
                if let Some(own) = self.owner.own.get_mut(&id) {
                    own.promised = true;
                }
            }
            Input::Resume { id, record } => self.resume(id, record),
            Input::Intend { id, tried } => self.intend(id, tried, ledger, out),
            Input::NeverRan { id, number } => {
                let Some(own) = self.owner.own.get_mut(&id) else { return };
                own.record.tried.iter_mut().filter(|t| t.number == number).for_each(|t| t.never_ran = true);
                self.tell_progress(id, out);
            }
            Input::Judged { id, verdict } => {
                let Some(own) = self.owner.own.get_mut(&id) else { return };
                own.record.verdict = Some(verdict);
                self.tell_progress(id, out);
            }
            Input::Over { id } => self.over(id, ledger),
            Input::Tick => self.tick(ledger, out),
        }
    }

    // What is this sender's own.

    fn take(&mut self, id: Id, record: Record, out: &mut Vec<Output>) {
        let mut own = Own::new(self.home(), FIRST, record);
        own.placed = self.at.now;
        self.owner.own.insert(id, own);
        self.place(id, out);
    }

    /// Keepers that have a copy, as far as can be told: one that is away for a moment keeps what it has.
    fn kept(&self, own: &Own) -> usize {
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
    fn place(&mut self, id: Id, out: &mut Vec<Output>) {
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
    fn may_promise(&self, home: Home) -> bool {
        let me = self.view.me();
        let there = |w: &Peer| self.links.get(w).is_some_and(|l| l.up.is_some());
        let known = |w: &Peer| self.me.known.contains(w);
        let witnesses = self.view.witnesses(me);
        let enough = witnesses.iter().filter(|w| known(w)).count() >= self.view.grants(me);
        home == self.home() && enough && witnesses.iter().all(|w| known(w) || !there(w))
    }

    fn promise(&mut self, id: Id, out: &mut Vec<Output>) {
        let Some(own) = self.owner.own.get(&id).filter(|o| !o.promised) else { return };
        if self.kept(own) < self.view.count() || !self.may_promise(own.home) {
            return;
        }
        if let Some(own) = self.owner.own.get_mut(&id) {
            own.promised = true;
            out.push(Output::Promised(id));
        }
    }

    /// What an earlier process of this sender had: its keepers are not known any more, and it may have been
    /// claimed meanwhile.
    fn resume(&mut self, id: Id, record: Record) {
        // Each that was there when an epoch began has a row that says where it is at home.
        let here = Place { home: self.home(), term: FIRST };
        let place = self.places.get(&id).copied().unwrap_or(here);
        let mut own = Own::new(place.home, place.term, record);
        (own.promised, own.recovered) = (true, true);
        own.intended = own.record.tried.iter().any(|t| own.needs_consent(t.number, self.set.attempts));
        self.returns.extend(self.view.witnesses(place.home.holder.peer));
        self.returns.remove(&self.view.me());
        self.owner.own.insert(id, own);
    }

    fn intend(&mut self, id: Id, tried: Tried, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
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
        let (witnesses, home) = (self.view.witnesses(key.home.holder.peer), self.home());
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

    fn consented(&mut self, id: Id, number: u32, out: &mut Vec<Output>) {
        let Some(own) = self.owner.own.get(&id) else { return };
        let (needed, all) =
            (Consent::needed(&self.view, own), self.view.witnesses(own.home.holder.peer).len());
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
    fn evidence(&mut self, id: Id, by: Peer, why: Why, out: &mut Vec<Output>) {
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
    fn lose(&mut self, id: Id, to: Holder, term: Term, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
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

    fn tell_progress(&mut self, id: Id, out: &mut Vec<Output>) {
        let Some(own) = self.owner.own.get(&id) else { return };
        let unix = self.at.unix;
        let frame = Frame::Progress {
            key: own.key(id),
            term: own.term,
            tried: own.record.tried.iter().take(MOST).map(|&t| ago(t, unix)).collect(),
            verdict: own.record.verdict,
        };
        let mut to: BTreeSet<Peer> = own.asked.keys().copied().collect();
        if own.intended {
            to.extend(self.view.witnesses(own.home.holder.peer));
        }
        to.remove(&self.view.me());
        to.into_iter().for_each(|peer| self.ask(peer, frame.clone(), out));
    }

    fn over(&mut self, id: Id, ledger: &mut dyn Ledger) {
        if self.places.remove(&id).is_some() {
            // Left behind, the row says nothing of another message: ids are new each time.
            let _ = ledger.write(&[gone(Row::Own(id))]);
        }
        self.let_old_copies_go(id);
        let Some(own) = self.owner.own.get(&id) else { return };
        let (key, term, me) = (own.key(id), own.term, self.view.me());
        let witnesses = self.view.witnesses(key.home.holder.peer);
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

    // Links.

    fn linked(&mut self, holder: Holder, link: u64, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
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
            for home in homes.into_iter().filter(|h| self.view.witnesses(h.holder.peer).contains(&peer)) {
                out.push(Output::Ask(peer, Frame::Return { home }));
            }
        }
        for keys in self.owner.owed_to(peer).chunks(MOST) {
            out.push(Output::Ask(peer, Frame::Over { keys: keys.to_vec() }));
        }
        let taken: Vec<(Key, Term)> = self.taken.get(&holder).cloned().unwrap_or_default();
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
    fn register(&mut self, peer: Peer, reign: Reign, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        if !self.view.witnesses(self.view.me()).contains(&peer) {
            return;
        }
        match self.me.registered.get(&peer) {
            Some(known) if *known == reign => {}
            Some(_) => {
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

    fn unlinked(&mut self, peer: Peer, link: u64, out: &mut Vec<Output>) {
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

    fn send_beat(&mut self, peer: Peer, out: &mut Vec<Output>) {
        self.beats += 1;
        let (number, now) = (self.beats, self.at.now);
        if let Some(link) = self.links.get_mut(&peer).filter(|l| l.up.is_some()) {
            link.since.get_or_insert((number, now));
            out.push(Output::Ask(peer, Frame::Beat { number }));
        }
    }

    // What others ask.

    fn asked(
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
                let record = record.unpacked(self.at.unix);
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
            Frame::Progress { key, term, tried, verdict } => {
                let unix = self.at.unix;
                let tried: Vec<Tried> = tried.into_iter().map(|t| ago(t, unix)).collect();
                self.witness.never_ran((key, term, from), &tried, ledger);
                self.keeper.progress((key, term, from), &tried, verdict, ledger);
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
                let mine = |k: &Key| self.owner.own.get(&k.id).is_some_and(|o| o.home == k.home);
                let (own, other): (Vec<Key>, Vec<Key>) = keys.into_iter().partition(mine);
                let term = |k: &Key| self.owner.own.get(&k.id).map_or(FIRST, |o| o.term);
                if !own.is_empty() {
                    answer(Frame::Mine { claims: own.into_iter().map(|k| (k, term(&k))).collect() });
                }
                let other: Vec<Key> = other.into_iter().filter(|k| !self.keeper.is_claiming(k)).collect();
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

    fn claimed(
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

    fn grant(
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

    fn room(&self) -> u32 {
        u32::try_from(self.keeper.room() / 1_024).unwrap_or(u32::MAX)
    }

    // What others answer.

    /// A witness knows of an epoch.
    fn registered(&mut self, peer: Peer, home: Home, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
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

    fn answered(&mut self, from: Holder, frame: Frame, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
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
                    asked.1 = Asked::Kept;
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
                    claims.retain(|c| !keys.contains(&c.0));
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

    /// Whether this sender owns a message in this term.
    fn owns_in(&self, key: Key, term: Term) -> bool {
        self.owner.own.get(&key.id).is_some_and(|o| (o.home, o.term) == (key.home, term))
    }

    fn forget(&self, keys: Vec<Key>, out: &mut Vec<Output>) {
        if keys.is_empty() {
            return;
        }
        let me = self.view.me();
        for peer in self.view.witnesses(me) {
            self.ask(peer, Frame::Forget { keys: keys.clone() }, out);
        }
    }

    /// What is taken on from now on is at home in another epoch: a witness has lost its memory of this one,
    /// or given it up. Nothing that any of them forgot concerns the new one.
    fn next_epoch(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        let me = Me {
            epoch: self.me.epoch + 1,
            registered: BTreeMap::new(),
            known: BTreeSet::new(),
            ..self.me.clone()
        };
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

    /// What came of a word on a claim.
    fn came(&mut self, key: Key, came: Came, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
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

    fn denied(&mut self, claim: (Key, Term, u64), by: Peer, why: Why) -> Came {
        // Lent for the call: who is gone is asked of the rest.
        let mut keeper = std::mem::take(&mut self.keeper);
        let came = keeper.denied(&self.view, self.at.now, claim, by, why, |h| self.is_gone(h));
        self.keeper = keeper;
        came
    }

    fn release(&mut self, key: Key, term: Term, round: u64, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        for peer in self.view.witnesses(key.home.holder.peer) {
            if peer == self.view.me() {
                self.witness.release((key, term, round), self.me.holder, ledger);
            } else {
                self.ask(peer, Frame::Release { round, claims: vec![(key, term)] }, out);
            }
        }
    }

    /// A claim stands: the message is this sender's, with all that is known of its attempts.
    fn adopt(
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
        if doubt {
            record.enter(DOUBT);
        }
        // Its first owner may have made these without a word.
        let free = free_attempts(self.set.attempts);
        if !record.careful && free > 0 && record.tried.iter().all(|t| t.number + 1 < free) {
            record.enter(Tried { number: free - 1, endpoint: 0, at: self.at.unix, never_ran: true });
        }
        let place = Place { home: key.home, term };
        let rows: [Change; 2] = [put(Row::Own(key.id), &place), gone(Row::Copy(key))];
        if !ledger.adopt(key.id, &record, &rows) {
            out.push(Output::Say(Event::Unwritten));
            return;
        }
        self.keeper.let_go(key);
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
            self.taken.entry(from).or_default().push((key, term));
            self.dial(from.peer, out);
            self.ask(from.peer, Frame::Taken { claims: vec![(key, term)] }, out);
        }
    }

    // Messages that are not at home with this sender, or in an epoch of which a witness has forgotten
    // something, are moved to where all witnesses know of them from the first word on.

    fn move_home(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
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

    fn ask_to_move(&mut self, id: Id, home: Home, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
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
    fn tell_move(
        &self,
        (key, term): (Key, Term),
        to: Home,
        tried: &[Tried],
        out: &mut Vec<Output>,
    ) -> Option<Peer> {
        let unix = self.at.unix;
        let told: Vec<Tried> = tried.iter().map(|&t| ago(t, unix)).take(MOST).collect();
        let witnesses = self.view.witnesses(key.home.holder.peer);
        for &peer in witnesses.iter().filter(|&&p| p != self.view.me()) {
            self.ask(peer, Frame::Move { key, term, to, tried: told.clone() }, out);
        }
        witnesses.into_iter().find(|&p| p == self.view.me())
    }

    /// A claim stands on a message whose owner had begun to move it: that is brought to its end.
    fn end_move(
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
    fn begun_before(&mut self, id: Id, why: Why) {
        let Why::Moved(to) = why else { return };
        if let Some(own) = self.owner.own.get_mut(&id).filter(|_| to.holder == self.me.holder)
            && own.moving.as_ref().is_none_or(|m| m.0 != to)
        {
            own.moving = Some((to, 0, BTreeSet::new()));
        }
    }

    /// A witness of the old home has recorded a move. Once enough have, it is done.
    fn moved(
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
    fn let_old_copies_go(&mut self, id: Id) {
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

    // What is looked at from time to time.

    fn tick(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
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
    fn look(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        let me = self.view.me();
        let mut wanted: BTreeSet<Peer> = self.view.partners(me).into_iter().collect();
        wanted.extend(self.keeper.owners().iter().map(|o| o.peer));
        for home in self.keeper.homes().into_iter().chain(self.owner.own.values().map(|o| o.home)) {
            wanted.extend(self.view.witnesses(home.holder.peer));
        }
        wanted.into_iter().for_each(|peer| self.dial(peer, out));
        let up: Vec<Peer> = self.links.iter().filter(|(_, l)| l.up.is_some()).map(|(&p, _)| p).collect();
        up.into_iter().for_each(|peer| self.send_beat(peer, out));
        // A witness whose disk took nothing, or which was away when the epoch began.
        for peer in self.view.witnesses(me) {
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
        if !std::mem::replace(&mut self.swept, true) {
            self.sweep(ledger);
        }
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
    fn sweep(&mut self, ledger: &mut dyn Ledger) {
        let left: Vec<Id> =
            self.places.keys().copied().filter(|id| !self.owner.own.contains_key(id)).collect();
        let rows: Vec<Change> = left.iter().map(|&id| gone(Row::Own(id))).collect();
        if !rows.is_empty() && ledger.write(&rows) {
            self.places.retain(|id, _| !left.contains(id));
        }
    }

    fn claim(&mut self, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
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
            for peer in self.view.witnesses(key.home.holder.peer) {
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

    /// Messages that lost a keeper get another one, those with the least time first.
    fn place_anew(&mut self, out: &mut Vec<Output>) {
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

    fn check(&mut self, out: &mut Vec<Output>) {
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
