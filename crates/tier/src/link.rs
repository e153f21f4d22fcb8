//! Links: each scheduler keeps one link to every voter and reconnects when it breaks; voters accept links.

use crate::config::VoterAddress;
use crate::lease::{handle_lease_response, handle_lists};
use crate::voter::handle_message;
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

/// Messages queued for a voter. Further ones drop the oldest, which is sent again anyway.
pub(crate) const MAX_QUEUED_MESSAGES: usize = 256;
/// Links that a voter accepts at the same time.
const MAX_INBOUND_LINKS: usize = 4096;
/// A link on which nothing is received for this long is closed. Also the time limit of connecting and greeting.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the next attempt to connect, and before the next accept at the limit of links.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Messages to be sent to a voter.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) queue: RefCell<VecDeque<LinkMessage>>,
    pub(crate) queued: Notify,
}

/// Exchanges greetings. Returns the local and the remote nonce.
async fn exchange_nonces(stream: &TcpStream) -> io::Result<(Nonce, Nonce)> {
    stream.set_nodelay(true)?;
    let mut local_nonce = Nonce::default();
    getrandom::fill(&mut local_nonce).map_err(io::Error::other)?;
    write_all(stream, &link_protocol::greeting(&local_nonce)).await?;
    let mut greeting = [0; GREETING_BYTES];
    let mut unread = &mut greeting[..];
    while !unread.is_empty() {
        if read_some(stream, &mut unread).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let remote_nonce =
        link_protocol::parse_greeting(&greeting).map_err(|e| io::Error::other(e.to_string()))?;
    Ok((local_nonce, remote_nonce))
}

/// Receives the next message. Returns an error if the link is closed, broken or idle for [`IDLE_TIMEOUT`].
async fn receive(
    reader: &OwnedReadHalf,
    channel: &mut Channel,
    buffer: &mut Vec<u8>,
) -> io::Result<LinkMessage> {
    loop {
        if let Some(message) = channel.open(buffer).map_err(|e| io::Error::other(e.to_string()))? {
            return Ok(message);
        }
        let read = tokio::time::timeout(IDLE_TIMEOUT, read_some(reader.as_ref(), buffer)).await;
        match read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            _ => continue,
        }
    }
}

/// Keeps a link to a voter open until the program ends.
pub(crate) async fn maintain_link(node: Rc<Node>, application: Rc<dyn Application>, voter: usize) {
    loop {
        let VoterAddress { name, address } = &node.config.voters[voter];
        let connecting = tokio::time::timeout(IDLE_TIMEOUT, async {
            let stream = loomlb_sockets::connect(*address, |_| {}).await?;
            let (local_nonce, remote_nonce) = exchange_nonces(&stream).await?;
            Ok::<_, io::Error>((
                stream,
                link_protocol::derive_channels(&node.config.key, &local_nonce, &remote_nonce),
            ))
        });
        if let Ok(Ok((stream, (send_channel, receive_channel)))) = connecting.await {
            // Messages queued for the previous link are outdated or will be sent again.
            node.outboxes[voter].queue.borrow_mut().clear();
            let (reader, writer) = stream.into_split();
            node.renew_now.notify_one();
            let ended = tokio::select! {
                ended = receive_responses(&node, &*application, voter, reader, receive_channel) => ended,
                ended = send_queued_messages(&node, voter, writer, send_channel) => ended,
            };
            if let Err(e) = ended {
                increment(&node.counters.link_errors);
                tracing::debug!(voter = %name, address = %address, error = %e, "tier: link to a voter lost, reconnecting");
            }
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Handles the responses of a voter.
async fn receive_responses(
    node: &Node,
    application: &dyn Application,
    voter: usize,
    reader: OwnedReadHalf,
    mut channel: Channel,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    loop {
        if let LinkMessage::LeaseResponse { number, granted, newer_state, lists } =
            receive(&reader, &mut channel, &mut buffer).await?
        {
            handle_lease_response(node, application, voter, number, granted, newer_state.map(|state| *state));
            handle_lists(node, application, &lists);
        }
    }
}

/// Sends the hello and then the messages queued for a voter.
async fn send_queued_messages(
    node: &Node,
    voter: usize,
    writer: OwnedWriteHalf,
    mut channel: Channel,
) -> io::Result<()> {
    let hello = LinkMessage::Hello {
        format: PROTOCOL_VERSION,
        name: node.name.clone(),
        process: node.process_id,
        voter: node.voter_id,
    };
    write_all(writer.as_ref(), &channel.seal(&hello)).await?;
    loop {
        let message = node.outboxes[voter].queue.borrow_mut().pop_front();
        match message {
            Some(message) => write_all(writer.as_ref(), &channel.seal(&message)).await?,
            None => node.outboxes[voter].queued.notified().await,
        }
    }
}

/// Accepts links at a voter until the program ends.
pub(crate) async fn accept_links(node: Rc<Node>, listener: TcpListener) {
    let mut retry = AcceptRetry::default();
    loop {
        let (stream, remote) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                retry.wait_after(&e).await;
                continue;
            }
        };
        retry.record_success();
        if node.counters.open_links.get() >= MAX_INBOUND_LINKS {
            drop(stream);
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        }
        let node = Rc::clone(&node);
        spawn_local(async move {
            node.counters.open_links.set(node.counters.open_links.get() + 1);
            if let Err(e) = serve_link(&node, stream).await
                && e.kind() == io::ErrorKind::Other
            {
                increment(&node.counters.link_errors);
                tracing::warn!(remote = %remote, error = %e, "tier: link from another scheduler closed");
            }
            node.counters.open_links.set(node.counters.open_links.get() - 1);
        });
    }
}

/// Serves a link that another scheduler has opened to this voter.
async fn serve_link(node: &Node, stream: TcpStream) -> io::Result<()> {
    let exchanged = tokio::time::timeout(IDLE_TIMEOUT, exchange_nonces(&stream)).await;
    let (local_nonce, remote_nonce) = exchanged.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let (mut receive_channel, mut send_channel) =
        link_protocol::derive_channels(&node.config.key, &remote_nonce, &local_nonce);
    let (reader, writer) = stream.into_split();
    let mut buffer = Vec::new();
    let (name, process_id, voter_id) = match receive(&reader, &mut receive_channel, &mut buffer).await? {
        LinkMessage::Hello { format: PROTOCOL_VERSION, name, process, voter } => (name, process, voter),
        LinkMessage::Hello { format, name, .. } => {
            return Err(io::Error::other(format!(
                "{name} uses format {format} of the tier link, this build uses format {PROTOCOL_VERSION}; run the same build at both"
            )));
        }
        _ => return Err(io::Error::other("the first message is not a hello")),
    };
    let sender = (name, process_id);
    loop {
        let message = receive(&reader, &mut receive_channel, &mut buffer).await?;
        if let Some(reply) = handle_message(node, &sender, voter_id, message) {
            let written =
                tokio::time::timeout(IDLE_TIMEOUT, write_all(writer.as_ref(), &send_channel.seal(&reply)))
                    .await;
            written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        }
    }
}
