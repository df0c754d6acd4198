//! Output of the commands.

use std::io::{self, Write};

/// Writes to standard output. A pipe that its reader has closed is not an error.
pub fn print(text: &str) -> io::Result<()> {
    match io::stdout().write_all(text.as_bytes()) {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => Err(e),
        _ => Ok(()),
    }
}
