//! What operators ask and see.

pub mod admin;
pub mod flight;
