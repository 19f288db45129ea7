//! Links over plain TCP, for deployments without keys.
//!
//! A process opens one connection to each peer and multiplexes all requests on it. Peers are not
//! authenticated, so these links must run on a trusted network only. Unresponsive connections are
//! detected by pings and replaced.

use crate::{
    PeerAnswer, PeerError, PeerHandler, PeerLink, PeerRequest, PeerTarget,
    connect::connect_repeatedly,
    frame::{MAX_FRAME_BYTES, decode_frame, encode_frame},
    packing::{compress_frame, decompress_frame},
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

/// Capacity of the frame queue to one peer. When it is full, frames are dropped, as on any lossy
/// network.
const QUEUE_LIMIT: usize = 4096;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Ping period. A ping is sent only if the connection was used since the last one.
const PING_PERIOD: Duration = Duration::from_millis(400);
/// Time without any frame after a ping, after which the connection is closed. Longer than a slow
/// peer needs to answer.
const PING_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which sent data may stay unacknowledged before the kernel closes the connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Number of unanswered TCP keepalive probes after which the kernel closes the connection.
const KEEPALIVE_RETRIES: u32 = 2;

#[derive(Debug, Serialize, Deserialize)]
enum LinkFrame {
    Hello(HostName),
    Request(u64, PeerRequest),
    Notice(PeerRequest),
    Answer(u64, PeerAnswer),
    Ping,
    Pong,
}

struct OutgoingFrame {
    frame: Bytes,
    reply: Option<(u64, oneshot::Sender<Result<PeerAnswer, PeerError>>)>,
}

type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Opens and accepts TCP links for one process.
pub struct TcpNode {
    host: HostName,
    links: Mutex<HashMap<SocketAddr, mpsc::Sender<OutgoingFrame>>>,
    next_id: AtomicU64,
    timeline: EventTimeline,
    counters: DecisionCounters,
}

impl TcpNode {
    /// Creates a node that sends `host` as its name to its peers.
    pub fn new(host: HostName, timeline: EventTimeline, counters: DecisionCounters) -> Arc<Self> {
        let (links, next_id) = (Mutex::default(), AtomicU64::new(1));
        Arc::new(Self { host, links, next_id, timeline, counters })
    }

    /// Accepts connections and serves their requests until the future is dropped, which closes the
    /// connections.
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
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_stream(self: Arc<Self>, stream: TcpStream, handler: Arc<dyn PeerHandler>) {
        if set_socket_options(&stream).is_err() {
            self.counters.count("link-refused");
            return;
        }
        let (mut sink, mut frames) = framed(stream).split();
        let Some(LinkFrame::Hello(host)) = self.read_frame(&mut frames).await else {
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
                LinkFrame::Request(id, request) => {
                    let (node, handler) = (self.clone(), handler.clone());
                    let (host, answers) = (host.clone(), answers.clone());
                    tokio::spawn(async move {
                        let answer = handler.handle(&host, request).await;
                        node.queue_frame(&answers, &LinkFrame::Answer(id, answer)).await;
                    });
                }
                LinkFrame::Notice(request) => {
                    handler.handle(&host, request).await;
                }
                LinkFrame::Ping => self.queue_frame(&answers, &LinkFrame::Pong).await,
                LinkFrame::Hello(_) | LinkFrame::Answer(..) | LinkFrame::Pong => {}
            }
        }
    }

    async fn queue_frame(&self, queue: &mpsc::Sender<Bytes>, frame: &LinkFrame) {
        match encode_frame(self.timeline.stamp(), frame) {
            // Fails if the connection has closed; the peer then retries on another one.
            Ok(frame) => {
                let _ = queue.send(compress_frame(frame)).await;
            }
            Err(_) => self.counters.count("message-malformed"),
        }
    }

    async fn read_frame(
        &self,
        frames: &mut (impl StreamExt<Item = io::Result<bytes::BytesMut>> + Unpin),
    ) -> Option<LinkFrame> {
        let bytes = frames.next().await?.ok()?;
        let decoded = decompress_frame(&bytes).and_then(|frame| decode_frame(&frame).ok());
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

    /// Opens a connection and runs it until it ends, then fails all pending requests.
    async fn run_link(
        self: Arc<Self>,
        address: SocketAddr,
        mut queue: mpsc::Receiver<OutgoingFrame>,
    ) {
        let mut pending = HashMap::new();
        let opened = connect_repeatedly(CONNECT_TIMEOUT, || TcpStream::connect(address)).await;
        let opened = opened.and_then(|stream| {
            set_socket_options(&stream).map(|()| stream).map_err(|error| error.to_string())
        });
        let was_opened = opened.is_ok();
        let reason = match opened {
            Ok(stream) => self.run_connection(stream, &mut queue, &mut pending).await,
            Err(reason) => reason,
        };
        self.counters.count(if was_opened { "link-broken" } else { "link-not-reached" });
        queue.close();
        while let Ok(outgoing) = queue.try_recv() {
            if let Some((_, reply)) = outgoing.reply {
                let reason = reason.clone();
                let _ = reply.send(Err(PeerError::NotReached { address, reason }));
            }
        }
        for reply in pending.into_values() {
            let reason = reason.clone();
            let _ = reply.send(Err(PeerError::ConnectionLost { address, reason }));
        }
    }

    async fn run_connection(
        &self,
        stream: TcpStream,
        queue: &mut mpsc::Receiver<OutgoingFrame>,
        pending: &mut HashMap<u64, oneshot::Sender<Result<PeerAnswer, PeerError>>>,
    ) -> String {
        let (mut sink, mut frames) = framed(stream).split();
        let hello = LinkFrame::Hello(self.host.clone());
        let (Ok(hello), Ok(ping)) = (
            encode_frame(self.timeline.stamp(), &hello),
            encode_frame(self.timeline.stamp(), &LinkFrame::Ping),
        ) else {
            return "the host name cannot be encoded".to_owned();
        };
        if let Err(error) = sink.send(compress_frame(hello)).await {
            return error.to_string();
        }
        let ping = compress_frame(ping);
        let mut pings = interval(PING_PERIOD);
        let mut ping_sent: Option<Instant> = None;
        let (mut was_used, mut last_used) = (true, Instant::now());
        loop {
            tokio::select! {
                outgoing = queue.recv() => {
                    let Some(outgoing) = outgoing else { return "closed".to_owned() };
                    if let Some((id, reply)) = outgoing.reply {
                        pending.insert(id, reply);
                    }
                    (was_used, last_used) = (true, Instant::now());
                    if let Err(error) = sink.send(outgoing.frame).await {
                        return error.to_string();
                    }
                }
                frame = self.read_frame(&mut frames) => {
                    let Some(frame) = frame else { return "the peer closed".to_owned() };
                    ping_sent = None;
                    if let LinkFrame::Answer(id, answer) = frame
                        && let Some(reply) = pending.remove(&id)
                    {
                        // Fails if the requester has stopped waiting.
                        let _ = reply.send(Ok(answer));
                    }
                }
                _ = pings.tick() => {
                    pending.retain(|_, reply| !reply.is_closed());
                    if ping_sent.is_some_and(|since| since.elapsed() > PING_TIMEOUT) {
                        return "no answer to a ping".to_owned();
                    }
                    if last_used.elapsed() > IDLE_TIMEOUT {
                        return "idle".to_owned();
                    }
                    if was_used && ping_sent.is_none() {
                        if let Err(error) = sink.send(ping.clone()).await {
                            return error.to_string();
                        }
                        (ping_sent, was_used) = (Some(Instant::now()), false);
                    }
                }
            }
        }
    }
}

#[async_trait]
impl PeerLink for Arc<TcpNode> {
    async fn call(
        &self,
        target: &PeerTarget,
        request: PeerRequest,
        limit: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let address = target.address;
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let frame = encode_frame(self.timeline.stamp(), &LinkFrame::Request(id, request))?;
        let frame = compress_frame(frame);
        let (reply, answer) = oneshot::channel();
        let outgoing = OutgoingFrame { frame, reply: Some((id, reply)) };
        if self.link(address).try_send(outgoing).is_err() {
            self.counters.count("message-dropped");
            let reason = "the send queue is full".to_owned();
            return Err(PeerError::NotReached { address, reason });
        }
        match timeout(limit, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => {
                Err(PeerError::ConnectionLost { address, reason: "the link ended".to_owned() })
            }
            Err(_) => Err(PeerError::TimedOut { address, timeout_ms: limit.as_millis() as u64 }),
        }
    }

    fn send(&self, target: &PeerTarget, request: PeerRequest) {
        let frame = encode_frame(self.timeline.stamp(), &LinkFrame::Notice(request));
        let is_queued = frame.is_ok_and(|frame| {
            let outgoing = OutgoingFrame { frame: compress_frame(frame), reply: None };
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

/// Sets the socket options that detect a dead or unresponsive peer.
fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}
