//! The replication state machine: its inputs and outputs, and the work that is done at each heartbeat.

mod links;
mod moves;
mod owned;
mod requests;
mod responses;
mod takeover;
mod ticks;

use crate::copy_store::{ClaimProgress, CopyStore, StoredCopy};
use crate::failure_detector::FailureDetector;
use crate::frame::{Frame, MAX_LIST_LEN, convert_age};
use crate::ids::{
    Epoch, FIRST_TERM, Id, Incarnation, Instance, Key, LocalId, Micros, Peer, Term, WitnessGroup,
};
use crate::ledger::{
    AdoptedMessage, Change, Incarnations, Ledger, LocalState, Placement, Row, decode, decode_copy,
    delete_row, put_row,
};
use crate::membership::Membership;
use crate::owned::{
    OwnedMessage, OwnedMessages, PendingConsent, PendingEnd, ReplicaStatus, attempts_without_consent,
};
use crate::record::{AttemptRecord, CLOSING_ATTEMPT, POSSIBLE_ATTEMPT, Record, Verdict};
use crate::witness::{ANY_ROUND, ClaimGrant, DEFAULT_WITNESS_ENTRIES, Rejection, Witness};
use notchpoint_limits::Latency;
use std::collections::{BTreeMap, BTreeSet};

/// The interval of heartbeats.
const HEARTBEAT_INTERVAL: Micros = 100_000;
/// A replica is asked last if a heartbeat has been unanswered for this time.
const SLOW_HEARTBEAT: Micros = 2 * HEARTBEAT_INTERVAL;
/// The least and the greatest time that a replica has to store a copy before another one is asked as well.
const REPLICA_TIMEOUT: std::ops::RangeInclusive<Micros> = 20_000..=100_000;
/// A link is closed if a heartbeat has been unanswered for this time.
const LINK_TIMEOUT: Micros = 15 * HEARTBEAT_INTERVAL;
/// The time for which reports of ended messages are collected before they are sent together.
const END_FLUSH_DELAY: Micros = 5_000;
/// The time after the deadline of a copy at which its owner, if it is alive, is asked about it.
const OWNER_QUERY_DELAY: Micros = 2_000_000;
/// The limit of claims, new copies, moves and ownership queries per heartbeat, each counted by itself. It
/// bounds what a link carries in addition to regular traffic.
const MAX_PER_HEARTBEAT: usize = 256;
/// The number of earlier incarnations that are kept for a peer.
const MAX_RETIRED_INCARNATIONS: usize = 16;
/// The least time between two rounds of asking for new replicas of a message.
const REPLACEMENT_INTERVAL: Micros = 100_000;
/// A gap between two inputs that is longer than this means that this process was stopped or starved.
const STALL_THRESHOLD: Micros = 3 * HEARTBEAT_INTERVAL;
/// For this time after a stall, received frames may have waited for as long as the stall took.
const STALL_AFTERMATH: Micros = 100_000;
/// If storing a copy took longer than this round trip, the time left is sent again.
const LONG_ROUND_TRIP: Micros = 50_000;
/// The time after which an incomplete move is requested again.
const MOVE_RETRY_INTERVAL: Micros = 250_000;
/// A replica does not count any more if its link has been down for this time.
const REPLICA_AWAY_TIMEOUT: Micros = 300_000;
/// Copies for which no claim was granted are deleted this long after their deadline. Operators have to deal
/// with their messages before that.
const ORPHAN_RETENTION: Micros = 600_000_000;

/// The time of an input by two clocks, one of which is monotonic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timestamps {
    /// Monotonic time, with any zero.
    pub now: Micros,
    /// Unix time.
    pub unix: Micros,
}

/// The settings of the state machine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The least time without a heartbeat after which a sender is suspected.
    pub min_silence: Micros,
    /// The limit of bytes for copies.
    pub max_copy_bytes: usize,
    /// The limit of attempts of a message over all owners.
    pub max_attempts: u32,
    /// The limit of entries of the witness, usually [`DEFAULT_WITNESS_ENTRIES`].
    pub witness_entries: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_silence: 1_500_000,
            max_copy_bytes: 64 << 20,
            max_attempts: 8,
            witness_entries: DEFAULT_WITNESS_ENTRIES,
        }
    }
}

/// An event that the state machine must handle.
#[derive(Debug)]
pub enum Input {
    /// A link to a peer is up.
    LinkUp {
        /// The instance that answered.
        instance: Instance,
        /// The number of the link. Responses on any other link are ignored.
        link: u64,
    },
    /// A link is down.
    LinkDown {
        /// The peer.
        peer: Peer,
        /// The number of the link.
        link: u64,
    },
    /// A peer that dialed this sender has sent a request.
    Request {
        /// The peer's instance.
        from: Instance,
        /// The number of the link.
        link: u64,
        /// The request.
        frame: Frame,
    },
    /// A peer that this sender dialed has responded.
    Response {
        /// The peer.
        from: Peer,
        /// The number of the link.
        link: u64,
        /// The response.
        frame: Frame,
    },
    /// A client submits a message. It is committed once enough copies are stored.
    Submit {
        /// Its id, which no open message of this sender has.
        id: Id,
        /// Its record.
        record: Record,
    },
    /// A message with too few replicas is committed nevertheless, as operators have configured it.
    CommitAnyway {
        /// The message.
        local_id: LocalId,
    },
    /// The folder holds this message from an earlier process.
    Resume {
        /// The message.
        local_id: LocalId,
        /// The id that its client assigned.
        id: Id,
        /// Its record.
        record: Record,
    },
    /// An attempt is about to be made.
    BeginAttempt {
        /// The message.
        local_id: LocalId,
        /// The attempt.
        attempt: AttemptRecord,
    },
    /// The outcome of an attempt proved that it never ran.
    NeverRan {
        /// The message.
        local_id: LocalId,
        /// The number of the attempt.
        number: u32,
    },
    /// A final status was recorded, and is being reported.
    VerdictRecorded {
        /// The message.
        local_id: LocalId,
        /// The final status.
        verdict: Verdict,
    },
    /// A message has ended here: it was delivered, reported, or withdrawn before it was committed.
    Ended {
        /// The message.
        local_id: LocalId,
    },
    /// Time has passed.
    Tick,
}

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Connect to this peer, and reconnect whenever the link ends.
    Connect(Peer),
    /// Close the link to this peer, on which no response has come for long, and connect again. After a
    /// network failure is repaired, an old connection may stay silent for minutes.
    Disconnect(Peer),
    /// Send a request on the link to a peer.
    SendRequest(Peer, Frame),
    /// Send a response on the link from a peer.
    SendResponse(Peer, Frame),
    /// The configured number of copies is stored, and the message is committed.
    Committed(LocalId),
    /// There are currently too few replicas for this message.
    TooFewReplicas(LocalId),
    /// An attempt may be made.
    AttemptGranted(LocalId, u32),
    /// An attempt must not be made now.
    AttemptRefused(LocalId, u32),
    /// This sender has taken over a message, which is in its folder.
    TakenOver(LocalId),
    /// Another sender owns the message now, and this one must stop working on it.
    OwnershipLost(LocalId),
    /// Log an event.
    Log(Event),
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This sender took over messages of a failed sender.
    MessagesTakenOver {
        /// The earlier owner.
        from: Instance,
        /// The number of messages.
        count: usize,
    },
    /// Another sender took over messages of this sender.
    MessagesGivenUp {
        /// The new owner.
        to: Instance,
        /// The number of messages.
        count: usize,
    },
    /// An instance is suspected to have failed, or a new incarnation has replaced it.
    InstanceFailed(Instance),
    /// An instance that was suspected to have failed has sent a frame or connected again.
    InstanceReachable(Instance),
    /// A link with an instance was rejected, since another incarnation has replaced it. Logged once for each.
    StaleIncarnationRejected(Instance),
    /// A witness has lost its state, so a new epoch begins.
    WitnessStateLost(Peer),
    /// A witness failed before it had registered the epoch, so a new epoch begins with other witnesses.
    WitnessReplaced(Peer),
    /// A row could not be written.
    WriteFailed,
}

/// What would be lost if as many more senders failed as there are copies of a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Redundancy {
    /// Committed messages of this sender with missing copies.
    pub missing_copies: usize,
    /// Messages that do not belong to this sender's current group: those of an earlier epoch, and those taken
    /// over.
    pub in_other_groups: usize,
    /// Copies here of messages whose owner has failed, and that are not taken over yet.
    pub unclaimed: usize,
    /// The number of witnesses of this sender's group that are connected and have registered it, and of all
    /// of them. If any are missing, a claim on messages of this sender might not be granted.
    pub witnesses: (usize, usize),
}

impl Redundancy {
    /// Returns whether nothing would be lost.
    pub fn tolerates_loss(&self) -> bool {
        (self.missing_copies, self.in_other_groups, self.unclaimed) == (0, 0, 0)
            && self.witnesses.0 == self.witnesses.1
    }
}

/// A link that this sender dials.
#[derive(Debug, Default)]
struct Link {
    /// The incarnation that answered and the number of the link, while it is up.
    up: Option<(Incarnation, u64)>,
    /// The incarnation that answered last.
    last_incarnation: Option<Incarnation>,
    /// The time at which the link went down.
    down_since: Micros,
    /// The number and time of the oldest unanswered heartbeat.
    unanswered_heartbeat: Option<(u64, Micros)>,
    response_times: Latency,
    /// The space that the peer has left for copies, as it last reported.
    free_kib: u32,
}

impl Link {
    fn is_slow(&self, now: Micros) -> bool {
        self.unanswered_heartbeat.is_some_and(|(_, at)| now.saturating_sub(at) > SLOW_HEARTBEAT)
    }
}

/// A link from a peer that dialed this sender.
#[derive(Debug)]
struct InboundLink {
    link: u64,
    failure_detector: FailureDetector,
    suspected: bool,
}

/// The replication state machine; see the documentation of the crate.
#[derive(Debug)]
pub struct Replicator {
    settings: Settings,
    membership: Membership,
    local: LocalState,
    time: Timestamps,
    started_at: Micros,
    /// Peers that have dialed this process. Others may be known from the folder.
    inbound: BTreeMap<Peer, InboundLink>,
    /// The known incarnations of other senders.
    incarnations: BTreeMap<Peer, Incarnations>,
    /// The links that this sender dials.
    links: BTreeMap<Peer, Link>,
    /// Stale incarnations whose frames were logged.
    reported_stale: BTreeSet<Instance>,
    owned: OwnedMessages,
    copies: CopyStore,
    witness: Witness,
    /// Ended messages that are to be reported, by receiver.
    unsent_ends: BTreeMap<Peer, Vec<(Key, Term)>>,
    /// The rows of acknowledged copies, which are read in any order, and applied once all rows are read.
    acknowledged_copies: Vec<Key>,
    /// Messages that were taken over, of which the earlier owners are to be notified.
    takeovers: BTreeMap<Instance, BTreeMap<Key, Term>>,
    /// Witnesses that have not yet reported which messages of this sender were claimed before it restarted.
    awaited_witnesses: BTreeSet<Peer>,
    /// The groups of messages that do not belong to the current one.
    placements: BTreeMap<LocalId, Placement>,
    /// The number of the last round of claims.
    claim_round: u64,
    /// When this process was last found to have stalled, and for how long.
    stall: (Micros, Micros),
    next_heartbeat: Micros,
    heartbeats_sent: u64,
    flush_at: Option<Micros>,
    last_tick: Micros,
    /// Whether placements of messages that are not in the folder were deleted.
    placements_cleaned: bool,
    /// The number of messages taken over since the last heartbeat, by earlier owner.
    taken_over: BTreeMap<Instance, usize>,
    /// The number of messages given up since the last heartbeat, by new owner.
    given_up: BTreeMap<Instance, usize>,
}

impl Replicator {
    /// Restores a sender from the rows of its folder. `incarnation` is used if the folder is empty.
    ///
    /// # Errors
    /// A row cannot be decoded, the folder belongs to another sender, or nothing can be written.
    pub fn new(
        membership: Membership,
        settings: Settings,
        incarnation: Incarnation,
        rows: impl Iterator<Item = (Vec<u8>, Vec<u8>)>,
        time: Timestamps,
        ledger: &mut dyn Ledger,
    ) -> Result<Self, String> {
        let instance = Instance { peer: membership.local_peer(), incarnation };
        let epoch = Epoch::FIRST;
        let witnesses = membership.witnesses(WitnessGroup { owner: instance, epoch });
        let (registered, confirmed_by) = (BTreeMap::new(), BTreeSet::new());
        let local = LocalState { instance, epoch, registered, witnesses, confirmed_by };
        let (max_copy_bytes, witness_entries) = (settings.max_copy_bytes, settings.witness_entries);
        let mut replicator = Self {
            settings,
            membership,
            local,
            time,
            started_at: time.now,
            inbound: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            links: BTreeMap::new(),
            reported_stale: BTreeSet::new(),
            owned: OwnedMessages::default(),
            copies: CopyStore::new(max_copy_bytes),
            witness: Witness::new(witness_entries),
            unsent_ends: BTreeMap::new(),
            acknowledged_copies: Vec::new(),
            takeovers: BTreeMap::new(),
            awaited_witnesses: BTreeSet::new(),
            placements: BTreeMap::new(),
            claim_round: 0,
            stall: (0, 0),
            next_heartbeat: time.now,
            heartbeats_sent: 0,
            flush_at: None,
            last_tick: time.now,
            placements_cleaned: false,
            taken_over: BTreeMap::new(),
            given_up: BTreeMap::new(),
        };
        let mut has_local_state = false;
        for (key, value) in rows {
            has_local_state |= replicator
                .restore(&key, &value)
                .ok_or_else(|| format!("copies: row {key:02x?} cannot be decoded"))?;
        }
        for key in std::mem::take(&mut replicator.acknowledged_copies) {
            replicator.copies.restore_acknowledged(&key);
        }
        if has_local_state && replicator.local.instance.peer != replicator.membership.local_peer() {
            return Err("copies: the folder belongs to a sender of another name".into());
        }
        if !has_local_state && !ledger.write(&[put_row(Row::LocalState, &replicator.local)]) {
            return Err("copies: cannot write to the folder".into());
        }
        Ok(replicator)
    }

    /// Restores a row. Returns whether it was the state of this sender, or `None` if it cannot be decoded.
    fn restore(&mut self, key: &[u8], value: &[u8]) -> Option<bool> {
        match decode::<Row>(key)? {
            Row::LocalState => {
                self.local = decode(value)?;
                return Some(true);
            }
            Row::PeerIncarnations(peer) => drop(self.incarnations.insert(peer, decode(value)?)),
            Row::Placement(local_id) => drop(self.placements.insert(local_id, decode(value)?)),
            Row::Copy(key) => self.copies.restore(key, decode_copy(value)?),
            Row::CopyAcknowledged(key) => self.acknowledged_copies.push(key),
            Row::WitnessGroup(group) => self.witness.restore_group(group, decode(value)?),
            Row::WitnessEntry(key) => self.witness.restore_entry(key, decode(value)?),
        }
        Some(false)
    }

    /// Returns this sender's instance.
    pub fn instance(&self) -> Instance {
        self.local.instance
    }

    /// Returns the senders of the installation.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the number of links that are up, and of all that this sender dials.
    pub fn links(&self) -> (usize, usize) {
        (self.links.values().filter(|l| l.up.is_some()).count(), self.links.len())
    }

    /// Describes what is known of the copies of a message that is not committed, and of the links.
    pub fn describe_copies(&self, local_id: LocalId) -> String {
        let Some(message) = self.owned.messages.get(&local_id) else { return "not owned here".to_owned() };
        let name = |peer: &Peer| self.membership.name(*peer);
        let replicas: Vec<String> =
            message.replicas.iter().map(|(peer, (_, status))| format!("{} {status:?}", name(peer))).collect();
        let up: Vec<&str> =
            self.links.iter().filter(|(_, link)| link.up.is_some()).map(|(peer, _)| name(peer)).collect();
        let confirmed: Vec<&str> = self.local.confirmed_by.iter().map(name).collect();
        format!(
            "epoch {} of {}, replicas: {}; links up: {}; epoch registered by: {}; asked {} us ago",
            message.group.epoch,
            self.local.epoch,
            replicas.join(", "),
            up.join(", "),
            confirmed.join(", "),
            self.time.now.saturating_sub(message.replicas_requested_at),
        )
    }

    /// Whether a message with this id has ended in the current group and some senders have not acknowledged
    /// that. A new message with the id could be taken for that one.
    pub fn is_end_pending(&self, id: Id) -> bool {
        self.owned.pending_ends.contains_key(&Key { group: self.current_group(), id })
    }

    /// Returns the number of committed messages of this sender that have too few copies.
    pub fn missing_copies(&self) -> usize {
        let has_too_few = |message: &&OwnedMessage| {
            message.committed && self.stored_replicas(message) < self.membership.copy_count()
        };
        self.owned.messages.values().filter(has_too_few).count()
    }

    /// Returns what would be lost if as many more senders failed as there are copies, as far as this sender
    /// knows.
    pub fn redundancy(&self) -> Redundancy {
        let group = self.current_group();
        let all = self.membership.witnesses(group);
        let is_up = |w: &&Peer| {
            self.local.confirmed_by.contains(w) && self.links.get(w).is_some_and(|l| l.up.is_some())
        };
        // A copy that is still unclaimed this long after its deadline is not counted any more: operators have
        // to deal with it before it is deleted (`ORPHAN_RETENTION`).
        let is_recent =
            |copy: &&StoredCopy| copy.record.deadline > self.time.unix.saturating_sub(OWNER_QUERY_DELAY);
        let unclaimed = self.copies.copies_owned_by(|owner| self.has_failed(owner)).filter(is_recent).count();
        Redundancy {
            missing_copies: self.missing_copies(),
            in_other_groups: self
                .owned
                .messages
                .values()
                .filter(|message| message.committed && message.group != group)
                .count(),
            unclaimed,
            witnesses: (all.iter().filter(is_up).count(), all.len()),
        }
    }

    /// Returns the number of copies that are stored for other senders.
    pub fn stored_copies(&self) -> usize {
        self.copies.len()
    }

    /// Returns the number of entries of the witness.
    pub fn witness_entries(&self) -> usize {
        self.witness.entry_count()
    }

    /// Returns whether each witness has reported which messages of this sender were claimed while it was
    /// away.
    pub fn is_recovered(&self) -> bool {
        let claim_quorum = |message: &OwnedMessage| self.membership.claim_quorum(message.group);
        self.owned.messages.is_empty()
            || self.awaited_witnesses.is_empty()
                && self.owned.messages.values().all(|message| message.claimants.len() < claim_quorum(message))
    }

    /// Returns whether all witnesses have registered this sender, and enough replicas are reachable.
    pub fn is_ready(&self) -> bool {
        let up = self.links.values().filter(|l| l.up.is_some()).count();
        let witnesses = self.membership.witnesses(self.current_group());
        up >= self.membership.copy_count() && witnesses.iter().all(|w| self.local.confirmed_by.contains(w))
    }

    /// Returns when the state machine must be called at the latest.
    pub fn next_wake(&self) -> Micros {
        let due = self.owned.replica_timeouts.first().map(|due| due.0);
        [Some(self.next_heartbeat), self.flush_at, due]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.next_heartbeat)
    }

    fn current_group(&self) -> WitnessGroup {
        WitnessGroup { owner: self.local.instance, epoch: self.local.epoch }
    }

    /// Accepts a link from a peer that has identified itself. From then on only frames of this instance and
    /// link count. Returns whether it is accepted.
    pub fn accept_link(
        &mut self,
        time: Timestamps,
        from: Instance,
        link: u64,
        ledger: &mut dyn Ledger,
        out: &mut Vec<Output>,
    ) -> bool {
        self.time = time;
        if !self.membership.contains(from.peer)
            || from.peer == self.membership.local_peer()
            || !self.accept_incarnation(from, ledger, out)
        {
            return false;
        }
        let now = time.now;
        let inbound = self.inbound.entry(from.peer).or_insert_with(|| InboundLink {
            link,
            failure_detector: FailureDetector::new(now),
            suspected: false,
        });
        inbound.link = link;
        inbound.failure_detector.restart(now);
        if std::mem::replace(&mut inbound.suspected, false) {
            out.push(Output::Log(Event::InstanceReachable(from)));
        }
        // The peer may have to be notified of messages that were taken over from it.
        if self.takeovers.keys().any(|owner| owner.peer == from.peer) {
            self.connect(from.peer, out);
        }
        true
    }

    fn connect(&mut self, peer: Peer, out: &mut Vec<Output>) {
        if peer != self.membership.local_peer()
            && self.membership.contains(peer)
            && !self.links.contains_key(&peer)
        {
            self.links.insert(peer, Link::default());
            out.push(Output::Connect(peer));
        }
    }

    fn send_request(&self, peer: Peer, frame: Frame, out: &mut Vec<Output>) {
        let up = self.links.get(&peer).is_some_and(|l| l.up.is_some());
        if up {
            out.push(Output::SendRequest(peer, frame));
        }
    }

    /// Handles an input, and adds the resulting actions to `out`.
    pub fn handle(&mut self, time: Timestamps, input: Input, ledger: &mut dyn Ledger, out: &mut Vec<Output>) {
        // The state machine is called at least at each heartbeat.
        let gap = time.now.saturating_sub(self.time.now);
        if gap > STALL_THRESHOLD {
            self.stall = (time.now, gap);
        }
        self.time = time;
        match input {
            Input::LinkUp { instance, link } => self.link_up(instance, link, ledger, out),
            Input::LinkDown { peer, link } => self.link_down(peer, link, out),
            Input::Request { from, link, frame } => self.handle_request(from, link, frame, ledger, out),
            Input::Response { from, link, frame } => {
                let link = self.links.get(&from).and_then(|l| l.up).filter(|up| up.1 == link);
                if let Some((incarnation, _)) = link {
                    self.handle_response(Instance { peer: from, incarnation }, frame, ledger, out);
                }
            }
            Input::Submit { id, record } => self.submit(id, record, out),
            Input::CommitAnyway { local_id } => {
                if let Some(message) = self.owned.messages.get_mut(&local_id) {
                    (message.committed, message.record.acknowledged) = (true, true);
                }
            }
            Input::Resume { local_id, id, record } => self.resume(local_id, id, record),
            Input::BeginAttempt { local_id, attempt } => self.begin_attempt(local_id, attempt, ledger, out),
            Input::NeverRan { local_id, number } => {
                let Some(message) = self.owned.messages.get_mut(&local_id) else { return };
                message
                    .record
                    .attempts
                    .iter_mut()
                    .filter(|attempt| attempt.number == number)
                    .for_each(|attempt| attempt.never_ran = true);
                self.send_progress(local_id, out);
            }
            Input::VerdictRecorded { local_id, verdict } => {
                let Some(message) = self.owned.messages.get_mut(&local_id) else { return };
                message.record.verdict = Some(verdict);
                self.send_progress(local_id, out);
            }
            Input::Ended { local_id } => self.end_message(local_id, ledger),
            Input::Tick => self.tick(ledger, out),
        }
    }
}
