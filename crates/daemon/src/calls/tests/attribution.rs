//! Endpoints that write a response again: no copy is taken for the response to another call.

use super::*;

const PLAIN: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const CLOSING: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const REFUSAL_WITH_WAIT: &str = "HTTP/1.1 429 Wait\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
/// How long nothing may happen after a surplus response.
const QUIET: Duration = Duration::from_millis(30);
/// The time-out of a call that gets no answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

impl Harness {
    /// Starts a call with one message of this id, which may take `timeout`.
    fn start(&self, id: u64, timeout: Duration) {
        self.calls.start(ENDPOINT, vec![self.accept_message(id, u64::MAX, timeout, Bytes::new())]);
    }

    /// Makes a first call, with message 1, whose connection is idle afterwards, and returns that.
    async fn used_connection(&mut self) -> TcpStream {
        self.start(1, LONG_TIME);
        let (mut stream, _) = self.listener.accept().await.expect("a call");
        read_request(&mut stream).await;
        stream.write_all(PLAIN.as_bytes()).await.expect("written");
        assert_eq!(self.next_end().await, (1, Outcome::Served));
        while self.calls.idle_connections().is_empty() {
            tokio::task::yield_now().await;
        }
        stream
    }

    /// Checks that no attempt ends for a while.
    async fn assert_waiting(&mut self) {
        let ended = tokio::time::timeout(QUIET, self.next_end()).await;
        assert!(ended.is_err(), "the call ended by a response that is not its own: {ended:?}");
    }

    fn surplus_responses(&self) -> u64 {
        self.calls.reasons.to_json()["surplus_responses"].as_u64().expect("a count")
    }
}

#[test]
fn copy_that_crosses_the_next_request_is_no_response_to_it() {
    // Guards against a message that counts as delivered, or as never run, by a copy of the answer before.
    let full = |wait| Outcome::Full { wait };
    for (answer, outcome) in [
        (CLOSING, Outcome::Served),
        (REFUSAL, full(None)),
        (REFUSAL_WITH_WAIT, full(Some(500_000))),
        (ERROR, Outcome::Failed),
    ] {
        for copies in 0..3 {
            run_on_sockets(async {
                let mut harness = Harness::new(1).await;
                let mut stream = harness.used_connection().await;
                harness.start(2, LONG_TIME);
                let (head, _) = read_request(&mut stream).await;
                assert!(head.contains("connection: close"), "{head}");
                for _ in 0..copies {
                    stream.write_all(PLAIN.as_bytes()).await.expect("written");
                    harness.assert_waiting().await;
                }
                stream.write_all(answer.as_bytes()).await.expect("written");
                assert_eq!(harness.next_end().await, (2, outcome), "{copies} copies, then {answer}");
                assert_eq!(harness.surplus_responses(), copies);
                // The connection is closed, so a copy of this answer meets no further call.
                let mut rest = Vec::new();
                stream.read_to_end(&mut rest).await.expect("its end");
                assert!(harness.calls.idle_connections().is_empty());
            });
        }
    }
}

#[test]
fn copy_of_an_answer_to_a_batch_lists_other_messages_and_ends_none() {
    // The same for an endpoint that takes several messages in a call: its connection is used again and again.
    run_on_sockets(async {
        let mut harness = Harness::new(3).await;
        let mut stream = harness.used_connection().await;
        for id in 2..5 {
            harness.start(id, LONG_TIME);
            let (head, body) = read_request(&mut stream).await;
            assert!(
                head.starts_with("post /v1/messages:batch") && !head.contains("connection: close"),
                "{head}"
            );
            assert_eq!(body, format!("{id:016x} - 0\r\n\r\n").into_bytes());
            stream.write_all(all_done(&[id]).as_bytes()).await.expect("written");
            assert_eq!(harness.next_end().await, (id, Outcome::Served));
            while harness.calls.idle_connections().is_empty() {
                tokio::task::yield_now().await;
            }
        }
        for copy in [all_done(&[4]), PLAIN.to_owned()] {
            let id = if copy == PLAIN { 6 } else { 5 };
            harness.start(id, LONG_TIME);
            read_request(&mut stream).await;
            stream.write_all(copy.as_bytes()).await.expect("written");
            harness.assert_waiting().await;
            let busy = format!("HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n{id:016x} busy\r\n");
            stream.write_all(busy.as_bytes()).await.expect("written");
            assert_eq!(harness.next_end().await, (id, Outcome::Full { wait: None }));
            // An endpoint that writes copies gets no further call on this connection.
            assert!(harness.calls.idle_connections().is_empty());
            stream = harness.used_connection_again(id + 100).await;
        }
    });
}

impl Harness {
    /// Makes calls, the first with a message of this id, until one leaves an idle connection.
    async fn used_connection_again(&mut self, first: u64) -> TcpStream {
        for id in first.. {
            self.start(id, LONG_TIME);
            let (mut stream, _) = self.listener.accept().await.expect("a call");
            let (head, _) = read_request(&mut stream).await;
            let is_closed = head.contains("connection: close");
            let answer = if is_closed { CLOSING } else { PLAIN };
            stream.write_all(answer.as_bytes()).await.expect("written");
            assert_eq!(self.next_end().await, (id, Outcome::Served));
            if is_closed {
                continue;
            }
            while self.calls.idle_connections().is_empty() {
                tokio::task::yield_now().await;
            }
            return stream;
        }
        unreachable!("the ids are without end")
    }
}

#[test]
fn copy_of_an_answer_about_the_same_message_does_not_end_its_next_attempt() {
    // Guards against a second attempt that counts as never run by a copy of the first one's `busy`.
    run_on_sockets(async {
        let mut harness = Harness::new(3).await;
        let mut stream = harness.used_connection().await;
        let item = harness.accept_message(2, u64::MAX, LONG_TIME, Bytes::new());
        let busy = "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n0000000000000002 busy\r\n";
        harness.calls.start(ENDPOINT, vec![item.clone()]);
        read_request(&mut stream).await;
        stream.write_all(busy.as_bytes()).await.expect("written");
        assert_eq!(harness.next_end().await, (2, Outcome::Full { wait: None }));
        while harness.calls.idle_connections().is_empty() {
            tokio::task::yield_now().await;
        }
        harness.calls.start(ENDPOINT, vec![CallItem { attempt: 1, ..item }]);
        let (head, _) = read_request(&mut stream).await;
        assert!(head.contains("connection: close"), "{head}");
        stream.write_all(busy.as_bytes()).await.expect("written");
        harness.assert_waiting().await;
        stream.write_all(CLOSING.as_bytes()).await.expect("written");
        assert_eq!(harness.next_end().await, (2, Outcome::Served));
    });
}

#[test]
fn call_whose_endpoint_is_silent_after_a_copy_may_have_run() {
    // Guards against the loss of a message whose own answer never comes.
    for bundle in [1, 3] {
        run_on_sockets(async {
            let mut harness = Harness::new(bundle).await;
            let mut stream = harness.used_connection().await;
            harness.start(2, CALL_TIMEOUT);
            read_request(&mut stream).await;
            stream.write_all(PLAIN.as_bytes()).await.expect("written");
            harness.assert_waiting().await;
            tokio::time::pause();
            assert_eq!(harness.next_end().await, (2, Outcome::TimedOut));
        });
    }
}

#[test]
fn connection_that_ends_after_a_copy_leaves_it_open_whether_the_call_ran() {
    for bundle in [1, 3] {
        run_on_sockets(async {
            let mut harness = Harness::new(bundle).await;
            let mut stream = harness.used_connection().await;
            harness.start(2, LONG_TIME);
            read_request(&mut stream).await;
            stream.write_all(PLAIN.as_bytes()).await.expect("written");
            drop(stream);
            assert_eq!(harness.next_end().await, (2, Outcome::Spoilt));
        });
    }
}

#[test]
fn noise_in_place_of_a_copy_is_no_response_to_the_next_call() {
    run_on_sockets(async {
        let mut harness = Harness::new(1).await;
        let mut stream = harness.used_connection().await;
        harness.start(2, LONG_TIME);
        read_request(&mut stream).await;
        stream.write_all(b"\x16\x03\x01 noise\r\n\r\n").await.expect("written");
        assert_eq!(harness.next_end().await, (2, Outcome::Spoilt));
    });
}

#[test]
fn connection_carries_no_call_after_an_answer_other_than_200() {
    // Guards against a copy of a refusal that is taken for the refusal of a call that ran.
    for answer in [REFUSAL, REFUSAL_WITH_WAIT, ERROR, "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"] {
        run_on_sockets(async {
            let mut harness = Harness::new(1).await;
            harness.start(1, LONG_TIME);
            let (mut stream, _) = harness.listener.accept().await.expect("a call");
            read_request(&mut stream).await;
            stream.write_all(answer.as_bytes()).await.expect("written");
            harness.next_end().await;
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await.expect("its end");
            assert!(harness.calls.idle_connections().is_empty(), "{answer}");
        });
    }
}

#[test]
fn endpoint_that_does_not_announce_the_end_of_a_connection_gets_one_call_on_each() {
    // Its answers on used connections show nothing. Guards against waiting in vain for more than one of them.
    run_on_sockets(async {
        let mut harness = Harness::new(1).await;
        let mut used = harness.used_connection().await;
        harness.start(2, LONG_TIME);
        read_request(&mut used).await;
        used.write_all(PLAIN.as_bytes()).await.expect("written");
        harness.assert_waiting().await;
        for (id, answer) in [(3, PLAIN), (4, PLAIN), (5, CLOSING)] {
            harness.start(id, LONG_TIME);
            let (mut stream, _) = harness.listener.accept().await.expect("a connection of its own");
            let (head, _) = read_request(&mut stream).await;
            assert!(head.contains("connection: close"), "{head}");
            stream.write_all(answer.as_bytes()).await.expect("written");
            assert_eq!(harness.next_end().await, (id, Outcome::Served));
            assert!(harness.calls.idle_connections().is_empty());
        }
        // The last answer announced it, so connections are used again.
        harness.start(6, LONG_TIME);
        let (mut stream, _) = harness.listener.accept().await.expect("a connection of its own");
        let (head, _) = read_request(&mut stream).await;
        assert!(!head.contains("connection: close"), "{head}");
    });
}
