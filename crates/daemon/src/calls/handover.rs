//! Calls that are in progress while one process takes over from another.

use super::{AttemptEnd, Calls};
use crate::handover::protocol::{AttemptInFlight, Frame, RouteWait};
use crate::input::Input;
use notchpoint_policy::*;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

impl Calls {
    /// Hands all calls over to the successor: their ends will be reported there. Closes idle connections.
    /// Returns the attempts in flight, and the waits in force with the time that is left of each.
    pub fn hand_over(&self) -> (Vec<AttemptInFlight>, Vec<RouteWait>) {
        self.is_handed_over.set(true);
        let pool = std::mem::take(&mut *self.pool.borrow_mut());
        pool.iter().for_each(|(&id, idle)| self.report_closed(id, idle.len()));
        let own = self.cancels.borrow().iter().map(|(&(id, n), (e, _))| (id, n, *e)).collect::<Vec<_>>();
        let adopted =
            self.adopted_attempts.borrow().iter().map(|(&(id, n), &e)| (id, n, e)).collect::<Vec<_>>();
        let now = Instant::now();
        let left = |until: &Instant| until.saturating_duration_since(now).as_micros() as Micros;
        let waits = self.route_waits.borrow().iter().map(|(&(d, e), until)| (d, e, left(until))).collect();
        ([own, adopted].concat(), waits)
    }

    /// Takes over the attempts in flight and the waits of the predecessor, which reports how the attempts
    /// end.
    pub fn adopt_attempts(
        &self,
        open: &[AttemptInFlight],
        waits: &[RouteWait],
        predecessor: UnboundedSender<Frame>,
    ) {
        self.adopted_attempts.borrow_mut().extend(open.iter().map(|&(id, n, e)| ((id, n), e)));
        let now = Instant::now();
        let waits = waits.iter().map(|&(d, e, left)| ((d, e), now + Duration::from_micros(left)));
        self.route_waits.borrow_mut().extend(waits);
        *self.predecessor.borrow_mut() = Some(predecessor);
    }

    /// Records the end of an attempt that was adopted. An attempt that is not known here, since this session
    /// started from the store, is passed on as an input: the owner of the message decides what it means.
    pub fn adopted_attempt_ended(&self, id: MessageId, attempt: u32, end: AttemptEnd) {
        let known = self.adopted_attempts.borrow_mut().remove(&(id, attempt));
        match known {
            Some(endpoint) => self.record_end(endpoint, (id, attempt), end),
            None => {
                let AttemptEnd { outcome, is_final, .. } = end;
                let _ = self.inputs.send(Input::PredecessorAttemptEnded { id, attempt, outcome, is_final });
            }
        }
    }

    /// Whether a predecessor, or an earlier session of this process, may still report ends of attempts.
    pub fn has_predecessor(&self) -> bool {
        self.predecessor.borrow().is_some()
    }

    /// Ends the adopted attempts: the predecessor has ended, and their connections with it.
    pub fn predecessor_ended(&self) {
        self.predecessor.borrow_mut().take();
        let all = std::mem::take(&mut *self.adopted_attempts.borrow_mut());
        for (attempt, endpoint) in all {
            self.record_end(endpoint, attempt, Outcome::Reset.into());
        }
    }
}
