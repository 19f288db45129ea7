//! Client side of the replicas: locates their leader and keeps an entry's view fresh.

mod grants;
mod leader;
mod near;
mod refresher;

pub use grants::AnswerSource;
pub use leader::{LeaderClient, SubmitResult};
pub use near::ReplicaSelector;
pub use refresher::{RefresherContext, ViewRefresher, ViewStore};
