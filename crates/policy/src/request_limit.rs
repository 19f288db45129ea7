//! A server's limit on the requests of all entries together, kept without messages between entries.
//!
//! Rendezvous hashing chooses the owners of a limited server. Each owner sends single requests,
//! with a fixed time between them, so that all owners together stay within the limit. Other entries
//! send the server no requests. A larger limit has more owners, since each of them can only use its
//! share for the requests of its own callers.
//!
//! Within any time, the owners send at most as many requests as the limit permits in that time, and
//! one more each.

use crate::SignalSource;
use std::time::{Duration, Instant};

/// Number of owners of a server with a limit below one request per second.
const MIN_OWNERS: usize = 3;
/// Additional owners for each request per second of the limit.
const OWNERS_PER_REQUEST: usize = 1;
/// Part of a limit that entries which are not owners use together to find out whether the limit has
/// ended, if the server states it only in answers to requests.
const RECHECK_SHARE: f64 = 0.125;
/// Time for which a statement of a limit is current. After that, the server is probed again.
const CURRENT_TIME: Duration = Duration::from_secs(1);

/// This entry's place among the entries that share a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryPlace {
    /// Number of entries with a higher rendezvous weight for the server. `None` if this entry is
    /// not among the entries, so that the others do not count on it.
    pub rank: Option<usize>,
    /// Number of entries.
    pub entries: usize,
}

/// A limit that a server states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StatedLimit {
    /// Requests per 1000 s.
    milli: u32,
    /// Whether answers to probes state it.
    is_in_probes: bool,
    /// When the server first stated a limit.
    since: Instant,
    /// When an answer last stated it, or left it out where the server does not state it.
    confirmed: Instant,
}

/// The limit of one incarnation of a server, and this entry's use of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestLimit {
    stated: Option<StatedLimit>,
    last_taken: Option<Instant>,
}

impl RequestLimit {
    /// Records the limit in an answer, or that the answer has none. An answer without one ends the
    /// limit, but an answer to a probe does so only if answers to probes have stated the limit.
    pub fn record(&mut self, now: Instant, source: SignalSource, limit_milli: Option<u32>) {
        let is_probe = source == SignalSource::Probe;
        let was_in_probes = self.stated.is_some_and(|stated| stated.is_in_probes);
        let since = self.stated.map_or(now, |stated| stated.since);
        match limit_milli {
            Some(milli) => {
                let is_in_probes = was_in_probes || is_probe;
                self.stated = Some(StatedLimit { milli, is_in_probes, since, confirmed: now });
            }
            None if is_probe && !was_in_probes => {
                if let Some(stated) = &mut self.stated {
                    stated.confirmed = now;
                }
            }
            None => self.stated = None,
        }
    }

    /// Returns the limit in requests per 1000 s, if there is one.
    pub fn milli(&self) -> Option<u32> {
        self.stated.map(|stated| stated.milli)
    }

    /// Returns whether the limit may have changed since the last answer of the server.
    pub fn is_outdated(&self, now: Instant) -> bool {
        let is_old =
            |stated: StatedLimit| now.saturating_duration_since(stated.confirmed) >= CURRENT_TIME;
        self.stated.is_some_and(is_old)
    }

    /// Returns how long this entry must not send a request, or `None` if it never may under the
    /// current limit. Zero if it may send one now.
    pub fn wait(&self, now: Instant, place: EntryPlace) -> Option<Duration> {
        let Some(stated) = self.stated else {
            return Some(Duration::ZERO);
        };
        let turn = stated.turn(place)?;
        let due = match self.last_taken {
            Some(taken) if taken >= stated.since => taken.checked_add(turn.interval),
            _ => stated.since.checked_add(turn.first_wait),
        };
        Some(due?.saturating_duration_since(now))
    }

    /// Takes one request. Returns whether this entry may send it.
    pub fn take(&mut self, now: Instant, place: EntryPlace) -> bool {
        let may_send = self.wait(now, place) == Some(Duration::ZERO);
        if may_send {
            self.last_taken = Some(now);
        }
        may_send
    }
}

/// When one entry sends requests to a limited server.
struct EntryTurn {
    /// Time between two requests.
    interval: Duration,
    /// Time from the first statement of the limit to the first request. Differs between entries,
    /// so that their requests are spread evenly.
    first_wait: Duration,
}

impl StatedLimit {
    /// Returns when an entry sends requests, or `None` if it sends none.
    fn turn(&self, place: EntryPlace) -> Option<EntryTurn> {
        let limit = f64::from(self.milli) / 1_000.0;
        let entries = place.entries.max(1);
        let owners = MIN_OWNERS.saturating_add(limit as usize * OWNERS_PER_REQUEST).min(entries);
        let owner_rank = place.rank.filter(|rank| *rank < owners);
        let (seconds, first_part) = if let Some(rank) = owner_rank {
            (owners as f64 / limit, (rank + 1) as f64 / owners as f64)
        } else if self.is_in_probes {
            return None;
        } else {
            let rank = place.rank.unwrap_or(entries);
            (entries as f64 / (limit * RECHECK_SHARE), 1.0 + rank as f64 / entries as f64)
        };
        let interval = Duration::try_from_secs_f64(seconds).ok()?;
        Some(EntryTurn { interval, first_wait: interval.mul_f64(first_part) })
    }
}
