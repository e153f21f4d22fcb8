//! What every store under a voter must do, stated once. [`violations`] plays each clause on a store and names those that it
//! breaks; a store that tears, fills up or loses power is made by a [`FaultyStorage`] place beneath it.

#![forbid(unsafe_code)]

pub mod tier_client;

use loomlb_consensus::log_store::{LogStore, StoredLog};
use loomlb_consensus::storage::{DurableFile, StorageFault, StorageLocation};
use loomlb_consensus::store_error::StoreError;
use raft::eraftpb::{Entry, HardState, Snapshot};
use std::cell::Cell;
use std::fmt;
use std::io;
use std::rc::Rc;

/// A store as the suite needs it, empty when it is made.
pub trait StoreUnderTest {
    /// Opens it for a voter.
    fn open(&self, owner: &str, create: bool) -> Result<(Box<dyn LogStore>, StoredLog), StoreError>;
    /// What lasts, byte for byte.
    fn stored_bytes(&self) -> Vec<u8>;
    /// Puts other bytes there while nobody has it open.
    fn overwrite(&self, bytes: &[u8]);
    /// Has this go wrong next.
    fn inject_fault(&self, fault: StorageFault);
    /// The disk works again; what was open still is.
    fn clear_fault(&self);
    /// The machine starts again: what is planned is over, and what was open is open no more. What was not synced is lost
    /// where the store can show that.
    fn restart(&self);
}

/// A clause that a store breaks.
#[derive(Debug, thiserror::Error)]
#[error("{clause}: {details}")]
pub struct Violation {
    /// The clause.
    pub clause: &'static str,
    /// What was seen.
    pub details: String,
}

type Play = fn(&dyn StoreUnderTest) -> Result<(), Seen>;

/// What a clause saw that it must not see.
#[derive(Debug)]
pub struct Seen(String);

impl From<StoreError> for Seen {
    fn from(e: StoreError) -> Seen {
        Seen(format!("an error: {e}"))
    }
}

/// The clauses, by their words.
pub const STORE_CLAUSES: &[(&str, Play)] = &[
    ("what was acknowledged is there again, in order", acknowledged),
    ("an entry replaces those from its index on", replaces),
    ("the latest vote counts", vote),
    ("a picture stands for all before it", picture),
    ("a torn tail loses what was not acknowledged alone", torn),
    ("damage before good records is refused and left as it is", damage),
    ("another's store is refused and left as it is", foreign),
    ("one opener at a time", openers),
    ("a store that is missing is not founded unasked", missing),
    ("short writes lose nothing", short),
    ("after a full disk nothing is acknowledged, and nothing is lost", full),
    ("after a failed sync nothing is acknowledged, and nothing is lost", sync),
    ("power may go at any byte of an append", power),
    ("power may go in a replacement, which happened whole or not at all", power_in_swap),
    ("it comes back after a failed append, once it can be written", recovers_from_an_append),
    ("it comes back after a failed replacement, once it can be written", recovers_from_a_replacement),
    ("what is read back after a failed sync lasts", read_back_lasts),
];

/// Plays all clauses, each on a store of its own.
pub fn violations(make: &dyn Fn() -> Box<dyn StoreUnderTest>) -> Vec<Violation> {
    let play = |(clause, play): &(&'static str, Play)| {
        play(&*make()).err().map(|Seen(details)| Violation { clause, details })
    };
    STORE_CLAUSES.iter().filter_map(play).collect()
}

const MINE: &str = "a of a, b, c";

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, data: vec![index as u8; 24].into(), ..Entry::default() }
}

fn hard(term: u64) -> HardState {
    HardState { term, vote: 2, ..HardState::default() }
}

fn snapshot(index: u64) -> Snapshot {
    let mut picture = Snapshot::default();
    picture.mut_metadata().index = index;
    picture
}

fn same<T: PartialEq + fmt::Debug>(what: &str, seen: T, due: T) -> Result<(), Seen> {
    if seen == due { Ok(()) } else { Err(Seen(format!("{what}: {seen:?}, and {due:?} is due"))) }
}

/// Index and term of what a reopened store holds.
fn found(s: &dyn StoreUnderTest) -> Result<Vec<(u64, u64)>, Seen> {
    Ok(s.open(MINE, false)?.1.entries.iter().map(|e| (e.index, e.term)).collect())
}

/// A store with entries 1 to `n`, closed again.
fn founded(s: &dyn StoreUnderTest, n: u64) -> Result<(), Seen> {
    let (mut disk, loaded) = s.open(MINE, true)?;
    same("entries of a new store", loaded.entries.len(), 0)?;
    (1..=n).try_for_each(|i| disk.append(&[entry(i, 1)], None))?;
    Ok(())
}

fn all(n: u64) -> Vec<(u64, u64)> {
    (1..=n).map(|i| (i, 1)).collect()
}

fn acknowledged(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    founded(s, 5)?;
    for n in 6..9 {
        same("entries", found(s)?, all(n - 1))?;
        s.open(MINE, false)?.0.append(&[entry(n, 1)], None)?;
    }
    same("entries", found(s)?, all(8))
}

fn replaces(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    founded(s, 5)?;
    s.open(MINE, false)?.0.append(&[entry(3, 2), entry(4, 2)], None)?;
    same("entries", found(s)?, vec![(1, 1), (2, 1), (3, 2), (4, 2)])
}

fn vote(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    founded(s, 1)?;
    for term in 1..4 {
        s.open(MINE, false)?.0.append(&[], Some(&hard(term)))?;
        same("term", s.open(MINE, false)?.1.hard_state.term, term)?;
    }
    Ok(())
}

fn picture(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    founded(s, 5)?;
    let (mut disk, _) = s.open(MINE, false)?;
    disk.replace(&snapshot(5), &[entry(6, 1)], Some(&hard(4)))?;
    disk.append(&[entry(7, 1)], None)?;
    drop(disk);
    let (_, loaded) = s.open(MINE, false)?;
    same("picture", loaded.snapshot.map(|p| p.get_metadata().index), Some(5))?;
    same("term", loaded.hard_state.term, 4)?;
    same("entries", loaded.entries.iter().map(|e| e.index).collect(), vec![6, 7])
}

fn torn(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    founded(s, 2)?;
    let before = s.stored_bytes().len();
    s.open(MINE, false)?.0.append(&[entry(3, 1)], None)?;
    let whole = s.stored_bytes();
    for cut in before..whole.len() {
        s.overwrite(&whole[..cut]);
        same("entries of a torn store", found(s)?, all(2))?;
        s.open(MINE, false)?.0.append(&[entry(3, 1)], None)?;
        same("entries written after a tear", found(s)?, all(3))?;
    }
    Ok(())
}

fn damage(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    founded(s, 2)?;
    let at = s.stored_bytes().len() - 3;
    s.open(MINE, false)?.0.append(&[entry(3, 1)], None)?;
    let mut bytes = s.stored_bytes();
    bytes[at] ^= 1;
    s.overwrite(&bytes);
    let refused = s.open(MINE, false).err().map(|e| e.code());
    same("a damaged store", refused, Some("store-damaged"))?;
    same("its bytes", s.stored_bytes() == bytes, true)
}

fn foreign(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    founded(s, 2)?;
    let before = s.stored_bytes();
    for owner in ["b of a, b, c", "a of a, b, d"] {
        same("for another", s.open(owner, true).err().map(|e| e.code()), Some("store-foreign"))?;
    }
    same("its bytes", s.stored_bytes() == before, true)?;
    same("entries", found(s)?, all(2))
}

fn openers(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    founded(s, 2)?;
    let (mut disk, _) = s.open(MINE, false)?;
    same("for a second", s.open(MINE, false).err().map(|e| e.code()), Some("store-taken"))?;
    // A replacement is another file, and no way round the first opener.
    disk.replace(&snapshot(2), &[], None)?;
    same("after a replacement", s.open(MINE, false).err().map(|e| e.code()), Some("store-taken"))?;
    drop(disk);
    s.open(MINE, false)?;
    Ok(())
}

fn missing(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    same("unasked", s.open(MINE, false).err().map(|e| e.code()), Some("store-missing"))?;
    same("asked", s.open(MINE, true).is_ok(), true)?;
    same("entries", found(s)?, Vec::new())
}

fn short(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    founded(s, 2)?;
    let (mut disk, _) = s.open(MINE, false)?;
    s.inject_fault(StorageFault::ShortWrites(7));
    disk.append(&[entry(3, 1)], None)?;
    drop(disk);
    s.restart();
    same("entries", found(s)?, all(3))
}

/// After a fault nothing is acknowledged until it is opened anew, though the cause may be gone.
fn stopped(s: &dyn StoreUnderTest, fault: StorageFault) -> Result<(), Seen> {
    founded(s, 2)?;
    let (mut disk, _) = s.open(MINE, false)?;
    s.inject_fault(fault);
    same("a write that fails", disk.append(&[entry(3, 1)], None).is_err(), true)?;
    same("the next one", disk.append(&[entry(4, 1)], None).is_err(), true)?;
    same("a replacement", disk.replace(&snapshot(4), &[], None).is_err(), true)?;
    drop(disk);
    s.restart();
    let after = found(s)?;
    // What was not acknowledged may be there, whole and in its place.
    if after == all(3) { Ok(()) } else { same("entries", after, all(2)) }
}

fn full(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    stopped(s, StorageFault::DiskFull(11))
}

fn sync(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    stopped(s, StorageFault::SyncFailsOnce)
}

fn power(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    founded(s, 2)?;
    let whole = s.stored_bytes();
    for reached in 0..64 {
        s.overwrite(&whole);
        let (mut disk, _) = s.open(MINE, false)?;
        s.inject_fault(StorageFault::PowerLoss(reached));
        same("a write that fails", disk.append(&[entry(3, 1)], None).is_err(), true)?;
        drop(disk);
        s.restart();
        let after = found(s)?;
        if after != all(3) {
            same("entries", after, all(2))?;
        }
    }
    Ok(())
}

fn power_in_swap(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    founded(s, 3)?;
    let (mut disk, _) = s.open(MINE, false)?;
    s.inject_fault(StorageFault::PowerLoss(20));
    let done = disk.replace(&snapshot(3), &[entry(4, 1)], None).is_ok();
    drop(disk);
    s.restart();
    let (_, loaded) = s.open(MINE, false)?;
    let is: Vec<u64> = loaded.entries.iter().map(|e| e.index).collect();
    match loaded.snapshot {
        Some(_) => same("entries after the picture", is, vec![4]),
        None if done => Err(Seen("an acknowledged replacement is lost".into())),
        None => same("entries without the picture", is, vec![1, 2, 3]),
    }
}

/// Faults that an append or a replacement may meet, and that leave the process running.
const PASSING: [StorageFault; 5] = [
    StorageFault::DiskFull(0),
    StorageFault::DiskFull(11),
    StorageFault::SyncFailsOnce,
    StorageFault::SyncFailsOnceReadable,
    StorageFault::EverySyncFails,
];

fn recovers_from_an_append(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    founded(s, 2)?;
    let (mut disk, _) = s.open(MINE, false)?;
    let mut acknowledged = 2;
    for fault in PASSING {
        let next = [entry(acknowledged + 1, 1)];
        s.inject_fault(fault);
        same("a write that fails", disk.append(&next, Some(&hard(9))).is_err(), true)?;
        same("the next one", disk.append(&next, None).is_err(), true)?;
        s.clear_fault();
        same("before it recovers", disk.append(&next, None).is_err(), true)?;
        let loaded = disk.recover()?;
        let entries = loaded.entries.iter().map(|e| (e.index, e.term)).collect();
        same("recovered entries", entries, all(acknowledged))?;
        same("the vote that was not acknowledged", loaded.hard_state.term, 0)?;
        same("for a second opener", s.open(MINE, false).err().map(|e| e.code()), Some("store-taken"))?;
        disk.append(&next, None)?;
        acknowledged += 1;
    }
    drop(disk);
    s.restart();
    same("entries", found(s)?, all(acknowledged))
}

fn recovers_from_a_replacement(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    founded(s, 3)?;
    let (mut disk, _) = s.open(MINE, false)?;
    for fault in PASSING {
        s.inject_fault(fault);
        same("a replacement that fails", disk.replace(&snapshot(2), &[], None).is_err(), true)?;
        s.clear_fault();
        let loaded = disk.recover()?;
        same("the picture that was not acknowledged", loaded.snapshot.is_none(), true)?;
        same("recovered entries", loaded.entries.len(), 3)?;
    }
    disk.append(&[entry(4, 1)], None)?;
    drop(disk);
    s.restart();
    same("entries", found(s)?, all(4))
}

/// The kernel may show pages that it failed to write, and take them for written.
fn read_back_lasts(s: &dyn StoreUnderTest) -> Result<(), Seen> {
    founded(s, 2)?;
    let (mut disk, _) = s.open(MINE, false)?;
    s.inject_fault(StorageFault::SyncFailsOnceReadable);
    same("a write that fails", disk.append(&[entry(3, 1)], None).is_err(), true)?;
    drop(disk);
    s.clear_fault();
    let (disk, loaded) = s.open(MINE, false)?;
    drop(disk);
    s.restart();
    let read = loaded.entries.iter().map(|e| (e.index, e.term)).collect();
    same("entries after a loss of power", found(s)?, read)
}

/// A place that fails as planned, over another one.
#[derive(Clone, Debug)]
pub struct FaultyStorage<P> {
    /// The place beneath.
    pub location: P,
    /// What goes wrong next.
    pub fault: Rc<Cell<Option<StorageFault>>>,
}

impl<P: StorageLocation> StorageLocation for FaultyStorage<P> {
    fn name(&self) -> String {
        self.location.name()
    }
    fn open(&self, create: bool) -> io::Result<Box<dyn DurableFile>> {
        let file = self.location.open(create)?;
        Ok(Box::new(Failing { file, fault: Rc::clone(&self.fault), dead: false }))
    }
}

#[derive(Debug)]
struct Failing {
    file: Box<dyn DurableFile>,
    fault: Rc<Cell<Option<StorageFault>>>,
    dead: bool,
}

impl Failing {
    fn lives(&self) -> io::Result<()> {
        if self.dead { Err(io::Error::other("power was lost")) } else { Ok(()) }
    }
}

impl DurableFile for Failing {
    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        self.lives()?;
        self.file.read_all()
    }
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.lives()?;
        let some = match self.fault.get() {
            Some(StorageFault::DiskFull(0)) => return Err(io::ErrorKind::StorageFull.into()),
            Some(StorageFault::DiskFull(room)) => {
                self.fault.set(Some(StorageFault::DiskFull(room - room.min(bytes.len()))));
                room
            }
            Some(StorageFault::ShortWrites(most)) => most.max(1),
            Some(StorageFault::PowerLoss(reached)) => {
                self.dead = true;
                let mut left = &bytes[..reached.min(bytes.len())];
                while !left.is_empty() {
                    left = &left[self.file.write(left)?..];
                }
                return Err(io::Error::other("power was lost"));
            }
            _ => bytes.len(),
        };
        self.file.write(&bytes[..some.min(bytes.len())])
    }
    fn sync(&mut self) -> io::Result<()> {
        self.lives()?;
        match self.fault.get() {
            Some(StorageFault::SyncFailsOnce | StorageFault::SyncFailsOnceReadable) => self.fault.set(None),
            Some(StorageFault::EverySyncFails) => {}
            _ => return self.file.sync(),
        }
        Err(io::Error::other("a sync failed"))
    }
    fn replace_contents(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.lives()?;
        match self.fault.get() {
            Some(StorageFault::DiskFull(_)) => Err(io::ErrorKind::StorageFull.into()),
            Some(
                StorageFault::SyncFailsOnce
                | StorageFault::SyncFailsOnceReadable
                | StorageFault::EverySyncFails,
            ) => Err(io::Error::other("a sync failed")),
            Some(StorageFault::DirectorySyncFailsOnce) => {
                self.fault.set(None);
                self.file.replace_contents(bytes)?;
                Err(io::Error::other("a sync of the directory failed"))
            }
            Some(StorageFault::PowerLoss(_)) => {
                self.dead = true;
                Err(io::Error::other("power was lost"))
            }
            _ => self.file.replace_contents(bytes),
        }
    }
}
