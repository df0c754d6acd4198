//! Scenario files: the emulated parties, the traffic and the events of a run. A file is parsed and validated
//! as a whole, and every error names its key and line.

use notchpoint_emulator::{Faults, PartnerSpec};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};
use toml::Spanned;

/// A rehearsal, as defined by its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// Purpose of the scenario, in one sentence.
    #[serde(default)]
    pub about: String,
    /// Seed of all random numbers of a run.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Seconds during which messages arrive. The run continues until the deadlines of all of them have
    /// passed.
    pub duration_s: f64,
    /// The network between machines.
    #[serde(default)]
    pub network: Network,
    /// The senders.
    #[serde(default)]
    pub senders: Senders,
    /// Message classes.
    pub class: Vec<Spanned<Class>>,
    /// Tenants, on whose behalf messages are submitted.
    #[serde(default)]
    pub tenant: Vec<Spanned<Tenant>>,
    /// Partners.
    pub partner: Vec<Spanned<Partner>>,
    /// Generated traffic.
    #[serde(default)]
    pub traffic: Vec<Spanned<Traffic>>,
    /// A recorded trace with additional arrivals.
    #[serde(default)]
    pub replay: Option<Spanned<Replay>>,
    /// Clients that send malformed requests.
    #[serde(default)]
    pub bad_client: Vec<Spanned<BadClient>>,
    /// Events. They are applied in the order of their times.
    #[serde(default)]
    pub event: Vec<Spanned<Event>>,
    /// Folder of the scenario file; other files are resolved relative to it.
    #[serde(skip)]
    pub folder: PathBuf,
    /// Entries of the trace that `replay` names.
    #[serde(skip)]
    pub trace: Vec<TraceEntry>,
}

fn default_seed() -> u64 {
    1
}

/// The network between machines.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One-way latency in whole milliseconds. Virtual time only.
    pub latency_ms: u64,
    /// Share of notes between senders that is lost. Virtual time only.
    pub notes_lost: f64,
    /// Maximum additional delay of the other notes. Virtual time only.
    pub notes_late_ms: u64,
}

/// The senders and their settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Senders {
    /// Number of senders.
    pub count: usize,
    /// Maximum concurrent calls of each sender.
    pub slots: u32,
    /// Maximum number of messages that a sender holds at once.
    pub most_held: u32,
    /// Maximum attempts for one message.
    pub max_attempts: u32,
    /// Limit of file descriptors.
    pub sockets: usize,
    /// Memory limit in megabytes.
    pub memory_mb: f64,
    /// Size limit of the state folder in megabytes.
    pub disk_mb: f64,
    /// Time-out for establishing a connection.
    pub connect_timeout_s: f64,
    /// Time after which partners close idle connections.
    pub conn_idle_s: f64,
    /// Longest `Retry-After` delay that clients follow.
    pub max_retry_after_s: f64,
    /// Minimum time between two decision ticks of a sender.
    pub tick_ms: f64,
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Whether two attempts of a message may be in flight at once.
    pub parallel_tries: bool,
    /// Number of other senders that hold a replica of each message; 0 for none. Virtual time only.
    pub copies: usize,
    /// Whether senders exchange notes. Virtual time only.
    pub notes: bool,
    /// Whether senders evacuate a failing zone together and return to it in steps. Requires `notes`.
    pub zones: bool,
    /// Share of its worth that a message over its tenant's allowance has.
    pub over_share_worth: f64,
    /// How worth decreases after the wanted time: "even" (linearly) or "by_half" (exponentially).
    pub fades: String,
    /// How often clients resubmit a refused message.
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

/// A message class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// `idempotent`, `deduplicated` or `at_most_once`.
    pub effect: String,
    /// Time within which a delivery has full worth.
    pub wanted_s: f64,
    /// Deadline: a message is given up after this time.
    pub deadline_s: f64,
    /// Worth of one message.
    #[serde(default = "default_worth")]
    pub worth: f64,
    /// Share of the worth that remains at the deadline.
    #[serde(default)]
    pub late_share: f64,
    /// For `deduplicated`: length of the partners' deduplication window.
    #[serde(default)]
    pub memory_s: f64,
}

fn default_worth() -> f64 {
    1.0
}

/// A tenant, on whose behalf messages are submitted.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Messages per second, over all senders, that count in full. None means no limit.
    pub allowance_per_s: Option<f64>,
}

impl Partner {
    /// The zones in which its endpoints are located.
    pub fn zones(&self) -> impl Iterator<Item = &String> {
        std::iter::once(&self.zone).chain(&self.also_in)
    }

    /// The zone of the n-th endpoint of a destination.
    pub fn zone_of(&self, n: usize) -> &str {
        self.zones().nth(n % (1 + self.also_in.len())).unwrap_or(&self.zone)
    }
}

/// A group of destinations of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partner {
    /// Name of the kind.
    pub name: String,
    /// Zone of the endpoints: the unit that can fail as a whole.
    #[serde(rename = "hall", default = "default_zone")]
    pub zone: String,
    /// Further zones. The endpoints of each destination are assigned round-robin to `hall` and then to
    /// these.
    #[serde(default)]
    pub also_in: Vec<String>,
    /// Number of destinations of this kind.
    #[serde(default = "default_count")]
    pub destinations: usize,
    /// Number of endpoints of each destination.
    #[serde(default = "default_count")]
    pub endpoints: usize,
    /// Whether limits and outages apply to each endpoint separately.
    #[serde(rename = "apart", default)]
    pub per_endpoint: bool,
    /// Behaviour of the endpoints.
    #[serde(rename = "is", default)]
    pub spec: PartnerSpec,
}

fn default_zone() -> String {
    "hall".into()
}

fn default_count() -> usize {
    1
}

/// Messages that clients submit.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Class of the messages.
    pub class: String,
    /// Tenant of the messages; the first one if absent.
    pub tenant: Option<String>,
    /// Partner whose destinations receive the messages, evenly distributed; all partners if absent.
    pub partner: Option<String>,
    /// Sends only to this destination of the partner, counted from 0.
    pub destination: Option<usize>,
    /// Messages per second, with exponentially distributed gaps.
    pub rate_per_s: Option<f64>,
    /// Total number of messages, evenly spaced from `from_s` to `to_s`; all at once if these are equal.
    pub count: Option<u32>,
    /// Start time in seconds.
    #[serde(default)]
    pub from_s: f64,
    /// End time in seconds; the end of the scenario if absent.
    pub to_s: Option<f64>,
    /// Size of each body in bytes.
    #[serde(default = "default_body_bytes")]
    pub body: usize,
}

fn default_body_bytes() -> usize {
    200
}

/// A recorded trace with one message per line: `seconds,class,tenant,destination,bytes`. Lines that start
/// with # are ignored.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replay {
    /// Path of the trace, relative to the scenario file.
    pub file: PathBuf,
}

/// An entry of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceEntry {
    /// Arrival time in seconds.
    pub at_s: f64,
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// Index of the destination over all partners.
    pub destination: usize,
    /// Size of the body in bytes.
    pub body: usize,
}

/// Clients that send malformed requests, each kind in turn. Each must receive an error or a close within 3
/// s.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BadClient {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Start time in seconds.
    #[serde(default)]
    pub from_s: f64,
    /// End time in seconds; the end of the scenario if absent.
    pub to_s: Option<f64>,
}

/// Kinds of events.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// Endpoints accept connections but send nothing, as a hanging process does. Requests received meanwhile
    /// run when they resume.
    Silent,
    /// Machines are disconnected from the network. Virtual time only.
    Cut,
    /// Endpoints die and restart cold after `for_s`.
    Die,
    /// Endpoints stop processing for a while but keep accepting calls.
    Pause,
    /// Calls take `times` as long as usual.
    Slow,
    /// Answers are affected by the given `faults`.
    Faults,
    /// Endpoints are drained and, after `for_s`, removed from the list.
    Drain,
    /// Endpoints are drained and replaced by new ones with new names; after `for_s` the old ones are removed
    /// from the list.
    Replace,
    /// Discovery fails in the way that `mode` gives.
    Discovery,
    /// Discovery moves to a new address, and senders are notified by SIGHUP.
    MoveDiscovery,
    /// A sender is killed and restarts after `for_s` (0.6 if absent).
    Kill,
    /// A sender receives SIGTERM, then SIGKILL 3.7 s later if it still runs, and restarts after `for_s`.
    Restart,
    /// A sender is stopped (SIGSTOP) for `for_s`.
    Freeze,
    /// A sender's machine is lost with its state folder; an empty one replaces it after `for_s` (0.6 if
    /// absent). Virtual time only.
    Lose,
    /// The link between two senders is blocked, or with `one_way` only from `sender` to `other`. Virtual
    /// time only.
    Part,
    /// Traffic from `sender` to `other` takes `late_ms` longer. Virtual time only.
    SlowLink,
    /// A sender's state folder is full. Virtual time only.
    DiskFull,
}

/// How discovery fails.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryFailure {
    /// Watches end, and new ones are answered with 503.
    Down,
    /// Connections are accepted, but no answer is sent.
    Silent,
    /// Changes are sent `late_ms` later.
    Late,
    /// Open watches end once; new ones work.
    Broken,
}

/// An event at a given time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Time of the event in seconds.
    pub at_s: f64,
    /// Kind of the event.
    #[serde(rename = "do")]
    pub kind: EventKind,
    /// Applies to all endpoints in this zone.
    #[serde(rename = "hall")]
    pub zone: Option<String>,
    /// Applies to the endpoints of this partner.
    pub partner: Option<String>,
    /// Restricts `partner` to this destination, counted from 0.
    pub destination: Option<usize>,
    /// Restricts the event to this endpoint of each destination, counted from 0.
    pub endpoint: Option<usize>,
    /// Applies to this sender, counted from 0.
    pub sender: Option<usize>,
    /// For `part` and `slow_link`: the other sender.
    pub other: Option<usize>,
    /// For `part`: blocks only the direction from `sender` to `other`.
    #[serde(default)]
    pub one_way: bool,
    /// Duration in seconds.
    pub for_s: Option<f64>,
    /// For `slow`: factor of the service times.
    pub times: Option<f64>,
    /// For `faults`: shares of the answers that are affected.
    pub faults: Option<Faults>,
    /// For `discovery`: how it fails.
    pub mode: Option<DiscoveryFailure>,
    /// For `slow_link`, and for `discovery` with `mode = "late"`: delay in milliseconds.
    pub late_ms: Option<u64>,
}

/// All errors of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError(pub Vec<String>);

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for ScenarioError {}

/// Reads and validates a scenario file.
///
/// # Errors
/// Returns all errors, one per line, with file, line and key.
pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| ScenarioError(vec![format!("{name}: {e}")]))?;
    let folder = path.parent().unwrap_or(Path::new("")).to_owned();
    parse(&text, &name, folder)
}

/// Parses and validates a text. `name` appears in errors; other files are read relative to `folder`.
///
/// # Errors
/// See [`read`].
pub fn parse(text: &str, name: &str, folder: PathBuf) -> Result<Scenario, ScenarioError> {
    let mut scenario: Scenario = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(1, |s| line_number(text, s.start));
        ScenarioError(vec![format!("{name}:{line}: {}", e.message().trim_end())])
    })?;
    scenario.folder = folder;
    let mut errors = Vec::new();
    let report = |at: usize, error: String| errors.push(format!("{name}:{}: {error}", line_number(text, at)));
    let mut validator = Validator { scenario: &scenario, report };
    validator.check_all();
    if let Some(replay) = scenario.replay.clone() {
        match read_trace(&scenario, &scenario.folder.join(&replay.get_ref().file)) {
            Ok(trace) => scenario.trace = trace,
            Err(why) => errors.extend(why.0),
        }
    }
    if errors.is_empty() { Ok(scenario) } else { Err(ScenarioError(errors)) }
}

fn line_number(text: &str, at: usize) -> usize {
    1 + text.bytes().take(at).filter(|b| *b == b'\n').count()
}

/// Maximum number of messages in a trace.
const MAX_TRACE_MESSAGES: usize = 2_000_000;

fn read_trace(scenario: &Scenario, path: &Path) -> Result<Vec<TraceEntry>, ScenarioError> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| ScenarioError(vec![format!("{name}: {e}")]))?;
    let (mut found, mut errors) = (Vec::new(), Vec::new());
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        match parse_trace_line(scenario, line) {
            Ok(entry) => found.push(entry),
            Err(why) => errors.push(format!("{name}:{}: {why}", index + 1)),
        }
        if found.len() > MAX_TRACE_MESSAGES {
            errors.push(format!("{name}: the trace has more than {MAX_TRACE_MESSAGES} messages"));
            break;
        }
    }
    found.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    if errors.is_empty() { Ok(found) } else { Err(ScenarioError(errors)) }
}

fn parse_trace_line(scenario: &Scenario, line: &str) -> Result<TraceEntry, String> {
    let fields: Vec<&str> = line.split(',').map(str::trim).collect();
    let [at, class, tenant, destination, bytes] = fields[..] else {
        return Err("a line has the fields seconds,class,tenant,destination,bytes".into());
    };
    let at_s: f64 = at.parse().map_err(|_| format!("seconds: {at:?} is not a number"))?;
    if !(0.0..=scenario.duration_s).contains(&at_s) {
        return Err(format!("seconds: {at_s} is outside the run"));
    }
    let class = scenario.class.iter().position(|c| c.get_ref().name == class);
    let class = class.ok_or_else(|| format!("class: {:?} is not in the scenario", fields[1]))?;
    let tenant = scenario.tenant.iter().position(|t| t.get_ref().name == tenant);
    let tenant = tenant.or(scenario.tenant.is_empty().then_some(0));
    let tenant = tenant.ok_or_else(|| format!("tenant: {:?} is not in the scenario", fields[2]))?;
    let all: usize = scenario.partner.iter().map(|p| p.get_ref().destinations).sum();
    let destination: usize = destination.parse().ok().filter(|d| *d < all).ok_or_else(|| {
        format!(
            "destination: {:?} is not a number below {all}, the count of destinations in the scenario",
            fields[3]
        )
    })?;
    let body: usize = bytes
        .parse()
        .ok()
        .filter(|b| *b <= MAX_BODY_BYTES)
        .ok_or_else(|| format!("bytes: {bytes:?} is not a whole number up to {MAX_BODY_BYTES}"))?;
    Ok(TraceEntry { at_s, class, tenant, destination, body })
}

/// Largest body that a sender accepts.
const MAX_BODY_BYTES: usize = 64 << 10;

struct Validator<'a, F> {
    scenario: &'a Scenario,
    report: F,
}

impl<F: FnMut(usize, String)> Validator<'_, F> {
    fn check_range(&mut self, at: usize, key: &str, value: f64, min: f64, max: f64) {
        if !(min..=max).contains(&value) {
            (self.report)(at, format!("{key}: {value} is not between {min} and {max}"));
        }
    }

    fn check_all(&mut self) {
        let scenario = self.scenario;
        self.check_range(0, "duration_s", scenario.duration_s, 0.1, 86_400.0);
        self.check_range(0, "network.latency_ms", scenario.network.latency_ms as f64, 0.0, 10_000.0);
        self.check_range(0, "network.notes_lost", scenario.network.notes_lost, 0.0, 1.0);
        self.check_range(0, "network.notes_late_ms", scenario.network.notes_late_ms as f64, 0.0, 60_000.0);
        self.check_senders();
        for (section, empty) in
            [("class", scenario.class.is_empty()), ("partner", scenario.partner.is_empty())]
        {
            if empty {
                (self.report)(0, format!("[[{section}]]: at least one is required"));
            }
        }
        self.check_names();
        for class_entry in &scenario.class {
            self.check_class(class_entry.span().start, class_entry.get_ref());
        }
        for partner in &scenario.partner {
            let (at, partner) = (partner.span().start, partner.get_ref());
            self.check_range(at, "partner.destinations", partner.destinations as f64, 1.0, 10_000.0);
            self.check_range(at, "partner.endpoints", partner.endpoints as f64, 1.0, 1_000.0);
            if let Err(why) = partner.spec.check() {
                (self.report)(at, format!("partner.is.{why}"));
            }
            for class in partner.spec.service.keys() {
                if class != "default"
                    && scenario.class.iter().all(|class_entry| class_entry.get_ref().name != *class)
                {
                    (self.report)(at, format!("partner.is.service.{class}: no class has this name"));
                }
            }
        }
        for traffic in &scenario.traffic {
            self.check_traffic(traffic.span().start, traffic.get_ref());
        }
        for bad_client in &scenario.bad_client {
            self.check_range(
                bad_client.span().start,
                "bad_client.rate_per_s",
                bad_client.get_ref().rate_per_s,
                0.0,
                1_000.0,
            );
        }
        for event in &scenario.event {
            self.check_event(event.span().start, event.get_ref());
        }
    }

    fn check_senders(&mut self) {
        let senders = &self.scenario.senders;
        self.check_range(0, "senders.count", senders.count as f64, 1.0, 200.0);
        let max = (senders.count / 2).min(3);
        self.check_range(0, "senders.copies", senders.copies as f64, 0.0, max as f64);
        self.check_range(0, "senders.slots", senders.slots.into(), 1.0, 10_000.0);
        self.check_range(0, "senders.most_held", senders.most_held.into(), 1.0, 1e6);
        self.check_range(0, "senders.max_attempts", senders.max_attempts.into(), 1.0, 1_000.0);
        self.check_range(0, "senders.sockets", senders.sockets as f64, 16.0, 1e6);
        self.check_range(0, "senders.memory_mb", senders.memory_mb, 1.0, 1e6);
        self.check_range(0, "senders.disk_mb", senders.disk_mb, 0.1, 1e6);
        self.check_range(0, "senders.connect_timeout_s", senders.connect_timeout_s, 0.01, 60.0);
        self.check_range(0, "senders.conn_idle_s", senders.conn_idle_s, 0.1, 3_600.0);
        self.check_range(0, "senders.max_retry_after_s", senders.max_retry_after_s, 0.0, 3_600.0);
        self.check_range(0, "senders.tick_ms", senders.tick_ms, 0.0, 1_000.0);
        self.check_range(0, "senders.over_share_worth", senders.over_share_worth, 0.0, 1.0);
        if !["even", "by_half"].contains(&senders.fades.as_str()) {
            (self.report)(
                0,
                format!("senders.fades: {:?} is neither \"even\" nor \"by_half\"", senders.fades),
            );
        }
    }

    fn check_names(&mut self) {
        let scenario = self.scenario;
        let classes = scenario.class.iter().map(|c| ("class", c.span().start, c.get_ref().name.as_str()));
        let tenants = scenario.tenant.iter().map(|t| ("tenant", t.span().start, t.get_ref().name.as_str()));
        let partners =
            scenario.partner.iter().map(|p| ("partner", p.span().start, p.get_ref().name.as_str()));
        let mut seen = BTreeSet::new();
        for (section, at, name) in classes.chain(tenants).chain(partners) {
            let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
            if name.is_empty() || !name.bytes().all(is_allowed) {
                (self.report)(
                    at,
                    format!("{section}.name: {name:?} may only contain letters, digits, - and _"),
                );
            }
            if !seen.insert((section, name)) {
                (self.report)(at, format!("{section}.name: {name:?} is used twice"));
            }
        }
    }

    fn check_class(&mut self, at: usize, class: &Class) {
        if !["idempotent", "deduplicated", "at_most_once"].contains(&class.effect.as_str()) {
            let known = "idempotent, deduplicated or at_most_once";
            (self.report)(at, format!("class.effect: {:?} is not {known}", class.effect));
        }
        self.check_range(at, "class.wanted_s", class.wanted_s, 0.001, 86_400.0);
        self.check_range(at, "class.deadline_s", class.deadline_s, class.wanted_s, 86_400.0);
        self.check_range(at, "class.worth", class.worth, 0.0, 1e9);
        self.check_range(at, "class.late_share", class.late_share, 0.0, 1.0);
        self.check_range(at, "class.memory_s", class.memory_s, 0.0, 1e6);
    }

    fn check_partner(&mut self, at: usize, key: &str, name: &str, destination: Option<usize>) {
        let found = self
            .scenario
            .partner
            .iter()
            .map(|partner| partner.get_ref())
            .find(|partner| partner.name == name);
        let Some(partner) = found else {
            return (self.report)(at, format!("{key}.partner: there is no partner {name:?}"));
        };
        if let Some(number) = destination.filter(|number| *number >= partner.destinations) {
            (self.report)(
                at,
                format!("{key}.destination: {name} has no destination {number} (counted from 0)"),
            );
        }
    }

    fn check_traffic(&mut self, at: usize, traffic: &Traffic) {
        let scenario = self.scenario;
        if scenario.class.iter().all(|c| c.get_ref().name != traffic.class) {
            (self.report)(at, format!("traffic.class: there is no class {:?}", traffic.class));
        }
        if let Some(name) = &traffic.tenant
            && scenario.tenant.iter().all(|x| x.get_ref().name != *name)
        {
            (self.report)(at, format!("traffic.tenant: there is no tenant {name:?}"));
        }
        match &traffic.partner {
            Some(name) => self.check_partner(at, "traffic", name, traffic.destination),
            None if traffic.destination.is_some() => {
                (self.report)(at, "traffic.destination: requires traffic.partner".into());
            }
            None => {}
        }
        if traffic.rate_per_s.is_some() == traffic.count.is_some() {
            (self.report)(at, "traffic: one of rate_per_s and count is required".into());
        }
        self.check_range(at, "traffic.rate_per_s", traffic.rate_per_s.unwrap_or(1.0), 0.001, 1e6);
        self.check_range(at, "traffic.count", traffic.count.unwrap_or(1).into(), 1.0, 1e6);
        self.check_range(at, "traffic.from_s", traffic.from_s, 0.0, scenario.duration_s);
        self.check_range(
            at,
            "traffic.to_s",
            traffic.to_s.unwrap_or(scenario.duration_s),
            traffic.from_s,
            scenario.duration_s,
        );
        self.check_range(at, "traffic.body", traffic.body as f64, 0.0, MAX_BODY_BYTES as f64);
    }

    fn check_event(&mut self, at: usize, event: &Event) {
        let scenario = self.scenario;
        self.check_range(at, "event.at_s", event.at_s, 0.0, scenario.duration_s);
        self.check_range(at, "event.for_s", event.for_s.unwrap_or(1.0), 0.0, 86_400.0);
        let is_endpoint_event = matches!(
            event.kind,
            EventKind::Silent
                | EventKind::Die
                | EventKind::Pause
                | EventKind::Slow
                | EventKind::Faults
                | EventKind::Drain
                | EventKind::Replace
        );
        let is_link_event = matches!(event.kind, EventKind::Part | EventKind::SlowLink);
        let is_sender_event = is_link_event
            || matches!(
                event.kind,
                EventKind::Kill
                    | EventKind::Restart
                    | EventKind::Freeze
                    | EventKind::DiskFull
                    | EventKind::Lose
            );
        let is_cut = event.kind == EventKind::Cut;
        let has_target = event.zone.is_some() || event.partner.is_some();
        let needs_duration = is_endpoint_event
            || is_cut
            || is_link_event
            || matches!(event.kind, EventKind::Freeze | EventKind::DiskFull | EventKind::Discovery);
        let is_broken = event.mode == Some(DiscoveryFailure::Broken);
        let mut report = |is_error: bool, message: &str| {
            if is_error {
                (self.report)(at, format!("event.{message}"));
            }
        };
        report(
            (is_endpoint_event || is_cut) && !has_target && event.sender.is_none(),
            "hall or event.partner: is missing",
        );
        report(
            event.zone.is_some() && event.partner.is_some(),
            "hall: cannot be combined with event.partner",
        );
        report(
            has_target && !is_endpoint_event && !is_cut,
            "hall and event.partner: do not apply to this kind of event",
        );
        report(
            event.sender.is_some() && !is_sender_event && !is_cut,
            "sender: does not apply to this kind of event",
        );
        report(is_sender_event && event.sender.is_none(), "sender: is missing");
        report(
            event.sender.is_some_and(|n| n >= scenario.senders.count),
            "sender: there is no such sender (counted from 0)",
        );
        report(
            event.other.is_some() != is_link_event,
            "other: is required for \"part\" and \"slow_link\" only",
        );
        report(
            event.other.is_some_and(|n| n >= scenario.senders.count),
            "other: there is no such sender (counted from 0)",
        );
        report(is_link_event && event.other == event.sender, "other: must differ from event.sender");
        report(event.one_way && event.kind != EventKind::Part, "one_way: applies to \"part\" only");
        report(
            (event.destination.is_some() || event.endpoint.is_some()) && !has_target,
            "destination: event.destination and event.endpoint require a target",
        );
        report(event.destination.is_some() && event.partner.is_none(), "destination: requires event.partner");
        report(needs_duration && !is_broken && event.for_s.is_none(), "for_s: is missing");
        report(
            event.times.is_some() != (event.kind == EventKind::Slow),
            "times: is required for \"slow\" only",
        );
        report(
            event.faults.is_some() != (event.kind == EventKind::Faults),
            "faults: is required for \"faults\" only",
        );
        report(
            event.mode.is_some() != (event.kind == EventKind::Discovery),
            "mode: is required for \"discovery\" only",
        );
        report(
            event.late_ms.is_some()
                != (event.mode == Some(DiscoveryFailure::Late) || event.kind == EventKind::SlowLink),
            "late_ms: is required for mode \"late\" and \"slow_link\" only",
        );
        let zones: BTreeSet<&str> = scenario.partner.iter().map(|p| p.get_ref().zone.as_str()).collect();
        if let Some(zone) = event.zone.as_deref().filter(|name| !zones.contains(name)) {
            (self.report)(at, format!("event.hall: no partner is in zone {zone:?}"));
        }
        if let Some(name) = &event.partner {
            self.check_partner(at, "event", name, event.destination);
        }
        if let Some(Err(why)) = event.faults.as_ref().map(Faults::check) {
            (self.report)(at, format!("event.faults.{why}"));
        }
        self.check_range(at, "event.times", event.times.unwrap_or(1.0), 0.001, 10_000.0);
        self.check_range(at, "event.late_ms", event.late_ms.unwrap_or(0) as f64, 0.0, 60_000.0);
    }
}

impl Scenario {
    /// Returns all destinations in order: the index of the partner and the number within it.
    pub fn destinations(&self) -> Vec<(usize, usize)> {
        let partners = self.partner.iter().enumerate();
        partners
            .flat_map(|(partner, entry)| {
                (0..entry.get_ref().destinations).map(move |number| (partner, number))
            })
            .collect()
    }

    /// Returns the features of this scenario that only virtual time supports.
    pub fn virtual_time_only(&self) -> Vec<String> {
        let events = self.event.iter().map(|e| e.get_ref());
        let is_virtual_time_only = |event: &&Event| {
            matches!(
                event.kind,
                EventKind::Cut
                    | EventKind::DiskFull
                    | EventKind::Lose
                    | EventKind::Part
                    | EventKind::SlowLink
            )
        };
        let copies =
            (self.senders.copies > 0).then(|| "senders.copies is supported in virtual time only".to_owned());
        let events = events
            .filter(is_virtual_time_only)
            .map(|e| format!("event at {} s: {:?} is supported in virtual time only", e.at_s, e.kind));
        events.chain(copies).collect()
    }

    /// Returns the zones in the order of their first occurrence.
    pub fn zones(&self) -> Vec<String> {
        let mut zones: Vec<String> = Vec::new();
        for zone in self.partner.iter().flat_map(|p| p.get_ref().zones()) {
            if !zones.contains(zone) {
                zones.push(zone.clone());
            }
        }
        zones
    }

    /// Returns the indexes (over all partners, from 0) of the destinations that match the given filters.
    pub fn select(
        &self,
        zone: Option<&str>,
        partner: Option<&str>,
        destination: Option<usize>,
    ) -> Vec<usize> {
        let matches = |(partner_index, number): (usize, usize)| {
            let entry = self.partner[partner_index].get_ref();
            zone.is_none_or(|zone| entry.zones().any(|name| name == zone))
                && partner.is_none_or(|name| entry.name == name)
                && destination.is_none_or(|wanted| wanted == number)
        };
        self.destinations()
            .into_iter()
            .enumerate()
            .filter(|(_, found)| matches(*found))
            .map(|(index, _)| index)
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID: &str = "name = \"x\"\nduration_s = 10.0\n[[class]]\nname = \"update\"\n\
        effect = \"idempotent\"\n\
        wanted_s = 1.0\ndeadline_s = 6.0\n[[partner]]\nname = \"shop\"\nhall = \"north\"\ndestinations = 2\n\
        [[traffic]]\nclass = \"update\"\nrate_per_s = 5.0\n[[event]]\nat_s = 2.0\ndo = \"silent\"\n\
        hall = \"north\"\nfor_s = 2.0\n";

    fn parse_text(text: &str) -> Result<Scenario, ScenarioError> {
        parse(text, "x.toml", PathBuf::new())
    }

    #[test]
    fn every_error_names_its_key_and_line() {
        assert!(parse_text(VALID).is_ok(), "{:?}", parse_text(VALID).err());
        for (from, to, expected) in [
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
            let text = VALID.replacen(from, to, 1);
            let errors = parse_text(&text).err().unwrap_or_else(|| panic!("{to} is accepted")).to_string();
            assert!(errors.contains(expected), "{to}: {errors}");
        }
        // All errors are reported at once.
        let text = VALID.replace("at_s = 2.0", "at_s = 11.0").replace("rate_per_s = 5.0", "");
        assert_eq!(parse_text(&text).expect_err("two mistakes").0.len(), 2);
    }

    #[test]
    fn trace_is_read_and_its_errors_are_reported() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("t.csv");
        let text = format!("{VALID}[replay]\nfile = \"t.csv\"\n");
        std::fs::write(&path, "# x\n2.5,update,,1,300\n0.5,update,,0,0\n").expect("written");
        let scenario = parse(&text, "x.toml", folder.path().to_owned()).expect("valid scenario");
        let found: Vec<_> =
            scenario.trace.iter().map(|entry| (entry.at_s, entry.destination, entry.body)).collect();
        assert_eq!(found, [(0.5, 0, 0), (2.5, 1, 300)]);
        for (line, expected) in [
            ("1,update,,2,0", "destination"),
            ("1,odd,,0,0", "class"),
            ("11,update,,0,0", "seconds"),
            ("1,update,,0,-1", "bytes"),
            ("1,update", "a line has"),
        ] {
            std::fs::write(&path, line).expect("written");
            let errors = parse(&text, "x.toml", folder.path().to_owned()).expect_err(line).to_string();
            assert!(errors.contains("t.csv:1") && errors.contains(expected), "{line}: {errors}");
        }
    }
}
