//! The watch of the endpoint list, against a discovery service whose behavior the test sets for each watch.

use crate::world::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A change must be known this long after the service had it and was reachable.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(6);
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What the discovery service does with one watch: it receives the connection after the request.
type WatchBehavior = Box<dyn FnOnce(TcpStream) + Send>;

/// When the request of each watch was received.
type WatchTimes = Arc<Mutex<Vec<Instant>>>;

/// Starts a discovery service with these behaviors, one for each watch; later watches receive `last` and
/// heartbeats. Returns its address and the times of the watches.
fn start_service(behaviors: Vec<WatchBehavior>, last: String) -> (String, WatchTimes) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the socket has an address").to_string();
    let watches = WatchTimes::default();
    let opened = watches.clone();
    thread::spawn(move || {
        let mut behaviors = behaviors.into_iter();
        for stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream.try_clone().expect("the socket is duplicated"));
            let mut line = String::new();
            while reader.read_line(&mut line).is_ok_and(|n| n > 2) {
                line.clear();
            }
            opened.lock().expect("not poisoned").push(Instant::now());
            let behavior = behaviors.next().unwrap_or_else(|| with_heartbeats(last.clone()));
            thread::spawn(move || behavior(stream));
        }
    });
    (address, watches)
}

/// Writes a chunk of the chunked body, and returns whether that succeeded.
fn write_chunk(stream: &mut TcpStream, text: &str) -> bool {
    write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_ok()
}

/// Sends this text, then a heartbeat each second.
fn with_heartbeats(text: String) -> WatchBehavior {
    Box::new(move |mut stream| {
        let mut is_open = stream.write_all(HEAD.as_bytes()).is_ok() && write_chunk(&mut stream, &text);
        while is_open {
            thread::sleep(Duration::from_secs(1));
            is_open = write_chunk(&mut stream, "\n");
        }
    })
}

/// Sends this text, then nothing, with the connection open.
fn silent(text: String) -> WatchBehavior {
    Box::new(move |mut stream| {
        stream.write_all(text.as_bytes()).expect("the bytes are written");
        thread::sleep(LONG);
    })
}

/// Sends this text and closes the connection.
fn closing(text: &'static str) -> WatchBehavior {
    Box::new(move |mut stream| drop(stream.write_all(text.as_bytes())))
}

const LONG: Duration = Duration::from_secs(60);

/// Returns a list update.
fn list_update(revision: u64, members: &[String]) -> String {
    format!("{{\"revision\":{revision},\"complete\":false,\"members\":[{}]}}\n", members.join(","))
}

/// Starts a sender with this discovery service, with destination 3 draining in its initial list, and submits
/// a message for it. The receiver gets the time of each call.
fn start_with_waiting_message(address: &str) -> (Node, Endpoint, Receiver<Instant>) {
    let (calls, call_times) = channel();
    let endpoint = Endpoint::new(move |_| {
        let _ = calls.send(Instant::now());
        response("200 OK", "", "")
    });
    let node = Node::new(&[member("s-1", endpoint.address, "shop", 3, "draining")], with_discovery(address));
    assert_eq!(node.submit("update", 1, 3, 50_000, b"x").status(), 202);
    (node, endpoint, call_times)
}

/// Starts a sender whose first watches have these behaviors, and sends the change on the watch after them.
/// `change` receives the list entry with which destination 3 serves. Returns when each watch was opened, and
/// when the waiting message was sent because of the change.
fn run_watches(behaviors: Vec<WatchBehavior>, change: impl Fn(&str) -> String) -> (Vec<Instant>, Instant) {
    // The endpoint's address is known only once it listens, so the last behavior receives the change through
    // this channel.
    let (change_sender, change_receiver) = channel::<String>();
    let mut behaviors = behaviors;
    behaviors.push(Box::new(move |stream| {
        let text = change_receiver.recv_timeout(LONG).expect("the test sends the change");
        with_heartbeats(text)(stream);
    }));
    let (address, watches) = start_service(behaviors, String::new());
    let (_node, endpoint, call_times) = start_with_waiting_message(&address);
    change_sender
        .send(change(&member("s-1", endpoint.address, "shop", 3, "up")))
        .expect("the receiver waits");
    let applied = call_times.recv_timeout(LONG).expect("the change is applied");
    let opened = watches.lock().expect("not poisoned").clone();
    (opened, applied)
}

#[test]
fn list_is_read_when_indented_and_after_a_malformed_one() {
    // Guards against a watch that splits at line ends: it dropped an indented list piece by piece and missed
    // its changes.
    let malformed = "{\"revision\":42,\"members\":[{\"id\":\n";
    for indent in ["", "  "] {
        let (watches, _) = run_watches(vec![], |up| {
            let value: serde_json::Value =
                serde_json::from_str(&list_update(43, &[up.to_owned()])).expect("valid JSON");
            let text = serde_json::to_string_pretty(&value).expect("the value can be serialized");
            text.lines()
                .map(|l| indent.repeat((l.len() - l.trim_start().len()) / 2) + l.trim_start() + "\n")
                .collect()
        });
        assert_eq!(watches.len(), 1);
    }
    let (watches, _) = run_watches(vec![], |up| format!("{malformed}{}", list_update(43, &[up.to_owned()])));
    assert_eq!(watches.len(), 1, "on the same watch");
}

#[test]
fn change_missed_by_a_silent_watch_is_known_in_time() {
    // The watch is silent from its start, and the change is made at that time.
    for text in [HEAD.to_owned(), format!("{HEAD}1\r\n\n\r\n")] {
        let (watches, applied) = run_watches(vec![silent(text)], |up| list_update(42, &[up.to_owned()]));
        assert!(
            applied - watches[0] < MAX_CHANGE_DELAY - Duration::from_secs(2),
            "{:?}",
            applied - watches[0]
        );
    }
}

#[test]
fn bytes_that_complete_no_value_do_not_keep_a_watch_alive() {
    let trickle: WatchBehavior = Box::new(|mut stream| {
        let begun = stream.write_all(HEAD.as_bytes()).is_ok() && write_chunk(&mut stream, "\n");
        let mut is_open = begun && write_chunk(&mut stream, "{\"revision\":");
        while is_open {
            thread::sleep(Duration::from_millis(200));
            is_open = write_chunk(&mut stream, "\n");
        }
    });
    let (watches, applied) = run_watches(vec![trickle], |up| list_update(42, &[up.to_owned()]));
    assert!(applied - watches[0] < MAX_CHANGE_DELAY - Duration::from_secs(2), "{:?}", applied - watches[0]);
}

#[test]
fn change_is_known_within_six_seconds_after_any_failures_of_earlier_watches() {
    // Consecutive failures: a silent watch, missing headers, a refusal, a reset, an end, partial headers. The
    // service was reachable from the start or the end of each of them.
    let behaviors: Vec<WatchBehavior> = vec![
        silent(format!("{HEAD}1\r\n\n\r\n")),
        silent(String::new()),
        closing("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
        closing(""),
        closing("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        silent("HTTP/1.1 200 OK\r\nTransf".to_owned()),
    ];
    let (watches, applied) = run_watches(behaviors, |up| list_update(42, &[up.to_owned()]));
    for (n, opened) in watches.iter().enumerate() {
        let next = watches.get(n + 1).copied().unwrap_or(applied);
        // Each failure leaves time for the watch that succeeds.
        assert!(
            next - *opened < MAX_CHANGE_DELAY - Duration::from_millis(800),
            "after watch {n}: {:?}",
            next - *opened
        );
    }
}

#[test]
fn pending_connect_of_a_watch_is_retried_in_time() {
    let service = Unreachable::new();
    let (node, endpoint, call_times) = start_with_waiting_message(&service.address.to_string());
    thread::sleep(Duration::from_secs(1));
    // From now on the service is reachable.
    let reached = Instant::now();
    let up = member("s-1", endpoint.address, "shop", 3, "up");
    thread::spawn(move || {
        for stream in service.into_listener().incoming().flatten() {
            let up = up.clone();
            thread::spawn(move || {
                let mut line = String::new();
                let mut reader = BufReader::new(stream.try_clone().expect("the socket is duplicated"));
                if reader.read_line(&mut line).is_ok_and(|n| n > 0) {
                    with_heartbeats(list_update(42, &[up]))(stream);
                }
            });
        }
    });
    let applied = call_times.recv_timeout(LONG).expect("the change is applied");
    assert!(applied - reached < MAX_CHANGE_DELAY, "{:?}", applied - reached);
    drop(node);
}

#[test]
fn idle_clients_that_use_up_their_descriptors_block_no_other_function() {
    // The discovery service is down meanwhile. When it returns, the watch, the call, the store and operators
    // need descriptors.
    const DESCRIPTORS: usize = 96;
    let (change_sender, change_receiver) = channel::<String>();
    let mut behaviors: Vec<WatchBehavior> = (0..5).map(|_| closing("")).collect();
    behaviors.push(Box::new(move |stream| {
        let text = change_receiver.recv_timeout(LONG).expect("the test sends the change");
        with_heartbeats(text)(stream);
    }));
    let (address, watches) = start_service(behaviors, String::new());
    let (calls, call_times) = channel();
    let endpoint = Endpoint::new(move |_| {
        let _ = calls.send(Instant::now());
        response("200 OK", "", "")
    });
    let limited = |text: String| {
        with_discovery(&address)(text).replace("\"sockets\": 1024", &format!("\"sockets\": {DESCRIPTORS}"))
    };
    let node = Node::new(&[member("s-1", endpoint.address, "shop", 3, "draining")], limited);
    node.limit_descriptors(DESCRIPTORS);
    assert_eq!(node.submit("update", 1, 3, 50_000, b"x").status(), 202);
    // More clients than connection slots; each that is accepted gets a response and stays idle.
    let mut clients: Vec<Client> = (0..DESCRIPTORS).map(|_| Client::new(node.address)).collect();
    clients.iter_mut().for_each(|c| c.send("GET /up", &[], b""));
    // And operators' connections that send nothing.
    let _operators: Vec<TcpStream> = (0..DESCRIPTORS)
        .map(|_| TcpStream::connect(node.admin).expect("the connection is accepted"))
        .collect();
    let full = Instant::now();
    wait_until("five watches", || watches.lock().expect("not poisoned").len() >= 5);
    let limit = 5 * Duration::from_millis(2_600);
    assert!(full.elapsed() < limit, "the watch has no descriptor: {:?}", full.elapsed());
    change_sender
        .send(list_update(42, &[member("s-1", endpoint.address, "shop", 3, "up")]))
        .expect("the receiver waits");
    let back = Instant::now();
    let applied = call_times.recv_timeout(LONG).expect("the change is applied");
    assert!(applied - back < MAX_CHANGE_DELAY, "{:?}", applied - back);
    assert_eq!(node.admin_request("GET /status").status(), 200, "operators are answered");
    assert_eq!(
        node.submit("update", 2, 3, 50_000, b"x").status(),
        202,
        "clients that submit a message are served"
    );
}

#[test]
fn consecutive_sighups_leave_the_last_discovery_address_in_force() {
    // In between: an address that accepts the watch and sends nothing, and one that refuses it. The end of a
    // watch that was started there must not delay the current one.
    let (silent_address, _) = start_service(vec![silent(String::new())], String::new());
    let reserved = ReservedAddress::new();
    let refusing_address = reserved.address.to_string();
    for between in [[&silent_address, &refusing_address], [&refusing_address, &silent_address]] {
        let (first, _) = start_service(vec![], "\n".into());
        let (node, endpoint, call_times) = start_with_waiting_message(&first);
        let up = list_update(42, &[member("s-1", endpoint.address, "shop", 3, "up")]);
        let (last_address, _) = start_service(vec![], up);
        let begun = Instant::now();
        for address in between.into_iter().chain([&last_address]) {
            node.reload(&with_discovery(address)(node.config()));
        }
        let applied = call_times.recv_timeout(LONG).expect("the change is applied");
        // After SIGHUP a change at the new address must be known within 4 s.
        assert!(applied - begun < Duration::from_secs(4), "{:?}", applied - begun);
    }
}

#[test]
fn change_in_a_malformed_update_is_known_within_six_seconds() {
    let endpoint = Endpoint::new(|_| response("200 OK", "", ""));
    let node = Node::new(&[member("s-1", endpoint.address, "shop", 3, "up")], |text| text);
    node.platform.publish_malformed(42, &[member("s-2", endpoint.address, "shop", 5, "up")]);
    // Valid updates after it must not hide that it was missed.
    node.platform.publish(43, &[member("s-3", endpoint.address, "shop", 6, "up")]);
    let published = std::time::Instant::now();
    wait_until("the valid update is known", || node.submit("update", 1, 6, 5_000, b"x").status() != 503);
    let mut id = 10;
    wait_until("the change, or six seconds", || {
        id += 1;
        std::thread::sleep(std::time::Duration::from_millis(100));
        node.submit("update", id, 5, 5_000, b"x").status() == 202 || published.elapsed().as_secs() >= 6
    });
    assert!(published.elapsed().as_secs() < 6, "the change in the malformed update was not requested again");
}
