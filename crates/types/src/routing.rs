//! The routing document: which requests go to which services, and how each is treated.
//!
//! The whole document carries one version. The highest version that was accepted is in force.

use crate::ServiceName;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
    time::Duration,
};
use thiserror::Error;

/// The version of a routing document.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RoutingVersion(pub u64);

impl fmt::Display for RoutingVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Routes, services and limits under one version.
///
/// Invariants: see [`RoutingDocument::verify`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingDocument {
    /// Version of the whole document.
    pub version: RoutingVersion,
    /// All routes.
    pub routes: Vec<Arc<RouteSpec>>,
    /// All services that routes may name.
    pub pools: Vec<PoolSpec>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
}

/// What differs between two versions of the routing document.
///
/// A document may hold thousands of routes of which a new version changes one, and entries may be
/// reached over narrow links.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingPatch {
    /// The version reached.
    pub version: RoutingVersion,
    /// Host and prefix of routes that are gone.
    pub removed: Vec<(Arc<str>, Arc<str>)>,
    /// Routes that are new or have changed.
    pub put: Vec<Arc<RouteSpec>>,
    /// All services, if any has changed.
    pub pools: Option<Vec<PoolSpec>>,
    /// The bounds on callers, if any has changed.
    pub limits: Option<CallerLimits>,
}

/// Requests of one host below one path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Name, for logs and errors.
    pub name: Arc<str>,
    /// Host of the requests.
    pub host: Arc<str>,
    /// Prefix of their path; begins with a slash.
    pub prefix: Arc<str>,
    /// The requests may run more than once.
    pub is_idempotent: bool,
    /// Longest time that a request is kept waiting, in milliseconds.
    pub timeout_ms: u32,
    /// Time within which an answer is of full use, in milliseconds.
    pub target_ms: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// The greatest number of servers to which one request is sent.
    pub max_attempts: u8,
    /// Services that share the requests.
    pub parts: SmallVec<[RoutePart; 2]>,
}

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutePart {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the parts.
    pub weight: u32,
}

/// How the servers of one service are treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// The service.
    pub service: ServiceName,
    /// Path of the servers' health check.
    pub health_path: Arc<str>,
    /// Connections that a server takes from all callers together.
    pub max_connections: u32,
    /// How long a server stays cold after its start, in milliseconds.
    pub warm_up_ms: u32,
    /// Requests that a cold server bears, in thousandths a second.
    pub warm_up_rate_milli: u32,
}

/// Bounds on what a caller may send, and on how long it may take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Greatest head of a request, in bytes.
    pub max_head_bytes: u32,
    /// Greatest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Longest time for the head of a request, in milliseconds.
    pub head_timeout_ms: u32,
    /// Longest time for which a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Says why a routing document is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RoutingError {
    /// A route names a service that the document does not declare.
    #[error("route {route}: service {service} is not declared")]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The unknown service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("route {route}: host {host} and prefix {prefix} are those of another route")]
    SamePlace {
        /// The second route.
        route: Arc<str>,
        /// Their host.
        host: Arc<str>,
        /// Their prefix.
        prefix: Arc<str>,
    },
    /// The weights of a route add up to 0.
    #[error("route {0}: the weights add up to 0")]
    NoWeight(Arc<str>),
    /// A route allows no attempt.
    #[error("route {0}: the number of attempts is 0")]
    NoAttempts(Arc<str>),
    /// A prefix does not begin with a slash.
    #[error("route {0}: the prefix does not begin with a slash")]
    BarePrefix(Arc<str>),
    /// A route has no time at all.
    #[error("route {0}: the timeout is 0")]
    NoTimeout(Arc<str>),
}

impl RoutingDocument {
    /// Checks that routes are distinct and complete, and name declared services only.
    pub fn verify(&self) -> Result<(), RoutingError> {
        let services: BTreeSet<&ServiceName> =
            self.pools.iter().map(|pool| &pool.service).collect();
        let mut places = BTreeSet::new();
        for route in &self.routes {
            route.verify()?;
            for part in &route.parts {
                if !services.contains(&part.service) {
                    let (route, service) = (route.name.clone(), part.service.clone());
                    return Err(RoutingError::UnknownService { route, service });
                }
            }
            if !places.insert((&route.host, &route.prefix)) {
                return Err(RoutingError::SamePlace {
                    route: route.name.clone(),
                    host: route.host.clone(),
                    prefix: route.prefix.clone(),
                });
            }
        }
        Ok(())
    }

    /// Returns what leads from an older document to this one.
    pub fn patch_from(&self, older: &Self) -> RoutingPatch {
        let former: BTreeMap<_, _> = older.routes.iter().map(|r| (r.place(), r)).collect();
        let places: BTreeSet<_> = self.routes.iter().map(|route| route.place()).collect();
        let is_gone = |place: &&(Arc<str>, Arc<str>)| !places.contains(*place);
        let is_new = |route: &&Arc<RouteSpec>| former.get(&route.place()) != Some(route);
        RoutingPatch {
            version: self.version,
            removed: former.keys().filter(is_gone).cloned().collect(),
            put: self.routes.iter().filter(is_new).cloned().collect(),
            pools: (self.pools != older.pools).then(|| self.pools.clone()),
            limits: (self.limits != older.limits).then(|| self.limits.clone()),
        }
    }

    /// Returns the document after a patch. The order of routes may differ from the original.
    pub fn patched(&self, patch: &RoutingPatch) -> Self {
        let replaced: BTreeSet<_> =
            patch.removed.iter().cloned().chain(patch.put.iter().map(|r| r.place())).collect();
        let kept = self.routes.iter().filter(|route| !replaced.contains(&route.place()));
        Self {
            version: patch.version,
            routes: kept.chain(&patch.put).cloned().collect(),
            pools: patch.pools.clone().unwrap_or_else(|| self.pools.clone()),
            limits: patch.limits.clone().unwrap_or_else(|| self.limits.clone()),
        }
    }

    /// Returns the declaration of a service.
    pub fn pool(&self, service: &ServiceName) -> Option<&PoolSpec> {
        self.pools.iter().find(|pool| pool.service == *service)
    }
}

impl RouteSpec {
    /// Returns the longest time that a request is kept waiting.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.into())
    }

    /// Returns host and prefix, which no two routes of a document share.
    pub fn place(&self) -> (Arc<str>, Arc<str>) {
        (self.host.clone(), self.prefix.clone())
    }

    /// Returns the time within which an answer is of full use.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms.into())
    }

    /// Returns the service that gets a request, for a uniform draw from 0 to 1.
    pub fn part_for(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.parts.iter().map(|part| part.weight).sum();
        let mut left = draw.clamp(0.0, 1.0) * f64::from(total);
        for part in self.parts.iter().filter(|part| part.weight > 0) {
            left -= f64::from(part.weight);
            if left < 0.0 {
                return Some(&part.service);
            }
        }
        self.parts.iter().rev().find(|part| part.weight > 0).map(|part| &part.service)
    }

    fn verify(&self) -> Result<(), RoutingError> {
        if !self.prefix.starts_with('/') {
            return Err(RoutingError::BarePrefix(self.name.clone()));
        }
        if self.parts.iter().all(|part| part.weight == 0) {
            return Err(RoutingError::NoWeight(self.name.clone()));
        }
        if self.max_attempts == 0 {
            return Err(RoutingError::NoAttempts(self.name.clone()));
        }
        if self.timeout_ms == 0 {
            return Err(RoutingError::NoTimeout(self.name.clone()));
        }
        Ok(())
    }
}

/// Finds the route of a request: among the routes of its host the one with the longest prefix.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: BTreeMap<Arc<str>, Vec<Arc<RouteSpec>>>,
}

impl RouteTable {
    /// Indexes the routes of a document.
    pub fn new(document: &RoutingDocument) -> Self {
        let mut hosts: BTreeMap<Arc<str>, Vec<Arc<RouteSpec>>> = BTreeMap::new();
        for route in &document.routes {
            hosts.entry(route.host.clone()).or_default().push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the route of a host (without port) and path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
