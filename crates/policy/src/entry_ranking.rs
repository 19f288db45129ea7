//! Preferred entries of the callers of a service.

use types::{ClusterView, EntryInfo, ServiceName};

/// Returns at most `limit` serving entries outside drained failure domains, in the order of
/// rendezvous hashing by service.
///
/// Every entry computes the same order, so the requests of a service arrive at few entries, whose
/// own counts of requests in flight cover most of the service's load.
pub fn rank_entries<'a>(
    view: &'a ClusterView,
    service: &ServiceName,
    limit: usize,
) -> Vec<&'a EntryInfo> {
    let mut ranked: Vec<&EntryInfo> =
        view.entries().filter(|entry| entry.serving && !view.is_drained(&entry.domain)).collect();
    ranked.sort_by_cached_key(|entry| {
        std::cmp::Reverse(weight(service.as_str(), entry.name.as_str()))
    });
    ranked.truncate(limit);
    ranked
}

/// Returns the rendezvous hash of two names: FNV-1a with the finalizer of MurmurHash3.
fn weight(service: &str, entry: &str) -> u64 {
    let bytes = service.bytes().chain(std::iter::once(0)).chain(entry.bytes());
    let mut hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
