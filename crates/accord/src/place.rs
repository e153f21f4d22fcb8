//! A place for what must last: the file operations under a voter's log, as a trait, so that a failing disk can be put
//! beneath it. The real file, and one in memory that tears, shortens, fills up, fails to sync and loses power.

use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Where a file may stand. One opener at a time.
pub trait Place: std::fmt::Debug {
    /// Its name, for messages.
    fn name(&self) -> String;
    /// Opens it for this opener alone, or makes it where `create` says so. `NotFound` if it is not there, `WouldBlock`
    /// while another has it.
    fn open(&self, create: bool) -> io::Result<Box<dyn Lasting>>;
}

/// An opened file that grows at its end.
pub trait Lasting: std::fmt::Debug {
    /// All that it holds.
    fn read(&mut self) -> io::Result<Vec<u8>>;
    /// Writes some of these bytes at the end, at least one; how many. They last once [`Lasting::sync`] returns well.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;
    /// What was written lasts. After an error nobody knows what does, and another call tells nothing.
    fn sync(&mut self) -> io::Result<()>;
    /// Cuts it to this length.
    fn cut(&mut self, length: u64) -> io::Result<()>;
    /// Puts these bytes in the place of all: whoever opens it after a crash finds the old ones or the new ones, whole.
    fn swap(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Its name lasts.
    fn sync_name(&mut self) -> io::Result<()>;
}

impl Place for PathBuf {
    fn name(&self) -> String {
        self.display().to_string()
    }

    fn open(&self, create: bool) -> io::Result<Box<dyn Lasting>> {
        let file = OpenOptions::new().create(create).read(true).append(true).open(self)?;
        lock(&file)?;
        Ok(Box::new(OnDisk { file, path: self.clone() }))
    }
}

/// Takes a file for this process alone; `WouldBlock` while another has it.
fn lock(file: &File) -> io::Result<()> {
    Ok(rustix::fs::flock(file, rustix::fs::FlockOperation::NonBlockingLockExclusive)?)
}

#[derive(Debug)]
struct OnDisk {
    file: File,
    path: PathBuf,
}

impl Lasting for OnDisk {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.file.write(bytes)
    }
    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }
    fn cut(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }
    fn swap(&mut self, bytes: &[u8]) -> io::Result<()> {
        let fresh = self.path.with_extension("new");
        let mut file = File::create(&fresh)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        lock(&file)?;
        std::fs::rename(&fresh, &self.path)?;
        self.sync_name()?;
        // It goes on where the new file ends; the lock on the old one goes with it.
        self.file = file;
        Ok(())
    }
    fn sync_name(&mut self) -> io::Result<()> {
        let directory = self.path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        File::open(directory)?.sync_all()
    }
}

/// What goes wrong at the next operation that it concerns, once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No write puts down more than so many bytes at a time, from now on.
    Short(usize),
    /// So many bytes find room in the next write, and none after it.
    Full(usize),
    /// The next sync fails; what it was for is lost.
    Sync,
    /// Power goes after so many bytes of the next write have reached the disk; nothing works until it is opened anew.
    Power(usize),
}

#[derive(Debug, Default)]
struct Held {
    there: bool,
    /// What lasts, and what was written since the last sync.
    lasts: Vec<u8>,
    since: Vec<u8>,
    fault: Option<Fault>,
    /// Who has it open; 0 for nobody.
    opener: u64,
    openers: u64,
}

/// A place in memory.
#[derive(Clone, Debug, Default)]
pub struct Memory(Rc<RefCell<Held>>);

impl Memory {
    /// Has this go wrong next.
    pub fn plan(&self, fault: Fault) {
        self.0.borrow_mut().fault = Some(fault);
    }
    /// Power goes: what was not synced is lost, but for so many bytes of it, and whoever has it open has it no more.
    pub fn power_lost(&self, kept: usize) {
        let mut held = self.0.borrow_mut();
        let since = std::mem::take(&mut held.since);
        held.lasts.extend_from_slice(&since[..kept.min(since.len())]);
        (held.opener, held.fault) = (0, None);
    }
    /// What lasts.
    pub fn bytes(&self) -> Vec<u8> {
        self.0.borrow().lasts.clone()
    }
    /// Puts other bytes there, as damage would.
    pub fn set_bytes(&self, bytes: &[u8]) {
        let mut held = self.0.borrow_mut();
        (held.there, held.lasts) = (true, bytes.to_vec());
    }
}

impl Place for Memory {
    fn name(&self) -> String {
        "a place in memory".into()
    }

    fn open(&self, create: bool) -> io::Result<Box<dyn Lasting>> {
        let mut held = self.0.borrow_mut();
        if !held.there && !create {
            return Err(io::ErrorKind::NotFound.into());
        }
        if held.opener != 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        held.openers += 1;
        (held.there, held.opener) = (true, held.openers);
        Ok(Box::new(InMemory { place: self.clone(), opener: held.openers }))
    }
}

#[derive(Debug)]
struct InMemory {
    place: Memory,
    opener: u64,
}

impl InMemory {
    fn with<T>(&self, work: impl FnOnce(&mut Held) -> io::Result<T>) -> io::Result<T> {
        let mut held = self.place.0.borrow_mut();
        if held.opener != self.opener {
            return Err(io::Error::other("power was lost"));
        }
        work(&mut held)
    }
}

impl Drop for InMemory {
    fn drop(&mut self) {
        let mut held = self.place.0.borrow_mut();
        if held.opener == self.opener {
            held.opener = 0;
            // The machine is still up: what it was given will reach the disk.
            let since = std::mem::take(&mut held.since);
            held.lasts.extend(since);
        }
    }
}

impl Lasting for InMemory {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        self.with(|held| Ok([&held.lasts[..], &held.since[..]].concat()))
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.with(|held| match held.fault {
            Some(Fault::Full(0)) => Err(io::ErrorKind::StorageFull.into()),
            Some(Fault::Full(room)) => {
                let some = room.min(bytes.len());
                held.fault = Some(Fault::Full(room - some));
                held.since.extend_from_slice(&bytes[..some]);
                Ok(some)
            }
            Some(Fault::Power(reached)) => {
                (held.opener, held.fault) = (0, None);
                let since = std::mem::take(&mut held.since);
                let all = [&since[..], bytes].concat();
                held.lasts.extend_from_slice(&all[..(since.len() + reached).min(all.len())]);
                Err(io::Error::other("power was lost"))
            }
            Some(Fault::Short(most)) => {
                let some = most.clamp(1, bytes.len());
                held.since.extend_from_slice(&bytes[..some]);
                Ok(some)
            }
            _ => {
                held.since.extend_from_slice(bytes);
                Ok(bytes.len())
            }
        })
    }

    fn sync(&mut self) -> io::Result<()> {
        self.with(|held| {
            if held.fault == Some(Fault::Sync) {
                held.fault = None;
                // As a kernel does: the pages are dropped, and the next sync says that all is well.
                held.since.clear();
                return Err(io::Error::other("a sync failed"));
            }
            let since = std::mem::take(&mut held.since);
            held.lasts.extend(since);
            Ok(())
        })
    }

    fn cut(&mut self, length: u64) -> io::Result<()> {
        self.with(|held| {
            let all = [&held.lasts[..], &held.since[..]].concat();
            held.since.clear();
            held.lasts = all[..(length as usize).min(all.len())].to_vec();
            Ok(())
        })
    }

    fn swap(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.with(|held| match held.fault {
            Some(Fault::Full(room)) if room < bytes.len() => Err(io::ErrorKind::StorageFull.into()),
            Some(Fault::Power(_)) => {
                (held.opener, held.fault) = (0, None);
                Err(io::Error::other("power was lost"))
            }
            Some(Fault::Sync) => {
                held.fault = None;
                Err(io::Error::other("a sync failed"))
            }
            _ => {
                held.since.clear();
                held.lasts = bytes.to_vec();
                Ok(())
            }
        })
    }

    fn sync_name(&mut self) -> io::Result<()> {
        self.with(|_| Ok(()))
    }
}
