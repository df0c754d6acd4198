//! The part of HTTP/1.1 that clients, endpoints and the list service need.

use std::collections::BTreeMap;
use std::io::BufRead;

/// A request or an answer.
#[derive(Debug)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Header values, by name in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body, of the length that `Content-Length` states.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message. Returns `None` if the connection ends or fails before its last byte.
    pub fn read(from: &mut impl BufRead) -> Option<Self> {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let mut headers = BTreeMap::new();
        loop {
            let mut text = String::new();
            from.read_line(&mut text).ok().filter(|read| *read > 0)?;
            let Some((name, value)) = text.trim_end().split_once(": ") else { break };
            headers.insert(name.to_lowercase(), value.to_owned());
        }
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        Some(Self { line: line.trim_end().to_owned(), headers, body })
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> Option<u16> {
        self.line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Returns the message id of a request with one message.
    pub fn id(&self) -> Option<u64> {
        u64::from_str_radix(self.headers.get("x-request-id")?, 16).ok()
    }

    /// Returns whether the request asks to close the connection after its answer.
    pub fn asks_to_close(&self) -> bool {
        self.headers.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Returns whether the request is a call in the form for several messages.
    pub fn is_batch(&self) -> bool {
        self.line.contains(":batch")
    }

    /// Returns the message ids of a call. Those of several messages are in the lines of its body.
    pub fn ids(&self) -> Vec<u64> {
        if !self.is_batch() {
            return self.id().into_iter().collect();
        }
        let (mut ids, mut rest) = (Vec::new(), &self.body[..]);
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&rest[..end]);
            let mut words = line.split_whitespace();
            let id = words.next().and_then(|id| u64::from_str_radix(id, 16).ok());
            let length: Option<usize> = words.nth(1).and_then(|length| length.parse().ok());
            let (Some(id), Some(length)) = (id, length) else { break };
            ids.push(id);
            // Skips the bytes of the message and the end of their line.
            rest = rest.get(end + 1 + length + 2..).unwrap_or_default();
        }
        ids
    }

    /// Returns whether an answer closes its connection.
    pub fn closes(&self) -> bool {
        self.headers.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Returns the text of an answer.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}
