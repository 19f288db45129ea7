//! Finds a server for a request: asks a few for their load and takes the best.

use crate::{
    WireDialect,
    body::BodyMemory,
    line::ServerLine,
    servers::{BackendServer, ServerTable},
};
use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use policy::{PlacementCandidate, PlacementNeed, ServerLoad, cheapest_candidate, owns_cold_server};
use rand::seq::SliceRandom;
use smallvec::SmallVec;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{task::JoinHandle, time::timeout};
use types::{ClusterView, DomainName, EntryName, PoolSpec, ServerName};

/// Servers asked at the same time.
const PROBES_AT_ONCE: usize = 3;
/// Servers asked for one request in all.
const MAX_PROBES: usize = 12;
/// Time allowed for a probe, the opening of a connection included. Servers answer probes at once;
/// a lost packet alone costs more than this.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);

/// A server that has just answered a probe, with the connection on which it did.
pub(crate) struct ProbedServer {
    pub(crate) server: Arc<BackendServer>,
    pub(crate) line: ServerLine,
    pub(crate) candidate: PlacementCandidate,
    pub(crate) probed: Instant,
}

/// Why no server was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlaceError {
    /// The service has no server that may get work.
    NoServers,
    /// No server answered.
    NoneAnswered,
    /// All servers that answered are full, or cold without room.
    Full,
}

/// What a request needs of its server.
pub(crate) struct PlaceRequest<'a> {
    pub(crate) view: &'a ClusterView,
    pub(crate) pool: &'a PoolSpec,
    pub(crate) need: PlacementNeed,
    pub(crate) excluded: &'a [ServerName],
}

/// Places requests of one entry.
pub(crate) struct ServerPlacer {
    pub(crate) entry: EntryName,
    pub(crate) domain: DomainName,
    pub(crate) table: Arc<ServerTable>,
    pub(crate) dialect: Arc<dyn WireDialect>,
    pub(crate) memory: Arc<BodyMemory>,
}

impl ServerPlacer {
    /// Returns a server for a request, and how many were asked.
    pub(crate) async fn place(
        &self,
        request: &PlaceRequest<'_>,
    ) -> Result<(ProbedServer, usize), PlaceError> {
        let waves = self.waves(request)?;
        let mut answered: Vec<ProbedServer> = Vec::new();
        let (mut asked, mut has_refused_cold) = (0, false);
        for wave in waves {
            let mut probes: FuturesUnordered<JoinHandle<_>> =
                wave.iter().map(|server| self.start_probe(server, request)).collect();
            asked += probes.len();
            while let Some(result) = probes.next().await {
                let Ok(Some(probed)) = result else {
                    continue;
                };
                if probed.candidate.is_cold && !self.may_use_cold(&probed.server, request) {
                    has_refused_cold = true;
                    release(probed);
                    continue;
                }
                let is_good = probed.candidate.is_good_enough(&request.need);
                answered.push(probed);
                if is_good {
                    break;
                }
            }
            // Probes that are still on their way give their connections back by themselves.
            tokio::spawn(async move {
                while let Some(result) = probes.next().await {
                    if let Ok(Some(probed)) = result {
                        release(probed);
                    }
                }
            });
            if let Some(index) = self.choose(&answered, request)
                && answered[index].candidate.is_acceptable(&request.need, asked)
            {
                return self.take(answered, index, request).map(|probed| (probed, asked));
            }
        }
        match self.choose(&answered, request) {
            Some(index) => self.take(answered, index, request).map(|probed| (probed, asked)),
            None => {
                let is_full = has_refused_cold || !answered.is_empty();
                answered.into_iter().for_each(release);
                Err(if is_full { PlaceError::Full } else { PlaceError::NoneAnswered })
            }
        }
    }

    fn choose(&self, answered: &[ProbedServer], request: &PlaceRequest<'_>) -> Option<usize> {
        let candidates: SmallVec<[PlacementCandidate; 8]> =
            answered.iter().map(|probed| probed.candidate).collect();
        cheapest_candidate(&candidates, &request.need)
    }

    fn take(
        &self,
        mut answered: Vec<ProbedServer>,
        index: usize,
        request: &PlaceRequest<'_>,
    ) -> Result<ProbedServer, PlaceError> {
        let chosen = answered.swap_remove(index);
        answered.into_iter().for_each(release);
        let rate = request.pool.warm_up_rate_milli;
        if chosen.candidate.is_cold && !chosen.server.take_cold(Instant::now(), rate) {
            release(chosen);
            return Err(PlaceError::Full);
        }
        Ok(chosen)
    }

    /// Returns the servers to ask, in groups: those of the own failure domain first, those that
    /// did not answer lately last.
    fn waves(
        &self,
        request: &PlaceRequest<'_>,
    ) -> Result<Vec<SmallVec<[Arc<BackendServer>; 4]>>, PlaceError> {
        let servers = self.table.servers(&request.pool.service);
        let now = Instant::now();
        let mut eligible: Vec<Arc<BackendServer>> =
            servers.iter().filter(|s| !request.excluded.contains(&s.name)).cloned().collect();
        if eligible.is_empty() {
            return Err(PlaceError::NoServers);
        }
        eligible.shuffle(&mut rand::rng());
        let rank = |server: &Arc<BackendServer>| {
            let is_failing = server.failure_share(now) > 0.3;
            (server.is_paused(now), is_failing, server.domain != self.domain)
        };
        eligible.sort_by_key(rank);
        let awake = eligible.iter().filter(|server| !server.is_paused(now)).count();
        // Servers that do not answer are asked only where too few others are left.
        eligible.truncate(awake.max(PROBES_AT_ONCE).min(MAX_PROBES));
        let mut waves: Vec<SmallVec<[Arc<BackendServer>; 4]>> = Vec::new();
        for server in eligible {
            match waves.last_mut() {
                Some(wave)
                    if wave.len() < PROBES_AT_ONCE
                        && (wave[0].domain == self.domain) == (server.domain == self.domain) =>
                {
                    wave.push(server);
                }
                _ => waves.push(SmallVec::from_iter([server])),
            }
        }
        Ok(waves)
    }

    fn may_use_cold(&self, server: &BackendServer, request: &PlaceRequest<'_>) -> bool {
        let entries = request.view.entries().filter(|entry| entry.serving).map(|e| &e.name);
        server.has_cold_room(Instant::now()) && owns_cold_server(&self.entry, entries, &server.name)
    }

    fn start_probe(
        &self,
        server: &Arc<BackendServer>,
        request: &PlaceRequest<'_>,
    ) -> JoinHandle<Option<ProbedServer>> {
        let probe = ServerProbe {
            server: server.clone(),
            path: request.pool.health_path.clone(),
            is_local: server.domain == self.domain,
            dialect: self.dialect.clone(),
            memory: self.memory.clone(),
        };
        tokio::spawn(probe.run())
    }
}

/// Gives the connection of a server that was not chosen back.
fn release(probed: ProbedServer) {
    probed.server.put_line(probed.line);
}

struct ServerProbe {
    server: Arc<BackendServer>,
    path: Arc<str>,
    is_local: bool,
    dialect: Arc<dyn WireDialect>,
    memory: Arc<BodyMemory>,
}

impl ServerProbe {
    async fn run(self) -> Option<ProbedServer> {
        let result = timeout(PROBE_TIMEOUT, self.ask()).await;
        let now = Instant::now();
        let probed = result.ok().flatten();
        self.server.note_probe(now, probed.is_some());
        let (line, candidate) = probed?;
        Some(ProbedServer { server: self.server, line, candidate, probed: now })
    }

    /// Asks on an idle connection, or on a fresh one where that has gone.
    async fn ask(&self) -> Option<(ServerLine, PlacementCandidate)> {
        if let Some(line) = self.server.take_line(Instant::now())
            && let Some(answer) = self.ask_on(line).await
        {
            return Some(answer);
        }
        let line = ServerLine::open(self.server.address, PROBE_TIMEOUT).await.ok()?;
        self.ask_on(line).await
    }

    async fn ask_on(&self, mut line: ServerLine) -> Option<(ServerLine, PlacementCandidate)> {
        let request = Request::get(&*self.path)
            .header(header::HOST, self.server.address.to_string())
            .body(Full::new(Bytes::new()))
            .ok()?;
        let answer = line.exchange(request, &self.memory).await.ok()?;
        let signs = self.dialect.answer_signs(&answer.headers);
        // Another server's answer, or a late one to an earlier request, says nothing.
        if !answer.is_kept || signs.server.as_deref() != Some(self.server.name.as_str()) {
            return None;
        }
        let candidate = PlacementCandidate {
            load: signs.load.unwrap_or_else(|| ServerLoad::idle(self.server.slots)),
            is_local: self.is_local,
            is_cold: signs.warm_up_left.is_some_and(|left| !left.is_zero()),
            is_ill: answer.status != StatusCode::OK,
            failure_share: self.server.failure_share(Instant::now()),
        };
        Some((line, candidate))
    }
}
