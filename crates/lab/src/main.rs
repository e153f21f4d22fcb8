//! `loomlb-lab`: days of the platform in virtual time and on sockets.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand, ValueEnum};
use loomlb_capacity::plan;
use loomlb_consensus::timing::TimingConfig;
use loomlb_emulator::{Options, Progress, StopFlag};
use loomlb_lab::baselines::{Baseline, Idea};
use loomlb_lab::processes::{self, Schedule};
use loomlb_lab::{capacity, days, fleet, scale, tables, trial};
use loomlb_simulation::Scenario;
use loomlb_simulation::simulate::{self, Decider};
use rayon::prelude::*;
use std::ffi::OsString;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// Plays days of the platform: workers, discovery, network, clients and what goes wrong with them.
#[derive(Parser)]
#[command(name = "loomlb-lab", version, arg_required_else_help = true)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a day in virtual time: the same seed gives the same events, whatever the machine.
    Simulate(Simulate),
    /// Play a day on loopback sockets, around real scheduler processes.
    Emulate(Emulate),
    /// Start a platform and a scheduler here, send traffic through a trouble, and show how it goes.
    Demo(Demo),
    /// Compare the module with textbook policies: the same seeds of each day, in virtual time.
    Policies(Policies),
    /// Put a tier that agrees on its settings through faults: in virtual time, or with real processes.
    Trial(Trial),
    /// Measure what each role costs by the size of the fleet, and fit the slopes.
    Capacity(capacity::Options),
    /// Run a part of the target: real schedulers beside hollow ones, workers, clients and changes; what the real ones cost.
    Scale(Scale),
    /// Run one scheduler in a small and in a large fleet, and hold what it needs in the large one to its bounds.
    Fleet(FleetArgs),
    /// Hollow workers, as `scale` starts them.
    #[command(hide = true)]
    ScaleWorkers(scale::workers::Args),
    /// List the days that ship.
    Days,
    /// The scheduler itself, as `loomlb` runs it; what `emulate` starts where no program is named.
    #[command(hide = true)]
    Scheduler {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
}

#[derive(clap::Args)]
struct Emulate {
    /// A day file, or the name of a day that ships (see `loomlb-lab days`).
    day: PathBuf,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The scheduler's program (default: the scheduler that is built into this one).
    #[arg(long)]
    program: Option<PathBuf>,
    /// Show the schedulers' logs on standard error.
    #[arg(long)]
    logs: bool,
    /// Print one JSON object instead of a table.
    #[arg(long)]
    json: bool,
}

#[derive(clap::Args)]
struct Trial {
    /// A schedule for real processes; without one schedules are drawn.
    file: Option<PathBuf>,
    /// Seeds from the first to before the second.
    #[arg(long, num_args = 2, value_names = ["FROM", "TO"], default_values_t = [0, 20])]
    seeds: Vec<u64>,
    /// Real processes rather than virtual time.
    #[arg(long)]
    processes: bool,
    /// Trials that run at once.
    #[arg(long, default_value_t = 4)]
    at_once: usize,
    /// Schedulers: 3 to 16 as processes, any number in virtual time.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(3..=1000))]
    schedulers: u64,
    /// Those of them that vote (in virtual time).
    #[arg(long, default_value_t = 3)]
    voters: usize,
    /// Length of the part with faults, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// The tier's bound, in seconds (in virtual time).
    #[arg(long, default_value_t = 2.5)]
    bound: f64,
    /// Nothing goes wrong (in virtual time).
    #[arg(long)]
    calm: bool,
    /// Disks of voters fail for a while as well.
    #[arg(long)]
    disks: bool,
    /// The scheduler's program (default: the scheduler that is built into this one).
    #[arg(long)]
    program: Option<PathBuf>,
    /// Where to keep a schedule that failed, made as short as it still fails.
    #[arg(long, default_value = ".")]
    keep: PathBuf,
    /// Print one JSON object instead of a table.
    #[arg(long)]
    json: bool,
}

#[derive(clap::Args)]
struct Scale {
    /// The part of the target: 1/30, 1/10, 1/3, 1.
    #[arg(long, default_value = "1/30", value_parser = part)]
    part: (f64, String),
    /// Length of what is measured, in seconds.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Voters die and stand still, a region is cut off, workers and schedulers start anew, a rack leaves.
    #[arg(long)]
    faults: bool,
    /// The scheduler's program (default: the scheduler that is built into this one).
    #[arg(long)]
    program: Option<PathBuf>,
    /// Costs that were predicted, to compare with.
    #[arg(long)]
    predict: Option<PathBuf>,
    /// Schedulers on the tier.
    #[arg(long)]
    schedulers: Option<f64>,
    /// Workers in each list.
    #[arg(long)]
    workers: Option<f64>,
    /// Changes of the document a second.
    #[arg(long)]
    changes: Option<f64>,
    /// Size of the document, in bytes.
    #[arg(long)]
    document: Option<f64>,
    /// Jobs that start a second at each scheduler that serves.
    #[arg(long)]
    starts: Option<f64>,
    /// Flows open at each scheduler that serves.
    #[arg(long)]
    flows: Option<f64>,
    /// The tier's bound, in seconds.
    #[arg(long, default_value_t = 4.0)]
    bound: f64,
    /// Voters: 3, 5 or 7.
    #[arg(long, default_value_t = 5)]
    voters: usize,
    /// Show the schedulers' logs on standard error.
    #[arg(long)]
    logs: bool,
    /// Print one JSON object instead of a table.
    #[arg(long)]
    json: bool,
    /// Write the JSON object to this file as well.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// A part of the target: `1`, `0.1` or `1/10`.
fn part(text: &str) -> Result<(f64, String), String> {
    let (above, below) = text.split_once('/').unwrap_or((text, "1"));
    let number = |t: &str| t.trim().parse::<f64>().map_err(|e| format!("{t:?}: {e}"));
    let value = number(above)? / number(below)?;
    if value > 0.0 && value <= 1.0 { Ok((value, text.into())) } else { Err("above 0 and up to 1".into()) }
}

fn scaled(args: &Scale) -> Result<ExitCode, String> {
    let options = scale::Options {
        part: args.part.clone(),
        seconds: args.seconds,
        seed: args.seed,
        faults: args.faults,
        apart: scale::Apart {
            schedulers: args.schedulers,
            workers: args.workers,
            changes: args.changes,
            document: args.document,
            starts: args.starts,
            flows: args.flows,
        },
        bound: args.bound,
        voters: args.voters,
        serving: 2,
        program: program(args.program.as_ref())?,
        host: std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?,
        predict: args.predict.clone(),
        logs: args.logs,
        stop: stop_on_signal()?,
    };
    let played = scale::run(&options, &mut |line| eprintln!("{line}")).map_err(|e| e.to_string())?;
    write_report(args.out.as_ref(), &played)?;
    report(args.json, &played, || played.table())?;
    Ok(verdict(u64::from(!played.counts())))
}

#[derive(clap::Args)]
struct FleetArgs {
    /// Workers and schedulers of the small fleet.
    #[arg(long, default_value_t = fleet::SMALL)]
    small: fleet::FleetSize,
    /// Workers and schedulers of the large fleet.
    #[arg(long, default_value_t = fleet::LARGE)]
    large: fleet::FleetSize,
    /// Length of a day, in seconds.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(2..=3600))]
    seconds: u64,
    /// Days at each size; the medians are compared.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=100))]
    days: u64,
    /// Seed of the first day; the further ones follow it.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The scheduler's program (default: the scheduler that is built into this one).
    #[arg(long)]
    program: Option<PathBuf>,
    /// Show the scheduler's logs on standard error.
    #[arg(long)]
    logs: bool,
    /// Print one JSON object instead of a table.
    #[arg(long)]
    json: bool,
    /// Write the JSON object to this file as well.
    #[arg(long)]
    out: Option<PathBuf>,
}

fn measure_fleets(args: &FleetArgs) -> Result<ExitCode, String> {
    let options = fleet::Options {
        small: args.small,
        large: args.large,
        seconds: args.seconds,
        days: args.days,
        seed: args.seed,
        program: program(args.program.as_ref())?,
        logs: args.logs,
        stop: stop_on_signal()?,
    };
    let measured = fleet::run(&options, &mut |line| eprintln!("{line}")).map_err(|e| e.to_string())?;
    write_report(args.out.as_ref(), &measured)?;
    report(args.json, &measured, || measured.table())?;
    Ok(verdict(measured.rows.iter().filter(|row| !row.holds).count() as u64))
}

/// Writes a report to a file, if one is named.
fn write_report<T: serde::Serialize>(file: Option<&PathBuf>, report: &T) -> Result<(), String> {
    let Some(file) = file else { return Ok(()) };
    let text = serde_json::to_string_pretty(report).map_err(|e| e.to_string())?;
    std::fs::write(file, text + "\n").map_err(|e| format!("{}: {e}", file.display()))
}

#[derive(clap::Args)]
struct Demo {
    /// How long requests arrive, in seconds.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The scheduler's program (default: the scheduler that is built into this one).
    #[arg(long)]
    program: Option<PathBuf>,
    /// Print one JSON object on standard output, and the rest on standard error.
    #[arg(long)]
    json: bool,
}

#[derive(clap::Args)]
struct Simulate {
    /// A day file, or the name of a day that ships (see `loomlb-lab days`).
    day: PathBuf,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Threads on which schedulers decide; the result does not depend on it.
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// Who decides.
    #[arg(long, value_enum, default_value_t = Policy::Module)]
    policy: Policy,
    /// Print one JSON object instead of a table.
    #[arg(long)]
    json: bool,
}

#[derive(clap::Args)]
struct Policies {
    /// Day files or names of days that ship (default: all that ship but the large ones).
    days: Vec<PathBuf>,
    /// Seeds 1 to this number of each day.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// Print one JSON object instead of a table.
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, ValueEnum, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
enum Policy {
    /// The decision module.
    Module,
    /// Any worker.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest attempts of this scheduler.
    LeastInFlight,
    /// The better of two at random.
    TwoChoices,
}

impl Policy {
    fn idea(self) -> Option<Idea> {
        match self {
            Policy::Module => None,
            Policy::Random => Some(Idea::Random),
            Policy::RoundRobin => Some(Idea::RoundRobin),
            Policy::LeastInFlight => Some(Idea::LeastInFlight),
            Policy::TwoChoices => Some(Idea::TwoChoices),
        }
    }
}

fn play(day: &Scenario, seed: u64, threads: usize, policy: Policy) -> simulate::SimulationResult {
    match policy.idea() {
        None => simulate::run(day, seed, threads),
        Some(idea) => simulate::run_with(day, seed, threads, &|set, seed| -> Box<dyn Decider> {
            Box::new(Baseline::new(idea, set, seed))
        }),
    }
}

/// Service of a policy on the seeds of a day.
#[derive(serde::Serialize)]
struct Compared {
    day: String,
    policy: Policy,
    service: Vec<f64>,
    breaches: u64,
}

fn policies(args: &Policies) -> Result<ExitCode, String> {
    let small = |name: &&str| !["large", "huge", "demo"].contains(name);
    let named: Vec<PathBuf> = if args.days.is_empty() {
        days::SHIPPED.iter().map(|d| d.0).filter(small).map(PathBuf::from).collect()
    } else {
        args.days.clone()
    };
    let days = named.iter().map(|d| days::load(d)).collect::<Result<Vec<Scenario>, String>>()?;
    let policies =
        [Policy::Module, Policy::LeastInFlight, Policy::TwoChoices, Policy::RoundRobin, Policy::Random];
    let pairs: Vec<(&Scenario, Policy)> = days.iter().flat_map(|d| policies.map(|p| (d, p))).collect();
    let bar = indicatif::ProgressBar::new(pairs.len() as u64 * args.seeds);
    let compared: Vec<Compared> = pairs
        .par_iter()
        .map(|(day, policy)| {
            let played = |seed| {
                let played = play(day, seed, 0, *policy);
                bar.inc(1);
                played
            };
            let all: Vec<simulate::SimulationResult> = (1..=args.seeds).map(played).collect();
            let service = all.iter().map(|p| p.figures.service).collect();
            let breaches = all.iter().map(|p| p.violations).sum();
            Compared { day: day.name.clone(), policy: *policy, service, breaches }
        })
        .collect();
    bar.finish_and_clear();
    let breaches = compared.iter().filter(|c| c.policy == Policy::Module).map(|c| c.breaches).sum();
    report(args.json, &compared, || {
        let mut head = vec!["service, median (least to most)".to_string()];
        head.extend(
            policies.map(|p| p.to_possible_value().map_or(String::new(), |v| v.get_name().to_string())),
        );
        let mut rows = vec![head];
        for row in compared.chunks(policies.len()) {
            let cell = |c: &Compared| {
                let mut s = c.service.clone();
                s.sort_by(f64::total_cmp);
                let mark = if c.breaches > 0 { format!(" !{}", c.breaches) } else { String::new() };
                format!("{:.3} ({:.2}-{:.2}){mark}", s[s.len() / 2], s[0], s[s.len() - 1])
            };
            rows.push(std::iter::once(row[0].day.clone()).chain(row.iter().map(cell)).collect());
        }
        tables::columns(&rows)
    })?;
    Ok(verdict(breaches))
}

/// Plays the trials of a range of seeds, some at once, and says what they came to.
fn trials(args: &Trial) -> Result<ExitCode, String> {
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(args.at_once.max(1))
        .build()
        .map_err(|e| e.to_string())?;
    if args.processes || args.file.is_some() {
        return pool.install(|| of_processes(args));
    }
    let terms = TimingConfig { bound: (args.bound * 1e9) as u64, ..TimingConfig::default() };
    let trial = trial::Trial {
        schedulers: args.schedulers as usize,
        voters: args.voters,
        seconds: args.seconds,
        terms,
        faults: !args.calm,
        disks: args.disks,
        every: 2_000_000_000,
        without: trial::Without::Nothing,
    };
    let played: Result<Vec<trial::Told>, String> = pool.install(|| {
        (args.seeds[0]..args.seeds[1]).into_par_iter().map(|seed| trial::play(&trial, seed)).collect()
    });
    let played = played?;
    let of = |what: fn(&trial::Told) -> f64| spread(played.iter().map(what).collect());
    let breaches = played.iter().map(|t| t.breaches.len() as u64).sum();
    report(args.json, &played, || {
        let rows = [
            (
                "trials, with breaches",
                format!("{}, {}", played.len(), played.iter().filter(|t| !t.breaches.is_empty()).count()),
            ),
            ("acts looked at", played.iter().map(|t| t.acts).sum::<usize>().to_string()),
            ("longest disagreement, ms", of(|t| t.disagreed_ms)),
            ("versions", of(|t| t.versions as f64)),
            ("agreed to in force, ms: a trial's median", of(|t| t.force_ms[0])),
            ("agreed to in force, ms: a trial's longest", of(|t| t.force_ms[1])),
            ("agreed to acted on by all with a lease, ms: a trial's median", of(|t| t.everywhere_ms[0])),
            ("agreed to acted on by all with a lease, ms: a trial's longest", of(|t| t.everywhere_ms[1])),
            ("part of the time with a lease", of(|t| t.could_act)),
            ("words a second and scheduler", of(|t| t.words)),
        ];
        let first: String =
            played.iter().flat_map(|t| &t.breaches).take(3).map(|b| format!("{b}\n")).collect();
        let rows: Vec<Vec<String>> =
            rows.into_iter().map(|(what, figure)| vec![what.into(), figure]).collect();
        tables::columns(&rows) + &first
    })?;
    Ok(verdict(breaches))
}

/// Median, least and most.
fn spread(mut all: Vec<f64>) -> String {
    all.sort_by(f64::total_cmp);
    let at = |part: usize| all.get((all.len().saturating_sub(1)) * part / 2).copied().unwrap_or(0.0);
    format!("{:.2} ({:.2} to {:.2})", at(1), at(0), at(2))
}

fn of_processes(args: &Trial) -> Result<ExitCode, String> {
    if args.schedulers > 16 {
        return Err("--schedulers: 3 to 16 processes".into());
    }
    let program = program(args.program.as_ref())?;
    let schedules: Vec<Schedule> = match &args.file {
        Some(file) => {
            let named = |e: String| format!("{}: {e}", file.display());
            let text = std::fs::read_to_string(file).map_err(|e| named(e.to_string()))?;
            vec![loomlb_config_file::parse(&text).map_err(|e| named(e.to_string()))?]
        }
        None => (args.seeds[0]..args.seeds[1])
            .map(|seed| processes::draw(seed, args.schedulers as usize, args.seconds))
            .collect(),
    };
    let played: std::io::Result<Vec<processes::Told>> =
        schedules.par_iter().map(|schedule| processes::play(schedule, &program)).collect();
    let played = played.map_err(|e| e.to_string())?;
    for (schedule, told) in schedules.iter().zip(&played).filter(|(_, t)| !t.breaches.is_empty()) {
        eprintln!("{}: {}", schedule.name, told.breaches.join("\n  "));
        if args.file.is_none() {
            let short = processes::shorten(schedule, &program).map_err(|e| e.to_string())?;
            let file = args.keep.join(format!("{}.toml", short.name));
            let text = toml::to_string(&short).map_err(|e| e.to_string())?;
            std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
            eprintln!("kept as {}", file.display());
        }
    }
    let of = |what: fn(&processes::Told) -> f64| spread(played.iter().map(what).collect());
    let breaches = played.iter().map(|t| t.breaches.len() as u64).sum();
    report(args.json, &played, || {
        let rows = [
            (
                "schedules, with breaches",
                format!("{}, {}", played.len(), played.iter().filter(|t| !t.breaches.is_empty()).count()),
            ),
            ("acts looked at", played.iter().map(|t| t.acts).sum::<usize>().to_string()),
            ("longest disagreement, ms", of(|t| t.disagreed_ms)),
            ("versions", of(|t| t.versions as f64)),
            ("jobs", of(|t| t.jobs[0] as f64)),
            ("jobs without an answer", of(|t| t.jobs[2] as f64)),
            ("end of the faults to all on one version, ms", of(|t| t.settled_ms)),
        ];
        let rows: Vec<Vec<String>> =
            rows.into_iter().map(|(what, figure)| vec![what.into(), figure]).collect();
        tables::columns(&rows)
    })?;
    Ok(verdict(breaches))
}

/// Measures costs by size, or puts measured ones to a plan.
fn costs(args: &capacity::Options) -> Result<ExitCode, String> {
    if let (Some(plan), Some(from)) = (&args.plan, &args.from) {
        let planned = capacity::target::plan(plan, from, args.out.as_deref())?;
        let file =
            args.out.as_ref().and_then(|f| f.file_name()).map_or("plan.json".into(), |f| f.to_string_lossy());
        // The page stands one folder above its figures.
        let file = format!("capacity/{file}");
        report(args.json, &planned, || {
            format!("{}\n{}", plan::cost_table(&planned, &file), plan::limit_table(&planned, &file))
        })?;
        return Ok(ExitCode::SUCCESS);
    }
    let told = capacity::run(args)?;
    report(args.json, &told, || capacity::table(&told))?;
    Ok(ExitCode::SUCCESS)
}

fn simulate(args: &Simulate) -> Result<ExitCode, String> {
    let day = days::load(&args.day)?;
    let played = play(&day, args.seed, args.threads, args.policy);
    report(args.json, &played, || tables::played(&day, args.seed, &played))?;
    Ok(verdict(played.violations))
}

/// The scheduler's program: the one named, or the one that is built in.
fn program(named: Option<&PathBuf>) -> Result<Vec<OsString>, String> {
    match named {
        Some(path) => Ok(vec![path.into()]),
        None => {
            let me = std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?;
            Ok(vec![me.into(), "scheduler".into()])
        }
    }
}

/// Ends a run in order on Ctrl-C or SIGTERM.
fn stop_on_signal() -> Result<StopFlag, String> {
    let stop = StopFlag::default();
    let asked = stop.clone();
    ctrlc::set_handler(move || asked.request()).map_err(|e| format!("Ctrl-C: {e}"))?;
    Ok(stop)
}

fn report<T: serde::Serialize>(json: bool, value: &T, table: impl FnOnce() -> String) -> Result<(), String> {
    if json {
        println!("{}", serde_json::to_string(value).map_err(|e| e.to_string())?);
    } else {
        print!("{}", table());
    }
    Ok(())
}

fn verdict(breaches: u64) -> ExitCode {
    if breaches == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

fn emulate(args: &Emulate) -> Result<ExitCode, String> {
    let day = days::load(&args.day)?;
    let options = Options { show_logs: args.logs, ..Options::new(program(args.program.as_ref())?) };
    let played = loomlb_emulator::run(&day, args.seed, options, stop_on_signal()?, &mut |_| {});
    let played = played.map_err(|e| e.to_string())?;
    report(args.json, &played, || tables::emulated(&day, args.seed, &played))?;
    Ok(verdict(played.violations + played.crashes))
}

const DEMO: &str = include_str!("../days/demo.toml");

fn demo(args: &Demo) -> Result<ExitCode, String> {
    let mut day = Scenario::read(DEMO).map_err(|e| e.to_string())?;
    day.seconds = args.seconds;
    // Troubles lie where they do in the day of 20 s.
    for t in &mut day.faults {
        (t.at_s, t.for_s) = (t.at_s / 20.0 * args.seconds, t.for_s / 20.0 * args.seconds);
    }
    day.check().map_err(|(key, reason)| format!("--seconds {}: {key}: {reason}", args.seconds))?;
    let options = Options { allow_manual_requests: true, ..Options::new(program(args.program.as_ref())?) };
    eprintln!(
        "{} workers and {} scheduler(s) on loopback; requests for {} s. Ctrl-C ends it.",
        day.fleet.workers, day.schedulers.count, args.seconds
    );
    let mut shown = false;
    let mut tell = |live: &Progress| {
        if !std::mem::replace(&mut shown, true) {
            let at = live.listen_addresses.first().map_or("", String::as_str);
            eprintln!("try it yourself while it runs:");
            eprintln!(
                "  curl -i http://{at}/view/hello -H \"X-Correlation-Id: me-$RANDOM$RANDOM\" -H 'X-Service-Class: view' -H 'X-Time-Left: 5' -d hello"
            );
        }
        let (f, s) = (&live.figures, &live.checker_counts);
        let troubles =
            if live.active_faults.is_empty() { "-".to_string() } else { live.active_faults.join(", ") };
        eprintln!(
            "{:>4} s  taken {:>5}  answered {:>5}  in time {:>5}  refused {:>3}  failed {:>3}  p99 {:>6.0} ms  workers up {:>2}  trouble: {troubles}  breaches {}",
            live.second,
            s.taken,
            s.answered,
            f.in_time,
            s.refused,
            s.failed,
            f.p99_ms,
            live.workers_up,
            live.violations
        );
        let _ = std::io::stderr().flush();
    };
    let played = loomlb_emulator::run(&day, args.seed, options, stop_on_signal()?, &mut tell);
    let played = played.map_err(|e| e.to_string())?;
    report(args.json, &played, || tables::emulated(&day, args.seed, &played))?;
    Ok(verdict(played.violations + played.crashes))
}

fn main() -> ExitCode {
    let done = match Args::parse().command {
        Command::Simulate(args) => simulate(&args),
        Command::Emulate(args) => emulate(&args),
        Command::Demo(args) => demo(&args),
        Command::Policies(args) => policies(&args),
        Command::Trial(args) => trials(&args),
        Command::Capacity(args) => costs(&args),
        Command::Scale(args) => scaled(&args),
        Command::Fleet(args) => measure_fleets(&args),
        Command::ScaleWorkers(args) => {
            scale::workers::run(&args).map(|()| ExitCode::SUCCESS).map_err(|e| format!("workers: {e}"))
        }
        Command::Scheduler { args } => {
            return loomlb::run(std::iter::once(OsString::from("loomlb")).chain(args));
        }
        Command::Days => {
            for (name, text) in days::SHIPPED {
                match loomlb_simulation::Scenario::read(text) {
                    Ok(day) => println!("{name:18} {}", day.about),
                    Err(e) => println!("{name:18} {e}"),
                }
            }
            Ok(ExitCode::SUCCESS)
        }
    };
    done.unwrap_or_else(|e| {
        eprintln!("loomlb-lab: {e}");
        ExitCode::from(2)
    })
}
