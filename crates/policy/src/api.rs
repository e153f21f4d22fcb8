//! The interface of the decision module: settings and events in, actions out. All times are nanoseconds.

/// A point in time on the caller's clock, or a duration, in nanoseconds.
pub type Nanos = u64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}
ids! {
    /// One try of a client's request.
    RequestId(u64);
    /// A worker; restarts of its process keep the id.
    WorkerId(u64);
    /// The number of a dispatcher.
    PeerId(u32);
    /// Index into [`Settings::classes`].
    ClassId(usize);
    /// Index into [`Settings::tenants`].
    TenantId(usize);
    /// The number of a zone, below [`Settings::zone_count`].
    ZoneId(usize);
    /// The number of a kind of machine, below [`Settings::kind_count`].
    KindId(usize);
    /// A small group of workers that deduplicate requests together.
    CellId(u64);
    /// A hash of the name of what a job is about. A worker serves jobs with a key that it has cached faster.
    AffinityKey(u64);
}

/// Whether requests of a class may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Requests may be repeated freely.
    Idempotent,
    /// Repeats are dropped by the workers of this scope, for [`Class::dedup_window`].
    Deduplicated(DedupScope),
    /// Requests that may have run must not be repeated.
    #[default]
    AtMostOnce,
}

/// The workers that recognize and drop repeats of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All workers.
    All,
    /// Workers of the zone of the first attempt.
    Zone,
    /// Workers of the cell of the first attempt.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// An answer within this time, plus `objective_stretch` times the running time of the job, has full
    /// worth.
    pub latency_objective: Nanos,
    /// How much the objective grows with the running time of the job.
    pub objective_stretch: f64,
    /// How long a client waits, over all its tries.
    pub client_timeout: Nanos,
    /// Worth of a request, or of a unit of its work; see [`Settings::worth_by_work`].
    pub worth: f64,
    /// Fraction of the worth that remains after the objective.
    pub late_worth: f64,
    /// Whether requests may be repeated.
    pub idempotency: Idempotency,
    /// How long repeats are dropped, counted from the send of the first attempt that may have run.
    pub dedup_window: Nanos,
    /// The only kind of machine that runs the class, if it is bound to one.
    pub kind: Option<KindId>,
}

/// A tenant and its quota.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests per second within its share, over all dispatchers.
    pub quota_per_s: f64,
}

/// The order in which a worker serves its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// First in, first out; the first job waits until it fits.
    #[default]
    Fifo,
    /// The first job that fits is served next.
    Backfill,
    /// By the priority of the class.
    Priority,
}

/// The meaning of the weight of a listed worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightMeaning {
    /// None.
    #[default]
    None,
    /// The approximate size of the worker.
    Size,
    /// The size divided by one plus the requests per core, as of some time ago.
    Live,
}

/// How dispatchers receive load reports of workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    /// There are no load reports.
    #[default]
    None,
    /// With the end of each attempt, and with probes.
    Inline,
    /// With probes only.
    OnProbe,
}

/// The settings of a dispatcher.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of dispatchers.
    pub dispatcher_count: u32,
    /// The number of this dispatcher.
    pub own_id: PeerId,
    /// The zone of this dispatcher.
    pub own_zone: ZoneId,
    /// Number of zones.
    pub zone_count: usize,
    /// Number of kinds of machine.
    pub kind_count: usize,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a fraction of its usual worth.
    pub over_share_worth: f64,
    /// Whether the worth of a class counts per unit of work rather than per request.
    pub worth_by_work: bool,
    /// The order in which workers serve their queues.
    pub queue_order: QueueOrder,
    /// Whether workers report when a job starts.
    pub job_starts_reported: bool,
    /// Time between progress reports of a job; 0 if there are none.
    pub progress_interval: Nanos,
    /// Whether load reports carry the number of free slots.
    pub free_slots_reported: bool,
    /// How load reports are received.
    pub load_reporting: LoadReporting,
    /// The meaning of the weights of listed workers.
    pub weight_meaning: WeightMeaning,
    /// Whether changes of the worker list arrive only after [`Action::WatchList`].
    pub list_needs_watch: bool,
    /// Shortest time between two moments at which the dispatcher may act.
    pub tick: Nanos,
    /// What the platform permits.
    pub limits: Limits,
    /// What the platform requires.
    pub obligations: Obligations,
    /// What operations cost, in units of the worth of the mean request.
    pub costs: Costs,
}

/// What the platform permits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Attempts per request at most.
    pub max_attempts: u32,
    /// Whether attempts can be cancelled.
    pub cancel: bool,
    /// Whether a request may have two attempts in flight.
    pub hedging: bool,
    /// Whether workers may be probed.
    pub probing: bool,
    /// Whether messages may be sent to peers.
    pub peer_messages: bool,
    /// Longest `retry_after` that clients follow; 0 if they follow none.
    pub max_retry_after: Nanos,
}

/// What the platform requires of dispatchers.
#[derive(Clone, Debug, Default)]
pub struct Obligations {
    /// Time after which a started worker is warm at the latest.
    pub warm_up_time: Nanos,
    /// Fraction of its capacity that a worker has at least when it starts.
    pub initial_capacity_share: f64,
    /// Multiple of its current capacity beyond which a cold worker fails, on average over `overload_window`.
    pub overload_factor: f64,
    /// Time over which the work sent to a cold worker is averaged.
    pub overload_window: Nanos,
    /// Longest time between two requests for the worker list, while there is no subscription.
    pub list_request_interval: Nanos,
}

/// Costs in units of the worth of the mean request.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    /// An attempt in another zone.
    pub cross_zone: f64,
    /// Work that served no answer.
    pub waste: f64,
    /// Worth that ended unserved after its objective.
    pub late_failure: f64,
    /// 256 bytes delivered to a peer.
    pub peer_message: f64,
    /// A probe.
    pub probe: f64,
    /// A new connection.
    pub handshake: f64,
}

/// What the entries of a worker list stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The changes since the last list.
    Partial,
    /// The complete list.
    Complete,
    /// The complete list as it was before a restart of this dispatcher; possibly outdated.
    Persisted,
}

/// The state of a listed worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// May be used.
    #[default]
    Ready,
    /// Finishes its jobs and takes no new ones.
    Draining,
    /// Removed from the fleet.
    Removed,
}

/// An entry of the worker list.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// The id.
    pub id: WorkerId,
    /// The zone, or [`Settings::zone_count`] if the settings don't name it.
    pub zone: ZoneId,
    /// The kind of machine.
    pub kind: KindId,
    /// The cell.
    pub cell: CellId,
    /// The state.
    pub state: WorkerState,
    /// The weight; see [`WeightMeaning`].
    pub weight: f64,
    /// When its process was last started; 0 for long ago.
    pub started_at: Nanos,
}

impl Worker {
    /// Returns a ready worker of weight 1 in the first zone, started long ago.
    pub fn new(id: WorkerId) -> Self {
        Worker { id, weight: 1.0, ..Worker::default() }
    }
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The id; unique.
    pub id: RequestId,
    /// The class.
    pub class: ClassId,
    /// The tenant, if there are any.
    pub tenant: Option<TenantId>,
    /// What the job is about.
    pub affinity_key: Option<AffinityKey>,
    /// Slots that the job takes.
    pub slots: f64,
    /// Memory that the job takes, in units of the memory per slot.
    pub memory: f64,
    /// Time until the client stops waiting.
    pub remaining: Nanos,
    /// A shorter time within which the request must be answered, for example because the process shuts down.
    /// Unlike `remaining` it is no sign that the client has been waiting.
    pub answer_within: Option<Nanos>,
    /// Whether the client has marked the request as a retry.
    pub is_retry: bool,
    /// Whether the request is within its tenant's share, if the caller has decided that.
    pub in_share: Option<bool>,
    /// Expected work of the job, if the client has given a hint.
    pub expected_work: Option<Nanos>,
}

impl Request {
    /// Returns a request for one slot without affinity key, tenant or hint.
    pub fn new(id: RequestId, class: ClassId, remaining: Nanos) -> Self {
        Request { id, class, remaining, slots: 1.0, ..Request::default() }
    }
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The worker returned an error; the job may have run.
    Error,
    /// The worker had no room; the job never ran.
    Full,
    /// No answer in time; the job may have run or still be running.
    Timeout,
    /// No connection; the job never ran.
    NoConnection,
    /// The connection broke; the job may have run.
    Reset,
    /// Cancelled by the dispatcher; the job may have run.
    Cancelled,
    /// Not sent; the job never ran.
    NotSent,
    /// The worker rejected the request as invalid; the job never ran, and no other worker would run it.
    Rejected,
}

impl Outcome {
    /// Whether the outcome proves that the job never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::NotSent | Outcome::Rejected)
    }
}

/// A worker's report of its load; each value is optional.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests that are queued or running.
    pub in_flight: Option<f64>,
    /// Requests that are queued.
    pub queued: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Utilization of the cores.
    pub utilization: Option<f64>,
    /// Recent service time without queueing, in milliseconds.
    pub service_time_ms: Option<f64>,
}

/// The end of an attempt or a probe.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Nanos,
    /// Whether the request has its final answer or its client no longer waits.
    pub request_finished: bool,
    /// The worker's load.
    pub load_report: Option<LoadReport>,
}

/// Progress of a job whose attempt has not ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobProgress {
    /// The job has started.
    Started,
    /// This fraction of the job is done.
    Fraction(f64),
}

impl LoadReport {
    /// Returns the report without values that are negative or not finite.
    pub(crate) fn valid_values(&self) -> LoadReport {
        let valid = |v: Option<f64>| v.filter(|v| v.is_finite() && *v >= 0.0);
        LoadReport {
            in_flight: valid(self.in_flight),
            queued: valid(self.queued),
            free_slots: valid(self.free_slots),
            utilization: valid(self.utilization),
            service_time_ms: valid(self.service_time_ms),
        }
    }
}

/// The recipients of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// One peer.
    One(PeerId),
    /// All peers.
    All,
}

/// Where the learned state of a class comes from when the settings change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassOrigin {
    /// The class with the same number, which is unchanged or kept only for its open requests.
    Kept,
    /// A copy of what was learned of this class. The number is new or was that of a class no longer used.
    LearnedFrom(ClassId),
    /// Nothing has been learned yet. The number is new or was that of a class no longer used.
    New,
}

/// An input of a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// The worker list was received.
    WorkerList {
        /// What the entries stand for.
        kind: ListKind,
        /// The entries.
        entries: Vec<Worker>,
    },
    /// The settings have changed. The origins are in the order of the classes; open requests keep their
    /// class.
    SettingsChanged(Box<Settings>, Vec<ClassOrigin>),
    /// A request for the worker list failed, or the subscription broke.
    ListRequestFailed,
    /// A request was received.
    Request(Request),
    /// The client of a request no longer waits for an answer.
    RequestAbandoned(RequestId),
    /// An attempt of a request has made progress.
    JobProgress(RequestId, u32, JobProgress),
    /// A streamed response has started; the client receives it from this attempt.
    ResponseStarted(RequestId, u32),
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// The result.
        result: AttemptResult,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// The result.
        result: AttemptResult,
    },
    /// A timer set by [`Action::SetTimer`] has expired.
    TimerFired(u64),
    /// A message from a peer was received.
    PeerMessage(PeerId, Vec<u8>),
}

/// An output of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a request are numbered from 0.
    Send {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Timeout of the attempt.
        timeout: Nanos,
    },
    /// Answer the client that the request was refused and that it may safely retry.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Nanos,
    },
    /// Answer the client that the request has failed.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel(RequestId, u32),
    /// Request an [`Event::TimerFired`].
    SetTimer {
        /// Time from now.
        after: Nanos,
        /// Returned with the event.
        token: u64,
    },
    /// Probe a worker.
    Probe(WorkerId),
    /// Close the idle connections to a worker.
    CloseIdleConnections(WorkerId),
    /// Subscribe to changes of the worker list.
    WatchList,
    /// Send a message to peers.
    SendToPeers(Recipient, Vec<u8>),
}
