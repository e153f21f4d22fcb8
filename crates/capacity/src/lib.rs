//! Capacity planning: costs of the roles of a fleet measured at several sizes, fits to the measured points, and
//! predictions for other sizes. The crate does no I/O. `loomlb-lab` measures, and a test compares docs/CAPACITY.md with
//! the results.

#![forbid(unsafe_code)]

pub mod fit;
pub mod page;
pub mod plan;
pub mod predict;
pub mod report;

use serde::{Deserialize, Serialize};

/// How a value was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// Counted exactly: bytes, messages, allocations, instructions.
    Counted,
    /// Timed, or read from the system.
    Timed,
    /// Estimated without a run.
    Estimated,
}

/// The values measured at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size, in [`Series::size_unit`].
    pub size: f64,
    /// One value per run.
    pub values: Vec<f64>,
}

/// One cost of a role, measured at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Key, unique in a report, such as `scheduler.tier.heard_by_document`.
    pub key: String,
    /// The role that has the cost: scheduler, voter, discovery, change, quota, planner, urgent.
    pub role: String,
    /// Unit of the values: bytes, ns, messages/s.
    pub unit: String,
    /// Unit of the sizes: workers, bytes of the document, tenants.
    #[serde(rename = "by")]
    pub size_unit: String,
    /// How the values were obtained.
    pub source: Source,
    /// Conditions of the measurement, or the basis of the estimate.
    #[serde(default)]
    pub note: String,
    /// Points in increasing order of size.
    pub points: Vec<Point>,
}

/// Size and load of a fleet, of a prediction or of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workload {
    /// Number of schedulers in the tier.
    pub schedulers: f64,
    /// Number of voters of the tier.
    pub voters: f64,
    /// Number of workers in a scheduler's list.
    pub workers: f64,
    /// Size of the replicated document, in bytes.
    pub document: f64,
    /// Changes of the document proposed per second in the whole tier.
    pub changes: f64,
    /// Interval between renewals of a lease, in seconds.
    pub renew: f64,
    /// Jobs started per second by one scheduler.
    pub starts: f64,
    /// Number of flows open at one scheduler.
    pub flows: f64,
}

/// Costs of a workload, predicted or measured. Unknown costs are `None`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Costs {
    /// Bytes per second from one scheduler to all voters.
    pub scheduler_sent: Option<f64>,
    /// Bytes per second from all voters to one scheduler.
    #[serde(rename = "scheduler_heard")]
    pub scheduler_received: Option<f64>,
    /// Processor time of one scheduler for the control plane, as a fraction of a core.
    pub scheduler_cpu: Option<f64>,
    /// Resident memory of one scheduler, in bytes.
    pub scheduler_memory: Option<f64>,
    /// Bytes per second from one voter to all schedulers and voters.
    pub voter_sent: Option<f64>,
    /// Bytes per second to one voter.
    #[serde(rename = "voter_heard")]
    pub voter_received: Option<f64>,
    /// Processor time of one voter, as a fraction of a core.
    pub voter_cpu: Option<f64>,
    /// Resident memory of one voter, in bytes.
    pub voter_memory: Option<f64>,
    /// Bytes per second that one voter writes to disk.
    pub voter_disk: Option<f64>,
    /// Versions of the document applied per second.
    pub versions: Option<f64>,
    /// Median time from a proposal until all schedulers apply it, in seconds.
    #[serde(rename = "everywhere")]
    pub propagation_seconds: Option<f64>,
}
