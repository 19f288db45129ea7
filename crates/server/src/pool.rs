//! Pool of idle connections to servers, keyed by address.

use crate::guarded_stream::SendGate;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use parking_lot::Mutex;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Maximum number of idle connections per server.
const MAX_IDLE_PER_SERVER: usize = 32;
/// Time after which an idle connection is no longer reused; shorter than the common keep-alive
/// timeout of servers.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// Number of shards, each with its own lock.
const SHARD_COUNT: usize = 16;

/// A connection that is not in use, with the gate of its stream.
pub(crate) struct IdleConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) gate: Arc<SendGate>,
    idle_since: Instant,
}

/// Idle connections, sharded by the port of the server's address.
#[derive(Default)]
pub(crate) struct IdlePool {
    shards: [Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>; SHARD_COUNT],
}

impl IdlePool {
    /// Returns a connection to the pool. Drops it if it is closed or the server already has
    /// [`MAX_IDLE_PER_SERVER`] idle connections.
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
        let connections = shard.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(IdleConnection { sender, gate, idle_since: Instant::now() });
        }
    }

    /// Takes the most recently used connection to `address` that is still usable. Drops the
    /// unusable connections found before it.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<IdleConnection> {
        let mut shard = self.shard(address).lock();
        let connections = shard.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let is_usable = connection.sender.is_ready()
                && !connection.sender.is_closed()
                && connection.idle_since.elapsed() < MAX_IDLE_TIME;
            if is_usable {
                return Some(connection);
            }
        }
        None
    }

    /// Drops all idle connections to `address`.
    pub(crate) fn clear(&self, address: SocketAddr) {
        self.shard(address).lock().remove(&address);
    }

    fn shard(&self, address: SocketAddr) -> &Mutex<HashMap<SocketAddr, Vec<IdleConnection>>> {
        &self.shards[usize::from(address.port()) % SHARD_COUNT]
    }
}
