//! The metrics page: `GET /metrics` in the Prometheus text format.

use http::Response;
use http_body_util::Full;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use runtime::MetricsRegistry;
use std::{convert::Infallible, time::Duration};
use tokio::net::TcpListener;

/// Serves the page until the task is dropped.
pub(crate) async fn serve_metrics(listener: TcpListener, metrics: MetricsRegistry) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let metrics = metrics.clone();
        tokio::spawn(async move {
            let service = service_fn(move |_| {
                let page = Full::new(bytes::Bytes::from(metrics.page()));
                async move { Ok::<_, Infallible>(Response::new(page)) }
            });
            // A reader whose connection breaks asks again.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
