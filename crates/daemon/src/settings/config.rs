//! Reads `config.json` into the values that the program and the policy need. Unknown keys are ignored, since
//! later versions of the platform may add some. Waits are rounded up, deadlines down.

use crate::endpoint_list::EndpointList;
use notchpoint_policy::*;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// Why a configuration was rejected.
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
            Self::Value(error) => write!(f, "configuration: {error}"),
            Self::Settings(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for ConfigError {}

/// The configuration of a sender, which the platform writes.
#[derive(Debug)]
pub struct Config {
    /// The sender's name.
    pub name: String,
    /// Where clients connect.
    pub listen_addr: SocketAddr,
    /// Where operators connect, if they do.
    pub admin_addr: Option<SocketAddr>,
    /// Where the sender watches the endpoint list and posts notices.
    pub discovery_addr: SocketAddr,
    /// Where notes of other senders arrive.
    pub peer_listen_addr: Option<SocketAddr>,
    /// The addresses of the senders of the tier, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// This sender's number.
    pub own_number: u32,
    /// The address that reaches all senders of the tier at once.
    pub broadcast_addr: Option<SocketAddr>,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// The maximum memory of the process, in bytes.
    pub memory_bytes: u64,
    /// The maximum size of the state folder, in bytes.
    pub disk_bytes: u64,
    /// The endpoint list as it was when the configuration was written.
    pub initial_list: EndpointList,
    /// The settings of the policy.
    pub settings: Settings,
    pub names: Names,
}

/// The names that requests and endpoint lists use. The policy uses indexes instead.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

/// The layout of `config.json`.
#[derive(Deserialize)]
struct ConfigFile {
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
    limits: LimitsSection,
    #[serde(default)]
    known: EndpointList,
    settings: SettingsSection,
}

#[derive(Deserialize)]
struct LimitsSection {
    sockets: usize,
    memory_mb: f64,
    disk_mb: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsSection {
    bounds: BoundsSection,
    classes: Vec<ClassSection>,
    #[serde(default)]
    clients: ClientsSection,
    discovery: String,
    family_info: FamilyInfoSection,
    #[serde(default)]
    kinds: Vec<String>,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    me: u32,
    #[serde(default = "one_f64")]
    over_share_worth: f64,
    #[serde(default)]
    parties: Vec<PartySection>,
    #[serde(default)]
    safety: SafetySection,
    #[serde(default = "one_u32")]
    siblings: u32,
    #[serde(default)]
    tick_s: f64,
    #[serde(default)]
    zones: Vec<String>,
}

fn one_f64() -> f64 {
    1.0
}

fn one_u32() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct BoundsSection {
    #[serde(default)]
    cancelling: bool,
    conn_idle_s: f64,
    connect_timeout_s: f64,
    max_attempts: u32,
    #[serde(default)]
    max_retry_after_s: f64,
    most_held: u32,
    #[serde(default = "one_u32")]
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
struct ClassSection {
    name: String,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    memory_span_s: f64,
    slo_s: f64,
    deadline_s: f64,
    #[serde(default = "one_f64")]
    worth: f64,
    #[serde(default)]
    late_share: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClientsSection {
    #[serde(default)]
    marks_retry: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfoSection {
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
struct PartySection {
    name: String,
    allowance_per_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct SafetySection {
    start_capacity: f64,
    cold_s: f64,
    overload_factor: f64,
    tip_after_s: f64,
    key_rest_s: f64,
}

impl Default for SafetySection {
    fn default() -> Self {
        Self { start_capacity: 1.0, cold_s: 0.0, overload_factor: 1.0, tip_after_s: 0.0, key_rest_s: 0.0 }
    }
}

/// Converts seconds to microseconds, rounded by `round`. A value that differs from a whole number by no more
/// than the precision of a float is taken as that number.
fn to_micros(seconds: f64, round: fn(f64) -> f64) -> Result<Micros, ConfigError> {
    if !(0.0..=3.2e9).contains(&seconds) {
        return Err(ConfigError::Value(format!("time out of range: {seconds}")));
    }
    let micros = seconds * 1e6;
    Ok(if (micros - micros.round()).abs() < 1e-3 { micros.round() } else { round(micros) } as Micros)
}

fn round_up(seconds: f64) -> Result<Micros, ConfigError> {
    to_micros(seconds, f64::ceil)
}

fn round_down(seconds: f64) -> Result<Micros, ConfigError> {
    to_micros(seconds, f64::floor)
}

fn class(section: &ClassSection) -> Result<Class, ConfigError> {
    Ok(Class {
        effect: match section.effect.as_str() {
            "idempotent" => Effect::Idempotent,
            "deduplicated" => Effect::Deduplicated,
            "at_most_once" => Effect::AtMostOnce,
            other => return Err(ConfigError::Value(format!("unknown effect {other}"))),
        },
        dedup_scope: match section.group.as_str() {
            "" | "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            _ => DedupScope::Endpoint,
        },
        dedup_window: round_down(section.memory_span_s)?,
        target_time: round_down(section.slo_s)?,
        deadline: round_down(section.deadline_s)?,
        worth: section.worth,
        late_share: section.late_share,
        // The protocol has no field for the key of a message, so no class can be delivered in order.
        in_order: false,
    })
}

/// Reads the text of `config.json`.
pub fn read(text: &str) -> Result<Config, ConfigError> {
    let file: ConfigFile = serde_json::from_str(text).map_err(ConfigError::Json)?;
    let section = file.settings;
    let (bounds, info, safety) = (&section.bounds, &section.family_info, &section.safety);
    let kinds = if section.kinds.is_empty() { vec![String::new()] } else { section.kinds };
    let zone = section.zones.iter().position(|z| *z == section.locality);
    let settings = Settings {
        slots: info.slots,
        max_held: bounds.most_held,
        max_attempts: bounds.max_attempts,
        senders: section.siblings,
        zone: zone.map_or(u32::MAX, |z| z as u32),
        parallel_attempts: bounds.parallel_tries,
        may_cancel: bounds.cancelling,
        // The protocol has no probe request.
        may_probe: false,
        may_send_notes: bounds.peer_messages && file.peer_listen.is_some() && file.peers_all.is_some(),
        list: match section.discovery.as_str() {
            "push" => ListMode::Push,
            "ask" => ListMode::Ask,
            other => return Err(ConfigError::Value(format!("unknown discovery mode {other}"))),
        },
        classes: section.classes.iter().map(class).collect::<Result<_, _>>()?,
        tenant_allowances: section.parties.iter().map(|p| p.allowance_per_s.unwrap_or(f64::MAX)).collect(),
        over_share_worth: section.over_share_worth,
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
        clients_mark_retries: section.clients.marks_retry,
        start_capacity: safety.start_capacity,
        warm_up: round_up(safety.cold_s)?,
        overload_factor: safety.overload_factor,
        overload_after: round_down(safety.tip_after_s)?,
        key_rest: round_up(safety.key_rest_s)?,
        connect_timeout: round_up(bounds.connect_timeout_s)?,
        conn_idle: round_down(bounds.conn_idle_s)?,
        multiplex: bounds.multiplex,
        connections_reported: true,
        tick: round_up(section.tick_s)?,
        max_retry_after: if bounds.retry_after { round_down(bounds.max_retry_after_s)? } else { 0 },
    };
    settings.check().map_err(ConfigError::Settings)?;
    let seed = match &file.seed {
        serde_json::Value::String(s) => u64::from_str_radix(s, 16).ok(),
        other => other.as_u64(),
    };
    let names = Names {
        classes: section.classes.into_iter().map(|c| c.name).collect(),
        tenants: section.parties.into_iter().map(|p| p.name).collect(),
        kinds,
        zones: section.zones,
    };
    Ok(Config {
        name: file.name,
        listen_addr: file.listen,
        admin_addr: file.admin_addr,
        discovery_addr: file.discovery,
        peer_listen_addr: file.peer_listen,
        peers: file.peers,
        own_number: section.me,
        broadcast_addr: file.peers_all,
        seed: seed.ok_or_else(|| ConfigError::Value("the seed is neither hex nor a number".into()))?,
        max_descriptors: file.limits.sockets,
        memory_bytes: (file.limits.memory_mb.clamp(0.0, 1e9) * 1e6) as u64,
        // A megabyte is taken as 10^6 bytes: the smaller of the two readings is safe under both.
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
    fn settings_are_converted_to_the_units_of_the_module() {
        let config = read(TEXT).expect("a valid configuration");
        assert_eq!(
            (config.settings.slots, config.settings.tick, config.settings.conn_idle),
            (7, 5_000, 5_000_000)
        );
        assert_eq!(
            (config.settings.zone, config.settings.senders, config.seed),
            (1, 3, 0x8c1f_30d2_7a5b_e964)
        );
        assert_eq!(config.settings.kinds[0], Kind { per_endpoint: true, max_bundle: 20 });
        assert_eq!(
            (config.settings.classes[1].effect, config.settings.classes[1].deadline),
            (Effect::AtMostOnce, 24_000_000)
        );
        assert_eq!((config.disk_bytes, config.memory_bytes), (3_000_000, 192_000_000));
        assert_eq!((config.max_descriptors, config.initial_list.revision), (1024, 41));
    }

    #[test]
    fn invalid_values_are_rejected_without_a_panic() {
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
