//! Book: the table of open flows with their forwards, and the counters.

use super::quotas::QuotaGrant;
use bytes::Bytes;
use loomlb_policy::{Nanos, Outcome, RequestId, WorkerId};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

/// The final answer to a flow, independent of the client's protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The result that a target returned.
    Served(Bytes),
    /// The request was not executed; the client may retry after this time (0: no advice).
    Refused(Nanos),
    /// The request failed; whether it was executed is unknown.
    Failed,
}

/// The parts of a client's request that are forwarded to a target unchanged.
#[derive(Clone, Debug, Default)]
pub struct JobRequest {
    /// The client's id for the flow (`X-Correlation-Id`).
    pub correlation_id: Bytes,
    /// The request method.
    pub method: Bytes,
    /// The path with its query.
    pub path: Bytes,
    /// The key by which targets recognize and drop repeats.
    pub idempotency_key: Option<Bytes>,
    /// The media type of the body.
    pub content_type: Option<Bytes>,
    /// The body.
    pub body: Bytes,
}

impl JobRequest {
    /// The memory that it takes, in bytes.
    pub fn size(&self) -> usize {
        let optional = |part: &Option<Bytes>| part.as_ref().map_or(0, Bytes::len);
        self.correlation_id.len()
            + self.method.len()
            + self.path.len()
            + optional(&self.idempotency_key)
            + optional(&self.content_type)
            + self.body.len()
    }
}

/// The progress of a forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardStage {
    /// Not written completely: the target cannot have run the job.
    Unsent,
    /// Written completely; the target has not answered yet.
    Written,
    /// The target has accepted the job with status 202.
    Accepted,
    /// Ended; the decision module has been given the outcome.
    Ended,
}

/// One attempt to run a flow at a target.
#[derive(Debug)]
pub struct Forward {
    /// The target.
    pub target: WorkerId,
    /// The target's host name, as used in its call-backs.
    pub host: Rc<str>,
    /// When the decision module requested the forward.
    pub requested_at: Nanos,
    /// The progress of the forward.
    pub stage: ForwardStage,
    /// When the first byte was written, if any was.
    pub first_byte_at: Option<Nanos>,
    /// The forward has ended and certainly did not run.
    pub never_ran: bool,
    /// When the target reported that the job started.
    pub started_at: Option<Nanos>,
    /// The task that writes the forward and reads the target's answer.
    pub task: Option<AbortHandle>,
    /// The last connect attempt failed on this machine, which is no evidence about the target.
    pub local_fault: bool,
    /// Set when the target is called to cancel the forward; notified when that call has ended.
    pub cancellation_done: Option<Rc<Notify>>,
}

/// An admitted request that is not yet answered or has forwards that have not ended.
#[derive(Debug)]
pub struct Flow {
    /// The request to forward.
    pub job: Rc<JobRequest>,
    /// When the client stops waiting.
    pub deadline: Nanos,
    /// Channel for the answer; `None` once the flow is answered.
    pub reply: Option<oneshot::Sender<Answer>>,
    /// The forwards, indexed by attempt number.
    pub forwards: Vec<Forward>,
    /// The quota that the flow occupies.
    pub quota_grant: Option<QuotaGrant>,
    /// Index of the flow's class in the settings at admission.
    pub class: usize,
    /// Maximum number of forwards.
    pub max_forwards: u32,
    /// How long after the first forward targets drop repeats of its key; `None` for classes without keys.
    pub repeat_window: Option<Nanos>,
    /// Slots that the job occupies at a target.
    pub slots: f64,
    /// Total run time of the forwards that have ended, in seconds.
    pub run_seconds: f64,
    /// Whether its client was sent the result of a target.
    pub served: bool,
}

impl Flow {
    /// Whether any of its forwards may have run.
    pub fn may_have_run(&self) -> bool {
        self.forwards.iter().any(|forward| forward.first_byte_at.is_some() && !forward.never_ran)
    }
}

/// Counts of requests received, forwarded and answered. The fields are named as they are printed.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Accepted client connections.
    pub connections: u64,
    /// Admitted flows.
    pub flows: u64,
    /// Flows answered with the result of a target.
    pub served: u64,
    /// Flows refused.
    pub refused: u64,
    /// Flows failed.
    pub failed: u64,
    /// Flows whose client disconnected before the answer.
    pub gone: u64,
    /// Requests whose client disconnected before admission.
    pub gone_early: u64,
    /// Flows failed at their deadline, as the decision module had not answered them.
    pub overdue: u64,
    /// Offers rejected for lack of capacity or quota.
    pub turned_back: u64,
    /// Error replies to invalid requests, indexed like `INVALID_REQUEST_STATUSES`.
    pub bad: [u64; INVALID_REQUEST_STATUSES.len()],
    /// Forwards requested by the decision module.
    pub forwards: u64,
    /// Ended forwards, indexed like `OUTCOMES`.
    pub outcomes: [u64; OUTCOMES.len()],
    /// Forwards cancelled after their target had accepted them.
    pub undone: u64,
    /// Attempts to open a new connection to a target.
    pub dials: u64,
    /// Reuses of an idle connection to a target.
    pub reused: u64,
    /// Probes sent.
    pub probes: u64,
    /// Call-backs received.
    pub call_backs: u64,
    /// Call-backs that match no open forward.
    pub call_backs_unknown: u64,
    /// Target lists received from discovery.
    pub lists: u64,
    /// Failed calls to discovery.
    pub list_faults: u64,
    /// List entries whose zone or kind is not in the settings.
    pub list_strange: u64,
    /// Control calls that succeeded.
    pub calls: u64,
    /// Control calls that failed, indexed like `CONTROL_ERROR_STATUSES`.
    pub calls_no: [u64; CONTROL_ERROR_STATUSES.len()],
    /// Control connections closed before a complete call, by timeout or to make room.
    pub calls_cut: u64,
    /// Connections received from another process of this scheduler.
    pub adopted: u64,
    /// Connections handed over to another process of this scheduler.
    pub passed_on: u64,
    /// Call-backs passed to the process that has their flow.
    pub call_backs_passed: u64,
    /// Successful configuration reloads.
    pub reloads: u64,
    /// Failed configuration reloads.
    pub reload_faults: u64,
    /// Datagrams received from peers.
    pub peers_in: u64,
    /// Datagrams sent to peers.
    pub peers_out: u64,
    /// Connections closed without having sent a request.
    pub silent: u64,
    /// Failed accepts of client connections.
    pub accept_faults: u64,
    /// Panics of the decision module.
    pub panics: u64,
    /// Failed accepts that were retried at once, as the connection was already closed.
    pub accept_gone: u64,
    /// Connects retried after a failure on this machine or on the way.
    pub dials_again: u64,
    /// Connects abandoned because of a failure or limit on this machine.
    pub dials_local: u64,
    /// Connections closed in the middle of a request as others needed its memory.
    pub memory_evictions: u64,
}

/// Statuses of error replies to invalid requests.
const INVALID_REQUEST_STATUSES: [u16; 6] = [400, 404, 405, 408, 413, 431];
/// Statuses of failed calls to the control address.
const CONTROL_ERROR_STATUSES: [u16; 7] = [400, 404, 405, 408, 413, 431, 503];
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
    /// Counts a reply if its status marks an invalid request.
    pub fn count_invalid_request(&mut self, status: u16) {
        INVALID_REQUEST_STATUSES
            .iter()
            .zip(&mut self.bad)
            .filter(|entry| *entry.0 == status)
            .for_each(|entry| *entry.1 += 1);
    }

    /// Counts the reply to a control call.
    pub fn count_control_call(&mut self, status: u16) {
        self.calls += u64::from(status == 200);
        CONTROL_ERROR_STATUSES
            .iter()
            .zip(&mut self.calls_no)
            .filter(|entry| *entry.0 == status)
            .for_each(|entry| *entry.1 += 1);
    }

    /// Counts the end of a forward.
    pub fn count_outcome(&mut self, outcome: Outcome) {
        OUTCOMES
            .iter()
            .zip(&mut self.outcomes)
            .filter(|entry| *entry.0 == outcome)
            .for_each(|entry| *entry.1 += 1);
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let c = self;
        write!(f, "in: connections={} flows={} turned_back={}", c.connections, c.flows, c.turned_back)?;
        for (status, count) in INVALID_REQUEST_STATUSES.iter().zip(c.bad) {
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
        for (status, count) in CONTROL_ERROR_STATUSES.iter().zip(c.calls_no).filter(|entry| entry.1 > 0) {
            write!(f, " calls_{status}={count}")?;
        }
        write!(f, "; adopted={} passed_on={}", c.adopted, c.passed_on)?;
        write!(f, " call_backs_passed={}", c.call_backs_passed)?;
        write!(f, "; reloads={} reload_faults={}", c.reloads, c.reload_faults)?;
        write!(f, "; peers: in={} out={}; panics={}", c.peers_in, c.peers_out, c.panics)?;
        write!(f, "; accept_gone={}", c.accept_gone)?;
        write!(f, " dials_again={} dials_local={}", c.dials_again, c.dials_local)?;
        write!(f, " memory_evictions={}", c.memory_evictions)
    }
}

/// The table of open flows, and the counters.
#[derive(Debug, Default)]
pub struct Book {
    flows: HashMap<RequestId, Flow>,
    by_correlation_id: HashMap<Bytes, RequestId>,
    last_id: u64,
    /// Number of flows without an answer.
    unanswered: usize,
    /// Total size of the requests of open flows.
    request_bytes: usize,
    /// The counters.
    pub counters: Counters,
}

impl Book {
    /// Adds a flow under a new id.
    pub fn insert(&mut self, flow: Flow) -> RequestId {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        self.counters.flows += 1;
        self.unanswered += 1;
        self.request_bytes += flow.job.size();
        self.by_correlation_id.insert(flow.job.correlation_id.clone(), id);
        self.flows.insert(id, flow);
        id
    }

    /// The flow with this id, if it is open.
    pub fn flow(&mut self, id: RequestId) -> Option<&mut Flow> {
        self.flows.get_mut(&id)
    }

    /// The forward with this attempt number, if its flow is open.
    pub fn forward(&mut self, id: RequestId, attempt: u32) -> Option<&mut Forward> {
        self.flows.get_mut(&id)?.forwards.get_mut(attempt as usize)
    }

    /// The open flow that has this id of its client's.
    pub fn find_by_correlation_id(&self, correlation_id: &[u8]) -> Option<RequestId> {
        self.by_correlation_id.get(correlation_id).copied()
    }

    /// Marks a flow as answered and returns the channel for its answer; `None` if it was answered before.
    pub fn take_reply(&mut self, id: RequestId) -> Option<oneshot::Sender<Answer>> {
        let reply = self.flows.get_mut(&id)?.reply.take()?;
        self.unanswered -= 1;
        Some(reply)
    }

    /// Removes and returns a flow that is answered and whose forwards have all ended.
    #[must_use]
    pub fn remove_if_finished(&mut self, id: RequestId) -> Option<Flow> {
        let finished = |flow: &Flow| {
            flow.reply.is_none() && flow.forwards.iter().all(|forward| forward.stage == ForwardStage::Ended)
        };
        if !self.flows.get(&id).is_some_and(finished) {
            return None;
        }
        let flow = self.flows.remove(&id)?;
        self.request_bytes -= flow.job.size();
        self.by_correlation_id.remove(&flow.job.correlation_id);
        Some(flow)
    }

    /// The open flows.
    pub fn flows(&self) -> impl Iterator<Item = &Flow> {
        self.flows.values()
    }

    /// Whether any open flow has this class.
    pub fn has_flow_of_class(&self, class: usize) -> bool {
        self.flows.values().any(|flow| flow.class == class)
    }

    /// Slots occupied by open forwards, by host name of the target.
    pub fn slots_by_host(&self) -> HashMap<Rc<str>, f64> {
        let mut slots_by_host = HashMap::new();
        for flow in self.flows.values() {
            for forward in flow.forwards.iter().filter(|forward| forward.stage != ForwardStage::Ended) {
                *slots_by_host.entry(Rc::clone(&forward.host)).or_insert(0.0) += flow.slots;
            }
        }
        slots_by_host
    }

    /// Number of flows without an answer.
    pub fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// Number of open flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether there is no open flow.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Total size of the requests of open flows, in bytes.
    pub fn request_bytes(&self) -> usize {
        self.request_bytes
    }
}
