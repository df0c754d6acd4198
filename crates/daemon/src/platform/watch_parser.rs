//! Splits the stream of a watch into JSON objects, compact or indented, and empty lines.
//!
//! This module does no I/O and reads no clock.

use crate::endpoint_list::EndpointList;

/// The longest value. A longer one is not a list.
pub const MAX_VALUE_BYTES: usize = 4 << 20;

/// An item of a watch's stream.
#[derive(Debug)]
pub enum WatchItem {
    List(EndpointList),
    /// An empty line between two values. It means that nothing has changed.
    Heartbeat,
    /// Bytes that could not be parsed, with the error.
    Malformed(String),
}

/// Parses the stream of a watch incrementally.
#[derive(Default)]
pub struct WatchParser {
    /// The bytes of the incomplete value.
    pending: Vec<u8>,
    /// The number of brackets that are open in it.
    depth: usize,
    is_in_string: bool,
    is_escaped: bool,
    /// The offset of its last line.
    line_start: usize,
    /// Between values: whether the current line has other bytes than white space, and whether the rest of it
    /// is skipped.
    is_line_used: bool,
    is_line_skipped: bool,
}

impl WatchParser {
    /// Parses received bytes and adds the completed items.
    ///
    /// # Errors
    /// A value is too long.
    pub fn push(&mut self, bytes: &[u8], items: &mut Vec<WatchItem>) -> Result<(), String> {
        for &byte in bytes {
            if self.depth == 0 {
                self.push_between_values(byte, items)
            } else {
                self.push_within_value(byte, items)
            }
            if self.pending.len() > MAX_VALUE_BYTES {
                return Err(format!("a value has more than {MAX_VALUE_BYTES} bytes"));
            }
        }
        Ok(())
    }

    fn push_between_values(&mut self, byte: u8, items: &mut Vec<WatchItem>) {
        match byte {
            b'\n' => {
                if !std::mem::take(&mut self.is_line_used) {
                    items.push(WatchItem::Heartbeat);
                }
                self.is_line_skipped = false;
            }
            b' ' | b'\t' | b'\r' => {}
            b'{' if !self.is_line_skipped => {
                self.pending.push(byte);
                (self.depth, self.line_start, self.is_line_used) = (1, 0, true);
            }
            _ => {
                self.is_line_used = true;
                if !std::mem::replace(&mut self.is_line_skipped, true) {
                    items.push(WatchItem::Malformed("not a JSON object".into()));
                }
            }
        }
    }

    fn push_within_value(&mut self, byte: u8, items: &mut Vec<WatchItem>) {
        self.pending.push(byte);
        match byte {
            b'\n' => return self.end_line(items),
            _ if std::mem::take(&mut self.is_escaped) => {}
            b'\\' if self.is_in_string => self.is_escaped = true,
            b'"' => self.is_in_string = !self.is_in_string,
            _ if self.is_in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        if self.depth == 0 {
            let parsed = serde_json::from_slice(&self.pending);
            items.push(parsed.map_or_else(|e| WatchItem::Malformed(e.to_string()), WatchItem::List));
            self.pending.clear();
        }
    }

    /// Handles the end of a line within a value. If the line is a complete list, the value before it was cut
    /// off, since a list does not contain another one.
    fn end_line(&mut self, items: &mut Vec<WatchItem>) {
        // A JSON string does not continue after the end of a line.
        (self.is_in_string, self.is_escaped) = (false, false);
        let line = &self.pending[self.line_start..];
        if self.line_start > 0
            && line.starts_with(b"{")
            && let Ok(list) = serde_json::from_slice(line)
        {
            items.extend([WatchItem::Malformed("a value was cut off".into()), WatchItem::List(list)]);
            self.pending.clear();
            (self.depth, self.is_line_used) = (0, false);
            return;
        }
        self.line_start = self.pending.len();
    }
}

#[cfg(test)]
mod tests;
