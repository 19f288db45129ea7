//! The durable replicated state: consensus driven over a data folder and peer links.

mod codec;
mod driver;
mod entry_watch;
mod handle;
mod server_watch;
mod status;
mod store;

pub use driver::{LEADER_WAIT, ReplicaSettings, start_replica};
pub use handle::{ReplicaHandle, ReplicaStopped};
pub use status::{EntryStatus, MemberStatus, ReplicaStatus};
pub use store::{FileStore, LogBatch, LogFile, ReplicaStore, StoreError};
