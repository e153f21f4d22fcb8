//! The bench of costs: a quick run has every series, counts are the same twice and agree with counts made another way.

use loomlb_capacity::Source;
use loomlb_capacity::report::Report;
use loomlb_consensus::link_protocol::LinkMessage;
use loomlb_consensus::log_store::LogFile;
use loomlb_consensus::storage::MemoryStorage;
use loomlb_consensus::timing::TimingConfig;
use loomlb_consensus::worker_lists::ListSummary;
use loomlb_lab::capacity::voter::Counted;
use loomlb_lab::capacity::{self, Options, meter, probe, tier};
use loomlb_lab::trial::{self, Load, Trial, Without};
use std::process::Command;

/// What docs/CAPACITY.md and the prediction go by.
const KEYS: [&str; 45] = [
    "change.everywhere_by_schedulers",
    "change.everywhere_faults_by_schedulers",
    "change.everywhere_faults_longest_by_schedulers",
    "change.everywhere_longest_by_schedulers",
    "change.missed_by_proposals",
    "change.versions_by_proposals",
    "change.waited_by_proposals",
    "discovery.watch.bytes_by_changes",
    "planner.gang.time_by_workers",
    "planner.memory_by_workers",
    "planner.sent_by_starts",
    "quota.admit.time_by_tenants",
    "quota.memory_by_tenants",
    "scheduler.decision.allocations_by_workers",
    "scheduler.decision.memory_by_workers",
    "scheduler.decision.time_by_tenants",
    "scheduler.decision.time_by_workers",
    "scheduler.flows.memory_by_flows",
    "scheduler.list.bytes_by_workers",
    "scheduler.list.memory_by_workers",
    "scheduler.list.time_by_workers",
    "scheduler.talk.bytes_by_peers",
    "scheduler.talk.job_bytes_by_peers",
    "scheduler.talk.time_by_peers",
    "scheduler.tier.first_state_by_document",
    "scheduler.tier.heard_by_changes",
    "scheduler.tier.heard_by_document",
    "scheduler.tier.heard_idle",
    "scheduler.tier.memory_by_document",
    "scheduler.tier.messages_by_changes",
    "scheduler.tier.messages_idle",
    "scheduler.tier.news_by_document",
    "scheduler.tier.proposal_sent_by_document",
    "scheduler.tier.sent_by_changes",
    "scheduler.tier.sent_idle",
    "scheduler.tier.time_by_document",
    "scheduler.tier.time_idle",
    "scheduler.tier.version_heard_by_document",
    "urgent.stop.messages_by_slots",
    "voter.apply.time_by_document",
    "voter.ask.time_by_schedulers",
    "voter.log.bytes_by_document",
    "voter.memory_by_document",
    "voter.raft_sent_by_document",
    "voter.sent_by_schedulers",
];

fn quick() -> Report {
    capacity::run(&Options { quick: true, ..Options::default() }).unwrap()
}

#[test]
fn a_quick_run_has_every_series_and_counts_the_same_twice() {
    let (once, twice) = (quick(), quick());
    for key in KEYS {
        let fitted = once.get(key).unwrap_or_else(|| panic!("{key} is missing"));
        assert_eq!(fitted.series.role, key.split('.').next().unwrap());
        let built = !["planner", "urgent"].contains(&&*fitted.series.role);
        assert_eq!(fitted.series.source != Source::Estimated, built, "{key}");
        assert!(!fitted.series.note.is_empty() || built, "{key}");
    }
    assert_eq!(once.series.len(), twice.series.len());
    for (a, b) in once.series.iter().zip(&twice.series) {
        match a.series.source {
            Source::Timed => assert_eq!(a.series.key, b.series.key),
            _ => assert_eq!(a, b, "{}", a.series.key),
        }
    }
    assert!(once.quick && capacity::table(&once).contains("urgent.stop.messages_by_slots"));
    // A few bytes more for a document are that many bytes more in each answer that carries it.
    let heard = |size| once.cost_at("scheduler.tier.version_heard_by_document", size).unwrap();
    let news = once.cost_at("scheduler.tier.news_by_document", 400.0).unwrap();
    assert!(heard(1_000.0) - heard(400.0) > 600.0 * news, "{} {} {news}", heard(1_000.0), heard(400.0));
}

/// Words are counted with what a sealed word has: 4 bytes of length, 16 of code, and the JSON.
#[test]
fn bytes_are_those_of_words_written_by_hand() {
    let still = Load { warm: 8_000_000_000, still: true, proposers: Some(5), ..Load::default() };
    let calm = Trial {
        schedulers: 5,
        voters: 3,
        seconds: 18,
        terms: TimingConfig::default(),
        faults: false,
        disks: false,
        every: 2_000_000_000,
        without: Without::Nothing,
    };
    let (_, traffic) = trial::measure(&calm, &still, 1).unwrap();
    let answer = |number: &str| {
        let text = format!(
            r#"{{"Answer":{{"number":{number},"yes":true,"news":null,"lists":{{"newest":0,"oldest":0,"leaving":[]}}}}}}"#
        );
        (4 + 16 + text.len()) as f64
    };
    // Renewals four a second, an answer of each of three voters, numbers of two digits.
    let flow = traffic.scheduler;
    assert!((flow.heard_words - 12.0).abs() < 0.2, "{flow:?}");
    let mean = flow.heard / flow.heard_words;
    assert!(mean == answer("10"), "{mean} is not {}", answer("10"));
    assert_eq!((traffic.versions, traffic.wanted, traffic.news), (0, 0, 0.0));

    for tenants in [0, 1, 4, 69] {
        let json = serde_json::to_vec(&trial::document(1, tenants)).unwrap();
        assert_eq!(tier::bytes(tenants), json.len() as f64);
    }
    let state = tier::state(4, 80);
    assert_eq!((state.history.len(), state.outcomes.len(), state.newest_version()), (64, 64, 80));
    let word = LinkMessage::LeaseResponse {
        number: 1,
        granted: false,
        newer_state: Some(Box::new(state)),
        lists: ListSummary::default(),
    };
    let only = |key: &str| {
        let options = Options { quick: true, only: Some(key.into()), ..Options::default() };
        let told = capacity::run(&options).unwrap();
        assert!(told.series.iter().all(|s| s.series.key.starts_with(key)));
        told.series[0].series.points.clone()
    };
    let first = &only("scheduler.tier.first_state_by_document")[0];
    let by_hand = 3 * (20 + serde_json::to_string(&word).unwrap().len());
    assert_eq!((first.size, first.values[0]), (tier::bytes(4), by_hand as f64));

    let world = probe::world(10).unwrap();
    let entries: usize = (0..10).map(|w| probe::listed(&world, w).to_string().len()).sum();
    let around = r#"{"hosts":[],"seq":1000000,"whole":true}"#.len() + 9;
    assert_eq!(only("scheduler.list.bytes_by_workers")[0].values, [(entries + around) as f64]);
}

#[test]
fn memory_and_files_are_counted_to_the_byte() {
    let (held, bytes) =
        meter::live(|| (Vec::<u8>::with_capacity(1_000), Box::new(7u64), "12345".to_string()));
    assert_eq!((held.0.capacity(), bytes), (1_000, 1_013.0));
    // What was freed meanwhile does not count, and what grew counts at its last size.
    let grown = meter::live(|| {
        let mut all = Vec::<u8>::with_capacity(10);
        all.resize(10, 1);
        all.reserve_exact(90);
        all
    });
    assert_eq!(grown.1, 100.0);
    assert_eq!(meter::allocations(|| drop([Box::new(1), Box::new(2), Box::new(3)])), 3.0);

    // Both files are told the same: a head of 13 bytes and the owner.
    let (counted, kept) = (Counted::default(), MemoryStorage::default());
    LogFile::open(&counted, "somebody", true).unwrap();
    LogFile::open(&kept, "somebody", true).unwrap();
    assert_eq!((counted.written(), kept.durable_bytes().len()), (21, 21));
}

/// A trial that is measured is the trial: counting changes nothing of what happens.
#[test]
fn counting_changes_nothing_of_a_trial() {
    let terms = TimingConfig { bound: 2_500_000_000, ..TimingConfig::default() };
    let trial = Trial {
        schedulers: 6,
        voters: 3,
        seconds: 20,
        terms,
        faults: true,
        disks: false,
        every: 2_000_000_000,
        without: Without::Nothing,
    };
    let (told, traffic) = trial::measure(&trial, &Load::default(), 3).unwrap();
    assert_eq!(format!("{told:?}"), format!("{:?}", trial::play(&trial, 3).unwrap()));
    assert!(traffic.scheduler.heard > 0.0 && traffic.versions > 0, "{traffic:?}");
}

#[test]
fn the_command_writes_a_report_that_is_read_and_names_a_prefix_that_fits_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("slopes.json");
    let run = |args: &[&str]| {
        Command::new(env!("CARGO_BIN_EXE_loomlb-lab"))
            .args(["capacity", "--quick"])
            .args(args)
            .output()
            .unwrap()
    };
    let out = run(&["--only", "discovery", "--out", file.to_str().unwrap()]);
    let table = String::from_utf8(out.stdout).unwrap();
    assert!(out.status.success() && table.contains("discovery.watch.bytes_by_changes"), "{table}");
    let told = Report::parse(&std::fs::read_to_string(&file).unwrap()).unwrap();
    assert_eq!(told.series.len(), 1);
    let json = run(&["--only", "discovery", "--json"]).stdout;
    assert_eq!(Report::parse(std::str::from_utf8(&json).unwrap()).unwrap(), told);
    let wrong = run(&["--only", "nobody"]);
    let said = String::from_utf8(wrong.stderr).unwrap();
    assert!(!wrong.status.success() && said.contains("--only nobody: no series begins so"), "{said}");
}
