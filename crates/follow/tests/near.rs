//! Which replica entries ask: near ones, spread evenly, and others while those do not serve.

use hawthornhill_follow::NearReplicas;
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

fn home(address: &SocketAddr) -> DomainName {
    let place = replicas().iter().position(|replica| replica == address).expect("known");
    domain(["a", "b", "c", "d"][place / 3])
}

#[test]
fn entry_finds_a_replica_of_its_domain_and_stays() {
    for step in 0..20 {
        let draw = f64::from(step) / 20.0;
        let (mut near, now) = (NearReplicas::new(domain("c")), Instant::now());
        let mut asked = Vec::new();
        for _ in 0..20 {
            let chosen = near.choose(now, &replicas(), draw).expect("one");
            near.note_served(chosen, home(&chosen));
            asked.push(chosen);
        }
        assert!(asked[12..].iter().all(|address| *address == asked[11]), "it moves: {asked:?}");
        assert_eq!(home(&asked[19]), domain("c"));
    }
}

#[test]
fn entries_of_a_domain_spread_over_its_replicas() {
    let (mut near, now) = (NearReplicas::new(domain("b")), Instant::now());
    for address in replicas() {
        near.note_served(address, home(&address));
    }
    let mut counts = BTreeMap::new();
    for step in 0..300 {
        let draw = f64::from(step) / 300.0;
        *counts.entry(near.choose(now, &replicas(), draw).expect("one")).or_insert(0) += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [100, 100, 100]);
}

#[test]
fn replica_that_does_not_serve_is_passed_over_for_a_while() {
    let (mut near, now) = (NearReplicas::new(domain("a")), Instant::now());
    let all = replicas();
    all.iter().for_each(|address| near.note_served(*address, home(address)));
    let first = near.choose(now, &all, 0.0).expect("one");
    near.note_failed(first, now);
    let second = near.choose(now, &all, 0.0).expect("one");
    assert_ne!(second, first);
    assert_eq!(home(&second), domain("a"));
    let later = now + Duration::from_secs(10);
    assert_eq!(near.choose(later, &all, 0.0), Some(first));
    all.iter().for_each(|address| near.note_failed(*address, now));
    assert_eq!(near.choose(now, &all, 0.5), None, "the leader is asked instead");
}
