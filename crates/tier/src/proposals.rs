//! Proposals: sent again until their outcome is known, and the replies to operators.

use crate::voter::handle_message;
use crate::{Application, Node, POLL_INTERVAL, Tier, random_u64};
use loomlb_consensus::document::DocumentBody;
use loomlb_consensus::link_protocol::LinkMessage;
use loomlb_consensus::state::{Command, ProposalOutcome};
use loomlb_consensus::{Nanos, Version};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::Duration;

/// Longest time that an admin request waits for its version to be in force.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// Limit of proposals of this scheduler without an outcome.
const MAX_PENDING_PROPOSALS: usize = 64;

/// A proposal without an outcome.
#[derive(Debug)]
pub(crate) struct PendingProposal {
    command: Command,
    /// Time of the last send.
    last_sent: Option<Nanos>,
}

impl PendingProposal {
    /// Returns the proposal if it is due and marks it as sent. It is sent once per interval, however often the lease is
    /// renewed meanwhile, because each copy that a voter receives becomes a log entry with the whole document.
    fn take_due(&mut self, now: Nanos, interval: Nanos) -> Option<Command> {
        if self.last_sent.is_some_and(|last_sent| now < last_sent + interval) {
            return None;
        }
        self.last_sent = Some(now);
        Some(self.command.clone())
    }
}

/// Sends the proposals that are due and drops those whose outcome is known. Proposes the settings of this scheduler if
/// nothing has been agreed on yet.
pub(crate) fn resend_proposals(node: &Node, application: &dyn Application, round: usize) {
    let nothing_agreed = node.holder.borrow().state().newest_version() == 0;
    if nothing_agreed && node.proposals.borrow().is_empty() {
        let body = DocumentBody::new(&application.settings(), BTreeSet::new());
        add_proposal(node, 0, body);
    }
    let holder = node.holder.borrow();
    let mut proposals = node.proposals.borrow_mut();
    proposals.retain(|token, _| holder.state().outcome(*token).is_none());
    drop(holder);
    let due_commands: Vec<Command> = proposals
        .values_mut()
        .filter_map(|proposal| proposal.take_due(node.now(), node.timing.renewal_interval))
        .collect();
    drop(proposals);
    let voter = round % node.outboxes.len();
    for command in due_commands {
        if node.voter_id == Some(voter as u64 + 1) {
            handle_message(
                node,
                &(node.name.clone(), node.process_id),
                node.voter_id,
                LinkMessage::Propose(command),
            );
        } else {
            node.enqueue(voter, LinkMessage::Propose(command));
        }
    }
}

/// Adds a proposal. Returns its token, or `None` without randomness or at the limit of proposals.
fn add_proposal(node: &Node, base: Version, body: DocumentBody) -> Option<u64> {
    let token = random_u64().ok()?;
    let mut proposals = node.proposals.borrow_mut();
    if proposals.len() >= MAX_PENDING_PROPOSALS {
        return None;
    }
    let command = Command::Propose { token, proposer: node.name.clone(), base_version: base, body };
    proposals.insert(token, PendingProposal { command, last_sent: None });
    node.renew_now.notify_one();
    Some(token)
}

/// Waits up to [`REQUEST_TIMEOUT`] for the outcome of a proposal. Returns it and whether its version is in force here.
async fn wait_for_outcome(node: &Node, token: u64) -> Option<(ProposalOutcome, bool)> {
    let deadline = tokio::time::Instant::now() + REQUEST_TIMEOUT;
    loop {
        let (outcome, active) = node.read_state(|state| {
            (state.outcome(token).cloned(), state.active.as_ref().map_or(0, |document| document.version))
        });
        let timed_out = tokio::time::Instant::now() >= deadline;
        match outcome {
            Some(ProposalOutcome::Committed(version)) if version > active && !timed_out => {}
            Some(ProposalOutcome::Committed(version)) => {
                return Some((ProposalOutcome::Committed(version), version <= active));
            }
            Some(other) => return Some((other, true)),
            None if timed_out => {
                node.proposals.borrow_mut().remove(&token);
                return None;
            }
            None => {}
        }
        node.renew_now.notify_one();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the HTTP status and body for the outcome of a proposal.
fn outcome_reply(outcome: Option<(ProposalOutcome, bool)>) -> (u16, Value) {
    match outcome {
        Some((ProposalOutcome::Committed(version), true)) => {
            (200, json!({"yes": true, "version": version, "in_force": true}))
        }
        Some((ProposalOutcome::Committed(version), false)) => {
            (202, json!({"yes": true, "version": version, "in_force": false}))
        }
        Some((ProposalOutcome::Unchanged(version), _)) => {
            (200, json!({"yes": true, "version": version, "in_force": true, "why": "it says the same"}))
        }
        Some((ProposalOutcome::StaleBase(version), _)) => (
            409,
            json!({"yes": false, "version": version, "why": format!("version {version} came before it, or is coming")}),
        ),
        Some((ProposalOutcome::RequiresRestart(keys), _)) => (
            422,
            json!({"yes": false, "keys": keys, "why": "these keys cannot change while the tier runs: restart it with them"}),
        ),
        None => {
            (503, json!({"yes": false, "why": "no majority of the voters has agreed in time; it may yet"}))
        }
    }
}

/// Handles an admin request that proposes settings. Returns the HTTP status and body.
pub async fn propose_settings(
    tier: &Tier,
    application: &dyn Application,
    settings_json: &[u8],
    base: Option<Version>,
) -> (u16, Value) {
    let Some(node) = &tier.0 else { return (404, Value::Null) };
    let settings: Value = match serde_json::from_slice(settings_json) {
        Ok(settings) => settings,
        Err(e) => return (400, json!({"yes": false, "why": format!("settings: {e}")})),
    };
    // Invalid settings are rejected before anything is proposed.
    let full_settings = DocumentBody::new(&settings, BTreeSet::new()).settings_for(&application.settings());
    if let Err(e) = application.validate_settings(full_settings) {
        return (400, json!({"yes": false, "why": e}));
    }
    let (out, newest) = node.read_state(|state| {
        (
            state.newest_document().map(|document| document.body.workers_out.clone()).unwrap_or_default(),
            state.newest_version(),
        )
    });
    let base = base.unwrap_or(newest);
    match add_proposal(node, base, DocumentBody::new(&settings, out)) {
        Some(token) => outcome_reply(wait_for_outcome(node, token).await),
        None => (503, json!({"yes": false, "why": "too many proposals wait"})),
    }
}

/// Handles an admin request that takes a worker offline or puts it back online in the whole tier. Returns the HTTP status
/// and body, which says whether the change is in force.
pub async fn set_worker_offline(
    tier: &Tier,
    application: &dyn Application,
    worker: &str,
    offline: bool,
) -> (u16, Value) {
    let Some(node) = &tier.0 else { return (404, Value::Null) };
    if offline {
        // Using fewer workers is always safe, so this scheduler stops using the worker at once.
        application.set_worker_offline(worker, true);
        node.offline_workers.borrow_mut().insert(worker.into());
    }
    let deadline = tokio::time::Instant::now() + REQUEST_TIMEOUT;
    loop {
        let latest = node.read_state(|state| state.newest_document().cloned());
        let Some(mut latest) = latest else { return outcome_reply(None) };
        let base = latest.version;
        let is_change = if offline {
            latest.body.workers_out.insert(worker.into())
        } else {
            latest.body.workers_out.remove(worker)
        };
        let outcome = match is_change.then(|| add_proposal(node, base, latest.body)) {
            None => Some((ProposalOutcome::Unchanged(base), true)),
            Some(None) => None,
            Some(Some(token)) => wait_for_outcome(node, token).await,
        };
        match outcome {
            Some((ProposalOutcome::StaleBase(_), _)) if tokio::time::Instant::now() < deadline => {
                tokio::time::sleep(POLL_INTERVAL).await
            }
            outcome => return outcome_reply(outcome),
        }
    }
}
