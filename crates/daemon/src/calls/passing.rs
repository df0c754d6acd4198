//! Calls that are out while one process takes over from another.

use super::{Calls, End};
use crate::handover::protocol::{Frame, Out, Wait};
use crate::input::Input;
use notchpoint_policy::*;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

impl Calls {
    /// Everything that is out is given to another process: its ends will be told there. Idle connections end.
    /// What is out, by attempt, and the waits that are left.
    pub fn give(&self) -> (Vec<Out>, Vec<Wait>) {
        self.given.set(true);
        let pool = std::mem::take(&mut *self.pool.borrow_mut());
        pool.iter().for_each(|(&id, idle)| self.tell_closed(id, idle.len()));
        let own = self.cancels.borrow().iter().map(|(&(id, n), (e, _))| (id, n, *e)).collect::<Vec<_>>();
        let adopted = self.adopted.borrow().iter().map(|(&(id, n), &e)| (id, n, e)).collect::<Vec<_>>();
        let now = Instant::now();
        let left = |until: &Instant| until.saturating_duration_since(now).as_micros() as Micros;
        let waits = self.waits.borrow().iter().map(|(&(d, e), until)| (d, e, left(until))).collect();
        ([own, adopted].concat(), waits)
    }

    /// Takes over what another process has out and was told to wait for.
    pub fn adopt(&self, out: &[Out], waits: &[Wait], before: UnboundedSender<Frame>) {
        self.adopted.borrow_mut().extend(out.iter().map(|&(id, n, e)| ((id, n), e)));
        let now = Instant::now();
        let waits = waits.iter().map(|&(d, e, left)| ((d, e), now + Duration::from_micros(left)));
        self.waits.borrow_mut().extend(waits);
        *self.before.borrow_mut() = Some(before);
    }

    /// An attempt that was taken over has ended, or one that is not known here, since this life began from
    /// the folder: what that means is for whoever owns the message by now.
    pub fn adopted_ended(&self, id: MessageId, attempt: u32, end: End) {
        let known = self.adopted.borrow_mut().remove(&(id, attempt));
        match known {
            Some(endpoint) => self.ended(endpoint, (id, attempt), end),
            None => {
                let End { outcome, over, .. } = end;
                let _ = self.inputs.send(Input::PredecessorAttemptEnded { id, attempt, outcome, over });
            }
        }
    }

    /// Whether a process, or an earlier life of this one, may still tell of what is out there.
    pub fn has_before(&self) -> bool {
        self.before.borrow().is_some()
    }

    /// The process that had them out has ended, and their connections with it.
    pub fn orphan(&self) {
        self.before.borrow_mut().take();
        let all = std::mem::take(&mut *self.adopted.borrow_mut());
        for (attempt, endpoint) in all {
            self.ended(endpoint, attempt, Outcome::Reset.into());
        }
    }
}
