//! A payment that may have run, taken over by a sender whose class table gives its tag another meaning.

#[path = "../standins-2/world.rs"]
mod world;

use std::sync::{Arc, Mutex};
use world::*;

const BEFORE: &str = r#""effect":"idempotent","name":"order-payment""#;
const AFTER: &str = r#""effect":"at_most_once","name":"order-payment""#;
const PAYMENT: u64 = 0x7001;
/// How long the payment may be delivered. The class allows 24 s.
const TIMEOUT_MS: u64 = 12_000;

fn main() {
    run_case(|record, with_trouble| {
        // Only for the report: one of the two disruptions alone.
        let only = std::env::var("ONLY").unwrap_or_default();
        let reloads = with_trouble && only != "loss";
        let loses = with_trouble && only != "reload";

        let id = format!("{PAYMENT:016x}");
        let runs: Arc<Mutex<Vec<Call>>> = Arc::default();
        let mut members = Vec::new();
        let mut endpoints = Vec::new();
        for number in 1..=2 {
            let (runs, id) = (runs.clone(), id.clone());
            // The first call is carried out, and the endpoint hangs before it answers. Later ones are answered.
            let endpoint = Endpoint::start(number, record, move |call| {
                if call.id != id {
                    return Reply::Ok;
                }
                let mut runs = lock(&runs);
                runs.push(call.clone());
                if runs.len() == 1 { Reply::Hang } else { Reply::Ok }
            })?;
            members.push(member(&format!("s-{number}"), endpoint.address, "small-shop", 3, "up"));
            endpoints.push(endpoint);
        }
        // Destination 9 has only an endpoint that drains: messages for it wait.
        let draining = Endpoint::start(9, record, |_| Reply::Ok)?;
        members.push(member("s-9", draining.address, "small-shop", 9, "draining"));
        let platform = Platform::start(members, record)?;
        let classes = format!(
            r#"{{"effect":"idempotent","name":"status-update","sloS":1.0,"deadlineS":6.0,"worth":1.0}},
               {{{},"sloS":2.0,"deadlineS":24.0,"worth":3.0,"lateShare":0.3}}"#,
            if reloads { BEFORE } else { AFTER }
        );
        let settings = FleetSettings {
            senders: 3,
            disk_mb: 64,
            most_held: 230,
            classes,
            holds_sockets: false,
            can_be_cut: false,
        };
        let mut fleet = Fleet::start(&settings, &platform, record)?;

        // The two senders that may take over hold a message of the class when the configuration changes.
        for (n, waiting) in [(1, 0x9001), (2, 0x9002)] {
            if fleet.senders[n].submit("order-payment", waiting, 9, TIMEOUT_MS, b"waits") != 202 {
                return Err("a waiting message was not accepted".into());
            }
        }
        // No sender gets SIGHUP in its first second.
        sleep_ms(1_500);
        if reloads {
            for sender in &mut fleet.senders {
                sender.reload(BEFORE, AFTER)?;
            }
            for sender in &fleet.senders {
                let name = &sender.name;
                wait_for(&format!("{name} to apply the configuration"), 5_000, || {
                    sender.has_logged("configuration reloaded")
                })?;
            }
            // A class is in use 1.2 s after the signal.
            sleep_ms(1_500);
        }
        if fleet.senders[0].submit("order-payment", PAYMENT, 3, TIMEOUT_MS, b"pay 100 EUR") != 202 {
            return Err("the payment was not accepted".into());
        }
        wait_for("the payment's first call", 5_000, || !lock(&runs).is_empty())?;
        sleep_ms(500);
        if loses {
            fleet.senders[0].lose()?;
        }
        let has_ended = || platform.notices().iter().any(|n| n.id == id) || lock(&runs).len() > 1;
        wait_for("the payment's end", TIMEOUT_MS + 5_000, has_ended)?;
        sleep_ms(1_000);
        fleet.check_alive()?;
        let runs = lock(&runs);
        Ok(if runs.len() > 1 {
            vec![format!("payment {id}, which must never take effect twice, ran {} times", runs.len())]
        } else {
            Vec::new()
        })
    })
}
