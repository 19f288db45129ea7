//! Following the replicas: finding their leader, and keeping a view fresh.

mod keeper;
mod leader;
mod near;

pub use keeper::{FreshnessKeeper, KeeperTools, ViewHolder};
pub use leader::{LeaderAnswer, LeaderFinder, SubmitResult};
pub use near::NearReplicas;
