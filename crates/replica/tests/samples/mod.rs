//! One value of each kind that is written to disk or sent between processes.

use consensus::{
    AppendResult, Envelope, HardState, LogEntry, LogIndex, LogPayload, Member, MemberRole,
    Membership, MembershipChange, Message, ReplicaId, SnapshotImage, Term,
};
use hawthornhill_replica::LogBatch;
use peer::{
    ConsensusMessage, FreshnessAnswer, FreshnessGrant, FreshnessRequest, PeerAnswer, PeerRequest,
    ReadIndexRequest, SubmitAnswer, ViewTransfer,
};
use runtime::{HybridTime, ReplicaAddress};
use std::{fmt::Debug, net::SocketAddr, str::FromStr, sync::Arc};
use types::{
    AnnounceDecision, Announcement, AttemptId, CallAnswer, CallOutcome, CallRequest, CallerLimits,
    ChangeAction, ChangeAnswer, ChangeId, ChangeRequest, ClaimAnswer, ClaimKey, ClaimRelease,
    ClaimRequest, ClaimResult, ClusterState, Command, CommandAnswer, CrashReport, DocumentVersion,
    EntryIncarnation, EntryInfo, HeadHash, HeaderField, LogTime, NonRepeatableRule, OwnerHeartbeat,
    PoolSpec, RefusalKind, RegistryChange, RegistryDelta, RegistryRequest, RegistryVersion,
    RequestFingerprint, RequestReport, RoutePart, RouteSpec, RoutingDecision, RoutingDocument,
    RoutingVersion, ServerIncarnation, ServerRecord, ServerStage, ServerState, ServiceSpec,
    ShardOwnerId, SuspectKind, SuspectReport, TeamDocument, ViewVersion,
};
use uuid::Uuid;

pub const TIME: HybridTime = HybridTime { wall_ms: 1_800_000_000_000, counter: 6 };
const LOG_TIME: LogTime = LogTime(1_800_000_000_000);
/// Key of a request, with the time of the log.
const KEY: Uuid = Uuid::from_u128(0x01a3_185c_5000_7000_8000_0000_0000_0001);

fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 34], port))
}

fn document() -> TeamDocument {
    let rule = NonRepeatableRule { method: "POST".to_owned(), path: "/order".to_owned() };
    let spec = ServiceSpec { non_repeatable: vec![rule], ..ServiceSpec::new(name("desk"), 3) };
    TeamDocument { team: name("team"), services: vec![spec] }
}

fn change(id: u128, expected: u64, action: ChangeAction) -> Command {
    let expected_version = DocumentVersion(expected);
    Command::Change(ChangeRequest { id: ChangeId(Uuid::from_u128(id)), expected_version, action })
}

fn entry_info() -> EntryInfo {
    EntryInfo {
        name: name("edge-1"),
        domain: name("north"),
        incarnation: EntryIncarnation(9),
        caller_address: address(8548),
        server_address: address(0),
        peer_address: address(7540),
        operator_address: "[::1]:9000".parse().expect("an address"),
        serving: true,
        owns_shards: true,
    }
}

fn routing(version: u64, timeout_ms: u32) -> Arc<RoutingDocument> {
    let part = |service: &str, weight| RoutePart { service: name(service), weight };
    let route = |number: u32, timeout_ms| {
        Arc::new(RouteSpec {
            name: format!("r-{number}").into(),
            host: "shop.example".into(),
            prefix: format!("/part{number}/").into(),
            is_idempotent: number == 1,
            timeout_ms,
            target_ms: 300,
            priority: 2,
            max_attempts: 2,
            parts: [part("desk", 90), part("archive", 10)].into_iter().collect(),
        })
    };
    let pool = |service: &str| PoolSpec {
        service: name(service),
        health_path: "/health".into(),
        max_connections: 260,
        warm_up_ms: 3_000,
        warm_up_rate_milli: 5_200,
    };
    Arc::new(RoutingDocument {
        version: RoutingVersion(version),
        routes: vec![route(1, timeout_ms), route(2, 5_000)],
        pools: vec![pool("desk"), pool("archive")],
        limits: CallerLimits::default(),
    })
}

fn announcement(server: &str, port: u16, state: ServerState) -> Announcement {
    Announcement {
        server: name(server),
        service: name("desk"),
        address: address(port),
        domain: name("north"),
        slots: 3,
        incarnation: ServerIncarnation(1_800_000_000_001),
        sequence: 4,
        state,
    }
}

fn fingerprint() -> RequestFingerprint {
    RequestFingerprint::new(HeadHash::new("GET", "shop.example", "/part1/x", 3), b"abc")
}

fn crash(server: &str) -> CrashReport {
    let incarnation = ServerIncarnation(1_800_000_000_001);
    CrashReport { request: fingerprint(), server: name(server), incarnation }
}

fn claim_key() -> ClaimKey {
    ClaimKey { service: name("desk"), key: KEY }
}

/// One command of each kind, in an order in which each has an effect.
pub fn commands() -> Vec<(&'static str, Command)> {
    let attempt = |id| AttemptId(Uuid::from_u128(id));
    let claim = |id| ClaimRequest {
        key: claim_key(),
        digest: 77,
        attempt: attempt(id),
        entry: name("edge-1"),
    };
    let announce =
        |server, port| Command::Announce(Arc::new(announcement(server, port, ServerState::Ready)));
    let crashes = vec![crash("s-1"), crash("s-2"), crash("s-3")];
    vec![
        ("change-document", change(1, 0, ChangeAction::Document(document()))),
        ("change-drain", change(2, 0, ChangeAction::Drain(name("south")))),
        ("change-undrain", change(3, 1, ChangeAction::Undrain(name("south")))),
        ("change-conflict", change(4, 9, ChangeAction::Drain(name("south")))),
        ("claim", Command::Claim(claim(5))),
        ("release", Command::Release(ClaimRelease { key: claim_key(), attempt: attempt(5) })),
        ("claim-again", Command::Claim(claim(6))),
        (
            "finish",
            Command::Finish(ClaimResult { key: claim_key(), attempt: attempt(6), status: 200 }),
        ),
        ("put-entry", Command::PutEntry(entry_info())),
        ("balance-ranges", Command::BalanceRanges),
        ("put-routing", Command::PutRouting(routing(1, 800), "{\"version\":\"r1\"}".into())),
        ("put-routing-again", Command::PutRouting(routing(2, 900), "{\"version\":\"r2\"}".into())),
        ("set-drain", Command::SetDrain(name("west"), true)),
        ("announce", announce("s-1", 8080)),
        ("announce-second", announce("s-2", 8081)),
        ("announce-third", announce("s-3", 8082)),
        ("depart", Command::Depart(name("s-2"))),
        ("expire", Command::Expire(name("s-3"), ServerIncarnation(1_800_000_000_001))),
        ("report", Command::ReportRequests(RequestReport { crashes, answered: Vec::new() })),
        ("remove-entry", Command::RemoveEntry(name("edge-2"), EntryIncarnation(3))),
    ]
}

/// The state after all commands.
pub fn state() -> ClusterState {
    let mut state = ClusterState::default();
    for (_, command) in commands() {
        state.apply(LOG_TIME, &command);
    }
    state
}

fn membership() -> Membership {
    let member = |id, role| Member {
        id: ReplicaId(id),
        host: name("core-1"),
        address: address(7540),
        domain: Some(name("north")),
        role,
    };
    Membership::new(vec![member(7, MemberRole::Voter), member(8, MemberRole::Learner)])
}

fn entries() -> Vec<LogEntry> {
    let payloads = [LogPayload::Noop, LogPayload::Membership(membership())];
    let commands = commands().into_iter().map(|(_, command)| LogPayload::Command(command));
    let entry = |(offset, payload)| LogEntry {
        term: Term(3),
        index: LogIndex(offset as u64 + 1),
        time: LOG_TIME,
        payload,
    };
    payloads.into_iter().chain(commands).enumerate().map(entry).collect()
}

/// A batch with an entry of each kind.
pub fn batch() -> LogBatch {
    let hard_state = Some(HardState { term: Term(3), voted_for: Some(ReplicaId(7)) });
    LogBatch { hard_state, truncate_from: Some(LogIndex(1)), entries: entries() }
}

/// A snapshot from before the batch.
pub fn image() -> SnapshotImage {
    SnapshotImage {
        index: LogIndex(0),
        term: Term(2),
        time: LOG_TIME,
        membership: membership(),
        state: postcard::to_stdvec(&state()).expect("encodes").into(),
    }
}

fn messages() -> Vec<(&'static str, Message)> {
    let (last_index, last_term) = (LogIndex(5), Term(2));
    let (prev_index, prev_term) = (LogIndex(4), Term(2));
    let rejected = AppendResult::Rejected { prev_index, hint: LogIndex(3) };
    vec![
        ("pre-vote", Message::PreVote { last_index, last_term }),
        ("pre-vote-answer", Message::PreVoteAnswer { granted: true }),
        ("vote", Message::Vote { last_index, last_term, transfer: true }),
        ("vote-answer", Message::VoteAnswer { granted: true }),
        (
            "append",
            Message::Append {
                prev_index,
                prev_term,
                entries: entries(),
                commit: LogIndex(4),
                round: 8,
            },
        ),
        ("install", Message::Install { image: image(), round: 9 }),
        (
            "append-matched",
            Message::AppendAnswer { result: AppendResult::Matched(LogIndex(5)), round: 8 },
        ),
        ("append-rejected", Message::AppendAnswer { result: rejected, round: 8 }),
        ("timeout-now", Message::TimeoutNow),
    ]
}

/// One request of each kind.
pub fn requests() -> Vec<(String, PeerRequest)> {
    let consensus = |(kind, message): (&str, Message)| {
        let envelope = Envelope { from: ReplicaId(7), to: ReplicaId(8), term: Term(3), message };
        let message = ConsensusMessage { envelope, host: name("core-1"), address: address(7540) };
        (format!("consensus/{kind}"), PeerRequest::Consensus(message))
    };
    let changes = [
        ("add-learner", MembershipChange::AddLearner(membership().members()[1].clone())),
        ("promote", MembershipChange::Promote(ReplicaId(8))),
        ("demote", MembershipChange::Demote(ReplicaId(7))),
        ("update", MembershipChange::Update(membership().members()[0].clone())),
        ("remove", MembershipChange::Remove(ReplicaId(8))),
    ];
    let change = |(kind, change): (&str, MembershipChange)| {
        (format!("change-membership/{kind}"), PeerRequest::ChangeMembership(change))
    };
    let submit =
        |(kind, command): (&str, Command)| (format!("submit/{kind}"), PeerRequest::Submit(command));
    let owner = ShardOwnerId { entry: name("edge-1"), incarnation: EntryIncarnation(9) };
    let others = vec![
        (
            "freshness",
            PeerRequest::Freshness(FreshnessRequest {
                entry: Some(entry_info()),
                version: ViewVersion(300),
                known_replicas: 0xdead_beef,
                may_relay: true,
            }),
        ),
        (
            "read-index",
            PeerRequest::ReadIndex(ReadIndexRequest {
                replica: ReplicaId(8),
                entries: vec![(name("edge-1"), ViewVersion(300))],
                changed: vec![entry_info()],
            }),
        ),
        ("beat", PeerRequest::Beat(OwnerHeartbeat { owner, version: RegistryVersion(3) })),
        (
            "registry",
            PeerRequest::Registry(RegistryRequest {
                incarnation: EntryIncarnation(9),
                since: RegistryVersion(2),
            }),
        ),
        ("announce", PeerRequest::Announce(announcement("s-1", 8080, ServerState::Leaving))),
        (
            "suspect",
            PeerRequest::Suspect(SuspectReport {
                server: name("s-1"),
                incarnation: ServerIncarnation(1),
                kind: SuspectKind::Unreachable,
            }),
        ),
        (
            "call-forward",
            PeerRequest::CallForward(CallRequest {
                id: Uuid::from_u128(7),
                service: name("desk"),
                method: "POST".to_owned(),
                path: "/x?y".to_owned(),
                headers: vec![HeaderField { name: "a".to_owned(), value: vec![0xff] }],
                body: vec![1, 2, 3],
                key: Some(KEY),
                deadline_ms: 12,
            }),
        ),
        (
            "servers-seen",
            PeerRequest::ServersSeen(vec![(name("s-1"), ServerIncarnation(1_800_000_000_001))]),
        ),
        (
            "report-requests",
            PeerRequest::ReportRequests(RequestReport {
                crashes: vec![crash("s-1")],
                answered: vec![fingerprint()],
            }),
        ),
    ];
    let others = others.into_iter().map(|(kind, request)| (kind.to_owned(), request));
    let changes = changes.into_iter().map(change);
    let submits = commands().into_iter().map(submit);
    messages().into_iter().map(consensus).chain(changes).chain(submits).chain(others).collect()
}

/// One answer of each kind.
pub fn answers() -> Vec<(&'static str, PeerAnswer)> {
    let applied = |answer| PeerAnswer::Submit(SubmitAnswer::Applied(answer));
    let refused = |kind| {
        let (current, reason) = (DocumentVersion(2), "reason".to_owned());
        applied(CommandAnswer::Change(ChangeAnswer::Refused { kind, current, reason }))
    };
    let replica = ReplicaAddress { host: name("core-1"), address: address(7540) };
    let granted = |update| {
        let (replicas, domain) = (vec![replica.clone()], name("north"));
        let grant = FreshnessGrant { update: ViewTransfer::Plain(update), replicas, domain };
        PeerAnswer::Freshness(Box::new(FreshnessAnswer::Granted(grant)))
    };
    let record = ServerRecord {
        announcement: announcement("s-1", 8080, ServerState::Starting),
        stage: ServerStage::Cold,
    };
    let registry = RegistryDelta {
        owner: ShardOwnerId { entry: name("edge-1"), incarnation: EntryIncarnation(9) },
        is_whole: true,
        changes: vec![RegistryChange::Put(record), RegistryChange::Remove(name("s-2"))],
        version: RegistryVersion(4),
    };
    let call = CallAnswer::refusal(503, CallOutcome::NotRun, "busy").with_retry_after(7);
    vec![
        ("done", PeerAnswer::Done),
        ("changes", granted(state().update_since(ViewVersion(1)))),
        ("whole-view", granted(state().update_since(ViewVersion::default()))),
        (
            "not-leader",
            PeerAnswer::Freshness(Box::new(FreshnessAnswer::NotLeader(Some(replica.clone())))),
        ),
        (
            "change-accepted",
            applied(CommandAnswer::Change(ChangeAnswer::Accepted { version: DocumentVersion(3) })),
        ),
        ("change-conflict", refused(RefusalKind::Conflict)),
        ("change-service-held", refused(RefusalKind::ServiceHeld { team: name("team") })),
        ("change-id-reused", refused(RefusalKind::IdReused)),
        ("change-invalid", refused(RefusalKind::Invalid)),
        ("claim-granted", applied(CommandAnswer::Claim(ClaimAnswer::Granted))),
        ("claim-ran", applied(CommandAnswer::Claim(ClaimAnswer::Ran { status: 200 }))),
        ("claim-bad-key", applied(CommandAnswer::Claim(ClaimAnswer::BadKey))),
        ("routing-in-force", applied(CommandAnswer::Routing(RoutingDecision::InForce))),
        (
            "routing-superseded",
            applied(CommandAnswer::Routing(RoutingDecision::Superseded(RoutingVersion(2)))),
        ),
        ("routing-other", applied(CommandAnswer::Routing(RoutingDecision::OtherContent))),
        ("announce-registered", applied(CommandAnswer::Announce(AnnounceDecision::Registered))),
        ("announce-stale", applied(CommandAnswer::Announce(AnnounceDecision::Stale))),
        ("announce-contradicts", applied(CommandAnswer::Announce(AnnounceDecision::Contradicts))),
        ("applied", applied(CommandAnswer::Done)),
        ("accepted", PeerAnswer::Submit(SubmitAnswer::Accepted)),
        ("submit-not-leader", PeerAnswer::Submit(SubmitAnswer::NotLeader(Some(replica)))),
        ("submit-refused", PeerAnswer::Submit(SubmitAnswer::Refused("reason".to_owned()))),
        ("submit-unknown", PeerAnswer::Submit(SubmitAnswer::Unknown)),
        ("read-index", PeerAnswer::ReadIndex(Some(LogIndex(5)))),
        ("read-index-none", PeerAnswer::ReadIndex(None)),
        ("registry", PeerAnswer::Registry(registry)),
        ("call-forward", PeerAnswer::CallForward(Box::new(call))),
        ("refused", PeerAnswer::Refused("reason".to_owned())),
    ]
}
