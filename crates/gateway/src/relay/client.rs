//! Finds another entry for a request, and asks others about servers.

use super::{
    link::EntryLink,
    message::{RelayAnswer, RelayQuestion},
};
use crate::{
    body::BodyMemory,
    server_connection::{ConnectionOwner, ServerConnection},
};
use futures_util::{StreamExt, future::join_all, stream::FuturesUnordered};
use parking_lot::{Mutex, RwLock};
use policy::{CrashObservation, ReachLevel, RelayPause, ServerReach, is_better_placed};
use rand::seq::IndexedRandom;
use runtime::DecisionCounters;
use smallvec::SmallVec;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use types::{ClusterView, DomainName, EntryName, RoutingVersion, ServiceName};

/// Number of entries that are asked concurrently.
const GROUP_SIZE: usize = 3;
/// Maximum number of entries among which those to ask are chosen.
const MAX_RANKED: usize = 48;
/// Maximum number of entries that are asked for one request.
const MAX_ASKED: usize = 9;
/// Timeout of a question about reach, including connection setup.
const REACH_TIMEOUT: Duration = Duration::from_millis(40);
/// Maximum number of entries that are asked whether a server has crashed.
const MAX_WITNESSES: usize = 6;
/// Timeout of a question about a crash. Half of it, the time for a kept connection, is longer than the
/// other entry waits for silent servers.
const CRASH_TIMEOUT: Duration = Duration::from_millis(600);

/// An entry that can take a request, with the connection on which it has just said so.
pub(crate) struct FoundEntry {
    pub(crate) link: Arc<EntryLink>,
    pub(crate) connection: ServerConnection,
    reach: ServerReach,
}

/// The other entries, as one entry knows them.
pub(crate) struct RelayClient {
    entry: EntryName,
    domain: DomainName,
    /// The port on which all entries accept requests of other entries; `None` if they do not.
    port: Option<u16>,
    memory: Arc<BodyMemory>,
    /// Counts relayed requests by their ends, and searches that found no entry.
    pub(crate) counters: DecisionCounters,
    links: RwLock<Arc<[Arc<EntryLink>]>>,
    pauses: Mutex<HashMap<ServiceName, RelayPause>>,
}

impl RelayClient {
    pub(crate) fn new(
        entry: EntryName,
        domain: DomainName,
        port: Option<u16>,
        memory: Arc<BodyMemory>,
        counters: DecisionCounters,
    ) -> Self {
        let (links, pauses) = (RwLock::new(Arc::from([])), Mutex::default());
        Self { entry, domain, port, memory, counters, links, pauses }
    }

    /// Installs the entries of a new view. Links to entries whose address is unchanged stay open.
    pub(crate) fn install(&self, view: &ClusterView) {
        let Some(port) = self.port else {
            return;
        };
        let links = self.links.read().clone();
        let known: HashMap<&EntryName, &Arc<EntryLink>> =
            links.iter().map(|link| (&link.name, link)).collect();
        let others = view.entries().filter(|info| info.serving && info.name != self.entry);
        let links = others.map(|info| {
            let address = SocketAddr::new(info.peer_address.ip(), port);
            match known.get(&info.name) {
                Some(link) if link.address == address => Arc::clone(link),
                _ => Arc::new(EntryLink::new(info.name.clone(), info.domain.clone(), address)),
            }
        });
        *self.links.write() = links.collect();
    }

    /// Finds an entry that reaches clearly more servers of a service than `own` and applies the same
    /// routing document. Entries are asked in groups.
    pub(crate) async fn find(
        &self,
        service: &ServiceName,
        own: ServerReach,
        routing: RoutingVersion,
    ) -> Option<FoundEntry> {
        let now = Instant::now();
        if self.pauses.lock().get(service).is_some_and(|pause| pause.is_active(now)) {
            return None;
        }
        let links = self.ranked_links(service, now);
        for group in links.chunks(GROUP_SIZE) {
            let found = self.ask_group(group, service, own, routing).await;
            if found.is_some() {
                return found;
            }
        }
        self.counters.count("no-entry");
        self.pauses.lock().entry(service.clone()).or_default().record_fruitless(Instant::now());
        None
    }

    /// Asks the entries of a group. Takes the first that reaches most servers, or the best of the
    /// others once all have answered.
    async fn ask_group(
        &self,
        group: &[Arc<EntryLink>],
        service: &ServiceName,
        own: ServerReach,
        routing: RoutingVersion,
    ) -> Option<FoundEntry> {
        let question = RelayQuestion::Reach(service.clone());
        let ask = |link: &Arc<EntryLink>| {
            let (link, question) = (link.clone(), question.clone());
            async move {
                let answer = link.ask(&question, REACH_TIMEOUT, &self.memory).await;
                (link, answer)
            }
        };
        let mut asked: FuturesUnordered<_> = group.iter().map(ask).collect();
        let mut best: Option<FoundEntry> = None;
        while let Some((link, answer)) = asked.next().await {
            let Some((RelayAnswer::Reach { reachable, listed, routing: theirs }, connection)) =
                answer
            else {
                link.record(Instant::now(), service, false);
                continue;
            };
            let reach = ServerReach { reachable, listed };
            let is_better = is_better_placed(own, reach);
            link.record(Instant::now(), service, is_better);
            // Another routing document would be in force for this caller alone.
            if !is_better || theirs != routing {
                link.put_connection(connection);
                continue;
            }
            let found = FoundEntry { link, connection, reach };
            if reach.level() == ReachLevel::Whole {
                return Some(found);
            }
            match &mut best {
                Some(current) if current.reach.share() >= reach.share() => {
                    found.link.put_connection(found.connection);
                }
                _ => best = Some(found),
            }
        }
        best
    }

    /// Returns the entries to ask about a service, in the order of their ranks. Of many entries, only
    /// a random sample is ranked.
    fn ranked_links(&self, service: &ServiceName, now: Instant) -> Vec<Arc<EntryLink>> {
        let mut links = self.sample(MAX_RANKED);
        links.sort_by_cached_key(|link| link.rank(now, service, link.domain != self.domain));
        links.truncate(MAX_ASKED);
        links
    }

    /// Returns up to `count` random links.
    fn sample(&self, count: usize) -> Vec<Arc<EntryLink>> {
        let links = self.links.read().clone();
        links.choose_multiple(&mut rand::rng(), count).cloned().collect()
    }

    /// Asks some other entries about a server that seems to have crashed. Returns the observations
    /// of those that answer.
    pub(crate) async fn ask_witnesses(
        &self,
        question: &RelayQuestion,
    ) -> SmallVec<[CrashObservation; MAX_WITNESSES]> {
        let links = self.sample(MAX_WITNESSES);
        let asked = links.iter().map(async |link| {
            let (answer, connection) = link.ask(question, CRASH_TIMEOUT, &self.memory).await?;
            link.put_connection(connection);
            match answer {
                RelayAnswer::Crash { reached_server, reached_sample } => {
                    Some(CrashObservation { reached_server, reached_sample })
                }
                _ => None,
            }
        });
        join_all(asked).await.into_iter().flatten().collect()
    }
}
