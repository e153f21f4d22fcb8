//! Discovery's stand-in: one list of workers for all schedulers, and what has changed since a version.

use super::http::Wire;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Changes that are remembered; a watch from before them gets the whole list.
const REMEMBERED: usize = 4096;
/// The longest hold of a watch.
const LONGEST: Duration = Duration::from_secs(60);

/// A worker of the list.
#[derive(Clone, Copy, Debug)]
pub struct Worker {
    /// Where it listens.
    pub dial: SocketAddr,
    /// It has left.
    pub left: bool,
    /// When its process started, in Unix milliseconds.
    pub born_ms: u64,
}

#[derive(Debug)]
struct Told {
    seq: u64,
    workers: Vec<Worker>,
    changes: VecDeque<(u64, usize)>,
}

/// The list.
#[derive(Debug)]
pub struct List {
    told: Mutex<Told>,
    news: watch::Sender<u64>,
    zones: usize,
    /// The whole list as text, by its version: at the target it is long, and many ask for it.
    text: Mutex<(u64, Arc<str>)>,
    /// Calls for the whole list.
    pub whole: AtomicU64,
    /// Bytes of answers.
    pub bytes: AtomicU64,
}

/// A worker's name.
pub fn name(worker: usize) -> String {
    format!("s-{:08x}", worker + 1)
}

impl List {
    /// A list of these workers, in so many zones; its version is 1.
    pub fn new(workers: Vec<Worker>, zones: usize) -> Arc<List> {
        Arc::new(List {
            told: Mutex::new(Told { seq: 1, workers, changes: VecDeque::new() }),
            news: watch::channel(1).0,
            zones,
            text: Mutex::new((0, "".into())),
            whole: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        })
    }

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes some workers in one new version.
    pub fn change(&self, workers: impl Iterator<Item = usize>, change: impl Fn(&mut Worker)) {
        let mut told = self.told();
        told.seq += 1;
        let seq = told.seq;
        for worker in workers {
            if let Some(entry) = told.workers.get_mut(worker) {
                change(entry);
                told.changes.push_back((seq, worker));
            }
        }
        while told.changes.len() > REMEMBERED {
            told.changes.pop_front();
        }
        self.news.send_replace(seq);
    }

    fn entry(&self, worker: usize, w: &Worker) -> Value {
        let zone = worker % self.zones;
        json!({"host": name(worker), "dial": w.dial.to_string(), "site": format!("z{zone}"), "class": "k", "block": zone,
            "health": if w.left { "left" } else { "active" }, "share": 1.0, "born_ms": w.born_ms})
    }

    /// All that are there.
    pub fn all(&self) -> Value {
        let told = self.told();
        let here = told.workers.iter().enumerate().filter(|w| !w.1.left);
        let hosts: Vec<Value> = here.map(|(at, w)| self.entry(at, w)).collect();
        json!({"seq": told.seq, "whole": true, "hosts": hosts})
    }

    /// What is newer than a version, or all where that is forgotten; none if nothing is.
    fn since(&self, from: u64) -> Option<Value> {
        let told = self.told();
        if told.seq <= from {
            return None;
        }
        if told.changes.len() >= REMEMBERED && told.changes.front().is_some_and(|c| c.0 > from + 1) {
            drop(told);
            return Some(self.all());
        }
        let mut newer: Vec<usize> = told.changes.iter().filter(|c| c.0 > from).map(|c| c.1).collect();
        newer.sort_unstable();
        newer.dedup();
        let hosts: Vec<Value> = newer.into_iter().map(|at| self.entry(at, &told.workers[at])).collect();
        Some(json!({"seq": told.seq, "whole": false, "hosts": hosts}))
    }

    fn whole_text(&self) -> Arc<str> {
        let seq = self.told().seq;
        let mut text = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        if text.0 != seq {
            *text = (seq, self.all().to_string().into());
        }
        Arc::clone(&text.1)
    }

    async fn answer(&self, path: &str) -> Arc<str> {
        let asked = |name: &str| {
            let mut pairs = path.split(['?', '&']).filter_map(|p| p.split_once('='));
            pairs.find(|p| p.0 == name).and_then(|p| p.1.parse::<u64>().ok())
        };
        let Some(from) = asked("from") else {
            self.whole.fetch_add(1, Ordering::Relaxed);
            return self.whole_text();
        };
        let hold = Duration::from_millis(asked("hold_ms").unwrap_or(0)).min(LONGEST);
        let mut news = self.news.subscribe();
        let waits = async {
            loop {
                if let Some(list) = self.since(from) {
                    return list;
                }
                if news.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        match tokio::time::timeout(hold, waits).await {
            Ok(list) => list.to_string().into(),
            Err(_) => json!({"seq": from, "whole": false, "hosts": []}).to_string().into(),
        }
    }
}

/// Opens discovery's address.
pub async fn open(list: Arc<List>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let list = Arc::clone(&list);
            spawn_local(async move {
                let mut wire = Wire::new(stream);
                while let Ok(Some(call)) = wire.read().await {
                    let path = call.first.split(' ').nth(1).unwrap_or_default().to_string();
                    let body = list.answer(&path).await;
                    list.bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
                    if wire.answer(200, body.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(at)
}
