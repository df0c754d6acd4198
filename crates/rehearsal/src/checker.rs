//! The rules, checked on what was seen beside the senders. It knows the protocol, and nothing of how a sender
//! decides: no line of it reads a sender's state.

use crate::book::Message;
use crate::run::Outcome;
use crate::scenario::{Do, Event};
use notchpoint_emulator::{CallRecord, Micros};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

const MS: Micros = 1_000;
const SEC: Micros = 1_000_000;
/// A message that was taken on has ended so long after its time is up.
const LATE: Micros = 300 * MS;
/// Each limit is so much longer on sockets.
const SLACK: Micros = 50 * MS;
/// A sender that is ready again has so long for what came due while it was away.
const CATCH_UP: Micros = 1_500 * MS;
/// Where copies are kept: a silence, what it takes to agree on it, and to reach who may have forgotten.
const TAKEOVER: Micros = 4 * SEC;
/// What discovery has to tell counts as told so long after it could, whether or not it arrived.
const TOLD: Micros = 6 * SEC;
/// Calls that come so soon after a wait was told, or a drain, are let through.
const GRACE: Micros = 100 * MS;
/// An answer that crosses its message's end on the way is nobody's fault.
const CROSSING: Micros = 50 * MS;
/// Clients that send what nobody should are owed an error or a close.
const OWED: Micros = 3 * SEC;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// What was taken on is delivered, or ended by a notice in time.
    NothingMissing,
    /// What must not be repeated takes effect once at most.
    NothingTwice,
    /// A message that was delivered, or ended, is not ended again.
    OneFinalAnswer,
    /// Nothing is sent to an endpoint that drains or has gone.
    DrainsKept,
    /// A destination that comes back is not pushed over.
    ReturningNotPushed,
    /// Nothing is sent while a wait that was told runs.
    WaitsHeeded,
    /// No more attempts than are allowed, and no second copy.
    AttemptLimit,
    /// A sender's calls to one destination stay under three quarters of its slots, and all under its slots.
    OwnCap,
    /// A sender does not end, hang or outgrow its folder.
    StaysUp,
    /// Clients that send what nobody should get an error or a close.
    BadClients,
    /// What is sent can be read, belongs where it goes, and was handed in.
    Protocol,
}

/// All rules, in their order.
pub const RULES: [Rule; 11] = [
    Rule::NothingMissing,
    Rule::NothingTwice,
    Rule::OneFinalAnswer,
    Rule::DrainsKept,
    Rule::ReturningNotPushed,
    Rule::WaitsHeeded,
    Rule::AttemptLimit,
    Rule::OwnCap,
    Rule::StaysUp,
    Rule::BadClients,
    Rule::Protocol,
];

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Breach {
    /// When, in microseconds.
    pub at: Micros,
    /// Which rule.
    pub rule: Rule,
    /// The message, by its `X-Request-ID`, where it is about one.
    pub message: Option<String>,
    /// What either side saw.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let message = self.message.as_ref().map(|m| format!(" message {m}")).unwrap_or_default();
        write!(f, "{:>9.3} s  {:?}{message}: {}", self.at as f64 / 1e6, self.rule, self.what)
    }
}

/// Every breach, in the order of time.
pub fn check(o: &Outcome) -> Vec<Breach> {
    let mut c = Checker { o, found: Vec::new() };
    c.messages();
    c.effects();
    c.drains();
    c.calls();
    c.processes();
    c.found.sort();
    c.found
}

struct Checker<'a> {
    o: &'a Outcome,
    found: Vec<Breach>,
}

fn seconds(t: Micros) -> String {
    format!("{:.3} s", t as f64 / 1e6)
}

impl Checker<'_> {
    fn say(&mut self, at: Micros, rule: Rule, message: Option<u64>, what: String) {
        let message = message.map(|id| format!("{id:016x}"));
        self.found.push(Breach { at, rule, message, what });
    }

    fn messages(&mut self) {
        let book = self.o.book.clone();
        for (&id, m) in book.messages.borrow().iter() {
            let taken = m.answered.filter(|(_, status)| matches!(status, 200 | 202));
            if let Some((taken, _)) = taken.filter(|_| m.forsaken.is_none()) {
                self.ends(id, m, taken);
            }
            self.one_answer(id, m);
        }
    }

    fn ends(&mut self, id: u64, m: &Message, taken: Micros) {
        let ended = m.delivered.into_iter().chain(m.notices.iter().map(|n| n.at)).min();
        // Handed to a process that was stopped, it was read only after that, and its time counts from there:
        // no socket tells when bytes came.
        let unread =
            self.frozen(m.sender).find(|f| (f.0..f.1).contains(&m.handed)).map_or(0, |f| f.1 - m.handed);
        let due = self.excused(m.sender, m.deadline + LATE + SLACK + unread);
        if due >= self.o.end || ended.is_some_and(|e| e <= due) {
            return;
        }
        let (client, calls) = (seconds(taken), self.seen(id));
        let got = ended.map_or("nothing".to_owned(), |e| format!("its end only at {}", seconds(e)));
        let what = format!(
            "client: taken on by sender {} at {client}, to end by {}; platform: {got}; partner: {calls}",
            m.sender,
            seconds(m.deadline + LATE)
        );
        self.say(due, Rule::NothingMissing, Some(id), what);
    }

    /// A limit on a notice, moved on where its sender was away.
    fn excused(&self, sender: usize, due: Micros) -> Micros {
        let lives = self.o.book.lives.borrow();
        let mut due = due;
        for pair in lives[sender].windows(2) {
            let (Some(away), back) = (pair[0].told.or(pair[0].ended), pair[1].ready) else { continue };
            let until = back.map_or(Micros::MAX, |b| b + CATCH_UP);
            if (away..until).contains(&due) {
                due = until;
            }
        }
        // One that is cut off the network can tell nobody either.
        for (at, until) in self.cuts(sender) {
            if (at..until + CATCH_UP).contains(&due) {
                due = until + CATCH_UP;
            }
        }
        // Where copies are kept another one ends it, once it is sure that this one is gone, and can be.
        if self.o.scenario.senders.copies > 0 {
            for (at, until) in self.troubles() {
                if (at..until + TAKEOVER).contains(&due) {
                    due = until + TAKEOVER;
                }
            }
        }
        due
    }

    /// From when to when something was wrong among the senders.
    fn troubles(&self) -> Vec<(Micros, Micros)> {
        let micros = |s: f64| (s * 1e6) as Micros;
        let events = self.o.scenario.event.iter().map(|e| e.get_ref());
        let of_senders = |e: &&Event| {
            let cut = e.what == Do::Cut && e.sender.is_some();
            let whole = matches!(e.what, Do::Kill | Do::Restart | Do::Lose | Do::Freeze | Do::DiskFull);
            cut || whole || matches!(e.what, Do::Part | Do::SlowLink)
        };
        let span = |e: &Event| e.for_s.unwrap_or(1.0) + if e.what == Do::Restart { 3.7 } else { 0.0 };
        let mut all: Vec<_> =
            events.filter(of_senders).map(|e| (micros(e.at_s), micros(e.at_s + span(e)))).collect();
        all.sort_unstable();
        all
    }

    /// Whether, of what befell senders that keep copies, something may have kept one from hearing what
    /// another did with a message between two moments.
    fn apart_between(&self, from: Micros, to: Micros) -> bool {
        let copies = self.o.scenario.senders.copies > 0;
        copies && self.troubles().iter().any(|&(at, until)| at <= to && until + TAKEOVER >= from)
    }

    /// From when to when a sender's process is stopped.
    fn frozen(&self, sender: usize) -> impl Iterator<Item = (Micros, Micros)> {
        let events = self.o.scenario.event.iter().map(|e| e.get_ref());
        let frozen = events.filter(move |e| e.what == Do::Freeze && e.sender == Some(sender));
        let micros = |s: f64| (s * 1e6) as Micros;
        frozen.map(move |e| (micros(e.at_s), micros(e.at_s + e.for_s.unwrap_or(0.0))))
    }

    /// From when to when a sender is cut off the network.
    fn cuts(&self, sender: usize) -> Vec<(Micros, Micros)> {
        let events = self.o.scenario.event.iter().map(|e| e.get_ref());
        let cut = events.filter(|e| e.what == Do::Cut && e.sender == Some(sender));
        let micros = |s: f64| (s * 1e6) as Micros;
        cut.map(|e| (micros(e.at_s), micros(e.at_s + e.for_s.unwrap_or(0.0)))).collect()
    }

    /// What the partner saw of a message.
    fn seen(&self, id: u64) -> String {
        let mut all = Vec::new();
        for (d, ledger) in self.o.ledgers.iter().enumerate() {
            for c in ledger.calls.iter().filter(|c| c.messages.contains(&id)) {
                let end = match (c.answer, c.caller_gone_at) {
                    (Some((t, status)), _) => format!("answered {status} at {}", seconds(t)),
                    (None, Some(t)) => format!("its caller gone at {}", seconds(t)),
                    _ => "never answered".to_owned(),
                };
                all.push(format!("call to {d}/{} at {}, {end}", c.endpoint, seconds(c.received_at)));
            }
        }
        if all.is_empty() { "no call".to_owned() } else { all.join("; ") }
    }

    fn one_answer(&mut self, id: u64, m: &Message) {
        let Some(first) = m.notices.first() else { return };
        // What was written into a cut network nobody heard.
        let heard = !self.blind().contains(&self.o.book.orders.borrow()[m.order].destination);
        if let Some(delivered) = m.delivered.filter(|_| heard && !m.crossed)
            && let Some(n) = m.notices.iter().find(|n| n.at > delivered + CROSSING)
        {
            // A process that ended between the two cannot know, unless it had the answer long before.
            if !self.died_between(m.sender, delivered, n.at) && !self.apart_between(m.handed, n.at) {
                let what = format!(
                    "partner: delivered at {}; platform: ended as {} at {}",
                    seconds(delivered),
                    n.verdict,
                    seconds(n.at)
                );
                self.say(n.at, Rule::OneFinalAnswer, Some(id), what);
            }
        }
        for n in &m.notices[1..] {
            let known = first.acknowledged.is_some_and(|t| n.at > t + CROSSING);
            let again = known && !self.died_between(m.sender, first.at, n.at);
            let apart = self.apart_between(m.handed, n.at);
            if (n.verdict != first.verdict || again) && !apart {
                let what = format!(
                    "platform: ended as {} at {}, and as {} at {}",
                    first.verdict,
                    seconds(first.at),
                    n.verdict,
                    seconds(n.at)
                );
                self.say(n.at, Rule::OneFinalAnswer, Some(id), what);
                break;
            }
        }
    }

    fn died_between(&self, sender: usize, from: Micros, to: Micros) -> bool {
        let lives = self.o.book.lives.borrow();
        lives[sender].iter().any(|l| l.ended.is_some_and(|t| t + CROSSING >= from && t <= to))
    }

    fn effects(&mut self) {
        let book = self.o.book.clone();
        let (messages, orders) = (book.messages.borrow(), book.orders.borrow());
        // What a client has given up on counts for nothing.
        let mut ran: BTreeMap<usize, Vec<(Micros, u64, usize, usize)>> = BTreeMap::new();
        for (d, ledger) in self.o.ledgers.iter().enumerate() {
            for e in ledger.effects.iter().filter(|e| !e.is_duplicate) {
                let Some(m) = messages.get(&e.message).filter(|m| m.forsaken.is_none()) else { continue };
                let class = self.o.scenario.class[orders[m.order].class].get_ref();
                if class.effect != "idempotent" {
                    ran.entry(m.order).or_default().push((e.at, e.message, d, e.endpoint));
                }
            }
        }
        for (order, all) in ran.iter().filter(|(_, all)| all.len() > 1) {
            let times: Vec<String> = all
                .iter()
                .map(|(at, id, d, n)| format!("{id:016x} at {} at {d}/{n}", seconds(*at)))
                .collect();
            let class = &self.o.scenario.class[orders[*order].class].get_ref().name;
            let calls = self.seen(all[1].1);
            let what = format!(
                "order {order} of class {class} ran {} times: {}; {calls}",
                all.len(),
                times.join(", ")
            );
            self.say(all[1].0, Rule::NothingTwice, Some(all[1].1), what);
        }
    }

    /// The life of a sender's process at a moment, counted from 1.
    fn life(&self, sender: usize, at: Micros) -> u32 {
        let lives = self.o.book.lives.borrow();
        lives[sender].iter().filter(|l| l.started <= at).count().max(1) as u32
    }

    /// When discovery could first tell what there was to tell from `at` on.
    fn could_tell(&self, at: Micros) -> Micros {
        let mut outages = self.o.book.outages.borrow().clone();
        outages.sort_unstable();
        outages.iter().fold(at, |at, &(from, until)| if (from..until).contains(&at) { until } else { at })
    }

    fn drains(&mut self) {
        let book = self.o.book.clone();
        let listed = book.listed.borrow();
        for change in listed.iter().filter(|c| c.closed) {
            let (d, n) = change.endpoint;
            let later: Vec<&CallRecord> = self.o.ledgers[d]
                .calls
                .iter()
                .filter(|c| c.endpoint == n && c.first_byte_at > change.at)
                .collect();
            for call in later {
                let life = self.life(call.sender, call.first_byte_at);
                let started =
                    book.lives.borrow()[call.sender].get(life as usize - 1).map_or(0, |l| l.started);
                // What was told into a cut network arrived nowhere.
                let cuts = self.cuts(call.sender);
                let heard = |t: Micros| !cuts.iter().any(|(from, until)| (*from..*until).contains(&t));
                let told =
                    change.told.iter().filter(|(s, l, t)| *s == call.sender && *l == life && heard(*t));
                let told = told
                    .map(|t| t.2)
                    .min()
                    .unwrap_or(Micros::MAX)
                    .min(self.could_tell(change.at.max(started)) + TOLD);
                if call.first_byte_at > told + GRACE + SLACK {
                    let what = format!(
                        "platform: revision {} closed {d}/{n} at {}, told sender {} at {}; partner: a call \
                         began at {}",
                        change.revision,
                        seconds(change.at),
                        call.sender,
                        seconds(told),
                        seconds(call.first_byte_at)
                    );
                    self.say(call.first_byte_at, Rule::DrainsKept, call.messages.first().copied(), what);
                    break;
                }
            }
        }
    }

    fn calls(&mut self) {
        let o = self.o;
        let s = &o.scenario;
        let blind = self.blind();
        let mut attempts: BTreeMap<u64, u32> = BTreeMap::new();
        for (d, ledger) in o.ledgers.iter().enumerate() {
            for (at, endpoint) in &ledger.overload_failures {
                let from: BTreeSet<usize> = ledger
                    .calls
                    .iter()
                    .filter(|c| c.received_at <= *at && c.received_at + 2 * SEC > *at)
                    .map(|c| c.sender)
                    .collect();
                let what =
                    format!("partner: {d}/{endpoint} fell over while cold, with calls of senders {from:?}");
                self.say(*at, Rule::ReturningNotPushed, None, what);
            }
            for call in &ledger.calls {
                call.messages.iter().for_each(|id| *attempts.entry(*id).or_default() += 1);
            }
            self.waits(d, &ledger.calls);
            if !s.senders.parallel_tries && !blind.contains(&d) {
                self.copies(d, &ledger.calls);
            }
        }
        let most = s.senders.max_attempts;
        for (id, n) in attempts.into_iter().filter(|(_, n)| *n > most) {
            let what = format!("partner: {n} calls, where {most} are allowed: {}", self.seen(id));
            self.say(0, Rule::AttemptLimit, Some(id), what);
        }
        self.caps(&blind);
    }

    /// Destinations whose machines cannot see that a caller has gone.
    fn blind(&self) -> BTreeSet<usize> {
        let s = &self.o.scenario;
        let cut: Vec<_> = s.event.iter().map(|e| e.get_ref()).filter(|e| e.what == Do::Cut).collect();
        if cut.iter().any(|e| e.sender.is_some()) {
            return (0..self.o.ledgers.len()).collect();
        }
        cut.iter().flat_map(|e| s.select(e.hall.as_deref(), e.partner.as_deref(), e.destination)).collect()
    }

    fn waits(&mut self, d: usize, calls: &[CallRecord]) {
        let (partner, _) = self.o.scenario.destinations()[d];
        let apart = self.o.scenario.partner[partner].get_ref().apart;
        // By sender and route: from when on, until when, in which life.
        let mut told: Vec<(Micros, Micros, usize, usize, u32)> = Vec::new();
        for c in calls {
            if let (Some((at, 429)), Some(wait)) = (c.answer, c.retry_after) {
                told.push((at, at + wait, c.sender, c.endpoint, self.life(c.sender, at)));
            }
        }
        told.sort_unstable();
        let longest = told.iter().map(|t| t.1 - t.0).max().unwrap_or(0);
        for c in calls {
            let from = told.partition_point(|t| t.0 + longest < c.received_at);
            let life = self.life(c.sender, c.received_at);
            let broken = told[from..].iter().take_while(|t| t.0 + GRACE + SLACK < c.received_at).find(|t| {
                c.received_at < t.1 && t.2 == c.sender && t.4 == life && (!apart || t.3 == c.endpoint)
            });
            if let Some(t) = broken {
                let what = format!(
                    "partner: told sender {} at {} to wait until {}, and got a call at {}",
                    c.sender,
                    seconds(t.0),
                    seconds(t.1),
                    seconds(c.received_at)
                );
                self.say(c.received_at, Rule::WaitsHeeded, c.messages.first().copied(), what);
            }
        }
    }

    /// From when to when a call was out.
    fn out(&self, c: &CallRecord) -> (Micros, Micros) {
        let ends = c.answer.filter(|a| a.1 != 0).map(|a| a.0).into_iter().chain(c.caller_gone_at).min();
        (c.received_at, ends.or(c.answer.map(|a| a.0)).unwrap_or(self.o.end))
    }

    fn copies(&mut self, d: usize, calls: &[CallRecord]) {
        let mut last: BTreeMap<u64, (Micros, usize)> = BTreeMap::new();
        for c in calls {
            let (at, until) = self.out(c);
            for id in &c.messages {
                // Two senders that do not hear each other cannot know; what must not be repeated is held to
                // more by another rule.
                let apart = self.apart_between(at, at);
                if let Some((busy, n)) = last.get(id).filter(|(busy, _)| *busy > at && !apart) {
                    let what = format!(
                        "partner: {d}/{} got a call at {} while one to {d}/{n} was out until {}",
                        c.endpoint,
                        seconds(at),
                        seconds(*busy)
                    );
                    self.say(at, Rule::AttemptLimit, Some(*id), what);
                }
                last.insert(*id, (until, c.endpoint));
            }
        }
    }

    fn caps(&mut self, blind: &BTreeSet<usize>) {
        let slots = self.o.scenario.senders.slots;
        let most = (f64::from(slots) * 0.75).floor().max(1.0) as i64;
        let mut steps: Vec<(Micros, i64, usize, usize)> = Vec::new();
        for (d, ledger) in self.o.ledgers.iter().enumerate().filter(|(d, _)| !blind.contains(d)) {
            for c in &ledger.calls {
                let (from, to) = self.out(c);
                if to > from {
                    steps.extend([(from, 1, c.sender, d), (to, -1, c.sender, d)]);
                }
            }
        }
        // Ends before beginnings of the same moment.
        steps.sort_unstable();
        let mut by_dest: BTreeMap<(usize, usize), i64> = BTreeMap::new();
        let mut by_sender: BTreeMap<usize, i64> = BTreeMap::new();
        let mut said = BTreeSet::new();
        for (at, step, sender, d) in steps {
            let here = by_dest.entry((sender, d)).or_default();
            *here += step;
            let all = by_sender.entry(sender).or_default();
            *all += step;
            let what = if *here > most {
                format!("partner {d}: {here} calls of sender {sender} are out, where {most} may be")
            } else if *all > i64::from(slots) {
                format!("partners: {all} calls of sender {sender} are out, where it has {slots} slots")
            } else {
                continue;
            };
            if said.insert((sender, d)) {
                self.say(at, Rule::OwnCap, None, what);
            }
        }
    }

    fn processes(&mut self) {
        let book = self.o.book.clone();
        for (n, lives) in book.lives.borrow().iter().enumerate() {
            for l in lives {
                // One that finds no room for its first row does not start; whoever runs it tries again.
                let no_room = |why: &String| {
                    let full = self.o.scenario.event.iter().any(|e| e.get_ref().what == Do::DiskFull);
                    full && why.contains("no storage space")
                };
                if let Some(why) = l.crashed.as_ref().filter(|w| !no_room(w)) {
                    let at = l.ended.unwrap_or(l.started);
                    self.say(at, Rule::StaysUp, None, format!("sender {n} {why}"));
                }
            }
        }
        for b in book.bad.borrow().iter() {
            let away =
                self.excused(b.sender, b.at) != b.at || self.excused(b.sender, b.at + OWED) != b.at + OWED;
            let fine =
                b.got.is_some_and(|(t, status)| !(200..300).contains(&status) && t <= b.at + OWED + SLACK);
            if !fine && !away {
                let what = format!("a client that sent {} to sender {} got {:?}", b.kind, b.sender, b.got);
                self.say(b.at + OWED, Rule::BadClients, None, what);
            }
        }
        for (at, what) in book.odd.borrow().iter() {
            let rule = if what.contains("folder held") { Rule::StaysUp } else { Rule::Protocol };
            self.say(*at, rule, None, what.clone());
        }
    }
}
