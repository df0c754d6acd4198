//! The decisions of a sender, free of I/O and clocks: which endpoint a message goes to, whether to try again,
//! what to turn away. A caller hands [`Sender::handle`] what happened at one moment and does what it says.
//!
//! `choice.rs` decides, `interface.rs` is what goes in and out, `state.rs` what is remembered, `note.rs` the
//! form of notes between senders.
#![warn(missing_docs)]

pub mod choice;
pub mod interface;
mod note;
mod state;

pub use choice::Sender;
pub use interface::*;
