//! What one scheduler needs in a large fleet, as against a small one with the same traffic, the same limits and the same
//! capacity of workers for each scheduler: one real process, the same day at both sizes, held to the operators' bounds.

pub mod bounds;
mod day;
mod process;

use crate::scale::Error;
use crate::scale::limits::Machine;
use crate::scale::report::median;
use crate::tables;
use bounds::{BOUNDS, Bound, Quantity, Row, Side, Usage};
pub use day::Day;
use loomlb_emulator::StopFlag;
use serde::Serialize;
use std::ffi::OsString;
use std::str::FromStr;

/// A fleet's size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct FleetSize {
    /// Workers in the list.
    pub workers: usize,
    /// Schedulers that the settings tell of.
    pub schedulers: usize,
}

/// The usual size of a fleet.
pub const SMALL: FleetSize = FleetSize { workers: 200, schedulers: 56 };
/// Sixteen times the workers and the schedulers.
pub const LARGE: FleetSize = FleetSize { workers: 3_200, schedulers: 900 };

/// The most workers that the scripted servers listen for.
const MOST_WORKERS: usize = crate::scale::workers::MOST;
/// The most schedulers that settings may tell of here.
const MOST_SCHEDULERS: usize = 10_000;
/// Descriptors of this process beside the workers' listeners.
const OTHER_DESCRIPTORS: usize = 3_000;

impl std::fmt::Display for FleetSize {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.workers, self.schedulers)
    }
}

/// Why a text is no size of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{text:?} is no size of a fleet; write WORKERS/SCHEDULERS, 1 to {MOST_WORKERS} and 1 to {MOST_SCHEDULERS}"
)]
pub struct SizeError {
    text: String,
}

impl FromStr for FleetSize {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<FleetSize, SizeError> {
        let error = || SizeError { text: text.into() };
        let (workers, schedulers) = text.split_once('/').ok_or_else(error)?;
        let within = |text: &str, most: usize| {
            let number: Option<usize> = text.trim().parse().ok();
            number.filter(|number| (1..=most).contains(number)).ok_or_else(error)
        };
        Ok(FleetSize {
            workers: within(workers, MOST_WORKERS)?,
            schedulers: within(schedulers, MOST_SCHEDULERS)?,
        })
    }
}

/// How a measurement is made.
#[derive(Clone, Debug)]
pub struct Options {
    /// The small fleet.
    pub small: FleetSize,
    /// The large fleet.
    pub large: FleetSize,
    /// Length of a day, in seconds.
    pub seconds: u64,
    /// Days at each size.
    pub days: u64,
    /// Seed of the first day.
    pub seed: u64,
    /// The scheduler's program with its first arguments.
    pub program: Vec<OsString>,
    /// The scheduler's logs go to standard error rather than nowhere.
    pub logs: bool,
    /// Ends the measurement.
    pub stop: StopFlag,
}

/// All days at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Fleet {
    /// The size.
    pub size: FleetSize,
    /// Medians over the days.
    pub median: Usage,
    /// The days.
    pub days: Vec<Day>,
}

/// A measurement, as it is written.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Length of a day, in seconds.
    pub seconds: u64,
    /// Requests a second.
    pub requests_per_second: f64,
    /// Requests in flight in the mean.
    pub in_flight: f64,
    /// How the peers were represented.
    pub peers: &'static str,
    /// The machine.
    pub machine: Machine,
    /// The small fleet.
    pub small: Fleet,
    /// The large fleet.
    pub large: Fleet,
    /// The figures and their bounds.
    pub rows: Vec<Row>,
}

/// How the peers are represented.
const PEERS: &str = "absent: named in the settings, sent to, and silent";

/// Measures both sizes, a day of each in turn. `progress` gets a line for each day.
pub fn run(options: &Options, progress: &mut dyn FnMut(&str)) -> Result<Report, Error> {
    let machine = Machine::here();
    check_descriptors(options, &machine)?;
    let mut small = Vec::new();
    let mut large = Vec::new();
    for number in 0..options.days {
        let seed = options.seed + number;
        for (size, days) in [(options.small, &mut small), (options.large, &mut large)] {
            let day = day::play(options, size, seed)?;
            progress(&format!("day {seed} at {size}: {:?}", day.usage));
            days.push(day);
        }
    }
    let small = Fleet { size: options.small, median: medians(&small), days: small };
    let large = Fleet { size: options.large, median: medians(&large), days: large };
    let rows = bounds::compare(&small.median, &large.median, options.large.workers);
    Ok(Report {
        seconds: options.seconds,
        requests_per_second: day::REQUESTS_PER_SECOND,
        in_flight: day::IN_FLIGHT,
        peers: PEERS,
        machine,
        small,
        large,
        rows,
    })
}

/// Refuses a measurement for which this process may not open enough descriptors.
fn check_descriptors(options: &Options, machine: &Machine) -> Result<(), Error> {
    let need = (options.small.workers.max(options.large.workers) + OTHER_DESCRIPTORS) as u64;
    if need <= machine.descriptors {
        return Ok(());
    }
    Err(Error::TooLittle {
        what: "descriptors of one process",
        need,
        have: machine.descriptors,
        way_out: "raise `ulimit -n`, or name a smaller fleet with --large",
    })
}

/// The median of each quantity over the days.
fn medians(days: &[Day]) -> Usage {
    let of = |quantity: Quantity| {
        median(days.iter().map(|day| day.usage.of(quantity)).collect()).unwrap_or(f64::NAN)
    };
    Usage {
        cpu_seconds: of(Quantity::CpuSeconds),
        peak_memory: of(Quantity::PeakMemory),
        descriptors: of(Quantity::Descriptors),
        worker_connections: of(Quantity::WorkerConnections),
        list_bytes: of(Quantity::ListBytes),
        share_served: of(Quantity::ShareServed),
    }
}

impl Report {
    /// The figures beside their bounds.
    pub fn table(&self) -> String {
        let size = |fleet: &Fleet| format!("{} workers", fleet.size.workers);
        let mut rows = vec![vec![
            "of one scheduler".to_string(),
            size(&self.small),
            size(&self.large),
            "bound".into(),
            "holds".into(),
        ]];
        rows.extend(BOUNDS.iter().zip(&self.rows).map(|(bound, row)| table_row(bound, row)));
        tables::columns(&rows)
    }
}

fn table_row(bound: &Bound, row: &Row) -> Vec<String> {
    let figure = |value: f64| format!("{:.3}", value / bound.unit_size);
    let side = match row.side {
        Side::AtMost => "at most",
        Side::AtLeast => "at least",
    };
    let name =
        if bound.unit.is_empty() { bound.name.into() } else { format!("{}, {}", bound.name, bound.unit) };
    let holds = if row.holds { "yes" } else { "NO" };
    vec![name, figure(row.small), figure(row.large), format!("{side} {}", figure(row.bound)), holds.into()]
}
