//! What senders find together of zones: calls' ends go to `crates/zones`, its notes go over the senders'
//! datagrams, what it finds is said, and what share each zone is sent goes to the module. Nothing is decided
//! on it here.

use crate::input::Input;
use crate::platform::note_sender::NoteSender;
use crate::settings::config::Config;
use crate::settings::operator::Zones as Wanted;
use notchpoint_policy::{DestinationId, EndpointId, Event, Outcome, Settings};
use notchpoint_zones::{
    Came, Cold, Course, Dest, Event as Said, Output, Pace, Place, Set, Standing, State as ZoneState, Why,
    Zone, Zones,
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
    machine: RefCell<Zones>,
    /// What operators want, and what the platform says of cold endpoints; each may come anew.
    wanted: RefCell<(Wanted, Cold)>,
    numbers: Numbers,
    started: Instant,
    names: RefCell<BTreeMap<Zone, String>>,
    /// The module's numbers of zones.
    zones: Vec<String>,
    /// Where listed endpoints stand, and whose they are.
    places: RefCell<BTreeMap<EndpointId, (Zone, Dest, DestinationId)>>,
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

    fn place(self, at: usize) -> Place {
        let at = at as u32;
        Place(at + u32::from(!self.own_listed && at >= self.me))
    }

    fn at(self, place: Place) -> u32 {
        place.0 - u32::from(!self.own_listed && place.0 > self.me)
    }
}

fn cold(set: &Settings) -> Cold {
    Cold { start: set.start_share, span: set.cold, over: set.fall_multiple }
}

impl ZoneMonitor {
    /// Nothing where operators do not want it. Where the platform lets senders write nothing to one another
    /// it only says what it sees itself, and leaves nothing.
    pub fn from_settings(
        wanted: &Wanted,
        config: &Config,
        inputs: &UnboundedSender<Input>,
    ) -> Option<Rc<Self>> {
        if !wanted.wanted() {
            return None;
        }
        let numbers = Numbers::of(config.me, config.settings.senders, config.peers.len());
        let writes = numbers.is_some() && config.settings.may_note && config.settings.senders > 1;
        if !writes {
            tracing::warn!("zones: no other sender can be written to: no zone is found failing");
        }
        let numbers = numbers.unwrap_or(Numbers { me: 0, fleet: 1, own_listed: true });
        let own = config.names.zones.get(config.settings.zone as usize).map_or("", |z| z);
        let cold = cold(&config.settings);
        let set = Set {
            place: Place(numbers.me),
            fleet: numbers.fleet,
            stands: Zone::named(own),
            writes,
            rules: wanted.rules(numbers.fleet as usize),
            pace: wanted.leave.then(|| Pace::new(cold)),
            pinned: wanted.pinned(),
        };
        let zone_monitor = Rc::new(Self {
            machine: RefCell::new(Zones::new(set, config.seed, 0)),
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
        for name in self.wanted.borrow().0.unknown(&self.zones) {
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
        let pace = wanted.leave.then(|| Pace::new(*cold));
        let mut machine = self.machine.borrow_mut();
        machine.retune(wanted.rules(self.numbers.fleet as usize), pace, wanted.pinned());
        let _ = self.inputs.send(Input::RedirectClients(wanted.give_way && machine.gives_way()));
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    fn name(&self, name: &str) {
        let mut names = self.names.borrow_mut();
        if names.len() < NAMES {
            names.entry(Zone::named(name)).or_insert_with(|| name.to_owned());
        }
    }

    /// What the list says of an endpoint; one that names no zone tells of none.
    pub fn update_endpoint(&self, id: EndpointId, dest: DestinationId, zone: &str, gone: bool) {
        let mut places = self.places.borrow_mut();
        if gone || zone.is_empty() {
            places.remove(&id);
            return;
        }
        places.insert(id, (Zone::named(zone), Dest::numbered(dest.0), dest));
        self.name(zone);
    }

    /// Only these endpoints are listed.
    pub fn retain_endpoints(&self, listed: impl Fn(EndpointId) -> bool) {
        let mut places = self.places.borrow_mut();
        places.retain(|&id, _| listed(id));
        self.machine.borrow_mut().list(places.values().map(|p| p.0).collect());
    }

    /// An attempt at an endpoint, begun so long ago, ended.
    pub fn record_outcome(&self, endpoint: EndpointId, outcome: Outcome, age: u64) {
        let came = match outcome {
            // Whoever answers is there, whatever it says.
            Outcome::Served | Outcome::Failed | Outcome::Full { .. } | Outcome::Spoilt => Came::Answered,
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => Came::Failed,
            Outcome::Cancelled | Outcome::Moot | Outcome::NotSent => return,
        };
        if let Some(&(zone, dest, _)) = self.places.borrow().get(&endpoint) {
            let now = self.now();
            self.machine.borrow_mut().observe(now, now.saturating_sub(age), zone, dest, came);
        }
    }

    /// Another sender, at this place of the platform's list, wrote. Whether it was of zones.
    pub fn receive_note(&self, from: usize, note: &[u8]) -> bool {
        let mut out = Vec::new();
        let from = self.numbers.place(from);
        let taken = self.machine.borrow_mut().heard(self.now(), from, note, &mut out);
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
                tries: false,
                spared: Vec::new(),
            }));
        }
        let zone_monitor = self.clone();
        let task = tokio::task::spawn_local(async move {
            loop {
                let wake = zone_monitor.machine.borrow().wake();
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
    fn dests(&self, short: &BTreeSet<Dest>) -> Vec<DestinationId> {
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
                Output::Lean { zone, share, tries, spared } => {
                    let spared = self.dests(&spared);
                    let name = self.called(zone);
                    if let Some(zone) = self.zones.iter().position(|z| *z == name) {
                        let zone = zone as u32;
                        let _ = self.inputs.send(Input::Event(Event::Zone { zone, share, tries, spared }));
                    }
                }
                Output::GiveWay(wanted) => self.give_way(wanted),
                Output::Say(event) => self.say(&event),
            }
        }
    }

    /// Another process goes on.
    pub fn stop(&self) {
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }

    fn called(&self, zone: Zone) -> String {
        self.names.borrow().get(&zone).cloned().unwrap_or_else(|| format!("{:08x}", zone.0))
    }

    fn say(&self, event: &Said) {
        match event {
            Said::Stands { zone, before, finding: f, changes } => {
                let text = format!(
                    "zones: {} is {} (was {}, change {changes} here): {:.0} of {:.0} calls fail, \
                     {} of {} destinations, as {} senders in {} zones see",
                    self.called(*zone),
                    word(f.standing),
                    word(*before),
                    f.failed,
                    f.calls,
                    f.dests.0,
                    f.dests.1,
                    f.senders.len(),
                    f.from.len(),
                );
                match f.standing {
                    Standing::Failing => tracing::warn!("{text}"),
                    _ => tracing::info!("{text}"),
                }
            }
            Said::Takes { zone, before, course, share, why, failed, on } => {
                let text = format!(
                    "zones: {} {} (term {}): {:.0} % of its share from now on; {}; failed {failed} times in \
                     a row; on the word of {}",
                    self.called(*zone),
                    match (before.is_full(), course.level) {
                        (true, _) => "is left",
                        (false, 0) => "is left again",
                        (false, Course::FULL) => "has its whole share again",
                        (false, _) => "is returned to",
                    },
                    course.term,
                    100.0 * share,
                    match why {
                        Why::Found => "it is found failing",
                        Why::Told => "enough other senders have come as far",
                        Why::FellBack => "what was tried failed",
                        Why::Held => "what was tried held",
                    },
                    senders(on),
                );
                match course.is_out() {
                    true => tracing::warn!("{text}"),
                    false => tracing::info!("{text}"),
                }
            }
            Said::Odd(place) => tracing::warn!("zones: sender {} contradicts itself", place.0),
            Said::Alone(true) => {
                tracing::warn!(
                    "zones: this sender hears no other, or all of its calls fail: what was found is kept"
                );
            }
            Said::Alone(false) => tracing::info!("zones: this sender is not alone any more"),
        }
    }

    /// What operators are told.
    pub fn status(&self) -> serde_json::Value {
        let machine = self.machine.borrow();
        let wanted = self.wanted.borrow();
        let zones: serde_json::Map<String, serde_json::Value> = machine
            .stands()
            .iter()
            .map(|(&zone, s)| {
                let f = &s.finding;
                let told = serde_json::json!({
                    "standing": word(s.standing),
                    "changes": s.changes,
                    "state": state(s.state()),
                    "term": s.course.term,
                    "share": machine.share(zone),
                    "spared": self.dests(&s.spared).iter().map(|d| d.0).collect::<Vec<_>>(),
                    "failed_in_a_row": s.failed,
                    "with": { "as_far": s.with.0, "heard": s.with.1 },
                    "calls": f.calls.round(),
                    "failed": f.failed.round(),
                    "destinations": { "failing": f.dests.0, "seen": f.dests.1 },
                    "senders": f.senders.len(),
                    "from_zones": f.from.iter().map(|&z| self.called(z)).collect::<Vec<_>>(),
                    "against": f.against.iter().map(|&z| self.called(z)).collect::<Vec<_>>(),
                });
                (self.called(zone), told)
            })
            .collect();
        let (out, stay) = (&wanted.0.out, &wanted.0.stay);
        serde_json::json!({
            "alone": machine.is_alone(), "leaves": wanted.0.leave, "found": zones, "out": out, "stay": stay,
        })
    }
}

/// Senders by their numbers; of many the first.
fn senders(on: &[Place]) -> String {
    let first: Vec<String> = on.iter().take(NAMED).map(|p| p.0.to_string()).collect();
    match on.len() {
        0 => "nobody else".to_owned(),
        1 => format!("sender {}", first[0]),
        n if n > NAMED => format!("{n} senders, such as {}", first.join(", ")),
        _ => format!("senders {}", first.join(", ")),
    }
}

fn state(state: ZoneState) -> &'static str {
    match state {
        ZoneState::Serving => "serving",
        ZoneState::Doubted => "doubted",
        ZoneState::Failing => "failing",
        ZoneState::Leaving => "leaving",
        ZoneState::Left => "left",
        ZoneState::Trying => "trying",
        ZoneState::Returning => "returning",
    }
}

fn word(standing: Standing) -> &'static str {
    match standing {
        Standing::Serving => "serving",
        Standing::Doubted => "doubted",
        Standing::Failing => "failing",
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
                assert_eq!(place == Place(2), own && at == 2);
            }
        }
        assert_eq!(Numbers::of(2, 5, 3), None);
        assert_eq!(Numbers::of(5, 5, 5), None);
    }
}
