//! All states of a small fleet: two zones and three senders, whose notes are lost, doubled or late, which
//! restart, and of which one may lie. The machine is the real one: courses, who is followed, and how trials
//! are judged.
//!
//! A note that is late is one that was heard when it was sent and acted on later, so between what a sender
//! has heard and what is true any number of steps may lie; one that is lost was never heard. Which evidence
//! comes when is left open, within what a zone that is up or down can give.

use crate::assess::{FailureThresholds, probe_result};
use crate::evacuation::{DecisionInput, EvacuationState, ProbeResult, TransitionReason, quorum_len};
use crate::ids::{DestinationHash, SenderId, ZoneId};
use crate::note::{Observation, ZoneEvacuation};
use crate::pool::ReportView;
use stateright::{Checker, Expectation, HasDiscoveries, Model, Property};
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex};

const N: usize = 3;
const Z: usize = 2;
/// Steps of a return.
const STEPS: u8 = 1;

type Courses = [EvacuationState; Z];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    courses: [Courses; N],
    heard: [[Option<Courses>; N]; N],
    down: [bool; Z],
    /// What may still happen: zones that turn, senders that restart.
    turns: u8,
    restarts: u8,
    /// Some sender has come to a zone's whole share, or left it, against what it had: never.
    back: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Does {
    Hear(usize, usize),
    Restart(usize),
    Turn(usize),
    /// A sender decides about a zone: it is found failing, or its trials say this.
    Decide(usize, usize, bool, ProbeResult),
    /// A sender that lies writes this to another.
    Lie(usize, Courses),
}

/// What is taken out, to see that it is missed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// One sender is enough to be followed.
    Quorum,
    /// The last zone is left like any.
    LastZone,
    /// Only calls of the very same term count.
    LaterTerms,
}

/// Whether fleets come to agree, by their courses and the zones that are down: many states share these.
type AgreementCache = Mutex<HashMap<([Courses; N], [bool; Z]), bool>>;

#[derive(Clone)]
struct Small {
    without: Without,
    /// The last sender lies, whatever it likes, and no zone ever fails.
    liar: bool,
    /// Only zone 0 is ever left.
    one: bool,
    turns: u8,
    restarts: u8,
    /// Terms that are looked at.
    terms: u32,
    known: Arc<AgreementCache>,
}

fn zone(z: usize) -> ZoneId {
    ZoneId(z as u32)
}

/// Two stand in the first zone, one in the second; where one lies, each stands alone.
fn stands(i: usize, liar: bool) -> ZoneId {
    zone(if liar { i } else { i % 2 })
}

impl Small {
    fn told(
        &self,
        i: usize,
        z: usize,
        own: EvacuationState,
        heard: &[Option<Courses>; N],
    ) -> Option<EvacuationState> {
        let others = (0..N).filter(|&j| j != i).filter_map(|j| Some((heard[j]?[z], stands(j, self.liar))));
        let mut ahead: Vec<(EvacuationState, ZoneId)> = others.filter(|w| w.0 > own).collect();
        ahead.sort_by_key(|w| std::cmp::Reverse(w.0));
        match self.without {
            Without::Quorum => ahead.first().map(|w| w.0),
            _ => quorum_len(&ahead, 2, 2).map(|n| ahead[n - 1].0),
        }
    }

    fn decide(
        &self,
        i: usize,
        z: usize,
        courses: &Courses,
        heard: &[Option<Courses>; N],
        evidence: (bool, ProbeResult),
    ) -> Option<(EvacuationState, TransitionReason)> {
        let other = courses[1 - z].has_full_share() || self.without == Without::LastZone;
        let told = self.told(i, z, courses[z], heard);
        let (failing, trial) = evidence;
        courses[z].next(&DecisionInput {
            is_failing: failing,
            quorum_state: told,
            probe_result: trial,
            wait_elapsed: true,
            has_other_zone: other,
            return_steps: STEPS,
        })
    }

    /// What trials say to a sender that has heard all, while the zones are as they are: the real judgement.
    fn judged(&self, i: usize, z: usize, all: &[Courses; N], down: bool) -> ProbeResult {
        let (answered, failed) = if down { (0, 2) } else { (2, 0) };
        let seen: Vec<Observation> = (0..2)
            .map(|d| Observation { zone: zone(z), destination: DestinationHash(d), answered, failed })
            .collect();
        let taken = |j: usize| {
            let same = |c: EvacuationState| self.without != Without::LaterTerms || c.term == all[i][z].term;
            let course = if same(all[j][z]) || all[j][z].has_full_share() {
                all[j][z]
            } else {
                EvacuationState::default()
            };
            let hidden = course != all[j][z];
            (vec![ZoneEvacuation { zone: zone(z), state: course, consecutive_failures: 0 }], hidden)
        };
        let taken: Vec<_> = (0..N).map(taken).collect();
        let words: Vec<ReportView<'_>> = (0..N)
            .filter(|&j| !taken[j].1)
            .map(|j| ReportView {
                from: SenderId(j as u32),
                sender_zone: stands(j, self.liar),
                evacuations: &taken[j].0,
                observations: &seen,
            })
            .collect();
        probe_result(zone(z), (all[i][z], &BTreeSet::new()), &words, &FailureThresholds::default(), N)
    }

    /// Whether a fleet in this state comes to leave just the zones that are down, once all hear all.
    fn heals(&self, state: &State, down: [bool; Z]) -> bool {
        let key = (state.courses, down);
        let known = self.known.lock().expect("sound").get(&key).copied();
        known.unwrap_or_else(|| {
            let heals = self.agrees(state.courses, down);
            self.known.lock().expect("sound").insert(key, heals);
            heals
        })
    }

    fn agrees(&self, mut courses: [Courses; N], down: [bool; Z]) -> bool {
        for _ in 0..12 {
            let before = courses;
            for i in 0..N {
                for z in 0..Z {
                    let heard = courses.map(Some);
                    let failing = down[z] && courses[i][z].has_full_share();
                    let evidence = (failing, self.judged(i, z, &courses, down[z]));
                    if let Some((course, _)) = self.decide(i, z, &courses[i], &heard, evidence) {
                        courses[i][z] = course;
                    }
                }
            }
            if courses == before {
                break;
            }
        }
        let right =
            |c: &Courses| (0..Z).all(|z| if down[z] { c[z].is_evacuated() } else { c[z].has_full_share() });
        courses.iter().all(right)
    }
}

impl Model for Small {
    type State = State;
    type Action = Does;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            courses: Default::default(),
            heard: Default::default(),
            down: [false; Z],
            turns: self.turns,
            restarts: self.restarts,
            back: false,
        }]
    }

    fn actions(&self, state: &State, all: &mut Vec<Does>) {
        let honest = if self.liar { N - 1 } else { N };
        let zones = if self.one { 1 } else { Z };
        for i in 0..honest {
            all.extend((0..honest).filter(|&j| j != i).map(|j| Does::Hear(i, j)));
            if state.restarts > 0 {
                all.push(Does::Restart(i));
            }
            for z in 0..zones {
                all.push(Does::Decide(i, z, false, ProbeResult::Inconclusive));
                if state.down[z] {
                    all.push(Does::Decide(i, z, true, ProbeResult::Inconclusive));
                    all.push(Does::Decide(i, z, false, ProbeResult::Failed));
                } else {
                    all.push(Does::Decide(i, z, false, ProbeResult::Passed));
                }
            }
            if self.liar {
                let level = [0, 1, EvacuationState::FULL_SHARE];
                let lies =
                    (0..=self.terms).flat_map(|term| level.map(|level| EvacuationState { term, level }));
                all.extend(lies.map(|c| Does::Lie(i, [c, EvacuationState::default()])));
            }
        }
        // One at a time, as at least one zone always serves.
        let some_down = state.down.contains(&true);
        if state.turns > 0 && !self.liar {
            all.extend((0..zones).filter(|&z| state.down[z] || !some_down).map(Does::Turn));
        }
    }

    fn next_state(&self, last: &State, does: Does) -> Option<State> {
        let mut state = last.clone();
        match does {
            Does::Hear(i, j) => state.heard[i][j] = Some(state.courses[j]),
            Does::Lie(i, courses) => state.heard[i][N - 1] = Some(courses),
            Does::Turn(z) => {
                state.down[z] = !state.down[z];
                state.turns -= 1;
            }
            Does::Restart(i) => {
                state.courses[i] = Courses::default();
                state.heard[i] = Default::default();
                state.restarts -= 1;
            }
            Does::Decide(i, z, failing, trial) => {
                let (course, _) = self.decide(i, z, &state.courses[i], &state.heard[i], (failing, trial))?;
                state.back |= course <= state.courses[i][z];
                state.courses[i][z] = course;
            }
        }
        (state != *last).then_some(state)
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.courses.iter().flatten().all(|c| c.term <= self.terms)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a course only grows", |_, s: &State| !s.back),
            Property::always("no sender leaves all zones", |_, s: &State| {
                s.courses.iter().all(|c| c.iter().any(|z| z.has_full_share()))
            }),
            Property::always("one that lies leaves nothing", |m: &Small, s: &State| {
                !m.liar || s.courses.iter().flatten().all(|c| c.has_full_share())
            }),
            Property::always("the fleet agrees once all hear all", |m: &Small, s: &State| {
                let downs = [[false, false], [true, false], [false, true]];
                m.liar || downs.into_iter().filter(|d| !(m.one && d[1])).all(|d| m.heals(s, d))
            }),
            Property::sometimes("a zone is left by all", |m: &Small, s: &State| {
                m.liar || s.courses.iter().all(|c| c[0].is_evacuated())
            }),
            Property::sometimes("and returned to by all", |m: &Small, s: &State| {
                m.liar || s.courses.iter().all(|c| c[0].has_full_share() && c[0].term > 0)
            }),
        ]
    }
}

/// Looks at all states, or at those within so many steps; gives how many there were, and what is broken with
/// a way there.
fn check(small: &Small, depth: Option<usize>) -> (usize, Vec<(&'static str, Vec<Does>)>) {
    // One thread, so that states come in the same order each time.
    let checker = small.clone().checker().finish_when(HasDiscoveries::AnyFailures).threads(1);
    let checker = depth.into_iter().fold(checker, |c, depth| c.target_max_depth(depth));
    let checker = checker.spawn_bfs().join();
    let mut broken = Vec::new();
    for property in small.properties() {
        match (checker.discovery(property.name), property.expectation) {
            (Some(path), Expectation::Always) => broken.push((property.name, path.into_actions())),
            (None, Expectation::Sometimes) if depth.is_none() => broken.push((property.name, Vec::new())),
            _ => {}
        }
    }
    (checker.unique_state_count(), broken)
}

fn one() -> Small {
    let (without, known) = (Without::Nothing, Arc::default());
    Small { without, liar: false, one: true, turns: 2, restarts: 1, terms: 2, known }
}

fn holds(what: &str, small: &Small) {
    let (states, broken) = check(small, None);
    println!("{what}: {states} states");
    assert!(broken.is_empty(), "{what}: {broken:?}");
}

#[test]
fn one_zone_that_fails_and_comes_back_and_one_that_does_while_a_sender_restarts() {
    holds("one zone, two terms", &Small { restarts: 0, ..one() });
    holds("one zone, one restart", &Small { terms: 1, ..one() });
}

#[test]
fn two_zones_that_fail_one_after_the_other() {
    holds("two zones", &Small { one: false, restarts: 0, terms: 1, ..one() });
}

#[test]
fn a_sender_that_lies() {
    holds("one that lies", &Small { liar: true, turns: 0, ..one() });
}

/// The shortest way to what is broken where a guard is taken out.
fn missed(small: &Small, what: &str) {
    let within = |depth| check(small, Some(depth)).1.into_iter().next();
    let (name, way) = (1..20).find_map(within).expect("something is broken");
    println!("without {:?}, {name}: {way:?}", small.without);
    assert_eq!(name, what);
}

#[test]
fn without_a_quorum_one_that_lies_is_followed() {
    let small = Small { without: Without::Quorum, liar: true, turns: 0, ..one() };
    missed(&small, "one that lies leaves nothing");
}

#[test]
fn without_care_for_the_last_zone_all_are_left() {
    let small = Small { without: Without::LastZone, one: false, restarts: 0, turns: 3, terms: 1, ..one() };
    missed(&small, "no sender leaves all zones");
}

#[test]
fn where_only_the_very_same_term_counts_a_fleet_stays_split() {
    missed(&Small { without: Without::LaterTerms, ..one() }, "the fleet agrees once all hear all");
}
