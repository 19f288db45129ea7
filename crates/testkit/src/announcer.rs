//! Announces a fake server to the first entry that takes it.

use crate::http_client::{HttpClient, HttpRequest};
use server::AnnounceAnswer;
use std::{net::SocketAddr, time::Duration};
use types::Announcement;

/// Time allowed for one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Announces to the first of the entries that takes it. Returns `None` if none does.
pub async fn announce(
    entries: &[SocketAddr],
    announcement: &Announcement,
) -> Option<AnnounceAnswer> {
    let client = HttpClient::default();
    let body = serde_json::to_vec(announcement).unwrap_or_default();
    for entry in entries {
        let request = HttpRequest::post("/v1/servers", body.clone());
        let sent = tokio::time::timeout(ANNOUNCE_TIMEOUT, client.send(*entry, request)).await;
        if let Ok(Ok(answer)) = sent
            && answer.status == 200
        {
            return serde_json::from_slice(&answer.body).ok();
        }
    }
    None
}
