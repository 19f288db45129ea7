//! What callers, servers and the operator may never see.

use stand_in::{CallKind, CallOutcome};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// What a caller sent and saw.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// What it sent.
    pub kind: CallKind,
    /// What it saw.
    pub end: CallOutcome,
}

/// A server whose leaving was acknowledged.
#[derive(Debug, Clone, Copy)]
pub struct Departure {
    /// Number of the server.
    pub server: usize,
    /// When it got the acknowledgement.
    pub acknowledged: Instant,
}

/// All that was seen of a system.
#[derive(Debug, Clone, Default)]
pub struct SeenHistory {
    /// Calls by id.
    pub calls: HashMap<String, CallRecord>,
    /// Where and when each call ran.
    pub runs: HashMap<String, Vec<(usize, Instant)>>,
    /// Servers that left.
    pub departures: Vec<Departure>,
}

impl SeenHistory {
    /// Returns the promises that were broken. `drain_bound` is the time after which a server that
    /// was acknowledged as leaving gets no request.
    pub fn broken_promises(&self, drain_bound: Duration) -> Vec<String> {
        let calls = self.calls.iter().flat_map(|(id, call)| self.broken_by_call(id, call));
        let departures = self.departures.iter().flat_map(|departure| {
            let limit = departure.acknowledged + drain_bound;
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

    fn broken_by_call(&self, id: &str, call: &CallRecord) -> Vec<String> {
        let mut broken = Vec::new();
        let count = self.runs.get(id).map_or(0, Vec::len);
        let is_order = call.kind == CallKind::Order;
        if is_order && count > 1 {
            broken.push(format!("order {id} ran {count} times"));
        }
        let CallOutcome::Answered { status, is_signed, id: echoed, body } = &call.end else {
            return broken;
        };
        if is_order && count > 0 && [408, 421, 429, 503].contains(status) {
            broken.push(format!("order {id} was refused with {status} and ran"));
        }
        if *status == 200 {
            if !is_signed {
                broken.push(format!("{id}: a success of no server"));
            }
            if echoed.as_deref() != Some(id) || !body.ends_with(&format!(" ran {id}")) {
                broken.push(format!("{id}: the answer to {echoed:?}: {body}"));
            }
        }
        broken
    }
}

/// Says how a read of the configuration breaks a promise, if it does: it may not show less than what
/// was acknowledged before it.
pub fn broken_read(version: u64, acknowledged: u64) -> Option<String> {
    (version < acknowledged)
        .then(|| format!("read {version} after {acknowledged} was acknowledged"))
}
