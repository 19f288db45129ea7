//! Following the replicas: finding their leader, and keeping a view fresh.

mod grants;
mod keeper;
mod leader;
mod near;

pub use grants::LeaderAnswer;
pub use keeper::{FreshnessKeeper, KeeperTools, ViewHolder};
pub use leader::{LeaderFinder, SubmitResult};
pub use near::NearReplicas;
