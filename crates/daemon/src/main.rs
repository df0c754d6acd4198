//! One real sender: the decision module on real sockets.

mod calls;
mod config;
mod discovery;
mod inbound;
mod input;
mod io;
mod journal;
mod listing;
mod node;
mod peers;
mod reports;

use calls::Calls;
use config::Config;
use discovery::Discovery;
use inbound::Inbound;
use journal::Journal;
use node::{Node, Parts};
use peers::Peers;
use reports::Reports;
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
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

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let local = tokio::task::LocalSet::new();
    let done = runtime.map_err(Failure::from).and_then(|r| r.block_on(local.run_until(run())));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("notchpoint: {why}");
            ExitCode::FAILURE
        }
    }
}

fn variable(name: &str) -> Result<PathBuf, Failure> {
    std::env::var_os(name).map(PathBuf::from).ok_or_else(|| format!("{name} is not set").into())
}

fn read(path: &Path) -> Result<Config, Failure> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(config::read(&text)?)
}

async fn run() -> Result<(), Failure> {
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
    let parts = Parts {
        journal: journal.clone(),
        calls: calls.clone(),
        reports: reports.clone(),
        discovery,
        peers,
        inputs: received,
    };
    let mut node = Node::new(&config, parts)?;
    let inbound = Rc::new(Inbound {
        places: inbound::places(&config),
        most_reading: inbound::most_reading(&config),
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
    tokio::task::spawn_local(inbound::serve(inbound.clone(), listener));
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
