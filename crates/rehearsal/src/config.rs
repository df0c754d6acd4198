//! Builds the configuration of a sender in the platform's format.

use crate::client::mix;
use crate::scenario::Scenario;
use serde_json::json;
use std::net::SocketAddr;

/// Addresses for one sender.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Address on which it accepts clients.
    pub listen: SocketAddr,
    /// Address of its discovery service.
    pub discovery: SocketAddr,
    /// Addresses for notes: its own, those of all senders in order (including its own), and the broadcast
    /// address.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>, SocketAddr)>,
}

/// Returns the text of `config.json` for a sender's n-th process lifetime.
pub fn config_text(
    scenario: &Scenario,
    sender: usize,
    lifetime: u32,
    addresses: &Addresses,
    known: &serde_json::Value,
    seed: u64,
) -> String {
    let senders = &scenario.senders;
    let zones = scenario.zones();
    let cold: Vec<_> = scenario.partner.iter().filter_map(|p| p.get_ref().spec.cold).collect();
    // With several partners, the most sensitive values apply.
    let min = |x: f64, y: f64| x.min(y);
    let seed = mix(seed, mix(sender as u64 + 7, u64::from(lifetime)));
    let mut config = json!({
        "name": format!("n{sender}"), "listen": addresses.listen, "discovery": addresses.discovery,
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": senders.memory_mb, "sockets": senders.sockets,
            "disk_mb": senders.disk_mb},
        "known": known,
        "settings": {
            "bounds": {"cancelling": senders.cancelling, "connIdleS": senders.conn_idle_s,
                "connectTimeoutS": senders.connect_timeout_s, "maxAttempts": senders.max_attempts,
                "maxRetryAfterS": senders.max_retry_after_s, "mostHeld": senders.most_held, "multiplex": 1,
                "parallelTries": senders.parallel_tries, "peerMessages": addresses.peers.is_some(),
                "retryAfter": true},
            "classes": scenario.class.iter().map(|c| {
                let c = c.get_ref();
                json!({"name": c.name, "effect": c.effect, "group": "all", "memorySpanS": c.memory_s,
                    "sloS": c.wanted_s, "deadlineS": c.deadline_s, "worth": c.worth,
                    "lateShare": c.late_share})
            }).collect::<Vec<_>>(),
            "clients": {"marksRetry": true}, "discovery": "ask",
            "familyInfo": {
                "bundleMax": scenario.partner.iter().map(|p| p.get_ref().spec.bundle).collect::<Vec<_>>(),
                "kindApart": scenario.partner.iter().map(|p| p.get_ref().per_endpoint).collect::<Vec<_>>(),
                "fades": senders.fades, "slots": senders.slots},
            "kinds": scenario.partner.iter().map(|p| p.get_ref().name.clone()).collect::<Vec<_>>(),
            "locality": zones[sender % zones.len()], "me": sender, "overShareWorth": senders.over_share_worth,
            "parties": scenario.tenant.iter().map(|t| {
                let t = t.get_ref();
                json!({"name": t.name, "allowancePerS": t.allowance_per_s, "share": 1.0})
            }).collect::<Vec<_>>(),
            "siblings": senders.count, "tickS": senders.tick_ms / 1e3, "zones": zones,
        },
    });
    if !cold.is_empty() {
        config["settings"]["safety"] = json!({
            "coldS": cold.iter().map(|c| c.warm_s).fold(0.0, f64::max),
            "startCapacity": cold.iter().map(|c| c.start_share).fold(1.0, min),
            "overloadFactor": cold.iter().map(|c| c.fall_multiple).fold(1e3, min),
            "tipAfterS": cold.iter().map(|c| c.fall_after_s).fold(3_600.0, min),
        });
    }
    if let Some((listen, peers, all)) = &addresses.peers {
        config["peer_listen"] = json!(listen);
        config["peers"] = json!(peers);
        config["peers_all"] = json!(all);
    }
    format!("{config:#}\n")
}
