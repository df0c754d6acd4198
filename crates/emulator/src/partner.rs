//! Model of a partner: service slots, a queue, rate limits, outages and faulty answers.

use crate::Micros;
use crate::ledger::{CallId, CallRecord, Effect, Ledger};
use crate::spec::{ColdStart, Faults, PartnerSpec};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// Result of one message of a call with several messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageResult {
    /// The message was delivered.
    Done,
    /// The message failed. It may have taken effect nevertheless.
    Failed,
}

/// Reply to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// A status, and the wait that it asks for.
    Status(u16, Option<Micros>),
    /// The result of each message.
    Each(Vec<(u64, MessageResult)>),
    /// No answer.
    Silent,
    /// The connection is reset.
    Reset,
    /// Bytes that are not HTTP.
    Spoilt,
    /// The first half of an answer with status 200.
    Half,
    /// An answer with status 200 that is sent byte by byte.
    Trickle,
}

/// A call whose reply is due.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The call.
    pub call: CallId,
    /// Its reply.
    pub reply: Reply,
}

/// Change that a scenario makes to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// All work stops for this time and then continues.
    Pause(Micros),
    /// The endpoint crashes: calls in service and in the queue are lost, connections are reset and new ones
    /// are refused.
    Die,
    /// The endpoint is up again. It is cold and has only a share of its capacity at first.
    Return,
    /// Answers have these faults from now on.
    Faults(Faults),
    /// From now on the service time of each call is multiplied by this factor.
    Slow(f64),
}

/// One message of a call, as its endpoint receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncomingMessage {
    /// Id of the message.
    pub id: u64,
    /// Name of its class.
    pub class: String,
    /// Time after its effect in which duplicates of it are dropped. `None` if they are never dropped.
    pub dedup_window: Option<Micros>,
    /// Key that is the same each time a client sends this message, by which duplicates are recognised.
    pub dedup_key: u64,
}

/// State of a call that is in service or in the queue.
struct Call {
    /// Index of its record in the ledger.
    record: usize,
    endpoint: usize,
    messages: Vec<IncomingMessage>,
    /// Service time without slowdown.
    work: Micros,
    /// Time at which its service ends. `None` while it is in the queue.
    ends_at: Option<Micros>,
    /// Whether its caller has closed the connection.
    is_abandoned: bool,
}

#[derive(Default)]
struct Endpoint {
    is_up: bool,
    /// Time at which it recovered from an outage. It warms up from then on.
    recovered_at: Option<Micros>,
    /// Time until which it is down after an overload failure.
    down_until: Option<Micros>,
    paused_until: Option<Micros>,
    /// Calls in service.
    serving: u32,
    queue: VecDeque<CallId>,
    /// Factor on the service time of each call.
    slowdown: f64,
    faults: Faults,
    /// Times of the calls that it received while it was cold, within the window for overload.
    recent_calls: VecDeque<Micros>,
}

/// A destination with its endpoints.
pub struct Partner {
    spec: PartnerSpec,
    endpoints: Vec<Endpoint>,
    calls: BTreeMap<CallId, Call>,
    completions_due: BinaryHeap<Reverse<(Micros, CallId)>>,
    /// Tokens of the rate limit.
    tokens: f64,
    /// Time at which tokens were last added.
    refilled_at: Micros,
    /// Time until which duplicates are dropped, by deduplication key.
    dedup_until: BTreeMap<u64, Micros>,
    ledger: Ledger,
    random: Pcg64Mcg,
}

/// Maximum number of call times that are stored for an endpoint. More calls in one window exceed any limit.
const MAX_RECENT_CALLS: usize = 100_000;
/// Number of stored deduplication keys from which on expired ones are removed.
const MAX_DEDUP_KEYS: usize = 1_000_000;

impl Partner {
    /// Creates a partner with this number of endpoints, all up and warm.
    pub fn new(spec: PartnerSpec, endpoints: usize, seed: u64) -> Self {
        let mut partner = Self {
            tokens: spec.burst,
            spec,
            endpoints: Vec::new(),
            calls: BTreeMap::new(),
            completions_due: BinaryHeap::new(),
            refilled_at: 0,
            dedup_until: BTreeMap::new(),
            ledger: Ledger::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for _ in 0..endpoints {
            partner.add_endpoint();
        }
        partner
    }

    /// Adds an endpoint that is up and warm, and returns its number.
    pub fn add_endpoint(&mut self) -> usize {
        self.endpoints.push(Endpoint { is_up: true, slowdown: 1.0, ..Endpoint::default() });
        self.endpoints.len() - 1
    }

    /// Returns the parameters of the partner.
    pub fn spec(&self) -> &PartnerSpec {
        &self.spec
    }

    /// Returns the record of its calls and effects.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns whether an endpoint accepts connections.
    pub fn is_up(&self, endpoint: usize) -> bool {
        self.endpoints.get(endpoint).is_some_and(|state| state.is_up)
    }

    /// Returns the number of calls in service and the number in the queues, over all endpoints.
    pub fn load(&self) -> (u32, usize) {
        let serving = self.endpoints.iter().map(|state| state.serving).sum();
        (serving, self.endpoints.iter().map(|state| state.queue.len()).sum())
    }

    /// Returns the share of its capacity that an endpoint has now. It is below 1 while the endpoint warms up.
    pub fn capacity_share(&self, endpoint: usize, now: Micros) -> f64 {
        let (Some(cold), Some(state)) = (self.spec.cold, self.endpoints.get(endpoint)) else { return 1.0 };
        state.recovered_at.map_or(1.0, |since| warm_up_share(&cold, now.saturating_sub(since)))
    }

    /// Returns the current capacity of an endpoint for messages of this class, in calls a second.
    pub fn capacity(&self, endpoint: usize, class: &str, now: Micros) -> f64 {
        let mean = (self.spec.service(class).mean_ms / 1e3).max(1e-6);
        f64::from(self.spec.slots) / mean * self.capacity_share(endpoint, now)
    }

    /// Takes a call whose first byte was received at `first_byte_at` and whose last one at `now`.
    pub fn receive_call(
        &mut self,
        now: Micros,
        first_byte_at: Micros,
        endpoint: usize,
        sender: usize,
        messages: Vec<IncomingMessage>,
        out: &mut Vec<Completion>,
    ) -> CallId {
        let call = CallId(self.ledger.calls.len() as u64);
        self.ledger.calls.push(CallRecord {
            call,
            first_byte_at,
            received_at: now,
            endpoint,
            sender,
            messages: messages.iter().map(|message| message.id).collect(),
            answer: None,
            retry_after: None,
            caller_gone_at: None,
        });
        self.check_overload(now, endpoint, messages.first().map_or("", |message| &message.class), out);
        if !self.is_up(endpoint) {
            self.record_answer(now, call, Reply::Reset, out);
        } else if messages.len() > self.spec.bundle as usize {
            self.record_answer(now, call, Reply::Status(413, None), out);
        } else if let Some(wait) = self.check_rate_limit(now) {
            let reply =
                if self.spec.hint { Reply::Status(429, Some(wait)) } else { Reply::Status(503, None) };
            self.record_answer(now, call, reply, out);
        } else {
            self.admit(now, call, endpoint, messages, out);
        }
        call
    }

    /// Starts a call, adds it to the queue, or refuses it where the queue is full.
    fn admit(
        &mut self,
        now: Micros,
        call: CallId,
        endpoint: usize,
        messages: Vec<IncomingMessage>,
        out: &mut Vec<Completion>,
    ) {
        let state = &self.endpoints[endpoint];
        let is_busy = state.serving >= self.spec.slots;
        if is_busy && state.queue.len() >= self.spec.queue as usize {
            let reply = match self.spec.full_hint_ms {
                Some(ms) => Reply::Status(429, Some(ms * 1_000)),
                None => Reply::Status(503, None),
            };
            return self.record_answer(now, call, reply, out);
        }
        let work = self.draw_service_time(&messages);
        let record = call.0 as usize;
        self.calls
            .insert(call, Call { record, endpoint, messages, work, ends_at: None, is_abandoned: false });
        if is_busy {
            self.endpoints[endpoint].queue.push_back(call);
        } else {
            self.start_service(now, call);
        }
    }

    /// Draws the service time of a call from its class and its number of messages.
    fn draw_service_time(&mut self, messages: &[IncomingMessage]) -> Micros {
        let service =
            messages.first().map_or_else(Default::default, |message| self.spec.service(&message.class));
        let bundle_factor = 1.0 + self.spec.each_more * messages.len().saturating_sub(1) as f64;
        let single_ms = if service.cv > 0.0 && service.mean_ms > 0.0 {
            // Parameters of the log-normal distribution with this mean and coefficient of variation.
            let variance = (1.0 + service.cv * service.cv).ln();
            let normal = LogNormal::new(service.mean_ms.ln() - variance / 2.0, variance.sqrt());
            normal.map_or(service.mean_ms, |distribution| distribution.sample(&mut self.random))
        } else {
            service.mean_ms
        };
        (single_ms * bundle_factor * 1e3) as Micros
    }

    /// Starts to serve a call and schedules its completion.
    fn start_service(&mut self, now: Micros, call: CallId) {
        let Some(call_state) = self.calls.get_mut(&call) else { return };
        let endpoint = call_state.endpoint;
        let share = self.capacity_share(endpoint, now);
        let state = &mut self.endpoints[endpoint];
        state.serving += 1;
        let load = (f64::from(state.serving) + state.queue.len() as f64) / f64::from(self.spec.slots);
        let thrash =
            self.spec.thrash.map_or(0.0, |thrash| (load - thrash.from_load).max(0.0) * thrash.slowdown);
        // A paused endpoint starts no call before its pause ends.
        let begins = state.paused_until.map_or(now, |until| until.max(now));
        let Some(call_state) = self.calls.get_mut(&call) else { return };
        let ends = begins + (call_state.work as f64 * state.slowdown * (1.0 + thrash) / share) as Micros;
        call_state.ends_at = Some(ends);
        self.completions_due.push(Reverse((ends, call)));
    }

    /// Applies the rate limit (a token bucket). Returns the wait for the next token if it is exceeded.
    fn check_rate_limit(&mut self, now: Micros) -> Option<Micros> {
        let rate = self.spec.rate_per_s?;
        let refill = now.saturating_sub(self.refilled_at) as f64 / 1e6 * rate;
        (self.tokens, self.refilled_at) = ((self.tokens + refill).min(self.spec.burst), now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return None;
        }
        Some(((1.0 - self.tokens) / rate * 1e6).ceil() as Micros)
    }

    /// Counts a call to a cold endpoint. The endpoint crashes and loses its calls if the calls of the last
    /// window exceed `fall_multiple` times its capacity in that window.
    fn check_overload(&mut self, now: Micros, endpoint: usize, class: &str, out: &mut Vec<Completion>) {
        let (Some(cold), Some(since)) = (self.spec.cold, self.endpoints[endpoint].recovered_at) else {
            return;
        };
        let window = (cold.fall_after_s * 1e6) as Micros;
        let full = self.capacity(endpoint, class, Micros::MAX);
        let state = &mut self.endpoints[endpoint];
        if now.saturating_sub(since) >= (cold.warm_s * 1e6) as Micros {
            state.recent_calls.clear();
            return;
        }
        state.recent_calls.push_back(now);
        while state.recent_calls.front().is_some_and(|&t| t + window < now)
            || state.recent_calls.len() > MAX_RECENT_CALLS
        {
            state.recent_calls.pop_front();
        }
        // The window must have passed in full before its calls are compared with the limit.
        if now < since + window || !state.is_up {
            return;
        }
        let middle_share = warm_up_share(&cold, now - window / 2 - since);
        if state.recent_calls.len() as f64
            > (full * middle_share * cold.fall_multiple * cold.fall_after_s).max(1.0)
        {
            self.ledger.overload_failures.push((now, endpoint));
            self.apply_change(now, endpoint, Change::Die, out);
            self.endpoints[endpoint].down_until = Some(now + (cold.down_s * 1e6) as Micros);
        }
    }

    /// Records that the caller of a call has closed the connection. A call in service still runs to its end.
    /// One in the queue does so only with `runs_abandoned`, and is removed otherwise.
    pub fn abandon_call(&mut self, now: Micros, call: CallId) {
        let Some(call_state) = self.calls.get_mut(&call) else { return };
        call_state.is_abandoned = true;
        let (record, endpoint, is_queued) =
            (call_state.record, call_state.endpoint, call_state.ends_at.is_none());
        self.ledger.calls[record].caller_gone_at.get_or_insert(now);
        if is_queued && !self.spec.runs_abandoned {
            self.endpoints[endpoint].queue.retain(|queued| *queued != call);
            self.calls.remove(&call);
        }
    }

    /// Applies a change of the scenario to an endpoint.
    pub fn apply_change(&mut self, now: Micros, endpoint: usize, change: Change, out: &mut Vec<Completion>) {
        let Some(state) = self.endpoints.get_mut(endpoint) else { return };
        match change {
            Change::Pause(span) => {
                state.paused_until = Some(now + span);
                let delayed = self.calls.iter_mut().filter(|(_, call_state)| call_state.endpoint == endpoint);
                for (id, call_state) in delayed {
                    if let Some(ends) = call_state.ends_at.as_mut() {
                        *ends += span;
                        self.completions_due.push(Reverse((*ends, *id)));
                    }
                }
            }
            Change::Die => {
                (state.is_up, state.serving, state.paused_until, state.recovered_at) = (false, 0, None, None);
                state.queue.clear();
                state.recent_calls.clear();
                let lost: Vec<CallId> = self
                    .calls
                    .iter()
                    .filter(|(_, call_state)| call_state.endpoint == endpoint)
                    .map(|(id, _)| *id)
                    .collect();
                for call in lost {
                    self.calls.remove(&call);
                    self.record_answer(now, call, Reply::Reset, out);
                }
            }
            Change::Return => {
                if !state.is_up {
                    (state.is_up, state.recovered_at, state.down_until) = (true, Some(now), None);
                }
            }
            Change::Faults(faults) => state.faults = faults,
            Change::Slow(times) => state.slowdown = times.max(0.0),
        }
    }

    /// Returns the time at which [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        let recovery = self.endpoints.iter().filter_map(|state| state.down_until).min();
        let due = self.completions_due.peek().map(|entry| entry.0.0);
        recovery.into_iter().chain(due).min()
    }

    /// Completes all calls and recoveries that are due at `now`.
    pub fn poll(&mut self, now: Micros, out: &mut Vec<Completion>) {
        for endpoint in 0..self.endpoints.len() {
            if self.endpoints[endpoint].down_until.is_some_and(|t| t <= now) {
                self.apply_change(now, endpoint, Change::Return, out);
            }
        }
        while let Some(&Reverse((at, call))) = self.completions_due.peek()
            && at <= now
        {
            self.completions_due.pop();
            // A call that a pause has delayed has another entry with its new end, and this one is ignored.
            if self.calls.get(&call).is_some_and(|call_state| call_state.ends_at == Some(at)) {
                self.finish(at, call, out);
            }
        }
    }

    /// Completes a call: records its effects, starts the next call of the queue, and replies.
    fn finish(&mut self, at: Micros, call: CallId, out: &mut Vec<Completion>) {
        let Some(finished) = self.calls.remove(&call) else { return };
        let mut results = Vec::with_capacity(finished.messages.len());
        for message in &finished.messages {
            let failed = self.spec.error_share > 0.0 && self.random.random_bool(self.spec.error_share);
            let took_effect = !failed || self.random.random_bool(self.spec.error_ran_share);
            results.push((message.id, if failed { MessageResult::Failed } else { MessageResult::Done }));
            if took_effect {
                let is_duplicate = self
                    .dedup_until
                    .get(&message.dedup_key)
                    .is_some_and(|&until| message.dedup_window.is_some() && at < until);
                if let Some(window) = message.dedup_window.filter(|_| !is_duplicate) {
                    if self.dedup_until.len() >= MAX_DEDUP_KEYS {
                        self.dedup_until.retain(|_, until| *until > at);
                    }
                    self.dedup_until.insert(message.dedup_key, at + window);
                }
                let (message, endpoint, abandoned) = (message.id, finished.endpoint, finished.is_abandoned);
                self.ledger.effects.push(Effect { at, message, endpoint, abandoned, is_duplicate });
            }
        }
        let state = &mut self.endpoints[finished.endpoint];
        state.serving = state.serving.saturating_sub(1);
        let faults = state.faults;
        if let Some(next) = state.queue.pop_front() {
            self.start_service(at, next);
        }
        if !finished.is_abandoned {
            let reply = self.choose_reply(results, &faults);
            self.record_answer(at, call, reply, out);
        }
    }

    /// Returns the reply to a completed call, or one of the faults that are drawn by their shares.
    fn choose_reply(&mut self, results: Vec<(u64, MessageResult)>, faults: &Faults) -> Reply {
        if *faults != Faults::default() {
            let mut draw: f64 = self.random.random();
            for (share, reply) in [
                (faults.silent, Reply::Silent),
                (faults.reset, Reply::Reset),
                (faults.spoilt, Reply::Spoilt),
                (faults.half, Reply::Half),
                (faults.trickle, Reply::Trickle),
            ] {
                if draw < share {
                    return reply;
                }
                draw -= share;
            }
        }
        match &results[..] {
            [(_, MessageResult::Done)] => Reply::Status(200, None),
            [(_, MessageResult::Failed)] => Reply::Status(500, None),
            _ => Reply::Each(results),
        }
    }

    /// Records the answer to a call in the ledger and returns it to the caller of the model.
    fn record_answer(&mut self, now: Micros, call: CallId, reply: Reply, out: &mut Vec<Completion>) {
        let record = &mut self.ledger.calls[call.0 as usize];
        let (status, retry_after) = match reply {
            Reply::Status(status, retry_after) => (status, retry_after),
            Reply::Each(_) => (200, None),
            _ => (0, None),
        };
        (record.answer, record.retry_after) = (Some((now, status)), retry_after);
        out.push(Completion { call, reply });
    }
}

/// Returns the share of its capacity that an endpoint has when it has been up for this time after an outage.
fn warm_up_share(cold: &ColdStart, up_for: Micros) -> f64 {
    let warm_up = (cold.warm_s * 1e6).max(1.0);
    (cold.start_share + (1.0 - cold.start_share) * up_for as f64 / warm_up).min(1.0)
}
