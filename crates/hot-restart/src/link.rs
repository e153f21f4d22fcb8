//! The link between two processes: messages with attached file descriptors over a Unix socket.

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

/// Messages that can be queued; beyond that the other process counts as dead and the link is closed.
const MAX_QUEUED_MESSAGES: usize = 8192;
const READ_BUFFER_BYTES: usize = 64 << 10;
const MAX_DESCRIPTORS_PER_READ: usize = 64;

/// One side of a link. One task receives and one runs the writer; any task can queue messages.
#[derive(Debug)]
pub struct Link {
    stream: UnixStream,
    outgoing: RefCell<VecDeque<(Vec<u8>, Option<OwnedFd>)>>,
    /// Notified when a message is queued or the link is closed.
    queued: Notify,
    /// Notified when the queue is empty or the link is closed.
    drained: Notify,
    closed: Cell<bool>,
}

/// Received bytes and descriptors that have not been returned as messages yet.
#[derive(Debug, Default)]
pub struct ReceiveBuffer {
    decoder: FrameDecoder,
    descriptors: VecDeque<OwnedFd>,
}

fn invalid_data(error: FrameError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{error:?}"))
}

impl Link {
    /// Creates a link over a connection.
    pub fn new(stream: UnixStream) -> Link {
        Link {
            stream,
            outgoing: RefCell::default(),
            queued: Notify::new(),
            drained: Notify::new(),
            closed: Cell::new(false),
        }
    }

    /// Whether the link is closed or broken.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Closes the link: queued messages are discarded, and [`Link::run_writer`] returns.
    pub fn close(&self) {
        self.closed.set(true);
        self.outgoing.borrow_mut().clear();
        self.queued.notify_one();
        self.drained.notify_waiters();
    }

    /// Queues a message. Closes the link and the descriptor if the message is too long or the queue is full.
    pub fn send(&self, message: &RestartMessage, descriptor: Option<OwnedFd>) {
        if self.is_closed() {
            return;
        }
        match message.encode(descriptor.is_some()) {
            Ok(frame) if self.outgoing.borrow().len() < MAX_QUEUED_MESSAGES => {
                self.outgoing.borrow_mut().push_back((frame, descriptor));
                self.queued.notify_one();
            }
            _ => self.close(),
        }
    }

    /// Waits until the link is closed.
    pub async fn wait_closed(&self) {
        while !self.is_closed() {
            self.drained.notified().await;
        }
    }

    /// Waits until all queued messages are written or the link is closed.
    pub async fn wait_flushed(&self) {
        while !self.is_closed() && !self.outgoing.borrow().is_empty() {
            self.drained.notified().await;
        }
    }

    /// Writes queued messages until the link is closed.
    pub async fn run_writer(&self) {
        while !self.is_closed() {
            let Some((frame, descriptor)) = self.outgoing.borrow_mut().pop_front() else {
                self.drained.notify_waiters();
                self.queued.notified().await;
                continue;
            };
            // A placeholder stays in the queue while the message is written, so that the link does not count as flushed.
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
                let descriptors: Vec<_> = descriptor.iter().map(AsFd::as_fd).collect();
                if !descriptors.is_empty() {
                    control.push(SendAncillaryMessage::ScmRights(&descriptors));
                }
                let parts = [IoSlice::new(&frame[written..])];
                Ok(sendmsg(&self.stream, &parts, &mut control, SendFlags::NOSIGNAL)?)
            });
            match sent {
                // The descriptor is sent with the first byte; this process closes its copy.
                Ok(n) => (written, descriptor) = (written + n, None),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Receives the next message with its descriptor. Returns an error if the link is broken or the bytes are no message.
    /// Cancel safe.
    pub async fn receive(&self, buffer: &mut ReceiveBuffer) -> io::Result<(RestartMessage, Option<OwnedFd>)> {
        loop {
            if let Some((message, has_descriptor)) = buffer.decoder.next_message().map_err(invalid_data)? {
                let descriptor = if has_descriptor { buffer.descriptors.pop_front() } else { None };
                if has_descriptor && descriptor.is_none() {
                    return Err(io::Error::new(
                        io::ErrorKind::InvalidData,
                        "a message arrived without its file descriptor",
                    ));
                }
                return Ok((message, descriptor));
            }
            self.stream.readable().await?;
            let mut chunk = vec![0; READ_BUFFER_BYTES];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_READ))];
            let read = self.stream.try_io(Interest::READABLE, || {
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let mut parts = [IoSliceMut::new(&mut chunk)];
                let read = recvmsg(&self.stream, &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC)?;
                for control_message in control.drain() {
                    if let RecvAncillaryMessage::ScmRights(received) = control_message {
                        buffer.descriptors.extend(received);
                    }
                }
                Ok(read.bytes)
            });
            match read {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => buffer.decoder.push(&chunk[..n]),
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
    async fn descriptors_arrive_with_their_messages_and_closing_one_side_breaks_the_link() {
        let (a, b) = UnixStream::pair().unwrap();
        let (a, b) = (Link::new(a), Link::new(b));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut clients = Vec::new();
        let message = |i: usize| RestartMessage::TargetConnection { host: format!("t{i}"), since: i as u64 };
        // Long messages in between split reads and writes at arbitrary places.
        let long_message = RestartMessage::Refused("x".repeat(1 << 20));
        for i in 0..40 {
            clients.push(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
            let (served, _) = listener.accept().unwrap();
            a.send(&message(i), Some(served.into()));
            if i % 8 == 0 {
                a.send(&long_message, None);
            }
        }
        let reading = async {
            let mut buffer = ReceiveBuffer::default();
            for (i, client) in clients.iter_mut().enumerate() {
                let (received, descriptor) = b.receive(&mut buffer).await.unwrap();
                assert_eq!(received, message(i));
                let mut stream = TcpStream::from(descriptor.unwrap());
                stream.write_all(&[i as u8]).unwrap();
                let mut byte = [0];
                client.read_exact(&mut byte).unwrap();
                assert_eq!(byte[0], i as u8, "the descriptor belongs to another message");
                if i % 8 == 0 {
                    assert_eq!(b.receive(&mut buffer).await.unwrap().0, long_message);
                }
            }
            buffer
        };
        let writing = async {
            tokio::select! { () = a.run_writer() => {}, () = a.wait_flushed() => {} }
        };
        let (mut buffer, ()) = tokio::join!(reading, writing);
        drop(a);
        assert!(b.receive(&mut buffer).await.is_err());
        b.close();
        b.send(&RestartMessage::Bye, None);
        assert!(b.is_closed());
    }
}
