//! A start that meets an error of a moment waits for it to pass: a process that ends for one is not ready in
//! time, and its messages wait for the next.

use crate::rate_limited_warning::RateLimitedWarning;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// A start is to be ready within 30 s. What has not passed by then is told as the reason why it is not.
const WITHIN: Duration = Duration::from_secs(25);
const AGAIN: Duration = Duration::from_millis(50);

/// Whether an error that a start met may pass, and there is time to wait for that. Waiting helps against no
/// mistake in the settings, no missing right and no damage.
pub fn may_pass(why: &io::Error, begun: Instant) -> bool {
    let stays = matches!(
        why.kind(),
        ErrorKind::NotFound
            | ErrorKind::PermissionDenied
            | ErrorKind::InvalidData
            | ErrorKind::InvalidInput
            | ErrorKind::NotADirectory
            | ErrorKind::Unsupported
            | ErrorKind::WouldBlock
    );
    !stays && begun.elapsed() < WITHIN
}

/// Rests before a step is tried again. Whether to go on: not where the process is told to end meanwhile.
pub async fn rest(terminate: &Notify) -> bool {
    tokio::select! {
        biased;
        () = terminate.notified() => false,
        () = sleep(AGAIN) => true,
    }
}

/// Does one step of a start, again and again while it fails for a reason that may pass. Gives nothing where
/// the process is told to end meanwhile.
///
/// # Errors
/// The last one.
pub async fn patiently<T>(
    trouble: &RateLimitedWarning,
    terminate: &Notify,
    what: &str,
    mut step: impl FnMut() -> io::Result<T>,
) -> io::Result<Option<T>> {
    let begun = Instant::now();
    loop {
        match step() {
            Err(why) if may_pass(&why, begun) => trouble.warn(&format_args!("{what}: {why}; tried again")),
            done => return done.map(Some),
        }
        if !rest(terminate).await {
            return Ok(None);
        }
    }
}
