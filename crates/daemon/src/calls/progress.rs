//! What passes on a connection for the present request, counted beside hyper.

use crate::io::Observer;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What passes for the present request: how much of it has been written, and what came back.
#[derive(Default)]
pub(super) struct Progress {
    /// How much of the blank line that ends the head was seen; 4 once it was.
    head: Cell<usize>,
    body_left: Cell<usize>,
    pub(super) came: RefCell<Came>,
    /// Something came.
    pub(super) news: Notify,
}

/// What came back, read beside hyper: the first line counts also where hyper can make nothing of the rest.
#[derive(Debug, Default)]
pub(super) struct Came {
    /// When its first byte came.
    pub(super) since: Option<Instant>,
    /// It came before the request's last byte was written, so it belongs to something else.
    pub(super) early: bool,
    bytes: usize,
    line: Vec<u8>,
    status: Option<u16>,
    /// Bytes in the line of the head that is being read, its end not counted.
    column: usize,
    /// Where its body begins.
    head: Option<usize>,
}

/// `HTTP/1.1 200`, and a byte that ends the number.
const LINE: usize = 13;

impl Came {
    fn take(&mut self, byte: u8) {
        let end = byte == b'\n';
        self.bytes += 1;
        if self.head.is_some() || (self.line.is_empty() && matches!(byte, b'\r' | b'\n')) {
            return;
        }
        if self.status.is_none() && self.line.len() <= LINE {
            // Only a whole line says something: a sender that fell silent within it may not have meant this.
            if self.line.len() < LINE {
                self.line.push(byte);
            }
            if end {
                self.status = read_line(&self.line);
                self.line.resize(LINE + 1, 0);
            }
        }
        match (end, self.column) {
            (true, 0) if self.status.is_some_and(|s| (100..200).contains(&s)) => *self = Self::default(),
            (true, 0) => self.head = Some(self.bytes),
            (true, _) => self.column = 0,
            (false, _) => self.column += usize::from(byte != b'\r'),
        }
    }
}

/// The status, where a first line gives one.
fn read_line(line: &[u8]) -> Option<u16> {
    let (version, rest) = line.split_at_checked(9)?;
    let (digits, end) = rest.split_at_checked(3)?;
    let fits = version.starts_with(b"HTTP/1.") && version[7].is_ascii_digit() && version[8] == b' ';
    let fits = fits && digits.iter().all(u8::is_ascii_digit) && !end.first()?.is_ascii_digit();
    std::str::from_utf8(digits).ok()?.parse().ok().filter(|_| fits)
}

impl Progress {
    pub(super) fn expect(&self, body: usize) {
        self.head.set(0);
        self.body_left.set(body);
        self.came.take();
    }

    pub(super) fn complete(&self) -> bool {
        self.head.get() == 4 && self.body_left.get() == 0
    }

    pub(super) fn says_ok(&self) -> bool {
        let came = self.came.borrow();
        came.status == Some(200) && !came.early && self.complete()
    }

    /// More came than an answer with a body of this length has.
    pub(super) fn has_more(&self, body: u64) -> bool {
        let came = self.came.borrow();
        came.head.is_none_or(|head| (came.bytes - head) as u64 > body)
    }
}

impl Observer for Rc<Progress> {
    fn on_read(&self, bytes: &[u8]) {
        let complete = self.complete();
        let mut came = self.came.borrow_mut();
        for &byte in bytes {
            if came.since.is_none() {
                (came.since, came.early) = (Some(Instant::now()), !complete);
            }
            came.take(byte);
        }
        self.news.notify_one();
    }

    fn on_write(&self, mut bytes: &[u8]) {
        while self.head.get() < 4 {
            let Some((&b, rest)) = bytes.split_first() else { return };
            let seen = self.head.get();
            self.head.set(match (b == b"\r\n\r\n"[seen], b) {
                (true, _) => seen + 1,
                (false, b'\r') => 1,
                _ => 0,
            });
            bytes = rest;
        }
        self.body_left.set(self.body_left.get().saturating_sub(bytes.len()));
    }
}
