//! Report of a measurement: the machine, and each series with its fit. Stored as JSON.

use crate::Series;
use crate::fit::{Fit, FitError, fit};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The machine of a measurement, on which timed values depend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Number of available cores.
    pub cores: usize,
    /// Memory in MiB; 0 if unknown.
    pub memory_mb: u64,
    /// Whether the program was built in release mode.
    pub release: bool,
}

/// A series with its fit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Fitted")]
pub struct FittedSeries {
    /// The measured series.
    pub series: Series,
    /// The fit to its points.
    pub fit: Fit,
}

/// All results of a measurement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The machine.
    pub machine: Machine,
    /// Whether fewer sizes and runs were measured, as in tests.
    pub quick: bool,
    /// The series, each with a unique key.
    pub series: Vec<FittedSeries>,
}

/// An error in a report.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ReportError {
    /// The text isn't a valid report.
    #[error("{key}: {reason}; write the report again with `loomlb-lab capacity --out FILE`")]
    Malformed {
        /// Path of the invalid key, such as `series[3].fit.from`.
        key: String,
        /// The error at this key.
        reason: String,
    },
    /// Two series have the same key.
    #[error("{key}: duplicate key; keys must be unique")]
    DuplicateKey {
        /// The key.
        key: String,
    },
    /// A series can't be fitted.
    #[error(transparent)]
    Fit(#[from] FitError),
}

impl Report {
    /// Fits all series and checks that their keys are unique.
    pub fn new(machine: Machine, quick: bool, series: Vec<Series>) -> Result<Report, ReportError> {
        let fitted: Result<Vec<FittedSeries>, FitError> =
            series.into_iter().map(|series| fit(&series).map(|fit| FittedSeries { series, fit })).collect();
        let report = Report { machine, quick, series: fitted? };
        report.check_unique_keys()?;
        Ok(report)
    }

    fn check_unique_keys(&self) -> Result<(), ReportError> {
        let mut keys = BTreeSet::new();
        match self.series.iter().find(|s| !keys.insert(&s.series.key)) {
            Some(duplicate) => Err(ReportError::DuplicateKey { key: duplicate.series.key.clone() }),
            None => Ok(()),
        }
    }

    /// Parses a report and checks that its series can be fitted. An error names the invalid key.
    pub fn parse(text: &str) -> Result<Report, ReportError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let report: Report = serde_path_to_error::deserialize(&mut json).map_err(|e| {
            ReportError::Malformed { key: e.path().to_string(), reason: e.inner().to_string() }
        })?;
        json.end().map_err(|e| ReportError::Malformed { key: ".".into(), reason: e.to_string() })?;
        report.check_unique_keys()?;
        for fitted in &report.series {
            fit(&fitted.series)?;
        }
        Ok(report)
    }

    /// Returns the report as indented JSON with a newline at the end.
    pub fn to_json(&self) -> String {
        // Serialization can't fail: the keys are strings, and all numbers are finite.
        serde_json::to_string_pretty(self).unwrap_or_default() + "\n"
    }

    /// Returns the series with a key.
    pub fn get(&self, key: &str) -> Option<&FittedSeries> {
        self.series.iter().find(|s| s.series.key == key)
    }

    /// Returns the cost of a series at a size; `None` if the series is missing or its fit has no cost there.
    pub fn cost_at(&self, key: &str, size: f64) -> Option<f64> {
        self.get(key)?.fit.cost_at(size)
    }
}
