use super::*;
use crate::calls::Target;
use crate::settings::descriptors::{HeldDescriptors, SharedDescriptors};
use notchpoint_seam::Stream;
use notchpoint_seam::system::SystemSockets;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Shutdown;
use std::task::{Context, Poll};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Returns the shared state of connections, with a journal and without any other parts of a sender.
fn inbound_with_journal(folder: &std::path::Path) -> (Rc<Inbound>, UnboundedReceiver<Input>) {
    let config = crate::settings::config::read(crate::settings::config::tests::TEXT).expect("sound");
    let journal = Rc::new(RefCell::new(crate::state::journal::tests::journal(folder)));
    let (inputs, received) = unbounded_channel();
    let durability = DurabilityTracker::new(journal.clone());
    let net = Rc::new(SystemSockets::default());
    let descriptors =
        Rc::new(DescriptorLimits::new(SharedDescriptors::new(&config, false), HeldDescriptors::default()));
    let inbound = Inbound {
        connections: Rc::default(),
        descriptors: descriptors.clone(),
        max_connections_in_memory: max_connections_in_memory(&config),
        max_body_bytes: max_body_bytes(&config),
        body_bytes: Cell::new(0),
        calls: Calls::new(
            &config,
            descriptors,
            net,
            journal.clone(),
            durability.clone(),
            None,
            inputs.clone(),
        ),
        copies: None,
        durability,
        active_settings: Rc::new(RefCell::new(
            ActiveSettings::new(&config, &BTreeMap::new(), &BTreeSet::new()).0,
        )),
        journal,
        inputs,
        admission: Rc::default(),
        successor: RefCell::default(),
        unanswered: RefCell::default(),
        accept_queue: RefCell::new(AcceptQueue::new(None)),
        accepting_since: Instant::now(),
        is_queue_polled: Cell::new(false),
        first_stream: RefCell::default(),
    };
    (Rc::new(inbound), received)
}

#[test]
fn the_time_that_a_message_waited_in_the_accept_queue_counts_towards_its_time_out() {
    // Guards against reporting the end of a message too late by the time that its connection waited. The wait
    // is as long as the message's time-out, so the result does not depend on speed: the first message on the
    // connection has no time left, and the next one did not wait.
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        let folder = tempfile::tempdir().expect("a folder");
        let (inbound, _received) = inbound_with_journal(folder.path());
        let address = "127.0.0.1:4".parse().expect("an address");
        let target =
            Target { address, dest: DestinationId(3), live: true, per_endpoint: false, max_bundle: 1 };
        inbound.calls.update_endpoint(EndpointId(1), Some(target));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut client =
            TcpStream::connect(listener.local_addr().expect("its address")).await.expect("a connection");
        let (stream, _) = listener.accept().await.expect("a connection");
        let slot = Rc::new(ConnectionSlot::new(Rc::new(stream), Duration::from_secs(6)));
        tokio::task::spawn_local(serve_connection(inbound.clone(), slot));
        for (id, status) in [("00000000000000a1", "503"), ("00000000000000a2", "202")] {
            let request = format!(
                "POST /update HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Priority-Class: update\r\n\
                 X-Tenant-Id: acme\r\nX-Timeout-Ms: 6000\r\nX-Envelope: dest=3\r\n\
                 Content-Length: 1\r\n\r\nb"
            );
            client.write_all(request.as_bytes()).await.expect("written");
            let (mut answer, mut block) = (String::new(), [0; 256]);
            while !answer.ends_with("\r\n\r\n") {
                let n = client.read(&mut block).await.expect("an answer");
                assert!(n > 0, "no answer");
                answer.push_str(std::str::from_utf8(&block[..n]).expect("text"));
            }
            assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{id}: {answer}");
        }
    });
}

#[test]
fn a_message_is_passed_on_only_once_its_client_can_have_received_the_answer() {
    // Guards against sending a message whose client left before the answer and has sent it to another sender.
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        let folder = tempfile::tempdir().expect("a folder");
        let (inbound, mut received) = inbound_with_journal(folder.path());
        let journal = inbound.journal.clone();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let stream: Rc<dyn Stream> = Rc::new(TcpStream::connect(address).await.expect("a connection"));
        let new_tracker = || {
            let slot = Rc::new(ConnectionSlot::new(stream.clone(), Duration::ZERO));
            Rc::new(AckTracker { pending: RefCell::default(), slot, inbound: inbound.clone() })
        };
        let accept = |tracker: &AckTracker, id: u64| {
            let (id, class, tenant, dest) = (MessageId(id), 0, None, DestinationId(3));
            let open = OpenMessage::new("update", "acme", 3, u64::MAX, Bytes::new());
            journal.borrow_mut().accept(id, open).expect("room");
            let accepted = AcceptedMessage { id, class, tenant, dest, is_retry: false };
            tracker.expect(accepted);
        };
        // The connection ends before any byte of the answer is written, or before all of it is.
        for is_begun in [false, true] {
            let tracker = new_tracker();
            accept(&tracker, 1);
            tracker.on_flush();
            if is_begun {
                tracker.on_write(b"HTTP/1.1 2");
            }
            drop(tracker);
            assert!(journal.borrow().get(MessageId(1)).is_none());
            assert!(matches!(received.try_recv(), Ok(Input::Unacknowledged(MessageId(1)))));
        }
        // Two requests are pipelined, and both answers are flushed at once. Both messages are passed on.
        let tracker = new_tracker();
        accept(&tracker, 2);
        accept(&tracker, 3);
        tracker.on_write(b"HTTP/1.1 202 Accepted\r\n\r\nHTTP/1.1 202 Accepted\r\n\r\n");
        tracker.on_flush();
        drop(tracker);
        for id in [2, 3] {
            assert!(journal.borrow().get(MessageId(id)).is_some());
            assert!(matches!(received.try_recv(), Ok(Input::Acknowledged(m)) if m.id == MessageId(id)));
        }
    });
}

/// A connection that always reports that nothing has arrived, as if bytes arrived right after each check.
struct AlwaysQuiet {
    stream: TcpStream,
    was_read: Rc<Cell<bool>>,
}

impl Stream for AlwaysQuiet {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.poll_read_ready(cx)
    }

    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        self.was_read.set(true);
        self.stream.try_read(buf)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.poll_write_ready(cx)
    }

    fn try_write(&self, buf: &[u8]) -> io::Result<usize> {
        self.stream.try_write(buf)
    }

    fn has_no_unread_data(&self) -> bool {
        true
    }

    fn shutdown(&self, how: Shutdown) -> io::Result<()> {
        Stream::shutdown(&self.stream, how)
    }

    fn set_nodelay(&self) -> io::Result<()> {
        Stream::set_nodelay(&self.stream)
    }
}

#[test]
fn a_request_that_crosses_the_end_of_its_connection_is_passed_on_only_if_answered_202() {
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        // The connection is evicted for another client, or the process closes its connections.
        for is_evicted in [true, false] {
            let folder = tempfile::tempdir().expect("a folder");
            let (inbound, mut received) = inbound_with_journal(folder.path());
            let address = "127.0.0.1:4".parse().expect("an address");
            let target =
                Target { address, dest: DestinationId(3), live: true, per_endpoint: false, max_bundle: 1 };
            inbound.calls.update_endpoint(EndpointId(1), Some(target));
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let mut client =
                TcpStream::connect(listener.local_addr().expect("its address")).await.expect("a connection");
            let (stream, _) = listener.accept().await.expect("a connection");
            let request = "POST /update HTTP/1.1\r\nX-Request-ID: 00000000000000a1\r\n\
                           X-Priority-Class: update\r\nX-Tenant-Id: acme\r\n\
                           X-Timeout-Ms: 6000\r\nX-Envelope: dest=3\r\n\
                           Content-Length: 1\r\n\r\nb";
            client.write_all(request.as_bytes()).await.expect("written");
            poll_fn(|cx| stream.poll_read_ready(cx)).await.expect("it has arrived unread");
            let was_read = Rc::new(Cell::new(false));
            let stream = Rc::new(AlwaysQuiet { stream, was_read: was_read.clone() });
            let slot = Rc::new(ConnectionSlot::new(stream, Duration::ZERO));
            let connections = ConnectionTable::default();
            connections.insert(&slot);
            if is_evicted {
                tokio::time::sleep(Duration::from_millis(60)).await;
                connections.wait_for_slot(1).await;
            } else {
                inbound.admission.close_signal.set();
            }
            // The slot moves into the task, so that an evicted connection closes when the task ends.
            let (shared, slot) = (inbound.clone(), slot);
            let served = tokio::task::spawn_local(async move {
                serve_connection(shared, slot.clone()).await;
                slot.close_gracefully().await;
            });
            let mut answer = Vec::new();
            let _ = client.read_to_end(&mut answer).await;
            drop(client);
            served.await.expect("it ended");
            let answer = String::from_utf8(answer).expect("text");
            let is_accepted = matches!(received.try_recv(), Ok(Input::Acknowledged(..)));
            // The message is passed on and recorded exactly if it was answered with 202.
            assert_eq!(is_accepted, answer.starts_with("HTTP/1.1 202"), "{answer}");
            assert_eq!(inbound.journal.borrow().get(MessageId(0xa1)).is_some(), is_accepted);
            assert!(!(is_evicted && is_accepted), "the connection was evicted before the request was read");
            assert!(!(is_evicted && was_read.get()), "a request that is read and not answered is lost");
            assert!(is_evicted || !was_read.get() || !answer.is_empty(), "read, and not answered");
        }
    });
}

/// Sends a message with this time-out and returns the status of the answer.
async fn send_message(client: &mut TcpStream, id: &str, milliseconds: u64) -> String {
    let request = format!(
        "POST /update HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Priority-Class: update\r\nX-Tenant-Id: acme\r\n\
         X-Timeout-Ms: {milliseconds}\r\nX-Envelope: dest=3\r\nContent-Length: 1\r\n\r\nb"
    );
    client.write_all(request.as_bytes()).await.expect("written");
    let mut status = [0; 12];
    client.read_exact(&mut status).await.expect("an answer");
    String::from_utf8_lossy(&status[9..]).into_owned()
}

#[test]
fn a_connection_that_waited_while_the_process_started_is_not_treated_as_new() {
    // Guards against ending a message that waited while a process started up to 0.4 s too late. The runtime
    // reports no connection until its event loop has polled a socket, which looks like an empty accept queue.
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        let folder = tempfile::tempdir().expect("a folder");
        let (inbound, _received) = inbound_with_journal(folder.path());
        let address = "127.0.0.1:4".parse().expect("an address");
        let target =
            Target { address, dest: DestinationId(3), live: true, per_endpoint: false, max_bundle: 1 };
        inbound.calls.update_endpoint(EndpointId(1), Some(target));
        // The platform's socket exists before this process.
        let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = socket.local_addr().expect("its address");
        let waited = std::net::TcpStream::connect(address).expect("a connection");
        waited.set_nonblocking(true).expect("an option");
        socket.set_nonblocking(true).expect("an option");
        let listener = TcpListener::from_std(socket).expect("it listens");
        tokio::task::spawn_local(serve(inbound.clone(), Rc::new(listener)));
        let mut waited = TcpStream::from_std(waited).expect("a connection");
        // It may have waited for as long as a client waits.
        assert_eq!(send_message(&mut waited, "00000000000000a1", 350).await, "503");
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut new = TcpStream::connect(address).await.expect("a connection");
        assert_eq!(send_message(&mut new, "00000000000000a2", 350).await, "202", "it has just connected");
    });
}

#[test]
fn a_request_that_is_forwarded_again_is_recognized_by_its_content_and_not_only_by_its_id() {
    // Guards against a request that is acknowledged because an earlier message has its id: it has no record,
    // and is never sent.
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        let folder = tempfile::tempdir().expect("a folder");
        let (inbound, _received) = inbound_with_journal(folder.path());
        let address = "127.0.0.1:4".parse().expect("an address");
        let target =
            Target { address, dest: DestinationId(3), live: true, per_endpoint: false, max_bundle: 1 };
        inbound.calls.update_endpoint(EndpointId(1), Some(target));
        let tag = inbound.active_settings.borrow().classes.tag_at(0).to_owned();
        let request = |body: &[u8]| ForwardedRequest {
            id: MessageId(1),
            tag: tag.clone(),
            tenant: "acme".into(),
            dest: DestinationId(3),
            deadline: u64::MAX,
            idempotency_key: String::new(),
            body: body.to_vec(),
        };
        let recorded = ForwardResult::Recorded { class: 0 };
        assert_eq!(record_forwarded(&inbound, request(b"first"), true).await, recorded);
        assert_eq!(record_forwarded(&inbound, request(b"first"), true).await, recorded, "the same request");
        assert_eq!(record_forwarded(&inbound, request(b"other"), true).await, ForwardResult::Conflict);
        assert_eq!(record_forwarded(&inbound, request(b"first"), false).await, ForwardResult::Conflict);
        inbound.journal.borrow_mut().record_end(MessageId(1));
        let hold = inbound.journal.borrow().hold(MessageId(1));
        assert_eq!(record_forwarded(&inbound, request(b"other"), true).await, ForwardResult::RetryLater);
        drop(hold);
        assert_eq!(record_forwarded(&inbound, request(b"other"), true).await, recorded);
    });
}
