//! Message types exchanged between processes.

use crate::{PackedChanges, PackedView, PeerError};
use consensus::{Envelope, LogIndex, MembershipChange, ReplicaId};
use runtime::ReplicaAddress;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use types::{
    Announcement, CallAnswer, CallRequest, ClusterView, Command, CommandAnswer, DomainName,
    EntryInfo, EntryName, HostName, OwnerHeartbeat, RegistryDelta, RegistryRequest, RequestReport,
    ServerIncarnation, ServerName, SuspectReport, ViewChange, ViewUpdate, ViewVersion,
};

/// A request or a one-way message. The variants of one-way messages say so.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Consensus message between replicas; one-way.
    Consensus(ConsensusMessage),
    /// Asks a replica to confirm that an entry's view is current.
    Freshness(FreshnessRequest),
    /// Submits a command to the leader.
    Submit(Command),
    /// Asks the leader to change the set of replicas.
    ChangeMembership(MembershipChange),
    /// Heartbeat of a shard owner; one-way.
    Beat(OwnerHeartbeat),
    /// Asks a shard owner for the changes of its registry.
    Registry(RegistryRequest),
    /// Forwards an announcement to the owner of the server's shard.
    Announce(Announcement),
    /// Reports a suspected server to its shard owner; one-way.
    Suspect(SuspectReport),
    /// Forwards a call to another entry.
    CallForward(CallRequest),
    /// Asks the leader for the index up to which a follower must apply the log before it serves
    /// entries.
    ReadIndex(ReadIndexRequest),
    /// Reports to the leader which servers have announced themselves; one-way.
    ServersSeen(Vec<(ServerName, ServerIncarnation)>),
    /// Reports requests that crash servers to any replica.
    ReportRequests(RequestReport),
}

/// A consensus message with the sender's address.
///
/// A learner without a log has no membership and can only answer its leader at this address.
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
    /// The request was handled; there is no result.
    Done,
    /// Answer to a freshness request.
    Freshness(Box<FreshnessAnswer>),
    /// Answer to a command or a membership change.
    Submit(SubmitAnswer),
    /// Answer to a read index request; `None` if the replica cannot confirm that it leads, or the
    /// sender is not a member.
    ReadIndex(Option<LogIndex>),
    /// Answer to a registry request.
    Registry(RegistryDelta),
    /// Answer to a forwarded call.
    CallForward(Box<CallAnswer>),
    /// The request is not addressed to this process, or the sender is not allowed to make it.
    Refused(String),
}

/// A request to confirm a view.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FreshnessRequest {
    /// The requesting entry, which is registered if it is new or changed. `None` for a read without
    /// registration.
    pub entry: Option<EntryInfo>,
    /// The version of the requester's view.
    pub version: ViewVersion,
    /// Digest of the replica addresses known to the requester, see [`replicas_digest`].
    pub known_replicas: u32,
    /// Whether a follower may serve the request after it gets a read index from the leader.
    pub may_relay: bool,
}

/// Returns an order-independent digest of replica addresses; 0 if there are none.
pub fn replicas_digest(addresses: impl Iterator<Item = SocketAddr>) -> u32 {
    addresses.fold(0, |digest, address| digest ^ crc32fast::hash(address.to_string().as_bytes()))
}

/// A follower's request for a read index, on behalf of the entries that it serves.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadIndexRequest {
    /// The follower. The peer's host name does not identify it: replicas that formed the set from
    /// seed addresses know each other by address only.
    pub replica: ReplicaId,
    /// Entries that the follower serves, with the versions of their views.
    pub entries: Vec<(EntryName, ViewVersion)>,
    /// Entries that are missing from the follower's view, or registered differently there.
    pub changed: Vec<EntryInfo>,
}

/// The answer to a freshness request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum FreshnessAnswer {
    /// With the update applied, the view is current as of the time at which the request was sent.
    Granted(FreshnessGrant),
    /// The replica cannot serve the request; holds the leader's address, if known.
    NotLeader(Option<ReplicaAddress>),
}

/// Update of an entry's view, as transferred.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewTransfer {
    /// Uncompressed update.
    Plain(ViewUpdate),
    /// An update of which most is packed once for many entries.
    Packed {
        /// The whole view that the changes follow; `None` if they follow the entry's view.
        base: Option<PackedView>,
        /// Consecutive changes. The first ones may already be part of the view that they follow.
        segments: Vec<PackedChanges>,
        /// The changes after the segments.
        tail: Vec<ViewChange>,
    },
}

impl ViewTransfer {
    /// Returns whether the update contains no changes.
    pub fn is_empty(&self) -> bool {
        match self {
            Self::Plain(update) => update.is_empty(),
            Self::Packed { base, segments, tail } => {
                base.is_none() && segments.is_empty() && tail.is_empty()
            }
        }
    }

    /// Returns `view` with the update applied.
    ///
    /// # Errors
    ///
    /// Fails if a packed part is malformed, or if the segments do not follow the view.
    pub fn apply_to(self, view: &ClusterView) -> Result<ClusterView, PeerError> {
        let (mut view, segments, tail) = match self {
            Self::Plain(ViewUpdate::Whole(whole)) => return Ok(*whole),
            Self::Plain(ViewUpdate::Changes(changes)) => (view.clone(), Vec::new(), changes),
            Self::Packed { base: Some(base), segments, tail } => (base.unpack()?, segments, tail),
            Self::Packed { base: None, segments, tail } => (view.clone(), segments, tail),
        };
        for segment in segments {
            let known_count = view.version.0.checked_sub(segment.since.0).ok_or_else(|| {
                let (version, since) = (view.version.0, segment.since.0);
                PeerError::Malformed(format!("changes since {since} for a view of {version}"))
            })?;
            let changes = segment.unpack()?;
            changes.iter().skip(known_count as usize).for_each(|change| view.apply(change));
        }
        tail.iter().for_each(|change| view.apply(change));
        Ok(view)
    }
}

/// Confirmation of a view after a quorum round.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FreshnessGrant {
    /// The changes that the entry's view lacks.
    pub update: ViewTransfer,
    /// Addresses of all replicas, for subsequent requests; empty if the entry already knows them.
    pub replicas: Vec<ReplicaAddress>,
    /// The failure domain of the answering replica.
    pub domain: DomainName,
}

/// The answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitAnswer {
    /// The command is committed and applied.
    Applied(CommandAnswer),
    /// The membership change is in the log.
    Accepted,
    /// The replica is not the leader and the command has no effect; holds the leader's address, if
    /// known.
    NotLeader(Option<ReplicaAddress>),
    /// The command was rejected and has no effect; holds the reason.
    Refused(String),
    /// The outcome is unknown; the command may still take effect.
    Unknown,
}
