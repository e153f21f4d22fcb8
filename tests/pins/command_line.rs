//! The command line: what each call writes, and its exit code.

use crate::golden;
use std::path::Path;
use std::process::Command;

/// Runs the program; its exit code and what it wrote, with the folder of the test masked.
pub fn run(args: &[&str], folder: &Path) -> String {
    let out = Command::new(env!("CARGO_BIN_EXE_loomlb")).args(args).env_clear().output().unwrap();
    let part = |name: &str, bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes).replace(folder.to_str().unwrap(), "<folder>");
        let end = if text.is_empty() || text.ends_with('\n') { "" } else { "<no line feed>\n" };
        format!("{name}:\n{text}{end}")
    };
    let shown = args.join(" ").replace(folder.to_str().unwrap(), "<folder>");
    let code = out.status.code().unwrap();
    format!(
        "==== loomlb {shown}\nexit code {code}\n{}{}\n",
        part("standard output", &out.stdout),
        part("standard error", &out.stderr)
    )
}

#[test]
fn help_version_and_faults_stay() {
    let folder = tempfile::tempdir().unwrap();
    let calls: [&[&str]; 19] = [
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
    let text: String = calls.iter().map(|args| run(args, folder.path())).collect();
    golden::check("command-line.txt", text.as_bytes());
}
