//! What senders find together of zones: calls' ends go to `crates/zones`, its notes go over the senders'
//! datagrams, and what it finds is said. Nothing is decided on it here.

use crate::platform::post::Post;
use crate::settings::config::Config;
use crate::settings::operator::Zones as Wanted;
use notchpoint_policy::{DestinationId, EndpointId, Outcome};
use notchpoint_zones::{Came, Dest, Event, Output, Peer, Set, Standing, Zone, Zones};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};

/// Names of zones that are kept for the log: the platform names few.
const NAMES: usize = 256;

pub struct Zoning {
    machine: RefCell<Zones>,
    started: Instant,
    names: RefCell<BTreeMap<Zone, String>>,
    /// Where listed endpoints stand, and whose they are.
    places: RefCell<BTreeMap<EndpointId, (Zone, Dest)>>,
    task: RefCell<Option<AbortHandle>>,
}

impl Zoning {
    /// Nothing where operators do not want it. Where the platform lets senders write nothing to one another
    /// it only says what it sees itself.
    pub fn wanted(wanted: &Wanted, config: &Config) -> Option<Rc<Self>> {
        if !wanted.watch {
            return None;
        }
        if config.peers.is_empty() || !config.settings.may_note {
            tracing::warn!("zones: no other sender can be written to: no zone is found failing");
        }
        let own = config.names.zones.get(config.settings.zone as usize).map_or("", |z| z);
        let set = Set {
            me: Peer::named(&config.name),
            stands: Zone::named(own),
            others: config.peers.len(),
            rules: wanted.rules(config.peers.len() + 1),
        };
        let zoning = Rc::new(Self {
            machine: RefCell::new(Zones::new(set, config.seed, 0)),
            started: Instant::now(),
            names: RefCell::default(),
            places: RefCell::default(),
            task: RefCell::default(),
        });
        config.names.zones.iter().for_each(|name| zoning.name(name));
        Some(zoning)
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
    pub fn list(&self, id: EndpointId, dest: DestinationId, zone: &str, gone: bool) {
        let mut places = self.places.borrow_mut();
        if gone || zone.is_empty() {
            places.remove(&id);
            return;
        }
        places.insert(id, (Zone::named(zone), Dest::numbered(dest.0)));
        self.name(zone);
    }

    /// Only these endpoints are listed.
    pub fn keep(&self, listed: impl Fn(EndpointId) -> bool) {
        self.places.borrow_mut().retain(|&id, _| listed(id));
    }

    /// An attempt at an endpoint ended.
    pub fn came(&self, endpoint: EndpointId, outcome: Outcome) {
        let came = match outcome {
            // Whoever answers is there, whatever it says.
            Outcome::Served | Outcome::Failed | Outcome::Full { .. } | Outcome::Spoilt => Came::Answered,
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => Came::Failed,
            Outcome::Cancelled | Outcome::Moot => return,
        };
        if let Some(&(zone, dest)) = self.places.borrow().get(&endpoint) {
            self.machine.borrow_mut().observe(self.now(), zone, dest, came);
        }
    }

    /// Another sender wrote. Whether it was of zones.
    pub fn heard(&self, note: &[u8]) -> bool {
        let mut out = Vec::new();
        let taken = self.machine.borrow_mut().heard(self.now(), note, &mut out);
        out.iter().for_each(|o| self.say(o));
        taken
    }

    /// Begins to look and to write.
    pub fn begin(self: &Rc<Self>, post: Rc<Post>) {
        let zoning = self.clone();
        let task = tokio::task::spawn_local(async move {
            loop {
                let wake = zoning.machine.borrow().wake();
                sleep_until(zoning.started + Duration::from_micros(wake)).await;
                let mut out = Vec::new();
                zoning.machine.borrow_mut().tick(zoning.now(), &mut out);
                for o in &out {
                    match o {
                        Output::Send(to, body) => post.send(Some(*to as u32), body),
                        Output::Say(_) => zoning.say(o),
                    }
                }
            }
        });
        if let Some(before) = self.task.borrow_mut().replace(task.abort_handle()) {
            before.abort();
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

    fn say(&self, output: &Output) {
        let Output::Say(event) = output else { return };
        match event {
            Event::Stands { zone, before, finding: f, term } => {
                let text = format!(
                    "zones: {} is {} (was {}, change {term} here): {:.0} of {:.0} calls fail, \
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
            Event::Odd(peer) => tracing::warn!("zones: sender {:016x} contradicts itself", peer.0),
            Event::Alone(true) => {
                tracing::warn!(
                    "zones: this sender hears no other, or all of its calls fail: what was found is kept"
                );
            }
            Event::Alone(false) => tracing::info!("zones: this sender is not alone any more"),
        }
    }

    /// What operators are told.
    pub fn status(&self) -> serde_json::Value {
        let machine = self.machine.borrow();
        let zones: serde_json::Map<String, serde_json::Value> = machine
            .stands()
            .iter()
            .map(|(&zone, s)| {
                let f = &s.finding;
                let told = serde_json::json!({
                    "standing": word(s.standing),
                    "changes": s.term,
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
        serde_json::json!({ "alone": machine.is_alone(), "found": zones })
    }
}

fn word(standing: Standing) -> &'static str {
    match standing {
        Standing::Serving => "serving",
        Standing::Doubted => "doubted",
        Standing::Failing => "failing",
    }
}
