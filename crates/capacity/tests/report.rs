//! A report is read as it was written, what is wrong in it is named, and a workload's costs follow from it.

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
fn a_report_comes_back_as_it_was_written_and_a_fault_is_named_by_its_key() {
    let whole = report(vec![series("a.b.c", |s| 5.0 + 2.0 * s), series("a.b.d", |_| 7.0)]).unwrap();
    let text = whole.to_json();
    let again = Report::parse(&text).unwrap();
    assert_eq!(again.to_json(), text);
    assert_eq!((again.machine.clone(), again.series.len()), (whole.machine.clone(), 2));
    assert!((again.cost_at("a.b.c", 50.0).unwrap() - 105.0).abs() < 1e-6);
    assert!(again.get("a.b.x").is_none() && again.cost_at("a.b.x", 1.0).is_none());

    let named = |text: &str| Report::parse(text).unwrap_err().to_string();
    let wrong = named(&text.replacen("\"counted\"", "\"guessed\"", 1));
    assert!(wrong.starts_with("series[0].series.source: "), "{wrong}");
    let missing = named(&text.replacen("\"cores\": 8,", "", 1));
    assert!(missing.starts_with("machine: missing field `cores`"), "{missing}");
    let unknown = named(&text.replacen("\"cores\": 8,", "\"cores\": 8, \"speed\": 1,", 1));
    assert!(unknown.contains("machine.speed: unknown field `speed`"), "{unknown}");
    let twice = named(&text.replace("a.b.d", "a.b.c"));
    assert!(twice.starts_with("a.b.c: stands there twice"), "{twice}");
    let empty = named(&text.replacen("\"size\": 10.0", "\"size\": 0.5", 1));
    assert!(empty.starts_with("a.b.c: size 0.5 follows"), "{empty}");
    for cut in [0, text.len() / 2, text.len() - 3] {
        assert!(matches!(Report::parse(&text[..cut]), Err(ReportError::Malformed { .. })));
    }
    assert!(Report::parse(&(text + "x")).is_err());
    assert!(report(vec![series("a.b.c", |s| s), series("a.b.c", |s| s)]).is_err());
    assert!(report(vec![series("a.b.c", |_| f64::NAN)]).is_err());
}

#[test]
fn costs_follow_from_the_slopes_and_what_has_no_slope_is_absent() {
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
    let told = report(vec![
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
    let costs = predict(&told, &workload);
    let near = |a: Option<f64>, b: f64| a.is_some_and(|a| (a - b).abs() <= 1e-6 * b);
    // One version a second; renewals half as often as measured.
    assert!(near(costs.versions, 1.0) && near(costs.propagation_seconds, 0.090), "{costs:?}");
    assert!(near(costs.scheduler_received, 600.0 + 6_010.0), "{costs:?}");
    assert!(near(costs.scheduler_sent, 300.0 + 2.0 / 50.0 * 1_000.0), "{costs:?}");
    assert!(near(costs.voter_sent, 6_610.0 * 50.0 / 3.0 + 4_300.0), "{costs:?}");
    assert!(near(costs.voter_received, 340.0 * 50.0 / 3.0 + 4_300.0), "{costs:?}");
    assert!(near(costs.voter_disk, 3_000.0), "{costs:?}");
    assert_eq!((costs.scheduler_cpu, costs.voter_cpu, costs.scheduler_memory), (None, None, None));
    // Renewals that never come, or always do, have no cost that could be told.
    let never = predict(&told, &Workload { renew: 0.0, ..workload });
    assert!(never.scheduler_received.is_none() && near(never.versions, 1.0));
}
