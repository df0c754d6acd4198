//! The emulated platform: discovery and the receiver of notices. It has a separate address for each sender,
//! so that it knows which sender has received which change.

use crate::observations::{ListChange, Notice, Observations};
use crate::scenario::DiscoveryFailure;
use crate::wire::{Message, Wire};
use notchpoint_emulator::Micros;
use notchpoint_seam::net::accept;
use notchpoint_seam::{Listener, Stream};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

/// Interval of the empty lines that are sent while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Member {
    /// Index of the destination and number within it.
    pub endpoint: (usize, usize),
    /// Name of the endpoint.
    pub id: String,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Zone of the endpoint.
    pub zone: String,
    /// Name of its partner.
    pub kind: String,
    /// `up`, `draining` or `removed`.
    pub phase: &'static str,
    /// Revision of the list in which the entry last changed.
    pub revision: u64,
}

/// A current failure of discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Fault {
    mode: DiscoveryFailure,
    until: Micros,
    delay: Micros,
}

/// The emulated platform.
pub struct Platform {
    members: RefCell<Vec<Member>>,
    /// Revision of the last change. `Notify` wakes the watches in a fixed order; a watch channel would wake
    /// them in random order.
    revision: Cell<u64>,
    list_changed: Notify,
    fault: Cell<Option<Fault>>,
    /// Notified when all watches must end.
    watches_broken: Notify,
    observations: Rc<Observations>,
    /// Called for a bounced message with its ID and the delay in microseconds after which the client may
    /// resubmit it.
    bounced_callback: RefCell<Box<dyn Fn(u64, Micros)>>,
}

impl Platform {
    /// Creates a platform whose list has these members.
    pub fn new(members: Vec<Member>, observations: Rc<Observations>) -> Rc<Self> {
        Rc::new(Self {
            members: RefCell::new(members),
            revision: Cell::new(1),
            list_changed: Notify::new(),
            fault: Cell::new(None),
            watches_broken: Notify::new(),
            observations,
            bounced_callback: RefCell::new(Box::new(|_, _| {})),
        })
    }

    /// Sets the callback for bounced messages.
    pub fn on_bounced(&self, callback: impl Fn(u64, Micros) + 'static) {
        *self.bounced_callback.borrow_mut() = Box::new(callback);
    }

    /// Returns the whole list in the form of the configuration.
    pub fn list_json(&self) -> serde_json::Value {
        let members = self.members.borrow();
        let all = members.iter().filter(|m| m.phase != "removed").map(member_json);
        json!({"revision": self.revision.get(), "complete": true, "members": all.collect::<Vec<_>>()})
    }

    /// Changes an endpoint's entry, or adds it.
    pub fn change(&self, member: Member) {
        let revision = self.revision.get() + 1;
        let (endpoint, closed) = (member.endpoint, member.phase != "up");
        let (at, notified) = (self.observations.now(), Vec::new());
        self.observations.list_changes.borrow_mut().push(ListChange {
            revision,
            at,
            endpoint,
            closed,
            notified,
        });
        self.observations.log(format_args!("list {revision} {} {}", member.id, member.phase));
        let member = Member { revision, ..member };
        let mut members = self.members.borrow_mut();
        match members.iter_mut().find(|m| m.id == member.id) {
            Some(old) => *old = member,
            None => members.push(member),
        }
        drop(members);
        self.revision.set(revision);
        self.list_changed.notify_waiters();
    }

    /// Returns the entry of an endpoint.
    pub fn member(&self, endpoint: (usize, usize)) -> Option<Member> {
        self.members.borrow().iter().find(|m| m.endpoint == endpoint).cloned()
    }

    /// Makes discovery fail for a time.
    pub fn fail(&self, mode: DiscoveryFailure, span: Micros, delay: Micros) {
        if matches!(mode, DiscoveryFailure::Down | DiscoveryFailure::Silent) {
            let now = self.observations.now();
            self.observations.outages.borrow_mut().push((now, now + span));
        }
        if mode != DiscoveryFailure::Broken {
            self.fault.set(Some(Fault { mode, until: self.observations.now() + span, delay }));
        }
        if matches!(mode, DiscoveryFailure::Down | DiscoveryFailure::Broken) {
            self.watches_broken.notify_waiters();
        }
    }

    fn fault(&self) -> Option<Fault> {
        self.fault.get().filter(|f| f.until > self.observations.now())
    }

    /// Serves one sender at one of its addresses until the future is dropped.
    pub async fn serve(self: Rc<Self>, sender: usize, listener: Rc<dyn Listener>) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                Some(_) = connections.join_next() => {}
                stream = accept(&*listener) => match stream {
                    Ok(stream) => drop(connections.spawn_local(self.clone().connection(sender, stream))),
                    Err(_) => sleep(Duration::from_millis(10)).await,
                },
            }
        }
    }

    async fn connection(self: Rc<Self>, sender: usize, stream: Rc<dyn Stream>) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(request)) = wire.read_request().await {
            let stays_open =
                match (request.method.as_str(), request.path.split('?').next().unwrap_or_default()) {
                    ("POST", "/reports") => self.receive_notices(sender, &wire, &request).await,
                    ("GET", "/discovery/hosts") => self.serve_watch(sender, &mut wire, &request).await,
                    _ => wire.write(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n").await.is_ok(),
                };
            if !stays_open || request.closes() {
                return;
            }
        }
    }

    async fn receive_notices(&self, sender: usize, wire: &Wire, request: &Message) -> bool {
        // Notices are received while discovery is down as well.
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let mut notices = Vec::new();
        for line in text.lines() {
            let read = serde_json::from_str::<serde_json::Value>(line).ok();
            let found = read.as_ref().and_then(|notice| {
                let id = u64::from_str_radix(notice["ref"].as_str()?, 16).ok()?;
                let verdict = notice["result"].as_str().filter(|text| ["dead", "bounced"].contains(text))?;
                Some((id, verdict.to_owned(), notice["wait_ms"].as_u64().unwrap_or(0)))
            });
            let Some(found) = found else {
                self.observations
                    .record_anomaly(format!("sender {sender}: a notice that cannot be read: {line}"));
                return wire.write(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n").await.is_ok();
            };
            notices.push(found);
        }
        let (at, lifetime) = (self.observations.now(), self.observations.lifetime(sender));
        for (id, verdict, wait) in &notices {
            self.observations.log(format_args!("notice {id:016x} {verdict} {wait} from {sender}"));
            let first = {
                let mut messages = self.observations.messages.borrow_mut();
                let Some(message) = messages.get_mut(id) else {
                    drop(messages);
                    if self.observations.allows_unknown_messages.get() {
                        continue;
                    }
                    self.observations.record_anomaly(format!(
                        "sender {sender}: a notice for {id:016x}, which nobody handed in"
                    ));
                    continue;
                };
                let first = message.notices.is_empty();
                message.notices.push(Notice { at, lifetime, verdict: verdict.clone(), acknowledged: None });
                first
            };
            if first && verdict == "bounced" {
                (self.bounced_callback.borrow())(*id, wait * 1_000);
            }
        }
        let close = if request.closes() { "Connection: close\r\n" } else { "" };
        let answer = format!("HTTP/1.1 204 X\r\n{close}Content-Length: 0\r\n\r\n");
        let written = wire.write(answer.as_bytes()).await.is_ok();
        if written {
            let mut messages = self.observations.messages.borrow_mut();
            for (id, ..) in &notices {
                let notices = messages.get_mut(id).into_iter().flat_map(|message| &mut message.notices);
                notices.filter(|n| n.at == at).for_each(|n| n.acknowledged = Some(at));
            }
        }
        written
    }

    async fn serve_watch(&self, sender: usize, wire: &mut Wire, request: &Message) -> bool {
        match self.fault().map(|f| f.mode) {
            Some(DiscoveryFailure::Down) => {
                let _ = wire.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").await;
                return false;
            }
            Some(DiscoveryFailure::Silent) => {
                wire.wait_closed().await;
                return false;
            }
            _ => {}
        }
        let index = request.path.split("index=").nth(1).and_then(|t| t.parse().ok()).unwrap_or(0u64);
        if !request.path.contains("stream=1") {
            let body = self.list_json().to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            return wire.write((head + &body).as_bytes()).await.is_ok();
        }
        if wire.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
            return false;
        }
        let mut known = index;
        loop {
            // Both notifications are created first, so that no change during a write is missed.
            let (list_changed, watches_broken) =
                (self.list_changed.notified(), self.watches_broken.notified());
            tokio::pin!(list_changed, watches_broken);
            // The first line has all changes after the requested revision; each further change follows as it
            // is made.
            let until = match self.fault() {
                Some(f) if f.mode == DiscoveryFailure::Late => self.observations.now() + f.delay,
                Some(f) if f.mode == DiscoveryFailure::Silent => f.until,
                _ => 0,
            };
            tokio::select! {
                biased;
                () = &mut watches_broken => return false,
                () = wire.wait_closed() => return false,
                () = sleep_until(self.observations.instant_at(until)) => {}
            }
            let revision = self.revision.get();
            let text = self.changes(known, revision);
            let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
            if wire.write(chunk.as_bytes()).await.is_err() {
                return false;
            }
            self.record_notified(sender, known, revision);
            known = revision;
            if revision != self.revision.get() {
                continue;
            }
            tokio::select! {
                biased;
                () = &mut watches_broken => return false,
                () = &mut list_changed => {}
                () = wire.wait_closed() => return false,
                () = sleep(HEARTBEAT_INTERVAL) => {}
            }
        }
    }

    /// Returns the line with the changes between two revisions, or an empty text if there are none.
    fn changes(&self, known: u64, revision: u64) -> String {
        if known == revision {
            return String::new();
        }
        let members = self.members.borrow();
        let changed: Vec<_> = members.iter().filter(|m| m.revision > known).map(member_json).collect();
        json!({"revision": revision, "complete": false, "members": changed}).to_string()
    }

    fn record_notified(&self, sender: usize, known: u64, revision: u64) {
        let (now, lifetime) = (self.observations.now(), self.observations.lifetime(sender));
        let mut listed = self.observations.list_changes.borrow_mut();
        for change in listed.iter_mut().filter(|c| c.revision > known && c.revision <= revision) {
            change.notified.push((sender, lifetime, now));
        }
        if known != revision {
            self.observations.log(format_args!("told {sender} {revision}"));
        }
    }
}

fn member_json(member: &Member) -> serde_json::Value {
    json!({"id": member.id, "host_port": member.address.to_string(), "locality": member.zone,
        "flavor": member.kind, "cell": member.endpoint.0 + 1, "phase": member.phase, "size": 1.0,
        "up_since_ms": 0})
}
