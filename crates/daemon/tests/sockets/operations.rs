//! Requests of operators at their own address.

use crate::world::*;
use std::time::{Duration, Instant};

/// The limit of the response time.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(1);

/// Returns an endpoint of destination 3 that serves all calls, and its list entry.
fn serving_endpoint() -> (Endpoint, Vec<String>) {
    let endpoint = Endpoint::new(|_| response("200 OK", "", ""));
    let members = vec![member("s-1", endpoint.address, "shop", 3, "up")];
    (endpoint, members)
}

#[test]
fn operators_requests_are_routed_and_invalid_ones_refused() {
    let (_endpoint, members) = serving_endpoint();
    let node = Node::new(&members, |c| c);
    for (line, status) in [
        ("GET /status", 200),
        ("POST /active", 200),
        ("POST /status", 405),
        ("GET /standby", 405),
        ("POST /standby/now", 404),
        ("POST /update", 404),
        ("POST /maintenance/enter", 400),
        ("POST /maintenance/enter?name=", 400),
    ] {
        assert_eq!(node.admin_request(line).status(), status, "{line}");
    }
    // A connection serves one request, and the size of the headers is limited.
    let mut client = Client::new(node.admin);
    assert_eq!(client.request("GET /status", &[], b"").header("connection"), "close");
    assert!(client.is_closed());
    let mut client = Client::new(node.admin);
    client.send("GET /status", &[("X-Long", &"x".repeat(64 << 10))], b"");
    assert!(client.read_to_close().starts_with("HTTP/1.1 431"));
    // None of these paths is available at the clients' address.
    assert_eq!(node.request("GET /status", &[], b"").status(), 404);
    assert_eq!(node.request("POST /standby", &[], b"").status(), 404);
}

#[test]
fn partial_operators_requests_do_not_block_the_next_one() {
    // Guards the rule that a connection without a complete request is closed for the next one. Without it the
    // last request here waits for 5 s.
    let (_endpoint, members) = serving_endpoint();
    let node = Node::new(&members, |c| c);
    let mut partial: Vec<Client> = (0..100).map(|_| Client::new(node.admin)).collect();
    partial.iter_mut().for_each(|c| c.write_raw(b"GET /sta"));
    let asked = Instant::now();
    assert_eq!(node.admin_request("GET /status").status(), 200);
    assert!(asked.elapsed() < MAX_RESPONSE_TIME, "{:?}", asked.elapsed());
}

#[test]
fn drained_sender_serves_what_still_arrives_and_can_be_activated_again() {
    let (endpoint, members) = serving_endpoint();
    let node = Node::new(&members, |c| c);
    let mut kept = Client::new(node.address);
    assert_eq!(kept.submit("update", 1, 3, 9_000, b"x").status(), 202);
    assert_eq!(node.admin_request("POST /standby").status(), 200);
    assert_eq!(node.request("GET /up", &[], b"").status(), 503);
    // A second request changes nothing, and the status responds.
    assert_eq!(node.admin_request("POST /standby").status(), 200);
    let status = node.admin_request("GET /status");
    assert_eq!(status.status(), 200);
    assert!(String::from_utf8_lossy(&status.body).contains("standby"));
    // The load balancer still assigns connections for a short time: requests are served, and their
    // connections closed.
    for (client, id) in [(&mut kept, 2), (&mut Client::new(node.address), 3)] {
        let response = client.submit("update", id, 3, 9_000, b"x");
        assert_eq!((response.status(), response.header("connection")), (202, "close"));
        assert!(client.is_closed());
    }
    wait_until("all three calls", || endpoint.calls() == 3);
    // An idle connection is closed between two requests.
    let mut idle = Client::new(node.address);
    assert!(idle.is_closed(), "the idle connection was kept open");
    assert_eq!(node.admin_request("POST /active").status(), 200);
    assert_eq!(node.request("GET /up", &[], b"").status(), 200);
    let mut client = Client::new(node.address);
    for id in 4..6 {
        let response = client.submit("update", id, 3, 9_000, b"x");
        assert_eq!((response.status(), response.header("connection")), (202, ""));
    }
}

#[test]
fn drain_persists_over_restarts_until_it_is_revoked() {
    let (_endpoint, members) = serving_endpoint();
    let mut node = Node::new(&members, |c| c);
    assert_eq!(node.admin_request("POST /standby").status(), 200);
    node.kill();
    node.start_again();
    assert_eq!(node.admin_request("GET /status").status(), 200);
    assert_eq!(node.request("GET /up", &[], b"").status(), 503);
    assert_eq!(node.admin_request("POST /active").status(), 200);
    node.kill();
    node.start_again();
    assert_eq!(node.request("GET /up", &[], b"").status(), 200);
    // SIGTERM during a drain ends the process as usual.
    assert_eq!(node.admin_request("POST /standby").status(), 200);
    node.terminate();
    assert!(node.exited_cleanly());
}

#[test]
fn endpoint_taken_out_of_service_receives_no_calls_until_it_is_put_back() {
    let (endpoint, members) = serving_endpoint();
    let mut node = Node::new(&members, |c| c);
    assert_eq!(node.admin_request("POST /maintenance/enter?name=s-2").status(), 404, "the id is unknown");
    assert_eq!(node.admin_request("POST /maintenance/exit?name=s-2").status(), 404);
    assert_eq!(
        node.admin_request("POST /maintenance/exit?name=s-1").status(),
        200,
        "the endpoint is in service already"
    );
    for _ in 0..2 {
        assert_eq!(node.admin_request("POST /maintenance/enter?name=s-1").status(), 200);
    }
    assert_eq!(node.submit("update", 1, 3, 30_000, b"x").status(), 202);
    // The list reports the endpoint as up, as removed, and as up again.
    for (revision, phase) in [(42, "up"), (43, "removed"), (44, "up")] {
        node.platform.publish(revision, &[member("s-1", endpoint.address, "shop", 3, phase)]);
    }
    node.restart();
    node.platform.publish(45, &[member("s-1", endpoint.address, "shop", 3, "up")]);
    assert_eq!(node.submit("update", 2, 3, 30_000, b"x").status(), 202);
    // An id that left the list while it was out of service is still known.
    node.platform.publish(46, &[member("s-1", endpoint.address, "shop", 3, "removed")]);
    assert_eq!(node.admin_request("POST /maintenance/enter?name=s-1").status(), 200);
    node.platform.publish(47, &[member("s-1", endpoint.address, "shop", 3, "up")]);
    // A later message ends: by then the waiting ones would have been sent.
    node.expire_message("update", 3);
    assert_eq!(endpoint.calls(), 0);
    assert_eq!(node.admin_request("POST /maintenance/exit?name=s-1").status(), 200);
    wait_until("both calls", || endpoint.calls() == 2);
}

#[test]
fn settings_are_replaced_as_a_whole_and_messages_keep_their_original_class() {
    // The endpoint closes the connection of the first two calls and serves the later ones.
    let mut calls = 0;
    let endpoint = Endpoint::new(move |_| {
        calls += 1;
        if calls <= 2 { Reply::Close } else { response("200 OK", "", "") }
    });
    let members = vec![member("s-1", endpoint.address, "shop", 3, "up")];
    let mut node = Node::new(&members, |c| c);
    let original = node.config();
    assert_eq!(node.admin_request("POST /maintenance/enter?name=s-1").status(), 200);
    assert_eq!(node.submit("payment", 1, 3, 50_000, b"x").status(), 202);
    assert_eq!(node.submit("express", 2, 3, 9_000, b"x").status(), 404);
    // Payments become idempotent under the same name, and one class is new.
    let express =
        r#"{"name": "express", "effect": "idempotent", "sloS": 1.0, "deadlineS": 60.0, "worth": 1.0},"#;
    let new = original
        .replace("\"at_most_once\"", "\"idempotent\"")
        .replace("\"classes\": [", &format!("\"classes\": [{express}"));
    let out_of_bounds = new.replace("\"maxAttempts\": 8", "\"maxAttempts\": 0");
    for invalid in ["", &new[..new.len() / 2], &out_of_bounds] {
        node.reload(invalid);
    }
    node.reload(&new);
    wait_until("the new class", || node.submit("express", 2, 3, 50_000, b"x").status() == 202);
    assert_eq!(node.submit("payment", 3, 3, 50_000, b"x").status(), 202);
    // Messages of a removed class are refused, and its open message keeps its class over a restart.
    let without_payment = new.replace("\"name\": \"payment\"", "\"name\": \"order\"");
    node.reload(&without_payment);
    wait_until("the class is gone", || node.submit("payment", 4, 3, 50_000, b"x").status() == 404);
    node.restart();
    assert_eq!(node.admin_request("POST /maintenance/exit?name=s-1").status(), 200);
    // The first message was accepted as an at-most-once payment: after the reset it is ended as dead.
    assert!(node.platform.notice(1).contains("dead"));
    wait_until("the calls of the others, one of which is resent", || endpoint.calls() == 4);
}

#[test]
fn request_in_transit_at_sigterm_is_answered_before_the_exit() {
    // Guards the rule that the process stays while a request is open. Without it an idle sender exits 0.6 s
    // after SIGTERM.
    let (_endpoint, members) = serving_endpoint();
    let mut node = Node::new(&members, |c| c);
    let mut client = Client::new(node.address);
    client.write_raw(b"POST /update HTTP/1.1\r\nHost: api\r\nContent-Length: 4\r\n");
    node.terminate();
    // The close of a second, idle connection shows that the drain is past the time in which connections still
    // arrive.
    assert!(Client::new(node.address).is_closed());
    std::thread::sleep(Duration::from_millis(300));
    let id = format!("{:016x}", 1);
    let lines = headers(&id, "update", "9000", "dest=3").map(|(n, v)| format!("{n}: {v}\r\n")).concat();
    client.write_raw(format!("{lines}\r\nbody").as_bytes());
    assert!(
        client.read_to_close().starts_with("HTTP/1.1 503"),
        "the request is not refused with 503, after which it may be submitted again"
    );
    assert!(node.exited_cleanly());
}

#[test]
fn status_counts_refusals_outcomes_and_reasons_of_closed_connections() {
    let (endpoint, members) = serving_endpoint();
    let node = Node::new(&members, |text| text);
    assert_eq!(node.submit("payment", 1, 3, 50_000, b"x").status(), 202);
    wait_until("a call of the message", || endpoint.calls() == 1);
    assert_eq!(node.submit("payment", 2, 77, 50_000, b"x").status(), 503);
    assert_eq!(node.request("GET /nowhere", &[], b"").status(), 404);
    let status_text =
        || String::from_utf8(node.admin_request("GET /status").body).expect("the text is UTF-8");
    wait_until("the outcome and the closed connection are counted", || {
        status_text().contains("\"Served\":1") && status_text().contains("\"Finished\":")
    });
    let text = status_text();
    assert!(text.contains("\"UnknownDestination\":1") && text.contains("\"Invalid\":1"), "{text}");
}
