//! A system of real processes and fake servers, for benchmarks and for tests that kill, suspend or
//! stop processes. Helpers panic on failure, so that the calling test fails.

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

/// Timeout of [`wait_until`]; reached only if there is a fault.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(40);

/// A running system. Its processes are killed and its files deleted on drop.
pub struct TestSystem {
    /// Processes of the system.
    pub group: ProcessGroup,
    /// Client for callers' requests.
    pub client: HttpClient,
    /// Client for operators' requests.
    pub operator_client: OperatorClient,
    _folder: TempDir,
}

/// Polls a condition every 50 ms until it holds. Panics with `what` after 40 s.
pub async fn wait_until<F, R>(what: &str, mut condition: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < CONDITION_TIMEOUT, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Sleeps for some milliseconds.
pub async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Returns a document with the services `look` and `book`. POST requests to `book` must not be
/// repeated.
pub fn test_document(timeout_ms: u32) -> TeamDocument {
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

impl TestSystem {
    /// Starts the processes, bootstraps the replica group and applies [`test_document`].
    ///
    /// The first processes have both the entry and the replica role.
    pub async fn start(program: &str, replicas: usize, entries: usize) -> Self {
        let folder = tempfile::tempdir().expect("folder");
        let settings = GroupSettings {
            program: PathBuf::from(program),
            ctl_program: None,
            folder: folder.path().to_owned(),
            replicas,
            entries,
            domains: vec!["east".to_owned(), "west".to_owned()],
        };
        let group = ProcessGroup::start(settings).expect("processes start");
        let operator_client = OperatorClient::new(&group.operator_keys()).expect("keys");
        let system =
            Self { group, client: HttpClient::default(), operator_client, _folder: folder };
        system.bootstrap(replicas).await;
        let answer = system.submit_action(0, ChangeAction::Document(test_document(5_000))).await;
        assert!(matches!(answer, ChangeAnswer::Accepted { .. }), "{answer:?}");
        system
    }

    /// Returns a process's endpoint for operators' requests.
    pub fn endpoint(&self, index: usize) -> OperatorEndpoint {
        let process = &self.group.processes[index];
        let host = process.name.parse().expect("valid");
        OperatorEndpoint { host, address: process.operator }
    }

    /// Returns a process's status page, or `None` if it does not answer.
    pub async fn status(&self, index: usize) -> Option<StatusPage> {
        self.operator_client.get(&self.endpoint(index), "/v1/status").await.ok()
    }

    async fn bootstrap(&self, replicas: usize) {
        let mut members = Vec::new();
        for index in 0..replicas {
            wait_until("the process answers", || async { self.status(index).await.is_some() })
                .await;
            let page = self.status(index).await.expect("answers");
            members.push(consensus::Member {
                id: page.replica.expect("replica").id,
                host: page.process,
                address: page.peer_address,
                domain: None,
                role: consensus::MemberRole::Voter,
            });
        }
        for index in 0..replicas {
            let path = "/v1/bootstrap";
            let result: Result<(), _> =
                self.operator_client.post(&self.endpoint(index), path, &members).await;
            result.expect("bootstrap succeeds");
        }
    }

    /// Returns the index of the process whose replica is the leader. Panics if there is none after
    /// 400 polls.
    pub async fn leader(&self) -> usize {
        for _ in 0..400 {
            for index in 0..self.group.processes.len() {
                let page = self.status(index).await;
                if page.and_then(|page| page.replica).is_some_and(|replica| replica.is_leader) {
                    return index;
                }
            }
            sleep_ms(50).await;
        }
        panic!("no replica became the leader");
    }

    /// Submits a change to the processes in turn until one answers. The id stays the same, so the
    /// change is decided once. Panics after 20 rounds.
    pub async fn submit_change(&self, change: &ChangeRequest) -> ChangeAnswer {
        for _ in 0..20 {
            for index in 0..self.group.processes.len() {
                let endpoint = self.endpoint(index);
                if let Ok(answer) =
                    self.operator_client.post(&endpoint, "/v1/changes", change).await
                {
                    return answer;
                }
            }
            sleep_ms(100).await;
        }
        panic!("no process answered the change");
    }

    /// Submits an action as a change with a new id. `expected` is the expected document version.
    pub async fn submit_action(&self, expected: u64, action: ChangeAction) -> ChangeAnswer {
        let id = ChangeId(Uuid::now_v7());
        let expected_version = DocumentVersion(expected);
        self.submit_change(&ChangeRequest { id, expected_version, action }).await
    }

    /// Drains a failure domain. `expected` is the expected document version.
    pub async fn drain(&self, domain: &str, expected: u64) -> ChangeAnswer {
        let domain = domain.parse().expect("valid");
        self.submit_action(expected, ChangeAction::Drain(domain)).await
    }

    /// Starts a fake server with default behaviour that announces itself to the processes.
    pub async fn start_server(&self, name: &str, service: &str, domain: &str) -> FakeServer {
        self.start_server_with(name, service, domain, FakeBehaviour::default()).await
    }

    /// Starts a fake server with the given behaviour that announces itself to the processes.
    pub async fn start_server_with(
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

    /// Returns an entry's address for callers' requests.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.group.processes[index].caller
    }

    /// Sends a GET request for service `look` to an entry. Returns `None` if the entry does not
    /// answer.
    pub async fn send_lookup(&self, index: usize) -> Option<HttpAnswer> {
        self.client.send(self.caller_address(index), HttpRequest::get("/v1/call/look/x")).await.ok()
    }

    /// Sends a POST request for service `book` with an idempotency key to an entry. Returns `None`
    /// if the entry does not answer.
    pub async fn send_booking(&self, index: usize, key: &str, body: &str) -> Option<HttpAnswer> {
        let request = HttpRequest::post("/v1/call/book/x", body.as_bytes().to_vec())
            .with_header(header::IDEMPOTENCY_KEY, key);
        self.client.send(self.caller_address(index), request).await.ok()
    }

    /// Waits until an entry answers requests for service `look` or `book` with status 200.
    pub async fn wait_until_served(&self, index: usize, service: &str) {
        wait_until("the entry answers with status 200", || async {
            let answer = match service {
                "look" => self.send_lookup(index).await,
                _ => self.send_booking(index, &new_key(), "warm").await,
            };
            answer.is_some_and(|answer| answer.status == 200)
        })
        .await;
    }

    /// Sends requests for service `look` to an entry until its status page shows at least `count`
    /// warm servers.
    pub async fn wait_until_warm(&self, index: usize, count: usize) {
        wait_until("the servers are warm", || async {
            let _ = self.send_lookup(index).await;
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

/// Returns the outcome header of an answer, or an empty string if it is absent.
pub fn outcome(answer: &HttpAnswer) -> &str {
    answer.header(header::OUTCOME)
}

/// Returns how often requests with a key have run, over all given servers.
pub fn execution_count(servers: &[&FakeServer], key: &str) -> u32 {
    servers
        .iter()
        .map(|server| server.stats().executions_by_key.get(key).copied().unwrap_or(0))
        .sum()
}
