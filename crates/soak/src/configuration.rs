//! The configuration that senders are given, and what its figures say of partners.

use crate::book::{KEY_WINDOW, SlowStart};
use crate::notes::Notes;
use crate::partners::FIRST_REVISION;
use crate::topology::is_apart;
use std::net::SocketAddr;
use std::time::Duration;

/// Descriptors that a sender may hold.
pub const DESCRIPTORS: usize = 256;
/// Memory that a sender may hold, in megabytes.
pub const MEMORY_MB: u64 = 192;
/// What destinations bear: so many times what comes in for them, and see `safety` in the configuration.
const HEADROOM: f64 = 10.0 / 7.0;
const COLD: Duration = Duration::from_millis(9_200);
const START_SHARE: f64 = 0.17;
const OVERLOAD_FACTOR: f64 = 2.0;
const TIP_AFTER: Duration = Duration::from_secs(2);

/// Where a sender finds its neighbours.
pub struct Place {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where it hears notes.
    pub notes: SocketAddr,
    /// Two places of the list service; reloads move from one to the other.
    pub discovery: [SocketAddr; 2],
}

/// The configuration of a sender, after so many reloads.
pub fn text(number: usize, seed: u64, place: &Place, notes: &Notes, members: &str, reloads: usize) -> String {
    let Place { listen, notes: own, discovery } = place;
    let discovery = discovery[reloads % 2];
    // Something of a class changes with each reload.
    let wanted = if reloads.is_multiple_of(2) { 1.0 } else { 1.1 };
    let operators = SocketAddr::new(listen.ip(), 0);
    let peers: Vec<String> = notes.peers[number].iter().map(|peer| format!("\"{peer}\"")).collect();
    let (peers, siblings, to_all) = (peers.join(","), peers.len(), notes.to_all[number]);
    let (cold, tip, window) = (COLD.as_secs_f64(), TIP_AFTER.as_secs_f64(), KEY_WINDOW.as_secs_f64());
    format!(
        r#"{{"name": "n{number}", "listen": "{listen}", "admin_addr": "{operators}",
 "discovery": "{discovery}", "seed": "{seed:016x}",
 "limits": {{"cores": 1.0, "memory_mb": {MEMORY_MB}, "sockets": {DESCRIPTORS}, "disk_mb": 3}},
 "peer_listen": "{own}", "peers": [{peers}], "peers_all": "{to_all}",
 "known": {{"revision": {FIRST_REVISION}, "complete": true, "members": [{members}]}},
 "settings": {{
  "bounds": {{"cancelling": true, "connIdleS": 5.0, "connectTimeoutS": 1.5, "maxAttempts": 8,
    "maxRetryAfterS": 2.0, "mostHeld": 230, "multiplex": 1, "parallelTries": true, "peerMessages": true,
    "retryAfter": true}},
  "classes": [
    {{"name": "update", "effect": "idempotent", "sloS": {wanted}, "deadlineS": 6.0, "worth": 1.0}},
    {{"name": "keyed", "effect": "deduplicated", "group": "all", "memorySpanS": {window}, "sloS": 1.0,
      "deadlineS": 6.0, "worth": 2.0}},
    {{"name": "payment", "effect": "at_most_once", "sloS": 2.0, "deadlineS": 6.0, "worth": 3.0}}],
  "clients": {{"marksRetry": true}}, "discovery": "ask",
  "familyInfo": {{"bundleMax": [1, 20], "fades": "by_half", "kindApart": [false, true], "slots": 7}},
  "kinds": ["shop", "chain"], "locality": "a", "me": {number}, "overShareWorth": 0.2,
  "parties": [{{"allowancePerS": 24.0, "name": "acme", "share": 1.0}}],
  "safety": {{"coldS": {cold}, "startCapacity": {START_SHARE}, "overloadFactor": {OVERLOAD_FACTOR},
    "tipAfterS": {tip}}},
  "siblings": {siblings}, "tickS": 0.005, "zones": ["a"]}}}}"#
    )
}

/// What a route bears after an outage, where so many messages a second come in for its destination.
pub fn slow_start(comes: f64, route: usize) -> SlowStart {
    let endpoints = if is_apart(route / 2) { 2.0 } else { 1.0 };
    SlowStart {
        capacity: comes * HEADROOM / endpoints,
        start_share: START_SHARE,
        cold: COLD,
        factor: OVERLOAD_FACTOR,
        window: TIP_AFTER,
    }
}
