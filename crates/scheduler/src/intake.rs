//! Intake: accepts client connections, parses requests, offers them to `admit`, and writes the answers. Targets send their
//! call-backs to the same listener.

use super::admit::{Offer, Rejection, admit};
use super::book::{Answer, JobRequest};
use super::http::{Connection, Message, MessageKind, ReadError, encode_response};
use super::receive_memory::{InputActivity, ReceiveMemory, ReceiveReservation};
use super::relay::{self, CallBackResult};
use super::{Scheduler, upgrade};
use bytes::Bytes;
use loomlb_policy::Nanos;
use loomlb_sockets::{AcceptAction, AcceptRetry};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time limit for a complete request: from the start of the connection for its first request, from the first byte for
/// later ones.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection younger than this is expected to send a request soon, and is evicted last.
const NEW_CONNECTION_GRACE: Nanos = 250_000_000;
/// A connection in the middle of a request that has sent nothing for longer counts as stopped.
const RECEIVE_PAUSE_LIMIT: Nanos = 250_000_000;
/// Eviction rank of a connection that goes on sending its request.
const RECEIVING_RANK: u8 = 2;
/// Eviction rank of a connection in its grace period.
const NEW_CONNECTION_RANK: u8 = 3;
/// Time limit for writing an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Connections that are idle for longer are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest wait for an evicted connection to close before another one is evicted.
const EVICTION_WAIT: Duration = Duration::from_millis(10);

/// Path of the call-backs in which targets report on their jobs.
const CALL_BACK_PATH: &str = "/v1/job-events";
const HEALTH_PATH: &str = "/healthz";

/// The state of a client connection. The time is when the state began.
#[derive(Clone, Copy, Debug)]
enum ConnectionState {
    /// New, without any input.
    New(Nanos),
    /// In the middle of a request.
    Receiving,
    /// Between requests.
    Idle(Nanos),
    /// In a lingering close.
    Closing,
    /// Waiting for the answer to its request.
    AwaitingAnswer,
}

/// What the listener knows of a connection.
#[derive(Debug)]
struct ConnectionEntry {
    state: ConnectionState,
    /// When it last sent something.
    activity: InputActivity,
    /// Whether it has brought an admitted flow or an accepted call-back.
    useful: bool,
    /// Notified to request that the connection closes.
    close: Rc<Notify>,
}

/// The connections of clients, and of targets that send call-backs.
#[derive(Debug)]
pub struct Listener {
    /// Maximum number of connections.
    limit: usize,
    /// Number of connections above which idle ones are evicted.
    idle_eviction_threshold: usize,
    /// The memory of requests that clients are still sending.
    receive_memory: Rc<ReceiveMemory>,
    connections: RefCell<HashMap<u64, ConnectionEntry>>,
    next_number: Cell<u64>,
    /// Notified when a connection is closed.
    connection_closed: Notify,
}

impl Listener {
    /// A listener for up to `limit` connections, which evicts idle ones when there are more than
    /// `idle_eviction_threshold`, and for `receive_bytes` of requests that are not complete.
    pub fn new(limit: usize, idle_eviction_threshold: usize, receive_bytes: usize) -> Self {
        Listener {
            limit,
            idle_eviction_threshold,
            receive_memory: ReceiveMemory::new(receive_bytes),
            connections: RefCell::default(),
            next_number: Cell::new(0),
            connection_closed: Notify::new(),
        }
    }

    /// Number of connections.
    pub fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Memory of requests that clients are still sending and of answers that they do not receive, in bytes.
    pub fn receive_bytes(&self) -> usize {
        self.receive_memory.used()
    }

    /// Sets how much of that memory the other processes of this scheduler use.
    pub fn set_receive_bytes_of_others(&self, bytes: usize) {
        self.receive_memory.set_used_by_others(bytes);
    }

    /// Number of connections with a request in progress.
    pub fn active_count(&self) -> usize {
        self.connections
            .borrow()
            .values()
            .filter(|entry| {
                matches!(entry.state, ConnectionState::Receiving | ConnectionState::AwaitingAnswer)
            })
            .count()
    }

    /// Number of connections in a lingering close.
    pub fn closing_count(&self) -> usize {
        self.connections
            .borrow()
            .values()
            .filter(|entry| matches!(entry.state, ConnectionState::Closing))
            .count()
    }

    /// Whether the limit is reached, counting the connections of this scheduler's other processes.
    fn is_full(&self, in_other_processes: usize) -> bool {
        self.connection_count() + in_other_processes >= self.limit
    }

    /// Requests that one connection closes: the one with the lowest rank, and among equals the one longest in its state.
    /// Connections of rank `below` or more are spared.
    ///
    /// The order is: closing connections, connections that have stopped before a complete request, and idle ones that were
    /// never useful; then idle ones that were, whose client may be about to use them again; then those that go on sending a
    /// request; then new ones. This keeps room for call-backs, which are needed to finish admitted flows.
    fn evict(&self, now: Nanos, below: u8) {
        let connections = self.connections.borrow();
        let ranked = connections.values().filter_map(|entry| Some((entry.eviction_rank(now)?, entry)));
        let ranked = ranked.filter(|(rank, _)| rank.0 < below);
        if let Some((_, entry)) = ranked.min_by_key(|(rank, _)| *rank) {
            entry.close.notify_one();
        }
    }

    /// Evicts an idle or stopped connection above the threshold, long before the limit is reached. A load balancer in
    /// front of the listener may limit the connections to it, and reject requests for which none is left.
    fn evict_above_threshold(&self, now: Nanos, in_other_processes: usize) {
        if self.connection_count() + in_other_processes > self.idle_eviction_threshold {
            self.evict(now, RECEIVING_RANK);
        }
    }
}

impl ConnectionEntry {
    /// The order of eviction, lowest first; `None` while the connection waits for its answer.
    fn eviction_rank(&self, now: Nanos) -> Option<(u8, Nanos)> {
        match self.state {
            ConnectionState::New(since) => {
                Some((if now >= since + NEW_CONNECTION_GRACE { 0 } else { NEW_CONNECTION_RANK }, since))
            }
            ConnectionState::Receiving => {
                let silent_for = self.activity.silent_for().as_nanos() as Nanos;
                let rank = if silent_for >= RECEIVE_PAUSE_LIMIT { 0 } else { RECEIVING_RANK };
                Some((rank, now.saturating_sub(silent_for)))
            }
            ConnectionState::Idle(since) => Some((u8::from(self.useful), since)),
            ConnectionState::Closing => Some((0, 0)),
            ConnectionState::AwaitingAnswer => None,
        }
    }
}

/// Registers a connection at the listener for as long as it lives.
struct ConnectionGuard {
    scheduler: Rc<Scheduler>,
    number: u64,
    close: Rc<Notify>,
}

impl ConnectionGuard {
    /// Registers a connection, with the memory that it may take.
    fn new(scheduler: &Rc<Scheduler>) -> (Self, ReceiveReservation) {
        let number = scheduler.listener.next_number.replace(scheduler.listener.next_number.get() + 1);
        let close = Rc::new(Notify::new());
        let state = ConnectionState::New(scheduler.clock.now());
        let memory = scheduler.listener.receive_memory.reservation();
        let entry =
            ConnectionEntry { state, activity: memory.activity(), useful: false, close: Rc::clone(&close) };
        scheduler.listener.connections.borrow_mut().insert(number, entry);
        (ConnectionGuard { scheduler: Rc::clone(scheduler), number, close }, memory)
    }

    fn mark_useful(&self) {
        if let Some(entry) = self.scheduler.listener.connections.borrow_mut().get_mut(&self.number) {
            entry.useful = true;
        }
    }

    /// Whether the connection is in its grace period and has not sent anything.
    fn is_in_grace(&self) -> bool {
        let now = self.scheduler.clock.now();
        let connections = self.scheduler.listener.connections.borrow();
        let state = connections.get(&self.number).map(|entry| entry.state);
        matches!(state, Some(ConnectionState::New(since)) if now < since + NEW_CONNECTION_GRACE)
    }

    fn set_state(&self, state: ConnectionState) {
        if let Some(entry) = self.scheduler.listener.connections.borrow_mut().get_mut(&self.number) {
            entry.state = state;
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.scheduler.listener.connections.borrow_mut().remove(&self.number);
        self.scheduler.listener.connection_closed.notify_one();
    }
}

/// Accepts connections for the lifetime of the process. At the limit a connection is evicted first; while all of them
/// wait for answers, new ones stay in the kernel's queue.
pub async fn accept(scheduler: Rc<Scheduler>, listener: TcpListener) {
    let mut retry = AcceptRetry::default();
    loop {
        if !scheduler.upgrade.accepts() {
            scheduler.upgrade.accepting_changed.notified().await;
            continue;
        }
        if scheduler.listener.is_full(scheduler.upgrade.held_by_others().inbound) {
            scheduler.listener.evict(scheduler.clock.now(), NEW_CONNECTION_RANK + 1);
            let _ =
                tokio::time::timeout(EVICTION_WAIT, scheduler.listener.connection_closed.notified()).await;
            continue;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = scheduler.upgrade.accepting_changed.notified() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                retry.record_success();
                scheduler.book.borrow_mut().counters.connections += 1;
                scheduler
                    .listener
                    .evict_above_threshold(scheduler.clock.now(), scheduler.upgrade.held_by_others().inbound);
                let (guard, memory) = ConnectionGuard::new(&scheduler);
                let connection = Connection::new(stream).with_memory(memory);
                tokio::task::spawn_local(serve_connection(guard, connection, false, true));
            }
            Err(error) => {
                let next = retry.record_error(&error);
                if retry.should_log(next) {
                    tracing::warn!("cannot accept client connections: {error}");
                }
                handle_accept_failure(&scheduler, next).await;
            }
        }
    }
}

/// Counts a failed accept and waits before the next one. Evicts a connection only if descriptors or memory are short.
async fn handle_accept_failure(scheduler: &Scheduler, next: AcceptAction) {
    scheduler.book.borrow_mut().counters.accept_faults += 1;
    match next {
        AcceptAction::RetryNow => scheduler.book.borrow_mut().counters.accept_gone += 1,
        AcceptAction::ReleaseThenRetry(pause) => {
            scheduler.listener.evict(scheduler.clock.now(), NEW_CONNECTION_RANK + 1);
            tokio::time::sleep(pause).await;
        }
        AcceptAction::RetryAfter(pause) => tokio::time::sleep(pause).await,
    }
}

/// Continues an idle connection received from another process of this scheduler. `carries_call_backs` is whether its last
/// request was a call-back.
pub fn adopt(
    scheduler: &Rc<Scheduler>,
    descriptor: OwnedFd,
    carries_call_backs: bool,
    before_first_request: bool,
) -> io::Result<()> {
    let stream = std::net::TcpStream::from(descriptor);
    stream.set_nonblocking(true)?;
    let stream = TcpStream::from_std(stream)?;
    let (guard, memory) = ConnectionGuard::new(scheduler);
    if !before_first_request {
        guard.mark_useful();
    }
    let connection = Connection::new(stream).with_memory(memory);
    tokio::task::spawn_local(serve_connection(guard, connection, carries_call_backs, before_first_request));
    Ok(())
}

/// The reply to a request.
struct Reply {
    status: u16,
    body: Vec<u8>,
    /// Time for the `Retry-After` header; 0 for none.
    retry_after: Nanos,
}

impl Reply {
    fn text(status: u16, text: &str) -> Self {
        Reply { status, body: format!("{text}\n").into_bytes(), retry_after: 0 }
    }
}

/// Serves the requests of a connection until it ends. `carries_call_backs` is whether its last request was a call-back.
async fn serve_connection(
    guard: ConnectionGuard,
    mut connection: Connection,
    mut carries_call_backs: bool,
    mut before_first_request: bool,
) {
    let scheduler = Rc::clone(&guard.scheduler);
    let started = Instant::now();
    loop {
        if !connection.has_input() {
            if connection.input_discarded() {
                return close_gracefully(&guard, connection).await;
            }
            let now = scheduler.clock.now();
            let deadline =
                if before_first_request { started + REQUEST_TIMEOUT } else { Instant::now() + IDLE_TIMEOUT };
            guard.set_state(if before_first_request {
                ConnectionState::New(now)
            } else {
                ConnectionState::Idle(now)
            });
            match wait_for_request(&guard, &mut connection, carries_call_backs, deadline).await {
                IdleEnd::Request => {}
                IdleEnd::ClosedByPeer => {
                    scheduler.book.borrow_mut().counters.silent += u64::from(before_first_request);
                    return;
                }
                IdleEnd::Close => {
                    scheduler.book.borrow_mut().counters.silent += u64::from(before_first_request);
                    // At the limit the connection is closed at once to free its descriptor, even if that resets it.
                    if !scheduler.listener.is_full(scheduler.upgrade.held_by_others().inbound) {
                        close_gracefully(&guard, connection).await;
                    }
                    return;
                }
                IdleEnd::HandOver => {
                    let (successor, descriptor) = (scheduler.upgrade.successor(), connection.descriptor());
                    drop(connection);
                    if let (Some(successor), Ok(descriptor)) = (successor, descriptor) {
                        successor.hand_over_client(
                            &scheduler,
                            descriptor,
                            carries_call_backs,
                            before_first_request,
                        );
                    }
                    return;
                }
            }
        }
        guard.set_state(ConnectionState::Receiving);
        let deadline = if before_first_request { started } else { Instant::now() } + REQUEST_TIMEOUT;
        let evicted = connection.evicted();
        let read = tokio::select! {
            biased;
            read = tokio::time::timeout_at(deadline, connection.read(MessageKind::Request)) => read.ok(),
            () = evicted => {
                scheduler.book.borrow_mut().counters.memory_evictions += 1;
                None
            }
            () = guard.close.notified() => None,
        };
        before_first_request = false;
        if !matches!(read, Some(Ok(_))) {
            connection.discard_input();
        }
        let (reply, keep_alive) = match read {
            Some(Ok(message)) => {
                guard.set_state(ConnectionState::AwaitingAnswer);
                let path = message.path.split(|byte| *byte == b'?').next().unwrap_or_default();
                carries_call_backs = path == CALL_BACK_PATH.as_bytes();
                let keep_alive = message.keep_alive;
                let Some(reply) = handle_request(&guard, &mut connection, message).await else { return };
                connection.release_message();
                (reply, keep_alive)
            }
            Some(Err(ReadError::Closed | ReadError::Broken)) if connection.input_discarded() => {
                return close_gracefully(&guard, connection).await;
            }
            Some(Err(ReadError::Closed | ReadError::Broken)) => return,
            Some(Err(ReadError::Malformed)) => (Reply::text(400, "malformed request"), false),
            Some(Err(ReadError::HeadTooLarge)) => (Reply::text(431, "head too large"), false),
            Some(Err(ReadError::BodyTooLarge)) => (Reply::text(413, "body too large"), false),
            None => (Reply::text(408, "request not whole in time"), false),
        };
        scheduler.book.borrow_mut().counters.count_invalid_request(reply.status);
        // While draining or shutting down, connections for call-backs stay open, as open flows need them; so do
        // connections with input, whose request would otherwise be lost.
        let closes = scheduler.shutdown.service().announces_close(scheduler.clock.now());
        let keep_alive = keep_alive
            && (carries_call_backs || !closes || connection.poll_input() && connection.has_input());
        let retry_after = format!("{:.3}", reply.retry_after as f64 / 1e9);
        let headers: &[(&str, &str)] =
            if reply.retry_after > 0 { &[("Retry-After", &retry_after)] } else { &[] };
        let response = encode_response(reply.status, headers, &reply.body, keep_alive);
        drop(reply);
        if !write_response(&scheduler, &mut connection, &response).await {
            return;
        }
        if !keep_alive {
            return close_gracefully(&guard, connection).await;
        }
        // A client that sends requests without a pause gets one answer in each turn of all clients.
        if connection.has_input() {
            tokio::task::yield_now().await;
        }
    }
}

/// Writes a response. False if it was not received in time, or if others needed its memory.
async fn write_response(scheduler: &Scheduler, connection: &mut Connection, response: &[u8]) -> bool {
    let evicted = connection.evicted();
    tokio::select! {
        biased;
        written = tokio::time::timeout(WRITE_TIMEOUT, connection.write_response(response)) => {
            matches!(written, Ok(Ok(())))
        }
        () = evicted => {
            scheduler.book.borrow_mut().counters.memory_evictions += 1;
            false
        }
    }
}

/// Closes a connection without a reset, discarding further input. It stays registered until it is closed, as it still
/// holds a descriptor.
async fn close_gracefully(guard: &ConnectionGuard, connection: Connection) {
    guard.set_state(ConnectionState::Closing);
    tokio::select! {
        () = connection.lingering_close() => {}
        () = guard.close.notified() => {}
    }
}

/// How the idle time of a connection ends.
enum IdleEnd {
    /// A request has begun.
    Request,
    /// The peer has closed the connection.
    ClosedByPeer,
    /// This scheduler closes the connection.
    Close,
    /// The connection is handed over to a successor process.
    HandOver,
}

/// Waits for the first byte of a request. Before this scheduler closes a connection it checks once more for input, so
/// that a request that has just arrived is served.
async fn wait_for_request(
    guard: &ConnectionGuard,
    connection: &mut Connection,
    carries_call_backs: bool,
    deadline: Instant,
) -> IdleEnd {
    let scheduler = &guard.scheduler;
    if scheduler.upgrade.successor().is_some() {
        return IdleEnd::HandOver;
    }
    // New connections are exempt: their request, often a health check, is expected soon.
    let close_requested = async {
        loop {
            scheduler.shutdown.close_idle.notified().await;
            if !guard.is_in_grace() {
                return;
            }
        }
    };
    let closing = tokio::select! {
        filled = connection.fill() => {
            if !matches!(filled, Ok(length) if length > 0) {
                return IdleEnd::ClosedByPeer;
            }
            false
        }
        () = scheduler.upgrade.hand_over_idle.notified() => return IdleEnd::HandOver,
        () = guard.close.notified() => true,
        () = close_requested, if !carries_call_backs => true,
        () = tokio::time::sleep_until(deadline) => true,
    };
    match (closing, connection.poll_input()) {
        _ if connection.has_input() => IdleEnd::Request,
        (true, true) => IdleEnd::Close,
        _ => IdleEnd::ClosedByPeer,
    }
}

/// Handles a request and returns the reply; `None` if the client has disconnected.
async fn handle_request(
    guard: &ConnectionGuard,
    connection: &mut Connection,
    message: Message,
) -> Option<Reply> {
    let scheduler = &guard.scheduler;
    let Ok(path) = std::str::from_utf8(&message.path) else {
        return Some(Reply::text(400, "malformed path"));
    };
    let path = path.split('?').next().unwrap_or_default();
    let method = &*message.method;
    tracing::trace!("{} {path}", String::from_utf8_lossy(method));
    match path {
        HEALTH_PATH if method != b"GET" => return Some(Reply::text(405, "only GET is served here")),
        HEALTH_PATH if !scheduler.shutdown.service().is_healthy() || !scheduler.tier.may_serve() => {
            return Some(Reply::text(503, "out of service"));
        }
        HEALTH_PATH => return Some(Reply::text(200, "ready")),
        CALL_BACK_PATH if method != b"POST" => return Some(Reply::text(405, "only POST is served here")),
        CALL_BACK_PATH => {
            return Some(match relay::handle_call_back(scheduler, &message.body) {
                CallBackResult::Malformed => Reply::text(400, "malformed call-back"),
                CallBackResult::UnknownFlow if !upgrade::relay_call_back(scheduler, &message.body).await => {
                    Reply::text(503, "its process does not answer")
                }
                _ => {
                    guard.mark_useful();
                    Reply::text(200, "noted")
                }
            });
        }
        _ => {}
    }
    let mut offer = match parse_offer(scheduler, &message, path) {
        Ok(offer) => offer,
        Err(reply) => return Some(reply),
    };
    offer.deduct_wait(scheduler, message.received_at);
    drop(message);
    // The request may have waited for long, in the kernel or behind other requests of its connection.
    if connection.peer_has_closed().await {
        scheduler.book.borrow_mut().counters.gone_early += 1;
        return None;
    }
    let available = upgrade::open_requests::check_id(scheduler, &mut offer).await;
    let mut admitted = match available.and_then(|()| admit(scheduler, offer)) {
        Ok(admitted) => admitted,
        Err(Rejection::Invalid(reason)) => return Some(Reply::text(400, reason)),
        Err(Rejection::IdInUse) => return Some(Reply::text(400, "id already in use")),
        Err(Rejection::Unavailable(retry_after)) => {
            return Some(Reply { retry_after, ..Reply::text(503, "no room") });
        }
    };
    // The open flow counts its request from now on.
    connection.release_message();
    guard.mark_useful();
    let answer = tokio::select! {
        biased;
        answer = &mut admitted.answer => answer.unwrap_or(Answer::Failed),
        () = connection.closed() => {
            relay::client_disconnected(scheduler, admitted.id);
            return None;
        }
    };
    Some(match answer {
        Answer::Served(body) => Reply { status: 200, body: body.to_vec(), retry_after: 0 },
        Answer::Refused(retry_after) => Reply { retry_after, ..Reply::text(503, "refused") },
        Answer::Failed => Reply::text(502, "failed"),
    })
}

/// Parses the offer in a request; a request without a valid one gets the reply in `Err`.
fn parse_offer(scheduler: &Scheduler, message: &Message, path: &str) -> Result<Offer, Reply> {
    let settings = scheduler.settings();
    let classes = &settings.names.classes;
    let mut segments = path.split('/').filter(|segment| !segment.is_empty());
    let first_segment = segments.next().unwrap_or_default();
    let class = match message.header_text("X-Service-Class") {
        None if !classes.iter().any(|class| class == first_segment) => {
            return Err(Reply::text(404, "unknown path"));
        }
        None => first_segment,
        Some(name) if !classes.iter().any(|class| class == name) => {
            return Err(Reply::text(400, "unknown class"));
        }
        Some(name) if name != first_segment => return Err(Reply::text(400, "class and path differ")),
        Some(name) => name,
    };
    if &*message.method != b"POST" {
        return Err(Reply::text(405, "only POST is served here"));
    }
    // A target might read another one of the repeated headers than this scheduler.
    if ["X-Correlation-Id", "X-Service-Class", "X-Time-Left", "Idempotency-Key"]
        .iter()
        .any(|name| message.has_repeated_header(name))
    {
        return Err(Reply::text(400, "repeated header"));
    }
    let time_left = match message.header_text("X-Time-Left").map(parse_seconds) {
        Some(None) => return Err(Reply::text(400, "malformed X-Time-Left")),
        Some(time_left) => time_left,
        None => None,
    };
    let fact = |names: &[&str]| {
        let facts = message.header_text("X-Facts")?.split(',').filter_map(|fact| fact.split_once('='));
        let value =
            facts.filter(|fact| names.contains(&fact.0.trim())).find_map(|fact| fact.1.trim().parse().ok());
        value.filter(|value: &f64| value.is_finite() && *value >= 0.0)
    };
    Ok(Offer {
        class: class.to_string(),
        tenant: message.header_text("X-Account").map(str::to_string),
        subject: segments.next_back().map(str::to_string),
        time_left,
        retry: message.header_text("X-Repeat") == Some("1"),
        slots: fact(&["slots"]),
        memory: fact(&["memory", "mem"]),
        expected_work: message
            .header_text("X-Weight-Hint")
            .and_then(parse_weight_hint)
            .or_else(|| fact(&["expected", "hint"]).map(|value| value as Nanos)),
        job: job_request(message),
    })
}

/// The parts of a request that are forwarded. They are copied, as parts of the input buffer would keep all of it.
fn job_request(message: &Message) -> JobRequest {
    let copy = |part: &Bytes| Bytes::copy_from_slice(part);
    JobRequest {
        correlation_id: message.header("X-Correlation-Id").map(copy).unwrap_or_default(),
        method: copy(&message.method),
        path: copy(&message.path),
        idempotency_key: message.header("Idempotency-Key").map(copy),
        content_type: message.header("Content-Type").map(copy),
        body: message.body.clone(),
    }
}

/// Converts a client's estimate of the work from microseconds. The hint is optional, so an invalid one is ignored rather
/// than rejected: anything but a number above 0 and up to a day.
fn parse_weight_hint(text: &str) -> Option<Nanos> {
    let microseconds: f64 = text.trim().parse().ok()?;
    (microseconds > 0.0 && microseconds <= 86_400e6).then_some((microseconds * 1e3) as Nanos)
}

/// Converts decimal seconds; `None` for anything but a number from 0 to a day.
fn parse_seconds(text: &str) -> Option<Nanos> {
    let seconds: f64 = text.parse().ok()?;
    (seconds.is_finite() && (0.0..=86_400.0).contains(&seconds)).then_some((seconds * 1e9) as Nanos)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn weight_hints_are_in_microseconds_and_invalid_ones_are_ignored() {
        assert_eq!(parse_weight_hint("412000"), Some(412_000_000));
        assert_eq!(parse_weight_hint(" 0.5 "), Some(500));
        for invalid in ["", "-3", "0", "nan", "inf", "1e300", "86400000001", "12 s", "0x10"] {
            assert_eq!(parse_weight_hint(invalid), None, "{invalid:?}");
        }
    }
}
