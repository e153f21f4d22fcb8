//! The command line of loomlb as a library: used by the program, and by the laboratory, which hosts it.
#![forbid(unsafe_code)]

mod operator;
mod tier_command;

use clap::{Parser, Subcommand};
use loomlb_scheduler::config::Config;
use loomlb_scheduler::quotas::QuotaSource;
use operator::{LogFormat, OperatorFile};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

const AFTER_HELP: &str = "\
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
#[command(name = "loomlb", version, after_help = AFTER_HELP)]
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
        command: TierCommand,
    },
    /// Print the version.
    Version,
}

/// Commands for the tier.
#[derive(Subcommand)]
enum TierCommand {
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

fn invalid_input(what: &str, e: &str) -> ExitCode {
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
    if let Command::Tier { at, command } = &args.command {
        return tier_command::run(*at, command);
    }
    let operator = match OperatorFile::load(args.operator.as_deref()) {
        Ok(operator) => operator,
        Err(e) => return invalid_input("operator file", &e),
    };
    let config = match Config::load(args.config.as_deref()) {
        Ok(config) => config,
        Err(e) => return invalid_input("configuration", &e),
    };
    if matches!(args.command, Command::CheckConfig) {
        println!("{config}\n{operator}");
        return ExitCode::SUCCESS;
    }
    if let Err(e) = log_to_stderr(&operator) {
        return invalid_input("log", &e);
    }
    let file = args.operator.clone();
    let quotas = QuotaSource {
        spec: operator.quota,
        reload: Box::new(move || OperatorFile::load(file.as_deref()).map(|fresh| fresh.quota)),
    };
    match loomlb_scheduler::serve(config, quotas, operator.tier) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("loomlb: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Sets up logging to standard error, as text or JSON.
fn log_to_stderr(operator: &OperatorFile) -> Result<(), String> {
    use tracing_subscriber::filter::Targets;
    use tracing_subscriber::layer::{Layer, SubscriberExt};
    use tracing_subscriber::util::SubscriberInitExt;
    let from_environment = std::env::var("RUST_LOG").ok().filter(|v| !v.is_empty());
    let directives = from_environment.as_deref().unwrap_or(&operator.log.level);
    let filter: Targets = directives.parse().map_err(|e| format!("{directives:?}: {e}"))?;
    let output = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    let layer = match operator.log.format {
        LogFormat::Text => output.boxed(),
        LogFormat::Json => output.json().flatten_event(true).boxed(),
    };
    tracing_subscriber::registry().with(layer.with_filter(filter)).try_init().map_err(|e| e.to_string())
}
