//! Retries records that the folder did not accept, so that they are written also where no other traffic
//! causes a write.

use crate::state::journal::{Journal, Verdict};
use notchpoint_policy::MessageId;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::sleep;

/// How often a write to a folder that accepts nothing is retried, besides the retries that come with other
/// records.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How often `wait_for_verdict_write` checks whether a verdict is written. A notice may be 300 ms late at
/// most.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Writes pending records for as long as the journal lives.
pub async fn retry_pending_writes(journal: Weak<RefCell<Journal>>) {
    let Some(signal) = journal.upgrade().map(|journal| journal.borrow().pending_write_signal()) else {
        return;
    };
    loop {
        signal.notified().await;
        loop {
            sleep(RETRY_INTERVAL).await;
            let Some(journal) = journal.upgrade() else { return };
            if journal.borrow_mut().flush_pending_writes().is_ok() {
                break;
            }
        }
    }
}

/// Waits until a verdict that allows the client to resend is written, and returns the verdict to report. A
/// kill would lose an unwritten verdict, and the next process would send the message again. If the message's
/// time runs out first, the verdict becomes `Dead`, which does not say that a resend is harmless.
pub async fn wait_for_verdict_write(
    journal: &Rc<RefCell<Journal>>,
    id: MessageId,
    verdict: Verdict,
) -> Option<Verdict> {
    loop {
        sleep(POLL_INTERVAL).await;
        let mut journal = journal.borrow_mut();
        let deadline = journal.get(id)?.deadline;
        if !journal.has_pending_writes() {
            return Some(verdict);
        }
        if journal.unix_now() >= deadline {
            journal.record_verdict(id, Verdict::Dead);
            return Some(Verdict::Dead);
        }
    }
}
