//! HTTP/1.1 framing on bytes: the edge where messages become plain data and back.

use bytes::{Buf, Bytes, BytesMut};
use loomlb_sockets::is_momentary;
use std::future::Future;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;

/// A head is no longer than this.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Nor a body than this, unless its reader takes longer ones.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 64;
/// Bytes that are kept of what a client sends while its last request is not answered.
const AHEAD: usize = 8 * 1024;
/// Time between two looks at a client that has sent more than that. One that has gone is to be noticed within 0.1 s.
const LOOK: Duration = Duration::from_millis(15);
/// A connection that ends is read for this long at most, and no longer than this after its last byte.
const LINGER: Duration = Duration::from_secs(3);
const QUIET: Duration = Duration::from_millis(500);

/// Why no message could be read.
#[derive(Debug)]
pub enum ReadError {
    /// The other side closed between messages.
    Closed,
    /// The connection broke within one.
    Broken,
    /// What came is not HTTP/1.1.
    Malformed,
    /// The head is over its limit.
    HeadTooLarge,
    /// The body is over its limit.
    BodyTooLarge,
}

impl From<io::Error> for ReadError {
    fn from(_: io::Error) -> Self {
        ReadError::Broken
    }
}

/// What to read: a request or a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// From a client.
    Request,
    /// From a server.
    Response,
}

/// A whole message.
#[derive(Debug, Default)]
pub struct Message {
    /// Of a request.
    pub method: Bytes,
    /// Of a request, with its query.
    pub path: Bytes,
    /// Of a response.
    pub status: u16,
    headers: Vec<(Bytes, Bytes)>,
    /// The body without its framing.
    pub body: Bytes,
    /// The connection may carry another message after this one.
    pub keep_alive: bool,
}

impl Message {
    /// The first header of this name.
    pub fn header(&self, name: &str) -> Option<&Bytes> {
        self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name.as_bytes())).map(|h| &h.1)
    }

    /// The same as text, if it is.
    pub fn header_text(&self, name: &str) -> Option<&str> {
        self.header(name).and_then(|v| std::str::from_utf8(v).ok()).map(str::trim)
    }

    /// Whether this header stands there more than once.
    pub fn has_repeated_header(&self, name: &str) -> bool {
        self.headers.iter().filter(|h| h.0.eq_ignore_ascii_case(name.as_bytes())).count() > 1
    }

    fn says(&self, name: &str, word: &str) -> bool {
        let mut values = self.headers.iter().filter(|h| h.0.eq_ignore_ascii_case(name.as_bytes()));
        values
            .any(|h| h.1.split(|b| *b == b',').any(|w| w.trim_ascii().eq_ignore_ascii_case(word.as_bytes())))
    }
}

enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// Parses the head at the start of `buf` and takes it out; `None` if it is not whole yet.
fn take_head(buf: &mut BytesMut, kind: MessageKind) -> Result<Option<Message>, ReadError> {
    let mut room = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let at = |b: &[u8]| (b.as_ptr() as usize - buf.as_ptr() as usize, b.len());
    let (mut spans, mut message) = (Vec::new(), Message::default());
    let (parsed, version, start) = match kind {
        MessageKind::Request => {
            let mut head = httparse::Request::new(&mut room);
            let parsed = head.parse(buf);
            if let Ok(httparse::Status::Complete(_)) = parsed {
                spans.extend(head.headers.iter().map(|h| (at(h.name.as_bytes()), at(h.value))));
            }
            let start = head.method.zip(head.path).map(|(m, p)| (at(m.as_bytes()), at(p.as_bytes())));
            (parsed, head.version, start)
        }
        MessageKind::Response => {
            let mut head = httparse::Response::new(&mut room);
            let parsed = head.parse(buf);
            if let Ok(httparse::Status::Complete(_)) = parsed {
                spans.extend(head.headers.iter().map(|h| (at(h.name.as_bytes()), at(h.value))));
                message.status = head.code.unwrap_or(0);
            }
            (parsed, head.version, None)
        }
    };
    let length = match parsed {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(ReadError::HeadTooLarge),
        Err(_) => return Err(ReadError::Malformed),
    };
    let head = buf.split_to(length).freeze();
    let cut = |(from, len): (usize, usize)| head.slice(from..from + len);
    message.headers = spans.into_iter().map(|(name, value)| (cut(name), cut(value))).collect();
    if let Some((method, path)) = start {
        (message.method, message.path) = (cut(method), cut(path));
    }
    let http_1_1 = version == Some(1);
    message.keep_alive = if http_1_1 {
        !message.says("connection", "close")
    } else {
        message.says("connection", "keep-alive")
    };
    Ok(Some(message))
}

/// How the body is framed. A message that says it twice is refused: the next reader on its way might believe
/// the other one, and take what is hidden in the body for a request.
fn framing(message: &Message, kind: MessageKind, longest: usize) -> Result<Framing, ReadError> {
    let all = |name: &'static str| {
        message.headers.iter().filter(move |h| h.0.eq_ignore_ascii_case(name.as_bytes())).map(|h| &h.1)
    };
    let (lengths, mut codings) = (all("content-length"), all("transfer-encoding"));
    let mut length = None;
    for value in lengths {
        let text = std::str::from_utf8(value.trim_ascii()).map_err(|_| ReadError::Malformed)?;
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) || length.is_some() {
            return Err(ReadError::Malformed);
        }
        length = Some(text);
    }
    match (codings.next(), length) {
        (Some(coding), None) if codings.next().is_none() => {
            let chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if chunked { Ok(Framing::Chunked) } else { Err(ReadError::Malformed) }
        }
        (Some(_), _) => Err(ReadError::Malformed),
        (None, Some(length)) => match length.parse() {
            Ok(length) if length <= longest => Ok(Framing::Length(length)),
            _ => Err(ReadError::BodyTooLarge),
        },
        (None, None) => match (kind, message.status) {
            (MessageKind::Request, _) | (_, 204 | 304) => Ok(Framing::Length(0)),
            _ => Ok(Framing::UntilClose),
        },
    }
}

/// A connection that carries messages.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buf: BytesMut,
    overrun: bool,
    /// The longest body that is taken, in bytes.
    longest: usize,
}

/// What came of throwing away what has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Discarded {
    /// Something was there.
    Some,
    /// Nothing was.
    Nothing,
    /// The other side has closed.
    Closed,
}

impl Connection {
    /// Takes over a connection.
    pub fn new(stream: TcpStream) -> Self {
        // Without this a small message could wait for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        Connection { stream, buf: BytesMut::new(), overrun: false, longest: MAX_BODY_BYTES }
    }

    /// The same where bodies may be of so many bytes.
    pub fn with_max_body(self, longest: usize) -> Self {
        Connection { longest, ..self }
    }

    /// A second descriptor of the connection, which stays open when this one is dropped.
    pub fn descriptor(&self) -> io::Result<OwnedFd> {
        self.stream.as_fd().try_clone_to_owned()
    }

    /// Whether something has come that was not read as a message yet.
    pub fn has_input(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Waits for more bytes; 0 if the other side has closed. Loses nothing when dropped half-way.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buf.reserve(4096);
        loomlb_sockets::read_some(&self.stream, &mut self.buf).await
    }

    /// Reads what is there without waiting; false if the other side has closed.
    pub fn poll_input(&mut self) -> bool {
        self.buf.reserve(4096);
        match self.stream.try_read_buf(&mut self.buf) {
            Ok(n) => n > 0,
            Err(e) => is_momentary(&e),
        }
    }

    async fn more(&mut self) -> Result<(), ReadError> {
        if self.fill().await? == 0 { Err(ReadError::Broken) } else { Ok(()) }
    }

    /// Whether the other side has closed or reset, as far as the kernel has told by now, without reading: what it sent
    /// before may still wait.
    fn is_closed(&self) -> bool {
        let mut look = std::pin::pin!(self.stream.ready(Interest::READABLE));
        match look.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed() || ready.is_error(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Whether the other side has closed or reset by now. A new connection is read before the kernel's word on its end is
    /// heard, so that is waited for: one turn of the loop.
    pub async fn peer_has_closed(&mut self) -> bool {
        tokio::task::yield_now().await;
        self.is_closed() || !self.has_input() && !self.poll_input()
    }

    /// Waits until the other side has closed or reset. Of what it says meanwhile no more than `AHEAD` is kept, so that
    /// it cannot fill our memory, and the rest is thrown away, slowly: its end comes behind it. Loses nothing of what is
    /// kept when dropped half-way.
    pub async fn closed(&mut self) {
        while self.buf.len() < AHEAD {
            if !matches!(self.fill().await, Ok(n) if n > 0) {
                return;
            }
        }
        while !self.is_closed() {
            match self.discard() {
                Discarded::Some => self.overrun = true,
                Discarded::Nothing => {}
                Discarded::Closed => return,
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// A part of what the other side sent was thrown away: nothing that follows can be told from the middle of something.
    pub fn overrun(&self) -> bool {
        self.overrun
    }

    /// Reads one message, in as many parts as it comes in.
    pub async fn read(&mut self, kind: MessageKind) -> Result<Message, ReadError> {
        let message = self.read_head(kind).await?;
        self.read_body(kind, message).await
    }

    /// Reads the head of a message.
    pub async fn read_head(&mut self, kind: MessageKind) -> Result<Message, ReadError> {
        loop {
            if let Some(message) = take_head(&mut self.buf, kind)? {
                if kind == MessageKind::Response && (100..200).contains(&message.status) {
                    continue;
                }
                return Ok(message);
            }
            let fresh = self.buf.is_empty();
            match self.fill().await {
                Ok(0) | Err(_) if fresh => return Err(ReadError::Closed),
                Ok(0) | Err(_) => return Err(ReadError::Broken),
                Ok(_) => {}
            }
        }
    }

    /// Reads the body that belongs to a head.
    pub async fn read_body(&mut self, kind: MessageKind, mut message: Message) -> Result<Message, ReadError> {
        let framing = framing(&message, kind, self.longest)?;
        if kind == MessageKind::Request && message.says("expect", "100-continue") && self.buf.is_empty() {
            self.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        message.body = match framing {
            Framing::Length(length) => {
                while self.buf.len() < length {
                    self.more().await?;
                }
                self.buf.split_to(length).freeze()
            }
            Framing::Chunked => self.chunks().await?,
            Framing::UntilClose => {
                message.keep_alive = false;
                while self.fill().await? > 0 {
                    if self.buf.len() > self.longest {
                        return Err(ReadError::BodyTooLarge);
                    }
                }
                self.buf.split().freeze()
            }
        };
        Ok(message)
    }

    async fn chunks(&mut self) -> Result<Bytes, ReadError> {
        let mut body = BytesMut::new();
        loop {
            let (skip, size) = loop {
                match httparse::parse_chunk_size(&self.buf) {
                    Ok(httparse::Status::Complete(found)) => break found,
                    // A size line may carry extensions, but not without end.
                    Ok(httparse::Status::Partial) if self.buf.len() < 1024 => self.more().await?,
                    _ => return Err(ReadError::Malformed),
                }
            };
            if size > (self.longest - body.len()) as u64 {
                return Err(ReadError::BodyTooLarge);
            }
            self.buf.advance(skip);
            if size == 0 {
                break;
            }
            let size = size as usize;
            while self.buf.len() < size + 2 {
                self.more().await?;
            }
            body.extend_from_slice(&self.buf[..size]);
            if &self.buf[size..size + 2] != b"\r\n" {
                return Err(ReadError::Malformed);
            }
            self.buf.advance(size + 2);
        }
        // Trailers end with an empty line and are dropped.
        let mut seen = 0;
        loop {
            match self.buf.iter().position(|b| *b == b'\n') {
                Some(end) => {
                    let empty = self.buf[..end].trim_ascii().is_empty();
                    self.buf.advance(end + 1);
                    seen += end + 1;
                    if empty {
                        return Ok(body.freeze());
                    }
                }
                None if seen + self.buf.len() < MAX_HEAD_BYTES => self.more().await?,
                None => return Err(ReadError::HeadTooLarge),
            }
        }
    }

    /// Writes all of it, or fails with at least one byte unwritten.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        loomlb_sockets::write_all(&self.stream, bytes).await
    }

    /// Reads what has come, for nobody.
    fn discard(&self) -> Discarded {
        match self.stream.try_read(&mut [0; MAX_BODY_BYTES]) {
            Ok(0) => Discarded::Closed,
            Ok(_) => Discarded::Some,
            Err(e) if is_momentary(&e) => Discarded::Nothing,
            Err(_) => Discarded::Closed,
        }
    }

    /// Ends a connection on which more may be coming: closing at once would reset it, and the answer just
    /// written could be lost with it. A client that writes a large body before it reads anything is let
    /// finish it, at a pace that leaves the core to others.
    pub async fn lingering_close(mut self) {
        const PACE: Duration = Duration::from_millis(1);
        let _ = self.stream.shutdown().await;
        // No more memory for what nobody wants.
        self.buf = BytesMut::new();
        let drain = async {
            while let Ok(Ok(())) = tokio::time::timeout(QUIET, self.stream.readable()).await {
                if self.discard() == Discarded::Closed {
                    break;
                }
                tokio::time::sleep(PACE).await;
            }
        };
        let _ = tokio::time::timeout(LINGER, drain).await;
    }
}

/// The text of a response.
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
    let mut out = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
    let length = body.len().to_string();
    let close = if keep_alive { None } else { Some(&("Connection", "close")) };
    for (name, value) in headers.iter().chain(&[("Content-Length", length.as_str())]).chain(close) {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::net::TcpListener;

    const CHUNKED: &str = "POST /view/7f?x=1 HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: a1\r\n\
        Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n6\r\n world\r\n0\r\nTrailer: t\r\n\r\n";
    const SIZED: &str = "POST /v1/job-events HTTP/1.1\r\ncontent-length: 11\r\n\r\nhello world";
    const ANSWER: &str =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 11\r\n\r\nhello world";

    /// Has these pieces written one after the other, then the side closed; what is read of them.
    async fn read(kind: MessageKind, pieces: &[&str]) -> Result<Message, ReadError> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut writer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let mut wire = Connection::new(listener.accept().await.unwrap().0);
        let write = async {
            for piece in pieces {
                writer.write_all(piece.as_bytes()).await.unwrap();
                // So that most pieces are read alone; the verdict does not hang on it.
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            drop(writer);
        };
        tokio::join!(wire.read(kind), write).0
    }

    #[tokio::test]
    async fn messages_cut_at_any_byte_are_read_whole_or_end_as_broken() {
        for (kind, text) in
            [(MessageKind::Request, CHUNKED), (MessageKind::Request, SIZED), (MessageKind::Response, ANSWER)]
        {
            for cut in 0..text.len() {
                let (first, rest) = text.split_at(cut);
                let message = read(kind, &[first, rest]).await.unwrap();
                assert_eq!(&*message.body, b"hello world", "cut at {cut}: {text}");
                assert!(message.keep_alive);
                // Whoever leaves there has said nothing whole.
                let fault = read(kind, &[first]).await.unwrap_err();
                let between = cut == 0 || text[..cut].ends_with("100 Continue\r\n\r\n");
                assert!(matches!(fault, ReadError::Closed) == between, "left at {cut}: {fault:?}");
                assert!(matches!(fault, ReadError::Closed | ReadError::Broken), "left at {cut}: {fault:?}");
            }
        }
    }
}
