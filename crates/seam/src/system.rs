//! The environment on the operating system: its sockets, clocks, files and signals.

use crate::net::ConnectFuture;
use crate::{
    BootId, Clock, ConfigSource, DatagramSocket, Disk, Environment, File, Listener, Network, Stream,
    SyncFuture, signals,
};
use rustix::fs::FlockOperation;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use rustix::time::ClockId;
use socket2::SockRef;
use std::any::Any;
use std::fs::{self, OpenOptions, Permissions};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::ReadBuf;
use tokio::net::{TcpListener, TcpStream, UdpSocket, UnixListener, UnixStream};

/// Creates the environment for a sender with this state folder, this configuration file, and this folder for
/// private sockets between processes. Must be called inside a `LocalSet`.
///
/// # Errors
/// The signal handlers cannot be installed.
pub fn environment(state: &Path, config: PathBuf, local_dir: Option<PathBuf>) -> io::Result<Environment> {
    // Signals come first: without a handler a signal would end the process.
    let signals = signals::watch()?;
    let config: ConfigSource = Box::new(move || {
        fs::read_to_string(&config)
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", config.display())))
    });
    let disk = Rc::new(Folder(state.to_owned()));
    Ok(Environment {
        net: Rc::new(SystemSockets { local_dir }),
        clock: Rc::new(SystemClock),
        disk,
        signals,
        config,
        admin_addr: None,
        client_listener: None,
    })
}

/// The clocks of the system.
pub struct SystemClock;

/// The file with the identifier of the current boot: a UUID as text.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

impl Clock for SystemClock {
    fn unix_now(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
    }

    fn monotonic_now(&self) -> u64 {
        // The clock of tokio's timers. Like them it does not advance while the machine is suspended.
        let now = rustix::time::clock_gettime(ClockId::Monotonic);
        let (seconds, nanos) = (now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs());
        seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
    }

    fn boot_id(&self) -> io::Result<Option<BootId>> {
        let text = match fs::read_to_string(BOOT_ID) {
            Ok(text) => text,
            Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::PermissionDenied) => {
                return Ok(None);
            }
            Err(e) => return Err(e),
        };
        let digits: String = text.trim().chars().filter(|c| *c != '-').collect();
        Ok(u128::from_str_radix(&digits, 16).ok().map(|id| BootId(id.to_be_bytes())))
    }
}

/// A folder of the file system.
pub struct Folder(pub PathBuf);

impl Disk for Folder {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.0.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn read_at(&self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let mut file = fs::File::open(self.0.join(name))?;
        file.seek(SeekFrom::Start(offset))?;
        let mut bytes = Vec::new();
        // The buffer is not allocated in advance, since `len` may exceed the length of the file.
        file.take(len as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn list_files(&self) -> io::Result<Vec<(String, u64)>> {
        let mut found = Vec::new();
        for entry in fs::read_dir(&self.0)? {
            let (name, data) = entry.and_then(|e| Ok((e.file_name(), e.metadata()?)))?;
            // A name that is not valid UTF-8 is not one of a sender's files.
            if let Some(name) = name.to_str().filter(|_| data.is_file()) {
                found.push((name.to_owned(), data.len()));
            }
        }
        Ok(found)
    }

    fn append(&self, name: &str) -> io::Result<Box<dyn File>> {
        Ok(Box::new(OpenOptions::new().create(true).append(true).open(self.0.join(name))?))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.0.join(name)) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn sync_directory(&self) -> io::Result<()> {
        fs::File::open(&self.0)?.sync_all()
    }

    fn lock(&self) -> io::Result<Box<dyn Any>> {
        // The lock ends with the process, also after a crash.
        let file = OpenOptions::new().create(true).append(true).open(self.0.join(LOCK))?;
        rustix::fs::flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        Ok(Box::new(file))
    }
}

/// The empty file whose lock represents the lock of the folder.
const LOCK: &str = "lock";

impl File for fs::File {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        Write::write_all(self, bytes)
    }

    fn set_len(&mut self, len: u64) -> io::Result<()> {
        fs::File::set_len(self, len)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }

    fn sync_in_background(&self) -> SyncFuture {
        let file = match self.try_clone() {
            Ok(file) => file,
            Err(e) => return Box::pin(std::future::ready(Err(e))),
        };
        // A thread of its own, since the runtime's pool would panic if the system has no threads left.
        let (done, synced) = tokio::sync::oneshot::channel();
        let thread = std::thread::Builder::new().spawn(move || done.send(file.sync_data()));
        match thread {
            Ok(_) => Box::pin(async move { synced.await.map_err(io::Error::other)? }),
            Err(_) => Box::pin(std::future::ready(self.sync())),
        }
    }
}

/// Returns the listening socket that was inherited under this descriptor. The descriptor is duplicated, so
/// that the number stays valid for later use. The socket becomes non-blocking for all processes that share
/// it.
///
/// # Errors
/// There is no such descriptor, it is not a socket, or it does not listen.
pub fn inherited_listener(descriptor: i32) -> io::Result<Rc<dyn Listener>> {
    // In safe Rust, only the call that duplicates descriptors of other processes takes one by its number.
    let own = pidfd_open(getpid(), PidfdFlags::empty())?;
    let socket = pidfd_getfd(&own, descriptor, PidfdGetfdFlags::empty())?;
    if !rustix::net::sockopt::socket_acceptconn(&socket)? {
        return Err(io::Error::new(ErrorKind::InvalidInput, "the socket does not listen"));
    }
    let listener = std::net::TcpListener::from(socket);
    listener.set_nonblocking(true)?;
    Ok(Rc::new(TcpListener::from_std(listener)?))
}

/// The sockets of the system.
#[derive(Default)]
pub struct SystemSockets {
    /// The folder for private sockets between processes of this machine, if there is one.
    pub local_dir: Option<PathBuf>,
}

impl SystemSockets {
    fn local_path(&self, name: &str) -> io::Result<PathBuf> {
        let missing =
            || io::Error::new(ErrorKind::NotFound, "there is no private folder for sockets (TMPDIR)");
        self.local_dir.as_ref().map(|folder| folder.join(name)).ok_or_else(missing)
    }
}

impl Network for SystemSockets {
    fn connect(&self, to: SocketAddr) -> ConnectFuture {
        Box::pin(async move { Ok(Rc::new(TcpStream::connect(to).await?) as Rc<dyn Stream>) })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Rc<dyn Listener>> {
        Ok(Rc::new(TcpListener::from_std(bind_reusable(at)?)?))
    }

    fn listen_local(&self, name: &str) -> io::Result<Rc<dyn Listener>> {
        let path = self.local_path(name)?;
        match fs::remove_file(&path) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let listener = UnixListener::bind(&path)?;
        fs::set_permissions(&path, Permissions::from_mode(0o600))?;
        Ok(Rc::new(listener))
    }

    fn connect_local(&self, name: &str) -> ConnectFuture {
        let path = self.local_path(name);
        Box::pin(async move { Ok(Rc::new(UnixStream::connect(path?).await?) as Rc<dyn Stream>) })
    }

    fn bind_datagram(&self, at: SocketAddr) -> io::Result<Rc<dyn DatagramSocket>> {
        let socket = std::net::UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        Ok(Rc::new(UdpSocket::from_std(socket)?))
    }
}

/// The number of connections that may wait to be accepted; the same as in tokio's own listeners.
const BACKLOG: i32 = 1024;

/// Binds a listener as tokio does, also if connections of an earlier listener on the address still exist.
fn bind_reusable(at: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(at), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Maps both errors by which the system reports a lack of memory for socket data to `OutOfMemory`.
fn map_lack_of_memory(error: io::Error) -> io::Error {
    let no_buffers = Some(rustix::io::Errno::NOBUFS.raw_os_error());
    if error.raw_os_error() == no_buffers { ErrorKind::OutOfMemory.into() } else { error }
}

/// How often a peek for unread data is tried, if signals interrupt it.
const MAX_PEEKS: usize = 8;

/// Implements [`Stream`] for TCP and Unix sockets, which differ in one option only.
macro_rules! stream {
    ($socket:ty, $set_nodelay:expr) => {
        impl Stream for $socket {
            fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                <$socket>::poll_read_ready(self, cx)
            }

            fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
                <$socket>::try_read(self, buf).map_err(map_lack_of_memory)
            }

            fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                <$socket>::poll_write_ready(self, cx)
            }

            fn try_write(&self, buf: &[u8]) -> io::Result<usize> {
                <$socket>::try_write(self, buf).map_err(map_lack_of_memory)
            }

            fn has_no_unread_data(&self) -> bool {
                let peek = || SockRef::from(self).peek(&mut [MaybeUninit::uninit()]);
                let is_interrupted = |peeked: &io::Result<usize>| {
                    peeked.as_ref().is_err_and(|e| e.kind() == ErrorKind::Interrupted)
                };
                let peeked = (0..MAX_PEEKS).map(|_| peek()).find(|peeked| !is_interrupted(peeked));
                // If the state is unknown, data may have arrived.
                peeked.is_some_and(|peeked| peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock))
            }

            fn shutdown(&self, how: Shutdown) -> io::Result<()> {
                SockRef::from(self).shutdown(how)
            }

            fn set_nodelay(&self) -> io::Result<()> {
                let set: fn(&$socket) -> io::Result<()> = $set_nodelay;
                set(self)
            }
        }
    };
}

stream!(TcpStream, |socket| socket.set_nodelay(true));
stream!(UnixStream, |_| Ok(()));

impl Listener for TcpListener {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Rc<dyn Stream>>> {
        TcpListener::poll_accept(self, cx).map_ok(|(stream, _)| Rc::new(stream) as Rc<dyn Stream>)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        TcpListener::local_addr(self)
    }
}

impl Listener for UnixListener {
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Rc<dyn Stream>>> {
        UnixListener::poll_accept(self, cx).map_ok(|(stream, _)| Rc::new(stream) as Rc<dyn Stream>)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Err(io::Error::new(ErrorKind::Unsupported, "a Unix socket has no network address"))
    }
}

impl DatagramSocket for UdpSocket {
    fn poll_recv_from(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<(usize, SocketAddr)>> {
        let mut buf = ReadBuf::new(buf);
        UdpSocket::poll_recv_from(self, cx, &mut buf).map_ok(|from| (buf.filled().len(), from))
    }

    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        UdpSocket::try_send_to(self, bytes, to)
    }
}
