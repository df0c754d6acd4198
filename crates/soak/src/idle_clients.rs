//! Idle clients: more connections than a sender has descriptors. Some of them stop within a request.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Connections that are opened in each round.
const CONNECTION_COUNT: usize = 300;
/// Every n-th connection, with n this number, sends part of a request.
const PARTIAL_REQUEST_INTERVAL: usize = 3;
/// Delays after which the connections are opened again.
const RECONNECT_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];
/// Time-out of a connect. A connect to a full accept queue is not answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// Opens connections, keeps them idle, closes them and opens them again, until the time is over.
pub fn run(address: SocketAddr, duration: Duration) {
    let until = Instant::now() + duration + RECONNECT_DELAYS[0] + RECONNECT_DELAYS[1];
    let round_time = duration / (1 + RECONNECT_DELAYS.len() as u32);
    for delay in [Duration::ZERO].into_iter().chain(RECONNECT_DELAYS) {
        thread::sleep(delay);
        let started_at = Instant::now();
        let mut connections = Vec::new();
        while connections.len() < CONNECTION_COUNT && started_at.elapsed() < round_time {
            let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else { continue };
            if connections.len() % PARTIAL_REQUEST_INTERVAL == 0 {
                let _ = stream.write_all(b"POST /update HTTP/1.1\r\nHost: api.internal\r\nContent-Le");
            }
            connections.push(stream);
        }
        thread::sleep(round_time.saturating_sub(started_at.elapsed()));
        if Instant::now() >= until {
            return;
        }
    }
}
