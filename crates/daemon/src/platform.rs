//! What the platform and other senders tell, and what they are told.

pub mod discovery;
pub mod notices;
pub mod peers;
pub mod post;
pub mod reports;
pub mod values;
pub mod zoning;
