//! Registries, directories and the choice of servers: fault tables of what owners and servers may do.

use hawthornhill_policy::{
    AnnounceOutcome, AttemptOutcome, CandidateLoad, LatencySelector, LoadSettings, PickResult,
    PickedServer, ServerDirectory, ServerRegistry, ServerSelector, ServerView, ServiceLoad,
    StatedLoad, rank_entries,
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
fn late_repeated_and_reordered_announcements_change_nothing() {
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
    assert_eq!(stage(&registry, "x"), Some(ServerStage::Cold), "a new start is cold");
    assert_eq!(registry.verify(), Ok(()));
}

#[test]
fn suspicions_of_a_former_incarnation_change_nothing() {
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
    assert!(!registry.mark_warm(&name("x"), ServerIncarnation(2)), "a leaving server stays so");
}

#[test]
fn a_server_that_no_longer_announces_is_removed() {
    let now = Instant::now();
    let mut registry = ServerRegistry::new(owner("e", 1));
    registry.announce(&announcement("x", 1, 0, ServerState::Ready), None, now);
    assert!(registry.expire(now + Duration::from_secs(9)).is_empty());
    assert_eq!(registry.expire(now + Duration::from_secs(10)), [name::<ServerName>("x")]);
    assert_eq!(stage(&registry, "x"), None);
}

/// Returns the state of a system whose entries are these.
fn system(entries: &[&str]) -> ClusterState {
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
    let beat =
        types::OwnerHeartbeat { owner: registry.owner().clone(), version: registry.version() };
    while let Some(request) = directory.observe_beat(&beat, now) {
        directory.apply(&registry.delta(&request), now);
    }
}

#[test]
fn only_the_rightful_owner_is_believed_about_a_cold_server() {
    let now = Instant::now();
    let state = system(&["a", "b"]);
    let rightful = state.view().server_lease(&name("x")).expect("owner").owner.clone();
    let other = if rightful.as_str() == "a" { "b" } else { "a" };
    let mut wrong = ServerRegistry::new(owner(other, 1));
    wrong.announce(&announcement("x", 9, 0, ServerState::Ready), None, now);
    let mut directory = ServerDirectory::default();
    pull(&mut directory, &wrong, now);
    assert!(directory.servers(&name("s"), state.view()).is_empty(), "two owners, one rightful");
    let mut right = ServerRegistry::new(owner(rightful.as_str(), 1));
    right.announce(&announcement("x", 2, 0, ServerState::Leaving), None, now);
    pull(&mut directory, &right, now);
    let servers = directory.servers(&name("s"), state.view());
    assert_eq!(servers.len(), 1);
    assert_eq!((&servers[0].owner, servers[0].record.stage), (&rightful, ServerStage::Leaving));
}

#[test]
fn a_restarted_owner_is_read_anew() {
    let now = Instant::now();
    let state = system(&["a"]);
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
    assert_eq!(servers.len(), 1, "what only the former self told of is forgotten");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(4), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens to a registry, and whichever deltas are lost, an entry that pulls until it is
    /// up to date knows the same servers.
    #[test]
    fn pulls_lead_to_the_same_servers(
        steps in proptest::collection::vec((0..600_u64, 0..6_u8, any::<bool>()), 1..900)
    ) {
        let start = Instant::now();
        let state = system(&["a"]);
        let mut registry = ServerRegistry::new(owner("a", 1));
        let mut directory = ServerDirectory::default();
        for (number, (which, action, loses)) in steps.into_iter().enumerate() {
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
                    let beat = types::OwnerHeartbeat { owner: registry.owner().clone(), version: registry.version() };
                    if let Some(request) = directory.observe_beat(&beat, now) && !loses {
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
        // A renewal alone is not sent, so the sequence numbers may differ.
        expected.iter_mut().for_each(|record| record.announcement.sequence = 0);
        let mut known = known;
        known.iter_mut().for_each(|record| record.announcement.sequence = 0);
        prop_assert_eq!(known, expected);
    }
}

#[test]
fn what_must_stop_work_is_sent_ahead_of_its_turn() {
    let now = Instant::now();
    let mut registry = ServerRegistry::new(owner("a", 1));
    for number in 0..1_000 {
        let ready = announcement(&format!("x{number:04}"), 1, 0, ServerState::Ready);
        registry.announce(&ready, None, now);
    }
    registry.announce(&announcement("x0999", 1, 1, ServerState::Leaving), None, now);
    let request = RegistryRequest { incarnation: EntryIncarnation(1), since: RegistryVersion(0) };
    let delta = registry.delta(&request);
    assert!(delta.changes.len() <= 257, "paced");
    let is_leaving = |change: &types::RegistryChange| matches!(change, types::RegistryChange::Put(record) if record.stage == ServerStage::Leaving);
    assert!(delta.changes.iter().any(is_leaving));
}

fn load_settings() -> LoadSettings {
    LoadSettings {
        cold_concurrency: 1,
        max_paused_percent: 50,
        selector: Arc::new(LatencySelector),
    }
}

fn view(server: &str, stage: ServerStage, may_warm: bool) -> ServerView {
    let state = match stage {
        ServerStage::Leaving => ServerState::Leaving,
        ServerStage::Cold | ServerStage::Warm => ServerState::Ready,
    };
    let record = ServerRecord { announcement: announcement(server, 1, 0, state), stage };
    ServerView { record, owner: name("e"), may_warm, is_drained: false }
}

fn pick(load: &mut ServiceLoad, now: Instant) -> Option<PickedServer> {
    match load.pick(&[], false, |_| true, now, &mut SmallRng::seed_from_u64(1)) {
        PickResult::Picked(server) => Some(server),
        PickResult::Busy | PickResult::NoneEligible { .. } => None,
    }
}

#[test]
fn servers_that_must_not_get_work_are_never_picked() {
    let now = Instant::now();
    let drained = ServerView { is_drained: true, ..view("x", ServerStage::Warm, false) };
    let cases = [
        ("leaving", view("x", ServerStage::Leaving, true)),
        ("cold, of another owner", view("x", ServerStage::Cold, false)),
        ("drained", drained),
    ];
    for (case, server) in cases {
        let mut load = ServiceLoad::new(load_settings());
        load.update(vec![server]);
        assert_eq!(pick(&mut load, now), None, "{case}");
    }
    let mut load = ServiceLoad::new(load_settings());
    load.update(vec![view("x", ServerStage::Warm, false)]);
    let result = load.pick(&[], false, |_| false, now, &mut SmallRng::seed_from_u64(1));
    assert!(matches!(result, PickResult::NoneEligible { .. }), "its owner is silent");
}

#[test]
fn a_fail_fast_server_does_not_attract_load() {
    let start = Instant::now();
    let mut load = ServiceLoad::new(load_settings());
    load.update(["bad", "x", "y", "z"].map(|n| view(n, ServerStage::Warm, false)).to_vec());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut at_bad = 0;
    for number in 0..2_000_u64 {
        let now = start + Duration::from_millis(number);
        let PickResult::Picked(server) = load.pick(&[], false, |_| true, now, &mut rng) else {
            panic!("no server");
        };
        let is_bad = server.name.as_str() == "bad";
        at_bad += u32::from(is_bad);
        let outcome = if is_bad {
            AttemptOutcome::ServerError
        } else {
            AttemptOutcome::Success(Duration::from_millis(1))
        };
        load.release(&server, outcome, &StatedLoad::default(), now);
    }
    assert!(at_bad < 40, "{at_bad} of 2000 requests went to the server that fails fast");
}

#[test]
fn a_server_that_was_slow_once_gets_work_again() {
    let start = Instant::now();
    let mut load = ServiceLoad::new(load_settings());
    load.update(["slow", "x", "y"].map(|n| view(n, ServerStage::Warm, false)).to_vec());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut late_picks = 0;
    for number in 0..5_000_u64 {
        let now = start + Duration::from_millis(number);
        let PickResult::Picked(server) = load.pick(&[], false, |_| true, now, &mut rng) else {
            panic!("no server");
        };
        let is_slow = server.name.as_str() == "slow";
        late_picks += u32::from(is_slow && number > 2_000);
        let latency = Duration::from_millis(if is_slow && number < 1_000 { 50 } else { 2 });
        load.release(&server, AttemptOutcome::Success(latency), &StatedLoad::default(), now);
    }
    assert!(late_picks > 100, "{late_picks} of 3000");
}

/// Picks any server with room.
struct AnySelector;

impl ServerSelector for AnySelector {
    fn pick(&self, candidates: &[CandidateLoad], rng: &mut dyn RngCore) -> Option<usize> {
        let with_room = (0..candidates.len()).filter(|index| candidates[*index].has_room());
        with_room.choose(rng)
    }
}

/// Returns the picks of the server "slow", of 4,000, when its answers take `factor` times as long
/// from the 1,000th on; random choice, so that only the ejection keeps requests away.
fn picks_of_slow_server(factor: f64, healthy: &[&str]) -> u32 {
    let start = Instant::now();
    let settings = LoadSettings { selector: Arc::new(AnySelector), ..load_settings() };
    let mut load = ServiceLoad::new(settings);
    let names = healthy.iter().copied().chain(["slow"]);
    load.update(names.map(|name| view(name, ServerStage::Warm, false)).collect());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut picks = 0;
    for number in 0..5_000_u64 {
        let now = start + Duration::from_millis(number);
        let PickResult::Picked(server) = load.pick(&[], false, |_| true, now, &mut rng) else {
            panic!("no server");
        };
        let is_slow = server.name.as_str() == "slow" && number >= 1_000;
        picks += u32::from(is_slow);
        let noise = 0.3 - rand::Rng::random_range(&mut rng, f64::EPSILON..1.0).ln();
        let latency = Duration::from_secs_f64(noise * if is_slow { factor } else { 1.0 } / 1e3);
        load.release(&server, AttemptOutcome::Success(latency), &StatedLoad::default(), now);
    }
    picks
}

#[test]
fn a_server_that_becomes_three_times_slower_is_ejected_and_a_healthy_one_is_not() {
    let healthy = ["u", "v", "w", "x", "y"];
    let share = 4_000 / 6;
    let normal = picks_of_slow_server(1.0, &healthy);
    assert!(normal > share * 8 / 10, "{normal} of 4000 went to a healthy server");
    let slow = picks_of_slow_server(3.0, &healthy);
    assert!(slow < share / 2, "{slow} of 4000 went to the slow server");
}

#[test]
fn not_all_servers_are_left_alone_for_bad_health() {
    let now = Instant::now();
    let mut load = ServiceLoad::new(load_settings());
    load.update(["w", "x", "y", "z"].map(|n| view(n, ServerStage::Warm, false)).to_vec());
    for _ in 0..200 {
        if let Some(server) = pick(&mut load, now) {
            load.release(&server, AttemptOutcome::ServerError, &StatedLoad::default(), now);
        }
    }
    assert!(pick(&mut load, now).is_some(), "half of the servers are kept in use");
}

#[test]
fn what_a_server_states_ends_its_work_here_at_once() {
    let now = Instant::now();
    let stated = |load: StatedLoad, expected| {
        let mut servers = ServiceLoad::new(load_settings());
        servers.update(vec![view("x", ServerStage::Warm, false)]);
        let picked = pick(&mut servers, now).expect("warm");
        let success = AttemptOutcome::Success(Duration::from_millis(1));
        let notes = servers.release(&picked, success, &load, now);
        assert_eq!(notes.suspicion, Some(expected));
        assert_eq!(pick(&mut servers, now), None);
    };
    let restarted = StatedLoad { incarnation: Some(ServerIncarnation(2)), ..Default::default() };
    stated(restarted, SuspectKind::Restarted);
    stated(StatedLoad { is_leaving: true, ..Default::default() }, SuspectKind::Leaving);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// A cold server never has more in flight than its ramp has earned: one, plus one for each
    /// eight good answers, and never more than its slots.
    #[test]
    fn a_cold_server_is_not_pressed(actions in proptest::collection::vec(0..5_u8, 1..400)) {
        let now = Instant::now();
        let mut load = ServiceLoad::new(load_settings());
        load.update(vec![view("x", ServerStage::Cold, true)]);
        let mut flying: Vec<PickedServer> = Vec::new();
        let mut good = 0_u32;
        for action in actions {
            match action {
                0..=2 => if let Some(server) = pick(&mut load, now) {
                    flying.push(server);
                    let earned = (1 + good / 8).min(3);
                    prop_assert!(flying.len() as u32 <= earned, "{} of {earned}", flying.len());
                },
                3 => if let Some(server) = flying.pop() {
                    good += 1;
                    let success = AttemptOutcome::Success(Duration::from_millis(1));
                    load.release(&server, success, &StatedLoad::default(), now);
                },
                _ => if let Some(server) = flying.pop() {
                    good = 0;
                    load.release(&server, AttemptOutcome::Shed, &StatedLoad::default(), now);
                },
            }
            prop_assert_eq!(load.verify(), Ok(()));
        }
    }
}

#[test]
fn the_directory_ranks_alike_everywhere_and_passes_over_who_must_not_serve() {
    let mut state = system(&["a", "b", "c", "d", "e"]);
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
