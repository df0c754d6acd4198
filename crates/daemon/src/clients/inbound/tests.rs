use super::*;
use crate::calls::Target;
use notchpoint_seam::Stream;
use notchpoint_seam::system::SystemSockets;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Shutdown;
use std::task::{Context, Poll};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// What connections share, with a folder and nothing else behind it.
fn behind(folder: &std::path::Path) -> (Rc<Inbound>, UnboundedReceiver<Input>) {
    let config = crate::settings::config::read(crate::settings::config::tests::TEXT).expect("sound");
    let journal = Rc::new(RefCell::new(crate::state::journal::tests::journal(folder)));
    let (inputs, received) = unbounded_channel();
    let durability = DurabilityTracker::new(journal.clone());
    let net = Rc::new(SystemSockets::default());
    let inbound = Inbound {
        max_connections: max_connections(&config),
        max_body_bytes: max_body_bytes(&config),
        body_bytes: Cell::new(0),
        calls: Calls::new(&config, net, journal.clone(), durability.clone(), None, inputs.clone()),
        copies: None,
        durability,
        terms: Rc::new(RefCell::new(ActiveSettings::new(&config, &BTreeMap::new(), &BTreeSet::new()).0)),
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
fn the_time_of_a_message_that_waited_in_the_queue_ran_meanwhile() {
    // Guards against telling its end as much too late. The wait is as long as the message's time, so that
    // no speed matters: the first of the connection has no time left, and the next one did not wait.
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        let folder = tempfile::tempdir().expect("a folder");
        let (inbound, _received) = behind(folder.path());
        let address = "127.0.0.1:4".parse().expect("an address");
        let target = Target { address, dest: DestinationId(3), live: true, apart: false, bundle: 1 };
        inbound.calls.update_endpoint(EndpointId(1), Some(target));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut client =
            TcpStream::connect(listener.local_addr().expect("its address")).await.expect("a connection");
        let (stream, _) = listener.accept().await.expect("a connection");
        let slot = Rc::new(ConnectionSlot::new(Rc::new(stream), Duration::from_secs(6)));
        tokio::task::spawn_local(connection(inbound.clone(), slot));
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
fn a_message_counts_only_once_its_client_can_have_heard() {
    // Guards against sending what its client, gone before the answer, has handed in elsewhere by now.
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        let folder = tempfile::tempdir().expect("a folder");
        let (inbound, mut received) = behind(folder.path());
        let journal = inbound.journal.clone();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let stream: Rc<dyn Stream> = Rc::new(TcpStream::connect(address).await.expect("a connection"));
        let receive = || {
            let slot = Rc::new(ConnectionSlot::new(stream.clone(), Duration::ZERO));
            Rc::new(Receipt { due: RefCell::default(), slot, inbound: inbound.clone() })
        };
        let take = |receipt: &Receipt, id: u64| {
            let (id, class, tenant, dest) = (MessageId(id), 0, None, DestinationId(3));
            let open = OpenMessage::new("update", "acme", 3, u64::MAX, Bytes::new());
            journal.borrow_mut().accept(id, open).expect("room");
            let accepted = AcceptedMessage { id, class, tenant, dest, again: false };
            receipt.expect(accepted);
        };
        // The connection ends before anything, or before all of the answer is written.
        for begun in [false, true] {
            let receipt = receive();
            take(&receipt, 1);
            receipt.on_flush();
            if begun {
                receipt.on_write(b"HTTP/1.1 2");
            }
            drop(receipt);
            assert!(journal.borrow().get(MessageId(1)).is_none());
            assert!(matches!(received.try_recv(), Ok(Input::Unacknowledged(MessageId(1)))));
        }
        // Two requests sent without waiting, and both answers flushed at once: neither is forgotten.
        let receipt = receive();
        take(&receipt, 2);
        take(&receipt, 3);
        receipt.on_write(b"HTTP/1.1 202 Accepted\r\n\r\nHTTP/1.1 202 Accepted\r\n\r\n");
        receipt.on_flush();
        drop(receipt);
        for id in [2, 3] {
            assert!(journal.borrow().get(MessageId(id)).is_some());
            assert!(matches!(received.try_recv(), Ok(Input::Acknowledged(m)) if m.id == MessageId(id)));
        }
    });
}

/// A connection that always looks as if nothing had come on it: what came did so right after the look.
struct Crossed {
    stream: TcpStream,
    was_read: Rc<Cell<bool>>,
}

impl Stream for Crossed {
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
fn a_request_that_crosses_the_end_of_its_connection_is_not_sent_on() {
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        // Its place is wanted by another client; or the process is told to end its connections.
        for wanted in [true, false] {
            let folder = tempfile::tempdir().expect("a folder");
            let (inbound, mut received) = behind(folder.path());
            let address = "127.0.0.1:4".parse().expect("an address");
            let target = Target { address, dest: DestinationId(3), live: true, apart: false, bundle: 1 };
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
            poll_fn(|cx| stream.poll_read_ready(cx)).await.expect("it has come, and nobody has read it");
            let was_read = Rc::new(Cell::new(false));
            let stream = Rc::new(Crossed { stream, was_read: was_read.clone() });
            let slot = Rc::new(ConnectionSlot::new(stream, Duration::ZERO));
            let connections = ConnectionTable::default();
            connections.take(&slot);
            if wanted {
                tokio::time::sleep(Duration::from_millis(60)).await;
                connections.free(1).await;
            } else {
                inbound.admission.close_signal.set();
            }
            // Nobody else holds it: it is closed with its task.
            let (behind, ended) = (inbound.clone(), slot);
            let served = tokio::task::spawn_local(async move {
                connection(behind, ended.clone()).await;
                ended.end().await;
            });
            let mut said = Vec::new();
            let _ = client.read_to_end(&mut said).await;
            drop(client);
            served.await.expect("it ended");
            let said = String::from_utf8(said).expect("text");
            let taken = matches!(received.try_recv(), Ok(Input::Acknowledged(..)));
            // Promised or not: what is sent on has been promised, and what was not promised is forgotten.
            assert_eq!(taken, said.starts_with("HTTP/1.1 202"), "{said}");
            assert_eq!(inbound.journal.borrow().get(MessageId(0xa1)).is_some(), taken);
            assert!(!(wanted && taken), "its place was gone before it was read");
            assert!(!(wanted && was_read.get()), "what was read and gets no answer is lost");
            assert!(wanted || !was_read.get() || !said.is_empty(), "read, and not answered");
        }
    });
}

/// Hands a message in that has so many milliseconds, and gives the status.
async fn hand_in(client: &mut TcpStream, id: &str, milliseconds: u64) -> String {
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
fn who_waited_at_the_platforms_socket_before_the_process_came_is_not_taken_for_just_come() {
    // What clients saw: a message that waited while a process started was ended up to 0.4 s too late. Why:
    // the runtime answers "nobody" until its event loop has looked at a socket, and that was taken for an
    // empty queue.
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        let folder = tempfile::tempdir().expect("a folder");
        let (inbound, _received) = behind(folder.path());
        let address = "127.0.0.1:4".parse().expect("an address");
        let target = Target { address, dest: DestinationId(3), live: true, apart: false, bundle: 1 };
        inbound.calls.update_endpoint(EndpointId(1), Some(target));
        // The platform's socket: it was there before this process.
        let held = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let place = held.local_addr().expect("its address");
        let waited = std::net::TcpStream::connect(place).expect("a connection");
        waited.set_nonblocking(true).expect("an option");
        held.set_nonblocking(true).expect("an option");
        let listener = TcpListener::from_std(held).expect("it listens");
        tokio::task::spawn_local(serve(inbound.clone(), Rc::new(listener)));
        let mut waited = TcpStream::from_std(waited).expect("a connection");
        // It may have waited for as long as a client waits.
        assert_eq!(hand_in(&mut waited, "00000000000000a1", 350).await, "503");
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut fresh = TcpStream::connect(place).await.expect("a connection");
        assert_eq!(hand_in(&mut fresh, "00000000000000a2", 350).await, "202", "it has just come");
    });
}
