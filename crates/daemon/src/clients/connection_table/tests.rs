use super::*;
use tokio::net::{TcpListener, TcpStream};

#[test]
fn the_connection_idle_longest_is_evicted_and_never_one_with_a_request() {
    // Guards against evicting a connection on which a request has arrived and was not read yet.
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let connections = ConnectionTable::default();
        let mut clients = Vec::new();
        let long_ago = Instant::now() - 3 * MIN_IDLE_TO_EVICT;
        for age in [0, 1, 2, 3] {
            clients.push(TcpStream::connect(address).await.expect("a connection"));
            let (stream, _) = listener.accept().await.expect("a connection");
            let slot = Rc::new(ConnectionSlot::new(Rc::new(stream), Duration::ZERO));
            slot.since.set(long_ago + Duration::from_millis(age));
            connections.insert(&slot);
        }
        // The oldest connection has an unread request, and the next one has an answer that is being written.
        clients[0].writable().await.expect("open");
        clients[0].try_write(b"P").expect("written");
        let first = connections.slots.borrow()[&0].clone();
        std::future::poll_fn(|cx| first.stream.poll_read_ready(cx)).await.expect("it arrives");
        connections.slots.borrow()[&1].stage.set(Stage::Answering);
        connections.wait_for_slot(4).await;
        assert_eq!(connections.slots.borrow().keys().copied().collect::<Vec<_>>(), [0, 1, 3]);
        clients[2].readable().await.expect("its end");
        assert_eq!(clients[2].try_read(&mut [0; 1]).expect("its end"), 0);
    });
}

#[test]
fn an_ended_connection_is_evicted_even_if_bytes_arrive_on_it() {
    // Guards against clients that keep slots taken by leaving their side open, or by sending without end.
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let client = TcpStream::connect(address).await.expect("a connection");
        let (stream, _) = listener.accept().await.expect("a connection");
        let (connections, slot) =
            (ConnectionTable::default(), Rc::new(ConnectionSlot::new(Rc::new(stream), Duration::ZERO)));
        connections.insert(&slot);
        slot.stage.set(Stage::Answering);
        let (ended, begun) = (slot.clone(), Instant::now());
        let ending = tokio::task::spawn_local(async move { ended.close_gracefully().await });
        client.writable().await.expect("open");
        client.try_write(b"more").expect("written");
        let slot_free = timeout(Duration::from_secs(20), connections.wait_for_slot(1));
        slot_free.await.expect("it does not wait for the client to close its side");
        assert!(begun.elapsed() >= MIN_IDLE_TO_EVICT, "after the time that an answer takes");
        ending.await.expect("it ended");
        assert!(connections.slots.borrow().is_empty());
    });
}

#[test]
fn a_further_connection_is_accepted_only_once_the_evicted_one_is_closed() {
    // Guards against more open descriptors than slots: each eviction would allow another connection before
    // any of the evicted ones is closed.
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        const MAX_CONNECTIONS: usize = 2;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let connections = Rc::new(ConnectionTable::default());
        let (mut clients, open_streams) = (Vec::new(), Rc::new(Cell::new(0)));
        for _ in 0..10 {
            clients.push(TcpStream::connect(address).await.expect("a connection"));
            connections.wait_for_descriptor(MAX_CONNECTIONS).await;
            let (stream, _) = listener.accept().await.expect("a connection");
            let slot = Rc::new(ConnectionSlot::new(Rc::new(stream), Duration::ZERO));
            slot.since.set(Instant::now() - 2 * MIN_IDLE_TO_EVICT);
            let number = connections.insert(&slot);
            open_streams.set(open_streams.get() + 1);
            assert!(open_streams.get() <= MAX_CONNECTIONS, "{} descriptors", open_streams.get());
            assert_eq!(connections.open_connections(), open_streams.get());
            let (table, open_streams) = (connections.clone(), open_streams.clone());
            tokio::task::spawn_local(async move {
                slot.wait_for_eviction().await;
                // It takes some turns until a connection notices that it was evicted.
                tokio::task::yield_now().await;
                open_streams.set(open_streams.get() - 1);
                table.remove(number);
            });
        }
    });
}
