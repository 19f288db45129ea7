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
use tokio::{
    task::JoinHandle,
    time::{timeout, timeout_at},
};
use types::{ClusterView, DomainName, EntryName, PoolSpec, ServerName};

/// Servers asked at the same time.
const PROBES_AT_ONCE: usize = 3;
/// Servers asked for one request in all.
const MAX_PROBES: usize = 9;
/// Time allowed for a probe, the opening of a connection included. Servers answer probes at once;
/// a lost packet alone costs more than this.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);
/// Time after which the next group is asked although the one before has not answered. Answers to
/// probes take up to 10 ms with the connection's opening.
const GROUP_PATIENCE: Duration = Duration::from_millis(25);
/// Age above which a report of load is too old to act on; load shifts within milliseconds.
const MAX_REPORT_AGE: Duration = Duration::from_millis(15);

/// Servers of one service and one side of the failure domain's border that an entry asks before
/// others. Enough to find one with room, few enough to keep connections to.
const PREFERRED_SERVERS: usize = 12;

/// The order in which servers are asked, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ServerRank {
    /// It did not answer lately.
    is_paused: bool,
    /// It is cold, and other entries may use it.
    is_cold: bool,
    /// It failed many of the entry's last requests.
    is_failing: bool,
    /// It was full a moment ago.
    is_full: bool,
    /// It is in another failure domain.
    is_remote: bool,
    /// The entry seldom uses it.
    is_unusual: bool,
}

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
    ///
    /// Servers are asked in groups. The next group follows when the one before has answered, or
    /// takes longer than answers usually do; a server that is good enough ends the search.
    pub(crate) async fn place(
        &self,
        request: &PlaceRequest<'_>,
    ) -> Result<(ProbedServer, usize), PlaceError> {
        let mut groups = self.groups(request)?.into_iter();
        let mut search = PlaceSearch::default();
        loop {
            let Some(group) = groups.next() else {
                return self.finish(search, request).await;
            };
            search.asked += group.len();
            search.probes.extend(group.iter().map(|server| self.start_probe(server, request)));
            let has_good = self.collect(&mut search, request, Some(GROUP_PATIENCE)).await;
            let is_done = has_good || self.has_acceptable(&search, request);
            if is_done && let Some(probed) = self.take_best(&mut search, request).await {
                let asked = search.asked;
                search.release();
                return Ok((probed, asked));
            }
        }
    }

    /// Takes the best of all that answer, once all were asked.
    async fn finish(
        &self,
        mut search: PlaceSearch,
        request: &PlaceRequest<'_>,
    ) -> Result<(ProbedServer, usize), PlaceError> {
        if search.answered.is_empty() {
            self.collect(&mut search, request, None).await;
        }
        let taken = self.take_best(&mut search, request).await;
        let (asked, has_answers) = (search.asked, search.has_answers);
        search.release();
        match taken {
            Some(probed) => Ok((probed, asked)),
            None if has_answers => Err(PlaceError::Full),
            None => Err(PlaceError::NoneAnswered),
        }
    }

    /// Takes in answers until one is good enough, all have come, or the time is up. Returns whether
    /// one is good enough.
    async fn collect(
        &self,
        search: &mut PlaceSearch,
        request: &PlaceRequest<'_>,
        patience: Option<Duration>,
    ) -> bool {
        let until = Instant::now() + patience.unwrap_or(PROBE_TIMEOUT);
        while let Ok(Some(result)) = timeout_at(until.into(), search.probes.next()).await {
            let Ok(Some(probed)) = result else {
                continue;
            };
            search.has_answers = true;
            if probed.candidate.is_cold && !self.may_use_cold(&probed.server, request) {
                release(probed);
                continue;
            }
            let is_good = probed.candidate.is_good_enough(&request.need);
            search.answered.push(probed);
            if is_good || (patience.is_none() && !search.answered.is_empty()) {
                return is_good;
            }
        }
        false
    }

    fn has_acceptable(&self, search: &PlaceSearch, request: &PlaceRequest<'_>) -> bool {
        let is_acceptable =
            |probed: &ProbedServer| probed.candidate.is_acceptable(&request.need, search.asked);
        search.answered.iter().any(is_acceptable)
    }

    /// Takes the cheapest server that has room. One that answered some time ago is asked again.
    async fn take_best(
        &self,
        search: &mut PlaceSearch,
        request: &PlaceRequest<'_>,
    ) -> Option<ProbedServer> {
        loop {
            let candidates: SmallVec<[PlacementCandidate; 8]> =
                search.answered.iter().map(|probed| probed.candidate).collect();
            let index = cheapest_candidate(&candidates, &request.need)?;
            let chosen = search.answered.swap_remove(index);
            if chosen.probed.elapsed() > MAX_REPORT_AGE {
                if let Some(fresh) = self.ask_again(chosen, request).await {
                    search.answered.push(fresh);
                }
                continue;
            }
            let rate = request.pool.warm_up_rate_milli;
            if chosen.candidate.is_cold && !chosen.server.take_cold(Instant::now(), rate) {
                release(chosen);
                continue;
            }
            return Some(chosen);
        }
    }

    async fn ask_again(
        &self,
        stale: ProbedServer,
        request: &PlaceRequest<'_>,
    ) -> Option<ProbedServer> {
        let probe = self.probe(&stale.server, request);
        let asked = timeout(GROUP_PATIENCE, probe.ask_on(stale.line)).await;
        let ProbeAnswer { line, candidate, .. } = asked.ok().flatten()?;
        Some(ProbedServer { server: stale.server, line, candidate, probed: Instant::now() })
    }

    /// Returns the servers to ask, in groups: those of the own failure domain first, those that
    /// did not answer lately last.
    fn groups(
        &self,
        request: &PlaceRequest<'_>,
    ) -> Result<Vec<SmallVec<[Arc<BackendServer>; 4]>>, PlaceError> {
        let servers = self.table.servers(&request.pool.service);
        let now = Instant::now();
        let mut preferred = [0, 0];
        let mut ranked = Vec::with_capacity(servers.len());
        for server in servers.iter().filter(|s| !request.excluded.contains(&s.name)) {
            let is_remote = server.domain != self.domain;
            let count = &mut preferred[usize::from(is_remote)];
            *count += 1;
            let rank = ServerRank {
                is_paused: server.is_paused(now),
                is_cold: server.is_known_cold(now) && !self.may_use_cold(server, request),
                is_failing: server.failure_share(now) > 0.3,
                is_full: server.is_lately_full(now),
                is_remote,
                is_unusual: *count > PREFERRED_SERVERS,
            };
            ranked.push((rank, server.clone()));
        }
        if ranked.is_empty() {
            return Err(PlaceError::NoServers);
        }
        ranked.shuffle(&mut rand::rng());
        ranked.sort_by_key(|(rank, _)| *rank);
        let usable = ranked.iter().filter(|(rank, _)| !rank.is_paused && !rank.is_cold).count();
        // Servers that do not answer, or are cold for others to use, are asked only where too few
        // others are left.
        ranked.truncate(usable.clamp(PROBES_AT_ONCE, MAX_PROBES));
        let eligible = ranked.into_iter().map(|(_, server)| server);
        let mut groups: Vec<SmallVec<[Arc<BackendServer>; 4]>> = Vec::new();
        for server in eligible {
            match groups.last_mut() {
                Some(group)
                    if group.len() < PROBES_AT_ONCE
                        && (group[0].domain == self.domain) == (server.domain == self.domain) =>
                {
                    group.push(server);
                }
                _ => groups.push(SmallVec::from_iter([server])),
            }
        }
        Ok(groups)
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
        tokio::spawn(self.probe(server, request).run())
    }

    fn probe(&self, server: &Arc<BackendServer>, request: &PlaceRequest<'_>) -> ServerProbe {
        ServerProbe {
            server: server.clone(),
            path: request.pool.health_path.clone(),
            is_local: server.domain == self.domain,
            dialect: self.dialect.clone(),
            memory: self.memory.clone(),
        }
    }
}

/// The state of one search for a server.
#[derive(Default)]
struct PlaceSearch {
    probes: FuturesUnordered<JoinHandle<Option<ProbedServer>>>,
    answered: Vec<ProbedServer>,
    asked: usize,
    has_answers: bool,
}

impl PlaceSearch {
    /// Gives all connections back, those of probes that are still on their way when they end.
    fn release(mut self) {
        self.answered.into_iter().for_each(release);
        tokio::spawn(async move {
            while let Some(result) = self.probes.next().await {
                if let Ok(Some(probed)) = result {
                    release(probed);
                }
            }
        });
    }
}

/// Gives the connection of a server that was not chosen back.
fn release(probed: ProbedServer) {
    probed.server.put_line(probed.line);
}

/// What a server answered.
struct ProbeAnswer {
    line: ServerLine,
    candidate: PlacementCandidate,
    warm_up_left: Duration,
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
        let ProbeAnswer { line, candidate, warm_up_left } = probed?;
        self.server.note_load(now, candidate.load.is_full());
        self.server.note_warm_up(now, warm_up_left);
        Some(ProbedServer { server: self.server, line, candidate, probed: now })
    }

    /// Asks on an idle connection, or on a fresh one where that has gone.
    async fn ask(&self) -> Option<ProbeAnswer> {
        if let Some(line) = self.server.take_line(Instant::now())
            && let Some(answer) = self.ask_on(line).await
        {
            return Some(answer);
        }
        let line = ServerLine::open(self.server.address, PROBE_TIMEOUT).await.ok()?;
        self.ask_on(line).await
    }

    async fn ask_on(&self, mut line: ServerLine) -> Option<ProbeAnswer> {
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
        let warm_up_left = signs.warm_up_left.unwrap_or_default();
        let candidate = PlacementCandidate {
            load: signs.load.unwrap_or_else(|| ServerLoad::idle(self.server.slots)),
            is_local: self.is_local,
            is_cold: !warm_up_left.is_zero(),
            is_unhealthy: answer.status != StatusCode::OK,
            failure_share: self.server.failure_share(Instant::now()),
        };
        Some(ProbeAnswer { line, candidate, warm_up_left })
    }
}
