//! Descriptions of rows for operators.

use crate::copy_store::StoredCopy;
use crate::ids::{Instance, Key, WitnessGroup};
use crate::ledger::{Incarnations, LocalState, Placement, Row, decode};
use crate::record::AttemptRecord;
use crate::witness::WitnessEntry;

fn describe_instance(instance: Instance) -> String {
    format!("sender {:016x}, incarnation {:016x}", instance.peer.0, instance.incarnation.0)
}

fn describe_group(group: WitnessGroup) -> String {
    format!("{}, epoch {}", describe_instance(group.owner), group.epoch)
}

fn describe_message(key: Key) -> String {
    format!("{} in the group of {}", key.id, describe_group(key.group))
}

fn describe_attempts(all: &[AttemptRecord]) -> String {
    let ran = all.iter().filter(|attempt| !attempt.never_ran).count();
    format!("{} attempts known, {ran} of which may have run", all.len())
}

/// Returns the description of a row: to which message and owner it belongs, in which term, and what is known
/// of attempts. Senders are identified by the hash of their names. Returns `None` if the row cannot be
/// decoded. Without a value, the description names the row only.
pub fn describe_row(key: &[u8], value: Option<&[u8]>) -> Option<String> {
    let row: Row = decode(key)?;
    let Some(value) = value else {
        return Some(match row {
            Row::LocalState => "state of this sender".to_owned(),
            Row::PeerIncarnations(peer) => format!("incarnations of sender {:016x}", peer.0),
            Row::Placement(local_id) => format!("group of {local_id}, owned here"),
            Row::Copy(key) => format!("copy of {}", describe_message(key)),
            Row::CopyAcknowledged(key) => format!("acknowledgement of {}", describe_message(key)),
            Row::WitnessGroup(group) => format!("witness for {}", describe_group(group)),
            Row::WitnessEntry(key) => format!("attempts and claims of {}", describe_message(key)),
        });
    };
    Some(match row {
        Row::LocalState => {
            let local: LocalState = decode(value)?;
            format!(
                "this sender is {}; {} witnesses have registered its epoch {}",
                describe_instance(local.instance),
                local.confirmed_by.len(),
                local.epoch
            )
        }
        Row::PeerIncarnations(peer) => {
            let incarnations: Incarnations = decode(value)?;
            let (current, retired) = (incarnations.current.0, incarnations.retired.len());
            format!(
                "sender {:016x} is in incarnation {current:016x}; {retired} earlier ones are over",
                peer.0
            )
        }
        Row::Placement(local_id) => {
            let placement: Placement = decode(value)?;
            format!(
                "{local_id}, owned here, is in the group of {}, term {}",
                describe_group(placement.group),
                placement.term
            )
        }
        Row::Copy(key) => {
            let copy: StoredCopy = decode(value)?;
            let (owner, attempts) = (describe_instance(copy.owner), describe_attempts(&copy.record.attempts));
            format!("copy of {}; owner {owner}, term {}; {attempts}", describe_message(key), copy.term)
        }
        Row::CopyAcknowledged(key) => format!("{} may be acknowledged to its client", describe_message(key)),
        Row::WitnessGroup(group) => {
            let closed: bool = decode(value)?;
            format!("witness for {}{}", describe_group(group), if closed { ", closed" } else { "" })
        }
        Row::WitnessEntry(key) => {
            let entry: WitnessEntry = decode(value)?;
            let (owner, attempts) = (describe_instance(entry.owner), describe_attempts(&entry.attempts));
            let end = if entry.ended { "; ended" } else { "" };
            format!("{}: {owner} owns it in term {}; {attempts}{end}", describe_message(key), entry.term)
        }
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::{Epoch, FIRST_TERM, Id, Incarnation, Peer};
    use crate::ledger::put_row;

    #[test]
    fn a_description_names_message_epoch_term_and_attempts() {
        let by = Instance { peer: Peer::from_name("n1"), incarnation: Incarnation(7) };
        let key = Key { group: WitnessGroup { owner: by, epoch: Epoch(2) }, id: Id(10) };
        let attempts = vec![AttemptRecord { number: 0, endpoint: 1, at: 5, never_ran: false }];
        let entry = WitnessEntry {
            term: FIRST_TERM,
            owner: by,
            previous_claims: vec![],
            round: 0,
            attempts,
            moved: None,
            ended: true,
        };
        let row = put_row(Row::WitnessEntry(key), &entry);
        let text = describe_row(&row.key, row.value.as_deref()).expect("sound");
        for part in ["000000000000000a", "epoch 2", "term 1", "1 of which may have run", "ended"] {
            assert!(text.contains(part), "{part}: {text}");
        }
        assert!(describe_row(&row.key, None).is_some_and(|s| s.starts_with("attempts and claims")));
        assert_eq!(describe_row(&[250], None), None);
        assert_eq!(describe_row(&row.key, Some(&[])), None);
    }
}
