//! What several processes find together of a zone that fails.

use crate::fleet::{Fleet, Wanted};
use crate::world::{Client, until};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

const SENDERS: usize = 6;

fn fleet() -> Fleet {
    Fleet::with(&Wanted { notes: true, zones: true, ..Wanted::of(SENDERS, 0) })
}

/// Messages to all three destinations, at each of these senders, until it is dropped.
struct Load {
    over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    fn on(fleet: &Fleet, senders: impl Iterator<Item = usize>) -> Self {
        let over = Arc::<AtomicBool>::default();
        let client = |i: usize| {
            let (address, over) = (fleet.senders[i].address, over.clone());
            std::thread::spawn(move || {
                let mut client = Client::new(address);
                for n in 0.. {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = 1_000_000 * (i as u64 + 1) + n;
                    client.hand_in("update", id, 3 + n % 3, 5_000, b"hello");
                    std::thread::sleep(Duration::from_millis(15));
                }
            })
        };
        let clients = senders.map(client).collect();
        Self { over, clients }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.clients.drain(..).for_each(|c| drop(c.join()));
    }
}

const FAILING: &str = "zones: b is failing";
const ALONE: &str = "zones: this sender hears no other";

fn all_say(fleet: &Fleet, what: &str) {
    (0..SENDERS).for_each(|i| fleet.says(i, what));
}

fn nobody_said(fleet: &Fleet, what: &str) {
    (0..SENDERS).for_each(|i| assert_eq!(fleet.said(i, what), 0, "n{i}: {what}"));
}

#[test]
fn a_zone_that_fails_is_found_failing_by_all_and_serving_again_once_it_is() {
    let fleet = fleet();
    let _load = Load::on(&fleet, 0..SENDERS);
    until("calls", || fleet.status_of(5, "zones").is_some_and(|z| z["found"]["b"]["standing"] == "serving"));
    fleet.down('b', true);
    all_say(&fleet, FAILING);
    nobody_said(&fleet, "zones: c is failing");
    let told = fleet.status_of(0, "zones").expect("a status");
    assert_eq!(told["found"]["b"]["standing"], "failing");
    fleet.down('b', false);
    all_say(&fleet, "zones: b is serving");
}

#[test]
fn on_one_senders_word_no_zone_is_found_failing() {
    let fleet = fleet();
    fleet.down('b', true);
    // Only one sender sees anything of it; the others hear what that one says.
    let _load = Load::on(&fleet, 0..1);
    all_say(&fleet, "zones: b is doubted");
    // And go on to hear it.
    let changes = |i| fleet.status_of(i, "zones").map(|z| z["found"]["b"]["failed"].as_f64());
    until("more of it", || (0..SENDERS).all(|i| changes(i).flatten().is_some_and(|n| n > 4.0)));
    nobody_said(&fleet, FAILING);
}

#[test]
fn a_sender_that_hears_no_other_finds_nothing_and_what_it_missed_once_it_does() {
    let fleet = fleet();
    (0..SENDERS).for_each(|i| fleet.cut_off(i));
    fleet.down('b', true);
    let _load = Load::on(&fleet, 0..SENDERS);
    all_say(&fleet, ALONE);
    nobody_said(&fleet, FAILING);
    fleet.heal();
    all_say(&fleet, FAILING);
}
