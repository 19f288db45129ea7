//! Selection of the entries that a caller should use.

use std::{net::SocketAddr, time::Duration};
use types::{ClusterView, DomainName, EntryInfo};

/// How long callers may cache an answer of the directory. The platform does not honour a longer
/// time. A caller that cannot reach the directory waits up to 3 s before it uses an old answer. A
/// caller that finds that an entry has stopped tries the next one immediately.
pub const DIRECTORY_MAX_AGE: Duration = Duration::from_secs(5);
/// Minimum number of serving entries in the caller's failure domain for an answer that omits other
/// domains. With fewer, a caller whose only entry fails would have no alternative until its next
/// lookup.
const MIN_LOCAL_ENTRIES: usize = 2;

/// Directory in which callers look up entries.
pub trait EntryDirectory: Send + Sync {
    /// Returns the addresses of at most `limit` entries for a caller in a failure domain, if it
    /// stated one. The addresses may be stale.
    fn entries_for(&self, caller_domain: Option<&DomainName>, limit: usize) -> Vec<SocketAddr>;
}

/// Returns the addresses of at most `limit` serving entries. All of them are from the caller's
/// failure domain if it has at least `MIN_LOCAL_ENTRIES` serving entries.
///
/// Used for [`EntryDirectory`], by replicas and by entries of the gateway. Entries in drained
/// failure domains are included, unlike in `policy::rank_entries`, which ranks the entries of one
/// service for the `entry` crate.
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
