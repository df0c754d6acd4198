//! Types that a caller passes to a [`Sender`](crate::Sender) and receives from it. They hold no decisions.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A point in time or a duration in whole microseconds. The caller defines the zero of the clock.
pub type Micros = u64;

/// Identifies a message. The caller assigns it and never reuses one within a sender's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u64);

/// Identifies a destination: the system of another company, with one or more endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DestinationId(pub u64);

/// Identifies an endpoint. The caller assigns the number, which keeps its meaning for the sender's life.
/// Senders that exchange notes use the same numbers for endpoints and destinations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u64);

/// States how often a message may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Effect {
    /// The message may be repeated freely.
    #[serde(rename = "Safe")]
    Idempotent,
    /// The endpoints in its [`DedupScope`] drop repeats within the deduplication window.
    #[serde(rename = "Keyed")]
    Deduplicated,
    /// The message must never run twice.
    #[serde(rename = "Unsafe")]
    AtMostOnce,
}

/// The endpoints of a destination that share one deduplication window and drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupScope {
    /// All endpoints of the destination.
    All,
    /// The endpoints in one zone.
    Zone,
    /// Only the endpoint that received the first attempt.
    Endpoint,
}

/// How the worth of a message falls once its target time has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorthDecay {
    /// Linearly, down to the late share at the deadline.
    Linear,
    /// By half with each further target time, but not below the late share.
    Halving,
}

/// A class of messages. Its JSON form is stored and keeps the names that the attributes give.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Whether a message may be repeated.
    pub effect: Effect,
    /// For deduplicated messages: the endpoints that drop repeats.
    #[serde(rename = "group")]
    pub dedup_scope: DedupScope,
    /// For deduplicated messages: how long repeats are dropped, from the earliest attempt that may have run.
    #[serde(rename = "memory")]
    pub dedup_window: Micros,
    /// A message has its full worth if it is delivered within this time of first being submitted.
    #[serde(rename = "wanted")]
    pub target_time: Micros,
    /// A message is given up after this time.
    pub deadline: Micros,
    /// The worth of one message.
    pub worth: f64,
    /// The share of the worth that is left at the deadline.
    pub late_share: f64,
    /// Messages with the same key are sent one at a time, in the order in which they were accepted.
    pub in_order: bool,
}

/// A kind of destination.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// Each endpoint is a route of its own, with its own limit and its own outages.
    pub per_endpoint: bool,
    /// The most messages that one call carries.
    pub max_bundle: u32,
}

/// How updates of the endpoint list arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListMode {
    /// The service pushes changes without a request.
    Push,
    /// Changes arrive only in response to a watch or a fetch.
    Ask,
}

/// The settings of a sender. See [`Settings::check`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The most calls in flight at once.
    pub slots: u32,
    /// The most messages held at once, sent or not.
    pub max_held: u32,
    /// The most attempts for one message.
    pub max_attempts: u32,
    /// The number of senders that share the destinations, including this one.
    pub senders: u32,
    /// The zone in which this sender runs.
    pub zone: u32,
    /// Two attempts of a message may be in flight at once.
    pub parallel_attempts: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Endpoints may be probed.
    pub may_probe: bool,
    /// Notes may be sent to other senders.
    pub may_send_notes: bool,
    /// How updates of the endpoint list arrive.
    pub list: ListMode,
    /// The classes; messages refer to them by position.
    pub classes: Vec<Class>,
    /// For each tenant, the messages per second over all senders that have full worth.
    pub tenant_allowances: Vec<f64>,
    /// The share of its worth that a message above its tenant's allowance has.
    pub over_share_worth: f64,
    /// The kinds of destination; list entries refer to them by position.
    pub kinds: Vec<Kind>,
    /// How the worth of a message falls once its target time has passed.
    pub worth_decay: WorthDecay,
    /// Clients mark the messages that they submit again.
    pub clients_mark_retries: bool,
    /// The least share of its capacity that a destination has when it returns from an outage.
    pub start_capacity: f64,
    /// The time after which a destination that returned has its full capacity again.
    pub warm_up: Micros,
    /// A destination that is warming up fails if it receives more than this multiple of its capacity
    /// for `overload_after`.
    pub overload_factor: f64,
    /// How long a destination that is warming up bears more than that (see `overload_factor`).
    pub overload_after: Micros,
    /// How long an ordering key is blocked after an attempt that may still run.
    pub key_rest: Micros,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Micros,
    /// Idle connections are closed after this time.
    pub conn_idle: Micros,
    /// The most concurrent calls on one connection.
    pub multiplex: u32,
    /// The caller reports each connection that becomes idle and each idle connection that ends. Otherwise
    /// both are inferred from outcomes.
    pub connections_reported: bool,
    /// The least time between two turns.
    pub tick: Micros,
    /// The longest retry delay that clients respect; 0 if refusals carry none.
    pub max_retry_after: Micros,
}

/// The reason why settings were rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Rejects settings with which no sender could work.
    pub fn check(&self) -> Result<(), SettingsError> {
        let is_share = |x: f64| (0.0..=1.0).contains(&x);
        let is_valid = |x: f64| x.is_finite() && x >= 0.0;
        let reject = |reason: &str| Err(SettingsError(reason.to_owned()));
        if self.slots == 0 || self.max_held == 0 || self.max_attempts == 0 || self.senders == 0 {
            return reject("slots, held messages, attempts and senders must each be at least 1");
        }
        if self.classes.is_empty() || self.kinds.is_empty() || self.multiplex == 0 {
            return reject("at least one class, kind of destination and call per connection is required");
        }
        if !is_share(self.over_share_worth)
            || !is_share(self.start_capacity)
            || !is_valid(self.overload_factor)
        {
            return reject("shares must be between 0 and 1, and multiples finite");
        }
        if self.tenant_allowances.iter().any(|&t| !is_valid(t))
            || self.kinds.iter().any(|k| k.max_bundle == 0)
        {
            return reject("tenant allowances must be finite, and a call must carry at least one message");
        }
        let durations = [
            self.warm_up,
            self.overload_after,
            self.key_rest,
            self.connect_timeout,
            self.conn_idle,
            self.tick,
        ];
        let classes = self.classes.iter().flat_map(|c| [c.dedup_window, c.target_time, c.deadline]);
        if durations.into_iter().chain(classes).any(|t| t > 1 << 50) {
            return reject("durations must be shorter than thirty years");
        }
        for class in &self.classes {
            if class.target_time == 0
                || class.deadline < class.target_time
                || !is_valid(class.worth)
                || !is_share(class.late_share)
            {
                return reject(
                    "a class needs a target time, a deadline not before it, a worth and a late share",
                );
            }
        }
        Ok(())
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The message was delivered.
    Served,
    /// The destination answered with an error; the attempt may have run.
    Failed,
    /// The destination rejected the attempt without running it.
    Full {
        /// How long the destination asked this sender to wait, if it did.
        wait: Option<Micros>,
    },
    /// There was no answer in time; the attempt may have run.
    TimedOut,
    /// No connection was established; the attempt never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The answer was unreadable or incomplete; the attempt may have run. Unlike an error, this outcome is no
    /// sign of the destination's load or health.
    Spoilt,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent: no slot was free, its time was up, or no attempt was left.
    Moot,
    /// The attempt was not sent because of a fault on this side: there was no socket, port or route for a
    /// connection, or the attempt could not be recorded. It never ran, is no sign of the destination's load
    /// or health, and does not count as an attempt.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the attempt did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full { .. } | Self::ConnectFailed | Self::Moot | Self::NotSent)
    }
}

/// The rate limit that a destination reported with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// The share of the limit that is left.
    pub left: f64,
    /// The limit in calls per second; 0 if there is none.
    pub limit: f64,
}

/// The state of an endpoint on the list. It does not reflect the endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The endpoint may be sent to.
    Live,
    /// The endpoint receives no new calls.
    Draining,
    /// The endpoint was removed.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination of the endpoint.
    pub dest: DestinationId,
    /// The zone of the endpoint.
    pub zone: u32,
    /// The kind of the destination, by position.
    pub kind: u32,
    /// The state of the endpoint.
    pub phase: Phase,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ListUpdate {
    /// Only the entries that changed.
    Changes(Vec<ListEntry>),
    /// The whole list; endpoints that are not in it are removed.
    Whole(Vec<ListEntry>),
    /// The whole list as this sender last had it before a restart.
    Restored(Vec<ListEntry>),
    /// A watch or fetch failed, or the watch broke.
    Unavailable,
}

/// A message that was accepted from a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The message's id.
    pub id: MessageId,
    /// The message's class, by position.
    pub class: u32,
    /// The message's tenant, by position, if tenants are configured.
    pub tenant: Option<u32>,
    /// The ordering key, for classes whose messages are sent in order.
    pub key: Option<Box<str>>,
    /// The message's destination.
    pub dest: DestinationId,
    /// The message is known to have been submitted before.
    pub is_retry: bool,
    /// The message must have its final status within this time.
    pub expires_in: Micros,
}

/// An event that the caller reports to the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A client submitted a message.
    Taken(Message),
    /// The sender resumes a message that an earlier process of it had accepted.
    Resumed {
        /// The message; its time to expire counts from now.
        message: Message,
        /// The number of earlier attempts, which is the number of the next one.
        attempts: u32,
        /// The earliest attempt that may have run: how long ago it was sent, and its endpoint.
        ran_ago: Option<(Micros, EndpointId)>,
    },
    /// An attempt ended. Exactly one such event follows each [`Action::Send`].
    Ended {
        /// The message.
        id: MessageId,
        /// The number of the attempt, counted from 0.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
        /// The message has its final status: nothing more is owed for it.
        is_final: bool,
        /// The rate limit that the destination reported.
        allowance: Option<Allowance>,
    },
    /// The client withdrew the message.
    Withdrawn(MessageId),
    /// A time that [`Action::WakeAt`] requested has come.
    Wake,
    /// The endpoint list was updated.
    List(ListUpdate),
    /// A note arrived from another sender.
    Note {
        /// The sender that wrote it.
        from: u32,
        /// Its encoded content.
        body: Vec<u8>,
    },
    /// A connection to this endpoint has become idle.
    Unused(EndpointId),
    /// An idle connection to this endpoint ended, other than by [`Action::CloseIdle`].
    Closed(EndpointId),
    /// A probe ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// How the probe ended.
        outcome: Outcome,
    },
    /// Operators took an endpoint out of service or returned it to service.
    Service {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether nothing is sent to the endpoint, whatever the list says, until it is returned.
        out_of_service: bool,
    },
    /// New settings apply from now on. Classes keep their positions for as long as messages use them; kinds
    /// and tenants always keep theirs.
    Settings(Box<Settings>),
    /// The fleet changed the share of a zone: the zone receives this share of its usual messages from now
    /// on, and the rest goes elsewhere. Destinations without endpoints in other zones are not affected.
    Zone {
        /// The zone.
        zone: u32,
        /// From 0, evacuated, to 1, the usual messages.
        share: f64,
        /// This sender makes one probe call to each destination in the zone, whatever the share.
        probe: bool,
        /// Destinations that are served in the zone nevertheless and are not affected.
        exempt: Vec<DestinationId>,
    },
}

/// An action that the caller performs, in the order given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Starts an attempt. The sends of one turn to one endpoint may share one call if the kind allows it.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint to call.
        endpoint: EndpointId,
        /// The time after which the caller stops waiting for an answer.
        timeout: Micros,
        /// The time within which the first byte may be written. After it the attempt is moot: a repeat would
        /// no longer be dropped, or the message has expired.
        start_within: Micros,
        /// The attempt may use only a connection that has carried an answer; on a new one it is moot.
        proven_only: bool,
    },
    /// Stops waiting for an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// The number of its attempt.
        attempt: u32,
    },
    /// Final: refuses the message; the client may safely submit it again.
    Refuse {
        /// The message.
        id: MessageId,
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Micros,
    },
    /// Final: gives the message up, without stating whether it ran.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Requests an [`Event::Wake`] at this time or soon after.
    WakeAt(Micros),
    /// Starts a watch of the endpoint list.
    Watch,
    /// Requests the whole endpoint list once.
    Fetch,
    /// Probes an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Sends a note to another sender, or to all of them.
    Note {
        /// The receiving sender; all of them if absent.
        to: Option<u32>,
        /// The encoded content.
        body: Vec<u8>,
    },
    /// Closes the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Writes a log line for operators. Recordings hold the text and a replay compares it, so a
    /// changed text makes earlier recordings differ.
    Log(String),
}

/// The reason why a held message is not sent. The decision module names it where it rejects a candidate,
/// and nowhere else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Guard {
    /// There was capacity in this turn, and messages of higher worth took it.
    Order,
    /// All slots of the sender are taken.
    Slots,
    /// The destination occupies its whole share of the slots.
    Share,
    /// Calls in flight fill the destination's window.
    Window,
    /// The destination asked to wait, and the wait is not over.
    Wait,
    /// The route is in backoff after a refusal without a wait or a failure to send on this side, or it is
    /// paced below the rate limit that was learned.
    Rest,
    /// Refusals show a limit: only a share of the incoming messages is sent.
    Pace,
    /// The destination returned from an outage and is in slow start.
    Cold,
    /// The circuit breaker is open: the next probe is not due, or another message is the probe.
    Breaker,
    /// The destination has no endpoint that may be sent to: draining, removed, or out of service.
    Drained,
    /// Every endpoint is avoided after failures.
    Endpoint,
    /// Every endpoint is avoided for this class after errors.
    ClassRest,
    /// The message is in backoff after a failed attempt.
    Again,
    /// An earlier message with its key is open, or the key is blocked.
    Key,
    /// Only an endpoint that would drop a repeat of the message may receive it.
    Repeat,
    /// The message may not be sent again: its effect forbids it, or no attempt is left.
    Spent,
    /// The fleet has evacuated the endpoint's zone or is returning to it, and other endpoints are available.
    Zone,
    /// The message must not be repeated, its connection would be new, and as many such messages as allowed
    /// are already in flight on new connections to its endpoint since that last answered.
    Unproven,
}

impl Guard {
    /// Returns whether the guard stands for capacity that other messages of the destination use, too.
    pub fn is_capacity_limit(self) -> bool {
        matches!(self, Self::Window | Self::Share | Self::Pace | Self::Cold)
    }
}

/// A guard that holds a message, and the time at which it ends if that depends on the clock alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The guard.
    pub guard: Guard,
    /// The time at which the hold ends; `None` if it ends with an event.
    pub until: Option<Micros>,
}

impl Hold {
    /// Creates a hold that ends at a known time.
    pub fn until(guard: Guard, until: Micros) -> Self {
        Self { guard, until: Some(until) }
    }

    /// Creates a hold that ends with an event.
    pub fn until_event(guard: Guard) -> Self {
        Self { guard, until: None }
    }

    /// Returns the one of two simultaneous holds that ends last. A hold that ends with an event counts as
    /// later than any time.
    pub fn later(self, other: Self) -> Self {
        let key = |h: &Self| (h.until.is_none(), h.until);
        if key(&other) > key(&self) { other } else { self }
    }
}

/// The state of a route, for diagnostics.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteView {
    /// The destination.
    pub dest: DestinationId,
    /// The endpoint, if each endpoint of the destination is a route of its own.
    pub endpoint: Option<EndpointId>,
    /// The fractional window.
    pub window: f64,
    /// The number of calls in flight.
    pub in_flight: u32,
    /// The number of calls in flight whose answers are presumed lost.
    pub lost: u32,
    /// When the window was last cut, and the outcome that cut it.
    pub last_cut: Option<(Micros, Outcome)>,
    /// Nothing is sent before this time, because the destination asked to wait or the route is in backoff.
    pub paused_until: Micros,
    /// The estimated rate limit in calls per second; `None` if no rate limit has shown.
    pub admitted_rate: Option<f64>,
    /// The hold on the whole route.
    pub hold: Option<Hold>,
}
