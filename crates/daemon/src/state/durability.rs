//! Waits until what was written outlasts a loss of power, where the operator asks for that (`[store]`). Else
//! there is nothing to wait for.
//!
//! One sync at a time serves all who wait; who comes while it is under way waits for the next.

use crate::state::journal::Journal;
use notchpoint_store::{Error, Mark};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

/// After a sync, and the healing behind it, failed.
const AGAIN: Duration = Duration::from_millis(50);

pub struct DurabilityTracker {
    journal: Rc<RefCell<Journal>>,
    wanted: Notify,
    news: Notify,
}

impl DurabilityTracker {
    pub fn new(journal: Rc<RefCell<Journal>>) -> Rc<Self> {
        let durability = Rc::new(Self { journal, wanted: Notify::new(), news: Notify::new() });
        let task = durability.clone();
        tokio::task::spawn_local(async move { task.run().await });
        durability
    }

    /// The end of all that was written.
    pub fn log_end(&self) -> Mark {
        self.journal.borrow().log_end()
    }

    /// Whether all up to there is safe, once it is, or this time has passed.
    pub async fn wait_until_durable(&self, mark: &Mark, most: Duration) -> bool {
        let until = Instant::now() + most;
        loop {
            let news = self.news.notified();
            if self.is_durable(mark) {
                return true;
            }
            self.wanted.notify_one();
            if timeout_at(until, news).await.is_err() {
                return false;
            }
        }
    }

    pub fn is_durable(&self, mark: &Mark) -> bool {
        self.journal.borrow().is_durable(mark)
    }

    async fn run(&self) {
        loop {
            self.wanted.notified().await;
            if let Err(e) = self.sync().await {
                tracing::warn!("journal: a sync failed: {e}");
                sleep(AGAIN).await;
            }
            self.news.notify_waiters();
        }
    }

    async fn sync(&self) -> Result<(), Error> {
        let begun = self.journal.borrow_mut().sync_begin()?;
        let Some(mut sync) = begun else { return Ok(()) };
        let result = match sync.done.take() {
            Some(done) => done.await,
            None => Ok(()),
        };
        let failed = result.as_ref().err().map(ToString::to_string);
        self.journal.borrow_mut().sync_end(&sync, result)?;
        // What it was for stands in another segment by now, and is safe there.
        failed.into_iter().for_each(|e| tracing::warn!("journal: a sync failed, and was made good: {e}"));
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::journal::tests::{Broken, SOUND, SYNCS_FAIL};
    use crate::state::record::OpenMessage;
    use notchpoint_policy::MessageId;
    use notchpoint_seam::system::SystemClock;
    use notchpoint_store::{Durability, Options};
    use std::cell::Cell;

    const SOON: Duration = Duration::from_millis(200);

    fn take(journal: &RefCell<Journal>, id: u64) {
        let open = OpenMessage::new("payment", "acme", 3, 1_000, vec![7; 20].into());
        journal.borrow_mut().accept(MessageId(id), open).expect("room");
    }

    fn on_power(
        play: impl AsyncFnOnce(Rc<RefCell<Journal>>, Rc<DurabilityTracker>, &std::path::Path, Rc<Cell<u8>>),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let folder = tempfile::tempdir().expect("a folder");
            let how = Rc::new(Cell::new(SOUND));
            let disk = Rc::new(Broken::new(folder.path(), how.clone()));
            let options = Options { durability: Durability::Power, ..Options::new(1, 3_000_000) };
            let journal = Journal::open(disk, Rc::new(SystemClock), options).expect("a journal").0;
            let journal = Rc::new(RefCell::new(journal));
            let durability = DurabilityTracker::new(journal.clone());
            play(journal, durability, folder.path(), how).await;
        });
    }

    #[test]
    fn what_is_not_synced_is_not_safe_and_one_sync_serves_all_who_wait() {
        on_power(async |journal, durability, _, _| {
            let mut marks = Vec::new();
            for id in 0..32 {
                take(&journal, id);
                marks.push(durability.log_end());
            }
            assert!(marks.iter().all(|m| !durability.is_durable(m)), "written is not safe");
            assert!(durability.wait_until_durable(&marks[31], SOON).await);
            assert!(marks.iter().all(|m| durability.is_durable(m)));
        });
    }

    #[test]
    fn while_syncs_fail_nothing_is_safe_and_then_it_stands_in_another_segment() {
        on_power(async |journal, durability, folder, how| {
            take(&journal, 1);
            let mark = durability.log_end();
            how.set(SYNCS_FAIL);
            assert!(!durability.wait_until_durable(&mark, SOON).await, "a failed sync promises nothing");
            how.set(SOUND);
            assert!(durability.wait_until_durable(&mark, 10 * SOON).await, "it heals by itself");
            // A file whose sync failed is not asked again.
            assert!(folder.join("0000000002.log").exists());
            assert!(journal.borrow().get(MessageId(1)).is_some());
        });
    }
}
