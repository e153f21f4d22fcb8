//! The control listener, at which operators call. It has connections of its own, so that it responds whatever
//! the load on the clients' listener. Each connection carries one call. `loomlb-control` defines what a call
//! means.

use super::http::{Connection, Message, MessageKind, ReadError, encode_response};
use super::tier_application::TierApplication;
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
                retry.wait_after(&e).await;
                continue;
            }
        };
        retry.record_success();
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
    execute(scheduler, &if offline { AdminRequest::Offline(host) } else { AdminRequest::Online(host) });
}

/// Executes a call and returns the reply to it.
async fn handle(scheduler: &Rc<Scheduler>, message: &Message) -> Reply {
    let call = match AdminRequest::parse(&message.method, &message.path) {
        Ok(call) => call,
        Err(request::RequestError::Malformed) => return refusal(400, "malformed path"),
        Err(request::RequestError::NotFound) => return refusal(404, "unknown path"),
        Err(request::RequestError::MethodNotAllowed(allowed_method)) => {
            return Reply { allow: Some(allowed_method), ..refusal(405, "wrong method") };
        }
    };
    if let AdminRequest::Offline(host) | AdminRequest::Online(host) = &call
        && !scheduler.target_group.contains(host)
        && !scheduler.orders.borrow().is_offline(host)
    {
        return refusal(404, "unknown worker");
    }
    if let AdminRequest::TierStatus | AdminRequest::ProposeSettings(_) = call {
        if !scheduler.tier.is_enabled() {
            return refusal(404, "no tier is configured here");
        }
        let (status, body) = match call {
            AdminRequest::ProposeSettings(base) => {
                loomlb_tier::propose_settings(
                    &scheduler.tier,
                    &TierApplication(Rc::clone(scheduler)),
                    &message.body,
                    base,
                )
                .await
            }
            _ => (200, loomlb_tier::status(&scheduler.tier, &TierApplication(Rc::clone(scheduler)))),
        };
        return Reply { status, body: format!("{body}\n"), allow: None };
    }
    if let AdminRequest::Offline(host) | AdminRequest::Online(host) = &call
        && scheduler.tier.is_enabled()
    {
        let out = matches!(call, AdminRequest::Offline(_));
        let (status, body) = loomlb_tier::set_worker_offline(
            &scheduler.tier,
            &TierApplication(Rc::clone(scheduler)),
            host,
            out,
        )
        .await;
        return Reply { status, body: format!("{body}\n"), allow: None };
    }
    if call != AdminRequest::Ready {
        execute(scheduler, &call);
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        upgrade::query_others(
            scheduler,
            &ForwardedRequest::Admin(text(&message.method), text(&message.path)),
            None,
        )
        .await;
    }
    let service = scheduler.shutdown.service();
    match &call {
        AdminRequest::Ready | AdminRequest::OutOfService | AdminRequest::InService
            if service.is_shutting_down() =>
        {
            refusal(503, "ending")
        }
        AdminRequest::Ready if !scheduler.tier.may_serve() => refusal(503, "no lease of the tier"),
        AdminRequest::Ready if !scheduler.upgrade.accepts() => {
            refusal(503, scheduler.upgrade.not_accepting_reason())
        }
        _ => Reply { status: 200, body: status_body(scheduler), allow: None },
    }
}

/// Executes a call in this process.
fn execute(scheduler: &Rc<Scheduler>, call: &AdminRequest) {
    let now = scheduler.clock.now();
    let changed = match call {
        AdminRequest::Ready | AdminRequest::TierStatus | AdminRequest::ProposeSettings(_) => false,
        AdminRequest::OutOfService => scheduler.shutdown.update_service(|service| service.start_drain(now)),
        AdminRequest::InService => scheduler.shutdown.update_service(|service| service.end_drain()),
        AdminRequest::Offline(host) => scheduler.orders.borrow_mut().take_offline(host, now),
        AdminRequest::Online(host) => scheduler.orders.borrow_mut().restore(host, now),
    };
    if let AdminRequest::Offline(host) | AdminRequest::Online(host) = call
        && changed
    {
        discovery::apply_order(scheduler, host);
    }
    tracing::info!("control: {call:?}{}", if changed { "" } else { ": no change" });
}

/// Executes a call that another process of this scheduler received.
pub fn execute_relayed(scheduler: &Rc<Scheduler>, method: &str, path: &str) {
    if let Ok(call) = AdminRequest::parse(method.as_bytes(), path.as_bytes()) {
        execute(scheduler, &call);
    }
}

/// Returns the body of a positive reply.
fn status_body(scheduler: &Scheduler) -> String {
    let service = match scheduler.shutdown.service().state() {
        LifecycleState::Serving => "in",
        LifecycleState::Draining(_) => "draining",
        LifecycleState::ShuttingDown(_) => "ending",
    };
    let orders = scheduler.orders.borrow();
    let out: Vec<&str> = orders.offline_workers().collect();
    let flows = scheduler.book.borrow().unanswered();
    format!(
        "{}\n",
        serde_json::json!({ "yes": true, "service": service, "workers_out": out, "flows": flows })
    )
}
