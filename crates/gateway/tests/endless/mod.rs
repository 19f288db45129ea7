//! Servers that send answers without end, and a caller that judges what it gets.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use crate::harness::{Script, ScriptedServer, TestGateway, announcement, routing};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Builder,
    sync::oneshot,
    time::sleep,
};
use types::{Announcement, Command, PoolSpec, ServerState, ServiceName};

/// How long the caller waits, and so the bound at which an entry gives up on an answer that it has
/// not refused before.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that the test machine may take beyond the bound.
pub const SLACK: Duration = Duration::from_millis(1_200);
/// Size of a block that a server sends at once, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;
/// Pause between blocks: 13 MB/s from each server, far more than the links of the users' hosts.
const BLOCK_PAUSE: Duration = Duration::from_millis(5);

/// Bytes that a server sends: a beginning, and then a part that it repeats until it is cut.
#[derive(Debug, Clone, Copy)]
pub struct EndlessAnswer {
    pub name: &'static str,
    beginning: &'static str,
    repeated: &'static str,
}

pub const OK_HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: yes\r\n";

pub const ANSWERS: &[EndlessAnswer] = &[
    EndlessAnswer { name: "status line", beginning: "HTTP/1.1 200 O", repeated: "K" },
    EndlessAnswer { name: "header field", beginning: "HTTP/1.1 200 OK\r\nx-a: ", repeated: "a" },
    EndlessAnswer {
        name: "header fields",
        beginning: "HTTP/1.1 200 OK\r\n",
        repeated: "x-a: a\r\n",
    },
    EndlessAnswer { name: "interim responses", beginning: "", repeated: "HTTP/1.1 103 E\r\n\r\n" },
    EndlessAnswer { name: "no protocol", beginning: "", repeated: "\u{1}\u{2}garbage" },
    EndlessAnswer { name: "empty lines", beginning: "", repeated: "\r\n" },
    EndlessAnswer {
        name: "stated length",
        beginning: "LENGTH 1000000000000",
        repeated: "0123456789abcdef",
    },
    EndlessAnswer { name: "no length", beginning: "CLOSE", repeated: "0123456789abcdef" },
    EndlessAnswer { name: "chunks", beginning: "CHUNKED", repeated: "10\r\n0123456789abcdef\r\n" },
    EndlessAnswer {
        name: "one chunk",
        beginning: "CHUNKED fffffffffff\r\n",
        repeated: "0123456789",
    },
    EndlessAnswer { name: "chunk size", beginning: "CHUNKED ", repeated: "0" },
    EndlessAnswer { name: "chunk extension", beginning: "CHUNKED 1;a=", repeated: "b" },
    EndlessAnswer { name: "trailers", beginning: "CHUNKED 0\r\n", repeated: "x-a: a\r\n" },
];

impl EndlessAnswer {
    fn first_bytes(&self) -> String {
        let framing = |framing: &str, rest: &str| format!("{OK_HEAD}{framing}\r\n\r\n{rest}");
        if let Some(length) = self.beginning.strip_prefix("LENGTH ") {
            framing(&format!("content-length: {length}"), "")
        } else if let Some(rest) = self.beginning.strip_prefix("CHUNKED") {
            framing("transfer-encoding: chunked", rest.trim_start())
        } else if self.beginning == "CLOSE" {
            framing("connection: close", "")
        } else {
            self.beginning.to_owned()
        }
    }
}

/// A server that answers probes properly and requests with an endless answer.
pub struct EndlessServer {
    name: String,
    listener: TcpListener,
    /// Requests received, without probes.
    requests: Arc<AtomicU64>,
}

impl EndlessServer {
    /// Starts a server that sends byte by byte with this pause, or without one in large blocks.
    /// Returns its announcement and the number of its requests.
    pub async fn start(
        name: &str,
        answer: EndlessAnswer,
        pause: Option<Duration>,
    ) -> (Announcement, Arc<AtomicU64>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let requests = Arc::<AtomicU64>::default();
        let server = Self { name: name.to_owned(), listener, requests: requests.clone() };
        tokio::spawn(server.run(answer, pause));
        let scripted = ScriptedServer::start(name, "a", Script::Answer(200, 0)).await;
        let announced = Announcement { address, ..announcement(&scripted, ServerState::Ready, 1) };
        (announced, requests)
    }

    /// Does the same on threads of its own, so that the server sends while the entry is busy. They
    /// run until the test ends.
    pub async fn start_apart(name: &'static str, answer: EndlessAnswer) -> Announcement {
        let (sender, started) = oneshot::channel();
        std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async {
                let (announcement, _) = Self::start(name, answer, None).await;
                sender.send(announcement).expect("the test waits");
                std::future::pending::<()>().await;
            });
        });
        started.await.expect("started")
    }

    async fn run(self, answer: EndlessAnswer, pause: Option<Duration>) {
        while let Ok((stream, _)) = self.listener.accept().await {
            let (name, requests) = (self.name.clone(), self.requests.clone());
            tokio::spawn(async move {
                // Fails when the entry closes the connection.
                let _ = serve(stream, &name, answer, pause, &requests).await;
            });
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    name: &str,
    answer: EndlessAnswer,
    pause: Option<Duration>,
    requests: &AtomicU64,
) -> std::io::Result<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        if head.starts_with(b"GET /health") {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-name: {name}\r\nx-load: 0,0,3,100\r\ncontent-length: 0\r\n\r\n"
            );
            stream.write_all(answer.as_bytes()).await?;
            continue;
        }
        requests.fetch_add(1, Ordering::SeqCst);
        stream.write_all(answer.first_bytes().as_bytes()).await?;
        let block = answer.repeated.repeat(BLOCK_BYTES / answer.repeated.len());
        loop {
            match pause {
                Some(pause) => {
                    for byte in answer.repeated.bytes() {
                        stream.write_all(&[byte]).await?;
                        sleep(pause).await;
                    }
                }
                None => {
                    stream.write_all(block.as_bytes()).await?;
                    sleep(BLOCK_PAUSE).await;
                }
            }
        }
    }
}

/// What a caller sees.
#[derive(Debug, PartialEq, Eq)]
pub enum CallerView {
    /// A whole answer with this status.
    Whole(u16),
    /// An answer that does not look complete.
    Incomplete,
}

/// Sends a request and reads until the entry closes the connection, or the answer is complete by its
/// own framing. The caller allows [`CALLER_TIMEOUT`].
pub async fn call(gateway: &TestGateway, path: &str) -> CallerView {
    call_allowing(gateway, path, CALLER_TIMEOUT).await
}

/// Does the same for a caller that allows another time.
pub async fn call_allowing(gateway: &TestGateway, path: &str, allowed: Duration) -> CallerView {
    let mut stream = TcpStream::connect(gateway.address).await.expect("the entry listens");
    let method = if path.starts_with("/order") { "POST" } else { "GET" };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\nx-ms: {}\r\n\
         connection: close\r\ncontent-length: 0\r\n\r\n",
        allowed.as_millis()
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let (mut head, mut body_bytes, mut tail) = (Vec::new(), 0_u64, Vec::new());
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let count = match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let mut bytes = &buffer[..count];
        while !head.ends_with(b"\r\n\r\n") && !bytes.is_empty() {
            head.push(bytes[0]);
            bytes = &bytes[1..];
        }
        body_bytes += bytes.len() as u64;
        tail.extend_from_slice(&bytes[bytes.len().saturating_sub(8)..]);
        tail.drain(..tail.len().saturating_sub(8));
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let status = head.get(9..12).and_then(|status| status.parse().ok());
    let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
    let is_whole = match length.map(|length| length.parse::<u64>().expect("a number")) {
        Some(length) => body_bytes == length,
        None => head.contains("transfer-encoding: chunked") && tail.ends_with(b"0\r\n\r\n"),
    };
    match status {
        Some(status) if is_whole => CallerView::Whole(status),
        _ => CallerView::Incomplete,
    }
}

/// Starts an entry with these servers of the service `desk`, and a sound server of the service
/// `other` with the route `/other/`.
pub async fn start_gateway(servers: &[Announcement]) -> TestGateway {
    let sound = ScriptedServer::start("sound", "b", Script::Answer(200, 0)).await;
    let mut document = routing(1, 1);
    let other: ServiceName = "other".parse().expect("name");
    let mut route = (*document.routes[0]).clone();
    route.name = "other".into();
    route.prefix = "/other/".into();
    route.parts[0].service = other.clone();
    document.routes.push(Arc::new(route));
    document.pools.push(PoolSpec { service: other.clone(), ..document.pools[0].clone() });
    let gateway = TestGateway::start(document, &[]).await;
    let sound = announcement(&sound, ServerState::Ready, 1);
    gateway.replicas.apply(&Command::Announce(Arc::new(Announcement { service: other, ..sound })));
    for announcement in servers {
        gateway.replicas.apply(&Command::Announce(Arc::new(announcement.clone())));
    }
    sleep(Duration::from_millis(400)).await;
    gateway
}
