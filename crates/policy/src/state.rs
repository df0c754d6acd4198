//! What a sender remembers: plain data, without decisions. They stand in `choice.rs`. The whole of it can be
//! written and read again, so that decisions can be played again from any moment.

use crate::interface::*;
use crate::lean::Lean;
use notchpoint_limits::{Breaks, Latency, Rate};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Times beyond this (centuries) are taken as this, so that sums of them stay in range.
pub const FAR: Micros = 1 << 60;

/// A destination, or one endpoint of it where its endpoints are routes apart.
pub type RouteId = (DestinationId, Option<EndpointId>);

/// All routes of a destination.
pub fn routes_of(dest: DestinationId) -> std::ops::RangeInclusive<RouteId> {
    (dest, None)..=(dest, Some(EndpointId(u64::MAX)))
}

/// A message from being taken until it is answered and no attempt of it is out.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Held {
    pub class: usize,
    pub dest: DestinationId,
    pub key: Option<Box<str>>,
    pub over_share: bool,
    pub aim: Micros,
    pub expires: Micros,
    pub attempts: Vec<u64>,
    /// Attempts among them that this side could not send: they do not count.
    pub unsent: u32,
    pub out: u32,
    /// The earliest attempt that may have run, and where.
    pub ran_at: Option<(Micros, EndpointId)>,
    pub congested: bool,
    pub done: bool,
    pub not_before: Micros,
}

/// A call that is out; of a bundle it is one.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct Call {
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub sent: Micros,
    pub overdue: Micros,
    /// When the last of its messages stops being waited for.
    pub until: Micros,
    /// It is late from this age on, and how often that has doubled by now, counted from 1; 0 before.
    pub late: Micros,
    pub stage: usize,
    /// How long the connection had been idle, as far as is known; 0 for a fresh one.
    pub idle: Micros,
    pub open: u32,
    pub judged: bool,
    pub cut: bool,
    /// Its connection broke as connections do now and then: no sign of load.
    pub chance: bool,
    pub called_off: bool,
    /// Messages in it that must not be repeated, while its connection is new and its endpoint has not
    /// answered.
    pub unheard: u32,
    /// Overdue, and overtaken by calls sent later: its connection is to blame.
    pub lost: bool,
}

#[derive(Clone, Default, Serialize, Deserialize)]
pub enum Health {
    #[default]
    Closed,
    Open {
        since: Micros,
        until: Micros,
        failed: bool,
        trial: Option<u64>,
        /// The ramp that it came in between: since when, and its gap.
        ramp: Option<(Micros, Micros)>,
    },
    /// It serves again since then, after it had last failed so long before, and is cold.
    Ramp { since: Micros, gap: Micros },
}

impl Health {
    /// What it is once calls are served again that were held back for a moment: a destination that was cold
    /// before that is no warmer by it, and goes on where its ramp was.
    pub fn resumed(&self) -> Self {
        match *self {
            Self::Open { ramp: Some((since, gap)), .. } | Self::Ramp { since, gap } => {
                Self::Ramp { since, gap }
            }
            _ => Self::Closed,
        }
    }
}

#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Route {
    pub window: f64,
    pub last_cut: Option<Micros>,
    /// What the last cut was for.
    pub cut_by: Option<Outcome>,
    /// The share of what comes in that is sent while refusals show a limit; 1 where none do.
    pub pace: f64,
    pub full_told: Micros,
    /// Until when it told any sender to wait, as far as this one knows.
    pub wait_known: Micros,
    /// Who told of it, if it was another sender.
    pub wait_from: Option<u32>,
    pub rest_until: Micros,
    /// Until when the destination told to wait; `rest_until` is this or later.
    pub told_until: Micros,
    pub latency: Latency,
    pub breaks: Breaks,
    pub rate: Rate,
    pub health: Health,
    pub last_ok: Micros,
    pub fails: u32,
    pub failed_at: Micros,
    pub errors: u32,
    pub fulls: u32,
    /// What a route that is held back, or comes back, may be sent, and since when that was not counted up.
    pub credit: f64,
    pub credit_at: Micros,
    /// Who last told of an outage, and when; and when this sender last wrote.
    pub heard: Option<(u32, Micros)>,
    pub told: Micros,
    pub out: u32,
    /// Calls among them whose answers are lost.
    pub lost: u32,
    pub late: Late,
}

/// Ages of a late call, each twice the one before; the last has no end.
pub const STAGES: usize = 5;

/// What became of late calls, by whether later ones overtook them and by age: how many came to that age, and
/// how many of those were answered in it (the hazard of an answer, as in a life table).
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct Late(pub [[(f64, f64); STAGES]; 2]);

#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Endpoint {
    pub dest: DestinationId,
    pub zone: u32,
    pub kind: usize,
    /// It may be sent to: the list says so, and operators have not taken it out.
    pub live: bool,
    /// What the list alone says.
    pub listed: bool,
    /// Back from operators, it is cold until then.
    pub cold_until: Micros,
    pub out: u32,
    /// Sum over its calls, see [`Call::unheard`].
    pub unheard: u32,
    pub idle: Vec<Micros>,
    /// When it was last sent to, how long after the time before, and when it refused a connect at once.
    pub used: Micros,
    pub gap: Micros,
    /// When it last answered, whatever it said.
    pub answered: Micros,
    pub no_room: Micros,
    /// Failures with nothing served since, and a rest: for one class (plain errors), or for all.
    pub rests: BTreeMap<Option<usize>, (u32, Micros)>,
}

#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Dest {
    pub per_endpoint: bool,
    pub max_bundle: usize,
    pub kind: usize,
    pub endpoints: Vec<EndpointId>,
    pub queue: Vec<MessageId>,
    /// Connections idle for longer are not trusted, until then: its endpoints dropped such ones unseen.
    pub idle_safe: (Micros, Micros),
    /// What comes in, messages a second.
    pub rate: f64,
    pub rate_at: Micros,
}

/// Messages of one key in the order taken, and until when the key rests.
pub type Key = (VecDeque<MessageId>, Micros);

/// What the list does not name any more and is kept for a while: what one change of the list costs follows
/// these, and not all that there is.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Unlisted {
    /// Endpoints that are not live by the list.
    pub endpoints: BTreeSet<EndpointId>,
    /// Destinations without an endpoint.
    pub dests: BTreeSet<DestinationId>,
    /// Routes of neither a known endpoint nor a known destination.
    pub routes: BTreeSet<RouteId>,
}

/// One sender's decisions. It has no clock and does no I/O: see [`Sender::handle`].
#[derive(Clone, Serialize, Deserialize)]
pub struct Sender {
    pub(crate) set: Settings,
    #[serde(with = "seed")]
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Micros,
    pub(crate) held: BTreeMap<MessageId, Held>,
    pub(crate) live: usize,
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) next_call: u64,
    pub(crate) routes: BTreeMap<RouteId, Route>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) dests: BTreeMap<DestinationId, Dest>,
    /// Endpoints that operators have taken out, whether the list names them or not.
    pub(crate) taken_out: BTreeSet<EndpointId>,
    pub(crate) queued: BTreeSet<DestinationId>,
    /// What the list does not name any more and is kept for a while.
    pub(crate) unlisted: Unlisted,
    pub(crate) keys: BTreeMap<Box<str>, Key>,
    /// Connections idle for longer are not trusted, until then.
    pub(crate) idle_safe: (Micros, Micros),
    /// For each kind: until when connections are taken to be scarce there.
    pub(crate) scarce: Vec<Micros>,
    pub(crate) tenants: Vec<(f64, Micros)>,
    pub(crate) out: Vec<Action>,
    pub(crate) watch_at: Micros,
    pub(crate) wake: Option<Micros>,
    /// How late calls fared, over all routes.
    pub(crate) late: Late,
    /// Destinations that were sent to in this turn.
    pub(crate) passed: BTreeSet<DestinationId>,
    /// Zones that are not sent their whole share, or are to be tried.
    pub(crate) leans: BTreeMap<u32, Lean>,
}

impl Sender {
    /// A sender with nothing held. Randomness comes from the seed alone.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            held: BTreeMap::new(),
            live: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            routes: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            dests: BTreeMap::new(),
            taken_out: BTreeSet::new(),
            queued: BTreeSet::new(),
            unlisted: Unlisted::default(),
            keys: BTreeMap::new(),
            idle_safe: (FAR, 0),
            scarce: vec![0; settings.kinds.len()],
            tenants: settings.tenant_allowances.iter().map(|&a| (a / settings.senders as f64, 0)).collect(),
            out: Vec::new(),
            watch_at: if settings.list == ListMode::Ask { 0 } else { Micros::MAX },
            wake: None,
            late: Late::default(),
            passed: BTreeSet::new(),
            leans: BTreeMap::new(),
            set: settings,
        })
    }

    /// A bucket of one second counts a tenant's share.
    pub(crate) fn over_share(&mut self, tenant: usize) -> bool {
        let Some(&rate) = self.set.tenant_allowances.get(tenant) else { return false };
        let rate = rate / self.set.senders as f64;
        let (tokens, at) = &mut self.tenants[tenant];
        *tokens = (*tokens + rate * self.now.saturating_sub(*at) as f64 / 1e6).min(rate.max(1.0));
        *at = self.now;
        let over = *tokens < 1.0;
        *tokens -= f64::from(!over);
        over
    }

    /// A connection stands idle, or an idle one ended: the oldest, as far as can be told.
    pub(crate) fn idle(&mut self, id: EndpointId, more: bool) {
        let Some(e) = self.endpoints.get_mut(&id).filter(|_| self.set.connections_reported) else { return };
        if more {
            e.idle.push(self.now);
        } else if !e.idle.is_empty() {
            e.idle.remove(0);
        }
    }

    /// A line for the operator about a destination.
    pub(crate) fn log(&mut self, dest: DestinationId, what: &str) {
        self.out.push(Action::Log(format!("destination {} {what}", dest.0)));
    }

    /// Destinations with messages that wait.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = (DestinationId, &Dest)> {
        self.queued.iter().map(|id| (*id, &self.dests[id])).filter(|(_, d)| !d.queue.is_empty())
    }

    /// Enters other settings, unless they do not fit what is held.
    pub(crate) fn set_terms(&mut self, set: &Settings) {
        let fits = set.kinds.len() == self.set.kinds.len()
            && set.tenant_allowances.len() == self.set.tenant_allowances.len();
        let known = self.held.values().all(|h| h.class < set.classes.len());
        if !fits || !known || set.check().is_err() {
            return;
        }
        // A place may stand for another class from now on.
        let changed = |c: &usize| set.classes.get(*c) != self.set.classes.get(*c);
        for e in self.endpoints.values_mut() {
            e.rests.retain(|c, _| !c.as_ref().is_some_and(changed));
        }
        self.set = set.clone();
    }

    /// Enters what the list says; gives the routes that it names.
    pub(crate) fn enter(&mut self, news: &ListUpdate) -> Vec<RouteId> {
        let mut routes = Vec::new();
        let list = match news {
            ListUpdate::Changes(list) => list,
            ListUpdate::Whole(list) | ListUpdate::Restored(list) => {
                let named: BTreeSet<EndpointId> = list.iter().map(|n| n.endpoint).collect();
                for (id, e) in self.endpoints.iter_mut().filter(|(id, _)| !named.contains(id)) {
                    (e.listed, e.live) = (false, false);
                    self.unlisted.endpoints.insert(*id);
                }
                list
            }
            ListUpdate::Unavailable => return routes,
        };
        for entry in list {
            routes.extend(self.enter_one(entry));
        }
        if !matches!(news, ListUpdate::Changes(_)) || list.iter().any(|n| n.phase != Phase::Live) {
            self.drop_endpoints();
        }
        routes
    }

    fn enter_one(&mut self, n: &ListEntry) -> Option<RouteId> {
        let kind = self.set.kinds.get(n.kind as usize)?;
        let fresh = || Endpoint { dest: n.dest, ..Endpoint::default() };
        let e = self.endpoints.entry(n.endpoint).or_insert_with(fresh);
        (e.listed, e.zone, e.kind) = (n.phase == Phase::Live, n.zone, n.kind as usize);
        e.live = e.listed && !self.taken_out.contains(&n.endpoint);
        if e.listed {
            self.unlisted.endpoints.remove(&n.endpoint);
        } else {
            self.unlisted.endpoints.insert(n.endpoint);
        }
        let d = self.dests.entry(e.dest).or_default();
        (d.per_endpoint, d.max_bundle, d.kind) = (kind.per_endpoint, kind.max_bundle as usize, e.kind);
        if !d.endpoints.contains(&n.endpoint) {
            d.endpoints.push(n.endpoint);
        }
        self.unlisted.dests.remove(&e.dest);
        Some((e.dest, kind.per_endpoint.then_some(n.endpoint)))
    }

    /// Puts a message into its destination's queue, also where no list names that.
    pub(crate) fn enqueue(&mut self, dest: DestinationId, id: MessageId) -> &mut Dest {
        self.queued.insert(dest);
        let d = self.dests.entry(dest).or_default();
        if d.endpoints.is_empty() {
            self.unlisted.dests.insert(dest);
        }
        d.queue.push(id);
        d
    }

    /// Drops endpoints that the list does not have as live, unless something is out there or operators took
    /// them out.
    fn drop_endpoints(&mut self) {
        let (endpoints, taken_out) = (&self.endpoints, &self.taken_out);
        let goes = |id: &EndpointId| endpoints[id].out == 0 && !taken_out.contains(id);
        let gone: Vec<EndpointId> = self.unlisted.endpoints.iter().copied().filter(goes).collect();
        for id in gone {
            self.unlisted.endpoints.remove(&id);
            let Some(e) = self.endpoints.remove(&id) else { continue };
            self.unlisted.routes.insert((e.dest, Some(id)));
            let Some(d) = self.dests.get_mut(&e.dest) else { continue };
            d.endpoints.retain(|other| *other != id);
            if d.endpoints.is_empty() {
                self.unlisted.dests.insert(e.dest);
            }
        }
    }

    /// Forgets destinations and routes that the list names no more, once nothing is left of them: a wait, and
    /// what is known of an outage, outlive a short absence.
    pub(crate) fn forget_unlisted(&mut self, span: Micros) {
        let now = self.now;
        let stays = |d: &Dest| !d.queue.is_empty() || d.rate_at + span > now;
        let (dests, queued) = (&mut self.dests, &self.queued);
        let routes = &mut self.unlisted.routes;
        self.unlisted.dests.retain(|id| {
            let Some(d) = dests.get(id).filter(|d| d.endpoints.is_empty()) else { return false };
            let kept = stays(d) || queued.contains(id);
            if !kept {
                dests.remove(id);
                routes.insert((*id, None));
            }
            kept
        });
        let known = &self.endpoints;
        let all = &mut self.routes;
        self.unlisted.routes.retain(|route| {
            let named = route.1.map_or_else(|| dests.contains_key(&route.0), |e| known.contains_key(&e));
            let Some(r) = all.get(route).filter(|_| !named) else { return false };
            let kept = r.out > 0 || r.last_ok.max(r.rest_until) + span > now;
            if !kept {
                all.remove(route);
            }
            kept
        });
    }

    /// Enters that operators took an endpoint out, or put it back; gives whether that is news, and whether
    /// another endpoint of its route is in service.
    pub(crate) fn set_out(&mut self, id: EndpointId, out: bool) -> (bool, bool) {
        let news = if out { self.taken_out.insert(id) } else { self.taken_out.remove(&id) };
        let Some(e) = self.endpoints.get_mut(&id) else { return (news, false) };
        e.live = e.listed && !out;
        let (dest, per_endpoint) = (e.dest, self.dests.get(&e.dest).is_some_and(|d| d.per_endpoint));
        let other = |(o, e): (&EndpointId, &Endpoint)| *o != id && e.dest == dest && e.live;
        (news, !per_endpoint && self.endpoints.iter().any(other))
    }

    /// Enters what share a zone is sent, and whether it is tried.
    pub(crate) fn set_zone(&mut self, zone: u32, share: f64, probe: bool, exempt: &[DestinationId]) {
        let share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 1.0 };
        let lean = self.leans.entry(zone).or_insert_with(Lean::whole);
        lean.turn(share, exempt);
        if probe {
            let there = self.endpoints.values().filter(|e| e.live && e.zone == zone);
            lean.try_all(there.map(|e| e.dest));
        } else if lean.is_whole() {
            self.leans.remove(&zone);
        }
    }

    /// A message came in: zones that are sent a part of their share gain of it.
    pub(crate) fn accrue_zones(&mut self, dest: DestinationId) {
        let Some(d) = self.dests.get(&dest) else { return };
        let live = || d.endpoints.iter().filter_map(|e| self.endpoints.get(e)).filter(|e| e.live);
        let all = live().count().max(1) as f64;
        for (zone, lean) in &mut self.leans {
            let there = live().filter(|e| e.zone == *zone).count();
            if there > 0 {
                lean.arrived(dest, there as f64 / all, || self.rng.f64());
            }
        }
    }

    /// A message is over: it leaves what waits, and is forgotten once no attempt of it is out.
    pub(crate) fn finish(&mut self, id: MessageId) {
        let Some(h) = self.held.get_mut(&id) else { return };
        if !h.done {
            h.done = true;
            self.live -= 1;
            self.dests.entry(h.dest).and_modify(|d| d.queue.retain(|&q| q != id));
        }
        if h.out == 0 {
            if let Some(k) = h.key.as_ref().and_then(|k| self.keys.get_mut(k)) {
                k.0.retain(|&q| q != id);
            }
            self.held.remove(&id);
        }
    }
}

/// What comes in is averaged over this long, in seconds: as a few messages of a thin stream take.
const FLOW_SPAN: f64 = 20.0;
/// So many calls count as much as what was known before of how late calls fare: one, since routes differ.
const PRIOR_WEIGHT: f64 = 1.0;
/// Older calls than so many count half, so that a change of the network shows.
const MEMORY: f64 = 32.0;

impl Late {
    pub fn enter(&mut self, lost: bool, stage: usize, by: f64) {
        let cell = &mut self.0[usize::from(lost)][stage];
        cell.0 = (cell.0 + by).max(0.0);
        if cell.0 > MEMORY {
            *cell = (cell.0 / 2.0, cell.1 / 2.0);
        }
    }

    /// The share of those that came to an age which were answered in it, where `prior` was known before.
    pub fn share(&self, lost: usize, stage: usize, prior: f64) -> f64 {
        let (came, answered) = self.0[lost][stage];
        (answered + PRIOR_WEIGHT * prior) / (came + PRIOR_WEIGHT)
    }

    fn answered(&mut self, lost: bool, stage: usize) {
        let cell = &mut self.0[usize::from(lost)][stage];
        cell.1 = (cell.1 + 1.0).min(cell.0);
    }

    /// A call turned out to be lost at its present age.
    pub fn lose(&mut self, stage: usize) {
        if stage > 0 {
            self.enter(false, stage - 1, -1.0);
            self.enter(true, stage - 1, 1.0);
        }
    }

    /// How a call ended; what was called off tells nothing of its last age.
    pub fn end(&mut self, c: &Call, outcome: Outcome) {
        match (c.stage, outcome) {
            (0, _) => {}
            (n, Outcome::Served | Outcome::Failed | Outcome::Full { .. } | Outcome::Spoilt) => {
                self.answered(c.lost, n - 1)
            }
            (n, Outcome::Cancelled | Outcome::Moot | Outcome::NotSent) => self.enter(c.lost, n - 1, -1.0),
            _ => {}
        }
    }
}

impl Held {
    /// Attempts made, as far as they count.
    pub fn tries(&self) -> usize {
        self.attempts.len().saturating_sub(self.unsent as usize)
    }

    /// What the settings say that the message earns if served at `t`.
    pub fn worth(&self, set: &Settings, t: Micros) -> f64 {
        let c = &set.classes[self.class];
        let full = c.worth * if self.over_share { set.over_share_worth } else { 1.0 };
        if t >= self.expires || t <= self.aim {
            return if t >= self.expires { 0.0 } else { full };
        }
        let late = (t - self.aim) as f64;
        full * match set.worth_decay {
            WorthDecay::Halving => (-late / c.target_time as f64).exp2().max(c.late_share),
            WorthDecay::Linear => {
                1.0 - (1.0 - c.late_share) * (late / (c.deadline - c.target_time).max(1) as f64).min(1.0)
            }
        }
    }
}

impl Dest {
    /// How long a connection may have been idle to be used again.
    pub fn trusted(&self, now: Micros) -> Micros {
        if now < self.idle_safe.1 { self.idle_safe.0 } else { Micros::MAX }
    }

    /// The rate of what comes in for a route just now, messages a second.
    pub fn flow(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.rate_at) as f64 / 1e6;
        self.rate * (-age / FLOW_SPAN).exp() * self.part()
    }

    /// A message came in.
    pub fn arrived(&mut self, now: Micros) {
        (self.rate, self.rate_at) = (self.flow(now) / self.part() + 1.0 / FLOW_SPAN, now);
    }

    /// A route's part of what comes in.
    pub fn part(&self) -> f64 {
        if self.per_endpoint { 1.0 / self.endpoints.len().max(1) as f64 } else { 1.0 }
    }
}

/// A random generator is kept by its state, which is its seed.
pub mod seed {
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(rng: &fastrand::Rng, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(rng.get_seed())
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<fastrand::Rng, D::Error> {
        u64::deserialize(from).map(fastrand::Rng::with_seed)
    }
}

#[cfg(test)]
mod tests;
