//! The wall clock is stepped while the monotonic clock runs on: deadlines, windows and waits are spans of
//! real time, in one process and over a restart.

use crate::world::*;
use std::thread;
use std::time::{Duration, Instant};

const HOUR: i64 = 3_600_000_000;
const LONG: u64 = 50_000;
/// The window in which a keyed repeat is known.
const WINDOW: Duration = Duration::from_secs(2);

#[test]
fn a_wall_clock_that_is_stepped_while_calls_wait_and_are_out_ends_no_message() {
    for step in [HOUR, -HOUR] {
        let endpoint = Endpoint::new(|_| {
            thread::sleep(Duration::from_millis(400));
            answer("200 OK", "", "")
        });
        let known = [member("s-1", endpoint.address, "shop", 3, "up")];
        let (node, faults) = Node::with_faults(&known, |text| text);
        // The first is out when the clock is stepped, the second still waits.
        for id in [1, 2] {
            assert_eq!(node.hand_in("payment", id, 3, LONG, b"x").status(), 202);
        }
        until("a call", || endpoint.calls() > 0);
        faults.set_wall_clock_offset(step).expect("stepped");
        until("a call of each, or an end", || endpoint.calls() > 1 || node.platform.has_notice(2));
        // One that is handed in after the step has its time too.
        assert_eq!(node.hand_in("payment", 3, 3, LONG, b"x").status(), 202);
        until("a call of each, or an end", || endpoint.calls() > 2 || node.platform.has_notice(3));
        for id in [1, 2, 3] {
            assert!(!node.platform.has_notice(id), "message {id} was ended after a step of {step} us");
        }
    }
}

#[test]
fn a_wall_clock_that_is_stepped_between_two_processes_changes_no_deadline_and_no_window() {
    // Forward: what was not tried is tried.
    let endpoint = Endpoint::new(|_| answer("200 OK", "", ""));
    let known = [member("s-1", endpoint.address, "shop", 3, "draining")];
    let (mut node, faults) = Node::with_faults(&known, |text| text);
    assert_eq!(node.hand_in("payment", 1, 3, LONG, b"x").status(), 202);
    node.kill();
    faults.set_wall_clock_offset(HOUR).expect("stepped");
    let config = node.config().replace("\"draining\"", "\"up\"");
    std::fs::write(node.folder.path().join("config.json"), config).expect("a file");
    node.start_again();
    until("a call or an end", || endpoint.calls() > 0 || node.platform.has_notice(1));
    assert!(!node.platform.has_notice(1), "an hour forward ended a message that had its time");

    // Back: what cannot be delivered is ended when its time is up.
    let known = [member("s-1", endpoint.address, "shop", 3, "draining")];
    let (mut node, faults) = Node::with_faults(&known, |text| text);
    let begun = Instant::now();
    assert_eq!(node.hand_in("payment", 2, 3, 2_000, b"x").status(), 202);
    node.kill();
    faults.set_wall_clock_offset(-HOUR).expect("stepped");
    node.start_again();
    let ended = || node.platform.has_notice(2);
    until("an end, or far too late", || ended() || begun.elapsed() > Duration::from_secs(6));
    assert!(ended(), "an hour back: not ended long after its time");

    // Back: what may have run is not repeated once nobody would know the repeat.
    let hangs = Endpoint::new(|_| Reply::Hang);
    let known = [member("s-1", hangs.address, "shop", 3, "up")];
    let (mut node, faults) = Node::with_faults(&known, with_keyed_class);
    assert_eq!(node.hand_in("keyed", 3, 3, LONG, b"x").status(), 202);
    until("a call", || hangs.calls() > 0);
    node.kill();
    thread::sleep(WINDOW);
    faults.set_wall_clock_offset(-HOUR).expect("stepped");
    node.start_again();
    until("an end, or a repeat", || hangs.calls() > 1 || node.platform.has_notice(3));
    assert_eq!(hangs.calls(), 1, "a keyed message was repeated beyond its window");
}

#[test]
fn an_answer_so_late_that_it_may_not_count_is_followed_by_a_notice() {
    // A sender that was held up when it read a request takes its message's time to end later than it does. An
    // answer that comes in between is none for who wrote it, and a notice does no harm where it is one.
    const TIME: Duration = Duration::from_millis(1_000);
    let endpoint = Endpoint::new(|call| {
        let late = call.header("x-request-id").ends_with('1');
        thread::sleep(if late { TIME - Duration::from_millis(80) } else { Duration::from_millis(20) });
        answer("200 OK", "", "")
    });
    let node = Node::new(&[member("s-1", endpoint.address, "shop", 3, "up")], |text| text);
    assert_eq!(node.hand_in("payment", 2, 3, 1_000, b"x").status(), 202);
    until("its call", || endpoint.calls() == 1);
    let begun = Instant::now();
    assert_eq!(node.hand_in("payment", 1, 3, 1_000, b"x").status(), 202);
    let limit = TIME + Duration::from_millis(300);
    until("a notice, or too late", || node.platform.has_notice(1) || begun.elapsed() > limit);
    assert!(node.platform.has_notice(1), "no notice in {limit:?}");
    assert!(node.platform.notice(1).contains("\"dead\""));
    assert!(begun.elapsed() <= limit, "only after {:?}", begun.elapsed());
    assert!(!node.platform.has_notice(2), "one that was answered in time needs none");
}

#[test]
fn a_notice_after_an_answer_that_may_not_count_outlasts_a_kill() {
    const TIME: Duration = Duration::from_millis(1_000);
    let endpoint = Endpoint::new(|_| {
        thread::sleep(TIME - Duration::from_millis(80));
        answer("200 OK", "", "")
    });
    let mut node = Node::new(&[member("s-1", endpoint.address, "shop", 3, "up")], |text| text);
    *node.platform.turn_away.lock().expect("sound") = usize::MAX;
    assert_eq!(node.hand_in("payment", 1, 3, 1_000, b"x").status(), 202);
    // Behind the answer, and before a notice could be told.
    thread::sleep(TIME);
    node.kill();
    assert_eq!(endpoint.calls(), 1);
    *node.platform.turn_away.lock().expect("sound") = 0;
    node.start_again();
    let begun = Instant::now();
    let limit = Duration::from_millis(1_500);
    until("a notice, or too late", || node.platform.has_notice(1) || begun.elapsed() > limit);
    assert!(node.platform.has_notice(1), "no notice in {limit:?}");
}
