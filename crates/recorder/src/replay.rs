//! Makes the recorded decisions again.

use crate::format::{Damage, Header, Record, Recording, Segment, SegmentStart, Turn};
use crate::recorder::state;
use notchpoint_policy::{
    Action, DestinationId, Event, FINGERPRINT, ListUpdate, MessageId, Micros, STATE_FORM, Sender,
};
use std::fmt;

/// Looks on while decisions are made again.
pub trait ReplayObserver {
    /// A segment begins with this module. `goes_on` if its run was being played up to here without a gap.
    fn on_segment(&mut self, header: &Header, sender: &Sender, goes_on: bool);
    /// A turn was made; `sender` is the module behind it.
    fn on_turn(&mut self, turn: &Turn, sender: &Sender);
    /// What else is recorded.
    fn on_other_record(&mut self, _record: &Record) {}
}

/// Observes nothing.
pub struct NoObserver;

impl ReplayObserver for NoObserver {
    fn on_segment(&mut self, _: &Header, _: &Sender, _: bool) {}
    fn on_turn(&mut self, _: &Turn, _: &Sender) {}
}

/// The first decision that is not the recorded one.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The process, by its start in Unix time, microseconds.
    pub run: u64,
    /// The turn's number in it.
    pub turn: u64,
    /// The module's clock.
    pub at: Micros,
    /// The place of the action in the turn.
    pub action_index: usize,
    /// The recorded action there; none where there were no more.
    pub recorded: Option<Action>,
    /// What was decided now.
    pub decided: Option<Action>,
    /// The event of the turn that the action hangs on; none where time alone did it.
    pub event: Option<Event>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (turn, at) = (self.turn, self.at as f64 / 1e6);
        writeln!(f, "the decisions part in turn {turn} (clock {at:.6} s), action {}:", self.action_index)?;
        let say = |a: &Option<Action>| a.as_ref().map_or("nothing more".to_owned(), |a| format!("{a:?}"));
        writeln!(f, "  recorded: {}", say(&self.recorded))?;
        writeln!(f, "  decided:  {}", say(&self.decided))?;
        match &self.event {
            Some(e) => write!(f, "  event:    {e:?}"),
            None => write!(f, "  event:    none of the turn concerns it: time alone"),
        }
    }
}

/// Why a segment was not played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SkipReason {
    /// It begins with a state whose form this build cannot read, and what came before is not recorded.
    UnsupportedState,
    /// Its state or settings make no sense, though their checksum fits.
    InvalidState(String),
}

impl fmt::Display for SkipReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnsupportedState => write!(
                f,
                "it begins with a state in the form of another build, and the recording no longer has what \
                 came before it: only a build with that form can play it"
            ),
            Self::InvalidState(why) => write!(f, "its beginning makes no sense: {why}"),
        }
    }
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayReport {
    /// Segments played.
    pub segments: usize,
    /// Turns whose actions are the recorded ones.
    pub turns: u64,
    /// States at the beginnings of segments that were compared with the module's own, byte for byte.
    pub states: usize,
    /// Processes that are recorded.
    pub runs: usize,
    /// The first difference; nothing is played behind it.
    pub difference: Option<Difference>,
    /// A recorded state that is not the one played to: the run and the segment.
    pub state_differs: Option<(u64, u64)>,
    /// What is wrong with the recording.
    pub damage: Vec<Damage>,
    /// Segments that could not be played: run, segment and why.
    pub skipped: Vec<(u64, u64, SkipReason)>,
    /// Decisions of other builds were recorded: their fingerprints.
    pub other_builds: Vec<u64>,
}

impl ReplayReport {
    /// All that is recorded was decided again as it was.
    pub fn is_equal(&self) -> bool {
        self.difference.is_none() && self.state_differs.is_none() && self.skipped.is_empty()
    }
}

/// Feeds a recording to this build's module and compares each turn's actions.
pub fn replay(recording: &Recording, watch: &mut dyn ReplayObserver) -> ReplayReport {
    let mut done = ReplayReport { damage: recording.damage.clone(), ..ReplayReport::default() };
    // The module as played so far: its run, the segment due next, and the turn due next.
    let mut playing: Option<(u64, u64, u64, Sender)> = None;
    let mut run = None;
    for segment in &recording.segments {
        let h = &segment.header;
        if run != Some(h.run) {
            run = Some(h.run);
            done.runs += 1;
        }
        if h.fingerprint != FINGERPRINT && !done.other_builds.contains(&h.fingerprint) {
            done.other_builds.push(h.fingerprint);
        }
        let next = playing.take().filter(|p| (p.0, p.1, p.2) == (h.run, h.segment, h.first_turn));
        let goes_on = next.is_some();
        let sender = match (next, &h.start) {
            (Some((.., sender)), SegmentStart::State(bytes)) => {
                if h.state_form == STATE_FORM {
                    done.states += 1;
                    if state(&sender) != *bytes {
                        done.state_differs = Some((h.run, h.segment));
                        return done;
                    }
                }
                Ok(sender)
            }
            (_, start) => begin(start, h.state_form),
        };
        let mut sender = match sender {
            Ok(sender) => sender,
            Err(why) => {
                done.skipped.push((h.run, h.segment, why));
                continue;
            }
        };
        watch.on_segment(h, &sender, goes_on);
        done.segments += 1;
        match play(segment, &mut sender, watch, &mut done) {
            Some(due) => playing = Some((h.run, h.segment + 1, due, sender)),
            None if done.difference.is_some() => return done,
            None => {}
        }
    }
    done
}

fn begin(start: &SegmentStart, form: u64) -> Result<Sender, SkipReason> {
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

/// Plays a segment; gives the turn due next if it is whole.
fn play(
    segment: &Segment,
    sender: &mut Sender,
    watch: &mut dyn ReplayObserver,
    done: &mut ReplayReport,
) -> Option<u64> {
    let mut records = segment.records();
    let mut due = segment.header.first_turn;
    let mut actions = Vec::new();
    for record in &mut records {
        let Record::Turn(turn) = &record else {
            watch.on_other_record(&record);
            continue;
        };
        if turn.number != due {
            done.damage.push(Damage::ChecksumMismatch { offset: segment.offset });
            return None;
        }
        actions.clear();
        sender.handle(turn.at, &turn.events, &mut actions);
        if actions != turn.actions {
            done.difference = Some(difference(segment.header.run, turn, &actions));
            return None;
        }
        watch.on_turn(turn, sender);
        (due, done.turns) = (due + 1, done.turns + 1);
    }
    let whole = records.damage.is_none();
    done.damage.extend(records.damage);
    whole.then_some(due)
}

fn difference(run: u64, turn: &Turn, actions: &[Action]) -> Difference {
    let same = turn.actions.iter().zip(actions).take_while(|(a, b)| a == b).count();
    let (recorded, decided) = (turn.actions.get(same).cloned(), actions.get(same).cloned());
    let of = |a: &Option<Action>| a.as_ref().and_then(message_of_action);
    let event = [&recorded, &decided]
        .into_iter()
        .filter_map(of)
        .find_map(|id| turn.events.iter().find(|e| message_of(e) == Some(id)).cloned());
    // Not about its own message: then what else happened in the turn made the difference.
    let event = event.or_else(|| turn.events.iter().find(|e| **e != Event::Wake).cloned());
    Difference { run, turn: turn.number, at: turn.at, action_index: same, recorded, decided, event }
}

/// The message that an event is about.
pub(crate) fn message_of(event: &Event) -> Option<MessageId> {
    match event {
        Event::Taken(m) | Event::Resumed { message: m, .. } => Some(m.id),
        Event::Ended { id, .. } | Event::Withdrawn(id) => Some(*id),
        _ => None,
    }
}

/// The message that an action is about.
pub(crate) fn message_of_action(action: &Action) -> Option<MessageId> {
    match action {
        Action::Send { id, .. }
        | Action::Cancel { id, .. }
        | Action::Refuse { id, .. }
        | Action::Fail { id } => Some(*id),
        _ => None,
    }
}

/// Whether an event names the destination, as far as it tells by itself.
pub(crate) fn names(event: &Event, dest: DestinationId) -> bool {
    match event {
        Event::Taken(m) | Event::Resumed { message: m, .. } => m.dest == dest,
        Event::List(ListUpdate::Changes(list) | ListUpdate::Whole(list) | ListUpdate::Restored(list)) => {
            list.iter().any(|e| e.dest == dest)
        }
        _ => false,
    }
}
