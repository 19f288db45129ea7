//! Idle connections to servers, by address.

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

/// Idle connections kept for one server.
const MAX_IDLE: usize = 32;
/// Time after which an idle connection is closed, shorter than servers commonly keep theirs.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// Number of independently locked parts.
const SHARD_COUNT: usize = 16;

pub(crate) struct IdleConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) gate: Arc<SendGate>,
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

    pub(crate) fn take(&self, address: SocketAddr) -> Option<IdleConnection> {
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

    pub(crate) fn clear(&self, address: SocketAddr) {
        self.shard(address).lock().remove(&address);
    }

    fn shard(&self, address: SocketAddr) -> &Mutex<HashMap<SocketAddr, Vec<IdleConnection>>> {
        &self.shards[usize::from(address.port()) % SHARD_COUNT]
    }
}
