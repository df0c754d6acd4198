//! Restarts: many processes at once, signals at each step of a start, and kills at any time.

use crate::world::*;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

const PROCESSES: usize = 30;
/// Nine in ten processes must be ready within this time.
const MAX_START_TIME: Duration = Duration::from_secs(10);
/// The time of a message in milliseconds: longer than a test usually takes.
const LONG: u64 = 50_000;
/// The number of messages submitted to each process.
const MESSAGES_PER_PROCESS: u64 = 4;

/// Returns a listener that accepts connections and sends nothing, and its address.
fn silent_listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the socket has an address").to_string();
    (listener, address)
}

/// Starts thirty processes, submits messages that cannot be sent, kills all processes, and starts all at once
/// with destinations that serve. `discovery` is the address of the discovery service.
fn restart_all(discovery: &str) {
    let endpoint = Endpoint::new(|_| response("200 OK", "", ""));
    let members = [member("s-8", endpoint.address, "shop", 9, "draining")];
    let mut nodes: Vec<Node> =
        (0..PROCESSES).map(|_| Node::new(&members, with_discovery(discovery))).collect();
    for (n, node) in nodes.iter_mut().enumerate() {
        for i in 0..MESSAGES_PER_PROCESS {
            let class = if i % 2 == 0 { "update" } else { "payment" };
            assert_eq!(node.submit(class, n as u64 * 100 + i, 9, LONG, b"x").status(), 202);
        }
        node.kill();
        let config = node.folder.path().join("config.json");
        let text =
            std::fs::read_to_string(&config).expect("the file is readable").replace("\"draining\"", "\"up\"");
        std::fs::write(config, text).expect("the file is written");
    }
    let start_times: Vec<Duration> = thread::scope(|scope| {
        let start = |node| {
            scope.spawn(move || {
                let (node, begun): (&mut Node, _) = (node, Instant::now());
                node.start_again();
                wait_until("the process is ready", || node.request("GET /up", &[], b"").status() == 200);
                begun.elapsed()
            })
        };
        let threads: Vec<_> = nodes.iter_mut().map(start).collect();
        threads.into_iter().map(|t| t.join().expect("the process starts")).collect()
    });
    let late = start_times.iter().filter(|t| **t > MAX_START_TIME).count();
    assert!(late * 10 <= PROCESSES, "{late} of {PROCESSES} took over {MAX_START_TIME:?}: {start_times:?}");
    // Each accepted message is sent once, and none is ended because the discovery service sends no list.
    let all = PROCESSES * MESSAGES_PER_PROCESS as usize;
    wait_until("a call of each message", || endpoint.calls() >= all);
    let mut calls: BTreeMap<String, usize> = BTreeMap::new();
    for n in 0..endpoint.calls() {
        *calls.entry(endpoint.call(n).header("x-request-id").to_owned()).or_default() += 1;
    }
    assert_eq!(calls.len(), all);
    assert!(calls.values().all(|&times| times == 1), "{calls:?}");
}

#[test]
fn thirty_processes_that_restart_at_once_are_ready_in_time_and_send_their_open_messages() {
    let reserved = ReservedAddress::new();
    restart_all(&reserved.address.to_string());
}

#[test]
fn thirty_processes_are_ready_in_time_when_the_discovery_service_sends_nothing() {
    let (_listener, address) = silent_listener();
    restart_all(&address);
}

#[test]
fn process_terminated_at_any_step_of_its_start_exits_cleanly_and_keeps_its_messages() {
    let endpoint = Endpoint::new(|_| response("200 OK", "", ""));
    let mut node = Node::new(&[member("s-8", endpoint.address, "shop", 9, "draining")], |text| text);
    assert_eq!(node.submit("payment", 1, 9, LONG, b"x").status(), 202);
    node.kill();
    for log_text in ["operators at", "journal:", "listening on"] {
        for signals in [&["-TERM"][..], &["-TERM", "-TERM"], &["-HUP", "-TERM", "-HUP"]] {
            assert!(
                node.start_and_signal_at(log_text, signals),
                "{signals:?} at {log_text:?}: it does not exit with success"
            );
        }
    }
    assert!(!node.platform.has_notice(1), "a message was ended");
    let config = node.folder.path().join("config.json");
    let text =
        std::fs::read_to_string(&config).expect("the file is readable").replace("\"draining\"", "\"up\"");
    std::fs::write(config, text).expect("the file is written");
    node.start_again();
    assert_eq!(endpoint.call(0).header("x-request-id"), format!("{:016x}", 1));
    assert_eq!(endpoint.calls(), 1);
}

#[test]
fn messages_untried_at_a_kill_are_sent_after_the_restart() {
    // The process is killed after an increasing number of acknowledgements, with calls in flight and messages
    // waiting.
    const KILLS: u64 = 24;
    let mut seed = 1_u64;
    let endpoint = Endpoint::new(move |_| {
        // Between zero and three milliseconds, so that each kill finds calls in a different state.
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        thread::sleep(Duration::from_micros((seed >> 33) % 3_000));
        response("200 OK", "", "")
    });
    let raise_limit = |text: String| text.replace("\"mostHeld\": 230", "\"mostHeld\": 5000");
    let mut node = Node::new(&[member("s-1", endpoint.address, "shop", 3, "up")], raise_limit);
    let mut acknowledged = Vec::new();
    for kill in 0..KILLS {
        let before = endpoint.calls() as u64;
        let mut client = Client::new(node.address);
        for i in 0..=kill + 3 {
            let (class, id) = (if i % 2 == 0 { "payment" } else { "update" }, kill * 100 + i);
            let response = client.submit(class, id, 3, LONG, b"x");
            assert_eq!(response.status(), 202, "kill {kill}, message {i}: {response:?}");
            acknowledged.push((class, id));
        }
        wait_until("some calls, while most messages wait", || endpoint.calls() as u64 >= before + kill % 4);
        node.restart();
    }
    let calls_by_id = || -> BTreeMap<String, usize> {
        let mut calls = BTreeMap::new();
        for n in 0..endpoint.calls() {
            *calls.entry(endpoint.call(n).header("x-request-id").to_owned()).or_default() += 1;
        }
        calls
    };
    let id_text = |id: u64| format!("{id:016x}");
    wait_until("a call or a notice for each", || {
        let calls = calls_by_id();
        acknowledged.iter().all(|&(_, id)| calls.contains_key(&id_text(id)) || node.platform.has_notice(id))
    });
    let calls = calls_by_id();
    let untried: Vec<_> = acknowledged.iter().filter(|(_, id)| !calls.contains_key(&id_text(*id))).collect();
    // The first byte of an attempt follows its record without a wait, so few kills can fall in between. An
    // at-most-once message in that state may have run for all that is known, and must not be resent.
    assert!(untried.iter().all(|(class, _)| *class == "payment"), "ended without a call: {untried:?}");
    assert!(untried.len() as u64 <= KILLS / 8, "ended without a call: {untried:?}");
    let was_resent = |id: u64| calls.get(&id_text(id)).is_some_and(|&times| times > 1);
    assert!(
        acknowledged.iter().all(|&(class, id)| class == "update" || !was_resent(id)),
        "resent: {calls:?}"
    );
}

#[test]
fn kill_during_a_connect_leaves_its_messages_untried() {
    // Guards against recording an attempt before its connection exists: an attempt that was never made would
    // end an at-most-once message.
    let unreachable = Unreachable::new();
    let endpoint = Endpoint::new(|_| response("200 OK", "", ""));
    let mut node = Node::new(&[member("s-1", unreachable.address, "shop", 3, "up")], |text| text);
    let ids = 1..=4;
    for id in ids.clone() {
        assert_eq!(node.submit("payment", id, 3, LONG, b"x").status(), 202);
    }
    wait_until("a pending connect", || unreachable.has_pending_connect());
    node.kill();
    let config = node.config().replace(&unreachable.address.to_string(), &endpoint.address.to_string());
    std::fs::write(node.folder.path().join("config.json"), config).expect("the file is written");
    node.start_again();
    wait_until("a call of each", || endpoint.calls() >= ids.clone().count());
    let called: BTreeMap<String, ()> =
        (0..endpoint.calls()).map(|n| (endpoint.call(n).header("x-request-id").to_owned(), ())).collect();
    assert_eq!(called.len(), ids.count(), "each message is sent once: {called:?}");
}
