//! Rate limit on requests to a cold server, kept without messages between entries.
//!
//! Rendezvous hashing chooses a few warm-up entries for each cold server, and each of them uses an
//! equal share of the server's rate. Other entries send it nothing, so that the limit holds while
//! entries cannot reach each other. The warm-up entries of a server are chosen independently of its
//! shard owner, which is a single entry.

use std::time::{Duration, Instant};
use types::{EntryName, ServerName};

/// Number of entries that may send requests to one cold server.
pub const WARM_UP_ENTRIES: usize = 3;
/// Part of a cold server's rate that its warm-up entries use. The rest covers the time in which
/// entries disagree about the set of entries, and so about the warm-up entries.
const RATE_SHARE: f64 = 0.8;

/// Returns whether an entry is one of the warm-up entries of a server, given the entries to
/// choose from.
pub fn is_warm_up_entry<'a>(
    entry: &EntryName,
    entries: impl Iterator<Item = &'a EntryName>,
    server: &ServerName,
) -> bool {
    rendezvous_rank(entry, entries, server) < WARM_UP_ENTRIES
}

/// Returns the number of other entries that have a higher rendezvous weight for a server.
pub fn rendezvous_rank<'a>(
    entry: &EntryName,
    entries: impl Iterator<Item = &'a EntryName>,
    server: &ServerName,
) -> usize {
    let own = rendezvous_weight(entry, server);
    entries.filter(|other| *other != entry && rendezvous_weight(other, server) > own).count()
}

/// One warm-up entry's share of the rate of a cold server, granted as evenly spaced single
/// requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdAllowance {
    next_due: Option<Instant>,
}

impl ColdAllowance {
    /// Takes one request from the share. Returns whether one was available.
    ///
    /// `rate_milli` is the server's rate for all entries together, in thousandths of a request per
    /// second.
    pub fn take(&mut self, now: Instant, rate_milli: u32) -> bool {
        if rate_milli == 0 || self.next_due.is_some_and(|next_due| now < next_due) {
            return false;
        }
        let share = f64::from(rate_milli) / 1_000.0 * RATE_SHARE / WARM_UP_ENTRIES as f64;
        self.next_due = Some(now + Duration::from_secs_f64(1.0 / share));
        true
    }

    /// Returns whether [`ColdAllowance::take`] would grant a request, provided the rate is above 0.
    pub fn has_capacity(&self, now: Instant) -> bool {
        self.next_due.is_none_or(|next_due| now >= next_due)
    }
}

/// Returns the weight of a pair in rendezvous hashing: FNV-1a over both names, finished by a
/// multiply-shift mix.
pub fn rendezvous_weight(entry: &EntryName, server: &ServerName) -> u64 {
    let bytes = entry.as_str().bytes().chain([0]).chain(server.as_str().bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
