//! Explains a recording: which guard held each message and when, and which events began and ended it.
//!
//! The guards come from the decision module itself: after each replayed turn it returns what holds each
//! message ([`Sender::holds`]). The time of a message is divided into spans without gaps. In each span either
//! a call for the message is in flight or one guard holds it.

use crate::format::{Header, Record, Turn};
use crate::replay::{ReplayObserver, message_of, refers_to};
use notchpoint_policy::{
    Action, DestinationId, EndpointId, Event, Guard, MessageId, Micros, Outcome, RouteView, Sender,
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The state of a message during a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum MessageState {
    /// The message is held by this guard.
    Held(Guard),
    /// A call for the message is in flight.
    #[serde(rename = "Out")]
    InFlight,
}

/// A span of a message's time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Span {
    /// The start, in microseconds of the module's clock.
    pub from: Micros,
    /// The end.
    pub to: Micros,
    /// The state of the message.
    #[serde(rename = "at")]
    pub state: MessageState,
    /// The endpoint of the call, if one was in flight.
    pub endpoint: Option<String>,
    /// What began the span.
    pub began: String,
    /// What ended the span.
    pub ended: String,
}

/// The timeline of a message.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MessageTimeline {
    /// The message's id, as clients write it.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// The number of its destination.
    pub dest: u64,
    /// The message was accepted before the remaining recording begins.
    pub from_before: bool,
    /// The spans, in order.
    pub spans: Vec<Span>,
    /// How the message ended, or `None` if the recording ends before that.
    pub end: Option<String>,
}

impl MessageTimeline {
    /// Returns how long the message was held, without the time of its calls.
    pub fn held(&self) -> Micros {
        self.spans.iter().filter(|s| s.state != MessageState::InFlight).map(|s| s.to - s.from).sum()
    }
}

/// The values of a route of a destination at one time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RouteSample {
    /// The time, in microseconds of the module's clock.
    pub at: Micros,
    /// The route: the endpoint's name if the destination's endpoints are separate routes.
    pub route: Option<String>,
    /// The window.
    pub window: f64,
    /// Calls in flight.
    #[serde(rename = "out")]
    pub in_flight: u32,
    /// Calls in flight whose answers are presumed lost.
    pub lost: u32,
    /// Messages held for the destination.
    pub held: usize,
    /// The estimated limit of calls per second, or `None` while no rate limit was detected.
    #[serde(rename = "admits")]
    pub admitted_rate: Option<f64>,
    /// The guard that holds the route.
    pub hold: Option<Guard>,
}

/// A reduction of a window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Cut {
    /// The time, in microseconds of the module's clock.
    pub at: Micros,
    /// The route of the destination.
    pub route: Option<String>,
    /// The window before the cut.
    pub from: f64,
    /// The window after the cut.
    pub to: f64,
    /// The outcome that caused the cut.
    pub cause: String,
}

/// Selects what to explain.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// Only this message.
    pub message: Option<MessageId>,
    /// Only this destination.
    pub dest: Option<DestinationId>,
    /// The start, in microseconds after the first recorded time of each process.
    pub from: Option<Micros>,
    /// The end, counted in the same way.
    pub to: Option<Micros>,
}

/// The time that one guard held messages.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GuardTotal {
    /// The guard.
    pub guard: Guard,
    /// The held time in microseconds, summed over all messages.
    pub held: Micros,
    /// The number of messages held.
    pub messages: usize,
}

/// The explanation of one process.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Explanation {
    /// The name of the sender.
    pub sender: String,
    /// The start of the process in Unix time, in microseconds.
    pub run: u64,
    /// The first recorded time on the module's clock, in microseconds.
    pub begins: Micros,
    /// The Unix time at `begins`, in microseconds.
    pub unix: u64,
    /// The last recorded time on the module's clock, in microseconds.
    pub ends: Micros,
    /// The timelines of the selected messages, ordered by their start.
    #[serde(rename = "courses")]
    pub timelines: Vec<MessageTimeline>,
    /// The held time by guard, longest first.
    pub totals: Vec<GuardTotal>,
    /// The held time by destination in microseconds, longest first.
    pub dests: Vec<(u64, Micros)>,
    /// The samples of the selected destination.
    pub points: Vec<RouteSample>,
    /// The window cuts of the selected destination.
    pub cuts: Vec<Cut>,
    /// The held time of all messages, selected or not, computed from the module's count of waiting messages.
    pub held_by_count: Micros,
    /// The same time, computed from the spans. If both are equal, the spans have neither gaps nor overlaps.
    pub held_by_spans: Micros,
    /// Steps of the Unix clock: the time on the module's clock, and the size in microseconds.
    pub clock_steps: Vec<(Micros, i64)>,
    /// Periods that are missing in the recording, on the module's clock.
    pub gaps: Vec<(Micros, Micros)>,
}

/// A message that has not ended, and its current span.
struct OpenMessage {
    /// The timeline up to the current span.
    timeline: MessageTimeline,
    state: MessageState,
    endpoint: Option<String>,
    /// The start of the current span.
    from: Micros,
    /// What began the current span.
    began: String,
}

/// Builds the explanations while a recording is replayed.
pub struct Explainer {
    query: Query,
    finished: Vec<Explanation>,
    current: Explanation,
    open: BTreeMap<MessageId, OpenMessage>,
    classes: Vec<String>,
    endpoints: BTreeMap<EndpointId, String>,
    waiting_count: usize,
    last_turn_at: Micros,
    held: BTreeMap<Guard, (Micros, BTreeSet<MessageId>)>,
    held_by_dest: BTreeMap<u64, Micros>,
    routes: BTreeMap<Option<EndpointId>, RouteView>,
    unix_offset: i128,
    has_begun: bool,
}

impl Explainer {
    /// Creates an explainer for one query.
    pub fn new(query: Query) -> Self {
        let (finished, current, open, classes, endpoints, held, held_by_dest, routes) = Default::default();
        let (waiting_count, last_turn_at, unix_offset, has_begun) = (0, 0, 0, false);
        Self {
            query,
            finished,
            current,
            open,
            classes,
            endpoints,
            waiting_count,
            last_turn_at,
            held,
            held_by_dest,
            routes,
            unix_offset,
            has_begun,
        }
    }

    /// Returns the explanations, one for each process.
    pub fn finish(mut self) -> Vec<Explanation> {
        self.close("the recording ends");
        self.finished
    }

    /// Finishes the current explanation.
    fn close(&mut self, reason: &str) {
        if !std::mem::take(&mut self.has_begun) {
            return;
        }
        let last_turn_at = self.last_turn_at;
        for id in self.open.keys().copied().collect::<Vec<_>>() {
            self.end_span(id, last_turn_at, reason);
            if let Some(message) = self.open.remove(&id) {
                self.keep_if_selected(message.timeline);
            }
        }
        let mut explanation = std::mem::take(&mut self.current);
        explanation.ends = last_turn_at;
        let totals = std::mem::take(&mut self.held).into_iter();
        explanation.totals =
            totals.map(|(guard, (held, ids))| GuardTotal { guard, held, messages: ids.len() }).collect();
        explanation.totals.sort_by_key(|t| std::cmp::Reverse(t.held));
        explanation.dests = std::mem::take(&mut self.held_by_dest).into_iter().collect();
        explanation.dests.sort_by_key(|d| std::cmp::Reverse(d.1));
        explanation.timelines.sort_by_key(|t| t.spans.first().map_or(0, |s| s.from));
        self.routes.clear();
        self.finished.push(explanation);
    }

    fn class_name(&self, index: u32) -> String {
        self.classes.get(index as usize).cloned().unwrap_or_else(|| format!("class {index}"))
    }

    fn endpoint_name(&self, id: EndpointId) -> String {
        self.endpoints.get(&id).cloned().unwrap_or_else(|| format!("{:016x}", id.0))
    }

    /// Returns the selected period on the module's clock.
    fn period(&self) -> (Micros, Micros) {
        let from = self.query.from.map_or(0, |f| self.current.begins.saturating_add(f));
        (from, self.query.to.map_or(Micros::MAX, |t| self.current.begins.saturating_add(t)))
    }

    /// Adds a finished timeline to the explanation if the query selects it.
    fn keep_if_selected(&mut self, timeline: MessageTimeline) {
        let (from, to) = self.period();
        let has_selection = self.query.message.is_some() || self.query.dest.is_some() || from > 0;
        let is_dest = self.query.dest.is_none_or(|d| d.0 == timeline.dest);
        let is_message = self.query.message.is_none_or(|m| format!("{:016x}", m.0) == timeline.id);
        if has_selection
            && is_dest
            && is_message
            && timeline.spans.iter().any(|s| s.from < to && s.to >= from)
        {
            self.current.timelines.push(timeline);
        }
    }

    /// Ends the current span of a message and begins the next.
    fn end_span(&mut self, id: MessageId, at: Micros, reason: &str) {
        let (from, to) = self.period();
        let is_selected_dest = |dest| self.query.dest.is_none_or(|d| d.0 == dest);
        let Some(message) = self.open.get_mut(&id) else { return };
        if at > message.from {
            let (began, ended) = (std::mem::take(&mut message.began), reason.to_owned());
            let span = Span {
                from: message.from,
                to: at,
                state: message.state,
                endpoint: message.endpoint.take(),
                began,
                ended,
            };
            message.timeline.spans.push(span);
            if let MessageState::Held(guard) = message.state {
                self.current.held_by_spans += at - message.from;
                let selected_time = at.min(to).saturating_sub(message.from.max(from));
                let is_selected_id = self.query.message.is_none_or(|m| m == id);
                if selected_time > 0 && is_selected_id && is_selected_dest(message.timeline.dest) {
                    let total = self.held.entry(guard).or_default();
                    total.0 += selected_time;
                    total.1.insert(id);
                    *self.held_by_dest.entry(message.timeline.dest).or_default() += selected_time;
                }
            }
        }
        (message.from, message.began) = (at, reason.to_owned());
    }

    /// Starts the timeline of a message.
    fn begin_timeline(
        &mut self,
        id: MessageId,
        class: u32,
        dest: u64,
        at: Micros,
        began: &str,
        from_before: bool,
    ) {
        let timeline = MessageTimeline {
            id: format!("{:016x}", id.0),
            class: self.class_name(class),
            dest,
            from_before,
            spans: Vec::new(),
            end: None,
        };
        let (state, endpoint, began) = (MessageState::Held(Guard::Order), None, began.to_owned());
        self.open.insert(id, OpenMessage { timeline, state, endpoint, from: at, began });
    }

    /// Ends the timeline of a message.
    fn end_timeline(&mut self, id: MessageId, at: Micros, how: &str) {
        self.end_span(id, at, how);
        if let Some(mut message) = self.open.remove(&id) {
            message.timeline.end = Some(how.to_owned());
            self.keep_if_selected(message.timeline);
        }
    }

    /// Describes what ended one span of a message and began the next, which has this state.
    fn describe_change(&self, turn: &Turn, id: MessageId, dest: u64, state: MessageState) -> String {
        let own_event = turn.events.iter().rev().find(|e| message_of(e) == Some(id));
        if state == MessageState::InFlight {
            let sent = turn.actions.iter().find_map(|a| match a {
                Action::Send { id: i, endpoint, .. } if *i == id => Some(*endpoint),
                _ => None,
            });
            return sent.map_or("sent".into(), |e| format!("sent to {}", self.endpoint_name(e)));
        }
        if let Some(e) = own_event {
            return describe_event(e);
        }
        let is_of_dest = |e: &Event| {
            let other = message_of(e).and_then(|m| self.open.get(&m));
            other.is_some_and(|t| t.timeline.dest == dest) || refers_to(e, DestinationId(dest))
        };
        if let Some(e) = turn.events.iter().find(|e| is_of_dest(e)) {
            return format!("{} (same destination)", describe_event(e));
        }
        let is_end = |e: &&Event| matches!(e, Event::Ended { .. });
        match turn.events.iter().find(is_end) {
            Some(e) => format!("{} (another destination)", describe_event(e)),
            None => "the clock advanced".into(),
        }
    }

    /// Updates the spans of all open messages to their states after a turn.
    fn update_spans(&mut self, turn: &Turn, sender: &Sender) {
        let at = turn.at;
        let holds: BTreeMap<MessageId, Guard> =
            sender.holds().into_iter().map(|(id, _, h)| (id, h.guard)).collect();
        let changed: Vec<(MessageId, MessageState, u64)> = self
            .open
            .iter()
            .map(|(&id, t)| {
                (
                    id,
                    holds.get(&id).map_or(MessageState::InFlight, |g| MessageState::Held(*g)),
                    t.timeline.dest,
                )
            })
            .filter(|(id, state, _)| self.open.get(id).is_some_and(|t| t.state != *state || t.from == at))
            .collect();
        for (id, state, dest) in changed {
            let reason = self.describe_change(turn, id, dest, state);
            let is_new = self.open.get(&id).is_some_and(|t| t.from == at && t.timeline.spans.is_empty());
            if !is_new {
                self.end_span(id, at, &reason);
            }
            let sent_to = turn.actions.iter().find_map(|a| match a {
                Action::Send { id: i, endpoint, .. } if *i == id => Some(self.endpoint_name(*endpoint)),
                _ => None,
            });
            if let Some(t) = self.open.get_mut(&id) {
                t.state = state;
                t.endpoint = sent_to
                    .filter(|_| state == MessageState::InFlight)
                    .or(t.endpoint.take().filter(|_| state == MessageState::InFlight));
            }
        }
        self.waiting_count = sender.waiting_count();
        self.sample_routes(at, &holds, sender);
    }

    /// Records the routes of the selected destination if they changed.
    fn sample_routes(&mut self, at: Micros, holds: &BTreeMap<MessageId, Guard>, sender: &Sender) {
        let Some(dest) = self.query.dest else { return };
        let held = holds.keys().filter(|id| self.open.get(id).is_some_and(|t| t.timeline.dest == dest.0));
        let held = held.count();
        let (from, to) = self.period();
        for view in sender.route_views(Some(dest)) {
            let route = view.endpoint.map(|e| self.endpoint_name(e));
            let old = self.routes.insert(view.endpoint, view.clone());
            if at < from || at > to {
                continue;
            }
            if let Some((cut_at, outcome)) =
                view.last_cut.filter(|cut| old.as_ref().is_none_or(|o| o.last_cut != Some(*cut)))
            {
                let cause = describe_outcome(outcome);
                let before = old.as_ref().map_or(view.window, |o| o.window);
                self.current.cuts.push(Cut {
                    at: cut_at,
                    route: route.clone(),
                    from: before,
                    to: view.window,
                    cause,
                });
            }
            let hold = view.hold.map(|h| h.guard);
            let (window, in_flight, lost, admitted_rate) =
                (view.window, view.in_flight, view.lost, view.admitted_rate);
            let sample = RouteSample { at, route, window, in_flight, lost, held, admitted_rate, hold };
            let is_unchanged = |p: &&RouteSample| {
                let values = (p.window, p.in_flight, p.lost, p.held, p.admitted_rate, p.hold);
                values
                    == (
                        sample.window,
                        sample.in_flight,
                        sample.lost,
                        sample.held,
                        sample.admitted_rate,
                        sample.hold,
                    )
            };
            let last = self.current.points.iter().rev().find(|p| p.route == sample.route);
            if last.filter(is_unchanged).is_none() {
                self.current.points.push(sample);
            }
        }
    }
}

/// Describes the outcome of a call.
pub fn describe_outcome(outcome: Outcome) -> String {
    match outcome {
        Outcome::Served => "served".into(),
        Outcome::Failed => "answered with an error".into(),
        Outcome::Full { wait: Some(w) } => {
            format!("refused as full, with a wait time of {:.3} s", w as f64 / 1e6)
        }
        Outcome::Full { wait: None } => "refused as full, without a wait time".into(),
        Outcome::TimedOut => "timed out".into(),
        Outcome::ConnectFailed => "no connection, or it broke before the request was written".into(),
        Outcome::Reset => "the connection broke, it may have run".into(),
        Outcome::Spoilt => "the response cannot be read".into(),
        Outcome::Cancelled => "cancelled, it may have run".into(),
        Outcome::Moot => "not sent".into(),
        Outcome::NotSent => "not sent: this process could not create the connection or the record".into(),
    }
}

fn describe_event(event: &Event) -> String {
    match event {
        Event::Taken(m) => format!("{:016x} was accepted", m.id.0),
        Event::Resumed { message, .. } => format!("{:016x} was taken up after a restart", message.id.0),
        Event::Ended { id, attempt, outcome, .. } => {
            format!("attempt {attempt} of {:016x}: {}", id.0, describe_outcome(*outcome))
        }
        Event::Withdrawn(id) => format!("{:016x} was withdrawn", id.0),
        Event::Wake => "the clock advanced".into(),
        Event::List(_) => "the list of endpoints changed".into(),
        Event::Note { from, .. } => format!("a note from sender {from}"),
        Event::Unused(_) => "a connection became idle".into(),
        Event::Closed(_) => "an idle connection was closed".into(),
        Event::Probed { .. } => "a probe ended".into(),
        Event::Settings(_) => "new settings became active".into(),
        Event::Service { out_of_service: true, .. } => "operators took an endpoint out of service".into(),
        Event::Service { .. } => "operators returned an endpoint to service".into(),
        Event::Zone { zone, probe: true, .. } => format!("zone {zone} is probed: it is this sender's turn"),
        Event::Zone { zone, share, .. } => {
            format!("zone {zone} receives {:.0} % of its share, as the fleet decided", 100.0 * share)
        }
    }
}

impl ReplayObserver for Explainer {
    fn on_segment(&mut self, header: &Header, sender: &Sender, is_continued: bool) {
        self.classes.clone_from(&header.classes);
        self.endpoints.extend(header.endpoints.iter().cloned());
        if is_continued {
            return;
        }
        if self.has_begun && self.current.run == header.run {
            // A part is missing, so messages that were open before it cannot be tracked further.
            self.close("the recording has a gap");
        } else {
            self.close("the process ended");
        }
        self.has_begun = true;
        self.unix_offset = i128::from(header.unix) - i128::from(header.at);
        (self.last_turn_at, self.waiting_count) = (header.at, sender.waiting_count());
        let (run, begins, unix) = (header.run, header.at, header.unix);
        self.current =
            Explanation { sender: header.sender.clone(), run, begins, unix, ..Explanation::default() };
        let holds: BTreeMap<MessageId, Guard> =
            sender.holds().into_iter().map(|(id, _, h)| (id, h.guard)).collect();
        for (id, class, dest, in_flight) in sender.open_messages() {
            self.begin_timeline(id, class, dest.0, header.at, "held before the recording begins", true);
            if let Some(t) = self.open.get_mut(&id) {
                t.state = if in_flight {
                    MessageState::InFlight
                } else {
                    MessageState::Held(holds.get(&id).copied().unwrap_or(Guard::Order))
                };
            }
        }
    }

    fn on_turn(&mut self, turn: &Turn, sender: &Sender) {
        self.current.held_by_count +=
            self.waiting_count as Micros * turn.at.saturating_sub(self.last_turn_at);
        self.last_turn_at = turn.at;
        for e in &turn.events {
            match e {
                Event::Taken(m) | Event::Resumed { message: m, .. } if !self.open.contains_key(&m.id) => {
                    self.begin_timeline(m.id, m.class, m.dest.0, turn.at, &describe_event(e), false);
                }
                Event::Ended { id, outcome, is_final, .. } if *is_final || *outcome == Outcome::Served => {
                    let how = if *outcome == Outcome::Served {
                        "delivered"
                    } else {
                        "ended: no result is needed any more"
                    };
                    self.end_timeline(*id, turn.at, how);
                }
                Event::Withdrawn(id) => self.end_timeline(*id, turn.at, "withdrawn"),
                _ => {}
            }
        }
        for a in &turn.actions {
            match a {
                Action::Refuse { id, .. } => self.end_timeline(*id, turn.at, "refused"),
                Action::Fail { id } => self.end_timeline(*id, turn.at, "given up"),
                _ => {}
            }
        }
        self.update_spans(turn, sender);
    }

    fn on_other_record(&mut self, record: &Record) {
        match record {
            Record::Clock { at, unix } => {
                let unix_offset = i128::from(*unix) - i128::from(*at);
                self.current.clock_steps.push((*at, (unix_offset - self.unix_offset) as i64));
                self.unix_offset = unix_offset;
            }
            Record::Name(id, name) => {
                self.endpoints.insert(*id, name.clone());
            }
            _ => {}
        }
    }
}
