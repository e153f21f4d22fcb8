//! Intake: the listener. It parses what comes in, hands offers on, and writes the answers.

use super::admit::{Offer, Rejection, admit};
use super::book::{Answer, JobRequest};
use super::http::{Connection, Message, MessageKind, ReadError, encode_response};
use super::relay::{self, CallBackResult};
use super::{Scheduler, upgrade};
use loomlb_policy::Nanos;
use loomlb_sockets::{AcceptNext, AcceptRetry};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

/// A request is whole within this time: the first one of a connection counted from its start, so that one
/// which says nothing ends as well, a later one from its first byte.
const WHOLE: Duration = Duration::from_secs(2);
/// A connection younger than this may have its request on the way: others make room first.
const PROBATION: Nanos = 250_000_000;
/// The rank of a connection within its probation: the last to make room.
const JUST_COME: u8 = 2;
/// An answer is read by its client within this time.
const TAKEN: Duration = Duration::from_secs(10);
/// Connections idle for longer are closed.
const IDLE: Duration = Duration::from_secs(120);
/// Pause before another look for room.
const ROOM_PAUSE: Duration = Duration::from_millis(10);

/// Where workers report what becomes of a job.
const CALL_BACKS: &str = "/v1/job-events";
const HEALTH: &str = "/healthz";

/// What a connection is at.
#[derive(Clone, Copy, Debug)]
enum State {
    /// It has come then, and has said nothing yet.
    Silent(Nanos),
    /// It has said a part of a request since then.
    Partial(Nanos),
    /// It is between requests since then.
    Idle(Nanos),
    /// We have said that it ends, and read what still comes, for nobody.
    Ending,
    /// It waits for its answer.
    Served,
}

/// A taken seat.
#[derive(Debug)]
struct Occupied {
    state: State,
    /// It has brought a flow or a call-back.
    useful: bool,
    /// How to ask it to close.
    close: Rc<Notify>,
}

/// The connections of clients, and of targets that call back.
#[derive(Debug)]
pub struct Listener {
    limit: usize,
    /// Beyond so many, idle ones make room.
    ample: usize,
    seats: RefCell<HashMap<u64, Occupied>>,
    next: Cell<u64>,
    left: Notify,
}

impl Listener {
    /// A listener with room for `limit` connections, that parts with idle ones beyond `ample`.
    pub fn new(limit: usize, ample: usize) -> Self {
        Listener { limit, ample, seats: RefCell::default(), next: Cell::new(0), left: Notify::new() }
    }

    /// Connections.
    pub fn connection_count(&self) -> usize {
        self.seats.borrow().len()
    }

    /// Connections that are within a request.
    pub fn active_count(&self) -> usize {
        self.seats.borrow().values().filter(|s| matches!(s.state, State::Partial(_) | State::Served)).count()
    }

    /// Connections whose end is said, and not seen by the other side yet.
    pub fn closing_count(&self) -> usize {
        self.seats.borrow().values().filter(|s| matches!(s.state, State::Ending)).count()
    }

    /// Whether another connection would have to wait for room.
    fn full(&self, elsewhere: usize) -> bool {
        self.connection_count() + elsewhere >= self.limit
    }

    /// Asks one connection to close: one that ends anyway; then the one that has owed a request for longest, or has been idle for
    /// longest and never brought work; then an idle one that has, as its client may be about to use it again;
    /// only then one that has just come. Call-backs need a seat too, and would else wait behind connections
    /// that say nothing, half of something, or nothing more.
    /// Ranks of `below` and more stay.
    fn evict(&self, now: Nanos, below: u8) {
        let seats = self.seats.borrow();
        let ranked = seats.values().filter_map(|seat| Some((seat.rank(now)?, seat)));
        let ranked = ranked.filter(|(rank, _)| rank.0 < below);
        if let Some((_, seat)) = ranked.min_by_key(|(rank, _)| *rank) {
            seat.close.notify_one();
        }
    }

    /// Has idle connections make room long before all places are taken. Whatever stands before the listener carries a
    /// limited number of connections to it, and clients whose requests come beyond that are turned away there, where
    /// nobody here hears of them.
    fn thin(&self, now: Nanos, elsewhere: usize) {
        if self.connection_count() + elsewhere > self.ample {
            self.evict(now, JUST_COME);
        }
    }
}

impl Occupied {
    /// How readily it makes room, the least first; none while it waits for its answer.
    fn rank(&self, now: Nanos) -> Option<(u8, Nanos)> {
        match self.state {
            State::Silent(since) | State::Partial(since) => {
                Some((if now >= since + PROBATION { 0 } else { JUST_COME }, since))
            }
            State::Idle(since) => Some((u8::from(self.useful), since)),
            State::Ending => Some((0, 0)),
            State::Served => None,
        }
    }
}

/// A connection's place at the listener.
struct Seat {
    s: Rc<Scheduler>,
    number: u64,
    close: Rc<Notify>,
}

impl Seat {
    fn new(s: &Rc<Scheduler>) -> Self {
        let number = s.listener.next.replace(s.listener.next.get() + 1);
        let close = Rc::new(Notify::new());
        let state = State::Silent(s.clock.now());
        let occupied = Occupied { state, useful: false, close: Rc::clone(&close) };
        s.listener.seats.borrow_mut().insert(number, occupied);
        Seat { s: Rc::clone(s), number, close }
    }

    fn useful(&self) {
        if let Some(seat) = self.s.listener.seats.borrow_mut().get_mut(&self.number) {
            seat.useful = true;
        }
    }

    /// It has come just now, and has said nothing yet.
    fn on_probation(&self) -> bool {
        let now = self.s.clock.now();
        let seats = self.s.listener.seats.borrow();
        let state = seats.get(&self.number).map(|seat| seat.state);
        matches!(state, Some(State::Silent(since)) if now < since + PROBATION)
    }

    fn is(&self, state: State) {
        if let Some(seat) = self.s.listener.seats.borrow_mut().get_mut(&self.number) {
            seat.state = state;
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.s.listener.seats.borrow_mut().remove(&self.number);
        self.s.listener.left.notify_one();
    }
}

/// Accepts connections for as long as the program runs. At the limit others make room, and if all wait for
/// their answers newcomers wait in the kernel's queue.
pub async fn accept(s: Rc<Scheduler>, listener: TcpListener) {
    let mut retry = AcceptRetry::default();
    loop {
        if !s.upgrade.accepts() {
            s.upgrade.turned.notified().await;
            continue;
        }
        if s.listener.full(s.upgrade.elsewhere().inbound) {
            s.listener.evict(s.clock.now(), JUST_COME + 1);
            let _ = tokio::time::timeout(ROOM_PAUSE, s.listener.left.notified()).await;
            continue;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = s.upgrade.turned.notified() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                retry.accepted();
                s.book.borrow_mut().counters.connections += 1;
                s.listener.thin(s.clock.now(), s.upgrade.elsewhere().inbound);
                tokio::task::spawn_local(serve(Seat::new(&s), stream, false, true));
            }
            Err(e) => {
                let next = retry.failed(&e);
                if retry.is_worth_a_line(next) {
                    tracing::warn!("accept: {e}");
                }
                accept_failed(&s, next).await;
            }
        }
    }
}

/// Counts a failed accept, and prepares the next one. Connections of others are closed only where that helps.
async fn accept_failed(s: &Scheduler, next: AcceptNext) {
    s.book.borrow_mut().counters.accept_faults += 1;
    match next {
        AcceptNext::Again => s.book.borrow_mut().counters.accept_gone += 1,
        AcceptNext::MakeRoom(pause) => {
            s.listener.evict(s.clock.now(), JUST_COME + 1);
            tokio::time::sleep(pause).await;
        }
        AcceptNext::Pause(pause) => tokio::time::sleep(pause).await,
    }
}

/// Goes on with an idle connection that another process has passed on.
pub fn adopt(s: &Rc<Scheduler>, descriptor: OwnedFd, calls_back: bool, fresh: bool) -> io::Result<()> {
    let stream = std::net::TcpStream::from(descriptor);
    stream.set_nonblocking(true)?;
    let seat = Seat::new(s);
    if !fresh {
        seat.useful();
    }
    tokio::task::spawn_local(serve(seat, TcpStream::from_std(stream)?, calls_back, fresh));
    Ok(())
}

/// What the listener answers, and whether the connection goes on.
struct Reply {
    status: u16,
    body: Vec<u8>,
    retry_after: Nanos,
}

impl Reply {
    fn plain(status: u16, text: &str) -> Self {
        Reply { status, body: format!("{text}\n").into_bytes(), retry_after: 0 }
    }
}

async fn serve(seat: Seat, stream: TcpStream, mut calls_back: bool, mut first: bool) {
    let s = Rc::clone(&seat.s);
    let mut wire = Connection::new(stream);
    let begun = Instant::now();
    loop {
        if !wire.has_input() {
            let now = s.clock.now();
            let until = if first { begun + WHOLE } else { Instant::now() + IDLE };
            seat.is(if first { State::Silent(now) } else { State::Idle(now) });
            match wait(&seat, &mut wire, calls_back, until).await {
                Next::Request => {}
                Next::Over => {
                    s.book.borrow_mut().counters.silent += u64::from(first);
                    return;
                }
                Next::Close => {
                    s.book.borrow_mut().counters.silent += u64::from(first);
                    // Bytes that cross a close reset the connection; where others wait for room it comes first.
                    if !s.listener.full(s.upgrade.elsewhere().inbound) {
                        part(&seat, wire).await;
                    }
                    return;
                }
                Next::PassOn => {
                    let (heir, descriptor) = (s.upgrade.heir(), wire.descriptor());
                    drop(wire);
                    if let (Some(heir), Ok(descriptor)) = (heir, descriptor) {
                        heir.give_client(&s, descriptor, calls_back, first);
                    }
                    return;
                }
            }
        }
        seat.is(State::Partial(s.clock.now()));
        let whole_by = if first { begun } else { Instant::now() } + WHOLE;
        let read = tokio::select! {
            biased;
            read = tokio::time::timeout_at(whole_by, wire.read(MessageKind::Request)) => read.ok(),
            () = seat.close.notified() => None,
        };
        first = false;
        let (reply, keep_alive) = match read {
            Some(Ok(message)) => {
                seat.is(State::Served);
                let path = message.path.split(|b| *b == b'?').next().unwrap_or_default();
                calls_back = path == CALL_BACKS.as_bytes();
                let Some(reply) = handle(&seat, &mut wire, &message).await else { return };
                (reply, message.keep_alive)
            }
            Some(Err(ReadError::Closed | ReadError::Broken)) => return,
            Some(Err(ReadError::Malformed)) => (Reply::plain(400, "malformed request"), false),
            Some(Err(ReadError::HeadTooLarge)) => (Reply::plain(431, "head too large"), false),
            Some(Err(ReadError::BodyTooLarge)) => (Reply::plain(413, "body too large"), false),
            None => (Reply::plain(408, "request not whole in time"), false),
        };
        s.book.borrow_mut().counters.count_invalid_request(reply.status);
        // Call-backs go on: what was taken cannot finish without them. So do requests that have come already: one that is
        // read and then closed with no answer would be lost.
        let closes = s.shutdown.service().parting(s.clock.now());
        let keep_alive = keep_alive && (calls_back || !closes || wire.poll_input() && wire.has_input());
        let keep_alive = keep_alive && !wire.input_discarded();
        let wait = format!("{:.3}", reply.retry_after as f64 / 1e9);
        let headers: &[(&str, &str)] = if reply.retry_after > 0 { &[("Retry-After", &wait)] } else { &[] };
        let text = encode_response(reply.status, headers, &reply.body, keep_alive);
        match tokio::time::timeout(TAKEN, wire.write_all(&text)).await {
            Ok(Ok(())) if keep_alive => {}
            Ok(Ok(())) => return part(&seat, wire).await,
            _ => return,
        }
    }
}

/// Ends a connection so that nothing which crosses the end resets it: what still comes is read, for nobody, and never
/// sent on. The seat stays taken meanwhile: a connection that ends holds a descriptor like any other, and one that its
/// client does not close would else go uncounted.
async fn part(seat: &Seat, wire: Connection) {
    seat.is(State::Ending);
    tokio::select! {
        () = wire.lingering_close() => {}
        () = seat.close.notified() => {}
    }
}

/// What comes next on a connection that is idle.
enum Next {
    /// A request has begun.
    Request,
    /// Nothing; the other side has closed.
    Over,
    /// Nothing; we close.
    Close,
    /// Another process goes on with it.
    PassOn,
}

/// Waits for the first byte of a request. A connection that we close is looked at once more: what has arrived by then
/// is a request like any other.
async fn wait(seat: &Seat, wire: &mut Connection, calls_back: bool, until: Instant) -> Next {
    let s = &seat.s;
    if s.upgrade.heir().is_some() {
        return Next::PassOn;
    }
    // A connection that has just come has its request on the way, or asks for health.
    let parted = async {
        loop {
            s.shutdown.close_idle.notified().await;
            if !seat.on_probation() {
                return;
            }
        }
    };
    let ours = tokio::select! {
        filled = wire.fill() => {
            if !matches!(filled, Ok(n) if n > 0) {
                return Next::Over;
            }
            false
        }
        () = s.upgrade.moved.notified() => return Next::PassOn,
        () = seat.close.notified() => true,
        () = parted, if !calls_back => true,
        () = tokio::time::sleep_until(until) => true,
    };
    match (ours, wire.poll_input()) {
        _ if wire.has_input() => Next::Request,
        (true, true) => Next::Close,
        _ => Next::Over,
    }
}

/// The reply to a request; none if its client has gone.
async fn handle(seat: &Seat, wire: &mut Connection, message: &Message) -> Option<Reply> {
    let s = &seat.s;
    let Ok(path) = std::str::from_utf8(&message.path) else {
        return Some(Reply::plain(400, "malformed path"));
    };
    let path = path.split('?').next().unwrap_or_default();
    let method = &*message.method;
    tracing::trace!("{} {path}", String::from_utf8_lossy(method));
    match path {
        HEALTH if method != b"GET" => return Some(Reply::plain(405, "only GET is served here")),
        HEALTH if !s.shutdown.service().healthy() || !s.tier.may_act() => {
            return Some(Reply::plain(503, "out of service"));
        }
        HEALTH => return Some(Reply::plain(200, "ready")),
        CALL_BACKS if method != b"POST" => return Some(Reply::plain(405, "only POST is served here")),
        CALL_BACKS => {
            return Some(match relay::handle_call_back(s, &message.body) {
                CallBackResult::Malformed => Reply::plain(400, "malformed call-back"),
                CallBackResult::UnknownFlow if !upgrade::pass_call_back(s, &message.body).await => {
                    Reply::plain(503, "its process does not answer")
                }
                _ => {
                    seat.useful();
                    Reply::plain(200, "noted")
                }
            });
        }
        _ => {}
    }
    let offer = match offer(s, message, path) {
        Ok(offer) => offer,
        Err(reply) => return Some(reply),
    };
    // A request may have waited for long before it was read: in the kernel, or behind others of its connection.
    if wire.peer_has_closed().await {
        s.book.borrow_mut().counters.gone_early += 1;
        return None;
    }
    let mut taken = match admit(s, offer) {
        Ok(taken) => taken,
        Err(Rejection::Bad(why)) => return Some(Reply::plain(400, why)),
        Err(Rejection::NoRoom(wait)) => {
            return Some(Reply { retry_after: wait, ..Reply::plain(503, "no room") });
        }
    };
    seat.useful();
    let answer = tokio::select! {
        biased;
        answer = &mut taken.answer => answer.unwrap_or(Answer::Failed),
        () = wire.closed() => {
            relay::client_disconnected(s, taken.id);
            return None;
        }
    };
    Some(match answer {
        Answer::Served(body) => Reply { status: 200, body: body.to_vec(), retry_after: 0 },
        Answer::Refused(wait) => Reply { retry_after: wait, ..Reply::plain(503, "refused") },
        Answer::Failed => Reply::plain(502, "failed"),
    })
}

/// Reads a job out of a request.
fn offer(s: &Scheduler, message: &Message, path: &str) -> Result<Offer, Reply> {
    let epoch = s.epoch();
    let classes = &epoch.names.classes;
    let mut segments = path.split('/').filter(|p| !p.is_empty());
    let first = segments.next().unwrap_or_default();
    let class = match message.header_text("X-Service-Class") {
        None if !classes.iter().any(|c| c == first) => return Err(Reply::plain(404, "unknown path")),
        None => first,
        Some(class) if !classes.iter().any(|c| c == class) => {
            return Err(Reply::plain(400, "unknown class"));
        }
        Some(class) if class != first => return Err(Reply::plain(400, "class and path differ")),
        Some(class) => class,
    };
    if &*message.method != b"POST" {
        return Err(Reply::plain(405, "only POST is served here"));
    }
    // The targets may believe the other one.
    if ["X-Correlation-Id", "X-Service-Class", "X-Time-Left", "Idempotency-Key"]
        .iter()
        .any(|h| message.has_repeated_header(h))
    {
        return Err(Reply::plain(400, "repeated header"));
    }
    let patience = match message.header_text("X-Time-Left").map(seconds) {
        Some(None) => return Err(Reply::plain(400, "malformed X-Time-Left")),
        Some(patience) => patience,
        None => None,
    };
    let fact = |names: &[&str]| {
        let facts = message.header_text("X-Facts")?.split(',').filter_map(|f| f.split_once('='));
        let value = facts.filter(|f| names.contains(&f.0.trim())).find_map(|f| f.1.trim().parse().ok());
        value.filter(|v: &f64| v.is_finite() && *v >= 0.0)
    };
    Ok(Offer {
        class: class.to_string(),
        tenant: message.header_text("X-Account").map(str::to_string),
        subject: segments.next_back().map(str::to_string),
        patience,
        retry: message.header_text("X-Repeat") == Some("1"),
        slots: fact(&["slots"]),
        memory: fact(&["memory", "mem"]),
        expected: message
            .header_text("X-Weight-Hint")
            .and_then(weight)
            .or_else(|| fact(&["expected", "hint"]).map(|v| v as Nanos)),
        job: JobRequest {
            correlation_id: message.header("X-Correlation-Id").cloned().unwrap_or_default(),
            method: message.method.clone(),
            path: message.path.clone(),
            idempotency_key: message.header("Idempotency-Key").cloned(),
            content_type: message.header("Content-Type").cloned(),
            body: message.body.clone(),
        },
    })
}

/// A client's guess at the work, in microseconds, as nanoseconds. What is no number above 0, or more than a day, says
/// nothing; it is never the client's fault.
fn weight(text: &str) -> Option<Nanos> {
    let micros: f64 = text.trim().parse().ok()?;
    (micros > 0.0 && micros <= 86_400e6).then_some((micros * 1e3) as Nanos)
}

/// Seconds with decimals, as nanoseconds; none if it is no such number.
fn seconds(text: &str) -> Option<Nanos> {
    let seconds: f64 = text.parse().ok()?;
    (seconds.is_finite() && (0.0..=86_400.0).contains(&seconds)).then_some((seconds * 1e9) as Nanos)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_hint_counts_in_microseconds_and_a_bad_one_is_none() {
        assert_eq!(weight("412000"), Some(412_000_000));
        assert_eq!(weight(" 0.5 "), Some(500));
        for bad in ["", "-3", "0", "nan", "inf", "1e300", "86400000001", "12 s", "0x10"] {
            assert_eq!(weight(bad), None, "{bad:?}");
        }
    }
}
