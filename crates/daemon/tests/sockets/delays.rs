//! Delays between two steps of the process: a message's remaining time and the age of its attempts are
//! counted from when they were recorded, not from when the next step runs.
//!
//! Guards against notices that are late by the delay: up to 0.4 s after a slow disk or a hand-over, and
//! seconds when a start waits for its address; a notice more than 0.35 s late counts as a lost message.
//! Deduplicated messages were resent as long after their window.
//!
//! The failure came about because the remaining time was computed when a message was read (or resumed from
//! the folder) and counted from the later turn in which the policy received it: after the write of the
//! record, the round trip to the other process, or the wait for an address. The journal has the true
//! deadline, from which the turn itself computes the remaining time.

use crate::world::*;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

/// The time of a message in milliseconds: longer than a test usually takes.
const LONG: u64 = 50_000;
/// How long a write is delayed: clients still get their response in time.
const WRITE_DELAY: Duration = Duration::from_millis(350);
/// The limit by which the notice for an undelivered message may follow its deadline.
const MAX_OVERDUE: Duration = Duration::from_millis(300);
/// For this long after a start no notice counts as overdue.
const GRACE_AFTER_START: Duration = Duration::from_millis(1_500);
/// The deduplication window of the class `keyed`.
const WINDOW: Duration = Duration::from_secs(2);
/// How long a start has to wait for its address.
const ADDRESS_TAKEN_FOR: Duration = Duration::from_secs(3);

/// Returns an entry for destination 9, which only drains: messages for it wait until their deadline.
fn draining_entry() -> String {
    member("s-8", "127.0.0.1:4".parse().expect("an address"), "shop", 9, "draining")
}

/// Asserts that the notice for a message arrives at most `MAX_OVERDUE` after `due`.
fn assert_ended_by(node: &Node, id: u64, due: Instant) {
    wait_until("a notice, or too late", || {
        node.platform.has_notice(id) || Instant::now() > due + MAX_OVERDUE
    });
    assert!(node.platform.has_notice(id), "no notice {MAX_OVERDUE:?} after the deadline");
}

#[test]
fn message_with_a_slow_record_is_ended_at_its_deadline() {
    const TIME: Duration = Duration::from_millis(1_500);
    let (node, faults) = Node::with_faults(&[draining_entry()], |text| text);
    faults.delay_writes(WRITE_DELAY).expect("the fault is set");
    let begun = Instant::now();
    assert_eq!(node.submit("payment", 1, 9, TIME.as_millis() as u64, b"x").status(), 202);
    faults.delay_writes(Duration::ZERO).expect("the fault is cleared");
    assert_ended_by(&node, 1, begun + TIME);
}

#[test]
fn message_forwarded_during_a_handover_is_ended_at_its_deadline() {
    const TIME: Duration = Duration::from_millis(1_500);
    let (mut node, faults) = Node::with_inherited_socket_and_faults(&[draining_entry()]);
    let mut client = Client::new(node.address);
    let (id, ms) = (format!("{:016x}", 1), TIME.as_millis().to_string());
    let lines = headers(&id, "payment", &ms, "dest=9").map(|(n, v)| format!("{n}: {v}\r\n")).concat();
    let request = format!("POST /payment HTTP/1.1\r\nHost: api\r\nContent-Length: 1\r\n{lines}\r\nx");
    client.write_raw(&request.as_bytes()[..40]);
    assert_eq!(node.request("GET /up", &[], b"").status(), 200);
    let _predecessor = node.hand_over();
    // The predecessor has read the beginning of the request, and the successor records the message.
    faults.delay_writes(WRITE_DELAY).expect("the fault is set");
    let begun = Instant::now();
    client.write_raw(&request.as_bytes()[40..]);
    assert!(client.read_to_close().starts_with("HTTP/1.1 202"), "the request is not accepted");
    faults.delay_writes(Duration::ZERO).expect("the fault is cleared");
    assert_ended_by(&node, 1, begun + TIME);
}

/// Starts a sender with a fixed clients' address, which stays reserved for it, and returns both.
fn with_fixed_address(members: &[String], change: impl Fn(String) -> String) -> (Node, ReservedAddress) {
    let reserved = ReservedAddress::new();
    let fixed = format!("\"listen\": \"{}\"", reserved.address);
    (Node::new(members, |text| change(text).replacen("\"listen\": \"127.0.0.1:0\"", &fixed, 1)), reserved)
}

/// Kills the sender and starts it again while its address is in use by another listener for a while.
fn restart_without_address(node: &mut Node, reserved: &ReservedAddress) {
    node.kill();
    let listener = TcpListener::bind(reserved.address).expect("it is free");
    let other = thread::spawn(move || {
        thread::sleep(ADDRESS_TAKEN_FOR);
        drop(listener);
    });
    node.start_again();
    other.join().expect("it is free again");
}

#[test]
fn message_of_a_start_that_waits_for_its_address_is_ended_at_its_deadline() {
    const TIME: Duration = Duration::from_secs(4);
    let (mut node, reserved) = with_fixed_address(&[draining_entry()], |text| text);
    let begun = Instant::now();
    assert_eq!(node.submit("payment", 1, 9, TIME.as_millis() as u64, b"x").status(), 202);
    restart_without_address(&mut node, &reserved);
    assert_ended_by(&node, 1, (begun + TIME).max(Instant::now() + GRACE_AFTER_START));
}

#[test]
fn deduplicated_message_of_a_start_that_waits_for_its_address_is_not_resent_after_its_window() {
    let hangs = Endpoint::new(|_| Reply::Hang);
    let members = [member("s-1", hangs.address, "shop", 3, "up")];
    let (mut node, reserved) = with_fixed_address(&members, with_deduplicated_class);
    assert_eq!(node.submit("keyed", 1, 3, LONG, b"x").status(), 202);
    wait_until("a call", || hangs.calls() > 0);
    restart_without_address(&mut node, &reserved);
    assert!(ADDRESS_TAKEN_FOR > WINDOW, "the endpoint still recognizes a resend");
    wait_until("an end, or a resend", || hangs.calls() > 1 || node.platform.has_notice(1));
    assert_eq!(hangs.calls(), 1, "a deduplicated message was resent after its window");
}
