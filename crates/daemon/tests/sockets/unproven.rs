//! Limits of at-most-once messages on unproven connections: a connection that has not carried a response yet
//! may never carry one, and at-most-once messages that were written to it have to be ended.
//!
//! Guards against up to twenty payments in one call on a new connection without a response: when the sender
//! is killed, each of them is ended as one that may have run. The policy filled calls without regard to
//! their connection; on brink seeds 901 and 937 the trace had six and ten payments in one such call, 0.6 s
//! before the kill.

use crate::world::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const LONG: u64 = 50_000;
const PAYMENTS: u64 = 20;
/// The limit is one payment at first, and one with each probe. A call is overdue after half a second at the
/// earliest, so one probe may have been made in the first second.
const FIRST: usize = 1;
const PROBES: usize = 1;
const STEP: Duration = Duration::from_millis(100);
const STEPS: u32 = 10;

/// Submits payments for an endpoint that accepts connections and does not respond, and kills the sender so
/// long after its call. Returns how many payments were ended as ones that may have run.
fn count_ended(kind: &str, after: Duration) -> usize {
    let silent = Arc::new(AtomicBool::new(true));
    let is_silent = silent.clone();
    let endpoint = Endpoint::new(move |call| {
        let done: String = call.ids().iter().map(|id| format!("{id} done\r\n")).collect();
        if is_silent.load(Ordering::Relaxed) { Reply::Hang } else { response("200 OK", "", &done) }
    });
    let entry = |phase: &str| member("s-1", endpoint.address, kind, 3, phase);
    let mut node = Node::new(&[entry("draining")], |text| text);
    let mut client = Client::new(node.address);
    for id in 1..=PAYMENTS {
        assert_eq!(client.submit("payment", id, 3, LONG, b"x").status(), 202);
    }
    node.platform.publish(42, &[entry("up")]);
    wait_until("its call", || endpoint.calls() > 0);
    thread::sleep(after);
    node.kill();
    silent.store(false, Ordering::Relaxed);
    let before = endpoint.calls();
    node.platform.watches.lock().expect("not poisoned").clear();
    node.start_again();
    let served = || {
        let requests = endpoint.requests.lock().expect("not poisoned");
        requests[before..].iter().map(|call| call.ids().len().max(1)).sum::<usize>()
    };
    let ended = || node.platform.notices.lock().expect("not poisoned").len();
    wait_until("a call or a notice for each payment", || served() + ended() >= PAYMENTS as usize);
    ended()
}

/// Kills the sender after each of `STEPS` spans and asserts the limit.
fn assert_limit_at_every_step(kind: &'static str) {
    let runs: Vec<_> = (1..=STEPS).map(|n| thread::spawn(move || (n, count_ended(kind, STEP * n)))).collect();
    let ended: Vec<(u32, usize)> = runs.into_iter().map(|run| run.join().expect("run")).collect();
    for (n, count) in &ended {
        let limit = if STEP * *n < Duration::from_millis(500) { FIRST } else { FIRST + PROBES };
        assert!(*count <= limit, "killed after {:?}: {count}, the limit is {limit}; {ended:?}", STEP * *n);
    }
}

#[test]
fn silent_connection_for_batches_holds_one_payment() {
    assert_limit_at_every_step("chain");
}

#[test]
fn silent_connections_for_single_messages_hold_one_payment() {
    assert_limit_at_every_step("shop");
}
