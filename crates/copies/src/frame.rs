//! The frames that senders exchange over a link, and their decoding, which enforces limits.
//!
//! The format is that of the hand-over: a greeting with magic and version, then frames of a length and a
//! postcard body. The sender that dialed sends requests, and the other one responds on the same link.

use crate::ids::{Id, Incarnation, Instance, Key, Micros, Peer, Term, WitnessGroup};
use crate::record::{AttemptRecord, Record};
use crate::witness::Rejection;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// The version of the frames, raised with every change. Only this version is accepted.
pub const VERSION: u16 = 2;
const MAGIC: [u8; 6] = *b"NPCOPY";
/// The length of the greeting, which is the same in every version.
pub const HELLO_LEN: usize = 40;
/// The limit of a frame. A message body has 64 KiB at most, and lists have a limit of their own.
pub const MAX_FRAME_LEN: usize = 256 << 10;
/// The limit of entries of a list in one frame.
pub(crate) const MAX_LIST_LEN: usize = 512;

/// The greeting, which both sides send first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The hash of the installation's name.
    pub installation: u64,
    /// The instance that sends the greeting.
    pub from: Instance,
    /// The sender to which it is addressed.
    pub to: Peer,
}

impl Hello {
    /// Returns the hash of an installation's name.
    pub fn installation(name: &str) -> u64 {
        xxh3_64(name.as_bytes())
    }

    /// Encodes the greeting.
    pub fn write(&self) -> [u8; HELLO_LEN] {
        let mut bytes = [0; HELLO_LEN];
        bytes[..6].copy_from_slice(&MAGIC);
        bytes[6..8].copy_from_slice(&VERSION.to_le_bytes());
        let fields = [self.installation, self.from.peer.0, self.from.incarnation.0, self.to.0];
        for (n, field) in fields.into_iter().enumerate() {
            bytes[8 + 8 * n..16 + 8 * n].copy_from_slice(&field.to_le_bytes());
        }
        bytes
    }

    /// Decodes a greeting that must be addressed to `local_peer`.
    ///
    /// # Errors
    /// Returns why the connection must be rejected.
    pub fn read(bytes: &[u8; HELLO_LEN], installation: u64, local_peer: Peer) -> Result<Self, FrameError> {
        if bytes[..6] != MAGIC {
            return Err(FrameError("the peer is not a notchpoint sender".into()));
        }
        let version = u16::from_le_bytes([bytes[6], bytes[7]]);
        if version != VERSION {
            return Err(FrameError(format!(
                "the peer speaks version {version} of the copies' frames, this build {VERSION}"
            )));
        }
        let field = |n: usize| {
            let bytes = bytes[8 + 8 * n..].first_chunk();
            bytes.map_or(0, |b| u64::from_le_bytes(*b))
        };
        let from = Instance { peer: Peer(field(1)), incarnation: Incarnation(field(2)) };
        let hello = Self { installation: field(0), from, to: Peer(field(3)) };
        if hello.installation != installation {
            return Err(FrameError("the peer belongs to another installation".into()));
        }
        if hello.to != local_peer {
            return Err(FrameError("the peer addresses another sender".into()));
        }
        Ok(hello)
    }
}

/// Why received bytes are rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrameError(pub String);

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A claimed message, with the term of the claim.
pub(crate) type Claim = (Key, Term);
/// A granted message: the term of the claim, the recorded attempts, and the group to which the message may
/// have moved.
pub(crate) type Granted = (Key, Term, Vec<AttemptRecord>, Option<(Term, WitnessGroup)>);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
/// A frame. The variants up to `QueryClaims` are requests, the others are responses.
pub enum Frame {
    /// Reports that the sender is alive.
    Heartbeat { number: u64 },
    /// Registers a group with one of its witnesses, before its first message.
    RegisterGroup { group: WitnessGroup },
    /// Stores a copy of a message that the sender owns. Times in it are relative.
    StoreCopy { key: Key, term: Term, record: Box<Record> },
    /// Reports attempts, the final status and the time left of a message of which the receiver has a copy.
    Progress {
        key: Key,
        term: Term,
        attempts: Vec<AttemptRecord>,
        verdict: Option<crate::Verdict>,
        left: Micros,
    },
    /// Reports that these messages may be acknowledged to their clients.
    Acknowledged { keys: Vec<(Key, Term)> },
    /// Reports that these messages have ended.
    Ended { keys: Vec<(Key, Term)> },
    /// Reports that no sender has a copy of these messages any more.
    Forget { keys: Vec<Key> },
    /// Requests consent to an attempt. The time in it is its age.
    RequestConsent { key: Key, term: Term, attempt: AttemptRecord },
    /// Requests a record that the message moves to another group, with all attempts that the owner knows.
    RecordMove { key: Key, term: Term, to: WitnessGroup, attempts: Vec<AttemptRecord> },
    /// Claims messages whose owner is suspected to have failed. The round identifies the try.
    Claim { round: u64, claims: Vec<Claim> },
    /// Releases what was granted in that round.
    ReleaseClaims { round: u64, claims: Vec<Claim> },
    /// Reports that the sender now owns these messages of the receiver.
    TakenOver { claims: Vec<Claim> },
    /// Asks whether the receiver still owns these messages, of which the sender has copies.
    QueryOwnership { keys: Vec<Key> },
    /// Asks which messages of this group, which the sender owns, were claimed.
    QueryClaims { group: WitnessGroup },

    /// Responds to a heartbeat with the space left for copies, in KiB.
    HeartbeatResponse { number: u64, free_kib: u32 },
    /// Confirms that a group is registered.
    GroupRegistered { group: WitnessGroup },
    /// Confirms that a copy is stored.
    CopyStored { key: Key, term: Term, free_kib: u32 },
    /// Reports that a copy is not stored.
    CopyRejected { key: Key, term: Term, reason: Rejection },
    /// Confirms that these ends are recorded.
    EndsRecorded { keys: Vec<Key> },
    /// Confirms that an attempt is recorded: it may be made.
    AttemptGranted { key: Key, term: Term, number: u32 },
    /// Rejects an attempt.
    AttemptRefused { key: Key, term: Term, number: u32, reason: Rejection },
    /// Confirms that a move is recorded: no attempt is recorded in the old group any more.
    MoveRecorded { key: Key, term: Term, to: WitnessGroup },
    /// Rejects a move.
    MoveRejected { key: Key, term: Term, reason: Rejection },
    /// Grants claims.
    ClaimsGranted { round: u64, claims: Vec<Granted> },
    /// Denies claims.
    ClaimsDenied { round: u64, claims: Vec<(Key, Term, Rejection)> },
    /// Reports that the responder does not own these messages, and that nothing about them is outstanding
    /// there.
    NotOwner { keys: Vec<Key> },
    /// Reports that the responder owns these messages.
    Owner { claims: Vec<Claim> },
    /// Lists messages of a group that were claimed; `more` is set if further frames follow.
    ClaimedMessages { group: WitnessGroup, claims: Vec<(Id, Instance, Term)>, more: bool },
}

impl Frame {
    /// Returns whether the frame is a request, which only the dialing side sends.
    pub fn is_request(&self) -> bool {
        matches!(
            self,
            Self::Heartbeat { .. }
                | Self::RegisterGroup { .. }
                | Self::StoreCopy { .. }
                | Self::Progress { .. }
                | Self::Acknowledged { .. }
                | Self::Ended { .. }
                | Self::Forget { .. }
                | Self::RequestConsent { .. }
                | Self::RecordMove { .. }
                | Self::Claim { .. }
                | Self::ReleaseClaims { .. }
                | Self::TakenOver { .. }
                | Self::QueryOwnership { .. }
                | Self::QueryClaims { .. }
        )
    }

    /// Returns the number of entries of its longest list.
    fn longest_list(&self) -> usize {
        match self {
            Self::Ended { keys } | Self::Acknowledged { keys } => keys.len(),
            Self::Forget { keys }
            | Self::QueryOwnership { keys }
            | Self::EndsRecorded { keys }
            | Self::NotOwner { keys } => keys.len(),
            Self::Claim { claims, .. }
            | Self::ReleaseClaims { claims, .. }
            | Self::TakenOver { claims }
            | Self::Owner { claims } => claims.len(),
            Self::ClaimsGranted { claims, .. } => {
                claims.iter().map(|c| c.2.len()).max().unwrap_or(0).max(claims.len())
            }
            Self::ClaimsDenied { claims, .. } => claims.len(),
            Self::ClaimedMessages { claims, .. } => claims.len(),
            Self::Progress { attempts, .. } | Self::RecordMove { attempts, .. } => attempts.len(),
            Self::StoreCopy { record, .. } => record.attempts.len(),
            _ => 0,
        }
    }
}

/// Encodes a frame, preceded by its length.
pub fn write_frame(frame: &Frame) -> Vec<u8> {
    let bytes = postcard::to_allocvec(frame).unwrap_or_default();
    let mut all = (bytes.len() as u32).to_le_bytes().to_vec();
    all.extend(bytes);
    all
}

/// Decodes the first frame. Returns it with its length, including the length prefix, or `None` if it is
/// incomplete.
///
/// # Errors
/// The bytes are not a valid frame; nothing after them can be decoded.
pub fn read_frame(bytes: &[u8]) -> Result<Option<(Frame, usize)>, FrameError> {
    let Some(head) = bytes.first_chunk::<4>() else { return Ok(None) };
    let len = u32::from_le_bytes(*head) as usize;
    if len == 0 || len > MAX_FRAME_LEN {
        return Err(FrameError(format!("a frame of {len} bytes; the limit is {MAX_FRAME_LEN}")));
    }
    let Some(body) = bytes[4..].get(..len) else { return Ok(None) };
    let (frame, rest) = postcard::take_from_bytes::<Frame>(body)
        .map_err(|e| FrameError(format!("a frame that cannot be decoded: {e}")))?;
    if !rest.is_empty() {
        return Err(FrameError(format!("{} bytes after the end of a frame", rest.len())));
    }
    if frame.longest_list() > MAX_LIST_LEN {
        return Err(FrameError(format!(
            "a frame with {} entries; the limit is {MAX_LIST_LEN}",
            frame.longest_list()
        )));
    }
    Ok(Some((frame, 4 + len)))
}

/// Replaces the time of an attempt by its age, or an age by the time.
pub(crate) fn convert_age(attempt: AttemptRecord, unix: Micros) -> AttemptRecord {
    AttemptRecord { at: unix.saturating_sub(attempt.at), ..attempt }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::Epoch;
    use bytes::Bytes;

    fn hello() -> Hello {
        let from = Instance { peer: Peer::from_name("a"), incarnation: Incarnation(7) };
        Hello { installation: Hello::installation("x"), from, to: Peer::from_name("b") }
    }

    #[test]
    fn a_greeting_of_another_protocol_version_installation_or_receiver_is_rejected() {
        let (x, local_peer) = (Hello::installation("x"), Peer::from_name("b"));
        assert_eq!(Hello::read(&hello().write(), x, local_peer), Ok(hello()));
        for (byte, text) in
            [(0, "not a notchpoint"), (6, "version"), (8, "another installation"), (32, "another sender")]
        {
            let mut bytes = hello().write();
            bytes[byte] ^= 1;
            let reason = Hello::read(&bytes, x, local_peer).expect_err(text);
            assert!(reason.0.contains(text), "byte {byte}: {reason}");
        }
    }

    fn store_copy() -> Frame {
        let group = WitnessGroup { owner: hello().from, epoch: Epoch(0) };
        let attempt = AttemptRecord { number: 0, endpoint: 9, at: 5, never_ran: false };
        let record = Record {
            class: "payment".into(),
            tenant: "acme".into(),
            dest: 3,
            deadline: 1_000,
            body: Bytes::from_static(b"hello"),
            at_most_once: true,
            acknowledged: false,
            attempts: vec![attempt],
            verdict: None,
            idempotency_key: "k-1".into(),
        };
        Frame::StoreCopy { key: Key { group, id: Id(4) }, term: FIRST_TERM, record: Box::new(record) }
    }
    use crate::FIRST_TERM;

    #[test]
    fn an_incomplete_frame_is_not_decoded_and_a_corrupt_one_does_no_harm() {
        let bytes = write_frame(&store_copy());
        for cut in 0..bytes.len() {
            assert_eq!(read_frame(&bytes[..cut]), Ok(None), "cut at {cut}");
        }
        let two = [bytes.clone(), bytes.clone()].concat();
        assert_eq!(read_frame(&two), Ok(Some((store_copy(), bytes.len()))));
        for at in 0..bytes.len() {
            for bit in 0..8 {
                let mut wrong = bytes.clone();
                wrong[at] ^= 1 << bit;
                // The result does not matter: the frame is decoded or rejected.
                let _ = read_frame(&wrong);
            }
        }
    }

    #[test]
    fn a_frame_that_exceeds_a_limit_or_has_trailing_bytes_is_rejected() {
        let long = (MAX_FRAME_LEN as u32 + 1).to_le_bytes();
        assert!(read_frame(&long).is_err_and(|e| e.0.contains("the limit is")));
        assert!(read_frame(&[0, 0, 0, 0]).is_err());
        let mut more = write_frame(&Frame::Heartbeat { number: 1 });
        more.push(0);
        more[0] += 1;
        assert!(read_frame(&more).is_err_and(|e| e.0.contains("after the end of a frame")));
        let key = Key { group: WitnessGroup { owner: hello().from, epoch: Epoch(0) }, id: Id(1) };
        let many = write_frame(&Frame::QueryOwnership { keys: vec![key; MAX_LIST_LEN + 1] });
        assert!(read_frame(&many).is_err_and(|e| e.0.contains("entries")));
    }
}
