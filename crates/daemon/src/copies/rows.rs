//! Conversion of messages and rows between the journal and `notchpoint_copies`.

use crate::settings::active::ActiveSettings;
use crate::settings::copied_class;
use crate::state::journal::{CopyRow, Journal, OpenMessage, RequestId, Verdict};
use crate::state::record::Attempt;
use notchpoint_copies::{AdoptedMessage, AttemptRecord, Change, Id, Ledger, LocalId, Record};
use notchpoint_policy::{EndpointId, MessageId};
use std::cell::RefCell;

/// Converts a message of the journal to the record that copies store.
pub fn to_record(open: &OpenMessage, active_settings: &ActiveSettings) -> Record {
    let attempt = |a: &Attempt| AttemptRecord {
        number: a.number,
        endpoint: a.endpoint.0,
        at: a.started_at,
        never_ran: a.never_ran,
    };
    Record {
        class: copied_class::describe(&active_settings.classes, &open.class),
        tenant: open.tenant.clone(),
        dest: open.dest,
        deadline: open.deadline,
        body: open.body.clone(),
        at_most_once: active_settings.counts_as_at_most_once(&open.class),
        acknowledged: open.is_confirmed,
        attempts: open.attempts.iter().map(attempt).collect(),
        verdict: open.verdict.map(to_copies_verdict),
        idempotency_key: open.idempotency_key.clone(),
    }
}

/// Converts the record of a copy to a message of the journal, with this tag of its class.
pub fn to_open_message(record: &Record, class: &str) -> OpenMessage {
    let attempt = |a: &AttemptRecord| Attempt {
        number: a.number,
        endpoint: EndpointId(a.endpoint),
        started_at: a.at,
        never_ran: a.never_ran,
    };
    let mut attempts: Vec<Attempt> = record.attempts.iter().map(attempt).collect();
    attempts.sort_by_key(|a| a.number);
    let verdict = record.verdict.map(|v| match v {
        notchpoint_copies::Verdict::Dead => Verdict::Dead,
        notchpoint_copies::Verdict::Bounced(wait) => Verdict::Bounced(wait),
    });
    let (deadline, body) = (record.deadline, record.body.clone());
    // A message that is taken over may have been acknowledged by its earlier owner.
    OpenMessage {
        attempts,
        verdict,
        is_confirmed: true,
        idempotency_key: record.idempotency_key.clone(),
        ..OpenMessage::new(class, &record.tenant, record.dest, deadline, body)
    }
}

/// Converts a final status of the journal to that of copies.
pub fn to_copies_verdict(verdict: Verdict) -> notchpoint_copies::Verdict {
    match verdict {
        Verdict::Dead => notchpoint_copies::Verdict::Dead,
        Verdict::Bounced(wait) => notchpoint_copies::Verdict::Bounced(wait),
    }
}

/// Writes the rows of the replication state machine to the journal.
pub struct JournalLedger<'a> {
    pub journal: &'a mut Journal,
    pub active_settings: &'a RefCell<ActiveSettings>,
}

impl JournalLedger<'_> {
    /// Returns the tag of the class of a copy, whose definition the store has. If this sender can have no
    /// such class, returns the description in the copy, with which the message is ended.
    fn store_class(&mut self, record: &Record) -> Option<String> {
        let found = self.active_settings.borrow().class_of_copy(&record.class, record.at_most_once);
        let Some((tag, added)) = found else { return Some(record.class.clone()) };
        if let Some(added) = added {
            self.journal.update_classes(std::slice::from_ref(&added.change)).ok()?;
            self.active_settings.borrow_mut().add_class(added);
        }
        Some(tag)
    }
}

fn rows(changes: &[Change]) -> impl Iterator<Item = CopyRow<'_>> {
    changes.iter().map(|c| (c.key.as_slice(), c.value.as_deref()))
}

impl Ledger for JournalLedger<'_> {
    fn write(&mut self, changes: &[Change]) -> bool {
        // The error is dropped: the replicator logs that a write failed, or rejects the request that depends
        // on it.
        self.journal.write_copies(rows(changes)).is_ok()
    }

    fn free_local_id(&self, id: Id) -> LocalId {
        LocalId(self.journal.free_id(RequestId(id.0)).0)
    }

    fn adopt(&mut self, adopted: AdoptedMessage<'_>, changes: &[Change]) -> bool {
        let id = MessageId(adopted.local_id.0);
        let Some(class) = self.store_class(adopted.record) else { return false };
        let mut message = to_open_message(adopted.record, &class);
        if adopted.id.0 != id.0 {
            tracing::info!(
                "copies: message {} is taken over as {}, its id is in use",
                adopted.id,
                adopted.local_id
            );
            message.request_id = Some(RequestId(adopted.id.0));
        }
        self.journal.adopt(id, message, rows(changes)).is_ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::config;
    use std::collections::{BTreeMap, BTreeSet};

    #[test]
    fn a_message_survives_the_conversion_to_a_copy_and_back() {
        let config = config::read(config::tests::TEXT).expect("a valid configuration");
        let active_settings = ActiveSettings::new(&config, &BTreeMap::new(), &BTreeSet::new()).0;
        let mut message = OpenMessage::new("payment", "acme", 3, 1_000, vec![7; 9].into());
        message.idempotency_key = "k-1".into();
        for (number, never_ran) in [(0, true), (1, false)] {
            message.attempts.push(Attempt { number, endpoint: EndpointId(4), started_at: 9, never_ran });
        }
        for verdict in [None, Some(Verdict::Dead), Some(Verdict::Bounced(250))] {
            message.verdict = verdict;
            assert_eq!(to_open_message(&to_record(&message, &active_settings), "payment"), message);
        }
    }
}
