//! Proxies for the datagrams between schedulers. They delay and drop datagrams, and drop all of them in a network
//! partition.

use crate::emulation::Emulation;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// Longest datagram that the platform permits.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The sockets of the proxies.
#[derive(Debug)]
pub(crate) struct PeerProxies {
    /// `[i][j]`: the socket to which scheduler i sends datagrams for scheduler j; `None` for i = j.
    sockets: Vec<Vec<Option<Rc<UdpSocket>>>>,
    /// The addresses at which schedulers receive datagrams of their peers.
    pub(crate) listen_addresses: Vec<SocketAddr>,
}

impl PeerProxies {
    /// Returns the peer addresses for the configuration of a scheduler; its own entry is its listen address.
    pub(crate) fn peer_addresses(&self, i: usize) -> io::Result<Vec<SocketAddr>> {
        let address = |j: usize| match &self.sockets[i][j] {
            Some(socket) => socket.local_addr(),
            None => Ok(self.listen_addresses[j]),
        };
        (0..self.listen_addresses.len()).map(address).collect()
    }
}

pub(crate) async fn open(scheduler_count: usize) -> io::Result<PeerProxies> {
    let (mut sockets, mut listen_addresses) = (Vec::new(), Vec::new());
    for i in 0..scheduler_count {
        let listener = std::net::UdpSocket::bind(SocketAddr::from(([127, 32, i as u8, 251], 0)))?;
        listen_addresses.push(listener.local_addr()?);
        let mut row = Vec::new();
        for j in 0..scheduler_count {
            let address = SocketAddr::from(([127, 32, i as u8, j as u8 + 1], 0));
            row.push(if i == j { None } else { Some(Rc::new(UdpSocket::bind(address).await?)) });
        }
        sockets.push(row);
    }
    Ok(PeerProxies { sockets, listen_addresses })
}

pub(crate) fn start(emulation: &Rc<Emulation>, proxies: PeerProxies) {
    for (i, row) in proxies.sockets.iter().enumerate() {
        for (j, socket) in row.iter().enumerate() {
            let (Some(from_i), Some(to_j)) = (socket.clone(), proxies.sockets[j][i].clone()) else {
                continue;
            };
            let (emulation, destination) = (Rc::clone(emulation), proxies.listen_addresses[j]);
            spawn_local(forward_datagrams(emulation, i, j, from_i, to_j, destination));
        }
    }
}

/// Forwards the datagrams of scheduler i to scheduler j.
async fn forward_datagrams(
    emulation: Rc<Emulation>,
    i: usize,
    j: usize,
    from_i: Rc<UdpSocket>,
    to_j: Rc<UdpSocket>,
    destination: SocketAddr,
) {
    let mut buffer = [0; 2048];
    loop {
        let Ok((length, _)) = from_i.recv_from(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        emulation.counts.borrow_mut().datagrams += 1;
        emulation.counts.borrow_mut().datagrams_too_long += u64::from(length > MAX_DATAGRAM_BYTES);
        let (lost, delay_ms) = {
            let (world, mut random) = (emulation.world.borrow(), emulation.datagram_random.borrow_mut());
            let network = &world.scenario.network;
            (random.chance(network.peer_loss), random.uniform(network.peer_ms))
        };
        if lost || !emulation.world.borrow_mut().peers_reachable(i, j) {
            continue;
        }
        let (datagram, to_j) = (buffer[..length].to_vec(), Rc::clone(&to_j));
        spawn_local(async move {
            tokio::time::sleep(Duration::from_micros((delay_ms * 1e3) as u64)).await;
            let _ = to_j.send_to(&datagram, destination).await;
        });
    }
}
