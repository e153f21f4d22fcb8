//! The file of what this process acted upon, for the checker: a line of JSON each. Processes of the same scheduler may
//! append to one file at the same time.

use loomlb_consensus::history_check::HistoryRecord;
use std::fs::File;
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Bytes that a process writes at the most.
const MAX_BYTES: usize = 64 << 20;

/// A line that is not in the file; it is counted and left out.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HistoryError {
    /// The process has written as much as it may.
    #[error("the history holds {MAX_BYTES} bytes of this process")]
    Full,
    /// Writing failed.
    #[error("the history: {0}")]
    Write(#[from] io::Error),
    /// The line has no form as JSON.
    #[error("the history: {0}")]
    Encode(#[from] serde_json::Error),
}

/// The history of one process.
#[derive(Debug)]
pub(crate) struct History {
    path: PathBuf,
    /// None while the disk has not let it be created.
    file: Option<File>,
    written: usize,
    /// The file may end in a part of a line, as after a write that failed or a process that was killed.
    torn: bool,
}

impl History {
    /// Opens the file, or creates it. On a disk that is full or fails it is tried again at every line.
    pub(crate) fn open(path: &Path) -> io::Result<History> {
        let mut history = History { path: path.into(), file: None, written: 0, torn: false };
        match history.open_file() {
            Err(e) if !is_disk_failure(&e) => Err(e),
            _ => Ok(history),
        }
    }

    /// Adds a line. After an error a part of it may be in the file; the next line starts behind it on its own.
    pub(crate) fn write(&mut self, line: &HistoryRecord) -> Result<(), HistoryError> {
        if self.file.is_none() {
            self.open_file()?;
        }
        let mut text = if self.torn { vec![b'\n'] } else { Vec::new() };
        serde_json::to_writer(&mut text, line)?;
        text.push(b'\n');
        if self.written + text.len() > MAX_BYTES {
            return Err(HistoryError::Full);
        }
        let Some(file) = &mut self.file else {
            return Err(HistoryError::Write(io::ErrorKind::NotFound.into()));
        };
        self.torn = true;
        file.write_all(&text)?;
        self.torn = false;
        self.written += text.len();
        Ok(())
    }

    fn open_file(&mut self) -> io::Result<()> {
        let file = File::options().create(true).read(true).append(true).open(&self.path)?;
        self.torn = !ends_in_newline(&file)?;
        self.file = Some(file);
        Ok(())
    }
}

/// The disk is full or fails, which may pass; any other error is one of the path or its rights.
fn is_disk_failure(e: &io::Error) -> bool {
    let is_input_output_error = e.raw_os_error() == Some(rustix::io::Errno::IO.raw_os_error());
    let kind = e.kind();
    is_input_output_error
        || matches!(
            kind,
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::ReadOnlyFilesystem
        )
}

fn ends_in_newline(file: &File) -> io::Result<bool> {
    let length = file.metadata()?.len();
    let Some(last) = length.checked_sub(1) else { return Ok(true) };
    let mut byte = [0];
    file.read_exact_at(&mut byte, last)?;
    Ok(byte == *b"\n")
}

#[cfg(test)]
mod tests;
