//! The machine as a whole: what comes in, what goes out, and what is looked at from time to time.

mod answered;
mod asked;
mod linking;
mod looking;
mod moving;
mod owning;
mod taking;

use crate::frame::{Frame, MOST, ago};
use crate::keeper::{Came, Held, Keeper};
use crate::ledger::{Change, Ledger, Lives, Me, Place, Row, gone, put, read, read_copy};
use crate::names::{Epoch, FIRST, Holder, Home, Id, Key, Micros, Peer, Reign, Term};
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
/// So many, and its link is given up.
const MUTE: Micros = 15 * BEAT;
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
/// Longer than between two beats: it was not there itself.
const STALL: Micros = 3 * BEAT;
/// What it then reads may have waited for as long.
const READ_AFTER: Micros = 100_000;
/// A copy that took longer to its keeper and back is told again how much time is left.
const LONG_WAY: Micros = 50_000;
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
    /// Nothing was answered on the link to this peer for long: it is to end, and another one be dialed. Over
    /// a cut that has healed a connection may be silent for minutes yet.
    Hang(Peer),
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
    /// A witness went before it had heard of the epoch: a new one begins, with others as witnesses.
    Replaced(Peer),
    /// What was to be written could not be.
    Unwritten,
}

/// What as many more losses as copies are for would cost just now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stake {
    /// Promised messages of this sender that lack copies.
    pub lacking: usize,
    /// Those that are not at home here yet: of an earlier epoch, or taken over.
    pub elsewhere: usize,
    /// Copies here whose owner is gone, and which nobody goes on with yet.
    pub unclaimed: usize,
    /// Witnesses of this sender's home that stand and know of it, and all of them: where some are missing,
    /// nobody could go on with what is held here.
    pub witnesses: (usize, usize),
}

impl Stake {
    /// Whether nothing would be lost.
    pub fn is_none(&self) -> bool {
        (self.lacking, self.elsewhere, self.unclaimed) == (0, 0, 0) && self.witnesses.0 == self.witnesses.1
    }
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
    /// Rows of promised copies, while rows are read: they come in any order.
    sure: Vec<Key>,
    /// What former owners are to be told.
    taken: BTreeMap<Holder, BTreeMap<Key, Term>>,
    /// Messages of which it is not known yet whether they were claimed, by witness: not asked after a return.
    returns: BTreeSet<Peer>,
    places: BTreeMap<Id, Place>,
    round: u64,
    /// When this process was last found to have been stopped or starved, and for how long.
    stall: (Micros, Micros),
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
        let epoch = Epoch::FIRST;
        let witnesses = view.witnesses(Home { holder, epoch });
        let (registered, known) = (BTreeMap::new(), BTreeSet::new());
        let me = Me { holder, epoch, registered, witnesses, known };
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
            sure: Vec::new(),
            taken: BTreeMap::new(),
            returns: BTreeSet::new(),
            places: BTreeMap::new(),
            round: 0,
            stall: (0, 0),
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
        for key in std::mem::take(&mut all.sure) {
            all.keeper.restore_sure(&key);
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
            Row::Copy(key) => self.keeper.restore(key, read_copy(value)?),
            Row::Sure(key) => self.sure.push(key),
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

    /// What would be lost with as many more machines as copies are for, as far as can be told from here.
    pub fn stake(&self) -> Stake {
        let home = self.home();
        let all = self.view.witnesses(home);
        let stands =
            |w: &&Peer| self.me.known.contains(w) && self.links.get(w).is_some_and(|l| l.up.is_some());
        // What nobody could be granted in its time, and for long after, is the operators' matter (`FORLORN`).
        let counts = |h: &&Held| h.record.deadline > self.at.unix.saturating_sub(OVERDUE);
        let unclaimed = self.keeper.owned_by(|h| self.is_gone(h)).filter(counts).count();
        Stake {
            lacking: self.lacking(),
            elsewhere: self.owner.own.values().filter(|o| o.promised && o.home != home).count(),
            unclaimed,
            witnesses: (all.iter().filter(stands).count(), all.len()),
        }
    }

    /// Copies that are kept here for others.
    pub fn held(&self) -> usize {
        self.keeper.len()
    }

    /// What a witness here remembers.
    pub fn seats(&self) -> usize {
        self.witness.seats()
    }

    /// Whether each witness has said what of this sender's was claimed while it was away.
    pub fn is_back(&self) -> bool {
        let grants = |own: &Own| self.view.grants(own.home);
        self.owner.own.is_empty()
            || self.returns.is_empty() && self.owner.own.values().all(|o| o.told.len() < grants(o))
    }

    /// Whether all witnesses know of this sender, and as many keepers as are wanted can be asked.
    pub fn may_begin(&self) -> bool {
        let up = self.links.values().filter(|l| l.up.is_some()).count();
        let witnesses = self.view.witnesses(self.home());
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
        // It is called at each beat.
        let gap = at.now.saturating_sub(self.at.now);
        if gap > STALL {
            self.stall = (at.now, gap);
        }
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
                    (own.promised, own.record.sure) = (true, true);
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
}
