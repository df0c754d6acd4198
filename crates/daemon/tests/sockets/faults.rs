//! Faults injected into the program's system calls, with errors that the system documents: no message is lost
//! or bounced early because of them, and they do not count against an endpoint.

use crate::growth::ResourceUse;
use crate::world::*;
use notchpoint_faults::{ALWAYS, Fault, FaultController};
use std::thread;
use std::time::{Duration, Instant};

/// The time of a message in milliseconds: longer than a test usually takes.
const LONG: u64 = 50_000;
/// How long a fault lasts: longer than eight attempts with a backoff that doubles each time.
const FAULT_DURATION: Duration = Duration::from_secs(13);
/// The limit of attempts per second at one destination.
const MAX_ATTEMPTS_PER_SECOND: u64 = 20;

/// Starts a sender with one endpoint of destination 3 and a fault controller.
fn start_with_faults(
    handler: impl FnMut(&HttpMessage) -> Reply + Send + 'static,
) -> (Node, Endpoint, FaultController) {
    let endpoint = Endpoint::new(handler);
    let (node, faults) = Node::with_faults(&[member("s-1", endpoint.address, "shop", 3, "up")], |text| text);
    (node, endpoint, faults)
}

/// Asserts that the fault was injected, and not more often than paced attempts allow.
fn assert_paced(faults: &FaultController, fault: Fault, span: Duration) {
    let injected = faults.injected_count(fault).expect("the count is readable");
    assert!(injected > 0, "{fault:?} was never injected");
    assert!(
        injected < MAX_ATTEMPTS_PER_SECOND * span.as_secs(),
        "{fault:?}: {injected} attempts in {span:?}"
    );
}

#[test]
fn local_connect_error_uses_no_attempt_and_opens_no_breaker() {
    let (node, endpoint, faults) = start_with_faults(|_| response("200 OK", "", ""));
    faults.fail(Fault::Connect, libc::EADDRNOTAVAIL, ALWAYS).expect("the fault is set");
    for (id, class) in [(1, "payment"), (2, "update")] {
        assert_eq!(node.submit(class, id, 3, LONG, b"x").status(), 202);
    }
    thread::sleep(FAULT_DURATION);
    assert!(
        !node.platform.has_notice(1) && !node.platform.has_notice(2),
        "a message was ended although nothing was sent"
    );
    assert_paced(&faults, Fault::Connect, FAULT_DURATION);
    faults.clear().expect("the faults are cleared");
    let cleared = Instant::now();
    wait_until("both are delivered", || endpoint.calls() >= 2);
    // An open circuit breaker would let a single probe through, after its wait.
    assert!(cleared.elapsed() < Duration::from_secs(1), "only after {:?}", cleared.elapsed());
}

#[test]
fn attempt_that_cannot_be_recorded_is_not_made_and_is_retried_at_a_limited_rate() {
    let (node, endpoint, faults) = start_with_faults(|_| {
        thread::sleep(Duration::from_millis(300));
        response("200 OK", "", "")
    });
    for id in 1..=3 {
        assert_eq!(node.submit("payment", id, 3, LONG, b"x").status(), 202);
    }
    wait_until("a call", || endpoint.calls() > 0);
    faults.fail(Fault::FileWrite, libc::EIO, ALWAYS).expect("the fault is set");
    thread::sleep(FAULT_DURATION);
    assert_eq!(endpoint.calls(), 1, "an attempt was made without a record");
    assert!(
        (1..=3).all(|id| !node.platform.has_notice(id)),
        "a message was ended with most of its time left"
    );
    assert_paced(&faults, Fault::FileWrite, FAULT_DURATION);
    faults.clear().expect("the faults are cleared");
    let cleared = Instant::now();
    wait_until("all are delivered", || endpoint.calls() >= 3);
    assert!(cleared.elapsed() < Duration::from_secs(2), "only after {:?}", cleared.elapsed());
}

#[test]
fn start_waits_for_a_folder_that_fails_for_a_while() {
    let endpoint = Endpoint::new(|_| response("200 OK", "", ""));
    let members = [member("s-1", endpoint.address, "shop", 3, "draining")];
    for (fault, errno) in [(Fault::FileWrite, libc::ENOSPC), (Fault::FileOperation, libc::EIO)] {
        let (mut node, faults) = Node::with_faults(&members, |text| text);
        assert_eq!(node.submit("payment", 1, 3, LONG, b"x").status(), 202);
        node.kill();
        // A partial write as a kill leaves it: the start has to truncate the log.
        let mut log =
            std::fs::OpenOptions::new().append(true).open(node.log_path()).expect("the log can be opened");
        std::io::Write::write_all(&mut log, &[7; 20]).expect("the bytes are written");
        faults.fail(fault, errno, ALWAYS).expect("the fault is set");
        let clearing_thread = thread::spawn(move || {
            thread::sleep(Duration::from_secs(3));
            let injected = faults.injected_count(fault).expect("the count is readable");
            faults.clear().expect("the faults are cleared");
            (injected, faults)
        });
        let begun = Instant::now();
        node.start_again();
        assert_eq!(node.request("GET /up", &[], b"").status(), 200);
        let took = begun.elapsed();
        let (injected, _faults) = clearing_thread.join().expect("the thread has cleared the fault");
        assert!(injected > 0, "{fault:?} was never injected");
        assert!(took < Duration::from_secs(5), "ready only after {took:?}");
        assert!(!node.platform.has_notice(1), "the accepted message is still open");
        assert_eq!(node.submit("payment", 2, 3, LONG, b"x").status(), 202);
    }
}

#[test]
fn outcome_that_could_not_be_recorded_is_recorded_later_without_other_traffic() {
    // The call is refused with 429 while nothing can be written: it never ran, and the kill must not lose
    // this outcome.
    let (mut node, endpoint, faults) = start_with_faults({
        let mut first = true;
        move |_| {
            thread::sleep(Duration::from_millis(300));
            match std::mem::take(&mut first) {
                true => response("429 Full", "Retry-After: 4\r\n", ""),
                false => response("200 OK", "", ""),
            }
        }
    });
    assert_eq!(node.submit("payment", 1, 3, LONG, b"x").status(), 202);
    wait_until("a call", || endpoint.calls() > 0);
    faults.fail(Fault::FileWrite, libc::EIO, ALWAYS).expect("the fault is set");
    wait_until("a failed write of the outcome", || {
        faults.injected_count(Fault::FileWrite).expect("the count is readable") > 0
    });
    faults.clear().expect("the faults are cleared");
    thread::sleep(Duration::from_millis(500));
    node.restart();
    wait_until("a second call, or an end", || endpoint.calls() > 1 || node.platform.has_notice(1));
    assert!(!node.platform.has_notice(1), "the message was ended although its call never ran");
}

#[test]
fn verdict_that_cannot_be_recorded_is_reported_as_dead_and_not_as_bounced() {
    // Guards against a message that is sent in addition to the client's resend: after a kill the next process
    // would not know the verdict and would send the message.
    let endpoint = Endpoint::new(|_| response("200 OK", "", ""));
    let members = [member("s-1", endpoint.address, "shop", 3, "draining")];
    let (node, faults) = Node::with_faults(&members, |text| text);
    let begun = Instant::now();
    assert_eq!(node.submit("payment", 1, 3, 1_500, b"x").status(), 202);
    faults.fail(Fault::FileWrite, libc::EIO, ALWAYS).expect("the fault is set");
    let notice = node.platform.notice(1);
    let took = begun.elapsed();
    assert!(notice.contains("\"dead\""), "{notice}");
    assert!(took < Duration::from_millis(1_500 + 300), "overdue: {took:?}");
}

/// Submits messages, each on a connection of its own, and returns how many were answered 202.
fn count_accepted(node: &Node, ids: std::ops::Range<u64>) -> usize {
    let threads: Vec<_> = ids
        .map(|id| {
            let address = node.address;
            thread::spawn(move || Client::new(address).try_submit("update", id, 3, LONG, b"x"))
        })
        .collect();
    threads
        .into_iter()
        .map(|t| t.join().expect("the thread has not panicked"))
        .filter(|status| *status == Some(202))
        .count()
}

#[test]
fn interrupted_short_or_transiently_failing_socket_calls_lose_no_request() {
    const MESSAGES_PER_ROUND: usize = 40;
    let (node, endpoint, faults) = start_with_faults(|_| response("200 OK", "", ""));
    let cases = [
        (Fault::SocketIo, libc::EINTR, 300),
        (Fault::ShortIo, 0, 700),
        (Fault::Accept, libc::ECONNABORTED, 500),
        (Fault::NoDelay, libc::ENOBUFS, 500),
    ];
    for (round, (fault, errno, per_mille)) in (1..).zip(cases) {
        faults.fail(fault, errno, per_mille).expect("the fault is set");
        let first = round as u64 * 1_000;
        assert_eq!(
            count_accepted(&node, first..first + MESSAGES_PER_ROUND as u64),
            MESSAGES_PER_ROUND,
            "{fault:?}"
        );
        wait_until("a call of each message", || endpoint.calls() >= round * MESSAGES_PER_ROUND);
        assert!(
            faults.injected_count(fault).expect("the count is readable") > 0,
            "{fault:?} was never injected"
        );
        faults.clear().expect("the faults are cleared");
    }
    assert_eq!(endpoint.calls(), cases.len() * MESSAGES_PER_ROUND, "each message is sent once");
}

#[test]
fn syncs_are_made_when_no_thread_can_be_created() {
    let endpoint = Endpoint::new(|_| response("200 OK", "", ""));
    let members = [member("s-1", endpoint.address, "shop", 3, "up")];
    let (mut node, faults) = Node::with_faults(&members, |text| text);
    node.kill();
    let operator = "[store]\ndurability = \"power\"\n";
    std::fs::write(node.folder.path().join("operator.toml"), operator).expect("the file is written");
    node.start_again();
    faults.fail(Fault::ThreadCreate, libc::EAGAIN, ALWAYS).expect("the fault is set");
    for id in 1..=5 {
        assert_eq!(node.submit("payment", id, 3, LONG, b"x").status(), 202);
    }
    wait_until("a call of each message", || endpoint.calls() >= 5);
    assert!(
        faults.injected_count(Fault::ThreadCreate).expect("the count is readable") > 0,
        "no thread creation was attempted"
    );
}

/// Returns an endpoint of destination 3 that serves all calls, and its list entry with this id.
fn serving_endpoint(name: &str) -> (Endpoint, String) {
    let endpoint = Endpoint::new(|_| response("200 OK", "", ""));
    let entry = member(name, endpoint.address, "shop", 3, "up");
    (endpoint, entry)
}

#[test]
fn configuration_that_cannot_be_read_at_sighup_is_applied_once_it_can_be_read() {
    for errno in [libc::ENFILE, libc::EIO] {
        let (old, entry) = serving_endpoint("s-1");
        let (node, faults) = Node::with_faults(&[entry], |text| text);
        let new_platform = Platform::new();
        let (new, entry) = serving_endpoint("s-2");
        let text = with_discovery(&new_platform.address.to_string())(node.config());
        faults.fail(Fault::FileRead, errno, ALWAYS).expect("the fault is set");
        node.reload(&text);
        let signalled = Instant::now();
        thread::sleep(Duration::from_millis(1_500));
        faults.clear().expect("the faults are cleared");
        new_platform.publish(99, &[entry, member("s-1", old.address, "shop", 3, "draining")]);
        // 4 s after the signal a change that only the new service sends must be known.
        thread::sleep(Duration::from_secs(4).saturating_sub(signalled.elapsed()));
        let calls = old.calls();
        for id in 1..=5 {
            assert_eq!(node.submit("update", id, 3, LONG, b"x").status(), 202);
        }
        wait_until("all calls", || old.calls() + new.calls() >= calls + 5);
        assert_eq!(old.calls(), calls, "a message was sent according to the outdated list");
    }
}

#[test]
fn configuration_that_cannot_be_stored_is_applied_once_it_can_be() {
    let (_endpoint, entry) = serving_endpoint("s-1");
    let (node, faults) = Node::with_faults(&[entry], |text| text);
    let new_platform = Platform::new();
    // Classes are stored with the messages that refer to them.
    let text = node.config().replace("\"deadlineS\": 60.0", "\"deadlineS\": 40.0");
    assert_ne!(text, node.config(), "a class changes");
    faults.fail(Fault::FileWrite, libc::ENOSPC, ALWAYS).expect("the fault is set");
    node.reload(&with_discovery(&new_platform.address.to_string())(text));
    let signalled = Instant::now();
    // The address of the discovery service is not stored in the folder.
    wait_until("a watch at the new service", || {
        !new_platform.watches.lock().expect("not poisoned").is_empty()
    });
    assert!(signalled.elapsed() < Duration::from_secs(1), "only after {:?}", signalled.elapsed());
    wait_until("a failed write of the classes", || {
        faults.injected_count(Fault::FileWrite).expect("the count is readable") > 0
    });
    faults.clear().expect("the faults are cleared");
    thread::sleep(Duration::from_secs(1));
    assert_eq!(node.submit("update", 1, 3, 39_000, b"x").status(), 202);
    assert_eq!(node.submit("update", 2, 3, LONG, b"x").status(), 400, "longer than its class's new deadline");
}

#[test]
fn start_waits_for_a_configuration_that_cannot_be_read_for_a_while() {
    let endpoint = Endpoint::new(|_| response("200 OK", "", ""));
    let members = [member("s-1", endpoint.address, "shop", 3, "draining")];
    for errno in [libc::ENFILE, libc::EIO] {
        let (mut node, faults) = Node::with_faults(&members, |text| text);
        assert_eq!(node.submit("payment", 1, 3, LONG, b"x").status(), 202);
        node.kill();
        faults.fail(Fault::FileRead, errno, ALWAYS).expect("the fault is set");
        let clearing_thread = thread::spawn(move || {
            thread::sleep(Duration::from_secs(2));
            faults.clear().expect("the faults are cleared");
            faults
        });
        let begun = Instant::now();
        node.start_again();
        assert_eq!(node.request("GET /up", &[], b"").status(), 200);
        assert!(begun.elapsed() < Duration::from_secs(4), "ready only after {:?}", begun.elapsed());
        assert!(!node.platform.has_notice(1), "the accepted message is still open");
        let faults = clearing_thread.join().expect("the thread has cleared the fault");
        assert!(
            faults.injected_count(Fault::FileRead).expect("the count is readable") > 0,
            "the fault was never injected"
        );
    }
}

#[test]
fn start_that_waits_for_its_address_exits_on_sigterm() {
    let (mut node, faults) = Node::with_faults(&[], |text| text);
    node.kill();
    faults.fail(Fault::Socket, libc::ENFILE, ALWAYS).expect("the fault is set");
    let begun = Instant::now();
    assert!(node.start_and_signal_at("address", &["-TERM"]), "it does not exit with success");
    assert!(begun.elapsed() < Duration::from_secs(3), "only after {:?}", begun.elapsed());
    assert!(faults.injected_count(Fault::Socket).expect("the count is readable") > 0);
}

#[test]
fn transient_lack_of_system_memory_closes_no_connection() {
    // recv and send may fail with these errors on an intact connection.
    const MESSAGES_PER_ROUND: usize = 40;
    let (node, endpoint, faults) = start_with_faults(|_| response("200 OK", "", ""));
    for (round, errno) in (1..).zip([libc::ENOMEM, libc::ENOBUFS]) {
        faults.fail(Fault::SocketIo, errno, 300).expect("the fault is set");
        let first = round as u64 * 1_000;
        assert_eq!(
            count_accepted(&node, first..first + MESSAGES_PER_ROUND as u64),
            MESSAGES_PER_ROUND,
            "errno {errno}"
        );
        wait_until("a call of each message", || endpoint.calls() >= round * MESSAGES_PER_ROUND);
        faults.clear().expect("the faults are cleared");
    }
    assert!(
        faults.injected_count(Fault::SocketIo).expect("the count is readable") > 0,
        "the fault was never injected"
    );
    thread::sleep(Duration::from_secs(1));
    assert_eq!(endpoint.calls(), 2 * MESSAGES_PER_ROUND, "each message is sent once");
}

#[test]
fn watch_that_failed_on_a_local_error_is_opened_as_soon_as_possible() {
    // An immediate retry does not load the discovery service; its changes must be known 4 s after the signal.
    let (_endpoint, entry) = serving_endpoint("s-1");
    let (node, faults) = Node::with_faults(&[entry], |text| text);
    for round in 1..=3 {
        let new_platform = Platform::new();
        faults.fail(Fault::Connect, libc::EADDRNOTAVAIL, ALWAYS).expect("the fault is set");
        node.reload(&with_discovery(&new_platform.address.to_string())(node.config()));
        thread::sleep(Duration::from_secs(3));
        faults.clear().expect("the faults are cleared");
        let cleared = Instant::now();
        wait_until("a watch at the new service", || {
            !new_platform.watches.lock().expect("not poisoned").is_empty()
        });
        assert!(cleared.elapsed() < Duration::from_millis(500), "round {round}: {:?}", cleared.elapsed());
    }
}

#[test]
fn connection_that_cannot_be_registered_with_epoll_does_not_count_against_the_endpoint() {
    // The endpoint closes each connection after its response, so that each call needs a new one.
    let closing = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let (node, endpoint, faults) = start_with_faults(move |_| Reply::RespondAndClose(closing.to_owned()));
    let mut client = Client::new(node.address);
    assert_eq!(client.submit("payment", 1, 3, LONG, b"x").status(), 202);
    wait_until("a first call", || endpoint.calls() == 1);
    for (round, errno) in (1..).zip([libc::ENOSPC, libc::ENOMEM]) {
        faults.fail(Fault::EpollAdd, errno, 700).expect("the fault is set");
        for id in 0..10 {
            assert_eq!(client.submit("payment", round * 100 + id, 3, LONG, b"x").status(), 202);
        }
        wait_until("a call of each message", || endpoint.calls() as u64 > round * 10);
        faults.clear().expect("the faults are cleared");
    }
    assert!(
        faults.injected_count(Fault::EpollAdd).expect("the count is readable") > 0,
        "the fault was never injected"
    );
    assert_eq!(endpoint.calls(), 21, "each message is sent once");
}

#[test]
fn signals_are_handled_while_socket_calls_are_interrupted() {
    let (mut node, endpoint, faults) = start_with_faults(|_| response("200 OK", "", ""));
    faults.fail(Fault::SocketIo, libc::EINTR, 500).expect("the fault is set");
    for id in 1..=20 {
        node.signal("-HUP");
        assert_eq!(node.submit("payment", id, 3, LONG, b"x").status(), 202);
    }
    wait_until("a call of each message", || endpoint.calls() == 20);
    let signalled = Instant::now();
    node.terminate();
    assert!(node.exited_cleanly(), "it does not exit with success");
    assert!(signalled.elapsed() < Duration::from_secs(4), "only after {:?}", signalled.elapsed());
}

#[test]
fn process_pauses_between_retries_while_all_socket_calls_are_interrupted() {
    // A process that retries at once all the time would handle neither signals nor deadlines.
    let (mut node, endpoint, faults) = start_with_faults(|_| response("200 OK", "", ""));
    let mut client = Client::new(node.address);
    assert_eq!(client.submit("payment", 1, 3, LONG, b"x").status(), 202);
    wait_until("a call of the message", || endpoint.calls() == 1);
    faults.fail(Fault::SocketIo, libc::EINTR, ALWAYS).expect("the fault is set");
    let before = ResourceUse::of_process(node.pid()).cpu_seconds;
    client.send("POST /payment", &headers("0000000000000002", "payment", "9000", "3"), b"x");
    thread::sleep(Duration::from_secs(2));
    let spent = ResourceUse::of_process(node.pid()).cpu_seconds - before;
    assert!(spent < 1.0, "{spent} s of processor time in two seconds");
    let signalled = Instant::now();
    node.terminate();
    assert!(node.exited_cleanly(), "it does not exit with success");
    assert!(signalled.elapsed() < Duration::from_secs(4), "only after {:?}", signalled.elapsed());
}
