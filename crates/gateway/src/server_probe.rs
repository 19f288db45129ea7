//! Probes of servers, which ask for their load or find out whether they have crashed.

use crate::{
    AnswerMetadata, WireDialect,
    body::BodyMemory,
    server_connection::{ServerAnswer, ServerConnection},
    servers::BackendServer,
};
use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use policy::{PlacementCandidate, ServerLoad, SignalSource};
use std::{
    io::ErrorKind,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, time::timeout};

/// Timeout of the first probe of a server in a search, including connection setup. Servers respond
/// to probes immediately; a single lost packet delays a response by more than this.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(120);
/// Number of connects without any reaction after which a server counts as crashed. A single lost
/// packet delays a connect by more than [`PROBE_TIMEOUT`].
const MAX_SILENT_CONNECTS: usize = 2;
/// Maximum size of the body of a response to a probe, in bytes.
const MAX_PROBE_BODY_BYTES: usize = 4 * 1024;

/// A server that has just responded to a probe, with the connection that it responded on.
pub(crate) struct ProbedServer {
    pub(crate) server: Arc<BackendServer>,
    pub(crate) connection: ServerConnection,
    pub(crate) candidate: PlacementCandidate,
    /// When the response to the probe arrived.
    pub(crate) probed_at: Instant,
}

/// The response to a probe.
pub(crate) struct ProbeAnswer {
    pub(crate) connection: ServerConnection,
    pub(crate) candidate: PlacementCandidate,
    warm_up_left: Duration,
}

/// A probe of one server.
pub(crate) struct ServerProbe {
    pub(crate) server: Arc<BackendServer>,
    /// Path of the health check.
    pub(crate) path: Arc<str>,
    /// Whether the server is in the entry's failure domain.
    pub(crate) is_local: bool,
    pub(crate) dialect: Arc<dyn WireDialect>,
    pub(crate) memory: Arc<BodyMemory>,
}

impl ServerProbe {
    /// Probes the server and records how it responded.
    pub(crate) async fn run(self) -> Option<ProbedServer> {
        let result = timeout(PROBE_TIMEOUT, self.send()).await;
        let now = Instant::now();
        let probed = result.ok().flatten();
        self.server.record_probe(now, probed.is_some());
        let ProbeAnswer { connection, candidate, warm_up_left } = probed?;
        self.server.record_load(now, candidate.load.is_full());
        self.server.record_warm_up(now, warm_up_left);
        Some(ProbedServer { server: self.server, connection, candidate, probed_at: now })
    }

    /// Sends the probe on an idle connection, or on a new one if there is none or it fails.
    async fn send(&self) -> Option<ProbeAnswer> {
        if let Some(connection) = self.server.take_connection(Instant::now())
            && let Some(answer) = self.send_on(connection).await
        {
            return Some(answer);
        }
        let connection = ServerConnection::open(self.server.address, PROBE_TIMEOUT).await.ok()?;
        self.send_on(connection).await
    }

    /// Returns whether nothing listens at the server's address, or another server does. A server
    /// that accepts a connection and then resets it is running: servers do so when they are full.
    pub(crate) async fn has_crashed(&self) -> bool {
        for _ in 0..MAX_SILENT_CONNECTS {
            match timeout(PROBE_TIMEOUT, TcpStream::connect(self.server.address)).await {
                Ok(Ok(stream)) => {
                    let identified = timeout(PROBE_TIMEOUT, self.identify(stream)).await;
                    return identified.ok().flatten().is_some_and(|name| !self.is_own_name(&name));
                }
                Ok(Err(error)) => return error.kind() == ErrorKind::ConnectionRefused,
                Err(_) => {}
            }
        }
        true
    }

    /// Returns the name of the server that answers on a stream.
    async fn identify(&self, stream: TcpStream) -> Option<String> {
        let mut connection = ServerConnection::on_stream(stream).await.ok()?;
        self.exchange(&mut connection).await?.1.server
    }

    fn is_own_name(&self, name: &str) -> bool {
        name == self.server.name.as_str()
    }

    /// Sends the probe and returns the answer.
    async fn exchange(
        &self,
        connection: &mut ServerConnection,
    ) -> Option<(ServerAnswer, AnswerMetadata)> {
        let request = Request::get(&*self.path)
            .header(header::HOST, self.server.address.to_string())
            .body(Full::new(Bytes::new()))
            .ok()?;
        let answer = connection.exchange(request, MAX_PROBE_BODY_BYTES, &self.memory).await.ok()?;
        if answer.body.rest.is_some() {
            return None;
        }
        let metadata = self.dialect.answer_metadata(&answer.headers);
        Some((answer, metadata))
    }

    /// Sends the probe on a connection. Returns `None` if a request cannot follow on it.
    pub(crate) async fn send_on(&self, mut connection: ServerConnection) -> Option<ProbeAnswer> {
        let (answer, metadata) = self.exchange(&mut connection).await?;
        // Ignores a response from another server or without a server name.
        if !metadata.server.as_deref().is_some_and(|name| self.is_own_name(name)) {
            return None;
        }
        let now = Instant::now();
        let signals = metadata.signals(answer.status);
        self.server.record_signals(now, SignalSource::Probe, signals);
        // The request would be sent on this connection.
        if !answer.is_keep_alive || self.server.held_until(now).is_some() {
            return None;
        }
        let warm_up_left = metadata.warm_up_left.unwrap_or_default();
        let candidate = PlacementCandidate {
            load: metadata.load.unwrap_or_else(|| ServerLoad::idle(self.server.slots)),
            is_local: self.is_local,
            is_cold: !warm_up_left.is_zero(),
            is_unhealthy: answer.status != StatusCode::OK,
            failure_share: self.server.failure_share(Instant::now()),
        };
        Some(ProbeAnswer { connection, candidate, warm_up_left })
    }
}
