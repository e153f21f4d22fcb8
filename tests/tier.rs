//! Stories of several processes of the program that agree as a tier, with faults between them. Each ends in the checker
//! that reads what all of them wrote of what they did.

use loomlb_consensus::history_check::{CheckReport, check_history};
use loomlb_consensus::log_store::LogFile;
use loomlb_emulator::tier_harness::{LinkState, Options, TierHarness};
use loomlb_fault_plan::{Call, FaultPlan, UNLIMITED};
use serde_json::{Value, json};
use std::time::Duration;

/// The bound that these tiers are configured with.
const BOUND: Duration = Duration::from_secs(3);

fn rig(schedulers: usize, load: bool) -> TierHarness {
    rig_with(schedulers, load, "")
}

fn rig_with(schedulers: usize, load: bool, words: &str) -> TierHarness {
    let options = Options {
        program: vec![env!("CARGO_BIN_EXE_loomlb").into()],
        schedulers,
        voters: 3,
        tier_settings: format!("bound_s = {}\n{words}", BOUND.as_secs()),
        job_interval: load.then_some(Duration::from_millis(40)),
        show_logs: std::env::var_os("RUST_LOG").is_some(),
    };
    let rig = TierHarness::start(options).unwrap();
    assert!((0..schedulers).all(|n| rig.wait_until_ready(n)), "not all serve");
    rig
}

/// A change that contradicts: how often a job may run.
fn effect(settings: &mut Value, effect: &str) {
    settings["classes"][1]["effect"] = effect.into();
}

/// Proposes at one scheduler's second address.
fn propose(rig: &TierHarness, n: usize, word: &str) -> Option<(u16, Value)> {
    let mut settings = rig.settings(n);
    effect(&mut settings, word);
    rig.call_control(n, "PUT /control/tier/settings", &settings.to_string())
}

/// Every trial ends here. Only a process that is stopped between its look at the lease and its line could seem late.
fn verdict(rig: &TierHarness) -> CheckReport {
    let lines = rig.history();
    let verdict = check_history(&lines, Duration::from_millis(250).as_nanos() as u64, |_| true);
    let stories: Vec<String> = verdict.violations.iter().map(ToString::to_string).collect();
    assert!(stories.is_empty(), "{}", stories.join("\n"));
    verdict
}

#[test]
fn a_file_at_one_scheduler_is_in_force_at_all_and_of_two_at_once_one_wins() {
    let mut rig = rig(5, true);
    let (all, up) = ([0, 1, 2, 3, 4], rig.elapsed());
    assert!(rig.all_follow_version(&all, 1));
    rig.reload(3, |s| effect(s, "at_most_once")).unwrap();
    assert!(rig.wait_until(|rig| rig.all_follow_version(&all, 2)), "{:?}", rig.tier_status(0));
    let since = rig.elapsed();
    // A change that harms nobody is in force at once, the same again changes nothing, and what has no order is refused.
    let mut harmless = rig.settings(3);
    harmless["classes"]
        .as_array_mut()
        .unwrap()
        .push(json!({"name": "new", "aim": 1, "give_up": 9, "worth": 1.0, "effect": "idempotent"}));
    let said = rig.call_control(1, "PUT /control/tier/settings", &harmless.to_string()).unwrap();
    assert_eq!((said.0, &said.1["version"], &said.1["in_force"]), (200, &json!(3), &json!(true)));
    assert!(rig.wait_until(|rig| rig.all_follow_version(&all, 3)));
    assert_eq!(
        rig.call_control(4, "PUT /control/tier/settings", &harmless.to_string()).unwrap().1["why"],
        "it says the same"
    );
    let mut zones = harmless.clone();
    zones["zones"] = json!(["z", "y"]);
    let said = rig.call_control(4, "PUT /control/tier/settings", &zones.to_string()).unwrap();
    assert_eq!((said.0, &said.1["keys"]), (422, &json!(["zones"])));
    // A bad file is turned down whole, with its key, before anyone hears of it; so is one for an older version.
    let mut bad = harmless.clone();
    bad["classes"][0]["give_up"] = 0.into();
    let said = rig.call_control(0, "PUT /control/tier/settings", &bad.to_string()).unwrap();
    assert!(
        said.0 == 400 && said.1["why"].as_str().unwrap().starts_with("settings.classes[0].give_up"),
        "{said:?}"
    );
    let said = rig.call_control(0, "PUT /control/tier/settings/1", &harmless.to_string()).unwrap();
    assert_eq!((said.0, &said.1["version"]), (409, &json!(3)));
    // Two files at two schedulers in the same moment.
    rig.reload(0, |s| effect(s, "deduplicated")).unwrap();
    rig.reload(4, |s| s["ceilings"]["max_attempts"] = 1.into()).unwrap();
    assert!(rig.wait_until(|rig| rig.all_follow_version(&all, 4)));
    // A worker out by hand at one scheduler is out at all, and back likewise.
    assert!(rig.call_control(2, "PUT /control/workers/s-00000001/offline", "").unwrap().0 < 300);
    let out = |rig: &TierHarness, n: usize| {
        rig.tier_status(n).is_some_and(|t| t["workers_out"] == json!(["s-00000001"]))
    };
    assert!(rig.wait_until(|rig| all.iter().all(|n| out(rig, *n))));
    assert!(rig.call_control(0, "PUT /control/workers/s-00000001/online", "").unwrap().0 < 300);
    assert!(rig.wait_until(|rig| all.iter().all(|n| !out(rig, *n))));
    // Jobs that came after the class had changed ran once, whichever scheduler took them; all were answered.
    let jobs = rig.jobs();
    let (before, after): (Vec<_>, Vec<_>) = jobs.iter().partition(|j| j.sent_at < since);
    assert!(before.iter().any(|j| j.worker_attempts == 2), "nothing was repeated before");
    assert!(
        after.iter().filter(|j| j.worker_attempts > 0).count() > 20
            && after.iter().all(|j| j.worker_attempts <= 1)
    );
    let sent = rig.elapsed();
    assert!(rig.wait_until(|rig| rig.jobs().iter().filter(|j| j.sent_at < sent).all(|j| j.finished)));
    let lost: Vec<_> =
        rig.jobs().into_iter().filter(|j| (up..sent).contains(&j.sent_at) && j.status.is_none()).collect();
    assert!(lost.is_empty(), "{lost:?}");
    assert!(verdict(&rig).acts_checked > 100);
}

/// A version changes settings and no worker: nobody asks for the whole list for it, which a large fleet's is too long for.
#[test]
fn a_version_that_comes_into_force_has_nobody_ask_for_the_whole_list() {
    let mut rig = rig(4, false);
    let all = [0, 1, 2, 3];
    assert!(rig.all_follow_version(&all, 1));
    for (version, word) in [(2, "at_most_once"), (3, "deduplicated")] {
        assert!(rig.wait_until(|rig| propose(rig, 1, word).is_some_and(|s| s.0 < 300)));
        assert!(rig.wait_until(|rig| rig.all_follow_version(&all, version)));
    }
    // A list that is newer is heard all the same, on the watch that went on.
    all.iter().for_each(|n| rig.publish_worker_list(*n, Some(1)));
    assert!(
        rig.wait_until(|rig| all
            .iter()
            .all(|n| rig.tier_status(*n).is_some_and(|t| t["lists"]["mine"] == 2)))
    );
    assert_eq!(rig.full_list_requests(), 0);
    // A file at SIGHUP may name another discovery: there the whole list is asked for.
    rig.reload(0, |_| ()).unwrap();
    assert!(rig.wait_until(|rig| rig.full_list_requests() > 0));
    verdict(&rig);
}

/// Staff on the command line: what a version is, who made it, one proposed, and one that comes too late.
#[test]
fn staff_ask_propose_and_wait_on_the_command_line() {
    let rig = rig(3, false);
    let loomlb = |args: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_loomlb"));
        let out =
            command.args(["tier", "--at", &rig.control_address(1).to_string()]).args(args).output().unwrap();
        let said: Value = serde_json::from_slice(&out.stdout).unwrap_or(Value::Null);
        (out.status.code(), said, String::from_utf8(out.stderr).unwrap())
    };
    let file = tempfile::NamedTempFile::new().unwrap();
    let path = file.path().to_str().unwrap();
    let mut settings = rig.settings(1);
    effect(&mut settings, "at_most_once");
    std::fs::write(path, json!({ "settings": settings }).to_string()).unwrap();
    // A machine under load may need more than one call's time.
    assert!(rig.wait_until(|_| {
        loomlb(&["propose", path, "--after", "1"]);
        loomlb(&["wait", "2", "--seconds", "1"]).1 == json!(2)
    }));
    let (code, said, _) = loomlb(&["status"]);
    assert_eq!(
        (code, &said["version"], &said["may_act"], said.get("settings")),
        (Some(0), &json!(2), &json!(true), None)
    );
    let (_, said, _) = loomlb(&["history"]);
    assert_eq!(said[1]["keys"], json!(["classes.lodge.effect"]));
    effect(&mut settings, "deduplicated");
    std::fs::write(path, json!({ "settings": settings }).to_string()).unwrap();
    let (code, said, _) = loomlb(&["propose", path, "--after", "1"]);
    assert_eq!((code, &said["version"]), (Some(1), &json!(2)));
    assert_eq!(loomlb(&["wait", "9", "--seconds", "0.1"]).0, Some(1));
    std::fs::write(path, "{}").unwrap();
    let (code, _, fault) = loomlb(&["propose", path]);
    assert!(code == Some(2) && fault.ends_with("settings: missing\n"), "{fault}");
}

#[test]
fn whoever_is_cut_off_steps_out_and_a_version_waits_for_that_and_no_longer() {
    let rig = rig(5, true);
    let rest = [0, 1, 2, 3];
    // Only the way to the voters is cut: answers could still come. Its clients and worker are within reach.
    (0..3).for_each(|voter| rig.set_link(4, voter, LinkState::Cut));
    let begun = rig.elapsed();
    assert!(propose(&rig, 1, "at_most_once").unwrap().0 < 300);
    assert!(rig.wait_until(|rig| rig.all_follow_version(&rest, 2)), "{:?}", rig.tier_status(0));
    let took = rig.elapsed() - begun;
    assert!(took < BOUND + Duration::from_secs(1), "{took:?}");
    let lone = rig.tier_status(4).unwrap();
    assert_eq!((&lone["may_act"], &lone["acting"]), (&json!(false), &json!({"On": 1})));
    let since = rig.elapsed();
    std::thread::sleep(Duration::from_millis(400));
    let lost: Vec<_> = rig
        .jobs()
        .into_iter()
        .filter(|j| j.scheduler == 4 && j.sent_at > since && j.status.is_some())
        .collect();
    assert!(
        lost.len() > 3 && lost.iter().all(|j| j.status == Some(503) && j.worker_attempts == 0),
        "{lost:?}"
    );
    (0..3).for_each(|voter| rig.set_link(4, voter, LinkState::Open));
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[4], 2)));
    // Slow replies are borne, and broken connections are opened again.
    rig.set_all_links(4, LinkState::Delayed(Duration::from_millis(150)));
    (0..3).for_each(|voter| rig.break_connections(4, voter));
    assert!(propose(&rig, 4, "deduplicated").is_some());
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[0, 1, 2, 3, 4], 3)));
    verdict(&rig);
}

#[test]
fn where_staff_prefer_it_a_scheduler_without_a_lease_goes_on_by_the_strictest_rules() {
    let rig = rig_with(4, true, "on_lapse = \"strict\"");
    // Here a scheduler serves before it has its first lease.
    assert!(rig.wait_until(|rig| rig.tier_status(3).is_some_and(|t| t["lease_left_s"].as_f64() > Some(0.0))));
    rig.set_all_links(3, LinkState::Cut);
    assert!(rig.wait_until(|rig| rig.tier_status(3).is_some_and(|t| t["lease_left_s"] == 0.0)));
    std::thread::sleep(Duration::from_millis(300));
    let since = rig.elapsed();
    std::thread::sleep(Duration::from_secs(1));
    let jobs: Vec<_> = rig.jobs().into_iter().filter(|j| j.scheduler == 3 && j.sent_at > since).collect();
    assert!(jobs.iter().filter(|j| j.status == Some(200)).count() > 5, "{jobs:?}");
    // A job that may have become unsafe is not repeated.
    let twice: Vec<_> = jobs.iter().filter(|j| j.worker_attempts > 1).collect();
    assert!(twice.is_empty(), "{} of {} since {since:?}: {twice:?}", twice.len(), jobs.len());
    rig.set_all_links(3, LinkState::Open);
    assert!(rig.wait_until(|rig| rig.tier_status(3).is_some_and(|t| t["lease_left_s"].as_f64() > Some(0.0))));
    let since = rig.elapsed();
    assert!(rig.wait_until(|rig| {
        rig.jobs().iter().any(|j| j.scheduler == 3 && j.sent_at > since && j.worker_attempts == 2)
    }));
    verdict(&rig);
}

#[test]
fn a_drain_that_one_has_heard_of_is_kept_by_all_and_who_is_behind_asks() {
    let rig = rig(4, true);
    let sent_to = |rig: &TierHarness, n: usize, since: Duration, worker| {
        rig.jobs()
            .iter()
            .filter(|j| j.scheduler == n && j.sent_at > since && j.worker_attempts > 0 && j.worker == worker)
            .count()
    };
    // Only the first scheduler's list tells that a worker is leaving.
    rig.publish_worker_list(0, Some(1));
    let count = |rig: &TierHarness, what: &str| {
        rig.tier_status(3).and_then(|t| t["counts"][what].as_u64()).unwrap_or(0)
    };
    assert!(rig.wait_until(|rig| count(rig, "drains_by_hearsay") == 1));
    assert_eq!(rig.tier_status(3).unwrap()["lists"], json!({"mine": 1, "newest": 2, "oldest": 1}));
    let since = rig.elapsed() + Duration::from_millis(300);
    assert!(rig.wait_until(|rig| sent_to(rig, 3, since, 0) + sent_to(rig, 3, since, 2) > 20));
    assert_eq!(sent_to(&rig, 3, since, 1), 0);
    // Who is behind asks again. A second worker is more than a third of them: words alone do not take so many.
    assert!(rig.wait_until(|rig| count(rig, "lists_asked_anew") > 0));
    rig.publish_worker_list(1, Some(2));
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(count(&rig, "drains_by_hearsay"), 1);
    // The word was false, or is over: the worker is used again, by what the own list says.
    rig.publish_worker_list(0, None);
    rig.publish_worker_list(1, None);
    let since = rig.elapsed();
    assert!(rig.wait_until(|rig| sent_to(rig, 3, since, 1) > 0));
    rig.publish_worker_list(3, Some(0));
    assert!(rig.wait_until(|rig| rig.tier_status(3).is_some_and(|t| t["lists"]["mine"] == 2)));
}

#[test]
fn a_process_whose_voter_file_another_has_serves_and_votes_once_it_is_free() {
    let mut rig = rig(3, false);
    rig.kill(0);
    let (earlier, _) = LogFile::open(&rig.store_path(0), "n0 of n0, n1, n2", false).unwrap();
    rig.launch(0, false).unwrap();
    assert!(rig.wait_until_ready(0), "the other two are a majority");
    assert!(rig.tier_status(0).unwrap()["voter"].is_null());
    rig.kill(1);
    assert!(rig.wait_until(|rig| rig.tier_status(2).is_some_and(|t| t["may_act"] == false)));
    drop(earlier);
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[0, 2], 1)));
    assert!(rig.wait_until(|rig| propose(rig, 2, "at_most_once").is_some_and(|s| s.0 < 300)));
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[0, 2], 2)));
    verdict(&rig);
}

#[test]
fn a_stopped_scheduler_does_not_act_on_what_it_knew_when_it_goes_on() {
    let mut rig = rig(4, true);
    // A scheduler, then the leader with a proposal in flight.
    rig.pause(3);
    assert!(propose(&rig, 0, "at_most_once").unwrap().0 < 300);
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[0, 1, 2], 2)), "{:?}", rig.tier_status(0));
    rig.resume(3);
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[3], 2)));
    let leader = (0..3).find(|n| rig.tier_status(*n).is_some_and(|t| t["voter"]["leads"] == true)).unwrap();
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    rig.reload(leader, |s| effect(s, "deduplicated")).unwrap();
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
    verdict(&rig);
}

#[test]
fn no_majority_no_service_and_what_was_agreed_survives_the_death_of_all_voters() {
    let mut rig = rig(4, false);
    assert!(propose(&rig, 2, "at_most_once").unwrap().0 < 300);
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[0, 1, 2, 3], 2)));
    (0..3).for_each(|n| rig.kill(n));
    assert!(rig.wait_until(|rig| rig.tier_status(3).is_some_and(|t| t["may_act"] == false)));
    // One has lost what it wrote: it must not vote as if it never had, and says so by not starting.
    rig.delete_store(0);
    (0..3).for_each(|n| rig.launch(n, false).unwrap());
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[1, 2, 3], 2)), "{:?}", rig.tier_status(1));
    assert!(!rig.is_running(0));
    // A process with an older file beside a running one of the same name takes what was agreed.
    rig.kill(3);
    rig.launch(3, false).unwrap();
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[3], 2)));
    assert_eq!(rig.tier_status(3).unwrap()["settings"]["classes"][1]["effect"], "at_most_once");
    assert_eq!(rig.settings(3)["classes"][1]["effect"], "idempotent", "its file is the older one");
    assert!(rig.wait_until(|rig| {
        [1, 2].iter().any(|n| rig.tier_status(*n).is_some_and(|t| t["voter"]["leads"] == true))
    }));
    let said = propose(&rig, 3, "deduplicated").unwrap();
    assert!(said.0 < 300, "{said:?}");
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[1, 2, 3], 3)));
    verdict(&rig);
}

/// A scheduler's count in what it says of the tier.
fn count(rig: &TierHarness, n: usize, what: &str) -> u64 {
    rig.tier_status(n).and_then(|tier| tier["counts"][what].as_u64()).unwrap_or(0)
}

/// Starts a scheduler anew, with its system calls under the plan.
fn relaunch_under(rig: &mut TierHarness, n: usize, plan: &FaultPlan) {
    rig.kill(n);
    rig.set_program(n, plan.wrap(env!("CARGO_BIN_EXE_loomlb")));
    rig.launch(n, false).unwrap();
}

/// The calls of one operation on the disk that fail together, and how.
type DiskFault = (&'static [Call], i32);

/// No room for a new byte anywhere.
const DISK_FULL: DiskFault = (&[Call::FileWrite, Call::OpenForWriting], libc::ENOSPC);
/// Writes pass, and do not reach the disk.
const SYNC_FAILS: DiskFault = (&[Call::Sync], libc::EIO);

fn fail(plan: &FaultPlan, (calls, errno): DiskFault) {
    calls.iter().for_each(|call| _ = plan.fail(*call, errno, UNLIMITED));
}

fn pass(plan: &FaultPlan, (calls, _): DiskFault) {
    calls.iter().for_each(|call| _ = plan.allow(*call));
}

#[test]
fn voters_whose_disks_fail_for_a_while_agree_again_without_a_restart() {
    let mut rig = rig(4, false);
    let all = [0, 1, 2, 3];
    let plans = [FaultPlan::new().unwrap(), FaultPlan::new().unwrap()];
    for (n, plan) in plans.iter().enumerate() {
        relaunch_under(&mut rig, n, plan);
        assert!(rig.wait_until_ready(n));
    }
    let mut version = 1;
    for fault in [DISK_FULL, SYNC_FAILS] {
        let failures = [0, 1].map(|n| count(&rig, n, "store_failures"));
        let recoveries = [0, 1].map(|n| count(&rig, n, "store_recoveries"));
        // Two of three voters: no majority can write, so nothing more is agreed.
        plans.iter().for_each(|plan| fail(plan, fault));
        let word = if version == 1 { "at_most_once" } else { "deduplicated" };
        assert!(rig.wait_until(|rig| {
            propose(rig, 3, word);
            (0..2).all(|n| count(rig, n, "store_failures") > failures[n] + 1)
        }));
        assert!(rig.wait_until(|rig| rig.tier_status(3).is_some_and(|tier| tier["may_act"] == false)));
        assert!(!rig.all_follow_version(&[2], version + 1), "agreed without a majority");
        plans.iter().for_each(|plan| pass(plan, fault));
        assert!(rig.wait_until(|rig| (0..2).all(|n| count(rig, n, "store_recoveries") > recoveries[n])));
        version += 1;
        assert!(rig.wait_until(|rig| propose(rig, 3, word).is_some_and(|answer| answer.0 < 300)));
        assert!(rig.wait_until(|rig| rig.all_follow_version(&all, version)), "{:?}", rig.tier_status(3));
    }
    // Nothing of it is lost when all voters are killed.
    (0..3).for_each(|n| rig.kill(n));
    (0..3).for_each(|n| rig.launch(n, false).unwrap());
    assert!(rig.wait_until(|rig| rig.all_follow_version(&all, version)), "{:?}", rig.tier_status(3));
    assert_eq!(rig.tier_status(3).unwrap()["settings"]["classes"][1]["effect"], "deduplicated");
    verdict(&rig);
}

#[test]
fn a_voter_that_starts_on_a_full_disk_serves_and_votes_once_there_is_room() {
    let mut rig = rig(4, false);
    assert!(propose(&rig, 2, "at_most_once").unwrap().0 < 300);
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[0, 1, 2, 3], 2)));
    let plan = FaultPlan::new().unwrap();
    fail(&plan, DISK_FULL);
    relaunch_under(&mut rig, 0, &plan);
    assert!(rig.wait_until_ready(0), "the other two are a majority");
    assert!(rig.tier_status(0).unwrap()["voter"].is_null());
    assert!(rig.wait_until(|rig| count(rig, 0, "store_failures") > 1));
    pass(&plan, DISK_FULL);
    assert!(rig.wait_until(|rig| rig.tier_status(0).is_some_and(|tier| !tier["voter"].is_null())));
    // Its vote is needed.
    rig.kill(1);
    assert!(rig.wait_until(|rig| propose(rig, 3, "deduplicated").is_some_and(|answer| answer.0 < 300)));
    assert!(rig.wait_until(|rig| rig.all_follow_version(&[0, 2, 3], 3)), "{:?}", rig.tier_status(0));
    verdict(&rig);
}
