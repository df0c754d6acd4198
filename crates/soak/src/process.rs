//! One process of a sender: its start, its output, its resources and its end.

use crate::observations::Observations;
use rustix::process::{Pid, Signal, kill_process};
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Time in which an operator request must be answered: one second, and the rest for delays of the machine.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A sender logs a line with this text when it finds a message that it would neither have delivered nor
/// ended.
const FORGOTTEN_MESSAGE: &str = "is open in the journal, but forgotten";

/// What is known from the output of a process so far.
#[derive(Default)]
struct OutputState {
    is_ready: AtomicBool,
    admin_address: Mutex<Option<SocketAddr>>,
}

impl OutputState {
    fn parse_line(&self, line: &str) {
        if let Some((_, address)) = line.split_once("operators at ") {
            *self.admin_address.lock().unwrap_or_else(PoisonError::into_inner) = address.trim().parse().ok();
        }
        self.is_ready.fetch_or(line.contains("listening on "), Ordering::Relaxed);
    }
}

/// A process, which is killed when this value is dropped.
pub struct Process {
    child: Child,
    output: Arc<OutputState>,
}

impl Process {
    /// Starts the process. Its output is appended to the log when it ends. A line on standard error is
    /// recorded as a crash, and one about a forgotten message as a lost message.
    ///
    /// # Errors
    /// The process cannot be started.
    pub fn start(
        mut command: Command,
        log: PathBuf,
        number: usize,
        observations: &Arc<Observations>,
    ) -> io::Result<Self> {
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()?;
        let (out, err) = (child.stdout.take(), child.stderr.take());
        let output = Arc::new(OutputState::default());
        let (reader_state, reader_observations) = (output.clone(), observations.clone());
        thread::spawn(move || {
            let mut text = String::new();
            for line in out.into_iter().flat_map(|out| BufReader::new(out).lines().map_while(Result::ok)) {
                reader_state.parse_line(&line);
                if line.contains(FORGOTTEN_MESSAGE) {
                    reader_observations.record_violation("lost", format!("sender {number}: {line}"));
                }
                text += &line;
                text.push('\n');
            }
            let log = fs::OpenOptions::new().create(true).append(true).open(log);
            let _ = log.and_then(|mut file| file.write_all(text.as_bytes()));
        });
        let observations = observations.clone();
        thread::spawn(move || {
            for line in err.into_iter().flat_map(|err| BufReader::new(err).lines().map_while(Result::ok)) {
                observations
                    .record_violation("crash", format!("sender {number} wrote to standard error: {line}"));
            }
        });
        Ok(Self { child, output })
    }

    /// Returns whether the process has reported that it is listening for clients.
    pub fn is_ready(&self) -> bool {
        self.output.is_ready.load(Ordering::Relaxed)
    }

    /// Sends a signal to the process, if it has not been waited for yet.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the exit status of the process if it has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends an operator request with this request line. Returns the status of the answer, if one is received
    /// in time.
    pub fn send_operator_request(&self, line: &str) -> Option<u16> {
        let address = (*self.output.admin_address.lock().unwrap_or_else(PoisonError::into_inner))?;
        let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        let request = format!("{line} HTTP/1.1\r\nHost: operators\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(request.as_bytes()).ok()?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).ok()?;
        std::str::from_utf8(&answer).ok()?.split(' ').nth(1)?.parse().ok()
    }

    /// Returns whether the process reports to operators that it accepts clients.
    pub fn accepts_clients(&self) -> bool {
        self.send_operator_request("GET /status") == Some(200)
    }

    /// Returns the number of descriptors that the process has open.
    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Returns the resident memory of the process in kilobytes.
    pub fn memory_kilobytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        resident.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
