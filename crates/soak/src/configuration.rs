//! The configuration of senders, and the load that partners can take according to it.

use crate::note_network::NoteNetwork;
use crate::observations::{DEDUP_WINDOW, SlowStart};
use crate::partners::FIRST_REVISION;
use crate::topology::is_limited_per_endpoint;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of open descriptors of a sender.
pub const DESCRIPTORS: usize = 256;
/// Maximum memory of a sender, in megabytes.
pub const MEMORY_MB: u64 = 192;
/// Capacity of a destination as a multiple of the messages that are submitted for it. The other parameters of
/// its slow start, which follow, are in the section `safety` of the configuration.
const HEADROOM: f64 = 10.0 / 7.0;
/// Time after an outage until a destination has its full capacity.
const WARM_UP: Duration = Duration::from_millis(9_200);
/// Share of its capacity directly after an outage.
const START_SHARE: f64 = 0.17;
/// Multiple of its current capacity that overloads it when it lasts for [`OVERLOAD_WINDOW`].
const OVERLOAD_FACTOR: f64 = 2.0;
/// Time over which the calls to a destination are counted for its overload.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(2);

/// Addresses of a sender and of its list service.
pub struct Addresses {
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address on which it receives notes.
    pub notes: SocketAddr,
    /// Two instances of the list service. Each reload changes from one to the other.
    pub discovery: [SocketAddr; 2],
}

/// Returns the configuration of a sender after this number of reloads.
pub fn text(
    number: usize,
    seed: u64,
    addresses: &Addresses,
    notes: &NoteNetwork,
    members: &str,
    reloads: usize,
) -> String {
    let Addresses { listen, notes: own, discovery } = addresses;
    let discovery = discovery[reloads % 2];
    // Each reload also changes the target time of a class.
    let target_time = if reloads.is_multiple_of(2) { 1.0 } else { 1.1 };
    let admin = SocketAddr::new(listen.ip(), 0);
    let peers: Vec<String> = notes.peers[number].iter().map(|peer| format!("\"{peer}\"")).collect();
    let (peers, siblings, broadcast) = (peers.join(","), peers.len(), notes.to_all[number]);
    let (warm_up, overload_window, dedup_window) =
        (WARM_UP.as_secs_f64(), OVERLOAD_WINDOW.as_secs_f64(), DEDUP_WINDOW.as_secs_f64());
    format!(
        r#"{{"name": "n{number}", "listen": "{listen}", "admin_addr": "{admin}",
 "discovery": "{discovery}", "seed": "{seed:016x}",
 "limits": {{"cores": 1.0, "memory_mb": {MEMORY_MB}, "sockets": {DESCRIPTORS}, "disk_mb": 3}},
 "peer_listen": "{own}", "peers": [{peers}], "peers_all": "{broadcast}",
 "known": {{"revision": {FIRST_REVISION}, "complete": true, "members": [{members}]}},
 "settings": {{
  "bounds": {{"cancelling": true, "connIdleS": 5.0, "connectTimeoutS": 1.5, "maxAttempts": 8,
    "maxRetryAfterS": 2.0, "mostHeld": 230, "multiplex": 1, "parallelTries": true, "peerMessages": true,
    "retryAfter": true}},
  "classes": [
    {{"name": "update", "effect": "idempotent", "sloS": {target_time}, "deadlineS": 6.0, "worth": 1.0}},
    {{"name": "keyed", "effect": "deduplicated", "group": "all", "memorySpanS": {dedup_window}, "sloS": 1.0,
      "deadlineS": 6.0, "worth": 2.0}},
    {{"name": "payment", "effect": "at_most_once", "sloS": 2.0, "deadlineS": 6.0, "worth": 3.0}}],
  "clients": {{"marksRetry": true}}, "discovery": "ask",
  "familyInfo": {{"bundleMax": [1, 20], "fades": "by_half", "kindApart": [false, true], "slots": 7}},
  "kinds": ["shop", "chain"], "locality": "a", "me": {number}, "overShareWorth": 0.2,
  "parties": [{{"allowancePerS": 24.0, "name": "acme", "share": 1.0}}],
  "safety": {{"coldS": {warm_up}, "startCapacity": {START_SHARE}, "overloadFactor": {OVERLOAD_FACTOR},
    "tipAfterS": {overload_window}}},
  "siblings": {siblings}, "tickS": 0.005, "zones": ["a"]}}}}"#
    )
}

/// Returns the load that a route can take after an outage, if this number of messages a second is submitted
/// for its destination.
pub fn slow_start(arrivals_per_s: f64, route: usize) -> SlowStart {
    let endpoints = if is_limited_per_endpoint(route / 2) { 2.0 } else { 1.0 };
    SlowStart {
        capacity: arrivals_per_s * HEADROOM / endpoints,
        start_share: START_SHARE,
        warm_up: WARM_UP,
        overload_factor: OVERLOAD_FACTOR,
        window: OVERLOAD_WINDOW,
    }
}
