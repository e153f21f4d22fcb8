//! A page's figures and the files that they came from. A figure on a page is a link: its text is the number, its target
//! the file and the place in it, so that a reader can go there and a test can hold the page to what the runs wrote.
//!
//! `[45.1](capacity/slopes.json?per=1000#/series/key=scheduler.tier.heard/points/2)`: the file beside the page, what the
//! value is divided by, and the way to it: names and numbers as in JSON pointers (RFC 6901), and `key=value` for the
//! element of a list whose `key` says so.

use serde_json::Value;

/// A figure that a page shows.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkedFigure {
    /// The page's line, from 1.
    pub line: usize,
    /// As it stands there.
    pub text: String,
    /// The file.
    pub file: String,
    /// What the file's value is divided by.
    pub divisor: f64,
    /// The way to the value.
    pub path: String,
}

/// Why a page cannot be held to its files.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// A link to a file of figures that does not name a place in it.
    #[error("line {line}: {link}: no place in the file; write FILE.json?per=N#/path/to/value")]
    MalformedLink {
        /// The page's line.
        line: usize,
        /// The link.
        link: String,
    },
    /// A way that leads nowhere.
    #[error("line {line}: {file}#{path}: leads to no number; run the bench again, or correct the path")]
    MissingValue {
        /// The page's line.
        line: usize,
        /// The file.
        file: String,
        /// The way.
        path: String,
    },
    /// The page says something else than the file.
    #[error("line {line}: {file}#{path}: the page says {text}, the file {value}; the file is right")]
    Mismatch {
        /// The page's line.
        line: usize,
        /// The file.
        file: String,
        /// The way.
        path: String,
        /// What the page says.
        text: String,
        /// What the file says, to the page's digits.
        value: String,
    },
    /// A number of a measured table that no file stands behind.
    #[error("line {line}: {text}: a figure of a measured table without its file")]
    Unlinked {
        /// The page's line.
        line: usize,
        /// The number.
        text: String,
    },
}

/// Opens a part of the page in which each figure has its file.
pub const MEASURED_START: &str = "<!-- measured -->";
/// Closes it.
pub const MEASURED_END: &str = "<!-- over -->";

/// All figures of a page that name a file of figures.
pub fn linked_figures(page: &str) -> Result<Vec<LinkedFigure>, PageError> {
    let mut all = Vec::new();
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
            all.push(LinkedFigure { line: at + 1, text, file, divisor, path });
        }
    }
    Ok(all)
}

/// The links of a line: text and target.
fn links(line: &str) -> impl Iterator<Item = (&str, &str)> {
    line.match_indices("](").filter_map(move |(at, _)| {
        let text = &line[line[..at].rfind('[')? + 1..at];
        let rest = &line[at + 2..];
        Some((text, &rest[..rest.find(')')?]))
    })
}

/// Numbers in a page's measured parts behind which no file stands. A table's first column and its head name things.
pub fn unlinked_figures(page: &str) -> Vec<PageError> {
    let (mut inside, mut rows, mut all) = (false, 0, Vec::new());
    for (at, line) in page.lines().enumerate() {
        match line.trim() {
            MEASURED_START => inside = true,
            MEASURED_END => inside = false,
            _ if !inside => {}
            row if row.starts_with('|') => {
                rows += 1;
                let cells = row.trim_matches('|').split('|').skip(1);
                // The head and the line below it.
                let numbers = cells.filter(|_| rows > 2).map(str::trim).filter(|cell| is_number(cell));
                all.extend(numbers.map(|cell| PageError::Unlinked { line: at + 1, text: cell.into() }));
                continue;
            }
            _ => {}
        }
        rows = 0;
    }
    all
}

fn is_number(cell: &str) -> bool {
    cell.starts_with(|c: char| c.is_ascii_digit())
}

/// The value at the end of a way.
pub fn lookup(file: &Value, path: &str) -> Option<f64> {
    let mut at = file;
    for part in path.split('/').skip(1) {
        at = match (at, part.split_once('=')) {
            (Value::Array(all), Some((key, is))) => all.iter().find(|one| one[key] == is)?,
            (Value::Array(all), None) => all.get(part.parse::<usize>().ok()?)?,
            (Value::Object(all), _) => all.get(part)?,
            _ => return None,
        };
    }
    at.as_f64()
}

/// Holds one figure to its file.
pub fn check_figure(shown: &LinkedFigure, file: &Value) -> Result<(), PageError> {
    let LinkedFigure { line, text, file: name, divisor, path } = shown.clone();
    let Some(value) = lookup(file, &path) else {
        return Err(PageError::MissingValue { line, file: name, path });
    };
    let digits = text.split_once('.').map_or(0, |(_, after)| after.len());
    let value = format_number(value / divisor, digits);
    if value == text { Ok(()) } else { Err(PageError::Mismatch { line, file: name, path, text, value }) }
}

/// A number with its thousands apart: `19,000.5`.
pub fn format_number(value: f64, digits: usize) -> String {
    let plain = format!("{value:.digits$}");
    let (whole, rest) = plain.split_at(plain.find('.').unwrap_or(plain.len()));
    let (sign, whole) = whole.split_at(usize::from(whole.starts_with('-')));
    let mut out = String::from(sign);
    for (at, digit) in whole.chars().enumerate() {
        if at > 0 && (whole.len() - at).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    out + rest
}

/// A number to about three digits that count.
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
