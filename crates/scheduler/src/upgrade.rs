//! Upgrade: this process takes over from one that runs, and hands over to one that starts. Only where the platform holds
//! the listening socket (`LB_FD`). Who accepts when is decided in `loomlb-hot-restart`.

use super::clock::Clock;
use super::config::{Config, beside};
use super::discovery::{self, number};
use super::relay::{self, CallBackResult};
use super::{Scheduler, control, intake, route};
use loomlb_hot_restart::link::{Link, ReceiveBuffer};
use loomlb_hot_restart::message::{ForwardedRequest, PROTOCOL_VERSION, ResourceUsage, RestartMessage};
use loomlb_hot_restart::state_machine::{Predecessor, PredecessorAction, Successor};
use loomlb_policy::{Event, Message, Nanos, SlotUsage as Held, WorkerId, ZoneId};
use loomlb_sockets::error_kind::{ConnectErrorKind, classify_connect_error};
use loomlb_sockets::{AcceptRetry, OnAddressInUse, OpenRetry};
use serde::Deserialize;
use snapshot::Snapshot;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, spawn_local};

mod snapshot;

/// A partner that says nothing for this long while it is waited for is passed over.
const PATIENCE: Duration = Duration::from_millis(700);
/// What is asked of a partner is answered in this time, or counts as unanswered.
const ANSWER: Duration = Duration::from_millis(400);
/// Time between two words on what is held.
const TELL: Duration = Duration::from_millis(50);
/// Time between two looks whether all is finished here.
const LOOK: Duration = Duration::from_millis(5);
/// Questions that may wait for their answers at once.
const ASKED: usize = 1024;

/// Another process of this scheduler.
#[derive(Debug)]
pub struct Partner {
    link: Link,
    /// It takes over from us, or we from it.
    successor: bool,
    holds: RefCell<ResourceUsage>,
}

impl Partner {
    fn new(link: Link, successor: bool) -> Rc<Partner> {
        Rc::new(Partner { link, successor, holds: RefCell::default() })
    }

    /// Passes an idle connection of a client on.
    pub fn give_client(&self, s: &Scheduler, descriptor: OwnedFd, calls_back: bool, fresh: bool) {
        s.book.borrow_mut().counters.passed_on += 1;
        self.link.send(&RestartMessage::ClientConnection { calls_back, fresh }, Some(descriptor));
    }

    /// Passes an idle connection to a target on.
    pub fn give_target(&self, s: &Scheduler, to: WorkerId, descriptor: OwnedFd, since: Nanos) {
        if let Some(target) = s.target_group.target(to) {
            s.book.borrow_mut().counters.passed_on += 1;
            self.link.send(
                &RestartMessage::TargetConnection { host: target.host.to_string(), since },
                Some(descriptor),
            );
        }
    }
}

/// The processes beside this one.
#[derive(Debug)]
pub struct Upgrade {
    /// Where a successor finds us; none where there is no handover.
    path: Option<PathBuf>,
    old: Cell<Predecessor>,
    new: Cell<Successor>,
    partners: RefCell<Vec<Rc<Partner>>>,
    /// Told to the acceptor when it is to look whether it accepts.
    pub turned: Notify,
    /// Told to idle connections when they are to be passed on.
    pub moved: Notify,
    /// Questions under way.
    asked: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    next: Cell<u64>,
    listening: RefCell<Option<AbortHandle>>,
    /// It has taken its leave.
    left: Cell<bool>,
}

impl Upgrade {
    /// For a process that takes over from another, or from none.
    pub fn new(config: &Config, takes_over: bool) -> Upgrade {
        let mut new = Successor::default();
        if !takes_over {
            new.start_serving();
        }
        Upgrade {
            path: path(config),
            old: Cell::default(),
            new: Cell::new(new),
            partners: RefCell::default(),
            turned: Notify::new(),
            moved: Notify::new(),
            asked: RefCell::default(),
            next: Cell::new(0),
            listening: RefCell::default(),
            left: Cell::new(false),
        }
    }

    /// Whether this process accepts connections, and speaks for the scheduler.
    pub fn accepts(&self) -> bool {
        self.old.get().accepts_connections() && self.new.get().accepts_connections()
    }

    /// Why it does not.
    pub fn why_not(&self) -> &'static str {
        if self.new.get().accepts_connections() { "handed over" } else { "starting" }
    }

    /// The process that goes on with what is idle here, once it accepts.
    pub fn heir(&self) -> Option<Rc<Partner>> {
        if self.old.get().accepts_connections() {
            return None;
        }
        self.partners.borrow().iter().find(|p| p.successor && !p.link.is_closed()).cloned()
    }

    /// What the other processes hold of the limits that are ours together.
    pub fn elsewhere(&self) -> ResourceUsage {
        let mut all = ResourceUsage::default();
        for partner in &*self.partners.borrow() {
            let holds = partner.holds.borrow();
            (all.inbound, all.outbound) = (all.inbound + holds.inbound, all.outbound + holds.outbound);
        }
        all
    }

    fn turn<T>(&self, word: impl FnOnce(&mut Predecessor) -> T) -> T {
        let mut old = self.old.get();
        let said = word(&mut old);
        self.old.set(old);
        said
    }
}

/// Where processes of this scheduler meet.
fn path(config: &Config) -> Option<PathBuf> {
    config.inherited?;
    let path = beside(&config.listen.to_string(), "sock");
    if path.is_none() {
        tracing::warn!("TMPDIR: not set; a process that replaces this one starts from its configuration");
    }
    path
}

/// The process before this one, as far as the first words go.
pub struct Before {
    link: Link,
    inbox: ReceiveBuffer,
    snapshot: Snapshot,
    peers: Option<OwnedFd>,
}

impl Before {
    /// The socket to the peers.
    pub fn peers(&mut self) -> Option<OwnedFd> {
        self.peers.take()
    }

    /// A clock on the scale of that process's times.
    pub fn clock(&self) -> Clock {
        self.snapshot.clock()
    }
}

/// Asks the process that runs for all that it knows. None if there is none, or it cannot or will not say: this one then
/// starts from its configuration.
pub async fn predecessor(config: &Config) -> Option<Before> {
    let path = path(config)?;
    match tokio::time::timeout(PATIENCE, greet(&path)).await {
        Ok(Ok(before)) => Some(before),
        // The usual first start.
        Ok(Err(e)) if e.kind() == io::ErrorKind::NotFound => None,
        Ok(Err(e)) => {
            tracing::warn!("{}: {e}; starting from the configuration", path.display());
            None
        }
        Err(_) => {
            tracing::warn!("{}: no answer; starting from the configuration", path.display());
            None
        }
    }
}

async fn greet(path: &Path) -> io::Result<Before> {
    let link = Link::new(connect(path).await?);
    link.send(&RestartMessage::Hello { version: PROTOCOL_VERSION }, None);
    let mut inbox = ReceiveBuffer::default();
    let (word, peers) = tokio::select! {
        heard = link.receive(&mut inbox) => heard?,
        () = link.run_writer() => return Err(io::ErrorKind::BrokenPipe.into()),
    };
    match word {
        RestartMessage::Snapshot(value) => {
            let snapshot = Snapshot::deserialize(value).map_err(io::Error::other)?;
            Ok(Before { link, inbox, snapshot, peers })
        }
        RestartMessage::Refused(why) => Err(io::Error::other(format!("refused: {why}"))),
        _ => Err(io::Error::other("an unknown word")),
    }
}

/// Connects to the process that runs. What fails on this machine for a moment is tried again for as long as the caller
/// waits.
async fn connect(path: &Path) -> io::Result<UnixStream> {
    loop {
        match UnixStream::connect(path).await {
            Err(e) if classify_connect_error(&e) == ConnectErrorKind::Local => tokio::time::sleep(LOOK).await,
            connected => return connected,
        }
    }
}

/// Starts from what the process before knows, if there is one; otherwise from the configuration.
pub fn start(s: &Rc<Scheduler>, before: Option<Before>) {
    let Some(Before { link, inbox, snapshot, peers: _ }) = before else {
        discovery::start(s);
        return publish(s);
    };
    snapshot.restore(s);
    let partner = Partner::new(link, false);
    let mut new = s.upgrade.new.get();
    if new.on_restored() {
        partner.link.send(&RestartMessage::Ready, None);
    }
    s.upgrade.new.set(new);
    meet(s, &partner, inbox);
    let s = Rc::clone(s);
    spawn_local(async move {
        tokio::time::sleep(PATIENCE).await;
        if !s.upgrade.new.get().accepts_connections() {
            tracing::warn!("upgrade: the process before does not commit; serving beside it");
            serve(&s);
        }
    });
}

/// This process accepts from now on.
fn serve(s: &Rc<Scheduler>) {
    let mut new = s.upgrade.new.get();
    new.start_serving();
    s.upgrade.new.set(new);
    s.upgrade.turned.notify_one();
    publish(s);
}

/// Lets a successor find this process, in place of whatever was there.
fn publish(s: &Rc<Scheduler>) {
    let Some(path) = &s.upgrade.path else { return };
    let task = spawn_local(serve_successors(Rc::clone(s), path.clone()));
    if let Some(earlier) = s.upgrade.listening.borrow_mut().replace(task.abort_handle()) {
        earlier.abort();
    }
}

/// Puts a listener in place of whatever was at the path, and hears the processes that call there.
async fn serve_successors(s: Rc<Scheduler>, path: PathBuf) {
    let bind = async || bind_in_place(&path);
    let opened = OpenRetry::start().open("upgrade", path.display(), OnAddressInUse::Retry, bind).await;
    let listener = match opened {
        Ok(listener) => listener,
        Err(e) => {
            return tracing::warn!("{e}; a process that replaces this one starts from its configuration");
        }
    };
    let mut retry = AcceptRetry::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                retry.record_success();
                spawn_local(receive(Rc::clone(&s), Link::new(stream)));
            }
            Err(e) => retry.wait_after(&e).await,
        }
    }
}

/// Binds a listener beside the path and moves it there, so that the path always leads to one that listens.
fn bind_in_place(path: &Path) -> io::Result<UnixListener> {
    let fresh = path.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&fresh);
    let listener = UnixListener::bind(&fresh)?;
    std::fs::rename(&fresh, path)?;
    Ok(listener)
}

/// Hears the first word of a process that starts.
async fn receive(s: Rc<Scheduler>, link: Link) {
    let mut inbox = ReceiveBuffer::default();
    let Ok(Ok((RestartMessage::Hello { version }, _))) =
        tokio::time::timeout(PATIENCE, link.receive(&mut inbox)).await
    else {
        return;
    };
    match s.upgrade.turn(|old| old.on_hello(version)) {
        PredecessorAction::SendSnapshot => {
            let partner = Partner::new(link, true);
            match serde_json::to_value(Snapshot::of(&s)) {
                Ok(value) => {
                    tracing::info!("upgrade: another process starts, and gets what is known here");
                    partner.link.send(&RestartMessage::Snapshot(value), s.peers.descriptor());
                    meet(&s, &partner, inbox);
                }
                Err(e) => {
                    tracing::error!("upgrade: {e}");
                    s.upgrade.turn(Predecessor::on_link_lost);
                }
            }
        }
        PredecessorAction::Refuse(why) => {
            tracing::warn!("upgrade: another process starts, refused: {why}");
            link.send(&RestartMessage::Refused(why.into()), None);
            let _ = tokio::time::timeout(ANSWER, async {
                tokio::select! { () = link.run_writer() => {}, () = link.wait_flushed() => {} }
            })
            .await;
        }
        _ => {}
    }
}

/// Talks with another process until the link is over.
fn meet(s: &Rc<Scheduler>, partner: &Rc<Partner>, inbox: ReceiveBuffer) {
    s.upgrade.partners.borrow_mut().push(Rc::clone(partner));
    let writer = Rc::clone(partner);
    spawn_local(async move { writer.link.run_writer().await });
    let (teller, told) = (Rc::clone(s), Rc::clone(partner));
    spawn_local(async move {
        while !told.link.is_closed() {
            told.link.send(&RestartMessage::Usage(holds(&teller)), None);
            tokio::time::sleep(TELL).await;
        }
    });
    spawn_local(converse(Rc::clone(s), Rc::clone(partner), inbox));
}

fn holds(s: &Scheduler) -> ResourceUsage {
    let held = s.book.borrow().slots_by_host();
    ResourceUsage {
        slots: held.into_iter().map(|(host, slots)| (host.to_string(), slots)).collect(),
        inbound: s.listener.connection_count(),
        outbound: s.pool.open_count(),
    }
}

async fn converse(s: Rc<Scheduler>, partner: Rc<Partner>, mut inbox: ReceiveBuffer) {
    let why = loop {
        match partner.link.receive(&mut inbox).await {
            Ok((RestartMessage::Bye, _)) => break None,
            Ok((word, descriptor)) => heard(&s, &partner, word, descriptor),
            Err(e) => break Some(e),
        }
    };
    partner.link.close();
    s.upgrade.partners.borrow_mut().retain(|p| !Rc::ptr_eq(p, &partner));
    forget(&s);
    if partner.successor {
        if !s.upgrade.left.get() && s.upgrade.turn(Predecessor::on_link_lost) == PredecessorAction::Resume {
            tracing::error!("upgrade: the process that took over is gone; accepting again");
            publish(&s);
            s.upgrade.turned.notify_one();
        }
        return;
    }
    match why {
        None => tracing::info!("upgrade: the process before has finished"),
        Some(e) => tracing::warn!("upgrade: the process before is gone: {e}"),
    }
    if !s.upgrade.new.get().accepts_connections() {
        serve(&s);
    }
}

fn heard(s: &Rc<Scheduler>, partner: &Rc<Partner>, word: RestartMessage, descriptor: Option<OwnedFd>) {
    match (word, descriptor) {
        (RestartMessage::Ready, _)
            if partner.successor && s.upgrade.turn(Predecessor::on_ready) == PredecessorAction::Commit =>
        {
            tracing::info!("upgrade: handed over, {} flows to finish", s.book.borrow().unanswered());
            s.upgrade.turned.notify_one();
            partner.link.send(&RestartMessage::Committed, None);
            for (to, descriptor, since) in s.pool.take_all_idle() {
                partner.give_target(s, to, descriptor, since);
            }
            s.upgrade.moved.notify_waiters();
        }
        (RestartMessage::Committed, _)
            if !partner.successor && !s.upgrade.new.get().accepts_connections() =>
        {
            tracing::info!("upgrade: taken over from the process before");
            serve(s);
        }
        (RestartMessage::ClientConnection { calls_back, fresh }, Some(descriptor)) => {
            match intake::adopt(s, descriptor, calls_back, fresh) {
                Ok(()) => s.book.borrow_mut().counters.adopted += 1,
                Err(e) => tracing::warn!("upgrade: a client's connection is lost: {e}"),
            }
        }
        (RestartMessage::TargetConnection { host, since }, Some(descriptor)) => {
            let stream = std::net::TcpStream::from(descriptor);
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            if let Ok(stream) = stream
                && s.target_group.names(&host)
            {
                s.book.borrow_mut().counters.adopted += 1;
                s.pool.adopt(number(&host), stream, since.min(s.clock.now()));
            }
        }
        (RestartMessage::Usage(holds), _) => tell_module(s, partner, holds),
        (RestartMessage::Request(n, ask), _) => {
            let theirs = match &ask {
                ForwardedRequest::Admin(method, path) => {
                    control::passed_on(s, method, path);
                    false
                }
                ForwardedRequest::CallBack(body) => {
                    relay::handle_call_back(s, body.as_bytes()) == CallBackResult::Accepted
                }
            };
            let (s, partner) = (Rc::clone(s), Rc::clone(partner));
            spawn_local(async move {
                let theirs = theirs || self::ask(&s, &ask, Some(&partner)).await == Some(true);
                partner.link.send(&RestartMessage::Response(n, theirs), None);
            });
        }
        (RestartMessage::Response(n, theirs), _) => {
            let asker = s.upgrade.asked.borrow_mut().remove(&n);
            // Whoever asked may have stopped waiting.
            asker.into_iter().for_each(|asker| _ = asker.send(theirs));
        }
        _ => {}
    }
}

/// The module takes what the other process holds for the word of a peer: this scheduler's own number, which no peer has.
fn tell_module(s: &Rc<Scheduler>, partner: &Partner, holds: ResourceUsage) {
    let me = s.epoch().settings.own_id;
    let before = partner.holds.replace(holds);
    let now = partner.holds.borrow().clone();
    let gone = before.slots.iter().filter(|b| !now.slots.iter().any(|n| n.0 == b.0));
    let gone = gone.map(|b| (&b.0, 0.0));
    let changed = now.slots.iter().filter(|n| !before.slots.contains(n)).map(|n| (&n.0, n.1));
    for (host, slots) in changed.chain(gone) {
        let turn = s.upgrade.next.replace(s.upgrade.next.get() + 1) as u16;
        let held = Held { worker: number(host), slots: slots.round() as u8, sequence: turn, failed: false };
        route::handle_event(s, Event::PeerMessage(me, Message::SlotUsage(held).encode()));
    }
}

/// The other process is over, and what it held with it.
fn forget(s: &Rc<Scheduler>) {
    route::handle_event(
        s,
        Event::PeerMessage(
            s.epoch().settings.own_id,
            Message::Hello(ZoneId(s.epoch().settings.own_zone.0)).encode(),
        ),
    );
}

/// Asks all other processes; whether it was for one of them, or none if one of them did not answer and no other took it.
pub async fn ask(s: &Rc<Scheduler>, ask: &ForwardedRequest, but: Option<&Rc<Partner>>) -> Option<bool> {
    let others = s.upgrade.partners.borrow().clone();
    let others = others.iter().filter(|p| !but.is_some_and(|b| Rc::ptr_eq(b, p)));
    let mut answers = Vec::new();
    for partner in others {
        if s.upgrade.asked.borrow().len() >= ASKED {
            return None;
        }
        let n = s.upgrade.next.replace(s.upgrade.next.get() + 1);
        let (answer, asked) = oneshot::channel();
        s.upgrade.asked.borrow_mut().insert(n, answer);
        partner.link.send(&RestartMessage::Request(n, ask.clone()), None);
        answers.push((n, partner, asked));
    }
    let mut said = Some(false);
    for (n, partner, asked) in answers {
        // The answer first: a partner may take its leave right behind it.
        let answer = tokio::select! {
            biased;
            answer = tokio::time::timeout(ANSWER, asked) => answer.ok().and_then(Result::ok),
            () = partner.link.wait_closed() => Some(false),
        };
        s.upgrade.asked.borrow_mut().remove(&n);
        match answer {
            Some(true) => return Some(true),
            Some(false) => {}
            None => said = None,
        }
    }
    said
}

/// Passes a call-back for a flow that is not here on to the process that has it; false if that one does not answer, and
/// the target should say it again.
pub async fn pass_call_back(s: &Rc<Scheduler>, body: &[u8]) -> bool {
    let said = match std::str::from_utf8(body) {
        Ok(body) => ask(s, &ForwardedRequest::CallBack(body.into()), None).await,
        Err(_) => Some(false),
    };
    let mut book = s.book.borrow_mut();
    match said {
        Some(true) => book.counters.call_backs_passed += 1,
        _ => book.counters.call_backs_unknown += 1,
    }
    said.is_some()
}

/// Whether this process has handed over and owes nothing more. It stays for a process before it that has not finished:
/// its call-backs come through here.
pub fn is_finished(s: &Scheduler) -> bool {
    s.upgrade.heir().is_some()
        && s.book.borrow().unanswered() == 0
        && s.listener.connection_count() == 0
        && s.upgrade.partners.borrow().iter().all(|p| p.successor)
}

/// Waits until this process has handed over and owes nothing more, and takes its leave.
pub async fn finished(s: &Rc<Scheduler>) {
    if s.upgrade.path.is_none() {
        std::future::pending::<()>().await;
    }
    while !is_finished(s) {
        tokio::time::sleep(LOOK).await;
    }
    s.upgrade.left.set(true);
    if let Some(heir) = s.upgrade.heir() {
        heir.link.send(&RestartMessage::Bye, None);
        let _ = tokio::time::timeout(ANSWER, heir.link.wait_flushed()).await;
    }
    tracing::info!("upgrade: finished");
}
