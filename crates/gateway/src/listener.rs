//! Accepts callers' connections until a graceful shutdown.

use crate::{connection::CallerConnection, forwarder::RequestForwarder};
use runtime::DecisionCounters;
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// Delay before the next `accept` after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The stages of a graceful shutdown, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopStage {
    /// No shutdown has begun.
    Serving,
    /// Each connection is closed after the responses to the requests that run on it.
    FinishingRequests,
    /// Idle connections are closed, no new connections are accepted, and requests that are complete
    /// only now are refused.
    Closing,
}

/// Who sends the requests of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestSource {
    /// Callers.
    Callers,
    /// Other entries.
    Entries,
}

/// Accepts and serves callers, or other entries, on one socket.
pub struct GatewayListener {
    pub(crate) forwarder: Arc<RequestForwarder>,
    pub(crate) source: RequestSource,
    pub(crate) stop: watch::Receiver<StopStage>,
    pub(crate) counters: DecisionCounters,
    pub(crate) connections: Arc<AtomicUsize>,
}

impl GatewayListener {
    /// Accepts connections until the shutdown reaches [`StopStage::Closing`].
    pub(crate) async fn serve(self, listener: TcpListener) {
        let mut stop = self.stop.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                stopped = stop.wait_for(|stage| *stage == StopStage::Closing) => {
                    drop(stopped);
                    return;
                }
            };
            match accepted {
                Ok((stream, _)) => self.start_connection(stream),
                Err(_) => {
                    self.counters.count("accept-failed");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn start_connection(&self, stream: TcpStream) {
        // Disables Nagle's algorithm, which would delay small responses. The socket still works if
        // this fails.
        let _ = stream.set_nodelay(true);
        self.counters.count("connection-accepted");
        let (forwarder, stop) = (self.forwarder.clone(), self.stop.clone());
        let (source, connections) = (self.source, self.connections.clone());
        connections.fetch_add(1, Ordering::AcqRel);
        tokio::spawn(async move {
            CallerConnection::new(stream, source, forwarder, stop).run().await;
            connections.fetch_sub(1, Ordering::AcqRel);
        });
    }
}
