//! A session that has handed over its store and its decisions. Its calls and its clients' connections end
//! here, and what becomes of them is reported to the successor, or to the next session of this process if the
//! successor ends first.

use crate::clients::admission::SHUTDOWN_TIMEOUT;
use crate::clients::inbound::Inbound;
use crate::decision_loop::PredecessorMessages;
use crate::handover::protocol::{AfterDisconnect, Frame, HandoverState, after_disconnect, frame_for};
use crate::handover::transport::{self, FrameChannel, WrittenFrames};
use crate::input::Input;
use crate::operators::admin::AdminServer;
use crate::platform::reports::Reports;
use crate::settings::descriptors::HeldDescriptors;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::{Instant, sleep, timeout};

/// Interval of the checks whether everything has ended.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time to write the last frames to the successor.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(200);

/// What a session starts from.
pub enum StartFrom {
    /// The store alone.
    Store,
    /// The state of a predecessor. It may be an earlier session of this process.
    Handover(Box<HandoverState>, FrameChannel),
    /// The store, after an earlier session of this process had handed over; some of its messages are still
    /// open there, and it holds these descriptors.
    StoreAfterHandover(FrameChannel, PredecessorMessages, HeldDescriptors),
}

impl StartFrom {
    /// What the predecessor holds.
    pub fn held_descriptors(&self) -> HeldDescriptors {
        match self {
            Self::Store => HeldDescriptors::default(),
            Self::Handover(state, _) => state.descriptors,
            Self::StoreAfterHandover(.., held) => *held,
        }
    }
}

/// The parts of a retired session that hold descriptors besides its clients' connections and its calls.
pub enum RetiredParts {
    /// All parts of the process, with connections of operators: another process is the owner.
    Process(Rc<AdminServer>),
    /// None: the next session of this process is the owner. It has adopted the calls, or else its policy
    /// does not count them.
    Session { are_calls_adopted: bool },
}

impl RetiredParts {
    /// Returns what the session holds at most from now on, together with its predecessor.
    pub fn held_descriptors(&self, inbound: &Inbound) -> HeldDescriptors {
        let (calls, clients) = (inbound.calls.active_calls(), inbound.connections.open_connections());
        let own = match self {
            Self::Process(admin) => {
                HeldDescriptors::of_retired_process(calls, clients, admin.open_connections())
            }
            Self::Session { .. } => HeldDescriptors { calls, others: clients },
        };
        let predecessor = inbound.descriptors.predecessor();
        let calls = own.calls + predecessor.calls;
        let others = own.others + predecessor.others;
        match self {
            Self::Session { are_calls_adopted: false } => {
                HeldDescriptors { calls: 0, others: calls + others }
            }
            _ => HeldDescriptors { calls, others },
        }
    }
}

/// A session that has handed over its store and its decisions, and still has open calls and connections.
pub struct RetiredSession {
    pub inbound: Rc<Inbound>,
    pub reports: Rc<Reports>,
    pub received: UnboundedReceiver<Input>,
    /// Frames that were sent before the successor reported that it owns the store.
    pub unconfirmed: Vec<Frame>,
    pub parts: RetiredParts,
}

impl RetiredSession {
    /// Whether nothing is open here any more, nor at this process's predecessor, whose frames pass through
    /// here.
    fn is_done(&self) -> bool {
        let calls = &self.inbound.calls;
        // A forwarded request whose client has gone is recorded by the successor, and a frame from here has
        // to withdraw it.
        let has_pending = self.inbound.successor.borrow().as_ref().is_some_and(|s| s.has_pending());
        let is_open = calls.active_calls() > 0
            || calls.attempts_in_flight() > 0
            || self.inbound.admission.open_connections.get() > 0;
        !is_open && !has_pending && !calls.has_predecessor()
    }

    /// Reports what the session holds if that has changed since it was last reported.
    fn report_descriptors(&self, reported: &mut HeldDescriptors, outgoing: &UnboundedSender<Frame>) {
        let held = self.parts.held_descriptors(&self.inbound);
        if std::mem::replace(reported, held) != held {
            let _ = outgoing.send(Frame::Descriptors(held));
        }
    }

    /// Reports to the successor how calls and requests end here. Returns what the next session of this
    /// process starts from if the successor ends first.
    pub async fn finish(
        mut self,
        terminate: &Notify,
        mut state: HandoverState,
        channel: FrameChannel,
        written: WrittenFrames,
    ) -> Option<StartFrom> {
        let FrameChannel { outgoing, mut incoming } = channel;
        let (mut is_owned, mut ending_since) = (false, None::<Instant>);
        let mut reported = state.descriptors;
        let next = loop {
            self.report_descriptors(&mut reported, &outgoing);
            if ending_since.is_some_and(|since| since.elapsed() >= SHUTDOWN_TIMEOUT)
                || (is_owned && self.is_done())
            {
                break AfterDisconnect::Exit;
            }
            tokio::select! {
                biased;
                frame = incoming.recv() => match frame {
                    Some(Frame::Owned) => {
                        is_owned = true;
                        self.unconfirmed.clear();
                    }
                    Some(frame) => self.process_frame(frame),
                    None => break after_disconnect(is_owned, ending_since.is_some()),
                },
                Some(input) = self.received.recv() => {
                    if let Some(frame) = frame_for(input) {
                        if !is_owned {
                            self.unconfirmed.push(frame.clone());
                        }
                        let _ = outgoing.send(frame);
                    }
                }
                () = terminate.notified(), if ending_since.is_none() => ending_since = Some(Instant::now()),
                () = sleep(POLL_INTERVAL) => {}
            }
        };
        if next == AfterDisconnect::Exit {
            while let Ok(input) = self.received.try_recv() {
                frame_for(input).into_iter().for_each(|frame| drop(outgoing.send(frame)));
            }
            // No more frames follow: the writer ends once all of them are written.
            self.inbound.successor.borrow_mut().take().inspect(|s| s.close());
            drop((outgoing, self));
            if let Ok(Ok(stream)) = timeout(FINAL_WRITE_TIMEOUT, written).await {
                // The connection stays open until the process exits: its end tells the successor that all
                // descriptors of this process are closed.
                std::mem::forget(stream);
            }
            return None;
        }
        let resumed_from = if next == AfterDisconnect::Resume {
            "from the state that it had sent"
        } else {
            "from what the store holds"
        };
        tracing::warn!("hand-over: the successor has ended; this process serves again {resumed_from}");
        let (near, far) = transport::channel_pair();
        self.unconfirmed.drain(..).for_each(|frame| drop(near.outgoing.send(frame)));
        let mut open = PredecessorMessages {
            attempts: state.attempts_in_flight.iter().map(|o| o.0).collect(),
            unanswered: self.inbound.unanswered.borrow().clone(),
            forwarded: BTreeSet::new(),
        };
        if let Some(successor) = &*self.inbound.successor.borrow() {
            open.forwarded = successor.pending();
            successor.redirect(near.outgoing.clone());
        }
        self.reports.stop();
        self.parts = RetiredParts::Session { are_calls_adopted: next == AfterDisconnect::Resume };
        state.descriptors = self.parts.held_descriptors(&self.inbound);
        let held = state.descriptors;
        tokio::task::spawn_local(self.report_to_next_session(near, held));
        Some(if next == AfterDisconnect::Resume {
            StartFrom::Handover(Box::new(state), far)
        } else {
            StartFrom::StoreAfterHandover(far, open, held)
        })
    }

    /// Reports to the next session of this process how calls and requests end in this one.
    async fn report_to_next_session(mut self, channel: FrameChannel, mut reported: HeldDescriptors) {
        let FrameChannel { outgoing, mut incoming } = channel;
        while !self.is_done() {
            self.report_descriptors(&mut reported, &outgoing);
            tokio::select! {
                biased;
                Some(frame) = incoming.recv() => self.process_frame(frame),
                Some(input) = self.received.recv() => {
                    frame_for(input).into_iter().for_each(|frame| drop(outgoing.send(frame)));
                }
                () = sleep(POLL_INTERVAL) => {}
            }
        }
        while let Ok(input) = self.received.try_recv() {
            frame_for(input).into_iter().for_each(|frame| drop(outgoing.send(frame)));
        }
        self.inbound.successor.borrow_mut().take();
    }

    /// Processes a frame of the owner.
    fn process_frame(&self, frame: Frame) {
        match frame {
            Frame::CancelAttempt { id, attempt } => self.inbound.calls.cancel(id, attempt),
            Frame::ForwardResponse { number, result } => {
                if let Some(successor) = &*self.inbound.successor.borrow() {
                    successor.complete(number, result);
                }
            }
            _ => {}
        }
    }
}
