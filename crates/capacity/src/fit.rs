//! Slopes from measured points: what a cost is at no size, what each unit of size adds, and where that stops to hold.
//!
//! Points are fitted by their medians. All residuals are relative, a tenth of a value and so on, so that small sizes count as
//! much as large ones. A cost that bends is told as it bends: a straight line through it would be wrong just where nobody
//! has measured.

use crate::Series;
use serde::{Deserialize, Serialize};

/// A cost that stays within this part of one value is flat.
pub const FLAT_TOLERANCE: f64 = 0.05;
/// A line or a power that misses a median by more than this part of it does not hold.
pub const RESIDUAL_TOLERANCE: f64 = 0.15;
/// A line whose slope between two sizes is off by more than this part does not hold,
pub const SLOPE_TOLERANCE: f64 = 0.5;
/// where the cost grows by at least this part of itself between the two: smaller steps are noise.
const MIN_RELATIVE_STEP: f64 = 0.4;

/// Why a series cannot be fitted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FitError {
    /// It has no points.
    #[error("{key}: no points; measure at one size at the least")]
    NoPoints {
        /// Of the series.
        key: String,
    },
    /// A size without values.
    #[error("{key}: no value at size {size}; each size needs one run at the least")]
    NoValue {
        /// Of the series.
        key: String,
        /// Where.
        size: f64,
    },
    /// A size or a value that is no finite number, or a size below zero.
    #[error("{key}: {value} at size {size}: sizes are finite and not below 0, values are finite")]
    InvalidNumber {
        /// Of the series.
        key: String,
        /// Where.
        size: f64,
        /// What stands there.
        value: f64,
    },
    /// Sizes that do not grow.
    #[error("{key}: size {size} follows a size that is not smaller; list each size once, the smallest first")]
    UnorderedSizes {
        /// Of the series.
        key: String,
        /// The one that is out of order.
        size: f64,
    },
    /// Values so large or so small that no slope between them can be told.
    #[error("{key}: values too far apart to fit; take a larger unit")]
    OutOfRange {
        /// Of the series.
        key: String,
    },
}

/// A straight part of a cost that bends.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// From this size on,
    pub from: f64,
    /// to this one.
    pub to: f64,
    /// What the line through it says at size 0.
    pub fixed: f64,
    /// For each unit of size.
    pub slope: f64,
}

/// How a cost goes with size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// It does not.
    Flat {
        /// At any size.
        value: f64,
    },
    /// `fixed + slope * size`.
    Line {
        /// At size 0.
        fixed: f64,
        /// For each unit of size.
        slope: f64,
    },
    /// `factor * size ^ exponent`.
    Power {
        /// At size 1.
        factor: f64,
        /// 1 is a line through 0, 2 a square.
        exponent: f64,
    },
    /// Lines that meet, from the smallest sizes on.
    #[serde(rename = "bent")]
    Piecewise {
        /// The lines.
        segments: Vec<Segment>,
    },
}

/// A fitted cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// How it goes with size.
    pub shape: Shape,
    /// How far the runs differ, as a part of the median: in the value of a flat cost, in the exponent of a power, in the
    /// slope of a line (the last one of those that meet). 0 where there was one run.
    pub spread: f64,
    /// How far a median lies off at the worst, as a part of it.
    pub worst_residual: f64,
    /// The slope of the logarithms, whatever the shape; none without two sizes and values above 0.
    pub exponent: Option<f64>,
    /// The smallest size that was measured.
    pub from: f64,
    /// The largest.
    pub to: f64,
}

impl Shape {
    fn cost_at(&self, size: f64) -> f64 {
        match self {
            Shape::Flat { value } => *value,
            Shape::Line { fixed, slope } => fixed + slope * size,
            Shape::Power { factor, exponent } => factor * size.powf(*exponent),
            Shape::Piecewise { segments } => {
                // The last line goes on beyond what was measured, as the first one does below it.
                let segment = segments.iter().find(|s| size <= s.to).or(segments.last());
                segment.map_or(0.0, |s| s.fixed + s.slope * size)
            }
        }
    }

    /// What the runs are compared by.
    fn characteristic(&self) -> f64 {
        match self {
            Shape::Flat { value } => *value,
            Shape::Line { slope, .. } => *slope,
            Shape::Power { exponent, .. } => *exponent,
            Shape::Piecewise { segments } => segments.last().map_or(0.0, |s| s.slope),
        }
    }

    fn is_finite(&self) -> bool {
        match self {
            Shape::Flat { value } => value.is_finite(),
            Shape::Line { fixed, slope } => fixed.is_finite() && slope.is_finite(),
            Shape::Power { factor, exponent } => factor.is_finite() && exponent.is_finite(),
            Shape::Piecewise { segments } => {
                segments.iter().all(|s| s.fixed.is_finite() && s.slope.is_finite())
            }
        }
    }

    /// The same kind of shape through other points.
    fn refit(&self, points: &[(f64, f64)]) -> Option<Shape> {
        match self {
            Shape::Flat { .. } => Some(fit_flat(points)),
            Shape::Line { .. } => fit_line(points),
            Shape::Power { .. } => fit_power(points),
            Shape::Piecewise { segments } => {
                let knots: Vec<f64> = segments.iter().skip(1).map(|s| s.from).collect();
                fit_piecewise(points, &knots)
            }
        }
    }
}

impl Fit {
    /// The cost at a size; none if the size is no finite number from 0 on, or the cost is beyond all numbers. Beyond the
    /// sizes that were measured it is [`Fit::extrapolated`].
    pub fn cost_at(&self, size: f64) -> Option<f64> {
        let sound = size.is_finite() && size >= 0.0;
        sound.then(|| self.shape.cost_at(size)).filter(|v| v.is_finite())
    }

    /// Whether a size lies beyond those that were measured.
    pub fn extrapolated(&self, size: f64) -> bool {
        !(self.from..=self.to).contains(&size)
    }

    /// What one more unit of size costs at this size; none where [`Fit::cost_at`] has none.
    pub fn slope_at(&self, size: f64) -> Option<f64> {
        self.cost_at(size)?;
        let slope = match &self.shape {
            Shape::Flat { .. } => 0.0,
            Shape::Line { slope, .. } => *slope,
            Shape::Power { factor, exponent } => factor * exponent * size.powf(exponent - 1.0),
            Shape::Piecewise { segments } => segments.iter().find(|s| size < s.to).or(segments.last())?.slope,
        };
        slope.is_finite().then_some(slope)
    }
}

/// The smallest size at which a cost reaches a budget; none if it never does.
pub fn size_at_budget(fit: &Fit, budget: f64) -> Option<f64> {
    if !budget.is_finite() {
        return None;
    }
    if fit.cost_at(0.0)? >= budget {
        return Some(0.0);
    }
    let size = match &fit.shape {
        Shape::Flat { .. } => None,
        Shape::Line { fixed, slope } => (*slope > 0.0).then(|| (budget - fixed) / slope),
        Shape::Power { factor, exponent } => {
            (*factor > 0.0 && *exponent > 0.0).then(|| (budget / factor).powf(1.0 / exponent))
        }
        Shape::Piecewise { segments } => segments.iter().enumerate().find_map(|(i, s)| {
            let size = (budget - s.fixed) / s.slope;
            let from = if i == 0 { 0.0 } else { s.from };
            let last = i + 1 == segments.len();
            // A hair's breadth: the lines meet at their ends but for rounding.
            (s.slope > 0.0 && size >= from * (1.0 - 1e-9) && (last || size <= s.to * (1.0 + 1e-9)))
                .then_some(size)
        }),
    };
    size.filter(|s| s.is_finite())
}

/// Fits a series: flat, a line, a power or lines that meet, the first of them that holds. Of a power and two lines the
/// one that misses less is taken.
pub fn fit(series: &Series) -> Result<Fit, FitError> {
    let key = || series.key.clone();
    validate(series)?;
    let medians: Vec<(f64, f64)> = series.points.iter().map(|p| (p.size, median(&p.values))).collect();
    let shape =
        choose_shape(&medians).filter(Shape::is_finite).ok_or_else(|| FitError::OutOfRange { key: key() })?;
    let worst_residual = max_relative_residual(&shape, &medians);
    let spread = spread(&shape, series);
    if !worst_residual.is_finite() || !spread.is_finite() {
        return Err(FitError::OutOfRange { key: key() });
    }
    let exponent = match fit_power(&medians) {
        Some(Shape::Power { exponent, .. }) if exponent.is_finite() => Some(exponent),
        _ => None,
    };
    let (from, to) = (medians[0].0, medians[medians.len() - 1].0);
    Ok(Fit { shape, spread, worst_residual, exponent, from, to })
}

fn validate(series: &Series) -> Result<(), FitError> {
    let key = || series.key.clone();
    if series.points.is_empty() {
        return Err(FitError::NoPoints { key: key() });
    }
    let mut before = -1.0;
    for point in &series.points {
        let size = point.size;
        if !size.is_finite() || size < 0.0 {
            return Err(FitError::InvalidNumber { key: key(), size, value: size });
        }
        if size <= before {
            return Err(FitError::UnorderedSizes { key: key(), size });
        }
        before = size;
        if point.values.is_empty() {
            return Err(FitError::NoValue { key: key(), size });
        }
        if let Some(value) = point.values.iter().find(|v| !v.is_finite()) {
            return Err(FitError::InvalidNumber { key: key(), size, value: *value });
        }
    }
    Ok(())
}

/// The median; that of an even number of values is the mean of the two in the middle. 0 of none.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (low, high) = (sorted.len().saturating_sub(1) / 2, sorted.len() / 2);
    match (sorted.get(low), sorted.get(high)) {
        // Halved first: their sum may be beyond all numbers.
        (Some(a), Some(b)) => a / 2.0 + b / 2.0,
        _ => 0.0,
    }
}

fn choose_shape(points: &[(f64, f64)]) -> Option<Shape> {
    let flat = fit_flat(points);
    if points.len() < 2 || max_relative_residual(&flat, points) <= FLAT_TOLERANCE {
        return Some(flat);
    }
    let holds =
        |shape: &Shape| shape.is_finite() && max_relative_residual(shape, points) <= RESIDUAL_TOLERANCE;
    let line = fit_line(points).filter(|l| holds(l) && is_straight(l, points));
    if line.is_some() {
        return line;
    }
    let better = |a: Option<Shape>, b: Option<Shape>| match (a, b) {
        (Some(a), Some(b)) => {
            Some(if max_relative_residual(&b, points) < max_relative_residual(&a, points) { b } else { a })
        }
        (a, b) => a.or(b),
    };
    let sound = |shape: Option<Shape>| shape.filter(Shape::is_finite);
    let inner: Vec<f64> = points[1..points.len() - 1].iter().map(|p| p.0).collect();
    let mut best = sound(fit_power(points));
    for knot in &inner {
        best = better(best, sound(fit_piecewise(points, &[*knot])));
    }
    if best.as_ref().is_some_and(holds) {
        return best;
    }
    for (i, first) in inner.iter().enumerate() {
        for second in &inner[i + 1..] {
            best = better(best, sound(fit_piecewise(points, &[*first, *second])));
        }
    }
    if best.as_ref().is_some_and(holds) { best } else { sound(interpolate(points)).or(best) }
}

/// Whether no step of some height goes much steeper, or less steep, than the line.
fn is_straight(line: &Shape, points: &[(f64, f64)]) -> bool {
    points.windows(2).all(|w| {
        let ((a, low), (b, high)) = (w[0], w[1]);
        let step = (high - low).abs() > MIN_RELATIVE_STEP * low.abs().max(high.abs());
        !step || ((high - low) / (b - a) / line.characteristic() - 1.0).abs() <= SLOPE_TOLERANCE
    })
}

/// How far a shape misses a point at the worst, as a part of the point's value, or of a millionth of the largest value
/// where that is more.
fn max_relative_residual(shape: &Shape, points: &[(f64, f64)]) -> f64 {
    let least = min_magnitude(points);
    let miss = |(size, value): &(f64, f64)| (shape.cost_at(*size) - value).abs() / value.abs().max(least);
    points.iter().map(miss).fold(0.0, |a, b| if b.is_nan() { f64::INFINITY } else { a.max(b) })
}

fn min_magnitude(points: &[(f64, f64)]) -> f64 {
    (points.iter().map(|p| p.1.abs()).fold(0.0, f64::max) * 1e-6).max(f64::MIN_POSITIVE)
}

fn fit_flat(points: &[(f64, f64)]) -> Shape {
    let values: Vec<f64> = points.iter().map(|p| p.1).collect();
    Shape::Flat { value: median(&values) }
}

/// The line of least relative squares.
fn fit_line(points: &[(f64, f64)]) -> Option<Shape> {
    let (scale, parts) = least_squares(points, &[])?;
    Some(Shape::Line { fixed: parts[0], slope: parts[1] / scale })
}

/// The power of least squares between the logarithms; none if a size or a value is not above 0.
fn fit_power(points: &[(f64, f64)]) -> Option<Shape> {
    if points.len() < 2 || points.iter().any(|p| p.0 <= 0.0 || p.1 <= 0.0) {
        return None;
    }
    let logs = points.iter().map(|p| (p.0.ln(), p.1.ln()));
    let n = points.len() as f64;
    let (x, y) = logs.clone().fold((0.0, 0.0), |s, p| (s.0 + p.0 / n, s.1 + p.1 / n));
    let (xy, xx) = logs.fold((0.0, 0.0), |s, p| (s.0 + (p.0 - x) * (p.1 - y), s.1 + (p.0 - x) * (p.0 - x)));
    let exponent = xy / xx;
    Some(Shape::Power { factor: (y - exponent * x).exp(), exponent })
}

/// Lines that meet at the knots, of least relative squares.
fn fit_piecewise(points: &[(f64, f64)], knots: &[f64]) -> Option<Shape> {
    let (scale, parts) = least_squares(points, knots)?;
    let (from, to) = (points.first()?.0, points.last()?.0);
    let (mut fixed, mut slope, mut start) = (parts[0], parts[1] / scale, from);
    let mut segments = Vec::with_capacity(knots.len() + 1);
    for (knot, turn) in knots.iter().zip(&parts[2..]) {
        segments.push(Segment { from: start, to: *knot, fixed, slope });
        slope += turn / scale;
        fixed -= turn / scale * knot;
        start = *knot;
    }
    segments.push(Segment { from: start, to, fixed, slope });
    Some(Shape::Piecewise { segments })
}

/// A line from each point to the next.
fn interpolate(points: &[(f64, f64)]) -> Option<Shape> {
    let segments = points.windows(2).map(|w| {
        let ((from, low), (to, high)) = (w[0], w[1]);
        let slope = (high - low) / (to - from);
        Segment { from, to, fixed: low - slope * from, slope }
    });
    Some(Shape::Piecewise { segments: segments.collect() })
}

/// The parts of `fixed + slope * x + turns * (x - knot)+` with x the size as a part of the largest, and that largest; none
/// where the points do not determine them.
fn least_squares(points: &[(f64, f64)], knots: &[f64]) -> Option<(f64, Vec<f64>)> {
    let scale = points.iter().map(|p| p.0).fold(0.0, f64::max);
    let n = 2 + knots.len();
    if scale <= 0.0 || points.len() < n {
        return None;
    }
    let least = min_magnitude(points);
    let mut rows = vec![vec![0.0; n + 1]; n];
    for (size, value) in points {
        let x = size / scale;
        let weight = value.abs().max(least);
        let mut basis = vec![1.0 / weight, x / weight];
        basis.extend(knots.iter().map(|k| (x - k / scale).max(0.0) / weight));
        for i in 0..n {
            for j in 0..n {
                rows[i][j] += basis[i] * basis[j];
            }
            rows[i][n] += basis[i] * (value / weight);
        }
    }
    solve(rows).map(|parts| (scale, parts))
}

/// Solves a small system, a row an equation with its right side last; none if it is singular.
fn solve(mut rows: Vec<Vec<f64>>) -> Option<Vec<f64>> {
    let n = rows.len();
    // Columns of very different size are brought to one.
    let scales: Vec<f64> = (0..n).map(|i| rows[i][i].sqrt()).collect();
    if scales.iter().any(|s| !s.is_normal()) {
        return None;
    }
    for i in 0..n {
        for j in 0..n {
            rows[i][j] /= scales[i] * scales[j];
        }
        rows[i][n] /= scales[i];
    }
    for i in 0..n {
        let pivot = (i..n).max_by(|a, b| rows[*a][i].abs().total_cmp(&rows[*b][i].abs()))?;
        rows.swap(i, pivot);
        if rows[i][i].is_nan() || rows[i][i].abs() < 1e-13 {
            return None;
        }
        let (done, below) = rows.split_at_mut(i + 1);
        let above = &done[i];
        for row in below {
            let part = row[i] / above[i];
            row.iter_mut().zip(above).skip(i).for_each(|(cell, above)| *cell -= part * above);
        }
    }
    let mut parts = vec![0.0; n];
    for i in (0..n).rev() {
        let known: f64 = (i + 1..n).map(|j| rows[i][j] * parts[j]).sum();
        parts[i] = (rows[i][n] - known) / rows[i][i];
    }
    Some(parts.iter().zip(&scales).map(|(p, s)| p / s).collect())
}

/// How far the runs differ in what the shape is told by, as a part of the median run's.
fn spread(shape: &Shape, series: &Series) -> f64 {
    let runs = series.points.iter().map(|p| p.values.len()).min().unwrap_or(0);
    let each = (0..runs).filter_map(|run| {
        let points: Vec<(f64, f64)> = series.points.iter().map(|p| (p.size, p.values[run])).collect();
        Some(shape.refit(&points)?.characteristic()).filter(|s| s.is_finite())
    });
    let each: Vec<f64> = each.collect();
    let most = each.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let least = each.iter().copied().fold(f64::INFINITY, f64::min);
    let middle = median(&each).abs();
    if each.len() < 2 || middle <= 0.0 { 0.0 } else { ((most - least) / middle).min(f64::MAX) }
}
