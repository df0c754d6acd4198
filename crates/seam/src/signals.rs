//! Signals of the operating system.
//!
//! The handler of a signal sets a flag and writes a byte to a socket that the runtime polls. The flags alone
//! show which signals have arrived: the byte may be lost and reading it may fail, as with any socket, so the
//! flags are also checked at an interval.

use crate::Signal;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{sleep, timeout};

/// The signals that are handled.
const HANDLED: [(i32, Signal); 4] = [
    (SIGHUP, Signal::Reload),
    (SIGTERM, Signal::Terminate),
    (SIGINT, Signal::Terminate),
    (SIGUSR1, Signal::Dump),
];
/// The number of signals that may wait in the channel. Further ones wait as flags, so equal ones are merged.
const CHANNEL_CAPACITY: usize = 8;
/// The interval at which the flags are checked if no byte arrives.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The delay after which a failed read of the socket is retried.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// The number of bytes read at a time: one for each signal since the last check.
const READ_BYTES: usize = 64;

/// Installs handlers and returns the channel that receives the signals. Must be called inside a `LocalSet`.
///
/// # Errors
/// The socket cannot be created, or a handler cannot be installed.
pub fn watch() -> io::Result<Receiver<Signal>> {
    let (wake_receiver, wake_sender) = std::os::unix::net::UnixStream::pair()?;
    wake_receiver.set_nonblocking(true)?;
    wake_sender.set_nonblocking(true)?;
    let mut flags = Vec::new();
    for (number, signal) in HANDLED {
        let flag = Arc::new(AtomicBool::new(false));
        // The flag is registered first, so that it is set by the time the byte is read.
        signal_hook::flag::register(number, flag.clone())?;
        signal_hook::low_level::pipe::register(number, wake_sender.try_clone()?)?;
        flags.push((flag, signal));
    }
    let (sender, receiver) = channel(CHANNEL_CAPACITY);
    tokio::task::spawn_local(forward(UnixStream::from_std(wake_receiver)?, flags, sender));
    Ok(receiver)
}

async fn forward(wake_receiver: UnixStream, flags: Vec<(Arc<AtomicBool>, Signal)>, sender: Sender<Signal>) {
    loop {
        for (flag, signal) in &flags {
            if flag.swap(false, Ordering::AcqRel) && sender.send(*signal).await.is_err() {
                return;
            }
        }
        let _ = timeout(CHECK_INTERVAL, wake_receiver.readable()).await;
        if wake_receiver.try_read(&mut [0; READ_BYTES]).is_err_and(|e| e.kind() != ErrorKind::WouldBlock) {
            // The byte is still there. A delay keeps the loop from spinning.
            sleep(RETRY_DELAY).await;
        }
    }
}
