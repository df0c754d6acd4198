//! Retries of start-up steps that fail with a transient error: a process that exits because of one is not
//! ready in time, and its messages wait for the next process.

use crate::rate_limited_warning::RateLimitedWarning;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// A process has to be ready within 30 s of its start. An error that lasts longer than this is reported as
/// the reason why it is not.
const RETRY_FOR: Duration = Duration::from_secs(25);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Whether an error of a start-up step may be transient, and there is time left to retry. Waiting does not
/// help against a mistake in the settings, a missing permission or damaged data. `WouldBlock` means that
/// another process has locked the state folder.
pub fn should_retry(why: &io::Error, begun: Instant) -> bool {
    let is_permanent = matches!(
        why.kind(),
        ErrorKind::NotFound
            | ErrorKind::PermissionDenied
            | ErrorKind::InvalidData
            | ErrorKind::InvalidInput
            | ErrorKind::NotADirectory
            | ErrorKind::Unsupported
            | ErrorKind::WouldBlock
    );
    !is_permanent && begun.elapsed() < RETRY_FOR
}

/// Waits before a step is retried. Returns false if the process is asked to end meanwhile.
pub async fn wait_before_retry(terminate: &Notify) -> bool {
    tokio::select! {
        biased;
        () = terminate.notified() => false,
        () = sleep(RETRY_INTERVAL) => true,
    }
}

/// Runs one start-up step and retries it while it fails with a transient error. Returns `None` if the
/// process is asked to end meanwhile.
///
/// # Errors
/// The last error of the step.
pub async fn run_with_retries<T>(
    warnings: &RateLimitedWarning,
    terminate: &Notify,
    what: &str,
    mut step: impl FnMut() -> io::Result<T>,
) -> io::Result<Option<T>> {
    let begun = Instant::now();
    loop {
        match step() {
            Err(why) if should_retry(&why, begun) => warnings.warn(&format_args!("{what}: {why}; retrying")),
            done => return done.map(Some),
        }
        if !wait_before_retry(terminate).await {
            return Ok(None);
        }
    }
}
