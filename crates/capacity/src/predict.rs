//! From slopes to what a workload costs.

use crate::report::Report;
use crate::{Costs, Workload};

/// Renewals a second under which the series were measured: one every quarter of a second.
pub const RENEWALS: f64 = 4.0;
/// Voters under which the series by document, changes and schedulers were measured.
pub const VOTERS: f64 = 3.0;

/// What a workload costs by the measured slopes. Wherever a series is missing, or a size has no cost, the figure is absent.
///
/// - `versions` = `change.versions_by_proposals` at the changes proposed a second.
/// - `propagation_seconds` = `change.everywhere_by_schedulers` at the schedulers, in seconds.
/// - `scheduler_received` = heard while nothing changes (`scheduler.tier.heard_idle` at the voters, by renewals a second) plus,
///   for each version, `scheduler.tier.version_heard_by_document` at the document, by voters: each voter that is asked before
///   the others' news is taken in sends the whole of it.
/// - `scheduler_sent` = `scheduler.tier.sent_idle` at the voters, by renewals, plus
///   `scheduler.tier.proposal_sent_by_document` for each change, over all schedulers, as any may propose.
/// - `scheduler_cpu` = `scheduler.tier.time_idle` (a question sealed and its answer opened) for each voter and renewal, plus
///   `scheduler.tier.time_by_document` for each answer with news (`scheduler.tier.news_by_document`), as a part of a core.
///   What a scheduler does to put a document in force, its sockets and its jobs are not in it.
/// - `scheduler_memory` = live bytes: `scheduler.decision.memory_by_workers`, `scheduler.list.memory_by_workers`, the slope
///   of `scheduler.flows.memory_by_flows` at the flows, and `scheduler.tier.memory_by_document`. The program's own pages and
///   its connections are not in it.
/// - `voter_sent` = what all schedulers hear, a voter's part of it, plus `voter.raft_sent_idle` at the voters
///   and `voter.raft_sent_by_document` for each version.
/// - `voter_received` = what all schedulers send, a voter's part of it, plus the same from other voters.
/// - `voter_cpu` = `voter.ask.time_by_schedulers` for each scheduler and renewal, plus `voter.news.time_by_document` for each
///   scheduler and news of it, plus two `voter.apply.time_by_document` a version, as most are agreed and
///   then put in force by a second entry.
/// - `voter_memory` = live bytes: `voter.memory_by_schedulers` plus `voter.memory_by_document`. The program is not in it.
/// - `voter_disk` = `voter.log.bytes_by_document` for each version.
pub fn predict(report: &Report, workload: &Workload) -> Costs {
    let at = |key: &str, size: f64| report.cost_at(key, size);
    let Workload { schedulers, voters, workers, document, changes, renew, flows, .. } = *workload;
    let renewals = Some(1.0 / renew).filter(|r| r.is_finite() && *r > 0.0);
    // A share of renewals against those that were measured, and of voters.
    let (often, more) = (renewals.map(|r| r / RENEWALS), voters / VOTERS);
    let versions = at("change.versions_by_proposals", changes);
    let add = |a: Option<f64>, b: Option<f64>| Some(a? + b?);
    let times = |a: Option<f64>, b: Option<f64>| Some(a? * b?);
    let of = |key: &str, factor: Option<f64>| times(at(key, document), factor);

    let news = of("scheduler.tier.version_heard_by_document", versions.map(|v| v * more));
    let scheduler_received = add(times(at("scheduler.tier.heard_idle", voters), often), news);
    let proposed = of("scheduler.tier.proposal_sent_by_document", Some(changes / schedulers));
    let scheduler_sent = add(times(at("scheduler.tier.sent_idle", voters), often), proposed);
    let raft = add(
        at("voter.raft_sent_idle", voters),
        of("voter.raft_sent_by_document", versions.map(|v| v * (voters - 1.0) / (VOTERS - 1.0))),
    );
    let part = |all: Option<f64>| all.map(|a| a * schedulers / voters);

    let asks = renewals.map(|r| r * voters / 1e9);
    // Answers with news that one scheduler hears from one voter in a second.
    let news_each = of("scheduler.tier.news_by_document", versions.map(|v| v / VOTERS));
    let tier_time = add(
        times(at("scheduler.tier.time_idle", document), asks),
        of("scheduler.tier.time_by_document", news_each.map(|n| n * voters / 1e9)),
    );
    let asked = renewals.map(|r| r * schedulers / 1e9);
    let told = news_each.map(|n| n * schedulers / 1e9);
    let voter_time = add(
        times(at("voter.ask.time_by_schedulers", schedulers), asked),
        add(
            of("voter.news.time_by_document", told),
            of("voter.apply.time_by_document", versions.map(|v| 2.0 * v / 1e9)),
        ),
    );
    let flow = report.get("scheduler.flows.memory_by_flows").and_then(|f| {
        let none = f.fit.cost_at(0.0)?;
        f.fit.cost_at(flows).map(|all| all - none)
    });
    let module = add(
        at("scheduler.decision.memory_by_workers", workers),
        at("scheduler.list.memory_by_workers", workers),
    );
    Costs {
        scheduler_sent,
        scheduler_received,
        scheduler_cpu: tier_time,
        scheduler_memory: add(add(module, flow), at("scheduler.tier.memory_by_document", document)),
        voter_sent: add(part(scheduler_received), raft),
        voter_received: add(part(scheduler_sent), raft),
        voter_cpu: voter_time,
        voter_memory: add(
            at("voter.memory_by_schedulers", schedulers),
            at("voter.memory_by_document", document),
        ),
        voter_disk: of("voter.log.bytes_by_document", versions),
        versions,
        propagation_seconds: at("change.everywhere_by_schedulers", schedulers).map(|ms| ms / 1e3),
    }
}
