//! Links: each scheduler keeps one to every voter, opened anew when it breaks; a voter accepts them.

use crate::config::VoterAddress;
use crate::lease::{answered, compare};
use crate::voter::voter_hears;
use crate::{Application, Node, increment};
use loomlb_consensus::link_protocol::{self, Channel, GREETING_BYTES, LinkMessage, Nonce, PROTOCOL_VERSION};
use loomlb_sockets::{AcceptRetry, read_some, write_all};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Words that wait for a link; more push out the oldest, which is asked or said again anyway.
pub(crate) const WAITING: usize = 256;
/// Links that a voter holds.
const MAX_INBOUND_LINKS: usize = 4096;
/// A link on which nothing comes for so long is opened anew, and a greeting takes no longer.
const SILENT: Duration = Duration::from_secs(2);
/// Pause before another try to open a link.
const AGAIN: Duration = Duration::from_millis(100);

/// Words on their way to a voter.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) queue: RefCell<VecDeque<LinkMessage>>,
    pub(crate) queued: Notify,
}

/// The numbers that both ends say first.
async fn greet(stream: &TcpStream) -> io::Result<(Nonce, Nonce)> {
    stream.set_nodelay(true)?;
    let mut mine = Nonce::default();
    getrandom::fill(&mut mine).map_err(io::Error::other)?;
    write_all(stream, &link_protocol::greeting(&mine)).await?;
    let mut first = [0; GREETING_BYTES];
    let mut left = &mut first[..];
    while !left.is_empty() {
        if read_some(stream, &mut left).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let theirs = link_protocol::parse_greeting(&first).map_err(|e| io::Error::other(e.to_string()))?;
    Ok((mine, theirs))
}

/// The next word of a link; an error once it is over.
async fn next(from: &OwnedReadHalf, channel: &mut Channel, bytes: &mut Vec<u8>) -> io::Result<LinkMessage> {
    loop {
        if let Some(word) = channel.open(bytes).map_err(|e| io::Error::other(e.to_string()))? {
            return Ok(word);
        }
        let heard = tokio::time::timeout(SILENT, read_some(from.as_ref(), bytes)).await;
        match heard.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            _ => continue,
        }
    }
}

/// Keeps a link to a voter open for as long as the program runs.
pub(crate) async fn link(node: Rc<Node>, application: Rc<dyn Application>, voter: usize) {
    loop {
        let VoterAddress { name, at } = &node.config.voters[voter];
        let opened = tokio::time::timeout(SILENT, async {
            let stream = loomlb_sockets::connect(*at, |_| {}).await?;
            let (mine, theirs) = greet(&stream).await?;
            Ok::<_, io::Error>((stream, link_protocol::derive_channels(&node.config.key, &mine, &theirs)))
        });
        if let Ok(Ok((stream, (to, from)))) = opened.await {
            // What waited for the link that broke is asked anew, or too old to be of use.
            node.outboxes[voter].queue.borrow_mut().clear();
            let (read, write) = stream.into_split();
            node.renew_now.notify_one();
            let ended = tokio::select! {
                ended = hear_voter(&node, &*application, voter, read, from) => ended,
                ended = tell_voter(&node, voter, write, to) => ended,
            };
            if let Err(e) = ended {
                increment(&node.counters.link_errors);
                tracing::debug!("tier: the link to {name} at {at}: {e}");
            }
        }
        tokio::time::sleep(AGAIN).await;
    }
}

async fn hear_voter(
    node: &Node,
    application: &dyn Application,
    voter: usize,
    from: OwnedReadHalf,
    mut channel: Channel,
) -> io::Result<()> {
    let mut bytes = Vec::new();
    loop {
        if let LinkMessage::LeaseResponse { number, granted: yes, newer_state: news, lists } =
            next(&from, &mut channel, &mut bytes).await?
        {
            answered(node, application, voter, number, yes, news.map(|n| *n));
            compare(node, application, &lists);
        }
    }
}

async fn tell_voter(node: &Node, voter: usize, to: OwnedWriteHalf, mut channel: Channel) -> io::Result<()> {
    let hello = LinkMessage::Hello {
        format: PROTOCOL_VERSION,
        name: node.name.clone(),
        process: node.process_id,
        voter: node.voter_id,
    };
    write_all(to.as_ref(), &channel.seal(&hello)).await?;
    loop {
        let word = node.outboxes[voter].queue.borrow_mut().pop_front();
        match word {
            Some(word) => write_all(to.as_ref(), &channel.seal(&word)).await?,
            None => node.outboxes[voter].queued.notified().await,
        }
    }
}

/// Accepts links at a voter for as long as the program runs.
pub(crate) async fn accept(node: Rc<Node>, listener: TcpListener) {
    let mut retry = AcceptRetry::default();
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                retry.wait_after(&e).await;
                continue;
            }
        };
        retry.record_success();
        if node.counters.open_links.get() >= MAX_INBOUND_LINKS {
            drop(stream);
            tokio::time::sleep(AGAIN).await;
            continue;
        }
        let node = Rc::clone(&node);
        spawn_local(async move {
            node.counters.open_links.set(node.counters.open_links.get() + 1);
            if let Err(e) = called(&node, stream).await
                && e.kind() == io::ErrorKind::Other
            {
                increment(&node.counters.link_errors);
                tracing::warn!("tier: {from}: {e}");
            }
            node.counters.open_links.set(node.counters.open_links.get() - 1);
        });
    }
}

/// A link that another scheduler has opened to this voter.
async fn called(node: &Node, stream: TcpStream) -> io::Result<()> {
    let greeted = tokio::time::timeout(SILENT, greet(&stream)).await;
    let (mine, theirs) = greeted.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let (mut from, mut to) = link_protocol::derive_channels(&node.config.key, &theirs, &mine);
    let (read, write) = stream.into_split();
    let mut bytes = Vec::new();
    let (name, process, voter) = match next(&read, &mut from, &mut bytes).await? {
        LinkMessage::Hello { format: PROTOCOL_VERSION, name, process, voter } => (name, process, voter),
        LinkMessage::Hello { format, name, .. } => {
            return Err(io::Error::other(format!(
                "{name} speaks format {format}, this build {PROTOCOL_VERSION}"
            )));
        }
        _ => return Err(io::Error::other("it does not say who it is")),
    };
    let who = (name, process);
    loop {
        let word = next(&read, &mut from, &mut bytes).await?;
        if let Some(reply) = voter_hears(node, &who, voter, word) {
            let written = tokio::time::timeout(SILENT, write_all(write.as_ref(), &to.seal(&reply))).await;
            written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        }
    }
}
