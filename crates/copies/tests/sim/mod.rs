//! A fleet in virtual time: the machines as they are, and round each what the daemon does: a folder, clients,
//! attempts, notices. Between them links that are cut, slow, and come back; senders that stop in any
//! instruction, die, and lose their folder.

#![allow(dead_code)]

use notchpoint_copies::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// A client waits so long.
const CLIENT: Micros = 300 * MS;
const LIMIT: u32 = 8;
/// The wall's clock differs from the other by so much.
const UNIX: Micros = 1_700_000_000 * S;

/// What a program does wrong, to show that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    None,
    /// Attempts are made without a word to anyone.
    NoIntent,
    /// They are told, and not waited for.
    IntentNotAwaited,
    /// A witness consents to whoever asks.
    TermNotChecked,
    /// A client is told before any keeper has its message.
    PromiseBeforeKeeper,
    /// A witness grants claims on an owner that it hears.
    OneAccusingLink,
    /// A sender goes on with what its folder holds without asking.
    ReturnWithoutAsking,
    /// Nobody is told of ends.
    EndNotTold,
    /// A withdrawal is told to a client without consent.
    BounceWithoutConsent,
}

#[derive(Default)]
struct Folder {
    rows: BTreeMap<Vec<u8>, Vec<u8>>,
    messages: BTreeMap<Id, Record>,
    full: bool,
}

impl Ledger for Folder {
    fn write(&mut self, changes: &[Change]) -> bool {
        if self.full {
            return false;
        }
        for c in changes {
            match &c.value {
                Some(v) => drop(self.rows.insert(c.key.clone(), v.clone())),
                None => drop(self.rows.remove(&c.key)),
            }
        }
        true
    }

    fn adopt(&mut self, id: Id, record: &Record, changes: &[Change]) -> bool {
        let written = self.write(changes);
        if written {
            self.messages.insert(id, record.clone());
        }
        written
    }
}

/// What a sender is doing with a message.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Doing {
    /// Its client waits until then.
    Client(Micros),
    /// Nothing, until then.
    Rests(Micros),
    /// It waits for consent to this attempt, until then.
    Asks(u32, Micros),
    /// An attempt is out; its outcome comes then.
    Out(u32, Micros, Fate),
    /// It asked whether it may say that handing in again is harmless, until then.
    Closing(Micros),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Served,
    Full,
    NoAnswer,
}

struct Node {
    name: String,
    machine: Option<Copies>,
    folder: Folder,
    doing: BTreeMap<Id, Doing>,
    numbers: BTreeMap<Id, u32>,
    /// Stopped until then.
    stopped: Micros,
    /// Dead until then.
    dead: Micros,
    /// Frames in its sockets, in order.
    inbox: VecDeque<(Micros, Inbound)>,
    dials: BTreeMap<Peer, Dial>,
    back_by: Micros,
    life: u64,
}

/// A link as who dialed it sees it.
#[derive(Default)]
struct Dial {
    up: Option<u64>,
    again: Micros,
}

enum Inbound {
    Greet(Holder, u64),
    Asked(Holder, u64, Frame),
    Linked(Holder, u64),
    Answered(Peer, u64, Frame),
    Unlinked(Peer, u64),
}

/// What became of a message.
#[derive(Default, Debug)]
pub struct Fact {
    pub careful: bool,
    pub promised: Option<Micros>,
    pub effects: usize,
    pub attempts: BTreeSet<(u32, usize)>,
    pub delivered: usize,
    pub dead: usize,
    pub bounced: usize,
    pub deadline: Micros,
}

impl Fact {
    pub fn ended(&self) -> bool {
        self.delivered + self.dead + self.bounced > 0
    }
}

pub struct Fleet {
    nodes: Vec<Node>,
    peers: BTreeMap<Peer, usize>,
    /// One-way cuts, until when, and delays.
    cuts: BTreeMap<(usize, usize), Micros>,
    slow: BTreeMap<(usize, usize), (Micros, Micros)>,
    /// The last frame's arrival by link and direction: a link keeps its order.
    last: BTreeMap<(u64, bool), Micros>,
    /// Links that stand: who dialed whom; and the last one of each pair.
    links: BTreeMap<u64, (usize, usize)>,
    latest: BTreeMap<(usize, usize), u64>,
    /// Frames and bytes that each sender has put on links.
    pub sent: Vec<(u64, u64)>,
    next_link: u64,
    next_id: u64,
    pub now: Micros,
    pub facts: BTreeMap<Id, Fact>,
    pub took: usize,
    pub gave: usize,
    pub lost: usize,
    pub said: Vec<(Micros, usize, Event)>,
    pub rng: Pcg64,
    count: usize,
    zones: usize,
    mutant: Mutant,
    /// Chance of each fate of an attempt, in percent.
    pub full: u32,
    pub silent: u32,
    /// How long an attempt takes at most.
    pub takes: Micros,
    pub seats: usize,
    /// Processes may be stopped between a consent and the first byte.
    pub faults: bool,
}

impl Fleet {
    pub fn new(seed: u64, n: usize, count: usize, mutant: Mutant) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            peers: BTreeMap::new(),
            cuts: BTreeMap::new(),
            slow: BTreeMap::new(),
            last: BTreeMap::new(),
            links: BTreeMap::new(),
            latest: BTreeMap::new(),
            sent: vec![(0, 0); n],
            next_link: 1,
            next_id: 1,
            now: S,
            facts: BTreeMap::new(),
            took: 0,
            gave: 0,
            lost: 0,
            said: Vec::new(),
            rng: Pcg64::seed_from_u64(seed),
            count,
            zones: 3,
            mutant,
            full: 20,
            silent: 5,
            takes: 200 * MS,
            seats: SEATS,
            faults: false,
        };
        for i in 0..n {
            let name = format!("n{i}");
            fleet.peers.insert(Peer::named(&name), i);
            fleet.nodes.push(Node {
                name,
                machine: None,
                folder: Folder::default(),
                doing: BTreeMap::new(),
                numbers: BTreeMap::new(),
                stopped: 0,
                dead: 0,
                inbox: VecDeque::new(),
                dials: BTreeMap::new(),
                back_by: 0,
                life: 0,
            });
        }
        (0..n).for_each(|i| fleet.start(i));
        fleet
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    fn at(&self) -> At {
        At { now: self.now, unix: UNIX + self.now }
    }

    fn start(&mut self, i: usize) {
        let sender = |j: usize| Sender { name: format!("n{j}"), zone: Some(format!("z{}", j % self.zones)) };
        let others = (0..self.nodes.len()).filter(|&j| j != i).map(sender).collect();
        let view = View::new(sender(i), others, self.count).expect("sound");
        let reign = Reign(self.rng.random());
        let set = Set { attempts: LIMIT, seats: self.seats, ..Set::default() };
        let at = self.at();
        let node = &mut self.nodes[i];
        node.life += 1;
        // A sender that cannot write its first row does not start.
        node.folder.full &= !node.folder.rows.is_empty();
        let rows: Vec<_> = node.folder.rows.iter().map(|(k, v)| (k.clone(), v.clone())).collect();
        let machine = Copies::new(view, set, reign, rows.into_iter(), at, &mut node.folder);
        node.machine = Some(machine.expect("sound"));
        node.doing.clear();
        node.numbers.clear();
        node.dials.clear();
        node.back_by = self.now + 300 * MS;
        let all: Vec<(Id, Record)> = node.folder.messages.iter().map(|(&i, r)| (i, r.clone())).collect();
        for (id, record) in all {
            self.tell(i, Input::Resume { id, record: record.clone() });
            self.take_up(i, id, &record, self.now);
        }
        self.tell(i, Input::Tick);
    }

    /// A message that is owned goes on: what may have run is not sent again unless it may be repeated.
    fn take_up(&mut self, i: usize, id: Id, record: &Record, from: Micros) {
        let made = record.tried.iter().filter(|t| t.number < 1 << 16).map(|t| t.number + 1).max();
        let node = &mut self.nodes[i];
        node.numbers.insert(id, made.unwrap_or(0));
        let ran = record.tried.iter().any(|t| !t.never_ran);
        node.doing.insert(id, Doing::Rests(from));
        if record.verdict.is_some() || record.careful && (ran || !record.sure) {
            self.end(i, id, Verdict::Dead);
        }
    }

    /// Ends the process; its connections end with it.
    pub fn kill(&mut self, i: usize, back_in: Micros) {
        self.trace(i, &("fault: killed", back_in));
        let node = &mut self.nodes[i];
        (node.machine, node.dead, node.stopped) = (None, self.now + back_in, 0);
        node.inbox.clear();
        let ended: Vec<u64> =
            self.links.iter().filter(|(_, l)| l.0 == i || l.1 == i).map(|(&l, _)| l).collect();
        ended.into_iter().for_each(|l| self.break_link(l));
    }

    /// The machine is gone with its disk; an empty one takes its place.
    pub fn lose(&mut self, i: usize, back_in: Micros) {
        self.trace(i, &("fault: lost", back_in));
        self.kill(i, back_in);
        self.nodes[i].folder = Folder::default();
        self.lost += 1;
    }

    pub fn stop(&mut self, i: usize, how_long: Micros) {
        self.trace(i, &("fault: stopped", how_long));
        self.nodes[i].stopped = self.now + how_long;
    }

    pub fn is_running(&self, i: usize) -> bool {
        self.nodes[i].machine.is_some() && self.nodes[i].stopped <= self.now
    }

    pub fn fill_disk(&mut self, i: usize, full: bool) {
        if self.nodes[i].folder.full != full {
            self.trace(i, &("fault: full", full));
        }
        self.nodes[i].folder.full = full;
    }

    /// Nothing passes from one to another; a side that waits for it finds out by silence alone.
    pub fn cut(&mut self, from: usize, to: usize, how_long: Micros) {
        self.trace(from, &("fault: cut", to, how_long));
        self.cuts.insert((from, to), self.now + how_long);
    }

    pub fn delay(&mut self, from: usize, to: usize, by: Micros, how_long: Micros) {
        self.slow.insert((from, to), (by, self.now + how_long));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.slow.clear();
        for node in &mut self.nodes {
            (node.stopped, node.dead) = (0, node.dead.min(self.now));
        }
        // What still waits for the end of a cut is sent anew, on a new connection.
        let soon = self.now + 100 * MS;
        let waits = self.last.iter().filter(|(_, at)| **at > soon).map(|((l, _), _)| *l);
        let waits: BTreeSet<u64> = waits.collect();
        waits.into_iter().for_each(|l| self.break_link(l));
    }

    pub fn is_whole(&self) -> bool {
        self.cuts.values().all(|&t| t <= self.now) && self.nodes.iter().all(|n| n.stopped <= self.now)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.get(&(from, to)).is_some_and(|&until| until > self.now)
    }

    /// Frames on their way are lost with the link.
    fn break_link(&mut self, link: u64) {
        let Some((a, b)) = self.links.remove(&link) else { return };
        let (at, to) = (self.now, Peer::named(&self.nodes[b].name));
        let of = |m: &Inbound| match m {
            Inbound::Greet(_, l)
            | Inbound::Asked(_, l, _)
            | Inbound::Linked(_, l)
            | Inbound::Answered(_, l, _)
            | Inbound::Unlinked(_, l) => *l,
        };
        // What had arrived in a socket can still be read; what had not is gone.
        for node in [a, b] {
            self.nodes[node].inbox.retain(|(t, m)| of(m) != link || *t <= at);
        }
        if self.nodes[a].machine.is_some() {
            self.nodes[a].inbox.push_back((at, Inbound::Unlinked(to, link)));
        }
    }

    fn arrive(&mut self, link: u64, back: bool, what: Inbound) {
        let Some(&(a, b)) = self.links.get(&link) else { return };
        let (from, to) = if back { (b, a) } else { (a, b) };
        // A connection over a cut delivers later, when it heals, or never: it breaks when somebody gives up.
        let cut = self.cuts.get(&(from, to)).copied().filter(|&t| t > self.now);
        let slow = self.slow.get(&(from, to)).filter(|s| s.1 > self.now).map_or(0, |s| s.0);
        let usual = self.rng.random_range(MS / 2..3 * MS);
        let at = cut.unwrap_or(self.now) + usual + slow;
        let last = self.last.entry((link, back)).or_default();
        *last = at.max(*last);
        let at = *last;
        let inbox = &mut self.nodes[to].inbox;
        let place = inbox.iter().rposition(|(t, _)| *t <= at).map_or(0, |p| p + 1);
        inbox.insert(place, (at, what));
    }

    fn dial(&mut self, i: usize, peer: Peer) {
        let Some(&to) = self.peers.get(&peer) else { return };
        let again = self.now + 50 * MS;
        let dial = self.nodes[i].dials.entry(peer).or_default();
        dial.again = again;
        if self.nodes[to].machine.is_none() || self.is_cut(i, to) || self.is_cut(to, i) {
            return;
        }
        let (link, me) = (self.next_link, self.nodes[i].machine.as_ref().expect("alive").holder());
        self.next_link += 1;
        self.links.insert(link, (i, to));
        self.latest.insert((i, to), link);
        let theirs = self.nodes[to].machine.as_ref().expect("alive").holder();
        self.nodes[i].dials.entry(peer).or_default().up = Some(link);
        self.arrive(link, false, Inbound::Greet(me, link));
        self.arrive(link, true, Inbound::Linked(theirs, link));
    }

    fn tell(&mut self, i: usize, input: Input) {
        if !matches!(input, Input::Asked { .. } | Input::Answered { .. }) {
            self.trace(i, &("told", &input));
        }
        let at = self.at();
        let node = &mut self.nodes[i];
        let Some(machine) = &mut node.machine else { return };
        if self.mutant == Mutant::EndNotTold && matches!(input, Input::Over { .. }) {
            return;
        }
        let mut out = Vec::new();
        machine.handle(at, input, &mut node.folder, &mut out);
        self.carry_out(i, out);
    }

    fn carry_out(&mut self, i: usize, out: Vec<Output>) {
        for o in out {
            self.trace(i, &o);
            match o {
                Output::Dial(peer) => self.dial(i, peer),
                Output::Hang(peer) => {
                    let up = self.nodes[i].dials.get(&peer).and_then(|d| d.up);
                    up.into_iter().for_each(|link| self.break_link(link));
                }
                Output::Ask(peer, frame) => {
                    let up = self.nodes[i].dials.get(&peer).and_then(|d| d.up);
                    let me = self.nodes[i].machine.as_ref().expect("alive").holder();
                    // Over the wire, as it is.
                    let bytes = write(&frame);
                    self.count(i, bytes.len());
                    let frame = read(&bytes).expect("sound").expect("whole").0;
                    if let Some(link) = up {
                        self.arrive(link, false, Inbound::Asked(me, link, frame));
                    }
                }
                Output::Answer(peer, frame) => {
                    let frame = self.mutated(frame);
                    let from = self.peers[&peer];
                    self.count(i, write(&frame).len());
                    let link = self.latest.get(&(from, i)).copied().filter(|l| self.links.contains_key(l));
                    let me = Peer::named(&self.nodes[i].name);
                    if let Some(link) = link {
                        self.arrive(link, true, Inbound::Answered(me, link, frame));
                    }
                }
                Output::Promised(id) => self.promised(i, id),
                Output::Short(id) => self.withdraw(i, id),
                Output::Granted(id, number) => self.granted(i, id, number),
                Output::Refused(id, number) => self.refused(i, id, number),
                Output::Adopted(id) => {
                    self.took += 1;
                    let record = self.nodes[i].folder.messages[&id].clone();
                    self.take_up(i, id, &record, self.now);
                }
                Output::Lost(id) => {
                    self.gave += 1;
                    self.forget(i, id);
                    self.tell(i, Input::Over { id });
                }
                Output::Say(event) => self.said.push((self.now, i, event)),
            }
        }
    }

    fn count(&mut self, i: usize, bytes: usize) {
        let (frames, all) = &mut self.sent[i];
        (*frames, *all) = (*frames + 1, *all + bytes as u64);
    }

    /// Links that each sender holds, dialed and answered.
    pub fn held_links(&self) -> Vec<usize> {
        let mut held = vec![0; self.nodes.len()];
        for &(a, b) in self.links.values() {
            held[a] += 1;
            held[b] += 1;
        }
        held
    }

    fn mutated(&self, frame: Frame) -> Frame {
        match (self.mutant, frame) {
            (Mutant::TermNotChecked, Frame::Refuse { key, term, number, .. }) => {
                Frame::Consent { key, term, number }
            }
            (Mutant::OneAccusingLink, Frame::Deny { round, claims }) => {
                let all = claims.into_iter().map(|(key, term, _)| (key, term, vec![], None)).collect();
                Frame::Grant { round, claims: all }
            }
            (_, frame) => frame,
        }
    }

    /// A client hands a message in.
    pub fn hand_in(&mut self, i: usize, careful: bool, time: Micros) -> Id {
        let id = Id(self.next_id);
        self.next_id += 1;
        let record = Record {
            class: "c".into(),
            tenant: "t".into(),
            dest: 1,
            deadline: UNIX + self.now + time,
            body: bytes::Bytes::from_static(b"body"),
            careful,
            sure: false,
            tried: vec![],
            verdict: None,
            idempotency_key: String::new(),
        };
        self.facts.insert(id, Fact { careful, deadline: self.now + time, ..Fact::default() });
        if !self.is_running(i) || self.nodes[i].folder.full {
            return id;
        }
        let until = self.now + CLIENT;
        self.nodes[i].folder.messages.insert(id, record.clone());
        self.nodes[i].doing.insert(id, Doing::Client(until));
        self.nodes[i].numbers.insert(id, 0);
        self.tell(i, Input::Take { id, record });
        if self.mutant == Mutant::PromiseBeforeKeeper {
            self.promised(i, id);
        }
        id
    }

    fn promised(&mut self, i: usize, id: Id) {
        if let Some(doing @ Doing::Client(_)) = self.nodes[i].doing.get_mut(&id) {
            *doing = Doing::Rests(self.now);
            if let Some(record) = self.nodes[i].folder.messages.get_mut(&id) {
                record.sure = true;
            }
            self.facts.entry(id).or_default().promised = Some(self.now);
        }
    }

    fn withdraw(&mut self, i: usize, id: Id) {
        if let Some(Doing::Client(_)) = self.nodes[i].doing.get(&id) {
            self.forget(i, id);
            self.tell(i, Input::Over { id });
        }
    }

    fn forget(&mut self, i: usize, id: Id) {
        let node = &mut self.nodes[i];
        node.doing.remove(&id);
        node.folder.messages.remove(&id);
    }

    /// The platform is told of an end.
    fn end(&mut self, i: usize, id: Id, verdict: Verdict) {
        self.tell(i, Input::Judged { id, verdict });
        let fact = self.facts.entry(id).or_default();
        match verdict {
            Verdict::Dead => fact.dead += 1,
            Verdict::Bounced(_) => fact.bounced += 1,
        }
        self.forget(i, id);
        self.tell(i, Input::Over { id });
    }

    fn granted(&mut self, i: usize, id: Id, number: u32) {
        match self.nodes[i].doing.get(&id) {
            Some(Doing::Asks(n, _)) if *n == number => {}
            Some(Doing::Closing(_)) if number == CLOSED => return self.end(i, id, Verdict::Bounced(0)),
            _ => return,
        }
        // Between the consent and the first byte the process may be stopped.
        if self.faults && self.rng.random_ratio(1, 40) {
            let how_long = self.rng.random_range(S..6 * S);
            self.stop(i, how_long);
        }
        let x = self.rng.random_range(0..100);
        let fate = if x < self.full {
            Fate::Full
        } else if x < self.full + self.silent {
            Fate::NoAnswer
        } else {
            Fate::Served
        };
        let at = self.now.max(self.nodes[i].stopped) + self.rng.random_range(MS..self.takes);
        let fact = self.facts.entry(id).or_default();
        fact.effects += usize::from(fate != Fate::Full);
        fact.attempts.insert((number, i));
        self.nodes[i].doing.insert(id, Doing::Out(number, at, fate));
    }

    fn refused(&mut self, i: usize, id: Id, number: u32) {
        match self.nodes[i].doing.get(&id) {
            Some(Doing::Asks(n, _)) if *n == number => {
                self.nodes[i].doing.insert(id, Doing::Rests(self.now + 800 * MS));
                self.tell(i, Input::NeverRan { id, number });
            }
            Some(Doing::Closing(_)) if number == CLOSED => self.end(i, id, Verdict::Dead),
            _ => {}
        }
    }

    fn attempt(&mut self, i: usize, id: Id) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let number = *node.numbers.entry(id).and_modify(|n| *n += 1).or_insert(1) - 1;
        if number >= LIMIT {
            return self.end(i, id, Verdict::Dead);
        }
        let tried = Tried { number, endpoint: 1, at: UNIX + now, never_ran: false };
        if let Some(record) = node.folder.messages.get_mut(&id) {
            record.tried.push(tried);
        }
        node.doing.insert(id, Doing::Asks(number, now + S));
        if self.mutant != Mutant::NoIntent {
            self.tell(i, Input::Intend { id, tried });
        }
        if matches!(self.mutant, Mutant::NoIntent | Mutant::IntentNotAwaited) {
            self.granted(i, id, number);
        }
    }

    fn never_ran(&mut self, i: usize, id: Id, number: u32) {
        if let Some(record) = self.nodes[i].folder.messages.get_mut(&id) {
            record.tried.iter_mut().filter(|t| t.number == number).for_each(|t| t.never_ran = true);
        }
        self.tell(i, Input::NeverRan { id, number });
    }

    /// What a sender does with its messages.
    fn work(&mut self, i: usize) {
        let now = self.now;
        let asks = self.mutant != Mutant::ReturnWithoutAsking;
        let back = self.nodes[i].machine.as_ref().is_some_and(Copies::is_back);
        if asks && !back && now < self.nodes[i].back_by {
            return;
        }
        let all: Vec<(Id, Doing)> = self.nodes[i].doing.iter().map(|(&i, &d)| (i, d)).collect();
        for (id, doing) in all {
            if !self.nodes[i].doing.contains_key(&id) {
                continue;
            }
            let over = self.facts[&id].deadline <= now + 20 * MS;
            match doing {
                Doing::Client(until) if until <= now => self.withdraw(i, id),
                Doing::Client(_) => {}
                Doing::Rests(_) if over => {
                    let tried = Tried { number: CLOSED, endpoint: 0, at: UNIX + now, never_ran: false };
                    self.nodes[i].doing.insert(id, Doing::Closing(now + 150 * MS));
                    if self.mutant == Mutant::BounceWithoutConsent || !self.facts[&id].careful {
                        self.end(i, id, Verdict::Bounced(0));
                    } else {
                        self.tell(i, Input::Intend { id, tried });
                    }
                }
                Doing::Rests(from) if from <= now => self.attempt(i, id),
                Doing::Rests(_) => {}
                Doing::Asks(number, until) if until <= now || over => {
                    self.nodes[i].doing.insert(id, Doing::Rests(now + 200 * MS));
                    self.never_ran(i, id, number);
                }
                Doing::Asks(..) => {}
                Doing::Closing(until) if until <= now => self.end(i, id, Verdict::Dead),
                Doing::Closing(_) => {}
                Doing::Out(number, at, fate) if at <= now => match fate {
                    Fate::Served => {
                        self.facts.entry(id).or_default().delivered += 1;
                        self.forget(i, id);
                        self.tell(i, Input::Over { id });
                    }
                    Fate::Full => {
                        let rest = self.rng.random_range(50 * MS..400 * MS);
                        self.nodes[i].doing.insert(id, Doing::Rests(now + rest));
                        self.never_ran(i, id, number);
                    }
                    Fate::NoAnswer if self.facts[&id].careful => self.end(i, id, Verdict::Dead),
                    Fate::NoAnswer => {
                        self.nodes[i].doing.insert(id, Doing::Rests(now + 300 * MS));
                    }
                },
                Doing::Out(..) => {}
            }
        }
    }

    /// Goes on for so long, in steps of a millisecond.
    pub fn run(&mut self, how_long: Micros) {
        let until = self.now + how_long;
        while self.now < until {
            self.now += MS;
            for i in 0..self.nodes.len() {
                if self.nodes[i].machine.is_none() {
                    if self.nodes[i].dead <= self.now {
                        self.start(i);
                    }
                    continue;
                }
                if self.nodes[i].stopped > self.now {
                    continue;
                }
                while self.nodes[i].inbox.front().is_some_and(|(t, _)| *t <= self.now) {
                    let Some((_, what)) = self.nodes[i].inbox.pop_front() else { break };
                    self.hear(i, what);
                    if self.nodes[i].stopped > self.now {
                        break;
                    }
                }
                if self.nodes[i].stopped > self.now {
                    continue;
                }
                let due = self.nodes[i].machine.as_ref().is_some_and(|m| m.wake() <= self.now);
                if due {
                    self.tell(i, Input::Tick);
                }
                let again: Vec<Peer> = self.nodes[i]
                    .dials
                    .iter()
                    .filter(|(_, d)| d.up.is_none() && d.again <= self.now)
                    .map(|(&p, _)| p)
                    .collect();
                again.into_iter().for_each(|p| self.dial(i, p));
                self.give_up_on_cut_links(i);
                if self.now.is_multiple_of(5 * MS) {
                    self.work(i);
                }
            }
        }
    }

    /// Who dialed ends a link on which nothing was answered for a while.
    fn give_up_on_cut_links(&mut self, i: usize) {
        if !self.now.is_multiple_of(500 * MS) {
            return;
        }
        let cut: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, l)| l.0 == i && (self.is_cut(l.0, l.1) || self.is_cut(l.1, l.0)))
            .map(|(&l, _)| l)
            .collect();
        cut.into_iter().for_each(|l| self.break_link(l));
    }

    /// Says what passes of one message: TRACE is its number.
    fn trace(&self, i: usize, what: &dyn std::fmt::Debug) {
        let Some(id) = std::env::var("TRACE").ok().and_then(|t| t.parse::<u64>().ok()) else { return };
        let text = format!("{what:?}");
        if text.contains(&format!("Id({id})"))
            || text.contains("fault")
            || text.contains("Forgot")
            || text.contains("Unwritten")
            || text.contains("Regist")
            || text.contains("Linked")
            || text.contains("Unlinked")
        {
            println!("{:>9} n{i}: {}", self.now, text.replace("Key { home: Home", ""));
        }
    }

    fn hear(&mut self, i: usize, what: Inbound) {
        match &what {
            Inbound::Asked(f, _, x) => self.trace(i, &("asked by", self.peers[&f.peer], x)),
            Inbound::Answered(f, _, x) => self.trace(i, &("answered by", self.peers[f], x)),
            _ => {}
        }
        match what {
            Inbound::Greet(from, link) => {
                let at = self.at();
                let node = &mut self.nodes[i];
                let mut out = Vec::new();
                if let Some(machine) = &mut node.machine {
                    let fine = machine.greet(at, from, link, &mut node.folder, &mut out);
                    self.carry_out(i, out);
                    if !fine {
                        self.break_link(link);
                    }
                }
            }
            Inbound::Asked(from, link, frame) => self.tell(i, Input::Asked { from, link, frame }),
            Inbound::Linked(holder, link) => self.tell(i, Input::Linked { holder, link }),
            Inbound::Answered(from, link, frame) => self.tell(i, Input::Answered { from, link, frame }),
            Inbound::Unlinked(peer, link) => {
                let again = self.now + 50 * MS;
                let dial = self.nodes[i].dials.entry(peer).or_default();
                if dial.up == Some(link) {
                    (dial.up, dial.again) = (None, again);
                }
                self.tell(i, Input::Unlinked { peer, link });
            }
        }
    }

    /// What is still kept anywhere: messages, copies, and what witnesses remember of.
    pub fn left(&self) -> (usize, usize, usize) {
        let all = self.nodes.iter().filter_map(|n| n.machine.as_ref().map(|m| (n, m)));
        all.fold((0, 0, 0), |(a, b, c), (n, m)| (a + n.folder.messages.len(), b + m.held(), c + m.seats()))
    }

    /// Nothing that is promised would be lost with as many machines as copies are for, as all say that run.
    pub fn bears_losses(&self) -> bool {
        let says = |n: &Node| n.machine.as_ref().is_some_and(|m| m.stake().is_none());
        self.nodes.iter().all(|n| n.stopped <= self.now && says(n))
    }

    /// What each sender that runs says another loss would cost.
    pub fn stakes(&self) -> Vec<Stake> {
        self.nodes.iter().filter_map(|n| n.machine.as_ref()).map(Copies::stake).collect()
    }

    /// Goes on until another loss can be borne; gives whether that came within a minute.
    pub fn run_until_mended(&mut self) -> bool {
        let until = self.now + 60 * S;
        while !self.bears_losses() && self.now < until {
            self.run(10 * MS);
        }
        self.bears_losses()
    }

    /// The rules. Says what is broken.
    pub fn check(&self) -> Result<(), String> {
        for (id, f) in &self.facts {
            let why = if f.promised.is_some() && !f.ended() {
                "promised, and never ended"
            } else if f.careful && f.effects > 1 {
                "took effect twice"
            } else if f.careful && f.bounced > 0 && f.effects > 0 {
                "said to be harmless to hand in again, and took effect"
            } else if f.attempts.len() > LIMIT as usize {
                "more attempts than allowed"
            } else {
                continue;
            };
            return Err(format!("{id}: {why}: {f:?}"));
        }
        Ok(())
    }
}
