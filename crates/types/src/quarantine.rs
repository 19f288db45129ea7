//! Quarantine of requests that crash the servers which run them, also known as queries of death.
//!
//! Entries report each unanswered request under which a server crashed, and any replica records it.
//! A request is blocked at all entries once [`BLOCKING_CRASHES`] servers have crashed under it.
//! Requests that were in progress at the same servers by accident are cleared when a server answers
//! them; until then, a blocked request under which no fewer servers have crashed explains their
//! loss.

use crate::{LogTime, RequestFingerprint, ServerIncarnation, ServerName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::BTreeMap;

/// Number of servers that must have crashed under a request before it is blocked.
pub const BLOCKING_CRASHES: usize = 3;
/// Time after the last report at which a request leaves the quarantine, in milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;
/// Maximum number of servers that are kept for one request.
const MAX_CRASHES: usize = 16;
/// Maximum number of requests in quarantine. Beyond it, those that were reported longest ago leave.
const MAX_QUARANTINED: usize = 256;

/// The end of one incarnation of a server while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub request: RequestFingerprint,
    /// The server that crashed.
    pub server: ServerName,
    /// Its incarnation.
    pub incarnation: ServerIncarnation,
}

/// What an entry reports about requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestReport {
    /// Servers that crashed under requests that no server has answered.
    pub crashes: Vec<CrashReport>,
    /// Requests in quarantine that a server has answered.
    pub answered: Vec<RequestFingerprint>,
}

/// How a request in quarantine is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuarantineStage {
    /// Sent to one server for each attempt of the caller.
    Suspected,
    /// Refused.
    Blocked,
}

/// A change of the quarantine; `None` if the request leaves it.
pub type QuarantineChange = (RequestFingerprint, Option<QuarantineStage>);

/// Evidence about one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct SuspectRecord {
    /// Servers that crashed under the request, at most [`MAX_CRASHES`].
    crashes: SmallVec<[(ServerName, ServerIncarnation); BLOCKING_CRASHES]>,
    is_blocked: bool,
    last_report: LogTime,
}

/// The evidence about all requests in quarantine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashLedger {
    records: BTreeMap<RequestFingerprint, SuspectRecord>,
}

impl CrashLedger {
    /// Returns how a request is treated, or `None` if it is not in quarantine.
    pub fn stage(&self, request: &RequestFingerprint) -> Option<QuarantineStage> {
        self.records.get(request).map(SuspectRecord::stage)
    }

    /// Records the end of a server. Returns the changes of the quarantine.
    pub fn record_crash(&mut self, now: LogTime, report: &CrashReport) -> Vec<QuarantineChange> {
        let crash = (report.server.clone(), report.incarnation);
        let record = self.records.entry(report.request).or_insert_with(|| SuspectRecord {
            crashes: SmallVec::new(),
            is_blocked: false,
            last_report: now,
        });
        record.last_report = now;
        let is_new = record.crashes.is_empty();
        if !record.crashes.contains(&crash) && record.crashes.len() < MAX_CRASHES {
            record.crashes.push(crash);
        }
        let was_blocked = record.is_blocked;
        let mut changes = Vec::new();
        if !was_blocked && self.unexplained_crashes(&report.request) >= BLOCKING_CRASHES {
            if let Some(record) = self.records.get_mut(&report.request) {
                record.is_blocked = true;
            }
            changes.push((report.request, Some(QuarantineStage::Blocked)));
        } else if is_new {
            changes.push((report.request, Some(QuarantineStage::Suspected)));
        }
        changes.extend(self.drop_excess());
        changes
    }

    /// Records that a server has answered a request. A suspected request then leaves the
    /// quarantine; a blocked one stays, since it may crash servers only at times.
    pub fn record_answer(&mut self, request: &RequestFingerprint) -> Option<QuarantineChange> {
        let is_suspected = self.stage(request) == Some(QuarantineStage::Suspected);
        is_suspected.then(|| self.remove(request))
    }

    /// Removes the requests whose time in quarantine is over. Returns the changes.
    pub fn expire(&mut self, now: LogTime) -> Vec<QuarantineChange> {
        let is_over =
            |record: &SuspectRecord| now.0.saturating_sub(record.last_report.0) >= QUARANTINE_MS;
        let expired: Vec<RequestFingerprint> = self
            .records
            .iter()
            .filter(|(_, record)| is_over(record))
            .map(|(request, _)| *request)
            .collect();
        expired.iter().map(|request| self.remove(request)).collect()
    }

    /// Returns the number of servers whose end under this request no other one explains: a blocked
    /// request under which no fewer servers have crashed.
    fn unexplained_crashes(&self, request: &RequestFingerprint) -> usize {
        let Some(record) = self.records.get(request) else {
            return 0;
        };
        let is_stronger = |other: &&SuspectRecord| {
            other.is_blocked && other.crashes.len() >= record.crashes.len()
        };
        let stronger: SmallVec<[&SuspectRecord; 2]> =
            self.records.values().filter(is_stronger).collect();
        let is_unexplained = |crash: &&(ServerName, ServerIncarnation)| {
            !stronger.iter().any(|other| other.crashes.contains(*crash))
        };
        record.crashes.iter().filter(is_unexplained).count()
    }

    fn drop_excess(&mut self) -> Option<QuarantineChange> {
        if self.records.len() <= MAX_QUARANTINED {
            return None;
        }
        let rank = |record: &SuspectRecord| (record.is_blocked, record.last_report);
        let oldest = self.records.iter().min_by_key(|(_, record)| rank(record));
        let request = *oldest?.0;
        Some(self.remove(&request))
    }

    fn remove(&mut self, request: &RequestFingerprint) -> QuarantineChange {
        self.records.remove(request);
        (*request, None)
    }
}

impl SuspectRecord {
    fn stage(&self) -> QuarantineStage {
        match self.is_blocked {
            true => QuarantineStage::Blocked,
            false => QuarantineStage::Suspected,
        }
    }
}
