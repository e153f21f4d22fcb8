//! Schedulers: real processes that are started, signalled, killed and started again.

use crate::cost::{self, Cost};
use crate::peers::Links;
use crate::stage::Stage;
use crate::{agent, wire};
use loomlb_policy::Nanos;
use loomlb_simulation::invariants::SchedulerExit;
use loomlb_simulation::settings;
use loomlb_simulation::world::{Signal, ms};
use rustix::process::{Pid, Signal as Unix, kill_process};
use serde_json::json;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::task::spawn_local;

/// A scheduler serves within this time of its start, or the run fails.
const READY: Duration = Duration::from_secs(20);
/// After SIGTERM a scheduler may take this long and its longest deadline; then it is killed.
const NOTICE: Duration = Duration::from_millis(700);
/// Of that deadline no more counts.
const LONGEST: Duration = Duration::from_secs(3);
/// Clients still come to it for so long.
const STILL: Nanos = 300_000_000;
/// What a scheduler wrote last is read by its clients within this time of its end.
const READ: Duration = Duration::from_millis(300);

/// One scheduler.
#[derive(Debug)]
pub(crate) struct Scheduler {
    /// Where clients and workers reach it.
    pub(crate) listen: SocketAddr,
    /// Number of its starts.
    pub(crate) run: Cell<u64>,
    /// The front offers it to clients until then.
    pub(crate) seen_until: Cell<Nanos>,
    /// It was asked to end, or killed.
    ending: Cell<bool>,
    orderly: Cell<bool>,
    /// When it was asked to end, if it was killed because it took too long.
    asked: Cell<Nanos>,
    overran: Cell<bool>,
    pid: Cell<Option<u32>>,
    /// What its earlier runs cost, and this one so far.
    past: Cell<Cost>,
    running: Cell<Cost>,
    file: PathBuf,
    peer_listen: SocketAddr,
    peers: Vec<SocketAddr>,
}

impl Scheduler {
    /// What its process has cost, restarts included, up to the last look.
    pub(crate) fn cost(&self) -> Cost {
        self.past.get().and(self.running.get())
    }
    /// Looks at what its process costs.
    pub(crate) fn look(&self) {
        if let Some(pid) = self.pid.get() {
            let cost = cost::of(&pid.to_string());
            if cost.peak_mb > 0.0 {
                self.running.set(cost);
            }
        }
    }
}

/// Chooses addresses. Nothing is started yet.
pub(crate) async fn prepare(files: &Path, count: usize, links: &Links) -> io::Result<Vec<Scheduler>> {
    let mut all = Vec::new();
    for s in 0..count {
        // The port is free at an address of this scheduler's own; it binds it itself in a moment.
        let listen = wire::bind(30, s, 0).await?.local_addr()?;
        all.push(Scheduler {
            listen,
            run: Cell::new(0),
            seen_until: Cell::new(0),
            ending: Cell::new(false),
            orderly: Cell::new(false),
            asked: Cell::new(0),
            overran: Cell::new(false),
            pid: Cell::new(None),
            past: Cell::default(),
            running: Cell::default(),
            file: files.join(format!("scheduler-{s}.json")),
            peer_listen: links.listen[s],
            peers: links.peers(s)?,
        });
    }
    Ok(all)
}

fn configure(stage: &Stage, s: usize) -> io::Result<()> {
    let (me, known) = (&stage.schedulers[s], agent::whole(stage, s));
    let world = stage.world.borrow();
    let seed = stage.front.borrow_mut().next_u64();
    let talk = world.scenario.schedulers.talk;
    let config = json!({
        "name": format!("n{s}"), "listen": me.listen.to_string(),
        "discovery": stage.agents[s].at.get().to_string(), "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": stage.options.memory_mb, "sockets": stage.options.sockets},
        "peer_listen": talk.then(|| me.peer_listen.to_string()),
        "peers": if talk { me.peers.iter().map(SocketAddr::to_string).collect() } else { Vec::new() },
        "known": known,
        "settings": settings::raw_settings(&world.scenario, s, stage.arrivals.borrow().tenant_rates()),
    });
    if let Some(quota) = &world.scenario.quota {
        let text = toml::to_string(&Operator { quota }).map_err(io::Error::other)?;
        std::fs::write(operator(&me.file), text)?;
    }
    std::fs::write(&me.file, config.to_string())
}

/// What an operator file says here.
#[derive(serde::Serialize)]
struct Operator<'a> {
    quota: &'a loomlb_quota::Spec,
}

/// The operator file of a scheduler, beside its configuration.
fn operator(file: &Path) -> PathBuf {
    file.with_extension("toml")
}

/// Starts a scheduler's process and watches over its end.
pub(crate) async fn start(stage: &Rc<Stage>, s: usize) -> io::Result<()> {
    configure(stage, s)?;
    let me = &stage.schedulers[s];
    let (program, first) =
        stage.options.program.split_first().ok_or_else(|| io::Error::other("no program to start"))?;
    let mut command = Command::new(program);
    command
        .args(first)
        .arg("serve")
        .env_clear()
        .env("LB_CONFIG", &me.file)
        .kill_on_drop(true)
        .stdin(Stdio::null());
    if let Some(level) = std::env::var_os("RUST_LOG") {
        command.env("RUST_LOG", level);
    }
    if !stage.options.show_logs {
        command.stdout(Stdio::null()).stderr(Stdio::null());
    }
    if stage.world.borrow().scenario.quota.is_some() {
        command.env("LOOMLB_OPERATOR", operator(&me.file));
    }
    let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", program.to_string_lossy()));
    let child = command.spawn().map_err(named)?;
    me.pid.set(child.id());
    me.run.set(me.run.get() + 1);
    me.past.set(me.cost());
    me.running.set(Cost::default());
    me.ending.set(false);
    me.orderly.set(false);
    me.overran.set(false);
    spawn_local(watch(Rc::clone(stage), s, child));
    Ok(())
}

/// Waits until all schedulers serve.
pub(crate) async fn ready(stage: &Rc<Stage>) -> io::Result<()> {
    for s in 0..stage.schedulers.len() {
        serves(stage, s).await?;
    }
    Ok(())
}

async fn serves(stage: &Rc<Stage>, s: usize) -> io::Result<()> {
    let me = &stage.schedulers[s];
    let run = me.run.get();
    let up = async {
        while me.run.get() == run
            && wire::call(me.listen, "GET", "/healthz", Duration::from_secs(1)).await != Some(200)
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(READY, up).await.map_err(|_| {
        io::Error::new(
            io::ErrorKind::TimedOut,
            format!("scheduler {s} does not serve within {} s", READY.as_secs()),
        )
    })?;
    me.seen_until.set(Nanos::MAX);
    Ok(())
}

async fn watch(stage: Rc<Stage>, s: usize, mut child: Child) {
    let ended = child.wait().await;
    let me = &stage.schedulers[s];
    me.pid.set(None);
    let orderly = me.orderly.get() && ended.as_ref().is_ok_and(|e| e.success());
    if !me.ending.get() || (me.orderly.get() && !orderly && !me.overran.get()) {
        stage.counts.borrow_mut().crashes += 1;
    }
    // What is on the way to its clients still gets there.
    tokio::time::sleep(READ).await;
    let now = stage.now();
    let notice = {
        let world = stage.world.borrow();
        ms(stage.front.borrow_mut().uniform(world.scenario.schedulers.notice_ms))
    };
    me.seen_until.set(me.seen_until.get().min(now + notice));
    let end = match (me.orderly.get(), me.overran.get()) {
        (true, true) => SchedulerExit::ShutdownTimedOut(me.asked.get()),
        (true, false) => SchedulerExit::Exited,
        (false, _) => SchedulerExit::Killed,
    };
    stage.world.borrow_mut().invariant_checker.scheduler_ended(now, s, end);
    stage.world.borrow_mut().abandon_jobs(now, s);
    if stage.over.get() {
        return;
    }
    let restart = stage.world.borrow().scenario.schedulers.restart_ms;
    tokio::time::sleep(Duration::from_nanos(ms(restart))).await;
    if stage.over.get() || start(&stage, s).await.is_err() {
        return;
    }
    let _ = serves(&stage, s).await;
}

fn send(stage: &Stage, s: usize, signal: Unix) {
    let pid = stage.schedulers[s].pid.get().and_then(|p| Pid::from_raw(p as i32));
    if let Some(pid) = pid {
        let _ = kill_process(pid, signal);
    }
}

/// Carries out what the day has for a scheduler.
pub(crate) fn signal(stage: &Rc<Stage>, s: usize, signal: Signal) {
    let me = &stage.schedulers[s];
    match signal {
        Signal::Kill => {
            me.ending.set(true);
            send(stage, s, Unix::KILL);
        }
        Signal::Term => terminate(stage, s),
        Signal::Moved => {
            let stage = Rc::clone(stage);
            spawn_local(async move {
                if agent::move_to(&stage, s).await.is_ok() && configure(&stage, s).is_ok() {
                    send(&stage, s, Unix::HUP);
                }
            });
        }
    }
}

fn terminate(stage: &Rc<Stage>, s: usize) {
    let me = &stage.schedulers[s];
    if me.pid.get().is_none() || me.ending.replace(true) {
        return;
    }
    me.orderly.set(true);
    me.asked.set(stage.now());
    me.seen_until.set(stage.now() + STILL);
    send(stage, s, Unix::TERM);
    let longest = stage.world.borrow().scenario.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let limit = NOTICE + Duration::from_nanos(ms(longest)).min(LONGEST);
    let (stage, run) = (Rc::clone(stage), me.run.get());
    spawn_local(async move {
        tokio::time::sleep(limit).await;
        let me = &stage.schedulers[s];
        if me.run.get() == run && me.pid.get().is_some() {
            me.overran.set(true);
            send(&stage, s, Unix::KILL);
        }
    });
}

/// Ends all schedulers in order and waits for them.
pub(crate) async fn finish(stage: &Rc<Stage>) {
    stage.over.set(true);
    for s in 0..stage.schedulers.len() {
        terminate(stage, s);
    }
    let gone = || stage.schedulers.iter().all(|s| s.pid.get().is_none());
    let limit = tokio::time::Instant::now() + NOTICE + LONGEST + Duration::from_secs(2);
    while !gone() && tokio::time::Instant::now() < limit {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(READ + Duration::from_millis(50)).await;
}
