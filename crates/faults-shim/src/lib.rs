//! Makes system calls of a process under test fail on demand.
//!
//! The library is loaded with `LD_PRELOAD` and replaces some functions of the C library. Each makes the
//! system call itself, unless the control file (`notchpoint-faults`) states that the call must fail. The
//! library is for tests only, and nothing that is deployed depends on it. Replacing C functions requires
//! `unsafe`; the workspace has no other `unsafe` code.
#![warn(missing_docs)]
#![allow(clippy::missing_safety_doc)]

use libc::{c_char, c_int, c_long, c_void, clockid_t, mode_t, off64_t, size_t, ssize_t, timespec};
use notchpoint_faults::{ALWAYS, CONTROL_VARIABLE, CONTROL_WORDS, Fault, unpack_setting};
use std::ffi::CString;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_MICRO: i64 = 1_000;
/// Seed and multiplier of a linear congruential generator. Any odd multiplier with a long period is
/// sufficient; this one is from MMIX (Knuth).
const SEED: u64 = 0x9e37_79b9_7f4a_7c15;
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;

static RANDOM: AtomicU64 = AtomicU64::new(SEED);
/// Whether the last write was cut short by a fault. The next one fails then.
static CUT_SHORT: AtomicBool = AtomicBool::new(false);

/// Returns the mapped control file, or `None` if the environment names none or it cannot be mapped.
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
            let (access, shared) = (libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED);
            let words =
                libc::mmap(std::ptr::null_mut(), CONTROL_WORDS * size_of::<u64>(), access, shared, fd, 0);
            libc::syscall(libc::SYS_close, fd);
            (words != libc::MAP_FAILED).then(|| &*words.cast())
        }
    })
}

/// Draws whether an event with this probability in thousandths occurs.
fn is_drawn(per_mille: u32) -> bool {
    if per_mille == 0 {
        return false;
    }
    let advance = |random: u64| Some(random.wrapping_mul(MULTIPLIER).wrapping_add(1));
    let drawn = RANDOM.fetch_update(Ordering::Relaxed, Ordering::Relaxed, advance).unwrap_or(SEED);
    ((drawn >> 33) % u64::from(ALWAYS)) < u64::from(per_mille)
}

/// Returns the error number with which this call must fail, if it must. Counts the injected fault.
fn fault(kind: Fault) -> Option<c_int> {
    let control = control()?;
    let (errno, per_mille) = unpack_setting(control[kind as usize].load(Ordering::Relaxed));
    if !is_drawn(per_mille) {
        return None;
    }
    control[kind.counter()].fetch_add(1, Ordering::Relaxed);
    Some(errno)
}

/// Sets the error number of the thread and returns -1.
fn fail(errno: c_int) -> c_int {
    // SAFETY: this is the address of the error number of this thread.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Returns whether a descriptor refers to a regular file.
fn is_file(fd: c_int) -> bool {
    // SAFETY: the buffer has the size that the call expects, and is read only after success.
    unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        libc::fstat(fd, &raw mut stat) == 0 && stat.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// Replaces `clock_gettime`. Adds the offset of the control file to the wall clock.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the arguments are those of the caller.
    unsafe {
        let result = libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int;
        let is_wall_clock = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
        if let Some(control) = control().filter(|_| is_wall_clock && result == 0) {
            let offset = control[Fault::WallClockOffset as usize].load(Ordering::Relaxed) as i64;
            let nanos = (*time).tv_nsec + offset.rem_euclid(MICROS_PER_SECOND) * NANOS_PER_MICRO;
            let nanos_per_second = MICROS_PER_SECOND * NANOS_PER_MICRO;
            (*time).tv_sec += offset.div_euclid(MICROS_PER_SECOND) + nanos.div_euclid(nanos_per_second);
            (*time).tv_nsec = nanos.rem_euclid(nanos_per_second);
        }
        result
    }
}

/// Replaces `connect`. Only calls with an IPv4 address can fail.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, to: *const libc::sockaddr, len: libc::socklen_t) -> c_int {
    // SAFETY: the arguments are those of the caller.
    unsafe {
        if i32::from((*to).sa_family) == libc::AF_INET
            && let Some(errno) = fault(Fault::Connect)
        {
            return fail(errno);
        }
        libc::syscall(libc::SYS_connect, fd, to, len) as c_int
    }
}

/// Replaces `write`. Calls for regular files can fail. A partial write writes half of its bytes, and the next
/// write fails.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, len: size_t) -> ssize_t {
    // SAFETY: the arguments are those of the caller, or fewer bytes.
    unsafe {
        let mut len = len;
        let file_control = control().filter(|_| is_file(fd));
        if file_control.is_some() {
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
        if let Some(control) = file_control {
            delay_write(control);
        }
        written
    }
}

/// Waits for the delay of writes. Preserves the error number.
fn delay_write(control: &[AtomicU64; CONTROL_WORDS]) {
    let micros = control[Fault::SlowWrite as usize].load(Ordering::Relaxed);
    if micros == 0 {
        return;
    }
    control[Fault::SlowWrite.counter()].fetch_add(1, Ordering::Relaxed);
    // SAFETY: this is the address of the error number of this thread.
    let errno = unsafe { *libc::__errno_location() };
    std::thread::sleep(std::time::Duration::from_micros(micros));
    fail(errno);
}

/// Replaces `fdatasync`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    // SAFETY: the arguments are those of the caller.
    fault(Fault::Sync).map_or_else(|| unsafe { libc::syscall(libc::SYS_fdatasync, fd) as c_int }, fail)
}

/// Replaces `fsync`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    // SAFETY: the arguments are those of the caller.
    fault(Fault::Sync).map_or_else(|| unsafe { libc::syscall(libc::SYS_fsync, fd) as c_int }, fail)
}

/// Replaces `ftruncate64`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn ftruncate64(fd: c_int, len: off64_t) -> c_int {
    // SAFETY: the arguments are those of the caller.
    let truncate = || unsafe { libc::syscall(libc::SYS_ftruncate, fd, len) as c_int };
    fault(Fault::FileOperation).map_or_else(truncate, fail)
}

/// Replaces `rename`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: the arguments are those of the caller.
    let rename =
        || unsafe { libc::syscall(libc::SYS_renameat, libc::AT_FDCWD, from, libc::AT_FDCWD, to) as c_int };
    fault(Fault::FileOperation).map_or_else(rename, fail)
}

/// Replaces `unlink`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    // SAFETY: the arguments are those of the caller.
    let unlink = || unsafe { libc::syscall(libc::SYS_unlinkat, libc::AT_FDCWD, path, 0) as c_int };
    fault(Fault::FileOperation).map_or_else(unlink, fail)
}

/// Replaces `read`. Calls for regular files can fail.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(fd: c_int, bytes: *mut c_void, len: size_t) -> ssize_t {
    if control().is_some()
        && is_file(fd)
        && let Some(errno) = fault(Fault::FileRead)
    {
        return fail(errno) as ssize_t;
    }
    // SAFETY: the arguments are those of the caller.
    unsafe { libc::syscall(libc::SYS_read, fd, bytes, len) as ssize_t }
}

/// Replaces `open64`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let for_writing = flags & (libc::O_WRONLY | libc::O_RDWR) != 0;
    if let Some(errno) = fault(if for_writing { Fault::FileOperation } else { Fault::FileRead }) {
        return fail(errno);
    }
    // SAFETY: the arguments are those of the caller; the mode is ignored where no file is created.
    unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) as c_int }
}

/// Replaces `socket`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    // SAFETY: the arguments are those of the caller.
    let create = || unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int };
    fault(Fault::Socket).map_or_else(create, fail)
}

/// Replaces `epoll_ctl`. Only calls that add a descriptor can fail.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    let is_add = operation == libc::EPOLL_CTL_ADD;
    if let Some(errno) = is_add.then(|| fault(Fault::EpollAdd)).flatten() {
        return fail(errno);
    }
    // SAFETY: the arguments are those of the caller.
    unsafe { libc::syscall(libc::SYS_epoll_ctl, epoll, operation, fd, event) as c_int }
}

/// Replaces `accept4`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    from: *mut libc::sockaddr,
    len: *mut libc::socklen_t,
    flags: c_int,
) -> c_int {
    // SAFETY: the arguments are those of the caller.
    let accept = || unsafe { libc::syscall(libc::SYS_accept4, fd, from, len, flags) as c_int };
    fault(Fault::Accept).map_or_else(accept, fail)
}

/// Replaces `setsockopt`. Only calls for `TCP_NODELAY` can fail.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn setsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    len: libc::socklen_t,
) -> c_int {
    let is_nodelay = level == libc::IPPROTO_TCP && name == libc::TCP_NODELAY;
    if let Some(errno) = is_nodelay.then(|| fault(Fault::NoDelay)).flatten() {
        return fail(errno);
    }
    // SAFETY: the arguments are those of the caller.
    unsafe { libc::syscall(libc::SYS_setsockopt, fd, level, name, value, len) as c_int }
}

/// Replaces `pthread_create`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn pthread_create(
    thread: *mut libc::pthread_t,
    attributes: *const libc::pthread_attr_t,
    run: extern "C" fn(*mut c_void) -> *mut c_void,
    argument: *mut c_void,
) -> c_int {
    type Create = unsafe extern "C" fn(
        *mut libc::pthread_t,
        *const libc::pthread_attr_t,
        extern "C" fn(*mut c_void) -> *mut c_void,
        *mut c_void,
    ) -> c_int;
    // `pthread_create` returns its error number as its result.
    if let Some(errno) = fault(Fault::ThreadCreate) {
        return errno;
    }
    // SAFETY: this is the function of the C library with this name and signature, and the arguments are those
    // of the caller.
    unsafe {
        let original = libc::dlsym(libc::RTLD_NEXT, c"pthread_create".as_ptr());
        if original.is_null() {
            return libc::EAGAIN;
        }
        std::mem::transmute::<*mut c_void, Create>(original)(thread, attributes, run, argument)
    }
}

/// Replaces `recv`. Calls with `MSG_PEEK` neither fail nor are shortened.
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
    // SAFETY: the arguments are those of the caller, or fewer bytes.
    unsafe { libc::syscall(libc::SYS_recvfrom, fd, bytes, len, flags, no_address, no_address) as ssize_t }
}

/// Replaces `send`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, len: size_t, flags: c_int) -> ssize_t {
    if let Some(errno) = fault(Fault::SocketIo) {
        return fail(errno) as ssize_t;
    }
    let len = if fault(Fault::ShortIo).is_some() { len.min(1) } else { len };
    let no_address = std::ptr::null::<c_void>();
    let no_length: c_long = 0;
    // SAFETY: the arguments are those of the caller, or fewer bytes.
    unsafe { libc::syscall(libc::SYS_sendto, fd, bytes, len, flags, no_address, no_length) as ssize_t }
}
