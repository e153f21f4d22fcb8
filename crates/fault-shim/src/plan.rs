//! Access to the test's fault plan, which is mapped into the program.

use libc::{c_char, c_int, c_void};
use loomlb_fault_plan::{
    Call, Field, Limit, LimitField, PLAN_VARIABLE, UNLIMITED, WALL_CLOCK_OFFSET_WORD, WORD_COUNT, call_word,
    limit_word,
};
use std::ptr::null_mut;
use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

static PLAN: AtomicPtr<AtomicU64> = AtomicPtr::new(null_mut());

/// The name of the variable with a terminating zero byte.
const VARIABLE_C_STRING: [u8; PLAN_VARIABLE.len() + 1] = {
    let mut name = [0; PLAN_VARIABLE.len() + 1];
    let mut index = 0;
    while index < PLAN_VARIABLE.len() {
        name[index] = PLAN_VARIABLE.as_bytes()[index];
        index += 1;
    }
    name
};

#[used]
#[unsafe(link_section = ".init_array")]
static MAP_AT_LOAD: extern "C" fn() = map;

/// Maps the plan's file, if the environment names one.
extern "C" fn map() {
    // SAFETY: the name ends with a zero byte. The path stays valid while this runs, as nothing changes the environment
    // before `main`. The mapping is never unmapped, and is read and written through atomics alone.
    unsafe {
        let path: *const c_char = libc::getenv(VARIABLE_C_STRING.as_ptr().cast());
        if path.is_null() {
            return;
        }
        let fd =
            libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, libc::O_RDWR | libc::O_CLOEXEC, 0) as c_int;
        if fd < 0 {
            return;
        }
        let (length, access) = (WORD_COUNT * size_of::<u64>(), libc::PROT_READ | libc::PROT_WRITE);
        let mapped = libc::mmap(null_mut(), length, access, libc::MAP_SHARED, fd, 0);
        libc::close(fd);
        if mapped != libc::MAP_FAILED {
            PLAN.store(mapped.cast::<AtomicU64>(), Ordering::Release);
        }
    }
}

fn word(index: usize) -> Option<&'static AtomicU64> {
    let plan = PLAN.load(Ordering::Acquire);
    if plan.is_null() || index >= WORD_COUNT {
        return None;
    }
    // SAFETY: the mapping is `WORD_COUNT` words long and lives until the process ends.
    Some(unsafe { &*plan.add(index) })
}

/// Decrements a number unless it is 0 or unlimited. Returns false if it is 0.
fn decrement(number: &AtomicU64) -> bool {
    let decremented = |value: u64| if value == UNLIMITED { Some(value) } else { value.checked_sub(1) };
    number.fetch_update(Ordering::AcqRel, Ordering::Acquire, decremented).is_ok()
}

/// Counts a call, and returns whether it is one of every nth calls.
fn is_nth_call(seen: &AtomicU64, every_nth: &AtomicU64) -> bool {
    let call_number = seen.fetch_add(1, Ordering::AcqRel);
    call_number.is_multiple_of(every_nth.load(Ordering::Acquire).max(1))
}

/// Returns the error number with which this call must fail.
fn planned_errno(call: Call) -> Option<c_int> {
    let errno = word(call_word(call, Field::Errno))?.load(Ordering::Acquire) as c_int;
    if errno == 0 || decrement(word(call_word(call, Field::Skip))?) {
        return None;
    }
    if !is_nth_call(word(call_word(call, Field::Seen))?, word(call_word(call, Field::EveryNth))?) {
        return None;
    }
    if !decrement(word(call_word(call, Field::Count))?) {
        return None;
    }
    word(call_word(call, Field::Hits))?.fetch_add(1, Ordering::AcqRel);
    Some(errno)
}

/// Returns whether this call must fail, and sets `errno` if so.
pub(crate) fn should_fail(call: Call) -> bool {
    let Some(errno) = planned_errno(call) else { return false };
    // SAFETY: the location of this thread's `errno` is valid.
    unsafe { *libc::__errno_location() = errno };
    true
}

/// Returns the number of bytes that the call may transfer.
pub(crate) fn allowed_bytes(limit: Limit, bytes: usize) -> usize {
    shortened_length(limit, bytes).unwrap_or(bytes)
}

fn shortened_length(limit: Limit, bytes: usize) -> Option<usize> {
    let max_bytes = word(limit_word(limit, LimitField::Bytes))?.load(Ordering::Acquire) as usize;
    if max_bytes == 0 || bytes <= max_bytes {
        return None;
    }
    if !is_nth_call(
        word(limit_word(limit, LimitField::Seen))?,
        word(limit_word(limit, LimitField::EveryNth))?,
    ) {
        return None;
    }
    word(limit_word(limit, LimitField::Hits))?.fetch_add(1, Ordering::AcqRel);
    Some(max_bytes)
}

/// Returns the offset of the wall clock in nanoseconds.
pub(crate) fn wall_clock_offset() -> i64 {
    word(WALL_CLOCK_OFFSET_WORD).map_or(0, |offset| offset.load(Ordering::Acquire) as i64)
}

/// The C library's implementation of an intercepted function.
pub(crate) struct Original {
    name: &'static [u8],
    address: AtomicPtr<c_void>,
}

impl Original {
    /// Creates it for a name that ends with a zero byte.
    pub(crate) const fn new(name: &'static [u8]) -> Original {
        Original { name, address: AtomicPtr::new(null_mut()) }
    }

    /// Returns the address of the function, which is looked up once. Aborts the process if it doesn't exist.
    pub(crate) fn address(&self) -> *mut c_void {
        let known_address = self.address.load(Ordering::Acquire);
        if !known_address.is_null() {
            return known_address;
        }
        // SAFETY: the name ends with a zero byte; `abort` does not return.
        let address = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr().cast()) };
        if address.is_null() {
            // SAFETY: ends the process.
            unsafe { libc::abort() };
        }
        self.address.store(address, Ordering::Release);
        address
    }
}
