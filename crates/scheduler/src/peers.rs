//! Peers: short datagrams between schedulers.

use super::{Scheduler, route};
use crate::config::Config;
use loomlb_decide::{Event, PeerId, Receiver};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// A longer datagram breaks a rule of the platform.
const MAX: usize = 256;

/// Time between two digests of traffic.
const TALK: Duration = Duration::from_millis(250);

/// The socket to the peers, where there are any.
#[derive(Debug, Default)]
pub struct Peers {
    socket: Option<UdpSocket>,
}

impl Peers {
    /// Opens the socket if the configuration names one and the site allows messages.
    pub async fn open(config: &Config) -> io::Result<Peers> {
        match config.peer_listen.filter(|_| config.settings.limits.peers) {
            Some(at) => {
                let socket = UdpSocket::bind(at).await?;
                // The runtime does not know yet that the socket is writable, and would drop the module's
                // first word, by which the schedulers find each other.
                socket.writable().await?;
                Ok(Peers { socket: Some(socket) })
            }
            None => Ok(Peers::default()),
        }
    }

    /// Sends a message, once and without waiting: peers' messages may be lost anyway.
    pub fn tell(&self, s: &Scheduler, to: Receiver, bytes: &[u8]) {
        let Some(socket) = self.socket.as_ref().filter(|_| bytes.len() <= MAX) else { return };
        let (all, me) = (&s.config.peers, s.config.settings.me.0 as usize);
        let others = || all.iter().enumerate().filter(|p| p.0 != me).map(|p| *p.1);
        let receivers: Vec<SocketAddr> = match to {
            Receiver::One(peer) => all.get(peer.0 as usize).copied().into_iter().collect(),
            Receiver::All if others().next().is_none() => Vec::new(),
            Receiver::All => s.config.peers_all.map_or_else(|| others().collect(), |all| vec![all]),
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
    if s.peers.socket.is_none() {
        return;
    }
    loop {
        tokio::time::sleep(TALK).await;
        for word in s.shares.talk(s.clock.now()) {
            s.peers.tell(&s, Receiver::All, &word);
        }
    }
}

/// Takes in peers' datagrams for as long as the program runs; strangers' are dropped.
pub async fn listen(s: Rc<Scheduler>) {
    let Some(socket) = &s.peers.socket else { return };
    let mut buf = [0; MAX + 1];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buf).await else {
            // An earlier datagram found nobody; the socket itself is fine.
            tokio::task::yield_now().await;
            continue;
        };
        let me = s.config.settings.me.0 as usize;
        let peer = s.config.peers.iter().position(|p| *p == from).filter(|p| *p != me && length <= MAX);
        if let Some(peer) = peer {
            s.book.borrow_mut().counters.peers_in += 1;
            if !s.shares.hear(s.clock.now(), peer, &buf[..length]) {
                route::feed(&s, Event::Peer(PeerId(peer as u32), buf[..length].to_vec()));
            }
        }
    }
}
