//! Hot restart: this process takes over from a running one, and hands over to one that starts. Only available
//! if the platform passes the listening socket (`LB_FD`). `loomlb-hot-restart` decides which process accepts
//! connections.

use super::clock::Clock;
use super::config::{Config, shared_path};
use super::discovery::{self, worker_id};
use super::relay::{self, CallBackResult};
use super::{Scheduler, control, intake, route};
use loomlb_hot_restart::link::{Link, ReceiveBuffer};
use loomlb_hot_restart::message::{
    ForwardedRequest, OpenRequest, PROTOCOL_VERSION, ResourceUsage, RestartMessage,
};
use loomlb_hot_restart::state_machine::{self, PredecessorAction, Successor};
use loomlb_policy::{Event, Message, Nanos, SlotUsage as Held, WorkerId, ZoneId};
use loomlb_sockets::error_kind::{ConnectErrorKind, classify_connect_error};
use loomlb_sockets::{AcceptRetry, OnAddressInUse, OpenRetry};
use open_requests::RequestsElsewhere;
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

pub mod open_requests;
mod snapshot;

/// Time limit for an expected message of another process.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for the answer to a query of another process.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between reports of the resources that this process holds.
const HOLDS_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between checks of a local condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of unanswered queries.
const MAX_QUERIES: usize = 1024;

/// Another process of this scheduler.
#[derive(Debug)]
pub struct OtherProcess {
    link: Link,
    /// Whether it is the successor of this process, not its predecessor.
    is_successor: bool,
    /// Whether it shares the ids of its open requests, and answers requests about ids.
    shares_ids: bool,
    /// The open requests that were last sent to it.
    open_requests_sent: RefCell<Vec<OpenRequest>>,
    /// The open at-most-once requests that it last sent, if it is the successor.
    open_requests_received: RefCell<Vec<OpenRequest>>,
    /// The resources that it holds, as last reported.
    holds: RefCell<ResourceUsage>,
}

impl OtherProcess {
    fn new(link: Link, is_successor: bool, shares_ids: bool) -> Rc<OtherProcess> {
        Rc::new(OtherProcess {
            link,
            is_successor,
            shares_ids,
            open_requests_sent: RefCell::default(),
            open_requests_received: RefCell::default(),
            holds: RefCell::default(),
        })
    }

    /// Sends the open requests of this process, if the other one shares ids and they have changed.
    fn send_changed_open_requests(&self, scheduler: &Scheduler) {
        if !self.shares_ids {
            return;
        }
        let open_requests = if self.is_successor {
            open_requests::open_requests(scheduler)
        } else {
            open_requests::at_most_once_requests(scheduler)
        };
        if *self.open_requests_sent.borrow() != open_requests {
            self.send_open_requests(open_requests);
        }
    }

    /// Sends the open requests of this process.
    fn send_open_requests(&self, open_requests: Vec<OpenRequest>) {
        self.link.send(&RestartMessage::OpenRequests(open_requests.clone()), None);
        self.open_requests_sent.replace(open_requests);
    }

    /// Hands over an idle connection of a client.
    pub fn hand_over_client(
        &self,
        scheduler: &Scheduler,
        descriptor: OwnedFd,
        calls_back: bool,
        fresh: bool,
    ) {
        scheduler.book.borrow_mut().counters.passed_on += 1;
        self.link.send(&RestartMessage::ClientConnection { calls_back, fresh }, Some(descriptor));
    }

    /// Hands over an idle connection to a target.
    pub fn hand_over_target(&self, scheduler: &Scheduler, to: WorkerId, descriptor: OwnedFd, since: Nanos) {
        if let Some(target) = scheduler.target_group.target(to) {
            scheduler.book.borrow_mut().counters.passed_on += 1;
            self.link.send(
                &RestartMessage::TargetConnection { host: target.host.to_string(), since },
                Some(descriptor),
            );
        }
    }
}

/// The state of hot restarts in this process.
#[derive(Debug)]
pub struct Upgrade {
    /// The socket at which successors connect; none if hot restarts are not available.
    path: Option<PathBuf>,
    /// The state of a handover to a successor.
    as_predecessor: Cell<state_machine::Predecessor>,
    /// The state of a takeover from a predecessor.
    as_successor: Cell<Successor>,
    /// The processes with which this one has a link.
    processes: RefCell<Vec<Rc<OtherProcess>>>,
    /// Notifies the accept loop that [`Upgrade::accepts`] may have changed.
    pub accepting_changed: Notify,
    /// Notifies idle connections that they must be handed over.
    pub hand_over_idle: Notify,
    /// Requests that predecessors have open, or have been granted to admit.
    open_elsewhere: RefCell<RequestsElsewhere>,
    /// Unanswered queries by number.
    queries: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    /// The number of the next query or report to the module.
    next_number: Cell<u64>,
    /// The task that accepts successors.
    listener_task: RefCell<Option<AbortHandle>>,
    /// Whether this process has told its successor that it has finished.
    goodbye_sent: Cell<bool>,
}

impl Upgrade {
    /// Creates the state for a process with or without a predecessor.
    pub fn new(config: &Config, takes_over: bool) -> Upgrade {
        let mut state = Successor::default();
        if !takes_over {
            state.start_serving();
        }
        Upgrade {
            path: socket_path(config),
            as_predecessor: Cell::default(),
            as_successor: Cell::new(state),
            processes: RefCell::default(),
            accepting_changed: Notify::new(),
            hand_over_idle: Notify::new(),
            open_elsewhere: RefCell::default(),
            queries: RefCell::default(),
            next_number: Cell::new(0),
            listener_task: RefCell::default(),
            goodbye_sent: Cell::new(false),
        }
    }

    /// Returns whether this process accepts connections and communicates with peers.
    pub fn accepts(&self) -> bool {
        self.as_predecessor.get().accepts_connections() && self.as_successor.get().accepts_connections()
    }

    /// Returns why this process does not accept connections.
    pub fn not_accepting_reason(&self) -> &'static str {
        if self.as_successor.get().accepts_connections() { "handed over" } else { "starting" }
    }

    /// Returns the process that takes idle connections over, if this one has handed over.
    pub fn successor(&self) -> Option<Rc<OtherProcess>> {
        if self.as_predecessor.get().accepts_connections() {
            return None;
        }
        self.processes.borrow().iter().find(|p| p.is_successor && !p.link.is_closed()).cloned()
    }

    /// Returns the connections and the memory of the other processes, which count against the same limits.
    pub fn held_by_others(&self) -> ResourceUsage {
        let mut all = ResourceUsage::default();
        for process in &*self.processes.borrow() {
            let holds = process.holds.borrow();
            all.inbound += holds.inbound;
            all.outbound += holds.outbound;
            all.request_bytes += holds.request_bytes;
            all.receive_bytes += holds.receive_bytes;
        }
        all
    }

    /// Changes the state of a handover to a successor.
    fn update_predecessor_state<T>(&self, update: impl FnOnce(&mut state_machine::Predecessor) -> T) -> T {
        let mut state = self.as_predecessor.get();
        let result = update(&mut state);
        self.as_predecessor.set(state);
        result
    }
}

/// Returns the path of the socket that the processes of this scheduler use.
fn socket_path(config: &Config) -> Option<PathBuf> {
    config.inherited_fd?;
    let path = shared_path(&config.listen.to_string(), "sock");
    if path.is_none() {
        tracing::warn!("TMPDIR: not set; a successor will start from its configuration");
    }
    path
}

/// The predecessor, with its snapshot.
pub struct Predecessor {
    link: Link,
    inbox: ReceiveBuffer,
    snapshot: Snapshot,
    peer_socket: Option<OwnedFd>,
}

impl Predecessor {
    /// Takes the socket for peers' datagrams.
    pub fn take_peer_socket(&mut self) -> Option<OwnedFd> {
        self.peer_socket.take()
    }

    /// Returns a clock for the times in the snapshot.
    pub fn clock(&self) -> Clock {
        self.snapshot.clock()
    }
}

/// Requests a snapshot from the running process. Returns none if there is no such process, or if it fails or
/// refuses; this process then starts from its configuration.
pub async fn connect_to_predecessor(config: &Config) -> Option<Predecessor> {
    let path = socket_path(config)?;
    match tokio::time::timeout(MESSAGE_TIMEOUT, request_snapshot(&path)).await {
        Ok(Ok(predecessor)) => Some(predecessor),
        // The socket does not exist: this is the first start.
        Ok(Err(e)) if e.kind() == io::ErrorKind::NotFound => None,
        Ok(Err(e)) => {
            tracing::warn!("{}: {e}; starting from the configuration", path.display());
            None
        }
        Err(_) => {
            tracing::warn!("{}: no response; starting from the configuration", path.display());
            None
        }
    }
}

/// Sends the greeting and waits for the snapshot.
async fn request_snapshot(path: &Path) -> io::Result<Predecessor> {
    let link = Link::new(connect(path).await?);
    link.send(&RestartMessage::Hello { version: PROTOCOL_VERSION, shares_ids: true }, None);
    let mut inbox = ReceiveBuffer::default();
    let (message, peer_socket) = tokio::select! {
        received = link.receive(&mut inbox) => received?,
        () = link.run_writer() => return Err(io::ErrorKind::BrokenPipe.into()),
    };
    match message {
        RestartMessage::Snapshot(value) => {
            let snapshot = Snapshot::deserialize(value).map_err(io::Error::other)?;
            Ok(Predecessor { link, inbox, snapshot, peer_socket })
        }
        RestartMessage::Refused(reason) => Err(io::Error::other(format!("refused: {reason}"))),
        _ => Err(io::Error::other("unexpected message")),
    }
}

/// Connects to the running process. Temporary local failures are retried for as long as the caller waits.
async fn connect(path: &Path) -> io::Result<UnixStream> {
    loop {
        match UnixStream::connect(path).await {
            Err(e) if classify_connect_error(&e) == ConnectErrorKind::Local => {
                tokio::time::sleep(POLL_INTERVAL).await
            }
            connected => return connected,
        }
    }
}

/// Starts from the predecessor's snapshot if there is one, otherwise from the configuration.
pub fn start(scheduler: &Rc<Scheduler>, predecessor: Option<Predecessor>) {
    let Some(Predecessor { link, inbox, mut snapshot, peer_socket: _ }) = predecessor else {
        discovery::start_from_config(scheduler);
        return open_socket(scheduler);
    };
    let open_requests = snapshot.open_requests.take();
    snapshot.restore(scheduler);
    let process = OtherProcess::new(link, false, open_requests.is_some());
    open_requests::record(scheduler, open_requests.unwrap_or_default());
    let mut state = scheduler.upgrade.as_successor.get();
    if state.on_restored() {
        process.link.send(&RestartMessage::Ready, None);
    }
    scheduler.upgrade.as_successor.set(state);
    start_link(scheduler, &process, inbox);
    let scheduler = Rc::clone(scheduler);
    spawn_local(async move {
        tokio::time::sleep(MESSAGE_TIMEOUT).await;
        if !scheduler.upgrade.as_successor.get().accepts_connections() {
            tracing::warn!(
                "upgrade: the predecessor has not handed over in time; accepting connections beside it"
            );
            start_accepting(&scheduler);
        }
    });
}

/// Starts to accept connections in this process.
fn start_accepting(scheduler: &Rc<Scheduler>) {
    let mut state = scheduler.upgrade.as_successor.get();
    state.start_serving();
    scheduler.upgrade.as_successor.set(state);
    scheduler.upgrade.accepting_changed.notify_one();
    open_socket(scheduler);
}

/// Opens the socket for successors in place of an earlier one.
fn open_socket(scheduler: &Rc<Scheduler>) {
    let Some(path) = &scheduler.upgrade.path else { return };
    let task = spawn_local(serve_successors(Rc::clone(scheduler), path.clone()));
    if let Some(earlier) = scheduler.upgrade.listener_task.borrow_mut().replace(task.abort_handle()) {
        earlier.abort();
    }
}

/// Binds the socket for successors and serves the processes that connect to it.
async fn serve_successors(scheduler: Rc<Scheduler>, path: PathBuf) {
    let bind = async || bind_in_place(&path);
    let opened = OpenRetry::start().open("upgrade", path.display(), OnAddressInUse::Retry, bind).await;
    let listener = match opened {
        Ok(listener) => listener,
        Err(e) => {
            return tracing::warn!("{e}; a successor will start from its configuration");
        }
    };
    let mut retry = AcceptRetry::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                retry.record_success();
                spawn_local(greet_successor(Rc::clone(&scheduler), Link::new(stream)));
            }
            Err(e) => retry.wait_after(&e).await,
        }
    }
}

/// Binds a listener under a temporary name and renames it, so that the path always refers to an active
/// listener.
fn bind_in_place(path: &Path) -> io::Result<UnixListener> {
    let temporary = path.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    std::fs::rename(&temporary, path)?;
    Ok(listener)
}

/// Handles the greeting of a starting process.
async fn greet_successor(scheduler: Rc<Scheduler>, link: Link) {
    let mut inbox = ReceiveBuffer::default();
    let Ok(Ok((RestartMessage::Hello { version, shares_ids }, _))) =
        tokio::time::timeout(MESSAGE_TIMEOUT, link.receive(&mut inbox)).await
    else {
        return;
    };
    match scheduler.upgrade.update_predecessor_state(|state| state.on_hello(version)) {
        PredecessorAction::SendSnapshot => {
            let process = OtherProcess::new(link, true, shares_ids);
            let open_requests = shares_ids.then(|| open_requests::open_requests(&scheduler));
            process.open_requests_sent.replace(open_requests.clone().unwrap_or_default());
            match serde_json::to_value(Snapshot::of(&scheduler, open_requests)) {
                Ok(value) => {
                    tracing::info!("upgrade: sending a snapshot to a successor");
                    process.link.send(&RestartMessage::Snapshot(value), scheduler.peers.descriptor());
                    start_link(&scheduler, &process, inbox);
                }
                Err(e) => {
                    tracing::error!("upgrade: the snapshot cannot be encoded: {e}");
                    scheduler.upgrade.update_predecessor_state(state_machine::Predecessor::on_link_lost);
                }
            }
        }
        PredecessorAction::Refuse(reason) => {
            tracing::warn!("upgrade: refused a successor: {reason}");
            link.send(&RestartMessage::Refused(reason.into()), None);
            let _ = tokio::time::timeout(ANSWER_TIMEOUT, async {
                tokio::select! { () = link.run_writer() => {}, () = link.wait_flushed() => {} }
            })
            .await;
        }
        _ => {}
    }
}

/// Starts the tasks that communicate with another process until the link closes.
fn start_link(scheduler: &Rc<Scheduler>, process: &Rc<OtherProcess>, inbox: ReceiveBuffer) {
    scheduler.upgrade.processes.borrow_mut().push(Rc::clone(process));
    let writer = Rc::clone(process);
    spawn_local(async move { writer.link.run_writer().await });
    let (reporter, receiver) = (Rc::clone(scheduler), Rc::clone(process));
    spawn_local(async move {
        while !receiver.link.is_closed() {
            receiver.link.send(&RestartMessage::Usage(local_holds(&reporter)), None);
            receiver.send_changed_open_requests(&reporter);
            tokio::time::sleep(HOLDS_INTERVAL).await;
        }
    });
    spawn_local(receive_messages(Rc::clone(scheduler), Rc::clone(process), inbox));
}

/// Returns the resources that this process holds.
fn local_holds(scheduler: &Scheduler) -> ResourceUsage {
    let held = scheduler.book.borrow().slots_by_host();
    ResourceUsage {
        slots: held.into_iter().map(|(host, slots)| (host.to_string(), slots)).collect(),
        inbound: scheduler.listener.connection_count(),
        outbound: scheduler.pool.open_count(),
        request_bytes: scheduler.book.borrow().request_bytes(),
        receive_bytes: scheduler.listener.receive_bytes(),
    }
}

/// Handles the messages of another process until the link closes.
async fn receive_messages(scheduler: Rc<Scheduler>, process: Rc<OtherProcess>, mut inbox: ReceiveBuffer) {
    let error = loop {
        match process.link.receive(&mut inbox).await {
            Ok((RestartMessage::Bye, _)) => break None,
            Ok((message, descriptor)) => handle_message(&scheduler, &process, message, descriptor),
            Err(e) => break Some(e),
        }
    };
    process.link.close();
    scheduler.upgrade.processes.borrow_mut().retain(|p| !Rc::ptr_eq(p, &process));
    scheduler.listener.set_receive_bytes_of_others(scheduler.upgrade.held_by_others().receive_bytes);
    clear_holds(&scheduler);
    open_requests::process_ended(&scheduler, &process);
    if process.is_successor {
        if !scheduler.upgrade.goodbye_sent.get()
            && scheduler.upgrade.update_predecessor_state(state_machine::Predecessor::on_link_lost)
                == PredecessorAction::Resume
        {
            tracing::error!("upgrade: lost the successor; accepting connections again");
            open_socket(&scheduler);
            scheduler.upgrade.accepting_changed.notify_one();
        }
        return;
    }
    match error {
        None => tracing::info!("upgrade: the predecessor has finished"),
        Some(e) => tracing::warn!("upgrade: lost the predecessor: {e}"),
    }
    if !scheduler.upgrade.as_successor.get().accepts_connections() {
        start_accepting(&scheduler);
    }
}

/// Handles one message of another process.
fn handle_message(
    scheduler: &Rc<Scheduler>,
    process: &Rc<OtherProcess>,
    message: RestartMessage,
    descriptor: Option<OwnedFd>,
) {
    match (message, descriptor) {
        (RestartMessage::Ready, _)
            if process.is_successor
                && scheduler.upgrade.update_predecessor_state(state_machine::Predecessor::on_ready)
                    == PredecessorAction::Commit =>
        {
            tracing::info!("upgrade: handed over, {} flows to finish", scheduler.book.borrow().unanswered());
            scheduler.upgrade.accepting_changed.notify_one();
            process.send_changed_open_requests(scheduler);
            process.link.send(&RestartMessage::Committed, None);
            for (to, descriptor, since) in scheduler.pool.take_all_idle(scheduler.clock.now()) {
                process.hand_over_target(scheduler, to, descriptor, since);
            }
            scheduler.upgrade.hand_over_idle.notify_waiters();
        }
        (RestartMessage::OpenRequests(requests), _) if process.is_successor => {
            process.open_requests_received.replace(requests);
        }
        (RestartMessage::OpenRequests(requests), _) => open_requests::record(scheduler, requests),
        (RestartMessage::Committed, _)
            if !process.is_successor && !scheduler.upgrade.as_successor.get().accepts_connections() =>
        {
            tracing::info!("upgrade: taken over from the predecessor");
            start_accepting(scheduler);
        }
        (RestartMessage::ClientConnection { calls_back, fresh }, Some(descriptor)) => {
            match intake::adopt(scheduler, descriptor, calls_back, fresh) {
                Ok(()) => scheduler.book.borrow_mut().counters.adopted += 1,
                Err(e) => tracing::warn!("upgrade: cannot take over a client's connection: {e}"),
            }
        }
        (RestartMessage::TargetConnection { host, since }, Some(descriptor)) => {
            let stream = std::net::TcpStream::from(descriptor);
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            if let Ok(stream) = stream
                && scheduler.target_group.contains(&host)
            {
                scheduler.book.borrow_mut().counters.adopted += 1;
                scheduler.pool.adopt(worker_id(&host), stream, since.min(scheduler.clock.now()));
            }
        }
        (RestartMessage::Usage(holds), _) => report_holds(scheduler, process, holds),
        (RestartMessage::Request(number, ForwardedRequest::IsOpen(id)), _) => {
            let (scheduler, process) = (Rc::clone(scheduler), Rc::clone(process));
            spawn_local(async move {
                let is_open = open_requests::is_open(&scheduler, &id).await;
                process.link.send(&RestartMessage::Response(number, is_open), None);
            });
        }
        (RestartMessage::Request(number, ForwardedRequest::ClaimId(request)), _) => {
            let (scheduler, process) = (Rc::clone(scheduler), Rc::clone(process));
            spawn_local(async move {
                let granted = open_requests::grant_claim(&scheduler, request).await;
                process.link.send(&RestartMessage::Response(number, granted), None);
            });
        }
        (RestartMessage::Request(number, ask), _) => {
            let accepted = match &ask {
                ForwardedRequest::Admin(method, path) => {
                    control::execute_relayed(scheduler, method, path);
                    false
                }
                ForwardedRequest::CallBack(body) => {
                    relay::handle_call_back(scheduler, body.as_bytes()) == CallBackResult::Accepted
                }
                // Answered above.
                ForwardedRequest::IsOpen(_) | ForwardedRequest::ClaimId(_) => false,
            };
            let (scheduler, process) = (Rc::clone(scheduler), Rc::clone(process));
            spawn_local(async move {
                let accepted =
                    accepted || self::query_others(&scheduler, &ask, Some(&process)).await == Some(true);
                process.link.send(&RestartMessage::Response(number, accepted), None);
            });
        }
        (RestartMessage::Response(number, accepted), _) => {
            let sender = scheduler.upgrade.queries.borrow_mut().remove(&number);
            // The query may have timed out.
            sender.into_iter().for_each(|sender| _ = sender.send(accepted));
        }
        _ => {}
    }
}

/// Reports the slots that another process holds to the module, as messages of a peer with this scheduler's
/// own number.
fn report_holds(scheduler: &Rc<Scheduler>, process: &OtherProcess, holds: ResourceUsage) {
    let me = scheduler.settings().policy.own_id;
    let previous = process.holds.replace(holds);
    scheduler.listener.set_receive_bytes_of_others(scheduler.upgrade.held_by_others().receive_bytes);
    let current = process.holds.borrow().clone();
    let released = previous.slots.iter().filter(|p| !current.slots.iter().any(|n| n.0 == p.0));
    let released = released.map(|p| (&p.0, 0.0));
    let changed = current.slots.iter().filter(|n| !previous.slots.contains(n)).map(|n| (&n.0, n.1));
    for (host, slots) in changed.chain(released) {
        let sequence = scheduler.upgrade.next_number.replace(scheduler.upgrade.next_number.get() + 1) as u16;
        let held = Held { worker: worker_id(host), slots: slots.round() as u8, sequence, failed: false };
        route::handle_event(scheduler, Event::PeerMessage(me, Message::SlotUsage(held).encode()));
    }
}

/// Makes the module forget the slots of a process that has ended.
fn clear_holds(scheduler: &Rc<Scheduler>) {
    route::handle_event(
        scheduler,
        Event::PeerMessage(
            scheduler.settings().policy.own_id,
            Message::Hello(ZoneId(scheduler.settings().policy.own_zone.0)).encode(),
        ),
    );
}

/// Sends a query to all other processes that can decode it, but `except`. Returns whether one of them accepted it, or none
/// if none did and at least one did not answer.
pub async fn query_others(
    scheduler: &Rc<Scheduler>,
    ask: &ForwardedRequest,
    except: Option<&Rc<OtherProcess>>,
) -> Option<bool> {
    let is_asked = |process: &Rc<OtherProcess>| {
        !except.is_some_and(|exempt| Rc::ptr_eq(exempt, process))
            && (process.shares_ids || !ask.needs_shared_ids())
    };
    let mut others = scheduler.upgrade.processes.borrow().clone();
    others.retain(is_asked);
    query(scheduler, ask, &others).await
}

/// Sends a query to these processes. Returns whether one of them accepted it, or none if none did and at least one did not
/// answer.
async fn query(
    scheduler: &Rc<Scheduler>,
    ask: &ForwardedRequest,
    processes: &[Rc<OtherProcess>],
) -> Option<bool> {
    let mut answers = Vec::new();
    for process in processes {
        if scheduler.upgrade.queries.borrow().len() >= MAX_QUERIES {
            return None;
        }
        let number = scheduler.upgrade.next_number.replace(scheduler.upgrade.next_number.get() + 1);
        let (sender, receiver) = oneshot::channel();
        scheduler.upgrade.queries.borrow_mut().insert(number, sender);
        process.link.send(&RestartMessage::Request(number, ask.clone()), None);
        answers.push((number, process, receiver));
    }
    let mut result = Some(false);
    for (number, process, receiver) in answers {
        // The answer is polled first: the process may close the link directly after it.
        let answer = tokio::select! {
            biased;
            answer = tokio::time::timeout(ANSWER_TIMEOUT, receiver) => answer.ok().and_then(Result::ok),
            () = process.link.wait_closed() => Some(false),
        };
        scheduler.upgrade.queries.borrow_mut().remove(&number);
        match answer {
            Some(true) => return Some(true),
            Some(false) => {}
            None => result = None,
        }
    }
    result
}

/// Relays a call-back for an unknown flow to the other processes. Returns false if one of them did not
/// answer, so that the target should repeat it.
pub async fn relay_call_back(scheduler: &Rc<Scheduler>, body: &[u8]) -> bool {
    let accepted = match std::str::from_utf8(body) {
        Ok(body) => query_others(scheduler, &ForwardedRequest::CallBack(body.into()), None).await,
        Err(_) => Some(false),
    };
    let mut book = scheduler.book.borrow_mut();
    match accepted {
        Some(true) => book.counters.call_backs_passed += 1,
        _ => book.counters.call_backs_unknown += 1,
    }
    accepted.is_some()
}

/// Returns whether this process has handed over and has finished all flows. While its own predecessor runs it
/// is not finished, as it relays that process's call-backs.
pub fn is_finished(scheduler: &Scheduler) -> bool {
    scheduler.upgrade.successor().is_some()
        && scheduler.book.borrow().unanswered() == 0
        && scheduler.listener.connection_count() == 0
        && scheduler.upgrade.processes.borrow().iter().all(|p| p.is_successor)
}

/// Waits until [`is_finished`], then notifies the successor.
pub async fn wait_until_finished(scheduler: &Rc<Scheduler>) {
    if scheduler.upgrade.path.is_none() {
        std::future::pending::<()>().await;
    }
    while !is_finished(scheduler) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    say_goodbye(scheduler).await;
    tracing::info!("upgrade: finished");
}

/// Notifies the successor, if there is one, that this process ends, and of the requests that it leaves behind. The last
/// list may be outdated even if it equals the present one, as the successor adds the requests that it grants.
pub async fn say_goodbye(scheduler: &Rc<Scheduler>) {
    let Some(successor) = scheduler.upgrade.successor() else { return };
    scheduler.upgrade.goodbye_sent.set(true);
    if successor.shares_ids {
        successor.send_open_requests(open_requests::open_requests(scheduler));
    }
    successor.link.send(&RestartMessage::Bye, None);
    let _ = tokio::time::timeout(ANSWER_TIMEOUT, successor.link.wait_flushed()).await;
}
