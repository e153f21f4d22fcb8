//! Status of the tier for operators.

use crate::{Application, Tier};
use serde_json::{Value, json};

/// Returns the status of the tier, the reply to `GET /control/tier`.
pub fn status(tier: &Tier, application: &dyn Application) -> Value {
    let Some(node) = &tier.0 else { return Value::Null };
    let (holder, voter) = (node.holder.borrow(), node.voter.borrow());
    let store_health = node.store_health.borrow();
    let state = holder.state();
    let lease_left = holder.lease_expiry().unwrap_or(0).saturating_sub(node.now());
    let voter_status = voter.as_ref().map(|voter| {
        let lease_holders: Vec<Value> = voter
            .lease_grants
            .holders(node.now())
            .map(|((name, process), rules)| json!({"name": name, "process": format!("{process:016x}"), "acting": rules}))
            .collect();
        json!({"leads": voter.raft_node.is_leader(), "leader": voter.raft_node.leader_id(), "settled": voter.raft_node.has_caught_up(),
            "broken": voter.raft_node.has_failed(), "promises_to": lease_holders})
    });
    json!({
        "yes": true, "name": node.name, "acting": node.applied.get(), "may_act": tier.may_serve(),
        "lease_left_s": lease_left as f64 / 1e9, "fault": *node.apply_error.borrow(),
        "version": state.active.as_ref().map(|document| document.version), "by": state.active.as_ref().map(|document| &document.proposer),
        "coming": state.pending.as_ref().map(|document| document.version), "workers_out": *node.offline_workers.borrow(),
        "settings": state.active.as_ref().map(|document| &document.body.settings),
        "history": state.history, "voter": voter_status,
        "lists": {"mine": application.worker_list().version, "newest": node.list_versions.get().0, "oldest": node.list_versions.get().1},
        "counts": {"lapses": node.counters.lapses.get(), "words_pushed_out": node.counters.messages_dropped.get(),
            "link_faults": node.counters.link_errors.get(), "links": node.counters.open_links.get(),
            "history_unwritten": node.counters.history_unwritten.get(), "drains_by_hearsay": node.counters.leaving_learned.get(),
            "lists_asked_anew": node.counters.list_refetches.get(),
            "store_failures": store_health.failures, "store_recoveries": store_health.recoveries},
    })
}
