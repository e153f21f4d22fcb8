//! Peers: short datagrams between schedulers.

use super::{Scheduler, route};
use crate::config::Config;
use loomlb_policy::{Event, PeerId, Recipient};
use loomlb_sockets::{OnAddressInUse, OpenRetry};
use std::cell::OnceCell;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// A longer datagram breaks a rule of the platform.
const MAX: usize = 256;

/// Pause before the socket is looked at again, while another process has it.
const AGAIN: Duration = Duration::from_millis(20);
/// Time between two digests of traffic.
const TALK: Duration = Duration::from_millis(250);

/// The socket to the peers, where there are any.
#[derive(Debug, Default)]
pub struct Peers {
    socket: OnceCell<UdpSocket>,
    /// Where to open it, if another process has it still.
    later: Option<SocketAddr>,
}

impl Peers {
    /// Opens the socket if the configuration names one and the site allows messages, or takes over the one that came
    /// from the process before. Where one runs beside us that has it still, it is opened later.
    pub async fn open(
        config: &Config,
        taken_over: Option<OwnedFd>,
        opening: &OpenRetry,
    ) -> io::Result<Peers> {
        let Some(at) = config.peer_listen.filter(|_| config.epoch.settings.limits.peer_messages) else {
            return Ok(Peers::default());
        };
        // Where the platform holds the listening socket the address is that of the process before, for as long as it runs.
        let in_use = if config.inherited.is_some() { OnAddressInUse::Fail } else { OnAddressInUse::Retry };
        let bind = async || UdpSocket::bind(at).await;
        let socket = match taken_over {
            Some(descriptor) => UdpSocket::from_std(descriptor.into())?,
            None => match opening.open("peer_listen", at, in_use, bind).await {
                Ok(socket) => socket,
                Err(e) if e.source.kind() == io::ErrorKind::AddrInUse && config.inherited.is_some() => {
                    tracing::warn!("peer_listen: {}; waiting for the process that has it", e.source);
                    return Ok(Peers { socket: OnceCell::new(), later: Some(at) });
                }
                Err(e) => return Err(e.into()),
            },
        };
        // The runtime does not know yet that the socket is writable, and would drop the module's first word, by
        // which the schedulers find each other.
        socket.writable().await?;
        Ok(Peers { socket: OnceCell::from(socket), later: None })
    }

    /// A second descriptor of the socket, for the process that takes over.
    pub fn descriptor(&self) -> Option<OwnedFd> {
        self.socket.get()?.as_fd().try_clone_to_owned().ok()
    }

    /// Sends a message, once and without waiting: peers' messages may be lost anyway.
    pub fn tell(&self, s: &Scheduler, to: Recipient, bytes: &[u8]) {
        // Of two processes the one that accepts speaks for both: peers know the scheduler, not its processes.
        let speaks = bytes.len() <= MAX && s.upgrade.accepts();
        let Some(socket) = self.socket.get().filter(|_| speaks) else { return };
        let (all, me) = (&s.config.peers, s.epoch().settings.own_id.0 as usize);
        let others = || all.iter().enumerate().filter(|p| p.0 != me).map(|p| *p.1);
        let receivers: Vec<SocketAddr> = match to {
            Recipient::One(peer) if peer.0 as usize == me => Vec::new(),
            Recipient::One(peer) => all.get(peer.0 as usize).copied().into_iter().collect(),
            Recipient::All if others().next().is_none() => Vec::new(),
            Recipient::All => s.config.peers_all.map_or_else(|| others().collect(), |all| vec![all]),
        };
        for receiver in receivers {
            if socket.try_send_to(bytes, receiver).is_ok() {
                s.book.borrow_mut().counters.peers_out += 1;
            }
        }
    }
}

/// Tells peers of the traffic here, for as long as the program runs and where the operator has quotas.
pub async fn share(s: Rc<Scheduler>) {
    loop {
        tokio::time::sleep(TALK).await;
        for word in s.quotas.traffic_digests(s.clock.now()) {
            s.peers.tell(&s, Recipient::All, &word);
        }
    }
}

/// Takes in peers' datagrams for as long as the program runs; strangers' are dropped.
pub async fn listen(s: Rc<Scheduler>) {
    while let Some(at) = s.peers.later.filter(|_| s.peers.socket.get().is_none()) {
        if let Ok(socket) = UdpSocket::bind(at).await {
            let _ = s.peers.socket.set(socket);
        } else {
            tokio::time::sleep(AGAIN).await;
        }
    }
    let Some(socket) = s.peers.socket.get() else { return };
    let mut buf = [0; MAX + 1];
    loop {
        let _ = socket.readable().await;
        // Of two processes that share the socket one hears.
        if !s.upgrade.accepts() {
            tokio::time::sleep(AGAIN).await;
            continue;
        }
        let Ok((length, from)) = socket.try_recv_from(&mut buf) else {
            // An earlier datagram found nobody; the socket itself is fine.
            tokio::task::yield_now().await;
            continue;
        };
        let me = s.epoch().settings.own_id.0 as usize;
        let peer = s.config.peers.iter().position(|p| *p == from).filter(|p| *p != me && length <= MAX);
        if let Some(peer) = peer {
            s.book.borrow_mut().counters.peers_in += 1;
            if !s.quotas.handle_digest(s.clock.now(), peer, &buf[..length]) {
                route::handle_event(&s, Event::PeerMessage(PeerId(peer as u32), buf[..length].to_vec()));
            }
        }
    }
}
