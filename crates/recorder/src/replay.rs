//! Replays a recording: repeats its decisions and compares them with the recorded ones.

use crate::format::{Damage, Header, Record, Recording, Segment, SegmentStart, Turn};
use crate::recorder::serialize_state;
use notchpoint_policy::{
    Action, DestinationId, Event, FINGERPRINT, ListUpdate, MessageId, Micros, STATE_FORM, Sender,
};
use std::fmt;

/// Observes a replay.
pub trait ReplayObserver {
    /// Called at the start of a segment with the module's state there. `is_continued` is true if the same
    /// process was replayed up to this segment without a gap.
    fn on_segment(&mut self, header: &Header, sender: &Sender, is_continued: bool);
    /// Called after each turn. `sender` is the module after the turn.
    fn on_turn(&mut self, turn: &Turn, sender: &Sender);
    /// Called with each record that is not a turn.
    fn on_other_record(&mut self, _record: &Record) {}
}

/// An observer that does nothing.
pub struct NoObserver;

impl ReplayObserver for NoObserver {
    fn on_segment(&mut self, _: &Header, _: &Sender, _: bool) {}
    fn on_turn(&mut self, _: &Turn, _: &Sender) {}
}

/// The first decision that differs from the recorded one.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The process: the Unix time of its start, in microseconds.
    pub run: u64,
    /// The number of the turn in its process.
    pub turn: u64,
    /// The module's clock in microseconds.
    pub at: Micros,
    /// The index of the action in the turn.
    pub action_index: usize,
    /// The recorded action at this index, or `None` after the last one.
    pub recorded: Option<Action>,
    /// The action decided in the replay, or `None` after the last one.
    pub decided: Option<Action>,
    /// The event of the turn that the action probably results from, or `None` if only the clock advanced.
    pub event: Option<Event>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (turn, at) = (self.turn, self.at as f64 / 1e6);
        writeln!(f, "the decisions differ in turn {turn} (clock {at:.6} s), action {}:", self.action_index)?;
        let describe =
            |a: &Option<Action>| a.as_ref().map_or("no further action".to_owned(), |a| format!("{a:?}"));
        writeln!(f, "  recorded: {}", describe(&self.recorded))?;
        writeln!(f, "  decided:  {}", describe(&self.decided))?;
        match &self.event {
            Some(e) => write!(f, "  event:    {e:?}"),
            None => write!(f, "  event:    none in this turn: only the clock advanced"),
        }
    }
}

/// Why a segment was not replayed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SkipReason {
    /// The segment begins with a state in a format that this build cannot read, and the turns before it are
    /// not in the recording.
    UnsupportedState,
    /// The initial state or settings are invalid, although their checksum matches.
    InvalidState(String),
}

impl fmt::Display for SkipReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnsupportedState => write!(
                f,
                "it begins with a state in the format of another build, and the recording no longer has the \
                 turns before it: only a build with that format can replay it"
            ),
            Self::InvalidState(reason) => write!(f, "its initial state or settings are invalid: {reason}"),
        }
    }
}

/// The result of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayReport {
    /// The number of segments that were replayed.
    pub segments: usize,
    /// The number of turns with the same actions as recorded.
    pub turns: u64,
    /// The number of recorded states at the start of segments that were compared with the module's state,
    /// byte for byte.
    pub states: usize,
    /// The number of processes in the recording.
    pub runs: usize,
    /// The first difference. Nothing is replayed after it.
    pub difference: Option<Difference>,
    /// The process and segment of a recorded state that differs from the replayed one.
    pub state_differs: Option<(u64, u64)>,
    /// The damaged or unsupported parts of the recording.
    pub damage: Vec<Damage>,
    /// Segments that could not be replayed: the process, the segment and the reason.
    pub skipped: Vec<(u64, u64, SkipReason)>,
    /// The fingerprints of other builds whose decisions are recorded.
    pub other_builds: Vec<u64>,
}

impl ReplayReport {
    /// Returns whether all decisions and states are the same as recorded.
    pub fn is_equal(&self) -> bool {
        self.difference.is_none() && self.state_differs.is_none() && self.skipped.is_empty()
    }
}

/// Replays a recording with this build's decision module and compares the actions of each turn.
pub fn replay(recording: &Recording, observer: &mut dyn ReplayObserver) -> ReplayReport {
    let mut report = ReplayReport { damage: recording.damage.clone(), ..ReplayReport::default() };
    // The module after the last segment: its process, the next segment, the next turn, and the module itself.
    let mut replayed: Option<(u64, u64, u64, Sender)> = None;
    let mut run = None;
    for segment in &recording.segments {
        let header = &segment.header;
        if run != Some(header.run) {
            run = Some(header.run);
            report.runs += 1;
        }
        if header.fingerprint != FINGERPRINT && !report.other_builds.contains(&header.fingerprint) {
            report.other_builds.push(header.fingerprint);
        }
        let next =
            replayed.take().filter(|p| (p.0, p.1, p.2) == (header.run, header.segment, header.first_turn));
        let is_continued = next.is_some();
        let sender = match (next, &header.start) {
            (Some((.., sender)), SegmentStart::State(bytes)) => {
                if header.state_form == STATE_FORM {
                    report.states += 1;
                    if serialize_state(&sender) != *bytes {
                        report.state_differs = Some((header.run, header.segment));
                        return report;
                    }
                }
                Ok(sender)
            }
            (_, start) => initial_sender(start, header.state_form),
        };
        let mut sender = match sender {
            Ok(sender) => sender,
            Err(reason) => {
                report.skipped.push((header.run, header.segment, reason));
                continue;
            }
        };
        observer.on_segment(header, &sender, is_continued);
        report.segments += 1;
        match replay_segment(segment, &mut sender, observer, &mut report) {
            Some(next_turn) => replayed = Some((header.run, header.segment + 1, next_turn, sender)),
            None if report.difference.is_some() => return report,
            None => {}
        }
    }
    report
}

fn initial_sender(start: &SegmentStart, form: u64) -> Result<Sender, SkipReason> {
    match start {
        SegmentStart::Fresh { settings, seed } => {
            Sender::new(settings.clone(), *seed).map_err(|e| SkipReason::InvalidState(e.to_string()))
        }
        SegmentStart::State(_) if form != STATE_FORM => Err(SkipReason::UnsupportedState),
        SegmentStart::State(bytes) => {
            postcard::from_bytes(bytes).map_err(|e| SkipReason::InvalidState(e.to_string()))
        }
    }
}

/// Replays a segment. Returns the number of the next turn if the segment is complete.
fn replay_segment(
    segment: &Segment,
    sender: &mut Sender,
    observer: &mut dyn ReplayObserver,
    report: &mut ReplayReport,
) -> Option<u64> {
    let mut records = segment.records();
    let mut next_turn = segment.header.first_turn;
    let mut actions = Vec::new();
    for record in &mut records {
        let Record::Turn(turn) = &record else {
            observer.on_other_record(&record);
            continue;
        };
        if turn.number != next_turn {
            report.damage.push(Damage::ChecksumMismatch { offset: segment.offset });
            return None;
        }
        actions.clear();
        sender.handle(turn.at, &turn.events, &mut actions);
        if actions != turn.actions {
            report.difference = Some(difference(segment.header.run, turn, &actions));
            return None;
        }
        observer.on_turn(turn, sender);
        (next_turn, report.turns) = (next_turn + 1, report.turns + 1);
    }
    let is_complete = records.damage.is_none();
    report.damage.extend(records.damage);
    is_complete.then_some(next_turn)
}

fn difference(run: u64, turn: &Turn, actions: &[Action]) -> Difference {
    let index = turn.actions.iter().zip(actions).take_while(|(a, b)| a == b).count();
    let (recorded, decided) = (turn.actions.get(index).cloned(), actions.get(index).cloned());
    let message = |a: &Option<Action>| a.as_ref().and_then(message_of_action);
    let event = [&recorded, &decided]
        .into_iter()
        .filter_map(message)
        .find_map(|id| turn.events.iter().find(|e| message_of(e) == Some(id)).cloned());
    // Without an event about the message itself, another event of the turn probably made the difference.
    let event = event.or_else(|| turn.events.iter().find(|e| **e != Event::Wake).cloned());
    Difference { run, turn: turn.number, at: turn.at, action_index: index, recorded, decided, event }
}

/// Returns the message that an event is about.
pub(crate) fn message_of(event: &Event) -> Option<MessageId> {
    match event {
        Event::Taken(m) | Event::Resumed { message: m, .. } => Some(m.id),
        Event::Ended { id, .. } | Event::Withdrawn(id) => Some(*id),
        _ => None,
    }
}

/// Returns the message that an action is about.
pub(crate) fn message_of_action(action: &Action) -> Option<MessageId> {
    match action {
        Action::Send { id, .. }
        | Action::Cancel { id, .. }
        | Action::Refuse { id, .. }
        | Action::Fail { id } => Some(*id),
        _ => None,
    }
}

/// Returns whether an event itself refers to the destination.
pub(crate) fn refers_to(event: &Event, dest: DestinationId) -> bool {
    match event {
        Event::Taken(m) | Event::Resumed { message: m, .. } => m.dest == dest,
        Event::List(ListUpdate::Changes(list) | ListUpdate::Whole(list) | ListUpdate::Restored(list)) => {
            list.iter().any(|e| e.dest == dest)
        }
        _ => false,
    }
}
