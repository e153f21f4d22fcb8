//! Tests of parsing reports and of predictions from them.

use loomlb_capacity::predict::predict;
use loomlb_capacity::report::{Machine, Report, ReportError};
use loomlb_capacity::{Costs, Point, Series, Source, Workload};

fn series(key: &str, cost: impl Fn(f64) -> f64) -> Series {
    let points = [1.0, 10.0, 100.0].map(|s| Point { size: s, values: vec![cost(s)] });
    let part = |n: usize| key.split('.').nth(n).unwrap_or("").to_string();
    let (role, size_unit) = (part(0), "things".to_string());
    let (unit, note) = ("bytes".into(), "planted".into());
    Series { key: key.into(), role, unit, size_unit, source: Source::Counted, note, points: points.to_vec() }
}

fn report(all: Vec<Series>) -> Result<Report, ReportError> {
    Report::new(Machine { cores: 8, memory_mb: 1024, release: true }, false, all)
}

#[test]
fn a_report_survives_a_round_trip_and_errors_name_the_key() {
    let original = report(vec![series("a.b.c", |s| 5.0 + 2.0 * s), series("a.b.d", |_| 7.0)]).unwrap();
    let text = original.to_json();
    let parsed = Report::parse(&text).unwrap();
    assert_eq!(parsed.to_json(), text);
    assert_eq!((parsed.machine.clone(), parsed.series.len()), (original.machine.clone(), 2));
    assert!((parsed.cost_at("a.b.c", 50.0).unwrap() - 105.0).abs() < 1e-6);
    assert!(parsed.get("a.b.x").is_none() && parsed.cost_at("a.b.x", 1.0).is_none());

    let error_of = |text: &str| Report::parse(text).unwrap_err().to_string();
    let invalid_value = error_of(&text.replacen("\"counted\"", "\"guessed\"", 1));
    assert!(invalid_value.starts_with("series[0].series.source: "), "{invalid_value}");
    let missing = error_of(&text.replacen("\"cores\": 8,", "", 1));
    assert!(missing.starts_with("machine: missing field `cores`"), "{missing}");
    let unknown = error_of(&text.replacen("\"cores\": 8,", "\"cores\": 8, \"speed\": 1,", 1));
    assert!(unknown.contains("machine.speed: unknown field `speed`"), "{unknown}");
    let duplicate = error_of(&text.replace("a.b.d", "a.b.c"));
    assert!(duplicate.starts_with("a.b.c: duplicate key"), "{duplicate}");
    let unordered = error_of(&text.replacen("\"size\": 10.0", "\"size\": 0.5", 1));
    assert!(unordered.starts_with("a.b.c: size 0.5 follows"), "{unordered}");
    for cut in [0, text.len() / 2, text.len() - 3] {
        assert!(matches!(Report::parse(&text[..cut]), Err(ReportError::Malformed { .. })));
    }
    assert!(Report::parse(&(text + "x")).is_err());
    assert!(report(vec![series("a.b.c", |s| s), series("a.b.c", |s| s)]).is_err());
    assert!(report(vec![series("a.b.c", |_| f64::NAN)]).is_err());
}

#[test]
fn costs_are_predicted_from_the_fits_and_unknown_ones_are_none() {
    let workload = Workload {
        schedulers: 50.0,
        voters: 3.0,
        workers: 100.0,
        document: 1_000.0,
        changes: 2.0,
        renew: 0.5,
        starts: 10.0,
        flows: 20.0,
    };
    assert_eq!(predict(&report(vec![]).unwrap(), &workload), Costs::default());
    let measured = report(vec![
        series("change.versions_by_proposals", |s| 0.5 * s),
        series("scheduler.tier.heard_idle", |s| 400.0 * s),
        series("scheduler.tier.version_heard_by_document", |s| 10.0 + 6.0 * s),
        series("scheduler.tier.sent_idle", |s| 200.0 * s),
        series("scheduler.tier.proposal_sent_by_document", |s| s),
        series("voter.raft_sent_idle", |s| 100.0 * s),
        series("voter.raft_sent_by_document", |s| 4.0 * s),
        series("voter.log.bytes_by_document", |s| 3.0 * s),
        series("change.everywhere_by_schedulers", |s| 40.0 + s),
    ])
    .unwrap();
    let costs = predict(&measured, &workload);
    let is_near = |a: Option<f64>, b: f64| a.is_some_and(|a| (a - b).abs() <= 1e-6 * b);
    // One version per second; half as many renewals as measured.
    assert!(is_near(costs.versions, 1.0) && is_near(costs.propagation_seconds, 0.090), "{costs:?}");
    assert!(is_near(costs.scheduler_received, 600.0 + 6_010.0), "{costs:?}");
    assert!(is_near(costs.scheduler_sent, 300.0 + 2.0 / 50.0 * 1_000.0), "{costs:?}");
    assert!(is_near(costs.voter_sent, 6_610.0 * 50.0 / 3.0 + 4_300.0), "{costs:?}");
    assert!(is_near(costs.voter_received, 340.0 * 50.0 / 3.0 + 4_300.0), "{costs:?}");
    assert!(is_near(costs.voter_disk, 3_000.0), "{costs:?}");
    assert_eq!((costs.scheduler_cpu, costs.voter_cpu, costs.scheduler_memory), (None, None, None));
    // An interval of 0 between renewals has no defined cost.
    let without_renewals = predict(&measured, &Workload { renew: 0.0, ..workload });
    assert!(without_renewals.scheduler_received.is_none() && is_near(without_renewals.versions, 1.0));
}
