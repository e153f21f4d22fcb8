//! loomlb, a job scheduler. See README.md for what it is and how its parts fit.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    loomlb::run(std::env::args_os())
}
