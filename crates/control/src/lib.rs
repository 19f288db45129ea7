//! What replicas do for operators, servers and callers who ask where to connect.
//!
//! Orders and changes of the registry go through the leader; an answer is given only once they are
//! in the replicated log. The set of replicas forms itself from seeds and repairs itself.

mod directory;
mod error;
mod group;
mod membership;
mod plane;
mod sightings;

pub use directory::{DIRECTORY_MAX_AGE, EntryDirectory, directory_entries};
pub use error::ControlError;
pub use group::{GroupKeeper, GroupSettings, seed_identity};
pub use membership::{MemberHealth, plan_member_change};
pub use plane::{ControlPlane, ReplicaControl};
