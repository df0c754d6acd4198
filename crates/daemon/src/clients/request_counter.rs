//! Counts the requests on a client's connection, beside the HTTP library: what it has read and not served yet
//! still stands in its buffer, and a connection that ends meanwhile loses it.
//!
//! Only boundaries are looked for: the blank line that ends a head, and the length of the body behind it.
//! Heads that are malformed are the library's to refuse; it ends the connection with its answer.

const LENGTH: &[u8] = b"content-length:";
/// What is kept of a line of a head: more than a length takes.
const LINE: usize = 64;

/// The requests that have come on a connection.
#[derive(Debug, Default)]
pub struct RequestCounter {
    begun: u64,
    served: u64,
    at: Place,
}

/// What the next byte belongs to.
#[derive(Debug, Default)]
enum Place {
    /// The next request.
    #[default]
    Between,
    /// A head: the line that is being read, in small letters, and the body's length as far as it was told.
    Head { line: Vec<u8>, length: usize },
    /// A body of which so many bytes are missing.
    Body(usize),
}

impl RequestCounter {
    /// These bytes have been read.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while let Some((&byte, rest)) = bytes.split_first() {
            match &mut self.at {
                // Blank lines before a request are passed over.
                Place::Between if matches!(byte, b'\r' | b'\n') => bytes = rest,
                Place::Between => {
                    self.begun += 1;
                    self.at = Place::Head { line: Vec::new(), length: 0 };
                }
                Place::Head { line, length } => {
                    bytes = rest;
                    if byte != b'\n' {
                        if line.len() < LINE {
                            line.push(byte.to_ascii_lowercase());
                        }
                        continue;
                    }
                    let text = line.trim_ascii();
                    if text.is_empty() {
                        let length = *length;
                        self.at = if length > 0 { Place::Body(length) } else { Place::Between };
                        continue;
                    }
                    if let Some(told) = text.strip_prefix(LENGTH) {
                        let told = std::str::from_utf8(told).ok().and_then(|told| told.trim().parse().ok());
                        *length = told.unwrap_or(0);
                    }
                    line.clear();
                }
                Place::Body(left) => {
                    let passed = rest.len().min(*left - 1) + 1;
                    bytes = &bytes[passed..];
                    *left -= passed;
                    if *left == 0 {
                        self.at = Place::Between;
                    }
                }
            }
        }
    }

    /// The library has handed on the next of them.
    pub fn serve(&mut self) {
        self.served += 1;
    }

    /// Some of what was read has not been handed on: whole requests, or the begin of one.
    pub fn has_unserved(&self) -> bool {
        self.begun > self.served
    }
}

#[cfg(test)]
mod tests;
