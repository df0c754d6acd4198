//! The process is late between two of its steps: what a message has left, and how old its attempts are, count
//! from when they were recorded, and not from when the next step comes.
//!
//! What callers see: a message's end is told as much too late as the process was, up to 0.4 s behind a slow
//! disk or a hand-over, and by seconds where a start waits for its address; more than 0.35 s is a message
//! lost. A keyed message is repeated by as much beyond its window.
//!
//! Why: what was left of a message's time was worked out when it was read (or taken up from the folder), and
//! counted by the decisions from the turn in which they heard of it: behind the record's write, the way to
//! the other process and back, or the wait for an address. The journal had the true deadline all the time.
//! With spans read from the journal in the turn itself all four pass, and nothing else was changed.

use crate::world::*;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

const LONG: u64 = 50_000;
/// A write that takes so long leaves clients their answer in time.
const SLOW: Duration = Duration::from_millis(350);
/// What is not delivered is ended so long behind its time at the latest.
const OVERDUE: Duration = Duration::from_millis(300);
/// After a start no notice is overdue for this long.
const AFTER_START: Duration = Duration::from_millis(1_500);
/// The window in which a keyed repeat is known.
const WINDOW: Duration = Duration::from_secs(2);
/// For so long a start waits for its address.
const TAKEN: Duration = Duration::from_secs(3);

/// Destination 9 only drains: what is handed in for it waits until its end.
fn drained() -> String {
    member("s-8", "127.0.0.1:4".parse().expect("an address"), "shop", 9, "draining")
}

fn ends_by(node: &Node, id: u64, due: Instant) {
    until("its end, or too late", || node.platform.has_notice(id) || Instant::now() > due + OVERDUE);
    assert!(node.platform.has_notice(id), "not ended {OVERDUE:?} after its time");
}

#[test]
fn a_message_whose_record_took_long_is_ended_when_its_time_is_up() {
    const TIME: Duration = Duration::from_millis(1_500);
    let (node, faults) = Node::with_faults(&[drained()], |text| text);
    faults.delay_writes(SLOW).expect("set");
    let begun = Instant::now();
    assert_eq!(node.hand_in("payment", 1, 9, TIME.as_millis() as u64, b"x").status(), 202);
    faults.delay_writes(Duration::ZERO).expect("set");
    ends_by(&node, 1, begun + TIME);
}

#[test]
fn a_message_that_a_process_handed_on_is_ended_when_its_time_is_up() {
    const TIME: Duration = Duration::from_millis(1_500);
    let (mut node, faults) = Node::held_with_faults(&[drained()]);
    let mut client = Client::new(node.address);
    let (id, ms) = (format!("{:016x}", 1), TIME.as_millis().to_string());
    let lines = headers(&id, "payment", &ms, "dest=9").map(|(n, v)| format!("{n}: {v}\r\n")).concat();
    let whole = format!("POST /payment HTTP/1.1\r\nHost: api\r\nContent-Length: 1\r\n{lines}\r\nx");
    client.raw(&whole.as_bytes()[..40]);
    assert_eq!(node.ask("GET /up", &[], b"").status(), 200);
    let _old = node.upgrade();
    // The old process has read its beginning, and the new one records it.
    faults.delay_writes(SLOW).expect("set");
    let begun = Instant::now();
    client.raw(&whole.as_bytes()[40..]);
    assert!(client.until_end().starts_with("HTTP/1.1 202"), "it is taken on");
    faults.delay_writes(Duration::ZERO).expect("set");
    ends_by(&node, 1, begun + TIME);
}

/// A node at an address that stays the same, and that address.
fn at_one_address(members: &[String], change: impl Fn(String) -> String) -> (Node, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let fixed = format!("\"listen\": \"{address}\"");
    (Node::new(members, |text| change(text).replacen("\"listen\": \"127.0.0.1:0\"", &fixed, 1)), address)
}

/// Kills it, and starts it again while its address is another's for a while.
fn restart_without_address(node: &mut Node, address: SocketAddr) {
    node.kill();
    let taken = TcpListener::bind(address).expect("it is free");
    let other = thread::spawn(move || {
        thread::sleep(TAKEN);
        drop(taken);
    });
    node.start_again();
    other.join().expect("it is free again");
}

#[test]
fn a_message_of_a_start_that_waits_for_its_address_is_ended_when_its_time_is_up() {
    const TIME: Duration = Duration::from_secs(4);
    let (mut node, address) = at_one_address(&[drained()], |text| text);
    let begun = Instant::now();
    assert_eq!(node.hand_in("payment", 1, 9, TIME.as_millis() as u64, b"x").status(), 202);
    restart_without_address(&mut node, address);
    ends_by(&node, 1, (begun + TIME).max(Instant::now() + AFTER_START));
}

#[test]
fn a_keyed_message_of_a_start_that_waits_for_its_address_is_not_repeated_beyond_its_window() {
    let hangs = Endpoint::new(|_| Reply::Hang);
    let known = [member("s-1", hangs.address, "shop", 3, "up")];
    let (mut node, address) = at_one_address(&known, with_keyed_class);
    assert_eq!(node.hand_in("keyed", 1, 3, LONG, b"x").status(), 202);
    until("a call", || hangs.calls() > 0);
    restart_without_address(&mut node, address);
    assert!(TAKEN > WINDOW, "by now nobody would know a repeat");
    until("an end, or a repeat", || hangs.calls() > 1 || node.platform.has_notice(1));
    assert_eq!(hangs.calls(), 1, "a keyed message was repeated beyond its window");
}
