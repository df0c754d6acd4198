//! A minimal HTTP/1.1 implementation for the emulated parties, over the streams of any environment.

use notchpoint_seam::Stream;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use tokio::time::Instant;

/// Maximum size of a message head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum size of a body.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Bytes that are read at once.
const READ_BLOCK_BYTES: usize = 16 << 10;

/// A connection and the bytes that were read beyond the last message.
pub struct Wire {
    stream: Rc<dyn Stream>,
    buffer: Vec<u8>,
    /// When the first byte of the current message arrived.
    first_byte_at: Option<Instant>,
}

/// A request or an answer.
#[derive(Debug, Default)]
pub struct Message {
    /// Method of a request; empty for an answer.
    pub method: String,
    /// Path of a request.
    pub path: String,
    /// Status of an answer.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, as long as `Content-Length` gives.
    pub body: Vec<u8>,
    /// When its first byte arrived.
    pub first_byte_at: Option<Instant>,
}

impl Message {
    /// Returns a header's value, or an empty text if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v.as_str())
    }

    /// Returns whether the connection closes after this message.
    pub fn closes(&self) -> bool {
        self.header("connection").eq_ignore_ascii_case("close")
    }
}

fn invalid_data(what: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what.to_owned())
}

impl Wire {
    /// Creates a connection over a stream.
    pub fn new(stream: Rc<dyn Stream>) -> Self {
        let _ = stream.set_nodelay();
        Self { stream, buffer: Vec::new(), first_byte_at: None }
    }

    /// Returns the stream.
    pub fn stream(&self) -> &Rc<dyn Stream> {
        &self.stream
    }

    /// Returns whether no unread data has arrived.
    pub fn has_no_unread_data(&self) -> bool {
        self.buffer.is_empty() && self.stream.has_no_unread_data()
    }

    /// Reads more data. Returns false at the end of the stream.
    pub async fn fill(&mut self) -> io::Result<bool> {
        let mut block = [0; READ_BLOCK_BYTES];
        loop {
            poll_fn(|cx| self.stream.poll_read_ready(cx)).await?;
            match self.stream.try_read(&mut block) {
                Ok(0) => return Ok(false),
                Ok(n) => {
                    self.first_byte_at.get_or_insert_with(Instant::now);
                    self.buffer.extend_from_slice(&block[..n]);
                    return Ok(true);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Writes all bytes.
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

    /// Returns once the peer has closed. Data received before is kept for the next message.
    pub async fn wait_closed(&mut self) {
        while self.buffer.len() <= MAX_HEAD_BYTES + MAX_BODY_BYTES && self.fill().await.unwrap_or(false) {}
    }

    /// Reads the next request. Returns None if the connection closes between two requests.
    pub async fn read_request(&mut self) -> io::Result<Option<Message>> {
        self.read_message(true).await
    }

    /// Reads the next answer.
    pub async fn read_answer(&mut self) -> io::Result<Message> {
        self.read_message(false).await?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }

    async fn read_message(&mut self, is_request: bool) -> io::Result<Option<Message>> {
        if !self.buffer.is_empty() {
            self.first_byte_at.get_or_insert_with(Instant::now);
        }
        let (mut message, head_length, body_length) = loop {
            if let Some(found) = parse_head(&self.buffer, is_request)? {
                break found;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid_data("a head without end"));
            }
            if !self.fill().await? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        };
        while self.buffer.len() < head_length + body_length {
            if !self.fill().await? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        message.first_byte_at = self.first_byte_at.take();
        message.body = self.buffer[head_length..head_length + body_length].to_vec();
        self.buffer.drain(..head_length + body_length);
        Ok(Some(message))
    }
}

/// Parses a head. Returns the message, the length of its head and that of its body, or None while the head
/// is incomplete.
fn parse_head(bytes: &[u8], is_request: bool) -> io::Result<Option<(Message, usize, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut message = Message::default();
    let bad = |e: httparse::Error| invalid_data(&e.to_string());
    let (status, found) = if is_request {
        let mut parsed = httparse::Request::new(&mut headers);
        let status = parsed.parse(bytes).map_err(bad)?;
        message.method = parsed.method.unwrap_or_default().to_owned();
        message.path = parsed.path.unwrap_or_default().to_owned();
        (status, parsed.headers)
    } else {
        let mut parsed = httparse::Response::new(&mut headers);
        let status = parsed.parse(bytes).map_err(bad)?;
        message.status = parsed.code.unwrap_or_default();
        (status, parsed.headers)
    };
    let httparse::Status::Complete(end) = status else { return Ok(None) };
    for header in found.iter() {
        message
            .headers
            .push((header.name.to_ascii_lowercase(), String::from_utf8_lossy(header.value).into_owned()));
    }
    let length = match message.header("content-length") {
        "" => 0,
        text => text.parse().ok().filter(|n| *n <= MAX_BODY_BYTES).ok_or_else(|| invalid_data("a length"))?,
    };
    Ok(Some((message, end, length)))
}
