//! Communication with the platform and with other senders.

pub mod discovery;
pub mod note_sender;
pub mod notice_scheduler;
pub mod peers;
pub mod reports;
pub mod watch_parser;
pub mod zone_monitor;
