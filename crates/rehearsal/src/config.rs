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
    pub notes: Option<(SocketAddr, Vec<SocketAddr>, SocketAddr)>,
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
                "parallelTries": senders.parallel_tries, "peerMessages": addresses.notes.is_some(),
                "retryAfter": true},
            "classes": scenario.class.iter().map(|entry| {
                let class = entry.get_ref();
                json!({"name": class.name, "effect": class.effect, "group": "all",
                    "memorySpanS": class.memory_s, "sloS": class.wanted_s, "deadlineS": class.deadline_s,
                    "worth": class.worth, "lateShare": class.late_share})
            }).collect::<Vec<_>>(),
            "clients": {"marksRetry": true}, "discovery": "ask",
            "familyInfo": {
                "bundleMax": scenario.partner.iter().map(|p| p.get_ref().spec.bundle).collect::<Vec<_>>(),
                "kindApart": scenario.partner.iter().map(|p| p.get_ref().per_endpoint).collect::<Vec<_>>(),
                "fades": senders.fades, "slots": senders.slots},
            "kinds": scenario.partner.iter().map(|p| p.get_ref().name.clone()).collect::<Vec<_>>(),
            "locality": zones[sender % zones.len()], "me": sender, "overShareWorth": senders.over_share_worth,
            "parties": scenario.tenant.iter().map(|entry| {
                let tenant = entry.get_ref();
                json!({"name": tenant.name, "allowancePerS": tenant.allowance_per_s, "share": 1.0})
            }).collect::<Vec<_>>(),
            "siblings": senders.count, "tickS": senders.tick_ms / 1e3, "zones": zones,
        },
    });
    if !cold.is_empty() {
        // With several partners, the most sensitive values apply.
        config["settings"]["safety"] = json!({
            "coldS": cold.iter().map(|c| c.warm_s).fold(0.0, f64::max),
            "startCapacity": cold.iter().map(|c| c.start_share).fold(1.0, min),
            "overloadFactor": cold.iter().map(|c| c.fall_multiple).fold(1e3, min),
            "tipAfterS": cold.iter().map(|c| c.fall_after_s).fold(3_600.0, min),
        });
    }
    if let Some((own, all, broadcast)) = &addresses.notes {
        config["peer_listen"] = json!(own);
        config["peers"] = json!(all);
        config["peers_all"] = json!(broadcast);
    }
    format!("{config:#}\n")
}
