//! A handle of a task that ends with its owner.

use tokio::task::AbortHandle;

/// Aborts a task on drop.
pub struct AbortOnDrop(pub AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
