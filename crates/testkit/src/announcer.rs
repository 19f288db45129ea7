//! Announces a fake server to the first entry that accepts it.

use crate::http_client::{HttpClient, HttpRequest};
use server::AnnounceAnswer;
use std::{net::SocketAddr, time::Duration};
use types::Announcement;

/// Timeout of an announcement to one entry.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Sends an announcement to the entries in order, until one answers with status 200.
///
/// Returns that entry's answer, or `None` if no entry accepts the announcement or the answer cannot
/// be parsed.
pub async fn announce(
    entries: &[SocketAddr],
    announcement: &Announcement,
) -> Option<AnnounceAnswer> {
    let client = HttpClient::default();
    let body = serde_json::to_vec(announcement).unwrap_or_default();
    for entry in entries {
        let request = HttpRequest::post("/v1/servers", body.clone());
        let result = tokio::time::timeout(ANNOUNCE_TIMEOUT, client.send(*entry, request)).await;
        if let Ok(Ok(answer)) = result
            && answer.status == 200
        {
            return serde_json::from_slice(&answer.body).ok();
        }
    }
    None
}
