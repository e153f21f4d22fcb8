//! What a voter must not forget: votes, entries and pictures of the document, in one file of checked records.

use protobuf::Message;
use raft::eraftpb::{Entry, HardState, Snapshot};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

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
    fn append(&mut self, entries: &[Entry], hard: Option<&HardState>) -> io::Result<()>;
    /// Writes all anew: a picture, and the entries after it.
    fn replace(&mut self, snapshot: &Snapshot, entries: &[Entry], hard: Option<&HardState>)
    -> io::Result<()>;
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
    file: File,
    path: PathBuf,
    owner: Vec<u8>,
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

/// Takes the file for this process alone; `WouldBlock` while another has it.
fn lock(file: &File) -> io::Result<()> {
    Ok(rustix::fs::flock(file, rustix::fs::FlockOperation::NonBlockingLockExclusive)?)
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
    pub fn open(path: &Path, owner: &str, found: bool) -> io::Result<(LogFile, Loaded)> {
        let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
        let fault =
            |text: String| io::Error::new(io::ErrorKind::InvalidData, format!("{}: {text}", path.display()));
        let mut file = match OpenOptions::new().create(found).read(true).append(true).open(path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => {
                return Err(fault(
                    "is not there; a voter that has lost it must not vote as if it had never voted. \
                    Set tier.found for the very first start of the tier, or restore the file"
                        .into(),
                ));
            }
            opened => opened.map_err(named)?,
        };
        lock(&file).map_err(named)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(named)?;
        let (mut at, mut loaded, mut owned) = (0, Loaded::default(), false);
        while let Some((kind, payload, length)) = first(&bytes[at..]) {
            if !owned && (kind != OWNER || payload != owner.as_bytes()) {
                let whose = String::from_utf8_lossy(payload);
                return Err(fault(format!("belongs to {whose:?}, and this is {owner:?}")));
            }
            owned = true;
            match kind {
                OWNER => {}
                ENTRY => {
                    let entry: Entry = read(payload)?;
                    loaded.entries.retain(|e| e.index < entry.index);
                    loaded.entries.push(entry);
                }
                HARD => loaded.hard = read(payload)?,
                PICTURE => {
                    loaded.entries.clear();
                    loaded.snapshot = Some(read(payload)?);
                }
                other => {
                    return Err(fault(format!(
                        "byte {at}: a record of kind {other}, which this build does not know"
                    )));
                }
            }
            at += length;
        }
        // A torn record was never acknowledged; one that is whole further on was, so what lies before it is damaged.
        if let Some(next) =
            (at + 1..bytes.len()).find(|i| first(&bytes[*i..]).is_some_and(|r| r.0 <= PICTURE))
        {
            return Err(fault(format!("byte {at}: damaged, with good records from byte {next} on")));
        }
        file.set_len(at as u64).map_err(named)?;
        let mut log = LogFile { file, path: path.to_path_buf(), owner: owner.as_bytes().to_vec() };
        if !owned {
            let mut out = Vec::new();
            record(&mut out, OWNER, &log.owner);
            log.write(&out)?;
            log.sync_directory()?;
        }
        Ok((log, loaded))
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)?;
        self.file.sync_data()
    }

    fn sync_directory(&self) -> io::Result<()> {
        let directory = self.path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        File::open(directory)?.sync_all()
    }
}

impl Disk for LogFile {
    fn append(&mut self, entries: &[Entry], hard: Option<&HardState>) -> io::Result<()> {
        let mut out = Vec::new();
        records(&mut out, entries, hard)?;
        self.write(&out)
    }

    fn replace(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
        hard: Option<&HardState>,
    ) -> io::Result<()> {
        let mut out = Vec::new();
        record(&mut out, OWNER, &self.owner);
        record(&mut out, PICTURE, &written(snapshot)?);
        records(&mut out, entries, hard)?;
        let fresh = self.path.with_extension("new");
        let mut file = File::create(&fresh)?;
        file.write_all(&out)?;
        file.sync_all()?;
        lock(&file)?;
        std::fs::rename(&fresh, &self.path)?;
        self.sync_directory()?;
        // It goes on where the new file ends; the lock on the old one goes with it.
        self.file = file;
        Ok(())
    }
}

/// A disk in memory, for virtual time: what was written is what the next start finds.
#[derive(Clone, Debug, Default)]
pub struct MemDisk {
    /// What it holds.
    pub held: Loaded,
}

impl Disk for MemDisk {
    fn append(&mut self, entries: &[Entry], hard: Option<&HardState>) -> io::Result<()> {
        for entry in entries {
            self.held.entries.retain(|e| e.index < entry.index);
            self.held.entries.push(entry.clone());
        }
        if let Some(hard) = hard {
            self.held.hard = hard.clone();
        }
        Ok(())
    }

    fn replace(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
        hard: Option<&HardState>,
    ) -> io::Result<()> {
        self.held.snapshot = Some(snapshot.clone());
        self.held.entries = entries.to_vec();
        if let Some(hard) = hard {
            self.held.hard = hard.clone();
        }
        Ok(())
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
        assert!(LogFile::open(&path, "v of t", false).unwrap_err().to_string().contains("tier.found"));
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
            assert_eq!(LogFile::open(&path, "v of t", false).unwrap_err().kind(), io::ErrorKind::WouldBlock);
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
