//! Moves the frames of a hand-over between two processes. What they mean is in `handover.rs`.

use crate::handover::protocol::{Frame, HELLO, State, greeted, hello};
use crate::io::{read_exactly, write_all};
use notchpoint_seam::{Listener, Network, Stream, net::accept};
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// The private place where a process that serves is asked to hand over.
pub const PLACE: &str = "notchpoint.handover";
/// Whoever asks says its first word within this.
const GREETING: Duration = Duration::from_millis(500);
/// The state comes within this, or the folder has to do. A process that is stopped or starved gives nothing.
const GIVING: Duration = Duration::from_secs(2);
/// A state holds no bodies; messages and attempts are some hundred bytes each.
const LONGEST: usize = 64 << 20;

/// Both directions to the other process. Where it has gone, `from` ends.
pub struct Ends {
    pub to: UnboundedSender<Frame>,
    pub from: UnboundedReceiver<Frame>,
}

/// Two ends of one way, within a process.
pub fn pair() -> (Ends, Ends) {
    let ((a, from_a), (b, from_b)) = (unbounded_channel(), unbounded_channel());
    (Ends { to: a, from: from_b }, Ends { to: b, from: from_a })
}

async fn read_hello(stream: &dyn Stream) -> io::Result<[u8; HELLO]> {
    let word = read_exactly(stream, HELLO).await?;
    word.first_chunk().copied().ok_or(ErrorKind::UnexpectedEof.into())
}

async fn read_frame(stream: &dyn Stream) -> io::Result<Frame> {
    let head = read_exactly(stream, 4).await?;
    let len = head.first_chunk().map_or(usize::MAX, |b| u32::from_le_bytes(*b) as usize);
    if len > LONGEST {
        return Err(io::Error::new(ErrorKind::InvalidData, format!("a frame of {len} bytes")));
    }
    let bytes = read_exactly(stream, len).await?;
    postcard::from_bytes(&bytes).map_err(|e| io::Error::new(ErrorKind::InvalidData, e))
}

async fn write_frame(stream: &dyn Stream, frame: &Frame) -> io::Result<()> {
    let bytes = postcard::to_allocvec(frame).map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
    let mut all = (bytes.len() as u32).to_le_bytes().to_vec();
    all.extend(bytes);
    write_all(stream, &all).await
}

/// Frames go both ways from now on, until either side ends. The task ends once all that was sent is written.
fn pump(stream: Rc<dyn Stream>) -> (Ends, JoinHandle<()>) {
    let (near, mut far) = pair();
    let (reader, to) = (stream.clone(), far.to.clone());
    let reading = tokio::task::spawn_local(async move {
        while let Ok(frame) = read_frame(&*reader).await {
            if to.send(frame).is_err() {
                return;
            }
        }
    });
    drop(far.to);
    let writing = tokio::task::spawn_local(async move {
        while let Some(frame) = far.from.recv().await {
            if write_frame(&*stream, &frame).await.is_err() {
                break;
            }
        }
        reading.abort();
    });
    (near, writing)
}

/// Waits until a process asks that may take over. Others are told why not.
pub async fn asked(listener: &dyn Listener) -> Rc<dyn Stream> {
    loop {
        let Ok(stream) = accept(listener).await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let word = async {
            let word = read_hello(&*stream).await?;
            write_all(&*stream, &hello()).await.map(|()| word)
        };
        match timeout(GREETING, word).await {
            Ok(Ok(word)) => match greeted(&word) {
                Ok(()) => return stream,
                Err(why) => tracing::warn!("hand-over: {why}; this one goes on serving"),
            },
            _ => tracing::warn!("hand-over: somebody asked and said nothing"),
        }
    }
}

/// Gives the state away.
pub fn give(stream: Rc<dyn Stream>, state: State) -> (Ends, JoinHandle<()>) {
    let (ends, written) = pump(stream);
    let _ = ends.to.send(Frame::State(Box::new(state)));
    (ends, written)
}

/// Tells who asked that nothing is given.
pub async fn refuse(stream: &dyn Stream, why: &str) {
    let _ = timeout(GREETING, write_frame(stream, &Frame::No(why.to_owned()))).await;
}

/// What a process that starts finds.
pub enum Found {
    /// Nobody serves, or nobody who speaks.
    Nobody,
    /// One that goes on serving.
    Refused(String),
    /// All that the other had.
    State(Box<State>, Ends),
}

/// Asks who serves to hand over.
pub async fn ask(net: &dyn Network) -> Found {
    let Ok(Ok(stream)) = timeout(GREETING, net.connect_local(PLACE)).await else { return Found::Nobody };
    let state = async {
        write_all(&*stream, &hello()).await?;
        greeted(&read_hello(&*stream).await?).map_err(io::Error::other)?;
        read_frame(&*stream).await
    };
    match timeout(GIVING, state).await {
        Ok(Ok(Frame::State(state))) => Found::State(state, pump(stream.clone()).0),
        Ok(Ok(Frame::No(why))) => Found::Refused(why),
        Ok(Ok(frame)) => Found::Refused(format!("{frame:?} came in place of the state")),
        Ok(Err(e)) => Found::Refused(e.to_string()),
        Err(_) => Found::Refused("no state came in time".into()),
    }
}
