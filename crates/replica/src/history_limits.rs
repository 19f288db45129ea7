//! Limits on what a replica keeps for entries and followers that lag.

use consensus::RetainedLog;

/// Memory that is assumed if the settings state none, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 1024 * 1024 * 1024;
/// The memory of the process divided by this is the limit of the changes kept for entries.
const VIEW_LOG_DIVISOR: u64 = 32;
/// The memory of the process divided by this is the limit of the log entries kept for followers.
const RETAINED_LOG_DIVISOR: u64 = 16;
/// The memory of the process divided by this is the size of the log file that causes a snapshot.
const LOG_FILE_DIVISOR: u64 = 16;
/// Maximum number of log entries kept for followers.
const MAX_RETAINED_ENTRIES: usize = 4_096;

/// Limits on the history that a replica keeps, so that large documents that change often do not take
/// more memory than the process has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryLimits {
    /// Maximum size in memory of the changes of the view that are kept for entries, in bytes.
    pub view_log_bytes: usize,
    /// Log entries that stay in memory after a snapshot.
    pub retained_log: RetainedLog,
    /// Size of the log file at which a snapshot replaces it at the latest, in bytes.
    pub log_file_bytes: u64,
}

impl HistoryLimits {
    /// Returns the limits for a process that may use this much memory, in bytes.
    pub fn for_memory(memory_bytes: u64) -> Self {
        Self {
            view_log_bytes: (memory_bytes / VIEW_LOG_DIVISOR) as usize,
            retained_log: RetainedLog {
                entries: MAX_RETAINED_ENTRIES,
                bytes: (memory_bytes / RETAINED_LOG_DIVISOR) as usize,
            },
            log_file_bytes: memory_bytes / LOG_FILE_DIVISOR,
        }
    }
}

impl Default for HistoryLimits {
    fn default() -> Self {
        Self::for_memory(DEFAULT_MEMORY_BYTES)
    }
}
