//! Control: the second address, where staff call. One call a connection; a front of its own, so that it answers whatever
//! the clients' listener is at. What a call means is decided in `loomlb-control`.

use super::agreed::Around;
use super::http::{Connection, Message, MessageKind, ReadError, encode_response};
use super::{Scheduler, discovery, upgrade};
use loomlb_control::lifecycle::LifecycleState;
use loomlb_control::request::{self, AdminRequest};
use loomlb_hot_restart::message::ForwardedRequest;
use loomlb_sockets::AcceptRetry;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Callers at once. `config` sets their descriptors aside.
const SEATS: usize = 16;
/// A call is whole within this time from the start of its connection.
const WHOLE: Duration = Duration::from_secs(4);
/// An answer is read by its caller within this time.
const TAKEN: Duration = Duration::from_secs(2);
/// Pause before another look for a free seat.
const PAUSE: Duration = Duration::from_millis(10);

/// The callers that can be asked to leave, by their order of arrival: those that owe their call, or have their answer.
#[derive(Debug, Default)]
struct Seats {
    callers: RefCell<BTreeMap<u64, Rc<Notify>>>,
    next: Cell<u64>,
    taken: Cell<usize>,
    left: Notify,
}

/// A caller's place.
struct Seat {
    seats: Rc<Seats>,
    number: u64,
    leave: Rc<Notify>,
}

impl Seat {
    fn new(seats: &Rc<Seats>) -> Seat {
        let number = seats.next.replace(seats.next.get() + 1);
        let leave = Rc::new(Notify::new());
        seats.callers.borrow_mut().insert(number, Rc::clone(&leave));
        seats.taken.set(seats.taken.get() + 1);
        Seat { seats: Rc::clone(seats), number, leave }
    }

    /// Its call is whole: it stays until it is answered.
    fn hold(&self) {
        self.seats.callers.borrow_mut().remove(&self.number);
    }

    fn release(&self) {
        self.seats.callers.borrow_mut().insert(self.number, Rc::clone(&self.leave));
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.hold();
        self.seats.taken.set(self.seats.taken.get() - 1);
        self.seats.left.notify_one();
    }
}

/// Accepts callers for as long as the program runs. When all seats are taken the one that came first of those without
/// a whole call makes room: whoever says nothing never keeps a new caller out.
pub async fn accept(s: Rc<Scheduler>, listener: TcpListener) {
    let seats = Rc::new(Seats::default());
    let mut retry = AcceptRetry::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                retry.wait_after(&e).await;
                continue;
            }
        };
        retry.record_success();
        while seats.taken.get() >= SEATS {
            let first = seats.callers.borrow_mut().pop_first();
            if let Some((_, leave)) = first {
                leave.notify_one();
            }
            let _ = tokio::time::timeout(PAUSE, seats.left.notified()).await;
        }
        tokio::task::spawn_local(serve(Rc::clone(&s), Seat::new(&seats), stream));
    }
}

/// What a caller hears.
struct Reply {
    status: u16,
    body: String,
    allow: Option<&'static str>,
}

async fn serve(s: Rc<Scheduler>, seat: Seat, stream: TcpStream) {
    let mut wire = Connection::new(stream);
    let read = tokio::select! {
        biased;
        read = tokio::time::timeout(WHOLE, wire.read(MessageKind::Request)) => read.ok(),
        () = seat.leave.notified() => {
            s.book.borrow_mut().counters.calls_cut += 1;
            return;
        }
    };
    seat.hold();
    let reply = match read {
        Some(Ok(message)) => answer(&s, &message).await,
        Some(Err(ReadError::Closed | ReadError::Broken)) => {
            s.book.borrow_mut().counters.calls_cut += 1;
            return;
        }
        Some(Err(ReadError::Malformed)) => no(400, "malformed request"),
        Some(Err(ReadError::HeadTooLarge)) => no(431, "head too large"),
        Some(Err(ReadError::BodyTooLarge)) => no(413, "body too large"),
        None => no(408, "call not whole in time"),
    };
    s.book.borrow_mut().counters.count_control_call(reply.status);
    let allow = reply.allow.map(|method| ("Allow", method));
    let mut headers = vec![("Content-Type", "application/json")];
    headers.extend(allow);
    let text = encode_response(reply.status, &headers, reply.body.as_bytes(), false);
    if let Ok(Ok(())) = tokio::time::timeout(TAKEN, wire.write_all(&text)).await {
        seat.release();
        tokio::select! {
            () = wire.lingering_close() => {}
            () = seat.leave.notified() => {}
        }
    }
}

fn no(status: u16, why: &str) -> Reply {
    Reply { status, body: format!("{}\n", serde_json::json!({ "yes": false, "why": why })), allow: None }
}

/// Takes a worker out or puts it back, as the tier has agreed.
pub fn agreed(s: &Rc<Scheduler>, host: &str, out: bool) {
    let host = host.to_string();
    carry_out(s, &if out { AdminRequest::Offline(host) } else { AdminRequest::Online(host) });
}

/// Carries a call out and says what has come of it.
async fn answer(s: &Rc<Scheduler>, message: &Message) -> Reply {
    let call = match AdminRequest::parse(&message.method, &message.path) {
        Ok(call) => call,
        Err(request::RequestError::Malformed) => return no(400, "malformed path"),
        Err(request::RequestError::NotFound) => return no(404, "unknown path"),
        Err(request::RequestError::MethodNotAllowed(takes)) => {
            return Reply { allow: Some(takes), ..no(405, "wrong method") };
        }
    };
    if let AdminRequest::Offline(host) | AdminRequest::Online(host) = &call
        && !s.target_group.names(host)
        && !s.orders.borrow().is_offline(host)
    {
        return no(404, "unknown worker");
    }
    if let AdminRequest::TierStatus | AdminRequest::ProposeSettings(_) = call {
        if !s.tier.is_enabled() {
            return no(404, "no tier is configured here");
        }
        let (status, body) = match call {
            AdminRequest::ProposeSettings(base) => {
                loomlb_tier::propose_settings(&s.tier, &Around(Rc::clone(s)), &message.body, base).await
            }
            _ => (200, loomlb_tier::status(&s.tier, &Around(Rc::clone(s)))),
        };
        return Reply { status, body: format!("{body}\n"), allow: None };
    }
    if let AdminRequest::Offline(host) | AdminRequest::Online(host) = &call
        && s.tier.is_enabled()
    {
        let out = matches!(call, AdminRequest::Offline(_));
        let (status, body) = loomlb_tier::set_worker_offline(&s.tier, &Around(Rc::clone(s)), host, out).await;
        return Reply { status, body: format!("{body}\n"), allow: None };
    }
    if call != AdminRequest::Ready {
        carry_out(s, &call);
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        upgrade::ask(s, &ForwardedRequest::Admin(text(&message.method), text(&message.path)), None).await;
    }
    let service = s.shutdown.service();
    match &call {
        AdminRequest::Ready | AdminRequest::OutOfService | AdminRequest::InService
            if service.is_shutting_down() =>
        {
            no(503, "ending")
        }
        AdminRequest::Ready if !s.tier.may_serve() => no(503, "no lease of the tier"),
        AdminRequest::Ready if !s.upgrade.accepts() => no(503, s.upgrade.why_not()),
        _ => Reply { status: 200, body: state(s), allow: None },
    }
}

/// Does what a call orders.
fn carry_out(s: &Rc<Scheduler>, call: &AdminRequest) {
    let now = s.clock.now();
    let changed = match call {
        AdminRequest::Ready | AdminRequest::TierStatus | AdminRequest::ProposeSettings(_) => false,
        AdminRequest::OutOfService => s.shutdown.turn(|service| service.start_drain(now)),
        AdminRequest::InService => s.shutdown.turn(|service| service.end_drain()),
        AdminRequest::Offline(host) => s.orders.borrow_mut().take_offline(host, now),
        AdminRequest::Online(host) => s.orders.borrow_mut().restore(host, now),
    };
    if let AdminRequest::Offline(host) | AdminRequest::Online(host) = call
        && changed
    {
        discovery::ordered(s, host);
    }
    tracing::info!("control: {call:?}{}", if changed { "" } else { ": so already" });
}

/// Does what the other process was ordered: both are one scheduler.
pub fn passed_on(s: &Rc<Scheduler>, method: &str, path: &str) {
    if let Ok(call) = AdminRequest::parse(method.as_bytes(), path.as_bytes()) {
        carry_out(s, &call);
    }
}

/// What staff see with every yes.
fn state(s: &Scheduler) -> String {
    let service = match s.shutdown.service().state() {
        LifecycleState::Serving => "in",
        LifecycleState::Draining(_) => "draining",
        LifecycleState::ShuttingDown(_) => "ending",
    };
    let orders = s.orders.borrow();
    let out: Vec<&str> = orders.offline_workers().collect();
    let flows = s.book.borrow().unanswered();
    format!(
        "{}\n",
        serde_json::json!({ "yes": true, "service": service, "workers_out": out, "flows": flows })
    )
}
