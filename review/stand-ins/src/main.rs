//! The cases of the review, one sub-command each: `loomlb-review CASE RECORD`. Run from the repository's root.

mod common;
mod memory;
mod restart;
mod upgrade;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = &arguments[..] else { usage() };
    let run = match case.as_str() {
        "upgrade" => upgrade::run,
        "restart" => restart::run,
        "memory" => memory::run,
        _ => usage(),
    };
    run(Path::new(record))
}

fn usage() -> ! {
    eprintln!("usage: loomlb-review upgrade|restart|memory RECORD");
    std::process::exit(2)
}
