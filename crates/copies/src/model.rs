//! All states of three senders with one copy of each message: an owner, and two others that keep and witness.
//! One message that must not be repeated goes through epochs, moves, attempts and claims, while words are
//! lost, doubled and late, witnesses go and come back, with their folder or without, and the owner is lost
//! for good. Witnesses and the choice of the next ones are the real ones; nobody is ever heard, so that
//! claims come at any moment.

use crate::ledger::{Change, Ledger};
use crate::names::{Epoch, FIRST, Holder, Home, Id, Key, Peer, Reign, Term};
use crate::record::{Record, Tried};
use crate::view::{Sender, View};
use crate::witness::Witness;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

const ID: Id = Id(7);
/// The term of the only claims that are looked at.
const CLAIM: Term = 2;
const ROUND: u64 = 1;
/// Epochs that are looked at.
const EPOCHS: u32 = 2;
const ATTEMPT: Tried = Tried { number: 0, endpoint: 1, at: 0, never_ran: false };

/// A disk that takes everything.
struct Paper;

impl Ledger for Paper {
    fn write(&mut self, _: &[Change]) -> bool {
        true
    }

    fn adopt(&mut self, _: Id, _: &Record, _: &[Change]) -> bool {
        true
    }
}

/// Words on their way; one stays there, so that it may come again, or never.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Word {
    Register(usize, Home),
    Registered(usize, Home),
    /// By the owner, or by a claimant.
    Intend(usize, Home, Option<usize>),
    Consent(usize, Home, Option<usize>),
    Move(usize, Home, Home, bool, Option<usize>),
    Moved(usize, Home, Home, Option<usize>),
    Claim(usize, Home, usize),
    Grant(usize, Home, usize, bool, Option<Home>),
}

impl Word {
    /// The witness that it comes from or goes to, and the claimant.
    fn ends(self) -> (usize, Option<usize>) {
        match self {
            Self::Register(w, _) | Self::Registered(w, _) => (w, None),
            Self::Intend(w, _, by) | Self::Consent(w, _, by) => (w, by),
            Self::Move(w, _, _, _, by) | Self::Moved(w, _, _, by) => (w, by),
            Self::Claim(w, _, by) | Self::Grant(w, _, by, ..) => (w, Some(by)),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owner {
    there: bool,
    epoch: Epoch,
    registered: BTreeMap<usize, u8>,
    known: BTreeSet<usize>,
    home: Option<Home>,
    moving: Option<(Home, BTreeSet<usize>)>,
    consents: BTreeSet<usize>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Claimant {
    grants: BTreeMap<usize, (bool, Option<Home>)>,
    moved: BTreeSet<usize>,
    consents: BTreeSet<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Other {
    there: bool,
    life: u8,
    witness: Witness,
    /// Copies that it has, by home.
    copies: BTreeMap<Home, Copied>,
}

/// A copy: whether its record shows the attempt, and the claim on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Copied {
    attempted: bool,
    claim: Option<Claimant>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    owner: Owner,
    others: [Other; 2],
    words: BTreeSet<Word>,
    /// Who has attempted the message, by life: the owner, and each of the others.
    attempts: u8,
    goes: u8,
    losses: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Does {
    Comes(Word),
    Registers(usize),
    Replaces,
    Takes(usize),
    Intends,
    Moves,
    OwnerIsLost,
    Goes(usize),
    Returns(usize),
    LosesFolder(usize),
    Claims(usize, Home),
}

/// What is taken out, to see that it is missed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// A new epoch has the number of the one before.
    NewNumber,
    /// What was consented to in one home counts in the next.
    HomeOfConsent,
    /// One grant is enough, whoever the witnesses are.
    Grants,
    /// A claimant does not go by what witnesses show of attempts.
    Shown,
}

struct Small {
    /// Shared with the threads of the checker.
    view: Mutex<View>,
    others: [Peer; 2],
    owner: Holder,
    without: Without,
}

impl Small {
    fn new(without: Without) -> Self {
        let sender = |name: &str| Sender { name: name.into(), zone: None };
        let view = View::new(sender("a"), vec![sender("b"), sender("c")], 1).expect("sound");
        let partners = view.partners(view.me());
        let owner = Holder { peer: view.me(), reign: Reign(1) };
        Self { others: [partners[0], partners[1]], view: Mutex::new(view), owner, without }
    }

    fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn home(&self, epoch: Epoch) -> Home {
        Home { holder: self.owner, epoch }
    }

    fn key(home: Home) -> Key {
        Key { home, id: ID }
    }

    fn witnesses(&self, home: Home) -> Vec<usize> {
        let place = |peer: &Peer| self.others.iter().position(|other| other == peer);
        self.view().witnesses(home).iter().filter_map(place).collect()
    }

    fn grants(&self, home: Home) -> usize {
        if self.without == Without::Grants { 1 } else { self.view().grants(home) }
    }

    fn claimant(&self, state: &State, by: usize) -> Holder {
        Holder { peer: self.others[by], reign: Reign(u64::from(state.others[by].life)) }
    }

    /// Who speaks, and in which term.
    fn speaker(&self, state: &State, by: Option<usize>) -> (Holder, Term) {
        by.map_or((self.owner, FIRST), |by| (self.claimant(state, by), CLAIM))
    }

    fn stands(&self, state: &State, peer: Peer) -> bool {
        self.others.iter().zip(&state.others).any(|(other, o)| *other == peer && o.there)
    }

    fn may_promise(&self, state: &State) -> bool {
        let home = self.home(state.owner.epoch);
        let witnesses = self.witnesses(home);
        let known = |w: &usize| state.owner.known.contains(w);
        witnesses.iter().filter(|w| known(w)).count() >= self.view().grants(home)
            && witnesses.iter().all(|w| known(w) || !state.others[*w].there)
    }

    /// As `Copies::replace_witnesses`.
    fn replacement(&self, state: &State) -> Option<Epoch> {
        let home = self.home(state.owner.epoch);
        let witnesses = self.witnesses(home);
        let known = |w: &usize| state.owner.known.contains(w);
        let undecided = witnesses.iter().filter(|w| known(w)).count() < self.view().grants(home);
        let gone = witnesses.iter().any(|w| !known(w) && !state.others[*w].there);
        let next = self.view().next_epoch(home, |peer| self.stands(state, peer))?;
        let others = self.witnesses(self.home(next));
        let standing = others.iter().filter(|w| state.others[**w].there).count();
        let better = others != witnesses && standing >= self.view().grants(self.home(next));
        (undecided && gone && better && next.number() <= EPOCHS).then_some(next)
    }

    fn begin_epoch(&self, state: &mut State, next: Epoch) {
        let next = match self.without {
            Without::NewNumber => Epoch(next.0 - 1),
            _ => next,
        };
        let owner = &mut state.owner;
        (owner.epoch, owner.registered, owner.known) = (next, BTreeMap::new(), BTreeSet::new());
    }

    fn register(&self, state: &mut State, w: usize) {
        let life = state.others[w].life;
        match state.owner.registered.get(&w) {
            Some(known) if *known != life => {
                state.owner.known.remove(&w);
                let home = self.home(state.owner.epoch);
                let next = self.view().next_epoch(home, |peer| self.stands(state, peer));
                if let Some(next) = next.filter(|next| next.number() <= EPOCHS) {
                    self.begin_epoch(state, next);
                }
                return;
            }
            _ => drop(state.owner.registered.insert(w, life)),
        }
        state.words.insert(Word::Register(w, self.home(state.owner.epoch)));
    }

    /// What came of claims, as far as they stand.
    fn claimed(&self, state: &mut State, by: usize, home: Home) {
        let Some(copied) = state.others[by].copies.get(&home).cloned() else { return };
        let Some(claim) = copied.claim else { return };
        if claim.grants.len() < self.grants(home) {
            return;
        }
        let moved = claim.grants.values().find_map(|grant| grant.1);
        let shown = claim.grants.values().any(|grant| grant.0) && self.without != Without::Shown;
        let shown = shown || copied.attempted;
        for w in self.witnesses(home) {
            match moved {
                Some(to) => _ = state.words.insert(Word::Move(w, home, to, shown, Some(by))),
                // What may have run is ended.
                None if shown => {}
                None => _ = state.words.insert(Word::Intend(w, home, Some(by))),
            }
        }
    }

    fn comes(&self, state: &mut State, word: Word) {
        let (w, by) = word.ends();
        let (holder, term) = self.speaker(state, by);
        let mut paper = Paper;
        match word {
            Word::Register(_, home) => {
                if state.others[w].witness.register(home, &mut paper).is_ok() {
                    state.words.insert(Word::Registered(w, home));
                }
            }
            Word::Registered(_, home) => {
                if state.owner.there && home == self.home(state.owner.epoch) {
                    state.owner.known.insert(w);
                }
            }
            Word::Intend(_, home, _) => {
                let witness = &mut state.others[w].witness;
                if witness.intend(Self::key(home), term, holder, ATTEMPT, &mut paper).is_ok() {
                    state.words.insert(Word::Consent(w, home, by));
                }
            }
            Word::Consent(_, home, None) => self.owner_hears(state, w, home),
            Word::Consent(_, home, Some(by)) => {
                let needed = self.grants(home);
                let Some(copied) = state.others[by].copies.get_mut(&home) else { return };
                let Some(claim) = &mut copied.claim else { return };
                claim.consents.insert(w);
                if claim.consents.len() == needed {
                    claim.consents.insert(usize::MAX);
                    state.attempts += 1;
                }
            }
            Word::Move(_, home, to, attempted, _) => {
                let tried: &[Tried] = if attempted { &[ATTEMPT] } else { &[] };
                let witness = &mut state.others[w].witness;
                if witness.move_on(Self::key(home), (term, holder), to, tried, &mut paper).is_ok() {
                    state.words.insert(Word::Moved(w, home, to, by));
                }
            }
            Word::Moved(_, home, to, None) => self.owner_moved(state, w, home, to),
            Word::Moved(_, home, to, Some(by)) => {
                let needed = self.grants(home);
                let other = &mut state.others[by];
                let Some(copied) = other.copies.get_mut(&home) else { return };
                let Some(claim) = &mut copied.claim else { return };
                claim.moved.insert(w);
                if claim.moved.len() >= needed {
                    let attempted = copied.attempted || claim.grants.values().any(|grant| grant.0);
                    other.copies.remove(&home);
                    other.copies.entry(to).or_insert(Copied { attempted, claim: None });
                }
            }
            Word::Claim(_, home, by) => {
                let claim = (Self::key(home), CLAIM, ROUND);
                let granted = state.others[w].witness.claim(claim, holder, |_| false, &mut paper);
                if let Ok((tried, moved)) = granted {
                    let moved = moved.map(|moved| moved.1);
                    state.words.insert(Word::Grant(w, home, by, !tried.is_empty(), moved));
                }
            }
            Word::Grant(_, home, by, shown, moved) => {
                let copied = state.others[by].copies.get_mut(&home);
                if let Some(claim) = copied.and_then(|copied| copied.claim.as_mut()) {
                    claim.grants.insert(w, (shown, moved));
                }
                self.claimed(state, by, home);
            }
        }
    }

    fn owner_hears(&self, state: &mut State, w: usize, home: Home) {
        let any_home = self.without == Without::HomeOfConsent;
        let owner = &mut state.owner;
        if !owner.there
            || owner.moving.is_some()
            || owner.home != Some(home) && !any_home
            || owner.home.is_none()
        {
            return;
        }
        owner.consents.insert(w);
        if owner.consents.len() == self.view().consents() {
            owner.consents.insert(usize::MAX);
            state.attempts += 1;
        }
    }

    fn owner_moved(&self, state: &mut State, w: usize, home: Home, to: Home) {
        let owner = &mut state.owner;
        let Some(moving) = owner.moving.as_mut().filter(|m| m.0 == to) else { return };
        if !owner.there || owner.home != Some(home) {
            return;
        }
        moving.1.insert(w);
        if moving.1.len() >= self.view().consents() {
            (owner.home, owner.moving) = (Some(to), None);
            // An attempt that was made goes along; consents do not.
            owner.consents.retain(|w| *w == usize::MAX);
            // Its copies there show what it has done.
            let attempted = owner.consents.contains(&usize::MAX);
            for other in state.others.iter_mut().filter(|other| other.there) {
                other.copies.entry(to).or_insert(Copied { attempted, claim: None });
            }
        }
    }
}

impl Model for Small {
    type State = State;
    type Action = Does;

    fn init_states(&self) -> Vec<State> {
        let owner = Owner {
            there: true,
            epoch: Epoch::FIRST,
            registered: BTreeMap::new(),
            known: BTreeSet::new(),
            home: None,
            moving: None,
            consents: BTreeSet::new(),
        };
        let other = || Other { there: true, life: 1, witness: Witness::new(4), copies: BTreeMap::new() };
        let others = [other(), other()];
        vec![State { owner, others, words: BTreeSet::new(), attempts: 0, goes: 1, losses: 1 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Does>) {
        let home = self.home(state.owner.epoch);
        let there = |w: usize| state.others[w].there;
        actions.extend(state.words.iter().copied().filter(|word| there(word.ends().0)).map(Does::Comes));
        let owner = &state.owner;
        for w in 0..state.others.len() {
            if there(w) && owner.there && !owner.known.contains(&w) && self.witnesses(home).contains(&w) {
                actions.push(Does::Registers(w));
            }
            if there(w) && owner.there && owner.home.is_none() && self.may_promise(state) {
                actions.push(Does::Takes(w));
            }
            if there(w) && state.goes > 0 {
                actions.push(Does::Goes(w));
            }
            if !there(w) {
                actions.push(Does::Returns(w));
                if state.losses > 0 {
                    actions.push(Does::LosesFolder(w));
                }
            }
            let copies = state.others[w].copies.iter().filter(|(_, copied)| copied.claim.is_none());
            actions.extend(copies.filter(|_| there(w)).map(|(home, _)| Does::Claims(w, *home)));
        }
        if owner.there {
            actions.extend(self.replacement(state).map(|_| Does::Replaces));
            if owner.home.is_some() && owner.moving.is_none() && owner.consents.is_empty() {
                actions.push(Does::Intends);
            }
            if owner.home.is_some_and(|at| at != home) && self.may_promise(state) {
                actions.push(Does::Moves);
            }
            if owner.home.is_some() && state.losses > 0 {
                actions.push(Does::OwnerIsLost);
            }
        }
    }

    fn next_state(&self, before: &State, action: Does) -> Option<State> {
        let mut state = before.clone();
        let home = self.home(state.owner.epoch);
        match action {
            Does::Comes(word) => self.comes(&mut state, word),
            Does::Registers(w) => self.register(&mut state, w),
            Does::Replaces => {
                let next = self.replacement(&state)?;
                self.begin_epoch(&mut state, next);
            }
            Does::Takes(w) => {
                state.owner.home = Some(home);
                state.others[w].copies.entry(home).or_default();
            }
            Does::Intends => {
                let at = state.owner.home?;
                for w in self.witnesses(at) {
                    if at != home || state.owner.known.contains(&w) {
                        state.words.insert(Word::Intend(w, at, None));
                    }
                }
            }
            Does::Moves => {
                let at = state.owner.home?;
                let to = state.owner.moving.get_or_insert_with(|| (home, BTreeSet::new())).0;
                let attempted = state.owner.consents.contains(&usize::MAX);
                if !attempted {
                    state.owner.consents.clear();
                }
                for w in self.witnesses(at) {
                    state.words.insert(Word::Move(w, at, to, attempted, None));
                }
            }
            Does::OwnerIsLost => {
                state.losses -= 1;
                state.owner.there = false;
            }
            Does::Goes(w) => {
                state.goes -= 1;
                state.others[w].there = false;
                // Its links end, and with them what is on its way.
                state.words.retain(|word| word.ends().0 != w && word.ends().1 != Some(w));
                state.others[w].copies.values_mut().for_each(|copied| copied.claim = None);
            }
            Does::Returns(w) => state.others[w].there = true,
            Does::LosesFolder(w) => {
                state.losses -= 1;
                let other = &mut state.others[w];
                (other.witness, other.life) = (Witness::new(4), other.life + 1);
                other.copies.clear();
                state.owner.known.remove(&w);
            }
            Does::Claims(w, home) => {
                state.others[w].copies.get_mut(&home)?.claim = Some(Claimant::default());
                for to in self.witnesses(home) {
                    state.words.insert(Word::Claim(to, home, w));
                }
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("attempted once", |_, state: &State| state.attempts <= 1),
            Property::sometimes("attempted behind a replacement", |_, state: &State| {
                let replaced = state.owner.home.is_some_and(|home| home.epoch.chosen().is_some());
                replaced && state.attempts == 1
            }),
            Property::sometimes("claimed from who chose its witnesses", |_, state: &State| {
                let chosen = |o: &Other| {
                    o.copies.iter().any(|(home, copied)| {
                        let claim = copied.claim.as_ref();
                        home.epoch.chosen().is_some()
                            && claim.is_some_and(|c| c.consents.contains(&usize::MAX))
                    })
                };
                !state.owner.there && state.others.iter().any(chosen)
            }),
        ]
    }
}

#[test]
fn no_message_is_attempted_twice_whatever_becomes_of_its_witnesses() {
    let checker = Small::new(Without::Nothing).checker().spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
}

#[test]
fn each_guard_is_missed() {
    let mutants = [Without::NewNumber, Without::HomeOfConsent, Without::Grants, Without::Shown];
    for without in mutants {
        let checker = Small::new(without).checker().spawn_bfs().join();
        let found = checker.discovery("attempted once");
        assert!(found.is_some(), "{without:?} is not missed");
        println!("{without:?}: {} steps", found.map_or(0, |path| path.into_actions().len()));
    }
}
