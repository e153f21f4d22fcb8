//! The operator file: what our own installations switch on beyond the platform's terms. Off where it says nothing.

use serde::Deserialize;
use std::fmt;
use std::path::Path;

/// The operator file, checked.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Operator {
    /// The log.
    pub(crate) log: Log,
}

/// How to log.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Log {
    /// Lines for people or JSON.
    pub(crate) format: Format,
    /// What is logged: a level, or levels by target (`info,loomlb_scheduler=debug`).
    pub(crate) level: String,
}

impl Default for Log {
    fn default() -> Self {
        Log { format: Format::Text, level: "info".into() }
    }
}

/// The form of a line of the log.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

impl Operator {
    /// Reads the file; the defaults without one.
    pub(crate) fn load(file: Option<&Path>) -> Result<Operator, String> {
        let Some(file) = file else { return Ok(Operator::default()) };
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        Operator::read(&text).map_err(|e| format!("{}: {e}", file.display()))
    }

    fn read(text: &str) -> Result<Operator, String> {
        let operator: Operator = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(0, |s| text[..s.start.min(text.len())].matches('\n').count() + 1);
            format!("line {line}: {}", e.message())
        })?;
        // A bare word that is no level would be taken for the name of a target, and nothing would be logged.
        let known = |part: &str| {
            let level = part.rsplit('=').next().unwrap_or(part);
            level.trim().parse::<tracing_subscriber::filter::LevelFilter>().is_ok()
        };
        let level = &operator.log.level;
        if let Some(part) = level.split(',').find(|part| !known(part)) {
            let line = text.lines().position(|l| l.trim_start().starts_with("level")).map_or(0, |i| i + 1);
            return Err(format!(
                "line {line}: log.level: {part:?}: a level is off, error, warn, info, debug or trace"
            ));
        }
        Ok(operator)
    }
}

impl fmt::Display for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "log: {:?}, {}", self.log.format, self.log.level)
    }
}
