//! What happened in a run, by those beside the senders: what was asked, handed in, answered, called, done and
//! told. Nothing in it comes from the senders' own memory, so that the rules can be checked on it.

use notchpoint_emulator::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use tokio::time::Instant;

/// Something that a client wants delivered. It may be handed in several times, each time under a new id.
#[derive(Clone, Debug)]
pub struct Order {
    /// Class, by position.
    pub class: usize,
    /// Tenant, by position.
    pub tenant: usize,
    /// Destination, counted from 0.
    pub destination: usize,
    /// When it was asked for.
    pub asked: Micros,
    /// It was over its tenant's allowance.
    pub over_share: bool,
    /// When it was delivered first.
    pub delivered: Option<Micros>,
    /// How often it was handed in.
    pub handed: u32,
}

/// A message: one hand-in of an order.
#[derive(Clone, Debug)]
pub struct Message {
    /// What it is about.
    pub order: usize,
    /// Which sender it was handed to.
    pub sender: usize,
    /// The life of that sender's process at the time.
    pub life: u32,
    /// When the request was sent.
    pub handed: Micros,
    /// When its time is up.
    pub deadline: Micros,
    /// The first answer, and when.
    pub answered: Option<(Micros, u16)>,
    /// The client gave up waiting for an answer: what is sent under this id counts for nothing.
    pub forsaken: Option<Micros>,
    /// When an endpoint wrote that it is delivered.
    pub delivered: Option<Micros>,
    /// That crossed its caller's closing, so that the caller cannot know.
    pub crossed: bool,
    /// Notices, each with its moment, life of the sender and verdict; `true` once the platform's 204 is
    /// written.
    pub notices: Vec<Notice>,
}

/// A notice that came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// When.
    pub at: Micros,
    /// The life of the sender's process at the time.
    pub life: u32,
    /// `dead` or `bounced`.
    pub verdict: String,
    /// When the 204 was written.
    pub acknowledged: Option<Micros>,
}

/// A sender's process, from its start to its end.
#[derive(Clone, Debug)]
pub struct Life {
    /// When it was started.
    pub started: Micros,
    /// When it answered `/up` with 200 first.
    pub ready: Option<Micros>,
    /// When it was told to end, or killed.
    pub told: Option<Micros>,
    /// When it was gone.
    pub ended: Option<Micros>,
    /// It ended although nobody had told it to.
    pub crashed: Option<String>,
}

/// A change of the list.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its revision.
    pub revision: u64,
    /// When it was made.
    pub at: Micros,
    /// The endpoint: destination and number there.
    pub endpoint: (usize, usize),
    /// It may not be sent to any more.
    pub closed: bool,
    /// When it was told, to which sender's which life.
    pub told: Vec<(usize, u32, Micros)>,
}

/// A client that sent what nobody should.
#[derive(Clone, Debug)]
pub struct Bad {
    /// What it sent.
    pub kind: &'static str,
    /// To whom.
    pub sender: usize,
    /// When it connected.
    pub at: Micros,
    /// What it got, and when: a status, or 0 for a close.
    pub got: Option<(Micros, u16)>,
}

/// All of it. It grows with the run, and a run has an end.
pub struct Book {
    start: Instant,
    /// What was asked.
    pub orders: RefCell<Vec<Order>>,
    /// Each hand-in, by its id.
    pub messages: RefCell<BTreeMap<u64, Message>>,
    /// Processes, by sender.
    pub lives: RefCell<Vec<Vec<Life>>>,
    /// Changes of the list.
    pub listed: RefCell<Vec<Listed>>,
    /// From when to when discovery told nothing.
    pub outages: RefCell<Vec<(Micros, Micros)>>,
    /// Clients that misbehaved.
    pub bad: RefCell<Vec<Bad>>,
    /// What the world itself saw that must not be, such as a message that nobody handed in.
    pub odd: RefCell<Vec<(Micros, String)>>,
    /// Somebody else hands messages in as well, which is not odd then.
    pub strangers: Cell<bool>,
    log: RefCell<String>,
    lines: Cell<u64>,
}

impl Book {
    /// An empty one, whose time starts at this moment; all that comes before counts as its zero.
    pub fn new(senders: usize, start: Instant) -> Self {
        Self {
            start,
            orders: RefCell::default(),
            messages: RefCell::default(),
            lives: RefCell::new(vec![Vec::new(); senders]),
            listed: RefCell::default(),
            outages: RefCell::default(),
            bad: RefCell::default(),
            odd: RefCell::default(),
            strangers: Cell::new(false),
            log: RefCell::default(),
            lines: Cell::new(0),
        }
    }

    /// The time of the run.
    pub fn now(&self) -> Micros {
        self.time(Instant::now())
    }

    /// The moment that a time of the run is.
    pub fn at(&self, t: Micros) -> Instant {
        self.start + std::time::Duration::from_micros(t)
    }

    /// The time of the run that a moment is.
    pub fn time(&self, moment: Instant) -> Micros {
        moment.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// Writes a line to the event log.
    pub fn log(&self, line: std::fmt::Arguments<'_>) {
        let now = self.now();
        let mut log = self.log.borrow_mut();
        let _ = writeln!(log, "{}.{:06} {line}", now / 1_000_000, now % 1_000_000);
        self.lines.set(self.lines.get() + 1);
    }

    /// The event log.
    pub fn take_log(&self) -> String {
        self.log.take()
    }

    /// Something that must not be.
    pub fn odd(&self, what: String) {
        self.log(format_args!("odd {what}"));
        self.odd.borrow_mut().push((self.now(), what));
    }

    /// The number of a sender's present life.
    pub fn life(&self, sender: usize) -> u32 {
        self.lives.borrow()[sender].len() as u32
    }

    /// What was just answered crossed its caller's closing.
    pub fn crossed(&self, ids: &[u64]) {
        let mut messages = self.messages.borrow_mut();
        for id in ids {
            self.log(format_args!("crossed {id:016x}"));
            if let Some(m) = messages.get_mut(id) {
                m.crossed = true;
            }
        }
    }

    /// A message was delivered: an endpoint wrote so.
    pub fn delivered(&self, id: u64) {
        let now = self.now();
        self.log(format_args!("delivered {id:016x}"));
        let mut messages = self.messages.borrow_mut();
        let Some(m) = messages.get_mut(&id) else { return };
        m.delivered.get_or_insert(now);
        self.orders.borrow_mut()[m.order].delivered.get_or_insert(now);
    }
}
