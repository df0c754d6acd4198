//! The state of a sender: plain data without decisions, which are in `choice.rs`. All of it can be
//! serialized, so that decisions can be replayed from any point in time.

use crate::interface::*;
use crate::zone_share::ZoneShare;
use notchpoint_limits::{AdaptiveRate, ConnectionFailures, Latency};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The upper bound of all times (centuries), so that their sums do not overflow.
pub const MAX_TIME: Micros = 1 << 60;

/// Identifies a route: a destination, or one endpoint of it if each endpoint is a route of its own.
pub type RouteId = (DestinationId, Option<EndpointId>);

/// Returns the range of all routes of a destination.
pub fn routes_of(dest: DestinationId) -> std::ops::RangeInclusive<RouteId> {
    (dest, None)..=(dest, Some(EndpointId(u64::MAX)))
}

/// A message, from its acceptance until it has its final status and no attempt is in flight.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Held {
    pub class: usize,
    pub dest: DestinationId,
    pub key: Option<Box<str>>,
    /// The message exceeds its tenant's allowance.
    pub over_share: bool,
    /// The time until which the message has its full worth.
    pub due: Micros,
    pub expires: Micros,
    /// The number of the call of each attempt; `u64::MAX` once the attempt has ended.
    pub attempts: Vec<u64>,
    /// The number of attempts that this side could not send; they do not count.
    pub unsent: u32,
    /// The number of attempts in flight.
    pub in_flight: u32,
    /// The earliest attempt that may have run: when it was sent, and its endpoint.
    pub ran_at: Option<(Micros, EndpointId)>,
    /// An attempt ended with a sign of congestion; later ones do not cut the window again.
    pub congested: bool,
    /// The message has its final status.
    pub done: bool,
    /// The end of the backoff after a failed attempt.
    pub not_before: Micros,
}

/// A call in flight. The messages of a bundle share one call.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct Call {
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub sent: Micros,
    /// The time from which the call counts as overdue.
    pub overdue_at: Micros,
    /// The time at which the last of its messages times out.
    pub timeout_at: Micros,
    /// The age from which the call is late.
    pub late_after: Micros,
    /// The number of late stages that the call has reached, see [`LATE_STAGES`]; 0 before it is late.
    pub late_stage: usize,
    /// How long the connection had been idle, as far as is known; 0 for a new one, and `MAX_TIME` once an
    /// idle one is presumed dropped.
    pub idle: Micros,
    /// The number of its messages whose attempts have not ended.
    pub open: u32,
    /// The outcome of its first message has been evaluated.
    pub evaluated: bool,
    /// The call has cut the window.
    pub has_cut: bool,
    /// The connection broke at random, which is no sign of load.
    pub random_failure: bool,
    /// The call has been cancelled.
    pub cancelled: bool,
    /// The number of its at-most-once messages, while its connection is new and its endpoint has not
    /// answered.
    pub unproven: u32,
    /// The call is overdue although calls sent later were served: its answer is presumed lost.
    pub lost: bool,
}

/// The circuit breaker of a route.
#[derive(Clone, Default, Serialize, Deserialize)]
pub enum Breaker {
    /// Calls are not restricted by the breaker.
    #[default]
    Closed,
    /// Only probes (trial calls) are sent.
    Open {
        since: Micros,
        /// No probe is sent before this time.
        until: Micros,
        /// A call failed, which distinguishes an outage from silence.
        failed: bool,
        /// The number of the probe in flight.
        probe: Option<u64>,
        /// The slow start that the breaker interrupted: its `since` and its `gap`.
        slow_start: Option<(Micros, Micros)>,
    },
    /// The destination has served again since this time and is in slow start. The gap is the time between the
    /// last failure and the first served call.
    SlowStart { since: Micros, gap: Micros },
}

impl Breaker {
    /// Returns the state after a short interruption: a slow start that the breaker interrupted continues,
    /// since the destination has not become warmer meanwhile.
    pub fn resumed(&self) -> Self {
        match *self {
            Self::Open { slow_start: Some((since, gap)), .. } | Self::SlowStart { since, gap } => {
                Self::SlowStart { since, gap }
            }
            _ => Self::Closed,
        }
    }
}

/// What is known of a route.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Route {
    /// The fractional window.
    pub window: f64,
    pub last_cut: Option<Micros>,
    /// The outcome that caused the last cut.
    pub cut_by: Option<Outcome>,
    /// The share of incoming messages that is sent while refusals show a limit; 1 without one.
    pub pace: f64,
    /// When a note of refusals or of scarce connections was last sent or received.
    pub refusal_note_at: Micros,
    /// The latest time until which the destination asked any sender to wait, as far as this one knows.
    pub known_wait_until: Micros,
    /// The other sender that reported this wait, if one did.
    pub wait_reporter: Option<u32>,
    /// Nothing is sent before this time.
    pub paused_until: Micros,
    /// The time until which the destination asked this sender to wait; never after `paused_until`.
    pub wait_until: Micros,
    pub latency: Latency,
    pub connection_failures: ConnectionFailures,
    pub rate: AdaptiveRate,
    pub breaker: Breaker,
    /// When a call was last served.
    pub last_served: Micros,
    /// Failed calls since one was last served.
    pub failures: u32,
    /// When a call last failed or the breaker last opened.
    pub last_failure: Micros,
    /// Errors since a call was last served.
    pub errors: u32,
    /// Refusals since a call was last served.
    pub refusals: u32,
    /// The calls that may be sent while the route is metered, and when this was last updated.
    pub credit: f64,
    pub credit_updated: Micros,
    /// The sender that last reported an outage, and when.
    pub outage_report: Option<(u32, Micros)>,
    /// When this sender last sent a note about the route, or adopted the report of another.
    pub last_note: Micros,
    /// The number of calls in flight.
    pub in_flight: u32,
    /// The number of calls in flight whose answers are presumed lost.
    pub lost: u32,
    pub life_table: LifeTable,
}

/// The number of stages of a late call. Each lasts until the age of the call has doubled, the last one for
/// ever.
pub const LATE_STAGES: usize = 5;

/// A life table of late calls. It has one row for calls whose answers are not presumed lost (index 0) and
/// one for those whose answers are (index 1). For each stage a row counts the calls that reached the stage
/// and those of them that were answered in it.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct LifeTable(pub [[(f64, f64); LATE_STAGES]; 2]);

/// What is known of an endpoint.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Endpoint {
    pub dest: DestinationId,
    pub zone: u32,
    pub kind: usize,
    /// The endpoint may be sent to: it is live on the list and not out of service.
    pub live: bool,
    /// The endpoint is live on the list.
    pub listed: bool,
    /// The end of the slow start after operators returned the endpoint to service.
    pub warm_up_until: Micros,
    /// The number of calls in flight.
    pub in_flight: u32,
    /// The sum of [`Call::unproven`] over its calls.
    pub unproven: u32,
    /// For each idle connection, when it became idle.
    pub idle_since: Vec<Micros>,
    /// When the last call was sent.
    pub last_used: Micros,
    /// The time between the last two calls.
    pub use_gap: Micros,
    /// When the endpoint last answered, with whatever outcome.
    pub last_answer: Micros,
    /// When the endpoint last refused a connection at once.
    pub refused_at: Micros,
    /// The failures since a call was last served and the end of the backoff: for one class (after
    /// plain errors), or under `None` for all classes.
    pub backoffs: BTreeMap<Option<usize>, (u32, Micros)>,
}

/// What is known of a destination.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Dest {
    pub per_endpoint: bool,
    pub max_bundle: usize,
    pub kind: usize,
    pub endpoints: Vec<EndpointId>,
    /// The messages without an attempt in flight.
    pub queue: Vec<MessageId>,
    /// The longest idle time of connections that are used, and until when it applies: the destination's
    /// endpoints silently closed connections that had been idle for longer.
    pub trusted_idle: (Micros, Micros),
    /// The rate of incoming messages per second, as of `rate_updated`.
    pub average_rate: f64,
    pub rate_updated: Micros,
}

/// The messages of one ordering key in the order of acceptance, and until when the key is blocked.
pub type KeyQueue = (VecDeque<MessageId>, Micros);

/// What the list no longer names but is kept for a while. An update of the list visits only these, so that
/// its cost does not grow with everything that is known.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Unlisted {
    /// Endpoints that are not live on the list.
    pub endpoints: BTreeSet<EndpointId>,
    /// Destinations without an endpoint.
    pub dests: BTreeSet<DestinationId>,
    /// Routes whose endpoint or destination is not known any more.
    pub routes: BTreeSet<RouteId>,
}

/// The state and the decisions of one sender. It has no clock and does no I/O: see [`Sender::handle`].
#[derive(Clone, Serialize, Deserialize)]
pub struct Sender {
    pub(crate) settings: Settings,
    #[serde(with = "seed")]
    pub(crate) rng: fastrand::Rng,
    /// The time of the current turn.
    pub(crate) now: Micros,
    pub(crate) held: BTreeMap<MessageId, Held>,
    /// The number of held messages without a final status.
    pub(crate) open_count: usize,
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) next_call: u64,
    pub(crate) routes: BTreeMap<RouteId, Route>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) dests: BTreeMap<DestinationId, Dest>,
    /// Endpoints that operators took out of service, whether the list names them or not.
    pub(crate) out_of_service: BTreeSet<EndpointId>,
    /// Destinations that may have queued messages.
    pub(crate) queued: BTreeSet<DestinationId>,
    pub(crate) unlisted: Unlisted,
    pub(crate) keys: BTreeMap<Box<str>, KeyQueue>,
    /// The longest idle time of connections that are used, and until when it applies.
    pub(crate) trusted_idle: (Micros, Micros),
    /// For each kind, until when connections count as scarce.
    pub(crate) scarce_until: Vec<Micros>,
    /// For each tenant, the tokens in its bucket and when they were last updated.
    pub(crate) tenant_buckets: Vec<(f64, Micros)>,
    /// The actions of the current turn.
    pub(crate) actions: Vec<Action>,
    /// When the list is watched next.
    pub(crate) watch_at: Micros,
    /// The earliest wake-up that was requested.
    pub(crate) wake_at: Option<Micros>,
    /// The life table of late calls on all routes.
    pub(crate) life_table: LifeTable,
    /// Destinations that calls were sent to in this turn.
    pub(crate) sent_this_turn: BTreeSet<DestinationId>,
    /// Endpoints whose idle connections are closed once all events of this turn are processed.
    #[serde(skip)]
    pub(crate) close_after_events: BTreeSet<EndpointId>,
    /// Zones that receive less than their whole share, or probes.
    pub(crate) zone_shares: BTreeMap<u32, ZoneShare>,
}

impl Sender {
    /// Creates a sender without messages. All randomness derives from the seed.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            held: BTreeMap::new(),
            open_count: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            routes: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            dests: BTreeMap::new(),
            out_of_service: BTreeSet::new(),
            queued: BTreeSet::new(),
            unlisted: Unlisted::default(),
            keys: BTreeMap::new(),
            trusted_idle: (MAX_TIME, 0),
            scarce_until: vec![0; settings.kinds.len()],
            tenant_buckets: settings
                .tenant_allowances
                .iter()
                .map(|&a| (a / settings.senders as f64, 0))
                .collect(),
            actions: Vec::new(),
            watch_at: if settings.list == ListMode::Ask { 0 } else { Micros::MAX },
            wake_at: None,
            life_table: LifeTable::default(),
            sent_this_turn: BTreeSet::new(),
            close_after_events: BTreeSet::new(),
            zone_shares: BTreeMap::new(),
            settings,
        })
    }

    /// Takes a token for a message of a tenant, and returns whether the message exceeds the tenant's share.
    /// The bucket holds the tokens of one second.
    pub(crate) fn charge_tenant(&mut self, tenant: usize) -> bool {
        let Some(&rate) = self.settings.tenant_allowances.get(tenant) else { return false };
        let rate = rate / self.settings.senders as f64;
        let (tokens, updated) = &mut self.tenant_buckets[tenant];
        *tokens = (*tokens + rate * self.now.saturating_sub(*updated) as f64 / 1e6).min(rate.max(1.0));
        *updated = self.now;
        let is_over = *tokens < 1.0;
        *tokens -= f64::from(!is_over);
        is_over
    }

    /// Starts a turn at `now`.
    pub(crate) fn begin_turn(&mut self, now: Micros) {
        self.now = now.clamp(self.now, MAX_TIME);
        self.wake_at = self.wake_at.filter(|&at| at > self.now);
        self.sent_this_turn.clear();
    }

    /// Orders the closes that the events of this turn call for. The order is carried out after the turn, so
    /// only here does it concern the connections that are counted.
    pub(crate) fn close_idle_connections(&mut self) {
        for endpoint in std::mem::take(&mut self.close_after_events) {
            let counted = self.endpoints.get_mut(&endpoint).map(|e| std::mem::take(&mut e.idle_since));
            if counted.is_some_and(|idle| !idle.is_empty()) {
                self.actions.push(Action::CloseIdle { endpoint });
            }
        }
    }

    /// Records that a connection became idle or that an idle one ended, which is assumed to be the oldest.
    pub(crate) fn update_idle(&mut self, id: EndpointId, became_idle: bool) {
        let Some(endpoint) = self.endpoints.get_mut(&id).filter(|_| self.settings.connections_reported)
        else {
            return;
        };
        if became_idle {
            endpoint.idle_since.push(self.now);
        } else if !endpoint.idle_since.is_empty() {
            endpoint.idle_since.remove(0);
        }
    }

    /// Logs a line about a destination.
    pub(crate) fn log(&mut self, dest: DestinationId, text: &str) {
        self.actions.push(Action::Log(format!("destination {} {text}", dest.0)));
    }

    /// Returns the destinations with queued messages.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = (DestinationId, &Dest)> {
        self.queued.iter().map(|id| (*id, &self.dests[id])).filter(|(_, d)| !d.queue.is_empty())
    }

    /// Replaces the settings, unless the new ones are invalid or do not fit the held messages.
    pub(crate) fn apply_settings(&mut self, new: &Settings) {
        let fits = new.kinds.len() == self.settings.kinds.len()
            && new.tenant_allowances.len() == self.settings.tenant_allowances.len();
        let classes_known = self.held.values().all(|h| h.class < new.classes.len());
        if !fits || !classes_known || new.check().is_err() {
            return;
        }
        // A position may mean another class from now on.
        let is_changed = |c: &usize| new.classes.get(*c) != self.settings.classes.get(*c);
        for e in self.endpoints.values_mut() {
            e.backoffs.retain(|c, _| !c.as_ref().is_some_and(is_changed));
        }
        self.settings = new.clone();
    }

    /// Applies an update of the endpoint list and returns the routes that it names.
    pub(crate) fn apply_list(&mut self, update: &ListUpdate) -> Vec<RouteId> {
        let mut routes = Vec::new();
        let list = match update {
            ListUpdate::Changes(list) => list,
            ListUpdate::Whole(list) | ListUpdate::Restored(list) => {
                let named: BTreeSet<EndpointId> = list.iter().map(|e| e.endpoint).collect();
                for (id, e) in self.endpoints.iter_mut().filter(|(id, _)| !named.contains(id)) {
                    (e.listed, e.live) = (false, false);
                    self.unlisted.endpoints.insert(*id);
                }
                list
            }
            ListUpdate::Unavailable => return routes,
        };
        for entry in list {
            routes.extend(self.apply_entry(entry));
        }
        if !matches!(update, ListUpdate::Changes(_)) || list.iter().any(|e| e.phase != Phase::Live) {
            self.drop_unlisted_endpoints();
        }
        routes
    }

    fn apply_entry(&mut self, entry: &ListEntry) -> Option<RouteId> {
        let kind = self.settings.kinds.get(entry.kind as usize)?;
        let new_endpoint = || Endpoint { dest: entry.dest, ..Endpoint::default() };
        let endpoint = self.endpoints.entry(entry.endpoint).or_insert_with(new_endpoint);
        (endpoint.listed, endpoint.zone, endpoint.kind) =
            (entry.phase == Phase::Live, entry.zone, entry.kind as usize);
        endpoint.live = endpoint.listed && !self.out_of_service.contains(&entry.endpoint);
        if endpoint.listed {
            self.unlisted.endpoints.remove(&entry.endpoint);
        } else {
            self.unlisted.endpoints.insert(entry.endpoint);
        }
        let dest = self.dests.entry(endpoint.dest).or_default();
        (dest.per_endpoint, dest.max_bundle, dest.kind) =
            (kind.per_endpoint, kind.max_bundle as usize, endpoint.kind);
        if !dest.endpoints.contains(&entry.endpoint) {
            dest.endpoints.push(entry.endpoint);
        }
        self.unlisted.dests.remove(&endpoint.dest);
        Some((endpoint.dest, kind.per_endpoint.then_some(entry.endpoint)))
    }

    /// Queues a message for its destination, even if no list names the destination.
    pub(crate) fn enqueue(&mut self, dest_id: DestinationId, id: MessageId) -> &mut Dest {
        self.queued.insert(dest_id);
        let dest = self.dests.entry(dest_id).or_default();
        if dest.endpoints.is_empty() {
            self.unlisted.dests.insert(dest_id);
        }
        dest.queue.push(id);
        dest
    }

    /// Drops endpoints that are not live on the list, unless calls to them are in flight or they are out of
    /// service.
    fn drop_unlisted_endpoints(&mut self) {
        let (endpoints, out_of_service) = (&self.endpoints, &self.out_of_service);
        let is_removable = |id: &EndpointId| endpoints[id].in_flight == 0 && !out_of_service.contains(id);
        let removable: Vec<EndpointId> =
            self.unlisted.endpoints.iter().copied().filter(is_removable).collect();
        for id in removable {
            self.unlisted.endpoints.remove(&id);
            let Some(endpoint) = self.endpoints.remove(&id) else { continue };
            self.unlisted.routes.insert((endpoint.dest, Some(id)));
            let Some(dest) = self.dests.get_mut(&endpoint.dest) else { continue };
            dest.endpoints.retain(|other| *other != id);
            if dest.endpoints.is_empty() {
                self.unlisted.dests.insert(endpoint.dest);
            }
        }
    }

    /// Drops destinations and routes that the list no longer names, unless they were in use within `span`:
    /// waits and outages are remembered over a short absence.
    pub(crate) fn forget_unlisted(&mut self, span: Micros) {
        let now = self.now;
        let is_in_use = |d: &Dest| !d.queue.is_empty() || d.rate_updated + span > now;
        let (dests, queued) = (&mut self.dests, &self.queued);
        let routes = &mut self.unlisted.routes;
        self.unlisted.dests.retain(|id| {
            let Some(dest) = dests.get(id).filter(|d| d.endpoints.is_empty()) else { return false };
            let keep = is_in_use(dest) || queued.contains(id);
            if !keep {
                dests.remove(id);
                routes.insert((*id, None));
            }
            keep
        });
        let endpoints = &self.endpoints;
        let all_routes = &mut self.routes;
        self.unlisted.routes.retain(|id| {
            let is_known = id.1.map_or_else(|| dests.contains_key(&id.0), |e| endpoints.contains_key(&e));
            let Some(route) = all_routes.get(id).filter(|_| !is_known) else { return false };
            let keep = route.in_flight > 0 || route.last_served.max(route.paused_until) + span > now;
            if !keep {
                all_routes.remove(id);
            }
            keep
        });
    }

    /// Records that operators took an endpoint out of service or returned it. Returns whether this changes
    /// the mark, and whether another endpoint of its route is live.
    pub(crate) fn mark_service(&mut self, id: EndpointId, out_of_service: bool) -> (bool, bool) {
        let changed =
            if out_of_service { self.out_of_service.insert(id) } else { self.out_of_service.remove(&id) };
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return (changed, false) };
        endpoint.live = endpoint.listed && !out_of_service;
        let (dest, per_endpoint) =
            (endpoint.dest, self.dests.get(&endpoint.dest).is_some_and(|d| d.per_endpoint));
        let is_other = |(o, e): (&EndpointId, &Endpoint)| *o != id && e.dest == dest && e.live;
        (changed, !per_endpoint && self.endpoints.iter().any(is_other))
    }

    /// Sets the share of a zone and whether it is probed.
    pub(crate) fn set_zone(&mut self, zone: u32, share: f64, probe: bool, exempt: &[DestinationId]) {
        let share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 1.0 };
        let zone_share = self.zone_shares.entry(zone).or_insert_with(ZoneShare::full);
        zone_share.change(share, exempt);
        if probe {
            let live = self.endpoints.values().filter(|e| e.live && e.zone == zone);
            zone_share.probe_all(live.map(|e| e.dest));
        } else if zone_share.is_full() {
            self.zone_shares.remove(&zone);
        }
    }

    /// Accrues the credit of zones with a reduced share for a new message.
    pub(crate) fn accrue_zones(&mut self, dest_id: DestinationId) {
        let Some(dest) = self.dests.get(&dest_id) else { return };
        let live = || dest.endpoints.iter().filter_map(|e| self.endpoints.get(e)).filter(|e| e.live);
        let all = live().count().max(1) as f64;
        for (zone, zone_share) in &mut self.zone_shares {
            let in_zone = live().filter(|e| e.zone == *zone).count();
            if in_zone > 0 {
                zone_share.record_arrival(dest_id, in_zone as f64 / all, || self.rng.f64());
            }
        }
    }

    /// Marks a message as done: it leaves the queue, and is dropped once no attempt of it is in flight.
    pub(crate) fn finish(&mut self, id: MessageId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        if !held.done {
            held.done = true;
            self.open_count -= 1;
            self.dests.entry(held.dest).and_modify(|d| d.queue.retain(|&q| q != id));
        }
        if held.in_flight == 0 {
            if let Some(queue) = held.key.as_ref().and_then(|k| self.keys.get_mut(k)) {
                queue.0.retain(|&q| q != id);
            }
            self.held.remove(&id);
        }
    }
}

/// The time constant in seconds of the average rate of incoming messages. It covers a few messages of a
/// sparse stream.
const ARRIVAL_SPAN_S: f64 = 20.0;
/// The weight in calls of the prior in the life tables: only one, since routes differ.
const PRIOR_WEIGHT: f64 = 1.0;
/// The number of calls after which older ones lose half their weight, so that network changes show.
const MAX_WEIGHT: f64 = 32.0;

impl LifeTable {
    /// Adds `count` calls that reached a stage.
    pub fn add_reached(&mut self, lost: bool, stage: usize, count: f64) {
        let cell = &mut self.0[usize::from(lost)][stage];
        cell.0 = (cell.0 + count).max(0.0);
        if cell.0 > MAX_WEIGHT {
            *cell = (cell.0 / 2.0, cell.1 / 2.0);
        }
    }

    /// Returns the share of the calls that reached a stage which were answered in it, smoothed towards
    /// `prior`.
    pub fn answer_share(&self, lost: usize, stage: usize, prior: f64) -> f64 {
        let (reached, answered) = self.0[lost][stage];
        (answered + PRIOR_WEIGHT * prior) / (reached + PRIOR_WEIGHT)
    }

    /// Adds a call that was answered in a stage.
    fn add_answered(&mut self, lost: bool, stage: usize) {
        let cell = &mut self.0[usize::from(lost)][stage];
        cell.1 = (cell.1 + 1.0).min(cell.0);
    }

    /// Moves a call that has reached `stage` stages to the calls whose answers are presumed lost.
    pub fn mark_lost(&mut self, stage: usize) {
        if stage > 0 {
            self.add_reached(false, stage - 1, -1.0);
            self.add_reached(true, stage - 1, 1.0);
        }
    }

    /// Records how a call ended. A cancelled call is removed from its last stage, about which it shows
    /// nothing.
    pub fn record_end(&mut self, call: &Call, outcome: Outcome) {
        match (call.late_stage, outcome) {
            (0, _) => {}
            (stage, Outcome::Served | Outcome::Failed | Outcome::Full { .. } | Outcome::Spoilt) => {
                self.add_answered(call.lost, stage - 1)
            }
            (stage, Outcome::Cancelled | Outcome::Moot | Outcome::NotSent) => {
                self.add_reached(call.lost, stage - 1, -1.0)
            }
            _ => {}
        }
    }
}

impl Held {
    /// Returns the number of attempts that count.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len().saturating_sub(self.unsent as usize)
    }

    /// Returns the worth of the message if it is served at `served_at`.
    pub fn worth_at(&self, settings: &Settings, served_at: Micros) -> f64 {
        let class = &settings.classes[self.class];
        let full = class.worth * if self.over_share { settings.over_share_worth } else { 1.0 };
        if served_at >= self.expires || served_at <= self.due {
            return if served_at >= self.expires { 0.0 } else { full };
        }
        let late = (served_at - self.due) as f64;
        full * match settings.worth_decay {
            WorthDecay::Halving => (-late / class.target_time as f64).exp2().max(class.late_share),
            WorthDecay::Linear => {
                1.0 - (1.0 - class.late_share)
                    * (late / (class.deadline - class.target_time).max(1) as f64).min(1.0)
            }
        }
    }
}

impl Dest {
    /// Returns how long a connection may have been idle to be used.
    pub fn max_idle(&self, now: Micros) -> Micros {
        if now < self.trusted_idle.1 { self.trusted_idle.0 } else { Micros::MAX }
    }

    /// Returns the current rate of incoming messages for one route, per second.
    pub fn arrival_rate(&self, now: Micros) -> f64 {
        let age_s = now.saturating_sub(self.rate_updated) as f64 / 1e6;
        self.average_rate * (-age_s / ARRIVAL_SPAN_S).exp() * self.route_share()
    }

    /// Counts an incoming message.
    pub fn record_arrival(&mut self, now: Micros) {
        (self.average_rate, self.rate_updated) =
            (self.arrival_rate(now) / self.route_share() + 1.0 / ARRIVAL_SPAN_S, now);
    }

    /// Returns the share of the incoming messages that falls to one route.
    pub fn route_share(&self) -> f64 {
        if self.per_endpoint { 1.0 / self.endpoints.len().max(1) as f64 } else { 1.0 }
    }
}

/// Serializes a random generator as its seed, which is its whole state.
pub mod seed {
    use serde::{Deserialize, Deserializer, Serializer};

    /// Serializes the seed.
    pub fn serialize<S: Serializer>(rng: &fastrand::Rng, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(rng.get_seed())
    }

    /// Restores a generator from its seed.
    pub fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<fastrand::Rng, D::Error> {
        u64::deserialize(from).map(fastrand::Rng::with_seed)
    }
}

#[cfg(test)]
mod tests;
