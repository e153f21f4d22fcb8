//! Golden file of the simulator's protocol. `tests/golden/mod.rs` in the workspace root explains how to update it.

#[path = "../../../tests/golden/mod.rs"]
mod golden;

use std::io::Write;
use std::process::{Command, Stdio};

/// Batches with events of every type, for two dispatchers.
const INPUT: &str = include_str!("fixtures/batches.txt");

#[test]
fn replies_keep_their_bytes() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_loomlb-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(INPUT.as_bytes()).unwrap();
    let out = child.wait_with_output().unwrap();
    let mut text = String::from_utf8(out.stdout).unwrap();
    text += &format!("exit code {}\n", out.status.code().unwrap());
    text += &String::from_utf8(out.stderr).unwrap();
    golden::check("transcript.txt", text.as_bytes());
}
