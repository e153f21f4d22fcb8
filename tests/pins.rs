//! Pins of the program: every byte that leaves it, and what it reads of files. Nothing here may change unless an operator,
//! a platform or a build beside this one is meant to see it. `tests/golden/mod.rs` says how to record all anew; that starts
//! real processes, so it wants a machine that is not busy with other suites of sockets.
//!
//! What differs from run to run is masked by its name, never by leaving a line out: addresses (`<target>`, `<discovery>`,
//! ...), numbers after a named key (`mask_number_after`), and the keys that each test names.

mod golden;
mod harness;

#[path = "pins/answers.rs"]
mod answers;
#[path = "pins/command_line.rs"]
mod command_line;
#[path = "pins/configuration.rs"]
mod configuration;
#[path = "pins/forwards.rs"]
mod forwards;
#[path = "pins/log.rs"]
mod log;
#[path = "pins/restart.rs"]
mod restart;
#[path = "pins/tier.rs"]
mod tier;
