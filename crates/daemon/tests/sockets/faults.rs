//! System calls of the program fail in ways that the system documents: nothing is lost, given back early or
//! blamed on others for that.

use crate::growth::Needs;
use crate::world::*;
use notchpoint_faults::{ALWAYS, Fault, FaultController};
use std::thread;
use std::time::{Duration, Instant};

const LONG: u64 = 50_000;
/// Longer than eight tries take, each twice as long after the one before.
const TROUBLE: Duration = Duration::from_secs(13);
/// More tries a second than this at one destination are no pacing.
const TRIES_A_SECOND: u64 = 20;

/// A node with one endpoint of destination 3, and its faults.
fn one(does: impl FnMut(&Heard) -> Reply + Send + 'static) -> (Node, Endpoint, FaultController) {
    let endpoint = Endpoint::new(does);
    let (node, faults) = Node::with_faults(&[member("s-1", endpoint.address, "shop", 3, "up")], |text| text);
    (node, endpoint, faults)
}

/// Injected so often, and not more often than paced tries are.
fn assert_paced(faults: &FaultController, what: Fault, span: Duration) {
    let injected = faults.injected_count(what).expect("a count");
    assert!(injected > 0, "{what:?} was never tried");
    assert!(injected < TRIES_A_SECOND * span.as_secs(), "{what:?}: {injected} tries in {span:?}");
}

#[test]
fn a_connect_that_fails_on_this_side_spends_no_try_and_is_blamed_on_nobody() {
    let (node, endpoint, faults) = one(|_| answer("200 OK", "", ""));
    faults.fail(Fault::Connect, libc::EADDRNOTAVAIL, ALWAYS).expect("set");
    for (id, class) in [(1, "payment"), (2, "update")] {
        assert_eq!(node.hand_in(class, id, 3, LONG, b"x").status(), 202);
    }
    thread::sleep(TROUBLE);
    assert!(
        !node.platform.has_notice(1) && !node.platform.has_notice(2),
        "given back while nothing was sent"
    );
    assert_paced(&faults, Fault::Connect, TROUBLE);
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
    faults.fail(Fault::FileWrite, libc::EIO, ALWAYS).expect("set");
    thread::sleep(TROUBLE);
    assert_eq!(endpoint.calls(), 1, "sent without a record");
    assert!((1..=3).all(|id| !node.platform.has_notice(id)), "given back, with most of its time left");
    assert_paced(&faults, Fault::FileWrite, TROUBLE);
    faults.clear().expect("set");
    let healed = Instant::now();
    until("all are delivered", || endpoint.calls() >= 3);
    assert!(healed.elapsed() < Duration::from_secs(2), "only after {:?}", healed.elapsed());
}

#[test]
fn a_start_meets_a_folder_that_fails_for_a_while_and_waits_for_it() {
    let endpoint = Endpoint::new(|_| answer("200 OK", "", ""));
    let known = [member("s-1", endpoint.address, "shop", 3, "draining")];
    for (what, errno) in [(Fault::FileWrite, libc::ENOSPC), (Fault::FileOperation, libc::EIO)] {
        let (mut node, faults) = Node::with_faults(&known, |text| text);
        assert_eq!(node.hand_in("payment", 1, 3, LONG, b"x").status(), 202);
        node.kill();
        // A write that the kill cut in the middle: its start has to cut the log.
        let mut log = std::fs::OpenOptions::new().append(true).open(node.journal()).expect("the log");
        std::io::Write::write_all(&mut log, &[7; 20]).expect("written");
        faults.fail(what, errno, ALWAYS).expect("set");
        let healer = thread::spawn(move || {
            thread::sleep(Duration::from_secs(3));
            let injected = faults.injected_count(what).expect("a count");
            faults.clear().expect("set");
            (injected, faults)
        });
        let begun = Instant::now();
        node.start_again();
        assert_eq!(node.ask("GET /up", &[], b"").status(), 200);
        let took = begun.elapsed();
        let (injected, _faults) = healer.join().expect("it healed");
        assert!(injected > 0, "{what:?} was never tried");
        assert!(took < Duration::from_secs(5), "ready only after {took:?}");
        assert!(!node.platform.has_notice(1), "what was taken on is still owed");
        assert_eq!(node.hand_in("payment", 2, 3, LONG, b"x").status(), 202);
    }
}

#[test]
fn what_could_not_be_recorded_of_an_attempt_is_recorded_later_with_no_other_traffic() {
    // Refused as full while nothing can be written: it never ran, and the kill must not make that unknown.
    let (mut node, endpoint, faults) = one({
        let mut first = true;
        move |_| {
            thread::sleep(Duration::from_millis(300));
            match std::mem::take(&mut first) {
                true => answer("429 Full", "Retry-After: 4\r\n", ""),
                false => answer("200 OK", "", ""),
            }
        }
    });
    assert_eq!(node.hand_in("payment", 1, 3, LONG, b"x").status(), 202);
    until("a call", || endpoint.calls() > 0);
    faults.fail(Fault::FileWrite, libc::EIO, ALWAYS).expect("set");
    until("its end cannot be recorded", || faults.injected_count(Fault::FileWrite).expect("a count") > 0);
    faults.clear().expect("set");
    thread::sleep(Duration::from_millis(500));
    node.restart();
    until("a second call, or an end", || endpoint.calls() > 1 || node.platform.has_notice(1));
    assert!(!node.platform.has_notice(1), "given up, although it never ran");
}

#[test]
fn while_a_verdict_cannot_be_recorded_no_client_is_told_that_handing_in_again_is_harmless() {
    // A kill would forget the verdict, and the next process would send the message beside its repeat.
    let endpoint = Endpoint::new(|_| answer("200 OK", "", ""));
    let known = [member("s-1", endpoint.address, "shop", 3, "draining")];
    let (node, faults) = Node::with_faults(&known, |text| text);
    let begun = Instant::now();
    assert_eq!(node.hand_in("payment", 1, 3, 1_500, b"x").status(), 202);
    faults.fail(Fault::FileWrite, libc::EIO, ALWAYS).expect("set");
    let notice = node.platform.notice(1);
    let took = begun.elapsed();
    assert!(notice.contains("\"dead\""), "{notice}");
    assert!(took < Duration::from_millis(1_500 + 300), "overdue: {took:?}");
}

/// Hands so many messages in, each on a connection of its own, and says how many were answered 202.
fn taken_on(node: &Node, ids: std::ops::Range<u64>) -> usize {
    let threads: Vec<_> = ids
        .map(|id| {
            let address = node.address;
            thread::spawn(move || Client::new(address).try_hand_in("update", id, 3, LONG, b"x"))
        })
        .collect();
    threads.into_iter().map(|t| t.join().expect("asked")).filter(|status| *status == Some(202)).count()
}

#[test]
fn calls_on_sockets_that_are_interrupted_short_or_fail_for_a_moment_lose_no_request() {
    const EACH: usize = 40;
    let (node, endpoint, faults) = one(|_| answer("200 OK", "", ""));
    let kinds = [
        (Fault::SocketIo, libc::EINTR, 300),
        (Fault::ShortIo, 0, 700),
        (Fault::Accept, libc::ECONNABORTED, 500),
        (Fault::NoDelay, libc::ENOBUFS, 500),
    ];
    for (round, (what, errno, per_mille)) in (1..).zip(kinds) {
        faults.fail(what, errno, per_mille).expect("set");
        let first = round as u64 * 1_000;
        assert_eq!(taken_on(&node, first..first + EACH as u64), EACH, "{what:?}");
        until("a call of each", || endpoint.calls() >= round * EACH);
        assert!(faults.injected_count(what).expect("a count") > 0, "{what:?} was never injected");
        faults.clear().expect("set");
    }
    assert_eq!(endpoint.calls(), kinds.len() * EACH, "each once");
}

#[test]
fn where_no_thread_can_be_had_syncs_are_made_all_the_same() {
    let endpoint = Endpoint::new(|_| answer("200 OK", "", ""));
    let known = [member("s-1", endpoint.address, "shop", 3, "up")];
    let (mut node, faults) = Node::with_faults(&known, |text| text);
    node.kill();
    let operator = "[store]\ndurability = \"power\"\n";
    std::fs::write(node.folder.path().join("operator.toml"), operator).expect("a file");
    node.start_again();
    faults.fail(Fault::ThreadCreate, libc::EAGAIN, ALWAYS).expect("set");
    for id in 1..=5 {
        assert_eq!(node.hand_in("payment", id, 3, LONG, b"x").status(), 202);
    }
    until("a call of each", || endpoint.calls() >= 5);
    assert!(faults.injected_count(Fault::ThreadCreate).expect("a count") > 0, "no thread was wanted");
}

/// An endpoint of destination 3 under a name of its own.
fn serving(name: &str) -> (Endpoint, String) {
    let endpoint = Endpoint::new(|_| answer("200 OK", "", ""));
    let entry = member(name, endpoint.address, "shop", 3, "up");
    (endpoint, entry)
}

#[test]
fn a_configuration_that_cannot_be_read_at_the_signal_is_in_force_once_it_can() {
    for errno in [libc::ENFILE, libc::EIO] {
        let (old, entry) = serving("s-1");
        let (node, faults) = Node::with_faults(&[entry], |text| text);
        let elsewhere = Platform::new();
        let (new, entry) = serving("s-2");
        let text = at(&elsewhere.address.to_string())(node.config());
        faults.fail(Fault::FileRead, errno, ALWAYS).expect("set");
        node.reload(&text);
        let told = Instant::now();
        thread::sleep(Duration::from_millis(1_500));
        faults.clear().expect("set");
        elsewhere.tell(99, &[entry, member("s-1", old.address, "shop", 3, "draining")]);
        // From then on what only the new place tells is known.
        thread::sleep(Duration::from_secs(4).saturating_sub(told.elapsed()));
        let calls = old.calls();
        for id in 1..=5 {
            assert_eq!(node.hand_in("update", id, 3, LONG, b"x").status(), 202);
        }
        until("all calls", || old.calls() + new.calls() >= calls + 5);
        assert_eq!(old.calls(), calls, "sent by a list that was out of date");
    }
}

#[test]
fn a_configuration_that_the_folder_does_not_take_is_in_force_once_it_does() {
    let (_endpoint, entry) = serving("s-1");
    let (node, faults) = Node::with_faults(&[entry], |text| text);
    let elsewhere = Platform::new();
    // Classes are kept beside the messages that name them.
    let text = node.config().replace("\"deadlineS\": 60.0", "\"deadlineS\": 40.0");
    assert_ne!(text, node.config(), "a class changes");
    faults.fail(Fault::FileWrite, libc::ENOSPC, ALWAYS).expect("set");
    node.reload(&at(&elsewhere.address.to_string())(text));
    let told = Instant::now();
    // The place of the list is nothing that the folder has to know.
    until("a watch at the new place", || !elsewhere.watches.lock().expect("sound").is_empty());
    assert!(told.elapsed() < Duration::from_secs(1), "only after {:?}", told.elapsed());
    until("the classes were to be kept", || faults.injected_count(Fault::FileWrite).expect("a count") > 0);
    faults.clear().expect("set");
    thread::sleep(Duration::from_secs(1));
    assert_eq!(node.hand_in("update", 1, 3, 39_000, b"x").status(), 202);
    assert_eq!(node.hand_in("update", 2, 3, LONG, b"x").status(), 400, "more than its class has now");
}

#[test]
fn a_start_that_cannot_read_its_configuration_for_a_while_waits_for_it() {
    let endpoint = Endpoint::new(|_| answer("200 OK", "", ""));
    let known = [member("s-1", endpoint.address, "shop", 3, "draining")];
    for errno in [libc::ENFILE, libc::EIO] {
        let (mut node, faults) = Node::with_faults(&known, |text| text);
        assert_eq!(node.hand_in("payment", 1, 3, LONG, b"x").status(), 202);
        node.kill();
        faults.fail(Fault::FileRead, errno, ALWAYS).expect("set");
        let healer = thread::spawn(move || {
            thread::sleep(Duration::from_secs(2));
            faults.clear().expect("set");
            faults
        });
        let begun = Instant::now();
        node.start_again();
        assert_eq!(node.ask("GET /up", &[], b"").status(), 200);
        assert!(begun.elapsed() < Duration::from_secs(4), "ready only after {:?}", begun.elapsed());
        assert!(!node.platform.has_notice(1), "what was taken on is still owed");
        let faults = healer.join().expect("it healed");
        assert!(faults.injected_count(Fault::FileRead).expect("a count") > 0, "nothing was read");
    }
}

#[test]
fn a_start_that_waits_for_its_address_ends_when_it_is_told_to() {
    let (mut node, faults) = Node::with_faults(&[], |text| text);
    node.kill();
    faults.fail(Fault::Socket, libc::ENFILE, ALWAYS).expect("set");
    let begun = Instant::now();
    assert!(node.starts_until("address", &["-TERM"]), "an end with an error");
    assert!(begun.elapsed() < Duration::from_secs(3), "only after {:?}", begun.elapsed());
    assert!(faults.injected_count(Fault::Socket).expect("a count") > 0);
}

#[test]
fn memory_that_the_system_lacks_for_a_moment_ends_no_connection() {
    // recv and send may fail so on a connection that is sound.
    const EACH: usize = 40;
    let (node, endpoint, faults) = one(|_| answer("200 OK", "", ""));
    for (round, errno) in (1..).zip([libc::ENOMEM, libc::ENOBUFS]) {
        faults.fail(Fault::SocketIo, errno, 300).expect("set");
        let first = round as u64 * 1_000;
        assert_eq!(taken_on(&node, first..first + EACH as u64), EACH, "errno {errno}");
        until("a call of each", || endpoint.calls() >= round * EACH);
        faults.clear().expect("set");
    }
    assert!(faults.injected_count(Fault::SocketIo).expect("a count") > 0, "never injected");
    thread::sleep(Duration::from_secs(1));
    assert_eq!(endpoint.calls(), 2 * EACH, "each once");
}

#[test]
fn a_watch_that_this_side_could_not_begin_begins_once_it_can() {
    // It costs the list service nothing to be asked again; what it has to tell counts as told 4 s after the
    // signal.
    let (_endpoint, entry) = serving("s-1");
    let (node, faults) = Node::with_faults(&[entry], |text| text);
    for round in 1..=3 {
        let elsewhere = Platform::new();
        faults.fail(Fault::Connect, libc::EADDRNOTAVAIL, ALWAYS).expect("set");
        node.reload(&at(&elsewhere.address.to_string())(node.config()));
        thread::sleep(Duration::from_secs(3));
        faults.clear().expect("set");
        let healed = Instant::now();
        until("a watch at the new place", || !elsewhere.watches.lock().expect("sound").is_empty());
        assert!(healed.elapsed() < Duration::from_millis(500), "round {round}: {:?}", healed.elapsed());
    }
}

#[test]
fn a_connection_that_cannot_be_watched_here_is_blamed_on_nobody() {
    // Each call needs a connection of its own.
    let closing = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let (node, endpoint, faults) = one(move |_| Reply::Last(closing.to_owned()));
    let mut client = Client::new(node.address);
    assert_eq!(client.hand_in("payment", 1, 3, LONG, b"x").status(), 202);
    until("a first call", || endpoint.calls() == 1);
    for (round, errno) in (1..).zip([libc::ENOSPC, libc::ENOMEM]) {
        faults.fail(Fault::EpollAdd, errno, 700).expect("set");
        for id in 0..10 {
            assert_eq!(client.hand_in("payment", round * 100 + id, 3, LONG, b"x").status(), 202);
        }
        until("a call of each", || endpoint.calls() as u64 > round * 10);
        faults.clear().expect("set");
    }
    assert!(faults.injected_count(Fault::EpollAdd).expect("a count") > 0, "never injected");
    assert_eq!(endpoint.calls(), 21, "each once");
}

#[test]
fn signals_that_come_while_socket_calls_are_interrupted_are_heeded_and_end_nothing() {
    let (mut node, endpoint, faults) = one(|_| answer("200 OK", "", ""));
    faults.fail(Fault::SocketIo, libc::EINTR, 500).expect("set");
    for id in 1..=20 {
        node.signal("-HUP");
        assert_eq!(node.hand_in("payment", id, 3, LONG, b"x").status(), 202);
    }
    until("a call of each", || endpoint.calls() == 20);
    let told = Instant::now();
    node.terminate();
    assert!(node.exit(), "it ended as it was told to");
    assert!(told.elapsed() < Duration::from_secs(4), "only after {:?}", told.elapsed());
}

#[test]
fn while_all_socket_calls_are_interrupted_the_process_rests_between_them() {
    // One that tries again at once for as long as that lasts heeds nothing else, no signal and no deadline.
    let (mut node, endpoint, faults) = one(|_| answer("200 OK", "", ""));
    let mut client = Client::new(node.address);
    assert_eq!(client.hand_in("payment", 1, 3, LONG, b"x").status(), 202);
    until("its call", || endpoint.calls() == 1);
    faults.fail(Fault::SocketIo, libc::EINTR, ALWAYS).expect("set");
    let before = Needs::of(node.process()).cpu_seconds;
    client.send("POST /payment", &headers("0000000000000002", "payment", "9000", "3"), b"x");
    thread::sleep(Duration::from_secs(2));
    let spent = Needs::of(node.process()).cpu_seconds - before;
    assert!(spent < 1.0, "{spent} s of processor time in two seconds");
    let told = Instant::now();
    node.terminate();
    assert!(node.exit(), "it ended as it was told to");
    assert!(told.elapsed() < Duration::from_secs(4), "only after {:?}", told.elapsed());
}
