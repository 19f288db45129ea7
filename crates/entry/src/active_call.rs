//! A request on its way through an entry, with what is known about it.

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

/// Where a request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallSource {
    /// A caller.
    Caller,
    /// Another entry handed it over; it is not handed over again.
    Entry,
}

/// A request on its way.
///
/// Invariant: `possible_runs` counts the attempts that were begun and not proved to have run nothing;
/// a try that is dropped stays counted.
pub(crate) struct ActiveCall {
    pub(crate) call: CallRequest,
    /// The key that the caller gave. A key made by this entry is in `call` only.
    pub(crate) stated_key: Option<Uuid>,
    pub(crate) prepared: PreparedCall,
    pub(crate) pool: Arc<ServicePool>,
    pub(crate) deadline: Instant,
    pub(crate) source: CallSource,
    possible_runs: AtomicU32,
}

impl ActiveCall {
    pub(crate) fn new(
        call: CallRequest,
        stated_key: Option<Uuid>,
        prepared: PreparedCall,
        pool: Arc<ServicePool>,
        deadline: Instant,
        source: CallSource,
    ) -> Self {
        let possible_runs = AtomicU32::new(0);
        Self { call, stated_key, prepared, pool, deadline, source, possible_runs }
    }

    /// Notes that a try begins.
    pub(crate) fn note_sent(&self) {
        self.possible_runs.fetch_add(1, Ordering::AcqRel);
    }

    /// Notes that a try is proved to have run nothing.
    pub(crate) fn note_not_run(&self) {
        self.possible_runs.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns the answer with the truth about all attempts: "not run" only if none can have run.
    pub(crate) fn qualify(&self, answer: CallAnswer) -> CallAnswer {
        let may_have_run = self.possible_runs.load(Ordering::Acquire) > 0;
        if answer.outcome == CallOutcome::NotRun && may_have_run {
            return CallAnswer { outcome: CallOutcome::Unknown, ..answer };
        }
        answer
    }
}
