//! Hollow schedulers: the real core of the lease and the real words on real links to all voters, at the real pace, with no
//! jobs behind them. What `loomlb-scheduler` does around the same core is told here once more, in little.

use super::host::{Counted, machine};
use loomlb_consensus::document::DocumentBody;
use loomlb_consensus::lease_holder::LeaseHolder;
use loomlb_consensus::link_protocol::{self, Channel, GREETING_BYTES, LinkMessage, Nonce, PROTOCOL_VERSION};
use loomlb_consensus::state::{Command, ReplicatedState};
use loomlb_consensus::timing::LeaseTiming;
use loomlb_consensus::worker_lists::ListReport;
use loomlb_consensus::{EffectiveRules, Nanos};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// The same bounds and pauses as at a real one.
const WAITING: usize = 256;
const SILENT: Duration = Duration::from_secs(2);
const AGAIN: Duration = Duration::from_millis(100);
const LOOK: Duration = Duration::from_millis(10);

/// How a hollow scheduler is built.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The tier's key.
    pub key: String,
    /// Its name.
    pub name: String,
    /// Where the voters listen.
    pub voters: Vec<SocketAddr>,
    /// The figures of its lease.
    pub timing: LeaseTiming,
    /// The version of the list that it says it has.
    pub list: u64,
    /// What it does wrong, for tests of what should notice.
    pub flaw: Option<Flaw>,
}

/// What a hollow scheduler may be made to do wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// It says that it has a state before it acts on it.
    AsksBeforeInForce,
    /// It asks with the same number again.
    RepeatsNumbers,
    /// It does not say which state it has.
    SilentOnState,
    /// It asks at its pace alone, also when it acts on something else.
    WaitsForTheNextRenewal,
    /// It asks the first voter alone.
    AsksOne,
    /// It asks ten times as often.
    Hurries,
    /// It says that it is a voter.
    ClaimsAVote,
    /// It says the same number once more on a new link.
    SameNonce,
    /// It does not look at a word's code.
    TakesFalseCodes,
    /// It has another key.
    OtherKey,
    /// It says at first that it has a state.
    ClaimsAState,
    /// It proposes, whatever there is.
    Proposes,
}

/// What is seen of a hollow scheduler's lives.
#[derive(Debug, Default)]
pub struct Marks {
    /// When it began to act on what, by the machine's monotonic clock.
    pub takes: RefCell<Vec<(Nanos, EffectiveRules)>>,
    /// Leases that ended without a renewal.
    pub lapses: Cell<u64>,
    /// Those of them at which its own timer was late.
    pub late_lapses: Cell<u64>,
    /// Links that ended by a fault.
    pub faults: Cell<u64>,
}

/// One life of a hollow scheduler: what it knew is gone with it.
#[derive(Debug)]
pub struct Life {
    spec: Spec,
    process: u64,
    started: Instant,
    holder: RefCell<LeaseHolder>,
    boxes: Vec<Outbox>,
    hurry: Notify,
    held: Cell<bool>,
    /// It has had a lease.
    had: Cell<bool>,
    asked: Cell<Nanos>,
    /// When it had last not asked for longer than a lease bears.
    stalled: Cell<Option<Nanos>>,
    marks: Rc<Marks>,
    bytes: Arc<Counted>,
    cut: Rc<Cell<bool>>,
}

#[derive(Debug, Default)]
struct Outbox {
    words: RefCell<VecDeque<LinkMessage>>,
    more: Notify,
}

fn random() -> io::Result<[u8; 16]> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).map_err(io::Error::other)?;
    Ok(bytes)
}

impl Life {
    /// A scheduler that knows nothing yet.
    pub fn new(
        spec: Spec,
        marks: Rc<Marks>,
        bytes: Arc<Counted>,
        cut: Rc<Cell<bool>>,
    ) -> io::Result<Rc<Life>> {
        let mut process = [0; 8];
        process.copy_from_slice(&random()?[..8]);
        Ok(Rc::new(Life {
            process: u64::from_le_bytes(process),
            started: Instant::now(),
            holder: RefCell::new(LeaseHolder::new(spec.timing, spec.voters.len())),
            boxes: spec.voters.iter().map(|_| Outbox::default()).collect(),
            hurry: Notify::new(),
            held: Cell::new(false),
            had: Cell::new(false),
            asked: Cell::new(0),
            stalled: Cell::new(None),
            marks,
            bytes,
            cut,
            spec,
        }))
    }

    fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }

    /// Whether it may act now; none before its first lease.
    pub fn may_act(&self) -> Option<bool> {
        let holds = self.holder.borrow().has_valid_lease(self.now());
        (self.had.get() || holds).then_some(holds)
    }

    /// Lives until this is dropped.
    pub async fn live(self: Rc<Self>) {
        let mut parts = JoinSet::new();
        for voter in 0..self.boxes.len() {
            parts.spawn_local(Rc::clone(&self).link(voter));
        }
        parts.spawn_local(Rc::clone(&self).renew());
        while parts.join_next().await.is_some() {}
    }

    async fn link(self: Rc<Self>, voter: usize) {
        let mut nonce = None;
        loop {
            while self.cut.get() {
                tokio::time::sleep(LOOK * 5).await;
            }
            let opened = tokio::time::timeout(SILENT, self.open(voter, &mut nonce));
            if let Ok(Ok((stream, (to, from)))) = opened.await {
                self.boxes[voter].words.borrow_mut().clear();
                let (read, write) = stream.into_split();
                self.hurry.notify_one();
                let (hear, tell) = (self.hear(voter, read, from), self.tell(voter, write, to));
                tokio::pin!(hear, tell);
                let ended = tokio::select! {
                    ended = &mut hear => ended,
                    ended = &mut tell => ended,
                    () = self.cut_begins() => Ok(()),
                };
                if ended.is_err() {
                    self.marks.faults.set(self.marks.faults.get() + 1);
                }
                // Over a cut nothing is said or heard, and nobody hears that the link has ended.
                while self.cut.get() {
                    tokio::time::sleep(LOOK * 5).await;
                }
            }
            tokio::time::sleep(AGAIN).await;
        }
    }

    async fn cut_begins(&self) {
        while !self.cut.get() {
            tokio::time::sleep(LOOK * 10).await;
        }
    }

    async fn open(
        &self,
        voter: usize,
        last: &mut Option<Nonce>,
    ) -> io::Result<(TcpStream, (Channel, Channel))> {
        let mut stream = TcpStream::connect(self.spec.voters[voter]).await?;
        stream.set_nodelay(true)?;
        let mine = match (self.spec.flaw, *last) {
            (Some(Flaw::SameNonce), Some(nonce)) => nonce,
            _ => random()?,
        };
        *last = Some(mine);
        stream.write_all(&link_protocol::greeting(&mine)).await?;
        let mut first = [0; GREETING_BYTES];
        stream.read_exact(&mut first).await?;
        self.bytes.said(voter, GREETING_BYTES);
        self.bytes.heard(voter, GREETING_BYTES);
        let theirs = link_protocol::parse_greeting(&first).map_err(|e| io::Error::other(e.to_string()))?;
        let key = if self.spec.flaw == Some(Flaw::OtherKey) { "another key" } else { &self.spec.key };
        Ok((stream, link_protocol::derive_channels(key, &mine, &theirs)))
    }

    async fn hear(&self, voter: usize, mut from: OwnedReadHalf, mut channel: Channel) -> io::Result<()> {
        let mut bytes = Vec::new();
        loop {
            match channel.open(&mut bytes) {
                Ok(Some(LinkMessage::LeaseResponse { number, granted: yes, newer_state: news, .. })) => {
                    self.answered(voter, number, yes, news.map(|n| *n));
                    continue;
                }
                Ok(Some(_)) => continue,
                Ok(None) => {}
                Err(_) if self.spec.flaw == Some(Flaw::TakesFalseCodes) => bytes.clear(),
                Err(e) => return Err(io::Error::other(e.to_string())),
            }
            let heard = tokio::time::timeout(SILENT, from.read_buf(&mut bytes)).await;
            match heard.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                length => self.bytes.heard(voter, length),
            }
        }
    }

    async fn tell(&self, voter: usize, mut to: OwnedWriteHalf, mut channel: Channel) -> io::Result<()> {
        let claimed = (self.spec.flaw == Some(Flaw::ClaimsAVote)).then_some(1);
        let hello = LinkMessage::Hello {
            format: PROTOCOL_VERSION,
            name: self.spec.name.clone(),
            process: self.process,
            voter: claimed,
        };
        let mut bytes = channel.seal(&hello);
        loop {
            to.write_all(&bytes).await?;
            self.bytes.said(voter, bytes.len());
            let word = loop {
                let word = self.boxes[voter].words.borrow_mut().pop_front();
                match word {
                    Some(word) => break word,
                    None => self.boxes[voter].more.notified().await,
                }
            };
            bytes = channel.seal(&word);
        }
    }

    async fn renew(self: Rc<Self>) {
        let pause = Duration::from_nanos(self.spec.timing.renewal_interval);
        let pause = if self.spec.flaw == Some(Flaw::Hurries) { pause / 10 } else { pause };
        let part = random().map_or(0, |r| r[0]);
        tokio::time::sleep(pause.mul_f64(f64::from(part) / 256.0)).await;
        loop {
            self.look();
            self.ask();
            let hurries = async {
                self.hurry.notified().await;
                if self.spec.flaw == Some(Flaw::WaitsForTheNextRenewal) {
                    tokio::time::sleep(pause).await;
                }
                tokio::time::sleep(LOOK).await;
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = hurries => {}
            }
        }
    }

    fn ask(&self) {
        let now = self.now();
        self.stall(now);
        self.asked.set(now);
        let before = self.holder.borrow().rules();
        let (mut number, mut acting) = self.holder.borrow_mut().start_renewal(now);
        let mut index = self.holder.borrow().state().index;
        match self.spec.flaw {
            Some(Flaw::RepeatsNumbers) => number = number.min(3),
            Some(Flaw::SilentOnState) => index = 0,
            Some(Flaw::ClaimsAState) => index = index.max(1),
            Some(Flaw::AsksBeforeInForce) => {
                acting = before.map(|a| EffectiveRules::On(a.oldest_version().max(1) - 1))
            }
            _ => {}
        }
        for (voter, outbox) in self.boxes.iter().enumerate() {
            if voter > 0 && self.spec.flaw == Some(Flaw::AsksOne) {
                continue;
            }
            let list = ListReport { version: self.spec.list, leaving: Vec::new() };
            let mut words = outbox.words.borrow_mut();
            if words.len() >= WAITING {
                words.pop_front();
            }
            words.push_back(LinkMessage::LeaseRequest { number, rules: acting, index, list });
            if self.spec.flaw == Some(Flaw::Proposes) {
                let by = self.spec.name.clone();
                words.push_back(LinkMessage::Propose(Command::Propose {
                    token: number,
                    proposer: by,
                    base_version: 0,
                    body: DocumentBody::default(),
                }));
            }
            outbox.more.notify_one();
        }
    }

    fn answered(&self, voter: usize, number: u64, yes: bool, news: Option<ReplicatedState>) {
        let changed = self.holder.borrow_mut().handle_response(self.now(), voter, number, yes, news);
        if changed {
            // Nothing stands between learning of it and acting on it: there are no rules to put in force here.
            if let Some(acting) = self.holder.borrow().rules() {
                self.marks.takes.borrow_mut().push((machine(), acting));
            }
            self.hurry.notify_one();
        }
        self.look();
    }

    /// A lease bears three lost renewals: only a longer silence of its own can have ended one.
    fn stall(&self, now: Nanos) {
        if now > self.asked.get() + 4 * self.spec.timing.renewal_interval && self.asked.get() > 0 {
            self.stalled.set(Some(now));
        }
    }

    fn look(&self) {
        let now = self.now();
        let holds = self.holder.borrow().has_valid_lease(now);
        if self.held.replace(holds) == holds {
            return;
        }
        if holds {
            return self.had.set(true);
        }
        self.marks.lapses.set(self.marks.lapses.get() + 1);
        self.stall(now);
        if self.stalled.get().is_some_and(|at| now <= at + self.spec.timing.lease_duration) {
            self.marks.late_lapses.set(self.marks.late_lapses.get() + 1);
        }
    }
}
