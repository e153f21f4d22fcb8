//! The intercepted functions of the C library. Each has the signature and the safety contract of the original function.
//! It fails as planned, or calls the original.
#![allow(clippy::missing_safety_doc, missing_docs, reason = "the contracts are those of the C library")]

use crate::plan::{Original, allowed_bytes, should_fail, wall_clock_offset};
use libc::{
    c_char, c_int, c_uint, c_void, clockid_t, epoll_event, iovec, mode_t, msghdr, off_t, off64_t, sigset_t,
    size_t, sockaddr, socklen_t, ssize_t, time_t, timespec, timeval,
};
use loomlb_fault_plan::{Call, Limit};
use std::mem::{MaybeUninit, transmute};

const NANOS_PER_SECOND: i64 = 1_000_000_000;
const NANOS_PER_MICROSECOND: i64 = 1_000;
/// Maximum number of buffers of a vectored call that is shortened.
const MAX_BUFFERS: usize = 16;

/// The kinds of descriptors that a plan distinguishes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DescriptorKind {
    Tcp,
    Datagram,
    File,
    Other,
}

fn socket_option(fd: c_int, name: c_int) -> c_int {
    let mut value: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: value and length outlive the call, and the length is that of the value.
    let read = unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, name, (&raw mut value).cast(), &mut length) };
    if read == 0 { value } else { -1 }
}

fn descriptor_kind(fd: c_int) -> DescriptorKind {
    let mut status = MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: the error number is this thread's own; `fstat` fills the structure or fails.
    let (errno, mode) = unsafe {
        let errno = *libc::__errno_location();
        let succeeded = libc::fstat(fd, status.as_mut_ptr()) == 0;
        (errno, if succeeded { status.assume_init().st_mode } else { 0 })
    };
    let kind = match mode & libc::S_IFMT {
        libc::S_IFREG => DescriptorKind::File,
        libc::S_IFSOCK if socket_option(fd, libc::SO_TYPE) == libc::SOCK_DGRAM => DescriptorKind::Datagram,
        libc::S_IFSOCK if matches!(socket_option(fd, libc::SO_DOMAIN), libc::AF_INET | libc::AF_INET6) => {
            DescriptorKind::Tcp
        }
        _ => DescriptorKind::Other,
    };
    // SAFETY: as above. Restores the error number, which the caller may still read.
    unsafe { *libc::__errno_location() = errno };
    kind
}

/// Returns the number of bytes that a read may transfer, or `None` if it must fail.
fn read_allowed(fd: c_int, bytes: usize) -> Option<usize> {
    let (call, limit) = match descriptor_kind(fd) {
        DescriptorKind::Tcp => (Call::SocketRead, Some(Limit::SocketRead)),
        DescriptorKind::Datagram => (Call::DatagramReceive, None),
        DescriptorKind::File => (Call::FileRead, Some(Limit::FileRead)),
        DescriptorKind::Other => return Some(bytes),
    };
    if should_fail(call) { None } else { Some(limit.map_or(bytes, |limit| allowed_bytes(limit, bytes))) }
}

/// Returns the number of bytes that a write may transfer, or `None` if it must fail.
fn write_allowed(fd: c_int, bytes: usize) -> Option<usize> {
    let (call, limit) = match descriptor_kind(fd) {
        DescriptorKind::Tcp => (Call::SocketWrite, Some(Limit::SocketWrite)),
        DescriptorKind::Datagram => (Call::DatagramSend, None),
        DescriptorKind::File => (Call::FileWrite, Some(Limit::FileWrite)),
        DescriptorKind::Other => return Some(bytes),
    };
    if should_fail(call) { None } else { Some(limit.map_or(bytes, |limit| allowed_bytes(limit, bytes))) }
}

/// Returns the total length of the buffers of a vectored call.
unsafe fn total_length(buffers: *const iovec, count: usize) -> usize {
    // SAFETY: the caller passes `count` buffers.
    (0..count).map(|index| unsafe { (*buffers.add(index)).iov_len }).fold(0, usize::saturating_add)
}

/// Returns the buffers shortened to a total length, and their number.
unsafe fn shorten_buffers(
    buffers: *const iovec,
    count: usize,
    bytes: usize,
) -> ([iovec; MAX_BUFFERS], usize) {
    let mut shortened = [iovec { iov_base: std::ptr::null_mut(), iov_len: 0 }; MAX_BUFFERS];
    let (mut remaining, mut used) = (bytes, 0);
    while used < count.min(MAX_BUFFERS) && remaining > 0 {
        // SAFETY: the caller passes `count` buffers.
        let buffer = unsafe { *buffers.add(used) };
        shortened[used] = iovec { iov_len: buffer.iov_len.min(remaining), ..buffer };
        remaining -= shortened[used].iov_len;
        used += 1;
    }
    (shortened, used)
}

/// The C library's function of the same name, cast to its type.
macro_rules! original {
    ($name:ident, fn($($arg:ty),*) -> $ret:ty) => {{
        static ORIGINAL: Original = Original::new(concat!(stringify!($name), "\0").as_bytes());
        // The C library\'s function of this name has this type. The caller\'s unsafe block states why the call is safe.
        transmute::<*mut c_void, unsafe extern "C" fn($($arg),*) -> $ret>(ORIGINAL.address())
    }};
}

/// Defines functions that fail or call the original unchanged.
macro_rules! intercept_fallible {
    ($($call:expr => fn $name:ident($($arg:ident: $type:ty),*) -> $ret:ty;)*) => {$(
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($arg: $type),*) -> $ret {
            if should_fail($call) {
                return -1;
            }
            // SAFETY: the caller's arguments, passed on.
            unsafe { original!($name, fn($($type),*) -> $ret)($($arg),*) }
        }
    )*};
}

intercept_fallible! {
    Call::Socket => fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    Call::Bind => fn bind(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int;
    Call::Listen => fn listen(fd: c_int, backlog: c_int) -> c_int;
    Call::Accept => fn accept(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int;
    Call::Accept => fn accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int;
    Call::Connect => fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int;
    Call::EpollWait => fn epoll_wait(epoll: c_int, events: *mut epoll_event, max_events: c_int, timeout: c_int) -> c_int;
    Call::EpollWait => fn epoll_pwait(
        epoll: c_int, events: *mut epoll_event, max_events: c_int, timeout: c_int, mask: *const sigset_t
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

/// Defines functions that open a file, which only fail when opening for writing. The mode is an optional argument in C;
/// it is always forwarded, because the C library ignores it unless the flags require it.
macro_rules! intercept_open {
    ($(fn $name:ident($($arg:ident: $type:ty),*; $flags:ident);)*) => {$(
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($arg: $type,)* $flags: c_int, mode: mode_t) -> c_int {
            if $flags & (libc::O_WRONLY | libc::O_RDWR | libc::O_CREAT) != 0 && should_fail(Call::OpenForWriting) {
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

intercept_open! {
    fn open(path: *const c_char; flags);
    fn open64(path: *const c_char; flags);
    fn openat(directory: c_int, path: *const c_char; flags);
    fn openat64(directory: c_int, path: *const c_char; flags);
}

/// Defines functions that transfer one buffer.
macro_rules! intercept_transfer {
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

intercept_transfer! {
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

/// Defines functions that transfer several buffers.
macro_rules! intercept_vectored {
    ($($allowed:ident => fn $name:ident;)*) => {$(
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
            // SAFETY: the caller's arguments, passed on with no more bytes than it has.
            unsafe {
                let total_bytes = total_length(buffers, count.max(0) as usize);
                let Some(bytes) = $allowed(fd, total_bytes) else { return -1 };
                let call = original!($name, fn(c_int, *const iovec, c_int) -> ssize_t);
                if bytes == total_bytes {
                    return call(fd, buffers, count);
                }
                let (shortened, used) = shorten_buffers(buffers, count.max(0) as usize, bytes);
                call(fd, shortened.as_ptr(), used as c_int)
            }
        }
    )*};
}

intercept_vectored! {
    read_allowed => fn readv;
    write_allowed => fn writev;
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t {
    // SAFETY: the caller's message is valid; its list of buffers is replaced only during the call.
    unsafe {
        let (buffers, count) = ((*message).msg_iov, (*message).msg_iovlen);
        let total_bytes = total_length(buffers, count);
        let Some(bytes) = read_allowed(fd, total_bytes) else { return -1 };
        let call = original!(recvmsg, fn(c_int, *mut msghdr, c_int) -> ssize_t);
        if bytes == total_bytes {
            return call(fd, message, flags);
        }
        let (mut shortened, used) = shorten_buffers(buffers, count, bytes);
        (*message).msg_iov = shortened.as_mut_ptr();
        (*message).msg_iovlen = used;
        let read = call(fd, message, flags);
        (*message).msg_iov = buffers;
        (*message).msg_iovlen = count;
        read
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    // SAFETY: a copy of the caller's message, with no more bytes than it has.
    unsafe {
        let (buffers, count) = ((*message).msg_iov, (*message).msg_iovlen);
        let total_bytes = total_length(buffers, count);
        let Some(bytes) = write_allowed(fd, total_bytes) else { return -1 };
        let call = original!(sendmsg, fn(c_int, *const msghdr, c_int) -> ssize_t);
        if bytes == total_bytes {
            return call(fd, message, flags);
        }
        let (mut shortened, used) = shorten_buffers(buffers, count, bytes);
        let mut shortened_message = *message;
        shortened_message.msg_iov = shortened.as_mut_ptr();
        shortened_message.msg_iovlen = used;
        call(fd, &shortened_message, flags)
    }
}

/// Adds the planned offset to a time in seconds and nanoseconds.
fn shifted_time(seconds: time_t, nanos: i64) -> (time_t, i64) {
    let sum = nanos + wall_clock_offset();
    (seconds + sum.div_euclid(NANOS_PER_SECOND), sum.rem_euclid(NANOS_PER_SECOND))
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's arguments, passed on; the time is filled if the call returns 0.
    unsafe {
        let result = original!(clock_gettime, fn(clockid_t, *mut timespec) -> c_int)(clock, time);
        if result == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
            ((*time).tv_sec, (*time).tv_nsec) = shifted_time((*time).tv_sec, (*time).tv_nsec);
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
            let (seconds, nanos) = shifted_time((*time).tv_sec, (*time).tv_usec * NANOS_PER_MICROSECOND);
            ((*time).tv_sec, (*time).tv_usec) = (seconds, nanos / NANOS_PER_MICROSECOND);
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
