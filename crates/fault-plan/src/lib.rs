//! Fault injection for tests of the real program: which of its system calls fail, and how.
//!
//! A [`FaultPlan`] is a small file of 64-bit words. The shared library built from `loomlb-fault-shim` is preloaded into
//! the program under test, maps this file and consults it before each call that it intercepts; the test writes the
//! same words through the file, at any time while the program runs. The layout is private to these two crates.
//!
//! Raw system calls that do not go through the C library (those of `rustix`) are not intercepted.

#![forbid(unsafe_code)]

use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The environment variable that names the plan's file to the preloaded library.
pub const PLAN_VARIABLE: &str = "LOOMLB_FAULT_PLAN";
/// The file name of the preloaded library, as cargo builds it.
const LIBRARY: &str = "libloomlb_fault_shim.so";
/// A `count` that never runs out.
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
    /// `connect`, which fails at once.
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
    /// `fsync` and `fdatasync`, of a directory too.
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
    /// The error number to fail with; 0 lets calls pass.
    Errno,
    /// Calls that still pass before any fails.
    Skip,
    /// Calls that still fail; [`UNLIMITED`] for all.
    Count,
    /// One of so many calls fails; 0 and 1 stand for each.
    EveryNth,
    /// Calls seen since a fault was planned, those skipped left out.
    Seen,
    /// Calls that have failed so.
    Hits,
}

/// A limit on the bytes that one call moves.
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

const FIELDS: usize = 6;
const CALLS_END: usize = Call::ALL.len() * FIELDS;
const LIMIT_FIELDS: usize = 4;

/// The number of 64-bit words of a plan.
pub const WORD_COUNT: usize = CALLS_END + Limit::COUNT * LIMIT_FIELDS + 1;
/// The word that holds the step of the wall clock, in nanoseconds, as a signed number.
pub const WALL_CLOCK_OFFSET_WORD: usize = WORD_COUNT - 1;

/// Where a word of a call's slot is.
pub const fn call_word(call: Call, field: Field) -> usize {
    call as usize * FIELDS + field as usize
}

/// One word of a limit's slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum LimitField {
    /// Bytes at most; 0 for no limit.
    Bytes,
    /// One of so many calls is limited; 0 and 1 stand for each.
    EveryNth,
    /// Calls seen since there is a limit.
    Seen,
    /// Calls whose length was cut.
    Hits,
}

/// Where a word of a limit's slot is.
pub const fn limit_word(limit: Limit, field: LimitField) -> usize {
    CALLS_END + limit as usize * LIMIT_FIELDS + field as usize
}

/// Which calls of a kind fail.
#[derive(Clone, Copy, Debug)]
pub struct FaultSchedule {
    /// So many pass first.
    pub skip: u64,
    /// So many fail then; [`UNLIMITED`] for all.
    pub count: u64,
    /// One of so many fails, the first of them; 0 and 1 stand for each.
    pub every_nth: u64,
}

/// Which system calls of a program fail. Dropping it removes the file; a program that has it mapped goes on with it.
#[derive(Debug)]
pub struct FaultPlan {
    file: File,
    path: Place,
}

/// Whose the plan's file is.
#[derive(Debug)]
enum Place {
    /// Ours, and removed with the plan.
    Own(tempfile::TempPath),
    /// That of the test which has started this process.
    Inherited(PathBuf),
}

impl FaultPlan {
    /// A plan under which everything passes.
    pub fn new() -> io::Result<FaultPlan> {
        let (file, path) = tempfile::NamedTempFile::new()?.into_parts();
        file.set_len((WORD_COUNT * size_of::<u64>()) as u64)?;
        Ok(FaultPlan { file, path: Place::Own(path) })
    }

    /// The plan that this process runs under, if it runs under one.
    pub fn inherited() -> Option<FaultPlan> {
        let path = PathBuf::from(std::env::var_os(PLAN_VARIABLE)?);
        let file = File::options().read(true).write(true).open(&path).ok()?;
        Some(FaultPlan { file, path: Place::Inherited(path) })
    }

    /// The plan's file.
    pub fn path(&self) -> &Path {
        match &self.path {
            Place::Own(path) => path,
            Place::Inherited(path) => path,
        }
    }

    /// Has the next `count` calls of a kind fail with this error number.
    pub fn fail(&self, call: Call, errno: i32, count: u64) -> &FaultPlan {
        self.fail_after(call, errno, 0, count)
    }

    /// The same after `skip` calls have passed.
    pub fn fail_after(&self, call: Call, errno: i32, skip: u64, count: u64) -> &FaultPlan {
        self.inject(call, errno, FaultSchedule { skip, count, every_nth: 1 })
    }

    /// Has one call of `nth` fail, without end.
    pub fn fail_every(&self, call: Call, errno: i32, nth: u64) -> &FaultPlan {
        self.inject(call, errno, FaultSchedule { skip: 0, count: UNLIMITED, every_nth: nth })
    }

    /// Lets calls of a kind pass again.
    pub fn allow(&self, call: Call) -> &FaultPlan {
        self.write(call_word(call, Field::Errno), 0);
        self
    }

    /// Has each call move at most so many bytes; 0 for no limit.
    pub fn limit(&self, limit: Limit, bytes: u64) -> &FaultPlan {
        self.limit_every(limit, bytes, 1)
    }

    /// Has one call of `nth` move at most so many bytes.
    pub fn limit_every(&self, limit: Limit, bytes: u64, nth: u64) -> &FaultPlan {
        self.write(limit_word(limit, LimitField::EveryNth), nth);
        self.write(limit_word(limit, LimitField::Bytes), bytes);
        self
    }

    /// Reads of sockets bring at most so many bytes each.
    pub fn short_reads(&self, bytes: u64) -> &FaultPlan {
        self.limit(Limit::SocketRead, bytes)
    }

    /// Writes to sockets take at most so many bytes each.
    pub fn short_writes(&self, bytes: u64) -> &FaultPlan {
        self.limit(Limit::SocketWrite, bytes)
    }

    /// Moves the wall clock by so many nanoseconds from its true time, in place of an earlier step.
    pub fn step_wall_clock(&self, nanos: i64) -> &FaultPlan {
        self.write(WALL_CLOCK_OFFSET_WORD, nanos as u64);
        self
    }

    /// Calls of a kind that have failed by this plan.
    pub fn hits(&self, call: Call) -> u64 {
        self.read(call_word(call, Field::Hits))
    }

    /// Calls whose length was cut by this plan.
    pub fn shortened_calls(&self, limit: Limit) -> u64 {
        self.read(limit_word(limit, LimitField::Hits))
    }

    /// Has a program start under this plan.
    pub fn apply(&self, command: &mut Command) {
        command.env("LD_PRELOAD", library()).env(PLAN_VARIABLE, self.path());
    }

    /// A command line that runs `program` under this plan, for what takes arguments in place of a [`Command`].
    pub fn wrap(&self, program: impl Into<OsString>) -> Vec<OsString> {
        let variable = |name: &str, value: &Path| {
            let mut text = OsString::from(name);
            text.push("=");
            text.push(value);
            text
        };
        let preload = variable("LD_PRELOAD", &library());
        vec!["/usr/bin/env".into(), preload, variable(PLAN_VARIABLE, self.path()), program.into()]
    }

    /// Has calls of a kind fail with this error number, in place of what was planned for them.
    pub fn inject(&self, call: Call, errno: i32, schedule: FaultSchedule) -> &FaultPlan {
        let words = [
            (Field::Errno, 0),
            (Field::Skip, schedule.skip),
            (Field::Count, schedule.count),
            (Field::EveryNth, schedule.every_nth),
            (Field::Seen, 0),
            // Last: from here on calls fail.
            (Field::Errno, errno as u64),
        ];
        for (field, value) in words {
            self.write(call_word(call, field), value);
        }
        self
    }

    fn write(&self, word: usize, value: u64) {
        let at = (word * size_of::<u64>()) as u64;
        self.file.write_all_at(&value.to_ne_bytes(), at).expect("the plan's file can be written");
    }

    fn read(&self, word: usize) -> u64 {
        let mut bytes = [0; size_of::<u64>()];
        let at = (word * size_of::<u64>()) as u64;
        self.file.read_exact_at(&mut bytes, at).expect("the plan's file can be read");
        u64::from_ne_bytes(bytes)
    }
}

/// Where cargo has built the library: beside the tests, as a dependency of theirs.
pub fn library() -> PathBuf {
    let test = std::env::current_exe().expect("a test knows its own file");
    let folder = test.parent().expect("a file is in a folder");
    let places = [folder.join(LIBRARY), folder.join("deps").join(LIBRARY)];
    let found = places.iter().find(|place| place.exists());
    found.unwrap_or_else(|| panic!("{LIBRARY}: not in {}", folder.display())).clone()
}
