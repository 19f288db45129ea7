//! What shard owners tell the other entries about the servers they look after.

use crate::{Announcement, EntryIncarnation, EntryName, ServerIncarnation, ServerName};
use serde::{Deserialize, Serialize};

/// The version of a shard owner's registry of servers; plus 1 at each change.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RegistryVersion(pub u64);

/// How much work a server may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerStage {
    /// Only its owner gives it work.
    Cold,
    /// All entries give it work.
    Warm,
    /// No new work.
    Leaving,
}

/// A server as its owner knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Its latest announcement.
    pub announcement: Announcement,
    /// How much work it may be given.
    pub stage: ServerStage,
}

/// One start of a shard owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardOwnerId {
    /// The entry.
    pub entry: EntryName,
    /// Its incarnation; a registry's versions count within one.
    pub incarnation: EntryIncarnation,
}

/// Sent by every owner to every entry in each beat period.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerBeat {
    /// The owner.
    pub owner: ShardOwnerId,
    /// The version of its registry.
    pub version: RegistryVersion,
}

/// Asks a shard owner for what changed in its registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryRequest {
    /// The incarnation that the asker knows; another one is answered with the whole registry.
    pub incarnation: EntryIncarnation,
    /// The version that the asker has.
    pub since: RegistryVersion,
}

/// One difference between two versions of a registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryChange {
    /// A server is new or has changed.
    Put(ServerRecord),
    /// A server is gone.
    Remove(ServerName),
}

/// What changed in a shard owner's registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryDelta {
    /// The owner.
    pub owner: ShardOwnerId,
    /// The changes build on an empty registry, not on the version asked for.
    pub is_whole: bool,
    /// The changes.
    pub changes: Vec<RegistryChange>,
    /// The version reached; lower than the registry's when more is to be pulled.
    pub version: RegistryVersion,
}

/// Tells a shard owner that a server looks cold, slow or dead to another entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The server.
    pub server: ServerName,
    /// The incarnation in which it was suspected.
    pub incarnation: ServerIncarnation,
    /// Why.
    pub kind: SuspectKind,
}

/// Why a server is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SuspectKind {
    /// An answer carried another incarnation, or connections were lost: it may be cold.
    Restarted,
    /// It declared that it is leaving.
    Leaving,
    /// It refused a connection.
    Unreachable,
}
