//! Messages between processes.

use crate::{PackedView, PeerError};
use consensus::{Envelope, LogIndex, MembershipChange, ReplicaId};
use runtime::ReplicaAddress;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use types::{
    Announcement, CallAnswer, CallRequest, Command, CommandAnswer, DomainName, EntryInfo,
    EntryName, HostName, OwnerHeartbeat, RegistryDelta, RegistryRequest, ServerIncarnation,
    ServerName, SuspectReport, ViewChange, ViewUpdate, ViewVersion,
};

/// A request, or a message without answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Between replicas; has no answer.
    Consensus(ConsensusMessage),
    /// An entry asks the leader how fresh its view is.
    Freshness(FreshnessRequest),
    /// Asks the leader to decide a command.
    Submit(Command),
    /// Asks the leader to change the set of replicas.
    ChangeMembership(MembershipChange),
    /// A shard owner shows that it is alive; has no answer.
    Beat(OwnerHeartbeat),
    /// Asks a shard owner for changes of its registry.
    Registry(RegistryRequest),
    /// Passes an announcement on to the server's owner.
    Announce(Announcement),
    /// Tells a shard owner about a suspected server; has no answer.
    Suspect(SuspectReport),
    /// Hands a request over to another entry.
    CallForward(CallRequest),
    /// Asks the leader up to which index a follower must have applied the log to serve entries.
    ReadIndex(ReadIndexRequest),
    /// Tells the leader which servers were heard of; has no answer.
    ServersSeen(Vec<(ServerName, ServerIncarnation)>),
}

/// A message between replicas, with where its sender can be answered.
///
/// A learner that has no log yet knows its leader from this alone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConsensusMessage {
    /// The message.
    pub envelope: Envelope,
    /// Host of the sender.
    pub host: HostName,
    /// Address of the sender.
    pub address: SocketAddr,
}

/// The answer to a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// Nothing to say.
    Done,
    /// To a freshness request.
    Freshness(Box<FreshnessAnswer>),
    /// To a command or a change of the set of replicas.
    Submit(SubmitAnswer),
    /// To a read index request; `None` if the asked replica does not lead.
    ReadIndex(Option<LogIndex>),
    /// To a registry request.
    Registry(RegistryDelta),
    /// To a forwarded request.
    CallForward(Box<CallAnswer>),
    /// The request is not for this process, or not allowed for the sender.
    Refused(String),
}

/// A request to confirm a view.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FreshnessRequest {
    /// The entry that asks; registered with this if it is new. `None` for a plain read.
    pub entry: Option<EntryInfo>,
    /// The version of its view.
    pub version: ViewVersion,
    /// Digest of the replicas that the entry knows, see [`replicas_digest`].
    pub known_replicas: u32,
    /// A follower may serve the request too, once the leader has told it how far its log must be.
    pub may_relay: bool,
}

/// Returns a digest of the replicas' addresses, whatever their order; 0 for none.
pub fn replicas_digest(addresses: impl Iterator<Item = SocketAddr>) -> u32 {
    addresses.fold(0, |digest, address| digest ^ crc32fast::hash(address.to_string().as_bytes()))
}

/// A follower's request for a read index, on behalf of the entries that it serves.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadIndexRequest {
    /// The follower. Its host name is not enough: replicas that formed the set from seeds know each
    /// other by address only.
    pub replica: ReplicaId,
    /// The entries, with the versions of their views.
    pub entries: Vec<(EntryName, ViewVersion)>,
    /// Those that the follower's view does not show as they are.
    pub changed: Vec<EntryInfo>,
}

/// The answer to a freshness request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum FreshnessAnswer {
    /// The view, once updated, is fresh as of the time at which the request was sent.
    Granted(FreshnessGrant),
    /// The asked replica does not lead.
    NotLeader(Option<ReplicaAddress>),
}

/// What brings an entry to the current view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewTransfer {
    /// As it stands.
    Plain(ViewUpdate),
    /// A view that was packed once for many entries, and the changes that follow it.
    Packed(PackedView, Vec<ViewChange>),
}

impl ViewTransfer {
    /// Returns the update.
    ///
    /// # Errors
    ///
    /// Fails if the packed view is malformed.
    pub fn unpack(self) -> Result<ViewUpdate, PeerError> {
        match self {
            Self::Plain(update) => Ok(update),
            Self::Packed(packed, changes) => {
                let mut view = packed.unpack()?;
                view.update(ViewUpdate::Changes(changes));
                Ok(ViewUpdate::Whole(Box::new(view)))
            }
        }
    }
}

/// A leader's confirmation after a quorum round.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FreshnessGrant {
    /// What the entry lacks.
    pub update: ViewTransfer,
    /// All replicas, for the next requests; empty if the entry knows them.
    pub replicas: Vec<ReplicaAddress>,
    /// The failure domain of the replica that answers.
    pub domain: DomainName,
}

/// The answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitAnswer {
    /// Committed and applied.
    Applied(CommandAnswer),
    /// The change of the set of replicas is in the log.
    Accepted,
    /// The asked replica does not lead; the command was not taken.
    NotLeader(Option<ReplicaAddress>),
    /// The command was not taken.
    Refused(String),
    /// The command may or may not come into force.
    Unknown,
}
