//! Which replica an entry asks for its view.
//!
//! Replicas of the entry's own failure domain are nearest. An entry learns in which one a replica
//! is from its answers, and tries others until it has found one of its own.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};
use types::DomainName;

/// How long a replica that did not serve a request is passed over.
const PASS_OVER: Duration = Duration::from_secs(3);

/// What an entry knows of the replicas.
#[derive(Debug)]
pub struct NearReplicas {
    own: DomainName,
    domains: HashMap<SocketAddr, DomainName>,
    failed: HashMap<SocketAddr, Instant>,
}

impl NearReplicas {
    /// Returns an entry's knowledge in failure domain `own` at its start.
    pub fn new(own: DomainName) -> Self {
        Self { own, domains: HashMap::new(), failed: HashMap::new() }
    }

    /// Returns the replica to ask, `None` if all have failed lately. `draw` is uniform from 0 to 1
    /// and differs between entries, so that they spread.
    pub fn choose(&self, now: Instant, replicas: &[SocketAddr], draw: f64) -> Option<SocketAddr> {
        let is_usable = |address: &&SocketAddr| {
            let failed = self.failed.get(*address);
            failed.is_none_or(|since| now.saturating_duration_since(*since) > PASS_OVER)
        };
        let usable: Vec<SocketAddr> = replicas.iter().filter(is_usable).copied().collect();
        let near = |address: &SocketAddr| self.domains.get(address) == Some(&self.own);
        let untried = |address: &SocketAddr| !self.domains.contains_key(address);
        let pick = |choice: Vec<SocketAddr>| {
            let index = (draw.clamp(0.0, 1.0) * choice.len() as f64) as usize;
            choice.get(index.min(choice.len().saturating_sub(1))).copied()
        };
        let of = |test: &dyn Fn(&SocketAddr) -> bool| {
            usable.iter().filter(|address| test(address)).copied().collect::<Vec<_>>()
        };
        pick(of(&near)).or_else(|| pick(of(&untried))).or_else(|| pick(usable.clone()))
    }

    /// Notes that a replica served a request, and where it is.
    pub fn note_served(&mut self, address: SocketAddr, domain: DomainName) {
        self.failed.remove(&address);
        self.domains.insert(address, domain);
    }

    /// Notes that a replica did not serve a request in time.
    pub fn note_failed(&mut self, address: SocketAddr, now: Instant) {
        self.failed.insert(address, now);
    }

    /// Forgets replicas that are none any more.
    pub fn retain(&mut self, replicas: &[SocketAddr]) {
        self.domains.retain(|address, _| replicas.contains(address));
        self.failed.retain(|address, _| replicas.contains(address));
    }
}
