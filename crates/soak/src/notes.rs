//! Carries notes between senders by UDP, and loses some.
//!
//! Each sender is known to every other under an address of its own there, so that the network can tell who
//! wrote: what a sender writes to all comes in at one socket and goes out from one for each reader.

use fastrand::Rng;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

/// The longest note that the platform carries.
const LONGEST: usize = 256;
const THOUSAND: u32 = 1_000;
/// How often it is looked whether the play is over.
const LOOK: Duration = Duration::from_millis(500);

/// The network between all senders of a play.
#[derive(Debug)]
pub struct Notes {
    /// Where each sender writes to all.
    pub to_all: Vec<SocketAddr>,
    /// By reader: the address of each writer, its own among them.
    pub peers: Vec<Vec<SocketAddr>>,
    /// How many notes of a thousand are lost.
    lost: Arc<AtomicU32>,
}

impl Notes {
    /// Opens the network for senders that read at these addresses.
    ///
    /// # Errors
    /// There are no ports.
    pub fn new(readers: &[SocketAddr], seed: u64) -> io::Result<Self> {
        let lost = Arc::new(AtomicU32::new(0));
        let open = || UdpSocket::bind("127.0.0.1:0");
        let out: Vec<Vec<UdpSocket>> =
            readers.iter().map(|_| readers.iter().map(|_| open()).collect()).collect::<io::Result<_>>()?;
        // `out` is by writer and reader; a sender needs its peers by reader and writer.
        let mut peers = Vec::new();
        for reader in 0..readers.len() {
            let known: io::Result<Vec<_>> =
                out.iter().map(|by_reader| by_reader[reader].local_addr()).collect();
            peers.push(known?);
        }
        let mut to_all = Vec::new();
        for (writer, sockets) in out.into_iter().enumerate() {
            let heard = open()?;
            to_all.push(heard.local_addr()?);
            heard.set_read_timeout(Some(LOOK))?;
            let (readers, lost) = (readers.to_vec(), Arc::downgrade(&lost));
            let random = Rng::with_seed(seed ^ writer as u64);
            thread::spawn(move || carry(writer, &heard, &sockets, &readers, &lost, random));
        }
        Ok(Self { to_all, peers, lost })
    }

    /// Loses so many notes of a thousand from now on.
    pub fn lose(&self, per_mille: u32) {
        self.lost.store(per_mille, Ordering::Relaxed);
    }
}

fn carry(
    writer: usize,
    heard: &UdpSocket,
    sockets: &[UdpSocket],
    readers: &[SocketAddr],
    lost: &Weak<AtomicU32>,
    mut random: Rng,
) {
    let mut note = [0; LONGEST + 1];
    while let Some(lost) = lost.upgrade().map(|lost| lost.load(Ordering::Relaxed)) {
        let Ok((len, _)) = heard.recv_from(&mut note) else { continue };
        for (reader, socket) in sockets.iter().enumerate().filter(|(reader, _)| *reader != writer) {
            if random.u32(..THOUSAND) >= lost {
                // Nobody may read there just now: that is a note lost as well.
                let _ = socket.send_to(&note[..len], readers[reader]);
            }
        }
    }
}
