//! Reads `config.json` into what the program and the module need. Unknown keys are passed over, since
//! settings may gain some; waits are rounded up, deadlines down.

use crate::endpoint_list::EndpointList;
use notchpoint_policy::*;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// Why the program cannot start.
#[derive(Debug)]
pub enum ConfigError {
    Json(serde_json::Error),
    Value(String),
    Settings(SettingsError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(e) => write!(f, "configuration cannot be read: {e}"),
            Self::Value(what) => write!(f, "configuration: {what}"),
            Self::Settings(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for ConfigError {}

/// What the platform tells a sender.
#[derive(Debug)]
pub struct Config {
    /// The sender's name.
    pub name: String,
    pub listen_addr: SocketAddr,
    /// Where operators call, if they do.
    pub admin_addr: Option<SocketAddr>,
    pub discovery_addr: SocketAddr,
    pub peer_listen_addr: Option<SocketAddr>,
    /// Senders of the tier, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// This one's number.
    pub own_number: u32,
    pub broadcast_addr: Option<SocketAddr>,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Bytes of memory that the process may take.
    pub memory_bytes: u64,
    /// Bytes that the lasting folder may hold.
    pub disk_bytes: u64,
    pub initial_list: EndpointList,
    pub settings: Settings,
    pub names: Names,
}

/// The names that requests and lists use and the module does not.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    admin_addr: Option<SocketAddr>,
    discovery: SocketAddr,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    seed: serde_json::Value,
    limits: Limits,
    #[serde(default)]
    known: EndpointList,
    settings: Told,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
    disk_mb: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Told {
    bounds: Bounds,
    classes: Vec<ClassTold>,
    #[serde(default)]
    clients: Clients,
    discovery: String,
    family_info: FamilyInfo,
    #[serde(default)]
    kinds: Vec<String>,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    me: u32,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default)]
    parties: Vec<Party>,
    #[serde(default)]
    safety: Safety,
    #[serde(default = "single")]
    siblings: u32,
    #[serde(default)]
    tick_s: f64,
    #[serde(default)]
    zones: Vec<String>,
}

fn one() -> f64 {
    1.0
}

fn single() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Bounds {
    #[serde(default)]
    cancelling: bool,
    conn_idle_s: f64,
    connect_timeout_s: f64,
    max_attempts: u32,
    #[serde(default)]
    max_retry_after_s: f64,
    most_held: u32,
    #[serde(default = "single")]
    multiplex: u32,
    #[serde(default)]
    parallel_tries: bool,
    #[serde(default)]
    peer_messages: bool,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassTold {
    name: String,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    memory_span_s: f64,
    slo_s: f64,
    deadline_s: f64,
    #[serde(default = "one")]
    worth: f64,
    #[serde(default)]
    late_share: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Clients {
    #[serde(default)]
    marks_retry: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    slots: u32,
    #[serde(default)]
    bundle_max: Vec<u32>,
    #[serde(default)]
    kind_apart: Vec<bool>,
    #[serde(default)]
    fades: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Party {
    name: String,
    allowance_per_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Safety {
    start_capacity: f64,
    cold_s: f64,
    overload_factor: f64,
    tip_after_s: f64,
    key_rest_s: f64,
}

impl Default for Safety {
    fn default() -> Self {
        Self { start_capacity: 1.0, cold_s: 0.0, overload_factor: 1.0, tip_after_s: 0.0, key_rest_s: 0.0 }
    }
}

/// Seconds to microseconds, rounded by `round`. What differs from a whole number by less than a float can
/// tell is that number.
fn span(seconds: f64, round: fn(f64) -> f64) -> Result<Micros, ConfigError> {
    if !(0.0..=3.2e9).contains(&seconds) {
        return Err(ConfigError::Value(format!("time out of range: {seconds}")));
    }
    let x = seconds * 1e6;
    Ok(if (x - x.round()).abs() < 1e-3 { x.round() } else { round(x) } as Micros)
}

fn up(seconds: f64) -> Result<Micros, ConfigError> {
    span(seconds, f64::ceil)
}

fn down(seconds: f64) -> Result<Micros, ConfigError> {
    span(seconds, f64::floor)
}

fn class(c: &ClassTold) -> Result<Class, ConfigError> {
    Ok(Class {
        effect: match c.effect.as_str() {
            "idempotent" => Effect::Idempotent,
            "deduplicated" => Effect::Deduplicated,
            "at_most_once" => Effect::AtMostOnce,
            other => return Err(ConfigError::Value(format!("unknown effect {other}"))),
        },
        dedup_scope: match c.group.as_str() {
            "" | "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            _ => DedupScope::Endpoint,
        },
        dedup_window: down(c.memory_span_s)?,
        target_time: down(c.slo_s)?,
        deadline: down(c.deadline_s)?,
        worth: c.worth,
        late_share: c.late_share,
        // The protocol gives clients no place to name a message's key, so no class can be kept in order.
        in_order: false,
    })
}

/// Reads the text of `config.json`.
pub fn read(text: &str) -> Result<Config, ConfigError> {
    let file: File = serde_json::from_str(text).map_err(ConfigError::Json)?;
    let told = file.settings;
    let (b, info, safety) = (&told.bounds, &told.family_info, &told.safety);
    let kinds = if told.kinds.is_empty() { vec![String::new()] } else { told.kinds };
    let zone = told.zones.iter().position(|z| *z == told.locality);
    let settings = Settings {
        slots: info.slots,
        max_held: b.most_held,
        max_attempts: b.max_attempts,
        senders: told.siblings,
        zone: zone.map_or(u32::MAX, |z| z as u32),
        parallel_attempts: b.parallel_tries,
        may_cancel: b.cancelling,
        // The protocol has no probe.
        may_probe: false,
        may_send_notes: b.peer_messages && file.peer_listen.is_some() && file.peers_all.is_some(),
        list: match told.discovery.as_str() {
            "push" => ListMode::Push,
            "ask" => ListMode::Ask,
            other => return Err(ConfigError::Value(format!("unknown discovery mode {other}"))),
        },
        classes: told.classes.iter().map(class).collect::<Result<_, _>>()?,
        tenant_allowances: told.parties.iter().map(|p| p.allowance_per_s.unwrap_or(f64::MAX)).collect(),
        over_share_worth: told.over_share_worth,
        kinds: (0..kinds.len())
            .map(|i| Kind {
                per_endpoint: info.kind_apart.get(i).copied().unwrap_or(false),
                max_bundle: info.bundle_max.get(i).copied().unwrap_or(1).max(1),
            })
            .collect(),
        worth_decay: match info.fades.as_deref() {
            None | Some("even") => WorthDecay::Linear,
            Some("by_half") => WorthDecay::Halving,
            Some(other) => return Err(ConfigError::Value(format!("unknown fade {other}"))),
        },
        clients_mark_retries: told.clients.marks_retry,
        start_capacity: safety.start_capacity,
        warm_up: up(safety.cold_s)?,
        overload_factor: safety.overload_factor,
        overload_after: down(safety.tip_after_s)?,
        key_rest: up(safety.key_rest_s)?,
        connect_timeout: up(b.connect_timeout_s)?,
        conn_idle: down(b.conn_idle_s)?,
        multiplex: b.multiplex,
        connections_reported: true,
        tick: up(told.tick_s)?,
        max_retry_after: if b.retry_after { down(b.max_retry_after_s)? } else { 0 },
    };
    settings.check().map_err(ConfigError::Settings)?;
    let seed = match &file.seed {
        serde_json::Value::String(s) => u64::from_str_radix(s, 16).ok(),
        other => other.as_u64(),
    };
    let names = Names {
        classes: told.classes.into_iter().map(|c| c.name).collect(),
        tenants: told.parties.into_iter().map(|p| p.name).collect(),
        kinds,
        zones: told.zones,
    };
    Ok(Config {
        name: file.name,
        listen_addr: file.listen,
        admin_addr: file.admin_addr,
        discovery_addr: file.discovery,
        peer_listen_addr: file.peer_listen,
        peers: file.peers,
        own_number: told.me,
        broadcast_addr: file.peers_all,
        seed: seed.ok_or_else(|| ConfigError::Value("the seed is neither hex nor a number".into()))?,
        max_descriptors: file.limits.sockets,
        memory_bytes: (file.limits.memory_mb.clamp(0.0, 1e9) * 1e6) as u64,
        // Of the readings of 'megabyte' the smaller one is safe under both.
        disk_bytes: (file.limits.disk_mb.clamp(0.0, 1e6) * 1e6) as u64,
        initial_list: file.known,
        settings,
        names,
    })
}

#[cfg(test)]
pub mod tests {
    use super::*;

    pub const TEXT: &str = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
        "seed":"8c1f30d27a5be964",
        "limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},"novel":1,
        "peer_listen":"127.0.0.1:0","peers":["127.0.0.1:2"],"peers_all":"127.0.0.1:3",
        "known":{"revision":41,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:4",
            "locality":"b",
            "flavor":"shop","cell":3,"phase":"up","size":1.0,"up_since_ms":0}]},
        "settings":{"bounds":{"cancelling":true,"connIdleS":5.0,"connectTimeoutS":1.5,"maxAttempts":8,
            "maxRetryAfterS":2.0,"mostHeld":230,"multiplex":1,"parallelTries":true,"peerMessages":true,
            "retryAfter":true},
          "classes":[{"name":"update","effect":"idempotent","group":"all","memorySpanS":5.0,"sloS":1.0,
            "deadlineS":6.0,"worth":1.0,"lateShare":0.0},{"name":"payment","effect":"at_most_once",
            "sloS":2.0,"deadlineS":24.0,"worth":3.0,"lateShare":0.3}],
          "clients":{"marksRetry":true},"discovery":"ask",
          "familyInfo":{"bundleMax":[20,1],"fades":"by_half","kindApart":[true,false],"slots":7},
          "kinds":["chain","shop"],"locality":"b","me":0,"overShareWorth":0.2,
          "parties":[{"allowancePerS":24.0,"name":"acme","share":1.0}],
          "safety":{"coldS":9.2,"startCapacity":0.17,"overloadFactor":2.0,"tipAfterS":2.0},
          "siblings":3,"tickS":0.005,"zones":["a","b"]}}"#;

    #[test]
    fn settings_are_read_with_their_units() {
        let c = read(TEXT).expect("sound");
        assert_eq!((c.settings.slots, c.settings.tick, c.settings.conn_idle), (7, 5_000, 5_000_000));
        assert_eq!((c.settings.zone, c.settings.senders, c.seed), (1, 3, 0x8c1f_30d2_7a5b_e964));
        assert_eq!(c.settings.kinds[0], Kind { per_endpoint: true, max_bundle: 20 });
        assert_eq!(
            (c.settings.classes[1].effect, c.settings.classes[1].deadline),
            (Effect::AtMostOnce, 24_000_000)
        );
        assert_eq!((c.disk_bytes, c.memory_bytes), (3_000_000, 192_000_000));
        assert_eq!((c.max_descriptors, c.initial_list.revision), (1024, 41));
    }

    #[test]
    fn what_makes_no_sense_is_said_and_never_panics() {
        for (from, to) in [
            ("\"slots\":7", "\"slots\":0"),
            ("\"tickS\":0.005", "\"tickS\":-1"),
            ("idempotent", "odd"),
            ("8c1f30d27a5be964", "not hex"),
            ("127.0.0.1:0", "nowhere"),
        ] {
            assert!(read(&TEXT.replace(from, to)).is_err(), "{to}");
        }
        assert!(read("").is_err() && read("{}").is_err());
    }
}
