//! Limits of at-most-once messages on unproven connections: a connection that has not carried a response yet
//! may never carry one, and at-most-once messages that were written to it have to be ended.
//!
//! Guards against a sender that writes up to twenty payments in one call to such a connection and is killed
//! before the response: each of the payments is then ended as one that may have run. The policy filled calls
//! without regard to their connection. In brink, the traces of seeds 901 and 937 had six and ten payments in
//! one such call, 0.6 s before the kill.

use crate::world::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The time of a message in milliseconds: longer than a test usually takes.
const LONG: u64 = 50_000;
const PAYMENTS: u64 = 20;
/// The number of payments that may be in flight before the first probe.
const INITIAL_LIMIT: usize = 1;
/// The number of probes in the first second, each with one further payment: a call is overdue after half a
/// second at the earliest.
const PROBES: usize = 1;
/// The sender is killed after this time, after twice this time, and so on up to `KILLS` times.
const KILL_STEP: Duration = Duration::from_millis(100);
const KILLS: u32 = 10;

/// Submits payments for an endpoint that accepts connections and does not respond, and kills the sender this
/// long after its first call. Returns how many payments were ended as ones that may have run.
fn count_ended(kind: &str, after: Duration) -> usize {
    let is_silent = Arc::new(AtomicBool::new(true));
    let is_endpoint_silent = is_silent.clone();
    let endpoint = Endpoint::new(move |call| {
        let done: String = call.ids().iter().map(|id| format!("{id} done\r\n")).collect();
        if is_endpoint_silent.load(Ordering::Relaxed) { Reply::Hang } else { response("200 OK", "", &done) }
    });
    let entry = |phase: &str| member("s-1", endpoint.address, kind, 3, phase);
    let mut node = Node::new(&[entry("draining")], |text| text);
    let mut client = Client::new(node.address);
    for id in 1..=PAYMENTS {
        assert_eq!(client.submit("payment", id, 3, LONG, b"x").status(), 202);
    }
    node.platform.publish(42, &[entry("up")]);
    wait_until("a call of the message", || endpoint.calls() > 0);
    thread::sleep(after);
    node.kill();
    is_silent.store(false, Ordering::Relaxed);
    let calls_before_restart = endpoint.calls();
    node.platform.watches.lock().expect("not poisoned").clear();
    node.start_again();
    let served = || {
        let requests = endpoint.requests.lock().expect("not poisoned");
        requests[calls_before_restart..].iter().map(|call| call.ids().len().max(1)).sum::<usize>()
    };
    let ended = || node.platform.notices.lock().expect("not poisoned").len();
    wait_until("a call or a notice for each payment", || served() + ended() >= PAYMENTS as usize);
    ended()
}

/// Kills a sender after each multiple of `KILL_STEP`, and asserts the limit of ended payments.
fn assert_limit_after_each_time(kind: &'static str) {
    let runs: Vec<_> =
        (1..=KILLS).map(|n| thread::spawn(move || (n, count_ended(kind, KILL_STEP * n)))).collect();
    let ended: Vec<(u32, usize)> =
        runs.into_iter().map(|run| run.join().expect("the run has not panicked")).collect();
    for (n, count) in &ended {
        let limit =
            if KILL_STEP * *n < Duration::from_millis(500) { INITIAL_LIMIT } else { INITIAL_LIMIT + PROBES };
        assert!(
            *count <= limit,
            "killed after {:?}: {count} ended, the limit is {limit}; {ended:?}",
            KILL_STEP * *n
        );
    }
}

#[test]
fn silent_connection_for_batches_holds_one_payment() {
    assert_limit_after_each_time("chain");
}

#[test]
fn silent_connections_for_single_messages_hold_one_payment() {
    assert_limit_after_each_time("shop");
}
