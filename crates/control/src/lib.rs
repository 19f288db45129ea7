//! The control plane that replicas provide to operators, servers and callers that look up entries.
//!
//! Commands of operators and changes of the registry go through the leader and are answered only
//! once they are committed to the replicated log. The set of replicas is bootstrapped from seeds;
//! lost members are removed, and new replicas join.

mod conditional_orders;
mod directory;
mod error;
mod group;
mod liveness;
mod membership;
mod order_router;
mod plane;

pub use directory::{DIRECTORY_MAX_AGE, EntryDirectory, directory_entries};
pub use error::ControlError;
pub use group::{MembershipManager, MembershipSettings, seed_identity};
pub use membership::{MemberHealth, VoterLimits, plan_membership_change};
pub use plane::{ControlPlane, ReplicaControl};
