//! Large routing documents that change often: hundreds of versions of 1,400 routes on a day.

use hawthornhill_types::{
    CallerLimits, ClusterState, Command, LogTime, PoolSpec, RoutePart, RouteSpec, RoutingDocument,
    RoutingVersion, ViewUpdate, ViewVersion,
};
use std::sync::Arc;

const ROUTES: u32 = 1_400;
const VERSIONS: u64 = 400;
/// A sixteenth of the memory of a replica on the users' hosts.
const SNAPSHOT_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Returns a version in which the timeouts of all routes differ from those of other versions.
fn document(version: u64) -> Arc<RoutingDocument> {
    let service: hawthornhill_types::ServiceName = "archive".parse().expect("a name");
    let route = |number: u32| {
        Arc::new(RouteSpec {
            name: format!("r-{number:05}").into(),
            host: format!("team{}.example", number % 40).into(),
            prefix: format!("/area{number}/part{}/", number % 7).into(),
            is_idempotent: true,
            timeout_ms: 3_000 + version as u32,
            target_ms: 800,
            priority: 2,
            max_attempts: 2,
            parts: [RoutePart { service: service.clone(), weight: 1 }].into_iter().collect(),
        })
    };
    let pool = PoolSpec {
        service: service.clone(),
        health_path: "/health".into(),
        max_connections: 260,
        warm_up_ms: 3_000,
        warm_up_rate_milli: 5_200,
    };
    Arc::new(RoutingDocument {
        version: RoutingVersion(version),
        routes: (0..ROUTES).map(route).collect(),
        pools: vec![pool],
        limits: CallerLimits::default(),
    })
}

fn put(state: &mut ClusterState, version: u64) {
    let command = Command::PutRouting(document(version), format!("r{version}").into());
    state.apply(LogTime(version), &command);
}

/// Guards against replicas that all go over their memory limit at the same time, and again after each
/// restart, since each version of a large document stays in their state and in its snapshot.
#[test]
fn versions_of_a_large_document_do_not_accumulate() {
    let mut state = ClusterState::default();
    for version in 1..=VERSIONS {
        put(&mut state, version);
    }
    let bytes = postcard::to_stdvec(&state).expect("encodes").len();
    assert!(bytes < SNAPSHOT_LIMIT_BYTES, "a snapshot has {bytes} bytes");
}

/// Guards against an entry that lags by more than what is kept and gets no update, or a wrong one.
#[test]
fn entries_that_lag_by_more_than_is_kept_get_the_whole_view() {
    let mut state = ClusterState::default();
    let mut views = vec![state.view().clone()];
    for version in 1..=40 {
        put(&mut state, version);
        views.push(state.view().clone());
    }
    let mut whole_count = 0;
    for mut view in views {
        let update = state.update_since(view.version);
        whole_count += usize::from(matches!(update, ViewUpdate::Whole(_)));
        view.update(update);
        assert_eq!(&view, state.view());
    }
    assert!(state.oldest_change() > ViewVersion(0), "not all changes are kept");
    assert!(whole_count > 1 && whole_count < 40, "{whole_count} of 41 got the whole view");
}
