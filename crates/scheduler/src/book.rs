//! Book: the table of open flows with their forwards, and the counters.

use super::quotas::QuotaGrant;
use bytes::Bytes;
use loomlb_policy::{Nanos, Outcome, RequestId, WorkerId};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

/// The final answer to a flow, whatever protocol it came by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// What a target made for it.
    Served(Bytes),
    /// A new try does no harm, after this time if one is given.
    Refused(Nanos),
    /// Failed, with no word on its effect.
    Failed,
}

/// What is passed on to a target unchanged.
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// The client's id of the flow.
    pub correlation: Bytes,
    /// The method.
    pub method: Bytes,
    /// The path with its query.
    pub path: Bytes,
    /// The key by which targets drop repeats.
    pub key: Option<Bytes>,
    /// The kind of the body.
    pub content_type: Option<Bytes>,
    /// The body.
    pub body: Bytes,
}

/// How far a forward has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its last byte is not written: it cannot have run.
    Unsent,
    /// Written; the target has not taken it yet.
    Written,
    /// The target has answered 202.
    Taken,
    /// Over, as far as the module was told.
    Ended,
}

/// One attempt of a flow at a target.
#[derive(Debug)]
pub struct Forward {
    /// The target.
    pub target: WorkerId,
    /// Its name, as its call-backs give it.
    pub host: Rc<str>,
    /// When the module asked for it.
    pub opened: Nanos,
    /// How far it has come.
    pub stage: Stage,
    /// When its first byte left, if it has.
    pub written: Option<Nanos>,
    /// It has ended, and is known never to have run.
    pub never_ran: bool,
    /// When its target told that the job started.
    pub started: Option<Nanos>,
    /// The task that writes it and reads the 202.
    pub task: Option<AbortHandle>,
    /// The last try to connect for it failed on this machine, which is no evidence about its target.
    pub local_fault: bool,
    /// Told once the target has been told to drop it, while that is under way.
    pub undoing: Option<Rc<Notify>>,
}

/// A request that was taken and not answered, or has forwards that have not ended.
#[derive(Debug)]
pub struct Flow {
    /// What to pass on.
    pub work: Rc<Work>,
    /// When the client stops waiting.
    pub deadline: Nanos,
    /// Where the answer goes; none once it has gone there.
    pub reply: Option<oneshot::Sender<Answer>>,
    /// The forwards, by their numbers.
    pub forwards: Vec<Forward>,
    /// What it holds of its tenant's shares.
    pub holding: Option<QuotaGrant>,
    /// Its class, by the number that it had when the flow was taken.
    pub class: usize,
    /// Forwards that it may have.
    pub most: u32,
    /// For how long after the first one its key has a repeat dropped, where its class has keys.
    pub window: Option<Nanos>,
    /// Slots that it takes at a target.
    pub slots: f64,
    /// Seconds that its jobs ran, as far as they have ended.
    pub ran: f64,
}

/// Counts of what came in, was sent, and was answered.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Connections accepted.
    pub connections: u64,
    /// Flows taken.
    pub flows: u64,
    /// Flows answered with what a target made.
    pub served: u64,
    /// Flows refused.
    pub refused: u64,
    /// Flows failed.
    pub failed: u64,
    /// Flows whose client left before its answer.
    pub gone: u64,
    /// Requests whose client had left before they could be taken.
    pub gone_early: u64,
    /// Flows that the guard answered at their deadline.
    pub overdue: u64,
    /// Offers for which there was no room.
    pub turned_back: u64,
    /// Plain answers to bad input, by status.
    pub bad: [u64; BAD.len()],
    /// Attempts that the module asked for.
    pub forwards: u64,
    /// Ends of attempts, by outcome.
    pub outcomes: [u64; OUTCOMES.len()],
    /// Attempts given up after their 202.
    pub undone: u64,
    /// Connections to targets opened.
    pub dials: u64,
    /// Connections to targets used again.
    pub reused: u64,
    /// Probes sent.
    pub probes: u64,
    /// Call-backs of targets.
    pub call_backs: u64,
    /// Call-backs of a forward that is not out.
    pub call_backs_unknown: u64,
    /// Lists of targets taken in.
    pub lists: u64,
    /// Calls of discovery that failed.
    pub list_faults: u64,
    /// Entries of lists whose zone or kind the settings do not know.
    pub list_strange: u64,
    /// Calls of staff that were answered with yes.
    pub calls: u64,
    /// Calls of staff that were answered with no, by status; 503 comes last.
    pub calls_no: [u64; CALLS_NO.len()],
    /// Callers cut off without a whole call, for time or for room.
    pub calls_cut: u64,
    /// Connections taken over from another process.
    pub adopted: u64,
    /// Connections passed on to another process.
    pub passed_on: u64,
    /// Call-backs passed on to the process that has their flow.
    pub call_backs_passed: u64,
    /// Configurations read again.
    pub reloads: u64,
    /// Configurations read again and found faulty.
    pub reload_faults: u64,
    /// Datagrams of peers.
    pub peers_in: u64,
    /// Datagrams sent to peers.
    pub peers_out: u64,
    /// Connections closed that said nothing.
    pub silent: u64,
    /// Connections that could not be accepted.
    pub accept_faults: u64,
    /// Panics of the decision module.
    pub panics: u64,
    /// Of the connections that could not be accepted: those that were gone by then.
    pub accept_gone: u64,
    /// Connects tried again, as they failed on this machine or on the way.
    pub dials_again: u64,
    /// Connects given up that failed on this machine to the end.
    pub dials_local: u64,
}

/// Statuses of plain answers to bad input.
const BAD: [u16; 6] = [400, 404, 405, 408, 413, 431];
/// Statuses of the noes at the second address.
const CALLS_NO: [u16; 7] = [400, 404, 405, 408, 413, 431, 503];
const OUTCOMES: [Outcome; 9] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Full,
    Outcome::Timeout,
    Outcome::NoConnection,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::Rejected,
];

impl Counters {
    /// Counts a plain answer to bad input.
    pub fn count_invalid_request(&mut self, status: u16) {
        BAD.iter().zip(&mut self.bad).filter(|b| *b.0 == status).for_each(|b| *b.1 += 1);
    }

    /// Counts the answer to a call of staff.
    pub fn count_control_call(&mut self, status: u16) {
        self.calls += u64::from(status == 200);
        CALLS_NO.iter().zip(&mut self.calls_no).filter(|c| *c.0 == status).for_each(|c| *c.1 += 1);
    }

    /// Counts the end of a forward.
    pub fn count_outcome(&mut self, outcome: Outcome) {
        OUTCOMES.iter().zip(&mut self.outcomes).filter(|o| *o.0 == outcome).for_each(|o| *o.1 += 1);
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let c = self;
        write!(f, "in: connections={} flows={} turned_back={}", c.connections, c.flows, c.turned_back)?;
        for (status, count) in BAD.iter().zip(c.bad) {
            write!(f, " bad_{status}={count}")?;
        }
        write!(f, " silent={} accept_faults={}; answered: served={}", c.silent, c.accept_faults, c.served)?;
        write!(f, " refused={} failed={} gone={} gone_early={}", c.refused, c.failed, c.gone, c.gone_early)?;
        write!(f, " overdue={}", c.overdue)?;
        write!(f, "; sent: forwards={}", c.forwards)?;
        for (outcome, count) in OUTCOMES.iter().zip(c.outcomes) {
            write!(f, " {outcome:?}={count}")?;
        }
        write!(f, " undone={} dials={} reused={} probes={}", c.undone, c.dials, c.reused, c.probes)?;
        write!(f, "; call_backs={} call_backs_unknown={}", c.call_backs, c.call_backs_unknown)?;
        write!(f, "; lists={} list_faults={} list_strange={}", c.lists, c.list_faults, c.list_strange)?;
        write!(f, "; calls={} calls_cut={}", c.calls, c.calls_cut)?;
        for (status, count) in CALLS_NO.iter().zip(c.calls_no).filter(|n| n.1 > 0) {
            write!(f, " calls_{status}={count}")?;
        }
        write!(f, "; adopted={} passed_on={}", c.adopted, c.passed_on)?;
        write!(f, " call_backs_passed={}", c.call_backs_passed)?;
        write!(f, "; reloads={} reload_faults={}", c.reloads, c.reload_faults)?;
        write!(f, "; peers: in={} out={}; panics={}", c.peers_in, c.peers_out, c.panics)?;
        write!(f, "; accept_gone={}", c.accept_gone)?;
        write!(f, " dials_again={} dials_local={}", c.dials_again, c.dials_local)
    }
}

/// The table of flows and the counters.
#[derive(Debug, Default)]
pub struct Book {
    flows: HashMap<RequestId, Flow>,
    by_correlation: HashMap<Bytes, RequestId>,
    last: u64,
    /// Flows that are owed an answer.
    owed: usize,
    /// Bytes of the bodies of open flows.
    body_bytes: usize,
    /// The counters.
    pub counters: Counters,
}

impl Book {
    /// Enters a flow under a fresh number.
    pub fn insert(&mut self, flow: Flow) -> RequestId {
        self.last += 1;
        let id = RequestId(self.last);
        self.counters.flows += 1;
        self.owed += 1;
        self.body_bytes += flow.work.body.len();
        self.by_correlation.insert(flow.work.correlation.clone(), id);
        self.flows.insert(id, flow);
        id
    }

    /// A flow.
    pub fn flow(&mut self, id: RequestId) -> Option<&mut Flow> {
        self.flows.get_mut(&id)
    }

    /// A forward.
    pub fn forward(&mut self, id: RequestId, n: u32) -> Option<&mut Forward> {
        self.flows.get_mut(&id)?.forwards.get_mut(n as usize)
    }

    /// The flow with this id of the client's.
    pub fn find_by_correlation_id(&self, correlation: &[u8]) -> Option<RequestId> {
        self.by_correlation.get(correlation).copied()
    }

    /// Takes out where the answer goes; none if the flow is answered.
    pub fn take_reply(&mut self, id: RequestId) -> Option<oneshot::Sender<Answer>> {
        let reply = self.flows.get_mut(&id)?.reply.take()?;
        self.owed -= 1;
        Some(reply)
    }

    /// Forgets a flow that is answered and has no forward out; what it held of shares, and the seconds its jobs ran.
    #[must_use]
    pub fn remove_if_finished(&mut self, id: RequestId) -> Option<(QuotaGrant, f64)> {
        let over = |f: &Flow| f.reply.is_none() && f.forwards.iter().all(|x| x.stage == Stage::Ended);
        if !self.flows.get(&id).is_some_and(over) {
            return None;
        }
        let flow = self.flows.remove(&id)?;
        self.body_bytes -= flow.work.body.len();
        self.by_correlation.remove(&flow.work.correlation);
        flow.holding.map(|holding| (holding, flow.ran))
    }

    /// Whether a flow of a class is in the table.
    pub fn has_flow_of_class(&self, class: usize) -> bool {
        self.flows.values().any(|f| f.class == class)
    }

    /// Slots that forwards hold at targets, by these.
    pub fn slots_by_host(&self) -> HashMap<Rc<str>, f64> {
        let mut held = HashMap::new();
        for flow in self.flows.values() {
            for forward in flow.forwards.iter().filter(|f| f.stage != Stage::Ended) {
                *held.entry(Rc::clone(&forward.host)).or_insert(0.0) += flow.slots;
            }
        }
        held
    }

    /// Flows that are owed an answer.
    pub fn unanswered(&self) -> usize {
        self.owed
    }

    /// Flows in the table.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// No flow is in the table.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Bytes that the bodies of open flows take.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }
}
