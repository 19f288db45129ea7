//! Links over plain TCP, for networks where processes hold no keys.
//!
//! Each process keeps one connection to each peer that it talks to and runs all requests on it.
//! Nothing authenticates the peer, so that only a trusted network may carry these links. A
//! connection that has gone silent is found by pings and replaced.

use crate::{
    PeerAnswer, PeerError, PeerHandler, PeerLink, PeerRequest, PeerTarget,
    frame::{MAX_FRAME_BYTES, decode_frame, encode_frame},
    packing::{pack, unpack},
    reach::reach,
};
use async_trait::async_trait;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use runtime::{DecisionCounters, EventTimeline};
use serde::{Deserialize, Serialize};
use socket2::{SockRef, TcpKeepalive};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    task::JoinSet,
    time::{interval, timeout},
};
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    task::AbortOnDropHandle,
};
use types::HostName;

/// Frames that may wait for one peer; what does not fit is dropped, as on any lossy network.
const QUEUE_LIMIT: usize = 4096;
/// Time allowed to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Period of pings on a connection that was used since the last one.
const PING_PERIOD: Duration = Duration::from_millis(400);
/// Silence after a ping that ends a connection; longer than a slowed peer needs to answer.
const PING_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Unacknowledged data older than this ends a connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a connection that nobody uses is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug, Serialize, Deserialize)]
enum StreamFrame {
    Hello(HostName),
    Request(u64, PeerRequest),
    Notice(PeerRequest),
    Answer(u64, PeerAnswer),
    Ping,
    Pong,
}

struct OutgoingFrame {
    frame: Bytes,
    waiter: Option<(u64, oneshot::Sender<Result<PeerAnswer, PeerError>>)>,
}

type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// One process's end of all its TCP links.
pub struct StreamNode {
    host: HostName,
    links: Mutex<HashMap<SocketAddr, mpsc::Sender<OutgoingFrame>>>,
    next_id: AtomicU64,
    timeline: EventTimeline,
    counters: DecisionCounters,
}

impl StreamNode {
    /// Returns a node that names itself `host` to its peers.
    pub fn new(host: HostName, timeline: EventTimeline, counters: DecisionCounters) -> Arc<Self> {
        let (links, next_id) = (Mutex::default(), AtomicU64::new(1));
        Arc::new(Self { host, links, next_id, timeline, counters })
    }

    /// Takes requests of peers until the task is dropped, which closes their connections.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, handler: Arc<dyn PeerHandler>) {
        let mut streams = JoinSet::new();
        loop {
            while streams.try_join_next().is_some() {}
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (node, handler) = (self.clone(), handler.clone());
                    streams.spawn(async move { node.serve_stream(stream, handler).await });
                }
                Err(_) => {
                    self.counters.count("accept-failed");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    async fn serve_stream(self: Arc<Self>, stream: TcpStream, handler: Arc<dyn PeerHandler>) {
        if prepare(&stream).is_err() {
            self.counters.count("link-refused");
            return;
        }
        let (mut sink, mut frames) = framed(stream).split();
        let Some(StreamFrame::Hello(host)) = self.read_frame(&mut frames).await else {
            self.counters.count("link-refused");
            return;
        };
        self.counters.count("link-accepted");
        let (answers, mut queue) = mpsc::channel::<Bytes>(QUEUE_LIMIT);
        let _writer = AbortOnDropHandle::new(tokio::spawn(async move {
            while let Some(frame) = queue.recv().await {
                if sink.send(frame).await.is_err() {
                    return;
                }
            }
        }));
        while let Some(frame) = self.read_frame(&mut frames).await {
            match frame {
                StreamFrame::Request(id, request) => {
                    let (node, handler) = (self.clone(), handler.clone());
                    let (host, answers) = (host.clone(), answers.clone());
                    tokio::spawn(async move {
                        let answer = handler.handle(&host, request).await;
                        node.queue_frame(&answers, &StreamFrame::Answer(id, answer)).await;
                    });
                }
                StreamFrame::Notice(request) => {
                    handler.handle(&host, request).await;
                }
                StreamFrame::Ping => self.queue_frame(&answers, &StreamFrame::Pong).await,
                StreamFrame::Hello(_) | StreamFrame::Answer(..) | StreamFrame::Pong => {}
            }
        }
    }

    async fn queue_frame(&self, queue: &mpsc::Sender<Bytes>, frame: &StreamFrame) {
        match encode_frame(self.timeline.stamp(), frame) {
            // A peer whose connection broke asks again on another one.
            Ok(frame) => {
                let _ = queue.send(pack(frame)).await;
            }
            Err(_) => self.counters.count("message-malformed"),
        }
    }

    async fn read_frame(
        &self,
        frames: &mut (impl StreamExt<Item = io::Result<bytes::BytesMut>> + Unpin),
    ) -> Option<StreamFrame> {
        let bytes = frames.next().await?.ok()?;
        let decoded = unpack(&bytes).and_then(|frame| decode_frame(&frame).ok());
        match decoded {
            Some((time, frame)) => {
                self.timeline.observe(time);
                Some(frame)
            }
            None => {
                self.counters.count("message-malformed");
                None
            }
        }
    }

    fn link(self: &Arc<Self>, address: SocketAddr) -> mpsc::Sender<OutgoingFrame> {
        let mut links = self.links.lock();
        if let Some(link) = links.get(&address)
            && !link.is_closed()
        {
            return link.clone();
        }
        let (link, queue) = mpsc::channel(QUEUE_LIMIT);
        links.insert(address, link.clone());
        tokio::spawn(self.clone().run_link(address, queue));
        link
    }

    /// Runs one connection from its opening to its end. Whatever still waits then fails.
    async fn run_link(
        self: Arc<Self>,
        address: SocketAddr,
        mut queue: mpsc::Receiver<OutgoingFrame>,
    ) {
        let mut waiters = HashMap::new();
        let opened = reach(CONNECT_TIMEOUT, || TcpStream::connect(address)).await;
        let opened = opened.and_then(|stream| {
            prepare(&stream).map(|()| stream).map_err(|error| error.to_string())
        });
        let was_opened = opened.is_ok();
        let reason = match opened {
            Ok(stream) => self.exchange(stream, &mut queue, &mut waiters).await,
            Err(reason) => reason,
        };
        self.counters.count(if was_opened { "link-broken" } else { "link-not-reached" });
        queue.close();
        while let Ok(outgoing) = queue.try_recv() {
            if let Some((_, waiter)) = outgoing.waiter {
                let reason = reason.clone();
                let _ = waiter.send(Err(PeerError::NotReached { address, reason }));
            }
        }
        for waiter in waiters.into_values() {
            let reason = reason.clone();
            let _ = waiter.send(Err(PeerError::BrokenOff { address, reason }));
        }
    }

    async fn exchange(
        &self,
        stream: TcpStream,
        queue: &mut mpsc::Receiver<OutgoingFrame>,
        waiters: &mut HashMap<u64, oneshot::Sender<Result<PeerAnswer, PeerError>>>,
    ) -> String {
        let (mut sink, mut frames) = framed(stream).split();
        let hello = StreamFrame::Hello(self.host.clone());
        let (Ok(hello), Ok(ping)) = (
            encode_frame(self.timeline.stamp(), &hello),
            encode_frame(self.timeline.stamp(), &StreamFrame::Ping),
        ) else {
            return "the host name cannot be encoded".to_owned();
        };
        if let Err(error) = sink.send(pack(hello)).await {
            return error.to_string();
        }
        let ping = pack(ping);
        let mut pings = interval(PING_PERIOD);
        let mut pinged: Option<Instant> = None;
        let (mut was_used, mut used) = (true, Instant::now());
        loop {
            tokio::select! {
                outgoing = queue.recv() => {
                    let Some(outgoing) = outgoing else { return "closed".to_owned() };
                    if let Some((id, waiter)) = outgoing.waiter {
                        waiters.insert(id, waiter);
                    }
                    (was_used, used) = (true, Instant::now());
                    if let Err(error) = sink.send(outgoing.frame).await {
                        return error.to_string();
                    }
                }
                frame = self.read_frame(&mut frames) => {
                    let Some(frame) = frame else { return "the peer closed".to_owned() };
                    pinged = None;
                    if let StreamFrame::Answer(id, answer) = frame
                        && let Some(waiter) = waiters.remove(&id)
                    {
                        // A requester that no longer waits needs no answer.
                        let _ = waiter.send(Ok(answer));
                    }
                }
                _ = pings.tick() => {
                    waiters.retain(|_, waiter| !waiter.is_closed());
                    if pinged.is_some_and(|since| since.elapsed() > PING_TIMEOUT) {
                        return "no answer to a ping".to_owned();
                    }
                    if used.elapsed() > IDLE_TIMEOUT {
                        return "idle".to_owned();
                    }
                    if was_used && pinged.is_none() {
                        if let Err(error) = sink.send(ping.clone()).await {
                            return error.to_string();
                        }
                        (pinged, was_used) = (Some(Instant::now()), false);
                    }
                }
            }
        }
    }
}

#[async_trait]
impl PeerLink for Arc<StreamNode> {
    async fn call(
        &self,
        target: &PeerTarget,
        request: PeerRequest,
        limit: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let address = target.address;
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let frame = encode_frame(self.timeline.stamp(), &StreamFrame::Request(id, request))?;
        let frame = pack(frame);
        let (waiter, answer) = oneshot::channel();
        let outgoing = OutgoingFrame { frame, waiter: Some((id, waiter)) };
        if self.link(address).try_send(outgoing).is_err() {
            self.counters.count("message-dropped");
            let reason = "too many messages wait".to_owned();
            return Err(PeerError::NotReached { address, reason });
        }
        match timeout(limit, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => {
                Err(PeerError::BrokenOff { address, reason: "the link ended".to_owned() })
            }
            Err(_) => Err(PeerError::TimedOut { address, timeout_ms: limit.as_millis() as u64 }),
        }
    }

    fn send(&self, target: &PeerTarget, request: PeerRequest) {
        let frame = encode_frame(self.timeline.stamp(), &StreamFrame::Notice(request));
        let is_queued = frame.is_ok_and(|frame| {
            let outgoing = OutgoingFrame { frame: pack(frame), waiter: None };
            self.link(target.address).try_send(outgoing).is_ok()
        });
        if !is_queued {
            self.counters.count("message-dropped");
        }
    }
}

fn framed(stream: TcpStream) -> FramedStream {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

/// Sets the options by which a dead or silent peer is noticed.
fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)
}
