//! What staff see of the tier.

use crate::{Application, Tier};
use serde_json::{Value, json};

/// What staff see of the tier.
pub fn status(tier: &Tier, application: &dyn Application) -> Value {
    let Some(node) = &tier.0 else { return Value::Null };
    let (holder, voter) = (node.holder.borrow(), node.voter.borrow());
    let health = node.store_health.borrow();
    let seen = holder.state();
    let left = holder.lease_expiry().unwrap_or(0).saturating_sub(node.now());
    let vote = voter.as_ref().map(|v| {
        let holders: Vec<Value> = v
            .promises
            .holders(node.now())
            .map(|((name, process), acting)| json!({"name": name, "process": format!("{process:016x}"), "acting": acting}))
            .collect();
        json!({"leads": v.agreement.is_leader(), "leader": v.agreement.leader_id(), "settled": v.agreement.has_caught_up(),
            "broken": v.agreement.has_failed(), "promises_to": holders})
    });
    json!({
        "yes": true, "name": node.name, "acting": node.applied.get(), "may_act": tier.may_serve(),
        "lease_left_s": left as f64 / 1e9, "fault": *node.apply_error.borrow(),
        "version": seen.active.as_ref().map(|d| d.version), "by": seen.active.as_ref().map(|d| &d.proposer),
        "coming": seen.pending.as_ref().map(|d| d.version), "workers_out": *node.offline_workers.borrow(),
        "settings": seen.active.as_ref().map(|d| &d.body.settings),
        "history": seen.history, "voter": vote,
        "lists": {"mine": application.worker_list().version, "newest": node.list_versions.get().0, "oldest": node.list_versions.get().1},
        "counts": {"lapses": node.counters.lapses.get(), "words_pushed_out": node.counters.messages_dropped.get(),
            "link_faults": node.counters.link_errors.get(), "links": node.counters.open_links.get(),
            "history_unwritten": node.counters.history_unwritten.get(), "drains_by_hearsay": node.counters.leaving_learned.get(),
            "lists_asked_anew": node.counters.list_refetches.get(),
            "store_failures": health.failures, "store_recoveries": health.recoveries},
    })
}
