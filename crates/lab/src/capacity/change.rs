//! A change of the document, from its proposal until all act on it, on the tier of [`crate::trial`] in virtual time.
//!
//! - `change.versions_by_proposals`: versions a second that come into force, by proposals that 20 schedulers want to make a
//!   second; calm, 3 voters, renewals four a second. `change.missed_by_proposals`: the part of the proposals made that
//!   missed another version. `change.waited_by_proposals`: the part that was not made, as an earlier one of the same
//!   scheduler had no outcome yet.
//! - `change.everywhere_by_schedulers`: from agreed until every scheduler that may act acts on it, the median of a trial;
//!   calm, 3 voters, the bound of 4 s, a proposal or two every 2 s. `everywhere_longest`: a trial's longest.
//!   `everywhere_faults`, `everywhere_faults_longest`: the same with the trial's faults for 20 s.

use super::meter::{self, Plan, point};
use super::tier::calm;
use crate::trial::{self, Load, Told, Traffic, Trial};
use loomlb_capacity::{Series, Source};
use rayon::prelude::*;

const S: u64 = 1_000_000_000;

/// All series of changes.
pub fn series(plan: &Plan) -> Result<Vec<Series>, String> {
    let mut all = proposals(plan)?;
    all.extend(everywhere(plan)?);
    Ok(all)
}

fn proposals(plan: &Plan) -> Result<Vec<Series>, String> {
    let keys = ["versions", "missed", "waited"].map(|what| format!("change.{what}_by_proposals"));
    if !plan.wants_any(&[&keys[0], &keys[1], &keys[2]]) {
        return Ok(Vec::new());
    }
    let rates = [0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0];
    let rates = plan.sizes(&rates);
    let load = Load { proposers: Some(20), warm: 3 * S, act: S / 4, healed: S, ..Load::default() };
    let seconds = plan.pick(203, 33);
    let runs = plan.pick(5u64, 1);
    let pairs: Vec<(f64, u64)> = rates.iter().flat_map(|r| (1..=runs).map(move |s| (*r, s))).collect();
    let played: Result<Vec<Traffic>, String> = pairs
        .par_iter()
        .map(|(rate, seed)| {
            let trial = calm(20, 3, seconds, (1e9 / rate) as u64);
            trial::measure(&trial, &load, *seed).map(|(_, traffic)| traffic)
        })
        .collect();
    let played = played?;
    let note = "20 schedulers, 3 voters, calm; a small document";
    let row = |key: &str, unit: &str, of: &dyn Fn(&Traffic) -> f64| {
        let mut series = meter::series(key, unit, "proposals a second", Source::Counted, note);
        for (rate, all) in rates.iter().zip(played.chunks(runs as usize)) {
            point(&mut series, *rate, all.iter().map(of).collect());
        }
        series
    };
    let made = |t: &Traffic| (t.wanted - t.waited).max(1) as f64;
    Ok(vec![
        row(&keys[0], "versions/s", &|t| t.versions as f64 / t.seconds),
        row(&keys[1], "part", &|t| t.missed as f64 / made(t)),
        row(&keys[2], "part", &|t| t.waited as f64 / t.wanted.max(1) as f64),
    ])
}

fn everywhere(plan: &Plan) -> Result<Vec<Series>, String> {
    let keys = ["", "_longest", "_faults", "_faults_longest"]
        .map(|what| format!("change.everywhere{what}_by_schedulers"));
    if !plan.wants_any(&[&keys[0], &keys[1], &keys[2], &keys[3]]) {
        return Ok(Vec::new());
    }
    let counts = [10usize, 30, 100, 300, 1_000];
    let counts = plan.sizes(&counts);
    let runs = plan.pick(3u64, 1);
    let seconds = plan.pick(20, 10);
    let all: Vec<(bool, usize, u64)> = counts
        .iter()
        .rev()
        .flat_map(|n| [true, false].map(|faults| (faults, *n)))
        .flat_map(|(faults, n)| (1..=runs).map(move |seed| (faults, n, seed)))
        .collect();
    let played: Result<Vec<Told>, String> = all
        .par_iter()
        .with_max_len(1)
        .map(|(faults, n, seed)| {
            let trial = Trial { faults: *faults, ..calm(*n, 3, seconds, 2 * S) };
            let healed = if *faults { Load::default().healed } else { 3 * S };
            trial::measure(&trial, &Load { healed, ..Load::default() }, *seed).map(|(told, _)| told)
        })
        .collect();
    let played = played?;
    if let Some(broken) = played.iter().find_map(|t| t.breaches.first()) {
        return Err(format!("change.everywhere: a trial broke: {broken}"));
    }
    let row = |key: &str, faults: bool, which: usize| {
        let note = if faults {
            "3 voters, a bound of 4 s, 20 s with faults"
        } else {
            "3 voters, a bound of 4 s, calm"
        };
        let mut series = meter::series(key, "ms", "schedulers", Source::Counted, note);
        for n in counts {
            let of = all.iter().zip(&played).filter(|((f, m, _), _)| *f == faults && m == n);
            point(&mut series, *n as f64, of.map(|(_, told)| told.everywhere_ms[which]).collect());
        }
        series
    };
    Ok(vec![row(&keys[0], false, 0), row(&keys[1], false, 1), row(&keys[2], true, 0), row(&keys[3], true, 1)])
}
