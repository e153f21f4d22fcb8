//! loomlb, a job scheduler: the command line. See README.md for what it is and how its parts fit.
#![forbid(unsafe_code)]

use lexopt::prelude::*;
use loomlb_scheduler::config::Config;
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "\
loomlb, a job scheduler that learns which worker serves which job best

Usage: loomlb COMMAND [--config FILE]

Commands:
  serve         run the scheduler until SIGTERM or SIGINT
  check-config  read the configuration, say what it comes to, and exit
  version       print the version
  help          print this page

Options:
  -c, --config FILE  the configuration, as JSON (default: the file that LB_CONFIG names)
  -h, --help         print this page
  -V, --version      print the version

Environment:
  LB_CONFIG, LB_NAME, LB_LISTEN, LB_DISCOVERY  set by the platform; the last three override the file
  RUST_LOG  what is logged to standard error (default: info)

Signals:
  SIGTERM, SIGINT  finish what was taken, then exit
  SIGHUP           read the configuration again and follow discovery where it now says
  SIGUSR1          log the counters

Exit status: 0 after an orderly end, 1 after a failure, 2 if the command line or configuration is faulty.
";

/// What the command line asks for.
enum Command {
    Serve,
    CheckConfig,
    Version,
    Help,
}

fn command_line() -> Result<(Command, Option<PathBuf>), lexopt::Error> {
    let (mut command, mut file) = (None, None);
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok((Command::Help, None)),
            Short('V') | Long("version") => return Ok((Command::Version, None)),
            Short('c') | Long("config") => file = Some(PathBuf::from(parser.value()?)),
            Value(word) if command.is_none() => {
                command = Some(match word.to_str() {
                    Some("serve") => Command::Serve,
                    Some("check-config") => Command::CheckConfig,
                    Some("version") => Command::Version,
                    Some("help") => Command::Help,
                    _ => return Err(format!("unknown command {word:?}").into()),
                });
            }
            other => return Err(other.unexpected()),
        }
    }
    command.map(|c| (c, file)).ok_or_else(|| "no command given".into())
}

fn main() -> ExitCode {
    let (command, file) = match command_line() {
        Ok(said) => said,
        Err(e) => {
            eprintln!("loomlb: {e}; see loomlb --help");
            return ExitCode::from(2);
        }
    };
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("loomlb {}", env!("CARGO_PKG_VERSION")),
        Command::Serve | Command::CheckConfig => {
            let config = match Config::load(file.as_deref()) {
                Ok(config) => config,
                Err(e) => {
                    eprintln!("loomlb: configuration: {e}");
                    return ExitCode::from(2);
                }
            };
            if matches!(command, Command::CheckConfig) {
                println!("{config}");
                return ExitCode::SUCCESS;
            }
            env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
            if let Err(e) = loomlb_scheduler::serve(config) {
                eprintln!("loomlb: {e}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
