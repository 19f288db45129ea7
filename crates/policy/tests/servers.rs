//! Registries, directories and the choice of servers under faults of owners and servers.

use hawthornhill_policy::{
    AnnounceOutcome, AttemptOutcome, BalancerSettings, CandidateLoad, LatencySelector, PickResult,
    PickedServer, ServerDirectory, ServerRegistry, ServerReport, ServerSelector, ServerStatus,
    ServiceBalancer, rank_entries,
};
use proptest::prelude::*;
use rand::{RngCore, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use types::{
    Announcement, ClusterState, Command, EntryIncarnation, EntryInfo, EntryName, LogTime,
    RegistryRequest, RegistryVersion, ServerIncarnation, ServerName, ServerRecord, ServerStage,
    ServerState, ServiceName, ShardOwnerId, SuspectKind, SuspectReport,
};

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("valid name")
}

fn announcement(server: &str, incarnation: u64, sequence: u64, state: ServerState) -> Announcement {
    Announcement {
        server: name(server),
        service: name("s"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        domain: name("d"),
        slots: 3,
        incarnation: ServerIncarnation(incarnation),
        sequence,
        state,
    }
}

fn owner(entry: &str, incarnation: u64) -> ShardOwnerId {
    ShardOwnerId { entry: name(entry), incarnation: EntryIncarnation(incarnation) }
}

fn stage(registry: &ServerRegistry, server: &str) -> Option<ServerStage> {
    registry.get(&name(server)).map(|record| record.stage)
}

#[test]
fn late_repeated_and_reordered_announcements_have_no_effect() {
    let now = Instant::now();
    let mut registry = ServerRegistry::new(owner("e", 1));
    let ready = announcement("x", 2, 5, ServerState::Ready);
    assert_eq!(registry.announce(&ready, None, now), AnnounceOutcome::Started);
    assert!(registry.mark_warm(&name("x"), ServerIncarnation(2)));
    let leaving = announcement("x", 2, 7, ServerState::Leaving);
    assert_eq!(registry.announce(&leaving, None, now), AnnounceOutcome::Changed);
    let version = registry.version();
    let cases = [
        (announcement("x", 2, 6, ServerState::Ready), AnnounceOutcome::Stale),
        (announcement("x", 1, 9, ServerState::Ready), AnnounceOutcome::Stale),
        (leaving.clone(), AnnounceOutcome::Renewed),
    ];
    for (late, expected) in cases {
        assert_eq!(registry.announce(&late, None, now), expected, "{late:?}");
    }
    assert_eq!((stage(&registry, "x"), registry.version()), (Some(ServerStage::Leaving), version));
    let restarted = announcement("x", 3, 0, ServerState::Ready);
    assert_eq!(registry.announce(&restarted, None, now), AnnounceOutcome::Started);
    assert_eq!(stage(&registry, "x"), Some(ServerStage::Cold), "a restarted server is cold");
    assert_eq!(registry.verify(), Ok(()));
}

#[test]
fn suspicions_of_a_former_incarnation_have_no_effect() {
    let now = Instant::now();
    let mut registry = ServerRegistry::new(owner("e", 1));
    registry.announce(&announcement("x", 2, 0, ServerState::Ready), None, now);
    registry.mark_warm(&name("x"), ServerIncarnation(2));
    let report = |incarnation, kind| SuspectReport {
        server: name("x"),
        incarnation: ServerIncarnation(incarnation),
        kind,
    };
    assert!(!registry.suspect(&report(1, SuspectKind::Restarted)));
    assert_eq!(stage(&registry, "x"), Some(ServerStage::Warm));
    assert!(registry.suspect(&report(2, SuspectKind::Restarted)));
    assert_eq!(stage(&registry, "x"), Some(ServerStage::Cold));
    assert!(registry.suspect(&report(2, SuspectKind::Leaving)));
    assert_eq!(stage(&registry, "x"), Some(ServerStage::Leaving));
    assert!(
        !registry.mark_warm(&name("x"), ServerIncarnation(2)),
        "a leaving server does not become warm"
    );
}

#[test]
fn server_that_stops_announcing_is_removed() {
    let now = Instant::now();
    let mut registry = ServerRegistry::new(owner("e", 1));
    registry.announce(&announcement("x", 1, 0, ServerState::Ready), None, now);
    assert!(registry.expire(now + Duration::from_secs(9)).is_empty());
    assert_eq!(registry.expire(now + Duration::from_secs(10)), [name::<ServerName>("x")]);
    assert_eq!(stage(&registry, "x"), None);
}

/// Returns the replicated state of a cluster with these entries.
fn cluster(entries: &[&str]) -> ClusterState {
    let mut state = ClusterState::default();
    for entry in entries {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let info = EntryInfo {
            name: name(entry),
            domain: name("d"),
            incarnation: EntryIncarnation(1),
            caller_address: address,
            server_address: address,
            peer_address: address,
            operator_address: address,
            serving: true,
            owns_shards: true,
        };
        state.apply(LogTime(0), &Command::PutEntry(info));
        state.apply(LogTime(0), &Command::BalanceRanges);
    }
    state
}

fn pull(directory: &mut ServerDirectory, registry: &ServerRegistry, now: Instant) {
    let heartbeat =
        types::OwnerHeartbeat { owner: registry.owner().clone(), version: registry.version() };
    while let Some(request) = directory.observe_heartbeat(&heartbeat, now) {
        directory.apply(&registry.delta(&request), now);
    }
}

#[test]
fn cold_server_is_known_only_from_its_current_owner() {
    let now = Instant::now();
    let state = cluster(&["a", "b"]);
    let current_owner = state.view().server_lease(&name("x")).expect("owner").owner.clone();
    let other_owner = if current_owner.as_str() == "a" { "b" } else { "a" };
    let mut other_registry = ServerRegistry::new(owner(other_owner, 1));
    other_registry.announce(&announcement("x", 9, 0, ServerState::Ready), None, now);
    let mut directory = ServerDirectory::default();
    pull(&mut directory, &other_registry, now);
    assert!(
        directory.servers(&name("s"), state.view()).is_empty(),
        "the record is not from the current owner"
    );
    let mut current_registry = ServerRegistry::new(owner(current_owner.as_str(), 1));
    current_registry.announce(&announcement("x", 2, 0, ServerState::Leaving), None, now);
    pull(&mut directory, &current_registry, now);
    let servers = directory.servers(&name("s"), state.view());
    assert_eq!(servers.len(), 1);
    assert_eq!(
        (&servers[0].owner, servers[0].record.stage),
        (&current_owner, ServerStage::Leaving)
    );
}

#[test]
fn records_of_an_owner_before_its_restart_are_dropped() {
    let now = Instant::now();
    let state = cluster(&["a"]);
    let mut first = ServerRegistry::new(owner("a", 1));
    for server in ["x", "y", "z"] {
        first.announce(&announcement(server, 1, 0, ServerState::Ready), None, now);
    }
    let mut directory = ServerDirectory::default();
    pull(&mut directory, &first, now);
    assert_eq!(directory.servers(&name("s"), state.view()).len(), 3);
    let mut second = ServerRegistry::new(owner("a", 2));
    second.announce(&announcement("y", 1, 1, ServerState::Ready), None, now);
    pull(&mut directory, &second, now);
    let servers = directory.servers(&name("s"), state.view());
    assert_eq!(servers.len(), 1, "only records sent after the restart are kept");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(4), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against changes that are lost or applied in the wrong order: after any sequence of
    /// registry changes and lost deltas, an entry that pulls until it is up to date has the records
    /// of the registry.
    #[test]
    fn directory_converges_to_the_registry(
        steps in proptest::collection::vec((0..600_u64, 0..6_u8, any::<bool>()), 1..900)
    ) {
        let start = Instant::now();
        let state = cluster(&["a"]);
        let mut registry = ServerRegistry::new(owner("a", 1));
        let mut directory = ServerDirectory::default();
        for (number, (which, action, is_lost)) in steps.into_iter().enumerate() {
            let now = start + Duration::from_millis(10 * number as u64);
            let server = format!("x{which}");
            match action {
                0 | 1 => {
                    let ready = announcement(&server, 1, number as u64, ServerState::Ready);
                    registry.announce(&ready, None, now);
                }
                2 => {
                    let leaving = announcement(&server, 1, number as u64, ServerState::Leaving);
                    registry.announce(&leaving, None, now);
                }
                3 => { registry.mark_warm(&name(&server), ServerIncarnation(1)); }
                4 => { registry.expire(now); }
                _ => {
                    let heartbeat = types::OwnerHeartbeat { owner: registry.owner().clone(), version: registry.version() };
                    if let Some(request) = directory.observe_heartbeat(&heartbeat, now) && !is_lost {
                        directory.apply(&registry.delta(&request), now);
                    }
                }
            }
            prop_assert_eq!(registry.verify(), Ok(()));
        }
        pull(&mut directory, &registry, start);
        let known: Vec<ServerRecord> =
            directory.servers(&name("s"), state.view()).into_iter().map(|s| s.record).collect();
        let mut expected: Vec<ServerRecord> = registry.records().cloned().collect();
        // Renewals are not sent, so that sequence numbers may differ.
        expected.iter_mut().for_each(|record| record.announcement.sequence = 0);
        let mut known = known;
        known.iter_mut().for_each(|record| record.announcement.sequence = 0);
        prop_assert_eq!(known, expected);
    }
}

#[test]
fn leaving_server_is_sent_out_of_turn() {
    let now = Instant::now();
    let mut registry = ServerRegistry::new(owner("a", 1));
    for number in 0..1_000 {
        let ready = announcement(&format!("x{number:04}"), 1, 0, ServerState::Ready);
        registry.announce(&ready, None, now);
    }
    registry.announce(&announcement("x0999", 1, 1, ServerState::Leaving), None, now);
    let request = RegistryRequest { incarnation: EntryIncarnation(1), since: RegistryVersion(0) };
    let delta = registry.delta(&request);
    assert!(delta.changes.len() <= 257, "the other changes are limited");
    let is_leaving = |change: &types::RegistryChange| matches!(change, types::RegistryChange::Put(record) if record.stage == ServerStage::Leaving);
    assert!(delta.changes.iter().any(is_leaving));
}

fn balancer_settings() -> BalancerSettings {
    BalancerSettings {
        cold_concurrency: 1,
        max_ejected_percent: 50,
        selector: Arc::new(LatencySelector),
    }
}

fn server_status(server: &str, stage: ServerStage, may_warm: bool) -> ServerStatus {
    let state = match stage {
        ServerStage::Leaving => ServerState::Leaving,
        ServerStage::Cold | ServerStage::Warm => ServerState::Ready,
    };
    let record = ServerRecord { announcement: announcement(server, 1, 0, state), stage };
    ServerStatus { record, owner: name("e"), may_warm, is_drained: false }
}

fn pick(balancer: &mut ServiceBalancer, now: Instant) -> Option<PickedServer> {
    match balancer.pick(&[], false, |_| true, now, &mut SmallRng::seed_from_u64(1)) {
        PickResult::Picked(server) => Some(server),
        PickResult::Busy | PickResult::NoneEligible { .. } => None,
    }
}

#[test]
fn ineligible_servers_are_never_picked() {
    let now = Instant::now();
    let drained = ServerStatus { is_drained: true, ..server_status("x", ServerStage::Warm, false) };
    let cases = [
        ("leaving", server_status("x", ServerStage::Leaving, true)),
        ("cold, with another owner", server_status("x", ServerStage::Cold, false)),
        ("drained", drained),
    ];
    for (case, server) in cases {
        let mut balancer = ServiceBalancer::new(balancer_settings());
        balancer.update(vec![server]);
        assert_eq!(pick(&mut balancer, now), None, "{case}");
    }
    let mut balancer = ServiceBalancer::new(balancer_settings());
    balancer.update(vec![server_status("x", ServerStage::Warm, false)]);
    let result = balancer.pick(&[], false, |_| false, now, &mut SmallRng::seed_from_u64(1));
    assert!(matches!(result, PickResult::NoneEligible { .. }), "no heartbeats from its owner");
}

#[test]
fn fail_fast_server_does_not_attract_load() {
    let start = Instant::now();
    let mut balancer = ServiceBalancer::new(balancer_settings());
    balancer.update(
        ["bad", "x", "y", "z"].map(|n| server_status(n, ServerStage::Warm, false)).to_vec(),
    );
    let mut rng = SmallRng::seed_from_u64(1);
    let mut at_bad = 0;
    for number in 0..2_000_u64 {
        let now = start + Duration::from_millis(number);
        let PickResult::Picked(server) = balancer.pick(&[], false, |_| true, now, &mut rng) else {
            panic!("no server");
        };
        let is_bad = server.name.as_str() == "bad";
        at_bad += u32::from(is_bad);
        let outcome = if is_bad {
            AttemptOutcome::ServerError
        } else {
            AttemptOutcome::Success(Duration::from_millis(1))
        };
        balancer.release(&server, outcome, &ServerReport::default(), now);
    }
    assert!(at_bad < 40, "{at_bad} of 2000 requests went to the server that fails fast");
}

#[test]
fn recovered_server_gets_requests_again() {
    let start = Instant::now();
    let mut balancer = ServiceBalancer::new(balancer_settings());
    balancer
        .update(["slow", "x", "y"].map(|n| server_status(n, ServerStage::Warm, false)).to_vec());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut late_picks = 0;
    for number in 0..5_000_u64 {
        let now = start + Duration::from_millis(number);
        let PickResult::Picked(server) = balancer.pick(&[], false, |_| true, now, &mut rng) else {
            panic!("no server");
        };
        let is_slow = server.name.as_str() == "slow";
        late_picks += u32::from(is_slow && number > 2_000);
        let latency = Duration::from_millis(if is_slow && number < 1_000 { 50 } else { 2 });
        balancer.release(&server, AttemptOutcome::Success(latency), &ServerReport::default(), now);
    }
    assert!(late_picks > 100, "{late_picks} of 3000");
}

/// Picks any server below its limit, at random.
struct RandomSelector;

impl ServerSelector for RandomSelector {
    fn pick(&self, candidates: &[CandidateLoad], rng: &mut dyn RngCore) -> Option<usize> {
        let below_limit = (0..candidates.len()).filter(|index| candidates[*index].has_capacity());
        below_limit.choose(rng)
    }
}

/// Returns how many of 4,000 requests go to the server "slow" after its latency rises by `factor`
/// at the 1,000th request. Servers are picked at random, so that only ejection keeps requests away.
fn picks_of_slow_server(factor: f64, healthy: &[&str]) -> u32 {
    let start = Instant::now();
    let settings = BalancerSettings { selector: Arc::new(RandomSelector), ..balancer_settings() };
    let mut balancer = ServiceBalancer::new(settings);
    let names = healthy.iter().copied().chain(["slow"]);
    balancer.update(names.map(|name| server_status(name, ServerStage::Warm, false)).collect());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut picks = 0;
    for number in 0..5_000_u64 {
        let now = start + Duration::from_millis(number);
        let PickResult::Picked(server) = balancer.pick(&[], false, |_| true, now, &mut rng) else {
            panic!("no server");
        };
        let is_slow = server.name.as_str() == "slow" && number >= 1_000;
        picks += u32::from(is_slow);
        let noise = 0.3 - rand::Rng::random_range(&mut rng, f64::EPSILON..1.0).ln();
        let latency = Duration::from_secs_f64(noise * if is_slow { factor } else { 1.0 } / 1e3);
        balancer.release(&server, AttemptOutcome::Success(latency), &ServerReport::default(), now);
    }
    picks
}

#[test]
fn server_three_times_slower_is_ejected_and_healthy_one_is_not() {
    let healthy = ["u", "v", "w", "x", "y"];
    let share = 4_000 / 6;
    let normal = picks_of_slow_server(1.0, &healthy);
    assert!(normal > share * 8 / 10, "{normal} of 4000 went to a healthy server");
    let slow = picks_of_slow_server(3.0, &healthy);
    assert!(slow < share / 2, "{slow} of 4000 went to the slow server");
}

#[test]
fn servers_are_not_all_ejected_for_bad_health() {
    let now = Instant::now();
    let mut balancer = ServiceBalancer::new(balancer_settings());
    balancer
        .update(["w", "x", "y", "z"].map(|n| server_status(n, ServerStage::Warm, false)).to_vec());
    for _ in 0..200 {
        if let Some(server) = pick(&mut balancer, now) {
            balancer.release(&server, AttemptOutcome::ServerError, &ServerReport::default(), now);
        }
    }
    assert!(pick(&mut balancer, now).is_some(), "half of the servers stay in use");
}

#[test]
fn server_reporting_a_restart_or_leaving_gets_no_more_requests() {
    let now = Instant::now();
    let check_suspicion = |report: ServerReport, expected| {
        let mut balancer = ServiceBalancer::new(balancer_settings());
        balancer.update(vec![server_status("x", ServerStage::Warm, false)]);
        let picked = pick(&mut balancer, now).expect("warm");
        let success = AttemptOutcome::Success(Duration::from_millis(1));
        let release = balancer.release(&picked, success, &report, now);
        assert_eq!(release.suspicion, Some(expected));
        assert_eq!(pick(&mut balancer, now), None);
    };
    let restarted = ServerReport { incarnation: Some(ServerIncarnation(2)), ..Default::default() };
    check_suspicion(restarted, SuspectKind::Restarted);
    check_suspicion(ServerReport { is_leaving: true, ..Default::default() }, SuspectKind::Leaving);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// A cold server never gets more concurrent requests than its warm-up ramp allows. The ramp
    /// grows by half of its value, at least by one, for every eight successes since the last
    /// failure. From one request to the three slots of this server, that is one for every eight
    /// successes.
    #[test]
    fn cold_server_is_not_overloaded(actions in proptest::collection::vec(0..5_u8, 1..400)) {
        let now = Instant::now();
        let mut balancer = ServiceBalancer::new(balancer_settings());
        balancer.update(vec![server_status("x", ServerStage::Cold, true)]);
        let mut in_flight: Vec<PickedServer> = Vec::new();
        let mut successes = 0_u32;
        for action in actions {
            match action {
                0..=2 => if let Some(server) = pick(&mut balancer, now) {
                    in_flight.push(server);
                    let limit = (1 + successes / 8).min(3);
                    prop_assert!(in_flight.len() as u32 <= limit, "{} of {limit}", in_flight.len());
                },
                3 => if let Some(server) = in_flight.pop() {
                    successes += 1;
                    let success = AttemptOutcome::Success(Duration::from_millis(1));
                    balancer.release(&server, success, &ServerReport::default(), now);
                },
                _ => if let Some(server) = in_flight.pop() {
                    successes = 0;
                    balancer.release(&server, AttemptOutcome::Shed, &ServerReport::default(), now);
                },
            }
            prop_assert_eq!(balancer.verify(), Ok(()));
        }
    }
}

#[test]
fn entry_ranking_skips_entries_that_do_not_serve_and_keeps_its_order() {
    let mut state = cluster(&["a", "b", "c", "d", "e"]);
    let service: ServiceName = name("s");
    let names = |state: &ClusterState| -> Vec<EntryName> {
        rank_entries(state.view(), &service, 3).into_iter().map(|e| e.name.clone()).collect()
    };
    let first = names(&state);
    assert_eq!(first.len(), 3);
    let leaving = state.view().entry(&first[0]).expect("entry").clone();
    state.apply(LogTime(0), &Command::PutEntry(EntryInfo { serving: false, ..leaving }));
    let second = names(&state);
    assert_eq!(second[..2], first[1..], "the others keep their order");
}
