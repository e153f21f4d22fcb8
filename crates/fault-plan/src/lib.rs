//! Injects faults into the system calls of the real program in tests.
//!
//! A [`FaultPlan`] is a small file of 64-bit words. The shared library built from `loomlb-fault-shim` is preloaded into
//! the program under test, maps this file and reads it before each intercepted call. The test may change the words at
//! any time while the program runs. The layout is private to these two crates.
//!
//! Raw system calls that do not go through the C library (those of `rustix`) are not intercepted.

#![forbid(unsafe_code)]

use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The environment variable with the path of the plan's file, read by the preloaded library.
pub const PLAN_VARIABLE: &str = "LOOMLB_FAULT_PLAN";
/// The file name of the preloaded library, as cargo builds it.
const LIBRARY_FILE: &str = "libloomlb_fault_shim.so";
/// A `count` without a limit.
pub const UNLIMITED: u64 = u64::MAX;

/// A kind of system call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Call {
    /// `socket`.
    Socket,
    /// `bind`.
    Bind,
    /// `listen`.
    Listen,
    /// `accept` and `accept4`.
    Accept,
    /// `connect`, which fails immediately.
    Connect,
    /// `epoll_wait` and `epoll_pwait`.
    EpollWait,
    /// `read`, `readv`, `recv`, `recvfrom` and `recvmsg` on a TCP socket.
    SocketRead,
    /// `write`, `writev`, `send`, `sendto` and `sendmsg` on a TCP socket.
    SocketWrite,
    /// `send`, `sendto` and `sendmsg` on a datagram socket.
    DatagramSend,
    /// `recv`, `recvfrom` and `recvmsg` on a datagram socket.
    DatagramReceive,
    /// `read`, `readv` and `pread` on a regular file.
    FileRead,
    /// `write`, `writev` and `pwrite` on a regular file.
    FileWrite,
    /// `fsync` and `fdatasync` on files and directories.
    Sync,
    /// `open`, `openat` and `creat` for writing or creating.
    OpenForWriting,
    /// `rename`, `renameat` and `renameat2`.
    Rename,
    /// `ftruncate`.
    Truncate,
}

impl Call {
    /// All kinds, in the order of the plan.
    pub const ALL: [Call; 16] = [
        Call::Socket,
        Call::Bind,
        Call::Listen,
        Call::Accept,
        Call::Connect,
        Call::EpollWait,
        Call::SocketRead,
        Call::SocketWrite,
        Call::DatagramSend,
        Call::DatagramReceive,
        Call::FileRead,
        Call::FileWrite,
        Call::Sync,
        Call::OpenForWriting,
        Call::Rename,
        Call::Truncate,
    ];
}

/// One word of a call's slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Field {
    /// Error number of failing calls; 0 for no faults.
    Errno,
    /// Remaining calls that pass before the first fault.
    Skip,
    /// Remaining calls that fail; [`UNLIMITED`] for all.
    Count,
    /// Every nth call fails; 0 and 1 mean every call.
    EveryNth,
    /// Calls since the fault was injected, except skipped ones.
    Seen,
    /// Number of injected failures.
    Hits,
}

/// A limit on the number of bytes that one call transfers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Limit {
    /// Reads of TCP sockets.
    SocketRead,
    /// Writes to TCP sockets.
    SocketWrite,
    /// Reads of regular files.
    FileRead,
    /// Writes to regular files.
    FileWrite,
}

impl Limit {
    const COUNT: usize = 4;
}

const FIELDS_PER_CALL: usize = 6;
const LIMITS_START: usize = Call::ALL.len() * FIELDS_PER_CALL;
const FIELDS_PER_LIMIT: usize = 4;

/// Number of 64-bit words of a plan.
pub const WORD_COUNT: usize = LIMITS_START + Limit::COUNT * FIELDS_PER_LIMIT + 1;
/// Index of the word with the offset of the wall clock, in nanoseconds, as a signed number.
pub const WALL_CLOCK_OFFSET_WORD: usize = WORD_COUNT - 1;

/// Returns the index of a word of a call's slot.
pub const fn call_word(call: Call, field: Field) -> usize {
    call as usize * FIELDS_PER_CALL + field as usize
}

/// One word of a limit's slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum LimitField {
    /// Maximum number of bytes; 0 for no limit.
    Bytes,
    /// Every nth call is limited; 0 and 1 mean every call.
    EveryNth,
    /// Calls that exceeded the limit, shortened or not.
    Seen,
    /// Number of shortened calls.
    Hits,
}

/// Returns the index of a word of a limit's slot.
pub const fn limit_word(limit: Limit, field: LimitField) -> usize {
    LIMITS_START + limit as usize * FIELDS_PER_LIMIT + field as usize
}

/// Which calls of a kind fail.
#[derive(Clone, Copy, Debug)]
pub struct FaultSchedule {
    /// Number of calls that pass first.
    pub skip: u64,
    /// Number of calls that fail afterwards; [`UNLIMITED`] for all.
    pub count: u64,
    /// The first of every n calls fails; 0 and 1 mean every call.
    pub every_nth: u64,
}

/// A plan of system call faults. Dropping it removes the file; a program that has mapped the file continues to use it.
#[derive(Debug)]
pub struct FaultPlan {
    file: File,
    path: PlanPath,
}

/// The path of the plan's file, and whether this plan owns it.
#[derive(Debug)]
enum PlanPath {
    /// Created by this plan, and removed when it is dropped.
    Owned(tempfile::TempPath),
    /// Created by the test that started this process.
    Inherited(PathBuf),
}

impl FaultPlan {
    /// Creates a plan without faults.
    pub fn new() -> io::Result<FaultPlan> {
        let (file, path) = tempfile::NamedTempFile::new()?.into_parts();
        file.set_len((WORD_COUNT * size_of::<u64>()) as u64)?;
        Ok(FaultPlan { file, path: PlanPath::Owned(path) })
    }

    /// Returns the plan of the current process, or `None` if it runs without one.
    pub fn inherited() -> Option<FaultPlan> {
        let path = PathBuf::from(std::env::var_os(PLAN_VARIABLE)?);
        let file = File::options().read(true).write(true).open(&path).ok()?;
        Some(FaultPlan { file, path: PlanPath::Inherited(path) })
    }

    /// Returns the path of the plan's file.
    pub fn path(&self) -> &Path {
        match &self.path {
            PlanPath::Owned(path) => path,
            PlanPath::Inherited(path) => path,
        }
    }

    /// Makes the next `count` calls of a kind fail with an error number.
    pub fn fail(&self, call: Call, errno: i32, count: u64) -> &FaultPlan {
        self.fail_after(call, errno, 0, count)
    }

    /// Makes `count` calls of a kind fail after `skip` calls have passed.
    pub fn fail_after(&self, call: Call, errno: i32, skip: u64, count: u64) -> &FaultPlan {
        self.inject(call, errno, FaultSchedule { skip, count, every_nth: 1 })
    }

    /// Makes every `nth` call fail, without a limit.
    pub fn fail_every(&self, call: Call, errno: i32, nth: u64) -> &FaultPlan {
        self.inject(call, errno, FaultSchedule { skip: 0, count: UNLIMITED, every_nth: nth })
    }

    /// Ends the faults of a kind of call.
    pub fn allow(&self, call: Call) -> &FaultPlan {
        self.write(call_word(call, Field::Errno), 0);
        self
    }

    /// Limits each call to a number of bytes; 0 for no limit.
    pub fn limit(&self, limit: Limit, bytes: u64) -> &FaultPlan {
        self.limit_every(limit, bytes, 1)
    }

    /// Limits every `nth` call to a number of bytes.
    pub fn limit_every(&self, limit: Limit, bytes: u64, nth: u64) -> &FaultPlan {
        self.write(limit_word(limit, LimitField::EveryNth), nth);
        self.write(limit_word(limit, LimitField::Bytes), bytes);
        self
    }

    /// Limits each read from a TCP socket to a number of bytes.
    pub fn short_reads(&self, bytes: u64) -> &FaultPlan {
        self.limit(Limit::SocketRead, bytes)
    }

    /// Limits each write to a TCP socket to a number of bytes.
    pub fn short_writes(&self, bytes: u64) -> &FaultPlan {
        self.limit(Limit::SocketWrite, bytes)
    }

    /// Sets the offset of the wall clock from its true time, in nanoseconds.
    pub fn step_wall_clock(&self, nanos: i64) -> &FaultPlan {
        self.write(WALL_CLOCK_OFFSET_WORD, nanos as u64);
        self
    }

    /// Returns the number of injected failures of a kind of call.
    pub fn hits(&self, call: Call) -> u64 {
        self.read(call_word(call, Field::Hits))
    }

    /// Returns the number of calls that were shortened by a limit.
    pub fn shortened_calls(&self, limit: Limit) -> u64 {
        self.read(limit_word(limit, LimitField::Hits))
    }

    /// Sets the environment of a command so that the program runs under this plan.
    pub fn apply(&self, command: &mut Command) {
        command.env("LD_PRELOAD", library()).env(PLAN_VARIABLE, self.path());
    }

    /// Returns a command line that runs `program` under this plan, for callers that don't use a [`Command`].
    pub fn wrap(&self, program: impl Into<OsString>) -> Vec<OsString> {
        let assignment = |name: &str, value: &Path| {
            let mut text = OsString::from(name);
            text.push("=");
            text.push(value);
            text
        };
        let preload = assignment("LD_PRELOAD", &library());
        vec!["/usr/bin/env".into(), preload, assignment(PLAN_VARIABLE, self.path()), program.into()]
    }

    /// Makes calls of a kind fail with an error number by a schedule, which replaces an earlier one.
    pub fn inject(&self, call: Call, errno: i32, schedule: FaultSchedule) -> &FaultPlan {
        let words = [
            (Field::Errno, 0),
            (Field::Skip, schedule.skip),
            (Field::Count, schedule.count),
            (Field::EveryNth, schedule.every_nth),
            (Field::Seen, 0),
            // The error number is written last, because it activates the fault.
            (Field::Errno, errno as u64),
        ];
        for (field, value) in words {
            self.write(call_word(call, field), value);
        }
        self
    }

    fn write(&self, word: usize, value: u64) {
        let offset = (word * size_of::<u64>()) as u64;
        self.file.write_all_at(&value.to_ne_bytes(), offset).expect("write the fault plan's file");
    }

    fn read(&self, word: usize) -> u64 {
        let mut bytes = [0; size_of::<u64>()];
        let offset = (word * size_of::<u64>()) as u64;
        self.file.read_exact_at(&mut bytes, offset).expect("read the fault plan's file");
        u64::from_ne_bytes(bytes)
    }
}

/// Returns the path of the preloaded library, which cargo builds next to the tests that depend on it.
///
/// # Panics
///
/// If the library isn't there.
pub fn library() -> PathBuf {
    let test = std::env::current_exe().expect("path of the test executable");
    let directory = test.parent().expect("directory of the test executable");
    let candidates = [directory.join(LIBRARY_FILE), directory.join("deps").join(LIBRARY_FILE)];
    let found = candidates.iter().find(|candidate| candidate.exists());
    found.unwrap_or_else(|| panic!("{LIBRARY_FILE} not found in {}", directory.display())).clone()
}
