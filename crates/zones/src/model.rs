//! Explores all states of a small fleet with a model checker: two zones and three senders, with notes that
//! are lost, duplicated or late, senders that restart, and one sender that may lie. The state machine is the
//! real one: evacuation states, quorums, and the assessment of probes.
//!
//! A late note is modelled as one that is received at once and acted on later, so any number of steps may lie
//! between what a sender has received and the present state. A lost note is one that is never received. The
//! order in which evidence arrives is left open, within what a zone that is up or down can produce.
//!
//! `i` and `j` are indices of senders, and `z` is that of a zone.

use crate::assess::{FailureThresholds, probe_result};
use crate::evacuation::{DecisionInput, EvacuationState, ProbeResult, TransitionReason, quorum_len};
use crate::ids::{DestinationHash, SenderId, ZoneId};
use crate::note::{Observation, ZoneEvacuation};
use crate::pool::ReportView;
use stateright::{Checker, Expectation, HasDiscoveries, Model, Property};
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex};

const SENDERS: usize = 3;
const ZONES: usize = 2;
/// The number of steps of a return.
const RETURN_STEPS: u8 = 1;

/// The evacuation state of each zone, at one sender.
type Evacuations = [EvacuationState; ZONES];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FleetState {
    evacuations: [Evacuations; SENDERS],
    /// By receiver and sender: the last report received.
    received: [[Option<Evacuations>; SENDERS]; SENDERS],
    is_down: [bool; ZONES],
    /// How many more times a zone may go down or recover, and a sender may restart.
    outage_changes: u8,
    restarts: u8,
    /// Whether the evacuation state of a zone has ever decreased, or stayed the same in a transition, at some
    /// sender. This must not happen.
    has_regressed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// The first sender receives the report of the second.
    Receive(usize, usize),
    /// A sender restarts.
    Restart(usize),
    /// A zone goes down or recovers.
    ChangeOutage(usize),
    /// A sender decides about a zone: whether it is found failing, and the result of its probes.
    Decide(usize, usize, bool, ProbeResult),
    /// A sender receives this report of the lying one.
    Lie(usize, Evacuations),
}

/// The safeguard that is removed, to show that the model detects its absence.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// One sender suffices as a quorum.
    Quorum,
    /// The last zone is evacuated like any other.
    LastZone,
    /// Only calls of exactly the same term count.
    LaterTerms,
}

/// Caches whether a fleet reaches agreement, by evacuation states and zones that are down. Many states of the
/// model share these.
type AgreementCache = Mutex<HashMap<([Evacuations; SENDERS], [bool; ZONES]), bool>>;

#[derive(Clone)]
struct SmallFleet {
    without: Without,
    /// The last sender sends any lie, and no zone ever fails.
    has_liar: bool,
    /// Only zone 0 is ever evacuated.
    only_one_zone: bool,
    outage_changes: u8,
    restarts: u8,
    /// The highest term that is explored.
    max_term: u32,
    agreement_cache: Arc<AgreementCache>,
}

fn zone(z: usize) -> ZoneId {
    ZoneId(z as u32)
}

/// Returns the zone in which a sender runs: two run in the first zone and one in the second. In a fleet with
/// a liar each runs in a zone of its own.
fn sender_zone(i: usize, has_liar: bool) -> ZoneId {
    zone(if has_liar { i } else { i % 2 })
}

impl SmallFleet {
    fn quorum(
        &self,
        i: usize,
        z: usize,
        own: EvacuationState,
        received: &[Option<Evacuations>; SENDERS],
    ) -> Option<EvacuationState> {
        let others = (0..SENDERS)
            .filter(|&j| j != i)
            .filter_map(|j| Some((received[j]?[z], sender_zone(j, self.has_liar))));
        let mut ahead: Vec<(EvacuationState, ZoneId)> = others.filter(|other| other.0 > own).collect();
        ahead.sort_by_key(|other| std::cmp::Reverse(other.0));
        match self.without {
            Without::Quorum => ahead.first().map(|other| other.0),
            _ => quorum_len(&ahead, 2, 2).map(|n| ahead[n - 1].0),
        }
    }

    fn decide(
        &self,
        i: usize,
        z: usize,
        evacuations: &Evacuations,
        received: &[Option<Evacuations>; SENDERS],
        evidence: (bool, ProbeResult),
    ) -> Option<(EvacuationState, TransitionReason)> {
        let has_other_zone = evacuations[1 - z].has_full_share() || self.without == Without::LastZone;
        let quorum_state = self.quorum(i, z, evacuations[z], received);
        let (is_failing, probe_result) = evidence;
        evacuations[z].next(&DecisionInput {
            is_failing,
            quorum_state,
            probe_result,
            wait_elapsed: true,
            has_other_zone,
            return_steps: RETURN_STEPS,
        })
    }

    /// Returns the result of probes for a sender that has received all reports, while the zones stay as they
    /// are, by the real assessment.
    fn probe_result(&self, i: usize, z: usize, all: &[Evacuations; SENDERS], is_down: bool) -> ProbeResult {
        let (answered, failed) = if is_down { (0, 2) } else { (2, 0) };
        let observations: Vec<Observation> = (0..2)
            .map(|d| Observation { zone: zone(z), destination: DestinationHash(d), answered, failed })
            .collect();
        let evacuation = |j: usize| {
            let is_counted =
                |e: EvacuationState| self.without != Without::LaterTerms || e.term == all[i][z].term;
            let state = if is_counted(all[j][z]) || all[j][z].has_full_share() {
                all[j][z]
            } else {
                EvacuationState::default()
            };
            let is_hidden = state != all[j][z];
            (vec![ZoneEvacuation { zone: zone(z), state, consecutive_failures: 0 }], is_hidden)
        };
        let evacuations: Vec<_> = (0..SENDERS).map(evacuation).collect();
        let reports: Vec<ReportView<'_>> = (0..SENDERS)
            .filter(|&j| !evacuations[j].1)
            .map(|j| ReportView {
                from: SenderId(j as u32),
                sender_zone: sender_zone(j, self.has_liar),
                evacuations: &evacuations[j].0,
                observations: &observations,
            })
            .collect();
        probe_result(zone(z), (all[i][z], &BTreeSet::new()), &reports, &FailureThresholds::default(), SENDERS)
    }

    /// Returns whether a fleet in this state evacuates exactly the zones that are down, once all senders
    /// receive all reports.
    fn converges(&self, state: &FleetState, is_down: [bool; ZONES]) -> bool {
        let key = (state.evacuations, is_down);
        let cached = self.agreement_cache.lock().expect("not poisoned").get(&key).copied();
        cached.unwrap_or_else(|| {
            let converges = self.reaches_agreement(state.evacuations, is_down);
            self.agreement_cache.lock().expect("not poisoned").insert(key, converges);
            converges
        })
    }

    fn reaches_agreement(&self, mut evacuations: [Evacuations; SENDERS], is_down: [bool; ZONES]) -> bool {
        for _ in 0..12 {
            let before = evacuations;
            for i in 0..SENDERS {
                for z in 0..ZONES {
                    let received = evacuations.map(Some);
                    let is_failing = is_down[z] && evacuations[i][z].has_full_share();
                    let evidence = (is_failing, self.probe_result(i, z, &evacuations, is_down[z]));
                    if let Some((state, _)) = self.decide(i, z, &evacuations[i], &received, evidence) {
                        evacuations[i][z] = state;
                    }
                }
            }
            if evacuations == before {
                break;
            }
        }
        let is_right = |e: &Evacuations| {
            (0..ZONES).all(|z| if is_down[z] { e[z].is_evacuated() } else { e[z].has_full_share() })
        };
        evacuations.iter().all(is_right)
    }
}

impl Model for SmallFleet {
    type State = FleetState;
    type Action = Action;

    fn init_states(&self) -> Vec<FleetState> {
        vec![FleetState {
            evacuations: Default::default(),
            received: Default::default(),
            is_down: [false; ZONES],
            outage_changes: self.outage_changes,
            restarts: self.restarts,
            has_regressed: false,
        }]
    }

    fn actions(&self, state: &FleetState, all: &mut Vec<Action>) {
        let honest = if self.has_liar { SENDERS - 1 } else { SENDERS };
        let zones = if self.only_one_zone { 1 } else { ZONES };
        for i in 0..honest {
            all.extend((0..honest).filter(|&j| j != i).map(|j| Action::Receive(i, j)));
            if state.restarts > 0 {
                all.push(Action::Restart(i));
            }
            for z in 0..zones {
                all.push(Action::Decide(i, z, false, ProbeResult::Inconclusive));
                if state.is_down[z] {
                    all.push(Action::Decide(i, z, true, ProbeResult::Inconclusive));
                    all.push(Action::Decide(i, z, false, ProbeResult::Failed));
                } else {
                    all.push(Action::Decide(i, z, false, ProbeResult::Passed));
                }
            }
            if self.has_liar {
                let level = [0, 1, EvacuationState::FULL_SHARE];
                let lies =
                    (0..=self.max_term).flat_map(|term| level.map(|level| EvacuationState { term, level }));
                all.extend(lies.map(|lie| Action::Lie(i, [lie, EvacuationState::default()])));
            }
        }
        // One zone is down at a time, since at least one zone always serves.
        let is_any_down = state.is_down.contains(&true);
        if state.outage_changes > 0 && !self.has_liar {
            all.extend((0..zones).filter(|&z| state.is_down[z] || !is_any_down).map(Action::ChangeOutage));
        }
    }

    fn next_state(&self, last: &FleetState, action: Action) -> Option<FleetState> {
        let mut state = last.clone();
        match action {
            Action::Receive(i, j) => state.received[i][j] = Some(state.evacuations[j]),
            Action::Lie(i, evacuations) => state.received[i][SENDERS - 1] = Some(evacuations),
            Action::ChangeOutage(z) => {
                state.is_down[z] = !state.is_down[z];
                state.outage_changes -= 1;
            }
            Action::Restart(i) => {
                state.evacuations[i] = Evacuations::default();
                state.received[i] = Default::default();
                state.restarts -= 1;
            }
            Action::Decide(i, z, is_failing, probe_result) => {
                let (next, _) =
                    self.decide(i, z, &state.evacuations[i], &state.received[i], (is_failing, probe_result))?;
                state.has_regressed |= next <= state.evacuations[i][z];
                state.evacuations[i][z] = next;
            }
        }
        (state != *last).then_some(state)
    }

    fn within_boundary(&self, state: &FleetState) -> bool {
        state.evacuations.iter().flatten().all(|e| e.term <= self.max_term)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("an evacuation state only increases", |_, s: &FleetState| !s.has_regressed),
            Property::always("no sender evacuates all zones", |_, s: &FleetState| {
                s.evacuations.iter().all(|e| e.iter().any(|z| z.has_full_share()))
            }),
            Property::always("a lying sender causes no evacuation", |m: &SmallFleet, s: &FleetState| {
                !m.has_liar || s.evacuations.iter().flatten().all(|e| e.has_full_share())
            }),
            Property::always(
                "the fleet agrees once all reports are received",
                |m: &SmallFleet, s: &FleetState| {
                    let outages = [[false, false], [true, false], [false, true]];
                    m.has_liar
                        || outages
                            .into_iter()
                            .filter(|d| !(m.only_one_zone && d[1]))
                            .all(|d| m.converges(s, d))
                },
            ),
            Property::sometimes("all senders evacuate a zone", |m: &SmallFleet, s: &FleetState| {
                m.has_liar || s.evacuations.iter().all(|e| e[0].is_evacuated())
            }),
            Property::sometimes("all senders return to it", |m: &SmallFleet, s: &FleetState| {
                m.has_liar || s.evacuations.iter().all(|e| e[0].has_full_share() && e[0].term > 0)
            }),
        ]
    }
}

/// Explores all states, or those within `depth` steps. Returns the number of states and the violated
/// properties, each with the actions that lead to a violation.
fn check(model: &SmallFleet, depth: Option<usize>) -> (usize, Vec<(&'static str, Vec<Action>)>) {
    // One thread, so that the states are explored in the same order each time.
    let checker = model.clone().checker().finish_when(HasDiscoveries::AnyFailures).threads(1);
    let checker = depth.into_iter().fold(checker, |c, depth| c.target_max_depth(depth));
    let checker = checker.spawn_bfs().join();
    let mut violations = Vec::new();
    for property in model.properties() {
        match (checker.discovery(property.name), property.expectation) {
            (Some(path), Expectation::Always) => violations.push((property.name, path.into_actions())),
            (None, Expectation::Sometimes) if depth.is_none() => violations.push((property.name, Vec::new())),
            _ => {}
        }
    }
    (checker.unique_state_count(), violations)
}

/// Returns a fleet of which one zone fails and recovers, with one restart and two terms.
fn one_zone() -> SmallFleet {
    let (without, agreement_cache) = (Without::Nothing, Arc::default());
    SmallFleet {
        without,
        has_liar: false,
        only_one_zone: true,
        outage_changes: 2,
        restarts: 1,
        max_term: 2,
        agreement_cache,
    }
}

fn assert_holds(name: &str, model: &SmallFleet) {
    let (states, violations) = check(model, None);
    println!("{name}: {states} states");
    assert!(violations.is_empty(), "{name}: {violations:?}");
}

#[test]
fn properties_hold_while_one_zone_fails_and_recovers_and_while_a_sender_restarts() {
    assert_holds("one zone, two terms", &SmallFleet { restarts: 0, ..one_zone() });
    assert_holds("one zone, one restart", &SmallFleet { max_term: 1, ..one_zone() });
}

#[test]
fn properties_hold_while_two_zones_fail_one_after_the_other() {
    assert_holds("two zones", &SmallFleet { only_one_zone: false, restarts: 0, max_term: 1, ..one_zone() });
}

#[test]
fn properties_hold_while_a_sender_lies() {
    assert_holds("a lying sender", &SmallFleet { has_liar: true, outage_changes: 0, ..one_zone() });
}

/// Finds the shortest way to a violation where a safeguard is removed, and checks which property is violated.
fn assert_violates(model: &SmallFleet, property: &str) {
    let within = |depth| check(model, Some(depth)).1.into_iter().next();
    let (name, actions) = (1..20).find_map(within).expect("a property is violated");
    println!("without {:?}, {name}: {actions:?}", model.without);
    assert_eq!(name, property);
}

#[test]
fn without_a_quorum_a_lying_sender_is_followed() {
    let model = SmallFleet { without: Without::Quorum, has_liar: true, outage_changes: 0, ..one_zone() };
    assert_violates(&model, "a lying sender causes no evacuation");
}

#[test]
fn without_the_rule_for_the_last_zone_all_zones_are_evacuated() {
    let model = SmallFleet {
        without: Without::LastZone,
        only_one_zone: false,
        restarts: 0,
        outage_changes: 3,
        max_term: 1,
        ..one_zone()
    };
    assert_violates(&model, "no sender evacuates all zones");
}

#[test]
fn if_only_calls_of_the_same_term_count_a_fleet_does_not_reach_agreement() {
    assert_violates(
        &SmallFleet { without: Without::LaterTerms, ..one_zone() },
        "the fleet agrees once all reports are received",
    );
}
