//! What a sender is told, in the platform's form.

use crate::client::mix;
use crate::scenario::Scenario;
use serde_json::json;
use std::net::SocketAddr;

/// Addresses of one sender.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where its discovery is.
    pub discovery: SocketAddr,
    /// Where it hears notes; all senders', in their order, its own among them; and everybody's.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>, SocketAddr)>,
}

/// The text of `config.json` for a sender's n-th life.
pub fn text(
    s: &Scenario,
    sender: usize,
    life: u32,
    at: &Addresses,
    known: &serde_json::Value,
    seed: u64,
) -> String {
    let set = &s.senders;
    let halls = s.halls();
    let cold: Vec<_> = s.partner.iter().filter_map(|p| p.get_ref().is.cold).collect();
    // Of several partners the most delicate one counts.
    let least = |x: f64, y: f64| x.min(y);
    let seed = mix(seed, mix(sender as u64 + 7, u64::from(life)));
    let mut config = json!({
        "name": format!("n{sender}"), "listen": at.listen, "discovery": at.discovery,
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": set.memory_mb, "sockets": set.sockets, "disk_mb": set.disk_mb},
        "known": known,
        "settings": {
            "bounds": {"cancelling": set.cancelling, "connIdleS": set.conn_idle_s,
                "connectTimeoutS": set.connect_timeout_s, "maxAttempts": set.max_attempts,
                "maxRetryAfterS": set.max_retry_after_s, "mostHeld": set.most_held, "multiplex": 1,
                "parallelTries": set.parallel_tries, "peerMessages": at.peers.is_some(), "retryAfter": true},
            "classes": s.class.iter().map(|c| {
                let c = c.get_ref();
                json!({"name": c.name, "effect": c.effect, "group": "all", "memorySpanS": c.memory_s,
                    "sloS": c.wanted_s, "deadlineS": c.deadline_s, "worth": c.worth,
                    "lateShare": c.late_share})
            }).collect::<Vec<_>>(),
            "clients": {"marksRetry": true}, "discovery": "ask",
            "familyInfo": {
                "bundleMax": s.partner.iter().map(|p| p.get_ref().is.bundle).collect::<Vec<_>>(),
                "kindApart": s.partner.iter().map(|p| p.get_ref().apart).collect::<Vec<_>>(),
                "fades": set.fades, "slots": set.slots},
            "kinds": s.partner.iter().map(|p| p.get_ref().name.clone()).collect::<Vec<_>>(),
            "locality": halls[sender % halls.len()], "me": sender, "overShareWorth": set.over_share_worth,
            "parties": s.tenant.iter().map(|t| {
                let t = t.get_ref();
                json!({"name": t.name, "allowancePerS": t.allowance_per_s, "share": 1.0})
            }).collect::<Vec<_>>(),
            "siblings": set.count, "tickS": set.tick_ms / 1e3, "zones": halls,
        },
    });
    if !cold.is_empty() {
        config["settings"]["safety"] = json!({
            "coldS": cold.iter().map(|c| c.warm_s).fold(0.0, f64::max),
            "startCapacity": cold.iter().map(|c| c.start_share).fold(1.0, least),
            "overloadFactor": cold.iter().map(|c| c.fall_multiple).fold(1e3, least),
            "tipAfterS": cold.iter().map(|c| c.fall_after_s).fold(3_600.0, least),
        });
    }
    if let Some((listen, peers, all)) = &at.peers {
        config["peer_listen"] = json!(listen);
        config["peers"] = json!(peers);
        config["peers_all"] = json!(all);
    }
    format!("{config:#}\n")
}
