//! Accepts callers' connections, and closes them gracefully at a planned stop.

use crate::{CallHandler, IntakeSettings, intake::answer};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use runtime::DecisionCounters;
use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};
use thiserror::Error;
use tokio::{net::TcpListener, sync::Notify, time::timeout};

/// The listening socket could not be opened.
#[derive(Debug, Error)]
#[error("{address}: {source}")]
pub struct IntakeError {
    address: SocketAddr,
    source: io::Error,
}

/// Serves callers on one address.
pub struct CallerListener {
    listener: TcpListener,
    handler: Arc<dyn CallHandler>,
    settings: IntakeSettings,
    counters: DecisionCounters,
}

impl CallerListener {
    /// Opens the address. Port 0 takes a free port.
    pub async fn bind(
        address: SocketAddr,
        handler: Arc<dyn CallHandler>,
        settings: IntakeSettings,
        counters: DecisionCounters,
    ) -> Result<Self, IntakeError> {
        let listener =
            TcpListener::bind(address).await.map_err(|source| IntakeError { address, source })?;
        Ok(Self { listener, handler, settings, counters })
    }

    /// Serves until `stop` is notified, then closes idle connections and lets requests in flight
    /// finish, for at most `grace`. Returns whether all finished.
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
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            // Small answers must not wait for more data; a socket without the option still works.
            let _ = stream.set_nodelay(true);
            let (handler, settings) = (self.handler.clone(), self.settings.clone());
            let counters = self.counters.clone();
            let service = service_fn(move |request| {
                let (handler, settings) = (handler.clone(), settings.clone());
                let counters = counters.clone();
                async move {
                    let response = answer(request, &*handler, &settings, &counters).await;
                    Ok::<_, Infallible>(response)
                }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(self.settings.head_timeout)
                .serve_connection(TokioIo::new(stream), service);
            let watched = graceful.watch(connection);
            tokio::spawn(async move {
                // A caller whose connection breaks asks again.
                let _ = watched.await;
            });
        }
        drop(self.listener);
        timeout(grace, graceful.shutdown()).await.is_ok()
    }
}
