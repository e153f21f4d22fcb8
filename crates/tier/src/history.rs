//! History for the consistency checker: the events of this process, one JSON object per line. Several processes of the same
//! scheduler may append to one file.

use loomlb_consensus::history_check::HistoryRecord;
use std::fs::File;
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Limit of what one process writes.
const MAX_BYTES: usize = 64 << 20;

/// Why a line was not written.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HistoryError {
    /// The process has reached its limit.
    #[error("the history limit of {MAX_BYTES} bytes per process is reached")]
    Full,
    /// Opening or writing the file failed.
    #[error("cannot write the history: {0}")]
    Write(#[from] io::Error),
    /// The line cannot be encoded as JSON.
    #[error("cannot encode a line of the history: {0}")]
    Encode(#[from] serde_json::Error),
}

/// The history of one process.
#[derive(Debug)]
pub(crate) struct History {
    path: PathBuf,
    /// `None` until the file can be opened.
    file: Option<File>,
    written: usize,
    /// Whether the file may end in a partial line, after a failed write or a killed process.
    may_end_in_partial_line: bool,
}

impl History {
    /// Opens or creates the file. If the disk is full or fails, every write tries again to open it.
    pub(crate) fn open(path: &Path) -> io::Result<History> {
        let mut history =
            History { path: path.into(), file: None, written: 0, may_end_in_partial_line: false };
        match history.open_file() {
            Err(e) if !is_disk_failure(&e) => Err(e),
            _ => Ok(history),
        }
    }

    /// Appends a line. After an error part of it may be in the file; the next write then starts a new line.
    pub(crate) fn write(&mut self, line: &HistoryRecord) -> Result<(), HistoryError> {
        if self.file.is_none() {
            self.open_file()?;
        }
        let mut text = if self.may_end_in_partial_line { vec![b'\n'] } else { Vec::new() };
        serde_json::to_writer(&mut text, line)?;
        text.push(b'\n');
        if self.written + text.len() > MAX_BYTES {
            return Err(HistoryError::Full);
        }
        let Some(file) = &mut self.file else {
            return Err(HistoryError::Write(io::ErrorKind::NotFound.into()));
        };
        self.may_end_in_partial_line = true;
        file.write_all(&text)?;
        self.may_end_in_partial_line = false;
        self.written += text.len();
        Ok(())
    }

    fn open_file(&mut self) -> io::Result<()> {
        let file = File::options().create(true).read(true).append(true).open(&self.path)?;
        self.may_end_in_partial_line = !ends_in_newline(&file)?;
        self.file = Some(file);
        Ok(())
    }
}

/// Whether the disk is full or fails, which may be transient. Other errors are caused by the path or its permissions.
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
