//! Tests that lines, powers and piecewise lines are recovered from noisy points, and that invalid series are rejected.

use loomlb_capacity::fit::{Fit, FitError, RESIDUAL_TOLERANCE, Shape, fit, median, size_at_budget};
use loomlb_capacity::{Point, Series, Source};
use proptest::prelude::*;

/// Sizes over three orders of magnitude.
const SIZES: [f64; 7] = [10.0, 30.0, 100.0, 300.0, 1_000.0, 3_000.0, 10_000.0];

fn series(points: Vec<Point>) -> Series {
    Series {
        key: "role.part.cost_by_size".into(),
        role: "role".into(),
        unit: "ns".into(),
        size_unit: "things".into(),
        source: Source::Counted,
        note: String::new(),
        points,
    }
}

/// A series with five runs per size and pseudorandom noise of up to 3 %.
fn noisy_series(seed: u64, cost: impl Fn(f64) -> f64) -> Series {
    let mut state = seed | 1;
    let mut noise = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        1.0 + ((state >> 40) as f64 / (1u64 << 24) as f64 - 0.5) * 0.06
    };
    let points =
        SIZES.iter().map(|s| Point { size: *s, values: (0..5).map(|_| cost(*s) * noise()).collect() });
    series(points.collect())
}

fn is_near(a: f64, b: f64, part: f64) -> bool {
    (a - b).abs() <= part * b.abs()
}

/// Checks that the cost at the size returned for a budget is the budget, and that smaller sizes cost no more.
fn check_size_at_budget(fit: &Fit, budget: f64) {
    let size = size_at_budget(fit, budget).expect("the cost grows without limit");
    let cost = fit.cost_at(size).unwrap();
    assert!(is_near(cost, budget, 1e-6), "{cost} of {budget} at {size}: {fit:?}");
    assert!(fit.cost_at(size * 0.99).unwrap() <= budget * (1.0 + 1e-9), "{fit:?}");
}

proptest! {
    #[test]
    fn a_line_is_recovered_from_noisy_points(seed: u64, fixed in 0.0..1e6f64, slope in 0.5..1e3f64) {
        let cost = |s: f64| fixed + slope * s;
        prop_assume!(cost(10_000.0) > 1.5 * cost(10.0));
        let found = fit(&noisy_series(seed, cost)).unwrap();
        let Shape::Line { slope: fitted, .. } = found.shape else { panic!("{found:?}") };
        // The slope is less accurate where the fixed part dominates.
        let tolerance = 0.06 * cost(10_000.0) / (slope * 10_000.0);
        prop_assert!(is_near(fitted, slope, tolerance), "{fitted} of {slope}");
        prop_assert!(is_near(found.cost_at(30_000.0).unwrap(), cost(30_000.0), 0.25) && found.extrapolated(30_000.0));
        prop_assert!(!found.extrapolated(500.0) && found.worst_residual < RESIDUAL_TOLERANCE && found.spread >= 0.0);
        check_size_at_budget(&found, cost(50_000.0));
    }

    #[test]
    fn a_power_is_recovered_from_noisy_points(seed: u64, factor in 1e-3..1e3f64, exponent in prop_oneof![0.3..0.75f64, 1.3..2.5]) {
        let found = fit(&noisy_series(seed, |s: f64| factor * s.powf(exponent))).unwrap();
        let Shape::Power { exponent: fitted, .. } = found.shape else { panic!("{found:?}") };
        prop_assert!((fitted - exponent).abs() < 0.02, "{fitted} of {exponent}");
        prop_assert!(found.exponent == Some(fitted));
        check_size_at_budget(&found, factor * 50_000f64.powf(exponent));
    }

    /// The slope increases at a knot; the last segment has the larger slope.
    #[test]
    fn a_change_of_slope_is_not_fitted_by_a_line(seed: u64, slope in 0.1..10.0f64, knot in 2usize..5, slope_ratio in 5.0..20.0f64) {
        let knot = SIZES[knot];
        let cost = |s: f64| 50.0 + slope * s.min(knot) + slope * slope_ratio * (s - knot).max(0.0);
        let found = fit(&noisy_series(seed, cost)).unwrap();
        prop_assert!(!matches!(found.shape, Shape::Line { .. } | Shape::Flat { .. }), "{:?}", found);
        prop_assert!(found.worst_residual < RESIDUAL_TOLERANCE);
        for size in SIZES {
            prop_assert!(is_near(found.cost_at(size).unwrap(), cost(size), RESIDUAL_TOLERANCE + 0.05), "{size}: {found:?}");
        }
        if let Shape::Piecewise { segments } = &found.shape {
            prop_assert!(segments.windows(2).all(|w| w[0].to == w[1].from));
            prop_assert!(is_near(segments.last().unwrap().slope, slope * slope_ratio, 0.25), "{:?}", segments);
        }
        check_size_at_budget(&found, cost(8_000.0));
    }

    #[test]
    fn a_flat_cost_is_recovered_and_reaches_no_higher_budget(seed: u64, value in 1.0..1e9f64) {
        let found = fit(&noisy_series(seed, |_| value)).unwrap();
        let Shape::Flat { value: fitted } = found.shape else { panic!("{found:?}") };
        prop_assert!(is_near(fitted, value, 0.03));
        prop_assert_eq!(size_at_budget(&found, value * 2.0), None);
        prop_assert_eq!(size_at_budget(&found, value / 2.0), Some(0.0));
    }

    #[test]
    fn finite_input_gives_a_finite_fit_or_an_error(values in prop::collection::vec(prop::collection::vec(any::<f64>(), 0..4), 0..7),
        sizes in prop::collection::vec(0.0..1e300f64, 7), budget: f64, size: f64) {
        let mut sizes = sizes;
        sizes.sort_by(f64::total_cmp);
        let points = values.into_iter().zip(&sizes).map(|(values, s)| Point { size: *s, values }).collect();
        let series = series(points);
        match fit(&series) {
            Ok(found) => {
                prop_assert!(found.spread.is_finite() && found.worst_residual.is_finite());
                prop_assert!(found.cost_at(size).is_none_or(f64::is_finite));
                prop_assert!(found.slope_at(size).is_none_or(f64::is_finite));
                prop_assert!(size_at_budget(&found, budget).is_none_or(|s| s.is_finite() && s >= 0.0));
            }
            Err(e) => prop_assert!(e.to_string().starts_with("role.part.cost_by_size: "), "{}", e),
        }
    }
}

/// The residuals alone would accept a line here; the slopes between neighbouring points, 1 and 2.5, don't.
#[test]
fn a_change_of_slope_with_small_residuals_is_fitted_by_several_lines() {
    let found = fit(&noisy_series(7, |s| 2_000.0 + s.min(1_000.0) + 2.5 * (s - 1_000.0).max(0.0))).unwrap();
    let Shape::Piecewise { segments } = &found.shape else { panic!("{found:?}") };
    assert!(is_near(segments.last().unwrap().slope, 2.5, 0.1), "{segments:?}");
}

#[test]
fn an_invalid_series_is_rejected_with_its_key() {
    let point = |size, values: &[f64]| Point { size, values: values.to_vec() };
    let key = || "role.part.cost_by_size".to_string();
    assert_eq!(fit(&series(vec![])), Err(FitError::NoPoints { key: key() }));
    assert_eq!(fit(&series(vec![point(1.0, &[])])), Err(FitError::NoValue { key: key(), size: 1.0 }));
    for bad in [f64::NAN, f64::INFINITY] {
        let error = fit(&series(vec![point(1.0, &[2.0, bad])])).unwrap_err();
        assert!(
            matches!(&error, FitError::InvalidNumber { key: k, size, .. } if *k == key() && *size == 1.0)
        );
        assert!(matches!(fit(&series(vec![point(bad, &[2.0])])), Err(FitError::InvalidNumber { .. })));
    }
    let out_of_order = fit(&series(vec![point(2.0, &[1.0]), point(2.0, &[1.0])]));
    assert_eq!(out_of_order, Err(FitError::UnorderedSizes { key: key(), size: 2.0 }));
    // A single point and zeros are valid.
    let one = fit(&series(vec![point(5.0, &[3.0, 4.0, 9.0])])).unwrap();
    assert_eq!((one.shape.clone(), one.exponent), (Shape::Flat { value: 4.0 }, None));
    assert!(one.extrapolated(6.0) && !one.extrapolated(5.0));
    let none = fit(&series(vec![point(1.0, &[0.0]), point(2.0, &[0.0])])).unwrap();
    assert_eq!((none.cost_at(100.0), none.worst_residual), (Some(0.0), 0.0));
    assert_eq!((none.cost_at(-1.0), none.cost_at(f64::NAN)), (None, None));
    assert_eq!((median(&[]), median(&[1.0, 2.0]), median(&[3.0, 1.0, 2.0])), (0.0, 1.5, 2.0));
}

/// The runs have the slopes 9, 10 and 11.
#[test]
fn the_spread_is_the_difference_between_the_runs() {
    let point = |size: f64| Point { size, values: [9.0, 10.0, 11.0].map(|s| s * size).to_vec() };
    let found = fit(&series([1.0, 10.0, 100.0].map(point).to_vec())).unwrap();
    assert!(is_near(found.spread, 0.2, 1e-9), "{found:?}");
    assert!(matches!(found.shape, Shape::Line { slope, .. } if is_near(slope, 10.0, 1e-9)));
}
