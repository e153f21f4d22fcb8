//! HTTP/1.1 for stand-ins: servers that can fall silent or hang up, and clients that keep connections.

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

/// A response with a body.
pub(crate) fn response(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// Serves one connection until it ends. `hang_up` ends it at once, whatever is under way.
pub(crate) async fn serve<F, R>(stream: TcpStream, handler: F, hang_up: impl Future<Output = ()>)
where
    F: Fn(Request<Incoming>) -> R,
    // None: the connection breaks without an answer.
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
        // A client that hangs up, or a stand-in that does, is part of the day.
        _ = connection => {}
        () = hang_up => {}
    }
}

/// The whole body of a request; none if it breaks off.
pub(crate) async fn read_body(body: Incoming) -> Option<Bytes> {
    body.collect().await.ok().map(|b| b.to_bytes())
}

/// A connection of a client.
#[derive(Debug)]
pub(crate) struct ClientConnection(SendRequest<Body>);

impl ClientConnection {
    pub(crate) async fn open(at: SocketAddr) -> io::Result<ClientConnection> {
        let stream = TcpStream::connect(at).await?;
        stream.set_nodelay(true)?;
        let handshake_result = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake_result.map_err(io::Error::other)?;
        spawn_local(async move {
            let _ = connection.await;
        });
        Ok(ClientConnection(sender))
    }
    /// Whether it can take a request now.
    pub(crate) fn is_ready(&self) -> bool {
        self.0.is_ready() && !self.0.is_closed()
    }
    pub(crate) async fn send(&mut self, request: Request<Body>) -> hyper::Result<Response<Incoming>> {
        self.0.ready().await?;
        self.0.send_request(request).await
    }
}

/// A request with a body.
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
    // All parts are made by this crate; what cannot be built would show as an empty request at once.
    builder.body(Full::new(Bytes::copy_from_slice(body.as_bytes()))).unwrap_or_default()
}

/// A short call and the status of its answer; none without one.
pub(crate) async fn request_status(
    at: SocketAddr,
    method: &str,
    path: &str,
    timeout: Duration,
) -> Option<u16> {
    let exchange = async {
        let mut connection = ClientConnection::open(at).await.ok()?;
        let response = connection.send(request(method, path, at, &[], "")).await.ok()?;
        Some(response.status().as_u16())
    };
    tokio::time::timeout(timeout, exchange).await.ok().flatten()
}

/// Binds to a port of the kernel's choice at a loopback address. Each stand-in has an address of its own, so that a
/// port which is given up and bound again is not taken by anyone's outgoing connection meanwhile.
pub(crate) async fn bind(network: u8, row: usize, column: usize) -> io::Result<TcpListener> {
    let (row, column) = ((row % 250) as u8, column);
    let ip = [127, network, row, (column % 250) as u8 + 1];
    TcpListener::bind(SocketAddr::from((ip, 0))).await
}

/// A hang-up that never comes.
pub(crate) async fn never() {
    std::future::pending().await
}

/// Never returns.
pub(crate) async fn wait_forever() -> Infallible {
    std::future::pending().await
}
