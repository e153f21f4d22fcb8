//! What a run came to.

use super::fleet::Role;
use super::limits::{Machine, Need};
use loomlb_capacity::{Costs, Workload};
use serde::Serialize;
use std::collections::BTreeMap;

/// A run, as it is written.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The part of the target.
    pub part: String,
    /// How long was measured, in seconds.
    pub seconds: u64,
    /// Seed.
    pub seed: u64,
    /// Things went wrong.
    pub faults: bool,
    /// The machine.
    pub machine: Machine,
    /// What the run needs of it, as reckoned beforehand.
    pub need: Need,
    /// What was run.
    pub workload: Workload,
    /// What it was predicted to cost.
    pub predicted: Option<Costs>,
    /// What it cost: medians over the real schedulers of a role that nothing was done to.
    pub measured: Costs,
    /// Measured over predicted, by cost.
    pub ratios: BTreeMap<String, f64>,
    /// Costs that are off by more than a quarter.
    pub off: Vec<String>,
    /// Changes of the document.
    pub changes: Changes,
    /// Leases.
    pub leases: Leases,
    /// Each real process.
    pub processes: Vec<Process>,
    /// Clients at the schedulers that serve.
    pub clients: Clients,
    /// The stand-ins' own cost.
    pub host: Hosts,
    /// Whether the run counts, and if not, why.
    pub verdict: String,
}

/// Changes of the document within what was measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Changes {
    /// Proposed.
    pub proposed: usize,
    /// Of these, orders for workers, as the settings are too long for a call.
    pub orders: usize,
    /// Agreed (200, 202).
    pub agreed: usize,
    /// Another one came before (409).
    pub missed: usize,
    /// Not agreed in time (503).
    pub late: usize,
    /// Turned down otherwise, or not answered; how many by status, 0 for none.
    pub refused: BTreeMap<u16, usize>,
    /// Agreed, and not in force everywhere when the run ended.
    pub pending: usize,
    /// From the proposal until all act on that version or a later one.
    pub in_force_s: Spread,
}

/// The middle and the end of some times, in seconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// The median.
    pub median: Option<f64>,
    /// The longest.
    pub longest: Option<f64>,
}

/// Leases, of all that nothing was done to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Leases {
    /// Share of looks at hollow schedulers that found a lease.
    pub kept_share: f64,
    /// The same at real ones.
    pub kept_share_real: f64,
    /// Leases of hollow schedulers that ended without a renewal.
    pub lapses: u64,
    /// Those at which the stand-in's own timer was late.
    pub late_lapses: u64,
    /// Leases of real ones that ended.
    pub lapses_real: u64,
    /// Hollow schedulers, and those with a lease at the end.
    pub hollow: usize,
    /// Those of them that had a lease in the end.
    pub held: usize,
}

/// A real process.
#[derive(Clone, Debug, Serialize)]
pub struct Process {
    /// Its name.
    pub name: String,
    /// What it was there for.
    pub role: Role,
    /// It was killed or stopped, so its figures are not in the costs.
    pub disturbed: bool,
    /// Processor time, as a part of a core.
    pub cpu: f64,
    /// Resident memory at the end, and at the most, in bytes.
    pub memory: [f64; 2],
    /// Bytes a second said and heard on tier links.
    pub tier: [f64; 2],
    /// Bytes a second written to disks.
    pub disk: f64,
    /// What it counts of the tier itself, at the end.
    pub counts: serde_json::Value,
}

/// The clients.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Clients {
    /// Flows open at each scheduler, median over looks.
    pub open: Vec<f64>,
    /// Jobs sent, answered 200, and answered otherwise or not at all.
    pub jobs: [u64; 3],
}

/// The stand-ins.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Hosts {
    /// Each thread and process.
    pub parts: Vec<Part>,
    /// One hollow scheduler's bytes to voters and from them, as it counts them, and as the link counts them.
    pub checked: [[u64; 2]; 2],
    /// Calls for the whole list at discovery.
    pub whole_lists: u64,
    /// Processor time of all: the run's part of the machine, from 0 to 1.
    pub machine_busy: f64,
    /// Seconds until all had leases.
    pub start_s: f64,
}

/// A thread or process of stand-ins.
#[derive(Clone, Debug, Serialize)]
pub struct Part {
    /// Its name.
    pub name: String,
    /// Processor time, as a part of a core.
    pub cpu: f64,
    /// How late its timers ran at p99 and at the most, in milliseconds.
    pub late_ms: Option<[f64; 2]>,
}

/// The median; none of nothing.
pub fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let last = values.len().checked_sub(1)?;
    Some((values[last / 2] + values[values.len() / 2]) / 2.0)
}

/// Measured over predicted, by cost, where both are known.
pub fn ratios(measured: &Costs, predicted: &Costs) -> BTreeMap<String, f64> {
    let object = |c: &Costs| serde_json::to_value(c).unwrap_or_default();
    let (measured, predicted) = (object(measured), object(predicted));
    let pairs = measured.as_object().into_iter().flatten().filter_map(|(key, m)| {
        let (m, p) = (m.as_f64()?, predicted.get(key)?.as_f64()?);
        (p > 0.0).then(|| (key.clone(), m / p))
    });
    pairs.collect()
}

impl Report {
    /// Whether it is a result.
    pub fn counts(&self) -> bool {
        self.verdict == "counts"
    }

    /// As a table.
    pub fn table(&self) -> String {
        let (m, c, l) = (&self.measured, &self.changes, &self.leases);
        let figure = |x: Option<f64>, by: f64| x.map_or("-".into(), |x| format!("{:.3}", x / by));
        let mut rows = vec![
            vec!["verdict".into(), self.verdict.clone()],
            vec!["scheduler: said, heard, KB/s".into(), pair(m.scheduler_sent, m.scheduler_received, 1e3)],
            vec!["scheduler: control, cores; memory, MB".into(), pair2(m.scheduler_cpu, m.scheduler_memory)],
            vec!["voter: said, heard, MB/s".into(), pair(m.voter_sent, m.voter_received, 1e6)],
            vec!["voter: cores; memory, MB".into(), pair2(m.voter_cpu, m.voter_memory)],
            vec!["voter: disk, KB/s".into(), figure(m.voter_disk, 1e3)],
            vec!["versions a second".into(), figure(m.versions, 1.0)],
            vec![
                "changes: proposed, agreed, missed, late, pending".into(),
                format!("{}, {}, {}, {}, {}", c.proposed, c.agreed, c.missed, c.late, c.pending),
            ],
            vec!["changes refused, by status".into(), format!("{:?}", c.refused)],
            vec![
                "in force everywhere, s: median, longest".into(),
                pair(c.in_force_s.median, c.in_force_s.longest, 1.0),
            ],
            vec![
                "leases kept: hollow, real; lapses".into(),
                format!("{:.4}, {:.4}; {}, {}", l.kept_share, l.kept_share_real, l.lapses, l.lapses_real),
            ],
        ];
        for part in &self.host.parts {
            let late = part.late_ms.map_or(String::new(), |l| format!(", late by {:.1} ms at p99", l[0]));
            rows.push(vec![format!("host {}", part.name), format!("{:.2} cores{late}", part.cpu)]);
        }
        for key in &self.off {
            rows.push(vec![
                format!("off by over 25 %: {key}"),
                format!("{:.2} of the prediction", self.ratios[key]),
            ]);
        }
        crate::tables::columns(&rows)
    }
}

fn pair(a: Option<f64>, b: Option<f64>, by: f64) -> String {
    let one = |x: Option<f64>| x.map_or("-".to_string(), |x| format!("{:.3}", x / by));
    format!("{}, {}", one(a), one(b))
}

fn pair2(cpu: Option<f64>, memory: Option<f64>) -> String {
    let one = |x: Option<f64>, by: f64| x.map_or("-".to_string(), |x| format!("{:.4}", x / by));
    format!("{}; {}", one(cpu, 1.0), one(memory, 1e6))
}
