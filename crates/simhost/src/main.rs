//! Runs senders for a simulator: reads batches of events from standard input and writes replies to standard
//! output.

mod host;
mod wire;

use std::io::{BufRead, BufReader, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(1 << 20, std::io::stdin().lock());
    let mut output = std::io::stdout().lock();
    let mut host = host::Host::default();
    let mut bytes = Vec::new();
    for number in 1u64.. {
        bytes.clear();
        let line = match input.read_until(b'\n', &mut bytes) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => std::str::from_utf8(&bytes).map_err(|e| wire::Malformed(e.to_string())),
            Err(e) => Err(wire::Malformed(e.to_string())),
        };
        let reply = line.and_then(|line| host.process_line(line.trim_end_matches(['\n', '\r'])));
        match reply {
            Ok(None) => {}
            Ok(Some(text)) => {
                if output.write_all(text.as_bytes()).and_then(|()| output.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(wire::Malformed(reason)) => {
                eprintln!("line {number}: {reason}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
