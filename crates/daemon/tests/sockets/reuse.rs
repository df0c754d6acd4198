//! Ids of messages that clients use again as soon as the message has ended.

use crate::world::*;
use crate::{ok, start_with_endpoint};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const LONG: u64 = 60_000;
const CLIENTS: usize = 8;
const IDS: std::ops::Range<u64> = 0..40;
/// The endpoint is idle and answers at once.
const DELIVERY_LIMIT: Duration = Duration::from_secs(10);

#[test]
fn message_with_the_id_of_one_that_has_just_ended_is_delivered() {
    // Guards against an acknowledged message that is never sent: its request arrives between the end of the
    // previous call under its id and the turn in which the decision loop learns of that end.
    let (node, endpoint) = start_with_endpoint("shop", |_| ok());
    for id in IDS {
        let acknowledged = Mutex::new(0);
        // All submit the same id until it has been acknowledged twice.
        thread::scope(|scope| {
            for _ in 0..CLIENTS {
                scope.spawn(|| {
                    let mut client = Client::new(node.address);
                    while *acknowledged.lock().expect("not poisoned") < 2 {
                        if client.submit("update", id, 3, LONG, b"").status() == 202 {
                            *acknowledged.lock().expect("not poisoned") += 1;
                        }
                    }
                });
            }
        });
        let acknowledged = acknowledged.into_inner().expect("not poisoned");
        let name = format!("{id:016x}");
        let calls = || {
            let requests = endpoint.requests.lock().expect("not poisoned");
            requests.iter().filter(|r| r.header("x-request-id") == name).count()
        };
        let acknowledged_at = Instant::now();
        while calls() < acknowledged {
            assert!(
                acknowledged_at.elapsed() < DELIVERY_LIMIT,
                "{} of {acknowledged} calls, id {id}",
                calls()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// The answers of an endpoint: most are quick, and with some a call is in flight over a hand-over or a kill.
const QUICK_RESPONSE: Duration = Duration::from_millis(2);
const SLOW_RESPONSE: Duration = Duration::from_millis(300);
/// The time of a message whose sender is killed and replaced.
const MESSAGE_TIME: Duration = Duration::from_secs(5);

/// How many requests under one id were acknowledged, and how many had no answer.
#[derive(Clone, Copy, Debug, Default)]
struct Submissions {
    acknowledged: usize,
    unanswered: usize,
}

fn class_of(id: u64) -> &'static str {
    if id.is_multiple_of(2) { "payment" } else { "update" }
}

/// Submits each id, on a kept connection, until it has been acknowledged twice, by any client.
fn submit_ids_twice(address: SocketAddr, ids: std::ops::Range<u64>, all: &Mutex<BTreeMap<u64, Submissions>>) {
    let mut client = Client::new(address);
    let record = |id: u64, change: fn(&mut Submissions)| {
        change(all.lock().expect("not poisoned").entry(id).or_default());
    };
    let acknowledged = |id: u64| {
        all.lock().expect("not poisoned").get(&id).map_or(0, |submissions| submissions.acknowledged)
    };
    for id in ids {
        while acknowledged(id) < 2 {
            match client.try_submit(class_of(id), id, 3, MESSAGE_TIME.as_millis() as u64, b"x") {
                Some(202) => record(id, |submissions| submissions.acknowledged += 1),
                Some(_) => {}
                None => {
                    record(id, |submissions| submissions.unanswered += 1);
                    client = Client::new(address);
                }
            }
        }
    }
}

/// Whether a process answers operators at this address.
fn is_serving(admin: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(admin) else { return false };
    let mut response = String::new();
    let exchanged = stream
        .write_all(b"GET /status HTTP/1.1\r\nHost: operators\r\n\r\n")
        .and_then(|()| stream.read_to_string(&mut response));
    exchanged.is_ok() && response.starts_with("HTTP/1.1 200 ")
}

/// Submits ids twice while the sender is replaced and killed again and again. Each acknowledged message must
/// be called or ended by a notice, and no payment may run twice.
fn assert_each_of_two_messages_is_kept(clients: usize, ids: std::ops::Range<u64>) {
    let endpoint = Endpoint::new(|request| {
        let is_slow = request.header("x-request-id").ends_with(['3', '8', 'd']);
        let text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned();
        Reply::RespondAfter(if is_slow { SLOW_RESPONSE } else { QUICK_RESPONSE }, text)
    });
    let mut node = Node::with_inherited_socket(&[member("s-1", endpoint.address, "shop", 3, "up")]);
    let (all, are_done) = (Mutex::new(BTreeMap::new()), AtomicBool::new(false));
    let address = node.address;
    thread::scope(|scope| {
        let submitting: Vec<_> =
            (0..clients).map(|_| scope.spawn(|| submit_ids_twice(address, ids.clone(), &all))).collect();
        scope.spawn(|| {
            submitting.into_iter().for_each(|client| client.join().expect("no client failed"));
            are_done.store(true, Ordering::Relaxed);
        });
        for round in 0.. {
            if are_done.load(Ordering::Relaxed) {
                break;
            }
            match round % 4 {
                0 => {
                    let mut predecessor = node.hand_over();
                    predecessor.signal("-TERM");
                    assert!(predecessor.exited_cleanly());
                }
                1 => drop(node.hand_over()),
                2 => {
                    let mut predecessor = node.hand_over();
                    node.kill();
                    // It serves again, unless it had nothing open any more and has ended.
                    while !predecessor.has_exited() && !is_serving(predecessor.1) {
                        thread::sleep(Duration::from_millis(5));
                    }
                    if predecessor.has_exited() {
                        assert!(predecessor.exited_cleanly());
                        node.start_again();
                    } else {
                        node.continue_with(predecessor);
                    }
                }
                _ => node.restart(),
            }
        }
    });
    let calls_of = |id: u64| {
        let name = format!("{id:016x}");
        let requests = endpoint.requests.lock().expect("not poisoned");
        requests.iter().filter(|r| r.header("x-request-id") == name).count()
    };
    let notices_of = |id: u64| {
        let name = format!("{id:016x}");
        node.platform.notices.lock().expect("not poisoned").iter().filter(|n| n.contains(&name)).count()
    };
    let submitted_at = Instant::now();
    for (id, Submissions { acknowledged, unanswered }) in all.into_inner().expect("not poisoned") {
        while calls_of(id) + notices_of(id) < acknowledged {
            let (calls, notices) = (calls_of(id), notices_of(id));
            assert!(
                submitted_at.elapsed() < MESSAGE_TIME + DELIVERY_LIMIT,
                "id {id}: {calls} calls and {notices} notices for {acknowledged} acknowledged messages"
            );
            thread::sleep(Duration::from_millis(5));
        }
        let (calls, messages) = (calls_of(id), acknowledged + unanswered);
        assert!(
            class_of(id) != "payment" || calls <= messages,
            "id {id}: {calls} calls, {messages} messages"
        );
    }
    let status = String::from_utf8(node.admin_request("GET /status").body).expect("text");
    assert!(status.contains("\"forgotten_messages\":0"), "{status}");
}

#[test]
fn both_messages_of_an_id_that_one_client_repeats_are_kept_over_handovers_and_kills() {
    // Guards against an acknowledged message that is lost since the end of the previous one with its id is
    // known to one process, or one part of it, and not to another.
    assert_each_of_two_messages_is_kept(1, 0..200);
}

#[test]
fn both_messages_of_an_id_that_eight_clients_repeat_are_kept_over_handovers_and_kills() {
    // As above, with requests under the same id at the same time.
    assert_each_of_two_messages_is_kept(8, 0..200);
}

#[test]
fn each_of_two_messages_with_the_same_id_gets_a_notice_of_its_own() {
    // Guards against a notice of an earlier message whose confirmation ends a later one with the same id.
    const SHORT: u64 = 20;
    let (node, _endpoint) = start_with_endpoint("shop", |_| Reply::Hang);
    for id in 0..20 {
        let acknowledged = Mutex::new(0);
        thread::scope(|scope| {
            for _ in 0..CLIENTS {
                scope.spawn(|| {
                    let mut client = Client::new(node.address);
                    while *acknowledged.lock().expect("not poisoned") < 3 {
                        // Destination 9 only drains, so that the message is not sent.
                        if client.submit("update", id, 9, SHORT, b"").status() == 202 {
                            *acknowledged.lock().expect("not poisoned") += 1;
                        }
                    }
                });
            }
        });
        let acknowledged = acknowledged.into_inner().expect("not poisoned");
        let name = format!("{id:016x}");
        wait_until("a notice for each message", || {
            let notices = node.platform.notices.lock().expect("not poisoned");
            notices.iter().filter(|n| n.contains(&name)).count() >= acknowledged
        });
    }
}
