//! What a voter must not forget: votes, entries and pictures of the document, in one file of checked records.

use crate::place::{Lasting, Place};
use crate::store_error::StoreError;
use protobuf::Message;
use raft::eraftpb::{Entry, HardState, Snapshot};
use std::io;

/// What stood on a disk.
#[derive(Debug, Default, Clone)]
pub struct Loaded {
    /// The picture that the entries follow.
    pub snapshot: Option<Snapshot>,
    /// Entries, without a gap.
    pub entries: Vec<Entry>,
    /// Term, vote and commit index.
    pub hard: HardState,
}

/// Where a voter writes. What is not on the disk when a call returns well must not be told to anyone.
pub trait Disk {
    /// Adds entries, which replace those from their first index on, and the vote.
    fn append(&mut self, entries: &[Entry], hard: Option<&HardState>) -> Result<(), StoreError>;
    /// Writes all anew: a picture, and the entries after it.
    fn replace(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
        hard: Option<&HardState>,
    ) -> Result<(), StoreError>;
}

const OWNER: u8 = 0;
const ENTRY: u8 = 1;
const HARD: u8 = 2;
const PICTURE: u8 = 3;
/// Length, checksum and kind before each record.
const HEAD: usize = 4 + 8 + 1;
/// A longer record is none.
const LONGEST: usize = 64 << 20;

/// The file of a voter.
#[derive(Debug)]
pub struct LogFile {
    file: Box<dyn Lasting>,
    place: String,
    owner: Vec<u8>,
    /// A write or a sync failed. Another sync would say that all is well, and it would not be.
    stopped: bool,
}

fn record(out: &mut Vec<u8>, kind: u8, payload: &[u8]) {
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(kind, payload));
    out.push(kind);
    out.extend_from_slice(payload);
}

fn records(out: &mut Vec<u8>, entries: &[Entry], hard: Option<&HardState>) -> io::Result<()> {
    for entry in entries {
        record(out, ENTRY, &written(entry)?);
    }
    if let Some(hard) = hard {
        record(out, HARD, &written(hard)?);
    }
    Ok(())
}

fn checksum(kind: u8, payload: &[u8]) -> [u8; 8] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[kind]).update(payload);
    let mut short = [0; 8];
    short.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    short
}

/// The record at the start of these bytes, and how long it is; none if it is not whole and right.
fn first(bytes: &[u8]) -> Option<(u8, &[u8], usize)> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let payload = bytes.get(HEAD..HEAD.checked_add(length).filter(|_| length <= LONGEST)?)?;
    (checksum(bytes[12], payload) == bytes[4..12]).then_some((bytes[12], payload, HEAD + length))
}

fn written<M: Message>(message: &M) -> io::Result<Vec<u8>> {
    message.write_to_bytes().map_err(io::Error::other)
}

fn read<M: Message>(bytes: &[u8]) -> io::Result<M> {
    M::parse_from_bytes(bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}

impl LogFile {
    /// Opens the file of a voter, or founds it where `found` says that there is none yet. A record that was not written
    /// to its end is cut off; damage before others, or another voter's file, is refused.
    pub fn open(place: &dyn Place, owner: &str, found: bool) -> Result<(LogFile, Loaded), StoreError> {
        let name = place.name();
        let fault = |doing| {
            let name = name.clone();
            move |e| StoreError::of(&name, doing, e)
        };
        let mut file = place.open(found).map_err(fault("open"))?;
        let bytes = file.read().map_err(fault("read"))?;
        let (mut at, mut loaded, mut owned) = (0, Loaded::default(), false);
        while let Some((kind, payload, length)) = first(&bytes[at..]) {
            if !owned && (kind != OWNER || payload != owner.as_bytes()) {
                let whose = String::from_utf8_lossy(payload).into_owned();
                return Err(StoreError::Foreign { place: name, whose, mine: owner.into() });
            }
            owned = true;
            let newer = |what: String| StoreError::Newer { place: name.clone(), at, what };
            let unread = |e: io::Error| newer(format!("a record of kind {kind} ({e})"));
            match kind {
                OWNER => {}
                ENTRY => {
                    let entry: Entry = read(payload).map_err(unread)?;
                    loaded.entries.retain(|e| e.index < entry.index);
                    loaded.entries.push(entry);
                }
                HARD => loaded.hard = read(payload).map_err(unread)?,
                PICTURE => {
                    loaded.entries.clear();
                    loaded.snapshot = Some(read(payload).map_err(unread)?);
                }
                other => return Err(newer(format!("a record of kind {other}"))),
            }
            at += length;
        }
        // A torn record was never acknowledged; one that is whole further on was, so what lies before it is damaged.
        let good = |i: &usize| first(&bytes[*i..]).is_some_and(|r| r.0 <= PICTURE);
        if let Some(next) = (at + 1..bytes.len()).find(good) {
            return Err(StoreError::Damaged { place: name, at, next });
        }
        file.cut(at as u64).map_err(fault("cut"))?;
        let mut log = LogFile { file, place: name, owner: owner.as_bytes().to_vec(), stopped: false };
        if !owned {
            let mut out = Vec::new();
            record(&mut out, OWNER, &log.owner);
            log.write(&out)?;
            log.guarded("sync of the name", |file| file.sync_name())?;
        }
        Ok((log, loaded))
    }

    /// An operation after whose failure nothing more is taken.
    fn guarded(
        &mut self,
        doing: &'static str,
        work: impl FnOnce(&mut dyn Lasting) -> io::Result<()>,
    ) -> Result<(), StoreError> {
        if self.stopped {
            return Err(StoreError::Stopped { place: self.place.clone() });
        }
        self.stopped = true;
        work(&mut *self.file).map_err(|e| StoreError::of(&self.place, doing, e))?;
        self.stopped = false;
        Ok(())
    }

    fn write(&mut self, mut bytes: &[u8]) -> Result<(), StoreError> {
        self.guarded("write", |file| {
            while !bytes.is_empty() {
                match file.write(bytes) {
                    Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                    Ok(some) => bytes = &bytes[some..],
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) => return Err(e),
                }
            }
            file.sync()
        })
    }
}

impl Disk for LogFile {
    fn append(&mut self, entries: &[Entry], hard: Option<&HardState>) -> Result<(), StoreError> {
        let mut out = Vec::new();
        records(&mut out, entries, hard).map_err(|e| StoreError::of(&self.place, "encode", e))?;
        self.write(&out)
    }

    fn replace(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
        hard: Option<&HardState>,
    ) -> Result<(), StoreError> {
        let mut out = Vec::new();
        record(&mut out, OWNER, &self.owner);
        let encoded = written(snapshot).and_then(|picture| {
            record(&mut out, PICTURE, &picture);
            records(&mut out, entries, hard)
        });
        encoded.map_err(|e| StoreError::of(&self.place, "encode", e))?;
        self.guarded("replace", |file| file.swap(&out))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(index: u64) -> Entry {
        Entry { index, term: 1, data: vec![7; 40].into(), ..Entry::default() }
    }

    #[test]
    fn a_file_cut_at_any_byte_loses_its_last_record_alone_and_damage_in_the_middle_is_refused() {
        let place = tempfile::tempdir().unwrap();
        let path = place.path().join("v");
        assert!(LogFile::open(&path, "v of t", false).unwrap_err().advice().contains("tier.found"));
        let (mut log, _) = LogFile::open(&path, "v of t", true).unwrap();
        let mut ends = vec![std::fs::metadata(&path).unwrap().len() as usize];
        for index in 1..=4 {
            log.append(&[entry(index)], None).unwrap();
            ends.push(std::fs::metadata(&path).unwrap().len() as usize);
        }
        drop(log);
        let whole = std::fs::read(&path).unwrap();
        for cut in ends[0]..=whole.len() {
            std::fs::write(&path, &whole[..cut]).unwrap();
            let (mut log, loaded) = LogFile::open(&path, "v of t", false).unwrap();
            let kept = ends.iter().filter(|e| **e <= cut).count() - 1;
            assert_eq!(loaded.entries.len(), kept, "cut at {cut}");
            // What comes next is not lost behind the torn one.
            log.append(&[entry(kept as u64 + 1)], None).unwrap();
            assert_eq!(LogFile::open(&path, "v of t", false).unwrap_err().code(), "store-taken");
            drop(log);
            assert_eq!(LogFile::open(&path, "v of t", false).unwrap().1.entries.len(), kept + 1);
        }
        let mut damaged = whole.clone();
        damaged[ends[1] + HEAD + 3] ^= 1;
        std::fs::write(&path, &damaged).unwrap();
        assert!(LogFile::open(&path, "v of t", false).unwrap_err().to_string().contains("damaged"));
        std::fs::write(&path, &whole).unwrap();
        assert!(
            LogFile::open(&path, "w of t", false).unwrap_err().to_string().contains("belongs to \"v of t\"")
        );
        // A vote and a picture, and entries that replace others.
        let (mut log, _) = LogFile::open(&path, "v of t", false).unwrap();
        let mut picture = Snapshot::default();
        picture.mut_metadata().index = 4;
        log.replace(&picture, &[entry(5)], Some(&HardState { term: 3, vote: 2, ..HardState::default() }))
            .unwrap();
        log.append(&[entry(6), entry(5)], None).unwrap();
        drop(log);
        let (_, loaded) = LogFile::open(&path, "v of t", false).unwrap();
        assert_eq!(
            (loaded.entries.len(), loaded.hard.vote, loaded.snapshot.unwrap().get_metadata().index),
            (1, 2, 4)
        );
    }
}
