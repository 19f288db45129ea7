//! The latest changes of the view, kept for entries that lag.

use crate::ViewChange;
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{SeqAccess, Visitor},
};
use std::{collections::VecDeque, fmt};

/// Maximum number of changes that are kept.
pub const VIEW_LOG_LIMIT: usize = 1024;
/// Maximum size of the changes that are kept until another limit is set, in bytes of memory.
const DEFAULT_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// The latest changes of the view, oldest first, limited in number and in bytes of memory.
///
/// Encoded as the plain sequence of changes. The limits are not part of the replicated state: replicas
/// may keep different numbers of changes, since an entry that needs one that is no longer kept gets
/// the whole view.
#[derive(Debug, Clone)]
pub struct ViewLog {
    changes: VecDeque<ViewChange>,
    /// Approximate size of the changes in memory, in bytes.
    bytes: usize,
    limit_bytes: usize,
}

impl PartialEq for ViewLog {
    fn eq(&self, other: &Self) -> bool {
        self.changes == other.changes
    }
}

impl Eq for ViewLog {}

impl Default for ViewLog {
    fn default() -> Self {
        Self { changes: VecDeque::new(), bytes: 0, limit_bytes: DEFAULT_LIMIT_BYTES }
    }
}

impl ViewLog {
    /// Sets the maximum size of the changes in memory, in bytes.
    pub fn set_limit_bytes(&mut self, limit_bytes: usize) {
        self.limit_bytes = limit_bytes;
        self.drop_excess();
    }

    /// Appends a change, and drops the oldest ones beyond the limits.
    pub fn push(&mut self, change: ViewChange) {
        self.bytes += change.approximate_bytes();
        self.changes.push_back(change);
        self.drop_excess();
    }

    /// Returns the number of changes.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Returns whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the changes, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &ViewChange> {
        self.changes.iter()
    }

    fn drop_excess(&mut self) {
        while self.changes.len() > VIEW_LOG_LIMIT || self.bytes > self.limit_bytes {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.bytes -= oldest.approximate_bytes();
        }
    }
}

impl Serialize for ViewLog {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.changes.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ViewLog {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ViewLogVisitor)
    }
}

/// Reads changes one by one, so that a snapshot with more than the limits allow takes no more memory.
struct ViewLogVisitor;

impl<'de> Visitor<'de> for ViewLogVisitor {
    type Value = ViewLog;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a sequence of changes of the view")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut changes: A) -> Result<ViewLog, A::Error> {
        let mut log = ViewLog::default();
        while let Some(change) = changes.next_element()? {
            log.push(change);
        }
        Ok(log)
    }
}
