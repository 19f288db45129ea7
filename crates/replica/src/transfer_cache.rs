//! View updates for entries, of which most is encoded and compressed once for many entries.
//!
//! When many servers and entries register at once, each poll of an entry needs hundreds of changes.
//! Changes are packed in segments of fixed size, so that such an answer is a copy of packed bytes.

use peer::{PackedChanges, PackedView, PeerError, ViewTransfer};
use std::collections::BTreeMap;
use types::{ClusterState, ViewUpdate, ViewVersion};

/// Number of changes in a packed segment.
const SEGMENT_CHANGES: u64 = 64;
/// Maximum number of changes that are sent unpacked.
const MAX_PLAIN_CHANGES: u64 = 16;
/// Maximum number of changes sent along with a packed view. Beyond it, the view is packed again.
const MAX_BASE_LAG: u64 = 512;

/// Builds the updates that entries need, and caches their packed parts.
#[derive(Debug, Default)]
pub struct TransferCache {
    /// A whole view, with its version.
    base: Option<(ViewVersion, PackedView)>,
    /// Packed segments, by the version that their first change follows; a multiple of
    /// [`SEGMENT_CHANGES`].
    segments: BTreeMap<u64, PackedChanges>,
}

impl TransferCache {
    /// Returns the update from `version` to the current view.
    ///
    /// # Errors
    ///
    /// Fails if the view or a change cannot be encoded.
    pub fn update_since(
        &mut self,
        state: &ClusterState,
        version: ViewVersion,
    ) -> Result<ViewTransfer, PeerError> {
        self.drop_old_segments(state);
        let current = state.view().version;
        let lag = current.0.checked_sub(version.0);
        // An empty view needs the whole view, which is smaller than its changes.
        let is_empty_view = version == ViewVersion::default() && current != version;
        if let Some(lag) = lag.filter(|_| !is_empty_view) {
            if lag <= MAX_PLAIN_CHANGES
                && let Some(changes) = state.changes_since(version)
            {
                return Ok(ViewTransfer::Plain(ViewUpdate::Changes(changes)));
            }
            if let Some(transfer) = self.packed_since(state, version, None)? {
                return Ok(transfer);
            }
        }
        if let Some((base_version, base)) = self.base.clone()
            && current.0 - base_version.0 <= MAX_BASE_LAG
            && let Some(transfer) = self.packed_since(state, base_version, Some(base))?
        {
            return Ok(transfer);
        }
        let base = PackedView::pack(state.view())?;
        self.base = Some((current, base.clone()));
        Ok(ViewTransfer::Packed { base: Some(base), segments: Vec::new(), tail: Vec::new() })
    }

    /// Returns the changes since `version`, packed as far as they fill segments. Returns `None` if
    /// they are no longer stored.
    fn packed_since(
        &mut self,
        state: &ClusterState,
        version: ViewVersion,
        base: Option<PackedView>,
    ) -> Result<Option<ViewTransfer>, PeerError> {
        let current = state.view().version.0;
        let mut start = version.0 - version.0 % SEGMENT_CHANGES;
        let mut segments = Vec::new();
        while start + SEGMENT_CHANGES <= current {
            let Some(segment) = self.segment(state, start)? else {
                return Ok(None);
            };
            segments.push(segment);
            start += SEGMENT_CHANGES;
        }
        let tail_start = ViewVersion(start.max(version.0));
        let tail = state.changes_since(tail_start);
        Ok(tail.map(|tail| ViewTransfer::Packed { base, segments, tail }))
    }

    fn segment(
        &mut self,
        state: &ClusterState,
        start: u64,
    ) -> Result<Option<PackedChanges>, PeerError> {
        if let Some(segment) = self.segments.get(&start) {
            return Ok(Some(segment.clone()));
        }
        let since = ViewVersion(start);
        let Some(changes) = state.changes_between(since, SEGMENT_CHANGES as usize) else {
            return Ok(None);
        };
        let segment = PackedChanges::pack(since, &changes)?;
        self.segments.insert(start, segment.clone());
        Ok(Some(segment))
    }

    fn drop_old_segments(&mut self, state: &ClusterState) {
        let oldest = state.oldest_change();
        self.segments.retain(|start, _| *start >= oldest.0);
    }
}
