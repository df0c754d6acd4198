//! Records each turn of a sender.

use crate::format::{self, Header, MAGIC, Record, SegmentStart};
use crate::ring::{LimitTooSmall, Ring};
use crate::store::SegmentStore;
use notchpoint_policy::{Action, EndpointId, Event, FINGERPRINT, Micros, STATE_FORM, Sender, Settings};
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Write};

/// The Unix clock was stepped if it moved by more than this relative to the module's clock, in microseconds.
/// Smaller differences are drift, or the time between reading the two clocks.
const MIN_CLOCK_STEP_US: u64 = 20_000;

/// The options of a recorder.
pub struct Options {
    /// The maximum size of the recording in bytes.
    pub limit_bytes: u64,
    /// The name of the sender.
    pub sender: String,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// The decision module's settings.
    pub settings: Settings,
    /// The decision module's random seed.
    pub seed: u64,
}

/// Why recording stopped. The sender continues without it.
#[derive(Debug)]
pub enum Error {
    /// The segment store cannot be written.
    Io(io::Error),
    /// The module's state does not fit into the limit.
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

/// Records the turns of one decision module.
pub struct Recorder {
    ring: Ring,
    store: Box<dyn SegmentStore>,
    header: Header,
    endpoint_names: BTreeMap<EndpointId, String>,
    turns: u64,
    /// Unix time minus the module's clock in microseconds, as last recorded.
    unix_offset: i128,
    buffer: Vec<u8>,
}

impl Recorder {
    /// Starts a recording of a module that has had no turn yet. `existing` are the segments in the store:
    /// their numbers and lengths, oldest first.
    pub fn start(
        options: Options,
        store: Box<dyn SegmentStore>,
        existing: &[(u64, u64)],
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
        let ring = Ring::new(options.limit_bytes, existing);
        let unix_offset = i128::from(unix) - i128::from(at);
        let (endpoint_names, buffer) = Default::default();
        let mut recorder = Self { ring, store, header, endpoint_names, turns: 0, unix_offset, buffer };
        recorder.begin_segment()?;
        Ok(recorder)
    }

    /// Begins a new segment with the current header.
    fn begin_segment(&mut self) -> Result<(), Error> {
        let mut bytes = MAGIC.to_vec();
        format::write_record(&Record::Header(Box::new(self.header.clone())), &mut bytes)?;
        let plan = self.ring.begin(bytes.len() as u64)?;
        for segment in plan.remove {
            self.store.remove(segment)?;
        }
        Ok(self.store.begin(plan.segment, &bytes)?)
    }

    /// Records the name of an endpoint, so that an explanation can show names instead of ids.
    pub fn record_name(&mut self, endpoint: EndpointId, name: &str) -> Result<(), Error> {
        if self.endpoint_names.get(&endpoint).is_some_and(|n| n == name) {
            return Ok(());
        }
        self.endpoint_names.insert(endpoint, name.to_owned());
        self.buffer.clear();
        format::write_record(&Record::Name(endpoint, name.to_owned()), &mut self.buffer)?;
        self.flush()
    }

    /// Drops the names of endpoints that `is_listed` does not accept. It is called after the endpoint list
    /// has changed.
    pub fn retain_names(&mut self, is_listed: impl Fn(EndpointId) -> bool) {
        self.endpoint_names.retain(|id, _| is_listed(*id));
    }

    /// Records a turn. `after` is the module after the turn. The events contain no bodies of messages, so
    /// neither does the recording.
    pub fn record_turn(
        &mut self,
        at: Micros,
        unix: u64,
        events: &[Event],
        actions: &[Action],
        after: &Sender,
    ) -> Result<(), Error> {
        self.buffer.clear();
        let unix_offset = i128::from(unix) - i128::from(at);
        if unix_offset.abs_diff(self.unix_offset) > u128::from(MIN_CLOCK_STEP_US) {
            self.unix_offset = unix_offset;
            format::write_record(&Record::Clock { at, unix }, &mut self.buffer)?;
        }
        format::write_turn(self.turns, at, events, actions, &mut self.buffer)?;
        self.turns += 1;
        self.flush()?;
        if self.ring.is_full(self.buffer.len() as u64) {
            self.header.segment += 1;
            (self.header.first_turn, self.header.at, self.header.unix) = (self.turns, at, unix);
            self.header.endpoints = self.endpoint_names.iter().map(|(id, n)| (*id, n.clone())).collect();
            self.header.start = SegmentStart::State(serialize_state(after));
            self.begin_segment()?;
        }
        Ok(())
    }

    fn flush(&mut self) -> Result<(), Error> {
        let plan = self.ring.add(self.buffer.len() as u64)?;
        for segment in plan.remove {
            self.store.remove(segment)?;
        }
        Ok(self.store.append(&self.buffer)?)
    }

    /// Writes the whole recording to `to`. Returns its length in bytes.
    pub fn dump(&self, to: &mut impl Write) -> io::Result<u64> {
        let mut length = 0;
        for segment in self.ring.numbers() {
            let bytes = self.store.read(segment)?;
            to.write_all(&bytes)?;
            length += bytes.len() as u64;
        }
        Ok(length)
    }

    /// Returns the size of the recording in bytes.
    pub fn size(&self) -> u64 {
        self.ring.size()
    }
}

/// Serializes the state of a module.
pub(crate) fn serialize_state(sender: &Sender) -> Vec<u8> {
    // Serializing plain data into memory cannot fail. If it did, replay would reject the empty state.
    postcard::to_allocvec(sender).unwrap_or_default()
}
