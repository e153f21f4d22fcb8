//! The target: what each role's costs come to at named sizes, and which of the target's limits breaks first. Pure: the
//! plan's words come from a file, its figures from whoever has measured.

use crate::report::Report;
use crate::{Source, fit, page};
use serde::{Deserialize, Serialize};

/// Where figures come from.
pub trait Measurements {
    /// What a series comes to at a size; `None` where it was not measured or cannot be said.
    fn figure(&self, series: &str, size: f64) -> Option<Figure>;
    /// The size at which a series of growing costs meets a budget; `None` if it is not known to.
    fn size_at_budget(&self, series: &str, budget: f64) -> Option<f64>;
    /// The greatest value of a series of outputs, such as versions a second: more does not come out, whatever goes in.
    fn maximum(&self, series: &str) -> Option<f64>;
}

/// A cost at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// In the series' unit.
    pub value: f64,
    /// How it came about.
    pub source: Source,
    /// The size lies beyond those that were measured: the figure follows the slope.
    #[serde(rename = "beyond")]
    pub extrapolated: bool,
}

/// The plan as it is written down: `docs/capacity/target.toml`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Costs of roles at three sizes.
    #[serde(default, rename = "row")]
    pub rows: Vec<Row>,
    /// What the target must not exceed, or must reach.
    #[serde(default, rename = "limit")]
    pub limits: Vec<Limit>,
}

/// One cost of a role.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Names the row; unique.
    pub key: String,
    /// Whose cost.
    pub role: String,
    /// What it is.
    pub cost: String,
    /// The series that gives it.
    pub series: String,
    /// Unit of the figures that are shown.
    pub unit: String,
    /// The series' values are divided by this to be shown.
    #[serde(default = "default_divisor")]
    pub per: f64,
    /// The size today, at the target, and at three times the target, in what the series counts.
    pub sizes: [f64; 3],
    /// The mechanism that carries it (a crate), or "missing".
    pub carried_by: String,
}

fn default_divisor() -> f64 {
    1.0
}

/// Something of the target that breaks at some size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Names the limit; unique.
    pub key: String,
    /// What grows, and what it must not exceed.
    pub what: String,
    /// Unit of the sizes.
    pub unit: String,
    /// The size at the target.
    pub target: f64,
    /// How the size at which it breaks is known.
    pub breaks: BreakingPoint,
    /// Whether other things of the target are built on what is missing here.
    pub blocks: bool,
    /// The mechanism that carries it, or that is missing.
    pub carried_by: String,
}

/// How the size at which a limit breaks is known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, expecting = "enum Breaks")]
pub enum BreakingPoint {
    /// Where this series meets this budget.
    Budget {
        /// The series' key.
        series: String,
        /// In the series' unit.
        budget: f64,
    },
    /// No more than the most that this series reached.
    #[serde(rename = "most")]
    Maximum {
        /// The series' key.
        series: String,
    },
    /// A constant of the program.
    Constant {
        /// The file that has it, from the root.
        file: String,
        /// Its name there.
        name: String,
        /// Its value, divided by what one unit of the size takes of it.
        value: f64,
        /// What one unit of the size takes.
        #[serde(default = "default_divisor")]
        #[serde(rename = "each")]
        per_unit: f64,
    },
    /// Nothing of the kind is there.
    Absent,
}

/// A row with its figures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Costed")]
pub struct CostedRow {
    /// The row.
    #[serde(flatten)]
    pub row: Row,
    /// Its figures at its sizes, already divided by `per`.
    pub figures: [Option<Figure>; 3],
}

/// A limit with its place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Ranked")]
pub struct RankedLimit {
    /// The limit.
    #[serde(flatten)]
    pub limit: Limit,
    /// The size at which it breaks; `None` if nothing measured breaks it.
    #[serde(rename = "at")]
    pub breaks_at: Option<f64>,
    /// That size divided by the target's: below 1 the target does not hold.
    pub ratio: Option<f64>,
}

/// The plan with its figures, the limits in the order in which they break.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Planned")]
pub struct EvaluatedPlan {
    /// The costs.
    pub rows: Vec<CostedRow>,
    /// The limits, smallest ratio first; those that do not break last.
    pub limits: Vec<RankedLimit>,
}

/// What is wrong with a plan.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// Two rows or limits have one key.
    #[error("{0}: stands there twice; give each row and limit a key of its own")]
    DuplicateKey(String),
    /// A size, budget or divisor that is no number above 0.
    #[error("{key}: {value} is no number above 0")]
    InvalidNumber {
        /// Of which row or limit.
        key: String,
        /// What stands there.
        value: String,
    },
    /// A series that the report does not have.
    #[error("{key}: no series {series:?} in the report; run the bench with it, or correct the name")]
    UnknownSeries {
        /// Of which row or limit.
        key: String,
        /// The name.
        series: String,
    },
}

impl Plan {
    /// The first thing that cannot be worked with.
    fn check(&self) -> Result<(), PlanError> {
        let mut keys: Vec<&str> = self.rows.iter().map(|r| &*r.key).collect();
        keys.extend(self.limits.iter().map(|l| &*l.key));
        keys.sort_unstable();
        if let Some(pair) = keys.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(PlanError::DuplicateKey(pair[0].into()));
        }
        let sound = |key: &str, value: f64| {
            let error = || PlanError::InvalidNumber { key: key.into(), value: value.to_string() };
            (value.is_finite() && value > 0.0).then_some(()).ok_or_else(error)
        };
        for row in &self.rows {
            row.sizes.iter().chain([&row.per]).try_for_each(|size| sound(&row.key, *size))?;
        }
        for limit in &self.limits {
            sound(&limit.key, limit.target)?;
            match &limit.breaks {
                BreakingPoint::Budget { budget, .. } => sound(&limit.key, *budget)?,
                BreakingPoint::Constant { value, per_unit, .. } => {
                    sound(&limit.key, *value)?;
                    sound(&limit.key, *per_unit)?;
                }
                BreakingPoint::Maximum { .. } | BreakingPoint::Absent => {}
            }
        }
        Ok(())
    }

    /// The plan's figures and the order in which its limits break.
    pub fn evaluate(&self, measured: &dyn Measurements) -> Result<EvaluatedPlan, PlanError> {
        self.check()?;
        let mut rows = Vec::new();
        for row in &self.rows {
            let figures = row.sizes.map(|size| measured.figure(&row.series, size));
            if figures.iter().all(Option::is_none) {
                return Err(PlanError::UnknownSeries { key: row.key.clone(), series: row.series.clone() });
            }
            let shown = |f: Figure| Figure { value: f.value / row.per, ..f };
            rows.push(CostedRow { row: row.clone(), figures: figures.map(|f| f.map(shown)) });
        }
        let mut limits = Vec::new();
        for limit in &self.limits {
            let known = |series: &String| {
                let error = || PlanError::UnknownSeries { key: limit.key.clone(), series: series.clone() };
                measured.maximum(series).ok_or_else(error)
            };
            let breaks_at = match &limit.breaks {
                BreakingPoint::Budget { series, budget } => {
                    known(series)?;
                    measured.size_at_budget(series, *budget)
                }
                BreakingPoint::Maximum { series } => Some(known(series)?),
                BreakingPoint::Constant { value, per_unit, .. } => Some(value / per_unit),
                BreakingPoint::Absent => Some(0.0),
            };
            let ratio = breaks_at.map(|size| size / limit.target);
            limits.push(RankedLimit { limit: limit.clone(), breaks_at, ratio });
        }
        limits.sort_by(|a, b| {
            let of = |r: &RankedLimit| r.ratio.unwrap_or(f64::INFINITY);
            of(a).total_cmp(&of(b)).then_with(|| a.limit.key.cmp(&b.limit.key))
        });
        Ok(EvaluatedPlan { rows, limits })
    }
}

impl EvaluatedPlan {
    /// The limit that goes first: the first below 1 on which other things are built.
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

/// The table of costs in Markdown, each figure a link into `file`, which holds this plan as JSON.
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
                let way = format!("/rows/key={}/figures/{at}/value", row.key);
                format!("[{}]({file}#{way}){mark}", page::format_rounded(f.value))
            }
        };
        let [today, target, thrice] = [0, 1, 2].map(|at| cell((at, &figures[at])));
        let Row { role, cost, unit, carried_by, .. } = row;
        out += &format!("| {role} | {cost} | {unit} | {today} | {target} | {thrice} | {carried_by} |\n");
    }
    out
}

/// The ranking in Markdown, each figure a link into `file`, which holds this plan as JSON.
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
