//! HTTP/1.1 servers that can stop responding or disconnect, and clients that keep connections open.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

pub(crate) type Body = Full<Bytes>;

pub(crate) fn response(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// Serves one connection until it ends. It is closed at once when `disconnect` completes.
pub(crate) async fn serve<F, R>(stream: TcpStream, handler: F, hang_up: impl Future<Output = ()>)
where
    F: Fn(Request<Incoming>) -> R,
    // `None` breaks the connection without a response.
    R: Future<Output = Option<Response<Body>>>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let response = handler(request);
        async move { response.await.ok_or(io::Error::from(io::ErrorKind::ConnectionReset)) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // Disconnects are part of a scenario, so errors of the connection are ignored.
        _ = connection => {}
        () = hang_up => {}
    }
}

/// Reads the whole body of a message. Returns `None` if the connection breaks before its end.
pub(crate) async fn read_body(body: Incoming) -> Option<Bytes> {
    body.collect().await.ok().map(|b| b.to_bytes())
}

/// A client's connection to a server.
#[derive(Debug)]
pub(crate) struct ClientConnection(SendRequest<Body>);

impl ClientConnection {
    pub(crate) async fn open(address: SocketAddr) -> io::Result<ClientConnection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let handshake_result = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake_result.map_err(io::Error::other)?;
        spawn_local(async move {
            let _ = connection.await;
        });
        Ok(ClientConnection(sender))
    }
    /// Whether the connection can take a request now.
    pub(crate) fn is_ready(&self) -> bool {
        self.0.is_ready() && !self.0.is_closed()
    }
    pub(crate) async fn send(&mut self, request: Request<Body>) -> hyper::Result<Response<Incoming>> {
        self.0.ready().await?;
        self.0.send_request(request).await
    }
}

/// Builds a request with a body.
pub(crate) fn request(
    method: &str,
    path: &str,
    host: SocketAddr,
    headers: &[(&str, String)],
    body: &str,
) -> Request<Body> {
    let mut builder = Request::builder().method(method).uri(path).header("Host", host.to_string());
    for (name, value) in headers {
        builder = builder.header(*name, value);
    }
    // All parts come from this crate and are valid; a request that cannot be built becomes an empty one.
    builder.body(Full::new(Bytes::copy_from_slice(body.as_bytes()))).unwrap_or_default()
}

/// Sends a request without a body on a new connection. Returns the status, or `None` if there is no response in time.
pub(crate) async fn request_status(
    address: SocketAddr,
    method: &str,
    path: &str,
    timeout: Duration,
) -> Option<u16> {
    let exchange = async {
        let mut connection = ClientConnection::open(address).await.ok()?;
        let response = connection.send(request(method, path, address, &[], "")).await.ok()?;
        Some(response.status().as_u16())
    };
    tokio::time::timeout(timeout, exchange).await.ok().flatten()
}

/// Binds to a free port at a loopback address that depends on `network`, `row` and `column`. With an address for each
/// listener, a port that is released and bound again cannot be taken by an outgoing connection in between.
pub(crate) async fn bind(network: u8, row: usize, column: usize) -> io::Result<TcpListener> {
    let (row, column) = ((row % 250) as u8, column);
    let ip = [127, network, row, (column % 250) as u8 + 1];
    TcpListener::bind(SocketAddr::from((ip, 0))).await
}

pub(crate) async fn never() {
    std::future::pending().await
}

pub(crate) async fn wait_forever() -> Infallible {
    std::future::pending().await
}
