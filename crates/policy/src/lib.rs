//! The decisions of a sender, free of I/O and clocks: which endpoint a message goes to, whether to try again,
//! what to turn away. A caller hands [`Sender::handle`] what happened at one moment and does what it says.
//!
//! `choice.rs` decides, `interface.rs` is what goes in and out, `state.rs` what is remembered,
//! `credit.rs` and `lean.rs` the arithmetic of what a returning route, or zone, is sent, `note.rs` the form
//! of notes between senders.
#![warn(missing_docs)]

pub mod choice;
mod credit;
pub mod interface;
mod lean;
mod note;
mod state;

use notchpoint_limits::fold;

pub use interface::*;
pub use state::Sender;

/// Identifies the source text of the decisions: two builds with the same number decide alike. It is computed
/// from the sources at compile time (FNV-1a), so it changes by itself.
pub const FINGERPRINT: u64 = {
    let mut h = notchpoint_limits::FINGERPRINT;
    h = fold(h, include_bytes!("interface.rs"));
    h = fold(h, include_bytes!("state.rs"));
    h = fold(h, include_bytes!("choice.rs"));
    h = fold(h, include_bytes!("choice/guard.rs"));
    h = fold(h, include_bytes!("choice/notes.rs"));
    h = fold(h, include_bytes!("choice/outcome.rs"));
    h = fold(h, include_bytes!("choice/slots.rs"));
    h = fold(h, include_bytes!("choice/unproven.rs"));
    h = fold(h, include_bytes!("credit.rs"));
    h = fold(h, include_bytes!("lean.rs"));
    fold(h, include_bytes!("note.rs"))
};

/// Start value with which the stored encoding gives the number that earlier builds with this form carry.
const STATE_FORM_START: u64 = 0x6e2b_d629_1d48_a220;

/// Identifies the form in which a [`Sender`]'s state is encoded: another build can read it if its number is
/// the same. It is computed from a stored encoding of a state with every field and variant
/// (`state/form.bin`). A test compares that with what this build encodes, so that a changed form fails until
/// the file, and with it the number, is renewed. Rewording and renaming change neither.
pub const STATE_FORM: u64 = fold(STATE_FORM_START, include_bytes!("state/form.bin"));
