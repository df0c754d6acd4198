//! Steps of the wall clock while the monotonic clock continues: deadlines, deduplication windows and waits
//! are spans of real time, in one process and over a restart.

use crate::world::*;
use std::thread;
use std::time::{Duration, Instant};

/// In microseconds.
const HOUR: i64 = 3_600_000_000;
/// The time of a message in milliseconds: longer than a test usually takes.
const LONG: u64 = 50_000;
/// The deduplication window of the class `keyed`.
const WINDOW: Duration = Duration::from_secs(2);

#[test]
fn wall_clock_step_during_waits_and_calls_ends_no_message() {
    for step in [HOUR, -HOUR] {
        let endpoint = Endpoint::new(|_| {
            thread::sleep(Duration::from_millis(400));
            response("200 OK", "", "")
        });
        let members = [member("s-1", endpoint.address, "shop", 3, "up")];
        let (node, faults) = Node::with_faults(&members, |text| text);
        // The first message is in flight when the clock is stepped, the second still waits.
        for id in [1, 2] {
            assert_eq!(node.submit("payment", id, 3, LONG, b"x").status(), 202);
        }
        wait_until("a call", || endpoint.calls() > 0);
        faults.set_wall_clock_offset(step).expect("the clock offset is set");
        wait_until("a call of each, or an end", || endpoint.calls() > 1 || node.platform.has_notice(2));
        // A message that is submitted after the step has its full time too.
        assert_eq!(node.submit("payment", 3, 3, LONG, b"x").status(), 202);
        wait_until("a call of each, or an end", || endpoint.calls() > 2 || node.platform.has_notice(3));
        for id in [1, 2, 3] {
            assert!(!node.platform.has_notice(id), "message {id} was ended after a step of {step} us");
        }
    }
}

#[test]
fn wall_clock_step_between_two_processes_changes_no_deadline_and_no_window() {
    // Forward: an untried message is sent.
    let endpoint = Endpoint::new(|_| response("200 OK", "", ""));
    let members = [member("s-1", endpoint.address, "shop", 3, "draining")];
    let (mut node, faults) = Node::with_faults(&members, |text| text);
    assert_eq!(node.submit("payment", 1, 3, LONG, b"x").status(), 202);
    node.kill();
    faults.set_wall_clock_offset(HOUR).expect("the clock offset is set");
    let config = node.config().replace("\"draining\"", "\"up\"");
    std::fs::write(node.folder.path().join("config.json"), config).expect("the file is written");
    node.start_again();
    wait_until("a call or an end", || endpoint.calls() > 0 || node.platform.has_notice(1));
    assert!(!node.platform.has_notice(1), "an hour forward ended a message before its deadline");

    // Back: a message that cannot be delivered is ended at its deadline.
    let members = [member("s-1", endpoint.address, "shop", 3, "draining")];
    let (mut node, faults) = Node::with_faults(&members, |text| text);
    let begun = Instant::now();
    assert_eq!(node.submit("payment", 2, 3, 2_000, b"x").status(), 202);
    node.kill();
    faults.set_wall_clock_offset(-HOUR).expect("the clock offset is set");
    node.start_again();
    let ended = || node.platform.has_notice(2);
    wait_until("an end, or far too late", || ended() || begun.elapsed() > Duration::from_secs(6));
    assert!(ended(), "an hour back: not ended long after its deadline");

    // Back: a message that may have run is not resent after its deduplication window.
    let hangs = Endpoint::new(|_| Reply::Hang);
    let members = [member("s-1", hangs.address, "shop", 3, "up")];
    let (mut node, faults) = Node::with_faults(&members, with_deduplicated_class);
    assert_eq!(node.submit("keyed", 3, 3, LONG, b"x").status(), 202);
    wait_until("a call", || hangs.calls() > 0);
    node.kill();
    thread::sleep(WINDOW);
    faults.set_wall_clock_offset(-HOUR).expect("the clock offset is set");
    node.start_again();
    wait_until("an end, or a repeat", || hangs.calls() > 1 || node.platform.has_notice(3));
    assert_eq!(hangs.calls(), 1, "a deduplicated message was resent after its window");
}

#[test]
fn response_close_to_the_deadline_is_followed_by_a_notice() {
    // A sender that was delayed when it read a request computes a deadline that is too late. A response that
    // arrives between the two deadlines does not count for the client, and a notice after one that counts
    // does no harm.
    const TIME: Duration = Duration::from_millis(1_000);
    let endpoint = Endpoint::new(|call| {
        let late = call.header("x-request-id").ends_with('1');
        thread::sleep(if late { TIME - Duration::from_millis(80) } else { Duration::from_millis(20) });
        response("200 OK", "", "")
    });
    let node = Node::new(&[member("s-1", endpoint.address, "shop", 3, "up")], |text| text);
    assert_eq!(node.submit("payment", 2, 3, 1_000, b"x").status(), 202);
    wait_until("a call of the message", || endpoint.calls() == 1);
    let begun = Instant::now();
    assert_eq!(node.submit("payment", 1, 3, 1_000, b"x").status(), 202);
    let limit = TIME + Duration::from_millis(300);
    wait_until("a notice, or too late", || node.platform.has_notice(1) || begun.elapsed() > limit);
    assert!(node.platform.has_notice(1), "no notice in {limit:?}");
    assert!(node.platform.notice(1).contains("\"dead\""));
    assert!(begun.elapsed() <= limit, "only after {:?}", begun.elapsed());
    assert!(!node.platform.has_notice(2), "a message that was answered in time needs no notice");
}

#[test]
fn notice_after_a_response_close_to_the_deadline_survives_a_kill() {
    const TIME: Duration = Duration::from_millis(1_000);
    let endpoint = Endpoint::new(|_| {
        thread::sleep(TIME - Duration::from_millis(80));
        response("200 OK", "", "")
    });
    let mut node = Node::new(&[member("s-1", endpoint.address, "shop", 3, "up")], |text| text);
    *node.platform.notices_to_reject.lock().expect("not poisoned") = usize::MAX;
    assert_eq!(node.submit("payment", 1, 3, 1_000, b"x").status(), 202);
    // After the response, and before a notice could be delivered.
    thread::sleep(TIME);
    node.kill();
    assert_eq!(endpoint.calls(), 1);
    *node.platform.notices_to_reject.lock().expect("not poisoned") = 0;
    node.start_again();
    let begun = Instant::now();
    let limit = Duration::from_millis(1_500);
    wait_until("a notice, or too late", || node.platform.has_notice(1) || begun.elapsed() > limit);
    assert!(node.platform.has_notice(1), "no notice in {limit:?}");
}
