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
