//! What senders say to one another over a link, and how it is read: believed within bounds.
//!
//! The form is the hand-over's: a greeting with magic and version, then frames of a length and postcard.
//! Who dialed asks; who was dialed answers, on the same link.

use crate::names::{Holder, Home, Id, Key, Micros, Peer, Reign, Term};
use crate::record::{Record, Tried};
use crate::witness::Why;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Raised with every change of the frames. The version before this one is understood; there is none yet.
pub const VERSION: u16 = 2;
const MAGIC: [u8; 6] = *b"NPCOPY";
/// The greeting's length, the same in every version.
pub const HELLO: usize = 40;
/// A body is 64 KiB at most, and lists have a bound of their own.
pub const LONGEST: usize = 256 << 10;
/// Entries of a list in one frame.
pub(crate) const MOST: usize = 512;

/// What both sides say first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Which senders belong together.
    pub installation: u64,
    /// Who speaks.
    pub from: Holder,
    /// To whom it means to speak.
    pub to: Peer,
}

impl Hello {
    /// An installation's number.
    pub fn installation(name: &str) -> u64 {
        xxh3_64(name.as_bytes())
    }

    /// Its bytes.
    pub fn write(&self) -> [u8; HELLO] {
        let mut word = [0; HELLO];
        word[..6].copy_from_slice(&MAGIC);
        word[6..8].copy_from_slice(&VERSION.to_le_bytes());
        let fields = [self.installation, self.from.peer.0, self.from.reign.0, self.to.0];
        for (n, field) in fields.into_iter().enumerate() {
            word[8 + 8 * n..16 + 8 * n].copy_from_slice(&field.to_le_bytes());
        }
        word
    }

    /// Reads a greeting to `me`.
    ///
    /// # Errors
    /// Why it is not one to go on with.
    pub fn read(word: &[u8; HELLO], installation: u64, me: Peer) -> Result<Self, Bad> {
        if word[..6] != MAGIC {
            return Err(Bad("what speaks there is no notchpoint".into()));
        }
        let version = u16::from_le_bytes([word[6], word[7]]);
        if version != VERSION {
            return Err(Bad(format!(
                "it speaks version {version} of the copies' frames, this one {VERSION}"
            )));
        }
        let field = |n: usize| {
            let bytes = word[8 + 8 * n..].first_chunk();
            bytes.map_or(0, |b| u64::from_le_bytes(*b))
        };
        let from = Holder { peer: Peer(field(1)), reign: Reign(field(2)) };
        let hello = Self { installation: field(0), from, to: Peer(field(3)) };
        if hello.installation != installation {
            return Err(Bad("it belongs to another installation".into()));
        }
        if hello.to != me {
            return Err(Bad("it means to speak to another sender".into()));
        }
        Ok(hello)
    }
}

/// Why bytes were turned down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bad(pub String);

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A message that is claimed, by which term.
pub(crate) type Claim = (Key, Term);
/// What is known of a message that is granted: its attempts, and where it may be at home by now.
pub(crate) type Granted = (Key, Term, Vec<Tried>, Option<(Term, Home)>);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
/// What is said. The first half are asked, the second half answer.
pub enum Frame {
    /// I am here.
    Beat { number: u64 },
    /// A home of mine that you are to witness for, from its first message on.
    Register { home: Home },
    /// Keep this, which I own. Times in it are what is left, or ago.
    Keep { key: Key, term: Term, record: Box<Record> },
    /// What became of attempts of a message that you keep, what was decided, and how much time is left.
    Progress { key: Key, term: Term, tried: Vec<Tried>, verdict: Option<crate::Verdict>, left: Micros },
    /// These, which you keep, are promised.
    Sure { keys: Vec<(Key, Term)> },
    /// These are over.
    Over { keys: Vec<(Key, Term)> },
    /// Nobody has a copy of these any more.
    Forget { keys: Vec<Key> },
    /// I am about to attempt this. The time in it is how long ago.
    Intend { key: Key, term: Term, tried: Tried },
    /// From now on it is at home there. These are all attempts that I know of.
    Move { key: Key, term: Term, to: Home, tried: Vec<Tried> },
    /// The owner is gone, as far as I can tell: I mean to own these. Rounds tell one try from the next.
    Claim { round: u64, claims: Vec<Claim> },
    /// I do not go on with what was granted in that round.
    Release { round: u64, claims: Vec<Claim> },
    /// I own these, which were yours.
    Taken { claims: Vec<Claim> },
    /// Do you still own these, of which I keep copies?
    Check { keys: Vec<Key> },
    /// Which messages of this home of mine were claimed?
    Return { home: Home },

    /// I am here too, and so much room is left for copies (KiB).
    Here { number: u64, room: u32 },
    /// I witness for that home.
    Registered { home: Home },
    /// It is kept.
    Kept { key: Key, term: Term, room: u32 },
    /// It is not kept.
    NotKept { key: Key, term: Term, why: Why },
    /// I have heard that these are over.
    Heard { keys: Vec<Key> },
    /// Recorded: go ahead.
    Consent { key: Key, term: Term, number: u32 },
    /// No.
    Refuse { key: Key, term: Term, number: u32, why: Why },
    /// Recorded: nothing is attempted in its old home any more.
    Moved { key: Key, term: Term, to: Home },
    /// Not recorded.
    NotMoved { key: Key, term: Term, why: Why },
    /// Granted, and this is known.
    Grant { round: u64, claims: Vec<Granted> },
    /// Not granted.
    Deny { round: u64, claims: Vec<(Key, Term, Why)> },
    /// I do not own these, and nothing is owed for them by me.
    NotMine { keys: Vec<Key> },
    /// These I own.
    Mine { claims: Vec<Claim> },
    /// These were claimed. `more` where they are not all.
    Claimed { home: Home, claims: Vec<(Id, Holder, Term)>, more: bool },
}

impl Frame {
    /// Whether it is asked by who dialed.
    pub fn asks(&self) -> bool {
        matches!(
            self,
            Self::Beat { .. }
                | Self::Register { .. }
                | Self::Keep { .. }
                | Self::Progress { .. }
                | Self::Sure { .. }
                | Self::Over { .. }
                | Self::Forget { .. }
                | Self::Intend { .. }
                | Self::Move { .. }
                | Self::Claim { .. }
                | Self::Release { .. }
                | Self::Taken { .. }
                | Self::Check { .. }
                | Self::Return { .. }
        )
    }

    /// Entries of its longest list.
    fn entries(&self) -> usize {
        match self {
            Self::Over { keys } | Self::Sure { keys } => keys.len(),
            Self::Forget { keys } | Self::Check { keys } | Self::Heard { keys } | Self::NotMine { keys } => {
                keys.len()
            }
            Self::Claim { claims, .. }
            | Self::Release { claims, .. }
            | Self::Taken { claims }
            | Self::Mine { claims } => claims.len(),
            Self::Grant { claims, .. } => {
                claims.iter().map(|c| c.2.len()).max().unwrap_or(0).max(claims.len())
            }
            Self::Deny { claims, .. } => claims.len(),
            Self::Claimed { claims, .. } => claims.len(),
            Self::Progress { tried, .. } | Self::Move { tried, .. } => tried.len(),
            Self::Keep { record, .. } => record.tried.len(),
            _ => 0,
        }
    }
}

/// A frame with its length before it.
pub fn write(frame: &Frame) -> Vec<u8> {
    let bytes = postcard::to_allocvec(frame).unwrap_or_default();
    let mut all = (bytes.len() as u32).to_le_bytes().to_vec();
    all.extend(bytes);
    all
}

/// Reads the frame at the beginning, and how long it is with its length; nothing while it is not whole.
///
/// # Errors
/// What stands there is no frame, and nothing behind it can be read.
pub fn read(bytes: &[u8]) -> Result<Option<(Frame, usize)>, Bad> {
    let Some(head) = bytes.first_chunk::<4>() else { return Ok(None) };
    let len = u32::from_le_bytes(*head) as usize;
    if len == 0 || len > LONGEST {
        return Err(Bad(format!("a frame of {len} bytes, where {LONGEST} are the most")));
    }
    let Some(body) = bytes[4..].get(..len) else { return Ok(None) };
    let (frame, rest) = postcard::take_from_bytes::<Frame>(body)
        .map_err(|e| Bad(format!("a frame that cannot be read: {e}")))?;
    if !rest.is_empty() {
        return Err(Bad(format!("{} bytes behind a frame", rest.len())));
    }
    if frame.entries() > MOST {
        return Err(Bad(format!("a frame with {} entries, where {MOST} are the most", frame.entries())));
    }
    Ok(Some((frame, 4 + len)))
}

/// How long ago, for what travels.
pub(crate) fn ago(tried: Tried, unix: Micros) -> Tried {
    Tried { at: unix.saturating_sub(tried.at), ..tried }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::names::Epoch;
    use bytes::Bytes;

    fn hello() -> Hello {
        let from = Holder { peer: Peer::named("a"), reign: Reign(7) };
        Hello { installation: Hello::installation("x"), from, to: Peer::named("b") }
    }

    #[test]
    fn a_greeting_of_a_stranger_another_version_or_installation_is_turned_down() {
        let (x, me) = (Hello::installation("x"), Peer::named("b"));
        assert_eq!(Hello::read(&hello().write(), x, me), Ok(hello()));
        for (byte, said) in
            [(0, "no notchpoint"), (6, "version"), (8, "another installation"), (32, "another sender")]
        {
            let mut word = hello().write();
            word[byte] ^= 1;
            let why = Hello::read(&word, x, me).expect_err(said);
            assert!(why.0.contains(said), "byte {byte}: {why}");
        }
    }

    fn keep() -> Frame {
        let home = Home { holder: hello().from, epoch: Epoch(0) };
        let tried = Tried { number: 0, endpoint: 9, at: 5, never_ran: false };
        let record = Record {
            class: "payment".into(),
            tenant: "acme".into(),
            dest: 3,
            deadline: 1_000,
            body: Bytes::from_static(b"hello"),
            careful: true,
            sure: false,
            tried: vec![tried],
            verdict: None,
            idempotency_key: "k-1".into(),
        };
        Frame::Keep { key: Key { home, id: Id(4) }, term: FIRST, record: Box::new(record) }
    }
    use crate::FIRST;

    #[test]
    fn a_frame_that_is_cut_waits_and_one_that_is_changed_harms_nothing() {
        let bytes = write(&keep());
        for cut in 0..bytes.len() {
            assert_eq!(read(&bytes[..cut]), Ok(None), "cut at {cut}");
        }
        let two = [bytes.clone(), bytes.clone()].concat();
        assert_eq!(read(&two), Ok(Some((keep(), bytes.len()))));
        for at in 0..bytes.len() {
            for bit in 0..8 {
                let mut wrong = bytes.clone();
                wrong[at] ^= 1 << bit;
                // Whatever it says now: it is read or turned down.
                let _ = read(&wrong);
            }
        }
    }

    #[test]
    fn what_is_too_long_or_has_more_behind_it_is_turned_down() {
        let long = (LONGEST as u32 + 1).to_le_bytes();
        assert!(read(&long).is_err_and(|e| e.0.contains("are the most")));
        assert!(read(&[0, 0, 0, 0]).is_err());
        let mut more = write(&Frame::Beat { number: 1 });
        more.push(0);
        more[0] += 1;
        assert!(read(&more).is_err_and(|e| e.0.contains("behind a frame")));
        let key = Key { home: Home { holder: hello().from, epoch: Epoch(0) }, id: Id(1) };
        let many = write(&Frame::Check { keys: vec![key; MOST + 1] });
        assert!(read(&many).is_err_and(|e| e.0.contains("entries")));
    }
}
