//! HTTP intake of announcements: `POST /v1/servers` with a JSON announcement.

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use runtime::DecisionCounters;
use serde::{Deserialize, Serialize};
use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};
use thiserror::Error;
use tokio::net::TcpListener;
use types::Announcement;

/// The greatest announcement in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4 * 1024;
/// Time allowed for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The answer to an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceAnswer {
    /// Where to announce from now on.
    pub owner: SocketAddr,
    /// Where else to announce if the owner does not answer.
    pub others: Vec<SocketAddr>,
    /// Period of announcements in milliseconds.
    pub period_ms: u64,
}

/// Says why an announcement was not taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AnnounceRefusal {
    /// It is not valid.
    #[error("{0}")]
    Invalid(String),
    /// No owner can be reached now; try again.
    #[error("{0}")]
    Unavailable(String),
}

/// Takes announcements.
#[async_trait]
pub trait AnnounceHandler: Send + Sync {
    /// Takes one announcement of a server.
    async fn announce(&self, announcement: Announcement)
    -> Result<AnnounceAnswer, AnnounceRefusal>;
}

/// Serves announcements until the task is dropped.
pub async fn serve_announcements(
    listener: TcpListener,
    handler: Arc<dyn AnnounceHandler>,
    counters: DecisionCounters,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (handler, counters) = (handler.clone(), counters.clone());
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let (handler, counters) = (handler.clone(), counters.clone());
                async move { Ok::<_, Infallible>(answer(request, &*handler, &counters).await) }
            });
            // A server whose connection breaks announces again.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn answer(
    request: Request<Incoming>,
    handler: &dyn AnnounceHandler,
    counters: &DecisionCounters,
) -> Response<Full<Bytes>> {
    if request.uri().path() != "/v1/servers" {
        return text(StatusCode::NOT_FOUND, "no such path; announce at /v1/servers\n");
    }
    if request.method() != Method::POST {
        return text(StatusCode::METHOD_NOT_ALLOWED, "announce by POST\n");
    }
    let body = match Limited::new(request.into_body(), MAX_ANNOUNCEMENT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => {
            counters.count("announcement-oversize");
            return text(StatusCode::PAYLOAD_TOO_LARGE, "announcement: more than 4096 bytes\n");
        }
    };
    let announcement = match parse(&body) {
        Ok(announcement) => announcement,
        Err(reason) => {
            counters.count("announcement-invalid");
            return text(StatusCode::BAD_REQUEST, &format!("announcement: {reason}\n"));
        }
    };
    match handler.announce(announcement).await {
        Ok(answer) => {
            counters.count("announcement-taken");
            let body = serde_json::to_vec(&answer).unwrap_or_default();
            Response::new(Full::new(body.into()))
        }
        Err(AnnounceRefusal::Invalid(reason)) => {
            counters.count("announcement-invalid");
            text(StatusCode::BAD_REQUEST, &format!("announcement: {reason}\n"))
        }
        Err(AnnounceRefusal::Unavailable(reason)) => {
            counters.count("announcement-unavailable");
            text(StatusCode::SERVICE_UNAVAILABLE, &format!("{reason}\n"))
        }
    }
}

fn parse(body: &[u8]) -> Result<Announcement, String> {
    let announcement: Announcement =
        serde_json::from_slice(body).map_err(|error| error.to_string())?;
    announcement.verify().map_err(|error| error.to_string())?;
    Ok(announcement)
}

fn text(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *response.status_mut() = status;
    response
}
