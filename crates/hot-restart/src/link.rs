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
const WAITING: usize = 8192;
/// Bytes read at once.
const PIECE: usize = 64 << 10;
/// Descriptors that may come with one read.
const DESCRIPTORS: usize = 64;

/// One side of a link. One task reads, another writes; words are queued from anywhere.
#[derive(Debug)]
pub struct Link {
    stream: UnixStream,
    out: RefCell<VecDeque<(Vec<u8>, Option<OwnedFd>)>>,
    queued: Notify,
    emptied: Notify,
    over: Cell<bool>,
}

/// What has been read and not been taken as a word yet.
#[derive(Debug, Default)]
pub struct Inbox {
    frames: FrameDecoder,
    descriptors: VecDeque<OwnedFd>,
}

fn faulty(error: FrameError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{error:?}"))
}

impl Link {
    /// A link over a connection.
    pub fn new(stream: UnixStream) -> Link {
        Link {
            stream,
            out: RefCell::default(),
            queued: Notify::new(),
            emptied: Notify::new(),
            over: Cell::new(false),
        }
    }

    /// Whether the link is broken or closed.
    pub fn over(&self) -> bool {
        self.over.get()
    }

    /// Ends the link: nothing more is written, and [`Link::write`] returns.
    pub fn close(&self) {
        self.over.set(true);
        self.out.borrow_mut().clear();
        self.queued.notify_one();
        self.emptied.notify_waiters();
    }

    /// Queues a word. A link that cannot take it is over; the descriptor is closed then.
    pub fn say(&self, word: &RestartMessage, descriptor: Option<OwnedFd>) {
        if self.over() {
            return;
        }
        match word.encode(descriptor.is_some()) {
            Ok(frame) if self.out.borrow().len() < WAITING => {
                self.out.borrow_mut().push_back((frame, descriptor));
                self.queued.notify_one();
            }
            _ => self.close(),
        }
    }

    /// Waits until the link is over.
    pub async fn ended(&self) {
        while !self.over() {
            self.emptied.notified().await;
        }
    }

    /// Waits until all that was queued is written.
    pub async fn flushed(&self) {
        while !self.over() && !self.out.borrow().is_empty() {
            self.emptied.notified().await;
        }
    }

    /// Writes what is queued, until the link is over.
    pub async fn write(&self) {
        while !self.over() {
            let Some((frame, descriptor)) = self.out.borrow_mut().pop_front() else {
                self.emptied.notify_waiters();
                self.queued.notified().await;
                continue;
            };
            // In the queue while it is under way, so that nobody takes the link for flushed.
            self.out.borrow_mut().push_front((Vec::new(), None));
            if self.write_one(&frame, descriptor).await.is_err() {
                return self.close();
            }
            self.out.borrow_mut().pop_front();
        }
    }

    async fn write_one(&self, frame: &[u8], mut descriptor: Option<OwnedFd>) -> io::Result<()> {
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
    pub async fn hear(&self, inbox: &mut Inbox) -> io::Result<(RestartMessage, Option<OwnedFd>)> {
        loop {
            if let Some((word, with)) = inbox.frames.next_message().map_err(faulty)? {
                let descriptor = if with { inbox.descriptors.pop_front() } else { None };
                if with && descriptor.is_none() {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "a descriptor is missing"));
                }
                return Ok((word, descriptor));
            }
            self.stream.readable().await?;
            let mut piece = vec![0; PIECE];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS))];
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
            a.say(&word(i), Some(served.into()));
            if i % 8 == 0 {
                a.say(&long, None);
            }
        }
        let reading = async {
            let mut inbox = Inbox::default();
            for (i, client) in clients.iter_mut().enumerate() {
                let (said, descriptor) = b.hear(&mut inbox).await.unwrap();
                assert_eq!(said, word(i));
                let mut stream = TcpStream::from(descriptor.unwrap());
                stream.write_all(&[i as u8]).unwrap();
                let mut byte = [0];
                client.read_exact(&mut byte).unwrap();
                assert_eq!(byte[0], i as u8, "the descriptor of another word");
                if i % 8 == 0 {
                    assert_eq!(b.hear(&mut inbox).await.unwrap().0, long);
                }
            }
            inbox
        };
        let writing = async {
            tokio::select! { () = a.write() => {}, () = a.flushed() => {} }
        };
        let (mut inbox, ()) = tokio::join!(reading, writing);
        drop(a);
        assert!(b.hear(&mut inbox).await.is_err());
        b.close();
        b.say(&RestartMessage::Bye, None);
        assert!(b.over());
    }
}
