//! The routing document, which assigns requests to services and defines timeouts, priorities and
//! limits.
//!
//! The document has a single version. The highest accepted version is in force.

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

/// Routes, services and caller limits under one version.
///
/// Invariants: see [`RoutingDocument::verify`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingDocument {
    /// The version of the whole document.
    pub version: RoutingVersion,
    /// All routes.
    pub routes: Vec<Arc<RouteSpec>>,
    /// All services that routes may refer to.
    pub pools: Vec<PoolSpec>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
}

/// The differences between two versions of the routing document.
///
/// Entries are sent patches because a document may have thousands of routes of which a new version
/// changes one, and the links to entries may have little bandwidth.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingPatch {
    /// The version after the patch.
    pub version: RoutingVersion,
    /// Host and prefix of the removed routes.
    pub removed: Vec<(Arc<str>, Arc<str>)>,
    /// Routes that are new or have changed.
    pub put: Vec<Arc<RouteSpec>>,
    /// The services, if any has changed.
    pub pools: Option<Vec<PoolSpec>>,
    /// The caller limits, if any has changed.
    pub limits: Option<CallerLimits>,
}

/// A route: the requests for one host under one path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Name, for logs and errors.
    pub name: Arc<str>,
    /// Host to which the requests are addressed.
    pub host: Arc<str>,
    /// Path prefix of the requests; starts with a slash.
    pub prefix: Arc<str>,
    /// Whether the requests may run more than once.
    pub is_idempotent: bool,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u32,
    /// Target latency, in milliseconds. A later answer has less value for the caller.
    pub target_ms: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of servers to which one request is sent.
    pub max_attempts: u8,
    /// Services among which the requests are split by weight.
    pub parts: SmallVec<[RoutePart; 2]>,
}

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutePart {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the other parts of the route.
    pub weight: u32,
}

/// Settings for the servers of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// The service.
    pub service: ServiceName,
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Maximum number of connections that a server accepts from all callers together.
    pub max_connections: u32,
    /// Duration of the warm-up after the start of a server, in milliseconds.
    pub warm_up_ms: u32,
    /// Maximum request rate of a cold server, in thousandths of a request per second.
    pub warm_up_rate_milli: u32,
}

/// Limits on the size and duration of what a caller sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: u32,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// Timeout for receiving the head of a request, in milliseconds.
    pub head_timeout_ms: u32,
    /// Timeout of an idle connection, in milliseconds.
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

/// The reason why a routing document is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RoutingError {
    /// A route refers to a service that the document does not declare.
    #[error("route {route}: service {service} is not declared")]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The undeclared service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("route {route}: host {host} and prefix {prefix} are those of another route")]
    DuplicateRoute {
        /// The second route.
        route: Arc<str>,
        /// The common host.
        host: Arc<str>,
        /// The common prefix.
        prefix: Arc<str>,
    },
    /// The weights of a route add up to 0.
    #[error("route {0}: the weights add up to 0")]
    NoWeight(Arc<str>),
    /// The number of attempts of a route is 0.
    #[error("route {0}: the number of attempts is 0")]
    NoAttempts(Arc<str>),
    /// The prefix of a route does not begin with a slash.
    #[error("route {0}: the prefix does not begin with a slash")]
    InvalidPrefix(Arc<str>),
    /// The timeout of a route is 0.
    #[error("route {0}: the timeout is 0")]
    NoTimeout(Arc<str>),
}

impl RoutingDocument {
    /// Checks that every route is valid and refers to declared services only, and that no two
    /// routes have the same host and prefix.
    pub fn verify(&self) -> Result<(), RoutingError> {
        let services: BTreeSet<&ServiceName> =
            self.pools.iter().map(|pool| &pool.service).collect();
        let mut match_keys = BTreeSet::new();
        for route in &self.routes {
            route.verify()?;
            for part in &route.parts {
                if !services.contains(&part.service) {
                    let (route, service) = (route.name.clone(), part.service.clone());
                    return Err(RoutingError::UnknownService { route, service });
                }
            }
            if !match_keys.insert((&route.host, &route.prefix)) {
                return Err(RoutingError::DuplicateRoute {
                    route: route.name.clone(),
                    host: route.host.clone(),
                    prefix: route.prefix.clone(),
                });
            }
        }
        Ok(())
    }

    /// Returns the patch that turns an older document into this one.
    pub fn patch_from(&self, older: &Self) -> RoutingPatch {
        let older_routes: BTreeMap<_, _> =
            older.routes.iter().map(|r| (r.match_key(), r)).collect();
        let match_keys: BTreeSet<_> = self.routes.iter().map(|route| route.match_key()).collect();
        let is_removed = |match_key: &&(Arc<str>, Arc<str>)| !match_keys.contains(*match_key);
        let is_new_or_changed =
            |route: &&Arc<RouteSpec>| older_routes.get(&route.match_key()) != Some(route);
        RoutingPatch {
            version: self.version,
            removed: older_routes.keys().filter(is_removed).cloned().collect(),
            put: self.routes.iter().filter(is_new_or_changed).cloned().collect(),
            pools: (self.pools != older.pools).then(|| self.pools.clone()),
            limits: (self.limits != older.limits).then(|| self.limits.clone()),
        }
    }

    /// Returns the document with a patch applied. The order of the routes may differ from that of
    /// the document from which the patch was made.
    pub fn patched(&self, patch: &RoutingPatch) -> Self {
        let replaced: BTreeSet<_> =
            patch.removed.iter().cloned().chain(patch.put.iter().map(|r| r.match_key())).collect();
        let kept = self.routes.iter().filter(|route| !replaced.contains(&route.match_key()));
        Self {
            version: patch.version,
            routes: kept.chain(&patch.put).cloned().collect(),
            pools: patch.pools.clone().unwrap_or_else(|| self.pools.clone()),
            limits: patch.limits.clone().unwrap_or_else(|| self.limits.clone()),
        }
    }

    /// Returns the approximate size in memory, in bytes.
    pub fn approximate_bytes(&self) -> usize {
        routes_bytes(&self.routes) + self.pools.len() * size_of::<PoolSpec>()
    }

    /// Returns the settings of a service.
    pub fn pool(&self, service: &ServiceName) -> Option<&PoolSpec> {
        self.pools.iter().find(|pool| pool.service == *service)
    }
}

impl RoutingPatch {
    /// Returns the approximate size in memory, in bytes.
    pub fn approximate_bytes(&self) -> usize {
        let removed = self.removed.iter().map(|(host, prefix)| host.len() + prefix.len());
        let pools = self.pools.as_ref().map_or(0, Vec::len) * size_of::<PoolSpec>();
        removed.sum::<usize>() + routes_bytes(&self.put) + pools
    }
}

/// Returns the approximate size in memory of routes and their texts, in bytes.
fn routes_bytes(routes: &[Arc<RouteSpec>]) -> usize {
    let text_bytes = |route: &RouteSpec| {
        let services = route.parts.iter().map(|part| part.service.as_str().len());
        route.name.len() + route.host.len() + route.prefix.len() + services.sum::<usize>()
    };
    routes.iter().map(|route| size_of::<RouteSpec>() + text_bytes(route)).sum()
}

impl RouteSpec {
    /// Returns the timeout of a request.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.into())
    }

    /// Returns the host and the prefix, which identify the route within its document.
    pub fn match_key(&self) -> (Arc<str>, Arc<str>) {
        (self.host.clone(), self.prefix.clone())
    }

    /// Returns the target latency. A later answer has less value for the caller.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms.into())
    }

    /// Selects the service of a request by weight. `draw` is a uniform random number from 0 to 1.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        // In floating point, since the sum of the weights may exceed `u32`.
        let total: f64 = self.parts.iter().map(|part| f64::from(part.weight)).sum();
        let mut remaining = draw.clamp(0.0, 1.0) * total;
        for part in self.parts.iter().filter(|part| part.weight > 0) {
            remaining -= f64::from(part.weight);
            if remaining < 0.0 {
                return Some(&part.service);
            }
        }
        self.parts.iter().rev().find(|part| part.weight > 0).map(|part| &part.service)
    }

    fn verify(&self) -> Result<(), RoutingError> {
        if !self.prefix.starts_with('/') {
            return Err(RoutingError::InvalidPrefix(self.name.clone()));
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

/// Index that finds the route of a request: the one with the longest matching prefix among the
/// routes of the host.
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

    /// Returns the route of a request. `host` has no port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
