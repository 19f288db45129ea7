//! HTTP endpoint for announcements: `POST /v1/servers` with a JSON [`Announcement`].

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

/// Maximum size of an announcement in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4 * 1024;
/// Time allowed for the head of a request to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed `accept`, so that persistent errors do not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The answer to an accepted announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceAnswer {
    /// Address to send further announcements to.
    pub owner: SocketAddr,
    /// Addresses of other entries, to use if the owner does not answer.
    pub others: Vec<SocketAddr>,
    /// Period between announcements in milliseconds.
    pub period_ms: u64,
}

/// The reason why an announcement was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AnnounceRefusal {
    /// The announcement is not valid. Contains the reason.
    #[error("{0}")]
    Invalid(String),
    /// The owner of the server is unknown or cannot be reached, or did not register the
    /// announcement; the server can retry. Contains the reason.
    #[error("{0}")]
    Unavailable(String),
}

/// Processes announcements.
#[async_trait]
pub trait AnnounceHandler: Send + Sync {
    /// Registers a server's announcement with the entry that owns the server.
    async fn announce(&self, announcement: Announcement)
    -> Result<AnnounceAnswer, AnnounceRefusal>;
}

/// Accepts connections on `listener`, passes valid announcements to `handler`, and counts the
/// outcome of each announcement in `counters`. Runs until the future is dropped.
pub async fn serve_announcements(
    listener: TcpListener,
    handler: Arc<dyn AnnounceHandler>,
    counters: DecisionCounters,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (handler, counters) = (handler.clone(), counters.clone());
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let (handler, counters) = (handler.clone(), counters.clone());
                async move {
                    let response = handle_request(request, &*handler, &counters).await;
                    Ok::<_, Infallible>(response)
                }
            });
            // Connection errors need no handling: the server repeats its announcement.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Validates a request, passes its announcement to the handler and builds the response.
async fn handle_request(
    request: Request<Incoming>,
    handler: &dyn AnnounceHandler,
    counters: &DecisionCounters,
) -> Response<Full<Bytes>> {
    if request.uri().path() != "/v1/servers" {
        return text_response(StatusCode::NOT_FOUND, "no such path; announce at /v1/servers\n");
    }
    if request.method() != Method::POST {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "announce by POST\n");
    }
    let body = match Limited::new(request.into_body(), MAX_ANNOUNCEMENT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => {
            counters.count("announcement-oversize");
            return text_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                "announcement: more than 4096 bytes\n",
            );
        }
    };
    let announcement = match parse_announcement(&body) {
        Ok(announcement) => announcement,
        Err(reason) => {
            counters.count("announcement-invalid");
            return text_response(StatusCode::BAD_REQUEST, &format!("announcement: {reason}\n"));
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
            text_response(StatusCode::BAD_REQUEST, &format!("announcement: {reason}\n"))
        }
        Err(AnnounceRefusal::Unavailable(reason)) => {
            counters.count("announcement-unavailable");
            text_response(StatusCode::SERVICE_UNAVAILABLE, &format!("{reason}\n"))
        }
    }
}

/// Parses and validates an announcement. The error is the reason for the refusal.
fn parse_announcement(body: &[u8]) -> Result<Announcement, String> {
    let announcement: Announcement =
        serde_json::from_slice(body).map_err(|error| error.to_string())?;
    announcement.verify().map_err(|error| error.to_string())?;
    Ok(announcement)
}

fn text_response(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *response.status_mut() = status;
    response
}
