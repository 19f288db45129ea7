//! Selects the replica from which an entry requests its view.
//!
//! An entry prefers replicas in its own failure domain. It learns a replica's failure domain from
//! the replica's answers, and tries replicas of unknown domain until it finds one in its own.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};
use types::DomainName;

/// How long a replica is skipped after it failed to serve a request.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(3);

/// Tracks the failure domains and recent failures of replicas, and selects one to ask.
#[derive(Debug)]
pub struct ReplicaSelector {
    own_domain: DomainName,
    domains: HashMap<SocketAddr, DomainName>,
    failed: HashMap<SocketAddr, Instant>,
}

impl ReplicaSelector {
    /// Returns a selector for an entry in failure domain `own_domain`, without any known replica.
    pub fn new(own_domain: DomainName) -> Self {
        Self { own_domain, domains: HashMap::new(), failed: HashMap::new() }
    }

    /// Returns the replica to ask, or `None` if all have failed recently. `draw` is a number in
    /// `0.0..1.0` that each entry draws from a uniform distribution, which spreads the entries over
    /// the replicas.
    pub fn choose(&self, now: Instant, replicas: &[SocketAddr], draw: f64) -> Option<SocketAddr> {
        let is_usable = |address: &&SocketAddr| {
            let failed = self.failed.get(*address);
            failed.is_none_or(|since| now.saturating_duration_since(*since) > FAILURE_COOLDOWN)
        };
        let usable: Vec<SocketAddr> = replicas.iter().filter(is_usable).copied().collect();
        let is_in_own_domain =
            |address: &SocketAddr| self.domains.get(address) == Some(&self.own_domain);
        let has_unknown_domain = |address: &SocketAddr| !self.domains.contains_key(address);
        let pick = |candidates: Vec<SocketAddr>| {
            let index = (draw.clamp(0.0, 1.0) * candidates.len() as f64) as usize;
            candidates.get(index.min(candidates.len().saturating_sub(1))).copied()
        };
        let usable_where = |predicate: &dyn Fn(&SocketAddr) -> bool| {
            usable.iter().filter(|address| predicate(address)).copied().collect::<Vec<_>>()
        };
        pick(usable_where(&is_in_own_domain))
            .or_else(|| pick(usable_where(&has_unknown_domain)))
            .or_else(|| pick(usable.clone()))
    }

    /// Records that a replica served a request, and its failure domain.
    pub fn record_success(&mut self, address: SocketAddr, domain: DomainName) {
        self.failed.remove(&address);
        self.domains.insert(address, domain);
    }

    /// Records that a replica did not serve a request in time.
    pub fn record_failure(&mut self, address: SocketAddr, now: Instant) {
        self.failed.insert(address, now);
    }

    /// Drops the state of replicas that are no longer in `replicas`.
    pub fn retain(&mut self, replicas: &[SocketAddr]) {
        self.domains.retain(|address, _| replicas.contains(address));
        self.failed.retain(|address, _| replicas.contains(address));
    }
}
