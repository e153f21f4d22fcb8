//! Parsing of TOML files, with errors that name the line and the key.
#![forbid(unsafe_code)]

use serde::de::DeserializeOwned;
use std::fmt;
use toml::de::{DeTable, DeValue};

/// An error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The line, counted from 1; 0 if unknown.
    pub line: usize,
    /// The dotted path of the key; empty if the text cannot be parsed.
    pub key: String,
    /// What is wrong, and which values are valid.
    pub reason: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}", self.reason)
    }
}

impl std::error::Error for ConfigError {}

/// Parses a text. An error names the line.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ConfigError> {
    toml::from_str(text).map_err(|e| ConfigError {
        line: e.span().map_or(0, |span| line_at_offset(text, span.start)),
        key: String::new(),
        reason: e.message().to_string(),
    })
}

fn line_at_offset(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())].iter().filter(|b| **b == b'\n').count() + 1
}

/// Returns the line of a key such as `class[1].work_ms`, or of its longest prefix that the text contains; 0
/// if the text contains none or cannot be parsed.
pub fn line_of_key(text: &str, key: &str) -> usize {
    let Ok(root) = DeTable::parse(text) else { return 0 };
    let mut table = root.get_ref();
    let mut line = 0;
    for part in key.split('.') {
        let (name, index) = match part.split_once('[') {
            Some((name, rest)) => (name, rest.trim_end_matches(']').parse::<usize>().ok()),
            None => (part, None),
        };
        let Some((found_key, value)) = table.iter().find(|(k, _)| k.get_ref() == name) else { break };
        line = line_at_offset(text, found_key.span().start);
        let mut value = value;
        if let (Some(i), DeValue::Array(items)) = (index, value.get_ref()) {
            let Some(item) = items.get(i) else { break };
            line = line_at_offset(text, item.span().start);
            value = item;
        }
        match value.get_ref() {
            DeValue::Table(inner) => table = inner,
            _ => break,
        }
    }
    line
}
