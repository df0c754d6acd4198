use super::*;
use tokio::net::{TcpListener, TcpStream};

#[test]
fn a_place_is_taken_from_who_is_idle_longest_and_never_across_a_request() {
    // Guards against ending a connection on which a request has come that was not read yet.
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let connections = ConnectionTable::default();
        let mut clients = Vec::new();
        let long_ago = Instant::now() - 3 * UNUSED;
        for age in [0, 1, 2, 3] {
            clients.push(TcpStream::connect(address).await.expect("a connection"));
            let (stream, _) = listener.accept().await.expect("a connection");
            let slot = Rc::new(ConnectionSlot::new(Rc::new(stream), Duration::ZERO));
            slot.since.set(long_ago + Duration::from_millis(age));
            connections.take(&slot);
        }
        // The oldest has a request that was not read, the next one whose answer is under way.
        clients[0].writable().await.expect("open");
        clients[0].try_write(b"P").expect("written");
        let first = connections.taken.borrow()[&0].clone();
        std::future::poll_fn(|cx| first.stream.poll_read_ready(cx)).await.expect("it comes");
        connections.taken.borrow()[&1].stage.set(Stage::Answering);
        connections.free(4).await;
        assert_eq!(connections.taken.borrow().keys().copied().collect::<Vec<_>>(), [0, 1, 3]);
        clients[2].readable().await.expect("its end");
        assert_eq!(clients[2].try_read(&mut [0; 1]).expect("its end"), 0);
    });
}

#[test]
fn a_place_is_taken_from_a_connection_that_is_over_whatever_comes_on_it() {
    // Guards against clients that keep their side open, or send without end, filling the places for as long.
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    local.block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let client = TcpStream::connect(address).await.expect("a connection");
        let (stream, _) = listener.accept().await.expect("a connection");
        let (connections, slot) =
            (ConnectionTable::default(), Rc::new(ConnectionSlot::new(Rc::new(stream), Duration::ZERO)));
        connections.take(&slot);
        slot.stage.set(Stage::Answering);
        let (ended, begun) = (slot.clone(), Instant::now());
        let ending = tokio::task::spawn_local(async move { ended.end().await });
        client.writable().await.expect("open");
        client.try_write(b"more").expect("written");
        let gives_way = timeout(Duration::from_secs(20), connections.free(1));
        gives_way.await.expect("it does not wait for the client's end");
        assert!(begun.elapsed() >= UNUSED, "after the time that an answer takes");
        ending.await.expect("it ended");
        assert!(connections.taken.borrow().is_empty());
    });
}
