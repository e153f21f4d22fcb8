//! The tier's links and what a scheduler does with what it hears there.
//!
//! What goes over the links is counted on the tier of [`crate::trial`] in virtual time, calm, renewals four a second, each
//! word with the bytes that it is sealed to ([`loomlb_consensus::link_protocol::Channel::seal`]); headers of TCP and IP are not in it.
//! Three voters and six schedulers, voters included, unless the series says otherwise; all figures are of a scheduler that
//! does not vote, or of a mean voter. Two proposals in three change a class's effect, one in four a worker that is out,
//! so most versions contradict the one before and come into force in two steps.
//!
//! - `scheduler.tier.*_idle`, `voter.raft_sent_idle`: nothing is proposed once there is a document; by voters.
//! - `*_by_document`: a proposal every 2.56 s (0.39 a second), after 64 versions that fill what the state remembers.
//!   `version_heard`, `raft_sent`: what is more than idle, for each version that came into force. `news`: answers that carry
//!   the state, for each version. `proposal_sent`: bytes of all proposals, for each that was made or wanted.
//! - `scheduler.tier.version_heard_by_voters`: the same with a document of the operators' 69 tenants.
//! - `*_by_changes`: by proposals wanted a second, with a document of the operators' 69 tenants.
//! - `voter.*_by_schedulers`: with the same document and 0.39 proposals a second, while the state remembers few versions yet.
//! - `scheduler.tier.first_state_by_document`: what three voters answer to a scheduler that has nothing, from the sealed
//!   answers with a full history.
//! - `scheduler.tier.time_idle`: a question sealed for one voter, and its answer opened and taken in.
//!   `scheduler.tier.time_by_document`: an answer with the state opened and taken in, up to the settings for this scheduler.
//!   Reading them and telling the module is not in it. `scheduler.tier.memory_by_document`: what the holder of the lease
//!   keeps.

use super::meter::{self, Plan, live, point};
use crate::trial::{self, Load, TENANT, Traffic, Trial, Without};
use loomlb_capacity::fit::median;
use loomlb_capacity::{Series, Source};
use loomlb_consensus::lease_holder::LeaseHolder;
use loomlb_consensus::link_protocol::{Channel, LinkMessage, derive_channels};
use loomlb_consensus::state::{Command, ReplicatedState};
use loomlb_consensus::timing::TimingConfig;
use loomlb_consensus::worker_lists::{ListReport, ListSummary};
use rayon::prelude::*;
use serde_json::json;
use std::hint::black_box;

const S: u64 = 1_000_000_000;
/// Time between two proposals of the operators, in nanoseconds: 0.39 a second.
const EVERY: u64 = 2_560_000_000;
/// Tenants of the operators.
pub const TENANTS: usize = 69;
/// Schedulers where the series are not by schedulers.
const SCHEDULERS: usize = 6;

/// Documents: about 300 bytes to 300 KB, by their tenants. The size of each is counted.
pub const DOCUMENTS: [usize; 7] = [4, 17, 53, 180, 544, 1_817, 5_453];

/// Bytes of a document of so many tenants, as JSON.
pub fn bytes(tenants: usize) -> f64 {
    let none = serde_json::to_vec(&trial::document(1, 0)).map_or(0, |json| json.len());
    // The key, the brackets, and a comma between two entries.
    let list = if tenants > 0 { r#","tenants":[]"#.len() + tenants * TENANT - 1 } else { 0 };
    (none + list) as f64
}

/// The state after so many versions, each of which changes a class's effect.
pub fn state(tenants: usize, versions: u64) -> ReplicatedState {
    let mut state = ReplicatedState::default();
    for version in 0..versions {
        let (token, by) = (u64::MAX - version, format!("s-{:08x}", version % 50));
        let body = trial::document(version % 60, tenants);
        state.apply(2 * version + 1, Command::Propose { token, proposer: by, base_version: version, body });
        state.apply(2 * version + 2, Command::Activate(version + 1));
    }
    state
}

/// Both ways of a link.
pub fn link() -> (Channel, Channel) {
    derive_channels("a key of sixteen bytes", &[1; 16], &[2; 16])
}

/// All series of the links.
pub fn series(plan: &Plan) -> Result<Vec<Series>, String> {
    let mut all = idle(plan)?;
    all.extend(by_document(plan)?);
    all.extend(by_changes(plan)?);
    all.extend(by_schedulers(plan)?);
    all.extend(by_voters(plan)?);
    all.extend(first_state(plan));
    Ok(all)
}

/// A calm tier.
pub fn calm(schedulers: usize, voters: usize, seconds: u64, every: u64) -> Trial {
    let (terms, without) = (TimingConfig::default(), Without::Nothing);
    Trial { schedulers, voters, seconds, terms, faults: false, disks: false, every, without }
}

/// A load where nobody has to act often, as only words are counted.
fn load(tenants: usize, proposers: usize, warm_s: u64) -> Load {
    let (act, healed) = (S / 4, S);
    Load { tenants, proposers: Some(proposers), warm: warm_s * S, still: false, act, healed }
}

/// The same with several seeds, on all cores. What is counted is the same however many there are.
fn seeds(trials: &[(Trial, Load)], runs: u64) -> Result<Vec<Vec<Traffic>>, String> {
    let pairs: Vec<(usize, u64)> =
        (0..trials.len()).rev().flat_map(|t| (1..=runs).map(move |seed| (t, seed))).collect();
    let played: Result<Vec<(usize, Traffic)>, String> = pairs
        .par_iter()
        .with_max_len(1)
        .map(|(t, seed)| Ok((*t, trial::measure(&trials[*t].0, &trials[*t].1, *seed)?.1)))
        .collect();
    let mut all = vec![Vec::new(); trials.len()];
    played?.into_iter().for_each(|(t, traffic)| all[t].push(traffic));
    Ok(all)
}

/// A series of the links: what is taken of each trial.
type Row<'a> = (&'a str, &'a str, &'a dyn Fn(&Traffic) -> f64);

fn rows(by: &str, note: &str, sizes: &[f64], played: &[Vec<Traffic>], rows: &[Row]) -> Vec<Series> {
    let row = |(key, unit, of): &Row| {
        let mut series = meter::series(key, unit, by, Source::Counted, note);
        for (size, all) in sizes.iter().zip(played) {
            point(&mut series, *size, all.iter().map(of).collect());
        }
        series
    };
    rows.iter().map(row).collect()
}

fn idle(plan: &Plan) -> Result<Vec<Series>, String> {
    let keys = [
        "scheduler.tier.heard_idle",
        "scheduler.tier.sent_idle",
        "scheduler.tier.messages_idle",
        "voter.raft_sent_idle",
    ];
    if !plan.wants_any(&keys) {
        return Ok(Vec::new());
    }
    let voters = [3usize, 5, 7];
    let voters = plan.sizes(&voters);
    let still = |v: &usize| (calm(v + 3, *v, 38, EVERY), Load { still: true, ..load(TENANTS, v + 3, 8) });
    let played = seeds(&voters.iter().map(still).collect::<Vec<_>>(), plan.runs() as u64)?;
    let sizes: Vec<f64> = voters.iter().map(|v| *v as f64).collect();
    let note = "nothing changes; renewals 4 a second";
    Ok(rows(
        "voters",
        note,
        &sizes,
        &played,
        &[
            (keys[0], "bytes/s", &|t| t.scheduler.heard),
            (keys[1], "bytes/s", &|t| t.scheduler.sent),
            (keys[2], "words/s", &|t| t.scheduler.heard_words + t.scheduler.sent_words),
            (keys[3], "bytes/s", &|t| t.raft),
        ],
    ))
}

/// Versions a second.
fn versions(traffic: &Traffic) -> f64 {
    traffic.versions as f64 / traffic.seconds
}

fn by_document(plan: &Plan) -> Result<Vec<Series>, String> {
    let keys = [
        "scheduler.tier.heard_by_document",
        "scheduler.tier.version_heard_by_document",
        "scheduler.tier.news_by_document",
        "scheduler.tier.sent_by_document",
        "scheduler.tier.proposal_sent_by_document",
        "voter.sent_by_document",
        "voter.raft_sent_by_document",
    ];
    if !plan.wants_any(&keys) {
        return Ok(Vec::new());
    }
    // Without a change, but with as many tenants: what is heard then is not a version's.
    let still = (calm(SCHEDULERS, 3, 38, EVERY), Load { still: true, ..load(TENANTS, SCHEDULERS, 8) });
    let still = seeds(&[still], 3)?;
    let of = |what: &dyn Fn(&Traffic) -> f64| median(&still[0].iter().map(what).collect::<Vec<f64>>());
    let (heard, raft) = (of(&|t| t.scheduler.heard), of(&|t| t.raft));
    let documents = plan.sizes(&DOCUMENTS);
    let (warm, seconds) = plan.pick((40, 100), (5, 25));
    let trials: Vec<(Trial, Load)> =
        documents.iter().map(|d| (calm(SCHEDULERS, 3, seconds, EVERY), load(*d, SCHEDULERS, warm))).collect();
    let played = seeds(&trials, plan.pick(3, 1))?;
    let sizes: Vec<f64> = documents.iter().map(|d| bytes(*d)).collect();
    let told = played.iter().flatten().map(versions).collect::<Vec<f64>>();
    let note = format!(
        "3 voters, {SCHEDULERS} schedulers, 0.39 proposals a second, {:.2} versions a second in the median",
        median(&told)
    );
    let made = |t: &Traffic| (t.wanted - t.waited).max(1) as f64;
    Ok(rows(
        "bytes of the document",
        &note,
        &sizes,
        &played,
        &[
            (keys[0], "bytes/s", &|t| t.scheduler.heard),
            (keys[1], "bytes/version", &|t| (t.scheduler.heard - heard) / versions(t)),
            (keys[2], "answers/version", &|t| t.news / versions(t)),
            (keys[3], "bytes/s", &|t| t.scheduler.sent),
            (keys[4], "bytes/proposal", &|t| t.proposals * t.seconds / made(t)),
            (keys[5], "bytes/s", &|t| t.voter.sent),
            (keys[6], "bytes/version", &|t| (t.raft - raft) / versions(t)),
        ],
    ))
}

fn by_voters(plan: &Plan) -> Result<Vec<Series>, String> {
    let key = "scheduler.tier.version_heard_by_voters";
    if !plan.wants(key) {
        return Ok(Vec::new());
    }
    let voters = [3usize, 5, 7];
    let voters = plan.sizes(&voters);
    let trial =
        |v: &usize, still: bool| (calm(v + 3, *v, 100, EVERY), Load { still, ..load(TENANTS, v + 3, 40) });
    let runs = plan.pick(3, 1);
    let changing = seeds(&voters.iter().map(|v| trial(v, false)).collect::<Vec<_>>(), runs)?;
    let still = seeds(&voters.iter().map(|v| trial(v, true)).collect::<Vec<_>>(), runs)?;
    let note = format!("a document of {} bytes, 0.39 proposals a second", bytes(TENANTS));
    let mut series = meter::series(key, "bytes/version", "voters", Source::Counted, &note);
    for ((v, all), still) in voters.iter().zip(&changing).zip(&still) {
        let more = all.iter().zip(still).map(|(t, s)| (t.scheduler.heard - s.scheduler.heard) / versions(t));
        point(&mut series, *v as f64, more.collect());
    }
    Ok(vec![series])
}

fn by_changes(plan: &Plan) -> Result<Vec<Series>, String> {
    let keys = ["heard", "sent", "messages"].map(|what| format!("scheduler.tier.{what}_by_changes"));
    let [heard, sent, messages] = [&*keys[0], &*keys[1], &*keys[2]];
    if !plan.wants_any(&[heard, sent, messages]) {
        return Ok(Vec::new());
    }
    let rates = [0.1, 0.39, 1.0, 3.0, 10.0, 30.0];
    let rates = plan.sizes(&rates);
    let (warm, seconds) = plan.pick((40, 140), (3, 13));
    let trial =
        |rate: &f64| (calm(SCHEDULERS, 3, seconds, (1e9 / rate) as u64), load(TENANTS, SCHEDULERS, warm));
    let played = seeds(&rates.iter().map(trial).collect::<Vec<_>>(), plan.pick(3, 1))?;
    let note = format!(
        "3 voters, {SCHEDULERS} schedulers, a document of {} bytes; not all proposals come into force, see change.versions_by_proposals",
        bytes(TENANTS)
    );
    Ok(rows(
        "proposals a second",
        &note,
        rates,
        &played,
        &[
            (heard, "bytes/s", &|t| t.scheduler.heard),
            (sent, "bytes/s", &|t| t.scheduler.sent),
            (messages, "words/s", &|t| t.scheduler.heard_words + t.scheduler.sent_words),
        ],
    ))
}

fn by_schedulers(plan: &Plan) -> Result<Vec<Series>, String> {
    let keys = ["voter.sent_by_schedulers", "voter.heard_by_schedulers"];
    if !plan.wants_any(&keys) {
        return Ok(Vec::new());
    }
    let counts = [10usize, 30, 100, 300, 1_000];
    let counts = plan.sizes(&counts);
    let trial = |n: &usize| (calm(*n, 3, 23, EVERY), load(TENANTS, *n, 3));
    let played = seeds(&counts.iter().map(trial).collect::<Vec<_>>(), plan.pick(3, 1))?;
    let told = played.iter().flatten().map(versions).collect::<Vec<f64>>();
    let note = format!(
        "3 voters, a document of {} bytes, 0.39 proposals a second, {:.2} versions a second in the median",
        bytes(TENANTS),
        median(&told)
    );
    let sizes: Vec<f64> = counts.iter().map(|n| *n as f64).collect();
    Ok(rows(
        "schedulers",
        &note,
        &sizes,
        &played,
        &[(keys[0], "bytes/s", &|t| t.voter.sent), (keys[1], "bytes/s", &|t| t.voter.heard)],
    ))
}

/// A voter's answer to a scheduler that has nothing.
pub fn answer(state: &ReplicatedState) -> LinkMessage {
    LinkMessage::LeaseResponse {
        number: 1,
        granted: false,
        newer_state: Some(Box::new(state.clone())),
        lists: ListSummary::default(),
    }
}

fn first_state(plan: &Plan) -> Option<Series> {
    let (key, note) = ("scheduler.tier.first_state_by_document", "from 3 voters, with a full history");
    let mut first = meter::series(key, "bytes", "bytes of the document", Source::Counted, note);
    if !plan.wants(key) {
        return None;
    }
    for tenants in plan.sizes(&DOCUMENTS) {
        let sealed = link().0.seal(&answer(&state(*tenants, 80))).len();
        point(&mut first, bytes(*tenants), vec![3.0 * sealed as f64]);
    }
    Some(first)
}

/// What a scheduler does with what it hears, and keeps of it.
pub fn own(plan: &Plan) -> Result<Vec<Series>, String> {
    let keys = ["time_idle", "time_by_document", "memory_by_document"].map(|k| format!("scheduler.tier.{k}"));
    if !plan.wants_any(&[&keys[0], &keys[1], &keys[2]]) {
        return Ok(Vec::new());
    }
    let timing = TimingConfig::default().derive().map_err(|(key, why)| format!("{key}: {why}"))?;
    let size = "bytes of the document";
    let note = "a question sealed, its answer opened and taken in, for one voter";
    let mut idle = meter::series(&keys[0], "ns", size, Source::Timed, note);
    let note =
        "an answer with the state opened and taken in, up to this scheduler's settings; a full history";
    let mut news = meter::series(&keys[1], "ns", size, Source::Timed, note);
    let mut memory =
        meter::series(&keys[2], "bytes", size, Source::Counted, "the holder, with a full history");
    let mine = json!({"rank": 3, "my_zone": "here-3"});
    for tenants in plan.sizes(&DOCUMENTS) {
        let known = state(*tenants, 80);
        let holder = || {
            let mut holder = LeaseHolder::new(timing, 3);
            holder.handle_response(0, 0, 0, false, Some(known.clone()));
            holder
        };
        let (mut held, bytes_held) = live(holder);
        point(&mut memory, bytes(*tenants), vec![bytes_held]);

        let (mut to, from) = link();
        let quiet = LinkMessage::LeaseResponse {
            number: 1,
            granted: true,
            newer_state: None,
            lists: ListSummary::default(),
        };
        let quiet = from.clone().seal(&quiet);
        let mut now = 0;
        let asked = plan.time(|| {
            now += S / 4;
            let (number, acting) = held.start_renewal(now);
            let index = held.state().index;
            black_box(to.seal(&LinkMessage::LeaseRequest {
                number,
                rules: acting,
                index,
                list: ListReport::default(),
            }));
            let opened = from.clone().open(&mut quiet.clone());
            if let Ok(Some(LinkMessage::LeaseResponse { granted: yes, newer_state: news, .. })) = opened {
                black_box(held.handle_response(now, 0, number, yes, news.map(|n| *n)));
            }
        });
        point(&mut idle, bytes(*tenants), asked);

        let told = from.clone().seal(&answer(&known));
        let heard = plan.time(|| {
            let opened = from.clone().open(&mut told.clone());
            if let Ok(Some(LinkMessage::LeaseResponse { number, granted: yes, newer_state: news, .. })) =
                opened
            {
                let mut holder = LeaseHolder::new(timing, 3);
                black_box(holder.handle_response(0, 0, number, yes, news.map(|n| *n)));
                black_box(holder.effective_body().map(|body| body.settings_for(&mine)));
            }
        });
        point(&mut news, bytes(*tenants), heard);
    }
    Ok(vec![idle, news, memory])
}
