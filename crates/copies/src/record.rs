//! A message as a copy of it is kept.

use crate::names::Micros;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The number of an attempt that is none: an owner's word that it gives the message up and nobody is to try
/// it again.
pub const CLOSED: u32 = u32::MAX;

/// An attempt whose first byte may have been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tried {
    /// Its number, from 0, over all owners.
    pub number: u32,
    /// Where it went.
    pub endpoint: u64,
    /// When, by the wall clock of who keeps this.
    pub at: Micros,
    /// Its outcome proved that it never ran.
    pub never_ran: bool,
}

/// An attempt that there may have been.
pub(crate) const DOUBT: Tried = Tried { number: CLOSED, endpoint: 0, at: 0, never_ran: false };

/// How a message that is not delivered ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may have run, or will not.
    Dead,
    /// Handing it in again is harmless, after so many milliseconds if not 0.
    Bounced(u64),
}

/// All that another sender needs to go on with a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The class's tag.
    pub class: String,
    /// The tenant's name.
    pub tenant: String,
    /// Its destination.
    pub dest: u64,
    /// Until when it may be delivered, by the wall clock of who keeps this.
    pub deadline: Micros,
    /// Its bytes.
    pub body: Bytes,
    /// It must not be repeated: each of its attempts needs consent.
    pub careful: bool,
    /// Its client may have heard 202. Of one that has not the client hands the message in again under another
    /// name, and what must not be repeated is then not sent under this one.
    pub sure: bool,
    /// Attempts that are known of.
    pub tried: Vec<Tried>,
    /// What was decided, and may not have been told.
    pub verdict: Option<Verdict>,
    /// By which the destination knows a repeat; empty where its client gave none. It stands last: rows of
    /// builds before it end here.
    pub idempotency_key: String,
}

impl Record {
    /// As it travels: clocks differ from sender to sender, so times are told as what is left, or how long
    /// ago.
    pub(crate) fn packed(&self, unix: Micros) -> Self {
        let mut record = self.clone();
        record.deadline = self.deadline.saturating_sub(unix);
        record.tried.iter_mut().for_each(|t| t.at = unix.saturating_sub(t.at));
        record
    }

    /// As it is kept here.
    pub(crate) fn unpacked(mut self, unix: Micros) -> Self {
        self.deadline = unix.saturating_add(self.deadline);
        self.tried.iter_mut().for_each(|t| t.at = unix.saturating_sub(t.at));
        self
    }

    /// What it takes of the room for copies: its strings, its row, and the maps' share.
    pub(crate) fn weight(&self) -> usize {
        const ROW: usize = 256;
        self.body.len() + self.class.len() + self.tenant.len() + self.idempotency_key.len() + ROW
    }

    /// Enters an attempt; of two accounts of one, that it never ran counts.
    pub(crate) fn enter(&mut self, tried: Tried) {
        match self.tried.iter_mut().find(|t| t.number == tried.number) {
            Some(known) => known.never_ran |= tried.never_ran,
            None => self.tried.push(tried),
        }
    }
}
