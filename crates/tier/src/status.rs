//! What staff see of the tier.

use crate::{Application, Tier};
use serde_json::{Value, json};

/// What staff see of the tier.
pub fn status(tier: &Tier, around: &dyn Application) -> Value {
    let Some(on) = &tier.0 else { return Value::Null };
    let (holder, voter) = (on.holder.borrow(), on.voter.borrow());
    let health = on.store_health.borrow();
    let seen = holder.state();
    let left = holder.lease_expiry().unwrap_or(0).saturating_sub(on.now());
    let vote = voter.as_ref().map(|v| {
        let holders: Vec<Value> = v
            .promises
            .holders(on.now())
            .map(|((name, process), acting)| json!({"name": name, "process": format!("{process:016x}"), "acting": acting}))
            .collect();
        json!({"leads": v.agreement.is_leader(), "leader": v.agreement.leader_id(), "settled": v.agreement.has_caught_up(),
            "broken": v.agreement.has_failed(), "promises_to": holders})
    });
    json!({
        "yes": true, "name": on.name, "acting": on.applied.get(), "may_act": tier.may_serve(),
        "lease_left_s": left as f64 / 1e9, "fault": *on.fault.borrow(),
        "version": seen.active.as_ref().map(|d| d.version), "by": seen.active.as_ref().map(|d| &d.proposer),
        "coming": seen.pending.as_ref().map(|d| d.version), "workers_out": *on.out.borrow(),
        "settings": seen.active.as_ref().map(|d| &d.body.settings),
        "history": seen.history, "voter": vote,
        "lists": {"mine": around.worker_list().version, "newest": on.lists.get().0, "oldest": on.lists.get().1},
        "counts": {"lapses": on.counts.lapses.get(), "words_pushed_out": on.counts.crowded.get(),
            "link_faults": on.counts.faults.get(), "links": on.counts.links.get(),
            "history_unwritten": on.counts.unwritten.get(), "drains_by_hearsay": on.counts.hearsay.get(),
            "lists_asked_anew": on.counts.asked_again.get(),
            "store_failures": health.failures, "store_recoveries": health.recoveries},
    })
}
