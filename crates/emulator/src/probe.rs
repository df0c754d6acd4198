//! Offers calls to a partner evenly and says what came of them: for tests and plots that hold a model to its
//! parameters.

use crate::partner::IncomingMessage;
use crate::{CallId, Completion, Micros, Partner, Reply};
use std::collections::BTreeMap;

/// What came of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Answered {
    /// When it was made.
    pub at: Micros,
    /// When it was answered.
    pub answered: Micros,
    /// What came back.
    pub reply: Reply,
}

impl Answered {
    /// It was delivered.
    pub fn served(&self) -> bool {
        self.reply == Reply::Status(200, None)
    }

    /// It was turned away.
    pub fn refused(&self) -> bool {
        matches!(self.reply, Reply::Status(429 | 503, _))
    }
}

/// A call with one message of the class `update`.
pub fn message(id: u64) -> Vec<IncomingMessage> {
    vec![IncomingMessage { id, class: "update".into(), dedup_window: None, dedup_key: id }]
}

/// Offers `rate` calls a second, evenly, from `from` on for so many seconds, in turn to all endpoints that
/// are named, and waits until all that can be answered is.
pub fn offer(
    partner: &mut Partner,
    endpoints: &[usize],
    from: Micros,
    seconds: f64,
    rate: f64,
) -> BTreeMap<CallId, Answered> {
    let mut answers = BTreeMap::new();
    let mut began = BTreeMap::new();
    let mut out: Vec<Completion> = Vec::new();
    let mut settle = |out: &mut Vec<Completion>, began: &BTreeMap<CallId, Micros>, answered: Micros| {
        for d in out.drain(..) {
            if let Some(&at) = began.get(&d.call) {
                answers.insert(d.call, Answered { at, answered, reply: d.reply });
            }
        }
    };
    for n in 0..(seconds * rate) as u64 {
        let at = from + (n as f64 / rate * 1e6) as Micros;
        while let Some(wake) = partner.next_wake().filter(|w| *w <= at) {
            partner.poll(wake, &mut out);
            settle(&mut out, &began, wake);
        }
        let endpoint = endpoints[n as usize % endpoints.len()];
        let call = partner.receive_call(at, at, endpoint, 0, message(from + n), &mut out);
        began.insert(call, at);
        settle(&mut out, &began, at);
    }
    while let Some(wake) = partner.next_wake() {
        partner.poll(wake, &mut out);
        settle(&mut out, &began, wake);
    }
    answers
}
