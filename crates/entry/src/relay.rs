//! The dispatcher's functions that the runner of at-most-once requests uses.

use crate::active_call::ActiveCall;
use async_trait::async_trait;
use std::time::{Duration, Instant};
use types::{CallAnswer, CallOutcome, EntryName, HeaderField, header};
use uuid::Uuid;

/// Maximum number of attempts per request, including the first.
pub(crate) const MAX_ATTEMPTS: usize = 3;

/// The result of forwarding a request to another entry.
pub(crate) enum ForwardResult {
    /// The other entry answered.
    Answered(CallAnswer),
    /// The request did not reach the other entry.
    NotReached,
    /// The request may have reached the other entry.
    Unknown(String),
}

/// Forwards requests to other entries, and refuses requests that cannot run.
#[async_trait]
pub(crate) trait CallForwarder: Send + Sync {
    /// Forwards a request to another entry.
    async fn forward(
        &self,
        active: &ActiveCall,
        to: &EntryName,
        deadline: Instant,
    ) -> ForwardResult;

    /// Refuses a request because this entry cannot confirm its view.
    fn refuse_closed(&self, caller_key: Option<Uuid>) -> CallAnswer;

    /// Refuses a request because no server has free capacity. The caller is told to wait at least
    /// `wait`.
    fn refuse_busy(&self, caller_key: Option<Uuid>, wait: Duration) -> CallAnswer;

    /// Returns the time in milliseconds after which a caller that should wait at least `wait` is
    /// told to retry.
    fn retry_after_ms(&self, wait: Duration) -> u32;
}

/// Returns the outcome of a request that is refused before its claim is looked up. A request with
/// the caller's key may be a repeat of one that has run.
pub(crate) fn unclaimed_outcome(caller_key: Option<Uuid>) -> CallOutcome {
    if caller_key.is_some() { CallOutcome::Unknown } else { CallOutcome::NotRun }
}

/// Adds the idempotency key of the request to its answer.
pub(crate) fn with_idempotency_key(mut answer: CallAnswer, key: Uuid) -> CallAnswer {
    answer.headers.push(HeaderField {
        name: header::IDEMPOTENCY_KEY.to_owned(),
        value: key.to_string().into_bytes(),
    });
    answer
}
