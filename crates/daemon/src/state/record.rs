//! A message as the journal holds it, and the format of its records in the store.

use bytes::Bytes;
use notchpoint_policy::{EndpointId, MessageId};
use notchpoint_store::{Batch, Table};
use std::collections::BTreeMap;
use std::fmt;

/// Holds messages. A key is a message's id, followed by the kind of the record.
pub const MESSAGES: Table = Table(1);
/// Holds definitions of classes. Keys are the tags of classes, see `classes.rs`.
pub const CLASSES: Table = Table(3);
/// Holds copies of other senders' messages. `notchpoint_copies` defines keys and values.
pub const COPIES: Table = Table(4);
/// Holds the request ids of messages whose id is another one. A key is a message's id.
pub const REQUEST_IDS: Table = Table(6);

/// The id that a client gave its message, and by which clients, endpoints, the platform and other senders
/// know it. Within this process a message has a [`MessageId`]: the same number, unless another message had
/// that when this one was taken over from its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The final status of a message that is not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The message is given up. It may have run, so a resend is not known to be harmless.
    Dead,
    /// A resend is harmless. The client may resend after this many milliseconds, if not 0.
    Bounced(u64),
}

/// An attempt whose first byte may have been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub number: u32,
    pub endpoint: EndpointId,
    /// Unix time in microseconds, on the journal's timeline.
    pub started_at: u64,
    /// The outcome proved that the attempt never ran.
    pub never_ran: bool,
}

/// A message from its acceptance to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenMessage {
    /// The tag of the class.
    pub class: String,
    pub tenant: String,
    pub dest: u64,
    /// Unix time in microseconds, on the journal's timeline.
    pub deadline: u64,
    pub body: Bytes,
    /// Lets the destination recognize a repeat. Empty if the client sent none.
    pub idempotency_key: String,
    pub attempts: Vec<Attempt>,
    pub verdict: Option<Verdict>,
    /// Whether the client may have received 202. If copies are kept, the store has this before 202 is sent.
    pub is_confirmed: bool,
    /// The id that its client gave it, if the message has another one here.
    pub request_id: Option<RequestId>,
}

impl OpenMessage {
    /// Returns a confirmed message without attempts.
    pub fn new(class: &str, tenant: &str, dest: u64, deadline: u64, body: Bytes) -> Self {
        let (class, tenant) = (class.to_owned(), tenant.to_owned());
        let (idempotency_key, attempts) = Default::default();
        let (verdict, is_confirmed, request_id) = (None, true, None);
        Self {
            class,
            tenant,
            dest,
            deadline,
            body,
            idempotency_key,
            attempts,
            verdict,
            is_confirmed,
            request_id,
        }
    }

    /// Returns the id that its client gave the message, which has the id `id` here.
    pub fn request_id(&self, id: MessageId) -> RequestId {
        self.request_id.unwrap_or(RequestId(id.0))
    }

    /// Whether both records are of the same request. A record's content changes after its acceptance only by
    /// attempts and a verdict.
    pub fn is_same_request(&self, other: &Self) -> bool {
        let content = |m: &Self| (m.class.clone(), m.tenant.clone(), m.dest, m.deadline);
        content(self) == content(other)
            && self.idempotency_key == other.idempotency_key
            && self.body == other.body
    }

    /// Returns the number of attempts made so far, which is the next attempt's number. A presumed attempt
    /// counts as one.
    pub fn attempts_made(&self) -> u32 {
        let known = self.attempts.iter().filter(|a| a.number < PRESUMED_ATTEMPT).map(|a| a.number + 1).max();
        known.unwrap_or(0) + u32::from(self.attempts.iter().any(|a| a.number >= PRESUMED_ATTEMPT))
    }
}

// The kinds of records of a message.
/// The message itself, see [`encode_message`].
pub const MESSAGE: u8 = b'T';
/// An attempt, see [`encode_attempt`].
pub const ATTEMPT: u8 = b'A';
/// The verdict, see [`encode_verdict`].
pub const VERDICT: u8 = b'V';
/// A record without content, which exists while the message is not confirmed.
pub const UNCONFIRMED: u8 = b'U';
/// The idempotency key as text, if the client sent one.
pub const IDEMPOTENCY_KEY: u8 = b'K';

/// Returns the key of a message's record. `number` is the attempt's number, for records of attempts.
pub fn key(id: MessageId, kind: u8, number: Option<u32>) -> Vec<u8> {
    let mut key = id.0.to_be_bytes().to_vec();
    key.push(kind);
    key.extend(number.into_iter().flat_map(u32::to_be_bytes));
    key
}

/// Returns the message id in a key.
pub fn message_id(key: &[u8]) -> Option<MessageId> {
    key.first_chunk().map(|b| MessageId(u64::from_be_bytes(*b)))
}

/// Adds all records of a message to a batch.
pub fn write(batch: &mut Batch, id: MessageId, message: &OpenMessage) {
    batch.put(MESSAGES, &key(id, MESSAGE, None), &encode_message(message));
    for attempt in &message.attempts {
        batch.put(MESSAGES, &key(id, ATTEMPT, Some(attempt.number)), &encode_attempt(attempt));
    }
    if !message.idempotency_key.is_empty() {
        batch.put(MESSAGES, &key(id, IDEMPOTENCY_KEY, None), message.idempotency_key.as_bytes());
    }
    if !message.is_confirmed {
        batch.put(MESSAGES, &key(id, UNCONFIRMED, None), &[]);
    }
    if let Some(verdict) = message.verdict {
        batch.put(MESSAGES, &key(id, VERDICT, None), &encode_verdict(verdict));
    }
    if let Some(request_id) = message.request_id {
        batch.put(REQUEST_IDS, &id.0.to_be_bytes(), &request_id.0.to_be_bytes());
    }
}

/// Adds the end of a message to a batch: all its records are deleted.
pub fn delete(batch: &mut Batch, id: MessageId, message: &OpenMessage) {
    batch.delete_prefix(MESSAGES, &id.0.to_be_bytes());
    if message.request_id.is_some() {
        batch.delete(REQUEST_IDS, &id.0.to_be_bytes());
    }
}

/// Adds a stored request id to its message. Returns `None` if it cannot be read.
pub fn load_request_id(key: &[u8], value: &[u8], open: &mut BTreeMap<MessageId, OpenMessage>) -> Option<()> {
    let request_id = RequestId(value.first_chunk().map(|bytes| u64::from_be_bytes(*bytes))?);
    let message =
        open.entry(message_id(key)?).or_insert_with(|| OpenMessage::new("", "", 0, 0, Bytes::new()));
    message.request_id = Some(request_id);
    Some(())
}

/// Adds an attempt that may have run to a batch, for a message whose records may be incomplete.
pub fn presume_attempt(batch: &mut Batch, id: MessageId) {
    let attempt =
        Attempt { number: PRESUMED_ATTEMPT, endpoint: EndpointId(0), started_at: 0, never_ran: false };
    batch.put(MESSAGES, &key(id, ATTEMPT, Some(PRESUMED_ATTEMPT)), &encode_attempt(&attempt));
}

/// The number of a presumed attempt. It is far above any real attempt's number.
const PRESUMED_ATTEMPT: u32 = 1 << 16;

/// Encodes a message without its attempts, idempotency key and verdict, which have records of their own.
pub fn encode_message(message: &OpenMessage) -> Vec<u8> {
    let mut record = message.dest.to_le_bytes().to_vec();
    record.extend(message.deadline.to_le_bytes());
    for name in [&message.class, &message.tenant] {
        record.extend((name.len() as u16).to_le_bytes());
        record.extend(name.as_bytes());
    }
    record.extend(&message.body);
    record
}

/// Encodes an attempt. Its number is part of the key.
pub fn encode_attempt(attempt: &Attempt) -> Vec<u8> {
    let mut record = attempt.endpoint.0.to_le_bytes().to_vec();
    record.extend(attempt.started_at.to_le_bytes());
    record.push(attempt.never_ran.into());
    record
}

/// Encodes a verdict.
pub fn encode_verdict(verdict: Verdict) -> Vec<u8> {
    match verdict {
        Verdict::Dead => Vec::new(),
        Verdict::Bounced(wait) => wait.to_le_bytes().to_vec(),
    }
}

/// Decodes the fields of a record in their order. Methods return `None` if too few bytes are left.
pub struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    /// Returns the next `N` bytes.
    pub fn read_bytes<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*head)
    }

    /// Returns the next little-endian 64-bit number.
    pub fn read_u64(&mut self) -> Option<u64> {
        self.read_bytes().map(u64::from_le_bytes)
    }

    /// Returns the next little-endian 32-bit number.
    pub fn read_u32(&mut self) -> Option<u32> {
        self.read_bytes().map(u32::from_le_bytes)
    }

    /// Returns the next text, which its length precedes.
    fn read_text(&mut self) -> Option<String> {
        let length = u16::from_le_bytes(self.read_bytes()?) as usize;
        let (text, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        String::from_utf8(text.to_vec()).ok()
    }

    /// Decodes a message without its attempts, idempotency key and verdict. The rest of the bytes is its
    /// body.
    pub fn read_message(&mut self) -> Option<OpenMessage> {
        let (dest, deadline) = (self.read_u64()?, self.read_u64()?);
        let (class, tenant) = (self.read_text()?, self.read_text()?);
        let body = Bytes::copy_from_slice(self.0);
        Some(OpenMessage { body, ..OpenMessage::new(&class, &tenant, dest, deadline, Bytes::new()) })
    }
}

/// Adds a stored record to the open messages. Returns `None` if it cannot be read. Records may come in any
/// order.
pub fn load_record(key: &[u8], value: &[u8], open: &mut BTreeMap<MessageId, OpenMessage>) -> Option<()> {
    let (id, mut kind) = (message_id(key)?, Fields(&key[8..]));
    let mut fields = Fields(value);
    let message = open.entry(id).or_insert_with(|| OpenMessage::new("", "", 0, 0, Bytes::new()));
    match kind.read_bytes()? {
        [MESSAGE] => {
            let OpenMessage { class, tenant, dest, deadline, body, .. } = fields.read_message()?;
            *message = OpenMessage { class, tenant, dest, deadline, body, ..message.clone() };
        }
        [ATTEMPT] => {
            let number = kind.read_bytes().map(u32::from_be_bytes)?;
            let (endpoint, started_at) = (EndpointId(fields.read_u64()?), fields.read_u64()?);
            message.attempts.push(Attempt {
                number,
                endpoint,
                started_at,
                never_ran: fields.read_bytes()? != [0],
            });
        }
        [IDEMPOTENCY_KEY] => message.idempotency_key = String::from_utf8(fields.0.to_vec()).ok()?,
        [UNCONFIRMED] => message.is_confirmed = false,
        [VERDICT] => {
            message.verdict =
                Some(if fields.0.is_empty() { Verdict::Dead } else { Verdict::Bounced(fields.read_u64()?) });
        }
        _ => return None,
    }
    Some(())
}
