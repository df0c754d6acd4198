//! Posts over real connections to a platform that the test itself implements.

use super::*;
use crate::state::journal::{OpenMessage, tests::journal};
use notchpoint_seam::system::SystemSockets;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CONFIRMED: &str = "HTTP/1.1 204 Fine\r\nContent-Length: 0\r\n\r\n";
/// How long a notice must not be confirmed by an answer that is not its own.
const QUIET: Duration = Duration::from_millis(20);

/// Reads one request, and returns its text; `None` if the connection is closed before.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    while !text.ends_with(b"}\n") {
        text.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(text).expect("text"))
}

/// Waits for as long as a notice must not be confirmed, and checks that one is still pending.
async fn assert_not_confirmed(reports: &Reports) {
    sleep_until(Instant::now() + QUIET).await;
    assert_eq!(reports.pending_count(), 1, "a copy confirms nothing");
}

/// Posts notices to a platform of the test's, which `platform` plays.
fn run_with_platform(platform: impl AsyncFnOnce(TcpListener, Rc<Reports>)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let test = async {
        let folder = tempfile::tempdir().expect("a folder");
        let journal = Rc::new(RefCell::new(journal(folder.path())));
        for id in 1..=2 {
            let open = OpenMessage::new("payment", "acme", 3, u64::MAX, Bytes::new());
            journal.borrow_mut().accept(MessageId(id), open).expect("room");
            journal.borrow_mut().record_verdict(MessageId(id), Verdict::Dead);
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let reports = Reports::new(address, Rc::new(SystemSockets::default()), journal);
        platform(listener, reports).await;
    };
    // The limit only ends a test that would otherwise wait forever.
    let limited = async { timeout(Duration::from_secs(60), test).await.expect("it ends") };
    tokio::task::LocalSet::new().block_on(&runtime, limited);
}

async fn wait_until_confirmed(reports: &Reports) {
    while reports.pending_count() > 0 {
        sleep_until(Instant::now() + Duration::from_millis(1)).await;
    }
}

#[test]
fn copy_of_an_answer_does_not_confirm_the_next_post() {
    // Guards against a message that ends without a notice: a second copy of a 204, which crossed the next
    // post, was taken for the answer to that, and the platform never took the post.
    run_with_platform(async |listener, reports| {
        reports.push(MessageId(1), Verdict::Dead);
        let (mut first, _) = listener.accept().await.expect("a connection");
        read_request(&mut first).await.expect("a post");
        first.write_all(CONFIRMED.as_bytes()).await.expect("written");
        wait_until_confirmed(&reports).await;
        reports.push(MessageId(2), Verdict::Dead);
        let posted_again = tokio::select! {
            Some(_) = read_request(&mut first) => None,
            accepted = listener.accept() => Some(accepted.expect("a connection").0),
        };
        let Some(mut second) = posted_again else {
            first.write_all(CONFIRMED.as_bytes()).await.expect("the copy is written");
            return assert_not_confirmed(&reports).await;
        };
        read_request(&mut second).await.expect("a post");
        // The first connection may be closed already.
        let _ = first.write_all(CONFIRMED.as_bytes()).await;
        assert_not_confirmed(&reports).await;
        second.write_all(CONFIRMED.as_bytes()).await.expect("written");
        wait_until_confirmed(&reports).await;
    });
}

#[test]
fn answer_that_precedes_its_post_does_not_confirm_it() {
    // Guards against a notice that is confirmed by bytes that were on its connection before it was posted.
    run_with_platform(async |listener, reports| {
        reports.push(MessageId(1), Verdict::Dead);
        let (mut first, _) = listener.accept().await.expect("a connection");
        read_request(&mut first).await.expect("a post");
        let (mut spare, _) = listener.accept().await.expect("a connection for the next post");
        spare.write_all(CONFIRMED.as_bytes()).await.expect("written");
        sleep_until(Instant::now() + QUIET).await;
        first.write_all(CONFIRMED.as_bytes()).await.expect("written");
        wait_until_confirmed(&reports).await;
        reports.push(MessageId(2), Verdict::Dead);
        let (mut second, _) = listener.accept().await.expect("another connection");
        read_request(&mut second).await.expect("a post");
        assert_not_confirmed(&reports).await;
        second.write_all(CONFIRMED.as_bytes()).await.expect("written");
        wait_until_confirmed(&reports).await;
    });
}

#[test]
fn connection_for_the_next_post_is_opened_in_advance() {
    // Guards against a notice that is late because its post waits for a new connection.
    run_with_platform(async |listener, reports| {
        reports.push(MessageId(1), Verdict::Dead);
        let (mut first, _) = listener.accept().await.expect("a connection");
        read_request(&mut first).await.expect("a post");
        let (mut spare, _) = listener.accept().await.expect("a connection for the next post");
        first.write_all(CONFIRMED.as_bytes()).await.expect("written");
        wait_until_confirmed(&reports).await;
        drop(listener);
        reports.push(MessageId(2), Verdict::Dead);
        read_request(&mut spare).await.expect("a post");
        spare.write_all(CONFIRMED.as_bytes()).await.expect("written");
        wait_until_confirmed(&reports).await;
    });
}
