//! HTTP/1.1 framing: reads messages from a connection and encodes responses.

use super::receive_memory::{ReceiveReservation, UNCOUNTED_BYTES};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use loomlb_sockets::is_retryable;
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Maximum size of a message head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a body, unless [`Connection::with_max_body`] sets another one.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 64;
/// Space that the input buffer gains when it is full.
const BUFFER_BYTES: usize = 4 * 1024;
/// First size of the buffer of a longer body. It doubles as input arrives, so that a length that is announced alone takes
/// no memory.
const FIRST_BODY_BYTES: usize = 1024;
/// Input kept from a client that continues to send while its last request is unanswered. Beyond [`UNCOUNTED_BYTES`] it is
/// kept only while there is memory for it.
const MAX_PIPELINED_BYTES: usize = 128 * 1024;
/// Input received without waiting before other tasks run.
const RECEIVE_BATCH_BYTES: usize = 256 * 1024;
/// Input received at once before a client that goes on sending counts as connected. More than the buffers of a connection
/// in the kernel hold.
const MAX_RECEIVE_AHEAD_BYTES: usize = 16 * 1024 * 1024;
/// Part of a response whose receipt shows that the peer is active.
const WRITE_PART_BYTES: usize = 4 * 1024;
/// Input received up to this much later counts as received with that before it.
const ARRIVAL_RESOLUTION: Duration = Duration::from_millis(10);
/// Ends the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";
/// Interval between checks whether a connection with more input than that is closed. A client that has gone must be
/// noticed within 0.1 s.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(15);
/// Time limit of a lingering close.
const LINGER_TIMEOUT: Duration = Duration::from_secs(3);
/// A lingering close ends early when no input arrives for this long.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a message could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// The peer closed the connection between messages.
    Closed,
    /// The connection broke within a message.
    Broken,
    /// The input is not valid HTTP/1.1.
    Malformed,
    /// The head exceeds [`MAX_HEAD_BYTES`] or has too many headers.
    HeadTooLarge,
    /// The body exceeds the limit of the connection.
    BodyTooLarge,
}

impl From<io::Error> for ReadError {
    fn from(_: io::Error) -> Self {
        ReadError::Broken
    }
}

/// The kind of message to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A request from a client.
    Request,
    /// A response from a server.
    Response,
}

/// A complete message.
#[derive(Debug, Default)]
pub struct Message {
    /// The method of a request.
    pub method: Bytes,
    /// The path of a request, with its query.
    pub path: Bytes,
    /// The status of a response.
    pub status: u16,
    headers: Vec<(Bytes, Bytes)>,
    /// The body without its framing.
    pub body: Bytes,
    /// Whether the connection may carry another message after this one.
    pub keep_alive: bool,
    /// When its last byte was received, if it was read completely.
    pub received_at: Option<Instant>,
}

impl Message {
    /// The value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&Bytes> {
        self.headers
            .iter()
            .find(|header| header.0.eq_ignore_ascii_case(name.as_bytes()))
            .map(|header| &header.1)
    }

    /// The value of the first header with this name, trimmed; `None` if it is not UTF-8.
    pub fn header_text(&self, name: &str) -> Option<&str> {
        self.header(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// Whether more than one header has this name.
    pub fn has_repeated_header(&self, name: &str) -> bool {
        self.headers.iter().filter(|header| header.0.eq_ignore_ascii_case(name.as_bytes())).count() > 1
    }

    /// Whether any header with this name lists this token, as in `Connection: close`.
    fn header_lists_token(&self, name: &str, token: &str) -> bool {
        let mut values = self.headers.iter().filter(|header| header.0.eq_ignore_ascii_case(name.as_bytes()));
        values.any(|header| {
            header
                .1
                .split(|byte| *byte == b',')
                .any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }
}

enum BodyFraming {
    Length(usize),
    Chunked,
    UntilClose,
}

/// Parses the head at the start of `buffer` and removes it from there; `None` if it is incomplete.
fn take_head(buffer: &mut BytesMut, kind: MessageKind) -> Result<Option<Message>, ReadError> {
    let mut header_storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let span_of = |part: &[u8]| (part.as_ptr() as usize - buffer.as_ptr() as usize, part.len());
    let (mut header_spans, mut message) = (Vec::new(), Message::default());
    let (parsed, version, start_line_spans) = match kind {
        MessageKind::Request => {
            let mut head = httparse::Request::new(&mut header_storage);
            let parsed = head.parse(buffer);
            if let Ok(httparse::Status::Complete(_)) = parsed {
                header_spans.extend(
                    head.headers
                        .iter()
                        .map(|header| (span_of(header.name.as_bytes()), span_of(header.value))),
                );
            }
            let start_line = head
                .method
                .zip(head.path)
                .map(|(method, path)| (span_of(method.as_bytes()), span_of(path.as_bytes())));
            (parsed, head.version, start_line)
        }
        MessageKind::Response => {
            let mut head = httparse::Response::new(&mut header_storage);
            let parsed = head.parse(buffer);
            if let Ok(httparse::Status::Complete(_)) = parsed {
                header_spans.extend(
                    head.headers
                        .iter()
                        .map(|header| (span_of(header.name.as_bytes()), span_of(header.value))),
                );
                message.status = head.code.unwrap_or(0);
            }
            (parsed, head.version, None)
        }
    };
    let length = match parsed {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(ReadError::HeadTooLarge),
        Err(_) => return Err(ReadError::Malformed),
    };
    let head = buffer.split_to(length).freeze();
    let slice = |(start, length): (usize, usize)| head.slice(start..start + length);
    message.headers = header_spans.into_iter().map(|(name, value)| (slice(name), slice(value))).collect();
    if let Some((method, path)) = start_line_spans {
        (message.method, message.path) = (slice(method), slice(path));
    }
    let http_1_1 = version == Some(1);
    message.keep_alive = if http_1_1 {
        !message.header_lists_token("connection", "close")
    } else {
        message.header_lists_token("connection", "keep-alive")
    };
    Ok(Some(message))
}

/// Determines how the body is framed. Contradictory or repeated framing headers are rejected: the next server might
/// pick the other one and take part of the body for a request (request smuggling).
fn body_framing(
    message: &Message,
    kind: MessageKind,
    max_body_bytes: usize,
) -> Result<BodyFraming, ReadError> {
    let values_of = |name: &'static str| {
        message
            .headers
            .iter()
            .filter(move |header| header.0.eq_ignore_ascii_case(name.as_bytes()))
            .map(|header| &header.1)
    };
    let (lengths, mut codings) = (values_of("content-length"), values_of("transfer-encoding"));
    let mut length = None;
    for value in lengths {
        let text = std::str::from_utf8(value.trim_ascii()).map_err(|_| ReadError::Malformed)?;
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) || length.is_some() {
            return Err(ReadError::Malformed);
        }
        length = Some(text);
    }
    match (codings.next(), length) {
        (Some(coding), None) if codings.next().is_none() => {
            let chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if chunked { Ok(BodyFraming::Chunked) } else { Err(ReadError::Malformed) }
        }
        (Some(_), _) => Err(ReadError::Malformed),
        (None, Some(length)) => match length.parse() {
            Ok(length) if length <= max_body_bytes => Ok(BodyFraming::Length(length)),
            _ => Err(ReadError::BodyTooLarge),
        },
        (None, None) => match (kind, message.status) {
            (MessageKind::Request, _) | (_, 204 | 304) => Ok(BodyFraming::Length(0)),
            _ => Ok(BodyFraming::UntilClose),
        },
    }
}

/// The start of the body of a response that has been read completely.
#[derive(Debug)]
pub struct BodyPrefix {
    /// The first bytes of the body.
    pub kept: Vec<u8>,
    max_kept: usize,
    /// Whether the connection may carry another message after this one.
    pub keep_alive: bool,
}

impl BodyPrefix {
    /// Appends the next bytes of the body, as far as they are to be kept.
    fn append(&mut self, bytes: &[u8]) {
        let missing = self.max_kept - self.kept.len();
        self.kept.extend_from_slice(&bytes[..missing.min(bytes.len())]);
    }
}

/// When the bytes of a connection were received.
#[derive(Debug, Default)]
struct Arrivals {
    /// Number of bytes received so far.
    received: u64,
    /// Numbers of bytes that had been received after some reads, and when the first of them were, oldest first.
    reads: VecDeque<(u64, Instant)>,
}

impl Arrivals {
    fn record(&mut self, length: usize) {
        self.received += length as u64;
        let now = Instant::now();
        match self.reads.back_mut() {
            Some(last) if now < last.1 + ARRIVAL_RESOLUTION => last.0 = self.received,
            _ => self.reads.push_back((self.received, now)),
        }
    }

    /// When the byte was received before which `buffered` are left. Forgets earlier ones.
    fn time_before(&mut self, buffered: usize) -> Option<Instant> {
        let consumed = self.received - buffered as u64;
        while self.reads.front().is_some_and(|read| read.0 < consumed) {
            self.reads.pop_front();
        }
        self.reads.front().map(|read| read.1)
    }
}

/// A connection that carries HTTP messages.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Size of the head and of the buffer of the body of the message that is read.
    message_bytes: usize,
    arrivals: Arrivals,
    input_discarded: bool,
    max_body_bytes: usize,
    /// The memory that messages may take, if it is limited together with that of other connections.
    memory: Option<ReceiveReservation>,
}

/// What a read without waiting found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Received {
    /// This many bytes of input.
    Some(usize),
    /// No input was available.
    Nothing,
    /// The peer has closed the connection, or it has failed.
    Closed,
}

impl From<io::Result<usize>> for Received {
    fn from(read: io::Result<usize>) -> Received {
        match read {
            Ok(0) => Received::Closed,
            Ok(length) => Received::Some(length),
            Err(error) if is_retryable(&error) => Received::Nothing,
            Err(_) => Received::Closed,
        }
    }
}

impl Connection {
    /// Wraps a TCP stream.
    pub fn new(stream: TcpStream) -> Self {
        // Disables Nagle's algorithm: a small message must not wait for the acknowledgement of the previous one.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: BytesMut::new(),
            message_bytes: 0,
            arrivals: Arrivals::default(),
            input_discarded: false,
            max_body_bytes: MAX_BODY_BYTES,
            memory: None,
        }
    }

    /// The same connection with another limit for the size of a body.
    pub fn with_max_body(self, max_body_bytes: usize) -> Self {
        Connection { max_body_bytes, ..self }
    }

    /// The same connection, which waits for this memory while it reads. The memory of a message counts until
    /// [`Connection::release_message`] or [`Connection::discard_input`].
    pub fn with_memory(self, memory: ReceiveReservation) -> Self {
        Connection { memory: Some(memory), ..self }
    }

    /// Ends the reservation of memory for the last message, which its owner has dropped or counts elsewhere.
    pub fn release_message(&mut self) {
        self.message_bytes = 0;
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        if let Some(memory) = &self.memory {
            memory.shrink(self.buffer.capacity());
        }
    }

    /// Ends when the connection must close because its incomplete message takes memory that others need.
    pub fn evicted(&self) -> impl Future<Output = ()> + use<> {
        let evicted = self.memory.as_ref().map(ReceiveReservation::evicted);
        async move {
            match evicted {
                Some(evicted) => evicted.await,
                None => std::future::pending().await,
            }
        }
    }

    /// Drops input that is not part of a complete message, with its memory. The connection must not be read again.
    pub fn discard_input(&mut self) {
        self.buffer = BytesMut::new();
        self.release_message();
    }

    /// A duplicate of the socket's descriptor, which stays open when the connection is dropped.
    pub fn descriptor(&self) -> io::Result<OwnedFd> {
        self.stream.as_fd().try_clone_to_owned()
    }

    /// Whether input has been received that is not part of a message yet.
    pub fn has_input(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Waits for input and returns its size, 0 if the peer has closed or input was discarded behind that in the buffer. Cancel
    /// safe: no input is lost.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.input_discarded {
            return Ok(0);
        }
        if self.buffer.len() == self.buffer.capacity() {
            self.reserve_memory(self.buffer.len().max(BUFFER_BYTES)).await;
            self.buffer.reserve(BUFFER_BYTES);
        }
        let length = loomlb_sockets::read_some(&self.stream, &mut self.buffer).await?;
        self.record_input(length);
        Ok(length)
    }

    /// Waits until the connection may use this much more memory. Cancel safe.
    async fn reserve_memory(&self, additional: usize) {
        if let Some(memory) = &self.memory {
            memory.resize(self.message_bytes + self.buffer.capacity() + additional).await;
        }
    }

    fn record_input(&mut self, length: usize) {
        self.arrivals.record(length);
        if let Some(memory) = &self.memory {
            memory.record_activity();
        }
    }

    /// Receives available input without waiting; false if the peer has closed or the connection has failed.
    pub fn poll_input(&mut self) -> bool {
        if self.input_discarded {
            return true;
        }
        if self.buffer.len() == self.buffer.capacity() {
            self.buffer.reserve(BUFFER_BYTES);
        }
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(length) => {
                self.record_input(length);
                length > 0
            }
            Err(error) => is_retryable(&error),
        }
    }

    /// Like [`Connection::fill`], but fails if the peer has closed.
    async fn read_more(&mut self) -> Result<(), ReadError> {
        if self.fill().await? == 0 { Err(ReadError::Broken) } else { Ok(()) }
    }

    /// Whether the runtime has been notified that the peer closed or reset the connection. Does not read: unread input
    /// may remain.
    fn is_read_closed(&self) -> bool {
        let mut readiness = std::pin::pin!(self.stream.ready(Interest::READABLE));
        match readiness.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed() || ready.is_error(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Whether the peer has closed or reset the connection. Yields, as the runtime may not have polled the kernel since a new
    /// connection was accepted. Receives what the peer has sent, as a close arrives behind it: while the kernel's buffer
    /// is full, the close of a peer is not seen.
    pub async fn peer_has_closed(&mut self) -> bool {
        tokio::task::yield_now().await;
        self.is_read_closed() || self.receive_ahead().await
    }

    /// Waits until the peer closes or resets the connection, and receives its further requests. To bound memory, input for
    /// which there is none is discarded. It has to be read, as the close arrives behind it. Cancel safe: no kept input is
    /// lost.
    pub async fn closed(&mut self) {
        while !self.is_read_closed() {
            if self.receive_ahead().await {
                return;
            }
            if self.has_room_ahead() {
                match self.stream.readable().await {
                    Ok(()) => {}
                    Err(_) => return,
                }
            } else {
                tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
            }
        }
    }

    /// Receives the available input without waiting. Returns whether the peer has closed. Cancel safe.
    async fn receive_ahead(&mut self) -> bool {
        let mut received = 0;
        let mut batch_end = RECEIVE_BATCH_BYTES;
        while received < MAX_RECEIVE_AHEAD_BYTES {
            let read = if self.has_room_ahead() { self.read_ahead() } else { self.discard() };
            match read {
                Received::Some(length) => received += length,
                Received::Nothing => return false,
                Received::Closed => return true,
            }
            if received >= batch_end {
                batch_end += RECEIVE_BATCH_BYTES;
                tokio::task::yield_now().await;
            }
        }
        false
    }

    /// Whether further input is kept for the requests after the present one. Reserves the memory for it.
    fn has_room_ahead(&self) -> bool {
        if self.input_discarded || self.buffer.len() >= MAX_PIPELINED_BYTES {
            return false;
        }
        if self.buffer.len() < self.buffer.capacity() {
            return true;
        }
        // Growing moves the input to a second buffer first.
        let needed = self.message_bytes + 2 * self.buffer.capacity() + BUFFER_BYTES;
        needed <= UNCOUNTED_BYTES || self.memory.as_ref().is_none_or(|memory| memory.try_grow_ahead(needed))
    }

    /// Receives available input into the buffer.
    fn read_ahead(&mut self) -> Received {
        if self.buffer.len() == self.buffer.capacity() {
            self.buffer.reserve(BUFFER_BYTES);
        }
        let read = self.stream.try_read_buf(&mut self.buffer);
        if let Ok(length) = read {
            self.record_input(length);
        }
        Received::from(read)
    }

    /// Whether input has been discarded behind that in the buffer, so that the connection must close after the requests there.
    pub fn input_discarded(&self) -> bool {
        self.input_discarded
    }

    /// Reads one message.
    pub async fn read(&mut self, kind: MessageKind) -> Result<Message, ReadError> {
        if let Some(memory) = &self.memory {
            memory.allow_eviction();
        }
        let message = self.read_head(kind).await?;
        let mut message = self.read_body(kind, message).await?;
        message.received_at = self.arrivals.time_before(self.buffer.len());
        if let Some(memory) = &self.memory {
            memory.disallow_eviction();
        }
        Ok(message)
    }

    /// Reads the head of a message. Informational responses (1xx) are skipped.
    pub async fn read_head(&mut self, kind: MessageKind) -> Result<Message, ReadError> {
        loop {
            let buffered = self.buffer.len();
            if let Some(message) = take_head(&mut self.buffer, kind)? {
                self.message_bytes = buffered - self.buffer.len();
                if kind == MessageKind::Response && (100..200).contains(&message.status) {
                    continue;
                }
                return Ok(message);
            }
            let between_messages = self.buffer.is_empty();
            match self.fill().await {
                Ok(0) | Err(_) if between_messages => return Err(ReadError::Closed),
                Ok(0) | Err(_) => return Err(ReadError::Broken),
                Ok(_) => {}
            }
        }
    }

    /// Reads the body that follows a head.
    pub async fn read_body(&mut self, kind: MessageKind, mut message: Message) -> Result<Message, ReadError> {
        let framing = body_framing(&message, kind, self.max_body_bytes)?;
        if kind == MessageKind::Request
            && message.header_lists_token("expect", "100-continue")
            && self.buffer.is_empty()
        {
            self.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let mut body = Vec::new();
        match framing {
            BodyFraming::Length(length) => self.read_body_part(&mut body, length, length).await?,
            BodyFraming::Chunked => self.read_chunked_body(&mut body).await?,
            BodyFraming::UntilClose => {
                message.keep_alive = false;
                self.read_until_close(&mut body).await?;
            }
        }
        body.shrink_to_fit();
        message.body = Bytes::from(body);
        Ok(message)
    }

    /// Reads the body that follows the head of a response and keeps its first `max_kept` bytes. Holds no more than these and
    /// the input buffer, however long the body is and however late it ends.
    pub async fn read_body_prefix(
        &mut self,
        head: &Message,
        max_kept: usize,
    ) -> Result<BodyPrefix, ReadError> {
        let mut prefix = BodyPrefix { kept: Vec::new(), max_kept, keep_alive: head.keep_alive };
        match body_framing(head, MessageKind::Response, self.max_body_bytes)? {
            BodyFraming::Length(length) => self.read_prefix_part(&mut prefix, length).await?,
            BodyFraming::Chunked => self.read_chunked_prefix(&mut prefix).await?,
            BodyFraming::UntilClose => {
                prefix.keep_alive = false;
                self.read_prefix_until_close(&mut prefix).await?;
            }
        }
        Ok(prefix)
    }

    /// Reads the next `length` bytes of a body of which a prefix is kept.
    async fn read_prefix_part(&mut self, prefix: &mut BodyPrefix, length: usize) -> Result<(), ReadError> {
        let mut missing = length;
        loop {
            let available = missing.min(self.buffer.len());
            prefix.append(&self.buffer[..available]);
            self.buffer.advance(available);
            missing -= available;
            if missing == 0 {
                return Ok(());
            }
            self.read_more().await?;
        }
    }

    async fn read_chunked_prefix(&mut self, prefix: &mut BodyPrefix) -> Result<(), ReadError> {
        let mut body_bytes = 0;
        while let Some(chunk_size) = self.read_chunk_size(body_bytes).await? {
            self.read_prefix_part(prefix, chunk_size).await?;
            self.read_chunk_end().await?;
            body_bytes += chunk_size;
        }
        self.read_trailers().await
    }

    async fn read_prefix_until_close(&mut self, prefix: &mut BodyPrefix) -> Result<(), ReadError> {
        let mut body_bytes = 0;
        loop {
            body_bytes += self.buffer.len();
            if body_bytes > self.max_body_bytes {
                return Err(ReadError::BodyTooLarge);
            }
            prefix.append(&self.buffer);
            self.buffer.clear();
            if self.fill().await? == 0 {
                return Ok(());
            }
        }
    }

    /// Reads the next `length` bytes of a body that ends with at most `max_body_bytes`.
    async fn read_body_part(
        &mut self,
        body: &mut Vec<u8>,
        length: usize,
        max_body_bytes: usize,
    ) -> Result<(), ReadError> {
        let end = body.len() + length;
        let buffered = length.min(self.buffer.len());
        self.reserve_body(body, buffered, max_body_bytes).await;
        body.extend_from_slice(&self.buffer[..buffered]);
        self.buffer.advance(buffered);
        while body.len() < end {
            if body.len() == body.capacity() {
                self.reserve_body(body, 1, max_body_bytes).await;
            }
            let missing = end - body.len();
            if self.input_discarded {
                return Err(ReadError::Broken);
            }
            let length = loomlb_sockets::read_some(&self.stream, &mut (&mut *body).limit(missing)).await?;
            if length == 0 {
                return Err(ReadError::Broken);
            }
            self.record_input(length);
        }
        Ok(())
    }

    /// Grows the buffer of a body by at least `additional` bytes, and beyond that up to twice its size, as far as
    /// `max_body_bytes`. Waits for the memory first.
    async fn reserve_body(&mut self, body: &mut Vec<u8>, additional: usize, max_body_bytes: usize) {
        let needed = body.len() + additional;
        if needed <= body.capacity() {
            return;
        }
        let doubled = (2 * body.capacity()).max(FIRST_BODY_BYTES).min(max_body_bytes);
        let capacity = needed.max(doubled);
        let growth = capacity - body.capacity();
        self.reserve_memory(growth).await;
        body.reserve_exact(capacity - body.len());
        self.message_bytes += growth;
    }

    /// Reads a body that ends when the peer closes the connection.
    async fn read_until_close(&mut self, body: &mut Vec<u8>) -> Result<(), ReadError> {
        let max_body_bytes = self.max_body_bytes;
        loop {
            let buffered = self.buffer.len();
            if body.len() + buffered > max_body_bytes {
                return Err(ReadError::BodyTooLarge);
            }
            self.read_body_part(body, buffered, max_body_bytes).await?;
            if self.fill().await? == 0 {
                return Ok(());
            }
        }
    }

    async fn read_chunked_body(&mut self, body: &mut Vec<u8>) -> Result<(), ReadError> {
        while let Some(chunk_size) = self.read_chunk_size(body.len()).await? {
            self.read_body_part(body, chunk_size, self.max_body_bytes).await?;
            self.read_chunk_end().await?;
        }
        self.read_trailers().await
    }

    /// Reads the line that announces a chunk, after `body_bytes` of the body. Returns its size, or `None` for the last one.
    async fn read_chunk_size(&mut self, body_bytes: usize) -> Result<Option<usize>, ReadError> {
        let (line_length, chunk_size) = loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete(found)) => break found,
                // Bounds the chunk extensions of a size line.
                Ok(httparse::Status::Partial) if self.buffer.len() < 1024 => self.read_more().await?,
                _ => return Err(ReadError::Malformed),
            }
        };
        if chunk_size > (self.max_body_bytes - body_bytes) as u64 {
            return Err(ReadError::BodyTooLarge);
        }
        self.buffer.advance(line_length);
        Ok((chunk_size > 0).then_some(chunk_size as usize))
    }

    /// Reads the line end that follows the data of a chunk.
    async fn read_chunk_end(&mut self) -> Result<(), ReadError> {
        while self.buffer.len() < CHUNK_END.len() {
            self.read_more().await?;
        }
        if !self.buffer.starts_with(CHUNK_END) {
            return Err(ReadError::Malformed);
        }
        self.buffer.advance(CHUNK_END.len());
        Ok(())
    }

    /// Reads and drops the trailers of a chunked body. An empty line ends them.
    async fn read_trailers(&mut self) -> Result<(), ReadError> {
        let mut trailer_bytes = 0;
        loop {
            match self.buffer.iter().position(|byte| *byte == b'\n') {
                Some(line_end) => {
                    let empty = self.buffer[..line_end].trim_ascii().is_empty();
                    self.buffer.advance(line_end + 1);
                    trailer_bytes += line_end + 1;
                    if empty {
                        return Ok(());
                    }
                }
                None if trailer_bytes + self.buffer.len() < MAX_HEAD_BYTES => self.read_more().await?,
                None => return Err(ReadError::HeadTooLarge),
            }
        }
    }

    /// Writes all bytes, or fails with at least one byte unwritten.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        loomlb_sockets::write_all(&self.stream, bytes).await
    }

    /// Writes a response. The part that the peer does not receive at once counts as memory until it does; the connection may be
    /// evicted meanwhile.
    pub async fn write_response(&mut self, response: &[u8]) -> io::Result<()> {
        let written = self.try_write(response)?;
        if written == response.len() {
            tokio::task::consume_budget().await;
            return Ok(());
        }
        let Some(memory) = &self.memory else { return self.write_all(&response[written..]).await };
        memory.allow_eviction();
        memory.record_activity();
        memory.resize(self.buffer.capacity() + response.len()).await;
        for part in response[written..].chunks(WRITE_PART_BYTES) {
            loomlb_sockets::write_all(&self.stream, part).await?;
            memory.record_activity();
        }
        memory.disallow_eviction();
        self.release_message();
        Ok(())
    }

    /// Writes without waiting, and returns how much was written.
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.stream.try_write(bytes) {
            Err(error) if is_retryable(&error) => Ok(0),
            written => written,
        }
    }

    /// Reads available input without waiting and discards it.
    fn discard(&mut self) -> Received {
        let received = Received::from(self.stream.try_read(&mut [0; MAX_BODY_BYTES]));
        self.input_discarded |= matches!(received, Received::Some(_));
        received
    }

    /// Closes a connection whose peer may still be sending: shuts down the write side, then reads and discards input
    /// until the peer closes or a time limit passes. Closing at once would send a reset, which can destroy the answer
    /// just written.
    pub async fn lingering_close(mut self) {
        /// Pause between reads, so that a client with a large body does not occupy the thread.
        const READ_INTERVAL: Duration = Duration::from_millis(1);
        let _ = self.stream.shutdown().await;
        self.discard_input();
        let discard_input = async {
            while let Ok(Ok(())) = tokio::time::timeout(LINGER_IDLE_TIMEOUT, self.stream.readable()).await {
                if self.discard() == Received::Closed {
                    break;
                }
                tokio::time::sleep(READ_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(LINGER_TIMEOUT, discard_input).await;
    }
}

/// Encodes a response. Adds `Content-Length`, and `Connection: close` unless `keep_alive` is set.
pub fn encode_response(status: u16, headers: &[(&str, &str)], body: &[u8], keep_alive: bool) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "",
    };
    let mut encoded = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
    let length = body.len().to_string();
    let close = if keep_alive { None } else { Some(&("Connection", "close")) };
    for (name, value) in headers.iter().chain(&[("Content-Length", length.as_str())]).chain(close) {
        encoded.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    encoded.extend_from_slice(b"\r\n");
    encoded.extend_from_slice(body);
    encoded
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::net::TcpListener;

    const CHUNKED_REQUEST: &str = "POST /view/7f?x=1 HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: a1\r\n\
        Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n6\r\n world\r\n0\r\nTrailer: t\r\n\r\n";
    const SIZED_REQUEST: &str = "POST /v1/job-events HTTP/1.1\r\ncontent-length: 11\r\n\r\nhello world";
    const RESPONSE: &str =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 11\r\n\r\nhello world";

    /// Writes these pieces to a connection one by one, closes it, and returns the message that the other end reads.
    async fn read_pieces(kind: MessageKind, pieces: &[&str]) -> Result<Message, ReadError> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut writer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let mut connection = Connection::new(listener.accept().await.unwrap().0);
        let write = async {
            for piece in pieces {
                writer.write_all(piece.as_bytes()).await.unwrap();
                // Makes most pieces arrive in reads of their own; the result does not depend on it.
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            drop(writer);
        };
        tokio::join!(connection.read(kind), write).0
    }

    #[tokio::test]
    async fn messages_split_at_any_byte_are_read_completely_and_truncated_ones_fail() {
        for (kind, text) in [
            (MessageKind::Request, CHUNKED_REQUEST),
            (MessageKind::Request, SIZED_REQUEST),
            (MessageKind::Response, RESPONSE),
        ] {
            for split in 0..text.len() {
                let (first, rest) = text.split_at(split);
                let message = read_pieces(kind, &[first, rest]).await.unwrap();
                assert_eq!(&*message.body, b"hello world", "split at {split}: {text}");
                assert!(message.keep_alive);
                // The peer closes after the first piece.
                let error = read_pieces(kind, &[first]).await.unwrap_err();
                let between_messages = split == 0 || text[..split].ends_with("100 Continue\r\n\r\n");
                assert!(
                    matches!(error, ReadError::Closed) == between_messages,
                    "closed at {split}: {error:?}"
                );
                assert!(
                    matches!(error, ReadError::Closed | ReadError::Broken),
                    "closed at {split}: {error:?}"
                );
            }
        }
    }
}
