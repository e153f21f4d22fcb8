//! The command line of loomlb, as a library: the program calls it, and the laboratory hosts the same program.
#![forbid(unsafe_code)]

mod operator;
mod staff;

use clap::{Parser, Subcommand};
use loomlb_scheduler::config::Config;
use loomlb_scheduler::quotas::QuotaSource;
use operator::{Format, Operator};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

const AFTER: &str = "\
Environment:
  LB_CONFIG, LB_NAME, LB_LISTEN, LB_DISCOVERY  set by the platform; the last three override the file
  LOOMLB_OPERATOR  the operator file, where --operator does not name one
  RUST_LOG  what is logged to standard error, over the operator file (default: info)

Signals:
  SIGTERM, SIGINT  finish what was taken, then exit
  SIGHUP           read the configuration again and follow discovery where it now says
  SIGUSR1          log the counters

Exit status: 0 after an orderly end, 1 after a failure, 2 if the command line or a file is faulty.";

/// A job scheduler that learns which worker serves which job best.
#[derive(Parser)]
#[command(name = "loomlb", version, after_help = AFTER)]
struct Args {
    #[command(subcommand)]
    command: Command,
    /// The configuration, as JSON (default: the file that LB_CONFIG names).
    #[arg(short, long, global = true, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operator file, as TOML; without one the program does what the platform asks for, and nothing more.
    #[arg(short, long, global = true, value_name = "FILE", env = "LOOMLB_OPERATOR")]
    operator: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Run the scheduler until SIGTERM or SIGINT.
    Serve,
    /// Read the configuration and the operator file, say what they come to, and exit.
    CheckConfig,
    /// Ask or order the tier, at a scheduler's second address.
    Tier {
        /// The second address of any scheduler of the tier.
        #[arg(long, value_name = "IP:PORT", env = "LB_CONTROL")]
        at: std::net::SocketAddr,
        #[command(subcommand)]
        order: Order,
    },
    /// Print the version.
    Version,
}

/// What staff want of the tier.
#[derive(Subcommand)]
enum Order {
    /// What is in force, what is coming, and what this scheduler may do.
    Status,
    /// The latest versions: who proposed them and what they changed.
    History,
    /// Propose the settings of a configuration file for all schedulers.
    Propose {
        /// The configuration, as JSON.
        file: PathBuf,
        /// The version that it is meant to follow; another one in between refuses it.
        #[arg(long)]
        after: Option<u64>,
    },
    /// Wait until a version, or a later one, is in force at this scheduler.
    Wait {
        /// The version.
        version: u64,
        /// For so long, in seconds.
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
    },
}

fn faulty(what: &str, e: &str) -> ExitCode {
    eprintln!("loomlb: {what}: {e}");
    ExitCode::from(2)
}

/// Runs the program with these arguments, the first of which is its own name.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let args = match Args::try_parse_from(args) {
        Ok(args) => args,
        Err(e) => {
            let _ = e.print();
            return ExitCode::from(e.exit_code() as u8);
        }
    };
    if matches!(args.command, Command::Version) {
        println!("loomlb {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if let Command::Tier { at, order } = &args.command {
        return staff::tier(*at, order);
    }
    let operator = match Operator::load(args.operator.as_deref()) {
        Ok(operator) => operator,
        Err(e) => return faulty("operator file", &e),
    };
    let config = match Config::load(args.config.as_deref()) {
        Ok(config) => config,
        Err(e) => return faulty("configuration", &e),
    };
    if matches!(args.command, Command::CheckConfig) {
        println!("{config}\n{operator}");
        return ExitCode::SUCCESS;
    }
    if let Err(e) = log_to_stderr(&operator) {
        return faulty("log", &e);
    }
    let file = args.operator.clone();
    let quotas = QuotaSource {
        spec: operator.quota,
        reload: Box::new(move || Operator::load(file.as_deref()).map(|fresh| fresh.quota)),
    };
    match loomlb_scheduler::serve(config, quotas, operator.tier) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("loomlb: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Sets up the log: lines for people, or JSON for machines, to standard error.
fn log_to_stderr(operator: &Operator) -> Result<(), String> {
    use tracing_subscriber::filter::Targets;
    use tracing_subscriber::layer::{Layer, SubscriberExt};
    use tracing_subscriber::util::SubscriberInitExt;
    let said = std::env::var("RUST_LOG").ok().filter(|v| !v.is_empty());
    let words = said.as_deref().unwrap_or(&operator.log.level);
    let filter: Targets = words.parse().map_err(|e| format!("{words:?}: {e}"))?;
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    let layer = match operator.log.format {
        Format::Text => lines.boxed(),
        Format::Json => lines.json().flatten_event(true).boxed(),
    };
    tracing_subscriber::registry().with(layer.with_filter(filter)).try_init().map_err(|e| e.to_string())
}
