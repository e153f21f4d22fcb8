//! `loomlb-lab`: days of the platform in virtual time and on sockets.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand, ValueEnum};
use loomlb_lab::baselines::{Baseline, Idea};
use loomlb_lab::{days, tables};
use loomlb_model::simulate::{self, Decider};
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
    /// List the days that ship.
    Days,
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

#[derive(Clone, Copy, ValueEnum)]
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

fn simulate(args: &Simulate) -> Result<ExitCode, String> {
    let day = days::load(&args.day)?;
    let played = match args.policy.idea() {
        None => simulate::run(&day, args.seed, args.threads),
        Some(idea) => simulate::run_with(&day, args.seed, args.threads, &|set, seed| -> Box<dyn Decider> {
            Box::new(Baseline::new(idea, set, seed))
        }),
    };
    if args.json {
        println!("{}", serde_json::to_string(&played).map_err(|e| e.to_string())?);
    } else {
        print!("{}", tables::played(&day, args.seed, &played));
    }
    Ok(if played.breaches == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn main() -> ExitCode {
    let done = match Args::parse().command {
        Command::Simulate(args) => simulate(&args),
        Command::Days => {
            for (name, text) in days::SHIPPED {
                match loomlb_model::Day::read(text) {
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
