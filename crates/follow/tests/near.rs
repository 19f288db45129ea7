//! Tests which replica an entry selects: one in its own failure domain, with the entries spread
//! evenly over the replicas, and another one after a failure.

use hawthornhill_follow::ReplicaSelector;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};
use types::DomainName;

fn domain(name: &str) -> DomainName {
    name.parse().expect("valid")
}

/// Three replicas in each of the failure domains a, b, c and d.
fn replicas() -> Vec<SocketAddr> {
    (1..=12).map(|number| ([10, 0, 0, number], 7_540).into()).collect()
}

/// Returns the failure domain of a replica.
fn domain_of(address: &SocketAddr) -> DomainName {
    let index = replicas().iter().position(|replica| replica == address).expect("known");
    domain(["a", "b", "c", "d"][index / 3])
}

/// Guards against an entry that does not know the replicas' failure domains at its start and
/// therefore keeps switching replicas, or settles on one in another domain.
#[test]
fn entry_settles_on_a_replica_of_its_domain() {
    for step in 0..20 {
        let draw = f64::from(step) / 20.0;
        let (mut selector, now) = (ReplicaSelector::new(domain("c")), Instant::now());
        let mut asked = Vec::new();
        for _ in 0..20 {
            let chosen = selector.choose(now, &replicas(), draw).expect("one");
            selector.record_success(chosen, domain_of(&chosen));
            asked.push(chosen);
        }
        assert!(
            asked[12..].iter().all(|address| *address == asked[11]),
            "switches replicas: {asked:?}"
        );
        assert_eq!(domain_of(&asked[19]), domain("c"));
    }
}

/// Guards against overloading one replica when all entries of a failure domain prefer the same one.
#[test]
fn entries_of_a_domain_spread_over_its_replicas() {
    let (mut selector, now) = (ReplicaSelector::new(domain("b")), Instant::now());
    for address in replicas() {
        selector.record_success(address, domain_of(&address));
    }
    let mut counts = BTreeMap::new();
    for step in 0..300 {
        let draw = f64::from(step) / 300.0;
        *counts.entry(selector.choose(now, &replicas(), draw).expect("one")).or_insert(0) += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [100, 100, 100]);
}

/// Guards against asking a failed replica again at once, and against never asking it again.
#[test]
fn failed_replica_is_skipped_for_a_while() {
    let (mut selector, now) = (ReplicaSelector::new(domain("a")), Instant::now());
    let all = replicas();
    all.iter().for_each(|address| selector.record_success(*address, domain_of(address)));
    let first = selector.choose(now, &all, 0.0).expect("one");
    selector.record_failure(first, now);
    let second = selector.choose(now, &all, 0.0).expect("one");
    assert_ne!(second, first);
    assert_eq!(domain_of(&second), domain("a"));
    let later = now + Duration::from_secs(10);
    assert_eq!(selector.choose(later, &all, 0.0), Some(first));
    all.iter().for_each(|address| selector.record_failure(*address, now));
    assert_eq!(selector.choose(now, &all, 0.5), None, "any replica or seed is asked instead");
}
