//! The paths between schedulers: each datagram passes a stand-in of the network, which delays and loses it, and
//! cuts the path in a partition.

use crate::stage::Stage;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// The platform's longest datagram.
const MAX: usize = 256;

/// The sockets between schedulers.
#[derive(Debug)]
pub(crate) struct Links {
    /// `[i][j]`: the address by which scheduler i knows scheduler j; its own is where it listens.
    sockets: Vec<Vec<Option<Rc<UdpSocket>>>>,
    /// Where each scheduler listens for its peers.
    pub(crate) listen: Vec<SocketAddr>,
}

impl Links {
    /// The peers of a scheduler, as its configuration names them.
    pub(crate) fn peers(&self, i: usize) -> io::Result<Vec<SocketAddr>> {
        let at = |j: usize| match &self.sockets[i][j] {
            Some(socket) => socket.local_addr(),
            None => Ok(self.listen[j]),
        };
        (0..self.listen.len()).map(at).collect()
    }
}

pub(crate) async fn open(count: usize) -> io::Result<Links> {
    let (mut sockets, mut listen) = (Vec::new(), Vec::new());
    for i in 0..count {
        let own = std::net::UdpSocket::bind(SocketAddr::from(([127, 32, i as u8, 251], 0)))?;
        listen.push(own.local_addr()?);
        let mut row = Vec::new();
        for j in 0..count {
            let at = SocketAddr::from(([127, 32, i as u8, j as u8 + 1], 0));
            row.push(if i == j { None } else { Some(Rc::new(UdpSocket::bind(at).await?)) });
        }
        sockets.push(row);
    }
    Ok(Links { sockets, listen })
}

pub(crate) fn start(stage: &Rc<Stage>, links: Links) {
    for (i, row) in links.sockets.iter().enumerate() {
        for (j, socket) in row.iter().enumerate() {
            let (Some(from_i), Some(to_j)) = (socket.clone(), links.sockets[j][i].clone()) else { continue };
            let (stage, at) = (Rc::clone(stage), links.listen[j]);
            spawn_local(carry(stage, i, j, from_i, to_j, at));
        }
    }
}

/// Carries what scheduler i sends to scheduler j.
async fn carry(
    stage: Rc<Stage>,
    i: usize,
    j: usize,
    from_i: Rc<UdpSocket>,
    to_j: Rc<UdpSocket>,
    at: SocketAddr,
) {
    let mut buf = [0; 2048];
    loop {
        let Ok((length, _)) = from_i.recv_from(&mut buf).await else {
            tokio::task::yield_now().await;
            continue;
        };
        stage.counts.borrow_mut().datagrams += 1;
        stage.counts.borrow_mut().too_long += u64::from(length > MAX);
        let (lost, after) = {
            let (world, mut delays) = (stage.world.borrow(), stage.delays.borrow_mut());
            let network = &world.scenario.network;
            (delays.chance(network.peer_loss), delays.uniform(network.peer_ms))
        };
        if lost || !stage.world.borrow_mut().peers_reachable(i, j) {
            continue;
        }
        let (bytes, to_j) = (buf[..length].to_vec(), Rc::clone(&to_j));
        spawn_local(async move {
            tokio::time::sleep(Duration::from_micros((after * 1e3) as u64)).await;
            let _ = to_j.send_to(&bytes, at).await;
        });
    }
}
