//! The voter: its log, its lease grants and its Raft node, the recovery after a failure of its log, and the takeover by
//! another process of the same scheduler.

use crate::Node;
use crate::config::TierConfig;
use crate::link::accept_links;
use crate::voter_error::VoterError;
use loomlb_consensus::Nanos;
use loomlb_consensus::lease_grants::{LeaseGrants, ProcessId};
use loomlb_consensus::link_protocol::LinkMessage;
use loomlb_consensus::log_store::{LogFile, LogStore};
use loomlb_consensus::raft_node::{self, RaftNode, TICK_NANOS};
use loomlb_consensus::raft_node_error::RaftNodeError;
use loomlb_consensus::state::Command;
use loomlb_consensus::store_error::StoreError;
use loomlb_consensus::timing::LeaseTiming;
use loomlb_consensus::worker_lists::ListReports;
use loomlb_sockets::{OnAddressInUse, OpenRetry};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, spawn_local};

/// Interval of attempts to take over the vote from another process of this scheduler.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(300);

/// State of a voter.
#[derive(Debug)]
pub(crate) struct Voter {
    pub(crate) raft_node: RaftNode,
    pub(crate) lease_grants: LeaseGrants,
    pub(crate) lists: ListReports,
    pub(crate) log: LogFile,
    /// The task that accepts links, once it is started.
    accept_task: Option<AbortHandle>,
    /// Whether a persistent error has stopped the voter until the program is restarted.
    needs_restart: bool,
}

impl Voter {
    /// Rebuilds the voter from the acknowledged part of its log, as after a restart. Its lease grants are lost, so it
    /// makes no new ones until all earlier ones have expired.
    fn recover(&mut self, node: &Node) -> Result<(), RaftNodeError> {
        let loaded = self.log.recover()?;
        let voter_id = node.voter_id.unwrap_or_default();
        self.raft_node = RaftNode::new(voter_id, node.config.voters.len() as u64, loaded)?;
        self.lease_grants = LeaseGrants::new(node.timing, node.now());
        Ok(())
    }
}

impl Drop for Voter {
    fn drop(&mut self) {
        if let Some(accept_task) = &self.accept_task {
            accept_task.abort();
        }
    }
}

/// Opens the log and the listener of a voter.
pub(crate) async fn open_voter(
    config: &TierConfig,
    name: &str,
    voter_id: u64,
    timing: LeaseTiming,
    now: Nanos,
    opening: &OpenRetry,
) -> Result<(TcpListener, Voter), VoterError> {
    let missing_key = |key| VoterError::MissingKey { key, name: name.into() };
    let address = config.listen.ok_or_else(|| missing_key("listen"))?;
    let store = config.store.as_ref().ok_or_else(|| missing_key("store"))?;
    let names: Vec<&str> = config.voters.iter().map(|v| &*v.name).collect();
    let owner = format!("{name} of {}", names.join(", "));
    let (log, loaded) = LogFile::open(store, &owner, config.found)?;
    let bind = async || TcpListener::bind(address).await;
    let opened = opening.open("listen", address, OnAddressInUse::Fail, bind).await;
    let listener = opened.map_err(|e| VoterError::Listen { address, source: e.into() })?;
    let raft_node = RaftNode::new(voter_id, config.voters.len() as u64, loaded)?;
    let lease_grants = LeaseGrants::new(timing, now);
    let voter = Voter {
        raft_node,
        lease_grants,
        lists: ListReports::default(),
        log,
        accept_task: None,
        needs_restart: false,
    };
    Ok((listener, voter))
}

/// Starts the tasks of an open voter.
pub(crate) fn start(node: &Rc<Node>, listener: TcpListener) {
    let accept_task = spawn_local(accept_links(Rc::clone(node), listener)).abort_handle();
    if let Some(voter) = node.voter.borrow_mut().as_mut() {
        voter.accept_task = Some(accept_task);
    }
    spawn_local(run_voter(Rc::clone(node)));
}

/// Becomes the voter of this scheduler once another process of it has ended or the log can be opened.
pub(crate) async fn take_over_vote(node: Rc<Node>, voter_id: u64) {
    let mut delay = TAKEOVER_INTERVAL;
    loop {
        tokio::time::sleep(delay).await;
        delay = TAKEOVER_INTERVAL;
        match open_voter(&node.config, &node.name, voter_id, node.timing, node.now(), &OpenRetry::start())
            .await
        {
            Ok((listener, voter)) => {
                tracing::info!("tier: this process is now the voter");
                node.store_health.borrow_mut().record_recovery(node.uptime());
                *node.voter.borrow_mut() = Some(voter);
                return start(&node, listener);
            }
            Err(e) if e.is_held_by_another_process() => {}
            Err(e) if e.is_transient() => {
                record_store_failure(&node, &io::Error::from(e));
                delay = node.store_health.borrow().time_until_retry(node.uptime());
            }
            Err(e) => {
                let e = io::Error::from(e);
                return tracing::error!("tier: {e}; not voting until this process is restarted");
            }
        }
    }
}

/// Counts a transient failure of the store and logs the first one of a run.
fn record_store_failure(node: &Node, e: &io::Error) {
    if node.store_health.borrow_mut().record_failure(node.uptime()) {
        tracing::error!("tier.store: {e}; the voter is stopped until the store can be written again");
    }
}

/// Handles a message to this voter. Returns the reply, if there is one.
pub(crate) fn handle_message(
    node: &Node,
    sender: &ProcessId,
    sender_voter_id: Option<u64>,
    message: LinkMessage,
) -> Option<LinkMessage> {
    let now = node.now();
    let mut slot = node.voter.borrow_mut();
    let Voter { raft_node, lease_grants, lists, .. } = slot.as_mut()?;
    let reply = match message {
        LinkMessage::LeaseRequest { number, rules, index, list } => {
            lists.record(now, sender, &list);
            let state = raft_node.state();
            let granted = raft_node.has_caught_up()
                && rules.is_some_and(|rules| lease_grants.try_grant(now, sender, number, rules, state));
            let newer_state = (state.index > index).then(|| Box::new(state.clone()));
            return Some(LinkMessage::LeaseResponse {
                number,
                granted,
                newer_state,
                lists: lists.summarize(now),
            });
        }
        LinkMessage::Propose(command @ Command::Propose { .. }) => {
            raft_node.propose(&command);
            None
        }
        LinkMessage::Ready(version) => {
            sender_voter_id.into_iter().for_each(|voter_id| raft_node.record_ready(voter_id, version));
            None
        }
        LinkMessage::Raft(bytes) => {
            let message =
                raft_node::decode_message(&bytes).filter(|message| Some(message.from) == sender_voter_id);
            message.into_iter().for_each(|message| raft_node.step(message));
            None
        }
        _ => None,
    };
    process_pending(node, &mut slot);
    reply
}

/// Processes the pending work of the Raft node and queues its messages to other voters.
fn process_pending(node: &Node, slot: &mut Option<Voter>) {
    let Some(voter) = slot else { return };
    match voter.raft_node.process_pending(&mut voter.log) {
        Ok(messages) => {
            for message in messages {
                node.enqueue(message.to as usize - 1, LinkMessage::Raft(raft_node::encode_message(&message)));
            }
        }
        Err(e) => handle_failure(node, voter, e),
    }
}

/// Logs an error that stops the voter, either until its store recovers or until a restart.
fn handle_failure(node: &Node, voter: &mut Voter, e: RaftNodeError) {
    voter.needs_restart = !e.is_transient();
    let e = io::Error::from(e);
    if voter.needs_restart {
        tracing::error!("tier.store: {e}; the voter is stopped until it is restarted");
    } else {
        record_store_failure(node, &e);
    }
}

/// Recovers a stopped voter if a retry is due. Returns false if another process has taken over the log, so that this
/// process is no longer the voter.
fn try_to_recover(node: &Node, voter: &mut Voter) -> bool {
    if voter.needs_restart || !node.store_health.borrow().is_retry_due(node.uptime()) {
        return true;
    }
    match voter.recover(node) {
        Ok(()) => node.store_health.borrow_mut().record_recovery(node.uptime()),
        Err(RaftNodeError::Store(e @ StoreError::Taken { .. })) => {
            tracing::warn!("tier.store: {e}; waiting until the store is released");
            return false;
        }
        Err(e) => handle_failure(node, voter, e),
    }
    true
}

/// Runs the periodic work of a voter: recovery, ticks and the resulting messages.
pub(crate) async fn run_voter(node: Rc<Node>) {
    let mut ticks = tokio::time::interval(Duration::from_nanos(TICK_NANOS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut slot = node.voter.borrow_mut();
        let Some(voter) = slot.as_mut() else { return };
        if voter.raft_node.has_failed() && !try_to_recover(&node, voter) {
            *slot = None;
            if let Some(voter_id) = node.voter_id {
                spawn_local(take_over_vote(Rc::clone(&node), voter_id));
            }
            return;
        }
        if let Some(lasted) = node.store_health.borrow_mut().take_ended_run(node.uptime()) {
            tracing::info!("tier.store: can be written again after {lasted:?}; the voter is running");
        }
        tick_raft_node(&node, voter);
        process_pending(&node, &mut slot);
    }
}

/// Ticks the Raft node and tells the leader which version this voter is ready for.
fn tick_raft_node(node: &Node, voter: &mut Voter) {
    let Voter { raft_node, lease_grants, .. } = voter;
    raft_node.tick();
    let ready =
        lease_grants.ready_version(node.now(), raft_node.state()).filter(|_| raft_node.has_caught_up());
    if let Some(version) = ready {
        match raft_node.leader_id() {
            0 => {}
            leader if node.voter_id == Some(leader) => raft_node.record_ready(leader, version),
            leader => node.enqueue(leader as usize - 1, LinkMessage::Ready(version)),
        }
    }
}
