//! The operator file: what our own installations switch on beyond the platform's terms. Off where it says nothing.

use loomlb_config_file::{ConfigError, line_of_key};
use loomlb_quota::Spec;
use loomlb_tier::TierConfig as Tier;
use serde::Deserialize;
use std::fmt;
use std::path::Path;

/// The operator file, checked.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[serde(expecting = "struct Operator")]
pub(crate) struct Operator {
    /// The log.
    pub(crate) log: Log,
    /// Nested quotas; without them shares are those of the settings.
    pub(crate) quota: Option<Spec>,
    /// The tier that agrees on settings and orders; without one each scheduler goes by its own file.
    pub(crate) tier: Option<Tier>,
}

/// How to log.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[serde(expecting = "struct Log")]
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

    fn read(text: &str) -> Result<Operator, ConfigError> {
        let operator: Operator = loomlb_config_file::parse(text)?;
        let fault = |key: String, reason: String| ConfigError { line: line_of_key(text, &key), key, reason };
        // A bare word that is no level would be taken for the name of a target, and nothing would be logged.
        let known = |part: &str| {
            let level = part.rsplit('=').next().unwrap_or(part);
            level.trim().parse::<tracing_subscriber::filter::LevelFilter>().is_ok()
        };
        if let Some(part) = operator.log.level.split(',').find(|part| !known(part)) {
            let reason = format!("{part:?}: a level is off, error, warn, info, debug or trace");
            return Err(fault("log.level".into(), reason));
        }
        if let Some(Err(e)) = operator.quota.as_ref().map(Spec::check) {
            let key = match e.node {
                Some(i) => format!("quota.node[{i}].{}", e.key),
                None => format!("quota.{}", e.key),
            };
            return Err(fault(key, e.reason));
        }
        if let Some(Err((key, reason))) = operator.tier.as_ref().map(Tier::check) {
            return Err(fault(format!("tier.{key}"), reason));
        }
        Ok(operator)
    }
}

impl fmt::Display for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "log: {:?}, {}", self.log.format, self.log.level)?;
        let nodes = self.quota.as_ref().map_or(0, |q| q.nodes.len());
        if nodes > 0 {
            write!(f, "; quota: {nodes} nodes")?;
        }
        if let Some(tier) = &self.tier { write!(f, "; tier: {tier}") } else { Ok(()) }
    }
}
