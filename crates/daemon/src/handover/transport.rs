//! Moves the frames of a hand-over between two processes. `protocol.rs` defines what they mean.

use crate::handover::protocol::{Frame, HELLO_BYTES, HandoverState, check_hello, hello};
use crate::io::{read_exactly, write_all};
use notchpoint_seam::{Listener, Network, Stream, net::accept};
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Name of the local socket on which the serving process accepts requests for a hand-over.
pub const SOCKET_NAME: &str = "notchpoint.handover";
/// The time in which a process that connects has to send its greeting.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// The time in which the state has to arrive; after it, the successor starts from the store. A predecessor
/// that is stopped or starved of CPU sends nothing.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);
/// The state holds no bodies; each message and attempt takes some hundred bytes.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Both directions of the connection to the other process. `incoming` ends once that process has ended.
pub struct FrameChannel {
    pub outgoing: UnboundedSender<Frame>,
    pub incoming: UnboundedReceiver<Frame>,
}

/// The task that writes the frames. It ends once all that was sent is written.
pub type WrittenFrames = JoinHandle<Rc<dyn Stream>>;

/// Returns both ends of a frame channel within this process.
pub fn channel_pair() -> (FrameChannel, FrameChannel) {
    let ((a, from_a), (b, from_b)) = (unbounded_channel(), unbounded_channel());
    (FrameChannel { outgoing: a, incoming: from_b }, FrameChannel { outgoing: b, incoming: from_a })
}

async fn read_hello(stream: &dyn Stream) -> io::Result<[u8; HELLO_BYTES]> {
    let greeting = read_exactly(stream, HELLO_BYTES).await?;
    greeting.first_chunk().copied().ok_or(ErrorKind::UnexpectedEof.into())
}

async fn read_frame(stream: &dyn Stream) -> io::Result<Frame> {
    let head = read_exactly(stream, 4).await?;
    let len = head.first_chunk().map_or(usize::MAX, |b| u32::from_le_bytes(*b) as usize);
    if len > MAX_FRAME_BYTES {
        return Err(io::Error::new(ErrorKind::InvalidData, format!("a frame of {len} bytes is too long")));
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

/// Moves frames in both directions until either side ends. The returned task ends once all that was sent is
/// written, and returns the connection.
fn pump(stream: Rc<dyn Stream>) -> (FrameChannel, WrittenFrames) {
    let (near, mut far) = channel_pair();
    let (reader, received) = (stream.clone(), far.outgoing.clone());
    let reading = tokio::task::spawn_local(async move {
        while let Ok(frame) = read_frame(&*reader).await {
            if received.send(frame).is_err() {
                return;
            }
        }
    });
    drop(far.outgoing);
    let writing = tokio::task::spawn_local(async move {
        while let Some(frame) = far.incoming.recv().await {
            if write_frame(&*stream, &frame).await.is_err() {
                break;
            }
        }
        reading.abort();
        stream
    });
    (near, writing)
}

/// Waits until a compatible process asks to take over. Incompatible ones receive this build's greeting, from
/// which they see the reason, and nothing more.
pub async fn accept_request(listener: &dyn Listener) -> Rc<dyn Stream> {
    loop {
        let Ok(stream) = accept(listener).await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let greeting = async {
            let greeting = read_hello(&*stream).await?;
            write_all(&*stream, &hello()).await.map(|()| greeting)
        };
        match timeout(HELLO_TIMEOUT, greeting).await {
            Ok(Ok(greeting)) => match check_hello(&greeting) {
                Ok(()) => return stream,
                Err(why) => tracing::warn!("hand-over: {why}; this process goes on serving"),
            },
            _ => tracing::warn!("hand-over: a process connected and sent no greeting in time"),
        }
    }
}

/// Sends the state to the successor.
pub fn send_state(stream: Rc<dyn Stream>, state: HandoverState) -> (FrameChannel, WrittenFrames) {
    let (channel, written) = pump(stream);
    let _ = channel.outgoing.send(Frame::State(Box::new(state)));
    (channel, written)
}

/// Tells the process that asked that the hand-over is refused.
pub async fn send_refusal(stream: &dyn Stream, why: &str) {
    let _ = timeout(HELLO_TIMEOUT, write_frame(stream, &Frame::Refused(why.to_owned()))).await;
}

/// The reply to the request for a hand-over that a starting process makes.
pub enum HandoverReply {
    /// No process serves, or none accepts the connection.
    NoPredecessor,
    /// The predecessor goes on serving, or the hand-over failed.
    Refused(String),
    /// The predecessor's whole state.
    State(Box<HandoverState>, FrameChannel),
}

/// Asks the process that serves to hand over.
pub async fn request_handover(net: &dyn Network) -> HandoverReply {
    let Ok(Ok(stream)) = timeout(HELLO_TIMEOUT, net.connect_local(SOCKET_NAME)).await else {
        return HandoverReply::NoPredecessor;
    };
    let state = async {
        write_all(&*stream, &hello()).await?;
        check_hello(&read_hello(&*stream).await?).map_err(io::Error::other)?;
        read_frame(&*stream).await
    };
    match timeout(STATE_TIMEOUT, state).await {
        Ok(Ok(Frame::State(state))) => HandoverReply::State(state, pump(stream.clone()).0),
        Ok(Ok(Frame::Refused(why))) => HandoverReply::Refused(why),
        Ok(Ok(frame)) => HandoverReply::Refused(format!("received frame {frame:?} in place of the state")),
        Ok(Err(e)) => HandoverReply::Refused(e.to_string()),
        Err(_) => HandoverReply::Refused("no state arrived in time".into()),
    }
}
