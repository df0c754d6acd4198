//! The model of a partner.

use crate::Micros;
use crate::ledger::{CallId, CallRecord, Effect, Ledger};
use crate::spec::{ColdStart, Faults, PartnerSpec};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// How one message of a call with several ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageResult {
    /// Delivered.
    Done,
    /// It may have run.
    Failed,
}

/// What comes back for a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// A status, and how long to wait.
    Status(u16, Option<Micros>),
    /// The end of each message.
    Each(Vec<(u64, MessageResult)>),
    /// Nothing.
    Silent,
    /// The connection is reset.
    Reset,
    /// Noise.
    Spoilt,
    /// Half of an answer with status 200.
    Half,
    /// An answer with status 200, byte by byte.
    Trickle,
}

/// A call's answer is due.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Which call.
    pub call: CallId,
    /// What is answered.
    pub reply: Reply,
}

/// What a scenario does to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// All work stops for so long, and then goes on.
    Pause(Micros),
    /// It dies: what it was working on is lost, connections are reset and refused.
    Die,
    /// It is back, cold.
    Return,
    /// Answers are spoilt from now on.
    Faults(Faults),
    /// From now on each call takes so many times as long.
    Slow(f64),
}

/// One message of a call, as its endpoint sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncomingMessage {
    /// Its id.
    pub id: u64,
    /// Its class.
    pub class: String,
    /// Repeats of it are dropped for so long after it ran.
    pub dedup_window: Option<Micros>,
    /// What is the same for all of its hand-ins, by which repeats are known.
    pub dedup_key: u64,
}

struct Call {
    seen: usize,
    endpoint: usize,
    messages: Vec<IncomingMessage>,
    /// Work that is left when it begins.
    work: Micros,
    ends: Option<Micros>,
    gone: bool,
}

#[derive(Default)]
struct Endpoint {
    up: bool,
    /// It came back at this moment, and is cold for a while.
    since: Option<Micros>,
    /// Down until then after it fell over.
    fallen: Option<Micros>,
    paused: Option<Micros>,
    serving: u32,
    queue: VecDeque<CallId>,
    slow: f64,
    faults: Faults,
    /// Calls that came while it was cold, by moment.
    offered: VecDeque<Micros>,
}

/// A destination with its endpoints.
pub struct Partner {
    spec: PartnerSpec,
    endpoints: Vec<Endpoint>,
    calls: BTreeMap<CallId, Call>,
    due: BinaryHeap<Reverse<(Micros, CallId)>>,
    tokens: f64,
    filled: Micros,
    /// What ran lately, by key: until when repeats are dropped.
    known: BTreeMap<u64, Micros>,
    ledger: Ledger,
    random: Pcg64Mcg,
}

/// Calls that came are counted in at most so many moments; more in one window are over any limit anyway.
const OFFERED: usize = 100_000;
/// Keys that are remembered at once; the rest of a run's keys make room by age.
const KNOWN: usize = 1_000_000;

impl Partner {
    /// A partner with so many endpoints, all warm.
    pub fn new(spec: PartnerSpec, endpoints: usize, seed: u64) -> Self {
        let mut partner = Self {
            tokens: spec.burst,
            spec,
            endpoints: Vec::new(),
            calls: BTreeMap::new(),
            due: BinaryHeap::new(),
            filled: 0,
            known: BTreeMap::new(),
            ledger: Ledger::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for _ in 0..endpoints {
            partner.add_endpoint();
        }
        partner
    }

    /// One more endpoint, warm; gives its number.
    pub fn add_endpoint(&mut self) -> usize {
        self.endpoints.push(Endpoint { up: true, slow: 1.0, ..Endpoint::default() });
        self.endpoints.len() - 1
    }

    /// What it is like.
    pub fn spec(&self) -> &PartnerSpec {
        &self.spec
    }

    /// What it saw and what took effect.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// It takes connections.
    pub fn is_up(&self, endpoint: usize) -> bool {
        self.endpoints.get(endpoint).is_some_and(|e| e.up)
    }

    /// Calls in service and waiting, of all endpoints.
    pub fn load(&self) -> (u32, usize) {
        let serving = self.endpoints.iter().map(|e| e.serving).sum();
        (serving, self.endpoints.iter().map(|e| e.queue.len()).sum())
    }

    /// The share of its capacity that an endpoint has: less than 1 while it is cold.
    pub fn capacity_share(&self, endpoint: usize, now: Micros) -> f64 {
        let (Some(cold), Some(e)) = (self.spec.cold, self.endpoints.get(endpoint)) else { return 1.0 };
        e.since.map_or(1.0, |since| share(&cold, now.saturating_sub(since)))
    }

    /// What an endpoint can do now, in calls a second of this class.
    pub fn capacity(&self, endpoint: usize, class: &str, now: Micros) -> f64 {
        let mean = (self.spec.service(class).mean_ms / 1e3).max(1e-6);
        f64::from(self.spec.slots) / mean * self.capacity_share(endpoint, now)
    }

    /// A call came whole at `now`, its first byte at `first`.
    pub fn receive_call(
        &mut self,
        now: Micros,
        first: Micros,
        endpoint: usize,
        sender: usize,
        messages: Vec<IncomingMessage>,
        out: &mut Vec<Completion>,
    ) -> CallId {
        let call = CallId(self.ledger.calls.len() as u64);
        self.ledger.calls.push(CallRecord {
            call,
            first_byte_at: first,
            received_at: now,
            endpoint,
            sender,
            messages: messages.iter().map(|m| m.id).collect(),
            answer: None,
            retry_after: None,
            caller_gone_at: None,
        });
        self.offer(now, endpoint, messages.first().map_or("", |m| &m.class), out);
        if !self.is_up(endpoint) {
            self.answer(now, call, Reply::Reset, out);
        } else if messages.len() > self.spec.bundle as usize {
            self.answer(now, call, Reply::Status(413, None), out);
        } else if let Some(wait) = self.over_rate(now) {
            let reply =
                if self.spec.hint { Reply::Status(429, Some(wait)) } else { Reply::Status(503, None) };
            self.answer(now, call, reply, out);
        } else {
            self.admit(now, call, endpoint, messages, out);
        }
        call
    }

    fn admit(
        &mut self,
        now: Micros,
        call: CallId,
        endpoint: usize,
        messages: Vec<IncomingMessage>,
        out: &mut Vec<Completion>,
    ) {
        let e = &self.endpoints[endpoint];
        let busy = e.serving >= self.spec.slots;
        if busy && e.queue.len() >= self.spec.queue as usize {
            let reply = match self.spec.full_hint_ms {
                Some(ms) => Reply::Status(429, Some(ms * 1_000)),
                None => Reply::Status(503, None),
            };
            return self.answer(now, call, reply, out);
        }
        let work = self.work(&messages);
        let seen = call.0 as usize;
        self.calls.insert(call, Call { seen, endpoint, messages, work, ends: None, gone: false });
        if busy {
            self.endpoints[endpoint].queue.push_back(call);
        } else {
            self.begin(now, call);
        }
    }

    fn work(&mut self, messages: &[IncomingMessage]) -> Micros {
        let service = messages.first().map_or_else(Default::default, |m| self.spec.service(&m.class));
        let more = 1.0 + self.spec.each_more * messages.len().saturating_sub(1) as f64;
        let one = if service.cv > 0.0 && service.mean_ms > 0.0 {
            // A log-normal time with this mean and this coefficient of variation.
            let sigma2 = (1.0 + service.cv * service.cv).ln();
            let normal = LogNormal::new(service.mean_ms.ln() - sigma2 / 2.0, sigma2.sqrt());
            normal.map_or(service.mean_ms, |d| d.sample(&mut self.random))
        } else {
            service.mean_ms
        };
        (one * more * 1e3) as Micros
    }

    fn begin(&mut self, now: Micros, call: CallId) {
        let Some(c) = self.calls.get_mut(&call) else { return };
        let endpoint = c.endpoint;
        let share = self.capacity_share(endpoint, now);
        let e = &mut self.endpoints[endpoint];
        e.serving += 1;
        let load = (f64::from(e.serving) + e.queue.len() as f64) / f64::from(self.spec.slots);
        let over = self.spec.thrash.map_or(0.0, |t| (load - t.from_load).max(0.0) * t.slowdown);
        // A paused endpoint begins nothing before it goes on.
        let begins = e.paused.map_or(now, |until| until.max(now));
        let Some(c) = self.calls.get_mut(&call) else { return };
        let ends = begins + (c.work as f64 * e.slow * (1.0 + over) / share) as Micros;
        c.ends = Some(ends);
        self.due.push(Reverse((ends, call)));
    }

    /// The plain limit on calls; gives how long to wait where it is reached.
    fn over_rate(&mut self, now: Micros) -> Option<Micros> {
        let rate = self.spec.rate_per_s?;
        let more = now.saturating_sub(self.filled) as f64 / 1e6 * rate;
        (self.tokens, self.filled) = ((self.tokens + more).min(self.spec.burst), now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return None;
        }
        Some(((1.0 - self.tokens) / rate * 1e6).ceil() as Micros)
    }

    /// A cold endpoint that gets too much for too long falls over, and what it was working on is lost.
    fn offer(&mut self, now: Micros, endpoint: usize, class: &str, out: &mut Vec<Completion>) {
        let (Some(cold), Some(since)) = (self.spec.cold, self.endpoints[endpoint].since) else { return };
        let span = (cold.fall_after_s * 1e6) as Micros;
        let full = self.capacity(endpoint, class, Micros::MAX);
        let e = &mut self.endpoints[endpoint];
        if now.saturating_sub(since) >= (cold.warm_s * 1e6) as Micros {
            e.offered.clear();
            return;
        }
        e.offered.push_back(now);
        while e.offered.front().is_some_and(|&t| t + span < now) || e.offered.len() > OFFERED {
            e.offered.pop_front();
        }
        // Before a whole window has passed there is no judging it.
        if now < since + span || !e.up {
            return;
        }
        let middle = share(&cold, now - span / 2 - since);
        if e.offered.len() as f64 > (full * middle * cold.fall_multiple * cold.fall_after_s).max(1.0) {
            self.ledger.overload_failures.push((now, endpoint));
            self.apply_change(now, endpoint, Change::Die, out);
            self.endpoints[endpoint].fallen = Some(now + (cold.down_s * 1e6) as Micros);
        }
    }

    /// The caller of a call has gone. What is in service runs on; what waits may.
    pub fn abandon_call(&mut self, now: Micros, call: CallId) {
        let Some(c) = self.calls.get_mut(&call) else { return };
        c.gone = true;
        let (seen, endpoint, waits) = (c.seen, c.endpoint, c.ends.is_none());
        self.ledger.calls[seen].caller_gone_at.get_or_insert(now);
        if waits && !self.spec.runs_abandoned {
            self.endpoints[endpoint].queue.retain(|w| *w != call);
            self.calls.remove(&call);
        }
    }

    /// Does to an endpoint what the scenario says.
    pub fn apply_change(&mut self, now: Micros, endpoint: usize, change: Change, out: &mut Vec<Completion>) {
        let Some(e) = self.endpoints.get_mut(endpoint) else { return };
        match change {
            Change::Pause(span) => {
                e.paused = Some(now + span);
                let moved = self.calls.iter_mut().filter(|(_, c)| c.endpoint == endpoint);
                for (id, c) in moved {
                    if let Some(ends) = c.ends.as_mut() {
                        *ends += span;
                        self.due.push(Reverse((*ends, *id)));
                    }
                }
            }
            Change::Die => {
                (e.up, e.serving, e.paused, e.since) = (false, 0, None, None);
                e.queue.clear();
                e.offered.clear();
                let lost: Vec<CallId> =
                    self.calls.iter().filter(|(_, c)| c.endpoint == endpoint).map(|(id, _)| *id).collect();
                for call in lost {
                    self.calls.remove(&call);
                    self.answer(now, call, Reply::Reset, out);
                }
            }
            Change::Return => {
                if !e.up {
                    (e.up, e.since, e.fallen) = (true, Some(now), None);
                }
            }
            Change::Faults(faults) => e.faults = faults,
            Change::Slow(times) => e.slow = times.max(0.0),
        }
    }

    /// When [`Self::poll`] is to be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        let back = self.endpoints.iter().filter_map(|e| e.fallen).min();
        let due = self.due.peek().map(|d| d.0.0);
        back.into_iter().chain(due).min()
    }

    /// Does all that is due.
    pub fn poll(&mut self, now: Micros, out: &mut Vec<Completion>) {
        for endpoint in 0..self.endpoints.len() {
            if self.endpoints[endpoint].fallen.is_some_and(|t| t <= now) {
                self.apply_change(now, endpoint, Change::Return, out);
            }
        }
        while let Some(&Reverse((at, call))) = self.due.peek()
            && at <= now
        {
            self.due.pop();
            // One that a pause has moved stands there again with its new end.
            if self.calls.get(&call).is_some_and(|c| c.ends == Some(at)) {
                self.finish(at, call, out);
            }
        }
    }

    fn finish(&mut self, at: Micros, call: CallId, out: &mut Vec<Completion>) {
        let Some(c) = self.calls.remove(&call) else { return };
        let mut words = Vec::with_capacity(c.messages.len());
        for m in &c.messages {
            let failed = self.spec.error_share > 0.0 && self.random.random_bool(self.spec.error_share);
            let ran = !failed || self.random.random_bool(self.spec.error_ran_share);
            words.push((m.id, if failed { MessageResult::Failed } else { MessageResult::Done }));
            if ran {
                let is_duplicate =
                    self.known.get(&m.dedup_key).is_some_and(|&until| m.dedup_window.is_some() && at < until);
                if let Some(window) = m.dedup_window.filter(|_| !is_duplicate) {
                    if self.known.len() >= KNOWN {
                        self.known.retain(|_, until| *until > at);
                    }
                    self.known.insert(m.dedup_key, at + window);
                }
                let (message, endpoint, abandoned) = (m.id, c.endpoint, c.gone);
                self.ledger.effects.push(Effect { at, message, endpoint, abandoned, is_duplicate });
            }
        }
        let e = &mut self.endpoints[c.endpoint];
        e.serving = e.serving.saturating_sub(1);
        let faults = e.faults;
        if let Some(next) = e.queue.pop_front() {
            self.begin(at, next);
        }
        if !c.gone {
            let reply = self.reply(words, &faults);
            self.answer(at, call, reply, out);
        }
    }

    fn reply(&mut self, words: Vec<(u64, MessageResult)>, faults: &Faults) -> Reply {
        if *faults != Faults::default() {
            let mut x: f64 = self.random.random();
            for (share, reply) in [
                (faults.silent, Reply::Silent),
                (faults.reset, Reply::Reset),
                (faults.spoilt, Reply::Spoilt),
                (faults.half, Reply::Half),
                (faults.trickle, Reply::Trickle),
            ] {
                if x < share {
                    return reply;
                }
                x -= share;
            }
        }
        match &words[..] {
            [(_, MessageResult::Done)] => Reply::Status(200, None),
            [(_, MessageResult::Failed)] => Reply::Status(500, None),
            _ => Reply::Each(words),
        }
    }

    fn answer(&mut self, now: Micros, call: CallId, reply: Reply, out: &mut Vec<Completion>) {
        let seen = &mut self.ledger.calls[call.0 as usize];
        let (status, wait) = match reply {
            Reply::Status(status, wait) => (status, wait),
            Reply::Each(_) => (200, None),
            _ => (0, None),
        };
        (seen.answer, seen.retry_after) = (Some((now, status)), wait);
        out.push(Completion { call, reply });
    }
}

fn share(cold: &ColdStart, up_for: Micros) -> f64 {
    let warm = (cold.warm_s * 1e6).max(1.0);
    (cold.start_share + (1.0 - cold.start_share) * up_for as f64 / warm).min(1.0)
}
