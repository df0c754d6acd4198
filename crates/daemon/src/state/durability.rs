//! Waits until written records survive a loss of power, if the operator asks for that (`[store]`). Otherwise
//! there is nothing to wait for.
//!
//! One sync at a time serves all waiting tasks (group commit). A task that starts to wait while a sync is
//! under way waits for the next one.

use crate::state::journal::Journal;
use notchpoint_store::{Error, LogPosition};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

/// The delay after a sync failed and the records could not be moved to another segment either.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Runs the journal's syncs and lets tasks wait for them.
pub struct DurabilityTracker {
    journal: Rc<RefCell<Journal>>,
    /// Starts a sync.
    sync_requested: Notify,
    /// Wakes the waiting tasks after each sync.
    sync_finished: Notify,
}

impl DurabilityTracker {
    /// Creates a tracker and starts its task. It has to be called within a `LocalSet`.
    pub fn new(journal: Rc<RefCell<Journal>>) -> Rc<Self> {
        let durability =
            Rc::new(Self { journal, sync_requested: Notify::new(), sync_finished: Notify::new() });
        let task = durability.clone();
        tokio::task::spawn_local(async move { task.run().await });
        durability
    }

    /// Returns the position behind the last written record.
    pub fn log_end(&self) -> LogPosition {
        self.journal.borrow().log_end()
    }

    /// Waits until all records up to a position are durable. Returns false if that takes longer than
    /// `timeout`.
    pub async fn wait_until_durable(&self, position: &LogPosition, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        loop {
            let sync_finished = self.sync_finished.notified();
            if self.is_durable(position) {
                return true;
            }
            self.sync_requested.notify_one();
            if timeout_at(until, sync_finished).await.is_err() {
                return false;
            }
        }
    }

    /// Whether all records up to a position survive what the operator asked for.
    pub fn is_durable(&self, position: &LogPosition) -> bool {
        self.journal.borrow().is_durable(position)
    }

    async fn run(&self) {
        loop {
            self.sync_requested.notified().await;
            if let Err(error) = self.sync().await {
                tracing::warn!("journal: sync failed: {error}");
                sleep(RETRY_DELAY).await;
            }
            self.sync_finished.notify_waiters();
        }
    }

    async fn sync(&self) -> Result<(), Error> {
        let begun = self.journal.borrow_mut().begin_sync()?;
        let Some(mut sync) = begun else { return Ok(()) };
        let result = match sync.future.take() {
            Some(done) => done.await,
            None => Ok(()),
        };
        let failed = result.as_ref().err().map(ToString::to_string);
        self.journal.borrow_mut().finish_sync(&sync, result)?;
        // By now the records of the failed sync are in another segment, and durable there.
        failed.into_iter().for_each(|error| {
            tracing::warn!("journal: sync failed, its records were written to a new segment: {error}")
        });
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::journal::tests::{FaultyDisk, SYNCS_FAIL, WORKING};
    use crate::state::record::OpenMessage;
    use notchpoint_policy::MessageId;
    use notchpoint_seam::system::SystemClock;
    use notchpoint_store::{Durability, Options};
    use std::cell::Cell;

    const SHORT: Duration = Duration::from_millis(200);

    fn accept(journal: &RefCell<Journal>, id: u64) {
        let open = OpenMessage::new("payment", "acme", 3, 1_000, vec![7; 20].into());
        journal.borrow_mut().accept(MessageId(id), open).expect("room");
    }

    /// Runs a test with a journal that has to survive a loss of power. The test can make the disk fail.
    fn with_power_durability(
        test: impl AsyncFnOnce(Rc<RefCell<Journal>>, Rc<DurabilityTracker>, &std::path::Path, Rc<Cell<u8>>),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let folder = tempfile::tempdir().expect("a folder");
            let disk_state = Rc::new(Cell::new(WORKING));
            let disk = Rc::new(FaultyDisk::new(folder.path(), disk_state.clone()));
            let options = Options { durability: Durability::Power, ..Options::new(1, 3_000_000) };
            let journal = Journal::open(disk, Rc::new(SystemClock), options).expect("a journal").0;
            let journal = Rc::new(RefCell::new(journal));
            let durability = DurabilityTracker::new(journal.clone());
            test(journal, durability, folder.path(), disk_state).await;
        });
    }

    #[test]
    fn records_are_durable_only_after_a_sync_and_one_sync_serves_all_waiting_tasks() {
        with_power_durability(async |journal, durability, _, _| {
            let mut positions = Vec::new();
            for id in 0..32 {
                accept(&journal, id);
                positions.push(durability.log_end());
            }
            assert!(positions.iter().all(|p| !durability.is_durable(p)), "written is not durable");
            assert!(durability.wait_until_durable(&positions[31], SHORT).await);
            assert!(positions.iter().all(|p| durability.is_durable(p)));
        });
    }

    #[test]
    fn while_syncs_fail_nothing_is_durable_and_then_the_records_move_to_another_segment() {
        with_power_durability(async |journal, durability, folder, disk_state| {
            accept(&journal, 1);
            let position = durability.log_end();
            disk_state.set(SYNCS_FAIL);
            assert!(!durability.wait_until_durable(&position, SHORT).await, "a failed sync promises nothing");
            disk_state.set(WORKING);
            assert!(durability.wait_until_durable(&position, 10 * SHORT).await, "it recovers by itself");
            // A file whose sync failed is not synced again.
            assert!(folder.join("0000000002.log").exists());
            assert!(journal.borrow().get(MessageId(1)).is_some());
        });
    }
}
