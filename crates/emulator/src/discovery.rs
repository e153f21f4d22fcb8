//! Discovery endpoints, one for each scheduler. They respond to a plain request at once, hold a watch until the list
//! changes, and do not respond while discovery is down.

use crate::emulation::Emulation;
use crate::http::{self, Body};
use hyper::body::Incoming;
use hyper::{Request, Response};
use loomlb_policy::Nanos;
use loomlb_simulation::scenario::DiscoveryMode;
use loomlb_simulation::settings;
use loomlb_simulation::world::{Health, WorkerEntry};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;

/// Changes that an endpoint stores. A watch from an earlier version gets the full list.
const MAX_CHANGES: usize = 4096;
/// Longest time for which the platform holds a watch.
const MAX_HOLD: Duration = Duration::from_secs(60);
/// Time from a change of address until the connections to the old address are closed.
const CLOSE_DELAY: Duration = Duration::from_millis(1500);
/// Interval at which an endpoint checks whether discovery is up again.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A request within this time of the last response, in nanoseconds, continues the same watch.
const WATCH_RESUME_WINDOW: Nanos = 200_000_000;

/// The version of the list, its entries, and the changed entries with the versions that changed them.
type ListHistory = (u64, Vec<WorkerEntry>, VecDeque<(u64, WorkerEntry)>);

/// The discovery endpoint of a scheduler.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) list_changed: Notify,
    /// The current address.
    pub(crate) address: Cell<SocketAddr>,
    /// The list at the last request, from which changes are computed.
    list_history: RefCell<ListHistory>,
    moved: watch::Sender<u64>,
    /// A request until this time continues the watch and does not wait in the queue of discovery.
    watch_resumes_until: Cell<Nanos>,
}

pub(crate) async fn open(count: usize) -> io::Result<(Vec<Endpoint>, Vec<TcpListener>)> {
    let (mut endpoints, mut listeners) = (Vec::new(), Vec::new());
    for s in 0..count {
        let listener = http::bind(31, s, 0).await?;
        let address = Cell::new(listener.local_addr()?);
        endpoints.push(Endpoint {
            list_changed: Notify::new(),
            address,
            list_history: RefCell::default(),
            moved: watch::channel(0).0,
            watch_resumes_until: Cell::new(0),
        });
        listeners.push(listener);
    }
    Ok((endpoints, listeners))
}

pub(crate) fn start(emulation: &Rc<Emulation>, listeners: Vec<TcpListener>) {
    for (s, listener) in listeners.into_iter().enumerate() {
        spawn_local(accept_connections(Rc::clone(emulation), s, listener));
    }
}

/// Opens the endpoint at another address. The old address accepts no connections and closes the open ones soon after.
pub(crate) async fn move_endpoint(emulation: &Rc<Emulation>, s: usize) -> io::Result<()> {
    let listener = http::bind(31, s, 1).await?;
    emulation.discovery_endpoints[s].address.set(listener.local_addr()?);
    emulation.discovery_endpoints[s].moved.send_modify(|n| *n += 1);
    spawn_local(accept_connections(Rc::clone(emulation), s, listener));
    Ok(())
}

async fn accept_connections(emulation: Rc<Emulation>, s: usize, listener: TcpListener) {
    let mut moved = emulation.discovery_endpoints[s].moved.subscribe();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = moved.changed() => return,
        };
        let Ok((stream, _)) = stream else { continue };
        let (emulation, mut moved) = (Rc::clone(&emulation), moved.clone());
        spawn_local(async move {
            let emulation_for_requests = Rc::clone(&emulation);
            let disconnect = async move {
                let _ = moved.changed().await;
                tokio::time::sleep(CLOSE_DELAY).await;
            };
            http::serve(
                stream,
                move |r| handle_request(Rc::clone(&emulation_for_requests), s, r),
                disconnect,
            )
            .await;
        });
    }
}

async fn handle_request(
    emulation: Rc<Emulation>,
    s: usize,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    while !emulation.world.borrow().discovery_up() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    if !wait_for_discovery(&emulation, s).await {
        return Some(http::response(503, ""));
    }
    let response = handle_list_request(&emulation, s, request).await;
    emulation.discovery_endpoints[s].watch_resumes_until.set(emulation.now() + WATCH_RESUME_WINDOW);
    response
}

/// In polling mode, queues a new request behind those of all schedulers. Returns false on a
/// timeout in the queue.
async fn wait_for_discovery(emulation: &Rc<Emulation>, s: usize) -> bool {
    let now = emulation.now();
    let polls = emulation.world.borrow().scenario.discovery.mode == DiscoveryMode::Poll;
    if !polls || now <= emulation.discovery_endpoints[s].watch_resumes_until.get() {
        return true;
    }
    let reply_time = emulation.world.borrow_mut().request_list(now);
    let (Ok(at) | Err(at)) = reply_time;
    tokio::time::sleep(Duration::from_nanos(at.saturating_sub(now))).await;
    reply_time.is_ok()
}

async fn handle_list_request(
    emulation: &Rc<Emulation>,
    s: usize,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let path = request.uri().path().to_string();
    if request.method() != "GET" || path != "/v1/servers" {
        return Some(http::response(404, ""));
    }
    let query = request.uri().query().unwrap_or("").to_string();
    let query_value = |name: &str| {
        let pair = query.split('&').filter_map(|p| p.split_once('=')).find(|p| p.0 == name);
        pair.and_then(|p| p.1.parse::<u64>().ok())
    };
    let Some(from) = query_value("from") else {
        return Some(http::response(200, full_list(emulation, s).to_string()));
    };
    let hold = Duration::from_millis(query_value("hold_ms").unwrap_or(0)).min(MAX_HOLD);
    let changed_list = async {
        loop {
            let notified = emulation.discovery_endpoints[s].list_changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if let Some(list) = changes_since(emulation, s, from) {
                return list;
            }
            notified.await;
        }
    };
    let list = match tokio::time::timeout(hold, changed_list).await {
        Ok(list) => list,
        Err(_) => {
            record_changes(emulation, s);
            let seq = emulation.discovery_endpoints[s].list_history.borrow().0;
            json!({"seq": seq.max(from), "whole": false, "hosts": []})
        }
    };
    while !emulation.world.borrow().discovery_up() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Some(http::response(200, list.to_string()))
}

/// Adds the changes of the scheduler's list since the last call to the history.
fn record_changes(emulation: &Emulation, s: usize) {
    let (seq, entries) = emulation.world.borrow().known_list(s);
    let mut history = emulation.discovery_endpoints[s].list_history.borrow_mut();
    let (last_seq, entries_before, changes) = &mut *history;
    if *last_seq == seq {
        return;
    }
    for entry in &entries {
        if entries_before.iter().find(|e| e.worker == entry.worker) != Some(entry) {
            changes.push_back((seq, entry.clone()));
        }
    }
    while changes.len() > MAX_CHANGES {
        changes.pop_front();
    }
    (*last_seq, *entries_before) = (seq, entries);
}

fn host_entries(emulation: &Emulation, s: usize, entries: &[WorkerEntry]) -> Vec<Value> {
    let world = emulation.world.borrow();
    let worker_address =
        |e: &WorkerEntry| emulation.callback_queues[s * world.workers() + e.worker].address.get().to_string();
    entries
        .iter()
        .map(|e| settings::discovery_entry(&world, e, &worker_address(e), emulation.epoch_ms.get()))
        .collect()
}

/// Returns the full list of a scheduler, without removed workers.
pub(crate) fn full_list(emulation: &Emulation, s: usize) -> Value {
    record_changes(emulation, s);
    let history = emulation.discovery_endpoints[s].list_history.borrow();
    let listed: Vec<WorkerEntry> = history.1.iter().filter(|e| e.health != Health::Left).cloned().collect();
    json!({"seq": history.0, "whole": true, "hosts": host_entries(emulation, s, &listed)})
}

/// Returns the changes since a version, or `None` if there are none.
fn changes_since(emulation: &Emulation, s: usize, from: u64) -> Option<Value> {
    record_changes(emulation, s);
    let (seq, changed, truncated) = {
        let history = emulation.discovery_endpoints[s].list_history.borrow();
        let newer: Vec<&WorkerEntry> = history.2.iter().filter(|c| c.0 > from).map(|c| &c.1).collect();
        // Only the latest change of each worker is sent.
        let mut latest: Vec<WorkerEntry> = Vec::new();
        for entry in newer {
            latest.retain(|e| e.worker != entry.worker);
            latest.push(entry.clone());
        }
        let truncated = history.2.len() >= MAX_CHANGES && history.2.front().is_some_and(|c| c.0 > from + 1);
        (history.0, latest, truncated)
    };
    if truncated || from > seq {
        return Some(full_list(emulation, s));
    }
    (!changed.is_empty())
        .then(|| json!({"seq": seq, "whole": false, "hosts": host_entries(emulation, s, &changed)}))
}
