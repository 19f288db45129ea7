//! Links over QUIC.
//!
//! Each request runs on its own stream. One-way messages share one ordered stream per peer, fed from
//! a bounded queue; when the queue is full, messages are dropped, as on any lossy network.

use crate::{
    PeerAnswer, PeerError, PeerHandler, PeerLink, PeerRequest, PeerTarget, TlsMaterial,
    frame::{MAX_FRAME_BYTES, decode_frame, encode_frame},
    tls::certified_host,
};
use async_trait::async_trait;
use parking_lot::Mutex;
use quinn::{
    ClientConfig, Connection, Endpoint, Incoming, RecvStream, SendStream, ServerConfig,
    TransportConfig, VarInt,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
    rustls::pki_types::CertificateDer,
};
use runtime::{DecisionCounters, EventTimeline};
use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{sync::mpsc, time::timeout};
use types::HostName;

/// Capacity of the queue of one-way messages to one peer.
const QUEUE_LIMIT: usize = 4096;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without packets from the peer after which a connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 3_000;
/// Period of keep-alive packets on an idle connection.
const KEEP_ALIVE: Duration = Duration::from_millis(1_000);
/// Maximum number of concurrent requests on one connection; further requests wait. Bounded because
/// the QUIC library reserves memory for each stream.
const MAX_STREAMS: u32 = 256;
/// Maximum number of concurrent streams of one-way messages on one connection.
const MAX_MESSAGE_STREAMS: u32 = 8;
/// Round-trip time assumed for a new connection.
const INITIAL_RTT: Duration = Duration::from_millis(10);
/// Delay before the message stream to a peer is reopened after a failure.
const REOPEN_DELAY: Duration = Duration::from_millis(50);

/// Bytes of UDP payload exchanged on all links of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkTraffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

impl LinkTraffic {
    fn add(&mut self, connection: &Connection) {
        let stats = connection.stats();
        self.sent += stats.udp_tx.bytes;
        self.received += stats.udp_rx.bytes;
    }
}

/// Open connections, and the total traffic of closed ones.
#[derive(Default)]
struct TrafficTotals {
    open: Vec<Connection>,
    closed: LinkTraffic,
}

type ConnectionSlot = Arc<tokio::sync::Mutex<Option<Connection>>>;

/// Opens and accepts QUIC links for one process.
pub struct QuicNode {
    endpoint: Endpoint,
    timeline: EventTimeline,
    counters: DecisionCounters,
    connections: Mutex<HashMap<PeerTarget, ConnectionSlot>>,
    traffic: Mutex<TrafficTotals>,
    queues: Mutex<HashMap<PeerTarget, mpsc::Sender<PeerRequest>>>,
}

impl QuicNode {
    /// Binds the UDP socket of the process. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the keys cannot be used or the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        material: &TlsMaterial,
        timeline: EventTimeline,
        counters: DecisionCounters,
    ) -> Result<Arc<Self>, PeerError> {
        let tls_error = |error: quinn::crypto::rustls::NoInitialCipherSuite| PeerError::Bind {
            address,
            reason: error.to_string(),
        };
        let transport = Arc::new(transport_config());
        let server =
            QuicServerConfig::try_from(material.link_server_config()?).map_err(tls_error)?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(transport.clone());
        let client =
            QuicClientConfig::try_from(material.link_client_config()?).map_err(tls_error)?;
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(transport);
        let bind_error =
            |error: std::io::Error| PeerError::Bind { address, reason: error.to_string() };
        let mut endpoint = Endpoint::server(server, address).map_err(bind_error)?;
        endpoint.set_default_client_config(client);
        let (connections, queues, traffic) = Default::default();
        Ok(Arc::new(Self { endpoint, timeline, counters, connections, traffic, queues }))
    }

    /// Returns the local address of the socket.
    pub fn address(&self) -> Result<SocketAddr, PeerError> {
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        let bind_error =
            |error: std::io::Error| PeerError::Bind { address, reason: error.to_string() };
        self.endpoint.local_addr().map_err(bind_error)
    }

    /// Returns the total traffic so far. Also stops tracking connections that have closed.
    pub fn traffic(&self) -> LinkTraffic {
        let mut totals = self.traffic.lock();
        let TrafficTotals { open, closed } = &mut *totals;
        open.retain(|connection| {
            let is_open = connection.close_reason().is_none();
            if !is_open {
                closed.add(connection);
            }
            is_open
        });
        let mut total = *closed;
        open.iter().for_each(|connection| total.add(connection));
        total
    }

    fn track_connection(&self, connection: &Connection) {
        // Removes closed connections, so that the list does not grow without bound.
        self.traffic();
        self.traffic.lock().open.push(connection.clone());
    }

    /// Accepts links until the node is closed.
    pub async fn serve(self: Arc<Self>, handler: Arc<dyn PeerHandler>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let (node, handler) = (self.clone(), handler.clone());
            tokio::spawn(async move { node.serve_connection(incoming, handler).await });
        }
    }

    /// Closes all links.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stop");
        self.endpoint.wait_idle().await;
    }

    async fn serve_connection(self: Arc<Self>, incoming: Incoming, handler: Arc<dyn PeerHandler>) {
        let Ok(connection) = incoming.await else {
            self.counters.count("link-refused");
            return;
        };
        let Some(host) = peer_host(&connection) else {
            self.counters.count("link-refused");
            connection.close(VarInt::from_u32(1), b"no host name");
            return;
        };
        self.counters.count("link-accepted");
        self.track_connection(&connection);
        loop {
            tokio::select! {
                stream = connection.accept_bi() => {
                    let Ok((send, receive)) = stream else { return };
                    let (node, handler, host) = (self.clone(), handler.clone(), host.clone());
                    tokio::spawn(async move {
                        node.serve_request(&host, send, receive, handler.as_ref()).await;
                    });
                }
                stream = connection.accept_uni() => {
                    let Ok(receive) = stream else { return };
                    let (node, handler, host) = (self.clone(), handler.clone(), host.clone());
                    tokio::spawn(async move {
                        node.serve_messages(&host, receive, handler.as_ref()).await;
                    });
                }
            }
        }
    }

    async fn serve_request(
        &self,
        host: &HostName,
        mut send: SendStream,
        mut receive: RecvStream,
        handler: &dyn PeerHandler,
    ) {
        let Ok(bytes) = receive.read_to_end(MAX_FRAME_BYTES).await else {
            self.counters.count("message-oversize");
            return;
        };
        let Some(request) = self.decode_request(&bytes) else {
            return;
        };
        let answer = handler.handle(host, request).await;
        if let Ok(frame) = encode_frame(self.timeline.stamp(), &answer)
            && send.write_all(&frame).await.is_ok()
        {
            // Fails if the peer has closed the stream and no longer expects an answer.
            let _ = send.finish();
        }
    }

    async fn serve_messages(
        &self,
        host: &HostName,
        mut receive: RecvStream,
        handler: &dyn PeerHandler,
    ) {
        while let Some(bytes) = read_length_prefixed(&mut receive).await {
            if let Some(request) = self.decode_request(&bytes) {
                handler.handle(host, request).await;
            }
        }
    }

    fn decode_request(&self, bytes: &[u8]) -> Option<PeerRequest> {
        match decode_frame(bytes) {
            Ok((time, request)) => {
                self.timeline.observe(time);
                Some(request)
            }
            Err(_) => {
                self.counters.count("message-malformed");
                None
            }
        }
    }

    async fn connect(&self, target: &PeerTarget) -> Result<Connection, PeerError> {
        let slot = self.connections.lock().entry(target.clone()).or_default().clone();
        let mut slot = slot.lock().await;
        if let Some(connection) = slot.as_ref()
            && connection.close_reason().is_none()
        {
            return Ok(connection.clone());
        }
        let address = target.address;
        let not_reached = |reason: String| PeerError::NotReached { address, reason };
        let connecting = self
            .endpoint
            .connect(address, target.host.as_str())
            .map_err(|error| not_reached(error.to_string()))?;
        let connection = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| not_reached("connect timed out".to_owned()))?
            .map_err(|error| not_reached(error.to_string()))?;
        self.track_connection(&connection);
        *slot = Some(connection.clone());
        Ok(connection)
    }

    async fn send_request(
        &self,
        target: &PeerTarget,
        request: &PeerRequest,
    ) -> Result<PeerAnswer, PeerError> {
        let connection = self.connect(target).await?;
        let address = target.address;
        let connection_lost = |reason: String| PeerError::ConnectionLost { address, reason };
        let (mut send, mut receive) =
            connection.open_bi().await.map_err(|error| connection_lost(error.to_string()))?;
        let frame = encode_frame(self.timeline.stamp(), request)?;
        send.write_all(&frame).await.map_err(|error| connection_lost(error.to_string()))?;
        send.finish().map_err(|error| connection_lost(error.to_string()))?;
        let bytes = receive
            .read_to_end(MAX_FRAME_BYTES)
            .await
            .map_err(|error| connection_lost(error.to_string()))?;
        let (time, answer) = decode_frame(&bytes)?;
        self.timeline.observe(time);
        Ok(answer)
    }

    /// Sends queued messages to one peer on a single stream until the queue closes or the stream
    /// fails.
    async fn send_queued(
        &self,
        target: &PeerTarget,
        queue: &mut mpsc::Receiver<PeerRequest>,
    ) -> Result<(), PeerError> {
        let connection = self.connect(target).await?;
        let address = target.address;
        let connection_lost = |reason: String| PeerError::ConnectionLost { address, reason };
        let mut stream =
            connection.open_uni().await.map_err(|error| connection_lost(error.to_string()))?;
        while let Some(request) = queue.recv().await {
            let frame = encode_frame(self.timeline.stamp(), &request)?;
            let length = (frame.len() as u32).to_be_bytes();
            stream.write_all(&length).await.map_err(|error| connection_lost(error.to_string()))?;
            stream.write_all(&frame).await.map_err(|error| connection_lost(error.to_string()))?;
        }
        Ok(())
    }

    async fn run_queue(
        self: Arc<Self>,
        target: PeerTarget,
        mut queue: mpsc::Receiver<PeerRequest>,
    ) {
        while !queue.is_closed() {
            if self.send_queued(&target, &mut queue).await.is_err() {
                self.counters.count("link-broken");
                while queue.try_recv().is_ok() {}
                tokio::time::sleep(REOPEN_DELAY).await;
            }
        }
    }
}

#[async_trait]
impl PeerLink for Arc<QuicNode> {
    async fn call(
        &self,
        target: &PeerTarget,
        request: PeerRequest,
        limit: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        match timeout(limit, self.send_request(target, &request)).await {
            Ok(result) => result,
            Err(_) => Err(PeerError::TimedOut {
                address: target.address,
                timeout_ms: limit.as_millis() as u64,
            }),
        }
    }

    fn send(&self, target: &PeerTarget, request: PeerRequest) {
        let mut queues = self.queues.lock();
        let queue = queues.entry(target.clone()).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_LIMIT);
            tokio::spawn(self.clone().run_queue(target.clone(), receiver));
            sender
        });
        if queue.try_send(request).is_err() {
            self.counters.count("message-dropped");
        }
    }
}

fn transport_config() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_MESSAGE_STREAMS))
        .initial_rtt(INITIAL_RTT);
    transport
}

fn peer_host(connection: &Connection) -> Option<HostName> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    certified_host(&chain)
}

/// Reads one length-prefixed frame. Returns `None` at the end of the stream, or if the length
/// exceeds [`MAX_FRAME_BYTES`].
async fn read_length_prefixed(receive: &mut RecvStream) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    receive.read_exact(&mut length).await.ok()?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return None;
    }
    let mut bytes = vec![0; length];
    receive.read_exact(&mut bytes).await.ok()?;
    Some(bytes)
}
