//! Wrappers of a daemon's environment that disable one safeguard each, without changing the daemon: they
//! falsify the input that the safeguard relies on.

use notchpoint_rehearsal::hosts::EnvironmentWrapper;
use notchpoint_seam::net::ConnectFuture;
use notchpoint_seam::{DatagramSocket, Disk, Environment, File, Listener, Network, Stream};
use notchpoint_store::format::{Header, Record, checksum_seed, read_frame, records};
use notchpoint_store::{Batch, Table};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// A fault of the connections to an address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StreamFault {
    /// Replaces the first bytes by the second, of the same length, in everything that is read.
    ReplaceRead(&'static [u8], &'static [u8]),
    /// Sends each n-th request, but reports a write error.
    WrittenButFailed(usize),
    /// Does not send each n-th report, and answers it with 204.
    DropReport(usize),
    /// Never accepts a write, but always wakes the writer at once.
    NeverWritable,
}

/// Prefix of the addresses whose connections are affected.
pub type AddressPrefix = &'static str;

/// Applies faults to the connections to addresses that start with `to`.
pub fn sockets(to: AddressPrefix, faults: &'static [StreamFault]) -> EnvironmentWrapper {
    let count = Rc::new(Cell::new(0));
    Rc::new(move |_, environment: Environment| {
        let net = Rc::new(FaultyNetwork { inner: environment.net.clone(), to, faults, count: count.clone() });
        Environment { net, ..environment }
    })
}

/// Changes the configuration that the daemon reads.
pub fn config(change: impl Fn(&mut serde_json::Value) + 'static) -> EnvironmentWrapper {
    let change = Rc::new(change);
    Rc::new(move |_, environment: Environment| {
        let (source, change) = (environment.config, change.clone());
        let config = Box::new(move || {
            let mut config_value: serde_json::Value = serde_json::from_str(&source()?)?;
            change(&mut config_value);
            Ok(config_value.to_string())
        });
        Environment { config, ..environment }
    })
}

/// Drops records of these kinds, but reports them as written.
pub fn drop_records(kinds: &'static [u8]) -> EnvironmentWrapper {
    Rc::new(move |_, environment: Environment| Environment {
        disk: Rc::new(RecordDroppingDisk(environment.disk.clone(), kinds)),
        ..environment
    })
}

/// Empties the folder of a sender at each start after its first.
pub fn empty_folder_on_restart() -> EnvironmentWrapper {
    let starts = RefCell::new(BTreeMap::<usize, u32>::new());
    Rc::new(move |sender, environment: Environment| {
        let mut starts = starts.borrow_mut();
        let start_count = starts.entry(sender).or_default();
        *start_count += 1;
        if *start_count > 1 {
            let files = environment.disk.list_files().expect("a folder");
            files.iter().for_each(|(name, _)| environment.disk.remove(name).expect("removed"));
        }
        environment
    })
}

/// A disk that writes records of these kinds to an unknown table.
struct RecordDroppingDisk(Rc<dyn Disk>, &'static [u8]);

/// The table of message records, and one that the daemon does not know.
const MESSAGE_TABLE: u8 = 1;
const UNKNOWN_TABLE: u8 = 9;

impl Disk for RecordDroppingDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.0.read(name)
    }

    fn read_at(&self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.0.read_at(name, offset, len)
    }

    fn list_files(&self) -> io::Result<Vec<(String, u64)>> {
        self.0.list_files()
    }

    fn append(&self, name: &str) -> io::Result<Box<dyn File>> {
        // The header of a segment that an earlier process started is already in the file.
        let header = self.0.read(name)?.and_then(|bytes| Header::decode(&bytes).ok());
        Ok(Box::new(RecordDroppingFile(self.0.append(name)?, self.1, header)))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.0.sync_directory()
    }

    fn lock(&self) -> io::Result<Box<dyn Any>> {
        self.0.lock()
    }
}

/// A file of [`RecordDroppingDisk`]: the file itself, the kinds of records to drop, and the header of the
/// segment, once it is written.
struct RecordDroppingFile(Box<dyn File>, &'static [u8], Option<Header>);

impl RecordDroppingFile {
    /// Returns the frames with the records to drop moved to the unknown table.
    fn drop_from_frames(&self, mut bytes: &[u8], seed: u32) -> Vec<u8> {
        let mut all = Vec::new();
        while let Ok(frame) = read_frame(bytes, seed) {
            let mut batch = Batch::default();
            let mut is_dropped = false;
            for record in records(frame.payload).flatten() {
                if let Record::Put { table: Table(MESSAGE_TABLE), key, value, .. } = record
                    && key.get(8).is_some_and(|kind| self.1.contains(kind))
                {
                    batch.put(Table(UNKNOWN_TABLE), key, value);
                    is_dropped = true;
                }
            }
            // The daemon writes records of these kinds one per frame.
            let own = &bytes[..frame.len()];
            all.extend(if is_dropped {
                batch.frame(seed, frame.seq, frame.durable_len)
            } else {
                own.to_vec()
            });
            bytes = &bytes[frame.len()..];
        }
        all.extend(bytes);
        all
    }
}

impl File for RecordDroppingFile {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some(header) = self.2 else {
            self.2 = Header::decode(bytes).ok();
            return self.0.write_all(bytes);
        };
        self.0.write_all(&self.drop_from_frames(bytes, checksum_seed(header.store_id, header.number)))
    }

    fn set_len(&mut self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }

    fn sync(&self) -> io::Result<()> {
        self.0.sync()
    }
}

struct FaultyNetwork {
    inner: Rc<dyn Network>,
    to: AddressPrefix,
    faults: &'static [StreamFault],
    count: Rc<Cell<usize>>,
}

impl Network for FaultyNetwork {
    fn connect(&self, to: SocketAddr) -> ConnectFuture {
        let connecting = self.inner.connect(to);
        if !to.to_string().starts_with(self.to) {
            return connecting;
        }
        let (faults, count) = (self.faults, self.count.clone());
        Box::pin(async move {
            let (forged_answer, waker, dead) = Default::default();
            Ok(Rc::new(FaultyStream { inner: connecting.await?, faults, count, forged_answer, waker, dead })
                as Rc<dyn Stream>)
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Rc<dyn Listener>> {
        self.inner.listen(at)
    }

    fn listen_local(&self, name: &str) -> io::Result<Rc<dyn Listener>> {
        self.inner.listen_local(name)
    }

    fn connect_local(&self, name: &str) -> ConnectFuture {
        self.inner.connect_local(name)
    }

    fn bind_datagram(&self, at: SocketAddr) -> io::Result<Rc<dyn DatagramSocket>> {
        self.inner.bind_datagram(at)
    }
}

struct FaultyStream {
    inner: Rc<dyn Stream>,
    faults: &'static [StreamFault],
    count: Rc<Cell<usize>>,
    forged_answer: RefCell<Vec<u8>>,
    waker: RefCell<Option<Waker>>,
    dead: Cell<bool>,
}

impl Stream for FaultyStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.forged_answer.borrow().is_empty() || self.dead.get() {
            return Poll::Ready(Ok(()));
        }
        *self.waker.borrow_mut() = Some(cx.waker().clone());
        self.inner.poll_read_ready(cx)
    }

    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        if self.dead.get() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let mut forged_answer = self.forged_answer.borrow_mut();
        if !forged_answer.is_empty() {
            let length = forged_answer.len().min(buf.len());
            buf[..length].copy_from_slice(&forged_answer[..length]);
            forged_answer.drain(..length);
            return Ok(length);
        }
        let length = self.inner.try_read(buf)?;
        for fault in self.faults {
            if let StreamFault::ReplaceRead(from, to) = fault {
                assert_eq!(from.len(), to.len());
                let positions: Vec<usize> = (0..length.saturating_sub(from.len() - 1))
                    .filter(|&i| buf[i..length].starts_with(from))
                    .collect();
                positions.into_iter().for_each(|i| buf[i..i + to.len()].copy_from_slice(to));
            }
        }
        Ok(length)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.faults.contains(&StreamFault::NeverWritable) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.inner.poll_write_ready(cx)
    }

    fn try_write(&self, buf: &[u8]) -> io::Result<usize> {
        for fault in self.faults {
            let count = self.count.get() + 1;
            match fault {
                StreamFault::WrittenButFailed(each) => {
                    self.count.set(count);
                    if count.is_multiple_of(*each) {
                        self.inner.try_write(buf)?;
                        self.dead.set(true);
                        return Err(io::ErrorKind::BrokenPipe.into());
                    }
                }
                StreamFault::DropReport(each) if buf.starts_with(b"POST /reports") => {
                    self.count.set(count);
                    if count.is_multiple_of(*each) {
                        *self.forged_answer.borrow_mut() =
                            b"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n".to_vec();
                        if let Some(waker) = self.waker.take() {
                            waker.wake();
                        }
                        return Ok(buf.len());
                    }
                }
                StreamFault::NeverWritable => return Err(io::ErrorKind::WouldBlock.into()),
                _ => {}
            }
        }
        self.inner.try_write(buf)
    }

    fn has_no_unread_data(&self) -> bool {
        self.inner.has_no_unread_data()
    }

    fn shutdown(&self, how: Shutdown) -> io::Result<()> {
        self.inner.shutdown(how)
    }

    fn set_nodelay(&self) -> io::Result<()> {
        self.inner.set_nodelay()
    }
}
