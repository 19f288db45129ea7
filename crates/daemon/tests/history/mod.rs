//! The history that callers, servers and the operator observed, and the check of its invariants.

use stand_in::{CallKind, CallOutcome};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// A call as its caller observed it.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Kind of the request.
    pub kind: CallKind,
    /// Outcome of the call.
    pub outcome: CallOutcome,
}

/// A server whose leaving was acknowledged.
#[derive(Debug, Clone, Copy)]
pub struct ServerDeparture {
    /// Index of the server.
    pub server: usize,
    /// Time at which the server received the acknowledgement.
    pub acknowledged_at: Instant,
}

/// Everything that was observed of a system.
#[derive(Debug, Clone, Default)]
pub struct ObservedHistory {
    /// Calls by id.
    pub calls: HashMap<String, CallRecord>,
    /// Server index and time of each run, by call id.
    pub runs: HashMap<String, Vec<(usize, Instant)>>,
    /// Acknowledged departures of servers.
    pub departures: Vec<ServerDeparture>,
}

impl ObservedHistory {
    /// Returns a text for each violation of these invariants:
    ///
    /// - An order runs at most once, and not at all if it was refused with 408, 421, 429 or 503.
    /// - A success carries a server's signature and belongs to its request.
    /// - A server gets no request later than `drain_bound` after its departure was acknowledged.
    pub fn violations(&self, drain_bound: Duration) -> Vec<String> {
        let calls = self.calls.iter().flat_map(|(id, call)| self.call_violations(id, call));
        let departures = self.departures.iter().flat_map(|departure| {
            let limit = departure.acknowledged_at + drain_bound;
            let is_late = move |(server, time): &&(usize, Instant)| {
                *server == departure.server && *time > limit
            };
            let late =
                self.runs.iter().filter(move |(_, runs)| runs.iter().any(|run| is_late(&run)));
            late.map(|(id, _)| {
                format!("{id} reached server {} after it had left", departure.server)
            })
        });
        calls.chain(departures).collect()
    }

    fn call_violations(&self, id: &str, call: &CallRecord) -> Vec<String> {
        let mut violations = Vec::new();
        let count = self.runs.get(id).map_or(0, Vec::len);
        let is_order = call.kind == CallKind::Order;
        if is_order && count > 1 {
            violations.push(format!("order {id} ran {count} times"));
        }
        let CallOutcome::Answered { status, is_signed, id: echoed, body } = &call.outcome else {
            return violations;
        };
        if is_order && count > 0 && [408, 421, 429, 503].contains(status) {
            violations.push(format!("order {id} was refused with {status} and ran"));
        }
        if *status == 200 {
            if !is_signed {
                violations.push(format!("{id}: a success without a server's signature"));
            }
            if echoed.as_deref() != Some(id) || !body.ends_with(&format!(" ran {id}")) {
                violations.push(format!("{id}: the answer to {echoed:?}: {body}"));
            }
        }
        violations
    }
}

/// Returns the violation if a read of the configuration shows an older version than the one
/// acknowledged before the read.
pub fn stale_read(version: u64, acknowledged: u64) -> Option<String> {
    (version < acknowledged)
        .then(|| format!("read {version} after {acknowledged} was acknowledged"))
}
