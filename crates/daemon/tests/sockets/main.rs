//! The program on loopback sockets, tested through its interfaces to clients, endpoints and the platform.

mod classes;
mod clock;
mod closing;
mod delays;
mod descriptors;
mod faults;
mod flight;
mod growth;
mod handover;
mod keys;
mod late_answers;
mod operations;
mod outage;
mod restart;
mod reuse;
mod store;
mod unproven;
mod watch;
mod world;

use std::time::Duration;
use world::*;

/// The time of a message in milliseconds: longer than a test usually takes.
const LONG: u64 = 60_000;

fn ok() -> Reply {
    response("200 OK", "", "")
}

fn unchanged(text: String) -> String {
    text
}

/// Starts a sender with one endpoint of destination 3; destination 9 only drains.
fn start_with_endpoint(
    kind: &str,
    handler: impl FnMut(&HttpMessage) -> Reply + Send + 'static,
) -> (Node, Endpoint) {
    let endpoint = Endpoint::new(handler);
    (
        Node::new(
            &[member("s-1", endpoint.address, kind, 3, "up"), draining_entry(endpoint.address)],
            unchanged,
        ),
        endpoint,
    )
}

/// Returns an entry for destination 9, which only drains: messages for it are accepted and not sent.
fn draining_entry(address: std::net::SocketAddr) -> String {
    member("s-8", address, "shop", 9, "draining")
}

#[test]
fn message_is_delivered_unchanged() {
    let (node, endpoint) = start_with_endpoint("shop", |_| ok());
    // A body may contain any bytes, also some that look like the end of a header block or a batch's line.
    let body = b"\0\xff\r\n\r\n9b1f03aa5c7e2d41 - 5\r\n".as_slice();
    assert_eq!(node.submit("update", 0x9b1f, 3, LONG, body).status(), 202);
    let call = endpoint.call(0);
    assert_eq!((call.line.as_str(), call.body.as_slice()), ("POST /v1/messages", body));
    assert_eq!(call.header("x-request-id"), "0000000000009b1f");
    assert!(call.header("x-timeout-ms").parse::<u64>().is_ok_and(|ms| ms <= LONG));
}

/// Serves a call: in the form for several messages each is done.
fn serve_any_form(request: &HttpMessage) -> Reply {
    let lines: String = request.ids().iter().map(|id| format!("{id} done\r\n")).collect();
    response("200 OK", "", if request.line.ends_with(":batch") { &lines } else { "" })
}

#[test]
fn consecutive_calls_share_a_connection_for_as_long_as_their_answers_show_whose_they_are() {
    // Guards against a new connection, with its cost, for each message, and against a third answer on one
    // connection that could be a copy of the second.
    for (kind, connections) in [("shop", [0, 0, 1, 1, 2]), ("chain", [0; 5])] {
        let (node, endpoint) = start_with_endpoint(kind, serve_any_form);
        for (id, connection) in (0..).zip(connections) {
            node.submit("payment", id, 3, LONG, b"");
            let call = endpoint.call(id as usize);
            assert_eq!(call.connection, connection, "call {id}, {kind}");
            let is_last = kind == "shop" && id % 2 == 1;
            assert_eq!(call.header("connection"), if is_last { "close" } else { "" }, "call {id}, {kind}");
        }
    }
}

#[test]
fn idle_connections_of_an_endpoint_that_moved_are_not_used_again() {
    // In test builds the process ends if the policy counts connections that do not exist.
    let (node, endpoint) = start_with_endpoint("shop", |_| ok());
    node.submit("update", 1, 3, LONG, b"");
    endpoint.call(0);
    let moved = Endpoint::new(|_| ok());
    node.platform.publish(42, &[member("s-1", moved.address, "shop", 3, "up")]);
    wait_until("a call at the new address", || {
        node.submit("update", 100 + moved.calls() as u64 + endpoint.calls() as u64, 3, LONG, b"");
        moved.calls() > 0
    });
    for id in 2..5 {
        let before = moved.calls();
        assert_eq!(node.submit("update", id, 3, LONG, b"").status(), 202);
        wait_until("a call of the message", || moved.calls() > before);
    }
}

#[test]
fn closed_connection_is_not_used_again() {
    // A call on a stale connection would end as a reset, which ends an at-most-once message. Both ways of
    // closing: announced by `Connection: close`, and unannounced.
    for head in ["Connection: close\r\n", ""] {
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{head}\r\n");
        let (node, endpoint) = start_with_endpoint("shop", move |_| Reply::RespondAndClose(text.clone()));
        for id in 0..3 {
            node.submit("payment", id, 3, LONG, b"");
            endpoint.call(id as usize);
            wait_until("the close", || {
                *endpoint.closed_connections.lock().expect("not poisoned") > id as usize
            });
        }
        assert!(!node.platform.has_notice(0) && !node.platform.has_notice(1));
    }
}

#[test]
fn call_reset_after_its_last_byte_ends_a_payment_as_dead() {
    let (node, endpoint) =
        start_with_endpoint("shop", |r| if r.body == b"cut" { Reply::Close } else { ok() });
    node.submit("payment", 1, 3, LONG, b"cut");
    assert!(node.platform.notice(1).contains("\"dead\""));
    assert_eq!(endpoint.calls(), 1);
}

#[test]
fn idempotent_message_is_resent_after_a_reset() {
    let mut first = true;
    let close_first = move |_: &HttpMessage| if std::mem::take(&mut first) { Reply::Close } else { ok() };
    let (node, endpoint) = start_with_endpoint("shop", close_first);
    node.submit("update", 1, 3, LONG, b"");
    assert_eq!(endpoint.call(1).header("x-request-id"), format!("{:016x}", 1));
    assert!(!node.platform.has_notice(1));
}

#[test]
fn at_most_once_message_is_resent_after_a_failed_connect() {
    let reserved = ReservedAddress::new();
    let node = Node::new(&[member("s-1", reserved.address, "shop", 3, "up")], unchanged);
    assert_eq!(node.submit("payment", 1, 3, LONG, b"").status(), 202);
    std::thread::sleep(Duration::from_millis(300));
    let endpoint = Endpoint::on(reserved.listen(), |_| ok());
    assert_eq!(endpoint.call(0).header("x-request-id"), format!("{:016x}", 1));
    assert!(!node.platform.has_notice(1));
}

#[test]
fn open_messages_of_a_killed_process_are_resumed() {
    // The first process's calls hang: the idempotent message is resent, the at-most-once one may have run and
    // is ended.
    let mut calls = 0;
    let (mut node, endpoint) = start_with_endpoint("chain", move |_| {
        calls += 1;
        if calls == 1 { Reply::Hang } else { ok() }
    });
    let other = Endpoint::new(|_| Reply::Hang);
    let drained = member("s-0", other.address, "shop", 5, "draining");
    node.platform.publish(42, &[member("s-2", other.address, "shop", 4, "up"), drained]);
    node.submit("update", 1, 3, LONG, b"safe");
    wait_until("the list update", || node.submit("payment", 2, 4, LONG, b"unsafe").status() == 202);
    // Destination 5 only drains: this one was never sent.
    node.submit("payment", 3, 5, 20_000, b"unsent");
    endpoint.call(0);
    other.call(0);
    node.restart();
    assert!(node.platform.notice(2).contains("\"dead\""));
    assert_eq!(endpoint.call(1).body, b"safe");
    assert_eq!(other.calls(), 1);
    assert!(!node.platform.has_notice(1) && !node.platform.has_notice(3));
    // The last message lost nothing by the restart: it is sent as soon as an endpoint of its destination is
    // up.
    node.platform.publish(43, &[member("s-3", endpoint.address, "shop", 5, "up")]);
    wait_until("the call of the unsent message", || {
        endpoint.requests.lock().expect("not poisoned").iter().any(|h| h.body == b"unsent")
    });
}

#[test]
fn truncated_record_at_the_end_of_the_log_affects_no_other_record() {
    let (mut node, _endpoint) = start_with_endpoint("shop", |_| Reply::Hang);
    node.submit("payment", 1, 9, LONG, b"whole");
    node.kill();
    let mut text = std::fs::read(node.log_path()).expect("the log is readable");
    text.extend([200, 0, 0, 0, 1, 2, 3, 4, b'T', 5]);
    std::fs::write(node.log_path(), text).expect("the file is written");
    node.restart();
    let serving = Endpoint::new(|_| ok());
    node.platform.publish(42, &[member("s-9", serving.address, "shop", 9, "up")]);
    assert_eq!(serving.call(0).body, b"whole");
}

#[test]
fn message_whose_deadline_passed_between_two_processes_is_ended_at_the_start() {
    let (mut node, _endpoint) = start_with_endpoint("shop", |_| ok());
    node.submit("payment", 1, 9, 2_000, b"");
    node.kill();
    std::thread::sleep(Duration::from_millis(2_000));
    node.restart();
    // The notice says when to submit again.
    assert!(node.platform.notice(1).contains("\"bounced\",\"wait_ms\":500"));
}

#[test]
fn notice_is_resent_until_it_is_accepted_also_by_the_next_process() {
    let (mut node, _endpoint) = start_with_endpoint("shop", |_| response("500 Broken", "", ""));
    *node.platform.notices_to_reject.lock().expect("not poisoned") = usize::MAX;
    node.submit("payment", 1, 3, LONG, b"");
    wait_until("several attempts to send the notice", || {
        *node.platform.notices_to_reject.lock().expect("not poisoned") < usize::MAX - 2
    });
    node.restart();
    *node.platform.notices_to_reject.lock().expect("not poisoned") = 2;
    assert!(node.platform.notice(1).contains("\"dead\""));
}

#[test]
fn retry_after_applies_to_every_message_of_the_endpoint() {
    let mut first = true;
    let handler = move |_: &HttpMessage| {
        if std::mem::take(&mut first) { response("429 Wait", "Retry-After: 1.25\r\n", "") } else { ok() }
    };
    let (node, endpoint) = start_with_endpoint("shop", handler);
    node.submit("payment", 1, 3, LONG, b"");
    let refused_at = endpoint.call(0).received_at;
    node.submit("payment", 2, 3, LONG, b"");
    endpoint.call(2);
    for n in 1..3 {
        assert!(endpoint.call(n).received_at - refused_at >= Duration::from_millis(1_250), "call {n}");
    }
}

#[test]
fn draining_endpoint_receives_no_new_calls() {
    let (node, draining) = start_with_endpoint("shop", |_| ok());
    let (other, marker) = (Endpoint::new(|_| ok()), Endpoint::new(|_| ok()));
    let changes = [
        member("s-1", draining.address, "shop", 3, "draining"),
        member("s-2", other.address, "shop", 3, "up"),
        member("s-3", marker.address, "shop", 4, "up"),
    ];
    node.platform.publish(42, &changes);
    // Once this message is delivered, the sender has applied the list update.
    wait_until("the list update", || node.submit("update", 1, 4, LONG, b"").status() == 202);
    marker.call(0);
    for id in 2..6 {
        node.submit("update", id, 3, LONG, b"");
    }
    other.call(3);
    assert_eq!(draining.calls(), 0);
}

#[test]
fn broken_watch_is_reopened() {
    let (node, _endpoint) = start_with_endpoint("shop", |_| ok());
    wait_until("a watch", || !node.platform.watches.lock().expect("not poisoned").is_empty());
    // Dropping the channel's sending side ends the watch.
    node.platform.watches.lock().expect("not poisoned").clear();
    let late = Endpoint::new(|_| ok());
    node.submit("update", 1, 9, LONG, b"");
    node.platform.publish(42, &[member("s-2", late.address, "shop", 9, "up")]);
    late.call(0);
}

#[test]
fn messages_of_one_turn_share_a_call_and_each_has_its_own_outcome() {
    // The first call hangs until more messages wait; they then go in one call. One line of the response is
    // missing: that message may have run. One is refused as busy: it is resent.
    let (release, released) = std::sync::mpsc::channel::<()>();
    let mut calls = 0;
    let (node, endpoint) = start_with_endpoint("chain", move |r: &HttpMessage| {
        calls += 1;
        match calls {
            1 => released.recv().map_or(Reply::Close, |()| ok()),
            2 => {
                let ids = r.ids();
                response("200 OK", "", &format!("{} done\r\n{} busy\r\ngarbage\r\n", ids[0], ids[1]))
            }
            _ => ok(),
        }
    });
    let mut client = Client::new(node.address);
    for id in 1..=4 {
        if id == 2 {
            endpoint.call(0);
        }
        assert_eq!(client.submit("payment", id, 3, LONG, b"x\r\ny").status(), 202);
    }
    release.send(()).expect("the receiver waits");
    let batch = endpoint.call(1);
    let ids = batch.ids();
    assert_eq!((batch.line.as_str(), ids.len()), ("POST /v1/messages:batch", 3));
    let text = String::from_utf8(batch.body).expect("the text is UTF-8");
    assert!(text.starts_with(&format!("{} - 4\r\nx\r\ny\r\n", ids[0])), "{text:?}");
    let number = |id: &str| u64::from_str_radix(id, 16).expect("the id is hexadecimal");
    assert!(node.platform.notice(number(&ids[2])).contains("\"dead\""));
    assert_eq!(endpoint.call(2).header("x-request-id"), ids[1]);
    assert!(!node.platform.has_notice(number(&ids[0])) && !node.platform.has_notice(number(&ids[1])));
}

#[test]
fn message_answered_410_is_ended_without_a_notice() {
    let (node, endpoint) = start_with_endpoint("shop", |_| response("410 Gone", "", ""));
    node.submit("payment", 1, 3, 1_000, b"");
    endpoint.call(0);
    node.submit("payment", 2, 9, 500, b"");
    // The second message ends later, at its deadline: by then a notice for the first would have arrived.
    assert!(node.platform.notice(2).contains("\"bounced\""));
    assert!(!node.platform.has_notice(1) && endpoint.calls() == 1);
}

#[test]
fn sigterm_finishes_open_calls_and_refuses_new_requests() {
    let (release, released) = std::sync::mpsc::channel::<()>();
    let (mut node, endpoint) =
        start_with_endpoint("shop", move |_| released.recv().map_or(Reply::Close, |()| ok()));
    let mut kept = Client::new(node.address);
    let mut idle = Client::new(node.address);
    assert_eq!(kept.submit("payment", 1, 3, LONG, b"").status(), 202);
    assert_eq!(idle.request("GET /up", &[], b"").status(), 200);
    endpoint.call(0);
    node.terminate();
    // New connections are still accepted, and kept ones get one more response.
    wait_until("the drain", || node.request("GET /up", &[], b"").status() == 503);
    let refused = kept.submit("payment", 2, 3, LONG, b"");
    assert_eq!((refused.status(), refused.header("connection")), (503, "close"));
    release.send(()).expect("the receiver waits");
    assert!(idle.is_closed() && node.exited_cleanly());
    assert_eq!(endpoint.calls(), 1);
    node.start_again();
    node.submit("payment", 3, 9, 300, b"");
    node.platform.notice(3);
    assert!(!node.platform.has_notice(1), "a delivered message got a notice");
}

#[test]
fn sender_at_its_message_limit_refuses_with_retry_after() {
    let nowhere = draining_entry(std::net::SocketAddr::from(([127, 0, 0, 1], 1)));
    let node = Node::new(&[nowhere], |text| text.replace("\"mostHeld\": 230", "\"mostHeld\": 1"));
    assert_eq!(node.submit("payment", 1, 9, 500, b"").status(), 202);
    let refused = node.submit("payment", 2, 9, LONG, b"");
    assert_eq!((refused.status(), refused.header("retry-after")), (503, "1.000"));
    // Once the first message has ended, the next is accepted.
    node.platform.notice(1);
    wait_until("an accepted message", || node.submit("payment", 3, 9, LONG, b"").status() == 202);
    assert!(!node.platform.has_notice(2), "the refused message was not accepted");
}

#[test]
fn request_id_of_an_open_message_is_refused() {
    // Guards against the outcome of one message being applied to another with the same id.
    let (node, endpoint) = start_with_endpoint("shop", |_| Reply::Hang);
    assert_eq!(node.submit("update", 1, 3, 500, b"").status(), 202);
    endpoint.call(0);
    assert_eq!(node.submit("update", 1, 3, 500, b"").status(), 409);
    node.platform.notice(1);
    // Once the message has ended, its id may be used again.
    wait_until("a free id", || node.submit("update", 1, 9, 500, b"").status() == 202);
}

#[test]
fn sender_at_its_disk_limit_refuses_messages_and_stays_up() {
    let nowhere = draining_entry(std::net::SocketAddr::from(([127, 0, 0, 1], 1)));
    let node = Node::new(&[nowhere], |text| text.replace("\"disk_mb\": 3", "\"disk_mb\": 0.5"));
    let body = vec![7; 60_000];
    let statuses: Vec<u16> = (0..9).map(|id| node.submit("payment", id, 9, LONG, &body).status()).collect();
    assert!(statuses.starts_with(&[202]) && statuses.ends_with(&[503, 503]), "{statuses:?}");
    let files =
        std::fs::read_dir(node.log_path().with_file_name("")).expect("the folder is readable").flatten();
    let size: u64 = files.map(|f| f.metadata().expect("the metadata is readable").len()).sum();
    assert!(size < 500_000 && node.request("GET /up", &[], b"").status() == 200);
}

#[test]
fn invalid_requests_are_refused_and_nothing_is_stored() {
    let (node, endpoint) = start_with_endpoint("shop", |_| ok());
    let id = "00000000000000aa";
    let valid = headers(id, "update", "60000", "dest=3");
    let with = |name: &str, value: &'static str| {
        valid.iter().map(|h| if h.0 == name { (h.0, value) } else { *h }).collect::<Vec<_>>()
    };
    let repeated = |name: &'static str, value: &'static str| [&valid[..], &[(name, value)]].concat();
    let cases = [
        ("POST /update", with("X-Request-ID", "short"), 400),
        ("POST /update", with("X-Request-ID", "00000000000000AA"), 400),
        ("POST /update", with("X-Tenant-Id", "nobody"), 400),
        ("POST /update", with("X-Priority-Class", "payment"), 400),
        ("POST /update", with("X-Timeout-Ms", "-5"), 400),
        ("POST /update", with("X-Timeout-Ms", "99999999999999999999"), 400),
        ("POST /update", with("X-Timeout-Ms", "0"), 503),
        ("POST /update", with("X-Timeout-Ms", "+7"), 400),
        ("POST /update", with("X-Timeout-Ms", "60001"), 400),
        ("POST /update", with("X-Envelope", "dest=+3"), 400),
        ("POST /update", with("X-Envelope", "dest=3, dest=9"), 400),
        ("POST /update", repeated("X-Request-ID", "00000000000000ab"), 400),
        ("POST /update", repeated("X-Envelope", "dest=9"), 400),
        ("POST /update", repeated("X-Timeout-Ms", "60000"), 400),
        // The list has no such destination; the list may be out of date, so the status allows a retry.
        ("POST /update", with("X-Envelope", "dest=77"), 503),
        ("POST /update", with("X-Envelope", "cell=3"), 400),
        ("POST /update", with("X-Envelope", "dest=x"), 400),
        ("POST /update", vec![], 400),
        ("POST /unknown", valid.to_vec(), 404),
        ("POST /", valid.to_vec(), 404),
        ("GET /update", valid.to_vec(), 405),
        ("DELETE /up", vec![], 405),
    ];
    for (line, headers, status) in cases {
        assert_eq!(node.request(line, &headers, b"x").status(), status, "{line} {headers:?}");
    }
    assert_eq!(node.request("POST /update", &valid, &vec![0; (64 << 10) + 1]).status(), 413);
    // Nothing of these requests was stored: the id is still free, and the sender still works.
    assert_eq!(node.request("POST /update", &valid, &vec![1; 64 << 10]).status(), 202);
    assert_eq!(endpoint.call(0).body.len(), 64 << 10);
    assert_eq!(endpoint.calls(), 1);
}

#[test]
fn sighup_moves_the_watch_and_the_notices_to_a_new_address() {
    // Guards against ending on the signal, and against a connection to a discovery service that was replaced:
    // the old one accepts the request with the notice and never responds.
    let (node, endpoint) =
        start_with_endpoint("shop", |r| if r.body == b"bad" { response("500 Broken", "", "") } else { ok() });
    *node.platform.notices_to_reject.lock().expect("not poisoned") = usize::MAX;
    assert_eq!(node.submit("payment", 1, 3, LONG, b"bad").status(), 202);
    wait_until("several attempts to send the notice", || {
        *node.platform.notices_to_reject.lock().expect("not poisoned") < usize::MAX - 1
    });
    // An invalid file changes nothing.
    let config = node.config();
    node.reload("{");
    assert_eq!(node.submit("update", 2, 3, LONG, b"").status(), 202);
    assert_eq!(endpoint.call(1).header("x-request-id"), format!("{:016x}", 2));
    let moved = Platform::new();
    node.reload(&config.replace(&node.platform.address.to_string(), &moved.address.to_string()));
    assert!(moved.notice(1).contains("\"dead\""));
    let late = Endpoint::new(|_| ok());
    moved.publish(42, &[member("s-2", late.address, "shop", 4, "up")]);
    wait_until("the list update", || node.submit("update", 3, 4, LONG, b"").status() == 202);
    assert_eq!(late.call(0).header("x-request-id"), format!("{:016x}", 3));
    assert!(!node.platform.has_notice(1));
}

#[test]
fn idle_silent_and_partial_connections_are_closed_and_block_no_client() {
    // Guards against a failure in which kept, silent and partial connections held all connection slots for a
    // minute, so that other clients got none.
    let endpoint = Endpoint::new(|_| ok());
    let members = [member("s-1", endpoint.address, "shop", 3, "up")];
    let node = Node::new(&members, |text| text.replace("\"sockets\": 1024", "\"sockets\": 64"));
    let mut kept: Vec<Client> = (0..16).map(|_| Client::new(node.address)).collect();
    for (id, client) in (100..).zip(&mut kept) {
        assert_eq!(client.submit("update", id, 3, LONG, b"").status(), 202);
    }
    let mut silent: Vec<Client> = (0..60).map(|_| Client::new(node.address)).collect();
    let half = ["POST /update HTTP/1.1\r\nX-Req", "POST /update HTTP/1.1\r\nContent-Length: 9\r\n\r\nab"];
    for text in half {
        let mut client = Client::new(node.address);
        client.write_raw(text.as_bytes());
        silent.push(client);
    }
    // More connections are open than there are slots; a message still gets one.
    assert_eq!(node.submit("update", 1, 3, LONG, b"").status(), 202);
    // Each of the other connections is closed, some after an error response.
    for client in &mut silent {
        client.read_to_close();
    }
}

#[test]
fn conflicting_lengths_are_refused_and_long_bodies_are_refused_early() {
    // hyper hides one of the two lengths. A request hidden in the body must not be executed (request
    // smuggling).
    let (node, endpoint) = start_with_endpoint("shop", |_| ok());
    let head = |id: u64| {
        let headers =
            headers("ID", "update", "60000", "dest=3").map(|(n, v)| format!("{n}: {v}\r\n")).concat();
        format!("POST /update HTTP/1.1\r\n{}", headers.replace("ID", &format!("{id:016x}")))
    };
    let hidden = format!("0\r\n\r\n{}Content-Length: 0\r\n\r\n", head(2));
    let (chunked, length) =
        ("Transfer-Encoding: chunked\r\n", format!("Content-Length: {}\r\n", hidden.len()));
    for lengths in [format!("{chunked}{length}"), format!("{length}{chunked}"), chunked.to_owned()] {
        let mut client = Client::new(node.address);
        client.write_raw(format!("{}{lengths}\r\n{hidden}", head(1)).as_bytes());
        let response = client.read_to_close();
        assert!(
            response.starts_with("HTTP/1.1 411") && response.matches("HTTP/1.1").count() == 1,
            "{response}"
        );
    }
    // The response arrives although no byte of the body is sent.
    let mut client = Client::new(node.address);
    client.write_raw(format!("{}Content-Length: 60000000\r\n\r\n", head(1)).as_bytes());
    assert!(client.read_to_close().starts_with("HTTP/1.1 413"));
    assert_eq!(node.submit("update", 3, 3, LONG, b"").status(), 202);
    assert_eq!(endpoint.call(0).header("x-request-id"), format!("{:016x}", 3));
    assert_eq!(endpoint.calls(), 1);
}

/// Waits until the message with this id has ended: the id is then accepted again.
fn wait_until_ended(node: &Node, class: &str, id: u64) {
    wait_until("the end of the message", || node.submit(class, id, 9, LONG, b"").status() == 202);
}

#[test]
fn status_line_with_200_counts_as_delivered_whatever_follows() {
    // The call has run and its outcome is known. Guards against classifying it as a time-out or a reset,
    // which ended an at-most-once message as failed and sent an idempotent one twice.
    for rest in [
        "Content-Length: 50\r\n\r\nshort",
        "Content-Length: -1\r\n\r\n",
        "no colon\r\n\r\n",
        "X-Endless: ",
        "Content-Length: 3000000000\r\n\r\n",
    ] {
        for before in ["", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"] {
            let text = format!("{before}HTTP/1.1 200 OK\r\n{rest}");
            let (node, endpoint) = start_with_endpoint("shop", move |_| Reply::Respond(text.clone()));
            for id in 0..3 {
                assert_eq!(node.submit("payment", id, 3, LONG, b"").status(), 202);
                // A connection that carried a malformed response is not used for a further call.
                assert_eq!(endpoint.call(id as usize).connection, id as usize);
                wait_until_ended(&node, "payment", id);
            }
            assert!((0..3).all(|id| !node.platform.has_notice(id)), "{rest}");
        }
    }
}

#[test]
fn response_other_than_200_counts_only_if_it_is_complete() {
    // Guards against running an at-most-once message twice: a malformed refusal does not prove that the call
    // did not run.
    for malformed in [
        "HTTP/1.1 503 Busy\r\nContent-Length: 50\r\n\r\nshort",
        "HTTP/1.1 429 Wait\r\nno colon\r\n\r\n",
        "HTTP/1.1 504 Late\r\nContent-Length: x\r\n\r\n",
        "HTTP/1.1 410 Gone\r\nX-Endless: ",
        "HTTP/1.1 2",
        "\u{1}\u{2} noise\r\n\r\n",
    ] {
        let mut first = true;
        let (node, endpoint) = start_with_endpoint("shop", move |r| {
            let should_succeed = r.body == b"again" && !std::mem::take(&mut first);
            if should_succeed { ok() } else { Reply::Respond(malformed.to_owned()) }
        });
        assert_eq!(node.submit("payment", 1, 3, LONG, b"").status(), 202);
        assert!(node.platform.notice(1).contains("\"dead\""), "{malformed}");
        assert_eq!(endpoint.calls(), 1, "{malformed}");
        // An idempotent message is resent.
        assert_eq!(node.submit("update", 2, 3, LONG, b"again").status(), 202);
        assert_eq!(endpoint.call(2).header("x-request-id"), format!("{:016x}", 2));
        wait_until_ended(&node, "update", 2);
    }
}

#[test]
fn bytes_after_a_response_are_not_taken_for_the_next_response() {
    // A second response, sent at once or when the connection is idle, must not be read as that of the next
    // call.
    let fine = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let second = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    for text in [fine, chunked] {
        for is_late in [false, true] {
            let (node, endpoint) = start_with_endpoint("shop", move |r| match (r.body.is_empty(), is_late) {
                (true, true) => Reply::RespondTwice(text.to_owned(), second.to_owned()),
                (true, false) => Reply::Respond(format!("{text}{second}")),
                (false, _) => ok(),
            });
            assert_eq!(node.submit("payment", 1, 3, LONG, b"").status(), 202);
            endpoint.call(0);
            wait_until("the second response", || {
                !is_late || *endpoint.late_responses.lock().expect("not poisoned") > 0
            });
            wait_until_ended(&node, "payment", 1);
            assert_eq!(node.submit("payment", 2, 3, LONG, b"next").status(), 202);
            assert_eq!(endpoint.call(1).connection, 1);
            wait_until_ended(&node, "payment", 2);
            assert_eq!(endpoint.calls(), 2);
        }
    }
}

#[test]
fn malformed_line_or_list_entry_does_not_end_the_watch() {
    let (node, endpoint) = start_with_endpoint("shop", |_| ok());
    wait_until("a watch", || !node.platform.watches.lock().expect("not poisoned").is_empty());
    let valid = member("s-2", endpoint.address, "shop", 4, "up");
    // From a complete list with a malformed entry no missing endpoint is removed.
    let line = format!("{{\"revision\":43,\"complete\":true,\"members\":[{{\"id\":7}},{valid}]}}");
    for text in ["{\"revision\":", &line] {
        node.platform.watches.lock().expect("not poisoned").retain(|w| w.send(text.to_owned()).is_ok());
    }
    wait_until("the list update", || node.submit("update", 1, 4, LONG, b"").status() == 202);
    assert_eq!(node.submit("update", 2, 3, LONG, b"").status(), 202);
    endpoint.call(1);
    assert_eq!(
        node.platform.watches.lock().expect("not poisoned").len(),
        1,
        "the first watch is not the only one"
    );
}
