//! A model of three senders with one copy of each message: an owner, and two others that are replicas and
//! witnesses. The checker explores all states of one message that must not be delivered twice. The message
//! goes through epochs, moves, attempts and claims, while packets are lost, duplicated and delayed, witnesses
//! stop and restart, with or without their folder, and the owner is lost permanently. The witnesses and the
//! choice of the next witnesses are the real code. No heartbeat is ever received, so that claims can be made
//! at any time.

use crate::ids::{Epoch, FIRST_TERM, Id, Incarnation, Instance, Key, LocalId, Peer, Term, WitnessGroup};
use crate::ledger::{AdoptedMessage, Change, Ledger};
use crate::membership::{Membership, Sender};
use crate::record::AttemptRecord;
use crate::witness::Witness;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

const ID: Id = Id(7);
/// The term of the only claims in the model.
const CLAIM: Term = 2;
const ROUND: u64 = 1;
/// The last epoch in the model.
const MAX_EPOCH: u32 = 2;
const ATTEMPT: AttemptRecord = AttemptRecord { number: 0, endpoint: 1, at: 0, never_ran: false };

/// A ledger whose writes always succeed.
struct TestLedger;

impl Ledger for TestLedger {
    fn write(&mut self, _: &[Change]) -> bool {
        true
    }

    fn free_local_id(&self, id: Id) -> LocalId {
        LocalId(id.0)
    }

    fn adopt(&mut self, _: AdoptedMessage<'_>, _: &[Change]) -> bool {
        true
    }
}

/// A packet between a witness, whose index comes first, and the owner, or a claimant if there is one. A sent
/// packet stays in the set, so that it can be delivered again, or never.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Packet {
    Register(usize, WitnessGroup),
    Registered(usize, WitnessGroup),
    /// Sent by the owner, or by a claimant.
    RequestConsent(usize, WitnessGroup, Option<usize>),
    Consent(usize, WitnessGroup, Option<usize>),
    Move(usize, WitnessGroup, WitnessGroup, bool, Option<usize>),
    Moved(usize, WitnessGroup, WitnessGroup, Option<usize>),
    Claim(usize, WitnessGroup, usize),
    Grant(usize, WitnessGroup, usize, bool, Option<WitnessGroup>),
}

impl Packet {
    /// Returns the witness that sends or receives the packet, and the claimant.
    fn endpoints(self) -> (usize, Option<usize>) {
        match self {
            Self::Register(index, _) | Self::Registered(index, _) => (index, None),
            Self::RequestConsent(index, _, claimant) | Self::Consent(index, _, claimant) => (index, claimant),
            Self::Move(index, _, _, _, claimant) | Self::Moved(index, _, _, claimant) => (index, claimant),
            Self::Claim(index, _, claimant) | Self::Grant(index, _, claimant, ..) => (index, Some(claimant)),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owner {
    running: bool,
    epoch: Epoch,
    registered: BTreeMap<usize, u8>,
    confirmed_by: BTreeSet<usize>,
    group: Option<WitnessGroup>,
    pending_move: Option<(WitnessGroup, BTreeSet<usize>)>,
    /// The witnesses that have consented, and `usize::MAX` once the attempt was made.
    consents: BTreeSet<usize>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ClaimState {
    grants: BTreeMap<usize, (bool, Option<WitnessGroup>)>,
    /// The witnesses that have recorded the move.
    moved: BTreeSet<usize>,
    /// As for the owner.
    consents: BTreeSet<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Other {
    running: bool,
    incarnation: u8,
    witness: Witness,
    /// Its copies, by group.
    copies: BTreeMap<WitnessGroup, CopyState>,
}

/// A copy: whether its record has the attempt, and the claim on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct CopyState {
    attempted: bool,
    claim: Option<ClaimState>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    owner: Owner,
    others: [Other; 2],
    packets: BTreeSet<Packet>,
    /// The number of attempts by all senders.
    attempts: u8,
    stops_left: u8,
    losses_left: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Delivers(Packet),
    Registers(usize),
    Replaces,
    StoresCopy(usize),
    RequestsConsent,
    Moves,
    OwnerIsLost,
    Stops(usize),
    Restarts(usize),
    LosesFolder(usize),
    Claims(usize, WitnessGroup),
}

/// The check that the model leaves out, so that the checker must find a violation.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// A new epoch takes the number of the one before.
    NewNumber,
    /// A consent of one group counts in the next.
    GroupOfConsent,
    /// One grant is enough, however many witnesses there are.
    Grants,
    /// A claimant ignores the attempts that witnesses have recorded.
    GrantedAttempts,
}

struct CopiesModel {
    /// Shared by the checker's threads.
    membership: Mutex<Membership>,
    others: [Peer; 2],
    owner: Instance,
    without: Without,
}

impl CopiesModel {
    fn new(without: Without) -> Self {
        let sender = |name: &str| Sender { name: name.into(), zone: None };
        let membership = Membership::new(sender("a"), vec![sender("b"), sender("c")], 1).expect("sound");
        let candidates = membership.candidates(membership.local_peer());
        let owner = Instance { peer: membership.local_peer(), incarnation: Incarnation(1) };
        Self { others: [candidates[0], candidates[1]], membership: Mutex::new(membership), owner, without }
    }

    fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn group(&self, epoch: Epoch) -> WitnessGroup {
        WitnessGroup { owner: self.owner, epoch }
    }

    fn key(group: WitnessGroup) -> Key {
        Key { group, id: ID }
    }

    fn witnesses(&self, group: WitnessGroup) -> Vec<usize> {
        let position = |peer: &Peer| self.others.iter().position(|other| other == peer);
        self.membership().witnesses(group).iter().filter_map(position).collect()
    }

    fn claim_quorum(&self, group: WitnessGroup) -> usize {
        if self.without == Without::Grants { 1 } else { self.membership().claim_quorum(group) }
    }

    fn claimant(&self, state: &State, claimant: usize) -> Instance {
        Instance {
            peer: self.others[claimant],
            incarnation: Incarnation(u64::from(state.others[claimant].incarnation)),
        }
    }

    /// Returns the instance that sends a packet, and its term.
    fn sender_and_term(&self, state: &State, claimant: Option<usize>) -> (Instance, Term) {
        claimant.map_or((self.owner, FIRST_TERM), |claimant| (self.claimant(state, claimant), CLAIM))
    }

    fn is_running(&self, state: &State, peer: Peer) -> bool {
        self.others
            .iter()
            .zip(&state.others)
            .any(|(other, other_state)| *other == peer && other_state.running)
    }

    /// Returns whether the owner can commit messages, under the conditions of `Replicator::can_commit`.
    fn can_commit(&self, state: &State) -> bool {
        let group = self.group(state.owner.epoch);
        let witnesses = self.witnesses(group);
        let is_confirmed = |index: &usize| state.owner.confirmed_by.contains(index);
        witnesses.iter().filter(|index| is_confirmed(index)).count() >= self.membership().claim_quorum(group)
            && witnesses.iter().all(|index| is_confirmed(index) || !state.others[*index].running)
    }

    /// Returns the epoch that replaces the current one, under the conditions of
    /// `Replicator::replace_witnesses`.
    fn replacement(&self, state: &State) -> Option<Epoch> {
        let group = self.group(state.owner.epoch);
        let witnesses = self.witnesses(group);
        let is_confirmed = |index: &usize| state.owner.confirmed_by.contains(index);
        let is_unconfirmed = witnesses.iter().filter(|index| is_confirmed(index)).count()
            < self.membership().claim_quorum(group);
        let is_away = witnesses.iter().any(|index| !is_confirmed(index) && !state.others[*index].running);
        let next = self.membership().next_epoch(group, |peer| self.is_running(state, peer))?;
        let others = self.witnesses(self.group(next));
        let reachable = others.iter().filter(|index| state.others[**index].running).count();
        let is_better = others != witnesses && reachable >= self.membership().claim_quorum(self.group(next));
        (is_unconfirmed && is_away && is_better && next.number() <= MAX_EPOCH).then_some(next)
    }

    fn begin_epoch(&self, state: &mut State, next: Epoch) {
        let next = match self.without {
            Without::NewNumber => Epoch(next.0 - 1),
            _ => next,
        };
        let owner = &mut state.owner;
        (owner.epoch, owner.registered, owner.confirmed_by) = (next, BTreeMap::new(), BTreeSet::new());
    }

    fn register(&self, state: &mut State, index: usize) {
        let incarnation = state.others[index].incarnation;
        match state.owner.registered.get(&index) {
            Some(registered) if *registered != incarnation => {
                state.owner.confirmed_by.remove(&index);
                let group = self.group(state.owner.epoch);
                let next = self.membership().next_epoch(group, |peer| self.is_running(state, peer));
                if let Some(next) = next.filter(|next| next.number() <= MAX_EPOCH) {
                    self.begin_epoch(state, next);
                }
                return;
            }
            _ => drop(state.owner.registered.insert(index, incarnation)),
        }
        state.packets.insert(Packet::Register(index, self.group(state.owner.epoch)));
    }

    /// Sends what follows from the grants of a claim.
    fn advance_claim(&self, state: &mut State, claimant: usize, group: WitnessGroup) {
        let Some(copy) = state.others[claimant].copies.get(&group).cloned() else { return };
        let Some(claim) = copy.claim else { return };
        if claim.grants.len() < self.claim_quorum(group) {
            return;
        }
        let moved = claim.grants.values().find_map(|grant| grant.1);
        let attempted =
            claim.grants.values().any(|grant| grant.0) && self.without != Without::GrantedAttempts;
        let attempted = attempted || copy.attempted;
        for index in self.witnesses(group) {
            match moved {
                Some(to) => {
                    _ = state.packets.insert(Packet::Move(index, group, to, attempted, Some(claimant)))
                }
                // A message that may have been attempted is ended.
                None if attempted => {}
                None => _ = state.packets.insert(Packet::RequestConsent(index, group, Some(claimant))),
            }
        }
    }

    fn deliver(&self, state: &mut State, packet: Packet) {
        let (index, claimant) = packet.endpoints();
        let (sender, term) = self.sender_and_term(state, claimant);
        let mut ledger = TestLedger;
        match packet {
            Packet::Register(_, group) => {
                if state.others[index].witness.register(group, &mut ledger).is_ok() {
                    state.packets.insert(Packet::Registered(index, group));
                }
            }
            Packet::Registered(_, group) => {
                if state.owner.running && group == self.group(state.owner.epoch) {
                    state.owner.confirmed_by.insert(index);
                }
            }
            Packet::RequestConsent(_, group, _) => {
                let witness = &mut state.others[index].witness;
                if witness.record_attempt(Self::key(group), term, sender, ATTEMPT, &mut ledger).is_ok() {
                    state.packets.insert(Packet::Consent(index, group, claimant));
                }
            }
            Packet::Consent(_, group, None) => self.owner_consented(state, index, group),
            Packet::Consent(_, group, Some(claimant)) => {
                let needed = self.claim_quorum(group);
                let Some(copy) = state.others[claimant].copies.get_mut(&group) else { return };
                let Some(claim) = &mut copy.claim else { return };
                claim.consents.insert(index);
                if claim.consents.len() == needed {
                    claim.consents.insert(usize::MAX);
                    state.attempts += 1;
                }
            }
            Packet::Move(_, group, to, attempted, _) => {
                let attempts: &[AttemptRecord] = if attempted { &[ATTEMPT] } else { &[] };
                let witness = &mut state.others[index].witness;
                if witness.record_move(Self::key(group), (term, sender), to, attempts, &mut ledger).is_ok() {
                    state.packets.insert(Packet::Moved(index, group, to, claimant));
                }
            }
            Packet::Moved(_, group, to, None) => self.owner_moved(state, index, group, to),
            Packet::Moved(_, group, to, Some(claimant)) => {
                let needed = self.claim_quorum(group);
                let other = &mut state.others[claimant];
                let Some(copy) = other.copies.get_mut(&group) else { return };
                let Some(claim) = &mut copy.claim else { return };
                claim.moved.insert(index);
                if claim.moved.len() >= needed {
                    let attempted = copy.attempted || claim.grants.values().any(|grant| grant.0);
                    other.copies.remove(&group);
                    other.copies.entry(to).or_insert(CopyState { attempted, claim: None });
                }
            }
            Packet::Claim(_, group, claimant) => {
                let claim = (Self::key(group), CLAIM, ROUND);
                let granted = state.others[index].witness.grant_claim(claim, sender, |_| false, &mut ledger);
                if let Ok((attempts, moved)) = granted {
                    let moved = moved.map(|moved| moved.1);
                    state.packets.insert(Packet::Grant(index, group, claimant, !attempts.is_empty(), moved));
                }
            }
            Packet::Grant(_, group, claimant, attempted, moved) => {
                let copy = state.others[claimant].copies.get_mut(&group);
                if let Some(claim) = copy.and_then(|copy| copy.claim.as_mut()) {
                    claim.grants.insert(index, (attempted, moved));
                }
                self.advance_claim(state, claimant, group);
            }
        }
    }

    fn owner_consented(&self, state: &mut State, index: usize, group: WitnessGroup) {
        let any_group = self.without == Without::GroupOfConsent;
        let owner = &mut state.owner;
        if !owner.running
            || owner.pending_move.is_some()
            || owner.group != Some(group) && !any_group
            || owner.group.is_none()
        {
            return;
        }
        owner.consents.insert(index);
        if owner.consents.len() == self.membership().attempt_quorum() {
            owner.consents.insert(usize::MAX);
            state.attempts += 1;
        }
    }

    fn owner_moved(&self, state: &mut State, index: usize, group: WitnessGroup, to: WitnessGroup) {
        let owner = &mut state.owner;
        let Some(pending_move) = owner.pending_move.as_mut().filter(|m| m.0 == to) else { return };
        if !owner.running || owner.group != Some(group) {
            return;
        }
        pending_move.1.insert(index);
        if pending_move.1.len() >= self.membership().attempt_quorum() {
            (owner.group, owner.pending_move) = (Some(to), None);
            // An attempt that was made stays known after the move; consents do not.
            owner.consents.retain(|index| *index == usize::MAX);
            // The copies in the new group have the attempt.
            let attempted = owner.consents.contains(&usize::MAX);
            for other in state.others.iter_mut().filter(|other| other.running) {
                other.copies.entry(to).or_insert(CopyState { attempted, claim: None });
            }
        }
    }
}

impl Model for CopiesModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let owner = Owner {
            running: true,
            epoch: Epoch::FIRST,
            registered: BTreeMap::new(),
            confirmed_by: BTreeSet::new(),
            group: None,
            pending_move: None,
            consents: BTreeSet::new(),
        };
        let other =
            || Other { running: true, incarnation: 1, witness: Witness::new(4), copies: BTreeMap::new() };
        let others = [other(), other()];
        vec![State { owner, others, packets: BTreeSet::new(), attempts: 0, stops_left: 1, losses_left: 1 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let group = self.group(state.owner.epoch);
        let running = |index: usize| state.others[index].running;
        actions.extend(
            state
                .packets
                .iter()
                .copied()
                .filter(|packet| running(packet.endpoints().0))
                .map(Action::Delivers),
        );
        let owner = &state.owner;
        for index in 0..state.others.len() {
            if running(index)
                && owner.running
                && !owner.confirmed_by.contains(&index)
                && self.witnesses(group).contains(&index)
            {
                actions.push(Action::Registers(index));
            }
            if running(index) && owner.running && owner.group.is_none() && self.can_commit(state) {
                actions.push(Action::StoresCopy(index));
            }
            if running(index) && state.stops_left > 0 {
                actions.push(Action::Stops(index));
            }
            if !running(index) {
                actions.push(Action::Restarts(index));
                if state.losses_left > 0 {
                    actions.push(Action::LosesFolder(index));
                }
            }
            let copies = state.others[index].copies.iter().filter(|(_, copy)| copy.claim.is_none());
            actions.extend(copies.filter(|_| running(index)).map(|(group, _)| Action::Claims(index, *group)));
        }
        if owner.running {
            actions.extend(self.replacement(state).map(|_| Action::Replaces));
            if owner.group.is_some() && owner.pending_move.is_none() && owner.consents.is_empty() {
                actions.push(Action::RequestsConsent);
            }
            if owner.group.is_some_and(|current| current != group) && self.can_commit(state) {
                actions.push(Action::Moves);
            }
            if owner.group.is_some() && state.losses_left > 0 {
                actions.push(Action::OwnerIsLost);
            }
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        let group = self.group(state.owner.epoch);
        match action {
            Action::Delivers(packet) => self.deliver(&mut state, packet),
            Action::Registers(index) => self.register(&mut state, index),
            Action::Replaces => {
                let next = self.replacement(&state)?;
                self.begin_epoch(&mut state, next);
            }
            Action::StoresCopy(index) => {
                state.owner.group = Some(group);
                state.others[index].copies.entry(group).or_default();
            }
            Action::RequestsConsent => {
                let current = state.owner.group?;
                for index in self.witnesses(current) {
                    if current != group || state.owner.confirmed_by.contains(&index) {
                        state.packets.insert(Packet::RequestConsent(index, current, None));
                    }
                }
            }
            Action::Moves => {
                let current = state.owner.group?;
                let to = state.owner.pending_move.get_or_insert_with(|| (group, BTreeSet::new())).0;
                let attempted = state.owner.consents.contains(&usize::MAX);
                if !attempted {
                    state.owner.consents.clear();
                }
                for index in self.witnesses(current) {
                    state.packets.insert(Packet::Move(index, current, to, attempted, None));
                }
            }
            Action::OwnerIsLost => {
                state.losses_left -= 1;
                state.owner.running = false;
            }
            Action::Stops(index) => {
                state.stops_left -= 1;
                state.others[index].running = false;
                // Its links end, and packets on them are lost.
                state
                    .packets
                    .retain(|packet| packet.endpoints().0 != index && packet.endpoints().1 != Some(index));
                state.others[index].copies.values_mut().for_each(|copy| copy.claim = None);
            }
            Action::Restarts(index) => state.others[index].running = true,
            Action::LosesFolder(index) => {
                state.losses_left -= 1;
                let other = &mut state.others[index];
                (other.witness, other.incarnation) = (Witness::new(4), other.incarnation + 1);
                other.copies.clear();
                state.owner.confirmed_by.remove(&index);
            }
            Action::Claims(index, group) => {
                state.others[index].copies.get_mut(&group)?.claim = Some(ClaimState::default());
                for witness in self.witnesses(group) {
                    state.packets.insert(Packet::Claim(witness, group, index));
                }
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("attempted once", |_, state: &State| state.attempts <= 1),
            Property::sometimes("attempted after a replacement of witnesses", |_, state: &State| {
                let was_replaced = state.owner.group.is_some_and(|group| group.epoch.chosen().is_some());
                was_replaced && state.attempts == 1
            }),
            Property::sometimes("claimed from an owner with selected witnesses", |_, state: &State| {
                let has_selected = |other: &Other| {
                    other.copies.iter().any(|(group, copy)| {
                        let claim = copy.claim.as_ref();
                        group.epoch.chosen().is_some()
                            && claim.is_some_and(|c| c.consents.contains(&usize::MAX))
                    })
                };
                !state.owner.running && state.others.iter().any(has_selected)
            }),
        ]
    }
}

#[test]
fn no_message_is_attempted_twice_whatever_happens_to_its_witnesses() {
    let checker = CopiesModel::new(Without::Nothing).checker().spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
}

#[test]
fn the_checker_finds_a_violation_without_each_check() {
    let mutants = [Without::NewNumber, Without::GroupOfConsent, Without::Grants, Without::GrantedAttempts];
    for without in mutants {
        let checker = CopiesModel::new(without).checker().spawn_bfs().join();
        let found = checker.discovery("attempted once");
        assert!(found.is_some(), "{without:?}: no violation found");
        println!("{without:?}: {} steps", found.map_or(0, |path| path.into_actions().len()));
    }
}
