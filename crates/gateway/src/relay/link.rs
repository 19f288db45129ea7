//! The connections to one other entry, and what it was good for.

use super::message::{RELAY_FIELD, RelayAnswer, RelayQuestion, encode, relay_answer};
use crate::{
    body::BodyMemory,
    server_connection::{ConnectionOwner, ServerAnswer, ServerConnection},
};
use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::Full;
use parking_lot::Mutex;
use policy::{RelayRank, RelayRecord};
use smallvec::SmallVec;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::timeout;
use types::{DomainName, EntryName, ServiceName};

/// Maximum number of idle connections to one entry.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Maximum size of the body of an answer to a question, in bytes.
const MAX_ANSWER_BODY_BYTES: usize = 4 * 1024;

/// Another entry.
pub(crate) struct EntryLink {
    pub(crate) name: EntryName,
    pub(crate) domain: DomainName,
    /// Where the entry accepts requests of other entries.
    pub(crate) address: SocketAddr,
    state: Mutex<LinkState>,
}

#[derive(Default)]
struct LinkState {
    idle: SmallVec<[ServerConnection; 2]>,
    records: HashMap<ServiceName, RelayRecord>,
}

impl EntryLink {
    pub(crate) fn new(name: EntryName, domain: DomainName, address: SocketAddr) -> Self {
        Self { name, domain, address, state: Mutex::default() }
    }

    /// Records whether the entry could help with a service.
    pub(crate) fn record(&self, now: Instant, service: &ServiceName, is_useful: bool) {
        let mut state = self.state.lock();
        state.records.entry(service.clone()).or_default().record(now, is_useful);
    }

    /// Returns the rank of the entry for a service.
    pub(crate) fn rank(&self, now: Instant, service: &ServiceName, is_remote: bool) -> RelayRank {
        let record = self.state.lock().records.get(service).copied().unwrap_or_default();
        record.rank(now, is_remote)
    }

    /// Asks the entry a question. Returns its answer with the connection that it arrived on, which
    /// may be used again. Asks on a new connection if an idle one fails or is silent for half of
    /// `limit`.
    pub(crate) async fn ask(
        &self,
        question: &RelayQuestion,
        limit: Duration,
        memory: &Arc<BodyMemory>,
    ) -> Option<(RelayAnswer, ServerConnection)> {
        let question = encode(question)?;
        let asked = async {
            if let Some(connection) = self.take_connection(Instant::now()) {
                let asked_on = self.ask_on(connection, question.clone(), memory);
                match timeout(limit / 2, asked_on).await {
                    Ok(Some(answered)) => return Some(answered),
                    Ok(None) => {}
                    // The other idle connections are probably silent too.
                    Err(_) => self.state.lock().idle.clear(),
                }
            }
            let connection = ServerConnection::open(self.address).await.ok()?;
            self.ask_on(connection, question, memory).await
        };
        timeout(limit, asked).await.ok().flatten()
    }

    async fn ask_on(
        &self,
        mut connection: ServerConnection,
        question: HeaderValue,
        memory: &Arc<BodyMemory>,
    ) -> Option<(RelayAnswer, ServerConnection)> {
        let request = Request::get("/")
            .header(header::HOST, self.address.to_string())
            .header(RELAY_FIELD, question)
            .body(Full::new(Bytes::new()))
            .ok()?;
        let answer: ServerAnswer =
            connection.exchange(request, MAX_ANSWER_BODY_BYTES, memory).await.ok()?;
        let is_usable = answer.is_keep_alive && answer.body.rest.is_none();
        let reported = relay_answer(&answer.headers)?;
        is_usable.then_some((reported, connection))
    }

    fn take_connection(&self, now: Instant) -> Option<ServerConnection> {
        let mut state = self.state.lock();
        state.idle.retain(|connection| connection.is_usable(now));
        state.idle.pop()
    }
}

impl ConnectionOwner for EntryLink {
    fn put_connection(&self, connection: ServerConnection) {
        let mut state = self.state.lock();
        if state.idle.len() >= MAX_IDLE_CONNECTIONS {
            state.idle.remove(0);
        }
        state.idle.push(connection);
    }

    fn record_broken_answer(&self, _now: Instant) {
        // Where an answer breaks off, the other entry records it against the server.
    }

    fn name(&self) -> &str {
        self.name.as_str()
    }
}
