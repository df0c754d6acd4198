//! The system's signals.
//!
//! Each sets a flag and writes a byte to a socket that the runtime watches. Only the flags say what has come:
//! the byte may be lost and its reading may fail, as socket calls do, so they are looked at from time to time
//! as well.

use crate::Signal;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{sleep, timeout};

/// The signals that are heeded, and what each means.
const HEEDED: [(i32, Signal); 4] = [
    (SIGHUP, Signal::Reload),
    (SIGTERM, Signal::Terminate),
    (SIGINT, Signal::Terminate),
    (SIGUSR1, Signal::Dump),
];
/// Signals that wait to be taken. Those after them wait as flags, where equal ones are one.
const WAITING: usize = 8;
/// How often flags are looked at where no byte comes.
const LOOK: Duration = Duration::from_millis(200);
/// Bytes that cannot be read now are tried again after this.
const REST: Duration = Duration::from_millis(5);
/// Bytes that are read at a time: one for each signal that came since the last look.
const BLOCK: usize = 64;

/// Has signals told from now on. It belongs inside a `LocalSet`.
///
/// # Errors
/// The system has no socket for it, or a handler cannot be set.
pub fn watch() -> io::Result<Receiver<Signal>> {
    let (woken, wake) = std::os::unix::net::UnixStream::pair()?;
    woken.set_nonblocking(true)?;
    wake.set_nonblocking(true)?;
    let mut flags = Vec::new();
    for (number, means) in HEEDED {
        let flag = Arc::new(AtomicBool::new(false));
        // In this order: by the time the byte is read the flag has been set.
        signal_hook::flag::register(number, flag.clone())?;
        signal_hook::low_level::pipe::register(number, wake.try_clone()?)?;
        flags.push((flag, means));
    }
    let (tell, told) = channel(WAITING);
    tokio::task::spawn_local(pass_on(UnixStream::from_std(woken)?, flags, tell));
    Ok(told)
}

async fn pass_on(woken: UnixStream, flags: Vec<(Arc<AtomicBool>, Signal)>, tell: Sender<Signal>) {
    loop {
        for (flag, means) in &flags {
            if flag.swap(false, Ordering::AcqRel) && tell.send(*means).await.is_err() {
                return;
            }
        }
        let _ = timeout(LOOK, woken.readable()).await;
        if woken.try_read(&mut [0; BLOCK]).is_err_and(|why| why.kind() != ErrorKind::WouldBlock) {
            // It stands there still: read after the next look, and not at once.
            sleep(REST).await;
        }
    }
}
