//! The operator file: features that an installation enables beyond what the platform requires. They are off
//! by default.

use loomlb_config_file::{ConfigError, line_of_key};
use loomlb_quota::Spec;
use loomlb_tier::TierConfig as Tier;
use serde::Deserialize;
use std::fmt;
use std::path::Path;

/// A validated operator file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[serde(expecting = "struct Operator")]
pub(crate) struct OperatorFile {
    /// Settings of the log.
    pub(crate) log: LogSettings,
    /// Nested quotas; without them the shares in the settings apply.
    pub(crate) quota: Option<Spec>,
    /// The tier that agrees on settings and orders; without one each scheduler uses its own file.
    pub(crate) tier: Option<Tier>,
}

/// Settings of the log.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[serde(expecting = "struct Log")]
pub(crate) struct LogSettings {
    /// Text or JSON.
    pub(crate) format: LogFormat,
    /// What is logged: a level, or levels by target (`info,loomlb_scheduler=debug`).
    pub(crate) level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { format: LogFormat::Text, level: "info".into() }
    }
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LogFormat {
    /// Readable text.
    Text,
    /// One JSON object per line.
    Json,
}

impl OperatorFile {
    /// Reads and validates the file. Returns the defaults without one.
    pub(crate) fn load(file: Option<&Path>) -> Result<OperatorFile, String> {
        let Some(file) = file else { return Ok(OperatorFile::default()) };
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        OperatorFile::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
    }

    fn parse(text: &str) -> Result<OperatorFile, ConfigError> {
        let operator: OperatorFile = loomlb_config_file::parse(text)?;
        let error_at =
            |key: String, reason: String| ConfigError { line: line_of_key(text, &key), key, reason };
        // An unknown level would be parsed as the name of a target, and nothing would be logged.
        let is_valid = |part: &str| {
            let level = part.rsplit('=').next().unwrap_or(part);
            level.trim().parse::<tracing_subscriber::filter::LevelFilter>().is_ok()
        };
        if let Some(part) = operator.log.level.split(',').find(|part| !is_valid(part)) {
            let reason = format!("{part:?}: a level is off, error, warn, info, debug or trace");
            return Err(error_at("log.level".into(), reason));
        }
        if let Some(Err(e)) = operator.quota.as_ref().map(Spec::check) {
            let key = match e.node {
                Some(i) => format!("quota.node[{i}].{}", e.key),
                None => format!("quota.{}", e.key),
            };
            return Err(error_at(key, e.reason));
        }
        if let Some(Err((key, reason))) = operator.tier.as_ref().map(Tier::check) {
            return Err(error_at(format!("tier.{key}"), reason));
        }
        Ok(operator)
    }
}

impl fmt::Display for OperatorFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "log: {:?}, {}", self.log.format, self.log.level)?;
        let nodes = self.quota.as_ref().map_or(0, |q| q.nodes.len());
        if nodes > 0 {
            write!(f, "; quota: {nodes} nodes")?;
        }
        if let Some(tier) = &self.tier { write!(f, "; tier: {tier}") } else { Ok(()) }
    }
}
