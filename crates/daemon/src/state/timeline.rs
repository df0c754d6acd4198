//! The timeline that dates records.
//!
//! Deadlines and attempts are compared with the present time for as long as a message is open, across
//! restarts as well. Since the wall clock may be stepped meanwhile, records are dated by a timeline of their
//! own. It starts at the wall clock's time, advances with the monotonic clock, and continues across restarts
//! until the system is rebooted. After a reboot, or on another machine, it starts at the wall clock's time
//! again, and the age of earlier records is not known.
//!
//! This module does no I/O and reads no clock. The journal passes the clocks' times.

use crate::state::record::Fields;
use notchpoint_seam::BootId;
use notchpoint_store::{Batch, Table};

/// Holds one key: the timeline of the last process that used the folder.
pub const TIMELINE: Table = Table(5);
const KEY: &[u8] = b"T";

/// The clocks' times at one instant, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The current boot, if the system provides an id for it.
    pub boot: Option<BootId>,
    /// The time since that boot.
    pub monotonic: u64,
    /// The Unix time by the wall clock.
    pub wall: u64,
}

/// Dates records in Unix microseconds that no step of the wall clock changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeline {
    boot: Option<BootId>,
    /// A monotonic time of this boot, and the timeline's time at that instant.
    monotonic: u64,
    unix: u64,
}

/// How a timeline relates to the one that dated the folder's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// The timeline is the same, so ages are exact.
    SameBoot,
    /// The folder has no timeline. An earlier build dated its records by the wall clock.
    FirstUse,
    /// The records are from another boot or another machine. Their age is not known.
    OtherBoot,
}

impl Timeline {
    /// Continues the timeline of an earlier process if that is possible. Otherwise starts a new one at the
    /// wall clock's time.
    pub fn resume(saved: Option<Self>, now: ClockReading) -> (Self, Continuity) {
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

    /// Returns the timeline's time at a monotonic time of its boot.
    pub fn time_at(&self, monotonic: u64) -> u64 {
        self.unix.saturating_add(monotonic).saturating_sub(self.monotonic)
    }

    /// Adds the timeline to a batch, for the next process.
    pub fn write(&self, batch: &mut Batch) {
        let BootId(boot) = self.boot.unwrap_or_default();
        let numbers = [self.monotonic, self.unix].map(u64::to_le_bytes).concat();
        batch.put(TIMELINE, KEY, &[&boot[..], &numbers].concat());
    }

    /// Decodes a stored record. Returns `None` if it cannot be read.
    pub fn load_record(key: &[u8], value: &[u8]) -> Option<Self> {
        let mut fields = Fields(value);
        let boot = Some(BootId(fields.read_bytes()?)).filter(|boot| *boot != BootId::default());
        let (monotonic, unix) = (fields.read_u64()?, fields.read_u64()?);
        (key == KEY && fields.0.is_empty()).then_some(Self { boot, monotonic, unix })
    }
}

#[cfg(test)]
mod tests;
