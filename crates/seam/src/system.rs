//! The system's own sockets, clock, files and signals.

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

/// The system as it is, for a sender with this folder, this configuration and this private place for sockets
/// between processes. It belongs inside a `LocalSet`.
///
/// # Errors
/// Signals cannot be watched.
pub fn environment(state: &Path, config: PathBuf, local_dir: Option<PathBuf>) -> io::Result<Environment> {
    // First of all: without a handler a signal would end the process.
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

/// The system's clocks.
pub struct SystemClock;

/// Where the system tells which boot this is: a UUID in text.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

impl Clock for SystemClock {
    fn unix_now(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
    }

    fn monotonic_now(&self) -> u64 {
        // The clock of tokio's timers. It stands still while the machine sleeps, as they do.
        let now = rustix::time::clock_gettime(ClockId::Monotonic);
        let (seconds, nanos) = (now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs());
        seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
    }

    fn boot_id(&self) -> io::Result<Option<BootId>> {
        let text = match fs::read_to_string(BOOT_ID) {
            Ok(text) => text,
            Err(why) if matches!(why.kind(), ErrorKind::NotFound | ErrorKind::PermissionDenied) => {
                return Ok(None);
            }
            Err(why) => return Err(why),
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
        // What is asked for may be more than is there: only what is read takes memory.
        file.take(len as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn list_files(&self) -> io::Result<Vec<(String, u64)>> {
        let mut found = Vec::new();
        for entry in fs::read_dir(&self.0)? {
            let (name, data) = entry.and_then(|e| Ok((e.file_name(), e.metadata()?)))?;
            // A name that is no text is none of ours.
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
        // It ends with the process, however that ends.
        let file = OpenOptions::new().create(true).append(true).open(self.0.join(LOCK))?;
        rustix::fs::flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        Ok(Box::new(file))
    }
}

/// The file whose lock stands for the folder's. It is empty.
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
            Err(why) => return Box::pin(std::future::ready(Err(why))),
        };
        // A thread of its own: the runtime's pool would panic where the system has none left.
        let (done, synced) = tokio::sync::oneshot::channel();
        let beside = std::thread::Builder::new().spawn(move || done.send(file.sync_data()));
        match beside {
            Ok(_) => Box::pin(async move { synced.await.map_err(io::Error::other)? }),
            Err(_) => Box::pin(std::future::ready(self.sync())),
        }
    }
}

/// A listening socket that was inherited under this descriptor. It is duplicated, so that the number stays
/// what it is for who looks at it later, and made non-blocking for all who share it.
///
/// # Errors
/// There is no such descriptor, it is no socket, or it does not listen.
pub fn inherited_listener(descriptor: i32) -> io::Result<Rc<dyn Listener>> {
    // The safe way to one's own descriptor by its number: as any process gets at another's.
    let own = pidfd_open(getpid(), PidfdFlags::empty())?;
    let socket = pidfd_getfd(&own, descriptor, PidfdGetfdFlags::empty())?;
    if !rustix::net::sockopt::socket_acceptconn(&socket)? {
        return Err(io::Error::new(ErrorKind::InvalidInput, "it is a socket that does not listen"));
    }
    let listener = std::net::TcpListener::from(socket);
    listener.set_nonblocking(true)?;
    Ok(Rc::new(TcpListener::from_std(listener)?))
}

/// The system's sockets.
#[derive(Default)]
pub struct SystemSockets {
    /// Where sockets between processes of this machine lie, if anywhere.
    pub local_dir: Option<PathBuf>,
}

impl SystemSockets {
    fn place(&self, name: &str) -> io::Result<PathBuf> {
        let none = || io::Error::new(ErrorKind::NotFound, "there is no private folder for sockets (TMPDIR)");
        self.local_dir.as_ref().map(|folder| folder.join(name)).ok_or_else(none)
    }
}

impl Network for SystemSockets {
    fn connect(&self, to: SocketAddr) -> ConnectFuture {
        Box::pin(async move { Ok(Rc::new(TcpStream::connect(to).await?) as Rc<dyn Stream>) })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Rc<dyn Listener>> {
        Ok(Rc::new(TcpListener::from_std(bound(at)?)?))
    }

    fn listen_local(&self, name: &str) -> io::Result<Rc<dyn Listener>> {
        let place = self.place(name)?;
        match fs::remove_file(&place) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let listener = UnixListener::bind(&place)?;
        fs::set_permissions(&place, Permissions::from_mode(0o600))?;
        Ok(Rc::new(listener))
    }

    fn connect_local(&self, name: &str) -> ConnectFuture {
        let place = self.place(name);
        Box::pin(async move { Ok(Rc::new(UnixStream::connect(place?).await?) as Rc<dyn Stream>) })
    }

    fn bind_datagram(&self, at: SocketAddr) -> io::Result<Rc<dyn DatagramSocket>> {
        let socket = std::net::UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        Ok(Rc::new(UdpSocket::from_std(socket)?))
    }
}

/// Connections that wait to be accepted; tokio's own listeners have as many.
const BACKLOG: i32 = 1024;

/// As tokio binds: at once again at an address whose old connections have not all gone.
fn bound(at: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(at), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// The system says in two ways that it has no memory for a socket's data just now: here they are one.
fn lack_of_memory(why: io::Error) -> io::Error {
    let no_buffers = Some(rustix::io::Errno::NOBUFS.raw_os_error());
    if why.raw_os_error() == no_buffers { ErrorKind::OutOfMemory.into() } else { why }
}

/// So often it is looked at once whether something can be read, where a signal interrupts that.
const PEEKS: usize = 8;

/// Connections by TCP and within the machine are alike but for one option.
macro_rules! stream {
    ($socket:ty, $set_nodelay:expr) => {
        impl Stream for $socket {
            fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                <$socket>::poll_read_ready(self, cx)
            }

            fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
                <$socket>::try_read(self, buf).map_err(lack_of_memory)
            }

            fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                <$socket>::poll_write_ready(self, cx)
            }

            fn try_write(&self, buf: &[u8]) -> io::Result<usize> {
                <$socket>::try_write(self, buf).map_err(lack_of_memory)
            }

            fn has_no_unread_data(&self) -> bool {
                let peek = || SockRef::from(self).peek(&mut [MaybeUninit::uninit()]);
                let interrupted = |peeked: &io::Result<usize>| {
                    peeked.as_ref().is_err_and(|why| why.kind() == ErrorKind::Interrupted)
                };
                let peeked = (0..PEEKS).map(|_| peek()).find(|peeked| !interrupted(peeked));
                // Where nothing can be told it may have spoken.
                peeked.is_some_and(|peeked| peeked.is_err_and(|why| why.kind() == ErrorKind::WouldBlock))
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
        Err(io::Error::new(ErrorKind::Unsupported, "a socket within a machine has no address"))
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
