//! Makes system calls of a process under test fail on demand.
//!
//! It is loaded with `LD_PRELOAD` and takes the place of some functions of the C library; each asks the
//! kernel itself unless the control file (`notchpoint-faults`) says that this call is to fail. It is for
//! tests only: nothing that is deployed depends on it. It needs `unsafe` by its nature, and holds all of it
//! that the workspace has.
#![warn(missing_docs)]
#![allow(clippy::missing_safety_doc)]

use libc::{c_char, c_int, c_long, c_void, clockid_t, mode_t, off64_t, size_t, ssize_t, timespec};
use notchpoint_faults::{ALWAYS, CONTROL_VARIABLE, CONTROL_WORDS, Fault, unpack_setting};
use std::ffi::CString;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_MICRO: i64 = 1_000;
/// Seed and multiplier of the generator: any odd multiplier with a long period does (Knuth, MMIX).
const SEED: u64 = 0x9e37_79b9_7f4a_7c15;
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;

static RANDOM: AtomicU64 = AtomicU64::new(SEED);
/// The write before this one was cut short by a fault: this one fails.
static CUT_SHORT: AtomicBool = AtomicBool::new(false);

/// The control file, mapped; none where the process was not told of one.
fn control() -> Option<&'static [AtomicU64; CONTROL_WORDS]> {
    static CONTROL: OnceLock<Option<&'static [AtomicU64; CONTROL_WORDS]>> = OnceLock::new();
    *CONTROL.get_or_init(|| {
        let path = CString::new(std::env::var_os(CONTROL_VARIABLE)?.into_encoded_bytes()).ok()?;
        // SAFETY: the path ends with a nul byte; the file has the length that is mapped, and stays mapped.
        unsafe {
            let fd = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR) as c_int;
            if fd < 0 {
                return None;
            }
            let (all, shared) = (libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED);
            let words =
                libc::mmap(std::ptr::null_mut(), CONTROL_WORDS * size_of::<u64>(), all, shared, fd, 0);
            libc::syscall(libc::SYS_close, fd);
            (words != libc::MAP_FAILED).then(|| &*words.cast())
        }
    })
}

fn is_drawn(per_mille: u32) -> bool {
    if per_mille == 0 {
        return false;
    }
    let next = |random: u64| Some(random.wrapping_mul(MULTIPLIER).wrapping_add(1));
    let drawn = RANDOM.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).unwrap_or(SEED);
    ((drawn >> 33) % u64::from(ALWAYS)) < u64::from(per_mille)
}

/// The error number with which this call fails, if it does. The injection is counted.
fn fault(what: Fault) -> Option<c_int> {
    let control = control()?;
    let (errno, per_mille) = unpack_setting(control[what as usize].load(Ordering::Relaxed));
    if !is_drawn(per_mille) {
        return None;
    }
    control[what.counter()].fetch_add(1, Ordering::Relaxed);
    Some(errno)
}

fn fail(errno: c_int) -> c_int {
    // SAFETY: the address of this thread's own error number.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Whether a descriptor belongs to a regular file.
fn is_file(fd: c_int) -> bool {
    // SAFETY: the buffer is as large as the call expects, and is read only after success.
    unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        libc::fstat(fd, &raw mut stat) == 0 && stat.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// Reads a clock; the wall clock is off by as much as the control file says.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: as the caller's own call.
    unsafe {
        let result = libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int;
        let wall = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
        if let Some(control) = control().filter(|_| wall && result == 0) {
            let step = control[Fault::WallClockOffset as usize].load(Ordering::Relaxed) as i64;
            let nanos = (*time).tv_nsec + step.rem_euclid(MICROS_PER_SECOND) * NANOS_PER_MICRO;
            let second = MICROS_PER_SECOND * NANOS_PER_MICRO;
            (*time).tv_sec += step.div_euclid(MICROS_PER_SECOND) + nanos.div_euclid(second);
            (*time).tv_nsec = nanos.rem_euclid(second);
        }
        result
    }
}

/// Connects a socket.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, to: *const libc::sockaddr, len: libc::socklen_t) -> c_int {
    // SAFETY: as the caller's own call.
    unsafe {
        if i32::from((*to).sa_family) == libc::AF_INET
            && let Some(errno) = fault(Fault::Connect)
        {
            return fail(errno);
        }
        libc::syscall(libc::SYS_connect, fd, to, len) as c_int
    }
}

/// Writes to a file. A write that is to be left half done writes half of its bytes, and the next one fails.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, len: size_t) -> ssize_t {
    // SAFETY: as the caller's own call, or for fewer bytes.
    unsafe {
        let mut len = len;
        let slow = control().filter(|_| is_file(fd));
        if slow.is_some() {
            if CUT_SHORT.swap(false, Ordering::Relaxed)
                && let Some(control) = control()
            {
                let (errno, _) = unpack_setting(control[Fault::FileWrite as usize].load(Ordering::Relaxed));
                return fail(if errno == 0 { libc::ENOSPC } else { errno }) as ssize_t;
            }
            if let Some(errno) = fault(Fault::FileWrite) {
                if len < 2 || fault(Fault::PartialWrite).is_none() {
                    return fail(errno) as ssize_t;
                }
                CUT_SHORT.store(true, Ordering::Relaxed);
                len /= 2;
            }
        }
        let written = libc::syscall(libc::SYS_write, fd, bytes, len) as ssize_t;
        if let Some(control) = slow {
            wait(control);
        }
        written
    }
}

/// Waits for as long as writes are to take longer, and leaves the error number as it is.
fn wait(control: &[AtomicU64; CONTROL_WORDS]) {
    let micros = control[Fault::SlowWrite as usize].load(Ordering::Relaxed);
    if micros == 0 {
        return;
    }
    control[Fault::SlowWrite.counter()].fetch_add(1, Ordering::Relaxed);
    // SAFETY: the address of this thread's own error number.
    let errno = unsafe { *libc::__errno_location() };
    std::thread::sleep(std::time::Duration::from_micros(micros));
    fail(errno);
}

/// Has a file's data outlast a loss of power.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    // SAFETY: as the caller's own call.
    fault(Fault::Sync).map_or_else(|| unsafe { libc::syscall(libc::SYS_fdatasync, fd) as c_int }, fail)
}

/// Has a file outlast a loss of power.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    // SAFETY: as the caller's own call.
    fault(Fault::Sync).map_or_else(|| unsafe { libc::syscall(libc::SYS_fsync, fd) as c_int }, fail)
}

/// Cuts a file.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn ftruncate64(fd: c_int, len: off64_t) -> c_int {
    // SAFETY: as the caller's own call.
    let cut = || unsafe { libc::syscall(libc::SYS_ftruncate, fd, len) as c_int };
    fault(Fault::FileOperation).map_or_else(cut, fail)
}

/// Renames a file.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: as the caller's own call.
    let renamed =
        || unsafe { libc::syscall(libc::SYS_renameat, libc::AT_FDCWD, from, libc::AT_FDCWD, to) as c_int };
    fault(Fault::FileOperation).map_or_else(renamed, fail)
}

/// Removes a file.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    // SAFETY: as the caller's own call.
    let removed = || unsafe { libc::syscall(libc::SYS_unlinkat, libc::AT_FDCWD, path, 0) as c_int };
    fault(Fault::FileOperation).map_or_else(removed, fail)
}

/// Reads from a file.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(fd: c_int, bytes: *mut c_void, len: size_t) -> ssize_t {
    if control().is_some()
        && is_file(fd)
        && let Some(errno) = fault(Fault::FileRead)
    {
        return fail(errno) as ssize_t;
    }
    // SAFETY: as the caller's own call.
    unsafe { libc::syscall(libc::SYS_read, fd, bytes, len) as ssize_t }
}

/// Opens a file.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let writes = flags & (libc::O_WRONLY | libc::O_RDWR) != 0;
    if let Some(errno) = fault(if writes { Fault::FileOperation } else { Fault::FileRead }) {
        return fail(errno);
    }
    // SAFETY: as the caller's own call; where no file is made, the mode means nothing.
    unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) as c_int }
}

/// Makes a socket.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    // SAFETY: as the caller's own call.
    let made = || unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int };
    fault(Fault::Socket).map_or_else(made, fail)
}

/// Has the system watch a descriptor. Only adding one can be made to fail.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    let adds = operation == libc::EPOLL_CTL_ADD;
    if let Some(errno) = adds.then(|| fault(Fault::EpollAdd)).flatten() {
        return fail(errno);
    }
    // SAFETY: as the caller's own call.
    unsafe { libc::syscall(libc::SYS_epoll_ctl, epoll, operation, fd, event) as c_int }
}

/// Takes a connection.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    from: *mut libc::sockaddr,
    len: *mut libc::socklen_t,
    flags: c_int,
) -> c_int {
    // SAFETY: as the caller's own call.
    let taken = || unsafe { libc::syscall(libc::SYS_accept4, fd, from, len, flags) as c_int };
    fault(Fault::Accept).map_or_else(taken, fail)
}

/// Sets a socket's option.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn setsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    len: libc::socklen_t,
) -> c_int {
    let nodelay = level == libc::IPPROTO_TCP && name == libc::TCP_NODELAY;
    if let Some(errno) = nodelay.then(|| fault(Fault::NoDelay)).flatten() {
        return fail(errno);
    }
    // SAFETY: as the caller's own call.
    unsafe { libc::syscall(libc::SYS_setsockopt, fd, level, name, value, len) as c_int }
}

/// Begins a thread.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn pthread_create(
    thread: *mut libc::pthread_t,
    attributes: *const libc::pthread_attr_t,
    run: extern "C" fn(*mut c_void) -> *mut c_void,
    with: *mut c_void,
) -> c_int {
    type Create = unsafe extern "C" fn(
        *mut libc::pthread_t,
        *const libc::pthread_attr_t,
        extern "C" fn(*mut c_void) -> *mut c_void,
        *mut c_void,
    ) -> c_int;
    // Its error number is its result.
    if let Some(errno) = fault(Fault::ThreadCreate) {
        return errno;
    }
    // SAFETY: the C library's own function of this name and signature, called as the caller does.
    unsafe {
        let found = libc::dlsym(libc::RTLD_NEXT, c"pthread_create".as_ptr());
        if found.is_null() {
            return libc::EAGAIN;
        }
        std::mem::transmute::<*mut c_void, Create>(found)(thread, attributes, run, with)
    }
}

/// Reads from a socket. A look ahead (`MSG_PEEK`) is left alone.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, bytes: *mut c_void, len: size_t, flags: c_int) -> ssize_t {
    let mut len = len;
    if flags & libc::MSG_PEEK == 0 {
        if let Some(errno) = fault(Fault::SocketIo) {
            return fail(errno) as ssize_t;
        }
        len = if fault(Fault::ShortIo).is_some() { len.min(1) } else { len };
    }
    let no_address = std::ptr::null_mut::<c_void>();
    // SAFETY: as the caller's own call, or for fewer bytes.
    unsafe { libc::syscall(libc::SYS_recvfrom, fd, bytes, len, flags, no_address, no_address) as ssize_t }
}

/// Writes to a socket.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, len: size_t, flags: c_int) -> ssize_t {
    if let Some(errno) = fault(Fault::SocketIo) {
        return fail(errno) as ssize_t;
    }
    let len = if fault(Fault::ShortIo).is_some() { len.min(1) } else { len };
    let no_address = std::ptr::null::<c_void>();
    let no_length: c_long = 0;
    // SAFETY: as the caller's own call, or for fewer bytes.
    unsafe { libc::syscall(libc::SYS_sendto, fd, bytes, len, flags, no_address, no_length) as ssize_t }
}
