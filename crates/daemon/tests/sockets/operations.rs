//! What operators say at the second address.

use crate::world::*;
use std::time::{Duration, Instant};

/// Answers are owed within so long.
const OWED: Duration = Duration::from_secs(1);

fn served() -> (Endpoint, Vec<String>) {
    let endpoint = Endpoint::new(|_| answer("200 OK", "", ""));
    let members = vec![member("s-1", endpoint.address, "shop", 3, "up")];
    (endpoint, members)
}

#[test]
fn calls_at_the_second_address_are_told_apart() {
    let (_endpoint, members) = served();
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
        assert_eq!(node.say(line).status(), status, "{line}");
    }
    // One call to a connection, and a head has a bound.
    let mut client = Client::new(node.admin);
    assert_eq!(client.ask("GET /status", &[], b"").header("connection"), "close");
    assert!(client.ended());
    let mut client = Client::new(node.admin);
    client.send("GET /status", &[("X-Long", &"x".repeat(64 << 10))], b"");
    assert!(client.until_end().starts_with("HTTP/1.1 431"));
    // Nothing of it can be reached where clients connect.
    assert_eq!(node.ask("GET /status", &[], b"").status(), 404);
    assert_eq!(node.ask("POST /standby", &[], b"").status(), 404);
}

#[test]
fn half_written_calls_keep_no_operator_waiting() {
    // Guard: who has sent no whole call gives way to the next. Without it the last of these waits for 5 s.
    let (_endpoint, members) = served();
    let node = Node::new(&members, |c| c);
    let mut holders: Vec<Client> = (0..100).map(|_| Client::new(node.admin)).collect();
    holders.iter_mut().for_each(|h| h.raw(b"GET /sta"));
    let asked = Instant::now();
    assert_eq!(node.say("GET /status").status(), 200);
    assert!(asked.elapsed() < OWED, "{:?}", asked.elapsed());
}

#[test]
fn a_drained_sender_goes_on_with_what_it_has_and_serves_again() {
    let (endpoint, members) = served();
    let node = Node::new(&members, |c| c);
    let mut kept = Client::new(node.address);
    assert_eq!(kept.hand_in("update", 1, 3, 9_000, b"x").status(), 202);
    assert_eq!(node.say("POST /standby").status(), 200);
    assert_eq!(node.ask("GET /up", &[], b"").status(), 503);
    // Twice is once, and it says that it lives.
    assert_eq!(node.say("POST /standby").status(), 200);
    let status = node.say("GET /status");
    assert_eq!(status.status(), 200);
    assert!(String::from_utf8_lossy(&status.body).contains("standby"));
    // The front deals out connections for a moment more: what comes is served, on its last connection.
    for (client, id) in [(&mut kept, 2), (&mut Client::new(node.address), 3)] {
        let said = client.hand_in("update", id, 3, 9_000, b"x");
        assert_eq!((said.status(), said.header("connection")), (202, "close"));
        assert!(client.ended());
    }
    until("all three at the partner", || endpoint.calls() == 3);
    // One that stays idle is closed between two requests.
    let mut idle = Client::new(node.address);
    assert!(idle.ended(), "it is kept open");
    assert_eq!(node.say("POST /active").status(), 200);
    assert_eq!(node.ask("GET /up", &[], b"").status(), 200);
    let mut client = Client::new(node.address);
    for id in 4..6 {
        let said = client.hand_in("update", id, 3, 9_000, b"x");
        assert_eq!((said.status(), said.header("connection")), (202, ""));
    }
}

#[test]
fn a_drain_outlasts_the_process_until_it_is_taken_back() {
    let (_endpoint, members) = served();
    let mut node = Node::new(&members, |c| c);
    assert_eq!(node.say("POST /standby").status(), 200);
    node.kill();
    node.start_again();
    assert_eq!(node.say("GET /status").status(), 200);
    assert_eq!(node.ask("GET /up", &[], b"").status(), 503);
    assert_eq!(node.say("POST /active").status(), 200);
    node.kill();
    node.start_again();
    assert_eq!(node.ask("GET /up", &[], b"").status(), 200);
    // SIGTERM in a drain ends it as ever.
    assert_eq!(node.say("POST /standby").status(), 200);
    node.terminate();
    assert!(node.exit());
}

#[test]
fn an_endpoint_taken_out_gets_nothing_until_it_is_put_back() {
    let (endpoint, members) = served();
    let mut node = Node::new(&members, |c| c);
    assert_eq!(node.say("POST /maintenance/enter?name=s-2").status(), 404, "nobody has it");
    assert_eq!(node.say("POST /maintenance/exit?name=s-2").status(), 404);
    assert_eq!(node.say("POST /maintenance/exit?name=s-1").status(), 200, "it is in service");
    for _ in 0..2 {
        assert_eq!(node.say("POST /maintenance/enter?name=s-1").status(), 200);
    }
    assert_eq!(node.hand_in("update", 1, 3, 30_000, b"x").status(), 202);
    // Discovery says that it is up, that it is gone, and that it is up again.
    for (revision, phase) in [(42, "up"), (43, "removed"), (44, "up")] {
        node.platform.tell(revision, &[member("s-1", endpoint.address, "shop", 3, phase)]);
    }
    node.restart();
    node.platform.tell(45, &[member("s-1", endpoint.address, "shop", 3, "up")]);
    assert_eq!(node.hand_in("update", 2, 3, 30_000, b"x").status(), 202);
    // An id that left the list while it was out is still known.
    node.platform.tell(46, &[member("s-1", endpoint.address, "shop", 3, "removed")]);
    assert_eq!(node.say("POST /maintenance/enter?name=s-1").status(), 200);
    node.platform.tell(47, &[member("s-1", endpoint.address, "shop", 3, "up")]);
    // The other messages of this node pass by: what waited had every chance to be sent.
    assert_eq!(node.hand_in("update", 3, 3, 1, b"x").status(), 202);
    node.platform.notice(3);
    assert_eq!(endpoint.calls(), 0);
    assert_eq!(node.say("POST /maintenance/exit?name=s-1").status(), 200);
    until("both at the partner", || endpoint.calls() == 2);
}

#[test]
fn new_settings_come_whole_and_messages_keep_the_class_they_came_with() {
    // The partner breaks off every call that may have run, and serves what comes after.
    let mut calls = 0;
    let endpoint = Endpoint::new(move |_| {
        calls += 1;
        if calls <= 2 { Reply::Cut } else { answer("200 OK", "", "") }
    });
    let members = vec![member("s-1", endpoint.address, "shop", 3, "up")];
    let mut node = Node::new(&members, |c| c);
    let sound = node.config();
    assert_eq!(node.say("POST /maintenance/enter?name=s-1").status(), 200);
    assert_eq!(node.hand_in("payment", 1, 3, 50_000, b"x").status(), 202);
    assert_eq!(node.hand_in("express", 2, 3, 9_000, b"x").status(), 404);
    // Payments may be repeated from now on, under the old name, and a class is new.
    let express =
        r#"{"name": "express", "effect": "idempotent", "sloS": 1.0, "deadlineS": 60.0, "worth": 1.0},"#;
    let new = sound
        .replace("\"at_most_once\"", "\"idempotent\"")
        .replace("\"classes\": [", &format!("\"classes\": [{express}"));
    let wrong = new.replace("\"maxAttempts\": 8", "\"maxAttempts\": 0");
    for bad in ["", &new[..new.len() / 2], &wrong] {
        node.reload(bad);
    }
    node.reload(&new);
    until("the new class", || node.hand_in("express", 2, 3, 50_000, b"x").status() == 202);
    assert_eq!(node.hand_in("payment", 3, 3, 50_000, b"x").status(), 202);
    // A class that is gone is refused at the door, and its message kept as it was, over a restart.
    let gone = new.replace("\"name\": \"payment\"", "\"name\": \"order\"");
    node.reload(&gone);
    until("the class is gone", || node.hand_in("payment", 4, 3, 50_000, b"x").status() == 404);
    node.restart();
    assert_eq!(node.say("POST /maintenance/exit?name=s-1").status(), 200);
    // The first was taken on as a payment that must not be repeated: cut off, it is given up.
    assert!(node.platform.notice(1).contains("dead"));
    until("the others, of which one was cut off and repeated", || endpoint.calls() == 4);
}

#[test]
fn a_request_that_is_still_coming_at_sigterm_is_answered_before_the_end() {
    // Guard: the process stays while somebody is inside. Without it an idle sender ends 0.6 s after SIGTERM.
    let (_endpoint, members) = served();
    let mut node = Node::new(&members, |c| c);
    let mut client = Client::new(node.address);
    client.raw(b"POST /update HTTP/1.1\r\nHost: api\r\nContent-Length: 4\r\n");
    node.terminate();
    // A second client sees that the drain is past the time in which connections come.
    assert!(Client::new(node.address).ended());
    std::thread::sleep(Duration::from_millis(300));
    let id = format!("{:016x}", 1);
    let lines = headers(&id, "update", "9000", "dest=3").map(|(n, v)| format!("{n}: {v}\r\n")).concat();
    client.raw(format!("{lines}\r\nbody").as_bytes());
    assert!(client.until_end().starts_with("HTTP/1.1 503"), "it is told to come again");
    assert!(node.exit());
}

#[test]
fn status_tells_why_requests_were_refused_and_how_attempts_and_connections_ended() {
    let (endpoint, known) = served();
    let node = Node::new(&known, |text| text);
    assert_eq!(node.hand_in("payment", 1, 3, 50_000, b"x").status(), 202);
    until("its call", || endpoint.calls() == 1);
    assert_eq!(node.hand_in("payment", 2, 77, 50_000, b"x").status(), 503);
    assert_eq!(node.ask("GET /nowhere", &[], b"").status(), 404);
    let shown = || String::from_utf8(node.say("GET /status").body).expect("text");
    until("all ends are counted", || shown().contains("\"Served\":1") && shown().contains("\"Finished\":"));
    let text = shown();
    assert!(text.contains("\"UnknownDestination\":1") && text.contains("\"Invalid\":1"), "{text}");
}
