//! Hosts: the threads in which stand-ins live, and what they cost, told apart from what is measured.

use super::Error;
use loomlb_consensus::Nanos;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicI32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};

/// How often a host looks at its own clock.
const TICK: Duration = Duration::from_millis(10);
/// Looks that are remembered.
const LOOKS: usize = 200_000;

/// The machine's monotonic clock, in nanoseconds: the same for all processes on it.
pub fn machine() -> Nanos {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as Nanos * 1_000_000_000 + now.tv_nsec as Nanos
}

/// Bytes that callers said to each voter and heard from it, without headers of the network.
#[derive(Debug)]
pub struct Counted {
    to: Vec<AtomicU64>,
    from: Vec<AtomicU64>,
}

impl Counted {
    /// None yet, for so many voters.
    pub fn new(voters: usize) -> Counted {
        let zeros = || (0..voters).map(|_| AtomicU64::new(0)).collect();
        Counted { to: zeros(), from: zeros() }
    }
    /// So many bytes went to a voter.
    pub fn said(&self, voter: usize, bytes: usize) {
        self.to[voter].fetch_add(bytes as u64, Ordering::Relaxed);
    }
    /// So many came from it.
    pub fn heard(&self, voter: usize, bytes: usize) {
        self.from[voter].fetch_add(bytes as u64, Ordering::Relaxed);
    }
    /// To a voter and from it, so far.
    pub fn of(&self, voter: usize) -> [u64; 2] {
        [self.to[voter].load(Ordering::Relaxed), self.from[voter].load(Ordering::Relaxed)]
    }
    /// To all voters and from them, so far.
    pub fn all(&self) -> [u64; 2] {
        (0..self.to.len()).map(|v| self.of(v)).fold([0, 0], |a, b| [a[0] + b[0], a[1] + b[1]])
    }
}

/// What a host tells of itself.
#[derive(Debug, Default)]
pub struct Meter {
    thread: AtomicI32,
    late: Mutex<Vec<u32>>,
}

impl Meter {
    /// Its thread, as the system numbers it.
    pub fn thread(&self) -> i32 {
        self.thread.load(Ordering::Relaxed)
    }
    /// Forgets how late it was so far.
    pub fn anew(&self) {
        self.late.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
    /// How late its timers ran, at p99 and at the most, in milliseconds.
    pub fn late_ms(&self) -> (f64, f64) {
        let mut all = self.late.lock().unwrap_or_else(PoisonError::into_inner).clone();
        all.sort_unstable();
        let at = |part: f64| {
            all.get(((all.len().max(1) - 1) as f64 * part) as usize).map_or(0.0, |us| f64::from(*us) / 1e3)
        };
        (at(0.99), at(1.0))
    }

    async fn run(self: Arc<Self>) {
        loop {
            let before = Instant::now();
            tokio::time::sleep(TICK).await;
            // A timer of the runtime is a millisecond late by its nature.
            let late = before.elapsed().saturating_sub(TICK).as_micros() as u32;
            let mut all = self.late.lock().unwrap_or_else(PoisonError::into_inner);
            if all.len() < LOOKS {
                all.push(late);
            }
        }
    }
}

/// A thread of stand-ins. It ends when it is dropped.
#[derive(Debug)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// What it tells of itself.
    pub meter: Arc<Meter>,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Host {
    /// Starts a thread; `open` opens all that stands in it, and what it gives is handed back.
    pub fn start<T, F, R>(name: &str, open: F) -> Result<(Host, T), Error>
    where
        T: Send + 'static,
        F: FnOnce() -> R + Send + 'static,
        R: Future<Output = std::io::Result<T>>,
    {
        let (meter, over) = (Arc::new(Meter::default()), Arc::new(AtomicBool::new(false)));
        let (theirs, ends) = (Arc::clone(&meter), Arc::clone(&over));
        let (send, receive) = mpsc::channel();
        let thread = std::thread::Builder::new().name(name.into()).spawn(move || {
            theirs.thread.store(rustix::thread::gettid().as_raw_nonzero().get(), Ordering::Relaxed);
            let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(e) => return drop(send.send(Err(e))),
            };
            LocalSet::new().block_on(&runtime, async move {
                let opened = open().await;
                let failed = opened.is_err();
                if send.send(opened).is_err() || failed {
                    return;
                }
                spawn_local(theirs.run());
                while !ends.load(Ordering::Relaxed) {
                    tokio::time::sleep(TICK * 2).await;
                }
            });
        });
        let named = |e: std::io::Error| Error::Host { host: name.into(), source: e };
        let thread = Some(thread.map_err(named)?);
        let host = Host { name: name.into(), meter, over, thread };
        let opened = receive.recv().map_err(|e| named(std::io::Error::other(e)))?;
        Ok((host, opened.map_err(named)?))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
