//! The machine as a whole: evidence in; notes, findings, and what each zone is sent, out.

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

/// It is looked at, and written of, so often.
pub const TICK_INTERVAL: Micros = 500_000;
/// While anything fails, a beat's note goes to so many others, drawn anew each time: so each hears some
/// eighteen senders within the window, in a fleet of twenty as of a thousand, and writes as much in both.
const FANOUT: usize = 3;
/// Else to one, each fourth beat: that others are heard tells a sender that it is not alone.
const QUIET_TICKS: u64 = 4;
/// A standing is taken on once it was found at so many beats in a row; a better one at more of them.
const TICKS_TO_WORSEN: u32 = 2;
const TICKS_TO_IMPROVE: u32 = 6;
/// No note of others for so long, and a sender doubts itself.
const ISOLATION_TIMEOUT: Micros = 4 * QUIET_TICKS * TICK_INTERVAL + EVIDENCE_WINDOW;
/// Zones whose standing is kept: the platform names few.
const MAX_ZONES: usize = 64;
/// Waits are drawn out by up to this share, by each sender for itself.
const MAX_JITTER: f64 = 0.25;

/// What is set.
#[derive(Clone, Debug)]
pub struct ZonesConfig {
    /// This sender's number, of so many in the fleet.
    pub sender: SenderId,
    /// See `place`.
    pub fleet_size: u32,
    /// Where it stands.
    pub own_zone: ZoneId,
    /// Whether notes can be written at all.
    pub can_send: bool,
    /// When a zone counts as failing.
    pub thresholds: FailureThresholds,
    /// How fast it is returned to; nothing where zones are watched and never left.
    pub return_schedule: Option<ReturnSchedule>,
    /// Zones that operators keep out, and those that they keep in, whatever is found.
    pub pinned: BTreeMap<ZoneId, bool>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write this to one of the others.
    Send(SenderId, Vec<u8>),
    /// A zone is to be sent this share of what it would be sent from now on; and, if it is this sender's turn
    /// to try, one call to each destination there.
    SetShare {
        /// Which.
        zone: ZoneId,
        /// From 0 to 1.
        share: f64,
        /// One call to each of its destinations, whatever the share.
        probe: bool,
        /// Destinations that are seen to serve there: they are sent as if nothing had been said.
        exempt: BTreeSet<DestinationHash>,
    },
    /// The zone in which this sender stands is left, and others that stand elsewhere are heard: clients had
    /// better go there. Or no more.
    RedirectClients(bool),
    /// To be said in the log.
    Log(Event),
}

/// What operators read.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A zone is found to stand otherwise than before.
    HealthChanged {
        /// Which.
        zone: ZoneId,
        /// How it stood.
        before: Health,
        /// Why it stands as it does.
        finding: Finding,
        /// Which change of its standing it is here.
        changes: u64,
    },
    /// A zone is left further, or returned to.
    ShareChanged {
        /// Which.
        zone: ZoneId,
        /// How far before.
        before: EvacuationState,
        /// How far now.
        state: EvacuationState,
        /// The share that it is sent from now on.
        share: f64,
        /// Why.
        reason: TransitionReason,
        /// How often in a row it has failed by now.
        consecutive_failures: u8,
        /// Senders whose words it rests on.
        senders: Vec<SenderId>,
    },
    /// A sender contradicts itself; said once for each.
    ContradictoryReport(SenderId),
    /// Nothing was heard of any other sender for long, or everything fails from here: what is found is kept.
    Isolated(bool),
}

/// How a zone stands, as found here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneStatus {
    /// How.
    pub health: Health,
    /// How often that has changed.
    pub health_changes: u64,
    /// What was found last.
    pub finding: Finding,
    /// How far it is left.
    pub evacuation: EvacuationState,
    /// How often in a row it has failed.
    pub consecutive_failures: u8,
    /// Senders heard within the window that have come as far, of all that were.
    pub in_sync: (usize, usize),
    /// What it may be next, and at how many beats in a row that was found.
    pending: Option<(Health, u32)>,
    /// Since when the course is what it is, and how much its wait is drawn out here.
    since: Micros,
    jitter: f64,
    /// Since when it is tried.
    probing_since: Option<Micros>,
    /// The last turn in which this sender tried.
    probe_round: Option<u64>,
    /// Destinations that serve there all the same.
    pub exempt: BTreeSet<DestinationHash>,
    /// What was said of it to the caller last.
    last_output: Option<(f64, BTreeSet<DestinationHash>)>,
}

/// What a zone is at, by the name that operators know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZonePhase {
    /// Its whole share, and nothing says otherwise.
    Serving,
    /// Its whole share; something fails there.
    Doubted,
    /// Its whole share, although it is found failing: zones are only watched, or it is the last one.
    Failing,
    /// Nothing is sent there any more; not all that were heard have followed.
    Leaving,
    /// Nothing is sent there.
    Left,
    /// A few senders try.
    Trying,
    /// It is sent a part of its share.
    Returning,
}

impl ZoneStatus {
    /// What it is at.
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

/// What is known of a zone that is left, or that others leave.
struct ZoneView {
    input: DecisionInput,
    /// Whose course `told` is, and how often the zone has failed by their words.
    quorum_senders: Vec<SenderId>,
    consecutive_failures: u8,
    in_sync: (usize, usize),
    /// Destinations that serve there, and that fail there.
    split: (BTreeSet<DestinationHash>, BTreeSet<DestinationHash>),
}

/// See the crate's page.
#[derive(Debug)]
pub struct ZoneStateMachine {
    config: ZonesConfig,
    incarnation: u32,
    sequence: u32,
    evidence: Evidence,
    pool: ReportPool,
    statuses: BTreeMap<ZoneId, ZoneStatus>,
    /// Zones that the list names.
    listed_zones: BTreeSet<ZoneId>,
    started_at: Micros,
    /// When a note of another sender last came.
    last_note_at: Micros,
    is_isolated: bool,
    tick_count: u64,
    next_tick: Micros,
    contradictory_senders: Vec<SenderId>,
    redirects_clients: bool,
    rng: Pcg64,
}

impl ZoneStateMachine {
    /// A sender that has seen nothing yet.
    pub fn new(set: ZonesConfig, seed: u64, now: Micros) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let life = rng.random();
        // Not all at once.
        let due = now + rng.random_range(0..TICK_INTERVAL);
        Self {
            config: set,
            incarnation: life,
            sequence: 0,
            evidence: Evidence::default(),
            pool: ReportPool::default(),
            statuses: BTreeMap::new(),
            listed_zones: BTreeSet::new(),
            started_at: now,
            last_note_at: now,
            is_isolated: false,
            tick_count: 0,
            next_tick: due,
            contradictory_senders: Vec::new(),
            redirects_clients: false,
            rng,
        }
    }

    /// A call that began at some moment came to something.
    pub fn record_call(
        &mut self,
        now: Micros,
        began: Micros,
        zone: ZoneId,
        dest: DestinationHash,
        came: CallResult,
    ) {
        self.evidence.observe(now, began, zone, dest, came);
    }

    /// The list names endpoints in these zones.
    pub fn set_listed_zones(&mut self, zones: BTreeSet<ZoneId>) {
        self.listed_zones = zones;
    }

    /// Other rules, pace and pins, from the next beat on; who and where this sender is stays.
    pub fn reconfigure(
        &mut self,
        rules: FailureThresholds,
        pace: Option<ReturnSchedule>,
        pinned: BTreeMap<ZoneId, bool>,
    ) {
        (self.config.thresholds, self.config.return_schedule, self.config.pinned) = (rules, pace, pinned);
    }

    /// Another sender wrote. Whether it was a note.
    pub fn receive_note(&mut self, now: Micros, from: SenderId, bytes: &[u8], out: &mut Vec<Output>) -> bool {
        let Some(report) = decode(bytes) else { return false };
        if from == self.config.sender || from.0 >= self.config.fleet_size {
            return true;
        }
        self.last_note_at = self.last_note_at.max(now);
        let odd = self.pool.merge(now, from, report) == MergeResult::Contradictory;
        if odd && !self.contradictory_senders.contains(&from) && self.contradictory_senders.len() < MAX_ZONES
        {
            self.contradictory_senders.push(from);
            out.push(Output::Log(Event::ContradictoryReport(from)));
        }
        true
    }

    /// When it wants to be called next.
    pub fn next_wake(&self) -> Micros {
        self.next_tick
    }

    /// How zones stand.
    pub fn statuses(&self) -> &BTreeMap<ZoneId, ZoneStatus> {
        &self.statuses
    }

    /// The share that a zone is sent.
    pub fn share(&self, zone: ZoneId) -> f64 {
        let course = self.statuses.get(&zone).map_or(EvacuationState::default(), |s| s.evacuation);
        match (self.config.pinned.get(&zone), &self.config.return_schedule) {
            (Some(true), _) | (None, None) => 1.0,
            (Some(false), _) => 0.0,
            (None, Some(pace)) => pace.share(course.level),
        }
    }

    /// Whether clients had better go to senders elsewhere.
    pub fn redirects_clients(&self) -> bool {
        self.redirects_clients
    }

    /// Whether this sender doubts itself, and keeps what it had found.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        self.tick_count += 1;
        self.sequence += 1;
        let seen = self.evidence.seen(now);
        let own = Report {
            sender_zone: self.config.own_zone,
            incarnation: self.incarnation,
            sequence: self.sequence,
            evacuations: self.evacuations(),
            observations: seen,
        };
        let cut_off = is_unreliable(&own.observations);
        let word = ReportView {
            from: self.config.sender,
            sender_zone: own.sender_zone,
            evacuations: &own.evacuations,
            observations: &own.observations,
        };
        // To a sender to which everything fails nothing that it sees says much.
        let words: Vec<ReportView<'_>> =
            self.pool.fresh(now).chain([word]).filter(|w| !is_unreliable(w.observations)).collect();
        let found = assess_zones(&words, &self.config.thresholds);
        let unheard = self.config.fleet_size > 1 && now.saturating_sub(self.last_note_at) > ISOLATION_TIMEOUT;
        let alone = cut_off || unheard;
        let looks = if self.config.return_schedule.is_some() {
            self.zone_views(now, &words)
        } else {
            BTreeMap::new()
        };
        // A call that failed elsewhere, and no more, is no reason to write.
        let doubted = found.values().any(|f| f.health != Health::Serving);
        let trouble = doubted || own.observations.iter().any(|s| s.failed > 0);
        if std::mem::replace(&mut self.is_isolated, alone) != alone {
            out.push(Output::Log(Event::Isolated(alone)));
        }
        if !alone {
            // What others have taken is followed at once, also by one that has only just begun.
            if now.saturating_sub(self.started_at) >= EVIDENCE_WINDOW {
                self.update_health(found, out);
            }
            self.advance_evacuations(now, looks, out);
            self.update_probing(now, out);
        }
        self.output_shares(out);
        self.update_redirection(now, out);
        // Last, so that a course that was just taken is heard of a beat earlier.
        let courses = self.evacuations();
        let apart = if self.config.return_schedule.is_some() {
            self.senders_out_of_sync(now, &courses)
        } else {
            Vec::new()
        };
        self.send_notes(
            now,
            &Report { evacuations: courses, ..own },
            trouble || !apart.is_empty(),
            apart,
            out,
        );
    }

    /// How far zones are left, those that are not at their whole share first.
    fn evacuations(&self) -> Vec<ZoneEvacuation> {
        let known = self.statuses.iter().filter(|(_, s)| s.evacuation != EvacuationState::default());
        let mut all: Vec<ZoneEvacuation> = known
            .map(|(&zone, s)| ZoneEvacuation {
                zone,
                state: s.evacuation,
                consecutive_failures: s.consecutive_failures,
            })
            .collect();
        all.sort_by_key(|t| (t.state.has_full_share(), std::cmp::Reverse(t.state.term)));
        all
    }

    fn send_notes(
        &mut self,
        now: Micros,
        own: &Report,
        trouble: bool,
        apart: Vec<SenderId>,
        out: &mut Vec<Output>,
    ) {
        // While a zone that all have left is left alone there is nothing to be told of it.
        let moves = |s: &ZoneStatus| {
            let rests = s.evacuation.is_evacuated()
                && s.probing_since.is_none()
                && now.saturating_sub(s.since) > EVIDENCE_WINDOW;
            s.health != Health::Serving || !s.evacuation.has_full_share() && !rests
        };
        let trouble = trouble || self.statuses.values().any(moves);
        let others = self.config.fleet_size.saturating_sub(1) as usize;
        if others == 0 || !self.config.can_send || !trouble && !self.tick_count.is_multiple_of(QUIET_TICKS) {
            return;
        }
        let body = encode(own);
        let most = if trouble { FANOUT } else { 1 };
        let to = apart.into_iter().choose_multiple(&mut self.rng, most);
        let anybody = sample(&mut self.rng, others, most.saturating_sub(to.len()).min(others));
        let anybody =
            anybody.into_iter().map(|n| SenderId(n as u32 + u32::from(n as u32 >= self.config.sender.0)));
        let to: BTreeSet<SenderId> = to.into_iter().chain(anybody).collect();
        out.extend(to.into_iter().map(|to| Output::Send(to, body.clone())));
    }

    /// Others that were heard and have left some zone less far, or further: these are told first of all. One
    /// that is behind in a fleet that is at rest would else hear too few to follow.
    fn senders_out_of_sync(&self, now: Micros, own: &[ZoneEvacuation]) -> Vec<SenderId> {
        let mine = |zone| own.iter().find(|t| t.zone == zone).map_or(EvacuationState::default(), |t| t.state);
        let differs = |w: &ReportView<'_>| {
            let zones = own.iter().chain(w.evacuations).map(|t| t.zone);
            zones.into_iter().any(|z| w.evacuation(z).state != mine(z))
        };
        self.pool.fresh(now).filter(differs).map(|w| w.from).collect()
    }

    /// Takes a standing on that was found long enough.
    fn update_health(&mut self, found: BTreeMap<ZoneId, Finding>, out: &mut Vec<Output>) {
        let known: Vec<ZoneId> = self.statuses.keys().copied().collect();
        for zone in found.keys().copied().chain(known).collect::<BTreeSet<_>>() {
            let full = self.statuses.len() >= MAX_ZONES && !self.statuses.contains_key(&zone);
            if full {
                continue;
            }
            let finding = found.get(&zone).cloned().unwrap_or_default();
            let stand = self.statuses.entry(zone).or_default();
            let standing = finding.health;
            stand.finding = finding;
            if standing == stand.health {
                stand.pending = None;
                continue;
            }
            // Of what was found on one side of how it stands, what is nearest to that counts.
            let worse = standing > stand.health;
            let (next, times) = match stand.pending.filter(|n| (n.0 > stand.health) == worse) {
                Some((before, times)) if worse => (before.min(standing), times),
                Some((before, times)) => (before.max(standing), times),
                None => (standing, 0),
            };
            let wanted = if next > stand.health { TICKS_TO_WORSEN } else { TICKS_TO_IMPROVE };
            if times + 1 < wanted {
                stand.pending = Some((next, times + 1));
                continue;
            }
            let before = std::mem::replace(&mut stand.health, next);
            (stand.pending, stand.health_changes) = (None, stand.health_changes + 1);
            let finding = Finding { health: next, ..stand.finding.clone() };
            let changes = stand.health_changes;
            out.push(Output::Log(Event::HealthChanged { zone, before, finding, changes }));
        }
        // What nothing is known of any more stands as it did at first. A course is kept: its term may not
        // begin anew while others remember it.
        // And one that is sent less than its whole share, since operators had pinned it, has to be told of.
        self.statuses.retain(|_, s| {
            let less = s.last_output.as_ref().is_some_and(|l| l.0 < 1.0);
            s.health != Health::Serving
                || s.finding.calls > 0.0
                || s.evacuation != EvacuationState::default()
                || less
        });
    }

    /// What is known of each zone that is left, or that others leave.
    fn zone_views(&self, now: Micros, words: &[ReportView<'_>]) -> BTreeMap<ZoneId, ZoneView> {
        let others = || words.iter().filter(|w| w.from != self.config.sender);
        let told = others().flat_map(|w| w.evacuations.iter().map(|t| t.zone));
        let zones: BTreeSet<ZoneId> = self.statuses.keys().copied().chain(told).collect();
        let fleet = self.config.fleet_size as usize;
        let look = |zone: ZoneId| {
            let stand = self.statuses.get(&zone).cloned().unwrap_or_default();
            let (told, failed, by) = self.quorum(zone, stand.evacuation, words);
            let waited = match &self.config.return_schedule {
                Some(pace) => {
                    let wait = pace.min_duration(stand.evacuation.level, stand.consecutive_failures) as f64
                        * (1.0 + stand.jitter);
                    now.saturating_sub(stand.since) >= wait as Micros
                }
                None => false,
            };
            // Before it is tried, what comes in is of calls that began before it was left.
            let tried = !stand.evacuation.is_evacuated() || stand.probing_since.is_some();
            let trial = match tried && !stand.evacuation.has_full_share() {
                true => probe_result(
                    zone,
                    (stand.evacuation, &stand.exempt),
                    words,
                    &self.config.thresholds,
                    fleet,
                ),
                false => ProbeResult::Inconclusive,
            };
            let look = DecisionInput {
                quorum_state: told,
                probe_result: trial,
                wait_elapsed: waited,
                ..DecisionInput::default()
            };
            let as_far = others().filter(|w| w.evacuation(zone).state >= stand.evacuation).count();
            let parted = split_destinations(zone, words, &self.config.thresholds, fleet);
            (
                zone,
                ZoneView {
                    input: look,
                    quorum_senders: by,
                    consecutive_failures: failed,
                    in_sync: (as_far, others().count()),
                    split: parted,
                },
            )
        };
        zones.into_iter().take(MAX_ZONES).map(look).collect()
    }

    /// The newest course that enough others have taken, which stand in as many zones as a finding wants, and
    /// who they are. One sender that is wrong or lies is not followed.
    /// Last, how often in a row it has failed, as the most hopeful of them says.
    fn quorum(
        &self,
        zone: ZoneId,
        own: EvacuationState,
        words: &[ReportView<'_>],
    ) -> (Option<EvacuationState>, u8, Vec<SenderId>) {
        let others = words.iter().filter(|w| w.from != self.config.sender);
        let mut ahead: Vec<(ZoneEvacuation, SenderId, ZoneId)> = others
            .map(|w| (w.evacuation(zone), w.from, w.sender_zone))
            .filter(|(taken, ..)| taken.state > own)
            .collect();
        ahead.sort_by_key(|a| std::cmp::Reverse(a.0.state));
        let words: Vec<(EvacuationState, ZoneId)> = ahead.iter().map(|a| (a.0.state, a.2)).collect();
        let others = self.config.fleet_size.saturating_sub(1) as usize;
        let Some(n) =
            quorum_len(&words, self.config.thresholds.senders.min(others), self.config.thresholds.zones)
        else {
            return (None, 0, Vec::new());
        };
        let failed = ahead[..n].iter().map(|a| a.0.consecutive_failures).min().unwrap_or(0);
        (Some(ahead[n - 1].0.state), failed, ahead[..n].iter().map(|a| a.1).collect())
    }

    /// Takes courses further.
    fn advance_evacuations(&mut self, now: Micros, looks: BTreeMap<ZoneId, ZoneView>, out: &mut Vec<Output>) {
        let Some(pace) = self.config.return_schedule.clone() else { return };
        for (
            zone,
            ZoneView {
                input: look,
                quorum_senders: by,
                consecutive_failures: failed,
                in_sync: with,
                split: (serve, fail),
            },
        ) in looks
        {
            if !self.statuses.contains_key(&zone)
                && (look.quorum_state.is_none() || self.statuses.len() >= MAX_ZONES)
            {
                continue;
            }
            let other = self.listed_zones.iter().any(|z| *z != zone && self.share(*z) >= 1.0);
            let spread = self.rng.random_range(0.0..MAX_JITTER);
            let stand = self.statuses.entry(zone).or_default();
            stand.in_sync = with;
            if stand.evacuation.has_full_share()
                && stand.consecutive_failures > 0
                && now.saturating_sub(stand.since) >= FORGET_FAILURES_AFTER
            {
                stand.consecutive_failures = 0;
            }
            stand.exempt.retain(|d| !fail.contains(d));
            let failing = stand.health == Health::Failing;
            let look = DecisionInput {
                is_failing: failing,
                has_other_zone: other,
                return_steps: pace.step_count(),
                ..look
            };
            let Some((course, why)) = stand.evacuation.next(&look) else {
                if stand.evacuation.is_evacuated() && look.wait_elapsed && stand.probing_since.is_none() {
                    stand.probing_since = Some(now);
                    self.evidence.forget(now, zone);
                }
                continue;
            };
            let before = std::mem::replace(&mut stand.evacuation, course);
            match (before.has_full_share(), course.has_full_share()) {
                (true, false) => stand.exempt = serve,
                (_, true) => stand.exempt.clear(),
                _ => {}
            }
            stand.consecutive_failures = match why {
                TransitionReason::Quorum => failed,
                _ => stand.consecutive_failures.saturating_add(u8::from(course.term > before.term)),
            };
            (stand.since, stand.jitter, stand.probing_since, stand.probe_round) = (now, spread, None, None);
            // What was found of it before belongs to the step before.
            (stand.health, stand.pending) = (Health::Serving, None);
            self.evidence.forget(now, zone);
            let on = match why {
                TransitionReason::Quorum => by,
                _ => stand.finding.senders.iter().copied().collect(),
            };
            let (share, failed) = (pace.share(course.level), stand.consecutive_failures);
            out.push(Output::Log(Event::ShareChanged {
                zone,
                before,
                state: course,
                share,
                reason: why,
                consecutive_failures: failed,
                senders: on,
            }));
        }
    }

    /// Whether it is this sender's turn to call a zone that it would not call: one that is left and may be
    /// back, or one that only its own senders see fail.
    fn update_probing(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.config.return_schedule.is_none() {
            return;
        }
        let (place, fleet) = (self.config.sender, self.config.fleet_size);
        for (&zone, stand) in &mut self.statuses {
            let since = match stand.probing_since {
                Some(since) if stand.evacuation.is_evacuated() => Some(since),
                _ if stand.evacuation.has_full_share()
                    && needs_probes(&stand.finding, &self.config.thresholds)
                    && !stand.finding.sender_zones.contains(&self.config.own_zone) =>
                {
                    Some(self.started_at)
                }
                _ => None,
            };
            let turn = since.and_then(|since| probe_round(place, fleet, now.saturating_sub(since)));
            // What was not tried in a turn is not tried after it: else turns would add up.
            if turn != stand.probe_round && !self.config.pinned.contains_key(&zone) {
                let share =
                    self.config.return_schedule.as_ref().map_or(1.0, |p| p.share(stand.evacuation.level));
                out.push(Output::SetShare {
                    zone,
                    share,
                    probe: turn.is_some(),
                    exempt: stand.exempt.clone(),
                });
            }
            stand.probe_round = turn;
        }
    }

    /// Says whether clients had better go elsewhere. Who hears nobody keeps to what it had said.
    fn update_redirection(&mut self, now: Micros, out: &mut Vec<Output>) {
        let own = self.config.own_zone;
        let elsewhere = |w: ReportView<'_>| w.sender_zone != own && self.share(w.sender_zone) >= 1.0;
        let gives_way =
            self.share(own) < 1.0 && (self.redirects_clients || self.pool.fresh(now).any(elsewhere));
        if !self.is_isolated && std::mem::replace(&mut self.redirects_clients, gives_way) != gives_way {
            out.push(Output::RedirectClients(gives_way));
        }
    }

    /// Says what zones are to be sent, where that has changed.
    fn output_shares(&mut self, out: &mut Vec<Output>) {
        let pinned = self.config.pinned.keys().copied();
        for zone in self.statuses.keys().copied().chain(pinned).collect::<BTreeSet<_>>() {
            let share = self.share(zone);
            let kept = self.statuses.len() < MAX_ZONES || self.statuses.contains_key(&zone);
            let pinned = self.config.pinned.contains_key(&zone);
            let spared =
                self.statuses.get(&zone).filter(|_| share < 1.0 && !pinned).map(|s| s.exempt.clone());
            let now = (share, spared.unwrap_or_default());
            let said = self.statuses.get(&zone).and_then(|s| s.last_output.as_ref());
            if kept && said.map_or(now.0 != 1.0, |said| *said != now) {
                self.statuses.entry(zone).or_default().last_output = Some(now.clone());
                out.push(Output::SetShare { zone, share, probe: false, exempt: now.1 });
            }
        }
    }
}
