//! Idle connections to servers, by address.

use crate::{
    ServerConnection, ServerTransport, TransportError,
    connection::HttpConnection,
    guarded_stream::{GuardedStream, SendGate},
};
use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use parking_lot::Mutex;
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, time::timeout_at};

/// Idle connections kept for one server.
const MAX_IDLE: usize = 32;
/// Time after which an idle connection is closed, shorter than servers commonly keep theirs.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// Number of independently locked parts.
const SHARD_COUNT: usize = 16;
/// The longest wait for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    gate: Arc<SendGate>,
    since: Instant,
}

/// Idle connections, in shards under their own locks.
#[derive(Default)]
pub(crate) struct IdlePool {
    shards: [Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>; SHARD_COUNT],
}

impl IdlePool {
    pub(crate) fn put(
        &self,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        gate: Arc<SendGate>,
    ) {
        if sender.is_closed() {
            return;
        }
        let mut shard = self.shard(address).lock();
        let idle = shard.entry(address).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(IdleConnection { sender, gate, since: Instant::now() });
        }
    }

    fn take(&self, address: SocketAddr) -> Option<IdleConnection> {
        let mut shard = self.shard(address).lock();
        let idle = shard.get_mut(&address)?;
        while let Some(connection) = idle.pop() {
            let is_usable = connection.sender.is_ready()
                && !connection.sender.is_closed()
                && connection.since.elapsed() < MAX_IDLE_TIME;
            if is_usable {
                return Some(connection);
            }
        }
        None
    }

    fn clear(&self, address: SocketAddr) {
        self.shard(address).lock().remove(&address);
    }

    fn shard(&self, address: SocketAddr) -> &Mutex<HashMap<SocketAddr, Vec<IdleConnection>>> {
        &self.shards[usize::from(address.port()) % SHARD_COUNT]
    }
}

/// Reaches servers over HTTP/1.1.
#[derive(Default)]
pub struct HttpTransport {
    pool: Arc<IdlePool>,
}

#[async_trait]
impl ServerTransport for HttpTransport {
    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Box<dyn ServerConnection>, TransportError> {
        let pool = self.pool.clone();
        if let Some(idle) = pool.take(address) {
            let (sender, gate) = (idle.sender, idle.gate);
            return Ok(Box::new(HttpConnection { address, sender, gate, pool }));
        }
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let (sender, gate) = timeout_at(deadline.into(), open(address))
            .await
            .map_err(|_| TransportError::NotConnected("timed out".to_owned()))??;
        Ok(Box::new(HttpConnection { address, sender, gate, pool }))
    }

    fn forget(&self, address: SocketAddr) {
        self.pool.clear(address);
    }
}

async fn open(
    address: SocketAddr,
) -> Result<(SendRequest<Full<Bytes>>, Arc<SendGate>), TransportError> {
    let stream = TcpStream::connect(address).await.map_err(|error| match error.kind() {
        io::ErrorKind::ConnectionRefused => TransportError::Refused,
        _ => TransportError::NotConnected(error.to_string()),
    })?;
    let not_connected =
        |error: &dyn std::error::Error| TransportError::NotConnected(error.to_string());
    stream.set_nodelay(true).map_err(|error| not_connected(&error))?;
    let gate = Arc::new(SendGate::default());
    let (sender, connection) = http1::handshake(GuardedStream::new(stream, gate.clone()))
        .await
        .map_err(|error| not_connected(&error))?;
    tokio::spawn(async move {
        // The sender reports errors; the task only drives the connection.
        let _ = connection.await;
    });
    Ok((sender, gate))
}
