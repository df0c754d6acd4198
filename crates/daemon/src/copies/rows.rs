//! Messages and rows of copies between the journal's form and the decisions'.

use crate::state::journal::{CopyRow, Journal, OpenMessage, Verdict};
use crate::state::record::Attempt;
use notchpoint_copies::{Change, Id, Ledger, Record, Tried};
use notchpoint_policy::{EndpointId, MessageId};

/// A message as copies of it are kept.
pub fn record(open: &OpenMessage, careful: bool) -> Record {
    let tried = |a: &Attempt| Tried {
        number: a.number,
        endpoint: a.endpoint.0,
        at: a.started_at,
        never_ran: a.never_ran,
    };
    Record {
        class: open.class.clone(),
        tenant: open.tenant.clone(),
        dest: open.dest,
        deadline: open.deadline,
        body: open.body.clone(),
        careful,
        sure: open.is_confirmed,
        tried: open.attempts.iter().map(tried).collect(),
        verdict: open.verdict.map(told),
        idempotency_key: open.idempotency_key.clone(),
    }
}

/// A copy as the journal holds messages.
pub fn open(record: &Record) -> OpenMessage {
    let attempt = |t: &Tried| Attempt {
        number: t.number,
        endpoint: EndpointId(t.endpoint),
        started_at: t.at,
        never_ran: t.never_ran,
    };
    let mut attempts: Vec<Attempt> = record.tried.iter().map(attempt).collect();
    attempts.sort_by_key(|a| a.number);
    let verdict = record.verdict.map(|v| match v {
        notchpoint_copies::Verdict::Dead => Verdict::Dead,
        notchpoint_copies::Verdict::Bounced(wait) => Verdict::Bounced(wait),
    });
    let (deadline, body) = (record.deadline, record.body.clone());
    // It was promised by whoever kept copies of it.
    OpenMessage {
        attempts,
        verdict,
        is_confirmed: true,
        idempotency_key: record.idempotency_key.clone(),
        ..OpenMessage::new(&record.class, &record.tenant, record.dest, deadline, body)
    }
}

pub fn told(verdict: Verdict) -> notchpoint_copies::Verdict {
    match verdict {
        Verdict::Dead => notchpoint_copies::Verdict::Dead,
        Verdict::Bounced(wait) => notchpoint_copies::Verdict::Bounced(wait),
    }
}

/// The folder, as the decisions write to it.
pub struct Rows<'a>(pub &'a mut Journal);

fn rows(changes: &[Change]) -> impl Iterator<Item = CopyRow<'_>> {
    changes.iter().map(|c| (c.key.as_slice(), c.value.as_deref()))
}

impl Ledger for Rows<'_> {
    fn write(&mut self, changes: &[Change]) -> bool {
        // Why is said by whoever is refused something over it.
        self.0.write_copies(rows(changes)).is_ok()
    }

    fn adopt(&mut self, id: Id, record: &Record, changes: &[Change]) -> bool {
        self.0.adopt(MessageId(id.0), open(record), rows(changes)).is_ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_is_the_same_once_it_was_a_copy() {
        let mut message = OpenMessage::new("payment", "acme", 3, 1_000, vec![7; 9].into());
        message.idempotency_key = "k-1".into();
        for (number, never_ran) in [(0, true), (1, false)] {
            message.attempts.push(Attempt { number, endpoint: EndpointId(4), started_at: 9, never_ran });
        }
        for verdict in [None, Some(Verdict::Dead), Some(Verdict::Bounced(250))] {
            message.verdict = verdict;
            assert_eq!(open(&record(&message, true)), message);
        }
    }
}
