//! Requests that are still in transit while the sender closes a connection.

use crate::world::*;
use crate::{LONG, ok, start_with_endpoint};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// More bytes than the system buffers for a connection: the last can be written only if others are read.
const MORE_THAN_BUFFERS: usize = 16 << 20;

fn connect(node: &Node) -> TcpStream {
    let stream = TcpStream::connect(node.address).expect("the connection is accepted");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("the read timeout is set");
    stream
}

/// Returns the request line and the headers of an update for destination 3.
fn request_head(id: u64, length: usize) -> String {
    let id = format!("{id:016x}");
    let headers = headers(&id, "update", "60000", "dest=3").map(|(n, v)| format!("{n}: {v}\r\n")).concat();
    format!("POST /update HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n")
}

/// Reads until the connection is closed, and asserts that it is not reset: a reset discards unread responses.
fn read_all(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("the connection is closed and not reset");
    String::from_utf8_lossy(&received).into_owned()
}

#[test]
fn response_before_the_end_of_a_request_is_not_lost_by_a_reset() {
    let (node, endpoint) = start_with_endpoint("shop", |_| ok());
    let mut client = connect(&node);
    let all = [request_head(1, MORE_THAN_BUFFERS).as_bytes(), &vec![b'x'; MORE_THAN_BUFFERS]].concat();
    client
        .write_all(&all)
        .expect("the sender reads the whole request, although it responds long before its end");
    let received = read_all(&mut client);
    assert!(received.starts_with("HTTP/1.1 413") && received.contains("connection: close"), "{received}");
    assert_eq!(endpoint.calls(), 0);
}

#[test]
fn pipelined_requests_at_the_exit_of_a_process_are_all_answered_and_none_is_sent() {
    let (mut node, endpoint) = start_with_endpoint("shop", |_| ok());
    let mut client = connect(&node);
    node.terminate();
    wait_until("the sender drains", || node.request("GET /up", &[], b"").status() == 503);
    // Without waiting for responses, as clients do.
    let body = vec![b'x'; 60_000];
    let all: Vec<u8> = (1..=(MORE_THAN_BUFFERS / 60_000) as u64)
        .flat_map(|id| [request_head(id, 60_000).as_bytes(), &body].concat())
        .collect();
    client.write_all(&all).expect("the sender reads all requests");
    let received = read_all(&mut client);
    assert!(received.starts_with("HTTP/1.1 503") && received.contains("connection: close"), "{received}");
    assert_eq!(count_responses(&received, 503), MORE_THAN_BUFFERS / 60_000, "each that was read is answered");
    assert!(node.exited_cleanly());
    assert_eq!(endpoint.calls(), 0);
}

#[test]
fn client_that_keeps_its_side_open_or_sends_endlessly_does_not_delay_the_exit() {
    let (mut node, _endpoint) = start_with_endpoint("shop", |_| ok());
    let (open, mut endless) = (connect(&node), connect(&node));
    let (mut reader, mut writer) = (
        open.try_clone().expect("the socket is duplicated"),
        endless.try_clone().expect("the socket is duplicated"),
    );
    for client in [&open, &endless] {
        (&mut &*client)
            .write_all(request_head(1, MORE_THAN_BUFFERS).as_bytes())
            .expect("the bytes are written");
    }
    // This client reads the response to the end and never closes its own side.
    assert!(read_all(&mut reader).starts_with("HTTP/1.1 413"));
    let flood = std::thread::spawn(move || {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(20) && writer.write_all(&[b'x'; 64 << 10]).is_ok() {}
        begun.elapsed()
    });
    let mut received = [0; 12];
    endless.read_exact(&mut received).expect("the response is read");
    assert_eq!(&received, b"HTTP/1.1 413");
    assert!(
        flood.join().expect("the thread has not panicked") < Duration::from_secs(10),
        "the sender reads on for a limited time only"
    );
    node.terminate();
    assert!(node.exited_cleanly());
    drop(open);
}

#[test]
fn request_after_the_close_of_an_idle_connection_is_not_sent() {
    let (mut node, endpoint) = start_with_endpoint("shop", |_| ok());
    let mut client = Client::new(node.address);
    assert_eq!(client.submit("update", 1, 3, LONG, b"x").status(), 202);
    wait_until("a call of the message", || endpoint.calls() == 1);
    node.terminate();
    assert!(client.is_closed(), "an idle connection is closed");
    client.write_raw(&[request_head(2, 1).as_bytes(), b"x"].concat());
    assert_eq!(client.read_to_close(), "");
    assert!(node.exited_cleanly());
    assert_eq!(endpoint.calls(), 1);
}

#[test]
fn connection_accepted_during_the_exit_of_the_process_is_answered() {
    let (mut node, endpoint) = start_with_endpoint("shop", |_| ok());
    let mut idle = Client::new(node.address);
    assert_eq!(idle.request("GET /up", &[], b"").status(), 200);
    node.terminate();
    // Idle connections are closed from here on; the next one has had no request yet.
    assert!(idle.is_closed());
    let mut client = connect(&node);
    std::thread::sleep(Duration::from_millis(50));
    client.write_all(&[request_head(1, 1).as_bytes(), b"x"].concat()).expect("the bytes are written");
    let received = read_all(&mut client);
    assert!(received.starts_with("HTTP/1.1 503") && received.contains("connection: close"), "{received:?}");
    assert!(node.exited_cleanly());
    assert_eq!(endpoint.calls(), 0);
}

/// Returns the number of responses with this status.
fn count_responses(received: &str, status: u16) -> usize {
    received.matches(&format!("HTTP/1.1 {status}")).count()
}

#[test]
fn requests_that_were_read_together_are_all_answered_before_the_connection_is_closed() {
    // The first request is read in part at SIGTERM; its rest arrives together with many more requests.
    const MORE_REQUESTS: u64 = 40;
    let (mut node, endpoint) = start_with_endpoint("shop", |_| ok());
    let mut client = connect(&node);
    let first = request_head(1, 1);
    client.write_all(first.as_bytes()).expect("the bytes are written");
    std::thread::sleep(Duration::from_millis(100));
    node.terminate();
    wait_until("the sender drains", || node.request("GET /up", &[], b"").status() == 503);
    let rest: String = (2..=MORE_REQUESTS).map(|id| request_head(id, 1) + "x").collect();
    client.write_all(format!("x{rest}").as_bytes()).expect("the bytes are written");
    let received = read_all(&mut client);
    assert_eq!(count_responses(&received, 503), MORE_REQUESTS as usize, "{received}");
    assert_eq!(
        received.matches("connection: close").count(),
        1,
        "only the last response has the header: {received}"
    );
    assert!(node.exited_cleanly());
    assert_eq!(endpoint.calls(), 0);
}

#[test]
fn client_that_stops_within_its_second_request_is_closed_in_time() {
    let (node, _endpoint) = start_with_endpoint("shop", |_| ok());
    for stop in [5, 40, request_head(2, 1).len()] {
        let mut client = connect(&node);
        let all = request_head(1, 1) + "x" + &request_head(2, 1)[..stop];
        let begun = Instant::now();
        client.write_all(all.as_bytes()).expect("the bytes are written");
        let received = read_all(&mut client);
        assert!(received.starts_with("HTTP/1.1 202"), "{received}");
        assert!(begun.elapsed() < Duration::from_secs(3), "stopped at {stop}: {:?}", begun.elapsed());
    }
}
