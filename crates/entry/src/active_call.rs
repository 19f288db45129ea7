//! The state of a request while an entry processes it.

use crate::{prepared_call::PreparedCall, service_pool::ServicePool};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Instant,
};
use types::{CallAnswer, CallOutcome, CallRequest};
use uuid::Uuid;

/// The origin of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallSource {
    /// A caller.
    Caller,
    /// Another entry, which forwarded the request. It is not forwarded again.
    Entry,
}

/// A request that an entry is processing.
///
/// Invariant: `possible_runs` counts the started attempts, except those that are known not to have
/// run the request. An attempt whose future is dropped stays counted.
pub(crate) struct ActiveCall {
    pub(crate) call: CallRequest,
    /// The caller's idempotency key. A key that this entry generated is in `call` only.
    pub(crate) caller_key: Option<Uuid>,
    pub(crate) prepared: PreparedCall,
    pub(crate) pool: Arc<ServicePool>,
    pub(crate) deadline: Instant,
    pub(crate) source: CallSource,
    possible_runs: AtomicU32,
}

impl ActiveCall {
    pub(crate) fn new(
        call: CallRequest,
        caller_key: Option<Uuid>,
        prepared: PreparedCall,
        pool: Arc<ServicePool>,
        deadline: Instant,
        source: CallSource,
    ) -> Self {
        let possible_runs = AtomicU32::new(0);
        Self { call, caller_key, prepared, pool, deadline, source, possible_runs }
    }

    /// Records the start of an attempt, either at a server or by forwarding to another entry.
    pub(crate) fn record_start(&self) {
        self.possible_runs.fetch_add(1, Ordering::AcqRel);
    }

    /// Records that a started attempt did not run the request.
    pub(crate) fn record_not_run(&self) {
        self.possible_runs.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns the answer with an outcome that covers all attempts: `NotRun` becomes `Unknown` if
    /// any attempt may have run.
    pub(crate) fn adjust_outcome(&self, answer: CallAnswer) -> CallAnswer {
        let may_have_run = self.possible_runs.load(Ordering::Acquire) > 0;
        if answer.outcome == CallOutcome::NotRun && may_have_run {
            return CallAnswer { outcome: CallOutcome::Unknown, ..answer };
        }
        answer
    }
}
