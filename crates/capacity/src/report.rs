//! A run of the bench: the machine, and each series with its fit. Written and read as JSON.

use crate::Series;
use crate::fit::{Fit, FitError, fit};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Where the figures were taken. Timed ones mean little without it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Cores that the program could use.
    pub cores: usize,
    /// Memory of the machine, in megabytes of 2^20 bytes; 0 if it is not known.
    pub memory_mb: u64,
    /// Whether the program was built for release.
    pub release: bool,
}

/// A series with what was fitted to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Fitted")]
pub struct FittedSeries {
    /// What was measured.
    pub series: Series,
    /// Its slope.
    pub fit: Fit,
}

/// All that a run of the bench has measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Where.
    pub machine: Machine,
    /// Fewer sizes and runs than a whole bench has: good for tests, not for figures.
    pub quick: bool,
    /// By key.
    pub series: Vec<FittedSeries>,
}

/// Why a report cannot be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ReportError {
    /// It is no report.
    #[error("{key}: {reason}; write the report anew with `loomlb-lab capacity --out FILE`")]
    Malformed {
        /// Where, as in `series[3].fit.from`.
        key: String,
        /// What is wrong there.
        reason: String,
    },
    /// Two series have one key.
    #[error("{key}: stands there twice; keys are unique")]
    DuplicateKey {
        /// The key.
        key: String,
    },
    /// A series that no slope can be fitted to.
    #[error(transparent)]
    Fit(#[from] FitError),
}

impl Report {
    /// Fits each series.
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
            Some(twice) => Err(ReportError::DuplicateKey { key: twice.series.key.clone() }),
            None => Ok(()),
        }
    }

    /// Reads a report. What does not fit is named by its key; points that could not be fitted are turned down, too.
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

    /// The report as JSON, with a line for each part and an end of line.
    pub fn to_json(&self) -> String {
        // Neither keys nor values of a report can fail: all numbers in it are finite.
        serde_json::to_string_pretty(self).unwrap_or_default() + "\n"
    }

    /// A series by its key.
    pub fn get(&self, key: &str) -> Option<&FittedSeries> {
        self.series.iter().find(|s| s.series.key == key)
    }

    /// The cost that a series tells of at a size; none without such a series, or where its fit has none.
    pub fn cost_at(&self, key: &str, size: f64) -> Option<f64> {
        self.get(key)?.fit.cost_at(size)
    }
}
