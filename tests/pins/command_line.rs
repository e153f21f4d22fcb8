//! Golden files of the command line: the output and the exit code of each invocation.

use crate::golden;
use std::path::Path;
use std::process::Command;

/// Runs the program and returns its exit code and output, with the test's folder masked.
pub fn run(args: &[&str], folder: &Path) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_loomlb")).args(args).env_clear().output().unwrap();
    let stream_section = |name: &str, bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes).replace(folder.to_str().unwrap(), "<folder>");
        let missing_newline = if text.is_empty() || text.ends_with('\n') { "" } else { "<no line feed>\n" };
        format!("{name}:\n{text}{missing_newline}")
    };
    let masked_args = args.join(" ").replace(folder.to_str().unwrap(), "<folder>");
    let code = output.status.code().unwrap();
    format!(
        "==== loomlb {masked_args}\nexit code {code}\n{}{}\n",
        stream_section("standard output", &output.stdout),
        stream_section("standard error", &output.stderr)
    )
}

#[test]
fn help_version_and_usage_errors_match_the_golden_file() {
    let folder = tempfile::tempdir().unwrap();
    let invocations: [&[&str]; 19] = [
        &[],
        &["--help"],
        &["-h"],
        &["serve", "--help"],
        &["check-config", "--help"],
        &["tier", "--help"],
        &["tier", "status", "--help"],
        &["tier", "history", "--help"],
        &["tier", "propose", "--help"],
        &["tier", "wait", "--help"],
        &["version", "--help"],
        &["version"],
        &["--version"],
        &["dance"],
        &["serve", "--loud"],
        &["serve"],
        &["check-config", "-c", "/nowhere/config.json"],
        &["check-config", "-o", "/nowhere/loomlb.toml"],
        &["tier", "--at", "here", "status"],
    ];
    let text: String = invocations.iter().map(|args| run(args, folder.path())).collect();
    golden::check("command-line.txt", text.as_bytes());
}
