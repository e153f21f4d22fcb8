//! The real scheduler: sockets around the decision module.
//!
//! A request passes the stages [`intake`] (parse), [`admit`] (may it be taken), [`route`] (ask the module),
//! [`send`] (forward it), [`relay`] (what targets say, and the answer) and [`book`] (the table of it all).
//! Only `intake`, `send`, `discovery` and [`http`] know of HTTP: another protocol feeds offers to `admit` and
//! waits for their answers. Everything runs on one thread, so what is shared is in cells, never borrowed
//! across a wait.

#![forbid(unsafe_code)]

pub mod admit;
pub mod agreed;
pub mod book;
pub mod changes;
pub mod clock;
pub mod config;
pub mod control;
pub mod discovery;
pub mod epoch;
pub mod http;
pub mod intake;
pub mod peers;
pub mod relay;
pub mod reload;
pub mod route;
pub mod send;
pub mod shares;
pub mod shutdown;
pub mod upgrade;
pub mod wheel;
pub mod worker_starts;

use config::Config;
use loomlb_control::orders::Orders;
use loomlb_policy::{Dispatcher, Event};
use loomlb_sockets::{AddressInUse, OpenRetry};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use wheel::Due;

/// All that the stages share.
#[derive(Debug)]
pub struct Scheduler {
    /// What the program was told.
    pub config: Config,
    /// The settings in force.
    epoch: RefCell<Rc<epoch::Epoch>>,
    /// The one clock.
    pub clock: clock::Clock,
    /// Flows and counters.
    pub book: RefCell<book::Book>,
    /// The decision module.
    pub router: route::Router,
    /// Timers.
    pub wheel: wheel::Wheel,
    /// Connections to targets.
    pub pool: send::Pool,
    /// The target group.
    pub group: discovery::Group,
    /// The other schedulers.
    pub peers: peers::Peers,
    /// What staff ordered of workers.
    pub orders: RefCell<Orders>,
    /// Connections of clients.
    pub listener: intake::Listener,
    /// Whether the end has come.
    pub shutdown: shutdown::Shutdown,
    /// The process before this one, and the one after it.
    pub upgrade: upgrade::Upgrade,
    /// Nested quotas, where the operator has them.
    pub shares: shares::Shares,
    /// What the tier has agreed on, where the operator has one.
    pub tier: loomlb_tier::Tier,
}

impl Scheduler {
    /// The settings in force.
    pub fn epoch(&self) -> Rc<epoch::Epoch> {
        Rc::clone(&self.epoch.borrow())
    }
}

/// Runs the scheduler until it is told to end.
pub fn serve(config: Config, quotas: shares::Quotas, tier: Option<loomlb_tier::Spec>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(config, quotas, tier))
}

async fn run(config: Config, quotas: shares::Quotas, tier: Option<loomlb_tier::Spec>) -> io::Result<()> {
    // Before anything that takes time: a signal that nobody has taken over ends the program.
    let (hangup, signals) = (reload::take_over()?, shutdown::Signals::new()?);
    if let Some(fault) = &config.passed_over {
        tracing::error!("configuration: {fault}; starting from the one that ran before");
    }
    config.keep();
    let named = |what: &str, e: io::Error| io::Error::new(e.kind(), format!("{what}: {e}"));
    let opening = OpenRetry::start();
    let listener = match config.inherited {
        Some(number) => {
            let inherited = loomlb_listen_fd::adopt_listener(number).and_then(TcpListener::from_std);
            inherited.map_err(|e| named(&format!("LB_FD: descriptor {number}"), e))?
        }
        None => listen(&opening, "listen", config.listen).await?,
    };
    let calls = match config.control {
        Some(at) => Some(listen(&opening, "control", at).await?),
        None => None,
    };
    let opened = loomlb_tier::open(tier, &config.name, &opening).await;
    let (tier, links) = opened.map_err(|e| named("tier", e))?;
    let mut before = upgrade::predecessor(&config).await;
    let socket = before.as_mut().and_then(upgrade::Before::peers);
    let peers = peers::Peers::open(&config, socket, &opening).await?;
    let clock = before.as_ref().map(upgrade::Before::clock).unwrap_or_default();
    let epoch = Rc::clone(&config.epoch);
    // Off on the platform: without quotas at the start nothing more is said among schedulers.
    let quotas_on = quotas.spec.is_some();
    let shares = shares::Shares::new(quotas, &epoch.aims(), epoch.settings.dispatcher_count, clock.now());
    let s = Rc::new(Scheduler {
        shares: shares.map_err(io::Error::other)?,
        router: route::Router::new(Dispatcher::new(epoch.settings.clone(), config.seed)),
        wheel: wheel::Wheel::new(clock.now()),
        pool: send::Pool::new(config.outbound, epoch.terms.keepalive),
        listener: intake::Listener::new(config.inbound, config.ample),
        book: RefCell::default(),
        group: discovery::Group::default(),
        orders: RefCell::default(),
        shutdown: shutdown::Shutdown::new(epoch.longest(), epoch.settings.dispatcher_count <= 1),
        upgrade: upgrade::Upgrade::new(&config, before.is_some()),
        epoch: RefCell::new(epoch),
        clock,
        peers,
        tier,
        config,
    });
    reload::start(&s, hangup);
    reload::retry_keeping(&s);
    tracing::info!("{} serves at {}", s.config.name, listener.local_addr()?);
    upgrade::start(&s, before);
    send::sweep(&s);
    spawn_local(wheel::turn(Rc::clone(&s)));
    spawn_local(discovery::follow(Rc::clone(&s)));
    spawn_local(peers::listen(Rc::clone(&s)));
    if quotas_on {
        spawn_local(peers::share(Rc::clone(&s)));
    }
    spawn_local(intake::accept(Rc::clone(&s), listener));
    spawn_local(shutdown::close_idle(Rc::clone(&s)));
    if let Some(calls) = calls {
        tracing::info!("control at {}", calls.local_addr()?);
        spawn_local(control::accept(Rc::clone(&s), calls));
    }
    loomlb_tier::start(&s.tier, &agreed::around(&s), links);
    shutdown::wait(&s, signals).await;
    shutdown::report(&s);
    Ok(())
}

/// Opens a listener. Its address may be that of a process which is ending.
async fn listen(opening: &OpenRetry, key: &'static str, address: SocketAddr) -> io::Result<TcpListener> {
    let bind = async || TcpListener::bind(address).await;
    Ok(opening.open(key, address, AddressInUse::Retry, bind).await?)
}

/// A timer is due.
pub fn due(s: &Rc<Scheduler>, due: Due) {
    match due {
        Due::Module(token) => route::feed(s, Event::TimerFired(token)),
        Due::Forward(id, n) => send::time_out(s, id, n),
        Due::Deadline(id) => relay::overdue(s, id),
        Due::Sweep => send::sweep(s),
    }
}
