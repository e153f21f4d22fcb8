//! Trials of the tier with real processes: schedules of faults, drawn from a seed or read from a file, played in the
//! tier harness and judged by the checker. A schedule that fails is made as short as it still fails.

use loomlb_consensus::history_check::check_history;
use loomlb_emulator::tier_harness::{Job, LinkState, Options, TierHarness};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::ffi::OsString;
use std::time::{Duration, Instant};

/// Plays of one schedule while it is made shorter.
const PLAYS: usize = 40;
/// The clients of the tier harness wait so long for an answer.
const WAITS: Duration = Duration::from_secs(4);
/// What may pass between a process's look at its lease and its line, if it is stopped in between, in milliseconds.
const MOMENT_MS: u64 = 250;

/// What happens to a tier of processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Its name.
    pub name: String,
    /// Schedulers, 3 to 16.
    pub schedulers: usize,
    /// Those of them that vote.
    pub voters: usize,
    /// The tier's bound, in seconds.
    pub bound_s: f64,
    /// What happens, in order.
    #[serde(rename = "act", default)]
    pub acts: Vec<Act>,
}

/// One thing that happens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Act {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// To which scheduler.
    pub node: usize,
    /// For how long, where it has an end.
    #[serde(default)]
    pub for_ms: u64,
    /// What.
    pub what: What,
}

/// Kinds of things that happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// Staff change how often a class may run, by a file and SIGHUP.
    Reload,
    /// The same by a call.
    Propose,
    /// A worker is taken out, and put back at the end.
    Offline,
    /// It is cut off from all others,
    Cut,
    /// or only what it says is lost,
    CutOut,
    /// or only what it would hear.
    CutIn,
    /// All that goes between it and others is late by 200 ms.
    Slow,
    /// Its connections to voters break.
    Break,
    /// It is stopped and goes on.
    Stop,
    /// It is killed and started again.
    Kill,
    /// All voters are killed and started again.
    KillVoters,
    /// A second process of the same name is started.
    Twice,
}

/// What a schedule came to.
#[derive(Clone, Debug, Serialize)]
pub struct Told {
    /// What broke.
    pub breaches: Vec<String>,
    /// Acts that the checker looked at.
    pub acts: usize,
    /// The longest time for which two acted on contradicting versions, in milliseconds.
    pub disagreed_ms: f64,
    /// Versions in the end.
    pub versions: u64,
    /// Jobs of the clients, those answered 200, and those never answered.
    pub jobs: [usize; 3],
    /// From the end of the faults until all acted on the same version, in milliseconds.
    pub settled_ms: f64,
}

/// Draws a schedule.
pub fn draw(seed: u64, schedulers: usize, seconds: u64) -> Schedule {
    let mut rng = fastrand::Rng::with_seed(seed);
    let whats = [
        What::Cut,
        What::CutOut,
        What::CutIn,
        What::Slow,
        What::Break,
        What::Stop,
        What::Stop,
        What::Kill,
        What::KillVoters,
        What::Twice,
    ];
    let mut acts = Vec::new();
    let mut at_ms = 500;
    while at_ms < seconds * 1000 {
        let change = [What::Reload, What::Propose, What::Propose, What::Offline][rng.usize(0..4)];
        let what = if rng.bool() { change } else { whats[rng.usize(0..whats.len())] };
        acts.push(Act { at_ms, node: rng.usize(0..schedulers), for_ms: 200 + rng.u64(0..4500), what });
        at_ms += rng.u64(50..1500);
    }
    Schedule { name: format!("seed-{seed}"), schedulers, voters: 3, bound_s: 2.5, acts }
}

fn effect(settings: &mut Value, at_ms: u64) {
    let words = ["idempotent", "deduplicated", "at_most_once"];
    settings["classes"][1]["effect"] = words[at_ms as usize % 3].into();
    settings["classes"][0]["give_up"] = (2_000_000_000 + at_ms % 7 * 100_000_000).into();
}

/// Plays a schedule with processes of this program.
pub fn play(schedule: &Schedule, program: &[OsString]) -> std::io::Result<Told> {
    let options = Options {
        program: program.to_vec(),
        schedulers: schedule.schedulers,
        voters: schedule.voters,
        tier_settings: format!("bound_s = {}", schedule.bound_s),
        job_interval: Some(Duration::from_millis(40)),
        show_logs: false,
    };
    let mut rig = TierHarness::start(options)?;
    let mut breaches = Vec::new();
    let all: Vec<usize> = (0..schedule.schedulers).collect();
    if !all.iter().all(|n| rig.wait_until_ready(*n)) {
        breaches.push("all serve at the start: not in time".to_string());
    }
    // Before that nobody listened.
    let up = rig.elapsed();
    // Whose processes did not run, from when to when.
    let mut away: Vec<Away> = Vec::new();
    // What ends: when, and what it was.
    let mut ends: Vec<(u64, Act)> = Vec::new();
    let mut acts = schedule.acts.clone();
    acts.sort_by_key(|a| a.at_ms);
    let mut acts = acts.into_iter().peekable();
    let begun = Instant::now();
    while acts.peek().is_some() || !ends.is_empty() {
        let now = begun.elapsed().as_millis() as u64;
        ends.sort_by_key(|e| e.0);
        if ends.first().is_some_and(|e| e.0 <= now) {
            let (_, act) = ends.remove(0);
            end(&mut rig, &act, &ends)?;
            // A process that was started anew serves in a moment.
            let until = rig.elapsed() + Duration::from_secs(1);
            away.iter_mut().filter(|a| a.by == act).for_each(|a| a.to = until);
        } else if let Some(act) = acts.next_if(|a| a.at_ms <= now) {
            begin(&mut rig, &act, schedule.voters)?;
            let from = rig.elapsed();
            let of = |node| Away { node, from, to: Duration::MAX, by: act.clone() };
            away.extend(gone(&act, schedule.voters).into_iter().map(of));
            ends.push((now + act.for_ms, act));
        } else {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    let healed = Instant::now();
    let version = |rig: &TierHarness| rig.tier_status(0).and_then(|t| t["version"].as_u64()).unwrap_or(0);
    let agree = rig.wait_until(|rig| {
        let tiers: Option<Vec<Value>> = all.iter().map(|n| rig.tier_status(*n)).collect();
        tiers.is_some_and(|t| {
            t.iter().all(|x| x["may_act"] == true && x["acting"] == t[0]["acting"] && x["coming"].is_null())
        })
    });
    if !agree {
        let said: Vec<String> = all
            .iter()
            .map(|n| rig.tier_status(*n).map_or("silent".into(), |t| format!("{}", t["acting"])))
            .collect();
        breaches.push(format!("all agree in the end: {}", said.join(", ")));
    }
    let settled_ms = healed.elapsed().as_secs_f64() * 1e3;
    let sent = rig.elapsed();
    rig.wait_until(|rig| rig.jobs().iter().filter(|j| j.sent_at < sent).all(|j| j.finished));
    let jobs: Vec<_> = rig.jobs().into_iter().filter(|j| (up..sent).contains(&j.sent_at)).collect();
    // A client whose scheduler stands still or dies gets nothing: that is the fault's doing.
    let excused = |j: &Job| {
        away.iter().any(|a| a.node == j.scheduler && j.sent_at <= a.to && j.sent_at + WAITS >= a.from)
    };
    let unanswered: Vec<&Job> = jobs.iter().filter(|j| j.status.is_none()).collect();
    if let Some(job) = unanswered.iter().find(|j| !excused(j)) {
        breaches.push(format!("all that is taken is answered: {job:?}"));
    }
    let lost = unanswered.len();
    if let Some(job) = jobs.iter().find(|j| j.worker_attempts > 2) {
        breaches.push(format!("no more attempts than there may be: {job:?}"));
    }
    let verdict = check_history(&rig.history(), MOMENT_MS * 1_000_000, |_| true);
    breaches.extend(verdict.violations.iter().map(ToString::to_string));
    Ok(Told {
        breaches,
        acts: verdict.acts_checked,
        disagreed_ms: verdict.longest_conflict as f64 / 1e6,
        versions: version(&rig),
        jobs: [jobs.len(), jobs.iter().filter(|j| j.status == Some(200)).count(), lost],
        settled_ms,
    })
}

/// A time in which a scheduler's processes did not run.
struct Away {
    node: usize,
    from: Duration,
    to: Duration,
    by: Act,
}

/// Whose processes do not run while this lasts.
fn gone(act: &Act, voters: usize) -> Vec<usize> {
    match act.what {
        What::Stop | What::Kill => vec![act.node],
        What::KillVoters => (0..voters).collect(),
        _ => Vec::new(),
    }
}

fn begin(rig: &mut TierHarness, act: &Act, voters: usize) -> std::io::Result<()> {
    let n = act.node;
    match act.what {
        What::Reload => rig.reload(n, |s| effect(s, act.at_ms))?,
        What::Propose => {
            let mut settings = rig.settings(n);
            effect(&mut settings, act.at_ms);
            rig.call_control(n, "PUT /control/tier/settings", &settings.to_string());
        }
        What::Offline => _ = rig.call_control(n, "PUT /control/workers/s-00000002/offline", ""),
        What::Cut => rig.set_all_links(n, LinkState::Cut),
        What::CutOut => (0..voters).filter(|o| *o != n).for_each(|o| rig.set_link(n, o, LinkState::Cut)),
        What::CutIn => (0..voters).filter(|o| *o != n).for_each(|o| rig.set_link(o, n, LinkState::Cut)),
        What::Slow => rig.set_all_links(n, LinkState::Delayed(Duration::from_millis(200))),
        What::Break => (0..voters).filter(|o| *o != n).for_each(|o| rig.break_connections(n, o)),
        What::Stop => rig.pause(n),
        What::Kill => rig.kill(n),
        What::KillVoters => (0..voters).for_each(|n| rig.kill(n)),
        What::Twice => rig.launch(n, false)?,
    }
    Ok(())
}

fn end(rig: &mut TierHarness, act: &Act, others: &[(u64, Act)]) -> std::io::Result<()> {
    let n = act.node;
    let still = |what: &[What]| others.iter().any(|(_, o)| o.node == n && what.contains(&o.what));
    match act.what {
        What::Offline => _ = rig.call_control(n, "PUT /control/workers/s-00000002/online", ""),
        What::Cut | What::CutOut | What::CutIn | What::Slow => {
            let links = [What::Cut, What::CutOut, What::CutIn, What::Slow];
            let way = if still(&links) { None } else { Some(LinkState::Open) };
            way.into_iter().for_each(|way| rig.set_all_links(n, way));
        }
        What::Stop if !still(&[What::Stop]) => rig.resume(n),
        What::Kill if !rig.is_running(n) => rig.launch(n, false)?,
        What::KillVoters => {
            for n in 0..3 {
                if !rig.is_running(n) {
                    rig.launch(n, false)?;
                }
            }
        }
        _ => {}
    }
    Ok(())
}

/// Makes a schedule that fails as short as it still fails, within a bounded number of plays.
pub fn shorten(schedule: &Schedule, program: &[OsString]) -> std::io::Result<Schedule> {
    let (mut best, mut plays, mut at) = (schedule.clone(), 0, 0);
    while at < best.acts.len() && plays < PLAYS {
        let mut less = best.clone();
        less.acts.remove(at);
        plays += 1;
        if play(&less, program)?.breaches.is_empty() {
            at += 1;
        } else {
            best = less;
        }
    }
    best.name = format!("{}-short", schedule.name);
    Ok(best)
}
