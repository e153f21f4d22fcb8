//! Golden-file tests of the external formats of the program: every byte that it sends, and how it reads files. A
//! recorded file may change only if an operator, a platform or another version beside this one is meant to see the
//! change. `tests/golden/mod.rs` describes how to record the files again. Recording starts real processes, so it needs
//! a machine that runs no other socket tests.
//!
//! Values that differ from run to run are masked; no line is left out. Masked are addresses (`<target>`, `<discovery>`,
//! ...), numbers after a key (`mask_number_after`), and the keys that each test names.

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
