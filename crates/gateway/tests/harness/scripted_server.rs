//! Servers on loopback that follow a script.

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use policy::ServerLoad;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, sync::watch, time::sleep};

/// What a scripted server does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Script {
    /// Answers with this status after this delay in milliseconds.
    Answer(u16, u64),
    /// States that it did not run the request.
    NotRun,
    /// Runs the request and closes the connection without an answer.
    BreakOff,
    /// Answers with the id of another request.
    WrongId,
    /// Answers without the server's signature.
    Unsigned,
    /// Answers with a body that is shorter than its `Content-Length`.
    Truncated,
}

/// A server that follows its script and counts probes and runs.
pub struct ScriptedServer {
    pub name: String,
    pub address: SocketAddr,
    pub script: Mutex<Script>,
    pub load: Mutex<ServerLoad>,
    /// Whether the server reports how many requests it runs, and runs no more than it has slots.
    pub is_bounded: AtomicBool,
    /// Requests in progress.
    running: AtomicUsize,
    pub cold_ms: AtomicUsize,
    pub is_healthy: Mutex<bool>,
    pub runs: AtomicUsize,
    pub probes: AtomicUsize,
    /// Requests and probes that the server refused with a hold.
    pub sheds: AtomicUsize,
    /// Runs that were not cancelled.
    pub finished: AtomicUsize,
    pub run_times: Mutex<Vec<Instant>>,
    /// Ids of the requests that ran, in order.
    pub run_ids: Mutex<Vec<String>>,
    pub last_body: Mutex<Vec<u8>>,
    pub domain: String,
    /// Whether all answers state that the server is leaving.
    pub is_leaving: AtomicBool,
    /// Whether only answers to requests state that the server is leaving.
    pub hides_leaving_from_probes: AtomicBool,
    /// If not empty, the server refuses all requests and probes with this hold, in seconds.
    pub sheds_for: Mutex<String>,
    /// Requests per 1000 s that the server accepts from all entries, if it limits them.
    pub limit_milli: Mutex<Option<u32>>,
    /// Whether only answers to requests state the limit, and none to probes.
    pub hides_limit_from_probes: AtomicBool,
    /// Requests whose target contains this text make the server crash. Empty if none does.
    pub crashed_by: Mutex<String>,
    /// When such requests began to run.
    pub fatal_run_times: Mutex<Vec<Instant>>,
    /// Number of times that the server has crashed under a request. All its connections break off
    /// then.
    pub crashes: watch::Sender<u64>,
    /// Whether the server has crashed and does not listen.
    is_down: Mutex<bool>,
}

/// Time for which a server is down after it has crashed under a request.
const DOWN_TIME: Duration = Duration::from_millis(800);

impl ScriptedServer {
    pub async fn start(name: &str, domain: &str, script: Script) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let server = Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr().expect("bound"),
            script: Mutex::new(script),
            load: Mutex::new(ServerLoad::idle(3)),
            is_bounded: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            cold_ms: AtomicUsize::new(0),
            is_healthy: Mutex::new(true),
            runs: AtomicUsize::new(0),
            probes: AtomicUsize::new(0),
            sheds: AtomicUsize::new(0),
            finished: AtomicUsize::new(0),
            run_times: Mutex::default(),
            run_ids: Mutex::default(),
            last_body: Mutex::default(),
            domain: domain.to_owned(),
            is_leaving: AtomicBool::new(false),
            hides_leaving_from_probes: AtomicBool::new(false),
            sheds_for: Mutex::default(),
            limit_milli: Mutex::default(),
            hides_limit_from_probes: AtomicBool::new(false),
            crashed_by: Mutex::default(),
            fatal_run_times: Mutex::default(),
            crashes: watch::Sender::new(0),
            is_down: Mutex::default(),
        });
        let acceptor = server.clone();
        tokio::spawn(async move {
            let mut listener = listener;
            loop {
                acceptor.serve(listener).await;
                listener = acceptor.listen_again().await;
            }
        });
        server
    }

    /// Accepts connections until the server ends under a request.
    async fn serve(self: &Arc<Self>, listener: TcpListener) {
        let mut crashes = self.crashes.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = crashes.changed() => return,
            };
            let Ok((stream, _)) = accepted else {
                return;
            };
            let (server, mut crashes) = (self.clone(), self.crashes.subscribe());
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let server = server.clone();
                    async move { server.answer(request).await }
                });
                let http = hyper::server::conn::http1::Builder::new();
                tokio::select! {
                    _ = http.serve_connection(TokioIo::new(stream), service) => {}
                    _ = crashes.changed() => {}
                }
            });
        }
    }

    /// Listens on the same address again once the server's down time is over.
    async fn listen_again(&self) -> TcpListener {
        sleep(DOWN_TIME).await;
        loop {
            if let Ok(listener) = TcpListener::bind(self.address).await {
                *self.is_down.lock() = false;
                return listener;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns whether the server is down after it has crashed.
    pub fn is_down(&self) -> bool {
        *self.is_down.lock()
    }

    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in progress.
    pub fn open_requests(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    fn current_load(&self) -> ServerLoad {
        let load = *self.load.lock();
        if !self.is_bounded.load(Ordering::SeqCst) {
            return load;
        }
        ServerLoad { running: self.running.load(Ordering::SeqCst) as u32, ..load }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let load = self.current_load();
        let load_text =
            format!("{},{},{},{}", load.running, load.waiting, load.slots, load.slowness_percent);
        let mut builder = Response::builder().header("x-load", load_text);
        let is_probe = request.uri().path() == "/health";
        let hides_leaving = is_probe && self.hides_leaving_from_probes.load(Ordering::SeqCst);
        if self.is_leaving.load(Ordering::SeqCst) && !hides_leaving {
            builder = builder.header("x-leaving", "1");
        }
        let hides_limit = is_probe && self.hides_limit_from_probes.load(Ordering::SeqCst);
        let limit_milli = *self.limit_milli.lock();
        if let Some(limit_milli) = limit_milli.filter(|_| !hides_limit) {
            builder = builder.header("x-limit-milli", limit_milli.to_string());
        }
        let sheds_for = self.sheds_for.lock().clone();
        if !sheds_for.is_empty() {
            self.sheds.fetch_add(1, Ordering::SeqCst);
            builder = builder.status(503).header("x-not-run", "1").header("x-hold", sheds_for);
            return Ok(builder.header("x-name", &self.name).body(Full::default()).expect("valid"));
        }
        if is_probe {
            self.probes.fetch_add(1, Ordering::SeqCst);
            let cold = self.cold_ms.load(Ordering::SeqCst);
            builder = builder.header("x-name", &self.name).header("x-cold", cold.to_string());
            let status = if *self.is_healthy.lock() { 200 } else { 503 };
            return Ok(builder.status(status).body(Full::default()).expect("valid"));
        }
        let crashed_by = self.crashed_by.lock().clone();
        if !crashed_by.is_empty() && request.uri().to_string().contains(&crashed_by) {
            self.fatal_run_times.lock().push(Instant::now());
            sleep(Duration::from_millis(30)).await;
            *self.is_down.lock() = true;
            self.crashes.send_modify(|count| *count += 1);
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let id = request.headers().get("x-id").cloned();
        let expected = request.headers().get("x-server").cloned();
        assert_eq!(expected.as_ref().and_then(|e| e.to_str().ok()), Some(self.name.as_str()));
        let body = request.into_body().collect().await.map_err(std::io::Error::other)?;
        *self.last_body.lock() = body.to_bytes().to_vec();
        let script = *self.script.lock();
        if script == Script::NotRun || load.running >= load.slots {
            return Ok(builder
                .status(503)
                .header("x-not-run", "1")
                .body(Full::default())
                .expect("valid"));
        }
        self.runs.fetch_add(1, Ordering::SeqCst);
        let _running = RunningRequest::start(&self.running);
        self.run_times.lock().push(Instant::now());
        let id_text = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
        self.run_ids.lock().push(id_text.to_owned());
        let (status, delay) = match script {
            Script::Answer(status, delay) => (status, delay),
            Script::BreakOff => return Err(std::io::ErrorKind::ConnectionReset.into()),
            _ => (200, 0),
        };
        sleep(Duration::from_millis(delay)).await;
        self.finished.fetch_add(1, Ordering::SeqCst);
        let id = match script {
            Script::WrongId => Some(HeaderValue::from_static("another")),
            _ => id,
        };
        if let Some(id) = id {
            builder = builder.header("x-id", id);
        }
        if script != Script::Unsigned {
            builder = builder.header("x-signed", "yes");
        }
        if script == Script::Truncated {
            builder = builder.header("content-length", "100");
        }
        let body = Full::new(Bytes::from(self.name.clone()));
        Ok(builder.status(status).body(body).expect("valid"))
    }
}

/// A request in progress.
struct RunningRequest<'a>(&'a AtomicUsize);

impl<'a> RunningRequest<'a> {
    fn start(running: &'a AtomicUsize) -> Self {
        running.fetch_add(1, Ordering::SeqCst);
        Self(running)
    }
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
