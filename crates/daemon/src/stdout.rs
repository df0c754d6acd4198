//! What commands print.

use std::io::{self, Write};

/// Standard output may be a pipe that its reader has closed, which is no failure.
pub fn print(text: &str) -> io::Result<()> {
    match io::stdout().write_all(text.as_bytes()) {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => Err(e),
        _ => Ok(()),
    }
}
