//! Evaluation of a capacity plan: the costs of each role at given sizes, and the order in which the limits of the
//! target break. The plan comes from a file, the figures from a [`Measurements`] source.

use crate::report::Report;
use crate::{Source, fit, page};
use serde::{Deserialize, Serialize};

/// A source of measured costs.
pub trait Measurements {
    /// The cost of a series at a size; `None` if it is unknown.
    fn figure(&self, series: &str, size: f64) -> Option<Figure>;
    /// The size at which a growing cost reaches a budget; `None` if it never does, or is unknown.
    fn size_at_budget(&self, series: &str, budget: f64) -> Option<f64>;
    /// The largest value of a series of throughputs, such as versions per second.
    fn maximum(&self, series: &str) -> Option<f64>;
}

/// A cost at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// The cost, in the unit of the series.
    pub value: f64,
    /// How the series was obtained.
    pub source: Source,
    /// Whether the size is outside the measured range.
    #[serde(rename = "beyond")]
    pub extrapolated: bool,
}

/// The plan in `docs/capacity/target.toml`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Costs of roles at three sizes.
    #[serde(default, rename = "row")]
    pub rows: Vec<Row>,
    /// Limits that the target must not exceed.
    #[serde(default, rename = "limit")]
    pub limits: Vec<Limit>,
}

/// One cost of a role.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Unique key of the row.
    pub key: String,
    /// The role that has the cost.
    pub role: String,
    /// Description of the cost.
    pub cost: String,
    /// Key of the series.
    pub series: String,
    /// Unit of the displayed figures.
    pub unit: String,
    /// Divisor from the unit of the series to the displayed unit.
    #[serde(default = "default_divisor")]
    pub per: f64,
    /// The size today, at the target, and at three times the target, in the size unit of the series.
    pub sizes: [f64; 3],
    /// The crate that implements it, or "missing".
    pub carried_by: String,
}

fn default_divisor() -> f64 {
    1.0
}

/// A limit of the target that breaks at some size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Unique key of the limit.
    pub key: String,
    /// Description: what grows, and what it must not exceed.
    pub what: String,
    /// Unit of the sizes.
    pub unit: String,
    /// The size at the target.
    pub target: f64,
    /// How the breaking size is determined.
    pub breaks: BreakingPoint,
    /// Whether other parts of the target depend on this limit.
    pub blocks: bool,
    /// The mechanism that implements it, or that is missing.
    pub carried_by: String,
}

/// How the breaking size of a limit is determined.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, expecting = "enum Breaks")]
pub enum BreakingPoint {
    /// The size at which the series reaches the budget.
    Budget {
        /// Key of the series.
        series: String,
        /// The budget, in the unit of the series.
        budget: f64,
    },
    /// The largest value of the series.
    #[serde(rename = "most")]
    Maximum {
        /// Key of the series.
        series: String,
    },
    /// A constant of the program.
    Constant {
        /// File that defines it, relative to the root of the repository.
        file: String,
        /// Name of the constant.
        name: String,
        /// Value of the constant.
        value: f64,
        /// Amount used by one unit of the size.
        #[serde(default = "default_divisor")]
        #[serde(rename = "each")]
        per_unit: f64,
    },
    /// The mechanism doesn't exist.
    Absent,
}

/// A row with its costs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Costed")]
pub struct CostedRow {
    /// The row.
    #[serde(flatten)]
    pub row: Row,
    /// Costs at the three sizes, in the displayed unit.
    pub figures: [Option<Figure>; 3],
}

/// A limit with the size at which it breaks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Ranked")]
pub struct RankedLimit {
    /// The limit.
    #[serde(flatten)]
    pub limit: Limit,
    /// The size at which it breaks; `None` if it doesn't.
    #[serde(rename = "at")]
    pub breaks_at: Option<f64>,
    /// The breaking size divided by the target size. Below 1, the target isn't reached.
    pub ratio: Option<f64>,
}

/// A plan with its costs, and its limits in the order in which they break.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Planned")]
pub struct EvaluatedPlan {
    /// The costs.
    pub rows: Vec<CostedRow>,
    /// The limits in increasing order of the ratio; those that don't break come last.
    pub limits: Vec<RankedLimit>,
}

/// An error in a plan.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// Two rows or limits have the same key.
    #[error("{0}: duplicate key; give each row and limit a unique key")]
    DuplicateKey(String),
    /// A size, budget or divisor isn't a number above 0.
    #[error("{key}: {value} must be a finite number above 0")]
    InvalidNumber {
        /// Key of the row or limit.
        key: String,
        /// The invalid number.
        value: String,
    },
    /// The report doesn't have the series.
    #[error(
        "{key}: no series {series:?} in the report; run `loomlb-lab capacity` with this series, or correct the name"
    )]
    UnknownSeries {
        /// Key of the row or limit.
        key: String,
        /// Key of the missing series.
        series: String,
    },
}

impl Plan {
    /// Checks keys and numbers, and returns the first error.
    fn check(&self) -> Result<(), PlanError> {
        let mut keys: Vec<&str> = self.rows.iter().map(|r| &*r.key).collect();
        keys.extend(self.limits.iter().map(|l| &*l.key));
        keys.sort_unstable();
        if let Some(pair) = keys.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(PlanError::DuplicateKey(pair[0].into()));
        }
        let check_number = |key: &str, value: f64| {
            let error = || PlanError::InvalidNumber { key: key.into(), value: value.to_string() };
            (value.is_finite() && value > 0.0).then_some(()).ok_or_else(error)
        };
        for row in &self.rows {
            row.sizes.iter().chain([&row.per]).try_for_each(|size| check_number(&row.key, *size))?;
        }
        for limit in &self.limits {
            check_number(&limit.key, limit.target)?;
            match &limit.breaks {
                BreakingPoint::Budget { budget, .. } => check_number(&limit.key, *budget)?,
                BreakingPoint::Constant { value, per_unit, .. } => {
                    check_number(&limit.key, *value)?;
                    check_number(&limit.key, *per_unit)?;
                }
                BreakingPoint::Maximum { .. } | BreakingPoint::Absent => {}
            }
        }
        Ok(())
    }

    /// Computes the costs of all rows and the order in which the limits break.
    pub fn evaluate(&self, measured: &dyn Measurements) -> Result<EvaluatedPlan, PlanError> {
        self.check()?;
        let mut rows = Vec::new();
        for row in &self.rows {
            let figures = row.sizes.map(|size| measured.figure(&row.series, size));
            if figures.iter().all(Option::is_none) {
                return Err(PlanError::UnknownSeries { key: row.key.clone(), series: row.series.clone() });
            }
            let to_displayed_unit = |figure: Figure| Figure { value: figure.value / row.per, ..figure };
            rows.push(CostedRow {
                row: row.clone(),
                figures: figures.map(|figure| figure.map(to_displayed_unit)),
            });
        }
        let mut limits = Vec::new();
        for limit in &self.limits {
            let maximum_of = |series: &String| {
                let error = || PlanError::UnknownSeries { key: limit.key.clone(), series: series.clone() };
                measured.maximum(series).ok_or_else(error)
            };
            let breaks_at = match &limit.breaks {
                BreakingPoint::Budget { series, budget } => {
                    maximum_of(series)?;
                    measured.size_at_budget(series, *budget)
                }
                BreakingPoint::Maximum { series } => Some(maximum_of(series)?),
                BreakingPoint::Constant { value, per_unit, .. } => Some(value / per_unit),
                BreakingPoint::Absent => Some(0.0),
            };
            let ratio = breaks_at.map(|size| size / limit.target);
            limits.push(RankedLimit { limit: limit.clone(), breaks_at, ratio });
        }
        limits.sort_by(|a, b| {
            let ratio_or_infinity = |limit: &RankedLimit| limit.ratio.unwrap_or(f64::INFINITY);
            ratio_or_infinity(a).total_cmp(&ratio_or_infinity(b)).then_with(|| a.limit.key.cmp(&b.limit.key))
        });
        Ok(EvaluatedPlan { rows, limits })
    }
}

impl EvaluatedPlan {
    /// The first limit that other parts depend on and that breaks below the target.
    pub fn first_blocker(&self) -> Option<&RankedLimit> {
        self.limits.iter().find(|l| l.limit.blocks && l.ratio.is_some_and(|ratio| ratio < 1.0))
    }
}

impl Measurements for Report {
    fn figure(&self, series: &str, size: f64) -> Option<Figure> {
        let fitted = self.get(series)?;
        let value = fitted.fit.cost_at(size)?;
        Some(Figure { value, source: fitted.series.source, extrapolated: fitted.fit.extrapolated(size) })
    }

    fn size_at_budget(&self, series: &str, budget: f64) -> Option<f64> {
        fit::size_at_budget(&self.get(series)?.fit, budget)
    }

    fn maximum(&self, series: &str) -> Option<f64> {
        let points = &self.get(series)?.series.points;
        points.iter().map(|point| fit::median(&point.values)).max_by(f64::total_cmp)
    }
}

/// Formats the costs as a Markdown table. Each figure links to `file`, the JSON file of this plan.
pub fn cost_table(planned: &EvaluatedPlan, file: &str) -> String {
    let mut out = "| role | what | unit | today | target | three times | carried by |\n".to_string();
    out += "| --- | --- | --- | --- | --- | --- | --- |\n";
    for CostedRow { row, figures } in &planned.rows {
        let cell = |(at, figure): (usize, &Option<Figure>)| match figure {
            None => "not known".to_string(),
            Some(f) => {
                let mark = match (f.source, f.extrapolated) {
                    (Source::Estimated, _) => " (e)",
                    (_, true) => " (*)",
                    _ => "",
                };
                let path = format!("/rows/key={}/figures/{at}/value", row.key);
                format!("[{}]({file}#{path}){mark}", page::format_rounded(f.value))
            }
        };
        let [today, target, triple] = [0, 1, 2].map(|at| cell((at, &figures[at])));
        let Row { role, cost, unit, carried_by, .. } = row;
        out += &format!("| {role} | {cost} | {unit} | {today} | {target} | {triple} | {carried_by} |\n");
    }
    out
}

/// Formats the limits as a Markdown table. Each figure links to `file`, the JSON file of this plan.
pub fn limit_table(planned: &EvaluatedPlan, file: &str) -> String {
    let mut out =
        "| limit | unit | breaks at | target | ratio | other things are built on it | carried by |\n"
            .to_string();
    out += "| --- | --- | --- | --- | --- | --- | --- |\n";
    for RankedLimit { limit, breaks_at, ratio } in &planned.limits {
        let link = |figure: Option<f64>, name: &str| match figure {
            Some(value) => {
                format!("[{}]({file}#/limits/key={}/{name})", page::format_rounded(value), limit.key)
            }
            None => "not reached".into(),
        };
        let (breaks_at, target, ratio) =
            (link(*breaks_at, "at"), link(Some(limit.target), "target"), link(*ratio, "ratio"));
        let blocks = if limit.blocks { "yes" } else { "no" };
        let Limit { what, unit, carried_by, .. } = limit;
        out += &format!("| {what} | {unit} | {breaks_at} | {target} | {ratio} | {blocks} | {carried_by} |\n");
    }
    out
}
