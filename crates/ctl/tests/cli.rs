//! `hawthornctl` against a running system: exit codes, output, time line and authentication.

use hawthornhill::DaemonProcess;
use peer::KeyIssuer;
use runtime::{ProcessRole, ProcessSettings, ReplicaAddress};
use std::{
    path::{Path, PathBuf},
    process::Command,
};
use tempfile::TempDir;
use testkit::{
    FakeBehaviour, FakeMode, FakeServer, FakeServerSettings, HttpClient, HttpRequest,
    free_addresses, new_key, sleep_ms, wait_until,
};
use types::header;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_hawthornctl");

const DOCUMENT: &str = r#"{"team": "depots", "services": [
  {"name": "zaloga", "priority": 0},
  {"name": "najem", "priority": 1, "non_repeatable": [{"method": "POST", "path": "/"}]}]}"#;

/// Runs the program. Returns its exit code and its standard output and error.
async fn run(arguments: &[&str]) -> (i32, String) {
    let arguments: Vec<String> = arguments.iter().map(|a| (*a).to_owned()).collect();
    let output = tokio::task::spawn_blocking(move || {
        Command::new(PROGRAM).args(arguments).output().expect("runs")
    });
    let output = output.await.expect("joined");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
}

/// Two processes, with the files of an operator.
struct CtlFixture {
    folder: TempDir,
    settings: Vec<ProcessSettings>,
    _processes: Vec<DaemonProcess>,
}

impl CtlFixture {
    /// Starts two processes, one with both roles and one with the entry role only, and forms the
    /// group.
    async fn start() -> Self {
        let folder = tempfile::tempdir().expect("folder");
        let path = |name: &str| folder.path().join(name);
        let issuer = KeyIssuer::open(&path("authority")).expect("authority");
        issuer.issue_operator("ana", 30, &path("ana")).expect("issued");
        let mut settings: Vec<ProcessSettings> = Vec::new();
        for (number, domain) in [(1, "kranj"), (2, "celje")] {
            let name = format!("host-{number}");
            issuer.issue_host(&name, 30, &path(&name)).expect("issued");
            let [peer, caller, server, operator] = free_addresses().expect("ports");
            let replica = settings.first().map_or(peer, |first| first.peer_address);
            let entry_only = vec![ProcessRole::Entry];
            let both = vec![ProcessRole::Entry, ProcessRole::Replica];
            settings.push(ProcessSettings {
                name: name.parse().expect("valid"),
                failure_domain: domain.parse().expect("valid"),
                roles: if number == 1 { both } else { entry_only },
                data_folder: Some(path("data")),
                key_folder: path(&name),
                peer_address: peer,
                caller_address: caller,
                server_address: server,
                operator_address: operator,
                metrics_address: "127.0.0.1:0".parse().expect("valid"),
                replicas: vec![ReplicaAddress {
                    host: "host-1".parse().expect("valid"),
                    address: replica,
                }],
                ..ProcessSettings::default()
            });
        }
        let mut processes = Vec::new();
        for settings in &settings {
            processes.push(DaemonProcess::start(settings.clone()).await.expect("starts"));
        }
        let fixture = Self { folder, settings, _processes: processes };
        std::fs::write(fixture.path("depots.json"), DOCUMENT).expect("written");
        let config = format!(
            "key_folder = {:?}\nendpoints = [\"host-1={}\", \"host-2={}\"]\n",
            fixture.path("ana"),
            fixture.settings[0].operator_address,
            fixture.settings[1].operator_address
        );
        std::fs::write(fixture.path("ops.toml"), config).expect("written");
        let (code, text) = fixture.ctl(&["replica", "init"]).await;
        assert_eq!(code, 0, "{text}");
        fixture
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    async fn ctl(&self, arguments: &[&str]) -> (i32, String) {
        let config = self.path("ops.toml");
        let mut all = vec!["--config", text(&config)];
        all.extend(arguments);
        run(&all).await
    }

    async fn start_server(&self, name: &str, service: &str, domain: &str) -> FakeServer {
        let settings = FakeServerSettings {
            name: name.parse().expect("valid"),
            service: service.parse().expect("valid"),
            domain: domain.parse().expect("valid"),
            entries: self.settings.iter().map(|settings| settings.server_address).collect(),
            address: "127.0.0.1:0".parse().expect("valid"),
            seed: 1,
        };
        FakeServer::start(settings, FakeBehaviour::default()).await.expect("starts")
    }
}

fn text(path: &Path) -> &str {
    path.to_str().expect("text")
}

#[tokio::test(flavor = "multi_thread")]
async fn exit_codes_and_output_match_the_outcome() {
    let fixture = CtlFixture::start().await;
    let document = fixture.path("depots.json");
    let document = text(&document);
    wait_until("the document is applied", || async {
        fixture.ctl(&["apply", document]).await.0 == 0
    })
    .await;

    let bad = fixture.path("bad.json");
    std::fs::write(&bad, DOCUMENT.replace("\"priority\": 1", "\"priority\": 12")).expect("written");
    let other = fixture.path("other.json");
    std::fs::write(&other, DOCUMENT.replace("depots", "others")).expect("written");
    let cases: [(&[&str], i32, &str); 13] = [
        (&["validate", document], 0, "depots: valid, 2 services"),
        (&["validate", text(&bad)], 2, "services[1].priority: 12 is not between 0 and 9"),
        (&["apply", text(&bad)], 2, "services[1].priority"),
        (&["apply", "/nowhere.json"], 2, "/nowhere.json"),
        (&["apply", text(&other)], 3, "service zaloga is held by team depots"),
        (&["apply", "--expected-version", "7", document], 3, "version 1 is in force"),
        (&["diff", document], 0, "team depots, version 1 in force"),
        (&["drain", "kranj", "--wait"], 0, "in force at all 2 entries"),
        (&["undrain", "kranj"], 0, "accepted as version 2"),
        (&["drain", "Kranj"], 2, "may hold only"),
        (&["replica", "init"], 0, "group of 1 replicas formed"),
        (&["replica", "remove", "zz"], 2, "id \"zz\""),
        (&["status"], 0, "leader"),
    ];
    for (arguments, expected, part) in cases {
        let (code, output) = fixture.ctl(arguments).await;
        assert_eq!(code, expected, "{arguments:?}: {output}");
        assert!(output.contains(part), "{arguments:?}: {output}");
    }
    let (code, output) = run(&[
        "--key-folder",
        text(&fixture.path("ana")),
        "--endpoint",
        "host-1=127.0.0.1:1",
        "status",
    ])
    .await;
    assert_eq!(code, 4, "{output}");
    let (code, output) = run(&["status"]).await;
    assert_eq!((code, output.contains("--endpoint")), (2, true), "{output}");
    let (code, output) = fixture.ctl(&["--json", "status"]).await;
    let json = output.find('{').map(|start| &output[start..]).unwrap_or_default();
    assert!(code == 0 && serde_json::from_str::<serde_json::Value>(json).is_ok(), "{output}");
    let (code, output) = run(&["completions", "bash"]).await;
    assert!(code == 0 && output.contains("hawthornctl"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resent_change_is_decided_once() {
    let fixture = CtlFixture::start().await;
    let document = fixture.path("depots.json");
    let id = uuid::Uuid::now_v7().to_string();
    let arguments = ["apply", "--change-id", &id, "--expected-version", "0", text(&document)];
    wait_until("the document is applied", || async { fixture.ctl(&arguments).await.0 == 0 }).await;
    let (code, output) = fixture.ctl(&arguments).await;
    assert_eq!((code, output.contains("accepted as version 1")), (0, true), "{output}");
}

#[tokio::test(flavor = "multi_thread")]
async fn only_valid_operator_certificates_are_accepted() {
    let fixture = CtlFixture::start().await;
    let endpoint = format!("host-1={}", fixture.settings[0].operator_address);
    let foreign_issuer = KeyIssuer::open(&fixture.path("foreign-authority")).expect("authority");
    foreign_issuer.issue_operator("ana", 30, &fixture.path("foreign")).expect("issued");
    let issuer = KeyIssuer::open(&fixture.path("authority")).expect("authority");
    issuer.issue_operator("old", -1, &fixture.path("expired")).expect("issued");
    for keys in ["host-2", "foreign", "expired"] {
        let keys = fixture.path(keys);
        let (code, output) =
            run(&["--key-folder", text(&keys), "--endpoint", &endpoint, "status"]).await;
        assert_eq!(code, 4, "{output}");
    }
    let wrong_name = endpoint.replace("host-1", "host-2");
    let keys = fixture.path("ana");
    let (code, output) =
        run(&["--key-folder", text(&keys), "--endpoint", &wrong_name, "status"]).await;
    assert_eq!(code, 4, "the certificate is for another host name: {output}");
    let plain = HttpClient::default();
    let address = fixture.settings[0].operator_address;
    assert!(
        plain.send(address, HttpRequest::get("/v1/status")).await.is_err(),
        "request without TLS"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_time_line_shows_a_lookup_and_a_booking_across_two_entries() {
    let fixture = CtlFixture::start().await;
    let document = fixture.path("depots.json");
    wait_until("the document is applied", || async {
        fixture.ctl(&["apply", text(&document)]).await.0 == 0
    })
    .await;
    let client = HttpClient::default();
    let first = fixture.start_server("zaloga-1", "zaloga", "kranj").await;
    let second = fixture.start_server("zaloga-2", "zaloga", "celje").await;
    let _najem = fixture.start_server("najem-1", "najem", "kranj").await;
    let entries = [fixture.settings[0].caller_address, fixture.settings[1].caller_address];

    // The server of the bookings is cold, so an entry that does not own it forwards the booking to
    // the owner. One of the two entries is not the owner.
    let mut booking_keys = Vec::new();
    for entry in entries {
        let key = new_key();
        let request = || {
            HttpRequest::post("/v1/call/najem/x", b"x".to_vec())
                .with_header(header::IDEMPOTENCY_KEY, &key)
                .with_header(header::REQUEST_ID, &key)
        };
        wait_until("the booking runs", || async {
            let answer = client.send(entry, request()).await;
            answer.is_ok_and(|answer| answer.header(header::OUTCOME) == "ran")
        })
        .await;
        booking_keys.push(key);
    }
    let mut is_forwarded = false;
    for key in &booking_keys {
        let (code, output) = fixture.ctl(&["timeline", "--request", key]).await;
        assert_eq!(code, 0, "{output}");
        let position = |kind: &str| output.find(kind);
        assert!(position("call-received") < position("claim-decided"), "{output}");
        assert!(position("claim-decided") < position("call-sent"), "{output}");
        if output.contains("call-forwarded") {
            is_forwarded = true;
            assert!(output.contains("host-1") && output.contains("host-2"), "{output}");
        }
    }
    assert!(is_forwarded, "one of the entries is not the owner");

    // A lookup whose first server closes the connection without an answer is retried at the other.
    let look = |id: String| {
        let request = HttpRequest::get("/v1/call/zaloga/x").with_header(header::REQUEST_ID, &id);
        let client = client.clone();
        async move { client.send(entries[0], request).await }
    };
    wait_until("both servers are warm", || async {
        let _ = look(new_key()).await;
        let (_, output) = fixture.ctl(&["status"]).await;
        let is_warm =
            |name| output.lines().any(|line| line.contains(name) && line.contains("warm"));
        is_warm("zaloga-1") && is_warm("zaloga-2")
    })
    .await;
    first.update_behaviour(|behaviour| behaviour.mode = FakeMode::DropAfterRun);
    let mut retried = None;
    for _ in 0..100 {
        let id = new_key();
        let before = first.stats().received;
        let answer = look(id.clone()).await.expect("answers");
        if first.stats().received > before {
            assert_eq!(answer.status, 200, "retried at the other server");
            retried = Some(id);
            break;
        }
        sleep_ms(20).await;
    }
    assert!(second.stats().received > 0);
    let id = retried.expect("the first server received a lookup");
    let (_, output) = fixture.ctl(&["timeline", "--request", &id]).await;
    for kind in ["call-received", "call-sent", "call-retried", "call-answered"] {
        assert!(output.contains(kind), "{kind}: {output}");
    }
    let (_, output) = fixture.ctl(&["timeline", "--server", "zaloga-1"]).await;
    assert!(output.contains("server-suspected") && output.contains("server-warm"), "{output}");
}
