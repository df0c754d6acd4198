//! System calls of the program fail in ways that the system documents: nothing is lost, given back early or
//! blamed on others for that.

use crate::world::*;
use notchpoint_faults::{ALWAYS, Faults, Word};
use std::thread;
use std::time::{Duration, Instant};

const LONG: u64 = 50_000;
/// Longer than eight tries take, each twice as long after the one before.
const TROUBLE: Duration = Duration::from_secs(13);
/// More tries a second than this at one destination are no pacing.
const TRIES_A_SECOND: u64 = 20;

/// A node with one endpoint of destination 3, and its faults.
fn one(does: impl FnMut(&Heard) -> Reply + Send + 'static) -> (Node, Endpoint, Faults) {
    let endpoint = Endpoint::new(does);
    let (node, faults) = Node::with_faults(&[member("s-1", endpoint.address, "shop", 3, "up")], |text| text);
    (node, endpoint, faults)
}

/// Injected so often, and not more often than paced tries are.
fn assert_paced(faults: &Faults, what: Word, span: Duration) {
    let injected = faults.injected(what).expect("a count");
    assert!(injected > 0, "{what:?} was never tried");
    assert!(injected < TRIES_A_SECOND * span.as_secs(), "{what:?}: {injected} tries in {span:?}");
}

#[test]
fn a_connect_that_fails_on_this_side_spends_no_try_and_is_blamed_on_nobody() {
    let (node, endpoint, faults) = one(|_| answer("200 OK", "", ""));
    faults.fail(Word::Connect, libc::EADDRNOTAVAIL, ALWAYS).expect("set");
    for (id, class) in [(1, "payment"), (2, "update")] {
        assert_eq!(node.hand_in(class, id, 3, LONG, b"x").status(), 202);
    }
    thread::sleep(TROUBLE);
    assert!(
        !node.platform.has_notice(1) && !node.platform.has_notice(2),
        "given back while nothing was sent"
    );
    assert_paced(&faults, Word::Connect, TROUBLE);
    faults.clear().expect("set");
    let healed = Instant::now();
    until("both are delivered", || endpoint.calls() >= 2);
    // A breaker that had opened would let one through, after its wait.
    assert!(healed.elapsed() < Duration::from_secs(1), "only after {:?}", healed.elapsed());
}

#[test]
fn while_an_attempt_cannot_be_recorded_it_is_not_made_spends_no_try_and_the_folder_is_rested() {
    let (node, endpoint, faults) = one(|_| {
        thread::sleep(Duration::from_millis(300));
        answer("200 OK", "", "")
    });
    for id in 1..=3 {
        assert_eq!(node.hand_in("payment", id, 3, LONG, b"x").status(), 202);
    }
    until("a call", || endpoint.calls() > 0);
    faults.fail(Word::FileWrite, libc::EIO, ALWAYS).expect("set");
    thread::sleep(TROUBLE);
    assert_eq!(endpoint.calls(), 1, "sent without a record");
    assert!((1..=3).all(|id| !node.platform.has_notice(id)), "given back, with most of its time left");
    assert_paced(&faults, Word::FileWrite, TROUBLE);
    faults.clear().expect("set");
    let healed = Instant::now();
    until("all are delivered", || endpoint.calls() >= 3);
    assert!(healed.elapsed() < Duration::from_secs(2), "only after {:?}", healed.elapsed());
}
