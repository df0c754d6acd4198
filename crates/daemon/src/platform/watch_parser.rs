//! Cuts what comes on a watch into JSON objects, compact or indented, and empty lines: free of I/O and clock.

use crate::endpoint_list::EndpointList;

/// A longer value is no list.
pub const MAX_VALUE_BYTES: usize = 4 << 20;

/// A piece of a watch.
#[derive(Debug)]
pub enum WatchItem {
    List(EndpointList),
    /// An empty line between two values: nothing has changed.
    Heartbeat,
    /// What can be made nothing of, and why.
    Spoilt(String),
}

#[derive(Default)]
pub struct WatchParser {
    /// The value that has begun.
    pending: Vec<u8>,
    /// Brackets that are open in it.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// Where its last line begins.
    line: usize,
    /// Between values: something stood on this line already, and whether it is passed over.
    used: bool,
    skips: bool,
}

impl WatchParser {
    /// Takes what has come.
    ///
    /// # Errors
    /// A value is too long.
    pub fn push(&mut self, bytes: &[u8], pieces: &mut Vec<WatchItem>) -> Result<(), String> {
        for &byte in bytes {
            if self.depth == 0 {
                self.between(byte, pieces)
            } else {
                self.within(byte, pieces)
            }
            if self.pending.len() > MAX_VALUE_BYTES {
                return Err(format!("a value of over {MAX_VALUE_BYTES} bytes"));
            }
        }
        Ok(())
    }

    fn between(&mut self, byte: u8, pieces: &mut Vec<WatchItem>) {
        match byte {
            b'\n' => {
                if !std::mem::take(&mut self.used) {
                    pieces.push(WatchItem::Heartbeat);
                }
                self.skips = false;
            }
            b' ' | b'\t' | b'\r' => {}
            b'{' if !self.skips => {
                self.pending.push(byte);
                (self.depth, self.line, self.used) = (1, 0, true);
            }
            _ => {
                self.used = true;
                if !std::mem::replace(&mut self.skips, true) {
                    pieces.push(WatchItem::Spoilt("something that is no object".into()));
                }
            }
        }
    }

    fn within(&mut self, byte: u8, pieces: &mut Vec<WatchItem>) {
        self.pending.push(byte);
        match byte {
            b'\n' => return self.end_line(pieces),
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        if self.depth == 0 {
            let read = serde_json::from_slice(&self.pending);
            pieces.push(read.map_or_else(|e| WatchItem::Spoilt(e.to_string()), WatchItem::List));
            self.pending.clear();
        }
    }

    /// A line that is a whole list by itself shows that the value before it was cut: no list holds another.
    fn end_line(&mut self, pieces: &mut Vec<WatchItem>) {
        // No string goes on over the end of a line.
        (self.in_string, self.escaped) = (false, false);
        let line = &self.pending[self.line..];
        if self.line > 0
            && line.starts_with(b"{")
            && let Ok(list) = serde_json::from_slice(line)
        {
            pieces.extend([WatchItem::Spoilt("a value that was cut".into()), WatchItem::List(list)]);
            self.pending.clear();
            (self.depth, self.used) = (0, false);
            return;
        }
        self.line = self.pending.len();
    }
}

#[cfg(test)]
mod tests;
