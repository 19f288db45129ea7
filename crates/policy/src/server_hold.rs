//! Servers that ask to get no requests: those that are leaving, and those that shed load for a
//! stated time.
//!
//! A server states this in its answers, so an entry knows it before the registry does. The statement
//! binds the entry for all requests at once, until the server starts again.

use std::time::{Duration, Instant};

/// The kind of exchange in which a server stated something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalSource {
    /// The answer to a probe.
    Probe,
    /// The answer to a caller's request.
    Request,
}

impl SignalSource {
    /// Returns the name of the source in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Probe => "probe",
            Self::Request => "request",
        }
    }
}

/// What one answer of a server says about further requests from this entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerSignals {
    /// The server is leaving.
    pub is_leaving: bool,
    /// The server refused the request and wants no others for this time.
    pub hold: Option<Duration>,
    /// Requests per 1000 s that the server accepts from all entries together, if it limits them.
    pub limit_milli: Option<u32>,
}

/// The time until which a server gets no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldEnd {
    /// At this time.
    At(Instant),
    /// Not before the server starts again.
    Never,
}

impl HoldEnd {
    /// Returns whether the server gets no requests at `now`.
    pub fn is_after(&self, now: Instant) -> bool {
        match self {
            Self::At(end) => now < *end,
            Self::Never => true,
        }
    }
}

/// Whether an entry may send requests and probes to one incarnation of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerHold {
    end: Option<HoldEnd>,
}

impl ServerHold {
    /// Records an answer. A later answer never shortens a hold: each refusal binds on its own.
    pub fn record(&mut self, now: Instant, signals: ServerSignals) {
        let end = match (signals.is_leaving, signals.hold) {
            (true, _) => HoldEnd::Never,
            (false, Some(hold)) => now.checked_add(hold).map_or(HoldEnd::Never, HoldEnd::At),
            (false, None) => return,
        };
        self.end = self.end.max(Some(end));
    }

    /// Returns the end of the hold, or `None` if the server may get requests at `now`.
    pub fn end_after(&self, now: Instant) -> Option<HoldEnd> {
        self.end.filter(|end| end.is_after(now))
    }
}

/// Returns the time after which the first of these held servers may get requests again, if any does.
pub fn first_hold_end(ends: impl Iterator<Item = HoldEnd>, now: Instant) -> Option<Duration> {
    match ends.min()? {
        HoldEnd::At(end) => Some(end.saturating_duration_since(now)),
        HoldEnd::Never => None,
    }
}
