//! Records what clients, endpoints and platform observe during a run: orders, submissions, answers,
//! deliveries, notices and list changes. Nothing in it is read from the senders' memory, so the rules can be
//! checked against it independently.

use notchpoint_emulator::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use tokio::time::Instant;

/// A client's request for one delivery. It may be submitted several times, each time as a message with a new
/// ID.
#[derive(Clone, Debug)]
pub struct Order {
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// Index of the destination.
    pub destination: usize,
    /// When the client created the order.
    pub requested_at: Micros,
    /// Whether it exceeded its tenant's allowance.
    pub over_share: bool,
    /// When it was first delivered.
    pub delivered: Option<Micros>,
    /// How often it was submitted.
    pub submissions: u32,
}

/// A message: one submission of an order.
#[derive(Clone, Debug)]
pub struct Message {
    /// Index of the order.
    pub order: usize,
    /// Index of the sender that received it.
    pub sender: usize,
    /// Number of that sender's process lifetime at the time.
    pub lifetime: u32,
    /// When the request was sent.
    pub submitted_at: Micros,
    /// Deadline of the message.
    pub deadline: Micros,
    /// Time and status of the first answer that the client received.
    pub answer: Option<(Micros, u16)>,
    /// When the client stopped waiting for an answer. Calls under this ID no longer count.
    pub abandoned_at: Option<Micros>,
    /// When an endpoint wrote a successful answer for it.
    pub delivered: Option<Micros>,
    /// Whether that answer crossed the caller's close, so that the caller cannot have read it.
    pub is_answer_crossed: bool,
    /// Notices received for it, in order.
    pub notices: Vec<Notice>,
}

/// A notice received by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// When it was received.
    pub at: Micros,
    /// Number of the sender's process lifetime at the time.
    pub lifetime: u32,
    /// `dead` or `bounced`.
    pub verdict: String,
    /// When the 204 was written.
    pub acknowledged: Option<Micros>,
}

/// The lifetime of a sender's process, from its start to its end.
#[derive(Clone, Debug)]
pub struct Lifetime {
    /// When it was started.
    pub started: Micros,
    /// When it first answered `/up` with 200.
    pub ready: Option<Micros>,
    /// When it was asked to stop, or was killed.
    pub stop_requested: Option<Micros>,
    /// When it had ended.
    pub ended: Option<Micros>,
    /// The reason why it ended without having been asked to.
    pub crashed: Option<String>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListChange {
    /// Revision of the list after the change.
    pub revision: u64,
    /// When the change was made.
    pub at: Micros,
    /// The endpoint: index of the destination and number within it.
    pub endpoint: (usize, usize),
    /// Whether calls to the endpoint are no longer permitted.
    pub closed: bool,
    /// When each sender was notified: sender, lifetime number and time.
    pub notified: Vec<(usize, u32, Micros)>,
}

/// A malformed request sent by a client.
#[derive(Clone, Debug)]
pub struct BadRequest {
    /// Kind of malformed request.
    pub kind: &'static str,
    /// Index of the sender that received it.
    pub sender: usize,
    /// When the client connected.
    pub at: Micros,
    /// Time and status of the answer; status 0 stands for a closed connection.
    pub response: Option<(Micros, u16)>,
}

/// All observations of a run. The memory it takes grows with the length of the run.
pub struct Observations {
    start: Instant,
    /// All orders.
    pub orders: RefCell<Vec<Order>>,
    /// All messages by ID.
    pub messages: RefCell<BTreeMap<u64, Message>>,
    /// Process lifetimes by sender.
    pub lifetimes: RefCell<Vec<Vec<Lifetime>>>,
    /// Changes of the endpoint list.
    pub list_changes: RefCell<Vec<ListChange>>,
    /// Intervals in which discovery sent no changes.
    pub outages: RefCell<Vec<(Micros, Micros)>>,
    /// Malformed requests and their answers.
    pub bad_requests: RefCell<Vec<BadRequest>>,
    /// Violations that the emulated parties detect, such as a call for a message that was never submitted.
    pub anomalies: RefCell<Vec<(Micros, String)>>,
    /// Whether messages may also be submitted from outside the run; calls for them are no anomalies then.
    pub allows_unknown_messages: Cell<bool>,
    log: RefCell<String>,
    lines: Cell<u64>,
}

impl Observations {
    /// Creates empty observations. The run's time starts at `start`; earlier instants count as zero.
    pub fn new(senders: usize, start: Instant) -> Self {
        Self {
            start,
            orders: RefCell::default(),
            messages: RefCell::default(),
            lifetimes: RefCell::new(vec![Vec::new(); senders]),
            list_changes: RefCell::default(),
            outages: RefCell::default(),
            bad_requests: RefCell::default(),
            anomalies: RefCell::default(),
            allows_unknown_messages: Cell::new(false),
            log: RefCell::default(),
            lines: Cell::new(0),
        }
    }

    /// Returns the current time of the run.
    pub fn now(&self) -> Micros {
        self.time_of(Instant::now())
    }

    /// Converts a time of the run to an instant.
    pub fn instant_at(&self, t: Micros) -> Instant {
        self.start + std::time::Duration::from_micros(t)
    }

    /// Converts an instant to a time of the run.
    pub fn time_of(&self, instant: Instant) -> Micros {
        instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// Writes a line to the event log.
    pub fn log(&self, line: std::fmt::Arguments<'_>) {
        let now = self.now();
        let mut log = self.log.borrow_mut();
        let _ = writeln!(log, "{}.{:06} {line}", now / 1_000_000, now % 1_000_000);
        self.lines.set(self.lines.get() + 1);
    }

    /// Takes the event log.
    pub fn take_event_log(&self) -> String {
        self.log.take()
    }

    /// Records a violation detected by an emulated party.
    pub fn record_anomaly(&self, details: String) {
        self.log(format_args!("odd {details}"));
        self.anomalies.borrow_mut().push((self.now(), details));
    }

    /// Returns the number of a sender's current process lifetime.
    pub fn lifetime(&self, sender: usize) -> u32 {
        self.lifetimes.borrow()[sender].len() as u32
    }

    /// Records that the last answer for these messages crossed the caller's close.
    pub fn record_crossed(&self, ids: &[u64]) {
        let mut messages = self.messages.borrow_mut();
        for id in ids {
            self.log(format_args!("crossed {id:016x}"));
            if let Some(message) = messages.get_mut(id) {
                message.is_answer_crossed = true;
            }
        }
    }

    /// Records that an endpoint wrote a successful answer for a message.
    pub fn record_delivered(&self, id: u64) {
        let now = self.now();
        self.log(format_args!("delivered {id:016x}"));
        let mut messages = self.messages.borrow_mut();
        let Some(message) = messages.get_mut(&id) else { return };
        message.delivered.get_or_insert(now);
        self.orders.borrow_mut()[message.order].delivered.get_or_insert(now);
    }
}
