//! A message as it is kept: what is known of it, and the form of its records in the store.

use bytes::Bytes;
use notchpoint_policy::{EndpointId, MessageId};
use notchpoint_store::{Batch, Table};
use std::collections::BTreeMap;

/// Keys are a message's id and what the record is.
pub const MESSAGES: Table = Table(1);
/// Keys are the tags of classes, see `classes.rs`.
pub const CLASSES: Table = Table(3);
/// Keys and rows are those of `notchpoint_copies`.
pub const COPIES: Table = Table(4);
/// How a message that is not delivered ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Dead,
    /// Handing it in again is harmless, after so many milliseconds if not 0.
    Bounced(u64),
}

/// An attempt whose first byte may have been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub number: u32,
    pub endpoint: EndpointId,
    /// Unix time in microseconds.
    pub started_at: u64,
    /// An outcome proved that it never ran.
    pub never_ran: bool,
}

/// A message from being taken on to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenMessage {
    /// By its tag.
    pub class: String,
    pub tenant: String,
    pub dest: u64,
    /// Unix time in microseconds.
    pub deadline: u64,
    pub body: Bytes,
    /// By which its destination knows a repeat; empty where its client gave none.
    pub idempotency_key: String,
    pub attempts: Vec<Attempt>,
    pub verdict: Option<Verdict>,
    /// Its client may have heard 202. Where copies are kept, that stands in the store before it can.
    pub is_confirmed: bool,
}

impl OpenMessage {
    pub fn new(class: &str, tenant: &str, dest: u64, deadline: u64, body: Bytes) -> Self {
        let (class, tenant) = (class.to_owned(), tenant.to_owned());
        let (idempotency_key, attempts) = Default::default();
        let (verdict, is_confirmed) = (None, true);
        Self { class, tenant, dest, deadline, body, idempotency_key, attempts, verdict, is_confirmed }
    }

    /// Attempts made so far: the next one's number. One that is only presumed counts as one.
    pub fn attempts_made(&self) -> u32 {
        let real = self.attempts.iter().filter(|a| a.number < DOUBT).map(|a| a.number + 1).max();
        real.unwrap_or(0) + u32::from(self.attempts.iter().any(|a| a.number >= DOUBT))
    }
}

pub const TAKEN: u8 = b'T';
pub const TRIED: u8 = b'A';
pub const JUDGED: u8 = b'V';
pub const UNSURE: u8 = b'U';
pub const KEYED: u8 = b'K';

pub fn key(id: MessageId, what: u8, number: Option<u32>) -> Vec<u8> {
    let mut key = id.0.to_be_bytes().to_vec();
    key.push(what);
    key.extend(number.into_iter().flat_map(u32::to_be_bytes));
    key
}

/// The id in a key.
pub fn id_of(key: &[u8]) -> Option<MessageId> {
    key.first_chunk().map(|b| MessageId(u64::from_be_bytes(*b)))
}

/// Writes a message with all that is known of it into a batch.
pub fn write(batch: &mut Batch, id: MessageId, m: &OpenMessage) {
    batch.put(MESSAGES, &key(id, TAKEN, None), &taken(m));
    for a in &m.attempts {
        batch.put(MESSAGES, &key(id, TRIED, Some(a.number)), &tried(a));
    }
    if !m.idempotency_key.is_empty() {
        batch.put(MESSAGES, &key(id, KEYED, None), m.idempotency_key.as_bytes());
    }
    if !m.is_confirmed {
        batch.put(MESSAGES, &key(id, UNSURE, None), &[]);
    }
    if let Some(v) = m.verdict {
        batch.put(MESSAGES, &key(id, JUDGED, None), &judged(v));
    }
}

/// An attempt that may have run, for a message of which it is not known whether it did.
pub fn doubt(batch: &mut Batch, id: MessageId) {
    let unknown = Attempt { number: DOUBT, endpoint: EndpointId(0), started_at: 0, never_ran: false };
    batch.put(MESSAGES, &key(id, TRIED, Some(DOUBT)), &tried(&unknown));
}

/// Far above any real attempt's number.
const DOUBT: u32 = 1 << 16;

pub fn taken(m: &OpenMessage) -> Vec<u8> {
    let mut record = m.dest.to_le_bytes().to_vec();
    record.extend(m.deadline.to_le_bytes());
    for name in [&m.class, &m.tenant] {
        record.extend((name.len() as u16).to_le_bytes());
        record.extend(name.as_bytes());
    }
    record.extend(&m.body);
    record
}

pub fn tried(a: &Attempt) -> Vec<u8> {
    let mut record = a.endpoint.0.to_le_bytes().to_vec();
    record.extend(a.started_at.to_le_bytes());
    record.push(a.never_ran.into());
    record
}

pub fn judged(verdict: Verdict) -> Vec<u8> {
    match verdict {
        Verdict::Dead => Vec::new(),
        Verdict::Bounced(wait) => wait.to_le_bytes().to_vec(),
    }
}

pub struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    pub fn bytes<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*head)
    }

    pub fn number(&mut self) -> Option<u64> {
        self.bytes().map(u64::from_le_bytes)
    }

    pub fn small(&mut self) -> Option<u32> {
        self.bytes().map(u32::from_le_bytes)
    }

    fn name(&mut self) -> Option<String> {
        let length = u16::from_le_bytes(self.bytes()?) as usize;
        let (name, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        String::from_utf8(name.to_vec()).ok()
    }

    /// A message as it was taken on: the rest of the bytes.
    pub fn taken(&mut self) -> Option<OpenMessage> {
        let (dest, deadline) = (self.number()?, self.number()?);
        let (class, tenant) = (self.name()?, self.name()?);
        let body = Bytes::copy_from_slice(self.0);
        Some(OpenMessage { body, ..OpenMessage::new(&class, &tenant, dest, deadline, Bytes::new()) })
    }
}

/// Enters a record in force; nothing where it cannot be read. They come in any order.
pub fn read(key: &[u8], value: &[u8], open: &mut BTreeMap<MessageId, OpenMessage>) -> Option<()> {
    let (id, mut what) = (id_of(key)?, Fields(&key[8..]));
    let mut f = Fields(value);
    let m = open.entry(id).or_insert_with(|| OpenMessage::new("", "", 0, 0, Bytes::new()));
    match what.bytes()? {
        [TAKEN] => {
            let OpenMessage { class, tenant, dest, deadline, body, .. } = f.taken()?;
            *m = OpenMessage { class, tenant, dest, deadline, body, ..m.clone() };
        }
        [TRIED] => {
            let number = what.bytes().map(u32::from_be_bytes)?;
            let (endpoint, at) = (EndpointId(f.number()?), f.number()?);
            m.attempts.push(Attempt { number, endpoint, started_at: at, never_ran: f.bytes()? != [0] });
        }
        [KEYED] => m.idempotency_key = String::from_utf8(f.0.to_vec()).ok()?,
        [UNSURE] => m.is_confirmed = false,
        [JUDGED] => {
            m.verdict = Some(if f.0.is_empty() { Verdict::Dead } else { Verdict::Bounced(f.number()?) });
        }
        _ => return None,
    }
    Some(())
}
