//! Hollow clients: they hold flows open at the schedulers that serve, and start more at a steady pace.

use super::http::Wire;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::spawn_local;

/// What the clients of one scheduler have seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// Sent.
    pub sent: AtomicU64,
    /// Answered 200.
    pub served: AtomicU64,
    /// Answered otherwise, or not at all.
    pub failed: AtomicU64,
    /// Open now.
    pub open: AtomicU64,
    /// Jobs are to be sent.
    pub on: AtomicBool,
}

/// The load on one scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Its number in the ids of jobs.
    pub scheduler: usize,
    /// Where it listens.
    pub at: SocketAddr,
    /// Jobs a second.
    pub starts: f64,
    /// Flows that are open at once.
    pub flows: f64,
    /// Within which all flows are opened, in seconds.
    pub ramp: f64,
    /// Seed of the times.
    pub seed: u64,
}

/// Sends jobs for as long as the host lives.
pub async fn run(load: Load, seen: Arc<Seen>) {
    if load.starts <= 0.0 {
        return;
    }
    let idle: Rc<RefCell<Vec<Wire>>> = Rc::default();
    let mut rng = fastrand::Rng::with_seed(load.seed);
    while !seen.on.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let begun = tokio::time::Instant::now();
    // A job takes so long, that at this pace so many are open.
    let life = load.flows / load.starts;
    let mut due = 0.0;
    for number in 0u64.. {
        let opening = due < load.ramp && (number as f64) < load.flows;
        let hold = if opening { load.ramp - due + life * rng.f64() } else { life * (0.5 + rng.f64()) };
        due += if opening { load.ramp / load.flows } else { 1.0 / load.starts };
        tokio::time::sleep_until(begun + Duration::from_secs_f64(due)).await;
        let (seen, idle, scheduler) = (Arc::clone(&seen), Rc::clone(&idle), load.scheduler);
        spawn_local(async move {
            seen.sent.fetch_add(1, Ordering::Relaxed);
            seen.open.fetch_add(1, Ordering::Relaxed);
            let asked = async {
                // A kept connection may close in the moment in which a request crosses: then it goes out once more.
                loop {
                    let kept = idle.borrow_mut().pop();
                    let again = kept.is_some();
                    let mut wire = match kept {
                        Some(wire) => wire,
                        None => Wire::open(load.at).await.ok()?,
                    };
                    let headers = format!(
                        "X-Correlation-Id: {scheduler:04x}{number:012x}\r\nX-Service-Class: lodge\r\n\
                         X-Time-Left: 600.000\r\nIdempotency-Key: {scheduler:04x}{number:012x}\r\n"
                    );
                    let first = format!("POST /lodge/{}", (hold * 1e3) as u64);
                    match wire.ask(&first, &headers, b"x").await {
                        Ok(answer) => {
                            idle.borrow_mut().push(wire);
                            return answer.status();
                        }
                        Err(_) if again => continue,
                        Err(_) => return None,
                    }
                }
            };
            let count = if asked.await == Some(200) { &seen.served } else { &seen.failed };
            count.fetch_add(1, Ordering::Relaxed);
            seen.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}
