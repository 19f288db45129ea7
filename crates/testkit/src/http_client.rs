//! A small HTTP/1.1 client with persistent connections, for the caller and server side of tests.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use std::{collections::HashMap, io, net::SocketAddr, sync::Arc};
use tokio::net::TcpStream;

/// An HTTP request.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// Request method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Header fields.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns a GET request.
    pub fn get(path: &str) -> Self {
        Self { method: Method::GET, path: path.to_owned(), headers: Vec::new(), body: Vec::new() }
    }

    /// Returns a POST request.
    pub fn post(path: &str, body: Vec<u8>) -> Self {
        Self { method: Method::POST, path: path.to_owned(), headers: Vec::new(), body }
    }

    /// Adds a header field.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }
}

/// A complete HTTP response.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// Returns a header field's value, or an empty string if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the body as text. Invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

type IdleConnections = HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>;

/// Sends requests over a pool of persistent connections. Clones share the pool.
#[derive(Clone, Default)]
pub struct HttpClient {
    idle: Arc<Mutex<IdleConnections>>,
}

impl HttpClient {
    /// Sends a request and returns the complete response.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened or breaks, if a header value is invalid, or if the
    /// response is incomplete.
    pub async fn send(&self, address: SocketAddr, request: HttpRequest) -> io::Result<HttpAnswer> {
        let idle = self.take_idle(address);
        let mut sender = match idle {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let mut message = Request::builder()
            .method(request.method)
            .uri(request.path)
            .header(http::header::HOST, address.to_string())
            .body(Full::new(Bytes::from(request.body)))
            .map_err(io::Error::other)?;
        for (name, value) in request.headers {
            let value = HeaderValue::from_str(&value).map_err(io::Error::other)?;
            message.headers_mut().insert(HeaderName::from_static(name), value);
        }
        let response = sender.send_request(message).await.map_err(io::Error::other)?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes().to_vec();
        if sender.is_ready() {
            self.idle.lock().entry(address).or_default().push(sender);
        }
        Ok(HttpAnswer { status: parts.status.as_u16(), headers: parts.headers, body })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut connections = self.idle.lock();
        let idle = connections.get_mut(&address)?;
        while let Some(sender) = idle.pop() {
            if sender.is_ready() && !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }
}

async fn connect(address: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}
