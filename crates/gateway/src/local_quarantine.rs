//! The quarantine of one entry, for evidence that no replica takes.

use parking_lot::{Mutex, RwLock};
use std::{collections::BTreeMap, sync::Arc, time::Instant};
use types::{
    CrashLedger, LogTime, QuarantineChange, QuarantineStage, RequestFingerprint, RequestReport,
};

/// Requests in quarantine, by fingerprint.
pub(crate) type QuarantineStages = BTreeMap<RequestFingerprint, QuarantineStage>;

/// Evidence that an entry keeps for itself while it cannot reach the replicas. Without it, an entry
/// that is cut off would send a request that crashes servers to all of them.
pub(crate) struct LocalQuarantine {
    started: Instant,
    ledger: Mutex<CrashLedger>,
    stages: RwLock<Arc<QuarantineStages>>,
}

impl LocalQuarantine {
    /// Returns an empty quarantine.
    pub(crate) fn new(now: Instant) -> Self {
        Self { started: now, ledger: Mutex::default(), stages: RwLock::default() }
    }

    /// Returns the requests in quarantine.
    pub(crate) fn stages(&self) -> Arc<QuarantineStages> {
        self.stages.read().clone()
    }

    /// Records findings, and removes requests whose time in quarantine is over.
    pub(crate) fn record(&self, now: Instant, report: &RequestReport) {
        let elapsed = now.saturating_duration_since(self.started);
        let time = LogTime(elapsed.as_millis() as u64);
        let mut ledger = self.ledger.lock();
        let mut changes = ledger.expire(time);
        changes.extend(report.answered.iter().filter_map(|request| ledger.record_answer(request)));
        for crash in &report.crashes {
            changes.extend(ledger.record_crash(time, crash));
        }
        self.install(changes);
    }

    fn install(&self, changes: Vec<QuarantineChange>) {
        if changes.is_empty() {
            return;
        }
        let mut stages = QuarantineStages::clone(&self.stages.read());
        for (request, stage) in changes {
            match stage {
                Some(stage) => stages.insert(request, stage),
                None => stages.remove(&request),
            };
        }
        *self.stages.write() = Arc::new(stages);
    }
}
