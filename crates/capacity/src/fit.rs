//! Fits a cost as a function of size to measured points: constant, linear, a power, or piecewise linear.
//!
//! The medians of the points are fitted. Residuals are relative, so that small sizes count as much as large ones. A
//! cost whose slope changes is fitted by several lines, because a single line would extrapolate it wrongly.

use crate::Series;
use serde::{Deserialize, Serialize};

/// A cost whose values deviate from their median by at most this fraction is flat.
pub const FLAT_TOLERANCE: f64 = 0.05;
/// A fit is accepted if its relative residuals are at most this.
pub const RESIDUAL_TOLERANCE: f64 = 0.15;
/// A line is accepted if the slopes between neighbouring points deviate from its slope by at most this fraction.
pub const SLOPE_TOLERANCE: f64 = 0.5;
/// Slopes between neighbouring points whose values differ by a smaller fraction are ignored as noise.
const MIN_RELATIVE_STEP: f64 = 0.4;

/// The reason why a series can't be fitted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FitError {
    /// The series has no points.
    #[error("{key}: no points; measure at least one size")]
    NoPoints {
        /// Key of the series.
        key: String,
    },
    /// A point has no values.
    #[error("{key}: no value at size {size}; measure at least one run for each size")]
    NoValue {
        /// Key of the series.
        key: String,
        /// The size of the point.
        size: f64,
    },
    /// A size or a value isn't finite, or a size is negative.
    #[error("{key}: {value} at size {size}: sizes must be finite and not negative, values must be finite")]
    InvalidNumber {
        /// Key of the series.
        key: String,
        /// The size of the point.
        size: f64,
        /// The invalid number.
        value: f64,
    },
    /// The sizes don't increase.
    #[error("{key}: size {size} follows a size that is not smaller; list each size once, the smallest first")]
    UnorderedSizes {
        /// Key of the series.
        key: String,
        /// The size that doesn't increase.
        size: f64,
    },
    /// The values are too large or too small to compute a fit.
    #[error("{key}: values differ too much to be fitted; use a larger unit")]
    OutOfRange {
        /// Key of the series.
        key: String,
    },
}

/// One line of a piecewise linear fit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// Smallest size.
    pub from: f64,
    /// Largest size.
    pub to: f64,
    /// Value of the line at size 0.
    pub fixed: f64,
    /// Increase per unit of size.
    pub slope: f64,
}

/// A cost as a function of size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// The same value at all sizes.
    Flat {
        /// The value.
        value: f64,
    },
    /// `fixed + slope * size`.
    Line {
        /// Value at size 0.
        fixed: f64,
        /// Increase per unit of size.
        slope: f64,
    },
    /// `factor * size ^ exponent`.
    Power {
        /// Value at size 1.
        factor: f64,
        /// 1 for proportional, 2 for quadratic growth.
        exponent: f64,
    },
    /// Connected lines, in increasing order of size.
    #[serde(rename = "bent")]
    Piecewise {
        /// The lines.
        segments: Vec<Segment>,
    },
}

/// A fitted cost with its accuracy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The fitted function.
    pub shape: Shape,
    /// Difference between the largest and the smallest characteristic of single runs, relative to the median: the value
    /// of a flat cost, the exponent of a power, or the slope of the (last) line. 0 for a single run.
    pub spread: f64,
    /// Largest relative residual of the medians.
    pub worst_residual: f64,
    /// Slope between the logarithms of sizes and values, for every shape. `None` unless there are two sizes, and all
    /// sizes and values are above 0.
    pub exponent: Option<f64>,
    /// Smallest measured size.
    pub from: f64,
    /// Largest measured size.
    pub to: f64,
}

impl Shape {
    fn cost_at(&self, size: f64) -> f64 {
        match self {
            Shape::Flat { value } => *value,
            Shape::Line { fixed, slope } => fixed + slope * size,
            Shape::Power { factor, exponent } => factor * size.powf(*exponent),
            Shape::Piecewise { segments } => {
                // The first and the last line are extrapolated.
                let segment = segments.iter().find(|segment| size <= segment.to).or(segments.last());
                segment.map_or(0.0, |segment| segment.fixed + segment.slope * size)
            }
        }
    }

    /// The parameter by which single runs are compared.
    fn characteristic(&self) -> f64 {
        match self {
            Shape::Flat { value } => *value,
            Shape::Line { slope, .. } => *slope,
            Shape::Power { exponent, .. } => *exponent,
            Shape::Piecewise { segments } => segments.last().map_or(0.0, |segment| segment.slope),
        }
    }

    fn is_finite(&self) -> bool {
        match self {
            Shape::Flat { value } => value.is_finite(),
            Shape::Line { fixed, slope } => fixed.is_finite() && slope.is_finite(),
            Shape::Power { factor, exponent } => factor.is_finite() && exponent.is_finite(),
            Shape::Piecewise { segments } => {
                segments.iter().all(|segment| segment.fixed.is_finite() && segment.slope.is_finite())
            }
        }
    }

    /// Fits the same kind of function, with the same knots, to other points.
    fn refit(&self, points: &[(f64, f64)]) -> Option<Shape> {
        match self {
            Shape::Flat { .. } => Some(fit_flat(points)),
            Shape::Line { .. } => fit_line(points),
            Shape::Power { .. } => fit_power(points),
            Shape::Piecewise { segments } => {
                let knots: Vec<f64> = segments.iter().skip(1).map(|segment| segment.from).collect();
                fit_piecewise(points, &knots)
            }
        }
    }
}

impl Fit {
    /// The cost at a size. `None` if the size is negative or not finite, or the cost overflows. See
    /// [`Fit::extrapolated`] for sizes that weren't measured.
    pub fn cost_at(&self, size: f64) -> Option<f64> {
        let is_valid = size.is_finite() && size >= 0.0;
        is_valid.then(|| self.shape.cost_at(size)).filter(|cost| cost.is_finite())
    }

    /// Whether a size is outside the measured range.
    pub fn extrapolated(&self, size: f64) -> bool {
        !(self.from..=self.to).contains(&size)
    }

    /// The slope at a size. `None` where [`Fit::cost_at`] returns `None`.
    pub fn slope_at(&self, size: f64) -> Option<f64> {
        self.cost_at(size)?;
        let slope = match &self.shape {
            Shape::Flat { .. } => 0.0,
            Shape::Line { slope, .. } => *slope,
            Shape::Power { factor, exponent } => factor * exponent * size.powf(exponent - 1.0),
            Shape::Piecewise { segments } => {
                segments.iter().find(|segment| size < segment.to).or(segments.last())?.slope
            }
        };
        slope.is_finite().then_some(slope)
    }
}

/// Returns the smallest size at which a cost reaches a budget, or `None` if it never does.
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
        Shape::Piecewise { segments } => segments.iter().enumerate().find_map(|(i, segment)| {
            let size = (budget - segment.fixed) / segment.slope;
            let from = if i == 0 { 0.0 } else { segment.from };
            let last = i + 1 == segments.len();
            // The tolerance covers rounding where two lines meet.
            (segment.slope > 0.0
                && size >= from * (1.0 - 1e-9)
                && (last || size <= segment.to * (1.0 + 1e-9)))
                .then_some(size)
        }),
    };
    size.filter(|value| value.is_finite())
}

/// Fits a series by the simplest accepted function: flat, a line, a power or two lines, three lines, or one line per
/// pair of neighbouring points. Of a power and two lines, the one with the smaller residual is taken.
pub fn fit(series: &Series) -> Result<Fit, FitError> {
    let key = || series.key.clone();
    validate(series)?;
    let medians: Vec<(f64, f64)> =
        series.points.iter().map(|point| (point.size, median(&point.values))).collect();
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
    let mut previous_size = -1.0;
    for point in &series.points {
        let size = point.size;
        if !size.is_finite() || size < 0.0 {
            return Err(FitError::InvalidNumber { key: key(), size, value: size });
        }
        if size <= previous_size {
            return Err(FitError::UnorderedSizes { key: key(), size });
        }
        previous_size = size;
        if point.values.is_empty() {
            return Err(FitError::NoValue { key: key(), size });
        }
        if let Some(value) = point.values.iter().find(|v| !v.is_finite()) {
            return Err(FitError::InvalidNumber { key: key(), size, value: *value });
        }
    }
    Ok(())
}

/// Returns the median, which is the mean of the two middle values for an even number of values, and 0 for no values.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (low, high) = (sorted.len().saturating_sub(1) / 2, sorted.len() / 2);
    match (sorted.get(low), sorted.get(high)) {
        // Halved before the sum, which may overflow.
        (Some(a), Some(b)) => a / 2.0 + b / 2.0,
        _ => 0.0,
    }
}

fn choose_shape(points: &[(f64, f64)]) -> Option<Shape> {
    let flat = fit_flat(points);
    if points.len() < 2 || max_relative_residual(&flat, points) <= FLAT_TOLERANCE {
        return Some(flat);
    }
    let is_accepted =
        |shape: &Shape| shape.is_finite() && max_relative_residual(shape, points) <= RESIDUAL_TOLERANCE;
    let line = fit_line(points).filter(|line| is_accepted(line) && is_straight(line, points));
    if line.is_some() {
        return line;
    }
    let better = |a: Option<Shape>, b: Option<Shape>| match (a, b) {
        (Some(a), Some(b)) => {
            Some(if max_relative_residual(&b, points) < max_relative_residual(&a, points) { b } else { a })
        }
        (a, b) => a.or(b),
    };
    let finite_only = |shape: Option<Shape>| shape.filter(Shape::is_finite);
    let inner_sizes: Vec<f64> = points[1..points.len() - 1].iter().map(|point| point.0).collect();
    let mut best = finite_only(fit_power(points));
    for knot in &inner_sizes {
        best = better(best, finite_only(fit_piecewise(points, &[*knot])));
    }
    if best.as_ref().is_some_and(is_accepted) {
        return best;
    }
    for (i, first) in inner_sizes.iter().enumerate() {
        for second in &inner_sizes[i + 1..] {
            best = better(best, finite_only(fit_piecewise(points, &[*first, *second])));
        }
    }
    if best.as_ref().is_some_and(is_accepted) { best } else { finite_only(interpolate(points)).or(best) }
}

/// Whether the slopes between neighbouring points match the slope of the line.
fn is_straight(line: &Shape, points: &[(f64, f64)]) -> bool {
    points.windows(2).all(|w| {
        let ((a, low), (b, high)) = (w[0], w[1]);
        let step = (high - low).abs() > MIN_RELATIVE_STEP * low.abs().max(high.abs());
        !step || ((high - low) / (b - a) / line.characteristic() - 1.0).abs() <= SLOPE_TOLERANCE
    })
}

/// The largest residual relative to the point's value, or to a millionth of the largest value if that is greater.
fn max_relative_residual(shape: &Shape, points: &[(f64, f64)]) -> f64 {
    let min_weight = min_magnitude(points);
    let relative_residual =
        |(size, value): &(f64, f64)| (shape.cost_at(*size) - value).abs() / value.abs().max(min_weight);
    points.iter().map(relative_residual).fold(0.0, |a, b| if b.is_nan() { f64::INFINITY } else { a.max(b) })
}

fn min_magnitude(points: &[(f64, f64)]) -> f64 {
    (points.iter().map(|point| point.1.abs()).fold(0.0, f64::max) * 1e-6).max(f64::MIN_POSITIVE)
}

fn fit_flat(points: &[(f64, f64)]) -> Shape {
    let values: Vec<f64> = points.iter().map(|point| point.1).collect();
    Shape::Flat { value: median(&values) }
}

/// Fits a line by least relative squares.
fn fit_line(points: &[(f64, f64)]) -> Option<Shape> {
    let (scale, coefficients) = least_squares(points, &[])?;
    Some(Shape::Line { fixed: coefficients[0], slope: coefficients[1] / scale })
}

/// Fits a power by least squares between the logarithms. `None` if a size or a value isn't above 0.
fn fit_power(points: &[(f64, f64)]) -> Option<Shape> {
    if points.len() < 2 || points.iter().any(|point| point.0 <= 0.0 || point.1 <= 0.0) {
        return None;
    }
    let log_points = points.iter().map(|p| (p.0.ln(), p.1.ln()));
    let n = points.len() as f64;
    let (x, y) = log_points.clone().fold((0.0, 0.0), |s, p| (s.0 + p.0 / n, s.1 + p.1 / n));
    let (xy, xx) =
        log_points.fold((0.0, 0.0), |s, p| (s.0 + (p.0 - x) * (p.1 - y), s.1 + (p.0 - x) * (p.0 - x)));
    let exponent = xy / xx;
    Some(Shape::Power { factor: (y - exponent * x).exp(), exponent })
}

/// Fits lines that meet at the knots by least relative squares.
fn fit_piecewise(points: &[(f64, f64)], knots: &[f64]) -> Option<Shape> {
    let (scale, coefficients) = least_squares(points, knots)?;
    let (from, to) = (points.first()?.0, points.last()?.0);
    let (mut fixed, mut slope, mut start) = (coefficients[0], coefficients[1] / scale, from);
    let mut segments = Vec::with_capacity(knots.len() + 1);
    for (knot, slope_change) in knots.iter().zip(&coefficients[2..]) {
        segments.push(Segment { from: start, to: *knot, fixed, slope });
        slope += slope_change / scale;
        fixed -= slope_change / scale * knot;
        start = *knot;
    }
    segments.push(Segment { from: start, to, fixed, slope });
    Some(Shape::Piecewise { segments })
}

/// Connects neighbouring points by lines.
fn interpolate(points: &[(f64, f64)]) -> Option<Shape> {
    let segments = points.windows(2).map(|w| {
        let ((from, low), (to, high)) = (w[0], w[1]);
        let slope = (high - low) / (to - from);
        Segment { from, to, fixed: low - slope * from, slope }
    });
    Some(Shape::Piecewise { segments: segments.collect() })
}

/// Fits the coefficients of `fixed + slope * x + change * max(x - knot, 0) + ...`, where x is the size divided by the
/// largest size. Returns the largest size and the coefficients, or `None` if the points don't determine them.
fn least_squares(points: &[(f64, f64)], knots: &[f64]) -> Option<(f64, Vec<f64>)> {
    let scale = points.iter().map(|point| point.0).fold(0.0, f64::max);
    let n = 2 + knots.len();
    if scale <= 0.0 || points.len() < n {
        return None;
    }
    let min_weight = min_magnitude(points);
    let mut rows = vec![vec![0.0; n + 1]; n];
    for (size, value) in points {
        let x = size / scale;
        let weight = value.abs().max(min_weight);
        let mut basis = vec![1.0 / weight, x / weight];
        basis.extend(knots.iter().map(|knot| (x - knot / scale).max(0.0) / weight));
        for i in 0..n {
            for j in 0..n {
                rows[i][j] += basis[i] * basis[j];
            }
            rows[i][n] += basis[i] * (value / weight);
        }
    }
    solve(rows).map(|coefficients| (scale, coefficients))
}

/// Solves a system of linear equations, given as rows with the right side last. `None` if it is singular.
fn solve(mut rows: Vec<Vec<f64>>) -> Option<Vec<f64>> {
    let n = rows.len();
    // Scales the columns to similar magnitudes.
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
        let (done, rows_below) = rows.split_at_mut(i + 1);
        let pivot_row = &done[i];
        for row in rows_below {
            let factor = row[i] / pivot_row[i];
            row.iter_mut().zip(pivot_row).skip(i).for_each(|(cell, above)| *cell -= factor * above);
        }
    }
    let mut solution = vec![0.0; n];
    for i in (0..n).rev() {
        let known_terms: f64 = (i + 1..n).map(|j| rows[i][j] * solution[j]).sum();
        solution[i] = (rows[i][n] - known_terms) / rows[i][i];
    }
    Some(solution.iter().zip(&scales).map(|(value, scale)| value / scale).collect())
}

/// Difference between the largest and the smallest characteristic of single runs, relative to the median.
fn spread(shape: &Shape, series: &Series) -> f64 {
    let runs = series.points.iter().map(|point| point.values.len()).min().unwrap_or(0);
    let characteristics = (0..runs).filter_map(|run| {
        let points: Vec<(f64, f64)> =
            series.points.iter().map(|point| (point.size, point.values[run])).collect();
        Some(shape.refit(&points)?.characteristic()).filter(|value| value.is_finite())
    });
    let characteristics: Vec<f64> = characteristics.collect();
    let largest = characteristics.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let smallest = characteristics.iter().copied().fold(f64::INFINITY, f64::min);
    let middle = median(&characteristics).abs();
    if characteristics.len() < 2 || middle <= 0.0 {
        0.0
    } else {
        ((largest - smallest) / middle).min(f64::MAX)
    }
}
