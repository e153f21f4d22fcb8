//! Hollow workers: a process of the laboratory that listens for many, each at a loopback address of its own, as a scheduler
//! takes the end of a job from the worker that it sent it to alone. A job tells in its path how long it takes.

use super::http::Wire;
use super::list::name;
use serde_json::json;
use std::cell::RefCell;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

/// Workers of one process; with their connections they stay within 20,000 descriptors.
pub const MOST: usize = 9_500;
/// Tries to tell the end of a job.
const TRIES: usize = 10;

/// What a process of workers is told.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// The first worker's number.
    #[arg(long)]
    pub first: usize,
    /// How many.
    #[arg(long)]
    pub count: usize,
    /// Their second octet, as many runs may be on a machine.
    #[arg(long)]
    pub net: u8,
    /// Their port.
    #[arg(long)]
    pub port: u16,
    /// Where the schedulers listen, by the number that a job's id starts with.
    #[arg(long, value_delimiter = ',')]
    pub schedulers: Vec<SocketAddr>,
}

/// Where a worker listens.
pub fn address(net: u8, worker: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(127, net, (worker / 250) as u8, (worker % 250) as u8 + 1);
    SocketAddr::new(IpAddr::V4(ip), port)
}

/// Listens for workers until standard input ends.
pub fn run(args: &Args) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (over, mut ends) = tokio::sync::oneshot::channel::<()>();
    std::thread::spawn(move || {
        let _ = io::stdin().read(&mut [0; 1]);
        drop(over);
    });
    LocalSet::new().block_on(&runtime, async move {
        open(args, Arc::default()).await?;
        println!("ready");
        io::stdout().flush()?;
        let _ = (&mut ends).await;
        Ok(())
    })
}

/// Opens the listeners of the workers on the current thread; `accepted` counts the connections made to them.
pub async fn open(args: &Args, accepted: Arc<AtomicU64>) -> io::Result<()> {
    let schedulers = args.schedulers.iter().map(|at| Scheduler { at: *at, idle: RefCell::default() });
    let schedulers: Rc<Vec<Scheduler>> = Rc::new(schedulers.collect());
    for worker in args.first..args.first + args.count {
        let listener = TcpListener::bind(address(args.net, worker, args.port)).await?;
        spawn_local(listen(worker, listener, Rc::clone(&schedulers), Arc::clone(&accepted)));
    }
    Ok(())
}

struct Scheduler {
    at: SocketAddr,
    idle: RefCell<Vec<Wire>>,
}

async fn listen(
    worker: usize,
    listener: TcpListener,
    schedulers: Rc<Vec<Scheduler>>,
    accepted: Arc<AtomicU64>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        accepted.fetch_add(1, Ordering::Relaxed);
        let schedulers = Rc::clone(&schedulers);
        spawn_local(async move {
            let mut wire = Wire::new(stream);
            while let Ok(Some(job)) = wire.read().await {
                let (method, path) = job.first.split_once(' ').unwrap_or_default();
                let id = job.header("X-Correlation-Id").map(str::to_string);
                let status = match id {
                    Some(id) if method == "POST" => {
                        let hold = path.split([' ', '/']).nth(2).and_then(|ms| ms.parse().ok()).unwrap_or(0);
                        spawn_local(end(worker, id, hold, Rc::clone(&schedulers)));
                        202
                    }
                    _ => 200,
                };
                if wire.answer(status, b"").await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Tells the end of a job, until that is heard.
async fn end(worker: usize, id: String, hold_ms: u64, schedulers: Rc<Vec<Scheduler>>) {
    tokio::time::sleep(Duration::from_millis(hold_ms)).await;
    let number = id.get(..4).and_then(|hex| usize::from_str_radix(hex, 16).ok());
    let Some(scheduler) = number.and_then(|n| schedulers.get(n)) else { return };
    let body = json!({"id": id, "from": name(worker), "state": "done", "result": "r"}).to_string();
    for _ in 0..TRIES {
        let told = async {
            let kept = scheduler.idle.borrow_mut().pop();
            let mut wire = match kept {
                Some(wire) => wire,
                None => Wire::open(scheduler.at).await.ok()?,
            };
            let answer = wire.ask("POST /v1/job-events", "", body.as_bytes()).await.ok()?;
            scheduler.idle.borrow_mut().push(wire);
            answer.status()
        };
        match tokio::time::timeout(Duration::from_secs(2), told).await {
            Ok(Some(200 | 204)) => return,
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}
