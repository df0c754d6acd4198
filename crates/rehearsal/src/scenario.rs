//! Scenarios: what stands, who sends what, and what happens when. A file is read, checked as a whole, and
//! every error names its key and line.

use notchpoint_emulator::{Faults, PartnerSpec};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};
use toml::Spanned;

/// A rehearsal, as its file states it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it is called.
    pub name: String,
    /// What it is for, in a sentence.
    #[serde(default)]
    pub about: String,
    /// Where all chance comes from.
    #[serde(default = "one")]
    pub seed: u64,
    /// Messages come for so long; the run ends when all of them must have ended.
    pub duration_s: f64,
    /// What passes between machines.
    #[serde(default)]
    pub network: Network,
    /// The senders.
    #[serde(default)]
    pub senders: Senders,
    /// Classes of message.
    pub class: Vec<Spanned<Class>>,
    /// Who hands messages in.
    #[serde(default)]
    pub tenant: Vec<Spanned<Tenant>>,
    /// Partners.
    pub partner: Vec<Spanned<Partner>>,
    /// What is handed in.
    #[serde(default)]
    pub traffic: Vec<Spanned<Traffic>>,
    /// A recorded trace as further arrivals.
    #[serde(default)]
    pub replay: Option<Spanned<Replay>>,
    /// Clients that send what nobody should.
    #[serde(default)]
    pub bad_client: Vec<Spanned<BadClient>>,
    /// What happens, in the order of time.
    #[serde(default)]
    pub event: Vec<Spanned<Event>>,
    /// Where it was read from, for files beside it.
    #[serde(skip)]
    pub folder: PathBuf,
    /// What the trace of `replay` holds.
    #[serde(skip)]
    pub trace: Vec<Traced>,
}

fn one() -> u64 {
    1
}

/// What passes between machines.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way, whole milliseconds. Virtual time only.
    pub latency_ms: u64,
    /// Share of notes between senders that are lost. Virtual time only.
    pub notes_lost: f64,
    /// The others are up to so late. Virtual time only.
    pub notes_late_ms: u64,
}

/// The senders, and what they are told.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Senders {
    /// How many.
    pub count: usize,
    /// Calls out at once, for each.
    pub slots: u32,
    /// Messages held at once.
    pub most_held: u32,
    /// Attempts for one message.
    pub max_attempts: u32,
    /// Descriptors.
    pub sockets: usize,
    /// Memory.
    pub memory_mb: f64,
    /// The lasting folder.
    pub disk_mb: f64,
    /// A connection not made in this time has failed.
    pub connect_timeout_s: f64,
    /// Idle connections are closed by partners after this time.
    pub conn_idle_s: f64,
    /// Advice on when to come back that clients heed at most.
    pub max_retry_after_s: f64,
    /// The least time between two turns of a sender's decisions.
    pub tick_ms: f64,
    /// Attempts may be called off.
    pub cancelling: bool,
    /// Two attempts of a message may be out at once.
    pub parallel_tries: bool,
    /// Senders that keep a copy of each message; 0 for none. Virtual time only.
    pub copies: usize,
    /// Senders write notes to each other. Virtual time only.
    pub notes: bool,
    /// Senders leave a zone (a hall) that fails together, and return step by step. It takes notes.
    pub zones: bool,
    /// What a message over its tenant's allowance is worth, as a share.
    pub over_share_worth: f64,
    /// How worth falls after the wanted time: "even" or "by_half".
    pub fades: String,
    /// Clients hand in a refused message so many times more.
    pub client_retries: u32,
}

impl Default for Senders {
    fn default() -> Self {
        Self {
            count: 3,
            slots: 24,
            most_held: 230,
            max_attempts: 8,
            sockets: 1_024,
            memory_mb: 192.0,
            disk_mb: 3.0,
            connect_timeout_s: 1.5,
            conn_idle_s: 5.0,
            max_retry_after_s: 2.0,
            tick_ms: 5.0,
            cancelling: true,
            parallel_tries: false,
            copies: 0,
            notes: true,
            zones: false,
            over_share_worth: 0.2,
            fades: "by_half".into(),
            client_retries: 3,
        }
    }
}

/// A class of message.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// `idempotent`, `deduplicated` or `at_most_once`.
    pub effect: String,
    /// Full worth within this time.
    pub wanted_s: f64,
    /// Given up after this time.
    pub deadline_s: f64,
    /// Worth of one message.
    #[serde(default = "unit")]
    pub worth: f64,
    /// Share of it that is left at the deadline.
    #[serde(default)]
    pub late_share: f64,
    /// For `deduplicated`: partners drop repeats for so long.
    #[serde(default)]
    pub memory_s: f64,
}

fn unit() -> f64 {
    1.0
}

/// Who hands messages in.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Messages a second, over all senders, that count in full.
    pub allowance_per_s: Option<f64>,
}

impl Partner {
    /// The halls in which its endpoints stand.
    pub fn halls(&self) -> impl Iterator<Item = &String> {
        std::iter::once(&self.hall).chain(&self.also_in)
    }

    /// Where the n-th endpoint of a destination stands.
    pub fn hall_of(&self, n: usize) -> &str {
        self.halls().nth(n % (1 + self.also_in.len())).unwrap_or(&self.hall)
    }
}

/// Partners of one kind in one hall.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partner {
    /// The name of the kind.
    pub name: String,
    /// Where their endpoints stand: what can go silent together.
    #[serde(default = "hall")]
    pub hall: String,
    /// Further halls: of each destination the first endpoint stands in `hall`, the next ones in these, round
    /// and round.
    #[serde(default)]
    pub also_in: Vec<String>,
    /// How many such destinations.
    #[serde(default = "single")]
    pub destinations: usize,
    /// Endpoints of each.
    #[serde(default = "single")]
    pub endpoints: usize,
    /// Each endpoint has limits and outages of its own.
    #[serde(default)]
    pub apart: bool,
    /// What they are like.
    #[serde(default)]
    pub is: PartnerSpec,
}

fn hall() -> String {
    "hall".into()
}

fn single() -> usize {
    1
}

/// Messages that are handed in.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Their class.
    pub class: String,
    /// Their tenant; the first one if absent.
    pub tenant: Option<String>,
    /// The partners that they go to, evenly; all if absent.
    pub partner: Option<String>,
    /// Only to this destination of the partner, counted from 0.
    pub destination: Option<usize>,
    /// Messages a second, at random moments.
    pub rate_per_s: Option<f64>,
    /// So many in all, evenly from `from_s` to `to_s`; at one moment where these are equal.
    pub count: Option<u32>,
    /// From this second on.
    #[serde(default)]
    pub from_s: f64,
    /// Up to this second; the end if absent.
    pub to_s: Option<f64>,
    /// Bytes of a body.
    #[serde(default = "body")]
    pub body: usize,
}

fn body() -> usize {
    200
}

/// A recorded trace: a line a message, `seconds,class,tenant,destination,bytes`; lines that begin with # are
/// passed over.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replay {
    /// The file, beside the scenario.
    pub file: PathBuf,
}

/// A line of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Traced {
    /// When.
    pub at_s: f64,
    /// Class, by position.
    pub class: usize,
    /// Tenant, by position.
    pub tenant: usize,
    /// Destination, counted from 0 over all partners.
    pub destination: usize,
    /// Bytes of its body.
    pub body: usize,
}

/// Clients that send what nobody should, every kind in turn. Each is owed an error or a close within 3 s.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BadClient {
    /// So many a second.
    pub rate_per_s: f64,
    /// From this second on.
    #[serde(default)]
    pub from_s: f64,
    /// Up to this second; the end if absent.
    pub to_s: Option<f64>,
}

/// What may happen.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Do {
    /// Endpoints take connections and say nothing, as a process does that hangs. What was sent to them runs
    /// when they go on.
    Silent,
    /// Machines are cut off the network. Virtual time only.
    Cut,
    /// Endpoints die; after `for_s` they are back, cold.
    Die,
    /// Endpoints stop working on what they have for a while, and go on taking calls.
    Pause,
    /// Calls take `times` as long.
    Slow,
    /// Answers are spoilt by these `faults`.
    Faults,
    /// Endpoints are drained, and after `for_s` removed from the list.
    Drain,
    /// Endpoints are drained and new ones, under new names, put in their place; after `for_s` the old ones
    /// are removed from the list.
    Replace,
    /// Discovery fails as `mode` says.
    Discovery,
    /// Discovery moves, and senders are told by SIGHUP.
    MoveDiscovery,
    /// A sender is killed, and starts again after `for_s` (0.6 if absent).
    Kill,
    /// A sender gets SIGTERM, SIGKILL 3.7 s later if it is still there, and starts again after `for_s`.
    Restart,
    /// A sender hangs (SIGSTOP) for so long.
    Freeze,
    /// A sender's machine is lost with its folder; an empty one takes its place after `for_s` (0.6 if
    /// absent). Virtual time only.
    Lose,
    /// Nothing passes between two senders, or with `one_way` from `sender` to `other`. Virtual time only.
    Part,
    /// What passes from `sender` to `other` takes `late_ms` longer. Virtual time only.
    SlowLink,
    /// A sender's folder takes no byte more. Virtual time only.
    DiskFull,
}

/// How discovery fails.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Watches end, and new ones are answered 503.
    Down,
    /// Connections are taken and nothing is said.
    Silent,
    /// Changes are told `late_ms` later.
    Late,
    /// Watches end, once; new ones are fine.
    Broken,
}

/// Something that happens at an exact time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// When.
    pub at_s: f64,
    /// What.
    #[serde(rename = "do")]
    pub what: Do,
    /// For all endpoints in this hall.
    pub hall: Option<String>,
    /// For the endpoints of this partner.
    pub partner: Option<String>,
    /// Only of this destination of it, counted from 0.
    pub destination: Option<usize>,
    /// Only this endpoint of each, counted from 0.
    pub endpoint: Option<usize>,
    /// For this sender, counted from 0.
    pub sender: Option<usize>,
    /// For `part` and `slow_link`: the other sender.
    pub other: Option<usize>,
    /// For `part`: only from `sender` to `other`.
    #[serde(default)]
    pub one_way: bool,
    /// For so long.
    pub for_s: Option<f64>,
    /// For `slow`.
    pub times: Option<f64>,
    /// For `faults`.
    pub faults: Option<Faults>,
    /// For `discovery`.
    pub mode: Option<Mode>,
    /// For `discovery` with `mode = "late"`.
    pub late_ms: Option<u64>,
}

/// All that is wrong with a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong(pub Vec<String>);

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for Wrong {}

/// Reads and checks a file.
///
/// # Errors
/// All that is wrong with it, a line each, with file, line and key.
pub fn read(path: &Path) -> Result<Scenario, Wrong> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| Wrong(vec![format!("{name}: {e}")]))?;
    let folder = path.parent().unwrap_or(Path::new("")).to_owned();
    parse(&text, &name, folder)
}

/// Reads and checks a text; `name` stands in errors, `folder` is where files beside it lie.
///
/// # Errors
/// As [`read`].
pub fn parse(text: &str, name: &str, folder: PathBuf) -> Result<Scenario, Wrong> {
    let mut scenario: Scenario = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(1, |s| line(text, s.start));
        Wrong(vec![format!("{name}:{line}: {}", e.message().trim_end())])
    })?;
    scenario.folder = folder;
    let mut wrong = Vec::new();
    let say = |at: usize, what: String| wrong.push(format!("{name}:{}: {what}", line(text, at)));
    let mut check = Check { s: &scenario, say };
    check.all();
    if let Some(replay) = scenario.replay.clone() {
        match trace(&scenario, &scenario.folder.join(&replay.get_ref().file)) {
            Ok(trace) => scenario.trace = trace,
            Err(why) => wrong.extend(why.0),
        }
    }
    if wrong.is_empty() { Ok(scenario) } else { Err(Wrong(wrong)) }
}

fn line(text: &str, at: usize) -> usize {
    1 + text.bytes().take(at).filter(|b| *b == b'\n').count()
}

/// A trace holds so many messages at most.
const TRACE: usize = 2_000_000;

fn trace(s: &Scenario, path: &Path) -> Result<Vec<Traced>, Wrong> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| Wrong(vec![format!("{name}: {e}")]))?;
    let (mut found, mut wrong) = (Vec::new(), Vec::new());
    for (n, line) in text.lines().enumerate() {
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        match traced(s, line) {
            Ok(t) => found.push(t),
            Err(why) => wrong.push(format!("{name}:{}: {why}", n + 1)),
        }
        if found.len() > TRACE {
            wrong.push(format!("{name}: more than {TRACE} messages"));
            break;
        }
    }
    found.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    if wrong.is_empty() { Ok(found) } else { Err(Wrong(wrong)) }
}

fn traced(s: &Scenario, line: &str) -> Result<Traced, String> {
    let fields: Vec<&str> = line.split(',').map(str::trim).collect();
    let [at, class, tenant, destination, bytes] = fields[..] else {
        return Err("a line has seconds,class,tenant,destination,bytes".into());
    };
    let at_s: f64 = at.parse().map_err(|_| format!("seconds: {at:?} is no number"))?;
    if !(0.0..=s.duration_s).contains(&at_s) {
        return Err(format!("seconds: {at_s} is not within the run"));
    }
    let class = s.class.iter().position(|c| c.get_ref().name == class);
    let class = class.ok_or_else(|| format!("class: {:?} is not in the scenario", fields[1]))?;
    let tenant = s.tenant.iter().position(|t| t.get_ref().name == tenant);
    let tenant = tenant.or(s.tenant.is_empty().then_some(0));
    let tenant = tenant.ok_or_else(|| format!("tenant: {:?} is not in the scenario", fields[2]))?;
    let all: usize = s.partner.iter().map(|p| p.get_ref().destinations).sum();
    let destination: usize = destination.parse().ok().filter(|d| *d < all).ok_or_else(|| {
        format!("destination: {:?} is not one of the {all} of the scenario, counted from 0", fields[3])
    })?;
    let body: usize = bytes
        .parse()
        .ok()
        .filter(|b| *b <= BODY)
        .ok_or_else(|| format!("bytes: {bytes:?} is no whole number up to {BODY}"))?;
    Ok(Traced { at_s, class, tenant, destination, body })
}

/// What a sender takes at most.
const BODY: usize = 64 << 10;

struct Check<'a, F> {
    s: &'a Scenario,
    say: F,
}

impl<F: FnMut(usize, String)> Check<'_, F> {
    fn within(&mut self, at: usize, key: &str, x: f64, least: f64, most: f64) {
        if !(least..=most).contains(&x) {
            (self.say)(at, format!("{key}: {x} is not within {least} to {most}"));
        }
    }

    fn all(&mut self) {
        let s = self.s;
        self.within(0, "duration_s", s.duration_s, 0.1, 86_400.0);
        self.within(0, "network.latency_ms", s.network.latency_ms as f64, 0.0, 10_000.0);
        self.within(0, "network.notes_lost", s.network.notes_lost, 0.0, 1.0);
        self.within(0, "network.notes_late_ms", s.network.notes_late_ms as f64, 0.0, 60_000.0);
        self.senders();
        for (what, empty) in [("class", s.class.is_empty()), ("partner", s.partner.is_empty())] {
            if empty {
                (self.say)(0, format!("[[{what}]]: there must be one"));
            }
        }
        self.names();
        for c in &s.class {
            self.class(c.span().start, c.get_ref());
        }
        for p in &s.partner {
            let (at, p) = (p.span().start, p.get_ref());
            self.within(at, "partner.destinations", p.destinations as f64, 1.0, 10_000.0);
            self.within(at, "partner.endpoints", p.endpoints as f64, 1.0, 1_000.0);
            if let Err(why) = p.is.check() {
                (self.say)(at, format!("partner.is.{why}"));
            }
            for class in p.is.service.keys() {
                if class != "default" && s.class.iter().all(|c| c.get_ref().name != *class) {
                    (self.say)(at, format!("partner.is.service.{class}: no class has this name"));
                }
            }
        }
        for t in &s.traffic {
            self.traffic(t.span().start, t.get_ref());
        }
        for b in &s.bad_client {
            self.within(b.span().start, "bad_client.rate_per_s", b.get_ref().rate_per_s, 0.0, 1_000.0);
        }
        for e in &s.event {
            self.event(e.span().start, e.get_ref());
        }
    }

    fn senders(&mut self) {
        let s = &self.s.senders;
        self.within(0, "senders.count", s.count as f64, 1.0, 200.0);
        let most = (s.count / 2).min(3);
        self.within(0, "senders.copies", s.copies as f64, 0.0, most as f64);
        self.within(0, "senders.slots", s.slots.into(), 1.0, 10_000.0);
        self.within(0, "senders.most_held", s.most_held.into(), 1.0, 1e6);
        self.within(0, "senders.max_attempts", s.max_attempts.into(), 1.0, 1_000.0);
        self.within(0, "senders.sockets", s.sockets as f64, 16.0, 1e6);
        self.within(0, "senders.memory_mb", s.memory_mb, 1.0, 1e6);
        self.within(0, "senders.disk_mb", s.disk_mb, 0.1, 1e6);
        self.within(0, "senders.connect_timeout_s", s.connect_timeout_s, 0.01, 60.0);
        self.within(0, "senders.conn_idle_s", s.conn_idle_s, 0.1, 3_600.0);
        self.within(0, "senders.max_retry_after_s", s.max_retry_after_s, 0.0, 3_600.0);
        self.within(0, "senders.tick_ms", s.tick_ms, 0.0, 1_000.0);
        self.within(0, "senders.over_share_worth", s.over_share_worth, 0.0, 1.0);
        if !["even", "by_half"].contains(&s.fades.as_str()) {
            (self.say)(0, format!("senders.fades: {:?} is neither \"even\" nor \"by_half\"", s.fades));
        }
    }

    fn names(&mut self) {
        let s = self.s;
        let classes = s.class.iter().map(|c| ("class", c.span().start, c.get_ref().name.as_str()));
        let tenants = s.tenant.iter().map(|t| ("tenant", t.span().start, t.get_ref().name.as_str()));
        let partners = s.partner.iter().map(|p| ("partner", p.span().start, p.get_ref().name.as_str()));
        let mut seen = BTreeSet::new();
        for (what, at, name) in classes.chain(tenants).chain(partners) {
            let sound = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
            if name.is_empty() || !name.bytes().all(sound) {
                (self.say)(
                    at,
                    format!("{what}.name: {name:?} has other signs than letters, digits, - and _"),
                );
            }
            if !seen.insert((what, name)) {
                (self.say)(at, format!("{what}.name: {name:?} stands twice"));
            }
        }
    }

    fn class(&mut self, at: usize, c: &Class) {
        if !["idempotent", "deduplicated", "at_most_once"].contains(&c.effect.as_str()) {
            let known = "idempotent, deduplicated or at_most_once";
            (self.say)(at, format!("class.effect: {:?} is not {known}", c.effect));
        }
        self.within(at, "class.wanted_s", c.wanted_s, 0.001, 86_400.0);
        self.within(at, "class.deadline_s", c.deadline_s, c.wanted_s, 86_400.0);
        self.within(at, "class.worth", c.worth, 0.0, 1e9);
        self.within(at, "class.late_share", c.late_share, 0.0, 1.0);
        self.within(at, "class.memory_s", c.memory_s, 0.0, 1e6);
    }

    fn partner(&mut self, at: usize, key: &str, name: &str, destination: Option<usize>) {
        let found = self.s.partner.iter().map(|p| p.get_ref()).find(|p| p.name == name);
        let Some(p) = found else {
            return (self.say)(at, format!("{key}.partner: no partner is called {name:?}"));
        };
        if let Some(d) = destination.filter(|d| *d >= p.destinations) {
            (self.say)(at, format!("{key}.destination: {name} has no destination {d}, counted from 0"));
        }
    }

    fn traffic(&mut self, at: usize, t: &Traffic) {
        let s = self.s;
        if s.class.iter().all(|c| c.get_ref().name != t.class) {
            (self.say)(at, format!("traffic.class: no class is called {:?}", t.class));
        }
        if let Some(name) = &t.tenant
            && s.tenant.iter().all(|x| x.get_ref().name != *name)
        {
            (self.say)(at, format!("traffic.tenant: no tenant is called {name:?}"));
        }
        match &t.partner {
            Some(name) => self.partner(at, "traffic", name, t.destination),
            None if t.destination.is_some() => {
                (self.say)(at, "traffic.destination: needs traffic.partner".into());
            }
            None => {}
        }
        if t.rate_per_s.is_some() == t.count.is_some() {
            (self.say)(at, "traffic: one of rate_per_s and count is to be given".into());
        }
        self.within(at, "traffic.rate_per_s", t.rate_per_s.unwrap_or(1.0), 0.001, 1e6);
        self.within(at, "traffic.count", t.count.unwrap_or(1).into(), 1.0, 1e6);
        self.within(at, "traffic.from_s", t.from_s, 0.0, s.duration_s);
        self.within(at, "traffic.to_s", t.to_s.unwrap_or(s.duration_s), t.from_s, s.duration_s);
        self.within(at, "traffic.body", t.body as f64, 0.0, BODY as f64);
    }

    fn event(&mut self, at: usize, e: &Event) {
        let s = self.s;
        self.within(at, "event.at_s", e.at_s, 0.0, s.duration_s);
        self.within(at, "event.for_s", e.for_s.unwrap_or(1.0), 0.0, 86_400.0);
        let of_endpoints = matches!(
            e.what,
            Do::Silent | Do::Die | Do::Pause | Do::Slow | Do::Faults | Do::Drain | Do::Replace
        );
        let of_two = matches!(e.what, Do::Part | Do::SlowLink);
        let of_sender =
            of_two || matches!(e.what, Do::Kill | Do::Restart | Do::Freeze | Do::DiskFull | Do::Lose);
        let cut = e.what == Do::Cut;
        let target = e.hall.is_some() || e.partner.is_some();
        let needs_time =
            of_endpoints || cut || of_two || matches!(e.what, Do::Freeze | Do::DiskFull | Do::Discovery);
        let broken = e.mode == Some(Mode::Broken);
        let mut say = |wrong: bool, what: &str| {
            if wrong {
                (self.say)(at, format!("event.{what}"));
            }
        };
        say((of_endpoints || cut) && !target && e.sender.is_none(), "hall or event.partner: is missing");
        say(e.hall.is_some() && e.partner.is_some(), "hall: goes without event.partner");
        say(target && !of_endpoints && !cut, "hall and event.partner: do not go with this");
        say(e.sender.is_some() && !of_sender && !cut, "sender: does not go with this");
        say(of_sender && e.sender.is_none(), "sender: is missing");
        say(e.sender.is_some_and(|n| n >= s.senders.count), "sender: there are not so many, counted from 0");
        say(e.other.is_some() != of_two, "other: belongs to \"part\" and \"slow_link\", which need it");
        say(e.other.is_some_and(|n| n >= s.senders.count), "other: there are not so many, counted from 0");
        say(of_two && e.other == e.sender, "other: is the sender itself");
        say(e.one_way && e.what != Do::Part, "one_way: belongs to \"part\"");
        say((e.destination.is_some() || e.endpoint.is_some()) && !target, "destination: needs a partner");
        say(e.destination.is_some() && e.partner.is_none(), "destination: needs event.partner");
        say(needs_time && !broken && e.for_s.is_none(), "for_s: is missing");
        say(e.times.is_some() != (e.what == Do::Slow), "times: belongs to \"slow\", which needs it");
        say(e.faults.is_some() != (e.what == Do::Faults), "faults: belongs to \"faults\", which needs it");
        say(e.mode.is_some() != (e.what == Do::Discovery), "mode: belongs to \"discovery\", which needs it");
        say(
            e.late_ms.is_some() != (e.mode == Some(Mode::Late) || e.what == Do::SlowLink),
            "late_ms: belongs to mode \"late\" and to \"slow_link\", which need it",
        );
        let halls: BTreeSet<&str> = s.partner.iter().map(|p| p.get_ref().hall.as_str()).collect();
        if let Some(hall) = e.hall.as_deref().filter(|h| !halls.contains(h)) {
            (self.say)(at, format!("event.hall: no partner stands in {hall:?}"));
        }
        if let Some(name) = &e.partner {
            self.partner(at, "event", name, e.destination);
        }
        if let Some(Err(why)) = e.faults.as_ref().map(Faults::check) {
            (self.say)(at, format!("event.faults.{why}"));
        }
        self.within(at, "event.times", e.times.unwrap_or(1.0), 0.001, 10_000.0);
        self.within(at, "event.late_ms", e.late_ms.unwrap_or(0) as f64, 0.0, 60_000.0);
    }
}

impl Scenario {
    /// All destinations in their order: the partner of each, and its number there.
    pub fn destinations(&self) -> Vec<(usize, usize)> {
        let all = self.partner.iter().enumerate();
        all.flat_map(|(n, p)| (0..p.get_ref().destinations).map(move |d| (n, d))).collect()
    }

    /// What it needs that only virtual time has.
    pub fn only_virtual(&self) -> Vec<String> {
        let events = self.event.iter().map(|e| e.get_ref());
        let only = |e: &&Event| matches!(e.what, Do::Cut | Do::DiskFull | Do::Lose | Do::Part | Do::SlowLink);
        let copies = (self.senders.copies > 0).then(|| "senders.copies is for virtual time only".to_owned());
        let events = events
            .filter(only)
            .map(|e| format!("event at {} s: {:?} is for virtual time only", e.at_s, e.what));
        events.chain(copies).collect()
    }

    /// The halls, in the order in which they are named first.
    pub fn halls(&self) -> Vec<String> {
        let mut halls: Vec<String> = Vec::new();
        for hall in self.partner.iter().flat_map(|p| p.get_ref().halls()) {
            if !halls.contains(hall) {
                halls.push(hall.clone());
            }
        }
        halls
    }

    /// The destinations (over all, from 0) that a partner's name and number stand for.
    pub fn select(
        &self,
        hall: Option<&str>,
        partner: Option<&str>,
        destination: Option<usize>,
    ) -> Vec<usize> {
        let fits = |(n, d): (usize, usize)| {
            let p = self.partner[n].get_ref();
            hall.is_none_or(|h| p.halls().any(|its| its == h))
                && partner.is_none_or(|name| p.name == name)
                && destination.is_none_or(|x| x == d)
        };
        self.destinations().into_iter().enumerate().filter(|(_, d)| fits(*d)).map(|(n, _)| n).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SOUND: &str = "name = \"x\"\nduration_s = 10.0\n[[class]]\nname = \"update\"\n\
        effect = \"idempotent\"\n\
        wanted_s = 1.0\ndeadline_s = 6.0\n[[partner]]\nname = \"shop\"\nhall = \"north\"\ndestinations = 2\n\
        [[traffic]]\nclass = \"update\"\nrate_per_s = 5.0\n[[event]]\nat_s = 2.0\ndo = \"silent\"\n\
        hall = \"north\"\nfor_s = 2.0\n";

    fn of(text: &str) -> Result<Scenario, Wrong> {
        parse(text, "x.toml", PathBuf::new())
    }

    #[test]
    fn every_mistake_is_said_with_key_and_line() {
        assert!(of(SOUND).is_ok(), "{:?}", of(SOUND).err());
        for (from, to, said) in [
            ("destinations = 2", "destination = 2", "x.toml:11: unknown field `destination`"),
            ("duration_s = 10.0", "duration_s = \"x\"", "x.toml:2: invalid type"),
            ("effect = \"idempotent\"", "effect = \"odd\"", "x.toml:3: class.effect"),
            ("deadline_s = 6.0", "deadline_s = 0.5", "x.toml:3: class.deadline_s"),
            ("hall = \"north\"\nfor_s", "hall = \"south\"\nfor_s", "x.toml:15: event.hall"),
            ("for_s = 2.0", "", "x.toml:15: event.for_s"),
            ("at_s = 2.0", "at_s = 11.0", "x.toml:15: event.at_s"),
            ("do = \"silent\"", "do = \"explode\"", "x.toml:17: unknown variant"),
            ("do = \"silent\"", "do = \"kill\"", "event.sender: is missing"),
            ("class = \"update\"", "class = \"payment\"", "x.toml:12: traffic.class"),
            ("rate_per_s = 5.0", "", "x.toml:12: traffic: one of"),
            ("hall = \"north\"\nd", "hall = \"north\"\nis = { slots = 0 }\nd", "partner.is.slots"),
        ] {
            let text = SOUND.replacen(from, to, 1);
            let wrong = of(&text).err().unwrap_or_else(|| panic!("{to} passes")).to_string();
            assert!(wrong.contains(said), "{to}: {wrong}");
        }
        // All at once.
        let text = SOUND.replace("at_s = 2.0", "at_s = 11.0").replace("rate_per_s = 5.0", "");
        assert_eq!(of(&text).expect_err("two mistakes").0.len(), 2);
    }

    #[test]
    fn a_trace_is_read_and_its_mistakes_are_said() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("t.csv");
        let text = format!("{SOUND}[replay]\nfile = \"t.csv\"\n");
        std::fs::write(&path, "# x\n2.5,update,,1,300\n0.5,update,,0,0\n").expect("written");
        let s = parse(&text, "x.toml", folder.path().to_owned()).expect("sound");
        let found: Vec<_> = s.trace.iter().map(|t| (t.at_s, t.destination, t.body)).collect();
        assert_eq!(found, [(0.5, 0, 0), (2.5, 1, 300)]);
        for (line, said) in [
            ("1,update,,2,0", "destination"),
            ("1,odd,,0,0", "class"),
            ("11,update,,0,0", "seconds"),
            ("1,update,,0,-1", "bytes"),
            ("1,update", "a line has"),
        ] {
            std::fs::write(&path, line).expect("written");
            let wrong = parse(&text, "x.toml", folder.path().to_owned()).expect_err(line).to_string();
            assert!(wrong.contains("t.csv:1") && wrong.contains(said), "{line}: {wrong}");
        }
    }
}
