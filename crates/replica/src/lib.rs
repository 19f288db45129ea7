//! Replicated state machine: runs consensus with a data folder for storage and peer links as
//! transport.

mod codec;
mod driver;
mod entry_leases;
mod handle;
mod server_leases;
mod status;
mod store;

pub use driver::{LEADER_WAIT, ReplicaSettings, start_replica};
pub use handle::{ReplicaHandle, ReplicaStopped};
pub use status::{EntryStatus, MemberStatus, ReplicaStatus};
pub use store::{FileStore, LogBatch, LogFile, ReplicaStore, StoreError};
