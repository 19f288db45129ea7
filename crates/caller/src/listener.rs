//! Accepts connections from callers, and closes them gracefully at a planned stop.

use crate::{CallHandler, ListenerSettings, intake::handle_request};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use runtime::DecisionCounters;
use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};
use thiserror::Error;
use tokio::{net::TcpListener, sync::Notify, time::timeout};

/// Delay after a failed `accept`, so that persistent errors do not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The address could not be bound for listening.
#[derive(Debug, Error)]
#[error("cannot listen on {address}: {source}")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// Accepts callers on one address and passes their requests to a [`CallHandler`].
pub struct CallerListener {
    listener: TcpListener,
    handler: Arc<dyn CallHandler>,
    settings: ListenerSettings,
    counters: DecisionCounters,
}

impl CallerListener {
    /// Listens on `address`; port 0 selects a free port. Fails if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        handler: Arc<dyn CallHandler>,
        settings: ListenerSettings,
        counters: DecisionCounters,
    ) -> Result<Self, ListenError> {
        let listener =
            TcpListener::bind(address).await.map_err(|source| ListenError { address, source })?;
        Ok(Self { listener, handler, settings, counters })
    }

    /// Serves callers until `stop` is notified. Then stops listening, closes idle connections and
    /// waits up to `grace` for requests in flight. Returns whether all of them finished.
    pub async fn serve(self, stop: Arc<Notify>, grace: Duration) -> bool {
        let graceful = GracefulShutdown::new();
        let stopped = stop.notified();
        tokio::pin!(stopped);
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = &mut stopped => break,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // Disables Nagle's algorithm, which would delay small answers. The connection also
            // works if the option cannot be set.
            let _ = stream.set_nodelay(true);
            let (handler, settings) = (self.handler.clone(), self.settings.clone());
            let counters = self.counters.clone();
            let service = service_fn(move |request| {
                let (handler, settings) = (handler.clone(), settings.clone());
                let counters = counters.clone();
                async move {
                    let response = handle_request(request, &*handler, &settings, &counters).await;
                    Ok::<_, Infallible>(response)
                }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(self.settings.head_timeout)
                .serve_connection(TokioIo::new(stream), service);
            let connection = graceful.watch(connection);
            tokio::spawn(async move {
                // Connection errors need no handling: the caller can send its request again.
                let _ = connection.await;
            });
        }
        drop(self.listener);
        timeout(grace, graceful.shutdown()).await.is_ok()
    }
}
