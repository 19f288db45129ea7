//! Raft consensus core without I/O.
//!
//! The driver feeds messages, ticks and proposals into [`Consensus`] and carries out the resulting
//! [`Effects`]. Implements the published algorithm (Ongaro and Ousterhout, 2014; Ongaro's
//! dissertation for pre-vote, check-quorum, leader transfer, read index and one-at-a-time
//! membership change).

mod core;
mod effects;
mod election;
mod leader;
mod log;
mod membership;
mod message;
mod progress;
mod role;
mod verify;

pub use crate::core::{Consensus, ConsensusError, CoreSettings, LeaderHint, ReplicaRole};
pub use effects::{Effects, HardState, ReadToken, ReadyRead, RestoredState};
pub use leader::FollowerStatus;
pub use log::{LogEntry, LogIndex, LogPayload, RetainedLog, SnapshotImage, Term};
pub use membership::{
    Member, MemberRole, Membership, MembershipChange, MembershipError, ReplicaId,
};
pub use message::{AppendResult, Envelope, Message};
pub use verify::{ConsensusViolation, InvariantChecker};
