//! The functions of the dispatcher that the runner of at-most-once requests uses.

use crate::active_call::ActiveCall;
use async_trait::async_trait;
use std::time::{Duration, Instant};
use types::{CallAnswer, CallOutcome, EntryName, HeaderField, header};
use uuid::Uuid;

/// Maximum number of attempts per request, including the first but not the hedges.
pub(crate) const MAX_ATTEMPTS: usize = 3;

/// The result of forwarding a request to another entry.
pub(crate) enum ForwardResult {
    /// The other entry answered.
    Answered(CallAnswer),
    /// The other entry did not handle the request. Either this entry did not send it, or the other
    /// entry was not reached, refused it, or sent an answer of another type.
    NotHandled,
    /// The request may have reached the other entry. Contains the reason.
    Unknown(String),
}

/// Forwards requests to other entries, refuses requests that cannot run, and computes retry times.
#[async_trait]
pub(crate) trait DispatcherApi: Send + Sync {
    /// Forwards a request to another entry and waits for the answer until `deadline`.
    async fn forward(
        &self,
        active: &ActiveCall,
        to: &EntryName,
        deadline: Instant,
    ) -> ForwardResult;

    /// Refuses a request because this entry cannot confirm its view.
    fn refuse_closed(&self, caller_key: Option<Uuid>) -> CallAnswer;

    /// Refuses a request because no server has free capacity. The caller is told to retry after
    /// `wait` at the earliest.
    fn refuse_busy(&self, caller_key: Option<Uuid>, wait: Duration) -> CallAnswer;

    /// Returns a random retry time for a caller in milliseconds, at least `wait`.
    fn retry_after_ms(&self, wait: Duration) -> u32;
}

/// Returns the outcome of a request that is refused without a decision on its claim. If the key is
/// the caller's, the request may repeat one that has run.
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
