//! Reads the response to a call: the outcome of each of its messages.

use super::error::CallError;
use super::progress::Progress;
use crate::http_options::announces_close;
use crate::state::record::RequestId;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Response, StatusCode};
use notchpoint_policy::*;
use std::collections::BTreeMap;

/// Longest body of a response: it has at most one line for each message of a batch.
const MAX_BODY_BYTES: usize = 64 << 10;

/// How an attempt ended, and what the response reported with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    pub outcome: Outcome,
    /// The message needs no further attempt.
    pub is_final: bool,
    pub allowance: Option<Allowance>,
}

impl From<Outcome> for AttemptEnd {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, is_final: outcome == Outcome::Served, allowance: None }
    }
}

/// The result of a call: one for all messages, or one for each of them. A message without a result may have
/// run.
pub(super) enum CallResult {
    SameForAll(AttemptEnd),
    PerMessage(BTreeMap<RequestId, AttemptEnd>),
}

/// A response that was read completely.
pub(super) struct CallResponse {
    pub(super) result: CallResult,
    /// The endpoint announces that it closes the connection.
    pub(super) closes: bool,
    /// The connection may carry another call. That holds only after a 200, so that no copy of a refusal can
    /// be taken for the response to that call.
    pub(super) is_reusable: bool,
}

/// Reads the complete response. It fails if the response does not arrive or cannot be read.
pub(super) async fn read_response(
    response: impl Future<Output = hyper::Result<Response<Incoming>>>,
    is_batch: bool,
    progress: &Progress,
) -> Result<CallResponse, CallError> {
    let response = response.await.map_err(|_| CallError::Broken)?;
    if progress.received.borrow().early {
        // It began before the request was written completely, so it is left over from an earlier call.
        return Err(CallError::Broken);
    }
    let closes = announces_close(response.headers());
    let is_ok = response.status() == StatusCode::OK;
    let (end, wait) = (read_status(&response), read_wait(response.headers()));
    let length = response.body().size_hint().exact();
    let body =
        Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await.map_err(|_| CallError::Broken)?;
    let body = body.to_bytes();
    let has_excess = length.is_some_and(|n| progress.has_excess_bytes(n));
    let result = if is_batch && is_ok {
        CallResult::PerMessage(read_batch(&body, wait, end.allowance))
    } else {
        CallResult::SameForAll(end)
    };
    Ok(CallResponse { result, closes, is_reusable: is_ok && !closes && !has_excess })
}

fn read_status(response: &Response<Incoming>) -> AttemptEnd {
    let headers = response.headers();
    let no_slot = headers.get("X-No-Slot").is_some_and(|v| v == "1");
    let (outcome, is_final) = match response.status().as_u16() {
        200 => (Outcome::Served, true),
        503 if no_slot => (Outcome::Moot, false),
        429 | 503 => (Outcome::Full { wait: read_wait(headers) }, false),
        504 | 413 => (Outcome::Moot, false),
        410 => (Outcome::Moot, true),
        other => {
            if other != 500 {
                tracing::warn!("an endpoint responded with unexpected status {other}");
            }
            (Outcome::Failed, false)
        }
    };
    AttemptEnd { outcome, is_final, allowance: read_allowance(headers) }
}

/// Reads `Retry-After` in seconds with decimals, rounded up to a microsecond. Waits are capped at one day.
fn read_wait(headers: &HeaderMap) -> Option<Micros> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds > 0.0).then(|| (seconds.min(86_400.0) * 1e6).ceil() as Micros)
}

/// Reads `X-Server-Load`, which has the form `TEXT x0=0.4, x1=25`.
fn read_allowance(headers: &HeaderMap) -> Option<Allowance> {
    let text = headers.get("X-Server-Load")?.to_str().ok()?;
    let field = |name: &str| {
        let pairs = text.split([' ', ',']).filter_map(|pair| pair.split_once('='));
        pairs.filter(|(n, _)| *n == name).find_map(|(_, v)| v.parse::<f64>().ok())
    };
    Some(Allowance { left: field("x0")?, limit: field("x1")? })
}

/// Reads the body of the response to a batch: one line with the id and the result of each message.
pub(super) fn read_batch(
    body: &[u8],
    wait: Option<Micros>,
    allowance: Option<Allowance>,
) -> BTreeMap<RequestId, AttemptEnd> {
    let mut ends = BTreeMap::new();
    for line in String::from_utf8_lossy(body).lines() {
        let mut words = line.split_ascii_whitespace();
        let (Some(id), Some(word)) = (words.next(), words.next()) else { continue };
        let Ok(id) = u64::from_str_radix(id, 16) else { continue };
        let outcome = match word {
            "done" => Outcome::Served,
            "failed" => Outcome::Failed,
            "busy" => Outcome::Full { wait },
            "void" | "used_up" => Outcome::Moot,
            _ => continue,
        };
        let is_final = matches!(word, "done" | "void");
        // If a message appears twice, the first line counts.
        ends.entry(RequestId(id)).or_insert(AttemptEnd { outcome, is_final, allowance });
    }
    ends
}
