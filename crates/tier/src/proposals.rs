//! Proposals: sent again until their outcome is known, and what staff are told of it.

use crate::voter::voter_hears;
use crate::{Application, Node, POLL_INTERVAL, Tier, random_u64};
use loomlb_consensus::document::DocumentBody;
use loomlb_consensus::link_protocol::LinkMessage;
use loomlb_consensus::state::{Command, ProposalOutcome};
use loomlb_consensus::{Nanos, Version};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::Duration;

/// A call at the second address waits so long for its version to be in force.
const CALL: Duration = Duration::from_millis(900);
/// Proposals of this scheduler that wait for their outcome.
const PROPOSALS: usize = 64;

/// A proposal without an outcome.
#[derive(Debug)]
pub(crate) struct Waiting {
    command: Command,
    /// When it was said last.
    said: Option<Nanos>,
}

impl Waiting {
    /// The proposal, if it is to be said now. Each time that a voter hears it is an entry of the log with the whole document,
    /// so it is not said again with every question of who waits for it.
    fn due(&mut self, now: Nanos, pause: Nanos) -> Option<Command> {
        if self.said.is_some_and(|said| now < said + pause) {
            return None;
        }
        self.said = Some(now);
        Some(self.command.clone())
    }
}

/// Sends this scheduler's proposals again until their outcome is known; proposes its own file where there is nothing yet.
pub(crate) fn settle(node: &Node, application: &dyn Application, turn: usize) {
    let empty = node.holder.borrow().state().newest_version() == 0;
    if empty && node.proposals.borrow().is_empty() {
        let body = DocumentBody::new(&application.settings(), BTreeSet::new());
        propose(node, 0, body);
    }
    let seen = node.holder.borrow();
    let mut proposals = node.proposals.borrow_mut();
    proposals.retain(|token, _| seen.state().outcome(*token).is_none());
    drop(seen);
    let waiting: Vec<Command> =
        proposals.values_mut().filter_map(|p| p.due(node.now(), node.timing.renewal_interval)).collect();
    drop(proposals);
    let voter = turn % node.outboxes.len();
    for command in waiting {
        if node.voter_id == Some(voter as u64 + 1) {
            voter_hears(
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

/// Proposes a document; its token.
fn propose(node: &Node, base: Version, body: DocumentBody) -> Option<u64> {
    let token = random_u64().ok()?;
    let mut proposals = node.proposals.borrow_mut();
    if proposals.len() >= PROPOSALS {
        return None;
    }
    let command = Command::Propose { token, proposer: node.name.clone(), base_version: base, body };
    proposals.insert(token, Waiting { command, said: None });
    node.renew_now.notify_one();
    Some(token)
}

/// What has become of a proposal, and whether its version is in force here, within a call's time.
async fn outcome(node: &Node, token: u64) -> Option<(ProposalOutcome, bool)> {
    let end = tokio::time::Instant::now() + CALL;
    loop {
        let (known, active) = node
            .read_state(|seen| (seen.outcome(token).cloned(), seen.active.as_ref().map_or(0, |d| d.version)));
        let over = tokio::time::Instant::now() >= end;
        match known {
            Some(ProposalOutcome::Committed(version)) if version > active && !over => {}
            Some(ProposalOutcome::Committed(version)) => {
                return Some((ProposalOutcome::Committed(version), version <= active));
            }
            Some(other) => return Some((other, true)),
            None if over => {
                node.proposals.borrow_mut().remove(&token);
                return None;
            }
            None => {}
        }
        node.renew_now.notify_one();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The status and the words for what has become of a proposal.
fn reply(found: Option<(ProposalOutcome, bool)>) -> (u16, Value) {
    match found {
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

/// Staff propose settings at the second address.
pub async fn propose_settings(
    tier: &Tier,
    application: &dyn Application,
    text: &[u8],
    base: Option<Version>,
) -> (u16, Value) {
    let Some(node) = &tier.0 else { return (404, Value::Null) };
    let settings: Value = match serde_json::from_slice(text) {
        Ok(settings) => settings,
        Err(e) => return (400, json!({"yes": false, "why": format!("settings: {e}")})),
    };
    // A file is turned down whole before anybody hears of it.
    let whole = DocumentBody::new(&settings, BTreeSet::new()).settings_for(&application.settings());
    if let Err(e) = application.validate_settings(whole) {
        return (400, json!({"yes": false, "why": e}));
    }
    let (out, newest) = node.read_state(|seen| {
        (
            seen.newest_document().map(|d| d.body.workers_out.clone()).unwrap_or_default(),
            seen.newest_version(),
        )
    });
    let base = base.unwrap_or(newest);
    match propose(node, base, DocumentBody::new(&settings, out)) {
        Some(token) => reply(outcome(node, token).await),
        None => (503, json!({"yes": false, "why": "too many proposals wait"})),
    }
}

/// Staff order a worker out or back at the second address: it is so everywhere, or the call says that it is not yet.
pub async fn set_worker_offline(
    tier: &Tier,
    application: &dyn Application,
    host: &str,
    out: bool,
) -> (u16, Value) {
    let Some(node) = &tier.0 else { return (404, Value::Null) };
    if out {
        // Nobody is harmed by fewer workers: here it is out at once.
        application.set_worker_offline(host, true);
        node.offline_workers.borrow_mut().insert(host.into());
    }
    let end = tokio::time::Instant::now() + CALL;
    loop {
        let latest = node.read_state(|seen| seen.newest_document().cloned());
        let Some(mut latest) = latest else { return reply(None) };
        let base = latest.version;
        let changes = if out {
            latest.body.workers_out.insert(host.into())
        } else {
            latest.body.workers_out.remove(host)
        };
        let found = match changes.then(|| propose(node, base, latest.body)) {
            None => Some((ProposalOutcome::Unchanged(base), true)),
            Some(None) => None,
            Some(Some(token)) => outcome(node, token).await,
        };
        match found {
            Some((ProposalOutcome::StaleBase(_), _)) if tokio::time::Instant::now() < end => {
                tokio::time::sleep(POLL_INTERVAL).await
            }
            found => return reply(found),
        }
    }
}
