//! What senders find together of zones: calls' ends go to `crates/zones`, its notes go over the senders'
//! datagrams, what it finds is said, and what share each zone is sent goes to the module. Nothing is decided
//! on it here.

use crate::input::Input;
use crate::platform::note_sender::NoteSender;
use crate::settings::config::Config;
use crate::settings::operator::ZoneSettings as Wanted;
use notchpoint_policy::{DestinationId, EndpointId, Event, Outcome, Settings};
use notchpoint_zones::{
    CallResult, ColdStart, DestinationHash, EvacuationState, Event as ZoneEvent, Health, Output,
    ReturnSchedule, SenderId, TransitionReason, ZoneId, ZonePhase, ZoneStateMachine, ZonesConfig,
};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};

/// Names of zones that are kept for the log: the platform names few.
const NAMES: usize = 256;
/// Senders that a line of the log names.
const NAMED: usize = 5;

pub struct ZoneMonitor {
    machine: RefCell<ZoneStateMachine>,
    /// What operators want, and what the platform says of cold endpoints; each may come anew.
    wanted: RefCell<(Wanted, ColdStart)>,
    numbers: Numbers,
    started: Instant,
    names: RefCell<BTreeMap<ZoneId, String>>,
    /// The module's numbers of zones.
    zones: Vec<String>,
    /// Where listed endpoints stand, and whose they are.
    places: RefCell<BTreeMap<EndpointId, (ZoneId, DestinationHash, DestinationId)>>,
    inputs: UnboundedSender<Input>,
    task: RefCell<Option<AbortHandle>>,
}

/// Which sender is at which place of the platform's list of addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Numbers {
    me: u32,
    fleet: u32,
    /// This sender's own address is on the list, as the platform's page says.
    own_listed: bool,
}

impl Numbers {
    fn of(me: u32, fleet: u32, listed: usize) -> Option<Self> {
        let own_listed = listed == fleet as usize;
        let fits = own_listed || listed + 1 == fleet as usize;
        (fits && me < fleet).then_some(Self { me, fleet, own_listed })
    }

    fn place(self, at: usize) -> SenderId {
        let at = at as u32;
        SenderId(at + u32::from(!self.own_listed && at >= self.me))
    }

    fn at(self, place: SenderId) -> u32 {
        place.0 - u32::from(!self.own_listed && place.0 > self.me)
    }
}

fn cold(set: &Settings) -> ColdStart {
    ColdStart {
        initial_share: set.start_capacity,
        warm_up: set.warm_up,
        overload_factor: set.overload_factor,
    }
}

impl ZoneMonitor {
    /// Nothing where operators do not want it. Where the platform lets senders write nothing to one another
    /// it only says what it sees itself, and leaves nothing.
    pub fn from_settings(
        wanted: &Wanted,
        config: &Config,
        inputs: &UnboundedSender<Input>,
    ) -> Option<Rc<Self>> {
        if !wanted.is_enabled() {
            return None;
        }
        let numbers = Numbers::of(config.own_number, config.settings.senders, config.peers.len());
        let writes = numbers.is_some() && config.settings.may_send_notes && config.settings.senders > 1;
        if !writes {
            tracing::warn!("zones: no other sender can be written to: no zone is found failing");
        }
        let numbers = numbers.unwrap_or(Numbers { me: 0, fleet: 1, own_listed: true });
        let own = config.names.zones.get(config.settings.zone as usize).map_or("", |z| z);
        let cold = cold(&config.settings);
        let set = ZonesConfig {
            sender: SenderId(numbers.me),
            fleet_size: numbers.fleet,
            own_zone: ZoneId::from_name(own),
            can_send: writes,
            thresholds: wanted.failure_thresholds(numbers.fleet as usize),
            return_schedule: wanted.leave.then(|| ReturnSchedule::new(cold)),
            pinned: wanted.pinned_zones(),
        };
        let zone_monitor = Rc::new(Self {
            machine: RefCell::new(ZoneStateMachine::new(set, config.seed, 0)),
            wanted: RefCell::new((wanted.clone(), cold)),
            numbers,
            started: Instant::now(),
            names: RefCell::default(),
            zones: config.names.zones.clone(),
            places: RefCell::default(),
            inputs: inputs.clone(),
            task: RefCell::default(),
        });
        config.names.zones.iter().for_each(|name| zone_monitor.name(name));
        zone_monitor.say_unknown();
        Some(zone_monitor)
    }

    fn say_unknown(&self) {
        for name in self.wanted.borrow().0.unknown_zones(&self.zones) {
            tracing::warn!("zones: {name} is pinned, and the configuration names no such zone");
        }
    }

    /// What operators want from now on.
    pub fn update_operator_settings(&self, wanted: &Wanted) {
        if self.wanted.borrow().0 == *wanted {
            return;
        }
        self.wanted.borrow_mut().0 = wanted.clone();
        tracing::info!("operator's file read anew: {wanted}");
        self.say_unknown();
        self.tune();
    }

    /// What the platform says of cold endpoints from now on.
    pub fn update_cold_settings(&self, set: &Settings) {
        self.wanted.borrow_mut().1 = cold(set);
        self.tune();
    }

    fn tune(&self) {
        let wanted = self.wanted.borrow();
        let (wanted, cold) = &*wanted;
        let pace = wanted.leave.then(|| ReturnSchedule::new(*cold));
        let mut machine = self.machine.borrow_mut();
        machine.reconfigure(
            wanted.failure_thresholds(self.numbers.fleet as usize),
            pace,
            wanted.pinned_zones(),
        );
        let _ = self.inputs.send(Input::RedirectClients(wanted.give_way && machine.redirects_clients()));
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    fn name(&self, name: &str) {
        let mut names = self.names.borrow_mut();
        if names.len() < NAMES {
            names.entry(ZoneId::from_name(name)).or_insert_with(|| name.to_owned());
        }
    }

    /// What the list says of an endpoint; one that names no zone tells of none.
    pub fn update_endpoint(&self, id: EndpointId, dest: DestinationId, zone: &str, gone: bool) {
        let mut places = self.places.borrow_mut();
        if gone || zone.is_empty() {
            places.remove(&id);
            return;
        }
        places.insert(id, (ZoneId::from_name(zone), DestinationHash::from_number(dest.0), dest));
        self.name(zone);
    }

    /// Only these endpoints are listed.
    pub fn retain_endpoints(&self, listed: impl Fn(EndpointId) -> bool) {
        let mut places = self.places.borrow_mut();
        places.retain(|&id, _| listed(id));
        self.machine.borrow_mut().set_listed_zones(places.values().map(|p| p.0).collect());
    }

    /// An attempt at an endpoint, begun so long ago, ended.
    pub fn record_outcome(&self, endpoint: EndpointId, outcome: Outcome, age: u64) {
        let came = match outcome {
            // Whoever answers is there, whatever it says.
            Outcome::Served | Outcome::Failed | Outcome::Full { .. } | Outcome::Spoilt => {
                CallResult::Answered
            }
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => CallResult::Failed,
            Outcome::Cancelled | Outcome::Moot | Outcome::NotSent => return,
        };
        if let Some(&(zone, dest, _)) = self.places.borrow().get(&endpoint) {
            let now = self.now();
            self.machine.borrow_mut().record_call(now, now.saturating_sub(age), zone, dest, came);
        }
    }

    /// Another sender, at this place of the platform's list, wrote. Whether it was of zones.
    pub fn receive_note(&self, from: usize, note: &[u8]) -> bool {
        let mut out = Vec::new();
        let from = self.numbers.place(from);
        let taken = self.machine.borrow_mut().receive_note(self.now(), from, note, &mut out);
        self.carry_out(out, None);
        taken
    }

    /// Begins to look and to write. What a process before this one had left is called as any, until this one
    /// has heard how far others are.
    pub fn start(self: &Rc<Self>, note_sender: Option<Rc<NoteSender>>) {
        for zone in 0..self.zones.len() as u32 {
            let _ = self.inputs.send(Input::Event(Event::Zone {
                zone,
                share: 1.0,
                probe: false,
                exempt: Vec::new(),
            }));
        }
        let zone_monitor = self.clone();
        let task = tokio::task::spawn_local(async move {
            loop {
                let wake = zone_monitor.machine.borrow().next_wake();
                sleep_until(zone_monitor.started + Duration::from_micros(wake)).await;
                let mut out = Vec::new();
                zone_monitor.machine.borrow_mut().tick(zone_monitor.now(), &mut out);
                zone_monitor.carry_out(out, note_sender.as_deref());
            }
        });
        if let Some(before) = self.task.borrow_mut().replace(task.abort_handle()) {
            before.abort();
        }
    }

    /// The destinations of these short names that the list knows.
    fn dests(&self, short: &BTreeSet<DestinationHash>) -> Vec<DestinationId> {
        let places = self.places.borrow();
        let known = places.values().filter(|p| short.contains(&p.1)).map(|p| p.2);
        known.collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Where operators let it, the front is told to send clients elsewhere.
    fn give_way(&self, wanted: bool) {
        if !self.wanted.borrow().0.give_way {
            return;
        }
        match wanted {
            true => tracing::warn!("zones: this sender's zone is left: clients are sent elsewhere"),
            false => tracing::info!("zones: clients may come here again"),
        }
        let _ = self.inputs.send(Input::RedirectClients(wanted));
    }

    fn carry_out(&self, out: Vec<Output>, note_sender: Option<&NoteSender>) {
        for o in out {
            match o {
                Output::Send(to, body) => {
                    if let Some(note_sender) = note_sender {
                        note_sender.send(Some(self.numbers.at(to)), &body);
                    }
                }
                Output::SetShare { zone, share, probe: tries, exempt: spared } => {
                    let spared = self.dests(&spared);
                    let name = self.called(zone);
                    if let Some(zone) = self.zones.iter().position(|z| *z == name) {
                        let zone = zone as u32;
                        let _ = self.inputs.send(Input::Event(Event::Zone {
                            zone,
                            share,
                            probe: tries,
                            exempt: spared,
                        }));
                    }
                }
                Output::RedirectClients(wanted) => self.give_way(wanted),
                Output::Log(event) => self.say(&event),
            }
        }
    }

    /// Another process goes on.
    pub fn stop(&self) {
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }

    fn called(&self, zone: ZoneId) -> String {
        self.names.borrow().get(&zone).cloned().unwrap_or_else(|| format!("{:08x}", zone.0))
    }

    fn say(&self, event: &ZoneEvent) {
        match event {
            ZoneEvent::HealthChanged { zone, before, finding: f, changes } => {
                let text = format!(
                    "zones: {} is {} (was {}, change {changes} here): {:.0} of {:.0} calls fail, \
                     {} of {} destinations, as {} senders in {} zones see",
                    self.called(*zone),
                    word(f.health),
                    word(*before),
                    f.failed_calls,
                    f.calls,
                    f.destinations.0,
                    f.destinations.1,
                    f.senders.len(),
                    f.sender_zones.len(),
                );
                match f.health {
                    Health::Failing => tracing::warn!("{text}"),
                    _ => tracing::info!("{text}"),
                }
            }
            ZoneEvent::ShareChanged {
                zone,
                before,
                state: course,
                share,
                reason: why,
                consecutive_failures: failed,
                senders: on,
            } => {
                let text = format!(
                    "zones: {} {} (term {}): {:.0} % of its share from now on; {}; failed {failed} times in \
                     a row; on the word of {}",
                    self.called(*zone),
                    match (before.has_full_share(), course.level) {
                        (true, _) => "is left",
                        (false, 0) => "is left again",
                        (false, EvacuationState::FULL_SHARE) => "has its whole share again",
                        (false, _) => "is returned to",
                    },
                    course.term,
                    100.0 * share,
                    match why {
                        TransitionReason::Evidence => "it is found failing",
                        TransitionReason::Quorum => "enough other senders have come as far",
                        TransitionReason::ProbeFailed => "what was tried failed",
                        TransitionReason::StepHeld => "what was tried held",
                    },
                    senders(on),
                );
                match course.is_evacuated() {
                    true => tracing::warn!("{text}"),
                    false => tracing::info!("{text}"),
                }
            }
            ZoneEvent::ContradictoryReport(place) => {
                tracing::warn!("zones: sender {} contradicts itself", place.0)
            }
            ZoneEvent::Isolated(true) => {
                tracing::warn!(
                    "zones: this sender hears no other, or all of its calls fail: what was found is kept"
                );
            }
            ZoneEvent::Isolated(false) => tracing::info!("zones: this sender is not alone any more"),
        }
    }

    /// What operators are told.
    pub fn status(&self) -> serde_json::Value {
        let machine = self.machine.borrow();
        let wanted = self.wanted.borrow();
        let zones: serde_json::Map<String, serde_json::Value> = machine
            .statuses()
            .iter()
            .map(|(&zone, s)| {
                let f = &s.finding;
                let told = serde_json::json!({
                    "standing": word(s.health),
                    "changes": s.health_changes,
                    "state": state(s.phase()),
                    "term": s.evacuation.term,
                    "share": machine.share(zone),
                    "spared": self.dests(&s.exempt).iter().map(|d| d.0).collect::<Vec<_>>(),
                    "failed_in_a_row": s.consecutive_failures,
                    "with": { "as_far": s.in_sync.0, "heard": s.in_sync.1 },
                    "calls": f.calls.round(),
                    "failed": f.failed_calls.round(),
                    "destinations": { "failing": f.destinations.0, "seen": f.destinations.1 },
                    "senders": f.senders.len(),
                    "from_zones": f.sender_zones.iter().map(|&z| self.called(z)).collect::<Vec<_>>(),
                    "against": f.opposing_zones.iter().map(|&z| self.called(z)).collect::<Vec<_>>(),
                });
                (self.called(zone), told)
            })
            .collect();
        let (out, stay) = (&wanted.0.out, &wanted.0.stay);
        serde_json::json!({
            "alone": machine.is_isolated(), "leaves": wanted.0.leave, "found": zones, "out": out,
            "stay": stay,
        })
    }
}

/// Senders by their numbers; of many the first.
fn senders(on: &[SenderId]) -> String {
    let first: Vec<String> = on.iter().take(NAMED).map(|p| p.0.to_string()).collect();
    match on.len() {
        0 => "nobody else".to_owned(),
        1 => format!("sender {}", first[0]),
        n if n > NAMED => format!("{n} senders, such as {}", first.join(", ")),
        _ => format!("senders {}", first.join(", ")),
    }
}

fn state(state: ZonePhase) -> &'static str {
    match state {
        ZonePhase::Serving => "serving",
        ZonePhase::Doubted => "doubted",
        ZonePhase::Failing => "failing",
        ZonePhase::Leaving => "leaving",
        ZonePhase::Left => "left",
        ZonePhase::Trying => "trying",
        ZonePhase::Returning => "returning",
    }
}

fn word(standing: Health) -> &'static str {
    match standing {
        Health::Serving => "serving",
        Health::Doubted => "doubted",
        Health::Failing => "failing",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn senders_are_numbered_whether_or_not_the_list_names_this_one_too() {
        for (listed, own) in [(5, true), (4, false)] {
            let numbers = Numbers::of(2, 5, listed).expect("it fits");
            assert_eq!(numbers.own_listed, own);
            for at in 0..listed {
                let place = numbers.place(at);
                assert_eq!(numbers.at(place), at as u32);
                assert_eq!(place == SenderId(2), own && at == 2);
            }
        }
        assert_eq!(Numbers::of(2, 5, 3), None);
        assert_eq!(Numbers::of(5, 5, 5), None);
    }
}
