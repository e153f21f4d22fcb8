//! The tier's agreement under faults, in virtual time.

use loomlb_consensus::timing::TimingConfig;
use loomlb_lab::processes::{self, What};
use loomlb_lab::trial::{Told, Trial, Without, play};

fn trial(without: Without) -> Trial {
    let terms = TimingConfig { bound: 2_500_000_000, ..TimingConfig::default() };
    Trial {
        schedulers: 6,
        voters: 3,
        seconds: 40,
        terms,
        faults: true,
        disks: false,
        every: 2_000_000_000,
        without,
    }
}

fn broken(without: Without, seeds: std::ops::Range<u64>) -> Vec<(u64, Told)> {
    let told = seeds.map(|seed| (seed, play(&trial(without), seed).unwrap()));
    told.filter(|(_, t)| !t.breaches.is_empty()).collect()
}

/// Whatever stalls, dies, is cut off, comes late, twice or out of order: no two schedulers act on versions that contradict
/// each other, no one acts without a lease, and once all is whole again everybody acts on the newest version.
#[test]
fn no_two_schedulers_act_on_contradicting_versions_whatever_breaks() {
    let broken = broken(Without::Nothing, 0..40);
    let first = broken.first().map(|(seed, t)| format!("seed {seed}: {}", t.breaches.join("\n")));
    assert_eq!(first, None, "{} of 40", broken.len());
    let told = play(&trial(Without::Nothing), 1).unwrap();
    assert!(told.versions > 5 && told.acts > 3000 && told.could_act > 0.3, "{told:?}");
    // The same seed has the same end.
    assert_eq!(format!("{:?}", play(&trial(Without::Nothing), 1).unwrap()), format!("{told:?}"));
}

/// Voters' disks fill up, fail to sync and come back while all else breaks as well: the tier agrees again once they work,
/// and no voter has voted twice in a term.
#[test]
fn voters_whose_disks_fail_for_a_while_come_back_and_vote_once_in_a_term() {
    for faults in [false, true] {
        let trial = Trial { faults, disks: true, ..trial(Without::Nothing) };
        let told: Vec<Told> = (0..40).map(|seed| play(&trial, seed).unwrap()).collect();
        let broken = told.iter().enumerate().find(|(_, t)| !t.breaches.is_empty());
        assert!(broken.is_none(), "{broken:?}");
        let recoveries: u64 = told.iter().map(|t| t.recoveries).sum();
        let votes: usize = told.iter().map(|t| t.votes).sum();
        println!("faults {faults}: {recoveries} recoveries, {votes} votes");
        assert!(recoveries > 200 && votes > 200, "{recoveries} {votes}");
    }
}

/// A voter that stays away after a failure, or comes back without its vote, is found.
#[test]
fn without_the_recovery_of_a_voter_or_of_its_vote_the_checker_finds_a_breach() {
    let rules =
        [(Without::Recovery, "all agree in the end"), (Without::Vote, "a voter votes once in a term")];
    for (without, rule) in rules {
        let trial = Trial { disks: true, ..trial(without) };
        let mut told = (0..100).map(|seed| (seed, play(&trial, seed).unwrap()));
        let found = told.find(|(_, t)| t.breaches.iter().any(|breach| breach.starts_with(rule)));
        println!("{without:?}: {found:?}");
        assert!(found.is_some(), "{without:?}");
    }
}

/// Each part that the proof needs is taken away, and two schedulers are seen to act against each other.
#[test]
fn without_any_one_part_of_it_the_checker_finds_a_breach() {
    // Long leases outlast a restart of the voters.
    let terms = TimingConfig { bound: 8_000_000_000, ..TimingConfig::default() };
    for without in [Without::Quiet, Without::Readiness, Without::Drift] {
        let mut told = (0..400).map(|seed| (seed, play(&Trial { terms, ..trial(without) }, seed).unwrap()));
        let rule = "no two schedulers act on conflicting versions";
        let found = told.find(|(_, t)| t.breaches.iter().any(|b| b.starts_with(rule)));
        println!("{without:?}: {found:?}");
        assert!(found.is_some(), "{without:?}");
    }
}

/// Where nothing goes wrong a version is in force everywhere well within a lease, at any size.
#[test]
fn a_calm_tier_of_a_hundred_takes_a_version_at_once() {
    let calm = Trial { schedulers: 100, voters: 5, seconds: 15, faults: false, ..trial(Without::Nothing) };
    let told = play(&calm, 1).unwrap();
    assert!(told.breaches.is_empty() && told.versions > 3, "{told:?}");
    assert!(told.everywhere_ms[1] < 1500.0, "{told:?}");
}

/// Drawn schedules with five real processes: cuts, stops, kills, slow and broken links, files and orders, judged by the
/// same checker. A schedule is a file that plays again.
#[test]
fn drawn_schedules_with_real_processes_break_nothing() {
    let program = [env!("CARGO_BIN_EXE_loomlb-lab").into(), "scheduler".into()];
    let schedules: Vec<_> = (0..6).map(|seed| processes::draw(seed, 5, 6)).collect();
    let drawn = |what| schedules.iter().flat_map(|s| &s.acts).any(|a| a.what == what);
    assert!([What::Stop, What::Kill, What::Cut, What::Reload, What::Propose].into_iter().all(drawn));
    for schedule in &schedules {
        let text = toml::to_string(schedule).unwrap();
        assert_eq!(&loomlb_config_file::parse::<processes::Schedule>(&text).unwrap(), schedule);
    }
    std::thread::scope(|scope| {
        for schedule in &schedules {
            let program = &program;
            scope.spawn(move || {
                let told = processes::play(schedule, program).unwrap();
                assert!(told.breaches.is_empty(), "{}: {}", schedule.name, told.breaches.join("\n"));
                assert!(told.acts > 50 && told.versions > 0, "{told:?}");
            });
        }
    });
}
