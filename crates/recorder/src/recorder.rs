//! What the sender calls once a turn.

use crate::format::{self, Header, MAGIC, Record, SegmentStart};
use crate::ring::{LimitTooSmall, Ring};
use crate::store::SegmentStore;
use notchpoint_policy::{Action, EndpointId, Event, FINGERPRINT, Micros, STATE_FORM, Sender, Settings};
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Write};

/// Unix time that moves against the module's clock by more than this has stepped. Less is drift, and noise
/// between two looks at two clocks.
const STEP: u64 = 20_000;

/// What a recorder is told at its start.
pub struct Options {
    /// Bytes that the recording may take.
    pub limit_bytes: u64,
    /// The sender's name.
    pub sender: String,
    /// The names of classes, by position.
    pub classes: Vec<String>,
    /// What the module was told.
    pub settings: Settings,
    /// Its seed.
    pub seed: u64,
}

/// Why recording ended. The sender goes on without it.
#[derive(Debug)]
pub enum Error {
    /// The place cannot be written.
    Io(io::Error),
    /// The module's state does not fit the limit.
    LimitTooSmall(LimitTooSmall),
    /// A record is too long.
    TooLong(format::TooLong),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => e.fmt(f),
            Self::LimitTooSmall(n) => {
                write!(f, "the module's state needs a limit of {:.1} MB", n.needed as f64 / 1e6)
            }
            Self::TooLong(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

impl From<LimitTooSmall> for Error {
    fn from(e: LimitTooSmall) -> Self {
        Self::LimitTooSmall(e)
    }
}

impl From<format::TooLong> for Error {
    fn from(e: format::TooLong) -> Self {
        Self::TooLong(e)
    }
}

/// Records the turns of one module.
pub struct Recorder {
    ring: Ring,
    store: Box<dyn SegmentStore>,
    header: Header,
    names: BTreeMap<EndpointId, String>,
    turns: u64,
    /// Unix time less the module's clock, as it was told last.
    offset: i128,
    buffer: Vec<u8>,
}

impl Recorder {
    /// Begins a recording of a module that has had no turn yet. `there` are the segments in the store.
    pub fn start(
        options: Options,
        store: Box<dyn SegmentStore>,
        there: &[(u64, u64)],
        at: Micros,
        unix: u64,
    ) -> Result<Self, Error> {
        let header = Header {
            sender: options.sender,
            run: unix,
            segment: 0,
            first_turn: 0,
            fingerprint: FINGERPRINT,
            state_form: STATE_FORM,
            at,
            unix,
            classes: options.classes,
            endpoints: Vec::new(),
            start: SegmentStart::Fresh { settings: options.settings, seed: options.seed },
        };
        let ring = Ring::new(options.limit_bytes, there);
        let offset = i128::from(unix) - i128::from(at);
        let (names, buffer) = Default::default();
        let mut recorder = Self { ring, store, header, names, turns: 0, offset, buffer };
        recorder.segment()?;
        Ok(recorder)
    }

    /// Writes the header that is prepared as a new segment.
    fn segment(&mut self) -> Result<(), Error> {
        let mut bytes = MAGIC.to_vec();
        format::write_record(&Record::Header(Box::new(self.header.clone())), &mut bytes)?;
        let plan = self.ring.begin(bytes.len() as u64)?;
        for old in plan.remove {
            self.store.remove(old)?;
        }
        Ok(self.store.begin(plan.segment, &bytes)?)
    }

    /// An endpoint's name, so that people are told names and not numbers.
    pub fn record_name(&mut self, endpoint: EndpointId, name: &str) -> Result<(), Error> {
        if self.names.get(&endpoint).is_some_and(|n| n == name) {
            return Ok(());
        }
        self.names.insert(endpoint, name.to_owned());
        self.buffer.clear();
        format::write_record(&Record::Name(endpoint, name.to_owned()), &mut self.buffer)?;
        self.flush()
    }

    /// Forgets names that `listed` does not have: it is called when the list has changed.
    pub fn retain_names(&mut self, listed: impl Fn(EndpointId) -> bool) {
        self.names.retain(|id, _| listed(*id));
    }

    /// Records a turn; `after` is the module behind it. Of messages it holds what the module was told, so no
    /// bodies.
    pub fn record_turn(
        &mut self,
        at: Micros,
        unix: u64,
        events: &[Event],
        actions: &[Action],
        after: &Sender,
    ) -> Result<(), Error> {
        self.buffer.clear();
        let offset = i128::from(unix) - i128::from(at);
        if offset.abs_diff(self.offset) > u128::from(STEP) {
            self.offset = offset;
            format::write_record(&Record::Clock { at, unix }, &mut self.buffer)?;
        }
        format::write_turn(self.turns, at, events, actions, &mut self.buffer)?;
        self.turns += 1;
        self.flush()?;
        if self.ring.is_full(self.buffer.len() as u64) {
            self.header.segment += 1;
            (self.header.first_turn, self.header.at, self.header.unix) = (self.turns, at, unix);
            self.header.endpoints = self.names.iter().map(|(id, n)| (*id, n.clone())).collect();
            self.header.start = SegmentStart::State(state(after));
            self.segment()?;
        }
        Ok(())
    }

    fn flush(&mut self) -> Result<(), Error> {
        let plan = self.ring.add(self.buffer.len() as u64)?;
        for old in plan.remove {
            self.store.remove(old)?;
        }
        Ok(self.store.append(&self.buffer)?)
    }

    /// Writes all that is recorded as one file; gives its length.
    pub fn dump(&self, to: &mut impl Write) -> io::Result<u64> {
        let mut length = 0;
        for segment in self.ring.numbers() {
            let bytes = self.store.read(segment)?;
            to.write_all(&bytes)?;
            length += bytes.len() as u64;
        }
        Ok(length)
    }

    /// Bytes that the recording takes.
    pub fn size(&self) -> u64 {
        self.ring.size()
    }
}

/// A module's state as bytes.
pub(crate) fn state(sender: &Sender) -> Vec<u8> {
    // Writing plain data into memory cannot fail; empty bytes are turned down where they are read.
    postcard::to_allocvec(sender).unwrap_or_default()
}
