//! End-to-end tests of several processes that agree on settings as a tier, with faults injected between them. Each test
//! ends by checking the history that all processes have written.

use loomlb_consensus::history_check::{CheckReport, check_history};
use loomlb_consensus::log_store::LogFile;
use loomlb_emulator::tier_harness::{LinkState, Options, TierHarness};
use loomlb_fault_plan::{Call, FaultPlan, UNLIMITED};
use serde_json::{Value, json};
use std::time::Duration;

/// `bound_s` of these tiers: the longest time until a committed version applies everywhere.
const VERSION_BOUND: Duration = Duration::from_secs(3);

fn start_rig(schedulers: usize, load: bool) -> TierHarness {
    start_rig_with(schedulers, load, "")
}

fn start_rig_with(schedulers: usize, load: bool, tier_settings: &str) -> TierHarness {
    let options = Options {
        program: vec![env!("CARGO_BIN_EXE_loomlb").into()],
        schedulers,
        voters: 3,
        tier_settings: format!("bound_s = {}\n{tier_settings}", VERSION_BOUND.as_secs()),
        job_interval: load.then_some(Duration::from_millis(40)),
        show_logs: std::env::var_os("RUST_LOG").is_some(),
    };
    let rig = TierHarness::start(options).unwrap();
    assert!((0..schedulers).all(|n| rig.wait_until_ready(n)), "not every scheduler is ready");
    rig
}

/// Changes how often a job of the second class may run, which conflicts with the version before.
fn set_effect(settings: &mut Value, effect: &str) {
    settings["classes"][1]["effect"] = effect.into();
}

/// Proposes another effect of the second class at a scheduler's control listener.
fn propose_effect(rig: &TierHarness, n: usize, effect: &str) -> Option<(u16, Value)> {
    let mut settings = rig.settings(n);
    set_effect(&mut settings, effect);
    rig.call_control(n, "PUT /control/tier/settings", &settings.to_string())
}

/// Checks the history of all processes and fails on any violation. The tolerance covers a process that is stopped
/// between checking its lease and writing its history record.
fn check_rig_history(rig: &TierHarness) -> CheckReport {
    let records = rig.history();
    let report = check_history(&records, Duration::from_millis(250).as_nanos() as u64, |_| true);
    let violations: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    report
}

#[test]
fn settings_reloaded_at_one_scheduler_apply_at_all_and_one_of_two_concurrent_reloads_wins() {
    let mut rig = start_rig(5, true);
    let (all, ready_at) = ([0, 1, 2, 3, 4], rig.elapsed());
    assert!(rig.all_follow_version(&all, 1));
    rig.reload(3, |s| set_effect(s, "at_most_once")).unwrap();
    assert!(rig.wait_until(|rig| rig.all_follow_version(&all, 2)), "{:?}", rig.tier_status(0));
    let changed_at = rig.elapsed();
    // A compatible change applies at once, proposing it again changes nothing, and a change that needs a restart is
    // rejected.
    let mut harmless = rig.settings(3);
    harmless["classes"]
        .as_array_mut()
        .unwrap()
        .push(json!({"name": "new", "aim": 1, "give_up": 9, "worth": 1.0, "effect": "idempotent"}));
    let answer = rig.call_control(1, "PUT /control/tier/settings", &harmless.to_string()).unwrap();
    assert_eq!((answer.0, &answer.1["version"], &answer.1["in_force"]), (200, &json!(3), &json!(true)));
    assert!(rig.wait_until(|rig| rig.all_follow_version(&all, 3)));
    assert_eq!(
        rig.call_control(4, "PUT /control/tier/settings", &harmless.to_string()).unwrap().1["why"],
        "it says the same"
    );
    let mut zones = harmless.clone();
    zones["zones"] = json!(["z", "y"]);
    let answer = rig.call_control(4, "PUT /control/tier/settings", &zones.to_string()).unwrap();
    assert_eq!((answer.0, &answer.1["keys"]), (422, &json!(["zones"])));
    // Invalid settings are rejected with the faulty key before they are proposed, and so are settings for an older
    // version.
    let mut bad = harmless.clone();
    bad["classes"][0]["give_up"] = 0.into();
    let answer = rig.call_control(0, "PUT /control/tier/settings", &bad.to_string()).unwrap();
    assert!(
        answer.0 == 400 && answer.1["why"].as_str().unwrap().starts_with("settings.classes[0].give_up"),
        "{answer:?}"
    );
    let answer = rig.call_control(0, "PUT /control/tier/settings/1", &harmless.to_string()).unwrap();
    assert_eq!((answer.0, &answer.1["version"]), (409, &json!(3)));
    // Two schedulers reload different settings at the same time.
    rig.reload(0, |s| set_effect(s, "deduplicated")).unwrap();
    rig.reload(4, |s| s["ceilings"]["max_attempts"] = 1.into()).unwrap();
    assert!(rig.wait_until(|rig| rig.all_follow_version(&all, 4)));
    // A worker taken offline at one scheduler is offline at all, and likewise when it is put back online.
    assert!(rig.call_control(2, "PUT /control/workers/s-00000001/offline", "").unwrap().0 < 300);
    let is_offline = |rig: &TierHarness, n: usize| {
        rig.tier_status(n).is_some_and(|t| t["workers_out"] == json!(["s-00000001"]))
    };
    assert!(rig.wait_until(|rig| all.iter().all(|n| is_offline(rig, *n))));
    assert!(rig.call_control(0, "PUT /control/workers/s-00000001/online", "").unwrap().0 < 300);
    assert!(rig.wait_until(|rig| all.iter().all(|n| !is_offline(rig, *n))));
    // Jobs sent after the class changed ran at most once, whichever scheduler took them, and all were answered.
    let jobs = rig.jobs();
    let (before, after): (Vec<_>, Vec<_>) = jobs.iter().partition(|j| j.sent_at < changed_at);
    assert!(before.iter().any(|j| j.worker_attempts == 2), "no job ran twice before the change");
    assert!(
        after.iter().filter(|j| j.worker_attempts > 0).count() > 20
            && after.iter().all(|j| j.worker_attempts <= 1)
    );
    let sent_until = rig.elapsed();
    assert!(rig.wait_until(|rig| rig.jobs().iter().filter(|j| j.sent_at < sent_until).all(|j| j.finished)));
    let unanswered: Vec<_> = rig
        .jobs()
        .into_iter()
        .filter(|j| (ready_at..sent_until).contains(&j.sent_at) && j.status.is_none())
        .collect();
    assert!(unanswered.is_empty(), "{unanswered:?}");
    assert!(check_rig_history(&rig).acts_checked > 100);
}

/// Guards against requesting the complete worker list, which is long in a large fleet, for a change of settings alone.
#[test]
fn a_new_version_does_not_cause_requests_for_the_complete_worker_list() {
    let mut rig = start_rig(4, false);
    let all = [0, 1, 2, 3];
    assert!(rig.all_follow_version(&all, 1));
    for (version, effect) in [(2, "at_most_once"), (3, "deduplicated")] {
        assert!(rig.wait_until(|rig| propose_effect(rig, 1, effect).is_some_and(|s| s.0 < 300)));
        assert!(rig.wait_until(|rig| rig.all_follow_version(&all, version)));
    }
    // A newer list is still received, on the watch that stayed open.
    all.iter().for_each(|n| rig.publish_worker_list(*n, Some(1)));
    assert!(
        rig.wait_until(|rig| all
            .iter()
            .all(|n| rig.tier_status(*n).is_some_and(|t| t["lists"]["mine"] == 2)))
    );
    assert_eq!(rig.full_list_requests(), 0);
    // A reload by SIGHUP may change the discovery address, so the complete list is requested then.
    rig.reload(0, |_| ()).unwrap();
    assert!(rig.wait_until(|rig| rig.full_list_requests() > 0));
    check_rig_history(&rig);
}

/// Covers the status, the history, an accepted proposal, and one that is based on an outdated version.
#[test]
fn operators_query_propose_and_wait_on_the_command_line() {
    let rig = start_rig(3, false);
    let loomlb = |args: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_loomlb"));
        let result =
            command.args(["tier", "--at", &rig.control_address(1).to_string()]).args(args).output().unwrap();
        let output: Value = serde_json::from_slice(&result.stdout).unwrap_or(Value::Null);
        (result.status.code(), output, String::from_utf8(result.stderr).unwrap())
    };
    let file = tempfile::NamedTempFile::new().unwrap();
    let path = file.path().to_str().unwrap();
    let mut settings = rig.settings(1);
    set_effect(&mut settings, "at_most_once");
    std::fs::write(path, json!({ "settings": settings }).to_string()).unwrap();
    // On a busy machine one call may time out before the version applies.
    assert!(rig.wait_until(|_| {
        loomlb(&["propose", path, "--after", "1"]);
        loomlb(&["wait", "2", "--seconds", "1"]).1 == json!(2)
    }));
    let (code, output, _) = loomlb(&["status"]);
    assert_eq!(
        (code, &output["version"], &output["may_act"], output.get("settings")),
        (Some(0), &json!(2), &json!(true), None)
    );
    let (_, output, _) = loomlb(&["history"]);
    assert_eq!(output[1]["keys"], json!(["classes.lodge.effect"]));
    set_effect(&mut settings, "deduplicated");
    std::fs::write(path, json!({ "settings": settings }).to_string()).unwrap();
    let (code, output, _) = loomlb(&["propose", path, "--after", "1"]);
    assert_eq!((code, &output["version"]), (Some(1), &json!(2)));
    assert_eq!(loomlb(&["wait", "9", "--seconds", "0.1"]).0, Some(1));
    std::fs::write(path, "{}").unwrap();
    let (code, _, error) = loomlb(&["propose", path]);
    assert!(code == Some(2) && error.ends_with("settings: missing\n"), "{error}");
}

#[test]
fn an_isolated_scheduler_stops_accepting_jobs_and_delays_a_version_for_at_most_the_bound() {
    let rig = start_rig(5, true);
    let connected = [0, 1, 2, 3];
    // Only the direction to the voters is cut: their messages still arrive, and so do those of clients and workers.
    (0..3).for_each(|voter| rig.set_link(4, voter, LinkState::Cut));
    let proposed_at = rig.elapsed();
    assert!(propose_effect(&rig, 1, "at_most_once").unwrap().0 < 300);
    assert!(rig.wait_until(|rig| rig.all_follow_version(&connected, 2)), "{:?}", rig.tier_status(0));
    let elapsed = rig.elapsed() - proposed_at;
    assert!(elapsed < VERSION_BOUND + Duration::from_secs(1), "{elapsed:?}");
    let isolated = rig.tier_status(4).unwrap();
    assert_eq!((&isolated["may_act"], &isolated["acting"]), (&json!(false), &json!({"On": 1})));
    let since = rig.elapsed();
    std::thread::sleep(Duration::from_millis(400));
    let rejected: Vec<_> = rig
        .jobs()
        .into_iter()
        .filter(|j| j.scheduler == 4 && j.sent_at > since && j.status.is_some())
        .collect();
    assert!(
        rejected.len() > 3 && rejected.iter().all(|j| j.status == Some(503) && j.worker_attempts == 0),
        "{rejected:?}"
    );
    (0..3).for_each(|voter| rig.set_link(4, voter, LinkState::Open));
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[4], 2)));
    // Slow links are tolerated, and broken connections are reopened.
    rig.set_all_links(4, LinkState::Delayed(Duration::from_millis(150)));
    (0..3).for_each(|voter| rig.break_connections(4, voter));
    assert!(propose_effect(&rig, 4, "deduplicated").is_some());
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[0, 1, 2, 3, 4], 3)));
    check_rig_history(&rig);
}

#[test]
fn with_on_lapse_strict_a_scheduler_without_a_lease_serves_by_the_strictest_rules() {
    let rig = start_rig_with(4, true, "on_lapse = \"strict\"");
    // With `on_lapse = "strict"` a scheduler serves before it has its first lease.
    assert!(rig.wait_until(|rig| rig.tier_status(3).is_some_and(|t| t["lease_left_s"].as_f64() > Some(0.0))));
    rig.set_all_links(3, LinkState::Cut);
    assert!(rig.wait_until(|rig| rig.tier_status(3).is_some_and(|t| t["lease_left_s"] == 0.0)));
    std::thread::sleep(Duration::from_millis(300));
    let since = rig.elapsed();
    std::thread::sleep(Duration::from_secs(1));
    let jobs: Vec<_> = rig.jobs().into_iter().filter(|j| j.scheduler == 3 && j.sent_at > since).collect();
    assert!(jobs.iter().filter(|j| j.status == Some(200)).count() > 5, "{jobs:?}");
    // A job is not repeated if the class may have become unsafe to repeat.
    let repeated: Vec<_> = jobs.iter().filter(|j| j.worker_attempts > 1).collect();
    assert!(repeated.is_empty(), "{} of {} since {since:?}: {repeated:?}", repeated.len(), jobs.len());
    rig.set_all_links(3, LinkState::Open);
    assert!(rig.wait_until(|rig| rig.tier_status(3).is_some_and(|t| t["lease_left_s"].as_f64() > Some(0.0))));
    let since = rig.elapsed();
    assert!(rig.wait_until(|rig| {
        rig.jobs().iter().any(|j| j.scheduler == 3 && j.sent_at > since && j.worker_attempts == 2)
    }));
    check_rig_history(&rig);
}

#[test]
fn a_drain_seen_by_one_scheduler_is_followed_by_all_and_outdated_lists_are_requested_again() {
    let rig = start_rig(4, true);
    let sent_to = |rig: &TierHarness, n: usize, since: Duration, worker| {
        rig.jobs()
            .iter()
            .filter(|j| j.scheduler == n && j.sent_at > since && j.worker_attempts > 0 && j.worker == worker)
            .count()
    };
    // Only the first scheduler's list reports that a worker is leaving.
    rig.publish_worker_list(0, Some(1));
    let tier_counter = |rig: &TierHarness, counter: &str| {
        rig.tier_status(3).and_then(|t| t["counts"][counter].as_u64()).unwrap_or(0)
    };
    assert!(rig.wait_until(|rig| tier_counter(rig, "drains_by_hearsay") == 1));
    assert_eq!(rig.tier_status(3).unwrap()["lists"], json!({"mine": 1, "newest": 2, "oldest": 1}));
    let since = rig.elapsed() + Duration::from_millis(300);
    assert!(rig.wait_until(|rig| sent_to(rig, 3, since, 0) + sent_to(rig, 3, since, 2) > 20));
    assert_eq!(sent_to(&rig, 3, since, 1), 0);
    // A scheduler with an outdated list requests it again. With a second leaving worker, more than a third of the
    // workers would be excluded, which reports of peers alone must not cause.
    assert!(rig.wait_until(|rig| tier_counter(rig, "lists_asked_anew") > 0));
    rig.publish_worker_list(1, Some(2));
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(tier_counter(&rig, "drains_by_hearsay"), 1);
    // The drain is withdrawn: the worker is used again, according to the scheduler's own list.
    rig.publish_worker_list(0, None);
    rig.publish_worker_list(1, None);
    let since = rig.elapsed();
    assert!(rig.wait_until(|rig| sent_to(rig, 3, since, 1) > 0));
    rig.publish_worker_list(3, Some(0));
    assert!(rig.wait_until(|rig| rig.tier_status(3).is_some_and(|t| t["lists"]["mine"] == 2)));
}

#[test]
fn a_process_serves_while_its_voter_file_is_locked_and_votes_once_it_is_unlocked() {
    let mut rig = start_rig(3, false);
    rig.kill(0);
    let (locked_file, _) = LogFile::open(&rig.store_path(0), "n0 of n0, n1, n2", false).unwrap();
    rig.launch(0, false).unwrap();
    assert!(rig.wait_until_ready(0), "not ready although the other two voters are a majority");
    assert!(rig.tier_status(0).unwrap()["voter"].is_null());
    rig.kill(1);
    assert!(rig.wait_until(|rig| rig.tier_status(2).is_some_and(|t| t["may_act"] == false)));
    drop(locked_file);
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[0, 2], 1)));
    assert!(rig.wait_until(|rig| propose_effect(rig, 2, "at_most_once").is_some_and(|s| s.0 < 300)));
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[0, 2], 2)));
    check_rig_history(&rig);
}

#[test]
fn a_paused_scheduler_does_not_act_on_outdated_settings_when_it_resumes() {
    let mut rig = start_rig(4, true);
    // First a scheduler is paused, then the leader with a proposal in flight.
    rig.pause(3);
    assert!(propose_effect(&rig, 0, "at_most_once").unwrap().0 < 300);
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[0, 1, 2], 2)), "{:?}", rig.tier_status(0));
    rig.resume(3);
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[3], 2)));
    let leader = (0..3).find(|n| rig.tier_status(*n).is_some_and(|t| t["voter"]["leads"] == true)).unwrap();
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    rig.reload(leader, |s| set_effect(s, "deduplicated")).unwrap();
    rig.pause(leader);
    assert!(rig.wait_until(|rig| {
        others.iter().any(|n| rig.tier_status(*n).is_some_and(|t| t["voter"]["leads"] == true))
    }));
    let newest = rig.tier_status(others[0]).unwrap();
    let base = newest["coming"].as_u64().or(newest["version"].as_u64()).unwrap();
    let mut settings = rig.settings(others[0]);
    settings["ceilings"]["max_attempts"] = 1.into();
    let _ = rig.call_control(others[0], "PUT /control/tier/settings", &settings.to_string());
    assert!(rig.wait_until(|rig| {
        rig.tier_status(others[0]).is_some_and(|t| t["version"].as_u64() > Some(base) || base > 2)
    }));
    rig.resume(leader);
    let version = |rig: &TierHarness, n: usize| rig.tier_status(n).and_then(|t| t["version"].as_u64());
    assert!(rig.wait_until(|rig| {
        let newest = version(rig, others[0]);
        newest.is_some_and(|v| rig.all_follow_version(&[0, 1, 2, 3], v))
    }));
    check_rig_history(&rig);
}

#[test]
fn without_a_majority_no_job_is_served_and_agreed_settings_survive_a_crash_of_all_voters() {
    let mut rig = start_rig(4, false);
    assert!(propose_effect(&rig, 2, "at_most_once").unwrap().0 < 300);
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[0, 1, 2, 3], 2)));
    (0..3).for_each(|n| rig.kill(n));
    assert!(rig.wait_until(|rig| rig.tier_status(3).is_some_and(|t| t["may_act"] == false)));
    // A voter that has lost its store must not vote again, so it refuses to start.
    rig.delete_store(0);
    (0..3).for_each(|n| rig.launch(n, false).unwrap());
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[1, 2, 3], 2)), "{:?}", rig.tier_status(1));
    assert!(!rig.is_running(0));
    // A restarted process whose own configuration is older applies the agreed settings.
    rig.kill(3);
    rig.launch(3, false).unwrap();
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[3], 2)));
    assert_eq!(rig.tier_status(3).unwrap()["settings"]["classes"][1]["effect"], "at_most_once");
    assert_eq!(rig.settings(3)["classes"][1]["effect"], "idempotent", "the configuration file was changed");
    assert!(rig.wait_until(|rig| {
        [1, 2].iter().any(|n| rig.tier_status(*n).is_some_and(|t| t["voter"]["leads"] == true))
    }));
    let answer = propose_effect(&rig, 3, "deduplicated").unwrap();
    assert!(answer.0 < 300, "{answer:?}");
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[1, 2, 3], 3)));
    check_rig_history(&rig);
}

/// Returns a counter of a scheduler's tier status.
fn tier_counter(rig: &TierHarness, n: usize, counter: &str) -> u64 {
    rig.tier_status(n).and_then(|tier| tier["counts"][counter].as_u64()).unwrap_or(0)
}

/// Restarts a scheduler under a fault plan.
fn relaunch_under(rig: &mut TierHarness, n: usize, plan: &FaultPlan) {
    rig.kill(n);
    rig.set_program(n, plan.wrap(env!("CARGO_BIN_EXE_loomlb")));
    rig.launch(n, false).unwrap();
}

/// The system calls of a disk fault, and the error with which they fail.
type DiskFault = (&'static [Call], i32);

/// The disk is full.
const DISK_FULL: DiskFault = (&[Call::FileWrite, Call::OpenForWriting], libc::ENOSPC);
/// Writes succeed, but `fsync` fails.
const SYNC_FAILS: DiskFault = (&[Call::Sync], libc::EIO);

fn inject(plan: &FaultPlan, (calls, errno): DiskFault) {
    calls.iter().for_each(|call| _ = plan.fail(*call, errno, UNLIMITED));
}

fn clear(plan: &FaultPlan, (calls, _): DiskFault) {
    calls.iter().for_each(|call| _ = plan.allow(*call));
}

#[test]
fn voters_agree_again_without_a_restart_after_a_temporary_disk_fault() {
    let mut rig = start_rig(4, false);
    let all = [0, 1, 2, 3];
    let plans = [FaultPlan::new().unwrap(), FaultPlan::new().unwrap()];
    for (n, plan) in plans.iter().enumerate() {
        relaunch_under(&mut rig, n, plan);
        assert!(rig.wait_until_ready(n));
    }
    let mut version = 1;
    for fault in [DISK_FULL, SYNC_FAILS] {
        let failures = [0, 1].map(|n| tier_counter(&rig, n, "store_failures"));
        let recoveries = [0, 1].map(|n| tier_counter(&rig, n, "store_recoveries"));
        // Two of three voters cannot write, so there is no majority and nothing is committed.
        plans.iter().for_each(|plan| inject(plan, fault));
        let effect = if version == 1 { "at_most_once" } else { "deduplicated" };
        assert!(rig.wait_until(|rig| {
            propose_effect(rig, 3, effect);
            (0..2).all(|n| tier_counter(rig, n, "store_failures") > failures[n] + 1)
        }));
        assert!(rig.wait_until(|rig| rig.tier_status(3).is_some_and(|tier| tier["may_act"] == false)));
        assert!(!rig.all_follow_version(&[2], version + 1), "a version was committed without a majority");
        plans.iter().for_each(|plan| clear(plan, fault));
        assert!(
            rig.wait_until(|rig| (0..2).all(|n| tier_counter(rig, n, "store_recoveries") > recoveries[n]))
        );
        version += 1;
        assert!(rig.wait_until(|rig| propose_effect(rig, 3, effect).is_some_and(|answer| answer.0 < 300)));
        assert!(rig.wait_until(|rig| rig.all_follow_version(&all, version)), "{:?}", rig.tier_status(3));
    }
    // Committed versions survive when all voters are killed.
    (0..3).for_each(|n| rig.kill(n));
    (0..3).for_each(|n| rig.launch(n, false).unwrap());
    assert!(rig.wait_until(|rig| rig.all_follow_version(&all, version)), "{:?}", rig.tier_status(3));
    assert_eq!(rig.tier_status(3).unwrap()["settings"]["classes"][1]["effect"], "deduplicated");
    check_rig_history(&rig);
}

#[test]
fn a_voter_that_starts_on_a_full_disk_serves_and_votes_once_there_is_space() {
    let mut rig = start_rig(4, false);
    assert!(propose_effect(&rig, 2, "at_most_once").unwrap().0 < 300);
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[0, 1, 2, 3], 2)));
    let plan = FaultPlan::new().unwrap();
    inject(&plan, DISK_FULL);
    relaunch_under(&mut rig, 0, &plan);
    assert!(rig.wait_until_ready(0), "not ready although the other two voters are a majority");
    assert!(rig.tier_status(0).unwrap()["voter"].is_null());
    assert!(rig.wait_until(|rig| tier_counter(rig, 0, "store_failures") > 1));
    clear(&plan, DISK_FULL);
    assert!(rig.wait_until(|rig| rig.tier_status(0).is_some_and(|tier| !tier["voter"].is_null())));
    // Without the killed voter, its vote is needed for a majority.
    rig.kill(1);
    assert!(
        rig.wait_until(|rig| propose_effect(rig, 3, "deduplicated").is_some_and(|answer| answer.0 < 300))
    );
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[0, 2, 3], 3)), "{:?}", rig.tier_status(0));
    check_rig_history(&rig);
}
