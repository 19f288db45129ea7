//! Places requests: probes a few servers for their load and takes the best one.

use crate::{
    WireDialect,
    body::BodyMemory,
    reach_monitor::ReachMonitor,
    relay::{CrashQuestion, ServerInstance},
    server_connection::ConnectionOwner,
    server_probe::{PROBE_TIMEOUT, ProbedServer, ServerProbe},
    servers::{BackendServer, ServerTable},
};
use futures_util::{StreamExt, future::join_all, stream::FuturesUnordered};
use policy::{
    CrashObservation, EntryPlace, HoldEnd, PlacementCandidate, PlacementNeed, ReachLevel,
    cheapest_candidate, first_hold_end, is_warm_up_entry, rendezvous_rank,
};
use rand::seq::SliceRandom;
use runtime::DecisionCounters;
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

/// Number of servers that are probed concurrently.
const PROBE_GROUP_SIZE: usize = 3;
/// Maximum number of servers that are probed in one search.
const MAX_PROBES: usize = 9;
/// Time after which the next group is probed even if the previous one has not responded, and the
/// timeout of a repeated probe of a server. Responses to probes take up to 10 ms, including
/// connection setup.
const GROUP_TIMEOUT: Duration = Duration::from_millis(25);
/// Maximum age of a load report that a placement uses. Load changes within milliseconds.
const MAX_REPORT_AGE: Duration = Duration::from_millis(15);

/// Number of servers of a service that an entry prefers, counted separately inside and outside of
/// its failure domain. Among this many, an entry finds one with free capacity, and it can keep
/// connections open to all of them.
const PREFERRED_SERVERS: usize = 12;
/// Number of other servers that are probed to find out whether this entry's own paths are lost.
const PATH_SAMPLE_SIZE: usize = 4;
/// Failure share above which a server is probed after others.
const MAX_FAILURE_SHARE: f64 = 0.3;

/// The order in which servers are probed, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ServerRank {
    /// The server is in backoff after failed probes.
    is_backing_off: bool,
    /// The server is cold and may not receive a request from this entry now: the entry is not among
    /// the server's owners, or has used up its share of the server's rate.
    is_cold_unavailable: bool,
    /// The server failed more than [`MAX_FAILURE_SHARE`] of this entry's recent requests.
    is_failing: bool,
    /// The server has recently reported that it is full.
    is_recently_full: bool,
    /// The server is in another failure domain.
    is_remote: bool,
    /// The server is not among this entry's [`PREFERRED_SERVERS`].
    is_not_preferred: bool,
}

/// The reason why no server was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlaceError {
    /// The service has no server that may receive the request.
    NoServers,
    /// No server responded to a probe.
    NoneAnswered,
    /// All servers that responded lack free capacity for the request, or are cold and may not
    /// receive it from this entry now.
    Full,
    /// All servers are leaving, shed load, or limit requests and may not receive one from this
    /// entry now. Holds the time after which the first may receive one; `None` if none may.
    Held(Option<Duration>),
    /// Servers crashed under requests like this one.
    Quarantined,
}

/// The requirements of a request on its server.
pub(crate) struct PlaceRequest<'a> {
    pub(crate) view: &'a ClusterView,
    pub(crate) pool: &'a PoolSpec,
    pub(crate) need: PlacementNeed,
    /// Servers that the request was already sent to.
    pub(crate) excluded: &'a [ServerName],
}

/// Selects servers for the requests of one entry.
pub(crate) struct ServerPlacer {
    pub(crate) entry: EntryName,
    pub(crate) domain: DomainName,
    pub(crate) table: Arc<ServerTable>,
    pub(crate) dialect: Arc<dyn WireDialect>,
    pub(crate) memory: Arc<BodyMemory>,
    /// Counts the ends of probes.
    pub(crate) probes: DecisionCounters,
    /// Logs how many servers this entry has a path to.
    pub(crate) monitor: ReachMonitor,
}

impl ServerPlacer {
    /// Finds a server for a request. Returns it with the number of servers that were probed.
    ///
    /// Servers are probed in groups. The next group follows when the previous one has responded, or
    /// after [`GROUP_TIMEOUT`]. A server that is good enough ends the search.
    pub(crate) async fn place(
        &self,
        request: &PlaceRequest<'_>,
    ) -> Result<(ProbedServer, usize), PlaceError> {
        let service = &request.pool.service;
        self.monitor.record(service, self.table.reach(service));
        let mut groups = self.probe_groups(request)?.into_iter();
        let mut search = PlaceSearch::default();
        loop {
            let Some(group) = groups.next() else {
                return self.finish(search, request).await;
            };
            search.probe_count += group.len();
            search.probes.extend(group.iter().map(|server| self.start_probe(server, request.pool)));
            let has_good_enough = self.collect(&mut search, request, Some(GROUP_TIMEOUT)).await;
            let may_stop = has_good_enough || self.has_acceptable(&search, request);
            if may_stop && let Some(probed) = self.take_best(&mut search, request).await {
                let probe_count = search.probe_count;
                search.release();
                return Ok((probed, probe_count));
            }
        }
    }

    /// Takes the best server once all have been probed. Waits for a usable response if none has
    /// arrived yet.
    async fn finish(
        &self,
        mut search: PlaceSearch,
        request: &PlaceRequest<'_>,
    ) -> Result<(ProbedServer, usize), PlaceError> {
        if search.answered.is_empty() {
            self.collect(&mut search, request, None).await;
        }
        let taken = self.take_best(&mut search, request).await;
        let (probe_count, has_answers) = (search.probe_count, search.has_answers);
        search.release();
        match taken {
            Some(probed) => Ok((probed, probe_count)),
            None if has_answers => Err(PlaceError::Full),
            None => Err(PlaceError::NoneAnswered),
        }
    }

    /// Collects responses to probes until one is good enough, all have arrived, or `wait` has
    /// passed. Without `wait`, stops at the first usable response or after [`PROBE_TIMEOUT`].
    /// Returns whether one is good enough.
    async fn collect(
        &self,
        search: &mut PlaceSearch,
        request: &PlaceRequest<'_>,
        wait: Option<Duration>,
    ) -> bool {
        let until = Instant::now() + wait.unwrap_or(PROBE_TIMEOUT);
        while let Ok(Some(result)) = timeout_at(until.into(), search.probes.next()).await {
            let Ok(Some(probed)) = result else {
                continue;
            };
            search.has_answers = true;
            let is_cold_unavailable =
                probed.candidate.is_cold && !self.may_use_cold(&probed.server, request);
            if is_cold_unavailable || self.limit_end(&probed.server, request).is_some() {
                release(probed);
                continue;
            }
            let is_good = probed.candidate.is_good_enough(&request.need);
            search.answered.push(probed);
            if is_good || (wait.is_none() && !search.answered.is_empty()) {
                return is_good;
            }
        }
        false
    }

    fn has_acceptable(&self, search: &PlaceSearch, request: &PlaceRequest<'_>) -> bool {
        let is_acceptable = |probed: &ProbedServer| {
            probed.candidate.is_acceptable(&request.need, search.probe_count)
        };
        search.answered.iter().any(is_acceptable)
    }

    /// Takes the cheapest server that has free capacity. A server whose load report is older than
    /// [`MAX_REPORT_AGE`] is probed again first.
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
            if chosen.probed_at.elapsed() > MAX_REPORT_AGE {
                if let Some(fresh) = self.probe_again(chosen, request).await {
                    search.answered.push(fresh);
                }
                continue;
            }
            if !self.take_turn(&chosen, request) {
                release(chosen);
                continue;
            }
            return Some(chosen);
        }
    }

    /// Takes one request from this entry's shares of the server's limit and of its rate while cold.
    /// Returns whether both permit it.
    fn take_turn(&self, chosen: &ProbedServer, request: &PlaceRequest<'_>) -> bool {
        let (server, now) = (&chosen.server, Instant::now());
        let rate = request.pool.warm_up_rate_milli;
        if self.limit_end(server, request).is_some()
            || (chosen.candidate.is_cold && !server.take_cold_request(now, rate))
        {
            return false;
        }
        !server.is_limited() || server.take_limited_request(now, self.entry_place(server, request))
    }

    async fn probe_again(
        &self,
        stale: ProbedServer,
        request: &PlaceRequest<'_>,
    ) -> Option<ProbedServer> {
        let probe = self.probe(&stale.server, &request.pool.health_path);
        timeout(GROUP_TIMEOUT, probe.repeat_on(stale.connection)).await.ok().flatten()
    }

    /// Returns the servers to probe, in groups and in the order of [`ServerRank`]. A group does not
    /// mix servers of the entry's failure domain with others.
    fn probe_groups(
        &self,
        request: &PlaceRequest<'_>,
    ) -> Result<Vec<SmallVec<[Arc<BackendServer>; 4]>>, PlaceError> {
        let servers = self.table.servers(&request.pool.service);
        let now = Instant::now();
        let mut preferred = [0, 0];
        let mut ranked = Vec::with_capacity(servers.len());
        let mut hold_ends: SmallVec<[HoldEnd; 4]> = SmallVec::new();
        for server in servers.iter().filter(|s| !request.excluded.contains(&s.name)) {
            if let Some(end) = server.held_until(now) {
                hold_ends.push(end);
                continue;
            }
            if !server.has_outdated_limit(now)
                && let Some(end) = self.limit_end(server, request)
            {
                hold_ends.push(end);
                continue;
            }
            let is_remote = server.domain != self.domain;
            let count = &mut preferred[usize::from(is_remote)];
            *count += 1;
            let rank = ServerRank {
                is_backing_off: server.is_backing_off(now),
                is_cold_unavailable: server.is_known_cold(now)
                    && !self.may_use_cold(server, request),
                is_failing: server.failure_share(now) > MAX_FAILURE_SHARE,
                is_recently_full: server.is_recently_full(now),
                is_remote,
                is_not_preferred: *count > PREFERRED_SERVERS,
            };
            ranked.push((rank, server.clone()));
        }
        if ranked.is_empty() {
            return Err(match hold_ends.is_empty() {
                true => PlaceError::NoServers,
                false => PlaceError::Held(first_hold_end(hold_ends.into_iter(), now)),
            });
        }
        ranked.shuffle(&mut rand::rng());
        ranked.sort_by_key(|(rank, _)| *rank);
        let usable = ranked
            .iter()
            .filter(|(rank, _)| !rank.is_backing_off && !rank.is_cold_unavailable)
            .count();
        // Servers in backoff and cold servers that this entry may not use now are probed only if
        // there are few others: they keep requests waiting if it is the paths to them that are lost.
        let least = match self.table.reach(&request.pool.service).level() {
            ReachLevel::Whole => PROBE_GROUP_SIZE,
            ReachLevel::Impaired | ReachLevel::Lost => 1,
        };
        ranked.truncate(usable.clamp(least, MAX_PROBES));
        let eligible = ranked.into_iter().map(|(_, server)| server);
        let mut groups: Vec<SmallVec<[Arc<BackendServer>; 4]>> = Vec::new();
        for server in eligible {
            match groups.last_mut() {
                Some(group)
                    if group.len() < PROBE_GROUP_SIZE
                        && (group[0].domain == self.domain) == (server.domain == self.domain) =>
                {
                    group.push(server);
                }
                _ => groups.push(SmallVec::from_iter([server])),
            }
        }
        Ok(groups)
    }

    /// Returns whether this entry may send a request to a server if that server is cold.
    fn may_use_cold(&self, server: &BackendServer, request: &PlaceRequest<'_>) -> bool {
        let entries = request.view.entries().filter(|entry| entry.serving).map(|e| &e.name);
        server.has_cold_capacity(Instant::now())
            && is_warm_up_entry(&self.entry, entries, &server.name)
    }

    /// Returns until when the server's limit keeps this entry from sending a request, or `None` if
    /// the entry may send one now.
    fn limit_end(&self, server: &BackendServer, request: &PlaceRequest<'_>) -> Option<HoldEnd> {
        if !server.is_limited() {
            return None;
        }
        let now = Instant::now();
        match server.limit_wait(now, self.entry_place(server, request)) {
            Some(Duration::ZERO) => None,
            Some(wait) => Some(now.checked_add(wait).map_or(HoldEnd::Never, HoldEnd::At)),
            None => Some(HoldEnd::Never),
        }
    }

    /// Returns this entry's place among the entries that share a server.
    fn entry_place(&self, server: &BackendServer, request: &PlaceRequest<'_>) -> EntryPlace {
        server.entry_place(request.view.version, || {
            let names = || request.view.entries().filter(|entry| entry.serving).map(|e| &e.name);
            let is_listed = names().any(|name| *name == self.entry);
            EntryPlace {
                rank: is_listed.then(|| rendezvous_rank(&self.entry, names(), &server.name)),
                entries: names().count(),
            }
        })
    }

    /// Probes some unreachable servers of a service that are not in backoff, without waiting for
    /// them.
    pub(crate) fn probe_unreachable(&self, pool: &PoolSpec) {
        let (servers, now) = (self.table.servers(&pool.service), Instant::now());
        let is_due = |server: &&Arc<BackendServer>| {
            !server.is_reachable()
                && !server.is_backing_off(now)
                && server.held_until(now).is_none()
        };
        let mut due: SmallVec<[&Arc<BackendServer>; 16]> = servers.iter().filter(is_due).collect();
        due.shuffle(&mut rand::rng());
        let probes = due.into_iter().take(PROBE_GROUP_SIZE).map(|s| self.start_probe(s, pool));
        let probes = probes.collect();
        PlaceSearch { probes, ..PlaceSearch::default() }.release();
    }

    /// Returns whether a server seems to have crashed, to judge by a new connection. A server that
    /// wants no probes counts as running.
    pub(crate) async fn seems_crashed(
        &self,
        server: &Arc<BackendServer>,
        health_path: &Arc<str>,
    ) -> bool {
        server.held_until(Instant::now()).is_none()
            && self.probe(server, health_path).has_crashed().await
    }

    /// Returns the question whether a server has crashed, with a random sample of other servers.
    pub(crate) fn crash_question(&self, server: &BackendServer) -> CrashQuestion {
        let sample = self.table.sample(PATH_SAMPLE_SIZE, &server.name);
        CrashQuestion {
            server: (server.name.clone(), server.incarnation),
            sample: sample.iter().map(|other| (other.name.clone(), other.incarnation)).collect(),
        }
    }

    /// Tries to reach the servers of a question, all at the same time.
    pub(crate) async fn observe_crash(
        &self,
        view: &ClusterView,
        question: &CrashQuestion,
    ) -> CrashObservation {
        let reaches = |instance| self.reaches(view, instance);
        let sample = join_all(question.sample.iter().map(reaches));
        let (reached_server, reached_sample) = tokio::join!(reaches(&question.server), sample);
        CrashObservation { reached_server, reached_sample: reached_sample.into() }
    }

    /// Returns whether this entry reaches an instance of a server. One that the view does not list
    /// has left or started again.
    async fn reaches(&self, view: &ClusterView, (name, incarnation): &ServerInstance) -> bool {
        let Some((service, server)) = self.table.find(name, *incarnation) else {
            return false;
        };
        let pool = view.routing().and_then(|document| document.pool(&service));
        match pool {
            Some(pool) => !self.seems_crashed(&server, &pool.health_path).await,
            None => false,
        }
    }

    fn start_probe(
        &self,
        server: &Arc<BackendServer>,
        pool: &PoolSpec,
    ) -> JoinHandle<Option<ProbedServer>> {
        tokio::spawn(self.probe(server, &pool.health_path).run())
    }

    fn probe(&self, server: &Arc<BackendServer>, health_path: &Arc<str>) -> ServerProbe {
        ServerProbe {
            server: server.clone(),
            path: health_path.clone(),
            is_local: server.domain == self.domain,
            dialect: self.dialect.clone(),
            memory: self.memory.clone(),
            counters: self.probes.clone(),
        }
    }
}

/// The state of one search for a server.
#[derive(Default)]
struct PlaceSearch {
    probes: FuturesUnordered<JoinHandle<Option<ProbedServer>>>,
    answered: Vec<ProbedServer>,
    probe_count: usize,
    has_answers: bool,
}

impl PlaceSearch {
    /// Puts all connections back into the idle pools; those of probes in flight are put back when
    /// the probes end.
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

/// Puts the connection of a server that was not chosen back into its idle pool.
fn release(probed: ProbedServer) {
    probed.server.put_connection(probed.connection);
}
