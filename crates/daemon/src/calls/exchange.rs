//! One call: what is looked at before its first byte, the request, and the wait for its answer.

use super::answer::{Answer, read_answer};
use super::call::{Call, take};
use super::error::CallError;
use super::pool::Connection;
use super::progress::Progress;
use super::{Calls, Item};
use crate::copies::service::AttemptConsent;
use crate::input::Input;
use bytes::Bytes;
use http_body_util::Full as Body;
use hyper::Request;
use hyper::header::{CONTENT_LENGTH, HOST};
use notchpoint_policy::*;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// An attempt whose record is not safe by then is not made.
const SAFE_WITHIN: Duration = Duration::from_secs(1);
/// An answer comes in one piece. What is not there so long after its first byte, a lost packet's second try
/// included, does not come.
const WHOLE: Duration = Duration::from_millis(500);
/// Where its first line has settled the call, the rest is only waited for to keep the connection.
const REST: Duration = Duration::from_millis(50);

impl Calls {
    /// The call itself. An error is a connection that failed; how far the request got tells what that means.
    pub(super) async fn exchange(
        &self,
        endpoint: EndpointId,
        mut used: Option<Connection>,
        call: &Call,
    ) -> Result<Answer, CallError> {
        let Call { started, waiting, connection, progress, .. } = call;
        let moot = Ok(Answer::Alike(Outcome::Moot.into()));
        let Some(target) = self.target(endpoint) else {
            if let Some(conn) = used {
                self.release(endpoint, conn).await;
            }
            return moot;
        };
        // Looked at once more: what came on it since it was chosen would pass for this call's answer.
        if let Some(unfit) = used.take_if(|c| !c.is_fit()) {
            unfit.close().await;
        }
        let (mut recorded, mut asked) = (None, self.copies.is_none());
        loop {
            let reused = used.is_some();
            let mut conn = match used.take() {
                Some(c) => c,
                None => self.connect(target.address).await?,
            };
            // Connecting takes time: the list or a wait may have closed the door meanwhile, or messages be
            // over.
            if self.target(endpoint).is_none_or(|t| t.address != target.address) {
                conn.close().await;
                return moot;
            }
            let is_open = |i: &Item| self.journal.borrow().get(i.id).is_some_and(|m| m.verdict.is_none());
            let gone = take(waiting, |i| !is_open(i));
            gone.iter().for_each(|i| self.report(endpoint, i, Outcome::Moot.into()));
            if recorded.is_none() {
                self.record_attempts(endpoint, waiting);
            }
            // An attempt's record comes before its first byte, on whatever it is to outlast.
            let mark = *recorded.get_or_insert_with(|| self.durability.log_end());
            if !self.durability.is_durable(&mark) {
                if !self.durability.wait_until_durable(&mark, SAFE_WITHIN).await {
                    self.release(endpoint, conn).await;
                    return Ok(Answer::Alike(Outcome::NotSent.into()));
                }
                // That took time: all is looked at again.
                used = Some(conn);
                continue;
            }
            if !std::mem::replace(&mut asked, true) {
                match self.ask_others(endpoint, waiting).await {
                    // That took time: all is looked at again.
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
            // Nothing waits from here to the first byte: what came too late for it is not begun.
            let now = Instant::now();
            let ends = self.last_start.get().is_some_and(|last| now >= last);
            let unfit = |i: &Item| i.proven_only && !conn.answered;
            let late = take(waiting, |i| ends || now >= *started + i.within || unfit(i));
            late.iter().for_each(|i| self.report(endpoint, i, Outcome::Moot.into()));
            if waiting.borrow().is_empty() {
                self.release(endpoint, conn).await;
                return moot;
            }
            let over_at = self.lead(&mut waiting.borrow_mut());
            call.begin(over_at);
            let sent = waiting.borrow().clone();
            let Some(request) = request(target.address, &sent, started.elapsed(), &conn.progress) else {
                self.release(endpoint, conn).await;
                return moot;
            };
            let passed = conn.progress.clone();
            *progress.borrow_mut() = Some(passed.clone());
            let response = conn.sender.send_request(request);
            *connection.borrow_mut() = Some(conn);
            let answer = tokio::select! {
                biased;
                answer = read_answer(response, sent.len() > 1, &passed) => answer,
                () = self.overdue(call, &passed) => Err(CallError::Broken),
            };
            match answer {
                Ok(_) if !self.is_settled(call) && call.is_over() => {
                    return Ok(Answer::Alike(Outcome::TimedOut.into()));
                }
                Ok((answer, keep)) => {
                    let conn = connection.borrow_mut().take();
                    if let Some(mut conn) = conn.filter(|_| keep) {
                        conn.answered = true;
                        self.release(endpoint, conn).await;
                    }
                    return Ok(answer);
                }
                // Closed in the very moment of its use: it says nothing of how a new connection would fare.
                Err(_) if reused && !passed.complete() => {
                    let old = connection.borrow_mut().take();
                    if let Some(old) = old {
                        old.close().await;
                    }
                }
                Err(why) => return Err(why),
            }
        }
    }

    /// Records these attempts. One without a record is not made, also where its message may be repeated:
    /// after a restart nobody would know of it, and its message could have more attempts than it may.
    fn record_attempts(&self, endpoint: EndpointId, waiting: &RefCell<Vec<Item>>) {
        let mut failed = None;
        let unrecorded = take(waiting, |i| {
            let recorded = self.journal.borrow_mut().record_attempt(i.id, i.attempt, endpoint);
            recorded.map_err(|why| failed = Some(why)).is_err()
        });
        if let Some(why) = failed {
            self.trouble.warn(&format_args!("journal: {why}; calls wait until attempts can be recorded"));
        }
        unrecorded.iter().for_each(|i| self.report(endpoint, i, Outcome::NotSent.into()));
    }

    /// Asks the keepers of copies for their consent to these attempts; those without it are not made. Whether
    /// that took time.
    async fn ask_others(&self, endpoint: EndpointId, waiting: &RefCell<Vec<Item>>) -> bool {
        let Some(copies) = &self.copies else { return false };
        let all: Vec<(MessageId, u32)> = waiting.borrow().iter().map(|i| (i.id, i.attempt)).collect();
        let asked: Vec<_> =
            all.into_iter().map(|a| (a, copies.request_consent(a.0, a.1, endpoint.0))).collect();
        let waits = asked.iter().any(|a| matches!(a.1, AttemptConsent::Pending(_)));
        let refused = copies.await_consents(asked).await;
        for item in take(waiting, |i| refused.contains(&(i.id, i.attempt))) {
            self.report(endpoint, &item, Outcome::Moot.into());
            let _ = self.inputs.send(Input::ConsentDenied(item.id));
        }
        waits
    }

    /// Ends once no more of an answer that has begun is to be waited for.
    async fn overdue(&self, call: &Call, passed: &Progress) {
        loop {
            let since = passed.came.borrow().since;
            let Some(since) = since else {
                passed.news.notified().await;
                continue;
            };
            let until = since + if self.is_settled(call) { REST } else { WHOLE };
            tokio::select! {
                biased;
                () = passed.news.notified() => {}
                () = sleep_until(until) => return,
            }
        }
    }
}

fn request(
    host: SocketAddr,
    items: &[Item],
    elapsed: Duration,
    progress: &Progress,
) -> Option<Request<Body<Bytes>>> {
    let patience = items.iter().map(|i| i.timeout).max()?.saturating_sub(elapsed).as_millis().max(1) as u64;
    let builder = Request::post(if items.len() > 1 { "/v1/messages:batch" } else { "/v1/messages" })
        .header(HOST, host.to_string())
        .header("X-Timeout-Ms", patience);
    let (builder, body) = match items {
        [one] => {
            let builder = builder.header("X-Request-ID", format!("{:016x}", one.id.0));
            let key = Some(&one.idempotency_key).filter(|key| !key.is_empty());
            (key.into_iter().fold(builder, |b, key| b.header("Idempotency-Key", key)), one.body.clone())
        }
        many => {
            let mut lines = Vec::new();
            for i in many {
                let key = if i.idempotency_key.is_empty() { "-" } else { &i.idempotency_key };
                lines.extend(format!("{:016x} {key} {}\r\n", i.id.0, i.body.len()).into_bytes());
                lines.extend(&i.body);
                lines.extend(b"\r\n");
            }
            (builder, lines.into())
        }
    };
    progress.expect(body.len());
    builder.header(CONTENT_LENGTH, body.len()).body(Body::new(body)).ok()
}
