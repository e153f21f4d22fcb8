//! Discovery's endpoints, one for each scheduler: they answer at once with what they have been sent, hold a watch until
//! there is news, and say nothing while discovery is down.

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

/// Changes that an agent remembers; a watch from before them gets the whole list.
const MAX_CHANGES: usize = 4096;
/// Longest hold of a watch that the platform grants.
const MAX_HOLD: Duration = Duration::from_secs(60);
/// After a move the old address closes its connections after this time.
const CLOSE_DELAY: Duration = Duration::from_millis(1500);
/// How often an agent looks whether discovery is up again.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A call that comes so soon after the last answer goes on with the same watch.
const WATCH_RESUME_WINDOW: Nanos = 200_000_000;

/// Its version, its entries, and what has changed by which version.
type ListHistory = (u64, Vec<WorkerEntry>, VecDeque<(u64, WorkerEntry)>);

/// The agent of a scheduler.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) list_changed: Notify,
    /// Where it answers now.
    pub(crate) address: Cell<SocketAddr>,
    /// The list as it was last told, to make out what is new.
    list_history: RefCell<ListHistory>,
    moved: watch::Sender<u64>,
    /// A watch goes on, at no cost, if the next call comes by then.
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

/// Opens the agent anew at another address; the old one accepts nothing more and soon closes.
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
    let response = reply(&emulation, s, request).await;
    emulation.discovery_endpoints[s].watch_resumes_until.set(emulation.now() + WATCH_RESUME_WINDOW);
    response
}

/// Where discovery is asked, a new call waits for its turn among all schedulers' calls; no if that would take too long.
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

async fn reply(emulation: &Rc<Emulation>, s: usize, request: Request<Incoming>) -> Option<Response<Body>> {
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

/// Takes in what the scheduler has been told by now.
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

fn hosts(emulation: &Emulation, s: usize, entries: &[WorkerEntry]) -> Vec<Value> {
    let world = emulation.world.borrow();
    let dial =
        |e: &WorkerEntry| emulation.callback_queues[s * world.workers() + e.worker].address.get().to_string();
    entries.iter().map(|e| settings::discovery_entry(&world, e, &dial(e), emulation.epoch_ms.get())).collect()
}

/// The whole list as the scheduler has been told it, without what has left.
pub(crate) fn full_list(emulation: &Emulation, s: usize) -> Value {
    record_changes(emulation, s);
    let history = emulation.discovery_endpoints[s].list_history.borrow();
    let listed: Vec<WorkerEntry> = history.1.iter().filter(|e| e.health != Health::Left).cloned().collect();
    json!({"seq": history.0, "whole": true, "hosts": hosts(emulation, s, &listed)})
}

/// What is newer than a version; none if nothing is.
fn changes_since(emulation: &Emulation, s: usize, from: u64) -> Option<Value> {
    record_changes(emulation, s);
    let (seq, changed, truncated) = {
        let history = emulation.discovery_endpoints[s].list_history.borrow();
        let newer: Vec<&WorkerEntry> = history.2.iter().filter(|c| c.0 > from).map(|c| &c.1).collect();
        // The last word on each counts.
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
    (!changed.is_empty()).then(|| json!({"seq": seq, "whole": false, "hosts": hosts(emulation, s, &changed)}))
}
