//! Shares of the work that a cold server bears, held without talking to other entries.
//!
//! A few entries own a cold server, by rendezvous hash; each holds an equal share of its rate. No
//! other entry sends it anything, so that the bound holds while entries cannot reach each other.

use std::time::{Duration, Instant};
use types::{EntryName, ServerName};

/// Entries that may send work to one cold server.
pub const COLD_OWNERS: usize = 3;
/// Part of the rate that a cold server bears which is given out. The rest covers the time in which
/// entries disagree about who they are.
const RATE_SHARE: f64 = 0.8;

/// Says whether an entry is among the owners of a cold server.
pub fn owns_cold_server<'a>(
    entry: &EntryName,
    entries: impl Iterator<Item = &'a EntryName>,
    server: &ServerName,
) -> bool {
    let own = rendezvous_weight(entry, server);
    let ahead = entries.filter(|other| *other != entry && rendezvous_weight(other, server) > own);
    ahead.count() < COLD_OWNERS
}

/// One owner's share of the rate of a cold server: one request at a time, evenly spaced.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdAllowance {
    next: Option<Instant>,
}

impl ColdAllowance {
    /// Takes one request, if the share of the server's rate (in thousandths a second) has one.
    pub fn take(&mut self, now: Instant, rate_milli: u32) -> bool {
        if rate_milli == 0 || self.next.is_some_and(|next| now < next) {
            return false;
        }
        let share = f64::from(rate_milli) / 1_000.0 * RATE_SHARE / COLD_OWNERS as f64;
        self.next = Some(now + Duration::from_secs_f64(1.0 / share));
        true
    }

    /// Says whether [`ColdAllowance::take`] would grant a request.
    pub fn has_room(&self, now: Instant) -> bool {
        self.next.is_none_or(|next| now >= next)
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
