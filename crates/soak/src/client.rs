//! Clients of one sender. Each keeps some connections open and replaces those that have ended.

use crate::http::Message;
use crate::observations::{Effect, Observations};
use crate::sender::Sender;
use fastrand::Rng;
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a client waits for an answer: 400 ms, and the rest for delays of the machine.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400 + 200);
/// Time from the submission of a message to its deadline.
pub const MESSAGE_TIME: Duration = Duration::from_secs(6);
/// Maximum number of connections that a client keeps open.
const MAX_KEPT_CONNECTIONS: usize = 3;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

type Connection = BufReader<TcpStream>;

/// Outcome of a request.
enum RequestOutcome {
    Answer(Message),
    /// The connection ended or failed before the answer.
    ConnectionEnded,
    /// No answer was received in time.
    TimedOut,
}

/// One client.
pub struct Client<'a> {
    /// The sender that it submits messages to.
    pub sender: &'a Sender,
    /// Number of destinations.
    pub destinations: usize,
    /// Records what it observes.
    pub observations: &'a Observations,
    /// Source of its random numbers.
    pub random: Rng,
}

impl Client<'_> {
    /// Submits messages at random intervals until the given time.
    pub fn run(mut self, mean_interval: Duration, until: Instant) {
        let mut connections: Vec<Connection> = Vec::new();
        while Instant::now() < until {
            thread::sleep(mean_interval.mul_f64(2.0 * self.random.f64()));
            let (id, request) = self.draw_message();
            if !connections.is_empty() && (connections.len() == MAX_KEPT_CONNECTIONS || self.random.bool()) {
                let mut connection = connections.swap_remove(self.random.usize(..connections.len()));
                match send_request(&mut connection, &request) {
                    RequestOutcome::Answer(answer) => {
                        connections.extend(self.record_answer(id, &answer).then_some(connection));
                        continue;
                    }
                    RequestOutcome::TimedOut => continue,
                    // The sender may have closed the connection between two requests, so this one is sent
                    // again on a new connection.
                    RequestOutcome::ConnectionEnded => self.observations.record_resend(id),
                }
            }
            connections.extend(self.send_on_new_connection(id, &request));
        }
    }

    /// Draws the class and destination of a message. Returns its id and its request.
    fn draw_message(&mut self) -> (u64, String) {
        let destination = self.random.usize(..self.destinations);
        let (class, effect) = match self.random.u8(..4) {
            0..=1 => ("payment", Effect::AtMostOnce),
            2 => ("keyed", Effect::Deduplicated),
            _ => ("update", Effect::Idempotent),
        };
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        self.observations.record_submission(id, self.sender.number, effect, MESSAGE_TIME);
        let request = format!(
            "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id:016x}\r\n\
             X-Priority-Class: {class}\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: {}\r\n\
             Content-Length: 5\r\nX-Envelope: dest={destination}\r\n\r\nhello",
            MESSAGE_TIME.as_millis()
        );
        (id, request)
    }

    /// Sends a request on a new connection. Returns the connection if it can be used again.
    fn send_on_new_connection(&self, id: u64, request: &str) -> Option<Connection> {
        if !self.sender.accepts_connections() {
            return None;
        }
        let stream = match TcpStream::connect(self.sender.address()) {
            Ok(stream) => stream,
            Err(error) => {
                if error.kind() == io::ErrorKind::ConnectionRefused {
                    self.observations.record_refused_connection(self.sender.number);
                }
                return None;
            }
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ANSWER_TIMEOUT));
        let mut connection = BufReader::new(stream);
        self.observations.record_send(id, MESSAGE_TIME);
        match send_request(&mut connection, request) {
            RequestOutcome::Answer(answer) => self.record_answer(id, &answer).then_some(connection),
            RequestOutcome::ConnectionEnded => {
                self.observations.record_unanswered(id);
                None
            }
            RequestOutcome::TimedOut => None,
        }
    }

    /// Records an answer. Returns whether its connection can be used again.
    fn record_answer(&self, id: u64, answer: &Message) -> bool {
        match answer.status() {
            Some(200 | 202) => {
                self.observations.record_acknowledgement(id);
                self.sender.on_acknowledgement();
            }
            status => self.observations.record_other_status(id, status.unwrap_or(0)),
        }
        !answer.closes()
    }
}

/// Writes a request and reads the answer.
fn send_request(connection: &mut Connection, request: &str) -> RequestOutcome {
    let sent_at = Instant::now();
    if connection.get_mut().write_all(request.as_bytes()).is_err() {
        return RequestOutcome::ConnectionEnded;
    }
    match Message::read(connection) {
        Some(answer) => RequestOutcome::Answer(answer),
        None if sent_at.elapsed() >= ANSWER_TIMEOUT => RequestOutcome::TimedOut,
        None => RequestOutcome::ConnectionEnded,
    }
}
