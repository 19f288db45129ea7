//! The metrics page: `GET /metrics` in the Prometheus text format.

use http::Response;
use http_body_util::Full;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use runtime::MetricsRegistry;
use std::{convert::Infallible, time::Duration};
use tokio::net::TcpListener;

/// Pause after a failed accept.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Serves the page on all connections that `listener` accepts. Runs until its task is cancelled.
pub(crate) async fn serve_metrics(listener: TcpListener, metrics: MetricsRegistry) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let metrics = metrics.clone();
        tokio::spawn(async move {
            let service = service_fn(move |_| {
                let page = Full::new(bytes::Bytes::from(metrics.page()));
                async move { Ok::<_, Infallible>(Response::new(page)) }
            });
            // A client whose connection breaks sends its request again.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
