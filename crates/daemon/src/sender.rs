//! One real sender: its parts, its start and its end.

use crate::calls::Calls;
use crate::config::Config;
use crate::discovery::Discovery;
use crate::flight::Flight;
use crate::inbound::Inbound;
use crate::journal::Journal;
use crate::node::{Node, Parts};
use crate::operator::Operator;
use crate::peers::Peers;
use crate::reports::Reports;
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc::unbounded_channel, watch};
use tokio::time::{Instant, sleep, timeout_at};

/// After SIGTERM: until then connections go on coming and are answered, also if nothing else is left to do.
const COMING: Duration = Duration::from_millis(600);
/// Until then calls are started: what starts later may not end in time, and may then not be repeated.
const SENDING: Duration = Duration::from_millis(2_200);
/// Then the process ends, whatever is still out.
const LAST: Duration = Duration::from_millis(3_300);
/// How often it is looked whether all has ended.
const LOOK: Duration = Duration::from_millis(10);

pub type Failure = Box<dyn std::error::Error>;

fn variable(name: &str) -> Result<PathBuf, Failure> {
    std::env::var_os(name).map(PathBuf::from).ok_or_else(|| format!("{name} is not set").into())
}

fn read(path: &Path) -> Result<Config, Failure> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(crate::config::read(&text)?)
}

/// Runs one sender until it is told to end.
pub async fn run(operator: Operator) -> Result<(), Failure> {
    // First of all: without a handler the signal would end the process.
    let hangup = signal(SignalKind::hangup())?;
    let path = variable("BALANCER_CONFIG")?;
    let config = read(&path)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let journal = Journal::open(&variable("BALANCER_STATE")?, config.disk)?;
    let journal = Rc::new(RefCell::new(journal));
    let (inputs, received) = unbounded_channel();
    let calls = Calls::new(&config, journal.clone(), inputs.clone());
    let reports = Reports::new(config.discovery, journal.clone());
    let discovery = Discovery::new(config.discovery, config.known.revision, inputs.clone());
    let discovery = Rc::new(discovery);
    tokio::task::spawn_local(reload(hangup, path, discovery.clone(), reports.clone()));
    let peers = match config.peer_listen.filter(|_| config.settings.may_note) {
        Some(address) => Some(Peers::bind(address, &config, inputs.clone()).await?),
        None => None,
    };
    let flight = Flight::open(&operator.recorder, &config)?;
    flight.watch_panics();
    tokio::task::spawn_local(dump(signal(SignalKind::user_defined1())?, flight.clone()));
    let parts = Parts {
        flight,
        journal: journal.clone(),
        calls: calls.clone(),
        reports: reports.clone(),
        discovery,
        peers,
        inputs: received,
    };
    let mut node = Node::new(&config, parts)?;
    let inbound = Rc::new(Inbound {
        places: crate::inbound::places(&config),
        most_reading: crate::inbound::most_reading(&config),
        reading: Cell::new(0),
        set: config.settings,
        names: config.names,
        journal,
        calls: calls.clone(),
        inputs,
        draining: Cell::new(false),
        close: watch::Sender::new(false),
    });
    // What was left open is taken up: only now is the sender ready.
    let listener = TcpListener::bind(config.listen).await?;
    println!("listening on {}", listener.local_addr()?);
    tokio::task::spawn_local(crate::inbound::serve(inbound.clone(), listener));
    tokio::select! {
        () = node.run() => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let told = Instant::now();
    inbound.draining.set(true);
    let _ = timeout_at(told + COMING, node.run()).await;
    // Idle connections end between two requests; one that crosses this comes again on a new connection.
    inbound.close.send_replace(true);
    while told.elapsed() < SENDING && !node.is_done() {
        let _ = timeout_at(Instant::now() + LOOK, node.run()).await;
    }
    // No decision is made any more. What ends from here on is recorded, and the rest is for the next process.
    while told.elapsed() < LAST && (calls.out() > 0 || !reports.is_empty()) {
        sleep(LOOK).await;
    }
    Ok(())
}

/// On SIGHUP the configuration is read anew and what may change while the process runs is taken from it:
/// where discovery is. One that cannot be read changes nothing.
async fn reload(mut hangup: Signal, path: PathBuf, discovery: Rc<Discovery>, reports: Rc<Reports>) {
    while hangup.recv().await.is_some() {
        match read(&path) {
            Ok(config) => {
                println!("configuration read anew: discovery at {}", config.discovery);
                discovery.relocate(config.discovery);
                reports.relocate(config.discovery);
            }
            Err(why) => eprintln!("the configuration stays as it was: {why}"),
        }
    }
}

/// On SIGUSR1 what is recorded is written to a file of its own.
async fn dump(mut asked: Signal, flight: Rc<Flight>) {
    while asked.recv().await.is_some() {
        match flight.dump() {
            Ok(Some(path)) => println!("recording written to {}", path.display()),
            Ok(None) => eprintln!("nothing is recorded: the recorder is off"),
            Err(why) => eprintln!("the recording could not be written: {why}"),
        }
    }
}
