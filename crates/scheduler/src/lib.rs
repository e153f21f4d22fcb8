//! The networked scheduler: sockets, timers and tasks around the decision module.
//!
//! A request passes through these stages: [`intake`] parses it, [`admit`] decides whether to take it, [`route`] asks the
//! decision module for a target, [`send`] forwards it, and [`relay`] handles the target's answers and returns the result.
//! [`book`] holds the table of open flows. Only [`http`], `intake`, `send`, `discovery` and `control` depend on HTTP: a
//! front end for another protocol would pass offers to `admit` and wait for their answers.
//!
//! Everything runs on one thread. Shared state is in cells, and no borrow is held across an await point.

#![forbid(unsafe_code)]

pub mod admit;
pub mod book;
pub mod clock;
pub mod config;
pub mod config_validation;
pub mod control;
pub mod discovery;
pub mod http;
pub mod intake;
pub mod peers;
pub mod quotas;
pub mod receive_memory;
pub mod relay;
pub mod reload;
pub mod route;
pub mod runtime_settings;
pub mod send;
pub mod shutdown;
pub mod tier_application;
pub mod timers;
pub mod upgrade;
pub mod worker_starts;

use config::Config;
use loomlb_control::overrides::WorkerOverrides;
use loomlb_policy::{Dispatcher, Event};
use loomlb_sockets::{OnAddressInUse, OpenRetry};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use timers::TimerEvent;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

/// The state shared by all stages and tasks.
#[derive(Debug)]
pub struct Scheduler {
    /// The configuration that the process started with.
    pub config: Config,
    /// The settings in force.
    settings: RefCell<Rc<runtime_settings::RuntimeSettings>>,
    /// The clock.
    pub clock: clock::Clock,
    /// Open flows and counters.
    pub book: RefCell<book::Book>,
    /// The decision module.
    pub router: route::Router,
    /// Timers.
    pub timers: timers::TimerWheel,
    /// Connections to targets.
    pub pool: send::Pool,
    /// The targets listed by discovery.
    pub target_group: discovery::TargetGroup,
    /// The other schedulers.
    pub peers: peers::Peers,
    /// Operators' orders on workers.
    pub orders: RefCell<WorkerOverrides>,
    /// Connections of clients.
    pub listener: intake::Listener,
    /// Whether the scheduler is in service, draining or shutting down.
    pub shutdown: shutdown::Shutdown,
    /// The predecessor and successor processes during a hot restart.
    pub upgrade: upgrade::Upgrade,
    /// Tenant quotas, if the operator file has them.
    pub quotas: quotas::TenantQuotas,
    /// Consensus with other schedulers on settings and orders, if the operator file has a tier.
    pub tier: loomlb_tier::Tier,
}

impl Scheduler {
    /// The settings in force.
    pub fn settings(&self) -> Rc<runtime_settings::RuntimeSettings> {
        Rc::clone(&self.settings.borrow())
    }
}

/// Runs the scheduler until a signal or a hot restart ends it.
pub fn serve(
    config: Config,
    quota_source: quotas::QuotaSource,
    tier: Option<loomlb_tier::TierConfig>,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(config, quota_source, tier))
}

async fn run(
    config: Config,
    quota_source: quotas::QuotaSource,
    tier: Option<loomlb_tier::TierConfig>,
) -> io::Result<()> {
    // First of all, as a signal without a handler would end the process.
    let (hangup, signals) = (reload::install_sighup_handler()?, shutdown::Signals::new()?);
    if let Some(fault) = &config.rejected_file_error {
        tracing::error!("configuration: {fault}; starting with the last accepted one");
    }
    config.save();
    let with_context =
        |context: &str, error: io::Error| io::Error::new(error.kind(), format!("{context}: {error}"));
    let open_retry = OpenRetry::start();
    let listener = match config.inherited_fd {
        Some(number) => {
            let inherited = loomlb_listen_fd::adopt_listener(number).and_then(TcpListener::from_std);
            inherited.map_err(|error| with_context(&format!("LB_FD: descriptor {number}"), error))?
        }
        None => listen(&open_retry, "listen", config.listen).await?,
    };
    let control_listener = match config.control {
        Some(address) => Some(listen(&open_retry, "control", address).await?),
        None => None,
    };
    let opened = loomlb_tier::open(tier, &config.name, &open_retry).await;
    let (tier, tier_links) = opened.map_err(|error| with_context("tier", error))?;
    let mut predecessor = upgrade::connect_to_predecessor(&config).await;
    let peer_socket = predecessor.as_mut().and_then(upgrade::Predecessor::take_peer_socket);
    let peers = peers::Peers::open(&config, peer_socket, &open_retry).await?;
    let clock = predecessor.as_ref().map(upgrade::Predecessor::clock).unwrap_or_default();
    let settings = Rc::clone(&config.settings);
    // Traffic digests are exchanged only if there are quotas at the start, not if a reload brings the first ones.
    let has_quotas = quota_source.spec.is_some();
    let quotas = quotas::TenantQuotas::new(
        quota_source,
        &settings.latency_objectives(),
        settings.policy.dispatcher_count,
        clock.now(),
    );
    let scheduler = Rc::new(Scheduler {
        quotas: quotas.map_err(io::Error::other)?,
        router: route::Router::new(Dispatcher::new(settings.policy.clone(), config.seed)),
        timers: timers::TimerWheel::new(clock.now()),
        pool: send::Pool::new(config.max_outbound, settings.network.keepalive),
        listener: intake::Listener::new(
            config.max_inbound,
            config.idle_close_threshold,
            config.max_receive_bytes,
        ),
        book: RefCell::default(),
        target_group: discovery::TargetGroup::default(),
        orders: RefCell::default(),
        shutdown: shutdown::Shutdown::new(settings.longest_client_timeout(), settings.is_only_scheduler()),
        upgrade: upgrade::Upgrade::new(&config, predecessor.is_some()),
        settings: RefCell::new(settings),
        clock,
        peers,
        tier,
        config,
    });
    reload::start(&scheduler, hangup);
    reload::retry_saving(&scheduler);
    tracing::info!("{} serves at {}", scheduler.config.name, listener.local_addr()?);
    upgrade::start(&scheduler, predecessor);
    send::sweep_pool(&scheduler);
    spawn_local(timers::run(Rc::clone(&scheduler)));
    spawn_local(discovery::watch(Rc::clone(&scheduler)));
    spawn_local(peers::receive(Rc::clone(&scheduler)));
    if has_quotas {
        spawn_local(peers::send_digests(Rc::clone(&scheduler)));
    }
    spawn_local(intake::accept(Rc::clone(&scheduler), listener));
    spawn_local(shutdown::close_idle(Rc::clone(&scheduler)));
    if let Some(control_listener) = control_listener {
        tracing::info!("control at {}", control_listener.local_addr()?);
        spawn_local(control::accept(Rc::clone(&scheduler), control_listener));
    }
    loomlb_tier::start(&scheduler.tier, &tier_application::application(&scheduler), tier_links);
    shutdown::wait_for_end(&scheduler, signals).await;
    shutdown::log_counters(&scheduler);
    Ok(())
}

/// Opens a listener. Retries while the address is in use, as a process that is shutting down may still have it.
async fn listen(open_retry: &OpenRetry, key: &'static str, address: SocketAddr) -> io::Result<TcpListener> {
    let bind = async || TcpListener::bind(address).await;
    Ok(open_retry.open(key, address, OnAddressInUse::Retry, bind).await?)
}

/// Handles a timer that is due.
pub fn handle_timer(scheduler: &Rc<Scheduler>, event: TimerEvent) {
    match event {
        TimerEvent::Dispatcher(token) => route::handle_event(scheduler, Event::TimerFired(token)),
        TimerEvent::ForwardTimeout(id, attempt) => send::time_out(scheduler, id, attempt),
        TimerEvent::FlowDeadline(id) => relay::deadline_reached(scheduler, id),
        TimerEvent::PoolSweep => send::sweep_pool(scheduler),
    }
}
