//! One real scheduler process without a tier, and what it needs as /proc tells it.

use crate::scale::Error;
use crate::scale::fleet::{Spent, spent};
use serde_json::Value;
use std::ffi::OsString;
use std::process::{Child, Command, Stdio};

/// A scheduler process; it is killed when this is dropped.
#[derive(Debug)]
pub struct SchedulerProcess {
    child: Child,
    _files: tempfile::TempDir,
}

impl SchedulerProcess {
    /// Starts the program with a configuration. Its logs go to standard error if `show_logs` is set, else nowhere.
    pub fn start(program: &[OsString], config: &Value, show_logs: bool) -> Result<SchedulerProcess, Error> {
        let failed = |e: std::io::Error| Error::Start { program: program.first().cloned().into(), source: e };
        let files = tempfile::Builder::new().prefix("loomlb-fleet-").tempdir().map_err(Error::Files)?;
        let config_file = files.path().join("scheduler.json");
        std::fs::write(&config_file, config.to_string()).map_err(Error::Files)?;
        let (program, arguments) =
            program.split_first().ok_or_else(|| failed(std::io::ErrorKind::NotFound.into()))?;
        let mut command = Command::new(program);
        command.args(arguments).arg("serve").env_clear().env("LB_CONFIG", &config_file);
        command.stdin(Stdio::null()).stdout(Stdio::null());
        if !show_logs {
            command.stderr(Stdio::null());
        }
        let child = command.spawn().map_err(failed)?;
        Ok(SchedulerProcess { child, _files: files })
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Processor time and memory so far; none once it has ended.
    pub fn spent(&self) -> Option<Spent> {
        spent(self.child.id())
    }

    /// Descriptors that are open now.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }
}

impl Drop for SchedulerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
