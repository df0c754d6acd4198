//! Offers calls to a partner at a constant rate and collects the replies, for tests and plots that compare
//! the model with its parameters.

use crate::partner::IncomingMessage;
use crate::{CallId, Completion, Micros, Partner, Reply};
use std::collections::BTreeMap;

/// A call and the reply to it.
#[derive(Clone, Debug, PartialEq)]
pub struct AnsweredCall {
    /// Time at which the call was made.
    pub sent_at: Micros,
    /// Time at which it was answered.
    pub answered_at: Micros,
    /// The reply.
    pub reply: Reply,
}

impl AnsweredCall {
    /// Returns whether the message was delivered.
    pub fn is_served(&self) -> bool {
        self.reply == Reply::Status(200, None)
    }

    /// Returns whether the call was refused.
    pub fn is_refused(&self) -> bool {
        matches!(self.reply, Reply::Status(429 | 503, _))
    }
}

/// Returns a call with one message of the class `update`.
pub fn message(id: u64) -> Vec<IncomingMessage> {
    vec![IncomingMessage { id, class: "update".into(), dedup_window: None, dedup_key: id }]
}

/// Offers `rate` calls a second at equal intervals, for `seconds` from the time `from` on, to the given
/// endpoints in turn. Returns when every call that can be answered has been answered.
pub fn offer(
    partner: &mut Partner,
    endpoints: &[usize],
    from: Micros,
    seconds: f64,
    rate: f64,
) -> BTreeMap<CallId, AnsweredCall> {
    let mut answers = BTreeMap::new();
    let mut sent = BTreeMap::new();
    let mut out: Vec<Completion> = Vec::new();
    let mut collect = |out: &mut Vec<Completion>, sent: &BTreeMap<CallId, Micros>, answered_at: Micros| {
        for completion in out.drain(..) {
            if let Some(&sent_at) = sent.get(&completion.call) {
                answers
                    .insert(completion.call, AnsweredCall { sent_at, answered_at, reply: completion.reply });
            }
        }
    };
    for n in 0..(seconds * rate) as u64 {
        let at = from + (n as f64 / rate * 1e6) as Micros;
        while let Some(wake) = partner.next_wake().filter(|wake| *wake <= at) {
            partner.poll(wake, &mut out);
            collect(&mut out, &sent, wake);
        }
        let endpoint = endpoints[n as usize % endpoints.len()];
        let call = partner.receive_call(at, at, endpoint, 0, message(from + n), &mut out);
        sent.insert(call, at);
        collect(&mut out, &sent, at);
    }
    while let Some(wake) = partner.next_wake() {
        partner.poll(wake, &mut out);
        collect(&mut out, &sent, wake);
    }
    answers
}
