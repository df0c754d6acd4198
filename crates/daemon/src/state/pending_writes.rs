//! Writes what the folder did not take, once it takes it again, also where no other traffic would.

use crate::state::journal::{Journal, Verdict};
use notchpoint_policy::MessageId;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::sleep;

/// How often a folder that takes nothing is tried, beside what other records try.
const AGAIN: Duration = Duration::from_millis(200);
/// How often it is looked whether a verdict is written: a notice may be 300 ms late at most.
const LOOK: Duration = Duration::from_millis(50);

/// Writes owed records for as long as the journal lives.
pub async fn retry_pending_writes(journal: Weak<RefCell<Journal>>) {
    let Some(signal) = journal.upgrade().map(|journal| journal.borrow().pending_write_signal()) else {
        return;
    };
    loop {
        signal.notified().await;
        loop {
            sleep(AGAIN).await;
            let Some(journal) = journal.upgrade() else { return };
            if journal.borrow_mut().flush_pending_writes().is_ok() {
                break;
            }
        }
    }
}

/// Waits until a verdict that says that handing in again is harmless is written, and gives the one to be
/// told: a kill would forget one that is not, and the next process would send the message once more. Where
/// its time runs out before, its client is promised nothing.
pub async fn wait_for_verdict_write(
    journal: &Rc<RefCell<Journal>>,
    id: MessageId,
    verdict: Verdict,
) -> Option<Verdict> {
    loop {
        sleep(LOOK).await;
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
