//! Runs in little: real processes beside a few hollow schedulers, for some seconds. What must be so at every size is
//! looked at here, and no timings.

use loomlb_capacity::report::{Machine, Report};
use loomlb_capacity::{Point, Series, Source};
use serde_json::Value;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const LAB: &str = env!("CARGO_BIN_EXE_loomlb-lab");

/// A small run's words.
const SMALL: [&str; 16] = [
    "scale",
    "--json",
    "--voters",
    "3",
    "--schedulers",
    "20",
    "--workers",
    "40",
    "--changes",
    "2",
    "--document",
    "4000",
    "--starts",
    "5",
    "--flows",
    "20",
];

/// A run whose directory is in one of its own; its status, its report and what it said.
fn run(more: &[&str]) -> (Option<i32>, Value, String) {
    let files = tempfile::tempdir().unwrap();
    let mut command = Command::new(LAB);
    // A size that is named again stands for the small one.
    let kept = SMALL[2..].chunks(2).filter(|pair| !more.contains(&pair[0])).flatten();
    command.args(&SMALL[..2]).args(kept).args(more).env("TMPDIR", files.path());
    let done = command.output().unwrap();
    let said = String::from_utf8_lossy(&done.stderr).into_owned();
    nothing_left(files.path());
    (done.status.code(), serde_json::from_slice(&done.stdout).unwrap_or(Value::Null), said)
}

/// No directory, and no process that was started for one.
fn nothing_left(files: &Path) {
    let left: Vec<_> = std::fs::read_dir(files).unwrap().flatten().collect();
    assert!(left.is_empty(), "{left:?}");
    let running = processes(files);
    assert!(running.is_empty(), "{running:?}");
}

/// Processes that were told of this directory.
fn processes(files: &Path) -> Vec<String> {
    let all = std::fs::read_dir("/proc").unwrap().flatten();
    let known = all.filter_map(|e| {
        let environment = std::fs::read(e.path().join("environ")).ok()?;
        let text = String::from_utf8_lossy(&environment).into_owned();
        text.contains(files.to_str()?).then(|| e.file_name().to_string_lossy().into_owned())
    });
    known.collect()
}

fn number(report: &Value, path: &str) -> f64 {
    report.pointer(path).and_then(Value::as_f64).unwrap_or_else(|| panic!("{path}: {report}"))
}

/// What holds of every small run, however busy the machine is.
fn sound(report: &Value) {
    assert_eq!(number(report, "/leases/hollow"), number(report, "/leases/held"), "{report}");
    let changes = |key| number(report, &format!("/changes/{key}"));
    assert!(changes("agreed") > 0.0, "{report}");
    assert!(report["changes"]["refused"].as_object().unwrap().is_empty(), "{report}");
    assert_eq!(changes("proposed"), changes("agreed") + changes("missed") + changes("late"), "{report}");
    assert_eq!(changes("pending"), 0.0, "{report}");
    assert!(number(report, "/clients/jobs/1") > 0.0, "{report}");
    assert_eq!(number(report, "/clients/jobs/2"), 0.0, "{report}");
    // Both ends of a link count the same bytes, but for what was on its way in the moment of looking.
    for way in 0..2 {
        let [mine, links] = [0, 1].map(|end| number(report, &format!("/host/checked/{end}/{way}")));
        assert!(
            mine > 10_000.0 && (mine - links).abs() < 20_000.0 && (mine / links - 1.0).abs() < 0.1,
            "{report}"
        );
    }
    for key in [
        "scheduler_sent",
        "scheduler_heard",
        "scheduler_memory",
        "voter_sent",
        "voter_heard",
        "voter_memory",
        "versions",
        "everywhere",
    ] {
        assert!(number(report, &format!("/measured/{key}")) > 0.0, "{key}: {report}");
    }
    // A voter hears what all schedulers say to it: their own counts come to the same.
    let schedulers = number(report, "/workload/schedulers");
    let (one, voter) = (number(report, "/measured/scheduler_sent"), number(report, "/measured/voter_heard"));
    let voters = number(report, "/workload/voters");
    assert!(voter > 0.5 * one / voters * (schedulers - voters), "{report}");
}

#[test]
fn a_small_run_is_whole() {
    let (status, report, said) = run(&["--seconds", "6"]);
    assert!(matches!(status, Some(0 | 1)), "{said}");
    sound(&report);
    // Whether it counts is the machine's business: then its status says so.
    assert_eq!(status == Some(0), report["verdict"] == "counts", "{report}");
    assert!(report["verdict"] == "counts" || report["verdict"].as_str().unwrap().starts_with("no result: "));
    let disturbed = report["processes"].as_array().unwrap().iter().filter(|p| p["disturbed"] == true);
    assert_eq!(disturbed.count(), 0);
}

#[test]
fn with_faults_voters_die_and_return_and_the_cut_region_has_no_lease() {
    let (status, report, said) = run(&["--seconds", "12", "--faults"]);
    assert!(matches!(status, Some(0 | 1)), "{said}");
    assert!(number(&report, "/changes/agreed") > 0.0, "{report}");
    let processes = report["processes"].as_array().unwrap();
    assert_eq!(processes.iter().filter(|p| p["disturbed"] == true && p["role"] == "voter").count(), 2);
    let cut = processes.iter().find(|p| p["role"] == "cut").unwrap();
    assert_eq!(cut["counts"]["may_act"], false, "{cut}");
    let (hollow, held) = (number(&report, "/leases/hollow"), number(&report, "/leases/held"));
    // Every seventh is cut off.
    assert_eq!(held, hollow - (hollow / 7.0).floor(), "{report}");
    for word in ["Kill", "Launch", "Stop", "Restart", "Fail", "Renew", "Rack"] {
        assert!(said.contains(word), "{word}: {said}");
    }
}

#[test]
fn a_run_that_the_machine_cannot_bear_is_not_started() {
    let (status, _, said) = run(&["--schedulers", "100000", "--document", "3000000"]);
    assert_eq!(status, Some(2), "{said}");
    assert!(said.contains("memory in MB") && said.contains("needed") && said.contains("--part"), "{said}");
    let script = format!("ulimit -n 200 && exec {LAB} {}", SMALL.join(" "));
    let few = Command::new("sh").args(["-c", &script]).output().unwrap();
    let said = String::from_utf8_lossy(&few.stderr);
    assert_eq!(few.status.code(), Some(2), "{said}");
    assert!(said.contains("200 there; raise `ulimit -n`"), "{said}");
    for (key, value) in [("--schedulers", "3"), ("--workers", "0"), ("--bound", "0.1"), ("--part", "2")] {
        let (status, _, said) = run(&[key, value]);
        assert_eq!(status, Some(2), "{said}");
        assert!(said.contains(key.trim_start_matches('-')), "{said}");
    }
}

#[test]
fn too_few_descriptors_are_named_with_what_to_raise() {
    use loomlb_lab::scale::limits::{Machine, Need, check};
    let need = Need { memory_mb: 100, descriptors: 900, processes: 10, ports: 100 };
    let machine = Machine { cores: 2, memory_mb: 1000, descriptors: 1024, processes: 100, ports: 1000 };
    assert!(check(&need, &machine).is_ok());
    let said = |machine: Machine| check(&need, &machine).unwrap_err().to_string();
    let few = said(Machine { descriptors: 899, ..machine });
    assert!(few.contains("900 needed, 899 there") && few.contains("ulimit -n"), "{few}");
    assert!(said(Machine { memory_mb: 199, ..machine }).contains("memory"));
    assert!(said(Machine { processes: 9, ..machine }).contains("ulimit -u"));
    assert!(said(Machine { ports: 99, ..machine }).contains("ip_local_port_range"));
}

#[test]
fn a_program_that_does_not_start_leaves_nothing() {
    for program in ["/does/not/exist", "/bin/false"] {
        let (status, _, said) = run(&["--program", program]);
        assert_eq!(status, Some(2), "{said}");
        assert!(said.contains(program), "{said}");
    }
}

#[test]
fn a_signal_ends_all_of_a_run() {
    for signal in [rustix::process::Signal::INT, rustix::process::Signal::TERM] {
        let files = tempfile::tempdir().unwrap();
        let mut command = Command::new(LAB);
        command.args(SMALL).args(["--seconds", "600"]).env("TMPDIR", files.path());
        let mut child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
        let end = Instant::now() + Duration::from_secs(30);
        // Until the real processes have written what they must not forget.
        let written = || {
            let runs = std::fs::read_dir(files.path()).unwrap().flatten();
            runs.flat_map(|d| std::fs::read_dir(d.path()).into_iter().flatten().flatten())
                .any(|f| f.file_name().to_string_lossy().ends_with(".log"))
        };
        while !written() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
        }
        assert!(written(), "no voter has started");
        let pid = rustix::process::Pid::from_raw(child.id() as i32).unwrap();
        rustix::process::kill_process(pid, signal).unwrap();
        while child.try_wait().unwrap().is_none() {
            assert!(Instant::now() < end, "{signal:?}: it goes on");
            std::thread::sleep(Duration::from_millis(20));
        }
        assert_eq!(child.wait().unwrap().code(), Some(2), "{signal:?}");
        nothing_left(files.path());
    }
}

#[test]
fn a_prediction_is_said_before_and_compared_after() {
    let files = tempfile::tempdir().unwrap();
    let file = files.path().join("costs.json");
    // A report by which a scheduler says a byte a second, and holds far more than it can.
    let flat = |key: &str, value: f64| Series {
        key: key.into(),
        role: "scheduler".into(),
        unit: "bytes".into(),
        size_unit: "size".into(),
        source: Source::Counted,
        points: [1.0, 1e6].map(|size| Point { size, values: vec![value] }).to_vec(),
        note: String::new(),
    };
    let series = vec![
        flat("scheduler.tier.sent_idle", 1.0),
        flat("scheduler.tier.proposal_sent_by_document", 0.0),
        flat("scheduler.decision.memory_by_workers", 1e30),
        flat("scheduler.list.memory_by_workers", 0.0),
        flat("scheduler.flows.memory_by_flows", 0.0),
        flat("scheduler.tier.memory_by_document", 0.0),
    ];
    let machine = Machine { cores: 1, memory_mb: 1, release: false };
    let slopes = Report::new(machine, true, series).unwrap();
    std::fs::write(&file, slopes.to_json()).unwrap();
    let (status, report, said) = run(&["--seconds", "2", "--predict", file.to_str().unwrap()]);
    assert!(matches!(status, Some(0 | 1)), "{said}");
    let (told, began) = (said.find("predicted:").unwrap(), said.find("measuring").unwrap());
    assert!(told < began, "{said}");
    assert_eq!(report["predicted"]["scheduler_sent"], 1.0);
    let sent = number(&report, "/measured/scheduler_sent");
    assert_eq!(number(&report, "/ratios/scheduler_sent"), sent);
    let off: Vec<&str> = report["off"].as_array().unwrap().iter().filter_map(Value::as_str).collect();
    assert_eq!(off, ["scheduler_memory", "scheduler_sent"]);
    std::fs::write(&file, "no costs").unwrap();
    let (status, _, said) = run(&["--predict", file.to_str().unwrap()]);
    assert_eq!(status, Some(2), "{said}");
    assert!(said.contains("costs.json"), "{said}");
}
