//! Clients of one sender: they keep a connection, and open another when that has ended.

use crate::book::{Book, Effect};
use crate::http::Message;
use crate::sender::Sender;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A client waits so long for an answer, and the machine may be late by the rest.
const PATIENCE: Duration = Duration::from_millis(400 + 200);
/// How much time messages have.
pub const TIME: Duration = Duration::from_secs(6);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// What became of a request.
enum Came {
    Answer(Message),
    /// The connection ended or failed before an answer.
    Ended,
    /// Nothing came in time.
    Silence,
}

/// Hands in messages at random moments until the time is over.
pub fn run(sender: &Sender, dests: usize, every: Duration, until: Instant, book: &Book, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut kept: Option<BufReader<TcpStream>> = None;
    while Instant::now() < until {
        thread::sleep(every.mul_f64(2.0 * random.f64()));
        let dest = random.usize(..dests);
        let effect = if random.bool() { Effect::Once } else { Effect::Repeatable };
        let request = |id: u64| {
            let class = if effect == Effect::Once { "payment" } else { "update" };
            format!(
                "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id:016x}\r\n\
                 X-Priority-Class: {class}\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: {}\r\n\
                 Content-Length: 5\r\nX-Envelope: dest={dest}\r\n\r\nhello",
                TIME.as_millis()
            )
        };
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        book.handed_in(id, sender.number, effect, TIME);
        if let Some(mut connection) = kept.take() {
            match ask(&mut connection, &request(id)) {
                Came::Answer(answer) => {
                    if heard(book, id, &answer) {
                        kept = Some(connection);
                    }
                    continue;
                }
                Came::Silence => continue,
                // It may have ended between two requests: this one goes once more, on a new connection.
                Came::Ended => book.handed_in_again(id),
            }
        }
        if !sender.accepts() {
            continue;
        }
        let Ok(stream) = TcpStream::connect(sender.address) else { continue };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(PATIENCE));
        let mut connection = BufReader::new(stream);
        match ask(&mut connection, &request(id)) {
            Came::Answer(answer) => {
                if heard(book, id, &answer) {
                    kept = Some(connection);
                }
            }
            Came::Ended => book.unanswered(id),
            Came::Silence => {}
        }
    }
}

/// Enters an answer. Whether its connection goes on.
fn heard(book: &Book, id: u64, answer: &Message) -> bool {
    match answer.status() {
        Some(200 | 202) => book.promised(id),
        status => book.answered(id, status.unwrap_or(0)),
    }
    !answer.closes()
}

fn ask(connection: &mut BufReader<TcpStream>, request: &str) -> Came {
    let begun = Instant::now();
    if connection.get_mut().write_all(request.as_bytes()).is_err() {
        return Came::Ended;
    }
    match Message::read(connection) {
        Some(answer) => Came::Answer(answer),
        None if begun.elapsed() >= PATIENCE => Came::Silence,
        None => Came::Ended,
    }
}
