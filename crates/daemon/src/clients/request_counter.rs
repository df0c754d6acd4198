//! Counts the requests on a client's connection, independently of the HTTP library. Requests that the library
//! has read and not served yet are in its buffer, and would be lost if the connection ended.
//!
//! Only boundaries are parsed: the blank line that ends a head, and the length of the body after it.
//! Malformed heads are left to the library, which refuses them and ends the connection with its answer.

const CONTENT_LENGTH: &[u8] = b"content-length:";
/// The number of bytes kept of a line of a head, which is more than a length takes.
const MAX_LINE_BYTES: usize = 64;

/// The requests that have arrived on a connection.
#[derive(Debug, Default)]
pub struct RequestCounter {
    begun: u64,
    served: u64,
    position: Position,
}

/// What the next byte belongs to.
#[derive(Debug, Default)]
enum Position {
    /// The next request.
    #[default]
    Between,
    /// A head: the current line in lower case, and the length of the body as far as it is known.
    Head { line: Vec<u8>, length: usize },
    /// A body, with the number of bytes still missing.
    Body(usize),
}

impl RequestCounter {
    /// Processes bytes that were read from the connection.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while let Some((&byte, rest)) = bytes.split_first() {
            match &mut self.position {
                // Blank lines before a request are skipped.
                Position::Between if matches!(byte, b'\r' | b'\n') => bytes = rest,
                Position::Between => {
                    self.begun += 1;
                    self.position = Position::Head { line: Vec::new(), length: 0 };
                }
                Position::Head { line, length } => {
                    bytes = rest;
                    if byte != b'\n' {
                        if line.len() < MAX_LINE_BYTES {
                            line.push(byte.to_ascii_lowercase());
                        }
                        continue;
                    }
                    let text = line.trim_ascii();
                    if text.is_empty() {
                        let length = *length;
                        self.position = if length > 0 { Position::Body(length) } else { Position::Between };
                        continue;
                    }
                    if let Some(value) = text.strip_prefix(CONTENT_LENGTH) {
                        let value =
                            std::str::from_utf8(value).ok().and_then(|value| value.trim().parse().ok());
                        *length = value.unwrap_or(0);
                    }
                    line.clear();
                }
                Position::Body(remaining) => {
                    let consumed = rest.len().min(*remaining - 1) + 1;
                    bytes = &bytes[consumed..];
                    *remaining -= consumed;
                    if *remaining == 0 {
                        self.position = Position::Between;
                    }
                }
            }
        }
    }

    /// Records that the library has passed on the next request.
    pub fn record_served(&mut self) {
        self.served += 1;
    }

    /// Whether requests that the library has not passed on were read, completely or in part.
    pub fn has_unserved(&self) -> bool {
        self.begun > self.served
    }
}

#[cfg(test)]
mod tests;
