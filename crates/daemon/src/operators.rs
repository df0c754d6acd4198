//! The operators' address and the flight recorder.

pub mod admin;
pub mod flight_recorder;
