//! Tier: what the schedulers have agreed on, where the operator has them agree. Off otherwise: nothing is opened, asked or
//! sent.
//!
//! What may be acted on, and for how long, is decided in `loomlb-accord`. Here are the sockets, the file and the timers
//! around it: a link to each voter, on which this scheduler asks for its lease and a voter sends what voters tell each
//! other; at a voter the listener for those links; and the way of a version into force. What acts by the rules is an
//! [`Application`], of which the tier knows no more than that.

#![forbid(unsafe_code)]

use loomlb_accord::agreement::{self, Agreement, TICK};
use loomlb_accord::check::{Event as Did, Line};
use loomlb_accord::disk::LogFile;
use loomlb_accord::frames::{self, Channel, FIRST, FORMAT, Nonce, Word};
use loomlb_accord::holder::Holder;
use loomlb_accord::lists::{Leaving, Lists, Mine, Theirs};
use loomlb_accord::promises::{Process, Promises};
use loomlb_accord::rules::{self, Body};
use loomlb_accord::state::{Command, Outcome, State};
use loomlb_accord::timing::{Terms, Timing};
use loomlb_accord::{Acting, Nanos, Version};
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Words that wait for a link; more push out the oldest, which is asked or said again anyway.
const WAITING: usize = 256;
/// Links that a voter holds.
const LINKS: usize = 4096;
/// A link on which nothing comes for so long is opened anew, and a greeting takes no longer.
const SILENT: Duration = Duration::from_secs(2);
/// Pause before another look whether the process that votes has ended.
const SUCCEED: Duration = Duration::from_millis(300);
/// A list that is behind another scheduler's for so long is asked for anew, in nanoseconds.
const BEHIND: Nanos = 1_500_000_000;
/// Pause before another try to open a link.
const AGAIN: Duration = Duration::from_millis(100);
/// A call at the second address waits so long for its version to be in force.
const CALL: Duration = Duration::from_millis(900);
/// Time between two looks at what such a call waits for.
const LOOK: Duration = Duration::from_millis(10);
/// Proposals of this scheduler that wait for their outcome.
const PROPOSALS: usize = 64;
/// Bytes of a history; what comes after them is counted and left out.
const HISTORY: usize = 64 << 20;
/// The shortest key.
const KEY: usize = 16;

/// The operator file's words on the tier.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// What all schedulers of the tier know and nobody else does.
    key: String,
    /// Where this voter listens for the others.
    listen: Option<SocketAddr>,
    /// The voters, the same at every scheduler.
    #[serde(rename = "voter")]
    voters: Vec<VoterAt>,
    /// Where this voter writes what it must not forget.
    store: Option<PathBuf>,
    /// The tier is started for the very first time: a voter's file may be missing.
    #[serde(default)]
    found: bool,
    /// From a version's agreement until it is in force or whoever has not heard has stopped acting, in seconds.
    #[serde(default = "four")]
    bound_s: f64,
    /// How far a clock's rate may be off, as a part.
    #[serde(default = "hundredth")]
    drift: f64,
    /// Allowance for an agreement among voters, in seconds.
    #[serde(default = "quarter")]
    delay_s: f64,
    /// Time between two renewals of the lease, in seconds.
    #[serde(default = "quarter")]
    renew_s: f64,
    /// What to do without a lease.
    #[serde(default)]
    on_lapse: OnLapse,
    /// Where to write what was acted upon, for the checker; not written without it.
    history: Option<PathBuf>,
    /// For trials alone: this process's clock runs at this rate.
    #[serde(default = "one")]
    trial_clock: f64,
}

/// A voter as the operator names it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterAt {
    /// Its scheduler's name.
    name: String,
    /// Where it listens for the tier.
    at: SocketAddr,
}

/// What a scheduler does whose lease has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnLapse {
    /// It steps out of service until it has one again.
    #[default]
    Leave,
    /// It goes on by the strictest rules that there can be: each job once at most. Workers that staff have taken out
    /// meanwhile it cannot know of.
    Strict,
}

fn four() -> f64 {
    4.0
}
fn hundredth() -> f64 {
    0.01
}
fn quarter() -> f64 {
    0.25
}
fn one() -> f64 {
    1.0
}

impl Spec {
    /// The figures of the leases, or the key that cannot be kept.
    fn timing(&self) -> Result<Timing, (&'static str, String)> {
        let nanos = |key, seconds: f64| {
            let fits = (0.0..=86_400.0).contains(&seconds);
            if fits {
                Ok((seconds * 1e9) as Nanos)
            } else {
                Err((key, format!("{seconds}: from 0 to 86400 s")))
            }
        };
        let terms = Terms {
            bound: nanos("bound_s", self.bound_s)?,
            drift: self.drift,
            delay: nanos("delay_s", self.delay_s)?,
            renew: nanos("renew_s", self.renew_s)?,
        };
        terms.derive()
    }

    /// The first key that cannot be worked with, and why.
    pub fn check(&self) -> Result<(), (String, String)> {
        let fault = |key: &str, reason: String| Err((key.to_string(), reason));
        if self.key.len() < KEY {
            return fault("key", format!("{} bytes; {KEY} at the least", self.key.len()));
        }
        if self.voters.len().is_multiple_of(2) || self.voters.len() > 7 {
            return fault("voter", format!("{} voters; 1, 3, 5 or 7 can agree best", self.voters.len()));
        }
        let names: BTreeSet<&str> = self.voters.iter().map(|v| &*v.name).collect();
        if names.len() < self.voters.len() {
            return fault("voter", "a name stands there twice".into());
        }
        if !(0.5..=2.0).contains(&self.trial_clock) {
            return fault("trial_clock", format!("{}: a rate from 0.5 to 2", self.trial_clock));
        }
        self.timing().map(|_| ()).map_err(|(key, reason)| (key.into(), reason))
    }
}

impl fmt::Display for Spec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.voters.iter().map(|v| &*v.name).collect();
        write!(f, "voters {}, bound {} s", names.join(", "), self.bound_s)?;
        self.timing().map_or(Ok(()), |t| write!(f, ", leases of {:.2} s", t.lease as f64 / 1e9))
    }
}

/// What acts by the tier's rules: the process around it. The tier asks no more of it than this.
pub trait Application {
    /// What it has been told of the workers.
    fn list(&self) -> Mine;
    /// The settings that are in force in it, its own keys included.
    fn settings(&self) -> Value;
    /// Why it could not act on these settings, by their key; it changes nothing.
    fn check(&self, settings: Value) -> Result<(), String>;
    /// Puts these settings in force, all of them or nothing.
    fn put_in_force(&self, settings: Value) -> Result<(), String>;
    /// Takes a worker out, or puts it back.
    fn order(&self, worker: &str, out: bool);
    /// Another scheduler was told that a worker is leaving; true if that is news here.
    fn leaving(&self, leaving: &Leaving) -> bool;
    /// Words of others on leaving workers that were not said again for a while are over.
    fn forget_leaving(&self);
    /// Others have a newer list: it is asked for at once.
    fn ask_list_anew(&self);
}

/// The tier as this scheduler sees it; a clone is the same one.
#[derive(Clone, Debug, Default)]
pub struct Tier(Option<Rc<On>>);

/// What a voter has beside its lease.
#[derive(Debug)]
struct Voter {
    agreement: Agreement,
    promises: Promises,
    lists: Lists,
    log: LogFile,
}

/// Words on their way to a voter.
#[derive(Debug, Default)]
struct Outbox {
    words: RefCell<VecDeque<Word>>,
    more: Notify,
}

#[derive(Debug)]
struct On {
    spec: Spec,
    name: String,
    timing: Timing,
    /// This process, as no other is called.
    process: u64,
    started: Instant,
    /// This voter's number, from 1, if it is one.
    number: Option<u64>,
    voter: RefCell<Option<Voter>>,
    holder: RefCell<Holder>,
    /// What is in force in this process, and what of it staff have taken out.
    applied: Cell<Option<Acting>>,
    out: RefCell<BTreeSet<String>>,
    /// What was agreed and cannot be read here.
    fault: RefCell<Option<String>>,
    /// The lease as it was last looked at.
    held: Cell<bool>,
    /// The strictest rules are in force here, for want of a lease.
    careful: Cell<bool>,
    proposals: RefCell<BTreeMap<u64, Command>>,
    boxes: Vec<Outbox>,
    hurry: Notify,
    /// The newest and the oldest list in use, and since when this one is behind.
    lists: Cell<(u64, u64)>,
    behind: Cell<Nanos>,
    history: RefCell<Option<(File, usize)>>,
    counts: Counts,
}

#[derive(Debug, Default)]
struct Counts {
    lapses: Cell<u64>,
    crowded: Cell<u64>,
    links: Cell<usize>,
    faults: Cell<u64>,
    unwritten: Cell<u64>,
    hearsay: Cell<u64>,
    asked_again: Cell<u64>,
}

fn more(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

fn random() -> io::Result<u64> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(io::Error::other)?;
    Ok(u64::from_le_bytes(bytes))
}

/// The machine's monotonic clock: the same for all processes on it.
fn machine() -> Nanos {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as Nanos * 1_000_000_000 + now.tv_nsec as Nanos
}

impl On {
    fn now(&self) -> Nanos {
        (self.started.elapsed().as_nanos() as f64 * self.spec.trial_clock) as Nanos
    }

    fn log(&self, event: Did) {
        let mut history = self.history.borrow_mut();
        let Some((file, written)) = history.as_mut() else { return };
        let line = Line { at: machine(), who: self.name.clone(), process: self.process, event };
        let Ok(mut text) = serde_json::to_vec(&line) else { return };
        text.push(b'\n');
        if *written + text.len() > HISTORY || file.write_all(&text).is_err() {
            return more(&self.counts.unwritten);
        }
        *written += text.len();
    }

    fn put(&self, voter: usize, word: Word) {
        let Some(outbox) = self.boxes.get(voter) else { return };
        let mut words = outbox.words.borrow_mut();
        if words.len() >= WAITING {
            words.pop_front();
            more(&self.counts.crowded);
        }
        words.push_back(word);
        outbox.more.notify_one();
    }

    /// Something of what this scheduler knows to be agreed.
    fn seen<T>(&self, of: impl FnOnce(&State) -> T) -> T {
        of(self.holder.borrow().seen())
    }

    /// Whether a lease holds now on what is in force here.
    fn holds(&self) -> bool {
        let holder = self.holder.borrow();
        holder.may_act(self.now()) && holder.acting() == self.applied.get() && self.fault.borrow().is_none()
    }
}

impl Tier {
    /// Whether the operator has a tier agree.
    pub fn on(&self) -> bool {
        self.0.is_some()
    }

    /// Whether this scheduler may serve now.
    pub fn may_act(&self) -> bool {
        let Some(on) = &self.0 else { return true };
        // The strictest rules need no lease, once they are in force here.
        on.holds() || (on.careful.get() && on.fault.borrow().is_none())
    }

    /// Looked at immediately before the first byte of a forward, and written into the history.
    pub fn acts(&self) -> bool {
        let Some(on) = &self.0 else { return true };
        if on.holds() {
            let left = on.holder.borrow().until().unwrap_or(0).saturating_sub(on.now());
            if let Some(acting) = on.applied.get() {
                on.log(Did::Acts { on: acting, left });
            }
            return true;
        }
        self.may_act()
    }
}

/// Opens what a tier needs: the listener of a voter and its file.
pub async fn open(spec: Option<Spec>, name: &str) -> io::Result<(Tier, Option<TcpListener>)> {
    let Some(spec) = spec else { return Ok((Tier::default(), None)) };
    let timing = spec.timing().map_err(|(key, why)| io::Error::other(format!("{key}: {why}")))?;
    let number = spec.voters.iter().position(|v| v.name == name).map(|at| at as u64 + 1);
    let started = Instant::now();
    let (mut links, mut voter) = (None, None);
    if let Some(number) = number {
        match vote_as(&spec, name, number, timing, 0) {
            Ok((listener, seat)) => (links, voter) = (Some(listener), Some(seat)),
            Err(e) if elsewhere(&e) => tracing::warn!("tier: {e}; another process of {name:?} votes"),
            Err(e) => return Err(e),
        }
    }
    let history = match &spec.history {
        Some(path) => Some((File::options().create(true).append(true).open(path)?, 0)),
        None => None,
    };
    Ok((
        Tier(Some(Rc::new(On {
            name: name.into(),
            timing,
            process: random()?,
            started,
            number,
            voter: RefCell::new(voter),
            holder: RefCell::new(Holder::new(timing, spec.voters.len())),
            applied: Cell::default(),
            out: RefCell::default(),
            fault: RefCell::default(),
            held: Cell::new(false),
            careful: Cell::new(false),
            proposals: RefCell::default(),
            boxes: spec.voters.iter().map(|_| Outbox::default()).collect(),
            hurry: Notify::new(),
            lists: Cell::default(),
            behind: Cell::new(Nanos::MAX / 2),
            history: RefCell::new(history),
            counts: Counts::default(),
            spec,
        }))),
        links,
    ))
}

/// Whether a voter's file or address is taken, by an earlier process of the same scheduler: it votes until it ends.
fn elsewhere(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::AddrInUse)
}

/// Takes a voter's file and address.
fn vote_as(
    spec: &Spec,
    name: &str,
    number: u64,
    timing: Timing,
    now: Nanos,
) -> io::Result<(TcpListener, Voter)> {
    let needed = |key: &str| io::Error::other(format!("{key}: missing, and {name:?} is a voter"));
    let at = spec.listen.ok_or_else(|| needed("listen"))?;
    let store = spec.store.as_ref().ok_or_else(|| needed("store"))?;
    let names: Vec<&str> = spec.voters.iter().map(|v| &*v.name).collect();
    let owner = format!("{name} of {}", names.join(", "));
    let (log, loaded) = LogFile::open(store, &owner, spec.found)?;
    let listener = std::net::TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    let agreement = Agreement::new(number, spec.voters.len() as u64, loaded)?;
    Ok((
        TcpListener::from_std(listener)?,
        Voter { agreement, promises: Promises::new(timing, now), lists: Lists::default(), log },
    ))
}

/// Takes over from the process of this scheduler that votes, once it has ended.
async fn succeed(on: Rc<On>, number: u64) {
    loop {
        tokio::time::sleep(SUCCEED).await;
        match vote_as(&on.spec, &on.name, number, on.timing, on.now()) {
            Ok((listener, seat)) => {
                tracing::info!("tier: this process votes now");
                *on.voter.borrow_mut() = Some(seat);
                spawn_local(accept(Rc::clone(&on), listener));
                spawn_local(vote(Rc::clone(&on)));
                return;
            }
            Err(e) if elsewhere(&e) => {}
            Err(e) => return tracing::error!("tier: {e}; this process does not vote"),
        }
    }
}

/// Starts the links and the timers, where there is a tier.
pub fn start(tier: &Tier, around: &Rc<dyn Application>, listener: Option<TcpListener>) {
    let Some(on) = &tier.0 else { return };
    if let Some(listener) = listener {
        spawn_local(accept(Rc::clone(on), listener));
        spawn_local(vote(Rc::clone(on)));
    } else if let Some(number) = on.number {
        spawn_local(succeed(Rc::clone(on), number));
    }
    for voter in (0..on.boxes.len()).filter(|v| on.number != Some(*v as u64 + 1)) {
        spawn_local(link(Rc::clone(on), Rc::clone(around), voter));
    }
    spawn_local(renew(Rc::clone(on), Rc::clone(around)));
}

// ---- links

/// The numbers that both ends say first.
async fn greet(stream: &mut TcpStream) -> io::Result<(Nonce, Nonce)> {
    stream.set_nodelay(true)?;
    let mut mine = Nonce::default();
    getrandom::fill(&mut mine).map_err(io::Error::other)?;
    stream.write_all(&frames::greeting(&mine)).await?;
    let mut first = [0; FIRST];
    stream.read_exact(&mut first).await?;
    let theirs = frames::greeted(&first).map_err(|e| io::Error::other(e.to_string()))?;
    Ok((mine, theirs))
}

/// The next word of a link; an error once it is over.
async fn next(from: &mut OwnedReadHalf, channel: &mut Channel, bytes: &mut Vec<u8>) -> io::Result<Word> {
    loop {
        if let Some(word) = channel.open(bytes).map_err(|e| io::Error::other(e.to_string()))? {
            return Ok(word);
        }
        let heard = tokio::time::timeout(SILENT, from.read_buf(bytes)).await;
        match heard.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            _ => continue,
        }
    }
}

/// Keeps a link to a voter open for as long as the program runs.
async fn link(on: Rc<On>, around: Rc<dyn Application>, voter: usize) {
    loop {
        let VoterAt { name, at } = &on.spec.voters[voter];
        let opened = tokio::time::timeout(SILENT, async {
            let mut stream = TcpStream::connect(at).await?;
            let (mine, theirs) = greet(&mut stream).await?;
            Ok::<_, io::Error>((stream, frames::channels(&on.spec.key, &mine, &theirs)))
        });
        if let Ok(Ok((stream, (to, from)))) = opened.await {
            // What waited for the link that broke is asked anew, or too old to be of use.
            on.boxes[voter].words.borrow_mut().clear();
            let (read, write) = stream.into_split();
            on.hurry.notify_one();
            let ended = tokio::select! {
                ended = hear_voter(&on, &*around, voter, read, from) => ended,
                ended = tell_voter(&on, voter, write, to) => ended,
            };
            if let Err(e) = ended {
                more(&on.counts.faults);
                tracing::debug!("tier: the link to {name} at {at}: {e}");
            }
        }
        tokio::time::sleep(AGAIN).await;
    }
}

async fn hear_voter(
    on: &On,
    around: &dyn Application,
    voter: usize,
    mut from: OwnedReadHalf,
    mut channel: Channel,
) -> io::Result<()> {
    let mut bytes = Vec::new();
    loop {
        if let Word::Answer { number, yes, news, lists } = next(&mut from, &mut channel, &mut bytes).await? {
            answered(on, around, voter, number, yes, news.map(|n| *n));
            compare(on, around, &lists);
        }
    }
}

async fn tell_voter(on: &On, voter: usize, mut to: OwnedWriteHalf, mut channel: Channel) -> io::Result<()> {
    let hello = Word::Hello { format: FORMAT, name: on.name.clone(), process: on.process, voter: on.number };
    to.write_all(&channel.seal(&hello)).await?;
    loop {
        let word = on.boxes[voter].words.borrow_mut().pop_front();
        match word {
            Some(word) => to.write_all(&channel.seal(&word)).await?,
            None => on.boxes[voter].more.notified().await,
        }
    }
}

/// Accepts links at a voter for as long as the program runs.
async fn accept(on: Rc<On>, listener: TcpListener) {
    loop {
        let accepted = listener.accept().await;
        let Some((stream, from)) = accepted.ok().filter(|_| on.counts.links.get() < LINKS) else {
            tokio::time::sleep(AGAIN).await;
            continue;
        };
        let on = Rc::clone(&on);
        spawn_local(async move {
            on.counts.links.set(on.counts.links.get() + 1);
            if let Err(e) = called(&on, stream).await
                && e.kind() == io::ErrorKind::Other
            {
                more(&on.counts.faults);
                tracing::warn!("tier: {from}: {e}");
            }
            on.counts.links.set(on.counts.links.get() - 1);
        });
    }
}

/// A link that another scheduler has opened to this voter.
async fn called(on: &On, mut stream: TcpStream) -> io::Result<()> {
    let greeted = tokio::time::timeout(SILENT, greet(&mut stream)).await;
    let (mine, theirs) = greeted.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let (mut from, mut to) = frames::channels(&on.spec.key, &theirs, &mine);
    let (mut read, mut write) = stream.into_split();
    let mut bytes = Vec::new();
    let (name, process, voter) = match next(&mut read, &mut from, &mut bytes).await? {
        Word::Hello { format: FORMAT, name, process, voter } => (name, process, voter),
        Word::Hello { format, name, .. } => {
            return Err(io::Error::other(format!("{name} speaks format {format}, this build {FORMAT}")));
        }
        _ => return Err(io::Error::other("it does not say who it is")),
    };
    let who = (name, process);
    loop {
        let word = next(&mut read, &mut from, &mut bytes).await?;
        if let Some(reply) = voter_hears(on, &who, voter, word) {
            let written = tokio::time::timeout(SILENT, write.write_all(&to.seal(&reply))).await;
            written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        }
    }
}

// ---- the voter

/// What this voter makes of a word, and its reply.
fn voter_hears(on: &On, who: &Process, voter: Option<u64>, word: Word) -> Option<Word> {
    let now = on.now();
    let mut held = on.voter.borrow_mut();
    let Voter { agreement, promises, lists, .. } = held.as_mut()?;
    let reply = match word {
        Word::Ask { number, acting, index, list } => {
            lists.hear(now, who, &list);
            let state = agreement.state();
            let yes = agreement.settled()
                && acting.is_some_and(|acting| promises.ask(now, who, number, acting, state));
            let news = (state.index > index).then(|| Box::new(state.clone()));
            return Some(Word::Answer { number, yes, news, lists: lists.tell(now) });
        }
        Word::Propose(command @ Command::Propose { .. }) => {
            agreement.propose(&command);
            None
        }
        Word::Ready(version) => {
            voter.into_iter().for_each(|voter| agreement.ready(voter, version));
            None
        }
        Word::Raft(bytes) => {
            let message = agreement::message(&bytes).filter(|m| Some(m.from) == voter);
            message.into_iter().for_each(|message| agreement.step(message));
            None
        }
        _ => None,
    };
    turn(on, &mut held);
    reply
}

/// Has the voter do what it has to, and sends what it has for others.
fn turn(on: &On, held: &mut Option<Voter>) {
    let Some(Voter { agreement, log, .. }) = held else { return };
    match agreement.turn(log) {
        Ok(messages) => {
            for message in messages {
                on.put(message.to as usize - 1, Word::Raft(agreement::bytes(&message)));
            }
        }
        Err(e) => tracing::error!("tier.store: {e}; this voter takes part no more until it is started anew"),
    }
}

/// A voter's own time.
async fn vote(on: Rc<On>) {
    let mut ticks = tokio::time::interval(Duration::from_nanos(TICK));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut held = on.voter.borrow_mut();
        let Some(Voter { agreement, promises, .. }) = held.as_mut() else { return };
        agreement.tick();
        let ready = promises.ready(on.now(), agreement.state()).filter(|_| agreement.settled());
        if let Some(version) = ready {
            match agreement.leader() {
                0 => {}
                leader if on.number == Some(leader) => agreement.ready(leader, version),
                leader => on.put(leader as usize - 1, Word::Ready(version)),
            }
        }
        turn(&on, &mut held);
    }
}

// ---- the lease

/// Renews the lease for as long as the program runs, and sees when it has ended.
async fn renew(on: Rc<On>, around: Rc<dyn Application>) {
    let (on, around) = (&*on, &*around);
    let pause = Duration::from_nanos(on.timing.renew);
    let mut turn = 0;
    // Schedulers that start in the same moment do not ask in the same moments ever after.
    tokio::time::sleep(pause.mul_f64(random().unwrap_or(0) as f64 / u64::MAX as f64)).await;
    loop {
        look(on, around);
        around.forget_leaving();
        ask(on, around);
        settle(on, around, turn);
        turn += 1;
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = on.hurry.notified() => tokio::time::sleep(LOOK).await,
        }
    }
}

/// Asks all voters.
fn ask(on: &On, around: &dyn Application) {
    let (number, acting) = on.holder.borrow_mut().ask(on.now());
    let index = on.holder.borrow().seen().index;
    for voter in 0..on.boxes.len() {
        let word = Word::Ask { number, acting, index, list: around.list() };
        if on.number == Some(voter as u64 + 1) {
            let who = (on.name.clone(), on.process);
            if let Some(Word::Answer { number, yes, news, lists }) = voter_hears(on, &who, on.number, word) {
                answered(on, around, voter, number, yes, news.map(|n| *n));
                compare(on, around, &lists);
            }
        } else {
            on.put(voter, word);
        }
    }
}

fn answered(on: &On, around: &dyn Application, voter: usize, number: u64, yes: bool, news: Option<State>) {
    let changed = on.holder.borrow_mut().answer(on.now(), voter, number, yes, news);
    if changed {
        put_in_force(on, around);
        on.hurry.notify_one();
    }
    look(on, around);
}

/// What other schedulers have been told of the workers: whoever is behind asks discovery, and takes their word for a drain.
fn compare(on: &On, around: &dyn Application, theirs: &Theirs) {
    let (now, mine) = (on.now(), around.list().version);
    on.lists.set((theirs.newest, theirs.oldest));
    for leaving in &theirs.leaving {
        if around.leaving(leaving) {
            more(&on.counts.hearsay);
        }
    }
    if mine >= theirs.newest {
        return on.behind.set(now);
    }
    // News is on its way for a while; what does not come by itself is asked for, and not again and again.
    if now >= on.behind.get() + BEHIND {
        on.behind.set(now);
        more(&on.counts.asked_again);
        around.ask_list_anew();
    }
}

/// Sees whether the lease has ended or begun since the last look.
fn look(on: &On, around: &dyn Application) {
    let holds = on.holds();
    if on.held.replace(holds) == holds {
        return;
    }
    on.log(if holds { Did::Renewed } else { Did::Lapsed });
    if holds {
        tracing::info!("tier: a lease on {:?}", on.applied.get());
    } else {
        more(&on.counts.lapses);
        tracing::warn!("tier: the lease has ended: no majority of the voters answers");
    }
    if on.spec.on_lapse == OnLapse::Strict {
        enforce(on, around, holds);
    }
}

/// Puts in force what this scheduler acts on from now on. Another act on what was before is not possible meanwhile, as
/// all is done on one thread.
fn put_in_force(on: &On, around: &dyn Application) {
    let acting = on.holder.borrow().acting();
    let holds = on.holder.borrow().may_act(on.now());
    enforce(on, around, holds || on.spec.on_lapse == OnLapse::Leave);
    on.applied.set(acting);
    if let Some(acting) = acting {
        on.log(Did::Takes(acting));
        tracing::info!("tier: takes {acting:?}");
    }
}

fn enforce(on: &On, around: &dyn Application, agreed: bool) {
    let Some(body) = on.holder.borrow().body() else { return };
    let body = if agreed { body } else { rules::careful(&body) };
    match around.put_in_force(body.settings_for(&around.settings())) {
        Ok(()) => {
            on.careful.set(!agreed);
            *on.fault.borrow_mut() = None;
        }
        Err(e) => {
            tracing::error!("tier: what was agreed cannot be read by this build: {e}; out of service");
            *on.fault.borrow_mut() = Some(e);
        }
    }
    let before = on.out.replace(body.out.clone());
    for host in before.symmetric_difference(&body.out) {
        around.order(host, body.out.contains(host));
    }
}

// ---- proposals

/// Sends this scheduler's proposals again until their outcome is known; proposes its own file where there is nothing yet.
fn settle(on: &On, around: &dyn Application, turn: usize) {
    let empty = on.holder.borrow().seen().newest() == 0;
    if empty && on.proposals.borrow().is_empty() {
        let body = Body::of(&around.settings(), BTreeSet::new());
        propose(on, 0, body);
    }
    let seen = on.holder.borrow();
    let mut proposals = on.proposals.borrow_mut();
    proposals.retain(|token, _| seen.seen().outcome(*token).is_none());
    drop(seen);
    let waiting: Vec<Command> = proposals.values().cloned().collect();
    drop(proposals);
    let voter = turn % on.boxes.len();
    for command in waiting {
        if on.number == Some(voter as u64 + 1) {
            voter_hears(on, &(on.name.clone(), on.process), on.number, Word::Propose(command));
        } else {
            on.put(voter, Word::Propose(command));
        }
    }
}

/// Proposes a document; its token.
fn propose(on: &On, base: Version, body: Body) -> Option<u64> {
    let token = random().ok()?;
    let mut proposals = on.proposals.borrow_mut();
    if proposals.len() >= PROPOSALS {
        return None;
    }
    proposals.insert(token, Command::Propose { token, by: on.name.clone(), base, body });
    on.hurry.notify_one();
    Some(token)
}

/// What has become of a proposal, and whether its version is in force here, within a call's time.
async fn outcome(on: &On, token: u64) -> Option<(Outcome, bool)> {
    let end = tokio::time::Instant::now() + CALL;
    loop {
        let (known, active) =
            on.seen(|seen| (seen.outcome(token).cloned(), seen.active.as_ref().map_or(0, |d| d.version)));
        let over = tokio::time::Instant::now() >= end;
        match known {
            Some(Outcome::Agreed(version)) if version > active && !over => {}
            Some(Outcome::Agreed(version)) => return Some((Outcome::Agreed(version), version <= active)),
            Some(other) => return Some((other, true)),
            None if over => {
                on.proposals.borrow_mut().remove(&token);
                return None;
            }
            None => {}
        }
        on.hurry.notify_one();
        tokio::time::sleep(LOOK).await;
    }
}

/// The status and the words for what has become of a proposal.
fn reply(found: Option<(Outcome, bool)>) -> (u16, Value) {
    match found {
        Some((Outcome::Agreed(version), true)) => {
            (200, json!({"yes": true, "version": version, "in_force": true}))
        }
        Some((Outcome::Agreed(version), false)) => {
            (202, json!({"yes": true, "version": version, "in_force": false}))
        }
        Some((Outcome::Same(version), _)) => {
            (200, json!({"yes": true, "version": version, "in_force": true, "why": "it says the same"}))
        }
        Some((Outcome::Missed(version), _)) => (
            409,
            json!({"yes": false, "version": version, "why": format!("version {version} came before it, or is coming")}),
        ),
        Some((Outcome::Unordered(keys), _)) => (
            422,
            json!({"yes": false, "keys": keys, "why": "these keys cannot change while the tier runs: restart it with them"}),
        ),
        None => {
            (503, json!({"yes": false, "why": "no majority of the voters has agreed in time; it may yet"}))
        }
    }
}

/// Staff propose settings at the second address.
pub async fn proposed(
    tier: &Tier,
    around: &dyn Application,
    text: &[u8],
    base: Option<Version>,
) -> (u16, Value) {
    let Some(on) = &tier.0 else { return (404, Value::Null) };
    let settings: Value = match serde_json::from_slice(text) {
        Ok(settings) => settings,
        Err(e) => return (400, json!({"yes": false, "why": format!("settings: {e}")})),
    };
    // A file is turned down whole before anybody hears of it.
    let whole = Body::of(&settings, BTreeSet::new()).settings_for(&around.settings());
    if let Err(e) = around.check(whole) {
        return (400, json!({"yes": false, "why": e}));
    }
    let (out, newest) =
        on.seen(|seen| (seen.latest().map(|d| d.body.out.clone()).unwrap_or_default(), seen.newest()));
    let base = base.unwrap_or(newest);
    match propose(on, base, Body::of(&settings, out)) {
        Some(token) => reply(outcome(on, token).await),
        None => (503, json!({"yes": false, "why": "too many proposals wait"})),
    }
}

/// Staff order a worker out or back at the second address: it is so everywhere, or the call says that it is not yet.
pub async fn order(tier: &Tier, around: &dyn Application, host: &str, out: bool) -> (u16, Value) {
    let Some(on) = &tier.0 else { return (404, Value::Null) };
    if out {
        // Nobody is harmed by fewer workers: here it is out at once.
        around.order(host, true);
        on.out.borrow_mut().insert(host.into());
    }
    let end = tokio::time::Instant::now() + CALL;
    loop {
        let latest = on.seen(|seen| seen.latest().cloned());
        let Some(mut latest) = latest else { return reply(None) };
        let base = latest.version;
        let changes = if out { latest.body.out.insert(host.into()) } else { latest.body.out.remove(host) };
        let found = match changes.then(|| propose(on, base, latest.body)) {
            None => Some((Outcome::Same(base), true)),
            Some(None) => None,
            Some(Some(token)) => outcome(on, token).await,
        };
        match found {
            Some((Outcome::Missed(_), _)) if tokio::time::Instant::now() < end => {
                tokio::time::sleep(LOOK).await
            }
            found => return reply(found),
        }
    }
}

/// What staff see of the tier.
pub fn state(tier: &Tier, around: &dyn Application) -> Value {
    let Some(on) = &tier.0 else { return Value::Null };
    let (holder, voter) = (on.holder.borrow(), on.voter.borrow());
    let seen = holder.seen();
    let left = holder.until().unwrap_or(0).saturating_sub(on.now());
    let vote = voter.as_ref().map(|v| {
        let holders: Vec<Value> = v
            .promises
            .holders(on.now())
            .map(|((name, process), acting)| json!({"name": name, "process": format!("{process:016x}"), "acting": acting}))
            .collect();
        json!({"leads": v.agreement.leads(), "leader": v.agreement.leader(), "settled": v.agreement.settled(),
            "broken": v.agreement.broken(), "promises_to": holders})
    });
    json!({
        "yes": true, "name": on.name, "acting": on.applied.get(), "may_act": tier.may_act(),
        "lease_left_s": left as f64 / 1e9, "fault": *on.fault.borrow(),
        "version": seen.active.as_ref().map(|d| d.version), "by": seen.active.as_ref().map(|d| &d.by),
        "coming": seen.coming.as_ref().map(|d| d.version), "workers_out": *on.out.borrow(),
        "settings": seen.active.as_ref().map(|d| &d.body.settings),
        "history": seen.history, "voter": vote,
        "lists": {"mine": around.list().version, "newest": on.lists.get().0, "oldest": on.lists.get().1},
        "counts": {"lapses": on.counts.lapses.get(), "words_pushed_out": on.counts.crowded.get(),
            "link_faults": on.counts.faults.get(), "links": on.counts.links.get(),
            "history_unwritten": on.counts.unwritten.get(), "drains_by_hearsay": on.counts.hearsay.get(),
            "lists_asked_anew": on.counts.asked_again.get()},
    })
}
