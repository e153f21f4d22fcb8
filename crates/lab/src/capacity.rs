//! The bench of costs: what each role spends by the size of the fleet, measured on this machine.
//!
//! Bytes, words and memory are counted: words as `loomlb-consensus` seals them, on the tier of [`crate::trial`] in virtual time;
//! allocations and live bytes by an allocator that counts. They are the same wherever the bench runs. Times are those of
//! this machine, one thread at a time. Each module tells how its series are measured; docs/CAPACITY.md tells what follows.

pub mod change;
pub mod discovery;
pub mod estimated;
pub mod meter;
pub mod probe;
pub mod quota;
pub mod scheduler;
pub mod target;
pub mod tier;
pub mod voter;

use crate::tables;
use loomlb_capacity::fit::{Shape, median};
use loomlb_capacity::report::{FittedSeries, Machine, Report};
use loomlb_capacity::{Series, Source};
use meter::Plan;

/// What is asked of the bench on the command line.
#[derive(clap::Args, Clone, Debug, Default)]
pub struct Options {
    /// Few sizes and runs, within some seconds: for tests, not for figures.
    #[arg(long)]
    pub quick: bool,
    /// Only series whose key begins with this.
    #[arg(long, value_name = "PREFIX")]
    pub only: Option<String>,
    /// Print one JSON object instead of a table.
    #[arg(long)]
    pub json: bool,
    /// Write the JSON to a file, too.
    #[arg(long, value_name = "FILE")]
    pub out: Option<std::path::PathBuf>,
    /// Measure nothing: put the figures of `--from` to this plan, and print its tables for the page.
    #[arg(long, value_name = "FILE", requires = "from")]
    pub plan: Option<std::path::PathBuf>,
    /// An earlier report of the bench.
    #[arg(long, value_name = "FILE", requires = "plan")]
    pub from: Option<std::path::PathBuf>,
}

/// One module's series.
type Part = fn(&Plan) -> Result<Vec<Series>, String>;

/// Runs the bench.
pub fn run(options: &Options) -> Result<Report, String> {
    let plan = Plan::new(options.quick, options.only.clone());
    // What is timed goes first: what is counted in virtual time uses all cores and much memory.
    let parts: [Part; 8] = [
        scheduler::series,
        tier::own,
        voter::series,
        quota::series,
        tier::series,
        change::series,
        discovery::series,
        estimated::series,
    ];
    let mut all = Vec::new();
    for part in parts {
        all.extend(part(&plan)?);
    }
    all.retain(|s| plan.wants(&s.key));
    if all.is_empty() {
        return Err(format!("--only {}: no series begins so", options.only.as_deref().unwrap_or("")));
    }
    all.sort_by(|a, b| a.key.cmp(&b.key));
    let report = Report::new(machine(), options.quick, all).map_err(|e| e.to_string())?;
    if let Some(file) = &options.out {
        std::fs::write(file, report.to_json()).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    Ok(report)
}

/// What the bench runs on.
fn machine() -> Machine {
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    let total = std::fs::read_to_string("/proc/meminfo").ok().and_then(|text| {
        let line = text.lines().find(|l| l.starts_with("MemTotal:"))?;
        line.split_whitespace().nth(1)?.parse::<u64>().ok()
    });
    Machine { cores, memory_mb: total.unwrap_or(0) / 1024, release: !cfg!(debug_assertions) }
}

/// A number in three digits.
fn short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        v if !(1e-2..1e10).contains(&v) => format!("{value:.2e}"),
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.2}"),
    }
}

fn shape(fitted: &FittedSeries) -> String {
    match &fitted.fit.shape {
        Shape::Flat { value } => format!("flat {}", short(*value)),
        Shape::Line { fixed, slope } => format!("{} + {} a unit", short(*fixed), short(*slope)),
        Shape::Power { factor, exponent } => format!("{} x size^{exponent:.2}", short(*factor)),
        Shape::Piecewise { segments } => {
            let parts = segments.iter().map(|s| format!("{} a unit to {}", short(s.slope), short(s.to)));
            format!("bends: {}", parts.collect::<Vec<String>>().join(", "))
        }
    }
}

/// The slopes as a table.
pub fn table(report: &Report) -> String {
    let head = ["key", "unit by size", "measured", "slope", "spread", "off by", "exponent", "how"];
    let mut rows = vec![head.map(String::from).to_vec()];
    for fitted in &report.series {
        let (series, fit) = (&fitted.series, &fitted.fit);
        let points = &series.points;
        let ends = [points.first(), points.last()].map(|p| {
            p.map_or(String::new(), |p| format!("{} at {}", short(median(&p.values)), short(p.size)))
        });
        let how = match series.source {
            Source::Counted => "counted",
            Source::Timed => "timed",
            Source::Estimated => "estimated",
        };
        rows.push(vec![
            series.key.clone(),
            format!("{} by {}", series.unit, series.size_unit),
            ends.join(", "),
            shape(fitted),
            format!("{:.0} %", fit.spread * 100.0),
            format!("{:.0} %", fit.worst_residual * 100.0),
            fit.exponent.map_or(String::new(), |e| format!("{e:.2}")),
            how.into(),
        ]);
    }
    let Machine { cores, memory_mb, release } = report.machine;
    let built = if release { "release" } else { "debug" };
    format!("{cores} cores, {memory_mb} MB, {built} build\n{}", tables::columns(&rows))
}
