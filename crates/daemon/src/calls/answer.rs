//! What an answer says of each message of its call.

use super::error::CallError;
use super::progress::Progress;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderMap, RETRY_AFTER};
use hyper::{Response, StatusCode};
use notchpoint_policy::*;
use std::collections::BTreeMap;

/// An answer's body tells at most a line for each message of a batch.
const ANSWER: usize = 64 << 10;

/// One outcome, and what came with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct End {
    pub outcome: Outcome,
    pub over: bool,
    pub allowance: Option<Allowance>,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, over: outcome == Outcome::Served, allowance: None }
    }
}

/// What a call came to: for all alike, or for each message (what is not named may have run).
pub(super) enum Answer {
    Alike(End),
    Each(BTreeMap<MessageId, End>),
}

/// The answer, once it has come whole, and whether its connection may carry another call. An error is one
/// that does not come, or cannot be read.
pub(super) async fn read_answer(
    response: impl Future<Output = hyper::Result<Response<Incoming>>>,
    batch: bool,
    passed: &Progress,
) -> Result<(Answer, bool), CallError> {
    let response = response.await.map_err(|_| CallError::Broken)?;
    if passed.came.borrow().early {
        // Nothing waited for it: it is left over from an earlier call, and what is said is not meant for
        // this.
        return Err(CallError::Broken);
    }
    let keep = !closes(&response);
    let each = batch && response.status() == StatusCode::OK;
    let (end, wait) = (read_status(&response), read_wait(response.headers()));
    let length = response.body().size_hint().exact();
    let body = Limited::new(response.into_body(), ANSWER).collect().await.map_err(|_| CallError::Broken)?;
    let body = body.to_bytes();
    let keep = keep && !length.is_some_and(|n| passed.has_more(n));
    let answer = if each { Answer::Each(read_batch(&body, wait, end.allowance)) } else { Answer::Alike(end) };
    Ok((answer, keep))
}

fn closes(response: &Response<Incoming>) -> bool {
    let said = response.headers().get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    said.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case("close"))
}

fn read_status(response: &Response<Incoming>) -> End {
    let headers = response.headers();
    let no_slot = headers.get("X-No-Slot").is_some_and(|v| v == "1");
    let (outcome, over) = match response.status().as_u16() {
        200 => (Outcome::Served, true),
        503 if no_slot => (Outcome::Moot, false),
        429 | 503 => (Outcome::Full { wait: read_wait(headers) }, false),
        504 | 413 => (Outcome::Moot, false),
        410 => (Outcome::Moot, true),
        other => {
            if other != 500 {
                tracing::warn!("an endpoint answered {other}");
            }
            (Outcome::Failed, false)
        }
    };
    End { outcome, over, allowance: read_allowance(headers) }
}

/// Seconds, with decimals; a fraction of a microsecond counts in full. Waits of over a day are not believed.
fn read_wait(headers: &HeaderMap) -> Option<Micros> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds > 0.0).then(|| (seconds.min(86_400.0) * 1e6).ceil() as Micros)
}

/// `TEXT x0=0.4, x1=25`
fn read_allowance(headers: &HeaderMap) -> Option<Allowance> {
    let text = headers.get("X-Server-Load")?.to_str().ok()?;
    let field = |name: &str| {
        let pairs = text.split([' ', ',']).filter_map(|pair| pair.split_once('='));
        pairs.filter(|(n, _)| *n == name).find_map(|(_, v)| v.parse::<f64>().ok())
    };
    Some(Allowance { left: field("x0")?, limit: field("x1")? })
}

pub(super) fn read_batch(
    body: &[u8],
    wait: Option<Micros>,
    allowance: Option<Allowance>,
) -> BTreeMap<MessageId, End> {
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
        let over = matches!(word, "done" | "void");
        // Said twice, only the first word counts.
        ends.entry(MessageId(id)).or_insert(End { outcome, over, allowance });
    }
    ends
}
