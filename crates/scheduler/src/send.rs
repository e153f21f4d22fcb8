//! Send: forwards to targets, their giving up, probes, and the pool of connections.

use super::book::{Forward, Stage, Work};
use super::discovery::Target;
use super::http::{Fault, Kind, Message, Wire};
use super::wheel::Due;
use super::{Scheduler, relay, route};
use loomlb_policy::{AttemptResult, Event, LoadReport, LoadReporting, Nanos, Outcome, RequestId, WorkerId};
use loomlb_sockets::faults::ConnectFault;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Small calls (a give-up, a probe) are answered in this time or count as lost.
const CALL: Duration = Duration::from_secs(1);
/// After this time connections of a target are trusted for as long as the settings say again.
const RELEARN: Nanos = 60_000_000_000;
/// Time between two looks through the idle connections.
const SWEEP: Nanos = 250_000_000;
/// Where targets answer twice the second answer comes some milliseconds late: connections rest for so long before they
/// are used again, so that it is not taken for the answer to the next job.
const REST: Nanos = 50_000_000;
/// Ticks kept before the end of a key's window for a repeat's way, as the module keeps them.
const WAY: Nanos = 4;

/// What an operator can do where this machine opens no connection.
const SHORT_HERE: &str =
    "look at its open files, memory and local ports; jobs are refused, and no worker is blamed";

/// A connection to a target, counted for as long as it lives.
#[derive(Debug)]
struct Link {
    wire: Wire,
    _permit: Permit,
    /// How long it was idle before this use; 0 for a new one.
    idle: Nanos,
}

/// The place of a connection in the pool's count, from before it is dialled until it is closed.
#[derive(Debug)]
struct Permit(Rc<Cell<usize>>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[derive(Debug)]
struct Idle {
    link: Link,
    since: Nanos,
}

/// Idle connections to targets, and the count of all.
#[derive(Debug)]
pub struct Pool {
    idle: RefCell<HashMap<WorkerId, Vec<Idle>>>,
    open: Rc<Cell<usize>>,
    limit: usize,
    /// Idle connections live this long: well below the time after which a target closes them, since a
    /// request that crosses such an end counts as one that may have run.
    keep: Cell<Nanos>,
    /// When a target was last seen to say more than it was asked.
    twice: Cell<Option<Nanos>>,
    /// Jobs that their targets are still to be told to drop.
    undoing: Cell<usize>,
    /// The last new connection failed on this machine, and a line was logged for it.
    short_here: Cell<bool>,
    /// The same for targets whose connections have proved to end sooner than they ought to, and when they
    /// did.
    shorter: RefCell<HashMap<WorkerId, (Nanos, Nanos)>>,
}

impl Pool {
    /// An empty pool of so many connections at most, for targets that close idle ones after `keepalive`.
    pub fn new(limit: usize, keepalive: Nanos) -> Self {
        let (idle, open, shorter) = (RefCell::default(), Rc::default(), RefCell::default());
        let (twice, undoing, short_here) = (Cell::default(), Cell::default(), Cell::default());
        Pool { idle, open, limit, keep: Cell::new(keepalive / 4 * 3), twice, undoing, short_here, shorter }
    }

    /// A connection to the target broke at its next use: something on the way had dropped it while it was
    /// idle, and would drop others like it. The next ones are kept for half of that time.
    fn broke(&self, target: WorkerId, idle: Nanos, now: Nanos) {
        let keep = self.keep(target, now).min(idle / 2);
        self.shorter.borrow_mut().insert(target, (keep, now));
    }

    /// How long idle connections to a target live. What was learned is tried anew after a while.
    fn keep(&self, target: WorkerId, now: Nanos) -> Nanos {
        let learned = self.shorter.borrow().get(&target).filter(|l| now < l.1 + RELEARN).map(|l| l.0);
        learned.unwrap_or(self.keep.get())
    }

    /// Targets close idle connections after this time from now on.
    pub fn keepalive(&self, keepalive: Nanos) {
        self.keep.set(keepalive / 4 * 3);
    }

    /// Jobs that their targets are still to be told to drop.
    pub fn undoing(&self) -> usize {
        self.undoing.get()
    }

    /// How long a connection rests after its last answer. What was learned is tried anew after a while.
    fn rest(&self, now: Nanos) -> Nanos {
        if self.twice.get().is_some_and(|at| now < at + RELEARN) { REST } else { 0 }
    }

    /// Whether an idle connection can be used again: its target has neither closed it nor said anything more.
    fn is_sound(&self, link: &mut Link, now: Nanos) -> bool {
        let open = link.wire.poll_input();
        if link.wire.has_input() {
            self.twice.set(Some(now));
        }
        open && !link.wire.has_input()
    }

    /// Connections to targets, idle ones included.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Takes out all that is idle, as descriptors, with their targets and since when they are idle.
    pub fn take_all(&self) -> Vec<(WorkerId, OwnedFd, Nanos)> {
        let idle = std::mem::take(&mut *self.idle.borrow_mut());
        let all = idle.into_iter().flat_map(|(to, links)| links.into_iter().map(move |i| (to, i)));
        all.filter_map(|(to, i)| Some((to, i.link.wire.descriptor().ok()?, i.since))).collect()
    }

    /// Takes over an idle connection to a target from another process.
    pub fn adopt(&self, to: WorkerId, stream: TcpStream, since: Nanos) {
        let link = Link { wire: Wire::new(stream), _permit: self.permit(), idle: 0 };
        self.put(to, link, since);
    }

    /// Counts one more connection.
    fn permit(&self) -> Permit {
        self.open.set(self.open.get() + 1);
        Permit(Rc::clone(&self.open))
    }

    /// Closes the idle connections to a target.
    pub fn release(&self, target: WorkerId) {
        self.idle.borrow_mut().remove(&target);
    }

    /// Closes what has been idle for too long, and what is of no use any more.
    fn sweep(&self, now: Nanos) {
        self.idle.borrow_mut().retain(|target, links| {
            let keep = self.keep(*target, now);
            links.retain_mut(|i| now < i.since + keep && self.is_sound(&mut i.link, now));
            !links.is_empty()
        });
    }

    /// The connection used last, if it still lives.
    fn take(&self, target: WorkerId, now: Nanos) -> Option<Link> {
        let (keep, rest) = (self.keep(target, now), self.rest(now));
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&target)?;
        while let Some(at) = links.iter().rposition(|i| now >= i.since + rest) {
            let mut last = links.remove(at);
            if now < last.since + keep && self.is_sound(&mut last.link, now) {
                last.link.idle = now.saturating_sub(last.since).max(1);
                return Some(last.link);
            }
        }
        None
    }

    fn put(&self, target: WorkerId, link: Link, now: Nanos) {
        self.idle.borrow_mut().entry(target).or_default().push(Idle { link, since: now });
    }

    /// Makes room for one more connection by closing the one idle for longest; false if there is none.
    fn make_room(&self, elsewhere: usize) -> bool {
        if self.open.get() + elsewhere < self.limit {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|l| !l.is_empty()).min_by_key(|l| l[0].since);
        oldest.map(|links| links.remove(0)).is_some()
    }
}

/// Why there is no connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum NoConnection {
    /// This machine or process had no descriptor, memory or port for it: no evidence about the target.
    #[error("none could be opened on this machine")]
    Local,
    /// The target could not be reached in time.
    #[error("the target could not be reached")]
    Target,
}

impl NoConnection {
    /// What it means for an attempt, of which nothing was sent.
    fn outcome(self) -> Outcome {
        match self {
            NoConnection::Local => Outcome::NotSent,
            NoConnection::Target => Outcome::NoConnection,
        }
    }
}

/// A connection to a target: an idle one, or a new one if it comes up in time. `observe` is told, as that changes,
/// whether what it waits for is this machine.
async fn connect(
    s: &Scheduler,
    id: WorkerId,
    target: &Target,
    observe: impl Fn(bool),
) -> Result<Link, NoConnection> {
    if let Some(link) = s.pool.take(id, s.clock.now()) {
        s.book.borrow_mut().counters.reused += 1;
        return Ok(link);
    }
    if !s.pool.make_room(s.upgrade.elsewhere().outbound) {
        tracing::warn!("no descriptor left for a connection to {}", target.host);
        s.book.borrow_mut().counters.dials_local += 1;
        return Err(NoConnection::Local);
    }
    s.book.borrow_mut().counters.dials += 1;
    let permit = s.pool.permit();
    let limit = Duration::from_nanos(s.epoch().terms.dial_timeout);
    let local = Cell::new(false);
    let progress = |fault: Option<ConnectFault>| {
        s.book.borrow_mut().counters.dials_again += u64::from(fault.is_some());
        local.set(fault == Some(ConnectFault::Local));
        observe(local.get());
    };
    let connected = tokio::time::timeout(limit, loomlb_sockets::connect(target.dial, progress)).await;
    if let Ok(Ok(stream)) = connected {
        s.pool.short_here.set(false);
        return Ok(Link { wire: Wire::new(stream), _permit: permit, idle: 0 });
    }
    if !local.get() {
        return Err(NoConnection::Target);
    }
    s.book.borrow_mut().counters.dials_local += 1;
    if !s.pool.short_here.replace(true) {
        tracing::warn!(target = &*target.host, "no connection could be opened on this machine: {SHORT_HERE}");
    }
    Err(NoConnection::Local)
}

/// Carries out one send of the module: one forward, written once.
pub fn forward(s: &Rc<Scheduler>, id: RequestId, to: WorkerId, timeout: Nanos) {
    let now = s.clock.now();
    let target = s.group.target(to);
    let mut book = s.book.borrow_mut();
    let Some(flow) = book.flow(id) else {
        return tracing::error!("the module sends a flow that is over");
    };
    let n = flow.forwards.len() as u32;
    let over = flow.reply.is_none() || n >= flow.most;
    // A later forward must not overtake the news that an earlier one is given up.
    let one_at_a_time = !s.epoch().settings.limits.hedging;
    let earlier = flow.forwards.iter().filter(|f| one_at_a_time || f.target == to);
    let undoing: Vec<Rc<Notify>> = earlier.filter_map(|f| f.undoing.clone()).collect();
    let work = Rc::clone(&flow.work);
    let until = if timeout == 0 { flow.deadline } else { flow.deadline.min(now.saturating_add(timeout)) };
    flow.forwards.push(Forward {
        target: to,
        host: target.as_ref().map_or_else(|| "".into(), |t| Rc::clone(&t.host)),
        opened: now,
        stage: Stage::Unsent,
        written: None,
        never_ran: false,
        started: None,
        task: None,
        local_fault: false,
        undoing: None,
    });
    book.counters.forwards += 1;
    drop(book);
    let Some(target) = target.filter(|_| !over) else {
        return relay::ended(s, id, n, Outcome::NotSent, None);
    };
    tracing::debug!(flow = id.0, target = &*target.host, attempt = n, "forwarded");
    s.wheel.set(until, Due::Forward(id, n));
    let one = One { s: Rc::clone(s), id, n, to, until };
    let task = tokio::task::spawn_local(async move {
        for earlier in undoing {
            earlier.notified().await;
            earlier.notify_one();
        }
        one.run(&target, &work).await;
    });
    if let Some(forward) = s.book.borrow_mut().forward(id, n) {
        forward.task = Some(task.abort_handle());
    }
}

/// What decides just before the first byte of a forward whether it may still leave.
#[derive(Clone, Copy, Debug)]
pub struct LastLook {
    /// The client waits, and its flow is not answered.
    pub owed: bool,
    /// When the forward's own time is over.
    pub until: Nanos,
    /// When the repeats of its key cease to be dropped, if one that may have run was sent before.
    pub repeat_by: Option<Nanos>,
    /// The target takes new jobs, as far as has been told.
    pub takes: bool,
    /// It is the process that was chosen: one that has started since is cold, and nothing is charged for it.
    pub same: bool,
    /// This scheduler may act.
    pub may_act: bool,
}

/// Why a forward does not leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// Nobody waits for it.
    Gone,
    /// Its time is over.
    Late,
    /// The target is draining, or out by hand.
    Leaving,
    /// The target has started anew.
    Restarted,
    /// Its key's window is over.
    Window,
    /// This scheduler may not act.
    Lease,
}

impl LastLook {
    /// Whether the forward may leave at this time.
    pub fn verdict(&self, now: Nanos) -> Result<(), Stop> {
        let stops = [
            (!self.owed, Stop::Gone),
            (now >= self.until, Stop::Late),
            (!self.takes, Stop::Leaving),
            (!self.same, Stop::Restarted),
            (self.repeat_by.is_some_and(|by| now >= by), Stop::Window),
            (!self.may_act, Stop::Lease),
        ];
        stops.iter().find(|stop| stop.0).map_or(Ok(()), |stop| Err(stop.1))
    }
}

/// One forward under way.
struct One {
    s: Rc<Scheduler>,
    id: RequestId,
    n: u32,
    to: WorkerId,
    until: Nanos,
}

impl One {
    async fn run(&self, target: &Target, work: &Work) {
        let s = &self.s;
        let mut link = match connect(s, self.to, target, |local| self.connect_failed(local)).await {
            Ok(link) => link,
            Err(why) => return relay::ended(s, self.id, self.n, why.outcome(), None),
        };
        let (now, look) = (s.clock.now(), self.last_look(target));
        if let Err(stop) = look.verdict(now) {
            tracing::debug!(flow = self.id.0, target = &*target.host, attempt = self.n, stop = ?stop, "not sent");
            if stop != Stop::Restarted {
                s.pool.put(self.to, link, now);
            }
            return relay::ended(s, self.id, self.n, Outcome::NotSent, None);
        }
        if let Some(forward) = s.book.borrow_mut().forward(self.id, self.n) {
            forward.written = Some(now);
        }
        let left = self.until.saturating_sub(now);
        if link.wire.write(&request(target, work, left)).await.is_err() {
            return relay::ended(s, self.id, self.n, Outcome::NoConnection, None);
        }
        self.reached(Stage::Written);
        // The time-out ends this task; the limit is for a forward that a call-back has ended before the 202.
        let limit = Duration::from_nanos(left) + CALL;
        let taken = Cell::new(false);
        let read = async {
            let head = link.wire.read_head(Kind::Response).await?;
            if head.status == 202 {
                // It has taken the job, whatever becomes of the rest of its answer: a give-up has to be told.
                taken.set(true);
                self.reached(Stage::Taken);
            }
            link.wire.read_body(Kind::Response, head).await
        };
        let answer = tokio::time::timeout(limit, read).await;
        let (outcome, report) = match answer {
            Ok(Ok(answer)) => {
                let read = read_answer(s, &answer);
                self.put_back(link, &answer);
                match read {
                    Some(ended) => ended,
                    None => return self.reached(Stage::Taken),
                }
            }
            // What becomes of a job that was taken is told by call-backs, however its answer ended.
            Ok(Err(_)) | Err(_) if taken.get() => return,
            // The last byte is written, so it may have run.
            Ok(Err(fault)) => {
                if link.idle > 0 && matches!(fault, Fault::Closed) {
                    s.pool.broke(self.to, link.idle, s.clock.now());
                }
                (Outcome::Reset, None)
            }
            Err(_) => (Outcome::Reset, None),
        };
        relay::ended(s, self.id, self.n, outcome, report);
    }

    /// What is known just before the first byte: a dial takes time, and meanwhile much may have changed.
    fn last_look(&self, meant: &Target) -> LastLook {
        let s = &self.s;
        let mut book = s.book.borrow_mut();
        let flow = book.flow(self.id);
        let way = WAY * s.epoch().settings.tick;
        let first =
            flow.as_ref().and_then(|f| f.forwards.iter().filter(|x| !x.never_ran).find_map(|x| x.written));
        let window = flow.as_ref().and_then(|f| f.window);
        let target = s.group.target(self.to);
        LastLook {
            owed: flow.is_some_and(|f| f.reply.is_some()),
            until: self.until,
            repeat_by: first.zip(window).map(|(first, window)| (first + window).saturating_sub(way)),
            takes: target.as_ref().is_some_and(|t| t.takes_new() && !s.orders.borrow().is_out(&t.host)),
            same: target.is_some_and(|t| t.same_life(meant)),
            // The lease is looked at last: this is the act that it is for.
            may_act: s.tier.acts(),
        }
    }

    /// Notes whose fault it is that no connection is up yet, for the end of the attempt's time.
    fn connect_failed(&self, local: bool) {
        if let Some(forward) = self.s.book.borrow_mut().forward(self.id, self.n) {
            forward.local_fault = local;
        }
    }

    fn reached(&self, stage: Stage) {
        if let Some(f) = self.s.book.borrow_mut().forward(self.id, self.n)
            && f.stage != Stage::Ended
        {
            f.stage = stage;
        }
    }

    fn put_back(&self, link: Link, answer: &Message) {
        put_back(&self.s, self.to, link, answer);
    }
}

fn put_back(s: &Scheduler, to: WorkerId, link: Link, answer: &Message) {
    if link.wire.has_input() {
        s.pool.twice.set(Some(s.clock.now()));
    }
    let staying = |t: Target| t.leaving.is_none() && !s.orders.borrow().is_out(&t.host);
    let staying = s.group.target(to).is_some_and(staying);
    if answer.keep_alive && !link.wire.has_input() && staying {
        // A process that has handed over needs few connections any more: the next job is the other's.
        match s.upgrade.heir() {
            None => s.pool.put(to, link, s.clock.now()),
            Some(heir) => {
                let descriptor = link.wire.descriptor().ok();
                drop(link);
                descriptor.into_iter().for_each(|d| heir.give_target(s, to, d, s.clock.now()));
            }
        }
    }
}

/// What a target's answer means for the forward; none if the target has taken it.
fn read_answer(s: &Scheduler, answer: &Message) -> Option<(Outcome, Option<LoadReport>)> {
    let report = answer.text("X-Backend-Load").map(|text| read_report(s, text));
    let unprocessed = answer.text("X-Unprocessed") == Some("1");
    match answer.status {
        202 => None,
        503 | 504 if unprocessed => Some((Outcome::Full, report)),
        // Time and rate are the target's matter, all else of the 400s is the request's.
        400..=499 if ![408, 429].contains(&answer.status) => Some((Outcome::Rejected, report)),
        _ => Some((Outcome::Error, report)),
    }
}

/// A report in its header's form: `name=value,name=value`.
fn read_report(s: &Scheduler, text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        if let Ok(value) = value.trim().parse() {
            s.epoch().terms.record_load_value(&mut report, name.trim(), value);
        }
    }
    report
}

fn request(target: &Target, work: &Work, left: Nanos) -> Vec<u8> {
    let mut out = Vec::with_capacity(256 + work.path.len() + work.body.len());
    let mut put = |parts: &[&[u8]]| parts.iter().for_each(|p| out.extend_from_slice(p));
    put(&[&work.method, b" ", &work.path, b" HTTP/1.1\r\nHost: ", target.dial.to_string().as_bytes()]);
    put(&[b"\r\nX-Correlation-Id: ", &work.correlation]);
    put(&[b"\r\nX-Time-Left: ", format!("{:.3}", left as f64 / 1e9).as_bytes()]);
    if let Some(key) = &work.key {
        put(&[b"\r\nIdempotency-Key: ", key]);
    }
    if let Some(kind) = &work.content_type {
        put(&[b"\r\nContent-Type: ", kind]);
    }
    put(&[b"\r\nContent-Length: ", work.body.len().to_string().as_bytes(), b"\r\n\r\n", &work.body]);
    out
}

/// The module gives a forward up.
pub fn cancel(s: &Rc<Scheduler>, id: RequestId, n: u32) {
    give_up(s, id, n, Outcome::Cancelled);
}

/// The time of a forward is over.
pub fn time_out(s: &Rc<Scheduler>, id: RequestId, n: u32) {
    give_up(s, id, n, Outcome::Timeout);
}

/// Stops waiting for a forward, and says so on the wire: before the 202 by closing the connection, after it
/// by a call. What was never written in full has never run.
fn give_up(s: &Rc<Scheduler>, id: RequestId, n: u32, why: Outcome) {
    let mut book = s.book.borrow_mut();
    let Some(forward) = book.forward(id, n).filter(|f| f.stage != Stage::Ended) else { return };
    let (to, stage, task) = (forward.target, forward.stage, forward.task.take());
    let outcome = match (stage, why) {
        (Stage::Unsent, Outcome::Timeout) if !forward.local_fault => Outcome::NoConnection,
        (Stage::Unsent, _) => Outcome::NotSent,
        _ => why,
    };
    if stage == Stage::Taken {
        let undone = Rc::new(Notify::new());
        forward.undoing = Some(Rc::clone(&undone));
        book.counters.undone += 1;
        let correlation = book.flow(id).map(|f| f.work.correlation.clone()).unwrap_or_default();
        let s = Rc::clone(s);
        s.pool.undoing.set(s.pool.undoing.get() + 1);
        tokio::task::spawn_local(async move {
            let path = format!("/jobs/{}", String::from_utf8_lossy(&correlation));
            let link = begin_call(&s, to, "DELETE", &path).await;
            s.pool.undoing.set(s.pool.undoing.get() - 1);
            if let Ok(link) = link {
                let _ = end_call(&s, to, link).await;
            }
            undone.notify_one();
        });
    }
    // Before the 202 the close says it; after that its connection may still be held by an answer that has no end.
    if let Some(task) = task {
        task.abort();
    }
    drop(book);
    relay::ended(s, id, n, outcome, None);
}

/// Why a small call has no answer.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// There was no connection for it.
    #[error("no connection: {0}")]
    Unsent(#[from] NoConnection),
    /// Its connection broke, or what came is no answer.
    #[error("no answer: {0:?}")]
    Unanswered(Fault),
}

impl From<Fault> for CallError {
    fn from(fault: Fault) -> CallError {
        CallError::Unanswered(fault)
    }
}

/// A small call without a body, and its answer.
async fn call(s: &Scheduler, to: WorkerId, method: &str, path: &str) -> Result<Message, CallError> {
    let link = begin_call(s, to, method, path).await?;
    Ok(end_call(s, to, link).await?)
}

/// Writes a small call.
async fn begin_call(s: &Scheduler, to: WorkerId, method: &str, path: &str) -> Result<Link, CallError> {
    let target = s.group.target(to).ok_or(NoConnection::Target)?;
    let mut link = connect(s, to, &target, |_| {}).await?;
    let text = format!("{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Length: 0\r\n\r\n", target.dial);
    let written = tokio::time::timeout(CALL, link.wire.write(text.as_bytes())).await;
    written.map_err(|_| Fault::Broken)?.map_err(Fault::from)?;
    Ok(link)
}

/// Reads the answer to a small call.
async fn end_call(s: &Scheduler, to: WorkerId, mut link: Link) -> Result<Message, Fault> {
    let answer = tokio::time::timeout(CALL, link.wire.read(Kind::Response)).await;
    let answer = answer.map_err(|_| Fault::Broken)??;
    put_back(s, to, link, &answer);
    Ok(answer)
}

/// Asks a target for its load, or for a sign of life where there are no reports.
pub fn probe(s: &Rc<Scheduler>, to: WorkerId) {
    s.book.borrow_mut().counters.probes += 1;
    let (s, sent) = (Rc::clone(s), s.clock.now());
    tokio::task::spawn_local(async move {
        let path =
            if s.epoch().settings.load_reporting == LoadReporting::None { "/healthz" } else { "/load" };
        let (outcome, report) = match call(&s, to, "GET", path).await {
            Ok(answer) => {
                let outcome = if answer.status == 200 { Outcome::Served } else { Outcome::Error };
                let text = std::str::from_utf8(&answer.body).unwrap_or("").trim();
                (outcome, (!text.is_empty()).then(|| read_report(&s, text)))
            }
            // It says nothing about the target, and the module waits for no probe.
            Err(CallError::Unsent(NoConnection::Local)) => return,
            Err(_) => (Outcome::NoConnection, None),
        };
        let latency = s.clock.now().saturating_sub(sent);
        let ended = AttemptResult { outcome, latency, request_finished: false, load_report: report };
        route::feed(&s, Event::ProbeEnded { worker: to, result: ended });
    });
}

/// Looks through the idle connections, now and then.
pub fn sweep(s: &Scheduler) {
    let now = s.clock.now();
    s.pool.sweep(now);
    s.wheel.set(now + SWEEP, Due::Sweep);
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::AsyncWriteExt;
    use tokio::net::TcpListener;

    const TO: WorkerId = WorkerId(1);
    const SECOND: Nanos = 1_000_000_000;

    /// A pool with one idle connection put back at this time, and its other end.
    async fn rested(pool: &Pool, since: Nanos) -> TcpStream {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let near = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        pool.adopt(TO, near, since);
        listener.accept().await.unwrap().0
    }

    /// Where a target has answered twice once, a connection rests before it is used again, so that a second answer shows
    /// before it could be taken for the next job's; after a minute it is trusted again.
    #[tokio::test]
    async fn connections_rest_after_their_answer_where_a_target_answers_twice() {
        let pool = Pool::new(8, 60 * SECOND);
        let _far = rested(&pool, SECOND).await;
        let link = pool.take(TO, SECOND).expect("at once, as nobody answers twice");
        pool.put(TO, link, SECOND);
        let mut twice = rested(&pool, SECOND).await;
        twice.write_all(b"HTTP/1.1 202 Accepted\r\n\r\n").await.unwrap();
        while pool.open() > 1 {
            tokio::task::yield_now().await;
            pool.sweep(SECOND);
        }
        assert!(pool.take(TO, SECOND + REST - 1).is_none(), "it has not rested");
        let link = pool.take(TO, SECOND + REST).expect("it has rested");
        let later = SECOND + RELEARN;
        pool.put(TO, link, later);
        assert!(pool.take(TO, later).is_some(), "what was learned a minute ago is tried anew");
    }

    #[tokio::test]
    async fn idle_connections_that_their_target_has_closed_are_swept_and_never_taken() {
        let pool = Pool::new(8, 60 * SECOND);
        drop(rested(&pool, SECOND).await);
        while pool.open() > 0 {
            tokio::task::yield_now().await;
            pool.sweep(SECOND);
        }
        assert!(pool.take(TO, SECOND).is_none());
    }
}
