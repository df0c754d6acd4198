//! Moves frames between senders. Who dials asks, and who was dialed answers on the same link. What frames
//! mean, and which of them are believed, is decided in `notchpoint_copies`.

use crate::io::{read_exactly, read_some, write_all};
use notchpoint_copies::{Bad, Frame, HELLO, Hello, LONGEST, Peer, read, write};
use notchpoint_seam::Stream;
use notchpoint_store::Mark;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Both sides have said who they are within this.
const GREETING: Duration = Duration::from_millis(500);
/// What waits to be written to a peer that reads nothing: then the link ends. It holds some thousand copies
/// of usual messages, or a dozen of the longest.
const QUEUE: usize = 1 << 20;
/// Read at a time.
const BLOCK: usize = 16 << 10;
/// Frames that are written together.
const TOGETHER: usize = 64 << 10;

/// What waits to be written on one link.
#[derive(Default)]
pub struct Queue {
    frames: RefCell<VecDeque<(Vec<u8>, Mark)>>,
    bytes: Cell<usize>,
    ended: Cell<bool>,
    news: Notify,
}

impl Queue {
    /// Enters a frame; it is written once the folder is safe up to the mark.
    pub fn push(&self, frame: &Frame, mark: Mark) {
        let bytes = write(frame);
        self.bytes.set(self.bytes.get() + bytes.len());
        self.frames.borrow_mut().push_back((bytes, mark));
        if self.bytes.get() > QUEUE {
            // It reads nothing, or far too slowly: what is owed to it is told on the next link.
            self.end();
        }
        self.news.notify_one();
    }

    pub fn end(&self) {
        self.ended.set(true);
        self.frames.borrow_mut().clear();
        self.bytes.set(0);
        self.news.notify_one();
    }

    /// The next frames in one piece, and up to where the folder has to be safe for them.
    async fn next(&self) -> Option<(Vec<u8>, Mark)> {
        while !self.ended.get() {
            if let Some(next) = self.take() {
                return Some(next);
            }
            self.news.notified().await;
        }
        None
    }

    fn take(&self) -> Option<(Vec<u8>, Mark)> {
        let mut frames = self.frames.borrow_mut();
        let (mut all, mut mark) = frames.pop_front()?;
        while let Some((more, _)) = frames.front()
            && all.len() + more.len() <= TOGETHER
            && let Some((more, last)) = frames.pop_front()
        {
            all.extend(more);
            mark = last;
        }
        self.bytes.set(self.bytes.get().saturating_sub(all.len()));
        Some((all, mark))
    }
}

fn bad(why: Bad) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.0)
}

/// Says who this is, and hears who answers.
///
/// # Errors
/// Nobody did in time, or somebody else.
pub async fn greet_first(stream: &dyn Stream, own: &Hello) -> io::Result<Hello> {
    let greeting = async {
        write_all(stream, &own.write()).await?;
        let word = read_exactly(stream, HELLO).await?;
        let word = word.first_chunk::<HELLO>().ok_or(io::ErrorKind::UnexpectedEof)?;
        let hello = Hello::read(word, own.installation, own.from.peer).map_err(bad)?;
        if hello.from.peer != own.to {
            return Err(bad(Bad("another sender answers there".into())));
        }
        Ok(hello)
    };
    timeout(GREETING, greeting).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Hears who dialed, and says who this is.
///
/// # Errors
/// Nothing that can be gone on with was said in time.
pub async fn greet_second(stream: &dyn Stream, own: impl Fn(Peer) -> Hello) -> io::Result<Hello> {
    let mine = own(Peer(0));
    let greeting = async {
        let word = read_exactly(stream, HELLO).await?;
        let word = word.first_chunk::<HELLO>().ok_or(io::ErrorKind::UnexpectedEof)?;
        let hello = Hello::read(word, mine.installation, mine.from.peer).map_err(bad)?;
        write_all(stream, &own(hello.from.peer).write()).await?;
        Ok(hello)
    };
    timeout(GREETING, greeting).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Moves frames both ways until the link ends, and says why it did. `safe` waits for the folder.
pub async fn run(
    stream: Rc<dyn Stream>,
    queue: &Queue,
    mut heard: impl FnMut(Frame) -> bool,
    safe: impl AsyncFn(&Mark) -> bool,
) -> io::Error {
    let reading = async {
        let (mut bytes, mut block) = (Vec::new(), vec![0; BLOCK]);
        loop {
            let n = match read_some(&*stream, &mut block).await {
                Ok(0) => return io::ErrorKind::UnexpectedEof.into(),
                Ok(n) => n,
                Err(e) => return e,
            };
            bytes.extend_from_slice(&block[..n]);
            let mut at = 0;
            loop {
                match read(&bytes[at..]) {
                    Ok(Some((frame, len))) => {
                        at += len;
                        if !heard(frame) {
                            return bad(Bad("a frame that has no place on this link".into()));
                        }
                    }
                    Ok(None) => break,
                    Err(why) => return bad(why),
                }
            }
            bytes.drain(..at);
            // A frame is whole within its bound.
            debug_assert!(bytes.len() <= LONGEST + 4);
        }
    };
    let writing = async {
        loop {
            let Some((bytes, mark)) = queue.next().await else {
                return io::Error::new(io::ErrorKind::TimedOut, "it neither reads nor answers");
            };
            // An answer says that something is kept: on whatever it is to outlast.
            if !safe(&mark).await {
                return io::Error::other("the folder is not safe");
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
