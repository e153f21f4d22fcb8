//! Links from real schedulers to voters, through here: each byte is counted, and all of a scheduler's can be cut.

use super::host::Counted;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// How often a cut link looks whether it is whole again.
const LOOK: Duration = Duration::from_millis(20);

/// The links of one caller to all voters.
#[derive(Clone, Debug)]
pub struct Links {
    /// Where the caller finds each voter.
    pub at: Vec<SocketAddr>,
    /// What passed.
    pub counted: Arc<Counted>,
    /// What is said either way waits.
    pub cut: Arc<AtomicBool>,
}

/// Opens the links of so many callers.
pub async fn open(callers: usize, voters: Vec<SocketAddr>) -> io::Result<Vec<Links>> {
    let mut all = Vec::new();
    for _ in 0..callers {
        let mut links =
            Links { at: Vec::new(), counted: Arc::new(Counted::new(voters.len())), cut: Arc::default() };
        for (voter, at) in voters.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            links.at.push(listener.local_addr()?);
            spawn_local(proxy(links.clone(), voter, *at, listener));
        }
        all.push(links);
    }
    Ok(all)
}

async fn proxy(links: Links, voter: usize, at: SocketAddr, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(LOOK).await;
            continue;
        };
        let links = links.clone();
        spawn_local(async move {
            passes(&links).await;
            let Ok(onward) = TcpStream::connect(at).await else { return };
            let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
            let ((here_in, here_out), (there_in, there_out)) = (stream.into_split(), onward.into_split());
            tokio::select! {
                () = pump(&links, here_in, there_out, |n| links.counted.said(voter, n)) => {}
                () = pump(&links, there_in, here_out, |n| links.counted.heard(voter, n)) => {}
            }
        });
    }
}

async fn passes(links: &Links) {
    while links.cut.load(Ordering::Relaxed) {
        tokio::time::sleep(LOOK).await;
    }
}

async fn pump(links: &Links, mut read: OwnedReadHalf, mut write: OwnedWriteHalf, count: impl Fn(usize)) {
    let mut bytes = vec![0; 64 << 10];
    loop {
        let Ok(length @ 1..) = read.read(&mut bytes).await else { return };
        passes(links).await;
        count(length);
        if write.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}
