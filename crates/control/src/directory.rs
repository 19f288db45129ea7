//! Which entries a caller is told to use.

use std::{net::SocketAddr, time::Duration};
use types::{ClusterView, DomainName, EntryInfo};

/// How long callers may keep an answer of the directory; the longest that counts on the platform. A
/// caller that cannot reach the directory waits for it up to 3 s before it uses an old answer, and
/// one that meets an entry that has stopped goes on to the next at once.
pub const DIRECTORY_MAX_AGE: Duration = Duration::from_secs(5);
/// The fewest entries of a caller's own failure domain that are named alone. With fewer, a caller
/// whose only entry fails would have nowhere to go until it asks again.
const MIN_LOCAL_ENTRIES: usize = 2;

/// Tells callers which entries to use.
pub trait EntryDirectory: Send + Sync {
    /// Returns the addresses of entries for a caller in a failure domain. They may be stale.
    fn entries_for(&self, caller_domain: Option<&DomainName>, limit: usize) -> Vec<SocketAddr>;
}

/// Returns the addresses of at most `limit` serving entries, those of the caller's failure domain
/// alone where there are enough of them.
pub fn directory_entries(
    view: &ClusterView,
    caller_domain: Option<&DomainName>,
    limit: usize,
) -> Vec<SocketAddr> {
    let serving = || view.entries().filter(|entry| entry.serving);
    let is_local = |entry: &&EntryInfo| Some(&entry.domain) == caller_domain;
    let mut chosen: Vec<&EntryInfo> = serving().filter(is_local).collect();
    if chosen.len() < MIN_LOCAL_ENTRIES {
        chosen = serving().collect();
    }
    chosen.iter().take(limit).map(|entry| entry.caller_address).collect()
}
