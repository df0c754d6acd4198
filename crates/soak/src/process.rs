//! One process of a sender: how it is begun, what it says, and how it ends.

use crate::book::Book;
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

/// Operators are owed an answer within a second; the machine may be late by the rest.
const ANSWER: Duration = Duration::from_millis(1_500);

/// What a process has said so far.
#[derive(Default)]
struct Said {
    ready: AtomicBool,
    operators: Mutex<Option<SocketAddr>>,
}

impl Said {
    fn hear(&self, line: &str) {
        if let Some((_, at)) = line.split_once("operators at ") {
            *self.operators.lock().unwrap_or_else(PoisonError::into_inner) = at.trim().parse().ok();
        }
        self.ready.fetch_or(line.contains("listening on "), Ordering::Relaxed);
    }
}

/// A process. It is killed when dropped.
pub struct Process {
    child: Child,
    said: Arc<Said>,
}

impl Process {
    /// Starts it. What it says goes to the end of its log; what it says on the error stream is a crash.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start(mut command: Command, log: PathBuf, number: usize, book: &Arc<Book>) -> io::Result<Self> {
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()?;
        let (out, err) = (child.stdout.take(), child.stderr.take());
        let said = Arc::new(Said::default());
        let hears = said.clone();
        thread::spawn(move || {
            let mut kept = String::new();
            for line in out.into_iter().flat_map(|out| BufReader::new(out).lines().map_while(Result::ok)) {
                hears.hear(&line);
                kept += &line;
                kept.push('\n');
            }
            let appended = fs::OpenOptions::new().create(true).append(true).open(log);
            let _ = appended.and_then(|mut file| file.write_all(kept.as_bytes()));
        });
        let book = book.clone();
        thread::spawn(move || {
            for line in err.into_iter().flat_map(|err| BufReader::new(err).lines().map_while(Result::ok)) {
                book.broken("crash", format!("sender {number} said: {line}"));
            }
        });
        Ok(Self { child, said })
    }

    /// It serves clients, as it says itself.
    pub fn is_ready(&self) -> bool {
        self.said.ready.load(Ordering::Relaxed)
    }

    /// Sends it a signal. One that has ended gets none.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Ends it as SIGKILL does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// An operator's call, by its first line: the status of the answer, if there is one in time.
    pub fn ask(&self, line: &str) -> Option<u16> {
        let address = (*self.said.operators.lock().unwrap_or_else(PoisonError::into_inner))?;
        let mut stream = TcpStream::connect_timeout(&address, ANSWER).ok()?;
        stream.set_read_timeout(Some(ANSWER)).ok()?;
        let call = format!("{line} HTTP/1.1\r\nHost: operators\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(call.as_bytes()).ok()?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).ok()?;
        std::str::from_utf8(&answer).ok()?.split(' ').nth(1)?.parse().ok()
    }

    /// It takes clients, as operators are told.
    pub fn says_yes(&self) -> bool {
        self.ask("GET /status") == Some(200)
    }

    /// Descriptors that it holds.
    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Memory that it holds, in kilobytes.
    pub fn kilobytes(&self) -> u64 {
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
