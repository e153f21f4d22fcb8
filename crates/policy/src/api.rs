//! The interface of the decision module: settings and events in, actions out. Times are nanoseconds.

/// A point in time or a span, in nanoseconds of the caller's clock.
pub type Nanos = u64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}
ids! {
    /// A client's request (one try of it).
    RequestId(u64);
    /// A worker; stays the same when its process restarts.
    WorkerId(u64);
    /// A peer dispatcher, by its number.
    PeerId(u32);
    /// Place in [`Settings::classes`].
    ClassId(usize);
    /// Place in [`Settings::tenants`].
    TenantId(usize);
    /// A zone, numbered as the operator likes below [`Settings::zone_count`].
    ZoneId(usize);
    /// A kind of machine, numbered below [`Settings::kind_count`].
    KindId(usize);
    /// A small group of workers that share their memory of keys seen.
    CellId(u64);
    /// What a job is about (a hash of its name): jobs with the same key can share a warm worker.
    AffinityKey(u64);
}

/// What a class permits when an attempt may already have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeat freely.
    Idempotent,
    /// Repeats are dropped inside a group of workers for a while.
    Deduplicated(DedupScope),
    /// Never repeat what may have run.
    #[default]
    AtMostOnce,
}

/// The workers that drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// An answer in this time (plus `stretch` times the job's running time) has the full worth.
    pub latency_objective: Nanos,
    /// How far the aim grows with the running time of the job.
    pub objective_stretch: f64,
    /// The total time a client waits.
    pub client_timeout: Nanos,
    /// Worth of one request (or of a unit of its work).
    pub worth: f64,
    /// The part of the worth left after the aim.
    pub late_worth: f64,
    /// What may be repeated.
    pub idempotency: Idempotency,
    /// How long keyed repeats are dropped, from the send of the first attempt that may have run.
    pub dedup_window: Nanos,
    /// The one kind of machine that runs it, if it is bound.
    pub kind: Option<KindId>,
}

/// A tenant and its share.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second inside its share, for all dispatchers together.
    pub quota_per_s: f64,
}

/// How a worker serves its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// In order; the head waits until it fits.
    #[default]
    Fifo,
    /// Whatever fits first.
    Backfill,
    /// By the classes' priority.
    Priority,
}

/// How a worker's listed weight is to be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightMeaning {
    /// It says nothing.
    #[default]
    None,
    /// About the worker's size.
    Size,
    /// Its size divided by one plus its requests a core, some time ago.
    Live,
}

/// How load reports come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    /// Not at all.
    #[default]
    None,
    /// With outcomes (and probes).
    Inline,
    /// With probes only.
    OnProbe,
}

/// All that a dispatcher is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Dispatchers in all.
    pub dispatcher_count: u32,
    /// This one's number.
    pub own_id: PeerId,
    /// The zone it is in.
    pub own_zone: ZoneId,
    /// Number of zones.
    pub zone_count: usize,
    /// Number of kinds of machine.
    pub kind_count: usize,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The worth of a request beyond its tenant's share, as a part of the usual.
    pub over_share_worth: f64,
    /// Worth counts for each unit of work rather than for each request.
    pub worth_by_work: bool,
    /// How workers serve their queues.
    pub queue_order: QueueOrder,
    /// Workers tell when a job starts.
    pub job_starts_reported: bool,
    /// Time between progress notes; 0 for none.
    pub progress_interval: Nanos,
    /// The report's first extra value is the worker's free slots.
    pub free_slots_reported: bool,
    /// How load reports come.
    pub load_reporting: LoadReporting,
    /// How listed weights are to be read.
    pub weight_meaning: WeightMeaning,
    /// The list must be asked for (otherwise changes come by themselves).
    pub list_needs_watch: bool,
    /// Shortest time between two moments at which the dispatcher may act.
    pub tick: Nanos,
    /// What the site permits.
    pub limits: Limits,
    /// The figures of the rules.
    pub obligations: Obligations,
    /// What things cost, in the worth of the mean request.
    pub costs: Costs,
}

/// What the site permits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Attempts for one request.
    pub max_attempts: u32,
    /// Attempts can be cancelled.
    pub cancel: bool,
    /// Two attempts of a request may be out at once.
    pub hedging: bool,
    /// Workers may be probed.
    pub probing: bool,
    /// Peers may be told things.
    pub peer_messages: bool,
    /// Longest wait that clients follow after a refusal; 0 if they are not told.
    pub max_retry_after: Nanos,
}

/// The figures of the four rules.
#[derive(Clone, Debug, Default)]
pub struct Obligations {
    /// A started worker is warm after this time at the latest.
    pub warm_up_time: Nanos,
    /// The part of its capacity that it starts with, at least.
    pub initial_capacity_share: f64,
    /// A cold worker falls over beyond this multiple of its present capacity,
    pub overload_factor: f64,
    /// sent for this long.
    pub overload_window: Nanos,
    /// The list must be asked for at least this often while there is no subscription.
    pub list_request_interval: Nanos,
}

/// Prices, in the worth of the mean request.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Work that served no answer.
    pub waste: f64,
    /// Worth that ended unserved after its aim.
    pub late_failure: f64,
    /// 256 bytes delivered to a peer.
    pub peer_message: f64,
    /// A probe.
    pub probe: f64,
    /// A new connection.
    pub handshake: f64,
}

/// Kinds of list news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Partial,
    /// All of the list.
    Complete,
    /// All of the list as this instance had it before its restart; may be old.
    Persisted,
}

/// State of a listed worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// May be used.
    #[default]
    Ready,
    /// Finishes its work; nothing new.
    Draining,
    /// Removed.
    Removed,
}

/// One entry of the list of workers.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// Which one.
    pub id: WorkerId,
    /// Its zone, if known to the settings.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it may be used.
    pub state: WorkerState,
    /// Its weight; see [`WeightMeaning`].
    pub weight: f64,
    /// When its process started last; 0 for long ago.
    pub started_at: Nanos,
}

impl Worker {
    /// A ready worker of weight 1 in the first zone, started long ago.
    pub fn new(id: WorkerId) -> Self {
        Worker { id, weight: 1.0, ..Worker::default() }
    }
}

/// A request that a client hands in.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its id; never comes twice.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// What it is about.
    pub affinity_key: Option<AffinityKey>,
    /// Slots that the job takes.
    pub slots: f64,
    /// Memory that the job takes, in units of a slot's share.
    pub memory: f64,
    /// Time before the client stops waiting.
    pub remaining: Nanos,
    /// The answer has to go out within this time, where that is sooner: the process ends, say. It tells nothing of
    /// the client.
    pub answer_within: Option<Nanos>,
    /// The client repeats, where clients mark this.
    pub is_retry: bool,
    /// Whether it is within its tenant's share, where that is decided elsewhere.
    pub in_share: Option<bool>,
    /// A hint of its work.
    pub expected_work: Option<Nanos>,
}

impl Request {
    /// A request for one slot without key, tenant or hint.
    pub fn new(id: RequestId, class: ClassId, remaining: Nanos) -> Self {
        Request { id, class, remaining, slots: 1.0, ..Request::default() }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The worker gave an error; it may have run.
    Error,
    /// Sent back unseen: it never ran.
    Full,
    /// No answer in time; it may have run or still run.
    Timeout,
    /// No connection: it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent: it never ran.
    NotSent,
    /// The worker finds fault with the request itself: it never ran, and no other worker would run it.
    Rejected,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::NotSent | Outcome::Rejected)
    }
}

/// A worker's report of its load; absent values are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests it holds.
    pub in_flight: Option<f64>,
    /// Requests that wait.
    pub queued: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// How busy its cores are.
    pub utilization: Option<f64>,
    /// Recent service time without waiting, in milliseconds.
    pub service_time_ms: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send.
    pub latency: Nanos,
    /// The request is over.
    pub request_finished: bool,
    /// The worker's load.
    pub load_report: Option<LoadReport>,
}

/// News of an attempt that is still out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobProgress {
    /// The job has started.
    Started,
    /// This share of it is done.
    Fraction(f64),
}

impl LoadReport {
    /// The report without what is no count: negative, infinite or none.
    pub(crate) fn sane(&self) -> LoadReport {
        let sane = |v: Option<f64>| v.filter(|v| v.is_finite() && *v >= 0.0);
        LoadReport {
            in_flight: sane(self.in_flight),
            queued: sane(self.queued),
            free_slots: sane(self.free_slots),
            utilization: sane(self.utilization),
            service_time_ms: sane(self.service_time_ms),
        }
    }
}

/// Receivers of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// One peer.
    One(PeerId),
    /// All of them.
    All,
}

/// Where a class of new settings stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassOrigin {
    /// It is the class that had this place before, unchanged, or kept for its open requests alone.
    Kept,
    /// It takes the place of a class that is no longer used, or a new one, and starts from what was learned of this class.
    LearnedFrom(ClassId),
    /// The same, from nothing.
    New,
}

/// What happens to a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the workers.
    WorkerList {
        /// How to read the entries.
        kind: ListKind,
        /// The entries.
        entries: Vec<Worker>,
    },
    /// The settings have changed. For each class, where it stands; requests keep the class that they came with.
    SettingsChanged(Box<Settings>, Vec<ClassOrigin>),
    /// A call for the list failed, or the subscription broke.
    ListRequestFailed,
    /// A request is here.
    Request(Request),
    /// A request is over; its client has gone.
    RequestAbandoned(RequestId),
    /// News of an attempt.
    JobProgress(RequestId, u32, JobProgress),
    /// A streamed answer has begun: the attempt belongs to the client now.
    ResponseStarted(RequestId, u32),
    /// An attempt has ended.
    AttemptEnded {
        /// Its request.
        id: RequestId,
        /// Its number.
        attempt: u32,
        /// How it ended.
        result: AttemptResult,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The worker probed.
        worker: WorkerId,
        /// How it ended.
        result: AttemptResult,
    },
    /// A timer that this dispatcher set.
    TimerFired(u64),
    /// A message of a peer.
    PeerMessage(PeerId, Vec<u8>),
}

/// What a dispatcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; attempts of a request count from 0.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        worker: WorkerId,
        /// Time-out of the attempt.
        timeout: Nanos,
    },
    /// Final answer: no, a new try does no harm.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait; 0 for no advice.
        retry_after: Nanos,
    },
    /// Final answer: failed.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel(RequestId, u32),
    /// Ask for [`Event::Timer`] with this token after this time.
    SetTimer {
        /// From now.
        after: Nanos,
        /// Comes back with the event.
        token: u64,
    },
    /// Probe a worker.
    Probe(WorkerId),
    /// Close the idle connections to a worker.
    CloseIdleConnections(WorkerId),
    /// Ask for changes of the list from now on.
    WatchList,
    /// Tell peers something.
    SendToPeers(Recipient, Vec<u8>),
}
