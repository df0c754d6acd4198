//! Transfers frames between senders. The side that dialed sends requests, and the other side responds on the
//! same link. The meaning of frames, and which of them are accepted, is decided in `notchpoint_copies`.

use crate::io::{read_exactly, read_some, write_all};
use notchpoint_copies::{Frame, FrameError, HELLO_LEN, Hello, MAX_FRAME_LEN, Peer, read_frame, write_frame};
use notchpoint_seam::Stream;
use notchpoint_store::LogPosition;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The time-out of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(500);
/// The limit of bytes that wait to be written to a peer; beyond it the link is closed. That is enough for
/// some thousand copies of usual messages, or a dozen of the longest.
const MAX_QUEUED_BYTES: usize = 1 << 20;
/// The size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// The limit of bytes of frames that are written together.
const MAX_WRITE_BYTES: usize = 64 << 10;

/// Frames that wait to be written on one link.
#[derive(Default)]
pub struct SendQueue {
    frames: RefCell<VecDeque<(Vec<u8>, LogPosition)>>,
    bytes: Cell<usize>,
    ended: Cell<bool>,
    changed: Notify,
}

impl SendQueue {
    /// Adds a frame, which is written once the folder is durable up to `log_end`.
    pub fn push(&self, frame: &Frame, log_end: LogPosition) {
        let bytes = write_frame(frame);
        self.bytes.set(self.bytes.get() + bytes.len());
        self.frames.borrow_mut().push_back((bytes, log_end));
        if self.bytes.get() > MAX_QUEUED_BYTES {
            // The peer reads nothing, or far too slowly. What it has missed is sent on the next link.
            self.end();
        }
        self.changed.notify_one();
    }

    /// Closes the queue and drops its frames.
    pub fn end(&self) {
        self.ended.set(true);
        self.frames.borrow_mut().clear();
        self.bytes.set(0);
        self.changed.notify_one();
    }

    /// Returns the next frames as one buffer, and the position up to which the folder's log must be durable
    /// first.
    async fn next_batch(&self) -> Option<(Vec<u8>, LogPosition)> {
        while !self.ended.get() {
            if let Some(next) = self.take_batch() {
                return Some(next);
            }
            self.changed.notified().await;
        }
        None
    }

    fn take_batch(&self) -> Option<(Vec<u8>, LogPosition)> {
        let mut frames = self.frames.borrow_mut();
        let (mut all, mut log_end) = frames.pop_front()?;
        while let Some((more, _)) = frames.front()
            && all.len() + more.len() <= MAX_WRITE_BYTES
            && let Some((more, last)) = frames.pop_front()
        {
            all.extend(more);
            log_end = last;
        }
        self.bytes.set(self.bytes.get().saturating_sub(all.len()));
        Some((all, log_end))
    }
}

fn invalid_data(reason: FrameError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.0)
}

/// Sends the greeting and receives that of the peer, as the side that dialed.
///
/// # Errors
/// The handshake timed out, or the peer was rejected.
pub async fn handshake_as_dialer(stream: &dyn Stream, own: &Hello) -> io::Result<Hello> {
    let handshake = async {
        write_all(stream, &own.write()).await?;
        let bytes = read_exactly(stream, HELLO_LEN).await?;
        let bytes = bytes.first_chunk::<HELLO_LEN>().ok_or(io::ErrorKind::UnexpectedEof)?;
        let hello = Hello::read(bytes, own.installation, own.from.peer).map_err(invalid_data)?;
        if hello.from.peer != own.to {
            return Err(invalid_data(FrameError("another sender responded".into())));
        }
        Ok(hello)
    };
    timeout(HANDSHAKE_TIMEOUT, handshake).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Receives the greeting of the peer and sends this one's, as the side that accepted the connection.
///
/// # Errors
/// The handshake timed out, or the peer was rejected.
pub async fn handshake_as_acceptor(
    stream: &dyn Stream,
    greeting: impl Fn(Peer) -> Hello,
) -> io::Result<Hello> {
    let own = greeting(Peer(0));
    let handshake = async {
        let bytes = read_exactly(stream, HELLO_LEN).await?;
        let bytes = bytes.first_chunk::<HELLO_LEN>().ok_or(io::ErrorKind::UnexpectedEof)?;
        let hello = Hello::read(bytes, own.installation, own.from.peer).map_err(invalid_data)?;
        write_all(stream, &greeting(hello.from.peer).write()).await?;
        Ok(hello)
    };
    timeout(HANDSHAKE_TIMEOUT, handshake).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Transfers frames in both directions until the link ends, and returns the reason. `wait_until_durable`
/// waits until the folder is durable up to a position in its log.
pub async fn run(
    stream: Rc<dyn Stream>,
    queue: &SendQueue,
    mut on_frame: impl FnMut(Frame) -> bool,
    wait_until_durable: impl AsyncFn(&LogPosition) -> bool,
) -> io::Error {
    let reading = async {
        let (mut bytes, mut block) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
        loop {
            let n = match read_some(&*stream, &mut block).await {
                Ok(0) => return io::ErrorKind::UnexpectedEof.into(),
                Ok(n) => n,
                Err(e) => return e,
            };
            bytes.extend_from_slice(&block[..n]);
            let mut consumed = 0;
            loop {
                match read_frame(&bytes[consumed..]) {
                    Ok(Some((frame, len))) => {
                        consumed += len;
                        if !on_frame(frame) {
                            return invalid_data(FrameError(
                                "a frame that is not allowed in this direction".into(),
                            ));
                        }
                    }
                    Ok(None) => break,
                    Err(reason) => return invalid_data(reason),
                }
            }
            bytes.drain(..consumed);
            // A frame within the limit is complete by now.
            debug_assert!(bytes.len() <= MAX_FRAME_LEN + 4);
        }
    };
    let writing = async {
        loop {
            let Some((bytes, log_end)) = queue.next_batch().await else {
                return io::Error::new(io::ErrorKind::TimedOut, "the peer neither reads nor responds");
            };
            // A response confirms that something is stored, which must be durable first.
            if !wait_until_durable(&log_end).await {
                return io::Error::other("the folder is not durable");
            }
            if let Err(e) = write_all(&*stream, &bytes).await {
                return e;
            }
        }
    };
    tokio::select! {
        biased;
        e = reading => e,
        e = writing => e,
    }
}
