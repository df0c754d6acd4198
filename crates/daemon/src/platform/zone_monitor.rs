//! Connects the state machine of `crates/zones`, which detects failing zones, to the sender. Outcomes of
//! calls and received notes go to the state machine, its notes to other senders, its findings to the log, and
//! the share of calls for each zone to the policy. Nothing is decided here.

use crate::input::Input;
use crate::platform::note_sender::NoteSender;
use crate::settings::config::Config;
use crate::settings::operator::ZoneSettings;
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

/// The largest number of zone names kept for the log. The platform has few zones.
const MAX_NAMES: usize = 256;
/// The largest number of senders named in a log line.
const MAX_LOGGED_SENDERS: usize = 5;

/// Runs the zone state machine of this sender.
pub struct ZoneMonitor {
    state_machine: RefCell<ZoneStateMachine>,
    /// The settings of the operator, and the platform's settings for endpoints that are warming up. Both may
    /// change.
    settings: RefCell<(ZoneSettings, ColdStart)>,
    numbers: SenderNumbers,
    started: Instant,
    names: RefCell<BTreeMap<ZoneId, String>>,
    /// The names of zones, in the order of their numbers in the policy.
    zones: Vec<String>,
    /// The zone and the destination of each listed endpoint.
    endpoints: RefCell<BTreeMap<EndpointId, (ZoneId, DestinationHash, DestinationId)>>,
    inputs: UnboundedSender<Input>,
    task: RefCell<Option<AbortHandle>>,
}

/// Maps the fleet's numbers of senders to indexes in the platform's list of addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SenderNumbers {
    own: u32,
    fleet: u32,
    /// Whether this sender's own address is on the list, as the platform documents it.
    is_own_listed: bool,
}

impl SenderNumbers {
    /// Returns `None` if the length of the list does not match the size of the fleet.
    fn new(own: u32, fleet: u32, listed: usize) -> Option<Self> {
        let is_own_listed = listed == fleet as usize;
        let fits = is_own_listed || listed + 1 == fleet as usize;
        (fits && own < fleet).then_some(Self { own, fleet, is_own_listed })
    }

    /// Returns the sender at an index of the list.
    fn sender_at(self, index: usize) -> SenderId {
        let index = index as u32;
        SenderId(index + u32::from(!self.is_own_listed && index >= self.own))
    }

    /// Returns the index of a sender in the list.
    fn index_of(self, sender: SenderId) -> u32 {
        sender.0 - u32::from(!self.is_own_listed && sender.0 > self.own)
    }
}

fn cold_settings(settings: &Settings) -> ColdStart {
    ColdStart {
        initial_share: settings.start_capacity,
        warm_up: settings.warm_up,
        overload_factor: settings.overload_factor,
    }
}

impl ZoneMonitor {
    /// Creates a monitor, if the operator's settings ask for one. If the platform does not let senders
    /// exchange notes, the monitor only reports its own observations, and evacuates no zone.
    pub fn from_settings(
        settings: &ZoneSettings,
        config: &Config,
        inputs: &UnboundedSender<Input>,
    ) -> Option<Rc<Self>> {
        if !settings.is_enabled() {
            return None;
        }
        let numbers = SenderNumbers::new(config.own_number, config.settings.senders, config.peers.len());
        let can_send = numbers.is_some() && config.settings.may_send_notes && config.settings.senders > 1;
        if !can_send {
            tracing::warn!("zones: notes cannot be sent to other senders: no zone will be found failing");
        }
        let numbers = numbers.unwrap_or(SenderNumbers { own: 0, fleet: 1, is_own_listed: true });
        let own_zone = config.names.zones.get(config.settings.zone as usize).map_or("", |z| z);
        let cold = cold_settings(&config.settings);
        let zones_config = ZonesConfig {
            sender: SenderId(numbers.own),
            fleet_size: numbers.fleet,
            own_zone: ZoneId::from_name(own_zone),
            can_send,
            thresholds: settings.failure_thresholds(numbers.fleet as usize),
            return_schedule: settings.leave.then(|| ReturnSchedule::new(cold)),
            pinned: settings.pinned_zones(),
        };
        let zone_monitor = Rc::new(Self {
            state_machine: RefCell::new(ZoneStateMachine::new(zones_config, config.seed, 0)),
            settings: RefCell::new((settings.clone(), cold)),
            numbers,
            started: Instant::now(),
            names: RefCell::default(),
            zones: config.names.zones.clone(),
            endpoints: RefCell::default(),
            inputs: inputs.clone(),
            task: RefCell::default(),
        });
        config.names.zones.iter().for_each(|name| zone_monitor.add_name(name));
        zone_monitor.warn_of_unknown_zones();
        Some(zone_monitor)
    }

    fn warn_of_unknown_zones(&self) {
        for name in self.settings.borrow().0.unknown_zones(&self.zones) {
            tracing::warn!("zones: pinned zone {name} is not in the configuration");
        }
    }

    /// Applies changed settings of the operator.
    pub fn update_operator_settings(&self, settings: &ZoneSettings) {
        if self.settings.borrow().0 == *settings {
            return;
        }
        self.settings.borrow_mut().0 = settings.clone();
        tracing::info!("operator's file reloaded: {settings}");
        self.warn_of_unknown_zones();
        self.apply_settings();
    }

    /// Applies the platform's changed settings for endpoints that are warming up.
    pub fn update_cold_settings(&self, settings: &Settings) {
        self.settings.borrow_mut().1 = cold_settings(settings);
        self.apply_settings();
    }

    fn apply_settings(&self) {
        let settings = self.settings.borrow();
        let (settings, cold) = &*settings;
        let return_schedule = settings.leave.then(|| ReturnSchedule::new(*cold));
        let mut state_machine = self.state_machine.borrow_mut();
        state_machine.reconfigure(
            settings.failure_thresholds(self.numbers.fleet as usize),
            return_schedule,
            settings.pinned_zones(),
        );
        let _ =
            self.inputs.send(Input::RedirectClients(settings.give_way && state_machine.redirects_clients()));
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Keeps the name of a zone for the log.
    fn add_name(&self, name: &str) {
        let mut names = self.names.borrow_mut();
        if names.len() < MAX_NAMES {
            names.entry(ZoneId::from_name(name)).or_insert_with(|| name.to_owned());
        }
    }

    /// Updates an endpoint from the list. An endpoint without a zone is not evidence for any zone.
    pub fn update_endpoint(&self, id: EndpointId, dest: DestinationId, zone: &str, gone: bool) {
        let mut endpoints = self.endpoints.borrow_mut();
        if gone || zone.is_empty() {
            endpoints.remove(&id);
            return;
        }
        endpoints.insert(id, (ZoneId::from_name(zone), DestinationHash::from_number(dest.0), dest));
        self.add_name(zone);
    }

    /// Removes all endpoints that are not listed.
    pub fn retain_endpoints(&self, is_listed: impl Fn(EndpointId) -> bool) {
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.retain(|&id, _| is_listed(id));
        self.state_machine.borrow_mut().set_listed_zones(endpoints.values().map(|e| e.0).collect());
    }

    /// Records how an attempt at an endpoint ended. `age` is the time since its start, in microseconds.
    pub fn record_outcome(&self, endpoint: EndpointId, outcome: Outcome, age: u64) {
        let result = match outcome {
            // An endpoint that answers is reachable, whatever the answer is.
            Outcome::Served | Outcome::Failed | Outcome::Full { .. } | Outcome::Spoilt => {
                CallResult::Answered
            }
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => CallResult::Failed,
            Outcome::Cancelled | Outcome::Moot | Outcome::NotSent => return,
        };
        if let Some(&(zone, dest, _)) = self.endpoints.borrow().get(&endpoint) {
            let now = self.now();
            self.state_machine.borrow_mut().record_call(now, now.saturating_sub(age), zone, dest, result);
        }
    }

    /// Processes a note from another sender, which is at index `from` in the platform's list. Returns whether
    /// the note is about zones.
    pub fn receive_note(&self, from: usize, note: &[u8]) -> bool {
        let mut out = Vec::new();
        let from = self.numbers.sender_at(from);
        let is_zone_note = self.state_machine.borrow_mut().receive_note(self.now(), from, note, &mut out);
        self.handle_outputs(out, None);
        is_zone_note
    }

    /// Starts the timer of the state machine and the sending of its notes. Zones that an earlier process had
    /// evacuated get their whole share until this process has received the state of other senders.
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
                let wake = zone_monitor.state_machine.borrow().next_wake();
                sleep_until(zone_monitor.started + Duration::from_micros(wake)).await;
                let mut out = Vec::new();
                zone_monitor.state_machine.borrow_mut().tick(zone_monitor.now(), &mut out);
                zone_monitor.handle_outputs(out, note_sender.as_deref());
            }
        });
        if let Some(old) = self.task.borrow_mut().replace(task.abort_handle()) {
            old.abort();
        }
    }

    /// Returns the listed destinations that have these hashes.
    fn destinations(&self, hashes: &BTreeSet<DestinationHash>) -> Vec<DestinationId> {
        let endpoints = self.endpoints.borrow();
        let known = endpoints.values().filter(|e| hashes.contains(&e.1)).map(|e| e.2);
        known.collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Directs clients to other senders, or admits them again, if the operator's settings allow it.
    fn redirect_clients(&self, wanted: bool) {
        if !self.settings.borrow().0.give_way {
            return;
        }
        match wanted {
            true => tracing::warn!("zones: this sender's zone is left: clients are sent to other senders"),
            false => tracing::info!("zones: clients are admitted again"),
        }
        let _ = self.inputs.send(Input::RedirectClients(wanted));
    }

    fn handle_outputs(&self, out: Vec<Output>, note_sender: Option<&NoteSender>) {
        for output in out {
            match output {
                Output::Send(to, body) => {
                    if let Some(note_sender) = note_sender {
                        note_sender.send(Some(self.numbers.index_of(to)), &body);
                    }
                }
                Output::SetShare { zone, share, probe, exempt } => {
                    let exempt = self.destinations(&exempt);
                    let name = self.zone_name(zone);
                    if let Some(zone) = self.zones.iter().position(|z| *z == name) {
                        let zone = zone as u32;
                        let _ = self.inputs.send(Input::Event(Event::Zone { zone, share, probe, exempt }));
                    }
                }
                Output::RedirectClients(wanted) => self.redirect_clients(wanted),
                Output::Log(event) => self.log(&event),
            }
        }
    }

    /// Stops the state machine, because another process takes over.
    pub fn stop(&self) {
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }

    /// Returns the name of a zone, or its id if the name is not known.
    fn zone_name(&self, zone: ZoneId) -> String {
        self.names.borrow().get(&zone).cloned().unwrap_or_else(|| format!("{:08x}", zone.0))
    }

    /// Logs an event of the state machine.
    fn log(&self, event: &ZoneEvent) {
        match event {
            ZoneEvent::HealthChanged { zone, before, finding, changes } => {
                let text = format!(
                    "zones: {} is {} (was {}, change {changes} on this sender): {:.0} of {:.0} calls and \
                     {} of {} destinations fail, as observed by {} senders in {} zones",
                    self.zone_name(*zone),
                    health_name(finding.health),
                    health_name(*before),
                    finding.failed_calls,
                    finding.calls,
                    finding.destinations.0,
                    finding.destinations.1,
                    finding.senders.len(),
                    finding.sender_zones.len(),
                );
                match finding.health {
                    Health::Failing => tracing::warn!("{text}"),
                    _ => tracing::info!("{text}"),
                }
            }
            ZoneEvent::ShareChanged {
                zone,
                before,
                state,
                share,
                reason,
                consecutive_failures: failed,
                senders,
            } => {
                let text = format!(
                    "zones: {} {} (term {}): {:.0} % of its share from now on; {}; failed {failed} times in \
                     a row; reported by {}",
                    self.zone_name(*zone),
                    match (before.has_full_share(), state.level) {
                        (true, _) => "is left",
                        (false, 0) => "is left again",
                        (false, EvacuationState::FULL_SHARE) => "has its whole share again",
                        (false, _) => "is returned to",
                    },
                    state.term,
                    100.0 * share,
                    match reason {
                        TransitionReason::Evidence => "it is found failing",
                        TransitionReason::Quorum => "enough other senders have the same state",
                        TransitionReason::ProbeFailed => "its probes failed",
                        TransitionReason::StepHeld => "it served the previous step",
                    },
                    format_senders(senders),
                );
                match state.is_evacuated() {
                    true => tracing::warn!("{text}"),
                    false => tracing::info!("{text}"),
                }
            }
            ZoneEvent::ContradictoryReport(sender) => {
                tracing::warn!("zones: sender {} sent contradictory notes", sender.0)
            }
            ZoneEvent::Isolated(true) => {
                tracing::warn!(
                    "zones: this sender is isolated (no notes received, or all calls fail): findings are kept"
                );
            }
            ZoneEvent::Isolated(false) => tracing::info!("zones: this sender is not isolated any more"),
        }
    }

    /// Returns the state of all zones for `/status`.
    pub fn status(&self) -> serde_json::Value {
        let state_machine = self.state_machine.borrow();
        let settings = self.settings.borrow();
        let zones: serde_json::Map<String, serde_json::Value> = state_machine
            .statuses()
            .iter()
            .map(|(&zone, status)| {
                let finding = &status.finding;
                let json = serde_json::json!({
                    "standing": health_name(status.health),
                    "changes": status.health_changes,
                    "state": phase_name(status.phase()),
                    "term": status.evacuation.term,
                    "share": state_machine.share(zone),
                    "spared": self.destinations(&status.exempt).iter().map(|d| d.0).collect::<Vec<_>>(),
                    "failed_in_a_row": status.consecutive_failures,
                    "with": { "as_far": status.in_sync.0, "heard": status.in_sync.1 },
                    "calls": finding.calls.round(),
                    "failed": finding.failed_calls.round(),
                    "destinations": { "failing": finding.destinations.0, "seen": finding.destinations.1 },
                    "senders": finding.senders.len(),
                    "from_zones": finding.sender_zones.iter().map(|&z| self.zone_name(z)).collect::<Vec<_>>(),
                    "against": finding.opposing_zones.iter().map(|&z| self.zone_name(z)).collect::<Vec<_>>(),
                });
                (self.zone_name(zone), json)
            })
            .collect();
        let (out, stay) = (&settings.0.out, &settings.0.stay);
        serde_json::json!({
            "alone": state_machine.is_isolated(), "leaves": settings.0.leave, "found": zones, "out": out,
            "stay": stay,
        })
    }
}

/// Lists senders by their numbers, of many only the first ones.
fn format_senders(senders: &[SenderId]) -> String {
    let first: Vec<String> =
        senders.iter().take(MAX_LOGGED_SENDERS).map(|sender| sender.0.to_string()).collect();
    match senders.len() {
        0 => "no other sender".to_owned(),
        1 => format!("sender {}", first[0]),
        n if n > MAX_LOGGED_SENDERS => format!("{n} senders, such as {}", first.join(", ")),
        _ => format!("senders {}", first.join(", ")),
    }
}

fn phase_name(phase: ZonePhase) -> &'static str {
    match phase {
        ZonePhase::Serving => "serving",
        ZonePhase::Doubted => "doubted",
        ZonePhase::Failing => "failing",
        ZonePhase::Leaving => "leaving",
        ZonePhase::Left => "left",
        ZonePhase::Trying => "trying",
        ZonePhase::Returning => "returning",
    }
}

fn health_name(health: Health) -> &'static str {
    match health {
        Health::Serving => "serving",
        Health::Doubted => "doubted",
        Health::Failing => "failing",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn senders_are_numbered_whether_or_not_the_list_contains_this_one() {
        for (listed, is_own_listed) in [(5, true), (4, false)] {
            let numbers = SenderNumbers::new(2, 5, listed).expect("it fits");
            assert_eq!(numbers.is_own_listed, is_own_listed);
            for index in 0..listed {
                let sender = numbers.sender_at(index);
                assert_eq!(numbers.index_of(sender), index as u32);
                assert_eq!(sender == SenderId(2), is_own_listed && index == 2);
            }
        }
        assert_eq!(SenderNumbers::new(2, 5, 3), None);
        assert_eq!(SenderNumbers::new(5, 5, 5), None);
    }
}
