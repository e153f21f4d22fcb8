//! Discovery's agents, one for each scheduler: they answer at once with what they have been sent, hold a watch until
//! there is news, and say nothing while discovery is down.

use crate::stage::Stage;
use crate::wire::{self, Body};
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
const REMEMBERED: usize = 4096;
/// Longest hold of a watch that the platform grants.
const LONGEST: Duration = Duration::from_secs(60);
/// After a move the old address closes its connections after this time.
const CLOSES: Duration = Duration::from_millis(1500);
/// How often an agent looks whether discovery is up again.
const LOOK: Duration = Duration::from_millis(50);
/// A call that comes so soon after the last answer goes on with the same watch.
const GOES_ON: Nanos = 200_000_000;

/// Its version, its entries, and what has changed by which version.
type Seen = (u64, Vec<WorkerEntry>, VecDeque<(u64, WorkerEntry)>);

/// The agent of a scheduler.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) news: Notify,
    /// Where it answers now.
    pub(crate) at: Cell<SocketAddr>,
    /// The list as it was last told, to make out what is new.
    seen: RefCell<Seen>,
    closing: watch::Sender<u64>,
    /// A watch goes on, at no cost, if the next call comes by then.
    goes_on: Cell<Nanos>,
}

pub(crate) async fn open(count: usize) -> io::Result<(Vec<Agent>, Vec<TcpListener>)> {
    let (mut agents, mut listeners) = (Vec::new(), Vec::new());
    for s in 0..count {
        let listener = wire::bind(31, s, 0).await?;
        let at = Cell::new(listener.local_addr()?);
        agents.push(Agent {
            news: Notify::new(),
            at,
            seen: RefCell::default(),
            closing: watch::channel(0).0,
            goes_on: Cell::new(0),
        });
        listeners.push(listener);
    }
    Ok((agents, listeners))
}

pub(crate) fn start(stage: &Rc<Stage>, listeners: Vec<TcpListener>) {
    for (s, listener) in listeners.into_iter().enumerate() {
        spawn_local(accept(Rc::clone(stage), s, listener));
    }
}

/// Opens the agent anew at another address; the old one accepts nothing more and soon closes.
pub(crate) async fn move_to(stage: &Rc<Stage>, s: usize) -> io::Result<()> {
    let listener = wire::bind(31, s, 1).await?;
    stage.agents[s].at.set(listener.local_addr()?);
    stage.agents[s].closing.send_modify(|n| *n += 1);
    spawn_local(accept(Rc::clone(stage), s, listener));
    Ok(())
}

async fn accept(stage: Rc<Stage>, s: usize, listener: TcpListener) {
    let mut moved = stage.agents[s].closing.subscribe();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = moved.changed() => return,
        };
        let Ok((stream, _)) = stream else { continue };
        let (stage, mut moved) = (Rc::clone(&stage), moved.clone());
        spawn_local(async move {
            let here = Rc::clone(&stage);
            let hang_up = async move {
                let _ = moved.changed().await;
                tokio::time::sleep(CLOSES).await;
            };
            wire::serve(stream, move |r| answer(Rc::clone(&here), s, r), hang_up).await;
        });
    }
}

async fn answer(stage: Rc<Stage>, s: usize, request: Request<Incoming>) -> Option<Response<Body>> {
    while !stage.world.borrow().discovery_up() {
        tokio::time::sleep(LOOK).await;
    }
    if !has_its_turn(&stage, s).await {
        return Some(wire::response(503, ""));
    }
    let answered = reply(&stage, s, request).await;
    stage.agents[s].goes_on.set(stage.now() + GOES_ON);
    answered
}

/// Where discovery is asked, a new call waits for its turn among all schedulers' calls; no if that would take too long.
async fn has_its_turn(stage: &Rc<Stage>, s: usize) -> bool {
    let now = stage.now();
    let asked = stage.world.borrow().scenario.discovery.mode == DiscoveryMode::Poll;
    if !asked || now <= stage.agents[s].goes_on.get() {
        return true;
    }
    let turn = stage.world.borrow_mut().request_list(now);
    let (Ok(at) | Err(at)) = turn;
    tokio::time::sleep(Duration::from_nanos(at.saturating_sub(now))).await;
    turn.is_ok()
}

async fn reply(stage: &Rc<Stage>, s: usize, request: Request<Incoming>) -> Option<Response<Body>> {
    let path = request.uri().path().to_string();
    if request.method() != "GET" || path != "/v1/servers" {
        return Some(wire::response(404, ""));
    }
    let query = request.uri().query().unwrap_or("").to_string();
    let asked = |name: &str| {
        let pair = query.split('&').filter_map(|p| p.split_once('=')).find(|p| p.0 == name);
        pair.and_then(|p| p.1.parse::<u64>().ok())
    };
    let Some(from) = asked("from") else {
        return Some(wire::response(200, whole(stage, s).to_string()));
    };
    let hold = Duration::from_millis(asked("hold_ms").unwrap_or(0)).min(LONGEST);
    let news = async {
        loop {
            let told = stage.agents[s].news.notified();
            tokio::pin!(told);
            told.as_mut().enable();
            if let Some(list) = since(stage, s, from) {
                return list;
            }
            told.await;
        }
    };
    let list = match tokio::time::timeout(hold, news).await {
        Ok(list) => list,
        Err(_) => {
            refresh(stage, s);
            let seq = stage.agents[s].seen.borrow().0;
            json!({"seq": seq.max(from), "whole": false, "hosts": []})
        }
    };
    while !stage.world.borrow().discovery_up() {
        tokio::time::sleep(LOOK).await;
    }
    Some(wire::response(200, list.to_string()))
}

/// Takes in what the scheduler has been told by now.
fn refresh(stage: &Stage, s: usize) {
    let (seq, entries) = stage.world.borrow().known_list(s);
    let mut seen = stage.agents[s].seen.borrow_mut();
    let (last, old, log) = &mut *seen;
    if *last == seq {
        return;
    }
    for entry in &entries {
        if old.iter().find(|e| e.worker == entry.worker) != Some(entry) {
            log.push_back((seq, entry.clone()));
        }
    }
    while log.len() > REMEMBERED {
        log.pop_front();
    }
    (*last, *old) = (seq, entries);
}

fn hosts(stage: &Stage, s: usize, entries: &[WorkerEntry]) -> Vec<Value> {
    let world = stage.world.borrow();
    let dial = |e: &WorkerEntry| stage.words[s * world.workers() + e.worker].at.get().to_string();
    entries.iter().map(|e| settings::discovery_entry(&world, e, &dial(e), stage.epoch_ms.get())).collect()
}

/// The whole list as the scheduler has been told it, without what has left.
pub(crate) fn whole(stage: &Stage, s: usize) -> Value {
    refresh(stage, s);
    let seen = stage.agents[s].seen.borrow();
    let here: Vec<WorkerEntry> = seen.1.iter().filter(|e| e.health != Health::Left).cloned().collect();
    json!({"seq": seen.0, "whole": true, "hosts": hosts(stage, s, &here)})
}

/// What is newer than a version; none if nothing is.
fn since(stage: &Stage, s: usize, from: u64) -> Option<Value> {
    refresh(stage, s);
    let (seq, changed, forgotten) = {
        let seen = stage.agents[s].seen.borrow();
        let newer: Vec<&WorkerEntry> = seen.2.iter().filter(|c| c.0 > from).map(|c| &c.1).collect();
        // The last word on each counts.
        let mut last: Vec<WorkerEntry> = Vec::new();
        for entry in newer {
            last.retain(|e| e.worker != entry.worker);
            last.push(entry.clone());
        }
        let forgotten = seen.2.len() >= REMEMBERED && seen.2.front().is_some_and(|c| c.0 > from + 1);
        (seen.0, last, forgotten)
    };
    if forgotten || from > seq {
        return Some(whole(stage, s));
    }
    (!changed.is_empty()).then(|| json!({"seq": seq, "whole": false, "hosts": hosts(stage, s, &changed)}))
}
