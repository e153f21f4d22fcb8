//! The file operations under a voter's log, as traits, so that tests can inject disk failures. Implemented
//! for real files and for a file in memory with short writes, a full disk, failed syncs and power loss.

use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The location of a file that one process at a time can open.
pub trait StorageLocation: std::fmt::Debug {
    /// Returns the name of the location, for messages.
    fn name(&self) -> String;
    /// Opens and locks the file, or creates it if it is missing and `create` is set.
    ///
    /// # Errors
    /// `NotFound` if the file is missing, `WouldBlock` if another process has it open.
    fn open(&self, create: bool) -> io::Result<Box<dyn DurableFile>>;
}

/// An open file that is appended to or replaced as a whole.
///
/// After an error of [`DurableFile::write`] or [`DurableFile::sync`] it is unknown which bytes written since
/// the last successful sync are on the disk. Reading them back does not tell: the kernel may show pages that
/// it failed to write and treats as clean. Only [`DurableFile::replace_contents`] restores a known state.
pub trait DurableFile: std::fmt::Debug {
    /// Reads the whole file.
    fn read_all(&mut self) -> io::Result<Vec<u8>>;
    /// Appends some of these bytes, at least one, and returns how many. They are durable once
    /// [`DurableFile::sync`] succeeds.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;
    /// Makes all written bytes durable.
    fn sync(&mut self) -> io::Result<()>;
    /// Replaces the whole contents atomically and durably, in newly allocated blocks: after a crash the file
    /// holds either the old or the new contents. After an error the same is true of this handle, and the call
    /// may be repeated. The file stays locked throughout.
    ///
    /// # Errors
    /// `WouldBlock` if another file has been put in its place.
    fn replace_contents(&mut self, bytes: &[u8]) -> io::Result<()>;
}

impl StorageLocation for PathBuf {
    fn name(&self) -> String {
        self.display().to_string()
    }

    fn open(&self, create: bool) -> io::Result<Box<dyn DurableFile>> {
        let file = OpenOptions::new().create(create).read(true).append(true).open(self)?;
        lock(&file)?;
        // Another process may have replaced the file between open and lock, and hold the lock on the new one.
        ensure_current(&file, self)?;
        Ok(Box::new(DiskFile { file, path: self.clone(), directory: directory_of(self) }))
    }
}

/// Locks a file for this process; `WouldBlock` if another process has locked it.
fn lock(file: &File) -> io::Result<()> {
    Ok(rustix::fs::flock(file, rustix::fs::FlockOperation::NonBlockingLockExclusive)?)
}

/// Checks that the path still refers to this file: `WouldBlock` if it refers to another one, `NotFound` if to
/// none.
fn ensure_current(file: &File, path: &Path) -> io::Result<()> {
    let opened = file.metadata()?;
    let current = path.metadata()?;
    if (opened.dev(), opened.ino()) == (current.dev(), current.ino()) {
        Ok(())
    } else {
        Err(io::ErrorKind::WouldBlock.into())
    }
}

/// Writes and syncs a file, overwriting one that a killed process left there. Removes it after an error.
fn write_temporary(temporary: &Path, bytes: &[u8]) -> io::Result<File> {
    let created = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(temporary)?;
    let written = write_synced(created, bytes);
    if written.is_err() {
        // On a full disk a partial file would take the space that the next attempt needs.
        let _ = std::fs::remove_file(temporary);
    }
    written
}

fn write_synced(mut file: File, bytes: &[u8]) -> io::Result<File> {
    file.write_all(bytes)?;
    match file.sync_all() {
        // A pipe or a device cannot be synced.
        Err(e) if e.kind() == io::ErrorKind::InvalidInput => Ok(file),
        synced => synced.map(|()| file),
    }
}

fn directory_of(path: &Path) -> PathBuf {
    path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new(".")).into()
}

/// Makes the entries of a directory durable.
fn sync_directory(directory: &Path) -> io::Result<()> {
    File::open(directory)?.sync_all()
}

/// Replaces a file atomically and durably. `temporary` is a path in the same directory that nothing else
/// uses. A crash leaves either the old or the new contents; an error leaves no file at `temporary`.
pub fn write_atomically(path: &Path, temporary: &Path, bytes: &[u8]) -> io::Result<()> {
    let written = File::create(temporary)
        .and_then(|file| write_synced(file, bytes))
        .and_then(|_| std::fs::rename(temporary, path));
    if let Err(e) = written {
        let _ = std::fs::remove_file(temporary);
        return Err(e);
    }
    sync_directory(&directory_of(path))
}

#[derive(Debug)]
struct DiskFile {
    file: File,
    path: PathBuf,
    /// The directory of `path`.
    directory: PathBuf,
}

impl DurableFile for DiskFile {
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
        let temporary = self.path.with_extension("new");
        let file = write_temporary(&temporary, bytes)?;
        if let Err(e) = lock(&file).and_then(|()| std::fs::rename(&temporary, &self.path)) {
            let _ = std::fs::remove_file(&temporary);
            return Err(e);
        }
        // The path refers to the new file now, so only its lock counts, even if the sync below fails.
        // Dropping the old handle releases the lock on the old file.
        self.file = file;
        sync_directory(&self.directory)
    }
}

/// A failure to inject into a [`MemoryStorage`]. It affects one operation unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageFault {
    /// Every write writes at most this many bytes.
    ShortWrites(usize),
    /// This many more bytes can be written, then the disk is full until the fault is cleared.
    DiskFull(usize),
    /// The next sync fails, and the unsynced bytes are lost.
    SyncFailsOnce,
    /// The next sync fails. The unsynced bytes can be read until power is lost, but no later sync writes
    /// them.
    SyncFailsOnceReadable,
    /// Every sync fails until the fault is cleared, and the unsynced bytes are lost.
    EverySyncFails,
    /// The next replacement takes place and reports an error; after a power loss the file holds the old or
    /// the new contents.
    DirectorySyncFailsOnce,
    /// Power is lost after this many bytes of the next write; every operation fails until the file is opened
    /// again.
    PowerLoss(usize),
}

#[derive(Debug, Default)]
struct MemoryFileState {
    exists: bool,
    /// Bytes that survive a power loss.
    durable: Vec<u8>,
    /// Bytes that can be read but that no sync will write.
    lost_pages: Vec<u8>,
    /// Bytes written since the last sync.
    unsynced: Vec<u8>,
    /// Contents that replaced all of the above, under a name that is not durable yet.
    replacement: Option<Vec<u8>>,
    fault: Option<StorageFault>,
    /// The number of the open handle; 0 if there is none.
    open_handle: u64,
    handles_opened: u64,
}

impl MemoryFileState {
    /// Returns the bytes that can be read, durable or not.
    fn visible(&self) -> Vec<u8> {
        match &self.replacement {
            Some(contents) => [&contents[..], &self.unsynced].concat(),
            None => [&self.durable[..], &self.lost_pages, &self.unsynced].concat(),
        }
    }

    fn set_contents(&mut self, bytes: &[u8]) {
        self.unsynced.clear();
        self.lost_pages.clear();
        self.replacement = None;
        self.durable = bytes.to_vec();
    }

    fn sync(&mut self) -> io::Result<()> {
        let unsynced = std::mem::take(&mut self.unsynced);
        match self.fault {
            // The kernel drops the pages after a failed sync, and the next sync succeeds.
            Some(StorageFault::SyncFailsOnce) => self.fault = None,
            Some(StorageFault::EverySyncFails) => {}
            Some(StorageFault::SyncFailsOnceReadable) => {
                self.fault = None;
                self.lost_pages.extend(unsynced);
            }
            _ => {
                self.durable.extend(unsynced);
                return Ok(());
            }
        }
        Err(io::Error::other("a sync failed"))
    }

    fn replace_contents(&mut self, bytes: &[u8]) -> io::Result<()> {
        match self.fault {
            Some(StorageFault::DiskFull(free)) if free < bytes.len() => {
                Err(io::ErrorKind::StorageFull.into())
            }
            Some(StorageFault::PowerLoss(_)) => {
                self.open_handle = 0;
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
                self.unsynced.clear();
                self.replacement = Some(bytes.to_vec());
                Err(io::Error::other("a sync of the directory failed"))
            }
            _ => {
                self.set_contents(bytes);
                Ok(())
            }
        }
    }
}

/// A file in memory with injected faults.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage(Rc<RefCell<MemoryFileState>>);

impl MemoryStorage {
    /// Sets the fault that the following operations meet.
    pub fn inject_fault(&self, fault: StorageFault) {
        self.0.borrow_mut().fault = Some(fault);
    }
    /// Removes the fault. A handle that is open stays open.
    pub fn clear_fault(&self) {
        self.0.borrow_mut().fault = None;
    }
    /// Simulates a power loss: unsynced bytes are lost except the first `kept`, and an open handle becomes
    /// invalid. A replacement whose name is not durable is lost too if `kept` is 0.
    pub fn lose_power(&self, kept: usize) {
        let mut state = self.0.borrow_mut();
        let unsynced = std::mem::take(&mut state.unsynced);
        state.lost_pages.clear();
        if let Some(contents) = state.replacement.take().filter(|_| kept > 0) {
            state.durable = contents;
        }
        state.durable.extend_from_slice(&unsynced[..kept.min(unsynced.len())]);
        state.open_handle = 0;
        state.fault = None;
    }
    /// Returns the bytes that survive a power loss.
    pub fn durable_bytes(&self) -> Vec<u8> {
        self.0.borrow().durable.clone()
    }
    /// Overwrites the contents, to simulate damage.
    pub fn overwrite(&self, bytes: &[u8]) {
        let mut state = self.0.borrow_mut();
        state.exists = true;
        state.set_contents(bytes);
    }
}

impl StorageLocation for MemoryStorage {
    fn name(&self) -> String {
        "a file in memory".into()
    }

    fn open(&self, create: bool) -> io::Result<Box<dyn DurableFile>> {
        let mut state = self.0.borrow_mut();
        if !state.exists && !create {
            return Err(io::ErrorKind::NotFound.into());
        }
        if state.open_handle != 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        state.handles_opened += 1;
        (state.exists, state.open_handle) = (true, state.handles_opened);
        Ok(Box::new(MemoryFile { storage: self.clone(), handle: state.handles_opened }))
    }
}

#[derive(Debug)]
struct MemoryFile {
    storage: MemoryStorage,
    handle: u64,
}

impl MemoryFile {
    /// Runs an operation on the file if this handle is still valid.
    fn with_state<T>(&self, operation: impl FnOnce(&mut MemoryFileState) -> io::Result<T>) -> io::Result<T> {
        let mut state = self.storage.0.borrow_mut();
        if state.open_handle != self.handle {
            return Err(io::Error::other("power was lost"));
        }
        operation(&mut state)
    }
}

impl Drop for MemoryFile {
    fn drop(&mut self) {
        let mut state = self.storage.0.borrow_mut();
        if state.open_handle == self.handle {
            state.open_handle = 0;
            // Without a power loss the kernel writes unsynced bytes to the disk in the end.
            let unsynced = std::mem::take(&mut state.unsynced);
            state.durable.extend(unsynced);
        }
    }
}

impl DurableFile for MemoryFile {
    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        self.with_state(|state| Ok(state.visible()))
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.with_state(|state| match state.fault {
            Some(StorageFault::DiskFull(0)) => Err(io::ErrorKind::StorageFull.into()),
            Some(StorageFault::DiskFull(free)) => {
                let written = free.min(bytes.len());
                state.fault = Some(StorageFault::DiskFull(free - written));
                state.unsynced.extend_from_slice(&bytes[..written]);
                Ok(written)
            }
            Some(StorageFault::PowerLoss(reached)) => {
                (state.open_handle, state.fault) = (0, None);
                let unsynced = std::mem::take(&mut state.unsynced);
                let all = [&unsynced[..], bytes].concat();
                state.durable.extend_from_slice(&all[..(unsynced.len() + reached).min(all.len())]);
                Err(io::Error::other("power was lost"))
            }
            Some(StorageFault::ShortWrites(limit)) => {
                let written = limit.clamp(1, bytes.len());
                state.unsynced.extend_from_slice(&bytes[..written]);
                Ok(written)
            }
            _ => {
                state.unsynced.extend_from_slice(bytes);
                Ok(bytes.len())
            }
        })
    }

    fn sync(&mut self) -> io::Result<()> {
        self.with_state(MemoryFileState::sync)
    }

    fn replace_contents(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.with_state(|state| state.replace_contents(bytes))
    }
}

#[cfg(test)]
mod tests;
