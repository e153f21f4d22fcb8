//! The control listener, at which operators call. It has connections of its own, so that it responds whatever
//! the load on the clients' listener. Each connection carries one call. `loomlb-control` defines what a call
//! means.

use super::http::{Connection, Message, MessageKind, ReadError, encode_response};
use super::tier_application::TierApplication;
use super::{Scheduler, discovery, upgrade};
use loomlb_control::call::{self, Call};
use loomlb_control::service::State;
use loomlb_hot_restart::words::Ask;
use loomlb_sockets::AcceptRetry;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Maximum number of open connections. `config` reserves their file descriptors.
const MAX_CONNECTIONS: usize = 16;
/// Time limit for receiving a call, from the start of its connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Time limit for sending a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum wait for an evicted connection to close before the next one is evicted.
const EVICTION_WAIT: Duration = Duration::from_millis(10);

/// The open connections. Those that wait for a call or have received their reply can be evicted, the oldest
/// first.
#[derive(Debug, Default)]
struct OpenConnections {
    evictable: RefCell<BTreeMap<u64, Rc<Notify>>>,
    next_number: Cell<u64>,
    open: Cell<usize>,
    closed: Notify,
}

/// An open connection. It is removed from its [`OpenConnections`] when dropped.
struct ConnectionGuard {
    connections: Rc<OpenConnections>,
    number: u64,
    /// Notifies the connection that it must close.
    evicted: Rc<Notify>,
}

impl ConnectionGuard {
    fn new(connections: &Rc<OpenConnections>) -> ConnectionGuard {
        let number = connections.next_number.replace(connections.next_number.get() + 1);
        let evicted = Rc::new(Notify::new());
        connections.evictable.borrow_mut().insert(number, Rc::clone(&evicted));
        connections.open.set(connections.open.get() + 1);
        ConnectionGuard { connections: Rc::clone(connections), number, evicted }
    }

    /// Exempts the connection from eviction while its call is handled.
    fn disallow_eviction(&self) {
        self.connections.evictable.borrow_mut().remove(&self.number);
    }

    /// Lets the connection be evicted again.
    fn allow_eviction(&self) {
        self.connections.evictable.borrow_mut().insert(self.number, Rc::clone(&self.evicted));
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.disallow_eviction();
        self.connections.open.set(self.connections.open.get() - 1);
        self.connections.closed.notify_one();
    }
}

/// Accepts connections for as long as the program runs. When too many are open, the oldest one that has not
/// sent its call is closed, so that silent connections cannot block new callers.
pub async fn accept(scheduler: Rc<Scheduler>, listener: TcpListener) {
    let connections = Rc::new(OpenConnections::default());
    let mut retry = AcceptRetry::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                retry.pause(&e).await;
                continue;
            }
        };
        retry.accepted();
        while connections.open.get() >= MAX_CONNECTIONS {
            let oldest = connections.evictable.borrow_mut().pop_first();
            if let Some((_, evicted)) = oldest {
                evicted.notify_one();
            }
            let _ = tokio::time::timeout(EVICTION_WAIT, connections.closed.notified()).await;
        }
        tokio::task::spawn_local(serve(Rc::clone(&scheduler), ConnectionGuard::new(&connections), stream));
    }
}

/// The reply to a call.
struct Reply {
    status: u16,
    body: String,
    allow: Option<&'static str>,
}

async fn serve(scheduler: Rc<Scheduler>, guard: ConnectionGuard, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    let received = tokio::select! {
        biased;
        read = tokio::time::timeout(CALL_TIMEOUT, connection.read(MessageKind::Request)) => read.ok(),
        () = guard.evicted.notified() => {
            scheduler.book.borrow_mut().counters.calls_cut += 1;
            return;
        }
    };
    guard.disallow_eviction();
    let reply = match received {
        Some(Ok(message)) => handle(&scheduler, &message).await,
        Some(Err(ReadError::Closed | ReadError::Broken)) => {
            scheduler.book.borrow_mut().counters.calls_cut += 1;
            return;
        }
        Some(Err(ReadError::Malformed)) => refusal(400, "malformed request"),
        Some(Err(ReadError::HeadTooLarge)) => refusal(431, "head too large"),
        Some(Err(ReadError::BodyTooLarge)) => refusal(413, "body too large"),
        None => refusal(408, "call not whole in time"),
    };
    scheduler.book.borrow_mut().counters.count_control_call(reply.status);
    let allow = reply.allow.map(|method| ("Allow", method));
    let mut headers = vec![("Content-Type", "application/json")];
    headers.extend(allow);
    let text = encode_response(reply.status, &headers, reply.body.as_bytes(), false);
    if let Ok(Ok(())) = tokio::time::timeout(REPLY_TIMEOUT, connection.write_all(&text)).await {
        guard.allow_eviction();
        tokio::select! {
            () = connection.lingering_close() => {}
            () = guard.evicted.notified() => {}
        }
    }
}

fn refusal(status: u16, why: &str) -> Reply {
    Reply { status, body: format!("{}\n", serde_json::json!({ "yes": false, "why": why })), allow: None }
}

/// Takes a worker offline or puts it back online, as the tier has agreed.
pub fn apply_agreed_order(scheduler: &Rc<Scheduler>, host: &str, offline: bool) {
    let host = host.to_string();
    execute(scheduler, &if offline { Call::Offline(host) } else { Call::Online(host) });
}

/// Executes a call and returns the reply to it.
async fn handle(scheduler: &Rc<Scheduler>, message: &Message) -> Reply {
    let call = match Call::read(&message.method, &message.path) {
        Ok(call) => call,
        Err(call::Fault::Malformed) => return refusal(400, "malformed path"),
        Err(call::Fault::Unknown) => return refusal(404, "unknown path"),
        Err(call::Fault::Method(allowed_method)) => {
            return Reply { allow: Some(allowed_method), ..refusal(405, "wrong method") };
        }
    };
    if let Call::Offline(host) | Call::Online(host) = &call
        && !scheduler.target_group.contains(host)
        && !scheduler.orders.borrow().is_out(host)
    {
        return refusal(404, "unknown worker");
    }
    if let Call::Tier | Call::Propose(_) = call {
        if !scheduler.tier.on() {
            return refusal(404, "no tier is configured here");
        }
        let (status, body) = match call {
            Call::Propose(base) => {
                loomlb_tier::proposed(
                    &scheduler.tier,
                    &TierApplication(Rc::clone(scheduler)),
                    &message.body,
                    base,
                )
                .await
            }
            _ => (200, loomlb_tier::state(&scheduler.tier, &TierApplication(Rc::clone(scheduler)))),
        };
        return Reply { status, body: format!("{body}\n"), allow: None };
    }
    if let Call::Offline(host) | Call::Online(host) = &call
        && scheduler.tier.on()
    {
        let out = matches!(call, Call::Offline(_));
        let (status, body) =
            loomlb_tier::order(&scheduler.tier, &TierApplication(Rc::clone(scheduler)), host, out).await;
        return Reply { status, body: format!("{body}\n"), allow: None };
    }
    if call != Call::Ready {
        execute(scheduler, &call);
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        upgrade::query_others(scheduler, &Ask::Order(text(&message.method), text(&message.path)), None).await;
    }
    let service = scheduler.shutdown.service();
    match &call {
        Call::Ready | Call::OutOfService | Call::InService if service.ending() => refusal(503, "ending"),
        Call::Ready if !scheduler.tier.may_act() => refusal(503, "no lease of the tier"),
        Call::Ready if !scheduler.upgrade.accepts() => refusal(503, scheduler.upgrade.not_accepting_reason()),
        _ => Reply { status: 200, body: status_body(scheduler), allow: None },
    }
}

/// Executes a call in this process.
fn execute(scheduler: &Rc<Scheduler>, call: &Call) {
    let now = scheduler.clock.now();
    let changed = match call {
        Call::Ready | Call::Tier | Call::Propose(_) => false,
        Call::OutOfService => scheduler.shutdown.update_service(|service| service.drain(now)),
        Call::InService => scheduler.shutdown.update_service(|service| service.resume()),
        Call::Offline(host) => scheduler.orders.borrow_mut().offline(host, now),
        Call::Online(host) => scheduler.orders.borrow_mut().online(host, now),
    };
    if let Call::Offline(host) | Call::Online(host) = call
        && changed
    {
        discovery::apply_order(scheduler, host);
    }
    tracing::info!("control: {call:?}{}", if changed { "" } else { ": no change" });
}

/// Executes a call that another process of this scheduler received.
pub fn execute_relayed(scheduler: &Rc<Scheduler>, method: &str, path: &str) {
    if let Ok(call) = Call::read(method.as_bytes(), path.as_bytes()) {
        execute(scheduler, &call);
    }
}

/// Returns the body of a positive reply.
fn status_body(scheduler: &Scheduler) -> String {
    let service = match scheduler.shutdown.service().state() {
        State::In => "in",
        State::Draining(_) => "draining",
        State::Ending(_) => "ending",
    };
    let orders = scheduler.orders.borrow();
    let out: Vec<&str> = orders.out().collect();
    let flows = scheduler.book.borrow().unanswered();
    format!(
        "{}\n",
        serde_json::json!({ "yes": true, "service": service, "workers_out": out, "flows": flows })
    )
}
