//! One real sender: its parts, its start and its end.

use crate::admin::{self, Admin};
use crate::calls::Calls;
use crate::discovery::Discovery;
use crate::door::{COMING, Door};
use crate::flight::Flight;
use crate::inbound::Inbound;
use crate::input::Input;
use crate::journal::Journal;
use crate::node::{Node, Parts};
use crate::operator::Operator;
use crate::peers::Peers;
use crate::reports::Reports;
use crate::safety::Safety;
use crate::storage;
use crate::terms::{self, Terms};
use notchpoint_seam::{ConfigSource, Signal, World};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::{Receiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep, timeout_at};

/// After SIGTERM: until then calls are started: what starts later may not end in time, and may then not be repeated.
const SENDING: Duration = Duration::from_millis(2_200);
/// Then the process ends, whatever is still out.
const LAST: Duration = Duration::from_millis(3_300);
/// How often it is looked whether all has ended.
const LOOK: Duration = Duration::from_millis(10);

/// Mistakes in a configuration that are told one by one.
const MISTAKES: usize = 20;

pub type Failure = Box<dyn std::error::Error>;

/// What a sender needs, from the environment that the platform gives it.
///
/// # Errors
/// A variable is missing, or signals cannot be watched.
pub fn surroundings() -> Result<World, Failure> {
    let variable =
        |name: &str| std::env::var_os(name).map(PathBuf::from).ok_or_else(|| format!("{name} is not set"));
    let world = notchpoint_seam::real::world(&variable("BALANCER_STATE")?, variable("BALANCER_CONFIG")?)?;
    let admin = std::env::var("BALANCER_ADMIN_ADDR").ok().filter(|a| !a.is_empty());
    let admin = admin.map(|a| a.parse().map_err(|e| format!("BALANCER_ADMIN_ADDR: {a}: {e}"))).transpose()?;
    Ok(World { admin, ..world })
}

/// Runs one sender until it is told to end. It belongs inside a `LocalSet`.
///
/// # Errors
/// Why it could not start.
pub async fn run(world: World, operator: Operator) -> Result<(), Failure> {
    let World { net, clock, disk, signals, config: source, admin } = world;
    let text = source()?;
    let config = crate::config::read(&text)?;
    let (inputs, received) = unbounded_channel();
    let door = Rc::new(Door::default());
    let operators = Rc::new(Admin {
        name: config.name.clone(),
        door: door.clone(),
        safety: RefCell::default(),
        inputs: inputs.clone(),
    });
    // First of all: operators are told that it starts while it does.
    if let Some(address) = admin.or(config.admin) {
        let listener =
            net.listen(address).map_err(|e| format!("operators' address (admin_addr) {address}: {e}"))?;
        tracing::info!("operators at {}", listener.local_addr()?);
        tokio::task::spawn_local(admin::serve(operators.clone(), listener));
    }
    let options = storage::options(&config, &operator.store);
    let (journal, notes) = Journal::open(disk, clock.clone(), options).map_err(storage::explained)?;
    tracing::info!("journal: {notes}");
    let journal = Rc::new(RefCell::new(journal));
    let terms = {
        let mut journal = journal.borrow_mut();
        let (terms, changes) = {
            let used = journal.iter().map(|(_, m)| m.class.as_str()).collect();
            Terms::new(&config, journal.classes(), &used)
        };
        // Without room for them messages would only lose their class to a change of it and a restart at once.
        if let Err(why) = journal.keep(&changes) {
            tracing::warn!("journal: {why}; classes are known for this process only");
        }
        Rc::new(RefCell::new(terms))
    };
    let safety = Safety::new(journal.clone());
    *operators.safety.borrow_mut() = Some(safety.clone());
    let calls = Calls::new(&config, net.clone(), journal.clone(), safety.clone(), inputs.clone());
    let reports = Reports::new(config.discovery, net.clone(), journal.clone());
    let discovery = Discovery::new(config.discovery, config.known.revision, net.clone(), inputs.clone());
    let discovery = Rc::new(discovery);
    let flight = Flight::open(&operator.recorder, &config, clock)?;
    flight.watch_panics();
    let terminate = Rc::new(Notify::new());
    let told = Told { in_force: text, inputs: inputs.clone(), flight: flight.clone() };
    tokio::task::spawn_local(told.heed(signals, source, terminate.clone()));
    let peers = match config.peer_listen.filter(|_| config.settings.may_note) {
        Some(address) => Some(Peers::bind(address, &config, &*net, inputs.clone())?),
        None => None,
    };
    let parts = Parts {
        flight,
        journal: journal.clone(),
        terms: terms.clone(),
        calls: calls.clone(),
        reports: reports.clone(),
        discovery,
        peers,
        door: door.clone(),
        inputs: received,
    };
    let mut node = Node::new(&config, parts)?;
    let inbound = Rc::new(Inbound {
        places: crate::inbound::places(&config),
        most_reading: crate::inbound::most_reading(&config),
        reading: Cell::new(0),
        terms,
        journal,
        safety,
        calls: calls.clone(),
        inputs,
        door: door.clone(),
    });
    // What was left open is taken up: only now is the sender ready.
    let listener = net.listen(config.listen)?;
    tracing::info!("listening on {}", listener.local_addr()?);
    tokio::task::spawn_local(crate::inbound::serve(inbound, listener));
    let watched = door.clone();
    tokio::task::spawn_local(async move { watched.watch().await });
    door.open();
    tokio::select! {
        biased;
        () = node.run() => {}
        () = terminate.notified() => {}
    }
    let told = Instant::now();
    door.ending.set(true);
    let _ = timeout_at(told + COMING, node.run()).await;
    // Idle connections end between two requests; one that crosses this comes again on a new connection.
    door.close.say();
    while told.elapsed() < SENDING && !node.is_done() {
        let _ = timeout_at(Instant::now() + LOOK, node.run()).await;
    }
    // No decision is made any more. What ends from here on is recorded, and the rest is for the next process.
    while told.elapsed() < LAST && (calls.out() > 0 || !reports.is_empty()) {
        sleep(LOOK).await;
    }
    Ok(())
}

/// What signals are about.
struct Told {
    /// The configuration's text.
    in_force: String,
    inputs: UnboundedSender<Input>,
    flight: Rc<Flight>,
}

impl Told {
    async fn heed(mut self, mut signals: Receiver<Signal>, source: ConfigSource, terminate: Rc<Notify>) {
        while let Some(signal) = signals.recv().await {
            match signal {
                Signal::Reload => self.reload(&source),
                Signal::Terminate => terminate.notify_one(),
                Signal::Dump => self.dump(),
            }
        }
    }

    /// The configuration is read anew, checked whole, and handed to the node as one step. One with a mistake
    /// changes nothing.
    fn reload(&mut self, source: &ConfigSource) {
        let text = match source() {
            Ok(text) => text,
            Err(why) => return tracing::warn!("the configuration stays as it was: {why}"),
        };
        match terms::read(&text, &self.in_force) {
            Ok(config) => {
                self.in_force = text;
                let _ = self.inputs.send(Input::Configured(Box::new(config)));
            }
            Err(wrong) => {
                tracing::warn!("the configuration stays as it was; mistakes in the new one: {}", wrong.len());
                wrong.iter().take(MISTAKES).for_each(|w| tracing::warn!("configuration: {w}"));
            }
        }
    }

    /// What is recorded is written to a file of its own.
    fn dump(&self) {
        match self.flight.dump() {
            Ok(Some(path)) => tracing::info!("recording written to {}", path.display()),
            Ok(None) => tracing::warn!("nothing is recorded: the recorder is off"),
            Err(why) => tracing::warn!("the recording could not be written: {why}"),
        }
    }
}
