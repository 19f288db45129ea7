//! Replicated state machine: runs consensus with a data folder for storage and peer links as
//! transport.

mod codec;
mod driver;
mod entry_leases;
mod handle;
mod history_limits;
mod input_queue;
mod server_leases;
mod status;
mod store;
mod transfer_cache;

pub use driver::{LEADER_WAIT, ReplicaSettings, start_replica};
pub use handle::{KnownLeader, ReplicaHandle, ReplicaStopped};
pub use history_limits::HistoryLimits;
pub use status::{EntryStatus, MemberList, MemberStatus, ReplicaStatus};
pub use store::{FileStore, LogBatch, LogFile, ReplicaStore, StoreError};
pub use transfer_cache::TransferCache;
