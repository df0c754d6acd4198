//! Which guard kept each message, from when to when, and what began and ended it.
//!
//! The guards are the module's own words: after each turn that is played again it is asked what holds each
//! message ([`Sender::holds`]). A message's time is cut into spans without a hole: in each either a call of
//! it is out, or one guard holds it.

use crate::format::{Header, Record, Turn};
use crate::replay::{ReplayObserver, message_of, names};
use notchpoint_policy::{
    Action, DestinationId, EndpointId, Event, Guard, MessageId, Micros, Outcome, RouteView, Sender,
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// What a message is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum MessageState {
    /// Held by this guard.
    Held(Guard),
    /// A call of it is out.
    Out,
}

/// A stretch of a message's time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Span {
    /// From when, in microseconds of the module's clock.
    pub from: Micros,
    /// Until when.
    pub to: Micros,
    /// What it was at.
    pub at: MessageState,
    /// Where the call went, if one was out.
    pub endpoint: Option<String>,
    /// What began it.
    pub began: String,
    /// What ended it.
    pub ended: String,
}

/// A message's course.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MessageTimeline {
    /// Its id, as clients write it.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its destination.
    pub dest: u64,
    /// It was held when the recording, or what is left of it, begins.
    pub from_before: bool,
    /// Its spans.
    pub spans: Vec<Span>,
    /// How it ended; none if the recording ends before.
    pub end: Option<String>,
}

impl MessageTimeline {
    /// How long it was held, without the time of its calls.
    pub fn held(&self) -> Micros {
        self.spans.iter().filter(|s| s.at != MessageState::Out).map(|s| s.to - s.from).sum()
    }
}

/// A moment in the course of a destination.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RouteSample {
    /// When, in microseconds of the module's clock.
    pub at: Micros,
    /// Which route of it: the endpoint's name where they are apart.
    pub route: Option<String>,
    /// The window.
    pub window: f64,
    /// Calls out.
    pub out: u32,
    /// Those of them whose answers are taken to be lost.
    pub lost: u32,
    /// Messages held for the destination.
    pub held: usize,
    /// Calls a second that the route is taken to admit; absent while no limit by rate showed.
    pub admits: Option<f64>,
    /// What holds the route.
    pub hold: Option<Guard>,
}

/// A cut of a window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Cut {
    /// When, in microseconds of the module's clock.
    pub at: Micros,
    /// Which route of the destination.
    pub route: Option<String>,
    /// The window before and after.
    pub from: f64,
    /// See `from`.
    pub to: f64,
    /// The outcome that cut it.
    pub cause: String,
}

/// What is asked for.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// One message.
    pub message: Option<MessageId>,
    /// One destination.
    pub dest: Option<DestinationId>,
    /// From so many microseconds after the recording's first moment, which is counted per process.
    pub from: Option<Micros>,
    /// Until then.
    pub to: Option<Micros>,
}

/// Held time of one guard.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GuardTotal {
    /// The guard.
    pub guard: Guard,
    /// How long it held messages, summed over them, in microseconds.
    pub held: Micros,
    /// How many it held.
    pub messages: usize,
}

/// What is said of one process.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Explanation {
    /// The sender's name, and the start of its process in Unix microseconds.
    pub sender: String,
    /// See `sender`.
    pub run: u64,
    /// The first moment on the module's clock, and Unix time then, both in microseconds.
    pub begins: Micros,
    /// See `begins`.
    pub unix: u64,
    /// The last moment.
    pub ends: Micros,
    /// Messages, by their first moment.
    #[serde(rename = "courses")]
    pub timelines: Vec<MessageTimeline>,
    /// Held time by guard, most first.
    pub totals: Vec<GuardTotal>,
    /// Held time by destination, most first, in microseconds.
    pub dests: Vec<(u64, Micros)>,
    /// The course of the destination that was asked for.
    pub points: Vec<RouteSample>,
    /// The cuts of its window.
    pub cuts: Vec<Cut>,
    /// Held time that the module's own count gives, over all messages and without regard to the question.
    pub held_by_count: Micros,
    /// The same by the spans. Both must be equal: then they have neither hole nor overlap.
    pub held_by_spans: Micros,
    /// Steps of Unix time: when on the module's clock, and by how many microseconds.
    pub clock_steps: Vec<(Micros, i64)>,
    /// Stretches that are missing in the recording, on the module's clock.
    pub gaps: Vec<(Micros, Micros)>,
}

struct Track {
    course: MessageTimeline,
    at: MessageState,
    endpoint: Option<String>,
    from: Micros,
    began: String,
}

/// Explains while a recording is played.
pub struct Explainer {
    question: Query,
    done: Vec<Explanation>,
    now: Explanation,
    open: BTreeMap<MessageId, Track>,
    classes: Vec<String>,
    endpoints: BTreeMap<EndpointId, String>,
    waiting: usize,
    last: Micros,
    held: BTreeMap<Guard, (Micros, BTreeSet<MessageId>)>,
    by_dest: BTreeMap<u64, Micros>,
    routes: BTreeMap<Option<EndpointId>, RouteView>,
    offset: i128,
    began: bool,
}

impl Explainer {
    /// An explainer for one question.
    pub fn new(question: Query) -> Self {
        let (done, now, open, classes, endpoints, held, by_dest, routes) = Default::default();
        let (waiting, last, offset, began) = (0, 0, 0, false);
        Self {
            question,
            done,
            now,
            open,
            classes,
            endpoints,
            waiting,
            last,
            held,
            by_dest,
            routes,
            offset,
            began,
        }
    }

    /// What is to be said, by process.
    pub fn finish(mut self) -> Vec<Explanation> {
        self.close("the recording ends");
        self.done
    }

    /// Ends what is being explained.
    fn close(&mut self, why: &str) {
        if !std::mem::take(&mut self.began) {
            return;
        }
        let last = self.last;
        for id in self.open.keys().copied().collect::<Vec<_>>() {
            self.span(id, last, why);
            if let Some(t) = self.open.remove(&id) {
                self.keep(t.course);
            }
        }
        let mut e = std::mem::take(&mut self.now);
        e.ends = last;
        let totals = std::mem::take(&mut self.held).into_iter();
        e.totals =
            totals.map(|(guard, (held, ids))| GuardTotal { guard, held, messages: ids.len() }).collect();
        e.totals.sort_by_key(|t| std::cmp::Reverse(t.held));
        e.dests = std::mem::take(&mut self.by_dest).into_iter().collect();
        e.dests.sort_by_key(|d| std::cmp::Reverse(d.1));
        e.timelines.sort_by_key(|c| c.spans.first().map_or(0, |s| s.from));
        self.routes.clear();
        self.done.push(e);
    }

    fn class(&self, n: u32) -> String {
        self.classes.get(n as usize).cloned().unwrap_or_else(|| format!("class {n}"))
    }

    fn name(&self, id: EndpointId) -> String {
        self.endpoints.get(&id).cloned().unwrap_or_else(|| format!("{:016x}", id.0))
    }

    /// The stretch that was asked for, on the module's clock.
    fn stretch(&self) -> (Micros, Micros) {
        let from = self.question.from.map_or(0, |f| self.now.begins.saturating_add(f));
        (from, self.question.to.map_or(Micros::MAX, |t| self.now.begins.saturating_add(t)))
    }

    fn keep(&mut self, course: MessageTimeline) {
        let (from, to) = self.stretch();
        let asked = self.question.message.is_some() || self.question.dest.is_some() || from > 0;
        let dest = self.question.dest.is_none_or(|d| d.0 == course.dest);
        let id = self.question.message.is_none_or(|m| format!("{:016x}", m.0) == course.id);
        if asked && dest && id && course.spans.iter().any(|s| s.from < to && s.to >= from) {
            self.now.timelines.push(course);
        }
    }

    /// Ends the present span of a message.
    fn span(&mut self, id: MessageId, at: Micros, why: &str) {
        let (from, to) = self.stretch();
        let asked_for = |dest| self.question.dest.is_none_or(|d| d.0 == dest);
        let Some(t) = self.open.get_mut(&id) else { return };
        if at > t.from {
            let (began, ended) = (std::mem::take(&mut t.began), why.to_owned());
            let span = Span { from: t.from, to: at, at: t.at, endpoint: t.endpoint.take(), began, ended };
            t.course.spans.push(span);
            if let MessageState::Held(guard) = t.at {
                self.now.held_by_spans += at - t.from;
                let within = at.min(to).saturating_sub(t.from.max(from));
                let id_asked = self.question.message.is_none_or(|m| m == id);
                if within > 0 && id_asked && asked_for(t.course.dest) {
                    let total = self.held.entry(guard).or_default();
                    total.0 += within;
                    total.1.insert(id);
                    *self.by_dest.entry(t.course.dest).or_default() += within;
                }
            }
        }
        (t.from, t.began) = (at, why.to_owned());
    }

    fn track(&mut self, id: MessageId, class: u32, dest: u64, at: Micros, began: &str, from_before: bool) {
        let course = MessageTimeline {
            id: format!("{:016x}", id.0),
            class: self.class(class),
            dest,
            from_before,
            spans: Vec::new(),
            end: None,
        };
        let (at_, endpoint, began) = (MessageState::Held(Guard::Order), None, began.to_owned());
        self.open.insert(id, Track { course, at: at_, endpoint, from: at, began });
    }

    fn end(&mut self, id: MessageId, at: Micros, how: &str) {
        self.span(id, at, how);
        if let Some(mut t) = self.open.remove(&id) {
            t.course.end = Some(how.to_owned());
            self.keep(t.course);
        }
    }

    /// What ended one span of a message and began the next.
    fn why(&self, turn: &Turn, id: MessageId, dest: u64, now: MessageState) -> String {
        let own = turn.events.iter().rev().find(|e| message_of(e) == Some(id));
        if now == MessageState::Out {
            let sent = turn.actions.iter().find_map(|a| match a {
                Action::Send { id: i, endpoint, .. } if *i == id => Some(*endpoint),
                _ => None,
            });
            return sent.map_or("sent".into(), |e| format!("sent to {}", self.name(e)));
        }
        if let Some(e) = own {
            return say(e);
        }
        let dest_of = |e: &Event| {
            let other = message_of(e).and_then(|m| self.open.get(&m));
            other.is_some_and(|t| t.course.dest == dest) || names(e, DestinationId(dest))
        };
        if let Some(e) = turn.events.iter().find(|e| dest_of(e)) {
            return format!("{} (of its destination)", say(e));
        }
        let ended = |e: &&Event| matches!(e, Event::Ended { .. });
        match turn.events.iter().find(ended) {
            Some(e) => format!("{} (elsewhere)", say(e)),
            None => "by the clock".into(),
        }
    }

    /// Brings all open messages to what the module says of them after a turn.
    fn settle(&mut self, turn: &Turn, sender: &Sender) {
        let at = turn.at;
        let holds: BTreeMap<MessageId, Guard> =
            sender.holds().into_iter().map(|(id, _, h)| (id, h.guard)).collect();
        let changed: Vec<(MessageId, MessageState, u64)> = self
            .open
            .iter()
            .map(|(&id, t)| {
                (id, holds.get(&id).map_or(MessageState::Out, |g| MessageState::Held(*g)), t.course.dest)
            })
            .filter(|(id, now, _)| self.open.get(id).is_some_and(|t| t.at != *now || t.from == at))
            .collect();
        for (id, now, dest) in changed {
            let why = self.why(turn, id, dest, now);
            let fresh = self.open.get(&id).is_some_and(|t| t.from == at && t.course.spans.is_empty());
            if !fresh {
                self.span(id, at, &why);
            }
            let sent = turn.actions.iter().find_map(|a| match a {
                Action::Send { id: i, endpoint, .. } if *i == id => Some(self.name(*endpoint)),
                _ => None,
            });
            if let Some(t) = self.open.get_mut(&id) {
                t.at = now;
                t.endpoint = sent
                    .filter(|_| now == MessageState::Out)
                    .or(t.endpoint.take().filter(|_| now == MessageState::Out));
            }
        }
        self.waiting = sender.waiting_count();
        self.watch_dest(at, &holds, sender);
    }

    fn watch_dest(&mut self, at: Micros, holds: &BTreeMap<MessageId, Guard>, sender: &Sender) {
        let Some(dest) = self.question.dest else { return };
        let held = holds.keys().filter(|id| self.open.get(id).is_some_and(|t| t.course.dest == dest.0));
        let held = held.count();
        let (from, to) = self.stretch();
        for v in sender.route_views(Some(dest)) {
            let route = v.endpoint.map(|e| self.name(e));
            let old = self.routes.insert(v.endpoint, v.clone());
            if at < from || at > to {
                continue;
            }
            if let Some((when, outcome)) =
                v.last_cut.filter(|c| old.as_ref().is_none_or(|o| o.last_cut != Some(*c)))
            {
                let cause = describe_outcome(outcome);
                let before = old.as_ref().map_or(v.window, |o| o.window);
                self.now.cuts.push(Cut { at: when, route: route.clone(), from: before, to: v.window, cause });
            }
            let hold = v.hold.map(|h| h.guard);
            let (window, out, lost, admits) = (v.window, v.in_flight, v.lost, v.admitted_rate);
            let point = RouteSample { at, route, window, out, lost, held, admits, hold };
            let same = |p: &&RouteSample| {
                let known = (p.window, p.out, p.lost, p.held, p.admits, p.hold);
                known == (point.window, point.out, point.lost, point.held, point.admits, point.hold)
            };
            let last = self.now.points.iter().rev().find(|p| p.route == point.route);
            if last.filter(same).is_none() {
                self.now.points.push(point);
            }
        }
    }
}

/// An outcome in words.
pub fn describe_outcome(outcome: Outcome) -> String {
    match outcome {
        Outcome::Served => "served".into(),
        Outcome::Failed => "answered with an error".into(),
        Outcome::Full { wait: Some(w) } => format!("refused as full, told to wait {:.3} s", w as f64 / 1e6),
        Outcome::Full { wait: None } => "refused as full, no wait told".into(),
        Outcome::TimedOut => "timed out".into(),
        Outcome::ConnectFailed => "no connection, or it broke before the request was written".into(),
        Outcome::Reset => "the connection broke, it may have run".into(),
        Outcome::Spoilt => "an answer that cannot be read".into(),
        Outcome::Cancelled => "called off, it may have run".into(),
        Outcome::Moot => "not sent".into(),
        Outcome::NotSent => "not sent: no connection or record could be made here".into(),
    }
}

fn say(event: &Event) -> String {
    match event {
        Event::Taken(m) => format!("{:016x} was taken", m.id.0),
        Event::Resumed { message, .. } => format!("{:016x} was taken up after a restart", message.id.0),
        Event::Ended { id, attempt, outcome, .. } => {
            format!("attempt {attempt} of {:016x}: {}", id.0, describe_outcome(*outcome))
        }
        Event::Withdrawn(id) => format!("{:016x} was withdrawn", id.0),
        Event::Wake => "by the clock".into(),
        Event::List(_) => "the list of endpoints changed".into(),
        Event::Note { from, .. } => format!("a note from sender {from}"),
        Event::Unused(_) => "a connection stands idle".into(),
        Event::Closed(_) => "an idle connection ended".into(),
        Event::Probed { .. } => "a probe ended".into(),
        Event::Settings(_) => "other settings came into force".into(),
        Event::Service { out_of_service: true, .. } => "operators took an endpoint out".into(),
        Event::Service { .. } => "operators put an endpoint back".into(),
        Event::Zone { zone, probe: true, .. } => format!("zone {zone} is tried, by the fleet's turn"),
        Event::Zone { zone, share, .. } => {
            format!("zone {zone} is sent {:.0} % of its share, as the fleet found", 100.0 * share)
        }
    }
}

impl ReplayObserver for Explainer {
    fn on_segment(&mut self, header: &Header, sender: &Sender, goes_on: bool) {
        self.classes.clone_from(&header.classes);
        self.endpoints.extend(header.endpoints.iter().cloned());
        if goes_on {
            return;
        }
        if self.began && self.now.run == header.run {
            // A part is missing: what was open before it cannot be followed across.
            self.close("the recording has a gap");
        } else {
            self.close("the process ended");
        }
        self.began = true;
        self.offset = i128::from(header.unix) - i128::from(header.at);
        (self.last, self.waiting) = (header.at, sender.waiting_count());
        let (run, begins, unix) = (header.run, header.at, header.unix);
        self.now = Explanation { sender: header.sender.clone(), run, begins, unix, ..Explanation::default() };
        let holds: BTreeMap<MessageId, Guard> =
            sender.holds().into_iter().map(|(id, _, h)| (id, h.guard)).collect();
        for (id, class, dest, out) in sender.open_messages() {
            self.track(id, class, dest.0, header.at, "held before the recording begins", true);
            if let Some(t) = self.open.get_mut(&id) {
                t.at = if out {
                    MessageState::Out
                } else {
                    MessageState::Held(holds.get(&id).copied().unwrap_or(Guard::Order))
                };
            }
        }
    }

    fn on_turn(&mut self, turn: &Turn, sender: &Sender) {
        self.now.held_by_count += self.waiting as Micros * turn.at.saturating_sub(self.last);
        self.last = turn.at;
        for e in &turn.events {
            match e {
                Event::Taken(m) | Event::Resumed { message: m, .. } if !self.open.contains_key(&m.id) => {
                    self.track(m.id, m.class, m.dest.0, turn.at, &say(e), false);
                }
                Event::Ended { id, outcome, is_final, .. } if *is_final || *outcome == Outcome::Served => {
                    let how = if *outcome == Outcome::Served { "delivered" } else { "over: nobody wants it" };
                    self.end(*id, turn.at, how);
                }
                Event::Withdrawn(id) => self.end(*id, turn.at, "withdrawn"),
                _ => {}
            }
        }
        for a in &turn.actions {
            match a {
                Action::Refuse { id, .. } => self.end(*id, turn.at, "refused"),
                Action::Fail { id } => self.end(*id, turn.at, "given up"),
                _ => {}
            }
        }
        self.settle(turn, sender);
    }

    fn on_other_record(&mut self, record: &Record) {
        match record {
            Record::Clock { at, unix } => {
                let offset = i128::from(*unix) - i128::from(*at);
                self.now.clock_steps.push((*at, (offset - self.offset) as i64));
                self.offset = offset;
            }
            Record::Name(id, name) => {
                self.endpoints.insert(*id, name.clone());
            }
            _ => {}
        }
    }
}
