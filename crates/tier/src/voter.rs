//! The voter: its file, its promises, its part in the agreement, how it comes back after a failure of its file, and the
//! process that takes over its seat.

use crate::Node;
use crate::config::TierConfig;
use crate::link::accept;
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

/// Pause before another look whether the process that votes has ended.
const SUCCEED: Duration = Duration::from_millis(300);

/// What a voter has beside its lease.
#[derive(Debug)]
pub(crate) struct Voter {
    pub(crate) agreement: RaftNode,
    pub(crate) promises: LeaseGrants,
    pub(crate) lists: ListReports,
    pub(crate) log: LogFile,
    /// The task that accepts links of other schedulers, once it runs.
    accepting: Option<AbortHandle>,
    /// An error has ended its part that no retry mends; it stays out until the program is started again.
    stopped: bool,
}

impl Voter {
    /// Reads what its file has acknowledged and starts over from that, as after a kill: what it promised is forgotten,
    /// so it grants nothing new until all of that has ended.
    fn recover(&mut self, node: &Node) -> Result<(), RaftNodeError> {
        let loaded = self.log.recover()?;
        let number = node.voter_id.unwrap_or_default();
        self.agreement = RaftNode::new(number, node.config.voters.len() as u64, loaded)?;
        self.promises = LeaseGrants::new(node.timing, node.now());
        Ok(())
    }
}

impl Drop for Voter {
    fn drop(&mut self) {
        if let Some(accepting) = &self.accepting {
            accepting.abort();
        }
    }
}

/// Takes a voter's file and address.
pub(crate) async fn vote_as(
    config: &TierConfig,
    name: &str,
    number: u64,
    timing: LeaseTiming,
    now: Nanos,
    opening: &OpenRetry,
) -> Result<(TcpListener, Voter), VoterError> {
    let missing = |key| VoterError::MissingKey { key, name: name.into() };
    let at = config.listen.ok_or_else(|| missing("listen"))?;
    let store = config.store.as_ref().ok_or_else(|| missing("store"))?;
    let names: Vec<&str> = config.voters.iter().map(|v| &*v.name).collect();
    let owner = format!("{name} of {}", names.join(", "));
    let (log, loaded) = LogFile::open(store, &owner, config.found)?;
    let bind = async || TcpListener::bind(at).await;
    let opened = opening.open("listen", at, OnAddressInUse::Fail, bind).await;
    let listener = opened.map_err(|e| VoterError::Listen { at, source: e.into() })?;
    let agreement = RaftNode::new(number, config.voters.len() as u64, loaded)?;
    let promises = LeaseGrants::new(timing, now);
    let voter =
        Voter { agreement, promises, lists: ListReports::default(), log, accepting: None, stopped: false };
    Ok((listener, voter))
}

/// Starts the tasks of a voter that has its file and this listener.
pub(crate) fn start(node: &Rc<Node>, listener: TcpListener) {
    let accepting = spawn_local(accept(Rc::clone(node), listener)).abort_handle();
    if let Some(voter) = node.voter.borrow_mut().as_mut() {
        voter.accepting = Some(accepting);
    }
    spawn_local(vote(Rc::clone(node)));
}

/// Takes the seat of this scheduler once it is free: another process of it has ended, or its file can be opened.
pub(crate) async fn succeed(node: Rc<Node>, number: u64) {
    let mut pause = SUCCEED;
    loop {
        tokio::time::sleep(pause).await;
        pause = SUCCEED;
        match vote_as(&node.config, &node.name, number, node.timing, node.now(), &OpenRetry::start()).await {
            Ok((listener, voter)) => {
                tracing::info!("tier: this process votes now");
                node.store_health.borrow_mut().recovered(node.uptime());
                *node.voter.borrow_mut() = Some(voter);
                return start(&node, listener);
            }
            Err(e) if e.is_held_elsewhere() => {}
            Err(e) if e.is_transient() => {
                store_failed(&node, &io::Error::from(e));
                pause = node.store_health.borrow().pause(node.uptime());
            }
            Err(e) => {
                let e = io::Error::from(e);
                return tracing::error!("tier: {e}; this process does not vote");
            }
        }
    }
}

/// Counts a failure that passes by itself, and tells of the first of a run.
fn store_failed(node: &Node, e: &io::Error) {
    if node.store_health.borrow_mut().failed(node.uptime()) {
        tracing::error!("tier.store: {e}; this voter takes part no more until it can be written again");
    }
}

/// What this voter makes of a word, and its reply.
pub(crate) fn voter_hears(
    node: &Node,
    who: &ProcessId,
    voter: Option<u64>,
    word: LinkMessage,
) -> Option<LinkMessage> {
    let now = node.now();
    let mut held = node.voter.borrow_mut();
    let Voter { agreement, promises, lists, .. } = held.as_mut()?;
    let reply = match word {
        LinkMessage::LeaseRequest { number, rules: acting, index, list } => {
            lists.record(now, who, &list);
            let state = agreement.state();
            let yes = agreement.has_caught_up()
                && acting.is_some_and(|acting| promises.try_grant(now, who, number, acting, state));
            let news = (state.index > index).then(|| Box::new(state.clone()));
            return Some(LinkMessage::LeaseResponse {
                number,
                granted: yes,
                newer_state: news,
                lists: lists.summarize(now),
            });
        }
        LinkMessage::Propose(command @ Command::Propose { .. }) => {
            agreement.propose(&command);
            None
        }
        LinkMessage::Ready(version) => {
            voter.into_iter().for_each(|voter| agreement.record_ready(voter, version));
            None
        }
        LinkMessage::Raft(bytes) => {
            let message = raft_node::decode_message(&bytes).filter(|m| Some(m.from) == voter);
            message.into_iter().for_each(|message| agreement.step(message));
            None
        }
        _ => None,
    };
    turn(node, &mut held);
    reply
}

/// Has the voter do what it has to, and sends what it has for others.
fn turn(node: &Node, held: &mut Option<Voter>) {
    let Some(voter) = held else { return };
    match voter.agreement.process_pending(&mut voter.log) {
        Ok(messages) => {
            for message in messages {
                node.enqueue(message.to as usize - 1, LinkMessage::Raft(raft_node::encode_message(&message)));
            }
        }
        Err(e) => failed(node, voter, e),
    }
}

/// The voter takes part no more: until its file recovers, or for good.
fn failed(node: &Node, voter: &mut Voter, e: RaftNodeError) {
    voter.stopped = !e.is_transient();
    let e = io::Error::from(e);
    if voter.stopped {
        tracing::error!("tier.store: {e}; this voter takes part no more until it is started anew");
    } else {
        store_failed(node, &e);
    }
}

/// Has a voter whose file failed come back, once it is time for another attempt. False if its file is another process's
/// by now, so that the seat is lost.
fn try_to_recover(node: &Node, voter: &mut Voter) -> bool {
    if voter.stopped || !node.store_health.borrow().retry_is_due(node.uptime()) {
        return true;
    }
    match voter.recover(node) {
        Ok(()) => node.store_health.borrow_mut().recovered(node.uptime()),
        Err(RaftNodeError::Store(e @ StoreError::Taken { .. })) => {
            tracing::warn!("tier.store: {e}; waiting until it is free");
            return false;
        }
        Err(e) => failed(node, voter, e),
    }
    true
}

/// A voter's own time.
pub(crate) async fn vote(node: Rc<Node>) {
    let mut ticks = tokio::time::interval(Duration::from_nanos(TICK_NANOS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut held = node.voter.borrow_mut();
        let Some(voter) = held.as_mut() else { return };
        if voter.agreement.has_failed() && !try_to_recover(&node, voter) {
            *held = None;
            if let Some(number) = node.voter_id {
                spawn_local(succeed(Rc::clone(&node), number));
            }
            return;
        }
        if let Some(lasted) = node.store_health.borrow_mut().ended_run(node.uptime()) {
            tracing::info!("tier.store: can be written again after {lasted:?}; this voter takes part");
        }
        tick(&node, voter);
        turn(&node, &mut held);
    }
}

/// Lets time pass in the agreement, and tells the leader what this voter is ready for.
fn tick(node: &Node, voter: &mut Voter) {
    let Voter { agreement, promises, .. } = voter;
    agreement.tick();
    let ready = promises.ready_version(node.now(), agreement.state()).filter(|_| agreement.has_caught_up());
    if let Some(version) = ready {
        match agreement.leader_id() {
            0 => {}
            leader if node.voter_id == Some(leader) => agreement.record_ready(leader, version),
            leader => node.enqueue(leader as usize - 1, LinkMessage::Ready(version)),
        }
    }
}
