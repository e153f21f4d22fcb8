//! Prediction of the costs of a workload from fitted series.

use crate::report::Report;
use crate::{Costs, Workload};

/// Renewals per second during the measurement of the series.
pub const MEASURED_RENEWALS_PER_SECOND: f64 = 4.0;
/// Number of voters during the measurement of the series by document, changes and schedulers.
pub const MEASURED_VOTERS: f64 = 3.0;

/// Predicts the costs of a workload. A cost is `None` if a series that it needs is missing or has no cost at the size.
///
/// - `versions`: `change.versions_by_proposals` at the number of changes proposed per second.
/// - `propagation_seconds`: `change.everywhere_by_schedulers` at the number of schedulers.
/// - `scheduler_received`: traffic without changes (`scheduler.tier.heard_idle` at the number of voters, in proportion
///   to the renewals per second) plus, for each version, `scheduler.tier.version_heard_by_document`, in proportion to
///   the number of voters: each voter that is asked before the update from another one is applied sends the whole
///   update.
/// - `scheduler_sent`: `scheduler.tier.sent_idle` at the number of voters, in proportion to the renewals, plus
///   `scheduler.tier.proposal_sent_by_document` for each change, divided among all schedulers.
/// - `scheduler_cpu`: `scheduler.tier.time_idle` (sealing a request and opening its response) for each voter and
///   renewal, plus `scheduler.tier.time_by_document` for each response with an update
///   (`scheduler.tier.news_by_document`), as a fraction of a core. It doesn't include applying a document, network I/O
///   or jobs.
/// - `scheduler_memory`: live bytes of `scheduler.decision.memory_by_workers`, `scheduler.list.memory_by_workers`,
///   `scheduler.flows.memory_by_flows` less its value at 0, and `scheduler.tier.memory_by_document`. It doesn't include
///   the program itself and its connections.
/// - `voter_sent`: one voter's part of the bytes that all schedulers receive, plus `voter.raft_sent_idle` at the number
///   of voters and `voter.raft_sent_by_document` for each version.
/// - `voter_received`: one voter's part of the bytes that all schedulers send, plus the same Raft traffic from other
///   voters.
/// - `voter_cpu`: `voter.ask.time_by_schedulers` for each scheduler and renewal, plus `voter.news.time_by_document` for
///   each update to a scheduler, plus two `voter.apply.time_by_document` for each version, because most versions are
///   agreed by one log entry and activated by another.
/// - `voter_memory`: live bytes of `voter.memory_by_schedulers` plus `voter.memory_by_document`, without the program
///   itself.
/// - `voter_disk`: `voter.log.bytes_by_document` for each version.
pub fn predict(report: &Report, workload: &Workload) -> Costs {
    let at = |key: &str, size: f64| report.cost_at(key, size);
    let Workload { schedulers, voters, workers, document, changes, renew, flows, .. } = *workload;
    let renewals = Some(1.0 / renew).filter(|rate| rate.is_finite() && *rate > 0.0);
    // Relative to the number of renewals and voters during the measurement.
    let (renewal_ratio, voter_ratio) =
        (renewals.map(|rate| rate / MEASURED_RENEWALS_PER_SECOND), voters / MEASURED_VOTERS);
    let versions = at("change.versions_by_proposals", changes);
    let sum = |a: Option<f64>, b: Option<f64>| Some(a? + b?);
    let product = |a: Option<f64>, b: Option<f64>| Some(a? * b?);
    let at_document = |key: &str, factor: Option<f64>| product(at(key, document), factor);

    let updates =
        at_document("scheduler.tier.version_heard_by_document", versions.map(|rate| rate * voter_ratio));
    let scheduler_received = sum(product(at("scheduler.tier.heard_idle", voters), renewal_ratio), updates);
    let proposals = at_document("scheduler.tier.proposal_sent_by_document", Some(changes / schedulers));
    let scheduler_sent = sum(product(at("scheduler.tier.sent_idle", voters), renewal_ratio), proposals);
    let raft = sum(
        at("voter.raft_sent_idle", voters),
        at_document(
            "voter.raft_sent_by_document",
            versions.map(|rate| rate * (voters - 1.0) / (MEASURED_VOTERS - 1.0)),
        ),
    );
    let voter_share = |per_scheduler: Option<f64>| per_scheduler.map(|amount| amount * schedulers / voters);

    let requests_per_scheduler = renewals.map(|rate| rate * voters / 1e9);
    // Responses with an update per second that one scheduler receives from one voter.
    let updates_per_link =
        at_document("scheduler.tier.news_by_document", versions.map(|rate| rate / MEASURED_VOTERS));
    let scheduler_time = sum(
        product(at("scheduler.tier.time_idle", document), requests_per_scheduler),
        at_document("scheduler.tier.time_by_document", updates_per_link.map(|rate| rate * voters / 1e9)),
    );
    let requests_per_voter = renewals.map(|rate| rate * schedulers / 1e9);
    let updates_per_voter = updates_per_link.map(|rate| rate * schedulers / 1e9);
    let voter_time = sum(
        product(at("voter.ask.time_by_schedulers", schedulers), requests_per_voter),
        sum(
            at_document("voter.news.time_by_document", updates_per_voter),
            at_document("voter.apply.time_by_document", versions.map(|rate| 2.0 * rate / 1e9)),
        ),
    );
    let flow_memory = report.get("scheduler.flows.memory_by_flows").and_then(|fitted| {
        let base = fitted.fit.cost_at(0.0)?;
        fitted.fit.cost_at(flows).map(|total| total - base)
    });
    let worker_memory = sum(
        at("scheduler.decision.memory_by_workers", workers),
        at("scheduler.list.memory_by_workers", workers),
    );
    Costs {
        scheduler_sent,
        scheduler_received,
        scheduler_cpu: scheduler_time,
        scheduler_memory: sum(
            sum(worker_memory, flow_memory),
            at("scheduler.tier.memory_by_document", document),
        ),
        voter_sent: sum(voter_share(scheduler_received), raft),
        voter_received: sum(voter_share(scheduler_sent), raft),
        voter_cpu: voter_time,
        voter_memory: sum(
            at("voter.memory_by_schedulers", schedulers),
            at("voter.memory_by_document", document),
        ),
        voter_disk: at_document("voter.log.bytes_by_document", versions),
        versions,
        propagation_seconds: at("change.everywhere_by_schedulers", schedulers).map(|ms| ms / 1e3),
    }
}
