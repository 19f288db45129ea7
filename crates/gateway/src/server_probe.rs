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
use runtime::DecisionCounters;
use std::{
    io::{self, ErrorKind},
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
struct ProbeAnswer {
    connection: ServerConnection,
    candidate: PlacementCandidate,
    warm_up_left: Duration,
}

/// The reason why a probe found no server for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeFailure {
    /// The server's address refused the connection.
    Refused,
    /// The connection could not be opened for another reason.
    NotConnected,
    /// The connection broke off before a whole response had arrived.
    BrokenOff,
    /// Another server responded, or one without a name.
    OtherServer,
    /// The server responded, but wants no request or closes the connection.
    NotUsable,
    /// Nothing arrived within [`PROBE_TIMEOUT`].
    TimedOut,
}

impl ProbeFailure {
    /// Returns the name of the failure in the counters.
    fn name(self) -> &'static str {
        match self {
            Self::Refused => "connect-refused",
            Self::NotConnected => "connect-failed",
            Self::BrokenOff => "broken-off",
            Self::OtherServer => "other-server",
            Self::NotUsable => "not-usable",
            Self::TimedOut => "timed-out",
        }
    }
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
    /// Counts the ends of probes.
    pub(crate) counters: DecisionCounters,
}

impl ServerProbe {
    /// Probes the server and records how it responded.
    pub(crate) async fn run(self) -> Option<ProbedServer> {
        let result = timeout(PROBE_TIMEOUT, self.send()).await;
        let now = Instant::now();
        let result = result.unwrap_or(Err(ProbeFailure::TimedOut));
        self.counters.count(result.as_ref().err().map_or("answered", |failure| failure.name()));
        self.server.record_probe(now, result.is_ok());
        let ProbeAnswer { connection, candidate, warm_up_left } = result.ok()?;
        self.server.record_load(now, candidate.load.is_full());
        self.server.record_warm_up(now, warm_up_left);
        Some(ProbedServer { server: self.server, connection, candidate, probed_at: now })
    }

    /// Sends the probe on an idle connection, or on a new one if there is none or it fails.
    async fn send(&self) -> Result<ProbeAnswer, ProbeFailure> {
        if let Some(connection) = self.server.take_connection(Instant::now())
            && let Ok(answer) = self.send_on(connection).await
        {
            return Ok(answer);
        }
        let connection = ServerConnection::open(self.server.address).await;
        self.send_on(connection.map_err(connect_failure)?).await
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
    async fn send_on(&self, mut connection: ServerConnection) -> Result<ProbeAnswer, ProbeFailure> {
        let exchanged = self.exchange(&mut connection).await;
        let (answer, metadata) = exchanged.ok_or(ProbeFailure::BrokenOff)?;
        // Ignores a response from another server or without a server name.
        if !metadata.server.as_deref().is_some_and(|name| self.is_own_name(name)) {
            return Err(ProbeFailure::OtherServer);
        }
        let now = Instant::now();
        let signals = metadata.signals(answer.status);
        self.server.record_signals(now, SignalSource::Probe, signals);
        // The request would be sent on this connection.
        if !answer.is_keep_alive || self.server.held_until(now).is_some() {
            return Err(ProbeFailure::NotUsable);
        }
        let warm_up_left = metadata.warm_up_left.unwrap_or_default();
        let candidate = PlacementCandidate {
            load: metadata.load.unwrap_or_else(|| ServerLoad::idle(self.server.slots)),
            is_local: self.is_local,
            is_cold: !warm_up_left.is_zero(),
            is_unhealthy: answer.status != StatusCode::OK,
            failure_share: self.server.failure_share(Instant::now()),
        };
        Ok(ProbeAnswer { connection, candidate, warm_up_left })
    }

    /// Sends the probe once more on the connection on which the server has responded before.
    pub(crate) async fn repeat_on(self, connection: ServerConnection) -> Option<ProbedServer> {
        let ProbeAnswer { connection, candidate, .. } = self.send_on(connection).await.ok()?;
        Some(ProbedServer { server: self.server, connection, candidate, probed_at: Instant::now() })
    }
}

/// Returns the failure that an error of opening a connection means.
fn connect_failure(error: io::Error) -> ProbeFailure {
    match error.kind() {
        ErrorKind::ConnectionRefused => ProbeFailure::Refused,
        _ => ProbeFailure::NotConnected,
    }
}
