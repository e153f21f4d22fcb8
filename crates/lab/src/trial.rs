//! Trials of the tier's agreement in virtual time: the cores of `loomlb-consensus` on a network that loses, delays, doubles
//! and cuts, with processes that stall, die and come back and clocks that run apart. What comes of it is judged by the
//! same checker that reads the histories of real processes.

use loomlb_consensus::document::DocumentBody;
use loomlb_consensus::history_check::{CheckReport, HistoryEvent as Did, HistoryRecord, check_history};
use loomlb_consensus::lease_grants::LeaseGrants;
use loomlb_consensus::lease_holder::LeaseHolder;
use loomlb_consensus::link_protocol::{self, Channel, LinkMessage};
use loomlb_consensus::log_store::{LogFile, LogStore};
use loomlb_consensus::raft_node::{self, RaftNode, TICK_NANOS};
use loomlb_consensus::raft_node_error::RaftNodeError;
use loomlb_consensus::state::{Command, ProposalOutcome, ReplicatedState};
use loomlb_consensus::storage::{MemoryStorage, StorageFault};
use loomlb_consensus::timing::{LeaseTiming, TimingConfig};
use loomlb_consensus::vote_check::{RecordedVotes, Vote};
use loomlb_consensus::worker_lists::{ListReport, ListSummary};
use loomlb_consensus::{EffectiveRules, Nanos, Version};
use serde::Serialize;
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

const MS: Nanos = 1_000_000;
const S: Nanos = 1000 * MS;
/// Time between two acts of a scheduler that may act.
const ACT: Nanos = 20 * MS;
/// After the faults everything is whole for this long, and all must agree and act by its end.
const HEALED: Nanos = 15 * S;

/// Pause before a voter whose disk failed tries to recover.
const RECOVERY_PAUSE: Nanos = 100 * MS;

/// A part that is taken away, to show that the checker misses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Without {
    /// Nothing is taken away.
    Nothing,
    /// A voter that starts anew does not wait for what it promised before.
    Quiet,
    /// A version comes into force as soon as it is agreed.
    Readiness,
    /// Clocks run apart by thirty times what the terms say.
    Drift,
    /// A voter whose disk failed does not come back.
    Recovery,
    /// A voter whose disk failed comes back without its vote.
    Vote,
}

/// A trial.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Schedulers.
    pub schedulers: usize,
    /// Those of them that vote.
    pub voters: usize,
    /// Length of the part with faults, in seconds.
    pub seconds: u64,
    /// The figures of the leases.
    pub terms: TimingConfig,
    /// Whether anything goes wrong.
    pub faults: bool,
    /// Whether voters' disks fail for a while as well, beside the other faults or alone.
    pub disks: bool,
    /// Time between two proposals.
    pub every: Nanos,
    /// What is taken away.
    pub without: Without,
}

/// What a trial is put under beside its faults, where its costs are counted. The default is a trial's own.
#[derive(Clone, Debug)]
pub struct Load {
    /// Tenants in the document, beside its class: each adds [`TENANT`] bytes.
    pub tenants: usize,
    /// Those who propose are the last so many schedulers; none for any of them, and now and then two at once.
    pub proposers: Option<usize>,
    /// Before this time proposals come every 400 ms, so that what is remembered of earlier ones is full; then as often as
    /// the trial says. What is counted is counted from then on.
    pub warm: Nanos,
    /// Nothing is proposed from some time before that.
    pub still: bool,
    /// Time between two acts of a scheduler that may act.
    pub act: Nanos,
    /// After the faults everything is whole for this long.
    pub healed: Nanos,
}

impl Default for Load {
    fn default() -> Load {
        Load { tenants: 0, proposers: None, warm: 0, still: false, act: ACT, healed: HEALED }
    }
}

/// Bytes that a tenant adds to a document.
pub const TENANT: usize = 55;
/// Time between two proposals while what is remembered of them fills.
const WARM: Nanos = 400 * MS;

/// So long before counting begins the last proposal is made, where nothing is to change any more.
const SETTLED: Nanos = 3 * S;

/// What went over the links of one scheduler, by the second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Flow {
    /// Bytes to it.
    pub heard: f64,
    /// Bytes from it.
    pub sent: f64,
    /// Words to it.
    pub heard_words: f64,
    /// Words from it.
    pub sent_words: f64,
}

/// What was counted on the links, from [`Load::warm`] until the trial's part with proposals ends. Words are counted as
/// they are sealed. What a voter's scheduler says to the voter itself goes over no link.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Traffic {
    /// For how long it was counted.
    pub seconds: f64,
    /// A scheduler that does not vote, the mean of all.
    pub scheduler: Flow,
    /// A voter, the mean of all.
    pub voter: Flow,
    /// Bytes a second from one voter to the others: the agreement's messages and words that a voter is ready.
    pub raft: f64,
    /// Bytes a second of proposals, from all schedulers together.
    pub proposals: f64,
    /// Answers with news, a second, to a scheduler that does not vote.
    pub news: f64,
    /// Proposals that were to be made.
    pub wanted: u64,
    /// Those of them that were not made, as another of the same scheduler still waited.
    pub waited: u64,
    /// Those that missed another.
    pub missed: u64,
    /// Versions that came into force.
    pub versions: u64,
    /// Bytes of the newest document, as JSON.
    pub document: usize,
}

/// Sums of what is counted.
struct Count {
    channel: Channel,
    /// By node: bytes and words heard, and sent.
    heard: Vec<[u64; 2]>,
    sent: Vec<[u64; 2]>,
    raft: u64,
    proposals: u64,
    news: u64,
    wanted: u64,
    waited: u64,
    /// Proposals made since.
    made: BTreeSet<u64>,
}

/// What a trial came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Told {
    /// Versions that came into force.
    pub versions: u64,
    /// Proposals that missed another.
    pub missed: u64,
    /// What broke, told.
    pub breaches: Vec<String>,
    /// The longest disagreement, in milliseconds.
    pub disagreed_ms: f64,
    /// Acts.
    pub acts: usize,
    /// From agreed to in force, in milliseconds: median and the most.
    pub force_ms: [f64; 2],
    /// From agreed until every scheduler that may act acts on it, in milliseconds: median and the most.
    pub everywhere_ms: [f64; 2],
    /// Share of the time for which schedulers that ran could act.
    pub could_act: f64,
    /// Words a second and scheduler.
    pub words: f64,
    /// Voters that came back after their disk had failed.
    pub recoveries: u64,
    /// Votes that were told.
    pub votes: usize,
}

enum Due {
    Tick(usize, u64),
    Renew(usize, u64),
    Act(usize, u64),
    Word(usize, usize, u64, Box<LinkMessage>),
    Propose,
    Fault,
    DiskFault,
    DiskWorks(usize, u64),
    Recover(usize, u64),
    Start(usize),
    Continue(usize),
    Cut(Vec<(usize, usize)>, bool),
    Loss(f64),
}

struct Node {
    run: u64,
    up: bool,
    stopped: bool,
    held_up: Vec<Due>,
    rate: f64,
    holder: LeaseHolder,
    voter: Option<(RaftNode, LeaseGrants)>,
    place: MemoryStorage,
    log: Option<LogFile>,
    /// How often the disk has begun to fail.
    disk_faults: u64,
    may: bool,
    proposal: Option<Command>,
}

struct Host {
    trial: Trial,
    timing: LeaseTiming,
    rng: fastrand::Rng,
    now: Nanos,
    pushed: u64,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize)>>,
    store: BTreeMap<usize, Due>,
    nodes: Vec<Node>,
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    lines: Vec<HistoryRecord>,
    agreed: BTreeMap<Version, Nanos>,
    force: BTreeMap<Version, Nanos>,
    everywhere: BTreeMap<Version, Nanos>,
    contradicts: BTreeSet<Version>,
    missed: BTreeSet<u64>,
    words: u64,
    could: (u64, u64),
    healed: bool,
    load: Load,
    tenants: Vec<Value>,
    count: Option<Count>,
    recoveries: u64,
    votes: RecordedVotes,
    breaches: Vec<String>,
}

/// Plays a trial; the same seed has the same end.
pub fn play(trial: &Trial, seed: u64) -> Result<Told, String> {
    Ok(played(trial, Load::default(), false, seed)?.told())
}

/// Plays a trial under a load and counts what goes over the links; the same seed has the same end.
pub fn measure(trial: &Trial, load: &Load, seed: u64) -> Result<(Told, Traffic), String> {
    let host = played(trial, load.clone(), true, seed)?;
    Ok((host.told(), host.traffic()))
}

fn played(trial: &Trial, load: Load, counted: bool, seed: u64) -> Result<Host, String> {
    let timing = trial.terms.derive().map_err(|(key, why)| format!("{key}: {why}"))?;
    let mut host = Host {
        trial: trial.clone(),
        timing,
        rng: fastrand::Rng::with_seed(seed),
        now: 0,
        pushed: 0,
        queue: BinaryHeap::new(),
        store: BTreeMap::new(),
        nodes: Vec::new(),
        cut: BTreeSet::new(),
        loss: 0.0,
        lines: Vec::new(),
        agreed: BTreeMap::new(),
        force: BTreeMap::new(),
        everywhere: BTreeMap::new(),
        contradicts: BTreeSet::new(),
        missed: BTreeSet::new(),
        words: 0,
        could: (0, 0),
        healed: false,
        tenants: (0..load.tenants).map(tenant).collect(),
        load,
        count: counted.then(|| Count::new(trial.schedulers)),
        recoveries: 0,
        votes: RecordedVotes::default(),
        breaches: Vec::new(),
    };
    host.run()?;
    Ok(host)
}

/// An entry of [`TENANT`] bytes, with the comma before it.
fn tenant(number: usize) -> Value {
    json!({"name": format!("tenant-{number:06}"), "quota_rps": 12.5, "share": 0.25})
}

fn with_tenants(mut body: DocumentBody, tenants: &[Value]) -> DocumentBody {
    if !tenants.is_empty() {
        body.settings["tenants"] = Value::Array(tenants.to_vec());
    }
    body
}

/// The document of a number, from 0 to 59, with so many tenants.
pub fn document(number: u64, tenants: usize) -> DocumentBody {
    let tenants: Vec<Value> = (0..tenants).map(tenant).collect();
    with_tenants(body(number), &tenants)
}

impl Count {
    fn new(nodes: usize) -> Count {
        // Of whatever key: it changes no length.
        let (channel, _) = link_protocol::derive_channels("counted", &[0; 16], &[0; 16]);
        let none = vec![[0; 2]; nodes];
        let (raft, proposals, news, wanted, waited) = (0, 0, 0, 0, 0);
        let made = BTreeSet::new();
        Count { channel, heard: none.clone(), sent: none, raft, proposals, news, wanted, waited, made }
    }
}

/// A document whose class and workers follow from a number.
fn body(number: u64) -> DocumentBody {
    let effect = ["idempotent", "deduplicated", "at_most_once"][(number % 3) as usize];
    let settings = json!({"classes": [{"name": "lodge", "effect": effect, "give_up": 5, "group": "all"}], "tick": number / 5});
    let out = if number.is_multiple_of(4) {
        BTreeSet::from([format!("s-{}", number % 3)])
    } else {
        BTreeSet::new()
    };
    DocumentBody { settings, workers_out: out }
}

impl Host {
    fn push(&mut self, at: Nanos, due: Due) {
        self.pushed += 1;
        self.queue.push(Reverse((at, self.pushed, self.pushed as usize)));
        self.store.insert(self.pushed as usize, due);
    }

    /// A node's own clock. Clocks are of no common origin.
    fn clock(&self, n: usize) -> Nanos {
        (self.now as f64 * self.nodes[n].rate) as Nanos + n as Nanos * S
    }

    /// When a node's clock will have gone on by so much.
    fn after(&self, n: usize, span: Nanos) -> Nanos {
        self.now + (span as f64 / self.nodes[n].rate) as Nanos
    }

    fn log(&mut self, n: usize, event: Did) {
        let (who, process) = (format!("n{n}"), self.nodes[n].run);
        self.lines.push(HistoryRecord { at: self.now, scheduler: who, process, event });
    }

    fn run(&mut self) -> Result<(), String> {
        let drift = match self.trial.without {
            Without::Drift => 0.3,
            _ => self.trial.terms.clock_drift,
        };
        for n in 0..self.trial.schedulers {
            let rate = if self.trial.faults { 1.0 + drift * [-1.0, 0.0, 1.0][n % 3] } else { 1.0 };
            let holder = LeaseHolder::new(self.timing, self.trial.voters);
            self.nodes.push(Node {
                run: 0,
                up: false,
                stopped: false,
                held_up: Vec::new(),
                rate,
                holder,
                voter: None,
                place: MemoryStorage::default(),
                log: None,
                disk_faults: 0,
                may: false,
                proposal: None,
            });
            self.start(n)?;
        }
        self.push(S / 2, Due::Propose);
        if self.trial.faults {
            self.push(3 * S, Due::Fault);
        }
        if self.trial.disks {
            self.push(2 * S, Due::DiskFault);
        }
        let faults = self.trial.seconds * S;
        while let Some(Reverse((at, _, key))) = self.queue.pop() {
            if at > faults + self.load.healed {
                break;
            }
            self.now = at;
            if at > faults && !self.healed {
                self.heal();
            }
            if let Some(due) = self.store.remove(&key) {
                self.due(due)?;
            }
        }
        Ok(())
    }

    /// All links hold and all processes run from now on.
    fn heal(&mut self) {
        self.healed = true;
        self.cut.clear();
        self.loss = 0.0;
        self.nodes.iter().for_each(|node| node.place.clear_fault());
        for n in 0..self.nodes.len() {
            if self.nodes[n].stopped {
                self.push(self.now, Due::Continue(n));
            }
        }
    }

    fn start(&mut self, n: usize) -> Result<(), String> {
        let node = &mut self.nodes[n];
        node.run += 1;
        (node.up, node.stopped, node.may, node.proposal) = (true, false, false, None);
        node.held_up.clear();
        node.holder = LeaseHolder::new(self.timing, self.trial.voters);
        if n < self.trial.voters {
            let (id, all) = (n as u64 + 1, self.trial.voters as u64);
            // What its last process had open is closed; what that was told lasts, does.
            node.log = None;
            node.place.lose_power(0);
            let (log, loaded) =
                LogFile::open(&node.place, &id.to_string(), true).map_err(|e| e.to_string())?;
            node.log = Some(log);
            let agreement = RaftNode::new(id, all, loaded).map_err(|e| e.to_string())?;
            let since = match self.trial.without {
                Without::Quiet => None,
                _ => Some(self.clock(n)),
            };
            let promises = LeaseGrants::new(self.timing, since.unwrap_or(0));
            self.nodes[n].voter = Some((agreement, promises));
            self.push(self.now, Due::Tick(n, self.nodes[n].run));
        }
        let run = self.nodes[n].run;
        // Schedulers that start at once do not ask at once.
        let late = self.rng.u64(0..self.timing.renewal_interval);
        self.push(self.now + late, Due::Renew(n, run));
        self.push(self.now + late, Due::Act(n, run));
        Ok(())
    }

    fn due(&mut self, due: Due) -> Result<(), String> {
        let of = match &due {
            Due::Tick(n, run) | Due::Renew(n, run) | Due::Act(n, run) | Due::Recover(n, run) => {
                Some((*n, *run))
            }
            Due::Word(_, to, _, _) => Some((*to, self.nodes[*to].run)),
            _ => None,
        };
        if let Some((n, run)) = of {
            if !self.nodes[n].up || self.nodes[n].run != run {
                return Ok(());
            }
            if self.nodes[n].stopped {
                // A stopped process finds all that waits for it when it goes on, and its clock has moved meanwhile.
                if self.nodes[n].held_up.len() < 5000 {
                    self.nodes[n].held_up.push(due);
                }
                return Ok(());
            }
        }
        match due {
            Due::Tick(n, run) => {
                let leader = self.voter(n, |agreement, promises, now| {
                    agreement.tick();
                    (
                        agreement.leader_id(),
                        promises.ready_version(now, agreement.state()).filter(|_| agreement.has_caught_up()),
                    )
                });
                if let Some((leader, ready)) = leader {
                    self.readiness(n, leader, ready);
                }
                self.turn(n)?;
                self.push(self.after(n, TICK_NANOS), Due::Tick(n, run));
            }
            Due::Renew(n, run) => {
                self.renew(n);
                self.push(self.after(n, self.timing.renewal_interval), Due::Renew(n, run));
            }
            Due::Act(n, run) => {
                self.act(n);
                self.push(self.now + self.load.act, Due::Act(n, run));
            }
            Due::Word(from, to, from_run, word) => self.hear(from, to, from_run, *word)?,
            Due::Propose => {
                let warm = self.now < self.load.warm;
                if !self.load.still || self.now + SETTLED < self.load.warm {
                    self.propose();
                }
                if !self.healed {
                    let every = if warm { WARM } else { self.trial.every };
                    let span = every / 2 + self.rng.u64(0..every);
                    self.push(self.now + span, Due::Propose);
                }
            }
            Due::Fault => {
                if !self.healed {
                    self.fault();
                    let span = 300 * MS + self.rng.u64(0..3 * S);
                    self.push(self.now + span, Due::Fault);
                }
            }
            Due::DiskFault => {
                if !self.healed {
                    self.disk_fault();
                    let span = 500 * MS + self.rng.u64(0..4 * S);
                    self.push(self.now + span, Due::DiskFault);
                }
            }
            Due::DiskWorks(n, fault) => {
                if self.nodes[n].disk_faults == fault {
                    self.nodes[n].place.clear_fault();
                }
            }
            Due::Recover(n, run) => self.recover(n, run)?,
            Due::Start(n) => self.start(n)?,
            Due::Continue(n) => {
                self.nodes[n].stopped = false;
                for due in std::mem::take(&mut self.nodes[n].held_up) {
                    self.push(self.now, due);
                }
            }
            Due::Cut(pairs, on) => pairs.into_iter().for_each(|p| {
                if on && !self.healed {
                    self.cut.insert(p);
                } else {
                    self.cut.remove(&p);
                }
            }),
            Due::Loss(loss) => self.loss = if self.healed { 0.0 } else { loss },
        }
        Ok(())
    }

    fn voter<T>(
        &mut self,
        n: usize,
        word: impl FnOnce(&mut RaftNode, &mut LeaseGrants, Nanos) -> T,
    ) -> Option<T> {
        let now = self.clock(n);
        self.nodes[n].voter.as_mut().map(|(agreement, promises)| word(agreement, promises, now))
    }

    fn readiness(&mut self, n: usize, leader: u64, ready: Option<Version>) {
        if self.trial.without == Without::Readiness {
            self.voter(n, |agreement, _, _| {
                if let Some(version) = agreement.state().pending.as_ref().map(|d| d.version) {
                    (1..=9).for_each(|voter| agreement.record_ready(voter, version));
                }
            });
        }
        let Some(version) = ready else { return };
        if leader == n as u64 + 1 {
            self.voter(n, |agreement, _, _| agreement.record_ready(leader, version));
        } else if leader > 0 {
            self.send(n, leader as usize - 1, LinkMessage::Ready(version));
        }
    }

    /// Lets a voter do what it has to, and sees what has been agreed.
    fn turn(&mut self, n: usize) -> Result<(), String> {
        let Some(mut log) = self.nodes[n].log.take() else { return Ok(()) };
        let out = self.voter(n, |agreement, _, _| agreement.process_pending(&mut log));
        self.nodes[n].log = Some(log);
        let messages = match out.transpose() {
            Ok(messages) => messages.unwrap_or_default(),
            Err(e) => return self.store_failed(n, &e),
        };
        for message in messages {
            if let Some(vote) = Vote::from_message(&message) {
                self.breaches.extend(self.votes.record(vote).map(|breach| breach.to_string()));
            }
            self.send(n, message.to as usize - 1, LinkMessage::Raft(raft_node::encode_message(&message)));
        }
        let Some((agreement, _)) = &self.nodes[n].voter else { return Ok(()) };
        let state = agreement.state();
        let now = self.now;
        for past in &state.history {
            self.agreed.entry(past.version).or_insert(now);
            if past.conflicts_with_previous {
                self.contradicts.insert(past.version);
            }
        }
        if let Some(active) = &state.active {
            self.force.entry(active.version).or_insert(now);
        }
        Ok(())
    }

    /// A voter takes part no more until its store recovers. Errors that no retry mends end the trial.
    fn store_failed(&mut self, n: usize, e: &RaftNodeError) -> Result<(), String> {
        if !e.is_transient() {
            return Err(format!("n{n}: {e}"));
        }
        if self.trial.without != Without::Recovery {
            self.push(self.now + RECOVERY_PAUSE, Due::Recover(n, self.nodes[n].run));
        }
        Ok(())
    }

    /// Rebuilds a voter from what its store has acknowledged, as after a restart.
    fn recover(&mut self, n: usize, run: u64) -> Result<(), String> {
        let Some(log) = self.nodes[n].log.as_mut() else { return Ok(()) };
        let mut loaded = match log.recover() {
            Ok(loaded) => loaded,
            Err(e) if e.is_transient() => {
                self.push(self.now + RECOVERY_PAUSE, Due::Recover(n, run));
                return Ok(());
            }
            Err(e) => return Err(format!("n{n}: {e}")),
        };
        if self.trial.without == Without::Vote {
            loaded.hard_state.vote = 0;
        }
        let (id, all) = (n as u64 + 1, self.trial.voters as u64);
        let agreement = RaftNode::new(id, all, loaded).map_err(|e| e.to_string())?;
        let since = if self.trial.without == Without::Quiet { 0 } else { self.clock(n) };
        self.nodes[n].voter = Some((agreement, LeaseGrants::new(self.timing, since)));
        self.recoveries += 1;
        Ok(())
    }

    /// The disks of some voters fail for a while, now and then of all of them.
    fn disk_fault(&mut self) {
        let voters = self.trial.voters;
        let failing = if self.rng.u8(0..3) == 0 { voters } else { 1 + self.rng.usize(0..voters) };
        let first = self.rng.usize(0..voters);
        let lasts = 50 * MS + self.rng.u64(0..4 * S);
        for n in (first..first + failing).map(|n| n % voters) {
            let room = self.rng.usize(0..200);
            let faults = [
                StorageFault::DiskFull(room),
                StorageFault::EverySyncFails,
                StorageFault::SyncFailsOnce,
                StorageFault::SyncFailsOnceReadable,
                StorageFault::DirectorySyncFailsOnce,
            ];
            let fault = faults[self.rng.usize(0..faults.len())];
            self.nodes[n].disk_faults += 1;
            self.nodes[n].place.inject_fault(fault);
            self.push(self.now + lasts, Due::DiskWorks(n, self.nodes[n].disk_faults));
        }
    }

    fn send(&mut self, from: usize, to: usize, word: LinkMessage) {
        if to >= self.nodes.len() {
            return;
        }
        self.words += 1;
        self.count(from, to, &word);
        let run = self.nodes[from].run;
        let copies = if self.loss > 0.0 && self.rng.f64() < 0.1 { 2 } else { 1 };
        for _ in 0..copies {
            if self.cut.contains(&(from, to)) || (from != to && self.rng.f64() < self.loss) {
                continue;
            }
            let way = match (from == to, self.loss > 0.0) {
                (true, _) => 0,
                (_, false) => MS / 2 + self.rng.u64(0..2 * MS),
                // Slow replies: some words come after whole seconds, out of order.
                (_, true) if self.rng.f64() < 0.1 => self.rng.u64(0..4 * S),
                _ => self.rng.u64(0..100 * MS),
            };
            self.push(self.now + way, Due::Word(from, to, run, Box::new(word.clone())));
        }
    }

    fn count(&mut self, from: usize, to: usize, word: &LinkMessage) {
        let counted = from != to && !self.healed && self.now >= self.load.warm;
        let Some(count) = self.count.as_mut().filter(|_| counted) else { return };
        let bytes = count.channel.seal(word).len() as u64;
        for (at, n) in [(&mut count.sent, from), (&mut count.heard, to)] {
            at[n][0] += bytes;
            at[n][1] += 1;
        }
        match word {
            LinkMessage::Raft(_) | LinkMessage::Ready(_) => count.raft += bytes,
            LinkMessage::Propose(_) => count.proposals += bytes,
            LinkMessage::LeaseResponse { newer_state: Some(_), .. } if to >= self.trial.voters => {
                count.news += 1
            }
            _ => {}
        }
    }

    fn renew(&mut self, n: usize) {
        let now = self.clock(n);
        let (number, acting) = self.nodes[n].holder.start_renewal(now);
        let index = self.nodes[n].holder.state().index;
        for voter in 0..self.trial.voters {
            self.send(
                n,
                voter,
                LinkMessage::LeaseRequest { number, rules: acting, index, list: ListReport::default() },
            );
        }
        let waiting = self.nodes[n].proposal.clone();
        if let Some(Command::Propose { token, .. }) = &waiting {
            match self.nodes[n].holder.state().outcome(*token) {
                None => {
                    let to = self.rng.usize(0..self.trial.voters);
                    if let Some(command) = waiting {
                        self.send(n, to, LinkMessage::Propose(command));
                    }
                }
                Some(outcome) => {
                    if matches!(outcome, ProposalOutcome::StaleBase(_)) {
                        self.missed.insert(*token);
                    }
                    self.nodes[n].proposal = None;
                }
            }
        }
    }

    fn act(&mut self, n: usize) {
        let now = self.clock(n);
        let holder = &self.nodes[n].holder;
        let (may, on, until) = (holder.has_valid_lease(now), holder.rules(), holder.lease_expiry());
        self.could.0 += u64::from(may);
        self.could.1 += 1;
        if may != self.nodes[n].may {
            self.nodes[n].may = may;
            self.log(n, if may { Did::LeaseAcquired } else { Did::LeaseExpired });
        }
        if let (true, Some(on)) = (may, on) {
            self.log(n, Did::Acted { rules: on, lease_left: until.unwrap_or(0).saturating_sub(now) });
        }
        if let Some(version) = self.force.keys().next_back().copied()
            && !self.everywhere.contains_key(&version)
            && self.nodes.iter().enumerate().all(|(i, node)| {
                let may = node.up && node.holder.has_valid_lease(self.clock(i));
                !may || node.holder.rules() == Some(EffectiveRules::On(version))
            })
        {
            self.everywhere.insert(version, self.now);
        }
    }

    fn hear(&mut self, from: usize, to: usize, from_run: u64, word: LinkMessage) -> Result<(), String> {
        let now = self.clock(to);
        let process = (format!("n{from}"), from_run);
        match word {
            LinkMessage::LeaseRequest { number, rules: acting, index, .. } => {
                let answer = self.voter(to, |agreement, promises, now| {
                    let state = agreement.state();
                    let yes = agreement.has_caught_up()
                        && acting
                            .is_some_and(|acting| promises.try_grant(now, &process, number, acting, state));
                    (yes, (state.index > index).then(|| Box::new(state.clone())))
                });
                // An answer to an earlier process of this name finds nobody.
                if let Some((yes, news)) = answer
                    && self.nodes[from].run == from_run
                {
                    self.send(
                        to,
                        from,
                        LinkMessage::LeaseResponse {
                            number,
                            granted: yes,
                            newer_state: news,
                            lists: ListSummary::default(),
                        },
                    );
                }
            }
            LinkMessage::LeaseResponse { number, granted: yes, newer_state: news, .. } => {
                self.answer(to, from, now, (number, yes, news.map(|n| *n)))
            }
            LinkMessage::Propose(command) => {
                self.voter(to, |agreement, _, _| agreement.propose(&command));
                self.turn(to)?;
            }
            LinkMessage::Ready(version) => {
                self.voter(to, |agreement, _, _| agreement.record_ready(from as u64 + 1, version));
                self.turn(to)?;
            }
            LinkMessage::Raft(bytes) => {
                if let Some(message) = raft_node::decode_message(&bytes) {
                    self.voter(to, |agreement, _, _| agreement.step(message));
                    self.turn(to)?;
                }
            }
            LinkMessage::Hello { .. } => {}
        }
        Ok(())
    }

    fn answer(
        &mut self,
        n: usize,
        voter: usize,
        now: Nanos,
        (number, yes, news): (u64, bool, Option<ReplicatedState>),
    ) {
        if self.nodes[n].holder.handle_response(now, voter, number, yes, news)
            && let Some(acting) = self.nodes[n].holder.rules()
        {
            self.log(n, Did::Adopted(acting));
            self.renew(n);
        }
    }

    fn propose(&mut self) {
        if let Some(proposers) = self.load.proposers {
            return self.propose_under_load(proposers);
        }
        let n = self.rng.usize(0..self.nodes.len());
        // Two at once now and then.
        let second = (self.rng.u8(0..4) == 0).then(|| self.rng.usize(0..self.nodes.len()));
        for n in [Some(n), second].into_iter().flatten() {
            let (token, number) = (self.rng.u64(..), self.rng.u64(0..60));
            self.propose_at(n, token, number);
        }
    }

    /// One of the proposers proposes, and does not wait for its next renewal to say so.
    fn propose_under_load(&mut self, proposers: usize) {
        let all = self.nodes.len();
        let n = all - 1 - self.rng.usize(0..proposers.clamp(1, all));
        let (token, number) = (self.rng.u64(..), self.rng.u64(0..60));
        let proposed = self.propose_at(n, token, number);
        let warm = self.now < self.load.warm;
        if let Some(count) = self.count.as_mut().filter(|_| !warm) {
            count.wanted += 1;
            count.waited += u64::from(!proposed);
            if proposed {
                count.made.insert(token);
            }
        }
        if proposed {
            self.renew(n);
        }
    }

    fn propose_at(&mut self, n: usize, token: u64, number: u64) -> bool {
        let node = &mut self.nodes[n];
        let base = node.holder.state().newest_version();
        let may = node.up && !node.stopped && node.proposal.is_none();
        if may {
            let body = with_tenants(body(number), &self.tenants);
            node.proposal =
                Some(Command::Propose { token, proposer: format!("n{n}"), base_version: base, body });
        }
        may
    }

    fn fault(&mut self) {
        let (all, voters) = (self.nodes.len(), self.trial.voters);
        let lasts = 200 * MS + self.rng.u64(0..9 * S);
        let n = if self.rng.bool() { self.rng.usize(0..voters) } else { self.rng.usize(0..all) };
        match self.rng.u8(0..6) {
            // Stopped and continued.
            0 | 1 => {
                self.nodes[n].stopped = true;
                self.push(self.now + lasts, Due::Continue(n));
            }
            // Killed and started anew, with its disk; now and then all voters at once.
            2 => {
                let dead: Vec<usize> = if self.rng.u8(0..5) == 0 { (0..voters).collect() } else { vec![n] };
                for n in dead {
                    if self.nodes[n].up {
                        self.nodes[n].up = false;
                        self.push(self.now + 50 * MS + lasts / 8, Due::Start(n));
                    }
                }
            }
            // Cut off, both ways or one.
            3 | 4 => {
                let (there, back) = [(true, true), (true, false), (false, true)][self.rng.usize(0..3)];
                let side: BTreeSet<usize> = if self.rng.bool() {
                    BTreeSet::from([n])
                } else {
                    (0..all).filter(|_| self.rng.u8(0..3) == 0).collect()
                };
                let mut pairs = Vec::new();
                for (a, b) in side.iter().flat_map(|a| (0..all).map(move |b| (*a, b))) {
                    if !side.contains(&b) {
                        pairs.extend(there.then_some((a, b)).into_iter().chain(back.then_some((b, a))));
                    }
                }
                self.push(self.now, Due::Cut(pairs.clone(), true));
                self.push(self.now + lasts, Due::Cut(pairs, false));
            }
            _ => {
                let loss = [0.05, 0.2, 0.5][self.rng.usize(0..3)];
                self.push(self.now, Due::Loss(loss));
                self.push(self.now + lasts, Due::Loss(0.0));
            }
        }
    }

    fn traffic(&self) -> Traffic {
        let Some(count) = &self.count else { return Traffic::default() };
        let (from, until) = (self.load.warm, self.trial.seconds * S);
        let seconds = until.saturating_sub(from) as f64 / 1e9;
        let flow = |of: &dyn Fn(usize) -> bool| {
            let nodes: Vec<usize> = (0..self.nodes.len()).filter(|n| of(*n)).collect();
            let mean = |counts: &[[u64; 2]], what: usize| {
                let sum: u64 = nodes.iter().map(|n| counts[*n][what]).sum();
                sum as f64 / seconds / nodes.len().max(1) as f64
            };
            Flow {
                heard: mean(&count.heard, 0),
                sent: mean(&count.sent, 0),
                heard_words: mean(&count.heard, 1),
                sent_words: mean(&count.sent, 1),
            }
        };
        let voters = self.trial.voters;
        let others = self.nodes.len().saturating_sub(voters).max(1);
        let newest =
            self.nodes.iter().filter_map(|n| n.holder.state().newest_document()).max_by_key(|d| d.version);
        Traffic {
            seconds,
            scheduler: flow(&|n| n >= voters),
            voter: flow(&|n| n < voters),
            raft: count.raft as f64 / seconds / voters as f64,
            proposals: count.proposals as f64 / seconds,
            news: count.news as f64 / seconds / others as f64,
            wanted: count.wanted,
            waited: count.waited,
            missed: self.missed.intersection(&count.made).count() as u64,
            versions: self.force.values().filter(|at| (from..until).contains(at)).count() as u64,
            document: newest.and_then(|d| serde_json::to_vec(&d.body).ok()).map_or(0, |json| json.len()),
        }
    }

    fn told(&self) -> Told {
        let verdict: CheckReport =
            check_history(&self.lines, 0, |version| self.contradicts.contains(&version));
        let mut breaches: Vec<String> = verdict.violations.iter().map(ToString::to_string).collect();
        breaches.extend(self.breaches.iter().cloned());
        let newest = self.force.keys().next_back().copied().unwrap_or(0);
        for (n, node) in self.nodes.iter().enumerate() {
            if !node.holder.has_valid_lease(self.clock(n))
                || node.holder.rules() != Some(EffectiveRules::On(newest))
            {
                let (acting, may) = (node.holder.rules(), node.holder.has_valid_lease(self.clock(n)));
                breaches.push(format!(
                    "all agree in the end: n{n} acts on {acting:?} of {newest}, may act: {may}"
                ));
            }
        }
        let spans = |to: &BTreeMap<Version, Nanos>| {
            let spans =
                to.iter().filter_map(|(v, at)| Some(at.checked_sub(*self.agreed.get(v)?)? as f64 / 1e6));
            let mut spans: Vec<f64> = spans.collect();
            spans.sort_by(f64::total_cmp);
            [spans.get(spans.len() / 2).copied().unwrap_or(0.0), spans.last().copied().unwrap_or(0.0)]
        };
        Told {
            versions: newest,
            missed: self.missed.len() as u64,
            breaches,
            disagreed_ms: verdict.longest_conflict as f64 / 1e6,
            acts: verdict.acts_checked,
            force_ms: spans(&self.force),
            everywhere_ms: spans(&self.everywhere),
            could_act: self.could.0 as f64 / self.could.1.max(1) as f64,
            words: self.words as f64 / (self.now as f64 / 1e9) / self.nodes.len() as f64,
            recoveries: self.recoveries,
            votes: self.votes.len(),
        }
    }
}
