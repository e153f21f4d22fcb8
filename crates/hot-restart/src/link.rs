//! The link: words, and descriptors with them, over a Unix socket.

use super::message::{FrameDecoder, FrameError, RestartMessage};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::sync::Notify;

/// Words that may wait to be written: a partner that reads nothing is as good as gone.
const MAX_QUEUED_MESSAGES: usize = 8192;
/// Bytes read at once.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Descriptors that may come with one read.
const MAX_DESCRIPTORS_PER_READ: usize = 64;

/// One side of a link. One task reads, another writes; words are queued from anywhere.
#[derive(Debug)]
pub struct Link {
    stream: UnixStream,
    outgoing: RefCell<VecDeque<(Vec<u8>, Option<OwnedFd>)>>,
    message_queued: Notify,
    progress: Notify,
    closed: Cell<bool>,
}

/// What has been read and not been taken as a word yet.
#[derive(Debug, Default)]
pub struct ReceiveBuffer {
    frames: FrameDecoder,
    descriptors: VecDeque<OwnedFd>,
}

fn invalid_data(error: FrameError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{error:?}"))
}

impl Link {
    /// A link over a connection.
    pub fn new(stream: UnixStream) -> Link {
        Link {
            stream,
            outgoing: RefCell::default(),
            message_queued: Notify::new(),
            progress: Notify::new(),
            closed: Cell::new(false),
        }
    }

    /// Whether the link is broken or closed.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Ends the link: nothing more is written, and [`Link::run_writer`] returns.
    pub fn close(&self) {
        self.closed.set(true);
        self.outgoing.borrow_mut().clear();
        self.message_queued.notify_one();
        self.progress.notify_waiters();
    }

    /// Queues a word. A link that cannot take it is over; the descriptor is closed then.
    pub fn send(&self, word: &RestartMessage, descriptor: Option<OwnedFd>) {
        if self.is_closed() {
            return;
        }
        match word.encode(descriptor.is_some()) {
            Ok(frame) if self.outgoing.borrow().len() < MAX_QUEUED_MESSAGES => {
                self.outgoing.borrow_mut().push_back((frame, descriptor));
                self.message_queued.notify_one();
            }
            _ => self.close(),
        }
    }

    /// Waits until the link is over.
    pub async fn wait_closed(&self) {
        while !self.is_closed() {
            self.progress.notified().await;
        }
    }

    /// Waits until all that was queued is written.
    pub async fn wait_flushed(&self) {
        while !self.is_closed() && !self.outgoing.borrow().is_empty() {
            self.progress.notified().await;
        }
    }

    /// Writes what is queued, until the link is over.
    pub async fn run_writer(&self) {
        while !self.is_closed() {
            let Some((frame, descriptor)) = self.outgoing.borrow_mut().pop_front() else {
                self.progress.notify_waiters();
                self.message_queued.notified().await;
                continue;
            };
            // In the queue while it is under way, so that nobody takes the link for flushed.
            self.outgoing.borrow_mut().push_front((Vec::new(), None));
            if self.write_frame(&frame, descriptor).await.is_err() {
                return self.close();
            }
            self.outgoing.borrow_mut().pop_front();
        }
    }

    async fn write_frame(&self, frame: &[u8], mut descriptor: Option<OwnedFd>) -> io::Result<()> {
        let mut written = 0;
        while written < frame.len() {
            self.stream.writable().await?;
            let sent = self.stream.try_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                let with: Vec<_> = descriptor.iter().map(AsFd::as_fd).collect();
                if !with.is_empty() {
                    control.push(SendAncillaryMessage::ScmRights(&with));
                }
                let parts = [IoSlice::new(&frame[written..])];
                Ok(sendmsg(&self.stream, &parts, &mut control, SendFlags::NOSIGNAL)?)
            });
            match sent {
                // With the first byte the descriptor has gone, and ours is closed.
                Ok(n) => (written, descriptor) = (written + n, None),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// The next word, with its descriptor; an error once the link is broken or what comes is no word. Loses nothing when
    /// dropped half-way.
    pub async fn receive(&self, inbox: &mut ReceiveBuffer) -> io::Result<(RestartMessage, Option<OwnedFd>)> {
        loop {
            if let Some((word, with)) = inbox.frames.next_message().map_err(invalid_data)? {
                let descriptor = if with { inbox.descriptors.pop_front() } else { None };
                if with && descriptor.is_none() {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "a descriptor is missing"));
                }
                return Ok((word, descriptor));
            }
            self.stream.readable().await?;
            let mut piece = vec![0; READ_BUFFER_BYTES];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_READ))];
            let read = self.stream.try_io(Interest::READABLE, || {
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let mut parts = [IoSliceMut::new(&mut piece)];
                let read = recvmsg(&self.stream, &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC)?;
                for message in control.drain() {
                    if let RecvAncillaryMessage::ScmRights(came) = message {
                        inbox.descriptors.extend(came);
                    }
                }
                Ok(read.bytes)
            });
            match read {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => inbox.frames.push(&piece[..n]),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                Err(e) => return Err(e),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};

    #[tokio::test]
    async fn descriptors_arrive_with_their_words_and_a_closed_side_ends_the_link() {
        let (a, b) = UnixStream::pair().unwrap();
        let (a, b) = (Link::new(a), Link::new(b));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut clients = Vec::new();
        let word = |i: usize| RestartMessage::TargetConnection { host: format!("t{i}"), since: i as u64 };
        // A long word between them, so that writes and reads are cut anywhere.
        let long = RestartMessage::Refused("x".repeat(1 << 20));
        for i in 0..40 {
            clients.push(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
            let (served, _) = listener.accept().unwrap();
            a.send(&word(i), Some(served.into()));
            if i % 8 == 0 {
                a.send(&long, None);
            }
        }
        let reading = async {
            let mut inbox = ReceiveBuffer::default();
            for (i, client) in clients.iter_mut().enumerate() {
                let (said, descriptor) = b.receive(&mut inbox).await.unwrap();
                assert_eq!(said, word(i));
                let mut stream = TcpStream::from(descriptor.unwrap());
                stream.write_all(&[i as u8]).unwrap();
                let mut byte = [0];
                client.read_exact(&mut byte).unwrap();
                assert_eq!(byte[0], i as u8, "the descriptor of another word");
                if i % 8 == 0 {
                    assert_eq!(b.receive(&mut inbox).await.unwrap().0, long);
                }
            }
            inbox
        };
        let writing = async {
            tokio::select! { () = a.run_writer() => {}, () = a.wait_flushed() => {} }
        };
        let (mut inbox, ()) = tokio::join!(reading, writing);
        drop(a);
        assert!(b.receive(&mut inbox).await.is_err());
        b.close();
        b.send(&RestartMessage::Bye, None);
        assert!(b.is_closed());
    }
}
