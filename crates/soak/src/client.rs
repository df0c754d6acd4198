//! Clients of one sender: they keep some connections, and open others when those have ended.

use crate::book::{Book, Effect};
use crate::http::Message;
use crate::sender::Sender;
use fastrand::Rng;
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A client waits so long for an answer, and the machine may be late by the rest.
const PATIENCE: Duration = Duration::from_millis(400 + 200);
/// How much time messages have.
pub const TIME: Duration = Duration::from_secs(6);
/// Connections that a client keeps.
const CONNECTIONS: usize = 3;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

type Connection = BufReader<TcpStream>;

/// What became of a request.
enum Came {
    Answer(Message),
    /// The connection ended or failed before an answer.
    Ended,
    /// Nothing came in time.
    Silence,
}

/// One client.
pub struct Client<'a> {
    /// Whose client it is.
    pub sender: &'a Sender,
    /// Destinations that there are.
    pub dests: usize,
    /// Where it enters what it sees.
    pub book: &'a Book,
    /// What it draws from.
    pub random: Rng,
}

impl Client<'_> {
    /// Hands in messages at random moments until the time is over.
    pub fn run(mut self, every: Duration, until: Instant) {
        let mut kept: Vec<Connection> = Vec::new();
        while Instant::now() < until {
            thread::sleep(every.mul_f64(2.0 * self.random.f64()));
            let (id, request) = self.message();
            if !kept.is_empty() && (kept.len() == CONNECTIONS || self.random.bool()) {
                let mut connection = kept.swap_remove(self.random.usize(..kept.len()));
                match ask(&mut connection, &request) {
                    Came::Answer(answer) => {
                        kept.extend(self.heard(id, &answer).then_some(connection));
                        continue;
                    }
                    Came::Silence => continue,
                    // It may have ended between two requests: this one goes once more, on a new connection.
                    Came::Ended => self.book.handed_in_again(id),
                }
            }
            kept.extend(self.on_a_new_connection(id, &request));
        }
    }

    /// A message of any class and destination: its id and request.
    fn message(&mut self) -> (u64, String) {
        let dest = self.random.usize(..self.dests);
        let (class, effect) = match self.random.u8(..4) {
            0..=1 => ("payment", Effect::Once),
            2 => ("keyed", Effect::Keyed),
            _ => ("update", Effect::Repeatable),
        };
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        self.book.handed_in(id, self.sender.number, effect, TIME);
        let request = format!(
            "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id:016x}\r\n\
             X-Priority-Class: {class}\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: {}\r\n\
             Content-Length: 5\r\nX-Envelope: dest={dest}\r\n\r\nhello",
            TIME.as_millis()
        );
        (id, request)
    }

    /// Gives the connection if it goes on.
    fn on_a_new_connection(&self, id: u64, request: &str) -> Option<Connection> {
        if !self.sender.accepts() {
            return None;
        }
        let stream = match TcpStream::connect(self.sender.address()) {
            Ok(stream) => stream,
            Err(why) => {
                if why.kind() == io::ErrorKind::ConnectionRefused {
                    self.book.turned_away(self.sender.number);
                }
                return None;
            }
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(PATIENCE));
        let mut connection = BufReader::new(stream);
        self.book.sent(id, TIME);
        match ask(&mut connection, request) {
            Came::Answer(answer) => self.heard(id, &answer).then_some(connection),
            Came::Ended => {
                self.book.unanswered(id);
                None
            }
            Came::Silence => None,
        }
    }

    /// Enters an answer. Whether its connection goes on.
    fn heard(&self, id: u64, answer: &Message) -> bool {
        match answer.status() {
            Some(200 | 202) => {
                self.book.promised(id);
                self.sender.has_promised();
            }
            status => self.book.answered(id, status.unwrap_or(0)),
        }
        !answer.closes()
    }
}

fn ask(connection: &mut Connection, request: &str) -> Came {
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
