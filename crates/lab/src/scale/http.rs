//! As much of HTTP/1.1 as stand-ins on one machine need.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A longer head or body is none.
const LONGEST: usize = 16 << 20;

/// A request or an answer.
#[derive(Debug)]
pub struct Message {
    /// Its first line.
    pub first: String,
    head: String,
    /// Its body.
    pub body: Vec<u8>,
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut pairs = self.head.lines().filter_map(|l| l.split_once(':'));
        pairs.find(|p| p.0.eq_ignore_ascii_case(name)).map(|p| p.1.trim())
    }
    /// The status of an answer.
    pub fn status(&self) -> Option<u16> {
        self.first.split(' ').nth(1)?.parse().ok()
    }
}

/// A connection.
#[derive(Debug)]
pub struct Wire {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Wire {
    /// Around an open connection.
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buf: Vec::new() }
    }

    /// Opens one.
    pub async fn open(at: SocketAddr) -> io::Result<Wire> {
        Ok(Wire::new(TcpStream::connect(at).await?))
    }

    /// The next message; none once the other end has closed between two.
    pub async fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.buf.len() > LONGEST {
                return Err(io::ErrorKind::InvalidData.into());
            }
            match self.stream.read_buf(&mut self.buf).await? {
                0 if self.buf.is_empty() => return Ok(None),
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                _ => {}
            }
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        let (first, head) = text.split_once("\r\n").unwrap_or((&text, ""));
        let mut message = Message { first: first.into(), head: head.into(), body: Vec::new() };
        let length: usize = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        if length > LONGEST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        self.buf.drain(..end + 4);
        while self.buf.len() < length {
            if self.stream.read_buf(&mut self.buf).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buf.drain(..length).collect();
        Ok(Some(message))
    }

    /// Answers.
    pub async fn answer(&mut self, status: u16, body: &[u8]) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
        self.stream.write_all(&[head.as_bytes(), body].concat()).await
    }

    /// Asks, and waits for the answer.
    pub async fn ask(&mut self, first: &str, headers: &str, body: &[u8]) -> io::Result<Message> {
        let head = format!("{first} HTTP/1.1\r\nHost: h\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        self.stream.write_all(&[head.as_bytes(), body].concat()).await?;
        self.read().await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
