//! Runs at the size of the target, or a part of it: real processes of the program beside hollow schedulers, workers,
//! clients and proposers, as kubemark does with its hollow nodes. The real ones alone are measured.

pub mod changes;
pub mod clients;
pub mod fleet;
pub mod hollow;
pub mod host;
mod http;
pub mod limits;
pub mod links;
pub mod list;
mod play;
pub mod report;
pub mod workers;

pub use play::run;
pub use report::Report;

use loomlb_capacity::predict::predict;
use loomlb_capacity::report::Report as Slopes;
use loomlb_capacity::{Costs, Workload};
use loomlb_consensus::timing::{LeaseTiming, TimingConfig};
use loomlb_emulator::StopFlag;
use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};

/// Why there is no run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The machine's limits are below what the run needs.
    #[error("{what}: {need} needed, {have} there; {way_out}")]
    TooLittle {
        /// Of what.
        what: &'static str,
        /// How much the run needs.
        need: u64,
        /// How much there is.
        have: u64,
        /// What to do.
        way_out: &'static str,
    },
    /// A size or a figure that cannot be.
    #[error("--{key}: {reason}")]
    Option {
        /// The option.
        key: &'static str,
        /// Why.
        reason: String,
    },
    /// A thread of stand-ins could not open what it needs.
    #[error("{host}: {source}; are other runs on this machine?")]
    Host {
        /// Which.
        host: String,
        /// Why.
        source: io::Error,
    },
    /// A process could not be started.
    #[error("{program}: {source}; name another with --program")]
    Start {
        /// Which.
        program: Named,
        /// Why.
        source: io::Error,
    },
    /// The run's own files.
    #[error("the run's directory: {0}; is there room in $TMPDIR?")]
    Files(io::Error),
    /// The prediction.
    #[error("{path}: {reason}")]
    Prediction {
        /// The file.
        path: PathBuf,
        /// Why.
        reason: String,
    },
    /// It was ended by a signal.
    #[error("ended by a signal")]
    Stopped,
}

/// A program's name, for messages.
#[derive(Debug)]
pub struct Named(Option<OsString>);

impl From<Option<OsString>> for Named {
    fn from(name: Option<OsString>) -> Named {
        Named(name)
    }
}

impl From<Option<PathBuf>> for Named {
    fn from(name: Option<PathBuf>) -> Named {
        Named(name.map(Into::into))
    }
}

impl std::fmt::Display for Named {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.0 {
            Some(name) => f.write_str(&name.to_string_lossy()),
            None => f.write_str("no program"),
        }
    }
}

/// How a run is made.
#[derive(Clone, Debug)]
pub struct Options {
    /// The part of the target, above 0 and up to 1, and how it is written.
    pub part: (f64, String),
    /// Length of what is measured, in seconds.
    pub seconds: u64,
    /// Seed of all random numbers here.
    pub seed: u64,
    /// Things go wrong.
    pub faults: bool,
    /// Sizes that are not the part's.
    pub apart: Apart,
    /// The tier's bound, in seconds.
    pub bound: f64,
    /// Real schedulers that vote.
    pub voters: usize,
    /// Real schedulers that serve jobs and are measured; one more serves none.
    pub serving: usize,
    /// The scheduler's program with its first arguments.
    pub program: Vec<OsString>,
    /// The laboratory's own program, for its processes of workers.
    pub host: PathBuf,
    /// Costs that were predicted.
    pub predict: Option<PathBuf>,
    /// Logs go to standard error rather than nowhere.
    pub logs: bool,
    /// Ends the run.
    pub stop: StopFlag,
}

/// Sizes that are set by themselves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Apart {
    /// Schedulers on the tier.
    pub schedulers: Option<f64>,
    /// Workers.
    pub workers: Option<f64>,
    /// Changes a second.
    pub changes: Option<f64>,
    /// Bytes of the document.
    pub document: Option<f64>,
    /// Starts a second at one scheduler.
    pub starts: Option<f64>,
    /// Flows open at one scheduler.
    pub flows: Option<f64>,
}

/// The sizes of a run.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Schedulers on the tier, real and hollow.
    pub schedulers: usize,
    /// Workers in each list.
    pub workers: usize,
    /// Changes a second.
    pub changes: f64,
    /// Bytes of the document.
    pub document: usize,
    /// Starts a second at each scheduler that serves.
    pub starts: f64,
    /// Flows open at each of them.
    pub flows: usize,
}

/// The target in two years: a thousand schedulers are assumed, 37 in each of 27 zones.
pub const TARGET: Sizes =
    Sizes { schedulers: 1000, workers: 19_000, changes: 4.0, document: 100_000, starts: 70.0, flows: 2444 };
/// Zones of the target.
const ZONES: usize = 27;

impl Sizes {
    /// The sizes of a run.
    pub fn of(options: &Options) -> Result<Sizes, Error> {
        let (part, apart) = (options.part.0, options.apart);
        let or = |apart: Option<f64>, full: f64| apart.unwrap_or(full * part);
        let sizes = Sizes {
            schedulers: or(apart.schedulers, TARGET.schedulers as f64).round() as usize,
            workers: or(apart.workers, TARGET.workers as f64).round() as usize,
            changes: or(apart.changes, TARGET.changes),
            document: or(apart.document, TARGET.document as f64).round() as usize,
            starts: or(apart.starts, TARGET.starts),
            flows: or(apart.flows, TARGET.flows as f64).round() as usize,
        };
        let within = |key, value: f64, least: f64, most: f64| {
            let reason = format!("{value} is not from {least} to {most}");
            if (least..=most).contains(&value) { Ok(()) } else { Err(Error::Option { key, reason }) }
        };
        within("schedulers", sizes.schedulers as f64, options.real() as f64 + 1.0, 100_000.0)?;
        within("workers", sizes.workers as f64, 1.0, 60_000.0)?;
        within("changes", sizes.changes, 0.0, 1000.0)?;
        within("document", sizes.document as f64, 1.0, 3e6)?;
        within("starts", sizes.starts, 0.0, 10_000.0)?;
        within("flows", sizes.flows as f64, 0.0, 20_000.0)?;
        Ok(sizes)
    }

    /// Hollow schedulers.
    pub fn hollow(&self, options: &Options) -> usize {
        self.schedulers.saturating_sub(options.real())
    }

    /// Connections that one real scheduler may have open.
    fn sockets(&self) -> usize {
        (self.flows * 3 + self.starts as usize * 60 + 512).min(16_000)
    }
}

impl Options {
    /// Real schedulers: those that vote, that serve, the idle one, two for proposals, and one that is cut off.
    pub fn real(&self) -> usize {
        self.voters + self.serving + 3 + usize::from(self.faults)
    }

    fn timing(&self) -> Result<LeaseTiming, Error> {
        let terms = TimingConfig { bound: (self.bound * 1e9) as u64, ..TimingConfig::default() };
        terms.derive().map_err(|(_, reason)| Error::Option { key: "bound", reason })
    }

    /// What a run of these sizes is, as a workload.
    pub fn workload(&self, sizes: &Sizes, document: usize) -> Workload {
        Workload {
            schedulers: sizes.schedulers as f64,
            voters: self.voters as f64,
            workers: sizes.workers as f64,
            document: document as f64,
            changes: sizes.changes,
            renew: TimingConfig::default().renewal_interval as f64 / 1e9,
            starts: sizes.starts,
            flows: sizes.flows as f64,
        }
    }
}

/// What a workload costs by the slopes in a report of [`crate::capacity`].
pub fn predicted(path: &Path, workload: &Workload) -> Result<Costs, Error> {
    let failed = |reason: String| Error::Prediction { path: path.into(), reason };
    let text = std::fs::read_to_string(path).map_err(|e| failed(e.to_string()))?;
    Slopes::parse(&text).map(|slopes| predict(&slopes, workload)).map_err(|e| failed(e.to_string()))
}
