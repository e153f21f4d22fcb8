//! Peers: datagrams between schedulers.

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

/// The platform's limit for datagrams between schedulers, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;

/// Delay between attempts while another process of this scheduler owns the socket.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval between digests of tenants' traffic.
const DIGEST_INTERVAL: Duration = Duration::from_millis(250);

/// The socket for peers' datagrams, if there are peers.
#[derive(Debug, Default)]
pub struct Peers {
    socket: OnceCell<UdpSocket>,
    /// The address to bind later, if another process has it.
    deferred_address: Option<SocketAddr>,
}

impl Peers {
    /// Opens the socket if the configuration has an address for it and the settings allow messages, or uses
    /// the one received from the predecessor. If a process of this scheduler still has the address, it is
    /// bound later.
    pub async fn open(config: &Config, received: Option<OwnedFd>, opening: &OpenRetry) -> io::Result<Peers> {
        let Some(address) = config.peer_listen.filter(|_| config.settings.policy.limits.peer_messages) else {
            return Ok(Peers::default());
        };
        // With an inherited listening socket the address belongs to the predecessor for as long as that runs.
        let in_use = if config.inherited_fd.is_some() { OnAddressInUse::Fail } else { OnAddressInUse::Retry };
        let bind = async || UdpSocket::bind(address).await;
        let socket = match received {
            Some(descriptor) => UdpSocket::from_std(descriptor.into())?,
            None => match opening.open("peer_listen", address, in_use, bind).await {
                Ok(socket) => socket,
                Err(e) if e.source.kind() == io::ErrorKind::AddrInUse && config.inherited_fd.is_some() => {
                    tracing::warn!("peer_listen: {}; waiting for the process that has the address", e.source);
                    return Ok(Peers { socket: OnceCell::new(), deferred_address: Some(address) });
                }
                Err(e) => return Err(e.into()),
            },
        };
        // The runtime must know that the socket is writable, or it would drop the module's first message, by
        // which schedulers find each other.
        socket.writable().await?;
        Ok(Peers { socket: OnceCell::from(socket), deferred_address: None })
    }

    /// Returns a duplicate of the socket's descriptor, for a successor.
    pub fn descriptor(&self) -> Option<OwnedFd> {
        self.socket.get()?.as_fd().try_clone_to_owned().ok()
    }

    /// Sends a message once and without waiting; messages between peers may be lost.
    pub fn send(&self, scheduler: &Scheduler, to: Recipient, bytes: &[u8]) {
        // Only the process that accepts connections sends: peers know the scheduler, not its processes.
        let may_send = bytes.len() <= MAX_DATAGRAM_BYTES && scheduler.upgrade.accepts();
        let Some(socket) = self.socket.get().filter(|_| may_send) else { return };
        let (addresses, own_id) = (&scheduler.config.peers, scheduler.settings().policy.own_id.0 as usize);
        let other_peers = || addresses.iter().enumerate().filter(|p| p.0 != own_id).map(|p| *p.1);
        let receivers: Vec<SocketAddr> = match to {
            Recipient::One(peer) if peer.0 as usize == own_id => Vec::new(),
            Recipient::One(peer) => addresses.get(peer.0 as usize).copied().into_iter().collect(),
            Recipient::All if other_peers().next().is_none() => Vec::new(),
            Recipient::All => {
                scheduler.config.peers_all.map_or_else(|| other_peers().collect(), |address| vec![address])
            }
        };
        for receiver in receivers {
            if socket.try_send_to(bytes, receiver).is_ok() {
                scheduler.book.borrow_mut().counters.peers_out += 1;
            }
        }
    }
}

/// Sends digests of this scheduler's traffic for as long as the program runs. Started only with quotas.
pub async fn send_digests(scheduler: Rc<Scheduler>) {
    loop {
        tokio::time::sleep(DIGEST_INTERVAL).await;
        for digest in scheduler.quotas.traffic_digests(scheduler.clock.now()) {
            scheduler.peers.send(&scheduler, Recipient::All, &digest);
        }
    }
}

/// Receives peers' datagrams for as long as the program runs. Datagrams from unknown addresses are dropped.
pub async fn receive(scheduler: Rc<Scheduler>) {
    while let Some(address) =
        scheduler.peers.deferred_address.filter(|_| scheduler.peers.socket.get().is_none())
    {
        if let Ok(socket) = UdpSocket::bind(address).await {
            let _ = scheduler.peers.socket.set(socket);
        } else {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
    let Some(socket) = scheduler.peers.socket.get() else { return };
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let _ = socket.readable().await;
        // Only the process that accepts connections receives.
        if !scheduler.upgrade.accepts() {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        let Ok((length, from)) = socket.try_recv_from(&mut buffer) else {
            // An error here refers to an earlier datagram that could not be delivered; the socket remains
            // usable.
            tokio::task::yield_now().await;
            continue;
        };
        let own_id = scheduler.settings().policy.own_id.0 as usize;
        let peer = scheduler
            .config
            .peers
            .iter()
            .position(|p| *p == from)
            .filter(|p| *p != own_id && length <= MAX_DATAGRAM_BYTES);
        if let Some(peer) = peer {
            scheduler.book.borrow_mut().counters.peers_in += 1;
            if !scheduler.quotas.handle_digest(scheduler.clock.now(), peer, &buffer[..length]) {
                route::handle_event(
                    &scheduler,
                    Event::PeerMessage(PeerId(peer as u32), buffer[..length].to_vec()),
                );
            }
        }
    }
}
