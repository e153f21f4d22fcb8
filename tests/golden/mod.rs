//! Golden files record the exact bytes that other processes, operators and later versions read.
//!
//! `UPDATE_PINS=1 cargo test --workspace --test pins` updates all of them. Review the difference before committing it:
//! older builds that run beside this one, files of earlier versions and operators' scripts are affected by it.
//!
//! The `pins` test of each package includes this module by path; its golden files are in the package's `tests/pins`.
#![allow(dead_code, reason = "each package uses only some of the functions")]

use std::path::{Path, PathBuf};

/// The environment variable that makes [`check`] update the golden files.
const UPDATE_VARIABLE: &str = "UPDATE_PINS";

/// The path of a file in the `tests` folder of the package.
fn test_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests").join(name)
}

/// Compares bytes with the golden file of this name in `tests/pins`, after updating it if `UPDATE_PINS` is set.
pub fn check(name: &str, bytes: &[u8]) {
    let path = test_file(&format!("pins/{name}"));
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(&path, bytes).unwrap();
    }
    compare(&path, bytes);
}

/// Compares bytes with a file in `tests/fixtures`. An earlier build wrote it, and it is never updated: if the format
/// changes, a new fixture is added beside it.
pub fn check_fixture(name: &str, bytes: &[u8]) {
    compare(&test_file(&format!("fixtures/{name}")), bytes);
}

/// Panics unless the file holds exactly these bytes.
fn compare(path: &Path, bytes: &[u8]) {
    let recorded = std::fs::read(path).unwrap_or_default();
    if recorded != bytes {
        let (recorded, actual) = (String::from_utf8_lossy(&recorded), String::from_utf8_lossy(bytes));
        panic!(
            "{}: differs from the recorded bytes\n--- recorded\n{recorded}\n--- actual\n{actual}",
            path.display()
        );
    }
}

/// The bytes of a file in `tests/fixtures`.
pub fn fixture(name: &str) -> Vec<u8> {
    std::fs::read(test_file(&format!("fixtures/{name}"))).unwrap()
}

/// Converts bytes to lines of text without loss. Control characters, `\` and bytes that are not valid UTF-8 are escaped;
/// an escaped line feed also ends the line.
pub fn visible(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.utf8_chunks() {
        for character in chunk.valid().chars() {
            match character {
                '\n' => out.push_str("\\n\n"),
                '\r' => out.push_str("\\r"),
                '\\' => out.push_str("\\\\"),
                control if control.is_control() => out.push_str(&format!("\\x{:02x}", control as u32)),
                plain => out.push(plain),
            }
        }
        chunk.invalid().iter().for_each(|byte| out.push_str(&format!("\\x{byte:02x}")));
    }
    out
}

/// Converts bytes to hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Replaces each number that directly follows `key` with `<number>`. A number consists of digits and points.
pub fn mask_number_after(text: &str, key: &str) -> String {
    let mut parts = text.split(key);
    let mut out = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let rest = part.trim_start_matches(|c: char| c.is_ascii_digit() || c == '.');
        out.push_str(key);
        out.push_str(if rest.len() < part.len() { "<number>" } else { "" });
        out.push_str(rest);
    }
    out
}
