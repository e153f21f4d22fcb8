//! The test's end of the link between two processes of a hot restart, so that a test can act as either of them.

use super::{Platform, TIMEOUT, wait_until};
use loomlb_hot_restart::message::{
    ForwardedRequest, FrameDecoder, OpenRequest, PROTOCOL_VERSION, RestartMessage,
};
use serde_json::Value;
use std::io::{Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::time::Instant;

/// A connection to another process of the scheduler.
pub struct RestartConnection {
    stream: UnixStream,
    frames: FrameDecoder,
}

impl RestartConnection {
    pub fn new(stream: UnixStream) -> RestartConnection {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        RestartConnection { stream, frames: FrameDecoder::default() }
    }
    pub fn send(&mut self, message: &RestartMessage) {
        self.stream.write_all(&message.encode(false).unwrap()).unwrap();
    }
    pub fn receive(&mut self) -> RestartMessage {
        loop {
            if let Some((message, _)) = self.frames.next_message().unwrap() {
                return message;
            }
            let mut buffer = [0; 4096];
            let length = self.stream.read(&mut buffer).unwrap();
            assert!(length > 0, "the other process closed the connection");
            self.frames.push(&buffer[..length]);
        }
    }
    /// Receives messages until one is what the test waits for, and returns what `select` makes of it. Panics if none is in
    /// time; reports of resources arrive all the while.
    pub fn receive_until<T>(&mut self, what: &str, select: impl Fn(RestartMessage) -> Option<T>) -> T {
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            if let Some(selected) = select(self.receive()) {
                return selected;
            }
        }
        panic!("{what}: not within {TIMEOUT:?}");
    }
    /// Receives this message, skipping others.
    pub fn expect(&mut self, expected: &RestartMessage) {
        self.receive_until("a message", |message| (message == *expected).then_some(()));
    }
    /// Receives the next request of the other process and returns it with its number.
    pub fn receive_request(&mut self) -> (u64, ForwardedRequest) {
        self.receive_until("a request", |message| match message {
            RestartMessage::Request(number, request) => Some((number, request)),
            _ => None,
        })
    }
    /// Receives the next list of open requests.
    pub fn receive_list(&mut self) -> Vec<OpenRequest> {
        self.receive_until("a list of open requests", |message| match message {
            RestartMessage::OpenRequests(list) => Some(list),
            _ => None,
        })
    }
    /// Connects to the running process, and returns the connection with its snapshot. As a successor of an earlier build
    /// the test does not share ids.
    pub fn greet(platform: &Platform, shares_ids: bool) -> (RestartConnection, Value) {
        let mut connection = RestartConnection::new(UnixStream::connect(platform.restart_socket()).unwrap());
        connection.send(&RestartMessage::Hello { version: PROTOCOL_VERSION, shares_ids });
        match connection.receive() {
            RestartMessage::Snapshot(value) => (connection, value),
            other => panic!("{other:?}"),
        }
    }
    /// Takes over from the running process as a successor that shares ids.
    pub fn take_over(platform: &Platform) -> RestartConnection {
        let (mut connection, _) = RestartConnection::greet(platform, true);
        connection.send(&RestartMessage::Ready);
        connection.expect(&RestartMessage::Committed);
        connection
    }
    /// Waits for a successor, sends it this snapshot and hands over to it.
    pub fn hand_over(listener: &UnixListener, snapshot: Value) -> RestartConnection {
        let mut connection = RestartConnection::new(listener.accept().unwrap().0);
        assert!(matches!(connection.receive(), RestartMessage::Hello { .. }));
        connection.send(&RestartMessage::Snapshot(snapshot));
        connection.expect(&RestartMessage::Ready);
        connection.send(&RestartMessage::Committed);
        connection
    }
}

/// Takes the place of the running process at the platform's socket for hot restarts, once it has ended.
pub fn listen_in_place(platform: &Platform) -> UnixListener {
    wait_until("the socket of the process before", || platform.restart_socket().exists());
    std::fs::remove_file(platform.restart_socket()).unwrap();
    UnixListener::bind(platform.restart_socket()).unwrap()
}

/// A request that a process has open.
pub fn open_request(id: &str, deadline: u64, at_most_once: bool) -> OpenRequest {
    OpenRequest { id: id.into(), deadline, at_most_once }
}
