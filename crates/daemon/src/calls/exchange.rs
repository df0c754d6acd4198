//! One call: the checks before its first byte, the request, and the wait for the response.

use super::answer::{CallResult, read_response};
use super::call::{Call, remove_matching};
use super::error::CallError;
use super::pool::Connection;
use super::progress::Progress;
use super::{CallItem, Calls};
use crate::copies::service::AttemptConsent;
use crate::input::Input;
use notchpoint_policy::*;
use std::cell::RefCell;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// An attempt whose record is not durable within this time is not made.
const DURABLE_WITHIN: Duration = Duration::from_secs(1);
/// The time after a response's first byte in which the rest has to arrive. Responses arrive in one piece, and
/// this leaves time to resend a lost packet.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The same time if the status line has settled the call: the rest is awaited only to keep the connection.
const SETTLED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);

impl Calls {
    /// Makes the call. It fails if the connection fails; what that means depends on how much of the request
    /// was written.
    pub(super) async fn exchange(
        &self,
        endpoint: EndpointId,
        mut used: Option<Connection>,
        call: &Call,
    ) -> Result<CallResult, CallError> {
        let Call { started, waiting, connection, progress, .. } = call;
        let moot = Ok(CallResult::SameForAll(Outcome::Moot.into()));
        let Some(target) = self.callable_target(endpoint) else {
            if let Some(conn) = used {
                self.release(endpoint, conn).await;
            }
            return moot;
        };
        // Checked again: bytes that arrived since it was taken from the pool would pass for this call's
        // response.
        if let Some(unfit) = used.take_if(|c| !c.is_reusable()) {
            unfit.close().await;
        }
        let (mut recorded_up_to, mut has_asked_consent) = (None, self.copies.is_none());
        loop {
            let is_reused = used.is_some();
            let mut conn = match used.take() {
                Some(c) => c,
                None => self.connect(endpoint, target.address).await?,
            };
            // Connecting takes time: meanwhile the endpoint may have left the list, a wait may have begun, or
            // messages may have ended.
            if self.callable_target(endpoint).is_none_or(|t| t.address != target.address) {
                conn.close().await;
                return moot;
            }
            let is_open = |i: &CallItem| self.journal.borrow().get(i.id).is_some_and(|m| m.verdict.is_none());
            let gone = remove_matching(waiting, |i| !is_open(i));
            gone.iter().for_each(|i| self.report_end(endpoint, i, Outcome::Moot.into()));
            if recorded_up_to.is_none() {
                self.record_attempts(endpoint, waiting);
            }
            // An attempt's record has to be durable before its first byte is written.
            let log_end = *recorded_up_to.get_or_insert_with(|| self.durability.log_end());
            if !self.durability.is_durable(&log_end) {
                if !self.durability.wait_until_durable(&log_end, DURABLE_WITHIN).await {
                    self.release(endpoint, conn).await;
                    return Ok(CallResult::SameForAll(Outcome::NotSent.into()));
                }
                // That took time, so all checks are repeated.
                used = Some(conn);
                continue;
            }
            if !std::mem::replace(&mut has_asked_consent, true) {
                match self.request_consent(endpoint, waiting).await {
                    // That took time, so all checks are repeated.
                    true => {
                        used = Some(conn);
                        continue;
                    }
                    false if waiting.borrow().is_empty() => {
                        self.release(endpoint, conn).await;
                        return moot;
                    }
                    false => {}
                }
            }
            // Nothing awaits from here to the first byte: messages that are too late for it are not started.
            let now = Instant::now();
            let is_ending = self.start_deadline.get().is_some_and(|deadline| now >= deadline);
            let is_unproven = |i: &CallItem| i.proven_only && !conn.is_proven;
            let late =
                remove_matching(waiting, |i| is_ending || now >= *started + i.start_within || is_unproven(i));
            late.iter().for_each(|i| self.report_end(endpoint, i, Outcome::Moot.into()));
            if waiting.borrow().is_empty() {
                self.release(endpoint, conn).await;
                return moot;
            }
            let deadline = self.order_by_deadline(&mut waiting.borrow_mut());
            let sent = waiting.borrow().clone();
            let form = self.request_form(endpoint, &target, &conn, &sent);
            call.begin(deadline, form.is_batch);
            let observed = conn.progress.clone();
            let Some(request) = form.build(target.address, &sent, started.elapsed(), &observed) else {
                self.release(endpoint, conn).await;
                return moot;
            };
            form.expect_response(&conn, &sent);
            *progress.borrow_mut() = Some(observed.clone());
            let response = conn.sender.send_request(request);
            *connection.borrow_mut() = Some(conn);
            let result = tokio::select! {
                biased;
                result = read_response(response, form.is_batch, &observed) => result,
                () = self.response_overdue(call, &observed) => Err(CallError::Broken),
            };
            let has_surplus = observed.filter.borrow().surplus_responses() > 0;
            observed.filter.borrow_mut().end_call();
            match result {
                Ok(_) if !self.is_settled(call) && call.is_expired() => {
                    return Ok(CallResult::SameForAll(Outcome::TimedOut.into()));
                }
                Ok(response) => {
                    if form.closes && response.closes {
                        self.surplus.record_announcement(endpoint);
                    }
                    let is_reusable = response.is_reusable && !form.closes && !has_surplus;
                    let conn = connection.borrow_mut().take();
                    if let Some(mut conn) = conn.filter(|_| is_reusable) {
                        conn.is_proven = true;
                        self.release(endpoint, conn).await;
                    }
                    return Ok(response.result);
                }
                // An idle connection that was closed just as it was used says nothing about a new connection,
                // so the call is repeated on one.
                Err(_) if is_reused && !observed.is_request_complete() => {
                    let old = connection.borrow_mut().take();
                    if let Some(old) = old {
                        old.close().await;
                    }
                }
                Err(why) => return Err(why),
            }
        }
    }

    /// Records these attempts. An attempt without a record is not made, even if its message may be repeated:
    /// after a restart it would be unknown, and the message could have more attempts than allowed.
    fn record_attempts(&self, endpoint: EndpointId, waiting: &RefCell<Vec<CallItem>>) {
        let mut failed = None;
        let unrecorded = remove_matching(waiting, |i| {
            let recorded = self.journal.borrow_mut().record_attempt(i.id, i.attempt, endpoint);
            recorded.map_err(|why| failed = Some(why)).is_err()
        });
        if let Some(why) = failed {
            self.warnings.warn(&format_args!("journal: {why}; calls wait until attempts can be recorded"));
        }
        unrecorded.iter().for_each(|i| self.report_end(endpoint, i, Outcome::NotSent.into()));
    }

    /// Asks the replicas for their consent to these attempts; attempts without it are not made. Returns
    /// whether that took time.
    async fn request_consent(&self, endpoint: EndpointId, waiting: &RefCell<Vec<CallItem>>) -> bool {
        let Some(copies) = &self.copies else { return false };
        let all: Vec<(MessageId, u32)> = waiting.borrow().iter().map(|i| (i.id, i.attempt)).collect();
        let asked: Vec<_> =
            all.into_iter().map(|a| (a, copies.request_consent(a.0, a.1, endpoint.0))).collect();
        let waits = asked.iter().any(|a| matches!(a.1, AttemptConsent::Pending(_)));
        let refused = copies.await_consents(asked).await;
        for item in remove_matching(waiting, |i| refused.contains(&(i.id, i.attempt))) {
            self.report_end(endpoint, &item, Outcome::Moot.into());
            let _ = self.inputs.send(Input::ConsentDenied(item.id));
        }
        waits
    }

    /// Waits until the time for the rest of a response that has begun is over.
    async fn response_overdue(&self, call: &Call, progress: &Progress) {
        loop {
            let Some(since) = progress.response_awaited_since() else {
                progress.received_more.notified().await;
                continue;
            };
            let until =
                since + if self.is_settled(call) { SETTLED_RESPONSE_TIMEOUT } else { RESPONSE_TIMEOUT };
            tokio::select! {
                biased;
                () = progress.received_more.notified() => {}
                () = sleep_until(until) => return,
            }
        }
    }
}
