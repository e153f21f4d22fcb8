//! A run from its start to its report.

use super::changes::{self, Changes};
use super::clients::{self, Load, Seen};
use super::fleet::{self, Fleet, KEY, Role, Spent, Told};
use super::hollow::{Life, Marks, Spec};
use super::host::{Counted, Host, machine};
use super::limits::{self, Machine};
use super::links::{self, Links};
use super::list::{self, List, Worker};
use super::report::{self, Clients, Hosts, Leases, Part, Process, Report, Spread};
use super::{Error, Options, Sizes, ZONES, workers};
use loomlb_capacity::Costs;
use loomlb_consensus::history_check::HistoryEvent;
use loomlb_consensus::{EffectiveRules, Nanos};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// Hollow schedulers of one thread.
const TO_A_HOST: usize = 50;
/// Threads of hollow schedulers, at the most.
const HOSTS: usize = 6;
/// A run in which not all have leases by then is none.
const START: Duration = Duration::from_secs(60);
/// Between two looks at leases.
const LOOK: Duration = Duration::from_millis(100);
/// A host that takes more of a core than this was the bottleneck.
const BUSY: f64 = 0.7;
/// Faults of workers, over all 19,000 and a day.
const FAILURES: f64 = 290.0;
const RESTARTS: f64 = 5500.0;
/// Workers of a rack at the target.
const RACK: f64 = 40.0;
/// One region in so many.
const REGIONS: usize = 7;

/// What a host of hollow schedulers shares with the run.
#[derive(Debug, Default)]
struct Shared {
    /// The region is cut off.
    cut: AtomicBool,
    /// Looks count.
    on: AtomicBool,
    /// Hollow schedulers that start anew.
    restart: Mutex<VecDeque<usize>>,
    /// What they began to act on: who, when, what.
    takes: Mutex<Vec<(usize, Nanos, EffectiveRules)>>,
    looks: AtomicU64,
    kept: AtomicU64,
    lapses: AtomicU64,
    late_lapses: AtomicU64,
    /// Those that have a lease now.
    held: AtomicU64,
}

fn locked<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether a hollow scheduler is in the region that is cut off.
fn in_region(number: usize) -> bool {
    number % REGIONS == REGIONS - 1
}

struct Slot {
    number: usize,
    life: RefCell<Option<Rc<Life>>>,
    marks: Rc<Marks>,
    cut: Rc<Cell<bool>>,
    anew: tokio::sync::Notify,
}

/// Starts hollow schedulers, each with where it finds the voters.
fn hollow_host(
    name: &str,
    specs: Vec<(usize, Spec)>,
    shared: Arc<Shared>,
    bytes: Vec<Arc<Counted>>,
) -> Result<Host, Error> {
    let open = move || async move {
        let slots: Rc<Vec<Rc<Slot>>> = Rc::new(
            specs
                .iter()
                .map(|(number, _)| {
                    Rc::new(Slot {
                        number: *number,
                        life: RefCell::default(),
                        marks: Rc::default(),
                        cut: Rc::default(),
                        anew: tokio::sync::Notify::new(),
                    })
                })
                .collect(),
        );
        for (slot, ((_, spec), bytes)) in slots.iter().zip(specs.into_iter().zip(bytes)) {
            let slot = Rc::clone(slot);
            spawn_local(async move {
                loop {
                    let made = Life::new(
                        spec.clone(),
                        Rc::clone(&slot.marks),
                        Arc::clone(&bytes),
                        Rc::clone(&slot.cut),
                    );
                    let Ok(life) = made else { return };
                    *slot.life.borrow_mut() = Some(Rc::clone(&life));
                    tokio::select! {
                        () = life.live() => {}
                        () = slot.anew.notified() => {}
                    }
                }
            });
        }
        spawn_local(look(slots, shared));
        Ok(())
    };
    Ok(Host::start(name, open)?.0)
}

/// Looks at the leases of a host's schedulers, and passes on what the run wants of them.
async fn look(slots: Rc<Vec<Rc<Slot>>>, shared: Arc<Shared>) {
    let mut held = 0;
    loop {
        tokio::time::sleep(LOOK).await;
        let (cut, on) = (shared.cut.load(Ordering::Relaxed), shared.on.load(Ordering::Relaxed));
        let mut anew = locked(&shared.restart);
        anew.retain(|n| match slots.iter().find(|s| s.number == *n) {
            Some(slot) => {
                slot.anew.notify_one();
                false
            }
            None => true,
        });
        drop(anew);
        let mut takes = Vec::new();
        let (mut holds, mut looks, mut kept) = (0, 0, 0);
        for slot in slots.iter() {
            slot.cut.set(cut && in_region(slot.number));
            takes.extend(slot.marks.takes.borrow_mut().drain(..).map(|(at, what)| (slot.number, at, what)));
            let may_act = slot.life.borrow().as_ref().and_then(|l| l.may_act());
            holds += u64::from(may_act == Some(true));
            let (lapses, late) = (slot.marks.lapses.take(), slot.marks.late_lapses.take());
            if !slot.cut.get() {
                looks += u64::from(may_act.is_some());
                kept += u64::from(may_act == Some(true));
                if on {
                    shared.lapses.fetch_add(lapses, Ordering::Relaxed);
                    shared.late_lapses.fetch_add(late, Ordering::Relaxed);
                }
            }
        }
        if !takes.is_empty() {
            locked(&shared.takes).append(&mut takes);
        }
        shared.held.fetch_add(holds, Ordering::Relaxed);
        shared.held.fetch_sub(std::mem::replace(&mut held, holds), Ordering::Relaxed);
        if on {
            shared.looks.fetch_add(looks, Ordering::Relaxed);
            shared.kept.fetch_add(kept, Ordering::Relaxed);
        }
    }
}

/// All that runs. It is dropped in this order: first the real processes, then the threads around them.
struct Stage {
    fleet: Fleet,
    links: Vec<Links>,
    list: Arc<List>,
    shared: Arc<Shared>,
    hollow_bytes: Arc<Counted>,
    checked: Arc<Counted>,
    clients: Vec<Arc<Seen>>,
    changes: Arc<Changes>,
    hosts: Vec<Host>,
}

fn roles(options: &Options) -> Vec<Role> {
    let mut roles = vec![Role::Voter; options.voters];
    roles.extend(vec![Role::Serving; options.serving]);
    roles.extend([Role::Idle, Role::Gateway, Role::Gateway]);
    roles.extend(options.faults.then_some(Role::Cut));
    roles
}

fn open(options: &Options, sizes: &Sizes, settings: &serde_json::Value) -> Result<Stage, Error> {
    let files = |e: std::io::Error| Error::Files(e);
    let mut fleet = Fleet::new(options.program.clone(), options.logs)?;
    let roles = roles(options);
    // Two runs on one machine have addresses of their own.
    let net = 40 + (std::process::id() % 80) as u8 * 2;
    let at = fleet::addresses(net, roles.len()).map_err(files)?;
    let port = std::net::TcpListener::bind((workers::address(net + 1, 0, 0).ip(), 0))
        .and_then(|l| l.local_addr())
        .map_err(files)?
        .port();
    let listed = (0..sizes.workers).map(|w| Worker {
        dial: workers::address(net + 1, w, port),
        left: false,
        born_ms: 0,
    });
    let list = List::new(listed.collect(), ZONES);
    let voters: Vec<SocketAddr> = at[..options.voters].iter().map(|a| a[2]).collect();
    let (for_links, callers) = (voters.clone(), roles.len() + 1);
    let (links_host, links) = Host::start("links", move || links::open(callers, for_links))?;
    let mut hosts = vec![links_host];

    let clients: Vec<Arc<Seen>> = (0..options.serving).map(|_| Arc::default()).collect();
    let changes: Arc<Changes> = Arc::default();
    let loads: Vec<(Load, Arc<Seen>)> = clients
        .iter()
        .enumerate()
        .map(|(i, seen)| {
            let load = Load {
                scheduler: i,
                at: at[options.voters + i][0],
                starts: sizes.starts,
                flows: sizes.flows as f64,
                ramp: ramp(options),
                seed: options.seed + i as u64,
            };
            (load, Arc::clone(seen))
        })
        .collect();
    let with = (0..roles.len()).filter(|n| roles[*n] == Role::Gateway);
    let gateways: Vec<SocketAddr> = with.map(|n| at[n][1]).collect();
    let (told, document, theirs) = (Arc::clone(&list), settings.clone(), Arc::clone(&changes));
    let (count, rate) = (sizes.workers, sizes.changes);
    let (stands, discovery) = Host::start("stands", move || async move {
        let discovery = list::open(told).await?;
        loads.into_iter().for_each(|(load, seen)| _ = spawn_local(clients::run(load, seen)));
        spawn_local(changes::run(gateways, document, count, rate, theirs));
        Ok(discovery)
    })?;
    hosts.push(stands);

    let told =
        Told { known: list.all(), settings, discovery, bound: options.bound, sockets: sizes.sockets() };
    for (n, role) in roles.iter().enumerate() {
        fleet.add(*role, at[n], &links[n], options.voters, &told);
    }
    drop(told);
    let serving: Vec<SocketAddr> = (0..options.serving).map(|i| at[options.voters + i][0]).collect();
    fleet.start_workers(&options.host, sizes.workers, net + 1, port, &serving)?;
    for n in 0..roles.len() {
        fleet.launch(n, true)?;
        // Each reads a long file at its start: all at once would starve the ones that vote.
        std::thread::sleep(Duration::from_millis(50));
    }

    let shared: Arc<Shared> = Arc::default();
    let count = sizes.hollow(options);
    let (bytes, checked) = (Arc::new(Counted::new(options.voters)), Arc::new(Counted::new(options.voters)));
    let timing = options.timing()?;
    let per = count.div_ceil(count.div_ceil(TO_A_HOST).min(HOSTS)).max(1);
    for first in (0..count).step_by(per) {
        let of = first..(first + per).min(count);
        let spec = |number: usize| {
            // The first one goes by a counted link, so that both ends' counts can be compared.
            let voters = if number == 0 { links[roles.len()].at.clone() } else { voters.clone() };
            let spec =
                Spec { key: KEY.into(), name: format!("h{number}"), voters, timing, list: 1, flaw: None };
            (number, spec)
        };
        let counted = of.clone().map(|n| Arc::clone(if n == 0 { &checked } else { &bytes })).collect();
        let name = format!("hollow-{}", first / per);
        hosts.push(hollow_host(&name, of.map(spec).collect(), Arc::clone(&shared), counted)?);
    }
    Ok(Stage { fleet, links, list, shared, hollow_bytes: bytes, checked, clients, changes, hosts })
}

/// How long flows are opened before the measured time, in seconds.
fn ramp(options: &Options) -> f64 {
    (options.seconds as f64 / 2.0).clamp(1.0, 8.0)
}

/// What has been spent and said by now.
struct Snapshot {
    at: Instant,
    machine: Nanos,
    spent: Vec<Option<Spent>>,
    links: Vec<[u64; 2]>,
    voters: Vec<[u64; 2]>,
    hosts: Vec<f64>,
    workers: f64,
    jobs: [u64; 3],
    busy: f64,
}

impl Stage {
    fn snapshot(&self, options: &Options) -> Snapshot {
        let counted: Vec<&Counted> = self.links.iter().map(|l| &*l.counted).collect();
        let voter = |v: usize| {
            let [mut heard, mut said] = self.hollow_bytes.of(v);
            // Of the checked one the link's own count stands for both.
            for c in &counted {
                let [to, from] = c.of(v);
                (heard, said) = (heard + to, said + from);
            }
            let [to, from] = counted[v].all();
            [said + to, heard + from]
        };
        let host =
            |h: &Host| fleet::cpu(&format!("/proc/self/task/{}/stat", h.meter.thread())).unwrap_or(0.0);
        let sum = |of: fn(&Seen) -> &AtomicU64| {
            self.clients.iter().map(|c| of(c).load(Ordering::Relaxed)).sum::<u64>()
        };
        Snapshot {
            at: Instant::now(),
            machine: machine(),
            spent: (0..self.fleet.nodes.len()).map(|n| self.fleet.pid(n).and_then(fleet::spent)).collect(),
            links: counted.iter().map(|c| c.all()).collect(),
            voters: (0..options.voters).map(voter).collect(),
            hosts: self.hosts.iter().map(host).collect(),
            workers: self
                .fleet
                .workers
                .iter()
                .filter_map(|w| fleet::spent(w.0.id()))
                .map(|s| s.cpu)
                .fold(0.0, f64::max),
            jobs: [sum(|c| &c.sent), sum(|c| &c.served), sum(|c| &c.failed)],
            busy: busy(),
        }
    }
}

/// Processor time that all of the machine has spent, in seconds.
fn busy() -> f64 {
    let text = std::fs::read_to_string("/proc/stat").unwrap_or_default();
    let first = text.lines().next().unwrap_or_default();
    let ticks: Vec<f64> = first.split_whitespace().skip(1).filter_map(|t| t.parse().ok()).collect();
    // All but what was idle or waited for a disk.
    let all: f64 = ticks.iter().take(8).sum();
    let idle: f64 = ticks.iter().skip(3).take(2).sum();
    (all - idle) / rustix::param::clock_ticks_per_second() as f64
}

/// Waits, and ends at once if the run was stopped.
fn pause(options: &Options, time: Duration) -> Result<(), Error> {
    let end = Instant::now() + time;
    loop {
        if options.stop.is_requested() {
            return Err(Error::Stopped);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        std::thread::sleep(left.min(Duration::from_millis(20)));
    }
}

/// Something that goes wrong, and when, as a part of the measured time.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Launch(usize),
    Stop(usize, bool),
    Restart(usize),
    Fail(usize),
    Renew(usize),
    Rack(bool),
}

fn faults(options: &Options, sizes: &Sizes) -> Vec<(f64, Fault)> {
    if !options.faults {
        return Vec::new();
    }
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let days = options.seconds as f64 / 86_400.0 * sizes.workers as f64 / super::TARGET.workers as f64;
    let scaled = |a_day: f64| (a_day * days).round().max(1.0) as usize;
    let killed = rng.usize(0..options.voters);
    let stopped = (killed + 1 + rng.usize(0..options.voters - 1)) % options.voters;
    let mut all = vec![
        (0.10, Fault::Kill(killed)),
        (0.25, Fault::Launch(killed)),
        (0.40, Fault::Stop(stopped, true)),
        (0.50, Fault::Stop(stopped, false)),
        (0.65, Fault::Rack(true)),
        (0.85, Fault::Rack(false)),
    ];
    all.extend((0..scaled(FAILURES)).map(|_| (rng.f64(), Fault::Fail(rng.usize(0..sizes.workers)))));
    all.extend((0..scaled(RESTARTS)).map(|_| (rng.f64(), Fault::Renew(rng.usize(0..sizes.workers)))));
    // As many schedulers start anew as workers fail.
    let whole: Vec<usize> = (0..sizes.hollow(options)).filter(|n| !in_region(*n)).collect();
    all.extend(
        (0..scaled(FAILURES))
            .map(|_| (0.1 + 0.8 * rng.f64(), Fault::Restart(whole[rng.usize(0..whole.len())]))),
    );
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}

impl Stage {
    #[expect(clippy::disallowed_methods, reason = "discovery dates its workers by the wall clock")]
    fn suffer(&mut self, fault: Fault, sizes: &Sizes) -> Result<(), Error> {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = now.map_or(1, |t| t.as_millis() as u64);
        let part = sizes.workers as f64 / super::TARGET.workers as f64;
        let rack = (RACK * part).round().max(1.0) as usize;
        match fault {
            Fault::Kill(n) => self.fleet.kill(n),
            Fault::Launch(n) => self.fleet.launch(n, false)?,
            Fault::Stop(n, stop) => self.fleet.stop(n, stop),
            Fault::Restart(n) => locked(&self.shared.restart).push_back(n),
            Fault::Fail(w) => self.list.change(std::iter::once(w), |w| w.left = true),
            Fault::Renew(w) => self.list.change(std::iter::once(w), |w| w.born_ms = born),
            Fault::Rack(leaves) => self.list.change(0..rack.min(sizes.workers), |w| {
                (w.left, w.born_ms) = (leaves, if leaves { w.born_ms } else { born });
            }),
        }
        Ok(())
    }
}

/// Runs, and says what came of it.
pub fn run(options: &Options, tell: &mut dyn FnMut(&str)) -> Result<Report, Error> {
    let sizes = Sizes::of(options)?;
    options.timing()?;
    if !(3..=7).contains(&options.voters) || options.voters.is_multiple_of(2) {
        return Err(Error::Option { key: "voters", reason: format!("{}: 3, 5 or 7", options.voters) });
    }
    let (machine_here, need) = (Machine::here(), limits::need(options, &sizes));
    limits::check(&need, &machine_here)?;
    let settings = changes::settings(ZONES, sizes.document);
    let workload = options.workload(&sizes, settings.to_string().len());
    let predicted = options.predict.as_ref().map(|path| super::predicted(path, &workload)).transpose()?;
    if let Some(costs) = &predicted {
        tell(&format!("predicted: {}", serde_json::to_string(costs).unwrap_or_default()));
    }

    let begun = Instant::now();
    let mut stage = open(options, &sizes, &settings)?;
    let (hollow, all) = (sizes.hollow(options), stage.fleet.nodes.len());
    let mut faults_found: Vec<String> = Vec::new();
    loop {
        pause(options, LOOK)?;
        let held = stage.shared.held.load(Ordering::Relaxed) as usize;
        if held >= hollow && (0..all).all(|n| stage.fleet.ready(n)) {
            break;
        }
        if let Some(n) = (0..all).find(|n| !stage.fleet.runs(*n)) {
            let node = format!("n{n} ({:?}) has ended by itself", stage.fleet.nodes[n].role);
            return Err(Error::Start {
                program: options.program.first().cloned().into(),
                source: std::io::Error::other(node),
            });
        }
        if begun.elapsed() > START {
            let ready = (0..all).filter(|n| stage.fleet.ready(*n)).count();
            let why = format!(
                "after {} s {held} of {hollow} hollow schedulers had a lease, and {ready} of {all} real ones served",
                START.as_secs()
            );
            tell(&why);
            faults_found.push(why);
            break;
        }
    }
    let start_s = begun.elapsed().as_secs_f64();
    tell(&format!("all have leases after {start_s:.1} s"));

    // Flows are opened and changes begin before anything is measured.
    stage.clients.iter().for_each(|c| c.on.store(true, Ordering::Relaxed));
    stage.changes.on.store(true, Ordering::Relaxed);
    pause(options, Duration::from_secs_f64(ramp(options) + 2.0))?;
    if options.faults {
        stage.shared.cut.store(true, Ordering::Relaxed);
        for n in (0..all).filter(|n| stage.fleet.nodes[*n].role == Role::Cut) {
            stage.links[n].cut.store(true, Ordering::Relaxed);
        }
    }
    stage.hosts.iter().for_each(|h| h.meter.anew());
    stage.shared.on.store(true, Ordering::Relaxed);
    let from = stage.snapshot(options);
    tell("measuring");

    let length = Duration::from_secs(options.seconds);
    let mut coming = faults(options, &sizes).into_iter().peekable();
    let (mut looks, mut kept) = (0u64, 0u64);
    let mut open_flows: Vec<Vec<f64>> = vec![Vec::new(); options.serving];
    let mut next_look = Duration::ZERO;
    while from.at.elapsed() < length {
        pause(options, Duration::from_millis(20))?;
        let now = from.at.elapsed();
        while let Some((_, fault)) = coming.next_if(|f| length.mul_f64(f.0) <= now) {
            tell(&format!("{:.1} s: {fault:?}", now.as_secs_f64()));
            stage.suffer(fault, &sizes)?;
        }
        if now >= next_look {
            next_look = now + Duration::from_secs(1);
            for n in (0..all).filter(|n| matches!(stage.fleet.nodes[*n].role, Role::Serving | Role::Idle)) {
                looks += 1;
                kept += u64::from(stage.fleet.ready(n));
            }
            for (seen, open) in stage.clients.iter().zip(&mut open_flows) {
                open.push(seen.open.load(Ordering::Relaxed) as f64);
            }
        }
    }
    let to = stage.snapshot(options);
    let late: Vec<(f64, f64)> = stage.hosts.iter().map(|h| h.meter.late_ms()).collect();
    stage.shared.on.store(false, Ordering::Relaxed);
    stage.changes.on.store(false, Ordering::Relaxed);
    // What was agreed last comes into force yet.
    pause(options, Duration::from_secs_f64(2.0 * options.bound))?;
    for n in 0..all {
        if !stage.fleet.runs(n) {
            faults_found.push(format!("n{n} has ended by itself"));
        }
    }

    let span = (to.at - from.at).as_secs_f64();
    let held = stage.shared.held.load(Ordering::Relaxed) as usize;
    let leases = Leases {
        kept_share: share(&stage.shared.kept, &stage.shared.looks),
        kept_share_real: kept as f64 / looks.max(1) as f64,
        lapses: stage.shared.lapses.load(Ordering::Relaxed),
        late_lapses: stage.shared.late_lapses.load(Ordering::Relaxed),
        lapses_real: lapses(&stage, &from, &to),
        hollow,
        held,
    };
    let (told, versions) = in_force(&stage, options, &from, &to);
    let processes: Vec<Process> = (0..all).map(|n| process(&stage, n, &from, &to, span)).collect();
    let voters: Vec<usize> = (0..options.voters).filter(|n| !processes[*n].disturbed).collect();
    let of = |role: Role, what: &dyn Fn(&Process) -> f64| {
        let all = processes.iter().filter(|p| p.role == role && !p.disturbed).map(what).collect();
        report::median(all)
    };
    let rate = |what: usize| {
        report::median(
            voters.iter().map(|v| (to.voters[*v][what] - from.voters[*v][what]) as f64 / span).collect(),
        )
    };
    let measured = Costs {
        scheduler_sent: of(Role::Serving, &|p| p.tier[0]),
        scheduler_received: of(Role::Serving, &|p| p.tier[1]),
        // What serves no jobs spends all for control.
        scheduler_cpu: of(Role::Idle, &|p| p.cpu),
        scheduler_memory: of(Role::Serving, &|p| p.memory[0]),
        voter_sent: rate(0),
        voter_received: rate(1),
        voter_cpu: of(Role::Voter, &|p| p.cpu),
        voter_memory: of(Role::Voter, &|p| p.memory[0]),
        voter_disk: of(Role::Voter, &|p| p.disk),
        versions: Some(versions as f64 / span),
        propagation_seconds: told.in_force_s.median,
    };
    let mut parts: Vec<Part> = Vec::new();
    for (n, host) in stage.hosts.iter().enumerate() {
        let cpu = (to.hosts[n] - from.hosts[n]) / span;
        parts.push(Part { name: host.name.clone(), cpu, late_ms: Some([late[n].0, late[n].1]) });
    }
    let cpu = (to.workers - from.workers) / span;
    parts.push(Part { name: "workers (the busiest process)".into(), cpu, late_ms: None });
    faults_found.extend(bottlenecks(&parts, &leases, workload.renew));
    let host = Hosts {
        parts,
        checked: [stage.checked.all(), stage.links[all].counted.all()],
        whole_lists: stage.list.whole.load(Ordering::Relaxed),
        machine_busy: (to.busy - from.busy) / span / machine_here.cores as f64,
        start_s,
    };
    let ratios = predicted.as_ref().map(|p| report::ratios(&measured, p)).unwrap_or_default();
    let off = ratios.iter().filter(|r| !(0.75..=1.25).contains(r.1)).map(|r| r.0.clone()).collect();
    let verdict = match faults_found.is_empty() {
        true => "counts".to_string(),
        false => format!("no result: {}", faults_found.join("; ")),
    };
    Ok(Report {
        part: options.part.1.clone(),
        seconds: options.seconds,
        seed: options.seed,
        faults: options.faults,
        machine: machine_here,
        need,
        workload,
        predicted,
        measured,
        ratios,
        off,
        changes: told,
        leases,
        processes,
        clients: Clients {
            open: open_flows.into_iter().map(|o| report::median(o).unwrap_or(0.0)).collect(),
            jobs: [0, 1, 2].map(|i| to.jobs[i] - from.jobs[i]),
        },
        host,
        verdict,
    })
}

fn share(of: &AtomicU64, all: &AtomicU64) -> f64 {
    of.load(Ordering::Relaxed) as f64 / all.load(Ordering::Relaxed).max(1) as f64
}

/// Why the stand-ins rather than the program may have made the figures.
pub(crate) fn bottlenecks(parts: &[Part], leases: &Leases, renew: f64) -> Vec<String> {
    let mut all = Vec::new();
    for part in parts {
        if part.cpu > BUSY {
            all.push(format!("host {} took {:.2} of a core", part.name, part.cpu));
        }
        if let Some([p99, _]) = part.late_ms.filter(|l| l[0] > renew * 500.0) {
            all.push(format!("timers of host {} were late by {p99:.0} ms at p99", part.name));
        }
    }
    if leases.late_lapses > 0 {
        all.push(format!("{} hollow leases ended as their host was late", leases.late_lapses));
    }
    all
}

/// Leases of measured schedulers that ended within the measured time.
fn lapses(stage: &Stage, from: &Snapshot, to: &Snapshot) -> u64 {
    let measured = stage.fleet.nodes.iter().enumerate();
    let measured = measured.filter(|(_, n)| matches!(n.role, Role::Serving | Role::Idle));
    let lapsed = |n: usize| {
        let lines = stage.fleet.history(n);
        let within = lines.iter().filter(|l| (from.machine..to.machine).contains(&l.at));
        within.filter(|l| l.event == HistoryEvent::LeaseExpired).count() as u64
    };
    measured.map(|(n, _)| lapsed(n)).sum()
}

fn process(stage: &Stage, n: usize, from: &Snapshot, to: &Snapshot, span: f64) -> Process {
    let node = &stage.fleet.nodes[n];
    let (before, after) = (from.spent[n].unwrap_or_default(), to.spent[n].unwrap_or_default());
    let links = |i: usize| (to.links[n][i] - from.links[n][i]) as f64 / span;
    let tier = stage.fleet.tier(n).unwrap_or_default();
    let counts = serde_json::json!({"counts": tier["counts"], "may_act": tier["may_act"], "acting": tier["acting"],
        "fault": tier["fault"], "leads": tier["voter"]["leads"]});
    Process {
        name: node.name.clone(),
        role: node.role,
        disturbed: node.disturbed,
        cpu: ((after.cpu - before.cpu) / span).max(0.0),
        memory: [after.memory, after.peak],
        tier: [links(0), links(1)],
        disk: ((after.written - before.written) / span).max(0.0),
        counts,
    }
}

/// What became of the changes, and how many versions came into force within the measured time.
fn in_force(stage: &Stage, options: &Options, from: &Snapshot, to: &Snapshot) -> (report::Changes, u64) {
    // Who acts from when on what at the least; only who was not cut off.
    let mut since: BTreeMap<usize, Vec<(Nanos, u64)>> = BTreeMap::new();
    let hollow = locked(&stage.shared.takes);
    for (who, at, acting) in hollow.iter().filter(|t| !options.faults || !in_region(t.0)) {
        since.entry(*who).or_default().push((*at, acting.oldest_version()));
    }
    drop(hollow);
    for (n, node) in stage.fleet.nodes.iter().enumerate() {
        if matches!(node.role, Role::Serving | Role::Idle) {
            let takes = stage.fleet.history(n).into_iter().filter_map(|l| match l.event {
                HistoryEvent::Adopted(acting) => Some((l.at, acting.oldest_version())),
                _ => None,
            });
            since.insert(usize::MAX - n, takes.collect());
        }
    }
    // When all act on a version or a later one.
    let everywhere = |version: u64| {
        let first = |takes: &Vec<(Nanos, u64)>| takes.iter().find(|t| t.1 >= version).map(|t| t.0);
        since.values().map(first).try_fold(0, |last, at| Some(last.max(at?)))
    };
    let mut told = report::Changes::default();
    let mut times = Vec::new();
    for change in stage.changes.all().iter().filter(|c| (from.machine..to.machine).contains(&c.at)) {
        told.proposed += 1;
        told.orders += usize::from(change.order);
        match (change.status, change.version) {
            (Some(200 | 202), Some(version)) => {
                told.agreed += 1;
                match everywhere(version) {
                    Some(at) => times.push(at.saturating_sub(change.at) as f64 / 1e9),
                    None => told.pending += 1,
                }
            }
            (Some(409), _) => told.missed += 1,
            (Some(503), _) => told.late += 1,
            (other, _) => *told.refused.entry(other.unwrap_or(0)).or_default() += 1,
        }
    }
    times.sort_by(f64::total_cmp);
    told.in_force_s = Spread { median: report::median(times.clone()), longest: times.last().copied() };
    let newest = |end: Nanos| since.values().flatten().filter(|t| t.0 < end).map(|t| t.1).max().unwrap_or(0);
    (told, newest(to.machine) - newest(from.machine))
}
