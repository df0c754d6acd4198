//! Clients that connect and rest, more than a sender has descriptors; some stop within a request.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// How many come at once.
const CROWD: usize = 300;
/// Every so many stops within a request.
const HALF: usize = 3;
/// It comes again so long after it has gone, twice.
const AGAIN: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];
/// A queue that is full answers nobody.
const PATIENCE: Duration = Duration::from_millis(50);

/// Comes, rests, goes and comes again, until the time is over.
pub fn come(address: SocketAddr, span: Duration) {
    let until = Instant::now() + span + AGAIN[0] + AGAIN[1];
    let each = span / (1 + AGAIN.len() as u32);
    for away in [Duration::ZERO].into_iter().chain(AGAIN) {
        thread::sleep(away);
        let begun = Instant::now();
        let mut inside = Vec::new();
        while inside.len() < CROWD && begun.elapsed() < each {
            let Ok(mut stream) = TcpStream::connect_timeout(&address, PATIENCE) else { continue };
            if inside.len() % HALF == 0 {
                let _ = stream.write_all(b"POST /update HTTP/1.1\r\nHost: api.internal\r\nContent-Le");
            }
            inside.push(stream);
        }
        thread::sleep(each.saturating_sub(begun.elapsed()));
        if Instant::now() >= until {
            return;
        }
    }
}
