//! What the runner of at-most-once requests uses of the dispatcher.

use crate::active_call::ActiveCall;
use async_trait::async_trait;
use std::time::{Duration, Instant};
use types::{CallAnswer, CallOutcome, EntryName, HeaderField, header};
use uuid::Uuid;

/// Attempts at a request, the first included.
pub(crate) const MAX_ATTEMPTS: usize = 3;

/// What forwarding a request to another entry came to.
pub(crate) enum ForwardEnd {
    /// The other entry's answer.
    Answered(CallAnswer),
    /// The request did not reach it.
    NotReached,
    /// It may have reached it.
    Unknown(String),
}

/// Forwards requests to other entries, and refuses them.
#[async_trait]
pub(crate) trait CallRelay: Send + Sync {
    /// Forwards a request to another entry.
    async fn forward(&self, active: &ActiveCall, to: &EntryName, deadline: Instant) -> ForwardEnd;

    /// Refuses a request because this entry cannot confirm its view.
    fn refuse_closed(&self, key: Option<Uuid>) -> CallAnswer;

    /// Refuses a request for want of servers with room.
    fn refuse_busy(&self, key: Option<Uuid>, wait: Duration) -> CallAnswer;

    /// Returns when a caller that should wait at least `wait` is told to come back, in milliseconds.
    fn retry_after_ms(&self, wait: Duration) -> u32;
}

/// Returns what may be said of a request that this entry never looked up: a request with the
/// caller's own key may have run when it was sent before.
pub(crate) fn unseen_outcome(key: Option<Uuid>) -> CallOutcome {
    if key.is_some() { CallOutcome::Unknown } else { CallOutcome::NotRun }
}

/// Returns an answer with the key of its request.
pub(crate) fn with_key(mut answer: CallAnswer, key: Uuid) -> CallAnswer {
    answer.headers.push(HeaderField {
        name: header::IDEMPOTENCY_KEY.to_owned(),
        value: key.to_string().into_bytes(),
    });
    answer
}
