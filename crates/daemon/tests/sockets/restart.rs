//! Many processes that are killed and started again at once.

use crate::world::*;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

const PROCESSES: usize = 30;
/// Nine in ten are ready by then.
const READY: Duration = Duration::from_secs(10);
const LONG: u64 = 50_000;
const EACH: u64 = 4;

/// Where nobody listens.
fn nowhere() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").to_string()
}

/// Where connections come up, and nothing is ever said.
fn silent() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// Starts thirty, hands messages in that cannot be sent, kills all, and starts all at once with destinations
/// that serve. The list service is where `discovery` says.
fn restarted(discovery: &str) {
    let endpoint = Endpoint::new(|_| answer("200 OK", "", ""));
    let known = [member("s-8", endpoint.address, "shop", 9, "draining")];
    let mut nodes: Vec<Node> = (0..PROCESSES).map(|_| Node::new(&known, at(discovery))).collect();
    for (n, node) in nodes.iter_mut().enumerate() {
        for i in 0..EACH {
            let class = if i % 2 == 0 { "update" } else { "payment" };
            assert_eq!(node.hand_in(class, n as u64 * 100 + i, 9, LONG, b"x").status(), 202);
        }
        node.kill();
        let config = node.folder.path().join("config.json");
        let text = std::fs::read_to_string(&config).expect("a file").replace("\"draining\"", "\"up\"");
        std::fs::write(config, text).expect("a file");
    }
    let took: Vec<Duration> = thread::scope(|scope| {
        let start = |node| {
            scope.spawn(move || {
                let (node, begun): (&mut Node, _) = (node, Instant::now());
                node.start_again();
                until("ready", || node.ask("GET /up", &[], b"").status() == 200);
                begun.elapsed()
            })
        };
        let threads: Vec<_> = nodes.iter_mut().map(start).collect();
        threads.into_iter().map(|t| t.join().expect("it started")).collect()
    });
    let late = took.iter().filter(|t| **t > READY).count();
    assert!(late * 10 <= PROCESSES, "{late} of {PROCESSES} took over {READY:?}: {took:?}");
    // What was taken on and untried is tried, each message once, and none is given up for want of a list.
    let all = PROCESSES * EACH as usize;
    until("a call of each", || endpoint.calls() >= all);
    let mut calls: BTreeMap<String, usize> = BTreeMap::new();
    for n in 0..endpoint.calls() {
        *calls.entry(endpoint.call(n).header("x-request-id").to_owned()).or_default() += 1;
    }
    assert_eq!(calls.len(), all);
    assert!(calls.values().all(|&times| times == 1), "{calls:?}");
}

#[test]
fn thirty_processes_that_restart_at_once_are_ready_in_time_and_try_what_was_left_untried() {
    restarted(&nowhere());
}

#[test]
fn they_are_ready_as_soon_where_the_list_service_says_nothing() {
    let (_listener, address) = silent();
    restarted(&address);
}

#[test]
fn told_to_end_at_any_step_of_its_start_a_process_ends_in_order_and_leaves_what_it_found() {
    let endpoint = Endpoint::new(|_| answer("200 OK", "", ""));
    let mut node = Node::new(&[member("s-8", endpoint.address, "shop", 9, "draining")], |text| text);
    assert_eq!(node.hand_in("payment", 1, 9, LONG, b"x").status(), 202);
    node.kill();
    for step in ["operators at", "journal:", "listening on"] {
        for signals in [&["-TERM"][..], &["-TERM", "-TERM"], &["-HUP", "-TERM", "-HUP"]] {
            assert!(node.starts_until(step, signals), "{step}, {signals:?}: it ends as it should");
        }
    }
    assert!(!node.platform.has_notice(1), "nothing was given up");
    let config = node.folder.path().join("config.json");
    let text = std::fs::read_to_string(&config).expect("a file").replace("\"draining\"", "\"up\"");
    std::fs::write(config, text).expect("a file");
    node.start_again();
    assert_eq!(endpoint.call(0).header("x-request-id"), format!("{:016x}", 1));
    assert_eq!(endpoint.calls(), 1);
}

#[test]
fn what_a_kill_at_any_moment_leaves_untried_is_tried_after_the_restart() {
    // Killed behind its first, second, ... promise, with calls out and as many messages waiting.
    const KILLS: u64 = 24;
    let mut seed = 1_u64;
    let endpoint = Endpoint::new(move |_| {
        // Between nought and three milliseconds, so that the kill finds a call at another point each time.
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        thread::sleep(Duration::from_micros((seed >> 33) % 3_000));
        answer("200 OK", "", "")
    });
    let room = |text: String| text.replace("\"mostHeld\": 230", "\"mostHeld\": 5000");
    let mut node = Node::new(&[member("s-1", endpoint.address, "shop", 3, "up")], room);
    let mut promised = Vec::new();
    for kill in 0..KILLS {
        let before = endpoint.calls() as u64;
        let mut client = Client::new(node.address);
        for i in 0..=kill + 3 {
            let (class, id) = (if i % 2 == 0 { "payment" } else { "update" }, kill * 100 + i);
            let heard = client.hand_in(class, id, 3, LONG, b"x");
            assert_eq!(heard.status(), 202, "kill {kill}, message {i}: {heard:?}");
            promised.push((class, id));
        }
        until("some are called, and most wait", || endpoint.calls() as u64 >= before + kill % 4);
        node.restart();
    }
    let heard = || -> BTreeMap<String, usize> {
        let mut calls = BTreeMap::new();
        for n in 0..endpoint.calls() {
            *calls.entry(endpoint.call(n).header("x-request-id").to_owned()).or_default() += 1;
        }
        calls
    };
    let name = |id: u64| format!("{id:016x}");
    until("each is called or told of", || {
        let calls = heard();
        promised.iter().all(|&(_, id)| calls.contains_key(&name(id)) || node.platform.has_notice(id))
    });
    let calls = heard();
    let untried: Vec<_> = promised.iter().filter(|(_, id)| !calls.contains_key(&name(*id))).collect();
    // Between an attempt's record and its first byte nothing waits, so that hardly a kill can fall there;
    // what it finds there must not be repeated, and may have run for all that is known.
    assert!(untried.iter().all(|(class, _)| *class == "payment"), "given up with no call: {untried:?}");
    assert!(untried.len() as u64 <= KILLS / 8, "given up with no call: {untried:?}");
    let twice = |id: u64| calls.get(&name(id)).is_some_and(|&times| times > 1);
    assert!(promised.iter().all(|&(class, id)| class == "update" || !twice(id)), "repeated: {calls:?}");
}

#[test]
fn a_kill_while_a_connection_comes_up_leaves_its_messages_untried() {
    // Recorded before there is a connection, an attempt that never was would end what must not be repeated.
    let full = Unreachable::new();
    let endpoint = Endpoint::new(|_| answer("200 OK", "", ""));
    let mut node = Node::new(&[member("s-1", full.address, "shop", 3, "up")], |text| text);
    let ids = 1..=4;
    for id in ids.clone() {
        assert_eq!(node.hand_in("payment", id, 3, LONG, b"x").status(), 202);
    }
    until("a call waits for its connection", || full.is_dialed());
    node.kill();
    let config = node.config().replace(&full.address.to_string(), &endpoint.address.to_string());
    std::fs::write(node.folder.path().join("config.json"), config).expect("a file");
    node.start_again();
    until("a call of each", || endpoint.calls() >= ids.clone().count());
    let heard: BTreeMap<String, ()> =
        (0..endpoint.calls()).map(|n| (endpoint.call(n).header("x-request-id").to_owned(), ())).collect();
    assert_eq!(heard.len(), ids.count(), "each once: {heard:?}");
}
