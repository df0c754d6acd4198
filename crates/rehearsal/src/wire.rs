//! HTTP/1.1 as the world beside the senders speaks it, on any world's streams.

use notchpoint_seam::Stream;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use tokio::time::Instant;

/// A head is shorter than this, or no head.
const HEAD: usize = 16 << 10;
/// Bodies are shorter than this.
const BODY: usize = 8 << 20;
const BLOCK: usize = 16 << 10;

/// A connection, and what was read of it beyond the last message.
pub struct Wire {
    stream: Rc<dyn Stream>,
    buffer: Vec<u8>,
    /// When the first byte of what is being read came.
    first: Option<Instant>,
}

/// A head and its body.
#[derive(Debug, Default)]
pub struct Message {
    /// Of a request; empty of an answer.
    pub method: String,
    /// Of a request.
    pub path: String,
    /// Of an answer.
    pub status: u16,
    /// Names in small letters.
    pub headers: Vec<(String, String)>,
    /// What its length says.
    pub body: Vec<u8>,
    /// When its first byte came.
    pub first: Option<Instant>,
}

impl Message {
    /// A header's value, or nothing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v.as_str())
    }

    /// Whether the connection ends after it.
    pub fn closes(&self) -> bool {
        self.header("connection").eq_ignore_ascii_case("close")
    }
}

fn spoilt(what: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what.to_owned())
}

impl Wire {
    /// Speaks on this stream.
    pub fn new(stream: Rc<dyn Stream>) -> Self {
        let _ = stream.set_nodelay();
        Self { stream, buffer: Vec::new(), first: None }
    }

    /// The stream.
    pub fn stream(&self) -> &Rc<dyn Stream> {
        &self.stream
    }

    /// Nothing has come that was not read.
    pub fn is_quiet(&self) -> bool {
        self.buffer.is_empty() && self.stream.has_no_unread_data()
    }

    /// Reads more; false at the end.
    pub async fn fill(&mut self) -> io::Result<bool> {
        let mut block = [0; BLOCK];
        loop {
            poll_fn(|cx| self.stream.poll_read_ready(cx)).await?;
            match self.stream.try_read(&mut block) {
                Ok(0) => return Ok(false),
                Ok(n) => {
                    self.first.get_or_insert_with(Instant::now);
                    self.buffer.extend_from_slice(&block[..n]);
                    return Ok(true);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Writes all of it.
    pub async fn write(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.stream.try_write(bytes) {
                Ok(n) => bytes = &bytes[n..],
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    poll_fn(|cx| self.stream.poll_write_ready(cx)).await?;
                }
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Returns once the other side has ended. What it says before is kept for the next message.
    pub async fn ended(&mut self) {
        while self.buffer.len() <= HEAD + BODY && self.fill().await.unwrap_or(false) {}
    }

    /// The next request; nothing where the connection ends between two.
    pub async fn request(&mut self) -> io::Result<Option<Message>> {
        self.message(true).await
    }

    /// The next answer.
    pub async fn answer(&mut self) -> io::Result<Message> {
        self.message(false).await?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }

    async fn message(&mut self, request: bool) -> io::Result<Option<Message>> {
        if !self.buffer.is_empty() {
            self.first.get_or_insert_with(Instant::now);
        }
        let (mut message, head, length) = loop {
            if let Some(found) = head(&self.buffer, request)? {
                break found;
            }
            if self.buffer.len() > HEAD {
                return Err(spoilt("a head without end"));
            }
            if !self.fill().await? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        };
        while self.buffer.len() < head + length {
            if !self.fill().await? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        message.first = self.first.take();
        message.body = self.buffer[head..head + length].to_vec();
        self.buffer.drain(..head + length);
        Ok(Some(message))
    }
}

/// A head, its length and its body's; nothing while it is not whole.
fn head(bytes: &[u8], request: bool) -> io::Result<Option<(Message, usize, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut m = Message::default();
    let bad = |e: httparse::Error| spoilt(&e.to_string());
    let (status, found) = if request {
        let mut r = httparse::Request::new(&mut headers);
        let status = r.parse(bytes).map_err(bad)?;
        m.method = r.method.unwrap_or_default().to_owned();
        m.path = r.path.unwrap_or_default().to_owned();
        (status, r.headers)
    } else {
        let mut r = httparse::Response::new(&mut headers);
        let status = r.parse(bytes).map_err(bad)?;
        m.status = r.code.unwrap_or_default();
        (status, r.headers)
    };
    let httparse::Status::Complete(end) = status else { return Ok(None) };
    for h in found.iter() {
        m.headers.push((h.name.to_ascii_lowercase(), String::from_utf8_lossy(h.value).into_owned()));
    }
    let length = match m.header("content-length") {
        "" => 0,
        text => text.parse().ok().filter(|n| *n <= BODY).ok_or_else(|| spoilt("a length"))?,
    };
    Ok(Some((m, end, length)))
}
