//! A keyed message that may have run, sent again by the sender that took it over after its destination has
//! forgotten the key.

#[path = "../standins-2/world.rs"]
mod world;

use std::sync::{Arc, Mutex};
use world::*;

const MESSAGE: u64 = 0x7002;
const TIMEOUT_MS: u64 = 20_000;
/// How long the destination remembers a key (`memorySpanS`), and the 50 ms that each time limit is longer.
const MEMORY_S: f64 = 5.0;
const SLACK_S: f64 = 0.05;
/// When the cut ends, and when the owner is lost, in milliseconds after the first call.
const CUT_FOR_MS: u64 = 1_400;
const LOST_AT_MS: u64 = 3_800;

#[derive(Default)]
struct Destination {
    calls: Vec<f64>,
    runs: Vec<f64>,
}

fn main() {
    run_case(|record, with_trouble| {
        // Only for the report: one of the two disruptions alone.
        let only = std::env::var("ONLY").unwrap_or_default();
        let cuts = with_trouble && only != "loss";
        let loses = with_trouble && only != "cut";

        let id = format!("{MESSAGE:016x}");
        let destination: Arc<Mutex<Destination>> = Arc::default();
        let mut members = Vec::new();
        let mut endpoints = Vec::new();
        for number in 1..=2 {
            let (shared, log) = (destination.clone(), record.clone());
            // Both endpoints share the memory of keys (group `all`). The first call is carried out, and the
            // endpoint hangs before it answers.
            let endpoint = Endpoint::start(number, record, move |call| {
                let mut destination = lock(&shared);
                let is_remembered = destination.runs.last().is_some_and(|run| call.at - run <= MEMORY_S);
                destination.calls.push(call.at);
                if is_remembered {
                    log.line(&format!("repeat: {} is dropped, its key is remembered", call.id));
                } else {
                    log.line(&format!("run: {}", call.id));
                    destination.runs.push(call.at);
                }
                if destination.calls.len() == 1 { Reply::Hang } else { Reply::Ok }
            })?;
            members.push(member(&format!("s-{number}"), endpoint.address, "small-shop", 3, "up"));
            endpoints.push(endpoint);
        }
        let platform = Platform::start(members, record)?;
        let classes = r#"{"effect":"idempotent","name":"status-update","sloS":1.0,"deadlineS":6.0,"worth":1.0},
            {"effect":"deduplicated","group":"all","memorySpanS":5.0,"name":"order-payment","sloS":2.0,
             "deadlineS":24.0,"worth":3.0,"lateShare":0.3}"#;
        let settings = FleetSettings {
            senders: 3,
            disk_mb: 64,
            most_held: 230,
            classes: classes.into(),
            holds_sockets: false,
            can_be_cut: true,
        };
        let mut fleet = Fleet::start(&settings, &platform, record)?;

        if cuts {
            fleet.cut_last(true);
        }
        if fleet.senders[0].submit("order-payment", MESSAGE, 3, TIMEOUT_MS, b"pay 100 EUR") != 202 {
            return Err("the message was not accepted".into());
        }
        wait_for("the first call", 5_000, || !lock(&destination).calls.is_empty())?;
        let first = lock(&destination).calls[0];
        let wait_until = |ms: u64| {
            let left = first + ms as f64 / 1e3 - record.now();
            sleep_ms((left.max(0.0) * 1e3) as u64);
        };
        wait_until(CUT_FOR_MS);
        if cuts {
            fleet.cut_last(false);
        }
        wait_until(LOST_AT_MS);
        if loses {
            fleet.senders[0].lose()?;
        }
        let has_ended =
            || platform.notices().iter().any(|n| n.id == id) || lock(&destination).calls.len() > 1;
        wait_for("the message's end", TIMEOUT_MS + 5_000, has_ended)?;
        sleep_ms(1_000);
        fleet.check_alive()?;
        let destination = lock(&destination);
        let late: Vec<String> = destination
            .calls
            .iter()
            .map(|at| at - destination.runs[0])
            .filter(|age| *age > MEMORY_S + SLACK_S)
            .map(|age| {
                format!(
                    "keyed message {id} was sent again {age:.2} s after its first call, of which the key is \
                         remembered for {MEMORY_S} s, and ran again"
                )
            })
            .collect();
        Ok(late)
    })
}
