//! One real process of the sender, its folder and what it is told from outside.

use crate::book::Book;
use notchpoint_faults::Faults;
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A process is ready within this.
const READY: Duration = Duration::from_secs(10);
/// After SIGTERM new connections go on coming for so long.
const COMING: Duration = Duration::from_millis(300);
/// SIGKILL comes so long after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// And the next start so long after that.
const REST: Duration = Duration::from_millis(600);
/// It is held up for this between two of its steps.
const HELD_UP: Duration = Duration::from_millis(150);
const LOOK: Duration = Duration::from_millis(5);

/// Gives a sender's configuration as it is at a start: with the list as this sender last had it.
pub type Configure = Box<dyn Fn() -> String + Send + Sync>;

/// One sender.
pub struct Sender {
    /// Its number in the book.
    pub number: usize,
    /// Where clients connect, which stays over restarts.
    pub address: SocketAddr,
    /// What makes its system calls fail.
    pub faults: Faults,
    folder: PathBuf,
    program: PathBuf,
    config: Configure,
    child: Mutex<Option<Child>>,
    accepts: AtomicBool,
    book: Arc<Book>,
}

/// Sends a signal to a process.
fn signal(child: &Child, name: &str) {
    let _ = Command::new("kill").args([name, &child.id().to_string()]).status();
}

impl Sender {
    /// Prepares a sender that clients reach at this address, with a configuration made anew for each start.
    ///
    /// # Errors
    /// Its folder cannot be made.
    pub fn new(
        number: usize,
        program: &Path,
        within: &Path,
        address: SocketAddr,
        config: Configure,
        book: &Arc<Book>,
    ) -> io::Result<Arc<Self>> {
        let folder = within.join(format!("n{number}"));
        fs::create_dir_all(folder.join("state"))?;
        Ok(Arc::new(Self {
            number,
            address,
            faults: Faults::create(&folder.join("faults"))?,
            folder,
            program: program.to_owned(),
            config,
            child: Mutex::default(),
            accepts: AtomicBool::new(false),
            book: book.clone(),
        }))
    }

    /// Whether clients may open connections to it.
    pub fn accepts(&self) -> bool {
        self.accepts.load(Ordering::Relaxed)
    }

    fn child(&self) -> std::sync::MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts its process, and waits until that is ready.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start(&self) -> io::Result<()> {
        let begun = Instant::now();
        fs::write(self.folder.join("config.json"), (self.config)())?;
        let mut command = Command::new(&self.program);
        notchpoint_faults::preload(&self.folder.join("faults"), &mut command)?;
        command
            .env("TMPDIR", &self.folder)
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .env("BALANCER_STATE", self.folder.join("state"))
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let (out, err) = (child.stdout.take(), child.stderr.take());
        let ready = Arc::new(AtomicBool::new(false));
        let (told, log) = (ready.clone(), self.folder.join("log"));
        thread::spawn(move || {
            let mut kept = String::new();
            for line in out.into_iter().flat_map(|out| BufReader::new(out).lines().map_while(Result::ok)) {
                told.fetch_or(line.contains("listening on "), Ordering::Relaxed);
                kept += &line;
                kept.push('\n');
            }
            let _ = fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(log)
                .and_then(|mut file| io::Write::write_all(&mut file, kept.as_bytes()));
        });
        let (book, number) = (self.book.clone(), self.number);
        thread::spawn(move || {
            for line in err.into_iter().flat_map(|err| BufReader::new(err).lines().map_while(Result::ok)) {
                book.broken("crash", format!("sender {number} said: {line}"));
            }
        });
        while !ready.load(Ordering::Relaxed) {
            if let Ok(Some(status)) = child.try_wait() {
                self.book.broken("start", format!("sender {number} ended at its start: {status}"));
                return Ok(());
            }
            if begun.elapsed() > READY {
                self.book.broken("start", format!("sender {number} was not ready in {READY:?}"));
                break;
            }
            thread::sleep(LOOK);
        }
        *self.child() = Some(child);
        self.book.up(self.number);
        self.accepts.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Ends it as SIGKILL does, and starts it again after a moment.
    ///
    /// # Errors
    /// It cannot be started again.
    pub fn kill_and_start(&self) -> io::Result<()> {
        self.book.down(self.number);
        self.accepts.store(false, Ordering::Relaxed);
        self.end();
        thread::sleep(REST);
        self.start()
    }

    /// Ends it as a planned restart does, and starts it again.
    ///
    /// # Errors
    /// It cannot be started again.
    pub fn restart(&self) -> io::Result<()> {
        let told = Instant::now();
        if let Some(child) = &*self.child() {
            signal(child, "-TERM");
        }
        thread::sleep(COMING);
        self.accepts.store(false, Ordering::Relaxed);
        while told.elapsed() < KILL_AFTER && !self.has_ended() {
            thread::sleep(LOOK);
        }
        self.book.down(self.number);
        self.end();
        thread::sleep(REST);
        self.start()
    }

    fn has_ended(&self) -> bool {
        let mut child = self.child();
        let Some(Ok(Some(status))) = child.as_mut().map(Child::try_wait) else { return false };
        if !status.success() {
            self.book.broken("crash", format!("sender {} ended: {status}", self.number));
        }
        true
    }

    /// Has its configuration read anew, as it is.
    pub fn reload(&self) {
        if let Some(child) = &*self.child() {
            signal(child, "-HUP");
        }
    }

    /// Looks at what its process holds.
    pub fn check_limits(&self, descriptors: usize, memory_mb: u64) {
        let Some(pid) = self.child().as_ref().map(Child::id) else { return };
        let open = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        if open > descriptors {
            self.book.broken("descriptors", format!("sender {} holds {open} descriptors", self.number));
        }
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes: u64 =
            resident.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or_default();
        if kilobytes > memory_mb * 1_024 {
            self.book.broken("memory", format!("sender {} takes {kilobytes} kB", self.number));
        }
    }

    /// Holds it up for a moment.
    pub fn hold_up(&self) {
        if let Some(child) = &*self.child() {
            signal(child, "-STOP");
            thread::sleep(HELD_UP);
            signal(child, "-CONT");
        }
    }

    /// Ends it for good.
    pub fn end(&self) {
        if let Some(mut child) = self.child().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The end of its log.
    pub fn log(&self, lines: usize) -> String {
        let text = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let all: Vec<&str> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].join("\n")
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.end();
    }
}
