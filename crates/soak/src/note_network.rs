//! Forwards notes between senders over UDP and drops some of them.
//!
//! A sender identifies the writer of a note by its source address. A note that a sender broadcasts is
//! therefore received on one socket and forwarded from a separate socket for each pair of writer and reader.

use fastrand::Rng;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

/// Maximum size of a note on the platform.
const MAX_NOTE_BYTES: usize = 256;
const PER_MILLE: u32 = 1_000;
/// Time after which a thread that receives nothing checks whether the run is over.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The network between all senders of a run.
#[derive(Debug)]
pub struct NoteNetwork {
    /// Address to which each sender broadcasts its notes.
    pub to_all: Vec<SocketAddr>,
    /// Source address of each writer, by reader and writer. It includes the reader itself.
    pub peers: Vec<Vec<SocketAddr>>,
    /// How many of a thousand notes are dropped.
    lost_per_mille: Arc<AtomicU32>,
}

impl NoteNetwork {
    /// Opens the network for senders that receive notes on these addresses.
    ///
    /// # Errors
    /// No ports are available.
    pub fn new(readers: &[SocketAddr], seed: u64) -> io::Result<Self> {
        let lost_per_mille = Arc::new(AtomicU32::new(0));
        let open = || UdpSocket::bind("127.0.0.1:0");
        let outbound: Vec<Vec<UdpSocket>> =
            readers.iter().map(|_| readers.iter().map(|_| open()).collect()).collect::<io::Result<_>>()?;
        // `outbound` is by writer and reader; a sender needs its peers by reader and writer.
        let mut peers = Vec::new();
        for reader in 0..readers.len() {
            let known: io::Result<Vec<_>> =
                outbound.iter().map(|by_reader| by_reader[reader].local_addr()).collect();
            peers.push(known?);
        }
        let mut to_all = Vec::new();
        for (writer, sockets) in outbound.into_iter().enumerate() {
            let inbound = open()?;
            to_all.push(inbound.local_addr()?);
            inbound.set_read_timeout(Some(POLL_INTERVAL))?;
            let (readers, loss) = (readers.to_vec(), Arc::downgrade(&lost_per_mille));
            let random = Rng::with_seed(seed ^ writer as u64);
            thread::spawn(move || forward(writer, &inbound, &sockets, &readers, &loss, random));
        }
        Ok(Self { to_all, peers, lost_per_mille })
    }

    /// Drops this many of a thousand notes from now on.
    pub fn set_loss(&self, per_mille: u32) {
        self.lost_per_mille.store(per_mille, Ordering::Relaxed);
    }
}

/// Forwards the notes of one writer until the network is dropped.
fn forward(
    writer: usize,
    inbound: &UdpSocket,
    sockets: &[UdpSocket],
    readers: &[SocketAddr],
    loss: &Weak<AtomicU32>,
    mut random: Rng,
) {
    let mut note = [0; MAX_NOTE_BYTES + 1];
    while let Some(lost_per_mille) = loss.upgrade().map(|loss| loss.load(Ordering::Relaxed)) {
        let Ok((len, _)) = inbound.recv_from(&mut note) else { continue };
        for (reader, socket) in sockets.iter().enumerate().filter(|(reader, _)| *reader != writer) {
            if random.u32(..PER_MILLE) >= lost_per_mille {
                // If the reader is down the note is lost as well.
                let _ = socket.send_to(&note[..len], readers[reader]);
            }
        }
    }
}
