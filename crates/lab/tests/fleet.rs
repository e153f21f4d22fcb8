//! What a scheduler needs in a large fleet: the bounds' arithmetic, and the measurement in little, without timings.

use loomlb_lab::fleet::bounds::{BOUNDS, Quantity, Side, Usage, compare};
use loomlb_lab::fleet::{FleetSize, LARGE, SMALL};
use serde_json::Value;
use std::path::Path;
use std::process::Command;

/// Everything that a scheduler needs in the small fleet.
const USAGE: Usage = Usage {
    cpu_seconds: 1.0,
    peak_memory: 10e6,
    descriptors: 100.0,
    worker_connections: 50.0,
    list_bytes: 100e3,
    share_served: 0.9,
};

#[test]
fn the_bounds_of_3200_workers_are_the_operators() {
    let rows = compare(&USAGE, &USAGE, LARGE.workers);
    let bound = |quantity| rows.iter().find(|row| row.key == quantity).unwrap().bound;
    let near = |is: f64, expected: f64| (is - expected).abs() <= 1e-9 * expected;
    assert!(near(bound(Quantity::CpuSeconds), 1.4 + 0.02 + 3.2 * 0.03));
    assert!(near(bound(Quantity::PeakMemory), 15e6 + 8e6 + 3.2 * 4e6));
    assert!(near(bound(Quantity::Descriptors), 200.0 + 40.0));
    assert!(near(bound(Quantity::WorkerConnections), 125.0 + 40.0));
    assert!(near(bound(Quantity::ListBytes), 200e3 + 64e3 + 3.2 * 500e3));
    assert!(near(bound(Quantity::ShareServed), 0.9 * 0.85));
}

#[test]
fn a_row_holds_at_its_bound_and_not_beyond_it() {
    for bound in BOUNDS {
        let at = bound.value(USAGE.of(bound.quantity), LARGE.workers);
        let large = |value: f64| Usage {
            cpu_seconds: value,
            peak_memory: value,
            descriptors: value,
            worker_connections: value,
            list_bytes: value,
            share_served: value,
        };
        let holds = |value: f64| bound.compare(&USAGE, &large(value), LARGE.workers).holds;
        let (less, more) = (holds(at * 0.999), holds(at * 1.001));
        assert!(holds(at), "{}", bound.name);
        assert_eq!((less, more), (bound.side == Side::AtMost, bound.side == Side::AtLeast), "{}", bound.name);
        assert!(!holds(f64::NAN), "{}", bound.name);
    }
}

#[test]
fn the_large_fleet_has_sixteen_times_the_workers_and_as_many_for_each_scheduler() {
    assert_eq!((SMALL.workers, LARGE.workers, LARGE.schedulers), (200, 3_200, 900));
    let each = |size: FleetSize| size.workers as f64 / size.schedulers as f64;
    assert!((each(LARGE) / each(SMALL) - 1.0).abs() < 0.01);
}

#[test]
fn a_size_is_read_as_it_is_written_and_others_are_refused() {
    assert_eq!(LARGE.to_string().parse(), Ok(LARGE));
    for text in ["", "200", "0/56", "200/0", "200/x", "10000/900", "200/10001", "-1/5"] {
        let error = text.parse::<FleetSize>().unwrap_err();
        assert!(error.to_string().contains("WORKERS/SCHEDULERS"), "{error}");
    }
}

#[test]
fn a_small_measurement_fills_its_table_and_leaves_nothing_behind() {
    let files = tempfile::tempdir().unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_loomlb-lab"));
    command.args([
        "fleet",
        "--json",
        "--small",
        "20/6",
        "--large",
        "320/90",
        "--seconds",
        "3",
        "--days",
        "2",
    ]);
    let done = command.env("TMPDIR", files.path()).output().unwrap();
    let errors = String::from_utf8_lossy(&done.stderr);
    let report: Value = serde_json::from_slice(&done.stdout).unwrap_or_else(|e| panic!("{e}: {errors}"));
    let rows = report["rows"].as_array().unwrap();
    let keys: Vec<&Value> = rows.iter().map(|row| &row["key"]).collect();
    let expected: Vec<Value> = BOUNDS.iter().map(|b| serde_json::to_value(b.quantity).unwrap()).collect();
    assert_eq!(keys, expected.iter().collect::<Vec<_>>());
    for (row, bound) in rows.iter().zip(&BOUNDS) {
        let figure = |key: &str| row[key].as_f64().unwrap_or_else(|| panic!("{key}: {row}"));
        // Processor time comes in hundredths of a second: a short day may take none.
        let measured =
            bound.quantity == Quantity::CpuSeconds || figure("small") > 0.0 && figure("large") > 0.0;
        assert!(measured, "{row}");
        // Numbers that are read back from JSON may be off in their last digit.
        let expected = bound.value(figure("small"), 320);
        assert!((figure("bound") - expected).abs() <= expected * 1e-12, "{row}: {expected}");
        let holds = match bound.side {
            Side::AtMost => figure("large") <= figure("bound"),
            Side::AtLeast => figure("large") >= figure("bound"),
        };
        assert_eq!(row["holds"], holds, "{row}");
    }
    for (fleet, workers) in [("small", 20), ("large", 320)] {
        let fleet = &report[fleet];
        assert_eq!(fleet["size"]["workers"], workers);
        assert_eq!(fleet["days"].as_array().unwrap().len(), 2);
        for day in fleet["days"].as_array().unwrap() {
            assert!(day["requests"][1].as_u64().unwrap() > 0, "{day}");
            assert_eq!(day["requests"][2], 0, "{day}");
        }
    }
    // Whether all bounds hold is the machine's business: then the status says so.
    let all_hold = rows.iter().all(|row| row["holds"] == true);
    assert_eq!(done.status.code(), Some(if all_hold { 0 } else { 1 }), "{errors}");
    assert_nothing_left(files.path());
}

#[test]
fn a_program_that_ends_at_once_is_named() {
    let command = ["fleet", "--small", "2/1", "--large", "2/1", "--seconds", "2", "--program", "/bin/false"];
    let done = Command::new(env!("CARGO_BIN_EXE_loomlb-lab")).args(command).output().unwrap();
    let errors = String::from_utf8_lossy(&done.stderr);
    assert_eq!(done.status.code(), Some(2), "{errors}");
    assert!(errors.contains("/bin/false: the scheduler has ended by itself"), "{errors}");
}

/// No file is left in a directory.
fn assert_nothing_left(directory: &Path) {
    let left: Vec<_> = std::fs::read_dir(directory).unwrap().flatten().collect();
    assert!(left.is_empty(), "{left:?}");
}
