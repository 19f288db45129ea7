//! Client of the replicas: locates their leader and keeps an entry's view fresh.

mod grants;
mod leader;
mod refresher;
mod replica_selector;

pub use grants::AnswerSource;
pub use leader::{LeaderClient, SubmitResult};
pub use refresher::{RefresherContext, ViewRefresher, ViewStore};
pub use replica_selector::ReplicaSelector;
