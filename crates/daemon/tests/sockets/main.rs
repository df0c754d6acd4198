//! The program on loopback sockets, as clients, endpoints and the platform see it.

mod clock;
mod closing;
mod delays;
mod faults;
mod flight;
mod growth;
mod keys;
mod operations;
mod outage;
mod restart;
mod store;
mod unproven;
mod upgrade;
mod watch;
mod world;

use std::net::TcpListener;
use std::time::Duration;
use world::*;

const LONG: u64 = 60_000;

fn ok() -> Reply {
    answer("200 OK", "", "")
}

fn same(text: String) -> String {
    text
}

/// A node with one endpoint of destination 3.
fn one(kind: &str, does: impl FnMut(&Heard) -> Reply + Send + 'static) -> (Node, Endpoint) {
    let endpoint = Endpoint::new(does);
    (Node::new(&[member("s-1", endpoint.address, kind, 3, "up"), drained(endpoint.address)], same), endpoint)
}

/// Destination 9 only drains: what is handed in for it is taken on and not sent.
fn drained(address: std::net::SocketAddr) -> String {
    member("s-8", address, "shop", 9, "draining")
}

#[test]
fn a_message_is_delivered_unchanged() {
    let (node, endpoint) = one("shop", |_| ok());
    // Bodies hold any bytes, also ones that look like the end of a head or like a batch's line.
    let body = b"\0\xff\r\n\r\n9b1f03aa5c7e2d41 - 5\r\n".as_slice();
    assert_eq!(node.hand_in("update", 0x9b1f, 3, LONG, body).status(), 202);
    let call = endpoint.call(0);
    assert_eq!((call.line.as_str(), call.body.as_slice()), ("POST /v1/messages", body));
    assert_eq!(call.header("x-request-id"), "0000000000009b1f");
    assert!(call.header("x-timeout-ms").parse::<u64>().is_ok_and(|ms| ms <= LONG));
}

#[test]
fn one_connection_serves_call_after_call() {
    // Guards against a connection, and its price, for each message.
    let (node, endpoint) = one("shop", |_| ok());
    for id in 0..3 {
        node.hand_in("payment", id, 3, LONG, b"");
        let call = endpoint.call(id as usize);
        assert_eq!(call.connection, 0);
    }
}

#[test]
fn an_endpoint_that_moved_takes_its_idle_connections_with_it() {
    // In test builds the process ends where the decisions believe in connections that there are not.
    let (node, endpoint) = one("shop", |_| ok());
    node.hand_in("update", 1, 3, LONG, b"");
    endpoint.call(0);
    let moved = Endpoint::new(|_| ok());
    node.platform.tell(42, &[member("s-1", moved.address, "shop", 3, "up")]);
    until("a call where it is now", || {
        node.hand_in("update", 100 + moved.calls() as u64 + endpoint.calls() as u64, 3, LONG, b"");
        moved.calls() > 0
    });
    for id in 2..5 {
        let before = moved.calls();
        assert_eq!(node.hand_in("update", id, 3, LONG, b"").status(), 202);
        until("its call", || moved.calls() > before);
    }
}

#[test]
fn a_connection_that_was_closed_is_not_used_again() {
    // A call on a stale connection would end as a reset, and an unsafe message with it. Both ways of closing:
    // said beforehand, and without a word.
    for head in ["Connection: close\r\n", ""] {
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{head}\r\n");
        let (node, endpoint) = one("shop", move |_| Reply::Last(text.clone()));
        for id in 0..3 {
            node.hand_in("payment", id, 3, LONG, b"");
            endpoint.call(id as usize);
            until("the close", || *endpoint.closed.lock().expect("sound") > id as usize);
        }
        assert!(!node.platform.has_notice(0) && !node.platform.has_notice(1));
    }
}

#[test]
fn a_call_that_ended_after_its_last_byte_may_have_run() {
    let (node, endpoint) = one("shop", |r| if r.body == b"cut" { Reply::Cut } else { ok() });
    node.hand_in("payment", 1, 3, LONG, b"cut");
    assert!(node.platform.notice(1).contains("\"dead\""));
    assert_eq!(endpoint.calls(), 1);
}

#[test]
fn a_safe_message_is_sent_again_after_a_reset() {
    let mut first = true;
    let cut = move |_: &Heard| if std::mem::take(&mut first) { Reply::Cut } else { ok() };
    let (node, endpoint) = one("shop", cut);
    node.hand_in("update", 1, 3, LONG, b"");
    assert_eq!(endpoint.call(1).header("x-request-id"), format!("{:016x}", 1));
    assert!(!node.platform.has_notice(1));
}

#[test]
fn an_unsafe_message_whose_connection_never_came_up_is_sent_again() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let node = Node::new(&[member("s-1", address, "shop", 3, "up")], same);
    assert_eq!(node.hand_in("payment", 1, 3, LONG, b"").status(), 202);
    std::thread::sleep(Duration::from_millis(300));
    let endpoint = Endpoint::on(TcpListener::bind(address).expect("the same port"), |_| ok());
    assert_eq!(endpoint.call(0).header("x-request-id"), format!("{:016x}", 1));
    assert!(!node.platform.has_notice(1));
}

#[test]
fn what_was_open_when_the_process_was_killed_is_taken_up() {
    // The first process's calls hang: a safe message goes again, an unsafe one may have run and is given up.
    let mut calls = 0;
    let (mut node, endpoint) = one("chain", move |_| {
        calls += 1;
        if calls == 1 { Reply::Hang } else { ok() }
    });
    let other = Endpoint::new(|_| Reply::Hang);
    let drained = member("s-0", other.address, "shop", 5, "draining");
    node.platform.tell(42, &[member("s-2", other.address, "shop", 4, "up"), drained]);
    node.hand_in("update", 1, 3, LONG, b"safe");
    until("the news", || node.hand_in("payment", 2, 4, LONG, b"unsafe").status() == 202);
    // Destination 5 only drains: this one was never sent.
    node.hand_in("payment", 3, 5, 20_000, b"unsent");
    endpoint.call(0);
    other.call(0);
    node.restart();
    assert!(node.platform.notice(2).contains("\"dead\""));
    assert_eq!(endpoint.call(1).body, b"safe");
    assert_eq!(other.calls(), 1);
    assert!(!node.platform.has_notice(1) && !node.platform.has_notice(3));
    // The last one lost nothing by the restart: it goes as soon as somebody takes it.
    node.platform.tell(43, &[member("s-3", endpoint.address, "shop", 5, "up")]);
    until("the unsent one", || endpoint.heard.lock().expect("sound").iter().any(|h| h.body == b"unsent"));
}

#[test]
fn a_torn_record_costs_nothing_but_itself() {
    let (mut node, _endpoint) = one("shop", |_| Reply::Hang);
    node.hand_in("payment", 1, 9, LONG, b"whole");
    node.kill();
    let mut text = std::fs::read(node.journal()).expect("a journal");
    text.extend([200, 0, 0, 0, 1, 2, 3, 4, b'T', 5]);
    std::fs::write(node.journal(), text).expect("written");
    node.restart();
    let taker = Endpoint::new(|_| ok());
    node.platform.tell(42, &[member("s-9", taker.address, "shop", 9, "up")]);
    assert_eq!(taker.call(0).body, b"whole");
}

#[test]
fn what_ran_out_of_time_meanwhile_is_ended_at_the_start() {
    let (mut node, _endpoint) = one("shop", |_| ok());
    node.hand_in("payment", 1, 9, 2_000, b"");
    node.kill();
    std::thread::sleep(Duration::from_millis(2_000));
    node.restart();
    // The client is told when to come back.
    assert!(node.platform.notice(1).contains("\"bounced\",\"wait_ms\":500"));
}

#[test]
fn a_notice_is_repeated_until_it_is_taken_also_by_the_next_process() {
    let (mut node, _endpoint) = one("shop", |_| answer("500 Broken", "", ""));
    *node.platform.turn_away.lock().expect("sound") = usize::MAX;
    node.hand_in("payment", 1, 3, LONG, b"");
    until("tries", || *node.platform.turn_away.lock().expect("sound") < usize::MAX - 2);
    node.restart();
    *node.platform.turn_away.lock().expect("sound") = 2;
    assert!(node.platform.notice(1).contains("\"dead\""));
}

#[test]
fn a_wait_is_heeded_for_every_message() {
    let mut first = true;
    let does = move |_: &Heard| {
        if std::mem::take(&mut first) { answer("429 Wait", "Retry-After: 1.25\r\n", "") } else { ok() }
    };
    let (node, endpoint) = one("shop", does);
    node.hand_in("payment", 1, 3, LONG, b"");
    let told = endpoint.call(0).at;
    node.hand_in("payment", 2, 3, LONG, b"");
    endpoint.call(2);
    for n in 1..3 {
        assert!(endpoint.call(n).at - told >= Duration::from_millis(1_250), "call {n}");
    }
}

#[test]
fn nothing_new_goes_to_an_endpoint_that_drains() {
    let (node, draining) = one("shop", |_| ok());
    let (other, mark) = (Endpoint::new(|_| ok()), Endpoint::new(|_| ok()));
    let news = [
        member("s-1", draining.address, "shop", 3, "draining"),
        member("s-2", other.address, "shop", 3, "up"),
        member("s-3", mark.address, "shop", 4, "up"),
    ];
    node.platform.tell(42, &news);
    // Once this one is delivered, the sender knows the news.
    until("the news", || node.hand_in("update", 1, 4, LONG, b"").status() == 202);
    mark.call(0);
    for id in 2..6 {
        node.hand_in("update", id, 3, LONG, b"");
    }
    other.call(3);
    assert_eq!(draining.calls(), 0);
}

#[test]
fn a_broken_watch_is_taken_up_again() {
    let (node, _endpoint) = one("shop", |_| ok());
    until("a watch", || !node.platform.watches.lock().expect("sound").is_empty());
    // Dropping its end ends the watch.
    node.platform.watches.lock().expect("sound").clear();
    let late = Endpoint::new(|_| ok());
    node.hand_in("update", 1, 9, LONG, b"");
    node.platform.tell(42, &[member("s-2", late.address, "shop", 9, "up")]);
    late.call(0);
}

#[test]
fn messages_of_one_turn_share_a_call_and_each_has_its_own_end() {
    // The first call hangs until more are waiting; they then go as one. One line of the answer is missing:
    // that message may have run. One is turned away: it goes again.
    let (hold, held) = std::sync::mpsc::channel::<()>();
    let mut calls = 0;
    let (node, endpoint) = one("chain", move |r: &Heard| {
        calls += 1;
        match calls {
            1 => held.recv().map_or(Reply::Cut, |()| ok()),
            2 => {
                let ids = r.ids();
                answer("200 OK", "", &format!("{} done\r\n{} busy\r\ngarbage\r\n", ids[0], ids[1]))
            }
            _ => ok(),
        }
    });
    let mut client = Client::new(node.address);
    for id in 1..=4 {
        if id == 2 {
            endpoint.call(0);
        }
        assert_eq!(client.hand_in("payment", id, 3, LONG, b"x\r\ny").status(), 202);
    }
    hold.send(()).expect("it waits");
    let batch = endpoint.call(1);
    let ids = batch.ids();
    assert_eq!((batch.line.as_str(), ids.len()), ("POST /v1/messages:batch", 3));
    let text = String::from_utf8(batch.body).expect("text");
    assert!(text.starts_with(&format!("{} - 4\r\nx\r\ny\r\n", ids[0])), "{text:?}");
    let number = |id: &str| u64::from_str_radix(id, 16).expect("an id");
    assert!(node.platform.notice(number(&ids[2])).contains("\"dead\""));
    assert_eq!(endpoint.call(2).header("x-request-id"), ids[1]);
    assert!(!node.platform.has_notice(number(&ids[0])) && !node.platform.has_notice(number(&ids[1])));
}

#[test]
fn a_message_that_is_over_elsewhere_is_not_reported() {
    let (node, endpoint) = one("shop", |_| answer("410 Gone", "", ""));
    node.hand_in("payment", 1, 3, 1_000, b"");
    endpoint.call(0);
    node.hand_in("payment", 2, 9, 500, b"");
    // The second ends later by its time alone: by then the first one's notice would have come.
    assert!(node.platform.notice(2).contains("\"bounced\""));
    assert!(!node.platform.has_notice(1) && endpoint.calls() == 1);
}

#[test]
fn sigterm_ends_what_runs_and_refuses_what_comes() {
    let (hold, held) = std::sync::mpsc::channel::<()>();
    let (mut node, endpoint) = one("shop", move |_| held.recv().map_or(Reply::Cut, |()| ok()));
    let mut kept = Client::new(node.address);
    let mut idle = Client::new(node.address);
    assert_eq!(kept.hand_in("payment", 1, 3, LONG, b"").status(), 202);
    assert_eq!(idle.ask("GET /up", &[], b"").status(), 200);
    endpoint.call(0);
    node.terminate();
    // Connections still come, and those that were kept are answered once more.
    until("the drain", || node.ask("GET /up", &[], b"").status() == 503);
    let refused = kept.hand_in("payment", 2, 3, LONG, b"");
    assert_eq!((refused.status(), refused.header("connection")), (503, "close"));
    hold.send(()).expect("it waits");
    assert!(idle.ended() && node.exit());
    assert_eq!(endpoint.calls(), 1);
    node.start_again();
    node.hand_in("payment", 3, 9, 300, b"");
    node.platform.notice(3);
    assert!(!node.platform.has_notice(1), "it was delivered");
}

#[test]
fn when_there_is_no_room_clients_are_told_when_to_come_back() {
    let nowhere = drained(std::net::SocketAddr::from(([127, 0, 0, 1], 1)));
    let node = Node::new(&[nowhere], |text| text.replace("\"mostHeld\": 230", "\"mostHeld\": 1"));
    assert_eq!(node.hand_in("payment", 1, 9, 500, b"").status(), 202);
    let refused = node.hand_in("payment", 2, 9, LONG, b"");
    assert_eq!((refused.status(), refused.header("retry-after")), (503, "1.000"));
    // Once the first has ended there is room again.
    node.platform.notice(1);
    until("room", || node.hand_in("payment", 3, 9, LONG, b"").status() == 202);
    assert!(!node.platform.has_notice(2), "what was refused was not taken on");
}

#[test]
fn an_id_that_is_in_use_is_not_taken_on_twice() {
    // Guards against the end of one message being taken for the other's.
    let (node, endpoint) = one("shop", |_| Reply::Hang);
    assert_eq!(node.hand_in("update", 1, 3, 500, b"").status(), 202);
    endpoint.call(0);
    assert_eq!(node.hand_in("update", 1, 3, 500, b"").status(), 409);
    node.platform.notice(1);
    // Once it has ended, it may come again.
    until("a free id", || node.hand_in("update", 1, 9, 500, b"").status() == 202);
}

#[test]
fn a_full_disk_refuses_and_lives_on() {
    let nowhere = drained(std::net::SocketAddr::from(([127, 0, 0, 1], 1)));
    let node = Node::new(&[nowhere], |text| text.replace("\"disk_mb\": 3", "\"disk_mb\": 0.5"));
    let body = vec![7; 60_000];
    let statuses: Vec<u16> = (0..9).map(|id| node.hand_in("payment", id, 9, LONG, &body).status()).collect();
    assert!(statuses.starts_with(&[202]) && statuses.ends_with(&[503, 503]), "{statuses:?}");
    let files = std::fs::read_dir(node.journal().with_file_name("")).expect("a folder").flatten();
    let size: u64 = files.map(|f| f.metadata().expect("a file").len()).sum();
    assert!(size < 500_000 && node.ask("GET /up", &[], b"").status() == 200);
}

#[test]
fn what_cannot_be_a_message_is_turned_down_and_takes_nothing_on() {
    let (node, endpoint) = one("shop", |_| ok());
    let id = "00000000000000aa";
    let good = headers(id, "update", "60000", "dest=3");
    let with = |name: &str, value: &'static str| {
        good.iter().map(|h| if h.0 == name { (h.0, value) } else { *h }).collect::<Vec<_>>()
    };
    let twice = |name: &'static str, value: &'static str| [&good[..], &[(name, value)]].concat();
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
        ("POST /update", twice("X-Request-ID", "00000000000000ab"), 400),
        ("POST /update", twice("X-Envelope", "dest=9"), 400),
        ("POST /update", twice("X-Timeout-Ms", "60000"), 400),
        // Its list names no such destination; it may be late, so asking again does no harm.
        ("POST /update", with("X-Envelope", "dest=77"), 503),
        ("POST /update", with("X-Envelope", "cell=3"), 400),
        ("POST /update", with("X-Envelope", "dest=x"), 400),
        ("POST /update", vec![], 400),
        ("POST /unknown", good.to_vec(), 404),
        ("POST /", good.to_vec(), 404),
        ("GET /update", good.to_vec(), 405),
        ("DELETE /up", vec![], 405),
    ];
    for (line, headers, status) in cases {
        assert_eq!(node.ask(line, &headers, b"x").status(), status, "{line} {headers:?}");
    }
    assert_eq!(node.ask("POST /update", &good, &vec![0; (64 << 10) + 1]).status(), 413);
    // Nothing of all this was kept: the id is still free, and the program still works.
    assert_eq!(node.ask("POST /update", &good, &vec![1; 64 << 10]).status(), 202);
    assert_eq!(endpoint.call(0).body.len(), 64 << 10);
    assert_eq!(endpoint.calls(), 1);
}

#[test]
fn sighup_moves_the_watch_and_the_notices_and_ends_nothing() {
    // Guards against dying of the signal, and against talking to a discovery that has gone: the old one takes
    // the request with the notice and never answers.
    let (node, endpoint) =
        one("shop", |r| if r.body == b"bad" { answer("500 Broken", "", "") } else { ok() });
    *node.platform.turn_away.lock().expect("sound") = usize::MAX;
    assert_eq!(node.hand_in("payment", 1, 3, LONG, b"bad").status(), 202);
    until("tries", || *node.platform.turn_away.lock().expect("sound") < usize::MAX - 1);
    // A file that cannot be read changes nothing.
    let config = node.config();
    node.reload("{");
    assert_eq!(node.hand_in("update", 2, 3, LONG, b"").status(), 202);
    assert_eq!(endpoint.call(1).header("x-request-id"), format!("{:016x}", 2));
    let moved = Platform::new();
    node.reload(&config.replace(&node.platform.address.to_string(), &moved.address.to_string()));
    assert!(moved.notice(1).contains("\"dead\""));
    let late = Endpoint::new(|_| ok());
    moved.tell(42, &[member("s-2", late.address, "shop", 4, "up")]);
    until("the news", || node.hand_in("update", 3, 4, LONG, b"").status() == 202);
    assert_eq!(late.call(0).header("x-request-id"), format!("{:016x}", 3));
    assert!(!node.platform.has_notice(1));
}

#[test]
fn connections_that_ask_nothing_or_half_end_and_take_nobodys_place() {
    // Guards the usual clients: kept, silent and half-spoken connections held all places for a minute.
    let endpoint = Endpoint::new(|_| ok());
    let members = [member("s-1", endpoint.address, "shop", 3, "up")];
    let node = Node::new(&members, |text| text.replace("\"sockets\": 1024", "\"sockets\": 64"));
    let mut kept: Vec<Client> = (0..16).map(|_| Client::new(node.address)).collect();
    for (id, client) in (100..).zip(&mut kept) {
        assert_eq!(client.hand_in("update", id, 3, LONG, b"").status(), 202);
    }
    let mut silent: Vec<Client> = (0..60).map(|_| Client::new(node.address)).collect();
    let half = ["POST /update HTTP/1.1\r\nX-Req", "POST /update HTTP/1.1\r\nContent-Length: 9\r\n\r\nab"];
    for text in half {
        let mut client = Client::new(node.address);
        client.raw(text.as_bytes());
        silent.push(client);
    }
    // All places are asked for by now, and more; a message still finds one.
    assert_eq!(node.hand_in("update", 1, 3, LONG, b"").status(), 202);
    // Each of the others has its connection closed, or an error first.
    for client in &mut silent {
        client.until_end();
    }
}

#[test]
fn two_lengths_hide_nothing_and_long_bodies_are_not_waited_for() {
    // hyper drops one of the lengths from what it shows. A request behind it must not be taken for one.
    let (node, endpoint) = one("shop", |_| ok());
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
        client.raw(format!("{}{lengths}\r\n{hidden}", head(1)).as_bytes());
        let said = client.until_end();
        assert!(said.starts_with("HTTP/1.1 411") && said.matches("HTTP/1.1").count() == 1, "{said}");
    }
    // The answer comes though nothing of the body does.
    let mut client = Client::new(node.address);
    client.raw(format!("{}Content-Length: 60000000\r\n\r\n", head(1)).as_bytes());
    assert!(client.until_end().starts_with("HTTP/1.1 413"));
    assert_eq!(node.hand_in("update", 3, 3, LONG, b"").status(), 202);
    assert_eq!(endpoint.call(0).header("x-request-id"), format!("{:016x}", 3));
    assert_eq!(endpoint.calls(), 1);
}

/// Hands a message in until its id is free: what had it before has ended.
fn ends(node: &Node, class: &str, id: u64) {
    until("its end", || node.hand_in(class, id, 9, LONG, b"").status() == 202);
}

#[test]
fn a_first_line_with_200_delivers_whatever_follows_it() {
    // The call has run and its end is known: taken for a time-out or a reset, an unsafe message was given up
    // as failed, and a safe one sent twice.
    for rest in [
        "Content-Length: 50\r\n\r\nshort",
        "Content-Length: -1\r\n\r\n",
        "no colon\r\n\r\n",
        "X-Endless: ",
        "Content-Length: 3000000000\r\n\r\n",
    ] {
        for before in ["", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"] {
            let text = format!("{before}HTTP/1.1 200 OK\r\n{rest}");
            let (node, endpoint) = one("shop", move |_| Reply::Say(text.clone()));
            for id in 0..3 {
                assert_eq!(node.hand_in("payment", id, 3, LONG, b"").status(), 202);
                // A connection with a spoilt answer on it carries no further call.
                assert_eq!(endpoint.call(id as usize).connection, id as usize);
                ends(&node, "payment", id);
            }
            assert!((0..3).all(|id| !node.platform.has_notice(id)), "{rest}");
        }
    }
}

#[test]
fn any_other_answer_counts_only_if_it_comes_whole() {
    // Guards against running an unsafe message twice: a refusal that is itself spoilt proves nothing.
    for spoilt in [
        "HTTP/1.1 503 Busy\r\nContent-Length: 50\r\n\r\nshort",
        "HTTP/1.1 429 Wait\r\nno colon\r\n\r\n",
        "HTTP/1.1 504 Late\r\nContent-Length: x\r\n\r\n",
        "HTTP/1.1 410 Gone\r\nX-Endless: ",
        "HTTP/1.1 2",
        "\u{1}\u{2} noise\r\n\r\n",
    ] {
        let mut first = true;
        let (node, endpoint) = one("shop", move |r| {
            let again = r.body == b"again" && !std::mem::take(&mut first);
            if again { ok() } else { Reply::Say(spoilt.to_owned()) }
        });
        assert_eq!(node.hand_in("payment", 1, 3, LONG, b"").status(), 202);
        assert!(node.platform.notice(1).contains("\"dead\""), "{spoilt}");
        assert_eq!(endpoint.calls(), 1, "{spoilt}");
        // What may be repeated goes again.
        assert_eq!(node.hand_in("update", 2, 3, LONG, b"again").status(), 202);
        assert_eq!(endpoint.call(2).header("x-request-id"), format!("{:016x}", 2));
        ends(&node, "update", 2);
    }
}

#[test]
fn what_comes_behind_an_answer_is_nobodys_answer() {
    // A second copy, at once or once the connection lies idle, would be taken for the next call's answer.
    let fine = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let copy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    for text in [fine, chunked] {
        for late in [false, true] {
            let (node, endpoint) = one("shop", move |r| match (r.body.is_empty(), late) {
                (true, true) => Reply::Twice(text.to_owned(), copy.to_owned()),
                (true, false) => Reply::Say(format!("{text}{copy}")),
                (false, _) => ok(),
            });
            assert_eq!(node.hand_in("payment", 1, 3, LONG, b"").status(), 202);
            endpoint.call(0);
            until("the copy", || !late || *endpoint.late.lock().expect("sound") > 0);
            ends(&node, "payment", 1);
            assert_eq!(node.hand_in("payment", 2, 3, LONG, b"next").status(), 202);
            assert_eq!(endpoint.call(1).connection, 1);
            ends(&node, "payment", 2);
            assert_eq!(endpoint.calls(), 2);
        }
    }
}

#[test]
fn one_unreadable_line_or_member_does_not_end_the_watch() {
    let (node, endpoint) = one("shop", |_| ok());
    until("a watch", || !node.platform.watches.lock().expect("sound").is_empty());
    let good = member("s-2", endpoint.address, "shop", 4, "up");
    // Nothing of a complete list that cannot be read in full is taken to have gone.
    let line = format!("{{\"revision\":43,\"complete\":true,\"members\":[{{\"id\":7}},{good}]}}");
    for text in ["{\"revision\":", &line] {
        node.platform.watches.lock().expect("sound").retain(|w| w.send(text.to_owned()).is_ok());
    }
    until("the news", || node.hand_in("update", 1, 4, LONG, b"").status() == 202);
    assert_eq!(node.hand_in("update", 2, 3, LONG, b"").status(), 202);
    endpoint.call(1);
    assert_eq!(node.platform.watches.lock().expect("sound").len(), 1, "one watch, the first");
}
