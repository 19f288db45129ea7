//! A system of real processes with fake servers, for tests of kills, freezes and stops, and for
//! measurements. Helpers panic where a test would fail.

use crate::{
    FakeBehaviour, FakeServer, FakeServerSettings, GroupSettings, HttpAnswer, HttpClient,
    HttpRequest, ProcessGroup,
};
use operator::{OperatorClient, OperatorEndpoint, StatusPage};
use std::{
    future::Future,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};
use tempfile::TempDir;
use types::{
    ChangeAction, ChangeAnswer, ChangeId, ChangeRequest, DocumentVersion, NonRepeatableRule,
    ServiceSpec, TeamDocument, header,
};
use uuid::Uuid;

/// The longest wait for a condition; only a fault makes a test wait that long.
const PATIENCE: Duration = Duration::from_secs(40);

/// A running system.
pub struct System {
    /// Its processes.
    pub group: ProcessGroup,
    /// Connections of a caller.
    pub client: HttpClient,
    /// Connections of an operator.
    pub operators: OperatorClient,
    _folder: TempDir,
}

/// Waits until a condition holds.
pub async fn wait_until<F, R>(what: &str, mut condition: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < PATIENCE, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits for some milliseconds.
pub async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// The services of the tests: `look` may be repeated, `registry` may not, by POST.
pub fn document(timeout_ms: u32) -> TeamDocument {
    let spec = |name: &str| ServiceSpec {
        timeout_ms,
        ..ServiceSpec::new(name.parse().expect("valid"), 0)
    };
    let rule = NonRepeatableRule { method: "POST".to_owned(), path: "/".to_owned() };
    TeamDocument {
        team: "team".parse().expect("valid"),
        services: vec![spec("look"), ServiceSpec { non_repeatable: vec![rule], ..spec("book") }],
    }
}

impl System {
    /// Starts processes that are entry and replica each, forms the group, and applies a document.
    pub async fn start(program: &str, replicas: usize, entries: usize) -> Self {
        let folder = tempfile::tempdir().expect("folder");
        let settings = GroupSettings {
            program: PathBuf::from(program),
            control: None,
            folder: folder.path().to_owned(),
            replicas,
            entries,
            domains: vec!["east".to_owned(), "west".to_owned()],
        };
        let group = ProcessGroup::start(settings).expect("processes start");
        let operators = OperatorClient::new(&group.operator_keys()).expect("keys");
        let system = Self { group, client: HttpClient::default(), operators, _folder: folder };
        system.form(replicas).await;
        let answer = system.change(0, ChangeAction::Document(document(5_000))).await;
        assert!(matches!(answer, ChangeAnswer::Accepted { .. }), "{answer:?}");
        system
    }

    /// Returns where a process takes operators' requests.
    pub fn endpoint(&self, index: usize) -> OperatorEndpoint {
        let process = &self.group.processes[index];
        let host = process.name.parse().expect("valid");
        OperatorEndpoint { host, address: process.operator }
    }

    /// Returns a process's status page, `None` if it does not answer.
    pub async fn status(&self, index: usize) -> Option<StatusPage> {
        self.operators.get(&self.endpoint(index), "/v1/status").await.ok()
    }

    async fn form(&self, replicas: usize) {
        let mut members = Vec::new();
        for index in 0..replicas {
            wait_until("process answers", || async { self.status(index).await.is_some() }).await;
            let page = self.status(index).await.expect("answers");
            members.push(consensus::Member {
                id: page.replica.expect("replica").id,
                host: page.process,
                address: page.peer_address,
                role: consensus::MemberRole::Voter,
            });
        }
        for index in 0..replicas {
            let path = "/v1/bootstrap";
            let formed: Result<(), _> =
                self.operators.post(&self.endpoint(index), path, &members).await;
            formed.expect("group is formed");
        }
    }

    /// Returns the index of the leading process.
    pub async fn leader(&self) -> usize {
        for _ in 0..400 {
            for index in 0..self.group.processes.len() {
                let page = self.status(index).await;
                if page.and_then(|page| page.replica).is_some_and(|replica| replica.is_leader) {
                    return index;
                }
            }
            pause(50).await;
        }
        panic!("no leader");
    }

    /// Decides a change, resending it with the same id until its fate is known.
    pub async fn decide(&self, change: &ChangeRequest) -> ChangeAnswer {
        for _ in 0..20 {
            for index in 0..self.group.processes.len() {
                let endpoint = self.endpoint(index);
                if let Ok(answer) = self.operators.post(&endpoint, "/v1/changes", change).await {
                    return answer;
                }
            }
            pause(100).await;
        }
        panic!("the change was not decided");
    }

    /// Decides a change under a new id.
    pub async fn change(&self, expected: u64, action: ChangeAction) -> ChangeAnswer {
        let id = ChangeId(Uuid::now_v7());
        let expected_version = DocumentVersion(expected);
        self.decide(&ChangeRequest { id, expected_version, action }).await
    }

    /// Takes a failure domain out of service.
    pub async fn drain(&self, domain: &str, expected: u64) -> ChangeAnswer {
        let domain = domain.parse().expect("valid");
        self.change(expected, ChangeAction::Drain(domain)).await
    }

    /// Starts a fake server that announces itself to all entries.
    pub async fn server(&self, name: &str, service: &str, domain: &str) -> FakeServer {
        self.server_with(name, service, domain, FakeBehaviour::default()).await
    }

    /// Starts a fake server with a behaviour.
    pub async fn server_with(
        &self,
        name: &str,
        service: &str,
        domain: &str,
        behaviour: FakeBehaviour,
    ) -> FakeServer {
        let settings = FakeServerSettings {
            name: name.parse().expect("valid"),
            service: service.parse().expect("valid"),
            domain: domain.parse().expect("valid"),
            entries: self.group.processes.iter().map(|process| process.server).collect(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            seed: 1,
        };
        FakeServer::start(settings, behaviour).await.expect("server starts")
    }

    /// Returns where an entry takes callers' requests.
    pub fn caller(&self, index: usize) -> SocketAddr {
        self.group.processes[index].caller
    }

    /// Sends a request to an entry. `None` if the entry did not answer.
    pub async fn look(&self, index: usize) -> Option<HttpAnswer> {
        self.client.send(self.caller(index), HttpRequest::get("/v1/call/look/x")).await.ok()
    }

    /// Sends a booking with a key to an entry. `None` if the entry did not answer.
    pub async fn registry(&self, index: usize, key: &str, body: &str) -> Option<HttpAnswer> {
        let request = HttpRequest::post("/v1/call/book/x", body.as_bytes().to_vec())
            .with(header::IDEMPOTENCY_KEY, key);
        self.client.send(self.caller(index), request).await.ok()
    }

    /// Waits until an entry serves lookups or bookings.
    pub async fn wait_served(&self, index: usize, service: &str) {
        wait_until("the entry serves", || async {
            let answer = match service {
                "look" => self.look(index).await,
                _ => self.registry(index, &new_key(), "warm").await,
            };
            answer.is_some_and(|answer| answer.status == 200)
        })
        .await;
    }

    /// Waits until all servers of an entry are warm there.
    pub async fn wait_warm(&self, index: usize, count: usize) {
        wait_until("servers are warm", || async {
            let _ = self.look(index).await;
            let page = self.status(index).await.and_then(|page| page.entry);
            page.is_some_and(|entry| {
                let warm = |row: &&operator::ServerRow| row.stage == types::ServerStage::Warm;
                entry.servers.iter().filter(warm).count() >= count
            })
        })
        .await;
    }
}

/// Returns a new idempotency key.
pub fn new_key() -> String {
    Uuid::now_v7().to_string()
}

/// Returns the outcome that an answer states.
pub fn outcome(answer: &HttpAnswer) -> &str {
    answer.header(header::OUTCOME)
}

/// Returns the runs of a key over all servers.
pub fn runs(servers: &[&FakeServer], key: &str) -> u32 {
    servers.iter().map(|server| server.stats().by_key.get(key).copied().unwrap_or(0)).sum()
}
