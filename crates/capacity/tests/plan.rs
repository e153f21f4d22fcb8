//! Tests of plan evaluation with fixed measurements: costs, the order of limits, and rejected plans.

use loomlb_capacity::Source;
use loomlb_capacity::page::{MEASURED_END, MEASURED_START, check_figure, linked_figures, unlinked_figures};
use loomlb_capacity::plan::{
    BreakingPoint, Figure, Limit, Measurements, Plan, PlanError, Row, cost_table, limit_table,
};

/// The series `line` costs 10 plus 2 per unit of size and is measured up to size 100. The series `flat` is at most 7.
struct FixedMeasurements;

impl Measurements for FixedMeasurements {
    fn figure(&self, series: &str, size: f64) -> Option<Figure> {
        (series == "line").then_some(Figure {
            value: 10.0 + 2.0 * size,
            source: Source::Counted,
            extrapolated: size > 100.0,
        })
    }
    fn size_at_budget(&self, series: &str, budget: f64) -> Option<f64> {
        (series == "line").then_some((budget - 10.0) / 2.0)
    }
    fn maximum(&self, series: &str) -> Option<f64> {
        [("line", 210.0), ("flat", 7.0)].into_iter().find(|s| s.0 == series).map(|s| s.1)
    }
}

fn row(key: &str, series: &str) -> Row {
    Row {
        key: key.into(),
        role: "scheduler".into(),
        cost: "time".into(),
        series: series.into(),
        unit: "us".into(),
        per: 2.0,
        sizes: [5.0, 100.0, 300.0],
        carried_by: "crate".into(),
    }
}

fn limit(key: &str, breaks: BreakingPoint, blocks: bool) -> Limit {
    Limit {
        key: key.into(),
        what: "w".into(),
        unit: "u".into(),
        target: 20.0,
        breaks,
        blocks,
        carried_by: "missing".into(),
    }
}

fn budget(series: &str, budget: f64) -> BreakingPoint {
    BreakingPoint::Budget { series: series.into(), budget }
}

#[test]
fn rows_get_their_costs_and_mark_the_extrapolated_ones() {
    let plan = Plan { rows: vec![row("a", "line")], limits: Vec::new() };
    let planned = plan.evaluate(&FixedMeasurements).unwrap();
    let costs: Vec<(f64, bool)> = planned.rows[0]
        .figures
        .iter()
        .map(|f| f.map_or((0.0, false), |f| (f.value, f.extrapolated)))
        .collect();
    assert_eq!(costs, [(10.0, false), (105.0, false), (305.0, true)]);
}

#[test]
fn limits_are_in_breaking_order_and_the_first_blocking_one_is_returned() {
    let constant = BreakingPoint::Constant { file: "f".into(), name: "N".into(), value: 64.0, per_unit: 2.0 };
    let limits = vec![
        limit("holds", budget("line", 1010.0), true),
        limit("output", BreakingPoint::Maximum { series: "flat".into() }, true),
        limit("absent", BreakingPoint::Absent, false),
        limit("constant", constant, true),
        limit("cost", budget("line", 20.0), true),
    ];
    let planned = Plan { rows: Vec::new(), limits }.evaluate(&FixedMeasurements).unwrap();
    let order: Vec<(&str, f64)> =
        planned.limits.iter().map(|l| (&*l.limit.key, l.ratio.unwrap_or(f64::NAN))).collect();
    assert_eq!(
        order,
        [("absent", 0.0), ("cost", 0.25), ("output", 0.35), ("constant", 1.6), ("holds", 25.0)]
    );
    assert_eq!(
        planned.first_blocker().map(|l| &*l.limit.key),
        Some("cost"),
        "nothing depends on the absent mechanism"
    );
}

#[test]
fn an_invalid_plan_is_rejected_with_the_key() {
    let error_of = |rows, limits| Plan { rows, limits }.evaluate(&FixedMeasurements).unwrap_err();
    assert_eq!(
        error_of(vec![row("a", "line")], vec![limit("a", BreakingPoint::Absent, true)]),
        PlanError::DuplicateKey("a".into())
    );
    let missing = |key: &str| PlanError::UnknownSeries { key: key.into(), series: "other".into() };
    assert_eq!(error_of(vec![row("a", "other")], Vec::new()), missing("a"));
    assert_eq!(error_of(Vec::new(), vec![limit("b", budget("other", 1.0), true)]), missing("b"));
    assert_eq!(
        error_of(Vec::new(), vec![limit("b", BreakingPoint::Maximum { series: "other".into() }, true)]),
        missing("b")
    );
    for invalid in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let expected = PlanError::InvalidNumber { key: "b".into(), value: invalid.to_string() };
        assert_eq!(error_of(Vec::new(), vec![limit("b", budget("line", invalid), true)]), expected);
        let mut invalid_row = row("b", "line");
        invalid_row.sizes[1] = invalid;
        assert_eq!(error_of(vec![invalid_row], Vec::new()), expected);
    }
}

#[test]
fn the_tables_of_a_plan_match_its_json() {
    let limits = vec![limit("cost", budget("line", 20.0), true), limit("none", BreakingPoint::Absent, false)];
    let planned = Plan { rows: vec![row("a", "line")], limits }.evaluate(&FixedMeasurements).unwrap();
    let tables = format!(
        "{MEASURED_START}\n{}\n{}\n{MEASURED_END}\n",
        cost_table(&planned, "plan.json"),
        limit_table(&planned, "plan.json")
    );
    let file = serde_json::to_value(&planned).unwrap();
    let figures = linked_figures(&tables).unwrap();
    // Three sizes of one row; breaking size, target and ratio of two limits.
    assert_eq!(figures.len(), 3 + 2 * 3);
    assert!(figures.iter().all(|s| check_figure(s, &file).is_ok()), "{tables}");
    assert!(
        unlinked_figures(&tables).is_empty()
            && tables.contains("305](plan.json#/rows/key=a/figures/2/value) (*)"),
        "{tables}"
    );
    let mut other = file.clone();
    other["rows"][0]["figures"][1]["value"] = 106.0.into();
    assert_eq!(figures.iter().filter(|s| check_figure(s, &other).is_err()).count(), 1);
}
