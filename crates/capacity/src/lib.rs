//! What a role of the fleet costs by its size: points that were measured, slopes fitted to them, and what they come to at a
//! size that nobody has run yet. Pure: no I/O, no clock. The laboratory measures, docs/CAPACITY.md is held to the results.

#![forbid(unsafe_code)]

pub mod fit;
pub mod page;
pub mod plan;
pub mod predict;
pub mod report;

use serde::{Deserialize, Serialize};

/// How a figure came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// Counted exactly: bytes, messages, allocations, instructions.
    Counted,
    /// Timed, or read from the system.
    Timed,
    /// Reasoned; nothing was run.
    Estimated,
}

/// All values that were measured at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size, in the unit that [`Series::by`] names.
    pub size: f64,
    /// One value a run.
    pub values: Vec<f64>,
}

/// One cost of a role over sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Its key, unique in a report: `scheduler.tier_link.heard_by_document`.
    pub key: String,
    /// Whose cost: scheduler, voter, discovery, change, quota, planner, urgent.
    pub role: String,
    /// The unit of the values: bytes, ns, messages/s.
    pub unit: String,
    /// What the sizes count: workers, bytes of the document, tenants.
    #[serde(rename = "by")]
    pub size_unit: String,
    /// How the values came about.
    pub source: Source,
    /// What the figures were taken under, or how they were reasoned.
    #[serde(default)]
    pub note: String,
    /// From the smallest size on.
    pub points: Vec<Point>,
}

/// The fleet that a prediction is made for, or that a run had.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workload {
    /// Schedulers on one tier.
    pub schedulers: f64,
    /// Voters of that tier.
    pub voters: f64,
    /// Workers in a scheduler's list.
    pub workers: f64,
    /// Size of the agreed document, in bytes.
    pub document: f64,
    /// Changes of it proposed a second, over the tier.
    pub changes: f64,
    /// Time between two renewals of a lease, in seconds.
    pub renew: f64,
    /// Jobs that one scheduler starts a second.
    pub starts: f64,
    /// Flows open at one scheduler.
    pub flows: f64,
}

/// What a workload comes to, predicted or measured. A figure that is not known is absent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Costs {
    /// Bytes a second from one scheduler to all voters together.
    pub scheduler_sent: Option<f64>,
    /// Bytes a second from all voters to one scheduler.
    #[serde(rename = "scheduler_heard")]
    pub scheduler_received: Option<f64>,
    /// Processor time of one scheduler for control, as a part of a core.
    pub scheduler_cpu: Option<f64>,
    /// Resident memory of one scheduler, in bytes.
    pub scheduler_memory: Option<f64>,
    /// Bytes a second from one voter to all schedulers and voters.
    pub voter_sent: Option<f64>,
    /// Bytes a second to one voter.
    #[serde(rename = "voter_heard")]
    pub voter_received: Option<f64>,
    /// Processor time of one voter, as a part of a core.
    pub voter_cpu: Option<f64>,
    /// Resident memory of one voter, in bytes.
    pub voter_memory: Option<f64>,
    /// Bytes a second that one voter writes to its disk.
    pub voter_disk: Option<f64>,
    /// Versions a second that come into force.
    pub versions: Option<f64>,
    /// From a proposal until it is in force everywhere, in seconds, median.
    #[serde(rename = "everywhere")]
    pub propagation_seconds: Option<f64>,
}
