//! Pins of the simulator's protocol: a transcript of the adapter. `tests/golden/mod.rs` at the root says how to record it
//! anew.

#[path = "../../../tests/golden/mod.rs"]
mod golden;

use std::io::Write;
use std::process::{Command, Stdio};

/// Batches that bring each kind of input that the tests of the adapter know, in one run of two schedulers.
const INPUT: &str = include_str!("fixtures/batches.txt");

#[test]
fn a_transcript_keeps_its_bytes() {
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
