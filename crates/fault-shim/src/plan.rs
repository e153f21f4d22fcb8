//! The plan of the test, mapped into the program.

use libc::{c_char, c_int, c_void};
use loomlb_fault_plan::{
    Call, Field, Limit, LimitField, PLAN_VARIABLE, UNLIMITED, WALL_CLOCK_OFFSET_WORD, WORD_COUNT, call_word,
    limit_word,
};
use std::ptr::null_mut;
use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

static PLAN: AtomicPtr<AtomicU64> = AtomicPtr::new(null_mut());

/// The variable's name as the C library wants it.
const VARIABLE: [u8; PLAN_VARIABLE.len() + 1] = {
    let mut name = [0; PLAN_VARIABLE.len() + 1];
    let mut at = 0;
    while at < PLAN_VARIABLE.len() {
        name[at] = PLAN_VARIABLE.as_bytes()[at];
        at += 1;
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
        let path: *const c_char = libc::getenv(VARIABLE.as_ptr().cast());
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

/// Takes one from a number that is above 0; false if there is none to take.
fn take_one(number: &AtomicU64) -> bool {
    let less = |n: u64| if n == UNLIMITED { Some(n) } else { n.checked_sub(1) };
    number.fetch_update(Ordering::AcqRel, Ordering::Acquire, less).is_ok()
}

/// Whether this one of many calls is meant.
fn is_turn(seen: &AtomicU64, every_nth: &AtomicU64) -> bool {
    let turn = seen.fetch_add(1, Ordering::AcqRel);
    turn.is_multiple_of(every_nth.load(Ordering::Acquire).max(1))
}

/// The error number that this call is to fail with.
fn planned(call: Call) -> Option<c_int> {
    let errno = word(call_word(call, Field::Errno))?.load(Ordering::Acquire) as c_int;
    if errno == 0 || take_one(word(call_word(call, Field::Skip))?) {
        return None;
    }
    if !is_turn(word(call_word(call, Field::Seen))?, word(call_word(call, Field::EveryNth))?) {
        return None;
    }
    if !take_one(word(call_word(call, Field::Count))?) {
        return None;
    }
    word(call_word(call, Field::Hits))?.fetch_add(1, Ordering::AcqRel);
    Some(errno)
}

/// Whether this call fails; the error number is set then.
pub(crate) fn fails(call: Call) -> bool {
    let Some(errno) = planned(call) else { return false };
    // SAFETY: the C library's own error number of this thread.
    unsafe { *libc::__errno_location() = errno };
    true
}

/// How many of these bytes the call may move.
pub(crate) fn allowed(limit: Limit, bytes: usize) -> usize {
    shortened(limit, bytes).unwrap_or(bytes)
}

fn shortened(limit: Limit, bytes: usize) -> Option<usize> {
    let most = word(limit_word(limit, LimitField::Bytes))?.load(Ordering::Acquire) as usize;
    if most == 0 || bytes <= most {
        return None;
    }
    if !is_turn(word(limit_word(limit, LimitField::Seen))?, word(limit_word(limit, LimitField::EveryNth))?) {
        return None;
    }
    word(limit_word(limit, LimitField::Hits))?.fetch_add(1, Ordering::AcqRel);
    Some(most)
}

/// The step of the wall clock in nanoseconds.
pub(crate) fn wall_offset() -> i64 {
    word(WALL_CLOCK_OFFSET_WORD).map_or(0, |offset| offset.load(Ordering::Acquire) as i64)
}

/// The C library's own function behind one of ours.
pub(crate) struct Original {
    name: &'static [u8],
    found: AtomicPtr<c_void>,
}

impl Original {
    /// Of a name that ends with a zero byte.
    pub(crate) const fn new(name: &'static [u8]) -> Original {
        Original { name, found: AtomicPtr::new(null_mut()) }
    }

    /// Its address, looked up once; the process ends if there is none, as no call could pass.
    pub(crate) fn address(&self) -> *mut c_void {
        let found = self.found.load(Ordering::Acquire);
        if !found.is_null() {
            return found;
        }
        // SAFETY: the name ends with a zero byte; `abort` does not return.
        let address = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr().cast()) };
        if address.is_null() {
            // SAFETY: ends the process.
            unsafe { libc::abort() };
        }
        self.found.store(address, Ordering::Release);
        address
    }
}
