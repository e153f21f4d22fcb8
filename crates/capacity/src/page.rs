//! Comparison of the figures on a page with the files that they come from. A figure is a link: its text is the number,
//! and its target names the file and the value in it, so that a test can compare both.
//!
//! `[45.1](capacity/slopes.json?per=1000#/series/key=scheduler.tier.heard/points/2)`: the file relative to the page,
//! the divisor of the value, and its path: names and indices as in JSON pointers (RFC 6901), and `key=value` for the
//! list element whose `key` has this value.

use serde_json::Value;

/// A figure on a page that links to a file.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkedFigure {
    /// Line number on the page, from 1.
    pub line: usize,
    /// The number as written on the page.
    pub text: String,
    /// Name of the linked file.
    pub file: String,
    /// Divisor of the value in the file.
    pub divisor: f64,
    /// Path to the value in the file.
    pub path: String,
}

/// A difference between a page and its files, or an invalid link.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// A link to a JSON file doesn't name a value in it.
    #[error("line {line}: {link}: the link names no value in the file; write FILE.json?per=N#/path/to/value")]
    MalformedLink {
        /// Line number on the page.
        line: usize,
        /// The link.
        link: String,
    },
    /// The file has no number at the path.
    #[error(
        "line {line}: {file}#{path}: no number at this path; run `loomlb-lab capacity` again, or correct it"
    )]
    MissingValue {
        /// Line number on the page.
        line: usize,
        /// Name of the linked file.
        file: String,
        /// Path in the file.
        path: String,
    },
    /// The number on the page differs from the file.
    #[error("line {line}: {file}#{path}: the page says {text}, the file {value}; correct the page")]
    Mismatch {
        /// Line number on the page.
        line: usize,
        /// Name of the linked file.
        file: String,
        /// Path in the file.
        path: String,
        /// The number on the page.
        text: String,
        /// The number in the file, formatted with the same digits.
        value: String,
    },
    /// A number in a measured table has no link to a file.
    #[error("line {line}: {text}: figure in a measured table without a link to its file")]
    Unlinked {
        /// Line number on the page.
        line: usize,
        /// The number.
        text: String,
    },
}

/// Begins a part of the page in which all figures in tables must link to files.
pub const MEASURED_START: &str = "<!-- measured -->";
/// Ends such a part.
pub const MEASURED_END: &str = "<!-- over -->";

/// Returns all figures of a page that link to JSON files.
pub fn linked_figures(page: &str) -> Result<Vec<LinkedFigure>, PageError> {
    let mut figures = Vec::new();
    for (at, line) in page.lines().enumerate() {
        for (text, link) in links(line).filter(|(_, link)| link.contains(".json")) {
            let error = || PageError::MalformedLink { line: at + 1, link: link.into() };
            let (file, path) = link.split_once('#').ok_or_else(error)?;
            let (file, divisor) = match file.split_once("?per=") {
                Some((file, divisor)) => (file, divisor.parse().map_err(|_| error())?),
                None => (file, 1.0),
            };
            if !path.starts_with('/') {
                return Err(error());
            }
            let (text, file, path) = (text.into(), file.into(), path.into());
            figures.push(LinkedFigure { line: at + 1, text, file, divisor, path });
        }
    }
    Ok(figures)
}

/// Returns text and target of each link in a line.
fn links(line: &str) -> impl Iterator<Item = (&str, &str)> {
    line.match_indices("](").filter_map(move |(at, _)| {
        let text = &line[line[..at].rfind('[')? + 1..at];
        let rest = &line[at + 2..];
        Some((text, &rest[..rest.find(')')?]))
    })
}

/// Returns the numbers in tables of measured parts that don't link to a file. The first column and the header are
/// ignored.
pub fn unlinked_figures(page: &str) -> Vec<PageError> {
    let (mut measured, mut rows, mut errors) = (false, 0, Vec::new());
    for (at, line) in page.lines().enumerate() {
        match line.trim() {
            MEASURED_START => measured = true,
            MEASURED_END => measured = false,
            _ if !measured => {}
            row if row.starts_with('|') => {
                rows += 1;
                let cells = row.trim_matches('|').split('|').skip(1);
                // Skips the header and the separator.
                let numbers = cells.filter(|_| rows > 2).map(str::trim).filter(|cell| is_number(cell));
                errors.extend(numbers.map(|cell| PageError::Unlinked { line: at + 1, text: cell.into() }));
                continue;
            }
            _ => {}
        }
        rows = 0;
    }
    errors
}

fn is_number(cell: &str) -> bool {
    cell.starts_with(|c: char| c.is_ascii_digit())
}

/// Returns the number at a path.
pub fn lookup(file: &Value, path: &str) -> Option<f64> {
    let mut current = file;
    for part in path.split('/').skip(1) {
        current = match (current, part.split_once('=')) {
            (Value::Array(items), Some((key, expected))) => {
                items.iter().find(|item| item[key] == expected)?
            }
            (Value::Array(items), None) => items.get(part.parse::<usize>().ok()?)?,
            (Value::Object(fields), _) => fields.get(part)?,
            _ => return None,
        };
    }
    current.as_f64()
}

/// Compares one figure with its file.
pub fn check_figure(figure: &LinkedFigure, file: &Value) -> Result<(), PageError> {
    let LinkedFigure { line, text, file: name, divisor, path } = figure.clone();
    let Some(value) = lookup(file, &path) else {
        return Err(PageError::MissingValue { line, file: name, path });
    };
    let digits = text.split_once('.').map_or(0, |(_, after)| after.len());
    let value = format_number(value / divisor, digits);
    if value == text { Ok(()) } else { Err(PageError::Mismatch { line, file: name, path, text, value }) }
}

/// Formats a number with thousands separators: `19,000.5`.
pub fn format_number(value: f64, digits: usize) -> String {
    let plain = format!("{value:.digits$}");
    let (integer, fraction) = plain.split_at(plain.find('.').unwrap_or(plain.len()));
    let (sign, integer) = integer.split_at(usize::from(integer.starts_with('-')));
    let mut out = String::from(sign);
    for (at, digit) in integer.chars().enumerate() {
        if at > 0 && (integer.len() - at).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    out + fraction
}

/// Formats a number with about three significant digits.
pub fn format_rounded(value: f64) -> String {
    let size = value.abs();
    let digits = match size {
        _ if size == 0.0 || size >= 100.0 => 0,
        _ if size >= 10.0 => 1,
        _ if size >= 1.0 => 2,
        _ => (2.0 - size.log10().floor()).clamp(0.0, 9.0) as usize,
    };
    format_number(value, digits)
}
