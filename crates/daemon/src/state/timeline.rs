//! The time by which records are dated.
//!
//! Deadlines and attempts are compared with the present for as long as a message is open, over restarts too.
//! The wall clock may be stepped meanwhile, so records are dated by a timeline of their own: it begins at the
//! wall clock's time, advances with the monotonic clock, and goes on over restarts for as long as the system
//! is not booted anew. Only after a boot, or on another machine, does it begin at the wall clock again; then
//! the age of what was recorded before is not known.
//!
//! No I/O and no clock: the journal hands in what the clocks say.

use crate::state::record::Fields;
use notchpoint_seam::BootId;
use notchpoint_store::{Batch, Table};

/// Holds one key, the timeline of the folder's last process.
pub const TIMELINE: Table = Table(5);
const KEY: &[u8] = b"T";

/// What the clocks say at one moment, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The present boot, where the system tells.
    pub boot: Option<BootId>,
    /// Since that boot.
    pub monotonic: u64,
    /// Unix time by the wall clock.
    pub wall: u64,
}

/// Dates records in Unix microseconds that no step of the wall clock changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeline {
    boot: Option<BootId>,
    /// A monotonic time of this boot, and the timeline's at that moment.
    monotonic: u64,
    unix: u64,
}

/// How a timeline stands to the one that the folder's records were dated by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// It is the same one: ages are exact.
    SameBoot,
    /// The folder has none. An earlier build dated its records by the wall clock.
    FirstUse,
    /// Another boot, or another machine: the age of records is not known.
    OtherBoot,
}

impl Timeline {
    /// Goes on with the timeline of an earlier process where it can, else begins one at the wall clock's
    /// time.
    pub fn resume(saved: Option<Self>, now: Reading) -> (Self, Continuity) {
        let fresh = Self { boot: now.boot, monotonic: now.monotonic, unix: now.wall };
        match saved {
            None => (fresh, Continuity::FirstUse),
            Some(saved)
                if saved.boot.is_some() && saved.boot == now.boot && saved.monotonic <= now.monotonic =>
            {
                (saved, Continuity::SameBoot)
            }
            Some(_) => (fresh, Continuity::OtherBoot),
        }
    }

    /// The timeline's time at a monotonic time of its boot.
    pub fn at(&self, monotonic: u64) -> u64 {
        self.unix.saturating_add(monotonic).saturating_sub(self.monotonic)
    }

    /// Writes it for the next process.
    pub fn write(&self, batch: &mut Batch) {
        let BootId(boot) = self.boot.unwrap_or_default();
        let numbers = [self.monotonic, self.unix].map(u64::to_le_bytes).concat();
        batch.put(TIMELINE, KEY, &[&boot[..], &numbers].concat());
    }

    /// Reads a row of its table; nothing where it makes no sense.
    pub fn read(key: &[u8], value: &[u8]) -> Option<Self> {
        let mut fields = Fields(value);
        let boot = Some(BootId(fields.bytes()?)).filter(|boot| *boot != BootId::default());
        let (monotonic, unix) = (fields.number()?, fields.number()?);
        (key == KEY && fields.0.is_empty()).then_some(Self { boot, monotonic, unix })
    }
}

#[cfg(test)]
mod tests;
