//! A payment that may have run, sent again on a salvaged folder: the record of its attempt was damaged, and
//! compaction had copied the message's own record behind the damage.

#[path = "../standins-2/world.rs"]
mod world;

use std::fs;
use std::sync::{Arc, Mutex};
use world::*;

const PAYMENT: u64 = 0x7004;
const TIMEOUT_MS: u64 = 23_000;
/// A frame's header has fewer bytes than this, and a frame with an attempt more.
const BYTE_IN_FRAME: usize = 30;

/// Where a record is in the log: its file, the offset of its frame, and its key behind the message's id.
#[derive(Clone, Debug, PartialEq)]
struct Place {
    file: String,
    offset: usize,
    key: String,
}

impl Place {
    /// The key of a record begins with its kind: `A` for an attempt.
    fn is_attempt(&self) -> bool {
        self.key.starts_with("41")
    }
}

/// Returns the records of the payment's message and attempts in the order written, as `store dump` lists them.
fn places(sender: &Sender) -> Result<Vec<Place>, Failure> {
    let (_, text) = sender.store(&["dump", "state"])?;
    let parse = |line: &str| {
        let (at, record) = line.split_once(": put messages ")?;
        let key = record.split(' ').next()?.strip_prefix(&format!("{PAYMENT:016x}"))?;
        let (file, rest) = at.split_once(", byte ")?;
        let offset = rest.split(',').next()?.parse().ok()?;
        Some(Place { file: file.to_owned(), offset, key: key.to_owned() })
    };
    Ok(text.lines().filter_map(parse).collect())
}

fn main() {
    run_case(|record, with_trouble| {
        let id = format!("{PAYMENT:016x}");
        let runs: Arc<Mutex<Vec<Call>>> = Arc::default();
        // The partner is down at first: its address refuses connections.
        let partner = free_address()?;
        let other = Endpoint::start(2, record, |_| Reply::Ok)?;
        let members = vec![
            member("s-1", partner, "small-shop", 3, "up"),
            member("s-2", other.address, "small-shop", 5, "up"),
        ];
        let platform = Platform::start(members, record)?;
        let classes = r#"{"effect":"idempotent","name":"status-update","sloS":1.0,"deadlineS":6.0,"worth":1.0},
            {"effect":"at_most_once","name":"order-payment","sloS":2.0,"deadlineS":24.0,"worth":3.0,
             "lateShare":0.3}"#;
        let settings = FleetSettings { senders: 1, disk_mb: 3, most_held: 230, classes: classes.into() };
        let mut fleet = Fleet::start(&settings, &platform, record)?;

        if fleet.senders[0].submit("order-payment", PAYMENT, 3, TIMEOUT_MS, b"pay 100 EUR") != 202 {
            return Err("the payment was not accepted".into());
        }
        // Other messages are delivered meanwhile, so that the log grows and is compacted.
        let mut next_id = 0x1_0000;
        let mut deliver = |sender: &Sender, count: usize| {
            for _ in 0..count {
                next_id += 1;
                sender.submit("status-update", next_id, 5, 5_000, &[b'u'; 20_000]);
                sleep_ms(15);
            }
        };
        deliver(&fleet.senders[0], 25);
        // Now the partner is up. It carries out a call and hangs before it answers; later calls are carried out and
        // answered.
        let (kept, log) = (runs.clone(), record.clone());
        let _partner = Endpoint::start_at(1, record, partner, move |call| {
            log.line(&format!("run: {}", call.id));
            let mut runs = lock(&kept);
            runs.push(call.clone());
            if runs.len() == 1 { Reply::Hang } else { Reply::Ok }
        })?;
        wait_for("the payment's run", 10_000, || !lock(&runs).is_empty())?;
        let attempt =
            places(&fleet.senders[0])?.pop().filter(Place::is_attempt).ok_or("no record of an attempt")?;
        // Until compaction has copied the message to a segment behind that of the attempt.
        let mut has_moved = false;
        for _ in 0..40 {
            deliver(&fleet.senders[0], 2);
            let places = places(&fleet.senders[0])?;
            let message = places.iter().rfind(|p| !p.is_attempt());
            has_moved = message.is_some_and(|m| m.file > attempt.file)
                && places.iter().rfind(|p| p.key == attempt.key) == Some(&attempt);
            if has_moved {
                break;
            }
        }
        for place in places(&fleet.senders[0])? {
            let what = if place.is_attempt() { "an attempt" } else { "the message" };
            record.line(&format!("log: {what} at {}, byte {}", place.file, place.offset));
        }
        if !has_moved {
            return Err("the log was not compacted as expected".into());
        }
        fleet.senders[0].kill();
        if with_trouble {
            let path = fleet.senders[0].state().join(&attempt.file);
            let mut bytes = fs::read(&path).map_err(|e| e.to_string())?;
            bytes[attempt.offset + BYTE_IN_FRAME] ^= 1;
            fs::write(&path, bytes).map_err(|e| e.to_string())?;
            record.line(&format!(
                "one byte of {} has changed, in the frame at {}",
                attempt.file, attempt.offset
            ));
            let (status, text) = fleet.senders[0].store(&["check", "state"])?;
            record.line(&format!("store check: status {status}: {text}"));
            if status != 1 {
                return Err("the damage was not found".into());
            }
            let (status, text) = fleet.senders[0].store(&["salvage", "state", "--to", "salvaged"])?;
            record.line(&format!("store salvage: status {status}: {}", text.replace('\n', "; ")));
            let state = fleet.senders[0].state();
            let at = |name: &str| state.with_file_name(name);
            let moved = fs::rename(&state, at("damaged")).and_then(|()| fs::rename(at("salvaged"), &state));
            moved.map_err(|e| e.to_string())?;
        }
        fleet.restart(0)?;
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
