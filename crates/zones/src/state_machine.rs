//! The state machine that one sender runs for all zones: it takes in call results and the notes of other
//! senders, and returns the notes to send, the health of zones, and the share of its traffic that each zone
//! is to receive.

use crate::assess::{
    FailureThresholds, Finding, Health, assess_zones, is_unreliable, needs_probes, probe_result,
    split_destinations,
};
use crate::evacuation::{DecisionInput, EvacuationState, ProbeResult, TransitionReason, quorum_len};
use crate::evidence::{CallResult, EVIDENCE_WINDOW, Evidence};
use crate::ids::{DestinationHash, Micros, SenderId, ZoneId};
use crate::note::{Report, ZoneEvacuation, decode, encode};
use crate::pool::{MergeResult, ReportPool, ReportView};
use crate::return_schedule::{FORGET_FAILURES_AFTER, ReturnSchedule, probe_round};
use rand::seq::{IteratorRandom, index::sample};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};

/// The interval at which zones are assessed and notes are sent.
pub const TICK_INTERVAL: Micros = 500_000;
/// The number of other senders that receive a note at each tick while anything fails. They are drawn anew
/// each time, so each sender receives reports of some eighteen others within the evidence window, in a fleet
/// of twenty as well as of a thousand, and sends as many notes in both.
const FANOUT: usize = 3;
/// While nothing fails, one other sender receives a note at every fourth tick. Notes from others show a
/// sender that it is not isolated.
const QUIET_TICKS: u64 = 4;
/// The number of ticks in a row at which a health must be found before it is adopted: fewer for a worse
/// health than for a better one.
const TICKS_TO_WORSEN: u32 = 2;
const TICKS_TO_IMPROVE: u32 = 6;
/// A sender that has received no note for this long considers itself isolated.
const ISOLATION_TIMEOUT: Micros = 4 * QUIET_TICKS * TICK_INTERVAL + EVIDENCE_WINDOW;
/// The maximum number of zones whose status is kept; the platform names few.
const MAX_ZONES: usize = 64;
/// Each sender extends its waits by a random part of up to this share.
const MAX_JITTER: f64 = 0.25;

/// The configuration of a [`ZoneStateMachine`].
#[derive(Clone, Debug)]
pub struct ZonesConfig {
    /// This sender's number in the fleet.
    pub sender: SenderId,
    /// The number of senders in the fleet.
    pub fleet_size: u32,
    /// The zone in which this sender runs.
    pub own_zone: ZoneId,
    /// Whether notes can be sent at all.
    pub can_send: bool,
    /// The thresholds at which a zone is found failing.
    pub thresholds: FailureThresholds,
    /// The schedule of a return to a zone. With `None`, zones are watched and never evacuated.
    pub return_schedule: Option<ReturnSchedule>,
    /// The zones that operators pinned, whatever is found: `false` for a zone that receives nothing, `true`
    /// for one that is never evacuated.
    pub pinned: BTreeMap<ZoneId, bool>,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this note to another sender.
    Send(SenderId, Vec<u8>),
    /// Send a zone this share of its traffic from now on.
    SetShare {
        /// The zone.
        zone: ZoneId,
        /// The share, from 0 to 1.
        share: f64,
        /// Whether to send one probe to each destination in the zone, regardless of the share.
        probe: bool,
        /// Destinations that serve in the zone. Their traffic is not reduced.
        exempt: BTreeSet<DestinationHash>,
    },
    /// Whether clients are to be redirected to senders in other zones: this sender's zone is evacuated, and
    /// notes from senders in other zones arrive.
    RedirectClients(bool),
    /// Write this event to the log.
    Log(Event),
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The health of a zone has changed.
    HealthChanged {
        /// The zone.
        zone: ZoneId,
        /// The health before.
        before: Health,
        /// The health now, and the evidence for it.
        finding: Finding,
        /// The number of health changes of this zone so far, at this sender.
        changes: u64,
    },
    /// The share of a zone has changed: it was evacuated, or a step of a return began.
    ShareChanged {
        /// The zone.
        zone: ZoneId,
        /// The evacuation state before.
        before: EvacuationState,
        /// The evacuation state now.
        state: EvacuationState,
        /// The share of its traffic that the zone receives from now on.
        share: f64,
        /// Why.
        reason: TransitionReason,
        /// The number of times in a row that the zone has failed.
        consecutive_failures: u8,
        /// The senders whose reports led to the change.
        senders: Vec<SenderId>,
    },
    /// A sender has contradicted one of its reports. Returned once for each sender.
    ContradictoryReport(SenderId),
    /// Whether this sender is isolated: no notes have arrived for a long time, or all its calls fail. While
    /// it is, it keeps the health and shares that it had.
    Isolated(bool),
}

/// The status of a zone, as this sender has found it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneStatus {
    /// The health of the zone.
    pub health: Health,
    /// The number of times the health has changed.
    pub health_changes: u64,
    /// The last finding.
    pub finding: Finding,
    /// How far the zone is evacuated.
    pub evacuation: EvacuationState,
    /// The number of times in a row that it has failed.
    pub consecutive_failures: u8,
    /// The number of other senders whose evacuation state is at least as new, and of all other senders whose
    /// reports were received within the evidence window.
    pub in_sync: (usize, usize),
    /// The health that may be adopted next, and the number of ticks in a row at which it was found.
    pending: Option<(Health, u32)>,
    /// When the evacuation state last changed.
    since: Micros,
    /// The share by which this sender extends the wait before the next change.
    jitter: f64,
    /// When probing began.
    probing_since: Option<Micros>,
    /// The last round in which this sender probed.
    probe_round: Option<u64>,
    /// Destinations that serve in the zone although it fails.
    pub exempt: BTreeSet<DestinationHash>,
    /// The last share and exempt destinations that the caller received.
    last_output: Option<(f64, BTreeSet<DestinationHash>)>,
}

/// The phase of a zone, under the names that operators see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZonePhase {
    /// It receives its full share, and there is no evidence of a failure.
    Serving,
    /// It receives its full share, and some calls fail there.
    Doubted,
    /// It receives its full share although it is found failing: zones are only watched, or it is the last
    /// one.
    Failing,
    /// This sender has evacuated it, and some of the senders whose reports arrive have not.
    Leaving,
    /// It is evacuated.
    Left,
    /// It is evacuated, and a few senders probe it.
    Trying,
    /// It receives a part of its share.
    Returning,
}

impl ZoneStatus {
    /// Returns the phase of the zone.
    pub fn phase(&self) -> ZonePhase {
        match (self.evacuation.level, self.health) {
            (EvacuationState::FULL_SHARE, Health::Serving) => ZonePhase::Serving,
            (EvacuationState::FULL_SHARE, Health::Doubted) => ZonePhase::Doubted,
            (EvacuationState::FULL_SHARE, Health::Failing) => ZonePhase::Failing,
            (0, _) if self.probing_since.is_some() => ZonePhase::Trying,
            (0, _) if self.in_sync.0 < self.in_sync.1 => ZonePhase::Leaving,
            (0, _) => ZonePhase::Left,
            _ => ZonePhase::Returning,
        }
    }
}

/// What the reports show of a zone that this sender or others have evacuated.
struct ZoneView {
    input: DecisionInput,
    /// The senders that form the quorum.
    quorum_senders: Vec<SenderId>,
    /// The smallest number of failures in a row that they report.
    consecutive_failures: u8,
    /// As in [`ZoneStatus`].
    in_sync: (usize, usize),
    /// Destinations that serve in the zone, and those that fail there.
    split: (BTreeSet<DestinationHash>, BTreeSet<DestinationHash>),
}

/// The state machine of one sender. See the crate's documentation.
#[derive(Debug)]
pub struct ZoneStateMachine {
    config: ZonesConfig,
    incarnation: u32,
    sequence: u32,
    evidence: Evidence,
    pool: ReportPool,
    statuses: BTreeMap<ZoneId, ZoneStatus>,
    /// Zones in which the endpoint list names endpoints.
    listed_zones: BTreeSet<ZoneId>,
    started_at: Micros,
    /// When a note of another sender was last received.
    last_note_at: Micros,
    is_isolated: bool,
    tick_count: u64,
    next_tick: Micros,
    contradictory_senders: Vec<SenderId>,
    redirects_clients: bool,
    rng: Pcg64,
}

impl ZoneStateMachine {
    /// Creates a state machine without any evidence.
    pub fn new(config: ZonesConfig, seed: u64, now: Micros) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let incarnation = rng.random();
        // A random offset keeps the senders of a fleet from ticking all at once.
        let next_tick = now + rng.random_range(0..TICK_INTERVAL);
        Self {
            config,
            incarnation,
            sequence: 0,
            evidence: Evidence::default(),
            pool: ReportPool::default(),
            statuses: BTreeMap::new(),
            listed_zones: BTreeSet::new(),
            started_at: now,
            last_note_at: now,
            is_isolated: false,
            tick_count: 0,
            next_tick,
            contradictory_senders: Vec::new(),
            redirects_clients: false,
            rng,
        }
    }

    /// Records how a call ended that began at `began`.
    pub fn record_call(
        &mut self,
        now: Micros,
        began: Micros,
        zone: ZoneId,
        destination: DestinationHash,
        result: CallResult,
    ) {
        self.evidence.record_call(now, began, zone, destination, result);
    }

    /// Sets the zones in which the endpoint list names endpoints.
    pub fn set_listed_zones(&mut self, zones: BTreeSet<ZoneId>) {
        self.listed_zones = zones;
    }

    /// Replaces thresholds, return schedule and pinned zones from the next tick on. The sender's number, its
    /// zone and the size of the fleet do not change.
    pub fn reconfigure(
        &mut self,
        thresholds: FailureThresholds,
        return_schedule: Option<ReturnSchedule>,
        pinned: BTreeMap<ZoneId, bool>,
    ) {
        (self.config.thresholds, self.config.return_schedule, self.config.pinned) =
            (thresholds, return_schedule, pinned);
    }

    /// Takes in a datagram of another sender. Returns whether it was a note of this format.
    pub fn receive_note(&mut self, now: Micros, from: SenderId, bytes: &[u8], out: &mut Vec<Output>) -> bool {
        let Some(report) = decode(bytes) else { return false };
        if from == self.config.sender || from.0 >= self.config.fleet_size {
            return true;
        }
        self.last_note_at = self.last_note_at.max(now);
        let is_contradictory = self.pool.merge(now, from, report) == MergeResult::Contradictory;
        if is_contradictory
            && !self.contradictory_senders.contains(&from)
            && self.contradictory_senders.len() < MAX_ZONES
        {
            self.contradictory_senders.push(from);
            out.push(Output::Log(Event::ContradictoryReport(from)));
        }
        true
    }

    /// Returns when [`Self::tick`] is to be called next.
    pub fn next_wake(&self) -> Micros {
        self.next_tick
    }

    /// Returns the status of each zone.
    pub fn statuses(&self) -> &BTreeMap<ZoneId, ZoneStatus> {
        &self.statuses
    }

    /// Returns the share of its traffic that a zone receives.
    pub fn share(&self, zone: ZoneId) -> f64 {
        let state = self.statuses.get(&zone).map_or(EvacuationState::default(), |s| s.evacuation);
        match (self.config.pinned.get(&zone), &self.config.return_schedule) {
            (Some(true), _) | (None, None) => 1.0,
            (Some(false), _) => 0.0,
            (None, Some(schedule)) => schedule.share(state.level),
        }
    }

    /// Returns whether clients are to be redirected to senders in other zones.
    pub fn redirects_clients(&self) -> bool {
        self.redirects_clients
    }

    /// Returns whether this sender is isolated, and keeps the health and shares that it had.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Assesses all zones and sends notes, if the next tick is due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        self.tick_count += 1;
        self.sequence += 1;
        let observations = self.evidence.observations(now);
        let own = Report {
            sender_zone: self.config.own_zone,
            incarnation: self.incarnation,
            sequence: self.sequence,
            evacuations: self.evacuations(),
            observations,
        };
        let is_cut_off = is_unreliable(&own.observations);
        let own_view = ReportView {
            from: self.config.sender,
            sender_zone: own.sender_zone,
            evacuations: &own.evacuations,
            observations: &own.observations,
        };
        // The observations of a sender whose calls all fail are no evidence about a zone.
        let reports: Vec<ReportView<'_>> =
            self.pool.fresh(now).chain([own_view]).filter(|r| !is_unreliable(r.observations)).collect();
        let findings = assess_zones(&reports, &self.config.thresholds);
        let receives_nothing =
            self.config.fleet_size > 1 && now.saturating_sub(self.last_note_at) > ISOLATION_TIMEOUT;
        let is_isolated = is_cut_off || receives_nothing;
        let views = if self.config.return_schedule.is_some() {
            self.zone_views(now, &reports)
        } else {
            BTreeMap::new()
        };
        // Calls of other senders that failed only raise the note rate if they cast doubt on a zone.
        let is_any_doubted = findings.values().any(|f| f.health != Health::Serving);
        let has_trouble = is_any_doubted || own.observations.iter().any(|o| o.failed > 0);
        if std::mem::replace(&mut self.is_isolated, is_isolated) != is_isolated {
            out.push(Output::Log(Event::Isolated(is_isolated)));
        }
        if !is_isolated {
            // The state of a quorum is adopted at once, even by a sender that has only just started.
            if now.saturating_sub(self.started_at) >= EVIDENCE_WINDOW {
                self.update_health(findings, out);
            }
            self.advance_evacuations(now, views, out);
            self.update_probing(now, out);
        }
        self.output_shares(out);
        self.update_redirection(now, out);
        // Notes are sent last, so that a transition of this tick reaches others one tick earlier.
        let evacuations = self.evacuations();
        let out_of_sync = if self.config.return_schedule.is_some() {
            self.senders_out_of_sync(now, &evacuations)
        } else {
            Vec::new()
        };
        self.send_notes(
            now,
            &Report { evacuations, ..own },
            has_trouble || !out_of_sync.is_empty(),
            out_of_sync,
            out,
        );
    }

    /// Returns how far zones are evacuated, those without their full share first.
    fn evacuations(&self) -> Vec<ZoneEvacuation> {
        let evacuated = self.statuses.iter().filter(|(_, s)| s.evacuation != EvacuationState::default());
        let mut all: Vec<ZoneEvacuation> = evacuated
            .map(|(&zone, s)| ZoneEvacuation {
                zone,
                state: s.evacuation,
                consecutive_failures: s.consecutive_failures,
            })
            .collect();
        all.sort_by_key(|e| (e.state.has_full_share(), std::cmp::Reverse(e.state.term)));
        all
    }

    fn send_notes(
        &mut self,
        now: Micros,
        own: &Report,
        has_trouble: bool,
        out_of_sync: Vec<SenderId>,
        out: &mut Vec<Output>,
    ) {
        // While a zone that all senders have evacuated waits for its probes, there is no news about it.
        let is_active = |s: &ZoneStatus| {
            let is_waiting = s.evacuation.is_evacuated()
                && s.probing_since.is_none()
                && now.saturating_sub(s.since) > EVIDENCE_WINDOW;
            s.health != Health::Serving || !s.evacuation.has_full_share() && !is_waiting
        };
        let has_trouble = has_trouble || self.statuses.values().any(is_active);
        let others = self.config.fleet_size.saturating_sub(1) as usize;
        if others == 0
            || !self.config.can_send
            || !has_trouble && !self.tick_count.is_multiple_of(QUIET_TICKS)
        {
            return;
        }
        let body = encode(own);
        let max_notes = if has_trouble { FANOUT } else { 1 };
        let to = out_of_sync.into_iter().choose_multiple(&mut self.rng, max_notes);
        let random = sample(&mut self.rng, others, max_notes.saturating_sub(to.len()).min(others));
        let random =
            random.into_iter().map(|n| SenderId(n as u32 + u32::from(n as u32 >= self.config.sender.0)));
        let to: BTreeSet<SenderId> = to.into_iter().chain(random).collect();
        out.extend(to.into_iter().map(|to| Output::Send(to, body.clone())));
    }

    /// Returns the senders whose reports show a different evacuation state of some zone. Notes go to them
    /// first: a sender that is behind in a fleet at rest would otherwise receive too few notes for a quorum.
    fn senders_out_of_sync(&self, now: Micros, own: &[ZoneEvacuation]) -> Vec<SenderId> {
        let own_state =
            |zone| own.iter().find(|e| e.zone == zone).map_or(EvacuationState::default(), |e| e.state);
        let differs = |r: &ReportView<'_>| {
            let zones = own.iter().chain(r.evacuations).map(|e| e.zone);
            zones.into_iter().any(|z| r.evacuation(z).state != own_state(z))
        };
        self.pool.fresh(now).filter(differs).map(|r| r.from).collect()
    }

    /// Adopts the health of zones that was found at enough ticks in a row.
    fn update_health(&mut self, findings: BTreeMap<ZoneId, Finding>, out: &mut Vec<Output>) {
        let known: Vec<ZoneId> = self.statuses.keys().copied().collect();
        for zone in findings.keys().copied().chain(known).collect::<BTreeSet<_>>() {
            let is_full = self.statuses.len() >= MAX_ZONES && !self.statuses.contains_key(&zone);
            if is_full {
                continue;
            }
            let finding = findings.get(&zone).cloned().unwrap_or_default();
            let status = self.statuses.entry(zone).or_default();
            let health = finding.health;
            status.finding = finding;
            if health == status.health {
                status.pending = None;
                continue;
            }
            // Of the findings in a row that were all worse (or all better) than the current health, the one
            // nearest to it counts.
            let is_worse = health > status.health;
            let (next, ticks) = match status.pending.filter(|pending| (pending.0 > status.health) == is_worse)
            {
                Some((before, ticks)) if is_worse => (before.min(health), ticks),
                Some((before, ticks)) => (before.max(health), ticks),
                None => (health, 0),
            };
            let required = if next > status.health { TICKS_TO_WORSEN } else { TICKS_TO_IMPROVE };
            if ticks + 1 < required {
                status.pending = Some((next, ticks + 1));
                continue;
            }
            let before = std::mem::replace(&mut status.health, next);
            (status.pending, status.health_changes) = (None, status.health_changes + 1);
            let finding = Finding { health: next, ..status.finding.clone() };
            let changes = status.health_changes;
            out.push(Output::Log(Event::HealthChanged { zone, before, finding, changes }));
        }
        // A zone without any evidence is dropped, which returns it to its initial status. One that was ever
        // evacuated is kept: its term must not start anew while others remember it. One whose last reported
        // share is below 1, since operators had pinned it, is kept until the caller receives the new share.
        self.statuses.retain(|_, s| {
            let has_reduced_share = s.last_output.as_ref().is_some_and(|output| output.0 < 1.0);
            s.health != Health::Serving
                || s.finding.calls > 0.0
                || s.evacuation != EvacuationState::default()
                || has_reduced_share
        });
    }

    /// Returns what the reports show of each zone that this sender or others have evacuated.
    fn zone_views(&self, now: Micros, reports: &[ReportView<'_>]) -> BTreeMap<ZoneId, ZoneView> {
        let others = || reports.iter().filter(|r| r.from != self.config.sender);
        let reported = others().flat_map(|r| r.evacuations.iter().map(|e| e.zone));
        let zones: BTreeSet<ZoneId> = self.statuses.keys().copied().chain(reported).collect();
        let fleet_size = self.config.fleet_size as usize;
        let view = |zone: ZoneId| {
            let status = self.statuses.get(&zone).cloned().unwrap_or_default();
            let (quorum_state, consecutive_failures, quorum_senders) =
                self.quorum(zone, status.evacuation, reports);
            let wait_elapsed = match &self.config.return_schedule {
                Some(schedule) => {
                    let wait = schedule.min_duration(status.evacuation.level, status.consecutive_failures)
                        as f64
                        * (1.0 + status.jitter);
                    now.saturating_sub(status.since) >= wait as Micros
                }
                None => false,
            };
            // Before probing begins, the calls that end had begun before the evacuation.
            let is_probed = !status.evacuation.is_evacuated() || status.probing_since.is_some();
            let probe_result = match is_probed && !status.evacuation.has_full_share() {
                true => probe_result(
                    zone,
                    (status.evacuation, &status.exempt),
                    reports,
                    &self.config.thresholds,
                    fleet_size,
                ),
                false => ProbeResult::Inconclusive,
            };
            let input =
                DecisionInput { quorum_state, probe_result, wait_elapsed, ..DecisionInput::default() };
            let in_sync = others().filter(|r| r.evacuation(zone).state >= status.evacuation).count();
            let split = split_destinations(zone, reports, &self.config.thresholds, fleet_size);
            (
                zone,
                ZoneView {
                    input,
                    quorum_senders,
                    consecutive_failures,
                    in_sync: (in_sync, others().count()),
                    split,
                },
            )
        };
        zones.into_iter().take(MAX_ZONES).map(view).collect()
    }

    /// Returns the newest state that a quorum of other senders has reached, if it is newer than this
    /// sender's, the smallest number of failures in a row that those senders report, and the senders. The
    /// quorum runs in as many zones as a finding requires, so no single faulty or lying sender is followed.
    fn quorum(
        &self,
        zone: ZoneId,
        own: EvacuationState,
        reports: &[ReportView<'_>],
    ) -> (Option<EvacuationState>, u8, Vec<SenderId>) {
        let others = reports.iter().filter(|r| r.from != self.config.sender);
        let mut ahead: Vec<(ZoneEvacuation, SenderId, ZoneId)> = others
            .map(|r| (r.evacuation(zone), r.from, r.sender_zone))
            .filter(|(evacuation, ..)| evacuation.state > own)
            .collect();
        ahead.sort_by_key(|a| std::cmp::Reverse(a.0.state));
        let states: Vec<(EvacuationState, ZoneId)> = ahead.iter().map(|a| (a.0.state, a.2)).collect();
        let others = self.config.fleet_size.saturating_sub(1) as usize;
        let Some(n) =
            quorum_len(&states, self.config.thresholds.senders.min(others), self.config.thresholds.zones)
        else {
            return (None, 0, Vec::new());
        };
        let consecutive_failures = ahead[..n].iter().map(|a| a.0.consecutive_failures).min().unwrap_or(0);
        (Some(ahead[n - 1].0.state), consecutive_failures, ahead[..n].iter().map(|a| a.1).collect())
    }

    /// Makes the transitions of evacuations and returns that are due.
    fn advance_evacuations(&mut self, now: Micros, views: BTreeMap<ZoneId, ZoneView>, out: &mut Vec<Output>) {
        let Some(schedule) = self.config.return_schedule.clone() else { return };
        for (
            zone,
            ZoneView { input, quorum_senders, consecutive_failures, in_sync, split: (serving, failing) },
        ) in views
        {
            if !self.statuses.contains_key(&zone)
                && (input.quorum_state.is_none() || self.statuses.len() >= MAX_ZONES)
            {
                continue;
            }
            let has_other_zone = self.listed_zones.iter().any(|z| *z != zone && self.share(*z) >= 1.0);
            let jitter = self.rng.random_range(0.0..MAX_JITTER);
            let status = self.statuses.entry(zone).or_default();
            status.in_sync = in_sync;
            if status.evacuation.has_full_share()
                && status.consecutive_failures > 0
                && now.saturating_sub(status.since) >= FORGET_FAILURES_AFTER
            {
                status.consecutive_failures = 0;
            }
            status.exempt.retain(|d| !failing.contains(d));
            let is_failing = status.health == Health::Failing;
            let input =
                DecisionInput { is_failing, has_other_zone, return_steps: schedule.step_count(), ..input };
            let Some((state, reason)) = status.evacuation.next(&input) else {
                if status.evacuation.is_evacuated() && input.wait_elapsed && status.probing_since.is_none() {
                    status.probing_since = Some(now);
                    self.evidence.forget(now, zone);
                }
                continue;
            };
            let before = std::mem::replace(&mut status.evacuation, state);
            match (before.has_full_share(), state.has_full_share()) {
                (true, false) => status.exempt = serving,
                (_, true) => status.exempt.clear(),
                _ => {}
            }
            status.consecutive_failures = match reason {
                TransitionReason::Quorum => consecutive_failures,
                _ => status.consecutive_failures.saturating_add(u8::from(state.term > before.term)),
            };
            (status.since, status.jitter, status.probing_since, status.probe_round) =
                (now, jitter, None, None);
            // Earlier findings and evidence belong to the previous step.
            (status.health, status.pending) = (Health::Serving, None);
            self.evidence.forget(now, zone);
            let senders = match reason {
                TransitionReason::Quorum => quorum_senders,
                _ => status.finding.senders.iter().copied().collect(),
            };
            let (share, consecutive_failures) = (schedule.share(state.level), status.consecutive_failures);
            out.push(Output::Log(Event::ShareChanged {
                zone,
                before,
                state,
                share,
                reason,
                consecutive_failures,
                senders,
            }));
        }
    }

    /// Starts and ends this sender's turns to probe a zone that it does not call otherwise: one that is
    /// evacuated and may have recovered, or one that only senders in that zone see fail.
    fn update_probing(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.config.return_schedule.is_none() {
            return;
        }
        let (sender, fleet_size) = (self.config.sender, self.config.fleet_size);
        for (&zone, status) in &mut self.statuses {
            let since = match status.probing_since {
                Some(since) if status.evacuation.is_evacuated() => Some(since),
                _ if status.evacuation.has_full_share()
                    && needs_probes(&status.finding, &self.config.thresholds)
                    && !status.finding.sender_zones.contains(&self.config.own_zone) =>
                {
                    Some(self.started_at)
                }
                _ => None,
            };
            let round = since.and_then(|since| probe_round(sender, fleet_size, now.saturating_sub(since)));
            // Probes that were not sent during a turn are cancelled at its end, since the probes of several
            // turns would add up otherwise.
            if round != status.probe_round && !self.config.pinned.contains_key(&zone) {
                let share =
                    self.config.return_schedule.as_ref().map_or(1.0, |s| s.share(status.evacuation.level));
                out.push(Output::SetShare {
                    zone,
                    share,
                    probe: round.is_some(),
                    exempt: status.exempt.clone(),
                });
            }
            status.probe_round = round;
        }
    }

    /// Reports when clients are to be redirected, or no longer. An isolated sender keeps its last report.
    fn update_redirection(&mut self, now: Micros, out: &mut Vec<Output>) {
        let own_zone = self.config.own_zone;
        let is_elsewhere = |r: ReportView<'_>| r.sender_zone != own_zone && self.share(r.sender_zone) >= 1.0;
        let redirects_clients =
            self.share(own_zone) < 1.0 && (self.redirects_clients || self.pool.fresh(now).any(is_elsewhere));
        if !self.is_isolated
            && std::mem::replace(&mut self.redirects_clients, redirects_clients) != redirects_clients
        {
            out.push(Output::RedirectClients(redirects_clients));
        }
    }

    /// Reports the share of each zone whose share or exempt destinations have changed.
    fn output_shares(&mut self, out: &mut Vec<Output>) {
        let pinned = self.config.pinned.keys().copied();
        for zone in self.statuses.keys().copied().chain(pinned).collect::<BTreeSet<_>>() {
            let share = self.share(zone);
            let has_room = self.statuses.len() < MAX_ZONES || self.statuses.contains_key(&zone);
            let is_pinned = self.config.pinned.contains_key(&zone);
            let exempt =
                self.statuses.get(&zone).filter(|_| share < 1.0 && !is_pinned).map(|s| s.exempt.clone());
            let output = (share, exempt.unwrap_or_default());
            let last = self.statuses.get(&zone).and_then(|s| s.last_output.as_ref());
            if has_room && last.map_or(output.0 != 1.0, |last| *last != output) {
                self.statuses.entry(zone).or_default().last_output = Some(output.clone());
                out.push(Output::SetShare { zone, share, probe: false, exempt: output.1 });
            }
        }
    }
}
