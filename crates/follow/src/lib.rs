//! Client side of the replicas: locates their leader and keeps an entry's view fresh.

mod grants;
mod keeper;
mod leader;
mod near;

pub use grants::AnswerSource;
pub use keeper::{FreshnessKeeper, KeeperTools, ViewStore};
pub use leader::{LeaderClient, SubmitResult};
pub use near::ReplicaSelector;
