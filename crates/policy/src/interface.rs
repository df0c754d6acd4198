//! What a caller hands to a [`Sender`](crate::Sender) and what it gets back. No decision is made here.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A moment or a span, in whole microseconds. The zero of the clock is the caller's.
pub type Micros = u64;

/// A message, named by the caller. An id is not used twice in a sender's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u64);

/// A destination: another firm's system, with one or more endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DestinationId(pub u64);

/// An endpoint, numbered by the caller; the number keeps its meaning for the sender's life. Where senders
/// write to each other, it is the same at all of them, as a destination's number is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u64);

/// How often a message may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Effect {
    /// May be repeated freely.
    Safe,
    /// Repeats are dropped for a while by a group of endpoints.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// The endpoints of a destination that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Group {
    /// All endpoints of the destination.
    All,
    /// Those in one zone.
    Zone,
    /// Only the endpoint that had the first try.
    Endpoint,
}

/// How worth falls once the wanted time has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fade {
    /// Evenly, down to the late share at the deadline.
    Even,
    /// By half with each further wanted time, but not under the late share.
    ByHalf,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Whether it may be repeated.
    pub effect: Effect,
    /// For keyed messages: who drops repeats.
    pub group: Group,
    /// For keyed messages: for how long, from the earliest attempt that may have run.
    pub memory: Micros,
    /// Full worth if delivered within this time of being handed in first.
    pub wanted: Micros,
    /// Given up after this time.
    pub deadline: Micros,
    /// Worth of one message.
    pub worth: f64,
    /// Share of the worth left at the deadline.
    pub late_share: f64,
    /// Messages with the same key go one at a time, in the order taken.
    pub in_order: bool,
}

/// A kind of destination.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// Each endpoint is a route of its own, with its own limit and outages.
    pub apart: bool,
    /// Messages that may share one call.
    pub bundle: u32,
}

/// How news of the endpoint list arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListMode {
    /// Changes come unasked.
    Push,
    /// Changes come only to who watches or fetches.
    Ask,
}

/// What a sender is told at its start. See [`Settings::check`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Calls out at once.
    pub slots: u32,
    /// Messages held at once, sent or not.
    pub max_held: u32,
    /// Attempts for one message.
    pub max_attempts: u32,
    /// Senders that share the destinations, this one included.
    pub senders: u32,
    /// The zone that this sender stands in.
    pub zone: u32,
    /// Two attempts of a message may be out at once.
    pub second_copies: bool,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// Endpoints may be probed.
    pub may_probe: bool,
    /// Notes to other senders are allowed.
    pub may_note: bool,
    /// How the list is followed.
    pub list: ListMode,
    /// Classes; messages name them by position.
    pub classes: Vec<Class>,
    /// For each tenant the messages a second, over all senders, that count in full.
    pub tenants: Vec<f64>,
    /// What a message over its tenant's share is worth, as a share.
    pub over_share_worth: f64,
    /// Kinds of destination; list entries name them by position.
    pub kinds: Vec<Kind>,
    /// How worth falls.
    pub fade: Fade,
    /// Clients mark the messages that they hand in again.
    pub clients_mark: bool,
    /// A returning destination has this share of its capacity or more.
    pub start_share: f64,
    /// And all of it after this long.
    pub cold: Micros,
    /// Sent more than this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... for this long, a cold destination falls over.
    pub fall_after: Micros,
    /// After an attempt that may still run, its key rests so long.
    pub key_rest: Micros,
    /// A connection not made within this time has failed.
    pub connect_timeout: Micros,
    /// Idle connections are closed after this time.
    pub conn_idle: Micros,
    /// Calls that one connection carries at once.
    pub multiplex: u32,
    /// The caller tells of each connection that stands idle, and of each idle one that ends. Else both are
    /// guessed from outcomes.
    pub conns_told: bool,
    /// The least time between two turns.
    pub tick: Micros,
    /// Longest advice on when to come back that clients heed; 0 where none is passed on.
    pub max_advice: Micros,
}

/// Why settings were turned down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings make no sense: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Turns down settings under which no sender could work.
    pub fn check(&self) -> Result<(), SettingsError> {
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let sound = |x: f64| x.is_finite() && x >= 0.0;
        let no = |what: &str| Err(SettingsError(what.to_owned()));
        if self.slots == 0 || self.max_held == 0 || self.max_attempts == 0 || self.senders == 0 {
            return no("slots, messages held, attempts and senders must be at least one");
        }
        if self.classes.is_empty() || self.kinds.is_empty() || self.multiplex == 0 {
            return no("there must be a class, a kind of destination and a call for each connection");
        }
        if !share(self.over_share_worth) || !share(self.start_share) || !sound(self.fall_multiple) {
            return no("shares lie between 0 and 1, multiples are finite");
        }
        if self.tenants.iter().any(|&t| !sound(t)) || self.kinds.iter().any(|k| k.bundle == 0) {
            return no("allowances are finite and a call carries at least one message");
        }
        let spans =
            [self.cold, self.fall_after, self.key_rest, self.connect_timeout, self.conn_idle, self.tick];
        let classes = self.classes.iter().flat_map(|c| [c.memory, c.wanted, c.deadline]);
        if spans.into_iter().chain(classes).any(|t| t > 1 << 50) {
            return no("spans must be shorter than thirty years");
        }
        for c in &self.classes {
            if c.wanted == 0 || c.deadline < c.wanted || !sound(c.worth) || !share(c.late_share) {
                return no("a class needs a wanted time, a deadline not before it and a worth");
            }
        }
        Ok(())
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Served,
    /// The destination answered with an error; it may have run.
    Failed,
    /// Turned away unseen, with the wait it asked for, if any.
    Full {
        /// Send nothing there for so long.
        wait: Option<Micros>,
    },
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// An answer that cannot be read, or does not come whole; it may have run. Unlike an error it tells
    /// nothing of the destination's load or health.
    Spoilt,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent: no slot was free, its time was up, or it had no attempt left.
    Moot,
    /// Not sent, since this side could not: there was no socket, port or route for a connection, or the
    /// attempt could not be recorded. It never ran, says nothing of the destination, and is no attempt.
    NotSent,
}

impl Outcome {
    /// Whether it proves that the attempt did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full { .. } | Self::ConnectFailed | Self::Moot | Self::NotSent)
    }
}

/// What a destination told of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// Share of the limit that is left.
    pub left: f64,
    /// The limit in calls a second; 0 where there is none.
    pub limit: f64,
}

/// State of an endpoint on the list. It tells nothing of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// May be sent to.
    Live,
    /// Gets nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// A line of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its destination.
    pub dest: DestinationId,
    /// Its zone.
    pub zone: u32,
    /// Its destination's kind.
    pub kind: u32,
    /// Its state.
    pub phase: Phase,
}

/// News of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ListNews {
    /// Only what changed.
    Changes(Vec<Entry>),
    /// The whole list; what is not in it is gone.
    Whole(Vec<Entry>),
    /// The whole list as this sender last had it before a restart.
    Restored(Vec<Entry>),
    /// A watch or fetch failed, or the watch broke.
    Unavailable,
}

/// A message taken from a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Its name.
    pub id: MessageId,
    /// Its class, by position.
    pub class: u32,
    /// Its tenant, by position, where there are any.
    pub tenant: Option<u32>,
    /// What it is about, for classes in order.
    pub key: Option<Box<str>>,
    /// Where it goes.
    pub dest: DestinationId,
    /// It is known to have been handed in before.
    pub again: bool,
    /// It must be answered within this time.
    pub expires_in: Micros,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A client handed in a message.
    Taken(Message),
    /// A message that an earlier process of this sender had taken is taken up again.
    Resumed {
        /// The message; what it is given to expire counts from now.
        message: Message,
        /// Attempts made before; the next one's number.
        attempts: u32,
        /// The earliest of them that may have run: how long ago it was sent, and where.
        ran: Option<(Micros, EndpointId)>,
    },
    /// An attempt ended. Exactly one comes for each [`Action::Send`].
    Ended {
        /// The message.
        id: MessageId,
        /// Its attempt, counted from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// The message is over: nothing is owed for it any more.
        over: bool,
        /// What was told of the limit.
        allowance: Option<Allowance>,
    },
    /// The client withdrew the message.
    Withdrawn(MessageId),
    /// A moment asked for by [`Action::WakeAt`] has come.
    Wake,
    /// News of the list.
    List(ListNews),
    /// A note from another sender.
    Note {
        /// Who wrote.
        from: u32,
        /// What.
        body: Vec<u8>,
    },
    /// A connection to this endpoint stands idle from now on.
    Unused(EndpointId),
    /// An idle connection to this endpoint ended, other than by [`Action::CloseIdle`].
    Closed(EndpointId),
    /// A probe ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// How.
        outcome: Outcome,
    },
    /// Operators have taken an endpoint out of service, or put it back.
    Service {
        /// The endpoint.
        endpoint: EndpointId,
        /// It is out from now on: nothing is sent to it, whatever the list says, until it is put back.
        out: bool,
    },
    /// Other settings from now on. Classes keep their places for as long as messages use them; kinds and
    /// tenants keep theirs.
    Settings(Box<Settings>),
    /// What the fleet found of a zone: from now on it is sent this share of what would go there, and the rest
    /// goes elsewhere. Destinations that have endpoints nowhere else are not concerned.
    Zone {
        /// The zone.
        zone: u32,
        /// From 0, left, to 1, as if nothing had been said.
        share: f64,
        /// One call to each destination there, whatever the share: it is this sender's turn to try.
        tries: bool,
        /// Destinations that serve there all the same, and are not concerned.
        spared: Vec<DestinationId>,
    },
}

/// What the caller is to do, in this order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Start an attempt. Sends of one turn to one endpoint may travel as one call where the kind allows.
    Send {
        /// The message.
        id: MessageId,
        /// Where.
        endpoint: EndpointId,
        /// Give up waiting after this time.
        timeout: Micros,
        /// Its first byte may be written for so long. After that it is moot: nobody would drop a repeat any
        /// more, or the message's time is up.
        within: Micros,
        /// Only on a connection that has carried an answer; on a new one it is moot.
        proven_only: bool,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// Its attempt.
        attempt: u32,
    },
    /// Final: handed back, trying again is harmless.
    Refuse {
        /// The message.
        id: MessageId,
        /// Advice on when to come back; 0 for none.
        after: Micros,
    },
    /// Final: given up, nothing promised.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Call again at this moment, or soon after, with [`Event::Wake`].
    WakeAt(Micros),
    /// Ask to be told of changes of the list.
    Watch,
    /// Ask for the whole list once.
    Fetch,
    /// Check an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Write to another sender, or to all.
    Note {
        /// To whom; all if absent.
        to: Option<u32>,
        /// What.
        body: Vec<u8>,
    },
    /// Close idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A line for the operator.
    Log(String),
}

/// What keeps a held message from being sent. The decision module names it where it turns a candidate down,
/// and nowhere else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Guard {
    /// There was room in this turn, and it went to messages worth more.
    Order,
    /// All of the sender's slots are taken.
    Slots,
    /// Its destination holds its whole share of the slots.
    Share,
    /// Calls in flight fill the destination's window.
    Window,
    /// The destination told how long to wait.
    Wait,
    /// The destination refused without telling how long to wait.
    Rest,
    /// Refusals show a limit: only a share of what comes in is sent.
    Pace,
    /// The destination comes back from an outage, cold.
    Cold,
    /// The breaker is open: the next trial is not due, or its turn is another message's.
    Breaker,
    /// The destination has no endpoint that may be sent to: drained, gone, or taken out of service.
    Drained,
    /// Every endpoint is passed over after failures.
    Endpoint,
    /// Every endpoint is passed over for this class after errors.
    ClassRest,
    /// The message pauses after an attempt that failed.
    Again,
    /// An earlier message with its key is open, or the key rests.
    Key,
    /// Only an endpoint that drops repeats may have it.
    Repeat,
    /// It may not be sent again: its effect, or no attempt left.
    Spent,
    /// The fleet has left the endpoint's zone, or comes back to it: others are there.
    Zone,
    /// It must not be repeated, the connection would be a new one, and its endpoint has not answered since as
    /// many such messages went out there as may.
    Unproven,
}

impl Guard {
    /// It stands for room that other messages of the destination take as well.
    pub fn is_room(self) -> bool {
        matches!(self, Self::Window | Self::Share | Self::Pace | Self::Cold)
    }
}

/// A guard that holds a message, and until when if no event has to come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// Which.
    pub guard: Guard,
    /// When it lets go by the clock alone.
    pub until: Option<Micros>,
}

impl Hold {
    /// A guard that lets go at a known moment.
    pub fn until(guard: Guard, until: Micros) -> Self {
        Self { guard, until: Some(until) }
    }

    /// A guard that lets go when something happens.
    pub fn open(guard: Guard) -> Self {
        Self { guard, until: None }
    }

    /// Of two guards that hold at once the one that lets go last; one that waits for an event is taken to be
    /// later than any clock.
    pub fn later(self, other: Self) -> Self {
        let key = |h: &Self| (h.until.is_none(), h.until);
        if key(&other) > key(&self) { other } else { self }
    }
}

/// What the module believes of a route, for those who look on.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteView {
    /// Its destination.
    pub dest: DestinationId,
    /// Its endpoint, where the endpoints are routes apart.
    pub endpoint: Option<EndpointId>,
    /// The fractional window.
    pub window: f64,
    /// Calls out, and those of them whose answers are taken to be lost.
    pub out: u32,
    /// See `out`.
    pub lost: u32,
    /// When the window was last cut, and by what.
    pub cut: Option<(Micros, Outcome)>,
    /// Nothing is sent before this moment: a wait told, or a rest after a refusal.
    pub rest_until: Micros,
    /// Calls a second that it is taken to admit; nothing while no limit by rate showed.
    pub admits: Option<f64>,
    /// What holds the whole route now.
    pub hold: Option<Hold>,
}
