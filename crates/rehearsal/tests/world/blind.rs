//! Lies told to a daemon through its seam: each takes one guard out, without a line of the daemon changed.
//! What the guard goes by is not what there is.

use notchpoint_rehearsal::hosts::Around;
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

/// What is done to the bytes of a connection to an address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lie {
    /// These bytes stand for those when they are read; they are as long.
    Read(&'static [u8], &'static [u8]),
    /// Each n-th request goes out, and is said not to have.
    NotWritten(usize),
    /// Each n-th request does not go out, and is answered with 204.
    Swallowed(usize),
    /// Writing never becomes possible, and always may in a moment.
    Spins,
}

/// Connections to addresses that begin so.
pub type Where = &'static str;

pub fn sockets(to: Where, lies: &'static [Lie]) -> Around {
    let count = Rc::new(Cell::new(0));
    Rc::new(move |_, world: Environment| {
        let net = Rc::new(Net { inner: world.net.clone(), to, lies, count: count.clone() });
        Environment { net, ..world }
    })
}

/// Changes what the daemon is told, from the truth.
pub fn config(change: impl Fn(&mut serde_json::Value) + 'static) -> Around {
    let change = Rc::new(change);
    Rc::new(move |_, world: Environment| {
        let (source, change) = (world.config, change.clone());
        let config = Box::new(move || {
            let mut told: serde_json::Value = serde_json::from_str(&source()?)?;
            change(&mut told);
            Ok(told.to_string())
        });
        Environment { config, ..world }
    })
}

/// Records of these kinds are not written, and are said to have been.
pub fn unwritten(kinds: &'static [u8]) -> Around {
    Rc::new(move |_, world: Environment| Environment {
        disk: Rc::new(Forgets(world.disk.clone(), kinds)),
        ..world
    })
}

/// From its second start on a process finds its folder empty.
pub fn amnesia() -> Around {
    let starts = RefCell::new(BTreeMap::<usize, u32>::new());
    Rc::new(move |sender, world: Environment| {
        let mut starts = starts.borrow_mut();
        let n = starts.entry(sender).or_default();
        *n += 1;
        if *n > 1 {
            let files = world.disk.list_files().expect("a folder");
            files.iter().for_each(|(name, _)| world.disk.remove(name).expect("removed"));
        }
        world
    })
}

/// Writes records of these kinds where nobody looks for them.
struct Forgets(Rc<dyn Disk>, &'static [u8]);

/// A message's records, and a table that the daemon does not know.
const MESSAGES: u8 = 1;
const NOWHERE: u8 = 9;

impl Disk for Forgets {
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
        // Of a segment that an earlier process began the header stands there.
        let header = self.0.read(name)?.and_then(|b| Header::decode(&b).ok());
        Ok(Box::new(ForgetsFile(self.0.append(name)?, self.1, header)))
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

struct ForgetsFile(Box<dyn File>, &'static [u8], Option<Header>);

impl ForgetsFile {
    /// The same frame, with such records in the other table.
    fn moved(&self, mut bytes: &[u8], seed: u32) -> Vec<u8> {
        let mut all = Vec::new();
        while let Ok(frame) = read_frame(bytes, seed) {
            let mut batch = Batch::default();
            let mut forgotten = false;
            for record in records(frame.payload).flatten() {
                if let Record::Put { table: Table(MESSAGES), key, value, .. } = record
                    && key.get(8).is_some_and(|kind| self.1.contains(kind))
                {
                    batch.put(Table(NOWHERE), key, value);
                    forgotten = true;
                }
            }
            // The daemon writes one record in a frame of these kinds.
            let own = &bytes[..frame.len()];
            all.extend(if forgotten {
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

impl File for ForgetsFile {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some(header) = self.2 else {
            self.2 = Header::decode(bytes).ok();
            return self.0.write_all(bytes);
        };
        self.0.write_all(&self.moved(bytes, checksum_seed(header.store_id, header.number)))
    }

    fn set_len(&mut self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }

    fn sync(&self) -> io::Result<()> {
        self.0.sync()
    }
}

struct Net {
    inner: Rc<dyn Network>,
    to: Where,
    lies: &'static [Lie],
    count: Rc<Cell<usize>>,
}

impl Network for Net {
    fn connect(&self, to: SocketAddr) -> ConnectFuture {
        let connecting = self.inner.connect(to);
        if !to.to_string().starts_with(self.to) {
            return connecting;
        }
        let (lies, count) = (self.lies, self.count.clone());
        Box::pin(async move {
            let (faked, waker, dead) = Default::default();
            Ok(Rc::new(Lies { inner: connecting.await?, lies, count, faked, waker, dead }) as Rc<dyn Stream>)
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

struct Lies {
    inner: Rc<dyn Stream>,
    lies: &'static [Lie],
    count: Rc<Cell<usize>>,
    faked: RefCell<Vec<u8>>,
    waker: RefCell<Option<Waker>>,
    dead: Cell<bool>,
}

impl Stream for Lies {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.faked.borrow().is_empty() || self.dead.get() {
            return Poll::Ready(Ok(()));
        }
        *self.waker.borrow_mut() = Some(cx.waker().clone());
        self.inner.poll_read_ready(cx)
    }

    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        if self.dead.get() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let mut faked = self.faked.borrow_mut();
        if !faked.is_empty() {
            let n = faked.len().min(buf.len());
            buf[..n].copy_from_slice(&faked[..n]);
            faked.drain(..n);
            return Ok(n);
        }
        let n = self.inner.try_read(buf)?;
        for lie in self.lies {
            if let Lie::Read(from, to) = lie {
                assert_eq!(from.len(), to.len());
                let places: Vec<usize> =
                    (0..n.saturating_sub(from.len() - 1)).filter(|&i| buf[i..n].starts_with(from)).collect();
                places.into_iter().for_each(|i| buf[i..i + to.len()].copy_from_slice(to));
            }
        }
        Ok(n)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.lies.contains(&Lie::Spins) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.inner.poll_write_ready(cx)
    }

    fn try_write(&self, buf: &[u8]) -> io::Result<usize> {
        for lie in self.lies {
            let n = self.count.get() + 1;
            match lie {
                Lie::NotWritten(each) => {
                    self.count.set(n);
                    if n.is_multiple_of(*each) {
                        self.inner.try_write(buf)?;
                        self.dead.set(true);
                        return Err(io::ErrorKind::BrokenPipe.into());
                    }
                }
                Lie::Swallowed(each) if buf.starts_with(b"POST /reports") => {
                    self.count.set(n);
                    if n.is_multiple_of(*each) {
                        *self.faked.borrow_mut() = b"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n".to_vec();
                        if let Some(w) = self.waker.take() {
                            w.wake();
                        }
                        return Ok(buf.len());
                    }
                }
                Lie::Spins => return Err(io::ErrorKind::WouldBlock.into()),
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
