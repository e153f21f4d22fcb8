//! Storage for what must survive a crash: the file operations under a voter's log, as a trait, so that a failing disk can
//! be put beneath it. The real file is here, and one in memory that tears, shortens, fills up, fails to sync and loses
//! power.

use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Where a file may stand. One opener at a time.
pub trait StorageLocation: std::fmt::Debug {
    /// Its name, for messages.
    fn name(&self) -> String;
    /// Opens it for this opener alone, or makes it where `create` says so. `NotFound` if it is not there, `WouldBlock`
    /// while another has it.
    fn open(&self, create: bool) -> io::Result<Box<dyn DurableFile>>;
}

/// An opened file that grows at its end. After an error of [`DurableFile::write`] or [`DurableFile::sync`] nobody knows which of
/// the bytes written since the last successful sync are on the disk, not even after reading them back: the kernel may
/// show pages that it failed to write, and take them for written. Only [`DurableFile::swap`] is of use then.
pub trait DurableFile: std::fmt::Debug {
    /// All that it holds, from its first byte on.
    fn read_all(&mut self) -> io::Result<Vec<u8>>;
    /// Writes some of these bytes at the end, at least one; how many. They last once [`DurableFile::sync`] returns well.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;
    /// What was written lasts.
    fn sync(&mut self) -> io::Result<()>;
    /// Replaces all contents by these bytes, on fresh pages of the disk: whoever opens the file after a crash finds the
    /// old contents or the new, complete. Once it returns well they last. After an error this handle reads either the
    /// old or the new contents, and another call may be made. The opener keeps the file for itself throughout;
    /// `WouldBlock` if somebody has put another file in its place.
    fn replace_contents(&mut self, bytes: &[u8]) -> io::Result<()>;
}

impl StorageLocation for PathBuf {
    fn name(&self) -> String {
        self.display().to_string()
    }

    fn open(&self, create: bool) -> io::Result<Box<dyn DurableFile>> {
        let file = OpenOptions::new().create(create).read(true).append(true).open(self)?;
        lock(&file)?;
        // Between the opening and the lock another process may have replaced the file; its lock is on the new one.
        ensure_current(&file, self)?;
        Ok(Box::new(OnDisk { file, path: self.clone(), directory: directory_of(self) }))
    }
}

/// Takes a file for this process alone; `WouldBlock` while another has it.
fn lock(file: &File) -> io::Result<()> {
    Ok(rustix::fs::flock(file, rustix::fs::FlockOperation::NonBlockingLockExclusive)?)
}

/// `WouldBlock` if the path names another file than this one by now, `NotFound` if it names none.
fn ensure_current(file: &File, path: &Path) -> io::Result<()> {
    let opened = file.metadata()?;
    let named = path.metadata()?;
    if (opened.dev(), opened.ino()) == (named.dev(), named.ino()) {
        Ok(())
    } else {
        Err(io::ErrorKind::WouldBlock.into())
    }
}

/// Creates a file with these bytes on the disk, in place of one that a killed process left there; none is left after an
/// error.
fn write_fresh(fresh: &Path, bytes: &[u8]) -> io::Result<File> {
    let created = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(fresh)?;
    let written = write_synced(created, bytes);
    if written.is_err() {
        // On a full disk the half-written file would take the room that the next attempt needs.
        let _ = std::fs::remove_file(fresh);
    }
    written
}

fn write_synced(mut file: File, bytes: &[u8]) -> io::Result<File> {
    file.write_all(bytes)?;
    match file.sync_all() {
        // Not a file of a disk, but a pipe or a device: nothing of it can be synced, or lasts.
        Err(e) if e.kind() == io::ErrorKind::InvalidInput => Ok(file),
        synced => synced.map(|()| file),
    }
}

fn directory_of(path: &Path) -> PathBuf {
    path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new(".")).into()
}

/// Has the names in a directory last.
fn sync_directory(directory: &Path) -> io::Result<()> {
    File::open(directory)?.sync_all()
}

/// Replaces a file by these bytes through `fresh`, a name beside it that nobody else uses: a crash at any point leaves
/// the old contents or the new, complete. After an error nothing has been left behind at `fresh`.
pub fn write_atomically(path: &Path, fresh: &Path, bytes: &[u8]) -> io::Result<()> {
    let written = File::create(fresh)
        .and_then(|file| write_synced(file, bytes))
        .and_then(|_| std::fs::rename(fresh, path));
    if let Err(e) = written {
        let _ = std::fs::remove_file(fresh);
        return Err(e);
    }
    sync_directory(&directory_of(path))
}

#[derive(Debug)]
struct OnDisk {
    file: File,
    path: PathBuf,
    /// Where its name is.
    directory: PathBuf,
}

impl DurableFile for OnDisk {
    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.file.rewind()?;
        self.file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.file.write(bytes)
    }
    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }
    fn replace_contents(&mut self, bytes: &[u8]) -> io::Result<()> {
        ensure_current(&self.file, &self.path)?;
        let fresh = self.path.with_extension("new");
        let file = write_fresh(&fresh, bytes)?;
        if let Err(e) = lock(&file).and_then(|()| std::fs::rename(&fresh, &self.path)) {
            let _ = std::fs::remove_file(&fresh);
            return Err(e);
        }
        // From here on the path names the new file. Its lock is the one that counts, whatever fails below; the lock on
        // the old file goes with its handle.
        self.file = file;
        sync_directory(&self.directory)
    }
}

/// What goes wrong at the next operation that it concerns: once, where nothing else is said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageFault {
    /// No write puts down more than so many bytes at a time, from now on.
    ShortWrites(usize),
    /// So many bytes find room in the next write, and none after it, until there is room again.
    DiskFull(usize),
    /// The next sync fails; what it was for is lost.
    SyncFailsOnce,
    /// The next sync fails, and what it was for can still be read until power goes: its pages count as written, and no
    /// later sync writes them.
    SyncFailsOnceReadable,
    /// Every sync fails, until the disk works again; what it was for is lost.
    EverySyncFails,
    /// The next replacement takes place, but whether its name lasts is not known: an error, and what stands there after
    /// a loss of power may be the old contents or the new.
    DirectorySyncFailsOnce,
    /// Power goes after so many bytes of the next write have reached the disk; nothing works until it is opened anew.
    PowerLoss(usize),
}

#[derive(Debug, Default)]
struct Held {
    there: bool,
    /// What lasts.
    lasts: Vec<u8>,
    /// Pages that can be read and that no sync will write any more.
    unwritten: Vec<u8>,
    /// What was written since the last sync.
    since: Vec<u8>,
    /// Contents that replaced all of this, by a name that does not last yet.
    renamed: Option<Vec<u8>>,
    fault: Option<StorageFault>,
    /// Who has it open; 0 for nobody.
    opener: u64,
    openers: u64,
}

impl Held {
    /// What can be read, though it may not last.
    fn visible(&self) -> Vec<u8> {
        match &self.renamed {
            Some(contents) => [&contents[..], &self.since].concat(),
            None => [&self.lasts[..], &self.unwritten, &self.since].concat(),
        }
    }

    fn replace_all(&mut self, bytes: &[u8]) {
        self.since.clear();
        self.unwritten.clear();
        self.renamed = None;
        self.lasts = bytes.to_vec();
    }

    fn sync(&mut self) -> io::Result<()> {
        let since = std::mem::take(&mut self.since);
        match self.fault {
            // As a kernel does: the pages are dropped, and the next sync says that all is well.
            Some(StorageFault::SyncFailsOnce) => self.fault = None,
            Some(StorageFault::EverySyncFails) => {}
            Some(StorageFault::SyncFailsOnceReadable) => {
                self.fault = None;
                self.unwritten.extend(since);
            }
            _ => {
                self.lasts.extend(since);
                return Ok(());
            }
        }
        Err(io::Error::other("a sync failed"))
    }

    fn replace_contents(&mut self, bytes: &[u8]) -> io::Result<()> {
        match self.fault {
            Some(StorageFault::DiskFull(room)) if room < bytes.len() => {
                Err(io::ErrorKind::StorageFull.into())
            }
            Some(StorageFault::PowerLoss(_)) => {
                self.opener = 0;
                self.fault = None;
                Err(io::Error::other("power was lost"))
            }
            Some(StorageFault::SyncFailsOnce | StorageFault::SyncFailsOnceReadable) => {
                self.fault = None;
                Err(io::Error::other("a sync failed"))
            }
            Some(StorageFault::EverySyncFails) => Err(io::Error::other("a sync failed")),
            Some(StorageFault::DirectorySyncFailsOnce) => {
                self.fault = None;
                self.since.clear();
                self.renamed = Some(bytes.to_vec());
                Err(io::Error::other("a sync of the directory failed"))
            }
            _ => {
                self.replace_all(bytes);
                Ok(())
            }
        }
    }
}

/// A place in memory.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage(Rc<RefCell<Held>>);

impl MemoryStorage {
    /// Has this go wrong next.
    pub fn inject_fault(&self, fault: StorageFault) {
        self.0.borrow_mut().fault = Some(fault);
    }
    /// The disk works again; whoever has it open still has it.
    pub fn clear_fault(&self) {
        self.0.borrow_mut().fault = None;
    }
    /// Power goes: what was not synced is lost, but for so many bytes of it, and whoever has it open has it no more. A
    /// replacement whose name was not synced is lost as well if no byte is kept.
    pub fn lose_power(&self, kept: usize) {
        let mut held = self.0.borrow_mut();
        let since = std::mem::take(&mut held.since);
        held.unwritten.clear();
        if let Some(contents) = held.renamed.take().filter(|_| kept > 0) {
            held.lasts = contents;
        }
        held.lasts.extend_from_slice(&since[..kept.min(since.len())]);
        held.opener = 0;
        held.fault = None;
    }
    /// What lasts.
    pub fn durable_bytes(&self) -> Vec<u8> {
        self.0.borrow().lasts.clone()
    }
    /// Puts other bytes there, as damage would.
    pub fn overwrite(&self, bytes: &[u8]) {
        let mut held = self.0.borrow_mut();
        held.there = true;
        held.replace_all(bytes);
    }
}

impl StorageLocation for MemoryStorage {
    fn name(&self) -> String {
        "a place in memory".into()
    }

    fn open(&self, create: bool) -> io::Result<Box<dyn DurableFile>> {
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
    place: MemoryStorage,
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

impl DurableFile for InMemory {
    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        self.with(|held| Ok(held.visible()))
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.with(|held| match held.fault {
            Some(StorageFault::DiskFull(0)) => Err(io::ErrorKind::StorageFull.into()),
            Some(StorageFault::DiskFull(room)) => {
                let some = room.min(bytes.len());
                held.fault = Some(StorageFault::DiskFull(room - some));
                held.since.extend_from_slice(&bytes[..some]);
                Ok(some)
            }
            Some(StorageFault::PowerLoss(reached)) => {
                (held.opener, held.fault) = (0, None);
                let since = std::mem::take(&mut held.since);
                let all = [&since[..], bytes].concat();
                held.lasts.extend_from_slice(&all[..(since.len() + reached).min(all.len())]);
                Err(io::Error::other("power was lost"))
            }
            Some(StorageFault::ShortWrites(most)) => {
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
        self.with(Held::sync)
    }

    fn replace_contents(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.with(|held| held.replace_contents(bytes))
    }
}

#[cfg(test)]
mod tests;
