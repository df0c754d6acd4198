#![doc = include_str!("../README.md")]
#![warn(missing_docs)]

pub mod choice;
pub mod interface;
mod note;
mod state;

pub use choice::Sender;
pub use interface::*;
