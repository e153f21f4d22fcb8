//! Send: forwards flows to targets, cancels forwards, probes targets, and pools the connections to them.

use super::book::{Forward, ForwardStage, JobRequest};
use super::discovery::Target;
use super::http::{Connection, Message, MessageKind, ReadError};
use super::timers::TimerEvent;
use super::{Scheduler, relay, route};
use loomlb_policy::{AttemptResult, Event, LoadReport, LoadReporting, Nanos, Outcome, RequestId, WorkerId};
use loomlb_sockets::error_kind::ConnectErrorKind;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Time limit for writing a call (a cancellation or a probe), and for reading its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest body that is copied behind its head, so that both leave in one write.
const MAX_COPIED_BODY_BYTES: usize = 4 * 1024;
/// Longest part of a load report that is read.
const MAX_LOAD_REPORT_BYTES: usize = 4 * 1024;
/// How long the pool acts on what it has observed of a target's connections.
const OBSERVATION_LIFETIME: Nanos = 60_000_000_000;
/// Interval between checks of the idle connections.
const SWEEP_INTERVAL: Nanos = 250_000_000;
/// How long a connection stays unused after a rejection, and after any answer while targets are seen to send duplicate
/// answers: a duplicate may arrive some milliseconds late, and must not be taken for the answer to the next job.
const REUSE_DELAY: Nanos = 50_000_000;
/// Ticks before the end of a key's repeat window after which no repeat is sent, to allow for its way to the target. The
/// decision module uses the same margin.
const REPEAT_MARGIN_TICKS: Nanos = 4;

/// Advice to operators when this machine cannot open connections.
const LOCAL_SHORTAGE_ADVICE: &str =
    "check its open files, memory and local ports; jobs are refused, but no worker is held responsible";

/// A connection to a target, counted by the pool until it is dropped.
#[derive(Debug)]
struct TargetConnection {
    http: Connection,
    _permit: Permit,
    /// How long it was idle before its current use; 0 for a new connection.
    idle_before_use: Nanos,
}

/// Counts a connection in the pool from before it is dialled until it is closed.
#[derive(Debug)]
struct Permit(Rc<Cell<usize>>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    idle_since: Nanos,
    /// Whether its last answer is known to be no rejection, which could come a second time.
    last_was_accepted: bool,
}

/// The pool of connections to targets: keeps the idle ones and counts all.
#[derive(Debug)]
pub struct Pool {
    idle: RefCell<HashMap<WorkerId, Vec<IdleConnection>>>,
    open_count: Rc<Cell<usize>>,
    /// Maximum number of open connections, those of the scheduler's other processes included.
    limit: usize,
    /// How long an idle connection is kept. Well below the time after which targets close it: a request that crosses
    /// with such a close counts as one that may have run.
    idle_timeout: Cell<Nanos>,
    /// When a target was last seen to send more than one answer to a request.
    duplicate_answer_at: Cell<Option<Nanos>>,
    /// Number of cancellations that are not sent yet.
    unsent_cancellations: Cell<usize>,
    /// Whether the last new connection failed on this machine, which is logged once.
    local_shortage: Cell<bool>,
    /// Shorter idle timeouts of targets whose connections broke early, and when each was learned.
    shortened_idle_timeouts: RefCell<HashMap<WorkerId, (Nanos, Nanos)>>,
}

impl Pool {
    /// An empty pool for up to `limit` connections to targets that close idle ones after `keepalive`.
    pub fn new(limit: usize, keepalive: Nanos) -> Self {
        let (idle, open_count, shortened_idle_timeouts) =
            (RefCell::default(), Rc::default(), RefCell::default());
        let (duplicate_answer_at, unsent_cancellations, local_shortage) =
            (Cell::default(), Cell::default(), Cell::default());
        Pool {
            idle,
            open_count,
            limit,
            idle_timeout: Cell::new(keepalive / 4 * 3),
            duplicate_answer_at,
            unsent_cancellations,
            local_shortage,
            shortened_idle_timeouts,
        }
    }

    /// Shortens the idle timeout of a target, one of whose connections broke when it was reused after being idle for
    /// this long: something on the path had dropped it, and would drop others like it. The next ones are kept for half
    /// of that time.
    fn shorten_idle_timeout(&self, worker: WorkerId, idle: Nanos, now: Nanos) {
        let idle_timeout = self.idle_timeout(worker, now).min(idle / 2);
        self.shortened_idle_timeouts.borrow_mut().insert(worker, (idle_timeout, now));
    }

    /// How long an idle connection to a target is kept. A shortened timeout expires after [`OBSERVATION_LIFETIME`].
    fn idle_timeout(&self, worker: WorkerId, now: Nanos) -> Nanos {
        let shortened = self
            .shortened_idle_timeouts
            .borrow()
            .get(&worker)
            .filter(|learned| now < learned.1 + OBSERVATION_LIFETIME)
            .map(|learned| learned.0);
        shortened.unwrap_or(self.idle_timeout.get())
    }

    /// Sets the time after which targets close idle connections.
    pub fn set_keepalive(&self, keepalive: Nanos) {
        self.idle_timeout.set(keepalive / 4 * 3);
    }

    /// Number of cancellations that are not sent yet.
    pub fn unsent_cancellations(&self) -> usize {
        self.unsent_cancellations.get()
    }

    /// How long a connection stays unused after its last answer.
    fn reuse_delay(&self, now: Nanos) -> Nanos {
        if self.duplicate_answer_at.get().is_some_and(|at| now < at + OBSERVATION_LIFETIME) {
            REUSE_DELAY
        } else {
            0
        }
    }

    /// Whether an idle connection can be reused: its target has neither closed it nor sent anything.
    fn is_reusable(&self, connection: &mut TargetConnection, now: Nanos) -> bool {
        let open = connection.http.poll_input();
        if connection.http.has_input() {
            self.duplicate_answer_at.set(Some(now));
        }
        open && !connection.http.has_input()
    }

    /// Number of connections to targets, idle ones included.
    pub fn open_count(&self) -> usize {
        self.open_count.get()
    }

    /// Removes all idle connections, and returns the targets, descriptors, and since when they are idle of those that can be
    /// used at once.
    pub fn take_all_idle(&self, now: Nanos) -> Vec<(WorkerId, OwnedFd, Nanos)> {
        let idle = std::mem::take(&mut *self.idle.borrow_mut());
        let all = idle
            .into_iter()
            .flat_map(|(worker, connections)| connections.into_iter().map(move |idle| (worker, idle)));
        let usable = all.filter(|(_, idle)| idle.last_was_accepted || now >= idle.idle_since + REUSE_DELAY);
        usable
            .filter_map(|(worker, idle)| {
                Some((worker, idle.connection.http.descriptor().ok()?, idle.idle_since))
            })
            .collect()
    }

    /// Adds an idle connection received from another process of this scheduler.
    pub fn adopt(&self, worker: WorkerId, stream: TcpStream, idle_since: Nanos) {
        let connection = TargetConnection {
            http: Connection::new(stream),
            _permit: self.count_connection(),
            idle_before_use: 0,
        };
        self.put_idle(worker, connection, idle_since, true);
    }

    /// Counts one more connection.
    fn count_connection(&self) -> Permit {
        self.open_count.set(self.open_count.get() + 1);
        Permit(Rc::clone(&self.open_count))
    }

    /// Closes the idle connections to a target.
    pub fn close_idle(&self, worker: WorkerId) {
        self.idle.borrow_mut().remove(&worker);
    }

    /// Closes connections that were idle for too long or cannot be reused.
    fn sweep(&self, now: Nanos) {
        self.idle.borrow_mut().retain(|worker, connections| {
            let idle_timeout = self.idle_timeout(*worker, now);
            connections.retain_mut(|idle| {
                now < idle.idle_since + idle_timeout && self.is_reusable(&mut idle.connection, now)
            });
            !connections.is_empty()
        });
    }

    /// Removes and returns the most recently used connection to a target that can be reused.
    fn take_idle(&self, worker: WorkerId, now: Nanos) -> Option<TargetConnection> {
        let (idle_timeout, reuse_delay) = (self.idle_timeout(worker, now), self.reuse_delay(now));
        let is_due = |idle: &IdleConnection| {
            now >= idle.idle_since + if idle.last_was_accepted { reuse_delay } else { REUSE_DELAY }
        };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&worker)?;
        while let Some(index) = connections.iter().rposition(is_due) {
            let mut last = connections.remove(index);
            if now < last.idle_since + idle_timeout && self.is_reusable(&mut last.connection, now) {
                last.connection.idle_before_use = now.saturating_sub(last.idle_since).max(1);
                return Some(last.connection);
            }
        }
        None
    }

    fn put_idle(
        &self,
        worker: WorkerId,
        connection: TargetConnection,
        idle_since: Nanos,
        last_was_accepted: bool,
    ) {
        let idle = IdleConnection { connection, idle_since, last_was_accepted };
        self.idle.borrow_mut().entry(worker).or_default().push(idle);
    }

    /// Makes room for one more connection, by closing the one that is idle for longest if the limit is reached. False
    /// if there is no room.
    fn make_room(&self, in_other_processes: usize) -> bool {
        if self.open_count.get() + in_other_processes < self.limit {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].idle_since);
        oldest.map(|connections| connections.remove(0)).is_some()
    }
}

/// Why a connection to a target could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum ConnectError {
    /// This machine or process lacked a descriptor, memory or a port: no evidence about the target.
    #[error("no connection could be opened on this machine")]
    Local,
    /// The target was not reached in time.
    #[error("the target could not be reached")]
    Target,
}

impl ConnectError {
    /// The outcome of a forward that failed for this reason.
    fn outcome(self) -> Outcome {
        match self {
            ConnectError::Local => Outcome::NotSent,
            ConnectError::Target => Outcome::NoConnection,
        }
    }
}

/// Takes an idle connection to a target, or opens a new one. While it is being opened, `observe(true)` is called when a
/// connect attempt has failed on this machine, and `observe(false)` when one starts or has failed on the way.
async fn connect(
    scheduler: &Scheduler,
    worker: WorkerId,
    target: &Target,
    observe: impl Fn(bool),
) -> Result<TargetConnection, ConnectError> {
    if let Some(connection) = scheduler.pool.take_idle(worker, scheduler.clock.now()) {
        scheduler.book.borrow_mut().counters.reused += 1;
        return Ok(connection);
    }
    if !scheduler.pool.make_room(scheduler.upgrade.held_by_others().outbound) {
        tracing::warn!(
            target = &*target.host,
            "no connection opened: all connections to workers that limits.sockets allows are in use"
        );
        scheduler.book.borrow_mut().counters.dials_local += 1;
        return Err(ConnectError::Local);
    }
    scheduler.book.borrow_mut().counters.dials += 1;
    let permit = scheduler.pool.count_connection();
    let timeout = Duration::from_nanos(scheduler.settings().network.dial_timeout);
    let local_fault = Cell::new(false);
    let progress = |fault: Option<ConnectErrorKind>| {
        scheduler.book.borrow_mut().counters.dials_again += u64::from(fault.is_some());
        local_fault.set(fault == Some(ConnectErrorKind::Local));
        observe(local_fault.get());
    };
    let connected = tokio::time::timeout(timeout, loomlb_sockets::connect(target.dial, progress)).await;
    if let Ok(Ok(stream)) = connected {
        scheduler.pool.local_shortage.set(false);
        return Ok(TargetConnection { http: Connection::new(stream), _permit: permit, idle_before_use: 0 });
    }
    if !local_fault.get() {
        return Err(ConnectError::Target);
    }
    scheduler.book.borrow_mut().counters.dials_local += 1;
    if !scheduler.pool.local_shortage.replace(true) {
        tracing::warn!(
            target = &*target.host,
            "no connection could be opened on this machine: {LOCAL_SHORTAGE_ADVICE}"
        );
    }
    Err(ConnectError::Local)
}

/// Starts a forward that the decision module requested. It is written at most once.
pub fn start_forward(scheduler: &Rc<Scheduler>, id: RequestId, worker: WorkerId, timeout: Nanos) {
    let now = scheduler.clock.now();
    let target = scheduler.target_group.target(worker);
    let mut book = scheduler.book.borrow_mut();
    let Some(flow) = book.flow(id) else {
        return tracing::error!(
            flow = id.0,
            "the decision module sent a flow that has ended; the send is ignored"
        );
    };
    let attempt = flow.forwards.len() as u32;
    let not_allowed = flow.reply.is_none() || attempt >= flow.max_forwards;
    // This forward must not overtake the cancellation of an earlier one.
    let one_at_a_time = !scheduler.settings().policy.limits.hedging;
    let earlier = flow.forwards.iter().filter(|forward| one_at_a_time || forward.target == worker);
    let cancellations: Vec<Rc<Notify>> =
        earlier.filter_map(|forward| forward.cancellation_done.clone()).collect();
    let job = Rc::clone(&flow.job);
    let expires_at =
        if timeout == 0 { flow.deadline } else { flow.deadline.min(now.saturating_add(timeout)) };
    flow.forwards.push(Forward {
        target: worker,
        host: target.as_ref().map_or_else(|| "".into(), |target| Rc::clone(&target.host)),
        requested_at: now,
        stage: ForwardStage::Unsent,
        first_byte_at: None,
        never_ran: false,
        started_at: None,
        task: None,
        local_fault: false,
        cancellation_done: None,
    });
    book.counters.forwards += 1;
    drop(book);
    let Some(target) = target.filter(|_| !not_allowed) else {
        return relay::forward_ended(scheduler, id, attempt, Outcome::NotSent, None);
    };
    tracing::debug!(flow = id.0, target = &*target.host, attempt = attempt, "forwarded");
    scheduler.timers.schedule(expires_at, TimerEvent::ForwardTimeout(id, attempt));
    let forward_task = ForwardTask { scheduler: Rc::clone(scheduler), id, attempt, worker, expires_at };
    let task = tokio::task::spawn_local(async move {
        for cancellation_done in cancellations {
            cancellation_done.notified().await;
            // Wakes the next forward that waits for the same cancellation.
            cancellation_done.notify_one();
        }
        forward_task.run(&target, job).await;
    });
    if let Some(forward) = scheduler.book.borrow_mut().forward(id, attempt) {
        forward.task = Some(task.abort_handle());
    }
}

/// The conditions checked immediately before the first byte of a forward is written.
#[derive(Clone, Copy, Debug)]
pub struct SendCheck {
    /// The flow is not answered, and its client is still connected.
    pub awaits_answer: bool,
    /// When the forward times out.
    pub expires_at: Nanos,
    /// The latest time to send a repeat of the flow's key, if an earlier forward may have run: later, the target may no
    /// longer recognize it as a repeat.
    pub repeat_until: Option<Nanos>,
    /// The target accepts new jobs, as far as is known.
    pub target_accepts_jobs: bool,
    /// The target's process is the one that was chosen. One started since then is cold, and the decision module has not
    /// charged the job to it.
    pub same_incarnation: bool,
    /// This scheduler may act: it holds a lease, or needs none.
    pub may_act: bool,
}

/// Why a forward was not sent. The log shows the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSentReason {
    /// The flow is answered, or its client has disconnected.
    Gone,
    /// The forward has timed out.
    Late,
    /// The target is draining, or an operator took it offline.
    Leaving,
    /// The target's process was restarted.
    Restarted,
    /// The repeat window of the flow's key is over.
    Window,
    /// This scheduler holds no lease.
    Lease,
}

impl SendCheck {
    /// Whether the forward may be sent at `now`; otherwise the first reason against it.
    pub fn evaluate(&self, now: Nanos) -> Result<(), NotSentReason> {
        let reasons = [
            (!self.awaits_answer, NotSentReason::Gone),
            (now >= self.expires_at, NotSentReason::Late),
            (!self.target_accepts_jobs, NotSentReason::Leaving),
            (!self.same_incarnation, NotSentReason::Restarted),
            (self.repeat_until.is_some_and(|until| now >= until), NotSentReason::Window),
            (!self.may_act, NotSentReason::Lease),
        ];
        reasons.iter().find(|reason| reason.0).map_or(Ok(()), |reason| Err(reason.1))
    }
}

/// The answer to a forward, read completely.
struct AnswerRead {
    /// The outcome with the load report; `None` if the target has accepted the job.
    ended: Option<(Outcome, Option<LoadReport>)>,
    status: u16,
    /// Whether the connection may carry another request.
    keep_alive: bool,
}

/// Why the answer to a forward was not read completely.
#[derive(Debug, thiserror::Error)]
enum AnswerError {
    /// The target has accepted the job; the rest of its answer did not arrive in time.
    #[error("the answer of a target that accepted the job was cut short")]
    CutShortAfterAcceptance,
    /// No answer was received.
    #[error("no answer: {0:?}")]
    Unanswered(ReadError),
}

impl From<ReadError> for AnswerError {
    fn from(error: ReadError) -> AnswerError {
        AnswerError::Unanswered(error)
    }
}

/// The task of one forward.
struct ForwardTask {
    scheduler: Rc<Scheduler>,
    id: RequestId,
    attempt: u32,
    worker: WorkerId,
    expires_at: Nanos,
}

impl ForwardTask {
    /// Opens a connection, writes the request unless a condition for sending no longer holds, and reads the answer.
    async fn run(&self, target: &Target, job: Rc<JobRequest>) {
        let scheduler = &self.scheduler;
        let mut connection =
            match connect(scheduler, self.worker, target, |local| self.set_local_fault(local)).await {
                Ok(connection) => connection,
                Err(error) => {
                    return relay::forward_ended(scheduler, self.id, self.attempt, error.outcome(), None);
                }
            };
        let (now, check) = (scheduler.clock.now(), self.send_check(target));
        if let Err(reason) = check.evaluate(now) {
            tracing::debug!(flow = self.id.0, target = &*target.host, attempt = self.attempt, stop = ?reason, "not sent");
            if reason != NotSentReason::Restarted {
                // It was usable just now, and nothing has been written to it.
                scheduler.pool.put_idle(self.worker, connection, now, true);
            }
            return relay::forward_ended(scheduler, self.id, self.attempt, Outcome::NotSent, None);
        }
        if let Some(forward) = scheduler.book.borrow_mut().forward(self.id, self.attempt) {
            forward.first_byte_at = Some(now);
        }
        let time_left = self.expires_at.saturating_sub(now);
        if write_job_request(&mut connection, target, &job, time_left).await.is_err() {
            return relay::forward_ended(scheduler, self.id, self.attempt, Outcome::NoConnection, None);
        }
        self.set_stage(ForwardStage::Written);
        // The flow counts the request until it ends; this task may read the answer for longer.
        drop(job);
        let read = self.read_answer(&mut connection).await;
        let (outcome, report) = match read {
            Ok(AnswerRead { ended, status, keep_alive }) => {
                return_connection(scheduler, self.worker, connection, status, keep_alive);
                match ended {
                    Some(ended) => ended,
                    None => return,
                }
            }
            // Call-backs report on an accepted job, even if its answer was cut short.
            Err(AnswerError::CutShortAfterAcceptance) => return,
            // The request was written completely, so the job may have run.
            Err(AnswerError::Unanswered(error)) => {
                if connection.idle_before_use > 0 && matches!(error, ReadError::Closed) {
                    scheduler.pool.shorten_idle_timeout(
                        self.worker,
                        connection.idle_before_use,
                        scheduler.clock.now(),
                    );
                }
                (Outcome::Reset, None)
            }
        };
        relay::forward_ended(scheduler, self.id, self.attempt, outcome, report);
    }

    /// Reads the answer. Of it only the head counts, so its body is not kept.
    async fn read_answer(&self, connection: &mut TargetConnection) -> Result<AnswerRead, AnswerError> {
        let head = self.while_open(connection.http.read_head(MessageKind::Response)).await?;
        let ended = classify_answer(&self.scheduler, &head);
        let accepted = ended.is_none();
        // The job is accepted even if the rest of the answer is lost; from now on it takes a call to cancel it.
        if accepted {
            self.set_stage(ForwardStage::Accepted);
        }
        match self.while_open(connection.http.read_body_prefix(&head, 0)).await {
            Ok(body) => Ok(AnswerRead { ended, status: head.status, keep_alive: body.keep_alive }),
            Err(_) if accepted => Err(AnswerError::CutShortAfterAcceptance),
            Err(error) => Err(AnswerError::Unanswered(error)),
        }
    }

    /// Reads while the forward is open, and up to twice [`CALL_TIMEOUT`] longer if a call-back ends it before the answer. The
    /// forward's timer aborts this task.
    async fn while_open<T>(&self, read: impl Future<Output = Result<T, ReadError>>) -> Result<T, ReadError> {
        let mut read = std::pin::pin!(read);
        loop {
            match tokio::time::timeout(CALL_TIMEOUT, &mut read).await {
                Ok(read) => return read,
                Err(_) if self.is_open() => {}
                Err(_) => return Err(ReadError::Broken),
            }
        }
    }

    /// Whether the forward has not ended.
    fn is_open(&self) -> bool {
        let mut book = self.scheduler.book.borrow_mut();
        book.forward(self.id, self.attempt).is_some_and(|forward| forward.stage != ForwardStage::Ended)
    }

    /// Collects the conditions for sending, which may have changed while the connection was opened. `chosen` is the
    /// target as it was when the forward started.
    fn send_check(&self, chosen: &Target) -> SendCheck {
        let scheduler = &self.scheduler;
        let mut book = scheduler.book.borrow_mut();
        let flow = book.flow(self.id);
        let margin = REPEAT_MARGIN_TICKS * scheduler.settings().policy.tick;
        let first_sent_at = flow.as_ref().and_then(|flow| {
            flow.forwards
                .iter()
                .filter(|forward| !forward.never_ran)
                .find_map(|forward| forward.first_byte_at)
        });
        let repeat_window = flow.as_ref().and_then(|flow| flow.repeat_window);
        let target = scheduler.target_group.target(self.worker);
        SendCheck {
            awaits_answer: flow.is_some_and(|flow| flow.reply.is_some()),
            expires_at: self.expires_at,
            repeat_until: first_sent_at
                .zip(repeat_window)
                .map(|(first, window)| (first + window).saturating_sub(margin)),
            target_accepts_jobs: target.as_ref().is_some_and(|target| {
                target.accepts_new_jobs() && !scheduler.orders.borrow().is_offline(&target.host)
            }),
            same_incarnation: target.is_some_and(|target| target.is_same_incarnation(chosen)),
            // The lease is checked last, as close to the write as possible.
            may_act: scheduler.tier.authorize_forward(),
        }
    }

    /// Records whether the last connect attempt failed on this machine, in case the forward times out.
    fn set_local_fault(&self, local_fault: bool) {
        if let Some(forward) = self.scheduler.book.borrow_mut().forward(self.id, self.attempt) {
            forward.local_fault = local_fault;
        }
    }

    fn set_stage(&self, stage: ForwardStage) {
        if let Some(forward) = self.scheduler.book.borrow_mut().forward(self.id, self.attempt)
            && forward.stage != ForwardStage::Ended
        {
            forward.stage = stage;
        }
    }
}

/// Returns a connection to the pool after an answer, or closes it if it cannot be reused.
fn return_connection(
    scheduler: &Scheduler,
    worker: WorkerId,
    connection: TargetConnection,
    status: u16,
    keep_alive: bool,
) {
    if connection.http.has_input() {
        scheduler.pool.duplicate_answer_at.set(Some(scheduler.clock.now()));
    }
    let stays = |target: Target| {
        target.leaving_since.is_none() && !scheduler.orders.borrow().is_offline(&target.host)
    };
    let stays = scheduler.target_group.target(worker).is_some_and(stays);
    let accepted = status < 400;
    if keep_alive && !connection.http.has_input() && stays {
        // After a handover the successor process sends the next jobs, so it gets the connection.
        match scheduler.upgrade.successor() {
            None => scheduler.pool.put_idle(worker, connection, scheduler.clock.now(), accepted),
            // The successor would not know that a second answer may follow.
            Some(_) if !accepted => {}
            Some(successor) => {
                let descriptor = connection.http.descriptor().ok();
                drop(connection);
                descriptor.into_iter().for_each(|descriptor| {
                    successor.hand_over_target(scheduler, worker, descriptor, scheduler.clock.now())
                });
            }
        }
    }
}

/// The outcome of a forward by the target's answer, with its load report; `None` if the target has accepted the job.
fn classify_answer(scheduler: &Scheduler, answer: &Message) -> Option<(Outcome, Option<LoadReport>)> {
    let report = answer.header_text("X-Backend-Load").map(|text| parse_report(scheduler, text));
    let unprocessed = answer.header_text("X-Unprocessed") == Some("1");
    match answer.status {
        202 => None,
        503 | 504 if unprocessed => Some((Outcome::Full, report)),
        // 408 and 429 are about the target's time and load; the other 4xx are faults of the request.
        400..=499 if ![408, 429].contains(&answer.status) => Some((Outcome::Rejected, report)),
        _ => Some((Outcome::Error, report)),
    }
}

/// Parses a load report of the form `name=value,name=value`. Invalid values are skipped.
fn parse_report(scheduler: &Scheduler, text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        if let Ok(value) = value.trim().parse() {
            scheduler.settings().network.record_load_value(&mut report, name.trim(), value);
        }
    }
    report
}

/// Writes a forward. A long body is not copied for it: a target that does not receive it would make this process hold it
/// twice.
async fn write_job_request(
    connection: &mut TargetConnection,
    target: &Target,
    job: &JobRequest,
    time_left: Nanos,
) -> io::Result<()> {
    let mut encoded = encode_job_head(target, job, time_left);
    if job.body.len() <= MAX_COPIED_BODY_BYTES {
        encoded.extend_from_slice(&job.body);
        return connection.http.write_all(&encoded).await;
    }
    connection.http.write_all(&encoded).await?;
    connection.http.write_all(&job.body).await
}

fn encode_job_head(target: &Target, job: &JobRequest, time_left: Nanos) -> Vec<u8> {
    let mut encoded = Vec::with_capacity(256 + job.path.len() + job.body.len().min(MAX_COPIED_BODY_BYTES));
    let mut put = |parts: &[&[u8]]| parts.iter().for_each(|part| encoded.extend_from_slice(part));
    put(&[&job.method, b" ", &job.path, b" HTTP/1.1\r\nHost: ", target.dial.to_string().as_bytes()]);
    put(&[b"\r\nX-Correlation-Id: ", &job.correlation_id]);
    put(&[b"\r\nX-Time-Left: ", format!("{:.3}", time_left as f64 / 1e9).as_bytes()]);
    if let Some(key) = &job.idempotency_key {
        put(&[b"\r\nIdempotency-Key: ", key]);
    }
    if let Some(content_type) = &job.content_type {
        put(&[b"\r\nContent-Type: ", content_type]);
    }
    put(&[b"\r\nContent-Length: ", job.body.len().to_string().as_bytes(), b"\r\n\r\n"]);
    encoded
}

/// Cancels a forward at the request of the decision module.
pub fn cancel(scheduler: &Rc<Scheduler>, id: RequestId, attempt: u32) {
    abandon(scheduler, id, attempt, Outcome::Cancelled);
}

/// Cancels a forward that has timed out.
pub fn time_out(scheduler: &Rc<Scheduler>, id: RequestId, attempt: u32) {
    abandon(scheduler, id, attempt, Outcome::Timeout);
}

/// Ends a forward that is still open and notifies its target: before the 202 by closing the connection, after it by a
/// `DELETE` call. A forward that was not written completely has never run.
fn abandon(scheduler: &Rc<Scheduler>, id: RequestId, attempt: u32, reason: Outcome) {
    let mut book = scheduler.book.borrow_mut();
    let Some(forward) = book.forward(id, attempt).filter(|forward| forward.stage != ForwardStage::Ended)
    else {
        return;
    };
    let (worker, stage, task) = (forward.target, forward.stage, forward.task.take());
    let outcome = match (stage, reason) {
        (ForwardStage::Unsent, Outcome::Timeout) if !forward.local_fault => Outcome::NoConnection,
        (ForwardStage::Unsent, _) => Outcome::NotSent,
        _ => reason,
    };
    if stage == ForwardStage::Accepted {
        let cancellation_done = Rc::new(Notify::new());
        forward.cancellation_done = Some(Rc::clone(&cancellation_done));
        book.counters.undone += 1;
        let correlation_id = book.flow(id).map(|flow| flow.job.correlation_id.clone()).unwrap_or_default();
        let scheduler = Rc::clone(scheduler);
        scheduler.pool.unsent_cancellations.set(scheduler.pool.unsent_cancellations.get() + 1);
        tokio::task::spawn_local(async move {
            let path = format!("/jobs/{}", String::from_utf8_lossy(&correlation_id));
            let connection = send_call(&scheduler, worker, "DELETE", &path).await;
            scheduler.pool.unsent_cancellations.set(scheduler.pool.unsent_cancellations.get() - 1);
            if let Ok(connection) = connection {
                let _ = read_call_answer(&scheduler, worker, connection, 0).await;
            }
            cancellation_done.notify_one();
        });
    }
    // Aborting the task closes its connection. After the 202 this ends an answer that may never end by itself.
    if let Some(task) = task {
        task.abort();
    }
    drop(book);
    relay::forward_ended(scheduler, id, attempt, outcome, None);
}

/// Why a call to a target has no answer.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// No connection could be opened.
    #[error("no connection: {0}")]
    Unsent(#[from] ConnectError),
    /// The connection broke, or its input was not a valid answer.
    #[error("no answer: {0:?}")]
    Unanswered(ReadError),
}

impl From<ReadError> for CallError {
    fn from(error: ReadError) -> CallError {
        CallError::Unanswered(error)
    }
}

/// The answer to a call.
struct CallAnswer {
    status: u16,
    /// The start of its body.
    text: Vec<u8>,
}

/// Sends a call, a request without a body, to a target and returns the answer, with at most `max_text` bytes of its body.
async fn call(
    scheduler: &Scheduler,
    worker: WorkerId,
    method: &str,
    path: &str,
    max_text: usize,
) -> Result<CallAnswer, CallError> {
    let connection = send_call(scheduler, worker, method, path).await?;
    Ok(read_call_answer(scheduler, worker, connection, max_text).await?)
}

/// Connects to a target and writes a call.
async fn send_call(
    scheduler: &Scheduler,
    worker: WorkerId,
    method: &str,
    path: &str,
) -> Result<TargetConnection, CallError> {
    let target = scheduler.target_group.target(worker).ok_or(ConnectError::Target)?;
    let mut connection = connect(scheduler, worker, &target, |_| {}).await?;
    let request = format!("{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Length: 0\r\n\r\n", target.dial);
    let written = tokio::time::timeout(CALL_TIMEOUT, connection.http.write_all(request.as_bytes())).await;
    written.map_err(|_| ReadError::Broken)?.map_err(ReadError::from)?;
    Ok(connection)
}

/// Reads the answer to a call and returns the connection to the pool. Keeps at most `max_text` bytes of the body.
async fn read_call_answer(
    scheduler: &Scheduler,
    worker: WorkerId,
    mut connection: TargetConnection,
    max_text: usize,
) -> Result<CallAnswer, ReadError> {
    let read = async {
        let head = connection.http.read_head(MessageKind::Response).await?;
        let body = connection.http.read_body_prefix(&head, max_text).await?;
        Ok::<_, ReadError>((head.status, body))
    };
    let read = tokio::time::timeout(CALL_TIMEOUT, read).await;
    let (status, body) = read.map_err(|_| ReadError::Broken)??;
    return_connection(scheduler, worker, connection, status, body.keep_alive);
    Ok(CallAnswer { status, text: body.kept })
}

/// Probes a target: asks for its load report, or for its health where targets send no reports.
pub fn probe(scheduler: &Rc<Scheduler>, worker: WorkerId) {
    scheduler.book.borrow_mut().counters.probes += 1;
    let (scheduler, sent_at) = (Rc::clone(scheduler), scheduler.clock.now());
    tokio::task::spawn_local(async move {
        let (path, max_text) = match scheduler.settings().policy.load_reporting {
            LoadReporting::None => ("/healthz", 0),
            _ => ("/load", MAX_LOAD_REPORT_BYTES),
        };
        let (outcome, report) = match call(&scheduler, worker, "GET", path, max_text).await {
            Ok(answer) => {
                let outcome = if answer.status == 200 { Outcome::Served } else { Outcome::Error };
                let text = std::str::from_utf8(&answer.text).unwrap_or("").trim();
                (outcome, (!text.is_empty()).then(|| parse_report(&scheduler, text)))
            }
            // No evidence about the target; the decision module does not wait for the end of a probe.
            Err(CallError::Unsent(ConnectError::Local)) => return,
            Err(_) => (Outcome::NoConnection, None),
        };
        let latency = scheduler.clock.now().saturating_sub(sent_at);
        let ended = AttemptResult { outcome, latency, request_finished: false, load_report: report };
        route::handle_event(&scheduler, Event::ProbeEnded { worker, result: ended });
    });
}

/// Closes useless idle connections, and schedules the next sweep.
pub fn sweep_pool(scheduler: &Scheduler) {
    let now = scheduler.clock.now();
    scheduler.pool.sweep(now);
    scheduler.timers.schedule(now + SWEEP_INTERVAL, TimerEvent::PoolSweep);
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::AsyncWriteExt;
    use tokio::net::TcpListener;

    const WORKER: WorkerId = WorkerId(1);
    const SECOND: Nanos = 1_000_000_000;

    /// Adds a connection to the pool that is idle since then, and returns its other end.
    async fn add_idle_connection(pool: &Pool, idle_since: Nanos) -> TcpStream {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        pool.adopt(WORKER, stream, idle_since);
        listener.accept().await.unwrap().0
    }

    /// Guards against taking a late duplicate answer for the answer to the next job.
    #[tokio::test]
    async fn reuse_is_delayed_for_a_minute_after_a_duplicate_answer() {
        let pool = Pool::new(8, 60 * SECOND);
        let _peer = add_idle_connection(&pool, SECOND).await;
        let connection = pool.take_idle(WORKER, SECOND).expect("no delay before any duplicate answer");
        pool.put_idle(WORKER, connection, SECOND, true);
        let mut duplicating_peer = add_idle_connection(&pool, SECOND).await;
        duplicating_peer.write_all(b"HTTP/1.1 202 Accepted\r\n\r\n").await.unwrap();
        while pool.open_count() > 1 {
            tokio::task::yield_now().await;
            pool.sweep(SECOND);
        }
        assert!(pool.take_idle(WORKER, SECOND + REUSE_DELAY - 1).is_none(), "within the delay");
        let connection = pool.take_idle(WORKER, SECOND + REUSE_DELAY).expect("after the delay");
        let later = SECOND + OBSERVATION_LIFETIME;
        pool.put_idle(WORKER, connection, later, true);
        assert!(pool.take_idle(WORKER, later).is_some(), "the observation has expired");
    }

    #[tokio::test]
    async fn idle_connections_closed_by_their_target_are_swept_and_not_reused() {
        let pool = Pool::new(8, 60 * SECOND);
        drop(add_idle_connection(&pool, SECOND).await);
        while pool.open_count() > 0 {
            tokio::task::yield_now().await;
            pool.sweep(SECOND);
        }
        assert!(pool.take_idle(WORKER, SECOND).is_none());
    }
}
