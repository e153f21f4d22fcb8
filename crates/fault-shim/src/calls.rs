//! The functions of the C library that are replaced. Each has the C library's own signature and contract, so what makes a
//! call sound is what makes it sound there; each fails as planned, or calls the one that it replaces.
#![allow(clippy::missing_safety_doc, missing_docs, reason = "the contracts are those of the C library")]

use crate::plan::{Original, allowed, fails, wall_offset};
use libc::{
    c_char, c_int, c_uint, c_void, clockid_t, epoll_event, iovec, mode_t, msghdr, off_t, off64_t, sigset_t,
    size_t, sockaddr, socklen_t, ssize_t, time_t, timespec, timeval,
};
use loomlb_fault_plan::{Call, Limit};
use std::mem::{MaybeUninit, transmute};

const NANOS_A_SECOND: i64 = 1_000_000_000;
const NANOS_A_MICROSECOND: i64 = 1_000;
/// Vectored calls whose bytes are limited look at so many of their parts.
const PARTS: usize = 16;

/// What a descriptor stands for, as far as the plan tells them apart.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Behind {
    Tcp,
    Datagram,
    File,
    Other,
}

fn option(fd: c_int, name: c_int) -> c_int {
    let mut value: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: value and length outlive the call, and the length is that of the value.
    let read = unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, name, (&raw mut value).cast(), &mut length) };
    if read == 0 { value } else { -1 }
}

fn behind(fd: c_int) -> Behind {
    let mut status = MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: the error number is this thread's own; `fstat` fills the structure or fails.
    let (errno, mode) = unsafe {
        let errno = *libc::__errno_location();
        let known = libc::fstat(fd, status.as_mut_ptr()) == 0;
        (errno, if known { status.assume_init().st_mode } else { 0 })
    };
    let found = match mode & libc::S_IFMT {
        libc::S_IFREG => Behind::File,
        libc::S_IFSOCK if option(fd, libc::SO_TYPE) == libc::SOCK_DGRAM => Behind::Datagram,
        libc::S_IFSOCK if matches!(option(fd, libc::SO_DOMAIN), libc::AF_INET | libc::AF_INET6) => {
            Behind::Tcp
        }
        _ => Behind::Other,
    };
    // SAFETY: as above. Looking must not change the error number that the caller may still read.
    unsafe { *libc::__errno_location() = errno };
    found
}

/// Whether a read of so many bytes fails, else how many bytes it may bring.
fn read_allowed(fd: c_int, bytes: usize) -> Option<usize> {
    let (call, limit) = match behind(fd) {
        Behind::Tcp => (Call::SocketRead, Some(Limit::SocketRead)),
        Behind::Datagram => (Call::DatagramReceive, None),
        Behind::File => (Call::FileRead, Some(Limit::FileRead)),
        Behind::Other => return Some(bytes),
    };
    if fails(call) { None } else { Some(limit.map_or(bytes, |limit| allowed(limit, bytes))) }
}

/// Whether a write of so many bytes fails, else how many of them it may take.
fn write_allowed(fd: c_int, bytes: usize) -> Option<usize> {
    let (call, limit) = match behind(fd) {
        Behind::Tcp => (Call::SocketWrite, Some(Limit::SocketWrite)),
        Behind::Datagram => (Call::DatagramSend, None),
        Behind::File => (Call::FileWrite, Some(Limit::FileWrite)),
        Behind::Other => return Some(bytes),
    };
    if fails(call) { None } else { Some(limit.map_or(bytes, |limit| allowed(limit, bytes))) }
}

/// The sum of the parts of a vectored call.
unsafe fn total(parts: *const iovec, count: usize) -> usize {
    // SAFETY: the caller passes as many parts as it says.
    (0..count).map(|at| unsafe { (*parts.add(at)).iov_len }).fold(0, usize::saturating_add)
}

/// Parts cut to so many bytes, with their number.
unsafe fn cut(parts: *const iovec, count: usize, bytes: usize) -> ([iovec; PARTS], usize) {
    let mut kept = [iovec { iov_base: std::ptr::null_mut(), iov_len: 0 }; PARTS];
    let (mut left, mut used) = (bytes, 0);
    while used < count.min(PARTS) && left > 0 {
        // SAFETY: the caller passes as many parts as it says.
        let part = unsafe { *parts.add(used) };
        kept[used] = iovec { iov_len: part.iov_len.min(left), ..part };
        left -= kept[used].iov_len;
        used += 1;
    }
    (kept, used)
}

/// The C library's function of the same name, with its type.
macro_rules! original {
    ($name:ident, fn($($arg:ty),*) -> $ret:ty) => {{
        static ORIGINAL: Original = Original::new(concat!(stringify!($name), "\0").as_bytes());
        // The C library\'s function of this name has this type: the caller is in an unsafe block that says why it may call.
        transmute::<*mut c_void, unsafe extern "C" fn($($arg),*) -> $ret>(ORIGINAL.address())
    }};
}

/// Functions that fail as a whole or not at all.
macro_rules! failing {
    ($($call:expr => fn $name:ident($($arg:ident: $type:ty),*) -> $ret:ty;)*) => {$(
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($arg: $type),*) -> $ret {
            if fails($call) {
                return -1;
            }
            // SAFETY: the caller's arguments, passed on.
            unsafe { original!($name, fn($($type),*) -> $ret)($($arg),*) }
        }
    )*};
}

failing! {
    Call::Socket => fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    Call::Bind => fn bind(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int;
    Call::Listen => fn listen(fd: c_int, backlog: c_int) -> c_int;
    Call::Accept => fn accept(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int;
    Call::Accept => fn accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int;
    Call::Connect => fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int;
    Call::EpollWait => fn epoll_wait(epoll: c_int, events: *mut epoll_event, most: c_int, timeout: c_int) -> c_int;
    Call::EpollWait => fn epoll_pwait(
        epoll: c_int, events: *mut epoll_event, most: c_int, timeout: c_int, mask: *const sigset_t
    ) -> c_int;
    Call::Sync => fn fsync(fd: c_int) -> c_int;
    Call::Sync => fn fdatasync(fd: c_int) -> c_int;
    Call::OpenForWriting => fn creat(path: *const c_char, mode: mode_t) -> c_int;
    Call::OpenForWriting => fn creat64(path: *const c_char, mode: mode_t) -> c_int;
    Call::Rename => fn rename(from: *const c_char, to: *const c_char) -> c_int;
    Call::Rename => fn renameat(old: c_int, from: *const c_char, new: c_int, to: *const c_char) -> c_int;
    Call::Rename => fn renameat2(
        old: c_int, from: *const c_char, new: c_int, to: *const c_char, flags: c_uint
    ) -> c_int;
    Call::Truncate => fn ftruncate(fd: c_int, length: off_t) -> c_int;
    Call::Truncate => fn ftruncate64(fd: c_int, length: off64_t) -> c_int;
}

/// Functions that open a file; those that only read pass. The mode is an optional argument in C and is passed on
/// whatever it holds, as the C library looks at it only where the flags say that it is there.
macro_rules! opening {
    ($(fn $name:ident($($arg:ident: $type:ty),*; $flags:ident);)*) => {$(
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($arg: $type,)* $flags: c_int, mode: mode_t) -> c_int {
            if $flags & (libc::O_WRONLY | libc::O_RDWR | libc::O_CREAT) != 0 && fails(Call::OpenForWriting) {
                return -1;
            }
            // SAFETY: the caller's arguments, passed on to the variadic function of the same name.
            unsafe {
                static ORIGINAL: Original = Original::new(concat!(stringify!($name), "\0").as_bytes());
                let open = transmute::<*mut c_void, unsafe extern "C" fn($($type,)* c_int, ...) -> c_int>(
                    ORIGINAL.address(),
                );
                open($($arg,)* $flags, mode)
            }
        }
    )*};
}

opening! {
    fn open(path: *const c_char; flags);
    fn open64(path: *const c_char; flags);
    fn openat(folder: c_int, path: *const c_char; flags);
    fn openat64(folder: c_int, path: *const c_char; flags);
}

/// Functions that move bytes of one buffer.
macro_rules! moving {
    ($($allowed:ident => fn $name:ident(
        $fd:ident: c_int, $buffer:ident: $pointer:ty, $bytes:ident: size_t $(, $arg:ident: $type:ty)*
    );)*) => {$(
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($fd: c_int, $buffer: $pointer, $bytes: size_t $(, $arg: $type)*) -> ssize_t {
            let Some($bytes) = $allowed($fd, $bytes) else { return -1 };
            // SAFETY: the caller's arguments, passed on with no more bytes than it has.
            unsafe {
                original!($name, fn(c_int, $pointer, size_t $(, $type)*) -> ssize_t)(
                    $fd, $buffer, $bytes $(, $arg)*
                )
            }
        }
    )*};
}

moving! {
    read_allowed => fn read(fd: c_int, buffer: *mut c_void, bytes: size_t);
    read_allowed => fn pread(fd: c_int, buffer: *mut c_void, bytes: size_t, at: off_t);
    read_allowed => fn pread64(fd: c_int, buffer: *mut c_void, bytes: size_t, at: off64_t);
    read_allowed => fn recv(fd: c_int, buffer: *mut c_void, bytes: size_t, flags: c_int);
    read_allowed => fn recvfrom(
        fd: c_int, buffer: *mut c_void, bytes: size_t, flags: c_int, from: *mut sockaddr, length: *mut socklen_t
    );
    write_allowed => fn write(fd: c_int, buffer: *const c_void, bytes: size_t);
    write_allowed => fn pwrite(fd: c_int, buffer: *const c_void, bytes: size_t, at: off_t);
    write_allowed => fn pwrite64(fd: c_int, buffer: *const c_void, bytes: size_t, at: off64_t);
    write_allowed => fn send(fd: c_int, buffer: *const c_void, bytes: size_t, flags: c_int);
    write_allowed => fn sendto(
        fd: c_int, buffer: *const c_void, bytes: size_t, flags: c_int, to: *const sockaddr, length: socklen_t
    );
}

/// Functions that move bytes of several buffers.
macro_rules! vectored {
    ($($allowed:ident => fn $name:ident;)*) => {$(
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
            // SAFETY: the caller's arguments, passed on with no more bytes than it has.
            unsafe {
                let all = total(parts, count.max(0) as usize);
                let Some(bytes) = $allowed(fd, all) else { return -1 };
                let call = original!($name, fn(c_int, *const iovec, c_int) -> ssize_t);
                if bytes == all {
                    return call(fd, parts, count);
                }
                let (kept, used) = cut(parts, count.max(0) as usize, bytes);
                call(fd, kept.as_ptr(), used as c_int)
            }
        }
    )*};
}

vectored! {
    read_allowed => fn readv;
    write_allowed => fn writev;
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t {
    // SAFETY: the caller's message; its list of parts is another one only during the call.
    unsafe {
        let (parts, count) = ((*message).msg_iov, (*message).msg_iovlen);
        let all = total(parts, count);
        let Some(bytes) = read_allowed(fd, all) else { return -1 };
        let call = original!(recvmsg, fn(c_int, *mut msghdr, c_int) -> ssize_t);
        if bytes == all {
            return call(fd, message, flags);
        }
        let (mut kept, used) = cut(parts, count, bytes);
        (*message).msg_iov = kept.as_mut_ptr();
        (*message).msg_iovlen = used;
        let read = call(fd, message, flags);
        (*message).msg_iov = parts;
        (*message).msg_iovlen = count;
        read
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    // SAFETY: a copy of the caller's message, with no more bytes than it has.
    unsafe {
        let (parts, count) = ((*message).msg_iov, (*message).msg_iovlen);
        let all = total(parts, count);
        let Some(bytes) = write_allowed(fd, all) else { return -1 };
        let call = original!(sendmsg, fn(c_int, *const msghdr, c_int) -> ssize_t);
        if bytes == all {
            return call(fd, message, flags);
        }
        let (mut kept, used) = cut(parts, count, bytes);
        let mut shorter = *message;
        shorter.msg_iov = kept.as_mut_ptr();
        shorter.msg_iovlen = used;
        call(fd, &shorter, flags)
    }
}

/// Seconds and nanoseconds moved by the planned step.
fn moved(seconds: time_t, nanos: i64) -> (time_t, i64) {
    let sum = nanos + wall_offset();
    (seconds + sum.div_euclid(NANOS_A_SECOND), sum.rem_euclid(NANOS_A_SECOND))
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's arguments, passed on; the time is filled if the call returns 0.
    unsafe {
        let result = original!(clock_gettime, fn(clockid_t, *mut timespec) -> c_int)(clock, time);
        if result == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
            ((*time).tv_sec, (*time).tv_nsec) = moved((*time).tv_sec, (*time).tv_nsec);
        }
        result
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn gettimeofday(time: *mut timeval, zone: *mut c_void) -> c_int {
    // SAFETY: the caller's arguments, passed on; the time is filled if there is room for it.
    unsafe {
        let result = original!(gettimeofday, fn(*mut timeval, *mut c_void) -> c_int)(time, zone);
        if result == 0 && !time.is_null() {
            let (seconds, nanos) = moved((*time).tv_sec, (*time).tv_usec * NANOS_A_MICROSECOND);
            ((*time).tv_sec, (*time).tv_usec) = (seconds, nanos / NANOS_A_MICROSECOND);
        }
        result
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn time(result: *mut time_t) -> time_t {
    let mut now = MaybeUninit::<timespec>::zeroed();
    // SAFETY: the structure is valid when zeroed; the caller's pointer is null or valid.
    unsafe {
        clock_gettime(libc::CLOCK_REALTIME, now.as_mut_ptr());
        let seconds = now.assume_init().tv_sec;
        if !result.is_null() {
            *result = seconds;
        }
        seconds
    }
}
