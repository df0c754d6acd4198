//! The decisions of a sender, without I/O or a clock: which endpoint a message is sent to, whether to retry,
//! and which messages to refuse. A caller passes the events of one turn to [`Sender::handle`] and performs
//! the actions that it returns.
//!
//! - `choice.rs` and `choice/`: the decisions.
//! - `interface.rs`: the settings, events and actions.
//! - `state.rs`: the state.
//! - `credit.rs`, `zone_share.rs`: how much a route in recovery, or a zone, is sent.
//! - `note.rs`: the encoding of notes between senders.
//!
//! Short names in `choice.rs`: `h` is a held message, `c` a call or a class, `d` a destination, `e` an
//! endpoint, `r` a route, and `m` a message that arrives.
#![warn(missing_docs)]

pub mod choice;
mod credit;
pub mod interface;
mod note;
mod state;
mod zone_share;

use notchpoint_limits::fnv1a;

pub use interface::*;
pub use state::Sender;

/// Identifies the source text of the decisions: two builds with the same number decide alike. It is the
/// FNV-1a hash of the sources, computed at compile time.
pub const FINGERPRINT: u64 = {
    let mut hash = notchpoint_limits::FINGERPRINT;
    hash = fnv1a(hash, include_bytes!("interface.rs"));
    hash = fnv1a(hash, include_bytes!("state.rs"));
    hash = fnv1a(hash, include_bytes!("choice.rs"));
    hash = fnv1a(hash, include_bytes!("choice/guard.rs"));
    hash = fnv1a(hash, include_bytes!("choice/notes.rs"));
    hash = fnv1a(hash, include_bytes!("choice/outcome.rs"));
    hash = fnv1a(hash, include_bytes!("choice/slots.rs"));
    hash = fnv1a(hash, include_bytes!("choice/unproven.rs"));
    hash = fnv1a(hash, include_bytes!("credit.rs"));
    hash = fnv1a(hash, include_bytes!("zone_share.rs"));
    fnv1a(hash, include_bytes!("note.rs"))
};

/// The initial hash value, chosen so that the hash of the stored encoding equals the number that earlier
/// builds with this form have.
const STATE_FORM_START: u64 = 0x6e2b_d629_1d48_a220;

/// Identifies the encoded form of a [`Sender`]'s state: another build can read the state if its number is
/// the same. The number is the hash of a stored encoding of a state with every field and variant
/// (`state/form.bin`). A test compares the file with what this build encodes and fails if the form has
/// changed until the file, and thereby the number, is replaced. Rewording and renaming change neither.
pub const STATE_FORM: u64 = fnv1a(STATE_FORM_START, include_bytes!("state/form.bin"));
