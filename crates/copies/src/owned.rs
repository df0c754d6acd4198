//! Messages that this sender owns: where their copies are, whether they are committed, and the consents to
//! their attempts.

use crate::ids::{FIRST_TERM, Id, Incarnation, Instance, Key, LocalId, Micros, Peer, Term, WitnessGroup};
use crate::membership::Membership;
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet};

/// The number of ends that replicas may not have acknowledged. Beyond it the oldest is not sent again, and
/// its copies are deleted after their deadline.
const MAX_PENDING_ENDS: usize = 65_536;

/// The state of a replica that was asked to store a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaStatus {
    /// It has not answered since this time.
    Pending(Micros),
    /// It has taken longer than usual, so that another replica was asked as well. It may still answer.
    Late,
    /// It rejected the copy.
    Rejected,
    /// It has stored the copy.
    Stored,
    /// It may or may not have a copy, and can be asked again.
    Unknown,
}

/// A message that this sender owns.
#[derive(Debug)]
pub(crate) struct OwnedMessage {
    /// The identifier that its client assigned.
    pub id: Id,
    pub group: WitnessGroup,
    pub term: Term,
    pub record: Record,
    /// All senders that may have a copy, with their incarnation.
    pub replicas: BTreeMap<Peer, (Incarnation, ReplicaStatus)>,
    /// Whether the message is committed. Until then its client is waiting, the message may be withdrawn, and
    /// it is not attempted.
    pub committed: bool,
    /// Whether it was reported that there are too few replicas.
    pub shortage_reported: bool,
    /// Whether there may be unknown copies: at replicas of an earlier process, or in an earlier group.
    pub recovered: bool,
    /// Whether any witness was asked for consent.
    pub consent_requested: bool,
    /// The owners of this message in later terms, by the witness that reported each.
    pub claimants: BTreeMap<Peer, (Instance, Term)>,
    /// The group to which it is being moved, when the witnesses were last asked, and those that have recorded
    /// the move.
    pub pending_move: Option<(WitnessGroup, Micros, BTreeSet<Peer>)>,
    /// Its copies in earlier groups: its key and term there, and the senders that may have one.
    pub previous_groups: Vec<(Key, Term, BTreeSet<Peer>)>,
    /// When replicas were last requested.
    pub replicas_requested_at: Micros,
}

impl OwnedMessage {
    pub fn new(key: Key, term: Term, record: Record) -> Self {
        Self {
            id: key.id,
            group: key.group,
            term,
            record,
            replicas: BTreeMap::new(),
            committed: false,
            shortage_reported: false,
            recovered: false,
            consent_requested: false,
            claimants: BTreeMap::new(),
            pending_move: None,
            previous_groups: Vec::new(),
            replicas_requested_at: 0,
        }
    }

    pub fn key(&self) -> Key {
        Key { group: self.group, id: self.id }
    }

    /// Whether its client is waiting for its commit, and has not been refused yet.
    pub fn awaits_commit(&self) -> bool {
        !self.committed && !self.shortage_reported
    }

    pub fn pending_replicas(&self) -> usize {
        self.replicas.values().filter(|replica| matches!(replica.1, ReplicaStatus::Pending(_))).count()
    }

    /// Whether any replica that was asked may still answer.
    pub fn awaits_replica(&self) -> bool {
        let may_answer =
            |status: ReplicaStatus| matches!(status, ReplicaStatus::Pending(_) | ReplicaStatus::Late);
        self.replicas.values().any(|replica| may_answer(replica.1))
    }

    /// Returns whether this attempt may only be made once a quorum of witnesses has recorded it. A message
    /// that may be repeated needs no consent for the first half of its attempts. The other half is left for a
    /// new owner, so that all owners together stay under the limit.
    pub fn needs_consent(&self, number: u32, max_attempts: u32) -> bool {
        self.record.at_most_once || self.term > FIRST_TERM || number >= attempts_without_consent(max_attempts)
    }
}

/// Returns the number of attempts that a first owner may make without consent.
pub(crate) fn attempts_without_consent(max_attempts: u32) -> u32 {
    max_attempts.div_ceil(2)
}

/// The answers of witnesses to a request for consent to an attempt.
#[derive(Debug, Default)]
pub(crate) struct PendingConsent {
    pub granted_by: BTreeSet<Peer>,
    pub refused_by: BTreeSet<Peer>,
    /// Whether enough witnesses have consented, so that the attempt was granted.
    pub granted: bool,
}

impl PendingConsent {
    /// Returns the number of witnesses that must consent. The same number must record a move: every later
    /// claim in that group then reaches one of them.
    pub fn quorum(membership: &Membership, message: &OwnedMessage) -> usize {
        if message.term == FIRST_TERM {
            membership.attempt_quorum()
        } else {
            membership.claim_quorum(message.group)
        }
    }
}

/// The end of a message that some senders have not acknowledged yet.
#[derive(Debug)]
pub(crate) struct PendingEnd {
    pub term: Term,
    /// Replicas and witnesses that have not acknowledged it.
    pub unacknowledged_by: BTreeSet<Peer>,
    /// Whether the witnesses may delete their entries once all have acknowledged it.
    pub forget: bool,
}

/// All messages that this sender owns.
#[derive(Debug, Default)]
pub(crate) struct OwnedMessages {
    pub messages: BTreeMap<LocalId, OwnedMessage>,
    /// The messages whose local identifier is not the one that their client assigned.
    renamed: BTreeSet<(Id, LocalId)>,
    pub consents: BTreeMap<(LocalId, u32), PendingConsent>,
    pub pending_ends: BTreeMap<Key, PendingEnd>,
    /// The keys of the pending ends, the oldest first.
    order: std::collections::VecDeque<Key>,
    /// When pending replicas count as late.
    pub replica_timeouts: BTreeSet<(Micros, LocalId)>,
}

impl OwnedMessages {
    pub fn insert(&mut self, local_id: LocalId, message: OwnedMessage) {
        if message.id.0 != local_id.0 {
            self.renamed.insert((message.id, local_id));
        }
        self.messages.insert(local_id, message);
    }

    /// Removes a message and what is known of consents to its attempts.
    pub fn remove(&mut self, local_id: LocalId) -> Option<OwnedMessage> {
        let message = self.messages.remove(&local_id)?;
        self.renamed.remove(&(message.id, local_id));
        self.consents.retain(|(message_id, _), _| *message_id != local_id);
        Some(message)
    }

    /// Returns the local identifier of the message with this key. A message with the same id in another group
    /// is another one, which some sender has accepted besides.
    pub fn find(&self, key: &Key) -> Option<LocalId> {
        let renamed = self.renamed.range((key.id, LocalId(0))..=(key.id, LocalId(u64::MAX)));
        std::iter::once(LocalId(key.id.0))
            .chain(renamed.map(|(_, local_id)| *local_id))
            .find(|local_id| self.messages.get(local_id).is_some_and(|message| message.key() == *key))
    }

    /// Returns the message with this key.
    pub fn get(&self, key: &Key) -> Option<&OwnedMessage> {
        self.find(key).and_then(|local_id| self.messages.get(&local_id))
    }

    /// Returns the message with this key.
    pub fn get_mut(&mut self, key: &Key) -> Option<&mut OwnedMessage> {
        self.find(key).and_then(|local_id| self.messages.get_mut(&local_id))
    }

    /// Removes a message. Returns its key and the senders to be notified.
    pub fn end(&mut self, local_id: LocalId, witnesses: &[Peer]) -> Option<(Key, Vec<Peer>)> {
        let message = self.remove(local_id)?;
        let key = message.key();
        let mut unacknowledged_by: BTreeSet<Peer> = message.replicas.keys().copied().collect();
        if message.consent_requested || message.term > FIRST_TERM {
            unacknowledged_by.extend(witnesses);
        }
        if unacknowledged_by.is_empty() {
            return None;
        }
        let forget = message.consent_requested && message.term == FIRST_TERM && !message.recovered;
        let recipients = unacknowledged_by.iter().copied().collect();
        self.add_pending_end(key, PendingEnd { term: message.term, unacknowledged_by, forget });
        Some((key, recipients))
    }

    /// Adds an end of which senders are to be notified.
    pub fn add_pending_end(&mut self, key: Key, end: PendingEnd) {
        self.pending_ends.insert(key, end);
        self.order.push_back(key);
        while self.order.len() > MAX_PENDING_ENDS {
            if let Some(oldest) = self.order.pop_front() {
                self.pending_ends.remove(&oldest);
            }
        }
    }

    /// Records that a sender has acknowledged an end. Returns whether all have, and witnesses may delete
    /// their entries.
    pub fn acknowledge_end(&mut self, key: Key, by: Peer) -> bool {
        let Some(end) = self.pending_ends.get_mut(&key) else { return false };
        end.unacknowledged_by.remove(&by);
        if !end.unacknowledged_by.is_empty() {
            return false;
        }
        let forget = end.forget;
        self.pending_ends.remove(&key);
        while self.order.front().is_some_and(|k| !self.pending_ends.contains_key(k)) {
            self.order.pop_front();
        }
        forget
    }

    /// Returns the ends that a sender has not acknowledged.
    pub fn pending_ends_for(&self, peer: Peer) -> Vec<(Key, Term)> {
        let ends = self.pending_ends.iter().filter(|(_, end)| end.unacknowledged_by.contains(&peer));
        ends.map(|(&key, end)| (key, end.term)).collect()
    }
}
