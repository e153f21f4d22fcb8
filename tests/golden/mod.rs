//! Golden files: every byte that another process, an operator or a later version reads, as it was recorded first.
//!
//! `UPDATE_PINS=1 cargo test --workspace --test pins` records all of them anew. Read the difference before committing it:
//! an old build beside a new one, a file of an earlier version and an operator's script see that difference too.
//!
//! Included by path from the `pins` test of each package; a file lies in that package's `tests/pins`.
#![allow(dead_code, reason = "each package uses a part of it")]

use std::path::{Path, PathBuf};

/// The environment variable that has the files recorded anew.
const UPDATE: &str = "UPDATE_PINS";

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests").join(name)
}

/// Compares bytes with the golden file of this name in `tests/pins`, or records them.
pub fn check(name: &str, bytes: &[u8]) {
    let path = file(&format!("pins/{name}"));
    if std::env::var_os(UPDATE).is_some() {
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(&path, bytes).unwrap();
    }
    compare(&path, bytes);
}

/// Compares bytes with a file in `tests/fixtures`, which an earlier build wrote and which is never recorded anew: where
/// builds write other bytes from now on, that is a new fixture beside the old one.
pub fn check_fixture(name: &str, bytes: &[u8]) {
    compare(&file(&format!("fixtures/{name}")), bytes);
}

fn compare(path: &Path, bytes: &[u8]) {
    let recorded = std::fs::read(path).unwrap_or_default();
    if recorded != bytes {
        let (recorded, now) = (String::from_utf8_lossy(&recorded), String::from_utf8_lossy(bytes));
        panic!("{}: not as recorded\n--- recorded\n{recorded}\n--- now\n{now}", path.display());
    }
}

/// The bytes of a file in `tests/fixtures`.
pub fn fixture(name: &str) -> Vec<u8> {
    std::fs::read(file(&format!("fixtures/{name}"))).unwrap()
}

/// Bytes as lines of text, without loss: control characters, `\` and bytes that are no UTF-8 are written as escapes; a
/// line feed is written as an escape too and ends the line.
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

/// Bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Masks the number that follows each occurrence of `key`, digits and points alike.
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
