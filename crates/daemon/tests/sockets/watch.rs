//! The watch on the list, against a service that does what the test says with each watch that comes.

use crate::world::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// So long after the service had a change, and could be reached, it counts as told.
const TOLD: Duration = Duration::from_secs(6);
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

type Part = Box<dyn FnOnce(TcpStream) + Send>;

/// When each watch's request had come.
type Watches = Arc<Mutex<Vec<Instant>>>;

/// Plays these parts, one for each watch; who comes after them is told `last`.
fn service(parts: Vec<Part>, last: String) -> (String, Watches) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let watches = Watches::default();
    let came = watches.clone();
    thread::spawn(move || {
        let mut parts = parts.into_iter();
        for stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
            let mut line = String::new();
            while reader.read_line(&mut line).is_ok_and(|n| n > 2) {
                line.clear();
            }
            came.lock().expect("sound").push(Instant::now());
            let part = parts.next().unwrap_or_else(|| beating(last.clone()));
            thread::spawn(move || part(stream));
        }
    });
    (address, watches)
}

fn chunk(stream: &mut TcpStream, text: &str) -> bool {
    write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_ok()
}

/// Says this, then a heartbeat each second.
fn beating(text: String) -> Part {
    Box::new(move |mut stream| {
        let mut fine = stream.write_all(HEAD.as_bytes()).is_ok() && chunk(&mut stream, &text);
        while fine {
            thread::sleep(Duration::from_secs(1));
            fine = chunk(&mut stream, "\n");
        }
    })
}

/// Says this, then nothing, with the connection open.
fn silent(said: String) -> Part {
    Box::new(move |mut stream| {
        stream.write_all(said.as_bytes()).expect("written");
        thread::sleep(LONG);
    })
}

/// Says this, and ends the connection.
fn last(said: &'static str) -> Part {
    Box::new(move |mut stream| drop(stream.write_all(said.as_bytes())))
}

const LONG: Duration = Duration::from_secs(60);

fn list(revision: u64, members: &[String]) -> String {
    format!("{{\"revision\":{revision},\"complete\":false,\"members\":[{}]}}\n", members.join(","))
}

/// A node with this service, whose destination 3 serves only as the service says, and a message for it.
fn waiting(address: &str) -> (Node, Endpoint, Receiver<Instant>) {
    let (tell, told) = channel();
    let endpoint = Endpoint::new(move |_| {
        let _ = tell.send(Instant::now());
        answer("200 OK", "", "")
    });
    let node = Node::new(&[member("s-1", endpoint.address, "shop", 3, "draining")], at(address));
    assert_eq!(node.hand_in("update", 1, 3, 50_000, b"x").status(), 202);
    (node, endpoint, told)
}

/// Has the change told by the watch that comes after these parts. Gives when each watch came, and when the
/// change was acted on.
fn play(parts: Vec<Part>, change: impl Fn(&str) -> String) -> (Vec<Instant>, Instant) {
    // The endpoint's address is known only once it stands: the last part finds it here.
    let (set, get) = channel::<String>();
    let mut parts = parts;
    parts.push(Box::new(move |stream| {
        let text = get.recv_timeout(LONG).expect("it stands");
        beating(text)(stream);
    }));
    let (address, watches) = service(parts, String::new());
    let (_node, endpoint, told) = waiting(&address);
    set.send(change(&member("s-1", endpoint.address, "shop", 3, "up"))).expect("it waits");
    let acted = told.recv_timeout(LONG).expect("the change is acted on");
    let came = watches.lock().expect("sound").clone();
    (came, acted)
}

#[test]
fn a_list_may_come_indented_and_behind_one_that_is_spoilt() {
    // A watch that cut at each line's end dropped such a list piece by piece, and never told its changes.
    let spoilt = "{\"revision\":42,\"members\":[{\"id\":\n";
    for step in ["", "  "] {
        let (watches, _) = play(vec![], |up| {
            let value: serde_json::Value = serde_json::from_str(&list(43, &[up.to_owned()])).expect("sound");
            let text = serde_json::to_string_pretty(&value).expect("text");
            text.lines()
                .map(|l| step.repeat((l.len() - l.trim_start().len()) / 2) + l.trim_start() + "\n")
                .collect()
        });
        assert_eq!(watches.len(), 1);
    }
    let (watches, _) = play(vec![], |up| format!("{spoilt}{}", list(43, &[up.to_owned()])));
    assert_eq!(watches.len(), 1, "on the same watch");
}

#[test]
fn what_a_silent_watch_misses_is_known_in_time() {
    // The watch falls silent in its first moment, which is when the change is made.
    for said in [HEAD.to_owned(), format!("{HEAD}1\r\n\n\r\n")] {
        let (watches, acted) = play(vec![silent(said)], |up| list(42, &[up.to_owned()]));
        assert!(acted - watches[0] < TOLD - Duration::from_secs(2), "{:?}", acted - watches[0]);
    }
}

#[test]
fn bytes_that_complete_no_value_keep_no_watch_alive() {
    let drips: Part = Box::new(|mut stream| {
        let begun = stream.write_all(HEAD.as_bytes()).is_ok() && chunk(&mut stream, "\n");
        let mut fine = begun && chunk(&mut stream, "{\"revision\":");
        while fine {
            thread::sleep(Duration::from_millis(200));
            fine = chunk(&mut stream, "\n");
        }
    });
    let (watches, acted) = play(vec![drips], |up| list(42, &[up.to_owned()]));
    assert!(acted - watches[0] < TOLD - Duration::from_secs(2), "{:?}", acted - watches[0]);
}

#[test]
fn whatever_failed_before_a_change_is_known_within_six_seconds_of_when_it_could_be() {
    // The worst in a row: a silent watch, a head that never comes, a refusal, a reset, an end, half a head.
    // The service could be reached from the moment on in which each of them began, or ended.
    let parts: Vec<Part> = vec![
        silent(format!("{HEAD}1\r\n\n\r\n")),
        silent(String::new()),
        last("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
        last(""),
        last("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        silent("HTTP/1.1 200 OK\r\nTransf".to_owned()),
    ];
    let (watches, acted) = play(parts, |up| list(42, &[up.to_owned()]));
    for (n, came) in watches.iter().enumerate() {
        let next = watches.get(n + 1).copied().unwrap_or(acted);
        // Each step leaves time for the one that succeeds.
        assert!(next - *came < TOLD - Duration::from_millis(800), "after watch {n}: {:?}", next - *came);
    }
}

#[test]
fn a_connection_that_never_comes_up_is_tried_again_in_time() {
    let service = Unreachable::new();
    let (node, endpoint, told) = waiting(&service.address.to_string());
    thread::sleep(Duration::from_secs(1));
    // From now on the service can be reached.
    let reached = Instant::now();
    let up = member("s-1", endpoint.address, "shop", 3, "up");
    thread::spawn(move || {
        for stream in service.listen().incoming().flatten() {
            let up = up.clone();
            thread::spawn(move || {
                let mut line = String::new();
                let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
                if reader.read_line(&mut line).is_ok_and(|n| n > 0) {
                    beating(list(42, &[up]))(stream);
                }
            });
        }
    });
    let acted = told.recv_timeout(LONG).expect("the change is acted on");
    assert!(acted - reached < TOLD, "{:?}", acted - reached);
    drop(node);
}

#[test]
fn idle_clients_that_fill_the_descriptors_keep_nothing_else_from_working() {
    // The service is down meanwhile. At its return the watch, the call, the store and operators need theirs.
    const ALL: usize = 96;
    let (set, get) = channel::<String>();
    let mut parts: Vec<Part> = (0..5).map(|_| last("")).collect();
    parts.push(Box::new(move |stream| {
        let text = get.recv_timeout(LONG).expect("it stands");
        beating(text)(stream);
    }));
    let (address, watches) = service(parts, String::new());
    let (tell, told) = channel();
    let endpoint = Endpoint::new(move |_| {
        let _ = tell.send(Instant::now());
        answer("200 OK", "", "")
    });
    let limited =
        |text: String| at(&address)(text).replace("\"sockets\": 1024", &format!("\"sockets\": {ALL}"));
    let node = Node::new(&[member("s-1", endpoint.address, "shop", 3, "draining")], limited);
    node.limit_descriptors(ALL);
    assert_eq!(node.hand_in("update", 1, 3, 50_000, b"x").status(), 202);
    // More than there is room for; each has had an answer where it was let in, and rests.
    let mut clients: Vec<Client> = (0..ALL).map(|_| Client::new(node.address)).collect();
    clients.iter_mut().for_each(|c| c.send("GET /up", &[], b""));
    // And operators who say nothing.
    let _operators: Vec<TcpStream> =
        (0..ALL).map(|_| TcpStream::connect(node.admin).expect("a connection")).collect();
    let full = Instant::now();
    until("the service to be asked five times", || watches.lock().expect("sound").len() >= 5);
    let most = 5 * Duration::from_millis(2_600);
    assert!(full.elapsed() < most, "the watch has no descriptor: {:?}", full.elapsed());
    set.send(list(42, &[member("s-1", endpoint.address, "shop", 3, "up")])).expect("it waits");
    let back = Instant::now();
    let acted = told.recv_timeout(LONG).expect("the change is acted on");
    assert!(acted - back < TOLD, "{:?}", acted - back);
    assert_eq!(node.say("GET /status").status(), 200, "operators are answered");
    assert_eq!(node.hand_in("update", 2, 3, 50_000, b"x").status(), 202, "and clients that have a message");
}

#[test]
fn signals_in_a_row_that_move_the_service_leave_the_last_place_in_force() {
    // Between two: a place that takes the watch and says nothing, and one that refuses it. The end of a watch
    // that was begun there must not delay the one in force.
    let (mute, _) = service(vec![silent(String::new())], String::new());
    let refused = TcpListener::bind("127.0.0.1:0").expect("a port");
    let nowhere = refused.local_addr().expect("an address").to_string();
    drop(refused);
    for between in [[&mute, &nowhere], [&nowhere, &mute]] {
        let (first, _) = service(vec![], "\n".into());
        let (node, endpoint, told) = waiting(&first);
        let up = list(42, &[member("s-1", endpoint.address, "shop", 3, "up")]);
        let (last_place, _) = service(vec![], up);
        let begun = Instant::now();
        for place in between.into_iter().chain([&last_place]) {
            node.reload(&at(place)(node.config()));
        }
        let acted = told.recv_timeout(LONG).expect("the change is acted on");
        // After SIGHUP what is told there counts 4 s later.
        assert!(acted - begun < Duration::from_secs(4), "{:?}", acted - begun);
    }
}

#[test]
fn a_change_in_a_value_that_cannot_be_read_is_known_within_six_seconds() {
    let endpoint = Endpoint::new(|_| answer("200 OK", "", ""));
    let node = Node::new(&[member("s-1", endpoint.address, "shop", 3, "up")], |text| text);
    node.platform.tell_spoilt(42, &[member("s-2", endpoint.address, "shop", 5, "up")]);
    // Sound values behind it must not hide that it was missed.
    node.platform.tell(43, &[member("s-3", endpoint.address, "shop", 6, "up")]);
    let told = std::time::Instant::now();
    until("the sound one is known", || node.hand_in("update", 1, 6, 5_000, b"x").status() != 503);
    let mut id = 10;
    until("the change, or six seconds", || {
        id += 1;
        std::thread::sleep(std::time::Duration::from_millis(100));
        node.hand_in("update", id, 5, 5_000, b"x").status() == 202 || told.elapsed().as_secs() >= 6
    });
    assert!(told.elapsed().as_secs() < 6, "it was never told of what it could not read");
}
